"""Admission probability, capacity of accounts, and totals of the shared counter."""

from __future__ import annotations

import math

import pytest

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.quotas import Account
from tests.conftest import Bench, only


def open_account(bench: Bench, plan: str = "plan", spread: int = 3) -> Account:
    request = api.Request("r", "c", "read", plan, 1.0, 3.0, spread)
    return bench.gateway.open_account(request, bench.gateway.plans[plan], bench.now)


def test_the_admission_probability_is_capacity_over_offered_units() -> None:
    account = open_account(Bench())
    account.capacity = 3.0
    assert account.admission_probability(1.0) == 1.0
    account.refused.usage = account.refused.mean_usage = 5.0
    assert account.admission_probability(1.0) == pytest.approx(0.5)


def test_the_share_of_admitted_requests_follows_the_admission_probability() -> None:
    """With a probability of 0.4, about 160 of 400 gateways admit the request of an overloaded customer."""
    admitted = 0
    for seed in range(400):
        bench = Bench(seed=seed, servers=30)
        account = open_account(bench, spread=300)
        account.admitted.usage = account.admitted.mean_usage = 1.0
        account.refused.usage = account.refused.mean_usage = account.capacity / 0.4 - 2.0
        account.admitted.read_at = account.refused.read_at = bench.now
        assert 0.0 < account.admission_probability(1.0) < 1.0
        admitted += len(only(bench.ask_with_total(2.0, spread=300), api.Send))
    assert abs(admitted - 160) <= 40


def test_a_new_customer_of_many_gateways_waits_for_its_first_total() -> None:
    bench = Bench()
    assert not only(bench.ask(plan="plan", spread=300), (api.Send, api.Refuse))  # type: ignore[arg-type]
    assert only(bench.answer(Code.OK, 1.0), api.Send)


def test_a_total_above_the_capacity_refuses_and_takes_the_units_back() -> None:
    bench = Bench()
    bench.ask(plan="plan", spread=300)
    amount = only(bench.log, api.AddCount)[0].amount
    actions = bench.answer(Code.OK, 50.0 * amount, took=0.0)
    assert only(actions, api.Refuse) and not only(actions, api.Send)
    assert only(actions, api.AddCount)[0].amount == pytest.approx(-amount)


def test_300_gateways_together_stay_within_the_capacity() -> None:
    """The shared total decides: neither does each gateway admit one request, nor does none."""
    total = sent = 0.0
    for seed in range(300):
        bench = Bench(seed=seed, servers=60, gateways=300)
        bench.ask(plan="plan", spread=300)
        amount = only(bench.log, api.AddCount)[0].amount
        total += amount
        actions = bench.answer(Code.OK, total, took=0.0)
        sent += len(only(actions, api.Send))
        total += sum(a.amount for a in only(actions, api.AddCount))
    capacity = open_account(Bench()).capacity
    assert capacity - 1 <= sent <= capacity


def test_totals_decay_with_the_decay_time() -> None:
    """Later units weigh more, so that the total over the weight is a decaying average."""
    bench = Bench()
    account = open_account(bench)
    counter = account.admitted
    counter.period = int(bench.now // account.period_length)
    early, later = account.weight(counter, bench.now), account.weight(counter, bench.now + account.decay_time)
    assert later / early == pytest.approx(math.e)
    account.apply_total(counter, 4.0 * early, bench.now)
    assert counter.usage == pytest.approx(4.0)
    account.apply_total(counter, 4.0 * early, bench.now + account.decay_time)
    assert counter.usage == pytest.approx(4.0 / math.e)


def test_usage_of_the_last_period_still_counts_in_a_new_one() -> None:
    bench = Bench()
    account = open_account(bench)
    counter = account.admitted
    counter.period = int(bench.now // account.period_length)
    end = (counter.period + 1) * account.period_length
    counter.usage, counter.read_at, account.updated_at = 4.0, end - account.decay_time, end
    counter.period += 1
    account.apply_total(counter, 0.0, end)
    assert counter.usage == pytest.approx(4.0 / math.e)


def test_the_concurrency_limit_covers_requests_at_other_gateways() -> None:
    bench = Bench()
    assert only(bench.ask_with_total(1.0, plan="open"), api.Send)
    bench.gateway.accounts["c"].in_flight = 0
    assert only(bench.ask_with_total(1.1, plan="open"), api.Send)
    bench.gateway.latency = bench.gateway.accounts["c"].decay_time
    assert only(bench.ask_with_total(4.0, plan="open"), api.Refuse)


def test_a_refusal_says_when_a_unit_fits_again() -> None:
    bench = Bench()
    assert only(bench.ask_with_total(50.0), api.Refuse)[0].retry_after == pytest.approx(0.5)


def test_shed_requests_do_not_count_against_the_quota() -> None:
    bench = Bench()
    bench.gateway.in_flight = 1000  # above the in-flight limit, though the mean in flight lags behind
    assert only(bench.ask_with_total(1.0), api.Refuse)
    assert bench.gateway.accounts["c"].refused.unreported == 0.0
