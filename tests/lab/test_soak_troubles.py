"""The troubles of a soak run take effect, and a run with them breaks no rule."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import math
import random
import sqlite3
import subprocess
import sys
import time
from pathlib import Path
from unittest.mock import AsyncMock, Mock
from unittest.mock import call as call_of

import pytest

from latchspoke.lab.soak import fleet as fleet_module
from latchspoke.lab.soak.deployments import SMALL
from latchspoke.lab.soak.fleet import READINESS_PORT, Fleet, Machine
from latchspoke.lab.soak.link_faults import Faults, LinkProtocol
from latchspoke.lab.soak.parties import call
from latchspoke.lab.soak.power_loss import LOG_FILE, committed_bytes, lose_power
from latchspoke.lab.soak.processor import ProcessorQuota, processor_time_s
from latchspoke.lab.soak.record import Life, Record, Sent
from latchspoke.lab.soak.run import Plan, Run, play

STEP_S = 2400.0
EFFECT_TIMEOUT_S = 15.0


async def until_ready(machine: Machine, status: int) -> None:
    """Wait until a gateway answers ``GET /readiness`` so. Raises TimeoutError."""
    async with asyncio.timeout(EFFECT_TIMEOUT_S):
        while (await call((machine.ip, READINESS_PORT), "GET", "/readiness"))[0] != status:
            await asyncio.sleep(0.1)


def test_cuts_and_clock_steps_reach_the_processes(net: int, tmp_path: Path) -> None:
    async def scenario() -> None:
        run = Run(Plan(1, gateways=2, control=3, clients=0, servers=1, troubles=True), tmp_path, net)
        try:
            await run.start_system()
            gateway, other = run.fleet.edges
            run.outages.cut_between({gateway}, {other, *run.fleet.core})
            await until_ready(gateway, 503)  # its lease has ended
            await until_ready(other, 200)
            run.outages.heal()
            await until_ready(gateway, 200)
            for machine in (gateway, run.fleet.core[0]):
                machine.faults.clock_offset_s = STEP_S
                await run.fleet.kill(machine, 0.1)  # a process that starts while the clock is wrong
            await until_ready(gateway, 200)
            async with asyncio.timeout(EFFECT_TIMEOUT_S):
                while await run.replace_configuration() != 200:
                    await asyncio.sleep(0.1)
        finally:
            await run.fleet.stop_all()
            for task in run.servers.values():
                task.cancel()
            await asyncio.gather(*run.servers.values(), return_exceptions=True)
        assert run.record.faults == []

    asyncio.run(scenario())


def test_time_of_day_jumps_in_a_process_and_back(tmp_path: Path) -> None:
    path = tmp_path / "faults.json"
    script = (
        "import sys, time\n"
        "from latchspoke.lab.soak import link_faults\n"
        "true_time = time.time\n"
        "link_faults.install(sys.argv[1])\n"
        "for line in sys.stdin:\n"
        "    time.sleep(0.1)\n"
        "    print(round(time.time() - true_time()), flush=True)\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", script, str(path)], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert process.stdin is not None and process.stdout is not None
    for offset in (0.0, STEP_S, -STEP_S, 0.0):
        path.write_text(json.dumps({"cut": [], "delay_s": 0, "loss": 0, "clock_offset_s": offset}))
        process.stdin.write("go\n")
        process.stdin.flush()
        assert int(process.stdout.readline()) == offset
    process.communicate()


@pytest.mark.parametrize("seed", range(12))
def test_loss_of_power_keeps_what_was_committed(seed: int, tmp_path: Path) -> None:
    print(f"seed {seed}")
    rng = random.Random(seed)
    source = sqlite3.connect(tmp_path / "register.db", isolation_level=None)
    source.execute("PRAGMA journal_mode = WAL")
    source.execute("PRAGMA cache_size = 1")  # so that what isn't committed is written early
    source.execute("CREATE TABLE t (n INTEGER, data BLOB)")
    for number in range(rng.randrange(1, 20)):
        source.execute("INSERT INTO t VALUES (?, ?)", (number, rng.randbytes(3000)))
    committed = source.execute("SELECT count(*) FROM t").fetchone()
    source.execute("BEGIN")
    for number in range(40):
        source.execute("INSERT INTO t VALUES (?, ?)", (-number, rng.randbytes(3000)))
    disk = tmp_path / "after"
    disk.mkdir()
    for path in tmp_path.glob("register.db*"):
        if not path.name.endswith("-shm"):
            (disk / path.name).write_bytes(path.read_bytes())
    log = (disk / LOG_FILE).read_bytes()
    assert 0 < committed_bytes(log) < len(log)
    lose_power(disk, rng)
    after = sqlite3.connect(disk / "register.db")
    assert after.execute("PRAGMA quick_check").fetchone() == ("ok",)
    assert after.execute("SELECT count(*) FROM t").fetchone() == committed
    after.close()
    source.close()


def test_quota_holds_a_process_to_its_share_of_the_processor() -> None:
    process = subprocess.Popen([sys.executable, "-c", "while True: pass"])
    quota = ProcessorQuota(lambda: {process.pid: 0.3})
    quota.start()
    try:
        time.sleep(0.3)
        before, begun = processor_time_s(process.pid), time.monotonic()
        time.sleep(1.5)
        after, took = processor_time_s(process.pid), time.monotonic() - begun
    finally:
        quota.finish()
        process.kill()
        process.wait()
    assert before is not None and after is not None
    assert (after - before) / took < 0.6 and quota.stops > 5


def test_requests_in_an_outage_are_not_judged_by_the_share_that_is_served() -> None:
    record = Record(0.0, 3.0)
    for number, (at, status) in enumerate([(1.0, 200), (5.0, 0), (5.5, 503), (9.0, 200), (9.5, 0)]):
        record.sent[str(number)] = Sent(str(number), "GET", "/", b"", "g", at, at + 0.2, status=status)
    assert record.served_fraction() == 2 / 5
    record.outages.append((4.0, 6.0))
    assert record.served_fraction() == 2 / 3
    record.outages.append((8.9, math.inf))
    assert record.served_fraction() == 1.0


def test_system_that_does_not_come_back_and_a_lost_configuration_are_found(net: int, tmp_path: Path) -> None:
    bounds = SMALL.bounds | {"recoveryS": "0.5"}

    async def scenario() -> list[str]:
        plan = Plan(1, clients=0, deployment=dataclasses.replace(SMALL, bounds=bounds))
        run = Run(plan, tmp_path, net)  # nothing is started
        run.acknowledged_version = 5
        run.outages.loss_begins()
        run.outages.loss_ends()
        await run.outages.wait_until_back()
        await run.check_configuration()
        return [finding.rule for finding in run.record.findings()]

    assert asyncio.run(scenario()) == ["RECOVER", "LOST"]


@pytest.mark.parametrize("seed", [1, 2])
def test_soak_with_troubles_of_many_machines(seed: int, net: int, tmp_path: Path) -> None:
    found, counts = play(Plan(seed, seconds=10.0, troubles=True), tmp_path, net)
    assert not found, "\n".join(map(str, found[:10]))
    assert counts["processes begun"] > 7


def test_two_starts_beside_a_process_at_once_lose_no_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A run waited for ever for a process that it had lost from its list, and never told to stop."""
    fleet = Fleet(tmp_path, Record(0.0, 3.0), 99, 1, 1)
    machine, started = fleet.edges[0], []

    async def start(machine: Machine, first: bool = False) -> None:
        await asyncio.sleep(0.01)
        machine.process = Mock(returncode=None, wait=AsyncMock(return_value=0))
        started.append(machine.process)
        machine.stops = False
        fleet.record.lives[machine.ip].append(Life(0.0))

    monkeypatch.setattr(fleet, "start", start)
    monkeypatch.setattr(fleet_module, "send_signal", lambda *args: None)

    async def scenario() -> None:
        await start(machine)
        await asyncio.gather(*(fleet.start_beside(machine) for _ in range(2)), fleet.kill(machine, 0.0))

    asyncio.run(scenario())
    assert len(started) == 2 and machine.process is started[1] and not machine.stops


def test_link_that_is_cut_holds_little_input(tmp_path: Path) -> None:
    """A process of a run took 540 MB, most of which the cut held for it in its own memory."""
    loop = asyncio.new_event_loop()
    faults = Faults(str(tmp_path / "none"))
    faults.cut, received = frozenset({"peer"}), bytearray()
    inner = Mock(data_received=received.extend)
    transport = Mock(is_closing=lambda: False)
    link = LinkProtocol(loop, faults, "peer", inner)
    link.connection_made(transport)
    for _ in range(3):
        link.data_received(b"x" * 30_000)
    assert transport.method_calls[-1] == call_of.pause_reading()
    faults.cut = frozenset()
    link.inbound.release()
    assert len(received) == 90_000 and transport.method_calls[-1] == call_of.resume_reading()
    link.transport.pause_reading()
    link.data_received(b"x")
    assert transport.method_calls[-1] == call_of.pause_reading(), "the protocol wants none"
    loop.close()
