"""Gateways that go by rules with versions, in virtual time: the real rights, and operators who change rules.

Every decision of a gateway goes into the record with the version it went by and that version's digest, so
that the checker can tell who acted on what when.
"""

from __future__ import annotations

import json
import random
from functools import partial
from typing import Any

import msgspec

from latchspoke.duties.member_service import Committed, Reply, rules_command
from latchspoke.lab.schedules.world import TICK, Process, RuleAct, World
from latchspoke.revisions.documents import BLOCKED, PLAN_LIMITS, Document, DocumentError, Scalar
from latchspoke.revisions.leases import REFUSE, STRICT, MissingContent, RuleLeases
from latchspoke.revisions.machine import assemble
from latchspoke.revisions.records import Content, FetchRules, PutRules, RulesAnswer, RulesQuestion, Terms

DECIDE = 0.08  # s between two decisions, on average
DAMAGE = 0.03  # of the contents come with an entry lost
RIGHT = 3.0  # s
FIGURE, FLOOR = "mala.rate", 1.0
CUSTOMERS = [f"c{n}" for n in range(6)]


class Gate(Process):
    """A gateway: it asks, fetches, and decides."""

    rights: RuleLeases

    def boot(self) -> None:
        self.world.numbers += 1
        self.rights = RuleLeases(self.name, str(self.world.numbers))
        self.ticked_at = self.now()
        self.tick()
        self.ask()
        self.decide()

    def tick(self) -> None:
        self.ticked_at = self.now()
        self.later(TICK, self.tick)

    def checked_at(self) -> float:
        """The time by which a decision's right is judged: that of the decision itself."""
        return self.now()

    def ask(self) -> None:
        told = json.dumps(self.rights.question(self.now()))
        question: RulesQuestion = msgspec.json.decode(told, type=RulesQuestion)
        hosts = list(self.world.hosts.values())
        host = hosts[(self.rights.member_index + self.world.names.index(self.name)) % len(hosts)]

        def back(answer: RulesAnswer) -> None:
            told = json.loads(msgspec.json.encode(answer))
            self.world.send(host.name, self.name, lambda: self.later(0, lambda: self.answered(told)))

        self.world.send(self.name, host.name, lambda: host.question(question, back))
        self.later(min(self.rights.question_interval_s, 1.0) * self.world.draw.uniform(0.7, 1.0), self.ask)

    def answered(self, told: dict[str, Any]) -> None:
        self.rights.handle_answer(told, self.now())
        for fetch in self.rights.missing_contents():
            self.fetch(fetch)

    def fetch(self, fetch: MissingContent, whole: bool = False) -> None:
        """From any member: the digest tells whether it is the right content, whoever gave it."""
        base = self.rights.documents[fetch.name].contents.get(fetch.base, Document())
        digests = tuple(digest.hex() for digest in base.digests) if whole else ()
        self.ask_for(FetchRules(fetch.name, fetch.version, 0 if whole else fetch.base, digests), fetch, base)

    def ask_for(self, asked: FetchRules, fetch: MissingContent, base: Document) -> None:
        host = self.world.draw.choice(list(self.world.hosts.values()))

        def give() -> None:
            if not host.alive:
                return
            content = host.office.rules.content(asked)
            if content is not None and self.world.draw.random() < DAMAGE:
                content = damaged(content, self.world.draw)
            self.world.send(host.name, self.name, lambda: self.take(asked, fetch, base, content))

        self.world.send(self.name, host.name, give)

    def take(self, asked: FetchRules, fetch: MissingContent, base: Document, content: Content | None) -> None:
        if fetch.version not in self.rights.documents[fetch.name].missing:
            return
        made = assemble(content, base) if content is not None else base
        if content is not None and content.then:
            self.ask_for(msgspec.structs.replace(asked, first=content.then), fetch, made)
            return
        try:
            self.rights.add_content(fetch.name, fetch.version, made)
        except DocumentError:
            self.world.record.damaged += content is not None
            if not asked.digests:
                self.fetch(fetch, whole=True)

    def decide(self) -> None:
        now = self.checked_at()
        for name in self.rights.documents:
            acting = self.rights.effective_rules(name, now)
            if not acting.version:
                continue
            figure = acting.document.get(FIGURE) if name == PLAN_LIMITS else None
            self.world.record.rule_acts.append(
                RuleAct(
                    self.world.now, self.rights.gateway, name, acting.version, acting.lapsed,
                    acting.document.digest if not acting.lapsed else "", float(figure or 0.0),
                )
            )  # fmt: skip
        self.later(self.world.draw.expovariate(1 / DECIDE), self.decide)


def damaged(content: Content, draw: random.Random) -> Content:
    if content.parts:
        number = draw.choice(sorted(content.parts))
        return msgspec.structs.replace(content, parts=content.parts | {number: {}})
    return msgspec.structs.replace(content, put=dict(list(content.put.items())[1:]), gone=content.gone[1:])


# Operators.


def put(world: World, command: PutRules, since: float) -> None:
    """Asked again until it is answered, under one ident: who is refused is told of the newest."""
    order = rules_command(command, f"{world.draw.getrandbits(64):016x}")
    done: list[bool] = []

    def reply(answer: Reply) -> None:
        if isinstance(answer, Committed) and not done:
            done.append(True)
            if not answer.why:
                world.record.rule_puts.append((since, world.now, answer.index, command))

    world.insist(lambda office, number, now: office.handle_command(number, order, now), reply, done, tries=40)


def change(world: World) -> None:
    """By what one member knows, which may be old: then it is refused."""
    host = world.draw.choice([h for h in world.hosts.values() if h.alive] or list(world.hosts.values()))
    name = world.draw.choice([PLAN_LIMITS, PLAN_LIMITS, BLOCKED])
    state = host.office.rules.states.get(name)
    head = state.head if state is not None else 0
    entries: dict[str, Scalar] = {}
    gone: tuple[str, ...] = ()
    if name == PLAN_LIMITS:
        entries = {FIGURE: round(world.draw.uniform(FLOOR, 9.0), 3)}
        terms = Terms(RIGHT, STRICT, {FIGURE: FLOOR})
    else:
        held = [c for c in CUSTOMERS if state is not None and c in state.head_document]
        if held and world.draw.random() < 0.5:
            gone = (world.draw.choice(held),)
        else:
            entries = {world.draw.choice(CUSTOMERS): "by order"}
        terms = Terms(RIGHT, REFUSE)
    put(world, PutRules(name, head, entries, gone, "ola", "drawn", 0.0, terms), world.now)


def burst(world: World) -> None:
    """Ten in one second, by operators who don't know of one another."""
    for n in range(10):
        world.at(n * 0.1, partial(change, world))


def operators(world: World, span: float) -> None:
    """Somebody changes some rule, each 3 s on average."""
    at = 1.0
    while at < span:
        world.at(at, partial(burst if world.draw.random() < 0.08 else change, world))
        at += world.draw.expovariate(1 / 3.0)
