"""Agents that can't be heard, each in its own way; stores that can't be used; instances that disagree."""

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

from tests.agent.world import World, details, until


@contextlib.contextmanager
def peer(path: Path, says: bytes | None) -> Iterator[list[float]]:
    """A socket that answers each question with this, or never; the times of the questions."""
    server, asked, held = socket.socket(socket.AF_UNIX), [], []
    server.bind(str(path))
    server.listen(64)

    def serve() -> None:
        while True:
            try:
                link, _ = server.accept()
            except OSError:
                return
            held.append(link)
            asked.append(time.monotonic())
            if says is not None:
                link.recv(65536)
                link.sendall(says)
                link.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield asked
    finally:
        server.shutdown(socket.SHUT_RDWR)
        server.close()
        thread.join(5)
        for link in held:
            link.close()


def http(body: bytes, headers: bytes = b"", status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


WAYS = {
    "no answer within 1 s": None,
    "can't connect": b"none",
    "invalid answer": b"\x16\x03\x01 what is this\r\n\r\n",
    "invalid answer (": http(b'{"agent": 7}', b"Latchspoke-Interface: 1\r\n"),
    "speaks interface 0, this tool speaks 1": http(b"{}", b"Latchspoke-Interface: 0\r\n", b"426 X"),
    "speaks no known interface": http(b"<html>"),
}


@pytest.mark.parametrize("said", WAYS)
def test_whatever_way_an_agent_is_not_heard_its_instances_are_unknown(fleet: World, said: str) -> None:
    host, other = fleet.host("h1"), fleet.base / "other.sock"
    host.puppet("g1")
    host.puppet("g2")
    fleet.start().ready("h1/g1", "h1/g2")
    fleet.write(h2=other)
    says = WAYS[said]
    with contextlib.ExitStack() as stack:
        asked = stack.enter_context(peer(other, says)) if says != b"none" else []
        code, told = fleet.tool("list")
        assert code == 4 and any(said in line for line in told["remarks"]), told["remarks"]
        assert {i["id"] for i in told["instances"]} == {"h1/g1", "h1/g2"}  # the others are told all the same
        assert len(asked) <= 1  # its limit is paid once
        code, told = fleet.tool("compare")
        assert code == 4 and said in told["silent"][0] and not told["agree"]


def heard(lines: Iterable[str], *wanted: tuple[str, str]) -> None:
    """Read until each of these changes has been told; of others only that an agent stood still."""
    missing = set(wanted)
    while missing:
        told = json.loads(next(iter(lines)))
        found = {(name, what) for name, what in missing if name == told["id"] and what in told["change"]}
        assert found or "unknown" in told["change"], told
        missing -= found


def test_a_roll_stops_rather_than_take_down_the_last_one_that_serves(fleet: World) -> None:
    for name in ("h1", "h2"):
        fleet.host(name).puppet("g1")
    fleet.start().ready("h1/g1", "h2/g1")
    second = fleet.hosts["h2"]
    assert second.process is not None
    tool = fleet.tool_process("watch")
    assert tool.stdout is not None
    heard(tool.stdout, ("h1/g1", "appeared, ready"), ("h2/g1", "appeared, ready"))
    second.process.send_signal(signal.SIGSTOP)  # it accepts connections and says nothing
    code, said = fleet.tool("roll", "--all")
    assert code == 1 and "agent h2: no answer within 1 s; what it runs is unknown" in said
    assert not [e for e in fleet.events("h1") if e.operation]
    assert fleet.hosts["h1"].state("g1") == "ready"
    heard(tool.stdout, ("h2/g1", "ready -> unknown"))
    second.process.send_signal(signal.SIGCONT)
    # Not "silent": that the agent stood still is no fault of its gateway.
    heard(tool.stdout, ("h2/g1", "unknown -> ready"))
    tool.send_signal(signal.SIGINT)
    tool.communicate(timeout=20)


def test_the_watch_goes_on_over_an_agent_that_stands_still_as_it_begins(fleet: World) -> None:
    """What was seen in CI beside load: the first lines aren't only that instances have appeared."""
    for name in ("h1", "h2"):
        fleet.host(name).puppet("g1")
    fleet.start().ready("h1/g1", "h2/g1")
    first, second = fleet.hosts["h1"].process, fleet.hosts["h2"].process
    assert first is not None and second is not None
    second.send_signal(signal.SIGSTOP)
    tool = fleet.tool_process("watch")
    assert tool.stdout is not None
    heard(tool.stdout, ("h1/g1", "appeared, ready"))
    first.send_signal(signal.SIGSTOP)
    heard(tool.stdout, ("h1/g1", "ready -> unknown"))
    for process in (first, second):
        process.send_signal(signal.SIGCONT)
    heard(tool.stdout, ("h2/g1", "appeared, ready"), ("h1/g1", "unknown -> ready"))
    tool.send_signal(signal.SIGINT)
    tool.communicate(timeout=20)


def test_an_agent_that_falls_silent_in_a_roll_leaves_its_step_unknown(fleet: World) -> None:
    first, second = fleet.host("h1"), fleet.host("h2")
    first.puppet("g1")
    second.puppet("g2", "slow:30", 'limits: {drain: "60s", silent: "600ms", pause: "50ms"}')
    fleet.start().ready("h1/g1", "h2/g2")
    tool = fleet.tool_process("stop", "--all", "--limit", "4s")
    second.wait("g2", "draining")
    assert second.process is not None
    second.process.send_signal(signal.SIGSTOP)
    report = json.loads(tool.communicate(timeout=30)[0])
    assert tool.returncode == 4 and report["state"] == "stopped"
    by_id = {item["id"]: item for item in report["instances"]}
    assert by_id["h1/g1"]["outcome"] == "done"
    lost = by_id["h2/g2"]
    assert (lost["outcome"], lost["state"], lost["last_known"]) == ("unknown", "unknown", "draining")
    assert lost["heard_ago"] > 3 and "no answer within 1 s" in lost["detail"]


def test_half_the_fleet_has_new_plan_figures(fleet: World) -> None:
    for name, plans in (("h1", ("1.0", "1.0")), ("h2", ("2.0", "2.0"))):
        host = fleet.host(name)
        for number, plan in enumerate(plans):
            host.puppet(f"g{number}", f"plan:{plan}")
    fleet.start().ready("h1/g0", "h1/g1", "h2/g0", "h2/g1")
    (fleet.hosts["h2"].folder / "g1.json").write_text("3.0\n")
    code, told = fleet.tool("compare")
    assert code == 3
    (difference,) = told["comparison"]["differences"]
    assert difference["path"] == "settings.plans.duza.rate"
    assert difference["holders"] == [["1.0", ["h1/g0", "h1/g1"]], ["2.0", ["h2/g0", "h2/g1"]]]
    assert told["comparison"]["stale"] == [["h2/g1", "its file has other settings, not taken up"]]


# Stores.


def test_a_locked_store_refuses_operations_and_the_gateways_go_on(fleet: World) -> None:
    host = fleet.host("h1")
    host.puppet("g1")
    fleet.start().ready("h1/g1")
    shell = sqlite3.connect(host.folder / "agent.db", isolation_level=None)
    shell.execute("BEGIN EXCLUSIVE")
    code, report = fleet.tool("restart", "g1")
    assert code == 1 and "store can't be used: database is locked" in report["detail"]
    assert host.state("g1") == "ready"
    # One that ends meanwhile is seen to have ended, and is started once that can be put on record.
    os.kill(host.pid("g1"), signal.SIGKILL)
    host.wait("g1", "waiting")
    shell.execute("ROLLBACK")
    shell.close()
    host.wait("g1", "ready")
    assert fleet.tool("restart", "g1")[0] == 0
    assert "recorded-late" in {e.kind for e in fleet.events("h1")}


@pytest.mark.parametrize("spoilt", [b"this is no database at all" * 200, b""])
def test_an_unreadable_store(fleet: World, spoilt: bytes) -> None:
    """Unreadable: the agent tells what it sees and takes nothing. Empty is no store yet, and is made."""
    host = fleet.host("h1")
    host.puppet("g1")
    fleet.start().ready("h1/g1")
    pid = host.pid("g1")
    host.kill()
    for file in host.folder.glob("agent.db*"):
        file.unlink()
    (host.folder / "agent.db").write_bytes(spoilt)
    host.start()
    if not spoilt:
        os.kill(pid, signal.SIGKILL)  # of a launch that nobody knows of any more
        return
    host.wait("g1", "ready")
    assert host.pid("g1") == pid
    code, report = fleet.tool("stop", "g1")
    assert code == 1 and "file is not a database" in report["detail"]
    assert host.state("g1") == "ready"
    _, told = fleet.tool("list")
    assert any("takes no operations" in line for line in told["remarks"])


def test_a_store_without_space_refuses(fleet: World) -> None:
    host = fleet.host("h1")
    host.puppet("g1")
    host.write()
    # The limit on a file's size stands for a full disk: every write beyond it fails.
    log = host.base / "h1.log"
    with open(log, "wb") as out:
        host.process = subprocess.Popen(
            [sys.executable, "-m", "latchspoke", "agent", "--config", str(host.file)],
            cwd=Path(__file__).parents[2], stdout=out, stderr=out,
        )  # fmt: skip
    until(lambda: host.socket.exists() or host.process_ended(), "the agent listens")
    fleet.write()
    fleet.ready("h1/g1")
    resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, (4096, resource.RLIM_INFINITY))
    code, report = fleet.tool("restart", "g1")
    assert code == 1 and "the store can't be used" in report["detail"], report
    assert host.state("g1") == "ready" and details(report) == {"h1/g1": ""}
    resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY,) * 2)
    assert fleet.tool("restart", "g1")[0] == 0


