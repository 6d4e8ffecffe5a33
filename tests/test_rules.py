"""The rules of the decision module for unusual orders of events, and its protection against overload."""

from __future__ import annotations

import pathlib
import tomllib
from dataclasses import replace

import pytest

from barleyhub import interface as api
from barleyhub.fleet import MIN_LIMIT
from barleyhub.interface import Code, Repeat
from tests.conftest import SAFE, Bench, entry, only

FINAL_ACTIONS = (api.Refuse, api.Fail)


def count_final_answers(bench: Bench, request: str) -> int:
    return sum(isinstance(a, FINAL_ACTIONS) and a.request == request for a in bench.log)


def test_request_without_servers_is_refused_at_once() -> None:
    bench = Bench(servers=0, counter=False)
    assert only(bench.ask(left=1.0), api.Refuse)
    assert count_final_answers(bench, "r1") == 1


def test_timeout_at_the_deadline_is_answered(bench: Bench) -> None:
    send = only(bench.ask("add", left=0.5), api.Send)[0]
    bench.end(send, Code.TIMEOUT, took=0.5)
    assert count_final_answers(bench, "r1") == 1
    assert only(bench.log, api.Fail)


@pytest.mark.parametrize("code", [Code.ERROR, Code.TIMEOUT, Code.RESET, Code.CANCELLED])
def test_unsafe_request_that_may_have_run_is_not_retried(bench: Bench, code: Code) -> None:
    send = only(bench.ask("add"), api.Send)[0]
    actions = bench.end(send, code)
    assert only(actions, api.Fail)
    assert not only(actions, api.Send) and not only(actions, api.Refuse)


def test_unsafe_request_that_did_not_run_is_retried_elsewhere(bench: Bench) -> None:
    send = only(bench.ask("add"), api.Send)[0]
    again = only(bench.end(send, Code.FULL), api.Send)
    assert again and again[0].server != send.server


@pytest.mark.parametrize("seed", range(10))
def test_keyed_request_is_retried_only_within_its_cell_and_window(seed: int) -> None:
    bench = Bench(seed=seed, servers=6, counter=False)
    send = only(bench.ask("put", left=6.0), api.Send)[0]
    cell = int(send.server[1:]) // 2
    again = only(bench.end(send, Code.ERROR), api.Send)[0]
    assert int(again.server[1:]) // 2 == cell
    actions = bench.end(again, Code.ERROR, took=1.9)
    assert only(actions, api.Fail) and not only(actions, api.Send)


def test_request_that_all_servers_decline_is_refused(bench: Bench) -> None:
    send = only(bench.ask(), api.Send)[0]
    for _ in range(3):
        send = only(bench.end(send, Code.FULL, took=0.001), api.Send)[0]
    assert only(bench.end(send, Code.FULL, took=0.001), api.Refuse)
    assert count_final_answers(bench, "r1") == 1


def test_draining_and_unlisted_servers_get_no_requests(bench: Bench) -> None:
    bench.update_servers(entry("s0", state=api.ServerState.LEAVING), form=api.ListForm.CHANGES)
    assert {s.server for _ in range(4) for s in only(bench.ask(), api.Send)} == {"s1", "s2"}
    bench.update_servers(entry("s1"))
    assert {s.server for _ in range(4) for s in only(bench.ask(), api.Send)} <= {"s1"}


def test_outcomes_after_withdrawal_are_ignored(bench: Bench) -> None:
    send = only(bench.ask(), api.Send)[0]
    bench.send_event(api.Withdrawn("r1"))
    assert not only(bench.end(send, Code.ERROR), (api.Send, api.Refuse, api.Fail))  # type: ignore[arg-type]
    assert bench.send_event(api.Withdrawn("unknown")) == []
    assert not only(bench.end(send, Code.OK), api.Send)


def test_started_stream_has_no_deadline(bench: Bench) -> None:
    send = only(bench.ask(left=0.5), api.Send)[0]
    bench.send_event(api.StreamStarted("r1", 0, send.server))
    bench.now += 10.0
    bench.ask()
    assert count_final_answers(bench, "r1") == 0


def test_cold_server_gets_a_reduced_share(bench: Bench) -> None:
    bench.update_servers(entry("s0"), entry("s1"), entry("cold", launched=bench.now))
    cold = warm = 0
    for _ in range(300):
        bench.now += 0.01
        for send in only(bench.ask(customer="w"), api.Send):
            cold, warm = cold + (send.server == "cold"), warm + (send.server != "cold")
            bench.end(send, Code.OK, took=0.001)
    assert warm > 200
    assert cold <= 0.4 * warm


