"""Memory for large bodies: they are received while there is room for them, and wait in order otherwise.

Small bodies are not counted; their number is bounded by that of the connections.
"""

from __future__ import annotations

import asyncio
import math
from typing import cast

from latchspoke.net.clock import Clock
from latchspoke.net.http import Connection, ConnectionContext, FramingError
from latchspoke.transport.body_budget import MemoryPool

MIN_COUNTED_BYTES = 16 * 1024  # a smaller body is not counted
MEMORY_FRACTION = 0.25  # of the memory limit of the process: for requests, and as much for responses
GROWTH_BYTES = 64 * 1024  # that a body of unknown size waits for
MIN_LIMIT_BYTES = 1024 * 1024
SHORT_S = 3.0  # that memory counts as short after there was no room
NO_MEMORY = "no_memory"  # reason code of a refusal


class LargeBody(bytearray):
    """A body that counts as held until the last reference to it is gone, such as that of a send buffer."""

    __slots__ = ("counted_bytes", "memory")

    def __init__(self, memory: BodyMemory, counted_bytes: int) -> None:
        super().__init__()
        self.memory, self.counted_bytes = memory, counted_bytes

    def __del__(self) -> None:
        self.memory.release(self.counted_bytes)


Body = bytes | LargeBody


class BodyMemory:
    """Counts the bytes of large bodies against a limit; a single body is always admitted."""

    def __init__(self, limit_bytes: int, clock: Clock, pool: MemoryPool | None = None) -> None:
        """``pool``: what this memory is a part of."""
        self.limit_bytes, self.clock = max(limit_bytes, MIN_LIMIT_BYTES), clock
        self.pool = pool or MemoryPool(self.limit_bytes)
        self.pool.on_release.append(self.schedule_grant)
        self.held_bytes = 0
        self.refused_at = -math.inf  # when there was no room last
        self.waiting: dict[BodyConnection, int] = {}  # with the size (bytes), in order of arrival
        self.grant_scheduled = False

    def has_room(self, size: int) -> bool:
        """Whether a body of this size (bytes) may be received now."""
        fits = self.held_bytes + size <= self.limit_bytes and self.pool.has_room(size)
        if fits or not self.held_bytes:
            return True
        self.refused_at = self.clock.now()
        return False

    def is_short(self, now: float) -> bool:
        """Whether bodies wait for room, or there was none a moment ago."""
        return bool(self.waiting) or now - self.refused_at < SHORT_S

    def reserve(self, size: int) -> LargeBody | None:
        """An empty body that counts as ``size`` bytes; None without room, or if others wait."""
        if self.waiting or not self.has_room(size):
            return None
        return self.count(size)

    def count(self, size: int) -> LargeBody:
        """As ``reserve``, but without regard to the limit."""
        self.held_bytes += size
        self.pool.held_bytes += size
        return LargeBody(self, size)

    def grow(self, body: LargeBody, size: int) -> None:
        """Count ``size`` more bytes for a body, without regard to the limit."""
        body.counted_bytes += size
        self.held_bytes += size
        self.pool.held_bytes += size

    def release(self, size: int) -> None:
        """Bytes are no longer held. Waiting connections are told later: this may be called anywhere."""
        self.held_bytes -= size
        self.pool.release(size)

    def schedule_grant(self) -> None:
        """Room may have become free."""
        if self.waiting and not self.grant_scheduled:
            self.grant_scheduled = True
            self.clock.schedule(self.clock.now(), self.grant)

    def view(self) -> dict[str, int]:
        """The state as shown to operators, in bytes."""
        return {"held": self.held_bytes, "limit": self.limit_bytes, "waiting": len(self.waiting)}

    def grant(self, now: float) -> None:
        """Admit waiting bodies in order, as far as there is room."""
        self.grant_scheduled = False
        while self.waiting:
            connection, size = next(iter(self.waiting.items()))
            if not self.has_room(size):
                return
            del self.waiting[connection]
            connection.memory_granted(self.count(size))


class BodyConnection(Connection):
    """A connection whose large bodies are counted; it is not read while a body waits for memory."""

    # Whether a body of unknown size is refused when there is no more room for it.
    refuses_without_room = False

    def __init__(self, context: ConnectionContext, memory: BodyMemory) -> None:
        super().__init__(context)
        self.memory = memory
        self.large_body: LargeBody | None = None
        self.waits_for_memory = False  # the rest of the current body is not read meanwhile

    def announce_large_body(self, size: int) -> None:
        """A body of this size (bytes) follows: reserve memory, or stop reading until there is some."""
        self.large_body = self.memory.reserve(size)
        if self.large_body is None:
            self.wait_for_memory(size)

    def wait_for_memory(self, size: int) -> None:
        """Stop reading until there are so many bytes of memory."""
        self.memory.waiting[self] = size
        self.waits_for_memory = True
        self.context.stats["bodies.waited"] += 1
        self.update_reading()

    def memory_granted(self, body: LargeBody) -> None:
        """Go on with a body that has waited."""
        self.waits_for_memory = False
        if self.large_body is None:
            body += self.take_body()
            self.large_body = body
        else:  # it has waited to grow
            self.large_body.counted_bytes += body.counted_bytes
            body.counted_bytes = 0
        self.update_reading()

    def stop_waiting(self) -> None:
        """Read on without memory for the current body."""
        del self.memory.waiting[self]
        self.waits_for_memory = False
        self.update_reading()

    @property
    def may_read(self) -> bool:
        """Whether more input may be read now."""
        return not self.waits_for_memory

    def update_reading(self) -> None:
        """Resume or pause reading, unless the connection is closing."""
        transport = cast(asyncio.Transport, self.transport)
        if transport is None or self.lost or transport.is_closing():
            return
        if self.may_read:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def store_part(self, part: bytes) -> None:
        """Keep a part of the body. Raises FramingError if there is no room for a body of unknown size."""
        body = self.large_body
        if body is None:
            self.keep_part(part)
            if self.received_bytes >= MIN_COUNTED_BYTES and not self.waits_for_memory:
                self.large_body = self.count_received(self.memory.count(0))
            return
        body += part
        if len(body) > body.counted_bytes:
            self.grow(body, len(body) - body.counted_bytes)

    def grow(self, body: LargeBody, size: int) -> None:
        """Count ``size`` more bytes; without room for them, read on only once there is some.

        Raises FramingError instead if the body is one to be refused.
        """
        has_room = self.memory.has_room(size)
        if self.refuses_without_room and not has_room:
            raise FramingError(503, NO_MEMORY)
        self.memory.grow(body, size)
        if not has_room and not self.waits_for_memory:
            self.wait_for_memory(GROWTH_BYTES)

    def count_received(self, body: LargeBody) -> LargeBody:
        """Move the received parts to ``body`` and count them. Raises FramingError as ``grow``."""
        self.grow(body, self.received_bytes)
        body += b"".join(self.parts)
        self.parts = []
        return body

    def take_counted_body(self) -> Body:
        """As ``take_body``; a body that still waits for memory is complete, and counted now."""
        if self.waits_for_memory:
            self.stop_waiting()
            if self.large_body is None:
                self.large_body = self.count_received(self.memory.count(0))
        if self.large_body is None:
            return self.take_body()
        body, self.large_body = self.large_body, None
        return body

    def connection_lost(self, exc: Exception | None) -> None:
        """As ``Connection.connection_lost``; also drops what was received of a large body."""
        self.memory.waiting.pop(self, None)
        self.waits_for_memory, self.large_body = False, None
        self.parser = None  # it refers to this object, which would live on until the next collection
        super().connection_lost(exc)
