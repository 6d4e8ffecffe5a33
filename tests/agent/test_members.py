"""Agents as members of a replicated log: real processes, connections with faults, and duties in progress."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import signal
import sqlite3
import subprocess
import sys
import threading
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

import pytest

from latchspoke.agent.config import MembersRecord, read_agent
from latchspoke.agent.members import MemberDriver
from latchspoke.agent.peer_transport import Frame, Hello, PeerTransport
from latchspoke.agent.raft_store import RaftStore, RaftStoreError, StartRecord
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Entry, HardState, Kind, Members
from latchspoke.duties.machine import NAME as DUTIES
from latchspoke.duties.member_service import (
    Committed,
    Query,
    QueryResult,
    Rejected,
    decode_duties,
    duty_command,
)
from latchspoke.duties.records import Define, Rule
from latchspoke.lab.relay import Mode, Relay
from latchspoke.lab.schedules.real import draw, trial
from latchspoke.records import RecordError
from latchspoke.records.load import Seconds
from tests.agent.harness import ROOT, Host, free_port, wait_until

T = TypeVar("T")
ACTION_COMMAND = [sys.executable, "-S", str(ROOT / "latchspoke/lab/schedules/act.py")]
GRANT_S = 2.0


class Group:
    """Three agents, with a relay for each direction between two of them."""

    def __init__(self, base: Path) -> None:
        self.base, self.names = base, ["a1", "a2", "a3"]
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        ports = {name: free_port() for name in self.names}
        self.relays = {
            (source, destination): Relay(("127.0.0.1", ports[destination]))
            for source in self.names for destination in self.names if source != destination
        }  # fmt: skip
        addresses = {pair: self.run_in_loop(relay.start)[1] for pair, relay in self.relays.items()}
        self.hosts = {name: Host(base, name) for name in self.names}
        for name, host in self.hosts.items():
            peers = {
                destination: addresses.get((name, destination), ports[destination])
                for destination in self.names
            }
            peer_list = ", ".join(f'{destination}: "127.0.0.1:{port}"' for destination, port in peers.items())
            first = "true" if name == "a1" else "false"
            host.members = f'members: {{peers: {{{peer_list}}}, first: {first}, election: "400ms"}}'
        self.holders: dict[str, subprocess.Popen[bytes]] = {}
        self.action_log = base / "acts"

    def run_in_loop(self, work: Callable[[], Awaitable[T]]) -> T:
        async def within() -> T:
            return await work()

        return asyncio.run_coroutine_threadsafe(within(), self.loop).result(10)

    def link(self, source: str, destination: str, mode: Mode, delay: float = 0.0) -> None:
        self.loop.call_soon_threadsafe(self.relays[source, destination].set_mode, mode, delay)

    def isolate(self, name: str, mode: Mode) -> None:
        for pair in self.relays:
            if name in pair:
                self.link(*pair, mode)

    def tool(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        alive = [h for h in self.hosts.values() if h.process is not None and h.process.poll() is None]
        sockets = ",".join(str(host.socket) for host in alive)
        command = [sys.executable, "-m", "latchspoke", *arguments, "--socket", sockets]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30, check=False)

    def succeeds(self, *arguments: str) -> bool:
        return self.tool(*arguments).returncode == 0

    def status(self) -> list[dict[str, Any]]:
        result = self.tool("members", "status", "--json")
        found: list[dict[str, Any]] = json.loads(result.stdout)["members"] if result.stdout else []
        return found

    def leader(self) -> str:
        leaders = [str(s["identity"]) for s in self.status() if s["role"] == "leader"]
        return leaders[-1].partition("#")[0] if leaders else ""

    def start(self) -> None:
        for host in self.hosts.values():
            host.start()
        wait_until(lambda: any(len(s["voters"]) == 3 for s in self.status()), "three members vote")
        result = self.tool("duty", "define", "census", "--length", f"{GRANT_S}s")
        assert result.returncode == 0, result.stderr

    def start_holder(self, name: str, *arguments: str, agent: str = "") -> None:
        """Start a candidate for the duty that uses all agents, or one."""
        sockets = (
            str(self.hosts[agent].socket) if agent else ",".join(str(h.socket) for h in self.hosts.values())
        )
        command = ["duty", "run", "census", "--as", name, "--socket", sockets, "--grace", "400ms", "--"]
        log = open(self.base / f"{name}.log", "ab")  # noqa: SIM115
        self.holders[name] = subprocess.Popen(
            [sys.executable, "-m", "latchspoke", *command, *ACTION_COMMAND, str(self.action_log), *arguments],
            cwd=ROOT, stdout=log, stderr=log,
        )  # fmt: skip
        log.close()

    def actions(self) -> list[tuple[float, int, int, str]]:
        """Time, token, PID and outcome of the actions, in order."""
        lines = self.action_log.read_text().splitlines() if self.action_log.exists() else []
        parts = [line.split() for line in lines if len(line.split()) == 4]
        return [(float(at), int(token), int(pid), outcome) for at, token, pid, outcome in parts]

    def token(self) -> int:
        return max((token for _, token, _, outcome in self.actions() if outcome == "acts"), default=0)

    def holder(self) -> str:
        status = json.loads(self.tool("duty", "show", "census", "--json").stdout or "{}")
        tenure = status.get("duties", {}).get("census", {}).get("tenure") or {}
        return str(tenure.get("holder", "")).partition("#")[0]

    def suspend_between_actions(self, pid: int) -> None:
        """Suspend a process that does not hold the lock of the action log, which would block others."""
        with open(self.action_log) as file:
            fcntl.flock(file, fcntl.LOCK_EX)
            os.kill(pid, signal.SIGSTOP)
            wait_until(lambda: read_process_state(pid) == "T", "the process is suspended")

    def check(self) -> None:
        """Check the action log: tokens never decrease, and each belongs to one process."""
        latest = 0
        owners: dict[int, int] = {}
        for at, token, pid, outcome in self.actions():
            assert owners.setdefault(token, pid) == pid
            if outcome == "acts":
                assert token >= latest, (at, token, latest)
                latest = token

    def stop(self) -> None:
        for process in self.holders.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.holders.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
        for pid in {pid for _, _, pid, _ in self.actions()}:
            if b"act.py" in read_command(pid):
                os.kill(pid, signal.SIGKILL)
        for relay in self.relays.values():
            self.run_in_loop(relay.stop)
        for host in self.hosts.values():
            host.end()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


def read_command(pid: int) -> bytes:
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return b""


def read_process_state(pid: int) -> str:
    """The kernel's state letter; T means stopped."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    group = Group(tmp_path)
    try:
        group.start()
        yield group
        group.check()
    finally:
        group.stop()


