"""Drives the decision module: turns requests and outcomes into events, and carries out the actions.

No I/O, HTTP or clock here: callers pass the time, and ports do the I/O, so that another protocol only
needs other ports.
"""

from __future__ import annotations

import logging
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from barleyhub import interface as api
from barleyhub.choice import Gateway

log = logging.getLogger(__name__)

# Attempts end this long before the client's deadline, so that the final answer still arrives.
ANSWER_MARGIN_S = 0.02
# Counters by service for each final answer, under the names that operators use.
SERVICE_COUNTERS = {"flows.refused": "deferred", "flows.no_room": "deferred", "flows.failed": "errored"}
MAX_MARGIN_SHARE = 0.25  # of a short deadline that the margin takes at most


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Prevent the call."""


class Client(Protocol):
    """Receiver of a flow's single final answer."""

    def served(self, answer: object) -> None:
        """A server answered."""

    def refused(self, retry_after: float | None) -> None:
        """The request is over its quota or was shed, and has not run; retry after this time (s)."""

    def failed(self, failure: object | None) -> None:
        """No server served the request; ``failure`` is the last error response that a server gave to it."""


class Ports(Protocol):
    """I/O that the core needs."""

    def forward(self, attempt: Attempt) -> None:
        """Send the attempt; its outcome is reported to ``Core.attempt_ended``."""

    def drop(self, attempt: Attempt) -> None:
        """Stop waiting for the attempt."""

    def add_count(self, name: int, amount: float, forget_after: float) -> None:
        """Call the shared counter; the outcome is reported to ``Core.counter_answered``."""

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        """Call at this time (s)."""


class DecisionLease:
    """Version of the rules that a flow is decided by, and until when (s) attempts may be sent under it."""

    __slots__ = ("expires_at", "label")

    def __init__(self, label: str, expires_at: float) -> None:
        self.label, self.expires_at = label, expires_at


class Rules(Protocol):
    """Versioned rules that this gateway may act by while it holds a lease on them."""

    lease: DecisionLease

    @property
    def lease_expires_at(self) -> float:
        """When (s, by ``clock``) the next lease expires, or inf."""

    def clock(self) -> float:
        """The time (s) that leases are measured by."""

    def expire_lease(self) -> None:
        """Replace ``lease`` and the decision module's rules, as a lease has expired."""


class Flow:
    """A client's request, until its final answer and the end of its last attempt.

    ``message`` belongs to the ports; the core does not read it.
    """

    __slots__ = (
        "attempts", "client", "closed", "deadline", "failure", "in_flight", "lease", "message",
        "receiving_body", "request", "timer",
    )  # fmt: skip

    def __init__(self, request: api.Request, message: object, client: Client, now: float) -> None:
        self.request, self.message, self.client = request, message, client
        self.receiving_body = False  # the deadline counts from the last byte
        self.deadline = self.deadline_from(now)
        self.attempts: list[Attempt] = []
        self.in_flight, self.closed = 0, False
        self.timer: Timer | None = None
        self.lease: DecisionLease | None = None
        self.failure: object | None = None  # a server's error response, sent if no attempt succeeds

    def deadline_from(self, now: float) -> float:
        """When (s) all attempts must have ended, so that the final answer still arrives."""
        left = self.request.left
        return now + left - min(ANSWER_MARGIN_S, left * MAX_MARGIN_SHARE)


class Attempt:
    """One attempt of a flow at a target; ``connection`` belongs to the ports."""

    __slots__ = (
        "connection", "deadline", "ended", "flow", "number", "sent_at", "target", "timeout", "timer",
    )  # fmt: skip

    def __init__(self, flow: Flow, target: str, now: float, deadline: float) -> None:
        self.flow, self.target, self.sent_at, self.deadline = flow, target, now, deadline
        self.number, self.ended = len(flow.attempts), False
        self.timer: Timer | None = None
        self.timeout: float | None = None  # s
        self.connection: object = None


