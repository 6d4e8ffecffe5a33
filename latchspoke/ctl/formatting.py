"""Text output of the views, and the findings in them that need attention. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from latchspoke.outliers.formatting import format_evidence

View = Mapping[str, Any]
RECENT_S = 60.0  # older refusals give no finding
QUOTA_REASONS = frozenset(("gate", "total", "untold"))
CLIENT_ERROR_REASONS = frozenset(("no_route", "no_key", "no_ident_or_host", "too_late"))


def finding(code: str, about: str, text: str, level: str = "warning") -> dict[str, str]:
    """One finding; level "info" is caused by the operator or by clients, and ignored by ``--strict``."""
    return {"code": code, "about": about, "text": text, "level": level}


def findings(control: View, gateways: Mapping[str, View | None]) -> list[dict[str, str]]:
    """All findings by reason code; ``gateways`` holds the views of the gateways, None without an answer."""
    return [
        *store_findings(control), *member_findings(control), *server_findings(control),
        *(entry for name, view in gateways.items() for entry in gateway_findings(name, view, control)),
    ]  # fmt: skip


def store_findings(control: View) -> Iterator[dict[str, str]]:
    """Findings on the replicated store."""
    store, name = control["register"], control["name"]
    if not store["leader"]:
        yield finding("no_leader", name, "no leader of the store is known: no change can be acknowledged")
    if store["disk"]:
        yield finding("disk_refuses", name, store["disk"])
    if store.get("failed"):
        yield finding(
            "register_failed", name, "the replica failed with an internal error; it restarts from its disk"
        )
    if not store["proven"]:
        yield finding("not_proven", name, "no quorum has confirmed that this state is current")
    alive = {m["address"] for m in control["members"] if m["role"] == "core"}
    for voter in store["voters"]:
        if voter.partition("#")[0] not in alive:
            yield finding(
                "voter_missing", voter.partition("#")[0], "is a voter of the store, but not a live member"
            )
    if control["evacuated"]:
        yield finding(
            "evacuated",
            ", ".join(control["evacuated"]),
            "gets no requests until the evacuation is finished",
            "info",
        )


def member_findings(control: View) -> Iterator[dict[str, str]]:
    """Findings on the members of the cluster."""
    for member in control["members"]:
        if member["suspected"]:
            yield finding(
                "suspected",
                member["name"],
                "answers no probes; it is removed unless it refutes the suspicion",
            )
        elif not member["ready"]:
            yield finding("not_ready", member["name"], "is alive, but takes no requests")
        elif member.get("behind"):
            yield finding("behind", member["name"], "has not acknowledged the latest command")


def server_findings(control: View) -> Iterator[dict[str, str]]:
    """Findings on the registered servers."""
    ready_counts: dict[str, int] = {}
    for server in control["servers"]:
        if server["state"] == "gone":
            continue
        ready_counts[server["service"]] = ready_counts.get(server["service"], 0) + (
            server["state"] == "ready" and not server["silent"]
        )
        if server["silent"]:
            yield finding("silent", server["id"], f"no heartbeat for {server['beat_s_ago']:.1f} s")
    for service, count in ready_counts.items():
        if not count:
            yield finding("no_server", service, "no server is ready and sending heartbeats")


def gateway_findings(name: str, view: View | None, control: View) -> Iterator[dict[str, str]]:
    """Findings on one gateway, by its own view."""
    if view is None:
        yield finding("no_answer", name, "did not answer with its own view")
        return
    if not view["lease"]["held"]:
        yield finding("no_right", name, "holds no lease: requests with keys are refused")
    if view["source"] is None:
        yield finding("no_source", name, "has no source of configuration updates")
    elif view["source"]["gateway"]:
        yield finding(
            "far_source", name, f"reaches no control-plane node, gets updates from {view['source']['name']}"
        )
    if view["index"] < control["told_index"]:
        yield finding("old_version", name, f"uses version {view['acts_by']}, current is {control['version']}")
    recent = [refusal for refusal in view["refusals"] if refusal["s_ago"] < RECENT_S]
    limited_tenants = Counter(refusal["tenant"] for refusal in recent if refusal["reason"] in QUOTA_REASONS)
    if limited_tenants:
        yield finding("over_quota", name, f"recently: {format_counts(limited_tenants)}", "info")
    client_errors = Counter(
        refusal["reason"] for refusal in recent if refusal["reason"] in CLIENT_ERROR_REASONS
    )
    if client_errors:
        yield finding("clients_wrong", name, f"recently: {format_counts(client_errors)}", "info")
    other_reasons = Counter(
        refusal["reason"]
        for refusal in recent
        if refusal["reason"] not in QUOTA_REASONS | CLIENT_ERROR_REASONS
    )
    if other_reasons:
        yield finding("refuses", name, f"recently: {format_counts(other_reasons)}")


def format_counts(counts: Counter[str]) -> str:
    """Names with their counts, most frequent first."""
    return ", ".join(f"{name} x{count}" for name, count in counts.most_common())


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """A table in plain text; empty if there are no rows."""
    cells = [[str(cell) for cell in row] for row in rows]
    if not cells:
        return ""
    widths = [max(len(row[i]) for row in [list(header), *cells]) for i in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in [list(header), *cells]
    ]
    return "\n".join(lines)


def format_seconds(value: float | None) -> str:
    """A duration, or "never" for None."""
    return "never" if value is None else f"{value:.1f} s"


def format_fleet(control: View, gateways: Mapping[str, View | None]) -> str:
    """Output of ``status``."""
    store = control["register"]
    parts = [
        f"configuration {control['version']}, index {control['index']}"
        + (f", evacuated: {', '.join(control['evacuated'])}" if control["evacuated"] else ""),
        f"store: leader {store['leader'] or 'unknown'} in term {store['term']};"
        f" {len(store['voters'])} voters: {', '.join(voter.partition('#')[0] for voter in store['voters'])}",
        format_members(control["members"]),
        format_servers(control["servers"]),
    ]
    for name, view in gateways.items():
        parts.append(f"{name}: no answer" if view is None else format_gateway(view))
    problems = findings(control, gateways)
    parts.append(
        format_table(
            ("level", "code", "about", "what"),
            [(problem["level"], problem["code"], problem["about"], problem["text"]) for problem in problems],
        )
        or "no findings"
    )
    return "\n\n".join(part for part in parts if part)


def format_members(members: Iterable[View]) -> str:
    """Table of the members, with the index each has acknowledged."""
    rows = []
    for member in members:
        state = "suspected" if member["suspected"] else "ready" if member["ready"] else "not ready"
        acknowledged = (
            "" if "index" not in member else f"{member['index']}{' behind' if member['behind'] else ''}"
        )
        rows.append(
            (
                member["name"],
                member["role"],
                f"{member['region']}/{member['zone']}",
                state,
                member["address"],
                acknowledged,
            )
        )
    return format_table(("member", "role", "location", "state", "address", "acknowledged here"), rows)


def format_servers(servers: Iterable[View]) -> str:
    """Table of the servers, ordered by service and zone."""
    rows = [
        (
            server["id"], server["service"], server["zone"], server["state"], server["address"],
            server["slots"],
            ", ".join(server["avoided"]) or "-",
        )
        for server in sorted(servers, key=lambda server: (server["service"], server["zone"], server["id"]))
    ]  # fmt: skip
    return format_table(("server", "service", "zone", "state", "address", "slots", "avoided for"), rows)


def format_gateway(view: View) -> str:
    """Output of ``status`` for one gateway, by its own view."""
    lease, source = view["lease"], view["source"]
    validity = (
        f"uses version {view['acts_by']}, lease {lease['left_s']:.1f} s" if lease["held"] else "no lease"
    )
    summary = (
        f"{view['name']} ({view['zone']}): {'ready' if view['ready'] else 'not ready'}, {validity},"
        f" updates from {source['name'] if source else 'none'},"
        f" {view['clients']} clients, {view['in_hand']} in flight"
    )
    quotas = format_table(
        ("tenant", "rate /s", "burst", "room", "gate", "offered /s", "total"),
        [
            (
                name, quota["rate_per_s"], quota["burst"], quota["room"], quota["gate"],
                quota["offered_per_s"],
                "fresh" if quota["total_fresh"] else "none: own share",
            )
            for name, quota in view["quotas"].items()
        ],
    )  # fmt: skip
    budgets = format_table(
        ("service", "retries left", "limit"),
        [(name, budget["level"], budget["most"]) for name, budget in view["budgets"].items()],
    )
    avoided = format_table(
        ("avoided", "service", "reason", "errors", "pace", "answered", "recent failures seen by others"),
        [
            (
                server["id"], server["service"], ", ".join(server["avoided"]), server["errors"],
                server["pace"],
                format_seconds(server["answered_s_ago"])
                + ("" if server["answered_s_ago"] is None else " ago"),
                format_evidence(view.get("evidence", {}).get(server["id"])),
            )
            for server in view["servers"]
            if server["avoided"]
        ],
    )  # fmt: skip
    refusals = Counter(
        (refusal["reason"], refusal["route"], refusal["tenant"]) for refusal in view["refusals"]
    )
    refused = format_table(
        ("refused for", "route", "tenant", "of the last"),
        [(*key, f"{count}/{len(view['refusals'])}") for key, count in refusals.most_common(8)],
    )
    return "\n".join(part for part in (summary, quotas, budgets, avoided, refused) if part)


def format_explanation(explanation: View) -> str:
    """Output of ``explain``."""
    lines = [
        f"{explanation['outcome']}: {explanation['because']}",
        f"by configuration {explanation['version']}",
    ]
    if explanation.get("gateways") is not None:
        lines.append(f"gateways that a client there resolves: {', '.join(explanation['gateways']) or 'none'}")
    if "by" in explanation:
        lines.append(
            f"as seen by {explanation['by']}"
            + (", which is not ready" if explanation.get("not_ready") else "")
        )
    if "prefixes" in explanation:
        lines.append(f"prefixes of this host: {', '.join(explanation['prefixes'])}")
    if route := explanation.get("route"):
        shares = ", ".join(f"{share['service']} {share['share']:.0%}" for share in route["services"])
        kind = "idempotent" if route["repeatable"] else "not idempotent"
        lines.append(
            f"route {route['name']} ({route['prefix']}) to {shares}; {kind},"
            f" {route['attempts']} attempts at most, timeout {route['timeout_s']:g} s,"
            f" target latency {route['aim_s']:g} s"
        )
        if route["keeps_callers"] and "caller" not in explanation:
            lines.append("the route has affinity: this applies to a caller without a session record")
        if explanation.get("asked_caller") and not route["keeps_callers"]:
            lines.append("the route has no affinity: the caller makes no difference")
        if route["shorter_prefixes"]:
            lines.append(f"its prefix takes precedence over those of {', '.join(route['shorter_prefixes'])}")
    if tenant := explanation.get("tenant"):
        limit = f"{tenant['rate_per_s']:g} /s and {tenant['burst']:g}" if tenant["rate_per_s"] else "no limit"
        lines.append(f"tenant {tenant['name']}: {limit}")
    if quota := explanation.get("quota"):
        lines.append(
            f"quota: {quota['gate']:.0%} of the requests are admitted"
            + (f", room {quota['room']:g}" if quota["known"] else ", no recent requests here")
        )
    if "homes" in explanation:
        lines.append(
            "home regions: any"
            if explanation["homes"] is None
            else f"home regions: {', '.join(explanation['homes']) or 'none'}"
        )
    for service, servers in explanation.get("servers", {}).items():
        rows = [
            (
                server["id"], f"{server['region']}/{server['zone']}", server["address"],
                "-" if server["expected_s"] is None else f"{server['expected_s']:.3f} s",
                ", ".join(server["barred"]) or "-", ", ".join(server["avoided"]) or "-", server["out"],
                server["errors"], server["pace"], format_evidence(server.get("evidence")),
            )
            for server in servers
        ]  # fmt: skip
        header = (
            "server", "location", "address", "expected", "excluded by", "avoided for", "in flight",
            "errors", "pace", "recent failures seen by others",
        )  # fmt: skip
        lines += ["", f"{service}:", format_table(header, rows) or "no servers are known"]
    return "\n".join(lines)


def format_caller(result: View) -> str:
    """Output of ``caller show``: a shared session record."""
    lines = [
        f"key {result['key']}, owner {result['owner'] or '-'}, replica {result['copy'] or '-'}"
        + (f", home regions {', '.join(result['homes'])}" if result["homes"] else "")
    ]
    if not result["travels"]:
        lines.append("no route of that name, or it does not share session records")
    for title, name in (("owner", "at_owner"), ("copy", "at_copy"), ("here", "record"), ("site", "hand")):
        record = result.get(name)
        if record:
            lines.append(
                f"{title}: {record['life'] or '-'} at {record['address'] or '-'}, exchange"
                f" {record['exchange'] or '-'} {record['fate']}, site {record['site']},"
                f" number {'/'.join(map(str, record['number']))}, {record['left_s']} s left"
            )
    lines += [f"{role}: no answer, {why}" for role, why in result.get("no_answer", {}).items()]
    if len(lines) == 1:
        lines.append("no record")
    return "\n".join(lines)


def format_difference(change: View) -> str:
    """One line of the output of ``config diff``."""
    sign = {"added": "+", "removed": "-", "changed": "~"}[change["what"]]
    fields = ", ".join(
        f"{name} {value[0]!r} -> {value[1]!r}" if isinstance(value, list) else f"{name}: {value}"
        for name, value in change["fields"].items()
    )
    return " ".join(part for part in (sign, change["item"], change["name"], fields) if part)
