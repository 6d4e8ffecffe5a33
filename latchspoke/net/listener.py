"""The clients' side: takes requests in, and carries final answers back."""

from __future__ import annotations

import asyncio
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
    read_decimal,
    response,
)

METHODS = {b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"}
READ_TIME = 2.0  # s; for a request to come whole, once it has begun
FIRST_TIME = 2.0  # s; for the first request of a connection to begin
IDLE_TIME = 5.0  # s; a connection that has had an answer is kept so long for the next request
LINGER = 1.0  # s; after a refusal of bad input the rest is read and dropped, so that it arrives
DROP_MOST = 1024 * 1024  # bytes; what comes beyond is left unread meanwhile: reading it costs CPU
SHARE = 2 / 3  # of the sockets are for clients at most; forwards take the rest
KEPT_SHARE = 1 / 8  # of the sockets; clients that wait with an answer may hold no more for their next request
GRACE = 0.5  # s; who has just connected is about to ask, and goes last when sockets are short
HEX = frozenset(b"0123456789abcdefABCDEF")
KEY_MOST = 1 << 33  # customers' numbers are below this
DEADLINE_MOST = 3600.0  # s
SINGLE = frozenset((b"req-id", b"req-kind", b"x-tier", b"req-deadline", b"x-call-terms"))
CACHED_MOST = 128  # bytes; only short texts are kept, so that the caches stay small


def bad(reason: str) -> FramingError:
    return FramingError(400, reason)


def read_number(text: bytes, name: str, least: float, most: float) -> float:
    value = read_decimal(text)
    if value is None:
        raise bad(f"{name} is no number")
    if not least <= value <= most:
        raise bad(f"{name} is out of range")
    return value


def read_whole(text: bytes, name: str, least: int, most: int) -> int:
    value = read_number(text, name, least, most)
    if not value.is_integer():
        raise bad(f"{name} is no whole number")
    return int(value)


def read_url(url: bytes, kind: bytes) -> tuple[str, str]:
    """The customer and the class."""
    if not url.startswith(b"/" + kind) or url[len(kind) + 1 : len(kind) + 2] not in (b"", b"/", b"?"):
        raise bad("path and class differ")
    for part in url.partition(b"?")[2].split(b"&"):
        name, _, value = part.partition(b"=")
        if name == b"key":
            # Told apart by number: other ways to write one key would be other customers.
            if not 0 < len(value) <= 16 or not HEX.issuperset(value) or int(value, 16) >= KEY_MOST:
                break
            return value.decode().lower().zfill(16), kind.decode("latin-1")
    raise bad("no customer's key")


def read_terms(text: bytes, largest: float, gateways: int) -> tuple[float, int, int]:
    """Units, spread, and the first gateway of the set."""
    terms: dict[bytes, bytes] = {}
    for item in text.split(b","):
        name, _, value = item.strip().partition(b"=")
        terms[name] = value
    units = read_number(terms.get(b"units", b"1"), "units", 0.0, largest)
    if not units:
        raise bad("units is out of range")
    return (
        units,
        read_whole(terms.get(b"spread", b"1"), "spread", 1, gateways),
        read_whole(terms.get(b"first", b"0"), "first", 0, gateways - 1),
    )


# The same customers come again and again, so what their requests share is read once.
cached_url, cached_terms = lru_cache(512)(read_url), lru_cache(512)(read_terms)


def read_request(url: bytes, headers: dict[bytes, bytes], settings: api.Settings) -> api.Request:
    """The module's request from the line and headers; raises what is to be answered."""
    ident, kind, plan = headers.get(b"req-id"), headers.get(b"req-kind"), headers.get(b"x-tier")
    if not ident or not kind or not plan:
        raise bad("no id, class or plan")
    customer, service = (cached_url if len(url) <= CACHED_MOST else read_url)(url, kind)
    text = headers.get(b"x-call-terms", b"")
    terms = cached_terms if len(text) <= CACHED_MOST else read_terms
    units, spread, first = terms(text, settings.largest, settings.gateways)
    left = read_number(headers.get(b"req-deadline", b""), "deadline", 0.0, DEADLINE_MOST)
    if left <= 0:
        raise bad("deadline is over")
    return api.Request(
        ident.decode("latin-1"), customer, service, plan.decode("latin-1"), units, left, spread, first
    )


class Place(dict["ClientConnection", None]):
    """Connections that wait for the same thing, in the order of their coming."""


class ClientConnection(Connection):
    """One client's connection: one request at a time, others are refused in turn."""

    side = "client"

    def __init__(self, listener: Listener) -> None:
        super().__init__(listener.shared)
        self.listener = listener
        self.flow: Flow | None = None
        self.fault: FramingError | None = None  # to be answered when the flow is
        self.ending = False
        self.dropped = 0
        self.keep = True
        self.place: Place | None = None
        self.since = self.opened_at
        self.url = b""
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.listener.joined(self)

    def data_received(self, data: bytes) -> None:
        if self.ending or self.fault is not None:
            self.drop(len(data))  # what follows a fault
            return
        try:
            self.parser.feed_data(data)
            self.bound_head(len(data))
            if self.started and self.place is not self.listener.reading:
                self.put(self.listener.reading)
        except httptools.HttpParserUpgrade:
            self.refuse(bad("upgrade"))
        except ParserError as e:
            self.refuse(parse_error(e))

    def put(self, place: Place | None) -> None:
        """Among those that wait there, the last to come last; None while a flow is under way or it ends."""
        if self.place is not None:
            self.place.pop(self, None)
        self.place = place
        if place is not None:
            self.since = self.shared.clock.now()
            place[self] = None

    def drop(self, size: int) -> None:
        self.dropped += size
        if self.dropped > DROP_MOST and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def refuse(self, fault: FramingError) -> None:
        """Bad input gets its answer and a close, but never before the flow that is under way."""
        self.fault = fault
        if self.flow is None:
            self.answer_fault()

    def answer_fault(self) -> None:
        if self.fault is None or self.transport is None or self.lost:
            return
        fault, self.ending = self.fault, True
        self.put(None)
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

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        # Of two, a target or another gateway might go by the other one.
        if name in SINGLE and name in self.headers:
            raise bad("repeated header")
        self.headers[name] = value

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
        core = self.listener.core
        request = read_request(self.url, self.headers, core.gateway.settings)
        if reason := core.refusal(request):
            raise bad(reason)
        message = Message(
            method, self.url, self.headers[b"req-id"], self.body, self.headers.get(b"content-type", b"")
        )
        now = self.shared.clock.now()
        self.put(None)
        self.flow = core.arrived(request, message, self, now)
        flow = self.flow
        core.begin(flow, now)
        if flow.epoch is not None:
            self.rules = flow.epoch.label

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
        self.flow = None
        if self.transport is None or self.lost or self.transport.is_closing():
            return
        self.transport.write(data)
        if self.fault is not None:
            self.answer_fault()
        elif self.closing:
            self.ending = True
            self.put(None)
            self.end("drained" if self.listener.stopping else "asked_close", flush=True)
        else:
            self.listener.keep(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.put(None)
        self.listener.clients.discard(self)
        flow, self.flow = self.flow, None
        if flow is not None:
            self.listener.core.withdrawn(flow, self.shared.clock.now())


class Listener:
    """All clients' connections."""

    def __init__(self, shared: Shared, core: Core, free_target: Callable[[], bool]) -> None:
        self.shared, self.core, self.free_target = shared, core, free_target
        self.clients: set[ClientConnection] = set()
        # Each in the order of their coming: no request yet, half a request, an answer and no request since.
        self.fresh, self.reading, self.kept = Place(), Place(), Place()
        self.most = int(shared.sockets.most * SHARE)
        self.most_kept = max(int(shared.sockets.most * KEPT_SHARE), 1)
        self.ready = self.stopping = False

    def joined(self, client: ClientConnection) -> None:
        """Make room for one more; a client must not fail for want of a socket we could free."""
        self.clients.add(client)
        self.shared.stats["clients.accepted"] += 1
        scarce = self.shared.sockets.left < 0
        if (scarce or len(self.clients) > self.most) and not (
            self.free_client() or (scarce and self.free_target())
        ):
            client.end("sockets")
        else:
            client.put(self.fresh)

    def free_client(self) -> bool:
        """Close the one that has waited longest; those that let an answer wait may only hold sockets."""
        now = self.shared.clock.now()
        waits = (
            (self.fresh, GRACE),
            (self.reading, GRACE),
            (self.kept, 0.0),
            (self.reading, 0.0),
            (self.fresh, 0.0),
        )
        for place, least in waits:
            client = next(iter(place), None)
            if client is not None and now - client.since >= least:
                client.put(None)
                client.end("sockets")
                return True
        return False

    def keep(self, client: ClientConnection) -> None:
        """Clients may hold only so many connections, and some hold all of theirs without asking again.

        The one that has waited longest makes room for them to open others; who asks often is not hit.
        """
        client.put(self.kept)
        if len(self.kept) > self.most_kept:
            oldest = next(iter(self.kept))
            oldest.put(None)
            oldest.end("not_kept", flush=True)

    def sweep(self, now: float) -> None:
        """A client that asks nothing, or never all of it, must not hold its connection for good."""
        for place, limit, code in (
            (self.fresh, FIRST_TIME, "no_request"),
            (self.reading, READ_TIME, "read_timeout"),
            (self.kept, IDLE_TIME, "idle"),
        ):
            while (client := next(iter(place), None)) and now - client.since > limit:
                client.put(None)
                client.end(code)

    def close_idle(self) -> None:
        for client in [*self.fresh, *self.kept]:
            client.put(None)
            client.end("drained", flush=True)

    @property
    def busy_count(self) -> int:
        return len(self.clients) - len(self.fresh) - len(self.kept)

    @property
    def busy(self) -> bool:
        return self.busy_count > 0
