"""Nodes, counter and discovery on loopback: each a model, and the sockets round it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import numpy as np

from latchspoke.lab.counter import CounterModel, CounterSettings
from latchspoke.lab.faults import Fault, FaultEvent, FaultSchedule
from latchspoke.lab.loopback.http import HttpServerConnection, PendingResponse, response
from latchspoke.lab.loopback.player import parse_request_id
from latchspoke.lab.node import NodeModel, NodeSettings
from latchspoke.lab.quota import QuotaAuditor

HOST = "127.0.0.1"
KEY = re.compile(r"[?&]key=([0-9a-fA-F]+)")
KEEPALIVE_INTERVAL_S = 2.0  # s between the empty lines of a watch
Clock = Callable[[], float]


class WorkSampler:
    """Draws the work of requests, in seconds of one core: lognormal with this mean and spread."""

    def __init__(self, mean: float, sigma: float, seed: int) -> None:
        self.mean, self.sigma = mean, sigma
        self.random = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 3])))

    def draw(self) -> float:
        return float(self.random.lognormal(np.log(self.mean) - self.sigma**2 / 2, self.sigma))


class NodeConnection(HttpServerConnection):
    """A gateway's connection to a node."""

    def __init__(self, host: NodeServer) -> None:
        super().__init__()
        self.host = host

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        host = self.host
        if host.down or len(host.connections) >= host.node.settings.max_connections:
            self.abort()
            return
        host.connections[self] = None
        host.node.connection_opened(len(host.connections) + 1)
        if host.vanished and self.transport is not None:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.connections.pop(self, None)
        for pending_response in self.pending:
            self.host.node.cancel(pending_response)

    def handle_request(self, pending_response: PendingResponse) -> None:
        self.host.handle_request(
            pending_response, self.url.decode("latin-1"), self.headers.get(b"req-id", b"").decode("latin-1")
        )


