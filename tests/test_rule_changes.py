"""Rules that change under load: limits of plans, blocked customers, excluded servers."""

from __future__ import annotations

import random
from collections import defaultdict, deque
from dataclasses import replace

import pytest

from barleyhub import interface as api
from barleyhub.interface import Code
from tests.conftest import BASE, CAPPED, PLAN, Bench, only

PLANS = {plan.name: plan for plan in BASE.plans}
STEP_S = 0.01
COUNTER_LATENCY_S = 0.005


def rules(*plans: api.PlanSettings, **changes: tuple[str, ...]) -> api.Rules:
    return api.Rules(tuple((PLANS | {plan.name: plan for plan in plans}).values()), **changes)


class GatewaySet:
    """Three gateways that share a counter, under load of one customer far above its quota."""

    def __init__(self, plan: api.PlanSettings, seed: int, lost_share: float = 0.0) -> None:
        self.plan, self.lost_share, self.random = plan, lost_share, random.Random(seed)
        self.benches = [Bench(seed + n, index=n, plans=tuple(PLANS.values())) for n in range(3)]
        self.totals: dict[int, float] = defaultdict(float)
        self.calls: deque[tuple[float, Bench, api.AddCount]] = deque()
        self.admitted: list[float] = []
        self.now = self.benches[0].now
        self.started_at = self.now
        self.change_plan(plan)

    def change_plan(self, plan: api.PlanSettings) -> None:
        self.plan = plan
        for bench in self.benches:
            bench.send_event(rules(plan))

    def run(self, seconds: float, rate: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            while self.calls and self.calls[0][0] <= self.now:
                self.answer_call(*self.calls.popleft()[1:])
            if self.random.random() < rate * STEP_S:
                bench = self.random.choice(self.benches)
                bench.now = self.now
                self.handle_actions(bench, bench.ask(plan=self.plan.name))

    def answer_call(self, bench: Bench, call: api.AddCount) -> None:
        bench.now = self.now
        if self.random.random() < self.lost_share:
            self.handle_actions(bench, bench.send_event(api.CountAnswer(call.name, Code.TIMEOUT, 0.05)))
            return
        self.totals[call.name] += call.amount
        self.handle_actions(
            bench,
            bench.send_event(api.CountAnswer(call.name, Code.OK, COUNTER_LATENCY_S, self.totals[call.name])),
        )

    def handle_actions(self, bench: Bench, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.AddCount):
                self.calls.append((self.now + COUNTER_LATENCY_S, bench, action))
            elif isinstance(action, api.Send):
                self.admitted.append(self.now - self.started_at)
                self.handle_actions(
                    bench,
                    bench.send_event(api.Outcome(action.request, 0, action.server, Code.OK, 0.05, True)),
                )

    def admitted_between(self, first: float, last: float) -> int:
        return sum(first <= at < last for at in self.admitted)


@pytest.mark.parametrize("seed", range(4))
def test_a_change_of_limits_grants_no_second_burst(seed: int) -> None:
    """The capacity was used up before the change, so that only what drains may be admitted."""
    old = replace(PLAN, rate=4.0, burst=12.0, over_cost=0.6)
    gateway_set = GatewaySet(old, seed)
    gateway_set.run(10.0, 40.0)
    before = gateway_set.admitted_between(7.0, 10.0) / 3.0
    gateway_set.change_plan(replace(old, rate=4.4))
    gateway_set.run(2.0, 40.0)
    assert before < 6.0, before
    assert gateway_set.admitted_between(10.0, 12.0) < 2 * 4.4 + 6.0, gateway_set.admitted_between(10.0, 12.0)


@pytest.mark.parametrize("seed", range(4))
def test_a_new_period_of_the_counter_grants_no_second_burst(seed: int) -> None:
    """Totals start from 0 in a new period, and without the usage before it a full burst was admitted."""
    gateway_set = GatewaySet(replace(PLAN, rate=4.0, burst=12.0, over_cost=0.6), seed)
    gateway_set.run(16.0, 40.0)
    account = gateway_set.benches[0].gateway.accounts["c"]
    assert gateway_set.started_at // account.period_length != gateway_set.now // account.period_length, (
        "a period has begun meanwhile"
    )
    assert max(gateway_set.admitted_between(n, n + 2) for n in range(6, 15)) < 2 * 4.0 + 8.0


