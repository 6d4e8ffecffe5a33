"""When the watches of a whole fleet break at once: how their next tries are spread."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any, cast

from latchspoke.net.discovery import SLOT, Watch


class StillClock:
    """Time stands; what is scheduled is kept."""

    def __init__(self) -> None:
        self.due: list[float] = []

    def now(self) -> float:
        return 0.0

    def schedule(self, when: float, call: Any) -> None:
        self.due.append(when)


def pauses(gateways: int, tries: int) -> list[list[float]]:
    """For each gateway, the pauses after so many tries in a row that have failed."""
    result = []
    for seed in range(gateways):
        clock = StillClock()
        shared: Any = SimpleNamespace(clock=clock)
        watch = Watch(shared, ("127.0.0.1", 1), 0, lambda told: None, lambda: None, gateways, seed)
        for _ in range(tries):
            watch.connection = cast(Any, object())
            watch.lost(watch.connection)
        result.append(clock.due)
    return result


class TestWatch(unittest.TestCase):
    def test_forty_that_break_together_do_not_come_back_together(self) -> None:
        """In step they kept discovery down for 20 s: it works on calls that nobody waits for any more."""
        for nth in zip(*pauses(40, 6), strict=True):
            times = sorted(nth)
            within = max(sum(at <= other < at + 0.25 for other in times) for at in times)
            self.assertLessEqual(within, 12)
        self.assertGreater(min(each[5] for each in pauses(40, 6)), 40 * SLOT * 2)

    def test_few_come_back_at_once_and_try_often(self) -> None:
        for each in pauses(3, 12):
            self.assertLess(each[0], 0.25)
            self.assertLessEqual(max(each), 3.0)

    def test_a_watch_that_works_again_starts_with_the_shortest_pause(self) -> None:
        clock = StillClock()
        shared: Any = SimpleNamespace(clock=clock)
        watch = Watch(shared, ("127.0.0.1", 1), 0, lambda told: None, lambda: None, 40)
        for _ in range(5):
            watch.connection = cast(Any, object())
            watch.lost(watch.connection)
        watch.alive()
        watch.connection = cast(Any, object())
        watch.lost(watch.connection)
        self.assertLess(clock.due[-1], 40 * SLOT * 1.5)
