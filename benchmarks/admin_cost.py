"""What the admin socket costs a gateway: CPU per request with it off, on, and polled once a second.

    .venv/bin/python -m benchmarks.admin_cost [SECONDS [ROUNDS]]

Three gateways run side by side against one toy world, each with the same open-loop load over kept
connections, so that what the machine does meanwhile hits all three alike. CPU is the kernel's count of
user and system time of each gateway's process, divided by the requests that it answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from latchspoke.agent.health_checks import fetch_view

RATE = 100.0  # requests a second to each gateway
CONNECTIONS = 40
WAYS = ("off", "on", "polled")
TICKS = os.sysconf("SC_CLK_TCK")


def free_ports(count: int) -> list[int]:
    import socket

    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(sock.getsockname()[1]) for sock in held]
    for sock in held:
        sock.close()
    return ports


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def one_line(port: int, line: int, end: float, counts: dict[int, int]) -> None:
    """One connection: a request at each of its turns, whatever the last one took."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    pause, number = CONNECTIONS / RATE, 0
    due = time.monotonic() + pause * line / CONNECTIONS
    while due < end:
        await asyncio.sleep(max(due - time.monotonic(), 0))
        due, number = due + pause, number + 1
        writer.write(
            f"GET /balance-read?key={line:x} HTTP/1.1\r\nHost: x\r\nReq-Id: {port}-{line}-{due}\r\n"
            "Req-Kind: balance-read\r\nX-Tier: large\r\nReq-Deadline: 4\r\n"
            "X-Call-Terms: units=1,spread=1,first=0\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        size = next(x for x in head.lower().split(b"\r\n") if x.startswith(b"content-length:"))
        await reader.readexactly(int(size.split(b":")[1]))
        counts[port] += 1
    writer.close()


async def poll(path: str, end: float) -> None:
    timeout = aiohttp.ClientTimeout(total=1.0)
    while time.monotonic() < end:
        told = await fetch_view(path, timeout)
        assert not isinstance(told, str), told
        await asyncio.sleep(1.0)


async def play(ports: list[int], admin: str, seconds: float) -> dict[int, int]:
    end, counts = time.monotonic() + seconds, dict.fromkeys(ports, 0)
    lines = [one_line(port, line, end, counts) for port in ports for line in range(CONNECTIONS)]
    await asyncio.gather(poll(admin, end), *lines)
    return counts


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 15.0
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    ports = free_ports(8)
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        toy = [sys.executable, "examples/toy_server.py", *map(str, ports[:5])]
        world = subprocess.Popen(toy, stdout=subprocess.PIPE)
        stack.callback(world.terminate)
        assert world.stdout is not None and world.stdout.readline()
        base = json.loads(Path("examples/config.json").read_text())
        base |= {"discovery": f"127.0.0.1:{ports[0]}", "counter": f"127.0.0.1:{ports[1]}"}
        gateways = {}
        for way, port in zip(WAYS, ports[5:], strict=True):
            (folder / f"{way}.json").write_text(json.dumps(base | {"listen": f"127.0.0.1:{port}"}))
            words = ["serve", "--config", str(folder / f"{way}.json")]
            words += [] if way == "off" else ["--admin", str(folder / f"{way}.sock")]
            gateways[way] = subprocess.Popen(
                [sys.executable, "-m", "latchspoke", *words], stderr=subprocess.DEVNULL
            )
            stack.callback(gateways[way].terminate)
        time.sleep(2.0)
        told: dict[str, list[float]] = {way: [] for way in WAYS}
        asyncio.run(play(ports[5:], str(folder / "polled.sock"), 3.0))  # warm
        for _ in range(rounds):
            before = {way: cpu(gateways[way].pid) for way in WAYS}
            counts = asyncio.run(play(ports[5:], str(folder / "polled.sock"), seconds))
            for way, port in zip(WAYS, ports[5:], strict=True):
                told[way].append((cpu(gateways[way].pid) - before[way]) / counts[port] * 1e6)
        print("| admin socket | CPU a request, µs (median) | spread | to off |\n| --- | --- | --- | --- |")
        off = statistics.median(told["off"])
        for way in WAYS:
            middle = statistics.median(told[way])
            spread = f"{min(told[way]):.0f} to {max(told[way]):.0f}"
            print(f"| {way} | {middle:.0f} | {spread} | {middle / off:.3f} |")


if __name__ == "__main__":
    main()
