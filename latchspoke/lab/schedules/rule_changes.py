"""Guards of the rules' versions taken out on purpose, as in ``changes``; they show where gateways play."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from latchspoke.lab.schedules.changes import CHANGES, Change, change
from latchspoke.lab.schedules.gates import Gate
from latchspoke.lab.schedules.world import Process
from latchspoke.revisions.desk import RulesDesk
from latchspoke.revisions.documents import Document
from latchspoke.revisions.machine import RulesMachine, State
from latchspoke.revisions.records import Granted, PutRules, RulesQuestion, Told
from latchspoke.revisions.rights import Known, Rights

NAMES = (
    "acknowledged-before-taken-up", "any-content-is-taken", "counted-from-the-answer", "latest-put-wins",
    "old-versions-renewed", "rights-checked-on-a-timer", "rights-by-the-time-of-day",
)  # fmt: skip


@change(Gate, "checked_at")
def rights_checked_on_a_timer(gate: Gate) -> float:
    return gate.ticked_at


@change(Gate, "now")
def rights_by_the_time_of_day(gate: Gate) -> float:
    return Process.now(gate) + gate.stepped


@change(Rights, "answered")
def counted_from_the_answer(rights: Rights, answer: Mapping[str, Any], now: float) -> bool:
    number = int(answer["number"])
    if number in rights.sent:
        rights.sent[number] = now
    return ANSWERED(rights, answer, now)


ANSWERED = Rights.answered


@change(Rights, "take")
def any_content_is_taken(rights: Rights, name: str, version: int, document: Document) -> None:
    one = rights.known[name]
    if version in one.wanted:
        one.at_hand[version] = document
        del one.wanted[version]


def question(rights: Rights, now: float) -> dict[str, Any]:
    told = QUESTION(rights, now)
    for name, one in rights.known.items():
        told["documents"][name]["have"] = sorted({*one.at_hand, *one.wanted})
    return told


def take_answer(rights: Rights, one: Known, told: Mapping[str, Any], sent: float, now: float) -> None:
    """Goes by what it has under the number that it was granted; the content comes when it comes."""
    grant = int(told["grant"])
    if grant > one.acting and grant not in one.at_hand and one.acting:
        one.at_hand[grant] = one.at_hand[one.acting]
    TAKE_ANSWER(rights, one, told, sent, now)


QUESTION, TAKE_ANSWER = Rights.question, Rights.take_answer
ACKNOWLEDGED: list[Change] = [(Rights, "question", question), (Rights, "take_answer", take_answer)]
CHANGES["acknowledged-before-taken-up"] = ACKNOWLEDGED


@change(RulesMachine, "put")
def latest_put_wins(machine: RulesMachine, command: PutRules) -> str:
    """Whatever it was meant to stand on."""
    state = machine.states.get(command.name, State())
    return PUT(machine, msgspec.structs.replace(command, parent=state.head))


PUT = RulesMachine.put


@change(RulesDesk, "grant")
def old_versions_renewed(desk: RulesDesk, question: RulesQuestion, *rest: Any) -> Granted:
    """Whoever lacks what is active goes on under what it has."""
    granted = GRANT(desk, question, *rest)
    told = question.documents.get(rest[1], Told())
    if granted.grant < 0 and told.acting and granted.active not in told.have:
        return msgspec.structs.replace(granted, grant=told.acting)
    return granted


GRANT = RulesDesk.grant