# Words.


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (("drain",), "name what to act on"),
        (("drain", "nobody"), "nothing fits"),
        (("list", "colour=red"), "no such selector"),
        (("roll", "--all", "--wave", "0"), "--wave takes a whole number of at least 1"),
        (("roll", "--all", "--pause", "soon"), "not a duration"),
    ],
)
def test_words_that_make_no_sense_change_nothing(fleet: World, words: tuple[str, ...], said: str) -> None:
    host = fleet.host("h1")
    host.puppet("g1")
    fleet.start().ready("h1/g1")
    code, told = fleet.tool(*words)
    assert code == 2 and said in told and told.count("\n") == 1
    assert host.state("g1") == "ready"


def test_a_dry_run_shows_the_waves_and_does_nothing(fleet: World) -> None:
    host = fleet.host("h1")
    for number, zone in enumerate(("b", "a", "a")):
        host.puppet(f"g{number}", zone=zone)
    fleet.start().ready("h1/g0", "h1/g1", "h1/g2")
    code, plan = fleet.tool("roll", "--all", "--dry-run", "--wave", "2")
    assert (code, plan["waves"], plan["least_available"]) == (0, [["h1/g1", "h1/g2"], ["h1/g0"]], 2)
    assert not [e for e in fleet.events("h1") if e.operation]
    assert fleet.tool("operations") == (0, {"operations": [], "problems": []})
