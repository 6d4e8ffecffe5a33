"""Days of a whole deployment in the laboratory, with routes that keep callers and without.

    PYTHONHASHSEED=0 .venv/bin/python -m benchmarks.affinity_system DEPLOYMENT.toml [SEEDS [DAY,...]]

A request is cold where its server's life has not run one of that caller within the last 30 s. Requests before
``SINCE`` s of traffic are not counted, as everybody is cold then. At each choice of one gateway's all other
gateways are asked where they would send that caller.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any
from unittest.mock import patch

from msgspec.structs import replace
from rich.console import Console
from rich.table import Table

from barleyhub.affinity.rendezvous import NO_ORIGIN, Caller
from barleyhub.affinity.selection import AffinitySelector
from benchmarks.system_days import HEADS, SINCE, STATE, Sums, callers_day
from latchspoke.lab.system.day import DayResult, DaySimulation
from latchspoke.lab.system.scenario import CallerSettings, Day, Deployment, Trouble, read_deployment

COUNT = 120  # callers of a route
BUSY = 1.6  # times the usual load
FIRST, EACH, DOWN, AFTER = 20.0, 5.0, 1.0, 8.0  # s: first restart, between two, without a server, rest


def days(deployment: Deployment, seed: int) -> dict[str, Day]:
    names = [service.name for service in deployment.services]
    release = tuple(Trouble(SINCE + 1, "release", count=6, x=1.5, where=name) for name in names)
    shrink = tuple(Trouble(SINCE + 1, "shrink", count=2, where=name) for name in names)
    cold = (Trouble(SINCE + 1, "cold", lasts=3.0, where=sorted(deployment.zones)[0]),)
    rolling = tuple(Trouble(FIRST, "rolling", DOWN, x=EACH, where=name) for name in names)
    return {
        "quiet": Day(seed), "release": Day(seed, release), "scale in": Day(seed, shrink),
        "cold return": Day(seed, cold), "rolling restart": Day(seed, rolling, BUSY),
    }  # fmt: skip


class Watched(DaySimulation):
    """Compares all gateways at each choice."""

    asked = apart = alike = 0  # choices; of them where gateways differ; of these, knowing of the same set
    now: Watched

    def __init__(self, deployment: Deployment, day: Day, home: Path) -> None:
        super().__init__(deployment, day, home)
        Watched.now = self

    def gates(self) -> list[AffinitySelector]:
        nodes = [machine.node for machine in self.fleet.edges if machine.running]
        return [n.dispatcher.affinity for n in nodes if n.ready and n.dispatcher.affinity is not None]


pick = AffinitySelector.pick


def compared(
    berths: AffinitySelector,
    caller: Caller,
    service: str,
    homes: frozenset[str] | None,
    tried: Any,
    now: float,
) -> Any:
    if not tried:
        sheds = [gate.service_state(service, now) for gate in Watched.now.gates()]
        orders = [shed.pool.view(homes, NO_ORIGIN).ranking(caller.key) for shed in sheds]
        apart = len({ranks[0][2] if ranks else "" for ranks in orders}) > 1
        Watched.asked += 1
        Watched.apart += apart
        Watched.alike += apart and len({shed.pool.version for shed in sheds}) == 1
    return pick(berths, caller, service, homes, tried, now)


def cold(played: DayResult) -> list[tuple[float, bool]]:
    """Of all that ran since ``SINCE``: when, and whether it was cold."""
    seen: dict[tuple[str, str], float] = {}
    found = []
    for arrival in sorted(played.record.arrivals, key=lambda a: a.at):
        if arrival.ran:
            known = arrival.at - seen.get((arrival.server, arrival.path), -1e9) < STATE
            seen[arrival.server, arrival.path] = arrival.at
            found.append((arrival.at - played.deployment.lead, not known))
    return [(at, new) for at, new in found if SINCE < at < played.traffic_end - played.deployment.lead]


def rates(found: list[tuple[float, bool]], seeds: int, until: float) -> str:
    """Cold ones a second before the first restart, from then on, and in the worst 5 s."""
    at = [when for when, new in found if new]
    before = sum(when < FIRST for when in at) / (FIRST - SINCE) / seeds
    during = sum(FIRST <= when < until for when in at) / (until - FIRST) / seeds
    worst = max(sum(FIRST + s <= when < FIRST + s + 5 for when in at) for s in range(int(until - FIRST - 4)))
    return f"{before:.1f}, {during:.1f}, {worst / 5 / seeds:.1f}"


def main() -> None:
    deployment, seeds = read_deployment(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 2
    names = sys.argv[3].split(",") if len(sys.argv) > 3 else list(days(deployment, 0))
    table = Table("day", "routes", "cold", "cold a s", *HEADS, "other at another gateway", box=None)
    for name in names:
        most = max(sum(service.servers.values()) for service in deployment.services)
        length = FIRST + EACH * most + AFTER
        busy = replace(deployment, length=length) if name.startswith("rolling") else deployment
        for way in ("today", "kept"):
            sums, found = Sums(), list[tuple[float, bool]]()
            Watched.asked = Watched.apart = Watched.alike = 0
            with patch.object(AffinitySelector, "pick", compared):
                for played in callers_day(
                    busy, CallerSettings(COUNT, way=way), days, name, seeds, sums, Watched
                ):
                    found += cold(played)
            share = f"{sum(new for _, new in found) / len(found):.1%}"
            a_second = rates(found, seeds, busy.length) if busy is not deployment else ""
            apart = f"{Watched.apart}, {Watched.alike} of {Watched.asked}" if way == "kept" else ""
            table.add_row(name, way, share, a_second, *sums.cells(), apart)
            Console(width=180).print(name, way, share, a_second, *sums.cells(), apart)
    Console(width=180).print(table)


if __name__ == "__main__":
    main()
