"""Large inputs of many connections take turns, while small ones go on at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from latchspoke.transport.input_turns import (
    MIN_LARGE_BYTES,
    READ_BUFFER,
    READ_BYTES,
    TURN_BYTES,
    BoundedInput,
    InputTurns,
)

INPUTS_IN_A_TURN = TURN_BYTES // READ_BYTES


class Loop:
    """The calls that the event loop makes next."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []

    def call_soon(self, call: Callable[[], None]) -> None:
        self.calls.append(call)

    def turn(self) -> None:
        calls, self.calls = self.calls, []
        for call in calls:
            call()


class Input(BoundedInput):
    """Records what it handles."""

    def __init__(self, turns: InputTurns) -> None:
        self.input_turns, self.handled, self.paused = turns, b"", False

    def data_received(self, data: bytes) -> None:
        self.handled += data

    def update_reading(self) -> None:
        self.paused = bool(self.held_input)

    def read(self, data: bytes) -> None:
        assert len(self.get_buffer(-1)) == READ_BYTES
        READ_BUFFER[: len(data)] = data
        self.buffer_updated(len(data))


def connect(count: int) -> tuple[Loop, list[Input]]:
    loop = Loop()
    turns = InputTurns(cast(asyncio.AbstractEventLoop, cast(Any, loop)))
    return loop, [Input(turns) for _ in range(count)]


def test_a_turn_handles_few_large_inputs_and_all_small_ones() -> None:
    """Each of 600 clients' reads of 256 KB was handled before an ordinary request was."""
    loop, connections = connect(INPUTS_IN_A_TURN * 2 + 1)
    for connection in connections:
        connection.read(b"x" * READ_BYTES)
    assert [bool(connection.handled) for connection in connections].count(True) == INPUTS_IN_A_TURN
    assert [connection.paused for connection in connections].count(True) == INPUTS_IN_A_TURN + 1
    _, (small,) = connect(1)
    small.input_turns = connections[0].input_turns
    small.read(b"y" * (MIN_LARGE_BYTES - 1))
    assert small.handled and not small.paused
    loop.turn()
    assert [connection.paused for connection in connections].count(True) == 1
    loop.turn()
    assert all(connection.handled == b"x" * READ_BYTES for connection in connections)
    assert not any(connection.paused for connection in connections)
    loop.turn()
    assert not loop.calls


def test_order_of_a_connections_input_is_kept_while_it_waits() -> None:
    loop, connections = connect(INPUTS_IN_A_TURN + 1)
    for connection in connections:
        connection.read(b"x" * READ_BYTES)
    last = connections[-1]
    last.read(b"y")  # read before the pause took effect
    assert not last.handled
    loop.turn()
    assert last.handled == b"x" * READ_BYTES + b"y"


def test_connection_that_is_lost_leaves_its_place() -> None:
    loop, connections = connect(INPUTS_IN_A_TURN + 2)
    for connection in connections:
        connection.read(b"x" * READ_BYTES)
    connections[-2].held_input = b""
    loop.turn()
    assert not connections[-2].handled and connections[-1].handled
