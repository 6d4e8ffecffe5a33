"""Scenarios that random schedules produce too rarely: faults timed against commands.

Each scenario acts on a running ``Schedule``, which checks the invariants. For tests only; no production
process imports this module.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING
from unittest import mock

from latchspoke.configstore.simulation import replace_command
from latchspoke.consensus import member

if TYPE_CHECKING:
    from latchspoke.configstore.fault_schedules import Schedule

SCENARIOS: dict[str, Callable[[Schedule], None]] = {}


def scenario(function: Callable[[Schedule], None]) -> Callable[[Schedule], None]:
    """Registers a scenario under the name of its function."""
    SCENARIOS[function.__name__] = function
    return function


def current_leader(schedule: Schedule) -> str:
    """The name of the settled leader, or ''."""
    leaders = [r for r in schedule.cluster.running.values() if r.is_leader and r.member.committed_in_term]
    return max(leaders, key=lambda r: r.member.term).name if leaders else ""


def other_nodes(schedule: Schedule, *excluded: str) -> list[str]:
    """Other running nodes, in random order."""
    return schedule.rng.sample(
        names := [n for n in schedule.cluster.running if n not in excluded], len(names)
    )


@contextmanager
def blocked(
    schedule: Schedule, sources: list[str], targets: list[str], hold_probability: float = 1.0
) -> Iterator[None]:
    """Blocks these links; messages on them are delayed (``hold_probability`` 1) or lost (0)."""
    cluster = schedule.cluster
    pairs = {(a, b) for a in sources for b in targets} - cluster.blocked_links
    previous, cluster.hold_probability = cluster.hold_probability, hold_probability
    cluster.blocked_links |= pairs
    try:
        yield
    finally:
        cluster.blocked_links -= pairs
        cluster.hold_probability = previous


def healed(schedule: Schedule) -> str:
    """Ends all faults; returns the leader after a second, or ''."""
    schedule.cluster.blocked_links.clear()
    schedule.cluster.loss_rate = 0.0
    schedule.restart_stopped()
    schedule.cluster.run(1.0)
    return current_leader(schedule)


@scenario
def change_before_its_base(schedule: Schedule) -> None:
    """A change arrives before its base, is rejected, and is sent again through another node."""
    first = schedule.draw_change(schedule.newest)
    second = schedule.draw_change(first["version"])
    for command in (second, first, second):
        if schedule.cluster.running:
            schedule.submit(schedule.rng.choice(list(schedule.cluster.running)), command)
            schedule.cluster.run(schedule.rng.choice([0.05, 0.15, 0.3]))


@scenario
def version_not_increasing(schedule: Schedule) -> None:
    """A change whose version is not higher than its base."""
    if schedule.newest and schedule.cluster.running:
        schedule.change_count += 1
        version = max(schedule.newest - schedule.rng.randint(0, 2), 1)
        command = replace_command(version, schedule.newest, f"-{schedule.change_count}")
        schedule.submit(schedule.rng.choice(list(schedule.cluster.running)), command)


@scenario
def delayed_evacuation(schedule: Schedule) -> None:
    """An evacuation is delayed until it was repeated through another node and ended."""
    leader, cluster = healed(schedule), schedule.cluster
    zone = schedule.rng.choice(schedule.zones)
    if not leader or cluster.now < zone.busy_until:
        return
    name = other_nodes(schedule, leader)[0]
    with blocked(schedule, [name], [leader]):
        schedule.evacuate(name, zone)
        cluster.run(1.3)
        for _ in range(2):
            schedule.evacuate(leader, zone)
            cluster.run(0.4)
    cluster.run(0.5)
    schedule.read(leader)


@scenario
def zone_order_from_lagging_node(schedule: Schedule) -> None:
    """A zone command through a node that has not applied the zone's last change."""
    leader, cluster = healed(schedule), schedule.cluster
    zone = schedule.rng.choice(schedule.zones)
    if not leader or cluster.now < zone.busy_until:
        return
    name = other_nodes(schedule, leader)[0]
    with blocked(schedule, [leader], [name]):
        schedule.evacuate(leader, zone)
        cluster.run(0.25)
        schedule.evacuate(name, zone)
        cluster.run(0.1)
    cluster.run(0.5)


@scenario
def late_read_reply(schedule: Schedule) -> None:
    """The reply to a read-index request is late, and another read starts meanwhile."""
    leader, cluster = healed(schedule), schedule.cluster
    if not leader:
        return
    name, before_retry = other_nodes(schedule, leader)[0], schedule.rng.random() < 0.5
    schedule.read(name)
    with blocked(schedule, [leader], [name]):
        cluster.run(0.04)
        schedule.submit(leader, schedule.draw_change(schedule.newest))
        cluster.run(0.13 if before_retry else 0.2)  # shorter than the retry interval of the node, or longer
        schedule.read(name)
        cluster.run(0.0 if before_retry else schedule.rng.uniform(0.07, 0.2))
    cluster.run(0.3)


