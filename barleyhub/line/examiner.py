"""What gateways see of servers' failures, taken together: which servers fail more than they should. Pure.

At many gateways each sees a server seldom, and needs several failures of its own before it turns away. So
each tells its counts of the servers in question, and a server is turned from by all on the word of
``WITNESSES`` gateways or more. What gateways of the own zone saw goes first, as a server may fail for the
callers of one zone only; what others saw stands for ``PRIOR`` attempts. This only makes a server count as
slower: no pool is ever empty by it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

FADE = 4.0  # s; what was seen fades over this time
WITNESSES = 2  # gateways that must have seen a failure
ELSEWHERE = "*"  # in place of a zone's name: all others
ZONES = 2  # zones that must have seen one, where the own zone has not
PRIOR = 4.0  # attempts that what other zones saw stands for, and good ones that every server is credited with
LEAST = 0.1  # share of failures below which a server is left alone: routes have failures of their own
CHANCE = 0.4  # of the spread of a count of failures is laid to chance
MOST = 1 / 3  # of a service's servers that are turned from, at most; beyond it, it isn't the servers
FORGOTTEN = 0.2  # attempts; a server of which less is left is in question no more


def fades(gap: float) -> float:
    """What is left of a count after ``gap`` s."""
    return math.exp(-max(gap, 0.0) / FADE)


class Seen(msgspec.Struct):
    """Attempts of late, faded: how many failed, how many there were, who saw a failure, in how many zones."""

    bad: float = 0.0
    all: float = 0.0
    witnesses: frozenset[str] = frozenset()
    zones: int = 0

    def plus(self, other: Seen) -> Seen:
        """Both taken together, where they are of different zones."""
        return Seen(
            self.bad + other.bad, self.all + other.all, self.witnesses | other.witnesses,
            self.zones + other.zones,
        )  # fmt: skip

    def faded(self, gap: float) -> Seen:
        left = fades(gap)
        return Seen(self.bad * left, self.all * left, self.witnesses, self.zones)


def together(seen: Iterable[Seen]) -> Seen:
    found = Seen()
    for each in seen:
        found = found.plus(each)
    return found


def sure_of(bad: float) -> float:
    """So many of these failures are more than chance."""
    return max(bad - CHANCE * math.sqrt(bad), 0.0)


def condensed(seen: Mapping[str, Seen], zone: str) -> dict[str, Seen]:
    """What a gateway of this zone needs of it: its own zone, and the others together."""
    far = together(each for name, each in seen.items() if name != zone)
    return {zone: seen.get(zone, Seen()), ELSEWHERE: far}


def failing(seen: Mapping[str, Seen], zone: str) -> float:
    """The share of failures that a gateway of this zone has to expect of a server, by what each zone saw.

    0.0 where too few gateways saw one, or where the share is no more than what happens anyway.
    """
    if len(together(seen.values()).witnesses) < WITNESSES:
        return 0.0
    near = seen.get(zone, Seen())
    far = together(each for name, each in seen.items() if name != zone)
    elsewhere, sure = far.bad / (far.all + PRIOR), sure_of(far.bad) / (far.all + PRIOR)
    if not near.witnesses and far.zones < ZONES:
        elsewhere = sure = 0.0
    if (sure_of(near.bad) + PRIOR * sure) / (near.all + PRIOR) < LEAST:
        return 0.0
    return (near.bad + PRIOR * elsewhere) / (near.all + PRIOR)


class Record(msgspec.Struct):
    """One gateway's own counts of one server; fades."""

    bad: float = 0.0
    all: float = 0.0
    at: float = -math.inf

    def note(self, bad: bool, now: float) -> None:
        left = fades(now - self.at)
        self.bad, self.all, self.at = self.bad * left + bad, self.all * left + 1.0, now


class Witness(msgspec.Struct):
    """What this gateway sees of servers, and what of it is due to be told.

    Told are counts as they stand, not changes: a word that is lost is made good by the next.
    """

    records: dict[str, Record] = msgspec.field(default_factory=dict)
    # Here or by others: of these, successes are told as well.
    questioned: set[str] = msgspec.field(default_factory=set)
    fresh: set[str] = msgspec.field(default_factory=set)  # with outcomes that have not been told
    urgent: bool = False  # a failure is among them

    def note(self, ident: str, bad: bool, now: float) -> None:
        """One attempt's outcome."""
        record = self.records.get(ident)
        if record is None:
            record = self.records[ident] = Record()
        record.note(bad, now)
        if bad:
            self.questioned.add(ident)
            self.urgent = True
        if ident in self.questioned:
            self.fresh.add(ident)

    def question(self, idents: Iterable[str]) -> None:
        """Others have seen failures of these."""
        for ident in idents:
            if ident not in self.questioned:
                self.questioned.add(ident)
                if ident in self.records:
                    self.fresh.add(ident)

    def due(self, now: float) -> list[tuple[str, float, float]]:
        """Server, failed, attempts: what has changed since the last time."""
        found = []
        for ident in sorted(self.fresh):
            record = self.records[ident]
            left = fades(now - record.at)
            found.append((ident, round(record.bad * left, 2), round(record.all * left, 2)))
        self.fresh.clear()
        self.urgent = False
        return found

    def forget(self, now: float, settled: Iterable[str] = ()) -> None:
        """Servers not heard of for long; ``settled`` are in question no more unless seen to fail here."""
        for ident in [i for i, r in self.records.items() if r.all * fades(now - r.at) < FORGOTTEN]:
            del self.records[ident]
            self.fresh.discard(ident)
            self.questioned.discard(ident)
        for ident in settled:
            record = self.records.get(ident)
            if record is None or record.bad * fades(now - record.at) < FORGOTTEN:
                self.questioned.discard(ident)


class Examiner(msgspec.Struct):
    """What a gateway has been told of servers, and the share of failures it makes of that."""

    zone: str
    told: dict[str, tuple[dict[str, Seen], float]] = msgspec.field(
        default_factory=dict
    )  # by server, and when

    def learn(self, ident: str, seen: dict[str, Seen], now: float) -> None:
        self.told[ident] = seen, now

    def seen(self, ident: str, now: float) -> dict[str, Seen]:
        """By zone, faded."""
        seen, at = self.told.get(ident, ({}, now))
        return {zone: each.faded(now - at) for zone, each in seen.items()}

    def forget(self, now: float) -> list[str]:
        """Drop what has faded; whose it was."""
        gone = [
            ident
            for ident, (seen, at) in self.told.items()
            if together(seen.values()).bad * fades(now - at) < FORGOTTEN
        ]
        for ident in gone:
            del self.told[ident]
        return gone

    def shares(self, services: Mapping[str, Iterable[str]], now: float) -> dict[str, float]:
        """Servers to be turned from, with the share of failures to expect, by the services' ready servers.

        Of one service no more than ``MOST``, the worst first.
        """
        found: dict[str, float] = {}
        for idents in services.values():
            idents = list(idents)
            worst = []
            for ident in idents:
                if ident in self.told:
                    share = failing(self.seen(ident, now), self.zone)
                    if share:
                        worst.append((share, ident))
            worst.sort(reverse=True)
            found |= {ident: share for share, ident in worst[: math.floor(len(idents) * MOST)]}
        return found
