"""How old entries are by the answers of a majority, under crashes, pauses, partitions and leader changes."""

from __future__ import annotations

import math
from functools import partial
from random import Random

import pytest

from latchspoke.configstore.entry_ages import AgeBounds, EntryAge, ReceiptTimes, age_bounds
from latchspoke.configstore.simulation import Cluster, replace_command
from latchspoke.configstore.store_node import Answer
from latchspoke.consensus.records import Entry, Kind


class AgeingCluster(Cluster):
    """Notes when each committed entry was proposed, and when any member knew that it was committed."""

    def __init__(self, seed: int, count: int) -> None:
        self.proposed_at: dict[bytes, float] = {}
        self.committed_at: dict[int, float] = {}
        self.commands: dict[int, bytes] = {}
        super().__init__(seed, count)

    def check_committed(self, node: object, output: object) -> None:
        super().check_committed(node, output)  # type: ignore[arg-type]
        entries: tuple[Entry, ...] = output.committed  # type: ignore[attr-defined]
        for entry in entries:
            if entry.kind is Kind.DATA:
                self.committed_at.setdefault(entry.index, self.now)
                self.commands[entry.index] = entry.body


def disturb(cluster: Cluster, rng: Random) -> None:
    """Pause, kill, restart or cut off members, or end that."""
    name = rng.choice(cluster.names)
    match rng.choice(["pause", "pause", "resume", "kill", "cut", "heal", "nothing"]):
        case "pause" if name in cluster.running:
            cluster.pause(name)
        case "resume":
            for paused in list(cluster.paused):
                cluster.resume(paused)
        case "kill" if name in cluster.running and name not in cluster.paused:
            cluster.kill(name)
        case "cut":
            others = [other for other in cluster.names if other != name]
            cluster.blocked_links |= {pair for other in others for pair in ((name, other), (other, name))}
        case "heal":
            cluster.blocked_links.clear()
            for stopped in cluster.names:
                if stopped not in cluster.running:
                    cluster.start(stopped)


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("seed", range(6))
def test_bounds_hold_under_pauses_crashes_and_leader_changes(seed: int, count: int) -> None:
    """EVAC (review/5): a paused member took the time at which it applied a command for that of its commit."""
    cluster, rng = AgeingCluster(seed, count), Random(f"ages:{seed}")
    cluster.run(3.0)
    checked = bounded = 0

    def check(index: int, answer: Answer) -> None:
        nonlocal checked, bounded
        assert isinstance(answer, AgeBounds)
        checked += 1
        bounded += answer.upper_s < math.inf
        proposed_at = proposals[int(index)]
        assert answer.lower_s <= cluster.now - proposed_at + 1e-6, "older than its proposal"
        assert answer.upper_s >= cluster.now - cluster.committed_at[index] - 1e-6, "younger than its commit"

    proposals: dict[int, float] = {}
    submitted: dict[int, float] = {}
    for number in range(1, 120):
        disturb(cluster, rng)
        names = [name for name in cluster.running if name not in cluster.paused]
        if names:
            submitted[number] = cluster.now
            cluster.submit(rng.choice(names), replace_command(number, 0, f"-{number}"), lambda answer: None)
        cluster.run(rng.choice([0.05, 0.3, 1.0, 2.5]))
        for index, body in cluster.commands.items():
            proposals.setdefault(index, submitted[int(body.split(b'"digest":"d')[1].split(b"-")[0])])
        names = [name for name in cluster.running if name not in cluster.paused]
        if names and cluster.committed_at:
            name, index = rng.choice(names), rng.choice(list(cluster.committed_at)[-3:])
            cluster.ask_entry_age(name, index, partial(check, index))
            cluster.run(0.5)
    assert checked > 60 and bounded > 15


def test_settled_cluster_knows_the_age_well() -> None:
    cluster = Cluster(1)
    cluster.run(3.0)
    cluster.submit_and_wait(cluster.names[0], replace_command(1, 0))
    committed_at, index = cluster.now, cluster.running[cluster.names[0]].state.index
    cluster.run(5.0)
    answers: list[Answer] = []
    for name in cluster.names:
        cluster.ask_entry_age(name, index, answers.append)
    cluster.run(0.2)
    assert len(answers) == len(cluster.names)
    for bounds in answers:
        assert isinstance(bounds, AgeBounds)
        assert (
            cluster.now - committed_at - 0.2
            < bounds.lower_s
            <= bounds.upper_s
            < cluster.now - committed_at + 0.3
        )


def test_answers_of_restarted_members_give_no_upper_bound() -> None:
    """After a kill of all members a change of any age looked as if it had been made just then."""
    cluster = Cluster(1, 3)
    cluster.run(3.0)
    cluster.submit_and_wait(cluster.names[0], replace_command(1, 0))
    index = cluster.running[cluster.names[0]].state.index
    cluster.run(10.0)
    for name in cluster.names:
        cluster.kill(name)
    for name in cluster.names:
        cluster.start(name)
    cluster.run(2.0)
    answers: list[Answer] = []
    cluster.ask_entry_age(cluster.names[1], index, answers.append)
    cluster.run(0.2)
    (bounds,) = answers
    assert isinstance(bounds, AgeBounds) and bounds.upper_s == math.inf and 1.9 < bounds.lower_s < 2.3


def test_replaced_and_forgotten_entries() -> None:
    times = ReceiptTimes(10.0, 5)
    times.record(6, 8, 11.0, True)
    times.record(7, 7, 12.0, True)
    assert [times.age(index, 20.0) for index in (5, 6, 7, 8)] == [
        EntryAge(10.0, False), EntryAge(9.0, True), EntryAge(8.0, True), EntryAge(0.0, False),
    ]  # fmt: skip
    times.record(8, 5000, 13.0, True)
    assert len(times.receipts) == 2000 and times.age(9, 20.0) == EntryAge(7.0, False)
    times.record_snapshot(6000, 14.0)
    assert times.age(5000, 20.0) == EntryAge(6.0, False)
    times.record(4, 4, 15.0, False)
    assert times.age(4, 20.0) == EntryAge(5.0, False) and times.age(3, 20.0) == EntryAge(6.0, False)


def test_upper_bound_needs_a_majority_that_observed_the_entry() -> None:
    ages = {"a": EntryAge(4.0, True), "b": EntryAge(9.0, False)}
    assert age_bounds(ages, 2, 0.1) == AgeBounds(9.0, math.inf)
    assert age_bounds(ages | {"c": EntryAge(5.0, True)}, 2, 0.5) == AgeBounds(9.0, 5.5)
