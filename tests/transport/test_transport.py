"""Framing of messages, and the HTTP server for calls."""

from __future__ import annotations

import asyncio
import functools
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.transport.body_budget import BodyBudget
from latchspoke.transport.connection import MAX_UNREAD_BYTES, MessageConnection
from latchspoke.transport.connection_limit import ConnectionLimit
from latchspoke.transport.http_server import Caller, HttpServerConnection, Response
from latchspoke.transport.netstring import FrameDecoder, FrameError, encode_frame


def test_frames_are_decoded_however_the_stream_is_split() -> None:
    print("seed 1")
    rng = Random(1)
    messages = [{"k": "x" * rng.randrange(200), "n": n} for n in range(50)]
    stream, decoder, decoded = b"".join(encode_frame(message) for message in messages), FrameDecoder(), []
    while stream:
        size = rng.randrange(1, 90)
        decoded += decoder.feed(stream[:size])
        stream = stream[size:]
    assert decoded == messages and not decoder.buffer


@pytest.mark.parametrize(
    "data", [b"5:abcde", b"x:", b":{},", b"-1:a,", b"99999999999", b"2:{}x", b"1:{,", b"70000000:"]
)
def test_malformed_frames_raise_an_error(data: bytes) -> None:
    with pytest.raises(FrameError):
        FrameDecoder().feed(data + b",")


def exchange(data: bytes) -> bytes:
    """What the server writes to a client that sends this."""
    loop = VirtualLoop(Network(1))
    received: list[bytes] = []

    def handler(method: str, target: str, body: bytes, caller: Caller) -> Any:
        async def later() -> Response:
            await asyncio.sleep(0.1)
            if target == "/bad":
                raise RuntimeError("x")
            return 200, {"later": target}

        return later() if target in ("/later", "/bad") else (404, {"now": body.decode()})

    class Caller(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            received.append(data)

    async def scenario() -> None:
        await loop.create_server(lambda: HttpServerConnection(handler), "h", 1)
        transport, _ = await loop.create_connection(Caller, "h", 1)
        for i in range(0, len(data), 7):
            transport.write(data[i : i + 7])
        await asyncio.sleep(1.0)
        transport.abort()
        await asyncio.sleep(1.0)

    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()
    return b"".join(received)


def test_calls_are_answered_in_order() -> None:
    later = b"GET /later HTTP/1.1\r\n\r\n"
    now = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
    answer = exchange(later + now + later + now)
    assert [part.partition(b"\r\n\r\n")[2][:8] for part in answer.split(b"HTTP/1.1 ")[1:]] == [
        b'{"later"', b'{"now":"', b'{"later"', b'{"now":"',
    ]  # fmt: skip


def test_malformed_and_failing_calls_are_answered_and_close_the_connection() -> None:
    assert exchange(b"nonsense\r\n\r\n").startswith(b"HTTP/1.1 400 ")
    answer = exchange(b"GET /bad HTTP/1.1\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in answer


def test_the_call_in_progress_is_answered_before_malformed_input_is_rejected() -> None:
    """The client took 400 for the answer to its call, which had been executed."""
    answer = exchange(b"GET /later HTTP/1.1\r\n\r\n" + b"nonsense\r\n\r\n")
    first, second = answer.split(b"HTTP/1.1 ")[1:]
    assert first.startswith(b"200 ") and second.startswith(b"400 ") and b"Connection: close" in second


class Sender(asyncio.Protocol):
    """Sends a part of a call with a large body; ``answer`` is what comes back."""

    def __init__(self) -> None:
        self.answer = b""
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.answer += data


def identity(sender: Sender) -> Sender:
    return sender


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_large_bodies_at_once_are_bounded_and_their_room_is_given_back(framing: str) -> None:
    """Fourteen callers with 30 MB each took a control machine to 440 MB, of which 296 were allowed."""
    loop = VirtualLoop(Network(1))
    size, budget = 200_000, BodyBudget(500_000)
    if framing == "length":
        start, end = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size, b""
    else:
        start, end = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % size, b"\r\n0\r\n\r\n"

    async def later() -> Response:
        await asyncio.sleep(0.1)
        return 200, {}

    async def scenario() -> None:
        await loop.create_server(lambda: HttpServerConnection(lambda *_: later(), budget), "h", 1)
        senders = [Sender() for _ in range(5)]
        for sender in senders:
            await loop.create_connection(functools.partial(identity, sender), "h", 1)
            sender.transport.write(start + b"x" * (size - 1))
        await asyncio.sleep(1.0)
        assert budget.held_bytes <= budget.limit_bytes and budget.refused == 3
        refused = [sender for sender in senders if sender.answer]
        assert len(refused) == 3
        assert all(b" 503 " in sender.answer and b"close" in sender.answer for sender in refused)
        waiting = [sender for sender in senders if not sender.answer]
        waiting[0].transport.abort()
        waiting[1].transport.write(b"x" + end)
        await asyncio.sleep(1.0)
        assert b" 200 " in waiting[1].answer and budget.held_bytes == 0
        waiting[1].transport.abort()
        await asyncio.sleep(0.1)

    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


def test_idle_callers_do_not_use_up_the_descriptors_of_a_process() -> None:
    """Callers that asked nothing held all descriptors, so that heartbeats were reset and no link came up."""
    loop = VirtualLoop(Network(1))
    limit = ConnectionLimit(3)

    async def later() -> Response:
        await asyncio.sleep(5.0)
        return 200, {}

    async def scenario() -> None:
        await loop.create_server(lambda: HttpServerConnection(lambda *_: later(), limit=limit), "h", 1)
        senders = [Sender() for _ in range(9)]
        for sender in senders:
            await loop.create_connection(functools.partial(identity, sender), "h", 1)
            if sender is senders[0] or sender is senders[8]:
                sender.transport.write(b"GET / HTTP/1.1\r\n\r\n")
            await asyncio.sleep(0.1)
        assert len(limit.connections) == 3
        await asyncio.sleep(6.0)
        assert [b" 200 " in sender.answer for sender in senders] == [True] + [False] * 7 + [True]
        for sender in senders:
            sender.transport.abort()
        await asyncio.sleep(0.1)
        assert not limit.connections

    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


def test_one_frame_may_exceed_the_write_buffer_limit_but_not_two() -> None:
    """A large configuration ended its connection together with the heartbeat behind it, again and again."""
    buffered_bytes = [0]
    connection = MessageConnection(lambda connection, message: None, lambda connection, reason: None)
    transport = SimpleNamespace(
        is_closing=lambda: False, get_write_buffer_size=lambda: buffered_bytes[0], abort=lambda: None,
        write=lambda data: buffered_bytes.__setitem__(0, buffered_bytes[0] + len(data)),
    )  # fmt: skip
    connection.transport = cast(Any, transport)
    assert connection.write(b"x" * (MAX_UNREAD_BYTES + 10)) and connection.write(b"beat")
    assert connection.write(b"x" * 10), "still within one frame beyond the limit"
    assert (
        connection.write(b"x" * MAX_UNREAD_BYTES)
        and not connection.write(b"beat")
        and connection.reason == "peer does not read"
    )
