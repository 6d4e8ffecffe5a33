"""What the cases on evacuations share: the configuration, and operators who begin and finish evacuations."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from parties import Arrival, Client, Server, locators
from system import SERVER, Address, BrokenError, Record, System, call

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
ZONE = "east-a"  # the one that is emptied
HOST, PATH, KEY = "pages.example", "/pages/one", "key-of-the-only-tenant"


def configuration() -> bytes:
    """The only configuration."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3, "idleTimeoutS": 15}
    tenant = {"name": "only", "apiKeys": [KEY], "priority": 1, "ratePerS": 500, "burstSize": 500}
    rule = {
        "name": "r-pages", "routeKind": "idempotent", "targetLatencyS": 0.8, "priority": 2, "keyless": False,
        "matchCriteria": {"pathPrefix": "/pages/"},
        "actionSpec": {"service": "pages", "timeoutS": 3, "maxAttempts": 2, "homeRegions": []},
    }  # fmt: skip
    service = {
        "name": "pages", "healthPath": "/health", "connectionLimit": 130, "protocol": "h1", "tls": False,
        "coldStartS": 0, "coldPerS": 0,
    }  # fmt: skip
    document = {
        "version": "00000001", "baseVersion": "00000000", "limits": limits, "tenants": [tenant],
        "listenerList": [{"host": HOST, "ruleSet": [rule]}], "clusterList": [service],
    }  # fmt: skip
    return json.dumps(document).encode()


class Operator:
    """One operator, with one order at a time: sent as PROTOCOL.md says, for at most ``ackS``."""

    def __init__(self, name: str, record: Record, control: list[Address]) -> None:
        self.name, self.record, self.control, self.at = name, record, control, 0

    async def order(self, what: str, limit: float) -> tuple[float, int]:
        """When it was acknowledged, or given up, and the last status; 0 is none."""
        begun, pause, status = self.record.now(), 0.2, 0
        while True:
            address = self.control[self.at % len(self.control)]
            self.at += 1
            try:
                status, _, answer = await call(address, "POST", f"/rpc?call=evacuation.{what}&of={ZONE}")
            except BrokenError:
                status, answer = 0, b"(no answer)"
            self.record.say(f"{self.name}: {what} {ZONE} to {address[0]}: {status} {answer.decode()}")
            if 200 <= status < 300 or (400 <= status < 500 and status not in (408, 429)):
                return self.record.now(), status
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 0.8)
            if self.record.now() - begun > limit - 0.05:
                return self.record.now(), status


class CannotRunError(Exception):
    """The case could not run."""


def require(holds: bool, why: str) -> None:
    """Raise CannotRunError unless it holds."""
    if not holds:
        raise CannotRunError(why)


class Scene:
    """A running deployment with servers in each zone, and a client in the zone that is emptied."""

    def __init__(self, record: Record, system: System) -> None:
        self.record, self.system = record, system
        bounds = dict(bound.split("=") for bound in system.bounds)
        self.ack_s, self.evacuation_s = float(bounds["ackS"]), float(bounds["evacuationS"])
        self.arrivals: list[Arrival] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def begin(self) -> None:
        """Start everything, until requests reach the zone's servers. Raises CannotRunError."""
        system = self.system
        system.start()
        status, _ = await system.order("configuration.replace", configuration())
        require(status == 200, "the configuration was not taken")
        servers = [
            Server(self.record, "pages", zone, address, system.control, self.arrivals)
            for n, zone in enumerate(ZONES, 1)
            for address in [(system.address(3, 10 * n + copy), SERVER) for copy in (1, 2)]
        ]
        self.tasks += [asyncio.create_task(server.serve()) for server in servers]
        require(await system.until_ready(20), "the edge machines did not get ready")
        client = Client(self.record, ZONE, ZONES[ZONE], locators(system.control), HOST, PATH, KEY, 20.0)
        self.tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(3)
        require(
            any(a.zone == ZONE for a in self.arrivals), "no request reached the zone before it was emptied"
        )

    def judge(self, acknowledged_at: float, taken_back_at: float) -> int:
        """The exit code by the rule, for an evacuation that stood between these times."""
        late = [a for a in self.arrivals if a.zone == ZONE and a.status != 421]
        late = [a for a in late if acknowledged_at + self.evacuation_s < a.at < taken_back_at]
        say = self.record.say
        say(f"operator 2's evacuation stood from {acknowledged_at:.3f} to {taken_back_at:.3f}")
        say(f"requests that reached servers of {ZONE} later than {self.evacuation_s:g} s after: {len(late)}")
        say(f"the first at {late[0].at:.3f}: EVAC is broken" if late else "EVAC held")
        return 1 if late else 0

    async def until(self, at: float) -> None:
        """Wait until this time of the record."""
        await asyncio.sleep(max(at - self.record.now(), 0))


async def run_scene(folder: Path, play: Callable[[Scene], Awaitable[int]]) -> int:
    """Play a case with a deployment of three control machines and three gateways; the exit code."""
    record = Record(folder / "record.txt")
    system = System(record, 3, 3, ZONES)
    scene = Scene(record, system)
    try:
        return await asyncio.wait_for(play(scene), 110)
    except (TimeoutError, CannotRunError, OSError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        for task in scene.tasks:
            task.cancel()
        await system.stop()
