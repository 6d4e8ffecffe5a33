"""Replacing a gateway process by another one at the same address must not lose requests or state."""

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
from latchspoke.net.process_group import ProcessGroup
from tests.agent.harness import free_port
from tests.conftest import Bench
from tests.operations.test_operator_api import OperatorApiSetup
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


def wait_until_ready(process: subprocess.Popen[bytes], operator_port: int) -> None:
    for _ in range(100):
        assert process.poll() is None, "the process has ended"
        try:
            if call(operator_port, "GET /status")[0] == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError("never ready")


class GatewayProcesses:
    """Starts processes of one gateway, with a common address and folder."""

    def __init__(self, folder: Path, targets: list[int]) -> None:
        self.folder, self.listen = folder, free_port()
        file = configuration({}) | {"listen": f"127.0.0.1:{self.listen}", "discovery": "127.0.0.1:9"}
        file["known"]["instances"] = [
            {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": "in_service"}
            for name, port in zip(TARGETS, targets, strict=True)
        ]
        (folder / "config.json").write_text(json.dumps(file))
        self.started: list[subprocess.Popen[bytes]] = []

    def start(self) -> tuple[subprocess.Popen[bytes], int]:
        operator_port = free_port()
        env = os.environ | {
            "GW_CONFIG": str(self.folder / "config.json"),
            "GW_CONTROL": f"127.0.0.1:{operator_port}",
            "TMPDIR": str(self.folder),
        }
        log = (self.folder / f"log{len(self.started)}").open("wb")
        command = [sys.executable, "-m", "latchspoke", "serve"]
        process = subprocess.Popen(command, env=env, stderr=log, stdout=log)
        self.started.append(process)
        wait_until_ready(process, operator_port)
        return process, operator_port


@contextmanager
def gateway_processes(folder: Path, targets: list[int]) -> Iterator[GatewayProcesses]:
    processes = GatewayProcesses(folder, targets)
    try:
        yield processes
    finally:
        for process in processes.started:
            process.kill()
            process.wait()


async def serve_target(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while line := await reader.readuntil(b"\r\n\r\n"):
            request_id = line.partition(b"Req-Id: ")[2].partition(b"\r\n")[0]
            await asyncio.sleep(0.15)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(request_id), request_id))
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def send_request(
    port: int, request_id: str, idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
) -> bytes:
    reader, writer = (
        idle_connections.pop() if idle_connections else await asyncio.open_connection("127.0.0.1", port)
    )
    writer.write(
        f"GET /read?key=1 HTTP/1.1\r\nReq-Id: {request_id}\r\nReq-Kind: read\r\nX-Tier: basic\r\n"
        "Req-Deadline: 3\r\n\r\n".encode()
    )
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
    body = await reader.readexactly(size)
    if b"Connection: close" in head:
        writer.close()
    else:
        idle_connections.append((reader, writer))
    return head.split()[1] + b" " + body


def test_replacement_under_load_loses_no_requests(tmp_path: Path) -> None:
    async def main() -> tuple[list[str], list[bytes]]:
        targets = [await asyncio.start_server(serve_target, "127.0.0.1", 0) for _ in TARGETS]
        ports = [server.sockets[0].getsockname()[1] for server in targets]
        with gateway_processes(tmp_path, ports) as processes:
            old, operator_port = await asyncio.to_thread(processes.start)
            assert (await asyncio.to_thread(call, operator_port, "PUT /maintenance/enter/s2"))[0] == 200
            idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            requests: list[tuple[str, asyncio.Task[bytes]]] = []

            async def load(seconds: float) -> None:
                end = time.monotonic() + seconds
                while time.monotonic() < end:
                    request_id = f"r{len(requests)}"
                    requests.append(
                        (
                            request_id,
                            asyncio.create_task(send_request(processes.listen, request_id, idle_connections)),
                        )
                    )
                    await asyncio.sleep(0.02)

            running = asyncio.create_task(load(4.0))
            await asyncio.sleep(0.5)
            new, new_operator_port = await asyncio.to_thread(processes.start)
            old.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            # While draining, the old process is not ready but still accepts maintenance calls.
            assert (await asyncio.to_thread(call, operator_port, "GET /status"))[0] == 503
            assert (await asyncio.to_thread(call, operator_port, "PUT /maintenance/enter/s2"))[0] == 200
            assert await asyncio.to_thread(old.wait, 5) == 0
            await running
            answers = await asyncio.gather(*(task for _, task in requests))
            figures = (await asyncio.to_thread(call, new_operator_port, "GET /status/metrics"))[1]
            assert b"app.cluster_unhealthy:1|g\n" in figures and b"app.cluster_size:2|g\n" in figures
            new.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(new.wait, 5) == 0
            return [request_id for request_id, _ in requests], answers

    request_ids, answers = asyncio.run(main())
    assert len(request_ids) > 50
    assert answers == [f"200 {request_id}".encode() for request_id in request_ids]


