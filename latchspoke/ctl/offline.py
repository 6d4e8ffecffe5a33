"""A gateway's servers from its saved view, to explain requests without it."""

from __future__ import annotations

import json
import math
from random import Random
from typing import Any

from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState
from latchspoke.configuration import Table

STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class StateError(ValueError):
    """The file is no view of a gateway's; one line."""


def stock_of(data: bytes, table: Table) -> Balancer:
    """As of the moment of the view, which counts as 0 s. Raises StateError."""
    try:
        found = json.loads(data)
        view: dict[str, Any] = found.get("gateway", found)
        stock = Balancer(view["name"], view["zone"], view["region"], Random(0), 1.0)
        stock.set_gateways({str(name): view["zone"] for name in view["gateways"]})
        stock.cold_limits = {name: ColdLimit(s.cold_s, s.cold_per_s) for name, s in table.services.items()}
        stock.route_latency = {str(route): float(s) for route, s in view["usual_s"].items()}
        for each in view["servers"]:
            put(stock, each)
        stock.evacuated = frozenset(view["evacuated"])
    except (AttributeError, KeyError, TypeError, ValueError) as e:
        raise StateError(f"no view of a gateway's: {e!r}") from None
    return stock


def put(stock: Balancer, each: dict[str, Any]) -> None:
    if each["state"] not in STATES:
        return
    host, _, port = str(each["address"]).rpartition(":")
    upstream = Upstream(
        each["id"], each["service"], host, int(port), each["zone"], each["region"], int(each["slots"]),
        STATES[each["state"]], each["cold_s"] or -math.inf, bool(each["silent"]),
    )  # fmt: skip
    stock.put(upstream, 0.0)
    upstream.backoff_until = each["resting_s"] or -math.inf
    upstream.in_flight, upstream.health.slowdown, upstream.health.error_rate = (
        int(each["out"]),
        each["pace"],
        each["errors"],
    )
    if each["answered_s_ago"] is not None:
        upstream.answered_at = -each["answered_s_ago"]
