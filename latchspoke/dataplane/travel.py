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
from barleyhub.line.balancer import UpstreamState as ServerState
from barleyhub.line.balancer import allowed_regions
from barleyhub.line.dispatch import NOT_EXECUTED, Dispatcher, NoCapacity, RoutedRequest
from latchspoke.configuration.routes import Affinity, Route, Travels
from latchspoke.core import Epoch, Flow, Forward, Timer
from latchspoke.dataplane.exchange import ClientExchange
from latchspoke.dataplane.upstream import Answer, Request
from latchspoke.membership.messages import Member
from latchspoke.session_records.bill import Bill, Fate, Peer, key_of
from latchspoke.session_records.desk import Ask, Desk, Go, Later, Pass, Step, Tell, Terms
from latchspoke.session_records.office import Answer as Told
from latchspoke.session_records.office import Letter, Office, Out, Target
from latchspoke.session_records.verdict import State, state_of
from latchspoke.transport.log import log
from latchspoke.transport.wire import Message

if TYPE_CHECKING:
    from latchspoke.dataplane.node import Node

TICK = 0.2  # s
ASK = 0.3  # s that a server is given to say what became of a try
SETTLED = 1.0  # s beyond the lease by which all who had a record have lost their right, or told it
QUEUED = 1000  # letters that wait for a connection to one gateway
PERSON = 2.0  # s that an operator waits


class Narrowed(Epoch):
    """The right to act, and no longer than an opening says."""

    def __init__(self, epoch: Epoch | None, until: float) -> None:
        super().__init__(epoch.label if epoch is not None else "", until)
        self.epoch, self.most = epoch, until

    @property
    def until(self) -> float:
        return min(self.epoch.until, self.most) if self.epoch is not None else self.most

    @until.setter
    def until(self, value: float) -> None:
        pass


@dataclass(slots=True)
class Trip:
    """A request that is looked after here."""

    call: RoutedRequest
    flow: Flow
    waiting: Forward | None = None  # for its opening
    sent: bool = False  # its present attempt has gone to the upstream_pools
    begun: bool = False  # the dispatcher has it


@dataclass(frozen=True, slots=True)
class Steps:
    """What the desk says, put to the core's queue."""

    steps: Sequence[Step]


class Asker:
    """The client of a question to a server."""

    def __init__(self, told: Callable[[State], None]) -> None:
        self.told = told

    def served(self, answer: object) -> None:
        assert isinstance(answer, Answer)
        states = [value for name, value in answer.headers if name == b"x-exchange-state"]
        self.told(state_of(states[0]) if len(states) == 1 and answer.status == 200 else State.UNKNOWN)

    def refused(self, retry_after: float | None) -> None:
        self.told(State.UNKNOWN)

    def failed(self, failure: object | None) -> None:
        self.told(State.UNKNOWN)


