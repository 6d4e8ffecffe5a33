"""Runs of tolerated losses: control machines replaced or wiped one after the other, each as soon as allowed.

``python -m latchspoke.configstore.replacements 0 50`` plays the runs of these seeds in virtual time, with
groups of 3 to 12 machines. For tests; no process of the system loads it.

A loss is tolerated once the one before counts again: its machine is back, or its successor has run, for
``catchUpS``. What must hold: a majority at the end of that time, no order that was acknowledged is lost, and
no two groups decide.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from latchspoke.configstore.config_state import TAKEN
from latchspoke.configstore.simulation import Cluster, replace_command
from latchspoke.configstore.voters import Location

SIZES = (3, 4, 5, 6, 7, 12)  # control machines
REGIONS = 3
ORDER_LIMIT = 3.0  # s; an election may come first
SETTLE = 3.0  # s after the start of all
CATCH_UPS = (4.0, 6.0)  # s; the deployments' ``catchUpS``


def spread_over_regions(names: list[str]) -> dict[str, Location]:
    """Machines dealt over the regions in turn, each in a zone with at most one other."""
    return {
        name: Location(f"z{number % (2 * REGIONS)}", f"r{number % REGIONS}")
        for number, name in enumerate(names)
    }


@dataclass
class LossSchedule:
    """One run, drawn from its seed."""

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
    successors: int = 0  # machines that came later
    history: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        names = [f"10.{number}.0.1:7600" for number in range(self.size)]
        self.cluster = Cluster(self.seed, self.size, spread_over_regions(names), self.catch_up)
        self.rng = self.cluster.rng

    def play(self) -> None:
        """Raises AssertionError where a majority or an order is lost."""
        self.cluster.run(SETTLE)
        self.submit_change()
        for _ in range(self.losses):
            kind = self.rng.choice(self.loss_kinds)
            self.history.append(f"{self.cluster.now:.2f} {kind}")
            LOSSES[kind](self)
            self.cluster.run(self.catch_up)
            self.submit_change()
        self.power_cycle_all()

    def power_cycle_all(self) -> None:
        """All power goes, and comes back: what was acknowledged is there."""
        cluster = self.cluster
        names = list(cluster.running)
        for name in names:
            cluster.kill(name, self.rng.random() < 0.5)
        for name in self.rng.sample(names, len(names)):
            cluster.start(name)
        cluster.run(SETTLE)
        self.submit_change()
        cluster.run(1.0)
        versions = {name: register.state.version for name, register in cluster.running.items()}
        assert set(versions.values()) == {self.version}, f"versions {versions} after {self.history}"

    def submit_change(self) -> None:
        """Anybody takes it at once: the loss before this counts no more."""
        name = self.rng.choice(list(self.cluster.running))
        verdict = self.cluster.submit_and_wait(
            name, replace_command(self.version + 1, self.version), ORDER_LIMIT
        )
        assert verdict.kind == TAKEN, f"{verdict.kind} {verdict.reason} after {self.history}"
        self.version += 1

    def pick_victim(self, leader: bool) -> str:
        leads = [register.name for register in self.cluster.running.values() if register.is_leader]
        return leads[0] if leader and leads else self.rng.choice(list(self.cluster.running))

    def start_successor(self, name: str) -> None:
        """An empty machine in the same zone, at another address."""
        self.successors += 1
        new = f"10.{100 + self.successors}.0.1:7600"
        self.cluster.locations[new] = self.cluster.locations[name]
        self.cluster.create_disk(new)
        self.cluster.start(new)

    def stop_machine(self, name: str) -> None:
        self.cluster.kill(name, self.rng.random() < 0.5)
        self.cluster.announce_running()

    # Losses. Each ends at the start of what makes it good.

    def replace_machine(self, leader: bool = False) -> None:
        name = self.pick_victim(leader)
        self.stop_machine(name)
        self.cluster.run(self.rng.uniform(0.3, 2.0))
        self.start_successor(name)

    def replace_planned(self) -> None:
        """The new one first; the old one hands over, and ends."""
        name = self.pick_victim(self.rng.random() < 0.5)
        self.start_successor(name)
        self.cluster.run(self.rng.uniform(0.3, 2.0))
        self.cluster.running[name].leave(self.cluster.now)
        self.cluster.process(name)
        self.cluster.run(0.3)
        self.stop_machine(name)

    def wipe_machine(self) -> None:
        name = self.pick_victim(self.rng.random() < 0.5)
        self.stop_machine(name)
        self.cluster.create_disk(name)
        self.cluster.run(self.rng.uniform(0.3, 3.0))
        self.cluster.start(name)

    def restart_machine(self, leader: bool = False) -> None:
        """Its disk comes back with it, perhaps after others have taken its vote."""
        name = self.pick_victim(leader)
        self.stop_machine(name)
        self.cluster.run(self.rng.uniform(0.3, 5.0))
        self.cluster.start(name)


LOSSES: dict[str, Callable[[LossSchedule], None]] = {
    "replaced": LossSchedule.replace_machine,
    "leader replaced": lambda run: run.replace_machine(leader=True),
    "planned": LossSchedule.replace_planned,
    "wiped": LossSchedule.wipe_machine,
    "restarted": LossSchedule.restart_machine,
    "leader killed": lambda run: run.restart_machine(leader=True),
}


def schedule_for_seed(seed: int) -> LossSchedule:
    """Groups of each size in turn."""
    return LossSchedule(
        seed, SIZES[seed % len(SIZES)], catch_up=CATCH_UPS[seed // len(SIZES) % len(CATCH_UPS)]
    )


def main(first: int, last: int) -> int:
    """Play these seeds; how many broke something."""
    broken = 0
    for seed in range(first, last):
        run = schedule_for_seed(seed)
        try:
            run.play()
        except AssertionError as e:
            broken += 1
            print(f"seed={seed} size={run.size} at={run.cluster.now:.2f} broken={e}", flush=True)
    print(f"seeds={last - first} broken={broken}")
    return broken


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
