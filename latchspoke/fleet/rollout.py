"""Decides the next action of a rolling operation: start steps, wait or stop. No I/O.

``decide`` takes the plan, the state of each step, the availability of the instances and the time, and
returns one decision. The caller carries it out, records it and asks again, so that another process can take
over at any time from the records.

Waves run in order, each after the previous one is done and its pause has passed. Steps start only while the
plan's minimum of instances stays available; instances in an unknown state count as unavailable. The
operation stops after more failures than allowed, or when a step's state stays unknown past its time limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from latchspoke.fleet.wire import OperationPlan

AVAILABILITY_WAIT_S = 30.0  # with too few instances available and no step running, before the operation stops


class StepState(Enum):
    """State of the step on one instance."""

    PENDING = "todo"
    RUNNING = "doing"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StepStatus:
    """The last known state of one step and the time at which it was entered."""

    state: StepState = StepState.PENDING
    since: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StartSteps:
    """Start the steps on these instances."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Wait:
    """Ask again later; ``until`` is set if only the time matters."""

    reason: str
    until: float | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Start no more steps; running ones continue on their agents."""

    reason: str


@dataclass(frozen=True, slots=True)
class Done:
    """Every step is done, or has failed within the allowed number of failures."""


Decision = StartSteps | Wait | Stop | Done
NOT_STARTED = StepStatus()


def decide(
    plan: OperationPlan,
    steps: Mapping[str, StepStatus],
    available: Mapping[str, bool],
    now: float,
    below_minimum_since: float | None = None,
) -> Decision:
    """Returns the next decision.

    ``available`` covers every member of the plan; ``below_minimum_since`` is the time since when too few of
    them have been available.
    """
    failed = [name for name, step in steps.items() if step.state is StepState.FAILED]
    if len(failed) > plan.failures:
        return Stop(f"{len(failed)} failed, {plan.failures} allowed: {describe_steps(failed, steps)}")
    unknown = [
        name
        for name, step in steps.items()
        if step.state is StepState.UNKNOWN and now - step.since >= plan.step_limit
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
    """Returns the rest of the pause after the previous wave, which delays only a wave that has not begun."""
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
    """Starts as many steps of this wave as the minimum of available instances allows."""
    # Instances that are unavailable anyway go first, as their steps do not reduce the capacity.
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
    """Lists the instances, each with the detail or the state of its step."""
    return "; ".join(f"{name} ({steps[name].detail or steps[name].state.value})" for name in sorted(names))


def build_waves(
    names: list[str], zones: Mapping[str, str], size: int, canary_size: int = 0
) -> list[list[str]]:
    """Builds waves of at most ``size`` instances of one zone each, to limit the impact of a bad change.

    ``canary_size`` is the size of an extra first wave, if positive. Raises ValueError for a bad ``size``.
    """
    if size < 1:
        raise ValueError(f"a wave must hold at least 1 instance, not {size}")
    ordered = sorted(names, key=lambda name: (zones.get(name, ""), name))
    result = [ordered[:canary_size]] if 0 < canary_size < len(ordered) else []
    rest = ordered[canary_size:] if result else ordered
    while rest:
        zone = zones.get(rest[0], "")
        wave = [name for name in rest[:size] if zones.get(name, "") == zone]
        result.append(wave)
        rest = rest[len(wave) :]
    return result
