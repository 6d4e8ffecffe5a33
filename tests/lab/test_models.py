"""Models of the laboratory, with times set by the tests."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from pathlib import Path

import pytest

from latchspoke.lab.clients import ClientModel, ClientSettings
from latchspoke.lab.counter import CounterModel, CounterSettings
from latchspoke.lab.experiment import read_experiment, variants
from latchspoke.lab.faults import Fault, FaultEvent, FaultSchedule
from latchspoke.lab.load import PlanLoad, TraceReplay, mark_inside_quota, poisson_arrivals
from latchspoke.lab.node import NodeModel, NodeSettings
from latchspoke.lab.outcome import Outcomes
from latchspoke.lab.quota import PlanQuota, QuotaAuditor
from latchspoke.lab.report import ReportedRun, compare_variants
from latchspoke.records import RecordError
from latchspoke.traffic.trace import Request

WARM = NodeSettings(
    cores=2,
    slots=4,
    queue_limit=2,
    warm_up_time=10.0,
    cold_speed=0.2,
    crowding_penalty=0.0,
    handshake_work=0.0,
)


def completion_times(node: NodeModel, until: float, slow: float = 1.0) -> dict[object, float]:
    """Completion time of each request, as seen by a driver that sleeps until ``next_completion``."""
    done: dict[object, float] = {}
    while (due := node.next_completion(slow)) is not None and due <= until:
        for job in node.advance(due + 1e-9, slow):
            done[job.key] = round(due, 4)
    return done


def test_requests_share_the_cores() -> None:
    node = NodeModel(WARM)
    for ident in "ab":
        assert node.arrive(ident, 1.0, 0.0)
    assert completion_times(node, 9) == {"a": 1.0, "b": 1.0}  # a core each
    for ident in "cdef":
        node.arrive(ident, 1.0, 1.0)
    assert completion_times(node, 9) == dict.fromkeys("cdef", 3.0)  # half a core each


def test_queued_requests_run_next_and_a_full_queue_rejects() -> None:
    node = NodeModel(WARM)
    taken = [node.arrive(n, 1.0, 0.0) for n in range(8)]
    assert taken == [True] * 6 + [False] * 2 and node.rejected == 2
    node.cancel(5)
    assert set(completion_times(node, 99)) == {0, 1, 2, 3, 4} and node.served == 5


def test_a_cold_start_is_slow_and_warms_up() -> None:
    node = NodeModel(WARM)
    lost = node.restart(100.0)
    assert lost == [] and node.speed(100.0) == pytest.approx(0.2) and node.speed(105.0) == pytest.approx(0.6)
    assert node.speed(110.0) == 1.0
    node.arrive("a", 0.1, 100.0)
    (done,) = completion_times(node, 200.0).values()
    assert done == pytest.approx(100.5, abs=0.01)


def test_slowdown_and_crowding_reduce_the_speed() -> None:
    node = NodeModel(NodeSettings(cores=1, slots=2, crowding_penalty=0.5))
    for n in range(4):
        node.arrive(n, 1.0, 0.0)
    assert node.speed(0.0, 0.5) == pytest.approx(0.5 / 2)  # two requests beyond the slots


def test_load_reports_are_refreshed_once_per_interval() -> None:
    node = NodeModel(WARM)
    for n in range(6):
        node.arrive(n, 1.0, 0.0)
    assert node.load_report(0.0)[0] == 2
    node.advance(0.3)
    node.cancel(5)
    assert node.load_report(0.3)[0] == 2  # not refreshed yet
    node.advance(0.6)
    assert node.load_report(0.6) == (1, 1.0)


def test_work_is_conserved() -> None:
    """All accepted work is done whenever the model is advanced, and never faster than the cores allow."""
    for seed in range(100):
        draw, node, now, work = random.Random(seed), NodeModel(WARM), 0.0, 0.0
        taken, done = set[int](), list[object]()
        for n in range(60):
            now += draw.choice((0.0, 0.05, 0.4))
            done += [job.key for job in node.advance(now)]
            amount = draw.uniform(0.01, 0.5)
            if node.arrive(n, amount, now):
                taken.add(n)
                work += amount
        done += list(completion_times(node, 1e9))
        assert sorted(map(int, map(str, done))) == sorted(taken), f"seed {seed}"
        assert node.busy_core_seconds == pytest.approx(work) and node.now * 2 >= work - 1e-6, f"seed {seed}"


def test_counter_calls_queue_per_shard_and_totals_expire() -> None:
    model = CounterModel(CounterSettings(shards=1, capacity=100.0, call_time=0.001))
    results = [model.add("n", 1.0, 5.0, 0.0) for _ in range(3)]
    assert [total for total, _ in results] == [1.0, 2.0, 3.0]
    assert [round(due, 3) for _, due in results] == [0.011, 0.021, 0.031]
    assert model.add("n", 1.0, 5.0, 6.0)[0] == 1.0  # the total has expired
    _, due = model.add("m", 1.0, 5.0, 10.0, slowdown=5.0)
    assert due == pytest.approx(10.055)
    model.reset()
    assert model.add("m", 1.0, 5.0, 11.0)[0] == 1.0


def test_client_retries_depend_on_the_response() -> None:
    clients = ClientModel(ClientSettings(retries=2, retry_delay=1.0), 1)
    assert clients.next_retry(200, None, 0, 0.0) is None and clients.next_retry(404, None, 0, 0.0) is None
    for status in (0, 429, 502, 503):
        again = clients.next_retry(status, None, 0, 10.0)
        assert again is not None and 10.5 <= again.at <= 11.5
    assert clients.next_retry(503, None, 2, 0.0) is None
    honored = clients.next_retry(429, 5.0, 0, 10.0)
    assert honored is not None and 15.0 <= honored.at <= 16.0
    ignored = ClientModel(ClientSettings(retry_delay=1.0, honor_retry_after=False), 1).next_retry(
        429, 5.0, 0, 10.0
    )
    assert ignored is not None and ignored.at < 12.0
    assert all(2.0 <= clients.draw_timeout() <= 4.0 for _ in range(50))


def test_a_schedule_reports_active_faults_and_transitions() -> None:
    slow = FaultEvent(Fault.SLOW, 1.0, 2.0, frozenset({"s-1"}), 0.5)
    schedule = FaultSchedule([slow, FaultEvent(Fault.COUNTER_SLOW, 3.0, 1.0, amount=4.0)])
    assert schedule.amount(Fault.SLOW, 2.9, "s-1") == 0.5 and schedule.amount(Fault.SLOW, 3.0, "s-1") is None
    assert schedule.amount(Fault.SLOW, 2.0, "s-2") is None
    assert [(at, begins) for at, _, begins in schedule.transitions()] == [
        (1.0, True),
        (3.0, False),
        (3.0, True),
        (4.0, False),
    ]


def test_quota_usage_counts_each_request_once() -> None:
    auditor = QuotaAuditor({"p": PlanQuota("p", 1.0, 2.0, 2.0, 4.0)})
    for ident in ("a", "a", "b", "c"):
        auditor.record_attempt(ident, "p", 7, 1.0, 0.0)
    assert (auditor.attempts, auditor.use["p"].inside, auditor.use["p"].beyond) == (4, 2.0, 1.0)
    for n in range(5):
        auditor.record_attempt(f"d{n}", "p", 7, 1.0, 0.0)
    assert auditor.use["p"].over_ceiling == 3.0  # burst of four, and one request of the largest size as slack
    auditor.record_attempt("e", "p", 8, 1.0, 0.0)
    assert auditor.use["p"].inside == 3.0  # each customer has its own bucket


# Load


def recorded() -> list[Request]:
    return [
        Request(n, n * 10_000, n % 7, "p", "k", "GET", f"/k?key={n % 7:x}", f"g{n % 3}", 200, 10, n, 0)
        for n in range(1, 2001)
    ]


GATEWAYS = {"g0": 0, "g1": 1, "g2": 2}


def test_a_replay_keeps_times_customers_and_gateways() -> None:
    played = list(TraceReplay(GATEWAYS).arrivals(recorded()))
    assert [(a.customer, a.gateway) for a in played] == [
        (r.customer, GATEWAYS[r.gateway]) for r in recorded()
    ]
    assert [a.at for a in played] == pytest.approx([(r.at - 10_000) / 1e6 for r in recorded()])
    fast = list(TraceReplay(GATEWAYS, speed=10).arrivals(recorded()))
    assert fast[-1].at == pytest.approx(played[-1].at / 10)


def test_scaling_adds_copies_of_recorded_customers() -> None:
    played = list(TraceReplay(GATEWAYS, scale=2.5, seed=3).arrivals(recorded()))
    assert [a.at for a in played] == sorted(a.at for a in played)
    counts = Counter(a.customer for a in played)
    assert 14 < len(counts) <= 21 and max(counts.values()) <= 286
    assert {a.number for a in played} == set(range(1, len(played) + 1))
    louder = list(TraceReplay(GATEWAYS, scale=2.5, louder=True, seed=3).arrivals(recorded()))
    assert len({a.customer for a in louder}) == 7 and len(louder) == pytest.approx(5000, rel=0.05)
    part = list(TraceReplay(GATEWAYS, scale=0.5, seed=3).arrivals(recorded()))
    assert 0 < len({a.customer for a in part}) < 7


def test_only_first_tries_are_played_unless_verbatim() -> None:
    requests = [Request(1, 0, 1, "p", "k", "GET", "/k", "g0", 503, 1, 1, 0),
                Request(2, 10**6, 1, "p", "k", "GET", "/k", "g1", 200, 1, 1, 1)]  # fmt: skip
    assert [a.number for a in TraceReplay(GATEWAYS).arrivals(requests)] == [1]
    arrivals = list(TraceReplay(GATEWAYS, verbatim=True).arrivals(requests))
    assert [(a.first, a.attempt, a.gateway) for a in arrivals] == [
        (arrivals[0].first, 0, 0),
        (arrivals[0].first, 1, 1),
    ]


def test_generated_load_has_its_rate_and_gateway_sets() -> None:
    plans = [PlanLoad("p", 20, 2.0), PlanLoad("q", 5, 1.0), PlanLoad("none", 0, 1.0)]
    made = list(poisson_arrivals(plans, "k", 60.0, 4, 2, seed=1))
    assert len(made) == pytest.approx(45 * 60, rel=0.08)
    assert [a.at for a in made] == sorted(a.at for a in made)
    for a in made:
        assert (a.gateway - a.first_gateway) % 4 < 2
    assert made == list(poisson_arrivals(plans, "k", 60.0, 4, 2, seed=1))


def test_requests_beyond_a_quota_are_marked() -> None:
    figures = {"p": PlanQuota("p", 1.0, 2.0)}
    requests = [Request(n, n * 100_000, 1, "p", "k", "GET", "/k", "g0", first=n) for n in range(1, 32)]
    inside = [a.inside_quota for a in mark_inside_quota(TraceReplay(GATEWAYS).arrivals(requests), figures)]
    # Burst of two, then one each second for three seconds.
    assert inside[:3] == [True, True, False] and sum(inside) == 5
    assert all(a.inside_quota for a in mark_inside_quota(TraceReplay(GATEWAYS).arrivals(requests), {}))


# Results


def test_counts_of_several_processes_add_up() -> None:
    whole, parts = Outcomes(1.2), [Outcomes(1.2), Outcomes(1.2)]
    for n, target in zip(range(300), itertools.cycle(parts), strict=False):
        for outcomes in (whole, target):
            outcomes.record_arrival(n / 10, n % 3, n % 5)
            outcomes.record_sent(n / 10, n / 10 + (0.2 if n > 250 else 0.0005), n % 3, n % 5)
            outcomes.record_attempt("p", n % 3, "served", 0.1 + n / 1000)
            outcomes.record_first_try("p", "served" if n % 4 else "refused", n / 10, 0.1 + n / 1000)
    merged = Outcomes(1.2)
    for part in parts:
        merged.merge(part.as_dict())
    assert merged.summary() == whole.summary()
    assert merged.behind == 49 and merged.behind_from == pytest.approx(25.1)
    assert merged.served_worth({}) == pytest.approx(0.75)


def test_a_displaced_arrival_counts_once() -> None:
    outcomes = Outcomes(1.2)
    for n in range(100):
        outcomes.record_arrival(n / 10 + 0.01, 0, 1)
        outcomes.record_sent(n / 10 + 0.01, n / 10 + (0.15 if n < 5 else 0.01), 0, 1)
    assert outcomes.arrival_deviation("slots")["elsewhere"] == pytest.approx(0.01)
    assert outcomes.arrival_deviation("customers")["elsewhere"] == 0


def test_a_difference_is_reported_only_beyond_the_spread_of_runs() -> None:
    def run(variant: str, served: int) -> ReportedRun:
        outcomes = Outcomes(1.2)
        for n in range(100):
            outcomes.record_first_try("p", "served" if n < served else "refused", 0.0, 0.1)
        return ReportedRun(variant, 1, outcomes)

    rows = {
        r.name: r.verdict for r in compare_variants([run("a", 90), run("a", 92), run("b", 70), run("b", 75)])
    }
    assert rows["served worth"] == "lower"
    rows = {
        r.name: r.verdict for r in compare_variants([run("a", 90), run("a", 80), run("b", 85), run("b", 95)])
    }
    assert rows["served worth"] == "within the runs' spread"
    rows = {r.name: r.verdict for r in compare_variants([run("a", 90), run("b", 10)])}
    assert rows["served worth"].startswith("one run each")


# Records


def test_variants_of_the_example_differ_in_their_faults() -> None:
    experiment = read_experiment("examples/salary-day.cue")
    made = {name: variant for name, variant, _ in variants(experiment, "examples/salary-day.cue")}
    assert set(made) == {"calm", "troubled"}
    assert len(made["calm"].faults) == 0 and len(made["troubled"].faults) == 2
    assert made["troubled"].schedule().amount(Fault.FAIL_FAST, 10.0, "s-1") == 0.7


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('name: "x"', "plans"),
        (
            'name: "x"\nplans: p: {rate: 1, burst: 1}\nfaults: [{kind: "slow", at: "1s", for: "1s"}]',
            "how many nodes",
        ),
        ('name: "x"\nplans: p: {rate: 1, burst: 1}\nfaults: [{kind: "odd", at: "1s", for: "1s"}]', '"odd"'),
        ('name: "x"\nplans: p: {rate: 0, burst: 1}', "found 0, wanted >0"),
    ],
)
def test_an_invalid_record_is_refused(tmp_path: Path, text: str, expected: str) -> None:
    (tmp_path / "x.cue").write_text(text)
    with pytest.raises(RecordError, match=expected):
        read_experiment(tmp_path / "x.cue")
