"""Duties: the holder's rights by its own clock, the leader's desk, and drawn schedules."""

from __future__ import annotations

import msgspec
import pytest

from latchspoke.console import lab
from latchspoke.duties.coordinator import DutyCoordinator
from latchspoke.duties.holder import DutyHolder
from latchspoke.duties.machine import DutiesMachine
from latchspoke.duties.records import (
    Candidate,
    Command,
    Define,
    Grant,
    Heartbeat,
    HeartbeatReply,
    HeldDuty,
    Move,
    Release,
    Remove,
    Rule,
    TenureEnd,
)
from latchspoke.lab.schedules import changes, check, faults, rule_changes
from latchspoke.lab.schedules.world import Setup

DRIFT = 0.05


def answer(holder: DutyHolder, beat: Heartbeat, *held: HeldDuty) -> HeartbeatReply:
    return HeartbeatReply(holder.candidate.identity, beat.number, held, 10.0)


@pytest.fixture
def holder() -> DutyHolder:
    return DutyHolder(Candidate("g1", "a"))


def test_a_right_counts_from_before_the_question(holder: DutyHolder) -> None:
    beat = holder.heartbeat(100.0)
    holder.handle_reply(answer(holder, beat, HeldDuty("census", 4, 10.0)), 107.0)
    assert holder.token("census", 107.9) == 4
    assert holder.duties_to_stop(108.0) == ["census"]
    assert holder.token("census", 109.9) == 4, "it may still end what it does"
    assert holder.token("census", 110.0) is None


def test_whoever_wants_all_of_a_grant_to_stop_in_gets_half_of_it() -> None:
    holder = DutyHolder(Candidate("g1", "a"), stop_time_s=2.0)
    beat = holder.heartbeat(100.0)
    assert holder.handle_reply(answer(holder, beat, HeldDuty("census", 4, 2.0)), 100.1) == ["census"]
    assert holder.duties_to_stop(100.9) == [] and holder.duties_to_stop(101.0) == ["census"]


def test_an_answer_that_came_too_late_gives_nothing_and_is_given_back(holder: DutyHolder) -> None:
    beat = holder.heartbeat(100.0)
    assert holder.handle_reply(answer(holder, beat, HeldDuty("census", 4, 10.0)), 109.0) == []
    assert holder.heartbeat(109.5).released == {"census": 4}


def test_what_was_stopped_is_told_until_the_members_know(holder: DutyHolder) -> None:
    first = holder.heartbeat(0.0)
    holder.handle_reply(answer(holder, first, HeldDuty("census", 1, 10.0)), 0.1)
    early = holder.heartbeat(1.0)
    holder.mark_stopped("census")
    told = holder.heartbeat(2.0)
    holder.handle_reply(answer(holder, early), 2.1)
    assert holder.heartbeat(2.5).released == {"census": 1}, "that answer knew nothing of the end"
    holder.handle_reply(answer(holder, told, HeldDuty("census", 1, 10.0)), 2.6)
    assert holder.token("census", 2.6) is None
    last = holder.heartbeat(3.0)
    holder.handle_reply(answer(holder, last), 3.1)
    assert holder.heartbeat(3.5).released == {}


def test_answers_out_of_order_never_shorten_or_revive(holder: DutyHolder) -> None:
    one, two = holder.heartbeat(0.0), holder.heartbeat(5.0)
    holder.handle_reply(answer(holder, two, HeldDuty("census", 1, 10.0)), 5.1)
    holder.handle_reply(answer(holder, one, HeldDuty("census", 1, 10.0)), 5.2)
    assert holder.token("census", 14.9) == 1
    holder.handle_reply(answer(holder, two, HeldDuty("census", 1, 10.0)), 20.0)
    assert holder.token("census", 20.0) is None


class Board:
    """A desk whose commands are committed at once."""

    def __init__(self, *rules: Rule) -> None:
        self.machine = DutiesMachine()
        self.desk = DutyCoordinator(self.machine, DRIFT)
        self.desk.become_leader(0.0)
        self.numbers: dict[str, int] = {}
        for n, rule in enumerate(rules):
            self.commit(Define(f"d{n}", rule), 0.0)

    def commit(self, command: Command, now: float) -> str:
        why = self.machine.apply(0, msgspec.msgpack.encode(command))
        self.desk.command_applied(command, now)
        return why

    def beat(self, who: Candidate, now: float, **released: int) -> HeartbeatReply:
        self.numbers[who.name] = self.numbers.get(who.name, 0) + 1
        beat = Heartbeat(who, self.numbers[who.name], released)
        for command in self.desk.handle_heartbeat(beat, now):
            self.commit(command, now)
        return self.desk.reply(beat, now, now)

    def due(self, now: float) -> list[Command]:
        commands = self.desk.due_commands(now)
        for command in commands:
            self.commit(command, now)
        return commands

    def holders(self) -> list[str]:
        states = self.machine.duties.values()
        return [s.tenure.holder if s.tenure is not None and s.held else "" for s in states]


