"""The published state: the committed configuration, evacuations and rollouts, and the servers. No I/O.

Changes carry sequence numbers; a subscriber that has missed one requests a full snapshot. Control-plane nodes
publish to gateways, and a gateway publishes to gateways that cannot reach a control-plane node.
"""

from __future__ import annotations

import math
import zlib
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from latchspoke.distribution.document_updates import (
    COMPRESSION_THRESHOLD_BYTES,
    DocumentUpdates,
    decode_field,
)
from latchspoke.distribution.past_documents import Document
from latchspoke.registry.registry import Entry, Registry
from latchspoke.version_rollouts.records import RolloutRecord, decode_records, encode_records

Message = dict[str, Any]

FAST_COMPRESSION_LEVEL = 1  # of zlib, where time matters more than size


def encode_entries(entries: list[Document], compress: bool) -> Message:
    """The field ``e`` of a message with servers. ``compress``: the receiver can decompress it."""
    data = msgspec.json.encode(entries)
    if not compress or len(data) < COMPRESSION_THRESHOLD_BYTES:
        return {"e": entries}
    return {"ez": b64encode(zlib.compress(data, FAST_COMPRESSION_LEVEL)).decode()}


def decode_entries(message: Message) -> list[Document]:
    """The servers from ``encode_entries``; empty if the field is missing. Raises ValueError."""
    if "ez" not in message:
        return list(message.get("e", ()))
    try:
        return msgspec.json.decode(zlib.decompress(b64decode(message["ez"])), type=list[dict[str, Any]])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"servers can't be read: {error}") from None


SNAPSHOT_TRANSFER_S = 3.0  # the longest time for which a snapshot is taken to be on its way


class CommittedState(msgspec.Struct):
    """The operator's orders as of an index of the replicated log (0: none yet)."""

    index: int = 0
    version: int = 0
    document: Document | None = None
    evacuated: frozenset[str] = frozenset()
    rollouts: dict[str, RolloutRecord] = {}  # the newest of each service

    def order_fields(self) -> Message:
        """The message fields for evacuations and rollouts."""
        fields: Message = {"evac": sorted(self.evacuated)}
        if self.rollouts:
            fields["rollouts"] = encode_records(self.rollouts)
        return fields


class Subscriber(msgspec.Struct, eq=False):
    """A subscriber on one connection."""

    name: str
    send: Callable[[Message], object]
    has_snapshot: bool = False  # a snapshot was sent, so that changes can be applied
    snapshot_number: int = 0  # the sequence number of the last snapshot
    snapshot_sent_at: float = -math.inf
    acknowledged_sequence_number: int = -1
    acknowledged_index: int = 0  # of the committed state
    version: int = 0  # of the configuration, as last reported
    zone: str = ""
    supports_compression: bool = False


