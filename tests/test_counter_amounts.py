"""Amounts sent to the shared counter, which rejects amounts above 1e9 without adding anything."""

from __future__ import annotations

import unittest

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.quotas import MAX_COUNTER_AMOUNT
from tests.conftest import Bench, only


class CounterAmountLimit(unittest.TestCase):
    def test_the_amount_of_a_call_late_in_a_period_is_accepted(self) -> None:
        """Weights grow over a period; at its end, calls of plans with a short decay time were rejected."""
        bench = Bench()
        bench.ask(plan="wide")
        account = bench.gateway.accounts["c"]
        bench.now = (bench.now // account.period_length + 1) * account.period_length - 0.01
        bench.gateway.counter_calls.clear()
        account.admitted.in_flight = None
        amount = only(bench.ask(plan="wide"), api.AddCount)[0].amount
        self.assertTrue(1e6 < amount <= MAX_COUNTER_AMOUNT, amount)

    def test_units_above_the_limit_are_reported_with_the_next_call(self) -> None:
        bench = Bench()
        bench.ask_with_total(1.0)
        account = bench.gateway.accounts["c"]
        for sign in (1, -1):
            counter = account.admitted
            counter.unreported, counter.in_flight, bench.gateway.actions = sign * 1e10, None, []
            bench.gateway.call_counter(account, counter, bench.now, "request")
            amount = only(bench.gateway.actions, api.AddCount)[0].amount
            self.assertAlmostEqual(amount, sign * MAX_COUNTER_AMOUNT, delta=1.0)
            self.assertAlmostEqual(counter.unreported + (counter.in_flight or 0.0), sign * 1e10, delta=1.0)
            bench.send_event(api.CountAnswer(account.counter_name(counter), Code.OK, 0.0, amount))
