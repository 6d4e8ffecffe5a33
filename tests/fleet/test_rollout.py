"""Decisions of a rolling operation, and whole operations on a simulated fleet."""

from __future__ import annotations

import random

import msgspec
import pytest

from latchspoke.fleet.rollout import (
    AVAILABILITY_WAIT_S,
    Done,
    StartSteps,
    StepState,
    StepStatus,
    Stop,
    Wait,
    build_waves,
    decide,
)
from latchspoke.fleet.wire import OperationPlan

PLAN = OperationPlan(
    "op", "restart", "me", 0.0, [["a"], ["b", "c"]], least_available=2, pause=5.0, step_limit=20.0
)
ALL_AVAILABLE = {"a": True, "b": True, "c": True}
DONE, RUNNING = StepStatus(StepState.DONE, 10.0), StepStatus(StepState.RUNNING, 10.0)


def test_waves_run_in_order_with_a_pause() -> None:
    assert decide(PLAN, {}, ALL_AVAILABLE, 0.0) == StartSteps(("a",))
    assert isinstance(decide(PLAN, {"a": RUNNING}, ALL_AVAILABLE | {"a": False}, 11.0), Wait)
    assert decide(PLAN, {"a": DONE}, ALL_AVAILABLE, 12.0) == Wait("pause after wave 1", 15.0)
    assert decide(PLAN, {"a": DONE}, ALL_AVAILABLE, 15.0) == StartSteps(("b",))  # two must stay available
    assert decide(PLAN, dict.fromkeys("abc", DONE), ALL_AVAILABLE, 15.0) == Done()


def test_unavailable_instances_go_first() -> None:
    assert decide(PLAN, {"a": DONE}, ALL_AVAILABLE | {"c": False}, 15.0) == StartSteps(("c",))


def test_unknown_instances_count_as_unavailable() -> None:
    # The last instance known to be available must not be taken down.
    availability = {"a": True, "b": False, "c": False}
    decision = decide(PLAN, {}, availability, 0.0)
    assert isinstance(decision, Wait) and decision.until == AVAILABILITY_WAIT_S
    decision = decide(PLAN, {}, availability, AVAILABILITY_WAIT_S, below_minimum_since=0.0)
    assert isinstance(decision, Stop) and "b, c" in decision.reason


def test_failure_stops_the_rollout_unless_allowed() -> None:
    failed = {"a": StepStatus(StepState.FAILED, 10.0, "forced")}
    decision = decide(PLAN, failed, ALL_AVAILABLE, 20.0)
    assert isinstance(decision, Stop) and "a (forced)" in decision.reason
    allowed = msgspec.structs.replace(PLAN, failures=1)
    assert decide(allowed, failed, ALL_AVAILABLE, 20.0) == StartSteps(("b",))


def test_unknown_step_stops_the_rollout_after_its_limit() -> None:
    unknown = {"a": StepStatus(StepState.UNKNOWN, 10.0, "agent silent")}
    assert isinstance(decide(PLAN, unknown, ALL_AVAILABLE | {"a": False}, 11.0), Wait)
    assert isinstance(decide(PLAN, unknown, ALL_AVAILABLE | {"a": False}, 30.0), Stop)


def test_waves_do_not_span_zones_after_a_canary() -> None:
    zones = {"a": "z1", "b": "z2", "c": "z1", "d": "z2", "e": "z1"}
    assert build_waves(list("abcde"), zones, 2) == [["a", "c"], ["e"], ["b", "d"]]
    assert build_waves(list("abcde"), zones, 5, canary_size=1) == [["a"], ["c", "e"], ["b", "d"]]
    with pytest.raises(ValueError, match="at least 1"):
        build_waves(["a"], {}, 0)


def test_rollouts_never_go_below_the_minimum() -> None:
    """Random fleets with failed and unknown steps: the minimum holds and each step starts once."""
    for seed in range(300):
        random_source = random.Random(seed)
        names = [f"g{i}" for i in range(random_source.randint(1, 12))]
        minimum = random_source.randint(0, len(names))
        plan = OperationPlan(
            "op",
            "restart",
            "me",
            0.0,
            build_waves(
                names, {name: random_source.choice("xy") for name in names}, random_source.randint(1, 4)
            ),
            least_available=minimum,
            pause=random_source.choice((0.0, 2.0)),
            step_limit=15.0,
            failures=random_source.randint(0, 2),
        )
        steps: dict[str, StepStatus] = {}
        available = {name: random_source.random() < 0.9 for name in names}
        started: list[str] = []
        now, below_minimum_since = 0.0, None
        for _ in range(400):
            now += 1.0
            for name, step in list(steps.items()):
                if step.state in (StepState.RUNNING, StepState.UNKNOWN) and random_source.random() < 0.4:
                    state = random_source.choice(
                        (StepState.DONE, StepState.DONE, StepState.DONE, StepState.FAILED, StepState.UNKNOWN)
                    )
                    if state is not step.state:
                        steps[name] = StepStatus(state, now)
                    available[name] = state is StepState.DONE
            decision = decide(plan, steps, available, now, below_minimum_since)
            below_minimum_since = (
                (below_minimum_since or now)
                if isinstance(decision, Wait) and "must be left" in decision.reason
                else None
            )
            if isinstance(decision, Stop | Done):
                break
            if isinstance(decision, StartSteps):
                available_before = sum(available.values())
                for name in decision.names:
                    started.append(name)
                    steps[name], available[name] = StepStatus(StepState.RUNNING, now), False
                assert sum(available.values()) >= min(minimum, available_before), f"seed {seed}"
        else:
            raise AssertionError(f"seed {seed}: the rollout neither ends nor stops")
        assert len(started) == len(set(started)), f"seed {seed}: a step was started twice"
