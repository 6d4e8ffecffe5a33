"""The machines with the real programs on them: starts, kills, loss of power, disks, settings, signals."""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

from latchspoke.agent.ledger import LedgerError
from latchspoke.configstore import replica
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
START_DELAY_S = {"edge": 0.35, "core": 0.3}  # s that a start takes
RESTART_DELAY_S = 0.2  # s until a process that has ended is started again


class SimulatedLedger:
    """``Ledger`` on such a disk. Power may go right before a sync, or right after it."""

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
            raise LedgerError("the disk refuses")
        if machine.disk_full and (output.entries or output.snapshot is not None):
            raise LedgerError("database or disk is full")
        scheduler = machine.fleet.scheduler
        if machine.disk_hangs_until > scheduler.now and machine.loop is not None:
            machine.loop.busy_until = max(
                machine.loop.busy_until, machine.disk_hangs_until
            )  # a sync stops the whole process
        power_loss_at_save, machine.power_loss_at_save = machine.power_loss_at_save, ""
        if power_loss_at_save != "before":
            machine.disk.save(output)
        if power_loss_at_save:
            machine.fleet.power_off(machine)
            machine.fleet.scheduler.after(machine.power_off_s, machine.fleet.power_on, machine)
            raise LedgerError("the machine has lost power")

    def compact(self, snapshot: Snapshot) -> None:
        self.machine.disk.compact(snapshot)

    def close(self) -> None:
        self.open = False


@dataclass(eq=False)
class Machine:
    """One machine, and the process on it."""

    fleet: Fleet
    name: str
    kind: str
    host: Host
    path: Path
    disk: Disk = field(default_factory=Disk)
    loop: ProcessLoop | None = None
    node: Any = None
    start_count: int = 0
    clock_skew_s: float = 0.0  # of the time of day
    power_loss_at_save: str = ""
    power_off_s: float = 1.0
    disk_refuses: bool = False
    disk_full: bool = False  # its disk takes nothing that makes it larger
    disk_hangs_until: float = 0.0  # its disk answers no sync before then (s)
    slowdown: float = 1.0
    kept_down: int = 0  # how many troubles keep its process from starting
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
    """In the log's place."""

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
        self.successors = 0  # successors of machines that are gone
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
        self.control_list = [machine.ip for machine in cores]  # what callers know, with a lag

    def successor(self, old: Machine) -> Machine:
        """An empty machine of the same kind in the same zone, at an address of its own, started."""
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
        """It is gone for good, whatever still runs on it."""
        self.power_off(machine)
        machine.kept_down += 1
        self.machines.remove(machine)
        if machine.ip in self.seeds:
            # The operator's list names another one in files that are written from now on.
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
        """Those that serve control, as the lagging list says."""
        return [(ip, CONTROL_PORT) for ip in self.control_list]

    def readiness_addresses(self) -> list[Address]:
        """Where gateways tell what they know."""
        return [(machine.ip, READINESS_PORT) for machine in self.edges]

    def locators(self, zone: str, rng: random.Random) -> list[Address]:
        """Near ones first."""
        region = self.deployment.zones[zone]
        known = set(self.control_list)
        cores = [m for m in self.cores if m.ip in known]
        rng.shuffle(cores)
        cores.sort(key=lambda m: 0 if m.host.zone == zone else 1 if m.host.region == region else 2)
        return [(m.ip, DIRECTORY_PORT) for m in cores]

    def follow_control_list(self) -> None:
        """The list follows who is up, ``seedLagS`` behind."""
        running = [m.ip for m in self.cores if m.running]
        self.scheduler.after(self.deployment.bound("seedLagS"), self.set_control_list, running)
        self.scheduler.after(0.5, self.follow_control_list)

    def set_control_list(self, running: list[str]) -> None:
        self.control_list = running or self.control_list

    # Settings.

    def write_settings(self, machine: Machine) -> None:
        d = self.deployment
        edge = machine.kind == "edge"
        listen = {"frontPlain": FRONT_PORT, "readiness": READINESS_PORT} if edge else {
            "controlPlane": CONTROL_PORT, "directoryService": DIRECTORY_PORT,
        }  # fmt: skip
        bounds = {name: d.bounds.get(name, value) for name, value in BOUNDS.items()}
        settings_doc = {
            "nodeName": machine.name, "role": machine.kind, "machineClass": machine.kind,
            "servedRoles": ["edge"] if edge else ["control", "locator"], "ipAddress": machine.ip,
            "zone": machine.host.zone, "region": machine.host.region, "zones": d.zones,
            "listenAddresses": {name: f"{machine.ip}:{port}" for name, port in listen.items()},
            "internalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seedNodes": [f"{ip}:{CONTROL_PORT}" for ip in self.seeds], "initialStart": self.initial_start,
            "lossCounted": not edge,
            "limits": {"cpuFraction": 0.86, "coreCount": 1, "memoryMb": 300, "fileDescriptors": 4100,
                       "linkRateMbps": 1000.0, "diskMb": 0 if edge else 256},
            "dataDirectory": None if edge else str(self.home / machine.name), "heartbeatS": d.beat,
            "contractSet": ["base", "drain", "config", "cost", "retry", "recover", "places", "tenants",
                            "quota"],
            "faultTolerance": {"machineLosses": d.tolerate_machines, "zones": d.tolerate_zones,
                               "regionLosses": d.tolerate_regions},
            "bounds": [f"{n}={str(v).lower() if isinstance(v, bool) else v}" for n, v in bounds.items()],
        }  # fmt: skip
        machine.path.write_text(json.dumps(settings_doc))

    # Lives.

    def start_all(self) -> None:
        for machine in self.machines:
            self.start(machine)
        self.initial_start = False
        self.scheduler.after(0.5, self.follow_control_list)

    def start(self, machine: Machine) -> None:
        """A new process, unless something keeps it down."""
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
                replica_draw.source = rng
                settings = load_settings(machine.path)
                clock = VirtualClock(loop, machine.clock_skew_s)
                machine.node = program(settings, loop, str(machine.path), clock, rng)
            except Exception as e:
                self.scheduler.uncaught_errors.append(
                    (self.scheduler.now, machine.name, f"it does not start: {e!r}")
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
                (self.scheduler.now, machine.name, f"it does not start: {e!r}")
            )
        else:
            await node.stopped.wait()
            await asyncio.sleep(0.02)
        self.process_ended(machine, loop)

    def process_ended(self, machine: Machine, loop: ProcessLoop) -> None:
        """By itself, or in order."""
        if machine.loop is loop:
            loop.kill(False)
            machine.node = None
            if not any(
                ip == machine.ip and at <= self.scheduler.now <= end + 1
                for at, ip, end in self.record.terminations
            ):
                machine.exits += 1
                self.record.process_exits.append((self.scheduler.now, machine.name, "by itself"))
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
        """SIGTERM, then SIGKILL after the grace."""
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
        """SIGHUP, after the file has been written anew."""
        self.write_settings(machine)
        if machine.running and machine.loop is not None:
            self.record.reloads.append((self.scheduler.now, machine.ip))
            with self.running_loop(machine.loop):
                machine.node.reload()

    def record_disruption(self, machine: Machine, lasts: float) -> None:
        """A trouble on a machine, its restart counted in."""
        now = self.scheduler.now
        self.reachability.add_disruption(machine.ip, now, now + lasts + 1.0)
        if machine.kind == "core":
            self.reachability.core_disruptions += [now, now + lasts, now + lasts + 1.0]

    def watch_reachability(self) -> None:
        """Whether a majority of the core runs and is connected, and who reaches it."""
        cores, now = self.cores, self.scheduler.now
        running = [m for m in cores if m.running]
        step = 0.1

        def linked(one: Machine, other: Machine) -> bool:
            net = self.network
            return not (net.blocked(one.host, other.host) or net.blocked(other.host, one.host))

        majority = [m for m in running if 2 * sum(linked(m, o) for o in running) > len(cores)]
        if 2 * len(majority) <= len(cores):
            extend_spans(self.reachability.without_majority, now, step)
        if self.network.cuts:
            running_machines = [m for m in self.machines if m.running]

            def connected(one: Machine, other: Machine) -> bool:
                """Straight, or by way of one other machine."""
                return linked(one, other) or any(
                    linked(one, m) and linked(m, other) for m in running_machines
                )

            for machine in self.machines:
                if not all(connected(machine, core) for core in majority):
                    extend_spans(self.reachability.disruptions.setdefault(machine.ip, []), now, step)
        for machine in self.machines:
            if (
                max(machine.host.egress.backlog_s(now), machine.host.ingress.backlog_s(now))
                > MAX_LINK_BACKLOG_S
            ):
                extend_spans(
                    self.reachability.disruptions.setdefault(machine.ip, []), now, step
                )  # choked: as slowed
            if not machine.running:
                extend_spans(self.reachability.planned_downtime.setdefault(machine.ip, []), now, step)
        self.scheduler.after(step, self.watch_reachability)


