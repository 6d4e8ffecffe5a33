"""The judge of a rollout, on simulated fleets and on reports set by hand."""

from __future__ import annotations

import msgspec
import pytest

from latchspoke.version_rollouts.judge import Advance, End, ExposureBound, RolloutJudge, trial_end
from latchspoke.version_rollouts.records import FULL_SHARE, RolloutRecord, RolloutState
from latchspoke.version_rollouts.samples import GatewayReport, SamplePool, SampleRow
from latchspoke.version_rollouts.simulation import SCENARIOS, Simulation

DURATION_S = 15.0
EXPOSURE = ExposureBound(0.1, 50.0)
OPERATOR_POLL_S = 1.0  # the operator must read the state before the end of the duration

GOOD = ("good", "good, half of all servers lose 5%", "good, leader changes, 10 restarts")
BAD = ("errors 33%", "errors 15%", "slow 50%", "one route 33%", "late 33%", "errors 33%, leader changes")


@pytest.mark.parametrize("name", GOOD)
@pytest.mark.parametrize("seed", [1, 2])
def test_good_version_is_completed_within_its_duration(name: str, seed: int) -> None:
    result = Simulation(SCENARIOS[name](), seed).run()
    assert result.state is RolloutState.COMPLETED, result.reason
    assert result.ended_s <= DURATION_S - OPERATOR_POLL_S


@pytest.mark.parametrize("name", BAD)
@pytest.mark.parametrize("seed", [1, 2])
def test_bad_version_is_reverted_within_the_exposure_bound(name: str, seed: int) -> None:
    result = Simulation(SCENARIOS[name](), seed).run()
    assert result.state is RolloutState.REVERTED
    assert result.target_requests <= EXPOSURE.share * result.all_requests + EXPOSURE.slack
    assert result.bad_answers < 50


RECORD = RolloutRecord(7, "v2", DURATION_S, RolloutState.IN_PROGRESS, 0.08, 7)
SHIFTED = msgspec.structs.replace(RECORD, share=FULL_SHARE, changed_index=9)
GOOD_ROWS = [SampleRow("", "r", 900, 2, 900, 9), SampleRow("n1", "r", 60, 0, 60, 0)]


def report(
    gateway: str, age_s: float, rows: list[SampleRow] = GOOD_ROWS, life: str = "a", index: int = 9,
    unsafe: int = 0, safe: int = 0, rollout_id: int = 7,
) -> GatewayReport:  # fmt: skip
    return GatewayReport("saldo", rollout_id, gateway, life, age_s, index, unsafe, safe, rows)


def test_repeated_late_and_foreign_reports_count_nothing_twice() -> None:
    pool = SamplePool(7)
    assert pool.merge(report("g1", 2.0), 2.0)
    assert not pool.merge(report("g1", 2.0), 2.1)
    assert not pool.merge(report("g1", 1.0, [SampleRow("n1", "r", 10, 10, 0, 0)]), 2.2)
    assert not pool.merge(report("g1", 9.0, rollout_id=6), 2.3)  # a frozen gateway's word on an earlier one
    assert pool.merge(report("g1", 0.5, [SampleRow("n1", "r", 5, 0, 5, 0)], life="b"), 3.0)
    assert pool.totals() == {("", "r"): (900, 2, 900, 9), ("n1", "r"): (65, 0, 65, 0)}


def test_reports_are_passed_on_once_and_again_to_another_leader() -> None:
    pool = SamplePool(7)
    pool.merge(report("g1", 1.0), 1.0)
    assert len(pool.take_unsent()) == 1 and pool.take_unsent() == []
    pool.resend_all()
    assert len(pool.take_unsent()) == 1


def test_new_leader_learns_the_age_of_the_rollout_from_the_reports() -> None:
    pool = SamplePool(7)
    pool.merge(report("g1", 6.0), 100.0)
    assert pool.age(101.5) == 7.5


