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


class End(Enum):
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

    start: float = 10.0
    drain: float = 4.0
    margin: float = 0.7
    silent: float = 3.0
    pause_least: float = 0.5
    pause_most: float = 30.0
    jitter: float = 0.2
    crashes: int = 5
    settle: float = 60.0

    def kill_after(self) -> float:
        """So long after SIGTERM a gateway may still be answering what it had taken."""
        return max(self.drain, 3.0) + self.margin


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
    end: End = End.NONE
    end_detail: str = ""
    ended_at: float = 0.0

    @property
    def alive(self) -> bool:
        """Whether a process is there, or is being made."""
        return self.phase in ALIVE

    def silent_for(self, now: float) -> float:
        """How long it has not answered, in seconds; 0 where there is no process."""
        return max(now - max(self.answered_at, self.spawned_at), 0.0) if self.alive else 0.0

    def word(self, now: float, limits: Limits) -> str:
        """The state in one word for a table; ``draining+silent`` where both hold."""
        if self.phase is Phase.FAILED:
            return "crash-looping" if self.crashes >= limits.crashes else str(self.end.value)
        if self.phase is Phase.STOPPED and self.end not in (End.NONE, End.CLEAN):
            return str(self.end.value)
        if self.phase in (Phase.DRAINING, Phase.KILLING) and self.silent_for(now) > limits.silent:
            return f"{self.phase.value}+silent"
        return str(self.phase.value)


ALIVE = frozenset((Phase.STARTING, Phase.READY, Phase.UNREADY, Phase.SILENT, Phase.DRAINING, Phase.KILLING))
RUNNING = frozenset((Phase.READY, Phase.UNREADY, Phase.SILENT))


# Events.


@dataclass(frozen=True, slots=True)
class AskStart:
    """Somebody wants it up."""


@dataclass(frozen=True, slots=True)
class AskDrain:
    """Somebody wants it down, with all it has taken answered; ``then_start`` for a restart."""

    then_start: bool = False


@dataclass(frozen=True, slots=True)
class AskReload:
    """Somebody wants its file read again."""


@dataclass(frozen=True, slots=True)
class Spawned:
    """The process is there."""

    pid: int
    started: int


@dataclass(frozen=True, slots=True)
class SpawnFailed:
    """There could be no process."""

    why: str


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


Event = AskStart | AskDrain | AskReload | Spawned | SpawnFailed | Answered | Exited | Tick


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
class Note:
    """For the record and the log."""

    kind: str
    detail: str = ""


Effect = Spawn | Signal | Note
Step = tuple[Instance, list[Effect]]


class NotNowError(Exception):
    """What was asked can't be done in this phase; the text says why."""


def handle(instance: Instance, event: Event, now: float, limits: Limits, draw: float = 0.5) -> Step:
    """The one entry. ``draw`` in 0..1 is the chance that jitters pauses, given from outside."""
    match event:
        case AskStart():
            step = ask_start(instance, now)
        case AskDrain(then_start):
            step = ask_drain(instance, then_start, now, limits)
        case AskReload():
            step = ask_reload(instance)
        case Spawned(pid, started):
            step = spawned(instance, pid, started, now, limits)
        case SpawnFailed(why):
            step = ended(instance, End.FAILED_START, why, now, limits, draw)
        case Answered(ready):
            step = answered(instance, ready, now, limits)
        case Exited(status):
            step = ended(instance, *judge(instance, status), now, limits, draw)
        case Tick():
            step = tick(instance, now, limits)
    return step


def ask_start(instance: Instance, now: float) -> Step:
    """A drain that is under way goes on, and the start follows it: what was told is not called back."""
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        return replace(instance, goal=Goal.UP, restart=True), [Note("start-after-drain")]
    if instance.alive:
        return replace(instance, goal=Goal.UP), []
    return launch(replace(instance, crashes=0), now)


def ask_reload(instance: Instance) -> Step:
    if instance.phase not in RUNNING:
        raise NotNowError(f"{instance.name} is {instance.phase.value}: only a running one can reload")
    return instance, [Signal.HUP, Note("reloaded")]


def launch(instance: Instance, now: float) -> Step:
    started = replace(
        instance, goal=Goal.UP, phase=Phase.STARTING, since=now, launch=instance.launch + 1, pid=0, started=0,
        spawned_at=now, was_ready=False, answered_at=0.0, terminated_at=0.0, kill_at=0.0, retry_at=0.0,
        restart=False,
    )  # fmt: skip
    return started, [Spawn(started.launch), Note("starting", f"launch {started.launch}")]


