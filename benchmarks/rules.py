"""Rules with versions: how soon a change is active everywhere, how long gateways contradict, what it costs.

    .venv/bin/python -m benchmarks.rules [TRIALS]

Times in virtual time: from the put to the last gateway's first decision under the new version. Gateways
contradict from the first decision under the new version to the last one under the old; T is its bound.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from functools import partial

import msgspec
from rich.console import Console
from rich.table import Table

from barleyhub import interface as api
from barleyhub.choice import Gateway
from latchspoke.core import Attempt, Core, DecisionLease
from latchspoke.lab.schedules import faults, gates, rules
from latchspoke.lab.schedules.faults import Fault
from latchspoke.lab.schedules.world import Setup, World
from latchspoke.revisions.documents import BLOCKED, PLAN_LIMITS, Document, build_document
from latchspoke.revisions.leases import STRICT
from latchspoke.revisions.machine import RulesMachine, assemble
from latchspoke.revisions.records import Content, FetchRules, PutRules, Terms

WARM, AFTER = 14.0, 8.0  # s before and after the put
KINDS = ("all heard", "one stopped", "one cut off", "replies of 100 ms")


def put(world: World, parent: int, figure: float) -> None:
    terms = Terms(gates.RIGHT, STRICT, {gates.FIGURE: gates.FLOOR})
    command = PutRules(PLAN_LIMITS, parent, {gates.FIGURE: figure}, (), "ola", "", 0.0, terms)
    gates.put(world, command, world.now)


def strike(world: World, kind: str) -> None:
    if kind == "one stopped":
        world.gates["g0"].stop()
    elif kind == "one cut off":
        faults.play(world, Fault(0.0, "cut-off", ("g0",), AFTER))


def change(count: int, kind: str, seed: int) -> tuple[float, float, int]:
    """Until active everywhere (s), the contradiction as a share of T, decisions without a right."""
    delay = 0.05 if kind == "replies of 100 ms" else 0.002
    world = World(Setup(holders=0, duties=0, gates=count, delay=delay), seed)
    world.at(1.0, partial(put, world, 0, 8.0))
    world.run(WARM)
    began = world.now
    strike(world, kind)
    put(world, 1, 4.0)
    world.run(WARM + AFTER)
    first: dict[str, float] = {}
    for act in world.record.rule_acts:
        if act.name == PLAN_LIMITS and act.version == 2 and not act.lapsed:
            first.setdefault(act.gateway, act.at)
    reached = [at for name, at in first.items() if name != "g0" or kind in ("all heard", "replies of 100 ms")]
    wrong, longest = rules.read(world)
    assert not wrong, wrong
    lapsed = sum(bool(act.lapsed) for act in world.record.rule_acts if act.at > began)
    return max(reached) - began, max(longest, 0.0) / rules.bound(world.setup.drift), lapsed


def changes(trials: int) -> Table:
    table = Table("gateways", "what", "active: median", "worst", "contradiction, of T: median", "worst",
                  "decisions without a right", box=None)  # fmt: skip
    for count in (3, 40, 200):
        for kind in KINDS:
            found = [
                change(count, kind, seed) for seed in range(trials if count < 200 else max(trials // 5, 1))
            ]
            times, shares, lapsed = zip(*found, strict=True)
            table.add_row(
                str(count), kind, f"{statistics.median(times):.2f} s", f"{max(times):.2f} s",
                f"{statistics.median(shares):.2f}", f"{max(shares):.2f}", f"{statistics.mean(lapsed):.1f}",
            )  # fmt: skip
    return table


def apply(machine: RulesMachine, parent: int, entries: dict[str, str], *gone: str) -> None:
    why = machine.apply(1, msgspec.msgpack.encode(PutRules(BLOCKED, parent, dict(entries), gone)))
    assert not why, why
    machine.activate(BLOCKED, parent + 1)


def timed(call: Callable[[], object]) -> tuple[object, float]:
    began = time.perf_counter()
    return call(), time.perf_counter() - began


def lists(size: int = 100_000) -> Table:
    """Bytes on the wire (as JSON) and time for a long list."""
    machine = RulesMachine()
    apply(machine, 0, {f"{n:016x}": "by order" for n in range(size)})
    old = machine.states[BLOCKED].head_document
    table = Table("a list of 100,000", "bytes", "answers", "member", "gateway", box=None)

    def row(name: str, asked: FetchRules, base: Document) -> None:
        """All answers together, and the longest time that one of them takes a member, and a gateway."""
        made, size, count, member, gateway, first = base, 0, 0, 0.0, 0.0, -1
        while first:
            content, took = timed(
                partial(machine.content, msgspec.structs.replace(asked, first=max(first, 0)))
            )
            assert isinstance(content, Content)
            data = msgspec.json.encode(content)
            later, parsed = timed(partial(read, data, made))
            assert isinstance(later, Document)
            made, first = later, content.then
            size, count = size + len(data), count + 1
            member, gateway = max(member, took), max(gateway, parsed)
        assert made.digest == machine.states[BLOCKED].head_document.digest
        table.add_row(name, f"{size:,}", str(count), f"{member * 1000:.1f} ms", f"{gateway * 1000:.1f} ms")

    row("whole", FetchRules(BLOCKED, 1), Document())
    apply(machine, 1, {"f" * 16: "by order"})
    row("one entry more", FetchRules(BLOCKED, 2, 1), old)
    for version in range(2, 152):  # longer ago than steps are kept
        apply(machine, version, {f"e{version:015x}": "by order"})
    newest, digests = machine.states[BLOCKED].head, tuple(d.hex() for d in old.digests)
    row("150 versions missed, by parts", FetchRules(BLOCKED, newest, 0, digests), old)
    table.add_row("  (digests of all parts, asked with each)", f"{len(json.dumps(digests)):,}", "", "", "")
    entries = dict(machine.states[BLOCKED].head_document.items())
    tracemalloc.start()
    copy = build_document(entries)
    held, _ = tracemalloc.get_traced_memory()
    assert len(copy) == len(entries)
    tracemalloc.stop()
    table.add_row("memory of a gateway's copy (without the texts)", f"{held:,}", "", "", "")
    return table


def read(data: bytes, base: Document) -> Document:
    return assemble(msgspec.json.decode(data, type=Content), base)


class Nothing:
    """Ports and client that cost next to nothing."""

    core: Core

    def forward(self, forward: Attempt) -> None:
        self.core.attempt_ended(forward, api.Code.OK, 0.0)

    def drop(self, forward: Attempt) -> None: ...

    def add_count(self, name: int, amount: float, life: float) -> None: ...

    def schedule(self, when: float, call: Callable[[float], None]) -> Nothing:
        return self

    def cancel(self) -> None: ...

    def served(self, answer: object) -> None: ...

    def refused(self, retry_after: float | None) -> None: ...

    def failed(self, failure: object | None) -> None: ...


class Standing:
    """Rules whose right lasts."""

    def __init__(self) -> None:
        self.lease = DecisionLease("blocked:1", 1e18)
        self.lease_expires_at = 1e18

    def clock(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def expire_lease(self) -> None: ...


def per_request(ruled: bool, count: int = 20_000) -> float:
    """s of CPU a request in core and module, without sockets."""
    kind = api.ClassSettings("read", aim=1.0, give_up=3.0, repeat=api.Repeat.SAFE)
    plan = api.PlanSettings("wide", rate=1e9, burst=1e9)
    settings = api.Settings(0, 1, "a", (kind,), (plan,), counter=False)
    nothing = Nothing()
    core = nothing.core = Core(Gateway(1, settings), nothing, Counter())
    core.update_servers(
        api.ServerList(api.ListForm.WHOLE, (api.ServerEntry("s1", api.ServerState.ACTIVE),)), 0.0
    )
    if ruled:
        core.rules = Standing()
        blocked = build_document({f"{n:016x}": "by order" for n in range(100_000)})
        core.submit(api.Rules((plan,), blocked), 0.0)
    began = time.process_time()
    for n in range(count):
        request = api.Request(f"r{n}", "f" * 16, "read", "wide", 1.0, 3.0, 1)
        core.begin(core.accept(request, None, nothing, 0.0), 0.0)
    return (time.process_time() - began) / count


def main(words: list[str]) -> int:
    console = Console(width=140)
    console.print(changes(int(words[0]) if words else 20))
    console.print(lists())
    pairs = [(per_request(False), per_request(True)) for _ in range(7)]
    without, ruled = (statistics.median(side) for side in zip(*pairs, strict=True))
    ratio = statistics.median(b / a for a, b in pairs)
    console.print(
        f"CPU a request in core and module: {without * 1e6:.1f} us without rules, {ruled * 1e6:.1f} us with"
        f" a list of 100,000 and a right to compare: {ratio:.3f} times"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
