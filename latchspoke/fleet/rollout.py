"""What a rolling operation does next: whom to act on, whether to wait, when to stop.

Pure: the plan, how each step stands and who is available go in with the time; one move comes out. The
caller makes the move, records it, looks again and asks anew, so that another process can take over at
any moment from what is recorded.

Rules: waves go in their order, and one begins when the last is done and its pause is over. Before each
act so many instances must be left available as the plan says, with unknown ones counted as unavailable.
More failures than allowed stop it, and so does a step of which nothing can be learnt in its time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from latchspoke.fleet.wire import OperationPlan

AVAILABILITY_WAIT_S = 30.0  # s; too few available, nothing under way: so long it may come right by itself


class StepState(Enum):
    """How the step on one instance stands."""

    PENDING = "todo"
    RUNNING = "doing"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StepStatus:
    """What is known of one step; ``at`` is when it came to stand so."""

    state: StepState = StepState.PENDING
    since: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StartSteps:
    """Begin the step on these."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Wait:
    """Look again later; ``until`` where the time alone decides."""

    reason: str
    until: float | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Nothing more is begun. What is under way goes on at its agent."""

    reason: str


@dataclass(frozen=True, slots=True)
class Done:
    """Every step is done, or failed within what is allowed."""


Decision = StartSteps | Wait | Stop | Done
NOT_STARTED = StepStatus()


def decide(
    plan: OperationPlan,
    steps: Mapping[str, StepStatus],
    available: Mapping[str, bool],
    now: float,
    below_minimum_since: float | None = None,
) -> Decision:
    """One move. ``available`` has each member; ``short_since``: since when too few have been."""
    failed = [name for name, step in steps.items() if step.state is StepState.FAILED]
    if len(failed) > plan.failures:
        return Stop(f"{len(failed)} failed, {plan.failures} allowed: {describe_steps(failed, steps)}")
    unknown = [
        n for n, s in steps.items() if s.state is StepState.UNKNOWN and now - s.since >= plan.step_limit
    ]
    if unknown:
        return Stop(f"nothing is known of {describe_steps(unknown, steps)}")
    for wave_index, wave in enumerate(plan.waves):
        pending = [name for name in wave if steps.get(name, NOT_STARTED).state is StepState.PENDING]
        running = [
            name
            for name in wave
            if steps.get(name, NOT_STARTED).state in (StepState.RUNNING, StepState.UNKNOWN)
        ]
        if not pending and not running:
            continue
        if pending and (pause := remaining_pause(plan, steps, wave_index, now)) is not None:
            return pause
        return decide_in_wave(plan, pending, running, available, now, below_minimum_since)
    return Done()


def remaining_pause(
    plan: OperationPlan, steps: Mapping[str, StepStatus], wave_index: int, now: float
) -> Wait | None:
    """The pause after the wave before; only a wave that has not begun waits for it."""
    if wave_index == 0 or any(
        steps.get(name, NOT_STARTED).state is not StepState.PENDING for name in plan.waves[wave_index]
    ):
        return None
    ended = max((steps[name].since for name in plan.waves[wave_index - 1] if name in steps), default=0.0)
    until = ended + plan.pause
    return Wait(f"pause after wave {wave_index}", until) if now < until else None


def decide_in_wave(
    plan: OperationPlan,
    pending: list[str],
    running: list[str],
    available: Mapping[str, bool],
    now: float,
    below_minimum_since: float | None,
) -> Decision:
    """Who of this wave can go now without leaving too few."""
    # What does not serve costs nothing to act on, so it goes first.
    ordered = sorted(pending, key=lambda name: (available.get(name, False), name))
    interrupts_service = plan.action in ("drain", "restart")
    spare = sum(available.values()) - plan.least_available
    startable = []
    for name in ordered:
        reduces_available = interrupts_service and available.get(name, False)
        if reduces_available and spare <= 0:
            continue
        spare -= reduces_available
        startable.append(name)
    if startable:
        return StartSteps(tuple(startable))
    if running:
        return Wait(f"{', '.join(sorted(running))} under way")
    unavailable = sorted(name for name, is_available in available.items() if not is_available)
    reason = (
        f"{sum(available.values())} of {len(available)} available, {plan.least_available} must be left"
        f" (not available or unknown: {', '.join(unavailable) or 'none'})"
    )
    shortage_since = now if below_minimum_since is None else below_minimum_since
    return (
        Stop(reason)
        if now - shortage_since >= AVAILABILITY_WAIT_S
        else Wait(reason, shortage_since + AVAILABILITY_WAIT_S)
    )


def describe_steps(names: list[str], steps: Mapping[str, StepStatus]) -> str:
    return "; ".join(f"{name} ({steps[name].detail or steps[name].state.value})" for name in sorted(names))


def build_waves(
    names: list[str], zones: Mapping[str, str], size: int, canary_size: int = 0
) -> list[list[str]]:
    """Waves of at most ``size``, zone after zone, so that a bad change shows in one zone at a time.

    ``first`` makes the first wave that small (a canary).
    """
    if size < 1:
        raise ValueError(f"a wave holds at least 1, not {size}")
    ordered = sorted(names, key=lambda name: (zones.get(name, ""), name))
    result = [ordered[:canary_size]] if 0 < canary_size < len(ordered) else []
    rest = ordered[canary_size:] if result else ordered
    while rest:
        zone = zones.get(rest[0], "")
        wave = [name for name in rest[:size] if zones.get(name, "") == zone]
        result.append(wave)
        rest = rest[len(wave) :]
    return result
