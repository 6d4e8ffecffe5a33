"""A Raft member with its state machines: heartbeats, commands and queries in, replies out. No I/O.

Drivers on sockets and in simulation work alike: after each input, call ``take_output`` until it returns None;
each time store and sync the output, send its messages, then call ``apply_output``. Deliver ``replies``.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from latchspoke.consensus.member import Member, NotLeaderError, Output
from latchspoke.consensus.records import Entry, Snapshot
from latchspoke.consensus.state_machines import StateMachines
from latchspoke.duties.coordinator import DutyCoordinator
from latchspoke.duties.findings import NAME as FINDINGS
from latchspoke.duties.findings import FindingsMachine
from latchspoke.duties.machine import NAME, DutiesMachine
from latchspoke.duties.records import Command, DutyState, Heartbeat, HeartbeatReply
from latchspoke.revisions.coordinator import RulesCoordinator
from latchspoke.revisions.machine import RulesMachine
from latchspoke.revisions.records import NAME as RULES
from latchspoke.revisions.records import Activate, RulesAnswer, RulesCommand, RulesQuestion

RULES_HOLDERS = "rules-holders"  # in place of a machine's name: queries the leader's rules coordinator
COMPACT_AFTER_ENTRIES = 1000  # log entries between two snapshots


@dataclass(frozen=True, slots=True)
class Rejected:
    """Not handled here; ``leader`` may be asked, or is ''. A command ``under_way`` may still be applied."""

    leader: str
    under_way: bool = False


@dataclass(frozen=True, slots=True)
class Committed:
    """A command is committed at ``index``; ``why`` is the reason if it had no effect, else ''."""

    index: int
    why: str


@dataclass(frozen=True, slots=True)
class QueryResult:
    """The linearizable result of a query, with all entries up to ``index`` applied."""

    index: int
    body: bytes


class CommandRequest(msgspec.Struct, frozen=True):
    """A command for a state machine; ``ident`` is a random ID that makes retries idempotent."""

    machine: str
    body: bytes
    ident: str = ""


class Query(msgspec.Struct, frozen=True):
    """A query to a state machine."""

    machine: str
    question: bytes = b""


Reply = HeartbeatReply | RulesAnswer | Rejected | Committed | QueryResult


def duty_command(command: Command, ident: str = "") -> CommandRequest:
    """Encodes a command for the duties state machine."""
    return CommandRequest(NAME, msgspec.msgpack.encode(command), ident)


def rules_command(command: RulesCommand, ident: str = "") -> CommandRequest:
    """Encodes a command for the rules state machine."""
    return CommandRequest(RULES, msgspec.msgpack.encode(command), ident)


def decode_duties(result: QueryResult) -> dict[str, DutyState]:
    """Decodes the result of a query to the duties state machine."""
    return msgspec.msgpack.decode(result.body, type=dict[str, DutyState])


@dataclass(slots=True)
class PendingRead:
    """A heartbeat, a gateway's question or a query that waits for the confirmation of its read index."""

    requester: int
    request: Heartbeat | RulesQuestion | Query
    received_at: float
    index: int = -1  # read index, once a quorum has confirmed it


