"""What the counter takes: it turns away amounts above 1e9, and then nothing is added."""

from __future__ import annotations

import unittest

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.quotas import MAX_COUNTER_AMOUNT
from tests.conftest import Bench, only


class AmountsStayWithinTheCounter(unittest.TestCase):
    def test_late_in_a_period(self) -> None:
        """Seen on a calm day: late in a period of 40 depths every call of short plans was turned away."""
        bench = Bench()
        bench.ask(plan="wide")
        account = bench.gateway.accounts["c"]
        bench.now = (bench.now // account.period_length + 1) * account.period_length - 0.01
        bench.gateway.counter_calls.clear()
        account.admitted.in_flight = None
        amount = only(bench.ask(plan="wide"), api.AddCount)[0].amount
        self.assertTrue(1e6 < amount <= MAX_COUNTER_AMOUNT, amount)

    def test_what_one_call_cannot_carry_is_told_with_the_next(self) -> None:
        bench = Bench()
        bench.told(1.0)
        account = bench.gateway.accounts["c"]
        for sign in (1, -1):
            tally = account.admitted
            tally.unreported, tally.in_flight, bench.gateway.actions = sign * 1e10, None, []
            bench.gateway.call_counter(account, tally, bench.now, "request")
            told = only(bench.gateway.actions, api.AddCount)[0].amount
            self.assertAlmostEqual(told, sign * MAX_COUNTER_AMOUNT, delta=1.0)
            self.assertAlmostEqual(tally.unreported + (tally.in_flight or 0.0), sign * 1e10, delta=1.0)
            bench.give(api.CountAnswer(account.counter_name(tally), Code.OK, 0.0, told))
