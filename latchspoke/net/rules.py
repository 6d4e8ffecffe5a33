"""Client of the replicated rules: renews the leases on them at an agent and fetches missing versions.

Loaded only if agents are configured. Client requests never wait for it: a decision only compares the time
with the end of the lease. One request to an agent is in flight at a time, on a persistent connection.
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

REQUEST_TIMEOUT_S = 1.5  # after this another agent is asked
RETRY_DELAY_S = 0.25
CACHED_START_DELAY_S = 5.0  # without any answer, before a gateway may start from cached rules
AGENT_INTERFACE_VERSION = b"1"
INTEGER_SETTINGS = ("concurrency",)


class MatchAll:
    """A container that has every element, in place of a list whose content is unknown."""

    def __contains__(self, what: object) -> bool:
        return True


def boottime() -> float:
    """Return the time (s) since boot, including suspend, unlike the monotonic clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class AgentConnection(asyncio.Protocol):
    """A connection to an agent, with one request at a time."""

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
        body, self.body = self.body, b""
        self.on_answer(self.parser.get_status_code(), body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.on_lost()

    def end(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class RulesClient:
    """Implements ``latchspoke.core.Rules`` for a gateway, by asking one of several agents."""

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
        self.rights = RuleLeases(name, secrets.token_hex(4))
        self.plans = {plan.name: plan for plan in settings.plans}  # those in effect
        self.lease = DecisionLease("", math.inf)
        self.connection: AgentConnection | None = None
        self.request_number = 0  # responses to earlier requests are ignored
        self.pending_fetches: list[MissingContent] = []
        self.current_fetch: MissingContent | None = None
        self.fetch_in_parts: set[tuple[str, int]] = set()  # (name, version) whose fetch as a change failed
        self.on_response: Callable[[Any], None] = lambda response: None
        self.stopped = self.started = False
        self.writer = ThreadPoolExecutor(1)  # starts its thread on first use

    @property
    def lease_expires_at(self) -> float:
        return self.rights.next_expiry

    # Life cycle.

    def start(self) -> None:
        """Start to ask for leases; everything is refused until one is granted or cached rules are used."""
        self.apply_rules(api.Rules(self.settings.plans, MatchAll()))
        if self.config.cache_path:
            self.load_cache(self.config.cache_path)
        if self.config.start_from_cache:
            self.timers.schedule(self.timers.now() + CACHED_START_DELAY_S, self.start_from_cache)
        self.ask_question()

    def start_from_cache(self, now: float) -> None:
        if not self.rights.contacted and self.rights.has_effective_rules:
            log.warning("no agent answered: starting with the cached rules")
            self.apply_acting_rules()
            self.on_ready()

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.end()

    @property
    def ready(self) -> bool:
        """Whether this gateway may accept requests: it held a lease at least once, or uses cached rules."""
        return self.started

    def load_cache(self, path: str) -> None:
        """Load the rules that were last in effect; an unreadable file is logged and ignored."""
        try:
            with open(path, encoding="utf-8") as file:
                self.rights.load(json.load(file))
        except FileNotFoundError:
            return
        except (OSError, ValueError) as e:
            log.warning("cached rules %s can't be read: %s", path, e)

    def save_cache(self) -> None:
        """Write the rules in effect atomically, in a single background thread, as they may be large."""
        if self.config.cache_path:
            self.loop.run_in_executor(
                self.writer, write_cache, self.config.cache_path, self.rights.persistent_state()
            )

    # Requests to agents.

    def ask_question(self) -> None:
        if self.stopped:
            return
        question = self.rights.question(self.clock())
        self.send_request("/v1/rules/question", question, self.question_answered)

    def send_request(self, path: str, body: Any, on_response: Callable[[Any], None]) -> None:
        """Send to the current agent; ``on_response`` is called with the decoded response."""
        self.request_number += 1
        number, self.on_response, data = self.request_number, on_response, json.dumps(body).encode()
        self.timers.schedule(
            self.timers.now() + REQUEST_TIMEOUT_S, lambda late: self.request_timed_out(number)
        )
        if self.connection is not None and self.connection.transport is not None:
            self.connection.send(path, data)
            return
        socket = self.config.agent_sockets[self.rights.member_index % len(self.config.agent_sockets)]
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
        """Also covers a connection that was lost before it was assigned, which is not reported otherwise."""
        self.request_failed(number)

    def request_failed(self, number: int) -> None:
        """Close the connection and ask another agent after a delay."""
        if number != self.request_number:
            return
        self.request_number += 1
        # Also if the agent answered with an error: another one may reach the leader.
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.end()
        self.pending_fetches.clear()
        if self.current_fetch is not None:
            # The change was missing or damaged: fetch the differing parts next time.
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
        """Handle the response to the last request; an invalid one counts as a failure."""
        self.request_number += 1
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            self.on_response(json.loads(body))
        except (ValueError, KeyError, TypeError, AttributeError) as e:
            log.warning("invalid response about rules from an agent: %s", e)
            self.request_failed(self.request_number)

    def question_answered(self, answer: Any) -> None:
        if self.rights.handle_answer(answer, self.clock()) and (
            self.started or self.rights.ready(self.clock())
        ):
            if self.label() != self.lease.label:
                self.apply_acting_rules()
                self.save_cache()
            # Renew the lease object in place, so that requests in flight benefit, too.
            self.lease.expires_at = self.rights.stop_sending_at(self.clock())
            self.on_ready()
        self.pending_fetches = self.rights.missing_contents()
        self.fetch_next()

    def fetch_next(self) -> None:
        if not self.pending_fetches:
            self.schedule_question(self.rights.question_interval_s)
            return
        fetch = self.current_fetch = self.pending_fetches.pop()
        base = self.rights.documents[fetch.name].contents.get(fetch.base, Document())
        if (fetch.name, fetch.version) in self.fetch_in_parts:
            self.fetch_parts(fetch, base, [digest.hex() for digest in base.digests], 0)
            return
        request = {"name": fetch.name, "version": fetch.version, "base": fetch.base}
        self.send_request(
            "/v1/rules/content", request, lambda response: self.content_received(fetch, base, [], response)
        )

    def fetch_parts(self, fetch: MissingContent, base: Document, digests: list[str], first: int) -> None:
        request = {"name": fetch.name, "version": fetch.version, "digests": digests, "first": first}
        self.send_request(
            "/v1/rules/content",
            request,
            lambda response: self.content_received(fetch, base, digests, response),
        )

    def content_received(
        self, fetch: MissingContent, base: Document, digests: list[str], response: Any
    ) -> None:
        """Assemble the document from one or more responses; its digest is verified once it is complete."""
        document = assembled(response, base)
        if response.get("then"):
            self.fetch_parts(fetch, document, digests, int(response["then"]))
            return
        try:
            self.rights.add_content(fetch.name, fetch.version, document)
        except DocumentError as e:
            log.warning("fetched rules document is invalid: %s", e)
            self.request_failed(self.request_number)
            return
        self.fetch_in_parts.discard((fetch.name, fetch.version))
        self.current_fetch = None
        if self.pending_fetches:
            self.fetch_next()
        else:
            self.ask_question()

    # Rules in effect.

    def label(self) -> str:
        """Return the versions in effect, such as ``plans:3,blocked:7-refuse``."""
        now = self.clock()
        return ",".join(f"{name}:{self.rights.label(name, now)}" for name in sorted(self.rights.documents))

    def expire_lease(self) -> None:
        """Replace the rules whose lease has expired, also if the process was suspended meanwhile."""
        self.rights.update_next_expiry(self.clock())
        if self.started:
            self.apply_acting_rules()
        log.warning("lease expired, rules in effect: %s", self.lease.label)

    def apply_acting_rules(self) -> None:
        """Put the leased rules into effect atomically; requests in flight keep the lease of their start."""
        now = self.clock()
        acting = {name: self.rights.effective_rules(name, now) for name in KINDS}
        self.rights.update_next_expiry(now)
        self.started = True
        self.lease = DecisionLease(self.label(), self.rights.stop_sending_at(now))
        log.info("rules in effect: %s", self.lease.label)
        plan_rules = acting[PLAN_LIMITS]
        self.plans = apply_plan_changes(self.settings, self.plans, plan_rules.document)
        block_everyone = REFUSE in (plan_rules.lapsed, acting[BLOCKED].lapsed)
        blocked: Container[str] = MatchAll() if block_everyone else acting[BLOCKED].document
        self.apply_rules(api.Rules(tuple(self.plans.values()), blocked, excluded_servers(acting[SET_ASIDE])))

    def view(self) -> dict[str, Any]:
        """Return the state of each rules document, for operators."""
        now = self.clock()
        return {
            name: {
                "acting": self.rights.label(name, now),
                "right_for": round(max(known.expires_at - now, 0.0), 3),
                "at_hand": sorted(known.contents),
                "lacks": sorted(known.missing),
            }
            for name, known in sorted(self.rights.documents.items())
        }


def excluded_servers(acting: EffectiveRules) -> Container[str]:
    if acting.lapsed == REFUSE:
        return MatchAll()
    # Lookups in an empty tuple are the fastest.
    return acting.document if len(acting.document) else ()


def assembled(response: Any, base: Document) -> Document:
    """Like ``revisions.machine.assemble``, for a decoded JSON object."""
    if response.get("parts") is not None:
        return base.with_parts({int(number): dict(part) for number, part in response["parts"].items()})
    return base.with_changes(dict(response.get("put", {})), list(response.get("gone", ())))


def apply_plan_changes(
    settings: api.Settings, current_plans: dict[str, api.PlanSettings], plan_values: Document
) -> dict[str, api.PlanSettings]:
    """Return the configured plans with these values applied; unchanged plans stay the same objects."""
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
        log.warning("rules contain a plan that is not configured: %s", plan_name)
    return plans


def write_cache(path: str, acted_on: dict[str, KnownDocument]) -> None:
    data = json.dumps(dump(acted_on))
    try:
        with open(f"{path}.new", "w", encoding="utf-8") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(f"{path}.new", path)
    except OSError as e:
        log.warning("rules cache can't be written: %s", e)
