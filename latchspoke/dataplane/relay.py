"""A gateway's part in ``latchspoke.controlplane.relays``: it forwards between control machines.

Connections are opened on demand, used both ways, and closed after a rest.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from latchspoke.net.clock import Clock
from latchspoke.transport.connection import Message, MessageConnection, dial

DIAL_TIMEOUT_S = 0.4  # s
IDLE_TIMEOUT_S = 5.0  # s without use, after which a connection is closed
RETRY_DELAY_S = 1.0  # s after a failed connection in which what is for that machine is dropped
MAX_DIALING = 32  # connections that are being opened
MAX_QUEUED_MESSAGES = 32  # messages for one of them


class Relay:
    """Connections to control machines, by inner address, and what goes between them."""

    def __init__(self, clock: Clock, known: Callable[[str], bool]) -> None:
        """``known``: whether there is a control machine of that inner address."""
        self.clock, self.is_control_node = clock, known
        self.connections: dict[str, MessageConnection] = {}
        self.last_used_at: dict[str, float] = {}
        self.failed_at: dict[str, float] = {}
        self.queued: dict[str, list[Message]] = {}  # what waits for a connection that is being opened
        self.tasks: set[asyncio.Task[None]] = set()

    def handle_message(self, wire: MessageConnection, message: Message) -> None:
        """A control machine asks for something to be forwarded; what can't be read is dropped."""
        source, target = str(message.get("from")), str(message.get("to"))
        if message.get("k") != "relay" or not (self.is_control_node(source) and self.is_control_node(target)):
            return
        now = self.clock.now()
        self.connections.setdefault(source, wire)
        self.last_used_at[source] = self.last_used_at[target] = now
        told = {"k": "relayed", "from": source, "m": message.get("m")}
        there = self.connections.get(target)
        if there is not None and not there.closed:
            there.send(told)
        elif target in self.queued:
            if len(self.queued[target]) < MAX_QUEUED_MESSAGES:
                self.queued[target].append(told)
        elif (
            now - self.failed_at.get(target, -RETRY_DELAY_S) >= RETRY_DELAY_S
            and len(self.queued) < MAX_DIALING
        ):
            self.queued[target] = [told]
            task = asyncio.get_running_loop().create_task(self.connect(target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connect(self, target: str) -> None:
        """Connect, and forward what has come for that machine meanwhile."""

        def ended(wire: MessageConnection, reason: str) -> None:
            if self.connections.get(target) is wire:
                del self.connections[target]

        host, _, port = target.rpartition(":")
        wire = MessageConnection(self.handle_message, ended)
        up = await dial(wire, host, int(port), DIAL_TIMEOUT_S)
        waiting = self.queued.pop(target)
        there = self.connections.get(target)
        if there is not None and not there.closed:  # it has connected here meanwhile
            wire.end("another one is open")
            wire = there
        elif up:
            self.failed_at.pop(target, None)
            self.connections[target] = wire
        else:
            self.failed_at[target] = self.clock.now()
            return
        for message in waiting:
            wire.send(message)

    def sweep(self, now: float) -> None:
        """Close what has rested; connections that others own are only forgotten."""
        for name, wire in list(self.connections.items()):
            if not wire.closed and now - self.last_used_at[name] <= IDLE_TIMEOUT_S:
                continue
            del self.connections[name]
            if wire.on_message == self.handle_message:
                wire.end("rested")

    def stop(self) -> None:
        """End all that was opened here."""
        for task in self.tasks:
            task.cancel()
        for wire in list(self.connections.values()):
            if wire.on_message == self.handle_message:
                wire.end("stops")
