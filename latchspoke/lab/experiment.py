"""Experiment records, their variants, and the settings document of each gateway."""

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
NS_PER_S = 1_000_000_000


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
    """An experiment record (schema ``lab``). Times in seconds."""

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

    def plan_loads(self) -> list[PlanLoad]:
        return [PlanLoad(name, plan.customers, plan.use * plan.rate) for name, plan in self.plans.items()]

    def settings(self, index: int) -> dict[str, Any]:
        """Settings document of gateway ``index``, in the platform's format."""
        clients, nodes, counter = self.clients, self.nodes, self.counter
        return {
            "Index": index, "NInstances": self.gateways.count, "Zone": f"b{index % self.gateways.zones + 1}",
            "Allowed": {
                "TryLimit": 4, "Cancelling": True, "RetryAfter": True, "MaxRetryAfterNs": 2 * NS_PER_S,
                "ConnectTimeoutNs": NS_PER_S // 4, "ConnIdleNs": 15 * NS_PER_S, "SecondCopies": True,
            },
            "Categories": [{
                "Name": KIND, "AimNs": round(clients.aim * NS_PER_S),
                "GiveUpNs": round(clients.give_up * NS_PER_S),
                "Repeat": "safe", "Worth": 1.0, "LateWorth": 0.2,
            }],
            "Tariffs": [self.tariff(name, plan) for name, plan in self.plans.items()],
            "Domain": {
                "SharedCounter": True, "CountLimitNs": round(counter.limit * NS_PER_S), "CallPrice": 0.02,
                "Largest": 1,
            },
            "Invariants": {
                "DrainGraceNs": NS_PER_S // 4, "StartCapacity": nodes.cold,
                "ColdNs": round(nodes.warm * NS_PER_S),
                "FallMultiple": 2.5, "FallNs": 3 * NS_PER_S,
            },
            "LoadInfo": {"Via": "answers", "Fields": ["queue", "util"]},
        }  # fmt: skip

    def tariff(self, name: str, plan: Plan) -> dict[str, Any]:
        tariff: dict[str, Any] = {
            "Name": name, "Refill": plan.rate, "MostAtOnce": plan.burst, "Pays": plan.pays,
            "OverCost": plan.over_cost,
        }  # fmt: skip
        if plan.ceiling_rate:
            slack = max(0.1 * plan.ceiling_burst, 1.0)
            tariff |= {"CapRate": plan.ceiling_rate, "CapDepth": plan.ceiling_burst, "CapSlack": slack}
        return tariff


def read_experiment(path: str | Path) -> Experiment:
    """Read and validate an experiment; a trace path is relative to the folder of the file.

    Raises RecordError if the record is invalid.
    """
    experiment = load(path, schema=schema_path("lab"), definition=DEFINITIONS["lab"]).convert(Experiment)
    return validate(experiment, str(path))


def validate(experiment: Experiment, path: str) -> Experiment:
    at = Position(path, 1, 1)
    if not experiment.plans:
        raise RecordError(at, "plans", "no plan", "at least one")
    for index, fault in enumerate(experiment.faults):
        if fault.nodes > experiment.nodes.count:
            raise RecordError(
                at, f"faults[{index}].nodes", str(fault.nodes), f"at most {experiment.nodes.count}"
            )
        if fault.kind in NODE_FAULTS and not fault.nodes:
            raise RecordError(at, f"faults[{index}].nodes", "0", f"how many nodes have {fault.kind.value}")
    if experiment.trace is not None:
        file = str(Path(path).resolve().parent / experiment.trace.file)
        experiment = msgspec.structs.replace(
            experiment, trace=msgspec.structs.replace(experiment.trace, file=file)
        )
    return experiment


def variants(experiment: Experiment, path: str | Path) -> Iterator[tuple[str, Experiment, str]]:
    """Yield each variant's name, its experiment, and the source tree of its gateways ('' for this one)."""
    if not experiment.variants:
        yield experiment.name, experiment, ""
        return
    base = load(path, schema=schema_path("lab"), definition=DEFINITIONS["lab"]).value()
    schema = schema_path("lab").read_text()
    for name, variant in experiment.variants.items():
        value = merge_values(base, variant.set) | {"variants": {}}
        # Fields in JSON form are a valid record, so variants go through the same schema.
        text = json.dumps(value)[1:-1]
        record = load_text(text, f"{path}, variant {name}", schema, DEFINITIONS["lab"])
        tree = str(Path(path).resolve().parent / variant.tree) if variant.tree else ""
        yield name, validate(record.convert(Experiment), str(path)), tree


def merge_values(base: Any, overrides: Any) -> Any:
    """Merge dictionaries recursively; any other value is replaced by its override."""
    if isinstance(base, dict) and isinstance(overrides, dict):
        return base | {key: merge_values(base.get(key), value) for key, value in overrides.items()}
    return overrides
