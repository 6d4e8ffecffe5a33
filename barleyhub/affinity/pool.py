"""The members of one service, with a cache of callers' rankings.

A cached ranking is updated from the changes since it was computed, with one draw per changed member.
"""

from __future__ import annotations

import math
from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import log

from xxhash import xxh3_64_intdigest

from barleyhub.affinity.rendezvous import (
    LOG_HASH_RANGE,
    Member,
    Origin,
    Rank,
    draw_time,
    member_seed,
    pool_version,
)

RANKING_DEPTH = 4  # members kept per ranking; a request has no more attempts
MIN_RANKING_DEPTH = 2  # shorter rankings are recomputed
MAX_CACHED_RANKINGS = 4096  # per view
MAX_CHANGES = 64  # changes remembered per view
WARM_UP_STEPS = 16  # steps in which the share of a warm member grows


def warm_up_share(warm_at: float, duration_s: float, now: float) -> tuple[float, float]:
    """Share of a member's capacity that is used at ``now``, and when it changes next.

    The share is 0 until ``warm_at``, then grows for ``duration_s`` in steps, so that gateways agree on it
    between the steps.
    """
    elapsed_s = now - warm_at
    if elapsed_s < 0:
        return 0.0, warm_at
    if duration_s <= 0 or elapsed_s >= duration_s:
        return 1.0, math.inf
    step = min(int(elapsed_s / duration_s * WARM_UP_STEPS) + 1, WARM_UP_STEPS)
    return step / WARM_UP_STEPS, (
        warm_at + step * duration_s / WARM_UP_STEPS if step < WARM_UP_STEPS else math.inf
    )


@dataclass(slots=True)
class View:
    """The members that are eligible for requests with the same homes and origin."""

    homes: frozenset[str] | None
    origin: Origin
    entries: dict[str, tuple[int, int, float]] = field(default_factory=dict)  # seed, tier, weight
    rankings: dict[bytes, tuple[int, tuple[Rank, ...]]] = field(default_factory=dict)
    changes: list[str] = field(default_factory=list)
    revision: int = 0  # incremented with each change

    def update_member(self, address: str, member: Member | None) -> None:
        """Add, replace or (None) remove a member."""
        entry = None
        if member is not None and member.weight > 0 and (self.homes is None or member.region in self.homes):
            entry = member_seed(address), self.origin.tier(member), member.weight
        if entry == self.entries.get(address):
            return
        if entry is None:
            del self.entries[address]
        else:
            self.entries[address] = entry
        self.revision += 1
        self.changes.append(address)
        if len(self.changes) > MAX_CHANGES:
            del self.changes[: MAX_CHANGES // 2]

    def ranking(self, key: bytes) -> tuple[Rank, ...]:
        """The first ``RANKING_DEPTH`` members for a caller, or fewer, but at least ``MIN_RANKING_DEPTH``.

        All members are returned if there are no more than that.
        """
        cached = self.rankings.get(key)
        if cached is not None:
            revision, ranks = cached
            behind = self.revision - revision
            if not behind:
                return ranks
            if behind <= len(self.changes) and behind * 4 < len(self.entries):
                ranks = self.apply_changes(key, ranks, self.changes[-behind:])
                if len(ranks) >= MIN_RANKING_DEPTH:
                    self.rankings[key] = self.revision, ranks
                    return ranks
        ranks = tuple(sorted(self.rank_all(key))[:RANKING_DEPTH])
        if cached is None and len(self.rankings) >= MAX_CACHED_RANKINGS:
            del self.rankings[next(iter(self.rankings))]
        self.rankings[key] = self.revision, ranks
        return ranks

    def rank_all(self, key: bytes) -> list[Rank]:
        """Unsorted ranks of all members; ``draw_time`` is inlined for speed."""
        return [
            (tier, (LOG_HASH_RANGE - log(xxh3_64_intdigest(key, seed) | 1)) / weight, address)
            for address, (seed, tier, weight) in self.entries.items()
        ]

    def apply_changes(self, key: bytes, ranks: tuple[Rank, ...], changes: list[str]) -> tuple[Rank, ...]:
        """Update a cached ranking.

        Unchanged members that are not in it rank after its last member, so the result is still a prefix of
        the full ranking.
        """
        if not ranks:
            return ()
        changed, last = set(changes), ranks[-1]
        updated = [rank for rank in ranks if rank[2] not in changed]
        for address in changed:
            entry = self.entries.get(address)
            if entry is not None:
                rank = entry[1], draw_time(key, entry[0], entry[2]), address
                if rank < last:
                    insort(updated, rank)
        return tuple(updated[:RANKING_DEPTH])


@dataclass(slots=True)
class Pool:
    """The members of one service by address, and their views."""

    members: dict[str, Member] = field(default_factory=dict)
    views: dict[tuple[frozenset[str] | None, Origin], View] = field(default_factory=dict)
    cached_version: str | None = None

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace all members."""
        by_address = {member.address: member for member in members}
        for address in self.members.keys() | by_address.keys():
            member = by_address.get(address)
            if member != self.members.get(address):
                for view in self.views.values():
                    view.update_member(address, member)
        self.members, self.cached_version = by_address, None

    def view(self, homes: frozenset[str] | None, origin: Origin) -> View:
        """The view for these homes (None: all regions) and origin, created if missing."""
        view = self.views.get((homes, origin))
        if view is None:
            view = self.views[homes, origin] = View(homes, origin)
            for address, member in self.members.items():
                view.update_member(address, member)
        return view

    @property
    def version(self) -> str:
        """As ``pool_version``."""
        if self.cached_version is None:
            self.cached_version = pool_version(self.members.values())
        return self.cached_version
