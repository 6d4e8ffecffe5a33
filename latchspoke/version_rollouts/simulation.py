"""A simulated rollout: gateways that sample a good or bad version, and the judge. No I/O, virtual time.

Run ``python -m latchspoke.version_rollouts.simulation`` for the error rates of the judge by kind of version.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from latchspoke.version_rollouts import records
from latchspoke.version_rollouts.judge import Advance, ExposureBound, RolloutJudge
from latchspoke.version_rollouts.records import RolloutOrder, RolloutRecord, RolloutState
from latchspoke.version_rollouts.samples import OTHER_VERSIONS, GatewayReport, SamplePool, SampleRow

TICK_S = 0.25
EXPOSURE = ExposureBound(0.1, 50.0)
SERVICE = "saldo"


@dataclass(frozen=True, slots=True)
class Version:
    """How a version behaves; the defaults are a good one."""

    failing: float = 0.0  # share of the attempts that fail
    slow: float = 0.0  # share of the attempts that take several times as long
    routes: frozenset[str] | None = None  # the affected ones; None: all
    bad_from_s: float = 0.0  # after the order


@dataclass(frozen=True, slots=True)
class Trouble:
    """A share of all servers, of any version, fails part of its attempts for some time."""

    server_share: float = 0.0
    failing: float = 0.0
    begins_s: float = 0.0
    ends_s: float = 0.0


@dataclass(slots=True)
class Scenario:
    """A rollout in a fleet."""

    target: Version = field(default_factory=Version)
    trouble: Trouble = field(default_factory=Trouble)
    duration_s: float = 15.0
    requests_per_s: float = 500.0
    route_shares: tuple[tuple[str, float], ...] = (("read", 0.85), ("write", 0.15))
    gateways: int = 40
    servers: int = 75  # of each version
    starts_s: float = 1.5  # after the order, until the target version's servers take requests
    usual_failures: float = 0.003
    usual_late: float = 0.02
    leader_change_s: float | None = None
    restarts: int = 0  # gateways that restart during the trial


@dataclass(slots=True)
class Result:
    """How a simulated rollout ended."""

    state: RolloutState
    reason: str
    ended_s: float
    target_requests: int
    all_requests: int
    bad_answers: int


class Gateway:
    """The counts of one gateway process."""

    def __init__(self, name: str) -> None:
        self.name, self.life, self.began_s = name, 0, 0.0
        self.counts: dict[tuple[str, str], list[int]] = {}

    def restart(self, now: float) -> None:
        """The process is replaced by a new one, which knows nothing."""
        self.life, self.began_s, self.counts = self.life + 1, now, {}

    def record(self, server: str, route: str, failed: bool, late: bool) -> None:
        """Count one attempt."""
        counts = self.counts.setdefault((server, route), [0, 0, 0, 0])
        counts[0] += 1
        counts[1] += failed
        counts[2] += not failed
        counts[3] += late and not failed

    def report(self, record: RolloutRecord, now: float) -> GatewayReport:
        """The report that is sent now."""
        rows = [SampleRow(server, route, *counts) for (server, route), counts in self.counts.items()]
        return GatewayReport(
            SERVICE, record.rollout_id, self.name, str(self.life), now - self.began_s,
            record.changed_index, 0, 0, rows,
        )  # fmt: skip


class Simulation:
    """Plays a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.rng = scenario, random.Random(seed)
        self.gateways = [Gateway(f"g{number}") for number in range(scenario.gateways)]
        self.ill = {
            version: {
                number
                for number in range(scenario.servers)
                if self.rng.random() < scenario.trouble.server_share
            }
            for version in ("old", "new")
        }
        order = RolloutOrder(SERVICE, "v2", scenario.duration_s)
        record = records.begin(None, 1, records.begin_command(order, 0, EXPOSURE.trial_share()))
        assert record is not None
        self.record: RolloutRecord = record
        self.target_requests = self.all_requests = self.bad_answers = 0

    def run(self) -> Result:
        """Play until the rollout has ended."""
        pool, judge = SamplePool(self.record.rollout_id), RolloutJudge(self.record, EXPOSURE)
        scenario, now, changed = self.scenario, 0.0, False
        names = [gateway.name for gateway in self.gateways]
        restarts = iter(self.restart_times())
        next_restart = next(restarts, None)
        while self.record.in_progress:
            now += TICK_S
            self.play_requests(now)
            for gateway in self.gateways:
                pool.merge(gateway.report(self.record, now), now)
            if next_restart is not None and now >= next_restart:
                self.rng.choice(self.gateways).restart(now)
                next_restart = next(restarts, None)
            if scenario.leader_change_s is not None and now >= scenario.leader_change_s and not changed:
                old, changed = pool, True
                pool, judge = SamplePool(self.record.rollout_id), RolloutJudge(self.record, EXPOSURE)
                old.resend_all()
                for report in old.take_unsent():
                    pool.merge(report, now)
            decision = judge.decide(self.record, pool, names, now, now)
            index = self.record.changed_index + 1
            if isinstance(decision, Advance):
                command = records.advance_command(SERVICE, self.record.rollout_id, decision.share)
                self.record = records.advance(self.record, index, command) or self.record
            elif decision is not None:
                command = records.end_command(
                    SERVICE, self.record.rollout_id, decision.state, decision.reason
                )
                self.record = records.end(self.record, index, command) or self.record
        return Result(
            self.record.state, self.record.reason, now, self.target_requests, self.all_requests,
            self.bad_answers,
        )  # fmt: skip

    def restart_times(self) -> Iterator[float]:
        """When gateways restart."""
        yield from sorted(
            self.rng.uniform(0.0, self.scenario.duration_s) for _ in range(self.scenario.restarts)
        )

    def play_requests(self, now: float) -> None:
        """The requests of one tick."""
        scenario, rng = self.scenario, self.rng
        routes, weights = zip(*scenario.route_shares, strict=True)
        trial_servers = max(round(self.record.share * scenario.servers), 1)
        for _ in range(round(scenario.requests_per_s * TICK_S)):
            gateway, route = rng.choice(self.gateways), rng.choices(routes, weights)[0]
            is_target = now > scenario.starts_s and rng.random() < self.record.share
            number = rng.randrange(trial_servers if is_target else scenario.servers)
            failed, late = self.outcome(is_target, number, route, now)
            gateway.record(f"new-{number}" if is_target else OTHER_VERSIONS, route, failed, late)
            self.all_requests += 1
            self.target_requests += is_target

    def outcome(self, is_target: bool, number: int, route: str, now: float) -> tuple[bool, bool]:
        """Whether an attempt fails, and whether it is late."""
        scenario, rng = self.scenario, self.rng
        failed = rng.random() < scenario.usual_failures
        late = rng.random() < scenario.usual_late
        trouble, version = scenario.trouble, scenario.target
        if trouble.begins_s <= now < trouble.ends_s and number in self.ill["new" if is_target else "old"]:
            failed = failed or rng.random() < trouble.failing
        if is_target and now >= version.bad_from_s and (version.routes is None or route in version.routes):
            own_failure, own_delay = rng.random() < version.failing, rng.random() < version.slow
            self.bad_answers += own_failure or own_delay
            failed, late = failed or own_failure, late or own_delay
        return failed, late


