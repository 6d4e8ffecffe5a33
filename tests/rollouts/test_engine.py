"""Roll-outs: the state machine under races, lost answers, silent gateways, sick services. No clock."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from latchspoke.configuration.patch import apply_patch
from latchspoke.rollouts import drill
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
from latchspoke.rollouts.judge import RequestCounts, compare_services, probability_above
from latchspoke.rollouts.plan import Plan, read_plan

PLAN = Plan("r", "old", "new")
GOOD, BAD = Service(0.004), Service(0.2)


def share(world: SimulatedEnvironment) -> float:
    found = current_share(world.doc, PLAN)
    assert isinstance(found, float)
    return found


def test_a_good_service_gets_all_in_the_steps_of_the_plan() -> None:
    world = SimulatedEnvironment(200, GOOD, Service(0.004), 1)
    world.wait(20)
    seen: list[float] = []
    end = drive(Rollout(PLAN, world.clock), world, lambda e: seen.append(share(world)))
    assert end.outcome is Outcome.COMPLETED and sorted(set(seen)) == [0, 1, 5, 25, 50, 100]
    assert world.doc["listenerList"][0]["ruleSet"][0]["actionSpec"] == {"service": "new", "maxAttempts": 1}
    assert world.doc["version"] == "00000006"


@pytest.mark.parametrize("sick", [Service(0.2), Service(0.004, 0.3)])
def test_one_that_fails_or_is_late_is_turned_back_before_it_has_much(sick: Service) -> None:
    world = SimulatedEnvironment(200, GOOD, sick, 1)
    world.wait(20)
    end = drive(Rollout(PLAN, world.clock), world)
    assert end.outcome is Outcome.ROLLED_BACK and share(world) == 0
    assert ("fails" if sick.failure_rate > 0.1 else "is late") in end.reason
    assert world.excess_failures < 60  # of 200 a second


def test_one_that_turns_bad_late_is_still_turned_back() -> None:
    world = SimulatedEnvironment(200, GOOD, Service(0.004), 1)
    world.wait(20)
    rollout = Rollout(PLAN, world.clock)

    def spoil(event: Any) -> None:
        if event.code == "stands" and event.fields["share"] == 100:
            world.services["new"].failure_rate = 0.2

    # Nothing goes to the old one any more: it is held against what was seen before.
    assert drive(rollout, world, spoil).outcome is Outcome.ROLLED_BACK
    assert share(world) == 0


def test_few_requests_are_waited_for_and_then_the_plan_says_what() -> None:
    for unjudged, outcome, stands in (("back", Outcome.ROLLED_BACK, 0), ("stay", Outcome.INCONCLUSIVE, 1)):
        world = SimulatedEnvironment(0.5, GOOD, Service(0.0), 3)
        plan = replace(PLAN, on_inconclusive=unjudged, max_step_s=200.0)
        end = drive(Rollout(plan, 0.0), world)
        assert end.outcome is outcome and share(world) == stands and "can't be judged" in end.reason


def test_each_request_is_counted_once_over_windows_that_gateways_forget() -> None:
    """With spans and windows alike in length, what is kept and what is told again must not overlap."""
    world = SimulatedEnvironment(4, Service(0.0), Service(0.0), 5)
    plan = replace(PLAN, steps=(50.0,), min_requests=100_000, max_step_s=900.0, on_inconclusive="stay")
    seen: list[str] = []
    drive(Rollout(plan, 0.0), world, lambda e: seen.append(e.fields["new"]) if e.code == "sees" else None)
    told = [int(text.rpartition(" ")[2]) for text in seen][10:]  # the first may be of the step before
    ran = sum(c.requests for c in world.services["new"].spans.values())
    assert told == sorted(told) and 0.85 * ran < told[-1] <= ran


class Hand:
    """A rollout at 5% with the configuration at hand, driven step by step."""

    def __init__(self) -> None:
        self.doc = apply_patch(drill.initial_document(), build_patch(drill.initial_document(), PLAN, 5.0))
        self.now = 100.0
        self.rollout = Rollout(PLAN, self.now)
        self.rollout.on_configuration(self.doc, self.now)

    def looks(self, evidence: Evidence | None = None) -> None:
        while isinstance(self.rollout.next_action(self.now), Wait):
            self.now += 1
        assert isinstance(self.rollout.next_action(self.now), CollectEvidence)
        self.rollout.on_evidence(evidence, self.doc, self.now)

    def orders(self) -> ApplyPatch:
        action = self.rollout.next_action(self.now)
        assert isinstance(action, ApplyPatch)
        return action

    def other(self, **upsert: Any) -> None:
        """Another operator's change."""
        version = f"{int(self.doc['version'], 16) + 3:08x}"
        self.doc = apply_patch(self.doc, {"version": version, "baseVersion": "0", "upsert": upsert})


