"""Guards of the rules' versions taken out on purpose, as in ``changes``; they show where gateways play."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from latchspoke.lab.schedules.changes import CHANGES, Change, change
from latchspoke.lab.schedules.gates import Gate
from latchspoke.lab.schedules.world import Process
from latchspoke.revisions.coordinator import RulesCoordinator
from latchspoke.revisions.documents import Document
from latchspoke.revisions.leases import KnownDocument, RuleLeases
from latchspoke.revisions.machine import DocumentState, RulesMachine
from latchspoke.revisions.records import DocumentGrant, DocumentReport, PutRules, RulesQuestion

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


@change(RuleLeases, "handle_answer")
def counted_from_the_answer(rights: RuleLeases, answer: Mapping[str, Any], now: float) -> bool:
    number = int(answer["number"])
    if number in rights.sent_questions:
        rights.sent_questions[number] = now
    return ANSWERED(rights, answer, now)


ANSWERED = RuleLeases.handle_answer


@change(RuleLeases, "add_content")
def any_content_is_taken(rights: RuleLeases, name: str, version: int, document: Document) -> None:
    one = rights.documents[name]
    if version in one.missing:
        one.contents[version] = document
        del one.missing[version]


def question(rights: RuleLeases, now: float) -> dict[str, Any]:
    told = QUESTION(rights, now)
    for name, one in rights.documents.items():
        told["documents"][name]["have"] = sorted({*one.contents, *one.missing})
    return told


def take_answer(
    rights: RuleLeases, one: KnownDocument, told: Mapping[str, Any], sent: float, now: float
) -> None:
    """Goes by what it has under the number that it was granted; the content comes when it comes."""
    grant = int(told["grant"])
    if grant > one.version and grant not in one.contents and one.version:
        one.contents[grant] = one.contents[one.version]
    TAKE_ANSWER(rights, one, told, sent, now)


QUESTION, TAKE_ANSWER = RuleLeases.question, RuleLeases.apply_grant
ACKNOWLEDGED: list[Change] = [(RuleLeases, "question", question), (RuleLeases, "apply_grant", take_answer)]
CHANGES["acknowledged-before-taken-up"] = ACKNOWLEDGED


@change(RulesMachine, "put")
def latest_put_wins(machine: RulesMachine, command: PutRules) -> str:
    """Whatever it was meant to stand on."""
    state = machine.states.get(command.name, DocumentState())
    return PUT(machine, msgspec.structs.replace(command, parent=state.head))


PUT = RulesMachine.put


@change(RulesCoordinator, "grant")
def old_versions_renewed(desk: RulesCoordinator, question: RulesQuestion, *rest: Any) -> DocumentGrant:
    """Whoever lacks what is active goes on under what it has."""
    granted = GRANT(desk, question, *rest)
    told = question.documents.get(rest[1], DocumentReport())
    if granted.grant < 0 and told.acting and granted.active not in told.have:
        return msgspec.structs.replace(granted, grant=told.acting)
    return granted


GRANT = RulesCoordinator.grant
