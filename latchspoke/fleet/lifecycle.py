"""The life of one instance: what each event makes of it, and what is then to be done.

Pure: an instance and an event with its time go in, the next instance and effects come out. Times are
Unix seconds, so that a promise such as "killed no sooner than" outlives the agent that made it.

An instance has a *goal* (what was asked of it), a *phase* (what it is doing), and of its last process an
*end* (how that went). Phases say what is known, never what is hoped: a process that lives and does not
answer is ``silent``, also while it drains.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum


class Goal(Enum):
    """What was asked for."""

    UP = "up"
    DOWN = "down"


class Phase(Enum):
    """What an instance is doing, as far as its agent knows."""

    STOPPED = "stopped"
    STARTING = "starting"
    READY = "ready"
    UNREADY = "unready"  # answers, and says that it takes nothing
    SILENT = "silent"
    DRAINING = "draining"
    KILLING = "killing"
    WAITING = "waiting"
    FAILED = "failed"


class ExitReason(Enum):
    """How a process ended. Each word calls for something else from an operator."""

    NONE = "none"
    CLEAN = "clean"  # drained when told to, and left with code 0
    FORCED = "forced"  # ignored SIGTERM until the agent killed it
    FAILED_START = "failed-start"  # left before it was ever ready
    CRASHED = "crashed"  # left by itself while nobody had asked it to
    KILLED = "killed"  # a signal from elsewhere ended it
    LOST_IN_DRAIN = "lost-in-drain"  # ended in the middle of a drain, and not by its agent
    VANISHED = "vanished"  # gone, and nothing says how


@dataclass(frozen=True, slots=True)
class Limits:
    """Times in seconds. ``drain`` is the longest deadline; no SIGKILL before that plus ``margin``."""

    start_timeout_s: float = 10.0
    drain_timeout_s: float = 4.0
    kill_margin_s: float = 0.7
    silence_timeout_s: float = 3.0
    min_backoff_s: float = 0.5
    max_backoff_s: float = 30.0
    jitter_fraction: float = 0.2
    max_crashes: int = 5
    settle_time_s: float = 60.0

    def kill_delay_s(self) -> float:
        """So long after SIGTERM a gateway may still be answering what it had taken."""
        return max(self.drain_timeout_s, 3.0) + self.kill_margin_s


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as its agent knows it; a value, so that readers may keep an old one."""

    name: str
    goal: Goal = Goal.DOWN
    phase: Phase = Phase.STOPPED
    since: float = 0.0
    launch: int = 0
    pid: int = 0
    started: int = 0  # of the process, in the kernel's ticks since boot: tells a reused id apart
    spawned_at: float = 0.0
    was_ready: bool = False
    answered_at: float = 0.0
    terminated_at: float = 0.0
    kill_at: float = 0.0
    retry_at: float = 0.0
    crashes: int = 0
    restart: bool = False
    end: ExitReason = ExitReason.NONE
    end_detail: str = ""
    ended_at: float = 0.0

    @property
    def alive(self) -> bool:
        """Whether a process is there, or is being made."""
        return self.phase in LIVE_PHASES

    def silent_for(self, now: float) -> float:
        """How long it has not answered, in seconds; 0 where there is no process."""
        return max(now - max(self.answered_at, self.spawned_at), 0.0) if self.alive else 0.0

    def state_label(self, now: float, limits: Limits) -> str:
        """The state in one word for a table; ``draining+silent`` where both hold."""
        if self.phase is Phase.FAILED:
            return "crash-looping" if self.crashes >= limits.max_crashes else str(self.end.value)
        if self.phase is Phase.STOPPED and self.end not in (ExitReason.NONE, ExitReason.CLEAN):
            return str(self.end.value)
        if self.phase in (Phase.DRAINING, Phase.KILLING) and self.silent_for(now) > limits.silence_timeout_s:
            return f"{self.phase.value}+silent"
        return str(self.phase.value)


LIVE_PHASES = frozenset(
    (Phase.STARTING, Phase.READY, Phase.UNREADY, Phase.SILENT, Phase.DRAINING, Phase.KILLING)
)
RUNNING_PHASES = frozenset((Phase.READY, Phase.UNREADY, Phase.SILENT))


# Events.


@dataclass(frozen=True, slots=True)
class StartRequested:
    """Somebody wants it up."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Somebody wants it down, with all it has taken answered; ``then_start`` for a restart."""

    then_start: bool = False


@dataclass(frozen=True, slots=True)
class ReloadRequested:
    """Somebody wants its file read again."""


@dataclass(frozen=True, slots=True)
class Spawned:
    """The process is there."""

    pid: int
    started: int


