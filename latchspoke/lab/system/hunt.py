"""Many days, in processes beside each other; one that breaks a rule is shortened to the fewest troubles."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field

import msgspec

from latchspoke.lab.system.day import Played, play
from latchspoke.lab.system.guards import without
from latchspoke.lab.system.records import Day, Deployment, draw_day
from latchspoke.lab.system.rules import Finding, judge


@dataclass
class Outcome:
    """What remains of a day: small enough to come back from another process."""

    deployment: str
    day: Day
    findings: list[Finding]
    worth: float  # earned / owed
    served: float
    seconds: float
    digest: str  # of all that was seen
    requests: int = 0
    refusals: dict[str, int] = field(default_factory=dict)

    @property
    def rules(self) -> set[str]:
        return {finding.rule for finding in self.findings}


def digest(played: Played) -> str:
    """Alike only for days that went alike, down to the programs' logs and the number of events."""
    made, record = hashlib.blake2b(digest_size=8), played.record
    for ident, attempt in record.tries.items():
        made.update(
            f"{ident} {attempt.gateway} {attempt.status} {attempt.ended:.6f} {attempt.seal}\n".encode()
        )
    for arrival in record.arrivals:
        made.update(f"{arrival.ident} {arrival.server} {arrival.at:.6f} {arrival.status}\n".encode())
    for order in record.orders:
        made.update(f"{order.what} {order.version} {order.acked:.6f} {order.by} {order.status}\n".encode())
    for leaving in record.leavings:
        made.update(f"{leaving.server} {leaving.said:.6f} {leaving.acked:.6f} {leaving.by}\n".encode())
    for at, who, event, fields in record.told:
        made.update(f"{at:.6f} {who} {event} {fields}\n".encode())
    rest = record.odd, record.ended, record.terms, record.hups, record.starts, record.acted, played.faults
    made.update(f"{rest} {played.events} {played.stats}".encode())
    return made.hexdigest()


def sum_up(played: Played, findings: list[Finding]) -> Outcome:
    owed = [w for w in played.record.wishes if w.status not in (401, 404)]
    worth = sum(w.worth for w in owed) or 1.0
    refusals: dict[str, int] = {}
    for attempt in played.record.tries.values():
        if attempt.status not in (0, 200):
            name = str(attempt.status) if attempt.status > 0 else "cut off"
            refusals[name] = refusals.get(name, 0) + 1
    return Outcome(
        played.deployment.name, played.day, findings, sum(w.earned for w in owed) / worth,
        sum(w.served >= 0 for w in owed) / max(len(owed), 1), played.seconds, digest(played), len(owed),
        dict(sorted(refusals.items())),
    )  # fmt: skip


def one(deployment: Deployment, day: Day, guard: str = "") -> Outcome:
    with without(guard):
        played = play(deployment, day)
    return sum_up(played, judge(played))


def plain(deployment: bytes, day: bytes, guard: str) -> Outcome:
    """``one`` in another process."""
    return one(msgspec.json.decode(deployment, type=Deployment), msgspec.json.decode(day, type=Day), guard)


def hunt(pairs: list[tuple[Deployment, Day]], guard: str, processes: int) -> Iterator[Outcome]:
    """As they end."""
    with ProcessPoolExecutor(processes) as pool:
        encode = msgspec.json.encode
        futures = [pool.submit(plain, encode(deployment), encode(day), guard) for deployment, day in pairs]
        for future in as_completed(futures):
            yield future.result()


def days(deployment: Deployment, seeds: range, more: int = 0) -> list[tuple[Deployment, Day]]:
    return [(deployment, draw_day(deployment, seed, more)) for seed in seeds]


def shorten(
    deployment: Deployment, day: Day, rule: str, guard: str = "", told: Callable[[Day], None] | None = None
) -> Day:
    """Troubles go one by one, as long as the day still breaks the rule."""
    place = 0
    while place < len(day.troubles):
        fewer = msgspec.structs.replace(day, troubles=day.troubles[:place] + day.troubles[place + 1 :])
        if rule in one(deployment, fewer, guard).rules:
            day = fewer
            if told is not None:
                told(day)
        else:
            place += 1
    return day
