"""Stands on a connection between two processes and does what networks do: slow, silent, broken, one way only.

One relay carries what one side dials to the other. It listens on loopback and is told what to do by whoever
made it, in the same loop. A stream can't lose bytes and go on, so a loss is a hold or a break.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum

READ_SIZE_BYTES = 65_536


class Mode(Enum):
    """What becomes of bytes and of new connections."""

    PASS = "pass"
    HOLD = "hold"  # half-open: taken and kept, and nobody is told; passed on once it is mended
    REFUSE = "refuse"  # standing connections are reset, new ones closed at once


class Relay:
    """From an address of its own to ``target``."""

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
        self.server = await asyncio.start_server(self.handle_connection, host, port)
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    async def start_unix(self, path: str) -> None:
        """In place of ``start``, for those who dial a Unix socket."""
        self.server = await asyncio.start_unix_server(self.handle_connection, path)

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        self.mode, self.delay = mode, delay
        self.mode_changed.set()
        self.mode_changed = asyncio.Event()
        if mode is Mode.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Break all that stands, without a word."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        if isinstance(self.target, str):
            return await asyncio.open_unix_connection(self.target)
        return await asyncio.open_connection(*self.target)

    def allowed_bytes(self, size: int) -> int:
        """How many of these bytes go on."""
        if self.break_after_bytes < 0:
            return size
        allowed, self.break_after_bytes = min(self.break_after_bytes, size), -1
        return allowed

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, allow: Callable[[int], int]
    ) -> None:
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
                raise ConnectionResetError("cut in the middle")
        raise ConnectionResetError("ended")
