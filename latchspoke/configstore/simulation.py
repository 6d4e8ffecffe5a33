"""A cluster of config store nodes in virtual time, with message delay and loss, partitions and crashes.

Disks keep only what was synced. For tests only; no production process imports this module.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from latchspoke.configstore.config_state import Command, ConfigState, Verdict
from latchspoke.configstore.entry_ages import AgeBounds
from latchspoke.configstore.messages import Message
from latchspoke.configstore.store_node import Answer, StoreNode, founding_snapshot, identity_suffix
from latchspoke.configstore.voters import DEFAULT_CATCH_UP_S, UNKNOWN_LOCATION, Location
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Entry, HardState, Snapshot, Stored

LINK_DELAY_S = 0.02  # minimum, one way
STEP_S = 0.05  # largest step of the virtual clock


def merge_patch(document: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """Patch function of the tests: merges the keys of ``change``; a key ``bad`` makes it invalid."""
    if "bad" in change:
        raise ValueError("a bad patch")
    return {**document, **change}


@dataclass(slots=True)
class Disk:
    """A disk that holds what was synced; each save is atomic."""

    identity: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    hard_state: HardState = field(default_factory=HardState)
    entries: dict[int, Entry] = field(default_factory=dict)
    boot: int = 0
    saves: int = 0

    def start(self) -> Stored:
        """Counts a boot and returns the stored state."""
        self.boot += 1
        entries = tuple(self.entries[i] for i in sorted(self.entries))
        return Stored(self.identity, self.boot, self.hard_state, self.snapshot, entries)

    def save(self, output: Output) -> None:
        """Stores and syncs an output."""
        self.saves += 1
        self.hard_state = output.hard_state or self.hard_state
        if output.snapshot is not None:
            self.compact(output.snapshot)
        if output.first_index:
            self.entries = {i: e for i, e in self.entries.items() if i < output.first_index}
            self.entries.update({e.index: e for e in output.entries})

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the entries that the snapshot covers."""
        self.snapshot = snapshot
        self.entries = {i: e for i, e in self.entries.items() if i > snapshot.index}