def extend_spans(spans: list[list[float]], now: float, step: float) -> None:
    if spans and spans[-1][0] <= now and abs(spans[-1][1] - now) < 0.01:
        spans[-1][1] = now + step
    else:
        spans.append([now, now + step])


class ReplicaRandom:
    """For ``random`` and ``secrets`` in the register's driver, so that one seed has one result."""

    def __init__(self) -> None:
        self.source = random.Random(0)

    def Random(self) -> random.Random:  # noqa: N802  (the library's name)
        return random.Random(self.source.random())

    def token_hex(self, count: int) -> str:
        return f"{self.source.getrandbits(8 * count):0{2 * count}x}"


replica_draw = ReplicaRandom()


@contextlib.contextmanager
def patched_programs(fleet: Fleet) -> Iterator[None]:
    """Meanwhile registers keep their word on the emulated disks, and logs go into the record."""
    shim: Any = replica_draw

    def ledger(path: Path, alone: bool = False) -> SimulatedLedger:
        return SimulatedLedger(
            next(m for m in fleet.machines if fleet.home / m.name / replica.DATABASE_FILE == path)
        )

    replacements = {
        "Ledger": ledger,
        "random": shim,
        "secrets": shim,
    }
    logger, transport_log.LOGGER[:] = list(transport_log.LOGGER), [LogRecorder(fleet)]
    try:
        with (
            mock.patch.multiple(replica, **replacements),
            mock.patch.object(Stats, "show", lambda self: None),
        ):
            yield
    finally:
        transport_log.LOGGER[:] = logger
