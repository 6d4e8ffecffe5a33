"""Spreads the work on large inputs over turns of the event loop, so that no crowd of senders delays others.

A turn handles small inputs as they come, and large ones up to a limit; the others wait for the next turns, in
the order in which they came, and their connections are not read meanwhile. Reads are small, so that a
connection holds little while it waits.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque

READ_BYTES = 16 * 1024  # at most, of one read
MIN_LARGE_BYTES = 2 * 1024  # smaller inputs don't wait
TURN_BYTES = 64 * 1024  # of large inputs in one turn
TCP_CLOSE_WAIT = 8  # the state of a connection whose peer has closed, in TCP_INFO
READ_BUFFER = bytearray(READ_BYTES)  # what it holds is copied before anything else is read
READ_VIEW = memoryview(READ_BUFFER)


class InputTurns:
    """The large inputs of one process that wait for their turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.left_bytes = TURN_BYTES  # of this turn
        self.waiting: deque[BoundedInput] = deque()
        self.scheduled = False

    def admit(self, size: int) -> bool:
        """Whether an input may be handled now."""
        if size < MIN_LARGE_BYTES:
            return True
        if self.waiting or self.left_bytes <= 0:
            return False
        self.left_bytes -= size
        self.schedule()
        return True

    def wait(self, connection: BoundedInput) -> None:
        """Let a connection handle its input in a later turn."""
        self.waiting.append(connection)
        self.schedule()

    def schedule(self) -> None:
        """Let another turn follow."""
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.next_turn)

    def next_turn(self) -> None:
        """Begin a turn with the inputs that wait."""
        self.scheduled, self.left_bytes = False, TURN_BYTES
        while self.waiting and self.left_bytes > 0:
            connection = self.waiting.popleft()
            self.left_bytes -= len(connection.held_input)
            connection.handle_held_input()
        if self.waiting:
            self.schedule()


class BoundedInput(asyncio.BufferedProtocol):
    """A connection that reads little at a time, and whose large inputs take turns."""

    input_turns: InputTurns | None = None  # without it, each input is handled at once
    transport: asyncio.Transport | None = None
    held_input = b""  # read, and not handled yet; dropped when the connection is lost

    def data_received(self, data: bytes) -> None:
        """Handle input."""
        raise NotImplementedError

    def update_reading(self) -> None:
        """Pause or resume reading; paused while ``held_input`` isn't empty."""
        raise NotImplementedError

    def close_unread(self) -> None:
        """Close the connection, as its peer has closed it, and leave its input unread."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> bytearray:
        """Where the event loop puts the next input."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle input now, or in a later turn."""
        data = bytes(READ_VIEW[:nbytes])
        if self.held_input:  # read before the pause took effect
            self.held_input += data
        elif self.input_turns is None or self.input_turns.admit(nbytes):
            self.data_received(data)
        else:
            self.held_input = data
            self.update_reading()
            self.input_turns.wait(self)

    def handle_held_input(self) -> None:
        """Its turn has come."""
        data, self.held_input = self.held_input, b""
        if not data:
            return
        if self.peer_has_closed():
            self.close_unread()
            return
        self.update_reading()
        self.data_received(data)

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its side, so that nobody waits for what its input asks."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None:
            return False
        try:
            return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT)
        except OSError:
            return True
