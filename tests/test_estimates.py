"""Estimates of usage and of server load when totals are rare or late and attempts fail."""

from __future__ import annotations

import unittest

from barleyhub import interface as api
from barleyhub.interface import Code
from tests.conftest import SAFE, Bench, only


class UsageEstimates(unittest.TestCase):
    def test_a_sampled_request_does_not_stand_for_more_than_a_share_of_the_capacity(self) -> None:
        """At a sampling rate of 0.01, one call reported a hundred units for a customer's single request."""
        for seed in range(50):
            bench = Bench(seed=seed)
            bench.gateway.sampling_rate = 0.01
            bench.ask(plan="plan")
            account = bench.gateway.accounts["c"]
            self.assertEqual(account.admitted.unreported + (account.admitted.in_flight or 0.0), 1.0)

    def test_calls_are_likelier_the_more_units_are_unreported(self) -> None:
        calls = {1: 0, 4: 0}
        for unreported in calls:
            for seed in range(200):
                bench = Bench(seed=seed)
                bench.gateway.sampling_rate = 0.01
                bench.ask(plan="plan")
                account = bench.gateway.accounts["c"]
                bench.gateway.counter_calls.clear()
                account.admitted.in_flight, account.admitted.unreported = None, unreported - 1.0
                calls[unreported] += len(only(bench.ask(plan="plan"), api.AddCount))
        self.assertGreater(calls[4], 2 * calls[1])

    def test_a_late_total_still_counts(self) -> None:
        bench = Bench()
        call = only(bench.ask(plan="plan", spread=300), api.AddCount)[0]
        bench.answer(Code.TIMEOUT, took=0.05)
        account = bench.gateway.accounts["c"]
        total = 5.0 * account.weight(account.admitted, bench.now)
        for _ in range(2):  # a second total of the same call is ignored
            bench.send_event(api.CountAnswer(call.name, Code.OK, 0.07, total, late=True))
            self.assertAlmostEqual(account.admitted.usage, 5.0)
            total = 0.0

    def test_a_customer_with_only_refusals_gets_its_totals_renewed(self) -> None:
        """Refused requests make no calls, so that an old total would go on refusing all requests."""
        bench = Bench()
        bench.gateway.sampling_rate = 0.0
        bench.ask_with_total(1.0)
        account = bench.gateway.accounts["c"]
        account.refused.usage = account.refused.mean_usage = 1e6
        account.admitted.read_at = account.refused.read_at = bench.now
        self.assertFalse([c for c in only(bench.ask(plan="plan"), api.AddCount) if c.amount > 1e9])
        bench.gateway.counter_calls.clear()
        account.admitted.in_flight = account.refused.in_flight = None
        bench.now += 1.1 * account.decay_time
        self.assertEqual(len(only(bench.ask(plan="plan"), api.AddCount)), 2)


class AccountLifetime(unittest.TestCase):
    def test_a_request_under_another_plan_does_not_change_the_account(self) -> None:
        bench = Bench()
        bench.ask(plan="wide")
        bench.ask(plan="plan")
        bench.ask(plan="wide")
        plans = {key: account.plan.name for key, account in bench.gateway.accounts.items()}
        self.assertEqual(plans, {"c": "wide", "c\nplan": "plan"})

    def test_idle_accounts_are_dropped_one_by_one(self) -> None:
        """Otherwise a stream of new customers would grow the state without bound."""
        bench = Bench(counter=False)
        for number in range(300):
            bench.now += 1.0
            for send in only(bench.ask(customer=f"c{number}"), api.Send):
                bench.end(send, Code.OK, took=0.0)
        self.assertLess(len(bench.gateway.accounts), 70)


class ServerEstimates(unittest.TestCase):
    def test_a_reported_backlog_counts_until_the_report_is_old(self) -> None:
        """A server repeats its report until the next is due; its age counts from the first time."""
        bench = Bench(servers=2, counter=False)
        first = only(bench.ask(), api.Send)[0]
        for took, counts in ((0.01, True), (5.0, False)):
            bench.now += took
            bench.send_event(
                api.Outcome(first.request, 0, first.server, Code.OK, 0.01, True, report={"backlog": 30.0})
            )
            bench.gateway.servers[first.server].update_load_report({"backlog": 30.0}, bench.now)
            backlog = bench.gateway.servers[first.server].backlog(bench.now)
            self.assertEqual(backlog > 1.0, counts)

    def test_a_failure_long_ago_no_longer_counts(self) -> None:
        """Tiny error rates become 0, as decaying them for each candidate of each attempt is expensive."""
        bench = Bench(servers=1, counter=False)
        server = bench.gateway.servers["s0"]
        bench.end(only(bench.ask(), api.Send)[0], Code.ERROR, took=0.0)
        names = ("read", "wide")
        initial = server.error_rate(names, bench.now)
        self.assertGreater(initial, 0.5)
        self.assertLess(server.error_rate(names, bench.now + 5), initial)
        for _ in range(200):
            server.record_outcome(False, (("read", False), ("wide", False)), bench.now)
        self.assertEqual(server.error_rate(names, bench.now), 0.0)

    def test_a_reset_hardly_counts_against_its_server(self) -> None:
        """Resets happen on the way from any server; a full error penalty would load the others unevenly."""
        error_rates = {}
        for code in (Code.RESET, Code.UNREACHABLE):
            bench = Bench(servers=1, counter=False)
            bench.end(only(bench.ask(), api.Send)[0], code, took=0.0)
            error_rates[code] = bench.gateway.servers["s0"].error_rate(("read", "wide"), bench.now)
        self.assertLess(error_rates[Code.RESET], 0.1)
        self.assertGreater(error_rates[Code.UNREACHABLE], 0.5)

    def test_the_deadline_margin_is_small_for_short_target_latencies(self) -> None:
        """A fixed margin ended attempts long before a short target latency."""
        quick = api.ClassSettings("read", aim=0.24, give_up=1.0, repeat=SAFE.repeat)
        bench = Bench(counter=False, classes=(quick,))
        self.assertAlmostEqual(only(bench.ask(left=1.0), api.Send)[0].timeout, 0.22)
