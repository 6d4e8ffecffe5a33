"""One soak run: processes, stand-ins, and operations that come in series and overlap, drawn by a seed."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from latchspoke.lab.soak.fleet import GRACE, READINESS, ZONES, Fleet, Machine
from latchspoke.lab.soak.parties import KEYS, Client, Server, call, configuration
from latchspoke.lab.soak.record import Finding, Record

UP_WITHIN = 60.0  # s
SERVER_PORT = 8080
SERVICES = ("gauges", "booking")
# What in a program's log is a finding: another request's answer that it has withheld, and a fault of its own.
SIGNS = {b"event=foreign-answer": "MIXED", b"Traceback": "FAULT"}
SERVED_LEAST = 0.5  # of the requests; below, a run shows nothing
TRIES = 30  # of an order
SETTLE = 1.0  # s after the last operation
RELEASED_WITHIN = 4.0  # s after the last client has left, for memory of bodies


class NotUpError(Exception):
    """The system did not come up; the run is no run."""


@dataclass(frozen=True, slots=True)
class Plan:
    """The size of a run."""

    seed: int
    seconds: float = 15.0
    gateways: int = 4
    control: int = 3
    clients: int = 24
    servers: int = 4  # of each service in each zone
    series: int = 3  # of operations, side by side


class Run:
    """A run and its parts."""

    def __init__(self, plan: Plan, folder: Path, net: int) -> None:
        """``net``: the second part of all loopback addresses (1 to 254)."""
        self.plan = plan
        self.draw = random.Random(f"soak:{plan.seed}")
        self.record = Record(time.monotonic(), GRACE)
        self.fleet = Fleet(folder, self.record, net, plan.gateways, plan.control)
        self.folder, self.net = folder, net
        self.hosts = 0
        self.servers: dict[Server, asyncio.Task[None]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.evacuating = asyncio.Lock()  # one zone at a time, so that there are servers
        self.killing_control = asyncio.Lock()

    # The parts.

    def server(self, service: str, zone: str) -> Server:
        """A new life of a server, at an address of its own."""
        self.hosts += 1
        address = (f"127.{self.net}.{3 + self.hosts // 200}.{self.hosts % 200 + 1}", SERVER_PORT)
        draw = random.Random(self.draw.getrandbits(32))
        server = Server(self.record, draw, service, zone, address, self.fleet.control)
        self.servers[server] = asyncio.create_task(server.serve())
        return server

    async def order(self) -> int:
        """A new configuration, given to some control machine; the status of the answer."""
        base, self.version = self.version, self.version + 1
        document = json.dumps(configuration(self.version, base, self.draw)).encode()
        target = "/rpc?call=configuration.replace"
        address = self.draw.choice(self.fleet.control)
        status, _ = await call(address, "POST", target, document)
        if status != 200:
            await self.look()
        return status

    async def look(self) -> None:
        """Which version is in force, as what became of an order is not clear."""
        for address in self.fleet.control:
            status, body = await call(address, "POST", "/rpc?call=configuration.read")
            if status == 200 and body:
                self.version = int(json.loads(body)["version"], 16)
                return

    async def up(self) -> None:
        """Raises NotUpError."""
        await self.fleet.start_all()
        until = time.monotonic() + UP_WITHIN
        while await self.order() != 200:
            if time.monotonic() > until:
                raise NotUpError("no configuration was taken")
            self.version = 0
            await asyncio.sleep(0.2)
        for service in SERVICES:
            for zone in ZONES:
                for _ in range(self.plan.servers):
                    self.server(service, zone)
        if not await self.fleet.ready(UP_WITHIN):
            raise NotUpError("not all gateways are ready")
        await asyncio.sleep(2.0)  # for the servers' heartbeats

    # Operations.

    async def restart_gateways(self) -> None:
        """Some in turn, each before the one before it is back."""
        pool = self.draw.sample(self.fleet.edges, min(len(self.fleet.edges) - 1, self.draw.randint(1, 3)))
        await self.in_turn(pool, lambda m: self.fleet.restart(m, self.draw.uniform(0.0, 0.5)))

    async def kill_gateway(self) -> None:
        """One ends at once."""
        await self.fleet.kill(self.draw.choice(self.fleet.edges), self.draw.uniform(0.0, 1.0))

    async def freeze_gateway(self) -> None:
        """One stands still."""
        await self.fleet.freeze(self.draw.choice(self.fleet.edges), self.draw.uniform(0.2, 2.0))

    async def hang_up(self) -> None:
        """SIGHUP to all, several times."""
        for _ in range(self.draw.randint(1, 4)):
            for machine in [*self.fleet.edges, *self.fleet.core]:
                if not machine.stops:
                    self.fleet.settings(machine, False)
                    self.fleet.signal(machine, signal.SIGHUP)
            await asyncio.sleep(self.draw.uniform(0.02, 0.3))

    async def change(self) -> None:
        """Configurations one after the other."""
        for _ in range(self.draw.randint(1, 5)):
            await self.order()
            await asyncio.sleep(self.draw.uniform(0.0, 0.3))

    async def restart_control(self) -> None:
        """One control machine in order."""
        await self.fleet.restart(self.draw.choice(self.fleet.core), self.draw.uniform(0.0, 0.5))

    async def kill_starting_control(self) -> None:
        """One control machine is killed, and again while it starts; one at a time, for a majority."""
        async with self.killing_control:
            await self.fleet.kill_starting(self.draw.choice(self.fleet.core), self.draw.randint(1, 4))

    async def remove_tenants(self) -> None:
        """All tenants are removed, the last one too, and come back a little later."""
        base, self.version = self.version, self.version + 1
        change = {
            "version": f"{self.version:08x}", "baseVersion": f"{base:08x}", "remove": {"tenants": list(KEYS)},
        }  # fmt: skip
        address = self.draw.choice(self.fleet.control)
        body = json.dumps(change).encode()
        status, _ = await call(address, "POST", "/rpc?call=configuration.modify", body)
        if status != 200:
            await self.look()
        await asyncio.sleep(self.draw.uniform(0.0, 1.0))
        for _ in range(TRIES):
            if await self.order() == 200:
                return
            await asyncio.sleep(0.2)
        self.record.faults.append((time.monotonic(), "no configuration with tenants was taken"))

    async def check_memory(self) -> None:
        """Gateways whose clients have all left hold no bodies, after a moment."""
        until = time.monotonic() + RELEASED_WITHIN
        holding = dict.fromkeys(self.fleet.edges, "")
        while holding and time.monotonic() < until:
            await asyncio.sleep(0.2)
            for machine in list(holding):
                status, body = await call((machine.ip, READINESS), "GET", "/status")
                memory = json.loads(body)["body_memory"] if status == 200 else {}
                holding[machine] = json.dumps(memory)
                if not any(part["held"] or part["waiting"] for part in memory.values()):
                    del holding[machine]
        for machine, memory in holding.items():
            self.record.faults.append((time.monotonic(), f"{machine.name} holds bodies of nobody: {memory}"))

    async def release(self) -> None:
        """Some servers leave in order, and successors come."""
        for server in self.draw.sample(list(self.servers), 3):
            self.server(server.service, server.zone)
            server.state = "draining"
            await server.beat()
            await asyncio.sleep(self.draw.uniform(0.0, 0.3))
            self.tasks.append(asyncio.create_task(self.end(server)))

    async def end(self, server: Server) -> None:
        """After its drain it ends."""
        await asyncio.sleep(4.0)
        task = self.servers.pop(server, None)
        if task is not None:
            task.cancel()

    async def evacuate(self) -> None:
        """A zone is emptied, and taken back."""
        async with self.evacuating:
            zone = self.draw.choice(list(ZONES))
            for what in ("begin", "finish"):
                await self.insist(f"/rpc?call=evacuation.{what}&of={zone}")
                await asyncio.sleep(self.draw.uniform(0.3, 1.5))

    async def insist(self, target: str) -> None:
        """Give an order until it is acknowledged."""
        for _ in range(TRIES):
            status, _ = await call(self.draw.choice(self.fleet.control), "POST", target)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.2)
        self.record.faults.append((time.monotonic(), f"no acknowledgement of {target}"))

    async def in_turn(self, pool: list[Machine], act: Callable[[Machine], Awaitable[None]]) -> None:
        """Each a moment after the one before it has begun."""
        tasks = []
        for machine in pool:
            tasks.append(asyncio.ensure_future(act(machine)))
            await asyncio.sleep(self.draw.uniform(0.1, 1.0))
        await asyncio.gather(*tasks)

    async def series(self, until: float) -> None:
        """One operation after the other; other series run beside it."""
        operations = (
            self.restart_gateways, self.restart_gateways, self.hang_up, self.change, self.release,
            self.evacuate, self.restart_control, self.kill_gateway, self.freeze_gateway,
            self.kill_starting_control, self.remove_tenants,
        )  # fmt: skip
        while time.monotonic() < until:
            operation = self.draw.choice(operations)
            self.record.done[operation.__name__] += 1
            await operation()
            await asyncio.sleep(self.draw.uniform(0.0, 0.5))

    # The run.

    async def play(self) -> list[Finding]:
        """All of it, to its findings. Raises NotUpError."""
        try:
            await self.up()
            for number in range(self.plan.clients):
                draw = random.Random(self.draw.getrandbits(32))
                client = Client(self.record, draw, list(KEYS)[number % len(KEYS)], self.fleet.fronts)
                self.tasks.append(asyncio.create_task(client.run()))
            until = time.monotonic() + self.plan.seconds
            await asyncio.gather(*(self.series(until) for _ in range(self.plan.series)))
            await asyncio.sleep(SETTLE)
        finally:
            clients = self.tasks[: self.plan.clients]
            self.record.leave()
            for task in clients:
                task.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            await self.check_memory()
            await self.fleet.stop_all()
            rest = [*self.tasks[self.plan.clients :], *self.servers.values()]
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)
        return self.findings()

    def findings(self) -> list[Finding]:
        """What the record shows, and what the programs' logs do."""
        found = self.record.findings()
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_bytes().splitlines():
                rule = next((rule for sign, rule in SIGNS.items() if sign in line), "")
                if rule:
                    found.append(Finding(rule, 0.0, f"{path.stem}: {line.decode()}"))
        served = sum(sent.status == 200 for sent in self.record.sent.values())
        if served < SERVED_LEAST * len(self.record.sent):
            found.append(Finding("SERVED", 0.0, f"only {served} of {len(self.record.sent)}"))
        return found


def play(plan: Plan, folder: Path, net: int) -> tuple[list[Finding], dict[str, Any]]:
    """A run in a loop of its own: its findings and counts. Raises NotUpError, also if interrupted."""

    async def story() -> tuple[list[Finding], dict[str, Any]]:
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        run = Run(plan, folder, net)
        found = await run.play()
        return found, run.record.summary()

    try:
        return asyncio.run(story())
    except asyncio.CancelledError:
        raise NotUpError("interrupted") from None
