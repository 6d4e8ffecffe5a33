"""Guards of the register taken out on purpose: drawn schedules that find none of them show nothing.

``python -m latchspoke.configstore.guards`` says of each by which seed it is found. For drills and tests; no
process of the system loads it.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

import msgspec

from latchspoke.configstore import voters
from latchspoke.configstore.drills import Play
from latchspoke.configstore.messages import Proof, Told
from latchspoke.configstore.orders import TAKEN, Command, Orders, Verdict
from latchspoke.configstore.register import Register, Waits, founding
from latchspoke.configstore.simulation import Disk, World, patch
from latchspoke.consensus.member import HANDLERS, Member, Output
from latchspoke.consensus.records import Entry, Members, Snapshot

Patch = tuple[Any, str, Any]  # class or module, name, what stands there without the guard


@dataclass(frozen=True, slots=True)
class Guard:
    """What is taken out, and the scene that brings out what it is for ('': the schedules as they are)."""

    patches: tuple[Patch, ...]
    scene: str = ""
    covered: str = ""  # by what else, so that it is not found alone


SAVE, CONFIGURE, EMPTY, ON_ASK = Disk.save, Orders.configure, World.empty, Register.on_ask
START, CARRY_OUT, PROVE, CAMPAIGN = World.start, Register.carry_out, Register.prove, Member.start_election
INIT, MEMBER, STORED = Register.__init__, Member.__init__, Register.stored


def forget_votes(disk: Disk, output: Output) -> None:
    output.hard_state = None
    SAVE(disk, output)


def any_base(orders: Orders, index: int, command: Command) -> str:
    return CONFIGURE(orders, index, {**command, "base": orders.version})


def forget_history(orders: Orders, index: int, command: Command) -> str:
    orders.history.clear()
    return CONFIGURE(orders, index, command)


def forget_refusals(orders: Orders, index: int, command: Command) -> str:
    orders.refused.clear()
    return CONFIGURE(orders, index, command)


def any_version(orders: Orders, index: int, command: Command) -> str:
    """Also one that is not above the one in force."""
    version = orders.version
    if command["base"] != version or command["version"] > version:
        return CONFIGURE(orders, index, command)
    orders.version = -1
    try:
        return CONFIGURE(orders, index, {**command, "base": -1})
    finally:
        if orders.version == -1:
            orders.version = version


def any_time(orders: Orders, index: int, command: Command, out: bool) -> str:
    return MOVE(orders, index, {**command, "after": index}, out)


MOVE = Orders.move


def no_turn(register: Register, name: str, number: int, patient: bool = False) -> None:
    index = register.member.commit_index if register.leads else -1
    register.reply(name, Proof(number, index))


def same_identity(world: World, name: str, first: bool = False) -> None:
    EMPTY(world, name, first)
    if not first:
        world.disks[name] = Disk(f"{name}#first", founding(world.seeds, Orders(patch)))


def forget_entries(disk: Disk, output: Output) -> None:
    output.first_index = 0
    SAVE(disk, output)


def less_than_a_majority(member: Member, now: float) -> None:
    commit(member, now, 2, own=True)


def any_term(member: Member, now: float) -> None:
    commit(member, now, 1, own=False)


def commit(member: Member, now: float, less: int, own: bool) -> None:
    matches = {name: peer.match_index for name, peer in member.peers.items()} | {
        member.identity: member.log.last_index
    }
    found = sorted((matches.get(name, 0) for name in member.members.voters), reverse=True)
    index = found[max(member.members.majority - less, 0)] if found else 0
    if index > member.commit_index and (not own or member.log.term_at(index) == member.term):
        member.commit_index = index
        member.confirm_reads()
        member.broadcast(now)


def old_state(register: Register, snapshot: Snapshot) -> None:
    register.applied = snapshot.index


def too_soon(register: Register, name: str, number: int, command: Command) -> None:
    ON_ASK(register, name, number, command)
    if (name, number) in register.at_work:
        register.reply(name, Told(number, Verdict(TAKEN)))


def twice(register: Register, name: str, number: int, command: Command) -> None:
    register.at_work.discard((name, number))
    ON_ASK(register, name, number, command)


def anybodys_entry(register: Register, entry: Entry) -> None:
    placed = register.placed.get(entry.index)
    if placed is not None:
        placed.term = entry.term
    CARRY_OUT(register, entry)


def unapplied(register: Register) -> None:
    waits, register.waits = register.waits, []
    for ticket in [ticket for wait in waits for ticket in wait.tickets]:
        register.settle(ticket, register.applied)


def any_proof(register: Register, number: int, index: int) -> None:
    if register.question is None:
        return
    tickets, register.question = register.question.tickets, None
    if index < 0:
        register.queue, register.prove_at = tickets + register.queue, register.now + 0.05
        return
    register.waits.append(Waits(index, tickets))
    register.release()


def joins(register: Register, leader: str) -> None:
    """A question that is under way is taken for later callers, too."""
    if register.question is not None and register.question.to == leader:
        register.question.tickets += register.queue
        register.queue = []
    PROVE(register, leader)


def stale_is_final(register: Register, number: int, verdict: Verdict) -> None:
    if register.calls.pop(number, None) is not None:
        register.answers.append((number, verdict))


def ever_the_same_numbers(register: Register, *given: Any, **named: Any) -> None:
    INIT(register, *given, **named)
    register.number = 0


def newcomers_vote(old: Members, newcomers: Iterable[voters.Newcomer]) -> Members | None:
    """A newcomer votes before it has caught up."""
    wanted = ADMIT(old, list(newcomers)[:1])
    if wanted is None:
        return None
    return msgspec.structs.replace(
        wanted, voters=wanted.voters + wanted.non_voters[-1:], non_voters=wanted.non_voters[:-1]
    )


ADMIT = voters.admit


def any_log(member: Member, message: Any, now: float) -> None:
    last = message.last_index, message.last_term
    ON_VOTE_REQUEST(member, msgspec.structs.replace(message, last_term=1 << 40, last_index=last[0]), now)


ON_VOTE_REQUEST = Member.on_vote_request


def two_votes(member: Member, message: Any, now: float) -> None:
    member.hard_state = msgspec.structs.replace(member.hard_state, vote="")
    ON_VOTE_REQUEST(member, message, now)


def unsettled_reads(member: Member) -> None:
    for turn in sorted(member.reads_by_round):
        heard = {name for name, peer in member.peers.items() if peer.acked_round >= turn}
        if not member.members.has_quorum(heard | {member.identity}):
            break
        member.output.confirmed_reads += [
            (read.read_id, read.read_index) for read in member.reads_by_round.pop(turn)
        ]


def reads_what_it_knows(member: Member, ident: int, now: float, patient: bool = False) -> None:
    elected, member.term_start_index = member.term_start_index, 0
    READ(member, ident, now, patient)
    member.term_start_index = elected


READ = Member.request_read


def all_is_committed(member: Member, message: Any, now: float) -> None:
    ON_APPEND(member, message, now)
    member.commit_index = max(member.commit_index, min(message.commit, member.log.last_index))


ON_APPEND = Member.on_append


def an_old_disk_votes(member: Member, *given: Any, **named: Any) -> None:
    MEMBER(member, *given, **named)
    member.boot_unverified = False


def starts_alike(member: Member, message: Any, now: float) -> None:
    """What a sender's earlier start has said counts as well."""
    member.known_boots.pop(message.source, None)
    RECEIVE(member, message, now)