def ask_drain(instance: Instance, then_start: bool, now: float, limits: Limits) -> Step:
    goal = Goal.UP if then_start else Goal.DOWN
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        return replace(instance, goal=goal, restart=then_start), []
    if not instance.alive:
        if then_start:
            return launch(replace(instance, crashes=0), now)
        # One that failed or waits for its next try is only told not to try again.
        stopped = instance.phase is Phase.STOPPED
        return replace(
            instance, goal=goal, phase=Phase.STOPPED, since=instance.since if stopped else now, retry_at=0.0
        ), []
    kept = replace(
        instance, goal=goal, phase=Phase.DRAINING, since=now, restart=then_start,
        terminated_at=now, kill_at=now + limits.kill_after(),
    )  # fmt: skip
    # Without a process yet the signal follows as soon as there is one.
    return kept, [Signal.TERM, Note("draining")] if instance.pid else [Note("draining", "not up yet")]


def spawned(instance: Instance, pid: int, started: int, now: float, limits: Limits) -> Step:
    up = replace(instance, pid=pid, started=started, spawned_at=now)
    if up.phase is Phase.DRAINING:
        return replace(up, terminated_at=now, kill_at=now + limits.kill_after()), [Signal.TERM]
    return up, [Note("spawned", f"pid {pid}")]


def answered(instance: Instance, ready: bool, now: float, limits: Limits) -> Step:
    heard = replace(instance, answered_at=now)
    if instance.phase in (Phase.DRAINING, Phase.KILLING) or not instance.alive:
        return heard, []
    if not ready:
        if instance.phase in (Phase.READY, Phase.SILENT) and instance.was_ready:
            return replace(heard, phase=Phase.UNREADY, since=now), [Note("unready")]
        return heard, []
    crashes = 0 if instance.was_ready and now - instance.spawned_at > limits.settle else instance.crashes
    heard = replace(heard, was_ready=True, crashes=crashes)
    if instance.phase is Phase.READY:
        return heard, []
    return replace(heard, phase=Phase.READY, since=now), [Note("ready")]


def judge(instance: Instance, status: int | None) -> tuple[End, str]:
    """The word for an end, from what was asked, how far it had come, and the status."""
    detail = "nothing says how" if status is None else f"code {status}"
    if status is not None and status > 128:
        detail = f"signal {status - 128}"
    if instance.phase is Phase.KILLING:
        return End.FORCED, detail
    if instance.phase is Phase.DRAINING:
        return (End.CLEAN if status == 0 else End.LOST_IN_DRAIN), detail
    if status is None:
        return End.VANISHED, detail
    if status > 128:
        return End.KILLED, detail
    return (End.CRASHED if instance.was_ready else End.FAILED_START), detail


def ended(instance: Instance, end: End, detail: str, now: float, limits: Limits, draw: float) -> Step:
    """No process any more: stopped, started again at once, or after a pause that grows."""
    gone = replace(
        instance, pid=0, started=0, end=end, end_detail=detail, ended_at=now, since=now, kill_at=0.0
    )
    notes: list[Effect] = [Note("ended", f"{end.value}: {detail}")]
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        if not instance.restart:
            return replace(gone, phase=Phase.STOPPED), notes
        again, effects = launch(replace(gone, crashes=0), now)
        return again, notes + effects
    crashes = instance.crashes + 1
    if crashes >= limits.crashes:
        return replace(gone, phase=Phase.FAILED, crashes=crashes), [
            *notes,
            Note("gave-up", f"{crashes} ends in a row"),
        ]
    pause = min(limits.pause_least * 2.0 ** (crashes - 1), limits.pause_most)
    pause *= 1 + limits.jitter * (2 * draw - 1)
    waiting = replace(gone, phase=Phase.WAITING, crashes=crashes, retry_at=now + pause)
    return waiting, [*notes, Note("waiting", f"{pause:.2f} s before the next try")]


def tick(instance: Instance, now: float, limits: Limits) -> Step:
    """What is due by the time alone."""
    if instance.phase is Phase.WAITING and now >= instance.retry_at:
        return launch(instance, now)
    if instance.phase is Phase.DRAINING and instance.pid and now >= instance.kill_at:
        killing = replace(instance, phase=Phase.KILLING, since=now)
        waited = now - instance.terminated_at
        return killing, [Signal.KILL, Note("killing", f"{waited:.1f} s after SIGTERM it still ran")]
    if instance.phase is Phase.STARTING and instance.pid and now - instance.spawned_at > limits.start:
        return replace(instance, phase=Phase.SILENT, since=now), [Note("silent", "not ready in its time")]
    if instance.phase in (Phase.READY, Phase.UNREADY) and instance.silent_for(now) > limits.silent:
        return replace(instance, phase=Phase.SILENT, since=now), [Note("silent")]
    return instance, []


def due(instance: Instance, limits: Limits) -> float | None:
    """When the next ``Tick`` has something to do, if nothing else comes."""
    times: dict[Phase, Callable[[], float]] = {
        Phase.WAITING: lambda: instance.retry_at,
        Phase.DRAINING: lambda: instance.kill_at,
        Phase.STARTING: lambda: instance.spawned_at + limits.start,
        Phase.READY: lambda: max(instance.answered_at, instance.spawned_at) + limits.silent,
        Phase.UNREADY: lambda: max(instance.answered_at, instance.spawned_at) + limits.silent,
    }
    at = times.get(instance.phase)
    return at() if at is not None else None
