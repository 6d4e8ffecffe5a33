"""The state machine of an instance, event by event."""

from __future__ import annotations

import pytest

from latchspoke.fleet.lifecycle import (
    LIVE_PHASES,
    Answered,
    DrainRequested,
    Event,
    Exited,
    ExitReason,
    Goal,
    Instance,
    InvalidPhaseError,
    Limits,
    Phase,
    RecordEvent,
    ReloadRequested,
    Signal,
    Spawn,
    Spawned,
    SpawnFailed,
    StartRequested,
    Tick,
    handle,
    next_tick_at,
)

LIMITS = Limits()


class Supervised:
    """One instance and the effects of its events."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.limits, self.now, self.instance = limits, 1000.0, Instance("g1")
        self.effects: list[object] = []

    def apply(self, *events: Event, after: float = 0.0) -> Supervised:
        self.now += after
        for event in events:
            self.instance, effects = handle(self.instance, event, self.now, self.limits)
            self.effects += [effect for effect in effects if not isinstance(effect, RecordEvent)]
        return self

    def start(self) -> Supervised:
        return self.apply(StartRequested(), Spawned(10, 77), Answered(True))

    @property
    def label(self) -> str:
        return self.instance.state_label(self.now, self.limits)


def test_start_and_clean_drain() -> None:
    supervised = Supervised().start()
    assert (supervised.label, supervised.effects) == ("ready", [Spawn(1)])
    supervised.apply(DrainRequested())
    assert (supervised.label, supervised.effects[-1]) == ("draining", Signal.TERM)
    supervised.apply(Exited(0), after=1.0)
    assert (supervised.label, supervised.instance.end, supervised.instance.goal) == (
        "stopped",
        ExitReason.CLEAN,
        Goal.DOWN,
    )


def test_no_sigkill_before_drain_timeout_and_margin() -> None:
    # In-flight requests may be answered until then.
    supervised = Supervised().start().apply(DrainRequested())
    supervised.apply(Tick(), after=LIMITS.drain_timeout_s + 0.69)
    assert Signal.KILL not in supervised.effects
    supervised.apply(Tick(), after=0.02)
    assert supervised.effects[-1] is Signal.KILL
    supervised.apply(Tick(), after=1.0)
    assert supervised.effects.count(Signal.KILL) == 1
    assert supervised.apply(Exited(137)).label == "forced"


def test_kill_delay_is_at_least_three_seconds_plus_margin() -> None:
    assert Limits(drain_timeout_s=0.5).kill_delay_s() == pytest.approx(3.7)


def test_each_exit_reason_has_its_own_label() -> None:
    clean = Supervised().start().apply(DrainRequested(), Exited(0))
    forced = Supervised().start().apply(DrainRequested()).apply(Tick(), after=9).apply(Exited(137))
    failed = Supervised(Limits(max_crashes=1)).apply(StartRequested(), Spawned(1, 1), Exited(2))
    looping = Supervised(Limits(max_crashes=2)).start().apply(Exited(1)).apply(Tick(), after=9)
    looping.apply(Spawned(2, 2), Answered(True), Exited(1))
    in_drain = Supervised().start().apply(DrainRequested(), Exited(137))
    labels = [supervised.label for supervised in (clean, forced, failed, looping, in_drain)]
    assert labels == ["stopped", "forced", "crash-looping", "crash-looping", "lost-in-drain"]
    assert failed.instance.end is ExitReason.FAILED_START and looping.instance.end is ExitReason.CRASHED
    assert Supervised().start().apply(Exited(137)).instance.end is ExitReason.KILLED
    assert Supervised().start().apply(Exited(None)).instance.end is ExitReason.VANISHED


def test_silent_drain_shows_both_states() -> None:
    supervised = Supervised().start().apply(DrainRequested())
    supervised.apply(Tick(), after=LIMITS.silence_timeout_s + 0.5)
    assert supervised.label == "draining+silent"
    assert supervised.instance.silent_for(supervised.now) == pytest.approx(3.5)
    assert supervised.apply(Answered(False)).label == "draining"


def test_backoff_grows_until_the_crash_limit() -> None:
    supervised, backoffs = Supervised(Limits(jitter_fraction=0.0)), []
    supervised.apply(StartRequested(), Spawned(1, 1))
    while supervised.instance.phase is not Phase.FAILED:
        supervised.apply(Exited(1))
        if supervised.instance.phase is Phase.WAITING:
            backoffs.append(supervised.instance.retry_at - supervised.now)
            supervised.apply(Tick(), after=backoffs[-1]).apply(Spawned(1, 1))
    assert backoffs == [0.5, 1.0, 2.0, 4.0]
    assert supervised.label == "crash-looping"
    # A new start request resets the crash count.
    assert supervised.apply(StartRequested()).instance.crashes == 0


def test_restart_backoff_is_jittered() -> None:
    # Instances of a host that crash together must not restart together.
    waits = [
        handle(Supervised().start().instance, Exited(1), 2000.0, LIMITS, draw)[0].retry_at - 2000.0
        for draw in (0.0, 1.0)
    ]
    assert waits == pytest.approx([0.4, 0.6])


def test_crash_count_resets_after_settle_time() -> None:
    supervised = (
        Supervised().start().apply(Exited(1)).apply(Tick(), after=2).apply(Spawned(2, 2), Answered(True))
    )
    assert supervised.instance.crashes == 1
    assert supervised.apply(Answered(True), after=LIMITS.settle_time_s + 1).instance.crashes == 0


def test_start_during_a_drain_is_deferred() -> None:
    supervised = Supervised().start().apply(DrainRequested(), StartRequested())
    assert supervised.label == "draining"
    supervised.apply(Exited(0))
    assert (supervised.label, supervised.instance.launch) == ("starting", 2)


def test_drain_before_spawn_signals_the_new_process() -> None:
    # Without a process SIGTERM would be lost, and the gateway would start in spite of the drain.
    supervised = Supervised().apply(StartRequested(), DrainRequested())
    assert Signal.TERM not in supervised.effects
    supervised.apply(Spawned(5, 5), after=0.2)
    assert supervised.effects[-1] is Signal.TERM
    assert supervised.instance.kill_at == pytest.approx(supervised.now + LIMITS.kill_delay_s())


def test_second_drain_does_not_postpone_the_kill() -> None:
    supervised = Supervised().start().apply(DrainRequested())
    first = supervised.instance.kill_at
    assert supervised.apply(DrainRequested(), after=2.0).instance.kill_at == first
    assert supervised.effects.count(Signal.TERM) == 1


def test_drain_cancels_a_pending_restart() -> None:
    supervised = Supervised().start().apply(Exited(1), DrainRequested())
    assert (supervised.instance.phase, supervised.instance.retry_at) == (Phase.STOPPED, 0.0)
    assert supervised.apply(Tick(), after=100).effects == [Spawn(1)]


def test_reload_requires_a_running_instance() -> None:
    assert Supervised().start().apply(ReloadRequested()).effects[-1] is Signal.HUP
    with pytest.raises(InvalidPhaseError, match="stopped"):
        Supervised().apply(ReloadRequested())


def test_start_and_health_check_timeouts_are_silent() -> None:
    slow = (
        Supervised().apply(StartRequested(), Spawned(1, 1)).apply(Tick(), after=LIMITS.start_timeout_s + 0.1)
    )
    assert slow.label == "silent"
    assert slow.apply(Answered(True)).label == "ready"
    assert Supervised().start().apply(Tick(), after=3.1).label == "silent"


EVENTS: tuple[Event, ...] = (
    StartRequested(), DrainRequested(), DrainRequested(True), Spawned(9, 9), SpawnFailed("no"),
    Answered(True),
    Answered(False), Exited(0), Exited(137), Tick(),
)  # fmt: skip
FEW_CRASHES = Limits(max_crashes=2)


def explore(
    instance: Instance,
    now: float,
    running: bool,
    terminated_at: float,
    remaining: int,
    seen_phases: set[Phase],
) -> int:
    """Tries every order of ``remaining`` further events; returns the number of steps."""
    seen_phases.add(instance.phase)
    assert (instance.phase in LIVE_PHASES) == running, instance
    if instance.phase in (Phase.WAITING, Phase.STARTING, Phase.READY, Phase.UNREADY):
        assert next_tick_at(instance, FEW_CRASHES) is not None
    steps = 0
    for event in EVENTS if remaining else ():
        if isinstance(event, Exited) and not instance.pid:
            continue  # without a process there is no exit
        if isinstance(event, Spawned | SpawnFailed) and (not running or instance.pid):
            continue
        later, terminated = now + 2.5, terminated_at
        next_instance, effects = handle(instance, event, later, FEW_CRASHES)
        has_process = running and not isinstance(event, Exited | SpawnFailed)
        for effect in effects:
            if isinstance(effect, Spawn):
                assert not has_process, "two processes at once"
                has_process = True
            if effect is Signal.TERM:
                terminated = later
            if effect is Signal.KILL:
                assert later - terminated >= 4.7, "killed too soon"
        steps += 1 + explore(next_instance, later, has_process, terminated, remaining - 1, seen_phases)
    return steps


def test_invariants_hold_for_every_order_of_six_events() -> None:
    """Never two processes, no early SIGKILL, and a due time wherever only a timeout can make progress."""
    seen_phases: set[Phase] = set()
    assert explore(Instance("g1"), 1000.0, False, 0.0, 6, seen_phases) > 50_000
    assert seen_phases == set(Phase)


def test_instance_that_reports_unready_is_not_ready() -> None:
    # A SIGTERM from elsewhere: the gateway drains without a request to its agent.
    supervised = Supervised().start().apply(Answered(False))
    assert supervised.label == "unready"
    assert supervised.apply(Answered(True)).label == "ready"
