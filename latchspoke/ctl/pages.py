"""How views are shown to people, and what in them wants a look. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from latchspoke.outliers.formatting import format_evidence

View = Mapping[str, Any]
LATELY = 60.0  # s; refusals older than this want no look
OVER_QUOTA = frozenset(("gate", "total", "untold"))
CLIENTS_OWN = frozenset(("no_route", "no_key", "no_ident_or_host", "too_late"))


def finding(code: str, about: str, text: str, level: str = "warning") -> dict[str, str]:
    """``level``: "info" is what the operator or clients have brought about; ``--strict`` passes it over."""
    return {"code": code, "about": about, "text": text, "level": level}


def findings(control: View, gateways: Mapping[str, View | None]) -> list[dict[str, str]]:
    """What wants a look, by reason code; ``gateways``: their own views, None where none came."""
    return [
        *register_findings(control), *member_findings(control), *server_findings(control),
        *(each for name, view in gateways.items() for each in gateway_findings(name, view, control)),
    ]  # fmt: skip


def register_findings(control: View) -> Iterator[dict[str, str]]:
    register, name = control["register"], control["name"]
    if not register["leader"]:
        yield finding("no_leader", name, "no leader of the register is known: nothing can be acknowledged")
    if register["disk"]:
        yield finding("disk_refuses", name, register["disk"])
    if register.get("failed"):
        yield finding("register_failed", name, "a fault of the program; it begins anew from the disk")
    if not register["proven"]:
        yield finding("not_proven", name, "no majority has confirmed yet that this is the newest state")
    alive = {m["address"] for m in control["members"] if m["role"] == "core"}
    for voter in register["voters"]:
        if voter.partition("#")[0] not in alive:
            yield finding("voter_missing", voter.partition("#")[0], "votes in the register and isn't seen")
    if control["evacuated"]:
        yield finding(
            "evacuated", ", ".join(control["evacuated"]), "gets nothing until it is taken back", "info"
        )


def member_findings(control: View) -> Iterator[dict[str, str]]:
    for member in control["members"]:
        if member["suspected"]:
            yield finding("suspected", member["name"], "answers no probes; removed soon unless it speaks")
        elif not member["ready"]:
            yield finding("not_ready", member["name"], "lives, and takes no requests")
        elif member.get("behind"):
            yield finding("behind", member["name"], "has not acknowledged the operator's last word")


def server_findings(control: View) -> Iterator[dict[str, str]]:
    able: dict[str, int] = {}
    for each in control["servers"]:
        if each["state"] == "gone":
            continue
        able[each["service"]] = able.get(each["service"], 0) + (
            each["state"] == "ready" and not each["silent"]
        )
        if each["silent"]:
            yield finding("silent", each["id"], f"no beat for {each['beat_s_ago']:.1f} s")
    for service, count in able.items():
        if not count:
            yield finding("no_server", service, "none of its servers is ready and heard")


def gateway_findings(name: str, view: View | None, control: View) -> Iterator[dict[str, str]]:
    if view is None:
        yield finding("no_answer", name, "did not tell its own view")
        return
    if not view["lease"]["held"]:
        yield finding("no_right", name, "can prove nothing: requests with keys are refused")
    if view["source"] is None:
        yield finding("no_source", name, "follows nobody")
    elif view["source"]["gateway"]:
        yield finding("far_source", name, f"reaches no control machine, follows {view['source']['name']}")
    if view["index"] < control["told_index"]:
        yield finding("old_version", name, f"acts by {view['acts_by']}, in force is {control['version']}")
    lately = [each for each in view["refusals"] if each["s_ago"] < LATELY]
    tenants = Counter(each["tenant"] for each in lately if each["reason"] in OVER_QUOTA)
    if tenants:
        yield finding("over_quota", name, f"lately: {counted(tenants)}", "info")
    wrong = Counter(each["reason"] for each in lately if each["reason"] in CLIENTS_OWN)
    if wrong:
        yield finding("clients_wrong", name, f"lately: {counted(wrong)}", "info")
    rest = Counter(each["reason"] for each in lately if each["reason"] not in OVER_QUOTA | CLIENTS_OWN)
    if rest:
        yield finding("refuses", name, f"lately: {counted(rest)}")


def counted(counts: Counter[str]) -> str:
    return ", ".join(f"{name} x{count}" for name, count in counts.most_common())


def columns(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """A plain table; empty where there are no rows."""
    texts = [[str(cell) for cell in row] for row in rows]
    if not texts:
        return ""
    widths = [max(len(row[i]) for row in [list(head), *texts]) for i in range(len(head))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in [list(head), *texts]
    ]
    return "\n".join(lines)


def seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f} s"


def fleet(control: View, gateways: Mapping[str, View | None]) -> str:
    """The whole page of ``status``."""
    register = control["register"]
    parts = [
        f"configuration {control['version']}, place {control['index']}"
        + (f", evacuated: {', '.join(control['evacuated'])}" if control["evacuated"] else ""),
        f"register: {register['leader'] or 'nobody'} leads term {register['term']};"
        f" {len(register['voters'])} vote: {', '.join(v.partition('#')[0] for v in register['voters'])}",
        members(control["members"]),
        servers(control["servers"]),
    ]
    for name, view in gateways.items():
        parts.append(f"{name}: no answer" if view is None else gateway(view))
    found = findings(control, gateways)
    parts.append(
        columns(
            ("level", "code", "about", "what"),
            [(f["level"], f["code"], f["about"], f["text"]) for f in found],
        )
        or "nothing wants a look"
    )
    return "\n\n".join(part for part in parts if part)


def members(those: Iterable[View]) -> str:
    rows = []
    for each in those:
        state = "suspected" if each["suspected"] else "ready" if each["ready"] else "not ready"
        told = "" if "index" not in each else f"{each['index']}{' behind' if each['behind'] else ''}"
        rows.append(
            (each["name"], each["role"], f"{each['region']}/{each['zone']}", state, each["address"], told)
        )
    return columns(("machine", "class", "place", "state", "address", "acknowledged here"), rows)


def servers(those: Iterable[View]) -> str:
    rows = [
        (
            each["id"], each["service"], each["zone"], each["state"], each["address"], each["slots"],
            ", ".join(each["avoided"]) or "-",
        )
        for each in sorted(those, key=lambda each: (each["service"], each["zone"], each["id"]))
    ]  # fmt: skip
    return columns(("server", "service", "zone", "state", "address", "slots", "avoided for"), rows)


def gateway(view: View) -> str:
    """One gateway's own view."""
    lease, source = view["lease"], view["source"]
    right = f"acts by {view['acts_by']} for {lease['left_s']:.1f} s more" if lease["held"] else "has no right"
    head = (
        f"{view['name']} ({view['zone']}): {'ready' if view['ready'] else 'not ready'}, {right}, follows"
        f" {source['name'] if source else 'nobody'}, {view['clients']} clients, {view['in_hand']} in hand"
    )
    quotas = columns(
        ("tenant", "rate /s", "burst", "room", "gate", "offered /s", "total"),
        [
            (
                name, q["rate_per_s"], q["burst"], q["room"], q["gate"], q["offered_per_s"],
                "fresh" if q["total_fresh"] else "none: own part",
            )
            for name, q in view["quotas"].items()
        ],
    )  # fmt: skip
    budgets = columns(
        ("service", "further tries left", "most"),
        [(name, b["level"], b["most"]) for name, b in view["budgets"].items()],
    )
    shunned = columns(
        ("avoided", "service", "why", "errors", "pace", "answered", "failed lately, as others saw"),
        [
            (
                s["id"], s["service"], ", ".join(s["avoided"]), s["errors"], s["pace"],
                seconds(s["answered_s_ago"]) + ("" if s["answered_s_ago"] is None else " ago"),
                format_evidence(view.get("evidence", {}).get(s["id"])),
            )
            for s in view["servers"]
            if s["avoided"]
        ],
    )  # fmt: skip
    lately = Counter((r["reason"], r["route"], r["tenant"]) for r in view["refusals"])
    refused = columns(
        ("refused for", "route", "tenant", "of the last"),
        [(*key, f"{count}/{len(view['refusals'])}") for key, count in lately.most_common(8)],
    )
    return "\n".join(part for part in (head, quotas, budgets, shunned, refused) if part)


