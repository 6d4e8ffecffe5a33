"""One Raft member: pre-vote, check-quorum, leadership transfer, and linearizable reads by read index.

Sans-I/O: messages, proposals and the time (monotonic, in seconds) go in; ``take_output`` returns the effects.
The driver must sync the output's writes to disk first, then send its messages, then apply its committed
entries. While a write fails, none of that output may be sent and incoming messages are dropped.

For a read the leader confirms its leadership by a *round*: a broadcast begun after the read arrived and
acknowledged by a majority. This does not depend on synchronized clocks.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import Enum

import msgspec

from latchspoke.consensus.log import Log, members_entry
from latchspoke.consensus.records import (
    AnyMessage,
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
)
from latchspoke.consensus.transfer import IncomingSnapshot, OutgoingSnapshot

STARTUP_PERIOD_ELECTIONS = 5.0  # election timeouts after a start in which ``startup_timeout`` applies
STARTUP_STAGGER = 0.4  # startup timeouts between two candidates; more than the one-way network delay
BOOT_QUERY_INTERVAL_ELECTIONS = 0.5  # election timeouts between boot queries of a restarted member
LEADER_MESSAGES = (Append, Install, InstallPart)  # sent only by a leader
BATCH_MAX_ENTRIES = 256  # entries per message
BATCH_MAX_BYTES = 1_000_000  # of entry bodies per message; a single entry may be larger


class Role(Enum):
    """The role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"  # runs a pre-vote; no term has changed
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "halted"  # its disk is an old copy: others have seen a later boot


class NotLeaderError(Exception):
    """Only the leader can do this; ``leader`` is its identity, or '' if unknown."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class ChangeError(Exception):
    """This configuration change is not possible now; the text is one line."""


class Timing(msgspec.Struct, frozen=True):
    """Intervals in seconds. The election timeout is drawn from ``election_timeout`` to twice that."""

    heartbeat_interval: float = 0.1
    election_timeout: float = 1.0
    startup_timeout: float = 0.0  # replaces ``election_timeout`` right after a start; 0: disabled
    eager_commit: bool = False  # announce a new commit index at once instead of with the next heartbeat
    non_voter_interval: float = 0.0  # between heartbeats to non-voting members; 0: as to voters


class MemberEvent(msgspec.Struct, frozen=True):
    """An event for the operators' log."""

    code: str
    detail: str = ""


class Output(msgspec.Struct):
    """Effects to be carried out in the order of these fields; see the module docstring."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None  # from the leader: replaces all stored entries up to its index
    first_index: int = 0  # if above 0: ``entries`` replace the stored entries from this index on
    entries: tuple[Entry, ...] = ()
    messages: list[AnyMessage] = msgspec.field(default_factory=list)
    restore: Snapshot | None = None  # reset the state machines to this
    committed: tuple[Entry, ...] = ()
    confirmed_reads: list[tuple[int, int]] = msgspec.field(
        default_factory=list
    )  # read ID and the index that must be applied before it is answered
    failed_reads: list[int] = msgspec.field(
        default_factory=list
    )  # read IDs that this member can no longer serve
    events: list[MemberEvent] = msgspec.field(default_factory=list)

    @property
    def must_store(self) -> bool:
        """Whether there is anything to sync to disk."""
        return self.hard_state is not None or self.snapshot is not None or self.first_index > 0


class Peer(msgspec.Struct):
    """A leader's replication state for another member."""

    next_index: int
    last_heard_at: float
    match_index: int = 0
    acked_round: int = 0
    boot: int = 0
    snapshot_retry_at: float = 0.0
    outgoing_snapshot: OutgoingSnapshot | None = None  # a snapshot transfer in progress
    sent_at: float = -math.inf
    sent_commit_index: int = 0  # the commit index last sent to it


class PendingRead(msgspec.Struct):
    """A read that waits for a round to confirm the leadership."""

    read_id: int
    read_index: int


