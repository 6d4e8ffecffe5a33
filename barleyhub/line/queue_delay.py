"""Estimates the queueing delay at each service's servers, and sheds low-priority requests where it is long.

Servers do not report their queues, so the delay is estimated as the mean time that answers take beyond the
baseline of their route. A request is shed if the delay would make it, or requests of a higher priority, miss
their target latency. The shed share grows gradually with the delay: each gateway knows only its own answers,
and a hard threshold would make all gateways oscillate together. Does no I/O.
"""

from __future__ import annotations

import math

import msgspec

FADE_S = 0.8  # time constant over which answers fade
PRIOR_ANSWERS = 3.0  # answers without delay that are assumed before any is known
MIN_ANSWERS = 1.5  # a single slow answer is no evidence of a queue
RECENT_DEMAND_S = 2.0  # routes requested within this time count as in demand
BASELINE_RISE = 0.003  # relative growth of a route's baseline per answer, so that it follows changed work
# Shedding starts at the first and is complete at the second delay, in units of a route's slack.
HIGHER_PRIORITY_SLACK = (0.25, 0.75)
OWN_SLACK = (1.0, 1.5)


class DelayEstimate(msgspec.Struct):
    """Mean time of answers beyond their baseline, weighted by the inverse square of the baseline."""

    weighted_delay: float = 0.0  # sum of s times weight
    weight: float = 0.0
    answers: float = 0.0  # faded count
    updated_at: float = -math.inf

    def record(self, excess: float, baseline: float, now: float) -> None:
        """Add an answer that took ``excess`` s more than ``baseline`` s."""
        decay, weight = math.exp(-max(now - self.updated_at, 0.0) / FADE_S), baseline**-2
        self.weighted_delay, self.weight = (
            self.weighted_delay * decay + excess * weight,
            self.weight * decay + weight,
        )
        self.answers, self.updated_at = self.answers * decay + 1.0, now

    def delay(self, baseline: float, now: float) -> float:
        """Estimated delay in s; ``baseline`` is that of the shortest route in demand."""
        decay = math.exp(-max(now - self.updated_at, 0.0) / FADE_S)
        if self.answers * decay < MIN_ANSWERS:
            return 0.0
        return max(self.weighted_delay * decay / (self.weight * decay + PRIOR_ANSWERS * baseline**-2), 0.0)


class RouteDemand(msgspec.Struct):
    """Priority (0 is the highest), target latency in s and last request of a route."""

    priority: int
    target_latency: float
    requested_at: float


class QueueDelays(msgspec.Struct):
    """Estimated queueing delay of each service in each region, from this gateway's own answers."""

    estimates: dict[tuple[str, str], DelayEstimate] = msgspec.field(default_factory=dict)
    baselines: dict[str, float] = msgspec.field(default_factory=dict)  # in s by route
    demand: dict[str, dict[str, RouteDemand]] = msgspec.field(default_factory=dict)  # by service, route

    def record_request(
        self, service: str, route: str, priority: int, target_latency: float, now: float
    ) -> None:
        """Note that a route is in demand."""
        self.demand.setdefault(service, {})[route] = RouteDemand(priority, target_latency, now)

    def record_answer(
        self, service: str, region: str, route: str, took: float, latency: float, now: float
    ) -> None:
        """Record an answer.

        ``took`` excludes the network delay, ``latency`` is the route's moving average; both in s.
        """
        baseline = max(min(self.baselines.get(route, latency) * (1 + BASELINE_RISE), latency), 0.001)
        self.baselines[route] = baseline
        self.estimates.setdefault((service, region), DelayEstimate()).record(took - baseline, baseline, now)

    def delay(self, service: str, region: str, now: float) -> float:
        """Expected queueing delay in s; 0.0 if nothing is known."""
        estimate = self.estimates.get((service, region))
        if estimate is None:
            return 0.0
        baselines = [
            self.baselines[route] for route in self.demand.get(service, ()) if route in self.baselines
        ]
        return estimate.delay(min(baselines), now) if baselines else 0.0

    def slack(self, route: str, target_latency: float) -> float:
        """Delay in s at which a route's requests still meet their target latency."""
        return max(target_latency - self.baselines.get(route, target_latency / 2), 0.01)

    def shed_share(self, service: str, route: str, region: str, now: float) -> float:
        """Share, 0 to 1, of a route's requests to this region that are to be shed."""
        delay = self.delay(service, region, now)
        if not delay:
            return 0.0
        demand = self.demand[service]
        own = demand[route]
        share = ramp(delay, self.slack(route, own.target_latency), OWN_SLACK)
        for other_route, other in demand.items():
            if other.priority < own.priority and now - other.requested_at < RECENT_DEMAND_S:
                share = max(
                    share, ramp(delay, self.slack(other_route, other.target_latency), HIGHER_PRIORITY_SLACK)
                )
        return share

    def expire(self, now: float) -> None:
        """Forget routes without recent requests."""
        for service, demand in list(self.demand.items()):
            self.demand[service] = {
                route: entry for route, entry in demand.items() if now - entry.requested_at < 60.0
            }


def ramp(delay: float, slack: float, bounds: tuple[float, float]) -> float:
    """Position of a delay between two bounds, given in units of ``slack``; clamped to 0..1."""
    start, end = bounds[0] * slack, bounds[1] * slack
    return min(max((delay - start) / (end - start), 0.0), 1.0)
