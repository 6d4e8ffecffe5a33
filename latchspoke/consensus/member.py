"""One member of a replicated log: Raft with trial votes, a leader that checks its majority, reads by turns.

Pure. Messages, proposals and the time (monotonic, in s) go in; ``take`` gives what comes of them. Whoever
drives it keeps one order: what ``take`` gives to be stored is synced first, then the messages are sent, then
the committed entries are applied. While the disk refuses, nothing of that output may be sent, and messages
that come meanwhile are dropped, which every member has to bear anyway.

A leader proves its place for a read by a *turn*: a round of messages begun after the question came, answered
by a majority. That takes no word about clocks. A new leader was elected after any turn of an older one.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import Enum

import msgspec

from latchspoke.consensus.log import Log, members_entry
from latchspoke.consensus.records import (
    Append,
    AppendReply,
    BootQuery,
    BootReply,
    Entry,
    HardState,
    Install,
    InstallPart,
    InstallProgress,
    Kind,
    Members,
    Message,
    Snapshot,
    Stored,
    TimeoutNow,
    VoteReply,
    VoteRequest,
    Wire,
)
from latchspoke.consensus.transfer import Incoming, Outgoing

EARLY = 5.0  # elections; for so long after a start without a leader trials are made anew after ``first``
EARLY_STEP = 0.4  # of ``first``, between two who stand: 40 ms, twice the longest way that is known
HELLO_EVERY = 0.5  # elections; a member that has just started asks again for later starts of it
FROM_LEADER = (Append, Install, InstallPart)  # what only a leader sends
BATCH_MOST = 256  # entries of one message
BATCH_BYTES = 1_000_000  # of their bodies; a single entry may be larger


class Role(Enum):
    FOLLOWER = "follower"
    TRIAL = "trial"  # asks whether it would be elected; nobody's term has moved
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "halted"  # its disk is older than what others have heard of it


class NotLeaderError(Exception):
    """Only the leader can do this; ``leader`` is who that is as far as is known, or ''."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class ChangeError(Exception):
    """The members can't be changed like this now; one line says why."""


class Timing(msgspec.Struct, frozen=True):
    """In seconds. A follower stands after ``election`` to twice that without a leader."""

    beat: float = 0.1
    election: float = 1.0
    first: float = 0.0  # in place of ``election`` right after a start; 0: no other
    hasten: bool = False  # tell the others at once what is committed, rather than with the next beat
    observer: float = 0.0  # between heartbeats to those who don't vote; 0: as to the others


class Note(msgspec.Struct, frozen=True):
    """For the log of the operators."""

    code: str
    detail: str = ""


