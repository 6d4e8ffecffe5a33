"""Simulation of many roll-outs with known failure rates, to see how well they are decided.

    python -m latchspoke.rollouts.drill --rate 20 --usual 0.004 --worse 0.05

Requests arrive at ``--rate`` per second and fail independently; the counts come in spans as from real
gateways. For a new service that is no worse, and for one whose failure rate is higher by ``--worse``, it
prints how often the roll-out is rolled back, after how long, and how many additional requests failed,
compared with a change of all requests at once that is reverted by hand after ``--by-hand`` seconds.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Any, cast

from latchspoke.configuration.patch import apply_patch
from latchspoke.configuration.shape import Document
from latchspoke.reach.recorder import SPAN_S
from latchspoke.rollouts.comparison import RequestCounts
from latchspoke.rollouts.drive import drive
from latchspoke.rollouts.engine import CommandResult, Outcome, Rollout
from latchspoke.rollouts.evidence import Evidence
from latchspoke.rollouts.plan import Plan

STEP_S = 0.5  # length of a simulation step


def initial_document() -> Document:
    """A configuration with one route, to the service ``old``, and a second service ``new``."""
    rule = {
        "name": "r", "targetLatencyS": 1.0, "matchCriteria": {"pathPrefix": "/"},
        "actionSpec": {"service": "old", "maxAttempts": 1},
    }  # fmt: skip
    return cast(
        Document,
        {
            "version": "00000001", "listenerList": [{"host": "h", "ruleSet": [rule]}],
            "clusterList": [{"name": "old"}, {"name": "new"}],
        },
    )  # fmt: skip


@dataclass
class Service:
    """Probabilities that a request fails or is late, and the counts so far by span."""

    failure_rate: float
    late_rate: float = 0.0
    spans: dict[int, RequestCounts] = field(default_factory=dict)

    def serve(self, count: int, span: int, rng: random.Random) -> float:
        """Serve so many requests; how many of them failed or were late."""
        failed = sum(rng.random() < self.failure_rate for _ in range(count))
        late_count = sum(rng.random() < self.late_rate for _ in range(count - failed))
        self.spans[span] = self.spans.get(span, RequestCounts()) + RequestCounts(count, failed, late_count)
        return failed + late_count


class SimulatedEnvironment:
    """Environment of one roll-out, with a virtual clock."""

    def __init__(self, rate: float, old: Service, new: Service, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rate, self.services = rate, {"old": old, "new": new}
        self.doc, self.clock = initial_document(), 0.0
        self.excess_failures = 0.0  # failed and late requests beyond those expected of the old service

    def now(self) -> float:
        """Virtual time in seconds."""
        return self.clock

    def wait(self, until: float) -> None:
        """Advance the clock to this time while requests arrive."""
        while self.clock < until:
            action = cast(Any, self.doc["listenerList"][0]["ruleSet"][0]["actionSpec"])
            split = action.get("weightedSplit") or [{"service": action["service"], "weight": 100.0}]
            old = self.services["old"]
            for share in split:
                expected = self.rate * STEP_S * share["weight"] / 100
                count = int(expected) + (self.rng.random() < expected % 1)
                service = self.services[share["service"]]
                bad_count = service.serve(count, int(self.clock / SPAN_S), self.rng)
                if service is not old:
                    self.excess_failures += bad_count - count * (
                        old.failure_rate + (1 - old.failure_rate) * old.late_rate
                    )
            self.clock += STEP_S

    def read_configuration(self) -> Document | str:
        """The current configuration."""
        return self.doc

    def submit_patch(self, patch: dict[str, Any]) -> tuple[CommandResult, str]:
        """Apply the patch; never rejected."""
        self.doc = apply_patch(self.doc, patch)
        return CommandResult.ACCEPTED, ""

    def collect_evidence(self, window_s: float) -> Evidence | None:
        """The counts of the spans within the window, from four gateways."""
        first = int((self.clock - window_s) / SPAN_S)
        counts = {}
        for name, service in self.services.items():
            counts[name] = sum(
                (span_counts for span, span_counts in service.spans.items() if span >= first), RequestCounts()
            )
        return Evidence(4, 4, counts)


@dataclass
class Results:
    """Results of many roll-outs with the same failure rates."""

    outcomes: list[Outcome] = field(default_factory=list)
    durations_s: list[float] = field(default_factory=list)
    excess_failures: list[float] = field(default_factory=list)

    def share(self, outcome: Outcome) -> float:
        """Share of the roll-outs that ended like this."""
        return self.outcomes.count(outcome) / len(self.outcomes)


def simulate(plan: Plan, rate: float, old: Service, new: Service, seeds: Iterable[int]) -> Results:
    """Run one roll-out per seed."""
    results = Results()
    for seed in seeds:
        environment = SimulatedEnvironment(
            rate, Service(old.failure_rate, old.late_rate), Service(new.failure_rate, new.late_rate), seed
        )
        environment.wait(SPAN_S * 4)
        started_at = environment.clock
        finished = drive(Rollout(plan, environment.clock), environment)
        results.outcomes.append(finished.outcome)
        results.durations_s.append(environment.clock - started_at)
        results.excess_failures.append(environment.excess_failures)
    return results


def main() -> None:
    """Run the simulation from the command line."""
    parser = argparse.ArgumentParser(prog="latchspoke.rollouts.drill", description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=20.0, help="requests of the route per second")
    parser.add_argument("--usual", type=float, default=0.004, help="failure rate of the old service")
    parser.add_argument(
        "--worse", type=float, default=0.05, help="increase in the failure rate of a degraded service"
    )
    parser.add_argument("--late", action="store_true", help="the degraded service is late instead of failing")
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument(
        "--by-hand", type=float, default=60.0, help="seconds until a change is reverted by hand"
    )
    args = parser.parse_args()
    plan = Plan("r", "old", "new")
    old = Service(args.usual, args.usual)
    degraded = (
        Service(args.usual, args.usual + args.worse)
        if args.late
        else Service(args.usual + args.worse, args.usual)
    )
    for name, new in (("no worse", old), ("worse", degraded)):
        results = simulate(plan, args.rate, old, new, range(args.rounds))
        counts = ", ".join(f"{o.value} {results.share(o):.3f}" for o in Outcome if results.share(o))
        print(
            f"{name}: {counts}; after {median(results.durations_s):.0f} s (median),"
            f" {max(results.durations_s):.0f} (maximum)"
        )
        print(
            f"  additional failures: {sum(results.excess_failures) / args.rounds:.1f} (mean),"
            f" {max(results.excess_failures):.0f} (maximum)"
        )
    immediate_failures = args.rate * args.by_hand * args.worse
    print(f"all at once, reverted after {args.by_hand:g} s: {immediate_failures:.0f} additional failures")


if __name__ == "__main__":
    main()
