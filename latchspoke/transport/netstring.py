"""Netstrings of JSON: ``<length>:<json>,`` (D. J. Bernstein, "Netstrings", 1997)."""

from __future__ import annotations

from typing import Any

import msgspec

from latchspoke.transport.json_size import decoded_size

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_DECODED_BYTES = 1 << 62
MIN_ESTIMATED_BYTES = 64 * 1024  # smaller messages take little
MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))

ENCODE = msgspec.json.Encoder().encode
DECODE = msgspec.json.Decoder().decode


class FrameError(ValueError):
    """Input that is not a netstring of JSON; one line."""


def encode_frame(message: object) -> bytes:
    """Encode one message; ``message`` is anything that msgspec writes as JSON."""
    body = ENCODE(message)
    return b"%d:%b," % (len(body), body)


class FrameDecoder:
    """Decodes messages from a byte stream, however it is split."""

    def __init__(
        self, max_frame_bytes: int = MAX_FRAME_BYTES, max_decoded_bytes: int = MAX_DECODED_BYTES
    ) -> None:
        """``max_decoded_bytes``: that one message may take in memory, as far as can be told beforehand."""
        self.max_frame_bytes, self.max_decoded_bytes = max_frame_bytes, max_decoded_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """The messages completed by ``data``. After a FrameError the stream cannot be used any more."""
        self.buffer += data
        messages: list[Any] = []
        start = 0
        while True:
            colon = self.buffer.find(b":", start, start + MAX_LENGTH_DIGITS + 1)
            if colon < 0:
                if len(self.buffer) - start > MAX_LENGTH_DIGITS:
                    raise FrameError("frame without a length")
                break
            length_digits = bytes(self.buffer[start:colon])
            if not length_digits.isdigit() or int(length_digits) > self.max_frame_bytes:
                raise FrameError(f"invalid frame length: {length_digits[:20]!r}")
            end = colon + 1 + int(length_digits)
            if end >= len(self.buffer):
                break
            if self.buffer[end] != 0x2C:
                raise FrameError("frame does not end with a comma")
            text = memoryview(self.buffer)[colon + 1 : end].tobytes()
            start = end + 1
            if start == len(self.buffer):  # so that a large message is not held twice while it is decoded
                self.buffer, start = bytearray(), 0
            if len(text) > MIN_ESTIMATED_BYTES and decoded_size(text) > self.max_decoded_bytes:
                raise FrameError("message takes too much memory")
            try:
                messages.append(DECODE(text))
            except msgspec.DecodeError as error:
                raise FrameError(f"frame is not valid JSON: {error}") from None
        del self.buffer[:start]
        return messages
