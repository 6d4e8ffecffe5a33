"""The servers' side: kept connections to each life of a server, and the forwards on them.

What comes back is checked before anybody sees it: it must be whole, carry the request's id, and a success
must carry the server's seal and no content coding.
"""

from __future__ import annotations

import asyncio
import math
import socket
from typing import Any

import httptools

from barleyhub import interface as api
from barleyhub.line.stock import Stock, Upstream
from latchspoke.core import Attempt
from latchspoke.dataplane.core import LineCore
from latchspoke.net.http import Connection, FramingError, ParserError, Shared, parse_error, read_decimal
from latchspoke.transport.log import log

WARY = 15.0  # s after a reset right behind a request on a kept connection: its server forgets idle ones
WARY_IDLE = 0.3  # s that a connection may then have been idle, for a request that can't be repeated
AT_ONCE = 0.15  # s; so soon after the request no server has worked on it and failed
REST = 0.005  # s; an extra answer may follow one: so long its connection gets no further forward
IDLE = 5.0  # s that a connection is kept idle, where the server names no time
IDLE_PART = 0.6  # of the time that a server names
KEPT = 16  # idle connections a server, at most
CONNECT = 0.25  # s for a connection to come up, beside its way
CONNECT_FAR = 0.2
PART_OF_CAP = 0.8  # of the connections that a server takes are for all gateways together
CAP_LEAST = 3
USER_TIMEOUT = 4000  # ms
HOP = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"te", b"trailer",
        b"upgrade", b"content-length",
    )
)  # fmt: skip
PLAIN = (b"", b"keep-alive", b"close")  # what of Connection names no other header
MISROUTED = {"misrouted": 1.0}
FORGOT = {"forgot": 1.0}  # an idle connection, let go as the request came
NOTHING: dict[str, float] = {}


class Answer:
    """A server's whole answer, as it goes back: status, headers but those of one connection, body.

    ``attempt`` is the ``X-Attempt-Id`` that the server has put into it.
    """

    __slots__ = ("attempt", "body", "headers", "status")

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes, attempt: bytes) -> None:
        self.status, self.headers, self.body, self.attempt = status, headers, body, attempt


class Request:
    """What of a client's request is passed on: everything but what is of one connection, or is replaced."""

    __slots__ = ("body", "head", "ident", "method", "tenant")

    def __init__(self, method: bytes, ident: bytes, head: bytes, tenant: bytes, body: bytes) -> None:
        self.method, self.ident, self.head, self.tenant, self.body = method, ident, head, tenant, body


