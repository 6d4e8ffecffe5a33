"""Reads what gateways decided by which rules: what contradicted what, and for how long."""

from __future__ import annotations

from collections import defaultdict
from itertools import combinations

from latchspoke.lab.schedules.gates import FIGURE, RIGHT
from latchspoke.lab.schedules.world import Record, RuleAct, World
from latchspoke.revisions.documents import PLAN_LIMITS, Document, contradictions
from latchspoke.revisions.leases import STRICT

Spans = dict[int, tuple[float, float]]  # by version: the first and the last decision under it


def bound(drift: float) -> float:
    """T: a right of the longest length, counted by the slowest clock."""
    return RIGHT / (1 - drift)


def read(world: World) -> tuple[list[str], float]:
    """What is wrong, and the longest time for which two acted on what contradicts."""
    record = world.record
    wrong = [*digests(record), *chains(record), *lapsed(record)]
    longest = 0.0
    most = bound(world.setup.drift)
    for name, spans in by_document(record).items():
        for old, new in combinations(sorted(spans), 2):
            lasted = spans[old][1] - spans[new][0]
            if lasted <= longest or not contradictions(name, at(record, name, old), at(record, name, new)):
                continue
            longest = lasted
            if lasted > most:
                wrong.append(f"{name}: {old} acted on {lasted:.3f} s beside {new}, {most:.3f} s at most")
    return wrong, longest


def at(record: Record, name: str, version: int) -> Document:
    return record.rules.get((name, version), Document())


def by_document(record: Record) -> dict[str, Spans]:
    found: dict[str, Spans] = defaultdict(dict)
    for act in record.rule_acts:
        if not act.lapsed:
            first, _ = found[act.name].get(act.version, (act.at, act.at))
            found[act.name][act.version] = first, act.at
    return found


def digests(record: Record) -> list[str]:
    """Nobody decided by anything else than what was agreed on under that number."""
    wrong: dict[tuple[str, int], str] = {}
    for act in record.rule_acts:
        known = record.rules.get((act.name, act.version))
        if act.lapsed or (known is not None and known.digest == act.digest):
            continue
        text = f"{act.at:.3f} {act.gateway} acts on {act.name} {act.version} with other content"
        wrong.setdefault((act.name, act.version), text)
    return list(wrong.values())


def chains(record: Record) -> list[str]:
    """Each version that an operator was told of stands on the one that the operator meant."""
    wrong = []
    parents: dict[tuple[str, int], int] = {}
    for _, _, index, command in record.rule_puts:
        made = record.rule_made.get(index)
        if made is None:
            wrong.append(f"a version of {command.name}, told as put at {index}, is lost")
        elif parents.setdefault((command.name, command.parent), index) != index:
            wrong.append(f"two versions of {command.name} are on top of {command.parent}")
    return wrong


def lapsed(record: Record) -> list[str]:
    """Whoever may not act any more is never looser than what is active."""
    wrong: list[str] = []
    for act in record.rule_acts:
        if act.name == PLAN_LIMITS and act.lapsed == STRICT:
            active = at(record, PLAN_LIMITS, record.active_at(PLAN_LIMITS, act.at)).get(FIGURE)
            if active is not None and act.figure > float(active):
                wrong.append(f"{act.at:.3f} {act.gateway} has lapsed, goes by {act.figure} of {active}")
                break
    return wrong


def idle(world: World, done: float) -> list[str]:
    """With all mended, every gateway acts by right on the newest version."""
    newest = max(world.hosts.values(), key=lambda host: host.office.machines.applied_index).office.rules
    wrong = []
    last: dict[tuple[str, str], RuleAct] = {}
    for act in world.record.rule_acts:
        last[act.gateway, act.name] = act
    for name, state in newest.states.items():
        if not state.head:
            continue  # by what stands in their files, which nobody writes down
        for gate in world.gates:
            latest = last.get((gate, name))
            if latest is None or latest.version != state.head or latest.lapsed:
                wrong.append(f"{done:.3f} {gate} goes by {latest}, {name} {state.head} is the newest")
    return wrong
