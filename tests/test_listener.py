"""Clients that come faster than transports tell of their end."""

from __future__ import annotations

import asyncio
import unittest
from typing import cast

from latchspoke.net.listener import ClientConnection
from tests.player import FakeTransport, Player


class ManyClients(unittest.TestCase):
    def test_each_that_is_too_many_closes_another_one(self) -> None:
        """One closed client chosen twice would leave the process over its limit on sockets."""
        player = Player({"sockets": 40})
        for number in range(12):
            link = player.links[str(number)] = FakeTransport(ClientConnection(player.node.listener))
            link.connection.connection_made(cast(asyncio.Transport, link))
        player.settle()
        listener = player.node.listener
        self.assertEqual(
            (len(listener.clients), len(listener.new_clients)), (listener.max_clients, listener.max_clients)
        )
