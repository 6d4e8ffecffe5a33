"""Records attempts of one gateway by server and route, and why servers get fewer requests or none.

Attempts are counted by outcome and latency in spans of ``SPAN_S``. For each server the current reasons are
kept, and the latest changes. Memory is bounded by ``MAX_SPANS``, ``MAX_PAIRS`` and ``MAX_CHANGES``; nothing
is persisted. With very many pairs spans get shorter, and less of the past is kept.
Reads no clock: the time (s) is passed in.
"""

from __future__ import annotations

from array import array
from collections import deque
from collections.abc import Iterator

import msgspec

from barleyhub.interface import Code
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState

SPAN_S = 5.0
MAX_CHECKS_PER_CALL = 300  # servers whose status is checked in one call
MAX_SPANS = 24
MAX_CHANGES = 400
MAX_PAIRS_IN_SPAN = 4_000  # of server and route, some 350 bytes each
MAX_PAIRS = 24_000  # in all spans
ERROR_RATE_THRESHOLD = 0.2  # above which a server counts as erring
SLOW_FACTOR = 2.0  # latency relative to the usual above which a server counts as slow
SLOW_CLEAR_FACTOR = 1.5  # below which it no longer does; the gap prevents flapping

OUTCOMES = ("ok", "error", "turned_away", "lost", "cancelled", "unreachable", "while_cold")
OUTCOME_INDEX = {
    Code.OK: 0, Code.ERROR: 1, Code.FULL: 2, Code.RESET: 3, Code.TIMEOUT: 3, Code.CANCELLED: 4,
    Code.UNREACHABLE: 5,
}  # fmt: skip
COLD_INDEX = len(OUTCOMES) - 1  # counted in addition to the outcome
LATENCY_BUCKETS = 18  # up to 1 ms, 2 ms, 4 ms, ... 65 s, above
EMPTY_COUNTS = bytes(4 * (len(OUTCOMES) + LATENCY_BUCKETS))
RETENTION_S = SPAN_S * MAX_SPANS


def latency_bucket(latency_s: float) -> int:
    """Index of the bucket for a latency."""
    return min(int(latency_s * 1000).bit_length(), LATENCY_BUCKETS - 1)


def quantile(bucket_counts: array[int], fraction: float) -> float | None:
    """Estimated quantile (s), accurate to a factor of two; None if there are no samples."""
    total = sum(bucket_counts)
    remaining = fraction * total
    for index, count in enumerate(bucket_counts):
        if count and remaining <= count:
            lower_s = 0.0 if index == 0 else 2.0 ** (index - 1) / 1000
            return lower_s + (2.0**index / 1000 - lower_s) * remaining / count
        remaining -= count
    return None


def reason_codes(
    stock: Balancer, upstream: Upstream, now: float, previous: tuple[str, ...] = ()
) -> tuple[str, ...]:
    """Why a server gets fewer requests or none, the most severe reason first; empty: no reason.

    ``previous`` are its codes so far.
    """
    found = []
    if upstream.state is UpstreamState.GONE:
        found.append("gone")
    if upstream.state is UpstreamState.DRAINING:
        found.append("draining")
    if upstream.zone in stock.evacuated:
        found.append("evacuated")
    if stock.versions.is_withdrawn(upstream, now):
        found.append("withdrawn")
    if now < upstream.backoff_until:
        found.append("unreachable")
    if now < upstream.full_until:
        found.append("full")
    if upstream.silent:
        found.append("silent")
    if now < upstream.cold_until:
        found.append("cold")
    if now < upstream.assumed_cold_until:
        found.append("doubtful")
    if upstream.health.error_rate and upstream.health.current_error_rate(now) > ERROR_RATE_THRESHOLD:
        found.append("erring")
    if upstream.ident in stock.outlier_shares:
        found.append("failing_elsewhere")
    if upstream.health.slowdown > (SLOW_CLEAR_FACTOR if "slow" in previous else SLOW_FACTOR):
        found.append("slow")
    return tuple(found)


class ServerStatus(msgspec.Struct):
    """A server and its reason codes, unchanged since ``since`` (s)."""

    service: str
    zone: str
    region: str
    address: str
    codes: tuple[str, ...]
    since: float


class StatusChange(msgspec.Struct, frozen=True):
    """A change of a server's reason codes; ``previous_codes`` is None for a new server."""

    changed_at: float
    server_id: str
    service: str
    zone: str
    previous_codes: tuple[str, ...] | None
    codes: tuple[str, ...]
    error_rate: float  # seen by this gateway
    relative_latency: float  # relative to the usual latency
    reported_error_rate: float  # by other gateways; 0: none


