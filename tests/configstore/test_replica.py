"""Stations with real files, on an event loop whose time is virtual."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from latchspoke.agent.raft_store import RaftStore, RaftStoreError
from latchspoke.configstore.messages import Message
from latchspoke.configstore.orders import TAKEN, UNKNOWN
from latchspoke.configstore.register import Register
from latchspoke.configstore.replica import FILE, Replica
from latchspoke.configstore.simulation import patch, replace
from latchspoke.configstore.voters import NOWHERE
from latchspoke.consensus.member import Member, Output
from latchspoke.lab.virtual import Network, VirtualLoop

NAMES = tuple(f"10.{n}.0.1:7600" for n in range(3))


class Stations:
    def __init__(self, home: Path, seed: int = 1) -> None:
        print(f"seed {seed}")
        self.home, self.seed = home, seed
        self.up: dict[str, Replica] = {}
        self.seen: dict[str, list[int]] = {name: [] for name in NAMES}
        self.logged: list[str] = []

    def start(self, name: str, first: bool = False) -> Replica:
        loop = asyncio.get_running_loop()
        home = self.home / name
        home.mkdir(exist_ok=True)

        def send(to: str, message: Message) -> None:
            data = msgspec.json.encode(message)
            loop.call_later(0.02, self.arrive, name, to, data)

        replica = Replica(
            name, NAMES, first, home, send, patch, lambda orders: self.seen[name].append(orders.version),
            loop.time, lambda event, fields: self.logged.append(event),
            Random(f"{name}:{len(self.seen)}:{self.seed}"),
        )  # fmt: skip
        self.up[name] = replica
        replica.start()
        replica.peers(dict.fromkeys(NAMES, NOWHERE))
        return replica

    def arrive(self, name: str, to: str, data: bytes) -> None:
        if to in self.up:
            self.up[to].heard(name, msgspec.json.decode(data))

    def leader(self) -> Replica:
        return next(replica for replica in self.up.values() if replica.register.leads)

    def kill(self, name: str) -> None:
        """As SIGKILL would leave it: nothing is closed, the files are as they are."""
        replica = self.up.pop(name)
        copy = self.home / "copy"
        shutil.copytree(self.home / name, copy)
        replica.close()
        shutil.rmtree(self.home / name)
        copy.rename(self.home / name)


def play(story: Coroutine[Any, Any, None]) -> None:
    loop = VirtualLoop(Network(1))
    try:
        loop.run_until_complete(story)
    finally:
        loop.close()


def test_what_was_acknowledged_is_there_after_all_were_killed_and_after_a_stop(tmp_path: Path) -> None:
    async def story() -> None:
        stations = Stations(tmp_path)
        for name in NAMES:
            stations.start(name, first=True)
        await asyncio.sleep(2.0)
        assert all(replica.proven for replica in stations.up.values())
        verdicts = [
            await stations.up[NAMES[n % 3]].submit(replace(n + 1, n, "x" * 10_000)) for n in range(70)
        ]
        assert {verdict.kind for verdict in verdicts} == {TAKEN}
        assert not list(tmp_path.rglob("*-shm")), "no shared memory"
        for name in NAMES:
            stations.kill(name)
        for name in NAMES:
            assert stations.start(name).register.orders.version < 70
        await asyncio.sleep(2.0)
        assert await stations.up[NAMES[0]].confirm() is not None
        assert {replica.orders.version for replica in stations.up.values()} == {70}
        assert all(seen[-1] == 70 for seen in stations.seen.values())
        leader = stations.leader()
        before = asyncio.get_running_loop().time()
        await leader.stop()
        del stations.up[leader.me]
        other = next(iter(stations.up.values()))
        assert (await other.submit(replace(71, 70))).kind == TAKEN
        assert asyncio.get_running_loop().time() - before < 0.5

    play(story())


def test_a_disk_that_refuses_and_a_fault_of_the_program_are_got_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        stations = Stations(tmp_path)
        for name in NAMES:
            stations.start(name, first=True)
        await asyncio.sleep(2.0)
        leader = stations.leader()
        save = leader.ledger.save

        def refuse(output: Output) -> None:
            raise RaftStoreError("no room")

        monkeypatch.setattr(leader.ledger, "save", refuse)
        assert (await leader.submit(replace(1, 0))).kind == UNKNOWN
        assert await leader.confirm() is None and leader.status()["disk"] == "no room"
        other = next(replica for replica in stations.up.values() if replica is not leader)
        assert (await other.submit(replace(2, 0), limit=3.0)).kind == TAKEN
        monkeypatch.setattr(leader.ledger, "save", save)
        await asyncio.sleep(2.0)
        assert await leader.confirm() is not None and leader.orders.version == 2

        def fault(member: Member, now: float) -> None:
            raise RuntimeError("a fault")

        with monkeypatch.context() as patched:
            patched.setattr(Member, "tick", fault)
            leader.tick()
        assert "register-failed" in stations.logged and await leader.confirm() is None
        await asyncio.sleep(3.0)
        assert await leader.confirm() is not None and leader.orders.version == 2

    play(story())


@pytest.mark.parametrize("how", ["follower", "leader"])
def test_a_voter_whose_disk_is_full_steps_aside_says_so_and_comes_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """It vouches for nothing meanwhile, holds nobody up, and catches up once there is room."""

    async def story() -> None:
        stations = Stations(tmp_path)
        for name in NAMES:
            stations.start(name, first=True)
        await asyncio.sleep(2.0)
        full = next(s for s in stations.up.values() if s.register.leads == (how == "leader"))
        others = [replica for replica in stations.up.values() if replica is not full]
        save, term = full.ledger.save, full.register.member.term

        def refuse(output: Output) -> None:
            raise RaftStoreError("database or disk is full")

        monkeypatch.setattr(full.ledger, "save", refuse)
        loop = asyncio.get_running_loop()
        took = []
        for version in range(1, 9):
            begun = loop.time()
            verdict = await others[version % 2].submit(replace(version, version - 1), limit=3.0)
            assert verdict.kind == TAKEN
            took.append(loop.time() - begun)
        # An election where it led, and no waiting for it afterwards.
        assert max(took) < (3.0 if how == "leader" else 0.2) and max(took[1:]) < 0.2
        assert full.status()["disk"] and stations.logged.count("disk-refuses") == 1
        assert await full.confirm(1.0) is None and full.orders.version < 8
        monkeypatch.setattr(full.ledger, "save", save)
        await asyncio.sleep(1.0)
        assert await full.confirm(1.0) is not None and full.orders.version == 8
        assert not full.status()["disk"] and stations.logged.count("disk-back") == 1
        # Its return sets off no election of its own.
        assert full.register.member.term <= term + 3 * (how == "leader")

    play(story())


def test_a_damaged_file_and_an_older_copy_are_refused_in_one_line(tmp_path: Path) -> None:
    ledger = RaftStore(tmp_path / FILE, exclusive=True)
    ledger.start("a", "x", founder=False)
    ledger.close()
    older = (tmp_path / FILE).read_bytes()
    again = RaftStore(tmp_path / FILE, exclusive=True)
    for _ in range(2):
        again.start("a", "y", founder=False)
    again.close()
    whole = (tmp_path / FILE).read_bytes()
    for content, why in (
        (older, "an older copy"),
        (whole[:5000], "malformed|damaged"),
        (b"x" * 9000, "not a database"),
    ):
        (tmp_path / FILE).write_bytes(content)
        with pytest.raises(RaftStoreError, match=why) as caught:
            Replica("a", NAMES, False, tmp_path, lambda *_: None, patch, lambda _: None)
        assert "\n" not in str(caught.value)


def test_a_timer_a_rounding_ahead_of_what_is_due_does_not_ring_for_ever(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen once in a hundred runs: the loop stood at one moment, which a clock set by hand never leaves."""
    rung = 0

    def due(register: Register) -> float:
        nonlocal rung
        rung += 1
        if rung > 1000:
            raise RuntimeError("rings in vain")
        return 0.0

    async def story() -> None:
        monkeypatch.setattr(Register, "due", due)
        Stations(tmp_path).start(NAMES[0], first=True)
        await asyncio.sleep(0.05)

    play(story())
    assert 10 < rung < 1000
