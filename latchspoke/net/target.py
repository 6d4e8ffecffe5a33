"""Target connections: a pool of persistent connections for each target, and the attempts sent on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container
from typing import Protocol, runtime_checkable

import httptools

from barleyhub import interface as api
from latchspoke.config import Address, TargetList
from latchspoke.core import Attempt, Core
from latchspoke.net.clock import Timer
from latchspoke.net.http import (
    MAX_BODY_BYTES,
    Connection,
    ConnectionContext,
    FramingError,
    ParserError,
    RequestMessage,
    Upload,
    UpstreamResponse,
    parse_error,
    read_decimal,
)

REUSE_DELAY_S = 0.005  # after a response, so that a duplicate of it is not taken for the next response
RESPONSE_STALL_TIMEOUT_S = 0.25  # between two parts of a response
STREAM_STALL_TIMEOUT_S = 10.0  # the same for a streamed response, which can no longer be retried
MAX_TIMER_DELAY_S = 0.02  # a timer that fires later shows that this process was delayed, not the target
REQUEST_ERROR_STATUSES = (400, 404, 405, 413, 414, 431)  # any target would answer the same
IDLE_TIMEOUT_FRACTION = 0.8  # of the targets' idle timeout, to avoid sending on a connection that they close
MAX_IDLE_CONNECTIONS = 64  # per target
MAX_REPORT_FIELDS, MAX_REPORT_VALUE = 8, 1e6
EMPTY_REPORT: dict[str, float] = {}


def parse_load_report(text: bytes) -> dict[str, float]:
    """Parse a load report such as ``TEXT queue=2, util=0.61``; invalid fields are skipped."""
    report = {}
    for item in text.removeprefix(b"TEXT ").split(b",", MAX_REPORT_FIELDS):
        name, _, value = item.strip().partition(b"=")
        number = read_decimal(value)
        if number is not None and 0 <= number < MAX_REPORT_VALUE:
            report[name.decode("latin-1")] = number
    return report


@runtime_checkable
class ResponseReceiver(Protocol):
    """Receiver of a response body that is streamed."""

    def stream_part(self, part: bytes) -> None: ...

    def stream_ended(self, complete: bool) -> None: ...


class TargetConnection(Connection):
    """A connection to a target, which carries one attempt at a time."""

    side = "target"

    def __init__(self, target_group: TargetGroup, target: Target, attempt: Attempt) -> None:
        super().__init__(target_group.context)
        self.target_group, self.target = target_group, target
        self.attempt: Attempt | None = attempt
        self.completed_response: tuple[api.Code, dict[str, float]] | None = None  # with the load report
        self.stall_timer: Timer | None = None
        self.last_received_at = 0.0
        self.receiver: ResponseReceiver | None = None  # while the response is being streamed
        self.paused = self.write_blocked = self.upload_chunked = False
        self.upload: Upload | None = None  # the request body that is being streamed
        self.idle_since = 0.0
        self.keep_alive = True
        self.parser = httptools.HttpResponseParser(self)

    def on_dial_failed(self) -> None:
        self.end_attempt(api.Code.UNREACHABLE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.dial_called_off or self.attempt is None:
            self.end_attempt(api.Code.UNREACHABLE)
            self.end("cancelled")
        else:
            self.target_group.write(self)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None and self.receiver is None:
            self.end("unasked")
            return
        fault = ""
        self.last_received_at = self.context.clock.now()
        try:
            self.parse(data)
        except (*ParserError, httptools.HttpParserUpgrade) as e:
            fault = parse_error(e).reason
        if self.receiver is not None:
            self.forward_received(fault)
        elif self.completed_response is not None:
            # After all bytes are parsed: further ones must not be taken for the next attempt's response.
            self.deliver_response(fault)
        elif fault:
            self.close_code = self.close_code or fault
            self.end_attempt(api.Code.RESET)
            self.end(fault)
        else:
            if self.headers_complete and self.exceeds_buffer:
                self.begin_streaming()
            if self.stall_timer is None and (self.attempt is not None or self.receiver is not None):
                self.schedule_stall_check(self.last_received_at)

    @property
    def stall_timeout_s(self) -> float:
        return RESPONSE_STALL_TIMEOUT_S if self.receiver is None else STREAM_STALL_TIMEOUT_S

    def schedule_stall_check(self, since: float) -> None:
        due = since + self.stall_timeout_s
        self.stall_timer = self.context.clock.schedule(due, lambda late: self.check_stalled(late, due))

    def check_stalled(self, now: float, due: float) -> None:
        """Fail the attempt or cut the stream if no data has arrived within the stall timeout."""
        if self.paused or now - due > MAX_TIMER_DELAY_S:
            self.schedule_stall_check(now)  # data may have arrived that is not read yet
            return
        if now < self.last_received_at + self.stall_timeout_s:
            self.schedule_stall_check(self.last_received_at)
            return
        self.close_code = self.close_code or "stalled"
        self.end_attempt(api.Code.RESET)
        self.end("stalled")

    # Response bodies larger than MAX_BODY_BYTES are streamed.

    @property
    def length(self) -> int | None:
        declared = self.headers.get(b"content-length", b"")
        return int(declared) if declared.isdigit() and b"transfer-encoding" not in self.headers else None

    @property
    def exceeds_buffer(self) -> bool:
        return (
            self.parser.get_status_code() == 200
            and max(self.received_bytes, self.length or 0) > MAX_BODY_BYTES
        )

    def on_body(self, part: bytes) -> None:
        self.unparsed_bytes = 0
        self.received_bytes += len(part)
        if self.received_bytes <= MAX_BODY_BYTES or self.parser.get_status_code() == 200:
            self.keep_part(part)  # data_received streams what exceeds the limit

    def begin_streaming(self) -> None:
        """Report the attempt as successful and start the response, which rules out a retry."""
        attempt, now = self.attempt, self.context.clock.now()
        assert attempt is not None
        self.attempt = attempt.connection = None
        self.detach_upload()
        receiver = attempt.flow.client
        self.cancel_stall_timer()
        if attempt.flow.closed or not isinstance(receiver, ResponseReceiver):
            self.end("cancelled")
            self.target_group.core.attempt_ended(attempt, api.Code.CANCELLED, now)
            return
        self.receiver = receiver
        load = self.headers.get(b"srv-load")
        response = UpstreamResponse(
            self.take_body(), self.headers.get(b"content-type", b""), self, self.length
        )
        self.target_group.core.attempt_ended(
            attempt, api.Code.OK, now, response, parse_load_report(load) if load else EMPTY_REPORT
        )

    def forward_received(self, fault: str) -> None:
        receiver, body = self.receiver, self.take_body()
        assert receiver is not None
        if body:
            receiver.stream_part(body)
        if self.completed_response is None and not fault:
            return
        complete = self.completed_response is not None
        self.receiver = self.completed_response = None
        self.set_paused(False)
        self.cancel_stall_timer()
        if fault or not self.keep_alive:
            self.end(fault or "asked_close")
        else:
            self.target_group.keep_idle(self)
        receiver.stream_ended(complete)

    def set_paused(self, paused: bool) -> None:
        if self.transport is None or paused == self.paused or self.lost:
            return
        self.paused, self.last_received_at = paused, self.context.clock.now()
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # Request bodies larger than MAX_BODY_BYTES are streamed.

    def send_part(self, part: bytes, last: bool) -> bool:
        if self.transport is None or self.transport.is_closing():
            return True
        if part:
            size = b"%x\r\n" % len(part)
            self.transport.writelines((size, part, b"\r\n") if self.upload_chunked else (part,))
        if last:
            self.upload = None
            self.context.stats["forwards.whole"] += 1
            if self.upload_chunked:
                self.transport.write(b"0\r\n\r\n")
        return not self.write_blocked

    def pause_writing(self) -> None:
        self.write_blocked = True
        if self.upload is not None:
            self.upload.set_paused(True)

    def resume_writing(self) -> None:
        self.write_blocked = False
        if self.upload is not None:
            self.upload.set_paused(False)

    def detach_upload(self) -> None:
        """Stop receiving the request body; the connection can't be reused."""
        upload, self.upload = self.upload, None
        if upload is not None:
            self.keep_alive = False
            upload.detach(self)

    def abandon_upload(self) -> None:
        self.end_attempt(api.Code.UNREACHABLE)
        self.end("cancelled")

    def cancel_response(self) -> None:
        self.receiver = None
        self.end("cancelled")

    def eof_received(self) -> bool | None:
        """Complete a response that is delimited by the end of the connection."""
        chunked = b"chunked" in self.headers.get(b"transfer-encoding", b"").lower()
        if self.message_started and self.headers_complete and self.length is None and not chunked:
            self.on_message_complete()
            self.keep_alive = False
            if self.receiver is not None:
                self.forward_received("")
            elif self.completed_response is not None and self.attempt is not None:
                self.deliver_response("")
        return super().eof_received()

    def on_message_begin(self) -> None:
        # An unsolicited response; the completed one before it is still valid.
        if self.completed_response is not None:
            raise FramingError(400, "unasked")
        super().on_message_begin()

    def on_message_complete(self) -> None:
        self.message_started, self.unparsed_bytes = False, 0
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.message_count += 1
        headers = self.headers
        if status == 200:
            code = api.Code.OK
        elif status in REQUEST_ERROR_STATUSES:
            code = api.Code.CANCELLED
        elif status in (503, 504) and headers.get(b"srv-declined") == b"1":
            code = api.Code.FULL
        else:
            code = api.Code.ERROR
        load = headers.get(b"srv-load")
        report = parse_load_report(load) if load else EMPTY_REPORT
        self.completed_response = code, report
        self.keep_alive = self.parser.should_keep_alive()

    def deliver_response(self, fault: str) -> None:
        """Return the connection to the pool, then report the outcome, which may start another attempt."""
        attempt, completed = self.attempt, self.completed_response
        assert attempt is not None and completed is not None
        code, report = completed
        body, content_type = self.take_body(), self.headers.get(b"content-type", b"")
        response = UpstreamResponse(body, content_type) if code is api.Code.OK else None
        self.detach_upload()
        self.attempt = self.completed_response = attempt.connection = None
        self.cancel_stall_timer()
        if fault or not self.keep_alive:
            self.end(fault or "asked_close")
        else:
            self.target_group.keep_idle(self)
        now = self.context.clock.now()
        if code is api.Code.CANCELLED:
            self.target_group.core.request_rejected(attempt, now)
        else:
            self.target_group.core.attempt_ended(attempt, code, now, response, report)

    def cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        unwritten = self.transport is not None and self.transport.get_write_buffer_size() > 0
        super().connection_lost(exc)
        self.cancel_stall_timer()
        self.target.remove_idle(self)
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.stream_ended(False)
        self.end_attempt(api.Code.UNREACHABLE if unwritten else api.Code.RESET)

    def end_attempt(self, code: api.Code) -> None:
        attempt, self.attempt = self.attempt, None
        if self.upload is not None:
            code = api.Code.UNREACHABLE  # targets do not run a request before its last byte
            self.detach_upload()
        if attempt is not None:
            attempt.connection = None
            self.target_group.core.attempt_ended(attempt, code, self.context.clock.now())