def test_duty_continues_after_its_holder_or_the_leader_is_killed(group: Group) -> None:
    group.start_holder("h1")
    wait_until(lambda: group.token() == 1, "the first holder acts")
    group.start_holder("h2")
    group.hosts[group.leader()].kill()
    seen = len(group.actions())
    wait_until(lambda: len(group.actions()) > seen + 50, "it continues without the killed leader")
    group.holders["h1"].kill()
    last = group.actions()[-1]
    if b"act.py" in read_command(last[2]):
        os.kill(last[2], signal.SIGKILL)
    wait_until(lambda: group.token() == 2, "the second holder acts")
    first = next(at for at, token, _, _ in group.actions() if token == 2)
    print(f"without a holder for {first - last[0]:.2f} s, grants of {GRANT_S} s")
    assert first - last[0] < 2 * GRANT_S + 1


def test_suspended_holder_does_not_act_after_its_grant(group: Group) -> None:
    """Both the holder and its command are suspended while another holder starts."""
    group.start_holder("h1", "stubborn")
    wait_until(lambda: group.token() == 1, "the first holder acts")
    pid = group.actions()[-1][2]
    group.start_holder("h2")
    os.kill(group.holders["h1"].pid, signal.SIGSTOP)
    group.suspend_between_actions(pid)
    wait_until(lambda: group.token() == 2, "the second holder acts")
    for stopped in (pid, group.holders["h1"].pid):
        os.kill(stopped, signal.SIGCONT)
    wait_until(
        lambda: b"act.py" not in read_command(pid), "the command is killed although it ignores SIGTERM"
    )
    assert group.holder() == "h2"


