"""An experiment as a typed record, its variants, and the settings that its gateways are told. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from latchspoke.lab.clients import ClientSettings
from latchspoke.lab.counter import CounterSettings
from latchspoke.lab.faults import NODE_FAULTS, Fault, FaultEvent, FaultSchedule
from latchspoke.lab.load import PlanLoad
from latchspoke.lab.node import NodeSettings
from latchspoke.lab.quota import PlanQuota
from latchspoke.records import Position, RecordError, load, load_text
from latchspoke.records.load import Seconds
from latchspoke.records.schemas import DEFINITIONS, schema_path

KIND = "balance-read"
NS = 1_000_000_000


class Gateways(msgspec.Struct, frozen=True):
    count: int
    spread: int
    sockets: int
    zones: int


class Nodes(msgspec.Struct, frozen=True):
    count: int
    cores: float
    slots: int
    room: int
    cold: float
    warm: Seconds
    work: Seconds
    sigma: float
    report: Seconds
    late: Seconds
    handshake: Seconds
    connections: int

    def settings(self) -> NodeSettings:
        return NodeSettings(
            self.cores,
            self.slots,
            self.room,
            self.cold,
            self.warm,
            self.report,
            self.handshake,
            self.connections,
        )


class CounterRecord(msgspec.Struct, frozen=True):
    parts: int
    capacity: float
    call: Seconds
    limit: Seconds

    def settings(self) -> CounterSettings:
        return CounterSettings(self.parts, self.capacity, self.call)


class ClientsRecord(msgspec.Struct, frozen=True, rename="camel"):
    aim: Seconds
    give_up: Seconds
    least: float
    retries: int
    wait: Seconds
    heed_advice: bool

    def settings(self) -> ClientSettings:
        return ClientSettings(self.give_up, self.least, self.retries, self.wait, self.heed_advice, self.aim)


class Plan(msgspec.Struct, frozen=True, rename="camel"):
    customers: int
    use: float
    rate: float
    burst: float
    ceiling_rate: float
    ceiling_burst: float
    pays: float
    over_cost: float

    def quota(self, name: str) -> PlanQuota:
        return PlanQuota(name, self.rate, self.burst, self.ceiling_rate, self.ceiling_burst, pays=self.pays)


class TraceRecord(msgspec.Struct, frozen=True):
    file: str
    speed: float
    scale: float
    louder: bool
    verbatim: bool


class FaultRecord(msgspec.Struct, frozen=True, rename={"lasts": "for"}):
    kind: Fault
    at: Seconds
    lasts: Seconds
    nodes: int
    amount: float

    def event(self) -> FaultEvent:
        nodes = frozenset(f"s-{n}" for n in range(self.nodes)) if self.kind in NODE_FAULTS else frozenset()
        return FaultEvent(self.kind, self.at, self.lasts, nodes, self.amount)


class Variant(msgspec.Struct, frozen=True):
    tree: str = ""
    set: dict[str, Any] = {}


class Experiment(msgspec.Struct, frozen=True):
    """The whole record. Times in seconds."""

    name: str
    seed: int
    duration: Seconds
    repeats: int
    gateways: Gateways
    nodes: Nodes
    counter: CounterRecord
    clients: ClientsRecord
    plans: dict[str, Plan] = {}
    trace: TraceRecord | None = None
    faults: list[FaultRecord] = []
    variants: dict[str, Variant] = {}

    def schedule(self) -> FaultSchedule:
        return FaultSchedule(fault.event() for fault in self.faults)

    def plan_quotas(self) -> dict[str, PlanQuota]:
        return {name: plan.quota(name) for name, plan in self.plans.items()}

    def loads(self) -> list[PlanLoad]:
        return [PlanLoad(name, p.customers, p.use * p.rate) for name, p in self.plans.items()]

    def settings(self, index: int) -> dict[str, Any]:
        """What gateway ``index`` is told as its settings, in the platform's own form."""
        clients, nodes, counter = self.clients, self.nodes, self.counter
        return {
            "Index": index, "NInstances": self.gateways.count, "Zone": f"b{index % self.gateways.zones + 1}",
            "Allowed": {
                "TryLimit": 4, "Cancelling": True, "RetryAfter": True, "MaxRetryAfterNs": 2 * NS,
                "ConnectTimeoutNs": NS // 4, "ConnIdleNs": 15 * NS, "SecondCopies": True,
            },
            "Categories": [{
                "Name": KIND, "AimNs": round(clients.aim * NS), "GiveUpNs": round(clients.give_up * NS),
                "Repeat": "safe", "Worth": 1.0, "LateWorth": 0.2,
            }],
            "Tariffs": [self.tariff(name, plan) for name, plan in self.plans.items()],
            "Domain": {
                "SharedCounter": True, "CountLimitNs": round(counter.limit * NS), "CallPrice": 0.02,
                "Largest": 1,
            },
            "Invariants": {
                "DrainGraceNs": NS // 4, "StartCapacity": nodes.cold, "ColdNs": round(nodes.warm * NS),
                "FallMultiple": 2.5, "FallNs": 3 * NS,
            },
            "LoadInfo": {"Via": "answers", "Fields": ["queue", "util"]},
        }  # fmt: skip

    def tariff(self, name: str, plan: Plan) -> dict[str, Any]:
        told: dict[str, Any] = {
            "Name": name, "Refill": plan.rate, "MostAtOnce": plan.burst, "Pays": plan.pays,
            "OverCost": plan.over_cost,
        }  # fmt: skip
        if plan.ceiling_rate:
            slack = max(0.1 * plan.ceiling_burst, 1.0)
            told |= {"CapRate": plan.ceiling_rate, "CapDepth": plan.ceiling_burst, "CapSlack": slack}
        return told


