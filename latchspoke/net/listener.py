"""The clients' side: takes requests in, and carries final answers back."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import lru_cache

import httptools

from barleyhub import interface as api
from latchspoke.core import Core, Flow
from latchspoke.net.http import (
    MOST_BODY,
    MOST_HEAD,
    Answer,
    Connection,
    FramingError,
    Message,
    ParserError,
    Shared,
    parse_error,
    response,
)

METHODS = {b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"}
READ_TIME = 10.0  # s; for a request to come whole, once it has begun
LINGER = 1.0  # s; after a refusal of bad input the rest is read and dropped, so that it arrives
HEX = frozenset(b"0123456789abcdefABCDEF")


def bad(reason: str) -> FramingError:
    return FramingError(400, reason)


def read_number(text: str | bytes, name: str, least: float = 0.0) -> float:
    try:
        value = float(text)
    except ValueError:
        raise bad(f"{name} is no number") from None
    if not math.isfinite(value) or value < least:
        raise bad(f"{name} is out of range")
    return value


# The same customers come again and again, so what their requests share is read once. The number of
# entries bounds the memory: a URL has at most MOST_HEAD bytes.
@lru_cache(1024)
def read_url(url: bytes, kind: bytes) -> tuple[str, str]:
    """The customer and the class."""
    if not url.startswith(b"/" + kind) or url[len(kind) + 1 : len(kind) + 2] not in (b"", b"/", b"?"):
        raise bad("path and class differ")
    for part in url.partition(b"?")[2].split(b"&"):
        name, _, value = part.partition(b"=")
        if name == b"key" and value and HEX.issuperset(value):
            return value.decode(), kind.decode("latin-1")
    raise bad("no customer's key")


@lru_cache(1024)
def read_terms(text: bytes) -> tuple[float, int, int]:
    """Units, spread, and the first gateway of the set."""
    terms: dict[str, str] = {}
    for item in text.decode("latin-1").split(","):
        name, _, value = item.strip().partition("=")
        terms[name] = value
    return (
        read_number(terms.get("units", "1"), "units"),
        int(read_number(terms.get("spread", "1"), "spread", 1)),
        int(read_number(terms.get("first", "0"), "first")),
    )


def read_request(url: bytes, headers: dict[bytes, bytes]) -> api.Request:
    """The module's request from the line and headers; raises what is to be answered."""
    ident, kind, plan = headers.get(b"req-id"), headers.get(b"req-kind"), headers.get(b"x-tier")
    if not ident or not kind or not plan:
        raise bad("no id, class or plan")
    customer, service = read_url(url, kind)
    units, spread, first = read_terms(headers.get(b"x-call-terms", b""))
    left = read_number(headers.get(b"req-deadline", b""), "deadline")
    if left <= 0:
        raise bad("deadline is over")
    return api.Request(
        ident.decode("latin-1"), customer, service, plan.decode("latin-1"), units, left, spread, first
    )