class Output(msgspec.Struct):
    """What is to be done, in the order of these fields; see the module."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None  # came from the leader: replaces all entries up to its index
    first: int = 0  # if above 0: the entries stored from here on are replaced by these
    entries: tuple[Entry, ...] = ()
    messages: list[Wire] = msgspec.field(default_factory=list)
    restore: Snapshot | None = None  # the state machines begin anew from this
    committed: tuple[Entry, ...] = ()
    confirmed: list[tuple[int, int]] = msgspec.field(
        default_factory=list
    )  # reads, and the index they must see
    refused: list[int] = msgspec.field(default_factory=list)  # reads that can't be answered here any more
    notes: list[Note] = msgspec.field(default_factory=list)

    @property
    def to_store(self) -> bool:
        return self.hard_state is not None or self.snapshot is not None or self.first > 0


class Peer(msgspec.Struct):
    """What a leader knows of another member."""

    next: int
    heard_at: float
    match: int = 0
    turn: int = 0
    boot: int = 0
    installing_until: float = 0.0
    outgoing: Outgoing | None = None  # a snapshot on its way to it
    sent_at: float = -math.inf
    told_commit: int = 0  # the commit index that it was last sent


class Read(msgspec.Struct):
    ident: int
    index: int


class Member:
    """See the module. Not for several threads."""

    def __init__(
        self, stored: Stored, timing: Timing, draw: random.Random, now: float, applied: int = 0
    ) -> None:
        """``applied``: the state machines already hold all up to here (at least the snapshot)."""
        self.identity, self.boot, self.timing, self.draw = stored.identity, stored.boot, timing, draw
        self.hard_state = stored.hard_state
        self.log = Log(stored.snapshot, stored.entries)
        self.commit = self.applied = max(stored.snapshot.index, applied)
        self.role, self.leader = Role.FOLLOWER, ""
        self.leader_at = -math.inf  # when the leader was last heard
        self.peers: dict[str, Peer] = {}
        self.votes: set[str] = set()
        self.boots: dict[str, int] = {}
        # A store that has been started before may be an old copy: it asks before it votes.
        self.mute = stored.boot > 1
        self.greeted: set[str] = set()
        self.hello_at = now
        self.elected_at = 0.0
        self.elected_index = 0  # where the first entry of this leader's term stands
        self.turn = 0
        self.beat_at = 0.0
        self.asked: list[Read] = []  # reads for the next turn
        self.patient: list[Read] = []  # those for which no turn is begun early
        self.turns: dict[int, list[Read]] = {}  # reads by the turn that confirms them
        self.incoming: Incoming | None = None  # a snapshot on its way from the leader
        self.output = Output()
        self.unstored = 0
        self.saved_hard_state = self.hard_state
        if stored.snapshot.index:
            self.output.restore = stored.snapshot
        self.wait(now)
        self.early_until = now + EARLY * timing.election if timing.first else now
        self.stand_early(now)

    # What others ask.

    @property
    def members(self) -> Members:
        return self.log.members

    @property
    def term(self) -> int:
        return self.hard_state.term

    @property
    def votes_itself(self) -> bool:
        return self.identity in self.members.voters

    @property
    def settled(self) -> bool:
        """Whether this is a leader that knows all that was ever committed."""
        return self.role is Role.LEADER and self.commit >= self.elected_index

    def due(self) -> float:
        """When ``tick`` is next wanted."""
        if self.role is Role.HALTED:
            return math.inf
        times = [self.beat_at if self.role is Role.LEADER else self.election_at]
        if self.mute:
            times.append(self.hello_at)
        return min(times)

    def propose(self, body: bytes, now: float) -> Entry:
        """Raises NotLeaderError. Committed when this very entry comes out; lost if another has its place."""
        return self.add(Kind.DATA, body, now)

    def change(self, members: Members, now: float) -> Entry:
        """One voter more or one less. Raises NotLeaderError, ChangeError."""
        self.must_lead()
        if not self.settled:
            raise ChangeError("this leader has not yet committed an entry of its term")
        if self.log.members_index() > self.commit:
            raise ChangeError("a change of the members is under way")
        if len(set(members.voters) ^ set(self.members.voters)) > 1:
            raise ChangeError("one voter can be added or removed at a time")
        if not members.voters:
            raise ChangeError("nobody would be left to vote")
        index = self.log.last + 1
        entry = members_entry(index, self.term, members)
        self.add_entry(entry, now)
        return entry

    def read(self, ident: int, now: float, patient: bool = False) -> None:
        """Comes back in ``confirmed`` with the index that the answer must show, or in ``refused``.

        A patient one goes with the next round that is made anyway, within ``timing.beat``.
        """
        self.must_lead()
        (self.patient if patient else self.asked).append(Read(ident, max(self.commit, self.elected_index)))
        if not patient and not self.turns:
            self.broadcast(now)

    def hand_over(self, now: float) -> str:
        """Let the member whose log is most complete take over; who that is, or '' if nobody can."""
        self.must_lead()
        fresh = {n: p for n, p in self.peers.items() if n in self.members.voters and self.fresh(p, now)}
        name = max(fresh, key=lambda name: (fresh[name].match, name), default="")
        if name:
            self.say(TimeoutNow, name)
            self.note("hands-over", name)
        return name

    def compact(self, index: int, body: bytes) -> Snapshot:
        """The state machines hold all up to ``index``, which has been applied, as ``body``."""
        term = self.log.term(index)
        assert term is not None and index <= self.applied
        snapshot = Snapshot(index, term, self.log.members_at(index), body)
        self.log.compact(snapshot)
        return snapshot

    def take(self) -> Output:
        """All that has come up since the last call."""
        output, self.output = self.output, Output()
        if self.hard_state != self.saved_hard_state:
            output.hard_state = self.saved_hard_state = self.hard_state
        if self.unstored:
            output.first, self.unstored = self.unstored, 0
            output.entries = self.log.between(output.first, self.log.last)
        if self.commit > self.applied:
            output.committed = self.log.between(self.applied + 1, self.commit)
            self.applied = self.commit
        return output

    # Time.

    def tick(self, now: float) -> None:
        if self.mute and now >= self.hello_at and self.role is not Role.HALTED:
            self.greet(now)
        if self.role is Role.LEADER:
            heard = {name for name, peer in self.peers.items() if self.fresh(peer, now)}
            if not self.members.quorum(heard | {self.identity}):
                self.note("lost-majority")
                self.follow("", now)
            elif now >= self.beat_at:
                self.broadcast(now)
        elif self.role is not Role.HALTED and now >= self.election_at:
            self.stand(now)

    def wait(self, now: float) -> None:
        self.election_at = now + self.timing.election * (1 + self.draw.random())

    def stand_early(self, now: float, waits: float = 1.0) -> None:
        """Where all were killed at once nobody leads, and where somebody does, no trial is granted.

        Others may start a little later, so that a first trial fails. All stand in an order that they know, as
        those who stand within one way of each other share the votes.
        """
        if self.leader_at == -math.inf and now < self.early_until:
            place = sum(name < self.identity for name in self.members.voters)
            spread = EARLY_STEP * (place + self.draw.random())
            self.election_at = now + waits * self.timing.first * (1 + spread)

    def fresh(self, peer: Peer, now: float) -> bool:
        return now - peer.heard_at < self.timing.election

    def greet(self, now: float) -> None:
        self.hello_at = now + HELLO_EVERY * self.timing.election
        for name in self.others():
            self.say(BootQuery, name)
        self.heed_greetings()

    def heed_greetings(self) -> None:
        if self.mute and self.members.quorum(self.greeted | {self.identity}):
            self.mute = False

    # Elections.

    def stand(self, now: float) -> None:
        """First ask whether it would be elected: one that was cut off must not drive up the terms."""
        self.wait(now)
        self.stand_early(now)
        self.leader = ""
        if not self.votes_itself or self.mute:
            self.role = Role.FOLLOWER
            return
        self.role, self.votes = Role.TRIAL, {self.identity}
        for name in self.voters_else():
            self.request_vote(name, trial=True)
        self.count_votes(now)

    def campaign(self, now: float) -> None:
        self.role, self.votes = Role.CANDIDATE, {self.identity}
        self.hard_state = HardState(self.term + 1, self.identity)
        self.wait(now)
        self.stand_early(now, 2.0)  # the votes come from as far as the trial's
        self.note("stands", f"term {self.term}")
        for name in self.voters_else():
            self.request_vote(name, trial=False)
        self.count_votes(now)

    def request_vote(self, name: str, trial: bool) -> None:
        last = self.log.last, self.log.last_term
        self.output.messages.append(
            VoteRequest(self.identity, name, self.boot, self.term + trial, last[0], last[1], trial)
        )

    def count_votes(self, now: float) -> None:
        if not self.members.quorum(self.votes):
            return
        if self.role is Role.TRIAL:
            self.campaign(now)
        elif self.role is Role.CANDIDATE:
            self.lead(now)

    def lead(self, now: float) -> None:
        self.role, self.leader, self.elected_at = Role.LEADER, self.identity, now
        self.peers = {name: Peer(self.log.last + 1, now) for name in self.others()}
        self.asked, self.patient, self.turns = [], [], {}
        self.note("leads", f"term {self.term}")
        self.elected_index = self.log.last + 1
        # Entries of former terms are committed with this one, and never by their count alone.
        self.add_entry(Entry(self.elected_index, self.term), now)

    def on_vote_request(self, message: VoteRequest, now: float) -> None:
        whole = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last)
        if message.trial:
            granted = whole and message.term > self.term and not self.mute
            term = message.term if granted else self.term
            self.output.messages.append(
                VoteReply(self.identity, message.source, self.boot, term, granted, True)
            )
            return
        free = self.hard_state.vote in ("", message.source)
        granted = message.term == self.term and free and whole and not self.mute
        if granted:
            self.hard_state = HardState(self.term, message.source)
            self.wait(now)
        self.output.messages.append(
            VoteReply(self.identity, message.source, self.boot, self.term, granted, False)
        )

    def on_vote_reply(self, message: VoteReply, now: float) -> None:
        wanted = Role.TRIAL if message.trial else Role.CANDIDATE
        term = self.term + message.trial
        if message.granted and self.role is wanted and message.term == term:
            self.votes.add(message.source)
            self.count_votes(now)

    def on_timeout_now(self, message: TimeoutNow, now: float) -> None:
        if self.votes_itself and not self.mute and message.term == self.term:
            # The leader itself has asked for it, so nobody who hears it need stand by that leader.
            self.campaign(now)

    def follow(self, leader: str, now: float, term: int | None = None) -> None:
        """Step back, and up to this term if it is a later one."""
        if term is not None and term > self.term:
            self.hard_state = HardState(term)
        if self.role is Role.LEADER:
            self.note("steps-back", f"term {self.term}")
            reads = [read for turn in self.turns.values() for read in turn] + self.asked + self.patient
            self.output.refused += [read.ident for read in reads]
            self.asked, self.patient, self.turns, self.peers = [], [], {}, {}
        if leader and leader != self.leader:
            self.note("follows", f"{leader}, term {self.term}")
        self.role, self.leader = Role.FOLLOWER, leader
        self.wait(now)

    # Messages.

    def receive(self, message: Wire, now: float) -> None:
        """Whatever is not for this identity, or from a sender's earlier start, is dropped."""
        if message.target != self.identity or self.role is Role.HALTED:
            return
        known = self.boots.get(message.source, 0)
        if message.boot < known:
            self.reply_boot(message.source, known)
            return
        self.boots[message.source] = message.boot
        if isinstance(message, BootQuery):
            self.reply_boot(message.source, message.boot)
            return
        if isinstance(message, BootReply):
            self.on_boot_reply(message)
            return
        if isinstance(message, VoteRequest) and self.stands_by(message, now):
            return
        prospective = isinstance(message, VoteRequest | VoteReply) and message.trial
        if message.term > self.term and not (prospective and getattr(message, "granted", True)):
            leads = message.source if isinstance(message, FROM_LEADER) else ""
            self.follow(leads, now, message.term)
        if message.term < self.term:
            self.on_old_term(message)
            return
        HANDLERS[type(message)](self, message, now)

    def stands_by(self, message: VoteRequest, now: float) -> bool:
        """Whether a leader is at work, so that no other is wanted: removed or cut-off members ask often."""
        if self.leader in ("", message.source) or (not message.trial and message.term == self.term + 1):
            # Whoever stands at the very next term has passed a trial, or the leader itself has asked it to.
            return False
        return self.role is Role.LEADER or now - self.leader_at < self.timing.election

    def on_old_term(self, message: Message) -> None:
        """A leader or candidate of an earlier term is told of this one."""
        if isinstance(message, FROM_LEADER):
            self.say(AppendReply, message.source)
        elif isinstance(message, VoteRequest):
            self.say(VoteReply, message.source, trial=message.trial)

    def reply_boot(self, name: str, latest: int) -> None:
        self.say(BootReply, name, latest=latest)

    def on_boot_reply(self, message: BootReply) -> None:
        if message.latest > self.boot:
            self.role, self.leader = Role.HALTED, ""
            self.note("old-disk", f"start {self.boot}; {message.source} has heard of start {message.latest}")
            return
        self.greeted.add(message.source)
        self.heed_greetings()

    def on_append(self, message: Append, now: float) -> None:
        self.hear_leader(message.source, now)
        before = message.before_index
        if before < self.log.snapshot.index:
            # All that is committed is the same everywhere, so up to there the logs agree.
            self.confirm(message.source, self.commit, message.turn)
            return
        if self.log.term(before) != message.before_term:
            self.say(AppendReply, message.source, index=self.hint(before), turn=message.turn)
            return
        for entry in message.entries:
            term = self.log.term(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                assert entry.index > self.commit, "a committed entry can't be replaced"
                self.log.cut(entry.index)
            self.log.append(entry)
            self.to_store(entry.index)
        last = before + len(message.entries)
        self.commit = max(self.commit, min(message.commit, last))
        self.confirm(message.source, last, message.turn)

    def hint(self, before: int) -> int:
        """Where the leader should try next: before all entries of the term that doesn't fit."""
        if before > self.log.last:
            return self.log.last
        term, index = self.log.term(before), before - 1
        while index > self.commit and self.log.term(index) == term:
            index -= 1
        return index

    def on_install(self, message: Install, now: float) -> None:
        self.hear_leader(message.source, now)
        self.install(message.snapshot)
        self.confirm(message.source, self.commit, message.turn)

    def on_install_part(self, message: InstallPart, now: float) -> None:
        self.hear_leader(message.source, now)
        if message.index > self.commit:
            if self.incoming is None or not self.incoming.continues(message):
                self.incoming = Incoming(message.source, message.term, message.index)
            snapshot = self.incoming.take(message)
            if snapshot is None:
                held = len(self.incoming.body)
                self.say(InstallProgress, message.source, index=message.index, offset=held, turn=message.turn)
                return
            self.install(snapshot)
        self.incoming = None
        self.confirm(message.source, self.commit, message.turn)

    def install(self, snapshot: Snapshot) -> None:
        """Begin anew from it, unless all of it is known to be committed here."""
        if snapshot.index <= self.commit:
            return
        self.log.compact(snapshot)
        self.commit = self.applied = snapshot.index
        self.output.snapshot = self.output.restore = snapshot
        self.to_store(self.log.first)
        self.note("snapshot", f"up to {snapshot.index}")

    def hear_leader(self, leader: str, now: float) -> None:
        if self.leader != leader or self.role is not Role.FOLLOWER:
            self.follow(leader, now)
        self.leader_at = now
        self.wait(now)

    def confirm(self, leader: str, index: int, turn: int) -> None:
        self.say(AppendReply, leader, ok=True, index=index, turn=turn)

    # The leader's part.

    def must_lead(self) -> None:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)

    def add(self, kind: Kind, body: bytes, now: float) -> Entry:
        self.must_lead()
        entry = Entry(self.log.last + 1, self.term, kind, body)
        self.add_entry(entry, now)
        return entry

    def add_entry(self, entry: Entry, now: float) -> None:
        self.log.append(entry)
        self.to_store(entry.index)
        if entry.kind is Kind.MEMBERS:
            known = self.peers
            self.peers = {n: known.get(n) or Peer(entry.index, now) for n in self.others()}
        self.broadcast(now)
        self.advance(now)

    def broadcast(self, now: float) -> None:
        """A turn: to every peer what it lacks, or a heartbeat."""
        self.turn += 1
        self.beat_at = now + self.timing.beat
        if self.asked or self.patient:
            self.turns[self.turn], self.asked, self.patient = self.asked + self.patient, [], []
        for name, peer in self.peers.items():
            if not self.needs_none(name, peer, now):
                self.send(name, peer, now)
        self.confirm_reads()

    def needs_none(self, name: str, peer: Peer, now: float) -> bool:
        """Whether this round has nothing for a member that doesn't vote and was sent something lately."""
        if name in self.members.voters or now - peer.sent_at >= self.timing.observer:
            return False
        return peer.next > self.log.last and peer.told_commit >= self.commit

    def send(self, name: str, peer: Peer, now: float) -> None:
        peer.sent_at = now
        if peer.next < self.log.first:
            if now >= peer.installing_until:
                peer.installing_until = now + self.timing.election
                self.send_snapshot(name, peer)
                return
            # Meanwhile it is told at least that this leader lives; it can't fit, and says so.
            self.say_append(name, self.log.snapshot.index, (), 0)
            return
        entries = batch(self.log.between(peer.next, self.log.last, BATCH_MOST))
        self.say_append(name, peer.next - 1, entries, self.commit)
        peer.next += len(entries)
        peer.told_commit = self.commit

    def send_snapshot(self, name: str, peer: Peer) -> None:
        """The next part. A transfer that has begun is finished before a newer snapshot is sent."""
        if peer.outgoing is None or not peer.outgoing.offset:
            peer.outgoing = Outgoing(self.log.snapshot)
        outgoing, snapshot = peer.outgoing, peer.outgoing.snapshot
        if outgoing.whole:
            self.say(Install, name, snapshot=snapshot, turn=self.turn)
            return
        self.say(
            InstallPart, name, index=snapshot.index, snapshot_term=snapshot.term, members=snapshot.members,
            offset=outgoing.offset, total=len(snapshot.body), body=outgoing.part(), turn=self.turn,
        )  # fmt: skip

    def transferring(self, now: float) -> bool:
        """Whether a snapshot is on its way to a member that answers: a newer one would be sent after it."""
        return any(peer.outgoing is not None and self.fresh(peer, now) for peer in self.peers.values())

    def say_append(self, name: str, before: int, entries: tuple[Entry, ...], commit: int) -> None:
        term = self.log.term(before)
        assert term is not None
        self.say(
            Append, name, before_index=before, before_term=term, entries=entries, commit=commit,
            turn=self.turn,
        )  # fmt: skip

    def answering(self, message: AppendReply | InstallProgress, now: float) -> Peer | None:
        """The follower that answers this leader; None if this is no leader, or the sender no member."""
        peer = self.peers.get(message.source)
        if self.role is not Role.LEADER or peer is None:
            return None
        if peer.boot != message.boot:
            # What it had before its start counts again once it says so.
            peer.boot, peer.match = message.boot, 0
        peer.heard_at = now
        peer.turn = max(peer.turn, message.turn)
        self.confirm_reads()
        return peer

    def on_install_progress(self, message: InstallProgress, now: float) -> None:
        peer = self.answering(message, now)
        if peer is None or peer.outgoing is None:
            return
        if peer.outgoing.acknowledge(message.index, message.offset):
            peer.installing_until = 0.0
            self.send(message.source, peer, now)

    def on_append_reply(self, message: AppendReply, now: float) -> None:
        peer = self.answering(message, now)
        if peer is None:
            return
        if not message.ok:
            peer.next = max(min(peer.next, message.index + 1), peer.match + 1)
            if now >= peer.installing_until:
                self.send(message.source, peer, now)
            return
        peer.match = max(peer.match, message.index)
        peer.next = max(peer.next, peer.match + 1)
        if peer.outgoing is not None and peer.match >= peer.outgoing.snapshot.index:
            peer.outgoing, peer.installing_until = None, 0.0
        self.advance(now)
        if self.role is Role.LEADER and peer.next <= self.log.last:
            self.send(message.source, peer, now)
        if self.asked and not self.turns:
            self.broadcast(now)
        self.promote(message.source, peer, now)

    def advance(self, now: float) -> None:
        """Commit what a majority has, if an entry of this very term is the last of it."""
        matches = {name: peer.match for name, peer in self.peers.items()}
        matches[self.identity] = self.log.last
        found = sorted((matches.get(name, 0) for name in self.members.voters), reverse=True)
        index = found[self.members.majority - 1] if found else 0
        if index > self.commit and self.log.term(index) == self.term:
            self.commit = index
            self.confirm_reads()
            if not self.votes_itself and self.log.members_index() <= index:
                # Removed, and all that decided it is committed: the others elect one of theirs.
                self.note("removed")
                self.broadcast(now)
                self.follow("", now)
            elif self.timing.hasten:
                self.broadcast(now)

    def confirm_reads(self) -> None:
        """Reads whose turn a majority has answered, once this leader knows all that was committed."""
        if not self.settled:
            return
        for turn in sorted(self.turns):
            heard = {name for name, peer in self.peers.items() if peer.turn >= turn}
            if not self.members.quorum(heard | {self.identity}):
                break
            self.output.confirmed += [(read.ident, read.index) for read in self.turns.pop(turn)]

    def promote(self, name: str, peer: Peer, now: float) -> None:
        """A learner that has caught up votes from now on."""
        members = self.members
        if name not in members.learners or peer.match < self.commit or not self.settled:
            return
        if self.log.members_index() <= self.commit:
            learners = tuple(n for n in members.learners if n != name)
            self.note("promoted", name)
            voters = (*members.voters, name)
            self.change(Members(voters, learners, members.former, members.guests), now)

    # Small parts.

    def others(self) -> list[str]:
        return [name for name in self.members.all if name != self.identity]

    def voters_else(self) -> list[str]:
        return [name for name in self.members.voters if name != self.identity]

    def say(self, kind: Callable[..., Wire], target: str, **fields: object) -> None:
        self.output.messages.append(kind(self.identity, target, self.boot, self.term, **fields))

    def to_store(self, index: int) -> None:
        self.unstored = min(self.unstored or index, index)

    def note(self, code: str, detail: str = "") -> None:
        self.output.notes.append(Note(code, detail))


def batch(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """The first of these, as many as one message may hold."""
    size = 0
    for place, entry in enumerate(entries):
        size += len(entry.body)
        if size > BATCH_BYTES:
            return entries[: max(place, 1)]
    return entries


HANDLERS: dict[type, Callable[[Member, Message, float], None]] = {
    VoteRequest: Member.on_vote_request,  # type: ignore[dict-item]
    VoteReply: Member.on_vote_reply,  # type: ignore[dict-item]
    Append: Member.on_append,  # type: ignore[dict-item]
    Install: Member.on_install,  # type: ignore[dict-item]
    InstallPart: Member.on_install_part,  # type: ignore[dict-item]
    InstallProgress: Member.on_install_progress,  # type: ignore[dict-item]
    AppendReply: Member.on_append_reply,  # type: ignore[dict-item]
    TimeoutNow: Member.on_timeout_now,  # type: ignore[dict-item]
}
