"""Session affinity across gateways, loaded once a route asks for it.

``SessionAffinity`` sits between the core and its collaborators: it takes the dispatcher's place towards the
core and the ports' place towards the network, and passes on everything that does not concern it. Calls wait
for their session record, forwards wait until their attempt is recorded as open, and outcomes go into the
record. The decisions are made in ``latchspoke.session_records``.
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
from latchspoke.configuration.routes import Affinity, Route, SharedRecordSettings
from latchspoke.core import Attempt, DecisionLease, Flow, Timer
from latchspoke.dataplane.exchange import ClientExchange
from latchspoke.dataplane.messages import Request, Response
from latchspoke.membership.messages import Member
from latchspoke.session_records.coordinator import (
    AttemptPermit,
    Directive,
    Proceed,
    QueryServer,
    ReportState,
    RequestCoordinator,
    RequestPolicy,
    RetryLater,
)
from latchspoke.session_records.decision import ExchangeState, parse_exchange_state
from latchspoke.session_records.record import ExchangeOutcome, Peer, SessionRecord, record_key
from latchspoke.session_records.store import AttemptTarget, OutgoingMessage, RecordStore, StoreOutput
from latchspoke.session_records.store import StoreReply as Told
from latchspoke.transport.connection import Message
from latchspoke.transport.frame_queue import FrameQueue
from latchspoke.transport.log import log

if TYPE_CHECKING:
    from latchspoke.dataplane.node import Node

TICK_INTERVAL_S = 0.2
SERVER_QUERY_TIMEOUT_S = 0.3  # for a server to report the fate of an attempt
SETTLE_MARGIN_S = 1.0  # beyond the lease: all holders of a record have reported it or lost their right
MAX_QUEUED_MESSAGES = 1000  # per gateway, while there is no connection to it
MAX_QUEUED_BYTES = 256 * 1024
OPERATOR_TIMEOUT_S = 2.0


class BoundedEpoch(DecisionLease):
    """An epoch that ends no later than a given time."""

    def __init__(self, epoch: DecisionLease | None, until: float) -> None:
        super().__init__(epoch.label if epoch is not None else "", until)
        self.epoch, self.latest = epoch, until

    @property
    def expires_at(self) -> float:
        """The earlier of both limits."""
        return min(self.epoch.expires_at, self.latest) if self.epoch is not None else self.latest

    @expires_at.setter
    def expires_at(self, value: float) -> None:
        pass


@dataclass(slots=True)
class TrackedRequest:
    """A request whose session record is managed here."""

    call: RoutedRequest
    flow: Flow
    pending_forward: Attempt | None = None  # waits until its attempt is recorded as open
    sent: bool = False  # the current attempt was passed to the upstream pools
    dispatched: bool = False  # passed to the dispatcher


@dataclass(frozen=True, slots=True)
class CoordinatorSteps:
    """Steps of the coordinator as an event in the core's queue."""

    steps: Sequence[Directive]


class FateQueryClient:
    """The client of a query to a server about the fate of an attempt."""

    def __init__(self, on_state: Callable[[ExchangeState], None]) -> None:
        self.on_state = on_state

    def served(self, response: object) -> None:
        """Report the state that the response carries; anything unexpected counts as unknown."""
        assert isinstance(response, Response)
        states = [value for name, value in response.headers if name == b"x-exchange-state"]
        self.on_state(
            parse_exchange_state(states[0])
            if len(states) == 1 and response.status == 200
            else ExchangeState.UNKNOWN
        )

    def refused(self, retry_after: float | None) -> None:
        """The server did not take the query: the fate is unknown."""
        self.on_state(ExchangeState.UNKNOWN)

    def failed(self, failure: object | None) -> None:
        """The query failed: the fate is unknown."""
        self.on_state(ExchangeState.UNKNOWN)


