"""Frames however they are cut, and calls at a door."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.transport.connection import MAX_UNREAD_BYTES, MessageConnection
from latchspoke.transport.http_server import Caller, HttpServerConnection, Response
from latchspoke.transport.netstring import FrameDecoder, FrameError, encode_frame


def test_frames_come_out_whole_wherever_the_stream_is_cut() -> None:
    print("seed 1")
    draw = Random(1)
    messages = [{"k": "x" * draw.randrange(200), "n": n} for n in range(50)]
    stream, frames, found = b"".join(encode_frame(each) for each in messages), FrameDecoder(), []
    while stream:
        cut = draw.randrange(1, 90)
        found += frames.feed(stream[:cut])
        stream = stream[cut:]
    assert found == messages and not frames.buffer


@pytest.mark.parametrize(
    "data", [b"5:abcde", b"x:", b":{},", b"-1:a,", b"99999999999", b"2:{}x", b"1:{,", b"70000000:"]
)
def test_what_is_no_frame_ends_the_stream(data: bytes) -> None:
    with pytest.raises(FrameError):
        FrameDecoder().feed(data + b",")


def asked(data: bytes) -> bytes:
    """What a door writes to a caller that sends this."""
    loop = VirtualLoop(Network(1))
    got: list[bytes] = []

    def handler(method: str, target: str, body: bytes, caller: Caller) -> Any:
        async def later() -> Response:
            await asyncio.sleep(0.1)
            if target == "/bad":
                raise RuntimeError("x")
            return 200, {"later": target}

        return later() if target in ("/later", "/bad") else (404, {"now": body.decode()})

    class Caller(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            got.append(data)

    async def story() -> None:
        await loop.create_server(lambda: HttpServerConnection(handler), "h", 1)
        transport, _ = await loop.create_connection(Caller, "h", 1)
        for i in range(0, len(data), 7):
            transport.write(data[i : i + 7])
        await asyncio.sleep(1.0)
        transport.abort()
        await asyncio.sleep(1.0)

    try:
        loop.run_until_complete(story())
    finally:
        loop.close()
    return b"".join(got)


def test_a_door_answers_calls_in_their_order() -> None:
    later = b"GET /later HTTP/1.1\r\n\r\n"
    now = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
    told = asked(later + now + later + now)
    assert [part.partition(b"\r\n\r\n")[2][:8] for part in told.split(b"HTTP/1.1 ")[1:]] == [
        b'{"later"', b'{"now":"', b'{"later"', b'{"now":"',
    ]  # fmt: skip


def test_a_door_says_what_it_cannot_take_and_closes() -> None:
    assert asked(b"nonsense\r\n\r\n").startswith(b"HTTP/1.1 400 ")
    told = asked(b"GET /bad HTTP/1.1\r\n\r\n")
    assert told.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in told


def test_a_door_answers_the_call_under_way_before_it_tells_of_what_it_cannot_take() -> None:
    """The caller took 400 for the answer to its call, which was carried out."""
    told = asked(b"GET /later HTTP/1.1\r\n\r\n" + b"nonsense\r\n\r\n")
    first, second = told.split(b"HTTP/1.1 ")[1:]
    assert first.startswith(b"200 ") and second.startswith(b"400 ") and b"Connection: close" in second


def test_one_frame_may_exceed_what_waits_unread_but_not_two() -> None:
    """A configuration of ten megabytes ended its connection with the heartbeat behind it, for ever."""
    waiting = [0]
    wire = MessageConnection(lambda wire, message: None, lambda wire, reason: None)
    transport = SimpleNamespace(
        is_closing=lambda: False, get_write_buffer_size=lambda: waiting[0], abort=lambda: None,
        write=lambda data: waiting.__setitem__(0, waiting[0] + len(data)),
    )  # fmt: skip
    wire.transport = cast(Any, transport)
    assert wire.write(b"x" * (MAX_UNREAD_BYTES + 10)) and wire.write(b"beat")
    assert wire.write(b"x" * 10), "still within one frame beyond the limit"
    assert (
        wire.write(b"x" * MAX_UNREAD_BYTES)
        and not wire.write(b"beat")
        and wire.reason == "peer does not read"
    )