WELL = Evidence(4, 4, {"old": RequestCounts(9500, 30, 0), "new": RequestCounts(500, 1, 0)})
SICK = Evidence(4, 4, {"old": RequestCounts(9500, 30, 0), "new": RequestCounts(500, 60, 0)})


def test_it_goes_on_from_where_the_route_stands() -> None:
    hand = Hand()
    hand.now += 60
    hand.looks(WELL)
    assert hand.orders().share == 25.0


def test_a_race_lost_to_a_change_of_something_else_is_run_again_on_top_of_it() -> None:
    hand = Hand()
    hand.now += 60
    hand.looks(WELL)
    hand.other(limits={"idleTimeoutS": 9})
    hand.rollout.on_command_result(CommandResult.CONFLICT, hand.now)
    hand.now += 1
    assert isinstance(hand.rollout.next_action(hand.now), ReadConfiguration)
    hand.rollout.on_configuration(hand.doc, hand.now)
    order = hand.orders()
    assert order.patch["baseVersion"] == hand.doc["version"]
    assert apply_patch(hand.doc, order.patch)["limits"] == {"idleTimeoutS": 9}


def test_a_race_lost_to_somebody_who_set_the_route_leaves_it_to_him() -> None:
    hand = Hand()
    hand.now += 60
    hand.looks(WELL)
    hand.other(**build_patch(hand.doc, PLAN, 60.0)["upsert"])
    hand.rollout.on_command_result(CommandResult.CONFLICT, hand.now)
    hand.rollout.on_configuration(hand.doc, hand.now + 1)
    assert hand.rollout.result is not None and hand.rollout.result.outcome is Outcome.SUPERSEDED
    # The same while it only looks, and where the route goes to a third service or is gone.
    for change in (60.0, "service", "gone"):
        hand = Hand()
        if isinstance(change, float):
            hand.other(**build_patch(hand.doc, PLAN, change)["upsert"])
        elif change == "service":
            rule = build_patch(hand.doc, PLAN, 100.0)["upsert"]["listenerList"]
            rule[0]["ruleSet"][0]["actionSpec"]["service"] = "third"
            hand.other(listenerList=rule, clusterList=[{"name": "third"}])
        else:
            hand.doc = apply_patch(hand.doc, {"version": "00000009", "remove": {"routes": ["r"]}})
        hand.looks(WELL)
        assert hand.rollout.result is not None and hand.rollout.result.outcome is Outcome.SUPERSEDED


@pytest.mark.parametrize("stands", [True, False])
def test_an_order_without_a_clear_answer_is_looked_up_before_it_is_sent_anew(stands: bool) -> None:
    hand = Hand()
    hand.now += 60
    hand.looks(WELL)
    order = hand.orders()
    if stands:
        hand.doc = apply_patch(hand.doc, order.patch)
    hand.rollout.on_command_result(CommandResult.UNKNOWN, hand.now)
    hand.now += 1
    assert isinstance(hand.rollout.next_action(hand.now), ReadConfiguration)
    hand.rollout.on_configuration(hand.doc, hand.now)
    if stands:
        assert hand.rollout.share == 25.0 and isinstance(hand.rollout.next_action(hand.now), Wait)
    else:
        assert hand.orders() == order  # the very same: if it is taken after all, that is known by its number


def test_turning_back_outlasts_races_and_lost_answers() -> None:
    hand = Hand()
    hand.looks(SICK)
    assert hand.orders().share == 0.0
    for answer in (CommandResult.UNKNOWN, CommandResult.CONFLICT, CommandResult.UNKNOWN):
        hand.other(limits={"idleTimeoutS": 9})
        hand.rollout.on_command_result(answer, hand.now)
        hand.now += 1
        hand.rollout.on_configuration(hand.doc, hand.now)
        assert hand.orders().patch["baseVersion"] == hand.doc["version"]
    hand.rollout.on_command_result(CommandResult.ACCEPTED, hand.now)
    assert hand.rollout.result is not None and hand.rollout.result.outcome is Outcome.ROLLED_BACK


def test_nothing_is_judged_where_too_few_gateways_tell() -> None:
    for heard, judged in ((2, False), (3, True)):
        hand = Hand()
        hand.looks(replace(SICK, reporting_gateways=heard, gateways=4))
        assert isinstance(hand.rollout.next_action(hand.now), ApplyPatch) is judged
    hand = Hand()
    hand.looks(None)
    assert isinstance(hand.rollout.next_action(hand.now), Wait)