class MemberService:
    """Connects a Raft member with its state machines and the leader's coordinators."""

    def __init__(self, member: Member, drift: float) -> None:
        self.member = member
        self.duties = DutiesMachine()
        self.findings = FindingsMachine(self.duties)
        self.rules = RulesMachine()
        self.machines = StateMachines({NAME: self.duties, FINDINGS: self.findings, RULES: self.rules})
        self.rules_coordinator = RulesCoordinator(self.rules, drift)
        self.coordinator = DutyCoordinator(self.duties, drift)
        self.coordinator_term = -1
        self.pending_reads: dict[int, PendingRead] = {}
        # By log index: the term, the requester, and the command if a coordinator proposed it.
        self.proposed: dict[int, tuple[int, int | None, Command | Activate | None]] = {}
        self.replies: list[tuple[int, Reply]] = []
        self.read_number = 0

    # Inputs. ``requester`` is returned with the reply.

    def handle_heartbeat(self, requester: int, heartbeat: Heartbeat, now: float) -> None:
        """Handles a holder's heartbeat; a leader also proposes the releases that it reports."""
        self.start_read(PendingRead(requester, heartbeat, now), now)
        if self.is_leader:
            for command in self.coordinator.handle_heartbeat(heartbeat, now):
                self.propose(command, now)

    def handle_rules_question(self, requester: int, question: RulesQuestion, now: float) -> None:
        """Handles a gateway's request to renew its rule leases."""
        self.start_read(PendingRead(requester, question, now), now)

    def handle_query(self, requester: int, query: Query, now: float) -> None:
        """Handles a linearizable query to a state machine."""
        self.start_read(PendingRead(requester, query, now), now)

    def handle_command(self, requester: int, request: CommandRequest, now: float) -> None:
        """Appends a command on the leader; any other member rejects it at once."""
        try:
            self.append_command(requester, request, None, now)
        except NotLeaderError as error:
            self.replies.append((requester, Rejected(error.leader)))

    def tick(self, now: float) -> None:
        """Advances the member's timers; a leader proposes the commands that are due."""
        self.member.tick(now)
        if self.is_leader:
            for command in self.coordinator.due_commands(now):
                self.propose(command, now)
            for activate in self.rules_coordinator.due_activations(now):
                self.append_command(None, rules_command(activate), activate, now)

    # Output, for the driver.

    def take_output(self) -> Output | None:
        """Returns None if there is nothing to do."""
        output = self.member.take_output()
        empty = not (
            output.must_store or output.messages or output.restore or output.committed
            or output.confirmed_reads or output.failed_reads or output.events
        )  # fmt: skip
        return None if empty else output

    def apply_output(self, output: Output, now: float) -> None:
        """Applies an output that has been stored and sent."""
        if output.restore is not None:
            self.machines.load(output.restore.index, output.restore.body)
        for entry in output.committed:
            self.apply_entry(entry, now)
        for read_id, index in output.confirmed_reads:
            self.pending_reads[read_id].index = index
        for read_id in output.failed_reads:
            read = self.pending_reads.pop(read_id)
            self.replies.append((read.requester, Rejected(self.member.leader)))
        self.update_leadership()
        self.answer_reads(now)

    def compact(self, min_entries: int = COMPACT_AFTER_ENTRIES) -> Snapshot | None:
        """Returns a snapshot to store in place of the entries it covers, if enough have been applied."""
        applied = self.machines.applied_index
        if self.machines.has_unknown_machine or applied - self.member.log.snapshot.index < min_entries:
            return None
        return self.member.compact(applied, self.machines.dump())

    # Internals.

    @property
    def is_leader(self) -> bool:
        """Whether this member leads and has applied every entry committed before its election."""
        return self.member.committed_in_term and self.coordinator_term == self.member.term

    def update_leadership(self) -> None:
        """Resets the coordinators for a new term, once all entries from before the election are applied."""
        member = self.member
        if member.committed_in_term and self.machines.applied_index >= member.term_start_index:
            if self.coordinator_term != member.term:
                self.coordinator_term = member.term
                self.coordinator.become_leader(member.elected_at)
                self.rules_coordinator.become_leader(member.elected_at)
        else:
            self.coordinator_term = -1

    def start_read(self, read: PendingRead, now: float) -> None:
        """Requests a read index from the member, or rejects if it does not lead."""
        self.read_number += 1
        try:
            self.member.request_read(self.read_number, now)
        except NotLeaderError as error:
            self.replies.append((read.requester, Rejected(error.leader)))
            return
        self.pending_reads[self.read_number] = read

    def propose(self, command: Command, now: float) -> None:
        """Proposes a command of the duty coordinator."""
        self.append_command(None, duty_command(command), command, now)

    def append_command(
        self, requester: int | None, request: CommandRequest, command: Command | Activate | None, now: float
    ) -> None:
        """Appends to the log; ``command`` is set if a coordinator must learn of its application."""
        entry = self.member.propose(
            StateMachines.encode_command(request.machine, request.body, request.ident), now
        )
        self.proposed[entry.index] = entry.term, requester, command

    def apply_entry(self, entry: Entry, now: float) -> None:
        """Applies a committed entry, then informs the coordinator and the requester."""
        result = self.machines.apply(entry)
        term, requester, command = self.proposed.pop(entry.index, (-1, None, None))
        if isinstance(command, Activate):
            self.rules_coordinator.activation_applied(command, now)
        elif command is not None and self.coordinator_term == self.member.term:
            self.coordinator.command_applied(command, now)
        if requester is not None:
            is_own = term == entry.term and result is not None
            self.replies.append(
                (requester, Committed(*result) if is_own and result else Rejected(self.member.leader))
            )

    def answer_reads(self, now: float) -> None:
        """Answers the reads whose read index is confirmed and applied."""
        for read_id, read in list(self.pending_reads.items()):
            if not 0 <= read.index <= self.machines.applied_index:
                continue
            request = read.request
            if isinstance(request, Query):
                del self.pending_reads[read_id]
                self.replies.append((read.requester, self.run_query(request, read.index, now)))
            elif self.is_leader:
                del self.pending_reads[read_id]
                self.replies.append((read.requester, self.answer_read(request, read.received_at, now)))

    def answer_read(self, request: Heartbeat | RulesQuestion, received_at: float, now: float) -> Reply:
        """Lets the coordinator answer a heartbeat or question."""
        if isinstance(request, RulesQuestion):
            return self.rules_coordinator.answer(request, received_at, now)
        return self.coordinator.reply(request, received_at, now)

    def run_query(self, query: Query, index: int, now: float) -> QueryResult | Rejected:
        """Queries a state machine, or the rules coordinator under ``RULES_HOLDERS``."""
        if query.machine == RULES_HOLDERS:
            return QueryResult(index, msgspec.msgpack.encode(self.rules_coordinator.status(now)))
        machine = self.machines.machines.get(query.machine)
        return Rejected("") if machine is None else QueryResult(index, machine.query(query.question))