def test_isolated_holder_stops_before_the_next_one_starts(group: Group) -> None:
    group.start_holder("h1", "stubborn", agent="a1")
    wait_until(lambda: group.token() == 1, "the first holder acts")
    group.start_holder("h2", agent="a2")
    if group.leader() != "a2":
        group.tool("duty", "list")
    group.isolate("a1", Mode.HOLD)
    wait_until(lambda: group.token() == 2, "the second holder acts")
    actions = group.actions()
    end, begin = max(a for a, t, _, _ in actions if t == 1), min(a for a, t, _, _ in actions if t == 2)
    print(f"{begin - end:.2f} s between them")
    assert end < begin and all(outcome == "acts" for *_, outcome in actions)
    group.isolate("a1", Mode.PASS)
    wait_until(lambda: len({s["leader"] for s in group.status()}) == 1, "all members agree on the leader")


def test_moved_duty_changes_holder_within_a_grant(group: Group) -> None:
    group.start_holder("h1")
    wait_until(lambda: group.token() == 1, "the first holder acts")
    group.start_holder("h2")
    wait_until(
        lambda: "h2" in (group.base / "a1.log").read_text() or group.holder() == "h1", "h2 is a candidate"
    )
    wait_until(lambda: group.tool("duty", "move", "census", "h2").returncode == 0, "the move is accepted")
    wait_until(lambda: group.holder() == "h2", "the duty has moved")
    wait_until(lambda: group.token() == 2, "the second holder acts")
    actions = group.actions()
    gap = min(a for a, t, _, _ in actions if t == 2) - max(a for a, t, _, _ in actions if t == 1)
    print(f"moved within {gap:.2f} s, grants of {GRANT_S} s")
    assert 0 < gap < GRANT_S
    history = group.tool("duty", "history", "census").stdout
    assert "released" in history and "holds it" in history


def test_duty_is_released_when_its_command_ends_or_fails_to_start(group: Group) -> None:
    arguments = ["duty", "run", "census", "--as", "h1"]
    sockets = ["--socket", str(group.hosts["a1"].socket)]
    for command, code in ((["sh", "-c", "exit 3"], 3), (["/nothing/here"], 127)):
        done = subprocess.run(
            [sys.executable, "-m", "latchspoke", *arguments, *sockets, "--", *command],
            cwd=ROOT, capture_output=True, text=True, timeout=30, check=False,
        )  # fmt: skip
        assert done.returncode == code, done.stderr
        wait_until(
            lambda: "holds it" not in group.tool("duty", "history", "census").stdout, "the duty is released"
        )
    assert "can't run /nothing/here" in done.stderr


def test_tokens_survive_a_crash_of_all_members(group: Group) -> None:
    group.start_holder("h1")
    wait_until(lambda: group.token() == 1, "the first holder acts")
    for host in group.hosts.values():
        host.kill()
    assert group.tool("duty", "list").returncode != 0
    group.holders["h1"].kill()
    for host in group.hosts.values():
        host.start()
    group.start_holder("h2")
    wait_until(lambda: group.token() >= 2, "the duty continues under a later token")


def test_one_way_partition_does_not_cause_endless_elections(group: Group) -> None:
    group.start_holder("h1")
    wait_until(lambda: group.token() == 1, "the first holder acts")
    leader = group.leader()
    other = next(name for name in group.names if name != leader)
    group.link(other, leader, Mode.HOLD)
    for pair in group.relays:
        if pair != (other, leader):
            group.link(*pair, Mode.PASS, 0.1)
    seen = len(group.actions())
    wait_until(lambda: len(group.actions()) > seen + 150, "the holder acts for three seconds")
    assert group.token() == 1


