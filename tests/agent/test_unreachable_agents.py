"""Unreachable agents, unusable stores, differing instances and invalid arguments."""

from __future__ import annotations

import contextlib
import json
import os
import resource
import signal
import socket
import sqlite3
import subprocess
import sys
import threading
import time
from collections.abc import Iterable, Iterator
from pathlib import Path

import pytest

from tests.agent.harness import FleetHarness, details, wait_until


@contextlib.contextmanager
def fake_agent(path: Path, answer: bytes | None) -> Iterator[list[float]]:
    """A socket that gives each request the same answer, or none; yields the times of the requests."""
    server, request_times, connections = socket.socket(socket.AF_UNIX), [], []
    server.bind(str(path))
    server.listen(64)

    def serve() -> None:
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            connections.append(connection)
            request_times.append(time.monotonic())
            if answer is not None:
                connection.recv(65536)
                connection.sendall(answer)
                connection.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield request_times
    finally:
        server.shutdown(socket.SHUT_RDWR)
        server.close()
        thread.join(5)
        for connection in connections:
            connection.close()


def http_response(body: bytes, headers: bytes = b"", status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


FAILURES = {
    "no answer within 1 s": None,
    "can't connect": b"none",
    "invalid answer": b"\x16\x03\x01 what is this\r\n\r\n",
    "invalid answer (": http_response(b'{"agent": 7}', b"Latchspoke-Interface: 1\r\n"),
    "speaks interface 0, this tool speaks 1": http_response(b"{}", b"Latchspoke-Interface: 0\r\n", b"426 X"),
    "speaks no known interface": http_response(b"<html>"),
}


@pytest.mark.parametrize("error", FAILURES)
def test_instances_of_an_unreachable_agent_are_unknown(fleet: FleetHarness, error: str) -> None:
    host, other = fleet.host("h1"), fleet.base / "other.sock"
    host.fake_gateway("g1")
    host.fake_gateway("g2")
    fleet.start().ready("h1/g1", "h1/g2")
    fleet.write(h2=other)
    answer = FAILURES[error]
    with contextlib.ExitStack() as stack:
        request_times = stack.enter_context(fake_agent(other, answer)) if answer != b"none" else []
        code, output = fleet.tool("list")
        assert code == 4 and any(error in line for line in output["remarks"]), output["remarks"]
        # Instances of reachable agents are listed all the same.
        assert {i["id"] for i in output["instances"]} == {"h1/g1", "h1/g2"}
        assert len(request_times) <= 1  # not retried
        code, output = fleet.tool("compare")
        assert code == 4 and error in output["silent"][0] and not output["agree"]


def expect_changes(lines: Iterable[str], *wanted: tuple[str, str]) -> None:
    """Read until each of these changes was printed; others may only be to ``unknown``."""
    missing = set(wanted)
    while missing:
        change = json.loads(next(iter(lines)))
        matching = {
            (name, what) for name, what in missing if name == change["id"] and what in change["change"]
        }
        assert matching or "unknown" in change["change"], change
        missing -= matching


def test_roll_is_refused_while_an_agent_is_unreachable(fleet: FleetHarness) -> None:
    for name in ("h1", "h2"):
        fleet.host(name).fake_gateway("g1")
    fleet.start().ready("h1/g1", "h2/g1")
    second = fleet.hosts["h2"]
    assert second.process is not None
    tool = fleet.tool_process("watch")
    assert tool.stdout is not None
    expect_changes(tool.stdout, ("h1/g1", "appeared, ready"), ("h2/g1", "appeared, ready"))
    second.process.send_signal(signal.SIGSTOP)  # it still accepts connections, but does not answer
    code, message = fleet.tool("roll", "--all")
    assert code == 1 and "agent h2: no answer within 1 s; what it runs is unknown" in message
    assert not [e for e in fleet.events("h1") if e.operation]
    assert fleet.hosts["h1"].state("g1") == "ready"
    expect_changes(tool.stdout, ("h2/g1", "ready -> unknown"))
    second.process.send_signal(signal.SIGCONT)
    # Not "silent": the gateway is not blamed for the suspension of its agent.
    expect_changes(tool.stdout, ("h2/g1", "unknown -> ready"))
    tool.send_signal(signal.SIGINT)
    tool.communicate(timeout=20)


def test_watch_tolerates_an_agent_suspended_at_its_start(fleet: FleetHarness) -> None:
    """The first lines may then contain other changes than new instances."""
    for name in ("h1", "h2"):
        fleet.host(name).fake_gateway("g1")
    fleet.start().ready("h1/g1", "h2/g1")
    first, second = fleet.hosts["h1"].process, fleet.hosts["h2"].process
    assert first is not None and second is not None
    second.send_signal(signal.SIGSTOP)
    tool = fleet.tool_process("watch")
    assert tool.stdout is not None
    expect_changes(tool.stdout, ("h1/g1", "appeared, ready"))
    first.send_signal(signal.SIGSTOP)
    expect_changes(tool.stdout, ("h1/g1", "ready -> unknown"))
    for process in (first, second):
        process.send_signal(signal.SIGCONT)
    expect_changes(tool.stdout, ("h2/g1", "appeared, ready"), ("h1/g1", "unknown -> ready"))
    tool.send_signal(signal.SIGINT)
    tool.communicate(timeout=20)


def test_step_of_an_agent_lost_during_a_roll_is_unknown(fleet: FleetHarness) -> None:
    first, second = fleet.host("h1"), fleet.host("h2")
    first.fake_gateway("g1")
    second.fake_gateway("g2", "slow:30", 'limits: {drain: "60s", silent: "600ms", pause: "50ms"}')
    fleet.start().ready("h1/g1", "h2/g2")
    tool = fleet.tool_process("stop", "--all", "--limit", "4s")
    second.wait("g2", "draining")
    assert second.process is not None
    second.process.send_signal(signal.SIGSTOP)
    report = json.loads(tool.communicate(timeout=30)[0])
    assert tool.returncode == 4 and report["state"] == "stopped"
    by_id = {item["id"]: item for item in report["instances"]}
    assert by_id["h1/g1"]["outcome"] == "done"
    outcome = by_id["h2/g2"]
    assert (outcome["outcome"], outcome["state"], outcome["last_known"]) == ("unknown", "unknown", "draining")
    assert outcome["heard_ago"] > 3 and "no answer within 1 s" in outcome["detail"]


def test_compare_reports_differing_settings_and_files_not_loaded(fleet: FleetHarness) -> None:
    for name, plans in (("h1", ("1.0", "1.0")), ("h2", ("2.0", "2.0"))):
        host = fleet.host(name)
        for number, plan in enumerate(plans):
            host.fake_gateway(f"g{number}", f"plan:{plan}")
    fleet.start().ready("h1/g0", "h1/g1", "h2/g0", "h2/g1")
    (fleet.hosts["h2"].folder / "g1.json").write_text("3.0\n")
    code, output = fleet.tool("compare")
    assert code == 3
    (difference,) = output["comparison"]["differences"]
    assert difference["path"] == "settings.plans.duza.rate"
    assert difference["holders"] == [["1.0", ["h1/g0", "h1/g1"]], ["2.0", ["h2/g0", "h2/g1"]]]
    assert output["comparison"]["stale"] == [["h2/g1", "its file has other settings, not taken up"]]


# Stores.


def test_locked_store_refuses_operations_while_gateways_run(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    shell = sqlite3.connect(host.folder / "agent.db", isolation_level=None)
    shell.execute("BEGIN EXCLUSIVE")
    code, report = fleet.tool("restart", "g1")
    assert code == 1 and "store can't be used: database is locked" in report["detail"]
    assert host.state("g1") == "ready"
    # A gateway that ends meanwhile is restarted as soon as that can be stored.
    os.kill(host.pid("g1"), signal.SIGKILL)
    host.wait("g1", "waiting")
    shell.execute("ROLLBACK")
    shell.close()
    host.wait("g1", "ready")
    assert fleet.tool("restart", "g1")[0] == 0
    assert "recorded-late" in {e.kind for e in fleet.events("h1")}


@pytest.mark.parametrize("content", [b"this is no database at all" * 200, b""])
def test_unreadable_store_refuses_operations(fleet: FleetHarness, content: bytes) -> None:
    """With an unreadable store the agent reports status only; an empty file becomes a new store."""
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    pid = host.pid("g1")
    host.kill()
    for file in host.folder.glob("agent.db*"):
        file.unlink()
    (host.folder / "agent.db").write_bytes(content)
    host.start()
    if not content:
        os.kill(pid, signal.SIGKILL)  # its launch is not in the new store
        return
    host.wait("g1", "ready")
    assert host.pid("g1") == pid
    code, report = fleet.tool("stop", "g1")
    assert code == 1 and "file is not a database" in report["detail"]
    assert host.state("g1") == "ready"
    _, output = fleet.tool("list")
    assert any("takes no operations" in line for line in output["remarks"])


def test_full_disk_refuses_operations(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    host.write()
    # A limit on the file size simulates a full disk.
    log = host.base / "h1.log"
    with open(log, "wb") as out:
        host.process = subprocess.Popen(
            [sys.executable, "-m", "latchspoke", "agent", "--config", str(host.file)],
            cwd=Path(__file__).parents[2], stdout=out, stderr=out,
        )  # fmt: skip
    wait_until(lambda: host.socket.exists() or host.process_ended(), "the agent listens")
    fleet.write()
    fleet.ready("h1/g1")
    resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, (4096, resource.RLIM_INFINITY))
    code, report = fleet.tool("restart", "g1")
    assert code == 1 and "the store can't be used" in report["detail"], report
    assert host.state("g1") == "ready" and details(report) == {"h1/g1": ""}
    resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY,) * 2)
    assert fleet.tool("restart", "g1")[0] == 0


# Arguments.


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("drain",), "name what to act on"),
        (("drain", "nobody"), "nothing fits"),
        (("list", "colour=red"), "no such selector"),
        (("roll", "--all", "--wave", "0"), "--wave takes a whole number of at least 1"),
        (("roll", "--all", "--pause", "soon"), "not a duration"),
    ],
)
def test_invalid_arguments_change_nothing(
    fleet: FleetHarness, arguments: tuple[str, ...], message: str
) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    code, output = fleet.tool(*arguments)
    assert code == 2 and message in output and output.count("\n") == 1
    assert host.state("g1") == "ready"


def test_dry_run_shows_the_waves_and_does_nothing(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    for number, zone in enumerate(("b", "a", "a")):
        host.fake_gateway(f"g{number}", zone=zone)
    fleet.start().ready("h1/g0", "h1/g1", "h1/g2")
    code, plan = fleet.tool("roll", "--all", "--dry-run", "--wave", "2")
    assert (code, plan["waves"], plan["least_available"]) == (0, [["h1/g1", "h1/g2"], ["h1/g0"]], 2)
    assert not [e for e in fleet.events("h1") if e.operation]
    assert fleet.tool("operations") == (0, {"operations": [], "problems": []})
