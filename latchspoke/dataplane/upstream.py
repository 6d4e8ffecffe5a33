"""The server side: connections to each server instance, and the forwards on them.

Responses are validated before they are passed on: a response must be complete and carry the request's id; a
successful one must carry the server's seal and no content coding.
"""

from __future__ import annotations

import asyncio
import math
import socket
from typing import Any

import httptools

from barleyhub import interface as api
from barleyhub.line.balancer import Balancer, Upstream
from latchspoke.core import Attempt
from latchspoke.dataplane.body_memory import MIN_COUNTED_BYTES, BodyConnection, BodyMemory, LargeBody
from latchspoke.dataplane.core import DataPlaneCore
from latchspoke.dataplane.messages import Request, Response
from latchspoke.net.http import (
    ConnectionContext,
    FramingError,
    ParserError,
    parse_error,
    read_decimal,
)
from latchspoke.transport.input_turns import BoundedInput
from latchspoke.transport.log import log

CAUTION_S = 15.0  # after a prompt reset on a reused connection: the server drops idle connections
CAUTION_MAX_IDLE_S = 0.3  # meanwhile, idle time allowed for a request that cannot be repeated
PROMPT_RESET_S = 0.15  # a reset this soon after the request means that it was not processed
REUSE_DELAY_S = 0.005  # before a connection is reused, as a stray response may follow a response
IDLE_TIMEOUT_S = 5.0  # where the server sends no Keep-Alive timeout
KEEP_ALIVE_FRACTION = 0.6  # of the server's Keep-Alive timeout
MAX_IDLE_CONNECTIONS = 16  # per server
CONNECT_TIMEOUT_S = 0.25
CROSS_REGION_CONNECT_EXTRA_S = 0.2
CONNECTION_CAP_FRACTION = 0.8  # of a server's connection limit, shared by all gateways
MIN_CONNECTION_CAP = 3
MAX_HEAD_BYTES = 64 * 1024  # of a response, and of its trailer
MAX_ANSWER_FIELDS = 4096  # of a response, which take far more than their bytes
USER_TIMEOUT_MS = 4000  # TCP_USER_TIMEOUT
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"te", b"trailer",
        b"upgrade", b"content-length",
    )
)  # fmt: skip
PLAIN_CONNECTION_VALUES = (b"", b"keep-alive", b"close")  # values of Connection that name no header
MISROUTED_REPORT = {"misrouted": 1.0}
IDLE_RESET_REPORT = {"forgot": 1.0}  # an idle connection, closed by the server as the request arrived
EMPTY_REPORT: dict[str, float] = {}


