"""What the processes say to each other. Keys are short: bytes between zones are paid for.

A message: ``k`` its kind, ``n`` a probe's number, ``f`` the sender (name, life, incarnation), ``t`` whom it
is about, ``d`` a digest of the sender's view, ``v`` digests of parts of it, ``u`` updates.
"""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Iterable
from hashlib import blake2b
from typing import Annotated, Any, Literal
from zlib import crc32

import msgspec

PARTS = 64  # a view is cut into, by the names of members
PROBE, ACK, ASK, NACK, JOIN, STATE, NEWS = "p", "a", "r", "x", "j", "s", "u"
ALIVE, SUSPECT, GONE, LEFT = "a", "s", "g", "l"

Address = tuple[str, int]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Member(msgspec.Struct, frozen=True):
    """A process. ``life`` is drawn at each of its starts; ``incarnation`` orders what is said of it."""

    name: str
    host: str
    port: int
    meta: dict[str, Any]
    incarnation: int
    life: str

    @property
    def address(self) -> Address:
        """Where the process takes messages."""
        return (self.host, self.port)


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """What is said of a process; only of the living ones with address and meta."""

    state: Literal["a", "s", "g", "l"]
    name: str
    incarnation: Count
    life: str
    host: str = ""
    port: Port = 0
    meta: dict[str, Any] = {}

    def __post_init__(self) -> None:
        if self.state == ALIVE and not (self.host and self.port):
            raise ValueError("a living process has no address")

    def member(self) -> Member:
        """The process that this tells of."""
        return Member(self.name, self.host, self.port, self.meta, self.incarnation, self.life)


class Message(msgspec.Struct, frozen=True):
    """One message of the membership; see the module for its fields."""

    k: str
    f: tuple[str, str, Count]
    n: Count = 0
    t: tuple[str, str, Port] = ("", "", 0)
    d: Count | None = None
    v: str = ""
    u: list[Entry] = []


def read(message: object) -> Message:
    """Raises ValueError if it is none of ours."""
    return msgspec.convert(message, Message)


def entry(state: str, member: Member, incarnation: int | None = None) -> list[Any]:
    """As it is sent; ``incarnation`` if it isn't the member's."""
    short = [state, member.name, member.incarnation if incarnation is None else incarnation, member.life]
    return [*short, member.host, member.port, member.meta] if state == ALIVE else short


def size(said: list[Any]) -> int:
    """Bytes of an entry on the wire, with its comma."""
    return len(msgspec.json.encode(said)) + 1


def digest(members: Iterable[Member]) -> int:
    """40 bits of who lives, in which life and incarnation."""
    view = "\n".join(sorted(f"{m.name} {m.life} {m.incarnation}" for m in members))
    return int.from_bytes(blake2b(view.encode(), digest_size=5).digest(), "big")


def part(name: str) -> int:
    """Of a view, the one that the member is in."""
    return crc32(name.encode()) % PARTS


def parts(members: Iterable[Member]) -> str:
    """12 bits of each part of a view, in two characters."""
    sums = [0] * PARTS
    for m in members:  # not of crc32: it is linear, so that two of a part with like changes would cancel out
        found = blake2b(f"{m.name} {m.life} {m.incarnation}".encode(), digest_size=2).digest()
        sums[part(m.name)] ^= int.from_bytes(found, "big")
    bits = 0
    for each in sums:
        bits = bits << 12 | each >> 4
    return b64encode(bits.to_bytes(PARTS * 12 // 8, "big")).decode()


def odd(these: str, those: str) -> set[int]:
    """The parts in which two views differ; none if one of them isn't what ``parts`` writes."""
    if len(these) != len(those):
        return set()
    return {i for i in range(PARTS) if these[2 * i : 2 * i + 2] != those[2 * i : 2 * i + 2]}
