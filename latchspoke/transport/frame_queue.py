"""Messages that wait for a connection, within bounds of their number and of their bytes."""

from __future__ import annotations

from collections import deque

from latchspoke.transport.netstring import encode_frame


class FrameQueue:
    """Encoded messages, the oldest first. Those that don't fit are dropped: any message may be lost."""

    def __init__(self, max_frames: int, max_bytes: int) -> None:
        """Above either bound the oldest messages are dropped; one that alone is too large is not kept."""
        self.max_frames, self.max_bytes = max_frames, max_bytes
        self.frames: deque[bytes] = deque()
        self.held_bytes = 0

    def __len__(self) -> int:
        return len(self.frames)

    def append(self, message: object) -> None:
        """Add a message."""
        frame = encode_frame(message)
        if len(frame) > self.max_bytes:
            return
        self.frames.append(frame)
        self.held_bytes += len(frame)
        while len(self.frames) > self.max_frames or self.held_bytes > self.max_bytes:
            self.pop()

    def pop(self) -> bytes:
        """Remove and return the oldest message, encoded. Raises IndexError if there is none."""
        frame = self.frames.popleft()
        self.held_bytes -= len(frame)
        return frame
