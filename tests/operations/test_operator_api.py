"""The operator API: its calls, its metrics, and servers in maintenance."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from latchspoke.net.metrics import format_metrics
from latchspoke.net.operator_api import OperatorApi
from latchspoke.net.process_group import ProcessGroup
from tests.operations.test_settings_reload import send_request
from tests.player import Player

LISTEN = ("127.0.0.1", 1)


class OperatorApiSetup:
    """A gateway whose operator API is called directly, without sockets."""

    def __init__(self, folder: Path, targets: int = 1) -> None:
        self.player = Player({"targets": targets})
        self.node = self.player.node
        self.node.process_group = ProcessGroup(folder, "n0", LISTEN)
        self.node.start()
        self.operator_api = OperatorApi(cast(asyncio.AbstractEventLoop, self.player.clock.loop), self.node)
        self.player.step("dial w 127.0.0.2:2")
        self.player.dialled.clear()

    def call(self, text: str) -> int:
        method, url = text.encode().split()
        status = self.operator_api.reply(method, url)[0]
        self.player.report_closed()
        return status

    def metrics(self) -> dict[str, int]:
        return {
            name: int(n) for name, n in re.findall(r"app\.(\S+):(\d+)\|[cg]\n", format_metrics(self.node))
        }

    def list_servers(self, *entries: str) -> None:
        items = ",".join(
            f'{{"instanceId":"{name}","hostPort":"127.0.0.9:{port}","lifecycle":"in_service","startedAtMs":{at}}}'
            for name, port, at in (entry.split(":") for entry in entries)
        )
        line = f'{{"generation":50,"reset":true,"instances":[{items}]}}\\n'
        size = f"{len(line) - 1:x}"
        transport = self.player.transports["w"]
        if not getattr(self, "headed", False):
            self.headed = True
            self.player.step("w > HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n")
        self.player.step(f"w > {size}\\r\\n{line}\\r\\n")
        assert not transport.ended


@pytest.fixture
def setup(tmp_path: Path) -> OperatorApiSetup:
    return OperatorApiSetup(tmp_path)


def test_unknown_calls_get_a_client_error(setup: OperatorApiSetup) -> None:
    for text in ("GET /", "GET /statuses", "PUT /status", "GET /maintenance/enter/s1", "PUT /maintenance/s1"):
        assert 400 <= setup.call(text) < 500, text


def test_status_reports_whether_this_process_accepts_clients(setup: OperatorApiSetup) -> None:
    assert setup.call("GET /status") == 503
    setup.node.server = cast(asyncio.Server, setup)
    setup.node.update_readiness()
    assert setup.call("GET /status") == 200
    setup.node.server = None
    setup.node.stop()
    assert setup.call("GET /status") == 503
    # A draining process still accepts maintenance calls, which apply to all processes of the gateway.
    assert setup.call("PUT /maintenance/enter/s1") == 200
    assert setup.call("GET /status/metrics") == 200


def test_maintenance_calls_are_idempotent(setup: OperatorApiSetup) -> None:
    for _ in range(3):
        assert setup.call("PUT /maintenance/enter/s1") == 200
    assert setup.metrics()["cluster_unhealthy"] == 1
    assert setup.call("PUT /maintenance/exit/s1") == 200
    assert setup.call("PUT /maintenance/exit/s1") == 200
    assert setup.metrics()["cluster_unhealthy"] == 0


def test_maintenance_of_an_unknown_server_is_rejected(setup: OperatorApiSetup) -> None:
    assert setup.call("PUT /maintenance/enter/s9") == 404
    assert setup.call("PUT /maintenance/exit/s9") == 404
    setup.list_servers("s9:1:0")
    setup.list_servers("s1:1:0")
    assert setup.call("PUT /maintenance/enter/s9") == 200  # it was listed before


def test_servers_in_maintenance_get_no_requests_after_list_changes(setup: OperatorApiSetup) -> None:
    setup.list_servers("s1:1:0", "s2:2:0")
    setup.call("PUT /maintenance/enter/s1")
    for number, entries in enumerate((("s1:1:0", "s2:2:0"), ("s2:2:0",), ("s1:1:1800000000000", "s2:2:0"))):
        setup.list_servers(*entries)
        send_request(setup.player, f"c{number}", f"a{number}", "read")
        setup.player.step(f"dial t{number} 127.0.0.9:2")
        setup.player.step(f"t{number} < GET *")
    setup.call("PUT /maintenance/enter/s2")
    send_request(setup.player, "last", "last", "read")
    setup.player.step("last < HTTP/1.1 429 *")


def test_maintenance_redirects_an_attempt_that_waits_for_its_connection(setup: OperatorApiSetup) -> None:
    send_request(setup.player, "c1", "a1", "read")
    setup.player.step("dial t1 127.0.0.9:1 held")
    setup.list_servers("s1:1:0", "s2:2:0")
    setup.call("PUT /maintenance/enter/s1")
    setup.player.step("up t1")
    setup.player.step("dial t2 127.0.0.9:2")
    setup.player.step("t2 < GET *")
    assert not setup.player.transports["t1"].written


def test_maintenance_survives_restarts_and_is_shared_between_processes(tmp_path: Path) -> None:
    old = OperatorApiSetup(tmp_path)
    old.call("PUT /maintenance/enter/s1")
    new = OperatorApiSetup(tmp_path)
    assert new.metrics()["cluster_unhealthy"] == 1
    new.call("PUT /maintenance/exit/s1")
    old.player.clock.advance(0.11)
    assert old.metrics()["cluster_unhealthy"] == 0
    old.call("PUT /maintenance/enter/s1")
    new.player.clock.advance(0.11)
    assert new.metrics()["cluster_unhealthy"] == 1


def test_server_back_in_service_is_cold_until_a_list_shows_its_start_time(setup: OperatorApiSetup) -> None:
    gateway, now = setup.node.core.gateway, setup.player.clock.now
    setup.call("PUT /maintenance/enter/s1")
    setup.player.clock.advance(0.5)
    setup.call("PUT /maintenance/exit/s1")
    assert gateway.warmup_capacity(gateway.servers["s1"], now()) == pytest.approx(0.2)
    assert [server.entry.server for server in gateway.cold] == ["s1"]
    setup.list_servers(f"s1:1:{int((now() - 0.25) * 1000)}")
    assert gateway.warmup_capacity(gateway.servers["s1"], now()) == pytest.approx(0.4)
    setup.player.clock.advance(1.1)
    assert gateway.warmup_capacity(gateway.servers["s1"], now()) == 1.0


def test_maintenance_that_cannot_be_stored_is_not_applied(
    setup: OperatorApiSetup, monkeypatch: pytest.MonkeyPatch
) -> None:
    def full(*args: Any) -> None:
        raise OSError(28, "no space")

    monkeypatch.setattr("latchspoke.net.process_group.os.replace", full)
    assert setup.call("PUT /maintenance/enter/s1") == 500
    assert setup.metrics()["cluster_unhealthy"] == 0


def test_metrics_match_an_independent_count(setup: OperatorApiSetup) -> None:
    own_counts = {"answered": 0, "deferred": 0, "errored": 0}
    answers = {"answered": "200 OK", "deferred": "503 X\\r\\nSrv-Declined: 1", "errored": "404 X"}
    for number, outcome in enumerate(("answered", "errored", "answered", "deferred", "answered")):
        setup.player.clock.advance(0.02)
        send_request(setup.player, f"c{number}", f"a{number}", "read")
        assert setup.metrics()["current"] == 1
        for _ in range(3 if outcome == "deferred" else 1):
            for connection, _address in setup.player.dialled:
                name = f"t{len(setup.player.transports)}"
                setup.player.expect_dial(name, "127.0.0.9:1")
                assert connection is setup.player.transports[name].connection
            transports = setup.player.transports.items()
            busy = next(name for name, transport in transports if transport.written.startswith(b"GET /read"))
            setup.player.transports[busy].written = b""
            setup.player.step(f"{busy} > HTTP/1.1 {answers[outcome]}\\r\\nContent-Length: 0\\r\\n\\r\\n")
        own_counts[outcome] += 1
        metrics = setup.metrics()
        assert {name: metrics[f"{name}.read"] for name in own_counts} == own_counts
        assert metrics["current"] == 0
    assert setup.metrics()["sends"] == 7
    assert setup.metrics()["cluster_size"] == 1


def with_operator_api(use: Callable[[int], Any]) -> Any:
    """Serve the operator API over TCP, and run ``use`` with its port in a thread."""

    async def main() -> Any:
        gateway = Player({})
        operator_api = OperatorApi(asyncio.get_running_loop(), gateway.node)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        await operator_api.start(("127.0.0.1", port))
        try:
            return await asyncio.to_thread(use, port)
        finally:
            operator_api.stop()

    return asyncio.run(main())


def exchange(port: int, text: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(text)
        answer = b""
        while piece := sock.recv(65536):
            answer += piece
        return answer


def test_one_request_per_connection_split_and_with_a_body() -> None:
    def use(port: int) -> None:
        call = b"GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        assert exchange(port, call + call).count(b"HTTP/1.1 ") == 1
        assert (
            exchange(port, b"PUT /maintenance/enter/a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi")[9:12]
            == b"404"
        )
        assert exchange(port, b"nonsense\r\n\r\n")[9:12] == b"400"
        with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
            for place in range(len(call)):
                sock.sendall(call[place : place + 1])
            assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")

    with_operator_api(use)


def test_silent_connections_do_not_block_others() -> None:
    def use(port: int) -> float:
        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(40)]
        begun = time.monotonic()
        assert exchange(port, b"GET /status HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 503 ")
        for sock in silent:
            sock.close()
        return time.monotonic() - begun

    assert with_operator_api(use) < 1.0