class ClientConnection(Connection):
    """One client's connection: one request at a time, others are refused in turn."""

    side = "client"

    def __init__(self, listener: Listener) -> None:
        super().__init__(listener.shared)
        self.listener = listener
        self.flow: Flow | None = None
        self.fault: FramingError | None = None  # to be answered when the flow is
        self.ending = False
        self.keep = True
        self.since = self.opened_at
        self.url = b""
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.listener.joined(self)

    def data_received(self, data: bytes) -> None:
        if self.ending or self.fault is not None:
            return  # what follows a fault is read and dropped
        if not self.started:
            self.since = self.shared.clock.now()
        try:
            self.parser.feed_data(data)
            if self.started and not self.headed:
                self.size += len(data)
                if self.size > MOST_HEAD:
                    raise FramingError(431, "oversize")
        except httptools.HttpParserUpgrade:
            self.refuse(bad("upgrade"))
        except ParserError as e:
            self.refuse(parse_error(e))

    def refuse(self, fault: FramingError) -> None:
        """Bad input gets its answer and a close, but never before the flow that is under way."""
        self.fault = fault
        if self.flow is None:
            self.answer_fault()

    def answer_fault(self) -> None:
        if self.fault is None or self.transport is None or self.lost:
            return
        fault, self.ending = self.fault, True
        self.code = self.code or ("oversize" if fault.status in (413, 431) else "bad_request")
        self.shared.stats[f"clients.{fault.status}"] += 1
        self.transport.write(response(fault.status, f"{fault}\n".encode(), close=True))
        self.transport.write_eof()
        self.shared.clock.schedule(
            self.shared.clock.now() + LINGER, lambda now: self.end("linger", flush=True)
        )

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        # The protocol has one request at a time on a connection: a second one before the answer is
        # pipelined, and a request behind it must not be mixed up with the first.
        if self.flow is not None:
            raise bad("pipelined")
        super().on_message_begin()
        self.url = b""

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MOST_HEAD:
            raise FramingError(431, "oversize")

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > MOST_BODY:
            raise FramingError(413, "oversize")
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self) -> None:
        self.started = False
        self.messages += 1
        self.keep = self.parser.should_keep_alive()
        method: bytes = self.parser.get_method()
        path = self.url.partition(b"?")[0]
        if path.startswith(b"/-/"):
            self.status(path)
            return
        if method not in METHODS:
            raise FramingError(405, "method not served")
        request = read_request(self.url, self.headers)
        core = self.listener.core
        if reason := core.refusal(request):
            raise bad(reason)
        message = Message(
            method, self.url, self.headers[b"req-id"], self.body, self.headers.get(b"content-type", b"")
        )
        now = self.shared.clock.now()
        self.flow = core.arrived(request, message, self, now)
        core.begin(self.flow, now)

    def status(self, path: bytes) -> None:
        ready = path == b"/-/healthy" or (path == b"/-/ready" and self.listener.ready)
        known = path in (b"/-/ready", b"/-/healthy")
        self.write(response(200 if ready else 503 if known else 404, close=self.closing))

    # The core's answers.

    @property
    def closing(self) -> bool:
        return not self.keep or self.listener.stopping or self.fault is not None

    def served(self, answer: object) -> None:
        assert isinstance(answer, Answer)
        kind = answer.content_type
        self.write(response(200, answer.body, b"Content-Type: %b\r\n" % kind if kind else b"", self.closing))

    def refused(self, retry_after: float | None) -> None:
        pause = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        self.write(response(429, b"", pause, self.closing))

    def failed(self) -> None:
        self.write(response(502, close=self.closing))

    def write(self, data: bytes) -> None:
        self.flow, self.since = None, self.shared.clock.now()
        if self.transport is None or self.lost or self.transport.is_closing():
            return
        self.transport.write(data)
        if self.fault is not None:
            self.answer_fault()
        elif self.closing:
            self.ending = True
            self.end("drained" if self.listener.stopping else "asked_close", flush=True)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.listener.clients.discard(self)
        flow, self.flow = self.flow, None
        if flow is not None:
            self.listener.core.withdrawn(flow, self.shared.clock.now())


class Listener:
    """All clients' connections."""

    def __init__(self, shared: Shared, core: Core, free_one: Callable[[], bool]) -> None:
        self.shared, self.core, self.free_one = shared, core, free_one
        self.clients: set[ClientConnection] = set()
        self.ready = self.stopping = False

    def joined(self, client: ClientConnection) -> None:
        """Make room for one more; a client must not fail for want of a socket we could free."""
        self.clients.add(client)
        self.shared.stats["clients.accepted"] += 1
        if self.shared.sockets.left >= 0 or self.free_one():
            return
        idle = [c for c in self.clients if c is not client and self.idle(c)]
        oldest = min(idle, key=lambda c: c.since, default=client)
        oldest.end("sockets")

    def idle(self, client: ClientConnection) -> bool:
        # One that has a code is closed already, though its transport has yet to say so.
        return client.flow is None and not (client.started or client.ending or client.code)

    def sweep(self, now: float) -> None:
        """A request that never comes whole must not hold its connection for good."""
        for client in list(self.clients):
            if client.started and client.flow is None and now - client.since > READ_TIME:
                client.end("read_timeout")

    def close_idle(self) -> None:
        for client in list(self.clients):
            if self.idle(client):
                client.end("drained", flush=True)

    @property
    def busy(self) -> bool:
        return any(not self.idle(client) for client in self.clients)