def explained(told: View) -> str:
    """The page of ``explain``."""
    lines = [f"{told['outcome']}: {told['because']}", f"by configuration {told['version']}"]
    if told.get("gateways") is not None:
        lines.append(f"gateways that a client there is told of: {', '.join(told['gateways']) or 'none'}")
    if "by" in told:
        lines.append(f"as {told['by']} sees it" + (", which is not ready" if told.get("not_ready") else ""))
    if "prefixes" in told:
        lines.append(f"prefixes of this host: {', '.join(told['prefixes'])}")
    if route := told.get("route"):
        shares = ", ".join(f"{s['service']} {s['share']:.0%}" for s in route["services"])
        kind = "may be repeated" if route["repeatable"] else "runs at most once"
        lines.append(
            f"route {route['name']} ({route['prefix']}) to {shares}; {kind},"
            f" {route['attempts']} servers at most, {route['timeout_s']:g} s, aim {route['aim_s']:g} s"
        )
        if route["keeps_callers"] and "caller" not in told:
            lines.append("callers are kept at their servers: what follows is for one that has none yet")
        if told.get("asked_caller") and not route["keeps_callers"]:
            lines.append("the route keeps no callers at their servers: the caller makes no difference")
        if route["shorter_prefixes"]:
            lines.append(f"its prefix is longer than those of {', '.join(route['shorter_prefixes'])}")
    if tenant := told.get("tenant"):
        limit = f"{tenant['rate_per_s']:g} /s and {tenant['burst']:g}" if tenant["rate_per_s"] else "no limit"
        lines.append(f"tenant {tenant['name']}: {limit}")
    if quota := told.get("quota"):
        lines.append(
            f"quota: the gate lets {quota['gate']:.0%} pass"
            + (f", room {quota['room']:g}" if quota["known"] else ", not seen here lately")
        )
    if "homes" in told:
        lines.append(
            "homes: any region" if told["homes"] is None else f"homes: {', '.join(told['homes']) or 'none'}"
        )
    for service, those in told.get("servers", {}).items():
        rows = [
            (
                s["id"], f"{s['region']}/{s['zone']}", s["address"],
                "-" if s["expected_s"] is None else f"{s['expected_s']:.3f} s",
                ", ".join(s["barred"]) or "-", ", ".join(s["avoided"]) or "-", s["out"], s["errors"],
                s["pace"], format_evidence(s.get("evidence")),
            )
            for s in those
        ]  # fmt: skip
        head = (
            "server", "place", "address", "expected", "barred by", "evidence", "out", "errors", "pace",
            "failed lately, as others saw",
        )  # fmt: skip
        lines += ["", f"{service}:", columns(head, rows) or "no servers are known"]
    return "\n".join(lines)


