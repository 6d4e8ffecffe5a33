"""Clients that connect before the transports of closed connections have reported their end."""

from __future__ import annotations

import asyncio
import unittest
from typing import cast

from latchspoke.net.listener import ClientConnection
from tests.player import FakeTransport, Player


class ClientLimitTest(unittest.TestCase):
    def test_each_excess_client_closes_a_different_connection(self) -> None:
        """Choosing the same client twice would leave the process above its socket limit."""
        player = Player({"sockets": 40})
        for number in range(12):
            transport = player.transports[str(number)] = FakeTransport(ClientConnection(player.node.listener))
            transport.connection.connection_made(cast(asyncio.Transport, transport))
        player.report_closed()
        listener = player.node.listener
        self.assertEqual(
            (len(listener.clients), len(listener.new_clients)), (listener.max_clients, listener.max_clients)
        )
