"""A connection whose opening is called off is accounted for, at whichever moment that happens."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from latchspoke.net.clock import Clock
from latchspoke.net.event_loop import EventLoop
from latchspoke.net.http import Connection, ConnectionContext, Dialer, Sockets
from latchspoke.net.stats import Stats

TURNS = range(12)  # of the event loop, from the start of the opening until it is called off
ROUNDS = 5


class Dialled(Connection):
    """A connection that ends as soon as it is open, as a cancelled forward's does."""

    side = "server"

    def __init__(self, context: ConnectionContext) -> None:
        super().__init__(context)
        self.ends = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.close_code:
            self.end("cancelled")

    def on_dial_failed(self) -> None:
        self.ends += 1

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.ends += 1


@pytest.mark.parametrize("turns", TURNS)
def test_cancelled_dial_releases_its_socket(turns: int) -> None:
    """Clients that left while their server connections were opened stopped a gateway's service for good."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        server: Any = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        context = ConnectionContext(Clock(loop), Stats(), Sockets(100), Dialer(loop))
        connections = [Dialled(context) for _ in range(ROUNDS)]
        for connection in connections:
            connection.dial(server.sockets[0].getsockname(), 1.0)
            for _ in range(turns):
                await asyncio.sleep(0)
            connection.end("cancelled")
        await asyncio.sleep(0.05)
        server.close()
        assert context.sockets.used == 0
        assert [connection.ends for connection in connections] == [1] * ROUNDS

    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(scenario())
