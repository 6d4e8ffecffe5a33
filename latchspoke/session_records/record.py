"""The record of a caller, its number, and who among the live gateways has it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

import msgspec

from barleyhub.line.budget import rank

PAST = 3  # exchanges before the last one that are remembered, if they ran


class Fate(IntEnum):
    """What is known of an exchange; it only ever goes from unsettled to settled."""

    NONE = 0
    OPEN = 1  # sent, or about to be
    MAY_RUN = 2  # sent, and no answer came
    ANSWERED = 3
    NOT_RUN = 4  # and never will
    TOLD = 5  # nobody knows, and its caller has been told so


UNSETTLED = (Fate.OPEN, Fate.MAY_RUN)
Number = tuple[int, int, int]  # tenure, move, step


class Bill(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """One record. ``site``: a gateway's name and life. ``opened``: how that site names the opening."""

    key: str
    homes: tuple[str, ...] = ()  # regions, sorted; none: it may rest anywhere
    tenure: int = 0
    move: int = 0
    step: int = 0
    site: str = ""
    lasts: float = 0.0  # s from its last write
    service: str = ""
    life: str = ""
    place: str = ""
    exchange: str = ""
    attempt: str = ""  # the try that was sent for it: what its server knows
    fate: Fate = Fate.NONE
    opener: str = ""  # the site that opened it
    opened: str = ""
    turn: int = 0  # the site's own count of its writes: one that comes late is not taken
    past: tuple[str, ...] = ()  # exchanges before it that ran

    @property
    def number(self) -> Number:
        return self.tenure, self.move, self.step

    @property
    def unsettled(self) -> bool:
        return self.fate in UNSETTLED

    def ran(self, exchange: str) -> bool:
        """Whether that exchange is known to have run."""
        return exchange in self.past or (self.fate is Fate.ANSWERED and self.exchange == exchange)


def key_of(route: str, tenant: str, caller: bytes) -> str:
    """The key of a caller's record. The digest hides the caller's text, which may be a secret cookie."""
    names = f"{len(route)}:{route}{len(tenant)}:{tenant}".encode()
    return blake2b(names + caller, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class Peer:
    """A live gateway."""

    zone: str
    region: str
    life: str = ""


Pair = tuple[str, str]  # owner and copy; empty where there is none


@dataclass(slots=True)
class Era:
    """The live gateways as one gateway knew them, from ``at`` (s) until the next era."""

    at: float
    peers: Mapping[str, Peer]
    number: int = 0
    known: dict[tuple[str, tuple[str, ...]], Pair] = field(default_factory=dict)

    def pair(self, key: str, homes: tuple[str, ...], without: str = "") -> Pair:
        """The owner: first by rank. Its copy: the next in another region, else in another zone, else any."""
        if not without and (found := self.known.get((key, homes))) is not None:
            return found
        able = [n for n, p in self.peers.items() if n != without and (not homes or p.region in homes)]
        names = sorted(able, key=lambda name: rank(key, name), reverse=True)
        pair = "", ""
        if names:
            first, rest = self.peers[names[0]], names[1:]
            far = (n for n in rest if self.peers[n].region != first.region)
            away = (n for n in rest if self.peers[n].zone != first.zone)
            pair = names[0], next(far, None) or next(away, None) or next(iter(rest), "")
        if not without:
            if len(self.known) > 50_000:
                self.known.clear()
            self.known[key, homes] = pair
        return pair
