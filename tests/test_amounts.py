"""What the counter takes: it turns away amounts above 1e9, and then nothing is added."""

from __future__ import annotations

import unittest

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.quotas import AMOUNT_MOST
from tests.conftest import Bench, only


class AmountsStayWithinTheCounter(unittest.TestCase):
    def test_late_in_a_period(self) -> None:
        """Seen on a calm day: late in a period of 40 depths every call of short plans was turned away."""
        bench = Bench()
        bench.ask(plan="wide")
        account = bench.gateway.accounts["c"]
        bench.now = (bench.now // account.period + 1) * account.period - 0.01
        bench.gateway.calls.clear()
        account.admitted.flying = None
        amount = only(bench.ask(plan="wide"), api.AddCount)[0].amount
        self.assertTrue(1e6 < amount <= AMOUNT_MOST, amount)

    def test_what_one_call_cannot_carry_is_told_with_the_next(self) -> None:
        bench = Bench()
        bench.told(1.0)
        account = bench.gateway.accounts["c"]
        for sign in (1, -1):
            tally = account.admitted
            tally.pending, tally.flying, bench.gateway.actions = sign * 1e10, None, []
            bench.gateway.ask(account, tally, bench.now, "request")
            told = only(bench.gateway.actions, api.AddCount)[0].amount
            self.assertAlmostEqual(told, sign * AMOUNT_MOST, delta=1.0)
            self.assertAlmostEqual(tally.pending + (tally.flying or 0.0), sign * 1e10, delta=1.0)
            bench.give(api.CountAnswer(account.name(tally), Code.OK, 0.0, told))