SCENARIOS: dict[str, Callable[[], Scenario]] = {
    "good": Scenario,
    "good, 20% of all servers fail 40%": lambda: Scenario(trouble=Trouble(0.2, 0.4, 4.0, 9.0)),
    "good, half of all servers lose 5%": lambda: Scenario(trouble=Trouble(0.5, 0.05, 4.0, 9.0)),
    "good, little traffic": lambda: Scenario(requests_per_s=180.0, servers=31),
    "errors 33%, 60 requests/s": lambda: Scenario(
        Version(failing=0.33), requests_per_s=60.0, servers=12, duration_s=18.0
    ),
    "errors 33%": lambda: Scenario(Version(failing=0.33)),
    "errors 15%": lambda: Scenario(Version(failing=0.15)),
    "errors 15%, little traffic": lambda: Scenario(Version(failing=0.15), requests_per_s=180.0, servers=31),
    "slow 50%": lambda: Scenario(Version(slow=0.5)),
    "slow 15%": lambda: Scenario(Version(slow=0.15)),
    "one route 33%": lambda: Scenario(Version(failing=0.33, routes=frozenset({"write"}))),
    "late 33%": lambda: Scenario(Version(failing=0.33, bad_from_s=10.0)),
    "errors 33%, leader changes": lambda: Scenario(Version(failing=0.33), leader_change_s=2.0),
    "good, leader changes, 10 restarts": lambda: Scenario(leader_change_s=9.0, restarts=10),
}


def summarize(name: str, runs: int) -> str:
    """The results of one scenario with seeds from 0, in one line."""
    results = [Simulation(SCENARIOS[name](), seed).run() for seed in range(runs)]
    states = Counter(result.state for result in results)
    ended = sorted(result.ended_s for result in results)
    exposure = max(result.target_requests / result.all_requests for result in results)
    most_bad = max(result.bad_answers for result in results)
    return (
        f"{name:36} completed {states[RolloutState.COMPLETED]:4} reverted {states[RolloutState.REVERTED]:4}"
        f"  ended s {ended[len(ended) // 2]:5.2f} median {ended[-1]:5.2f} most"
        f"  largest share {exposure:.3f}  most bad answers {most_bad}"
    )


def main() -> None:
    """Print the results of all scenarios."""
    parser = argparse.ArgumentParser(description="Error rates of the judge of rollouts.")
    parser.add_argument("--runs", type=int, default=200, help="runs of each scenario (200)")
    arguments = parser.parse_args()
    for name in SCENARIOS:
        print(summarize(name, arguments.runs), flush=True)


if __name__ == "__main__":
    main()
