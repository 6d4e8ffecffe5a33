"""Netstrings of JSON: ``<length>:<json>,`` (D. J. Bernstein, "Netstrings", 1997)."""

from __future__ import annotations

from typing import Any

import msgspec

MAX_FRAME_BYTES = 64 * 1024 * 1024  # bytes of one frame
MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))

ENCODE = msgspec.json.Encoder().encode
DECODE = msgspec.json.Decoder().decode


class FrameError(ValueError):
    """What came in is no netstring of JSON; one line."""


def encode_frame(message: object) -> bytes:
    """One message as bytes. ``message``: anything msgspec writes as JSON."""
    body = ENCODE(message)
    return b"%d:%b," % (len(body), body)


class FrameDecoder:
    """Cuts a stream of bytes into messages, wherever the pieces end."""

    def __init__(self, most: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = most
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """The messages that are whole now. Raises FrameError; then the stream is of no more use."""
        self.buffer += data
        found: list[Any] = []
        start = 0
        while True:
            colon = self.buffer.find(b":", start, start + MAX_LENGTH_DIGITS + 1)
            if colon < 0:
                if len(self.buffer) - start > MAX_LENGTH_DIGITS:
                    raise FrameError("a frame has no length")
                break
            digits = bytes(self.buffer[start:colon])
            if not digits.isdigit() or int(digits) > self.max_frame_bytes:
                raise FrameError(f"a frame's length is {digits[:20]!r}")
            end = colon + 1 + int(digits)
            if end >= len(self.buffer):
                break
            if self.buffer[end] != 0x2C:
                raise FrameError("a frame doesn't end where it says")
            try:
                found.append(DECODE(memoryview(self.buffer)[colon + 1 : end].tobytes()))
            except msgspec.DecodeError as e:
                raise FrameError(f"a frame is no JSON: {e}") from None
            start = end + 1
        del self.buffer[:start]
        return found
