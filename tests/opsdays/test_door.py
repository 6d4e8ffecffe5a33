"""The operators' door: its calls, its figures, and servers out by hand."""

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
from tests.opsdays.test_settings import ask
from tests.player import Player

LISTEN = ("127.0.0.1", 1)


class World:
    """A gateway with a door whose calls are made directly."""

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
        self.player.settle()
        return status

    def metrics(self) -> dict[str, int]:
        return {
            name: int(n) for name, n in re.findall(r"app\.(\S+):(\d+)\|[cg]\n", format_metrics(self.node))
        }

    def listed(self, *entries: str) -> None:
        items = ",".join(
            f'{{"instanceId":"{name}","hostPort":"127.0.0.9:{port}","lifecycle":"in_service","startedAtMs":{at}}}'
            for name, port, at in (entry.split(":") for entry in entries)
        )
        line = f'{{"generation":50,"reset":true,"instances":[{items}]}}\\n'
        size = f"{len(line) - 1:x}"
        link = self.player.links["w"]
        if not getattr(self, "headed", False):
            self.headed = True
            self.player.step("w > HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n")
        self.player.step(f"w > {size}\\r\\n{line}\\r\\n")
        assert not link.ended


@pytest.fixture
def world(tmp_path: Path) -> World:
    return World(tmp_path)


def test_what_is_no_call_is_answered_no(world: World) -> None:
    for text in ("GET /", "GET /statuses", "PUT /status", "GET /maintenance/enter/s1", "PUT /maintenance/s1"):
        assert 400 <= world.call(text) < 500, text


def test_status_tells_whether_this_process_takes_clients(world: World) -> None:
    assert world.call("GET /status") == 503
    world.node.server = cast(asyncio.Server, world)
    world.node.update_readiness()
    assert world.call("GET /status") == 200
    world.node.server = None
    world.node.stop()
    assert world.call("GET /status") == 503
    # One that leaves still takes an operator's word, as the ban is the gateway's and not its own.
    assert world.call("PUT /maintenance/enter/s1") == 200
    assert world.call("GET /status/metrics") == 200


def test_calls_out_may_be_repeated_and_one_call_back_ends_them(world: World) -> None:
    for _ in range(3):
        assert world.call("PUT /maintenance/enter/s1") == 200
    assert world.metrics()["cluster_unhealthy"] == 1
    assert world.call("PUT /maintenance/exit/s1") == 200
    assert world.call("PUT /maintenance/exit/s1") == 200
    assert world.metrics()["cluster_unhealthy"] == 0


def test_an_id_never_listed_is_owed_a_no(world: World) -> None:
    assert world.call("PUT /maintenance/enter/s9") == 404
    assert world.call("PUT /maintenance/exit/s9") == 404
    world.listed("s9:1:0")
    world.listed("s1:1:0")
    assert world.call("PUT /maintenance/enter/s9") == 200  # it was, once


def test_nothing_goes_to_a_server_out_by_hand_whatever_the_list_says(world: World) -> None:
    world.listed("s1:1:0", "s2:2:0")
    world.call("PUT /maintenance/enter/s1")
    for number, entries in enumerate((("s1:1:0", "s2:2:0"), ("s2:2:0",), ("s1:1:1800000000000", "s2:2:0"))):
        world.listed(*entries)
        ask(world.player, f"c{number}", f"a{number}", "read")
        world.player.step(f"dial t{number} 127.0.0.9:2")
        world.player.step(f"t{number} < GET *")
    world.call("PUT /maintenance/enter/s2")
    ask(world.player, "last", "last", "read")
    world.player.step("last < HTTP/1.1 429 *")


def test_an_attempt_that_waits_for_its_connection_goes_elsewhere(world: World) -> None:
    ask(world.player, "c1", "a1", "read")
    world.player.step("dial t1 127.0.0.9:1 held")
    world.listed("s1:1:0", "s2:2:0")
    world.call("PUT /maintenance/enter/s1")
    world.player.step("up t1")
    world.player.step("dial t2 127.0.0.9:2")
    world.player.step("t2 < GET *")
    assert not world.player.links["t1"].written


