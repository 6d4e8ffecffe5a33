"""Case: a tenant with a rate and a burst of 0 is refused everything."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig_4"))

from parties import Arrival, Client, Server, locators  # noqa: E402
from system import SERVER, Record, System  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
HOST, PATH = "pages.example", "/pages/one"
RATE_PER_S, ASKED_PER_S, LENGTH_S = 50, 8.0, 25.0
BURSTS = {"mill": RATE_PER_S, "ferry": RATE_PER_S}  # at first
SMALLEST_SHARE = 0.25  # of the share of all that is served, by the rule


def configuration(version: int, bursts: dict[str, int]) -> bytes:
    """The configuration, with these bursts by tenant."""
    rule = {
        "name": "r-pages", "routeKind": "idempotent", "targetLatencyS": 0.8, "priority": 2, "keyless": False,
        "matchCriteria": {"pathPrefix": "/pages/"},
        "actionSpec": {"service": "pages", "timeoutS": 3, "maxAttempts": 2, "homeRegions": []},
    }  # fmt: skip
    tenants = [
        {
            "name": name,
            "apiKeys": [f"key-of-{name}"],
            "priority": 1,
            "ratePerS": RATE_PER_S,
            "burstSize": burst,
        }
        for name, burst in bursts.items()
    ]
    service = {
        "name": "pages",
        "healthPath": "/health",
        "connectionLimit": 130,
        "coldStartS": 0,
        "coldPerS": 0,
    }
    document = {
        "version": f"{version:08x}", "baseVersion": f"{version - 1:08x}",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "tenants": tenants, "clusterList": [service], "listenerList": [{"host": HOST, "ruleSet": [rule]}],
    }  # fmt: skip
    return json.dumps(document).encode()


async def play(record: Record, system: System, tasks: list[asyncio.Task[None]]) -> int:
    """Play the case; the exit code."""
    arrivals: list[Arrival] = []
    system.start()
    status, _ = await system.order("configuration.replace", configuration(1, BURSTS))
    if status != 200:
        return 2
    for n, zone in enumerate(ZONES, 1):
        server = Server(
            record, "pages", zone, (system.address(3, n), SERVER), system.control, arrivals, slots=20
        )
        tasks.append(asyncio.create_task(server.serve()))
    if not await system.until_ready(20):
        record.say("the edge machines did not get ready")
        return 2
    if TROUBLE:
        status, answer = await system.order("configuration.replace", configuration(2, BURSTS | {"ferry": 0}))
        record.say(f"version 2, with a burst of 0 for ferry: {status} {answer.decode()}")
        if status != 200:
            return 2
    await asyncio.sleep(3)
    where = locators(system.control)
    clients = {
        name: Client(record, zone, ZONES[zone], where, HOST, PATH, f"key-of-{name}", ASKED_PER_S)
        for name, zone in zip(BURSTS, ZONES, strict=False)
    }
    tasks += [asyncio.create_task(client.run()) for client in clients.values()]
    await asyncio.sleep(LENGTH_S)
    shares, asked, served = {}, 0, 0
    for name, client in clients.items():
        good = sum(status == 200 for _, _, status in client.answered)
        refused = sum(status == 429 for _, _, status in client.answered)
        shares[name] = good / max(len(client.answered), 1)
        asked, served = asked + len(client.answered), served + good
        record.say(f"{name}: {len(client.answered)} asked, {good} answered with 200, {refused} with 429")
    if not served:
        return 2
    starved = [name for name, share in shares.items() if share < SMALLEST_SHARE * served / asked]
    record.say(f"starved: {', '.join(starved)}" if starved else "no tenant is starved")
    return 1 if starved else 0


async def main() -> int:
    """Play the case; the exit code."""
    record = Record(HERE / "record.txt")
    system = System(record, 3, 2, ZONES)
    tasks: list[asyncio.Task[None]] = []
    try:
        return await asyncio.wait_for(play(record, system, tasks), 110)
    except (TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        for task in tasks:
            task.cancel()
        await system.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
