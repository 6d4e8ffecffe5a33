"""``latchspoke lab schedules``: drawn faults by the thousand, and the shortest schedule that fails."""

from __future__ import annotations

import asyncio
import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console

from latchspoke.console.usage import UsageError, read_whole
from latchspoke.lab.schedules import changes, check, faults, rule_changes
from latchspoke.lab.schedules import real as duties_trial
from latchspoke.lab.schedules import real_rules as rules_trial
from latchspoke.lab.schedules.check import Verdict
from latchspoke.lab.schedules.faults import Fault
from latchspoke.lab.schedules.world import Setup

UNCHECKED = "unchecked"  # gateways that compare no right with the time
GATES = 5  # where a change is one of the rules' versions
CHUNK = 8  # schedules that a process plays at a time


def one(setup: Setup, change: str, seed: int) -> Verdict:
    """In a process of its own: what the change makes raise is a finding as well."""
    with changes.made(change):
        try:
            return check.explore(setup, seed)[0]
        except AssertionError as e:
            return Verdict(seed, (f"assertion: {e}",))


def real(out: str, setup: Setup, change: str, seed: int) -> Verdict:
    """A group of processes, in a folder of its own."""
    folder = Path(out).resolve() / f"seed-{seed}"
    folder.mkdir(parents=True)
    if setup.gates:
        return asyncio.run(rules_trial.trial(folder, seed, setup.members, setup.gates, change))
    return asyncio.run(duties_trial.trial(folder, seed, setup.members, setup.holders))


def drawn(setup: Setup, seed: int) -> tuple[Fault, ...]:
    """What a trial with real processes was to bear."""
    if setup.gates:
        return rules_trial.draw(seed, setup.members, setup.gates)
    return duties_trial.draw(seed, setup.members, setup.holders)


def main(args: dict[str, Any]) -> int:
    console = Console(highlight=False, soft_wrap=True)
    change = args["--change"] or ""
    if change and args["--real"] and change != UNCHECKED:
        raise UsageError(f"--change: with real processes there is {UNCHECKED} alone, of gateways")
    if change == "list":
        console.print("\n".join(sorted(changes.CHANGES)))
        return 0
    if change and change not in changes.CHANGES and not args["--real"]:
        raise UsageError(f"--change: there is no {change}; `--change list` names them")
    gates = read_whole(args, "--gates") or (GATES if change in rule_changes.NAMES else 0)
    setup = Setup(read_whole(args, "--members", 1), read_whole(args, "--holders", 1), gates=gates)
    first = read_whole(args, "--seed", 0) if args["--seed"] is not None else 1
    seeds = range(first, first + read_whole(args, "--count", 1))
    with ProcessPoolExecutor(read_whole(args, "--processes", 1)) as pool:
        count = len(seeds)
        if args["--real"]:
            verdicts = list(pool.map(real, [args["--out"]] * count, [setup] * count, [change] * count, seeds))
        else:
            verdicts = list(pool.map(one, [setup] * count, [change] * count, seeds, chunksize=CHUNK))
    failed = [verdict for verdict in verdicts if verdict.wrong]
    summary = {
        "members": setup.members, "holders": setup.holders, "seeds": [first, seeds[-1]], "change": change,
        "failed": [verdict.seed for verdict in failed],
        "acts": sum(verdict.acts for verdict in verdicts),
        "acts_refused_by_token": sum(verdict.refused for verdict in verdicts),
        "elections": sum(verdict.elections for verdict in verdicts),
        "longest_idle_after_mending_s": round(max(verdict.longest for verdict in verdicts), 3),
        "longest_contradiction_of_T": round(max(v.contradicted for v in verdicts), 3),
        "decided_by_gateways": sum(v.decided for v in verdicts),
        "decided_without_a_right": sum(v.lapsed for v in verdicts),
        "damaged_contents_refused": sum(v.damaged for v in verdicts),
        "median_idle_after_mending_s": round(statistics.median(v.longest for v in verdicts), 3),
    }  # fmt: skip
    if args["--json"]:
        print(msgspec.json.encode(summary).decode())
    else:
        for name, value in summary.items():
            console.print(f"{name}: {value}")
    if not failed:
        return 0
    if args["--real"]:
        for verdict in failed:
            console.print(f"seed {verdict.seed}: {verdict.wrong[0]}")
            for fault in drawn(setup, verdict.seed):
                console.print(f"  {fault}")
        return 1
    show(console, setup, change, failed[0])
    return 1


def show(console: Console, setup: Setup, change: str, verdict: Verdict) -> None:
    """The fewest faults with which this seed still fails."""
    console.print(f"seed {verdict.seed}: {verdict.wrong[0]}")
    with changes.made(change):
        for fault in check.shorten(setup, verdict.seed, faults.draw(setup, verdict.seed)):
            console.print(f"  {fault}")
