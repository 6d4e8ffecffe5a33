"""What is told to those who follow: the operator's word as committed, and the servers. Pure.

Each change has a number. Who has missed one asks for the whole again. The same board stands on a control
machine and on a gateway, which tells another that can't reach any control machine.
"""

from __future__ import annotations

import math
import zlib
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from latchspoke.registry.registry import Entry, Registry

Message = dict[str, Any]
Document = dict[str, Any]

COMPRESSION_THRESHOLD_BYTES = 2048  # bytes; what is larger travels deflated, as gateways' links are narrow
FAST_COMPRESSION_LEVEL = 1  # zlib's level where time matters more than bytes
MAX_PAST_DOCUMENTS = (
    30  # documents that are kept, so that who comes back after a while is told only what changed
)


def encode_field(name: str, value: Document) -> Message:
    """A field of a message: as it is, or deflated where it is large."""
    data = msgspec.json.encode(value)
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return {name: value}
    return {f"{name}z": b64encode(zlib.compress(data)).decode()}


def encode_entries(entries: list[Document], compress: bool) -> Message:
    """The field ``e`` of a message: servers, deflated where they are many and the reader can inflate."""
    data = msgspec.json.encode(entries)
    if not compress or len(data) < COMPRESSION_THRESHOLD_BYTES:
        return {"e": entries}
    return {"ez": b64encode(zlib.compress(data, FAST_COMPRESSION_LEVEL)).decode()}


def decode_entries(message: Message) -> list[Document]:
    """The servers that ``pack_entries`` packed; none if there is no such field. Raises ValueError."""
    if "ez" not in message:
        return list(message.get("e", ()))
    try:
        return msgspec.json.decode(zlib.decompress(b64decode(message["ez"])), type=list[dict[str, Any]])
    except (zlib.error, msgspec.MsgspecError) as e:
        raise ValueError(f"servers can't be read: {e}") from None


def decode_field(name: str, message: Message) -> Document | None:
    """The field that ``pack`` made, or None. Raises ValueError."""
    if name in message:
        return message[name]  # type: ignore[no-any-return]
    if f"{name}z" not in message:
        return None
    try:
        return msgspec.json.decode(zlib.decompress(b64decode(message[f"{name}z"])), type=dict[str, Any])
    except (zlib.error, msgspec.MsgspecError) as e:
        raise ValueError(f"{name} can't be read: {e}") from None


class CommittedState(msgspec.Struct):
    """The operator's word as of one place in the register's log; 0: nothing yet."""

    index: int = 0
    version: int = 0
    document: Document | None = None
    evacuated: frozenset[str] = frozenset()


class Subscriber(msgspec.Struct, eq=False):
    """One who follows, on one connection."""

    name: str
    send: Callable[[Message], object]
    has_snapshot: bool = False  # has been given the whole, so that changes make sense
    acknowledged_sequence_number: int = 0
    acknowledged_index: int = 0  # of the orders that it has acknowledged
    version: int = 0  # of the configuration that it has, as it last said
    zone: str = ""
    supports_compression: bool = False  # it can read servers that are deflated


