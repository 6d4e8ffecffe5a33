"""State machine of one supervised instance: events in, the next state and effects out. No I/O.

Times are Unix seconds, so that deadlines such as ``kill_at`` remain valid when the agent restarts.

An instance has a *goal* (the requested state), a *phase* (its current state) and an *end* (how its last
process exited). A process that runs but does not answer its health checks is ``silent``, even while it
drains.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum


class Goal(Enum):
    """The requested state."""

    UP = "up"
    DOWN = "down"


class Phase(Enum):
    """The current state, as far as the agent knows."""

    STOPPED = "stopped"
    STARTING = "starting"
    READY = "ready"
    UNREADY = "unready"  # answers its health checks, but accepts no requests
    SILENT = "silent"
    DRAINING = "draining"
    KILLING = "killing"
    WAITING = "waiting"
    FAILED = "failed"


class ExitReason(Enum):
    """How a process ended."""

    NONE = "none"
    CLEAN = "clean"  # drained on request and exited with code 0
    FORCED = "forced"  # killed by the agent because it did not exit after SIGTERM
    FAILED_START = "failed-start"  # exited before it was ready
    CRASHED = "crashed"  # exited without a request
    KILLED = "killed"  # ended by a signal that the agent did not send
    LOST_IN_DRAIN = "lost-in-drain"  # ended during a drain with a failure, and not by the agent
    VANISHED = "vanished"  # gone, with an unknown exit status


@dataclass(frozen=True, slots=True)
class Limits:
    """Timeouts and restart limits of an instance.

    ``drain_timeout_s`` is the longest request deadline. SIGKILL is sent no earlier than that plus
    ``kill_margin_s`` after SIGTERM. ``max_crashes`` counts ends in a row; the count is reset once a
    process has been up for ``settle_time_s``.
    """

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
        """Time from SIGTERM to SIGKILL, in which a gateway may still answer its in-flight requests."""
        return max(self.drain_timeout_s, 3.0) + self.kill_margin_s


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as its agent knows it; immutable, and stored by the agent under these field names."""

    name: str
    goal: Goal = Goal.DOWN
    phase: Phase = Phase.STOPPED
    since: float = 0.0
    launch: int = 0
    pid: int = 0
    started: int = 0  # start time of the process in kernel ticks since boot; detects a reused process ID
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
        """Whether a process exists or is being started."""
        return self.phase in LIVE_PHASES

    def silent_for(self, now: float) -> float:
        """Seconds since the last answered health check, or since the start; 0 without a process."""
        return max(now - max(self.answered_at, self.spawned_at), 0.0) if self.alive else 0.0

    def state_label(self, now: float, limits: Limits) -> str:
        """The state as shown to operators; ``draining+silent`` if both apply."""
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
    """An operator or the agent requests a start."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """An operator requests a graceful stop; ``then_start`` makes it a restart."""

    then_start: bool = False


@dataclass(frozen=True, slots=True)
class ReloadRequested:
    """An operator requests that the settings file is read again."""


@dataclass(frozen=True, slots=True)
class Spawned:
    """The process was started."""

    pid: int
    started: int


@dataclass(frozen=True, slots=True)
class SpawnFailed:
    """The process could not be started."""

    reason: str


@dataclass(frozen=True, slots=True)
class Answered:
    """A health check was answered."""

    ready: bool


@dataclass(frozen=True, slots=True)
class Exited:
    """The process has exited. ``status`` as in a shell (128 + signal), or None if unknown."""

    status: int | None


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = StartRequested | DrainRequested | ReloadRequested | Spawned | SpawnFailed | Answered | Exited | Tick


# Effects.


@dataclass(frozen=True, slots=True)
class Spawn:
    """Start the process of this launch; ``Spawned`` or ``SpawnFailed`` follows."""

    launch: int


class Signal(Enum):
    """Send this signal, after checking that the process ID has not been reused."""

    TERM = "TERM"
    KILL = "KILL"
    HUP = "HUP"


@dataclass(frozen=True, slots=True)
class RecordEvent:
    """Write an event to the agent's event store and its log."""

    kind: str
    detail: str = ""


