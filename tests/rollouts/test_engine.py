"""State machine of roll-outs: conflicts, unknown outcomes, silent gateways and failing services."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from latchspoke.configuration.patch import apply_patch
from latchspoke.rollouts import drill
from latchspoke.rollouts.comparison import RequestCounts, compare_services, probability_above
from latchspoke.rollouts.drill import Service, SimulatedEnvironment
from latchspoke.rollouts.drive import drive
from latchspoke.rollouts.engine import (
    ApplyPatch,
    CollectEvidence,
    CommandResult,
    Outcome,
    ReadConfiguration,
    Rollout,
    Wait,
    build_patch,
    current_share,
)
from latchspoke.rollouts.evidence import Evidence, aggregate
from latchspoke.rollouts.plan import Plan, read_plan

PLAN = Plan("r", "old", "new")
HEALTHY, FAILING = Service(0.004), Service(0.2)


def route_share(environment: SimulatedEnvironment) -> float:
    share = current_share(environment.doc, PLAN)
    assert isinstance(share, float)
    return share


def test_a_healthy_service_gets_all_requests_in_the_planned_steps() -> None:
    environment = SimulatedEnvironment(200, HEALTHY, Service(0.004), 1)
    environment.wait(20)
    shares: list[float] = []
    end = drive(
        Rollout(PLAN, environment.clock), environment, lambda event: shares.append(route_share(environment))
    )
    assert end.outcome is Outcome.COMPLETED and sorted(set(shares)) == [0, 1, 5, 25, 50, 100]
    assert environment.doc["listenerList"][0]["ruleSet"][0]["actionSpec"] == {
        "service": "new",
        "maxAttempts": 1,
    }
    assert environment.doc["version"] == "00000006"


@pytest.mark.parametrize("degraded", [Service(0.2), Service(0.004, 0.3)])
def test_a_failing_or_late_service_is_rolled_back_early(degraded: Service) -> None:
    environment = SimulatedEnvironment(200, HEALTHY, degraded, 1)
    environment.wait(20)
    end = drive(Rollout(PLAN, environment.clock), environment)
    assert end.outcome is Outcome.ROLLED_BACK and route_share(environment) == 0
    assert ("fails" if degraded.failure_rate > 0.1 else "is late") in end.reason
    assert environment.excess_failures < 60  # of 200 a second


def test_a_service_that_degrades_at_full_share_is_rolled_back() -> None:
    environment = SimulatedEnvironment(200, HEALTHY, Service(0.004), 1)
    environment.wait(20)
    rollout = Rollout(PLAN, environment.clock)

    def degrade(event: Any) -> None:
        if event.code == "stands" and event.fields["share"] == 100:
            environment.services["new"].failure_rate = 0.2

    # The old service gets no requests any more, so earlier counts are the baseline.
    assert drive(rollout, environment, degrade).outcome is Outcome.ROLLED_BACK
    assert route_share(environment) == 0


def test_too_few_requests_end_a_step_as_configured() -> None:
    for on_inconclusive, outcome, share in (
        ("back", Outcome.ROLLED_BACK, 0),
        ("stay", Outcome.INCONCLUSIVE, 1),
    ):
        environment = SimulatedEnvironment(0.5, HEALTHY, Service(0.0), 3)
        plan = replace(PLAN, on_inconclusive=on_inconclusive, max_step_s=200.0)
        end = drive(Rollout(plan, 0.0), environment)
        assert (
            end.outcome is outcome and route_share(environment) == share and "can't be judged" in end.reason
        )


def test_each_request_is_counted_once_across_query_windows() -> None:
    """Counts that were kept and counts that are reported again must not overlap."""
    environment = SimulatedEnvironment(4, Service(0.0), Service(0.0), 5)
    plan = replace(PLAN, steps=(50.0,), min_requests=100_000, max_step_s=900.0, on_inconclusive="stay")
    descriptions: list[str] = []
    drive(
        Rollout(plan, 0.0),
        environment,
        lambda event: descriptions.append(event.fields["new"]) if event.code == "sees" else None,
    )
    # The first reports may include the previous step.
    reported = [int(text.rpartition(" ")[2]) for text in descriptions][10:]
    served = sum(counts.requests for counts in environment.services["new"].spans.values())
    assert reported == sorted(reported) and 0.85 * served < reported[-1] <= served


class RolloutDriver:
    """A roll-out at 5%, driven step by step on its own copy of the configuration."""

    def __init__(self) -> None:
        self.doc = apply_patch(drill.initial_document(), build_patch(drill.initial_document(), PLAN, 5.0))
        self.now = 100.0
        self.rollout = Rollout(PLAN, self.now)
        self.rollout.on_configuration(self.doc, self.now)

    def collect(self, evidence: Evidence | None = None) -> None:
        while isinstance(self.rollout.next_action(self.now), Wait):
            self.now += 1
        assert isinstance(self.rollout.next_action(self.now), CollectEvidence)
        self.rollout.on_evidence(evidence, self.doc, self.now)

    def expect_patch(self) -> ApplyPatch:
        action = self.rollout.next_action(self.now)
        assert isinstance(action, ApplyPatch)
        return action

    def change_concurrently(self, **upsert: Any) -> None:
        """A change by another operator."""
        version = f"{int(self.doc['version'], 16) + 3:08x}"
        self.doc = apply_patch(self.doc, {"version": version, "baseVersion": "0", "upsert": upsert})


GOOD_EVIDENCE = Evidence(4, 4, {"old": RequestCounts(9500, 30, 0), "new": RequestCounts(500, 1, 0)})
BAD_EVIDENCE = Evidence(4, 4, {"old": RequestCounts(9500, 30, 0), "new": RequestCounts(500, 60, 0)})


def test_a_rollout_continues_from_the_current_share() -> None:
    driver = RolloutDriver()
    driver.now += 60
    driver.collect(GOOD_EVIDENCE)
    assert driver.expect_patch().share == 25.0


def test_a_conflict_with_an_unrelated_change_is_retried_on_the_new_version() -> None:
    driver = RolloutDriver()
    driver.now += 60
    driver.collect(GOOD_EVIDENCE)
    driver.change_concurrently(limits={"idleTimeoutS": 9})
    driver.rollout.on_command_result(CommandResult.CONFLICT, driver.now)
    driver.now += 1
    assert isinstance(driver.rollout.next_action(driver.now), ReadConfiguration)
    driver.rollout.on_configuration(driver.doc, driver.now)
    action = driver.expect_patch()
    assert action.patch["baseVersion"] == driver.doc["version"]
    assert apply_patch(driver.doc, action.patch)["limits"] == {"idleTimeoutS": 9}


def test_a_concurrent_change_of_the_route_ends_the_rollout() -> None:
    driver = RolloutDriver()
    driver.now += 60
    driver.collect(GOOD_EVIDENCE)
    driver.change_concurrently(**build_patch(driver.doc, PLAN, 60.0)["upsert"])
    driver.rollout.on_command_result(CommandResult.CONFLICT, driver.now)
    driver.rollout.on_configuration(driver.doc, driver.now + 1)
    assert driver.rollout.result is not None and driver.rollout.result.outcome is Outcome.SUPERSEDED
    # The same while collecting evidence, and if the route has a third service or was removed.
    for change in (60.0, "service", "gone"):
        driver = RolloutDriver()
        if isinstance(change, float):
            driver.change_concurrently(**build_patch(driver.doc, PLAN, change)["upsert"])
        elif change == "service":
            rule = build_patch(driver.doc, PLAN, 100.0)["upsert"]["listenerList"]
            rule[0]["ruleSet"][0]["actionSpec"]["service"] = "third"
            driver.change_concurrently(listenerList=rule, clusterList=[{"name": "third"}])
        else:
            driver.doc = apply_patch(driver.doc, {"version": "00000009", "remove": {"routes": ["r"]}})
        driver.collect(GOOD_EVIDENCE)
        assert driver.rollout.result is not None and driver.rollout.result.outcome is Outcome.SUPERSEDED


@pytest.mark.parametrize("applied", [True, False])
def test_a_patch_with_unknown_outcome_is_looked_up_before_it_is_repeated(applied: bool) -> None:
    driver = RolloutDriver()
    driver.now += 60
    driver.collect(GOOD_EVIDENCE)
    action = driver.expect_patch()
    if applied:
        driver.doc = apply_patch(driver.doc, action.patch)
    driver.rollout.on_command_result(CommandResult.UNKNOWN, driver.now)
    driver.now += 1
    assert isinstance(driver.rollout.next_action(driver.now), ReadConfiguration)
    driver.rollout.on_configuration(driver.doc, driver.now)
    if applied:
        assert driver.rollout.share == 25.0 and isinstance(driver.rollout.next_action(driver.now), Wait)
    else:
        # An identical patch: its version shows if the first one is accepted after all.
        assert driver.expect_patch() == action


def test_a_rollback_survives_conflicts_and_lost_answers() -> None:
    driver = RolloutDriver()
    driver.collect(BAD_EVIDENCE)
    assert driver.expect_patch().share == 0.0
    for result in (CommandResult.UNKNOWN, CommandResult.CONFLICT, CommandResult.UNKNOWN):
        driver.change_concurrently(limits={"idleTimeoutS": 9})
        driver.rollout.on_command_result(result, driver.now)
        driver.now += 1
        driver.rollout.on_configuration(driver.doc, driver.now)
        assert driver.expect_patch().patch["baseVersion"] == driver.doc["version"]
    driver.rollout.on_command_result(CommandResult.ACCEPTED, driver.now)
    assert driver.rollout.result is not None and driver.rollout.result.outcome is Outcome.ROLLED_BACK


def test_no_decision_with_too_few_reporting_gateways() -> None:
    for reporting, decided in ((2, False), (3, True)):
        driver = RolloutDriver()
        driver.collect(replace(BAD_EVIDENCE, reporting_gateways=reporting, gateways=4))
        assert isinstance(driver.rollout.next_action(driver.now), ApplyPatch) is decided
    driver = RolloutDriver()
    driver.collect(None)
    assert isinstance(driver.rollout.next_action(driver.now), Wait)


def test_a_service_without_servers_twice_in_a_row_is_rolled_back() -> None:
    driver = RolloutDriver()
    availability: list[dict[str, int]] = [{}, {"old": 3}, {"old": 3, "new": 1}, {"old": 1}, {}, {"old": 3}]
    for available in availability:
        driver.collect(Evidence(4, 4, {}, available))  # as from a control-plane node that has just started
        assert isinstance(driver.rollout.next_action(driver.now), Wait)
    driver.collect(Evidence(4, 4, {}, {"old": 3}))
    assert driver.expect_patch().share == 0.0 and "no server of new" in driver.rollout.rollback_reason


def test_a_failed_read_ends_only_a_rollout_that_has_not_started() -> None:
    rollout = Rollout(PLAN, 0.0)
    rollout.on_read_failed("no answer", 0.0)
    assert rollout.result is not None and rollout.result.outcome is Outcome.UNKNOWN
    driver = RolloutDriver()
    driver.rollout.on_read_failed("no answer", driver.now)
    assert driver.rollout.result is None


def test_probabilities_are_calibrated() -> None:
    """Of the statements with a probability of at least 90%, at least 90% are true."""
    rng = random.Random(7)
    confident = correct = 0
    for _ in range(400):
        old, new, margin = rng.random() * 0.1, rng.random() * 0.1, 0.01
        requests, other_requests = rng.choice((30, 200, 1000)), 2000
        failed, other_failed = (
            sum(rng.random() < p for _ in range(n)) for p, n in ((new, requests), (old, other_requests))
        )
        probability = probability_above(requests, failed, other_requests, other_failed, margin)
        if probability > 0.9 or probability < 0.1:
            confident += 1
            correct += (probability > 0.9) == (new > old + margin)
    assert confident > 100 and correct / confident > 0.9


def test_a_single_failure_or_no_requests_decide_nothing() -> None:
    old = RequestCounts(1000, 4, 0)
    for new in (RequestCounts(), RequestCounts(10, 1), RequestCounts(3, 1)):
        comparison = compare_services(new, old, 0.01, 0.05, 0.05)
        assert not comparison.is_worse(0.95)
    assert compare_services(RequestCounts(5, 4), old, 0.01, 0.05).is_worse(0.95)
    assert not compare_services(RequestCounts(), old, 0.01, 0.05).is_acceptable(0.95)
    assert compare_services(RequestCounts(60, 0), old, 0.01, 0.05, 0.05).is_acceptable(0.95)


def test_gateway_reports_are_added_up_by_service() -> None:
    def row(service: str, **outcomes: Any) -> dict[str, Any]:
        return {
            "id": "i",
            "service": service,
            "routes": {"r": {"times": {}, **outcomes}, "else": {"times": {}, "ok": 9}},
        }

    views = {
        "a": {"servers": [row("old", ok=8, error=2, times={"7": 5, "8": 5}), row("new", ok=1, cancelled=4)]},
        "b": {"servers": [row("new", turned_away=1, unreachable=1, lost=1), {"id": "x", "routes": {}}]},
        "c": None,
    }
    evidence = aggregate(views, "r", 0.128)
    assert (evidence.reporting_gateways, evidence.gateways) == (2, 3)
    # Buckets 7 and 8 end at 128 and 256 ms; four fifths of the timed requests did not fail.
    assert evidence.counts_for("old") == RequestCounts(10, 2, 4.0) and evidence.counts_for(
        "new"
    ) == RequestCounts(4, 3, 0)
    assert evidence.counts_for("nobody") == RequestCounts()


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"route": ""}, "route"), ({"to": "old"}, "to"), ({"steps": [5, 5]}, "steps[1]"),
        ({"steps": [0]}, "steps[0]"), ({"steps": 7}, "steps"), ({"holdS": "long"}, "holdS"),
        ({"requests": 1.5}, "requests"), ({"sure": 0.3}, "sure"), ({"unjudged": "on"}, "unjudged"),
        ({"holdS": 50, "longestS": 20}, "longestS"), ({"colour": 1}, "colour"), ({"heard": True}, "heard"),
    ],
)  # fmt: skip
def test_an_invalid_plan_field_is_reported_by_its_path(change: dict[str, Any], path: str) -> None:
    valid = {"route": "r", "from": "old", "to": "new"}
    assert read_plan(valid) == (PLAN, [])
    plan, faults = read_plan(valid | change)
    assert plan is None and [fault.path for fault in faults] == [path]
    assert read_plan([])[1][0].reason == "a plan is an object"
