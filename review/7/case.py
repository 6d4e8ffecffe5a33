"""Case: requests that a stopping gateway takes 3 s after SIGTERM and later are cut off without an answer."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig_4"))

from parties import Arrival, Client, Server, fronts, locators  # noqa: E402
from system import SERVER, Address, BrokenError, Record, System, read_message  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
HOST, PATH, KEY = "pages.example", "/statements/one", "key-of-the-only-tenant"
WORK_S, DEADLINE_MS = 3.5, 12_000
CONNECT_AT, SEND_AT, CLIENTS = 2.75, 3.15, 4  # s after the SIGTERM; the clients follow each other by 0.03 s
EXCUSED_UNTIL_S = 3.0  # a request sent later than this after the SIGTERM has no excuse


def configuration() -> bytes:
    """The only configuration."""
    rule = {
        "name": "r-statements", "routeKind": "idempotent", "targetLatencyS": 3, "priority": 2,
        "keyless": False, "matchCriteria": {"pathPrefix": "/statements/"},
        "actionSpec": {"service": "statements", "timeoutS": 12, "maxAttempts": 1, "homeRegions": []},
    }  # fmt: skip
    tenant = {"name": "only", "apiKeys": [KEY], "priority": 1, "ratePerS": 500, "burstSize": 500}
    service = {"name": "statements", "healthPath": "/health", "connectionLimit": 130}
    document = {
        "version": "00000001", "baseVersion": "00000000",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "tenants": [tenant], "clusterList": [service], "listenerList": [{"host": HOST, "ruleSet": [rule]}],
    }  # fmt: skip
    return json.dumps(document).encode()


class LateClient:
    """Holds an answer of the directory from before the SIGTERM, and sends one request on a new connection."""

    def __init__(self, record: Record, gateway: Address, stopped_at: float) -> None:
        self.record, self.gateway, self.stopped_at = record, gateway, stopped_at
        self.attempt, self.sent, self.ended = secrets.token_hex(8), 0.0, 0.0
        self.status = 0  # 0: the connection ended without a whole answer
        self.refused = False  # the connection didn't come up

    async def run(self, number: int) -> None:
        """Connect and send at the times of the case."""
        await self.until(CONNECT_AT + 0.03 * number)
        try:
            reader, writer = await asyncio.open_connection(*self.gateway)
        except OSError as error:
            self.refused = True
            self.record.say(f"client {number}: no connection: {error!r}")
            return
        await self.until(SEND_AT + 0.03 * number)
        lines = [
            f"GET {PATH} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {self.attempt}",
            f"X-Deadline-Remaining: {DEADLINE_MS}", f"Authorization: Token {KEY}", "", "",
        ]  # fmt: skip
        self.sent = self.record.now()
        try:
            writer.write("\r\n".join(lines).encode())
            self.status = int((await read_message(reader))[0].split()[1])
        except (BrokenError, OSError):
            self.status = 0
        self.ended = self.record.now()
        writer.close()
        after = self.sent - self.stopped_at, self.ended - self.stopped_at
        what = f"answered {self.status}" if self.status else "ended without an answer"
        self.record.say(
            f"client {number}: {self.attempt} sent {after[0]:.3f} s, {what} {after[1]:.3f} s after"
        )

    async def until(self, at: float) -> None:
        """Wait until this many seconds after the SIGTERM."""
        await asyncio.sleep(max(self.stopped_at + at - self.record.now(), 0))


async def play(record: Record, system: System, tasks: list[asyncio.Task[None]]) -> int:
    """Play the case; the exit code."""
    arrivals: list[Arrival] = []
    system.start()
    status, _ = await system.order("configuration.replace", configuration())
    if status != 200:
        return 2
    for n, zone in enumerate(ZONES, 1):
        server = Server(
            record, "statements", zone, (system.address(3, n), SERVER), system.control, arrivals, WORK_S
        )
        tasks.append(asyncio.create_task(server.serve()))
    if not await system.until_ready(20):
        return 2
    await asyncio.sleep(5)
    machine = system.edge[0]
    directory = Client(record, machine.zone, ZONES[machine.zone], locators(system.control), HOST, PATH)
    await directory.locate()
    gateway = fronts([machine.ip])[0]
    if gateway not in directory.told:
        record.say("the directory does not name the gateway")
        return 2
    stopped_at = record.now()
    if TROUBLE:
        record.say(f"{machine.name} gets SIGTERM")
        machine.stopping = True  # the platform starts it again later than this case lasts
        system.send_signal(machine, signal.SIGTERM)
    clients = [LateClient(record, gateway, stopped_at) for _ in range(CLIENTS)]
    await asyncio.gather(*(client.run(number) for number, client in enumerate(clients)))
    ran = {arrival.attempt: arrival for arrival in arrivals if arrival.status == 200}
    lost = [
        client
        for client in clients
        if client.attempt in ran and not client.status and client.sent - stopped_at > EXCUSED_UNTIL_S
    ]
    record.say(f"{len(lost)} of {len(clients)} requests were passed on to a server and got no answer")
    if all(client.refused for client in clients):
        record.say("no connection was taken: nothing to lose")
    record.say("LOST is broken" if lost else "LOST held")
    return 1 if lost else 0


async def main() -> int:
    """Play the case; the exit code."""
    record = Record(HERE / "record.txt")
    system = System(record, 3, 3, ZONES)
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
