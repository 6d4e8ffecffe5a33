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
from latchspoke.configstore.config_state import STALE, UNKNOWN, ApplyPatch, Command, ConfigState, Verdict
from latchspoke.configstore.messages import (
    CommandReply,
    CommandRequest,
    JoinRequest,
    LeaderHint,
    LeaveNotice,
    Message,
    NotLeaderReply,
    RaftMessage,
    ReadIndexReply,
    ReadIndexRequest,
)
from latchspoke.configstore.voters import (
    DEFAULT_CATCH_UP_S,
    NON_VOTER_EXPIRY_S,
    JoinCandidate,
    Location,
    MemberLiveness,
    MembershipView,
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
RETRY_INTERVAL_S = 0.3  # s after which a question without an answer is asked anew
REFUSED_BACKOFF_S = 0.05  # s after a refusal before the next try
JOIN_INTERVAL_S = 0.3  # s between knocks of one that is not taken in
LEADER_LOST_AFTER_S = (
    1.2  # s without a leader, after which a member knocks too: it may have been taken out unheard
)
LEADERLESS_TIMEOUT_S = 0.2  # s that a call waits, at most, where no leader has been known for so long
JOIN_REQUEST_TTL_S = 1.0  # s that a knock is good for
COMPACT_ENTRIES = 50
COMPACT_BYTES = 4_000_000
# While a snapshot is on its way to a member, the log is kept up to these: a newer one would have to follow.
TRANSFER_MAX_LOG_ENTRIES = 1_000
TRANSFER_MAX_LOG_BYTES = 16_000_000

OutgoingMessage = tuple[str, Message]  # the name of a process, and what goes there
Answer = Verdict | int | None  # to a submit, and to a confirm


class PendingCommand(msgspec.Struct):
    """A caller's command that waits for its verdict."""

    command: Command
    deadline: float
    sent_to: str = ""  # the leader it was sent to, '' if it is to be sent
    sent_at: float = -math.inf
    min_applied_index: int = 0  # all up to here must be applied before it is sent


class ReadIndexBatch(msgspec.Struct):
    """One to the leader for a batch of callers: up to which index must be applied here."""

    request_id: int
    read_ids: list[int]
    sent_to: str
    sent_at: float


class PendingJoin(msgspec.Struct):
    """Somebody knocks."""

    identity: str
    expires_at: float


class Proposal(msgspec.Struct):
    """A command that this member proposed as leader."""

    term: int
    requester: str
    request_id: int


class WaitingReads(msgspec.Struct):
    """Tickets of confirms, until the index is applied here."""

    index: int
    read_ids: list[int] = msgspec.field(default_factory=list)


def founding_snapshot(founders: Collection[str], orders: ConfigState) -> Snapshot:
    """What every founder's disk begins with; it stands at index 1, so that others are sent it."""
    return Snapshot(1, 0, Members(tuple(f"{name}#first" for name in sorted(founders))), orders.dump())


def identity_suffix(name: str, founders: Collection[str], first_start: bool, token: str) -> str:
    """The draw of a new identity; ``token`` is random."""
    if first_start:
        return "first" if name in founders else f"v-{token}"
    return f"g-{token}"


class StoreNode:
    """See the module."""

    def __init__(
        self,
        stored: Stored,
        seeds: Collection[str],
        apply_patch: ApplyPatch,
        rng: random.Random,
        now: float,
        timing: Timing = TIMING,
        catch_up: float = DEFAULT_CATCH_UP_S,
    ) -> None:
        """``catch_up`` (s): a member that is back, or a successor, counts again after so long."""
        self.now = now
        self.member = Member(stored, timing, rng, now)
        self.name = name_of(stored.identity)
        self.seeds = tuple(seeds)
        self.state = ConfigState(apply_patch)
        self.applied_index = stored.snapshot.index
        self.live_names: set[str] = set()
        self.outbox: list[OutgoingMessage] = []
        self.answers: list[tuple[int, Answer]] = []
        self.state_changed = False  # the orders did, since the driver last looked
        self.read_confirmed = False  # whether a confirm has ever come back to this process
        # Numbers begin by chance: those of an earlier life of this process may still be under way.
        self.last_request_id = rng.getrandbits(48)
        self.pending_commands: dict[int, PendingCommand] = {}
        self.read_batch: ReadIndexBatch | None = None
        self.read_deadlines: dict[int, float] = {}  # confirms and their limits
        self.queued_reads: list[int] = []  # for the next proof
        self.read_request_at = -math.inf
        self.urgent_reads: set[int] = set()  # tickets that don't wait for the leader's next beat
        self.waiting_reads: list[WaitingReads] = []
        self.proposals: dict[int, Proposal] = {}  # by index
        self.in_progress: set[tuple[str, int]] = set()
        self.served_reads: dict[int, tuple[str, int]] = {}
        self.join_requests: dict[str, PendingJoin] = {}
        self.liveness = MemberLiveness(catch_up)
        self.locations: dict[str, Location] = {}  # by name; a process that is gone keeps its own
        self.liveness_term = 0
        self.join_at = now
        self.leader_known_at = now  # when a leader was last known
        self.leader_hint = ""  # who leads, by hearsay
        self.log_bytes = sum(len(entry.body) for entry in stored.entries)
        self.last_leader = ""  # the leader, when ``heed`` last looked
        self.leaving = False

    # Who leads, and who takes part.

    @property
    def is_member(self) -> bool:
        """Whether this process is a member by its own log."""
        return self.member.identity in self.member.members.all

    @property
    def leader(self) -> str:
        """An identity, or ''."""
        return self.member.leader if self.is_member else self.member.leader or self.leader_hint

    @property
    def is_leader(self) -> bool:
        """Whether this process is the leader."""
        return self.member.role is Role.LEADER

    @property
    def leader_lost(self) -> bool:
        """Whether no leader has been known for long."""
        return not self.leader and self.now - self.leader_known_at >= LEADER_LOST_AFTER_S

    def next_tick_at(self) -> float:
        """When ``tick`` is next wanted."""
        times = [self.member.next_tick_at()]
        times += [call.deadline for call in self.pending_commands.values()]
        times += self.read_deadlines.values()
        if self.leader:
            times += [
                c.sent_at + (RETRY_INTERVAL_S if c.sent_to else REFUSED_BACKOFF_S)
                for c in self.pending_commands.values()
                if self.can_send(c)
            ]
            if self.read_batch is not None:
                times.append(self.read_batch.sent_at + RETRY_INTERVAL_S)
            elif self.queued_reads and self.is_member:
                times.append(self.read_request_at)
        if self.member.role is not Role.HALTED:
            if not self.is_member:
                times.append(self.join_at)
            elif not self.member.leader:
                times.append(max(self.join_at, self.leader_known_at + LEADER_LOST_AFTER_S))
        return min(times)

    # Inputs.

    def tick(self, now: float) -> None:
        """Do what is due by now (s, monotonic)."""
        self.now = now
        self.member.tick(now)
        for request_id in [n for n, call in self.pending_commands.items() if now >= call.deadline]:
            del self.pending_commands[request_id]
            self.answers.append((request_id, Verdict(UNKNOWN, "no answer in time", self.state.version)))
        for read_id in [t for t, until in self.read_deadlines.items() if now >= until]:
            self.finish_read(read_id, None)
        self.request_join()
        self.update_membership()
        self.send_pending()

    def submit(self, command: Command, limit: float, now: float) -> int:
        """The number of the verdict in ``answers``, which comes within ``limit`` (s)."""
        self.now = now
        self.last_request_id += 1
        request_id = self.last_request_id
        self.pending_commands[request_id] = PendingCommand(
            command, now + (min(limit, LEADERLESS_TIMEOUT_S) if self.leader_lost else limit)
        )
        self.send_pending()
        return request_id

    def confirm_read(self, limit: float, now: float, deferrable: bool = False) -> int:
        """The number of the index in ``answers``: all that was acknowledged before now is applied here.

        None where no majority says so within ``limit`` (s). A patient one costs no messages of its own
        between the leader and the others: it goes with the next beat.
        """
        self.now = now
        self.last_request_id += 1
        read_id = self.last_request_id
        if not deferrable:
            self.urgent_reads.add(read_id)
        self.read_deadlines[read_id] = now + (min(limit, LEADERLESS_TIMEOUT_S) if self.leader_lost else limit)
        self.queued_reads.append(read_id)
        self.send_pending()
        return read_id

    def update_peers(self, locations: Mapping[str, Location], now: float) -> None:
        """The processes of the core that are alive, by name, and where they stand."""
        self.now = now
        self.live_names = set(locations) - {self.name}
        self.locations.update(locations)

    def leave(self, now: float) -> bool:
        """Tell all that the vote may go elsewhere, and hand over the lead.

        Whether there was a lead to hand over, and somebody to take it.
        """
        self.now, self.leaving = now, True
        for identity in self.member.other_members():
            self.outbox.append((name_of(identity), LeaveNotice(self.member.identity, self.member.boot)))
        return self.is_leader and bool(self.member.transfer_leadership(now))

    def fail_pending(self) -> None:
        """The disk refuses: nothing is known of what waits here."""
        for request_id in self.pending_commands:
            self.answers.append((request_id, Verdict(UNKNOWN, "the disk refuses", self.state.version)))
        self.pending_commands.clear()
        for read_id in list(self.read_deadlines):
            self.finish_read(read_id, None)

    def receive(self, name: str, message: dict[str, Any], now: float) -> None:
        """From a process. What can't be read is dropped."""
        self.now = now
        try:
            decoded = messages.decode_message(message)
        except ValueError:
            return
        self.dispatch(name, decoded)
        self.send_pending()

    def dispatch(self, name: str, message: Message) -> None:
        """A message, from another process or this one."""
        match message:
            case RaftMessage():
                self.on_raft_message(message.message)
            case CommandRequest():
                self.on_command_request(name, message.request_id, message.command)
            case ReadIndexRequest():
                self.on_read_index_request(name, message.request_id, bool(message.deferrable))
            case CommandReply():
                self.on_command_reply(message.request_id, message.verdict)
            case NotLeaderReply():
                self.on_not_leader(message.request_id)
            case ReadIndexReply():
                self.on_read_index_reply(message.request_id, message.index)
            case JoinRequest():
                self.on_join_request(name, message.identity)
            case LeaderHint():
                self.on_leader_hint(message.identity)
            case LeaveNotice():
                self.on_leave_notice(name, message.identity, message.boot)

    # The driver's turn.

    def take_output(self) -> Output | None:
        """None where there is nothing to do."""
        output = self.member.take_output()
        idle = not (
            output.must_store or output.messages or output.restore or output.committed
            or output.confirmed_reads or output.failed_reads or output.events
        )  # fmt: skip
        return None if idle else output

    def on_stored(self, output: Output, now: float) -> None:
        """What was to be stored is synced: the rest of it takes effect."""
        self.now = now
        self.log_bytes += sum(len(entry.body) for entry in output.entries)
        for message in output.messages:
            self.outbox.append((name_of(message.target), RaftMessage(message)))
        if output.restore is not None:
            self.restore(output.restore)
        for entry in output.committed:
            self.apply_entry(entry)
        for read_id, index in output.confirmed_reads:
            self.reply_read_index(read_id, index)
        for read_id in output.failed_reads:
            self.reply_read_index(read_id, -1)
        if not self.is_leader:
            while self.proposals:
                self.drop_proposal(self.proposals.popitem()[1])
        if output.committed and self.is_leader:
            # The others needn't wait for the next beat to learn what is committed.
            self.member.broadcast(now)
        self.release_reads()
        self.update_membership()
        self.send_pending()

    def compact_if_due(self) -> Snapshot | None:
        """A snapshot to store in the place of the entries it covers, if it is time."""
        compactable = self.applied_index - self.member.log.snapshot.index
        if compactable < COMPACT_ENTRIES and (not compactable or self.log_bytes < COMPACT_BYTES):
            return None
        may_wait = compactable < TRANSFER_MAX_LOG_ENTRIES and self.log_bytes < TRANSFER_MAX_LOG_BYTES
        if may_wait and self.member.is_sending_snapshot(self.now):
            return None
        snapshot = self.member.compact(self.applied_index, self.state.dump())
        self.log_bytes = sum(len(entry.body) for entry in self.member.log.entries)
        return snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """Begin anew from a snapshot that came from the leader."""
        self.state.load(snapshot.body)
        self.applied_index, self.state_changed = snapshot.index, True
        self.log_bytes = sum(len(entry.body) for entry in self.member.log.entries)
        for index in [i for i in self.proposals if i <= snapshot.index]:
            self.drop_proposal(self.proposals.pop(index))

    def apply_entry(self, entry: Entry) -> None:
        """Apply a committed entry, and answer whoever sent its command to this leader."""
        verdict, previous_index = None, self.state.index
        if entry.kind is Kind.DATA:
            verdict = self.state.apply(entry.index, msgspec.json.decode(entry.body))
            self.state_changed |= self.state.index != previous_index
        self.applied_index = entry.index
        proposal = self.proposals.pop(entry.index, None)
        if proposal is None:
            return
        if verdict is None or proposal.term != entry.term:
            self.drop_proposal(proposal)
            return
        self.in_progress.discard((proposal.requester, proposal.request_id))
        self.reply(proposal.requester, CommandReply(proposal.request_id, verdict))

    def drop_proposal(self, proposal: Proposal) -> None:
        """Nothing is known of it here any more; its sender asks the next leader."""
        self.in_progress.discard((proposal.requester, proposal.request_id))
        self.reply(proposal.requester, NotLeaderReply(proposal.request_id))

    def release_reads(self) -> None:
        """Confirms whose index is applied."""
        done = [waiting for waiting in self.waiting_reads if waiting.index <= self.applied_index]
        if done:
            self.waiting_reads = [
                waiting for waiting in self.waiting_reads if waiting.index > self.applied_index
            ]
            for read_id in [read_id for waiting in done for read_id in waiting.read_ids]:
                self.read_confirmed |= read_id in self.read_deadlines
                self.finish_read(read_id, self.applied_index)

    # Commands, at the process that was asked.

    def can_send(self, call: PendingCommand) -> bool:
        """Whether all is applied here that the call must come after."""
        return call.min_applied_index <= self.applied_index

    def send_pending(self) -> None:
        """Send what waits for a leader, or for a better one."""
        leader, now = self.leader, self.now
        if leader != self.last_leader:
            self.last_leader = leader
            for call in self.pending_commands.values():
                call.sent_to, call.sent_at = "", -math.inf
            self.read_request_at = -math.inf
        if not leader:
            return
        self.leader_known_at = now
        for request_id, call in list(self.pending_commands.items()):
            if self.can_send(call) and now >= call.sent_at + (
                RETRY_INTERVAL_S if call.sent_to else REFUSED_BACKOFF_S
            ):
                call.sent_to, call.sent_at = leader, now
                command = call.command
                if command.get("do") in ("evacuate", "restore"):
                    command = {**command, "after": self.applied_index}
                self.reply(name_of(leader), CommandRequest(request_id, command))
        self.request_read_index(leader)

    def on_command_reply(self, request_id: int, verdict: Verdict) -> None:
        """The leader has answered a command."""
        call = self.pending_commands.get(request_id)
        if call is None:
            return
        if verdict.kind == STALE:
            call.sent_to, call.sent_at, call.min_applied_index = "", -math.inf, verdict.index
            return
        del self.pending_commands[request_id]
        self.answers.append((request_id, verdict))

    def on_not_leader(self, request_id: int) -> None:
        """Whom a command was sent to does not lead."""
        call = self.pending_commands.get(request_id)
        if call is not None:
            call.sent_to, call.sent_at = "", self.now

    # Proofs, at the process that was asked.

    def request_read_index(self, leader: str) -> None:
        """Ask the leader for a proof, for all confirms that wait."""
        batch, now = self.read_batch, self.now
        if batch is not None:
            if batch.sent_to == leader and now < batch.sent_at + RETRY_INTERVAL_S:
                return
            # Whoever waited begins anew: a later proof is as good for an earlier call.
            self.queued_reads, self.read_batch = batch.read_ids + self.queued_reads, None
        self.queued_reads = [read_id for read_id in self.queued_reads if read_id in self.read_deadlines]
        if not self.queued_reads or now < self.read_request_at or not self.is_member:
            return
        self.last_request_id += 1
        deferrable = self.urgent_reads.isdisjoint(self.queued_reads)
        self.read_batch, self.queued_reads = (
            ReadIndexBatch(self.last_request_id, self.queued_reads, leader, now),
            [],
        )
        self.reply(name_of(leader), ReadIndexRequest(self.last_request_id, deferrable))

    def on_read_index_reply(self, request_id: int, index: int) -> None:
        """The leader has answered the question for a proof; ``index`` -1: it does not lead."""
        if self.read_batch is None or self.read_batch.request_id != request_id:
            return
        read_ids, self.read_batch = self.read_batch.read_ids, None
        if index < 0:
            self.queued_reads, self.read_request_at = (
                read_ids + self.queued_reads,
                self.now + REFUSED_BACKOFF_S,
            )
            return
        self.waiting_reads.append(WaitingReads(index, read_ids))
        self.release_reads()

    def finish_read(self, read_id: int, index: int | None) -> None:
        """Answer a confirm, if nobody has yet."""
        self.urgent_reads.discard(read_id)
        if self.read_deadlines.pop(read_id, None) is not None:
            self.answers.append((read_id, index))

    # The leader's part.

    def reply(self, name: str, message: Message) -> None:
        """To a process, which may be this one."""
        if name == self.name:
            self.dispatch(name, message)
        else:
            self.outbox.append((name, message))

    def on_command_request(self, name: str, request_id: int, command: Command) -> None:
        """Propose a command that another process has sent here."""
        if (name, request_id) in self.in_progress:
            return
        try:
            if self.leaving:
                raise NotLeaderError("")
            entry = self.member.propose(msgspec.json.encode(command), self.now)
        except NotLeaderError:
            self.reply(name, NotLeaderReply(request_id))
            return
        self.in_progress.add((name, request_id))
        superseded = self.proposals.pop(entry.index, None)
        if superseded is not None:
            self.drop_proposal(superseded)
        self.proposals[entry.index] = Proposal(entry.term, name, request_id)

    def on_read_index_request(self, name: str, request_id: int, deferrable: bool = False) -> None:
        """Read the log for a process that asks how far it must have applied."""
        self.last_request_id += 1
        read_id = self.last_request_id
        self.served_reads[read_id] = name, request_id
        try:
            self.member.request_read(read_id, self.now, deferrable)
        except NotLeaderError:
            self.reply_read_index(read_id, -1)

    def reply_read_index(self, read_id: int, index: int) -> None:
        """Answer the question for a proof that this read was made for."""
        name, request_id = self.served_reads.pop(read_id)
        self.reply(name, ReadIndexReply(request_id, index))

    # Who takes part.

    def request_join(self) -> None:
        """Ask to be taken in; a member without a leader too, for it may be out without knowing."""
        now, wanted = self.now, self.leader_lost if self.is_member else True
        if now < self.join_at or not wanted or self.member.role is Role.HALTED:
            return
        self.join_at = now + JOIN_INTERVAL_S
        for name in sorted({*self.live_names, *self.seeds} - {self.name}):
            self.outbox.append((name, JoinRequest(self.member.identity)))

    def on_join_request(self, name: str, identity: str) -> None:
        """A process asks to be a member."""
        if name_of(identity) != name or name == self.name:
            return
        if self.is_leader:
            self.join_requests[name] = PendingJoin(identity, self.now + JOIN_REQUEST_TTL_S)
            self.update_membership()
        if self.member.leader:
            self.outbox.append((name, LeaderHint(self.member.leader)))

    def on_leader_hint(self, leader: str) -> None:
        """Another process names the leader."""
        self.leader_hint = leader

    def on_raft_message(self, message: AnyMessage) -> None:
        """A message of the replicated log has come."""
        self.member.receive(message, self.now)
        self.liveness.mark_started(message.source, message.boot)

    def on_leave_notice(self, name: str, identity: str, boot: int) -> None:
        """A process is about to stop. Every member notes it: the next leader may be any of them."""
        if name_of(identity) == name and identity in self.member.members.all:
            self.liveness.mark_leaving(identity, boot)
            self.update_membership()

    def update_membership(self) -> None:
        """The leader's word on who takes part, one change at a time."""
        member = self.member
        if not member.committed_in_term:
            return
        self.update_liveness()
        if member.log.members_index() > member.commit_index:
            return
        members = next_members(self.membership_view(), self.join_candidates())
        if members is not None:
            with contextlib.suppress(ChangeError):
                member.change_members(members, self.now)

    def update_liveness(self) -> None:
        """What this leader has heard of the others up to now."""
        member, now = self.member, self.now
        if self.liveness_term != member.term:
            self.liveness_term = member.term
            self.liveness.start_term(now)
        responsive = {
            identity for identity, peer in member.peers.items() if member.responded_recently(peer, now)
        }
        self.liveness.observe(now, member.members.has_quorum(responsive | {member.identity}))
        for identity, peer in member.peers.items():
            self.liveness.record_contact(identity, peer.last_heard_at)

    def join_candidates(self) -> list[JoinCandidate]:
        """Those who have asked lately and are no members yet."""
        members = self.member.members.all
        for name, join in list(self.join_requests.items()):
            if self.now >= join.expires_at or join.identity in members:
                del self.join_requests[name]
        return [JoinCandidate(join.identity) for join in self.join_requests.values()]

    def membership_view(self) -> MembershipView:
        """What decides on the members, as this leader knows it."""
        member, liveness, now = self.member, self.liveness, self.now
        others = member.other_members()
        return MembershipView(
            leader=member.identity,
            members=member.members,
            caught_up=frozenset(
                non_voter for non_voter in member.members.non_voters if self.caught_up(non_voter, now)
            ),
            lost=frozenset(identity for identity in others if liveness.is_lost(identity, now)),
            expired=frozenset(
                identity for identity in others if liveness.silence(identity, now) >= NON_VOTER_EXPIRY_S
            ),
            locations=self.locations,
        )

    def caught_up(self, identity: str, now: float) -> bool:
        """Whether a member answers and has all that is committed."""
        peer = self.member.peers.get(identity)
        return (
            peer is not None
            and self.member.responded_recently(peer, now)
            and peer.match_index >= self.member.commit_index
        )
