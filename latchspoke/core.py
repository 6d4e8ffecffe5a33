"""The core: flows and their forwards between the decision module and the ports.

No I/O, no HTTP and no clock here: every call brings the time, and what is to be done goes to the
ports. A second protocol brings ports of its own.
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

# s; forwards end this long before the client gives up, so that the final answer still arrives.
ANSWER_MARGIN = 0.02
# As operators name them.
ENDS = {"flows.refused": "deferred", "flows.no_room": "deferred", "flows.failed": "errored"}
LEAST_PART = 0.25  # of a very short deadline is the margin at most


class Timer(Protocol):
    """What ``Ports.schedule`` gives."""

    def cancel(self) -> None:
        """It won't fire."""


class Client(Protocol):
    """Where the one final answer of a flow goes."""

    def served(self, answer: object) -> None:
        """A server has served it: its answer."""

    def refused(self, retry_after: float | None) -> None:
        """It lies beyond its quota, and has not run; when to come back, in s."""

    def failed(self, failure: object | None) -> None:
        """Nobody has served it; ``failure`` is the last that a server answered this very request with."""


class Ports(Protocol):
    """What the core has done for it."""

    def forward(self, forward: Forward) -> None:
        """Send it; report its end with ``Core.ended``."""

    def drop(self, forward: Forward) -> None:
        """Stop waiting for it."""

    def count(self, name: int, amount: float, life: float) -> None:
        """Call the counter; report with ``Core.counted``."""

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        """Call once that moment (s) has come."""


class Epoch:
    """The rules by which a flow is decided, and until when (s, by ``Rules.clock``) anything may be sent."""

    __slots__ = ("label", "until")

    def __init__(self, label: str, until: float) -> None:
        self.label, self.until = label, until


class Rules(Protocol):
    """Rules with versions, where there are any; see docs/versions.md."""

    epoch: Epoch

    @property
    def lapse_at(self) -> float:
        """The moment (s, by ``clock``) at which a right ends next, or inf."""

    def clock(self) -> float:
        """The time (s) by which rights end."""

    def lapse(self) -> None:
        """A right has ended; ``epoch`` and the module's rules are others from now on."""


class Flow:
    """A request in hand; ``message`` is the ports' own and the core never looks into it."""

    __slots__ = (
        "client", "closed", "coming", "epoch", "failure", "forwards", "message", "out", "request", "timer",
        "until",
    )  # fmt: skip

    def __init__(self, request: api.Request, message: object, client: Client, now: float) -> None:
        self.request, self.message, self.client = request, message, client
        self.coming = False  # whether its last byte is still to come; its time counts from then
        self.until = self.due(now)
        self.forwards: list[Forward] = []
        self.out, self.closed = 0, False
        self.timer: Timer | None = None
        self.epoch: Epoch | None = None
        self.failure: object | None = None  # a server's own, for the client if nothing better comes

    def due(self, now: float) -> float:
        """When all that is out for it must have ended (s), so that its answer still arrives."""
        left = self.request.left
        return now + left - min(ANSWER_MARGIN, left * LEAST_PART)


class Forward:
    """One attempt of a flow at a target; ``link`` is for the port that carries it."""

    __slots__ = ("ended", "flow", "limit", "link", "number", "sent_at", "target", "timer", "until")

    def __init__(self, flow: Flow, target: str, now: float, until: float) -> None:
        self.flow, self.target, self.sent_at, self.until = flow, target, now, until
        self.number, self.ended = len(flow.forwards), False
        self.timer: Timer | None = None
        self.limit: float | None = None  # s that it may take
        self.link: object = None


