"""HTTP/1.1 framing and the connection life cycle, shared by client, target, counter and discovery."""

from __future__ import annotations

import asyncio
import logging
import re
import select
from collections.abc import Callable, Coroutine
from socket import socket
from typing import Any, Protocol, cast

import httptools

from latchspoke.config import Address
from latchspoke.net.clock import Clock, Timer
from latchspoke.net.framing import framed_size_limit
from latchspoke.net.stats import Stats

log = logging.getLogger("latchspoke.connection")

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def join_part(parts: list[bytes | bytearray], part: bytes) -> None:
    """Add a part of a body to the one piece that was kept of it, if any; alone, a short part takes far more.

    A first part is kept as it is, without a copy.
    """
    if not parts:
        parts.append(part)
        return
    if isinstance(parts[0], bytes):
        parts[0] = bytearray(parts[0])
    parts[0] += part


DECIMAL_PATTERN = re.compile(rb"[+-]?\d{1,32}(?:\.\d{0,32})?(?:[eE][+-]?\d{1,2})?")


def read_decimal(text: bytes) -> float | None:
    """Parse a decimal number from the network, or return None: unlike float(), rejects nan, inf and 1_0."""
    return float(text) if DECIMAL_PATTERN.fullmatch(text) else None


class FramingError(Exception):
    """Invalid input; ``status`` is the HTTP status of the error response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason

    def without_traceback(self) -> FramingError:
        """A copy to be kept: a traceback refers to the connection, and to the input that it has read."""
        return FramingError(self.status, self.reason)


class BodySink(Protocol):
    """Receiver of a request body that is streamed."""

    def send_part(self, part: bytes, last: bool) -> bool:
        """Return whether more can be sent now; if not, ``Upload.set_paused(False)`` is called later."""

    def abandon_upload(self) -> None:
        """Fail the attempt, as the rest of the body will not arrive."""


class Upload:
    """A request body that is streamed to a target; parts are not kept after they have been sent."""

    __slots__ = ("buffered_bytes", "complete", "consumed", "length", "parts", "set_paused", "sink")

    def __init__(self, length: int | None, start: bytes, set_paused: Callable[[bool], None]) -> None:
        """``length`` in bytes, if known; ``start``: what has been received."""
        self.length, self.set_paused = length, set_paused
        self.parts: list[bytes | bytearray] = [start]
        self.buffered_bytes = len(start)
        self.sink: BodySink | None = None
        # Whether all parts have arrived, and whether some were sent or dropped, which rules out a retry.
        self.complete = self.consumed = False

    def put(self, part: bytes) -> None:
        if self.sink is not None:
            if not self.sink.send_part(part, False):
                self.set_paused(True)
        elif not self.consumed:
            join_part(self.parts, part)
            self.buffered_bytes += len(part)
            if self.buffered_bytes > MAX_BODY_BYTES:
                self.set_paused(True)

    def end(self) -> None:
        self.complete = True
        if self.sink is not None:
            self.sink.send_part(b"", True)

    def attach(self, sink: BodySink) -> None:
        parts, self.parts, self.buffered_bytes = self.parts, [], 0
        self.sink, self.consumed = sink, True
        accepts_more = sink.send_part(b"".join(parts), self.complete)
        self.set_paused(not accepts_more)

    def drop(self) -> None:
        self.parts, self.buffered_bytes, self.consumed = [], 0, True
        self.set_paused(False)

    def detach(self, sink: BodySink) -> None:
        """Discard the remaining parts, which are still read."""
        if self.sink is sink:
            self.sink = None
            self.set_paused(False)


class RequestMessage:
    """The parts of a client's request that are forwarded, the same with each attempt.

    ``idempotency_key`` is the value of the header, empty if absent; servers use it to recognize a request
    that they have already run.
    """

    __slots__ = ("body", "content_type", "idempotency_key", "method", "request_id", "upload", "url")

    def __init__(
        self,
        method: bytes,
        url: bytes,
        request_id: bytes,
        body: bytes,
        content_type: bytes,
        idempotency_key: bytes = b"",
        upload: Upload | None = None,
    ) -> None:
        self.method, self.url, self.request_id, self.body = method, url, request_id, body
        self.content_type, self.idempotency_key = content_type, idempotency_key
        self.upload = upload


class BodySource(Protocol):
    """Sender of a response body that is streamed."""

    def set_paused(self, paused: bool) -> None:
        """Pause reading while the client's write buffer is full, or resume."""

    def cancel_response(self) -> None:
        """Stop, as the client has disconnected."""