class PublishedState(msgspec.Struct):
    """The newest state and its subscribers."""

    registry: Registry
    document_updates: DocumentUpdates = msgspec.field(default_factory=DocumentUpdates)
    # Returns the pool versions by service, for routes with affinity.
    pool_versions: Callable[[PublishedState], dict[str, str]] | None = None
    committed: CommittedState = msgspec.field(default_factory=CommittedState)
    sequence_number: int = 0
    subscribers: list[Subscriber] = msgspec.field(default_factory=list)

    def add_subscriber(self, subscriber: Subscriber, now: float) -> None:
        """Add a subscriber, and send it a snapshot if there is committed state."""
        self.subscribers.append(subscriber)
        if self.committed.index:
            self.send_snapshot(subscriber, now)

    def remove_subscriber(self, subscriber: Subscriber) -> None:
        """Remove a subscriber; no effect if it is unknown."""
        if subscriber in self.subscribers:
            self.subscribers.remove(subscriber)

    def send_snapshot(self, subscriber: Subscriber, now: float) -> None:
        """Send a subscriber the committed state and the servers."""
        subscriber.has_snapshot = True
        subscriber.snapshot_number, subscriber.snapshot_sent_at = self.sequence_number, now
        committed = self.committed
        snapshot: Message = {
            "k": "whole",
            "n": self.sequence_number,
            "index": committed.index,
            "version": committed.version,
        } | committed.order_fields()
        snapshot |= encode_entries(self.registry.snapshot(now), subscriber.supports_compression)
        subscriber.send(snapshot | self.document_update(subscriber.version) | self.pool_versions_field())

    def resend_snapshot(self, subscriber: Subscriber, now: float) -> None:
        """A subscriber requests a snapshot, unless the last one is still on its way to it."""
        is_acknowledged = subscriber.acknowledged_sequence_number >= subscriber.snapshot_number
        if is_acknowledged or now - subscriber.snapshot_sent_at >= SNAPSHOT_TRANSFER_S:
            self.send_snapshot(subscriber, now)

    def document_update(self, version: int) -> Message:
        """The fields of the update for a subscriber with this version: nothing, a patch or the document."""
        committed = self.committed
        if committed.document is None:
            return {"doc": None}
        return self.document_updates.update_from(version, committed.version, committed.document)

    def pool_versions_field(self) -> dict[str, dict[str, str]]:
        """The message field with the pool versions, if any route needs them."""
        pool_versions = self.pool_versions(self) if self.pool_versions is not None else None
        return {"pools": pool_versions} if pool_versions else {}

    def broadcast(self, message: Message, compressed: Message | None = None) -> None:
        """Send a numbered change to all subscribers with a snapshot.

        ``compressed``: the variant for subscribers that support compression.
        """
        self.sequence_number += 1
        sequence_field = {"n": self.sequence_number}
        plain, compressed = (
            message | sequence_field,
            (message if compressed is None else compressed) | sequence_field,
        )
        for subscriber in list(self.subscribers):
            if subscriber.has_snapshot:
                subscriber.send(compressed if subscriber.supports_compression else plain)

    def publish_entries(self, entries: Iterable[Entry], now: float) -> None:
        """Send changed servers to the subscribers."""
        changed = list(entries)
        if changed and not self.subscribers:
            self.sequence_number += 1  # most gateways have no subscribers
        elif changed:
            encoded = [entry.to_message(now) for entry in changed]
            fields = {"k": "servers"} | self.pool_versions_field()
            self.broadcast(fields | {"e": encoded}, fields | encode_entries(encoded, True))

    def update_committed(self, new: CommittedState, now: float) -> bool:
        """Publish committed state if it is newer than the current one; whether it is."""
        old = self.committed
        if new.index <= old.index:
            return False
        self.committed = new
        change: Message = {
            "k": "orders",
            "index": new.index,
            "version": new.version,
        } | new.order_fields()
        if self.subscribers and (new.version != old.version or old.document is None):
            change |= self.document_update(old.version if old.document is not None else 0)
        if new.document is not None:
            self.document_updates.past.replace_current(new.version, new.document)
        self.broadcast(change)
        for subscriber in self.subscribers:
            if not subscriber.has_snapshot:
                self.send_snapshot(subscriber, now)
        return True

    def record_acknowledgement(self, subscriber: Subscriber, sequence_number: int, index: int) -> None:
        """A subscriber has applied the change with this number, and committed state up to this index."""
        subscriber.acknowledged_sequence_number = max(
            subscriber.acknowledged_sequence_number, sequence_number
        )
        subscriber.acknowledged_index = max(subscriber.acknowledged_index, index)

    def count_behind(self, index: int) -> int:
        """The number of subscribers that have not acknowledged this index."""
        return sum(subscriber.acknowledged_index < index for subscriber in self.subscribers)


class GapError(Exception):
    """A change was missed or has another base: a snapshot must be requested."""


