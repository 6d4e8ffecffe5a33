"""Rules that change while requests flow: figures, blocked customers, servers set aside."""

from __future__ import annotations

import random
from collections import defaultdict, deque
from dataclasses import replace

import pytest

from barleyhub import interface as api
from barleyhub.interface import Code
from tests.conftest import BASE, CAPPED, PLAN, Bench, only

PLANS = {plan.name: plan for plan in BASE.plans}
STEP = 0.01  # s
ANSWER = 0.005  # s; the counter's


def rules(*plans: api.PlanSettings, **more: tuple[str, ...]) -> api.Rules:
    return api.Rules(tuple((PLANS | {plan.name: plan for plan in plans}).values()), **more)


class Set:
    """Three gateways with one counter, asked by one customer far beyond its quota."""

    def __init__(self, plan: api.PlanSettings, seed: int, lost: float = 0.0) -> None:
        self.plan, self.lost, self.draw = plan, lost, random.Random(seed)
        self.gates = [Bench(seed + n, index=n, plans=tuple(PLANS.values())) for n in range(3)]
        self.totals: dict[int, float] = defaultdict(float)
        self.calls: deque[tuple[float, Bench, api.AddCount]] = deque()
        self.admitted: list[float] = []
        self.now = self.gates[0].now
        self.began = self.now
        self.switch(plan)

    def switch(self, plan: api.PlanSettings) -> None:
        self.plan = plan
        for gate in self.gates:
            gate.give(rules(plan))

    def run(self, seconds: float, a_second: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            while self.calls and self.calls[0][0] <= self.now:
                self.answer(*self.calls.popleft()[1:])
            if self.draw.random() < a_second * STEP:
                gate = self.draw.choice(self.gates)
                gate.now = self.now
                self.take(gate, gate.ask(plan=self.plan.name))

    def answer(self, gate: Bench, call: api.AddCount) -> None:
        gate.now = self.now
        if self.draw.random() < self.lost:
            self.take(gate, gate.give(api.CountAnswer(call.name, Code.TIMEOUT, 0.05)))
            return
        self.totals[call.name] += call.amount
        self.take(gate, gate.give(api.CountAnswer(call.name, Code.OK, ANSWER, self.totals[call.name])))

    def take(self, gate: Bench, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.AddCount):
                self.calls.append((self.now + ANSWER, gate, action))
            elif isinstance(action, api.Send):
                self.admitted.append(self.now - self.began)
                self.take(gate, gate.give(api.Outcome(action.request, 0, action.server, Code.OK, 0.05, True)))

    def between(self, first: float, last: float) -> int:
        return sum(first <= at < last for at in self.admitted)


@pytest.mark.parametrize("seed", range(4))
def test_a_change_of_figures_gives_no_burst_anew(seed: int) -> None:
    """The room stays nearly as it was and was all used, so that only what drains may go on."""
    old = replace(PLAN, rate=4.0, burst=12.0, over_cost=0.6)
    held = Set(old, seed)
    held.run(10.0, 40.0)
    before = held.between(7.0, 10.0) / 3.0
    held.switch(replace(old, rate=4.4))
    held.run(2.0, 40.0)
    assert before < 6.0, before
    assert held.between(10.0, 12.0) < 2 * 4.4 + 6.0, held.between(10.0, 12.0)


@pytest.mark.parametrize("seed", range(4))
def test_a_new_period_of_the_counter_gives_no_burst_anew(seed: int) -> None:
    """Seen at 1008 s, where a period begins: 16 admitted within the second where 4 were allowed."""
    held = Set(replace(PLAN, rate=4.0, burst=12.0, over_cost=0.6), seed)
    held.run(16.0, 40.0)
    account = held.gates[0].gateway.accounts["c"]
    assert held.began // account.period_length != held.now // account.period_length, (
        "a period has begun meanwhile"
    )
    assert max(held.between(n, n + 2) for n in range(6, 15)) < 2 * 4.0 + 8.0


