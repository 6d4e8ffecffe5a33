"""A bound on the memory of what callers leave with a process, such as bodies and unread answers."""

from __future__ import annotations

MIN_COUNTED_BYTES = 8 * 1024  # smaller bodies and answers are not counted


class BodyBudget:
    """Counts bytes against a limit; a single body is always admitted."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused = 0  # bodies without room, since the start

    def reserve(self, size: int) -> bool:
        """Count ``size`` more bytes; False if there is no room for them."""
        if self.held_bytes and self.held_bytes + size > self.limit_bytes:
            self.refused += 1
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Bytes are no longer held."""
        self.held_bytes -= size


UNLIMITED = BodyBudget(1 << 62)
