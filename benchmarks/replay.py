"""How fast logs are imported, in how much memory, and how high a rate the player keeps its time at.

    .venv/bin/python -m benchmarks.replay [import|rate|true]

``import``: nginx logs of growing size, each in a process of its own. ``rate``: Poisson arrivals against
instant answers, by processes of the player; the highest rate whose 99th percentile of lateness is under
2 ms. ``true``: a recorded ten minutes of 100 requests a second over three gateways, played against instant
answers: arrivals by 100 ms, customer and gateway, and the error of each start beside the log's resolution.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from latchspoke.lab.clients import ClientSettings
from latchspoke.lab.load import Arrival, PlanLoad, poisson_arrivals
from latchspoke.lab.loopback.http import HttpServerConnection, PendingResponse, response
from latchspoke.lab.loopback.player import PlayerJob, PlayerSettings, play_all
from latchspoke.lab.outcome import Outcomes, quantiles

FORM = '$remote_addr [$time_local] "$request" $status $body_bytes_sent $request_time "$http_x_tier"'
LATE_MOST = 2.0  # ms
LATCHSPOKE = [sys.executable, "-m", "latchspoke"]


# Instant answers.


class Instant(HttpServerConnection):
    def handle_request(self, place: PendingResponse) -> None:
        place.answer(response(200, b"{}"))


def instant(pipe: Any) -> None:
    async def serve() -> None:
        server = await asyncio.get_running_loop().create_server(Instant, "127.0.0.1", 0, backlog=1024)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    import uvloop

    uvloop.run(serve())


def start_instant(count: int) -> tuple[list[Any], list[int]]:
    context = multiprocessing.get_context("spawn")
    processes, ports = [], []
    for _ in range(count):
        ours, theirs = context.Pipe(duplex=False)
        process = context.Process(target=instant, args=(theirs,), daemon=True)
        process.start()
        ports.append(ours.recv())
        processes.append(process)
    return processes, ports


# Importing.


def write_log(path: Path, megabytes: float) -> int:
    draw, lines, size = random.Random(1), 0, 0
    with open(path, "w") as file:
        while size < megabytes * 1e6:
            second = lines // 100
            clock = f"{10 + second // 3600:02}:{second // 60 % 60:02}:{second % 60:02}"
            status = 200 if draw.random() < 0.95 else 429
            size += file.write(
                f"10.0.0.{lines % 250} [10/Nov/2026:{clock} +0100] "
                f'"GET /balance-read?key={draw.randrange(1000):016x} HTTP/1.1" '
                f'{status} 312 {draw.random():.3f} "srednia"\n'
            )
            lines += 1
    return lines


def measure_import() -> None:
    print("| log, MB | lines | s | MB/s | lines/s | peak memory, MB |\n| --- | --- | --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as folder:
        for megabytes in (1, 10, 50):
            path = Path(folder) / "g1.log"
            lines = write_log(path, megabytes)
            began = time.monotonic()
            words = ["trace", "import", "--format", FORM, "--out", f"{folder}/t", str(path)]
            process = subprocess.Popen([*LATCHSPOKE, *words], stdout=subprocess.DEVNULL)
            _, status, usage = os.wait4(process.pid, 0)
            took = time.monotonic() - began
            assert status == 0
            size = path.stat().st_size / 1e6
            print(
                f"| {size:.0f} | {lines} | {took:.1f} | {size / took:.2f} | {lines / took:.0f} "
                f"| {usage.ru_maxrss / 1024:.0f} |",
                flush=True,
            )


# The rate.


def poisson(rate: float, seconds: float) -> Iterator[Arrival]:
    return poisson_arrivals([PlanLoad("p", 200, rate / 200)], "balance-read", seconds, 3, 3, 1)


def played(rate: float, seconds: float, processes: int, ports: list[int]) -> Outcomes:
    outcomes = Outcomes(1.2)
    works = [
        PlayerJob(
            PlayerSettings([("127.0.0.1", p) for p in ports], ClientSettings(), 1, False, n, processes),
            poisson, (rate, seconds),
        )
        for n in range(processes)
    ]  # fmt: skip
    play_all(works, outcomes)
    return outcomes


def measure_rate() -> None:
    servers, ports = start_instant(3)
    print(
        "| processes | rate | p50 ms | p99 ms | p99.9 ms | keeps its time |\n"
        "| --- | --- | --- | --- | --- | --- |"
    )
    try:
        for processes in (1, 2, 4):
            for rate in (500, 1000, 2000, 3000, 4000, 6000):
                late = quantiles(played(rate, 5.0, processes, ports).lateness)
                good = late["p99"] < LATE_MOST
                told = " | ".join(f"{late[p]:.2f}" for p in ("p50", "p99", "p99.9"))
                print(f"| {processes} | {rate} | {told} | {'yes' if good else 'no'} |", flush=True)
                if not good:
                    break
    finally:
        for server in servers:
            server.terminate()


# How true.


def record(folder: Path, seconds: float) -> None:
    """Three gateways' logs of drawn traffic, whole seconds at the answer as nginx writes them."""
    files = [open(folder / f"g{n}.log", "w") for n in range(3)]  # noqa: SIM115
    draw, lines = random.Random(5), [[], [], []]  # type: ignore[var-annotated]
    for a in poisson_arrivals(
        [PlanLoad("mala", 100, 0.5), PlanLoad("pelna", 5, 10.0)], "balance-read", seconds, 3, 3, 5
    ):
        took = round(draw.lognormvariate(-2, 0.4), 3)
        lines[a.gateway].append((a.at + took, a, took))
    for file, told in zip(files, lines, strict=True):
        for end, a, took in sorted(told, key=lambda item: item[0]):
            moment = time.strftime("%d/%b/%Y:%H:%M:%S +0000", time.gmtime(1_796_000_000 + int(end)))
            file.write(
                f'10.0.0.1 [{moment}] "GET /balance-read?key={a.customer:016x} HTTP/1.1" '
                f'200 9 {took:.3f} "{a.plan}"\n'
            )
        file.close()


def measure_true() -> None:
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 600.0
    servers, ports = start_instant(3)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        record(folder, seconds)
        logs = [f"g{n}={folder}/g{n}.log" for n in range(3)]
        subprocess.run(
            [*LATCHSPOKE, "trace", "import", "--format", FORM, "--out", f"{name}/t", *logs], check=True
        )
        print("| speed | due | elsewhere by 100 ms | by customer | by gateway | start error p50, p99 ms |")
        print("| --- | --- | --- | --- | --- | --- |")
        for speed in ("1", "10"):
            words = ["replay", "--json", "--speed", speed, "--to", ",".join(f"127.0.0.1:{p}" for p in ports)]
            told = subprocess.run(
                [*LATCHSPOKE, *words, f"{name}/t"], capture_output=True, text=True, check=False
            )
            value = json.loads(told.stdout)
            arrivals, late = value["arrivals"], value["lateness_ms"]
            print(
                f"| {speed} | {arrivals['slots']['planned']} | {arrivals['slots']['elsewhere']:.2%} "
                f"| {arrivals['customers']['elsewhere']:.2%} | {arrivals['gateways']['elsewhere']:.2%} "
                f"| {late['p50']:.2f}, {late['p99']:.2f} |",
                flush=True,
            )
    for server in servers:
        server.terminate()


def main() -> None:
    wanted = sys.argv[1:2] or ["import", "rate", "true"]
    for name, work in (("import", measure_import), ("rate", measure_rate), ("true", measure_true)):
        if name in wanted:
            work()


if __name__ == "__main__":
    main()
