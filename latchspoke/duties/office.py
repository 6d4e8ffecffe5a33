"""A member with the state machines on its log: beats, commands and questions in; answers out. Pure.

The driver's part is the same on sockets and in virtual time: after each input, ``take`` until it gives
nothing, each time store and sync, send the messages, then ``apply``; and hand on ``answers``.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from latchspoke.consensus.member import Member, NotLeaderError, Output
from latchspoke.consensus.records import Entry, Snapshot
from latchspoke.consensus.state_machines import StateMachines
from latchspoke.duties.desk import Desk
from latchspoke.duties.findings import NAME as FINDINGS
from latchspoke.duties.findings import FindingsMachine
from latchspoke.duties.machine import NAME, DutiesMachine
from latchspoke.duties.records import Answer, Beat, Command, DutyState
from latchspoke.revisions.desk import RulesDesk
from latchspoke.revisions.machine import RulesMachine
from latchspoke.revisions.records import NAME as RULES
from latchspoke.revisions.records import Activate, RulesAnswer, RulesCommand, RulesQuestion

HOLDERS = "rules-holders"  # what only the leader knows: a look at its desk, in a machine's place
COMPACT_AFTER = 1000  # entries; then they become a snapshot


@dataclass(frozen=True, slots=True)
class Refused:
    """Not done here; ``leader`` is who may be asked, or ''. Nothing is known of a command ``under_way``."""

    leader: str
    under_way: bool = False


@dataclass(frozen=True, slots=True)
class Done:
    """A command stands in the log at ``index``; ``why`` says why it changed nothing, or ''."""

    index: int
    why: str


@dataclass(frozen=True, slots=True)
class Shown:
    """What a machine had to show at some moment after the question, with all up to ``index``."""

    index: int
    body: bytes


class Put(msgspec.Struct, frozen=True):
    """A command for a machine; ``ident`` is drawn by who asks, so that it may ask again."""

    machine: str
    body: bytes
    ident: str = ""


class Look(msgspec.Struct, frozen=True):
    """A question to a machine."""

    machine: str
    question: bytes = b""


Reply = Answer | RulesAnswer | Refused | Done | Shown


def put_duty(command: Command, ident: str = "") -> Put:
    return Put(NAME, msgspec.msgpack.encode(command), ident)


def put_rules(command: RulesCommand, ident: str = "") -> Put:
    return Put(RULES, msgspec.msgpack.encode(command), ident)


def read_duties(shown: Shown) -> dict[str, DutyState]:
    return msgspec.msgpack.decode(shown.body, type=dict[str, DutyState])


@dataclass(slots=True)
class Question:
    """A beat, a gateway's question or a look that waits for a majority's word."""

    asker: int
    what: Beat | RulesQuestion | Look
    received: float
    index: int = -1  # what must be applied first, once confirmed


class Office:
    """See the module."""

    def __init__(self, member: Member, drift: float) -> None:
        self.member = member
        self.duties = DutiesMachine()
        self.findings = FindingsMachine(self.duties)
        self.rules = RulesMachine()
        self.machines = StateMachines({NAME: self.duties, FINDINGS: self.findings, RULES: self.rules})
        self.rules_desk = RulesDesk(self.rules, drift)
        self.desk = Desk(self.duties, drift)
        self.desk_term = -1
        self.questions: dict[int, Question] = {}
        # By index: the term, who asked, and the command if it is the desk's concern.
        self.proposed: dict[int, tuple[int, int | None, Command | Activate | None]] = {}
        self.answers: list[tuple[int, Reply]] = []
        self.number = 0

    # Inputs. ``asker`` names who gets the reply.

    def beat(self, asker: int, beat: Beat, now: float) -> None:
        self.ask(Question(asker, beat, now), now)
        if self.leads:
            for command in self.desk.heard(beat, now):
                self.propose(command, now)

    def question(self, asker: int, question: RulesQuestion, now: float) -> None:
        """A gateway's, about the rules by which it may act."""
        self.ask(Question(asker, question, now), now)

    def look(self, asker: int, look: Look, now: float) -> None:
        self.ask(Question(asker, look, now), now)

    def put(self, asker: int, put: Put, now: float) -> None:
        try:
            self.add(asker, put, None, now)
        except NotLeaderError as e:
            self.answers.append((asker, Refused(e.leader)))

    def tick(self, now: float) -> None:
        self.member.tick(now)
        if self.leads:
            for command in self.desk.due(now):
                self.propose(command, now)
            for activate in self.rules_desk.due(now):
                self.add(None, put_rules(activate), activate, now)

    # The driver's turn.

    def take(self) -> Output | None:
        """None where there is nothing to do."""
        output = self.member.take_output()
        empty = not (
            output.must_store or output.messages or output.restore or output.committed
            or output.confirmed_reads or output.failed_reads or output.events
        )  # fmt: skip
        return None if empty else output

    def apply(self, output: Output, now: float) -> None:
        """What was stored and sent takes effect."""
        if output.restore is not None:
            self.machines.load(output.restore.index, output.restore.body)
        for entry in output.committed:
            self.carry_out(entry, now)
        for ident, index in output.confirmed_reads:
            self.questions[ident].index = index
        for ident in output.failed_reads:
            question = self.questions.pop(ident)
            self.answers.append((question.asker, Refused(self.member.leader)))
        self.take_office()
        self.reply(now)

    def compacted(self, after: int = COMPACT_AFTER) -> Snapshot | None:
        """A snapshot to store in the place of the entries it covers, if it is time."""
        applied = self.machines.applied_index
        if self.machines.has_unknown_machine or applied - self.member.log.snapshot.index < after:
            return None
        return self.member.compact(applied, self.machines.dump())

    # Parts.

    @property
    def leads(self) -> bool:
        """Whether this is the leader, and knows all that was ever committed."""
        return self.member.committed_in_term and self.desk_term == self.member.term

    def take_office(self) -> None:
        """A leader's desk is its own from the election on, once it has applied all that came before."""
        member = self.member
        if member.committed_in_term and self.machines.applied_index >= member.term_start_index:
            if self.desk_term != member.term:
                self.desk_term = member.term
                self.desk.lead(member.elected_at)
                self.rules_desk.lead(member.elected_at)
        else:
            self.desk_term = -1

    def ask(self, question: Question, now: float) -> None:
        self.number += 1
        try:
            self.member.request_read(self.number, now)
        except NotLeaderError as e:
            self.answers.append((question.asker, Refused(e.leader)))
            return
        self.questions[self.number] = question

    def propose(self, command: Command, now: float) -> None:
        """The desk's own."""
        self.add(None, put_duty(command), command, now)

    def add(self, asker: int | None, put: Put, command: Command | Activate | None, now: float) -> None:
        entry = self.member.propose(StateMachines.encode_command(put.machine, put.body, put.ident), now)
        self.proposed[entry.index] = entry.term, asker, command

    def carry_out(self, entry: Entry, now: float) -> None:
        result = self.machines.apply(entry)
        term, asker, command = self.proposed.pop(entry.index, (-1, None, None))
        if isinstance(command, Activate):
            self.rules_desk.applied(command, now)
        elif command is not None and self.desk_term == self.member.term:
            self.desk.applied(command, now)
        if asker is not None:
            own = term == entry.term and result is not None
            self.answers.append((asker, Done(*result) if own and result else Refused(self.member.leader)))

    def reply(self, now: float) -> None:
        """Questions that a majority has confirmed, and whose entries are applied."""
        for ident, question in list(self.questions.items()):
            if not 0 <= question.index <= self.machines.applied_index:
                continue
            what = question.what
            if isinstance(what, Look):
                del self.questions[ident]
                self.answers.append((question.asker, self.shown(what, question.index, now)))
            elif self.leads:
                del self.questions[ident]
                self.answers.append((question.asker, self.answer(what, question.received, now)))

    def answer(self, what: Beat | RulesQuestion, received: float, now: float) -> Reply:
        if isinstance(what, RulesQuestion):
            return self.rules_desk.answer(what, received, now)
        return self.desk.answer(what, received, now)

    def shown(self, look: Look, index: int, now: float) -> Shown | Refused:
        if look.machine == HOLDERS:
            return Shown(index, msgspec.msgpack.encode(self.rules_desk.status(now)))
        machine = self.machines.machines.get(look.machine)
        return Refused("") if machine is None else Shown(index, machine.query(look.question))
