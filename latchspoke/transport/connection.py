"""Persistent connections that carry netstrings of JSON in both directions."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import msgspec

from latchspoke.transport.body_budget import MIN_COUNTED_BYTES, UNLIMITED, BodyBudget
from latchspoke.transport.connection_limit import ConnectionLimit
from latchspoke.transport.input_turns import BoundedInput, InputTurns
from latchspoke.transport.netstring import MAX_DECODED_BYTES, FrameDecoder, FrameError, encode_frame
from latchspoke.transport.output_budget import OutputBudget

Message = dict[str, Any]
MessageHandler = Callable[["MessageConnection", Message], None]
CloseHandler = Callable[["MessageConnection", str], None]
MAX_UNREAD_BYTES = 8 * 1024 * 1024  # in the write buffer before a peer that does not read is dropped
USER_TIMEOUT_MS = 2500  # TCP_USER_TIMEOUT: sent data may stay unacknowledged for so long


class InboundLimits(msgspec.Struct, frozen=True):
    """What connections to the internal port may take, all together."""

    connections: ConnectionLimit
    input_turns: InputTurns
    max_decoded_bytes: int  # of one message


class MessageConnection(BoundedInput):
    """One connection. ``on_message`` gets each message, ``on_closed`` the reason for the end, once."""

    def __init__(
        self,
        on_message: MessageHandler,
        on_closed: CloseHandler,
        on_open: Callable[[MessageConnection], None] | None = None,
        budget: BodyBudget = UNLIMITED,
        limits: InboundLimits | None = None,
        output: OutputBudget | None = None,
    ) -> None:
        """``budget``: for large messages while they are received; without room, the connection ends.

        ``limits``: for a connection that another process, or anybody else, has opened. ``output``: for what
        the peers of all connections do not read.
        """
        self.output = output
        self.budget, self.counted_bytes, self.limits = budget, 0, limits
        self.input_turns = limits.input_turns if limits is not None else None
        self.on_message, self.on_closed, self.on_open = on_message, on_closed, on_open
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder(
            max_decoded_bytes=limits.max_decoded_bytes if limits is not None else MAX_DECODED_BYTES
        )
        self.reason = ""
        self.closed = False
        self.received_bytes = 0
        self.largest_unread_frame = 0  # bytes; a single frame may exceed the limit
        self.peer = ""
        self.tag: Any = None  # for use by the owner
        self.message_count = 0  # received

    @property
    def busy(self) -> bool:
        """Whether a message has come, so that a peer has most likely opened this connection."""
        return self.message_count > 0

    def abort(self) -> None:
        """Close the connection, as there are too many."""
        self.end("too many connections")

    def close_unread(self) -> None:
        """Close the connection, as its peer has closed it."""
        self.end("closed by the peer")

    def update_reading(self) -> None:
        """Read no more while input waits for its turn."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.held_input:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options and notify the owner."""
        self.transport = cast(asyncio.Transport, transport)
        if self.limits is not None:
            self.limits.connections.add(self)
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "?"
        raw_socket = transport.get_extra_info("socket")
        if raw_socket is not None:
            # A peer that has lost power sends no reset; without this, data sent to it would wait for minutes.
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.output is not None:
            self.output.add(self)
        if self.on_open is not None:
            self.on_open(self)

    @property
    def unread_bytes(self) -> int:
        """Written, and not yet taken by the peer."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def data_received(self, data: bytes) -> None:
        """Decode messages; malformed input ends the connection."""
        self.received_bytes += len(data)
        try:
            messages = self.decoder.feed(data)
        except FrameError as error:
            self.end(str(error))
            return
        self.count_unfinished()
        for message in messages:
            if self.closed:
                return
            if isinstance(message, dict):
                self.message_count += 1
                self.on_message(self, message)
            else:
                self.end("message is not a JSON object")

    def count_unfinished(self) -> None:
        """Count what has been received of an unfinished large message."""
        size = len(self.decoder.buffer)
        if size < MIN_COUNTED_BYTES:
            size = 0
        if size <= self.counted_bytes:
            self.budget.release(self.counted_bytes - size)
        elif not self.budget.reserve(size - self.counted_bytes):
            self.end("too many large messages at once")
            return
        self.counted_bytes = size

    def send(self, message: object) -> bool:
        """Send a message. Returns whether it was queued; it may still be lost if the connection ends."""
        return self.write(encode_frame(message))

    def write(self, data: bytes) -> bool:
        """Send an encoded frame, as for messages that go to many peers."""
        transport = self.transport
        if transport is None or self.closed or transport.is_closing():
            return False
        unread = transport.get_write_buffer_size()
        if unread <= MAX_UNREAD_BYTES:
            self.largest_unread_frame = 0
        elif unread > MAX_UNREAD_BYTES + self.largest_unread_frame:
            self.end("peer does not read")
            return False
        if self.output is not None and not self.output.has_room(self, len(data)):
            self.end("peers do not read")
            return False
        self.largest_unread_frame = max(self.largest_unread_frame, len(data))
        transport.write(data)
        return True

    def end(self, reason: str) -> None:
        """Abort the connection; ``reason`` is passed to the owner."""
        self.reason = self.reason or reason
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the reason and notify the owner."""
        self.budget.release(self.counted_bytes)
        self.counted_bytes, self.decoder, self.held_input = 0, FrameDecoder(), b""
        if self.limits is not None:
            self.limits.connections.remove(self)
        if self.output is not None:
            self.output.remove(self)
        self.reason = self.reason or (f"connection lost: {exc}" if exc else "closed by the peer")
        self.notify_closed()

    def notify_closed(self) -> None:
        """Call ``on_closed``, once."""
        if not self.closed:
            self.closed = True
            self.on_closed(self, self.reason)


async def dial(connection: MessageConnection, host: str, port: int, timeout_s: float) -> bool:
    """Open a connection within ``timeout_s``. On failure, calls ``on_closed`` and returns False."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: connection, host, port)
    except (OSError, TimeoutError) as error:
        connection.reason = connection.reason or f"connection failed: {error!r}"
        connection.notify_closed()
        return False
    return True
