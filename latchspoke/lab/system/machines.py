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

from latchspoke.agent.raft_store import RaftStoreError
from latchspoke.configstore import replica
from latchspoke.configstore.simulation import Disk
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Snapshot, Stored
from latchspoke.controlplane.node import Node as ControlPlane
from latchspoke.dataplane.node import Node as DataPlane
from latchspoke.lab.system.network import FULL, Host, Network, ProcessLoop, loop_of
from latchspoke.lab.system.record import Record, Touch
from latchspoke.lab.system.records import BOUNDS, Deployment
from latchspoke.lab.virtual import Address
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.net.stats import Stats
from latchspoke.settings import load
from latchspoke.transport import log as transport_log

INNER = 7600
FRONT, READY, CONTROL, DIRECTORY = 8206, 8201, 8200, 8207
START = {"edge": 0.35, "core": 0.3}  # s that a start takes
AGAIN = 0.2  # s until a process that has ended is started again


class SimLedger:
    """``RaftStore`` on such a disk. Power may go right before a sync, or right after it."""

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
        if machine.refuses:
            raise RaftStoreError("the disk refuses")
        if machine.full and (output.entries or output.snapshot is not None):
            raise RaftStoreError("database or disk is full")
        world = machine.fleet.world
        if machine.hangs_until > world.now and machine.loop is not None:
            machine.loop.busy = max(machine.loop.busy, machine.hangs_until)  # a sync stops the whole process
        armed, machine.armed = machine.armed, ""
        if armed != "before":
            machine.disk.save(output)
        if armed:
            machine.fleet.power_off(machine)
            machine.fleet.world.after(machine.down, machine.fleet.power_on, machine)
            raise RaftStoreError("the machine has lost power")

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
    lives: int = 0
    skew: float = 0.0  # of the time of day
    armed: str = ""
    down: float = 1.0
    refuses: bool = False
    full: bool = False  # its disk takes nothing that makes it larger
    hangs_until: float = 0.0  # its disk answers no sync before then (s)
    slowed: float = 1.0
    kept_down: int = 0  # how many troubles keep its process from starting
    ends: int = 0

    @property
    def ip(self) -> str:
        return self.host.ip

    @property
    def running(self) -> bool:
        return self.node is not None and self.loop is not None and not self.loop.dead

    @property
    def leads(self) -> bool:
        return self.kind == "core" and self.running and self.node.replica.register.leads


class Recorder:
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
            self.fleet.record.told.append((self.fleet.world.now, loop.name, event, fields))


