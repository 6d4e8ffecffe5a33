"""Duties: the holder's leases, the leader's coordinator, and simulated fault schedules."""

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


def answer(holder: DutyHolder, heartbeat: Heartbeat, *held: HeldDuty) -> HeartbeatReply:
    return HeartbeatReply(holder.candidate.identity, heartbeat.number, held, 10.0)


@pytest.fixture
def holder() -> DutyHolder:
    return DutyHolder(Candidate("g1", "a"))


def test_lease_starts_when_the_heartbeat_was_sent(holder: DutyHolder) -> None:
    heartbeat = holder.heartbeat(100.0)
    holder.handle_reply(answer(holder, heartbeat, HeldDuty("census", 4, 10.0)), 107.0)
    assert holder.token("census", 107.9) == 4
    assert holder.duties_to_stop(108.0) == ["census"]
    assert holder.token("census", 109.9) == 4, "it may still finish its work"
    assert holder.token("census", 110.0) is None


def test_stop_time_is_limited_to_half_a_lease() -> None:
    holder = DutyHolder(Candidate("g1", "a"), stop_time_s=2.0)
    heartbeat = holder.heartbeat(100.0)
    assert holder.handle_reply(answer(holder, heartbeat, HeldDuty("census", 4, 2.0)), 100.1) == ["census"]
    assert holder.duties_to_stop(100.9) == [] and holder.duties_to_stop(101.0) == ["census"]


def test_late_reply_grants_nothing_and_is_released(holder: DutyHolder) -> None:
    heartbeat = holder.heartbeat(100.0)
    assert holder.handle_reply(answer(holder, heartbeat, HeldDuty("census", 4, 10.0)), 109.0) == []
    assert holder.heartbeat(109.5).released == {"census": 4}


def test_release_is_repeated_until_acknowledged(holder: DutyHolder) -> None:
    initial = holder.heartbeat(0.0)
    holder.handle_reply(answer(holder, initial, HeldDuty("census", 1, 10.0)), 0.1)
    early = holder.heartbeat(1.0)
    holder.mark_stopped("census")
    releasing = holder.heartbeat(2.0)
    holder.handle_reply(answer(holder, early), 2.1)
    assert holder.heartbeat(2.5).released == {"census": 1}, (
        "that reply answers a heartbeat from before the release"
    )
    holder.handle_reply(answer(holder, releasing, HeldDuty("census", 1, 10.0)), 2.6)
    assert holder.token("census", 2.6) is None
    final = holder.heartbeat(3.0)
    holder.handle_reply(answer(holder, final), 3.1)
    assert holder.heartbeat(3.5).released == {}


def test_reordered_replies_never_shorten_or_revive_a_lease(holder: DutyHolder) -> None:
    first, second = holder.heartbeat(0.0), holder.heartbeat(5.0)
    holder.handle_reply(answer(holder, second, HeldDuty("census", 1, 10.0)), 5.1)
    holder.handle_reply(answer(holder, first, HeldDuty("census", 1, 10.0)), 5.2)
    assert holder.token("census", 14.9) == 1
    holder.handle_reply(answer(holder, second, HeldDuty("census", 1, 10.0)), 20.0)
    assert holder.token("census", 20.0) is None


class Leader:
    """A coordinator whose commands are applied at once."""

    def __init__(self, *rules: Rule) -> None:
        self.machine = DutiesMachine()
        self.coordinator = DutyCoordinator(self.machine, DRIFT)
        self.coordinator.become_leader(0.0)
        self.heartbeat_numbers: dict[str, int] = {}
        for index, rule in enumerate(rules):
            self.commit(Define(f"d{index}", rule), 0.0)

    def commit(self, command: Command, now: float) -> str:
        reason = self.machine.apply(0, msgspec.msgpack.encode(command))
        self.coordinator.command_applied(command, now)
        return reason

    def heartbeat(self, candidate: Candidate, now: float, **released: int) -> HeartbeatReply:
        self.heartbeat_numbers[candidate.name] = self.heartbeat_numbers.get(candidate.name, 0) + 1
        heartbeat = Heartbeat(candidate, self.heartbeat_numbers[candidate.name], released)
        for command in self.coordinator.handle_heartbeat(heartbeat, now):
            self.commit(command, now)
        return self.coordinator.reply(heartbeat, now, now)

    def due(self, now: float) -> list[Command]:
        commands = self.coordinator.due_commands(now)
        for command in commands:
            self.commit(command, now)
        return commands

    def holders(self) -> list[str]:
        duty_states = self.machine.duties.values()
        return [
            state.tenure.holder if state.tenure is not None and state.held else "" for state in duty_states
        ]