class Travel:
    """One gateway's; ``handle`` as the dispatcher's, ``forward`` and the rest as the ports'."""

    def __init__(self, node: Node) -> None:
        self.node, self.clock = node, node.clock
        self.dispatcher: Dispatcher = node.dispatcher
        self.ports, self.core = node.ports, node.core
        lasts = node.lease.lasts if node.lease.lasts < 1e6 else 5.0
        self.office = Office(
            node.settings.name, node.life, lasts + SETTLED, self.clock.now(), lambda: node.lease.until,
            node.stats, lease=node.lease.lasts if node.lease.lasts < 1e6 else 0.0,
        )  # fmt: skip
        self.desk = Desk(self.office, self.known)
        self.trips: dict[str, Trip] = {}
        self.queued: dict[str, list[Message]] = {}
        self.asks: dict[str, Callable[[State], None]] = {}
        self.people: dict[str, asyncio.Future[Told]] = {}
        self.actions: list[api.Action] = []
        self.numbers = itertools.count(1)
        self.core.gateway = self  # type: ignore[assignment]
        self.core.ports = self
        node.counts.opened = self.flush
        self.clock.schedule(self.clock.now() + TICK, self.tick)

    # Who is there.

    def live(self, edges: Mapping[str, Member], now: float) -> None:
        """The live gateways have changed."""
        peers = {
            name: Peer(str(m.meta.get("zone")), str(m.meta.get("region")), m.instance_id)
            for name, m in edges.items()
        }
        self.out(self.office.live(peers, now))

    def leave(self, now: float) -> None:
        self.out(self.office.leave(now))

    def known(self, life: str) -> bool:
        upstream = self.dispatcher.balancer.upstreams.get(life)
        return upstream is not None and upstream.state is not ServerState.GONE

    # Letters.

    def out(self, outs: list[Out]) -> None:
        for each in [o for o in outs if isinstance(o, Told) and o.ref in self.people]:
            outs.remove(each)
            future = self.people.pop(each.ref)
            if not future.done():
                future.set_result(each)
        self.desk.carry(outs, self.clock.now())
        self.do(self.desk.given())

    def do(self, steps: list[Step]) -> None:
        """Letters go at once, all else in the order of the core's events."""
        for step in steps:
            if isinstance(step, Letter):
                self.post(step.to, step.message)
        rest = [step for step in steps if not isinstance(step, Letter)]
        if rest:
            self.give(rest)

    def give(self, steps: Sequence[Step]) -> None:
        self.core.give(Steps(steps), self.clock.now())  # type: ignore[arg-type]

    def post(self, to: str, message: Message) -> None:
        counts = self.node.counts
        wire = counts.wires.get(to)
        framed = {"k": "w", "f": self.office.me, "m": message}
        if wire is not None and not self.queued.get(to):
            wire.send(framed)
        elif to in counts.gateways:
            queue = self.queued.setdefault(to, [])
            queue.append(framed)
            del queue[:-QUEUED]
            counts.open(to, self.clock.now())

    def flush(self, name: str) -> None:
        wire = self.node.counts.wires.get(name)
        for message in self.queued.pop(name, ()) if wire is not None else ():
            wire.send(message)  # type: ignore[union-attr]

    def heard(self, message: Message) -> None:
        """From another gateway. Raises KeyError, TypeError, ValueError."""
        self.out(self.office.heard(str(message["f"]), message["m"], self.clock.now()))

    def tick(self, now: float) -> None:
        self.clock.schedule(now + TICK, self.tick)
        self.do(self.desk.tick(now))
        for ref in [ref for ref in self.trips if ref not in self.core.flows]:
            self.drop_trip(ref)
        for name in list(self.queued):
            if name not in self.node.counts.gateways:
                del self.queued[name]
            elif name not in self.node.counts.wires:
                self.node.counts.open(name, now)
            else:
                self.flush(name)

    def drop_trip(self, ref: str) -> None:
        self.trips.pop(ref, None)
        self.desk.end(ref)

    # In the dispatcher's place.

    def handle(self, event: api.Event | Steps, now: float) -> list[api.Action]:
        match event:
            case RoutedRequest(route=route, caller=caller) if (
                caller is not None and travels_of(route) is not None
            ):
                self.actions = []
                self.arrive(event, now)
                return self.actions
            case Steps(steps):
                self.actions = []
                self.take(steps, now)
                return self.actions
            case api.Outcome(request=request) if request in self.trips or request in self.asks:
                self.ended(event, now)
            case api.Withdrawn(request=request) if request in self.trips and not self.trips[request].begun:
                self.drop_trip(request)
                return []
        return self.dispatcher.handle(event, now)

    def arrive(self, call: RoutedRequest, now: float) -> None:
        """Its record is looked up, before anything is decided on it."""
        flow = self.core.flows[call.request]
        travels = travels_of(call.route)
        assert travels is not None and call.caller is not None and call.route is not None
        tenant = call.tenant
        homes = allowed_regions(call.route.homes, tenant.homes if tenant is not None else frozenset())
        headers: dict[bytes, bytes] = getattr(flow.client, "headers", {})
        request = flow.message
        assert isinstance(request, Request)
        exchange = headers.get(travels.exchange, b"") or request.ident
        strict = travels.refuse and not call.route.repeatable
        terms = Terms(
            tuple(sorted(homes or ())), call.caller.exchange_s, travels.look, strict, bool(travels.ask)
        )
        self.trips[call.request] = Trip(call, flow)
        key = key_of(call.route.name, tenant.name if tenant is not None else "", call.caller.key)
        steps = self.desk.arrive(call.request, key, exchange.decode("latin-1"), terms, now)
        self.clock.schedule(now + travels.look, lambda late: self.late(call.request, late))
        self.take(steps, now)

    def late(self, ref: str, now: float) -> None:
        if ref in self.trips:
            self.do(self.desk.late(ref, now))

    def take(self, steps: Sequence[Step], now: float) -> None:
        for step in steps:
            if isinstance(step, Letter):
                self.post(step.to, step.message)
                continue
            trip = self.trips.get(step.ref)
            if trip is None:
                continue
            match step:
                case Go(bill=bill):
                    self.go(trip, bill, now)
                case Later(pause=pause, why=why):
                    self.refuse(trip, pause, why, now)
                case Tell(state=state, exchange=exchange):
                    self.tell(trip, state, exchange)
                case Ask(life=life, attempt=attempt):
                    self.ask(trip, life, attempt, now)
                case Pass(ok=ok, until=until):
                    self.passed(trip, ok, until, now)

    def go(self, trip: Trip, bill: Bill | None, now: float) -> None:
        call, berths = trip.call, self.dispatcher.affinity
        if trip.flow.closed:
            return
        if bill is not None and bill.life and berths is not None and call.caller is not None:
            berths.pins[call.service, call.caller.key] = bill.life, now + call.caller.exchange_s
        trip.begun = True
        self.actions += self.dispatcher.handle(replace(call, left=max(trip.flow.until - now, 0.0)), now)

    def refuse(self, trip: Trip, pause: float, why: str, now: float) -> None:
        route = trip.call.route
        self.dispatcher.refusals.append((now, why, route.name if route else "", trip.call.customer))
        self.actions.append(NoCapacity(trip.call.request, pause))

    def tell(self, trip: Trip, state: State, exchange: str) -> None:
        """The truth about an exchange; this try has not run."""
        flow = self.core.final(trip.call.request, "flows.refused")
        if flow is not None:
            more = f"X-Exchange-State: {state.value}\r\nX-Exchange: {exchange}\r\n".encode("latin-1")
            assert isinstance(flow.client, ClientExchange)
            flow.client.plain(409, None, more)
            log("exchange-told", state=state.value, route=trip.call.route.name if trip.call.route else "")

    def ended(self, outcome: api.Outcome, now: float) -> None:
        told = self.asks.get(outcome.request)
        if told is not None:
            told(State.UNKNOWN)  # unless it has been answered
            return
        trip = self.trips[outcome.request]
        code = outcome.code
        fate = Fate.ANSWERED if code in (Code.OK, Code.ERROR) else Fate.MAY_RUN
        if code in NOT_EXECUTED or not trip.sent:
            fate = Fate.NOT_RUN
        trip.waiting, trip.sent = None, False
        for step in self.desk.outcome(outcome.request, fate, now):
            if isinstance(step, Letter):
                self.post(step.to, step.message)

    # In the ports' place.

    def forward(self, forward: Forward) -> None:
        trip = self.trips.get(forward.flow.request.request)
        upstream = self.dispatcher.balancer.upstreams.get(forward.target)
        if trip is None or upstream is None:
            self.ports.forward(forward)
            return
        trip.waiting = forward
        ref, request = trip.call.request, trip.flow.message
        assert isinstance(request, Request)
        place, attempt = f"{upstream.host}:{upstream.port}", request.ident.decode("latin-1")
        self.do(self.desk.attempt(ref, upstream.service, upstream.ident, place, self.clock.now(), attempt))

    def passed(self, trip: Trip, ok: bool, until: float, now: float) -> None:
        forward, trip.waiting = trip.waiting, None
        if forward is None or forward.ended:
            return
        if not ok or forward.until <= now:
            self.core.ended(forward, Code.MOOT, now)
            return
        if not math.isinf(until):
            inner = trip.flow.epoch.epoch if isinstance(trip.flow.epoch, Narrowed) else trip.flow.epoch
            trip.flow.epoch = Narrowed(inner, until)
        trip.sent = True
        self.ports.forward(forward)

    def drop(self, forward: Forward) -> None:
        self.ports.drop(forward)

    def count(self, name: int, amount: float, life: float) -> None:
        self.ports.count(name, amount, life)

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        return self.ports.schedule(when, call)

    # Servers that are asked.

    def ask(self, trip: Trip, life: str, attempt: str, now: float) -> None:
        """``GET askPath + attempt`` at that life; it is told of no more than once."""
        travels, source = travels_of(trip.call.route), trip.flow.message
        assert travels is not None and isinstance(source, Request)
        ref, ident = trip.call.request, b"ask-%d-%b" % (next(self.numbers), self.office.site.encode())
        path = travels.ask + attempt
        host = trip.call.route.host if isinstance(trip.call.route, Route) else ""
        head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n".encode("latin-1") + b"X-Attempt-Id: %b\r\n" % ident
        asked = f"ask {next(self.numbers)}"
        call = api.Request(asked, trip.call.customer, trip.call.service, trip.call.plan, 0.0, ASK, 1)
        flow = Flow(call, Request(b"GET", ident, head, source.tenant, b""), Asker(lambda s: told(s)), now)
        flow.epoch, flow.out = trip.flow.epoch, 1
        forward = Forward(flow, life, now, now + ASK)

        def told(state: State) -> None:
            if self.asks.pop(asked, None) is not None:
                self.give(self.desk.asked(ref, state, self.clock.now()))

        def overdue(late: float) -> None:
            if not forward.ended:
                self.ports.drop(forward)
                forward.ended = True
                told(State.UNKNOWN)

        self.asks[asked] = told
        self.clock.schedule(now + ASK, overdue)
        self.ports.forward(forward)

    # People.

    def sizes(self) -> dict[str, int]:
        """Records as owner or copy, callers whose site this is, and what waits."""
        office = self.office
        return {
            "records": len(office.bills), "hands": len(office.hands), "unconfirmed_fates": len(office.words),
            "requests": len(self.trips), "letters_waiting": sum(map(len, self.queued.values())),
        }  # fmt: skip

    def whereabouts(self, route: str, tenant: str, caller: str) -> dict[str, Any]:
        """A caller's record as it is here, and who owns it."""
        key, found = self.key(route, tenant, caller)
        now, homes = self.clock.now(), self.homes(route, tenant)
        owner, copy = self.office.eras[-1].pair(key, homes)
        places = {"record": self.office.bills, "hand": self.office.hands}
        seen = {}
        for name, where in places.items():
            held = where.get(key)
            if held is not None and now < held.until:
                seen[name] = told_bill(held.bill) | {
                    "left_s": round(held.until - now, 3), "open_s": round(now - held.since, 3),
                }  # fmt: skip
        return {"key": key, "travels": found, "owner": owner, "copy": copy, "homes": list(homes), **seen}

    def key(self, route: str, tenant: str, caller: str) -> tuple[str, bool]:
        from barleyhub.affinity.rendezvous import caller_key

        table = self.node.downstream.table
        known = table.routes.get(route) if table is not None else None
        return key_of(route, tenant, caller_key(caller.encode())), travels_of(known) is not None

    def homes(self, route: str, tenant: str) -> tuple[str, ...]:
        table = self.node.downstream.table
        known = table.routes.get(route) if table is not None else None
        holders = table.tenants.values() if table is not None else ()
        own = next((t.homes for t in holders if t.name == tenant), frozenset[str]())
        return tuple(sorted(allowed_regions(known.homes if known is not None else frozenset(), own) or ()))

    async def move(self, route: str, tenant: str, caller: str, to: str) -> tuple[int, dict[str, Any]]:
        """Another server for a caller, under the next move; not while an exchange is unsettled."""
        key, found = self.key(route, tenant, caller)
        upstream = self.dispatcher.balancer.upstreams.get(to)
        table = self.node.downstream.table
        known = table.routes.get(route) if table is not None else None
        if not found or known is None or known.affinity is None or upstream is None:
            return 400, {"errorText": "no such route that travels, or no such server"}
        if not any(upstream.service == service for service, _ in known.split):
            return 400, {"errorText": f"{to} is no server of that route"}
        allowed = frozenset(self.homes(route, tenant)) or None
        berths = self.dispatcher.affinity
        why = berths.unusable_reason(upstream, allowed, self.clock.now()) if berths is not None else ""
        if why:
            return 400, {"errorText": f"{to} gets no requests now: {why}"}
        homes, travels = self.homes(route, tenant), known.affinity.travels
        strict = travels is not None and travels.refuse and not known.repeatable
        lasts = self.desk.lasts(known.affinity.exchange, strict)
        told = await self.person(lambda ref, now: self.office.take(ref, key, homes, lasts, now))
        if told.word == "given" and told.bill is not None:
            if told.bill.unsettled:
                return 409, {"errorText": "an exchange is open, or its fate is unknown"}
            bill, target = told.bill, Target(upstream.service, to, f"{upstream.host}:{upstream.port}")
            told = await self.person(lambda ref, now: self.office.open(ref, bill, target, now)[1])
            if told.word == "kept" and told.bill is not None:
                log("caller-moved", route=route, to=to, number="/".join(map(str, told.bill.number)))
                return 200, {"moved": told_bill(told.bill)}
        return 503, {"errorText": f"the record can't be had now: {told.word}"}

    async def person(self, act: Callable[[str, float], list[Out]]) -> Told:
        ref = f"person {next(self.numbers)}"
        future = self.people[ref] = asyncio.get_running_loop().create_future()
        self.out(act(ref, self.clock.now()))
        try:
            async with asyncio.timeout(PERSON):
                told: Told = await future
                return told
        except TimeoutError:
            return Told(ref, "unsure")
        finally:
            self.people.pop(ref, None)


def told_bill(bill: Bill) -> dict[str, Any]:
    return {
        "number": list(bill.number), "site": bill.site, "service": bill.service, "life": bill.life,
        "address": bill.place, "exchange": bill.exchange, "attempt": bill.attempt,
        "fate": bill.fate.name.lower().replace("_", "-"), "opener": bill.opener,
    }  # fmt: skip


def travels_of(route: object) -> Travels | None:
    affinity = getattr(route, "affinity", None)
    return affinity.travels if isinstance(affinity, Affinity) else None
