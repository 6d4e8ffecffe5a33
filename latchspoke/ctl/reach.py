"""Output of ``reach``: which servers requests reached, and why others were avoided. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from latchspoke.ctl.formatting import finding, format_table
from latchspoke.reach.aggregate import ServerSummary, findings, summarize, timeline
from latchspoke.reach.recorder import quantile

View = Mapping[str, Any]
MAX_CHANGES = 40  # newest changes of the timeline that are shown


def build_report(
    control: View, views: Mapping[str, View | None], service: str, server: str, zone: str
) -> dict[str, Any]:
    """Summarize the reports of the gateways; with ``zone``, only those of gateways in that zone."""
    selected = {
        name: view for name, view in views.items() if view is None or not zone or view["zone"] == zone
    }
    servers = [
        entry for entry in summarize(control, selected, service) if not server or entry.server_id == server
    ]
    answered = sum(view is not None for view in selected.values())
    return {
        "gateways": sorted(name for name, view in selected.items() if view is not None),
        "silent": sorted(name for name, view in selected.items() if view is None),
        "covers_s": min((view["covers_s"] for view in selected.values() if view is not None), default=0.0),
        "servers": servers,
        "findings": [finding(code, about, text) for code, about, text in findings(servers, answered)],
        "changes": timeline(selected),
    }


def as_json(report: Mapping[str, Any]) -> dict[str, Any]:
    """The summary as it is printed with ``--json``."""
    return {**report, "servers": [server.as_json() for server in report["servers"]]}


def format_report(report: Mapping[str, Any], changes: bool) -> str:
    """The summary as text; ``changes`` adds the timeline."""
    silent = f"; no answer from {', '.join(report['silent'])}" if report["silent"] else ""
    summary = f"{len(report['gateways'])} gateways report the last {report['covers_s']:.0f} s{silent}"
    parts = [summary, format_servers(report["servers"], len(report["gateways"]))]
    if changes:
        parts.append(format_changes(report["changes"][-MAX_CHANGES:]) or "no changes")
    findings_table = format_table(
        ("code", "server", "what"),
        [(entry["code"], entry["about"], entry["text"]) for entry in report["findings"]],
    )
    return "\n\n".join(part for part in [*parts, findings_table or "no findings"] if part)


def format_servers(servers: Iterable[ServerSummary], answered: int) -> str:
    """Table of the servers; ``answered`` is the number of gateways that reported."""
    rows = [
        (
            server.service, server.server_id, server.zone, server.state or "unknown", server.requests,
            format_percent(server.request_share), format_percent(server.slot_share),
            f"{server.failure_rate:.0%}" if server.requests else "-",
            format_quantile(server, 0.5), format_quantile(server, 0.95),
            f"{server.gateway_count}/{answered}", format_counts(server.requests_by_zone),
            format_avoided(server, answered),
        )
        for server in servers
    ]  # fmt: skip
    header = (
        "service", "server", "zone", "state", "requests", "share", "slots", "failed", "p50", "p95",
        "reached by", "from zone", "avoided for",
    )  # fmt: skip
    return format_table(header, rows) or "no servers are known"


def format_percent(share: float | None) -> str:
    """A share in percent, "-" for None."""
    return "-" if share is None else f"{share:.0%}"


def format_quantile(server: ServerSummary, quantile_share: float) -> str:
    """A quantile of the server's latencies in milliseconds."""
    seconds = quantile(server.latency_counts, quantile_share)
    return "-" if seconds is None else f"{seconds * 1000:.0f} ms"


def format_counts(zones: Mapping[str, int]) -> str:
    """Requests by zone, largest first."""
    return ", ".join(f"{zone} {count}" for zone, count in sorted(zones.items(), key=lambda z: -z[1])) or "-"


def format_avoided(server: ServerSummary, answered: int) -> str:
    """Why the server is avoided: per reason, how many gateways and for how long."""
    return (
        ", ".join(f"{code} {len(ages)}/{answered} {max(ages):.0f} s" for code, ages in server.avoided.items())
        or "-"
    )


def format_changes(changes: Sequence[Mapping[str, Any]]) -> str:
    """Table of the timeline, oldest first."""
    rows = [
        (
            f"{change['s_ago']:.1f} s", change["id"], change["service"], change["zone"],
            format_codes(change["was"]), format_codes(change["codes"]),
            format_evidence(change), format_gateways(change["gateways"]),
        )
        for change in changes
    ]  # fmt: skip
    return format_table(("ago", "server", "service", "zone", "was", "became", "evidence", "seen by"), rows)


def format_codes(reasons: Sequence[str] | None) -> str:
    """Reasons for avoiding a server; None is a server not known before."""
    return "new" if reasons is None else ", ".join(reasons) or "ok"


def format_evidence(change: Mapping[str, Any]) -> str:
    """What a change was based on: own error rate, that reported by others, and pace."""
    parts = [f"errors {change['errors']:.0%}"] if change["errors"] else []
    parts += [f"reported {change['told']:.0%}"] if change["told"] else []
    parts += [f"pace {change['pace']:g}"] if "slow" in change["codes"] else []
    return ", ".join(parts) or "-"


def format_gateways(gateways: Sequence[str]) -> str:
    """Names of the gateways, shortened if there are many."""
    return ", ".join(gateways) if len(gateways) <= 3 else f"{len(gateways)} gateways, {gateways[0]} first"