def test_a_ban_outlives_the_process_and_binds_the_other_one(tmp_path: Path) -> None:
    old = World(tmp_path)
    old.call("PUT /maintenance/enter/s1")
    new = World(tmp_path)
    assert new.metrics()["cluster_unhealthy"] == 1
    new.call("PUT /maintenance/exit/s1")
    old.player.clock.advance(0.11)
    assert old.metrics()["cluster_unhealthy"] == 0
    old.call("PUT /maintenance/enter/s1")
    new.player.clock.advance(0.11)
    assert new.metrics()["cluster_unhealthy"] == 1


def test_a_server_put_back_counts_as_cold_until_a_list_tells_of_its_start(world: World) -> None:
    gateway, now = world.node.core.gateway, world.player.clock.now
    world.call("PUT /maintenance/enter/s1")
    world.player.clock.advance(0.5)
    world.call("PUT /maintenance/exit/s1")
    assert gateway.warmup_capacity(gateway.servers["s1"], now()) == pytest.approx(0.2)
    assert [server.entry.server for server in gateway.cold] == ["s1"]
    world.listed(f"s1:1:{int((now() - 0.25) * 1000)}")
    assert gateway.warmup_capacity(gateway.servers["s1"], now()) == pytest.approx(0.4)
    world.player.clock.advance(1.1)
    assert gateway.warmup_capacity(gateway.servers["s1"], now()) == 1.0


def test_a_ban_that_can_t_be_kept_is_not_taken(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    def full(*args: Any) -> None:
        raise OSError(28, "no space")

    monkeypatch.setattr("latchspoke.net.process_group.os.replace", full)
    assert world.call("PUT /maintenance/enter/s1") == 500
    assert world.metrics()["cluster_unhealthy"] == 0


def test_figures_are_true_by_an_own_count(world: World) -> None:
    own = {"answered": 0, "deferred": 0, "errored": 0}
    answers = {"answered": "200 OK", "deferred": "503 X\\r\\nSrv-Declined: 1", "errored": "404 X"}
    for number, end in enumerate(("answered", "errored", "answered", "deferred", "answered")):
        world.player.clock.advance(0.02)
        ask(world.player, f"c{number}", f"a{number}", "read")
        assert world.metrics()["current"] == 1
        for _ in range(3 if end == "deferred" else 1):
            for connection, _address in world.player.dialled:
                name = f"t{len(world.player.links)}"
                world.player.expect_dial(name, "127.0.0.9:1")
                assert connection is world.player.links[name].connection
            links = world.player.links.items()
            busy = next(name for name, link in links if link.written.startswith(b"GET /read"))
            world.player.links[busy].written = b""
            world.player.step(f"{busy} > HTTP/1.1 {answers[end]}\\r\\nContent-Length: 0\\r\\n\\r\\n")
        own[end] += 1
        told = world.metrics()
        assert {name: told[f"{name}.read"] for name in own} == own
        assert told["current"] == 0
    assert world.metrics()["sends"] == 7
    assert world.metrics()["cluster_size"] == 1


def with_operator_api(use: Callable[[int], Any]) -> Any:
    """A real door of a gateway that has nothing else; ``use`` runs beside its loop."""

    async def main() -> Any:
        world = Player({})
        operator_api = OperatorApi(asyncio.get_running_loop(), world.node)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        await operator_api.start(("127.0.0.1", port))
        try:
            return await asyncio.to_thread(use, port)
        finally:
            operator_api.stop()

    return asyncio.run(main())


def told(port: int, text: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(text)
        answer = b""
        while piece := sock.recv(65536):
            answer += piece
        return answer


def test_one_call_to_a_connection_in_pieces_and_with_a_body() -> None:
    def use(port: int) -> None:
        call = b"GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        assert told(port, call + call).count(b"HTTP/1.1 ") == 1
        assert told(port, b"PUT /maintenance/enter/a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi")[9:12] == b"404"
        assert told(port, b"nonsense\r\n\r\n")[9:12] == b"400"
        with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
            for place in range(len(call)):
                sock.sendall(call[place : place + 1])
            assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")

    with_operator_api(use)


def test_callers_that_say_nothing_keep_nobody_out() -> None:
    def use(port: int) -> float:
        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(40)]
        begun = time.monotonic()
        assert told(port, b"GET /status HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 503 ")
        for sock in silent:
            sock.close()
        return time.monotonic() - begun

    assert with_operator_api(use) < 1.0
