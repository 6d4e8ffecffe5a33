"""How reconnection attempts are spread when the watches of a whole fleet break at once."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from latchspoke.net.discovery import RECONNECT_SLOT_S, SILENCE_TIMEOUT_S, Watch


class FrozenClock:
    """A clock that stands still and records the scheduled times."""

    def __init__(self) -> None:
        self.scheduled: list[float] = []

    def now(self) -> float:
        return 0.0

    def schedule(self, when: float, call: Any) -> None:
        self.scheduled.append(when)


def ended_connection(rejected: bool = False, opened_at: float = 0.0) -> Any:
    return SimpleNamespace(rejected=rejected, opened_at=opened_at)


def backoff_delays(gateways: int, attempts: int, rejected: bool, duration: float = 0.0) -> list[list[float]]:
    """Return for each gateway the delays after this many failed attempts in a row."""
    result = []
    for seed in range(gateways):
        clock = FrozenClock()
        context: Any = SimpleNamespace(clock=clock)
        watch = Watch(context, ("127.0.0.1", 1), 0, lambda servers: None, lambda: None, gateways, seed)
        for _ in range(attempts):
            watch.connection = ended_connection(rejected, -duration)
            watch.connection_ended(watch.connection)
        result.append(clock.scheduled)
    return result


class TestWatch(unittest.TestCase):
    def test_rejected_fleet_spreads_its_attempts(self) -> None:
        """Synchronized attempts would keep discovery overloaded."""
        delays_by_gateway = backoff_delays(40, 6, rejected=True)
        for attempt_delays in zip(*delays_by_gateway, strict=True):
            times = sorted(attempt_delays)
            within = max(sum(at <= other < at + 0.25 for other in times) for at in times)
            self.assertLessEqual(within, 12)
        self.assertGreater(min(delays[5] for delays in delays_by_gateway), 40 * RECONNECT_SLOT_S * 2)

    def test_small_fleet_reconnects_quickly_and_often(self) -> None:
        for delays in backoff_delays(3, 12, rejected=False):
            self.assertLess(delays[0], 0.25)
            self.assertLessEqual(max(delays), 3.0)

    def test_large_fleet_keeps_watching_a_silent_discovery(self) -> None:
        """A change that discovery sends to an open watch counts as announced, so gaps must be short."""
        for delays in backoff_delays(200, 6, rejected=False, duration=SILENCE_TIMEOUT_S):
            self.assertLessEqual(max(delays), 0.15)

    def test_working_watch_resets_the_backoff(self) -> None:
        clock = FrozenClock()
        context: Any = SimpleNamespace(clock=clock)
        watch = Watch(context, ("127.0.0.1", 1), 0, lambda servers: None, lambda: None, 40)
        for rejected, max_delay in ((True, 40 * RECONNECT_SLOT_S * 1.5), (False, 0.15)):
            for _ in range(5):
                watch.connection = ended_connection(rejected)
                watch.connection_ended(watch.connection)
            watch.heartbeat_received()
            watch.connection = ended_connection(rejected)
            watch.connection_ended(watch.connection)
            self.assertLessEqual(clock.scheduled[-1], max_delay)
