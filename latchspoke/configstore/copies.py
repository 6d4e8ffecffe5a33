"""Copies of the config store, to rebuild a cluster after a majority of its disks was lost. Sans-I/O.

A copy is not an image of a disk. A disk also holds the member's votes, and restoring an older disk would
break them, so the ledger rejects it. A copy holds only the committed state; new members start from it.

Gateways compare log indices and never go back to a lower one. A rebuilt cluster may lack the last changes, so
its indices must be higher than any that the lost cluster used: each restore starts a new block of 2**32
indices.
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
INDEX_BLOCK = 1 << 32  # log indices reserved per restore


class CopyError(Exception):
    """The file is not a copy, is damaged or has another layout; the text is one line."""


class Copy(msgspec.Struct, frozen=True):
    """Contents of the file. It includes the tenants' keys, so only its owner may read it."""

    kind: str
    layout: int
    taken_by: str
    applied: int  # log index up to which commands are included
    digest: str
    orders: Image


def digest_of(image: Image) -> str:
    """Hex digest of the state in a copy."""
    return blake2b(msgspec.json.encode(image), digest_size=16).hexdigest()


def make_copy(state: ConfigState, applied_index: int, taken_by: str) -> Copy:
    """A copy of the state after applying all entries up to ``applied_index``."""
    image = IMAGE_DECODER.decode(state.dump())
    return Copy(KIND, LAYOUT, taken_by, applied_index, digest_of(image), image)


def write(copy: Copy) -> bytes:
    """The contents of the copy's file."""
    return msgspec.json.encode(copy) + b"\n"


def read(data: bytes, path: str) -> Copy:
    """Decodes and verifies a copy; ``path`` is for error texts. Raises CopyError."""
    try:
        copy: Copy = msgspec.json.decode(data, type=Copy)
    except msgspec.MsgspecError as e:
        raise CopyError(f"{path} is not a complete copy: {e}") from None
    if copy.kind != KIND:
        raise CopyError(f"{path} is not a copy of a config store but {copy.kind[:60]!r}")
    if copy.layout != LAYOUT:
        raise CopyError(f"{path} has layout {copy.layout}, this program supports {LAYOUT}")
    if copy.digest != digest_of(copy.orders):
        raise CopyError(f"{path} is damaged: digest mismatch")
    return copy


@dataclass(frozen=True, slots=True)
class RestoredStore:
    """Initial contents of each founder's new disk."""

    identity_suffix: str  # suffix of the founders' identities
    snapshot: Snapshot


def restore_from_copy(copy: Copy, founders: Collection[str]) -> RestoredStore:
    """The initial disk contents of the founders ("ip:port"); deterministic for the same copy and founders."""
    founder_names = tuple(sorted(set(founders)))
    token = blake2b("\n".join((copy.digest, *founder_names)).encode(), digest_size=4).hexdigest()
    index = (max(copy.applied, copy.orders.index) // INDEX_BLOCK + 1) * INDEX_BLOCK
    zones = {zone: (index, out) for zone, (_, out) in copy.orders.zones.items()}
    image = msgspec.structs.replace(copy.orders, index=index, zones=zones)
    if image.rollouts is not msgspec.UNSET:
        rollouts = {
            service: msgspec.structs.replace(record, rollout_id=index, changed_index=index)
            for service, record in image.rollouts.items()
        }
        image = msgspec.structs.replace(image, rollouts=rollouts)
    identity_suffix = f"r-{token}"
    members = Members(tuple(f"{name}#{identity_suffix}" for name in founder_names))
    return RestoredStore(identity_suffix, Snapshot(index, 0, members, msgspec.json.encode(image)))
