"""Operators and troubles by chance, and what must hold whatever they do.

``python -m latchspoke.configstore.drills 0 200`` plays the schedules of these seeds, in virtual time; with
the name of a scene behind them (``scenes``) half of the rounds hold it.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field

from latchspoke.configstore import scenes
from latchspoke.configstore.orders import CONFLICT, INVALID, STALE, Command, Verdict
from latchspoke.configstore.register import Answer
from latchspoke.configstore.simulation import World, modify, replace
from latchspoke.configstore.voters import VOTERS_MOST


def most_voters(machines: int) -> int:
    """How many of so many vote once all is calm: an odd number."""
    return min(machines - 1 + machines % 2, VOTERS_MOST)


@dataclass
class Evacuations:
    """One zone: its operator gives one order at a time, and repeats it until it is acknowledged."""

    zone: str
    wanted: bool = False
    orders: int = 0  # so far
    acknowledged: bool = True
    until: float = 0.0  # an order is under way until then


@dataclass
class Play:
    """One schedule, drawn from its seed."""

    seed: int
    count: int = 5
    scene: str = ""  # of ``scenes``: half of the rounds begin with it
    refused: set[str] = field(default_factory=set)
    acknowledged: dict[int, str] = field(default_factory=dict)  # version -> digest
    bases: dict[int, str] = field(default_factory=dict)  # base -> the digest acknowledged on it
    newest: int = 0
    clear: int = 0
    proofs: int = 0
    wipes: int = 0
    wiped: str = ""

    def __post_init__(self) -> None:
        self.world = World(self.seed, self.count)
        self.draw = self.world.draw
        self.zones = [Evacuations("a"), Evacuations("b")]
        self.serial = 0

    def run(self, rounds: int = 40) -> None:
        self.world.run(3.0)
        for _ in range(rounds):
            if self.scene and self.draw.random() < 0.5:
                scenes.SCENES[self.scene](self)
            else:
                self.trouble()
            for _ in range(self.draw.randint(1, 3)):
                self.operate()
                self.world.run(self.draw.choice([0.0, 0.01, 0.05, 0.3]))
            self.world.run(self.draw.choice([0.05, 0.2, 0.5, 1.5]))
        self.calm()
        self.close()

    # Troubles.

    def trouble(self) -> None:
        world, draw = self.world, self.draw
        name = draw.choice(world.names)
        match draw.choice(
            ["cut", "cut", "one-way", "heal", "loss", "kill", "back", "back", "all", "wipe", ""]
        ):
            case "cut":
                self.split(draw.sample(world.names, draw.choice([1, 2])))
            case "one-way":
                world.cuts |= {(name, other) for other in draw.sample(world.names, 3)}
            case "heal":
                world.cuts.clear()
                world.loss = 0.0
            case "loss":
                world.loss = draw.choice([0.0, 0.05, 0.3])
            case "kill" if len(world.up) > len(world.names) - 2 and name in world.up:
                world.kill(name, draw.random() < 0.5)
            case "back":
                self.back()
            case "all":
                for name in list(world.up):
                    world.kill(name, draw.random() < 0.5)
                self.back()
            case "wipe" if self.whole():
                self.wipe(name)

    def split(self, side: list[str]) -> None:
        world = self.world
        rest = [name for name in world.names if name not in side]
        world.cuts |= {pair for a in side for b in rest for pair in ((a, b), (b, a))}

    def back(self) -> None:
        world, draw = self.world, self.draw
        for name in draw.sample(world.names, len(world.names)):
            if name not in world.up:
                world.start(name)
                world.run(draw.choice([0.0, 0.0, 0.05]))

    def wipe(self, name: str) -> None:
        self.wipes, self.wiped = self.wipes + 1, name
        if name in self.world.up:
            self.world.kill(name)
        self.world.empty(name)
        self.world.start(name)

    def whole(self) -> bool:
        """Whether the last disk that was lost is made good: only then may another go."""
        if not self.wiped:
            return True
        identity = self.world.disks[self.wiped].identity
        leaders = [r for r in self.world.up.values() if r.leads and r.member.committed_in_term]
        return any(
            identity in r.member.members.voters and r.member.log.members_index() <= r.member.commit_index
            for r in leaders
        )

    # Operators.

    def operate(self) -> None:
        world, draw = self.world, self.draw
        if not world.up:
            return
        name = draw.choice(list(world.up))
        match draw.choice(["one", "two", "ahead", "zone", "zone", "confirm", "confirm"]):
            case "one":
                self.send(name, self.change(self.newest))
            case "two":
                for _ in range(2):
                    self.send(draw.choice(list(world.up)), self.change(self.newest))
            case "ahead":
                # On top of one that may not have been taken yet.
                first = self.change(self.newest)
                self.send(name, first)
                self.send(draw.choice(list(world.up)), self.change(first["version"]))
            case "zone":
                self.evacuate(name, draw.choice(self.zones))
            case "confirm":
                self.confirm(name)

    def change(self, base: int) -> Command:
        self.serial += 1
        version = base + self.draw.randint(1, 3)
        if self.draw.random() < 0.5:
            return replace(version, base, f"-{self.serial}")
        return modify(version, base, serial=self.serial)

    def send(self, name: str, command: Command, tries: int = 0) -> None:
        self.world.submit(name, command, lambda answer: self.answered(command, answer, tries))

    def answered(self, command: Command, answer: Answer, tries: int) -> None:
        assert isinstance(answer, Verdict)
        version, digest = command["version"], command["digest"]
        if answer.ok:
            self.clear += 1
            assert digest not in self.refused, "acknowledged after it was refused"
            assert self.acknowledged.setdefault(version, digest) == digest, "two under one version"
            assert self.bases.setdefault(command["base"], digest) == digest, "two on one base acknowledged"
            self.newest = max(self.newest, version)
        elif answer.kind in (CONFLICT, INVALID):
            self.clear += 1
            assert self.acknowledged.get(version) != digest, "refused after it was acknowledged"
            self.refused.add(digest)
        elif tries < 4 and self.world.up:
            again = self.draw.choice(list(self.world.up))
            self.send(again, command, tries + 1)

    def evacuate(self, name: str, zone: Evacuations) -> None:
        if self.world.now < zone.until:
            return
        if zone.acknowledged:
            zone.wanted, zone.acknowledged = not zone.wanted, False
            zone.orders += 1
        zone.until = self.world.now + 1.2
        command = {"do": "evacuate" if zone.wanted else "restore", "zone": zone.zone}
        self.world.submit(name, command, lambda answer: self.moved(zone, answer))

    def moved(self, zone: Evacuations, answer: Answer) -> None:
        assert isinstance(answer, Verdict)
        assert answer.kind != STALE, "a verdict that is for processes alone"
        zone.acknowledged, zone.until = answer.ok, self.world.now

    def confirm(self, name: str) -> None:
        newest, asked = self.newest, self.world.up[name]
        settled = {zone.zone: zone.orders for zone in self.zones if zone.acknowledged}

        def back(answer: Answer) -> None:
            if answer is None:
                return
            self.proofs += 1
            assert asked.orders.version >= newest, "a proven state is older than what was acknowledged"
            for zone in self.zones:
                if settled.get(zone.zone) == zone.orders:
                    assert (zone.zone in asked.orders.evacuated) == zone.wanted, "an evacuation is unknown"

        self.world.confirm(name, back, patient=self.draw.random() < 0.5)

    # The end of the day.

    def calm(self) -> None:
        world = self.world
        world.cuts.clear()
        world.loss = 0.0
        self.back()
        world.run(8.0)

    def close(self) -> None:
        world = self.world
        assert world.settled(), "no leader, or somebody is behind"
        orders = [register.orders for register in world.up.values()]
        assert len({o.dump() for o in orders}) == 1, "the states differ"
        last = orders[0]
        for version, digest in self.acknowledged.items():
            assert last.history.get(version) == digest, "an acknowledged configuration is gone"
        assert last.version >= self.newest
        assert not self.refused & set(last.history.values()), "a refused configuration is in force"
        for zone in self.zones:
            if zone.acknowledged:
                assert (zone.zone in last.evacuated) == zone.wanted, "an evacuation is gone, or back"
        assert world.order(world.names[0], replace(last.version + 1, last.version, "last")).ok, "nothing goes"
        assert len(world.voters()) == most_voters(len(world.names)), "not all that can vote again"


def main(first: int, last: int, scene: str = "") -> int:
    """Play these seeds; how many broke something."""
    broken = 0
    for seed in range(first, last):
        play = Play(seed, scene=scene)
        try:
            play.run()
        except AssertionError as e:
            broken += 1
            print(f"seed={seed} at={play.world.now:.2f} broken={e}", flush=True)
    print(f"seeds={last - first} broken={broken}")
    return broken


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:4])))