class Fleet:
    """All machines of a deployment."""

    def __init__(
        self, deployment: Deployment, network: Network, record: Record, touch: Touch, seed: int, home: Path
    ) -> None:
        self.deployment, self.network, self.record, self.touch = deployment, network, record, touch
        self.world, self.seed, self.home = network.world, seed, home
        self.draw = random.Random(f"machines:{seed}")
        self.machines: list[Machine] = []
        self.added = 0  # successors of machines that are gone
        self.first = True
        counts: dict[str, int] = {}
        regions = deployment.zones
        for item in deployment.machines:
            for _ in range(item.count):
                number = counts[item.kind] = counts.get(item.kind, 0) + 1
                place = list(regions).index(item.zone) + 1
                part = (0 if item.kind == "edge" else 1) + 2 * (number // 250)
                ip = f"10.{place}.{part}.{number % 250}"
                host = network.host(ip, item.zone, regions[item.zone])
                host.bound(item.link_mbps)
                name = f"{item.kind}-{item.zone}-{number}"
                self.machines.append(Machine(self, name, item.kind, host, home / f"{name}.yaml"))
        cores = self.cores
        self.seeds = [machine.ip for machine in cores[:3]]
        self.control_list = [machine.ip for machine in cores]  # what callers know, with a lag

    def successor(self, old: Machine) -> Machine:
        """An empty machine of the same kind in the same zone, at an address of its own, started."""
        self.added += 1
        ip = f"10.{200 + self.added // 250}.0.{1 + self.added % 250}"
        host = self.network.host(ip, old.host.zone, old.host.region)
        host.out.rate, host.into.rate = old.host.out.rate, old.host.into.rate
        name = f"{old.kind}-{old.host.zone}-s{self.added}"
        new = Machine(self, name, old.kind, host, self.home / f"{name}.yaml")
        self.machines.append(new)
        self.note(new, 0.0)
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

    def of(self, ip: str) -> Machine | None:
        return next((m for m in self.machines if m.ip == ip), None)

    def control(self) -> list[Address]:
        """Those that serve control, as the lagging list says."""
        return [(ip, CONTROL) for ip in self.control_list]

    def doors(self) -> list[Address]:
        """Where gateways tell what they know."""
        return [(machine.ip, READY) for machine in self.edges]

    def locators(self, zone: str, draw: random.Random) -> list[Address]:
        """Near ones first."""
        region = self.deployment.zones[zone]
        known = set(self.control_list)
        cores = [m for m in self.cores if m.ip in known]
        draw.shuffle(cores)
        cores.sort(key=lambda m: 0 if m.host.zone == zone else 1 if m.host.region == region else 2)
        return [(m.ip, DIRECTORY) for m in cores]

    def lag(self) -> None:
        """The list follows who is up, ``seedLagS`` behind."""
        up = [m.ip for m in self.cores if m.running]
        self.world.after(self.deployment.bound("seedLagS"), self.listed, up)
        self.world.after(0.5, self.lag)

    def listed(self, up: list[str]) -> None:
        self.control_list = up or self.control_list

    # Settings.

    def write_settings(self, machine: Machine) -> None:
        d = self.deployment
        edge = machine.kind == "edge"
        listen = {"frontPlain": FRONT, "readiness": READY} if edge else {
            "controlPlane": CONTROL, "directoryService": DIRECTORY,
        }  # fmt: skip
        bounds = {name: d.bounds.get(name, value) for name, value in BOUNDS.items()}
        told = {
            "nodeName": machine.name, "role": machine.kind, "machineClass": machine.kind,
            "servedRoles": ["edge"] if edge else ["control", "locator"], "ipAddress": machine.ip,
            "zone": machine.host.zone, "region": machine.host.region, "zones": d.zones,
            "listenAddresses": {name: f"{machine.ip}:{port}" for name, port in listen.items()},
            "internalPortRange": [INNER, INNER + 15],
            "seedNodes": [f"{ip}:{CONTROL}" for ip in self.seeds], "initialStart": self.first,
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
        machine.path.write_text(json.dumps(told))

    # Lives.

    def start_all(self) -> None:
        for machine in self.machines:
            self.start(machine)
        self.first = False
        self.world.after(0.5, self.lag)

    def start(self, machine: Machine) -> None:
        """A new process, unless something keeps it down."""
        if machine.running or machine.kept_down or not machine.host.on:
            return
        self.write_settings(machine)
        machine.lives += 1
        loop = machine.loop = loop_of(self.network, machine.host, machine.name)
        loop.cost = self.deployment.cost_ms / 1000 * machine.slowed
        machine.node = None
        delay = START[machine.kind] * self.draw.uniform(0.8, 1.3)
        self.world.after(delay, self.up, machine, loop)

    def up(self, machine: Machine, loop: ProcessLoop) -> None:
        if loop.dead or machine.loop is not loop:
            return
        draw = random.Random(f"process:{self.seed}:{machine.name}:{machine.lives}")
        program = DataPlane if machine.kind == "edge" else ControlPlane
        with self.running(loop):
            try:
                replica_draw.source = draw
                settings = load(machine.path)
                clock = VirtualClock(loop, machine.skew)
                machine.node = program(settings, loop, str(machine.path), clock, draw)
            except Exception as e:
                self.world.faults.append((self.world.now, machine.name, f"it does not start: {e!r}"))
                self.ended(machine, loop)
                return
            self.record.starts.append((self.world.now, machine.ip))
            loop.create_task(self.life(machine, loop, machine.node))

    @contextlib.contextmanager
    def running(self, loop: ProcessLoop) -> Iterator[None]:
        from asyncio import events

        events._set_running_loop(loop)
        try:
            yield
        finally:
            events._set_running_loop(None)

    async def life(self, machine: Machine, loop: ProcessLoop, node: Any) -> None:
        import asyncio

        try:
            await node.start()
        except Exception as e:
            self.world.faults.append((self.world.now, machine.name, f"it does not start: {e!r}"))
        else:
            await node.stopped.wait()
            await asyncio.sleep(0.02)
        self.ended(machine, loop)

    def ended(self, machine: Machine, loop: ProcessLoop) -> None:
        """By itself, or in order."""
        if machine.loop is loop:
            loop.die(False)
            machine.node = None
            if not any(
                ip == machine.ip and at <= self.world.now <= end + 1 for at, ip, end in self.record.terms
            ):
                machine.ends += 1
                self.record.ended.append((self.world.now, machine.name, "by itself"))
            self.world.after(AGAIN, self.start, machine)

    def kill(self, machine: Machine, down: float) -> None:
        self.note(machine, down)
        if machine.loop is not None:
            machine.loop.die(False, self.draw)
        machine.node = None
        self.hold(machine, down)

    def hold(self, machine: Machine, down: float) -> None:
        machine.kept_down += 1
        self.world.after(down, self.release, machine)

    def release(self, machine: Machine) -> None:
        machine.kept_down -= 1
        self.start(machine)

    def power_off(self, machine: Machine) -> None:
        self.note(machine, 0.0)
        machine.host.on = False
        if machine.loop is not None:
            machine.loop.die(True)
        machine.node = None

    def power_on(self, machine: Machine) -> None:
        if not machine.host.on:
            machine.host.on = True
            self.note(machine, 0.0)
            self.start(machine)

    def wipe(self, machine: Machine) -> None:
        machine.disk = Disk()

    def terminate(self, machine: Machine) -> None:
        """SIGTERM, then SIGKILL after the grace."""
        if not machine.running:
            return
        grace = self.deployment.bound("graceS")
        now = self.world.now
        self.record.terms.append((now, machine.ip, now + grace))
        self.touch.planned.setdefault(machine.ip, []).append([now, now + grace + 1.0])
        if machine.kind == "core":
            self.touch.core += [now, now + 1.0, now + grace]
        loop = machine.loop
        assert loop is not None
        with self.running(loop):
            machine.node.stop()
        self.world.after(grace, self.grace_over, machine, loop)

    def grace_over(self, machine: Machine, loop: ProcessLoop) -> None:
        if machine.loop is loop and not loop.dead:
            self.record.told.append((self.world.now, machine.name, "killed-after-grace", {}))
            loop.die(False, self.draw)
            machine.node = None
            self.start(machine)

    def reload(self, machine: Machine) -> None:
        """SIGHUP, after the file has been written anew."""
        self.write_settings(machine)
        if machine.running and machine.loop is not None:
            self.record.hups.append((self.world.now, machine.ip))
            with self.running(machine.loop):
                machine.node.reload()

    def note(self, machine: Machine, lasts: float) -> None:
        """A trouble on a machine, its restart counted in."""
        now = self.world.now
        self.touch.trouble(machine.ip, now, now + lasts + 1.0)
        if machine.kind == "core":
            self.touch.core += [now, now + lasts, now + lasts + 1.0]

    def watch(self) -> None:
        """Whether a majority of the core runs and is connected, and who reaches it."""
        cores, now = self.cores, self.world.now
        up = [m for m in cores if m.running]
        step = 0.1

        def joined(one: Machine, other: Machine) -> bool:
            net = self.network
            return not (net.blocked(one.host, other.host) or net.blocked(other.host, one.host))

        main = [m for m in up if 2 * sum(joined(m, o) for o in up) > len(cores)]
        if 2 * len(main) <= len(cores):
            span(self.touch.unsettled, now, step)
        if self.network.cuts:
            live = [m for m in self.machines if m.running]

            def path(one: Machine, other: Machine) -> bool:
                """Straight, or by way of one other machine."""
                return joined(one, other) or any(joined(one, m) and joined(m, other) for m in live)

            for machine in self.machines:
                if not all(path(machine, core) for core in main):
                    span(self.touch.spans.setdefault(machine.ip, []), now, step)
        for machine in self.machines:
            if max(machine.host.out.waits(now), machine.host.into.waits(now)) > FULL:
                span(self.touch.spans.setdefault(machine.ip, []), now, step)  # choked: as slowed
            if not machine.running:
                span(self.touch.planned.setdefault(machine.ip, []), now, step)
        self.world.after(step, self.watch)


def span(spans: list[list[float]], now: float, step: float) -> None:
    if spans and spans[-1][0] <= now and abs(spans[-1][1] - now) < 0.01:
        spans[-1][1] = now + step
    else:
        spans.append([now, now + step])


class ReplicaDraw:
    """For ``random`` and ``secrets`` in the register's driver, so that one seed has one result."""

    def __init__(self) -> None:
        self.source = random.Random(0)

    def Random(self) -> random.Random:  # noqa: N802  (the library's name)
        return random.Random(self.source.random())

    def token_hex(self, count: int) -> str:
        return f"{self.source.getrandbits(8 * count):0{2 * count}x}"


replica_draw = ReplicaDraw()


@contextlib.contextmanager
def programs(fleet: Fleet) -> Iterator[None]:
    """Meanwhile registers keep their word on the emulated disks, and logs go into the record."""
    shim: Any = replica_draw

    def ledger(path: Path, exclusive: bool = False) -> SimLedger:
        return SimLedger(next(m for m in fleet.machines if fleet.home / m.name / replica.FILE == path))

    fakes = {
        "RaftStore": ledger,
        "random": shim,
        "secrets": shim,
    }
    logger, transport_log.LOGGER[:] = list(transport_log.LOGGER), [Recorder(fleet)]
    try:
        with mock.patch.multiple(replica, **fakes), mock.patch.object(Stats, "show", lambda self: None):
            yield
    finally:
        transport_log.LOGGER[:] = logger
