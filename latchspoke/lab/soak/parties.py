"""Stand-ins around the system in a soak run: servers that stutter, clients that keep their connections."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections.abc import Callable
from typing import Any, cast

import httptools

from latchspoke.lab.loopback.http import HttpServerConnection
from latchspoke.lab.soak.record import Arrival, Record, Sent

Address = tuple[str, int]
BEAT = 1.0  # s
CALL = 1.0  # s for a call's answer
SLOTS = 6
WORK = 0.03  # s
SLOW = 12.0  # times as slow
WAYS = {"serve": 70, "slow": 8, "sick": 10, "stutter": 10, "reset": 2}  # what a server does, of a hundred
STUTTERED = (0.004, 0.05, 1.5)  # s at most until a second answer
DEADLINE = 1.2  # s that a client waits
THINK = 0.02  # s between two requests on a connection, at most
AGAIN = 0.1  # s until a connection that was closed is replaced
DENIED_PAUSE_S = 0.2  # after a 401, before the next request
LARGE_BODY_SHARE = 0.03  # of the requests with a body
LARGE_BODY_BYTES = (16 * 1024, 600 * 1024)
PATHS = ("/levels/now", "/tickets/new")
KEYS = {"ferry": "key-of-ferry", "mill": "key-of-mill"}  # by tenant


async def call(address: Address, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
    """One call on a connection of its own; status 0 where no answer came."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(CALL):
            reader, writer = await asyncio.open_connection(*address)
            head = f"{method} {target} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
            data = await reader.read()
            first, _, rest = data.partition(b"\r\n")
            return int(first.split()[1]), rest.partition(b"\r\n\r\n")[2]
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class ServerConnection(HttpServerConnection):
    """A gateway's connection to a server: one request at a time, but for answers that come twice."""

    def __init__(self, server: Server) -> None:
        super().__init__()
        self.server = server
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has connected."""
        super().connection_made(transport)
        self.server.connections.add(self)

    def on_message_complete(self) -> None:
        """A request is whole."""
        self.server.asked(self, self.parser.get_method().decode())

    def write(self, data: bytes) -> None:
        """An answer, if somebody is still there."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """The gateway has left: what is under way is dropped."""
        self.server.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
            self.server.running -= 1


class Server:
    """One life of a server."""

    def __init__(
        self, record: Record, draw: random.Random, service: str, zone: str, address: Address,
        control: list[Address],
    ) -> None:  # fmt: skip
        self.record, self.draw, self.service, self.zone = record, draw, service, zone
        self.address, self.control = address, control
        self.ident = f"i-{draw.getrandbits(32):08x}"
        self.running = 0
        self.state = "available"
        self.numbers = itertools.count(1)
        self.connections: set[ServerConnection] = set()
        self.server: asyncio.Server | None = None

    async def serve(self) -> None:
        """Listen and tell of itself, until it is cancelled."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ServerConnection(self), *self.address)
        try:
            while True:
                await self.beat()
                await asyncio.sleep(BEAT)
        finally:
            self.server.close()
            for connection in list(self.connections):
                connection.abort()

    async def beat(self) -> bool:
        """Whether some control machine has acknowledged a heartbeat."""
        body = {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "capacitySlots": SLOTS, "state": self.state, "coldRemainingS": 0,
            "callSequence": next(self.numbers),
        }  # fmt: skip
        target = f"/rpc?call=instances.heartbeat&of={self.ident}"
        for address in self.draw.sample(self.control, len(self.control)):
            status, _ = await call(address, "POST", target, json.dumps(body).encode())
            if 200 <= status < 300:
                return True
        return False

    def asked(self, connection: ServerConnection, method: str) -> None:
        """A request has come whole."""
        headers = connection.headers
        attempt = headers.get(b"x-attempt-id", b"").decode("latin-1")
        target = connection.url.decode("latin-1")
        tenant = headers.get(b"x-tenant-name", b"").decode("latin-1")
        arrival = Arrival(attempt, method, target, connection.body, self.ident, time.monotonic(), tenant)
        self.record.arrivals[attempt].append(arrival)
        if headers.get(b"x-expected-instance", b"").decode("latin-1") != self.ident:
            self.answer(connection, arrival, 421, b"X-Not-Executed: 1\r\n")
            return
        if self.running >= SLOTS:
            self.answer(connection, arrival, 503, b"X-Not-Executed: 1\r\n")
            return
        arrival.ran = True
        self.running += 1
        way = self.draw.choices(list(WAYS), list(WAYS.values()))[0]
        took = WORK * self.draw.expovariate(1.0) * (SLOW if way in ("slow", "sick") else 1.0)
        left = int(headers.get(b"x-deadline-remaining", b"1000")) / 1000
        status = 504 if took > left else 500 if way == "sick" else 200
        loop = asyncio.get_running_loop()
        connection.timer = loop.call_later(min(took, left), self.done, connection, arrival, way, status)

    def done(self, connection: ServerConnection, arrival: Arrival, way: str, status: int) -> None:
        """Its work is over."""
        connection.timer = None
        self.running -= 1
        if way == "reset":
            arrival.broken = True
            connection.abort()
            return
        arrival.seal = f"{self.ident}.{self.draw.getrandbits(32):08x}"
        if status == 200:
            arrival.answer = arrival.seal.encode() * self.draw.randint(1, 40)
        self.answer(connection, arrival, status)
        if way == "stutter":
            self.record.extra += 1
            pause = self.draw.uniform(0.0, self.draw.choice(STUTTERED))
            again = self.message(arrival, self.draw.choice((200, 500, 504)), b"", b"a second answer")
            asyncio.get_running_loop().call_later(pause, connection.write, again)

    def answer(self, connection: ServerConnection, arrival: Arrival, status: int, more: bytes = b"") -> None:
        """The answer that is meant for it."""
        arrival.status = status
        connection.write(self.message(arrival, status, more, arrival.answer))

    def message(self, arrival: Arrival, status: int, more: bytes, body: bytes) -> bytes:
        """An answer's bytes."""
        seal = b"X-Server-Seal: %b\r\n" % arrival.seal.encode() if arrival.seal else b""
        return b"HTTP/1.1 %d Status\r\nX-Attempt-Id: %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status, arrival.attempt.encode(), seal, more, len(body), body,
        )  # fmt: skip


