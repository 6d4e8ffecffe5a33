"""Two real processes of one gateway at one address: nobody is turned back, the old one leaves in order."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import cast

import pytest

from barleyhub import interface as api
from latchspoke.net.kin import Kin
from tests.agent.harness import free_port
from tests.conftest import Bench
from tests.opsdays.test_door import World
from tests.player import configuration

TARGETS = ("s1", "s2")


def call(port: int, text: str) -> tuple[int, bytes]:
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(f"{text} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        answer = b""
        while piece := sock.recv(65536):
            answer += piece
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def until_ready(process: subprocess.Popen[bytes], door: int) -> None:
    for _ in range(100):
        assert process.poll() is None, "the process has ended"
        try:
            if call(door, "GET /status")[0] == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError("never ready")


class Place:
    """A gateway's address, its folder, and what may be started there."""

    def __init__(self, folder: Path, targets: list[int]) -> None:
        self.folder, self.listen = folder, free_port()
        file = configuration({}) | {"listen": f"127.0.0.1:{self.listen}", "discovery": "127.0.0.1:9"}
        file["known"]["instances"] = [
            {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": "in_service"}
            for name, port in zip(TARGETS, targets, strict=True)
        ]
        (folder / "config.json").write_text(json.dumps(file))
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> tuple[subprocess.Popen[bytes], int]:
        door = free_port()
        env = os.environ | {
            "GW_CONFIG": str(self.folder / "config.json"),
            "GW_CONTROL": f"127.0.0.1:{door}",
            "TMPDIR": str(self.folder),
        }
        log = (self.folder / f"log{len(self.processes)}").open("wb")
        command = [sys.executable, "-m", "latchspoke", "serve"]
        process = subprocess.Popen(command, env=env, stderr=log, stdout=log)
        self.processes.append(process)
        until_ready(process, door)
        return process, door


@contextmanager
def place(folder: Path, targets: list[int]) -> Iterator[Place]:
    here = Place(folder, targets)
    try:
        yield here
    finally:
        for process in here.processes:
            process.kill()
            process.wait()


async def serve_target(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while line := await reader.readuntil(b"\r\n\r\n"):
            ident = line.partition(b"Req-Id: ")[2].partition(b"\r\n")[0]
            await asyncio.sleep(0.15)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(ident), ident))
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def ask(port: int, ident: str, kept: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]) -> bytes:
    reader, writer = kept.pop() if kept else await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"GET /read?key=1 HTTP/1.1\r\nReq-Id: {ident}\r\nReq-Kind: read\r\nX-Tier: basic\r\n"
        "Req-Deadline: 3\r\n\r\n".encode()
    )
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
    body = await reader.readexactly(size)
    if b"Connection: close" in head:
        writer.close()
    else:
        kept.append((reader, writer))
    return head.split()[1] + b" " + body


def test_one_replaces_the_other_while_clients_ask(tmp_path: Path) -> None:
    async def main() -> tuple[list[str], list[bytes]]:
        targets = [await asyncio.start_server(serve_target, "127.0.0.1", 0) for _ in TARGETS]
        ports = [server.sockets[0].getsockname()[1] for server in targets]
        with place(tmp_path, ports) as here:
            old, door = await asyncio.to_thread(here.start)
            assert (await asyncio.to_thread(call, door, "PUT /maintenance/enter/s2"))[0] == 200
            kept: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            asked: list[tuple[str, asyncio.Task[bytes]]] = []

            async def load(seconds: float) -> None:
                end = time.monotonic() + seconds
                while time.monotonic() < end:
                    ident = f"r{len(asked)}"
                    asked.append((ident, asyncio.create_task(ask(here.listen, ident, kept))))
                    await asyncio.sleep(0.02)

            running = asyncio.create_task(load(4.0))
            await asyncio.sleep(0.5)
            new, new_door = await asyncio.to_thread(here.start)
            old.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            # Asked while it leaves, the old one says that it is not ready, and hears operators all the same.
            assert (await asyncio.to_thread(call, door, "GET /status"))[0] == 503
            assert (await asyncio.to_thread(call, door, "PUT /maintenance/enter/s2"))[0] == 200
            assert await asyncio.to_thread(old.wait, 5) == 0
            await running
            answers = await asyncio.gather(*(task for _, task in asked))
            figures = (await asyncio.to_thread(call, new_door, "GET /status/metrics"))[1]
            assert b"app.cluster_unhealthy:1|g\n" in figures and b"app.cluster_size:2|g\n" in figures
            new.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(new.wait, 5) == 0
            return [ident for ident, _ in asked], answers

    idents, answers = asyncio.run(main())
    assert len(idents) > 50
    assert answers == [f"200 {ident}".encode() for ident in idents]


def test_a_process_that_is_killed_leaves_no_trace_but_the_notes(tmp_path: Path) -> None:
    with place(tmp_path, [9, 9]) as here:
        first, door = here.start()
        assert call(door, "PUT /maintenance/enter/s1")[0] == 200
        first.kill()
        first.wait()
        _, door = here.start()
        assert b"app.cluster_unhealthy:1|g\n" in call(door, "GET /status/metrics")[1]


def test_each_process_counts_the_others_that_live(tmp_path: Path) -> None:
    code = "import sys; from pathlib import Path; from latchspoke.net.kin import Kin\n"
    code += "k = Kin(Path(sys.argv[1]), 'n', ('a', 1)); print(k.others(), flush=True); sys.stdin.read()"
    own = Kin(tmp_path, "n", ("a", 1))
    assert own.others() == 0
    command = [sys.executable, "-c", code, str(tmp_path)]
    other = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert other.stdout is not None
    assert other.stdout.readline() == b"1\n" and own.others() == 1
    other.communicate()
    assert own.others() == 0
    own.close()