class Member:
    """See the module docstring. Not thread-safe."""

    def __init__(
        self, stored: Stored, timing: Timing, rng: random.Random, now: float, applied_index: int = 0
    ) -> None:
        """``applied_index``: the state machines have already applied all entries up to here."""
        self.identity, self.boot, self.timing, self.rng = stored.identity, stored.boot, timing, rng
        self.hard_state = stored.hard_state
        self.log = Log(stored.snapshot, stored.entries)
        self.commit_index = self.applied_index = max(stored.snapshot.index, applied_index)
        self.role, self.leader = Role.FOLLOWER, ""
        self.leader_heard_at = -math.inf  # time of the last message from the leader
        self.peers: dict[str, Peer] = {}
        self.votes_received: set[str] = set()
        self.known_boots: dict[str, int] = {}
        # A store that was started before may be an old copy: the member asks the others before it votes.
        self.boot_unverified = stored.boot > 1
        self.boot_confirmed_by: set[str] = set()
        self.boot_query_at = now
        self.elected_at = 0.0
        self.term_start_index = 0  # index of the first entry of this leader's term
        self.round_number = 0
        self.heartbeat_at = 0.0
        self.pending_reads: list[PendingRead] = []  # reads for the next round
        self.deferred_reads: list[PendingRead] = []  # reads that wait for the next scheduled round
        self.reads_by_round: dict[int, list[PendingRead]] = {}  # reads by the round that confirms them
        self.incoming_snapshot: IncomingSnapshot | None = None  # a snapshot transfer from the leader
        self.output = Output()
        self.first_unstored = 0
        self.saved_hard_state = self.hard_state
        if stored.snapshot.index:
            self.output.restore = stored.snapshot
        self.reset_election_timer(now)
        self.startup_until = (
            now + STARTUP_PERIOD_ELECTIONS * timing.election_timeout if timing.startup_timeout else now
        )
        self.schedule_startup_election(now)

    # Public interface.

    @property
    def members(self) -> Members:
        """The configuration in force, committed or not."""
        return self.log.members

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether this member votes in the configuration in force."""
        return self.identity in self.members.voters

    @property
    def committed_in_term(self) -> bool:
        """Whether this is a leader that has committed an entry of its term and so knows all earlier ones."""
        return self.role is Role.LEADER and self.commit_index >= self.term_start_index

    def next_tick_at(self) -> float:
        """When ``tick`` must be called next."""
        if self.role is Role.HALTED:
            return math.inf
        times = [self.heartbeat_at if self.role is Role.LEADER else self.election_at]
        if self.boot_unverified:
            times.append(self.boot_query_at)
        return min(times)

    def propose(self, body: bytes, now: float) -> Entry:
        """Appends a command. It is committed once this entry is output, and lost if another takes its index.

        Raises NotLeaderError.
        """
        return self.append_command(Kind.DATA, body, now)

    def change_members(self, members: Members, now: float) -> Entry:
        """Starts a configuration change of at most one voter. Raises NotLeaderError, ChangeError."""
        self.require_leader()
        if not self.committed_in_term:
            raise ChangeError("this leader has not yet committed an entry of its term")
        if self.log.members_index() > self.commit_index:
            raise ChangeError("a change of the members is under way")
        if len(set(members.voters) ^ set(self.members.voters)) > 1:
            raise ChangeError("one voter can be added or removed at a time")
        if not members.voters:
            raise ChangeError("nobody would be left to vote")
        index = self.log.last_index + 1
        entry = members_entry(index, self.term, members)
        self.append_entry(entry, now)
        return entry

    def request_read(self, read_id: int, now: float, deferrable: bool = False) -> None:
        """Starts a linearizable read; it ends up in ``confirmed_reads`` or ``failed_reads`` of an output.

        A deferrable read waits for the next scheduled heartbeat instead of starting a round.
        Raises NotLeaderError.
        """
        self.require_leader()
        (self.deferred_reads if deferrable else self.pending_reads).append(
            PendingRead(read_id, max(self.commit_index, self.term_start_index))
        )
        if not deferrable and not self.reads_by_round:
            self.broadcast(now)

    def transfer_leadership(self, now: float) -> str:
        """Asks the responsive voter with the longest log to take over; its identity, or '' if none."""
        self.require_leader()
        candidates = {
            n: p
            for n, p in self.peers.items()
            if n in self.members.voters and self.responded_recently(p, now)
        }
        name = max(candidates, key=lambda name: (candidates[name].match_index, name), default="")
        if name:
            self.send_message(TimeoutNow, name)
            self.record_event("hands-over", name)
        return name

    def compact(self, index: int, body: bytes) -> Snapshot:
        """Replaces the entries up to ``index``, all applied, by a snapshot with the state ``body``."""
        term = self.log.term_at(index)
        assert term is not None and index <= self.applied_index
        snapshot = Snapshot(index, term, self.log.members_at(index), body)
        self.log.compact(snapshot)
        return snapshot

    def take_output(self) -> Output:
        """The effects since the last call."""
        output, self.output = self.output, Output()
        if self.hard_state != self.saved_hard_state:
            output.hard_state = self.saved_hard_state = self.hard_state
        if self.first_unstored:
            output.first_index, self.first_unstored = self.first_unstored, 0
            output.entries = self.log.entries_between(output.first_index, self.log.last_index)
        if self.commit_index > self.applied_index:
            output.committed = self.log.entries_between(self.applied_index + 1, self.commit_index)
            self.applied_index = self.commit_index
        return output

    # Timers.

    def tick(self, now: float) -> None:
        """Runs the timers that are due: heartbeats, the check for a quorum, elections, boot queries."""
        if self.boot_unverified and now >= self.boot_query_at and self.role is not Role.HALTED:
            self.query_boots(now)
        if self.role is Role.LEADER:
            responsive = {name for name, peer in self.peers.items() if self.responded_recently(peer, now)}
            if not self.members.has_quorum(responsive | {self.identity}):
                self.record_event("lost-majority")
                self.become_follower("", now)
            elif now >= self.heartbeat_at:
                self.broadcast(now)
        elif self.role is not Role.HALTED and now >= self.election_at:
            self.start_pre_vote(now)

    def reset_election_timer(self, now: float) -> None:
        """Draws a new election timeout."""
        self.election_at = now + self.timing.election_timeout * (1 + self.rng.random())

    def schedule_startup_election(self, now: float, timeouts: float = 1.0) -> None:
        """Shortens the election timeout right after a start, as long as no leader has been heard of.

        The pre-vote makes this safe where a leader exists. Members are staggered by rank, because candidates
        that start within one network delay of each other split the vote.
        """
        if self.leader_heard_at == -math.inf and now < self.startup_until:
            rank = sum(name < self.identity for name in self.members.voters)
            stagger = STARTUP_STAGGER * (rank + self.rng.random())
            self.election_at = now + timeouts * self.timing.startup_timeout * (1 + stagger)

    def responded_recently(self, peer: Peer, now: float) -> bool:
        """Whether a peer has replied within the minimum election timeout."""
        return now - peer.last_heard_at < self.timing.election_timeout

    def query_boots(self, now: float) -> None:
        """Asks the other members whether they have seen a later boot of this store."""
        self.boot_query_at = now + BOOT_QUERY_INTERVAL_ELECTIONS * self.timing.election_timeout
        for name in self.other_members():
            self.send_message(BootQuery, name)
        self.check_boot_confirmed()

    def check_boot_confirmed(self) -> None:
        """Lets this member vote once a majority has confirmed that its boot is the latest."""
        if self.boot_unverified and self.members.has_quorum(self.boot_confirmed_by | {self.identity}):
            self.boot_unverified = False

    # Elections.

    def start_pre_vote(self, now: float) -> None:
        """Starts a pre-vote, so that a member that was partitioned does not increase the term."""
        self.reset_election_timer(now)
        self.schedule_startup_election(now)
        self.leader = ""
        if not self.is_voter or self.boot_unverified:
            self.role = Role.FOLLOWER
            return
        self.role, self.votes_received = Role.PRE_CANDIDATE, {self.identity}
        for name in self.other_voters():
            self.request_vote(name, pre_vote=True)
        self.count_votes(now)

    def start_election(self, now: float) -> None:
        """Becomes a candidate in the next term and requests votes."""
        self.role, self.votes_received = Role.CANDIDATE, {self.identity}
        self.hard_state = HardState(self.term + 1, self.identity)
        self.reset_election_timer(now)
        self.schedule_startup_election(now, 2.0)  # the vote takes as long as the pre-vote did
        self.record_event("stands", f"term {self.term}")
        for name in self.other_voters():
            self.request_vote(name, pre_vote=False)
        self.count_votes(now)

    def request_vote(self, name: str, pre_vote: bool) -> None:
        """Sends a vote or pre-vote request with the position of the last log entry."""
        last_entry = self.log.last_index, self.log.last_term
        self.output.messages.append(
            VoteRequest(
                self.identity, name, self.boot, self.term + pre_vote, last_entry[0], last_entry[1], pre_vote
            )
        )

    def count_votes(self, now: float) -> None:
        """With a majority, proceeds from the pre-vote to the election, or to leadership."""
        if not self.members.has_quorum(self.votes_received):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_election(now)
        elif self.role is Role.CANDIDATE:
            self.become_leader(now)

    def become_leader(self, now: float) -> None:
        """Starts a term as leader with a no-op entry."""
        self.role, self.leader, self.elected_at = Role.LEADER, self.identity, now
        self.peers = {name: Peer(self.log.last_index + 1, now) for name in self.other_members()}
        self.pending_reads, self.deferred_reads, self.reads_by_round = [], [], {}
        self.record_event("leads", f"term {self.term}")
        self.term_start_index = self.log.last_index + 1
        # Entries of earlier terms are committed only together with this one (Raft, section 5.4.2).
        self.append_entry(Entry(self.term_start_index, self.term), now)

    def on_vote_request(self, message: VoteRequest, now: float) -> None:
        """Grants a vote to a candidate with an up-to-date log, at most one per term but any pre-votes."""
        log_up_to_date = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        if message.pre_vote:
            granted = log_up_to_date and message.term > self.term and not self.boot_unverified
            term = message.term if granted else self.term
            self.output.messages.append(
                VoteReply(self.identity, message.source, self.boot, term, granted, True)
            )
            return
        vote_available = self.hard_state.vote in ("", message.source)
        granted = message.term == self.term and vote_available and log_up_to_date and not self.boot_unverified
        if granted:
            self.hard_state = HardState(self.term, message.source)
            self.reset_election_timer(now)
        self.output.messages.append(
            VoteReply(self.identity, message.source, self.boot, self.term, granted, False)
        )

    def on_vote_reply(self, message: VoteReply, now: float) -> None:
        """Counts a vote if it belongs to the current election or pre-vote."""
        expected_role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        term = self.term + message.pre_vote
        if message.granted and self.role is expected_role and message.term == term:
            self.votes_received.add(message.source)
            self.count_votes(now)

    def on_timeout_now(self, message: TimeoutNow, now: float) -> None:
        """Starts an election at the request of the leader."""
        if self.is_voter and not self.boot_unverified and message.term == self.term:
            # The leader asked for this, so no pre-vote is needed.
            self.start_election(now)

    def become_follower(self, leader: str, now: float, term: int | None = None) -> None:
        """Becomes a follower, in ``term`` if that is later; a leader's pending reads fail."""
        if term is not None and term > self.term:
            self.hard_state = HardState(term)
        if self.role is Role.LEADER:
            self.record_event("steps-back", f"term {self.term}")
            reads = (
                [read for round_reads in self.reads_by_round.values() for read in round_reads]
                + self.pending_reads
                + self.deferred_reads
            )
            self.output.failed_reads += [read.read_id for read in reads]
            self.pending_reads, self.deferred_reads, self.reads_by_round, self.peers = [], [], {}, {}
        if leader and leader != self.leader:
            self.record_event("follows", f"{leader}, term {self.term}")
        self.role, self.leader = Role.FOLLOWER, leader
        self.reset_election_timer(now)

    # Messages.

    def receive(self, message: AnyMessage, now: float) -> None:
        """Handles a message. Drops those for another identity or from an earlier boot of the sender."""
        if message.target != self.identity or self.role is Role.HALTED:
            return
        known_boot = self.known_boots.get(message.source, 0)
        if message.boot < known_boot:
            self.reply_boot(message.source, known_boot)
            return
        self.known_boots[message.source] = message.boot
        if isinstance(message, BootQuery):
            self.reply_boot(message.source, message.boot)
            return
        if isinstance(message, BootReply):
            self.on_boot_reply(message)
            return
        if isinstance(message, VoteRequest) and self.ignores_candidate(message, now):
            return
        pre_vote = isinstance(message, VoteRequest | VoteReply) and message.pre_vote
        if message.term > self.term and not (pre_vote and getattr(message, "granted", True)):
            leader = message.source if isinstance(message, LEADER_MESSAGES) else ""
            self.become_follower(leader, now, message.term)
        if message.term < self.term:
            self.reply_to_stale_term(message)
            return
        HANDLERS[type(message)](self, message, now)

    def ignores_candidate(self, message: VoteRequest, now: float) -> bool:
        """Whether to ignore a vote request because there is an active leader.

        Removed or partitioned members would otherwise disrupt the cluster.
        """
        if self.leader in ("", message.source) or (not message.pre_vote and message.term == self.term + 1):
            # A candidate for the very next term has won a pre-vote or was asked by the leader.
            return False
        return self.role is Role.LEADER or now - self.leader_heard_at < self.timing.election_timeout

    def reply_to_stale_term(self, message: Message) -> None:
        """Informs a leader or candidate of an earlier term of the current one."""
        if isinstance(message, LEADER_MESSAGES):
            self.send_message(AppendReply, message.source)
        elif isinstance(message, VoteRequest):
            self.send_message(VoteReply, message.source, pre_vote=message.pre_vote)

    def reply_boot(self, target: str, latest_boot: int) -> None:
        """Tells a member its latest boot known here."""
        self.send_message(BootReply, target, latest=latest_boot)

    def on_boot_reply(self, message: BootReply) -> None:
        """Halts if another member has seen a later boot; otherwise counts the confirmation."""
        if message.latest > self.boot:
            self.role, self.leader = Role.HALTED, ""
            self.record_event(
                "old-disk", f"start {self.boot}; {message.source} has heard of start {message.latest}"
            )
            return
        self.boot_confirmed_by.add(message.source)
        self.check_boot_confirmed()

    def on_append(self, message: Append, now: float) -> None:
        """Appends the leader's entries if the preceding entry matches, overwriting conflicting ones."""
        self.record_leader_contact(message.source, now)
        before_index = message.before_index
        if before_index < self.log.snapshot.index:
            # Committed entries are identical everywhere, so the logs agree up to the commit index.
            self.acknowledge(message.source, self.commit_index, message.round_number)
            return
        if self.log.term_at(before_index) != message.before_term:
            self.send_message(
                AppendReply,
                message.source,
                index=self.conflict_hint(before_index),
                round_number=message.round_number,
            )
            return
        for entry in message.entries:
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                assert entry.index > self.commit_index, "a committed entry must not be replaced"
                self.log.truncate_from(entry.index)
            self.log.append(entry)
            self.mark_unstored(entry.index)
        last_index = before_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit, last_index))
        self.acknowledge(message.source, last_index, message.round_number)

    def conflict_hint(self, before_index: int) -> int:
        """Where the leader should retry: before all uncommitted entries of the conflicting term."""
        if before_index > self.log.last_index:
            return self.log.last_index
        term, index = self.log.term_at(before_index), before_index - 1
        while index > self.commit_index and self.log.term_at(index) == term:
            index -= 1
        return index

    def on_install(self, message: Install, now: float) -> None:
        """Installs a snapshot that arrived in one message."""
        self.record_leader_contact(message.source, now)
        self.install_snapshot(message.snapshot)
        self.acknowledge(message.source, self.commit_index, message.round_number)

    def on_install_part(self, message: InstallPart, now: float) -> None:
        """Adds a snapshot chunk; installs the snapshot once it is complete."""
        self.record_leader_contact(message.source, now)
        if message.index > self.commit_index:
            if self.incoming_snapshot is None or not self.incoming_snapshot.accepts(message):
                self.incoming_snapshot = IncomingSnapshot(message.source, message.term, message.index)
            snapshot = self.incoming_snapshot.append_part(message)
            if snapshot is None:
                received_bytes = len(self.incoming_snapshot.body)
                self.send_message(
                    InstallProgress,
                    message.source,
                    index=message.index,
                    offset=received_bytes,
                    round_number=message.round_number,
                )
                return
            self.install_snapshot(snapshot)
        self.incoming_snapshot = None
        self.acknowledge(message.source, self.commit_index, message.round_number)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Resets the log to ``snapshot``, unless its entries are already committed here."""
        if snapshot.index <= self.commit_index:
            return
        self.log.compact(snapshot)
        self.commit_index = self.applied_index = snapshot.index
        self.output.snapshot = self.output.restore = snapshot
        self.mark_unstored(self.log.first_index)
        self.record_event("snapshot", f"up to {snapshot.index}")

    def record_leader_contact(self, leader: str, now: float) -> None:
        """Follows the sender of a leader's message and resets the election timer."""
        if self.leader != leader or self.role is not Role.FOLLOWER:
            self.become_follower(leader, now)
        self.leader_heard_at = now
        self.reset_election_timer(now)

    def acknowledge(self, leader: str, index: int, round_number: int) -> None:
        """Tells the leader that the log matches up to ``index``."""
        self.send_message(AppendReply, leader, ok=True, index=index, round_number=round_number)

    # Leader.

    def require_leader(self) -> None:
        """Raises NotLeaderError unless this member is the leader."""
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)

    def append_command(self, kind: Kind, body: bytes, now: float) -> Entry:
        """Appends an entry with the next index. Raises NotLeaderError."""
        self.require_leader()
        entry = Entry(self.log.last_index + 1, self.term, kind, body)
        self.append_entry(entry, now)
        return entry

    def append_entry(self, entry: Entry, now: float) -> None:
        """Appends an entry as leader and replicates it."""
        self.log.append(entry)
        self.mark_unstored(entry.index)
        if entry.kind is Kind.MEMBERS:
            old_peers = self.peers
            self.peers = {n: old_peers.get(n) or Peer(entry.index, now) for n in self.other_members()}
        self.broadcast(now)
        self.advance_commit_index(now)

    def broadcast(self, now: float) -> None:
        """Starts a round: sends every peer the entries it lacks, or a heartbeat."""
        self.round_number += 1
        self.heartbeat_at = now + self.timing.heartbeat_interval
        if self.pending_reads or self.deferred_reads:
            self.reads_by_round[self.round_number], self.pending_reads, self.deferred_reads = (
                self.pending_reads + self.deferred_reads,
                [],
                [],
            )
        for name, peer in self.peers.items():
            if not self.can_skip_peer(name, peer, now):
                self.send_entries(name, peer, now)
        self.confirm_reads()

    def can_skip_peer(self, name: str, peer: Peer, now: float) -> bool:
        """Whether this round skips an up-to-date non-voting member that was sent a message recently."""
        if name in self.members.voters or now - peer.sent_at >= self.timing.non_voter_interval:
            return False
        return peer.next_index > self.log.last_index and peer.sent_commit_index >= self.commit_index

    def send_entries(self, name: str, peer: Peer, now: float) -> None:
        """Sends a peer its next entries, or a snapshot if they have been compacted."""
        peer.sent_at = now
        if peer.next_index < self.log.first_index:
            if now >= peer.snapshot_retry_at:
                peer.snapshot_retry_at = now + self.timing.election_timeout
                self.send_snapshot(name, peer)
                return
            # While a snapshot chunk is in flight, send a heartbeat; the follower rejects it as a mismatch.
            self.send_append(name, self.log.snapshot.index, (), 0)
            return
        entries = limit_batch(
            self.log.entries_between(peer.next_index, self.log.last_index, BATCH_MAX_ENTRIES)
        )
        self.send_append(name, peer.next_index - 1, entries, self.commit_index)
        peer.next_index += len(entries)
        peer.sent_commit_index = self.commit_index

    def send_snapshot(self, name: str, peer: Peer) -> None:
        """Sends the next chunk. A transfer in progress is finished before a newer snapshot is sent."""
        if peer.outgoing_snapshot is None or not peer.outgoing_snapshot.offset:
            peer.outgoing_snapshot = OutgoingSnapshot(self.log.snapshot)
        outgoing, snapshot = peer.outgoing_snapshot, peer.outgoing_snapshot.snapshot
        if outgoing.fits_one_message:
            self.send_message(Install, name, snapshot=snapshot, round_number=self.round_number)
            return
        self.send_message(
            InstallPart, name, index=snapshot.index, snapshot_term=snapshot.term, members=snapshot.members,
            offset=outgoing.offset, total=len(snapshot.body), body=outgoing.next_part(),
            round_number=self.round_number,
        )  # fmt: skip

    def is_sending_snapshot(self, now: float) -> bool:
        """Whether a snapshot is being sent to a responsive member; a newer one would have to follow it."""
        return any(
            peer.outgoing_snapshot is not None and self.responded_recently(peer, now)
            for peer in self.peers.values()
        )

    def send_append(
        self, name: str, before_index: int, entries: tuple[Entry, ...], commit_index: int
    ) -> None:
        """Sends an Append with the entries after ``before_index``."""
        term = self.log.term_at(before_index)
        assert term is not None
        self.send_message(
            Append, name, before_index=before_index, before_term=term, entries=entries, commit=commit_index,
            round_number=self.round_number,
        )  # fmt: skip

    def record_response(self, message: AppendReply | InstallProgress, now: float) -> Peer | None:
        """Records a follower's reply; None if this is not the leader or the sender not a member."""
        peer = self.peers.get(message.source)
        if self.role is not Role.LEADER or peer is None:
            return None
        if peer.boot != message.boot:
            # It restarted: what it stored before counts again only once it acknowledges it.
            peer.boot, peer.match_index = message.boot, 0
        peer.last_heard_at = now
        peer.acked_round = max(peer.acked_round, message.round_number)
        self.confirm_reads()
        return peer

    def on_install_progress(self, message: InstallProgress, now: float) -> None:
        """Sends the next snapshot chunk."""
        peer = self.record_response(message, now)
        if peer is None or peer.outgoing_snapshot is None:
            return
        if peer.outgoing_snapshot.acknowledge(message.index, message.offset):
            peer.snapshot_retry_at = 0.0
            self.send_entries(message.source, peer, now)

    def on_append_reply(self, message: AppendReply, now: float) -> None:
        """Advances the follower's match index, or retries further back after a mismatch."""
        peer = self.record_response(message, now)
        if peer is None:
            return
        if not message.ok:
            peer.next_index = max(min(peer.next_index, message.index + 1), peer.match_index + 1)
            if now >= peer.snapshot_retry_at:
                self.send_entries(message.source, peer, now)
            return
        peer.match_index = max(peer.match_index, message.index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        if peer.outgoing_snapshot is not None and peer.match_index >= peer.outgoing_snapshot.snapshot.index:
            peer.outgoing_snapshot, peer.snapshot_retry_at = None, 0.0
        self.advance_commit_index(now)
        if self.role is Role.LEADER and peer.next_index <= self.log.last_index:
            self.send_entries(message.source, peer, now)
        if self.pending_reads and not self.reads_by_round:
            self.broadcast(now)
        self.promote_learner(message.source, peer, now)

    def advance_commit_index(self, now: float) -> None:
        """Commits what a majority has stored, if the last of it is an entry of the current term."""
        match_indexes = {name: peer.match_index for name, peer in self.peers.items()}
        match_indexes[self.identity] = self.log.last_index
        descending = sorted((match_indexes.get(name, 0) for name in self.members.voters), reverse=True)
        index = descending[self.members.majority - 1] if descending else 0
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self.confirm_reads()
            if not self.is_voter and self.log.members_index() <= index:
                # This leader was removed and the change is committed: the others elect a new leader.
                self.record_event("removed")
                self.broadcast(now)
                self.become_follower("", now)
            elif self.timing.eager_commit:
                self.broadcast(now)

    def confirm_reads(self) -> None:
        """Confirms the reads whose round a majority has acknowledged."""
        if not self.committed_in_term:
            return
        for round_number in sorted(self.reads_by_round):
            acked = {name for name, peer in self.peers.items() if peer.acked_round >= round_number}
            if not self.members.has_quorum(acked | {self.identity}):
                break
            self.output.confirmed_reads += [
                (read.read_id, read.read_index) for read in self.reads_by_round.pop(round_number)
            ]

    def promote_learner(self, name: str, peer: Peer, now: float) -> None:
        """Makes a learner that has caught up a voter."""
        members = self.members
        if name not in members.learners or peer.match_index < self.commit_index or not self.committed_in_term:
            return
        if self.log.members_index() <= self.commit_index:
            learners = tuple(n for n in members.learners if n != name)
            self.record_event("promoted", name)
            voters = (*members.voters, name)
            self.change_members(Members(voters, learners, members.former, members.non_voters), now)

    # Helpers.

    def other_members(self) -> list[str]:
        """All members except this one."""
        return [name for name in self.members.all if name != self.identity]

    def other_voters(self) -> list[str]:
        """All voters except this one."""
        return [name for name in self.members.voters if name != self.identity]

    def send_message(self, message_type: Callable[..., AnyMessage], target: str, **fields: object) -> None:
        """Queues a message with this member's identity, boot and term."""
        self.output.messages.append(message_type(self.identity, target, self.boot, self.term, **fields))

    def mark_unstored(self, index: int) -> None:
        """Marks the entries from ``index`` on for the next output."""
        self.first_unstored = min(self.first_unstored or index, index)

    def record_event(self, code: str, detail: str = "") -> None:
        """Queues an event for the operators' log."""
        self.output.events.append(MemberEvent(code, detail))


def limit_batch(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """The leading entries that fit into one message, at least one."""
    size = 0
    for position, entry in enumerate(entries):
        size += len(entry.body)
        if size > BATCH_MAX_BYTES:
            return entries[: max(position, 1)]
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
