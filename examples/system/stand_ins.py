"""Stand-ins for what the system serves: servers and clients, as its protocol asks of them. On asyncio.

Everything is on loopback, and the load is bounded: a client has one request out at a time.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import secrets
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

Address = tuple[str, int]
Headers = dict[str, str]
BEAT = 1.0  # s
LIMIT = 1.0  # s for a call's answer


class BrokenError(Exception):
    """The connection ended, or what came was no message."""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """First line, headers with lower-case names, body. Raises BrokenError."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in head[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as e:
        raise BrokenError(str(e)) from None
    return head[0], headers, body


async def call(
    address: Address, method: str, target: str, headers: Headers, body: bytes = b"", limit: float = LIMIT
) -> tuple[int, Headers, bytes]:
    """One request on a connection of its own. Raises BrokenError."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            first, told, data = await read_message(reader)
            return int(first.split()[1]), told, data
    except (OSError, TimeoutError, IndexError, ValueError) as e:
        raise BrokenError(f"{type(e).__name__} {e}") from None
    finally:
        if writer is not None:
            writer.close()


@dataclass
class Server:
    """One life of a server: tells of itself by beats, and runs what is meant for it, once."""

    service: str
    zone: str
    address: Address
    control: list[Address]
    work: float = 0.05  # s
    slots: int = 4
    ident: str = field(default_factory=lambda: f"i-{secrets.token_hex(4)}")
    running: int = 0
    ran: Counter[str] = field(default_factory=Counter)
    state: str = "available"
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def serve(self) -> None:
        """Until it is cancelled."""
        server = await asyncio.start_server(self.connected, *self.address)
        async with server:
            while True:
                await self.beat()
                await asyncio.sleep(BEAT)

    async def beat(self) -> bool:
        """Whether some control machine has acknowledged it."""
        body = {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "capacitySlots": self.slots, "state": self.state, "coldRemainingS": 0,
            "callSequence": next(self.numbers),
        }  # fmt: skip
        return await self.tell("heartbeat", json.dumps(body).encode())

    async def tell(self, what: str, body: bytes = b"") -> bool:
        target = f"/rpc?call=instances.{what}&of={self.ident}"
        headers = {"Host": "control", "Content-Type": "application/json"}
        for address in random.sample(self.control, len(self.control)):
            try:
                status, _, _ = await call(address, "POST", target, headers, body)
            except BrokenError:
                continue
            if status < 300:
                return True
        return False

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, _ = await read_message(reader)
                status, more, body = await self.answer(first.split()[1], headers)
                told = {"X-Attempt-Id": headers.get("x-attempt-id", ""), **more}
                lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in told.items())]
                writer.write("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)
                await writer.drain()
        except (BrokenError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, path: str, headers: Headers) -> tuple[int, Headers, bytes]:
        if path == "/health":
            return 200, {"X-Instance-Id": self.ident}, b""
        if headers.get("x-expected-instance", self.ident) != self.ident:
            return 421, {}, b""
        if self.running >= self.slots:
            return 503, {"X-Not-Executed": "full"}, b""
        self.running += 1
        self.ran[headers.get("x-attempt-id", "")] += 1
        try:
            await asyncio.sleep(random.uniform(0.5, 1.5) * self.work)
        finally:
            self.running -= 1
        said = {"service": self.service, "server": self.ident, "tenant": headers.get("x-tenant-name")}
        return 200, {"X-Server-Seal": f"{self.ident}.{path}"}, json.dumps(said).encode()


@dataclass
class Client:
    """Asks the locator where to go, then sends one request after the other."""

    zone: str
    region: str
    key: str
    locators: list[Address]
    pause: float = 0.1  # s between requests
    seen: Counter[str] = field(default_factory=Counter)
    served_by: Counter[str] = field(default_factory=Counter)
    told: list[Address] = field(default_factory=list)

    async def run(self) -> None:
        while True:
            await self.locate()
            for _ in range(20):
                if self.told:
                    await self.request(random.choice(("/levels/now", "/tickets/new")))
                await asyncio.sleep(self.pause * random.uniform(0.5, 1.5))

    async def locate(self) -> None:
        target = f"/resolution?name=river.example&region={self.region}&zone={self.zone}"
        try:
            status, _, body = await call(random.choice(self.locators), "GET", target, {"Host": "locator"})
        except BrokenError:
            return
        if status == 200:
            found = [each.rpartition(":") for each in json.loads(body)["addresses"]]
            self.told = [(host, int(port)) for host, _, port in found]

    async def request(self, path: str) -> int:
        """Its status; 0 where none came."""
        headers = {
            "Host": "river.example", "X-Attempt-Id": secrets.token_hex(8), "X-Deadline-Remaining": "2000",
            "Authorization": f"Token {self.key}",
        }  # fmt: skip
        method = "GET" if path.startswith("/levels") else "POST"
        try:
            status, told, body = await call(random.choice(self.told), method, path, headers, b"", 2.5)
        except BrokenError:
            self.seen["broken"] += 1
            return 0
        if status == 200 and "x-server-seal" in told:
            self.served_by[f"{json.loads(body)['service']} {self.zone}"] += 1
        self.seen[str(status)] += 1
        return status


def summed(clients: list[Client]) -> dict[str, Any]:
    """All clients' counts since the last look."""
    seen: Counter[str] = Counter()
    for client in clients:
        seen += client.seen
        client.seen.clear()
    return dict(sorted(seen.items()))
