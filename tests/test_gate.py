"""The gate's arithmetic, its chance draw, and the room."""

from __future__ import annotations

import math

import pytest

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.quotas import Account
from tests.conftest import Bench, only


def account(bench: Bench, plan: str = "plan", spread: int = 3) -> Account:
    request = api.Request("r", "c", "read", plan, 1.0, 3.0, spread)
    return bench.gateway.open_account(request, bench.gateway.plans[plan], bench.now)


def test_gate_is_room_over_offered_clamped() -> None:
    made = account(Bench())
    made.capacity = 3.0
    assert made.admission_probability(1.0) == 1.0
    made.refused.usage = made.refused.mean_usage = 5.0
    assert made.admission_probability(1.0) == pytest.approx(0.5)


def test_what_is_admitted_averages_room_over_offered() -> None:
    """A hot customer of a wide set: over 400 seeds a gate of 0.4 admits 160, give or take 40."""
    admitted = 0
    for seed in range(400):
        bench = Bench(seed=seed, servers=30)
        made = account(bench, spread=300)
        made.admitted.usage = made.admitted.mean_usage = 1.0
        made.refused.usage = made.refused.mean_usage = made.capacity / 0.4 - 2.0
        made.admitted.read_at = made.refused.read_at = bench.now
        assert 0.0 < made.admission_probability(1.0) < 1.0
        admitted += len(only(bench.told(2.0, spread=300), api.Send))
    assert abs(admitted - 160) <= 40


def test_a_new_customer_of_a_wide_set_waits_for_its_first_total() -> None:
    bench = Bench()
    assert not only(bench.ask(plan="plan", spread=300), (api.Send, api.Refuse))  # type: ignore[arg-type]
    assert only(bench.answer(Code.OK, 1.0), api.Send)


def test_a_total_past_the_room_refuses_and_gives_the_units_back() -> None:
    bench = Bench()
    bench.ask(plan="plan", spread=300)
    amount = only(bench.log, api.AddCount)[0].amount
    actions = bench.answer(Code.OK, 50.0 * amount, took=0.0)
    assert only(actions, api.Refuse) and not only(actions, api.Send)
    assert only(actions, api.AddCount)[0].amount == pytest.approx(-amount)


def test_every_gateway_of_a_set_of_300_together_keeps_the_room() -> None:
    """Neither shut out nor let in once by each: the shared total decides."""
    total = sent = 0.0
    for seed in range(300):
        bench = Bench(seed=seed, servers=60, gateways=300)
        bench.ask(plan="plan", spread=300)
        amount = only(bench.log, api.AddCount)[0].amount
        total += amount
        actions = bench.answer(Code.OK, total, took=0.0)
        sent += len(only(actions, api.Send))
        total += sum(a.amount for a in only(actions, api.AddCount))
    room = account(Bench()).capacity
    assert room - 1 <= sent <= room


def test_totals_fade_with_the_depth() -> None:
    """A later unit weighs more, so that the total over the weight is an average that fades."""
    bench = Bench()
    made = account(bench)
    tally = made.admitted
    tally.period = int(bench.now // made.period_length)
    early, later = made.weight(tally, bench.now), made.weight(tally, bench.now + made.decay_time)
    assert later / early == pytest.approx(math.e)
    made.apply_total(tally, 4.0 * early, bench.now)
    assert tally.usage == pytest.approx(4.0)
    made.apply_total(tally, 4.0 * early, bench.now + made.decay_time)
    assert tally.usage == pytest.approx(4.0 / math.e)


def test_a_new_period_adds_to_what_is_left_of_the_last() -> None:
    bench = Bench()
    made = account(bench)
    tally = made.admitted
    tally.period = int(bench.now // made.period_length)
    end = (tally.period + 1) * made.period_length
    tally.usage, tally.read_at, made.updated_at = 4.0, end - made.decay_time, end
    tally.period += 1
    made.apply_total(tally, 0.0, end)
    assert tally.usage == pytest.approx(4.0 / math.e)


def test_concurrency_counts_what_is_likely_out_here_and_elsewhere() -> None:
    bench = Bench()
    assert only(bench.told(1.0, plan="open"), api.Send)
    bench.gateway.accounts["c"].in_flight = 0
    assert only(bench.told(1.1, plan="open"), api.Send)
    bench.gateway.latency = bench.gateway.accounts["c"].decay_time
    assert only(bench.told(4.0, plan="open"), api.Refuse)


def test_refusal_advises_when_a_unit_fits_again() -> None:
    bench = Bench()
    assert only(bench.told(50.0), api.Refuse)[0].retry_after == pytest.approx(0.5)


def test_what_the_servers_had_no_room_for_does_not_close_the_gate() -> None:
    bench = Bench()
    bench.gateway.in_flight = 1000  # half of it counts at once, all of it after a while
    assert only(bench.told(1.0), api.Refuse)
    assert bench.gateway.accounts["c"].refused.unreported == 0.0