class ServerConnection(BodyConnection, BoundedInput):
    """A connection to a server, carrying one forward at a time."""

    side = "server"

    def __init__(self, pools: UpstreamPools, pool: UpstreamPool, forward: Attempt) -> None:
        super().__init__(pools.context, pools.body_memory)
        self.pools, self.pool = pools, pool
        self.forward: Attempt | None = forward
        self.idle_since = self.written_at = 0.0
        self.idle_limit = IDLE_TIMEOUT_S
        self.keep_alive = True
        self.result: tuple[api.Code, Response | None, dict[str, float]] | None = None
        self.header_pairs: list[tuple[bytes, bytes]] = []
        self.parser = httptools.HttpResponseParser(self)

    def on_dial_failed(self) -> None:
        """The connection could not be established."""
        self.pool.closed(self)
        self.finish(api.Code.UNREACHABLE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options and send the forward, unless it was cancelled meanwhile."""
        super().connection_made(transport)
        raw_socket = transport.get_extra_info("socket")
        if raw_socket is not None:
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.dial_called_off or self.forward is None:
            self.finish(api.Code.UNREACHABLE)
            self.end("cancelled")
        else:
            self.pools.write(self)

    def data_received(self, data: bytes) -> None:
        """Parse input; data without an outstanding forward ends the connection."""
        if self.forward is None:
            self.end("unasked")
            return
        fault = ""
        try:
            self.parse(data, MAX_HEAD_BYTES)
        except (*ParserError, httptools.HttpParserUpgrade) as error:
            fault = parse_error(error).reason
        if self.result is not None:
            # Not earlier: further data in the same read must not be taken for the next response.
            self.deliver(fault)
        elif fault:
            self.close_code = self.close_code or fault
            self.finish(api.Code.RESET)
            self.end(fault)

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """Reset the state for a new response; a second one for a forward is an error."""
        if self.result is not None:
            raise FramingError(400, "unasked")
        super().on_message_begin()
        self.header_pairs = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are ignored."""
        if self.headers_complete:
            return
        if len(self.header_pairs) >= MAX_ANSWER_FIELDS:
            raise FramingError(400, "oversize")
        name = name.lower()
        self.headers[name] = value
        if name not in HOP_BY_HOP_HEADERS:
            self.header_pairs.append((name, value))

    def on_headers_complete(self) -> None:
        """Complete responses to HEAD, which have no body."""
        super().on_headers_complete()
        forward = self.forward
        if forward is not None and self.parser.get_status_code() >= 200:
            request = forward.flow.message
            assert isinstance(request, Request)
            if request.method == b"HEAD":
                self.keep_alive = False
                self.on_message_complete()
                return
            length = self.headers.get(b"content-length", b"0")
            size = int(length) if length.isdigit() else 0
            if size >= MIN_COUNTED_BYTES:
                self.announce_large_body(min(size, self.pools.max_body_bytes))

    def on_body(self, part: bytes) -> None:
        """Append a part of the body, up to the size limit."""
        self.unparsed_bytes = 0
        self.received_bytes += len(part)
        if self.received_bytes > self.pools.max_body_bytes:
            raise FramingError(413, "oversize")
        self.store_part(part)

    def on_message_complete(self) -> None:
        """Validate the response and determine the result of the forward."""
        self.message_started, self.unparsed_bytes = False, 0
        body = self.take_counted_body()
        status = self.parser.get_status_code()
        if status < 200 or self.result is not None:
            return
        self.message_count += 1
        forward, headers = self.forward, self.headers
        assert forward is not None
        request = forward.flow.message
        assert isinstance(request, Request)
        attempt_id = headers.get(b"x-attempt-id")
        if attempt_id is not None and attempt_id != request.attempt_id:
            # A stray response to an earlier request; the right one may still arrive.
            self.context.stats["answers.stray"] += 1
            log(
                "stray-answer", server=self.pool.upstream.ident, status=status,
                attempt=request.attempt_id.decode("latin-1"), stamped=attempt_id.decode("latin-1"),
            )  # fmt: skip
            self.keep_alive = False
            return
        self.keep_alive = self.keep_alive and self.parser.should_keep_alive()
        if keep_alive := headers.get(b"keep-alive"):
            self.read_keep_alive(keep_alive)
        pairs = self.header_pairs
        connection_header = headers.get(b"connection", b"").lower()
        if connection_header not in PLAIN_CONNECTION_VALUES:
            hop_by_hop = {token.strip() for token in connection_header.split(b",")}
            pairs = [pair for pair in pairs if pair[0] not in hop_by_hop]
        delimited = (
            b"content-length" in headers or headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        )
        if status == 421:
            self.result = api.Code.FULL, None, MISROUTED_REPORT
        elif b"x-not-executed" in headers and status >= 400:
            self.result = api.Code.FULL, None, EMPTY_REPORT
        elif attempt_id is None or not (delimited or status in (204, 304) or request.method == b"HEAD"):
            self.result = api.Code.RESET, None, EMPTY_REPORT
        elif status >= 500:
            self.result = api.Code.ERROR, Response(status, pairs, body, attempt_id), EMPTY_REPORT
        elif status < 300 and (b"x-server-seal" not in headers or b"content-encoding" in headers):
            self.context.stats["answers.spoilt"] += 1
            self.keep_alive = False
            self.result = api.Code.RESET, None, EMPTY_REPORT
        else:
            self.result = api.Code.OK, Response(status, pairs, body, attempt_id), EMPTY_REPORT

    def read_keep_alive(self, text: bytes) -> None:
        """Take the idle limit from a ``Keep-Alive`` header."""
        for item in text.split(b","):
            name, _, value = item.strip().partition(b"=")
            seconds = read_decimal(value) if name.lower() == b"timeout" else None
            if seconds is not None:
                self.idle_limit = seconds * KEEP_ALIVE_FRACTION

    def deliver(self, fault: str) -> None:
        """Pass on the result; the connection is released first, as another attempt may follow at once."""
        forward, result = self.forward, self.result
        assert forward is not None and result is not None
        self.forward = self.result = forward.connection = None
        self.headers, self.header_pairs = {}, []
        if fault or not self.keep_alive:
            self.end(fault or "asked_close")
        else:
            self.pool.release(self)
        code, response, report = result
        if forward.flow.closed:
            self.context.stats["answers.late"] += 1
        self.pools.core.attempt_ended(forward, code, self.context.clock.now(), response, report)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the outstanding forward; a prompt reset on a reused connection is marked as such."""
        unwritten = self.transport is not None and self.transport.get_write_buffer_size() > 0
        super().connection_lost(exc)
        self.pool.closed(self)
        now = self.context.clock.now()
        report = EMPTY_REPORT
        if (
            self.forward is not None
            and self.message_count
            and not self.message_started
            and now - self.written_at < PROMPT_RESET_S
        ):
            self.pools.cautious_until[self.pool.upstream.service] = now + CAUTION_S
            self.context.stats["servers.forgot"] += 1
            report = IDLE_RESET_REPORT
        self.finish(api.Code.UNREACHABLE if unwritten and self.message_count == 0 else api.Code.RESET, report)

    def finish(self, code: api.Code, report: dict[str, float] = EMPTY_REPORT) -> None:
        """End the forward without a response."""
        forward, self.forward = self.forward, None
        if forward is not None:
            forward.connection = None
            self.pools.core.attempt_ended(forward, code, self.context.clock.now(), None, report)


class UpstreamPool:
    """The connections to one server instance; ``idle`` has the most recently used last."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.idle: list[ServerConnection] = []
        self.open = 0

    def acquire(self, now: float, max_idle: float = math.inf) -> ServerConnection | None:
        """The most recently used idle connection that may be reused, if any; ``max_idle`` in seconds."""
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if now - connection.idle_since < REUSE_DELAY_S:
                continue
            if now - connection.idle_since > max_idle:
                break  # the remaining ones have been idle for longer
            del self.idle[index]
            if connection.lost or connection.transport is None or connection.transport.is_closing():
                continue
            if now - connection.idle_since < connection.idle_limit:
                return connection
            connection.end("idle")
        return None

    def release(self, connection: ServerConnection) -> None:
        """Keep a connection for reuse, or close it if enough are idle."""
        if len(self.idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since = connection.context.clock.now()
            self.idle.append(connection)
        else:
            connection.end("not_kept", flush=True)

    def closed(self, connection: ServerConnection) -> None:
        """A connection has closed."""
        self.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self, now: float) -> None:
        """Close connections that have reached their idle limit."""
        while self.idle and now - self.idle[0].idle_since >= self.idle[0].idle_limit:
            self.idle.pop(0).end("idle")

    def close_idle(self, code: str) -> None:
        """Close all idle connections for the given reason."""
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.end(code)


class UpstreamPools:
    """The connections to all servers; carries out forwards."""

    core: DataPlaneCore  # set after construction, as the core needs this port

    def __init__(
        self, context: ConnectionContext, balancer: Balancer, max_body_bytes: int, body_memory: BodyMemory
    ) -> None:
        """``max_body_bytes``: of one response; ``body_memory``: for all that are being passed on."""
        self.context, self.balancer, self.max_body_bytes = context, balancer, max_body_bytes
        self.body_memory = body_memory
        self.pools_by_instance: dict[str, UpstreamPool] = {}
        self.cautious_until: dict[str, float] = {}  # by service, while its servers drop idle connections
        self.connection_caps: dict[str, int] = {}  # by service: connections that one server accepts in all
        self.free_client: Any = lambda: False

    def forward(self, forward: Attempt) -> None:
        """Send the forward on an idle connection or on a new one."""
        now = self.context.clock.now()
        upstream = self.balancer.upstreams.get(forward.target)
        if upstream is None or upstream.state:
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        pool = self.pools_by_instance.get(upstream.ident)
        if pool is None or pool.upstream is not upstream:
            if pool is not None:  # the server was considered gone and has returned
                pool.close_idle("server_gone")
            pool = self.pools_by_instance[upstream.ident] = UpstreamPool(upstream)
        route = getattr(forward.flow.request, "route", None)
        cautious = now < self.cautious_until.get(upstream.service, 0.0) and not (
            route is not None and route.repeatable
        )
        connection = pool.acquire(now, CAUTION_MAX_IDLE_S) if cautious else pool.acquire(now)
        if connection is not None:
            connection.forward = forward
            self.write(connection)
            return
        cap = self.connection_caps.get(upstream.service, 0)
        if cap and pool.open >= max(
            int(cap * CONNECTION_CAP_FRACTION / len(self.balancer.gateways)), MIN_CONNECTION_CAP
        ):
            self.context.stats["servers.no_connection"] += 1
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        if self.context.sockets.available <= 0 and not self.close_longest_idle():
            self.context.stats["servers.no_socket"] += 1
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        self.context.stats["servers.opened"] += 1
        pool.open += 1
        connection = ServerConnection(self, pool, forward)
        forward.connection = connection
        region_extra = CROSS_REGION_CONNECT_EXTRA_S if upstream.region != self.balancer.region else 0.0
        connection.dial((upstream.host, upstream.port), CONNECT_TIMEOUT_S + region_extra)

    def write(self, connection: ServerConnection) -> None:
        """Write the request, after checking again that the server and the right to send are still valid."""
        forward, now = connection.forward, self.context.clock.now()
        assert forward is not None and connection.transport is not None
        upstream = connection.pool.upstream
        gone = (
            bool(upstream.state)
            or upstream.zone in self.balancer.evacuated
            or self.balancer.versions.is_withdrawn(upstream, now)
        )
        unwanted = forward.flow.closed or forward.deadline <= now
        if gone or unwanted or self.core.lease_expired(forward.flow):
            connection.forward = forward.connection = None
            if gone:
                connection.end("server_gone")
            else:
                connection.pool.release(connection)
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        forward.connection = connection
        connection.header_pairs, connection.written_at = [], now
        request = forward.flow.message
        assert isinstance(request, Request)
        remaining_ms = max(int((forward.deadline - now) * 1000), 1)
        tenant_header = b"X-Tenant-Name: %b\r\n" % request.tenant if request.tenant else b""
        length_header = b""
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            length_header = b"Content-Length: %d\r\n" % len(request.body)
        self.context.stats["forwards.sent"] += 1
        head = b"%bX-Deadline-Remaining: %d\r\nX-Expected-Instance: %b\r\n%b%b\r\n" % (
            request.head,
            remaining_ms,
            upstream.ident.encode("latin-1"),
            tenant_header,
            length_header,
        )
        if isinstance(request.body, LargeBody):
            connection.transport.writelines((head, request.body))  # without a copy
        else:
            connection.transport.write(head + request.body)

    def drop(self, forward: Attempt) -> None:
        """Cancel a forward by closing its connection."""
        connection = forward.connection
        forward.connection = None
        if isinstance(connection, ServerConnection):
            connection.forward = None
            connection.end("cancelled")

    def sweep(self, now: float) -> None:
        """Close connections that have been idle too long, and forget servers that are gone."""
        for instance_id, pool in list(self.pools_by_instance.items()):
            pool.sweep(now)
            if pool.upstream.state:
                pool.close_idle("server_gone")
                if not pool.open:
                    del self.pools_by_instance[instance_id]

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, over all servers."""
        idle_lists = [pool.idle for pool in self.pools_by_instance.values() if pool.idle]
        if not idle_lists:
            return False
        min(idle_lists, key=lambda idle: idle[0].idle_since).pop(0).end("sockets")
        return True
