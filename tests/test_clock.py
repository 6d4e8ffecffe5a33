"""Timers, and which of them wake the event loop."""

from __future__ import annotations

import unittest

from tests.player import FakeClock


class Timers(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.called: list[str] = []

    def set(self, after: float, name: str) -> object:
        return self.clock.schedule(self.clock.now() + after, lambda now: self.called.append(name))

    def test_timers_fire_in_order(self) -> None:
        for after, name in ((3.0, "c"), (1.0, "a"), (2.0, "b")):
            self.set(after, name)
        self.clock.advance(2.5)
        self.assertEqual(self.called, ["a", "b"])

    def test_cancelled_timer_does_not_wake_the_loop(self) -> None:
        """Most timers are cancelled, so waking up for each of them would be expensive."""
        timer = self.clock.schedule(self.clock.now() + 1.0, lambda now: self.called.append("never"))
        self.set(2.0, "then")
        timer.cancel()
        self.assertEqual([when - self.clock.now() for when, _ in self.clock.loop.timers], [2.0])
        self.clock.advance(3.0)
        self.assertEqual((self.called, self.clock.loop.timers), (["then"], []))

    def test_early_wakeup_does_not_spin(self) -> None:
        """The event loop may wake up to 1 ms early; timers due within that time must fire."""
        self.set(0.0008, "soon")
        self.clock.run_due()
        self.assertEqual(self.called, ["soon"])

    def test_timer_that_fails_stops_no_other(self) -> None:
        """The others that were due with it, such as all periodic work, were never called again."""

        def fail(now: float) -> None:
            raise ValueError("no room")

        def repeat(now: float) -> None:
            self.clock.schedule(now + 1.0, repeat)
            self.called.append("periodic")

        due = self.clock.now() + 0.0005
        self.clock.schedule(due, fail)
        self.clock.schedule(due, repeat)
        with self.assertRaises(ValueError):
            self.clock.run_due()
        self.clock.advance(1.1)
        self.assertEqual(self.called, ["periodic", "periodic"])

    def test_rescheduling_for_the_same_time_waits_for_the_next_iteration(self) -> None:
        """A timer that fires early and reschedules itself for the same time must not loop forever."""
        due = self.clock.now() + 0.0008

        def reschedule(now: float) -> None:
            self.called.append("early")
            self.assertLess(len(self.called), 5, "called for ever")
            if now < due:
                self.clock.schedule(due, reschedule)

        self.clock.schedule(due, reschedule)
        self.clock.run_due()
        self.assertEqual(self.called, ["early"])
        self.clock.advance(0.001)
        self.assertEqual(self.called, ["early", "early"])
