"""Affinity that travels, at a gateway: between the core and its decisions, loaded once a route asks for it.

It stands in the dispatcher's place for the core and in the upstream pools' place for the ports, and passes on
whatever is no business of its own: calls wait here for their record, forwards for their opening, outcomes go
to the record. What is decided is decided in ``latchspoke.session_records``; docs/travel.md tells why.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.dispatch import NEVER_RAN, Call, Dispatcher, Full
from barleyhub.line.stock import State as ServerState
from barleyhub.line.stock import homes_of
from latchspoke.configuration.routes import Affinity, Route, Travels
from latchspoke.core import Epoch, Flow, Forward, Timer
from latchspoke.dataplane.exchange import ClientExchange
from latchspoke.dataplane.upstream import Request, Response
from latchspoke.membership.words import Member
from latchspoke.session_records.bill import Bill, Fate, Peer, key_of
from latchspoke.session_records.desk import Ask, Desk, Go, Later, Pass, Step, Tell, Terms
from latchspoke.session_records.office import Answer as Told
from latchspoke.session_records.office import Letter, Office, Out, Target
from latchspoke.session_records.verdict import State, state_of
from latchspoke.transport.connection import Message
from latchspoke.transport.log import log

if TYPE_CHECKING:
    from latchspoke.dataplane.node import Node

TICK_INTERVAL_S = 0.2  # s
SERVER_QUERY_TIMEOUT_S = 0.3  # s that a server is given to say what became of a try
SETTLE_MARGIN_S = 1.0  # s beyond the lease by which all who had a record have lost their right, or told it
MAX_QUEUED_MESSAGES = 1000  # letters that wait for a connection to one gateway
OPERATOR_TIMEOUT_S = 2.0  # s that an operator waits


class BoundedEpoch(Epoch):
    """The right to act, and no longer than an opening says."""

    def __init__(self, epoch: Epoch | None, until: float) -> None:
        super().__init__(epoch.label if epoch is not None else "", until)
        self.epoch, self.latest = epoch, until

    @property
    def until(self) -> float:
        return min(self.epoch.until, self.latest) if self.epoch is not None else self.latest

    @until.setter
    def until(self, value: float) -> None:
        pass


@dataclass(slots=True)
class TrackedRequest:
    """A request that is looked after here."""

    call: Call
    flow: Flow
    pending_forward: Forward | None = None  # for its opening
    sent: bool = False  # its present attempt has gone to the upstream_pools
    dispatched: bool = False  # the dispatcher has it


@dataclass(frozen=True, slots=True)
class CoordinatorSteps:
    """What the desk says, put to the core's queue."""

    steps: Sequence[Step]


class FateQueryClient:
    """The client of a question to a server."""

    def __init__(self, told: Callable[[State], None]) -> None:
        self.on_state = told

    def served(self, answer: object) -> None:
        assert isinstance(answer, Response)
        states = [value for name, value in answer.headers if name == b"x-exchange-state"]
        self.on_state(state_of(states[0]) if len(states) == 1 and answer.status == 200 else State.UNKNOWN)

    def refused(self, retry_after: float | None) -> None:
        self.on_state(State.UNKNOWN)

    def failed(self, failure: object | None) -> None:
        self.on_state(State.UNKNOWN)