@scenario
def restart_with_reply_in_flight(schedule: Schedule) -> None:
    """A node restarts while a reply to its previous run is in flight."""
    cluster = schedule.cluster
    if not healed(schedule):
        return
    name = schedule.rng.choice(schedule.cluster.names)
    for uptime in (0.25, schedule.rng.uniform(0.0, 0.05)):
        cluster.kill(name)
        cluster.start(name)
        cluster.run(uptime)
        schedule.submit(name, schedule.draw_change(schedule.newest))
        cluster.run(schedule.rng.uniform(0.0, 0.05))
    cluster.run(0.4)


@scenario
def superseded_leader(schedule: Schedule) -> None:
    """A leader has commands that no other node has, and is superseded before it notices."""
    leader, cluster = healed(schedule), schedule.cluster
    if not leader:
        return
    successor, *rest = other_nodes(schedule, leader)
    with blocked(schedule, [leader], [successor, *rest], 0.0):
        for _ in range(2):
            schedule.submit(leader, schedule.draw_change(schedule.newest), retries=4)
        cluster.run(0.045)
    with blocked(schedule, [successor], [leader], 0.0):
        cluster.running[successor].member.start_election(cluster.now)
        cluster.process(successor)
        cluster.run(0.15)
        schedule.submit(rest[0], schedule.draw_change(schedule.newest))
        cluster.run(schedule.rng.uniform(0.05, 0.2))
    cluster.run(0.5)


@scenario
def earlier_term_entries(schedule: Schedule) -> None:
    """Entries of an earlier term are on a majority but may still be overwritten (Raft, figure 8)."""
    leader, cluster = healed(schedule), schedule.cluster
    if not leader or len(cluster.running) < 5:
        return
    ally, *rest = other_nodes(schedule, leader)
    with mock.patch.object(member, "BATCH_MAX_ENTRIES", 1):
        with blocked(schedule, [leader, ally], rest, 0.0), blocked(schedule, rest, [leader, ally], 0.0):
            schedule.submit(leader, schedule.draw_change(schedule.newest), retries=4)
            cluster.run(0.12)
            cluster.kill(leader)
            second_leader = wait_for_leader(schedule, rest)
            if second_leader:
                kill_before_delivery(schedule, second_leader)
        cluster.start(leader)
        third_leader = wait_for_leader(schedule, [leader, ally])
        if third_leader:
            entry = cluster.running[third_leader].member.term_start_index
            for _ in range(60):
                cluster.run(0.004)
                if (
                    not cluster.running[third_leader].is_leader
                    or cluster.running[third_leader].member.commit_index >= entry - 1
                ):
                    break
            kill_before_delivery(schedule, third_leader)
        if second_leader:
            cluster.start(second_leader)
            wait_for_leader(schedule, [second_leader])
    schedule.restart_stopped()


def kill_before_delivery(schedule: Schedule, name: str) -> None:
    """Kills a node and drops its messages in flight."""
    schedule.cluster.kill(name)
    with blocked(schedule, [name], schedule.cluster.names, 0.0):
        schedule.cluster.run(0.05)


def wait_for_leader(schedule: Schedule, names: list[str], timeout: float = 3.0) -> str:
    """Waits until one of these is the leader; '' if none is within ``timeout`` (s)."""
    cluster, deadline = schedule.cluster, schedule.cluster.now + timeout
    while cluster.now < deadline:
        cluster.run(0.004)
        for name in names:
            if name in cluster.running and cluster.running[name].is_leader:
                return name
    return ""


@scenario
def old_disk_copy(schedule: Schedule) -> None:
    """A disk is rolled back by two boots while the nodes that know of a change are unreachable."""
    leader, cluster = healed(schedule), schedule.cluster
    if not leader or not schedule.wipe_repaired() or len(cluster.running) < 5:
        return
    name, ally, *rest = other_nodes(schedule, leader)
    old_disk = copy.deepcopy(cluster.disks[name])
    for _ in range(2):
        cluster.kill(name)
        cluster.start(name)
        cluster.run(0.8)
    leader = current_leader(schedule)
    if not leader or leader == name:
        return
    rest = [n for n in cluster.names if n not in (name, leader, ally)]
    if leader == ally:
        rest = rest[:2]
    informed = [n for n in cluster.names if n not in (*rest, name)]
    with blocked(schedule, [*informed, name], rest, 0.0), blocked(schedule, rest, [*informed, name], 0.0):
        schedule.submit(leader, schedule.draw_change(schedule.newest))
        cluster.run(0.3)
    cluster.kill(name)
    cluster.disks[name] = old_disk
    with blocked(schedule, informed, [*rest, name], 0.0), blocked(schedule, [*rest, name], informed, 0.0):
        cluster.start(name)
        cluster.run(2.5)
        schedule.submit(rest[0], schedule.draw_change(schedule.newest))
        cluster.run(0.5)
    schedule.wipe(name)
