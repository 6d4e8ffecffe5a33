"""Client of the shared counter: pipelined calls on a few persistent connections."""

from __future__ import annotations

import asyncio
from collections import deque

import httptools

from barleyhub import interface as api
from latchspoke.config import Address
from latchspoke.core import Core
from latchspoke.net.clock import Timer
from latchspoke.net.http import (
    Connection,
    ConnectionContext,
    FramingError,
    ParserError,
    parse_error,
    read_decimal,
)

CONNECTION_COUNT = 2  # a name always uses the same connection, which keeps its calls in order
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 5.0  # shorter than the counter's own idle timeout of about 10 s
STALL_TIMEOUT_S = 0.2  # after this time without any response, further calls use a new connection
RETIRED_TIMEOUT_S = 1.5  # for outstanding responses on a connection that gets no further calls
SILENCE_TIMEOUT_S = 3.0  # after this time without any response the connection is aborted


class CounterCall:
    """A call; ``completed`` once its outcome is reported, though its response may still arrive."""

    __slots__ = ("amount", "completed", "forget_after", "made_at", "name", "sent", "timer")

    def __init__(self, name: int, amount: float, forget_after: float, now: float) -> None:
        self.name, self.amount, self.forget_after, self.made_at = name, amount, forget_after, now
        self.sent = self.completed = False
        self.timer: Timer | None = None

    def encode(self) -> bytes:
        forget_after = max(round(self.forget_after * 1000), 1)
        return (
            f"POST /v2/numbers/{self.name}?delta={self.amount:.6f}&life_ms={forget_after} HTTP/1.1\r\n"
            "Host: counter\r\nContent-Length: 0\r\n\r\n"
        ).encode()


class CounterConnection(Connection):
    """A connection on which responses arrive in the order of the calls."""

    side = "counter"

    def __init__(self, channel: CounterChannel) -> None:
        super().__init__(channel.context)
        self.channel = channel
        self.awaiting: deque[CounterCall] = deque()
        self.retired = False  # no further calls are sent on it
        self.last_response_at = self.opened_at
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.last_response_at = self.context.clock.now()
        if self.retired or self.dial_called_off:
            self.end("reloaded")
        else:
            self.channel.connected(self)

    def on_dial_failed(self) -> None:
        if not self.retired:
            self.channel.connect_failed()

    def silence(self, now: float) -> float:
        """Return for how long (s) responses have been outstanding without any arriving."""
        return now - max(self.awaiting[0].made_at, self.last_response_at) if self.awaiting else 0.0

    def retire(self, code: str) -> None:
        """Send no further calls, and close after the outstanding responses or a timeout."""
        self.retired = True
        if not self.awaiting:
            self.end(code, flush=True)
        now = self.context.clock.now()
        self.context.clock.schedule(now + RETIRED_TIMEOUT_S, lambda late: self.end(code))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade) as e:
            self.end(parse_error(e).reason)

    def on_message_complete(self) -> None:
        self.last_response_at = self.context.clock.now()
        if not self.awaiting:
            self.end("unasked")
            return
        call = self.awaiting.popleft()
        self.message_count += 1
        status, total = self.parser.get_status_code(), 0.0
        code = api.Code.FULL if status == 503 else api.Code.UNREACHABLE
        body = self.take_body()
        if status == 200:
            number = read_decimal(body.strip())
            if number is None:
                # The amount was added, but neither the total nor what follows on this connection is usable.
                self.channel.complete_call(call, api.Code.TIMEOUT)
                raise FramingError(400, "bad_total")
            code, total = api.Code.OK, number
        elif status != 503:
            self.context.stats[f"counter.status_{status}"] += 1
        if call.completed:
            self.context.stats["counter.late"] += 1
            if code is api.Code.OK:
                self.channel.late_response(call, total)
        self.channel.complete_call(call, code, total)
        if self.retired and not self.awaiting:
            self.end("reloaded", flush=True)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.channel.connection_closed(self)