def test_ceiling_holds_without_a_counter_and_after_restarts() -> None:
    """Three gateways without counter totals, each restarted once, together stay below the ceiling."""
    sent_by_seed = []
    for seed in range(40):
        sent_by_seed.append(0)
        for gateway in range(3):
            for life in range(2):
                bench = Bench(seed=10 * seed + 2 * gateway + life, counter=False)
                sent_by_seed[-1] += sum(len(only(bench.ask(plan="capped"), api.Send)) for _ in range(30))
    assert sum(sent_by_seed) > 0
    assert max(sent_by_seed) <= 12 + 1.2


def test_totals_within_the_quota_do_not_use_the_ceiling() -> None:
    bench = Bench(servers=12)
    sent = [len(only(bench.ask_with_total(n + 1.0, plan="capped", spread=12), api.Send)) for n in range(10)]
    assert sent[:5] == [1] * 5
    assert sent[7:] == [0] * 3


def test_failing_server_does_not_attract_load(bench: Bench) -> None:
    sends = {"s0": 0, "s1": 0, "s2": 0}
    for _ in range(150):
        bench.now += 0.02
        for send in only(bench.ask("add"), api.Send):
            sends[send.server] += 1
            code = Code.ERROR if send.server == "s0" else Code.OK
            bench.end(send, code, took=0.001 if code is Code.ERROR else 0.2)
    assert sends["s0"] < 15
    assert sends["s1"] + sends["s2"] > 100


def test_servers_are_used_when_all_of_them_fail(bench: Bench) -> None:
    for _ in range(30):
        bench.now += 0.1
        for send in only(bench.ask("add"), api.Send):
            bench.end(send, Code.ERROR, took=0.01)
    assert only(bench.ask("add"), api.Send)


def test_in_flight_limit_recovers_after_overload(bench: Bench) -> None:
    """Overload must not stop a gateway permanently (incidents ia10606, ic35199)."""
    sends = [s for _ in range(60) for s in only(bench.ask(), api.Send)]
    assert len(sends) < 50
    for send in sends:
        bench.end(send, Code.TIMEOUT, took=0.05, closed=True)
    assert only(bench.ask(), api.Send)


@pytest.mark.parametrize("late_worth", [0.0, 0.2])
def test_attempt_timeout_depends_on_the_worth_of_late_answers(late_worth: float) -> None:
    """Servers keep working on abandoned attempts, which the in-flight count no longer includes."""
    kind = replace(SAFE, late_worth=late_worth)
    bench = Bench(counter=False, servers=2, classes=(kind,))
    sends = [send for _ in range(20) for send in only(bench.ask(), api.Send)]
    assert len(sends) > 4  # with and without load on the servers
    limit = None if late_worth else pytest.approx(kind.aim - bench.gateway.margin)
    assert [send.timeout for send in sends] == [limit] * len(sends)


def test_in_flight_limit_has_a_minimum(bench: Bench) -> None:
    for _ in range(60):
        bench.gateway.adapt_limit(1.0, bench.now)
        bench.now += 1.0
    assert bench.gateway.in_flight_limit == MIN_LIMIT
    bench.now += 5.0
    assert only(bench.ask(), api.Send)


def test_in_flight_limit_follows_warm_capacity() -> None:
    """When servers are replaced by cold ones, the former limit would overload the remaining ones."""
    bench = Bench(servers=12, counter=False)
    before = bench.gateway.in_flight_bound(bench.now)
    cold = [entry(f"n{i}", launched=bench.now) for i in range(6)]
    bench.update_servers(*(entry(f"s{i}") for i in range(6)), *cold)
    remaining_share = (6 + 6 * bench.gateway.settings.start_capacity) / 12
    assert bench.gateway.in_flight_bound(bench.now) == pytest.approx(before * remaining_share)


def test_surge_is_bounded_before_the_mean_reflects_it() -> None:
    """A short surge above the limit overloads the servers for a multiple of its duration."""
    bench = Bench(servers=12, gateways=3, counter=False)
    limit = bench.gateway.in_flight_bound(bench.now)
    peak = 0
    for _ in range(150):
        bench.ask()
        bench.now += 0.01
        peak = max(peak, bench.gateway.in_flight)
    assert peak < 3 * limit


def test_fractional_limit_does_not_refuse_everything() -> None:
    """A limit below one attempt must act as a probability, not as a bound."""
    second_sent = 0
    for seed in range(200):
        bench = Bench(seed=seed, servers=60, gateways=300, counter=False)
        bench.ask()
        second_sent += len(only(bench.ask(), api.Send))
    assert second_sent > 60


