"""Real processes on machines that nobody prepared start, and go on; see docs/process-failures.md."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import math
import os
import random
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from latchspoke.lab.soak.conditions import Conditions, LogSink
from latchspoke.lab.soak.deployments import SMALL, Role
from latchspoke.lab.soak.fleet import FRONT_PORT, READINESS_PORT, ROOT, Machine
from latchspoke.lab.soak.hostile_callers import HostileCallers
from latchspoke.lab.soak.parties import KEYS, call
from latchspoke.lab.soak.record import Record
from latchspoke.lab.soak.run import SERVICES, Plan, Run, play

RELOADS = 80  # whose lines fill a pipe of 4 KiB
UP_TIMEOUT_S = 20.0
LITTLE_MEMORY_MB = 80  # of which a process takes 31 without callers


def run_start(
    program: str, *options: str, root: Path = ROOT, **variables: str
) -> subprocess.CompletedProcess[str]:
    """Start a program by the deploy file's script, and wait for its end."""
    return subprocess.run(
        [sys.executable, *options, "-S", "deploy/start.py", program],
        cwd=root, env=os.environ | variables, capture_output=True, text=True, timeout=UP_TIMEOUT_S,
    )  # fmt: skip


@contextlib.asynccontextmanager
async def system(
    folder: Path, net: int, conditions: Conditions, control: int = 1, gateways: int = 1,
    plan: Plan | None = None,
) -> AsyncIterator[Run]:  # fmt: skip
    """A started system whose machines all have these conditions; no process may end by itself."""
    run = Run(plan or Plan(1, gateways=gateways, control=control, clients=0, servers=1), folder, net)
    for machine in [*run.fleet.core, *run.fleet.edges]:
        machine.conditions = conditions
    try:
        await run.start_system()
        yield run
        assert run.record.faults == []
    finally:
        await run.fleet.stop_all()
        for task in run.servers.values():
            task.cancel()
        await asyncio.gather(*run.servers.values(), return_exceptions=True)


async def request(machine: Machine) -> int:
    """The status of a request of a client on a new connection."""
    reader, writer = await asyncio.open_connection(machine.ip, FRONT_PORT)
    with contextlib.closing(writer):
        return await ask(reader, writer)


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> int:
    """The status of a request on an open connection; 0 without an answer."""
    attempt = f"{time.monotonic_ns():016x}"
    writer.write(
        f"GET /levels/now HTTP/1.1\r\nHost: river.example\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Remaining: 1200\r\nAuthorization: Token {KEYS['ferry']}\r\n\r\n".encode()
    )
    try:
        async with asyncio.timeout(3.0):
            line = await reader.readline()
    except (OSError, TimeoutError):
        return 0
    return int(line.split()[1]) if line else 0


async def until_served(machine: Machine, within: float = UP_TIMEOUT_S) -> None:
    """Wait until a request of a client is served. Raises TimeoutError."""
    async with asyncio.timeout(within):
        while True:
            with contextlib.suppress(OSError):
                if await request(machine) == 200:
                    return
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("sink", [LogSink.UNREAD_PIPE, LogSink.CLOSED_PIPE, LogSink.FULL_DEVICE])
def test_output_that_nobody_takes_stops_no_process(sink: LogSink, net: int, tmp_path: Path) -> None:
    """A full pipe blocked all processes; a failing write ended the way of each new configuration."""

    async def scenario() -> None:
        async with system(tmp_path, net, Conditions(sink)) as run:
            for _ in range(RELOADS):
                for machine in [*run.fleet.core, *run.fleet.edges]:
                    run.fleet.signal(machine, signal.SIGHUP)
                await asyncio.sleep(0.01)
            assert await run.replace_configuration() == 200
            gateway = run.fleet.edges[0]
            await until_served(gateway)
            status, body = await call((gateway.ip, READINESS_PORT), "GET", "/status")
            view = json.loads(body)
            assert status == 200 and int(view["acts_by"], 16) == run.version
            assert view["process"]["log_lines_lost"] or sink is LogSink.UNREAD_PIPE  # there, lines may wait
            assert view["process"]["failures"] == 0

    asyncio.run(scenario())


def test_process_that_is_granted_no_thread_serves_and_writes_its_log(net: int, tmp_path: Path) -> None:
    """Each ended with -6 (SIGABRT), and wrote nothing."""

    async def scenario() -> None:
        async with system(tmp_path, net, Conditions(threads_granted=False)) as run:
            await until_served(run.fleet.edges[0])
            for machine in [*run.fleet.core, *run.fleet.edges]:
                assert machine.process is not None
                assert len(list(Path(f"/proc/{machine.process.pid}/task").iterdir())) == 1
            await asyncio.sleep(1.5)  # until the log is opened
        for machine in [*run.fleet.core, *run.fleet.edges]:
            log = (tmp_path / f"{machine.name}.log").read_text()
            assert "event=serves" in log and log.splitlines()[-1].count("event=ended") == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("settings", ["limits: {", "nodeName: 7"])