Effect = Spawn | Signal | RecordEvent
Transition = tuple[Instance, list[Effect]]


class InvalidPhaseError(Exception):
    """The request can't be carried out in the current phase."""


def handle(
    instance: Instance, event: Event, now: float, limits: Limits, jitter_sample: float = 0.5
) -> Transition:
    """Applies one event; ``jitter_sample`` in 0..1 is a random number for the jitter of the restart backoff.

    Raises InvalidPhaseError if a reload is requested while the instance is not running.
    """
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
    """Starts a stopped instance; during a drain the start is deferred until the process has exited."""
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        return replace(instance, goal=Goal.UP, restart=True), [RecordEvent("start-after-drain")]
    if instance.alive:
        return replace(instance, goal=Goal.UP), []
    return launch(replace(instance, crashes=0), now)


def request_reload(instance: Instance) -> Transition:
    """Sends SIGHUP; raises InvalidPhaseError unless the process is running."""
    if instance.phase not in RUNNING_PHASES:
        raise InvalidPhaseError(f"{instance.name} is {instance.phase.value}: only a running one can reload")
    return instance, [Signal.HUP, RecordEvent("reloaded")]


def launch(instance: Instance, now: float) -> Transition:
    """Starts the next launch and resets all state of the previous process."""
    launched = replace(
        instance, goal=Goal.UP, phase=Phase.STARTING, since=now, launch=instance.launch + 1, pid=0, started=0,
        spawned_at=now, was_ready=False, answered_at=0.0, terminated_at=0.0, kill_at=0.0, retry_at=0.0,
        restart=False,
    )  # fmt: skip
    return launched, [Spawn(launched.launch), RecordEvent("starting", f"launch {launched.launch}")]


def request_drain(instance: Instance, then_start: bool, now: float, limits: Limits) -> Transition:
    """Sends SIGTERM and sets the kill deadline; a drain under way only takes over the new goal."""
    goal = Goal.UP if then_start else Goal.DOWN
    if instance.phase in (Phase.DRAINING, Phase.KILLING):
        return replace(instance, goal=goal, restart=then_start), []
    if not instance.alive:
        if then_start:
            return launch(replace(instance, crashes=0), now)
        # A failed instance, or one that waits for a restart, is only kept from restarting.
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
    # Without a process yet, SIGTERM is sent as soon as it has been started.
    return draining, [Signal.TERM, RecordEvent("draining")] if instance.pid else [
        RecordEvent("draining", "not up yet")
    ]


def process_spawned(instance: Instance, pid: int, started: int, now: float, limits: Limits) -> Transition:
    """Records the new process; sends SIGTERM if a drain was requested meanwhile."""
    running = replace(instance, pid=pid, started=started, spawned_at=now)
    if running.phase is Phase.DRAINING:
        return replace(running, terminated_at=now, kill_at=now + limits.kill_delay_s()), [Signal.TERM]
    return running, [RecordEvent("spawned", f"pid {pid}")]


def check_answered(instance: Instance, ready: bool, now: float, limits: Limits) -> Transition:
    """Updates the phase after a health check; resets the crash count after ``settle_time_s``."""
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
    """Derives the exit reason from the phase, whether it was ever ready, and the exit status."""
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
    """After an exit: stops, relaunches at once after a drain, or waits with exponential backoff."""
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
    """Applies the timeouts that have passed."""
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
    """Time at which the next ``Tick`` is needed if no other event arrives first."""
    due_times: dict[Phase, Callable[[], float]] = {
        Phase.WAITING: lambda: instance.retry_at,
        Phase.DRAINING: lambda: instance.kill_at,
        Phase.STARTING: lambda: instance.spawned_at + limits.start_timeout_s,
        Phase.READY: lambda: max(instance.answered_at, instance.spawned_at) + limits.silence_timeout_s,
        Phase.UNREADY: lambda: max(instance.answered_at, instance.spawned_at) + limits.silence_timeout_s,
    }
    due_time = due_times.get(instance.phase)
    return due_time() if due_time is not None else None
