"""What gateways have told a control machine of servers' failures, and what other control machines add. Pure.

Soft state under leases: counts fade by themselves, and what isn't told again is dropped after ``LEASE`` s.
Told are sums as they stand, each by who heard them first hand, so that a word lost, told twice or late does
no harm. It is no numbered change of the board: a gateway that missed one hears the next, and none has to be
acknowledged.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import msgspec

from barleyhub.line.examiner import FORGOTTEN, LEAST, WITNESSES, Seen, condensed, together

LEASE = 8.0  # s
NAMED = 2  # witnesses that travel by name, of each zone
RENEW = 1.0  # s after which a server is told of again, though little has changed
NEWS = 0.25  # change of the failures, as a part of them, that is told at once
MOST = 400  # servers in one word: what is longer is cut, and comes with the next
Entries = list[list[Any]]


class EvidenceError(ValueError):
    """A word that can't be read; one line."""


class Word(msgspec.Struct):
    """What one source said of one server, as of ``at``."""

    seen: dict[str, Seen]
    at: float

    def now(self, now: float) -> dict[str, Seen]:
        return {zone: each.faded(now - self.at) for zone, each in self.seen.items()}


def write(ident: str, seen: dict[str, Seen]) -> list[Any]:
    """An entry on the wire: server, then zone, failed, attempts, some witnesses, zones for each zone."""
    zones = [
        [zone, round(each.bad, 2), round(each.all, 2), sorted(each.witnesses)[:NAMED], each.zones]
        for zone, each in sorted(seen.items())
    ]
    return [ident, zones]


def read(entry: Any) -> tuple[str, dict[str, Seen]]:
    """What ``write`` wrote. Raises EvidenceError."""
    try:
        ident, zones = entry
        seen = {}
        for zone, bad, tries, witnesses, count in zones:
            names = frozenset(str(name) for name in witnesses)
            seen[str(zone)] = Seen(float(bad), float(tries), names, int(count))
            if not 0 <= seen[str(zone)].bad <= seen[str(zone)].all:
                raise EvidenceError(f"counts of {ident}: {bad} of {tries}")
        return str(ident), seen
    except (TypeError, ValueError) as e:
        raise EvidenceError(f"evidence that can't be read: {e!r}") from None


