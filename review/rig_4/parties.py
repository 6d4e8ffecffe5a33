"""Stand-ins around the system: servers, clients, and a proxy of the operator's that loses answers.

They follow PROTOCOL.md. Standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from system import FRONT, LOCATOR, Address, BrokenError, Record, call, read_message

BEAT_S = 1.5


@dataclass
class Arrival:
    """A request that a server has received, with the seconds since the start of the record."""

    at: float
    attempt: str
    server: str
    zone: str
    tenant: str
    status: int


@dataclass
class Server:
    """One life of a server: tells of itself by beats, and runs what is meant for it."""

    record: Record
    service: str
    zone: str
    address: Address
    control: list[Address]
    arrivals: list[Arrival]
    work_s: float = 0.02
    slots: int = 6
    version: str = "v1"
    state: str = "available"
    cold_until: float = 0.0  # by the record's clock
    phase_s: float = 0.0  # between its first beat and the second, beside the usual time
    ident: str = field(default_factory=lambda: f"i-{secrets.token_hex(4)}")
    running: int = 0
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def serve(self) -> None:
        """Until it is cancelled."""
        async with await asyncio.start_server(self.connected, *self.address):
            await self.beat()
            await asyncio.sleep(self.phase_s)
            while True:
                await asyncio.sleep(BEAT_S)
                await self.beat()

    async def beat(self) -> bool:
        """Whether a control machine has acknowledged it."""
        cold = max(self.cold_until - self.record.now(), 0.0)
        body = {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": self.version, "capacitySlots": self.slots, "state": self.state,
            "coldRemainingS": round(cold, 3), "callSequence": next(self.numbers),
        }  # fmt: skip
        return await self.tell("heartbeat", json.dumps(body).encode())

    async def tell(self, what: str, body: bytes = b"") -> bool:
        """Call a control machine, or the next one after a failure."""
        target = f"/rpc?call=instances.{what}&of={self.ident}"
        for address in random.sample(self.control, len(self.control)):
            with contextlib.suppress(BrokenError):
                if (await call(address, "POST", target, body))[0] < 300:
                    return True
        return False

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A caller's connection: one request at a time."""
        try:
            while True:
                first, headers, _ = await read_message(reader)
                status, more, body = await self.answer(first.split()[1], headers)
                told = {"X-Attempt-Id": headers.get("x-attempt-id", ""), **more}
                lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in told.items())]
                writer.write("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)
                await writer.drain()
        except (BrokenError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path: str, headers: dict[str, str]) -> tuple[int, dict[str, str], bytes]:
        """Status, headers and body of its answer to a request."""
        if path == "/health":
            return 200, {"X-Instance-Id": self.ident}, b""
        attempt, status = headers.get("x-attempt-id", ""), 200
        if headers.get("x-expected-instance", self.ident) != self.ident:
            status = 421
        elif self.running >= self.slots:
            status = 503
        tenant = headers.get("x-tenant-name", "")
        self.arrivals.append(Arrival(self.record.now(), attempt, self.ident, self.zone, tenant, status))
        self.record.note(f"server {self.ident} in {self.zone}: {attempt} of {tenant or 'nobody'}: {status}")
        if status != 200:
            return status, {"X-Not-Executed": "full"} if status == 503 else {}, b""
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return 200, {"X-Server-Seal": f"{self.ident}.{attempt}"}, f"{self.service} {path}".encode()


@dataclass
class Client:
    """Asks the directory where to go, then sends requests at a steady pace, each on a new connection."""

    record: Record
    zone: str
    region: str
    locators: list[Address]
    host: str
    path: str
    key: str = ""
    per_s: float = 10.0
    deadline_ms: int = 3000
    told: list[Address] = field(default_factory=list)
    answered: list[tuple[float, str, int]] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Until it is cancelled."""
        asked_at = -1e9
        while True:
            if self.record.now() - asked_at > 1.0:
                asked_at = self.record.now()
                await self.locate()
            if self.told:
                task = asyncio.create_task(self.request(random.choice(self.told)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / self.per_s)

    async def locate(self) -> None:
        """Ask up to three of the directory's machines."""
        target = f"/resolution?name={self.host}&region={self.region}&zone={self.zone}"
        for locator in random.sample(self.locators, min(len(self.locators), 3)):
            with contextlib.suppress(BrokenError, ValueError, KeyError):
                status, _, body = await call(locator, "GET", target)
                if status == 200:
                    found = [each.rpartition(":") for each in json.loads(body)["addresses"]]
                    self.told = [(host, int(port)) for host, _, port in found]
                    return

    async def request(self, gateway: Address) -> None:
        """Send one request and note its status; 0 where no answer came."""
        attempt = secrets.token_hex(8)
        headers = {"Host": self.host, "X-Attempt-Id": attempt, "X-Deadline-Remaining": str(self.deadline_ms)}
        if self.key:
            headers["Authorization"] = f"Token {self.key}"
        sent = self.record.now()
        try:
            status = (await call(gateway, "GET", self.path, b"", self.deadline_ms / 1000, headers))[0]
        except BrokenError:
            status = 0
        self.answered.append((sent, attempt, status))
        self.record.note(f"client in {self.zone}: {attempt} sent at {sent:.3f} to {gateway[0]}: {status}")


class AnswerLoser:
    """A proxy of the operator's in front of the control machines; while ``loses`` says so, answers are lost.

    The call reaches its machine, whose answer is taken and not passed on. The caller's connection stays open
    until the caller gives it up.
    """

    def __init__(
        self, record: Record, ip: str, targets: list[Address], loses: Callable[[bytes], bool]
    ) -> None:
        """``loses`` gets the first line of a call."""
        self.record, self.ip, self.targets, self.loses = record, ip, targets, loses
        self.addresses: list[Address] = []
        self.servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen, on one port for each target."""
        for target in self.targets:
            server = await asyncio.start_server(self.handler(target), self.ip, 0)
            self.servers.append(server)
            self.addresses.append(server.sockets[0].getsockname())

    def handler(self, target: Address) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]:
        """The handler of connections for a target."""

        async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            upstream: asyncio.StreamWriter | None = None
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.lower().split(b"\r\n")
                sizes = [int(line[15:]) for line in lines if line.startswith(b"content-length:")]
                body = await reader.readexactly(sum(sizes))
                answers, upstream = await asyncio.open_connection(*target)
                upstream.write(head + body)
                answer = await answers.read(65536)
                first = head.partition(b"\r\n")[0]
                if self.loses(first):
                    status = answer.partition(b"\r\n")[0].decode("latin-1")
                    self.record.say(f"lost on its way: '{status}' of {target[0]} to {first.decode()}")
                    await reader.read(1)  # until the caller gives up
                    return
                writer.write(answer)
                await writer.drain()
            except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                pass
            finally:
                writer.close()
                if upstream is not None:
                    upstream.close()

        return connected

    async def stop(self) -> None:
        """Listen no more."""
        for server in self.servers:
            server.close()


def locators(control: list[Address]) -> list[Address]:
    """Where the directory of the control machines listens."""
    return [(host, LOCATOR) for host, _ in control]


def fronts(machines: list[str]) -> list[Address]:
    """Where these edge machines take clients."""
    return [(host, FRONT) for host in machines]
