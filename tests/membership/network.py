"""A simulated network in virtual time with delays, message loss, partitions, pauses, crashes and restarts."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Any

from latchspoke.membership.messages import Address
from latchspoke.membership.protocol import Member, Membership, MembershipEvent, ProtocolParameters
from latchspoke.transport.netstring import encode_frame

ScheduledCall = tuple[float, int, Callable[[], None]]


class SimulatedNetwork:
    def __init__(self, member_count: int, seed: int, seed_count: int = 3) -> None:
        print(f"seed {seed}")
        self.rng = Random(seed)
        self.now = 100.0
        self.event_counter = itertools.count()
        self.scheduled: list[ScheduledCall] = []
        self.members: dict[str, Membership] = {}
        self.names: dict[Address, str] = {}
        self.addresses: dict[str, Address] = {}
        self.timers: dict[str, float] = {}
        self.held_calls: dict[str, list[Callable[[], None]]] = {}  # calls of paused members
        self.loss = 0.0
        self.delivers: Callable[[str, str], bool] = lambda sender, receiver: True
        self.events: list[tuple[float, str, MembershipEvent]] = []
        self.sent_count: dict[str, int] = {}
        self.sent_bytes: dict[str, int] = {}
        self.largest_message = 0
        self.seeds = [(f"10.0.0.{index}", 7600) for index in range(seed_count)]
        for index in range(member_count):
            self.start(index)

    def start(self, index: int, instance_id: str = "one") -> Membership:
        name, address = f"m{index}", (f"10.0.0.{index}", 7600)
        meta = {"role": "edge", "zone": f"z{index % 6}", "region": f"r{index % 3}", "ready": True}
        meta |= {"front": f"{address[0]}:8206", "link": f"{address[0]}:7601"}
        local_member = Member(name, *address, meta, 0, instance_id)
        self.names[address], self.addresses[name] = name, address
        self.members[name] = Membership(
            local_member, self.seeds, ProtocolParameters(), Random(self.rng.random()), self.now
        )
        self.timers.pop(name, None)
        self.flush(name)
        return self.members[name]

    def kill(self, name: str) -> None:
        del self.members[name]

    def freeze(self, name: str, duration_s: float) -> None:
        self.held_calls[name] = []
        self.schedule(self.now + duration_s, lambda: [call() for call in self.held_calls.pop(name)])

    def schedule(self, at: float, call: Callable[[], Any]) -> None:
        heapq.heappush(self.scheduled, (at, next(self.event_counter), call))

    def flush(self, name: str) -> None:
        membership = self.members[name]
        output = membership.take_output()
        self.events += [(self.now, name, event) for event in output.events]
        for address, message in output.messages:
            size = len(encode_frame(message))
            self.largest_message = max(self.largest_message, size)
            self.sent_count[name] = self.sent_count.get(name, 0) + 1
            self.sent_bytes[name] = self.sent_bytes.get(name, 0) + size
            receiver = self.names.get(address, "")
            if self.rng.random() >= self.loss and self.delivers(name, receiver):
                self.schedule(
                    self.now + self.rng.uniform(0.001, 0.021), self.delivery(name, receiver, message)
                )
        due_at = membership.next_tick_at()
        if self.timers.get(name) != due_at:
            self.timers[name] = due_at
            self.schedule(due_at + self.rng.uniform(0, 0.005), self.timer_call(name, membership, due_at))

    def delivery(self, sender_name: str, receiver: str, message: dict[str, Any]) -> Callable[[], None]:
        source = self.addresses[sender_name]

        def call() -> None:
            if receiver in self.held_calls:
                self.held_calls[receiver].append(call)
            elif receiver in self.members:
                self.members[receiver].receive(message, source, self.now)
                self.flush(receiver)

        return call

    def timer_call(self, name: str, membership: Membership, due_at: float) -> Callable[[], None]:
        def call() -> None:
            if self.timers.get(name) != due_at or self.members.get(name) is not membership:
                return
            if name in self.held_calls:
                self.held_calls[name].append(call)
                return
            self.timers.pop(name)
            membership.tick(self.now)
            self.flush(name)

        return call

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self.scheduled and self.scheduled[0][0] <= end:
            self.now, _, call = heapq.heappop(self.scheduled)
            call()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Returns the time (s) until the condition holds; fails after ``limit_s``."""
        start = self.now
        while not condition():
            assert self.now - start < limit_s, {
                name: sorted(membership.alive) for name, membership in self.members.items()
            }
            self.run(0.05)
        return self.now - start

    def views_agree(self) -> bool:
        """Whether each running member knows all running members, with their instance IDs, and no other."""
        instance_ids = {
            name: membership.local_member.instance_id for name, membership in self.members.items()
        }
        return all(
            {name: member.instance_id for name, member in membership.alive.items()} == instance_ids
            for membership in self.members.values()
        )

    def names_with_event(self, kind: str) -> set[str]:
        return {event.member.name for _, _, event in self.events if event.kind == kind}
