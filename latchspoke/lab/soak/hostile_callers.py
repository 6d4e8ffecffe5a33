"""Callers that leave much with a process: they don't read, don't finish, or use ever new names."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from latchspoke.lab.soak.fleet import CONTROL_PORT, FRONT_PORT, READINESS_PORT, Fleet, Machine
from latchspoke.lab.soak.hostile_connections import (
    CONNECT_TIMEOUT_S,
    HostileTraffic,
    keep_sending,
    stream_transport,
)
from latchspoke.lab.soak.parties import Address

HEADERS = 900  # of a head that never ends, within the usual limit on its size
ORDER_BYTES = 60_000
CALLS_PER_WRITE = 200
PIECE = b"a" * 65_536
MESSAGE_BYTES = 64_000_000
INTERNAL_PORT_OFFSETS = {"dataplane": 7600, "controlplane": 7601}
CONNECTIONS = 8  # of one kind of caller, where each sends without an end
UNFINISHED_HEADS = 300

Attack = Callable[[], Coroutine[Any, Any, None]]


class HostileCallers:
    """Callers of a fleet's processes, each kind for some seconds."""

    def __init__(self, fleet: Fleet, rng: random.Random, service: str) -> None:
        """``service``: the one of which servers are registered under ever new names."""
        self.fleet, self.rng, self.service = fleet, rng, service
        self.attacks: list[Attack] = [
            self.unfinished_heads, self.unread_calls, self.waiting_orders, self.unfinished_messages,
            self.endless_headers, self.new_instances,
        ]  # fmt: skip

    async def run(self, attack: Attack, lasts_s: float) -> None:
        """Run one kind of caller for a time, then close its connections."""
        task = asyncio.create_task(attack())
        await asyncio.sleep(lasts_s)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def unfinished_heads(self) -> None:
        """Clients that send many short headers and stop."""
        gateway = self.rng.choice(self.fleet.edges)
        headers = b"".join(b"X-%d: 1\r\n" % number for number in range(HEADERS))
        head = b"GET /levels/now HTTP/1.1\r\nHost: river.example\r\n" + headers
        await asyncio.gather(
            *(keep_sending((gateway.ip, FRONT_PORT), HostileTraffic(head)) for _ in range(UNFINISHED_HEADS))
        )

    async def unread_calls(self) -> None:
        """Callers that ask again and again, and read no answer."""
        read = b"POST /rpc?call=configuration.read HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n"
        show = b"GET /status HTTP/1.1\r\nHost: status\r\n\r\n"
        control, gateway = self.rng.choice(self.fleet.core), self.rng.choice(self.fleet.edges)
        senders = [
            keep_sending((machine.ip, port), HostileTraffic(repeated=call * CALLS_PER_WRITE))
            for machine, port, call in ((control, CONTROL_PORT, read), (gateway, READINESS_PORT, show))
            for _ in range(CONNECTIONS)
        ]
        await asyncio.gather(*senders)

    async def waiting_orders(self) -> None:
        """Operators who send invalid orders one behind the other."""
        control = self.rng.choice(self.fleet.core)
        body = b'{"version":"' + b"x" * ORDER_BYTES + b'"}'
        call = (
            b"POST /rpc?call=configuration.replace HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%b"
        )
        order = call % (len(body), body)
        await asyncio.gather(
            *(
                keep_sending((control.ip, CONTROL_PORT), HostileTraffic(repeated=order))
                for _ in range(CONNECTIONS)
            )
        )

    async def unfinished_messages(self) -> None:
        """Peers that begin a large message and stop."""
        machine = self.rng.choice([*self.fleet.core, *self.fleet.edges])
        address = machine.ip, INTERNAL_PORT_OFFSETS[machine.program]
        message = b"%d:" % MESSAGE_BYTES + PIECE * ((MESSAGE_BYTES - 1) // len(PIECE))
        await asyncio.gather(*(keep_sending(address, HostileTraffic(message)) for _ in range(CONNECTIONS)))

    async def endless_headers(self) -> None:
        """Callers whose header doesn't end."""
        machine: Machine = self.rng.choice([*self.fleet.core, *self.fleet.edges])
        port = CONTROL_PORT if machine in self.fleet.core else self.rng.choice((FRONT_PORT, READINESS_PORT))
        head = b"GET /status HTTP/1.1\r\nHost: status\r\nX-Long: "
        await keep_sending((machine.ip, port), HostileTraffic(head, PIECE))

    async def new_instances(self) -> None:
        """Servers that register under ever new names."""
        control = self.rng.choice(self.fleet.core)
        while True:
            calls = b"".join(self.heartbeat() for _ in range(CALLS_PER_WRITE))
            await self.discard_answers((control.ip, CONTROL_PORT), calls)

    def heartbeat(self) -> bytes:
        """The first heartbeat of another server, at an address where nobody is."""
        body = json.dumps({
            "service": self.service, "address": f"127.{self.fleet.net}.250.1:{self.rng.randint(1, 60_000)}",
            "zone": next(iter(self.fleet.deployment.zones)), "version": "v1", "capacitySlots": 1,
            "state": "draining", "coldRemainingS": 0, "callSequence": 1,
        }).encode()  # fmt: skip
        target = f"/rpc?call=instances.heartbeat&of=h-{self.rng.getrandbits(64):016x}"
        return (
            f"POST {target} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        )

    async def discard_answers(self, address: Address, calls: bytes) -> None:
        """Send calls on a new connection, and read their answers for a moment."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(calls)
                    answers = 0
                    while answers < CALLS_PER_WRITE and (data := await reader.read(len(PIECE))):
                        answers += data.count(b"HTTP/1.1 ")
                finally:
                    stream_transport(writer).abort()
