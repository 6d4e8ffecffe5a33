"""When a step of an operation is over, and how it went. Pure; the agent asks after each event."""

from __future__ import annotations

from dataclasses import dataclass

from latchspoke.fleet.lifecycle import AskDrain, AskReload, AskStart, End, Event, Instance, Limits, Phase

EVENTS: dict[str, Event] = {
    "start": AskStart(),
    "drain": AskDrain(),
    "restart": AskDrain(then_start=True),
    "reload": AskReload(),
}


@dataclass(frozen=True, slots=True)
class Verdict:
    """``state`` is doing, done or failed; ``detail`` is for people."""

    state: str
    detail: str = ""


DOING = Verdict("doing")


def verdict(
    action: str, base: Instance, instance: Instance, until: float, now: float, limits: Limits
) -> Verdict:
    """How the step stands: ``base`` is the instance just before it, ``until`` its last moment."""
    told = {"start": starting, "drain": draining, "restart": restarting}.get(action)
    over = told(base, instance) if told is not None else Verdict("done", "signalled")
    if over is DOING and now >= until:
        word, silent = instance.word(now, limits), instance.silent_for(now)
        last = f", last answered {silent:.1f} s ago" if "silent" in word else ""
        return Verdict("failed", f"still {word} when its time was over{last}")
    return over


def starting(base: Instance, instance: Instance) -> Verdict:
    if instance.phase is Phase.READY:
        return Verdict("done", "was ready" if instance.launch == base.launch else "ready")
    if instance.phase in (Phase.WAITING, Phase.FAILED):
        return Verdict("failed", f"{instance.end.value}: {instance.end_detail}")
    if instance.phase is Phase.STOPPED:
        return Verdict("failed", "was stopped meanwhile")
    return DOING


def draining(base: Instance, instance: Instance) -> Verdict:
    if instance.phase is Phase.STOPPED:
        if not base.alive:
            return Verdict("done", "had no process")
        if instance.end is End.CLEAN:
            return Verdict("done", f"drained in {instance.ended_at - instance.terminated_at:.1f} s")
        return Verdict("failed", f"{instance.end.value}: {instance.end_detail}")
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        return DOING
    return Verdict("failed", f"is {instance.phase.value}: something else acted on it")


def restarting(base: Instance, instance: Instance) -> Verdict:
    if instance.phase is Phase.READY and instance.launch > base.launch:
        if base.alive and instance.end is not End.CLEAN:
            return Verdict(
                "failed", f"up again, but its drain ended {instance.end.value}: {instance.end_detail}"
            )
        return Verdict("done", f"ready as launch {instance.launch}")
    if instance.phase in (Phase.WAITING, Phase.FAILED):
        return Verdict("failed", f"{instance.end.value}: {instance.end_detail}")
    if instance.phase is Phase.STOPPED:
        return Verdict("failed", "was stopped meanwhile")
    return DOING