class AttemptRecorder:
    """The statistics of one gateway."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.span_started_at = now
        self.current: dict[tuple[str, str], array[int]] = {}  # by server and route, in the current span
        self.spans: deque[tuple[float, dict[tuple[str, str], array[int]]]] = deque(maxlen=MAX_SPANS)
        self.statuses: dict[str, ServerStatus] = {}
        self.check_queue: list[str] = []  # servers that are yet to be checked in this round
        self.changes: deque[StatusChange] = deque(maxlen=MAX_CHANGES)

    def record(
        self, server_id: str, route: str, code: Code, latency_s: float, while_cold: bool, now: float
    ) -> None:
        """Count an attempt that has ended; one that was never sent (``MOOT``) is not counted."""
        index = OUTCOME_INDEX.get(code)
        if index is None:
            return
        key = server_id, route
        if now - self.span_started_at >= SPAN_S or (
            len(self.current) >= MAX_PAIRS_IN_SPAN and key not in self.current
        ):
            self.start_span(now)
        counts = self.current.get(key)
        if counts is None:
            counts = self.current[key] = array("I", EMPTY_COUNTS)
        counts[index] += 1
        if while_cold:
            counts[COLD_INDEX] += 1
        if index < 2:
            counts[len(OUTCOMES) + latency_bucket(latency_s)] += 1

    def start_span(self, now: float) -> None:
        """Start a new span; an empty one is not kept."""
        if self.current:
            self.spans.append((self.span_started_at, self.current))
            self.current = {}
        while sum(len(counts) for _, counts in self.spans) > MAX_PAIRS - MAX_PAIRS_IN_SPAN:
            self.spans.popleft()
        self.span_started_at = now

    def check_statuses(self, stock: Balancer, now: float) -> list[StatusChange]:
        """Update the status of servers; changes are kept and returned.

        Each call checks up to ``MAX_CHECKS_PER_CALL`` servers, in turn.
        """
        changes = []
        for server_id in self.next_server_ids(stock):
            upstream = stock.upstreams.get(server_id)
            if upstream is None:
                continue
            status = self.statuses.get(server_id)
            codes = reason_codes(stock, upstream, now, status.codes if status is not None else ())
            if status is not None and codes == status.codes:
                continue
            changes.append(self.status_change(stock, upstream, status, codes, now))
        if not self.check_queue:
            changes += self.check_removed(stock, now)
        self.changes.extend(changes)
        return changes

    def next_server_ids(self, stock: Balancer) -> list[str]:
        """The servers to check now; if ``check_queue`` is empty afterwards, the round is complete."""
        if not self.check_queue:
            self.check_queue = list(stock.upstreams)
        server_ids, self.check_queue = (
            self.check_queue[:MAX_CHECKS_PER_CALL],
            self.check_queue[MAX_CHECKS_PER_CALL:],
        )
        return server_ids

    def check_removed(self, stock: Balancer, now: float) -> list[StatusChange]:
        """Changes of servers that have been removed; their status is kept for ``RETENTION_S``."""
        changes = []
        for server_id, status in list(self.statuses.items()):
            if server_id in stock.upstreams:
                continue
            if status.codes != ("gone",):
                changes.append(
                    StatusChange(
                        now, server_id, status.service, status.zone, status.codes, ("gone",), 0.0, 1.0, 0.0
                    )
                )
                status.codes, status.since = ("gone",), now
            elif now - status.since > RETENTION_S:
                del self.statuses[server_id]
        return changes

    def status_change(
        self,
        stock: Balancer,
        upstream: Upstream,
        previous: ServerStatus | None,
        codes: tuple[str, ...],
        now: float,
    ) -> StatusChange:
        """Update the status of a server; returns the change with its evidence."""
        self.statuses[upstream.ident] = ServerStatus(
            upstream.service, upstream.zone, upstream.region, f"{upstream.host}:{upstream.port}", codes, now
        )
        reported_error_rate = stock.outlier_shares.get(upstream.ident, 0.0)
        return StatusChange(
            now, upstream.ident, upstream.service, upstream.zone,
            previous.codes if previous is not None else None, codes,
            round(upstream.health.current_error_rate(now), 3), round(upstream.health.slowdown, 2),
            round(reported_error_rate, 3),
        )  # fmt: skip

    def counts_within(self, window_s: float, now: float) -> tuple[float, dict[tuple[str, str], array[int]]]:
        """Time (s) that is covered, and the sums of all spans that overlap the window."""
        total: dict[tuple[str, str], array[int]] = {}
        earliest = now
        for span_started_at, counts in self.spans_within(window_s, now):
            earliest = min(earliest, span_started_at)
            for key, span_counts in counts.items():
                sums = total.get(key)
                if sums is None:
                    total[key] = array("I", span_counts)
                else:
                    for index, count in enumerate(span_counts):
                        sums[index] += count
        return max(now - earliest, min(window_s, now - self.started_at)), total

    def spans_within(
        self, window_s: float, now: float
    ) -> Iterator[tuple[float, dict[tuple[str, str], array[int]]]]:
        """Start (s) and counts of the spans that overlap the window."""
        for span_started_at, counts in (*self.spans, (self.span_started_at, self.current)):
            if counts and span_started_at + SPAN_S > now - window_s:
                yield span_started_at, counts

    def changes_within(self, window_s: float, now: float) -> list[StatusChange]:
        """Changes within the window, oldest first."""
        return [change for change in self.changes if now - change.changed_at <= window_s]
