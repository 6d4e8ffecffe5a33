"""HTTP/1.1 as the deployment's own parties speak it: one call on a connection, and a server's side."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import httptools

from latchspoke.lab.system.network import End, Network, ProcessLoop
from latchspoke.lab.virtual import Address

Reply = tuple[int, dict[bytes, bytes], bytes]
NOTHING: Reply = (0, {}, b"")


class Exchange(asyncio.Protocol):
    """Sends once, reads one answer. ``done`` gets NOTHING if none came whole."""

    def __init__(self, data: bytes, done: Callable[[Reply], None]) -> None:
        self.data, self.done, self.over = data, done, False
        self.end: End | None = None
        self.headers: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, End)
        self.end = transport
        transport.write(self.data)

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.finish(NOTHING)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            self.finish((status, self.headers, b"".join(self.parts)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.finish(NOTHING)

    def finish(self, reply: Reply) -> None:
        if not self.over:
            self.over = True
            if self.end is not None:
                self.end.close()
            self.done(reply)


def ask(
    network: Network, loop: ProcessLoop, address: Address, method: str, target: str, body: bytes | None,
    limit: float, done: Callable[[Reply], None],
) -> None:  # fmt: skip
    """One call; NOTHING after ``limit`` (s)."""
    size = b"" if body is None else b"Content-Type: application/json\r\nContent-Length: %d\r\n" % len(body)
    host = f"{address[0]}:{address[1]}".encode()
    data = b"%b %b HTTP/1.1\r\nHost: %b\r\n%b\r\n%b" % (
        method.encode(), target.encode(), host, size, body or b"",
    )  # fmt: skip
    exchange = Exchange(data, done)
    dial = network.connect(
        loop, address, lambda: exchange, lambda end: None, lambda error: exchange.finish(NOTHING)
    )

    def overdue() -> None:
        dial.stop()
        exchange.finish(NOTHING)

    network.world.after(limit, overdue)


async def call(
    loop: ProcessLoop, address: Address, method: str, target: str, body: bytes | None, limit: float
) -> Reply:
    """``ask`` for coroutines on an outsider's loop."""
    future: asyncio.Future[Reply] = loop.create_future()

    def done(reply: Reply) -> None:
        if not future.done() and not loop.dead:
            future.set_result(reply)

    ask(loop.network, loop, address, method, target, body, limit, done)
    return await future


class Taker(asyncio.Protocol):
    """A server's connection; ``taken`` gets each whole request."""

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.end: End | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []
        self.job: Any = None
        self.rested_at = math.inf  # since when nothing is asked on it (s)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, End)
        self.end = transport
        self.owner.connected(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            assert self.end is not None
            self.end.abort()

    def on_message_begin(self) -> None:
        self.url, self.headers, self.parts = b"", {}, []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.owner.taken(self, self.parser.get_method().decode(), self.url.decode(), b"".join(self.parts))

    def connection_lost(self, exc: Exception | None) -> None:
        self.owner.left(self)
