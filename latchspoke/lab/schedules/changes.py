"""Guards taken out on purpose, one at a time: a checker that finds none of them shows nothing.

Each is what somebody could have written in good faith. None is reachable from a program that serves.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import msgspec

from latchspoke.consensus.member import Member
from latchspoke.consensus.records import AnyMessage, VoteRequest
from latchspoke.consensus.state_machines import CommandResult, StateMachines
from latchspoke.duties.coordinator import DutyCoordinator
from latchspoke.duties.holder import DutyHolder, DutyLease
from latchspoke.duties.machine import DutiesMachine
from latchspoke.duties.records import Command, DutyState, Grant, Rule, TenureEnd
from latchspoke.lab.schedules.world import Actor, Disk, Host, Process

Change = tuple[type, str, Any]  # the class, its attribute, and what stands in its place
CHANGES: dict[str, list[Change]] = {}


def change(owner: type, name: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Registers what stands in the place of ``owner.name``, under its own name."""

    def register(made: Callable[..., Any]) -> Callable[..., Any]:
        CHANGES[made.__name__.replace("_", "-")] = [(owner, name, made)]
        return made

    return register


@contextlib.contextmanager
def made(name: str) -> Iterator[None]:
    """The change is in force within."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in CHANGES[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield


@change(Disk, "sync")
def vote_not_synced(disk: Disk) -> None:
    disk.safe = disk.safe[0], disk.snapshot, disk.entries, disk.boot


@change(Disk, "lose")
def entries_not_synced(disk: Disk) -> None:
    """The last of them are lost with the process, as if they had only been written."""
    disk.hard_state, disk.snapshot, entries, disk.boot = disk.safe
    disk.entries = entries[:-2]


@change(DutyCoordinator, "expiry")
def no_wait_after_an_election(desk: DutyCoordinator, duty: str, state: DutyState) -> float:
    return desk.expiries.get(duty, desk.elected_at)


@change(Actor, "now")
def time_of_day(actor: Actor) -> float:
    return Process.now(actor) + actor.stepped


@change(DutiesMachine, "grant")
def token_in_memory(machine: DutiesMachine, command: Grant, state: DutyState) -> tuple[str, DutyState]:
    """Counted by each member for itself since its start."""
    count = machine.__dict__.get("count", 0) + 1
    machine.__dict__["count"] = count
    why, state = GRANT(machine, command, state)
    if why or state.tenure is None:
        return why, state
    tenure = msgspec.structs.replace(state.tenure, token=count)
    return "", msgspec.structs.replace(state, token=count, tenure=tenure)


GRANT = DutiesMachine.grant


@change(DutyCoordinator, "due_commands")
def hand_over_unasked(desk: DutyCoordinator, now: float) -> list[Command]:
    """The next one begins before the holder has said that it has stopped."""
    commands: list[Command] = []
    for duty, state in desk.machine.duties.items():
        names = [seen.candidate.name for seen in desk.live_candidates(duty, state, now)]
        wanted = state.wanted in names and state.tenure is not None
        if wanted and state.held and duty not in desk.pending:
            to = next(
                seen.candidate
                for seen in desk.live_candidates(duty, state, now)
                if seen.candidate.name == state.wanted
            )
            if state.tenure is not None and state.tenure.holder != to.identity:
                commands.append(desk.propose(Grant(duty, to.identity, state.token, True)))
    return commands + DUE(desk, now)


DUE = DutyCoordinator.due_commands


@change(DutyHolder, "is_valid")
def checked_on_a_timer_only(holder: DutyHolder, right: DutyLease, now: float) -> bool:
    return not right.stopping


@change(StateMachines, "record_result")
def command_done_again(machines: StateMachines, ident: str, result: CommandResult) -> None:
    """Asked again, as its answer was lost, it is carried out again."""


@change(Member, "request_read")
def read_without_a_majority(member: Member, ident: int, now: float) -> None:
    member.require_leader()
    member.output.confirmed_reads.append((ident, max(member.commit_index, member.term_start_index)))


@change(Host, "wipe")
def empty_disk_under_the_old_identity(host: Host) -> None:
    host.disk = Disk(host.disk.identity, host.office.member.members)


def shorter_rule_shortens_grants(state: DutyState, rule: Rule) -> DutyState:
    tenure = state.tenure
    if tenure is not None and tenure.why is TenureEnd.HELD:
        tenure = msgspec.structs.replace(tenure, longest=rule.length)
    return msgspec.structs.replace(state, rule=rule, tenure=tenure)


CHANGES["shorter-rule-shortens-grants"] = [
    (DutiesMachine, "define", staticmethod(shorter_rule_shortens_grants))
]


@change(Member, "receive")
def vote_for_a_shorter_log(member: Member, message: AnyMessage, now: float) -> None:
    if isinstance(message, VoteRequest):
        message = msgspec.structs.replace(message, last_index=1 << 40, last_term=1 << 40)
    RECEIVE(member, message, now)


RECEIVE = Member.receive
