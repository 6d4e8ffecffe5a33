"""Detects that this process stood still, as while it was stopped or got no processor. No I/O."""

from __future__ import annotations

TOLERANCE_S = 0.1  # by which a periodic call may be late without a pause


class PauseDetector:
    """Told of the time at regular intervals; reads no clock."""

    def __init__(self, interval_s: float, now: float) -> None:
        """``interval_s``: between two calls of ``tick`` of a process that runs."""
        self.longest_gap_s = interval_s + TOLERANCE_S
        self.last_tick_at = self.previous_tick_at = now

    def start(self, now: float) -> None:
        """The regular calls begin."""
        self.last_tick_at = self.previous_tick_at = now

    def tick(self, now: float) -> None:
        """The regular call."""
        self.previous_tick_at, self.last_tick_at = self.last_tick_at, now

    def earliest_arrival(self, now: float) -> float:
        """The earliest time at which input that is handled now may have arrived.

        After a pause input is read over some turns of the event loop, in any order with the regular call.
        """
        if self.last_tick_at - self.previous_tick_at > self.longest_gap_s:
            return self.previous_tick_at
        return self.last_tick_at if now - self.last_tick_at > self.longest_gap_s else now
