"""One process's part in the register: a member of the log, the orders on it, and who takes part.

Pure. Messages, calls and the time (monotonic, s) go in; out come what to store, what to send to which name,
and answers to callers. The driver's turn: ``take`` until it gives None; each time store and sync what is to
be stored, then ``stored``, then send ``outbox`` and hand on ``answers``.

A process is named by its inner address, "ip:port". Its identity is that name and a draw, made when its disk
was empty: "first" for the founders, "v-..." for one that came with the whole system's first start, "g-..."
for any other. The leader takes in whoever knocks, as a guest that follows the log; ``voters`` tells who
votes.

``messages`` holds what processes say to one another.
"""

from __future__ import annotations

import contextlib
import math
import random
from collections.abc import Collection, Mapping
from typing import Any

import msgspec

from latchspoke.configstore import messages
from latchspoke.configstore.messages import Ask, Knock, Leads, Leaves, Message, No, Proof, Prove, Raft, Told
from latchspoke.configstore.orders import STALE, UNKNOWN, Command, Orders, Patch, Verdict
from latchspoke.configstore.voters import (
    CATCH_UP,
    FORGET,
    Contacts,
    Newcomer,
    Place,
    View,
    next_members,
)
from latchspoke.consensus.member import ChangeError, Member, NotLeaderError, Output, Role, Timing
from latchspoke.consensus.records import AnyMessage, Entry, Kind, Members, Snapshot, Stored, name_of

TIMING = Timing(
    heartbeat_interval=0.15,
    election_timeout=0.6,
    startup_timeout=0.1,
    eager_commit=True,
    non_voter_interval=0.3,
)
AGAIN = 0.3  # s after which a question without an answer is asked anew
PAUSE = 0.05  # s after a refusal before the next try
KNOCK = 0.3  # s between knocks of one that is not taken in
SILENCE = 1.2  # s without a leader, after which a member knocks too: it may have been taken out unheard
HOPELESS = 0.2  # s that a call waits, at most, where no leader has been known for so long
WISH = 1.0  # s that a knock is good for
COMPACT_ENTRIES = 50
COMPACT_BYTES = 4_000_000
# While a snapshot is on its way to a member, the log is kept up to these: a newer one would have to follow.
HELD_ENTRIES = 1_000
HELD_BYTES = 16_000_000

Sent = tuple[str, Message]  # the name of a process, and what goes there
Answer = Verdict | int | None  # to a submit, and to a confirm


class Call(msgspec.Struct):
    """A caller's command that waits for its verdict."""

    command: Command
    until: float
    to: str = ""  # the leader it was sent to, '' if it is to be sent
    sent_at: float = -math.inf
    hold: int = 0  # all up to here must be applied before it is sent


class Question(msgspec.Struct):
    """One to the leader for a batch of callers: up to which index must be applied here."""

    number: int
    tickets: list[int]
    to: str
    sent_at: float


class Wish(msgspec.Struct):
    """Somebody knocks."""

    identity: str
    until: float


class Placed(msgspec.Struct):
    """A command that this member proposed as leader."""

    term: int
    name: str
    number: int


class Waits(msgspec.Struct):
    """Tickets of confirms, until the index is applied here."""

    index: int
    tickets: list[int] = msgspec.field(default_factory=list)


def founding(founders: Collection[str], orders: Orders) -> Snapshot:
    """What every founder's disk begins with; it stands at index 1, so that others are sent it."""
    return Snapshot(1, 0, Members(tuple(f"{name}#first" for name in sorted(founders))), orders.dump())


def draw_of(me: str, founders: Collection[str], first: bool, token: str) -> str:
    """The draw of a new identity; ``token`` is random."""
    if first:
        return "first" if me in founders else f"v-{token}"
    return f"g-{token}"


