"""A minimal HTTP/1.1 server for calls with JSON bodies, such as readiness, discovery and operator calls.

A connection holds little however fast its client sends: nothing more is read while calls wait, or while the
client doesn't read its answers. Large bodies and unread answers are counted against a budget of the process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, cast

import httptools
import msgspec

from latchspoke.net.framing import framed_size_limit
from latchspoke.transport.body_budget import MIN_COUNTED_BYTES, UNLIMITED, BodyBudget
from latchspoke.transport.connection_limit import ConnectionLimit
from latchspoke.transport.input_turns import BoundedInput, InputTurns

MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_SMALL_BODY_BYTES = 64 * 1024  # of calls that take no large body
CALL_BYTES = 512  # that a call takes while it waits, beside a large body
MAX_UNCOUNTED_CALLS = 16  # that wait on one connection
MAX_TARGET_BYTES = 32 * 1024
MAX_HEAD_BYTES = 64 * 1024  # of a call, and of its trailer
IDLE_TIMEOUT_S = 20.0
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 409: b"Conflict",
    412: b"Precondition Failed", 413: b"Content Too Large", 503: b"Service Unavailable",
}  # fmt: skip

NO_ROOM_FOR_ANSWER = b'{"errorText":"too many large answers that nobody reads"}'

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


class Refusal(msgspec.Struct, frozen=True):
    """Why nothing more is read from a connection."""

    status: int
    text: str


MALFORMED = Refusal(400, "no HTTP request")
TOO_LARGE = Refusal(413, "the body is too large for this call")
NO_ROOM = Refusal(503, "too many large bodies at once")


class RefusedError(Exception):
    """A call is refused before it is complete."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.text)
        self.refusal = refusal


class Call(msgspec.Struct, frozen=True):
    """A complete call, and the bytes that its body counts as."""

    method: str
    target: str
    body: bytes
    keep_alive: bool
    counted_bytes: int


