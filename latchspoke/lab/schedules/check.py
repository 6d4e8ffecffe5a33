"""Plays schedules and reads the record afterwards: what must always hold, and what must hold in the end."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from latchspoke.lab.schedules import faults, gates, rules
from latchspoke.lab.schedules.faults import Fault
from latchspoke.lab.schedules.world import Asked, Check, Record, Setup, World

LOOK = 0.5  # s between an operator's looks
SETTLE = 8.0  # grants after the last fault, by which every duty is held again


@dataclass(frozen=True, slots=True)
class Verdict:
    """Of one schedule."""

    seed: int
    wrong: tuple[str, ...]
    acts: int = 0
    refused: int = 0  # acts that the token alone kept out
    elections: int = 0
    longest: float = 0.0  # s without an act, of any duty, once the faults were over
    contradicted: float = 0.0  # the longest time for which two gateways contradicted each other, of T
    decided: int = 0  # by gateways
    lapsed: int = 0  # of these, without a right
    damaged: int = 0  # contents refused by their digest


def play(setup: Setup, seed: int, schedule: Iterable[Fault]) -> Verdict:
    world = World(setup, seed)
    if setup.gates:
        gates.operators(world, faults.SPAN)
    last = 0.0
    for fault in schedule:
        world.at(fault.at, partial(faults.play, world, fault))
        last = max(last, fault.at + fault.lasts)
    end = max(last, faults.SPAN)
    for n in range(int(end / LOOK)):
        world.at(n * LOOK, world.look)
    world.run(end)
    for process in world.processes():
        process.start()
        process.cont()
    done = end + SETTLE * setup.length
    world.run(done)
    record = world.record
    wrong = [*record.faults, *exclusive(record), *linear(record)]
    longest, idle = idle_duties(world, record, done)
    contradicted = 0.0
    if world.gates:
        found, contradicted = rules.read(world)
        idle += found + rules.idle(world, done)
    return Verdict(
        seed, tuple(wrong + idle), len(record.acts), len(record.refused), record.elections, longest,
        contradicted / rules.bound(setup.drift), len(record.rule_acts),
        sum(bool(act.lapsed) for act in record.rule_acts), record.damaged,
    )  # fmt: skip


def exclusive(record: Record) -> list[str]:
    """At no moment do two believe that they hold a duty, and each token has one holder."""
    wrong = []
    latest: dict[str, Check] = {}
    holders: dict[tuple[str, int], str] = {}
    for check in record.checks:
        other = holders.setdefault((check.duty, check.token), check.holder)
        if other != check.holder:
            wrong.append(f"{check.at:.3f} {check.duty}: token {check.token} of {other} and {check.holder}")
        before = latest.get(check.duty)
        if before is not None and check.token < before.token:
            wrong.append(
                f"{check.at:.3f} {check.duty}: {check.holder} acts under {check.token} after"
                f" {before.holder} under {before.token} at {before.at:.3f}"
            )
        else:
            latest[check.duty] = check
    return wrong


def linear(record: Record) -> list[str]:
    """Whatever was told to an operator is seen by everybody who asks afterwards."""
    wrong = []
    told = sorted(record.asked, key=lambda asked: asked.at)
    times, most, newest = [asked.at for asked in told], 0, []
    for asked in told:
        most = max(most, asked.index)
        newest.append(most)
    for asked in told:
        n = bisect.bisect_left(times, asked.since)
        known = newest[n - 1] if n else 0
        if missed(asked, known):
            wrong.append(f"{asked.at:.3f} a {asked.what} shows {asked.index}, {known} was told before")
        if asked.what == "command" and asked.index not in record.applied:
            wrong.append(f"{asked.at:.3f} entry {asked.index} was told as done and is lost")
    return wrong


def missed(asked: Asked, known: int) -> bool:
    return asked.index <= known if asked.what == "command" else asked.index < known


def idle_duties(world: World, record: Record, done: float) -> tuple[float, list[str]]:
    """With all mended, each duty that there is has somebody who acts."""
    last: dict[str, float] = defaultdict(float)
    for act in record.acts:
        last[act.duty] = max(last[act.duty], act.at)
    # An operator who heard nothing asks again, so that a removal may come after what was to follow it.
    newest = max(world.hosts.values(), key=lambda host: host.office.machines.applied_index)
    names = [name for name, state in newest.office.duties.duties.items() if state.rule is not None]
    longest = max((done - last[name] for name in names), default=0.0)
    idle = [
        f"{done:.3f} {name} is nobody's since {last[name]:.3f}"
        for name in names if done - last[name] > world.setup.length
    ]  # fmt: skip
    if len(newest.office.duties.duties) < world.setup.duties:
        idle.append(f"{done:.3f} only {len(newest.office.duties.duties)} duties are known")
    return longest, idle


def explore(setup: Setup, seed: int) -> tuple[Verdict, tuple[Fault, ...]]:
    schedule = faults.draw(setup, seed)
    return play(setup, seed, schedule), schedule


def shorten(setup: Setup, seed: int, schedule: tuple[Fault, ...]) -> tuple[Fault, ...]:
    """Leave out what the failure doesn't need, one fault after the other."""
    n = 0
    while n < len(schedule):
        fewer = schedule[:n] + schedule[n + 1 :]
        if fails(setup, seed, fewer):
            schedule = fewer
        else:
            n += 1
    return schedule


def fails(setup: Setup, seed: int, schedule: tuple[Fault, ...]) -> bool:
    try:
        return bool(play(setup, seed, schedule).wrong)
    except AssertionError:
        return True
