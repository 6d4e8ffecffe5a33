"""Simulates many days in parallel processes, and reduces a failing day to the troubles that it needs."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field

import msgspec

from latchspoke.lab.system.day import DayResult, run_day
from latchspoke.lab.system.guards import without_guard
from latchspoke.lab.system.rules import Finding, judge
from latchspoke.lab.system.scenario import Day, Deployment, draw_day


@dataclass
class Outcome:
    """Summary of a day, small enough to be returned from another process."""

    deployment: str
    day: Day
    findings: list[Finding]
    worth: float  # earned / owed
    served: float
    seconds: float
    digest: str  # of all observations
    requests: int = 0
    refusals: dict[str, int] = field(default_factory=dict)

    @property
    def rules(self) -> set[str]:
        """Names of the rules that were broken."""
        return {finding.rule for finding in self.findings}


def digest(result: DayResult) -> str:
    """Equal only for identical runs, including the programs' logs and the number of events."""
    hasher, record = hashlib.blake2b(digest_size=8), result.record
    for ident, attempt in record.attempts.items():
        hasher.update(
            f"{ident} {attempt.gateway} {attempt.status} {attempt.ended:.6f} {attempt.seal}\n".encode()
        )
    for arrival in record.arrivals:
        hasher.update(f"{arrival.ident} {arrival.server} {arrival.at:.6f} {arrival.status}\n".encode())
    for command in record.commands:
        hasher.update(
            f"{command.what} {command.version} {command.acked_at:.6f} {command.answered_by}"
            f" {command.status}\n".encode()
        )
    for drain in record.drains:
        hasher.update(
            f"{drain.server} {drain.started_at:.6f} {drain.acked_at:.6f} {drain.answered_by}\n".encode()
        )
    for at, who, event, fields in record.log_events:
        hasher.update(f"{at:.6f} {who} {event} {fields}\n".encode())
    rest = (
        record.unexpected_data,
        record.process_exits,
        record.terminations,
        record.reloads,
        record.starts,
        record.injected_troubles,
        result.uncaught_errors,
    )
    hasher.update(f"{rest} {result.events} {result.stats}".encode())
    return hasher.hexdigest()


def summarize(result: DayResult, findings: list[Finding]) -> Outcome:
    """Totals of a day; requests without a valid route or key do not count."""
    owed = [r for r in result.record.requests if r.status not in (401, 404)]
    total_worth = sum(r.worth for r in owed) or 1.0
    refusals: dict[str, int] = {}
    for attempt in result.record.attempts.values():
        if attempt.status not in (0, 200):
            name = str(attempt.status) if attempt.status > 0 else "cut off"
            refusals[name] = refusals.get(name, 0) + 1
    return Outcome(
        result.deployment.name,
        result.day,
        findings,
        sum(r.earned for r in owed) / total_worth,
        sum(r.served >= 0 for r in owed) / max(len(owed), 1),
        result.seconds,
        digest(result),
        len(owed),
        dict(sorted(refusals.items())),
    )


def judge_day(deployment: Deployment, day: Day, guard: str = "") -> Outcome:
    """Simulate a day, without a guard if one is named, and check all rules."""
    with without_guard(guard):
        result = run_day(deployment, day)
    return summarize(result, judge(result))


def judge_encoded(deployment: bytes, day: bytes, guard: str) -> Outcome:
    """``judge_day`` for a worker process, with encoded arguments."""
    return judge_day(
        msgspec.json.decode(deployment, type=Deployment), msgspec.json.decode(day, type=Day), guard
    )


def hunt(pairs: list[tuple[Deployment, Day]], guard: str, processes: int) -> Iterator[Outcome]:
    """Yields outcomes in the order of completion."""
    with ProcessPoolExecutor(processes) as pool:
        encode = msgspec.json.encode
        futures = [
            pool.submit(judge_encoded, encode(deployment), encode(day), guard) for deployment, day in pairs
        ]
        for future in as_completed(futures):
            yield future.result()


def draw_days(deployment: Deployment, seeds: range, more: int = 0) -> list[tuple[Deployment, Day]]:
    """Generate a day of the deployment for each seed."""
    return [(deployment, draw_day(deployment, seed, more)) for seed in seeds]


def shorten(
    deployment: Deployment,
    day: Day,
    rule: str,
    guard: str = "",
    on_shortened: Callable[[Day], None] | None = None,
) -> Day:
    """Removes troubles one by one as long as the day still breaks the rule."""
    index = 0
    while index < len(day.troubles):
        fewer = msgspec.structs.replace(day, troubles=day.troubles[:index] + day.troubles[index + 1 :])
        if rule in judge_day(deployment, fewer, guard).rules:
            day = fewer
            if on_shortened is not None:
                on_shortened(day)
        else:
            index += 1
    return day
