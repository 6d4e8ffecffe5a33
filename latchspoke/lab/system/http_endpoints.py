"""Minimal HTTP/1.1 for the simulated parties: a client with one call per connection, and a server side."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import httptools

from latchspoke.lab.system.network import Network, ProcessLoop, StreamTransport
from latchspoke.lab.virtual import Address

Reply = tuple[int, dict[bytes, bytes], bytes]
NO_REPLY: Reply = (0, {}, b"")


class HttpCall(asyncio.Protocol):
    """Sends a request and reads one response; ``done`` gets NO_REPLY if none is complete."""

    def __init__(self, data: bytes, done: Callable[[Reply], None]) -> None:
        self.data, self.done, self.finished = data, done, False
        self.transport: StreamTransport | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body_parts: list[bytes] = []
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, StreamTransport)
        self.transport = transport
        transport.write(self.data)

    def data_received(self, data: bytes) -> None:
        if self.finished:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.finish(NO_REPLY)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            self.finish((status, self.headers, b"".join(self.body_parts)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.finish(NO_REPLY)

    def finish(self, reply: Reply) -> None:
        if not self.finished:
            self.finished = True
            if self.transport is not None:
                self.transport.close()
            self.done(reply)


def start_call(
    network: Network, loop: ProcessLoop, address: Address, method: str, target: str, body: bytes | None,
    timeout_s: float, done: Callable[[Reply], None],
) -> None:  # fmt: skip
    """Starts a call; ``done`` gets NO_REPLY after ``timeout_s``."""
    size = b"" if body is None else b"Content-Type: application/json\r\nContent-Length: %d\r\n" % len(body)
    host = f"{address[0]}:{address[1]}".encode()
    data = b"%b %b HTTP/1.1\r\nHost: %b\r\n%b\r\n%b" % (
        method.encode(), target.encode(), host, size, body or b"",
    )  # fmt: skip
    http_call = HttpCall(data, done)
    pending = network.connect(
        loop, address, lambda: http_call, lambda transport: None, lambda error: http_call.finish(NO_REPLY)
    )

    def timed_out() -> None:
        pending.cancel()
        http_call.finish(NO_REPLY)

    network.scheduler.after(timeout_s, timed_out)


async def call(
    loop: ProcessLoop, address: Address, method: str, target: str, body: bytes | None, timeout_s: float
) -> Reply:
    """``start_call`` as a coroutine, for a process outside the deployment."""
    future: asyncio.Future[Reply] = loop.create_future()

    def done(reply: Reply) -> None:
        if not future.done() and not loop.dead:
            future.set_result(reply)

    start_call(loop.network, loop, address, method, target, body, timeout_s, done)
    return await future


class ServerConnection(asyncio.Protocol):
    """Server side of a connection; passes each complete request to ``owner.request_received``."""

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.transport: StreamTransport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body_parts: list[bytes] = []
        self.job: Any = None
        self.idle_since = math.inf  # when the last response was sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, StreamTransport)
        self.transport = transport
        self.owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            assert self.transport is not None
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.url, self.headers, self.body_parts = b"", {}, []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        self.owner.request_received(
            self, self.parser.get_method().decode(), self.url.decode(), b"".join(self.body_parts)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self.owner.connection_closed(self)
