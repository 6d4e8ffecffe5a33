"""The client side: finds route and tenant of each request, and passes it to the core."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from barleyhub.line.dispatch import RoutedRequest
from latchspoke.configuration.routes import Limits, Route, Table, Tenant
from latchspoke.core import DecisionLease
from latchspoke.dataplane.body_memory import BodyMemory
from latchspoke.dataplane.client_connection import ClientConnection
from latchspoke.dataplane.core import DataPlaneCore
from latchspoke.dataplane.exchange import ClientExchange
from latchspoke.dataplane.messages import Request
from latchspoke.dataplane.upstream import HOP_BY_HOP_HEADERS
from latchspoke.net.http import (
    CONNECT_GRACE_S,
    ConnectionContext,
    FramingError,
    read_decimal,
)
from latchspoke.transport.input_turns import InputTurns

if TYPE_CHECKING:
    from barleyhub.affinity.rendezvous import Caller
    from latchspoke.dataplane.drain import DrainSchedule

HOLD_TIMEOUT_S = 0.25  # how long a request waits for the configuration of a starting gateway
MAX_HELD_REQUESTS = 500
NOT_READY_RETRY_AFTER_S = 0.2
NO_LEASE_RETRY_AFTER_S = 0.4
STOPPING_RETRY_AFTER_S = 0.1
STOPPING = "stopping"  # reason code of requests that can't be answered before this process ends
MAX_DEADLINE_S = 86_400.0
# Headers that are replaced or never forwarded to a server.
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"x-deadline-remaining",
    b"x-expected-instance",
    b"x-tenant-name",
    b"authorization",
    b"expect",
}
AUTH_SCHEME = b"token "


def read_key(headers: Mapping[bytes, bytes]) -> str:
    """The API key that a request presents; empty without one."""
    value = headers.get(b"authorization", b"")
    if value[: len(AUTH_SCHEME)].lower() != AUTH_SCHEME:
        return ""
    return value[len(AUTH_SCHEME) :].strip().decode("latin-1")


class Downstream:
    """All client connections of this gateway."""

    def __init__(
        self,
        context: ConnectionContext,
        core: DataPlaneCore,
        rng: random.Random,
        current_epoch: Callable[[], DecisionLease | None],
        body_memory: BodyMemory,
        input_turns: InputTurns,
    ) -> None:
        """``current_epoch``: the epoch under which tenant keys may be used now, or None."""
        self.body_memory, self.input_turns = body_memory, input_turns
        self.context, self.core, self.rng, self.current_epoch = context, core, rng, current_epoch
        self.clients: dict[ClientConnection, None] = {}  # in order of arrival
        self.table: Table | None = None
        self.limits = Limits()
        # Whether the configuration has been confirmed as current since this process started.
        self.configuration_confirmed: Callable[[], bool] = lambda: True
        # Whether it was confirmed recently enough to deny requests that it does not cover.
        self.confirmation_recent: Callable[[], bool] = lambda: True
        self.held_requests: dict[ClientExchange, None] = {}  # waiting for the configuration
        self.memory_is_short: Callable[[float], bool] = body_memory.is_short
        self.stopping = False
        self.drain_schedule: DrainSchedule | None = None  # after SIGTERM
        self.request_ids = itertools.count(1)
        self.max_clients = int(context.sockets.max_used * 0.6)

    def client_connected(self, client: ClientConnection) -> None:
        """Register a connection; above the limit, the longest idle one is closed, or else the new one."""
        self.clients[client] = None
        self.context.stats["clients.accepted"] += 1
        if len(self.clients) > self.max_clients:
            for idle in sorted(self.idle_clients(), key=lambda c: c.waiting_since):
                if idle.end_if_idle("sockets"):
                    return
            client.end("sockets")

    def handle_request(self, exchange: ClientExchange) -> None:
        """Route and authenticate a request, and pass it to the core."""
        schedule, table = self.drain_schedule, self.table
        if schedule is not None and self.context.clock.now() >= schedule.last_answers_at:
            self.reject_stopping(exchange)
        elif table is None or not self.configuration_confirmed():
            # The first configuration received may be out of date; it is not used before it is confirmed.
            self.hold(exchange)
        else:
            self.route_request(exchange, table)

    def route_request(self, exchange: ClientExchange, table: Table) -> None:
        """Find the route and the tenant of a request, and pass it to the core."""
        headers = exchange.headers
        attempt_id, host = headers.get(b"x-attempt-id"), headers.get(b"host")
        if not attempt_id or host is None:
            self.reject_request(exchange, 400, "no_ident_or_host")
            return
        route = table.find(host.decode("latin-1"), exchange.url.partition(b"?")[0].decode("latin-1"))
        if route is None:
            self.deny(exchange, 404, "no_route")
            return
        tenant, epoch = None, None
        key = read_key(headers)
        if not route.keyless and (table.keyed or key):
            epoch = self.current_epoch()
            if epoch is None:
                # Keys may have been revoked; they are not accepted without a valid lease.
                self.context.stats["refused.no_right"] += 1
                self.reject_request(exchange, 503, "no_right", route.name, NO_LEASE_RETRY_AFTER_S)
                return
            tenant = table.tenant(key)
            if tenant is None:
                # Also without ``tenants``: the key may have been revoked, and no configuration holds it now.
                self.deny(exchange, 401, "no_key", route.name)
                return
        left = self.time_left(exchange, route)
        if left is not None:
            self.pass_on(exchange, route, tenant, epoch, left)

    def time_left(self, exchange: ClientExchange, route: Route) -> float | None:
        """The time (s) that a request may take; None if there is too little, and it is rejected."""
        left = read_decimal(exchange.headers.get(b"x-deadline-remaining", b""))
        now = self.context.clock.now()
        left = min(left / 1000 if left is not None else MAX_DEADLINE_S, route.timeout) - (
            now - exchange.received_at
        )
        exchange.deadline = now + left
        if left <= 0:
            self.reject_request(exchange, 503, "too_late", route.name)
            return None
        if self.drain_schedule is None:
            return left
        time_left = self.drain_schedule.time_for(left, now)
        if time_left is None:
            self.reject_stopping(exchange, route.name)
        return time_left

    def pass_on(
        self,
        exchange: ClientExchange,
        route: Route,
        tenant: Tenant | None,
        epoch: DecisionLease | None,
        left: float,
    ) -> None:
        """Pass a request to the core. ``left``: the time (s) that it may take."""
        caller, service = None, ""
        if route.affinity is not None:
            caller, service = self.find_caller(exchange, route, tenant.name if tenant else "")
        call = RoutedRequest(
            f"{next(self.request_ids)}", tenant.name if tenant else "",
            service or route.service(self.rng.random()), route.name, 1.0, left, 1,
            route=route, tenant=tenant, caller=caller,
        )  # fmt: skip
        attempt_id = exchange.headers[b"x-attempt-id"]
        message = self.build_request(exchange, attempt_id, tenant.name.encode() if tenant else b"")
        now = self.context.clock.now()
        exchange.flow = self.core.accept(call, message, exchange, now)
        exchange.flow.lease = epoch
        self.core.begin(exchange.flow, now)

    def deny(self, exchange: ClientExchange, status: int, reason: str, route: str = "") -> None:
        """Deny what the configuration lacks, but only while the configuration is known to be current."""
        if self.confirmation_recent():
            self.reject_request(exchange, status, reason, route)
            return
        self.context.stats["refused.no_right"] += 1
        self.reject_request(exchange, 503, "no_right", route, NO_LEASE_RETRY_AFTER_S)

    def hold(self, exchange: ClientExchange) -> None:
        """Let a request wait for the configuration for a short time."""
        clock = self.context.clock
        if len(self.held_requests) >= MAX_HELD_REQUESTS:
            self.reject_request(exchange, 503, "no_configuration", retry_after=NOT_READY_RETRY_AFTER_S)
            return
        self.held_requests[exchange] = None

        def expire(now: float) -> None:
            if exchange in self.held_requests:
                del self.held_requests[exchange]
                self.reject_request(exchange, 503, "no_configuration", retry_after=NOT_READY_RETRY_AFTER_S)

        clock.schedule(clock.now() + HOLD_TIMEOUT_S, expire)

    def resume(self) -> None:
        """The configuration is known and confirmed: process the held requests."""
        held, self.held_requests = self.held_requests, {}
        for exchange in held:
            self.handle_request(exchange)

    def cancel(self, exchange: ClientExchange) -> None:
        """The client of a request has disconnected."""
        self.held_requests.pop(exchange, None)
        flow, exchange.flow = exchange.flow, None
        if flow is not None:
            self.core.withdraw(flow, self.context.clock.now())

    def reject_request(
        self,
        exchange: ClientExchange,
        status: int,
        reason: str,
        route: str = "",
        retry_after: float | None = None,
    ) -> None:
        """Answer without involving the dispatcher; ``reason`` is a reason code for operators."""
        self.record_refusal(reason, route)
        exchange.write_empty_response(status, retry_after)

    def reject_stopping(self, exchange: ClientExchange, route: str = "") -> None:
        """Answer that this process ends before it could pass on an answer; the client asks another one."""
        self.reject_request(exchange, 503, STOPPING, route, STOPPING_RETRY_AFTER_S)

    def answer_all(self, now: float) -> None:
        """Answer all requests that were read or begun, as this process is about to end."""
        held, self.held_requests = self.held_requests, {}
        for exchange in held:
            self.reject_stopping(exchange)
        self.core.end_all(now, STOPPING_RETRY_AFTER_S)
        for client in list(self.clients):
            if client.message_started and not client.busy and not client.ending:
                client.reject(FramingError(503, STOPPING))

    def record_refusal(self, reason: str, route: str = "") -> None:
        """Keep a reason code for operators."""
        self.core.dispatcher.refusals.append((self.context.clock.now(), reason, route, ""))

    def find_caller(self, exchange: ClientExchange, route: Route, tenant: str) -> tuple[Caller | None, str]:
        """The caller a request belongs to, on a route with affinity, and the service it is bound to."""
        from barleyhub.affinity.rendezvous import Caller, caller_key, choose_service

        affinity = route.affinity
        assert affinity is not None
        text = affinity.caller(exchange.headers, exchange.url, tenant)
        if text is None:
            return None, ""
        key = caller_key(text)
        return Caller(key, affinity.near, affinity.exchange_s), choose_service(key, route.split)

    def build_request(self, exchange: ClientExchange, attempt_id: bytes, tenant: bytes) -> Request:
        """The request to forward: as received, except for hop-by-hop and replaced headers."""
        named = exchange.headers.get(b"connection", b"").lower()
        dropped = (
            REPLACED_HEADERS | {token.strip() for token in named.split(b",")} if named else REPLACED_HEADERS
        )
        head = [b"%b %b HTTP/1.1\r\n" % (exchange.method, exchange.url)]
        head += [b"%b: %b\r\n" % pair for pair in exchange.header_pairs if pair[0].lower() not in dropped]
        return Request(exchange.method, attempt_id, b"".join(head), tenant, exchange.take_body())

    def sweep(self, now: float) -> None:
        """Close connections that stay idle or do not complete a request in time."""
        limits, memory_is_short = self.limits, self.memory_is_short(now)
        for client in list(self.clients):
            client.end_if_stuck(now)
            if memory_is_short:
                client.end_if_slow(now)
            if client.busy or client.ending:
                continue
            if client.message_started:
                limit = limits.header_s if not client.headers_complete else limits.idle_s
                if now - client.waiting_since > limit + 0.5:
                    client.reject(FramingError(408, "read_timeout"))
            elif now - client.waiting_since > limits.idle_s:
                client.end_if_idle("idle", flush=True)

    def close_idle(self) -> None:
        """Close idle connections, except new ones whose first request may be about to arrive."""
        now = self.context.clock.now()
        for client in self.idle_clients():
            if client.message_count or now - client.waiting_since >= CONNECT_GRACE_S:
                client.end_if_idle("drained", flush=True)

    def idle_clients(self) -> list[ClientConnection]:
        """Connections without a request in progress."""
        return [
            client
            for client in self.clients
            if not client.busy and not client.message_started and not client.ending and not client.held_input
        ]

    @property
    def in_flight(self) -> int:
        """Number of requests being processed."""
        return sum(client.busy for client in self.clients)
