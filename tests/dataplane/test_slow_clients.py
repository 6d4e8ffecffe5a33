"""While memory is short, clients that hold it for long are closed; in calm, they are not."""

from __future__ import annotations

from typing import cast

import pytest

from latchspoke.dataplane.client_connection import ClientConnection
from latchspoke.dataplane.pace import MIN_BYTES_PER_S
from tests.dataplane.player import Player
from tests.dataplane.test_body_memory import BODY, BODY_BYTES, Exchange, player, send_head

__all__ = ["player"]

STEP_S = 0.5
STEPS = 8
FAST_BYTES = int(MIN_BYTES_PER_S * STEP_S * 2)  # in one step
SLOW_BYTES = 100


def close_code(exchange: Exchange) -> str:
    return cast(ClientConnection, exchange.client.connection).close_code


def answer_that_is_read(player: Player, bytes_per_step: int, short: bool) -> Exchange:
    """A large answer that a client reads at a rate, while another one waits for memory or not."""
    reader, other = (Exchange(player, number) for number in (1, 2))
    reader.send()
    reader.client.unsent = BODY_BYTES
    reader.answer(body=BODY)
    reader.got(200)
    buffered = player.node.upstream_pools.body_memory.count(
        BODY_BYTES
    )  # by the write buffer of a real transport
    if short:
        other.send()
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nX-Server-Seal: s\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        other.receive(other.server(), head.encode())
        assert player.node.upstream_pools.body_memory.waiting
    for _ in range(STEPS):
        player.step("proof 0")
        player.clock.advance(STEP_S)
        player.report_closed()
        if reader.client.ended:
            break
        reader.client.unsent -= bytes_per_step
    del buffered
    return reader


@pytest.mark.parametrize(
    ("bytes_per_step", "short", "closed"),
    [(SLOW_BYTES, True, "slow"), (SLOW_BYTES, False, ""), (0, False, "")],
)
def test_slow_reader_is_closed_while_another_answer_waits(
    bytes_per_step: int, short: bool, closed: str, player: Player
) -> None:
    """300 clients that read 8 MiB at 3 KB/s held all memory for answers, and nobody else got a large one."""
    assert close_code(answer_that_is_read(player, bytes_per_step, short)) == closed


def test_reader_that_is_fast_enough_is_closed_only_after_its_deadline(player: Player) -> None:
    reader = answer_that_is_read(player, FAST_BYTES, short=True)
    assert close_code(reader) == "slow" and reader.client.unsent < BODY_BYTES - 2 * FAST_BYTES


def test_slow_sender_is_answered_408_while_another_body_waits(player: Player) -> None:
    """One client that announced a large body and sent none of it kept all other large bodies out."""
    sender, other = (Exchange(player, number) for number in (1, 2))
    send_head(sender)
    for _ in range(STEPS):
        player.step("proof 0")
        player.clock.advance(STEP_S)
    assert not sender.client.written
    send_head(other)
    player.clock.advance(STEP_S)
    player.report_closed()
    assert sender.client.written.startswith(b"HTTP/1.1 408 ") and not player.dialled
    other.client.written = b""
    again = Exchange(player, 3)
    again.send()
    again.answer()
    again.got(200)


def test_sender_that_is_fast_enough_is_not_closed(player: Player) -> None:
    sender, other = (Exchange(player, number) for number in (1, 2))
    send_head(sender)
    send_head(other)
    for _ in range(STEPS):
        sender.receive(sender.client, BODY[:FAST_BYTES])
        player.step("proof 0")
        player.clock.advance(STEP_S)
    assert not sender.client.written
