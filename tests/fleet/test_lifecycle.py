"""The life of one instance, event by event, on times given by hand."""

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


class Life:
    """One instance and all the effects that came of its events."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.limits, self.now, self.instance = limits, 1000.0, Instance("g1")
        self.effects: list[object] = []

    def give(self, *events: Event, after: float = 0.0) -> Life:
        self.now += after
        for event in events:
            self.instance, effects = handle(self.instance, event, self.now, self.limits)
            self.effects += [e for e in effects if not isinstance(e, RecordEvent)]
        return self

    def up(self) -> Life:
        return self.give(StartRequested(), Spawned(10, 77), Answered(True))

    @property
    def word(self) -> str:
        return self.instance.state_label(self.now, self.limits)


def test_a_start_and_a_clean_drain() -> None:
    life = Life().up()
    assert (life.word, life.effects) == ("ready", [Spawn(1)])
    life.give(DrainRequested())
    assert (life.word, life.effects[-1]) == ("draining", Signal.TERM)
    life.give(Exited(0), after=1.0)
    assert (life.word, life.instance.end, life.instance.goal) == ("stopped", ExitReason.CLEAN, Goal.DOWN)


def test_no_kill_before_the_longest_deadline_and_the_margin() -> None:
    # The platform's rule: what was taken may be answered until then.
    life = Life().up().give(DrainRequested())
    life.give(Tick(), after=LIMITS.drain_timeout_s + 0.69)
    assert Signal.KILL not in life.effects
    life.give(Tick(), after=0.02)
    assert life.effects[-1] is Signal.KILL
    life.give(Tick(), after=1.0)
    assert life.effects.count(Signal.KILL) == 1
    assert life.give(Exited(137)).word == "forced"


def test_short_deadlines_count_as_three_seconds() -> None:
    assert Limits(drain_timeout_s=0.5).kill_delay_s() == pytest.approx(3.7)


def test_each_end_has_its_own_word() -> None:
    clean = Life().up().give(DrainRequested(), Exited(0))
    forced = Life().up().give(DrainRequested()).give(Tick(), after=9).give(Exited(137))
    failed = Life(Limits(max_crashes=1)).give(StartRequested(), Spawned(1, 1), Exited(2))
    looping = Life(Limits(max_crashes=2)).up().give(Exited(1)).give(Tick(), after=9)
    looping.give(Spawned(2, 2), Answered(True), Exited(1))
    in_drain = Life().up().give(DrainRequested(), Exited(137))
    words = [life.word for life in (clean, forced, failed, looping, in_drain)]
    assert words == ["stopped", "forced", "crash-looping", "crash-looping", "lost-in-drain"]
    assert failed.instance.end is ExitReason.FAILED_START and looping.instance.end is ExitReason.CRASHED
    assert Life().up().give(Exited(137)).instance.end is ExitReason.KILLED
    assert Life().up().give(Exited(None)).instance.end is ExitReason.VANISHED


def test_a_drain_that_falls_silent_is_said_to_be_both() -> None:
    life = Life().up().give(DrainRequested())
    life.give(Tick(), after=LIMITS.silence_timeout_s + 0.5)
    assert life.word == "draining+silent"
    assert life.instance.silent_for(life.now) == pytest.approx(3.5)
    assert life.give(Answered(False)).word == "draining"


def test_pauses_grow_and_end_with_giving_up() -> None:
    life, pauses = Life(Limits(jitter_fraction=0.0)), []
    life.give(StartRequested(), Spawned(1, 1))
    while life.instance.phase is not Phase.FAILED:
        life.give(Exited(1))
        if life.instance.phase is Phase.WAITING:
            pauses.append(life.instance.retry_at - life.now)
            life.give(Tick(), after=pauses[-1]).give(Spawned(1, 1))
    assert pauses == [0.5, 1.0, 2.0, 4.0]
    assert life.word == "crash-looping"
    # Somebody who asks again gets a fresh count of tries.
    assert life.give(StartRequested()).instance.crashes == 0


def test_jitter_spreads_the_restarts_of_a_host() -> None:
    # A host whose instances all crash at once must not start them at once.
    waits = [
        handle(Life().up().instance, Exited(1), 2000.0, LIMITS, draw)[0].retry_at - 2000.0
        for draw in (0.0, 1.0)
    ]
    assert waits == pytest.approx([0.4, 0.6])


def test_a_long_life_forgives_old_crashes() -> None:
    life = Life().up().give(Exited(1)).give(Tick(), after=2).give(Spawned(2, 2), Answered(True))
    assert life.instance.crashes == 1
    assert life.give(Answered(True), after=LIMITS.settle_time_s + 1).instance.crashes == 0


def test_a_start_during_a_drain_follows_it() -> None:
    life = Life().up().give(DrainRequested(), StartRequested())
    assert life.word == "draining"
    life.give(Exited(0))
    assert (life.word, life.instance.launch) == ("starting", 2)


def test_a_drain_before_the_process_is_up_reaches_it() -> None:
    # SIGTERM to no process would be lost, and the gateway would start although it was told to stop.
    life = Life().give(StartRequested(), DrainRequested())
    assert Signal.TERM not in life.effects
    life.give(Spawned(5, 5), after=0.2)
    assert life.effects[-1] is Signal.TERM
    assert life.instance.kill_at == pytest.approx(life.now + LIMITS.kill_delay_s())


def test_a_second_drain_does_not_move_the_kill() -> None:
    life = Life().up().give(DrainRequested())
    first = life.instance.kill_at
    assert life.give(DrainRequested(), after=2.0).instance.kill_at == first
    assert life.effects.count(Signal.TERM) == 1


def test_a_drain_ends_the_tries_of_one_that_crashes() -> None:
    life = Life().up().give(Exited(1), DrainRequested())
    assert (life.instance.phase, life.instance.retry_at) == (Phase.STOPPED, 0.0)
    assert life.give(Tick(), after=100).effects == [Spawn(1)]


def test_only_a_running_one_reloads() -> None:
    assert Life().up().give(ReloadRequested()).effects[-1] is Signal.HUP
    with pytest.raises(InvalidPhaseError, match="stopped"):
        Life().give(ReloadRequested())


def test_a_slow_start_and_a_lost_answer_are_silence() -> None:
    slow = Life().give(StartRequested(), Spawned(1, 1)).give(Tick(), after=LIMITS.start_timeout_s + 0.1)
    assert slow.word == "silent"
    assert slow.give(Answered(True)).word == "ready"
    assert Life().up().give(Tick(), after=3.1).word == "silent"


EVENTS: tuple[Event, ...] = (
    StartRequested(), DrainRequested(), DrainRequested(True), Spawned(9, 9), SpawnFailed("no"),
    Answered(True),
    Answered(False), Exited(0), Exited(137), Tick(),
)  # fmt: skip
FEW = Limits(max_crashes=2)


def explore(instance: Instance, now: float, running: bool, told: float, left: int, seen: set[Phase]) -> int:
    """Every order of so many further events; how many steps that were."""
    seen.add(instance.phase)
    assert (instance.phase in LIVE_PHASES) == running, instance
    if instance.phase in (Phase.WAITING, Phase.STARTING, Phase.READY, Phase.UNREADY):
        assert next_tick_at(instance, FEW) is not None
    steps = 0
    for event in EVENTS if left else ():
        if isinstance(event, Exited) and not instance.pid:
            continue  # no process, no end of one
        if isinstance(event, Spawned | SpawnFailed) and (not running or instance.pid):
            continue
        later, terminated = now + 2.5, told
        after, effects = handle(instance, event, later, FEW)
        up = running and not isinstance(event, Exited | SpawnFailed)
        for effect in effects:
            if isinstance(effect, Spawn):
                assert not up, "two processes at once"
                up = True
            if effect is Signal.TERM:
                terminated = later
            if effect is Signal.KILL:
                assert later - terminated >= 4.7, "killed too soon"
        steps += 1 + explore(after, later, up, terminated, left - 1, seen)
    return steps


def test_every_order_of_six_events_keeps_the_promises() -> None:
    """No second process beside a first, no kill too soon, a time due wherever only time can go on."""
    seen: set[Phase] = set()
    assert explore(Instance("g1"), 1000.0, False, 0.0, 6, seen) > 50_000
    assert seen == set(Phase)


def test_one_that_says_it_takes_nothing_is_not_ready() -> None:
    # Somebody else's SIGTERM: it drains, and its agent was not asked.
    life = Life().up().give(Answered(False))
    assert life.word == "unready"
    assert life.give(Answered(True)).word == "ready"
