"""The times and amounts of the membership; all times in seconds."""

from __future__ import annotations

from math import ceil, log2

import msgspec


class Timing(msgspec.Struct, frozen=True):
    """Chosen for 16 processes, 40 ms there and back, timers that fire late."""

    period: float = 0.5  # between two probes of one process
    direct: float = 0.15  # wait for the answer to a probe
    indirect: float = 0.2  # wait for the answers through helpers, after that
    helpers: int = 3
    suspicion: float = 1.5  # from suspicion to removal, up to 16 processes
    spread: int = 3  # told at once of one's own change
    forward: int = 2  # told at once of another's change, by each who hears of it
    far: float = 0.125  # of these, the share that may go to any region
    urgent: int = 4  # with more suspects than that, suspicions travel on probes only
    farewell: int = 6  # told at once that one leaves
    keep: float = 60.0  # the removed are remembered for this long
    revisit: float = 2.0  # one of the removed is probed this often
    seek: float = 1.0  # seeds are asked this often while fewer than two others are known
    early: float = 0.1  # and this often by a process that has begun and knows of nobody yet
    reseek: float = 5.0  # and this often a seed that isn't known alive
    settle: float = 4.0  # from the start of a process, see Membership
    compare: float = 2.0  # whole views are compared at most this often, up to 16 processes
    late: float = 0.2  # a tick later than this says that one was not running
    health_most: int = 4
    health_step: float = 0.25
    updates: int = 6  # on one datagram
    room: int = 900  # bytes of updates on one datagram

    def suspicion_of(self, count: int) -> float:
        """From suspicion to removal among ``count`` processes: as 1.5 s x log2(count) / 4, and no less."""
        return self.suspicion * max(1.0, log2(max(count, 2)) / 4)

    def times(self, count: int) -> int:
        """How often an update is carried (SWIM, 4.1): 3 log2(count + 1)."""
        return ceil(3 * log2(count + 1))

    def patience(self, health: int) -> float:
        """What all waits are multiplied by while one's own probes fail (Lifeguard, 4.1)."""
        return 1 + self.health_step * health

    def removal(self, count: int) -> float:
        """A bound (s) from a process's end to its removal everywhere.

        The first probe comes after a share 1 - 1/e of the periods, so seven leave one in 1,000 unprobed.
        """
        return 7 * self.period + self.direct + self.indirect + self.suspicion_of(count) + 2 * self.period
