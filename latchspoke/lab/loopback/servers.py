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
from latchspoke.lab.faults import Fault, Schedule, Trouble
from latchspoke.lab.loopback.http import Link, Place, response
from latchspoke.lab.loopback.player import read_ident
from latchspoke.lab.node import Node, NodeSettings
from latchspoke.lab.quota import QuotaJudge

HOST = "127.0.0.1"
KEY = re.compile(r"[?&]key=([0-9a-fA-F]+)")
EMPTY_EVERY = 2.0  # s between the empty lines of a watch
Clock = Callable[[], float]


class Work:
    """Draws the work of requests, in seconds of one core: lognormal with this mean and spread."""

    def __init__(self, mean: float, sigma: float, seed: int) -> None:
        self.mean, self.sigma = mean, sigma
        self.draw = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 3])))

    def one(self) -> float:
        return float(self.draw.lognormal(np.log(self.mean) - self.sigma**2 / 2, self.sigma))


class NodeLink(Link):
    """A gateway's connection to a node."""

    def __init__(self, host: NodeHost) -> None:
        super().__init__()
        self.host = host

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        host = self.host
        if host.down or len(host.links) >= host.node.settings.connections:
            self.abort()
            return
        host.links[self] = None
        host.node.connected(len(host.links) + 1)
        if host.vanished and self.transport is not None:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.links.pop(self, None)
        for place in self.places:
            self.host.node.cancel(place)

    def asked(self, place: Place) -> None:
        self.host.asked(place, self.url.decode("latin-1"), self.headers.get(b"req-id", b"").decode("latin-1"))


class NodeHost:
    """One node: the model, its listening socket, its connections, its troubles."""

    def __init__(
        self, name: str, settings: NodeSettings, work: Work, schedule: Schedule, clock: Clock, seed: int,
        on_sent: Callable[[str, str], None],
    ) -> None:  # fmt: skip
        self.name, self.work, self.schedule, self.clock = name, work, schedule, clock
        self.node, self.on_sent = Node(settings), on_sent
        self.draw = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 5])))
        self.links: dict[NodeLink, None] = {}  # in the order of their coming, so that runs can be repeated
        self.timer: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.port = 0
        self.down = self.vanished = False
        self.started_ms = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: NodeLink(self), HOST, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def slow(self, now: float) -> float:
        return self.schedule.amount(Fault.SLOW, now, self.name) or 1.0

    def chance(self, kind: Fault, now: float) -> bool:
        amount = self.schedule.amount(kind, now, self.name)
        return amount is not None and float(self.draw.random()) < amount

    def asked(self, place: Place, url: str, ident: str) -> None:
        now = self.clock()
        if not ident:
            place.answer(response(404))
            return
        self.on_sent(ident, url)
        if self.schedule.amount(Fault.HANG, now, self.name) is not None:
            return
        if self.chance(Fault.FAIL_FAST, now):
            place.answer(response(500, headers=self.load(now)))
            return
        self.advance()
        if not self.node.arrive(place, self.work.one(), now):
            place.answer(response(503, headers=f"Srv-Declined: 1\r\n{self.load(now)}"))
        self.arm()

    def load(self, now: float) -> str:
        queue, util = self.node.load(now)
        return f"Srv-Load: TEXT queue={queue}, util={util:.2f}\r\n"

    def advance(self) -> None:
        now = self.clock()
        for job in self.node.advance(now, self.slow(now)):
            place = job.ident
            if isinstance(place, Place):
                place.answer(self.answer(now))

    def answer(self, now: float) -> bytes:
        whole = response(200, b'{"balance": 1}', self.load(now))
        if self.chance(Fault.SPOIL, now):
            return whole[: len(whole) // 2] if float(self.draw.random()) < 0.5 else b"\x00garbage\r\n\r\n"
        return whole

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.node.next_at(self.slow(self.clock()))
        if due is not None and not self.down:
            self.timer = asyncio.get_running_loop().call_later(max(due - self.clock(), 0.0), self.fire)

    def fire(self) -> None:
        self.timer = None
        self.advance()
        self.arm()

    # Troubles that change the sockets.

    def begin(self, trouble: Trouble) -> None:
        if trouble.kind is Fault.RESTART:
            self.down = True
            self.node.restart(self.clock())
            self.break_all()
            if self.server is not None:
                self.server.close()
        elif trouble.kind is Fault.RESET:
            self.break_all()
        elif trouble.kind is Fault.VANISH:
            self.vanished = True
            for link in self.links:
                if link.transport is not None:
                    link.transport.pause_reading()
        self.advance()
        self.arm()

    def end(self, trouble: Trouble) -> None:
        """The listening socket comes back by ``listen``, as that takes the loop."""
        if trouble.kind is Fault.RESTART:
            self.down = False
            self.node.restart(self.clock())
        elif trouble.kind is Fault.VANISH:
            self.vanished = False
            self.break_all()
        self.advance()
        self.arm()

    def break_all(self) -> None:
        for link in list(self.links):
            link.abort()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
        self.break_all()


class CounterLink(Link):
    def __init__(self, host: CounterHost) -> None:
        super().__init__()
        self.host = host

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.host.links[self] = None
        if self.host.gone():
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.links.pop(self, None)

    def asked(self, place: Place) -> None:
        self.host.asked(place, self.url.decode("latin-1"))


class CounterHost:
    """The shared counter: answers go out when the model says, in their order on each connection."""

    def __init__(self, settings: CounterSettings, schedule: Schedule, clock: Clock) -> None:
        self.model, self.schedule, self.clock = CounterModel(settings), schedule, clock
        self.links: dict[CounterLink, None] = {}
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: CounterLink(self), HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def gone(self) -> bool:
        return self.schedule.amount(Fault.COUNTER_GONE, self.clock()) is not None

    def asked(self, place: Place, url: str) -> None:
        now = self.clock()
        parts = urlsplit(url)
        query = parse_qs(parts.query)
        try:
            name = parts.path.removeprefix("/v2/numbers/")
            amount, life = float(query["delta"][0]), float(query["life_ms"][0]) / 1000
        except (KeyError, ValueError):
            place.answer(response(404))
            return
        slow = self.schedule.amount(Fault.COUNTER_SLOW, now) or 1.0
        total, due = self.model.add(name, amount, life, now, slow)
        body = f"{total:.7g}".encode()
        asyncio.get_running_loop().call_later(max(due - now, 0.0), place.answer, response(200, body))

    def begin(self, trouble: Trouble) -> None:
        if trouble.kind is Fault.COUNTER_RESET:
            self.model.reset()
        if trouble.kind in (Fault.COUNTER_GONE, Fault.COUNTER_RESET):
            for link in list(self.links):
                link.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.abort()


class WatchLink(Link):
    """A gateway's watch, or a question for the list."""

    def __init__(self, host: DiscoveryHost) -> None:
        super().__init__()
        self.host = host

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.watches.pop(self, None)

    def asked(self, place: Place) -> None:
        if "stream=1" not in self.url.decode("latin-1"):
            place.answer(response(200, self.host.whole()))
            return
        self.places.clear()
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.host.watches[self] = None
            self.tell(self.host.whole())

    def tell(self, line: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))


