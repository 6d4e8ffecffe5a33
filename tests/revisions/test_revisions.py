"""Rules with versions: documents, what contradicts what, a gateway's rights, the leader's desk."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from latchspoke.revisions import documents as docs
from latchspoke.revisions.coordinator import RulesCoordinator
from latchspoke.revisions.documents import (
    BLOCKED,
    PLAN_LIMITS,
    SET_ASIDE,
    Document,
    DocumentError,
    build_document,
)
from latchspoke.revisions.leases import RuleLeases, dump
from latchspoke.revisions.machine import RulesMachine, assemble
from latchspoke.revisions.records import Activate, FetchRules, PutRules, RulesQuestion, Terms

DRIFT = 0.05
LENGTH = 10.0
RATE = "mala.rate"


# Documents.


def test_a_digest_tells_equal_documents_however_they_came_to_be() -> None:
    one = build_document({"a": "x", "b": "y"})
    other = build_document({"b": "y", "c": "z"}).with_changes({"a": "x"}, ["c"])
    assert one.digest == other.digest != build_document({"a": "x"}).digest
    assert dict(one.items()) == {"a": "x", "b": "y"} and "a" in one and "c" not in other


def test_a_change_touches_its_own_part_only() -> None:
    old = build_document({f"c{n}": "by order" for n in range(10_000)})
    new = old.with_changes({"late": "by order"})
    shared = sum(a is b for a, b in zip(old.parts, new.parts, strict=True))
    assert shared == docs.PART_COUNT - 1 and docs.diff(old, new) == docs.Change({"late": "by order"})
    assert docs.diff(new, old) == docs.Change({}, ("late",))


@pytest.mark.parametrize(
    ("kind", "old", "new", "lines"),
    [
        (PLAN_LIMITS, {RATE: 4.0}, {RATE: 5.0}, []),
        (PLAN_LIMITS, {RATE: 5.0}, {RATE: 4.0}, ["mala.rate: 5 lowered to 4"]),
        (PLAN_LIMITS, {RATE: 5.0}, {RATE: 0.0}, []),  # 0 is no quota at all
        (PLAN_LIMITS, {RATE: 0.0}, {RATE: 5.0}, ["mala.rate: 0 lowered to 5"]),
        (PLAN_LIMITS, {RATE: 5.0}, {}, ["mala.rate: back to each gateway's own file, which may be looser"]),
        (PLAN_LIMITS, {RATE: 5.0, "duza.rate": 1.0}, {RATE: 5.0, "duza.rate": 2.0}, []),
        (BLOCKED, {}, {"c1": "by order"}, ["c1: blocked"]),
        (BLOCKED, {"c1": "by order"}, {}, []),
        (SET_ASIDE, {}, {"s1": "noisy"}, ["s1: set aside"]),
        (SET_ASIDE, {"s1": "noisy"}, {"s1": "still noisy"}, []),
    ],
)
def test_what_contradicts_what(kind: str, old: Any, new: Any, lines: list[str]) -> None:
    assert docs.contradictions(kind, build_document(old), build_document(new)) == lines


@pytest.mark.parametrize(
    ("kind", "entries", "why"),
    [
        ("planes", {}, "no document 'planes'"),
        (PLAN_LIMITS, {"mala.pays": 1.0}, "plans.mala.pays: no figure of a plan"),
        (PLAN_LIMITS, {RATE: -1.0}, "plans.mala.rate: -1.0"),
        (PLAN_LIMITS, {RATE: "much"}, "'much', where a number"),
        (BLOCKED, {"c1": 3.0}, "blocked.c1: 3.0, where a reason in words"),
        (BLOCKED, {"": "x"}, "a path of 0 characters"),
    ],
)
def test_bad_entries_are_named(kind: str, entries: Any, why: str) -> None:
    with pytest.raises(DocumentError, match=why):
        docs.validate_entries(kind, entries)


# Rights.


def told(rights: RuleLeases, grant: int, *known: tuple[int, Document], lapse: str = "keep") -> dict[str, Any]:
    digests = {str(version): document.digest for version, document in known}
    empty = {"grant": 0, "length": LENGTH, "lapse": "keep", "least": {}, "digests": {"0": Document().digest}}
    told = empty | {"grant": grant, "lapse": lapse, "least": {RATE: 1.0}, "digests": digests}
    documents = {PLAN_LIMITS: told, BLOCKED: empty, SET_ASIDE: empty}
    return {"session": rights.session, "number": rights.question_number, "documents": documents}


@pytest.fixture
def rights() -> RuleLeases:
    return RuleLeases("g1", "a")


FOUR, FIVE = build_document({RATE: 4.0}), build_document({RATE: 5.0})


def have(rights: RuleLeases, now: float, version: int, document: Document) -> None:
    rights.question(now)
    rights.handle_answer(told(rights, -1, (version, document)), now)
    rights.add_content(PLAN_LIMITS, version, document)


def test_a_right_counts_from_the_question_and_ends_by_itself(rights: RuleLeases) -> None:
    have(rights, 0.0, 1, FIVE)
    assert not rights.ready(0.0)
    rights.question(1.0)
    rights.handle_answer(told(rights, 1, (1, FIVE)), 4.0)
    assert rights.ready(10.9) and not rights.ready(11.0)
    rights.update_next_expiry(10.9)
    assert rights.next_expiry == 11.0
    assert (
        rights.effective_rules(PLAN_LIMITS, 10.9).document is FIVE
        and not rights.effective_rules(PLAN_LIMITS, 10.9).lapsed
    )
    assert rights.effective_rules(PLAN_LIMITS, 11.0).lapsed == "keep"


def test_a_lapsed_gateway_goes_by_the_strictest_that_it_may_have_to(rights: RuleLeases) -> None:
    have(rights, 0.0, 1, FIVE)
    rights.question(0.0)
    rights.handle_answer(told(rights, 1, (1, FIVE), lapse="strict"), 0.1)
    assert rights.effective_rules(PLAN_LIMITS, 20.0).document.get(RATE) == 1.0
    assert str(rights.effective_rules(PLAN_LIMITS, 20.0)) == "1-strict"


def test_content_with_another_digest_is_refused(rights: RuleLeases) -> None:
    rights.question(0.0)
    rights.handle_answer(told(rights, -1, (1, FIVE)), 0.1)
    with pytest.raises(DocumentError, match="is not the announced one"):
        rights.add_content(PLAN_LIMITS, 1, FOUR)
    assert rights.question(1.0)["documents"][PLAN_LIMITS]["have"] == [0]


def test_answers_out_of_order_never_lead_back(rights: RuleLeases) -> None:
    have(rights, 0.0, 1, FIVE)
    rights.question(1.0)
    early = told(rights, 1, (1, FIVE))
    have(rights, 2.0, 2, FOUR)
    rights.question(3.0)
    rights.handle_answer(told(rights, 2, (1, FIVE), (2, FOUR)), 3.1)
    rights.handle_answer(early, 3.2)
    assert (
        rights.effective_rules(PLAN_LIMITS, 3.3).version == 2
        and rights.documents[PLAN_LIMITS].expires_at == 13.0
    )


def test_the_rules_last_known_count_as_lapsed_after_a_start(rights: RuleLeases) -> None:
    have(rights, 0.0, 1, FIVE)
    rights.question(0.0)
    rights.handle_answer(told(rights, 1, (1, FIVE), lapse="refuse"), 0.1)
    again = RuleLeases("g1", "b")
    again.load(json.loads(json.dumps(dump(rights.persistent_state()))))
    assert not again.ready(0.2) and again.effective_rules(PLAN_LIMITS, 0.2).lapsed == "refuse"
    with pytest.raises(DocumentError, match="can't be read"):
        again.load({PLAN_LIMITS: {"version": "x"}})


# The machine and the desk.


class Board:
    """A leader whose commands are committed at once, and gateways that ask it."""

    def __init__(self) -> None:
        self.machine = RulesMachine()
        self.desk = RulesCoordinator(self.machine, DRIFT)
        self.desk.become_leader(-100.0)
        self.gates: dict[str, RuleLeases] = {}

    def put(self, parent: int, now: float, name: str = PLAN_LIMITS, **entries: Any) -> str:
        put = {path.replace("_", ".", 1): value for path, value in entries.items()}
        command = PutRules(name, parent, put, terms=Terms(LENGTH))
        why = self.machine.apply(0, msgspec.msgpack.encode(command))
        self.due(now)
        return why

    def due(self, now: float) -> list[Activate]:
        made = self.desk.due_activations(now)
        for command in made:
            assert self.machine.apply(0, msgspec.msgpack.encode(command)) == ""
            self.desk.activation_applied(command, now)
        return made

    def ask(self, name: str, now: float, fetch: bool = True) -> RuleLeases:
        rights = self.gates.setdefault(name, RuleLeases(name, "s"))
        question = msgspec.convert(rights.question(now), RulesQuestion)
        answer = self.desk.answer(question, now, now)
        rights.handle_answer(json.loads(msgspec.json.encode(answer)), now)
        for one in rights.missing_contents() if fetch else ():
            content = self.machine.content(FetchRules(one.name, one.version, one.base))
            assert content is not None
            base = rights.documents[one.name].contents.get(one.base, Document())
            rights.add_content(one.name, one.version, assemble(content, base))
        self.due(now)
        return rights

    @property
    def active(self) -> int:
        return self.machine.states[PLAN_LIMITS].active


def test_of_two_operators_one_is_told() -> None:
    board = Board()
    assert board.put(0, 0.0, mala_rate=5.0) == ""
    assert board.put(0, 0.0, mala_rate=3.0) == "version 0 of plans is not the newest, 1 is"
    assert board.put(1, 0.0, mala_rate=-3.0).startswith("plans.mala.rate: -3.0")


def test_loosening_needs_no_barrier_and_tightening_waits_for_all_who_may_act() -> None:
    board = Board()
    board.put(0, 0.0, mala_rate=5.0)
    for name in ("g1", "g2"):
        board.ask(name, 0.1)
        assert board.ask(name, 0.2).effective_rules(PLAN_LIMITS, 0.2).version == 1
    board.put(1, 1.0, mala_rate=6.0)
    assert board.active == 2
    for name in ("g1", "g2"):
        board.ask(name, 1.1)
        board.ask(name, 1.2)
    board.put(2, 2.0, mala_rate=4.0)
    assert board.active == 2
    board.ask("g1", 2.1)
    board.ask("g1", 2.2)
    assert board.active == 2, "the other one has not said that it has it"
    board.ask("g2", 2.3)
    board.ask("g2", 2.4)
    assert board.active == 3


def test_a_gateway_that_is_gone_holds_up_a_change_until_its_right_has_surely_ended() -> None:
    board = Board()
    board.put(0, 0.0, mala_rate=5.0)
    for name in ("g1", "g2"):
        board.ask(name, 0.0)
        board.ask(name, 0.0)
    board.put(1, 1.0, mala_rate=4.0)
    end = LENGTH * (1 + DRIFT) / (1 - DRIFT)
    board.ask("g1", end - 0.2)
    board.ask("g1", end - 0.1)
    assert board.active == 1
    assert board.due(end) == [Activate(PLAN_LIMITS, 2, LENGTH)]
    late = board.gates["g2"]
    assert late.effective_rules(PLAN_LIMITS, end).lapsed, "by its own clock, however it runs"


def test_one_that_lives_and_never_takes_a_version_up_loses_its_right() -> None:
    board = Board()
    board.put(0, 0.0, mala_rate=5.0)
    board.ask("g1", 0.0)
    board.ask("g1", 0.1)
    board.put(1, 1.0, mala_rate=4.0)
    for n in range(40):
        board.ask("g1", 1.0 + n, fetch=False)
    assert board.active == 2 and board.gates["g1"].effective_rules(PLAN_LIMITS, 40.0).lapsed


def test_a_new_leader_waits_for_rights_that_it_knows_nothing_of() -> None:
    board = Board()
    board.put(0, 0.0, mala_rate=5.0)
    board.desk.become_leader(50.0)
    board.put(1, 51.0, mala_rate=4.0)
    assert board.active == 1 and board.due(61.0) == []
    assert board.due(50.0 + LENGTH * (1 + DRIFT) / (1 - DRIFT)) == [Activate(PLAN_LIMITS, 2)]


def test_what_stands_longer_than_a_contradiction_is_told() -> None:
    board = Board()
    board.put(0, 0.0, mala_rate=5.0)
    for name in ("g1", "g2"):
        board.ask(name, 0.0)
        board.ask(name, 0.0)
    board.put(1, 1.0, mala_rate=4.0)
    for name in ("g1", "g2", "g1", "g2"):
        board.ask(name, 2.0)
    board.ask("g1", 3.0)
    (*_, switch) = board.desk.activations
    assert switch.version == 2 and switch.open_leases.keys() == {"g2#s"}
    assert switch.overlap_s(5.0) == pytest.approx(3.0)
    board.ask("g2", 6.0)
    assert switch.overlap_s(9.0) == pytest.approx(4.0)


def test_no_version_goes_below_what_lapsed_gateways_go_by() -> None:
    machine = RulesMachine()
    terms = Terms(LENGTH, "strict", {RATE: 2.0})
    low = PutRules(PLAN_LIMITS, 0, {RATE: 1.0}, terms=terms)
    assert machine.apply(1, msgspec.msgpack.encode(low)) == (
        "mala.rate: 1 is below 2, by which lapsed gateways go"
    )
    for bad, why in (
        (Terms(0.1), "a right of 0.1 s"), (Terms(10.0, "hope"), "'hope'"),
        (Terms(10.0, least={"x": 1.0}), "no figure"),
    ):  # fmt: skip
        assert why in machine.apply(1, msgspec.msgpack.encode(PutRules(PLAN_LIMITS, 0, {}, terms=bad)))


def test_content_comes_as_steps_as_parts_or_not_at_all_and_outlives_a_snapshot() -> None:
    machine = RulesMachine()

    def put(parent: int, entries: dict[str, Any], *gone: str) -> None:
        assert machine.apply(1, msgspec.msgpack.encode(PutRules(BLOCKED, parent, entries, gone))) == ""
        machine.activate(BLOCKED, parent + 1)

    put(0, {f"c{n}": "by order" for n in range(2000)})
    old = machine.states[BLOCKED].head_document
    put(1, {"late": "by order", "later": "x"}, "c7")
    put(2, {"c7": "again"}, "later")
    copy = RulesMachine()
    copy.load(machine.dump())
    assert copy.dump() == machine.dump()
    for one in (machine, copy):
        new = one.states[BLOCKED].head_document
        step = one.content(FetchRules(BLOCKED, 3, 1))
        assert step is not None and step.parts is None and len(step.put) + len(step.gone) == 3
        assert assemble(step, old).digest == new.digest
        parts = one.content(FetchRules(BLOCKED, 3, digests=tuple(d.hex() for d in old.digests)))
        assert parts is not None and parts.parts is not None and len(parts.parts) <= 2
        assert assemble(parts, old).digest == new.digest
        whole = one.content(FetchRules(BLOCKED, 3))
        assert whole is not None and assemble(whole, Document()).digest == new.digest
        assert one.content(FetchRules(BLOCKED, 2)) is None


def test_a_long_list_comes_in_pieces_and_old_bases_by_parts() -> None:
    machine = RulesMachine()
    entries = {f"c{n}": "by order" for n in range(20_000)}
    assert machine.apply(1, msgspec.msgpack.encode(PutRules(BLOCKED, 0, dict(entries)))) == ""
    machine.activate(BLOCKED, 1)
    made, first, pieces = Document(), 0, 0
    while not pieces or first:
        content = machine.content(FetchRules(BLOCKED, 1, first=first))
        assert content is not None and content.parts is not None
        assert sum(map(len, content.parts.values())) < 2 * 4000
        made, first, pieces = assemble(content, made), content.then, pieces + 1
    assert pieces >= 5 and made.digest == machine.states[BLOCKED].head_document.digest
    for version in range(1, 120):
        command = PutRules(BLOCKED, version, {f"late{version}": "by order"})
        machine.apply(1, msgspec.msgpack.encode(command))
        machine.activate(BLOCKED, version + 1)
    assert machine.content(FetchRules(BLOCKED, 120, 1)) is None, "its steps are no longer all here"
    digests = tuple(digest.hex() for digest in made.digests)
    content = machine.content(FetchRules(BLOCKED, 120, digests=digests))
    assert content is not None and content.parts is not None and content.then
