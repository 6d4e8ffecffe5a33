"""Simulated machines that run the real programs: starts, kills, power loss, disks, settings and signals."""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

from latchspoke.agent.raft_store import RaftStoreError
from latchspoke.configstore import disk, replica
from latchspoke.configstore.simulation import Disk
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Snapshot, Stored
from latchspoke.controlplane.node import Node as ControlPlane
from latchspoke.dataplane.node import Node as DataPlane
from latchspoke.lab.system.day_record import DayRecord, Reachability
from latchspoke.lab.system.network import MAX_LINK_BACKLOG_S, Host, Network, ProcessLoop, new_process_loop
from latchspoke.lab.system.scenario import BOUNDS, Deployment
from latchspoke.lab.virtual import Address
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.net.stats import Stats
from latchspoke.settings import load_settings
from latchspoke.transport import log as transport_log

INTERNAL_PORT = 7600
FRONT_PORT, READINESS_PORT, CONTROL_PORT, DIRECTORY_PORT = 8206, 8201, 8200, 8207
START_DELAY_S = {"edge": 0.35, "core": 0.3}
RESTART_DELAY_S = 0.2  # by the supervisor, after a process has exited


class SimulatedLedger:
    """``RaftStore`` on a simulated disk; power may be lost right before or after a sync."""

    def __init__(self, machine: Machine) -> None:
        self.machine, self.open = machine, True

    def start(self, name: str, draw: str, founder: bool, first: Snapshot | None = None) -> Stored:
        disk = self.machine.disk
        if not disk.boot:
            disk.identity = f"{name}#{draw}"
            if founder:
                disk.snapshot = first or Snapshot()
        return disk.start()

    def save(self, output: Output) -> None:
        machine = self.machine
        if machine.disk_refuses:
            raise RaftStoreError("the disk refuses")
        if machine.disk_full and (output.entries or output.snapshot is not None):
            raise RaftStoreError("database or disk is full")
        scheduler = machine.fleet.scheduler
        # A sync blocks the event loop.
        if machine.disk_hangs_until > scheduler.now and machine.loop is not None:
            machine.loop.busy_until = max(machine.loop.busy_until, machine.disk_hangs_until)
        power_loss_at_save, machine.power_loss_at_save = machine.power_loss_at_save, ""
        if power_loss_at_save != "before":
            machine.disk.save(output)
        if power_loss_at_save:
            machine.fleet.power_off(machine)
            machine.fleet.scheduler.after(machine.power_off_s, machine.fleet.power_on, machine)
            raise RaftStoreError("the machine has lost power")

    def compact(self, snapshot: Snapshot) -> None:
        self.machine.disk.compact(snapshot)

    def close(self) -> None:
        self.open = False


@dataclass(eq=False)
class Machine:
    """A machine and its process."""

    fleet: Fleet
    name: str
    kind: str
    host: Host
    path: Path
    disk: Disk = field(default_factory=Disk)
    loop: ProcessLoop | None = None
    node: Any = None
    start_count: int = 0
    clock_skew_s: float = 0.0  # of the wall clock
    power_loss_at_save: str = ""
    power_off_s: float = 1.0
    disk_refuses: bool = False
    disk_full: bool = False  # no write that grows the database succeeds
    disk_hangs_until: float = 0.0  # no sync completes before then
    slowdown: float = 1.0
    kept_down: int = 0  # number of troubles that keep its process stopped
    exits: int = 0

    @property
    def ip(self) -> str:
        return self.host.ip

    @property
    def running(self) -> bool:
        return self.node is not None and self.loop is not None and not self.loop.dead

    @property
    def is_leader(self) -> bool:
        return self.kind == "core" and self.running and self.node.replica.node.is_leader