@pytest.mark.parametrize("seed", range(4))
def test_a_lower_figure_holds_within_seconds_and_a_higher_one_is_used(seed: int) -> None:
    old = replace(PLAN, rate=8.0, burst=16.0, over_cost=0.6)
    held = Set(old, seed)
    held.run(10.0, 40.0)
    held.switch(replace(old, rate=2.0, burst=4.0))
    held.run(10.0, 40.0)
    assert held.between(13.0, 20.0) / 7.0 < 2.0 * 1.6
    held.switch(old)
    held.run(10.0, 40.0)
    assert held.between(25.0, 30.0) / 5.0 > 8.0 * 0.7


@pytest.mark.parametrize(("seed", "lost"), [(1, 0.0), (2, 0.5), (3, 1.0)])
def test_no_ceiling_is_passed_over_changes_of_it_also_with_the_counter_slow(seed: int, lost: float) -> None:
    """Whatever window is looked at, by the larger figures of the two."""
    low, high = CAPPED, replace(CAPPED, ceiling_rate=8.0, ceiling_burst=24.0, rate=4.0, burst=12.0)
    held = Set(low, seed, lost)
    for n in range(6):
        held.run(2.5, 60.0)
        held.switch(low if n % 2 else high)
    times = held.admitted
    worst = max(
        (j - i + 1) / (high.ceiling_burst + high.ceiling_rate * (times[j] - times[i]))
        for i in range(len(times)) for j in range(i, len(times))
    )  # fmt: skip
    print(f"counter's answers lost {lost:.0%}: at most {worst:.2f} of the ceiling")
    assert worst <= 1.0


def test_a_customer_not_known_here_finds_its_room_used_after_a_change_under_a_ceiling() -> None:
    bench = Bench()
    bench.give(rules(replace(CAPPED, rate=3.0)))
    bench.ask(plan="capped", customer="new")
    account = bench.gateway.accounts["new"]
    assert account.expected_usage(account.admitted) - account.admitted.unreported == pytest.approx(
        account.capacity
    )
    bench.now += 3 * account.decay_time
    bench.ask(plan="capped", customer="later")
    later = bench.gateway.accounts["later"]
    assert later.expected_usage(later.admitted) - later.admitted.unreported < 0.1 * later.capacity


def test_the_same_figures_again_change_nothing() -> None:
    bench = Bench()
    bench.ask(plan="plan")
    account = bench.gateway.accounts["c"]
    bench.give(rules())
    bench.ask(plan="plan")
    assert bench.gateway.accounts["c"] is account
    bench.give(rules(replace(PLAN, rate=3.0)))
    bench.ask(plan="plan")
    assert bench.gateway.accounts["c"].name_suffix != account.name_suffix


def test_what_is_blocked_is_refused_and_nobody_else(bench: Bench) -> None:
    bench.give(rules(blocked=("c",)))
    assert only(bench.ask(), api.Refuse) and not only(bench.ask(customer="d"), api.Refuse)
    assert bench.gateway.stats["refused.blocked"] == 1
    bench.give(rules())
    assert only(bench.ask(), api.Send)


def test_a_request_goes_on_under_the_list_that_it_came_under(bench: Bench) -> None:
    """Its further attempts leave out what was set aside then, also once that is lifted; later ones don't."""
    bench.give(rules(aside=("s0", "s2")))
    first = only(bench.ask(), api.Send)[0]
    assert first.server == "s1"
    bench.give(rules())
    again = only(bench.end(first, Code.UNREACHABLE), api.Send)
    assert [send.server for send in again] == ["s1"]
    assert {send.server for _ in range(20) for send in only(bench.ask(), api.Send)} >= {"s0", "s2"}
    bench.give(rules(aside=("s0", "s1", "s2")))
    assert only(bench.ask(), api.Refuse)
