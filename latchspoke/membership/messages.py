"""Messages of the membership protocol. Field names are short because traffic between zones is billed.

Fields of a message: ``k`` kind, ``n`` sequence number of the probe, ``f`` sender (name, instance ID,
incarnation), ``t`` the member that the message concerns (name, host, port), ``d`` digest of the sender's
view, ``v`` digests of the buckets of that view, ``u`` updates about members.
"""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Iterable
from hashlib import blake2b
from typing import Annotated, Any, Literal
from zlib import crc32

import msgspec

BUCKET_COUNT = 64  # a view is partitioned into buckets by member name
PROBE, ACK, INDIRECT_PROBE, NACK, JOIN, JOIN_REPLY, UPDATES = "p", "a", "r", "x", "j", "s", "u"
ALIVE, SUSPECT, DEAD, LEFT = "a", "s", "g", "l"

Address = tuple[str, int]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Member(msgspec.Struct, frozen=True):
    """A process. ``instance_id`` is drawn at each start; a higher ``incarnation`` overrides older updates."""

    name: str
    host: str
    port: int
    meta: dict[str, Any]
    incarnation: int
    instance_id: str

    @property
    def address(self) -> Address:
        """Host and port on which the process receives datagrams."""
        return (self.host, self.port)


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of a member as it is disseminated; only ``ALIVE`` updates carry the address and metadata."""

    state: Literal["a", "s", "g", "l"]
    name: str
    incarnation: NonNegativeInt
    instance_id: str
    host: str = ""
    port: Port = 0
    meta: dict[str, Any] = {}

    def __post_init__(self) -> None:
        if self.state == ALIVE and not (self.host and self.port):
            raise ValueError("update of an alive member has no address")

    def to_member(self) -> Member:
        """The member that the update describes."""
        return Member(self.name, self.host, self.port, self.meta, self.incarnation, self.instance_id)


class Message(msgspec.Struct, frozen=True):
    """One protocol message; the module docstring explains the fields."""

    k: str
    f: tuple[str, str, NonNegativeInt]
    n: NonNegativeInt = 0
    t: tuple[str, str, Port] = ("", "", 0)
    d: NonNegativeInt | None = None
    v: str = ""
    u: list[MemberUpdate] = []


def parse_message(message: object) -> Message:
    """Validates a decoded message. Raises ValueError if it does not match the schema."""
    return msgspec.convert(message, Message)


def encode_update(state: str, member: Member, incarnation: int | None = None) -> list[Any]:
    """The fields of a ``MemberUpdate`` as they are sent; ``incarnation`` overrides the member's own."""
    fields = [
        state,
        member.name,
        member.incarnation if incarnation is None else incarnation,
        member.instance_id,
    ]
    return [*fields, member.host, member.port, member.meta] if state == ALIVE else fields


def encode_meta(member: Member) -> bytes:
    """The names and meta data of a member, as JSON."""
    return msgspec.json.encode([member.name, member.instance_id, member.host, member.meta])


def encoded_size(update: list[Any]) -> int:
    """Encoded size of an update in bytes, including the separating comma."""
    return len(msgspec.json.encode(update)) + 1


def view_digest(members: Iterable[Member]) -> int:
    """40-bit digest of the members' names, instance IDs and incarnations."""
    listing = "\n".join(
        sorted(f"{member.name} {member.instance_id} {member.incarnation}" for member in members)
    )
    return int.from_bytes(blake2b(listing.encode(), digest_size=5).digest(), "big")


def bucket_of(name: str) -> int:
    """Index of the view bucket that holds the member."""
    return crc32(name.encode()) % BUCKET_COUNT


def bucket_digests(members: Iterable[Member]) -> str:
    """A 12-bit digest of each bucket of a view, base64-encoded in two characters."""
    bucket_sums = [0] * BUCKET_COUNT
    for member in members:
        # Not crc32: it is linear, so equal changes of two members in one bucket would cancel out.
        member_hash = blake2b(
            f"{member.name} {member.instance_id} {member.incarnation}".encode(), digest_size=2
        ).digest()
        bucket_sums[bucket_of(member.name)] ^= int.from_bytes(member_hash, "big")
    bits = 0
    for bucket_sum in bucket_sums:
        bits = bits << 12 | bucket_sum >> 4
    return b64encode(bits.to_bytes(BUCKET_COUNT * 12 // 8, "big")).decode()


def differing_buckets(first: str, second: str) -> set[int]:
    """Buckets in which two results of ``bucket_digests`` differ; empty if their lengths differ."""
    if len(first) != len(second):
        return set()
    return {
        bucket
        for bucket in range(BUCKET_COUNT)
        if first[2 * bucket : 2 * bucket + 2] != second[2 * bucket : 2 * bucket + 2]
    }
