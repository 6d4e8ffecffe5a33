"""How fast a client sends a body or reads an answer, judged while memory is short. No I/O."""

from __future__ import annotations

MIN_BYTES_PER_S = 16 * 1024  # a slower client is closed while memory is short
WINDOW_S = 1.0


class Pace:
    """The progress of one transfer, over windows of time."""

    __slots__ = ("bytes_before", "slow", "window_begun_at")

    def __init__(self, now: float, done_bytes: int) -> None:
        """``done_bytes``: transferred so far, from any starting point."""
        self.window_begun_at, self.bytes_before = now, done_bytes
        self.slow = False  # in the last whole window

    def update(self, now: float, done_bytes: int) -> bool:
        """Whether the transfer is slow, now that so much of it is done."""
        elapsed_s = now - self.window_begun_at
        if elapsed_s >= WINDOW_S:
            self.slow = done_bytes - self.bytes_before < MIN_BYTES_PER_S * elapsed_s
            self.window_begun_at, self.bytes_before = now, done_bytes
        return self.slow
