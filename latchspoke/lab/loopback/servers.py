"""Simulated nodes, counter and discovery: HTTP servers around the models."""

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
KEEPALIVE_INTERVAL_S = 2.0  # between empty lines on a subscription
Clock = Callable[[], float]


class WorkSampler:
    """Draws the work of requests in seconds of one core, from a lognormal distribution."""

    def __init__(self, mean: float, sigma: float, seed: int) -> None:
        self.mean, self.sigma = mean, sigma
        self.random = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 3])))

    def draw(self) -> float:
        return float(self.random.lognormal(np.log(self.mean) - self.sigma**2 / 2, self.sigma))


class NodeConnection(HttpServerConnection):
    """A gateway's connection to a node."""

    def __init__(self, server: NodeServer) -> None:
        super().__init__()
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        server = self.server
        if server.is_down or len(server.connections) >= server.node.settings.max_connections:
            self.abort()
            return
        server.connections[self] = None
        server.node.connection_opened(len(server.connections) + 1)
        if server.unresponsive and self.transport is not None:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)
        for pending_response in self.pending:
            self.server.node.cancel(pending_response)

    def handle_request(self, pending_response: PendingResponse) -> None:
        self.server.handle_request(
            pending_response, self.url.decode("latin-1"), self.headers.get(b"req-id", b"").decode("latin-1")
        )


class NodeServer:
    """One node: its model, listener, connections and injected faults."""

    def __init__(
        self, name: str, settings: NodeSettings, work_sampler: WorkSampler, schedule: FaultSchedule,
        clock: Clock, seed: int, on_attempt: Callable[[str, str], None],
    ) -> None:  # fmt: skip
        self.name, self.work_sampler, self.schedule, self.clock = name, work_sampler, schedule, clock
        self.node, self.on_attempt = NodeModel(settings), on_attempt
        self.random = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 5])))
        # Kept in connection order, so that runs are reproducible.
        self.connections: dict[NodeConnection, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.listener: asyncio.Server | None = None
        self.port = 0
        self.is_down = self.unresponsive = False
        self.started_ms = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: NodeConnection(self), HOST, self.port, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]

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
        if not self.node.arrive(pending_response, self.work_sampler.draw(), now):
            pending_response.answer(response(503, headers=f"Srv-Declined: 1\r\n{self.load_header(now)}"))
        self.schedule_completion()

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
        full_response = response(200, b'{"balance": 1}', self.load_header(now))
        if self.occurs(Fault.CORRUPT, now):
            return (
                full_response[: len(full_response) // 2]
                if float(self.random.random()) < 0.5
                else b"\x00garbage\r\n\r\n"
            )
        return full_response

    def schedule_completion(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.node.next_completion(self.slowdown(self.clock()))
        if due is not None and not self.is_down:
            self.timer = asyncio.get_running_loop().call_later(
                max(due - self.clock(), 0.0), self.on_completion_due
            )

    def on_completion_due(self) -> None:
        self.timer = None
        self.advance()
        self.schedule_completion()

    # Faults that affect sockets

    def begin_fault(self, event: FaultEvent) -> None:
        if event.kind is Fault.RESTART:
            self.is_down = True
            self.node.restart(self.clock())
            self.abort_connections()
            if self.listener is not None:
                self.listener.close()
        elif event.kind is Fault.RESET:
            self.abort_connections()
        elif event.kind is Fault.UNRESPONSIVE:
            self.unresponsive = True
            for connection in self.connections:
                if connection.transport is not None:
                    connection.transport.pause_reading()
        self.advance()
        self.schedule_completion()

    def end_fault(self, event: FaultEvent) -> None:
        """End a fault. After a restart the caller reopens the listener with ``listen``."""
        if event.kind is Fault.RESTART:
            self.is_down = False
            self.node.restart(self.clock())
        elif event.kind is Fault.UNRESPONSIVE:
            self.unresponsive = False
            self.abort_connections()
        self.advance()
        self.schedule_completion()

    def abort_connections(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.listener is not None:
            self.listener.close()
        self.abort_connections()


class CounterConnection(HttpServerConnection):
    def __init__(self, server: CounterServer) -> None:
        super().__init__()
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.connections[self] = None
        if self.server.is_down():
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)

    def handle_request(self, pending_response: PendingResponse) -> None:
        self.server.handle_request(pending_response, self.url.decode("latin-1"))


class CounterServer:
    """The shared counter: responds at the times of its model, in order on each connection."""

    def __init__(self, settings: CounterSettings, schedule: FaultSchedule, clock: Clock) -> None:
        self.model, self.schedule, self.clock = CounterModel(settings), schedule, clock
        self.connections: dict[CounterConnection, None] = {}
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: CounterConnection(self), HOST, 0, backlog=256)
        self.port = self.listener.sockets[0].getsockname()[1]

    def is_down(self) -> bool:
        return self.schedule.amount(Fault.COUNTER_DOWN, self.clock()) is not None

    def handle_request(self, pending_response: PendingResponse, url: str) -> None:
        now = self.clock()
        parts = urlsplit(url)
        query = parse_qs(parts.query)
        try:
            name = parts.path.removeprefix("/v2/numbers/")
            amount, lifetime = float(query["delta"][0]), float(query["life_ms"][0]) / 1000
        except (KeyError, ValueError):
            pending_response.answer(response(404))
            return
        slowdown = self.schedule.amount(Fault.COUNTER_SLOW, now) or 1.0
        total, due = self.model.add(name, amount, lifetime, now, slowdown)
        body = f"{total:.7g}".encode()
        asyncio.get_running_loop().call_later(
            max(due - now, 0.0), pending_response.answer, response(200, body)
        )

    def begin_fault(self, event: FaultEvent) -> None:
        if event.kind is Fault.COUNTER_RESET:
            self.model.reset()
        if event.kind in (Fault.COUNTER_DOWN, Fault.COUNTER_RESET):
            for connection in list(self.connections):
                connection.abort()

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()


class DiscoveryConnection(HttpServerConnection):
    """A subscription of a gateway, or a single request for the instance list."""

    def __init__(self, server: DiscoveryServer) -> None:
        super().__init__()
        self.server = server

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.subscribers.pop(self, None)

    def handle_request(self, pending_response: PendingResponse) -> None:
        if "stream=1" not in self.url.decode("latin-1"):
            pending_response.answer(response(200, self.server.full_snapshot()))
            return
        self.pending.clear()
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.server.subscribers[self] = None
            self.send(self.server.full_snapshot())

    def send(self, line: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))