class ClientConnection(asyncio.Protocol):
    """A client's connection to a gateway, used until the gateway closes it."""

    def __init__(self, record: Record, gateway: str) -> None:
        self.record, self.gateway = record, gateway
        self.transport: asyncio.Transport | None = None
        self.sent: Sent | None = None
        self.over: asyncio.Event = asyncio.Event()  # the answer is whole, or the connection has ended
        self.lost = False
        self.keep = True
        self.begin()

    def begin(self) -> None:
        """Before the next request."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.over.clear()

    async def dial(self, address: Address) -> bool:
        """Whether it has come up, in time."""
        try:
            async with asyncio.timeout(CALL):
                await asyncio.get_running_loop().create_connection(lambda: self, *address)
        except (OSError, TimeoutError):
            return False
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It has come up."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, sent: Sent, key: str) -> None:
        """Ask; ``over`` tells of the end."""
        self.begin()
        self.sent = sent
        left = int((sent.deadline - sent.at) * 1000)
        size = f"Content-Length: {len(sent.body)}\r\n" if sent.body else ""
        head = (
            f"{sent.method} {sent.path} HTTP/1.1\r\nHost: river.example\r\nX-Attempt-Id: {sent.attempt}\r\n"
            f"X-Deadline-Remaining: {left}\r\nAuthorization: Token {key}\r\n{size}\r\n"
        )
        assert self.transport is not None
        self.transport.write(head.encode() + sent.body)

    def data_received(self, data: bytes) -> None:
        """Bytes from the gateway."""
        if self.sent is None:
            self.record.unasked.append((time.monotonic(), self.gateway, data))
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.record.unasked.append((time.monotonic(), self.gateway, data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header of the answer."""
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        """A part of its body."""
        self.body += part

    def on_message_complete(self) -> None:
        """The answer is whole."""
        sent, self.sent = self.sent, None
        if sent is None:
            self.record.unasked.append((time.monotonic(), self.gateway, self.body))
            return
        sent.status, sent.answer, sent.ended = self.parser.get_status_code(), self.body, time.monotonic()
        sent.stamped = self.headers.get(b"x-attempt-id", b"").decode("latin-1")
        sent.seal = self.headers.get(b"x-server-seal", b"").decode("latin-1")
        self.keep = self.parser.should_keep_alive()
        self.over.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """The gateway, or this client, has closed it."""
        self.lost = True
        sent, self.sent = self.sent, None
        if sent is not None:
            sent.ended = time.monotonic()
        self.over.set()


