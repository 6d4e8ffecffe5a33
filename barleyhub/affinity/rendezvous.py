"""Weighted rendezvous hashing: ranks the members of a pool for each caller.

Each member draws a pseudo-random time for a caller, exponentially distributed with the member's weight as the
rate, and members are ranked by their times. A time depends on the member and the caller only, so that a
change of one member moves callers to or from this member and no others. Results must not change between
releases: tests/affinity/test_rendezvous.py compares them with fixed values. Does no I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from math import log

from xxhash import xxh3_64_digest, xxh3_64_intdigest

HASH_BITS = 64
LOG_HASH_RANGE = HASH_BITS * log(2.0)  # logarithm of the number of hash values
DIVERSION_SEED = 0x5350494C4C  # makes diversion positions independent of ranks
SPLIT_PREFIX = b"split\n"


@dataclass(slots=True, frozen=True)
class Member:
    """A server address in a pool. It stays the same when the process at this address is restarted."""

    address: str
    capacity: float  # slots, as reported by the server
    zone: str = ""
    region: str = ""
    share: float = 1.0  # of its capacity, less than 1 during warm-up

    @property
    def weight(self) -> float:
        """Capacity that is used now; callers are assigned in proportion to it."""
        return self.capacity * self.share


@dataclass(slots=True, frozen=True)
class Caller:
    """The caller of a request, as its route identifies it.

    ``near`` says which servers are preferred: "zone", "region" or "" for no preference. ``exchange_s`` is how
    long a caller stays at one server regardless of changes; 0 for not at all.
    """

    key: bytes
    near: str = ""
    exchange_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Origin:
    """Location of the gateway; ``near`` says which members are preferred, as in ``Caller``."""

    near: str = ""
    zone: str = ""
    region: str = ""

    def tier(self, member: Member) -> int:
        """Locality tier of a member; lower tiers are ranked first."""
        if not self.near:
            return 0
        if self.near == "zone" and member.zone == self.zone:
            return 0
        return 1 if member.region == self.region else 2


NO_ORIGIN = Origin()
Rank = tuple[int, float, str]  # tier, time, address


def caller_key(text: bytes) -> bytes:
    """Hash of the text that identifies a caller."""
    return xxh3_64_digest(text)


def member_seed(address: str) -> int:
    """Hash seed of a member."""
    return xxh3_64_intdigest(address.encode())


def draw_time(key: bytes, seed: int, weight: float) -> float:
    """Exponentially distributed time of a member for a caller; the earliest is ranked first."""
    return (LOG_HASH_RANGE - log(xxh3_64_intdigest(key, seed) | 1)) / weight


def rank_members(
    key: bytes,
    members: Iterable[Member],
    origin: Origin = NO_ORIGIN,
    homes: Collection[str] | None = None,
) -> list[Rank]:
    """Members that may serve the caller, in order of preference."""
    return sorted(
        (origin.tier(member), draw_time(key, member_seed(member.address), member.weight), member.address)
        for member in members
        if member.weight > 0 and (homes is None or member.region in homes)
    )


def diversion_position(key: bytes, seed: int) -> float:
    """Position, 0 to 1, of a caller among those of one member; low positions are diverted first."""
    return xxh3_64_intdigest(key, seed ^ DIVERSION_SEED) / 2.0**HASH_BITS


def choose_service(key: bytes, split: Sequence[tuple[str, float]]) -> str:
    """Service of a caller on a split route, given as in ``Route``; a change of weights moves few callers."""
    if len(split) == 1:
        return split[0][0]
    best, earliest, start = split[-1][0], float("inf"), 0.0
    for name, end in split:
        if end > start:
            time = draw_time(key, xxh3_64_intdigest(SPLIT_PREFIX + name.encode()), end - start)
            if time < earliest:
                best, earliest = name, time
        start = end
    return best


def pool_version(members: Iterable[Member]) -> str:
    """Hash of a pool's addresses, capacities and zones in sixteen hexadecimal digits, whatever their order.

    Shares are left out, as they follow from time.
    """
    lines = sorted(f"{member.address}\n{member.capacity:g}\n{member.zone}\n" for member in members)
    return f"{xxh3_64_intdigest(''.join(lines).encode()):016x}"