def test_a_successor_waits_out_the_last_word_by_the_slowest_clock() -> None:
    board, (one, two) = Board(Rule(10.0)), (Candidate("g1", "a"), Candidate("g2", "b"))
    board.beat(one, 0.0)
    board.due(0.0)
    board.beat(one, 4.0)
    end = 4.0 + 10.0 * (1 + DRIFT) / (1 - DRIFT)
    board.beat(two, end - 0.1)
    assert board.due(end - 0.01) == []
    assert board.due(end) == [Grant("d0", two.identity, 1, True)]


def test_a_new_leader_waits_a_whole_grant_from_its_election() -> None:
    board, two = Board(Rule(10.0)), Candidate("g2", "b")
    board.beat(Candidate("g1", "a"), 0.0)
    board.due(0.0)
    board.desk.become_leader(50.0)
    board.beat(two, 59.0)
    assert board.due(61.0) == []
    assert board.due(61.1) == [Grant("d0", two.identity, 1, True)]


def test_a_shorter_rule_does_not_shorten_what_was_granted() -> None:
    board, two = Board(Rule(10.0)), Candidate("g2", "b")
    board.beat(Candidate("g1", "a"), 0.0)
    board.due(0.0)
    board.commit(Define("d0", Rule(1.0)), 1.0)
    board.desk.become_leader(1.0)
    board.beat(two, 10.9)
    assert board.due(11.0) == []


def test_a_tenure_that_is_being_followed_is_not_renewed() -> None:
    """Its holder is back just while its successor is being committed."""
    board, (one, two) = Board(Rule(10.0)), (Candidate("g1", "a"), Candidate("g2", "b"))
    board.beat(one, 0.0)
    board.due(0.0)
    board.beat(two, 12.0)
    grant = board.desk.due_commands(12.0)
    assert grant == [Grant("d0", two.identity, 1, True)]
    held = board.beat(one, 12.01).held
    assert [(right.length, right.give_up) for right in held] == [(0.0, True)]


def test_a_hand_over_takes_the_holders_word_and_then_no_wait() -> None:
    board, (one, two) = Board(Rule(10.0)), (Candidate("g1", "a"), Candidate("g2", "b"))
    board.beat(one, 0.0)
    board.due(0.0)
    board.beat(two, 0.5)
    board.commit(Move("d0", "g2"), 0.6)
    assert board.due(0.7) == []
    assert [held.give_up for held in board.beat(one, 0.8).held] == [True]
    board.beat(one, 0.9, d0=1)
    assert board.due(0.95) == [Grant("d0", two.identity, 1)]
    assert board.machine.duties["d0"].past[-1].why is TenureEnd.RELEASED


def test_a_move_to_nobody_that_lives_changes_nothing() -> None:
    board, one = Board(Rule(10.0)), Candidate("g1", "a")
    board.beat(one, 0.0)
    board.due(0.0)
    board.commit(Move("d0", "g9"), 0.1)
    assert [held.give_up for held in board.beat(one, 0.2).held] == [False]


def test_twenty_duties_of_one_that_dies_are_spread_over_the_others() -> None:
    board = Board(*[Rule(10.0)] * 20)
    board.beat(Candidate("g0", "x"), 0.0)
    board.due(0.0)
    assert set(board.holders()) == {"g0#x"}
    for n in range(1, 5):
        board.beat(Candidate(f"g{n}", "x"), 11.0)
    board.due(11.2)
    assert sorted(board.holders().count(f"g{n}#x") for n in range(1, 5)) == [5, 5, 5, 5]


def test_one_that_flaps_is_passed_over_and_takes_nothing_back() -> None:
    board, (one, two) = Board(Rule(10.0)), (Candidate("g1", "a"), Candidate("g2", "b"))
    board.beat(one, 0.0)
    board.due(0.0)
    board.beat(Candidate("g1", "c"), 11.0)
    board.beat(two, 11.0)
    board.due(11.2)
    assert board.holders() == [two.identity]
    board.beat(Candidate("g1", "c"), 12.0)
    assert board.due(12.1) == [] and board.holders() == [two.identity]


def test_nobody_eligible_is_known_and_nobody_gets_it() -> None:
    board = Board(Rule(10.0, names=("a*",), zones=("b1",)))
    board.beat(Candidate("g1", "a", zone="b1"), 0.0)
    board.beat(Candidate("a1", "a", zone="b2"), 0.0)
    assert board.due(0.1) == [] and board.holders() == [""]