class Ledger(msgspec.Struct):
    """Words by server and source: gateways that follow here, and other control machines."""

    first: dict[str, dict[str, Word]] = msgspec.field(default_factory=dict)  # by server and gateway
    second: dict[str, dict[str, Word]] = msgspec.field(default_factory=dict)  # by server and control machine
    for_peers: set[str] = msgspec.field(default_factory=set)  # servers of which something is new
    for_gateways: set[str] = msgspec.field(default_factory=set)
    told: dict[tuple[bool, str], tuple[float, Seen]] = msgspec.field(
        default_factory=dict
    )  # to peers or gateways

    def heard(self, gateway: str, zone: str, told: Iterable[Iterable[Any]], now: float) -> None:
        """A gateway that follows here tells its counts. Raises EvidenceError."""
        for entry in told:
            try:
                ident, bad, tries = entry
                bad, tries = float(bad), float(tries)
            except (TypeError, ValueError) as e:
                raise EvidenceError(f"counts that can't be read: {e!r}") from None
            if not 0 <= bad <= tries:
                raise EvidenceError(f"counts of {ident}: {bad} of {tries}")
            saw = bad >= FORGOTTEN
            seen = {zone: Seen(bad, tries, frozenset((gateway,)) if saw else frozenset(), int(saw))}
            self.first.setdefault(str(ident), {})[gateway] = Word(seen, now)
            self.for_peers.add(str(ident))
            self.for_gateways.add(str(ident))

    def left(self, gateway: str) -> None:
        """It follows here no more, and tells another machine from now on."""
        for ident, words in self.first.items():
            if words.pop(gateway, None) is not None:
                self.for_peers.add(ident)

    def merge(self, source: str, told: Iterable[object], now: float) -> None:
        """Another control machine tells what it heard first hand. Raises EvidenceError."""
        for entry in told:
            ident, seen = read(entry)
            self.second.setdefault(ident, {})[source] = Word(seen, now)
            self.for_gateways.add(ident)

    @staticmethod
    def sum(words: Iterable[Word], now: float) -> dict[str, Seen]:
        found: dict[str, Seen] = {}
        for word in words:
            for zone, seen in word.now(now).items():
                found[zone] = found[zone].plus(seen) if zone in found else seen
                found[zone].zones = min(found[zone].zones, 1)
        return found

    def evidence(self, ident: str, now: float) -> dict[str, Seen]:
        """All that is known of one server, by zone of those who saw it."""
        words = [*self.first.get(ident, {}).values(), *self.second.get(ident, {}).values()]
        return self.sum(words, now)

    def to_peers(self, now: float) -> Entries:
        """What was heard first hand and is new."""
        found = [(i, self.sum(self.first.get(i, {}).values(), now)) for i in sorted(self.for_peers)]
        return [write(i, seen) for i, seen in self.news(True, self.for_peers, found, now)]

    def to_gateways(self, now: float, zones: Iterable[str]) -> dict[str, Entries]:
        """What is new of servers that enough gateways have seen fail, for the gateways of each zone."""
        found = [(ident, self.evidence(ident, now)) for ident in sorted(self.for_gateways)]
        # Also that one of whom they were told is well after all.
        doubted = [(i, seen) for i, seen in found if self.doubted(seen) or (False, i) in self.told]
        self.for_gateways.intersection_update(i for i, _ in doubted)
        told = self.news(False, self.for_gateways, doubted, now)
        for ident, seen in told:
            if not self.doubted(seen):
                del self.told[False, ident]
        return {zone: [write(i, condensed(seen, zone)) for i, seen in told] for zone in zones if told}

    def news(
        self, peers: bool, due: set[str], found: list[tuple[str, dict[str, Seen]]], now: float
    ) -> list[tuple[str, dict[str, Seen]]]:
        """What is told now; the rest stays due until it has changed more, or for ``RENEW`` s."""
        told = []
        for ident, seen in found[:MOST]:
            new = together(seen.values())
            at, old = self.told.get((peers, ident), (-math.inf, Seen()))
            old = old.faded(now - at)
            moved = abs(new.bad - old.bad) > NEWS * max(old.bad, 1.0) or len(new.witnesses) > len(
                old.witnesses
            )
            if moved or now - at >= RENEW:
                self.told[peers, ident] = now, new
                due.discard(ident)
                told.append((ident, seen))
        return told

    def waiting(self) -> bool:
        """Something is due, and will be told before long."""
        return bool(self.for_peers or self.for_gateways)

    @staticmethod
    def doubted(seen: dict[str, Seen]) -> bool:
        whole = together(seen.values())
        return len(whole.witnesses) >= WITNESSES and whole.bad >= LEAST / 2 * whole.all

    def whole(self, now: float, zone: str) -> Entries:
        """For a gateway of this zone that has just come."""
        found = [(ident, self.evidence(ident, now)) for ident in sorted({*self.first, *self.second})]
        return [write(i, condensed(seen, zone)) for i, seen in found if self.doubted(seen)][:MOST]

    def sweep(self, now: float) -> None:
        """Leases end, and what has faded goes."""
        for table in (self.first, self.second):
            for ident, words in list(table.items()):
                for source in [s for s, word in words.items() if self.over(word, now)]:
                    del words[source]
                if not words:
                    del table[ident]
        self.told = {key: word for key, word in self.told.items() if now - word[0] <= LEASE}

    @staticmethod
    def over(word: Word, now: float) -> bool:
        return now - word.at > LEASE or together(word.now(now).values()).all < FORGOTTEN