def test_member_with_lost_or_restored_store_must_be_added_anew(group: Group) -> None:
    other = next(name for name in group.names if name not in (group.leader(), "a1"))
    host = group.hosts[other]
    backup = host.folder / "old.db"
    copy = sqlite3.connect(host.folder / "members.db")
    copy.execute(f"VACUUM INTO '{backup}'")
    copy.close()
    host.kill()
    host.start()
    host.kill()
    for name in ("members.db", "members.db-wal", "members.db-shm"):
        (host.folder / name).unlink(missing_ok=True)
    backup.rename(host.folder / "members.db")
    with pytest.raises(AssertionError, match="older copy"):
        host.start()
    for path in host.folder.glob("members.*"):
        path.unlink()
    host.start()
    status = next(s for s in group.status() if str(s["identity"]).startswith(other))
    assert status["voters"] == [] and status["role"] == "follower"
    for verb in ("remove", "add"):
        wait_until(partial(group.succeeds, "members", verb, other), verb)
    wait_until(
        lambda: all(status["identity"] in s["voters"] for s in group.status()),
        "it votes under its new identity",
    )


# The Raft store on its own.


def test_raft_store_returns_saved_state_and_refuses_damage(tmp_path: Path) -> None:
    store = RaftStore(tmp_path / "members.db")
    assert store.start("a1", "77", founder=True).snapshot.members == Members(("a1#77",))
    entries = tuple(Entry(n, 1, Kind.DATA, b"x") for n in range(1, 6))
    store.save(Output(hard_state=HardState(1, "a1#77"), first_index=1, entries=entries))
    store.save(Output(first_index=4, entries=(Entry(4, 2),)))
    store.close()
    reopened = RaftStore(tmp_path / "members.db")
    stored = reopened.start("a1", "88", founder=True)
    assert (stored.identity, stored.boot, stored.hard_state) == ("a1#77", 2, HardState(1, "a1#77"))
    assert [(e.index, e.term) for e in stored.entries] == [(1, 1), (2, 1), (3, 1), (4, 2)]
    reopened.db.execute("UPDATE entries SET body = x'00' WHERE place = 2")
    with pytest.raises(RaftStoreError, match="entry 2 is damaged"):
        reopened.start("a1", "", founder=False)
    reopened.db.execute("DELETE FROM entries WHERE place = 2")
    with pytest.raises(RaftStoreError, match="entry 2 is missing"):
        reopened.start("a1", "", founder=False)


def test_interrupted_start_is_not_taken_for_an_older_copy(tmp_path: Path) -> None:
    store = RaftStore(tmp_path / "members.db")
    store.start("a1", "77", founder=False)
    store.start("a1", "77", founder=False)
    store.write_start_file(StartRecord("a1#77", 1))
    assert store.start("a1", "", founder=False).boot == 3
    store.write_start_file(StartRecord("a1#77", 5))
    with pytest.raises(RaftStoreError, match="older copy"):
        store.start("a1", "", founder=False)


def test_raft_store_accepts_writes_again_after_a_full_disk(tmp_path: Path) -> None:
    store = RaftStore(tmp_path / "members.db")
    store.start("a1", "77", founder=False)
    (pages,) = store.db.execute("PRAGMA page_count").fetchone()
    store.db.execute(f"PRAGMA max_page_count = {pages}")
    large = Output(first_index=1, entries=(Entry(1, 1, Kind.DATA, b"x" * 100_000),))
    with pytest.raises(RaftStoreError, match="full"):
        store.save(large)
    store.db.execute("PRAGMA max_page_count = 100000")
    store.save(large)
    assert len(store.start("a1", "", founder=False).entries) == 1


