"""Schedules of tolerated losses: nodes are replaced or wiped one after the other, each as soon as allowed.

``python -m latchspoke.configstore.replacements 0 50`` runs the schedules of these seeds in virtual time, in
clusters of 3 to 12 nodes. For tests only; no production process imports this module.

The next loss is tolerated once the node of the previous one, or its replacement, has run for ``catchUpS``.
Invariants: there is a majority at the end of that time, no acknowledged command is lost, and all members
agree.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from latchspoke.configstore.config_state import TAKEN
from latchspoke.configstore.simulation import Cluster, replace_command
from latchspoke.configstore.voters import Location

SIZES = (3, 4, 5, 6, 7, 12)  # nodes
REGIONS = 3
COMMAND_TIMEOUT_S = 3.0  # longer than an election
SETTLE_S = 3.0  # after all nodes were started
CATCH_UPS_S = (4.0, 6.0)  # values of ``catchUpS`` in the deployments


def spread_over_regions(names: list[str]) -> dict[str, Location]:
    """Locations of the nodes: over the regions in turn, at most two nodes per zone for up to 12 nodes."""
    return {
        name: Location(f"z{number % (2 * REGIONS)}", f"r{number % REGIONS}")
        for number, name in enumerate(names)
    }


@dataclass
class LossSchedule:
    """A schedule of losses, generated from its seed."""

    seed: int
    size: int = 5
    losses: int = 8
    catch_up: float = 4.0  # s
    loss_kinds: tuple[str, ...] = (
        "replaced",
        "planned",
        "wiped",
        "restarted",
        "leader replaced",
        "leader killed",
    )
    version: int = 0
    successors: int = 0  # nodes started as replacements
    history: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        names = [f"10.{number}.0.1:7600" for number in range(self.size)]
        self.cluster = Cluster(self.seed, self.size, spread_over_regions(names), self.catch_up)
        self.rng = self.cluster.rng

    def run(self) -> None:
        """Runs the schedule. Raises AssertionError if the majority or an acknowledged command is lost."""
        self.cluster.run(SETTLE_S)
        self.submit_change()
        for _ in range(self.losses):
            kind = self.rng.choice(self.loss_kinds)
            self.history.append(f"{self.cluster.now:.2f} {kind}")
            LOSSES[kind](self)
            self.cluster.run(self.catch_up)
            self.submit_change()
        self.power_cycle_all()

    def power_cycle_all(self) -> None:
        """Power-cycles all nodes and checks that all acknowledged changes are still there."""
        cluster = self.cluster
        names = list(cluster.running)
        for name in names:
            cluster.kill(name, self.rng.random() < 0.5)
        for name in self.rng.sample(names, len(names)):
            cluster.start(name)
        cluster.run(SETTLE_S)
        self.submit_change()
        cluster.run(1.0)
        versions = {name: node.state.version for name, node in cluster.running.items()}
        assert set(versions.values()) == {self.version}, f"versions {versions} after {self.history}"

    def submit_change(self) -> None:
        """Submits a change to a random node, which must accept it: the previous loss is repaired."""
        name = self.rng.choice(list(self.cluster.running))
        verdict = self.cluster.submit_and_wait(
            name, replace_command(self.version + 1, self.version), COMMAND_TIMEOUT_S
        )
        assert verdict.kind == TAKEN, f"{verdict.kind} {verdict.reason} after {self.history}"
        self.version += 1

    def pick_victim(self, leader: bool) -> str:
        """A random running node, or the leader if wanted and there is one."""
        leads = [node.name for node in self.cluster.running.values() if node.is_leader]
        return leads[0] if leader and leads else self.rng.choice(list(self.cluster.running))

    def start_successor(self, name: str) -> None:
        """Starts an empty node in the same zone under a new address."""
        self.successors += 1
        new = f"10.{100 + self.successors}.0.1:7600"
        self.cluster.locations[new] = self.cluster.locations[name]
        self.cluster.create_disk(new)
        self.cluster.start(new)

    def stop_machine(self, name: str) -> None:
        """Kills a node; the others learn that it is gone."""
        self.cluster.kill(name, self.rng.random() < 0.5)
        self.cluster.announce_running()

    # Losses. Each ends with the start of the returning node or its replacement.

    def replace_machine(self, leader: bool = False) -> None:
        """Kills a node and starts an empty replacement later."""
        name = self.pick_victim(leader)
        self.stop_machine(name)
        self.cluster.run(self.rng.uniform(0.3, 2.0))
        self.start_successor(name)

    def replace_planned(self) -> None:
        """Starts the replacement first; the old node then leaves and stops."""
        name = self.pick_victim(self.rng.random() < 0.5)
        self.start_successor(name)
        self.cluster.run(self.rng.uniform(0.3, 2.0))
        self.cluster.running[name].leave(self.cluster.now)
        self.cluster.process(name)
        self.cluster.run(0.3)
        self.stop_machine(name)

    def wipe_machine(self) -> None:
        """Kills a node and restarts it with an empty disk."""
        name = self.pick_victim(self.rng.random() < 0.5)
        self.stop_machine(name)
        self.cluster.create_disk(name)
        self.cluster.run(self.rng.uniform(0.3, 3.0))
        self.cluster.start(name)

    def restart_machine(self, leader: bool = False) -> None:
        """Restarts a node with its disk, possibly after it was replaced as a voter."""
        name = self.pick_victim(leader)
        self.stop_machine(name)
        self.cluster.run(self.rng.uniform(0.3, 5.0))
        self.cluster.start(name)


LOSSES: dict[str, Callable[[LossSchedule], None]] = {
    "replaced": LossSchedule.replace_machine,
    "leader replaced": lambda schedule: schedule.replace_machine(leader=True),
    "planned": LossSchedule.replace_planned,
    "wiped": LossSchedule.wipe_machine,
    "restarted": LossSchedule.restart_machine,
    "leader killed": lambda schedule: schedule.restart_machine(leader=True),
}


def schedule_for_seed(seed: int) -> LossSchedule:
    """The schedule of a seed; cluster sizes take turns."""
    return LossSchedule(
        seed, SIZES[seed % len(SIZES)], catch_up=CATCH_UPS_S[seed // len(SIZES) % len(CATCH_UPS_S)]
    )


def main(first: int, last: int) -> int:
    """Runs these seeds; returns how many violated an invariant."""
    broken = 0
    for seed in range(first, last):
        schedule = schedule_for_seed(seed)
        try:
            schedule.run()
        except AssertionError as e:
            broken += 1
            print(f"seed={seed} size={schedule.size} at={schedule.cluster.now:.2f} broken={e}", flush=True)
    print(f"seeds={last - first} broken={broken}")
    return broken


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
