"""What one gateway keeps of the servers that its requests reached: counts by span of time, and standings.

For each span of ``SPAN`` s, server and route: how attempts ended and how long they took; and for each server
why it got less or nothing, since when, and what it was before. Memory is bounded by ``SPANS`` and
``CHANGES``; all of it ends with the process. Pure: every call brings the time.
"""

from __future__ import annotations

from array import array
from collections import deque
from collections.abc import Iterator

import msgspec

from barleyhub.interface import Code
from barleyhub.line.stock import State, Stock, Upstream

SPAN = 5.0  # s; what is counted together
LOOKS = 300  # servers whose standing is looked at in one call
SPANS = 24  # kept: two minutes
CHANGES = 400  # of standings, the newest, are kept
ERRING = 0.2  # share of errors from which on a server counts as erring
SLOW = 2.0  # times the usual time
SLOW_AGAIN = 1.5  # below which a slow one is slow no more: a server at the bound would come and go

ENDS = ("ok", "error", "turned_away", "lost", "cancelled", "unreachable", "while_cold")
PLACE = {
    Code.OK: 0, Code.ERROR: 1, Code.FULL: 2, Code.RESET: 3, Code.TIMEOUT: 3, Code.CANCELLED: 4,
    Code.UNREACHABLE: 5,
}  # fmt: skip
COLD = len(ENDS) - 1  # counted beside how it ended
BUCKETS = 18  # of times: up to 1 ms, 2 ms, 4 ms, ... 65 s, more
NONE = bytes(4 * (len(ENDS) + BUCKETS))
KEPT = SPAN * SPANS  # s


def bucket(took: float) -> int:
    """Which bucket a time (s) is counted in."""
    return min(int(took * 1000).bit_length(), BUCKETS - 1)


def quantile(times: array[int], part: float) -> float | None:
    """The time (s) below which this part of what was counted lies, to a factor of two; None: nothing was."""
    total = sum(times)
    left = part * total
    for place, count in enumerate(times):
        if count and left <= count:
            low = 0.0 if place == 0 else 2.0 ** (place - 1) / 1000
            return low + (2.0**place / 1000 - low) * left / count
        left -= count
    return None


def standing(stock: Stock, upstream: Upstream, now: float, was: tuple[str, ...] = ()) -> tuple[str, ...]:
    """Why a server gets nothing, or less than its part: reason codes, the hardest first; none: it is well."""
    found = []
    if upstream.state is State.GONE:
        found.append("gone")
    if upstream.state is State.DRAINING:
        found.append("draining")
    if upstream.zone in stock.evacuated:
        found.append("evacuated")
    if now < upstream.rest_until:
        found.append("unreachable")
    if now < upstream.full_until:
        found.append("full")
    if upstream.silent:
        found.append("silent")
    if now < upstream.cold_until:
        found.append("cold")
    if now < upstream.doubt_until:
        found.append("doubtful")
    if upstream.own.errors and upstream.own.share(now) > ERRING:
        found.append("erring")
    if upstream.ident in stock.told:
        found.append("failing_elsewhere")
    if upstream.own.pace > (SLOW_AGAIN if "slow" in was else SLOW):
        found.append("slow")
    return tuple(found)


class Standing(msgspec.Struct):
    """A server as it stands here since ``since``."""

    service: str
    zone: str
    region: str
    address: str
    codes: tuple[str, ...]
    since: float


class Change(msgspec.Struct, frozen=True):
    """A server's standing became another one. ``was`` is None where it was new here."""

    at: float
    ident: str
    service: str
    zone: str
    was: tuple[str, ...] | None
    codes: tuple[str, ...]
    errors: float  # share of failures seen from here
    pace: float  # times the usual time
    told: float  # share of failures that others tell of, 0: none