class ServerConnection(Connection):
    """One connection to a server: one forward at a time."""

    side = "server"

    def __init__(self, upstream_pools: UpstreamPools, upstream_pool: UpstreamPool, forward: Attempt) -> None:
        super().__init__(upstream_pools.shared)
        self.upstream_pools, self.upstream_pool = upstream_pools, upstream_pool
        self.forward: Attempt | None = forward
        self.idle_since = self.written_at = 0.0
        self.idle_limit = IDLE
        self.keep = True
        self.done: tuple[api.Code, Answer | None, dict[str, float]] | None = None
        self.pairs: list[tuple[bytes, bytes]] = []
        self.parser = httptools.HttpResponseParser(self)

    def on_unopened(self) -> None:
        """It never came up."""
        self.upstream_pool.closed(self)
        self.finish(api.Code.UNREACHABLE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It has come up."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.forward is None:
            self.end("cancelled")
        else:
            self.upstream_pools.write(self)

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if self.forward is None:
            self.end("unasked")
            return
        fault = ""
        try:
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade) as e:
            fault = parse_error(e).reason
        if self.done is not None:
            # Only now: what else came in the same bytes must not meet the next forward.
            self.deliver(fault)
        elif fault:
            self.code = self.code or fault
            self.finish(api.Code.RESET)
            self.end(fault)

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """A message begins."""
        if self.done is not None:
            raise FramingError(400, "unasked")
        super().on_message_begin()
        self.pairs = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        name = name.lower()
        self.headers[name] = value
        if name not in HOP:
            self.pairs.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        super().on_headers_complete()
        forward = self.forward
        if forward is not None and self.parser.get_status_code() >= 200:
            request = forward.flow.message
            assert isinstance(request, Request)
            if request.method == b"HEAD":
                self.keep = False
                self.on_message_complete()

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self.size += len(part)
        if self.size > self.upstream_pools.most_body:
            raise FramingError(413, "oversize")
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """A message is whole."""
        self.started = False
        status = self.parser.get_status_code()
        if status < 200 or self.done is not None:
            return
        self.messages += 1
        forward, headers = self.forward, self.headers
        assert forward is not None
        request = forward.flow.message
        assert isinstance(request, Request)
        told = headers.get(b"x-attempt-id")
        if told is not None and told != request.ident:
            # An extra answer to an earlier request: nobody's any more, and the right one may still come.
            self.shared.stats["answers.stray"] += 1
            log(
                "stray-answer", server=self.upstream_pool.upstream.ident, status=status,
                attempt=request.ident.decode("latin-1"), stamped=told.decode("latin-1"),
            )  # fmt: skip
            self.keep = False
            return
        self.keep = self.keep and self.parser.should_keep_alive()
        if kept := headers.get(b"keep-alive"):
            self.read_keep_alive(kept)
        body, pairs = self.body, self.pairs
        named = headers.get(b"connection", b"").lower()
        if named not in PLAIN:
            hop = {token.strip() for token in named.split(b",")}
            pairs = [pair for pair in pairs if pair[0] not in hop]
        framed = b"content-length" in headers or headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        if status == 421:
            self.done = api.Code.FULL, None, MISROUTED
        elif b"x-not-executed" in headers and status >= 400:
            self.done = api.Code.FULL, None, NOTHING
        elif told is None or not (framed or status in (204, 304) or request.method == b"HEAD"):
            self.done = api.Code.RESET, None, NOTHING
        elif status >= 500:
            self.done = api.Code.ERROR, Answer(status, pairs, body, told), NOTHING
        elif status < 300 and (b"x-server-seal" not in headers or b"content-encoding" in headers):
            self.shared.stats["answers.spoilt"] += 1
            self.keep = False
            self.done = api.Code.RESET, None, NOTHING
        else:
            self.done = api.Code.OK, Answer(status, pairs, body, told), NOTHING

    def read_keep_alive(self, text: bytes) -> None:
        """How long its server keeps it idle, as a ``Keep-Alive`` header says."""
        for item in text.split(b","):
            name, _, value = item.strip().partition(b"=")
            seconds = read_decimal(value) if name.lower() == b"timeout" else None
            if seconds is not None:
                self.idle_limit = seconds * IDLE_PART

    def deliver(self, fault: str) -> None:
        """Hand the answer on; the connection goes back first, as a further attempt may follow."""
        forward, done = self.forward, self.done
        assert forward is not None and done is not None
        self.forward = self.done = forward.connection = None
        if fault or not self.keep:
            self.end(fault or "asked_close")
        else:
            self.upstream_pool.keep(self)
        code, answer, report = done
        if forward.flow.closed:
            self.shared.stats["answers.late"] += 1
        self.upstream_pools.core.attempt_ended(forward, code, self.shared.clock.now(), answer, report)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        unwritten = self.transport is not None and self.transport.get_write_buffer_size() > 0
        super().connection_lost(exc)
        self.upstream_pool.closed(self)
        now = self.shared.clock.now()
        report = NOTHING
        if (
            self.forward is not None
            and self.messages
            and not self.started
            and now - self.written_at < AT_ONCE
        ):
            self.upstream_pools.wary[self.upstream_pool.upstream.service] = now + WARY
            self.shared.stats["servers.forgot"] += 1
            report = FORGOT
        self.finish(api.Code.UNREACHABLE if unwritten and self.messages == 0 else api.Code.RESET, report)

    def finish(self, code: api.Code, report: dict[str, float] = NOTHING) -> None:
        """The forward on it is over without an answer."""
        forward, self.forward = self.forward, None
        if forward is not None:
            forward.connection = None
            self.upstream_pools.core.attempt_ended(forward, code, self.shared.clock.now(), None, report)


