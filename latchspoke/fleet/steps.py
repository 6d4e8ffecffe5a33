"""Determines the outcome of an operation's step on one instance. No I/O; evaluated after each event."""

from __future__ import annotations

from dataclasses import dataclass

from latchspoke.fleet.lifecycle import (
    DrainRequested,
    Event,
    ExitReason,
    Instance,
    Limits,
    Phase,
    ReloadRequested,
    StartRequested,
)

ACTION_EVENTS: dict[str, Event] = {
    "start": StartRequested(),
    "drain": DrainRequested(),
    "restart": DrainRequested(then_start=True),
    "reload": ReloadRequested(),
}


@dataclass(frozen=True, slots=True)
class StepOutcome:
    """``state`` is ``doing``, ``done`` or ``failed``; ``detail`` is shown to operators."""

    state: str
    detail: str = ""


IN_PROGRESS = StepOutcome("doing")


def step_outcome(
    action: str, base: Instance, instance: Instance, deadline: float, now: float, limits: Limits
) -> StepOutcome:
    """Evaluates a step: ``base`` is the instance just before it, ``deadline`` the end of its time limit."""
    evaluate = {"start": start_outcome, "drain": drain_outcome, "restart": restart_outcome}.get(action)
    outcome = evaluate(base, instance) if evaluate is not None else StepOutcome("done", "signalled")
    if outcome is IN_PROGRESS and now >= deadline:
        label, silent_s = instance.state_label(now, limits), instance.silent_for(now)
        suffix = f", last answered {silent_s:.1f} s ago" if "silent" in label else ""
        return StepOutcome("failed", f"still {label} when its time was over{suffix}")
    return outcome


def start_outcome(base: Instance, instance: Instance) -> StepOutcome:
    """Done once ready; failed if the process exited or the instance was stopped."""
    if instance.phase is Phase.READY:
        return StepOutcome("done", "was ready" if instance.launch == base.launch else "ready")
    if instance.phase in (Phase.WAITING, Phase.FAILED):
        return StepOutcome("failed", f"{instance.end.value}: {instance.end_detail}")
    if instance.phase is Phase.STOPPED:
        return StepOutcome("failed", "was stopped meanwhile")
    return IN_PROGRESS


def drain_outcome(base: Instance, instance: Instance) -> StepOutcome:
    """Done after a clean exit, or if there was no process; failed after any other exit."""
    if instance.phase is Phase.STOPPED:
        if not base.alive:
            return StepOutcome("done", "had no process")
        if instance.end is ExitReason.CLEAN:
            return StepOutcome("done", f"drained in {instance.ended_at - instance.terminated_at:.1f} s")
        return StepOutcome("failed", f"{instance.end.value}: {instance.end_detail}")
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        return IN_PROGRESS
    return StepOutcome("failed", f"is {instance.phase.value}: something else acted on it")


def restart_outcome(base: Instance, instance: Instance) -> StepOutcome:
    """Done once a later launch is ready, provided that the drain before it ended cleanly."""
    if instance.phase is Phase.READY and instance.launch > base.launch:
        if base.alive and instance.end is not ExitReason.CLEAN:
            return StepOutcome(
                "failed", f"up again, but its drain ended {instance.end.value}: {instance.end_detail}"
            )
        return StepOutcome("done", f"ready as launch {instance.launch}")
    if instance.phase in (Phase.WAITING, Phase.FAILED):
        return StepOutcome("failed", f"{instance.end.value}: {instance.end_detail}")
    if instance.phase is Phase.STOPPED:
        return StepOutcome("failed", "was stopped meanwhile")
    return IN_PROGRESS
