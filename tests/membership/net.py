"""A small network in virtual time: delays, loss, cuts, freezes, ends and new lives."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Any

from latchspoke.membership.watch import Member, Membership, News, Timing
from latchspoke.membership.words import Address
from latchspoke.transport.netstring import encode_frame

Event = tuple[float, int, Callable[[], None]]


class Net:
    def __init__(self, count: int, seed: int, seeds: int = 3) -> None:
        print(f"seed {seed}")
        self.draw = Random(seed)
        self.now = 100.0
        self.serial = itertools.count()
        self.events: list[Event] = []
        self.patrols: dict[str, Membership] = {}
        self.names: dict[Address, str] = {}
        self.addresses: dict[str, Address] = {}
        self.timers: dict[str, float] = {}
        self.held: dict[str, list[Callable[[], None]]] = {}  # what waits for a frozen process
        self.loss = 0.0
        self.passes: Callable[[str, str], bool] = lambda a, b: True
        self.news: list[tuple[float, str, News]] = []
        self.sent: dict[str, int] = {}
        self.bytes: dict[str, int] = {}
        self.largest = 0
        self.seeds = [(f"10.0.0.{i}", 7600) for i in range(seeds)]
        for i in range(count):
            self.start(i)

    def start(self, i: int, life: str = "one") -> Membership:
        name, address = f"m{i}", (f"10.0.0.{i}", 7600)
        meta = {"role": "edge", "zone": f"z{i % 6}", "region": f"r{i % 3}", "ready": True}
        meta |= {"front": f"{address[0]}:8206", "link": f"{address[0]}:7601"}
        me = Member(name, *address, meta, 0, life)
        self.names[address], self.addresses[name] = name, address
        self.patrols[name] = Membership(me, self.seeds, Timing(), Random(self.draw.random()), self.now)
        self.timers.pop(name, None)
        self.flush(name)
        return self.patrols[name]

    def kill(self, name: str) -> None:
        del self.patrols[name]

    def freeze(self, name: str, span: float) -> None:
        self.held[name] = []
        self.at(self.now + span, lambda: [do() for do in self.held.pop(name)])

    def at(self, when: float, do: Callable[[], Any]) -> None:
        heapq.heappush(self.events, (when, next(self.serial), do))

    def flush(self, name: str) -> None:
        membership = self.patrols[name]
        output = membership.take()
        self.news += [(self.now, name, n) for n in output.news]
        for address, message in output.messages:
            size = len(encode_frame(message))
            self.largest = max(self.largest, size)
            self.sent[name] = self.sent.get(name, 0) + 1
            self.bytes[name] = self.bytes.get(name, 0) + size
            to = self.names.get(address, "")
            if self.draw.random() >= self.loss and self.passes(name, to):
                self.at(self.now + self.draw.uniform(0.001, 0.021), self.arrival(name, to, message))
        due = membership.due()
        if self.timers.get(name) != due:
            self.timers[name] = due
            self.at(due + self.draw.uniform(0, 0.005), self.firing(name, membership, due))

    def arrival(self, sender: str, to: str, message: dict[str, Any]) -> Callable[[], None]:
        source = self.addresses[sender]

        def do() -> None:
            if to in self.held:
                self.held[to].append(do)
            elif to in self.patrols:
                self.patrols[to].heard(message, source, self.now)
                self.flush(to)

        return do

    def firing(self, name: str, membership: Membership, due: float) -> Callable[[], None]:
        def do() -> None:
            if self.timers.get(name) != due or self.patrols.get(name) is not membership:
                return
            if name in self.held:
                self.held[name].append(do)
                return
            self.timers.pop(name)
            membership.tick(self.now)
            self.flush(name)

        return do

    def run(self, span: float) -> None:
        end = self.now + span
        while self.events and self.events[0][0] <= end:
            self.now, _, do = heapq.heappop(self.events)
            do()
        self.now = end

    def until(self, holds: Callable[[], bool], most: float) -> float:
        """How long it took; fails after ``most`` s."""
        start = self.now
        while not holds():
            assert self.now - start < most, {n: sorted(p.alive) for n, p in self.patrols.items()}
            self.run(0.05)
        return self.now - start

    def agree(self) -> bool:
        """Everyone running knows everyone running, in this life, and nobody else."""
        lives = {n: p.me.life for n, p in self.patrols.items()}
        return all({n: m.life for n, m in p.alive.items()} == lives for p in self.patrols.values())

    def told(self, kind: str) -> set[str]:
        return {n.member.name for _, _, n in self.news if n.kind == kind}
