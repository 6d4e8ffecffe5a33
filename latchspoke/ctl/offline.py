"""Restores a gateway's load balancer from its saved view, to explain requests offline."""

from __future__ import annotations

import json
import math
from random import Random
from typing import Any

from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState
from latchspoke.configuration import Table

STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class StateError(ValueError):
    """The file is not a gateway's view; the message is one line."""


def load_balancer(data: bytes, table: Table) -> Balancer:
    """The load balancer at the time of the view, which becomes time 0. Raises StateError."""
    try:
        document = json.loads(data)
        view: dict[str, Any] = document.get("gateway", document)
        balancer = Balancer(view["name"], view["zone"], view["region"], Random(0), 1.0)
        balancer.set_gateways({str(name): view["zone"] for name in view["gateways"]})
        balancer.cold_limits = {
            name: ColdLimit(service.cold_s, service.cold_per_s) for name, service in table.services.items()
        }
        balancer.route_latency = {str(route): float(service) for route, service in view["usual_s"].items()}
        for server in view["servers"]:
            add_upstream(balancer, server)
        balancer.evacuated = frozenset(view["evacuated"])
    except (AttributeError, KeyError, TypeError, ValueError) as e:
        raise StateError(f"not a gateway's view: {e!r}") from None
    return balancer


def add_upstream(balancer: Balancer, server: dict[str, Any]) -> None:
    """Add one server of the view, unless it takes no requests."""
    if server["state"] not in STATES:
        return
    host, _, port = str(server["address"]).rpartition(":")
    upstream = Upstream(
        server["id"], server["service"], host, int(port), server["zone"],
        server["region"], int(server["slots"]), STATES[server["state"]],
        server["cold_s"] or -math.inf, bool(server["silent"]),
    )  # fmt: skip
    balancer.put(upstream, 0.0)
    upstream.backoff_until = server["resting_s"] or -math.inf
    upstream.in_flight, upstream.health.slowdown, upstream.health.error_rate = (
        int(server["out"]),
        server["pace"],
        server["errors"],
    )
    if server["answered_s_ago"] is not None:
        upstream.answered_at = -server["answered_s_ago"]
