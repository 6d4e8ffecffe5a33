"""Rules with versions under drawn faults, with real processes: agents, gateways, relays between all of them.

Operators block customers and lift blocks, through whichever agent answers. Each gateway writes down what it
decided by which version. Read afterwards: nobody let through whom a version forbids that others had acted on
for longer than T; nobody decided by a version under which that customer is blocked; all agree at last.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from latchspoke.agent.members import clock
from latchspoke.duties.member_service import Committed
from latchspoke.lab.relay import Mode, Relay
from latchspoke.lab.schedules.check import Verdict
from latchspoke.lab.schedules.faults import Fault
from latchspoke.lab.schedules.gate import CUSTOMERS
from latchspoke.lab.schedules.real import PATIENCE, SPAN, Trial
from latchspoke.revisions.documents import BLOCKED
from latchspoke.revisions.leases import REFUSE
from latchspoke.revisions.records import PutRules, Terms

RIGHT = 1.5  # s
DRIFT = 0.02  # as in the agents' files
T = RIGHT / (1 - DRIFT)
MACHINE = 0.05  # s; two lines of different processes are as true as their turns on a busy machine
KINDS = (
    "kill-agent", "stop-agent", "kill-gate", "stop-gate", "cut-gate", "refuse-gate", "slow-gate",
    "hold", "one-way", "refuse", "slow", "reset", "full-disk", "slow-disk",
)  # fmt: skip


def draw(seed: int, agents: int, gates: int) -> tuple[Fault, ...]:
    """Between 2 and 6 of them; a gateway alone is hit as often as an agent."""
    chance = random.Random(f"real-rules:{seed}")
    made = []
    for _ in range(chance.randint(2, 6)):
        kind, lasts = chance.choice(KINDS), chance.uniform(0.2, 4.0)
        count = gates if kind.endswith("-gate") else agents
        names = tuple(str(n) for n in chance.sample(range(count), 2 if kind == "one-way" else 1))
        made.append(Fault(chance.uniform(0.0, SPAN), kind, names, lasts))
    return tuple(sorted(made, key=lambda fault: fault.at))


@dataclass(slots=True)
class RulesTrial(Trial):
    """As ``Trial``, with gateways in the place of holders."""

    gates: int = 4
    change: str = ""
    ways: dict[tuple[int, int], Relay] = field(default_factory=dict)  # gateway to agent
    versions: dict[int, frozenset[str]] = field(default_factory=lambda: {0: frozenset()})
    told: dict[int, frozenset[str]] = field(default_factory=dict)  # versions that an operator was told of

    async def prepare(self) -> None:
        await Trial.prepare(self)
        for gate in range(self.gates):
            for agent in range(self.agents):
                relay = self.ways[gate, agent] = Relay(self.socket(agent))
                await relay.start_unix(self.way(gate, agent))

    def way(self, gate: int, agent: int) -> str:
        return str(self.base / f"g{gate}-a{agent}.sock")

    def file(self, gate: int) -> Path:
        return self.base / f"g{gate}.acts"

    def start_gate(self, gate: int) -> None:
        ways = ",".join(self.way(gate, (gate + k) % self.agents) for k in range(self.agents))
        words = (f"g{gate}", ways, str(self.file(gate)), *([self.change] if self.change else []))
        self.start("latchspoke.lab.schedules.gate", f"g{gate}", *words)

    def decisions(self, gate: int) -> list[tuple[float, str, str, str]]:
        lines = self.file(gate).read_text().split("\n") if self.file(gate).exists() else []
        return [(float(p[0]), p[1], p[2], p[3]) for line in lines if len(p := line.split()) == 4]

    async def found(self) -> None:
        """Until all vote, a first version is active, and every gateway acts by it. Raises TimeoutError."""
        async with asyncio.timeout(PATIENCE):
            for n in range(self.agents):
                self.start_agent(n)
            await self.all_vote()
            for gate in range(self.gates):
                self.start_gate(gate)
            while not await self.put(frozenset({"c9"})):
                await asyncio.sleep(0.1)
            while not await self.agreed():
                await asyncio.sleep(0.1)

    async def put(self, blocked: frozenset[str]) -> bool:
        """On the newest version that this operator was ever told of, or may have made."""
        parent = max(self.versions)
        old = self.versions[parent]
        command = PutRules(
            BLOCKED, parent, dict.fromkeys(sorted(blocked - old), "by order"), tuple(sorted(old - blocked)),
            "ola", "drawn", 0.0, Terms(RIGHT, REFUSE),
        )  # fmt: skip
        ident = secrets.token_hex(8)
        for _ in range(6):
            answer = await self.ask("POST", f"/v1/rules/commands?ident={ident}", command)
            if answer:
                done: Committed = msgspec.json.decode(answer, type=Committed)
                if not done.why:
                    self.versions[parent + 1] = self.told[parent + 1] = blocked
                return not done.why
            await asyncio.sleep(0.3)
        # Nothing is known of it: the same content again may be put by the same ident until it is.
        return await self.insist(ident, command, blocked)

    async def insist(self, ident: str, command: PutRules, blocked: frozenset[str]) -> bool:
        async with asyncio.timeout(2 * PATIENCE):
            while not (answer := await self.ask("POST", f"/v1/rules/commands?ident={ident}", command)):
                await asyncio.sleep(0.3)
        done: Committed = msgspec.json.decode(answer, type=Committed)
        if not done.why:
            self.versions[command.parent + 1] = self.told[command.parent + 1] = blocked
        return not done.why

    async def operate(self, chance: random.Random, until: float, block_all_at: float | None = None) -> None:
        """Somebody blocks a customer or lifts a block, about each second.

        ``block_all_at``: all customers are blocked at this time, before anything else.
        """
        if block_all_at is not None:
            await asyncio.sleep(max(block_all_at - clock(), 0.0))
            while not await self.put(frozenset(CUSTOMERS)):
                await asyncio.sleep(0.1)
        while clock() < until:
            now = self.versions[max(self.versions)]
            customer = chance.choice(CUSTOMERS)
            await self.put(now ^ {customer})
            await asyncio.sleep(chance.expovariate(1.0))

    async def strike(self, fault: Fault) -> None:
        n = int(fault.names[0])
        if fault.kind == "kill-gate":
            self.processes[f"g{n}"].kill()
            await asyncio.to_thread(self.processes[f"g{n}"].wait)
            await asyncio.sleep(fault.lasts)
            self.start_gate(n)
        elif fault.kind == "stop-gate":
            await self.stop(f"g{n}", fault.lasts)
        elif fault.kind.endswith("-gate"):
            mode = {"cut-gate": Mode.HOLD, "refuse-gate": Mode.REFUSE}.get(fault.kind, Mode.PASS)
            ways = [relay for (gate, _), relay in self.ways.items() if gate == n]
            for relay in ways:
                relay.set_mode(mode, 0.4 if fault.kind == "slow-gate" else 0.0)
            await asyncio.sleep(fault.lasts)
            for relay in ways:
                relay.set_mode(Mode.PASS)
        else:
            await Trial.strike(self, fault)

    async def agreed(self) -> bool:
        """Whether each gateway's latest decisions are by right, by the newest version."""
        newest = max(self.versions)
        return all(
            (acts := self.decisions(gate)) and version_of(acts[-1][3]) == (newest, "")
            for gate in range(self.gates)
        )

    async def settled(self) -> bool:
        end = clock() + 3 * RIGHT + PATIENCE
        while clock() < end:
            if await self.agreed():
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self) -> None:
        await Trial.end(self)
        for relay in self.ways.values():
            await relay.stop()

    def read(self) -> tuple[list[str], float, int, int]:
        """What is wrong; the longest contradiction (s); decisions, and those without a right."""
        wrong: list[str] = []
        spans: dict[int, tuple[float, float]] = {}
        sent: dict[tuple[int, str], float] = defaultdict(float)  # by version and customer: sent on at last
        count = lapsed = 0
        for gate in range(self.gates):
            for at, customer, word, label in self.decisions(gate):
                version, without = version_of(label)
                count, lapsed = count + 1, lapsed + bool(without)
                if version < 0 or without:
                    if word == "sent":
                        wrong.append(f"{at:.3f} g{gate} lets {customer} through without a right ({label})")
                    continue
                first, last = spans.get(version, (at, at))
                spans[version] = min(first, at), max(last, at)
                if word == "sent":
                    sent[version, customer] = max(sent[version, customer], at)
                    if customer in self.versions.get(version, ()):
                        wrong.append(f"{at:.3f} g{gate} lets {customer} through, blocked in {version}")
        longest = 0.0
        for (old, customer), at in sent.items():
            for new, (first, _) in spans.items():
                if new > old and customer in self.versions.get(new, ()) and at - first > longest:
                    longest = at - first
        if longest > T + MACHINE:
            wrong.append(f"contradicted for {longest:.3f} s, {T:.3f} s at most")
        return wrong, longest, count, lapsed