class DiscoveryHost:
    """The list of nodes: whole at the start of a watch, changes as they become known."""

    def __init__(self, schedule: Schedule, clock: Clock, late: float) -> None:
        self.schedule, self.clock, self.late = schedule, clock, late
        self.entries: dict[str, dict[str, object]] = {}
        self.generation = 1
        self.watches: dict[WatchLink, None] = {}
        self.server: asyncio.Server | None = None
        self.port = 0
        self.held: list[bytes] = []
        self.beat: asyncio.TimerHandle | None = None

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: WatchLink(self), HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = loop.call_later(EMPTY_EVERY, self.empty)

    def silent(self) -> bool:
        return self.schedule.amount(Fault.DISCOVERY_SILENT, self.clock()) is not None

    def empty(self) -> None:
        self.beat = asyncio.get_running_loop().call_later(EMPTY_EVERY, self.empty)
        self.tell(b"\n")

    def whole(self) -> bytes:
        return self.line(list(self.entries.values()), reset=True)

    def line(self, entries: list[dict[str, object]], reset: bool = False) -> bytes:
        told = {"generation": self.generation, "reset": reset, "instances": entries}
        return json.dumps(told).encode() + b"\n"

    def put(self, host: NodeHost, zone: str, lifecycle: str = "in_service") -> dict[str, object]:
        entry: dict[str, object] = {
            "instanceId": host.name, "hostPort": f"{HOST}:{host.port}", "zone": zone, "lifecycle": lifecycle,
            "weight": 1.0, "startedAtMs": host.started_ms,
        }  # fmt: skip
        if lifecycle == "terminated":
            self.entries.pop(host.name, None)
        else:
            self.entries[host.name] = entry
        return entry

    def changed(self, host: NodeHost, zone: str, lifecycle: str) -> None:
        """A change that becomes known only after a while."""
        late = self.schedule.amount(Fault.DISCOVERY_LATE, self.clock()) or self.late
        asyncio.get_running_loop().call_later(late, self.known, host, zone, lifecycle)

    def known(self, host: NodeHost, zone: str, lifecycle: str) -> None:
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


class World:
    """All stand-ins of one run, and its schedule of troubles."""

    def __init__(
        self, nodes: int, settings: NodeSettings, work: Work, counter: CounterSettings, schedule: Schedule,
        judge: QuotaJudge, late: float, seed: int, zones: int = 3, unix: Clock = time.time,
    ) -> None:  # fmt: skip
        self.unix = unix
        self.schedule, self.judge, self.zones = schedule, judge, zones
        self.origin: float | None = None
        self.nodes = {
            f"s-{n}": NodeHost(f"s-{n}", settings, work, schedule, self.clock, seed * 1000 + n, self.sent)
            for n in range(nodes)
        }
        self.counter = CounterHost(counter, schedule, self.clock)
        self.discovery = DiscoveryHost(schedule, self.clock, late)
        self.timers: list[asyncio.TimerHandle] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def clock(self) -> float:
        """Seconds of the run; below 0 before it begins."""
        now = asyncio.get_running_loop().time()
        return now - self.origin if self.origin is not None else -1.0

    def zone(self, name: str) -> str:
        return f"b{int(name.rpartition('-')[2]) % self.zones + 1}"

    def sent(self, ident: str, url: str) -> None:
        told = read_ident(ident)
        key = KEY.search(url)
        if told is not None and key is not None:
            self.judge.sent(ident, told[0], int(key.group(1), 16), told[1], self.clock())

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
        for at, trouble, starts in self.schedule.edges():
            self.timers.append(loop.call_at(origin + at, self.edge, trouble, starts))

    def edge(self, trouble: Trouble, starts: bool) -> None:
        if not trouble.nodes:
            if starts:
                self.counter.begin(trouble)
            return
        for name in sorted(trouble.nodes):
            host = self.nodes[name]
            if starts:
                host.begin(trouble)
            else:
                host.end(trouble)
            if trouble.kind is Fault.RESTART:
                self.restart(host, starts)

    def restart(self, host: NodeHost, starts: bool) -> None:
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
