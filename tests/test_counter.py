"""Failures of the shared counter."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from barleyhub import interface as api
from barleyhub.interface import Code
from tests.conftest import Bench, only


def test_timed_out_amount_is_not_added_again() -> None:
    bench = Bench()
    bench.ask(plan="plan")
    bench.answer(Code.TIMEOUT, took=0.05)
    assert bench.gateway.accounts["c"].admitted.unreported <= 0.0


def test_rejected_amount_is_added_with_the_next_call() -> None:
    bench = Bench()
    bench.ask(plan="plan")
    bench.answer(Code.FULL)
    assert bench.gateway.accounts["c"].admitted.unreported == pytest.approx(1.0, abs=0.1)


def test_overloaded_counter_is_called_less_and_not_considered_down() -> None:
    bench = Bench()
    for _ in range(2):
        bench.ask(plan="wide")
        if bench.gateway.counter_calls:
            bench.answer(Code.FULL)
    assert bench.gateway.sampling_rate < 1.0
    assert not bench.gateway.counter_down


def test_silent_counter_is_logged_once_and_does_not_refuse_everything() -> None:
    bench = Bench(servers=30)
    actions: list[api.Action] = []
    ended = 0
    for i in range(60):
        bench.now += 1.0
        actions += bench.ask(plan="plan", customer=f"c{i}", spread=300)
        while bench.gateway.counter_calls:
            actions += bench.answer(Code.TIMEOUT, took=0.05)
        for send in only(actions, api.Send)[ended:]:
            bench.end(send, Code.OK)
        ended = len(only(actions, api.Send))
    assert [a.text for a in only(actions, api.Log)] == ["counter silent"]
    assert len(only(actions, api.Send)) >= 30
    while bench.gateway.counter_down:
        bench.now += 1.0
        actions += bench.ask_with_total(1.0, customer="back", spread=300)
    assert only(actions, api.Log)[-1].text == "counter back"


def test_sampled_calls_account_for_unsampled_requests() -> None:
    """On average the reported amounts match the requests, also when only some requests are sampled."""
    reported = sampled = 0.0
    for seed in range(400):
        bench = Bench(seed=seed)
        bench.gateway.sampling_rate = 0.4
        bench.ask(plan="wide", spread=300)
        job = next(iter(bench.gateway.jobs.values()))
        reported, sampled = reported + job.counted_units, sampled + (job.counted_units > 0)
    assert 110 < sampled < 210
    assert abs(reported - 400) < 100


def test_requests_without_totals_use_the_acceptance_rate_of_their_plan() -> None:
    bench = Bench(counter=False)
    for backed in (True, False):
        bench.gateway.fit_rates["plan", backed] = 0.0
    assert only(bench.ask(plan="plan"), api.Refuse)
    bench.gateway.fit_rates["plan", False] = bench.gateway.fit_rates["plan", True] = 0.9
    assert only(bench.ask(plan="plan"), api.Send)


def test_refusals_are_reported_in_batches() -> None:
    bench = Bench()
    calls = [only(bench.ask_with_total(50.0), api.AddCount) for _ in range(12)]
    refused_tally = bench.gateway.accounts["c"].refused
    assert refused_tally.read_at > 0 and sum(map(len, calls)) < 36


def test_request_close_to_its_deadline_does_not_wait_for_a_total() -> None:
    bench = Bench()
    assert only(bench.ask(plan="plan", left=0.05), (api.Refuse, api.Send))  # type: ignore[arg-type]


def test_withdrawn_request_is_not_sent_when_its_total_arrives() -> None:
    bench = Bench()
    bench.ask(plan="plan")
    bench.send_event(api.Withdrawn("r1"))
    assert not only(bench.answer(Code.OK, 1.0), (api.Send, api.Refuse))  # type: ignore[arg-type]


def test_answer_to_an_unknown_call_is_ignored(bench: Bench) -> None:
    assert bench.send_event(api.CountAnswer(42, Code.OK, 0.01, 5.0)) == []


def test_names_do_not_depend_on_the_hash_seed() -> None:
    code = (
        "from tests.conftest import Bench\n"
        "b = Bench()\n"
        "for i in range(40): b.ask_with_total(3.0, customer=f'c{i % 7}')\n"
        "print(b.log)"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(outputs) == 1
    assert "AddCount" in outputs.pop()


def test_request_without_server_capacity_does_not_call_the_counter() -> None:
    """In overload, calls for requests that are refused anyway would overload the counter."""
    bench = Bench()
    bench.gateway.in_flight, bench.gateway.mean_in_flight = 1000, 1000.0
    actions = bench.ask(plan="plan")
    assert [type(action) for action in actions] == [api.Refuse]
    assert not bench.gateway.counter_calls
