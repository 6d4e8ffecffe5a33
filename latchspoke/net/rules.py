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
    ASIDE,
    BLOCKED,
    FIGURES,
    KINDS,
    Document,
    DocumentError,
    Scalar,
)
from latchspoke.revisions.rights import REFUSE, Acting, Fetch, Known, Rights, dump

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 1.5  # s for one question; another member is asked after it
RETRY_DELAY_S = 0.25  # s until the next try after one in vain
CACHED_START_DELAY_S = 5.0  # s without any member, after which a start on the rules last known is a start
AGENT_INTERFACE_VERSION = b"1"  # of the agents
INTEGER_SETTINGS = ("concurrency",)  # figures that are whole numbers


class MatchAll:
    """In the place of a list that can't be known any more: whatever it is, it may stand there."""

    def __contains__(self, what: object) -> bool:
        return True


def boottime() -> float:
    """Goes on while the machine sleeps, which the ordinary monotonic clock does not."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class AgentConnection(asyncio.Protocol):
    """Questions to one agent, one at a time."""

    def __init__(self, on_answer: Callable[[int, bytes], None], on_lost: Callable[[], None]) -> None:
        self.on_answer, self.on_lost = on_answer, on_lost
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, path: str, body: bytes) -> None:
        assert self.transport is not None
        self.body = b""
        head = f"POST {path} HTTP/1.1\r\nHost: agent\r\nContent-Length: {len(body)}\r\n"
        self.transport.write(
            head.encode() + b"Latchspoke-Interface: " + AGENT_INTERFACE_VERSION + b"\r\n\r\n" + body
        )

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


class RulesClient:
    """One gateway's rules; ``core`` sees ``lease``, ``lease_expires_at``, ``clock`` and ``expire_lease``."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Clock,
        name: str,
        settings: api.Settings,
        config: RulesConfig,
        apply_rules: Callable[[api.Rules], None],
        on_ready: Callable[[], None],
        clock: Callable[[], float] = boottime,
    ) -> None:
        self.loop, self.timers, self.settings, self.config = loop, timers, settings, config
        self.apply_rules, self.on_ready, self.clock = apply_rules, on_ready, clock
        self.rights = Rights(name, secrets.token_hex(4))
        self.plans = {plan.name: plan for plan in settings.plans}  # as the module has them now
        self.lease = DecisionLease("", math.inf)
        self.connection: AgentConnection | None = None
        self.request_number = (
            0  # grows with each question; what comes for an earlier one is not wanted any more
        )
        self.pending_fetches: list[Fetch] = []
        self.current_fetch: Fetch | None = None
        self.fetch_in_parts: set[tuple[str, int]] = set()  # contents that are to be fetched by parts
        self.on_response: Callable[[Any], None] = lambda response: None
        self.stopped = self.started = False
        self.writer = ThreadPoolExecutor(1)  # starts no thread before it is used

    @property
    def lease_expires_at(self) -> float:
        return self.rights.lapse_at

    # From start to end.

    def start(self) -> None:
        """Until there is a right to act, or the rules last known must do, all is refused."""
        self.apply_rules(api.Rules(self.settings.plans, MatchAll()))
        if self.config.cache_path:
            self.load_cache(self.config.cache_path)
        if self.config.start_from_cache:
            self.timers.schedule(self.timers.now() + CACHED_START_DELAY_S, self.start_from_cache)
        self.ask_question()

    def start_from_cache(self, now: float) -> None:
        if not self.rights.joined and self.rights.acted_before:
            log.warning("no member is heard: begins on the rules last known")
            self.apply_acting_rules()
            self.on_ready()

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.end()

    @property
    def ready(self) -> bool:
        """Whether this gateway may take requests: it had a right once, or began on what it last knew."""
        return self.started

    def load_cache(self, path: str) -> None:
        """What was last acted on; a file that can't be read is as good as none, and is told of."""
        try:
            with open(path, encoding="utf-8") as file:
                self.rights.load(json.load(file))
        except FileNotFoundError:
            return
        except (OSError, ValueError) as e:
            log.warning("%s can't be used: %s", path, e)

    def save_cache(self) -> None:
        """Whole or not at all; one after the other beside the loop, as a list may be long."""
        if self.config.cache_path:
            self.loop.run_in_executor(
                self.writer, write_cache, self.config.cache_path, self.rights.acted_on()
            )

    # Asking.

    def ask_question(self) -> None:
        if self.stopped:
            return
        question = self.rights.question(self.clock())
        self.send_request("/v1/rules/question", question, self.question_answered)

    def send_request(self, path: str, body: Any, on_response: Callable[[Any], None]) -> None:
        """To the member whose turn it is; ``then`` gets what it answered."""
        self.request_number += 1
        number, self.on_response, data = self.request_number, on_response, json.dumps(body).encode()
        self.timers.schedule(
            self.timers.now() + REQUEST_TIMEOUT_S, lambda late: self.request_timed_out(number)
        )
        if self.connection is not None and self.connection.transport is not None:
            self.connection.send(path, data)
            return
        socket = self.config.agent_sockets[self.rights.place % len(self.config.agent_sockets)]
        task = self.loop.create_task(self.dial(socket))

        def on_connected(task: asyncio.Task[AgentConnection | None]) -> None:
            connection = None if task.cancelled() else task.result()
            if number != self.request_number or connection is None or connection.lost:
                if connection is not None:
                    connection.end()
                self.request_failed(number)
                return
            self.connection = connection
            connection.send(path, data)

        task.add_done_callback(on_connected)

    async def dial(self, socket: str) -> AgentConnection | None:
        try:
            connection = AgentConnection(self.response_received, lambda: self.connection_lost(connection))
            await self.loop.create_unix_connection(lambda: connection, socket)
        except OSError:
            return None
        return connection

    def connection_lost(self, connection: AgentConnection) -> None:
        if connection is self.connection:
            self.request_failed(self.request_number)

    def request_timed_out(self, number: int) -> None:
        """Its connection may have ended before it was here, which nobody would tell again."""
        self.request_failed(number)

    def request_failed(self, number: int) -> None:
        """Somebody else is asked, a little later."""
        if number != self.request_number:
            return
        self.request_number += 1
        # Also one that answers, but knows nothing: another member may hear the leader.
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.end()
        self.pending_fetches.clear()
        if self.current_fetch is not None:
            # Not there as a change, or damaged: next time by those parts of it that differ.
            self.fetch_in_parts.add((self.current_fetch.name, self.current_fetch.version))
            self.current_fetch = None
        self.on_ready()
        self.schedule_question(RETRY_DELAY_S)

    def schedule_question(self, delay: float) -> None:
        number = self.request_number

        def due(now: float) -> None:
            if number == self.request_number:
                self.ask_question()

        self.timers.schedule(self.timers.now() + delay, due)

    def response_received(self, status: int, body: bytes) -> None:
        """An answer to what was asked last; whatever is wrong with it, it is one in vain."""
        self.request_number += 1
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            self.on_response(json.loads(body))
        except (ValueError, KeyError, TypeError, AttributeError) as e:
            log.warning("an agent's answer about rules is of no use: %s", e)
            self.request_failed(self.request_number)

    def question_answered(self, answer: Any) -> None:
        if self.rights.answered(answer, self.clock()) and (self.started or self.rights.ready(self.clock())):
            if self.label() != self.lease.label:
                self.apply_acting_rules()
                self.save_cache()
            # The same versions, for longer: what is in hand may go on as well.
            self.lease.expires_at = self.rights.stop_at(self.clock())
            self.on_ready()
        self.pending_fetches = self.rights.fetches()
        self.fetch_next()

    def fetch_next(self) -> None:
        if not self.pending_fetches:
            self.schedule_question(self.rights.ask_every)
            return
        fetch = self.current_fetch = self.pending_fetches.pop()
        base = self.rights.known[fetch.name].at_hand.get(fetch.base, Document())
        if (fetch.name, fetch.version) in self.fetch_in_parts:
            self.fetch_parts(fetch, base, [digest.hex() for digest in base.digests], 0)
            return
        request = {"name": fetch.name, "version": fetch.version, "base": fetch.base}
        self.send_request(
            "/v1/rules/content", request, lambda response: self.content_received(fetch, base, [], response)
        )

    def fetch_parts(self, fetch: Fetch, base: Document, digests: list[str], first: int) -> None:
        request = {"name": fetch.name, "version": fetch.version, "digests": digests, "first": first}
        self.send_request(
            "/v1/rules/content",
            request,
            lambda response: self.content_received(fetch, base, digests, response),
        )

    def content_received(self, fetch: Fetch, base: Document, digests: list[str], response: Any) -> None:
        """Some of it at a time; as a whole it is tried by its digest."""
        document = assembled(response, base)
        if response.get("then"):
            self.fetch_parts(fetch, document, digests, int(response["then"]))
            return
        try:
            self.rights.take(fetch.name, fetch.version, document)
        except DocumentError as e:
            log.warning("fetched in vain: %s", e)
            self.request_failed(self.request_number)
            return
        self.fetch_in_parts.discard((fetch.name, fetch.version))
        self.current_fetch = None
        if self.pending_fetches:
            self.fetch_next()
        else:
            self.ask_question()

    # Deciding.

    def label(self) -> str:
        """Of what is acted on: plans:3,blocked:7-refuse."""
        now = self.clock()
        return ",".join(f"{name}:{self.rights.label(name, now)}" for name in sorted(self.rights.known))

    def expire_lease(self) -> None:
        """From the moment at which a right ends; also after this process stood still for any time."""
        self.rights.next_lapse(self.clock())
        if self.started:
            self.apply_acting_rules()
        log.warning("a right to act has ended: %s", self.lease.label)

    def apply_acting_rules(self) -> None:
        """In one step between two events of the core; what is in hand keeps the epoch that it came under."""
        now = self.clock()
        acting = {name: self.rights.acting(name, now) for name in KINDS}
        self.rights.next_lapse(now)
        self.started = True
        self.lease = DecisionLease(self.label(), self.rights.stop_at(now))
        log.info("acts by %s", self.lease.label)
        plan_rules = acting[FIGURES]
        self.plans = apply_plan_changes(self.settings, self.plans, plan_rules.document)
        block_everyone = REFUSE in (plan_rules.lapsed, acting[BLOCKED].lapsed)
        blocked: Container[str] = MatchAll() if block_everyone else acting[BLOCKED].document
        self.apply_rules(api.Rules(tuple(self.plans.values()), blocked, excluded_servers(acting[ASIDE])))

    def view(self) -> dict[str, Any]:
        """For operators."""
        now = self.clock()
        return {
            name: {
                "acting": self.rights.label(name, now),
                "right_for": round(max(known.until - now, 0.0), 3),
                "at_hand": sorted(known.at_hand),
                "lacks": sorted(known.wanted),
            }
            for name, known in sorted(self.rights.known.items())
        }


