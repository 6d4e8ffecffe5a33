"""A gateway that forwards between control machines: one connection to each, however much comes at once."""

from __future__ import annotations

import asyncio
from typing import Any

from latchspoke.dataplane.relay import Relay
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.transport.connection import Message, MessageConnection

TARGET = "10.1.0.11:7601"


class Source:
    """A control machine's connection to the gateway."""

    closed = False
    on_message = None

    def send(self, message: Any) -> bool:
        return True


def test_what_comes_at_once_for_a_machine_goes_on_one_connection() -> None:
    """Several were opened, all but the first failed with KeyError, and what they were opened for was lost."""
    loop, failures = VirtualLoop(Network(1)), list[dict[str, Any]]()
    loop.set_exception_handler(lambda loop, context: failures.append(context))
    got: list[Message] = []
    wires: list[MessageConnection] = []

    async def story() -> None:
        def accepted() -> MessageConnection:
            wires.append(
                MessageConnection(lambda wire, message: got.append(message), lambda wire, reason: None)
            )
            return wires[-1]

        await loop.create_server(accepted, "10.1.0.11", 7601)
        relay = Relay(VirtualClock(loop), lambda link: True)
        source: Any = Source()
        for number in range(3):
            relay.handle_message(source, {"k": "relay", "from": "10.2.0.11:7601", "to": TARGET, "m": number})
        await asyncio.sleep(1.0)
        relay.handle_message(source, {"k": "relay", "from": "10.2.0.11:7601", "to": TARGET, "m": 3})
        await asyncio.sleep(1.0)
        relay.stop()
        await asyncio.sleep(0.1)

    try:
        loop.run_until_complete(story())
    finally:
        loop.close()
    assert not failures and len(wires) == 1
    assert [message["m"] for message in got] == [0, 1, 2, 3]
