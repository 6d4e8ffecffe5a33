"""Client connections: parses requests, passes them to the core and writes the responses."""

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
READ_TIMEOUT_S = 3.0  # for a complete request head, and between two parts of a body
MAX_UPLOAD_BYTES = 64 * 1024 * 1024
WRITE_TIMEOUT_S = 60.0  # without the client reading any of its response
FIRST_REQUEST_TIMEOUT_S = 2.0  # from accepting a connection to the first byte of a request
IDLE_TIMEOUT_S = 5.0  # between a response and the next request
LINGER_S = 1.0  # input is drained this long after an error response, so that a reset does not destroy it
MAX_DISCARDED_BYTES = 1024 * 1024  # while lingering; further input is left unread to save CPU
CLIENT_SOCKET_SHARE = 2 / 3  # of all sockets; the rest is for upstream connections
IDLE_CLIENT_SOCKET_SHARE = 1 / 8  # of all sockets, for connections between two requests
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
CUSTOMER_KEY_LIMIT = 1 << 33  # exclusive
MAX_DEADLINE_S = 3600.0
UNREPEATABLE_HEADERS = frozenset(
    (b"req-id", b"req-kind", b"x-tier", b"req-deadline", b"x-call-terms", b"idempotency-key")
)
WRITE_BUFFER_HIGH_BYTES = 64 * 1024  # above this, reading a streamed response from the target pauses
MAX_CACHED_BYTES = 128  # longer texts are not cached, which bounds the size of the caches


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
    """Return the customer key, normalized, and the service name."""
    if not url.startswith(b"/" + service_name) or url[len(service_name) + 1 : len(service_name) + 2] not in (
        b"",
        b"/",
        b"?",
    ):
        raise bad_request("path and class differ")
    for part in url.partition(b"?")[2].split(b"&"):
        name, _, value = part.partition(b"=")
        if name == b"key":
            # Keys are normalized: otherwise two spellings of a number would count as two customers.
            if (
                not 0 < len(value) <= 16
                or not HEX_DIGITS.issuperset(value)
                or int(value, 16) >= CUSTOMER_KEY_LIMIT
            ):
                break
            return value.decode().lower().zfill(16), service_name.decode("latin-1")
    raise bad_request("no customer's key")


def parse_terms(text: bytes, max_units: float, gateways: int) -> tuple[float, int, int]:
    """Return the units, the spread, and the index of the first gateway that the customer uses."""
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


# Requests of one customer repeat these texts.
parse_url_cached, parse_terms_cached = lru_cache(512)(parse_url), lru_cache(512)(parse_terms)


def parse_request(url: bytes, headers: dict[bytes, bytes], settings: api.Settings) -> api.Request:
    """Build the core's request from URL and headers.

    Raises FramingError with the status of the error response if one of them is invalid.
    """
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
    """Connections in the same waiting state, the longest waiting first."""


