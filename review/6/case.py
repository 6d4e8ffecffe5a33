"""Case: configurations of the planned size, one after the other, take control machines over their memory."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig_4"))

from system import Machine, Record, System  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
ROUTES, TENANTS = (
    3_800,
    57_000,
)  # docs/CAPACITY.md: "the size to design for, the operators' plan for two years"
LENGTH_S = 110.0
ENDS_IN_A_DAY = 3  # of a machine's process, by the rule
ORDER_LIMIT_S = 20.0  # for one try: "longer for large bodies"
LOOK_S = 0.05  # between two looks at the memory


def configuration(version: int, rate: int) -> bytes:
    """A whole configuration on top of the version before; ``rate`` is every tenant's."""
    rules: list[dict[str, Any]] = [
        {
            "name": f"r-{n:05d}", "routeKind": "idempotent", "targetLatencyS": 0.4, "priority": 2,
            "keyless": False, "matchCriteria": {"pathPrefix": f"/p{n:05d}/"},
            "actionSpec": {"service": "pages", "timeoutS": 1.5, "maxAttempts": 2, "homeRegions": []},
        }
        for n in range(ROUTES)
    ]  # fmt: skip
    tenants = [
        {
            "name": f"tenant{n}",
            "apiKeys": [f"key-of-tenant-{n:06d}"],
            "priority": 1,
            "ratePerS": rate,
            "burstSize": 70,
        }
        for n in range(TENANTS)
    ]
    service = {
        "name": "pages",
        "healthPath": "/health",
        "connectionLimit": 130,
        "coldStartS": 3.0,
        "coldPerS": 5.3,
    }
    document = {
        "version": f"{version:08x}", "baseVersion": f"{version - 1:08x}",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "tenants": tenants, "clusterList": [service],
        "listenerList": [{"host": f"h{n}.example", "ruleSet": rules[n::4]} for n in range(4)],
    }  # fmt: skip
    return json.dumps(document, separators=(",", ":")).encode()


class Platform:
    """Ends each process that goes over its machine's ``memoryMb``; the rig starts it again."""

    def __init__(self, record: Record, system: System) -> None:
        self.record, self.system = record, system
        self.ends: dict[str, int] = {}
        self.peaks: dict[str, float] = {}
        self.ended: set[int] = set()
        self.broken = asyncio.Event()  # half of the core has ended so often that the rule is broken

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            for machine in [*self.system.core, *self.system.edge]:
                self.look(machine)
            await asyncio.sleep(LOOK_S)

    def look(self, machine: Machine) -> None:
        """End its process if that is over the limit."""
        memory, pid = machine.memory(), machine.pid
        self.peaks[machine.name] = max(self.peaks.get(machine.name, 0.0), memory)
        if memory > machine.memory_mb and pid not in self.ended:
            self.ended.add(pid)
            self.ends[machine.name] = self.ends.get(machine.name, 0) + 1
            self.record.say(
                f"{machine.name}: {memory:.0f} MB are over {machine.memory_mb}: its process is ended"
            )
            self.system.send_signal(machine, signal.SIGKILL)
            if self.often() * 2 >= len(self.system.core):
                self.broken.set()

    def often(self) -> int:
        """How many core machines have ended so often as the rule says."""
        return sum(self.ends.get(machine.name, 0) >= ENDS_IN_A_DAY for machine in self.system.core)


async def change(record: Record, system: System) -> None:
    """Replace the configuration again and again, each time after the last one was acknowledged."""
    version = 1
    while True:
        if TROUBLE:
            body = configuration(version + 1, 70 + version % 7)
            status, _ = await system.order("configuration.replace", body, ORDER_LIMIT_S, 40.0)
            record.say(f"version {version + 1}: {status}")
            version += status == 200
        else:
            await asyncio.sleep(5)
        sizes = " ".join(f"{m.name} {m.memory():.0f} MB" for m in [*system.core, *system.edge])
        record.say(f"version {version} is in force: {sizes}")


async def play(record: Record, system: System, tasks: list[asyncio.Task[None]]) -> int:
    """Play the case; the exit code."""
    platform = Platform(record, system)
    system.start()
    tasks.append(asyncio.create_task(platform.run()))
    first = configuration(1, 70)
    status, _ = await system.order("configuration.replace", first, ORDER_LIMIT_S, 60.0)
    record.say(f"version 1: {status}, {len(first)} bytes")
    if status != 200:
        return 2
    tasks.append(asyncio.create_task(change(record, system)))
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(platform.broken.wait(), LENGTH_S - record.now())
    peaks = " ".join(f"{name} {peak:.0f} MB" for name, peak in platform.peaks.items())
    record.say(f"at most: {peaks}; ends for memory: {platform.ends or 'none'}")
    if platform.broken.is_set():
        count = f"{platform.often()} of {len(system.core)}"
        record.say(f"{count} core machines ended {ENDS_IN_A_DAY} times: the rule is broken")
        return 1
    record.say("the rule held")
    return 0


async def main() -> int:
    """Play the case; the exit code."""
    record = Record(HERE / "record.txt")
    system = System(record, 3, 1, ZONES)
    tasks: list[asyncio.Task[None]] = []
    try:
        return await asyncio.wait_for(play(record, system, tasks), 116)
    except (TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
        await system.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
