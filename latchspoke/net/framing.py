"""A limit on the framing of chunked bodies."""

from __future__ import annotations

FRAMING_SLACK_BYTES = 64 * 1024  # that the framing of chunks may always take
MAX_FRAMING_FACTOR = 8  # of a body with the framing of its chunks, to the body


def framed_size_limit(body_bytes: int) -> int:
    """The most that a body may take with its framing; chunks of one byte take six times their size."""
    return FRAMING_SLACK_BYTES + MAX_FRAMING_FACTOR * body_bytes
