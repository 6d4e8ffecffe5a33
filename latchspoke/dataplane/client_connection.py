"""One client connection: framing, what its request may hold, and the writing of its response."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import httptools

from latchspoke.dataplane.body_memory import (
    MIN_COUNTED_BYTES,
    NO_MEMORY,
    Body,
    BodyConnection,
    LargeBody,
)
from latchspoke.dataplane.exchange import ClientExchange, status_line
from latchspoke.dataplane.pace import Pace
from latchspoke.net.http import FramingError, ParserError, parse_error
from latchspoke.transport.input_turns import BoundedInput

if TYPE_CHECKING:
    from latchspoke.dataplane.downstream import Downstream

LINGER_S = 0.5  # input is drained this long after an error response, so that a reset does not destroy it
MEMORY_WAIT_S = 0.5  # how long a large request waits for memory before it is refused
HEADER_BYTES = 384  # that one short header takes in memory
MIN_COUNTED_HEAD_BYTES = 8 * 1024  # a head that takes less is not counted
HEAD_LIMIT_MARGIN_BYTES = 4096  # above ``maxHeaderBytes``, for the request line and framing
NO_MEMORY_RETRY_AFTER_S = 0.3
SINGLE_VALUE_HEADERS = frozenset(
    (b"host", b"x-attempt-id", b"x-deadline-remaining", b"authorization", b"content-length")
)


class ClientConnection(BodyConnection, BoundedInput):
    """One client connection, serving one request at a time."""

    side = "client"
    refuses_without_room = True

    def __init__(self, downstream: Downstream) -> None:
        super().__init__(downstream.context, downstream.body_memory)
        self.downstream, self.input_turns = downstream, downstream.input_turns
        self.exchange: ClientExchange | None = None  # the received request that is not yet answered
        self.fault: FramingError | None = None
        self.ending = False
        self.keep_alive = True
        self.waiting_since = self.opened_at  # when the current wait (idle, or for more input) began
        self.unsent_bytes, self.unsent_since = 0, 0.0  # of a large response, and when this last changed
        self.body_pace: Pace | None = None  # of a large body that is being received
        self.answer_pace: Pace | None = None  # of a large answer that is being sent
        self.answer_deadline = math.inf  # after which the client doesn't wait for it
        self.output_blocked = False  # the client doesn't read: nothing more is read from it meanwhile
        self.head_memory: LargeBody | None = None  # counts a head of many fields
        self.url = b""
        self.header_pairs: list[tuple[bytes, bytes]] = []
        self.parser = httptools.HttpRequestParser(self)

    @property
    def busy(self) -> bool:
        """Whether a received request is not yet answered."""
        return self.exchange is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self.downstream.client_connected(self)

    def data_received(self, data: bytes) -> None:
        """Parse input; malformed input is rejected."""
        if self.ending or self.fault is not None:
            return
        try:
            self.parse(data, self.downstream.limits.header_bytes + HEAD_LIMIT_MARGIN_BYTES)
            if self.message_started and not self.headers_complete:
                self.count_head()
        except httptools.HttpParserUpgrade:
            # The request may be complete and in flight; its response is then the last one here.
            self.reject(FramingError(0 if self.busy else 400, "upgrade"))
        except ParserError as error:
            self.reject(parse_error(error))

    def reject(self, fault: FramingError) -> None:
        """Answer malformed input with an error and close, after the request that is in flight."""
        self.fault = fault.without_traceback()
        if not self.busy:
            self.write_fault_response()

    def write_fault_response(self) -> None:
        """Write the error response, then drain input for a moment so that the client can read it."""
        if self.fault is None or self.transport is None or self.lost:
            return
        fault, self.ending = self.fault, True
        self.headers, self.header_pairs, self.parts = {}, [], []
        self.head_memory = self.large_body = None
        self.close_code = self.close_code or "bad_request"
        self.context.stats[f"clients.{fault.status}"] += 1
        if fault.status:
            retry_header = b"Retry-After: %.3f\r\n" % NO_MEMORY_RETRY_AFTER_S if fault.status == 503 else b""
            end = b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            self.transport.write(status_line(fault.status) + retry_header + end)
        self.transport.write_eof()
        clock = self.context.clock
        clock.schedule(clock.now() + LINGER_S, lambda now: self.end("linger", flush=True))

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self.busy:
            # Pipelined requests are left unread; the client can send them again on another connection.
            raise FramingError(0, "pipelined")
        super().on_message_begin()
        self.url = b""
        self.header_pairs, self.head_memory, self.body_pace = [], None, None
        self.waiting_since = self.context.clock.now()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; headers that must be unique are checked, and trailers are ignored."""
        lower = name.lower()
        previous = self.headers.get(lower)
        if previous is not None and lower in SINGLE_VALUE_HEADERS:
            raise FramingError(400, "repeated header")
        if self.headers_complete:
            return
        # Repeated Connection headers are combined: each names hop-by-hop headers.
        self.headers[lower] = value if previous is None or lower != b"connection" else previous + b"," + value
        self.header_pairs.append((name, value))

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url

    def count_head(self) -> None:
        """Count a large head against the memory for bodies. Raises FramingError without room."""
        size = max(len(self.header_pairs) * HEADER_BYTES, self.unparsed_bytes)
        if size < MIN_COUNTED_HEAD_BYTES:
            return
        if self.head_memory is None:
            self.head_memory = self.memory.count(0)
        self.grow(self.head_memory, size - self.head_memory.counted_bytes)

    def on_headers_complete(self) -> None:
        """Check the announced body size and answer ``Expect: 100-continue``."""
        super().on_headers_complete()
        self.count_head()
        self.waiting_since = self.context.clock.now()
        length = self.headers.get(b"content-length", b"0")
        size = int(length) if length.isdigit() else 0
        if size > self.downstream.limits.body_bytes:
            raise FramingError(413, "oversize")
        if size >= MIN_COUNTED_BYTES:
            self.body_pace = Pace(self.waiting_since, 0)
            self.announce_large_body(size)
        if self.waits_for_memory:
            clock, request = self.context.clock, self.headers
            clock.schedule(clock.now() + MEMORY_WAIT_S, lambda now: self.memory_wait_expired(request))
        else:
            self.write_continue()

    def write_continue(self) -> None:
        """Answer ``Expect: 100-continue``."""
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def memory_granted(self, body: LargeBody) -> None:
        """As ``BodyConnection.memory_granted``; the client may wait to be asked for the body."""
        super().memory_granted(body)
        self.waiting_since = self.context.clock.now()
        self.write_continue()

    def memory_wait_expired(self, request: dict[bytes, bytes]) -> None:
        """Refuse a body that still waits; ``request`` is the header that announced it."""
        if self.waits_for_memory and self.headers is request:
            self.stop_waiting()
            self.downstream.record_refusal(NO_MEMORY)
            self.reject(FramingError(503, NO_MEMORY))

    def on_body(self, part: bytes) -> None:
        """Append a part of the body, up to the size limit."""
        self.unparsed_bytes = 0
        self.received_bytes += len(part)
        if self.received_bytes > self.downstream.limits.body_bytes:
            raise FramingError(413, "oversize")
        self.waiting_since = self.context.clock.now()
        if self.body_pace is None and self.received_bytes >= MIN_COUNTED_BYTES:
            self.body_pace = Pace(self.waiting_since, self.received_bytes)
        self.store_part(part)

    def on_message_complete(self) -> None:
        """Start processing the request."""
        self.message_started, self.unparsed_bytes, self.body_pace = False, 0, None
        self.message_count += 1
        self.keep_alive = self.parser.should_keep_alive()
        refused = self.waits_for_memory
        if refused:
            self.stop_waiting()
        exchange = self.exchange = ClientExchange(
            self, self.context.stats, self.parser.get_method(), self.url, self.headers, self.header_pairs,
            self.take_counted_body(), self.context.clock.now(),
        )  # fmt: skip
        # The exchange alone holds the request, which ends with it; the connection may rest for long.
        exchange.head_memory, self.head_memory = self.head_memory, None
        self.url, self.headers, self.header_pairs = b"", {}, []
        if refused:
            self.downstream.reject_request(exchange, 503, NO_MEMORY, retry_after=NO_MEMORY_RETRY_AFTER_S)
        else:
            self.downstream.handle_request(exchange)

    # Responses.

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the current response."""
        return not self.keep_alive or self.downstream.stopping or self.fault is not None

    def write_response(self, exchange: ClientExchange, data: bytes, body: Body = b"") -> bool:
        """Write the response if ``exchange`` is the request being served. ``body``: what follows ``data``."""
        if exchange is not self.exchange:
            return False
        self.exchange = None
        self.waiting_since = self.context.clock.now()
        if self.transport is not None and not self.lost and not self.transport.is_closing():
            if body:
                self.transport.writelines((data, body))
                self.unsent_bytes = self.transport.get_write_buffer_size()
                self.unsent_since = self.waiting_since
                self.answer_pace = Pace(self.waiting_since, -self.unsent_bytes)
                self.answer_deadline = exchange.deadline
            else:
                self.transport.write(data)
            self.after_response()
        return True

    @property
    def may_read(self) -> bool:
        """Whether more input may be read now."""
        return not self.waits_for_memory and not self.output_blocked and not self.held_input

    def close_unread(self) -> None:
        """Close the connection, as its client has closed it."""
        self.end("peer_closed")

    @property
    def has_unread_input(self) -> bool:
        """As ``Connection.has_unread_input``; also input that waits for its turn."""
        return bool(self.held_input) or super().has_unread_input

    def pause_writing(self) -> None:
        """The client doesn't read its responses; further requests are not read until it does."""
        self.output_blocked = True
        self.unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        self.unsent_since = self.context.clock.now()
        self.update_reading()

    def resume_writing(self) -> None:
        """The client has read most of its responses."""
        self.output_blocked = False
        self.update_reading()

    def end_if_stuck(self, now: float) -> None:
        """Close the connection if nothing of its responses has been sent for the idle timeout."""
        if not self.unsent_bytes or self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes, self.unsent_since = unsent_bytes, now
        elif now - self.unsent_since > self.downstream.limits.idle_s:
            self.unsent_bytes = 0
            self.end("stuck")

    def end_if_slow(self, now: float) -> None:
        """Close the connection if it holds memory for long: called while memory is short.

        It does so by a large answer that the client reads slowly, or no longer waits for, or by a large body
        that it sends slowly.
        """
        if self.unsent_bytes and self.answer_pace is not None and self.transport is not None:
            unsent_bytes = self.transport.get_write_buffer_size()
            slow = self.answer_pace.update(now, -unsent_bytes)
            if unsent_bytes and (slow or now > self.answer_deadline):
                self.context.stats["clients.slow"] += 1
                self.end("slow")
        elif self.body_pace is not None and not self.waits_for_memory and not self.ending:
            if self.body_pace.update(now, self.received_bytes):
                self.context.stats["clients.slow"] += 1
                self.reject(FramingError(408, "slow"))

    def after_response(self) -> None:
        """Wait for the next request, or close."""
        if self.fault is not None:
            if self.fault.status:
                self.write_fault_response()
            else:
                self.ending = True
                self.end(self.fault.reason, flush=True)
        elif self.closes_after_response:
            self.ending = True
            self.end("drained" if self.downstream.stopping else "asked_close", flush=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is in flight."""
        super().connection_lost(exc)
        self.head_memory, self.held_input = None, b""
        self.downstream.clients.pop(self, None)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.downstream.cancel(exchange)