@pytest.mark.parametrize(
    ("peers", "error"),
    [('a2: "127.0.0.1:1"', "its own address"), ('a1: "10.0.0.1:1"', "tls: true"), ('a1: "x:1"', "tls: true")],
)
def test_invalid_member_settings_are_refused(tmp_path: Path, peers: str, error: str) -> None:
    file = tmp_path / "a1.cue"
    file.write_text(f'name: "a1"\nfolder: "{tmp_path}"\nmembers: {{peers: {{{peers}}}}}\n')
    with pytest.raises(RecordError, match=error):
        read_agent(str(file))


def test_idle_connection_is_reopened_after_a_break() -> None:
    """Otherwise a member that started later never gets the hello frame of an idle one."""

    async def run_test() -> None:
        received: asyncio.Queue[Frame] = asyncio.Queue()
        port = free_port()
        broken = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", port)
        peers = {"a1": f"127.0.0.1:{port}", "a2": f"127.0.0.1:{free_port()}"}
        idle = PeerTransport(Hello("a2", "a2#1"), peers, lambda name, frame: None)
        await asyncio.sleep(0.05)
        broken.close()
        listening = PeerTransport(Hello("a1", "a1#1"), peers, lambda name, frame: received.put_nowait(frame))
        await listening.listen(peers["a1"])
        assert await asyncio.wait_for(received.get(), 10) == Hello("a2", "a2#1")
        idle.stop()
        listening.stop()

    asyncio.run(run_test())


def test_random_fault_schedule_with_real_processes(tmp_path: Path) -> None:
    """One schedule; `latchspoke lab schedules --real` runs more."""
    verdict = asyncio.run(trial(tmp_path, 3))
    assert not verdict.wrong, (verdict, [str(fault) for fault in draw(3, 3, 2)])
    assert verdict.acts > 50


async def start_single_member(base: Path) -> MemberDriver:
    record = MembersRecord({"a1": f"127.0.0.1:{free_port()}"}, True, Seconds(0.02), Seconds(0.1), 0.02)
    driver = MemberDriver("a1", record, base)
    await driver.start()
    while not driver.replica.is_leader:
        await asyncio.sleep(0.01)
    return driver


def test_unexpected_exception_halts_the_member_and_fails_requests(tmp_path: Path) -> None:
    async def run_test() -> None:
        driver = await start_single_member(tmp_path)
        assert isinstance(await driver.ask(put=duty_command(Define("census", Rule()))), Committed)

        def fault(now: float) -> None:
            raise ZeroDivisionError

        waiting = asyncio.ensure_future(driver.ask(look=Query(DUTIES)))
        driver.enqueue(fault)
        assert isinstance(await waiting, Rejected | QueryResult)
        while driver.status().role != "halted":
            await asyncio.sleep(0.01)
        assert "ZeroDivisionError" in driver.status().disk
        assert await driver.ask(look=Query(DUTIES)) == Rejected("")
        await driver.stop()

    asyncio.run(run_test())


def test_member_recovers_by_itself_after_a_full_disk(tmp_path: Path) -> None:
    async def run_test() -> None:
        driver = await start_single_member(tmp_path)
        (pages,) = driver.raft_store.db.execute("PRAGMA page_count").fetchone()
        driver.raft_store.db.execute(f"PRAGMA max_page_count = {pages}")
        large = Define("census", Rule(names=("x" * 200_000,)))
        assert await driver.ask(put=duty_command(large)) == Rejected("", under_way=True)
        assert "full" in driver.status().disk
        driver.raft_store.db.execute("PRAGMA max_page_count = 100000")
        while driver.status().disk:
            await asyncio.sleep(0.01)
        shown = await driver.ask(look=Query(DUTIES))
        assert isinstance(shown, QueryResult) and "census" in decode_duties(shown), (
            "the command was in the log and is applied now"
        )
        await driver.stop()

    asyncio.run(run_test())
