"""The targets' side: kept connections to each target, and the forwards on them."""

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
    MOST_BODY,
    Answer,
    Connection,
    FramingError,
    Message,
    ParserError,
    Shared,
    Upload,
    parse_error,
    read_decimal,
)

REST = 0.005  # s; an answer's second copy may follow it: so long its connection gets no further forward
ANSWER_TIME = 0.25  # s; an answer that has begun and does not go on for so long is spoilt
PASSING_TIME = 10.0  # s; the same for one that is being passed on: no other attempt can mend it any more
LATE = 0.02  # s; a timer called later than this says that this process was held up, not its targets
UNFIT = (400, 404, 405, 413, 414, 431)  # the request itself is at fault, whoever is asked
IDLE_PART = 0.8  # of the time a target lets a connection stand idle; later it may just be closing
KEPT = 64  # idle connections a target, at most
MOST_FIELDS, MOST_REPORTED = 8, 1e6
NO_REPORT: dict[str, float] = {}


def read_report(text: bytes) -> dict[str, float]:
    """``TEXT queue=2, util=0.61``; what can't be read, or can't be, is left out."""
    report = {}
    for item in text.removeprefix(b"TEXT ").split(b",", MOST_FIELDS):
        name, _, value = item.strip().partition(b"=")
        number = read_decimal(value)
        if number is not None and 0 <= number < MOST_REPORTED:
            report[name.decode("latin-1")] = number
    return report


@runtime_checkable
class Reader(Protocol):
    """Who gets an answer piece by piece."""

    def pass_on(self, part: bytes) -> None: ...

    def passed(self, whole: bool) -> None: ...