class PublishedState(msgspec.Struct):
    """The newest state, and who follows it."""

    registry: Registry
    committed: CommittedState = msgspec.field(default_factory=CommittedState)
    sequence_number: int = 0
    subscribers: list[Subscriber] = msgspec.field(default_factory=list)
    # Gives the change between two documents, or None where the whole is shorter.
    diff_documents: Callable[[Document, Document], Document | None] | None = None
    # Gives the versions of the sets of servers by service, where callers are kept at their servers.
    pool_versions: Callable[[PublishedState], dict[str, str]] | None = None
    past_documents: dict[int, Document] = msgspec.field(
        default_factory=dict
    )  # documents by version, the newest last
    # What leads to the document in force, by the version that a reader has (0: none that is kept): readers
    # who come back together share the work of packing it.
    document_updates: dict[int, Message] = msgspec.field(default_factory=dict)
    document_updates_version: int = 0

    def add_subscriber(self, subscriber: Subscriber, now: float) -> None:
        """A reader has connected; it is told the whole if there is one."""
        self.subscribers.append(subscriber)
        if self.committed.index:
            self.send_snapshot(subscriber, now)

    def remove_subscriber(self, subscriber: Subscriber) -> None:
        """A reader has gone."""
        if subscriber in self.subscribers:
            self.subscribers.remove(subscriber)

    def send_snapshot(self, subscriber: Subscriber, now: float) -> None:
        """Tell one reader all: orders, document and servers."""
        subscriber.has_snapshot = True
        committed = self.committed
        snapshot: Message = {
            "k": "whole",
            "n": self.sequence_number,
            "index": committed.index,
            "version": committed.version,
            "evac": sorted(committed.evacuated),
        }
        snapshot |= encode_entries(self.registry.snapshot(now), subscriber.supports_compression)
        subscriber.send(snapshot | self.document_update(subscriber.version) | self.pool_versions_field())

    def document_update(self, version: int) -> Message:
        """The document for who has that version of it: nothing, a change, or all of it."""
        committed = self.committed
        if committed.document is None:
            return {"doc": None}
        if version == committed.version:
            return {}
        if committed.version != self.document_updates_version:
            self.document_updates, self.document_updates_version = {}, committed.version
        base_version = version if version in self.past_documents else 0
        if base_version not in self.document_updates:
            self.document_updates[base_version] = self.encode_document_update(
                base_version, committed.document
            )
        return self.document_updates[base_version]

    def encode_document_update(self, version: int, document: Document) -> Message:
        """The change from a document that is kept, or the whole where that is shorter or there is none."""
        old = self.past_documents.get(version)
        if old is not None and self.diff_documents is not None:
            patch = self.diff_documents(old, document)
            if patch is not None:
                return encode_field("patch", patch) | {"from": version}
        return encode_field("doc", document)

    def pool_versions_field(self) -> dict[str, dict[str, str]]:
        """The field that tells the versions of sets of servers, if routes need them."""
        pool_versions = self.pool_versions(self) if self.pool_versions is not None else None
        return {"pools": pool_versions} if pool_versions else {}

    def broadcast(self, message: Message, compressed: Message | None = None) -> None:
        """A change, numbered, to all that have the whole; ``packed``: for those who inflate servers."""
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
        """These are news."""
        changed = list(entries)
        if changed and not self.subscribers:
            self.sequence_number += 1  # nobody follows here, as at most gateways
        elif changed:
            encoded = [entry.to_message(now) for entry in changed]
            fields = {"k": "servers"} | self.pool_versions_field()
            self.broadcast(fields | {"e": encoded}, fields | encode_entries(encoded, True))

    def update_committed(self, new: CommittedState, now: float) -> bool:
        """The operator's word has changed; whether this is newer than what was known."""
        old = self.committed
        if new.index <= old.index:
            return False
        self.committed = new
        change: Message = {
            "k": "orders",
            "index": new.index,
            "version": new.version,
            "evac": sorted(new.evacuated),
        }
        if new.document is not None:
            self.past_documents.pop(new.version, None)
            self.past_documents[new.version] = new.document
            if len(self.past_documents) > MAX_PAST_DOCUMENTS:
                del self.past_documents[next(iter(self.past_documents))]
        if self.subscribers and (new.version != old.version or old.document is None):
            change |= self.document_update(old.version if old.document is not None else 0)
        self.broadcast(change)
        for subscriber in self.subscribers:
            if not subscriber.has_snapshot:
                self.send_snapshot(subscriber, now)
        return True

    def record_acknowledgement(self, subscriber: Subscriber, sequence_number: int, index: int) -> None:
        """A reader has taken the change of this number, and has orders up to this index."""
        subscriber.acknowledged_sequence_number = max(
            subscriber.acknowledged_sequence_number, sequence_number
        )
        subscriber.acknowledged_index = max(subscriber.acknowledged_index, index)

    def count_behind(self, index: int) -> int:
        """How many of those who follow have not acknowledged the orders of this place."""
        return sum(subscriber.acknowledged_index < index for subscriber in self.subscribers)


class GapError(Exception):
    """A change was missed, or doesn't fit what is here: the whole is to be asked for."""


class Follower(msgspec.Struct):
    """The side that is told. It never goes back: older orders are passed over."""

    published_state: PublishedState
    apply_patch: Callable[[Document, Document], Document]
    sequence_number: int = -1
    missing_since: dict[str, float] = msgspec.field(
        default_factory=dict
    )  # servers that the whole did not name
    differing_pools: frozenset[str] = frozenset()  # services whose set here is another than the one told of

    def reset_sequence(self) -> None:
        """A new connection: its numbers are others."""
        self.sequence_number = -1

    def apply(self, message: Message, now: float) -> tuple[bool, list[Entry]]:
        """Whether there are new orders, and the servers that are news. Raises GapError, BeatError."""
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
            # Also who is no news here: a control machine that has started again hears of them one by one.
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
        """News that came beside the connection, of servers that are known here. Raises BeatError."""
        known = [item for item in entries if str(item["i"]) in self.published_state.registry.entries]
        changed = self.published_state.registry.merge(known, now)
        self.published_state.publish_entries(changed, now)
        return changed

    def parse_committed(self, message: Message) -> CommittedState:
        """The orders in a message. Raises GapError where they build on what is not here."""
        old = self.published_state.committed
        index, version = int(message["index"]), int(message["version"])
        received_document, patch = decode_field("doc", message), decode_field("patch", message)
        document: Document | None
        if received_document is not None:
            document = received_document
        elif patch is not None:
            if old.document is None or old.version != message["from"]:
                raise GapError(f"a change of version {message['from']}, and here is {old.version}")
            document = self.apply_patch(old.document, patch)
        else:
            if version != old.version:
                raise GapError(f"version {version} is told of without its document")
            document = old.document
        return CommittedState(index, version, document, frozenset(message["evac"]))

    def remove_missing(self, now: float, retention_s: float) -> list[Entry]:
        """Servers that the one who tells does not know, for so long (s): they have ended."""
        gone = [instance_id for instance_id, since in self.missing_since.items() if now - since > retention_s]
        found: list[Entry] = []
        for instance_id in gone:
            del self.missing_since[instance_id]
            entry, changed = self.published_state.registry.mark_gone(instance_id, now, expired=True)
            if changed:
                found.append(entry)
        self.published_state.publish_entries(found, now)
        return found


class Lease(msgspec.Struct):
    """The right to act under the operator's word as known here, by this machine's own clock.

    Proven at a moment: then no later order had been acknowledged. It holds for ``lasts`` s from there, less
    than the time after which a key that was taken away must be of no more use (``revokeS``).
    """

    duration_s: float
    proven_at: float = -math.inf

    @property
    def expires_at(self) -> float:
        """When the right ends (s, monotonic)."""
        return self.proven_at + self.duration_s

    def renew(self, at: float) -> None:
        """``at``: before the question for the proof was sent, less the age of the answer."""
        self.proven_at = max(self.proven_at, at)
