"""A gateway relays between control-plane nodes over one connection to each of them."""

from __future__ import annotations

import asyncio
from typing import Any

from latchspoke.dataplane.relay import Relay
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.transport.connection import Message, MessageConnection

TARGET = "10.1.0.11:7601"


class FakeConnection:
    """A control-plane node's connection to the gateway."""

    closed = False
    on_message = None

    def send(self, message: Any) -> bool:
        return True


def test_messages_that_arrive_at_once_use_one_connection() -> None:
    """Several connections were opened; all but the first failed with KeyError and lost their messages."""
    loop, failures = VirtualLoop(Network(1)), list[dict[str, Any]]()
    loop.set_exception_handler(lambda loop, context: failures.append(context))
    received: list[Message] = []
    connections: list[MessageConnection] = []

    async def scenario() -> None:
        def accepted() -> MessageConnection:
            connections.append(
                MessageConnection(
                    lambda connection, message: received.append(message), lambda connection, reason: None
                )
            )
            return connections[-1]

        await loop.create_server(accepted, "10.1.0.11", 7601)
        relay = Relay(VirtualClock(loop), lambda link: True)
        source: Any = FakeConnection()
        for number in range(3):
            relay.handle_message(source, {"k": "relay", "from": "10.2.0.11:7601", "to": TARGET, "m": number})
        await asyncio.sleep(1.0)
        relay.handle_message(source, {"k": "relay", "from": "10.2.0.11:7601", "to": TARGET, "m": 3})
        await asyncio.sleep(1.0)
        relay.stop()
        await asyncio.sleep(0.1)

    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert not failures and len(connections) == 1
    assert [message["m"] for message in received] == [0, 1, 2, 3]