class TargetConnection(Connection):
    """One connection to a target: one forward at a time."""

    side = "target"

    def __init__(self, group: TargetGroup, target: Target, forward: Attempt) -> None:
        super().__init__(group.shared)
        self.group, self.target = group, target
        self.forward: Attempt | None = forward
        self.answer: tuple[api.Code, Answer | None, dict[str, float]] | None = None
        self.answer_timer: Timer | None = None
        self.heard_at = 0.0
        self.reader: Reader | None = None  # to whom the answer is being passed on
        self.held = self.full = self.in_chunks = False
        self.upload: Upload | None = None  # the body that is being sent
        self.idle_since = 0.0
        self.keep = True
        self.parser = httptools.HttpResponseParser(self)

    def on_unopened(self) -> None:
        self.finish(api.Code.UNREACHABLE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.forward is None:
            self.end("cancelled")
        else:
            self.group.write(self)

    def data_received(self, data: bytes) -> None:
        if self.forward is None and self.reader is None:
            self.end("unasked")
            return
        fault = ""
        self.heard_at = self.shared.clock.now()
        try:
            self.parser.feed_data(data)
            self.bound_head(len(data))
        except (*ParserError, httptools.HttpParserUpgrade) as e:
            fault = parse_error(e).reason
        if self.reader is not None:
            self.pass_on(fault)
        elif self.answer is not None:
            # Only now: what else came in the same bytes must not meet the next forward.
            self.deliver(fault)
        elif fault:
            self.code = self.code or fault
            self.finish(api.Code.RESET)
            self.end(fault)
        else:
            if self.headed and self.is_large:
                self.begin_passing()
            if self.answer_timer is None and (self.forward is not None or self.reader is not None):
                self.wait_for_rest(self.heard_at)

    @property
    def patience(self) -> float:
        return ANSWER_TIME if self.reader is None else PASSING_TIME

    def wait_for_rest(self, since: float) -> None:
        due = since + self.patience
        self.answer_timer = self.shared.clock.schedule(due, lambda late: self.stalled(late, due))

    def stalled(self, now: float, due: float) -> None:
        """It has begun and doesn't go on: it is spoilt, and need not be waited for until the deadline."""
        if self.held or now - due > LATE:
            self.wait_for_rest(now)  # the rest may have come, and lie unread
            return
        if now < self.heard_at + self.patience:
            self.wait_for_rest(self.heard_at)
            return
        self.code = self.code or "stalled"
        self.finish(api.Code.RESET)
        self.end("stalled")

    # An answer above MOST_BODY is passed on as it comes.

    @property
    def length(self) -> int | None:
        told = self.headers.get(b"content-length", b"")
        return int(told) if told.isdigit() and b"transfer-encoding" not in self.headers else None

    @property
    def is_large(self) -> bool:
        return self.parser.get_status_code() == 200 and max(self.size, self.length or 0) > MOST_BODY

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size <= MOST_BODY or self.parser.get_status_code() == 200:
            self.parts.append(part)  # what does not fit is passed on as soon as these bytes are looked at

    def begin_passing(self) -> None:
        """Nothing can be mended from now on: the request has its answer, and the decisions their outcome."""
        forward, now = self.forward, self.shared.clock.now()
        assert forward is not None
        self.forward = forward.connection = None
        self.give_up()
        reader = forward.flow.client
        self.stop_timer()
        if forward.flow.closed or not isinstance(reader, Reader):
            self.end("cancelled")
            self.group.core.attempt_ended(forward, api.Code.CANCELLED, now)
            return
        self.reader = reader
        load = self.headers.get(b"srv-load")
        answer = Answer(self.body, self.headers.get(b"content-type", b""), self, self.length)
        self.parts = []
        self.group.core.attempt_ended(
            forward, api.Code.OK, now, answer, read_report(load) if load else NO_REPORT
        )

    def pass_on(self, fault: str) -> None:
        reader, body, self.parts = self.reader, self.body, []
        assert reader is not None
        if body:
            reader.pass_on(body)
        if self.answer is None and not fault:
            return
        whole = self.answer is not None
        self.reader = self.answer = None
        self.hold(False)
        self.stop_timer()
        if fault or not self.keep:
            self.end(fault or "asked_close")
        else:
            self.group.keep(self)
        reader.passed(whole)

    def hold(self, held: bool) -> None:
        if self.transport is None or held == self.held or self.lost:
            return
        self.held, self.heard_at = held, self.shared.clock.now()
        if held:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # A body above MOST_BODY is sent on as it comes.

    def send_on(self, part: bytes, last: bool) -> bool:
        if self.transport is None or self.transport.is_closing():
            return True
        if part:
            size = b"%x\r\n" % len(part)
            self.transport.writelines((size, part, b"\r\n") if self.in_chunks else (part,))
        if last:
            self.upload = None
            self.shared.stats["forwards.whole"] += 1
            if self.in_chunks:
                self.transport.write(b"0\r\n\r\n")
        return not self.full

    def pause_writing(self) -> None:
        self.full = True
        if self.upload is not None:
            self.upload.hold(True)

    def resume_writing(self) -> None:
        self.full = False
        if self.upload is not None:
            self.upload.hold(False)

    def give_up(self) -> None:
        """The rest of the body is not wanted here any more."""
        upload, self.upload = self.upload, None
        if upload is not None:
            self.keep = False
            upload.detach(self)

    def abandon(self) -> None:
        self.finish(api.Code.UNREACHABLE)
        self.end("cancelled")

    def leave(self) -> None:
        self.reader = None
        self.end("cancelled")

    def eof_received(self) -> bool | None:
        """The end of an answer whose size nobody told."""
        chunked = b"chunked" in self.headers.get(b"transfer-encoding", b"").lower()
        if self.started and self.headed and self.length is None and not chunked:
            self.on_message_complete()
            self.keep = False
            if self.reader is not None:
                self.pass_on("")
            elif self.answer is not None and self.forward is not None:
                self.deliver("")
        return super().eof_received()

    def on_message_begin(self) -> None:
        # More than the one answer that was asked for; that one is good all the same.
        if self.answer is not None:
            raise FramingError(400, "unasked")
        super().on_message_begin()

    def on_message_complete(self) -> None:
        self.started = False
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.messages += 1
        headers = self.headers
        if status == 200:
            code = api.Code.OK
        elif status in UNFIT:
            code = api.Code.CANCELLED
        elif status in (503, 504) and headers.get(b"srv-declined") == b"1":
            code = api.Code.FULL
        else:
            code = api.Code.ERROR
        load = headers.get(b"srv-load")
        report = read_report(load) if load else NO_REPORT
        answer = Answer(self.body, headers.get(b"content-type", b"")) if code is api.Code.OK else None
        self.answer = code, answer, report
        self.keep = self.parser.should_keep_alive()

    def deliver(self, fault: str) -> None:
        """Hand the answer on; the connection goes back to the pool first, as a further attempt may follow."""
        forward, told = self.forward, self.answer
        assert forward is not None and told is not None
        self.give_up()
        self.forward = self.answer = forward.connection = None
        self.stop_timer()
        if fault or not self.keep:
            self.end(fault or "asked_close")
        else:
            self.group.keep(self)
        code, answer, report = told
        now = self.shared.clock.now()
        if code is api.Code.CANCELLED:
            self.group.core.request_rejected(forward, now)
        else:
            self.group.core.attempt_ended(forward, code, now, answer, report)

    def stop_timer(self) -> None:
        if self.answer_timer is not None:
            self.answer_timer.cancel()
            self.answer_timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        unwritten = self.transport is not None and self.transport.get_write_buffer_size() > 0
        super().connection_lost(exc)
        self.stop_timer()
        self.target.forget(self)
        reader, self.reader = self.reader, None
        if reader is not None:
            reader.passed(False)
        self.finish(api.Code.UNREACHABLE if unwritten else api.Code.RESET)

    def finish(self, code: api.Code) -> None:
        forward, self.forward = self.forward, None
        if self.upload is not None:
            code = api.Code.UNREACHABLE  # a target starts on a request with its last byte
            self.give_up()
        if forward is not None:
            forward.connection = None
            self.group.core.attempt_ended(forward, code, self.shared.clock.now())


class Target:
    """One target as discovery has it, with its idle connections, the newest last."""

    def __init__(self, entry: api.ServerEntry, address: Address) -> None:
        self.entry, self.address = entry, address
        self.idle: list[TargetConnection] = []

    @property
    def active(self) -> bool:
        return self.entry.state is api.ServerState.ACTIVE

    def take(self, now: float, idle_limit: float) -> TargetConnection | None:
        """The one used last that has rested, if any."""
        for place in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[place]
            if now - connection.idle_since < REST:
                continue
            del self.idle[place]
            if connection.lost or connection.transport is None or connection.transport.is_closing():
                continue
            if now - connection.idle_since < idle_limit:
                return connection
            connection.end("idle")
        return None

    def forget(self, connection: TargetConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, code: str) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.end(code)


class TargetGroup:
    """All targets; carries forwards to them."""

    core: Core  # comes once it is made, as it needs this port

    def __init__(self, shared: Shared, settings: api.Settings) -> None:
        self.shared = shared
        self.free_client: Callable[[], bool] = lambda: False  # gives a waiting client's socket
        self.take(settings)
        self.targets: dict[str, Target] = {}
        self.barred: Container[str] = ()  # by hand

    def take(self, settings: api.Settings) -> None:
        self.idle_limit = settings.conn_idle * IDLE_PART
        self.connect_limit = settings.connect_limit

    def listed(self, told: TargetList) -> None:
        """Take in discovery's word; what is gone or leaving keeps only what is under way."""
        for entry in told.entries:
            known = self.targets.get(entry.server)
            address = told.addresses.get(entry.server) or (known.address if known else None)
            if entry.state is api.ServerState.LEFT or address is None:
                self.remove(entry.server, entry)
            elif known is None:
                self.targets[entry.server] = Target(entry, address)
            else:
                fresh = known.address == address and known.entry.launched == entry.launched
                known.entry, known.address = entry, address
                if not (known.active and fresh):
                    known.close_idle("target_changed")
        if told.whole:
            names = {entry.server for entry in told.entries}
            for name in [name for name in self.targets if name not in names]:
                self.remove(name, None)

    def remove(self, name: str, entry: api.ServerEntry | None) -> None:
        target = self.targets.pop(name, None)
        if target is not None:
            target.entry = entry or api.ServerEntry(name, api.ServerState.LEFT)
            target.close_idle("target_gone")

    def forward(self, forward: Attempt) -> None:
        now = self.shared.clock.now()
        target = self.targets.get(forward.target)
        message = forward.flow.message
        spent = isinstance(message, Message) and message.upload is not None and message.upload.spent
        if spent or target is None or not target.active or forward.target in self.barred:
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        connection = target.take(now, self.idle_limit)
        if connection is None:
            self.open(target, forward, now)
        else:
            connection.forward = forward
            self.write(connection)

    def open(self, target: Target, forward: Attempt, now: float) -> None:
        if self.shared.sockets.left <= 0 and not self.free_client() and not self.free_one():
            self.shared.stats["targets.no_socket"] += 1
            self.core.attempt_ended(forward, api.Code.UNREACHABLE, now)
            return
        self.shared.stats["targets.opened"] += 1
        connection = TargetConnection(self, target, forward)
        forward.connection = connection
        connection.dial(target.address, self.connect_limit)

    def write(self, connection: TargetConnection) -> None:
        """The last look before the first byte: the target may have begun to drain meanwhile."""
        forward, now = connection.forward, self.shared.clock.now()
        assert forward is not None and connection.transport is not None
        if not connection.target.active or forward.target in self.barred:
            connection.forward = forward.connection = None
            connection.end("target_gone")
            self.core.attempt_ended(forward, api.Code.MOOT, now)
            return
        forward.connection = connection
        message = forward.flow.message
        assert isinstance(message, Message)
        upload = message.upload
        left = max(min(forward.deadline - now, forward.flow.request.left), 0.001)
        kind = b"Content-Type: %b\r\n" % message.content_type if message.content_type else b""
        size = b"Content-Length: %d\r\n" % len(message.body) if message.body or kind else b""
        if upload is not None:
            connection.in_chunks = upload.length is None
            size = b"Content-Length: %d\r\n" % (upload.length or 0)
            size = b"Transfer-Encoding: chunked\r\n" if connection.in_chunks else size
        elif not size and message.method != b"GET":
            size = b"Content-Length: 0\r\n"
        key = b"Idempotency-Key: %b\r\n" % message.idempotency_key if message.idempotency_key else b""
        self.shared.stats["forwards.sent"] += 1
        self.shared.stats["forwards.whole"] += upload is None
        connection.transport.write(
            b"%b %b HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %b\r\nReq-Deadline: %.3f\r\n%b%b%b\r\n%b"
            % (message.method, message.url, message.id, left, key, kind, size, message.body)
        )
        if upload is not None:
            connection.upload = upload
            upload.attach(connection)

    def drop(self, forward: Attempt) -> None:
        """Closing the connection is what calls a forward off."""
        connection = forward.connection
        forward.connection = None
        if isinstance(connection, TargetConnection):
            connection.forward = None
            connection.give_up()
            connection.end("cancelled")

    def keep(self, connection: TargetConnection) -> None:
        if connection.target.active and len(connection.target.idle) < KEPT:
            connection.idle_since = self.shared.clock.now()
            connection.target.idle.append(connection)
        else:
            connection.end("not_kept", flush=True)

    def sweep(self, now: float) -> None:
        """Close what has stood idle nearly as long as targets allow."""
        for target in self.targets.values():
            while target.idle and now - target.idle[0].idle_since >= self.idle_limit:
                target.idle.pop(0).end("idle")

    def stop(self) -> None:
        for target in self.targets.values():
            target.close_idle("drained")

    def free_one(self) -> bool:
        """Close the connection that has been idle longest, of all targets."""
        heads = [target.idle for target in self.targets.values() if target.idle]
        if not heads:
            return False
        min(heads, key=lambda idle: idle[0].idle_since).pop(0).end("sockets")
        return True
