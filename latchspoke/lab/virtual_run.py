"""Runs an experiment in virtual time, with the same simulated servers and players and real gateway ``Node``s.

No sockets are opened and no real time is waited for. The result depends only on the experiment and the seed.
"""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from typing import Any

from latchspoke.config import Address, parse_config
from latchspoke.lab import virtual
from latchspoke.lab.experiment import Experiment
from latchspoke.lab.loopback.player import Player, PlayerSettings
from latchspoke.lab.loopback.run import Run, RunResult
from latchspoke.lab.loopback.servers import HOST, SimulatedServers
from latchspoke.lab.loopback.servers import WorkSampler as NodeWorkSampler
from latchspoke.lab.outcome import Outcomes
from latchspoke.net.clock import Clock
from latchspoke.net.http import Connection, Dialer
from latchspoke.net.listener import ClientConnection
from latchspoke.net.serve import Node

EPOCH = 1_800_000_000.0  # Unix time (s) at the start of virtual time
STARTUP_DELAY_S = 1.5  # before the first request, so that gateways connect to discovery and the counter


class VirtualClock(Clock):
    """A clock on the loop's time, ahead of the others by ``skew`` seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, skew: float = 0.0) -> None:
        super().__init__(loop)
        self.skew = skew

    def now(self) -> float:
        return EPOCH + self.skew + self.loop.time()


class VirtualDialer(Dialer):
    """Connects from the host of a gateway, so that it can be partitioned."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: str) -> None:
        super().__init__(loop)
        self.host = host

    def open(self, connection: Connection, address: Address) -> Any:
        return self.loop.create_connection(lambda: connection, *address, local_addr=(self.host, 0))


class VirtualGateway:
    """One real gateway on the virtual loop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, name: str, port: int, configuration: dict[str, Any]
    ) -> None:
        self.name, self.port = name, port
        self.clock = VirtualClock(loop)
        self.node = Node(parse_config(configuration, {}), self.clock, VirtualDialer(loop, name))
        self.drained = asyncio.Event()
        self.node.on_done = self.drained.set
        self.loop = loop

    async def start(self) -> None:
        self.node.server = await self.loop.create_server(
            lambda: ClientConnection(self.node.listener), HOST, self.port
        )
        self.node.start()


class VirtualRun(Run):
    """A run of an experiment in virtual time, in this process."""

    def play_virtual(self) -> RunResult:
        logging.getLogger("latchspoke").setLevel(logging.ERROR)
        network = virtual.Network(self.seed)
        result: RunResult = virtual.run(self.play_in_loop(), network)
        return result

    async def play_in_loop(self) -> RunResult:
        experiment, loop = self.experiment, asyncio.get_running_loop()
        nodes = experiment.nodes
        world = SimulatedServers(
            nodes.count, nodes.settings(), NodeWorkSampler(nodes.work, nodes.sigma, self.seed),
            experiment.counter.settings(), experiment.schedule(), self.quota_auditor, nodes.late, self.seed,
            experiment.gateways.zones, unix_clock=lambda: EPOCH + loop.time(),
        )  # fmt: skip
        await world.start()
        gateways = [self.gateway(loop, index, world) for index in range(experiment.gateways.count)]
        for gateway in gateways:
            await gateway.start()
        await asyncio.sleep(STARTUP_DELAY_S)
        world.begin(loop.time())
        outcomes = await self.player(gateways).run()
        for gateway in gateways:
            gateway.node.stop()
        for gateway in gateways:
            await gateway.drained.wait()
        served = {name: (server.node.served, server.node.rejected) for name, server in world.nodes.items()}
        merged = Outcomes(experiment.clients.aim)
        merged.merge(outcomes.as_dict())
        result = RunResult(
            self.variant, self.seed, merged, self.quota_auditor.use, [], world.counter.model.calls,
            self.quota_auditor.attempts, served,
        )  # fmt: skip
        result.stats = [dict(sorted(gateway.node.stats.items())) for gateway in gateways]
        result.overloaded_nodes = [name for name, host in world.nodes.items() if host.node.overloaded]
        result.peak_connections = max(host.node.peak_connections for host in world.nodes.values())
        return result

    def gateway(self, loop: asyncio.AbstractEventLoop, index: int, world: SimulatedServers) -> VirtualGateway:
        port = 7000 + index
        return VirtualGateway(loop, f"n{index}", port, self.configuration(index, port, world))

    def player(self, gateways: list[VirtualGateway]) -> Player:
        make_arrivals, arguments, verbatim = self.arrivals()
        addresses = [(HOST, gateway.port) for gateway in gateways]
        return Player(
            PlayerSettings(addresses, self.experiment.clients.settings(), self.seed, verbatim),
            make_arrivals(*arguments),
        )


def play(experiment: Experiment, variant: str, seed: int) -> RunResult:
    """Run once; the result depends only on the experiment and the seed."""
    return VirtualRun(experiment, variant, seed, "", Path()).play_virtual()
