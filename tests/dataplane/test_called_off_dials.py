"""A connection that opens just as its dial is given up carries nothing."""

from __future__ import annotations

from typing import cast

from latchspoke.dataplane.upstream import ServerConnection
from tests.dataplane.player import Player
from tests.dataplane.test_body_memory import Exchange, player
from tests.player import FakeTransport

__all__ = ["player"]


def test_dial_that_times_out_as_it_opens_is_tried_again_elsewhere(player: Player) -> None:
    """The request was written to a connection that was closed at once; a later one failed on it."""
    player.step("server s2")
    exchange = Exchange(player, 1)
    exchange.send("read", body=b"x" * (1 << 20))
    connection, _ = player.dialled.pop(0)
    late = cast(ServerConnection, connection)
    late.cancel_dial = lambda: None  # as the event loop's, which takes effect later
    late.dial_timed_out(player.clock.now())
    transport = FakeTransport(late)
    late.connection_made(transport)  # type: ignore[arg-type]
    assert transport.ended and not transport.written
    assert not any(late in pool.idle for pool in player.node.upstream_pools.pools_by_instance.values())
    late.connection_lost(None)
    assert sum(pool.open for pool in player.node.upstream_pools.pools_by_instance.values()) == 1
    exchange.answer()
    exchange.got(200)