def decide(record: RolloutRecord, pool: SamplePool, elapsed_s: float, judge: RolloutJudge) -> object:
    return judge.decide(record, pool, ["g1", "g2"], elapsed_s, elapsed_s)


def test_share_is_raised_late_and_only_with_enough_samples() -> None:
    pool, judge = SamplePool(7), RolloutJudge(RECORD, EXPOSURE)
    end_s = trial_end(DURATION_S)
    assert decide(RECORD, pool, end_s, judge) is None  # nothing has reached the version
    pool.merge(report("g1", 1.0), 1.0)
    assert decide(RECORD, pool, end_s - 1.0, judge) is None
    decision = decide(RECORD, pool, end_s, judge)
    assert isinstance(decision, Advance) and decision.share == FULL_SHARE


def test_trial_is_wider_once_where_all_gateways_report_little_traffic() -> None:
    """A new leader took the reports that it had for all of them, and widened the trial again."""
    assert EXPOSURE.trial_share() == pytest.approx(0.08)
    few, wider = 90, 0.8 * (0.1 + 50 / 900)
    widened = msgspec.structs.replace(RECORD, share=wider)
    for record, seen, gateways, expected in (
        (RECORD, 4500, ("g1", "g2"), None),
        (RECORD, few, ("g1",), None),
        (RECORD, few, ("g1", "g2"), wider),
        (widened, few // 2, ("g1", "g2"), None),
    ):
        pool = SamplePool(7)
        for gateway in gateways:
            pool.merge(report(gateway, 2.9, [SampleRow("", "r", seen, 0, seen, 0)]), 3.0)
        decision = decide(record, pool, 3.0, RolloutJudge(record, EXPOSURE))
        assert decision is None if expected is None else isinstance(decision, Advance)
        if isinstance(decision, Advance):
            assert decision.share == pytest.approx(expected)


def test_version_that_nothing_reaches_is_reverted_some_time_after_its_duration() -> None:
    decision = decide(RECORD, SamplePool(7), 1.5 * DURATION_S, RolloutJudge(RECORD, EXPOSURE))
    assert isinstance(decision, End) and decision.state is RolloutState.REVERTED


def completion(pool: SamplePool, elapsed_s: float) -> object:
    judge = RolloutJudge(SHIFTED, EXPOSURE)
    decide(SHIFTED, SamplePool(7), elapsed_s - 1.0, judge)  # the full share is known since then
    return decide(SHIFTED, pool, elapsed_s, judge)


def test_completion_waits_for_what_old_servers_work_on() -> None:
    """Old servers stop at once on completion, without draining."""
    early, overdue = 12.5, DURATION_S - 1.0
    for reports, completed_early, completed_overdue in (
        ((report("g1", 12.4), report("g2", 12.4)), True, True),
        ((report("g1", 12.4), report("g2", 12.4, safe=1)), False, True),
        ((report("g1", 12.4), report("g2", 12.4, unsafe=1)), False, False),
        ((report("g1", 12.4),), False, True),  # g2 is silent
        ((report("g1", 12.4), report("g2", 12.4, index=8, unsafe=3)), False, True),  # g2 acts on older orders
        ((), False, False),
    ):
        for elapsed_s, expected in ((early, completed_early), (overdue, completed_overdue)):
            pool = SamplePool(7)
            for item in reports:
                pool.merge(item, elapsed_s - 0.1)
            decision = completion(pool, elapsed_s)
            assert (decision is not None) is expected, (elapsed_s, reports)
            assert decision is None or (
                isinstance(decision, End) and decision.state is RolloutState.COMPLETED
            )


def test_fault_at_full_share_reverts() -> None:
    pool = SamplePool(7)
    rows = [SampleRow("", "r", 900, 2, 900, 9), SampleRow("n1", "r", 60, 30, 30, 0)]
    pool.merge(report("g1", 12.4, rows), 12.4)
    decision = completion(pool, 12.5)
    assert isinstance(decision, End) and decision.state is RolloutState.REVERTED
    assert decision.reason == "30 of 60 failed on r, 2 of 900 at other versions"
