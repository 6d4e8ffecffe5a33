"""Operators and troubles by chance, and what must hold whatever they do.

``python -m latchspoke.configstore.fault_schedules 0 200`` runs the schedules of these seeds in virtual
time. With the name of a scenario as third argument (see ``scenarios``),
about half of the rounds begin with it.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field

from latchspoke.configstore import scenarios
from latchspoke.configstore.config_state import CONFLICT, INVALID, STALE, Command, Verdict
from latchspoke.configstore.simulation import Cluster, modify_command, replace_command
from latchspoke.configstore.store_node import Answer
from latchspoke.configstore.voters import MAX_VOTERS


def expected_voters(machines: int) -> int:
    """How many of so many vote once all is calm: an odd number."""
    return min(machines - 1 + machines % 2, MAX_VOTERS)


@dataclass
class ZoneOrders:
    """One zone: its operator gives one order at a time, and repeats it until it is acknowledged."""

    zone: str
    evacuate: bool = False
    order_count: int = 0  # so far
    acknowledged: bool = True
    busy_until: float = 0.0  # an order is under way until then


@dataclass
class Schedule:
    """One schedule, drawn from its seed."""

    seed: int
    count: int = 5
    scenario: str = ""  # of ``scenes``: half of the rounds begin with it
    refused: set[str] = field(default_factory=set)
    acknowledged: dict[int, str] = field(default_factory=dict)  # version -> digest
    bases: dict[int, str] = field(default_factory=dict)  # base -> the digest acknowledged on it
    newest: int = 0
    definite_answers: int = 0
    confirmed_reads: int = 0
    wipes: int = 0
    wiped: str = ""

    def __post_init__(self) -> None:
        self.cluster = Cluster(self.seed, self.count)
        self.rng = self.cluster.rng
        self.zones = [ZoneOrders("a"), ZoneOrders("b")]
        self.change_count = 0

    def run(self, rounds: int = 40) -> None:
        self.cluster.run(3.0)
        for _ in range(rounds):
            if self.scenario and self.rng.random() < 0.5:
                scenarios.SCENARIOS[self.scenario](self)
            else:
                self.inject_fault()
            for _ in range(self.rng.randint(1, 3)):
                self.run_operation()
                self.cluster.run(self.rng.choice([0.0, 0.01, 0.05, 0.3]))
            self.cluster.run(self.rng.choice([0.05, 0.2, 0.5, 1.5]))
        self.heal_and_settle()
        self.check_final_state()

    # Troubles.

    def inject_fault(self) -> None:
        cluster, rng = self.cluster, self.rng
        name = rng.choice(cluster.names)
        match rng.choice(
            ["cut", "cut", "one-way", "heal", "loss", "kill", "back", "back", "all", "wipe", ""]
        ):
            case "cut":
                self.partition(rng.sample(cluster.names, rng.choice([1, 2])))
            case "one-way":
                cluster.blocked_links |= {(name, other) for other in rng.sample(cluster.names, 3)}
            case "heal":
                cluster.blocked_links.clear()
                cluster.loss_rate = 0.0
            case "loss":
                cluster.loss_rate = rng.choice([0.0, 0.05, 0.3])
            case "kill" if len(cluster.running) > len(cluster.names) - 2 and name in cluster.running:
                cluster.kill(name, rng.random() < 0.5)
            case "back":
                self.restart_stopped()
            case "all":
                for name in list(cluster.running):
                    cluster.kill(name, rng.random() < 0.5)
                self.restart_stopped()
            case "wipe" if self.wipe_repaired():
                self.wipe(name)

    def partition(self, side: list[str]) -> None:
        cluster = self.cluster
        rest = [name for name in cluster.names if name not in side]
        cluster.blocked_links |= {pair for a in side for b in rest for pair in ((a, b), (b, a))}

    def restart_stopped(self) -> None:
        cluster, rng = self.cluster, self.rng
        for name in rng.sample(cluster.names, len(cluster.names)):
            if name not in cluster.running:
                cluster.start(name)
                cluster.run(rng.choice([0.0, 0.0, 0.05]))

    def wipe(self, name: str) -> None:
        self.wipes, self.wiped = self.wipes + 1, name
        if name in self.cluster.running:
            self.cluster.kill(name)
        self.cluster.create_disk(name)
        self.cluster.start(name)

    def wipe_repaired(self) -> bool:
        """Whether the last disk that was lost is made good: only then may another go."""
        if not self.wiped:
            return True
        identity = self.cluster.disks[self.wiped].identity
        leaders = [r for r in self.cluster.running.values() if r.is_leader and r.member.committed_in_term]
        return any(
            identity in r.member.members.voters and r.member.log.members_index() <= r.member.commit_index
            for r in leaders
        )

    # Operators.

    def run_operation(self) -> None:
        cluster, rng = self.cluster, self.rng
        if not cluster.running:
            return
        name = rng.choice(list(cluster.running))
        match rng.choice(["one", "two", "ahead", "zone", "zone", "confirm", "confirm"]):
            case "one":
                self.submit(name, self.draw_change(self.newest))
            case "two":
                for _ in range(2):
                    self.submit(rng.choice(list(cluster.running)), self.draw_change(self.newest))
            case "ahead":
                # On top of one that may not have been taken yet.
                first = self.draw_change(self.newest)
                self.submit(name, first)
                self.submit(rng.choice(list(cluster.running)), self.draw_change(first["version"]))
            case "zone":
                self.evacuate(name, rng.choice(self.zones))
            case "confirm":
                self.confirm(name)

    def draw_change(self, base: int) -> Command:
        self.change_count += 1
        version = base + self.rng.randint(1, 3)
        if self.rng.random() < 0.5:
            return replace_command(version, base, f"-{self.change_count}")
        return modify_command(version, base, serial=self.change_count)

    def submit(self, name: str, command: Command, retries: int = 0) -> None:
        self.cluster.submit(name, command, lambda answer: self.on_change_answer(command, answer, retries))

    def on_change_answer(self, command: Command, answer: Answer, retries: int) -> None:
        assert isinstance(answer, Verdict)
        version, digest = command["version"], command["digest"]
        if answer.ok:
            self.definite_answers += 1
            assert digest not in self.refused, "acknowledged after it was refused"
            assert self.acknowledged.setdefault(version, digest) == digest, "two under one version"
            assert self.bases.setdefault(command["base"], digest) == digest, "two on one base acknowledged"
            self.newest = max(self.newest, version)
        elif answer.kind in (CONFLICT, INVALID):
            self.definite_answers += 1
            assert self.acknowledged.get(version) != digest, "refused after it was acknowledged"
            self.refused.add(digest)
        elif retries < 4 and self.cluster.running:
            again = self.rng.choice(list(self.cluster.running))
            self.submit(again, command, retries + 1)

    def evacuate(self, name: str, zone: ZoneOrders) -> None:
        if self.cluster.now < zone.busy_until:
            return
        if zone.acknowledged:
            zone.evacuate, zone.acknowledged = not zone.evacuate, False
            zone.order_count += 1
        zone.busy_until = self.cluster.now + 1.2
        command = {"do": "evacuate" if zone.evacuate else "restore", "zone": zone.zone}
        self.cluster.submit(name, command, lambda answer: self.on_zone_answer(zone, answer))

    def on_zone_answer(self, zone: ZoneOrders, answer: Answer) -> None:
        assert isinstance(answer, Verdict)
        assert answer.kind != STALE, "a verdict that is for processes alone"
        zone.acknowledged, zone.busy_until = answer.ok, self.cluster.now

    def confirm(self, name: str) -> None:
        newest, node = self.newest, self.cluster.running[name]
        acknowledged_orders = {zone.zone: zone.order_count for zone in self.zones if zone.acknowledged}

        def back(answer: Answer) -> None:
            if answer is None:
                return
            self.confirmed_reads += 1
            assert node.state.version >= newest, "a proven state is older than what was acknowledged"
            for zone in self.zones:
                if acknowledged_orders.get(zone.zone) == zone.order_count:
                    assert (zone.zone in node.state.evacuated) == zone.evacuate, "an evacuation is unknown"

        self.cluster.confirm_read(name, back, deferrable=self.rng.random() < 0.5)

    # The end of the day.

    def heal_and_settle(self) -> None:
        cluster = self.cluster
        cluster.blocked_links.clear()
        cluster.loss_rate = 0.0
        self.restart_stopped()
        cluster.run(8.0)

    def check_final_state(self) -> None:
        cluster = self.cluster
        assert cluster.is_converged(), "no leader, or somebody is behind"
        states = [register.state for register in cluster.running.values()]
        assert len({o.dump() for o in states}) == 1, "the states differ"
        last = states[0]
        for version, digest in self.acknowledged.items():
            assert last.history.get(version) == digest, "an acknowledged configuration is gone"
        assert last.version >= self.newest
        assert not self.refused & set(last.history.values()), "a refused configuration is in force"
        for zone in self.zones:
            if zone.acknowledged:
                assert (zone.zone in last.evacuated) == zone.evacuate, "an evacuation is gone, or back"
        assert cluster.submit_and_wait(
            cluster.names[0], replace_command(last.version + 1, last.version, "last")
        ).ok, "nothing goes"
        assert len(cluster.voters()) == expected_voters(len(cluster.names)), "not all that can vote again"


def main(first: int, last: int, scenario: str = "") -> int:
    """Play these seeds; how many broke something."""
    broken = 0
    for seed in range(first, last):
        schedule = Schedule(seed, scenario=scenario)
        try:
            schedule.run()
        except AssertionError as e:
            broken += 1
            print(f"seed={seed} at={schedule.cluster.now:.2f} broken={e}", flush=True)
    print(f"seeds={last - first} broken={broken}")
    return broken


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:4])))
