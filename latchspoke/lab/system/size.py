"""Measures internal traffic on a day without faults, by message kind and machine, beside the formulas."""

from __future__ import annotations

import re
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from latchspoke.lab.system.day import DaySimulation
from latchspoke.lab.system.machines import CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, INTERNAL_PORT
from latchspoke.lab.system.network import Host
from latchspoke.lab.system.scenario import Day, Deployment, MachineGroup
from latchspoke.lab.virtual import Address

KIND_PATTERN = re.compile(rb'"k":"(\w+)"')
KIND_NAMES = {
    "reg": "register", "beats": "who has beaten", "roster": "news of servers", "servers": "news of servers",
    "got": "news of servers", "prove": "proofs", "proven": "proofs", "c": "counts", "counts": "counts",
    "whole": "wholes", "hello": "wholes", "again": "wholes", "orders": "configurations",
    "ack": "acknowledgements", "hot": "evidence of servers", "w": "callers",
}  # fmt: skip
OWN_KINDS = ("membership", "beats", *dict.fromkeys(KIND_NAMES.values()))
SETTLE_S = 4.0  # of traffic before the measurement


@dataclass
class Sums:
    """Messages and bytes by kind, bytes between regions, and bytes by machine and direction."""

    hosts: dict[str, Host] = field(default_factory=dict)
    messages: Counter[str] = field(default_factory=Counter)
    octets: Counter[str] = field(default_factory=Counter)
    between: Counter[str] = field(default_factory=Counter)
    out: Counter[str] = field(default_factory=Counter)
    into: Counter[str] = field(default_factory=Counter)
    on: bool = False

    def meter(self, what: str, here: Address, there: Address, data: bytes) -> None:
        """Count one message; ``what`` is stream or datagram."""
        if not self.on:
            return
        kind = kind_of(what, here, there, data)
        self.messages[kind] += 1
        self.octets[kind] += len(data)
        if self.hosts[here[0]].region != self.hosts[there[0]].region:
            self.between[kind] += len(data)
        if kind in OWN_KINDS:
            self.out[here[0]] += len(data)
            self.into[there[0]] += len(data)


def kind_of(what: str, here: Address, there: Address, data: bytes) -> str:
    """Classifies a message by its ports, and internal ones by their content."""
    if what == "datagram":
        return "membership"
    ports = {here[1], there[1]}
    for port, kind in ((FRONT_PORT, "clients"), (DIRECTORY_PORT, "look-ups"), (8080, "servers")):
        if port in ports:
            return kind
    if CONTROL_PORT in ports:
        return "beats"
    match = KIND_PATTERN.search(data)
    if not ports & {INTERNAL_PORT, INTERNAL_PORT + 1}:
        return "other"
    return KIND_NAMES.get(match[1].decode(), "other") if match else "counts"  # answers to counts have no kind


def with_gateways(deployment: Deployment, gateways: int) -> Deployment:
    """The deployment scaled to this number of gateways, with the same control-plane nodes."""
    now = sum(m.count for m in deployment.machines if m.kind == "edge")
    scale = gateways / now
    zones = [m.zone for m in deployment.machines if m.kind == "edge"]
    link = next(m.link_mbps for m in deployment.machines if m.kind == "edge")
    shares = Counter(zones[n % len(zones)] for n in range(gateways))
    machines = [m for m in deployment.machines if m.kind != "edge"]
    machines += [MachineGroup("edge", zone, count, link) for zone, count in shares.items()]
    replace = msgspec.structs.replace
    services = [
        replace(s, servers={zone: max(round(count * scale), 1) for zone, count in s.servers.items()})
        for s in deployment.services
    ]
    kinds = [replace(kind, per_s=kind.per_s * scale) for kind in deployment.kinds]
    return replace(
        deployment, name=f"{deployment.name}-{gateways}", machines=machines, services=services, kinds=kinds
    )


def expected(deployment: Deployment) -> dict[str, float]:
    """Bytes/s by the formulas of docs/system-size.md."""
    gateways = sum(m.count for m in deployment.machines if m.kind == "edge")
    cores = sum(m.count for m in deployment.machines if m.kind == "core")
    servers = sum(sum(s.servers.values()) for s in deployment.services)
    return {
        "membership": 4 * (gateways + cores) * 65,
        "beats": servers / deployment.beat * 270,
        "who has beaten": (cores - 1) * servers / deployment.beat * 30,
        "register": 2 * (cores - 1) / 0.15 * 270,
        "proofs": 2 * gateways / 0.8 * 40,
    }


@dataclass
class Size:
    """Measured traffic of one deployment."""

    gateways: int
    cores: int
    servers: int
    per_s: float
    seconds: float
    sums: Sums
    worst: dict[str, float]  # kind of machine -> most bytes/s in both directions
    mean: dict[str, float]
    served: float
    formulas: dict[str, float]


def measure(deployment: Deployment, seed: int, seconds: float) -> Size:
    """Measures ``seconds`` of a day without faults, after SETTLE_S."""
    deployment = msgspec.structs.replace(deployment, length=SETTLE_S + seconds)
    sums = Sums()
    with tempfile.TemporaryDirectory(prefix="latchspoke-size-") as home:
        simulation = DaySimulation(deployment, Day(seed), Path(home))
        simulation.network.traffic_meter = sums.meter
        sums.hosts = simulation.network.hosts
        start = deployment.lead + SETTLE_S
        simulation.scheduler.at(start, setattr, sums, "on", True)
        simulation.scheduler.at(start + seconds, setattr, sums, "on", False)
        result = simulation.run(None)
    worst, mean = {}, {}
    for kind, machines in (("edge", simulation.fleet.edges), ("core", simulation.fleet.cores)):
        totals = [(sums.out[m.ip] + sums.into[m.ip]) / seconds for m in machines]
        worst[kind], mean[kind] = max(totals), sum(totals) / len(totals)
    requests = [r for r in result.record.requests if r.status not in (401, 404)]
    return Size(
        len(simulation.fleet.edges),
        len(simulation.fleet.cores),
        sum(sum(s.servers.values()) for s in deployment.services),
        deployment.per_s,
        seconds,
        sums,
        worst,
        mean,
        sum(r.served >= 0 for r in requests) / max(len(requests), 1),
        expected(deployment),
    )


def rows(size: Size) -> list[tuple[str, float, float, float, float | None]]:
    """Kind, messages/s, bytes/s, bytes/s between regions, and bytes/s by the formula if there is one."""
    sums, seconds = size.sums, size.seconds
    return [
        (
            kind, sums.messages[kind] / seconds, sums.octets[kind] / seconds, sums.between[kind] / seconds,
            size.formulas.get(kind),
        )
        for kind in (*OWN_KINDS, "other", "look-ups", "clients", "servers")
        if sums.messages[kind]
    ]  # fmt: skip