def version_of(label: str) -> tuple[int, str]:
    """Of the blocked customers: aside:0,blocked:3-refuse,plans:0; -1 where there is none yet."""
    for item in label.split(","):
        name, _, told = item.partition(":")
        if name == BLOCKED:
            version, _, without = told.partition("-")
            return int(version), without
    return -1, ""


async def trial(
    base: Path,
    seed: int,
    agents: int = 3,
    gates: int = 4,
    change: str = "",
    schedule: tuple[Fault, ...] | None = None,
    block_all_at: float | None = None,
) -> Verdict:
    """One schedule, drawn if none is given; the folder keeps what everybody wrote.

    ``block_all_at``: see ``operate``; in s after the schedule's begin.
    """
    one = RulesTrial(base, agents, 0, gates=gates, change=change)
    chance = random.Random(f"operators:{seed}")
    try:
        await one.prepare()
        await one.found()
        began = clock()
        faults = draw(seed, agents, gates) if schedule is None else schedule
        block_all_at = None if block_all_at is None else began + block_all_at
        await asyncio.gather(one.play(faults), one.operate(chance, began + SPAN + 2.0, block_all_at))
        since = time.monotonic()
        idle = [] if await one.settled() else ["not all agree after all was mended"]
        took = time.monotonic() - since
        wrong, longest, count, lapsed = one.read()
        return Verdict(
            seed,
            tuple(wrong + idle),
            longest=took,
            contradicted=longest / T,
            decided=count,
            lapsed=lapsed,
        )
    except TimeoutError:
        return Verdict(seed, ("the group was never founded, or no operator was ever answered",))
    finally:
        await one.end()