class CounterChannel:
    """A persistent connection to the counter, opened on demand and replaced after a failure."""

    def __init__(self, context: ConnectionContext, core: Core, address: Address, timeout_s: float) -> None:
        self.context, self.core, self.address, self.timeout_s = context, core, address, timeout_s
        self.connection: CounterConnection | None = None
        self.connecting: CounterConnection | None = None
        self.queued: deque[CounterCall] = deque()

    def call(self, call: CounterCall) -> None:
        now = call.made_at
        call.timer = self.context.clock.schedule(now + self.timeout_s, lambda late: self.call_timed_out(call))
        # Unlike with a slow counter, no response at all arrives on a connection that an invalid response
        # has broken, and further calls on it would all time out.
        if self.connection is not None and self.connection.silence(now) > STALL_TIMEOUT_S:
            self.connection.retire("silent")
            self.connection = None
        if self.connection is not None:
            self.send(self.connection, call)
            return
        self.queued.append(call)
        if self.connecting is None:
            self.open()

    def open(self) -> None:
        self.connecting = CounterConnection(self)
        self.connecting.dial(self.address, CONNECT_TIMEOUT_S)

    def set_address(self, address: Address) -> None:
        """Send further calls, including queued ones, to this address."""
        self.address = address
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.retire("reloaded")
        if self.connecting is not None:
            self.connecting.retire("reloaded")
            self.open()

    def connect_failed(self) -> None:
        self.connecting = None
        queued, self.queued = self.queued, deque()
        for call in queued:
            self.complete_call(call, api.Code.UNREACHABLE)

    def connected(self, connection: CounterConnection) -> None:
        self.connection, self.connecting = connection, None
        while self.queued:
            call = self.queued.popleft()
            if not call.completed:
                self.send(connection, call)

    def send(self, connection: CounterConnection, call: CounterCall) -> None:
        assert connection.transport is not None
        call.sent = True
        connection.awaiting.append(call)
        connection.transport.write(call.encode())

    def connection_closed(self, connection: CounterConnection) -> None:
        if self.connection is connection:
            self.connection = None
        # Sent and not answered: the amount may have been added.
        while connection.awaiting:
            self.complete_call(connection.awaiting.popleft(), api.Code.TIMEOUT)

    def call_timed_out(self, call: CounterCall) -> None:
        """Report the outcome: an unsent call was not added, a sent one may have been."""
        self.complete_call(call, api.Code.TIMEOUT if call.sent else api.Code.UNREACHABLE)

    def complete_call(self, call: CounterCall, code: api.Code, total: float = 0.0) -> None:
        if not call.completed:
            call.completed = True
            if call.timer is not None:
                call.timer.cancel()
            now = self.context.clock.now()
            self.core.counter_answered(call.name, code, now - call.made_at, total, now)

    def late_response(self, call: CounterCall, total: float) -> None:
        """Report a total that arrived after the timeout, which is valid all the same."""
        now = self.context.clock.now()
        self.core.counter_answered_late(call.name, now - call.made_at, total, now)

    def sweep(self, now: float) -> None:
        connection = self.connection
        if connection is not None:
            if connection.silence(now) > SILENCE_TIMEOUT_S:
                self.connection = None
                connection.end("silent")
            elif not connection.awaiting and now - connection.last_response_at > IDLE_TIMEOUT_S:
                self.connection = None
                connection.end("idle", flush=True)


class Counter:
    """The core's port to the shared counter."""

    core: Core  # set after construction, as the core needs this port

    def __init__(self, context: ConnectionContext, address: Address | None, settings: api.Settings) -> None:
        self.context, self.timeout_s = context, settings.counter_limit
        self.address = address
        self.channels: list[CounterChannel] = []

    def attach(self, core: Core) -> None:
        self.core = core
        if self.address is not None:
            self.channels = [
                CounterChannel(self.context, core, self.address, self.timeout_s)
                for _ in range(CONNECTION_COUNT)
            ]

    def set_address(self, address: Address | None) -> None:
        """Use this address from now on; names keep their channel, and so the order of their calls."""
        if address is None or address == self.address:
            return
        self.address = address
        for channel in self.channels:
            channel.set_address(address)
        if not self.channels:
            self.attach(self.core)

    def add(self, name: int, amount: float, forget_after: float) -> None:
        now = self.context.clock.now()
        if not self.channels:
            self.core.counter_answered(name, api.Code.UNREACHABLE, 0.0, 0.0, now)
            return
        self.channels[name % len(self.channels)].call(CounterCall(name, amount, forget_after, now))

    def sweep(self, now: float) -> None:
        for channel in self.channels:
            channel.sweep(now)

    def stop(self) -> None:
        for channel in self.channels:
            if channel.connection is not None:
                channel.connection.end("drained", flush=True)
