"""The page of ``reach``: which servers requests really reached, and why not others. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from latchspoke.ctl.pages import columns, finding
from latchspoke.reach.aggregate import ServerSummary, findings, summarize, timeline
from latchspoke.reach.recorder import quantile

View = Mapping[str, Any]
CHANGES = 40  # of the timeline that a page shows, the newest


def told(
    control: View, views: Mapping[str, View | None], service: str, server: str, zone: str
) -> dict[str, Any]:
    """All that the command tells. ``zone``: only what gateways of that zone tell."""
    heard = {name: view for name, view in views.items() if view is None or not zone or view["zone"] == zone}
    those = [each for each in summarize(control, heard, service) if not server or each.server_id == server]
    answered = sum(view is not None for view in heard.values())
    return {
        "gateways": sorted(name for name, view in heard.items() if view is not None),
        "silent": sorted(name for name, view in heard.items() if view is None),
        "covers_s": min((view["covers_s"] for view in heard.values() if view is not None), default=0.0),
        "servers": those,
        "findings": [finding(code, about, text) for code, about, text in findings(those, answered)],
        "changes": timeline(heard),
    }


def plain(found: Mapping[str, Any]) -> dict[str, Any]:
    """For ``--json``."""
    return {**found, "servers": [each.as_json() for each in found["servers"]]}


def page(found: Mapping[str, Any], changes: bool) -> str:
    silent = f"; no answer from {', '.join(found['silent'])}" if found["silent"] else ""
    head = f"{len(found['gateways'])} gateways tell of the last {found['covers_s']:.0f} s{silent}"
    parts = [head, servers(found["servers"], len(found["gateways"]))]
    if changes:
        parts.append(changed(found["changes"][-CHANGES:]) or "no server's standing has changed")
    wrong = columns(
        ("code", "server", "what"), [(f["code"], f["about"], f["text"]) for f in found["findings"]]
    )
    return "\n\n".join(part for part in [*parts, wrong or "nothing wants a look"] if part)


def servers(those: Iterable[ServerSummary], answered: int) -> str:
    rows = [
        (
            each.service, each.server_id, each.zone, each.state or "unknown", each.requests,
            percent(each.request_share), percent(each.slot_share),
            f"{each.failure_rate:.0%}" if each.requests else "-", milliseconds(each, 0.5),
            milliseconds(each, 0.95), f"{each.gateway_count}/{answered}", counted(each.requests_by_zone),
            avoided(each, answered),
        )
        for each in those
    ]  # fmt: skip
    head = (
        "service", "server", "zone", "state", "requests", "share", "slots", "failed", "p50", "p95",
        "reached by", "from zone", "avoided for",
    )  # fmt: skip
    return columns(head, rows) or "no servers are known"


def percent(share: float | None) -> str:
    return "-" if share is None else f"{share:.0%}"


def milliseconds(each: ServerSummary, part: float) -> str:
    seconds = quantile(each.latency_counts, part)
    return "-" if seconds is None else f"{seconds * 1000:.0f} ms"


def counted(zones: Mapping[str, int]) -> str:
    return ", ".join(f"{zone} {count}" for zone, count in sorted(zones.items(), key=lambda z: -z[1])) or "-"


def avoided(each: ServerSummary, answered: int) -> str:
    return (
        ", ".join(f"{code} {len(ages)}/{answered} {max(ages):.0f} s" for code, ages in each.avoided.items())
        or "-"
    )


def changed(changes: Sequence[Mapping[str, Any]]) -> str:
    """The timeline, the oldest first."""
    rows = [
        (
            f"{each['s_ago']:.1f} s", each["id"], each["service"], each["zone"], codes(each["was"]),
            codes(each["codes"]), evidence(each), who(each["gateways"]),
        )
        for each in changes
    ]  # fmt: skip
    return columns(("ago", "server", "service", "zone", "was", "became", "evidence", "seen by"), rows)


def codes(those: Sequence[str] | None) -> str:
    return "new" if those is None else ", ".join(those) or "well"


def evidence(each: Mapping[str, Any]) -> str:
    found = [f"errors {each['errors']:.0%}"] if each["errors"] else []
    found += [f"told {each['told']:.0%}"] if each["told"] else []
    found += [f"pace {each['pace']:g}"] if "slow" in each["codes"] else []
    return ", ".join(found) or "-"


def who(gateways: Sequence[str]) -> str:
    return ", ".join(gateways) if len(gateways) <= 3 else f"{len(gateways)} gateways, {gateways[0]} first"