RECEIVE = Member.receive


def promoted_at_once(register: Register, identity: str, now: float) -> bool:
    return True


def keeps_what_was_placed(register: Register, output: Output, now: float) -> None:
    """Who leads no more doesn't let go of what it has proposed."""
    placed = dict(register.placed)
    STORED(register, output, now)
    if not register.leads:
        for index, item in placed.items():
            if index > register.applied:
                register.placed[index] = item


def keeps_acknowledged(member: Member, message: Any, now: float) -> None:
    """What a member had before its start still counts after it."""
    peer = member.peers.get(message.source)
    if peer is not None and peer.boot:
        peer.boot = message.boot
    ON_APPEND_REPLY(member, message, now)


ON_APPEND_REPLY = Member.on_append_reply

GUARDS: dict[str, Guard] = {
    "votes-synced": Guard(((Disk, "save", forget_votes),)),
    "entries-synced": Guard(((Disk, "save", forget_entries),)),
    "base": Guard(((Orders, "configure", any_base),)),
    "history": Guard(((Orders, "configure", forget_history),)),
    "refusals": Guard(((Orders, "configure", forget_refusals),), "ahead"),
    "version": Guard(((Orders, "configure", any_version),), "low"),
    "after": Guard(((Orders, "move", any_time),), "held_up"),
    "turn": Guard(((Register, "on_prove", no_turn),)),
    "told-once-applied": Guard(((Register, "on_ask", too_soon),)),
    "at-work": Guard(
        ((Register, "on_ask", twice),), "held_up", "history, refusals and after: a second entry"
    ),
    "own-entry": Guard(((Register, "carry_out", anybodys_entry),), "handed_over", "let-go"),
    "let-go": Guard(((Register, "stored", keeps_what_was_placed),), "handed_over", "own-entry"),
    "own-entry and let-go": Guard(
        ((Register, "carry_out", anybodys_entry), (Register, "stored", keeps_what_was_placed)), "handed_over"
    ),
    "applied": Guard(((Register, "release", unapplied),)),
    "proof-number": Guard(((Register, "on_proof", any_proof),), "asked_again"),
    "later-callers": Guard(((Register, "prove", joins),), "asked_again"),
    "stale": Guard(((Register, "on_told", stale_is_final),), "behind"),
    "numbers": Guard(((Register, "__init__", ever_the_same_numbers),), "reborn"),
    "guest": Guard(((voters, "admit", newcomers_vote),)),
    "caught-up": Guard(((Register, "caught_up", promoted_at_once),), "", "majority: of what it has stored"),
    "identity": Guard(((World, "empty", same_identity),)),
    "majority": Guard(((Member, "advance_commit_index", less_than_a_majority),)),
    "own-term": Guard(((Member, "advance_commit_index", any_term),), "old_entries"),
    "restored": Guard(((Register, "restore", old_state),)),
    "whole-log": Guard(((Member, "on_vote_request", any_log),)),
    "one-vote": Guard(((Member, "on_vote_request", two_votes),)),
    "settled-reads": Guard(((Member, "confirm_reads", unsettled_reads),), "handed_over", "read-index"),
    "read-index": Guard(((Member, "request_read", reads_what_it_knows),)),
    "leader-commit": Guard(((Member, "on_append", all_is_committed),)),
    "old-disk": Guard(((Member, "__init__", an_old_disk_votes),), "old_copy"),
    "boots": Guard(((Member, "receive", starts_alike),), "old_copy"),
    "match-by-boot": Guard(
        ((Member, "on_append_reply", keeps_acknowledged),), "old_copy", "boots: what is synced is never less"
    ),
}


@contextlib.contextmanager
def without(guard: Guard) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for owner, name, other in guard.patches:
            handled = {kind: other for kind, call in HANDLERS.items() if call is getattr(owner, name)}
            stack.enter_context(mock.patch.dict(HANDLERS, handled))
            stack.enter_context(mock.patch.object(owner, name, other))
        yield


def found(guard: Guard, seeds: range) -> tuple[int, str] | None:
    """The first of these by which it is missed, and what broke."""
    with without(guard):
        for seed in seeds:
            try:
                Play(seed, scene=guard.scene).run()
            except AssertionError as e:
                return seed, str(e)
    return None


if __name__ == "__main__":
    for name, guard in GUARDS.items():
        seed = found(guard, range(60))
        what = f"seed={seed[0]} broken={seed[1]!r}" if seed else f"not found; covered by {guard.covered}"
        print(f"guard={name!r} scene={guard.scene!r} {what}", flush=True)
