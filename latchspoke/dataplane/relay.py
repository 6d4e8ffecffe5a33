"""Relays messages between control-plane nodes that cannot reach each other.

The counterpart of ``latchspoke.controlplane.relays``. Connections are opened on demand, used in both
directions and closed when idle.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from latchspoke.net.clock import Clock
from latchspoke.transport.connection import Message, MessageConnection, dial
from latchspoke.transport.frame_queue import FrameQueue

DIAL_TIMEOUT_S = 0.4
IDLE_TIMEOUT_S = 5.0
RETRY_DELAY_S = 1.0  # after a failed connection; messages for that node are dropped meanwhile
MAX_DIALING = 32  # connections being opened
MAX_QUEUED_MESSAGES = 32  # per connection being opened
MAX_QUEUED_BYTES = 512 * 1024


class Relay:
    """Connections to control-plane nodes, by internal address."""

    def __init__(self, clock: Clock, is_control_node: Callable[[str], bool]) -> None:
        """``is_control_node``: whether a control-plane node has this internal address."""
        self.clock, self.is_control_node = clock, is_control_node
        self.connections: dict[str, MessageConnection] = {}
        self.last_used_at: dict[str, float] = {}
        self.failed_at: dict[str, float] = {}
        self.queued: dict[str, FrameQueue] = {}  # messages by target, while it is being dialed
        self.tasks: set[asyncio.Task[None]] = set()

    def handle_message(self, connection: MessageConnection, message: Message) -> None:
        """Forward a message of a control-plane node; malformed requests are dropped."""
        source, target = str(message.get("from")), str(message.get("to"))
        if message.get("k") != "relay" or not (self.is_control_node(source) and self.is_control_node(target)):
            return
        now = self.clock.now()
        self.connections.setdefault(source, connection)
        self.last_used_at[source] = self.last_used_at[target] = now
        relayed = {"k": "relayed", "from": source, "m": message.get("m")}
        target_connection = self.connections.get(target)
        if target_connection is not None and not target_connection.closed:
            target_connection.send(relayed)
        elif target in self.queued:
            self.queued[target].append(relayed)
        elif (
            now - self.failed_at.get(target, -RETRY_DELAY_S) >= RETRY_DELAY_S
            and len(self.queued) < MAX_DIALING
        ):
            self.queued[target] = FrameQueue(MAX_QUEUED_MESSAGES, MAX_QUEUED_BYTES)
            self.queued[target].append(relayed)
            task = asyncio.get_running_loop().create_task(self.connect(target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connect(self, target: str) -> None:
        """Connect to a target, then send the messages queued for it."""

        def on_closed(connection: MessageConnection, reason: str) -> None:
            if self.connections.get(target) is connection:
                del self.connections[target]

        host, _, port = target.rpartition(":")
        connection = MessageConnection(self.handle_message, on_closed)
        connected = await dial(connection, host, int(port), DIAL_TIMEOUT_S)
        messages = self.queued.pop(target)
        existing = self.connections.get(target)
        if existing is not None and not existing.closed:  # the target has connected to this gateway meanwhile
            connection.end("another connection is open")
            connection = existing
        elif connected:
            self.failed_at.pop(target, None)
            self.connections[target] = connection
        else:
            self.failed_at[target] = self.clock.now()
            return
        while messages:
            connection.write(messages.pop())

    def sweep(self, now: float) -> None:
        """Close idle connections that were opened here; forget those opened by others."""
        for name, connection in list(self.connections.items()):
            if not connection.closed and now - self.last_used_at[name] <= IDLE_TIMEOUT_S:
                continue
            del self.connections[name]
            if connection.on_message == self.handle_message:
                connection.end("idle")

    def stop(self) -> None:
        """Close the connections that were opened here."""
        for task in self.tasks:
            task.cancel()
        for connection in list(self.connections.values()):
            if connection.on_message == self.handle_message:
                connection.end("shutting down")
