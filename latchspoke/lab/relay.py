"""A TCP relay between two processes that injects network faults: delays, stalls, resets and one-way loss.

One relay forwards the connections that one side opens to the other. It listens on loopback and is controlled
from the same event loop. A stream cannot lose bytes and continue, so loss is modelled as a stall or a reset.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum

READ_SIZE_BYTES = 65_536


class Mode(Enum):
    """How the relay treats data and new connections."""

    PASS = "pass"
    HOLD = "hold"  # accept data silently and forward it once the mode changes
    REFUSE = "refuse"  # reset open connections and close new ones at once


class Relay:
    """Forwards connections from its own address to ``target``."""

    def __init__(self, target: tuple[str, int] | str) -> None:
        self.target = target
        self.mode, self.delay = Mode.PASS, 0.0
        # Bytes that the next connection forwards to the target before it breaks; negative for no limit.
        self.break_after_bytes = -1
        self.mode_changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.forwarded_bytes = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> tuple[str, int]:
        """Listen on TCP and return the bound address."""
        self.server = await asyncio.start_server(self.handle_connection, host, port)
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    async def start_unix(self, path: str) -> None:
        """Listen on a Unix socket, instead of ``start``."""
        self.server = await asyncio.start_unix_server(self.handle_connection, path)

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        """Change the mode and the delay (s) of each chunk; REFUSE also resets open connections."""
        self.mode, self.delay = mode, delay
        self.mode_changed.set()
        self.mode_changed = asyncio.Event()
        if mode is Mode.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset open connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward data in both directions until either side closes or fails."""
        upstream_writer: asyncio.StreamWriter | None = None
        self.writers.add(writer)
        try:
            if self.mode is Mode.REFUSE:
                return
            upstream_reader, upstream_writer = await self.dial()
            self.writers.add(upstream_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pump(reader, upstream_writer, self.allowed_bytes))
                group.create_task(self.pump(upstream_reader, writer, lambda size: size))
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for endpoint in (writer, upstream_writer):
                if endpoint is not None:
                    self.writers.discard(endpoint)
                    with contextlib.suppress(OSError):
                        endpoint.transport.abort()

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the target."""
        if isinstance(self.target, str):
            return await asyncio.open_unix_connection(self.target)
        return await asyncio.open_connection(*self.target)

    def allowed_bytes(self, size: int) -> int:
        """Number of bytes to forward before the connection breaks."""
        if self.break_after_bytes < 0:
            return size
        allowed, self.break_after_bytes = min(self.break_after_bytes, size), -1
        return allowed

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, allow: Callable[[int], int]
    ) -> None:
        """Forward one direction; ends with ConnectionResetError when the reader does."""
        while data := await reader.read(READ_SIZE_BYTES):
            if self.delay:
                await asyncio.sleep(self.delay)
            while self.mode is Mode.HOLD:
                await self.mode_changed.wait()
            allowed = allow(len(data))
            writer.write(data[:allowed])
            await writer.drain()
            self.forwarded_bytes += allowed
            if allowed < len(data):
                raise ConnectionResetError("relay broke the connection in the middle of a chunk")
        raise ConnectionResetError("connection closed by peer")
