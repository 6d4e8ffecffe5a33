"""Drives a member of the replicated log on sockets, with its ledger, in the order that ``Office`` asks for.

Inputs gather while the disk works and are taken together, so that a busy group syncs once for many. While the
disk refuses, nothing that relies on it is said, and what comes is dropped; the member is back by itself.
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
from latchspoke.duties.office import Done, Look, Office, Put, Refused, Reply, Shown
from latchspoke.duties.records import Answer, Beat
from latchspoke.revisions.records import RulesAnswer, RulesQuestion
from latchspoke.transport.request_ids import first_request_id

log = structlog.get_logger("agent.members")

TICK = 0.05  # s between looks at what is due by the time alone
RETRY = 0.5  # s until a write that the disk refused is tried again
LIMIT = 2.0  # s; a question without a reply by then has none


class MemberStatus(msgspec.Struct, frozen=True):
    """A member as it sees itself; ``leader`` is '' where it knows of none."""

    identity: str
    role: str
    term: int
    leader: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    commit: int
    last: int
    mute: bool
    disk: str = ""  # why it can't write, if so
    counters: dict[str, int] = {}


class MembersChange(msgspec.Struct, frozen=True):
    """By name; one of the two."""

    add: str = ""
    remove: str = ""


def clock() -> float:
    """Goes on while the machine sleeps, which the ordinary monotonic clock does not."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class MemberDriver:
    """One member as part of a process."""

    def __init__(self, name: str, record: MembersRecord, home: Path, tls: TlsRecord | None = None) -> None:
        """Raises LedgerError, KeysError."""
        self.name, self.record = name, record
        trust = PeerTls(tls) if record.tls and tls is not None else None
        self.ledger = RaftStore(home / "members.db")
        stored = self.ledger.start(name, secrets.token_hex(4), record.first)
        timing = Timing(record.beat, record.election)
        self.office = Office(Member(stored, timing, random.Random(), clock()), record.drift)
        self.inputs: deque[Callable[[float], None]] = deque()
        self.news = asyncio.Event()
        self.replies: dict[int, Callable[[Reply], None]] = {}
        self.forwarded: dict[int, asyncio.Future[Reply]] = {}
        self.number = first_request_id(secrets.token_hex(8))
        self.known: dict[str, str] = {}  # identities that have greeted, by name
        self.disk = ""
        self.counters: Counter[str] = Counter()
        self.links = PeerTransport(Hello(name, stored.identity), record.peers, self.heard, trust)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Raises OSError."""
        await self.links.listen(self.record.peers[self.name])
        self.task = asyncio.get_running_loop().create_task(self.work())

    async def stop(self) -> None:
        """A leader hands over first, so that nobody waits for an election."""
        if self.office.member.role is Role.LEADER:
            self.give(self.hand_over)
            await asyncio.sleep(2 * TICK)
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        self.links.stop()
        self.ledger.close()

    def hand_over(self, now: float) -> None:
        with contextlib.suppress(NotLeaderError):
            self.office.member.hand_over(now)

    # What comes.

    def give(self, call: Callable[[float], None]) -> None:
        self.inputs.append(call)
        self.news.set()

    def heard(self, name: str, frame: Frame) -> None:
        match frame:
            case Hello(_, identity):
                self.known[name] = identity
            case ConsensusMessage(data):
                message = records.decode(data)
                self.give(lambda now: self.office.member.receive(message, now))
            case AskFrame(number):
                self.put(frame, lambda reply: self.links.send(name, to_frame(number, reply)))
            case ReplyFrame(number):
                future = self.forwarded.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(from_frame(frame))

    def put(self, asked: AskFrame, back: Callable[[Reply], None]) -> None:
        self.number += 1
        number, office = self.number, self.office
        self.replies[number] = back
        beat, put, look, question = asked.beat, asked.put, asked.look, asked.question
        if beat is not None:
            self.counters["beats"] += 1
            self.give(lambda now: office.beat(number, beat, now))
        elif question is not None:
            self.counters["questions"] += 1
            self.give(lambda now: office.question(number, question, now))
        elif put is not None:
            self.counters["commands"] += 1
            self.give(lambda now: office.put(number, put, now))
        elif look is not None:
            self.counters["looks"] += 1
            self.give(lambda now: office.look(number, look, now))

    async def ask(
        self,
        beat: Beat | None = None,
        put: Put | None = None,
        look: Look | None = None,
        question: RulesQuestion | None = None,
    ) -> Reply:
        """Here, or of the leader by way of here. No reply in time is ``Refused``, and a command under way."""
        asked = AskFrame(0, beat, put, look, question)
        none = Refused("", under_way=put is not None)
        if self.office.member.role is Role.HALTED:
            return Refused("")
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIMIT):
                future: asyncio.Future[Reply] = loop.create_future()
                self.put(asked, lambda reply: None if future.done() else future.set_result(reply))
                reply = await future
                if not isinstance(reply, Refused) or reply.leader in ("", self.office.member.identity):
                    return reply
                self.number += 1
                number, future = self.number, loop.create_future()
                self.forwarded[number] = future
                try:
                    to = name_of(reply.leader)
                    self.links.send(to, msgspec.structs.replace(asked, number=number))
                    return await future
                finally:
                    self.forwarded.pop(number, None)
        return none

    async def change(self, add: str = "", remove: str = "") -> str:
        """By name, on the leader; '' where it is under way, else why not."""
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.give(lambda now: future.set_result(self.alter(add, remove, now)))
        return await future

    def alter(self, add: str, remove: str, now: float) -> str:
        member = self.office.member
        old = member.members
        if add and add not in self.known:
            return f"{add} has not been heard here"
        if remove and not any(name_of(identity) == remove for identity in old.all):
            return f"{remove} is no member"
        voters = tuple(n for n in old.voters if name_of(n) != remove)
        learners = tuple(n for n in old.learners if name_of(n) != remove)
        former = tuple(sorted({*old.former, remove} - {add, ""}))
        if add and self.known[add] not in old.all:
            learners += (self.known[add],)
        try:
            member.change(Members(voters, learners, former), now)
        except (ChangeError, NotLeaderError) as e:
            return str(e)
        return ""

    def status(self) -> MemberStatus:
        member = self.office.member
        return MemberStatus(
            member.identity, member.role.value, member.term, member.leader, member.members.voters,
            member.members.learners, member.commit, member.log.last, member.mute, self.disk,
            dict(sorted(self.counters.items())),
        )  # fmt: skip

    # What is done.

    async def work(self) -> None:
        """A fault of the program ends this member, for all to see: it must not go on half right."""
        try:
            await self.go_on()
        except Exception as e:
            self.disk = f"failed: {e!r}"
            log.exception("member-failed", member=self.office.member.identity)
            self.office.member.role = Role.HALTED
            self.links.stop()
            self.refuse()

    def refuse(self) -> None:
        """Nothing is known of what waits here."""
        replies, self.replies = self.replies, {}
        for back in replies.values():
            back(Refused("", under_way=True))

    async def go_on(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK):
                    await self.news.wait()
            self.news.clear()
            now = clock()
            while self.inputs:
                self.inputs.popleft()(now)
            self.office.tick(now)
            self.welcome(now)
            await self.turn()

    async def turn(self) -> None:
        while (output := self.office.take()) is not None:
            if output.to_store:
                await self.store(output)
            for note in output.notes:
                self.tell(note.code, note.detail)
            for message in output.messages:
                self.links.send(name_of(message.target), ConsensusMessage(records.encode(message)))
            self.counters["messages"] += len(output.messages)
            self.counters["entries"] += len(output.committed)
            self.office.apply(output, clock())
            for notes in (self.office.duties.notes, self.office.rules.notes):
                while notes:
                    self.tell(*notes.popleft())
            snapshot = self.office.compacted()
            if snapshot is not None:
                with contextlib.suppress(RaftStoreError):  # the longer log is as good, and it is tried again
                    await asyncio.to_thread(self.ledger.compact, snapshot)
        answers, self.office.answers = self.office.answers, []
        for number, reply in answers:
            back = self.replies.pop(number, None)
            self.counters["refused"] += isinstance(reply, Refused)
            if back is not None:
                back(reply)

    def tell(self, code: str, detail: str) -> None:
        """Elections, grants, ends, refusals: each has its code, and is counted by it."""
        self.counters[f"note.{code}"] += 1
        log.info(code, member=self.office.member.identity, detail=detail)

    async def store(self, output: Output) -> None:
        """Synced when it returns, however long that takes."""
        while True:
            try:
                began = clock()
                await asyncio.to_thread(self.ledger.save, output)
            except RaftStoreError as e:
                self.counters["disk.refused"] += 1
                if not self.disk:
                    log.error("disk", error=str(e))
                self.disk = str(e)
                self.inputs.clear()
                self.refuse()
                await asyncio.sleep(RETRY)
                continue
            if self.disk:
                log.info("disk-back")
                self.disk = ""
            self.counters["disk.syncs"] += 1
            self.counters["disk.slow"] += clock() - began > self.record.election / 2
            return

    def welcome(self, now: float) -> None:
        """Whom the settings name is taken in as soon as it is heard, unless a person has taken it out."""
        member = self.office.member
        if not self.office.leads or member.log.members_index() > member.commit:
            return
        members = member.members
        names = {name_of(identity) for identity in members.all} | set(members.former)
        for name in self.known:
            if name not in names:
                self.alter(name, "", now)
                return


def to_frame(number: int, reply: Reply) -> ReplyFrame:
    match reply:
        case Answer():
            return ReplyFrame(number, answer=reply)
        case Done():
            return ReplyFrame(number, done=reply)
        case Shown():
            return ReplyFrame(number, shown=reply)
        case Refused():
            return ReplyFrame(number, refused=reply)
        case RulesAnswer():
            return ReplyFrame(number, rules=reply)


def from_frame(frame: ReplyFrame) -> Reply:
    return frame.answer or frame.rules or frame.done or frame.shown or frame.refused or Refused("")
