"""Rule versions: documents, contradictions, a gateway's leases, and the leader's coordinator."""

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


def test_equal_documents_have_equal_digests() -> None:
    first = build_document({"a": "x", "b": "y"})
    second = build_document({"b": "y", "c": "z"}).with_changes({"a": "x"}, ["c"])
    assert first.digest == second.digest != build_document({"a": "x"}).digest
    assert dict(first.items()) == {"a": "x", "b": "y"} and "a" in first and "c" not in second


def test_change_copies_only_its_own_part() -> None:
    old = build_document({f"c{number}": "by order" for number in range(10_000)})
    new = old.with_changes({"late": "by order"})
    shared = sum(a is b for a, b in zip(old.parts, new.parts, strict=True))
    assert shared == docs.PART_COUNT - 1 and docs.diff(old, new) == docs.Change({"late": "by order"})
    assert docs.diff(new, old) == docs.Change({}, ("late",))


@pytest.mark.parametrize(
    ("kind", "old", "new", "lines"),
    [
        (PLAN_LIMITS, {RATE: 4.0}, {RATE: 5.0}, []),
        (PLAN_LIMITS, {RATE: 5.0}, {RATE: 4.0}, ["mala.rate: 5 lowered to 4"]),
        (PLAN_LIMITS, {RATE: 5.0}, {RATE: 0.0}, []),  # 0 is no limit
        (PLAN_LIMITS, {RATE: 0.0}, {RATE: 5.0}, ["mala.rate: 0 lowered to 5"]),
        (PLAN_LIMITS, {RATE: 5.0}, {}, ["mala.rate: back to each gateway's own file, which may be looser"]),
        (PLAN_LIMITS, {RATE: 5.0, "duza.rate": 1.0}, {RATE: 5.0, "duza.rate": 2.0}, []),
        (BLOCKED, {}, {"c1": "by order"}, ["c1: blocked"]),
        (BLOCKED, {"c1": "by order"}, {}, []),
        (SET_ASIDE, {}, {"s1": "noisy"}, ["s1: set aside"]),
        (SET_ASIDE, {"s1": "noisy"}, {"s1": "still noisy"}, []),
    ],
)
def test_contradictions(kind: str, old: Any, new: Any, lines: list[str]) -> None:
    assert docs.contradictions(kind, build_document(old), build_document(new)) == lines


@pytest.mark.parametrize(
    ("kind", "entries", "reason"),
    [
        ("planes", {}, "no document 'planes'"),
        (PLAN_LIMITS, {"mala.pays": 1.0}, "plans.mala.pays: no figure of a plan"),
        (PLAN_LIMITS, {RATE: -1.0}, "plans.mala.rate: -1.0"),
        (PLAN_LIMITS, {RATE: "much"}, "'much', where a number"),
        (BLOCKED, {"c1": 3.0}, "blocked.c1: 3.0, where a reason in words"),
        (BLOCKED, {"": "x"}, "a path of 0 characters"),
    ],
)
def test_invalid_entries_are_named(kind: str, entries: Any, reason: str) -> None:
    with pytest.raises(DocumentError, match=reason):
        docs.validate_entries(kind, entries)


# Leases.


def build_answer(
    leases: RuleLeases, grant: int, *versions: tuple[int, Document], lapse: str = "keep"
) -> dict[str, Any]:
    digests = {str(version): document.digest for version, document in versions}
    empty = {"grant": 0, "length": LENGTH, "lapse": "keep", "least": {}, "digests": {"0": Document().digest}}
    plan_limits = empty | {"grant": grant, "lapse": lapse, "least": {RATE: 1.0}, "digests": digests}
    documents = {PLAN_LIMITS: plan_limits, BLOCKED: empty, SET_ASIDE: empty}
    return {"session": leases.session, "number": leases.question_number, "documents": documents}


@pytest.fixture
def leases() -> RuleLeases:
    return RuleLeases("g1", "a")


VERSION_FOUR, VERSION_FIVE = build_document({RATE: 4.0}), build_document({RATE: 5.0})


def fetch_version(leases: RuleLeases, now: float, version: int, document: Document) -> None:
    leases.question(now)
    leases.handle_answer(build_answer(leases, -1, (version, document)), now)
    leases.add_content(PLAN_LIMITS, version, document)