class Core:
    """Feeds events to the decision module and carries out its actions."""

    def __init__(self, gateway: Gateway, ports: Ports, stats: Counter[str]) -> None:
        self.gateway, self.ports, self.stats = gateway, ports, stats
        self.flows: dict[str, Flow] = {}
        self.rules: Rules | None = None
        self.events: deque[tuple[api.Event, float]] = deque()
        self.handling = False

    def start(self, now: float) -> None:
        """Carry out the decision module's first actions."""
        for action in self.gateway.start(now):
            self.execute(action, now)

    def rejection_reason(self, request: api.Request) -> str | None:
        """Why a request can't be accepted, or None; the decision module raises on unknown names."""
        if request.service not in self.gateway.classes:
            return "unknown class"
        if request.plan not in self.gateway.plans:
            return "unknown plan"
        # The decision module keeps one job per ID, so that one of two flows would never be answered.
        return "id in use" if request.request in self.flows else None

    def accept(self, request: api.Request, message: object, client: Client, now: float) -> Flow:
        """Open a flow for a request without ``rejection_reason``; the caller then calls ``begin``."""
        # No client waits longer than its class says.
        most = self.gateway.classes[request.service].give_up
        if request.left > most:
            request = replace(request, left=most)
        flow = self.flows[request.request] = Flow(request, message, client, now)
        flow.timer = self.ports.schedule(flow.deadline, lambda late: self.expire(flow, late))
        self.stats["flows.taken"] += 1
        return flow

    def expect_body(self, flow: Flow) -> None:
        """The body is streamed; the deadline starts with ``body_received``."""
        flow.receiving_body, flow.deadline = True, math.inf
        if flow.timer is not None:
            flow.timer.cancel()

    def body_received(self, flow: Flow, now: float) -> None:
        """The last byte of a streamed body has arrived: start the deadline and the timeouts."""
        flow.receiving_body, flow.deadline = False, flow.deadline_from(now)
        if flow.closed and not flow.in_flight:
            return
        flow.timer = self.ports.schedule(flow.deadline, lambda late: self.expire(flow, late))
        for attempt in flow.attempts:
            if not attempt.ended:
                attempt.sent_at = now
                self.set_deadline(attempt, now)

    def begin(self, flow: Flow, now: float) -> None:
        """Submit the flow to the decision module, which may answer it at once."""
        if self.rules is not None:
            if self.rules.clock() >= self.rules.lease_expires_at:
                self.rules.expire_lease()
            flow.lease = self.rules.lease
        self.submit(flow.request, now)

    def withdraw(self, flow: Flow, now: float) -> None:
        """Close the flow without an answer, as its client has left."""
        if not flow.closed:
            self.stats["flows.withdrawn"] += 1
            self.close(flow)
            self.submit(api.Withdrawn(flow.request.request), now)

    def attempt_ended(
        self,
        attempt: Attempt,
        code: api.Code,
        now: float,
        answer: object = None,
        report: dict[str, float] | None = None,
    ) -> None:
        """Record an attempt's outcome; later outcomes of the same attempt are ignored."""
        if attempt.ended:
            return
        attempt.ended, flow = True, attempt.flow
        if attempt.timer is not None:
            attempt.timer.cancel()
        flow.in_flight -= 1
        self.stats[f"forwards.{code.value}"] += 1
        if code is api.Code.OK and not flow.closed:
            self.stats["flows.served"] += 1
            flow.client.served(answer)
            self.close(flow)
        else:
            if code is api.Code.ERROR and answer is not None:
                flow.failure = answer
            self.forget(flow)
        took = now - attempt.sent_at
        request = flow.request.request
        self.submit(
            api.Outcome(
                request, attempt.number, attempt.target, code, took, flow.closed, report=report or {}
            ),
            now,
        )

    def request_rejected(self, attempt: Attempt, now: float) -> None:
        """The target rejects the request itself: don't retry, and don't count it against the server."""
        if attempt.ended:
            return
        if flow := self.finish(attempt.flow.request.request, "flows.failed"):
            flow.client.failed(flow.failure)
        self.attempt_ended(attempt, api.Code.CANCELLED, now)

    def counter_answered(self, name: int, code: api.Code, took: float, total: float, now: float) -> None:
        """Record the outcome of a counter call."""
        self.stats[f"counter.{code.value}"] += 1
        self.submit(api.CountAnswer(name, code, took, total), now)

    def counter_answered_late(self, name: int, took: float, total: float, now: float) -> None:
        """Record the total of a call that has been reported as timed out."""
        self.submit(api.CountAnswer(name, api.Code.OK, took, total, late=True), now)

    def update_servers(self, servers: api.ServerList, now: float) -> None:
        """Pass on a server list from discovery."""
        self.submit(servers, now)

    def submit(self, event: api.Event, now: float) -> None:
        """Queue an event and handle the queue; ``handle`` isn't re-entrant, and actions may submit events."""
        self.events.append((event, now))
        if self.handling:
            return
        self.handling = True
        while self.events:
            event, now = self.events.popleft()
            try:
                for action in self.gateway.handle(event, now):
                    self.execute(action, now)
            except Exception:  # a bug that one event triggers must not end all other flows
                self.stats["errors"] += 1
                log.exception("decision failed on %s", type(event).__name__)
        self.handling = False

    def execute(self, action: api.Action, now: float) -> None:
        """Carry out an action of the decision module."""
        match action:
            case api.Send(request, target, timeout):
                self.send(request, target, timeout, now)
            case api.Refuse(request, pause):
                if flow := self.finish(request, "flows.refused"):
                    flow.client.refused(pause)
            case api.Fail(request):
                if flow := self.finish(request, "flows.failed"):
                    flow.client.failed(flow.failure)
            case api.AddCount(name, amount, forget_after):
                self.stats["counter.calls"] += 1
                self.ports.add_count(name, amount, forget_after)
            case api.Cancel(request, number):
                self.cancel(request, number, now)
            case api.SetTimer(after, mark):
                self.ports.schedule(now + after, lambda late: self.submit(api.TimerFired(mark), late))
            case api.Log(text):
                log.info("decisions: %s", text)
            case api.Follow():
                pass  # the ports always subscribe to discovery
            case _:
                log.warning("action %s is not supported", type(action).__name__)

    def send(self, request: str, target: str, timeout: float | None, now: float) -> None:
        """Send an attempt to a target, unless it is moot by now."""
        flow = self.flows.get(request)
        if flow is None:
            log.warning("no flow for the attempt of request %s", request)
            return
        attempt = Attempt(flow, target, now, flow.deadline)
        attempt.timeout = timeout
        flow.attempts.append(attempt)
        flow.in_flight += 1
        if flow.closed or flow.deadline <= now or (timeout or 1) <= 0 or self.lease_expired(flow):
            self.attempt_ended(attempt, api.Code.MOOT, now)
            return
        self.set_deadline(attempt, now)
        self.ports.forward(attempt)

    def set_deadline(self, attempt: Attempt, now: float) -> None:
        """End the attempt with its flow, or at its own timeout if that comes first."""
        flow = attempt.flow
        attempt.deadline = flow.deadline
        if attempt.timeout is not None and now + attempt.timeout < flow.deadline and not flow.receiving_body:
            attempt.deadline = now + attempt.timeout
            attempt.timer = self.ports.schedule(
                attempt.deadline, lambda late: self.attempt_timed_out(attempt, late)
            )

    def lease_expired(self, flow: Flow) -> bool:
        """Whether the lease of the flow's decision has expired, e.g. while this process was stopped."""
        if self.rules is None or flow.lease is None or self.rules.clock() < flow.lease.expires_at:
            return False
        self.stats["forwards.without_right"] += 1
        return True

    def cancel(self, request: str, number: int, now: float) -> None:
        """Cancel one attempt."""
        flow = self.flows.get(request)
        if flow is not None and number < len(flow.attempts) and not flow.attempts[number].ended:
            attempt = flow.attempts[number]
            self.ports.drop(attempt)
            self.attempt_ended(attempt, api.Code.CANCELLED, now)

    def attempt_timed_out(self, attempt: Attempt, now: float) -> None:
        """End an attempt that has reached its deadline."""
        if not attempt.ended:
            self.ports.drop(attempt)
            self.attempt_ended(attempt, api.Code.TIMEOUT, now)

    def expire(self, flow: Flow, now: float) -> None:
        """End a flow at its deadline, with its attempts; it fails unless it has been answered."""
        for attempt in list(flow.attempts):
            self.attempt_timed_out(attempt, now)
        if not flow.closed:
            self.stats["flows.overdue"] += 1
            self.stats[f"errored.{flow.request.service}"] += 1
            self.close(flow)
            flow.client.failed(flow.failure)
            self.submit(api.Withdrawn(flow.request.request), now)

    def finish(self, request: str, counter: str) -> Flow | None:
        """Close and return the flow that the caller answers, or None if it has been answered."""
        flow = self.flows.get(request)
        if flow is None or flow.closed:
            return None
        self.stats[counter] += 1
        self.stats[f"{SERVICE_COUNTERS[counter]}.{flow.request.service}"] += 1
        self.close(flow)
        return flow

    def close(self, flow: Flow) -> None:
        """Mark the flow as answered."""
        flow.closed = True
        self.forget(flow)

    def forget(self, flow: Flow) -> None:
        """Drop a flow that is closed and has no attempt in flight, whose outcome would need it.

        Flow and attempts refer to each other; separated, the request's body is freed at once.
        """
        if flow.closed and not flow.in_flight:
            if flow.timer is not None:
                flow.timer.cancel()
            flow.attempts.clear()
            self.flows.pop(flow.request.request, None)