def read_experiment(path: str | Path) -> Experiment:
    """Raises RecordError; a trace's path is meant from the file's folder."""
    told = load(path, schema=schema_path("lab"), definition=DEFINITIONS["lab"]).convert(Experiment)
    return check(told, str(path))


def check(told: Experiment, path: str) -> Experiment:
    at = Position(path, 1, 1)
    if not told.plans:
        raise RecordError(at, "plans", "no plan", "at least one")
    for place, fault in enumerate(told.faults):
        if fault.nodes > told.nodes.count:
            raise RecordError(at, f"faults[{place}].nodes", str(fault.nodes), f"at most {told.nodes.count}")
        if fault.kind in NODE_FAULTS and not fault.nodes:
            raise RecordError(at, f"faults[{place}].nodes", "0", f"how many nodes have {fault.kind.value}")
    if told.trace is not None:
        file = str(Path(path).resolve().parent / told.trace.file)
        told = msgspec.structs.replace(told, trace=msgspec.structs.replace(told.trace, file=file))
    return told


def variants(told: Experiment, path: str | Path) -> Iterator[tuple[str, Experiment, str]]:
    """Name, the experiment with the variant's values, and the tree of its gateways ('' for this one)."""
    if not told.variants:
        yield told.name, told, ""
        return
    base = load(path, schema=schema_path("lab"), definition=DEFINITIONS["lab"]).value()
    schema = schema_path("lab").read_text()
    for name, variant in told.variants.items():
        value = merged(base, variant.set) | {"variants": {}}
        # JSON's fields are records too: the changed whole is checked like the first.
        text = json.dumps(value)[1:-1]
        record = load_text(text, f"{path}, variant {name}", schema, DEFINITIONS["lab"])
        tree = str(Path(path).resolve().parent / variant.tree) if variant.tree else ""
        yield name, check(record.convert(Experiment), str(path)), tree


def merged(base: Any, over: Any) -> Any:
    """Structs part by part; anything else is put in the other's place."""
    if isinstance(base, dict) and isinstance(over, dict):
        return base | {key: merged(base.get(key), value) for key, value in over.items()}
    return over