def test_lease_starts_at_the_question_and_expires(leases: RuleLeases) -> None:
    fetch_version(leases, 0.0, 1, VERSION_FIVE)
    assert not leases.ready(0.0)
    leases.question(1.0)
    leases.handle_answer(build_answer(leases, 1, (1, VERSION_FIVE)), 4.0)
    assert leases.ready(10.9) and not leases.ready(11.0)
    leases.update_next_expiry(10.9)
    assert leases.next_expiry == 11.0
    assert (
        leases.effective_rules(PLAN_LIMITS, 10.9).document is VERSION_FIVE
        and not leases.effective_rules(PLAN_LIMITS, 10.9).lapsed
    )
    assert leases.effective_rules(PLAN_LIMITS, 11.0).lapsed == "keep"


def test_expired_lease_applies_the_strictest_limits(leases: RuleLeases) -> None:
    fetch_version(leases, 0.0, 1, VERSION_FIVE)
    leases.question(0.0)
    leases.handle_answer(build_answer(leases, 1, (1, VERSION_FIVE), lapse="strict"), 0.1)
    assert leases.effective_rules(PLAN_LIMITS, 20.0).document.get(RATE) == 1.0
    assert str(leases.effective_rules(PLAN_LIMITS, 20.0)) == "1-strict"


def test_content_with_a_wrong_digest_is_refused(leases: RuleLeases) -> None:
    leases.question(0.0)
    leases.handle_answer(build_answer(leases, -1, (1, VERSION_FIVE)), 0.1)
    with pytest.raises(DocumentError, match="is not the announced one"):
        leases.add_content(PLAN_LIMITS, 1, VERSION_FOUR)
    assert leases.question(1.0)["documents"][PLAN_LIMITS]["have"] == [0]


def test_reordered_answers_never_restore_an_older_version(leases: RuleLeases) -> None:
    fetch_version(leases, 0.0, 1, VERSION_FIVE)
    leases.question(1.0)
    delayed_answer = build_answer(leases, 1, (1, VERSION_FIVE))
    fetch_version(leases, 2.0, 2, VERSION_FOUR)
    leases.question(3.0)
    leases.handle_answer(build_answer(leases, 2, (1, VERSION_FIVE), (2, VERSION_FOUR)), 3.1)
    leases.handle_answer(delayed_answer, 3.2)
    assert (
        leases.effective_rules(PLAN_LIMITS, 3.3).version == 2
        and leases.documents[PLAN_LIMITS].expires_at == 13.0
    )


def test_saved_rules_load_with_expired_leases(leases: RuleLeases) -> None:
    fetch_version(leases, 0.0, 1, VERSION_FIVE)
    leases.question(0.0)
    leases.handle_answer(build_answer(leases, 1, (1, VERSION_FIVE), lapse="refuse"), 0.1)
    restarted = RuleLeases("g1", "b")
    restarted.load(json.loads(json.dumps(dump(leases.persistent_state()))))
    assert not restarted.ready(0.2) and restarted.effective_rules(PLAN_LIMITS, 0.2).lapsed == "refuse"
    with pytest.raises(DocumentError, match="can't be read"):
        restarted.load({PLAN_LIMITS: {"version": "x"}})


# The state machine and the coordinator.