def test_process_that_ends_says_why_in_one_line(settings: str, tmp_path: Path) -> None:
    """An exception was a page of traceback; events of the first second of a process were lost."""
    path = tmp_path / "local.yaml"
    path.write_text(settings)
    done = run_start("dataplane", LATCHSPOKE_NODE_FILE=str(path))
    assert done.returncode == 2
    (line,) = done.stderr.splitlines()
    assert "level=error event=failed" in line and str(path) in line


@pytest.mark.parametrize("module", ["httptools", "msgspec"])
def test_process_whose_libraries_are_missing_says_so_in_one_line(module: str, tmp_path: Path) -> None:
    """It ended with a traceback."""
    for folder in ("latchspoke", "barleyhub", "deploy"):
        shutil.copytree(ROOT / folder, tmp_path / folder)
    (tmp_path / f"{module}.py").write_text(f"raise ModuleNotFoundError('No module named {module}')")
    done = run_start("dataplane", root=tmp_path)
    assert done.returncode == 1
    (line,) = done.stderr.splitlines()
    assert f"No module named {module}" in line


def test_process_stopped_before_its_log_is_open_still_says_that_it_ended(net: int, tmp_path: Path) -> None:
    """Events are written from a second after the start on; those before were lost with the process."""

    async def scenario() -> None:
        run = Run(Plan(1, gateways=1, control=1), tmp_path, net)
        gateway = run.fleet.edges[0]
        await run.fleet.start(gateway, True)
        async with asyncio.timeout(UP_TIMEOUT_S):
            while (await call((gateway.ip, READINESS_PORT), "GET", "/readiness"))[0] != 503:
                await asyncio.sleep(0.01)
        await run.fleet.stop_all()
        assert run.record.faults == []
        log = (tmp_path / f"{gateway.name}.log").read_text()
        assert "event=serves" in log and "event=ended" in log.splitlines()[-1]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "attack",
    ["unfinished_heads", "unread_calls", "waiting_orders", "unfinished_messages", "endless_headers"],
)
def test_callers_that_do_not_read_or_finish_take_no_process_over_its_memory(
    attack: str, net: int, tmp_path: Path
) -> None:
    """Each kind took a process to several times its memory, in seconds."""
    role = Role(1, LITTLE_MEMORY_MB, 900)
    deployment = dataclasses.replace(SMALL, gateways=role, control=role)

    async def scenario() -> None:
        plan = Plan(1, gateways=1, control=1, clients=0, servers=1, deployment=deployment)
        async with system(tmp_path, net, Conditions(), plan=plan) as run:
            callers = HostileCallers(run.fleet, random.Random(1), SERVICES[0])
            await callers.run(getattr(callers, attack), 4.0)
            run.fleet.sample_memory()
            await until_served(run.fleet.edges[0])

    asyncio.run(scenario())


def test_data_directory_that_is_missing_is_created(net: int, tmp_path: Path) -> None:
    """All control machines ended with 1, so that no configuration was taken."""

    async def scenario() -> None:
        async with system(tmp_path, net, Conditions(folder_exists=False), control=3) as run:
            await until_served(run.fleet.edges[0])

    asyncio.run(scenario())


def test_control_machines_that_lose_their_disks_one_after_the_other_come_back(
    net: int, tmp_path: Path
) -> None:
    """Each ended with 1 at its start; after the second, nothing was served."""

    async def scenario() -> None:
        async with system(tmp_path, net, Conditions(), control=3) as run:
            for machine in run.fleet.core:
                shutil.rmtree(run.fleet.disk(machine))
                machine.conditions = Conditions(folder_exists=False)
                await run.fleet.kill(machine, 0.1)
                await asyncio.sleep(5.0)  # over catchUpS
                await until_served(run.fleet.edges[0], 2.0)
            assert await run.replace_configuration() == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("program", ["dataplane", "controlplane"])
def test_process_that_is_started_while_the_old_one_drains_takes_its_place(
    program: str, net: int, tmp_path: Path
) -> None:
    """It ended with 1, as the address was in use; once the old one had ended, nobody served there."""

    async def scenario() -> None:
        async with system(tmp_path, net, Conditions()) as run:
            machine = (run.fleet.core if program == "controlplane" else run.fleet.edges)[0]
            await run.fleet.start_beside(machine)
            await until_served(run.fleet.edges[0])
            assert machine.process is not None and machine.process.returncode is None
            async with asyncio.timeout(UP_TIMEOUT_S):
                while await run.replace_configuration() != 200:
                    await asyncio.sleep(0.2)

    asyncio.run(scenario())