def excluded_servers(acting: Acting) -> Container[str]:
    if acting.lapsed == REFUSE:
        return MatchAll()
    # An empty tuple costs nothing to look into.
    return acting.document if len(acting.document) else ()


def assembled(response: Any, base: Document) -> Document:
    """As ``revisions.machine.assemble``, of a plain object."""
    if response.get("parts") is not None:
        return base.with_parts({int(number): dict(part) for number, part in response["parts"].items()})
    return base.changed(dict(response.get("put", {})), list(response.get("gone", ())))


def apply_plan_changes(
    settings: api.Settings, current_plans: dict[str, api.PlanSettings], plan_values: Document
) -> dict[str, api.PlanSettings]:
    """The file's plans under these plan_values; one that is as before stays the same object."""
    changes: dict[str, dict[str, Scalar]] = {}
    for path, value in plan_values.items():
        plan_name, _, name = path.rpartition(".")
        changes.setdefault(plan_name, {})[name] = int(value) if name in INTEGER_SETTINGS else value
    plans = {}
    for plan in settings.plans:
        updated = replace(plan, **changes.pop(plan.name, {}))  # type: ignore[arg-type]
        previous = current_plans.get(plan.name)
        plans[plan.name] = previous if previous == updated else updated
    for plan_name in changes:
        log.warning("rules name a plan that the settings don't: %s", plan_name)
    return plans


def write_cache(path: str, acted_on: dict[str, Known]) -> None:
    data = json.dumps(dump(acted_on))
    try:
        with open(f"{path}.new", "w", encoding="utf-8") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(f"{path}.new", path)
    except OSError as e:
        log.warning("the rules last known can't be kept: %s", e)
