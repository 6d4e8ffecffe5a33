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

from latchspoke.configstore.orders import TAKEN
from latchspoke.configstore.simulation import World, replace
from latchspoke.configstore.voters import Place

SIZES = (3, 4, 5, 6, 7, 12)  # control machines
REGIONS = 3
ORDER_LIMIT = 3.0  # s; an election may come first
SETTLE = 3.0  # s after the start of all
CATCH_UPS = (4.0, 6.0)  # s; the deployments' ``catchUpS``


def places(names: list[str]) -> dict[str, Place]:
    """Machines dealt over the regions in turn, each in a zone with at most one other."""
    return {
        name: Place(f"z{number % (2 * REGIONS)}", f"r{number % REGIONS}") for number, name in enumerate(names)
    }


@dataclass
class Run:
    """One run, drawn from its seed."""

    seed: int
    size: int = 5
    losses: int = 8
    catch_up: float = 4.0  # s
    kinds: tuple[str, ...] = ("replaced", "planned", "wiped", "restarted", "leader replaced", "leader killed")
    version: int = 0
    made: int = 0  # machines that came later
    history: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        names = [f"10.{number}.0.1:7600" for number in range(self.size)]
        self.world = World(self.seed, self.size, places(names), self.catch_up)
        self.draw = self.world.draw

    def play(self) -> None:
        """Raises AssertionError where a majority or an order is lost."""
        self.world.run(SETTLE)
        self.order()
        for _ in range(self.losses):
            kind = self.draw.choice(self.kinds)
            self.history.append(f"{self.world.now:.2f} {kind}")
            LOSSES[kind](self)
            self.world.run(self.catch_up)
            self.order()
        self.close()

    def close(self) -> None:
        """All power goes, and comes back: what was acknowledged is there."""
        world = self.world
        names = list(world.up)
        for name in names:
            world.kill(name, self.draw.random() < 0.5)
        for name in self.draw.sample(names, len(names)):
            world.start(name)
        world.run(SETTLE)
        self.order()
        world.run(1.0)
        versions = {name: register.orders.version for name, register in world.up.items()}
        assert set(versions.values()) == {self.version}, f"versions {versions} after {self.history}"

    def order(self) -> None:
        """Anybody takes it at once: the loss before this counts no more."""
        name = self.draw.choice(list(self.world.up))
        verdict = self.world.order(name, replace(self.version + 1, self.version), ORDER_LIMIT)
        assert verdict.kind == TAKEN, f"{verdict.kind} {verdict.reason} after {self.history}"
        self.version += 1

    def victim(self, leader: bool) -> str:
        leads = [register.me for register in self.world.up.values() if register.leads]
        return leads[0] if leader and leads else self.draw.choice(list(self.world.up))

    def successor(self, name: str) -> None:
        """An empty machine in the same zone, at another address."""
        self.made += 1
        new = f"10.{100 + self.made}.0.1:7600"
        self.world.places[new] = self.world.places[name]
        self.world.empty(new)
        self.world.start(new)

    def lose(self, name: str) -> None:
        self.world.kill(name, self.draw.random() < 0.5)
        self.world.meet()

    # Losses. Each ends at the start of what makes it good.

    def replaced(self, leader: bool = False) -> None:
        name = self.victim(leader)
        self.lose(name)
        self.world.run(self.draw.uniform(0.3, 2.0))
        self.successor(name)

    def planned(self) -> None:
        """The new one first; the old one hands over, and ends."""
        name = self.victim(self.draw.random() < 0.5)
        self.successor(name)
        self.world.run(self.draw.uniform(0.3, 2.0))
        self.world.up[name].leave(self.world.now)
        self.world.turn(name)
        self.world.run(0.3)
        self.lose(name)

    def wiped(self) -> None:
        name = self.victim(self.draw.random() < 0.5)
        self.lose(name)
        self.world.empty(name)
        self.world.run(self.draw.uniform(0.3, 3.0))
        self.world.start(name)

    def restarted(self, leader: bool = False) -> None:
        """Its disk comes back with it, perhaps after others have taken its vote."""
        name = self.victim(leader)
        self.lose(name)
        self.world.run(self.draw.uniform(0.3, 5.0))
        self.world.start(name)


LOSSES: dict[str, Callable[[Run], None]] = {
    "replaced": Run.replaced,
    "leader replaced": lambda run: run.replaced(leader=True),
    "planned": Run.planned,
    "wiped": Run.wiped,
    "restarted": Run.restarted,
    "leader killed": lambda run: run.restarted(leader=True),
}


def drawn(seed: int) -> Run:
    """Groups of each size in turn."""
    return Run(seed, SIZES[seed % len(SIZES)], catch_up=CATCH_UPS[seed // len(SIZES) % len(CATCH_UPS)])


def main(first: int, last: int) -> int:
    """Play these seeds; how many broke something."""
    broken = 0
    for seed in range(first, last):
        run = drawn(seed)
        try:
            run.play()
        except AssertionError as e:
            broken += 1
            print(f"seed={seed} size={run.size} at={run.world.now:.2f} broken={e}", flush=True)
    print(f"seeds={last - first} broken={broken}")
    return broken


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
