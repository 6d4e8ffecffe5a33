"""Follows the rules that the members agree on: asks an agent for the right to act, fetches what it lacks.

Loaded only where members are named. Nothing of a request waits for it: each decision compares the time with
the moment at which a right ends, and that is all. One question is under way at a time, on a kept connection.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import os
import secrets
import time
from collections.abc import Callable, Container
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any, cast

import httptools

from barleyhub import interface as api
from latchspoke.config import RulesConfig
from latchspoke.core import DecisionLease
from latchspoke.net.clock import Clock
from latchspoke.revisions.documents import (
    BLOCKED,
    KINDS,
    PLAN_LIMITS,
    SET_ASIDE,
    Document,
    DocumentError,
    Scalar,
)
from latchspoke.revisions.leases import (
    REFUSE,
    EffectiveRules,
    KnownDocument,
    MissingContent,
    RuleLeases,
    dump,
)

log = logging.getLogger(__name__)

LIMIT = 1.5  # s for one question; another member is asked after it
PAUSE = 0.25  # s until the next try after one in vain
ALONE = 5.0  # s without any member, after which a start on the rules last known is a start
INTERFACE = b"1"  # of the agents
WHOLE = ("concurrency",)  # figures that are whole numbers


class Everything:
    """In the place of a list that can't be known any more: whatever it is, it may stand there."""

    def __contains__(self, what: object) -> bool:
        return True