class HttpServerConnection(BoundedInput):
    """One client connection.

    ``handler`` gets method, target, body and caller, and returns status and JSON body.
    """

    def __init__(
        self,
        handler: Handler,
        budget: BodyBudget = UNLIMITED,
        limit: ConnectionLimit | None = None,
        input_turns: InputTurns | None = None,
        takes_large_body: Callable[[bytes], bool] = lambda target: True,
    ) -> None:
        """``budget``: for large bodies and answers; a call without room for one is answered with 503.

        ``takes_large_body``: whether calls of a target may have a body above ``MAX_SMALL_BODY_BYTES``.
        """
        self.takes_large_body = takes_large_body
        self.handler, self.budget, self.limit, self.input_turns = handler, budget, limit, input_turns
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.url = b""
        self.body = bytearray()  # of the call that is being received
        self.body_input_bytes = 0  # with the framing of its chunks
        self.counted_bytes = 0  # of the body that is being received
        self.counted_head_bytes = 0  # of a head that is being received
        self.counted_answer_bytes = 0  # of answers that the client has not read
        self.unparsed_bytes = 0  # received since a piece of a body or a call was complete
        self.output_blocked = False  # the client doesn't read its answers
        self.reading_paused = False
        self.response_task: asyncio.Task[None] | None = None
        self.queue: deque[Call] = deque()
        self.refusal: Refusal | None = None  # nothing more is read
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)  # so that any unread answer is known
        self.restart_idle_timer()
        if self.limit is not None:
            self.limit.add(self)

    @property
    def busy(self) -> bool:
        """Whether a call is being received or handled."""
        return bool(self.response_task is not None or self.url or self.queue or self.held_input)

    def close_unread(self) -> None:
        """As ``abort``."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

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
        if self.refusal is not None:
            return
        self.unparsed_bytes += len(data)
        try:
            self.parser.feed_data(data)
            if self.unparsed_bytes > MAX_HEAD_BYTES:
                raise httptools.HttpParserError("head too long")
            if self.body:
                self.body_input_bytes += len(data)
                if self.body_input_bytes > framed_size_limit(len(self.body)):
                    raise httptools.HttpParserError("chunks too short for their framing")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self.refuse_rest(cause.refusal if isinstance(cause, RefusedError) else MALFORMED)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.refuse_rest(MALFORMED)
        self.count_head()
        self.update_reading()

    def count_head(self) -> None:
        """Count what has been received of an unfinished head, or release it."""
        size = self.unparsed_bytes if self.refusal is None else 0
        if size < MIN_COUNTED_BYTES:
            size = 0
        if size <= self.counted_head_bytes:
            self.budget.release(self.counted_head_bytes - size)
        elif not self.budget.reserve(size - self.counted_head_bytes):
            self.budget.release(self.counted_head_bytes)
            self.counted_head_bytes = 0
            self.refuse_rest(NO_ROOM)
            return
        self.counted_head_bytes = size

    def update_reading(self) -> None:
        """Read no more while calls wait, or while the client doesn't read."""
        pause = bool(self.queue) or self.output_blocked or bool(self.held_input)
        if pause == self.reading_paused or self.transport is None or self.transport.is_closing():
            return
        self.reading_paused = pause
        if pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """The client doesn't read its answers; calls wait until it does."""
        self.output_blocked = True
        self.update_reading()

    def resume_writing(self) -> None:
        """The client has read its answers."""
        self.output_blocked = False
        self.release_answers()
        self.handle_queue()

    def refuse_rest(self, refusal: Refusal) -> None:
        """Read no more, and refuse what has been received of the current call."""
        self.refusal = refusal
        self.release_body()
        if self.response_task is None and not self.queue:
            self.reject_rest(refusal)

    def reject_rest(self, refusal: Refusal) -> None:
        """Answer that the rest is refused, and close."""
        self.respond(refusal.status, {"errorText": refusal.text}, False)

    def release_body(self) -> None:
        """The body that was being received is dropped."""
        self.budget.release(self.counted_bytes)
        self.counted_bytes, self.body = 0, bytearray()

    def release_answers(self) -> None:
        """The client has read its answers, or has gone."""
        self.budget.release(self.counted_answer_bytes)
        self.counted_answer_bytes = 0

    def on_message_begin(self) -> None:
        """Reset the state for a new call."""
        self.url, self.body, self.body_input_bytes = b"", bytearray(), 0

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
        """Append a part of the body, up to the size limit and as far as there is memory."""
        self.unparsed_bytes = 0
        self.body += part
        body_size = len(self.body)
        if body_size > MAX_SMALL_BODY_BYTES and (
            body_size > MAX_BODY_BYTES or not self.takes_large_body(self.url)
        ):
            raise RefusedError(TOO_LARGE)
        if body_size > MIN_COUNTED_BYTES:
            size = body_size - self.counted_bytes
            if not self.budget.reserve(size):
                raise RefusedError(NO_ROOM)
            self.counted_bytes += size

    def on_message_complete(self) -> None:
        """Handle the call, or queue it behind the one in progress."""
        waits = self.response_task is not None or self.output_blocked or bool(self.queue)
        if len(self.queue) >= MAX_UNCOUNTED_CALLS:
            if not self.budget.reserve(CALL_BYTES):
                raise RefusedError(NO_ROOM)
            self.counted_bytes += CALL_BYTES
        call = Call(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            bytes(self.body),
            self.parser.should_keep_alive(),
            self.counted_bytes,
        )
        self.url, self.counted_bytes, self.body, self.unparsed_bytes = b"", 0, bytearray(), 0
        if self.limit is not None:
            self.limit.used(self)
        if waits:
            self.queue.append(call)
        else:
            self.handle_call(call)

    def handle_call(self, call: Call) -> None:
        """Run the handler for a call; an awaitable result is answered later."""
        try:
            result = self.handler(call.method, call.target, call.body, self)
        except Exception as error:
            self.budget.release(call.counted_bytes)
            self.respond(503, {"errorText": f"this call failed: {error!r}"}, False)
            raise
        if isinstance(result, tuple):
            self.budget.release(call.counted_bytes)
            self.respond(*result, call.keep_alive)
        else:
            self.response_task = asyncio.get_running_loop().create_task(self.respond_later(result, call))

    async def respond_later(self, result: Awaitable[Response], call: Call) -> None:
        """Answer once the result is available, then continue with the queue."""
        keep_alive = call.keep_alive
        try:
            status, body = await result
        except Exception as error:
            status, body, keep_alive = 503, {"errorText": f"this call failed: {error!r}"}, False
        finally:
            self.budget.release(call.counted_bytes)
        self.response_task = None
        self.respond(status, body, keep_alive)
        self.handle_queue()

    def handle_queue(self) -> None:
        """Handle the calls that wait, until one is answered later or the client doesn't read."""
        while self.queue and self.response_task is None and not self.output_blocked and not self.gone:
            self.handle_call(self.queue.popleft())
        if self.refusal is not None and self.response_task is None and not self.queue:
            self.reject_rest(self.refusal)
        self.update_reading()

    def respond(self, status: int, body: Any, keep_alive: bool) -> None:
        """Write a response, then wait for the next call or close."""
        if self.transport is None or self.transport.is_closing():
            return
        content_type = b"application/json"
        if isinstance(body, str):
            data, content_type = body.encode(), b"text/plain; version=0.0.4"
        else:
            data = b"" if body is None else body if isinstance(body, bytes) else msgspec.json.encode(body)
        if len(data) >= MIN_COUNTED_BYTES:
            if self.budget.reserve(len(data)):
                self.counted_answer_bytes += len(data)
            else:
                status, data = 503, NO_ROOM_FOR_ANSWER
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b\r\n" % (
            status,
            REASONS.get(status, b"Status"),
            content_type,
            len(data),
            b"" if keep_alive else b"Connection: close\r\n",
        )
        if len(data) >= MIN_COUNTED_BYTES:
            self.transport.writelines((head, data))  # without a copy
        else:
            self.transport.write(head + data)
        if not self.output_blocked:
            self.release_answers()
        if keep_alive:
            self.restart_idle_timer()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the idle timer, and drop what has been received."""
        self.held_input = b""
        self.transport = None
        del self.parser  # it refers to this object, which would live on until the next collection
        if self.limit is not None:
            self.limit.remove(self)
        self.release_body()
        self.release_answers()
        self.budget.release(self.counted_head_bytes)
        self.counted_head_bytes = 0
        for call in self.queue:
            self.budget.release(call.counted_bytes)
        self.queue.clear()
        if self.idle_timer is not None:
            self.idle_timer.cancel()
