"""What the scripts on whole deployments share: days of callers with names, played and summed up."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from unittest.mock import patch

from msgspec.structs import replace

from latchspoke.lab.system import day as days
from latchspoke.lab.system.callers import find_exchange_errors
from latchspoke.lab.system.day import DayResult, DaySimulation
from latchspoke.lab.system.hunt import summarize
from latchspoke.lab.system.rules import judge
from latchspoke.lab.system.scenario import CallerSettings, Day, Deployment

STATE, SINCE = 30.0, 6.0  # s that a server keeps what it knows of a caller; s of traffic that aren't counted
Days = Callable[[Deployment, int], dict[str, Day]]


@dataclass
class Sums:
    """Over the seeds of one day."""

    days: int = 0
    worth: float = 0.0
    served: float = 0.0
    broken: int = 0
    doubled: int = 0
    lost: int = 0
    untold: int = 0  # exchanges, not repeatable ones, whose caller had no clear answer
    exchanges: int = 0
    stats: Counter[str] = field(default_factory=Counter)

    def add(self, played: DayResult) -> None:
        findings = judge(played)
        outcome = summarize(played, findings)
        doubled, lost = find_exchange_errors(played.record)
        once = [e for e in played.record.exchanges.values() if not e.repeatable]
        self.days, self.broken = self.days + 1, self.broken + len(findings)
        self.worth, self.served = self.worth + outcome.worth, self.served + outcome.served
        self.doubled, self.lost = self.doubled + len(doubled), self.lost + len(lost)
        self.untold, self.exchanges = (
            self.untold + sum(not e.outcome for e in once),
            self.exchanges + len(once),
        )
        self.stats.update(played.stats)
        for finding in findings[:3]:
            print(f"broken: {finding}", flush=True)

    def cells(self) -> tuple[str, ...]:
        return (
            f"{self.worth / self.days:.3f}", f"{self.served / self.days:.3f}", str(self.broken),
            f"{self.doubled}, {self.lost} of {self.exchanges}", str(self.untold),
        )  # fmt: skip


HEADS = "worth", "served", "rules broken", "doubled, lost", "without an answer"


def callers_day(
    deployment: Deployment, callers: CallerSettings, those: Days, name: str, seeds: int, sums: Sums,
    kind: type[DaySimulation] = DaySimulation,
) -> Iterator[DayResult]:  # fmt: skip
    """The day of that name, once for each seed."""
    with_callers = replace(deployment, callers=callers)
    for seed in range(1, seeds + 1):
        with patch.object(days, "DaySimulation", kind):
            played = days.run_day(with_callers, those(deployment, seed)[name])
        sums.add(played)
        yield played