class UpstreamPool:
    """One life of a server, with its connections; idle ones, the newest last."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.idle: list[ServerConnection] = []
        self.open = 0

    def take(self, now: float, most: float = math.inf) -> ServerConnection | None:
        """The one used last that has rested, if any; ``most``: s that it may have been idle."""
        for place in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[place]
            if now - connection.idle_since < REST:
                continue
            if now - connection.idle_since > most:
                break  # those before it have been idle for longer
            del self.idle[place]
            if connection.lost or connection.transport is None or connection.transport.is_closing():
                continue
            if now - connection.idle_since < connection.idle_limit:
                return connection
            connection.end("idle")
        return None

    def keep(self, connection: ServerConnection) -> None:
        """It rests until its next forward."""
        if len(self.idle) < KEPT:
            connection.idle_since = connection.shared.clock.now()
            self.idle.append(connection)
        else:
            connection.end("not_kept", flush=True)

    def closed(self, connection: ServerConnection) -> None:
        """A connection has ended."""
        self.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self, now: float) -> None:
        """Close what has rested for too long; ``now`` in s."""
        while self.idle and now - self.idle[0].idle_since >= self.idle[0].idle_limit:
            self.idle.pop(0).end("idle")

    def close_idle(self, code: str) -> None:
        """Close all that rest, for this reason."""
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.end(code)


class UpstreamPools:
    """All servers' connections; carries forwards to them."""

    core: LineCore  # comes once it is made, as it needs this port

    def __init__(self, shared: Shared, stock: Stock, most_body: int) -> None:
        self.shared, self.stock, self.most_body = shared, stock, most_body
        self.upstream_pools_by_life: dict[str, UpstreamPool] = {}
        self.wary: dict[str, float] = {}  # services whose servers forget idle connections, and until when
        self.caps: dict[str, int] = {}  # connections that a server of a service takes, from all callers
        self.free_client: Any = lambda: False

    def forward(self, forward: Attempt) -> None:
        """Send it on a connection that rests, or on a new one."""
        now = self.shared.clock.now()
        upstream = self.stock.upstreams.get(forward.target)
        if upstream is None or upstream.state:
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        upstream_pool = self.upstream_pools_by_life.get(upstream.ident)
        if upstream_pool is None or upstream_pool.upstream is not upstream:
            if upstream_pool is not None:  # it was taken for gone, and came back
                upstream_pool.close_idle("server_gone")
            upstream_pool = self.upstream_pools_by_life[upstream.ident] = UpstreamPool(upstream)
        route = getattr(forward.flow.request, "route", None)
        wary = now < self.wary.get(upstream.service, 0.0) and not (route is not None and route.repeatable)
        connection = upstream_pool.take(now, WARY_IDLE) if wary else upstream_pool.take(now)
        if connection is not None:
            connection.forward = forward
            self.write(connection)
            return
        cap = self.caps.get(upstream.service, 0)
        if cap and upstream_pool.open >= max(int(cap * PART_OF_CAP / len(self.stock.gateways)), CAP_LEAST):
            self.shared.stats["servers.no_connection"] += 1
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        if self.shared.sockets.left <= 0 and not self.free_one():
            self.shared.stats["servers.no_socket"] += 1
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        self.shared.stats["servers.opened"] += 1
        upstream_pool.open += 1
        connection = ServerConnection(self, upstream_pool, forward)
        forward.connection = connection
        far = CONNECT_FAR if upstream.region != self.stock.region else 0.0
        connection.dial((upstream.host, upstream.port), CONNECT + far)

    def write(self, connection: ServerConnection) -> None:
        """The last look before the first byte: the server may leave, or the right have ended meanwhile."""
        forward, now = connection.forward, self.shared.clock.now()
        assert forward is not None and connection.transport is not None
        upstream = connection.upstream_pool.upstream
        gone = bool(upstream.state) or upstream.zone in self.stock.evacuated
        if gone or self.core.lease_expired(forward.flow) or forward.deadline <= now:
            connection.forward = forward.connection = None
            if gone:
                connection.end("server_gone")
            else:
                connection.upstream_pool.keep(connection)
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        forward.connection = connection
        connection.pairs, connection.written_at = [], now
        request = forward.flow.message
        assert isinstance(request, Request)
        left = max(int((forward.deadline - now) * 1000), 1)
        tenant = b"X-Tenant-Name: %b\r\n" % request.tenant if request.tenant else b""
        size = b""
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            size = b"Content-Length: %d\r\n" % len(request.body)
        self.shared.stats["forwards.sent"] += 1
        connection.transport.write(
            b"%bX-Deadline-Remaining: %d\r\nX-Expected-Instance: %b\r\n%b%b\r\n%b"
            % (request.head, left, upstream.ident.encode("latin-1"), tenant, size, request.body)
        )

    def drop(self, forward: Attempt) -> None:
        """Closing the connection is what calls a forward off."""
        connection = forward.connection
        forward.connection = None
        if isinstance(connection, ServerConnection):
            connection.forward = None
            connection.end("cancelled")

    def sweep(self, now: float) -> None:
        """Close what has stood idle too long, and forget servers that are gone."""
        for ident, upstream_pool in list(self.upstream_pools_by_life.items()):
            upstream_pool.sweep(now)
            if upstream_pool.upstream.state:
                upstream_pool.close_idle("server_gone")
                if not upstream_pool.open:
                    del self.upstream_pools_by_life[ident]

    def free_one(self) -> bool:
        """Close the connection that has been idle longest, of all servers."""
        heads = [
            upstream_pool.idle for upstream_pool in self.upstream_pools_by_life.values() if upstream_pool.idle
        ]
        if not heads:
            return False
        min(heads, key=lambda idle: idle[0].idle_since).pop(0).end("sockets")
        return True
