"""Documents that take many times their size once decoded are refused before that; so are too many peers."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import msgspec
import pytest

from latchspoke.transport.body_budget import BodyBudget, MemoryPool
from latchspoke.transport.connection import InboundLimits, MessageConnection
from latchspoke.transport.connection_limit import ConnectionLimit
from latchspoke.transport.http_server import (
    MAX_SMALL_BODY_BYTES,
    MAX_UNCOUNTED_CALLS,
    HttpServerConnection,
)
from latchspoke.transport.input_turns import InputTurns
from latchspoke.transport.json_size import decoded_size
from latchspoke.transport.netstring import FrameDecoder, FrameError, encode_frame
from tests.transport.test_unread import UnreadTransport, connect

BOMB = b'{"x":[' + b"{}," * 100_000 + b"0]}"
LIMIT_BYTES = 4_000_000
PEERS = 3


def test_frame_that_takes_too_much_memory_is_refused() -> None:
    """A message of 8 MB took a process from 31 to 238 MB."""
    decoder = FrameDecoder(max_decoded_bytes=LIMIT_BYTES)
    assert decoder.feed(encode_frame({"x": "a" * 200_000}))
    with pytest.raises(FrameError):
        decoder.feed(b"%d:%b," % (len(BOMB), BOMB))


@pytest.mark.parametrize(
    "element", [b"{}", b"[]", b'{"a":0}', b"[[[]]]", b"1000", b'"ab"', b'{"a":{"b":{}}}', b"1.5"]
)
def test_estimate_is_not_below_what_values_take(element: bytes) -> None:
    import tracemalloc

    text = b"[" + (element + b",") * 20_000 + b"0]"
    tracemalloc.start()
    decoded = msgspec.json.decode(text)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(decoded) and taken <= decoded_size(text) * 1.1


def limits(most: int = PEERS) -> InboundLimits:
    turns = InputTurns(cast(asyncio.AbstractEventLoop, None))
    return InboundLimits(ConnectionLimit(most), turns, LIMIT_BYTES)


async def connect_peer(shared: InboundLimits) -> UnreadTransport:
    connection = MessageConnection(lambda *_: None, lambda *_: None, limits=shared)
    return await connect(connection)


def test_peers_that_have_spoken_outlast_a_crowd_that_says_nothing() -> None:
    """600 connections that said nothing took a process of 400 descriptors to 618."""

    async def scenario() -> None:
        shared = limits()
        peer, *silent = [await connect_peer(shared) for _ in range(PEERS)]
        peer.protocol.data_received(encode_frame({"k": "peer", "name": "a"}))
        crowd = [await connect_peer(shared) for _ in range(10)]
        assert not peer.closed and all(transport.closed for transport in silent)
        assert [transport.closed for transport in crowd].count(False) == PEERS - 1
        for transport in (peer, *crowd):
            transport.protocol.connection_lost(None)
        assert not shared.connections.connections

    asyncio.run(scenario())


def test_large_body_of_a_call_that_takes_none_is_refused_with_413() -> None:
    """Heartbeats of 8 MB took a control machine to 237 MB, of which 96 were allowed."""

    async def scenario() -> None:
        calls: list[Any] = []
        connection = HttpServerConnection(
            lambda *call: calls.append(call) or (200, {}),  # type: ignore[func-returns-value]
            takes_large_body=lambda target: b"configuration" in target,
        )
        transport = await connect(connection)
        body = b"x" * (MAX_SMALL_BODY_BYTES + 1)
        for target in (b"configuration.replace", b"instances.heartbeat"):
            head = b"POST /rpc?call=%b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (
                target,
                len(body),
            )
            connection.data_received(head + body)
            assert transport.read().startswith(b"HTTP/1.1 200" if b"config" in target else b"HTTP/1.1 413")
        assert transport.closed and len(calls) == 1
        connection.connection_lost(None)

    asyncio.run(scenario())


def test_many_waiting_calls_and_unfinished_heads_are_counted() -> None:
    async def scenario() -> None:
        budget = BodyBudget(1 << 20)
        connection = HttpServerConnection(lambda *_: asyncio.sleep(60, (200, {})), budget)
        await connect(connection)
        connection.data_received(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * (MAX_UNCOUNTED_CALLS + 11))
        assert budget.held_bytes > 0
        connection.connection_lost(None)
        other = HttpServerConnection(lambda *_: (200, {}), budget)
        await connect(other)
        held_before = budget.held_bytes
        other.data_received(b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000)
        assert budget.held_bytes >= held_before + 20_000
        other.data_received(b"\r\n\r\n")
        assert budget.held_bytes == held_before
        other.connection_lost(None)

    asyncio.run(scenario())


def test_budgets_share_the_limit_of_their_pool() -> None:
    pool = MemoryPool(1000)
    first, second = BodyBudget(800, pool), BodyBudget(800, pool)
    assert first.reserve(700) and second.reserve(200) and not second.reserve(200)
    first.release(700)
    assert second.reserve(200)