@dataclass(frozen=True, slots=True)
class SpawnFailed:
    """There could be no process."""

    reason: str


@dataclass(frozen=True, slots=True)
class Answered:
    """It has answered a check."""

    ready: bool


@dataclass(frozen=True, slots=True)
class Exited:
    """The process is gone. ``status`` as a shell has it (128 + signal), None where nobody knows."""

    status: int | None


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = StartRequested | DrainRequested | ReloadRequested | Spawned | SpawnFailed | Answered | Exited | Tick


# Effects.


@dataclass(frozen=True, slots=True)
class Spawn:
    """Make the process of this launch; answer ``Spawned`` or ``SpawnFailed``."""

    launch: int


class Signal(Enum):
    """Send this to the process, once it is sure that it is still that one."""

    TERM = "TERM"
    KILL = "KILL"
    HUP = "HUP"


@dataclass(frozen=True, slots=True)
class RecordEvent:
    """For the record and the log."""

    kind: str
    detail: str = ""


Effect = Spawn | Signal | RecordEvent
Transition = tuple[Instance, list[Effect]]


class InvalidPhaseError(Exception):
    """What was asked can't be done in this phase; the text says why."""


def handle(
    instance: Instance, event: Event, now: float, limits: Limits, jitter_sample: float = 0.5
) -> Transition:
    """The one entry. ``draw`` in 0..1 is the chance that jitters pauses, given from outside."""
    match event:
        case StartRequested():
            transition = request_start(instance, now)
        case DrainRequested(then_start):
            transition = request_drain(instance, then_start, now, limits)
        case ReloadRequested():
            transition = request_reload(instance)
        case Spawned(pid, started):
            transition = process_spawned(instance, pid, started, now, limits)
        case SpawnFailed(reason):
            transition = process_ended(instance, ExitReason.FAILED_START, reason, now, limits, jitter_sample)
        case Answered(ready):
            transition = check_answered(instance, ready, now, limits)
        case Exited(status):
            transition = process_ended(instance, *classify_exit(instance, status), now, limits, jitter_sample)
        case Tick():
            transition = tick(instance, now, limits)
    return transition


def request_start(instance: Instance, now: float) -> Transition:
    """A drain that is under way goes on, and the start follows it: what was told is not called back."""
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        return replace(instance, goal=Goal.UP, restart=True), [RecordEvent("start-after-drain")]
    if instance.alive:
        return replace(instance, goal=Goal.UP), []
    return launch(replace(instance, crashes=0), now)


def request_reload(instance: Instance) -> Transition:
    if instance.phase not in RUNNING_PHASES:
        raise InvalidPhaseError(f"{instance.name} is {instance.phase.value}: only a running one can reload")
    return instance, [Signal.HUP, RecordEvent("reloaded")]


def launch(instance: Instance, now: float) -> Transition:
    launched = replace(
        instance, goal=Goal.UP, phase=Phase.STARTING, since=now, launch=instance.launch + 1, pid=0, started=0,
        spawned_at=now, was_ready=False, answered_at=0.0, terminated_at=0.0, kill_at=0.0, retry_at=0.0,
        restart=False,
    )  # fmt: skip
    return launched, [Spawn(launched.launch), RecordEvent("starting", f"launch {launched.launch}")]


def request_drain(instance: Instance, then_start: bool, now: float, limits: Limits) -> Transition:
    goal = Goal.UP if then_start else Goal.DOWN
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        return replace(instance, goal=goal, restart=then_start), []
    if not instance.alive:
        if then_start:
            return launch(replace(instance, crashes=0), now)
        # One that failed or waits for its next try is only told not to try again.
        was_stopped = instance.phase is Phase.STOPPED
        return replace(
            instance,
            goal=goal,
            phase=Phase.STOPPED,
            since=instance.since if was_stopped else now,
            retry_at=0.0,
        ), []
    draining = replace(
        instance, goal=goal, phase=Phase.DRAINING, since=now, restart=then_start,
        terminated_at=now, kill_at=now + limits.kill_delay_s(),
    )  # fmt: skip
    # Without a process yet the signal follows as soon as there is one.
    return draining, [Signal.TERM, RecordEvent("draining")] if instance.pid else [
        RecordEvent("draining", "not up yet")
    ]


def process_spawned(instance: Instance, pid: int, started: int, now: float, limits: Limits) -> Transition:
    running = replace(instance, pid=pid, started=started, spawned_at=now)
    if running.phase is Phase.DRAINING:
        return replace(running, terminated_at=now, kill_at=now + limits.kill_delay_s()), [Signal.TERM]
    return running, [RecordEvent("spawned", f"pid {pid}")]


