"""The clients' side: takes requests in, and carries final answers back."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from functools import lru_cache

import httptools

from barleyhub import interface as api
from latchspoke.core import Core, Flow
from latchspoke.net.http import (
    GRACE,
    MOST_BODY,
    MOST_HEAD,
    Answer,
    Connection,
    FramingError,
    Message,
    ParserError,
    Shared,
    Source,
    Upload,
    parse_error,
    read_decimal,
    response,
)

METHODS = {b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"}
READ_TIME = 3.0  # s; for a head to come whole, once it has begun, and between two pieces of a body
MOST_UPLOAD = 64 * 1024 * 1024  # bytes of a body
TAKE_TIME = 60.0  # s; a client that takes nothing of its answer for so long is given up
FIRST_TIME = 2.0  # s; for the first request of a connection to begin
IDLE_TIME = 5.0  # s; a connection that has had an answer is kept so long for the next request
LINGER = 1.0  # s; after a refusal of bad input the rest is read and dropped, so that it arrives
DROP_MOST = 1024 * 1024  # bytes; what comes beyond is left unread meanwhile: reading it costs CPU
SHARE = 2 / 3  # of the sockets are for clients at most; forwards take the rest
KEPT_SHARE = 1 / 8  # of the sockets; clients that wait with an answer may hold no more for their next request
HEX = frozenset(b"0123456789abcdefABCDEF")
KEY_MOST = 1 << 33  # customers' numbers are below this
DEADLINE_MOST = 3600.0  # s
SINGLE = frozenset((b"req-id", b"req-kind", b"x-tier", b"req-deadline", b"x-call-terms", b"idempotency-key"))
HIGH = 64 * 1024  # bytes written and not taken off yet, beyond which no more is read for a client
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
        self.upload: Upload | None = None  # the body that is being sent on
        self.held = False
        self.source: Source | None = None  # of the answer that is being passed on
        self.chunked = False
        self.taken_at: float | None = None  # since when it has taken nothing of that
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(HIGH)
        self.listener.joined(self)

    def data_received(self, data: bytes) -> None:
        if self.ending or self.fault is not None:
            self.drop(len(data))  # what follows a fault
            return
        try:
            self.feed(data)
            self.bound_head(len(data))
            if self.started and not self.held and (self.headed or self.place is not self.listener.reading):
                self.put(self.listener.reading)
        except ParserError as e:
            self.refuse(parse_error(e))

    def feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as e:
            # An offer to speak something else may be passed over; the parser has ended by it.
            self.parser = httptools.HttpRequestParser(self)
            if rest := data[e.args[0] :]:
                self.feed(rest)

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
        if self.upload is not None:
            self.cut_upload()
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
        if self.headed:
            return
        name = name.lower()
        # Of two, a target or another gateway might go by the other one.
        if name in SINGLE and name in self.headers:
            raise bad("repeated header")
        self.headers[name] = value.strip(b" \t")

    def origin(self) -> None:
        """A target may be told in its absolute form."""
        if self.url[:7].lower() == b"http://":
            self.url = b"/" + self.url[7:].partition(b"/")[2]

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MOST_HEAD:
            raise FramingError(431, "oversize")

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        self.origin()
        if (self.length or 0) > MOST_UPLOAD:
            raise FramingError(413, "oversize")
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def length(self) -> int | None:
        told = self.headers.get(b"content-length", b"")
        return int(told) if told.isdigit() and b"transfer-encoding" not in self.headers else None

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > MOST_UPLOAD:
            raise FramingError(413, "oversize")
        if self.upload is not None:
            self.upload.put(part)
            return
        self.parts.append(part)
        if self.size > MOST_BODY:
            self.begin_upload()

    def begin_upload(self) -> None:
        """A body too large to be held: the request is decided now, and the body goes on as it comes."""
        method: bytes = self.parser.get_method()
        if self.url.startswith(b"/-/"):
            raise FramingError(413, "oversize")
        parts, self.parts = self.parts, []
        self.upload = Upload(self.length, parts, self.hold)
        self.take(method, b"", self.upload)

    def hold(self, held: bool) -> None:
        """Read no further for now, as the target takes nothing; that is no fault of this client's."""
        if self.transport is None or self.lost or held == self.held:
            return
        self.held = held
        if held:
            self.transport.pause_reading()
            self.put(None)
        else:
            self.transport.resume_reading()
            if self.started:
                self.put(self.listener.reading)

    def cut_upload(self) -> None:
        """The rest of a body will not come: no target may wait for it."""
        upload, self.upload = self.upload, None
        flow, self.flow = self.flow, None
        if flow is not None:
            self.listener.core.withdraw(flow, self.shared.clock.now())
        if upload is not None and upload.sink is not None:
            upload.sink.abandon()

    def uploaded(self) -> None:
        upload, self.upload = self.upload, None
        assert upload is not None
        self.put(None)
        upload.end()
        if self.flow is not None:
            self.listener.core.body_received(self.flow, self.shared.clock.now())
        else:
            self.over()  # it had its answer before

    def on_message_complete(self) -> None:
        self.started = False
        self.messages += 1
        self.keep = self.parser.should_keep_alive()
        if self.upload is not None:
            self.uploaded()
            return
        method: bytes = self.parser.get_method()
        path = self.url.partition(b"?")[0]
        if path.startswith(b"/-/"):
            self.status(path)
            return
        self.take(method, self.body, None)

    def take(self, method: bytes, body: bytes, upload: Upload | None) -> None:
        if method not in METHODS:
            raise FramingError(405, "method not served")
        core = self.listener.core
        request = read_request(self.url, self.headers, core.gateway.settings)
        if reason := core.rejection_reason(request):
            raise bad(reason)
        headers = self.headers
        message = Message(
            method,
            self.url,
            headers[b"req-id"],
            body,
            headers.get(b"content-type", b""),
            headers.get(b"idempotency-key", b""),
            upload,
        )
        now = self.shared.clock.now()
        self.put(None)
        self.flow = core.accept(request, message, self, now)
        if upload is not None:
            core.expect_body(self.flow)
        flow = self.flow
        core.begin(flow, now)
        if flow.lease is not None:
            self.rules = flow.lease.label

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
        kind = b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
        if answer.source is None:
            self.count("answered")
            self.write(response(200, answer.body, kind, self.closing))
        else:
            self.begin_passing(answer, answer.source, kind)

    def count(self, end: str) -> None:
        if self.flow is not None:
            self.shared.stats[f"{end}.{self.flow.request.service}"] += 1

    def begin_passing(self, answer: Answer, source: Source, kind: bytes) -> None:
        """The head now, the body as it comes; where its size is not known, in chunks or up to the close."""
        if self.transport is None or self.lost or self.transport.is_closing():
            source.leave()
            return
        self.source = source
        self.chunked = answer.size is None and self.parser.get_http_version() == "1.1"
        if answer.size is not None:
            size = b"Content-Length: %d\r\n" % answer.size
        elif self.chunked:
            size = b"Transfer-Encoding: chunked\r\n"
        else:
            size, self.keep = b"", False
        end = b"Connection: close\r\n\r\n" if self.closing else b"\r\n"
        self.transport.write(b"HTTP/1.1 200 OK\r\n%b%b%b" % (size, kind, end))
        if answer.body:
            self.pass_on(answer.body)

    def pass_on(self, part: bytes) -> None:
        if self.transport is None or self.lost or self.transport.is_closing():
            return
        if self.chunked:
            self.transport.writelines((b"%x\r\n" % len(part), part, b"\r\n"))
        else:
            self.transport.write(part)

    def passed(self, whole: bool) -> None:
        """The answer's end, or where it was broken off, which the client can tell."""
        self.source = None
        self.shared.stats["flows.passed" if whole else "flows.cut"] += 1
        self.count("answered" if whole else "errored")
        if whole:
            self.write(b"0\r\n\r\n" if self.chunked else b"")
        else:
            self.flow = None
            self.put(None)
            self.end("answer_cut", flush=self.chunked or self.keep)

    def pause_writing(self) -> None:
        self.taken_at = self.shared.clock.now()
        if self.source is not None:
            self.source.hold(True)

    def resume_writing(self) -> None:
        self.taken_at = None
        if self.source is not None:
            self.source.hold(False)

    def refused(self, retry_after: float | None) -> None:
        pause = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        self.write(response(429, b"", pause, self.closing))

    def failed(self, failure: object | None) -> None:
        self.write(response(502, close=self.closing))

    def write(self, data: bytes) -> None:
        self.flow = None
        if self.transport is None or self.lost or self.transport.is_closing():
            return
        if data:
            self.transport.write(data)
        if self.upload is None:
            self.over()
        else:
            self.upload.drop()  # what is still to come is read, as the client may not listen before

    def over(self) -> None:
        """The request has come and has its answer; which may be out before all of a body is in."""
        if self.transport is None or self.lost or self.transport.is_closing():
            return
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
        if self.upload is not None:
            self.cut_upload()
        flow, self.flow = self.flow, None
        source, self.source = self.source, None
        if source is not None:
            source.leave()
            self.shared.stats["flows.left"] += 1
        if flow is not None:
            self.listener.core.withdraw(flow, self.shared.clock.now())


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
            for client in itertools.takewhile(lambda c: now - c.since >= least, place):  # noqa: B023
                if client.end_idle("sockets"):
                    client.put(None)
                    return True
        return False

    def keep(self, client: ClientConnection) -> None:
        """Clients may hold only so many connections, and some hold all of theirs without asking again.

        The one that has waited longest makes room for them to open others; who asks often is not hit.
        """
        client.put(self.kept)
        if len(self.kept) > self.most_kept:
            oldest = next((c for c in self.kept if c.end_idle("not_kept", flush=True)), None)
            if oldest is not None:
                oldest.put(None)

    def sweep(self, now: float) -> None:
        """A client that asks nothing, or never all of it, must not hold its connection for good."""
        for place, limit, code in (
            (self.fresh, FIRST_TIME, "no_request"),
            (self.reading, READ_TIME, "read_timeout"),
            (self.kept, IDLE_TIME, "idle"),
        ):
            for client in [*itertools.takewhile(lambda c: now - c.since > limit, place)]:  # noqa: B023
                if client.end_idle(code):
                    client.put(None)

        for client in [c for c in self.clients if c.taken_at is not None and now - c.taken_at > TAKE_TIME]:
            client.end("not_taken")

    def close_idle(self) -> None:
        """Those with nothing under way; who has connected a moment ago is about to ask, and may."""
        now = self.shared.clock.now()
        for client in [*(c for c in self.fresh if now - c.since >= GRACE), *self.kept]:
            if client.end_idle("drained", flush=True):
                client.put(None)

    @property
    def current(self) -> int:
        """Requests taken and not yet ended."""
        return sum(client.flow is not None for client in self.clients)

    @property
    def busy_count(self) -> int:
        return len(self.clients) - len(self.fresh) - len(self.kept)