class Follower(msgspec.Struct):
    """Applies the messages of a publisher to a local state; older committed state is ignored."""

    published_state: PublishedState
    apply_patch: Callable[[Document, Document], Document]
    sequence_number: int = -1
    # Instance IDs that the publisher's snapshot did not contain, and the time of the snapshot.
    missing_since: dict[str, float] = msgspec.field(default_factory=dict)
    differing_pools: frozenset[str] = frozenset()  # services whose pool version differs from the publisher's

    def reset_sequence(self) -> None:
        """A new connection starts a new sequence, with a snapshot."""
        self.sequence_number = -1

    def apply(self, message: Message, now: float) -> tuple[bool, list[Entry]]:
        """Apply a message; whether the committed state has changed, and the changed servers.

        Raises GapError, HeartbeatError, KeyError, TypeError, ValueError.
        """
        kind, sequence_number = message["k"], int(message["n"])
        if kind != "whole" and (self.sequence_number < 0 or sequence_number != self.sequence_number + 1):
            raise GapError(f"change {sequence_number} after {self.sequence_number}")
        self.sequence_number = sequence_number
        committed_changed = False
        if kind in ("whole", "orders") and int(message["index"]) > self.published_state.committed.index:
            committed_changed = self.published_state.update_committed(self.parse_committed(message), now)
        received = decode_entries(message)
        entries = self.published_state.registry.merge(received, now)
        if kind == "whole":
            named = {str(item["i"]) for item in received}
            self.missing_since = {
                instance_id: now
                for instance_id in self.published_state.registry.entries
                if instance_id not in named
            }
        else:
            # Unchanged servers too: a restarted control-plane node learns of its servers one by one.
            for item in received:
                self.missing_since.pop(str(item["i"]), None)
        self.published_state.publish_entries(entries, now)
        if "pools" in message or self.differing_pools:
            own_versions, received_versions = (
                self.published_state.pool_versions_field().get("pools", {}),
                message.get("pools", {}),
            )
            self.differing_pools = frozenset(
                name for name in received_versions if received_versions[name] != own_versions.get(name)
            )
        return committed_changed, entries

    def apply_broadcast(self, entries: Iterable[Document], now: float) -> list[Entry]:
        """Apply a broadcast outside the subscription, for known servers only. Raises HeartbeatError."""
        known = [item for item in entries if str(item["i"]) in self.published_state.registry.entries]
        changed = self.published_state.registry.merge(known, now)
        self.published_state.publish_entries(changed, now)
        return changed

    def parse_committed(self, message: Message) -> CommittedState:
        """The committed state in a message. Raises GapError if its base is not the current version."""
        old = self.published_state.committed
        index, version = int(message["index"]), int(message["version"])
        received_document, patch = decode_field("doc", message), decode_field("patch", message)
        document: Document | None
        if received_document is not None:
            document = received_document
        elif patch is not None:
            if old.document is None or old.version != message["from"]:
                raise GapError(
                    f"patch for version {message['from']}, but the current version is {old.version}"
                )
            document = self.apply_patch(old.document, patch)
        else:
            if version != old.version:
                raise GapError(f"version {version} arrived without its document")
            document = old.document
        rollouts = decode_records(message.get("rollouts", {}))
        return CommittedState(index, version, document, frozenset(message["evac"]), rollouts)

    def expire_missing(self, now: float, retention_s: float) -> list[Entry]:
        """Mark servers as gone that the publisher has not known for this time (s); returns them."""
        gone = [instance_id for instance_id, since in self.missing_since.items() if now - since > retention_s]
        expired: list[Entry] = []
        for instance_id in gone:
            del self.missing_since[instance_id]
            entry, changed = self.published_state.registry.mark_gone(instance_id, now, expired=True)
            if changed:
                expired.append(entry)
        self.published_state.publish_entries(expired, now)
        return expired


class Lease(msgspec.Struct):
    """The right to serve with the committed state known here, by the clock of this process.

    A proof shows that no newer command had been acknowledged at ``proven_at``. The lease ends ``duration_s``
    later, which is less than the time within which a revoked API key must be rejected (``revokeS``).
    """

    duration_s: float
    proven_at: float = -math.inf

    @property
    def expires_at(self) -> float:
        """The end of the lease (s, monotonic)."""
        return self.proven_at + self.duration_s

    def renew(self, at: float) -> None:
        """Renew the lease. ``at``: when the proof was requested, minus the age of the proof."""
        self.proven_at = max(self.proven_at, at)