def boottime() -> float:
    """Goes on while the machine sleeps, which the ordinary monotonic clock does not."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class MemberConnection(asyncio.Protocol):
    """Questions to one agent, one at a time."""

    def __init__(self, on_answer: Callable[[int, bytes], None], on_lost: Callable[[], None]) -> None:
        self.on_answer, self.on_lost = on_answer, on_lost
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, path: str, body: bytes) -> None:
        assert self.transport is not None
        self.body = b""
        head = f"POST {path} HTTP/1.1\r\nHost: agent\r\nContent-Length: {len(body)}\r\n"
        self.transport.write(head.encode() + b"Latchspoke-Interface: " + INTERFACE + b"\r\n\r\n" + body)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end()

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        self.on_answer(self.parser.get_status_code(), self.body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.on_lost()

    def end(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Follower:
    """One gateway's rules; ``core`` sees ``lease``, ``lease_expires_at``, ``clock`` and ``expire_lease``."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Clock,
        name: str,
        settings: api.Settings,
        told: RulesConfig,
        give: Callable[[api.Rules], None],
        on_ready: Callable[[], None],
        clock: Callable[[], float] = boottime,
    ) -> None:
        self.loop, self.timers, self.settings, self.told = loop, timers, settings, told
        self.give, self.on_ready, self.clock = give, on_ready, clock
        self.rights = RuleLeases(name, secrets.token_hex(4))
        self.plans = {plan.name: plan for plan in settings.plans}  # as the module has them now
        self.lease = DecisionLease("", math.inf)
        self.connection: MemberConnection | None = None
        self.asked = 0  # grows with each question; what comes for an earlier one is not wanted any more
        self.fetching: list[MissingContent] = []
        self.current: MissingContent | None = None
        self.whole: set[tuple[str, int]] = set()  # contents that are to be fetched by parts
        self.then: Callable[[Any], None] = lambda told: None
        self.stopped = self.begun = False
        self.writer = ThreadPoolExecutor(1)  # starts no thread before it is used

    @property
    def lease_expires_at(self) -> float:
        return self.rights.next_expiry

    # From start to end.

    def start(self) -> None:
        """Until there is a right to act, or the rules last known must do, all is refused."""
        self.give(api.Rules(self.settings.plans, Everything()))
        if self.told.kept:
            self.load(self.told.kept)
        if self.told.alone:
            self.timers.schedule(self.timers.now() + ALONE, self.begin_alone)
        self.ask()

    def begin_alone(self, now: float) -> None:
        if not self.rights.contacted and self.rights.has_effective_rules:
            log.warning("no member is heard: begins on the rules last known")
            self.take_up()
            self.on_ready()

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.end()

    @property
    def ready(self) -> bool:
        """Whether this gateway may take requests: it had a right once, or began on what it last knew."""
        return self.begun

    def load(self, path: str) -> None:
        """What was last acted on; a file that can't be read is as good as none, and is told of."""
        try:
            with open(path, encoding="utf-8") as file:
                self.rights.load(json.load(file))
        except FileNotFoundError:
            return
        except (OSError, ValueError) as e:
            log.warning("%s can't be used: %s", path, e)

    def keep(self) -> None:
        """Whole or not at all; one after the other beside the loop, as a list may be long."""
        if self.told.kept:
            self.loop.run_in_executor(self.writer, write, self.told.kept, self.rights.persistent_state())

    # Asking.

    def ask(self) -> None:
        if self.stopped:
            return
        question = self.rights.question(self.clock())
        self.send("/v1/rules/question", question, self.answered)

    def send(self, path: str, body: Any, then: Callable[[Any], None]) -> None:
        """To the member whose turn it is; ``then`` gets what it answered."""
        self.asked += 1
        number, self.then, data = self.asked, then, json.dumps(body).encode()
        self.timers.schedule(self.timers.now() + LIMIT, lambda late: self.overdue(number))
        if self.connection is not None and self.connection.transport is not None:
            self.connection.ask(path, data)
            return
        socket = self.told.sockets[self.rights.member_index % len(self.told.sockets)]
        task = self.loop.create_task(self.dial(socket))

        def opened(task: asyncio.Task[MemberConnection | None]) -> None:
            connection = None if task.cancelled() else task.result()
            if number != self.asked or connection is None or connection.lost:
                if connection is not None:
                    connection.end()
                self.in_vain(number)
                return
            self.connection = connection
            connection.ask(path, data)

        task.add_done_callback(opened)

    async def dial(self, socket: str) -> MemberConnection | None:
        try:
            connection = MemberConnection(self.heard, lambda: self.lost(connection))
            await self.loop.create_unix_connection(lambda: connection, socket)
        except OSError:
            return None
        return connection

    def lost(self, connection: MemberConnection) -> None:
        if connection is self.connection:
            self.in_vain(self.asked)

    def overdue(self, number: int) -> None:
        """Its connection may have ended before it was here, which nobody would tell again."""
        self.in_vain(number)

    def in_vain(self, number: int) -> None:
        """Somebody else is asked, a little later."""
        if number != self.asked:
            return
        self.asked += 1
        # Also one that answers, but knows nothing: another member may hear the leader.
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.end()
        self.fetching.clear()
        if self.current is not None:
            # Not there as a change, or damaged: next time by those parts of it that differ.
            self.whole.add((self.current.name, self.current.version))
            self.current = None
        self.on_ready()
        self.later(PAUSE)

    def later(self, wait: float) -> None:
        number = self.asked

        def due(now: float) -> None:
            if number == self.asked:
                self.ask()

        self.timers.schedule(self.timers.now() + wait, due)

    def heard(self, status: int, body: bytes) -> None:
        """An answer to what was asked last; whatever is wrong with it, it is one in vain."""
        self.asked += 1
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            self.then(json.loads(body))
        except (ValueError, KeyError, TypeError, AttributeError) as e:
            log.warning("an agent's answer about rules is of no use: %s", e)
            self.in_vain(self.asked)

    def answered(self, told: Any) -> None:
        if self.rights.handle_answer(told, self.clock()) and (self.begun or self.rights.ready(self.clock())):
            if self.label() != self.lease.label:
                self.take_up()
                self.keep()
            # The same versions, for longer: what is in hand may go on as well.
            self.lease.expires_at = self.rights.stop_sending_at(self.clock())
            self.on_ready()
        self.fetching = self.rights.missing_contents()
        self.fetch()

    def fetch(self) -> None:
        if not self.fetching:
            self.later(self.rights.question_interval_s)
            return
        one = self.current = self.fetching.pop()
        base = self.rights.documents[one.name].contents.get(one.base, Document())
        if (one.name, one.version) in self.whole:
            self.fetch_parts(one, base, [digest.hex() for digest in base.digests], 0)
            return
        asked = {"name": one.name, "version": one.version, "base": one.base}
        self.send("/v1/rules/content", asked, lambda told: self.take(one, base, [], told))

    def fetch_parts(self, one: MissingContent, base: Document, digests: list[str], first: int) -> None:
        asked = {"name": one.name, "version": one.version, "digests": digests, "first": first}
        self.send("/v1/rules/content", asked, lambda told: self.take(one, base, digests, told))

    def take(self, one: MissingContent, base: Document, digests: list[str], told: Any) -> None:
        """Some of it at a time; as a whole it is tried by its digest."""
        made = assembled(told, base)
        if told.get("then"):
            self.fetch_parts(one, made, digests, int(told["then"]))
            return
        try:
            self.rights.add_content(one.name, one.version, made)
        except DocumentError as e:
            log.warning("fetched in vain: %s", e)
            self.in_vain(self.asked)
            return
        self.whole.discard((one.name, one.version))
        self.current = None
        if self.fetching:
            self.fetch()
        else:
            self.ask()

    # Deciding.

    def label(self) -> str:
        """Of what is acted on: plans:3,blocked:7-refuse."""
        now = self.clock()
        return ",".join(f"{name}:{self.rights.label(name, now)}" for name in sorted(self.rights.documents))

    def expire_lease(self) -> None:
        """From the moment at which a right ends; also after this process stood still for any time."""
        self.rights.update_next_expiry(self.clock())
        if self.begun:
            self.take_up()
        log.warning("a right to act has ended: %s", self.lease.label)

    def take_up(self) -> None:
        """In one step between two events of the core; what is in hand keeps the epoch that it came under."""
        now = self.clock()
        acting = {name: self.rights.effective_rules(name, now) for name in KINDS}
        self.rights.update_next_expiry(now)
        self.begun = True
        self.lease = DecisionLease(self.label(), self.rights.stop_sending_at(now))
        log.info("acts by %s", self.lease.label)
        figures = acting[PLAN_LIMITS]
        self.plans = made_plans(self.settings, self.plans, figures.document)
        everybody = REFUSE in (figures.lapsed, acting[BLOCKED].lapsed)
        blocked: Container[str] = Everything() if everybody else acting[BLOCKED].document
        self.give(api.Rules(tuple(self.plans.values()), blocked, listed(acting[SET_ASIDE])))

    def view(self) -> dict[str, Any]:
        """For operators."""
        now = self.clock()
        return {
            name: {
                "acting": self.rights.label(name, now),
                "right_for": round(max(one.expires_at - now, 0.0), 3),
                "at_hand": sorted(one.contents),
                "lacks": sorted(one.missing),
            }
            for name, one in sorted(self.rights.documents.items())
        }