def check_answered(instance: Instance, ready: bool, now: float, limits: Limits) -> Transition:
    updated = replace(instance, answered_at=now)
    if instance.phase in (Phase.DRAINING, Phase.KILLING) or not instance.alive:
        return updated, []
    if not ready:
        if instance.phase in (Phase.READY, Phase.SILENT) and instance.was_ready:
            return replace(updated, phase=Phase.UNREADY, since=now), [RecordEvent("unready")]
        return updated, []
    crashes = (
        0 if instance.was_ready and now - instance.spawned_at > limits.settle_time_s else instance.crashes
    )
    updated = replace(updated, was_ready=True, crashes=crashes)
    if instance.phase is Phase.READY:
        return updated, []
    return replace(updated, phase=Phase.READY, since=now), [RecordEvent("ready")]


def classify_exit(instance: Instance, status: int | None) -> tuple[ExitReason, str]:
    """The word for an end, from what was asked, how far it had come, and the status."""
    detail = "nothing says how" if status is None else f"code {status}"
    if status is not None and status > 128:
        detail = f"signal {status - 128}"
    if instance.phase is Phase.KILLING:
        return ExitReason.FORCED, detail
    if instance.phase is Phase.DRAINING:
        return (ExitReason.CLEAN if status == 0 else ExitReason.LOST_IN_DRAIN), detail
    if status is None:
        return ExitReason.VANISHED, detail
    if status > 128:
        return ExitReason.KILLED, detail
    return (ExitReason.CRASHED if instance.was_ready else ExitReason.FAILED_START), detail


def process_ended(
    instance: Instance, end: ExitReason, detail: str, now: float, limits: Limits, jitter_sample: float
) -> Transition:
    """No process any more: stopped, started again at once, or after a pause that grows."""
    exited = replace(
        instance, pid=0, started=0, end=end, end_detail=detail, ended_at=now, since=now, kill_at=0.0
    )
    events: list[Effect] = [RecordEvent("ended", f"{end.value}: {detail}")]
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        if not instance.restart:
            return replace(exited, phase=Phase.STOPPED), events
        relaunched, effects = launch(replace(exited, crashes=0), now)
        return relaunched, events + effects
    crashes = instance.crashes + 1
    if crashes >= limits.max_crashes:
        return replace(exited, phase=Phase.FAILED, crashes=crashes), [
            *events,
            RecordEvent("gave-up", f"{crashes} ends in a row"),
        ]
    backoff = min(limits.min_backoff_s * 2.0 ** (crashes - 1), limits.max_backoff_s)
    backoff *= 1 + limits.jitter_fraction * (2 * jitter_sample - 1)
    waiting = replace(exited, phase=Phase.WAITING, crashes=crashes, retry_at=now + backoff)
    return waiting, [*events, RecordEvent("waiting", f"{backoff:.2f} s before the next try")]


def tick(instance: Instance, now: float, limits: Limits) -> Transition:
    """What is due by the time alone."""
    if instance.phase is Phase.WAITING and now >= instance.retry_at:
        return launch(instance, now)
    if instance.phase is Phase.DRAINING and instance.pid and now >= instance.kill_at:
        killing = replace(instance, phase=Phase.KILLING, since=now)
        elapsed = now - instance.terminated_at
        return killing, [Signal.KILL, RecordEvent("killing", f"{elapsed:.1f} s after SIGTERM it still ran")]
    if (
        instance.phase is Phase.STARTING
        and instance.pid
        and now - instance.spawned_at > limits.start_timeout_s
    ):
        return replace(instance, phase=Phase.SILENT, since=now), [
            RecordEvent("silent", "not ready in its time")
        ]
    if instance.phase in (Phase.READY, Phase.UNREADY) and instance.silent_for(now) > limits.silence_timeout_s:
        return replace(instance, phase=Phase.SILENT, since=now), [RecordEvent("silent")]
    return instance, []


def next_tick_at(instance: Instance, limits: Limits) -> float | None:
    """When the next ``Tick`` has something to do, if nothing else comes."""
    due_times: dict[Phase, Callable[[], float]] = {
        Phase.WAITING: lambda: instance.retry_at,
        Phase.DRAINING: lambda: instance.kill_at,
        Phase.STARTING: lambda: instance.spawned_at + limits.start_timeout_s,
        Phase.READY: lambda: max(instance.answered_at, instance.spawned_at) + limits.silence_timeout_s,
        Phase.UNREADY: lambda: max(instance.answered_at, instance.spawned_at) + limits.silence_timeout_s,
    }
    due_time = due_times.get(instance.phase)
    return due_time() if due_time is not None else None