def test_a_dead_holders_duty_without_a_successor_ends_on_record() -> None:
    board = Board(Rule(10.0))
    board.beat(Candidate("g1", "a"), 0.0)
    board.due(0.0)
    assert board.due(30.0) == [Release("d0", 1, TenureEnd.EXPIRED)]
    assert board.holders() == [""]


def test_tokens_grow_over_removal_and_a_snapshot() -> None:
    board, one = Board(Rule(10.0)), Candidate("g1", "a")
    board.beat(one, 0.0)
    board.due(0.0)
    board.commit(Remove("d0"), 0.1)
    assert [held.give_up for held in board.beat(one, 0.2).held] == [True]
    board.beat(one, 0.3, d0=1)
    copy = DutiesMachine()
    copy.load(board.machine.dump())
    assert copy.duties == board.machine.duties
    board.commit(Define("d0", Rule(10.0)), 0.4)
    board.due(0.5)
    assert board.machine.duties["d0"].token == 2


def test_commands_that_no_longer_fit_say_why() -> None:
    board = Board(Rule(10.0))
    assert "no duty" in board.commit(Remove("d9"), 0.0)
    assert "last token" in board.commit(Grant("d0", "g1#a", 7), 0.0)
    assert "does not hold" in board.commit(Release("d0", 3), 0.0)


@pytest.mark.parametrize(("members", "holders", "seeds"), [(1, 2, 8), (3, 5, 40), (5, 12, 10)])
def test_drawn_schedules_of_faults(members: int, holders: int, seeds: int) -> None:
    for seed in range(seeds):
        verdict, schedule = check.explore(Setup(members, holders), seed)
        assert not verdict.wrong, (seed, verdict.wrong, [str(fault) for fault in schedule])
        assert verdict.acts > 500


# A seed at which the check finds the change; all were found by `latchspoke lab schedules --change NAME`.
FOUND = {
    "checked-on-a-timer-only": 28,
    "command-done-again": 1,
    "empty-disk-under-the-old-identity": 64,
    "entries-not-synced": 2,
    "hand-over-unasked": 2,
    "no-wait-after-an-election": 5,
    "read-without-a-majority": 22,
    "shorter-rule-shortens-grants": 16,
    "time-of-day": 16,
    "token-in-memory": 144,
    "vote-for-a-shorter-log": 6,
    "vote-not-synced": 2,
}
# The same for the rules' versions, with gateways that go by them.
FOUND_BY_GATES = {
    "acknowledged-before-taken-up": 2,
    "any-content-is-taken": 2,
    "counted-from-the-answer": 141,
    "latest-put-wins": 1,
    "old-versions-renewed": 7,
    "read-without-a-majority": 22,
    "rights-by-the-time-of-day": 68,
    "rights-checked-on-a-timer": 28,
}


@pytest.mark.parametrize(
    ("name", "seed", "gates"),
    [(name, seed, 0) for name, seed in FOUND.items()]
    + [(name, seed, 5) for name, seed in FOUND_BY_GATES.items()],
)
def test_the_check_finds_a_guard_taken_out(name: str, seed: int, gates: int) -> None:
    setup = Setup(3, 1, 1, gates=gates) if gates else Setup(3, 5)
    with changes.made(name):
        assert check.fails(setup, seed, faults.draw(setup, seed))
    assert not check.fails(setup, seed, faults.draw(setup, seed))


def test_every_guard_that_can_be_taken_out_has_its_seed() -> None:
    assert {*FOUND, *FOUND_BY_GATES} == set(changes.CHANGES) and set(rule_changes.NAMES) < {*FOUND_BY_GATES}


@pytest.mark.parametrize(("members", "gates", "seeds"), [(3, 5, 6), (5, 12, 1)])
def test_drawn_schedules_of_faults_with_gateways(members: int, gates: int, seeds: int) -> None:
    for seed in range(seeds):
        setup = Setup(members, 1, 1, gates=gates)
        verdict, schedule = check.explore(setup, seed)
        assert not verdict.wrong, (seed, verdict.wrong, [str(fault) for fault in schedule])
        assert verdict.decided > 4000 and verdict.contradicted < 1.0


def test_the_command_names_seed_and_shortest_schedule(capsys: pytest.CaptureFixture[str]) -> None:
    words = ["schedules", "--count", "2", "--seed", "7", "--change", "no-wait-after-an-election"]
    assert lab.main(words) == 1
    assert "acts under" in capsys.readouterr().out
    assert lab.main(["schedules", "--change", "nothing"]) == 2
