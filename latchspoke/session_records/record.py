"""The record of a caller, its number, and who among the live gateways has it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

import msgspec

from barleyhub.line.budget import rank

MAX_PAST_EXCHANGES = 3  # exchanges before the last one that are remembered, if they ran


class ExchangeOutcome(IntEnum):
    """What is known of an exchange; it only ever goes from unsettled to settled."""

    NONE = 0
    OPEN = 1  # sent, or about to be
    MAY_RUN = 2  # sent, and no answer came
    ANSWERED = 3
    NOT_RUN = 4  # and never will
    TOLD = 5  # nobody knows, and its caller has been told so


UNSETTLED = (ExchangeOutcome.OPEN, ExchangeOutcome.MAY_RUN)
Version = tuple[int, int, int]  # tenure, move, step


class SessionRecord(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """One record. ``site``: a gateway's name and life. ``opened``: how that site names the opening."""

    key: str
    home_regions: tuple[str, ...] = ()  # regions, sorted; none: it may rest anywhere
    epoch: int = 0
    move: int = 0
    step: int = 0
    gateway_instance: str = ""
    ttl_s: float = 0.0  # s from its last write
    service: str = ""
    instance_id: str = ""
    address: str = ""
    exchange_id: str = ""
    attempt_id: str = ""  # the try that was sent for it: what its server knows
    outcome: ExchangeOutcome = ExchangeOutcome.NONE
    opened_by: str = ""  # the site that opened it
    opening_id: str = ""
    write_number: int = 0  # the site's own count of its writes: one that comes late is not taken
    past_exchanges: tuple[str, ...] = ()  # exchanges before it that ran

    @property
    def version(self) -> Version:
        return self.epoch, self.move, self.step

    @property
    def unsettled(self) -> bool:
        return self.outcome in UNSETTLED

    def has_run(self, exchange_id: str) -> bool:
        """Whether that exchange is known to have run."""
        return exchange_id in self.past_exchanges or (
            self.outcome is ExchangeOutcome.ANSWERED and self.exchange_id == exchange_id
        )


def record_key(route: str, tenant: str, caller: bytes) -> str:
    """The key of a caller's record. The digest hides the caller's text, which may be a secret cookie."""
    prefix = f"{len(route)}:{route}{len(tenant)}:{tenant}".encode()
    return blake2b(prefix + caller, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class Peer:
    """A live gateway."""

    zone: str
    region: str
    instance_id: str = ""


Placement = tuple[str, str]  # owner and copy; empty where there is none


@dataclass(slots=True)
class MembershipView:
    """The live gateways as one gateway knew them, from ``at`` (s) until the next era."""

    valid_from: float
    gateways: Mapping[str, Peer]
    number: int = 0
    placements: dict[tuple[str, tuple[str, ...]], Placement] = field(default_factory=dict)

    def placement(self, key: str, home_regions: tuple[str, ...], excluded: str = "") -> Placement:
        """The owner: first by rank. Its copy: the next in another region, else in another zone, else any."""
        if not excluded and (cached := self.placements.get((key, home_regions))) is not None:
            return cached
        eligible = [
            name
            for name, peer in self.gateways.items()
            if name != excluded and (not home_regions or peer.region in home_regions)
        ]
        names = sorted(eligible, key=lambda name: rank(key, name), reverse=True)
        placement = "", ""
        if names:
            first, others = self.gateways[names[0]], names[1:]
            in_other_region = (name for name in others if self.gateways[name].region != first.region)
            in_other_zone = (name for name in others if self.gateways[name].zone != first.zone)
            placement = (
                names[0],
                next(in_other_region, None) or next(in_other_zone, None) or next(iter(others), ""),
            )
        if not excluded:
            if len(self.placements) > 50_000:
                self.placements.clear()
            self.placements[key, home_regions] = placement
        return placement
