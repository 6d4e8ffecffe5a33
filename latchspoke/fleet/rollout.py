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

PATIENCE = 30.0  # s; too few available, nothing under way: so long it may come right by itself


class Stand(Enum):
    """How the step on one instance stands."""

    TODO = "todo"
    DOING = "doing"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StepSeen:
    """What is known of one step; ``at`` is when it came to stand so."""

    stand: Stand = Stand.TODO
    at: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Act:
    """Begin the step on these."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Wait:
    """Look again later; ``until`` where the time alone decides."""

    why: str
    until: float | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Nothing more is begun. What is under way goes on at its agent."""

    why: str


@dataclass(frozen=True, slots=True)
class Done:
    """Every step is done, or failed within what is allowed."""


Move = Act | Wait | Stop | Done
TODO = StepSeen()


def next_move(
    plan: OperationPlan,
    steps: Mapping[str, StepSeen],
    available: Mapping[str, bool],
    now: float,
    short_since: float | None = None,
) -> Move:
    """One move. ``available`` has each member; ``short_since``: since when too few have been."""
    failed = [name for name, step in steps.items() if step.stand is Stand.FAILED]
    if len(failed) > plan.failures:
        return Stop(f"{len(failed)} failed, {plan.failures} allowed: {listed(failed, steps)}")
    unknown = [n for n, s in steps.items() if s.stand is Stand.UNKNOWN and now - s.at >= plan.step_limit]
    if unknown:
        return Stop(f"nothing is known of {listed(unknown, steps)}")
    for place, wave in enumerate(plan.waves):
        todo = [name for name in wave if steps.get(name, TODO).stand is Stand.TODO]
        open_ = [name for name in wave if steps.get(name, TODO).stand in (Stand.DOING, Stand.UNKNOWN)]
        if not todo and not open_:
            continue
        if todo and (pause := pause_left(plan, steps, place, now)) is not None:
            return pause
        return in_wave(plan, todo, open_, available, now, short_since)
    return Done()


def pause_left(plan: OperationPlan, steps: Mapping[str, StepSeen], place: int, now: float) -> Wait | None:
    """The pause after the wave before; only a wave that has not begun waits for it."""
    if place == 0 or any(steps.get(name, TODO).stand is not Stand.TODO for name in plan.waves[place]):
        return None
    ended = max((steps[name].at for name in plan.waves[place - 1] if name in steps), default=0.0)
    until = ended + plan.pause
    return Wait(f"pause after wave {place}", until) if now < until else None


def in_wave(
    plan: OperationPlan,
    todo: list[str],
    open_: list[str],
    available: Mapping[str, bool],
    now: float,
    short_since: float | None,
) -> Move:
    """Who of this wave can go now without leaving too few."""
    # What does not serve costs nothing to act on, so it goes first.
    ordered = sorted(todo, key=lambda name: (available.get(name, False), name))
    takes = plan.action in ("drain", "restart")
    room = sum(available.values()) - plan.least_available
    names = []
    for name in ordered:
        costs = takes and available.get(name, False)
        if costs and room <= 0:
            continue
        room -= costs
        names.append(name)
    if names:
        return Act(tuple(names))
    if open_:
        return Wait(f"{', '.join(sorted(open_))} under way")
    missing = sorted(name for name, up in available.items() if not up)
    why = (
        f"{sum(available.values())} of {len(available)} available, {plan.least_available} must be left"
        f" (not available or unknown: {', '.join(missing) or 'none'})"
    )
    since = now if short_since is None else short_since
    return Stop(why) if now - since >= PATIENCE else Wait(why, since + PATIENCE)


def listed(names: list[str], steps: Mapping[str, StepSeen]) -> str:
    return "; ".join(f"{name} ({steps[name].detail or steps[name].stand.value})" for name in sorted(names))


def waves(names: list[str], zones: Mapping[str, str], size: int, first: int = 0) -> list[list[str]]:
    """Waves of at most ``size``, zone after zone, so that a bad change shows in one zone at a time.

    ``first`` makes the first wave that small (a canary).
    """
    if size < 1:
        raise ValueError(f"a wave holds at least 1, not {size}")
    ordered = sorted(names, key=lambda name: (zones.get(name, ""), name))
    made = [ordered[:first]] if 0 < first < len(ordered) else []
    rest = ordered[first:] if made else ordered
    while rest:
        zone = zones.get(rest[0], "")
        wave = [name for name in rest[:size] if zones.get(name, "") == zone]
        made.append(wave)
        rest = rest[len(wave) :]
    return made
