"""Case: an operator's one finish of an evacuation, sent again after its answer was lost, is applied twice."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig_4"))

from parties import AnswerLoser, Arrival, Client, Server, locators  # noqa: E402
from system import SERVER, Address, BrokenError, Record, System, call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
ZONE = "east-a"  # the one that is emptied
HOST, PATH, KEY = "pages.example", "/pages/one", "key-of-the-only-tenant"
SECOND_BEGIN_AT, FIRST_FINISH_AT, SECOND_FINISH_AT = 6.0, 12.0, 28.0  # s after the first begin


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


async def play(
    record: Record, system: System, arrivals: list[Arrival], tasks: list[asyncio.Task[None]]
) -> int:
    """Play the case; the exit code."""
    bounds = dict(bound.split("=") for bound in system.bounds)
    ack_s, evacuation_s = float(bounds["ackS"]), float(bounds["evacuationS"])
    losing = {"left": 1 if TROUBLE else 0}

    def loses(first: bytes) -> bool:
        if b"evacuation.finish" not in first or not losing["left"]:
            return False
        losing["left"] -= 1
        return True

    proxy = AnswerLoser(record, system.address(5, 1), system.control, loses)
    system.start()
    await proxy.start()
    status, _ = await system.order("configuration.replace", configuration())
    require(status == 200, "the configuration was not taken")
    servers = [
        Server(record, "pages", zone, (system.address(3, 10 * n + copy), SERVER), system.control, arrivals)
        for n, zone in enumerate(ZONES, 1)
        for copy in (1, 2)
    ]
    tasks += [asyncio.create_task(server.serve()) for server in servers]
    require(await system.until_ready(20), "the edge machines did not get ready")
    client = Client(record, ZONE, ZONES[ZONE], locators(system.control), HOST, PATH, KEY, 20.0)
    tasks.append(asyncio.create_task(client.run()))
    await asyncio.sleep(3)
    require(any(a.zone == ZONE for a in arrivals), "no request reached the zone before it was emptied")

    one = Operator("operator 1", record, proxy.addresses)
    two = Operator("operator 2", record, system.control)
    began = record.now()

    async def until(at: float) -> None:
        await asyncio.sleep(max(began + at - record.now(), 0))

    _, status = await one.order("begin", ack_s)
    require(status == 200, "operator 1's begin was not acknowledged")
    await until(SECOND_BEGIN_AT)
    acknowledged_at, status = await two.order("begin", ack_s)
    require(status == 200, "operator 2's begin was not acknowledged")
    await until(FIRST_FINISH_AT)
    _, finish_status = await one.order("finish", ack_s)
    await until(SECOND_FINISH_AT)
    taken_back_at = record.now()
    await two.order("finish", ack_s)

    late = [a for a in arrivals if a.zone == ZONE and a.status != 421]
    late = [a for a in late if acknowledged_at + evacuation_s < a.at < taken_back_at]
    record.say(f"operator 1's finish ended with {finish_status}")
    record.say(f"operator 2's evacuation stood from {acknowledged_at:.3f} to {taken_back_at:.3f}")
    record.say(f"requests that reached servers of {ZONE} later than {evacuation_s:g} s after: {len(late)}")
    if late:
        record.say(f"the first at {late[0].at:.3f}: EVAC is broken")
        return 1
    record.say("EVAC held")
    return 0


class CannotRunError(Exception):
    """The case could not run."""


def require(holds: bool, why: str) -> None:
    """Raise CannotRunError unless it holds."""
    if not holds:
        raise CannotRunError(why)


async def main() -> int:
    """Play the case; the exit code."""
    record = Record(HERE / "record.txt")
    system = System(record, 3, 3, ZONES)
    tasks: list[asyncio.Task[None]] = []
    try:
        return await asyncio.wait_for(play(record, system, [], tasks), 110)
    except (TimeoutError, CannotRunError, OSError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        for task in tasks:
            task.cancel()
        await system.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