class Graph:
    """What is kept."""

    def __init__(self, now: float) -> None:
        self.begun_at = now
        self.span_at = now
        self.now: dict[tuple[str, str], array[int]] = {}  # by server and route, in the span under way
        self.spans: deque[tuple[float, dict[tuple[str, str], array[int]]]] = deque(maxlen=SPANS)
        self.standings: dict[str, Standing] = {}
        self.turn: list[str] = []  # servers that are still to be looked at in this round
        self.changes: deque[Change] = deque(maxlen=CHANGES)

    def note(self, ident: str, route: str, code: Code, took: float, cold: bool, now: float) -> None:
        """An attempt has ended. One that was never written (``MOOT``) has reached nobody."""
        place = PLACE.get(code)
        if place is None:
            return
        if now - self.span_at >= SPAN:
            self.roll(now)
        key = ident, route
        counts = self.now.get(key)
        if counts is None:
            counts = self.now[key] = array("I", NONE)
        counts[place] += 1
        if cold:
            counts[COLD] += 1
        if place < 2:
            counts[len(ENDS) + bucket(took)] += 1

    def roll(self, now: float) -> None:
        """A new span begins; empty ones are not kept."""
        if self.now:
            self.spans.append((self.span_at, self.now))
            self.now = {}
        self.span_at = now

    def look(self, stock: Stock, now: float) -> list[Change]:
        """Compare servers' standing with what it was; what has changed is kept, and returned.

        Where there are more than ``LOOKS`` servers, each call looks at so many of them, in turn.
        """
        found = []
        for ident in self.next_idents(stock):
            upstream = stock.upstreams.get(ident)
            if upstream is None:
                continue
            known = self.standings.get(ident)
            codes = standing(stock, upstream, now, known.codes if known is not None else ())
            if known is not None and codes == known.codes:
                continue
            found.append(self.change(stock, upstream, known, codes, now))
        if not self.turn:
            found += self.look_for_gone(stock, now)
        self.changes.extend(found)
        return found

    def next_idents(self, stock: Stock) -> list[str]:
        """The servers to be looked at now; when ``turn`` is empty after that, all have had theirs."""
        if not self.turn:
            self.turn = list(stock.upstreams)
        idents, self.turn = self.turn[:LOOKS], self.turn[LOOKS:]
        return idents

    def look_for_gone(self, stock: Stock, now: float) -> list[Change]:
        """Changes of servers that are no longer known."""
        found = []
        for ident, known in list(self.standings.items()):
            if ident in stock.upstreams:
                continue
            if known.codes != ("gone",):
                found.append(
                    Change(now, ident, known.service, known.zone, known.codes, ("gone",), 0.0, 1.0, 0.0)
                )
                known.codes, known.since = ("gone",), now
            elif now - known.since > KEPT:
                del self.standings[ident]
        return found

    def change(
        self, stock: Stock, upstream: Upstream, known: Standing | None, codes: tuple[str, ...], now: float
    ) -> Change:
        """What a change of standing is noted as, with what led to it."""
        self.standings[upstream.ident] = Standing(
            upstream.service, upstream.zone, upstream.region, f"{upstream.host}:{upstream.port}", codes, now
        )
        stock_told = stock.told.get(upstream.ident, 0.0)
        return Change(
            now, upstream.ident, upstream.service, upstream.zone,
            known.codes if known is not None else None, codes,
            round(upstream.own.share(now), 3), round(upstream.own.pace, 2), round(stock_told, 3),
        )  # fmt: skip

    def counted(self, since: float, now: float) -> tuple[float, dict[tuple[str, str], array[int]]]:
        """Counts of the spans that reach into the last ``since`` s, added up; how far back (s) they go."""
        total: dict[tuple[str, str], array[int]] = {}
        first = now
        for begun, counts in self.within(since, now):
            first = min(first, begun)
            for key, each in counts.items():
                known = total.get(key)
                if known is None:
                    total[key] = array("I", each)
                else:
                    for place, count in enumerate(each):
                        known[place] += count
        return max(now - first, min(since, now - self.begun_at)), total

    def within(self, since: float, now: float) -> Iterator[tuple[float, dict[tuple[str, str], array[int]]]]:
        """Spans of the last ``since`` s, each with its beginning and counts."""
        for begun, counts in (*self.spans, (self.span_at, self.now)):
            if counts and begun + SPAN > now - since:
                yield begun, counts

    def lately(self, since: float, now: float) -> list[Change]:
        """Changes of the last ``since`` s, the oldest first."""
        return [each for each in self.changes if now - each.at <= since]
