"""Replicas with real files, on an event loop with virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from latchspoke.agent.raft_store import DamagedStoreError, RaftStore, RaftStoreError
from latchspoke.configstore.config_state import TAKEN, UNKNOWN
from latchspoke.configstore.disk import SET_ASIDE_FOLDER
from latchspoke.configstore.messages import Message
from latchspoke.configstore.replica import DATABASE_FILE, Replica
from latchspoke.configstore.simulation import merge_patch, replace_command
from latchspoke.configstore.store_node import StoreNode
from latchspoke.configstore.voters import UNKNOWN_LOCATION
from latchspoke.consensus.member import Member, Output
from latchspoke.lab.virtual import Network, VirtualLoop

NAMES = tuple(f"10.{n}.0.1:7600" for n in range(3))


class Replicas:
    def __init__(self, home: Path, seed: int = 1) -> None:
        print(f"seed {seed}")
        self.home, self.seed = home, seed
        self.up: dict[str, Replica] = {}
        self.applied_versions: dict[str, list[int]] = {name: [] for name in NAMES}
        self.events: list[str] = []

    def start(self, name: str, first: bool = False) -> Replica:
        loop = asyncio.get_running_loop()
        home = self.home / name
        home.mkdir(exist_ok=True)

        def send(to: str, message: Message) -> None:
            data = msgspec.json.encode(message)
            loop.call_later(0.02, self.arrive, name, to, data)

        replica = Replica(
            name, NAMES, first, home, send, merge_patch,
            lambda state: self.applied_versions[name].append(state.version), loop.time,
            lambda event, fields: self.events.append(event),
            Random(f"{name}:{len(self.applied_versions)}:{self.seed}"),
        )  # fmt: skip
        self.up[name] = replica
        replica.start()
        replica.update_peers(dict.fromkeys(NAMES, UNKNOWN_LOCATION))
        return replica

    def arrive(self, name: str, to: str, data: bytes) -> None:
        if to in self.up:
            self.up[to].receive(name, msgspec.json.decode(data))

    def leader(self) -> Replica:
        return next(replica for replica in self.up.values() if replica.node.is_leader)

    def kill(self, name: str) -> None:
        """Ends a replica as SIGKILL would: its files stay as they are."""
        replica = self.up.pop(name)
        copy = self.home / "copy"
        shutil.copytree(self.home / name, copy)
        replica.close()
        shutil.rmtree(self.home / name)
        copy.rename(self.home / name)


def run_virtual(scenario: Coroutine[Any, Any, None]) -> None:
    loop = VirtualLoop(Network(1))
    try:
        loop.run_until_complete(scenario)
    finally:
        loop.close()


def test_acknowledged_changes_survive_crashes_and_a_stop(tmp_path: Path) -> None:
    async def scenario() -> None:
        replicas = Replicas(tmp_path)
        for name in NAMES:
            replicas.start(name, first=True)
        await asyncio.sleep(2.0)
        assert all(replica.read_confirmed for replica in replicas.up.values())
        verdicts = [
            await replicas.up[NAMES[n % 3]].submit(replace_command(n + 1, n, "x" * 10_000)) for n in range(70)
        ]
        assert {verdict.kind for verdict in verdicts} == {TAKEN}
        assert not list(tmp_path.rglob("*-shm")), "no shared memory"
        for name in NAMES:
            replicas.kill(name)
        for name in NAMES:
            assert replicas.start(name).node.state.version < 70
        await asyncio.sleep(2.0)
        assert await replicas.up[NAMES[0]].confirm_read() is not None
        assert {replica.state.version for replica in replicas.up.values()} == {70}
        assert all(versions[-1] == 70 for versions in replicas.applied_versions.values())
        leader = replicas.leader()
        before = asyncio.get_running_loop().time()
        await leader.stop()
        del replicas.up[leader.name]
        other = next(iter(replicas.up.values()))
        assert (await other.submit(replace_command(71, 70))).kind == TAKEN
        assert asyncio.get_running_loop().time() - before < 0.5

    run_virtual(scenario())


def test_replica_recovers_from_disk_failures_and_internal_errors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        replicas = Replicas(tmp_path)
        for name in NAMES:
            replicas.start(name, first=True)
        await asyncio.sleep(2.0)
        leader = replicas.leader()
        save = leader.ledger.save

        def refuse(output: Output) -> None:
            raise RaftStoreError("no room")

        monkeypatch.setattr(leader.ledger, "save", refuse)
        assert (await leader.submit(replace_command(1, 0))).kind == UNKNOWN
        assert await leader.confirm_read() is None and leader.status()["disk"] == "no room"
        other = next(replica for replica in replicas.up.values() if replica is not leader)
        assert (await other.submit(replace_command(2, 0), limit=3.0)).kind == TAKEN
        monkeypatch.setattr(leader.ledger, "save", save)
        await asyncio.sleep(2.0)
        assert await leader.confirm_read() is not None and leader.state.version == 2

        def fault(member: Member, now: float) -> None:
            raise RuntimeError("a fault")

        with monkeypatch.context() as patched:
            patched.setattr(Member, "tick", fault)
            leader.tick()
        assert "register-failed" in replicas.events and await leader.confirm_read() is None
        await asyncio.sleep(3.0)
        assert await leader.confirm_read() is not None and leader.state.version == 2

    run_virtual(scenario())


@pytest.mark.parametrize("how", ["follower", "leader"])
def test_voter_with_a_full_disk_reports_it_and_recovers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """Meanwhile it confirms no reads and delays nobody; it catches up once there is space."""

    async def scenario() -> None:
        replicas = Replicas(tmp_path)
        for name in NAMES:
            replicas.start(name, first=True)
        await asyncio.sleep(2.0)
        failing = next(s for s in replicas.up.values() if s.node.is_leader == (how == "leader"))
        others = [replica for replica in replicas.up.values() if replica is not failing]
        save, term = failing.ledger.save, failing.node.member.term

        def refuse(output: Output) -> None:
            raise RaftStoreError("database or disk is full")

        monkeypatch.setattr(failing.ledger, "save", refuse)
        loop = asyncio.get_running_loop()
        durations = []
        for version in range(1, 9):
            start = loop.time()
            verdict = await others[version % 2].submit(replace_command(version, version - 1), limit=3.0)
            assert verdict.kind == TAKEN
            durations.append(loop.time() - start)
        # One election if it was the leader, and no delay afterwards.
        assert max(durations) < (3.0 if how == "leader" else 0.2) and max(durations[1:]) < 0.2
        assert failing.status()["disk"] and replicas.events.count("disk-refuses") == 1
        assert await failing.confirm_read(1.0) is None and failing.state.version < 8
        monkeypatch.setattr(failing.ledger, "save", save)
        await asyncio.sleep(1.0)
        assert await failing.confirm_read(1.0) is not None and failing.state.version == 8
        assert not failing.status()["disk"] and replicas.events.count("disk-back") == 1
        # Its return causes no further election.
        assert failing.node.member.term <= term + 3 * (how == "leader")

    run_virtual(scenario())


def damaged_contents(folder: Path) -> list[tuple[bytes, str]]:
    """Contents of a database that must not be used, with the reason; the folder has a valid store now."""
    ledger = RaftStore(folder / DATABASE_FILE, exclusive=True)
    ledger.start(NAMES[0], "first", founder=True)
    ledger.close()
    older = (folder / DATABASE_FILE).read_bytes()
    again = RaftStore(folder / DATABASE_FILE, exclusive=True)
    for _ in range(2):
        again.start(NAMES[0], "y", founder=False)
    again.close()
    whole = (folder / DATABASE_FILE).read_bytes()
    return [
        (older, "an older copy"),
        (whole[:5000], "malformed|damaged"),
        (b"x" * 9000, "not a database"),
        (b"", "an older copy"),
    ]


def test_damaged_file_and_older_copy_are_rejected_with_a_one_line_error(tmp_path: Path) -> None:
    for content, why in damaged_contents(tmp_path):
        (tmp_path / DATABASE_FILE).write_bytes(content)
        with (
            pytest.raises(DamagedStoreError, match=why) as caught,
            contextlib.closing(RaftStore(tmp_path / DATABASE_FILE, exclusive=True)) as store,
        ):
            store.start(NAMES[0], "first", founder=True)
        assert "\n" not in str(caught.value)


@pytest.mark.parametrize("case", range(5))
def test_replica_with_a_damaged_disk_comes_back_under_a_new_identity(case: int, tmp_path: Path) -> None:
    """It ended at each start, for good. Under its old identity it could vote twice in a term."""
    contents = damaged_contents(tmp_path)
    start_file = tmp_path / "register.start"
    if case < len(contents):
        (tmp_path / DATABASE_FILE).write_bytes(contents[case][0])
    else:
        start_file.write_bytes(start_file.read_bytes()[:20])
    kept = (tmp_path / DATABASE_FILE).read_bytes() if case in (1, 2) else b""
    identities = []
    for _ in range(2):
        replica = Replica(NAMES[0], NAMES, True, tmp_path, lambda *_: None, merge_patch, lambda _: None)
        identities.append(replica.node.member.identity)
        assert not replica.node.member.members.voters
        replica.close()
    assert identities[0] == identities[1]
    assert identities[0].startswith(f"{NAMES[0]}#g-")
    set_aside = (tmp_path / SET_ASIDE_FOLDER / DATABASE_FILE).read_bytes()
    assert set_aside == kept if kept else set_aside


@pytest.mark.parametrize("moves", range(2))
def test_replica_that_was_killed_while_it_set_its_store_aside(
    moves: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What is left of the old store must not be taken for a store of fewer votes."""
    older = damaged_contents(tmp_path)[0][0]
    (tmp_path / DATABASE_FILE).write_bytes(older)
    replace = os.replace
    made: list[Path] = []

    def replace_until_killed(source: Path, target: Path) -> None:
        if len(made) == moves:
            raise KeyboardInterrupt
        made.append(source)
        replace(source, target)

    with monkeypatch.context() as patched, contextlib.suppress(KeyboardInterrupt):
        patched.setattr(os, "replace", replace_until_killed)
        Replica(NAMES[0], NAMES, True, tmp_path, lambda *_: None, merge_patch, lambda _: None)
    replica = Replica(NAMES[0], NAMES, True, tmp_path, lambda *_: None, merge_patch, lambda _: None)
    assert replica.node.member.identity.startswith(f"{NAMES[0]}#g-")
    replica.close()


def test_replica_whose_disk_is_removed_while_it_runs_begins_anew(tmp_path: Path) -> None:
    """It went on voting on a file that no restart would have found."""

    async def scenario() -> None:
        replicas = Replicas(tmp_path)
        for name in NAMES:
            replicas.start(name, first=True)
        await asyncio.sleep(2.0)
        lost = replicas.up[NAMES[0]]
        identity = lost.node.member.identity
        shutil.rmtree(lost.disk.home)
        await asyncio.sleep(3.0)
        assert "register-failed" in replicas.events
        assert lost.node.member.identity != identity
        assert (lost.disk.home / DATABASE_FILE).exists()

    run_virtual(scenario())


def test_timer_rounded_before_the_due_time_does_not_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an endless loop at one moment of virtual time."""
    calls = 0

    def due(node: StoreNode) -> float:
        nonlocal calls
        calls += 1
        if calls > 1000:
            raise RuntimeError("rings in vain")
        return 0.0

    async def scenario() -> None:
        monkeypatch.setattr(StoreNode, "next_tick_at", due)
        Replicas(tmp_path).start(NAMES[0], first=True)
        await asyncio.sleep(0.05)

    run_virtual(scenario())
    assert 10 < calls < 1000
