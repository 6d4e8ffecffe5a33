"""Updates of the configuration for subscribers: patches from past versions, or the document. No I/O."""

from __future__ import annotations

import zlib
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any

import msgspec

from latchspoke.distribution.past_documents import DEFAULT_MEMORY_BYTES, Document, PastDocuments

Message = dict[str, Any]

COMPRESSION_THRESHOLD_BYTES = 2048
SMALL_UPDATE_BYTES = 4096  # that an update without a large field counts as


def encode_field(name: str, value: Document) -> Message:
    """A field of a message, compressed if it is large."""
    data = msgspec.json.encode(value)
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return {name: value}
    return {f"{name}z": b64encode(zlib.compress(data)).decode()}


def decode_field(name: str, message: Message) -> Document | None:
    """The field from ``encode_field``, or None if it is missing. Raises ValueError."""
    if name in message:
        return message[name]  # type: ignore[no-any-return]
    if f"{name}z" not in message:
        return None
    try:
        return msgspec.json.decode(zlib.decompress(b64decode(message[f"{name}z"])), type=dict[str, Any])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"{name} can't be read: {error}") from None


class DocumentUpdates:
    """Encoded updates to one version, shared by subscribers that reconnect together.

    ``diff`` returns the patch between two documents, or None if the document is shorter.
    """

    def __init__(
        self,
        diff: Callable[[Document, Document], Document | None] | None = None,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
    ) -> None:
        """``memory_bytes``: for the past versions, and as much for the updates."""
        self.diff, self.memory_bytes = diff, memory_bytes
        self.past = PastDocuments(memory_bytes)
        self.version = 0  # that the updates lead to
        self.updates: dict[int, Message] = {}  # by the subscriber's version; 0 if that is not kept
        self.held_bytes = 0

    def update_from(self, base_version: int, version: int, document: Document) -> Message:
        """The fields of the update from one version to another: nothing, a patch or the document."""
        if base_version == version:
            return {}
        if version != self.version:
            self.version = version
            self.clear()
        base = self.past.get(base_version)
        if base is None:
            base_version = 0
        if base_version not in self.updates:
            self.add(base_version, self.encode(base_version, base, document))
        return self.updates[base_version]

    def add(self, base_version: int, update: Message) -> None:
        """Keep an update, and the others as far as there is memory."""
        size = update_size(update)
        if self.held_bytes + size > self.memory_bytes:
            self.clear()
        self.updates[base_version] = update
        self.held_bytes += size

    def clear(self) -> None:
        """Drop all updates."""
        self.updates, self.held_bytes = {}, 0

    def encode(self, base_version: int, base: Document | None, document: Document) -> Message:
        """The patch from a base, or the document if that is shorter or there is no base."""
        if base is not None and self.diff is not None:
            patch = self.diff(base, document)
            if patch is not None:
                return encode_field("patch", patch) | {"from": base_version}
        return encode_field("doc", document)


def update_size(update: Message) -> int:
    """About what an update takes (bytes)."""
    return SMALL_UPDATE_BYTES + sum(len(value) for value in update.values() if isinstance(value, str))
