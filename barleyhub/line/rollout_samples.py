"""One gateway's counts of attempts at the versions of a service that is being rolled out. No I/O.

The counts only grow while the rollout lasts, so that a report may be lost, repeated or arrive late. Attempts
at the target version are counted by upstream, all others together. An attempt counts as late if it takes
longer than ``LATE_FACTOR`` times the latency that the route had at this gateway when the rollout began; one
that is still in flight then counts at that time. Attempts at a cold upstream are not timed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from barleyhub.interface import Code
from barleyhub.line.balancer import Upstream

LATE_FACTOR = 2.0
OTHER_VERSIONS = ""  # in place of an upstream's identifier
FAILED_CODES = frozenset((Code.ERROR, Code.RESET))
COUNTED_CODES = frozenset((Code.OK, Code.TIMEOUT)) | FAILED_CODES

SampleKey = tuple[str, str]  # upstream or OTHER_VERSIONS, route
AttemptKey = tuple[str, int]  # request, attempt


class SampleCounts(msgspec.Struct):
    """Attempts that have ended, how many of them failed, and how many of the timed ones were late."""

    ended: int = 0
    failed: int = 0
    timed: int = 0
    late: int = 0


class InFlightAttempt(msgspec.Struct, frozen=True):
    """An attempt that has not ended yet."""

    key: AttemptKey
    upstream: Upstream
    route: str
    sent_at: float


class RolloutSampler:
    """The counts of one service's rollout."""

    def __init__(
        self, rollout_id: int, target_version: str, usual_latency: Mapping[str, float], now: float
    ) -> None:
        """``usual_latency``: in s by route, as of now."""
        self.rollout_id, self.target_version, self.began_at = rollout_id, target_version, now
        self.usual_latency = dict(usual_latency)
        self.counts: dict[SampleKey, SampleCounts] = {}
        self.late_in_flight: set[AttemptKey] = set()  # counted as late before they ended

    def late_after(self, route: str, initial_latency: float) -> float:
        """Time in s after which an attempt is late."""
        return LATE_FACTOR * self.usual_latency.setdefault(route, initial_latency)

    def counts_of(self, upstream: Upstream, route: str) -> SampleCounts:
        """The counts that an attempt belongs to."""
        server = upstream.ident if upstream.version == self.target_version else OTHER_VERSIONS
        return self.counts.setdefault((server, route), SampleCounts())

    def record(
        self, attempt: InFlightAttempt, code: Code, took: float, initial_latency: float, prompt_close: bool
    ) -> None:
        """Count an attempt that has ended. ``prompt_close``: a kept connection was closed as it was sent."""
        was_late = attempt.key in self.late_in_flight
        self.late_in_flight.discard(attempt.key)
        if code not in COUNTED_CODES or prompt_close:
            return
        counts = self.counts_of(attempt.upstream, attempt.route)
        counts.ended += 1
        counts.failed += code in FAILED_CODES
        if was_late or attempt.sent_at < attempt.upstream.cold_until:
            return
        late = took > self.late_after(attempt.route, initial_latency)
        if code is Code.OK or late:
            counts.timed += 1
            counts.late += late

    def count_late(
        self, attempts: Iterable[InFlightAttempt], initial_latency: Mapping[str, float], now: float
    ) -> None:
        """Count attempts in flight that are late by now; ``initial_latency`` in s by route."""
        for attempt in attempts:
            if attempt.key in self.late_in_flight or attempt.sent_at < attempt.upstream.cold_until:
                continue
            if now - attempt.sent_at > self.late_after(attempt.route, initial_latency[attempt.route]):
                self.late_in_flight.add(attempt.key)
                counts = self.counts_of(attempt.upstream, attempt.route)
                counts.timed += 1
                counts.late += 1
