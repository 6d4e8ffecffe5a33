"""Counts of a route's requests by service, aggregated from ``GET /reach`` of all gateways. No I/O."""

from __future__ import annotations

from array import array
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from latchspoke.reach.recorder import LATENCY_BUCKETS
from latchspoke.rollouts.comparison import RequestCounts

FAILED_OUTCOMES = ("error", "lost", "turned_away", "unreachable")
TIMED_OUTCOMES = ("ok", "error")  # their latencies are in the histogram
NO_REQUESTS = RequestCounts()


@dataclass(frozen=True, slots=True)
class Evidence:
    """What was collected at one time."""

    reporting_gateways: int  # how many of ``gateways`` answered
    gateways: int
    services: Mapping[str, RequestCounts] = field(default_factory=dict)
    available_servers: Mapping[str, int] | None = None  # by service, as a control-plane node knows them

    def counts_for(self, service: str) -> RequestCounts:
        """Counts of the service; zero if no gateway reported any."""
        return self.services.get(service, NO_REQUESTS)


def available_servers(control: Mapping[str, Any]) -> dict[str, int]:
    """Ready servers by service, from ``/status`` of a control-plane node; evacuated zones are left out."""
    servers: dict[str, int] = {}
    for server in control["servers"]:
        if server["state"] == "ready" and not server["silent"] and server["zone"] not in control["evacuated"]:
            servers[server["service"]] = servers.get(server["service"], 0) + 1
    return servers


def aggregate(
    views: Mapping[str, Mapping[str, Any] | None], route: str, target_latency_s: float | None
) -> Evidence:
    """Add up the answers of all gateways, None where one did not answer.

    Without a target latency no request counts as late.
    """
    services: dict[str, RequestCounts] = {}
    for view in views.values():
        for row in () if view is None else view["servers"]:
            outcomes = row["routes"].get(route)
            if outcomes is not None:
                service = row.get("service", "")
                services[service] = services.get(service, NO_REQUESTS) + count_requests(
                    outcomes, target_latency_s
                )
    return Evidence(sum(view is not None for view in views.values()), len(views), services)


def count_requests(outcomes: Mapping[str, Any], target_latency_s: float | None) -> RequestCounts:
    """Counts of one server, without cancelled requests."""
    failed = sum(outcomes.get(outcome, 0) for outcome in FAILED_OUTCOMES)
    times = array("I", bytes(4 * LATENCY_BUCKETS))
    for bucket, count in outcomes["times"].items():
        times[int(bucket)] += count
    # The histogram includes error responses, which count as failed, not as late.
    answered = sum(outcomes.get(outcome, 0) for outcome in TIMED_OUTCOMES)
    ok_share = outcomes.get("ok", 0) / answered if answered else 0.0
    late = 0.0 if target_latency_s is None else count_over(times, target_latency_s) * ok_share
    return RequestCounts(outcomes.get("ok", 0) + failed, failed, late)


def count_over(times: array[int], target_latency_s: float) -> float:
    """How many requests took longer than the target, interpolated linearly within a bucket."""
    late = 0.0
    for bucket, count in enumerate(times):
        low_s = 0.0 if bucket == 0 else 2.0 ** (bucket - 1) / 1000
        high_s = 2.0**bucket / 1000
        if low_s >= target_latency_s:
            late += count
        elif high_s > target_latency_s:
            late += count * (high_s - target_latency_s) / (high_s - low_s)
    return late
