"""What is believed of totals, of accounts and of servers' load, where days are rough."""

from __future__ import annotations

import unittest

from barleyhub import interface as api
from barleyhub.interface import Code
from tests.conftest import SAFE, Bench, only


class Totals(unittest.TestCase):
    def test_one_that_asks_does_not_stand_for_more_than_a_part_of_the_room(self) -> None:
        """Seen where a counter is far: at a chance of asking of 0.01 one call told of a hundred units,
        and the gate of a customer that had sent one stayed shut."""
        for seed in range(50):
            bench = Bench(seed=seed)
            bench.gateway.sampling_rate = 0.01
            bench.ask(plan="plan")
            account = bench.gateway.accounts["c"]
            self.assertEqual(account.admitted.unreported + (account.admitted.in_flight or 0.0), 1.0)

    def test_the_more_is_untold_the_sooner_it_is_told(self) -> None:
        asked = {1: 0, 4: 0}
        for untold in asked:
            for seed in range(200):
                bench = Bench(seed=seed)
                bench.gateway.sampling_rate = 0.01
                bench.ask(plan="plan")
                account = bench.gateway.accounts["c"]
                bench.gateway.counter_calls.clear()
                account.admitted.in_flight, account.admitted.unreported = None, untold - 1.0
                asked[untold] += len(only(bench.ask(plan="plan"), api.AddCount))
        self.assertGreater(asked[4], 2 * asked[1])

    def test_a_total_that_comes_late_still_counts(self) -> None:
        bench = Bench()
        call = only(bench.ask(plan="plan", spread=300), api.AddCount)[0]
        bench.answer(Code.TIMEOUT, took=0.05)
        account = bench.gateway.accounts["c"]
        total = 5.0 * account.weight(account.admitted, bench.now)
        for _ in range(2):  # a second one of the same call is nobody's
            bench.give(api.CountAnswer(call.name, Code.OK, 0.07, total, late=True))
            self.assertAlmostEqual(account.admitted.usage, 5.0)
            total = 0.0

    def test_a_shut_gate_does_not_rest_on_totals_older_than_a_depth(self) -> None:
        """A gate near 0 lets nobody through to ask, so it would stay shut by what was true long ago."""
        bench = Bench()
        bench.gateway.sampling_rate = 0.0
        bench.told(1.0)
        account = bench.gateway.accounts["c"]
        account.refused.usage = account.refused.mean_usage = 1e6
        account.admitted.read_at = account.refused.read_at = bench.now
        self.assertFalse([c for c in only(bench.ask(plan="plan"), api.AddCount) if c.amount > 1e9])
        bench.gateway.counter_calls.clear()
        account.admitted.in_flight = account.refused.in_flight = None
        bench.now += 1.1 * account.decay_time
        self.assertEqual(len(only(bench.ask(plan="plan"), api.AddCount)), 2)


class Accounts(unittest.TestCase):
    def test_another_plan_under_a_customers_name_does_not_shape_its_account(self) -> None:
        bench = Bench()
        bench.ask(plan="wide")
        bench.ask(plan="plan")
        bench.ask(plan="wide")
        plans = {key: account.plan.name for key, account in bench.gateway.accounts.items()}
        self.assertEqual(plans, {"c": "wide", "c\nplan": "plan"})

    def test_customers_that_came_once_are_forgotten_one_by_one(self) -> None:
        """On a day of ever new customers they were swept only when their number had doubled."""
        bench = Bench(counter=False)
        for number in range(300):
            bench.now += 1.0
            for send in only(bench.ask(customer=f"c{number}"), api.Send):
                bench.end(send, Code.OK, took=0.0)
        self.assertLess(len(bench.gateway.accounts), 70)


class Load(unittest.TestCase):
    def test_a_backlog_counts_until_its_report_is_old(self) -> None:
        """A server repeats its report until the next is due: its age counts from the first time."""
        bench = Bench(servers=2, counter=False)
        first = only(bench.ask(), api.Send)[0]
        for took, avoided in ((0.01, True), (5.0, False)):
            bench.now += took
            bench.give(
                api.Outcome(first.request, 0, first.server, Code.OK, 0.01, True, report={"backlog": 30.0})
            )
            bench.gateway.servers[first.server].update_load_report({"backlog": 30.0}, bench.now)
            backlog = bench.gateway.servers[first.server].backlog(bench.now)
            self.assertEqual(backlog > 1.0, avoided)

    def test_a_fault_long_made_good_costs_nothing_any_more(self) -> None:
        """Every server is scored for every attempt, and fading what is next to nothing took half of it."""
        bench = Bench(servers=1, counter=False)
        server = bench.gateway.servers["s0"]
        bench.end(only(bench.ask(), api.Send)[0], Code.ERROR, took=0.0)
        names = ("read", "wide")
        fresh = server.error_rate(names, bench.now)
        self.assertGreater(fresh, 0.5)
        self.assertLess(server.error_rate(names, bench.now + 5), fresh)
        for _ in range(200):
            server.record_outcome(False, (("read", False), ("wide", False)), bench.now)
        self.assertEqual(server.error_rate(names, bench.now), 0.0)

    def test_a_reset_hardly_counts_against_the_server_it_hit(self) -> None:
        """Seen where one in ten attempts was reset: each made its server look 4.7 times as slow for long."""
        found = {}
        for code in (Code.RESET, Code.UNREACHABLE):
            bench = Bench(servers=1, counter=False)
            bench.end(only(bench.ask(), api.Send)[0], code, took=0.0)
            found[code] = bench.gateway.servers["s0"].error_rate(("read", "wide"), bench.now)
        self.assertLess(found[Code.RESET], 0.1)
        self.assertGreater(found[Code.UNREACHABLE], 0.5)

    def test_the_margin_follows_short_aims(self) -> None:
        """Seen with aims of 0.35 s: attempts were called off 0.1 s before the aim, with good answers due."""
        quick = api.ClassSettings("read", aim=0.24, give_up=1.0, repeat=SAFE.repeat)
        bench = Bench(counter=False, classes=(quick,))
        self.assertAlmostEqual(only(bench.ask(left=1.0), api.Send)[0].timeout, 0.22)
