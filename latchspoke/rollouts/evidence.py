"""What all gateways tell of a route's requests, by service (``GET /reach`` of each). Pure."""

from __future__ import annotations

from array import array
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from latchspoke.reach.recorder import LATENCY_BUCKETS
from latchspoke.rollouts.judge import Counted

FAILED = ("error", "lost", "turned_away", "unreachable")
TIMED = ("ok", "error")  # these have a time
NOBODY = Counted()


@dataclass(frozen=True, slots=True)
class Evidence:
    """Of one look."""

    heard: int  # gateways that answered
    gateways: int
    services: Mapping[str, Counted] = field(default_factory=dict)
    able: Mapping[str, int] | None = (
        None  # servers that may be sent to, by service, as a control machine knows
    )

    def of(self, service: str) -> Counted:
        return self.services.get(service, NOBODY)


def able(control: Mapping[str, Any]) -> dict[str, int]:
    """By a control machine's ``/status``."""
    found: dict[str, int] = {}
    for server in control["servers"]:
        if server["state"] == "ready" and not server["silent"] and server["zone"] not in control["evacuated"]:
            found[server["service"]] = found.get(server["service"], 0) + 1
    return found


def gather(views: Mapping[str, Mapping[str, Any] | None], route: str, aim: float | None) -> Evidence:
    """``views``: what each gateway answered, or None. ``aim`` (s): of the route; without, nothing is late."""
    found: dict[str, Counted] = {}
    for view in views.values():
        for row in () if view is None else view["servers"]:
            ends = row["routes"].get(route)
            if ends is not None:
                service = row.get("service", "")
                found[service] = found.get(service, NOBODY) + counted(ends, aim)
    return Evidence(sum(view is not None for view in views.values()), len(views), found)


def counted(ends: Mapping[str, Any], aim: float | None) -> Counted:
    """Of one server. What its callers called off says nothing of it."""
    failed = sum(ends.get(end, 0) for end in FAILED)
    times = array("I", bytes(4 * LATENCY_BUCKETS))
    for place, count in ends["times"].items():
        times[int(place)] += count
    # A time counts for ok and for error answers; errors are failed already.
    answered = sum(ends.get(end, 0) for end in TIMED)
    part = ends.get("ok", 0) / answered if answered else 0.0
    late = 0.0 if aim is None else over(times, aim) * part
    return Counted(ends.get("ok", 0) + failed, failed, late)


def over(times: array[int], aim: float) -> float:
    """How many took longer than ``aim`` (s); within a bucket they are taken to be spread evenly."""
    late = 0.0
    for place, count in enumerate(times):
        low = 0.0 if place == 0 else 2.0 ** (place - 1) / 1000
        high = 2.0**place / 1000
        if low >= aim:
            late += count
        elif high > aim:
            late += count * (high - aim) / (high - low)
    return late