class Client:
    """Some connections side by side, each with one request after the other."""

    def __init__(
        self, record: Record, draw: random.Random, tenant: str, locate: Callable[[], list[Address]]
    ) -> None:
        """``tenant``: the holder of its key; ``locate``: the gateways that may be connected to."""
        self.record, self.draw, self.tenant, self.locate = record, draw, tenant, locate

    async def run(self) -> None:
        """One connection after the other, until it is cancelled."""
        while True:
            address = self.draw.choice(self.locate())
            connection = ClientConnection(self.record, address[0])
            if not await connection.dial(address):
                await asyncio.sleep(AGAIN)
                continue
            try:
                while not connection.lost and connection.keep:
                    await self.request(connection)
                    await asyncio.sleep(self.draw.uniform(0, THINK))
            finally:
                if connection.transport is not None:
                    connection.transport.abort()
            await asyncio.sleep(self.draw.uniform(0, AGAIN))

    async def request(self, connection: ClientConnection) -> None:
        """One, to its answer, the end of the connection, or the end of the client's patience."""
        path = self.draw.choice(PATHS)
        method = "GET" if path == PATHS[0] else "POST"
        size = self.draw.randint(*LARGE_BODY_BYTES) if self.draw.random() < LARGE_BODY_SHARE else 40
        body = b"" if method == "GET" else self.draw.randbytes(size // 2).hex().encode()
        now = time.monotonic()
        attempt = f"{self.draw.getrandbits(64):016x}"
        sent = Sent(attempt, method, path, body, connection.gateway, now, now + DEADLINE, self.tenant)
        self.record.sent[attempt] = sent
        connection.send(sent, KEYS[self.tenant])
        try:
            async with asyncio.timeout(DEADLINE):
                await connection.over.wait()
        except TimeoutError:
            sent.gave_up = True
            if connection.transport is not None:
                connection.transport.abort()
        if sent.status == 401:
            await asyncio.sleep(DENIED_PAUSE_S)


def configuration(version: int, base: int, draw: random.Random) -> dict[str, Any]:
    """A whole configuration; what changes from one to the next is drawn."""
    weight = draw.choice((50, 80, 95))
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15}
    tenants = [
        {"name": name, "apiKeys": [key], "priority": rank, "ratePerS": 0, "burstSize": 0}
        for rank, (name, key) in enumerate(KEYS.items())
    ]
    split = [{"service": "booking", "weight": weight}, {"service": "gauges", "weight": 100 - weight}]
    levels = {"service": "gauges", "timeoutS": draw.choice((1.0, 2.0)), "maxAttempts": 2}
    tickets = {"weightedSplit": split, "timeoutS": 2, "maxAttempts": 2}
    rules = [
        {"name": "levels", "routeKind": "idempotent", "targetLatencyS": 0.15, "priority": 1,
         "matchCriteria": {"pathPrefix": "/levels/"}, "actionSpec": levels},
        {"name": "tickets", "routeKind": "non_idempotent", "targetLatencyS": 0.3, "priority": 0,
         "matchCriteria": {"pathPrefix": "/tickets/"}, "actionSpec": tickets},
    ]  # fmt: skip
    clusters = [
        {"name": name, "healthPath": "/health", "connectionLimit": 400, "coldStartS": 0, "coldPerS": 0}
        for name in ("gauges", "booking")
    ]
    return {
        "version": f"{version:08x}", "baseVersion": f"{base:08x}" if base else "0", "limits": limits,
        "tenants": tenants, "listenerList": [{"host": "river.example", "ruleSet": rules}],
        "clusterList": clusters,
    }  # fmt: skip