class Core:
    """Feeds events to the decision module and carries out its actions."""

    def __init__(self, gateway: Gateway, ports: Ports, stats: Counter[str]) -> None:
        self.gateway, self.ports, self.stats = gateway, ports, stats
        self.flows: dict[str, Flow] = {}
        self.rules: Rules | None = None
        self.events: deque[tuple[api.Event, float]] = deque()
        self.acting = False

    def start(self, now: float) -> None:
        """The module is told of the start."""
        for action in self.gateway.start(now):
            self.act(action, now)

    def refusal(self, request: api.Request) -> str | None:
        """Why a request can't be taken, if it can't: the module raises on names it doesn't know."""
        if request.service not in self.gateway.classes:
            return "unknown class"
        if request.plan not in self.gateway.plans:
            return "unknown plan"
        # Two flows of one id would be one job to the module, and one of them never answered.
        return "id in use" if request.request in self.flows else None

    def arrived(self, request: api.Request, message: object, client: Client, now: float) -> Flow:
        """A request that ``refusal`` has nothing against has come whole; ``begin`` is to follow."""
        # Nobody waits longer than the class says, so no flow is held for longer either.
        most = self.gateway.classes[request.service].give_up
        if request.left > most:
            request = replace(request, left=most)
        flow = self.flows[request.request] = Flow(request, message, client, now)
        flow.timer = self.ports.schedule(flow.until, lambda late: self.expire(flow, late))
        self.stats["flows.taken"] += 1
        return flow

    def comes(self, flow: Flow) -> None:
        """It has not come whole: its body is sent on as it comes, and ``whole`` tells of the last byte."""
        flow.coming, flow.until = True, math.inf
        if flow.timer is not None:
            flow.timer.cancel()

    def whole(self, flow: Flow, now: float) -> None:
        """The last byte of a body that was on its way has come: times count from now on."""
        flow.coming, flow.until = False, flow.due(now)
        if flow.closed and not flow.out:
            return
        flow.timer = self.ports.schedule(flow.until, lambda late: self.expire(flow, late))
        for forward in flow.forwards:
            if not forward.ended:
                forward.sent_at = now
                self.limit(forward, now)

    def begin(self, flow: Flow, now: float) -> None:
        """Put it to the module, whose answer may be final already."""
        if self.rules is not None:
            if self.rules.clock() >= self.rules.lapse_at:
                self.rules.lapse()
            flow.epoch = self.rules.epoch
        self.give(flow.request, now)

    def withdrawn(self, flow: Flow, now: float) -> None:
        """The client has left: nothing more is owed to it."""
        if not flow.closed:
            self.stats["flows.withdrawn"] += 1
            self.close(flow)
            self.give(api.Withdrawn(flow.request.request), now)

    def ended(
        self,
        forward: Forward,
        code: api.Code,
        now: float,
        answer: object = None,
        report: dict[str, float] | None = None,
    ) -> None:
        """A forward is over. Only its first end counts: a late one may follow a time-out."""
        if forward.ended:
            return
        forward.ended, flow = True, forward.flow
        if forward.timer is not None:
            forward.timer.cancel()
        flow.out -= 1
        self.stats[f"forwards.{code.value}"] += 1
        if code is api.Code.OK and not flow.closed:
            self.stats["flows.served"] += 1
            flow.client.served(answer)
            self.close(flow)
        else:
            if code is api.Code.ERROR and answer is not None:
                flow.failure = answer
            self.forget(flow)
        took = now - forward.sent_at
        request = flow.request.request
        self.give(
            api.Outcome(
                request, forward.number, forward.target, code, took, flow.closed, report=report or {}
            ),
            now,
        )

    def unfit(self, forward: Forward, now: float) -> None:
        """The target finds fault with the request itself: no other one is asked, and none is to blame."""
        if forward.ended:
            return
        if flow := self.final(forward.flow.request.request, "flows.failed"):
            flow.client.failed(flow.failure)
        self.ended(forward, api.Code.CANCELLED, now)

    def counted(self, name: int, code: api.Code, took: float, total: float, now: float) -> None:
        """A call of the counter is over."""
        self.stats[f"counter.{code.value}"] += 1
        self.give(api.CountAnswer(name, code, took, total), now)

    def counted_late(self, name: int, took: float, total: float, now: float) -> None:
        """The total of a call that ``counted`` has told as timed out."""
        self.give(api.CountAnswer(name, api.Code.OK, took, total, late=True), now)

    def listed(self, servers: api.ServerList, now: float) -> None:
        """Discovery tells of servers."""
        self.give(servers, now)

    def give(self, event: api.Event, now: float) -> None:
        """One event at a time: ``handle`` isn't re-entrant, and actions may raise further events."""
        self.events.append((event, now))
        if self.acting:
            return
        self.acting = True
        while self.events:
            event, now = self.events.popleft()
            try:
                for action in self.gateway.handle(event, now):
                    self.act(action, now)
            except Exception:  # a fault in one decision must not end the flows of all others
                self.stats["errors"] += 1
                log.exception("decision failed on %s", type(event).__name__)
        self.acting = False

    def act(self, action: api.Action, now: float) -> None:
        """Carry out what the module wants done."""
        match action:
            case api.Send(request, target, timeout):
                self.send(request, target, timeout, now)
            case api.Refuse(request, pause):
                if flow := self.final(request, "flows.refused"):
                    flow.client.refused(pause)
            case api.Fail(request):
                if flow := self.final(request, "flows.failed"):
                    flow.client.failed(flow.failure)
            case api.AddCount(name, amount, life):
                self.stats["counter.calls"] += 1
                self.ports.count(name, amount, life)
            case api.Cancel(request, attempt):
                self.cancel(request, attempt, now)
            case api.SetTimer(after, mark):
                self.ports.schedule(now + after, lambda late: self.give(api.TimerFired(mark), late))
            case api.Log(text):
                log.info("module: %s", text)
            case api.Follow():
                pass  # the ports always follow discovery
            case _:
                log.warning("no port for %s", type(action).__name__)

    def send(self, request: str, target: str, timeout: float | None, now: float) -> None:
        """Send a flow to a target, if it is still worth while."""
        flow = self.flows.get(request)
        if flow is None:
            log.warning("a send for no flow: %s", request)
            return
        forward = Forward(flow, target, now, flow.until)
        forward.limit = timeout
        flow.forwards.append(forward)
        flow.out += 1
        if flow.closed or flow.until <= now or (timeout or 1) <= 0 or self.lapsed(flow):
            self.ended(forward, api.Code.MOOT, now)
            return
        self.limit(forward, now)
        self.ports.forward(forward)

    def limit(self, forward: Forward, now: float) -> None:
        """It ends with its flow, or before if the module says so."""
        flow = forward.flow
        forward.until = flow.until
        if forward.limit is not None and now + forward.limit < flow.until and not flow.coming:
            forward.until = now + forward.limit
            forward.timer = self.ports.schedule(forward.until, lambda late: self.overdue(forward, late))

    def lapsed(self, flow: Flow) -> bool:
        """Whether the right under which it was decided has ended, however long this process stood still."""
        if self.rules is None or flow.epoch is None or self.rules.clock() < flow.epoch.until:
            return False
        self.stats["forwards.without_right"] += 1
        return True

    def cancel(self, request: str, attempt: int, now: float) -> None:
        """Stop waiting for one attempt."""
        flow = self.flows.get(request)
        if flow is not None and attempt < len(flow.forwards) and not flow.forwards[attempt].ended:
            self.ports.drop(flow.forwards[attempt])
            self.ended(flow.forwards[attempt], api.Code.CANCELLED, now)

    def overdue(self, forward: Forward, now: float) -> None:
        """An attempt has had its time."""
        if not forward.ended:
            self.ports.drop(forward)
            self.ended(forward, api.Code.TIMEOUT, now)

    def expire(self, flow: Flow, now: float) -> None:
        """The client gives up soon: what is out ends, and a flow nobody has answered fails."""
        for forward in list(flow.forwards):
            self.overdue(forward, now)
        if not flow.closed:
            self.stats["flows.overdue"] += 1
            self.stats[f"errored.{flow.request.service}"] += 1
            self.close(flow)
            flow.client.failed(flow.failure)
            self.give(api.Withdrawn(flow.request.request), now)

    def final(self, request: str, name: str) -> Flow | None:
        """The flow that gets its final answer now; each gets one only."""
        flow = self.flows.get(request)
        if flow is None or flow.closed:
            return None
        self.stats[name] += 1
        self.stats[f"{ENDS[name]}.{flow.request.service}"] += 1
        self.close(flow)
        return flow

    def close(self, flow: Flow) -> None:
        """Its final answer has been given: no other one will be."""
        flow.closed = True
        self.forget(flow)

    def forget(self, flow: Flow) -> None:
        """A flow is kept while anything of it is out, so that each outcome finds it."""
        if flow.closed and not flow.out:
            if flow.timer is not None:
                flow.timer.cancel()
            self.flows.pop(flow.request.request, None)
