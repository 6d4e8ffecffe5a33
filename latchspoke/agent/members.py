"""Runs one member of the replicated log on sockets, with its on-disk store.

Inputs that arrive during a disk sync are processed together, so that one sync serves many of them. While the
disk refuses writes, the member sends nothing that depends on them and drops its inputs; it resumes by itself
once a write succeeds.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from collections import Counter, deque
from collections.abc import Callable
from pathlib import Path

import msgspec
import structlog

from latchspoke.agent.config import MembersRecord, TlsRecord
from latchspoke.agent.peer_transport import (
    AskFrame,
    ConsensusMessage,
    Frame,
    Hello,
    PeerTls,
    PeerTransport,
    ReplyFrame,
)
from latchspoke.agent.raft_store import RaftStore, RaftStoreError
from latchspoke.consensus import records
from latchspoke.consensus.member import ChangeError, Member, NotLeaderError, Output, Role, Timing
from latchspoke.consensus.records import Members, name_of
from latchspoke.duties.member_service import (
    CommandRequest,
    Committed,
    MemberService,
    Query,
    QueryResult,
    Rejected,
    Reply,
)
from latchspoke.duties.records import Heartbeat, HeartbeatReply
from latchspoke.revisions.records import RulesAnswer, RulesQuestion
from latchspoke.transport.request_ids import first_request_id

log = structlog.get_logger("agent.members")

TICK_INTERVAL_S = 0.05
DISK_RETRY_S = 0.5
REPLY_TIMEOUT_S = 2.0


class MemberStatus(msgspec.Struct, frozen=True):
    """A member's own state; ``leader`` is '' if it knows of none."""

    identity: str
    role: str
    term: int
    leader: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    commit: int
    last: int
    mute: bool
    disk: str = ""  # the error while writes fail
    counters: dict[str, int] = {}


class MembersChange(msgspec.Struct, frozen=True):
    """A change of the membership; exactly one of the two is the name of an agent."""

    add: str = ""
    remove: str = ""


