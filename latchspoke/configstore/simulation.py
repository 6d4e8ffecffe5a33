"""Registers on a clock set by hand: messages late, lost and held up, disks that keep only what was synced.

For drills and tests; no process of the system loads it.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from latchspoke.configstore.messages import Message
from latchspoke.configstore.orders import Command, Orders, Verdict
from latchspoke.configstore.register import Answer, Register, draw_of, founding
from latchspoke.configstore.voters import CATCH_UP, NOWHERE, Place
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Entry, HardState, Snapshot, Stored

DELAY = 0.02  # s, one way
STEP = 0.05  # s between looks at what is due, at most


def patch(document: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    if "bad" in change:
        raise ValueError("a bad patch")
    return {**document, **change}


@dataclass(slots=True)
class Disk:
    """What is synced. Each save is one transaction, which is on the disk whole or not at all."""

    identity: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    hard_state: HardState = field(default_factory=HardState)
    entries: dict[int, Entry] = field(default_factory=dict)
    boot: int = 0
    saves: int = 0

    def start(self) -> Stored:
        self.boot += 1
        entries = tuple(self.entries[i] for i in sorted(self.entries))
        return Stored(self.identity, self.boot, self.hard_state, self.snapshot, entries)

    def save(self, output: Output) -> None:
        self.saves += 1
        self.hard_state = output.hard_state or self.hard_state
        if output.snapshot is not None:
            self.compact(output.snapshot)
        if output.first_index:
            self.entries = {i: e for i, e in self.entries.items() if i < output.first_index}
            self.entries.update({e.index: e for e in output.entries})

    def compact(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.entries = {i: e for i, e in self.entries.items() if i > snapshot.index}


class World:
    """``count`` processes, the first three of them the seeds; all that is decided by chance is ``draw``'s."""

    def __init__(
        self,
        seed: int,
        count: int = 5,
        places: dict[str, Place] | None = None,
        catch_up: float = CATCH_UP,
    ) -> None:
        self.draw = random.Random(seed)
        self.now = 0.0
        self.names = [f"10.{n}.0.1:7600" for n in range(count)]
        self.seeds = tuple(self.names[:3])
        self.places = places or {}
        self.catch_up = catch_up
        self.disks: dict[str, Disk] = {}
        self.up: dict[str, Register] = {}
        self.cuts: set[tuple[str, str]] = set()  # from, to
        self.loss = 0.0
        self.rate = 0.0  # bytes/s of each link, one way, in order; 0: any number at once, in any order
        self.busy: dict[tuple[str, str], float] = {}  # until when a link is taken by what was sent before
        self.keeps = 0.7  # chance, at each look, that a cut goes on holding up a message
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = 0
        self.answers: dict[tuple[str, int], Callable[[Answer], None]] = {}
        self.history: dict[int, bytes] = {}  # the one log
        for name in self.names:
            self.empty(name, first=True)
            self.start(name)

    # The machines.

    def empty(self, name: str, first: bool = False) -> None:
        """A disk with nothing on it."""
        draw = draw_of(name, self.seeds, first, f"{self.draw.getrandbits(32):08x}")
        disk = self.disks[name] = Disk(f"{name}#{draw}")
        if draw == "first":
            disk.snapshot = founding(self.seeds, Orders(patch))

    def start(self, name: str) -> Register:
        draw = random.Random(self.draw.random())
        register = Register(
            self.disks[name].start(), self.seeds, patch, draw, self.now, catch_up=self.catch_up
        )
        self.up[name] = register
        self.meet()
        return register

    def meet(self) -> None:
        """Everybody knows who is up."""
        places = {name: self.places.get(name, NOWHERE) for name in self.up}
        for register in self.up.values():
            register.peers(places, self.now)

    def kill(self, name: str, mid_turn: bool = False) -> None:
        """What was not synced is lost; ``mid_turn``: killed after the sync, before anything was said."""
        register = self.up.pop(name)
        if mid_turn and (output := register.take()) is not None:
            self.disks[name].save(output)
        for key in [key for key in self.answers if key[0] == name]:
            del self.answers[key]

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.events, (when, self.serial, call))

    def send(self, source: str, target: str, message: Message) -> None:
        if self.draw.random() < self.loss:
            return
        data = msgspec.json.encode(message)
        late = DELAY * (1 + self.draw.random())
        if self.rate:
            begun = max(self.now, self.busy.get((source, target), 0.0))
            self.busy[source, target] = begun + len(data) / self.rate
            late = self.busy[source, target] - self.now + DELAY
        self.at(self.now + late, lambda: self.arrive(source, target, data))

    def arrive(self, source: str, target: str, data: bytes) -> None:
        """What a cut holds up comes when it is over, or never."""
        if (source, target) in self.cuts:
            if self.draw.random() < self.keeps:
                self.at(self.now + STEP, lambda: self.arrive(source, target, data))
            return
        register = self.up.get(target)
        if register is not None:
            register.heard(source, msgspec.json.decode(data), self.now)
            self.turn(target)

    def turn(self, name: str) -> None:
        register = self.up[name]
        while True:
            output = register.take()
            if output is not None:
                if output.must_store:
                    self.disks[name].save(output)
                self.check(register, output)
                register.stored(output, self.now)
                if (snapshot := register.compacted()) is not None:
                    self.disks[name].compact(snapshot)
            outbox, register.outbox = register.outbox, []
            for target, message in outbox:
                self.send(name, target, message)
            if output is None:
                break
        answers, register.answers = register.answers, []
        for number, answer in answers:
            if (back := self.answers.pop((name, number), None)) is not None:
                back(answer)

    def check(self, register: Register, output: Output) -> None:
        """One history, at every member."""
        for entry in output.committed:
            data = msgspec.msgpack.encode(entry)
            assert self.history.setdefault(entry.index, data) == data, f"two entries at {entry.index}"

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            look = min(until, self.now + STEP)
            while self.events and self.events[0][0] <= look:
                when, _, call = heapq.heappop(self.events)
                self.now = max(self.now, when)
                call()
            self.now = look
            for name in list(self.up):
                before = self.up[name].orders.version
                if self.up[name].due() <= self.now:
                    self.up[name].tick(self.now)
                self.turn(name)
                assert self.up[name].due() > self.now - STEP, "a tick that changes nothing is asked for"
                assert self.up[name].orders.version >= before, "a version went back"

    # What is asked of it.

    def leader(self) -> Register:
        return max((r for r in self.up.values() if r.leads), key=lambda r: r.member.term)

    def settled(self, names: list[str] | None = None) -> bool:
        """A leader, and all these up to date with it."""
        leaders = [r for r in self.up.values() if r.leads and r.member.committed_in_term]
        return bool(leaders) and all(
            self.up[n].applied == leaders[0].applied for n in names or self.names if n in self.up
        )

    def submit(self, name: str, command: Command, back: Callable[[Answer], None], limit: float = 0.9) -> None:
        number = self.up[name].submit(command, limit, self.now)
        self.answers[name, number] = back
        self.turn(name)

    def confirm(
        self, name: str, back: Callable[[Answer], None], limit: float = 0.9, patient: bool = False
    ) -> None:
        number = self.up[name].confirm(limit, self.now, patient)
        self.answers[name, number] = back
        self.turn(name)

    def order(self, name: str, command: Command, limit: float = 0.9) -> Verdict:
        """Submit, and run until it is answered."""
        found: list[Answer] = []
        self.submit(name, command, found.append, limit)
        until = self.now + limit + 2 * STEP
        while not found and self.now < until:
            self.run(STEP / 5)
        assert found and isinstance(found[0], Verdict)
        return found[0]

    def proof(self, name: str, limit: float = 0.9) -> int | None:
        found: list[Answer] = []
        self.confirm(name, found.append, limit)
        until = self.now + limit + 2 * STEP
        while not found and self.now < until:
            self.run(STEP / 5)
        assert found and not isinstance(found[0], Verdict)
        return found[0]

    def voters(self) -> set[str]:
        return set(self.leader().member.members.voters)


def replace(version: int, base: int, text: str = "") -> Command:
    digest = f"d{version}{text}"
    return {
        "do": "replace",
        "version": version,
        "base": base,
        "digest": digest,
        "doc": {"v": version, "t": text},
    }


def modify(version: int, base: int, **change: object) -> Command:
    return {
        "do": "modify",
        "version": version,
        "base": base,
        "digest": f"m{version}{change}",
        "patch": change,
    }