def test_soft_limit_on_descriptors_is_raised(net: int, tmp_path: Path) -> None:
    """With that many connections open, the event loop closed new ones before their requests were read."""

    async def scenario() -> None:
        conditions = Conditions(soft_descriptors=64, hard_descriptors=900)
        async with system(tmp_path, net, conditions) as run:
            gateway, statuses = run.fleet.edges[0], []
            connections = [await asyncio.open_connection(gateway.ip, FRONT_PORT) for _ in range(150)]
            for reader, writer in connections:
                statuses.append(await ask(reader, writer))
            for _, writer in connections:
                writer.close()
            assert 0 not in statuses
            assert statuses.count(200) > 100  # some servers are sick

    asyncio.run(scenario())


def test_settings_file_that_is_still_being_written_is_waited_for(net: int, tmp_path: Path) -> None:
    """A process that met half a file ended with 2."""

    async def scenario() -> None:
        run = Run(Plan(1, gateways=1, control=1), tmp_path, net)
        gateway = run.fleet.edges[0]
        path = run.fleet.settings(gateway, True)
        whole = path.read_text()
        write, run.fleet.settings = run.fleet.settings, lambda machine, first: path  # type: ignore[method-assign]
        path.write_text(whole[: len(whole) // 2])
        await run.fleet.start(gateway, True)
        await asyncio.sleep(0.7)
        path.write_text(whole)
        async with asyncio.timeout(UP_TIMEOUT_S):
            while (await call((gateway.ip, READINESS_PORT), "GET", "/readiness"))[0] != 503:
                await asyncio.sleep(0.1)
        run.fleet.settings = write  # type: ignore[method-assign]
        await run.fleet.stop_all()
        assert run.record.faults == []

    asyncio.run(scenario())


def test_process_that_waits_for_its_disk_can_be_stopped(net: int, tmp_path: Path) -> None:
    """A disk that can't be used ended the process; it may be usable a moment later."""

    async def scenario() -> None:
        run = Run(Plan(1, gateways=1, control=1), tmp_path, net)
        machine = run.fleet.core[0]
        home = tmp_path / machine.name
        home.mkdir()
        run.fleet.disk(machine).write_text("a file where the folder belongs")
        machine.conditions = Conditions(folder_exists=False)
        await run.fleet.start(machine, True)
        await asyncio.sleep(1.5)
        assert machine.process is not None and machine.process.returncode is None
        await run.fleet.restart(machine, 0.0)
        assert len(run.record.lives[machine.ip]) == 2
        await asyncio.sleep(1.0)
        run.fleet.disk(machine).unlink()
        async with asyncio.timeout(UP_TIMEOUT_S):
            while not run.fleet.disk(machine).exists():
                await asyncio.sleep(0.1)
        await run.fleet.stop_all()
        assert run.record.faults == []
        killed = [life.killed_at < math.inf for life in run.record.lives[machine.ip]]
        assert killed == [False, False]

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", [1, 2])
def test_soak_on_machines_that_nobody_prepared(seed: int, net: int, tmp_path: Path) -> None:
    found, counts = play(Plan(seed, seconds=8.0, strange=True), tmp_path, net)
    assert not found, "\n".join(map(str, found[:10]))
    assert counts["processes begun"] > 7


def test_fault_rule_counts_ends_of_three_processes_on_two_machines() -> None:
    record = Record(0.0, 3.0)
    for address in ("a", "b", "c"):
        assert record.lives[address] == []
    record.own_ends["a"] += [(1.0, "x"), (2.0, "x"), (3.0, "x")]
    record.own_ends["b"] += [(1.0, "x"), (2.0, "x")]
    assert record.findings() == []
    record.own_ends["b"].append((4.0, "b ended"))
    assert [finding.rule for finding in record.findings()] == ["FAULT"]
    record.own_ends["b"].clear()
    record.control = {"a", "c"}
    assert [finding.rule for finding in record.findings()] == ["FAULT"]


def test_closed_standard_streams_don_t_hand_their_descriptors_to_files(net: int, tmp_path: Path) -> None:
    """Messages of libraries went into whatever had the number of standard error."""

    async def scenario() -> None:
        async with system(tmp_path, net, Conditions(LogSink.CLOSED)) as run:
            for machine in [*run.fleet.core, *run.fleet.edges]:
                assert machine.process is not None
                folder = Path(f"/proc/{machine.process.pid}/fd")
                assert [str((folder / str(number)).readlink()) for number in range(3)] == ["/dev/null"] * 3

    asyncio.run(scenario())
