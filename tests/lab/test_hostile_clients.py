"""Clients that nobody controls end no process, take none over its limits, and leave nothing behind.

The processes are real, with lowered limits. What is checked doesn't depend on the machine's speed.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
from pathlib import Path

import pytest

from latchspoke.lab.soak.conditions import Conditions
from latchspoke.lab.soak.deployments import SMALL, Role
from latchspoke.lab.soak.fleet import READINESS_PORT, Machine, open_descriptors
from latchspoke.lab.soak.hostile_clients import KINDS, HostileClients, HostileKind
from latchspoke.lab.soak.parties import call
from latchspoke.lab.soak.run import Plan, Run
from latchspoke.lab.soak.run import play as play_soak
from tests.lab.test_strange_machines import system, until_served

# As many descriptors to a megabyte as a deployment has, beside the 31 MB of a process without callers.
MEMORY_MB = 96
DESCRIPTORS = 1000
ATTACK_S = 3.0
SAMPLE_INTERVAL_S = 0.1
RELEASE_TIMEOUT_S = 30.0  # after the last hostile connection has closed
# Connections of a crowd; by port, as the limits are.
CROWD = 450
LARGE_MESSAGE_CROWD = 6
LARGE_MESSAGES = ("json_bombs", "peer_json_bombs", "peer_small_json_bombs")
LONG_ANSWER_CROWD = 60
LONG_ANSWERS = ("slow_readers", "no_readers")
IDLE_CROWD = 1300  # more than there are descriptors
IDLE = ("idle", "call_idle", "peer_idle")
MIXED_CROWD = 20  # of each kind, all kinds at once
UP_TIMEOUT_S = 30.0


def crowd(kind: HostileKind) -> int:
    """How many clients of this kind come at once."""
    if kind.name in IDLE:
        return IDLE_CROWD
    if kind.name.startswith(LONG_ANSWERS):
        return LONG_ANSWER_CROWD
    return LARGE_MESSAGE_CROWD if kind.name.startswith(LARGE_MESSAGES) else CROWD


async def most_descriptors(machines: list[Machine]) -> int:
    """The most descriptors that any of these processes has open, until cancelled."""
    most = 0
    try:
        while True:
            most = max(most, *(open_descriptors(machine) for machine in machines))
            await asyncio.sleep(SAMPLE_INTERVAL_S)
    except asyncio.CancelledError:
        return most


async def until_nothing_is_held(gateway: Machine) -> None:
    """Wait until a gateway counts no bodies, heads or answers any more. Raises TimeoutError."""
    async with asyncio.timeout(RELEASE_TIMEOUT_S):
        while True:
            status, body = await call((gateway.ip, READINESS_PORT), "GET", "/status")
            memory = json.loads(body)["body_memory"] if status == 200 else {"unknown": {"held": 1}}
            if not any(part["held"] for part in memory.values()):
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@pytest.mark.parametrize("kind", KINDS, ids=str)
def test_crowd_takes_no_process_over_its_limits(kind: HostileKind, net: int, tmp_path: Path) -> None:
    play(net, tmp_path, [(kind, crowd(kind))])


def test_all_kinds_at_once_take_no_process_over_its_limits(net: int, tmp_path: Path) -> None:
    """The limits of all that callers hold, together, leave room for the process itself."""
    play(net, tmp_path, [(kind, min(MIXED_CROWD, crowd(kind))) for kind in KINDS])


def play(net: int, folder: Path, crowds: list[tuple[HostileKind, int]]) -> None:
    """Let crowds meet a small system, and check its processes then."""
    role = Role(1, MEMORY_MB, DESCRIPTORS)
    deployment = dataclasses.replace(SMALL, gateways=role, control=role)
    plan = Plan(1, gateways=1, control=1, clients=0, servers=1, deployment=deployment)

    async def scenario() -> None:
        async with system(folder, net, Conditions(), plan=plan) as run:
            clients = HostileClients(run.fleet, random.Random(1))
            machines = [*run.fleet.core, *run.fleet.edges]
            descriptors = asyncio.create_task(most_descriptors(machines))
            await asyncio.gather(*(clients.run(kind, count, ATTACK_S) for kind, count in crowds))
            descriptors.cancel()
            run.fleet.sample_memory()
            print(f"peak {run.record.peak_memory_mb} MB, {await descriptors} descriptors")
            assert await descriptors <= DESCRIPTORS
            await until_served(run.fleet.edges[0], UP_TIMEOUT_S)
            await until_order_is_taken(run)
            await until_nothing_is_held(run.fleet.edges[0])

    asyncio.run(scenario())


async def until_order_is_taken(run: Run) -> None:
    """Wait until a configuration is acknowledged. Raises TimeoutError."""
    async with asyncio.timeout(UP_TIMEOUT_S):
        while await run.replace_configuration() != 200:
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@pytest.mark.parametrize("seed", [1, 2])
def test_soak_with_hostile_clients(seed: int, net: int, tmp_path: Path) -> None:
    found, counts = play_soak(Plan(seed, seconds=8.0, hostile=True), tmp_path, net)
    assert not found, "\n".join(map(str, found[:10]))
    assert any(kind.name in counts["operations"] for kind in KINDS)