def test_with_no_server_left_at_two_looks_it_is_turned_back() -> None:
    hand = Hand()
    looks: list[dict[str, int]] = [{}, {"old": 3}, {"old": 3, "new": 1}, {"old": 1}, {}, {"old": 3}]
    for able in looks:
        hand.looks(Evidence(4, 4, {}, able))  # as of control machines that have just begun
        assert isinstance(hand.rollout.next_action(hand.now), Wait)
    hand.looks(Evidence(4, 4, {}, {"old": 3}))
    assert hand.orders().share == 0.0 and "no server of new" in hand.rollout.rollback_reason


def test_nobody_who_answers_ends_what_has_not_begun_and_not_what_has() -> None:
    rollout = Rollout(PLAN, 0.0)
    rollout.on_read_failed("nobody answers", 0.0)
    assert rollout.result is not None and rollout.result.outcome is Outcome.UNKNOWN
    hand = Hand()
    hand.rollout.on_read_failed("nobody answers", hand.now)
    assert hand.rollout.result is None


def test_judgements_are_right_about_as_often_as_they_say() -> None:
    """Shares and counts are drawn; of what is said at 90% and more, nine tenths and more are so."""
    draw = random.Random(7)
    said = right = 0
    for _ in range(400):
        old, new, margin = draw.random() * 0.1, draw.random() * 0.1, 0.01
        many, other = draw.choice((30, 200, 1000)), 2000
        bad, other_bad = (sum(draw.random() < p for _ in range(n)) for p, n in ((new, many), (old, other)))
        chance = probability_above(many, bad, other, other_bad, margin)
        if chance > 0.9 or chance < 0.1:
            said += 1
            right += (chance > 0.9) == (new > old + margin)
    assert said > 100 and right / said > 0.9


def test_a_first_failure_is_no_judgement_and_no_requests_are_none() -> None:
    old = RequestCounts(1000, 4, 0)
    for new in (RequestCounts(), RequestCounts(10, 1), RequestCounts(3, 1)):
        found = compare_services(new, old, 0.01, 0.05, 0.05)
        assert not found.is_worse(0.95)
    assert compare_services(RequestCounts(5, 4), old, 0.01, 0.05).is_worse(0.95)
    assert not compare_services(RequestCounts(), old, 0.01, 0.05).is_acceptable(0.95)
    assert compare_services(RequestCounts(60, 0), old, 0.01, 0.05, 0.05).is_acceptable(0.95)


def test_what_gateways_tell_is_added_up_by_service() -> None:
    def row(service: str, **ends: Any) -> dict[str, Any]:
        return {
            "id": "i",
            "service": service,
            "routes": {"r": {"times": {}, **ends}, "else": {"times": {}, "ok": 9}},
        }

    views = {
        "a": {"servers": [row("old", ok=8, error=2, times={"7": 5, "8": 5}), row("new", ok=1, cancelled=4)]},
        "b": {"servers": [row("new", turned_away=1, unreachable=1, lost=1), {"id": "x", "routes": {}}]},
        "c": None,
    }
    found = aggregate(views, "r", 0.128)
    assert (found.reporting_gateways, found.gateways) == (2, 3)
    # Buckets 7 and 8 end at 128 and 256 ms; four fifths of what has a time did not fail.
    assert found.counts_for("old") == RequestCounts(10, 2, 4.0) and found.counts_for("new") == RequestCounts(
        4, 3, 0
    )
    assert found.counts_for("nobody") == RequestCounts()


@pytest.mark.parametrize(
    ("change", "where"),
    [
        ({"route": ""}, "route"), ({"to": "old"}, "to"), ({"steps": [5, 5]}, "steps[1]"),
        ({"steps": [0]}, "steps[0]"), ({"steps": 7}, "steps"), ({"holdS": "long"}, "holdS"),
        ({"requests": 1.5}, "requests"), ({"sure": 0.3}, "sure"), ({"unjudged": "on"}, "unjudged"),
        ({"holdS": 50, "longestS": 20}, "longestS"), ({"colour": 1}, "colour"), ({"heard": True}, "heard"),
    ],
)  # fmt: skip
def test_what_is_wrong_with_a_plan_is_told_with_its_place(change: dict[str, Any], where: str) -> None:
    good = {"route": "r", "from": "old", "to": "new"}
    assert read_plan(good) == (PLAN, [])
    plan, faults = read_plan(good | change)
    assert plan is None and [fault.path for fault in faults] == [where]
    assert read_plan([])[1][0].reason == "a plan is an object"