class UpstreamResponse:
    """A target's response: complete, or the body so far with its source and, if known, its size in bytes."""

    __slots__ = ("body", "content_type", "size", "source")

    def __init__(
        self, body: bytes, content_type: bytes, source: BodySource | None = None, size: int | None = None
    ) -> None:
        self.body, self.content_type, self.source, self.size = body, content_type, source, size


RESPONSE_HEADS = {
    status: f"HTTP/1.1 {status} {text}\r\nContent-Length: ".encode()
    for status, text in REASON_PHRASES.items()
}


def format_response(status: int, body: bytes = b"", headers: bytes = b"", close: bool = False) -> bytes:
    end = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"%b%d\r\n%b%b%b" % (RESPONSE_HEADS[status], len(body), headers, end, body)


class Sockets:
    """Counts the sockets of this process against its limit."""

    # For descriptors that are not counted: standard streams, the event loop, the listener.
    RESERVED = 32

    def __init__(self, limit: int) -> None:
        self.descriptor_limit, self.used = limit, 0
        self.set_process_count(1)

    def set_process_count(self, processes: int) -> None:
        """Divide the limit among the processes of this gateway, while one replaces another."""
        self.max_used = max(self.descriptor_limit // processes - self.RESERVED, 8)

    @property
    def available(self) -> int:
        return self.max_used - self.used


class Dialer:
    """Opens connections, with one task for each of them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def open(self, connection: Connection, address: Address) -> Coroutine[Any, Any, Any]:
        return self.loop.create_connection(lambda: connection, *address)

    def dial(self, connection: Connection, address: Address) -> Callable[[], object]:
        """Start to connect; the returned function cancels that."""
        task = self.loop.create_task(self.open(connection, address))

        def on_done(task: asyncio.Task[Any]) -> None:
            # Also if the task was cancelled before its first step, to release the socket that was counted.
            if not task.cancelled() and task.exception() is None:
                return
            if connection.transport is None:
                connection.dial_failed("unreachable")
            elif not connection.lost:  # see ``Connection.dial_called_off``
                # Called off just as it opened: the event loop then closes it without telling.
                connection.connection_lost(None)

        task.add_done_callback(on_done)
        return task.cancel


class ConnectionContext:
    """Objects of the process that every connection uses."""

    def __init__(self, clock: Clock, stats: Stats, sockets: Sockets, dialer: Dialer) -> None:
        self.clock, self.stats, self.sockets, self.dialer = clock, stats, sockets, dialer


CONNECT_GRACE_S = 0.5  # a client that connected less than this ago is expected to send a request


def has_input(sock: socket) -> bool:
    """Whether the socket has unread bytes or, if it listens, connections to accept."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return any(event & select.POLLIN for _, event in poll.poll(0))


def has_pending_connections(server: asyncio.Server) -> bool:
    """Whether there are connections to accept; closing the server would reset them."""
    return any(has_input(sock) for sock in server.sockets)


class Connection(asyncio.BaseProtocol):
    """Base class of all connections: parses messages, and logs one line with the close code at the end."""

    side = "?"
    parser: Any  # of httptools; its calls come back to this object

    def __init__(self, context: ConnectionContext) -> None:
        self.context = context
        self.transport: asyncio.Transport | None = None
        self.dial_timer: Timer | None = None
        self.cancel_dial: Callable[[], object] | None = None
        self.peer = "?"
        self.close_code = ""
        self.lost = False
        self.message_count = 0
        self.rules_label = ""  # versions of the rules that its last request was decided by
        self.input_bytes = 0  # of the input that is being parsed
        self.unparsed_bytes = 0  # received since a head, a piece of a body or a message was complete
        self.opened_at = context.clock.now()
        context.sockets.used += 1
        self.reset_message_state()

    def dial(self, address: Address, limit: float) -> None:
        """Connect within the limit (s); ``on_dial_failed`` is called if that fails."""
        self.peer = f"{address[0]}:{address[1]}"
        self.cancel_dial = self.context.dialer.dial(self, address)
        self.dial_timer = self.context.clock.schedule(self.context.clock.now() + limit, self.dial_timed_out)

    def dial_timed_out(self, now: float) -> None:
        if self.transport is None:
            self.end("connect_timeout")

    def dial_failed(self, code: str) -> None:
        if not self.lost:
            self.lost, self.close_code = True, self.close_code or code
            self.record_end()
            self.on_dial_failed()

    def on_dial_failed(self) -> None:
        """Called if the connection could not be opened."""

    @property
    def dial_called_off(self) -> bool:
        """Whether this connection was given up before it opened; asked as it opens all the same.

        The event loop closes it right after that, so that nothing may be sent on it.
        """
        return bool(self.close_code)

    # Callbacks of the parser.

    def reset_message_state(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.parts: list[bytes | bytearray] = []  # one at most: see ``join_part``
        self.received_bytes = 0
        self.body_input_bytes = 0  # in inputs after that of the head, with the framing of chunks
        self.message_started = False
        self.headers_complete = False

    def on_message_begin(self) -> None:
        self.reset_message_state()
        self.message_started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.headers_complete:  # trailers of a chunked message are ignored
            self.headers[name.lower()] = value.strip(b" \t")

    def on_headers_complete(self) -> None:
        self.headers_complete = True
        self.received_bytes = self.unparsed_bytes = 0
        self.body_input_bytes = -self.input_bytes  # this input isn't counted: it holds the head, too

    def parse(self, data: bytes, head_limit: int = MAX_HEAD_BYTES) -> None:
        """Feed the parser. Raises FramingError for a head, trailer or chunk header above ``head_limit``.

        Also for a body whose chunks are framed by far more bytes than they hold.
        """
        self.input_bytes = len(data)
        self.unparsed_bytes += len(data)
        self.feed_parser(data)
        if self.unparsed_bytes > head_limit:
            raise FramingError(431, "oversize")
        if self.message_started and self.headers_complete:
            self.body_input_bytes += len(data)
            if self.body_input_bytes > framed_size_limit(self.received_bytes):
                raise FramingError(400, "framing")

    def feed_parser(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, part: bytes) -> None:
        self.unparsed_bytes = 0
        self.received_bytes += len(part)
        if self.received_bytes > MAX_BODY_BYTES:
            raise FramingError(413, "oversize")
        self.keep_part(part)

    def keep_part(self, part: bytes) -> None:
        """Keep a part of the body."""
        join_part(self.parts, part)

    def take_body(self) -> bytes:
        """Return the body received so far, which the connection no longer holds afterwards."""
        parts, self.parts = self.parts, []
        return bytes(parts[0]) if parts else b""

    # Callbacks of the transport.

    def data_received(self, data: bytes) -> None:
        """Handle input."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.dial_timer is not None:
            self.dial_timer.cancel()
        peer: Any = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "?"

    def eof_received(self) -> bool | None:
        self.close_code = self.close_code or "peer_closed"
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.parts = []  # the parser refers to the connection, so that both may live on for a while
        self.close_code = self.close_code or ("peer_reset" if exc else "peer_closed")
        self.record_end()

    @property
    def has_unread_input(self) -> bool:
        """Whether the socket holds bytes that the event loop has not read yet."""
        sock: Any = self.transport.get_extra_info("socket") if self.transport is not None else None
        return sock is not None and has_input(sock) and not self.lost

    def end_if_idle(self, code: str, flush: bool = False) -> bool:
        """Close an idle connection; False if unread input has arrived, which may be the next request.

        Closing a socket with unread input resets the connection, and the other side loses the part of the
        last response that it has not read yet.
        """
        if self.has_unread_input:
            return False
        self.end(code, flush)
        return True

    def record_end(self) -> None:
        """Release the socket, and count and log the close code."""
        self.context.sockets.used -= 1
        age = self.context.clock.now() - self.opened_at
        self.context.stats[f"closed.{self.side}.{self.close_code}"] += 1
        log.info(
            "side=%s peer=%s code=%s messages=%d age=%.3f%s",
            self.side, self.peer, self.close_code, self.message_count, age,
            self.rules_label and f" rules={self.rules_label}",
        )  # fmt: skip

    def end(self, code: str, flush: bool = False) -> None:
        """Close with this code; buffered output is sent first only if flush is set."""
        self.close_code = self.close_code or code
        if self.transport is None:
            if self.cancel_dial is not None:
                self.cancel_dial()
        elif flush:
            self.transport.close()
        else:
            self.transport.abort()


def parse_error(error: Exception) -> FramingError:
    """Return the FramingError that a parser callback raised, which the parser wraps, or a generic one."""
    inner: BaseException | None = error
    while inner is not None:
        if isinstance(inner, FramingError):
            return inner
        inner = inner.__cause__ or inner.__context__
    return FramingError(400, "not_http")


ParserError = (httptools.HttpParserError, FramingError)