class Leader:
    """A coordinator whose commands are applied at once, and the gateways that ask it."""

    def __init__(self) -> None:
        self.machine = RulesMachine()
        self.coordinator = RulesCoordinator(self.machine, DRIFT)
        self.coordinator.become_leader(-100.0)
        self.gateways: dict[str, RuleLeases] = {}

    def put(self, parent: int, now: float, name: str = PLAN_LIMITS, **entries: Any) -> str:
        put = {path.replace("_", ".", 1): value for path, value in entries.items()}
        command = PutRules(name, parent, put, terms=Terms(LENGTH))
        reason = self.machine.apply(0, msgspec.msgpack.encode(command))
        self.due(now)
        return reason

    def due(self, now: float) -> list[Activate]:
        commands = self.coordinator.due_activations(now)
        for command in commands:
            assert self.machine.apply(0, msgspec.msgpack.encode(command)) == ""
            self.coordinator.activation_applied(command, now)
        return commands

    def ask(self, name: str, now: float, fetch: bool = True) -> RuleLeases:
        leases = self.gateways.setdefault(name, RuleLeases(name, "s"))
        question = msgspec.convert(leases.question(now), RulesQuestion)
        answer = self.coordinator.answer(question, now, now)
        leases.handle_answer(json.loads(msgspec.json.encode(answer)), now)
        for missing in leases.missing_contents() if fetch else ():
            content = self.machine.content(FetchRules(missing.name, missing.version, missing.base))
            assert content is not None
            base = leases.documents[missing.name].contents.get(missing.base, Document())
            leases.add_content(missing.name, missing.version, assemble(content, base))
        self.due(now)
        return leases

    @property
    def active(self) -> int:
        return self.machine.states[PLAN_LIMITS].active


def test_concurrent_puts_conflict() -> None:
    leader = Leader()
    assert leader.put(0, 0.0, mala_rate=5.0) == ""
    assert leader.put(0, 0.0, mala_rate=3.0) == "version 0 of plans is not the newest, 1 is"
    assert leader.put(1, 0.0, mala_rate=-3.0).startswith("plans.mala.rate: -3.0")


def test_only_tightening_waits_for_all_gateways() -> None:
    leader = Leader()
    leader.put(0, 0.0, mala_rate=5.0)
    for name in ("g1", "g2"):
        leader.ask(name, 0.1)
        assert leader.ask(name, 0.2).effective_rules(PLAN_LIMITS, 0.2).version == 1
    leader.put(1, 1.0, mala_rate=6.0)
    assert leader.active == 2
    for name in ("g1", "g2"):
        leader.ask(name, 1.1)
        leader.ask(name, 1.2)
    leader.put(2, 2.0, mala_rate=4.0)
    assert leader.active == 2
    leader.ask("g1", 2.1)
    leader.ask("g1", 2.2)
    assert leader.active == 2, "g2 has not reported that it has the version"
    leader.ask("g2", 2.3)
    leader.ask("g2", 2.4)
    assert leader.active == 3


def test_absent_gateway_delays_activation_until_its_lease_expires() -> None:
    leader = Leader()
    leader.put(0, 0.0, mala_rate=5.0)
    for name in ("g1", "g2"):
        leader.ask(name, 0.0)
        leader.ask(name, 0.0)
    leader.put(1, 1.0, mala_rate=4.0)
    expiry = LENGTH * (1 + DRIFT) / (1 - DRIFT)
    leader.ask("g1", expiry - 0.2)
    leader.ask("g1", expiry - 0.1)
    assert leader.active == 1
    assert leader.due(expiry) == [Activate(PLAN_LIMITS, 2, LENGTH)]
    unreachable = leader.gateways["g2"]
    assert unreachable.effective_rules(PLAN_LIMITS, expiry).lapsed, "expired by its own clock"


def test_gateway_that_never_fetches_a_version_loses_its_lease() -> None:
    leader = Leader()
    leader.put(0, 0.0, mala_rate=5.0)
    leader.ask("g1", 0.0)
    leader.ask("g1", 0.1)
    leader.put(1, 1.0, mala_rate=4.0)
    for number in range(40):
        leader.ask("g1", 1.0 + number, fetch=False)
    assert leader.active == 2 and leader.gateways["g1"].effective_rules(PLAN_LIMITS, 40.0).lapsed


def test_new_leader_waits_for_leases_of_earlier_leaders() -> None:
    leader = Leader()
    leader.put(0, 0.0, mala_rate=5.0)
    leader.coordinator.become_leader(50.0)
    leader.put(1, 51.0, mala_rate=4.0)
    assert leader.active == 1 and leader.due(61.0) == []
    assert leader.due(50.0 + LENGTH * (1 + DRIFT) / (1 - DRIFT)) == [Activate(PLAN_LIMITS, 2)]


