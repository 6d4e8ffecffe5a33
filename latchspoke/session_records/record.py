"""Session records, their versions, and their placement on the live gateways."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

import msgspec

from barleyhub.line.budget import rendezvous_score

MAX_PAST_EXCHANGES = 3


class ExchangeOutcome(IntEnum):
    """What is known of an exchange. It only changes from unsettled to settled."""

    NONE = 0
    OPEN = 1  # sent or about to be sent
    MAY_RUN = 2  # in doubt: sent, but not answered
    ANSWERED = 3
    NOT_RUN = 4  # has not run and never will
    TOLD = 5  # in doubt, and the caller has been told so


UNSETTLED = (ExchangeOutcome.OPEN, ExchangeOutcome.MAY_RUN)
Version = tuple[int, int, int]  # ownership epoch, move, step


class SessionRecord(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Where a caller's session is, and what became of its latest exchange.

    Encoded as an array: the order and number of the fields are part of the protocol.
    """

    key: str
    home_regions: tuple[str, ...] = ()  # sorted regions that may store the record; empty: all
    epoch: int = 0  # ownership epoch
    move: int = 0  # incremented whenever a gateway acquires the record
    step: int = 0  # writes since the latest move
    gateway_instance: str = ""  # "name/instance ID" of the gateway that serves the caller
    ttl_s: float = 0.0  # from the latest write
    service: str = ""
    instance_id: str = ""
    address: str = ""
    exchange_id: str = ""
    attempt_id: str = ""  # the attempt ID that the server was sent
    outcome: ExchangeOutcome = ExchangeOutcome.NONE
    opened_by: str = ""  # gateway instance that opened the exchange
    opening_id: str = ""  # unique ID of the write that opened the exchange
    write_number: int = 0  # sequence number of the serving gateway's writes; late writes are rejected
    past_exchanges: tuple[str, ...] = ()  # IDs of earlier exchanges that have run

    @property
    def version(self) -> Version:
        """Versions are ordered; a copy of a record is only replaced by one of a higher version."""
        return self.epoch, self.move, self.step

    @property
    def unsettled(self) -> bool:
        """Whether the outcome of the exchange is still unknown."""
        return self.outcome in UNSETTLED

    def has_run(self, exchange_id: str) -> bool:
        """Whether that exchange is known to have run."""
        return exchange_id in self.past_exchanges or (
            self.outcome is ExchangeOutcome.ANSWERED and self.exchange_id == exchange_id
        )


def record_key(route: str, tenant: str, caller: bytes) -> str:
    """The key of a caller's record: a digest, as the caller may be identified by a secret cookie."""
    prefix = f"{len(route)}:{route}{len(tenant)}:{tenant}".encode()
    return blake2b(prefix + caller, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class Peer:
    """A live gateway."""

    zone: str
    region: str
    instance_id: str = ""


Placement = tuple[str, str]  # names of owner and replica; empty where there is none


@dataclass(slots=True)
class MembershipView:
    """The live gateways as one gateway knew them, from ``valid_from`` (s) until the next view."""

    valid_from: float
    gateways: Mapping[str, Peer]
    number: int = 0
    placements: dict[tuple[str, tuple[str, ...]], Placement] = field(default_factory=dict)

    def placement(self, key: str, home_regions: tuple[str, ...], excluded: str = "") -> Placement:
        """Owner and replica of a record, by rendezvous hashing.

        The owner is the gateway of the highest rank; the replica is the next one in another region, else in
        another zone, else any. ``excluded`` names a gateway to leave out.
        """
        if not excluded and (cached := self.placements.get((key, home_regions))) is not None:
            return cached
        eligible = [
            name
            for name, peer in self.gateways.items()
            if name != excluded and (not home_regions or peer.region in home_regions)
        ]
        names = sorted(eligible, key=lambda name: rendezvous_score(key, name), reverse=True)
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
