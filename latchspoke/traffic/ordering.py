"""Times set in order: missing ones, coarse ones, clocks that step back, logs of several gateways.

Pure and streaming. One source goes through ``settle`` (a time for every entry, in the file's order), then
``sort`` (in order of the times, within a window), then ``merge`` with the other sources. Memory is bounded
by the window, however long the log.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from latchspoke.traffic.seen import Seen
from latchspoke.traffic.trace import ESTIMATED, SPREAD, STEPPED

RUN_MOST = 10_000  # entries without a time that wait for a neighbour with one
SECOND_MOST = 200_000  # entries of one recorded instant that are spread together
WINDOW = 60.0  # s; a log is written when answers go out, so its requests are out of order by so much
HELD_MOST = 500_000  # entries held for sorting, at the most


@dataclass(slots=True)
class Placed:
    """An entry with the time at which it arrived, in Unix seconds, and how that is known."""

    at: float
    seen: Seen
    flags: int = 0
    source: int = 0

    def __lt__(self, other: Placed) -> bool:
        return self.at < other.at


@dataclass(slots=True)
class Counts:
    """What was done to times, for the report; ``stepped_at`` names the lines, the first few."""

    estimated: int = 0
    spread: int = 0
    steps: int = 0
    late: int = 0
    stepped_at: list[int] | None = None


class Settler:
    """Gives every entry of one source a time.

    ``resolution`` is the source's: 1.0 for a clock of whole seconds, 0 for one that is fine enough.
    """

    def __init__(self, resolution: float, window: float, skew: float, draw: random.Random) -> None:
        self.resolution, self.window, self.skew, self.draw = resolution, window, skew, draw
        self.counts = Counts(stepped_at=[])
        self.offset = 0.0  # what steps of the clock have added up to
        self.newest = float("-inf")

    def settle(self, entries: Iterable[Seen]) -> Iterator[Placed]:
        """In the file's order; ``at`` is the time of the request's arrival."""
        yield from self.begun(self.spread(self.fill(self.step(entries))))

    def step(self, entries: Iterable[Seen]) -> Iterator[Placed]:
        """Undo steps back of the clock: beyond the window nothing but the clock explains them."""
        for seen in entries:
            if seen.at is None:
                yield Placed(float("nan"), seen, ESTIMATED)
                continue
            at, flags = seen.at + self.offset - self.skew, 0
            if at < self.newest - self.window:
                self.offset += self.newest - at
                at, flags = self.newest, STEPPED
                self.counts.steps += 1
                if self.counts.stepped_at is not None and len(self.counts.stepped_at) < 10:
                    self.counts.stepped_at.append(seen.line)
            self.newest = max(self.newest, at)
            yield Placed(at, seen, flags)

    def fill(self, entries: Iterable[Placed]) -> Iterator[Placed]:
        """Place what has no time evenly between the neighbours that have one."""
        last, run = None, list[Placed]()
        for placed in entries:
            if placed.flags & ESTIMATED:
                run.append(placed)
                if len(run) < RUN_MOST or last is None:
                    continue
                yield from self.between(run, last, last)  # a neighbour too far away to wait for
                run = []
                continue
            yield from self.between(run, last if last is not None else placed.at, placed.at)
            run = []
            yield placed
            last = placed.at
        if last is None:
            run = []  # no time at all: nothing to play; the importer counts them
        yield from self.between(run, last or 0.0, last or 0.0)

    def between(self, run: list[Placed], start: float, end: float) -> Iterator[Placed]:
        for place, placed in enumerate(run, 1):
            placed.at = start + max(end - start, 0.0) * place / (len(run) + 1)
            self.counts.estimated += 1
            yield placed

    def spread(self, entries: Iterable[Placed]) -> Iterator[Placed]:
        """Entries of one recorded instant lie anywhere within it: so many draws, in the file's order."""
        if not self.resolution:
            yield from entries
            return
        group: list[Placed] = []
        for placed in entries:
            if group and (placed.at != group[0].at or len(group) >= SECOND_MOST):
                yield from self.drawn(group)
                group = []
            group.append(placed)
        yield from self.drawn(group)

    def drawn(self, group: list[Placed]) -> Iterator[Placed]:
        draws = sorted(self.draw.random() for _ in group)
        for placed, part in zip(group, draws, strict=True):
            placed.at += part * self.resolution
            placed.flags |= SPREAD
            self.counts.spread += 1
            yield placed

    def begun(self, entries: Iterable[Placed]) -> Iterator[Placed]:
        """Where the answer's time was recorded, the request came so much earlier."""
        for placed in entries:
            if placed.seen.ends and placed.seen.took:
                placed.at -= placed.seen.took
            yield placed


def sort(entries: Iterable[Placed], window: float, counts: Counts) -> Iterator[Placed]:
    """In order of the times, where none is out of order by more than the window.

    One that is later than that all the same goes out with the time of the last one, and is counted.
    """
    heap: list[Placed] = []
    newest, last = float("-inf"), float("-inf")
    for placed in entries:
        newest = max(newest, placed.at)
        if placed.at < last:
            placed.at, placed.flags = last, placed.flags | ESTIMATED
            counts.late += 1
        heapq.heappush(heap, placed)
        while heap and (heap[0].at <= newest - window or len(heap) > HELD_MOST):
            first = heapq.heappop(heap)
            last = first.at
            yield first
    while heap:
        yield heapq.heappop(heap)


def merge(sources: Iterable[Iterator[Placed]]) -> Iterator[Placed]:
    """Several sources in one order, in one pass; each must be in order by itself."""
    yield from heapq.merge(*(tagged(number, source) for number, source in enumerate(sources)))


def tagged(number: int, source: Iterator[Placed]) -> Iterator[Placed]:
    for placed in source:
        placed.source = number
        yield placed
