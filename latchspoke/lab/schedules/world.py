"""Virtual time: hosts that stall between any two steps, links that fail, disks that lose what is not synced.

The members and holders are the real ones (``latchspoke.consensus``, ``latchspoke.duties``); here is only what
drives them, in the order that their modules ask for. One seed gives one run. Everything that somebody did or
saw goes into one record, by the true time, for the checker.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from latchspoke.consensus import records
from latchspoke.consensus.member import Member, Output, Role, Timing
from latchspoke.consensus.records import Entry, HardState, Kind, Members, Snapshot, Stored, name_of
from latchspoke.consensus.state_machines import Command as Logged
from latchspoke.duties.holder import DutyHolder
from latchspoke.duties.machine import NAME as DUTIES
from latchspoke.duties.member_service import (
    Committed,
    MemberService,
    Query,
    QueryResult,
    Rejected,
    Reply,
    duty_command,
)
from latchspoke.duties.records import Candidate, Command, Define, Heartbeat, HeartbeatReply, Rule
from latchspoke.revisions.documents import Document
from latchspoke.revisions.records import NAME as RULES
from latchspoke.revisions.records import PutRules, RulesAnswer, RulesQuestion

TICK = 0.05  # s between looks at what is due by the time alone
STEP = 0.002  # s; the longest ordinary time between two steps of a process
STORE = 0.004  # s; the longest ordinary time to write and sync
RETRY = 0.4  # s until a write that the disk refused is tried again
ACT = 0.15  # s between two acts under a duty, on average
SLOW_ACT = 0.01  # of the acts come late to what they touch, by up to two grants
LOST = 0.2  # of the answers to an operator's commands
ASK = 0.7  # s until an operator's question is asked again elsewhere
COMPACT_AFTER = 40  # entries


@dataclass(frozen=True, slots=True)
class Setup:
    """What a run is made of."""

    members: int = 3
    holders: int = 5
    duties: int = 4
    length: float = 4.0
    drift: float = 0.02
    delay: float = 0.004
    timing: Timing = field(default_factory=lambda: Timing(0.1, 0.6))
    gates: int = 0  # gateways that go by rules with versions


@dataclass(frozen=True, slots=True)
class Check:
    """A holder found itself entitled to act at this moment."""

    at: float
    duty: str
    token: int
    holder: str


@dataclass(frozen=True, slots=True)
class Asked:
    """An operator's question or command, from asking to answer; ``index`` is where it stands in the log."""

    since: float
    at: float
    what: str
    index: int
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class RuleAct:
    """A gateway decided something by this version of a document, or by what holds without a right."""

    at: float
    gateway: str
    name: str
    version: int
    lapsed: str
    digest: str
    figure: float


@dataclass(slots=True)
class Record:
    """What everybody did and saw."""

    checks: list[Check] = field(default_factory=list)
    acts: list[Check] = field(default_factory=list)  # as what is acted on took them
    refused: list[Check] = field(default_factory=list)  # acts that came with an older token
    asked: list[Asked] = field(default_factory=list)
    applied: dict[int, Entry] = field(default_factory=dict)
    dumps: dict[int, bytes] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)
    told: dict[str, int] = field(default_factory=dict)  # by a command's ident: where it was done
    rule_acts: list[RuleAct] = field(default_factory=list)
    rules: dict[tuple[str, int], Document] = field(default_factory=dict)  # each version's content
    rule_made: dict[int, int] = field(default_factory=dict)  # places in the log of commands about rules
    rule_puts: list[tuple[float, float, int, PutRules]] = field(default_factory=list)  # as told to operators
    rule_active: list[tuple[float, str, int]] = field(default_factory=list)  # as first applied anywhere
    damaged: int = 0  # contents refused by their digest
    faults: list[str] = field(default_factory=list)  # what was found wrong on the way
    elections: int = 0
    messages: int = 0  # between members
    bytes: int = 0
    beats: int = 0

    def active_at(self, name: str, at: float) -> int:
        """The version that was active at this moment, as the first member saw it."""
        return max((v for since, n, v in self.rule_active if n == name and since <= at), default=0)

    def wrong(self, text: str) -> None:
        if len(self.faults) < 20:
            self.faults.append(text)