def test_limit_applies_to_the_mean_number_of_attempts() -> None:
    """With a fractional limit a single attempt is not an overload, but a permanent one may be."""
    sent = {}
    for wait in (0.0, 20.0):
        sent[wait] = 0
        for seed in range(200):
            bench = Bench(seed=seed, servers=60, gateways=300, counter=False)
            bench.gateway.in_flight_limit = 2.5  # half an attempt for this gateway
            bench.gateway.change_in_flight(1, bench.now)
            bench.now += wait
            bench.gateway.change_in_flight(0, bench.now)
            sent[wait] += len(only(bench.ask(), api.Send))
    assert sent[20.0] < sent[0.0] / 2


def test_long_attempt_counts_as_slow_once(bench: Bench) -> None:
    bench.ask()
    bench.now += 0.9
    for _ in range(5):
        bench.ask("add")
    assert bench.gateway.slow_share == pytest.approx(0.15)


def test_cold_servers_get_a_reduced_share_from_a_large_fleet() -> None:
    """Limits per gateway would not bound the sum over hundreds of gateways with one request each."""
    sent = 0
    for seed in range(400):
        bench = Bench(seed=seed, servers=0, gateways=400, counter=False)
        bench.update_servers(*(entry(f"s{i}", launched=bench.now if i < 30 else 0.0) for i in range(60)))
        sent += sum(int(s.server[1:]) < 30 for s in only(bench.ask(), api.Send))
    assert sent < 400 / 2 * 0.7


def test_timeouts_of_one_class_do_not_affect_other_classes(bench: Bench) -> None:
    for _ in range(3):
        for send in only(bench.ask("add"), api.Send):
            bench.end(send, Code.TIMEOUT, took=0.5)
    silent = [s for s in bench.gateway.warm if "add" in s.health_by_label]
    assert silent
    assert all(s.health.error_rate == 0.0 and "read" not in s.health_by_label for s in silent)


def test_decline_for_one_plan_does_not_affect_other_plans(bench: Bench) -> None:
    send = only(bench.ask(plan="wide"), api.Send)[0]
    bench.end(send, Code.FULL, took=0.01)
    server = bench.gateway.servers[send.server]
    assert server.health_by_label["wide"].error_rate > 0 and "plan" not in server.health_by_label


def test_idle_customer_accounts_are_evicted(bench: Bench) -> None:
    for i in range(20):
        for send in only(bench.ask(customer=f"c{i}"), api.Send):
            bench.end(send, Code.OK, took=0.01)
    bench.now += 100.0
    for i in range(20):
        bench.ask(customer=f"d{i}")
    assert "c0" not in bench.gateway.accounts and "d0" in bench.gateway.accounts


def test_idle_gateway_sets_no_timer(bench: Bench) -> None:
    bench.ask()
    assert not only(bench.log, api.SetTimer)


@pytest.mark.parametrize("field", ["rate", "burst", "concurrency", "ceiling_rate"])
def test_negative_settings_name_the_field(field: str) -> None:
    values = {"name": "p", "rate": 1.0, "burst": 1.0, field: -1}
    with pytest.raises(ValueError, match=field):
        api.PlanSettings(**values)  # type: ignore[arg-type]


def test_inconsistent_settings_are_rejected() -> None:
    with pytest.raises(ValueError, match="repeat_window"):
        api.ClassSettings("k", 1.0, 1.0, Repeat.KEYED)
    kind = api.ClassSettings("k", 1.0, 1.0, Repeat.SAFE)
    with pytest.raises(ValueError, match="classes"):
        api.Settings(index=0, gateways=1, zone="a", classes=(kind, kind), plans=())


@pytest.mark.parametrize(("service", "plan"), [("nothing", "plan"), ("read", "nothing")])
def test_unknown_names_are_errors(bench: Bench, service: str, plan: str) -> None:
    with pytest.raises(ValueError, match="nothing"):
        bench.ask(service, plan)


def test_size_of_the_module() -> None:
    deploy = tomllib.loads(pathlib.Path("deploy/balancer.toml").read_text())
    assert {"barleyhub/choice.py", "barleyhub/quotas.py", "barleyhub/fleet.py"} <= set(deploy["policy"])
    text = [line for name in deploy["policy"] for line in pathlib.Path(name).read_text().splitlines()]
    assert sum(bool(line.strip()) for line in text) <= 500
    assert max(map(len, text)) <= 110
