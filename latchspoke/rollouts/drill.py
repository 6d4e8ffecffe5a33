"""How well roll-outs judge: many of them, drawn, against services whose failures are known.

    python -m latchspoke.rollouts.drill --rate 20 --usual 0.004 --worse 0.05

Requests come at ``--rate`` a second and fail by chance, each alone; gateways tell of them in spans as the
real ones do. For a new service that is no worse and for one that fails ``--worse`` more often: how often each
is turned back, after how long, and how many requests had failed that would not have, beside a change made all
at once and taken back after ``--by-hand`` s.
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
from latchspoke.rollouts.drive import drive
from latchspoke.rollouts.engine import Answer, Outcome, Rollout
from latchspoke.rollouts.evidence import Evidence
from latchspoke.rollouts.judge import Counted
from latchspoke.rollouts.plan import Plan

STEP = 0.5  # s; requests of so long are drawn together


def document() -> Document:
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
    """Shares of its requests that fail, and that are late."""

    failed: float
    late: float = 0.0
    spans: dict[int, Counted] = field(default_factory=dict)

    def take(self, many: int, span: int, draw: random.Random) -> float:
        bad = sum(draw.random() < self.failed for _ in range(many))
        late = sum(draw.random() < self.late for _ in range(many - bad))
        self.spans[span] = self.spans.get(span, Counted()) + Counted(many, bad, late)
        return bad + late


class Field:
    """The world of one roll-out."""

    def __init__(self, rate: float, old: Service, new: Service, seed: int) -> None:
        self.draw = random.Random(seed)
        self.rate, self.services = rate, {"old": old, "new": new}
        self.doc, self.clock = document(), 0.0
        self.beyond = (
            0.0  # failures and late ones of the new service above what the old one's share would give
        )

    def now(self) -> float:
        return self.clock

    def wait(self, until: float) -> None:
        while self.clock < until:
            action = cast(Any, self.doc["listenerList"][0]["ruleSet"][0]["actionSpec"])
            split = action.get("weightedSplit") or [{"service": action["service"], "weight": 100.0}]
            old = self.services["old"]
            for share in split:
                expected = self.rate * STEP * share["weight"] / 100
                many = int(expected) + (self.draw.random() < expected % 1)
                service = self.services[share["service"]]
                bad = service.take(many, int(self.clock / SPAN_S), self.draw)
                if service is not old:
                    self.beyond += bad - many * (old.failed + (1 - old.failed) * old.late)
            self.clock += STEP

    def read(self) -> Document | str:
        return self.doc

    def order(self, patch: dict[str, Any]) -> tuple[Answer, str]:
        self.doc = apply_patch(self.doc, patch)
        return Answer.TAKEN, ""

    def look(self, since: float) -> Evidence | None:
        first = int((self.clock - since) / SPAN_S)
        found = {}
        for name, service in self.services.items():
            found[name] = sum((c for span, c in service.spans.items() if span >= first), Counted())
        return Evidence(4, 4, found)


@dataclass
class Found:
    """Of many roll-outs to services that are alike."""

    outcomes: list[Outcome] = field(default_factory=list)
    lasted: list[float] = field(default_factory=list)
    beyond: list[float] = field(default_factory=list)

    def share(self, outcome: Outcome) -> float:
        return self.outcomes.count(outcome) / len(self.outcomes)


def play(plan: Plan, rate: float, old: Service, new: Service, seeds: Iterable[int]) -> Found:
    found = Found()
    for seed in seeds:
        world = Field(rate, Service(old.failed, old.late), Service(new.failed, new.late), seed)
        world.wait(SPAN_S * 4)
        begun = world.clock
        end = drive(Rollout(plan, world.clock), world)
        found.outcomes.append(end.outcome)
        found.lasted.append(world.clock - begun)
        found.beyond.append(world.beyond)
    return found


def main() -> None:
    parser = argparse.ArgumentParser(prog="latchspoke.rollouts.drill", description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=20.0, help="requests of the route a second")
    parser.add_argument("--usual", type=float, default=0.004, help="share of the old service's that fail")
    parser.add_argument("--worse", type=float, default=0.05, help="and so many more of a bad one's")
    parser.add_argument("--late", action="store_true", help="it is late instead")
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--by-hand", type=float, default=60.0, help="s until people take a change back")
    args = parser.parse_args()
    plan = Plan("r", "old", "new")
    old = Service(args.usual, args.usual)
    bad = (
        Service(args.usual, args.usual + args.worse)
        if args.late
        else Service(args.usual + args.worse, args.usual)
    )
    for name, new in (("no worse", old), ("worse", bad)):
        found = play(plan, args.rate, old, new, range(args.rounds))
        counts = ", ".join(f"{o.value} {found.share(o):.3f}" for o in Outcome if found.share(o))
        print(
            f"{name}: {counts}; after {median(found.lasted):.0f} s (median), {max(found.lasted):.0f} (most)"
        )
        print(
            f"  failures more: {sum(found.beyond) / args.rounds:.1f} (mean), {max(found.beyond):.0f} (most)"
        )
    at_once = args.rate * args.by_hand * args.worse
    print(f"all at once, taken back after {args.by_hand:g} s: {at_once:.0f} failures more")


if __name__ == "__main__":
    main()
