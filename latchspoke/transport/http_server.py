"""A small HTTP/1.1 server for calls with JSON bodies: readiness, the locator, servers and the operator."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, cast

import httptools
import msgspec

MAX_BODY_BYTES = 32 * 1024 * 1024  # bytes
MAX_TARGET_BYTES = 32 * 1024
IDLE_TIMEOUT_S = 20.0  # s that a caller may say nothing
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 409: b"Conflict",
    412: b"Precondition Failed", 413: b"Content Too Large", 503: b"Service Unavailable",
}  # fmt: skip

Response = tuple[int, Any]


class Caller(Protocol):
    """Whoever made a call."""

    @property
    def gone(self) -> bool:
        """Whether its connection has ended, so that nobody waits for the answer."""
        ...


class LocalCaller:
    """A caller inside this process."""

    gone = False


LOCAL_CALLER: Caller = LocalCaller()
Handler = Callable[[str, str, bytes, Caller], "Response | Awaitable[Response]"]


class HttpServerConnection(asyncio.Protocol):
    """One caller's connection. ``handler`` gets method, target, body, caller, and gives status and JSON."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.url = b""
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.response_task: asyncio.Task[None] | None = None
        self.queue: list[tuple[str, str, bytes, bool]] = []
        self.malformed = False  # what came is no HTTP: nothing behind it is read
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has connected."""
        self.transport = cast(asyncio.Transport, transport)
        self.restart_idle_timer()

    @property
    def gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.transport is None or self.transport.is_closing()

    def restart_idle_timer(self) -> None:
        """End the connection if no call comes in time."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.transport is not None:
            self.idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.transport.abort)

    def data_received(self, data: bytes) -> None:
        """Bytes have come; what is no HTTP is answered with 400, behind the calls before it."""
        if self.malformed:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.malformed = True
            if self.response_task is None:
                self.reject_malformed()

    def reject_malformed(self) -> None:
        """Say that what came is no HTTP, and close."""
        self.respond(400, {"errorText": "no HTTP request"}, False)

    def on_message_begin(self) -> None:
        """A call begins."""
        self.url, self.body_parts, self.body_size = b"", [], 0

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self.url += url
        if len(self.url) > MAX_TARGET_BYTES:
            raise ValueError("target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        if name.lower() == b"expect" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self.body_size += len(part)
        if self.body_size > MAX_BODY_BYTES:
            raise ValueError("body too large")
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """A call is whole."""
        method = self.parser.get_method().decode("latin-1")
        call = method, self.url.decode("latin-1"), b"".join(self.body_parts), self.parser.should_keep_alive()
        self.body_parts = []
        if self.response_task is not None:
            self.queue.append(call)
        else:
            self.handle_call(call)

    def handle_call(self, call: tuple[str, str, bytes, bool]) -> None:
        """Answer one call; the next waits meanwhile."""
        method, target, body, keep = call
        try:
            given = self.handler(method, target, body, self)
        except Exception as e:
            self.respond(503, {"errorText": f"this call failed: {e!r}"}, False)
            raise
        if isinstance(given, tuple):
            self.respond(*given, keep)
        else:
            self.response_task = asyncio.get_running_loop().create_task(self.respond_later(given, keep))

    async def respond_later(self, given: Awaitable[Response], keep: bool) -> None:
        """Answer once it is there."""
        try:
            status, body = await given
        except Exception as e:
            status, body, keep = 503, {"errorText": f"this call failed: {e!r}"}, False
        self.response_task = None
        self.respond(status, body, keep)
        while self.queue and keep and self.response_task is None:
            call = self.queue.pop(0)
            keep = call[3]
            self.handle_call(call)
        if self.malformed and keep and self.response_task is None:
            self.reject_malformed()

    def respond(self, status: int, body: Any, keep: bool) -> None:
        """Write an answer, and go on with the next call or close."""
        if self.transport is None or self.transport.is_closing():
            return
        kind = b"application/json"
        if isinstance(body, str):
            data, kind = body.encode(), b"text/plain; version=0.0.4"
        else:
            data = b"" if body is None else body if isinstance(body, bytes) else msgspec.json.encode(body)
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (
                status,
                REASONS.get(status, b"Status"),
                kind,
                len(data),
                b"" if keep else b"Connection: close\r\n",
                data,
            )
        )
        if keep:
            self.restart_idle_timer()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller has left."""
        self.transport = None
        if self.idle_timer is not None:
            self.idle_timer.cancel()
