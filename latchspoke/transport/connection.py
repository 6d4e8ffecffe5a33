"""Held connections on sockets that carry netstrings of JSON, either way. No decision is made here."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

from latchspoke.transport.netstring import FrameDecoder, FrameError, encode_frame

Message = dict[str, Any]
MessageHandler = Callable[["MessageConnection", Message], None]
CloseHandler = Callable[["MessageConnection", str], None]
MAX_UNREAD_BYTES = 8 * 1024 * 1024  # bytes waiting for a peer that doesn't read; it is given up beyond
USER_TIMEOUT_MS = 2500  # ms that sent bytes may go without an acknowledgement (TCP_USER_TIMEOUT)


class MessageConnection(asyncio.Protocol):
    """One connection. ``heard`` gets each message, ``ended`` the reason, once."""

    def __init__(
        self,
        heard: MessageHandler,
        ended: CloseHandler,
        begun: Callable[[MessageConnection], None] | None = None,
    ) -> None:
        self.on_message, self.on_closed, self.on_open = heard, ended, begun
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.reason = ""
        self.closed = False
        self.received_bytes = 0  # bytes
        self.largest_unread_frame = (
            0  # bytes of the largest frame that is not read yet: one alone may exceed the limit
        )
        self.peer = ""
        self.tag: Any = None  # the owner's own

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "?"
        sock = transport.get_extra_info("socket")
        if sock is not None:
            # A machine without power says nothing: what is sent to it must not wait for minutes.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Bytes have come; what is no netstring of JSON ends the connection."""
        self.received_bytes += len(data)
        try:
            messages = self.decoder.feed(data)
        except FrameError as e:
            self.end(str(e))
            return
        for message in messages:
            if self.closed:
                return
            if isinstance(message, dict):
                self.on_message(self, message)
            else:
                self.end("a message is no object")

    def send(self, message: object) -> bool:
        """Whether it was taken; what is taken may be lost all the same, if the connection ends."""
        return self.write(encode_frame(message))

    def write(self, data: bytes) -> bool:
        """A frame made before, as one that goes to many."""
        transport = self.transport
        if transport is None or self.closed or transport.is_closing():
            return False
        unread = transport.get_write_buffer_size()
        if unread <= MAX_UNREAD_BYTES:
            self.largest_unread_frame = 0
        elif unread > MAX_UNREAD_BYTES + self.largest_unread_frame:
            self.end("doesn't read")
            return False
        self.largest_unread_frame = max(self.largest_unread_frame, len(data))
        transport.write(data)
        return True

    def end(self, reason: str) -> None:
        """Break it off; ``reason`` is told to the owner."""
        self.reason = self.reason or reason
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """It is over."""
        self.reason = self.reason or (f"lost: {exc}" if exc else "closed by the peer")
        self.notify_closed()

    def notify_closed(self) -> None:
        """Tell the owner, once."""
        if not self.closed:
            self.closed = True
            self.on_closed(self, self.reason)


async def dial(wire: MessageConnection, host: str, port: int, limit: float) -> bool:
    """Open it within ``limit`` (s); whether it came up. ``ended`` is told if not."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(limit):
            await loop.create_connection(lambda: wire, host, port)
    except (OSError, TimeoutError) as e:
        wire.reason = wire.reason or f"never came up: {e!r}"
        wire.notify_closed()
        return False
    return True
