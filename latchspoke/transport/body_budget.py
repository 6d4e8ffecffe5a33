"""A bound on the memory of what callers leave with a process, such as bodies and unread answers."""

from __future__ import annotations

from collections.abc import Callable

MIN_COUNTED_BYTES = 8 * 1024  # smaller bodies and answers are not counted


class MemoryPool:
    """What all budgets of a process hold together, and the limit for that."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.on_release: list[Callable[[], None]] = []

    def release(self, size: int) -> None:
        """Bytes are no longer held."""
        self.held_bytes -= size
        for notify in self.on_release:
            notify()

    def has_room(self, size: int) -> bool:
        """Whether ``size`` more bytes may be held."""
        return self.held_bytes + size <= self.limit_bytes


class BodyBudget:
    """Counts bytes against a limit, and against that of a pool; a single body is always admitted."""

    def __init__(self, limit_bytes: int, pool: MemoryPool | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.pool = pool or MemoryPool(limit_bytes)
        self.held_bytes = 0
        self.refused = 0  # bodies without room, since the start

    def reserve(self, size: int) -> bool:
        """Count ``size`` more bytes; False if there is no room for them."""
        fits = self.held_bytes + size <= self.limit_bytes and self.pool.has_room(size)
        if self.held_bytes and not fits:
            self.refused += 1
            return False
        self.held_bytes += size
        self.pool.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Bytes are no longer held."""
        self.held_bytes -= size
        self.pool.release(size)


UNLIMITED = BodyBudget(1 << 62)