class SessionAffinity:
    """One per gateway; ``handle`` replaces the dispatcher's, ``forward`` and others replace the ports'."""

    def __init__(self, node: Node) -> None:
        self.node, self.clock = node, node.clock
        self.dispatcher: Dispatcher = node.dispatcher
        self.ports, self.core = node.ports, node.core
        lease_s = node.lease.duration_s if node.lease.duration_s < 1e6 else 5.0
        self.record_store = RecordStore(
            node.settings.name, node.instance_id, lease_s + SETTLE_MARGIN_S, self.clock.now(),
            lambda: node.lease.expires_at, node.stats,
            lease_s=node.lease.duration_s if node.lease.duration_s < 1e6 else 0.0,
        )  # fmt: skip
        self.coordinator = RequestCoordinator(self.record_store, self.server_known)
        self.tracked: dict[str, TrackedRequest] = {}
        self.queued_messages: dict[str, FrameQueue] = {}
        self.fate_queries: dict[str, Callable[[ExchangeState], None]] = {}
        self.operator_calls: dict[str, asyncio.Future[Told]] = {}
        self.actions: list[api.Action] = []
        self.ids = itertools.count(1)
        self.core.gateway = self  # type: ignore[assignment]
        self.core.ports = self
        node.usage_reports.on_connected = self.flush
        self.clock.schedule(self.clock.now() + TICK_INTERVAL_S, self.tick)

    # Membership.

    def update_gateways(self, gateways: Mapping[str, Member], now: float) -> None:
        """The set of live gateways has changed."""
        peers = {
            name: Peer(str(member.meta.get("zone")), str(member.meta.get("region")), member.instance_id)
            for name, member in gateways.items()
        }
        self.process_outputs(self.record_store.update_membership(peers, now))

    def hand_off(self, now: float) -> None:
        """Hand the records owned here to other gateways before shutdown."""
        self.process_outputs(self.record_store.leave(now))

    def server_known(self, instance_id: str) -> bool:
        """Whether this server instance is known and not gone."""
        upstream = self.dispatcher.balancer.upstreams.get(instance_id)
        return upstream is not None and upstream.state is not ServerState.GONE

    # Messages between gateways.

    def process_outputs(self, outputs: list[StoreOutput]) -> None:
        """Deliver outputs of the record store: to waiting operators, and to the coordinator."""
        for result in [
            output
            for output in outputs
            if isinstance(output, Told) and output.reference in self.operator_calls
        ]:
            outputs.remove(result)
            future = self.operator_calls.pop(result.reference)
            if not future.done():
                future.set_result(result)
        self.coordinator.process_outputs(outputs, self.clock.now())
        self.run_steps(self.coordinator.take_directives())

    def run_steps(self, steps: list[Directive]) -> None:
        """Send messages at once; queue all other steps behind the core's events."""
        for step in steps:
            if isinstance(step, OutgoingMessage):
                self.send(step.target, step.message)
        other_steps = [step for step in steps if not isinstance(step, OutgoingMessage)]
        if other_steps:
            self.enqueue(other_steps)

    def enqueue(self, steps: Sequence[Directive]) -> None:
        """Queue steps behind the core's events; the core returns them to ``handle``."""
        self.core.submit(CoordinatorSteps(steps), self.clock.now())  # type: ignore[arg-type]

    def send(self, gateway: str, message: Message) -> None:
        """Send a message to another gateway, or queue it until there is a connection."""
        usage_reports = self.node.usage_reports
        connection = usage_reports.connections.get(gateway)
        envelope = {"k": "w", "f": self.record_store.name, "m": message}
        if connection is not None and not self.queued_messages.get(gateway):
            connection.send(envelope)
        elif gateway in usage_reports.gateways:
            if gateway not in self.queued_messages:
                self.queued_messages[gateway] = FrameQueue(MAX_QUEUED_MESSAGES, MAX_QUEUED_BYTES)
            self.queued_messages[gateway].append(envelope)
            usage_reports.connect(gateway, self.clock.now())

    def flush(self, gateway: str) -> None:
        """Send the queued messages to a gateway whose connection is up."""
        connection = self.node.usage_reports.connections.get(gateway)
        messages = self.queued_messages.pop(gateway, None) if connection is not None else None
        while messages:
            connection.write(messages.pop())  # type: ignore[union-attr]

    def handle_message(self, message: Message) -> None:
        """A message from another gateway. Raises KeyError, TypeError or ValueError if it is malformed."""
        self.process_outputs(self.record_store.receive(str(message["f"]), message["m"], self.clock.now()))

    def tick(self, now: float) -> None:
        """Periodic work: timeouts of the coordinator, finished requests, and queued messages."""
        self.clock.schedule(now + TICK_INTERVAL_S, self.tick)
        self.run_steps(self.coordinator.tick(now))
        for request_id in [request_id for request_id in self.tracked if request_id not in self.core.flows]:
            self.untrack(request_id)
        for gateway in list(self.queued_messages):
            if gateway not in self.node.usage_reports.gateways:
                del self.queued_messages[gateway]
            elif gateway not in self.node.usage_reports.connections:
                self.node.usage_reports.connect(gateway, now)
            else:
                self.flush(gateway)

    def untrack(self, request_id: str) -> None:
        """Stop managing a request."""
        self.tracked.pop(request_id, None)
        self.coordinator.end_request(request_id)

    # Interface of the dispatcher.

    def handle(self, event: api.Event | CoordinatorSteps, now: float) -> list[api.Action]:
        """Handle events that concern session records; all others go to the dispatcher."""
        match event:
            case RoutedRequest(route=route, caller=caller) if (
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

    def look_up_record(self, call: RoutedRequest, now: float) -> None:
        """Look up the session record, before any decision on the call."""
        flow = self.core.flows[call.request]
        settings = travel_settings(call.route)
        assert settings is not None and call.caller is not None and call.route is not None
        tenant = call.tenant
        regions = allowed_regions(call.route.homes, tenant.homes if tenant is not None else frozenset())
        headers: dict[bytes, bytes] = getattr(flow.client, "headers", {})
        request = flow.message
        assert isinstance(request, Request)
        exchange_id = headers.get(settings.exchange_header, b"") or request.attempt_id
        strict = settings.refuse_when_lost and not call.route.repeatable
        terms = RequestPolicy(
            tuple(sorted(regions or ())),
            call.caller.exchange_s,
            settings.lookup_timeout_s,
            strict,
            bool(settings.outcome_path),
        )
        self.tracked[call.request] = TrackedRequest(call, flow)
        key = record_key(call.route.name, tenant.name if tenant is not None else "", call.caller.key)
        steps = self.coordinator.start_request(call.request, key, exchange_id.decode("latin-1"), terms, now)
        self.clock.schedule(
            now + settings.lookup_timeout_s, lambda when: self.lookup_overdue(call.request, when)
        )
        self.apply_steps(steps, now)

    def lookup_overdue(self, request_id: str, now: float) -> None:
        """The lookup of the record has timed out, unless the request has ended."""
        if request_id in self.tracked:
            self.run_steps(self.coordinator.lookup_expired(request_id, now))

    def apply_steps(self, steps: Sequence[Directive], now: float) -> None:
        """Carry out steps of the coordinator; those for finished requests are skipped."""
        for step in steps:
            if isinstance(step, OutgoingMessage):
                self.send(step.target, step.message)
                continue
            tracked = self.tracked.get(step.request_id)
            if tracked is None:
                continue
            match step:
                case Proceed(record=record):
                    self.dispatch(tracked, record, now)
                case RetryLater(retry_after_s=retry_after, reason=reason):
                    self.refuse(tracked, retry_after, reason, now)
                case ReportState(state=state, exchange_id=exchange_id):
                    self.report_state(tracked, state, exchange_id)
                case QueryServer(instance_id=instance_id, attempt_id=attempt_id):
                    self.query_server(tracked, instance_id, attempt_id, now)
                case AttemptPermit(granted=opened, valid_until=until):
                    self.attempt_opened(tracked, opened, until, now)

    def dispatch(self, tracked: TrackedRequest, record: SessionRecord | None, now: float) -> None:
        """Pass the call to the dispatcher, bound to the server in its record, if any."""
        call, berths = tracked.call, self.dispatcher.affinity
        if tracked.flow.closed:
            return
        if record is not None and record.instance_id and berths is not None and call.caller is not None:
            berths.pins[call.service, call.caller.key] = record.instance_id, now + call.caller.exchange_s
        tracked.dispatched = True
        self.actions += self.dispatcher.handle(replace(call, left=max(tracked.flow.deadline - now, 0.0)), now)

    def refuse(self, tracked: TrackedRequest, retry_after: float, reason: str, now: float) -> None:
        """Refuse the call without executing it; ``retry_after`` in seconds."""
        route = tracked.call.route
        self.dispatcher.refusals.append((now, reason, route.name if route else "", tracked.call.customer))
        self.actions.append(NoCapacity(tracked.call.request, retry_after))

    def report_state(self, tracked: TrackedRequest, state: ExchangeState, exchange_id: str) -> None:
        """Answer 409 with the state of an exchange; this attempt was not executed."""
        flow = self.core.finish(tracked.call.request, "flows.refused")
        if flow is not None:
            headers = f"X-Exchange-State: {state.value}\r\nX-Exchange: {exchange_id}\r\n".encode("latin-1")
            assert isinstance(flow.client, ClientExchange)
            flow.client.write_empty_response(409, None, headers)
            log(
                "exchange-told",
                state=state.value,
                route=tracked.call.route.name if tracked.call.route else "",
            )

    def attempt_ended(self, outcome: api.Outcome, now: float) -> None:
        """Record the outcome of an attempt or of a fate query."""
        on_state = self.fate_queries.get(outcome.request)
        if on_state is not None:
            on_state(ExchangeState.UNKNOWN)  # no effect if the query has been answered
            return
        tracked = self.tracked[outcome.request]
        code = outcome.code
        fate = ExchangeOutcome.ANSWERED if code in (Code.OK, Code.ERROR) else ExchangeOutcome.MAY_RUN
        if code in NOT_EXECUTED or not tracked.sent:
            fate = ExchangeOutcome.NOT_RUN
        tracked.pending_forward, tracked.sent = None, False
        for step in self.coordinator.end_attempt(outcome.request, fate, now):
            if isinstance(step, OutgoingMessage):
                self.send(step.target, step.message)

    # Interface of the ports.

    def forward(self, forward: Attempt) -> None:
        """Hold the forward of a tracked request until its attempt is recorded as open."""
        tracked = self.tracked.get(forward.flow.request.request)
        upstream = self.dispatcher.balancer.upstreams.get(forward.target)
        if tracked is None or upstream is None:
            self.ports.forward(forward)
            return
        tracked.pending_forward = forward
        request_id, request = tracked.call.request, tracked.flow.message
        assert isinstance(request, Request)
        address, attempt_id = f"{upstream.host}:{upstream.port}", request.attempt_id.decode("latin-1")
        self.run_steps(
            self.coordinator.begin_attempt(
                request_id, upstream.service, upstream.ident, address, self.clock.now(), attempt_id
            )
        )

    def attempt_opened(self, tracked: TrackedRequest, opened: bool, until: float, now: float) -> None:
        """Send the held forward, or give it up if the attempt could not be recorded in time."""
        forward, tracked.pending_forward = tracked.pending_forward, None
        if forward is None or forward.ended:
            return
        if not opened or forward.deadline <= now:
            self.core.attempt_ended(forward, Code.MOOT, now)
            return
        if not math.isinf(until):
            epoch = (
                tracked.flow.lease.epoch
                if isinstance(tracked.flow.lease, BoundedEpoch)
                else tracked.flow.lease
            )
            tracked.flow.lease = BoundedEpoch(epoch, until)
        tracked.sent = True
        self.ports.forward(forward)

    def drop(self, forward: Attempt) -> None:
        """As ``Ports.drop``."""
        self.ports.drop(forward)

    def add_count(self, name: int, amount: float, life: float) -> None:
        """As ``Ports.count``."""
        self.ports.add_count(name, amount, life)

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        """As ``Ports.schedule``."""
        return self.ports.schedule(when, call)

    # Queries to servers.

    def query_server(self, tracked: TrackedRequest, instance_id: str, attempt_id: str, now: float) -> None:
        """Ask a server about the fate of an attempt, with ``GET askPath + attempt``; reports one result."""
        settings, source = travel_settings(tracked.call.route), tracked.flow.message
        assert settings is not None and isinstance(source, Request)
        request_id, query_attempt_id = (
            tracked.call.request,
            b"ask-%d-%b" % (next(self.ids), self.record_store.gateway_instance.encode()),
        )
        path = settings.outcome_path + attempt_id
        host = tracked.call.route.host if isinstance(tracked.call.route, Route) else ""
        head = (
            f"GET {path} HTTP/1.1\r\nHost: {host}\r\n".encode("latin-1")
            + b"X-Attempt-Id: %b\r\n" % query_attempt_id
        )
        query_id = f"ask {next(self.ids)}"
        call = api.Request(
            query_id,
            tracked.call.customer,
            tracked.call.service,
            tracked.call.plan,
            0.0,
            SERVER_QUERY_TIMEOUT_S,
            1,
        )
        flow = Flow(
            call,
            Request(b"GET", query_attempt_id, head, source.tenant, b""),
            FateQueryClient(lambda state: on_state(state)),
            now,
        )
        flow.lease, flow.in_flight = tracked.flow.lease, 1
        forward = Attempt(flow, instance_id, now, now + SERVER_QUERY_TIMEOUT_S)

        def on_state(state: ExchangeState) -> None:
            if self.fate_queries.pop(query_id, None) is not None:
                self.enqueue(self.coordinator.on_server_state(request_id, state, self.clock.now()))

        def overdue(when: float) -> None:
            if not forward.ended:
                self.ports.drop(forward)
                forward.ended = True
                on_state(ExchangeState.UNKNOWN)

        self.fate_queries[query_id] = on_state
        self.clock.schedule(now + SERVER_QUERY_TIMEOUT_S, overdue)
        self.ports.forward(forward)

    # Operators.

    def sizes(self) -> dict[str, int]:
        """Number of records held as owner or replica, of callers served here, and of waiting items."""
        store = self.record_store
        return {
            "records": len(store.records), "hands": len(store.local_records),
            "unconfirmed_fates": len(store.unconfirmed_outcomes),
            "requests": len(self.tracked), "letters_waiting": sum(map(len, self.queued_messages.values())),
        }  # fmt: skip

    def record_view(self, route: str, tenant: str, caller: str) -> dict[str, Any]:
        """A caller's session record as held here, and its owner."""
        key, travels = self.record_key(route, tenant, caller)
        now, regions = self.clock.now(), self.home_regions(route, tenant)
        owner, replica = self.record_store.views[-1].placement(key, regions)
        stores = {"record": self.record_store.records, "hand": self.record_store.local_records}
        records = {}
        for name, store in stores.items():
            entry = store.get(key)
            if entry is not None and now < entry.expires_at:
                records[name] = record_fields(entry.record) | {
                    "left_s": round(entry.expires_at - now, 3), "open_s": round(now - entry.opened_at, 3),
                }  # fmt: skip
        return {
            "key": key,
            "travels": travels,
            "owner": owner,
            "copy": replica,
            "homes": list(regions),
            **records,
        }

    def record_key(self, route: str, tenant: str, caller: str) -> tuple[str, bool]:
        """The key of a session record, and whether affinity of the route spans gateways."""
        from barleyhub.affinity.rendezvous import caller_key

        table = self.node.downstream.table
        configured = table.routes.get(route) if table is not None else None
        return record_key(route, tenant, caller_key(caller.encode())), travel_settings(configured) is not None

    def home_regions(self, route: str, tenant: str) -> tuple[str, ...]:
        """The regions to which requests of this route and tenant are limited; empty: no limit."""
        table = self.node.downstream.table
        configured = table.routes.get(route) if table is not None else None
        tenants = table.tenants.values() if table is not None else ()
        tenant_regions = next((item.homes for item in tenants if item.name == tenant), frozenset[str]())
        return tuple(
            sorted(
                allowed_regions(configured.homes if configured is not None else frozenset(), tenant_regions)
                or ()
            )
        )

    async def move_caller(
        self, route: str, tenant: str, caller: str, server_id: str
    ) -> tuple[int, dict[str, Any]]:
        """Bind a caller to another server, unless an exchange is open or its fate is unknown."""
        key, affinity_travels = self.record_key(route, tenant, caller)
        upstream = self.dispatcher.balancer.upstreams.get(server_id)
        table = self.node.downstream.table
        configured = table.routes.get(route) if table is not None else None
        if not affinity_travels or configured is None or configured.affinity is None or upstream is None:
            return 400, {"errorText": "no such route that travels, or no such server"}
        if not any(upstream.service == service for service, _ in configured.split):
            return 400, {"errorText": f"{server_id} is no server of that route"}
        allowed_regions = frozenset(self.home_regions(route, tenant)) or None
        berths = self.dispatcher.affinity
        reason = (
            berths.unusable_reason(upstream, allowed_regions, self.clock.now()) if berths is not None else ""
        )
        if reason:
            return 400, {"errorText": f"{server_id} gets no requests now: {reason}"}
        regions, settings = self.home_regions(route, tenant), configured.affinity.shared_records
        strict = settings is not None and settings.refuse_when_lost and not configured.repeatable
        lifetime_s = self.coordinator.record_ttl_s(configured.affinity.exchange_s, strict)
        result = await self.run_for_operator(
            lambda call_id, now: self.record_store.acquire(call_id, key, regions, lifetime_s, now)
        )
        if result.status == "given" and result.record is not None:
            if result.record.unsettled:
                return 409, {"errorText": "an exchange is open, or its fate is unknown"}
            record, target = (
                result.record,
                AttemptTarget(upstream.service, server_id, f"{upstream.host}:{upstream.port}"),
            )
            result = await self.run_for_operator(
                lambda call_id, now: self.record_store.open_exchange(call_id, record, target, now)[1]
            )
            if result.status == "kept" and result.record is not None:
                log(
                    "caller-moved",
                    route=route,
                    to=server_id,
                    number="/".join(map(str, result.record.version)),
                )
                return 200, {"moved": record_fields(result.record)}
        return 503, {"errorText": f"the record can't be had now: {result.status}"}

    async def run_for_operator(self, action: Callable[[str, float], list[StoreOutput]]) -> Told:
        """Run an action on the record store and wait for its result."""
        call_id = f"person {next(self.ids)}"
        future = self.operator_calls[call_id] = asyncio.get_running_loop().create_future()
        self.process_outputs(action(call_id, self.clock.now()))
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                result: Told = await future
                return result
        except TimeoutError:
            return Told(call_id, "unsure")
        finally:
            self.operator_calls.pop(call_id, None)


def record_fields(record: SessionRecord) -> dict[str, Any]:
    """A session record as shown to operators."""
    return {
        "number": list(record.version), "site": record.gateway_instance, "service": record.service,
        "life": record.instance_id,
        "address": record.address, "exchange": record.exchange_id, "attempt": record.attempt_id,
        "fate": record.outcome.name.lower().replace("_", "-"), "opener": record.opened_by,
    }  # fmt: skip


def travel_settings(route: object) -> SharedRecordSettings | None:
    """The settings of affinity across gateways, or None if the route has none."""
    affinity = getattr(route, "affinity", None)
    return affinity.shared_records if isinstance(affinity, Affinity) else None
