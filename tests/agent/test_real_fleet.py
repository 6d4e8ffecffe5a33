"""Five real gateways under load, one of them killed in the middle of a rolling drain."""

from __future__ import annotations

import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import threading
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.agent.harness import ROOT, FleetHarness, details, free_port, outcomes, wait_until

GATEWAY_NAMES = [f"g{number}" for number in range(5)]


class Client(threading.Thread):
    """Sends requests to one gateway, each on a new connection.

    ``Connection: close`` means that the gateway is draining: one more request follows at once, and no more
    after it. A request that was sent completely but not answered completely counts as lost.
    """

    request_numbers = itertools.count()

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port, self.seen, self.stopped = port, Counter[str](), threading.Event()

    def run(self) -> None:
        left = 1
        while not self.stopped.is_set() and left >= 0:
            connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=6)
            try:
                connection.connect()
            except OSError:
                self.seen["not connected"] += 1
                return
            try:
                left -= self.ask(connection)
            except (OSError, http.client.HTTPException):
                self.seen["lost"] += 1
                return
            finally:
                connection.close()

    def ask(self, connection: http.client.HTTPConnection) -> bool:
        """Send one request; returns whether the gateway said that it is draining."""
        number = next(self.request_numbers)
        connection.request(
            "GET", f"/balance-read?key={number % 50:x}",
            headers={
                "Req-Id": f"t-{number}", "Req-Kind": "balance-read", "X-Tier": "large",
                "Req-Deadline": "4", "X-Call-Terms": "units=1,spread=4,first=0",
            },
        )  # fmt: skip
        answer = connection.getresponse()
        answer.read()
        self.seen[str(answer.status)] += 1
        return answer.headers.get("Connection", "") == "close"


@pytest.fixture
def toy_server(tmp_path: Path) -> Iterator[tuple[int, int]]:
    """The example's toy server; the ports of discovery and of the counter."""
    ports = [free_port() for _ in range(4)]
    process = subprocess.Popen(
        [sys.executable, "examples/toy_server.py", *map(str, ports)], cwd=ROOT, stdout=subprocess.PIPE
    )
    try:
        assert process.stdout is not None and process.stdout.readline()
        yield ports[0], ports[1]
    finally:
        process.terminate()
        process.communicate(timeout=10)


def test_rolling_drain_loses_no_request_except_at_a_killed_gateway(
    fleet: FleetHarness, toy_server: tuple[int, int]
) -> None:
    host = fleet.host("h1")
    base = json.loads((ROOT / "examples" / "config.json").read_text())
    for index, name in enumerate(GATEWAY_NAMES):
        port = host.ports[name] = free_port()
        settings = base["settings"] | {"Index": index, "NInstances": len(GATEWAY_NAMES)}
        config = base | {"name": name, "discovery": f"127.0.0.1:{toy_server[0]}", "settings": settings}
        (host.folder / f"{name}.json").write_text(
            json.dumps(config | {"counter": f"127.0.0.1:{toy_server[1]}"})
        )
        host.instances[name] = f'{name}: {{config: "h1/{name}.json", listen: "127.0.0.1:{port}"}}'
    fleet.start().ready(*(f"h1/{name}" for name in GATEWAY_NAMES))
    code, result = fleet.tool("compare")
    assert (code, result["agree"]) == (0, True), result

    clients = {name: [Client(host.ports[name]) for _ in range(3)] for name in GATEWAY_NAMES}
    for client in itertools.chain(*clients.values()):
        client.start()
    wait_until(
        lambda: all(c.seen["200"] > 3 for c in itertools.chain(*clients.values())), "all clients are served"
    )
    tool = fleet.tool_process("drain", "--all")
    host.wait("g2", "draining")
    os.kill(host.pid("g2"), signal.SIGKILL)
    report = json.loads(tool.communicate(timeout=60)[0])
    for client in itertools.chain(*clients.values()):
        client.stopped.set()
        client.join(10)

    assert tool.returncode == 3 and report["state"] == "done"
    assert outcomes(report) == {f"h1/{n}": "failed" if n == "g2" else "done" for n in GATEWAY_NAMES}
    assert details(report)["h1/g2"] == "lost-in-drain: signal 9"
    assert all(details(report)[f"h1/{n}"].startswith("drained in ") for n in GATEWAY_NAMES if n != "g2")
    lost = {name: sum(c.seen["lost"] for c in clients[name]) for name in GATEWAY_NAMES}
    assert {name for name, count in lost.items() if count} <= {"g2"}, lost
    for name in GATEWAY_NAMES:
        failed = sum(count for c in clients[name] for status, count in c.seen.items() if status == "502")
        assert not failed, f"{name}: {[c.seen for c in clients[name]]}"
