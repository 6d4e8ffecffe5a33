"""The counter's side: calls pipelined on a few kept connections."""

from __future__ import annotations

import asyncio
from collections import deque

import httptools

from barleyhub import interface as api
from latchspoke.config import Address
from latchspoke.core import Core
from latchspoke.net.clock import Timer
from latchspoke.net.http import Connection, FramingError, ParserError, Shared, parse_error, read_decimal

LINES = 2  # connections; a name always takes the same one, which keeps its calls in order
OPEN_MOST = 1.0  # s; to connect; a call waits for it no longer than its own limit
IDLE_MOST = 5.0  # s; the counter closes idle connections after some 10 s
PATIENCE = 0.2  # s; where no answer at all has come for so long, the next calls take a new connection
RETIRED_MOST = 1.5  # s; so long what is owed on a connection without further calls is read
SILENT_MOST = 3.0  # s without any answer while some are owed: a new connection is due


class Call:
    """One call; ``done`` once its outcome was told, though its answer may still come."""

    __slots__ = ("amount", "done", "life", "made_at", "name", "timer", "written")

    def __init__(self, name: int, amount: float, life: float, now: float) -> None:
        self.name, self.amount, self.life, self.made_at = name, amount, life, now
        self.written = self.done = False
        self.timer: Timer | None = None

    def line(self) -> bytes:
        life = max(round(self.life * 1000), 1)
        return (
            f"POST /v2/numbers/{self.name}?delta={self.amount:.6f}&life_ms={life} HTTP/1.1\r\n"
            "Host: counter\r\nContent-Length: 0\r\n\r\n"
        ).encode()


class CounterConnection(Connection):
    """Answers come in the order of the calls: each is matched with the oldest that is owed one."""

    side = "counter"

    def __init__(self, line: CounterLine) -> None:
        super().__init__(line.shared)
        self.line = line
        self.owed: deque[Call] = deque()
        self.retired = False  # a reload has named another address: no further call comes here
        self.heard_at = self.opened_at
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.heard_at = self.shared.clock.now()
        if self.retired:
            self.end("reloaded")
        else:
            self.line.opened(self)

    def on_unopened(self) -> None:
        if not self.retired:
            self.line.unopened()

    def unheard(self, now: float) -> float:
        """How long answers are owed, and none has come."""
        return now - max(self.owed[0].made_at, self.heard_at) if self.owed else 0.0

    def retire(self, code: str) -> None:
        """What is owed is still read; a side that never tells it is not waited for."""
        self.retired = True
        if not self.owed:
            self.end(code, flush=True)
        now = self.shared.clock.now()
        self.shared.clock.schedule(now + RETIRED_MOST, lambda late: self.end(code))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade) as e:
            self.end(parse_error(e).reason)

    def on_message_complete(self) -> None:
        self.heard_at = self.shared.clock.now()
        if not self.owed:
            self.end("unasked")
            return
        call = self.owed.popleft()
        self.messages += 1
        status, total = self.parser.get_status_code(), 0.0
        code = api.Code.FULL if status == 503 else api.Code.UNREACHABLE
        if status == 200:
            number = read_decimal(self.body.strip())
            if number is None:
                # Added, but by what it says nobody can go; nor by what follows on this connection.
                self.line.end_call(call, api.Code.TIMEOUT)
                raise FramingError(400, "bad_total")
            code, total = api.Code.OK, number
        elif status != 503:
            self.shared.stats[f"counter.status_{status}"] += 1
        if call.done:
            self.shared.stats["counter.late"] += 1
            if code is api.Code.OK:
                self.line.late(call, total)
        self.line.end_call(call, code, total)
        if self.retired and not self.owed:
            self.end("reloaded", flush=True)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.line.closed(self)