def test_successor_waits_for_expiry_by_the_slowest_clock() -> None:
    leader, (first, second) = Leader(Rule(10.0)), (Candidate("g1", "a"), Candidate("g2", "b"))
    leader.heartbeat(first, 0.0)
    leader.due(0.0)
    leader.heartbeat(first, 4.0)
    end = 4.0 + 10.0 * (1 + DRIFT) / (1 - DRIFT)
    leader.heartbeat(second, end - 0.1)
    assert leader.due(end - 0.01) == []
    assert leader.due(end) == [Grant("d0", second.identity, 1, True)]


def test_new_leader_waits_one_lease_from_its_election() -> None:
    leader, second = Leader(Rule(10.0)), Candidate("g2", "b")
    leader.heartbeat(Candidate("g1", "a"), 0.0)
    leader.due(0.0)
    leader.coordinator.become_leader(50.0)
    leader.heartbeat(second, 59.0)
    assert leader.due(61.0) == []
    assert leader.due(61.1) == [Grant("d0", second.identity, 1, True)]


def test_shorter_rule_does_not_shorten_granted_leases() -> None:
    leader, second = Leader(Rule(10.0)), Candidate("g2", "b")
    leader.heartbeat(Candidate("g1", "a"), 0.0)
    leader.due(0.0)
    leader.commit(Define("d0", Rule(1.0)), 1.0)
    leader.coordinator.become_leader(1.0)
    leader.heartbeat(second, 10.9)
    assert leader.due(11.0) == []


def test_tenure_with_a_proposed_successor_is_not_renewed() -> None:
    """The holder returns while the grant to its successor is proposed but not committed."""
    leader, (first, second) = Leader(Rule(10.0)), (Candidate("g1", "a"), Candidate("g2", "b"))
    leader.heartbeat(first, 0.0)
    leader.due(0.0)
    leader.heartbeat(second, 12.0)
    grant = leader.coordinator.due_commands(12.0)
    assert grant == [Grant("d0", second.identity, 1, True)]
    held = leader.heartbeat(first, 12.01).held
    assert [(right.length, right.give_up) for right in held] == [(0.0, True)]


def test_move_waits_for_the_release_only() -> None:
    leader, (first, second) = Leader(Rule(10.0)), (Candidate("g1", "a"), Candidate("g2", "b"))
    leader.heartbeat(first, 0.0)
    leader.due(0.0)
    leader.heartbeat(second, 0.5)
    leader.commit(Move("d0", "g2"), 0.6)
    assert leader.due(0.7) == []
    assert [held.give_up for held in leader.heartbeat(first, 0.8).held] == [True]
    leader.heartbeat(first, 0.9, d0=1)
    assert leader.due(0.95) == [Grant("d0", second.identity, 1)]
    assert leader.machine.duties["d0"].past[-1].why is TenureEnd.RELEASED


def test_move_to_an_absent_candidate_has_no_effect() -> None:
    leader, first = Leader(Rule(10.0)), Candidate("g1", "a")
    leader.heartbeat(first, 0.0)
    leader.due(0.0)
    leader.commit(Move("d0", "g9"), 0.1)
    assert [held.give_up for held in leader.heartbeat(first, 0.2).held] == [False]


def test_duties_of_a_failed_holder_are_spread_evenly() -> None:
    leader = Leader(*[Rule(10.0)] * 20)
    leader.heartbeat(Candidate("g0", "x"), 0.0)
    leader.due(0.0)
    assert set(leader.holders()) == {"g0#x"}
    for index in range(1, 5):
        leader.heartbeat(Candidate(f"g{index}", "x"), 11.0)
    leader.due(11.2)
    assert sorted(leader.holders().count(f"g{index}#x") for index in range(1, 5)) == [5, 5, 5, 5]


def test_flapping_candidate_is_avoided() -> None:
    leader, (first, second) = Leader(Rule(10.0)), (Candidate("g1", "a"), Candidate("g2", "b"))
    leader.heartbeat(first, 0.0)
    leader.due(0.0)
    leader.heartbeat(Candidate("g1", "c"), 11.0)
    leader.heartbeat(second, 11.0)
    leader.due(11.2)
    assert leader.holders() == [second.identity]
    leader.heartbeat(Candidate("g1", "c"), 12.0)
    assert leader.due(12.1) == [] and leader.holders() == [second.identity]