def test_overlap_of_contradicting_versions_is_reported() -> None:
    leader = Leader()
    leader.put(0, 0.0, mala_rate=5.0)
    for name in ("g1", "g2"):
        leader.ask(name, 0.0)
        leader.ask(name, 0.0)
    leader.put(1, 1.0, mala_rate=4.0)
    for name in ("g1", "g2", "g1", "g2"):
        leader.ask(name, 2.0)
    leader.ask("g1", 3.0)
    (*_, switch) = leader.coordinator.activations
    assert switch.version == 2 and switch.open_leases.keys() == {"g2#s"}
    assert switch.overlap_s(5.0) == pytest.approx(3.0)
    leader.ask("g2", 6.0)
    assert switch.overlap_s(9.0) == pytest.approx(4.0)


def test_no_version_is_stricter_than_the_lapse_limits() -> None:
    machine = RulesMachine()
    strict_terms = Terms(LENGTH, "strict", {RATE: 2.0})
    too_strict = PutRules(PLAN_LIMITS, 0, {RATE: 1.0}, terms=strict_terms)
    assert machine.apply(1, msgspec.msgpack.encode(too_strict)) == (
        "mala.rate: 1 is below 2, by which lapsed gateways go"
    )
    for invalid_terms, reason in (
        (Terms(0.1), "a right of 0.1 s"), (Terms(10.0, "hope"), "'hope'"),
        (Terms(10.0, least={"x": 1.0}), "no figure"),
    ):  # fmt: skip
        assert reason in machine.apply(
            1, msgspec.msgpack.encode(PutRules(PLAN_LIMITS, 0, {}, terms=invalid_terms))
        )


def test_content_by_change_or_parts_survives_a_snapshot() -> None:
    machine = RulesMachine()

    def put(parent: int, entries: dict[str, Any], *gone: str) -> None:
        assert machine.apply(1, msgspec.msgpack.encode(PutRules(BLOCKED, parent, entries, gone))) == ""
        machine.activate(BLOCKED, parent + 1)

    put(0, {f"c{number}": "by order" for number in range(2000)})
    old = machine.states[BLOCKED].head_document
    put(1, {"late": "by order", "later": "x"}, "c7")
    put(2, {"c7": "again"}, "later")
    restored = RulesMachine()
    restored.load(machine.dump())
    assert restored.dump() == machine.dump()
    for state_machine in (machine, restored):
        new = state_machine.states[BLOCKED].head_document
        step = state_machine.content(FetchRules(BLOCKED, 3, 1))
        assert step is not None and step.parts is None and len(step.put) + len(step.gone) == 3
        assert assemble(step, old).digest == new.digest
        parts = state_machine.content(
            FetchRules(BLOCKED, 3, digests=tuple(digest.hex() for digest in old.digests))
        )
        assert parts is not None and parts.parts is not None and len(parts.parts) <= 2
        assert assemble(parts, old).digest == new.digest
        full = state_machine.content(FetchRules(BLOCKED, 3))
        assert full is not None and assemble(full, Document()).digest == new.digest
        assert state_machine.content(FetchRules(BLOCKED, 2)) is None


def test_long_content_is_paged_and_old_bases_use_parts() -> None:
    machine = RulesMachine()
    entries = {f"c{number}": "by order" for number in range(20_000)}
    assert machine.apply(1, msgspec.msgpack.encode(PutRules(BLOCKED, 0, dict(entries)))) == ""
    machine.activate(BLOCKED, 1)
    document, first, pieces = Document(), 0, 0
    while not pieces or first:
        content = machine.content(FetchRules(BLOCKED, 1, first=first))
        assert content is not None and content.parts is not None
        assert sum(map(len, content.parts.values())) < 2 * 4000
        document, first, pieces = assemble(content, document), content.then, pieces + 1
    assert pieces >= 5 and document.digest == machine.states[BLOCKED].head_document.digest
    for version in range(1, 120):
        command = PutRules(BLOCKED, version, {f"late{version}": "by order"})
        machine.apply(1, msgspec.msgpack.encode(command))
        machine.activate(BLOCKED, version + 1)
    assert machine.content(FetchRules(BLOCKED, 120, 1)) is None, "some of its changes are no longer kept"
    digests = tuple(digest.hex() for digest in document.digests)
    content = machine.content(FetchRules(BLOCKED, 120, digests=digests))
    assert content is not None and content.parts is not None and content.then
