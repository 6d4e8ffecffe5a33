"""One gateway's view of the upstreams, and the choice of one for an attempt."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable
from enum import IntEnum

import msgspec

from barleyhub.line.budget import SendWindow, cold_server_allowance
from barleyhub.line.queue_delay import QueueDelays
from barleyhub.line.versions import VersionRouter, VersionRule
from barleyhub.state import Health

# Smoothing factors: the weight of a new sample in a moving average.
PACE_SMOOTHING = 0.2  # an upstream's pace
LATENCY_SMOOTHING = 0.05  # a route's latency
ERROR_SMOOTHING = 0.25  # an upstream's error share
ERROR_PENALTY = 4.0  # relative slowdown assumed for an error share of 1 seen by this gateway
OUTLIER_PENALTY = 8.0  # the same for failures seen by several gateways
ERROR_FADE_S = 8.0  # time constant over which recorded errors fade
BACKOFF_BOUNDS_S = (0.4, 6.0)  # first and longest back-off after a connection failure
CROSS_ZONE_COST = 0.25  # added to the score in another zone of the region, in route latencies
CROSS_REGION_COST = 1.2  # the same in another region, on top of the network delay
QUEUE_COST = 4.0  # relative slowdown for load beyond an upstream's slots, per multiple of them
LOAD_COST = 1.5  # relative slowdown at full load; a gateway sees only its own part of the load
COLD_PENALTY = 2.5  # factor on the score of a cold upstream
SCORE_JITTER = 0.15  # range of the random factor that keeps gateways from making the same choice
ANSWER_FRESH_S = 2.0  # missed heartbeats are ignored for so long after an answer
UNREACHABLE_COLD_HEARTBEATS = 4.0  # an unreachable upstream is assumed cold for so many heartbeat intervals
OVERDUE_FACTOR = 3.0  # an attempt without an answer for so many expected latencies marks the upstream as slow


class UpstreamState(IntEnum):
    """State reported by heartbeats. It never decreases for one instance."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Upstream(msgspec.Struct):
    """One instance of a server, from start to end of its process. Times are monotonic seconds."""

    ident: str
    service: str
    host: str
    port: int
    zone: str
    region: str
    slots: int
    state: UpstreamState
    cold_until: float = -math.inf
    silent: bool = False  # the control plane misses its heartbeats
    health: Health = msgspec.field(default_factory=lambda: Health(0.0))
    in_flight: int = 0
    in_flight_since: list[float] = msgspec.field(default_factory=list)  # send times, oldest first
    backoff_until: float = -math.inf
    backoffs: int = 0
    assumed_cold_until: float = -math.inf  # after a connection failure; cleared when heartbeats resume
    answered_at: float = -math.inf
    send_window: SendWindow = msgspec.field(default_factory=SendWindow)
    full_until: float = -math.inf  # after it rejected a request
    version: str = ""  # of its software


class ColdLimit(msgspec.Struct):
    """Limit of requests to each server of a service during its warm-up; 0 means no limit."""

    duration_s: float = 0.0
    requests_per_s: float = 0.0


