"""The gateway's endpoint ``GET /reach?since=60&service=S&server=ID``; imported on the first request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from latchspoke.net.http import read_decimal
from latchspoke.reach.recorder import OUTCOMES, RETENTION_S, ServerStatus, StatusChange

if TYPE_CHECKING:
    from latchspoke.dataplane.node import Node

DEFAULT_WINDOW_S = 60.0


class QueryError(ValueError):
    """An invalid query; the text is one line."""


def parse_query(query: str) -> tuple[float, str, str]:
    """Window (s), service and server of a query; empty: all. Raises QueryError."""
    fields = {name: values[-1] for name, values in parse_qs(query, keep_blank_values=True).items()}
    if unknown := sorted(fields.keys() - {"since", "service", "server"}):
        raise QueryError(f"{unknown[0][:40]!r} is none of since, service, server")
    window_s = read_decimal(fields["since"].encode()) if "since" in fields else DEFAULT_WINDOW_S
    if window_s is None or not 0 < window_s <= RETENTION_S:
        raise QueryError(f"since is a number of seconds over 0, up to {RETENTION_S:g}")
    return window_s, fields.get("service", ""), fields.get("server", "")


def change_view(change: StatusChange, now: float) -> dict[str, Any]:
    """A status change as a JSON object, with its age in s."""
    return {
        "s_ago": round(now - change.changed_at, 2), "id": change.server_id, "service": change.service,
        "zone": change.zone, "was": None if change.previous_codes is None else list(change.previous_codes),
        "codes": list(change.codes), "errors": change.error_rate,
        "pace": change.relative_latency, "told": change.reported_error_rate,
    }  # fmt: skip


def reach_view(node: Node, window_s: float, service: str = "", server: str = "") -> dict[str, Any]:
    """Servers reached from this gateway within the window (s), and those that were avoided."""
    recorder, now, settings = node.reach_graph, node.clock.now(), node.settings
    covered_s, attempt_counts = recorder.counts_within(window_s, now)
    routes: dict[str, dict[str, Any]] = {}
    for (server_id, route), counts in attempt_counts.items():
        outcomes = {name: count for name, count in zip(OUTCOMES, counts, strict=False) if count}
        latency_counts = {str(index): count for index, count in enumerate(counts[len(OUTCOMES) :]) if count}
        routes.setdefault(server_id, {})[route] = outcomes | {"times": latency_counts}

    def is_selected(server_id: str, status: ServerStatus | None) -> bool:
        return (not server or server_id == server) and (
            not service or (status is not None and status.service == service)
        )

    rows = []
    for server_id in sorted(
        routes.keys() | {name for name, known in recorder.statuses.items() if known.codes}
    ):
        status = recorder.statuses.get(server_id)
        if not is_selected(server_id, status) or (status is None and server_id not in routes):
            continue
        upstream = node.balancer.upstreams.get(server_id)
        row: dict[str, Any] = {"id": server_id, "routes": routes.get(server_id, {})}
        if status is not None:
            row |= {
                "service": status.service, "zone": status.zone, "region": status.region,
                "address": status.address, "avoided": list(status.codes),
                "since_s": round(now - status.since, 2),
            }  # fmt: skip
        if upstream is not None:
            row |= {"out": upstream.in_flight, "slots": upstream.slots}
        rows.append(row)
    return {
        "name": settings.name, "zone": settings.zone, "region": settings.region, "life": node.instance_id,
        "ready": node.ready, "version": f"{node.published_state.committed.version:08x}",
        "covers_s": round(covered_s, 2),
        "servers": rows,
        "changes": [
            change_view(change, now)
            for change in recorder.changes_within(window_s, now)
            if (not server or change.server_id == server) and (not service or change.service == service)
        ],
    }  # fmt: skip


def answer(node: Node, query: str) -> tuple[int, Any]:
    """Status and body of the answer to ``GET /reach``."""
    try:
        return 200, reach_view(node, *parse_query(query))
    except QueryError as e:
        return 400, {"errorText": str(e)}