def test_notes_that_can_t_be_read_change_nothing(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    kin = Kin(tmp_path, "n", ("a", 1))
    with kin.changing() as notes:
        notes.seen["s1"] = None
        notes.enter("s1", 5.0)
    kin.path.write_text('{"out": {')
    assert not kin.changed() and kin.notes.out == {"s1": 5.0}
    assert "can't be read" in caplog.text
    kin.close()


def test_the_new_process_goes_on_from_what_the_old_one_has_learnt(tmp_path: Path) -> None:
    old, new = World(tmp_path), World(tmp_path)
    old.listed("s1:1:0", "s2:2:0", "s3:3:0")
    assert new.node.kin is not None and old.node.kin is not None
    old.node.server = cast(asyncio.Server, old)
    old.node.ready()
    was, now = old.node.core.gateway, old.player.clock.now()
    was.in_flight_limit, was.latency, was.slow_share, was.mean_in_flight, was.slowdowns["read"] = (
        2.5,
        0.1,
        0.25,
        7.0,
        1.5,
    )
    was.servers["s1"].health.restore(4.0, 0.5, now)
    pool = was.servers["s1"].group
    pool.restore(1.2, 0.1, now)
    pool.answered_units, pool.size_weighted_units, pool.server_time, pool.accounted_at = (
        240.0,
        240.0,
        24.0,
        now,
    )
    assert new.node.kin.learnt() is None  # not while it is alone
    old.node.kin.others = lambda: 1  # type: ignore[method-assign]
    old.player.clock.advance(0.11)
    learnt = new.node.kin.learnt()
    assert learnt is not None and learnt["limit"] == 2.5 and learnt["ratios"] == {"read": 1.5}

    # A server that has started again since is another one.
    new.listed("s2:2:0", "s3:3:1700000000000", "s1:1:0")
    learnt["servers"]["s3"][1] = 9.0
    heir = new.node.core.gateway
    heir.restore_learned(learnt, now)
    assert (heir.in_flight_limit, heir.latency, heir.slow_share, heir.mean_in_flight) == (2.5, 0.1, 0.25, 7.0)
    assert heir.servers["s1"].health.slowdown == 4.0 and heir.servers["s1"].health.current_error_rate(
        now
    ) == pytest.approx(0.5, rel=0.01)
    assert heir.servers["s3"].health.slowdown == 1.0
    # What a cold server is given is a part of what the warm ones were seen to do.
    entry = heir.servers["s2"].entry
    assert heir.unit_rate(entry) == pytest.approx(was.unit_rate(entry)) == pytest.approx(10.0)

    path = new.node.kin.path.with_suffix(".learnt")
    stand = learnt["pools"][0][0]
    bad: list[dict[str, object]] = [
        {"limit": -1}, {"latency": "x"}, {"slow": 2}, {"busy": float("nan")}, {"servers": {"s1": [0, 1]}},
        {"servers": {"s1": [0, 0, 0]}}, {"pools": [[stand, [1, 0, 1, 1, 0]]]}, {"pools": 3},
    ]  # fmt: skip
    for broken in ("", "{}", *(json.dumps(learnt | change) for change in bad)):
        path.write_text(broken)
        assert new.node.kin.learnt() is None, broken
    path.write_text(json.dumps(learnt))
    assert new.node.kin.learnt() == learnt
    os.utime(path, (1.0, 1.0))
    assert new.node.kin.learnt() is None


def test_two_processes_hold_the_limits_of_one(tmp_path: Path) -> None:
    old = World(tmp_path)
    alone = old.node.shared.sockets.most
    new = World(tmp_path)  # in one process the locks don't tell the two apart
    for world in (old, new):
        assert world.node.kin is not None
        world.node.kin.others = lambda: 1  # type: ignore[method-assign]
        world.player.clock.advance(0.2)
    reserve = old.node.shared.sockets.RESERVE
    assert sum(world.node.shared.sockets.most + reserve for world in (old, new)) <= alone + reserve
    # They name the same counts, and what one may still spend of a ceiling at its start the other never holds.
    request = api.Request("r", "c", "read", "basic", units=1.0, left=3.0, spread=2)
    plan = api.PlanSettings("basic", rate=1.0, burst=2.0, ceiling_rate=4.0, ceiling_burst=40.0)
    first, second = (world.node.core.gateway.open_account(request, plan, 5.0) for world in (old, new))
    assert first.counter_name(first.admitted) == second.counter_name(second.admitted)
    share = (plan.ceiling_burst - first.capacity) / first.spread
    first.advance(1000.0)
    assert first.ceiling_allowance + second.ceiling_allowance <= share + 1e-9


def test_two_processes_keep_a_customer_s_quota_as_one() -> None:
    """By the counter, whose numbers both name alike: a second process is not a second quota."""

    def admitted(*processes: Bench) -> int:
        totals: dict[int, float] = {}
        sent = 0
        for number in range(200):
            bench = processes[number % len(processes)]
            bench.now = 1000.0 + 0.02 * number
            todo = bench.ask(plan="plan", spread=2)
            while todo:
                action = todo.pop(0)
                if isinstance(action, api.AddCount):
                    totals[action.name] = totals.get(action.name, 0.0) + action.amount
                    told = api.CountAnswer(action.name, api.Code.OK, 0.001, totals[action.name])
                    todo += bench.give(told)
                elif isinstance(action, api.Send):
                    sent += 1
                    todo += bench.end(action, api.Code.OK, took=0.0)
        return sent

    alone = admitted(Bench(seed=1))
    together = admitted(Bench(seed=2), Bench(seed=3))
    assert 10 <= alone <= 16 and together < 1.5 * alone  # a burst of 6, and 2 a second for 4 s