def caller(told: View) -> str:
    """A travelling caller's record."""
    lines = [
        f"key {told['key']}, owner {told['owner'] or '-'}, copy {told['copy'] or '-'}"
        + (f", homes {', '.join(told['homes'])}" if told["homes"] else "")
    ]
    if not told["travels"]:
        lines.append("no route of that name, or its affinity doesn't travel")
    for title, name in (("owner", "at_owner"), ("copy", "at_copy"), ("here", "record"), ("site", "hand")):
        bill = told.get(name)
        if bill:
            lines.append(
                f"{title}: {bill['life'] or '-'} at {bill['address'] or '-'}, exchange"
                f" {bill['exchange'] or '-'} {bill['fate']}, site {bill['site']},"
                f" number {'/'.join(map(str, bill['number']))}, {bill['left_s']} s left"
            )
    lines += [f"{role}: no answer, {why}" for role, why in told.get("no_answer", {}).items()]
    if len(lines) == 1:
        lines.append("no record")
    return "\n".join(lines)


def difference(each: View) -> str:
    """One line of ``config diff``."""
    mark = {"added": "+", "removed": "-", "changed": "~"}[each["what"]]
    fields = ", ".join(
        f"{name} {value[0]!r} -> {value[1]!r}" if isinstance(value, list) else f"{name}: {value}"
        for name, value in each["fields"].items()
    )
    return " ".join(part for part in (mark, each["item"], each["name"], fields) if part)
