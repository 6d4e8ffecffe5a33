"""What ``fleet list`` and ``fleet compare`` cost as a fleet grows, with a tenth of its agents silent.

    .venv/bin/python -m benchmarks.fleet

Scripted agents in a process of their own answer over Unix sockets with listings and views of the size of
real ones (four plans, fourteen servers). The tool runs as a process of its own, as operators start it; its
wall time, CPU and peak memory are the kernel's figures. The silent agents' limit is taken off, as it is
the operator's choice; what is left is the tool's own. A tool that asks nobody (``--help``) is the floor.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from aiohttp import web

from latchspoke.fleet import wire

LIMIT = 1.0  # s; what one silent agent may cost
SIZES = ((10, 10), (100, 10), (1000, 50))  # instances, agents
REPEATS = 5
FLEET = [sys.executable, "-m", "latchspoke", "fleet"]


def view(name: str, rate: float) -> dict[str, Any]:
    """As large as a real gateway's."""
    plans = {
        plan: {
            "name": plan, "rate": rate, "burst": 4.0, "concurrency": 0, "pays": 1.0, "over_cost": 0.5,
            "extra_worth": 0.0, "ceiling_rate": 0.0, "ceiling_burst": 0.0, "ceiling_slack": 0.0,
        }
        for plan in ("mala", "srednia", "duza", "pelna")
    }  # fmt: skip
    targets = {
        f"s-{n:08x}": {
            "state": "active", "address": f"127.0.0.{n}:7070", "zone": "b1", "out": 1, "idle_connections": 2,
            "errors": 0.0, "pace": 1.0, "backlog": 0.5,
        }
        for n in range(14)
    }  # fmt: skip
    return {
        "format": 1, "version": "0.1.0", "name": name, "settings": {"digest": f"d{rate}", "plans": plans},
        "file": {"digest": f"d{rate}", "taken_up": True}, "targets": targets,
        "discovery": {"address": "127.0.0.1:8500"}, "counter": {"address": "127.0.0.1:6400"},
        "counters": {f"forwards.{n}": 1000 + n for n in range(30)},
    }  # fmt: skip


async def scripted(folder: Path, instances: int, agents: int) -> None:
    """All agents of one fleet in this process; a tenth of them accept and say nothing."""
    each = instances // agents
    for number in range(agents):
        path = str(folder / f"a{number}.sock")
        if number % 10 == 9:
            await asyncio.start_unix_server(lambda reader, writer: asyncio.sleep(3600), path)
            continue
        names = [f"g{number}-{n}" for n in range(each)]
        status = wire.AgentStatus(f"a{number}", f"a{number}", "0.1.0", time.time())
        listing = wire.encode(
            wire.Listing(
                status,
                [
                    wire.InstanceStatus(
                        n, "b1", "ready", "ready", "up", time.time(), pid=7, launch=1, version="0.1.0"
                    )
                    for n in names
                ],
            )
        )
        rates = {n: 1.0 if (number + place) % 97 else 2.0 for place, n in enumerate(names)}
        views = wire.encode(wire.ViewAnswer({n: view(n, rates[n]) for n in names}))
        app = web.Application()
        app.add_routes([web.get("/v1/instances", answer(listing)), web.get("/v1/views", answer(views))])
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.UnixSite(runner, path).start()
    print("up", flush=True)
    await asyncio.Event().wait()


def answer(body: bytes) -> Any:
    async def handle(request: web.Request) -> web.Response:
        return web.Response(body=body, headers={wire.INTERFACE_HEADER: str(wire.INTERFACE_VERSION)})

    return handle


def run(words: list[str]) -> tuple[float, float, float]:
    """Wall time and CPU in s, peak memory in MB, of one call of the tool."""
    began = time.monotonic()
    process = subprocess.Popen([*FLEET, *words], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    _, _, usage = os.wait4(process.pid, 0)
    return time.monotonic() - began, usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024


def median(words: list[str]) -> tuple[float, float, float]:
    runs = [run(words) for _ in range(REPEATS)]
    wall, cpu, memory = (statistics.median(column) for column in zip(*runs, strict=True))
    return wall, cpu, memory


def main() -> None:
    if sys.argv[1:2] == ["agents"]:
        asyncio.run(scripted(Path(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])))
        return
    floor = median(["--help"])
    print(
        "| instances | agents (silent) | command | wall s | beside the limit | CPU s | over the floor | MB |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    print(f"| 0 | 0 | --help (the floor) | {floor[0]:.2f} | | {floor[1]:.2f} | | {floor[2]:.0f} |")
    for instances, agents in SIZES:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            server = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.fleet", "agents", name, str(instances), str(agents)],
                stdout=subprocess.PIPE,
            )
            try:
                assert server.stdout is not None and server.stdout.readline()
                lines = [f"agents: a{n}: socket: {json.dumps(f'a{n}.sock')}" for n in range(agents)]
                (folder / "fleet.cue").write_text("\n".join([*lines, f'limit: "{LIMIT:g}s"', ""]))
                for command, limits in (("list", 1), ("compare", 1)):
                    wall, cpu, memory = median([command, "--json", "--fleet", str(folder / "fleet.cue")])
                    print(
                        f"| {instances} | {agents} ({agents // 10}) | {command} | {wall:.2f} "
                        f"| {wall - limits * LIMIT:.2f} | {cpu:.2f} | {cpu - floor[1]:.2f} | {memory:.0f} |",
                        flush=True,
                    )
            finally:
                server.terminate()
                server.communicate()


if __name__ == "__main__":
    main()
