"""Which operations have lost their tool, and may be gone on with. Pure.

A tool holds claims while it lives. Its death shows in their lapse and in nothing else: an agent that is not
heard may hold a live one, so that nothing is concluded while one of an operation's agents is silent.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from latchspoke.fleet import wire

AGAIN_LEAST, AGAIN_MOST = 10.0, 300.0  # s between two tries at one operation that can't go on


@dataclass(slots=True)
class Try:
    """One that was gone on with from here, in vain."""

    times: int
    not_before: float


@dataclass(slots=True)
class Orphans:
    """Operations without a live claim, since when. Times are monotonic seconds of the watcher's clock."""

    quiet: float  # s without any claim: a tool that has just put its plan has none yet
    since: dict[str, float] = field(default_factory=dict)
    tries: dict[str, Try] = field(default_factory=dict)

    def due(
        self,
        told: Mapping[str, wire.Operations | Exception],
        listings: Mapping[str, wire.Listing | Exception],
        now: float,
    ) -> list[str]:
        """The oldest first. ``told`` and ``listings`` by agent, as they answered or did not."""
        claimed = {
            status.claim.operation
            for listing in listings.values() if isinstance(listing, wire.Listing)
            for status in listing.instances if status.claim is not None
        }  # fmt: skip
        seen: dict[str, list[wire.OperationStatus]] = {}
        for answer in told.values():
            for known in answer.operations if isinstance(answer, wire.Operations) else ():
                seen.setdefault(known.plan.id, []).append(known)
        orphans = {
            ident: held for ident, held in seen.items()
            if ident not in claimed and self.left_open(held, told, listings)
        }  # fmt: skip
        self.since = {ident: self.since.get(ident, now) for ident in orphans}
        self.tries = {ident: one for ident, one in self.tries.items() if ident in seen}
        ripe = [ident for ident in orphans if self.ripe(ident, now)]
        return sorted(ripe, key=lambda ident: (orphans[ident][0].plan.created, ident))

    @staticmethod
    def left_open(
        held: list[wire.OperationStatus],
        told: Mapping[str, wire.Operations | Exception],
        listings: Mapping[str, wire.Listing | Exception],
    ) -> bool:
        """By all that have it; and every agent that it touches is heard."""
        if any(known.state != "open" for known in held):
            return False
        agents = {ident.partition("/")[0] for wave in held[0].plan.waves for ident in wave}
        return all(
            isinstance(told.get(agent), wire.Operations) and isinstance(listings.get(agent), wire.Listing)
            for agent in agents
        )

    def ripe(self, ident: str, now: float) -> bool:
        one = self.tries.get(ident)
        return now - self.since[ident] >= self.quiet and (one is None or now >= one.not_before)

    def in_vain(self, ident: str, now: float) -> None:
        """It could not go on; it is tried again, later each time."""
        times = self.tries[ident].times + 1 if ident in self.tries else 1
        wait = min(AGAIN_LEAST * 2 ** (times - 1), AGAIN_MOST)
        self.tries[ident] = Try(times, now + wait)