def test_ineligible_candidates_get_no_duty() -> None:
    leader = Leader(Rule(10.0, names=("a*",), zones=("b1",)))
    leader.heartbeat(Candidate("g1", "a", zone="b1"), 0.0)
    leader.heartbeat(Candidate("a1", "a", zone="b2"), 0.0)
    assert leader.due(0.1) == [] and leader.holders() == [""]


def test_expired_tenure_without_successor_is_ended() -> None:
    leader = Leader(Rule(10.0))
    leader.heartbeat(Candidate("g1", "a"), 0.0)
    leader.due(0.0)
    assert leader.due(30.0) == [Release("d0", 1, TenureEnd.EXPIRED)]
    assert leader.holders() == [""]


def test_tokens_increase_across_removal_and_snapshot() -> None:
    leader, first = Leader(Rule(10.0)), Candidate("g1", "a")
    leader.heartbeat(first, 0.0)
    leader.due(0.0)
    leader.commit(Remove("d0"), 0.1)
    assert [held.give_up for held in leader.heartbeat(first, 0.2).held] == [True]
    leader.heartbeat(first, 0.3, d0=1)
    restored = DutiesMachine()
    restored.load(leader.machine.dump())
    assert restored.duties == leader.machine.duties
    leader.commit(Define("d0", Rule(10.0)), 0.4)
    leader.due(0.5)
    assert leader.machine.duties["d0"].token == 2


def test_stale_commands_are_refused_with_a_reason() -> None:
    leader = Leader(Rule(10.0))
    assert "no duty" in leader.commit(Remove("d9"), 0.0)
    assert "last token" in leader.commit(Grant("d0", "g1#a", 7), 0.0)
    assert "does not hold" in leader.commit(Release("d0", 3), 0.0)


@pytest.mark.parametrize(("members", "holders", "seeds"), [(1, 2, 8), (3, 5, 40), (5, 12, 10)])
def test_random_fault_schedules(members: int, holders: int, seeds: int) -> None:
    for seed in range(seeds):
        verdict, schedule = check.explore(Setup(members, holders), seed)
        assert not verdict.wrong, (seed, verdict.wrong, [str(fault) for fault in schedule])
        assert verdict.acts > 500


# For each mutation, a seed at which the invariant check fails (`latchspoke lab schedules --change NAME`).
FAILING_SEEDS = {
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
# The same for mutations of the rule versions, simulated with gateways.
FAILING_SEEDS_WITH_GATEWAYS = {
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
    ("mutation", "seed", "gateways"),
    [(mutation, seed, 0) for mutation, seed in FAILING_SEEDS.items()]
    + [(mutation, seed, 5) for mutation, seed in FAILING_SEEDS_WITH_GATEWAYS.items()],
)
def test_check_detects_each_mutation(mutation: str, seed: int, gateways: int) -> None:
    setup = Setup(3, 1, 1, gates=gateways) if gateways else Setup(3, 5)
    with changes.made(mutation):
        assert check.fails(setup, seed, faults.draw(setup, seed))
    assert not check.fails(setup, seed, faults.draw(setup, seed))


def test_every_mutation_has_a_failing_seed() -> None:
    assert {*FAILING_SEEDS, *FAILING_SEEDS_WITH_GATEWAYS} == set(changes.CHANGES) and set(
        rule_changes.NAMES
    ) < {*FAILING_SEEDS_WITH_GATEWAYS}


@pytest.mark.parametrize(("members", "gateways", "seeds"), [(3, 5, 6), (5, 12, 1)])
def test_random_fault_schedules_with_gateways(members: int, gateways: int, seeds: int) -> None:
    for seed in range(seeds):
        setup = Setup(members, 1, 1, gates=gateways)
        verdict, schedule = check.explore(setup, seed)
        assert not verdict.wrong, (seed, verdict.wrong, [str(fault) for fault in schedule])
        assert verdict.decided > 4000 and verdict.contradicted < 1.0


def test_command_prints_seed_and_shortest_schedule(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["schedules", "--count", "2", "--seed", "7", "--change", "no-wait-after-an-election"]
    assert lab.main(arguments) == 1
    assert "acts under" in capsys.readouterr().out
    assert lab.main(["schedules", "--change", "nothing"]) == 2