def test_maintenance_survives_a_killed_process(tmp_path: Path) -> None:
    with gateway_processes(tmp_path, [9, 9]) as processes:
        first, operator_port = processes.start()
        assert call(operator_port, "PUT /maintenance/enter/s1")[0] == 200
        first.kill()
        first.wait()
        _, operator_port = processes.start()
        assert b"app.cluster_unhealthy:1|g\n" in call(operator_port, "GET /status/metrics")[1]


def test_processes_count_running_peers(tmp_path: Path) -> None:
    code = "import sys; from pathlib import Path; from latchspoke.net.process_group import ProcessGroup\n"
    code += (
        "k = ProcessGroup(Path(sys.argv[1]), 'n', ('a', 1)); "
        "print(k.count_others(), flush=True); sys.stdin.read()"
    )
    own_group = ProcessGroup(tmp_path, "n", ("a", 1))
    assert own_group.count_others() == 0
    command = [sys.executable, "-c", code, str(tmp_path)]
    other = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert other.stdout is not None
    assert other.stdout.readline() == b"1\n" and own_group.count_others() == 1
    other.communicate()
    assert own_group.count_others() == 0
    own_group.close()


def test_unreadable_maintenance_record_is_ignored(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    process_group = ProcessGroup(tmp_path, "n", ("a", 1))
    with process_group.update() as maintenance:
        maintenance.known_servers["s1"] = None
        maintenance.enter("s1", 5.0)
    process_group.path.write_text('{"out": {')
    assert not process_group.reload_if_changed() and process_group.maintenance.in_maintenance == {"s1": 5.0}
    assert "can't be read" in caplog.text
    process_group.close()


def test_new_process_restores_the_learned_state_of_the_old_one(tmp_path: Path) -> None:
    old, new = OperatorApiSetup(tmp_path), OperatorApiSetup(tmp_path)
    old.list_servers("s1:1:0", "s2:2:0", "s3:3:0")
    assert new.node.process_group is not None and old.node.process_group is not None
    old.node.server = cast(asyncio.Server, old)
    old.node.update_readiness()
    old_gateway, now = old.node.core.gateway, old.player.clock.now()
    (
        old_gateway.in_flight_limit,
        old_gateway.latency,
        old_gateway.slow_share,
        old_gateway.mean_in_flight,
        old_gateway.slowdowns["read"],
    ) = (
        2.5,
        0.1,
        0.25,
        7.0,
        1.5,
    )
    old_gateway.servers["s1"].health.restore(4.0, 0.5, now)
    pool = old_gateway.servers["s1"].group
    pool.restore(1.2, 0.1, now)
    pool.answered_units, pool.size_weighted_units, pool.server_time, pool.accounted_at = (
        240.0,
        240.0,
        24.0,
        now,
    )
    assert new.node.process_group.load_learned() is None  # nothing is written without another process
    old.node.process_group.count_others = lambda: 1  # type: ignore[method-assign]
    old.player.clock.advance(0.11)
    learned = new.node.process_group.load_learned()
    assert learned is not None and learned["limit"] == 2.5 and learned["ratios"] == {"read": 1.5}

    # The learned state of a server is not applied after the server has restarted.
    new.list_servers("s2:2:0", "s3:3:1700000000000", "s1:1:0")
    learned["servers"]["s3"][1] = 9.0
    successor_gateway = new.node.core.gateway
    successor_gateway.restore_learned(learned, now)
    assert (
        successor_gateway.in_flight_limit,
        successor_gateway.latency,
        successor_gateway.slow_share,
        successor_gateway.mean_in_flight,
    ) == (2.5, 0.1, 0.25, 7.0)
    assert successor_gateway.servers["s1"].health.slowdown == 4.0 and successor_gateway.servers[
        "s1"
    ].health.current_error_rate(now) == pytest.approx(0.5, rel=0.01)
    assert successor_gateway.servers["s3"].health.slowdown == 1.0
    # The rate of a cold server derives from the restored rate of its pool.
    entry = successor_gateway.servers["s2"].entry
    assert (
        successor_gateway.unit_rate(entry)
        == pytest.approx(old_gateway.unit_rate(entry))
        == pytest.approx(10.0)
    )

    path = new.node.process_group.path.with_suffix(".learnt")
    pool_label = learned["pools"][0][0]
    bad: list[dict[str, object]] = [
        {"limit": -1}, {"latency": "x"}, {"slow": 2}, {"busy": float("nan")}, {"servers": {"s1": [0, 1]}},
        {"servers": {"s1": [0, 0, 0]}}, {"pools": [[pool_label, [1, 0, 1, 1, 0]]]}, {"pools": 3},
    ]  # fmt: skip
    for broken in ("", "{}", *(json.dumps(learned | change) for change in bad)):
        path.write_text(broken)
        assert new.node.process_group.load_learned() is None, broken
    path.write_text(json.dumps(learned))
    assert new.node.process_group.load_learned() == learned
    os.utime(path, (1.0, 1.0))
    assert new.node.process_group.load_learned() is None


def test_two_processes_share_the_limits_of_one(tmp_path: Path) -> None:
    old = OperatorApiSetup(tmp_path)
    alone = old.node.context.sockets.max_used
    new = OperatorApiSetup(tmp_path)  # locks of one process do not exclude each other
    for world in (old, new):
        assert world.node.process_group is not None
        world.node.process_group.count_others = lambda: 1  # type: ignore[method-assign]
        world.player.clock.advance(0.2)
    reserve = old.node.context.sockets.RESERVED
    assert sum(world.node.context.sockets.max_used + reserve for world in (old, new)) <= alone + reserve
    # They use the same counters, and together they never spend more than one share of the ceiling.
    request = api.Request("r", "c", "read", "basic", units=1.0, left=3.0, spread=2)
    plan = api.PlanSettings("basic", rate=1.0, burst=2.0, ceiling_rate=4.0, ceiling_burst=40.0)
    first, second = (world.node.core.gateway.open_account(request, plan, 5.0) for world in (old, new))
    assert first.counter_name(first.admitted) == second.counter_name(second.admitted)
    share = (plan.ceiling_burst - first.capacity) / first.spread
    first.advance(1000.0)
    assert first.ceiling_allowance + second.ceiling_allowance <= share + 1e-9


def test_two_processes_share_a_customer_quota() -> None:
    """Both processes use the same counters, so a second process must not add a second quota."""

    def admitted(*processes: Bench) -> int:
        totals: dict[int, float] = {}
        sent = 0
        for number in range(200):
            bench = processes[number % len(processes)]
            bench.now = 1000.0 + 0.02 * number
            pending_actions = bench.ask(plan="plan", spread=2)
            while pending_actions:
                action = pending_actions.pop(0)
                if isinstance(action, api.AddCount):
                    totals[action.name] = totals.get(action.name, 0.0) + action.amount
                    answer = api.CountAnswer(action.name, api.Code.OK, 0.001, totals[action.name])
                    pending_actions += bench.send_event(answer)
                elif isinstance(action, api.Send):
                    sent += 1
                    pending_actions += bench.end(action, api.Code.OK, took=0.0)
        return sent

    alone = admitted(Bench(seed=1))
    together = admitted(Bench(seed=2), Bench(seed=3))
    assert 10 <= alone <= 16 and together < 1.5 * alone  # a burst of 6, and 2 a second for 4 s