class CounterLine:
    """One kept connection to the counter, opened when there is a call for it."""

    def __init__(self, shared: Shared, core: Core, address: Address, limit: float) -> None:
        self.shared, self.core, self.address, self.limit = shared, core, address, limit
        self.connection: CounterConnection | None = None
        self.opening: CounterConnection | None = None
        self.waiting: deque[Call] = deque()

    def call(self, call: Call) -> None:
        now = call.made_at
        call.timer = self.shared.clock.schedule(now + self.limit, lambda late: self.overdue(call))
        # A slow counter still answers now and then. A connection that a spoilt answer has left without
        # any would hold up every call of its names.
        if self.connection is not None and self.connection.unheard(now) > PATIENCE:
            self.connection.retire("silent")
            self.connection = None
        if self.connection is not None:
            self.write(self.connection, call)
            return
        self.waiting.append(call)
        if self.opening is None:
            self.open()

    def open(self) -> None:
        self.opening = CounterConnection(self)
        self.opening.dial(self.address, OPEN_MOST)

    def move(self, address: Address) -> None:
        """Calls go to this address from now on; those not written yet wait for it to come up."""
        self.address = address
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.retire("reloaded")
        if self.opening is not None:
            self.opening.retire("reloaded")
            self.open()

    def unopened(self) -> None:
        self.opening = None
        waiting, self.waiting = self.waiting, deque()
        for call in waiting:
            self.end_call(call, api.Code.UNREACHABLE)

    def opened(self, connection: CounterConnection) -> None:
        self.connection, self.opening = connection, None
        while self.waiting:
            call = self.waiting.popleft()
            if not call.done:
                self.write(connection, call)

    def write(self, connection: CounterConnection, call: Call) -> None:
        assert connection.transport is not None
        call.written = True
        connection.owed.append(call)
        connection.transport.write(call.line())

    def closed(self, connection: CounterConnection) -> None:
        if self.connection is connection:
            self.connection = None
        # Written whole and not answered: it may have been added.
        while connection.owed:
            self.end_call(connection.owed.popleft(), api.Code.TIMEOUT)

    def overdue(self, call: Call) -> None:
        """Unwritten, it was surely not added; written, it may yet be, and its answer is passed over."""
        self.end_call(call, api.Code.TIMEOUT if call.written else api.Code.UNREACHABLE)

    def end_call(self, call: Call, code: api.Code, total: float = 0.0) -> None:
        if not call.done:
            call.done = True
            if call.timer is not None:
                call.timer.cancel()
            now = self.shared.clock.now()
            self.core.counter_answered(call.name, code, now - call.made_at, total, now)

    def late(self, call: Call, total: float) -> None:
        """Its limit has passed, but what the counter says is true all the same."""
        now = self.shared.clock.now()
        self.core.counter_answered_late(call.name, now - call.made_at, total, now)

    def sweep(self, now: float) -> None:
        connection = self.connection
        if connection is not None:
            if connection.unheard(now) > SILENT_MOST:
                self.connection = None
                connection.end("silent")
            elif not connection.owed and now - connection.heard_at > IDLE_MOST:
                self.connection = None
                connection.end("idle", flush=True)


class Counter:
    """The counter as the core's port."""

    core: Core  # comes once it is made, as it needs this port

    def __init__(self, shared: Shared, address: Address | None, settings: api.Settings) -> None:
        self.shared, self.limit = shared, settings.counter_limit
        self.address = address
        self.lines: list[CounterLine] = []

    def bind(self, core: Core) -> None:
        self.core = core
        if self.address is not None:
            self.lines = [CounterLine(self.shared, core, self.address, self.limit) for _ in range(LINES)]

    def move(self, address: Address | None) -> None:
        """A reload has named this address. Names keep their lines, and so the order of their calls."""
        if address is None or address == self.address:
            return
        self.address = address
        for line in self.lines:
            line.move(address)
        if not self.lines:
            self.bind(self.core)

    def count(self, name: int, amount: float, life: float) -> None:
        now = self.shared.clock.now()
        if not self.lines:
            self.core.counter_answered(name, api.Code.UNREACHABLE, 0.0, 0.0, now)
            return
        self.lines[name % len(self.lines)].call(Call(name, amount, life, now))

    def sweep(self, now: float) -> None:
        for line in self.lines:
            line.sweep(now)

    def stop(self) -> None:
        for line in self.lines:
            if line.connection is not None:
                line.connection.end("drained", flush=True)
