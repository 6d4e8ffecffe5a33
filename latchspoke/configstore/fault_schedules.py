"""Random operator commands and faults in virtual time, with invariant checks.

``python -m latchspoke.configstore.fault_schedules 0 200`` runs the schedules of these seeds. With the name of
a scenario as third argument (see ``scenarios``), about half of the rounds begin with it.
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
    """The number of voters of a settled cluster: odd."""
    return min(machines - 1 + machines % 2, MAX_VOTERS)


@dataclass
class ZoneOrders:
    """The operator of one zone, who repeats each command until it is acknowledged."""

    zone: str
    evacuate: bool = False
    order_count: int = 0  # commands so far, without repetitions
    acknowledged: bool = True
    busy_until: float = 0.0  # a command is in flight until then


@dataclass
class Schedule:
    """A schedule of operations and faults, generated from its seed."""

    seed: int
    count: int = 5
    scenario: str = ""  # of ``scenarios``: half of the rounds begin with it
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
        """Runs the schedule. Raises AssertionError if an invariant is violated."""
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

    # Faults.

    def inject_fault(self) -> None:
        """Injects a random fault, ends one, or does nothing."""
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
        """Blocks all links between ``side`` and the other nodes."""
        cluster = self.cluster
        rest = [name for name in cluster.names if name not in side]
        cluster.blocked_links |= {pair for a in side for b in rest for pair in ((a, b), (b, a))}

    def restart_stopped(self) -> None:
        """Restarts all stopped nodes in random order."""
        cluster, rng = self.cluster, self.rng
        for name in rng.sample(cluster.names, len(cluster.names)):
            if name not in cluster.running:
                cluster.start(name)
                cluster.run(rng.choice([0.0, 0.0, 0.05]))

    def wipe(self, name: str) -> None:
        """Restarts a node with an empty disk."""
        self.wipes, self.wiped = self.wipes + 1, name
        if name in self.cluster.running:
            self.cluster.kill(name)
        self.cluster.create_disk(name)
        self.cluster.start(name)

    def wipe_repaired(self) -> bool:
        """Whether the last wiped node votes again; only then may another disk be wiped."""
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
        """Runs a random operator command or read."""
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
                # Based on a change that may not have been accepted yet.
                first = self.draw_change(self.newest)
                self.submit(name, first)
                self.submit(rng.choice(list(cluster.running)), self.draw_change(first["version"]))
            case "zone":
                self.evacuate(name, rng.choice(self.zones))
            case "confirm":
                self.read(name)

    def draw_change(self, base: int) -> Command:
        """A random change based on version ``base``."""
        self.change_count += 1
        version = base + self.rng.randint(1, 3)
        if self.rng.random() < 0.5:
            return replace_command(version, base, f"-{self.change_count}")
        return modify_command(version, base, serial=self.change_count)

    def submit(self, name: str, command: Command, retries: int = 0) -> None:
        """Submits a change, and again through other nodes while its outcome is unknown."""
        self.cluster.submit(name, command, lambda answer: self.on_change_answer(command, answer, retries))

    def on_change_answer(self, command: Command, answer: Answer, retries: int) -> None:
        """Checks a verdict against those of all other changes."""
        assert isinstance(answer, Verdict)
        version, digest = command["version"], command["digest"]
        if answer.ok:
            self.definite_answers += 1
            assert digest not in self.refused, "acknowledged after it was rejected"
            assert self.acknowledged.setdefault(version, digest) == digest, (
                "two changes acknowledged under one version"
            )
            assert self.bases.setdefault(command["base"], digest) == digest, (
                "two changes acknowledged on one base"
            )
            self.newest = max(self.newest, version)
        elif answer.kind in (CONFLICT, INVALID):
            self.definite_answers += 1
            assert self.acknowledged.get(version) != digest, "rejected after it was acknowledged"
            self.refused.add(digest)
        elif retries < 4 and self.cluster.running:
            again = self.rng.choice(list(self.cluster.running))
            self.submit(again, command, retries + 1)

    def evacuate(self, name: str, zone: ZoneOrders) -> None:
        """Starts or repeats the zone operator's current command."""
        if self.cluster.now < zone.busy_until:
            return
        if zone.acknowledged:
            zone.evacuate, zone.acknowledged = not zone.evacuate, False
            zone.order_count += 1
        zone.busy_until = self.cluster.now + 1.2
        command = {"do": "evacuate" if zone.evacuate else "restore", "zone": zone.zone}
        self.cluster.submit(name, command, lambda answer: self.on_zone_answer(zone, answer))

    def on_zone_answer(self, zone: ZoneOrders, answer: Answer) -> None:
        """Records a verdict on a zone command."""
        assert isinstance(answer, Verdict)
        assert answer.kind != STALE, "an internal verdict reached a caller"
        zone.acknowledged, zone.busy_until = answer.ok, self.cluster.now

    def read(self, name: str) -> None:
        """Starts a linearizable read and checks that it shows all that was acknowledged before."""
        newest, node = self.newest, self.cluster.running[name]
        acknowledged_orders = {zone.zone: zone.order_count for zone in self.zones if zone.acknowledged}

        def on_answer(answer: Answer) -> None:
            if answer is None:
                return
            self.confirmed_reads += 1
            assert node.state.version >= newest, "a confirmed state is older than an acknowledged change"
            for zone in self.zones:
                if acknowledged_orders.get(zone.zone) == zone.order_count:
                    assert (zone.zone in node.state.evacuated) == zone.evacuate, (
                        "an acknowledged evacuation is missing"
                    )

        self.cluster.confirm_read(name, on_answer, deferrable=self.rng.random() < 0.5)

    # The end of the schedule.

    def heal_and_settle(self) -> None:
        """Ends all faults and waits until the cluster has settled."""
        cluster = self.cluster
        cluster.blocked_links.clear()
        cluster.loss_rate = 0.0
        self.restart_stopped()
        cluster.run(8.0)

    def check_final_state(self) -> None:
        """Checks that nothing acknowledged is lost, nothing rejected is in force, and all members agree."""
        cluster = self.cluster
        assert cluster.is_converged(), "no leader, or a member is behind"
        states = [node.state for node in cluster.running.values()]
        assert len({o.dump() for o in states}) == 1, "the states differ"
        last = states[0]
        for version, digest in self.acknowledged.items():
            assert last.history.get(version) == digest, "an acknowledged configuration is lost"
        assert last.version >= self.newest
        assert not self.refused & set(last.history.values()), "a rejected configuration is in force"
        for zone in self.zones:
            if zone.acknowledged:
                assert (zone.zone in last.evacuated) == zone.evacuate, (
                    "an acknowledged evacuation or restore is lost"
                )
        assert cluster.submit_and_wait(
            cluster.names[0], replace_command(last.version + 1, last.version, "last")
        ).ok, "no command is accepted"
        assert len(cluster.voters()) == expected_voters(len(cluster.names)), "a member that can vote does not"


def main(first: int, last: int, scenario: str = "") -> int:
    """Runs these seeds; returns how many violated an invariant."""
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