class Cluster:
    """A cluster of ``count`` nodes, of which the first three are the seeds."""

    def __init__(
        self,
        seed: int,
        count: int = 5,
        locations: dict[str, Location] | None = None,
        catch_up: float = DEFAULT_CATCH_UP_S,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = [f"10.{n}.0.1:7600" for n in range(count)]
        self.seeds = tuple(self.names[:3])
        self.locations = locations or {}
        self.catch_up = catch_up
        self.disks: dict[str, Disk] = {}
        self.running: dict[str, StoreNode] = {}
        self.paused: set[str] = set()  # running, but standing still: messages and timers wait
        self.blocked_links: set[tuple[str, str]] = set()  # source, target
        self.loss_rate = 0.0
        self.link_bytes_per_s = 0.0  # per direction, with in-order delivery; 0: unlimited and unordered
        self.link_busy_until: dict[
            tuple[str, str], float
        ] = {}  # until when a link transmits earlier messages
        self.hold_probability = (
            0.7  # probability, per step, that a blocked link keeps a message instead of dropping it
        )
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.answers: dict[tuple[str, int], Callable[[Answer], None]] = {}
        self.committed: dict[int, bytes] = {}  # encoded committed entries by index
        for name in self.names:
            self.create_disk(name, first_start=True)
            self.start(name)

    # Nodes.

    def create_disk(self, name: str, first_start: bool = False) -> None:
        """Gives the node a new, empty disk with a new identity."""
        suffix = identity_suffix(name, self.seeds, first_start, f"{self.rng.getrandbits(32):08x}")
        disk = self.disks[name] = Disk(f"{name}#{suffix}")
        if suffix == "first":
            disk.snapshot = founding_snapshot(self.seeds, ConfigState(merge_patch))

    def start(self, name: str) -> StoreNode:
        """Starts a node from its disk."""
        rng = random.Random(self.rng.random())
        node = StoreNode(
            self.disks[name].start(), self.seeds, merge_patch, rng, self.now, catch_up=self.catch_up
        )
        self.running[name] = node
        self.announce_running()
        return node

    def announce_running(self) -> None:
        """Tells every running node which nodes are running."""
        locations = {name: self.locations.get(name, UNKNOWN_LOCATION) for name in self.running}
        for node in self.running.values():
            node.update_peers(locations, self.now)

    def pause(self, name: str) -> None:
        """Let a node stand still, as after SIGSTOP."""
        self.paused.add(name)

    def resume(self, name: str) -> None:
        """Let a paused node go on."""
        self.paused.discard(name)

    def kill(self, name: str, after_sync: bool = False) -> None:
        """Kills a node; unsynced state is lost. ``after_sync``: it dies after a sync, before sending."""
        node = self.running.pop(name)
        if after_sync and (output := node.take_output()) is not None:
            self.disks[name].save(output)
        for key in [key for key in self.answers if key[0] == name]:
            del self.answers[key]

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        """Calls ``call`` at the virtual time ``when``."""
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, call))

    def send(self, source: str, target: str, message: Message) -> None:
        """Sends a message with random delay; it may be lost."""
        if self.rng.random() < self.loss_rate:
            return
        data = msgspec.json.encode(message)
        delay = LINK_DELAY_S * (1 + self.rng.random())
        if self.link_bytes_per_s:
            start = max(self.now, self.link_busy_until.get((source, target), 0.0))
            self.link_busy_until[source, target] = start + len(data) / self.link_bytes_per_s
            delay = self.link_busy_until[source, target] - self.now + LINK_DELAY_S
        self.schedule(self.now + delay, lambda: self.deliver(source, target, data))

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Delivers a message; on a blocked link it is delayed or dropped."""
        if (source, target) in self.blocked_links:
            if self.rng.random() < self.hold_probability:
                self.schedule(self.now + STEP_S, lambda: self.deliver(source, target, data))
            return
        if target in self.paused:
            self.schedule(self.now + STEP_S, lambda: self.deliver(source, target, data))
            return
        node = self.running.get(target)
        if node is not None:
            node.receive(source, msgspec.json.decode(data), self.now)
            self.process(target)

    def process(self, name: str) -> None:
        """Lets a node store its outputs, send its messages and deliver its answers."""
        node = self.running[name]
        while True:
            output = node.take_output()
            if output is not None:
                if output.must_store:
                    self.disks[name].save(output)
                self.check_committed(node, output)
                node.on_stored(output, self.now)
                if (snapshot := node.compact_if_due()) is not None:
                    self.disks[name].compact(snapshot)
            outbox, node.outbox = node.outbox, []
            for target, message in outbox:
                self.send(name, target, message)
            if output is None:
                break
        answers, node.answers = node.answers, []
        for number, answer in answers:
            if (on_answer := self.answers.pop((name, number), None)) is not None:
                on_answer(answer)

    def check_committed(self, node: StoreNode, output: Output) -> None:
        """Checks that all members commit the same entry at each index."""
        for entry in output.committed:
            data = msgspec.msgpack.encode(entry)
            assert self.committed.setdefault(entry.index, data) == data, f"two entries at {entry.index}"

    def run(self, seconds: float) -> None:
        """Advances the virtual time."""
        until = self.now + seconds
        while self.now < until:
            step_end = min(until, self.now + STEP_S)
            while self.events and self.events[0][0] <= step_end:
                when, _, call = heapq.heappop(self.events)
                self.now = max(self.now, when)
                call()
            self.now = step_end
            for name in [name for name in self.running if name not in self.paused]:
                before = self.running[name].state.version
                if self.running[name].next_tick_at() <= self.now:
                    self.running[name].tick(self.now)
                self.process(name)
                assert self.running[name].next_tick_at() > self.now - STEP_S, (
                    "next_tick_at is due, but tick did not advance it"
                )
                assert self.running[name].state.version >= before, "the configuration version decreased"

    # Operations of tests.

    def leader(self) -> StoreNode:
        """The leader of the highest term."""
        return max((r for r in self.running.values() if r.is_leader), key=lambda r: r.member.term)

    def is_converged(self, names: list[str] | None = None) -> bool:
        """Whether there is a leader and these running nodes have applied as much as it has."""
        leaders = [r for r in self.running.values() if r.is_leader and r.member.committed_in_term]
        return bool(leaders) and all(
            self.running[n].applied_index == leaders[0].applied_index
            for n in names or self.names
            if n in self.running
        )

    def submit(
        self, name: str, command: Command, on_answer: Callable[[Answer], None], limit: float = 0.9
    ) -> None:
        """Submits a command; ``on_answer`` gets the verdict."""
        number = self.running[name].submit(command, limit, self.now)
        self.answers[name, number] = on_answer
        self.process(name)

    def confirm_read(
        self, name: str, on_answer: Callable[[Answer], None], limit: float = 0.9, deferrable: bool = False
    ) -> None:
        """Starts a linearizable read; ``on_answer`` gets the applied index or None."""
        number = self.running[name].confirm_read(limit, self.now, deferrable)
        self.answers[name, number] = on_answer
        self.process(name)

    def ask_entry_age(
        self, name: str, index: int, on_answer: Callable[[Answer], None], limit: float = 0.4
    ) -> None:
        """Asks for the age of an entry; ``on_answer`` gets its bounds."""
        number = self.running[name].ask_entry_age(index, limit, self.now)
        self.answers[name, number] = on_answer
        self.process(name)

    def submit_and_wait(self, name: str, command: Command, limit: float = 0.9) -> Verdict:
        """Submits a command and runs until there is a verdict."""
        answers: list[Answer] = []
        self.submit(name, command, answers.append, limit)
        deadline = self.now + limit + 2 * STEP_S
        while not answers and self.now < deadline:
            self.run(STEP_S / 5)
        assert answers and isinstance(answers[0], Verdict)
        return answers[0]

    def read_and_wait(self, name: str, limit: float = 0.9) -> int | None:
        """Starts a linearizable read and runs until it is answered; None if it failed."""
        answers: list[Answer] = []
        self.confirm_read(name, answers.append, limit)
        deadline = self.now + limit + 2 * STEP_S
        while not answers and self.now < deadline:
            self.run(STEP_S / 5)
        assert answers and not isinstance(answers[0], (Verdict, AgeBounds))
        return answers[0]

    def voters(self) -> set[str]:
        """Identities of the voters according to the leader."""
        return set(self.leader().member.members.voters)


def replace_command(version: int, base: int, text: str = "") -> Command:
    """A command that replaces the configuration."""
    digest = f"d{version}{text}"
    return {
        "do": "replace",
        "version": version,
        "base": base,
        "digest": digest,
        "doc": {"v": version, "t": text},
    }


def modify_command(version: int, base: int, **change: object) -> Command:
    """A command that patches the configuration."""
    return {
        "do": "modify",
        "version": version,
        "base": base,
        "digest": f"m{version}{change}",
        "patch": change,
    }
