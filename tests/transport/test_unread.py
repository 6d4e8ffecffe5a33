"""What callers leave with a process stays small: waiting calls, unread answers, endless heads, messages."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any, cast

import msgspec
import pytest

from latchspoke.transport.body_budget import BodyBudget
from latchspoke.transport.connection import MessageConnection
from latchspoke.transport.http_server import MAX_HEAD_BYTES, HttpServerConnection
from latchspoke.transport.output_budget import OutputBudget

CALL = b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n"
ANSWER = {"text": "x" * 20_000}
ANSWER_BYTES = len(msgspec.json.encode(ANSWER))
PIECE_BYTES = 64 * 1024  # as read from a socket


class UnreadTransport:
    """A transport whose peer reads only when ``read`` is called."""

    def __init__(self, protocol: Any) -> None:
        self.protocol, self.unread, self.paused, self.closed = protocol, b"", False, False

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_extra_info(self, name: str) -> None:
        return None

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def is_closing(self) -> bool:
        return self.closed

    def write(self, data: bytes) -> None:
        self.unread += data
        self.protocol.pause_writing()

    def writelines(self, parts: Any) -> None:
        self.write(b"".join(parts))

    def close(self) -> None:
        self.closed = True

    abort = close

    def get_write_buffer_size(self) -> int:
        return len(self.unread)

    def read(self) -> bytes:
        """Read all that was written."""
        data, self.unread = self.unread, b""
        self.protocol.resume_writing()
        return data


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    yield loop
    asyncio.set_event_loop(None)
    loop.close()


async def connect(connection: Any) -> UnreadTransport:
    transport = UnreadTransport(connection)
    connection.connection_made(cast(Any, transport))
    return transport


def test_calls_of_a_client_that_reads_no_answers_wait_unread(loop: asyncio.AbstractEventLoop) -> None:
    """Ten such clients took a control machine to 861 MB, of which 296 were allowed."""

    async def scenario() -> None:
        budget, handled = BodyBudget(1 << 20), []
        connection = HttpServerConnection(lambda *call: handled.append(call) or (200, ANSWER), budget)  # type: ignore[func-returns-value]
        transport = await connect(connection)
        connection.data_received(CALL * 10)
        assert len(handled) == 1 and transport.paused and budget.held_bytes == ANSWER_BYTES
        for number in range(2, 11):
            assert transport.read().endswith(b'x"}')
            assert len(handled) == number
        transport.read()
        assert not transport.paused and budget.held_bytes == 0
        connection.connection_lost(None)

    loop.run_until_complete(scenario())


def test_calls_behind_one_that_is_answered_later_wait_unread(loop: asyncio.AbstractEventLoop) -> None:
    """Ten clients took a control machine to 3,826 MB with orders of 60 KB one behind the other."""

    async def scenario() -> None:
        answers: list[asyncio.Future[Any]] = []

        def handler(*call: Any) -> asyncio.Future[Any]:
            answers.append(asyncio.get_running_loop().create_future())
            return answers[-1]

        connection = HttpServerConnection(handler)
        transport = await connect(connection)
        connection.data_received(CALL * 3)
        assert transport.paused and len(answers) == 1 and len(connection.queue) == 2
        for number in range(3):
            answers[number].set_result((200, None))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            transport.read()
        assert len(answers) == 3 and not transport.paused
        connection.connection_lost(None)

    loop.run_until_complete(scenario())


def test_unread_answers_of_all_clients_are_bounded(loop: asyncio.AbstractEventLoop) -> None:
    """Each client may hold one answer; there are as many clients as descriptors."""

    async def scenario() -> None:
        budget = BodyBudget(2 * ANSWER_BYTES)
        transports = []
        for _ in range(5):
            connection = HttpServerConnection(lambda *call: (200, ANSWER), budget)
            transports.append(await connect(connection))
            connection.data_received(CALL)
        assert [b" 200 " in transport.unread[:20] for transport in transports] == [True] * 2 + [False] * 3
        assert all(b" 503 " in transport.unread[:20] for transport in transports[2:])
        transports[0].protocol.connection_lost(None)
        transports[1].read()
        assert budget.held_bytes == 0
        for transport in transports[1:]:
            transport.protocol.connection_lost(None)

    loop.run_until_complete(scenario())


@pytest.mark.parametrize(
    "start",
    [
        b"GET / HTTP/1.1\r\nX-Long: ",
        b"GET / HTTP/1.1\r\n" + b"X-Short: 1\r\n" * 50 + b"X-Long: ",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    ],
)
def test_a_header_that_does_not_end_is_refused(start: bytes, loop: asyncio.AbstractEventLoop) -> None:
    """One client sent 400 MB, all of which was kept."""

    async def scenario() -> None:
        connection = HttpServerConnection(lambda *call: (200, None))
        transport = await connect(connection)
        connection.data_received(start)
        sent = 0
        while not transport.closed and sent < 2 * MAX_HEAD_BYTES:
            connection.data_received(b"a" * 1000)
            sent += 1000
        assert (
            transport.closed
            and sent <= MAX_HEAD_BYTES + 1000
            and transport.unread.startswith(b"HTTP/1.1 400")
        )
        connection.connection_lost(None)

    loop.run_until_complete(scenario())


def test_large_messages_at_once_are_bounded_and_their_room_is_given_back() -> None:
    """Eight connections that each began a message of 64 MB took a gateway to 534 MB of 300."""
    budget, received, ended = BodyBudget(1 << 20), [], []
    connections = []
    for _ in range(8):
        connection = MessageConnection(
            lambda connection, message: received.append(message),
            lambda connection, reason: ended.append(reason),
            budget=budget,
        )
        connection.connection_made(cast(Any, UnreadTransport(connection)))
        connections.append(connection)
    body = b'{"text":"%b"}' % (b"x" * (400_000 - 11))
    frame = b"%d:%b," % (len(body), body)
    alive = list(connections)
    for start in range(0, len(frame) - 1, PIECE_BYTES):
        for connection in list(alive):
            connection.data_received(frame[start : min(start + PIECE_BYTES, len(frame) - 1)])
            assert budget.held_bytes <= budget.limit_bytes
            if cast(Any, connection.transport).closed:
                connection.connection_lost(None)
                alive.remove(connection)
    assert len(alive) == budget.limit_bytes // len(frame)
    for connection in alive:
        connection.data_received(b",")
    assert len(received) == len(alive) and budget.held_bytes == 0
    assert set(ended) == {"too many large messages at once"}


def test_messages_that_peers_do_not_read_are_bounded_together(loop: asyncio.AbstractEventLoop) -> None:
    """Each of some hundred peers might leave 8 MB unread; the one with the most is closed first."""

    async def scenario() -> None:
        budget, closed = OutputBudget(1_000_000), []

        def on_closed(connection: MessageConnection, reason: str) -> None:
            closed.append(connection)

        connections = [MessageConnection(lambda *args: None, on_closed, output=budget) for _ in range(14)]
        transports = [await connect(connection) for connection in connections]

        def held_bytes() -> int:
            return sum(len(transport.unread) for transport in transports)

        for number, connection in enumerate(connections):
            connection.send({"t": "x" * (100_000 + (number == 4))})
            assert held_bytes() <= budget.limit_bytes
        assert [number for number, each in enumerate(transports) if each.closed] == [4, 9, 10, 11, 12, 13]
        assert connections[0].send({"t": "x" * 100}), "little is always written"
        transports[4].unread = b""
        connections[4].connection_lost(None)
        assert connections[0].send({"t": "x" * 90_000}), "its room is free again"
        for number, connection in enumerate(connections):
            if number != 4:
                connection.connection_lost(None)
        assert len(closed) == 14 and not budget.connections and not budget.closing

    loop.run_until_complete(scenario())
