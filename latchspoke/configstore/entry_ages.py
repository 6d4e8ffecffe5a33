"""How long log entries have been known to members, and what a majority's answers say of a commit. No I/O.

No member can tell by itself when an entry was committed: one that was paused or cut off receives it late.
But an entry is committed once a majority of the voters has stored it, and any two majorities share a voter.
So among the answers of a majority there is one of a member that stored the entry before it was committed:

- the longest time that any member has known the entry is no longer than the time since its proposal, and
- if a majority observed when it stored the entry, that time is no shorter than the time since the commit.

A member that has restarted knows its entries at least since then, and has not observed more.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

MAX_RECORDED_ENTRIES = 2_000


class EntryAge(msgspec.Struct, frozen=True, array_like=True):
    """How long a member has known an entry (s).

    ``observed``: it was a voter and stored the entry at that time; else it has known it at least so long.
    """

    known_for_s: float
    observed: bool


class AgeBounds(msgspec.Struct, frozen=True):
    """Bounds of the age of an entry (s)."""

    lower_s: float  # since its proposal, at least
    upper_s: float  # since its commit, at most; infinite if no majority has observed it


NOT_STORED = EntryAge(0.0, False)
UNKNOWN_AGE = AgeBounds(0.0, math.inf)


class Receipt(NamedTuple):
    """When an entry was stored, and whether this member was a voter then."""

    at: float
    is_voter: bool


class ReceiptTimes:
    """When this member stored the entries of its log, by its monotonic clock."""

    def __init__(self, now: float, last_index: int) -> None:
        """``last_index``: of the entries that were on its disk when it started."""
        self.receipts: dict[int, Receipt] = {}  # by index, in ascending order
        self.base_index, self.base_at = last_index, now  # entries up to here were known then

    def record(self, first_index: int, last_index: int, now: float, is_voter: bool) -> None:
        """Entries have been stored, in place of all from the first one on."""
        if self.receipts and next(reversed(self.receipts)) >= first_index:
            self.receipts = {index: each for index, each in self.receipts.items() if index < first_index}
        self.base_index = min(self.base_index, first_index - 1)
        for index in range(first_index, last_index + 1):
            self.receipts[index] = Receipt(now, is_voter)
        while len(self.receipts) > MAX_RECORDED_ENTRIES:
            del self.receipts[next(iter(self.receipts))]

    def record_snapshot(self, index: int, now: float) -> None:
        """A snapshot holds all entries up to this index."""
        self.receipts = {i: each for i, each in self.receipts.items() if i > index}
        if index > self.base_index:
            self.base_index, self.base_at = index, now

    def age(self, index: int, now: float) -> EntryAge:
        """How long this member has known an entry."""
        receipt = self.receipts.get(index)
        if receipt is not None:
            return EntryAge(now - receipt.at, receipt.is_voter)
        if index <= self.base_index:
            return EntryAge(now - self.base_at, False)
        oldest_index = next(iter(self.receipts), None)
        if oldest_index is None or index > oldest_index:
            return NOT_STORED
        return EntryAge(now - self.receipts[oldest_index].at, False)  # forgotten: older than this one


def age_bounds(ages: Mapping[str, EntryAge], majority: int, elapsed_s: float) -> AgeBounds:
    """The bounds from the answers of voters, by name. ``elapsed_s``: since they were asked."""
    lower_s = max((age.known_for_s for age in ages.values()), default=0.0)
    observed = [age.known_for_s for age in ages.values() if age.observed]
    upper_s = max(observed) + elapsed_s if len(observed) >= majority else math.inf
    return AgeBounds(lower_s, upper_s)