class Target:
    """A server from the discovery list, with its idle connections, the most recently used last."""

    def __init__(self, entry: api.ServerEntry, address: Address) -> None:
        self.entry, self.address = entry, address
        self.idle: list[TargetConnection] = []

    @property
    def active(self) -> bool:
        return self.entry.state is api.ServerState.ACTIVE

    def take_idle(self, now: float, idle_timeout_s: float) -> TargetConnection | None:
        """Return the most recently used connection that may be reused, and close expired ones."""
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if now - connection.idle_since < REUSE_DELAY_S:
                continue
            del self.idle[index]
            if connection.lost or connection.transport is None or connection.transport.is_closing():
                continue
            if now - connection.idle_since < idle_timeout_s:
                return connection
            connection.end("idle")
        return None

    def remove_idle(self, connection: TargetConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, code: str) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.end(code)


class TargetGroup:
    """All targets, and the core's port for sending attempts to them."""

    core: Core  # set after construction, as the core needs this port

    def __init__(self, context: ConnectionContext, settings: api.Settings) -> None:
        self.context = context
        self.close_waiting_client: Callable[[], bool] = lambda: False  # frees a socket
        self.take_settings(settings)
        self.targets: dict[str, Target] = {}
        self.excluded: Container[str] = ()  # servers in maintenance

    def take_settings(self, settings: api.Settings) -> None:
        self.idle_timeout_s = settings.conn_idle * IDLE_TIMEOUT_FRACTION
        self.connect_timeout_s = settings.connect_limit

    def update_targets(self, server_list: TargetList) -> None:
        """Apply a list from discovery; removed and draining targets lose their idle connections."""
        for entry in server_list.entries:
            known = self.targets.get(entry.server)
            address = server_list.addresses.get(entry.server) or (known.address if known else None)
            if entry.state is api.ServerState.LEFT or address is None:
                self.remove(entry.server, entry)
            elif known is None:
                self.targets[entry.server] = Target(entry, address)
            else:
                unchanged = known.address == address and known.entry.launched == entry.launched
                known.entry, known.address = entry, address
                if not (known.active and unchanged):
                    known.close_idle("target_changed")
        if server_list.complete:
            names = {entry.server for entry in server_list.entries}
            for name in [name for name in self.targets if name not in names]:
                self.remove(name, None)

    def remove(self, name: str, entry: api.ServerEntry | None) -> None:
        target = self.targets.pop(name, None)
        if target is not None:
            target.entry = entry or api.ServerEntry(name, api.ServerState.LEFT)
            target.close_idle("target_gone")

    def forward(self, attempt: Attempt) -> None:
        now = self.context.clock.now()
        target = self.targets.get(attempt.target)
        message = attempt.flow.message
        consumed = (
            isinstance(message, RequestMessage) and message.upload is not None and message.upload.consumed
        )
        if consumed or target is None or not target.active or attempt.target in self.excluded:
            self.core.attempt_ended(attempt, api.Code.MOOT, now)
            return
        connection = target.take_idle(now, self.idle_timeout_s)
        if connection is None:
            self.open(target, attempt, now)
        else:
            connection.attempt = attempt
            self.write(connection)

    def open(self, target: Target, attempt: Attempt, now: float) -> None:
        if (
            self.context.sockets.available <= 0
            and not self.close_waiting_client()
            and not self.close_longest_idle()
        ):
            self.context.stats["targets.no_socket"] += 1
            self.core.attempt_ended(attempt, api.Code.UNREACHABLE, now)
            return
        self.context.stats["targets.opened"] += 1
        connection = TargetConnection(self, target, attempt)
        attempt.connection = connection
        connection.dial(target.address, self.connect_timeout_s)

    def write(self, connection: TargetConnection) -> None:
        """Send the request, unless the target has started to drain while the connection was opened."""
        attempt, now = connection.attempt, self.context.clock.now()
        assert attempt is not None and connection.transport is not None
        if not connection.target.active or attempt.target in self.excluded:
            connection.attempt = attempt.connection = None
            connection.end("target_gone")
            self.core.attempt_ended(attempt, api.Code.MOOT, now)
            return
        attempt.connection = connection
        message = attempt.flow.message
        assert isinstance(message, RequestMessage)
        upload = message.upload
        left = max(min(attempt.deadline - now, attempt.flow.request.left), 0.001)
        content_type_line = b"Content-Type: %b\r\n" % message.content_type if message.content_type else b""
        length_line = (
            b"Content-Length: %d\r\n" % len(message.body) if message.body or content_type_line else b""
        )
        if upload is not None:
            connection.upload_chunked = upload.length is None
            length_line = b"Content-Length: %d\r\n" % (upload.length or 0)
            length_line = b"Transfer-Encoding: chunked\r\n" if connection.upload_chunked else length_line
        elif not length_line and message.method != b"GET":
            length_line = b"Content-Length: 0\r\n"
        key_line = b"Idempotency-Key: %b\r\n" % message.idempotency_key if message.idempotency_key else b""
        self.context.stats["forwards.sent"] += 1
        self.context.stats["forwards.whole"] += upload is None
        connection.transport.write(
            b"%b %b HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %b\r\nReq-Deadline: %.3f\r\n%b%b%b\r\n%b"
            % (
                message.method,
                message.url,
                message.request_id,
                left,
                key_line,
                content_type_line,
                length_line,
                message.body,
            )
        )
        if upload is not None:
            connection.upload = upload
            upload.attach(connection)

    def drop(self, attempt: Attempt) -> None:
        """Cancel the attempt by closing its connection."""
        connection = attempt.connection
        attempt.connection = None
        if isinstance(connection, TargetConnection):
            connection.attempt = None
            connection.detach_upload()
            connection.end("cancelled")

    def keep_idle(self, connection: TargetConnection) -> None:
        if connection.target.active and len(connection.target.idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since = self.context.clock.now()
            connection.target.idle.append(connection)
        else:
            connection.end("not_kept", flush=True)

    def sweep(self, now: float) -> None:
        """Close connections whose idle timeout has expired."""
        for target in self.targets.values():
            while target.idle and now - target.idle[0].idle_since >= self.idle_timeout_s:
                target.idle.pop(0).end("idle")

    def stop(self) -> None:
        for target in self.targets.values():
            target.close_idle("drained")

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest among all targets; False if none is idle."""
        heads = [target.idle for target in self.targets.values() if target.idle]
        if not heads:
            return False
        min(heads, key=lambda idle: idle[0].idle_since).pop(0).end("sockets")
        return True
