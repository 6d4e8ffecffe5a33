"""Copies of the operator's word, to begin a system anew from when a majority of its disks is lost. Pure.

A copy is no copy of a disk. A member's disk also holds what that member has promised in votes, and one put
back from an older state would break its promises: the ledger refuses it. A copy holds what the committed
orders have made, which is all that a system needs, and new members begin from it.

Gateways go by places in the log and never go back. A system begun anew may lack the last changes, so its
places must lie above any that the lost one ever told: each beginning starts a new block of 2**32.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from latchspoke.configstore.config_state import IMAGE_DECODER, ConfigState, Image
from latchspoke.consensus.records import Members, Snapshot

KIND = "latchspoke register copy"
LAYOUT = 1
INDEX_BLOCK = 1 << 32  # places of a beginning


class CopyError(Exception):
    """No copy, a damaged one, or one of another program; one line says why."""


class Copy(msgspec.Struct, frozen=True):
    """What the file holds. It has the tenants' keys in it: only its owner may read it."""

    kind: str
    layout: int
    taken_by: str
    applied: int  # place up to which all is in it
    digest: str
    orders: Image


def digest_of(image: Image) -> str:
    """Hash of the orders in a copy, in hexadecimal."""
    return blake2b(msgspec.json.encode(image), digest_size=16).hexdigest()


def make_copy(state: ConfigState, applied_index: int, taken_by: str) -> Copy:
    """A copy of the applied orders; ``applied`` is their place in the log."""
    image = IMAGE_DECODER.decode(state.dump())
    return Copy(KIND, LAYOUT, taken_by, applied_index, digest_of(image), image)


def write(copy: Copy) -> bytes:
    """The copy as the bytes of a file."""
    return msgspec.json.encode(copy) + b"\n"


def read(data: bytes, path: str) -> Copy:
    """Raises CopyError."""
    try:
        copy: Copy = msgspec.json.decode(data, type=Copy)
    except msgspec.MsgspecError as e:
        raise CopyError(f"{path} is no whole copy: {e}") from None
    if copy.kind != KIND:
        raise CopyError(f"{path} is no copy of a register, but {copy.kind[:60]!r}")
    if copy.layout != LAYOUT:
        raise CopyError(f"{path}: its layout is {copy.layout}, this program knows {LAYOUT}")
    if copy.digest != digest_of(copy.orders):
        raise CopyError(f"{path} is damaged: its digest is another")
    return copy


@dataclass(frozen=True, slots=True)
class RestoredStore:
    """What each founder's new disk holds."""

    identity_suffix: str  # of the founders' identities
    snapshot: Snapshot


def restore_from_copy(copy: Copy, founders: Collection[str]) -> RestoredStore:
    """The same for all who are given the same copy and the same founders (inner addresses "ip:port")."""
    founder_names = tuple(sorted(set(founders)))
    token = blake2b("\n".join((copy.digest, *founder_names)).encode(), digest_size=4).hexdigest()
    index = (max(copy.applied, copy.orders.index) // INDEX_BLOCK + 1) * INDEX_BLOCK
    image = msgspec.structs.replace(
        copy.orders, index=index, zones={zone: (index, out) for zone, (_, out) in copy.orders.zones.items()}
    )
    identity_suffix = f"r-{token}"
    members = Members(tuple(f"{name}#{identity_suffix}" for name in founder_names))
    return RestoredStore(identity_suffix, Snapshot(index, 0, members, msgspec.json.encode(image)))
