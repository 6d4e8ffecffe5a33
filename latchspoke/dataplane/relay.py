"""A gateway's part in ``latchspoke.controlplane.relays``: it forwards between control machines.

Connections are opened on demand, used both ways, and closed after a rest.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from latchspoke.net.clock import Clock
from latchspoke.transport.wire import Message, Wire, dial

DIAL = 0.4  # s
RESTED = 5.0  # s without use, after which a connection is closed
REFUSED = 1.0  # s after a failed connection in which what is for that machine is dropped
MOST = 32  # connections that are being opened
WAITING_MOST = 32  # messages for one of them


class Relay:
    """Connections to control machines, by inner address, and what goes between them."""

    def __init__(self, clock: Clock, known: Callable[[str], bool]) -> None:
        """``known``: whether there is a control machine of that inner address."""
        self.clock, self.known = clock, known
        self.wires: dict[str, Wire] = {}
        self.used: dict[str, float] = {}
        self.failed: dict[str, float] = {}
        self.opening: dict[str, list[Message]] = {}  # what waits for a connection that is being opened
        self.tasks: set[asyncio.Task[None]] = set()

    def heard(self, wire: Wire, message: Message) -> None:
        """A control machine asks for something to be forwarded; what can't be read is dropped."""
        source, target = str(message.get("from")), str(message.get("to"))
        if message.get("k") != "relay" or not (self.known(source) and self.known(target)):
            return
        now = self.clock.now()
        self.wires.setdefault(source, wire)
        self.used[source] = self.used[target] = now
        told = {"k": "relayed", "from": source, "m": message.get("m")}
        there = self.wires.get(target)
        if there is not None and not there.over:
            there.send(told)
        elif target in self.opening:
            if len(self.opening[target]) < WAITING_MOST:
                self.opening[target].append(told)
        elif now - self.failed.get(target, -REFUSED) >= REFUSED and len(self.opening) < MOST:
            self.opening[target] = [told]
            task = asyncio.get_running_loop().create_task(self.open(target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def open(self, target: str) -> None:
        """Connect, and forward what has come for that machine meanwhile."""

        def ended(wire: Wire, reason: str) -> None:
            if self.wires.get(target) is wire:
                del self.wires[target]

        host, _, port = target.rpartition(":")
        wire = Wire(self.heard, ended)
        up = await dial(wire, host, int(port), DIAL)
        waiting = self.opening.pop(target)
        there = self.wires.get(target)
        if there is not None and not there.over:  # it has connected here meanwhile
            wire.end("another one is open")
            wire = there
        elif up:
            self.failed.pop(target, None)
            self.wires[target] = wire
        else:
            self.failed[target] = self.clock.now()
            return
        for message in waiting:
            wire.send(message)

    def sweep(self, now: float) -> None:
        """Close what has rested; connections that others own are only forgotten."""
        for name, wire in list(self.wires.items()):
            if not wire.over and now - self.used[name] <= RESTED:
                continue
            del self.wires[name]
            if wire.heard == self.heard:
                wire.end("rested")

    def stop(self) -> None:
        """End all that was opened here."""
        for task in self.tasks:
            task.cancel()
        for wire in list(self.wires.values()):
            if wire.heard == self.heard:
                wire.end("stops")
