"""A gateway's train graph as told: ``GET /reach?since=60&service=S&server=ID``; loaded when asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from latchspoke.net.http import read_decimal
from latchspoke.reach.graph import ENDS, KEPT, Change, Standing

if TYPE_CHECKING:
    from latchspoke.dataplane.node import Node

SINCE = 60.0  # s, where nobody says


class AskError(ValueError):
    """A question that can't be read; one line."""


def read_ask(query: str) -> tuple[float, str, str]:
    """How far back (s), which service and server; empty: all. Raises AskError."""
    fields = {name: values[-1] for name, values in parse_qs(query, keep_blank_values=True).items()}
    if unknown := sorted(fields.keys() - {"since", "service", "server"}):
        raise AskError(f"{unknown[0][:40]!r} is none of since, service, server")
    since = read_decimal(fields["since"].encode()) if "since" in fields else SINCE
    if since is None or not 0 < since <= KEPT:
        raise AskError(f"since is a number of seconds over 0, up to {KEPT:g}")
    return since, fields.get("service", ""), fields.get("server", "")


def change(each: Change, now: float) -> dict[str, Any]:
    """A change as JSON; its age in s."""
    return {
        "s_ago": round(now - each.at, 2), "id": each.ident, "service": each.service, "zone": each.zone,
        "was": None if each.was is None else list(each.was), "codes": list(each.codes), "errors": each.errors,
        "pace": each.pace, "told": each.told,
    }  # fmt: skip


def reach(node: Node, since: float, service: str = "", server: str = "") -> dict[str, Any]:
    """Servers that requests from here reached in the last ``since`` s, and those that got less."""
    graph, now, settings = node.reach_graph, node.clock.now(), node.settings
    covers, counts = graph.counted(since, now)
    routes: dict[str, dict[str, Any]] = {}
    for (ident, route), each in counts.items():
        ends = {name: count for name, count in zip(ENDS, each, strict=False) if count}
        times = {str(place): count for place, count in enumerate(each[len(ENDS) :]) if count}
        routes.setdefault(ident, {})[route] = ends | {"times": times}

    def asked_for(ident: str, standing: Standing | None) -> bool:
        return (not server or ident == server) and (
            not service or (standing is not None and standing.service == service)
        )

    rows = []
    for ident in sorted(routes.keys() | {i for i, s in graph.standings.items() if s.codes}):
        standing = graph.standings.get(ident)
        if not asked_for(ident, standing) or (standing is None and ident not in routes):
            continue
        upstream = node.balancer.upstreams.get(ident)
        row: dict[str, Any] = {"id": ident, "routes": routes.get(ident, {})}
        if standing is not None:
            row |= {
                "service": standing.service, "zone": standing.zone, "region": standing.region,
                "address": standing.address, "avoided": list(standing.codes),
                "since_s": round(now - standing.since, 2),
            }  # fmt: skip
        if upstream is not None:
            row |= {"out": upstream.in_flight, "slots": upstream.slots}
        rows.append(row)
    return {
        "name": settings.name, "zone": settings.zone, "region": settings.region, "life": node.instance_id,
        "ready": node.ready, "version": f"{node.published_state.committed.version:08x}",
        "covers_s": round(covers, 2),
        "servers": rows,
        "changes": [
            change(each, now)
            for each in graph.lately(since, now)
            if (not server or each.ident == server) and (not service or each.service == service)
        ],
    }  # fmt: skip


def answer(node: Node, query: str) -> tuple[int, Any]:
    """The answer to ``GET /reach``."""
    try:
        return 200, reach(node, *read_ask(query))
    except AskError as e:
        return 400, {"errorText": str(e)}
