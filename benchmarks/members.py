"""Members on real sockets and disks: cost at rest, grants a second, elections on a busy machine.

    .venv/bin/python -m benchmarks.members

Each row is one group of three agents on this machine, with holders that ask over the agents' sockets. CPU is
that of the three agents together, as a part of one core.
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import os
import secrets
import sys
import tempfile
import time
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from latchspoke.agent.holder_driver import HolderDriver, holder_over_sockets
from latchspoke.agent.members import MemberStatus, clock
from latchspoke.duties.records import Candidate, Define, Rule
from latchspoke.lab.schedules.real import Trial

LENGTH = 10.0  # s of a grant
SPAN = 15.0  # s that are measured
DUTIES = 200
TICKS = os.sysconf("SC_CLK_TCK")


def cpu(trial: Trial) -> float:
    """s of CPU that the agents have used."""
    total = 0
    for n in range(trial.agents):
        fields = Path(f"/proc/{trial.processes[f'a{n}'].pid}/stat").read_text().rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / TICKS


async def counters(trial: Trial) -> dict[str, int]:
    """All agents' together."""
    found: dict[str, int] = {}
    for n in range(trial.agents):
        told = await trial.ask_one(n, "GET", "/v1/members")
        if told:
            status: MemberStatus = msgspec.json.decode(told, type=MemberStatus)
            for name, value in status.counters.items():
                found[name] = found.get(name, 0) + value
    return found


async def define(trial: Trial, name: str) -> None:
    path = f"/v1/duties/commands?ident={secrets.token_hex(8)}"
    while not await trial.ask("POST", path, Define(name, Rule(LENGTH))):
        await asyncio.sleep(0.05)


async def group(holders: int, table: Table, busy: int = 0) -> None:
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(Path(folder), holders=0)
        burners = [multiprocessing.Process(target=burn, daemon=True) for _ in range(busy)]
        try:
            await trial.prepare()
            began = clock()
            for n in range(trial.agents):
                trial.start_agent(n)
            await trial.all_vote()
            await define(trial, "first")
            sockets = [trial.socket(n) for n in range(trial.agents)]
            async with contextlib.AsyncExitStack() as stack:
                held: list[HolderDriver] = []
                for n in range(holders):
                    who = Candidate(f"h{n}", secrets.token_hex(4))
                    mine = sockets[n % 3 :] + sockets[: n % 3]
                    held.append(await stack.enter_async_context(holder_over_sockets(who, mine)))
                while not count(held):
                    await asyncio.sleep(0.01)
                first = clock() - began
                for burner in burners:
                    burner.start()
                await measure(trial, held, table, first, busy)
        finally:
            for burner in burners:
                if burner.pid is not None:
                    burner.terminate()
            await trial.end()


async def measure(trial: Trial, held: list[HolderDriver], table: Table, first: float, busy: int) -> None:
    await asyncio.sleep(3.0)
    before, used, since = await counters(trial), cpu(trial), clock()
    await asyncio.sleep(SPAN)
    after, used, took = await counters(trial), cpu(trial) - used, clock() - since
    per = {name: (after[name] - before.get(name, 0)) / took for name in after}
    began = clock()
    await asyncio.gather(*(define(trial, f"d{n}") for n in range(DUTIES)))
    defined = clock() - began
    while count(held) < DUTIES + 1 and clock() - began < 60:
        await asyncio.sleep(0.02)
    granted = clock() - began
    elections = (after.get("note.leads", 0) - before.get("note.leads", 0)) / took * 3600
    rates = DUTIES / defined, DUTIES / granted
    table.add_row(
        str(len(held)), str(busy), f"{first:.2f} s", f"{used / took:.3f}", f"{per.get('messages', 0):.0f}",
        f"{per.get('disk.syncs', 0):.1f}", f"{elections:.0f}", *(f"{rate:.0f}" for rate in rates),
    )  # fmt: skip


def count(held: list[HolderDriver]) -> int:
    return sum(len(one.holder.leases) for one in held)


def burn() -> None:
    end = time.monotonic() + 120
    while time.monotonic() < end:
        pass


def main() -> int:
    table = Table(
        "holders", "busy processes", "start to first grant", "CPU at rest", "messages/s", "syncs/s",
        "elections/h", "commands/s", "grants/s", box=None,
    )  # fmt: skip
    for holders, busy in ((3, 0), (40, 0), (200, 0), (3, 2 * (os.cpu_count() or 1))):
        asyncio.run(group(holders, table, busy))
    Console(width=150).print(table)
    return 0


if __name__ == "__main__":
    sys.exit(main())