def listed(acting: EffectiveRules) -> Container[str]:
    if acting.lapsed == REFUSE:
        return Everything()
    # An empty tuple costs nothing to look into.
    return acting.document if len(acting.document) else ()


def assembled(told: Any, base: Document) -> Document:
    """As ``revisions.machine.assemble``, of a plain object."""
    if told.get("parts") is not None:
        return base.with_parts({int(number): dict(part) for number, part in told["parts"].items()})
    return base.with_changes(dict(told.get("put", {})), list(told.get("gone", ())))


def made_plans(
    settings: api.Settings, now: dict[str, api.PlanSettings], figures: Document
) -> dict[str, api.PlanSettings]:
    """The file's plans under these figures; one that is as before stays the same object."""
    changes: dict[str, dict[str, Scalar]] = {}
    for path, value in figures.items():
        of, _, name = path.rpartition(".")
        changes.setdefault(of, {})[name] = int(value) if name in WHOLE else value
    made = {}
    for plan in settings.plans:
        new = replace(plan, **changes.pop(plan.name, {}))  # type: ignore[arg-type]
        old = now.get(plan.name)
        made[plan.name] = old if old == new else new
    for of in changes:
        log.warning("rules name a plan that the settings don't: %s", of)
    return made


def write(path: str, acted_on: dict[str, KnownDocument]) -> None:
    data = json.dumps(dump(acted_on))
    try:
        with open(f"{path}.new", "w", encoding="utf-8") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(f"{path}.new", path)
    except OSError as e:
        log.warning("the rules last known can't be kept: %s", e)
