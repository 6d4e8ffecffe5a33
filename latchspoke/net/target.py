"""The targets' side: kept connections to each target, and the forwards on them."""

from __future__ import annotations

import asyncio

import httptools

from barleyhub import interface as api
from latchspoke.config import Address, TargetList
from latchspoke.core import Core, Forward
from latchspoke.net.http import Answer, Connection, Message, ParserError, Shared, parse_error

IDLE_PART = 0.8  # of the time a target lets a connection stand idle; later it may just be closing
KEPT = 64  # idle connections a target, at most
NO_REPORT: dict[str, float] = {}


def read_report(text: bytes) -> dict[str, float]:
    """``TEXT queue=2, util=0.61``; what can't be read is left out."""
    report = {}
    for item in text.removeprefix(b"TEXT ").split(b","):
        name, _, value = item.strip().partition(b"=")
        try:
            report[name.decode("latin-1")] = float(value)
        except ValueError:
            continue
    return report


class TargetConnection(Connection):
    """One connection to a target: one forward at a time."""

    side = "target"

    def __init__(self, group: TargetGroup, target: Target, forward: Forward) -> None:
        super().__init__(group.shared)
        self.group, self.target = group, target
        self.forward: Forward | None = forward
        self.idle_since = 0.0
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
        if self.forward is None:
            self.end("unasked")
            return
        try:
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade) as e:
            self.code = self.code or parse_error(e).reason
            self.finish(api.Code.RESET)
            self.end(self.code)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        if self.forward is None:
            self.end("unasked")

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.forward is None or status < 200:
            return
        self.messages += 1
        headers = self.headers
        if status == 200:
            code = api.Code.OK
        elif status in (503, 504) and headers.get(b"srv-declined") == b"1":
            code = api.Code.FULL
        else:
            code = api.Code.ERROR
        load = headers.get(b"srv-load")
        report = read_report(load) if load else NO_REPORT
        answer = Answer(self.body, headers.get(b"content-type", b"")) if code is api.Code.OK else None
        forward, self.forward = self.forward, None
        forward.link = None
        # Back to the pool first: a further attempt may be sent before this call returns.
        if self.parser.should_keep_alive():
            self.group.keep(self)
        else:
            self.end("asked_close", flush=True)
        self.group.core.ended(forward, code, self.shared.clock.now(), answer, report)

    def connection_lost(self, exc: Exception | None) -> None:
        unwritten = self.transport is not None and self.transport.get_write_buffer_size() > 0
        super().connection_lost(exc)
        self.target.forget(self)
        self.finish(api.Code.UNREACHABLE if unwritten else api.Code.RESET)

    def finish(self, code: api.Code) -> None:
        forward, self.forward = self.forward, None
        if forward is not None:
            forward.link = None
            self.group.core.ended(forward, code, self.shared.clock.now())


class Target:
    """One target as discovery has it, with its idle connections, the newest last."""

    def __init__(self, entry: api.ServerEntry, address: Address) -> None:
        self.entry, self.address = entry, address
        self.idle: list[TargetConnection] = []

    @property
    def active(self) -> bool:
        return self.entry.state is api.ServerState.ACTIVE

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
        self.idle_limit = settings.conn_idle * IDLE_PART
        self.connect_limit = settings.connect_limit
        self.targets: dict[str, Target] = {}

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

    def forward(self, forward: Forward) -> None:
        now = self.shared.clock.now()
        target = self.targets.get(forward.target)
        if target is None or not target.active:
            self.core.ended(forward, api.Code.MOOT, now)
            return
        while target.idle:
            connection = target.idle.pop()
            if connection.lost or connection.transport is None or connection.transport.is_closing():
                continue
            if now - connection.idle_since >= self.idle_limit:
                connection.end("idle")
                continue
            connection.forward = forward
            self.write(connection)
            return
        self.open(target, forward, now)

    def open(self, target: Target, forward: Forward, now: float) -> None:
        if self.shared.sockets.left <= 0 and not self.free_one():
            self.shared.stats["targets.no_socket"] += 1
            self.core.ended(forward, api.Code.UNREACHABLE, now)
            return
        self.shared.stats["targets.opened"] += 1
        connection = TargetConnection(self, target, forward)
        forward.link = connection
        connection.dial(target.address, self.connect_limit)

    def write(self, connection: TargetConnection) -> None:
        """The last look before the first byte: the target may have begun to drain meanwhile."""
        forward, now = connection.forward, self.shared.clock.now()
        assert forward is not None and connection.transport is not None
        if not connection.target.active:
            connection.forward = forward.link = None
            connection.end("target_gone")
            self.core.ended(forward, api.Code.MOOT, now)
            return
        forward.link = connection
        message = forward.flow.message
        assert isinstance(message, Message)
        left = max(forward.until - now, 0.001)
        kind = b"Content-Type: %b\r\n" % message.content_type if message.content_type else b""
        size = b"Content-Length: %d\r\n" % len(message.body) if message.body or kind else b""
        if not size and message.method != b"GET":
            size = b"Content-Length: 0\r\n"
        self.shared.stats["forwards.sent"] += 1
        connection.transport.write(
            b"%b %b HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %b\r\nReq-Deadline: %.3f\r\n%b%b\r\n%b"
            % (message.method, message.url, message.id, left, kind, size, message.body)
        )

    def drop(self, forward: Forward) -> None:
        """Closing the connection is what calls a forward off."""
        connection = forward.link
        forward.link = None
        if isinstance(connection, TargetConnection):
            connection.forward = None
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
