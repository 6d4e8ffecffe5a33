"""One run on loopback: simulated servers in this process, gateways and players in child processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from latchspoke.lab.experiment import KIND, Experiment
from latchspoke.lab.load import Arrival, TraceReplay, mark_inside_quota, poisson_arrivals
from latchspoke.lab.loopback.player import PlayerJob, PlayerSettings, play_all
from latchspoke.lab.loopback.servers import HOST, SimulatedServers
from latchspoke.lab.loopback.servers import WorkSampler as NodeWorkSampler
from latchspoke.lab.outcome import Outcomes
from latchspoke.lab.ports import open_port
from latchspoke.lab.quota import PlanQuota, QuotaAuditor, QuotaUsage
from latchspoke.traffic.trace import Reader, requests_between

READY_TIMEOUT_S = 15.0
DRAIN_TIMEOUT_S = 10.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class RunError(Exception):
    """The run could not be played; the message is one line."""


@dataclass
class GatewayProcess:
    """A gateway process of a run; ``ended`` says why it stopped if it did not drain."""

    name: str
    port: int
    process: asyncio.subprocess.Process
    log: Path
    cpu: float = 0.0
    memory_mb: float = 0.0
    ended: str = ""
    stats: dict[str, int] = field(default_factory=dict)


@dataclass
class RunResult:
    """Result of one run."""

    variant: str
    seed: int
    outcomes: Outcomes
    use: dict[str, QuotaUsage]
    gateways: list[GatewayProcess]
    counter_calls: int
    attempts: int
    served_by_nodes: dict[str, tuple[int, int]]
    interrupted: bool = False
    stats: list[dict[str, int]] = field(
        default_factory=list
    )  # counters of each gateway, in virtual time only
    overloaded_nodes: list[str] = field(default_factory=list)  # nodes overloaded during warm-up
    peak_connections: int = 0  # most connections open at one node at once


def trace_gateways(path: str, count: int) -> dict[str, int]:
    """Map the gateways of a trace, in order of their first request, to gateway indexes of the run."""
    names: dict[str, int] = {}
    for request in Reader(path):
        names.setdefault(request.gateway, len(names) % count)
    return names


def recorded_arrivals(
    path: str, options: dict[str, Any], start: float, end: float, plans: dict[str, PlanQuota]
) -> Iterator[Arrival]:
    """Arrivals of a trace; each player process generates them itself."""
    return mark_inside_quota(
        TraceReplay(**options).arrivals(requests_between(Reader(path), start, end)), plans
    )


def generated_arrivals(experiment: Experiment, seed: int) -> Iterator[Arrival]:
    gateways = experiment.gateways
    arrivals = poisson_arrivals(
        experiment.plan_loads(), KIND, experiment.duration, gateways.count, gateways.spread, seed
    )
    return mark_inside_quota(arrivals, experiment.plan_quotas())


class Run:
    """One run of one variant on loopback."""

    def __init__(
        self, experiment: Experiment, variant: str, seed: int, tree: str, folder: Path, processes: int = 1,
    ) -> None:  # fmt: skip
        self.experiment, self.variant, self.seed = experiment, variant, seed
        self.tree, self.folder, self.processes = tree, folder, processes
        self.gateways: list[GatewayProcess] = []
        self.interrupted = False
        self.quota_auditor = QuotaAuditor(experiment.plan_quotas())

    async def play(self) -> RunResult:
        experiment = self.experiment
        nodes = experiment.nodes
        world = SimulatedServers(
            nodes.count, nodes.settings(), NodeWorkSampler(nodes.work, nodes.sigma, self.seed),
            experiment.counter.settings(), experiment.schedule(), self.quota_auditor, nodes.late, self.seed,
            experiment.gateways.zones,
        )  # fmt: skip
        await world.start()
        try:
            await self.start_gateways(world)
            outcomes, loop = Outcomes(experiment.clients.aim), asyncio.get_running_loop()

            def begin(started_at: float) -> None:
                loop.call_soon_threadsafe(lambda: world.begin(loop.time() + started_at - time.time()))

            with self.watch_interrupts():
                await loop.run_in_executor(None, play_all, self.player_jobs(), outcomes, begin)
            await self.stop_gateways()
            served = {
                name: (node_server.node.served, node_server.node.rejected)
                for name, node_server in world.nodes.items()
            }
            return RunResult(
                self.variant, self.seed, outcomes, self.quota_auditor.use, self.gateways,
                world.counter.model.calls, self.quota_auditor.attempts, served, self.interrupted,
            )  # fmt: skip
        finally:
            await self.kill_gateways()
            await world.close()

    @contextlib.contextmanager
    def watch_interrupts(self) -> Iterator[None]:
        """Note Ctrl-C, which the player processes handle; the report then covers what was played."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGINT, self.interrupt)
        try:
            yield
        finally:
            loop.remove_signal_handler(signal.SIGINT)

    def interrupt(self) -> None:
        self.interrupted = True

    def player_jobs(self) -> list[PlayerJob]:
        experiment = self.experiment
        addresses = [(HOST, gateway.port) for gateway in self.gateways]
        make_arrivals, arguments, verbatim = self.arrivals()
        return [
            PlayerJob(
                PlayerSettings(
                    addresses, experiment.clients.settings(), self.seed, verbatim, n, self.processes
                ),
                make_arrivals,
                arguments,
            )
            for n in range(self.processes)
        ]

    def arrivals(self) -> tuple[Callable[..., Iterator[Arrival]], tuple[Any, ...], bool]:
        experiment, trace = self.experiment, self.experiment.trace
        if trace is None:
            return generated_arrivals, (experiment, self.seed), False
        options = {
            "gateways": trace_gateways(trace.file, experiment.gateways.count), "speed": trace.speed,
            "scale": trace.scale, "louder": trace.louder, "verbatim": trace.verbatim, "seed": self.seed,
        }  # fmt: skip
        end = experiment.duration * trace.speed
        return recorded_arrivals, (trace.file, options, 0.0, end, experiment.plan_quotas()), trace.verbatim

    # Gateway processes

    def configuration(self, index: int, port: int, world: SimulatedServers) -> dict[str, Any]:
        entries = list(world.discovery.entries.values())
        return {
            "name": f"n{index}", "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{world.discovery.port}",
            "counter": f"{HOST}:{world.counter.port}", "seed": f"{self.seed * 1000 + index:x}",
            "limits": {"sockets": self.experiment.gateways.sockets},
            "known": {"generation": 1, "reset": True, "instances": entries},
            "settings": self.experiment.settings(index),
        }  # fmt: skip

    async def start_gateways(self, world: SimulatedServers) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        for index in range(self.experiment.gateways.count):
            with open_port() as probe:
                port = int(probe.getsockname()[1])
            file = self.folder / f"n{index}.json"
            file.write_text(json.dumps(self.configuration(index, port, world)))
            log = self.folder / f"n{index}.log"
            with open(log, "wb") as out:
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "latchspoke", "serve", "--config", str(file),
                    cwd=self.tree or None, stderr=out, stdout=out, start_new_session=True,
                    env=self.environment(),
                )  # fmt: skip
            self.gateways.append(GatewayProcess(f"n{index}", port, process, log))
        await asyncio.gather(*(self.wait_until_ready(gateway) for gateway in self.gateways))

    def environment(self) -> dict[str, str]:
        inherited = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        # Gateways of another source tree must import that tree, not the installed package.
        return inherited | ({"PYTHONPATH": self.tree} if self.tree else {})

    async def wait_until_ready(self, gateway: GatewayProcess) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end and gateway.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, gateway.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.02)
        raise RunError(f"gateway {gateway.name} did not become ready in time; see its log {gateway.log}")

    async def stop_gateways(self) -> None:
        for gateway in self.gateways:
            if gateway.process.returncode is not None:
                gateway.ended = f"ended by itself, code {gateway.process.returncode}"
                continue
            gateway.cpu, gateway.memory_mb = process_usage(gateway.process.pid)
            gateway.process.terminate()
        for gateway in self.gateways:
            try:
                await asyncio.wait_for(gateway.process.wait(), DRAIN_TIMEOUT_S)
            except TimeoutError:
                gateway.ended = f"did not drain in {DRAIN_TIMEOUT_S:g} s"
            gateway.stats = read_stats(gateway.log)

    async def kill_gateways(self) -> None:
        for gateway in self.gateways:
            if gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()


def process_usage(pid: int) -> tuple[float, float]:
    """CPU time in s and peak memory in MB of a process, from /proc."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0, 0.0
    peak = next((line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")), "0")
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(peak) / 1024


def read_stats(log: Path) -> dict[str, int]:
    """Counters that a gateway logs when it stops."""
    for line in reversed(log.read_text(errors="replace").splitlines()):
        if line.startswith("stats "):
            counters: dict[str, int] = json.loads(line[6:])
            return counters
    return {}
