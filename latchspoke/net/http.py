"""HTTP/1.1 framing and the life of a connection, shared by all sides."""

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
from latchspoke.net.stats import Stats

log = logging.getLogger("latchspoke.connection")

MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024
REASONS = {
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


DECIMAL = re.compile(rb"[+-]?\d{1,32}(?:\.\d{0,32})?(?:[eE][+-]?\d{1,2})?")


def read_decimal(text: bytes) -> float | None:
    """The one reader of numbers from outside: plain decimals, and never nan, inf, 0x10 or 1_0."""
    return float(text) if DECIMAL.fullmatch(text) else None


class FramingError(Exception):
    """What came in can't be taken; the status says how to answer it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Sink(Protocol):
    """Where a body goes piece by piece."""

    def send_on(self, part: bytes, last: bool) -> bool:
        """Whether more can be taken now; else ``Upload.hold(False)`` follows."""

    def abandon(self) -> None:
        """The rest will never come."""


class Upload:
    """A body that goes on to a target while it comes in; none of it is kept once it has gone."""

    __slots__ = ("done", "hold", "length", "parts", "sink", "spent", "waiting")

    def __init__(self, length: int | None, parts: list[bytes], hold: Callable[[bool], None]) -> None:
        self.length, self.parts, self.hold = length, parts, hold
        self.waiting = sum(map(len, parts))
        self.sink: Sink | None = None
        # Whether all has come; whether some of it has gone, so that it can't go a second time.
        self.done = self.spent = False

    def put(self, part: bytes) -> None:
        if self.sink is not None:
            if not self.sink.send_on(part, False):
                self.hold(True)
        elif not self.spent:
            self.parts.append(part)
            self.waiting += len(part)
            if self.waiting > MOST_BODY:
                self.hold(True)

    def end(self) -> None:
        self.done = True
        if self.sink is not None:
            self.sink.send_on(b"", True)

    def attach(self, sink: Sink) -> None:
        parts, self.parts, self.waiting = self.parts, [], 0
        self.sink, self.spent = sink, True
        free = sink.send_on(b"".join(parts), self.done)
        self.hold(not free)

    def drop(self) -> None:
        self.parts, self.waiting, self.spent = [], 0, True
        self.hold(False)

    def detach(self, sink: Sink) -> None:
        """Nobody takes it any more: what is to come is read all the same, and dropped."""
        if self.sink is sink:
            self.sink = None
            self.hold(False)


class Message:
    """What of a client's request is passed on, with each of its attempts alike.

    ``idempotency_key`` is the header's value as it came, empty where there is none: a server that knows it
    drops the repeat of a request that it has run.
    """

    __slots__ = ("body", "content_type", "id", "idempotency_key", "method", "upload", "url")

    def __init__(
        self,
        method: bytes,
        url: bytes,
        ident: bytes,
        body: bytes,
        content_type: bytes,
        idempotency_key: bytes = b"",
        upload: Upload | None = None,
    ) -> None:
        self.method, self.url, self.id, self.body = method, url, ident, body
        self.content_type, self.idempotency_key = content_type, idempotency_key
        self.upload = upload


class Source(Protocol):
    """Where an answer comes from piece by piece."""

    def hold(self, held: bool) -> None:
        """Whether to read no further for now, as what has come is not taken off."""

    def leave(self) -> None:
        """Nobody wants the rest."""


class Answer:
    """A target's answer: whole, or as far as it has come, with its source and its size, if that is told."""

    __slots__ = ("body", "content_type", "size", "source")

    def __init__(
        self, body: bytes, content_type: bytes, source: Source | None = None, size: int | None = None
    ) -> None:
        self.body, self.content_type, self.source, self.size = body, content_type, source, size


HEADS = {status: f"HTTP/1.1 {status} {text}\r\nContent-Length: ".encode() for status, text in REASONS.items()}


def response(status: int, body: bytes = b"", headers: bytes = b"", close: bool = False) -> bytes:
    end = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"%b%d\r\n%b%b%b" % (HEADS[status], len(body), headers, end, body)


class Sockets:
    """The sockets of the whole process, against its limit."""

    # Kept free for what is not counted: standard streams, the loop's own, the listener.
    RESERVE = 32

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0
        self.share(1)

    def share(self, processes: int) -> None:
        """So many processes hold the limit together, while one replaces another."""
        self.most = max(self.limit // processes - self.RESERVE, 8)

    @property
    def left(self) -> int:
        return self.most - self.used


class Dialer:
    """Opens connections. That takes a task for each of them, not for each request: they are kept."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def open(self, connection: Connection, address: Address) -> Coroutine[Any, Any, Any]:
        return self.loop.create_connection(lambda: connection, *address)

    def dial(self, connection: Connection, address: Address) -> Callable[[], object]:
        """Begin to open it; the call that comes back stops this."""
        task = self.loop.create_task(self.open(connection, address))

        def settled(task: asyncio.Task[Any]) -> None:
            # Also one that was stopped before its first step has given its socket back.
            if (task.cancelled() or task.exception()) and connection.transport is None:
                connection.unopened("unreachable")

        task.add_done_callback(settled)
        return task.cancel


class Shared:
    """What every connection needs of the process."""

    def __init__(self, clock: Clock, stats: Stats, sockets: Sockets, dialer: Dialer) -> None:
        self.clock, self.stats, self.sockets, self.dialer = clock, stats, sockets, dialer


GRACE = 0.5  # s; a client that has just connected is about to ask


def readable(sock: socket) -> bool:
    """Whether bytes, or connections where it listens, are here that nobody has taken."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return any(event & select.POLLIN for _, event in poll.poll(0))


def pending(server: asyncio.Server) -> bool:
    """Whether connections have come up that are not taken in yet: closing the server would reset them."""
    return any(readable(sock) for sock in server.sockets)


class Connection(asyncio.Protocol):
    """One connection: parses messages, keeps its reason to end, and logs one line when it has."""

    side = "?"

    def __init__(self, shared: Shared) -> None:
        self.shared = shared
        self.transport: asyncio.Transport | None = None
        self.dial_timer: Timer | None = None
        self.stop_dialling: Callable[[], object] | None = None
        self.peer = "?"
        self.code = ""
        self.lost = False
        self.messages = 0
        self.rules = ""  # the versions by which its last request was decided
        self.opened_at = shared.clock.now()
        shared.sockets.used += 1
        self.begin()

    def dial(self, address: Address, limit: float) -> None:
        """Open it from this side, within the limit; ``on_unopened`` tells if that fails."""
        self.peer = f"{address[0]}:{address[1]}"
        self.stop_dialling = self.shared.dialer.dial(self, address)
        self.dial_timer = self.shared.clock.schedule(self.shared.clock.now() + limit, self.dial_overdue)

    def dial_overdue(self, now: float) -> None:
        if self.transport is None:
            self.end("connect_timeout")

    def unopened(self, code: str) -> None:
        if not self.lost:
            self.lost, self.code = True, self.code or code
            self.release()
            self.on_unopened()

    def on_unopened(self) -> None:
        """It never came up."""

    # The parser's callbacks.

    def begin(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []
        self.size = 0
        self.started = False
        self.headed = False

    def on_message_begin(self) -> None:
        self.begin()
        self.started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.headed:  # what follows a body, in a chunked message, is none of it
            self.headers[name.lower()] = value.strip(b" \t")

    def on_headers_complete(self) -> None:
        self.headed = True
        self.size = 0

    def bound_head(self, size: int) -> None:
        """After each piece of this size: a head that doesn't end must not be kept."""
        if self.started and not self.headed:
            self.size += size
            if self.size > MOST_HEAD:
                raise FramingError(431, "oversize")

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > MOST_BODY:
            raise FramingError(413, "oversize")
        self.parts.append(part)

    @property
    def body(self) -> bytes:
        return self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)

    # The transport's callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.dial_timer is not None:
            self.dial_timer.cancel()
        peer: Any = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "?"

    def eof_received(self) -> bool | None:
        self.code = self.code or "peer_closed"
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.code = self.code or ("peer_reset" if exc else "peer_closed")
        self.release()

    @property
    def unread(self) -> bool:
        """Whether bytes have come in that the loop has not handed on yet."""
        sock: Any = self.transport.get_extra_info("socket") if self.transport is not None else None
        return sock is not None and readable(sock) and not self.lost

    def end_idle(self, code: str, flush: bool = False) -> bool:
        """Close one on which nothing is under way; False if its next request is here and only not read yet.

        A close over unread bytes is a reset: it takes the request, and with it what the other side has not
        read of the answer before.
        """
        if self.unread:
            return False
        self.end(code, flush)
        return True

    def release(self) -> None:
        """The connection has ended: its socket is free again, and one line says why it ended."""
        self.shared.sockets.used -= 1
        age = self.shared.clock.now() - self.opened_at
        self.shared.stats[f"closed.{self.side}.{self.code}"] += 1
        log.info(
            "side=%s peer=%s code=%s messages=%d age=%.3f%s",
            self.side, self.peer, self.code, self.messages, age, self.rules and f" rules={self.rules}",
        )  # fmt: skip

    def end(self, code: str, flush: bool = False) -> None:
        """Close, for this reason; what was written goes out first only if flush is set."""
        self.code = self.code or code
        if self.transport is None:
            if self.stop_dialling is not None:
                self.stop_dialling()
        elif flush:
            self.transport.close()
        else:
            self.transport.abort()


def parse_error(error: Exception) -> FramingError:
    """The parser wraps what its callbacks raise."""
    inner: BaseException | None = error
    while inner is not None:
        if isinstance(inner, FramingError):
            return inner
        inner = inner.__cause__ or inner.__context__
    return FramingError(400, "not_http")


ParserError = (httptools.HttpParserError, FramingError)
