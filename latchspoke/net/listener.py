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
    CONNECT_GRACE_S,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    BodySource,
    Connection,
    ConnectionContext,
    FramingError,
    ParserError,
    RequestMessage,
    Upload,
    UpstreamResponse,
    format_response,
    parse_error,
    read_decimal,
)

METHODS = {b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"}
READ_TIMEOUT_S = 3.0  # s; for a head to come whole, once it has begun, and between two pieces of a body
MAX_UPLOAD_BYTES = 64 * 1024 * 1024  # bytes of a body
WRITE_TIMEOUT_S = 60.0  # s; a client that takes nothing of its answer for so long is given up
FIRST_REQUEST_TIMEOUT_S = 2.0  # s; for the first request of a connection to begin
IDLE_TIMEOUT_S = 5.0  # s; a connection that has had an answer is kept so long for the next request
LINGER_S = 1.0  # s; after a refusal of bad input the rest is read and dropped, so that it arrives
MAX_DISCARDED_BYTES = 1024 * 1024  # bytes; what comes beyond is left unread meanwhile: reading it costs CPU
CLIENT_SOCKET_SHARE = 2 / 3  # of the sockets are for clients at most; forwards take the rest
IDLE_CLIENT_SOCKET_SHARE = (
    1 / 8
)  # of the sockets; clients that wait with an answer may hold no more for their next request
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
CUSTOMER_KEY_LIMIT = 1 << 33  # customers' numbers are below this
MAX_DEADLINE_S = 3600.0  # s
UNREPEATABLE_HEADERS = frozenset(
    (b"req-id", b"req-kind", b"x-tier", b"req-deadline", b"x-call-terms", b"idempotency-key")
)
WRITE_BUFFER_HIGH_BYTES = (
    64 * 1024
)  # bytes written and not taken off yet, beyond which no more is read for a client
MAX_CACHED_BYTES = 128  # bytes; only short texts are kept, so that the caches stay small


def bad_request(reason: str) -> FramingError:
    return FramingError(400, reason)


def parse_number(text: bytes, name: str, minimum: float, maximum: float) -> float:
    value = read_decimal(text)
    if value is None:
        raise bad_request(f"{name} is no number")
    if not minimum <= value <= maximum:
        raise bad_request(f"{name} is out of range")
    return value


def parse_integer(text: bytes, name: str, minimum: int, maximum: int) -> int:
    value = parse_number(text, name, minimum, maximum)
    if not value.is_integer():
        raise bad_request(f"{name} is no whole number")
    return int(value)


def parse_url(url: bytes, service_name: bytes) -> tuple[str, str]:
    """The customer and the class."""
    if not url.startswith(b"/" + service_name) or url[len(service_name) + 1 : len(service_name) + 2] not in (
        b"",
        b"/",
        b"?",
    ):
        raise bad_request("path and class differ")
    for part in url.partition(b"?")[2].split(b"&"):
        name, _, value = part.partition(b"=")
        if name == b"key":
            # Told apart by number: other ways to write one key would be other customers.
            if (
                not 0 < len(value) <= 16
                or not HEX_DIGITS.issuperset(value)
                or int(value, 16) >= CUSTOMER_KEY_LIMIT
            ):
                break
            return value.decode().lower().zfill(16), service_name.decode("latin-1")
    raise bad_request("no customer's key")


def parse_terms(text: bytes, max_units: float, gateways: int) -> tuple[float, int, int]:
    """Units, spread, and the first gateway of the set."""
    terms: dict[bytes, bytes] = {}
    for item in text.split(b","):
        name, _, value = item.strip().partition(b"=")
        terms[name] = value
    units = parse_number(terms.get(b"units", b"1"), "units", 0.0, max_units)
    if not units:
        raise bad_request("units is out of range")
    return (
        units,
        parse_integer(terms.get(b"spread", b"1"), "spread", 1, gateways),
        parse_integer(terms.get(b"first", b"0"), "first", 0, gateways - 1),
    )


# The same customers come again and again, so what their requests share is read once.
parse_url_cached, parse_terms_cached = lru_cache(512)(parse_url), lru_cache(512)(parse_terms)


def parse_request(url: bytes, headers: dict[bytes, bytes], settings: api.Settings) -> api.Request:
    """The module's request from the line and headers; raises what is to be answered."""
    request_id, service_name, plan = headers.get(b"req-id"), headers.get(b"req-kind"), headers.get(b"x-tier")
    if not request_id or not service_name or not plan:
        raise bad_request("no id, class or plan")
    customer, service = (parse_url_cached if len(url) <= MAX_CACHED_BYTES else parse_url)(url, service_name)
    text = headers.get(b"x-call-terms", b"")
    terms = parse_terms_cached if len(text) <= MAX_CACHED_BYTES else parse_terms
    units, spread, first = terms(text, settings.largest, settings.gateways)
    left = parse_number(headers.get(b"req-deadline", b""), "deadline", 0.0, MAX_DEADLINE_S)
    if left <= 0:
        raise bad_request("deadline is over")
    return api.Request(
        request_id.decode("latin-1"), customer, service, plan.decode("latin-1"), units, left, spread, first
    )


class WaitingList(dict["ClientConnection", None]):
    """Connections that wait for the same thing, in the order of their coming."""


class ClientConnection(Connection):
    """One client's connection: one request at a time, others are refused in turn."""

    side = "client"

    def __init__(self, listener: Listener) -> None:
        super().__init__(listener.context)
        self.listener = listener
        self.flow: Flow | None = None
        self.fault: FramingError | None = None  # to be answered when the flow is
        self.ending = False
        self.discarded_bytes = 0
        self.keep_alive = True
        self.waiting_list: WaitingList | None = None
        self.waiting_since = self.opened_at
        self.url = b""
        self.upload: Upload | None = None  # the body that is being sent on
        self.paused = False
        self.source: BodySource | None = None  # of the answer that is being passed on
        self.chunked = False
        self.blocked_since: float | None = None  # since when it has taken nothing of that
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(WRITE_BUFFER_HIGH_BYTES)
        self.listener.client_connected(self)

    def data_received(self, data: bytes) -> None:
        if self.ending or self.fault is not None:
            self.discard(len(data))  # what follows a fault
            return
        try:
            self.feed(data)
            self.check_head_size(len(data))
            if (
                self.message_started
                and not self.paused
                and (self.headers_complete or self.waiting_list is not self.listener.reading_clients)
            ):
                self.move_to(self.listener.reading_clients)
        except ParserError as e:
            self.reject_input(parse_error(e))

    def feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as e:
            # An offer to speak something else may be passed over; the parser has ended by it.
            self.parser = httptools.HttpRequestParser(self)
            if rest := data[e.args[0] :]:
                self.feed(rest)

    def move_to(self, waiting_list: WaitingList | None) -> None:
        """Among those that wait there, the last to come last; None while a flow is under way or it ends."""
        if self.waiting_list is not None:
            self.waiting_list.pop(self, None)
        self.waiting_list = waiting_list
        if waiting_list is not None:
            self.waiting_since = self.context.clock.now()
            waiting_list[self] = None

    def discard(self, size: int) -> None:
        self.discarded_bytes += size
        if (
            self.discarded_bytes > MAX_DISCARDED_BYTES
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            self.transport.pause_reading()

    def reject_input(self, fault: FramingError) -> None:
        """Bad input gets its answer and a close, but never before the flow that is under way."""
        self.fault = fault
        if self.upload is not None:
            self.abort_upload()
        if self.flow is None:
            self.send_error()

    def send_error(self) -> None:
        if self.fault is None or self.transport is None or self.lost:
            return
        fault, self.ending = self.fault, True
        self.move_to(None)
        self.close_code = self.close_code or ("oversize" if fault.status in (413, 431) else "bad_request")
        self.context.stats[f"clients.{fault.status}"] += 1
        self.transport.write(format_response(fault.status, f"{fault}\n".encode(), close=True))
        self.transport.write_eof()
        self.context.clock.schedule(
            self.context.clock.now() + LINGER_S, lambda now: self.end("linger", flush=True)
        )

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        # The protocol has one request at a time on a connection: a second one before the answer is
        # pipelined, and a request behind it must not be mixed up with the first.
        if self.flow is not None:
            raise bad_request("pipelined")
        super().on_message_begin()
        self.url = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headers_complete:
            return
        name = name.lower()
        # Of two, a target or another gateway might go by the other one.
        if name in UNREPEATABLE_HEADERS and name in self.headers:
            raise bad_request("repeated header")
        self.headers[name] = value.strip(b" \t")

    def strip_absolute_form(self) -> None:
        """A target may be told in its absolute form."""
        if self.url[:7].lower() == b"http://":
            self.url = b"/" + self.url[7:].partition(b"/")[2]

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MAX_HEAD_BYTES:
            raise FramingError(431, "oversize")

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        self.strip_absolute_form()
        if (self.length or 0) > MAX_UPLOAD_BYTES:
            raise FramingError(413, "oversize")
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def length(self) -> int | None:
        declared = self.headers.get(b"content-length", b"")
        return int(declared) if declared.isdigit() and b"transfer-encoding" not in self.headers else None

    def on_body(self, part: bytes) -> None:
        self.received_bytes += len(part)
        if self.received_bytes > MAX_UPLOAD_BYTES:
            raise FramingError(413, "oversize")
        if self.upload is not None:
            self.upload.put(part)
            return
        self.parts.append(part)
        if self.received_bytes > MAX_BODY_BYTES:
            self.begin_upload()

    def begin_upload(self) -> None:
        """A body too large to be held: the request is decided now, and the body goes on as it comes."""
        method: bytes = self.parser.get_method()
        if self.url.startswith(b"/-/"):
            raise FramingError(413, "oversize")
        parts, self.parts = self.parts, []
        self.upload = Upload(self.length, parts, self.pause_upload)
        self.start_request(method, b"", self.upload)

    def pause_upload(self, paused: bool) -> None:
        """Read no further for now, as the target takes nothing; that is no fault of this client's."""
        if self.transport is None or self.lost or paused == self.paused:
            return
        self.paused = paused
        if paused:
            self.transport.pause_reading()
            self.move_to(None)
        else:
            self.transport.resume_reading()
            if self.message_started:
                self.move_to(self.listener.reading_clients)

    def abort_upload(self) -> None:
        """The rest of a body will not come: no target may wait for it."""
        upload, self.upload = self.upload, None
        flow, self.flow = self.flow, None
        if flow is not None:
            self.listener.core.withdraw(flow, self.context.clock.now())
        if upload is not None and upload.sink is not None:
            upload.sink.abandon_upload()

    def upload_complete(self) -> None:
        upload, self.upload = self.upload, None
        assert upload is not None
        self.move_to(None)
        upload.end()
        if self.flow is not None:
            self.listener.core.body_received(self.flow, self.context.clock.now())
        else:
            self.request_finished()  # it had its answer before

    def on_message_complete(self) -> None:
        self.message_started = False
        self.message_count += 1
        self.keep_alive = self.parser.should_keep_alive()
        if self.upload is not None:
            self.upload_complete()
            return
        method: bytes = self.parser.get_method()
        path = self.url.partition(b"?")[0]
        if path.startswith(b"/-/"):
            self.respond_to_probe(path)
            return
        self.start_request(method, self.body, None)

    def start_request(self, method: bytes, body: bytes, upload: Upload | None) -> None:
        if method not in METHODS:
            raise FramingError(405, "method not served")
        core = self.listener.core
        request = parse_request(self.url, self.headers, core.gateway.settings)
        if reason := core.rejection_reason(request):
            raise bad_request(reason)
        headers = self.headers
        message = RequestMessage(
            method,
            self.url,
            headers[b"req-id"],
            body,
            headers.get(b"content-type", b""),
            headers.get(b"idempotency-key", b""),
            upload,
        )
        now = self.context.clock.now()
        self.move_to(None)
        self.flow = core.accept(request, message, self, now)
        if upload is not None:
            core.expect_body(self.flow)
        flow = self.flow
        core.begin(flow, now)
        if flow.lease is not None:
            self.rules_label = flow.lease.label

    def respond_to_probe(self, path: bytes) -> None:
        ready = path == b"/-/healthy" or (path == b"/-/ready" and self.listener.ready)
        known = path in (b"/-/ready", b"/-/healthy")
        self.write(format_response(200 if ready else 503 if known else 404, close=self.closing))

    # The core's answers.

    @property
    def closing(self) -> bool:
        return not self.keep_alive or self.listener.stopping or self.fault is not None

    def served(self, answer: object) -> None:
        assert isinstance(answer, UpstreamResponse)
        content_type_line = b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
        if answer.source is None:
            self.count_outcome("answered")
            self.write(format_response(200, answer.body, content_type_line, self.closing))
        else:
            self.begin_streaming(answer, answer.source, content_type_line)

    def count_outcome(self, outcome: str) -> None:
        if self.flow is not None:
            self.context.stats[f"{outcome}.{self.flow.request.service}"] += 1

    def begin_streaming(self, answer: UpstreamResponse, source: BodySource, content_type_line: bytes) -> None:
        """The head now, the body as it comes; where its size is not known, in chunks or up to the close."""
        if self.transport is None or self.lost or self.transport.is_closing():
            source.cancel_response()
            return
        self.source = source
        self.chunked = answer.size is None and self.parser.get_http_version() == "1.1"
        if answer.size is not None:
            length_line = b"Content-Length: %d\r\n" % answer.size
        elif self.chunked:
            length_line = b"Transfer-Encoding: chunked\r\n"
        else:
            length_line, self.keep_alive = b"", False
        end_of_head = b"Connection: close\r\n\r\n" if self.closing else b"\r\n"
        self.transport.write(b"HTTP/1.1 200 OK\r\n%b%b%b" % (length_line, content_type_line, end_of_head))
        if answer.body:
            self.stream_part(answer.body)

    def stream_part(self, part: bytes) -> None:
        if self.transport is None or self.lost or self.transport.is_closing():
            return
        if self.chunked:
            self.transport.writelines((b"%x\r\n" % len(part), part, b"\r\n"))
        else:
            self.transport.write(part)

    def stream_ended(self, complete: bool) -> None:
        """The answer's end, or where it was broken off, which the client can tell."""
        self.source = None
        self.context.stats["flows.passed" if complete else "flows.cut"] += 1
        self.count_outcome("answered" if complete else "errored")
        if complete:
            self.write(b"0\r\n\r\n" if self.chunked else b"")
        else:
            self.flow = None
            self.move_to(None)
            self.end("answer_cut", flush=self.chunked or self.keep_alive)

    def pause_writing(self) -> None:
        self.blocked_since = self.context.clock.now()
        if self.source is not None:
            self.source.set_paused(True)

    def resume_writing(self) -> None:
        self.blocked_since = None
        if self.source is not None:
            self.source.set_paused(False)

    def refused(self, retry_after: float | None) -> None:
        retry_header = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        self.write(format_response(429, b"", retry_header, self.closing))

    def failed(self, failure: object | None) -> None:
        self.write(format_response(502, close=self.closing))

    def write(self, data: bytes) -> None:
        self.flow = None
        if self.transport is None or self.lost or self.transport.is_closing():
            return
        if data:
            self.transport.write(data)
        if self.upload is None:
            self.request_finished()
        else:
            self.upload.drop()  # what is still to come is read, as the client may not listen before

    def request_finished(self) -> None:
        """The request has come and has its answer; which may be out before all of a body is in."""
        if self.transport is None or self.lost or self.transport.is_closing():
            return
        if self.fault is not None:
            self.send_error()
        elif self.closing:
            self.ending = True
            self.move_to(None)
            self.end("drained" if self.listener.stopping else "asked_close", flush=True)
        else:
            self.listener.keep_idle(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.move_to(None)
        self.listener.clients.discard(self)
        if self.upload is not None:
            self.abort_upload()
        flow, self.flow = self.flow, None
        source, self.source = self.source, None
        if source is not None:
            source.cancel_response()
            self.context.stats["flows.left"] += 1
        if flow is not None:
            self.listener.core.withdraw(flow, self.context.clock.now())


class Listener:
    """All clients' connections."""

    def __init__(self, context: ConnectionContext, core: Core, close_idle_target: Callable[[], bool]) -> None:
        self.context, self.core, self.close_idle_target = context, core, close_idle_target
        self.clients: set[ClientConnection] = set()
        # Each in the order of their coming: no request yet, half a request, an answer and no request since.
        self.new_clients, self.reading_clients, self.idle_clients = (
            WaitingList(),
            WaitingList(),
            WaitingList(),
        )
        self.max_clients = int(context.sockets.max_used * CLIENT_SOCKET_SHARE)
        self.max_idle_clients = max(int(context.sockets.max_used * IDLE_CLIENT_SOCKET_SHARE), 1)
        self.ready = self.stopping = False

    def client_connected(self, client: ClientConnection) -> None:
        """Make room for one more; a client must not fail for want of a socket we could free."""
        self.clients.add(client)
        self.context.stats["clients.accepted"] += 1
        sockets_exhausted = self.context.sockets.available < 0
        if (sockets_exhausted or len(self.clients) > self.max_clients) and not (
            self.close_waiting_client() or (sockets_exhausted and self.close_idle_target())
        ):
            client.end("sockets")
        else:
            client.move_to(self.new_clients)

    def close_waiting_client(self) -> bool:
        """Close the one that has waited longest; those that let an answer wait may only hold sockets."""
        now = self.context.clock.now()
        waits = (
            (self.new_clients, CONNECT_GRACE_S),
            (self.reading_clients, CONNECT_GRACE_S),
            (self.idle_clients, 0.0),
            (self.reading_clients, 0.0),
            (self.new_clients, 0.0),
        )
        for waiting_list, minimum in waits:
            for client in itertools.takewhile(lambda c: now - c.waiting_since >= minimum, waiting_list):  # noqa: B023
                if client.end_if_idle("sockets"):
                    client.move_to(None)
                    return True
        return False

    def keep_idle(self, client: ClientConnection) -> None:
        """Clients may hold only so many connections, and some hold all of theirs without asking again.

        The one that has waited longest makes room for them to open others; who asks often is not hit.
        """
        client.move_to(self.idle_clients)
        if len(self.idle_clients) > self.max_idle_clients:
            oldest = next((c for c in self.idle_clients if c.end_if_idle("not_kept", flush=True)), None)
            if oldest is not None:
                oldest.move_to(None)

    def sweep(self, now: float) -> None:
        """A client that asks nothing, or never all of it, must not hold its connection for good."""
        for waiting_list, limit, code in (
            (self.new_clients, FIRST_REQUEST_TIMEOUT_S, "no_request"),
            (self.reading_clients, READ_TIMEOUT_S, "read_timeout"),
            (self.idle_clients, IDLE_TIMEOUT_S, "idle"),
        ):
            for client in [*itertools.takewhile(lambda c: now - c.waiting_since > limit, waiting_list)]:  # noqa: B023
                if client.end_if_idle(code):
                    client.move_to(None)

        for client in [
            c for c in self.clients if c.blocked_since is not None and now - c.blocked_since > WRITE_TIMEOUT_S
        ]:
            client.end("not_taken")

    def close_idle(self) -> None:
        """Those with nothing under way; who has connected a moment ago is about to ask, and may."""
        now = self.context.clock.now()
        for client in [
            *(c for c in self.new_clients if now - c.waiting_since >= CONNECT_GRACE_S),
            *self.idle_clients,
        ]:
            if client.end_if_idle("drained", flush=True):
                client.move_to(None)

    @property
    def requests_in_flight(self) -> int:
        """Requests taken and not yet ended."""
        return sum(client.flow is not None for client in self.clients)

    @property
    def busy_clients(self) -> int:
        return len(self.clients) - len(self.new_clients) - len(self.idle_clients)
