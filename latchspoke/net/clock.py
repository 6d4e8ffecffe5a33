"""The gateway's clock, and a heap of timers that share a single timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable

TIMER_RESOLUTION_S = 0.001  # of the event loop


class Timer:
    """A scheduled call at a time (s)."""

    __slots__ = ("callback", "clock", "when")

    def __init__(self, clock: Clock, when: float, call: Callable[[float], None]) -> None:
        self.clock, self.when = clock, when
        self.callback: Callable[[float], None] | None = call

    def __lt__(self, other: Timer) -> bool:
        return self.when < other.when

    def cancel(self) -> None:
        """Prevent the call, unless it has been made."""
        self.callback = None
        if self.clock.heap and self.clock.heap[0] is self:
            self.clock.discard_cancelled()


class Clock:
    """Unix time (s) that advances monotonically, so that gateways agree on it and on its periods."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.unix_offset = time.time() - time.monotonic()
        self.heap: list[Timer] = []
        self.handle: asyncio.TimerHandle | None = None
        self.armed_for = float("inf")

    def now(self) -> float:
        """Return the current time (s)."""
        return self.unix_offset + time.monotonic()

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        """Call with the current time at ``when``, or up to the timer resolution earlier."""
        timer = Timer(self, when, call)
        heapq.heappush(self.heap, timer)
        if when < self.armed_for:
            self.arm(when)
        return timer

    def arm(self, when: float) -> None:
        """Set the timer of the event loop to this time."""
        if self.handle is not None:
            self.handle.cancel()
        self.armed_for = when
        self.handle = self.loop.call_later(max(when - self.now(), 0.0), self.run_due)

    def discard_cancelled(self) -> None:
        """Remove cancelled timers from the top of the heap; waking up for each of them would cost more."""
        while self.heap and self.heap[0].callback is None:
            heapq.heappop(self.heap)
        if not self.heap:
            if self.handle is not None:
                self.handle.cancel()
            self.handle, self.armed_for = None, float("inf")
        elif self.heap[0].when != self.armed_for:
            self.arm(self.heap[0].when)

    def run_due(self) -> None:
        """Call the timers that are due within the resolution of the event loop.

        Timers that are scheduled by these calls wait for the next iteration of the loop: a caller that was
        called slightly early and schedules the same time again would otherwise be called forever. An
        exception of one timer is raised once the others have been called.
        """
        now, self.handle, self.armed_for = self.now(), None, float("inf")
        due = []
        while self.heap and self.heap[0].when <= now + TIMER_RESOLUTION_S:
            due.append(heapq.heappop(self.heap))
        errors: list[Exception] = []
        for timer in due:
            if timer.callback is not None:
                try:
                    timer.callback(now)
                except Exception as error:
                    errors.append(error)
        self.discard_cancelled()
        if errors:
            raise errors[0] if len(errors) == 1 else ExceptionGroup("timers failed", errors)
