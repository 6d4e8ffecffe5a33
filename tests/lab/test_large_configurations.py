"""Configurations of a large size, one after the other, take no process over its memory. Real processes."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
from pathlib import Path

import pytest

from latchspoke.lab.soak.conditions import Conditions
from latchspoke.lab.soak.deployments import SMALL, Role
from latchspoke.lab.soak.hostile_clients import KINDS, HostileClients
from latchspoke.lab.soak.parties import call, configuration, enlarge
from latchspoke.lab.soak.run import Plan, Run
from tests.lab.test_strange_machines import system, until_served

MEMORY_MB = 96
TENANTS = 10_000
VERSIONS = 14
SUBSCRIBERS = 60
ATTACK_S = 4.0
UP_TIMEOUT_S = 30.0
RETRY_INTERVAL_S = 0.1


def whole_configuration(version: int) -> bytes:
    """A configuration in which each tenant differs from the one before."""
    fields = configuration(version, version - 1, random.Random(version))
    enlarge(fields, 0, TENANTS)
    for tenant in fields["tenants"][-TENANTS:]:
        tenant["ratePerS"] = version
    return json.dumps(fields).encode()


def make_plan() -> Plan:
    """A small system whose processes have little memory."""
    role = Role(1, MEMORY_MB, 1000)
    deployment = dataclasses.replace(SMALL, gateways=role, control=role)
    return Plan(1, gateways=1, control=1, clients=0, servers=1, deployment=deployment)


def test_large_configurations_in_a_row_take_no_process_over_its_memory(net: int, tmp_path: Path) -> None:
    """Fault (review/6): control machines kept 30 configurations decoded, whatever their size."""

    async def scenario() -> None:
        async with system(tmp_path, net, Conditions(), plan=make_plan()) as run:
            first = run.version + 1
            for version in range(first, first + VERSIONS):
                await until_taken(run, whole_configuration(version))
            await check(run)

    asyncio.run(scenario())


@pytest.mark.parametrize("program", ["controlplane", "dataplane"])
def test_subscribers_that_do_not_read_take_no_process_over_its_memory(
    program: str, net: int, tmp_path: Path
) -> None:
    """Fault: each might leave 8 MB of a large configuration unread, with no bound for all of them."""
    kind = next(kind for kind in KINDS if (kind.name, kind.program) == ("peer_no_readers", program))

    async def scenario() -> None:
        async with system(tmp_path, net, Conditions(), plan=make_plan()) as run:
            await until_taken(run, whole_configuration(run.version + 1))
            await HostileClients(run.fleet, random.Random(1)).run(kind, SUBSCRIBERS, ATTACK_S)
            await check(run)

    asyncio.run(scenario())


async def check(run: Run) -> None:
    """Check the memory of all processes, and that requests are served."""
    run.fleet.sample_memory()
    print(f"peak {run.record.peak_memory_mb} MB")
    await until_served(run.fleet.edges[0], UP_TIMEOUT_S)


async def until_taken(run: Run, body: bytes) -> None:
    """Send a configuration until it is acknowledged. Raises TimeoutError."""
    async with asyncio.timeout(UP_TIMEOUT_S):
        while (await call(run.fleet.control[0], "POST", "/rpc?call=configuration.replace", body))[0] != 200:
            await asyncio.sleep(RETRY_INTERVAL_S)