class DiskFullError(Exception):
    """Nothing more can be written."""


class Disk:
    """What is synced outlives a kill; what is only written does not."""

    def __init__(self, identity: str, members: Members) -> None:
        self.identity, self.boot = identity, 0
        self.hard_state, self.snapshot = HardState(), Snapshot(members=members)
        self.entries: tuple[Entry, ...] = ()
        self.full = False
        self.safe = self.state()

    def state(self) -> tuple[HardState, Snapshot, tuple[Entry, ...], int]:
        return self.hard_state, self.snapshot, self.entries, self.boot

    def write(self, output: Output) -> None:
        if self.full:
            raise DiskFullError
        self.hard_state = output.hard_state or self.hard_state
        if output.snapshot is not None:
            self.compact(output.snapshot)
        if output.first_index:
            kept = tuple(entry for entry in self.entries if entry.index < output.first_index)
            self.entries = kept + output.entries

    def compact(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.entries = tuple(entry for entry in self.entries if entry.index > snapshot.index)

    def sync(self) -> None:
        self.safe = self.state()

    def lose(self) -> None:
        self.hard_state, self.snapshot, self.entries, self.boot = self.safe

    def start(self) -> Stored:
        self.boot += 1
        self.sync()
        return Stored(self.identity, self.boot, self.hard_state, self.snapshot, self.entries)


class Process:
    """Anything that runs, stalls and dies. Its clock is its own."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        drift = world.setup.drift
        self.rate, self.offset = 1 + world.draw.uniform(-drift, drift), world.draw.uniform(0, 1e6)
        self.stepped = 0.0  # of the time of day, which nobody may go by
        self.alive = self.paused = False
        self.epoch = 0
        self.held: list[Callable[[], None]] = []

    def now(self) -> float:
        return self.offset + self.rate * self.world.now

    def later(self, wait: float, call: Callable[[], None]) -> None:
        """The next step: not if the process has died meanwhile; if it is stopped, once it goes on."""
        epoch = self.epoch
        self.world.at(wait, lambda: self.go(epoch, call))

    def go(self, epoch: int, call: Callable[[], None]) -> None:
        if epoch != self.epoch or not self.alive:
            return
        if self.paused:
            self.held.append(lambda: self.go(epoch, call))
        else:
            call()

    def stop(self) -> None:
        self.paused = True

    def cont(self) -> None:
        self.paused = False
        held, self.held = self.held, []
        for call in held:
            call()

    def kill(self) -> None:
        self.alive = self.paused = False
        self.epoch += 1
        self.held.clear()

    def start(self) -> None:
        if not self.alive:
            self.alive = True
            self.boot()

    def boot(self) -> None:
        raise NotImplementedError


class Host(Process):
    """A member as a process: one input at a time, stored and synced before it speaks."""

    office: MemberService

    def __init__(self, world: World, name: str, members: Members, identity: str) -> None:
        super().__init__(world, name)
        self.disk = Disk(identity, members)
        self.inbox: deque[Callable[[MemberService, float], None]] = deque()
        self.busy = False
        self.askers: dict[int, Callable[[Reply], None]] = {}
        self.asker = 0

    def boot(self) -> None:
        stored = self.disk.start()
        seed = self.world.draw.random()
        member = Member(stored, self.world.setup.timing, random.Random(seed), self.now())
        self.office = MemberService(member, self.world.setup.drift)
        self.inbox.clear()
        self.askers.clear()
        self.busy = False
        self.turn()
        self.tick()

    def kill(self) -> None:
        super().kill()
        self.disk.lose()

    def wipe(self) -> None:
        """An empty disk under the old name: another identity, which nobody counts on yet."""
        self.world.numbers += 1
        self.disk = Disk(self.world.identity(self.name), Members())

    def tick(self) -> None:
        self.give(lambda office, now: office.tick(now))
        self.later(TICK, self.tick)

    def give(self, call: Callable[[MemberService, float], None]) -> None:
        self.inbox.append(call)
        if not self.busy:
            self.busy = True
            self.later(self.world.draw.uniform(0, STEP), self.next)

    def next(self) -> None:
        if not self.inbox:
            self.busy = False
            return
        self.inbox.popleft()(self.office, self.now())
        self.turn()

    def turn(self) -> None:
        """Store and sync, then speak, then apply; then the next input."""
        self.busy = True
        output = self.office.take_output()
        if output is None:
            self.speak()
            self.later(self.world.draw.uniform(0, STEP), self.next)
            return
        for note in output.events:
            self.world.record.elections += note.code == "leads"
        if output.must_store:
            self.later(self.world.draw.uniform(0, STORE), lambda: self.store(output))
        else:
            self.carry_out(output)

    def store(self, output: Output) -> None:
        try:
            self.disk.write(output)
        except DiskFullError:
            # Nothing that relies on it is said; what comes meanwhile is lost, as any message may be.
            self.inbox.clear()
            self.later(RETRY, lambda: self.store(output))
            return
        self.later(self.world.draw.uniform(0, STORE), lambda: self.sync(output))

    def sync(self, output: Output) -> None:
        self.disk.sync()
        self.carry_out(output)

    def carry_out(self, output: Output) -> None:
        for message in output.messages:
            target = name_of(message.target)
            data = records.encode(message)
            self.world.record.messages += 1
            self.world.record.bytes += len(data)
            hear = partial(self.world.hosts[target].hear, data)
            self.world.send(self.name, target, hear)
        self.later(self.world.draw.uniform(0, STEP), lambda: self.apply(output))

    def apply(self, output: Output) -> None:
        self.office.apply_output(output, self.now())
        self.world.saw(self, output)
        snapshot = self.office.compact(COMPACT_AFTER)
        if snapshot is not None and not self.disk.full:
            self.disk.compact(snapshot)
            self.disk.sync()
        self.turn()

    def speak(self) -> None:
        answers, self.office.replies = self.office.replies, []
        for asker, reply in answers:
            call = self.askers.pop(asker, None)
            if call is not None:
                call(reply)

    def hear(self, data: bytes) -> None:
        message = records.decode(data)
        self.give(lambda office, now: office.member.receive(message, now))

    def ask(self, put: Callable[[MemberService, int, float], None], reply: Callable[[Reply], None]) -> None:
        """A question from outside; the reply comes as soon as there is one, or never."""
        self.asker += 1
        number = self.asker
        self.askers[number] = reply
        self.give(lambda office, now: put(office, number, now))

    def beat(self, beat: Heartbeat, back: Callable[[HeartbeatReply], None]) -> None:
        """A holder's word."""

        def told(reply: Reply) -> None:
            if isinstance(reply, HeartbeatReply):
                back(reply)

        self.pass_on(lambda office, number, now: office.handle_heartbeat(number, beat, now), told)

    def question(self, question: RulesQuestion, back: Callable[[RulesAnswer], None]) -> None:
        """A gateway's."""

        def told(reply: Reply) -> None:
            if isinstance(reply, RulesAnswer):
                back(reply)

        self.pass_on(lambda office, number, now: office.handle_rules_question(number, question, now), told)

    def pass_on(
        self, put: Callable[[MemberService, int, float], None], back: Callable[[Reply], None], hops: int = 1
    ) -> None:
        """One that does not lead passes it on to the leader, and the answer back."""

        def replied(reply: Reply) -> None:
            if isinstance(reply, Rejected) and reply.leader and hops:
                to = self.world.hosts.get(name_of(reply.leader))
                if to is not None:
                    self.world.send(self.name, to.name, lambda: to.pass_on(put, passed(to), hops - 1))
            elif not isinstance(reply, Rejected):
                back(reply)

        def passed(to: Host) -> Callable[[Reply], None]:
            return lambda answer: self.world.send(to.name, self.name, lambda: back(answer))

        self.ask(put, replied)


class Actor(Process):
    """A holder: it beats, acts on what it holds, and stops in time."""

    holder: DutyHolder

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.leaving = False

    def boot(self) -> None:
        self.world.numbers += 1
        self.holder = DutyHolder(Candidate(self.name, str(self.world.numbers)))
        self.leaving = False
        self.tick()
        self.beat()

    def tick(self) -> None:
        for duty in self.holder.duties_to_stop(self.now()):
            self.later(self.world.draw.uniform(0, 0.1), partial(self.holder.mark_stopped, duty))
        self.later(TICK, self.tick)

    def beat(self) -> None:
        beat = self.holder.heartbeat(self.now())
        self.world.record.beats += 1
        hosts = list(self.world.hosts.values())
        host = hosts[(self.holder.member_index + self.world.names.index(self.name)) % len(hosts)]

        def back(answer: HeartbeatReply) -> None:
            self.world.send(host.name, self.name, lambda: self.later(0, lambda: self.answered(answer)))

        self.world.send(self.name, host.name, lambda: host.beat(beat, back))
        wait = min(self.holder.heartbeat_interval_s, 1.0) * self.world.draw.uniform(0.7, 1.0)
        self.later(wait, self.beat)

    def answered(self, answer: HeartbeatReply) -> None:
        for duty in self.holder.handle_reply(answer, self.now()):
            self.later(self.world.draw.uniform(0, STEP), partial(self.act, duty))

    def act(self, duty: str) -> None:
        """The check and the act are two steps: anything may lie between them, and the token is for that."""
        token = self.holder.token(duty, self.now())
        if duty not in self.holder.leases:
            return
        if token is not None:
            check = Check(self.world.now, duty, token, self.holder.candidate.identity)
            self.world.record.checks.append(check)
            slow = self.world.draw.random() < SLOW_ACT
            wait = self.world.draw.uniform(0, 2 * self.world.setup.length if slow else STEP)
            self.later(wait, lambda: self.world.touch(check))
        self.later(self.world.draw.expovariate(1 / ACT), lambda: self.act(duty))


class World:
    """All of it."""

    def __init__(self, setup: Setup, seed: int) -> None:
        self.setup, self.seed, self.draw = setup, seed, random.Random(f"world:{seed}")
        self.now, self.order = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.record = Record()
        self.cuts: set[tuple[str, str]] = set()  # one way each
        self.loss, self.slow = 0.0, 1.0
        self.touched: dict[str, int] = {}
        self.numbers = 0
        names = [f"m{n}" for n in range(setup.members)]
        voters = Members(tuple(self.identity(name) for name in names))
        self.hosts = {
            name: Host(self, name, voters, identity)
            for name, identity in zip(names, voters.voters, strict=True)
        }
        self.actors = {f"h{n}": Actor(self, f"h{n}") for n in range(setup.holders)}
        self.gates: dict[str, Process] = make_gates(self, setup.gates)
        self.names = [*self.hosts, *self.actors, *self.gates]
        for process in self.processes():
            process.start()
        for n in range(setup.duties):
            self.operate(Define(f"duty{n}", Rule(setup.length)))

    def identity(self, name: str) -> str:
        return f"{name}#{self.draw.getrandbits(32):08x}"

    def process(self, name: str) -> Process:
        return self.hosts.get(name) or self.gates.get(name) or self.actors[name]

    def processes(self) -> list[Process]:
        return [*self.hosts.values(), *self.actors.values(), *self.gates.values()]

    # Time and links.

    def at(self, wait: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + wait, self.order, call))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def send(self, one: str, other: str, call: Callable[[], None]) -> None:
        """Late, now and then twice, lost while the way is cut or by chance; in no order."""
        for _ in range(2 if self.draw.random() < 0.01 else 1):
            if (one, other) not in self.cuts and self.draw.random() >= self.loss:
                wait = self.draw.expovariate(1 / (self.setup.delay * self.slow))
                self.at(wait, lambda: self.arrive(one, other, call))

    def arrive(self, one: str, other: str, call: Callable[[], None]) -> None:
        process = self.process(other)
        if (one, other) in self.cuts or not process.alive:
            return
        process.go(process.epoch, call)

    # Operators.

    def operate(self, command: Command) -> None:
        """Ask one member after the other until one says that it is done."""
        since = self.now
        put = duty_command(command, f"{self.draw.getrandbits(64):016x}")

        def reply(answer: Reply) -> None:
            if isinstance(answer, Committed):
                told = self.record.told.setdefault(put.ident, answer.index)
                if told != answer.index:
                    self.record.wrong(f"{self.now:.3f} a command was done at {told} and at {answer.index}")
            lost = self.draw.random() < LOST
            if isinstance(answer, Committed) and not done and not lost:
                done.append(True)
                self.record.asked.append(Asked(since, self.now, "command", answer.index))

        done: list[bool] = []
        self.insist(
            lambda office, number, now: office.handle_command(number, put, now), reply, done, tries=60
        )

    def look(self) -> None:
        since = self.now
        done: list[bool] = []

        def reply(answer: Reply) -> None:
            if isinstance(answer, QueryResult) and not done:
                done.append(True)
                self.record.asked.append(Asked(since, self.now, "look", answer.index))

        self.insist(
            lambda office, number, now: office.handle_query(number, Query(DUTIES), now), reply, done, tries=3
        )

    def insist(
        self,
        put: Callable[[MemberService, int, float], None],
        reply: Callable[[Reply], None],
        done: list[bool],
        tries: int,
    ) -> None:
        if done or not tries:
            return
        leaders = [h for h in self.hosts.values() if h.alive and h.office.member.role is Role.LEADER]
        host = self.draw.choice(leaders or list(self.hosts.values()))
        if host.alive:
            host.ask(put, reply)
        self.at(ASK, lambda: self.insist(put, reply, done, tries - 1))

    # What is seen.

    def touch(self, check: Check) -> None:
        """What is acted on: it refuses a token older than the newest it has seen."""
        if check.token < self.touched.get(check.duty, 0):
            self.record.refused.append(check)
            return
        self.touched[check.duty] = check.token
        self.record.acts.append(check)

    def saw(self, host: Host, output: Output) -> None:
        """Compare what this host has applied with what any other has."""
        record, member = self.record, host.office.member
        for entry in output.committed:
            other = record.applied.setdefault(entry.index, entry)
            if other != entry:
                record.wrong(f"{self.now:.3f} {host.name}: entry {entry.index} is not what another applied")
        applied = host.office.machines.applied_index
        if output.committed or output.restore is not None:
            dump = host.office.machines.dump()
            if record.dumps.setdefault(applied, dump) != dump:
                record.wrong(f"{self.now:.3f} {host.name}: the state at {applied} is not another's")
        if self.gates:
            self.saw_rules(host, output)
        if member.role is Role.LEADER:
            leader = record.leaders.setdefault(member.term, member.identity)
            if leader != member.identity:
                record.wrong(f"{self.now:.3f} two leaders of term {member.term}: {leader}, {member.identity}")

    def saw_rules(self, host: Host, output: Output) -> None:
        """Versions and activations as the first to apply them sees them; the log is the same for all."""
        record = self.record
        for name, state in host.office.rules.states.items():
            for version, document in state.documents.items():
                known = record.rules.setdefault((name, version), document)
                if known.digest != document.digest:
                    record.wrong(f"{self.now:.3f} {host.name}: {name} {version} is not another's")
            if state.active > record.active_at(name, self.now):
                record.rule_active.append((self.now, name, state.active))
        for entry in output.committed:
            if entry.kind is Kind.DATA and entry.index not in record.rule_made:
                command: Logged = msgspec.msgpack.decode(entry.body, type=Logged)
                if command.machine == RULES:
                    record.rule_made[entry.index] = len(record.rule_made)


def make_gates(world: World, count: int) -> dict[str, Process]:
    if not count:
        return {}
    from latchspoke.lab.schedules.gates import Gate  # which is made of what is here

    return {f"g{n}": Gate(world, f"g{n}") for n in range(count)}
