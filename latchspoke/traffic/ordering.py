"""Repairs timestamps and orders the entries of several logs.

Handles missing and coarse timestamps, clocks that step back and clock skew. Each source passes through
``TimestampNormalizer.normalize`` (assigns a time to every entry, in file order) and ``sort_within_window``;
``merge_sources`` then merges the sources. Streaming: memory is bounded by the window and the buffer limits.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from latchspoke.traffic.recorded import RecordedExchange
from latchspoke.traffic.trace import ESTIMATED, SPREAD, STEPPED

MAX_UNTIMED_ENTRIES = 10_000  # buffered until an entry with a time follows
MAX_ENTRIES_PER_INSTANT = 200_000  # buffered with an equal timestamp
REORDER_WINDOW_S = 60.0  # logs are written when responses end, so requests are out of order
MAX_SORT_BUFFER_ENTRIES = 500_000


@dataclass(slots=True)
class TimedExchange:
    """An exchange with its arrival time in Unix seconds; ``flags`` are those of the trace format."""

    at: float
    exchange: RecordedExchange
    flags: int = 0
    source_index: int = 0

    def __lt__(self, other: TimedExchange) -> bool:
        return self.at < other.at


@dataclass(slots=True)
class TimestampCounts:
    """Counts of repaired timestamps. ``stepped_lines`` holds the lines of the first clock steps."""

    estimated: int = 0
    spread: int = 0
    clock_steps: int = 0
    late: int = 0
    stepped_lines: list[int] | None = None


class TimestampNormalizer:
    """Assigns an arrival time to every entry of one source.

    ``resolution_s`` is the resolution of the source's clock; 0 disables the spreading of equal times.
    """

    def __init__(self, resolution_s: float, window_s: float, clock_skew_s: float, rng: random.Random) -> None:
        self.resolution_s, self.window_s, self.clock_skew_s, self.rng = (
            resolution_s,
            window_s,
            clock_skew_s,
            rng,
        )
        self.counts = TimestampCounts(stepped_lines=[])
        self.step_offset_s = 0.0  # sum of the clock steps so far
        self.newest_at = float("-inf")

    def normalize(self, entries: Iterable[RecordedExchange]) -> Iterator[TimedExchange]:
        """Yield the entries in file order; ``at`` is the arrival time of the request."""
        yield from self.shift_to_request_start(
            self.spread_equal_times(self.interpolate_missing(self.undo_clock_steps(entries)))
        )

    def undo_clock_steps(self, entries: Iterable[RecordedExchange]) -> Iterator[TimedExchange]:
        """Compensate backward clock steps, that is, times that go back by more than the window."""
        for exchange in entries:
            if exchange.at is None:
                yield TimedExchange(float("nan"), exchange, ESTIMATED)
                continue
            at, flags = exchange.at + self.step_offset_s - self.clock_skew_s, 0
            if at < self.newest_at - self.window_s:
                self.step_offset_s += self.newest_at - at
                at, flags = self.newest_at, STEPPED
                self.counts.clock_steps += 1
                if self.counts.stepped_lines is not None and len(self.counts.stepped_lines) < 10:
                    self.counts.stepped_lines.append(exchange.line)
            self.newest_at = max(self.newest_at, at)
            yield TimedExchange(at, exchange, flags)

    def interpolate_missing(self, entries: Iterable[TimedExchange]) -> Iterator[TimedExchange]:
        """Space entries without a time evenly between the neighbours that have one."""
        last_at, untimed = None, list[TimedExchange]()
        for timed in entries:
            if timed.flags & ESTIMATED:
                untimed.append(timed)
                if len(untimed) < MAX_UNTIMED_ENTRIES or last_at is None:
                    continue
                # The buffer is full: don't wait for the next time.
                yield from self.interpolate(untimed, last_at, last_at)
                untimed = []
                continue
            yield from self.interpolate(untimed, last_at if last_at is not None else timed.at, timed.at)
            untimed = []
            yield timed
            last_at = timed.at
        if last_at is None:
            untimed = []  # the source has no timestamps at all
        yield from self.interpolate(untimed, last_at or 0.0, last_at or 0.0)

    def interpolate(self, untimed: list[TimedExchange], start: float, end: float) -> Iterator[TimedExchange]:
        for index, timed in enumerate(untimed, 1):
            timed.at = start + max(end - start, 0.0) * index / (len(untimed) + 1)
            self.counts.estimated += 1
            yield timed

    def spread_equal_times(self, entries: Iterable[TimedExchange]) -> Iterator[TimedExchange]:
        """Spread entries with an equal timestamp at random over the clock's resolution, in file order."""
        if not self.resolution_s:
            yield from entries
            return
        group: list[TimedExchange] = []
        for timed in entries:
            if group and (timed.at != group[0].at or len(group) >= MAX_ENTRIES_PER_INSTANT):
                yield from self.assign_random_times(group)
                group = []
            group.append(timed)
        yield from self.assign_random_times(group)

    def assign_random_times(self, group: list[TimedExchange]) -> Iterator[TimedExchange]:
        fractions = sorted(self.rng.random() for _ in group)
        for timed, fraction in zip(group, fractions, strict=True):
            timed.at += fraction * self.resolution_s
            timed.flags |= SPREAD
            self.counts.spread += 1
            yield timed

    def shift_to_request_start(self, entries: Iterable[TimedExchange]) -> Iterator[TimedExchange]:
        """Subtract the duration where the recorded time is that of the response."""
        for timed in entries:
            if timed.exchange.at_is_end and timed.exchange.duration_s:
                timed.at -= timed.exchange.duration_s
            yield timed


def sort_within_window(
    entries: Iterable[TimedExchange], window_s: float, counts: TimestampCounts
) -> Iterator[TimedExchange]:
    """Sort entries that are out of order by no more than the window.

    A later entry gets the time of the last one that was yielded, and is counted as late.
    """
    heap: list[TimedExchange] = []
    newest_at, last_at = float("-inf"), float("-inf")
    for timed in entries:
        newest_at = max(newest_at, timed.at)
        if timed.at < last_at:
            timed.at, timed.flags = last_at, timed.flags | ESTIMATED
            counts.late += 1
        heapq.heappush(heap, timed)
        while heap and (heap[0].at <= newest_at - window_s or len(heap) > MAX_SORT_BUFFER_ENTRIES):
            first = heapq.heappop(heap)
            last_at = first.at
            yield first
    while heap:
        yield heapq.heappop(heap)


def merge_sources(sources: Iterable[Iterator[TimedExchange]]) -> Iterator[TimedExchange]:
    """Merge sources by time in one pass; each source must be sorted."""
    yield from heapq.merge(*(with_source_index(index, source) for index, source in enumerate(sources)))


def with_source_index(index: int, source: Iterator[TimedExchange]) -> Iterator[TimedExchange]:
    for timed in source:
        timed.source_index = index
        yield timed