@pytest.mark.parametrize("seed", range(4))
def test_lower_and_higher_limits_take_effect_within_seconds(seed: int) -> None:
    old = replace(PLAN, rate=8.0, burst=16.0, over_cost=0.6)
    gateway_set = GatewaySet(old, seed)
    gateway_set.run(10.0, 40.0)
    gateway_set.change_plan(replace(old, rate=2.0, burst=4.0))
    gateway_set.run(10.0, 40.0)
    assert gateway_set.admitted_between(13.0, 20.0) / 7.0 < 2.0 * 1.6
    gateway_set.change_plan(old)
    gateway_set.run(10.0, 40.0)
    assert gateway_set.admitted_between(25.0, 30.0) / 5.0 > 8.0 * 0.7


@pytest.mark.parametrize(("seed", "lost"), [(1, 0.0), (2, 0.5), (3, 1.0)])
def test_the_ceiling_holds_across_changes_of_it_and_with_counter_timeouts(seed: int, lost: float) -> None:
    """In every time window, by the larger of the two ceilings."""
    low, high = CAPPED, replace(CAPPED, ceiling_rate=8.0, ceiling_burst=24.0, rate=4.0, burst=12.0)
    gateway_set = GatewaySet(low, seed, lost)
    for n in range(6):
        gateway_set.run(2.5, 60.0)
        gateway_set.change_plan(low if n % 2 else high)
    times = gateway_set.admitted
    worst = max(
        (j - i + 1) / (high.ceiling_burst + high.ceiling_rate * (times[j] - times[i]))
        for i in range(len(times)) for j in range(i, len(times))
    )  # fmt: skip
    print(f"counter answers lost: {lost:.0%}; highest use of the ceiling: {worst:.2f}")
    assert worst <= 1.0


def test_after_a_change_the_capacity_of_an_unknown_customer_counts_as_used() -> None:
    bench = Bench()
    bench.send_event(rules(replace(CAPPED, rate=3.0)))
    bench.ask(plan="capped", customer="new")
    account = bench.gateway.accounts["new"]
    assert account.expected_usage(account.admitted) - account.admitted.unreported == pytest.approx(
        account.capacity
    )
    bench.now += 3 * account.decay_time
    bench.ask(plan="capped", customer="later")
    later = bench.gateway.accounts["later"]
    assert later.expected_usage(later.admitted) - later.admitted.unreported < 0.1 * later.capacity


def test_unchanged_limits_keep_the_account() -> None:
    bench = Bench()
    bench.ask(plan="plan")
    account = bench.gateway.accounts["c"]
    bench.send_event(rules())
    bench.ask(plan="plan")
    assert bench.gateway.accounts["c"] is account
    bench.send_event(rules(replace(PLAN, rate=3.0)))
    bench.ask(plan="plan")
    assert bench.gateway.accounts["c"].name_suffix != account.name_suffix


def test_only_blocked_customers_are_refused(bench: Bench) -> None:
    bench.send_event(rules(blocked=("c",)))
    assert only(bench.ask(), api.Refuse) and not only(bench.ask(customer="d"), api.Refuse)
    assert bench.gateway.stats["refused.blocked"] == 1
    bench.send_event(rules())
    assert only(bench.ask(), api.Send)


def test_a_request_keeps_the_server_exclusions_that_it_arrived_under(bench: Bench) -> None:
    """Its retries avoid the servers excluded then, even after the exclusion is lifted."""
    bench.send_event(rules(aside=("s0", "s2")))
    first = only(bench.ask(), api.Send)[0]
    assert first.server == "s1"
    bench.send_event(rules())
    again = only(bench.end(first, Code.UNREACHABLE), api.Send)
    assert [send.server for send in again] == ["s1"]
    assert {send.server for _ in range(20) for send in only(bench.ask(), api.Send)} >= {"s0", "s2"}
    bench.send_event(rules(aside=("s0", "s1", "s2")))
    assert only(bench.ask(), api.Refuse)