class Register:
    """See the module."""

    def __init__(
        self,
        stored: Stored,
        seeds: Collection[str],
        apply_patch: Patch,
        draw: random.Random,
        now: float,
        timing: Timing = TIMING,
        catch_up: float = CATCH_UP,
    ) -> None:
        """``catch_up`` (s): a member that is back, or a successor, counts again after so long."""
        self.now = now
        self.member = Member(stored, timing, draw, now)
        self.me = name_of(stored.identity)
        self.seeds = tuple(seeds)
        self.orders = Orders(apply_patch)
        self.applied = stored.snapshot.index
        self.alive: set[str] = set()
        self.outbox: list[Sent] = []
        self.answers: list[tuple[int, Answer]] = []
        self.changed = False  # the orders did, since the driver last looked
        self.proven = False  # whether a confirm has ever come back to this process
        # Numbers begin by chance: those of an earlier life of this process may still be under way.
        self.number = draw.getrandbits(48)
        self.calls: dict[int, Call] = {}
        self.question: Question | None = None
        self.tickets: dict[int, float] = {}  # confirms and their limits
        self.queue: list[int] = []  # for the next proof
        self.prove_at = -math.inf
        self.urgent: set[int] = set()  # tickets that don't wait for the leader's next beat
        self.waits: list[Waits] = []
        self.placed: dict[int, Placed] = {}  # by index
        self.at_work: set[tuple[str, int]] = set()
        self.reads: dict[int, tuple[str, int]] = {}
        self.wishes: dict[str, Wish] = {}
        self.contacts = Contacts(catch_up)
        self.places: dict[str, Place] = {}  # by name; a process that is gone keeps its own
        self.led_term = 0
        self.knock_at = now
        self.led_at = now  # when a leader was last known
        self.hint = ""  # who leads, by hearsay
        self.bytes = sum(len(entry.body) for entry in stored.entries)
        self.looked = ""  # the leader, when ``heed`` last looked
        self.leaving = False

    # Who leads, and who takes part.

    @property
    def admitted(self) -> bool:
        """Whether this process is a member by its own log."""
        return self.member.identity in self.member.members.all

    @property
    def leader(self) -> str:
        """An identity, or ''."""
        return self.member.leader if self.admitted else self.member.leader or self.hint

    @property
    def leads(self) -> bool:
        """Whether this process is the leader."""
        return self.member.role is Role.LEADER

    @property
    def lost(self) -> bool:
        """Whether no leader has been known for long."""
        return not self.leader and self.now - self.led_at >= SILENCE

    def due(self) -> float:
        """When ``tick`` is next wanted."""
        times = [self.member.next_tick_at()]
        times += [call.until for call in self.calls.values()]
        times += self.tickets.values()
        if self.leader:
            times += [c.sent_at + (AGAIN if c.to else PAUSE) for c in self.calls.values() if self.ready(c)]
            if self.question is not None:
                times.append(self.question.sent_at + AGAIN)
            elif self.queue and self.admitted:
                times.append(self.prove_at)
        if self.member.role is not Role.HALTED:
            if not self.admitted:
                times.append(self.knock_at)
            elif not self.member.leader:
                times.append(max(self.knock_at, self.led_at + SILENCE))
        return min(times)

    # Inputs.

    def tick(self, now: float) -> None:
        """Do what is due by now (s, monotonic)."""
        self.now = now
        self.member.tick(now)
        for number in [n for n, call in self.calls.items() if now >= call.until]:
            del self.calls[number]
            self.answers.append((number, Verdict(UNKNOWN, "no answer in time", self.orders.version)))
        for ticket in [t for t, until in self.tickets.items() if now >= until]:
            self.settle(ticket, None)
        self.knock()
        self.steward()
        self.push()

    def submit(self, command: Command, limit: float, now: float) -> int:
        """The number of the verdict in ``answers``, which comes within ``limit`` (s)."""
        self.now = now
        self.number += 1
        number = self.number
        self.calls[number] = Call(command, now + (min(limit, HOPELESS) if self.lost else limit))
        self.push()
        return number

    def confirm(self, limit: float, now: float, patient: bool = False) -> int:
        """The number of the index in ``answers``: all that was acknowledged before now is applied here.

        None where no majority says so within ``limit`` (s). A patient one costs no messages of its own
        between the leader and the others: it goes with the next beat.
        """
        self.now = now
        self.number += 1
        ticket = self.number
        if not patient:
            self.urgent.add(ticket)
        self.tickets[ticket] = now + (min(limit, HOPELESS) if self.lost else limit)
        self.queue.append(ticket)
        self.push()
        return ticket

    def peers(self, places: Mapping[str, Place], now: float) -> None:
        """The processes of the core that are alive, by name, and where they stand."""
        self.now = now
        self.alive = set(places) - {self.me}
        self.places.update(places)

    def leave(self, now: float) -> bool:
        """Tell all that the vote may go elsewhere, and hand over the lead.

        Whether there was a lead to hand over, and somebody to take it.
        """
        self.now, self.leaving = now, True
        for identity in self.member.other_members():
            self.outbox.append((name_of(identity), Leaves(self.member.identity, self.member.boot)))
        return self.leads and bool(self.member.transfer_leadership(now))

    def give_up(self) -> None:
        """The disk refuses: nothing is known of what waits here."""
        for number in self.calls:
            self.answers.append((number, Verdict(UNKNOWN, "the disk refuses", self.orders.version)))
        self.calls.clear()
        for ticket in list(self.tickets):
            self.settle(ticket, None)

    def heard(self, name: str, message: dict[str, Any], now: float) -> None:
        """From a process. What can't be read is dropped."""
        self.now = now
        try:
            said = messages.read(message)
        except ValueError:
            return
        self.take_in(name, said)
        self.push()

    def take_in(self, name: str, said: Message) -> None:
        """A message, from another process or this one."""
        match said:
            case Raft():
                self.on_raft(said.message)
            case Ask():
                self.on_ask(name, said.question, said.command)
            case Prove():
                self.on_prove(name, said.question, bool(said.patient))
            case Told():
                self.on_told(said.question, said.verdict)
            case No():
                self.on_no(said.question)
            case Proof():
                self.on_proof(said.question, said.index)
            case Knock():
                self.on_knock(name, said.identity)
            case Leads():
                self.on_leads(said.identity)
            case Leaves():
                self.on_leaves(name, said.identity, said.boot)

    # The driver's turn.

    def take(self) -> Output | None:
        """None where there is nothing to do."""
        output = self.member.take_output()
        idle = not (
            output.must_store or output.messages or output.restore or output.committed
            or output.confirmed_reads or output.failed_reads or output.events
        )  # fmt: skip
        return None if idle else output

    def stored(self, output: Output, now: float) -> None:
        """What was to be stored is synced: the rest of it takes effect."""
        self.now = now
        self.bytes += sum(len(entry.body) for entry in output.entries)
        for message in output.messages:
            self.outbox.append((name_of(message.target), Raft(message)))
        if output.restore is not None:
            self.restore(output.restore)
        for entry in output.committed:
            self.carry_out(entry)
        for ident, index in output.confirmed_reads:
            self.say_proof(ident, index)
        for ident in output.failed_reads:
            self.say_proof(ident, -1)
        if not self.leads:
            while self.placed:
                self.let_go(self.placed.popitem()[1])
        if output.committed and self.leads:
            # The others needn't wait for the next beat to learn what is committed.
            self.member.broadcast(now)
        self.release()
        self.steward()
        self.push()

    def compacted(self) -> Snapshot | None:
        """A snapshot to store in the place of the entries it covers, if it is time."""
        covered = self.applied - self.member.log.snapshot.index
        if covered < COMPACT_ENTRIES and (not covered or self.bytes < COMPACT_BYTES):
            return None
        held = covered < HELD_ENTRIES and self.bytes < HELD_BYTES
        if held and self.member.is_sending_snapshot(self.now):
            return None
        snapshot = self.member.compact(self.applied, self.orders.dump())
        self.bytes = sum(len(entry.body) for entry in self.member.log.entries)
        return snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """Begin anew from a snapshot that came from the leader."""
        self.orders.load(snapshot.body)
        self.applied, self.changed = snapshot.index, True
        self.bytes = sum(len(entry.body) for entry in self.member.log.entries)
        for index in [i for i in self.placed if i <= snapshot.index]:
            self.let_go(self.placed.pop(index))

    def carry_out(self, entry: Entry) -> None:
        """Apply a committed entry, and answer whoever sent its command to this leader."""
        verdict, before = None, self.orders.index
        if entry.kind is Kind.DATA:
            verdict = self.orders.apply(entry.index, msgspec.json.decode(entry.body))
            self.changed |= self.orders.index != before
        self.applied = entry.index
        placed = self.placed.pop(entry.index, None)
        if placed is None:
            return
        if verdict is None or placed.term != entry.term:
            self.let_go(placed)
            return
        self.at_work.discard((placed.name, placed.number))
        self.reply(placed.name, Told(placed.number, verdict))

    def let_go(self, placed: Placed) -> None:
        """Nothing is known of it here any more; its sender asks the next leader."""
        self.at_work.discard((placed.name, placed.number))
        self.reply(placed.name, No(placed.number))

    def release(self) -> None:
        """Confirms whose index is applied."""
        done = [wait for wait in self.waits if wait.index <= self.applied]
        if done:
            self.waits = [wait for wait in self.waits if wait.index > self.applied]
            for ticket in [ticket for wait in done for ticket in wait.tickets]:
                self.proven |= ticket in self.tickets
                self.settle(ticket, self.applied)

    # Commands, at the process that was asked.

    def ready(self, call: Call) -> bool:
        """Whether all is applied here that the call must come after."""
        return call.hold <= self.applied

    def push(self) -> None:
        """Send what waits for a leader, or for a better one."""
        leader, now = self.leader, self.now
        if leader != self.looked:
            self.looked = leader
            for call in self.calls.values():
                call.to, call.sent_at = "", -math.inf
            self.prove_at = -math.inf
        if not leader:
            return
        self.led_at = now
        for number, call in list(self.calls.items()):
            if self.ready(call) and now >= call.sent_at + (AGAIN if call.to else PAUSE):
                call.to, call.sent_at = leader, now
                command = call.command
                if command.get("do") in ("evacuate", "restore"):
                    command = {**command, "after": self.applied}
                self.reply(name_of(leader), Ask(number, command))
        self.prove(leader)

    def on_told(self, number: int, verdict: Verdict) -> None:
        """The leader has answered a command."""
        call = self.calls.get(number)
        if call is None:
            return
        if verdict.kind == STALE:
            call.to, call.sent_at, call.hold = "", -math.inf, verdict.index
            return
        del self.calls[number]
        self.answers.append((number, verdict))

    def on_no(self, number: int) -> None:
        """Whom a command was sent to does not lead."""
        call = self.calls.get(number)
        if call is not None:
            call.to, call.sent_at = "", self.now

    # Proofs, at the process that was asked.

    def prove(self, leader: str) -> None:
        """Ask the leader for a proof, for all confirms that wait."""
        question, now = self.question, self.now
        if question is not None:
            if question.to == leader and now < question.sent_at + AGAIN:
                return
            # Whoever waited begins anew: a later proof is as good for an earlier call.
            self.queue, self.question = question.tickets + self.queue, None
        self.queue = [ticket for ticket in self.queue if ticket in self.tickets]
        if not self.queue or now < self.prove_at or not self.admitted:
            return
        self.number += 1
        patient = self.urgent.isdisjoint(self.queue)
        self.question, self.queue = Question(self.number, self.queue, leader, now), []
        self.reply(name_of(leader), Prove(self.number, patient))

    def on_proof(self, number: int, index: int) -> None:
        """The leader has answered the question for a proof; ``index`` -1: it does not lead."""
        if self.question is None or self.question.number != number:
            return
        tickets, self.question = self.question.tickets, None
        if index < 0:
            self.queue, self.prove_at = tickets + self.queue, self.now + PAUSE
            return
        self.waits.append(Waits(index, tickets))
        self.release()

    def settle(self, ticket: int, index: int | None) -> None:
        """Answer a confirm, if nobody has yet."""
        self.urgent.discard(ticket)
        if self.tickets.pop(ticket, None) is not None:
            self.answers.append((ticket, index))

    # The leader's part.

    def reply(self, name: str, message: Message) -> None:
        """To a process, which may be this one."""
        if name == self.me:
            self.take_in(name, message)
        else:
            self.outbox.append((name, message))

    def on_ask(self, name: str, number: int, command: Command) -> None:
        """Propose a command that another process has sent here."""
        if (name, number) in self.at_work:
            return
        try:
            if self.leaving:
                raise NotLeaderError("")
            entry = self.member.propose(msgspec.json.encode(command), self.now)
        except NotLeaderError:
            self.reply(name, No(number))
            return
        self.at_work.add((name, number))
        old = self.placed.pop(entry.index, None)
        if old is not None:
            self.let_go(old)
        self.placed[entry.index] = Placed(entry.term, name, number)

    def on_prove(self, name: str, number: int, patient: bool = False) -> None:
        """Read the log for a process that asks how far it must have applied."""
        self.number += 1
        ident = self.number
        self.reads[ident] = name, number
        try:
            self.member.request_read(ident, self.now, patient)
        except NotLeaderError:
            self.say_proof(ident, -1)

    def say_proof(self, ident: int, index: int) -> None:
        """Answer the question for a proof that this read was made for."""
        name, number = self.reads.pop(ident)
        self.reply(name, Proof(number, index))

    # Who takes part.

    def knock(self) -> None:
        """Ask to be taken in; a member without a leader too, for it may be out without knowing."""
        now, wanted = self.now, self.lost if self.admitted else True
        if now < self.knock_at or not wanted or self.member.role is Role.HALTED:
            return
        self.knock_at = now + KNOCK
        for name in sorted({*self.alive, *self.seeds} - {self.me}):
            self.outbox.append((name, Knock(self.member.identity)))

    def on_knock(self, name: str, identity: str) -> None:
        """A process asks to be a member."""
        if name_of(identity) != name or name == self.me:
            return
        if self.leads:
            self.wishes[name] = Wish(identity, self.now + WISH)
            self.steward()
        if self.member.leader:
            self.outbox.append((name, Leads(self.member.leader)))

    def on_leads(self, who: str) -> None:
        """Another process names the leader."""
        self.hint = who

    def on_raft(self, said: AnyMessage) -> None:
        """A message of the replicated log has come."""
        self.member.receive(said, self.now)
        self.contacts.started(said.source, said.boot)

    def on_leaves(self, name: str, identity: str, boot: int) -> None:
        """A process is about to stop. Every member notes it: the next leader may be any of them."""
        if name_of(identity) == name and identity in self.member.members.all:
            self.contacts.leaves(identity, boot)
            self.steward()

    def steward(self) -> None:
        """The leader's word on who takes part, one change at a time."""
        member = self.member
        if not member.committed_in_term:
            return
        self.look()
        if member.log.members_index() > member.commit_index:
            return
        wanted = next_members(self.view(), self.newcomers())
        if wanted is not None:
            with contextlib.suppress(ChangeError):
                member.change_members(wanted, self.now)

    def look(self) -> None:
        """What this leader has heard of the others up to now."""
        member, now = self.member, self.now
        if self.led_term != member.term:
            self.led_term = member.term
            self.contacts.begin(now)
        answering = {
            identity for identity, peer in member.peers.items() if member.responded_recently(peer, now)
        }
        self.contacts.look(now, member.members.has_quorum(answering | {member.identity}))
        for identity, peer in member.peers.items():
            self.contacts.hear(identity, peer.last_heard_at)

    def newcomers(self) -> list[Newcomer]:
        """Those who have asked lately and are no members yet."""
        members = self.member.members.all
        for name, wish in list(self.wishes.items()):
            if self.now >= wish.until or wish.identity in members:
                del self.wishes[name]
        return [Newcomer(wish.identity) for wish in self.wishes.values()]

    def view(self) -> View:
        """What decides on the members, as this leader knows it."""
        member, contacts, now = self.member, self.contacts, self.now
        others = member.other_members()
        return View(
            me=member.identity,
            members=member.members,
            ready=frozenset(guest for guest in member.members.non_voters if self.caught_up(guest, now)),
            lost=frozenset(identity for identity in others if contacts.lost(identity, now)),
            forgotten=frozenset(identity for identity in others if contacts.silence(identity, now) >= FORGET),
            places=self.places,
        )

    def caught_up(self, identity: str, now: float) -> bool:
        """Whether a member answers and has all that is committed."""
        peer = self.member.peers.get(identity)
        return (
            peer is not None
            and self.member.responded_recently(peer, now)
            and peer.match_index >= self.member.commit_index
        )
