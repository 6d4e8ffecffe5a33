"""Batches changes of servers, to bound the message rate when many servers change together.

The first change after a pause is sent at once. Changes within ``BATCH_WINDOW_S`` after a batch wait for the
end of that window.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from latchspoke.net.clock import Clock
from latchspoke.registry.registry import Entry

BATCH_WINDOW_S = 0.05
SendBatch = Callable[[list[Entry], float], object]


class ServerUpdateBatcher:
    """The changes to be sent to one group of receivers."""

    def __init__(self, clock: Clock, send: SendBatch) -> None:
        """``send`` receives the entries and the time (s, by ``clock``)."""
        self.clock, self.send = clock, send
        self.pending: dict[str, Entry] = {}
        self.sent_at = -math.inf
        self.scheduled = False

    def add(self, entries: Iterable[Entry], now: float) -> None:
        """Add changed entries, and send them now or at the end of the window."""
        self.pending.update((entry.instance_id, entry) for entry in entries)
        if not self.pending or self.scheduled:
            return
        if now - self.sent_at >= BATCH_WINDOW_S:
            self.flush(now)
        else:
            self.scheduled = True
            self.clock.schedule(self.sent_at + BATCH_WINDOW_S, self.flush)

    def flush(self, now: float) -> None:
        """Send the pending entries."""
        entries, self.pending = list(self.pending.values()), {}
        self.sent_at, self.scheduled = now, False
        if entries:
            self.send(entries, now)
