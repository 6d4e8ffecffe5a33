"""Five real gateways under one agent, requests flowing, one killed in the middle of a rolling drain."""

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

from tests.agent.world import ROOT, World, details, free_port, outcomes, until

NAMES = [f"g{number}" for number in range(5)]


class Client(threading.Thread):
    """Asks one gateway again and again, each time on a new connection, as a front does.

    A gateway that says ``Connection: close`` drains: one more request follows at once, and then no more.
    A request that was written whole and got no whole answer is lost.
    """

    numbers = itertools.count()

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port, self.seen, self.ended = port, Counter[str](), threading.Event()

    def run(self) -> None:
        left = 1
        while not self.ended.is_set() and left >= 0:
            link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=6)
            try:
                link.connect()
            except OSError:
                self.seen["not connected"] += 1
                return
            try:
                left -= self.ask(link)
            except (OSError, http.client.HTTPException):
                self.seen["lost"] += 1
                return
            finally:
                link.close()

    def ask(self, link: http.client.HTTPConnection) -> bool:
        """One request; whether the gateway said that it drains."""
        number = next(self.numbers)
        link.request(
            "GET", f"/balance-read?key={number % 50:x}",
            headers={
                "Req-Id": f"t-{number}", "Req-Kind": "balance-read", "X-Tier": "large",
                "Req-Deadline": "4", "X-Call-Terms": "units=1,spread=4,first=0",
            },
        )  # fmt: skip
        answer = link.getresponse()
        answer.read()
        self.seen[str(answer.status)] += 1
        return answer.headers.get("Connection", "") == "close"


@pytest.fixture
def toy(tmp_path: Path) -> Iterator[tuple[int, int]]:
    """The example's toy world on free ports: discovery's and the counter's."""
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


def test_one_killed_in_a_rolling_drain_and_no_request_lost_by_a_drain(
    fleet: World, toy: tuple[int, int]
) -> None:
    host = fleet.host("h1")
    base = json.loads((ROOT / "examples" / "config.json").read_text())
    for index, name in enumerate(NAMES):
        port = host.ports[name] = free_port()
        settings = base["settings"] | {"Index": index, "NInstances": len(NAMES)}
        told = base | {"name": name, "discovery": f"127.0.0.1:{toy[0]}", "settings": settings}
        (host.folder / f"{name}.json").write_text(json.dumps(told | {"counter": f"127.0.0.1:{toy[1]}"}))
        host.instances[name] = f'{name}: {{config: "h1/{name}.json", listen: "127.0.0.1:{port}"}}'
    fleet.start().ready(*(f"h1/{name}" for name in NAMES))
    code, told = fleet.tool("compare")
    assert (code, told["agree"]) == (0, True), told

    clients = {name: [Client(host.ports[name]) for _ in range(3)] for name in NAMES}
    for client in itertools.chain(*clients.values()):
        client.start()
    until(lambda: all(c.seen["200"] > 3 for c in itertools.chain(*clients.values())), "all are served")
    tool = fleet.tool_process("drain", "--all")
    host.wait("g2", "draining")
    os.kill(host.pid("g2"), signal.SIGKILL)
    report = json.loads(tool.communicate(timeout=60)[0])
    for client in itertools.chain(*clients.values()):
        client.ended.set()
        client.join(10)

    assert tool.returncode == 3 and report["state"] == "done"
    assert outcomes(report) == {f"h1/{n}": "failed" if n == "g2" else "done" for n in NAMES}
    assert details(report)["h1/g2"] == "lost-in-drain: signal 9"
    assert all(details(report)[f"h1/{n}"].startswith("drained in ") for n in NAMES if n != "g2")
    lost = {name: sum(c.seen["lost"] for c in clients[name]) for name in NAMES}
    assert {name for name, count in lost.items() if count} <= {"g2"}, lost
    for name in NAMES:
        failed = sum(count for c in clients[name] for status, count in c.seen.items() if status == "502")
        assert not failed, f"{name}: {[c.seen for c in clients[name]]}"
