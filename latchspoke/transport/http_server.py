"""A minimal HTTP/1.1 server for calls with JSON bodies, such as readiness, discovery and operator calls."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, cast

import httptools
import msgspec

MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_TARGET_BYTES = 32 * 1024
IDLE_TIMEOUT_S = 20.0
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 409: b"Conflict",
    412: b"Precondition Failed", 413: b"Content Too Large", 503: b"Service Unavailable",
}  # fmt: skip

Response = tuple[int, Any]


class Caller(Protocol):
    """The origin of a call."""

    @property
    def gone(self) -> bool:
        """Whether the connection of the caller has closed, so that nobody waits for the response."""
        ...


class LocalCaller:
    """A caller inside this process."""

    gone = False


LOCAL_CALLER: Caller = LocalCaller()
Handler = Callable[[str, str, bytes, Caller], "Response | Awaitable[Response]"]


class HttpServerConnection(asyncio.Protocol):
    """One client connection.

    ``handler`` gets method, target, body and caller, and returns status and JSON body.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.url = b""
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.response_task: asyncio.Task[None] | None = None
        self.queue: list[tuple[str, str, bytes, bool]] = []
        self.malformed = False  # malformed input was received; nothing after it is read
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer."""
        self.transport = cast(asyncio.Transport, transport)
        self.restart_idle_timer()

    @property
    def gone(self) -> bool:
        """Whether the client has closed the connection."""
        return self.transport is None or self.transport.is_closing()

    def restart_idle_timer(self) -> None:
        """Abort the connection if no call arrives in time."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.transport is not None:
            self.idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.transport.abort)

    def data_received(self, data: bytes) -> None:
        """Parse input; malformed input is answered with 400, after the calls before it."""
        if self.malformed:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.malformed = True
            if self.response_task is None:
                self.reject_malformed()

    def reject_malformed(self) -> None:
        """Answer 400 and close."""
        self.respond(400, {"errorText": "no HTTP request"}, False)

    def on_message_begin(self) -> None:
        """Reset the state for a new call."""
        self.url, self.body_parts, self.body_size = b"", [], 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the target, up to the size limit."""
        self.url += url
        if len(self.url) > MAX_TARGET_BYTES:
            raise ValueError("target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Answer ``Expect: 100-continue``; other headers are ignored."""
        if name.lower() == b"expect" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        """Append a part of the body, up to the size limit."""
        self.body_size += len(part)
        if self.body_size > MAX_BODY_BYTES:
            raise ValueError("body too large")
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """Handle the call, or queue it behind the one in progress."""
        method = self.parser.get_method().decode("latin-1")
        call = method, self.url.decode("latin-1"), b"".join(self.body_parts), self.parser.should_keep_alive()
        self.body_parts = []
        if self.response_task is not None:
            self.queue.append(call)
        else:
            self.handle_call(call)

    def handle_call(self, call: tuple[str, str, bytes, bool]) -> None:
        """Run the handler for a call; an awaitable result is answered later."""
        method, target, body, keep_alive = call
        try:
            result = self.handler(method, target, body, self)
        except Exception as error:
            self.respond(503, {"errorText": f"this call failed: {error!r}"}, False)
            raise
        if isinstance(result, tuple):
            self.respond(*result, keep_alive)
        else:
            self.response_task = asyncio.get_running_loop().create_task(
                self.respond_later(result, keep_alive)
            )

    async def respond_later(self, result: Awaitable[Response], keep_alive: bool) -> None:
        """Answer once the result is available, then continue with the queue."""
        try:
            status, body = await result
        except Exception as error:
            status, body, keep_alive = 503, {"errorText": f"this call failed: {error!r}"}, False
        self.response_task = None
        self.respond(status, body, keep_alive)
        while self.queue and keep_alive and self.response_task is None:
            call = self.queue.pop(0)
            keep_alive = call[3]
            self.handle_call(call)
        if self.malformed and keep_alive and self.response_task is None:
            self.reject_malformed()

    def respond(self, status: int, body: Any, keep_alive: bool) -> None:
        """Write a response, then wait for the next call or close."""
        if self.transport is None or self.transport.is_closing():
            return
        content_type = b"application/json"
        if isinstance(body, str):
            data, content_type = body.encode(), b"text/plain; version=0.0.4"
        else:
            data = b"" if body is None else body if isinstance(body, bytes) else msgspec.json.encode(body)
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (
                status,
                REASONS.get(status, b"Status"),
                content_type,
                len(data),
                b"" if keep_alive else b"Connection: close\r\n",
                data,
            )
        )
        if keep_alive:
            self.restart_idle_timer()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the idle timer, and drop what has been received."""
        self.transport = None
        self.body_parts = []
        if self.idle_timer is not None:
            self.idle_timer.cancel()
