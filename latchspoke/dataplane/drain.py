"""The orderly end of a gateway: from SIGTERM, each request that is read gets a whole answer in time.

The time line, for a grace period of 6 s:

- 0 s: it is not ready any more. Idle connections are closed, new ones accepted, as clients hold old look-ups.
- 3 s: no new connections but those that wait to be accepted; open ones are closed once they are idle.
- 5.5 s: the last answers. Requests that servers work on fail, all others are rejected and may be repeated.
- 5.65 s: all connections are closed, and the process ends.

A request that comes in the first 3 s is passed on whatever its deadline; its server is told to be done by the
last answers. A later one is passed on only if its own deadline ends before them, and is rejected otherwise.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from latchspoke.dataplane.downstream import Downstream
from latchspoke.net.clock import Clock
from latchspoke.net.http import CONNECT_GRACE_S, has_pending_connections

CHECK_INTERVAL_S = 0.05
LISTEN_FRACTION = 0.5  # of the grace period: new connections are accepted this long
EARLY_REQUEST_S = (
    3.0  # requests sent so soon after SIGTERM may still be at work at the end of the grace period
)
# Before the end of the grace period; smaller in a short one, so that servers have five sixths of it.
ANSWER_MARGIN_S, ANSWER_MARGIN_FRACTION = 0.5, 1 / 8
SHUTDOWN_MARGIN_S, SHUTDOWN_MARGIN_FRACTION = 0.35, 1 / 12


class DrainSchedule(msgspec.Struct, frozen=True):
    """When what happens, as times of a clock (s)."""

    begun_at: float  # SIGTERM
    accepts_until: float  # new connections
    passes_on_any_until: float  # requests with any deadline
    last_answers_at: float
    shuts_down_at: float

    def time_for(self, left_s: float, now: float) -> float | None:
        """The time (s) that a request may take; None if its deadline, in ``left_s``, is too late for it."""
        remaining_s = self.last_answers_at - now
        if left_s <= remaining_s:
            return left_s
        return remaining_s if now <= self.passes_on_any_until else None


def make_schedule(stopping_at: float, grace_s: float) -> DrainSchedule:
    """The schedule of a process that is told to stop and is killed ``grace_s`` later."""
    return DrainSchedule(
        begun_at=stopping_at,
        accepts_until=stopping_at + grace_s * LISTEN_FRACTION,
        passes_on_any_until=stopping_at + min(EARLY_REQUEST_S, grace_s * LISTEN_FRACTION),
        last_answers_at=stopping_at + grace_s - min(ANSWER_MARGIN_S, grace_s * ANSWER_MARGIN_FRACTION),
        shuts_down_at=stopping_at + grace_s - min(SHUTDOWN_MARGIN_S, grace_s * SHUTDOWN_MARGIN_FRACTION),
    )


class Owner(Protocol):
    """The process that ends."""

    downstream: Downstream
    front_listener: asyncio.Server
    clock: Clock

    def shut_down(self) -> None:
        """Close everything and end."""
        ...


class Drain:
    """Carries out a schedule."""

    def __init__(self, owner: Owner, grace_s: float) -> None:
        """The process is told to stop now."""
        self.owner, now = owner, owner.clock.now()
        self.schedule = owner.downstream.drain_schedule = make_schedule(now, grace_s)
        self.last_answers_given = False
        owner.downstream.close_idle()
        owner.clock.schedule(now + CHECK_INTERVAL_S, self.check)

    def check(self, now: float) -> None:
        """Periodic: do what is due."""
        downstream, schedule = self.owner.downstream, self.schedule
        if now > schedule.accepts_until:
            self.close_listener(now)
            downstream.close_idle()
        if now >= schedule.last_answers_at and not self.last_answers_given:
            self.last_answers_given = True
            downstream.answer_all(now)
        if now >= schedule.shuts_down_at or (now > schedule.accepts_until and not downstream.clients):
            self.owner.shut_down()
        else:
            due = min(
                at
                for at in (now + CHECK_INTERVAL_S, schedule.last_answers_at, schedule.shuts_down_at)
                if at > now
            )
            self.owner.clock.schedule(due, self.check)

    def close_listener(self, now: float) -> None:
        """Accept no more connections, once those that wait are accepted."""
        listener = self.owner.front_listener
        is_overdue = now > self.schedule.accepts_until + CONNECT_GRACE_S
        if listener.is_serving() and (is_overdue or not has_pending_connections(listener)):
            listener.close()
