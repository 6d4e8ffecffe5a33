"""One process of the replicated config store: a Raft member, its state machine and cluster membership.

Sans-I/O: messages, calls and the time (monotonic, in seconds) go in; outputs to store, messages to send and
answers to callers come out. The driver calls ``take_output`` until it returns None. For each output it stores
and syncs what has to be stored, calls ``on_stored``, sends ``outbox`` and delivers ``answers``.

A process is named by its inner address, "ip:port". Its identity is that name and a suffix chosen when its
disk was empty: "first" for founders, "v-..." for a process of the deployment's first start, "g-..." for any
other. The leader admits every process that asks to join as a non-voter; ``voters`` decides who votes.
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
from latchspoke.configstore.entry_ages import AgeBounds, EntryAge, ReceiptTimes, age_bounds
from latchspoke.configstore.messages import (
    CommandReply,
    CommandRequest,
    EntryAgeReply,
    EntryAgeRequest,
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
RETRY_INTERVAL_S = 0.3  # until an unanswered request is sent again
COMMAND_BYTES_PER_S = 4_000_000  # at least: a large command is sent again that much later
REFUSED_BACKOFF_S = 0.05  # until a request rejected by a non-leader is sent again
JOIN_INTERVAL_S = 0.3  # between join requests of a process that is not a member
LEADER_LOST_AFTER_S = 1.2  # then a member asks to join again: it may have been removed without knowing
LEADERLESS_TIMEOUT_S = 0.2  # longest wait of a call once the leader counts as lost
JOIN_REQUEST_TTL_S = 1.0  # validity of a join request at the leader
COMPACT_ENTRIES = 50
COMPACT_BYTES = 4_000_000
# Limits of the log while a snapshot is being sent; compacting earlier would force another transfer.
TRANSFER_MAX_LOG_ENTRIES = 1_000
TRANSFER_MAX_LOG_BYTES = 16_000_000

OutgoingMessage = tuple[str, Message]  # name of the target process, message
# Verdict for ``submit``; applied index or None for ``confirm_read``; AgeBounds for ``ask_entry_age``.
Answer = Verdict | int | AgeBounds | None


class PendingCommand(msgspec.Struct):
    """A caller's command that has no verdict yet."""

    command: Command
    deadline: float
    sent_to: str = ""  # identity of the leader it was sent to; '' if it must be sent
    sent_at: float = -math.inf
    min_applied_index: int = 0  # applied index required before it is sent

    @property
    def retry_at(self) -> float:
        """When it is sent again, if it is not answered before."""
        if not self.sent_to:
            return self.sent_at + REFUSED_BACKOFF_S
        encoded_bytes = sum(len(memoryview(v)) for v in self.command.values() if isinstance(v, msgspec.Raw))
        return self.sent_at + RETRY_INTERVAL_S + encoded_bytes / COMMAND_BYTES_PER_S


class ReadIndexBatch(msgspec.Struct):
    """A read-index request to the leader, for a batch of reads."""

    request_id: int
    read_ids: list[int]
    sent_to: str
    sent_at: float


class AgeQuery(msgspec.Struct):
    """A question to the voters how long they have known an entry."""

    index: int
    asked_at: float
    deadline: float
    voters: frozenset[str]  # identities
    majority: int
    ages: dict[str, EntryAge] = msgspec.field(default_factory=dict)  # by the voter's identity

    def bounds(self, now: float) -> AgeBounds:
        """The bounds from the answers so far."""
        return age_bounds(self.ages, self.majority, now - self.asked_at)

    def is_complete(self) -> bool:
        """Whether a majority has observed the entry, or all voters have answered."""
        observed = sum(age.observed for age in self.ages.values())
        return observed >= self.majority or len(self.ages) == len(self.voters)


class PendingJoin(msgspec.Struct):
    """A join request received by the leader."""

    identity: str
    expires_at: float


class Proposal(msgspec.Struct):
    """A command that this member proposed as leader, and who sent it."""

    term: int
    requester: str
    request_id: int


class WaitingReads(msgspec.Struct):
    """Reads that wait until their read index is applied here."""

    index: int
    read_ids: list[int] = msgspec.field(default_factory=list)