class NodeServer:
    """One node: the model, its listening socket, its connections, its troubles."""

    def __init__(
        self, name: str, settings: NodeSettings, work: WorkSampler, schedule: FaultSchedule, clock: Clock,
        seed: int, on_attempt: Callable[[str, str], None],
    ) -> None:  # fmt: skip
        self.name, self.work, self.schedule, self.clock = name, work, schedule, clock
        self.node, self.on_attempt = NodeModel(settings), on_attempt
        self.random = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 5])))
        # Kept in connection order, so that runs are reproducible.
        self.connections: dict[NodeConnection, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.port = 0
        self.down = self.vanished = False
        self.started_ms = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: NodeConnection(self), HOST, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def slowdown(self, now: float) -> float:
        return self.schedule.amount(Fault.SLOW, now, self.name) or 1.0

    def occurs(self, kind: Fault, now: float) -> bool:
        amount = self.schedule.amount(kind, now, self.name)
        return amount is not None and float(self.random.random()) < amount

    def handle_request(self, pending_response: PendingResponse, url: str, request_id: str) -> None:
        now = self.clock()
        if not request_id:
            pending_response.answer(response(404))
            return
        self.on_attempt(request_id, url)
        if self.schedule.amount(Fault.HANG, now, self.name) is not None:
            return
        if self.occurs(Fault.FAIL_FAST, now):
            pending_response.answer(response(500, headers=self.load_header(now)))
            return
        self.advance()
        if not self.node.arrive(pending_response, self.work.draw(), now):
            pending_response.answer(response(503, headers=f"Srv-Declined: 1\r\n{self.load_header(now)}"))
        self.arm()

    def load_header(self, now: float) -> str:
        queue, util = self.node.load_report(now)
        return f"Srv-Load: TEXT queue={queue}, util={util:.2f}\r\n"

    def advance(self) -> None:
        now = self.clock()
        for job in self.node.advance(now, self.slowdown(now)):
            pending_response = job.key
            if isinstance(pending_response, PendingResponse):
                pending_response.answer(self.answer(now))

    def answer(self, now: float) -> bytes:
        whole = response(200, b'{"balance": 1}', self.load_header(now))
        if self.occurs(Fault.CORRUPT, now):
            return whole[: len(whole) // 2] if float(self.random.random()) < 0.5 else b"\x00garbage\r\n\r\n"
        return whole

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.node.next_completion(self.slowdown(self.clock()))
        if due is not None and not self.down:
            self.timer = asyncio.get_running_loop().call_later(max(due - self.clock(), 0.0), self.fire)

    def fire(self) -> None:
        self.timer = None
        self.advance()
        self.arm()

    # Troubles that change the sockets.

    def begin(self, event: FaultEvent) -> None:
        if event.kind is Fault.RESTART:
            self.down = True
            self.node.restart(self.clock())
            self.abort_connections()
            if self.server is not None:
                self.server.close()
        elif event.kind is Fault.RESET:
            self.abort_connections()
        elif event.kind is Fault.UNRESPONSIVE:
            self.vanished = True
            for connection in self.connections:
                if connection.transport is not None:
                    connection.transport.pause_reading()
        self.advance()
        self.arm()

    def end(self, event: FaultEvent) -> None:
        """The listening socket comes back by ``listen``, as that takes the loop."""
        if event.kind is Fault.RESTART:
            self.down = False
            self.node.restart(self.clock())
        elif event.kind is Fault.UNRESPONSIVE:
            self.vanished = False
            self.abort_connections()
        self.advance()
        self.arm()

    def abort_connections(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
        self.abort_connections()


class CounterConnection(HttpServerConnection):
    def __init__(self, host: CounterServer) -> None:
        super().__init__()
        self.host = host

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.host.connections[self] = None
        if self.host.gone():
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.connections.pop(self, None)

    def handle_request(self, pending_response: PendingResponse) -> None:
        self.host.handle_request(pending_response, self.url.decode("latin-1"))


class CounterServer:
    """The shared counter: answers go out when the model says, in their order on each connection."""

    def __init__(self, settings: CounterSettings, schedule: FaultSchedule, clock: Clock) -> None:
        self.model, self.schedule, self.clock = CounterModel(settings), schedule, clock
        self.connections: dict[CounterConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: CounterConnection(self), HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def gone(self) -> bool:
        return self.schedule.amount(Fault.COUNTER_DOWN, self.clock()) is not None

    def handle_request(self, pending_response: PendingResponse, url: str) -> None:
        now = self.clock()
        parts = urlsplit(url)
        query = parse_qs(parts.query)
        try:
            name = parts.path.removeprefix("/v2/numbers/")
            amount, life = float(query["delta"][0]), float(query["life_ms"][0]) / 1000
        except (KeyError, ValueError):
            pending_response.answer(response(404))
            return
        slow = self.schedule.amount(Fault.COUNTER_SLOW, now) or 1.0
        total, due = self.model.add(name, amount, life, now, slow)
        body = f"{total:.7g}".encode()
        asyncio.get_running_loop().call_later(
            max(due - now, 0.0), pending_response.answer, response(200, body)
        )

    def begin(self, event: FaultEvent) -> None:
        if event.kind is Fault.COUNTER_RESET:
            self.model.reset()
        if event.kind in (Fault.COUNTER_DOWN, Fault.COUNTER_RESET):
            for connection in list(self.connections):
                connection.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()


class DiscoveryConnection(HttpServerConnection):
    """A gateway's watch, or a question for the list."""

    def __init__(self, host: DiscoveryServer) -> None:
        super().__init__()
        self.host = host

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.watches.pop(self, None)

    def handle_request(self, pending_response: PendingResponse) -> None:
        if "stream=1" not in self.url.decode("latin-1"):
            pending_response.answer(response(200, self.host.whole()))
            return
        self.pending.clear()
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.host.watches[self] = None
            self.tell(self.host.whole())

    def tell(self, line: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))


class DiscoveryServer:
    """The list of nodes: whole at the start of a watch, changes as they become known."""

    def __init__(self, schedule: FaultSchedule, clock: Clock, late: float) -> None:
        self.schedule, self.clock, self.late = schedule, clock, late
        self.entries: dict[str, dict[str, object]] = {}
        self.generation = 1
        self.watches: dict[DiscoveryConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.port = 0
        self.held: list[bytes] = []
        self.beat: asyncio.TimerHandle | None = None

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: DiscoveryConnection(self), HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = loop.call_later(KEEPALIVE_INTERVAL_S, self.empty)

    def silent(self) -> bool:
        return self.schedule.amount(Fault.DISCOVERY_SILENT, self.clock()) is not None

    def empty(self) -> None:
        self.beat = asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL_S, self.empty)
        self.tell(b"\n")

    def whole(self) -> bytes:
        return self.line(list(self.entries.values()), reset=True)

    def line(self, entries: list[dict[str, object]], reset: bool = False) -> bytes:
        message = {"generation": self.generation, "reset": reset, "instances": entries}
        return json.dumps(message).encode() + b"\n"

    def put(self, host: NodeServer, zone: str, lifecycle: str = "in_service") -> dict[str, object]:
        entry: dict[str, object] = {
            "instanceId": host.name, "hostPort": f"{HOST}:{host.port}", "zone": zone, "lifecycle": lifecycle,
            "weight": 1.0, "startedAtMs": host.started_ms,
        }  # fmt: skip
        if lifecycle == "terminated":
            self.entries.pop(host.name, None)
        else:
            self.entries[host.name] = entry
        return entry

    def changed(self, host: NodeServer, zone: str, lifecycle: str) -> None:
        """A change that becomes known only after a while."""
        late = self.schedule.amount(Fault.DISCOVERY_DELAYED, self.clock()) or self.late
        asyncio.get_running_loop().call_later(late, self.known, host, zone, lifecycle)

    def known(self, host: NodeServer, zone: str, lifecycle: str) -> None:
        self.generation += 1
        self.tell(self.line([self.put(host, zone, lifecycle)]))

    def tell(self, line: bytes) -> None:
        """Nothing goes out while it is silent; what has changed meanwhile comes whole after it."""
        if self.silent():
            self.held.append(line)
            return
        if self.held:
            self.held, line = [], self.whole()
        for watch in list(self.watches):
            watch.tell(line)

    def close(self) -> None:
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
        for watch in list(self.watches):
            watch.abort()


class SimulatedServers:
    """All stand-ins of one run, and its schedule of troubles."""

    def __init__(
        self, nodes: int, settings: NodeSettings, work: WorkSampler, counter: CounterSettings,
        schedule: FaultSchedule, quota_auditor: QuotaAuditor, late: float, seed: int, zones: int = 3,
        unix: Clock = time.time,
    ) -> None:  # fmt: skip
        self.unix = unix
        self.schedule, self.quota_auditor, self.zones = schedule, quota_auditor, zones
        self.origin: float | None = None
        self.nodes = {
            f"s-{n}": NodeServer(
                f"s-{n}", settings, work, schedule, self.clock, seed * 1000 + n, self.record_attempt
            )
            for n in range(nodes)
        }
        self.counter = CounterServer(counter, schedule, self.clock)
        self.discovery = DiscoveryServer(schedule, self.clock, late)
        self.timers: list[asyncio.TimerHandle] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def clock(self) -> float:
        """Seconds of the run; below 0 before it begins."""
        now = asyncio.get_running_loop().time()
        return now - self.origin if self.origin is not None else -1.0

    def zone(self, name: str) -> str:
        return f"b{int(name.rpartition('-')[2]) % self.zones + 1}"

    def record_attempt(self, request_id: str, url: str) -> None:
        request_details = parse_request_id(request_id)
        key = KEY.search(url)
        if request_details is not None and key is not None:
            self.quota_auditor.record_attempt(
                request_id, request_details[0], int(key.group(1), 16), request_details[1], self.clock()
            )

    async def start(self) -> None:
        await self.counter.listen()
        await self.discovery.listen()
        for host in self.nodes.values():
            await host.listen()
            self.discovery.put(host, self.zone(host.name))

    def begin(self, origin: float) -> None:
        """The run's time begins at this time of the loop, and its troubles are laid out."""
        self.origin = origin
        loop = asyncio.get_running_loop()
        for node in self.nodes.values():
            node.node.now = 0.0
        for at, event, starts in self.schedule.transitions():
            self.timers.append(loop.call_at(origin + at, self.apply_transition, event, starts))

    def apply_transition(self, event: FaultEvent, starts: bool) -> None:
        if not event.nodes:
            if starts:
                self.counter.begin(event)
            return
        for name in sorted(event.nodes):
            host = self.nodes[name]
            if starts:
                host.begin(event)
            else:
                host.end(event)
            if event.kind is Fault.RESTART:
                self.restart(host, starts)

    def restart(self, host: NodeServer, starts: bool) -> None:
        if starts:
            self.discovery.changed(host, self.zone(host.name), "terminated")
            return
        host.started_ms = int(self.unix() * 1000)
        task = asyncio.get_running_loop().create_task(host.listen())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.discovery.changed(host, self.zone(host.name), "in_service")

    async def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        for host in self.nodes.values():
            host.close()
        self.counter.close()
        self.discovery.close()
        for task in self.tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks, return_exceptions=True)