class LogRecorder:
    """Replaces the logger of the programs."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def info(self, event: str, **fields: Any) -> None:
        import asyncio

        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        if isinstance(loop, ProcessLoop):
            self.fleet.record.log_events.append((self.fleet.scheduler.now, loop.name, event, fields))


class Fleet:
    """All machines of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        network: Network,
        record: DayRecord,
        reachability: Reachability,
        seed: int,
        home: Path,
    ) -> None:
        self.deployment, self.network, self.record, self.reachability = (
            deployment,
            network,
            record,
            reachability,
        )
        self.scheduler, self.seed, self.home = network.scheduler, seed, home
        self.rng = random.Random(f"machines:{seed}")
        self.machines: list[Machine] = []
        self.successors = 0  # number of replacement machines
        self.initial_start = True
        counts: dict[str, int] = {}
        regions = deployment.zones
        for item in deployment.machines:
            for _ in range(item.count):
                number = counts[item.kind] = counts.get(item.kind, 0) + 1
                zone_number = list(regions).index(item.zone) + 1
                subnet = (0 if item.kind == "edge" else 1) + 2 * (number // 250)
                ip = f"10.{zone_number}.{subnet}.{number % 250}"
                host = network.host(ip, item.zone, regions[item.zone])
                host.limit_rate(item.link_mbps)
                name = f"{item.kind}-{item.zone}-{number}"
                self.machines.append(Machine(self, name, item.kind, host, home / f"{name}.yaml"))
        cores = self.cores
        self.seeds = [machine.ip for machine in cores[:3]]
        self.control_list = [machine.ip for machine in cores]  # as known to callers, with a delay

    def successor(self, old: Machine) -> Machine:
        """Start an empty replacement in the same zone, at a new address."""
        self.successors += 1
        ip = f"10.{200 + self.successors // 250}.0.{1 + self.successors % 250}"
        host = self.network.host(ip, old.host.zone, old.host.region)
        host.egress.rate, host.ingress.rate = old.host.egress.rate, old.host.ingress.rate
        name = f"{old.kind}-{old.host.zone}-s{self.successors}"
        new = Machine(self, name, old.kind, host, self.home / f"{name}.yaml")
        self.machines.append(new)
        self.record_disruption(new, 0.0)
        self.start(new)
        return new

    def retire(self, machine: Machine) -> None:
        """Remove a machine for good."""
        self.power_off(machine)
        machine.kept_down += 1
        self.machines.remove(machine)
        if machine.ip in self.seeds:
            # Settings files written from now on name another seed node.
            others = [other.ip for other in self.cores if other.ip not in self.seeds]
            self.seeds = [ip for ip in self.seeds if ip != machine.ip] + others[-1:]

    @property
    def cores(self) -> list[Machine]:
        return [m for m in self.machines if m.kind == "core"]

    @property
    def edges(self) -> list[Machine]:
        return [m for m in self.machines if m.kind == "edge"]

    def by_ip(self, ip: str) -> Machine | None:
        return next((m for m in self.machines if m.ip == ip), None)

    def control(self) -> list[Address]:
        """Control-plane addresses from the lagging list."""
        return [(ip, CONTROL_PORT) for ip in self.control_list]

    def readiness_addresses(self) -> list[Address]:
        """Addresses of the gateways' status interface."""
        return [(machine.ip, READINESS_PORT) for machine in self.edges]

    def locators(self, zone: str, rng: random.Random) -> list[Address]:
        """Locator addresses, nearest first."""
        region = self.deployment.zones[zone]
        known = set(self.control_list)
        cores = [m for m in self.cores if m.ip in known]
        rng.shuffle(cores)
        cores.sort(key=lambda m: 0 if m.host.zone == zone else 1 if m.host.region == region else 2)
        return [(m.ip, DIRECTORY_PORT) for m in cores]

    def follow_control_list(self) -> None:
        """Update the list with the running nodes, delayed by ``seedLagS``."""
        running = [m.ip for m in self.cores if m.running]
        self.scheduler.after(self.deployment.bound("seedLagS"), self.set_control_list, running)
        self.scheduler.after(0.5, self.follow_control_list)

    def set_control_list(self, running: list[str]) -> None:
        self.control_list = running or self.control_list

    # Settings.

    def write_settings(self, machine: Machine) -> None:
        deployment = self.deployment
        is_edge = machine.kind == "edge"
        listen = {"frontPlain": FRONT_PORT, "readiness": READINESS_PORT} if is_edge else {
            "controlPlane": CONTROL_PORT, "directoryService": DIRECTORY_PORT,
        }  # fmt: skip
        bounds = {name: deployment.bounds.get(name, value) for name, value in BOUNDS.items()}
        settings_doc = {
            "nodeName": machine.name, "role": machine.kind, "machineClass": machine.kind,
            "servedRoles": ["edge"] if is_edge else ["control", "locator"], "ipAddress": machine.ip,
            "zone": machine.host.zone, "region": machine.host.region, "zones": deployment.zones,
            "listenAddresses": {name: f"{machine.ip}:{port}" for name, port in listen.items()},
            "internalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seedNodes": [f"{ip}:{CONTROL_PORT}" for ip in self.seeds], "initialStart": self.initial_start,
            "lossCounted": not is_edge,
            "limits": {"cpuFraction": 0.86, "coreCount": 1, "memoryMb": 300, "fileDescriptors": 4100,
                       "linkRateMbps": 1000.0, "diskMb": 0 if is_edge else 256},
            "dataDirectory": None if is_edge else str(self.home / machine.name),
            "heartbeatS": deployment.beat,
            "contractSet": ["base", "drain", "config", "cost", "retry", "recover", "places", "tenants",
                            "quota"],
            "faultTolerance": {"machineLosses": deployment.tolerate_machines,
                               "zones": deployment.tolerate_zones,
                               "regionLosses": deployment.tolerate_regions},
            "bounds": [f"{n}={str(v).lower() if isinstance(v, bool) else v}" for n, v in bounds.items()],
        }  # fmt: skip
        machine.path.write_text(json.dumps(settings_doc))

    # Process lifecycle.

    def start_all(self) -> None:
        for machine in self.machines:
            self.start(machine)
        self.initial_start = False
        self.scheduler.after(0.5, self.follow_control_list)

    def start(self, machine: Machine) -> None:
        """Start a process unless a trouble keeps it stopped."""
        if machine.running or machine.kept_down or not machine.host.powered:
            return
        self.write_settings(machine)
        machine.start_count += 1
        loop = machine.loop = new_process_loop(self.network, machine.host, machine.name)
        loop.cost_per_event_s = self.deployment.cost_ms / 1000 * machine.slowdown
        machine.node = None
        delay = START_DELAY_S[machine.kind] * self.rng.uniform(0.8, 1.3)
        self.scheduler.after(delay, self.create_node, machine, loop)

    def create_node(self, machine: Machine, loop: ProcessLoop) -> None:
        if loop.dead or machine.loop is not loop:
            return
        rng = random.Random(f"process:{self.seed}:{machine.name}:{machine.start_count}")
        program = DataPlane if machine.kind == "edge" else ControlPlane
        with self.running_loop(loop):
            try:
                replica_random.source = rng
                settings = load_settings(machine.path)
                clock = VirtualClock(loop, machine.clock_skew_s)
                machine.node = program(settings, loop, str(machine.path), clock, rng)
            except Exception as e:
                self.scheduler.uncaught_errors.append(
                    (self.scheduler.now, machine.name, f"process failed to start: {e!r}")
                )
                self.process_ended(machine, loop)
                return
            self.record.starts.append((self.scheduler.now, machine.ip))
            loop.create_task(self.run_node(machine, loop, machine.node))

    @contextlib.contextmanager
    def running_loop(self, loop: ProcessLoop) -> Iterator[None]:
        from asyncio import events

        events._set_running_loop(loop)
        try:
            yield
        finally:
            events._set_running_loop(None)

    async def run_node(self, machine: Machine, loop: ProcessLoop, node: Any) -> None:
        import asyncio

        try:
            await node.start()
        except Exception as e:
            self.scheduler.uncaught_errors.append(
                (self.scheduler.now, machine.name, f"process failed to start: {e!r}")
            )
        else:
            await node.stopped.wait()
            await asyncio.sleep(0.02)
        self.process_ended(machine, loop)

    def process_ended(self, machine: Machine, loop: ProcessLoop) -> None:
        """The process has exited, on SIGTERM or without one."""
        if machine.loop is loop:
            loop.kill(False)
            machine.node = None
            if not any(
                ip == machine.ip and at <= self.scheduler.now <= end + 1
                for at, ip, end in self.record.terminations
            ):
                machine.exits += 1
                self.record.process_exits.append((self.scheduler.now, machine.name, "exited unexpectedly"))
            self.scheduler.after(RESTART_DELAY_S, self.start, machine)

    def kill(self, machine: Machine, down: float) -> None:
        self.record_disruption(machine, down)
        if machine.loop is not None:
            machine.loop.kill(False, self.rng)
        machine.node = None
        self.keep_down(machine, down)

    def keep_down(self, machine: Machine, down: float) -> None:
        machine.kept_down += 1
        self.scheduler.after(down, self.release, machine)

    def release(self, machine: Machine) -> None:
        machine.kept_down -= 1
        self.start(machine)

    def power_off(self, machine: Machine) -> None:
        self.record_disruption(machine, 0.0)
        machine.host.powered = False
        if machine.loop is not None:
            machine.loop.kill(True)
        machine.node = None

    def power_on(self, machine: Machine) -> None:
        if not machine.host.powered:
            machine.host.powered = True
            self.record_disruption(machine, 0.0)
            self.start(machine)

    def wipe(self, machine: Machine) -> None:
        machine.disk = Disk()

    def terminate(self, machine: Machine) -> None:
        """SIGTERM, then SIGKILL after the grace period."""
        if not machine.running:
            return
        grace = self.deployment.bound("graceS")
        now = self.scheduler.now
        self.record.terminations.append((now, machine.ip, now + grace))
        self.reachability.planned_downtime.setdefault(machine.ip, []).append([now, now + grace + 1.0])
        if machine.kind == "core":
            self.reachability.core_disruptions += [now, now + 1.0, now + grace]
        loop = machine.loop
        assert loop is not None
        with self.running_loop(loop):
            machine.node.stop()
        self.scheduler.after(grace, self.grace_over, machine, loop)

    def grace_over(self, machine: Machine, loop: ProcessLoop) -> None:
        if machine.loop is loop and not loop.dead:
            self.record.log_events.append((self.scheduler.now, machine.name, "killed-after-grace", {}))
            loop.kill(False, self.rng)
            machine.node = None
            self.start(machine)

    def reload(self, machine: Machine) -> None:
        """Rewrite the settings file and send SIGHUP."""
        self.write_settings(machine)
        if machine.running and machine.loop is not None:
            self.record.reloads.append((self.scheduler.now, machine.ip))
            with self.running_loop(machine.loop):
                machine.node.reload()

    def record_disruption(self, machine: Machine, lasts: float) -> None:
        """Record a fault on a machine, with an allowance for its restart."""
        now = self.scheduler.now
        self.reachability.add_disruption(machine.ip, now, now + lasts + 1.0)
        if machine.kind == "core":
            self.reachability.core_disruptions += [now, now + lasts, now + lasts + 1.0]

    def watch_reachability(self) -> None:
        """Sample whether a connected majority of the control plane runs, and which machines reach it."""
        cores, now = self.cores, self.scheduler.now
        running = [m for m in cores if m.running]
        step = 0.1

        def linked(first: Machine, second: Machine) -> bool:
            net = self.network
            return not (net.blocked(first.host, second.host) or net.blocked(second.host, first.host))

        majority = [m for m in running if 2 * sum(linked(m, o) for o in running) > len(cores)]
        if 2 * len(majority) <= len(cores):
            extend_spans(self.reachability.without_majority, now, step)
        if self.network.cuts:
            running_machines = [m for m in self.machines if m.running]

            def connected(first: Machine, second: Machine) -> bool:
                """Directly, or through one other machine."""
                return linked(first, second) or any(
                    linked(first, m) and linked(m, second) for m in running_machines
                )

            for machine in self.machines:
                if not all(connected(machine, core) for core in majority):
                    extend_spans(self.reachability.disruptions.setdefault(machine.ip, []), now, step)
        for machine in self.machines:
            # A congested link counts as a disruption.
            if (
                max(machine.host.egress.backlog_s(now), machine.host.ingress.backlog_s(now))
                > MAX_LINK_BACKLOG_S
            ):
                extend_spans(self.reachability.disruptions.setdefault(machine.ip, []), now, step)
            if not machine.running:
                extend_spans(self.reachability.planned_downtime.setdefault(machine.ip, []), now, step)
        self.scheduler.after(step, self.watch_reachability)


def extend_spans(spans: list[list[float]], now: float, step: float) -> None:
    if spans and spans[-1][0] <= now and abs(spans[-1][1] - now) < 0.01:
        spans[-1][1] = now + step
    else:
        spans.append([now, now + step])


class SimulatedReplicaDisk(disk.ReplicaDisk):
    """A replica's disk without a folder; its files are a ``SimulatedLedger``."""

    def create_home(self) -> None:
        pass

    def has_set_aside(self) -> bool:
        return False

    def is_gone(self) -> bool:
        return False


class ReplicaRandom:
    """Deterministic replacement for ``random`` and ``secrets`` in the configuration store's replica."""

    def __init__(self) -> None:
        self.source = random.Random(0)

    def Random(self) -> random.Random:  # noqa: N802  (the library's name)
        return random.Random(self.source.random())

    def token_hex(self, count: int) -> str:
        return f"{self.source.getrandbits(8 * count):0{2 * count}x}"


replica_random = ReplicaRandom()


@contextlib.contextmanager
def patched_programs(fleet: Fleet) -> Iterator[None]:
    """Run the programs with simulated disks, seeded randomness and logs that go into the day record."""
    seeded: Any = replica_random

    def ledger(path: Path, exclusive: bool, lock_timeout_s: float) -> SimulatedLedger:
        return SimulatedLedger(
            next(m for m in fleet.machines if fleet.home / m.name / replica.DATABASE_FILE == path)
        )

    replacements = {
        "ReplicaDisk": SimulatedReplicaDisk,
        "random": seeded,
        "secrets": seeded,
    }
    logger, transport_log.LOGGER[:] = list(transport_log.LOGGER), [LogRecorder(fleet)]
    try:
        with (
            mock.patch.multiple(replica, **replacements),
            mock.patch.object(disk, "RaftStore", ledger),
            mock.patch.object(Stats, "show", lambda self: None),
        ):
            yield
    finally:
        transport_log.LOGGER[:] = logger