class DiscoveryServer:
    """Service discovery: a full snapshot at the start of a subscription, then deltas."""

    def __init__(self, schedule: FaultSchedule, clock: Clock, notification_delay: float) -> None:
        self.schedule, self.clock, self.notification_delay = schedule, clock, notification_delay
        self.entries: dict[str, dict[str, object]] = {}
        self.generation = 1
        self.subscribers: dict[DiscoveryConnection, None] = {}
        self.listener: asyncio.Server | None = None
        self.port = 0
        self.suppressed_updates: list[bytes] = []
        self.keepalive_timer: asyncio.TimerHandle | None = None

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: DiscoveryConnection(self), HOST, 0, backlog=256)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.keepalive_timer = loop.call_later(KEEPALIVE_INTERVAL_S, self.send_keepalive)

    def is_silent(self) -> bool:
        return self.schedule.amount(Fault.DISCOVERY_SILENT, self.clock()) is not None

    def send_keepalive(self) -> None:
        self.keepalive_timer = asyncio.get_running_loop().call_later(
            KEEPALIVE_INTERVAL_S, self.send_keepalive
        )
        self.broadcast(b"\n")

    def full_snapshot(self) -> bytes:
        return self.encode_update(list(self.entries.values()), reset=True)

    def encode_update(self, entries: list[dict[str, object]], reset: bool = False) -> bytes:
        message = {"generation": self.generation, "reset": reset, "instances": entries}
        return json.dumps(message).encode() + b"\n"

    def set_entry(self, server: NodeServer, zone: str, lifecycle: str = "in_service") -> dict[str, object]:
        entry: dict[str, object] = {
            "instanceId": server.name, "hostPort": f"{HOST}:{server.port}", "zone": zone,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": server.started_ms,
        }  # fmt: skip
        if lifecycle == "terminated":
            self.entries.pop(server.name, None)
        else:
            self.entries[server.name] = entry
        return entry

    def announce_change(self, server: NodeServer, zone: str, lifecycle: str) -> None:
        """Publish a change after the notification delay."""
        notification_delay = (
            self.schedule.amount(Fault.DISCOVERY_DELAYED, self.clock()) or self.notification_delay
        )
        asyncio.get_running_loop().call_later(
            notification_delay, self.publish_change, server, zone, lifecycle
        )

    def publish_change(self, server: NodeServer, zone: str, lifecycle: str) -> None:
        self.generation += 1
        self.broadcast(self.encode_update([self.set_entry(server, zone, lifecycle)]))

    def broadcast(self, line: bytes) -> None:
        """Send to all subscribers; after a silent period a full snapshot replaces the suppressed updates."""
        if self.is_silent():
            self.suppressed_updates.append(line)
            return
        if self.suppressed_updates:
            self.suppressed_updates, line = [], self.full_snapshot()
        for subscriber in list(self.subscribers):
            subscriber.send(line)

    def close(self) -> None:
        if self.keepalive_timer is not None:
            self.keepalive_timer.cancel()
        if self.listener is not None:
            self.listener.close()
        for subscriber in list(self.subscribers):
            subscriber.abort()