class SessionAffinity:
    """One gateway's; ``handle`` as the dispatcher's, ``forward`` and the rest as the ports'."""

    def __init__(self, node: Node) -> None:
        self.node, self.clock = node, node.clock
        self.dispatcher: Dispatcher = node.dispatcher
        self.ports, self.core = node.ports, node.core
        lasts = node.lease.lasts if node.lease.lasts < 1e6 else 5.0
        self.record_store = Office(
            node.settings.name, node.instance_id, lasts + SETTLE_MARGIN_S, self.clock.now(),
            lambda: node.lease.until, node.stats, lease=node.lease.lasts if node.lease.lasts < 1e6 else 0.0,
        )  # fmt: skip
        self.coordinator = Desk(self.record_store, self.server_known)
        self.tracked: dict[str, TrackedRequest] = {}
        self.queued_messages: dict[str, list[Message]] = {}
        self.fate_queries: dict[str, Callable[[State], None]] = {}
        self.operator_calls: dict[str, asyncio.Future[Told]] = {}
        self.actions: list[api.Action] = []
        self.ids = itertools.count(1)
        self.core.gateway = self  # type: ignore[assignment]
        self.core.ports = self
        node.usage_reports.on_connected = self.flush
        self.clock.schedule(self.clock.now() + TICK_INTERVAL_S, self.tick)

    # Who is there.

    def update_gateways(self, edges: Mapping[str, Member], now: float) -> None:
        """The live gateways have changed."""
        peers = {
            name: Peer(str(m.meta.get("zone")), str(m.meta.get("region")), m.life)
            for name, m in edges.items()
        }
        self.process_outputs(self.record_store.live(peers, now))

    def hand_off(self, now: float) -> None:
        self.process_outputs(self.record_store.leave(now))

    def server_known(self, life: str) -> bool:
        upstream = self.dispatcher.stock.upstreams.get(life)
        return upstream is not None and upstream.state is not ServerState.GONE

    # Letters.

    def process_outputs(self, outs: list[Out]) -> None:
        for each in [o for o in outs if isinstance(o, Told) and o.ref in self.operator_calls]:
            outs.remove(each)
            future = self.operator_calls.pop(each.ref)
            if not future.done():
                future.set_result(each)
        self.coordinator.carry(outs, self.clock.now())
        self.run_steps(self.coordinator.given())

    def run_steps(self, steps: list[Step]) -> None:
        """Letters go at once, all else in the order of the core's events."""
        for step in steps:
            if isinstance(step, Letter):
                self.send(step.to, step.message)
        rest = [step for step in steps if not isinstance(step, Letter)]
        if rest:
            self.enqueue(rest)

    def enqueue(self, steps: Sequence[Step]) -> None:
        self.core.give(CoordinatorSteps(steps), self.clock.now())  # type: ignore[arg-type]

    def send(self, to: str, message: Message) -> None:
        counts = self.node.usage_reports
        wire = counts.connections.get(to)
        framed = {"k": "w", "f": self.record_store.me, "m": message}
        if wire is not None and not self.queued_messages.get(to):
            wire.send(framed)
        elif to in counts.gateways:
            queue = self.queued_messages.setdefault(to, [])
            queue.append(framed)
            del queue[:-MAX_QUEUED_MESSAGES]
            counts.connect(to, self.clock.now())

    def flush(self, name: str) -> None:
        wire = self.node.usage_reports.connections.get(name)
        for message in self.queued_messages.pop(name, ()) if wire is not None else ():
            wire.send(message)  # type: ignore[union-attr]

    def handle_message(self, message: Message) -> None:
        """From another gateway. Raises KeyError, TypeError, ValueError."""
        self.process_outputs(self.record_store.heard(str(message["f"]), message["m"], self.clock.now()))

    def tick(self, now: float) -> None:
        self.clock.schedule(now + TICK_INTERVAL_S, self.tick)
        self.run_steps(self.coordinator.tick(now))
        for ref in [ref for ref in self.tracked if ref not in self.core.flows]:
            self.untrack(ref)
        for name in list(self.queued_messages):
            if name not in self.node.usage_reports.gateways:
                del self.queued_messages[name]
            elif name not in self.node.usage_reports.connections:
                self.node.usage_reports.connect(name, now)
            else:
                self.flush(name)

    def untrack(self, ref: str) -> None:
        self.tracked.pop(ref, None)
        self.coordinator.end(ref)

    # In the dispatcher's place.

    def handle(self, event: api.Event | CoordinatorSteps, now: float) -> list[api.Action]:
        match event:
            case Call(route=route, caller=caller) if (
                caller is not None and travel_settings(route) is not None
            ):
                self.actions = []
                self.look_up_record(event, now)
                return self.actions
            case CoordinatorSteps(steps):
                self.actions = []
                self.apply_steps(steps, now)
                return self.actions
            case api.Outcome(request=request) if request in self.tracked or request in self.fate_queries:
                self.attempt_ended(event, now)
            case api.Withdrawn(request=request) if (
                request in self.tracked and not self.tracked[request].dispatched
            ):
                self.untrack(request)
                return []
        return self.dispatcher.handle(event, now)

    def look_up_record(self, call: Call, now: float) -> None:
        """Its record is looked up, before anything is decided on it."""
        flow = self.core.flows[call.request]
        travels = travel_settings(call.route)
        assert travels is not None and call.caller is not None and call.route is not None
        tenant = call.tenant
        homes = homes_of(call.route.homes, tenant.homes if tenant is not None else frozenset())
        headers: dict[bytes, bytes] = getattr(flow.client, "headers", {})
        request = flow.message
        assert isinstance(request, Request)
        exchange = headers.get(travels.exchange, b"") or request.attempt_id
        strict = travels.refuse and not call.route.repeatable
        terms = Terms(
            tuple(sorted(homes or ())), call.caller.exchange, travels.look, strict, bool(travels.ask)
        )
        self.tracked[call.request] = TrackedRequest(call, flow)
        key = key_of(call.route.name, tenant.name if tenant is not None else "", call.caller.key)
        steps = self.coordinator.arrive(call.request, key, exchange.decode("latin-1"), terms, now)
        self.clock.schedule(now + travels.look, lambda late: self.lookup_overdue(call.request, late))
        self.apply_steps(steps, now)

    def lookup_overdue(self, ref: str, now: float) -> None:
        if ref in self.tracked:
            self.run_steps(self.coordinator.late(ref, now))

    def apply_steps(self, steps: Sequence[Step], now: float) -> None:
        for step in steps:
            if isinstance(step, Letter):
                self.send(step.to, step.message)
                continue
            trip = self.tracked.get(step.ref)
            if trip is None:
                continue
            match step:
                case Go(bill=bill):
                    self.dispatch(trip, bill, now)
                case Later(pause=pause, why=why):
                    self.refuse(trip, pause, why, now)
                case Tell(state=state, exchange=exchange):
                    self.report_state(trip, state, exchange)
                case Ask(life=life, attempt=attempt):
                    self.query_server(trip, life, attempt, now)
                case Pass(ok=ok, until=until):
                    self.attempt_opened(trip, ok, until, now)

    def dispatch(self, trip: TrackedRequest, bill: Bill | None, now: float) -> None:
        call, berths = trip.call, self.dispatcher.berths
        if trip.flow.closed:
            return
        if bill is not None and bill.life and berths is not None and call.caller is not None:
            berths.pins[call.service, call.caller.key] = bill.life, now + call.caller.exchange
        trip.dispatched = True
        self.actions += self.dispatcher.handle(replace(call, left=max(trip.flow.until - now, 0.0)), now)

    def refuse(self, trip: TrackedRequest, pause: float, why: str, now: float) -> None:
        route = trip.call.route
        self.dispatcher.refusals.append((now, why, route.name if route else "", trip.call.customer))
        self.actions.append(Full(trip.call.request, pause))

    def report_state(self, trip: TrackedRequest, state: State, exchange: str) -> None:
        """The truth about an exchange; this try has not run."""
        flow = self.core.final(trip.call.request, "flows.refused")
        if flow is not None:
            more = f"X-Exchange-State: {state.value}\r\nX-Exchange: {exchange}\r\n".encode("latin-1")
            assert isinstance(flow.client, ClientExchange)
            flow.client.write_empty_response(409, None, more)
            log("exchange-told", state=state.value, route=trip.call.route.name if trip.call.route else "")

    def attempt_ended(self, outcome: api.Outcome, now: float) -> None:
        told = self.fate_queries.get(outcome.request)
        if told is not None:
            told(State.UNKNOWN)  # unless it has been answered
            return
        trip = self.tracked[outcome.request]
        code = outcome.code
        fate = Fate.ANSWERED if code in (Code.OK, Code.ERROR) else Fate.MAY_RUN
        if code in NEVER_RAN or not trip.sent:
            fate = Fate.NOT_RUN
        trip.pending_forward, trip.sent = None, False
        for step in self.coordinator.outcome(outcome.request, fate, now):
            if isinstance(step, Letter):
                self.send(step.to, step.message)

    # In the ports' place.

    def forward(self, forward: Forward) -> None:
        trip = self.tracked.get(forward.flow.request.request)
        upstream = self.dispatcher.stock.upstreams.get(forward.target)
        if trip is None or upstream is None:
            self.ports.forward(forward)
            return
        trip.pending_forward = forward
        ref, request = trip.call.request, trip.flow.message
        assert isinstance(request, Request)
        place, attempt = f"{upstream.host}:{upstream.port}", request.attempt_id.decode("latin-1")
        self.run_steps(
            self.coordinator.attempt(ref, upstream.service, upstream.ident, place, self.clock.now(), attempt)
        )

    def attempt_opened(self, trip: TrackedRequest, ok: bool, until: float, now: float) -> None:
        forward, trip.pending_forward = trip.pending_forward, None
        if forward is None or forward.ended:
            return
        if not ok or forward.until <= now:
            self.core.ended(forward, Code.MOOT, now)
            return
        if not math.isinf(until):
            inner = trip.flow.epoch.epoch if isinstance(trip.flow.epoch, BoundedEpoch) else trip.flow.epoch
            trip.flow.epoch = BoundedEpoch(inner, until)
        trip.sent = True
        self.ports.forward(forward)

    def drop(self, forward: Forward) -> None:
        self.ports.drop(forward)

    def count(self, name: int, amount: float, life: float) -> None:
        self.ports.count(name, amount, life)

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        return self.ports.schedule(when, call)

    # Servers that are asked.

    def query_server(self, trip: TrackedRequest, life: str, attempt: str, now: float) -> None:
        """``GET askPath + attempt`` at that life; it is told of no more than once."""
        travels, source = travel_settings(trip.call.route), trip.flow.message
        assert travels is not None and isinstance(source, Request)
        ref, ident = trip.call.request, b"ask-%d-%b" % (next(self.ids), self.record_store.site.encode())
        path = travels.ask + attempt
        host = trip.call.route.host if isinstance(trip.call.route, Route) else ""
        head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n".encode("latin-1") + b"X-Attempt-Id: %b\r\n" % ident
        asked = f"ask {next(self.ids)}"
        call = api.Request(
            asked, trip.call.customer, trip.call.service, trip.call.plan, 0.0, SERVER_QUERY_TIMEOUT_S, 1
        )
        flow = Flow(
            call, Request(b"GET", ident, head, source.tenant, b""), FateQueryClient(lambda s: told(s)), now
        )
        flow.epoch, flow.out = trip.flow.epoch, 1
        forward = Forward(flow, life, now, now + SERVER_QUERY_TIMEOUT_S)

        def told(state: State) -> None:
            if self.fate_queries.pop(asked, None) is not None:
                self.enqueue(self.coordinator.asked(ref, state, self.clock.now()))

        def overdue(late: float) -> None:
            if not forward.ended:
                self.ports.drop(forward)
                forward.ended = True
                told(State.UNKNOWN)

        self.fate_queries[asked] = told
        self.clock.schedule(now + SERVER_QUERY_TIMEOUT_S, overdue)
        self.ports.forward(forward)

    # People.

    def sizes(self) -> dict[str, int]:
        """Records as owner or copy, callers whose site this is, and what waits."""
        office = self.record_store
        return {
            "records": len(office.bills), "hands": len(office.hands), "unconfirmed_fates": len(office.words),
            "requests": len(self.tracked), "letters_waiting": sum(map(len, self.queued_messages.values())),
        }  # fmt: skip

    def record_view(self, route: str, tenant: str, caller: str) -> dict[str, Any]:
        """A caller's record as it is here, and who owns it."""
        key, found = self.record_key(route, tenant, caller)
        now, homes = self.clock.now(), self.home_regions(route, tenant)
        owner, copy = self.record_store.eras[-1].pair(key, homes)
        places = {"record": self.record_store.bills, "hand": self.record_store.hands}
        seen = {}
        for name, where in places.items():
            held = where.get(key)
            if held is not None and now < held.until:
                seen[name] = record_fields(held.bill) | {
                    "left_s": round(held.until - now, 3), "open_s": round(now - held.since, 3),
                }  # fmt: skip
        return {"key": key, "travels": found, "owner": owner, "copy": copy, "homes": list(homes), **seen}

    def record_key(self, route: str, tenant: str, caller: str) -> tuple[str, bool]:
        from barleyhub.affinity.order import key_of as caller_key

        table = self.node.downstream.table
        known = table.routes.get(route) if table is not None else None
        return key_of(route, tenant, caller_key(caller.encode())), travel_settings(known) is not None

    def home_regions(self, route: str, tenant: str) -> tuple[str, ...]:
        table = self.node.downstream.table
        known = table.routes.get(route) if table is not None else None
        holders = table.tenants.values() if table is not None else ()
        own = next((t.homes for t in holders if t.name == tenant), frozenset[str]())
        return tuple(sorted(homes_of(known.homes if known is not None else frozenset(), own) or ()))

    async def move_caller(self, route: str, tenant: str, caller: str, to: str) -> tuple[int, dict[str, Any]]:
        """Another server for a caller, under the next move; not while an exchange is unsettled."""
        key, found = self.record_key(route, tenant, caller)
        upstream = self.dispatcher.stock.upstreams.get(to)
        table = self.node.downstream.table
        known = table.routes.get(route) if table is not None else None
        if not found or known is None or known.affinity is None or upstream is None:
            return 400, {"errorText": "no such route that travels, or no such server"}
        if not any(upstream.service == service for service, _ in known.split):
            return 400, {"errorText": f"{to} is no server of that route"}
        allowed = frozenset(self.home_regions(route, tenant)) or None
        berths = self.dispatcher.berths
        why = berths.barred(upstream, allowed, self.clock.now()) if berths is not None else ""
        if why:
            return 400, {"errorText": f"{to} gets no requests now: {why}"}
        homes, travels = self.home_regions(route, tenant), known.affinity.travels
        strict = travels is not None and travels.refuse and not known.repeatable
        lasts = self.coordinator.lasts(known.affinity.exchange, strict)
        told = await self.run_for_operator(
            lambda ref, now: self.record_store.take(ref, key, homes, lasts, now)
        )
        if told.word == "given" and told.bill is not None:
            if told.bill.unsettled:
                return 409, {"errorText": "an exchange is open, or its fate is unknown"}
            bill, target = told.bill, Target(upstream.service, to, f"{upstream.host}:{upstream.port}")
            told = await self.run_for_operator(
                lambda ref, now: self.record_store.open(ref, bill, target, now)[1]
            )
            if told.word == "kept" and told.bill is not None:
                log("caller-moved", route=route, to=to, number="/".join(map(str, told.bill.number)))
                return 200, {"moved": record_fields(told.bill)}
        return 503, {"errorText": f"the record can't be had now: {told.word}"}

    async def run_for_operator(self, act: Callable[[str, float], list[Out]]) -> Told:
        ref = f"person {next(self.ids)}"
        future = self.operator_calls[ref] = asyncio.get_running_loop().create_future()
        self.process_outputs(act(ref, self.clock.now()))
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                told: Told = await future
                return told
        except TimeoutError:
            return Told(ref, "unsure")
        finally:
            self.operator_calls.pop(ref, None)


def record_fields(bill: Bill) -> dict[str, Any]:
    return {
        "number": list(bill.number), "site": bill.site, "service": bill.service, "life": bill.life,
        "address": bill.place, "exchange": bill.exchange, "attempt": bill.attempt,
        "fate": bill.fate.name.lower().replace("_", "-"), "opener": bill.opener,
    }  # fmt: skip


def travel_settings(route: object) -> Travels | None:
    affinity = getattr(route, "affinity", None)
    return affinity.travels if isinstance(affinity, Affinity) else None