def founding_snapshot(founders: Collection[str], state: ConfigState) -> Snapshot:
    """The initial disk contents of every founder; at index 1, so that later members are sent it."""
    return Snapshot(1, 0, Members(tuple(f"{name}#first" for name in sorted(founders))), state.dump())


def identity_suffix(name: str, founders: Collection[str], first_start: bool, token: str) -> str:
    """The suffix of a new identity; ``token`` is random."""
    if first_start:
        return "first" if name in founders else f"v-{token}"
    return f"g-{token}"


class StoreNode:
    """See the module docstring."""

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
        """``catch_up`` (s): within this time a member that returned, or its replacement, is up to date."""
        self.now = now
        self.member = Member(stored, timing, rng, now)
        self.name = name_of(stored.identity)
        self.seeds = tuple(seeds)
        self.state = ConfigState(apply_patch)
        self.applied_index = stored.snapshot.index
        self.receipt_times = ReceiptTimes(now, self.member.log.last_index)
        self.age_queries: dict[int, AgeQuery] = {}  # by request ID
        self.live_names: set[str] = set()
        self.outbox: list[OutgoingMessage] = []
        self.answers: list[tuple[int, Answer]] = []
        self.state_changed = False  # whether ``state`` changed; reset by the driver
        self.read_confirmed = False  # whether any read has been confirmed since the start
        # Starts at random: replies to requests of an earlier run of this process may still arrive.
        self.last_request_id = rng.getrandbits(48)
        self.pending_commands: dict[int, PendingCommand] = {}
        self.read_batch: ReadIndexBatch | None = None
        self.read_deadlines: dict[int, float] = {}  # by read ID
        self.queued_reads: list[int] = []  # for the next read-index request
        self.read_request_at = -math.inf
        self.urgent_reads: set[int] = set()  # reads that must not wait for the leader's next heartbeat
        self.waiting_reads: list[WaitingReads] = []
        self.proposals: dict[int, Proposal] = {}  # by index
        self.in_progress: set[tuple[str, int]] = set()
        self.served_reads: dict[int, tuple[str, int]] = {}
        self.join_requests: dict[str, PendingJoin] = {}
        self.liveness = MemberLiveness(catch_up)
        self.locations: dict[str, Location] = {}  # by name; kept for processes that are gone
        self.liveness_term = 0
        self.join_at = now
        self.leader_known_at = now  # when a leader was last known
        self.leader_hint = ""  # the leader as reported by others
        self.log_bytes = sum(len(entry.body) for entry in stored.entries)
        self.last_leader = ""  # the leader at the last ``send_pending``
        self.leaving = False

    # Leader and membership.

    @property
    def is_member(self) -> bool:
        """Whether this process is a member according to its own log."""
        return self.member.identity in self.member.members.all

    @property
    def leader(self) -> str:
        """The leader's identity, or '' if unknown."""
        return self.member.leader if self.is_member else self.member.leader or self.leader_hint

    @property
    def is_leader(self) -> bool:
        """Whether this process is the leader."""
        return self.member.role is Role.LEADER

    @property
    def leader_lost(self) -> bool:
        """Whether no leader has been known for ``LEADER_LOST_AFTER_S``."""
        return not self.leader and self.now - self.leader_known_at >= LEADER_LOST_AFTER_S

    def next_tick_at(self) -> float:
        """When ``tick`` must be called next."""
        times = [self.member.next_tick_at()]
        times += [call.deadline for call in self.pending_commands.values()]
        times += self.read_deadlines.values()
        times += [query.deadline for query in self.age_queries.values()]
        if self.leader:
            times += [call.retry_at for call in self.pending_commands.values() if self.can_send(call)]
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
        """Runs all timers that are due at ``now``."""
        self.now = now
        self.member.tick(now)
        for request_id in [n for n, call in self.pending_commands.items() if now >= call.deadline]:
            del self.pending_commands[request_id]
            self.answers.append((request_id, Verdict(UNKNOWN, "no answer in time", self.state.version)))
        for read_id in [t for t, until in self.read_deadlines.items() if now >= until]:
            self.finish_read(read_id, None)
        for query_id in [n for n, query in self.age_queries.items() if now >= query.deadline]:
            self.finish_age_query(query_id)
        self.request_join()
        self.update_membership()
        self.send_pending()

    def submit(self, command: Command, limit: float, now: float) -> int:
        """Submits a command; within ``limit`` (s) ``answers`` gets its verdict under the returned ID."""
        self.now = now
        self.last_request_id += 1
        request_id = self.last_request_id
        self.pending_commands[request_id] = PendingCommand(
            command, now + (min(limit, LEADERLESS_TIMEOUT_S) if self.leader_lost else limit)
        )
        self.send_pending()
        return request_id

    def confirm_read(self, limit: float, now: float, deferrable: bool = False) -> int:
        """Starts a linearizable read; its applied index is added to ``answers`` under the returned ID.

        By then all commands acknowledged before the call are applied here. The answer is None if no majority
        confirms this within ``limit`` (s). A deferrable read waits for the leader's next heartbeat instead of
        causing messages of its own.
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

    def ask_entry_age(self, index: int, limit: float, now: float) -> int:
        """Asks the voters how long they have known an entry; ``answers`` gets the bounds of its age.

        Answers later than ``limit`` (s) do not count; without those of a majority there is no upper bound.
        """
        self.now = now
        self.last_request_id += 1
        query_id = self.last_request_id
        members = self.member.members
        self.age_queries[query_id] = AgeQuery(
            index, now, now + limit, frozenset(members.voters), members.majority
        )
        for identity in members.voters:
            self.send_to(name_of(identity), EntryAgeRequest(query_id, index))
        return query_id

    def update_peers(self, locations: Mapping[str, Location], now: float) -> None:
        """Sets the control-plane processes that are alive, by name, and their locations."""
        self.now = now
        self.live_names = set(locations) - {self.name}
        self.locations.update(locations)

    def leave(self, now: float) -> bool:
        """Announces the stop to all members and transfers leadership.

        Returns whether this process was the leader and found a successor.
        """
        self.now, self.leaving = now, True
        for identity in self.member.other_members():
            self.outbox.append((name_of(identity), LeaveNotice(self.member.identity, self.member.boot)))
        return self.is_leader and bool(self.member.transfer_leadership(now))

    def fail_pending(self) -> None:
        """Answers all pending calls with an unknown outcome, after a failure or at the stop."""
        for request_id in self.pending_commands:
            self.answers.append((request_id, Verdict(UNKNOWN, "the disk refuses", self.state.version)))
        self.pending_commands.clear()
        for read_id in list(self.read_deadlines):
            self.finish_read(read_id, None)
        for query_id in list(self.age_queries):
            self.finish_age_query(query_id)

    def receive(self, name: str, message: dict[str, Any], now: float) -> None:
        """Handles a message from a process; drops it if it is malformed."""
        self.now = now
        try:
            decoded = messages.decode_message(message)
        except ValueError:
            return
        self.dispatch(name, decoded)
        self.send_pending()

    def dispatch(self, name: str, message: Message) -> None:
        """Handles a message from another process or from this one."""
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
            case EntryAgeRequest():
                self.on_entry_age_request(name, message.request_id, message.index)
            case EntryAgeReply():
                self.on_entry_age_reply(name, message.request_id, message.age)
            case JoinRequest():
                self.on_join_request(name, message.identity)
            case LeaderHint():
                self.on_leader_hint(message.identity)
            case LeaveNotice():
                self.on_leave_notice(name, message.identity, message.boot)

    # Called by the driver.

    def take_output(self) -> Output | None:
        """The next output to store; None if there is nothing to do."""
        output = self.member.take_output()
        idle = not (
            output.must_store or output.messages or output.restore or output.committed
            or output.confirmed_reads or output.failed_reads or output.events
        )  # fmt: skip
        return None if idle else output

    def on_stored(self, output: Output, now: float) -> None:
        """The output's writes are synced: releases its messages and applies its committed entries."""
        self.now = now
        if output.entries:
            first, last = output.entries[0].index, output.entries[-1].index
            self.receipt_times.record(first, last, now, self.member.is_voter)
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
            # Announce the new commit index without waiting for the next heartbeat.
            self.member.broadcast(now)
        self.release_reads()
        self.update_membership()
        self.send_pending()

    def compact_if_due(self) -> Snapshot | None:
        """Compacts the log if it has grown enough; returns the snapshot to store, or None."""
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
        """Resets the state to a snapshot received from the leader."""
        self.state.load(snapshot.body)
        self.receipt_times.record_snapshot(snapshot.index, self.now)
        self.applied_index, self.state_changed = snapshot.index, True
        self.log_bytes = sum(len(entry.body) for entry in self.member.log.entries)
        for index in [i for i in self.proposals if i <= snapshot.index]:
            self.drop_proposal(self.proposals.pop(index))

    def apply_entry(self, entry: Entry) -> None:
        """Applies a committed entry and replies to the sender of its command."""
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
        self.send_to(proposal.requester, CommandReply(proposal.request_id, verdict))

    def drop_proposal(self, proposal: Proposal) -> None:
        """Tells the sender of a command that its outcome is unknown, so that it asks the next leader."""
        self.in_progress.discard((proposal.requester, proposal.request_id))
        self.send_to(proposal.requester, NotLeaderReply(proposal.request_id))

    def release_reads(self) -> None:
        """Answers the reads whose read index is applied."""
        done = [waiting for waiting in self.waiting_reads if waiting.index <= self.applied_index]
        if done:
            self.waiting_reads = [
                waiting for waiting in self.waiting_reads if waiting.index > self.applied_index
            ]
            for read_id in [read_id for waiting in done for read_id in waiting.read_ids]:
                self.read_confirmed |= read_id in self.read_deadlines
                self.finish_read(read_id, self.applied_index)

    # Commands, at the process that received the call.

    def can_send(self, call: PendingCommand) -> bool:
        """Whether all entries that the command must follow are applied here."""
        return call.min_applied_index <= self.applied_index

    def send_pending(self) -> None:
        """Sends pending commands and reads to the leader if they are due."""
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
            if self.can_send(call) and now >= call.retry_at:
                call.sent_to, call.sent_at = leader, now
                command = call.command
                if command.get("do") in ("evacuate", "restore") and "after" not in command:
                    command = {**command, "after": self.applied_index}
                self.send_to(name_of(leader), CommandRequest(request_id, command))
        self.request_read_index(leader)

    def on_command_reply(self, request_id: int, verdict: Verdict) -> None:
        """The leader has replied to a command."""
        call = self.pending_commands.get(request_id)
        if call is None:
            return
        if verdict.kind == STALE and "after" not in call.command:
            call.sent_to, call.sent_at, call.min_applied_index = "", -math.inf, verdict.index
            return
        del self.pending_commands[request_id]
        self.answers.append((request_id, verdict))

    def on_not_leader(self, request_id: int) -> None:
        """The receiver of a command is not the leader."""
        call = self.pending_commands.get(request_id)
        if call is not None:
            call.sent_to, call.sent_at = "", self.now

    # Reads, at the process that received the call.

    def request_read_index(self, leader: str) -> None:
        """Requests a read index from the leader for all queued reads."""
        batch, now = self.read_batch, self.now
        if batch is not None:
            if batch.sent_to == leader and now < batch.sent_at + RETRY_INTERVAL_S:
                return
            # Requeue the unanswered reads: a later read index also serves earlier reads.
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
        self.send_to(name_of(leader), ReadIndexRequest(self.last_request_id, deferrable))

    def on_read_index_reply(self, request_id: int, index: int) -> None:
        """The reply to a read-index request; ``index`` is -1 if the receiver is not the leader."""
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
        """Answers a read unless it has been answered already."""
        self.urgent_reads.discard(read_id)
        if self.read_deadlines.pop(read_id, None) is not None:
            self.answers.append((read_id, index))

    # Ages of entries.

    def on_entry_age_request(self, name: str, request_id: int, index: int) -> None:
        """A process asks how long this one has known an entry."""
        self.send_to(name, EntryAgeReply(request_id, self.receipt_times.age(index, self.now)))

    def on_entry_age_reply(self, name: str, request_id: int, age: EntryAge) -> None:
        """A voter tells how long it has known an entry."""
        query = self.age_queries.get(request_id)
        if query is None:
            return
        query.ages.update({identity: age for identity in query.voters if name_of(identity) == name})
        if query.is_complete():
            self.finish_age_query(request_id)

    def finish_age_query(self, query_id: int) -> None:
        """Answers a question for the age of an entry."""
        self.answers.append((query_id, self.age_queries.pop(query_id).bounds(self.now)))

    # Leader.

    def send_to(self, name: str, message: Message) -> None:
        """Sends a message to a process, which may be this one."""
        if name == self.name:
            self.dispatch(name, message)
        else:
            self.outbox.append((name, message))

    def on_command_request(self, name: str, request_id: int, command: Command) -> None:
        """Proposes a command received from a process."""
        if (name, request_id) in self.in_progress:
            return
        try:
            if self.leaving:
                raise NotLeaderError("")
            entry = self.member.propose(msgspec.json.encode(command), self.now)
        except NotLeaderError:
            self.send_to(name, NotLeaderReply(request_id))
            return
        self.in_progress.add((name, request_id))
        superseded = self.proposals.pop(entry.index, None)
        if superseded is not None:
            self.drop_proposal(superseded)
        self.proposals[entry.index] = Proposal(entry.term, name, request_id)

    def on_read_index_request(self, name: str, request_id: int, deferrable: bool = False) -> None:
        """Starts a linearizable read of the commit index for a process."""
        self.last_request_id += 1
        read_id = self.last_request_id
        self.served_reads[read_id] = name, request_id
        try:
            self.member.request_read(read_id, self.now, deferrable)
        except NotLeaderError:
            self.reply_read_index(read_id, -1)

    def reply_read_index(self, read_id: int, index: int) -> None:
        """Replies to the read-index request that this read was started for."""
        name, request_id = self.served_reads.pop(read_id)
        self.send_to(name, ReadIndexReply(request_id, index))

    # Membership.

    def request_join(self) -> None:
        """Asks to join if not a member, or if the leader is lost: this process may have been removed."""
        now, wanted = self.now, self.leader_lost if self.is_member else True
        if now < self.join_at or not wanted or self.member.role is Role.HALTED:
            return
        self.join_at = now + JOIN_INTERVAL_S
        for name in sorted({*self.live_names, *self.seeds} - {self.name}):
            self.outbox.append((name, JoinRequest(self.member.identity)))

    def on_join_request(self, name: str, identity: str) -> None:
        """A process asks to join; whoever receives it replies with the leader's identity."""
        if name_of(identity) != name or name == self.name:
            return
        if self.is_leader:
            self.join_requests[name] = PendingJoin(identity, self.now + JOIN_REQUEST_TTL_S)
            self.update_membership()
        if self.member.leader:
            self.outbox.append((name, LeaderHint(self.member.leader)))

    def on_leader_hint(self, leader: str) -> None:
        """Another process reports the leader."""
        self.leader_hint = leader

    def on_raft_message(self, message: AnyMessage) -> None:
        """Handles a Raft message."""
        self.member.receive(message, self.now)
        self.liveness.mark_started(message.source, message.boot)

    def on_leave_notice(self, name: str, identity: str, boot: int) -> None:
        """A process is about to stop; recorded by every member, because any may be the next leader."""
        if name_of(identity) == name and identity in self.member.members.all:
            self.liveness.mark_leaving(identity, boot)
            self.update_membership()

    def update_membership(self) -> None:
        """As leader, proposes the next configuration change once the previous one is committed."""
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
        """Updates what this leader knows of the other members' liveness."""
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
        """Processes with a valid join request that are not members yet."""
        members = self.member.members.all
        for name, join in list(self.join_requests.items()):
            if self.now >= join.expires_at or join.identity in members:
                del self.join_requests[name]
        return [JoinCandidate(join.identity) for join in self.join_requests.values()]

    def membership_view(self) -> MembershipView:
        """The input for the decision on the configuration."""
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
        """Whether a member is responsive and has all committed entries."""
        peer = self.member.peers.get(identity)
        return (
            peer is not None
            and self.member.responded_recently(peer, now)
            and peer.match_index >= self.member.commit_index
        )
