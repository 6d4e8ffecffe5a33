"""A rolling operation, move by move, and whole ones against a played fleet."""

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
UP = {"a": True, "b": True, "c": True}
DONE, DOING = StepStatus(StepState.DONE, 10.0), StepStatus(StepState.RUNNING, 10.0)


def test_waves_go_in_order_with_a_pause() -> None:
    assert decide(PLAN, {}, UP, 0.0) == StartSteps(("a",))
    assert isinstance(decide(PLAN, {"a": DOING}, UP | {"a": False}, 11.0), Wait)
    assert decide(PLAN, {"a": DONE}, UP, 12.0) == Wait("pause after wave 1", 15.0)
    assert decide(PLAN, {"a": DONE}, UP, 15.0) == StartSteps(("b",))  # two must be left
    assert decide(PLAN, dict.fromkeys("abc", DONE), UP, 15.0) == Done()


def test_who_does_not_serve_costs_nothing() -> None:
    assert decide(PLAN, {"a": DONE}, UP | {"c": False}, 15.0) == StartSteps(("c",))


def test_unknown_counts_as_unavailable() -> None:
    # The last one that is known to serve must not be taken down on the hope that others do.
    silent = {"a": True, "b": False, "c": False}
    told = decide(PLAN, {}, silent, 0.0)
    assert isinstance(told, Wait) and told.until == AVAILABILITY_WAIT_S
    told = decide(PLAN, {}, silent, AVAILABILITY_WAIT_S, below_minimum_since=0.0)
    assert isinstance(told, Stop) and "b, c" in told.reason


def test_a_failure_stops_it_unless_allowed() -> None:
    failed = {"a": StepStatus(StepState.FAILED, 10.0, "forced")}
    told = decide(PLAN, failed, UP, 20.0)
    assert isinstance(told, Stop) and "a (forced)" in told.reason
    allowed = msgspec.structs.replace(PLAN, failures=1)
    assert decide(allowed, failed, UP, 20.0) == StartSteps(("b",))


def test_a_step_of_which_nothing_is_known_stops_it_in_the_end() -> None:
    unknown = {"a": StepStatus(StepState.UNKNOWN, 10.0, "agent silent")}
    assert isinstance(decide(PLAN, unknown, UP | {"a": False}, 11.0), Wait)
    assert isinstance(decide(PLAN, unknown, UP | {"a": False}, 30.0), Stop)


def test_waves_keep_zones_apart_and_may_begin_small() -> None:
    zones = {"a": "z1", "b": "z2", "c": "z1", "d": "z2", "e": "z1"}
    assert build_waves(list("abcde"), zones, 2) == [["a", "c"], ["e"], ["b", "d"]]
    assert build_waves(list("abcde"), zones, 5, canary_size=1) == [["a"], ["c", "e"], ["b", "d"]]
    with pytest.raises(ValueError, match="at least 1"):
        build_waves(["a"], {}, 0)


def test_no_roll_ever_leaves_too_few() -> None:
    """Seeded rolls over fleets with failures and silences: the limit holds and each step is begun once."""
    for seed in range(300):
        draw = random.Random(seed)
        names = [f"g{i}" for i in range(draw.randint(1, 12))]
        least = draw.randint(0, len(names))
        plan = OperationPlan(
            "op",
            "restart",
            "me",
            0.0,
            build_waves(names, {n: draw.choice("xy") for n in names}, draw.randint(1, 4)),
            least_available=least,
            pause=draw.choice((0.0, 2.0)),
            step_limit=15.0,
            failures=draw.randint(0, 2),
        )
        steps: dict[str, StepStatus] = {}
        up = {name: draw.random() < 0.9 for name in names}
        begun: list[str] = []
        now, short = 0.0, None
        for _ in range(400):
            now += 1.0
            for name, step in list(steps.items()):
                if step.state in (StepState.RUNNING, StepState.UNKNOWN) and draw.random() < 0.4:
                    stand = draw.choice(
                        (StepState.DONE, StepState.DONE, StepState.DONE, StepState.FAILED, StepState.UNKNOWN)
                    )
                    if stand is not step.state:
                        steps[name] = StepStatus(stand, now)
                    up[name] = stand is StepState.DONE
            move = decide(plan, steps, up, now, short)
            short = (short or now) if isinstance(move, Wait) and "must be left" in move.reason else None
            if isinstance(move, Stop | Done):
                break
            if isinstance(move, StartSteps):
                before = sum(up.values())
                for name in move.names:
                    begun.append(name)
                    steps[name], up[name] = StepStatus(StepState.RUNNING, now), False
                assert sum(up.values()) >= min(least, before), f"seed {seed}"
        else:
            raise AssertionError(f"seed {seed}: it neither ends nor stops")
        assert len(begun) == len(set(begun)), f"seed {seed}: a step was begun twice"