class Balancer:
    """All known upstreams by service, and the choice among them.

    ``heartbeat_s`` is the interval of the servers' heartbeats, ``cold_excess`` and ``cold_slack`` are the
    factor and summand by which cold limits may be exceeded, ``cross_region_s`` is the network delay to
    another region.
    """

    def __init__(
        self, gateway: str, zone: str, region: str, rng: random.Random, heartbeat_s: float,
        cold_excess: float = 1.0, cold_slack: float = 0.0, cross_region_s: float = 0.04,
    ) -> None:  # fmt: skip
        self.gateway, self.zone, self.region, self.rng, self.heartbeat_s = (
            gateway,
            zone,
            region,
            rng,
            heartbeat_s,
        )
        self.cold_excess, self.cold_slack, self.cross_region_s = cold_excess, cold_slack, cross_region_s
        self.upstreams: dict[str, Upstream] = {}
        self.services: dict[str, dict[str, Upstream]] = {}
        self.cold_limits: dict[str, ColdLimit] = {}
        self.route_latency: dict[str, float] = {}  # moving average in s, by route
        self.gateways: list[str] = [gateway]
        # This gateway's requests a second to a cold server, by instance and limit for all gateways.
        self.cold_allowances: dict[tuple[str, float], int] = {}
        self.zone_gateways: dict[str, int] = {zone: 1}  # live gateways by zone
        self.evacuated: frozenset[str] = frozenset()
        self.revision = 0  # incremented with each change from the control plane
        self.queue_delays = QueueDelays()
        # Failure shares by instance, agreed on by several gateways.
        self.outlier_shares: dict[str, float] = {}
        self.versions = VersionRouter()

    # Updates from the control plane.

    def put(self, upstream: Upstream, now: float) -> None:
        """Add or update an upstream as reported by the control plane."""
        self.revision += 1
        known = self.upstreams.get(upstream.ident)
        if known is None:
            if upstream.state is UpstreamState.GONE:
                return
            upstream.health = Health(now)
            self.upstreams[upstream.ident] = upstream
            self.services.setdefault(upstream.service, {})[upstream.ident] = upstream
            return
        known.state = max(known.state, upstream.state)
        known.slots, known.version = upstream.slots, upstream.version or known.version
        known.cold_until = upstream.cold_until
        if known.silent and not upstream.silent:
            # Heartbeats have resumed, and they tell how long the upstream is cold.
            known.assumed_cold_until = known.backoff_until = -math.inf
            known.backoffs = 0
        known.silent = upstream.silent
        if known.state is UpstreamState.GONE:
            self.remove(known.ident)

    def remove(self, ident: str) -> None:
        """Forget an upstream that is gone; unknown ones are ignored."""
        upstream = self.upstreams.pop(ident, None)
        if upstream is not None:
            self.revision += 1
            upstream.state = UpstreamState.GONE
            self.services[upstream.service].pop(ident, None)

    def set_evacuated_zones(self, zones: Iterable[str], now: float) -> None:
        """Replace the set of evacuated zones. Upstreams of a zone that is no longer in it count as cold."""
        zones = frozenset(zones)
        self.revision += 1
        for upstream in self.upstreams.values():
            if upstream.zone in self.evacuated - zones:
                limit = self.cold_limits.get(upstream.service, ColdLimit())
                upstream.cold_until = max(
                    upstream.cold_until,
                    now + limit.duration_s + self.heartbeat_s if limit.requests_per_s else 0.0,
                )
        self.evacuated = zones

    def set_version_rules(self, rules: dict[str, VersionRule]) -> None:
        """Replace the rollouts by service."""
        self.revision += 1
        self.versions.rules = rules

    def set_gateways(self, gateways: dict[str, str], departed: Iterable[str] = ()) -> None:
        """Set the live gateways with their zones, and departed ones that may still send to cold upstreams."""
        self.gateways = sorted({*gateways, *departed})
        self.cold_allowances.clear()
        self.zone_gateways = {}
        for zone in gateways.values():
            self.zone_gateways[zone] = self.zone_gateways.get(zone, 0) + 1

    # Selection.

    def is_cold(self, upstream: Upstream, now: float) -> bool:
        """Whether it is in its warm-up, or may be, as nothing has been heard from it lately."""
        silent = upstream.silent and now - upstream.answered_at > ANSWER_FRESH_S
        return now < upstream.cold_until or now < upstream.assumed_cold_until or silent

    def cold_allowance(self, upstream: Upstream) -> int:
        """Requests a second that this gateway may send to the upstream while it is cold."""
        limit = self.cold_limits.get(upstream.service)
        if limit is None or not limit.requests_per_s:
            return 1_000_000
        key = upstream.ident, limit.requests_per_s * self.cold_excess + self.cold_slack
        if key not in self.cold_allowances:
            self.cold_allowances[key] = cold_server_allowance(key[0], self.gateway, self.gateways, key[1])
        return self.cold_allowances[key]

    def pick(
        self, service: str, route: str, homes: frozenset[str] | None, tried: Collection[str], now: float,
        initial_latency: float,
    ) -> Upstream | None:  # fmt: skip
        """The eligible upstream with the lowest score.

        ``homes`` are the allowed regions (None: all), ``tried`` the instances to skip, ``initial_latency`` is
        assumed in s for a route without answers yet.
        """
        latency = self.route_latency.get(route, initial_latency)
        upstreams = self.services.get(service, {})
        if service not in self.versions.rules:
            return self.pick_among(upstreams.values(), service, homes, tried, now, latency)
        draw = None if tried else self.rng.random()
        groups = self.versions.candidates(service, upstreams, self.revision, self.evacuated, draw, now)
        for group in groups:
            best = self.pick_among(group, service, homes, tried, now, latency)
            if best is not None:
                return best
        return None

    def pick_among(
        self, upstreams: Iterable[Upstream], service: str, homes: frozenset[str] | None,
        tried: Collection[str], now: float, latency: float,
    ) -> Upstream | None:  # fmt: skip
        """The eligible one of ``upstreams`` with the lowest score; ``latency`` in s is the route's."""
        best, lowest = None, math.inf
        delays: dict[str, float] = {}  # queueing delay by region
        for upstream in upstreams:
            if upstream.state is not UpstreamState.READY or upstream.zone in self.evacuated:
                continue
            if homes is not None and upstream.region not in homes:
                continue
            if upstream.ident in tried:
                continue
            delay = delays.get(upstream.region)
            if delay is None:
                delay = delays[upstream.region] = self.queue_delays.delay(service, upstream.region, now)
            score = self.score(upstream, latency, now, delay)
            if score < lowest:
                if self.is_cold(upstream, now) and not upstream.send_window.has_room(
                    self.cold_allowance(upstream), now
                ):
                    continue
                best, lowest = upstream, score
        return best

    def score(self, upstream: Upstream, latency: float, now: float, delay: float) -> float:
        """Expected latency in s with penalties; ``delay`` is the queueing delay in the upstream's region."""
        gateway_count = self.zone_gateways.get(upstream.zone, 0) if upstream.zone == self.zone else 1.5
        load = upstream.in_flight * max(gateway_count, 1) / max(upstream.slots, 1)
        pace = latency * upstream.health.slowdown
        if upstream.in_flight_since and now - upstream.in_flight_since[0] > OVERDUE_FACTOR * pace:
            pace = max(pace, (now - upstream.in_flight_since[0]) / 2)
        time = pace * (1 + LOAD_COST * load + QUEUE_COST * max(load - 1.0, 0.0))
        if upstream.zone != self.zone:
            time += (
                CROSS_ZONE_COST * latency
                if upstream.region == self.region
                else CROSS_REGION_COST * latency + self.cross_region_s
            )
        time += delay
        cost = ERROR_PENALTY * upstream.health.current_error_rate(now)
        if self.outlier_shares and upstream.ident in self.outlier_shares:
            cost = max(cost, OUTLIER_PENALTY * self.outlier_shares[upstream.ident])
        time *= 1 + cost
        if now < upstream.backoff_until:
            time += 50.0
        if now < upstream.full_until:
            time += 20.0 * latency
        if self.is_cold(upstream, now):
            time *= COLD_PENALTY
            if upstream.silent:
                time += 10.0
        return time * (1 + SCORE_JITTER * self.rng.random())

    def expected_latency(self, service: str, route: str, now: float, initial_latency: float) -> float:
        """Moving average of a route's latency in s."""
        return self.route_latency.get(route, initial_latency)

    # Feedback from attempts.

    def attempt_sent(self, upstream: Upstream, now: float) -> None:
        """Count an attempt as in flight."""
        upstream.in_flight += 1
        upstream.in_flight_since.append(now)
        upstream.send_window.record(now)

    def attempt_ended(self, upstream: Upstream, sent_at: float) -> None:
        """Count the attempt sent at ``sent_at`` as no longer in flight."""
        upstream.in_flight -= 1
        if sent_at in upstream.in_flight_since:
            upstream.in_flight_since.remove(sent_at)

    def record_answer(
        self, upstream: Upstream, route: str, took: float, now: float, initial_latency: float
    ) -> None:
        """Record a good answer that took ``took`` s."""
        latency = self.route_latency.get(route, initial_latency)
        self.route_latency[route] = latency + (took - latency) * LATENCY_SMOOTHING
        cross_region_s = self.cross_region_s if upstream.region != self.region else 0.0
        self.queue_delays.record_answer(
            upstream.service, upstream.region, route, took - cross_region_s, self.route_latency[route], now
        )
        upstream.health.slowdown += (
            min(took / max(latency, 0.001), 5.0) - upstream.health.slowdown
        ) * PACE_SMOOTHING
        upstream.health.record_outcome(False, ERROR_SMOOTHING, ERROR_FADE_S, now)
        upstream.backoffs, upstream.backoff_until, upstream.answered_at = 0, -math.inf, now

    def record_failure(self, upstream: Upstream, now: float, unreachable: bool, weight: float = 1.0) -> None:
        """Record an attempt without a good answer; ``unreachable`` if no connection could be made."""
        upstream.health.record_outcome(True, ERROR_SMOOTHING * weight, ERROR_FADE_S, now)
        if unreachable:
            upstream.backoff_until = now + min(
                BACKOFF_BOUNDS_S[0] * 2**upstream.backoffs, BACKOFF_BOUNDS_S[1]
            ) * (0.8 + 0.4 * self.rng.random())
            upstream.backoffs += 1
            upstream.assumed_cold_until = now + UNREACHABLE_COLD_HEARTBEATS * self.heartbeat_s

    def record_rejection(self, upstream: Upstream, now: float) -> None:
        """Record that the upstream rejected a request because it was full."""
        upstream.full_until = now + 0.3
        upstream.health.slowdown = min(upstream.health.slowdown * 1.3, 5.0)


def allowed_regions(route: frozenset[str], tenant: frozenset[str]) -> frozenset[str] | None:
    """Regions that route and tenant both allow; an empty set allows all of them. None if both are empty."""
    if route and tenant:
        return route & tenant
    return route or tenant or None