class ClientConnection(Connection):
    """A client connection, which serves one request at a time; pipelined requests are rejected."""

    side = "client"

    def __init__(self, listener: Listener) -> None:
        super().__init__(listener.context)
        self.listener = listener
        self.flow: Flow | None = None
        self.fault: FramingError | None = None  # sent after the response of the current flow
        self.ending = False
        self.discarded_bytes = 0
        self.keep_alive = True
        self.waiting_list: WaitingList | None = None
        self.waiting_since = self.opened_at
        self.url = b""
        self.upload: Upload | None = None  # the request body that is being streamed
        self.paused = False
        self.source: BodySource | None = None  # of the response that is being streamed
        self.chunked = False
        self.blocked_since: float | None = None  # when the write buffer filled up
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(WRITE_BUFFER_HIGH_BYTES)
        self.listener.client_connected(self)

    def data_received(self, data: bytes) -> None:
        if self.ending or self.fault is not None:
            self.discard(len(data))
            return
        try:
            self.parse(data)
            if (
                self.message_started
                and not self.paused
                and (self.headers_complete or self.waiting_list is not self.listener.reading_clients)
            ):
                self.move_to(self.listener.reading_clients)
        except ParserError as e:
            self.reject_input(parse_error(e))

    def feed_parser(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as e:
            # Upgrade offers are ignored, but the parser stops at them.
            self.parser = httptools.HttpRequestParser(self)
            if rest := data[e.args[0] :]:
                self.feed_parser(rest)

    def move_to(self, waiting_list: WaitingList | None) -> None:
        """Move to the end of this list; None while a request is being served or the connection closes."""
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
        """Send an error response and close, after the response of the current flow if there is one."""
        self.fault = fault.without_traceback()
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

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        # A second request before the response would overwrite the state of the first one.
        if self.flow is not None:
            raise bad_request("pipelined")
        super().on_message_begin()
        self.url = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headers_complete:
            return
        name = name.lower()
        # A target or another gateway might use the other value.
        if name in UNREPEATABLE_HEADERS and name in self.headers:
            raise bad_request("repeated header")
        self.headers[name] = value.strip(b" \t")

    def strip_absolute_form(self) -> None:
        """Reduce a request target in absolute form to its path and query."""
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
        self.unparsed_bytes = 0
        self.received_bytes += len(part)
        if self.received_bytes > MAX_UPLOAD_BYTES:
            raise FramingError(413, "oversize")
        if self.upload is not None:
            self.upload.put(part)
            return
        self.keep_part(part)
        if self.received_bytes > MAX_BODY_BYTES:
            self.begin_upload()

    def begin_upload(self) -> None:
        """Start the request and stream its body, which is too large to buffer until it is complete."""
        method: bytes = self.parser.get_method()
        if self.url.startswith(b"/-/"):
            raise FramingError(413, "oversize")
        self.upload = Upload(self.length, self.take_body(), self.pause_upload)
        self.start_request(method, b"", self.upload)

    def pause_upload(self, paused: bool) -> None:
        """Pause or resume reading, as the target accepts data; while paused, no read timeout applies."""
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
        """Withdraw the request and abandon its attempt, as the rest of the body will not arrive."""
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
            self.request_finished()  # the response was sent before the body was complete

    def on_message_complete(self) -> None:
        self.message_started, self.unparsed_bytes = False, 0
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
        self.start_request(method, self.take_body(), None)

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

    # Callbacks of the core, with the final answer, and of the target that a response is streamed from.

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
        """Write the head now and the body as it arrives, chunked or up to EOF if its length is unknown."""
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
        """Finish the response; an incomplete one ends without a last chunk or before its length."""
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
            self.upload.drop()  # read to the end, as the client may not read the response before

    def request_finished(self) -> None:
        """Close or keep the connection, once both the request and the response are complete."""
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
    """All client connections."""

    def __init__(self, context: ConnectionContext, core: Core, close_idle_target: Callable[[], bool]) -> None:
        self.context, self.core, self.close_idle_target = context, core, close_idle_target
        self.clients: set[ClientConnection] = set()
        # Connections without a request so far, with an incomplete request, and between two requests.
        self.new_clients, self.reading_clients, self.idle_clients = (
            WaitingList(),
            WaitingList(),
            WaitingList(),
        )
        self.max_clients = int(context.sockets.max_used * CLIENT_SOCKET_SHARE)
        self.max_idle_clients = max(int(context.sockets.max_used * IDLE_CLIENT_SOCKET_SHARE), 1)
        self.ready = self.stopping = False

    def client_connected(self, client: ClientConnection) -> None:
        """Register a connection, closing a waiting one if the limit is reached."""
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
        """Close the longest waiting connection; False if there is none.

        Connections within the grace period are closed only if all others are busy.
        """
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
        """Wait for the next request; the longest idle connection is closed if there are too many.

        Some clients hold all connections that they may open, idle, and could otherwise not open new ones.
        """
        client.move_to(self.idle_clients)
        if len(self.idle_clients) > self.max_idle_clients:
            oldest = next((c for c in self.idle_clients if c.end_if_idle("not_kept", flush=True)), None)
            if oldest is not None:
                oldest.move_to(None)

    def sweep(self, now: float) -> None:
        """Close connections whose timeout has expired."""
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
        """Close connections without a request, except new ones within the grace period."""
        now = self.context.clock.now()
        for client in [
            *(c for c in self.new_clients if now - c.waiting_since >= CONNECT_GRACE_S),
            *self.idle_clients,
        ]:
            if client.end_if_idle("drained", flush=True):
                client.move_to(None)

    @property
    def requests_in_flight(self) -> int:
        """Requests accepted and not yet answered."""
        return sum(client.flow is not None for client in self.clients)

    @property
    def busy_clients(self) -> int:
        return len(self.clients) - len(self.new_clients) - len(self.idle_clients)
