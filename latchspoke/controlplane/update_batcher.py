"""News of servers, gathered while they come fast: one message for many in place of one for each.

What comes after a pause goes out at once. What follows within ``GATHER`` s waits until that has passed, so
that thousands of servers that start together cost each listener 20 messages a second, not one a server.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from latchspoke.net.clock import Clock
from latchspoke.registry.registry import Entry

BATCH_WINDOW_S = 0.05  # s
SendBatch = Callable[[list[Entry], float], object]


class ServerUpdateBatcher:
    """What is to be told to one group of listeners."""

    def __init__(self, clock: Clock, send: SendBatch) -> None:
        """``send`` gets the entries and the time (s, by ``clock``)."""
        self.clock, self.send = clock, send
        self.pending: dict[str, Entry] = {}
        self.sent_at = -math.inf
        self.scheduled = False

    def add(self, entries: Iterable[Entry], now: float) -> None:
        """These have changed."""
        self.pending.update((entry.instance_id, entry) for entry in entries)
        if not self.pending or self.scheduled:
            return
        if now - self.sent_at >= BATCH_WINDOW_S:
            self.flush(now)
        else:
            self.scheduled = True
            self.clock.schedule(self.sent_at + BATCH_WINDOW_S, self.flush)

    def flush(self, now: float) -> None:
        """Send what waits."""
        entries, self.pending = list(self.pending.values()), {}
        self.sent_at, self.scheduled = now, False
        if entries:
            self.send(entries, now)
