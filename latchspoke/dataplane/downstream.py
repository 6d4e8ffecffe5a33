"""The client side: accepts requests, finds their route and tenant, and writes the final responses."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import httptools

from barleyhub.line.dispatch import RoutedRequest
from latchspoke.configuration.routes import Limits, Route, Table
from latchspoke.core import DecisionLease
from latchspoke.dataplane.body_memory import (
    MIN_COUNTED_BYTES,
    NO_MEMORY,
    Body,
    BodyConnection,
    BodyMemory,
    LargeBody,
)
from latchspoke.dataplane.core import DataPlaneCore
from latchspoke.dataplane.exchange import ClientExchange, status_line
from latchspoke.dataplane.messages import Request
from latchspoke.dataplane.pace import Pace
from latchspoke.dataplane.upstream import HOP_BY_HOP_HEADERS
from latchspoke.net.http import (
    CONNECT_GRACE_S,
    ConnectionContext,
    FramingError,
    ParserError,
    parse_error,
    read_decimal,
)
from latchspoke.transport.input_turns import BoundedInput, InputTurns

if TYPE_CHECKING:
    from barleyhub.affinity.rendezvous import Caller

LINGER_S = 0.5  # input is drained this long after an error response, so that a reset does not destroy it
HOLD_TIMEOUT_S = 0.25  # how long a request waits for the configuration of a starting gateway
MAX_HELD_REQUESTS = 500
NOT_READY_RETRY_AFTER_S = 0.2
NO_LEASE_RETRY_AFTER_S = 0.4
NO_MEMORY_RETRY_AFTER_S = 0.3
MEMORY_WAIT_S = 0.5  # how long a large request waits for memory before it is refused
MAX_DEADLINE_S = 86_400.0
# Headers that are replaced or never forwarded to a server.
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"x-deadline-remaining",
    b"x-expected-instance",
    b"x-tenant-name",
    b"authorization",
    b"expect",
}
SINGLE_VALUE_HEADERS = frozenset(
    (b"host", b"x-attempt-id", b"x-deadline-remaining", b"authorization", b"content-length")
)
AUTH_SCHEME = b"token "
HEADER_BYTES = 384  # that one short header takes in memory
MIN_COUNTED_HEAD_BYTES = 8 * 1024  # a head that takes less is not counted
HEAD_LIMIT_MARGIN_BYTES = 4096  # above ``maxHeaderBytes``, for the request line and framing


def read_key(headers: Mapping[bytes, bytes]) -> str:
    """The API key that a request presents; empty without one."""
    value = headers.get(b"authorization", b"")
    if value[: len(AUTH_SCHEME)].lower() != AUTH_SCHEME:
        return ""
    return value[len(AUTH_SCHEME) :].strip().decode("latin-1")


class ClientConnection(BodyConnection, BoundedInput):
    """One client connection, serving one request at a time."""

    side = "client"
    refuses_without_room = True

    def __init__(self, downstream: Downstream) -> None:
        super().__init__(downstream.context, downstream.body_memory)
        self.downstream, self.input_turns = downstream, downstream.input_turns
        self.exchange: ClientExchange | None = None  # the received request that is not yet answered
        self.fault: FramingError | None = None
        self.ending = False
        self.keep_alive = True
        self.waiting_since = self.opened_at  # when the current wait (idle, or for more input) began
        self.unsent_bytes, self.unsent_since = 0, 0.0  # of a large response, and when this last changed
        self.body_pace: Pace | None = None  # of a large body that is being received
        self.answer_pace: Pace | None = None  # of a large answer that is being sent
        self.answer_deadline = math.inf  # after which the client doesn't wait for it
        self.output_blocked = False  # the client doesn't read: nothing more is read from it meanwhile
        self.head_memory: LargeBody | None = None  # counts a head of many fields
        self.url = b""
        self.header_pairs: list[tuple[bytes, bytes]] = []
        self.parser = httptools.HttpRequestParser(self)

    @property
    def busy(self) -> bool:
        """Whether a received request is not yet answered."""
        return self.exchange is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self.downstream.client_connected(self)

    def data_received(self, data: bytes) -> None:
        """Parse input; malformed input is rejected."""
        if self.ending or self.fault is not None:
            return
        try:
            self.parse(data, self.downstream.limits.header_bytes + HEAD_LIMIT_MARGIN_BYTES)
            if self.message_started and not self.headers_complete:
                self.count_head()
        except httptools.HttpParserUpgrade:
            # The request may be complete and in flight; its response is then the last one here.
            self.reject(FramingError(0 if self.busy else 400, "upgrade"))
        except ParserError as error:
            self.reject(parse_error(error))

    def reject(self, fault: FramingError) -> None:
        """Answer malformed input with an error and close, after the request that is in flight."""
        self.fault = fault.without_traceback()
        if not self.busy:
            self.write_fault_response()

    def write_fault_response(self) -> None:
        """Write the error response, then drain input for a moment so that the client can read it."""
        if self.fault is None or self.transport is None or self.lost:
            return
        fault, self.ending = self.fault, True
        self.headers, self.header_pairs, self.parts = {}, [], []
        self.head_memory = self.large_body = None
        self.close_code = self.close_code or "bad_request"
        self.context.stats[f"clients.{fault.status}"] += 1
        if fault.status:
            retry_header = b"Retry-After: %.3f\r\n" % NO_MEMORY_RETRY_AFTER_S if fault.status == 503 else b""
            end = b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            self.transport.write(status_line(fault.status) + retry_header + end)
        self.transport.write_eof()
        clock = self.context.clock
        clock.schedule(clock.now() + LINGER_S, lambda now: self.end("linger", flush=True))

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self.busy:
            # Pipelined requests are left unread; the client can send them again on another connection.
            raise FramingError(0, "pipelined")
        super().on_message_begin()
        self.url = b""
        self.header_pairs, self.head_memory, self.body_pace = [], None, None
        self.waiting_since = self.context.clock.now()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; headers that must be unique are checked, and trailers are ignored."""
        lower = name.lower()
        previous = self.headers.get(lower)
        if previous is not None and lower in SINGLE_VALUE_HEADERS:
            raise FramingError(400, "repeated header")
        if self.headers_complete:
            return
        # Repeated Connection headers are combined: each names hop-by-hop headers.
        self.headers[lower] = value if previous is None or lower != b"connection" else previous + b"," + value
        self.header_pairs.append((name, value))

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url

    def count_head(self) -> None:
        """Count a large head against the memory for bodies. Raises FramingError without room."""
        size = max(len(self.header_pairs) * HEADER_BYTES, self.unparsed_bytes)
        if size < MIN_COUNTED_HEAD_BYTES:
            return
        if self.head_memory is None:
            self.head_memory = self.memory.count(0)
        self.grow(self.head_memory, size - self.head_memory.counted_bytes)

    def on_headers_complete(self) -> None:
        """Check the announced body size and answer ``Expect: 100-continue``."""
        super().on_headers_complete()
        self.count_head()
        self.waiting_since = self.context.clock.now()
        length = self.headers.get(b"content-length", b"0")
        size = int(length) if length.isdigit() else 0
        if size > self.downstream.limits.body_bytes:
            raise FramingError(413, "oversize")
        if size >= MIN_COUNTED_BYTES:
            self.body_pace = Pace(self.waiting_since, 0)
            self.announce_large_body(size)
        if self.waits_for_memory:
            clock, request = self.context.clock, self.headers
            clock.schedule(clock.now() + MEMORY_WAIT_S, lambda now: self.memory_wait_expired(request))
        else:
            self.write_continue()

    def write_continue(self) -> None:
        """Answer ``Expect: 100-continue``."""
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def memory_granted(self, body: LargeBody) -> None:
        """As ``BodyConnection.memory_granted``; the client may wait to be asked for the body."""
        super().memory_granted(body)
        self.waiting_since = self.context.clock.now()
        self.write_continue()

    def memory_wait_expired(self, request: dict[bytes, bytes]) -> None:
        """Refuse a body that still waits; ``request`` is the header that announced it."""
        if self.waits_for_memory and self.headers is request:
            self.stop_waiting()
            self.downstream.record_refusal(NO_MEMORY)
            self.reject(FramingError(503, NO_MEMORY))

    def on_body(self, part: bytes) -> None:
        """Append a part of the body, up to the size limit."""
        self.unparsed_bytes = 0
        self.received_bytes += len(part)
        if self.received_bytes > self.downstream.limits.body_bytes:
            raise FramingError(413, "oversize")
        self.waiting_since = self.context.clock.now()
        if self.body_pace is None and self.received_bytes >= MIN_COUNTED_BYTES:
            self.body_pace = Pace(self.waiting_since, self.received_bytes)
        self.store_part(part)

    def on_message_complete(self) -> None:
        """Start processing the request."""
        self.message_started, self.unparsed_bytes, self.body_pace = False, 0, None
        self.message_count += 1
        self.keep_alive = self.parser.should_keep_alive()
        refused = self.waits_for_memory
        if refused:
            self.stop_waiting()
        exchange = self.exchange = ClientExchange(
            self, self.context.stats, self.parser.get_method(), self.url, self.headers, self.header_pairs,
            self.take_counted_body(), self.context.clock.now(),
        )  # fmt: skip
        # The exchange alone holds the request, which ends with it; the connection may rest for long.
        exchange.head_memory, self.head_memory = self.head_memory, None
        self.url, self.headers, self.header_pairs = b"", {}, []
        if refused:
            self.downstream.reject_request(exchange, 503, NO_MEMORY, retry_after=NO_MEMORY_RETRY_AFTER_S)
        else:
            self.downstream.handle_request(exchange)

    # Responses.

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the current response."""
        return not self.keep_alive or self.downstream.stopping or self.fault is not None

    def write_response(self, exchange: ClientExchange, data: bytes, body: Body = b"") -> bool:
        """Write the response if ``exchange`` is the request being served. ``body``: what follows ``data``."""
        if exchange is not self.exchange:
            return False
        self.exchange = None
        self.waiting_since = self.context.clock.now()
        if self.transport is not None and not self.lost and not self.transport.is_closing():
            if body:
                self.transport.writelines((data, body))
                self.unsent_bytes = self.transport.get_write_buffer_size()
                self.unsent_since = self.waiting_since
                self.answer_pace = Pace(self.waiting_since, -self.unsent_bytes)
                self.answer_deadline = exchange.deadline
            else:
                self.transport.write(data)
            self.after_response()
        return True

    @property
    def may_read(self) -> bool:
        """Whether more input may be read now."""
        return not self.waits_for_memory and not self.output_blocked and not self.held_input

    def close_unread(self) -> None:
        """Close the connection, as its client has closed it."""
        self.end("peer_closed")

    @property
    def has_unread_input(self) -> bool:
        """As ``Connection.has_unread_input``; also input that waits for its turn."""
        return bool(self.held_input) or super().has_unread_input

    def pause_writing(self) -> None:
        """The client doesn't read its responses; further requests are not read until it does."""
        self.output_blocked = True
        self.unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        self.unsent_since = self.context.clock.now()
        self.update_reading()

    def resume_writing(self) -> None:
        """The client has read most of its responses."""
        self.output_blocked = False
        self.update_reading()

    def end_if_stuck(self, now: float) -> None:
        """Close the connection if nothing of its responses has been sent for the idle timeout."""
        if not self.unsent_bytes or self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes, self.unsent_since = unsent_bytes, now
        elif now - self.unsent_since > self.downstream.limits.idle_s:
            self.unsent_bytes = 0
            self.end("stuck")

    def end_if_slow(self, now: float) -> None:
        """Close the connection if it holds memory for long: called while memory is short.

        It does so by a large answer that the client reads slowly, or no longer waits for, or by a large body
        that it sends slowly.
        """
        if self.unsent_bytes and self.answer_pace is not None and self.transport is not None:
            unsent_bytes = self.transport.get_write_buffer_size()
            slow = self.answer_pace.update(now, -unsent_bytes)
            if unsent_bytes and (slow or now > self.answer_deadline):
                self.context.stats["clients.slow"] += 1
                self.end("slow")
        elif self.body_pace is not None and not self.waits_for_memory and not self.ending:
            if self.body_pace.update(now, self.received_bytes):
                self.context.stats["clients.slow"] += 1
                self.reject(FramingError(408, "slow"))

    def after_response(self) -> None:
        """Wait for the next request, or close."""
        if self.fault is not None:
            if self.fault.status:
                self.write_fault_response()
            else:
                self.ending = True
                self.end(self.fault.reason, flush=True)
        elif self.closes_after_response:
            self.ending = True
            self.end("drained" if self.downstream.stopping else "asked_close", flush=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is in flight."""
        super().connection_lost(exc)
        self.head_memory, self.held_input = None, b""
        self.downstream.clients.pop(self, None)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.downstream.cancel(exchange)


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
        table, headers = self.table, exchange.headers
        if table is None or not self.configuration_confirmed():
            # The first configuration received may be out of date; it is not used before it is confirmed.
            self.hold(exchange)
            return
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
        caller, service = None, ""
        if route.affinity is not None:
            caller, service = self.find_caller(exchange, route, tenant.name if tenant else "")
        left = read_decimal(headers.get(b"x-deadline-remaining", b""))
        now = self.context.clock.now()
        left = min(left / 1000 if left is not None else MAX_DEADLINE_S, route.timeout) - (
            now - exchange.received_at
        )
        exchange.deadline = now + left
        if left <= 0:
            self.reject_request(exchange, 503, "too_late", route.name)
            return
        call = RoutedRequest(
            f"{next(self.request_ids)}", tenant.name if tenant else "",
            service or route.service(self.rng.random()), route.name, 1.0, left, 1,
            route=route, tenant=tenant, caller=caller,
        )  # fmt: skip
        message = self.build_request(exchange, attempt_id, tenant.name.encode() if tenant else b"")
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