class SimulatedServers:
    """All simulated servers of one run, and its fault schedule."""

    def __init__(
        self, nodes: int, settings: NodeSettings, work_sampler: WorkSampler, counter: CounterSettings,
        schedule: FaultSchedule, quota_auditor: QuotaAuditor, notification_delay: float, seed: int,
        zones: int = 3, unix_clock: Clock = time.time,
    ) -> None:  # fmt: skip
        self.unix_clock = unix_clock
        self.schedule, self.quota_auditor, self.zones = schedule, quota_auditor, zones
        self.origin: float | None = None
        self.nodes = {
            f"s-{n}": NodeServer(
                f"s-{n}", settings, work_sampler, schedule, self.clock, seed * 1000 + n, self.record_attempt
            )
            for n in range(nodes)
        }
        self.counter = CounterServer(counter, schedule, self.clock)
        self.discovery = DiscoveryServer(schedule, self.clock, notification_delay)
        self.timers: list[asyncio.TimerHandle] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def clock(self) -> float:
        """Time of the run (s); negative before its start."""
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
        for server in self.nodes.values():
            await server.listen()
            self.discovery.set_entry(server, self.zone(server.name))

    def begin(self, origin: float) -> None:
        """Start the run at this loop time and schedule its faults."""
        self.origin = origin
        loop = asyncio.get_running_loop()
        for node in self.nodes.values():
            node.node.now = 0.0
        for at, event, starts in self.schedule.transitions():
            self.timers.append(loop.call_at(origin + at, self.apply_transition, event, starts))

    def apply_transition(self, event: FaultEvent, starts: bool) -> None:
        if not event.nodes:
            if starts:
                self.counter.begin_fault(event)
            return
        for name in sorted(event.nodes):
            server = self.nodes[name]
            if starts:
                server.begin_fault(event)
            else:
                server.end_fault(event)
            if event.kind is Fault.RESTART:
                self.apply_restart(server, starts)

    def apply_restart(self, server: NodeServer, starts: bool) -> None:
        if starts:
            self.discovery.announce_change(server, self.zone(server.name), "terminated")
            return
        server.started_ms = int(self.unix_clock() * 1000)
        task = asyncio.get_running_loop().create_task(server.listen())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.discovery.announce_change(server, self.zone(server.name), "in_service")

    async def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        for server in self.nodes.values():
            server.close()
        self.counter.close()
        self.discovery.close()
        for task in self.tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks, return_exceptions=True)
