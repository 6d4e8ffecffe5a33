"""A body in chunks may be framed by more bytes than it holds, but not by far more."""

from __future__ import annotations

from typing import Any, cast

import httptools
import pytest

from latchspoke.net.framing import FRAMING_SLACK_BYTES
from latchspoke.net.http import Connection, ConnectionContext, FramingError, Sockets
from latchspoke.net.stats import Stats
from tests.player import FakeClock

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = 40_000
PIECE_BYTES = 16 * 1024


class Received(Connection):
    """A client's connection that keeps its bodies."""

    def __init__(self) -> None:
        super().__init__(ConnectionContext(cast(Any, FakeClock()), Stats(), Sockets(100), cast(Any, None)))
        self.parser = httptools.HttpRequestParser(self)
        self.bodies: list[bytes] = []

    def on_message_complete(self) -> None:
        self.message_started = False
        self.bodies.append(self.take_body())

    def read(self, data: bytes) -> None:
        for start in range(0, len(data), PIECE_BYTES):
            self.parse(data[start : start + PIECE_BYTES])


def test_body_in_chunks_of_one_byte_is_taken() -> None:
    received = Received()
    received.read(CHUNKED + b"1\r\na\r\n" * CHUNKS + b"0\r\n\r\n")
    assert received.bodies == [b"a" * CHUNKS]


def test_chunks_that_are_mostly_extensions_are_refused() -> None:
    """80 clients that sent them without an end kept nearly all others from an answer."""
    with pytest.raises(FramingError):
        Received().read(CHUNKED + b"1;e=0000\r\na\r\n" * CHUNKS)


def test_what_came_before_a_head_does_not_count_as_framing() -> None:
    received, body = Received(), b"b" * (FRAMING_SLACK_BYTES - 1)
    first = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    second = HEAD + b"Content-Length: 20\r\n\r\n" + b"c" * 10
    received.parse(first * 2 + second)
    received.parse(b"c" * 10)
    assert received.bodies == [body, body, b"c" * 20]