def clock() -> float:
    """Monotonic seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class MemberDriver:
    """One member of the replicated log as part of a process."""

    def __init__(self, name: str, record: MembersRecord, home: Path, tls: TlsRecord | None = None) -> None:
        """Raises RaftStoreError, KeysError."""
        self.name, self.record = name, record
        peer_tls = PeerTls(tls) if record.tls and tls is not None else None
        self.raft_store = RaftStore(home / "members.db")
        stored = self.raft_store.start(name, secrets.token_hex(4), record.first)
        timing = Timing(record.beat, record.election)
        self.replica = MemberService(Member(stored, timing, random.Random(), clock()), record.drift)
        self.inputs: deque[Callable[[float], None]] = deque()
        self.input_ready = asyncio.Event()
        self.pending_replies: dict[int, Callable[[Reply], None]] = {}
        self.forwarded: dict[int, asyncio.Future[Reply]] = {}
        self.last_request_id = first_request_id(secrets.token_hex(8))
        self.known_identities: dict[str, str] = {}  # by name, from the hello frames received
        self.disk_error = ""
        self.counters: Counter[str] = Counter()
        self.transport = PeerTransport(Hello(name, stored.identity), record.peers, self.on_frame, peer_tls)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Raises OSError."""
        await self.transport.listen(self.record.peers[self.name])
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def stop(self) -> None:
        """Stop the member; a leader transfers its leadership first, to avoid an election timeout."""
        if self.replica.member.role is Role.LEADER:
            self.enqueue(self.transfer_leadership)
            await asyncio.sleep(2 * TICK_INTERVAL_S)
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        self.transport.stop()
        self.raft_store.close()

    def transfer_leadership(self, now: float) -> None:
        with contextlib.suppress(NotLeaderError):
            self.replica.member.transfer_leadership(now)

    # Inputs.

    def enqueue(self, handle: Callable[[float], None]) -> None:
        self.inputs.append(handle)
        self.input_ready.set()

    def on_frame(self, name: str, frame: Frame) -> None:
        match frame:
            case Hello(_, identity):
                self.known_identities[name] = identity
            case ConsensusMessage(data):
                message = records.decode(data)
                self.enqueue(lambda now: self.replica.member.receive(message, now))
            case AskFrame(number):
                self.submit(frame, lambda reply: self.transport.send(name, to_frame(number, reply)))
            case ReplyFrame(number):
                future = self.forwarded.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(from_frame(frame))

    def submit(self, request: AskFrame, reply_to: Callable[[Reply], None]) -> None:
        self.last_request_id += 1
        number, replica = self.last_request_id, self.replica
        self.pending_replies[number] = reply_to
        beat, put, look, question = request.beat, request.put, request.look, request.question
        if beat is not None:
            self.counters["beats"] += 1
            self.enqueue(lambda now: replica.handle_heartbeat(number, beat, now))
        elif question is not None:
            self.counters["questions"] += 1
            self.enqueue(lambda now: replica.handle_rules_question(number, question, now))
        elif put is not None:
            self.counters["commands"] += 1
            self.enqueue(lambda now: replica.handle_command(number, put, now))
        elif look is not None:
            self.counters["looks"] += 1
            self.enqueue(lambda now: replica.handle_query(number, look, now))

    async def ask(
        self,
        beat: Heartbeat | None = None,
        put: CommandRequest | None = None,
        look: Query | None = None,
        question: RulesQuestion | None = None,
    ) -> Reply:
        """Ask this member, or the leader through it.

        ``Refused`` after the timeout; for a command the outcome is then unknown (``under_way``).
        """
        request = AskFrame(0, beat, put, look, question)
        no_reply = Rejected("", under_way=put is not None)
        if self.replica.member.role is Role.HALTED:
            return Rejected("")
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                future: asyncio.Future[Reply] = loop.create_future()
                self.submit(request, lambda reply: None if future.done() else future.set_result(reply))
                reply = await future
                if not isinstance(reply, Rejected) or reply.leader in ("", self.replica.member.identity):
                    return reply
                self.last_request_id += 1
                number, future = self.last_request_id, loop.create_future()
                self.forwarded[number] = future
                try:
                    leader_name = name_of(reply.leader)
                    self.transport.send(leader_name, msgspec.structs.replace(request, number=number))
                    return await future
                finally:
                    self.forwarded.pop(number, None)
        return no_reply

    async def change(self, add: str = "", remove: str = "") -> str:
        """Propose a membership change, by name, on the leader; returns '' or the reason for refusal."""
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.enqueue(lambda now: future.set_result(self.apply_change(add, remove, now)))
        return await future

    def apply_change(self, add: str, remove: str, now: float) -> str:
        member = self.replica.member
        current = member.members
        if add and add not in self.known_identities:
            return f"{add} has not been heard here"
        if remove and not any(name_of(identity) == remove for identity in current.all):
            return f"{remove} is no member"
        voters = tuple(n for n in current.voters if name_of(n) != remove)
        learners = tuple(n for n in current.learners if name_of(n) != remove)
        former = tuple(sorted({*current.former, remove} - {add, ""}))
        if add and self.known_identities[add] not in current.all:
            learners += (self.known_identities[add],)
        try:
            member.change_members(Members(voters, learners, former), now)
        except (ChangeError, NotLeaderError) as e:
            return str(e)
        return ""

    def status(self) -> MemberStatus:
        member = self.replica.member
        return MemberStatus(
            member.identity, member.role.value, member.term, member.leader, member.members.voters,
            member.members.learners, member.commit_index, member.log.last_index, member.boot_unverified,
            self.disk_error, dict(sorted(self.counters.items())),
        )  # fmt: skip

    # Processing.

    async def run(self) -> None:
        """Process inputs; an unexpected exception halts this member, visibly in its status."""
        try:
            await self.process_inputs()
        except Exception as e:
            self.disk_error = f"failed: {e!r}"
            log.exception("member-failed", member=self.replica.member.identity)
            self.replica.member.role = Role.HALTED
            self.transport.stop()
            self.fail_pending()

    def fail_pending(self) -> None:
        """Answer all pending requests as refused with an unknown outcome."""
        pending, self.pending_replies = self.pending_replies, {}
        for reply_to in pending.values():
            reply_to(Rejected("", under_way=True))

    async def process_inputs(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self.input_ready.wait()
            self.input_ready.clear()
            now = clock()
            while self.inputs:
                self.inputs.popleft()(now)
            self.replica.tick(now)
            self.add_known_members(now)
            await self.process_outputs()

    async def process_outputs(self) -> None:
        while (output := self.replica.take_output()) is not None:
            if output.must_store:
                await self.persist(output)
            for note in output.events:
                self.record_note(note.code, note.detail)
            for message in output.messages:
                self.transport.send(name_of(message.target), ConsensusMessage(records.encode(message)))
            self.counters["messages"] += len(output.messages)
            self.counters["entries"] += len(output.committed)
            self.replica.apply_output(output, clock())
            for notes in (self.replica.duties.events, self.replica.rules.events):
                while notes:
                    self.record_note(*notes.popleft())
            snapshot = self.replica.compact()
            if snapshot is not None:
                with contextlib.suppress(RaftStoreError):  # compaction is tried again later
                    await asyncio.to_thread(self.raft_store.compact, snapshot)
        answers, self.replica.replies = self.replica.replies, []
        for number, reply in answers:
            reply_to = self.pending_replies.pop(number, None)
            self.counters["refused"] += isinstance(reply, Rejected)
            if reply_to is not None:
                reply_to(reply)

    def record_note(self, code: str, detail: str) -> None:
        """Count and log a note such as an election, a grant or a refusal."""
        self.counters[f"note.{code}"] += 1
        log.info(code, member=self.replica.member.identity, detail=detail)

    async def persist(self, output: Output) -> None:
        """Write and sync ``output``, and retry until that succeeds."""
        while True:
            try:
                began = clock()
                await asyncio.to_thread(self.raft_store.save, output)
            except RaftStoreError as e:
                self.counters["disk.refused"] += 1
                if not self.disk_error:
                    log.error("disk", error=str(e))
                self.disk_error = str(e)
                self.inputs.clear()
                self.fail_pending()
                await asyncio.sleep(DISK_RETRY_S)
                continue
            if self.disk_error:
                log.info("disk-back")
                self.disk_error = ""
            self.counters["disk.syncs"] += 1
            self.counters["disk.slow"] += clock() - began > self.record.election / 2
            return

    def add_known_members(self, now: float) -> None:
        """As the leader, add a configured agent once it has said hello, unless an operator removed it."""
        member = self.replica.member
        if not self.replica.is_leader or member.log.members_index() > member.commit_index:
            return
        members = member.members
        names = {name_of(identity) for identity in members.all} | set(members.former)
        for name in self.known_identities:
            if name not in names:
                self.apply_change(name, "", now)
                return


def to_frame(number: int, reply: Reply) -> ReplyFrame:
    match reply:
        case HeartbeatReply():
            return ReplyFrame(number, answer=reply)
        case Committed():
            return ReplyFrame(number, done=reply)
        case QueryResult():
            return ReplyFrame(number, shown=reply)
        case Rejected():
            return ReplyFrame(number, refused=reply)
        case RulesAnswer():
            return ReplyFrame(number, rules=reply)


def from_frame(frame: ReplyFrame) -> Reply:
    return frame.answer or frame.rules or frame.done or frame.shown or frame.refused or Rejected("")
