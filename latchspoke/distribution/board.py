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
Doc = dict[str, Any]

PACKED = 2048  # bytes; what is larger travels deflated, as gateways' links are narrow
FAST = 1  # zlib's level where time matters more than bytes
PAST = 30  # documents that are kept, so that who comes back after a while is told only what changed


def pack(name: str, value: Doc) -> Message:
    """A field of a message: as it is, or deflated where it is large."""
    data = msgspec.json.encode(value)
    if len(data) < PACKED:
        return {name: value}
    return {f"{name}z": b64encode(zlib.compress(data)).decode()}


def pack_entries(entries: list[Doc], packs: bool) -> Message:
    """The field ``e`` of a message: servers, deflated where they are many and the reader can inflate."""
    data = msgspec.json.encode(entries)
    if not packs or len(data) < PACKED:
        return {"e": entries}
    return {"ez": b64encode(zlib.compress(data, FAST)).decode()}


def unpack_entries(message: Message) -> list[Doc]:
    """The servers that ``pack_entries`` packed; none if there is no such field. Raises ValueError."""
    if "ez" not in message:
        return list(message.get("e", ()))
    try:
        return msgspec.json.decode(zlib.decompress(b64decode(message["ez"])), type=list[dict[str, Any]])
    except (zlib.error, msgspec.MsgspecError) as e:
        raise ValueError(f"servers can't be read: {e}") from None


def unpack(name: str, message: Message) -> Doc | None:
    """The field that ``pack`` made, or None. Raises ValueError."""
    if name in message:
        return message[name]  # type: ignore[no-any-return]
    if f"{name}z" not in message:
        return None
    try:
        return msgspec.json.decode(zlib.decompress(b64decode(message[f"{name}z"])), type=dict[str, Any])
    except (zlib.error, msgspec.MsgspecError) as e:
        raise ValueError(f"{name} can't be read: {e}") from None


class Orders(msgspec.Struct):
    """The operator's word as of one place in the register's log; 0: nothing yet."""

    index: int = 0
    version: int = 0
    doc: Doc | None = None
    evacuated: frozenset[str] = frozenset()


class Reader(msgspec.Struct, eq=False):
    """One who follows, on one connection."""

    name: str
    send: Callable[[Message], object]
    whole: bool = False  # has been given the whole, so that changes make sense
    acknowledged: int = 0
    index: int = 0  # of the orders that it has acknowledged
    version: int = 0  # of the configuration that it has, as it last said
    zone: str = ""
    packs: bool = False  # it can read servers that are deflated


class Board(msgspec.Struct):
    """The newest state, and who follows it."""

    registry: Registry
    orders: Orders = msgspec.field(default_factory=Orders)
    number: int = 0
    readers: list[Reader] = msgspec.field(default_factory=list)
    # Gives the change between two documents, or None where the whole is shorter.
    difference: Callable[[Doc, Doc], Doc | None] | None = None
    # Gives the versions of the sets of servers by service, where callers are kept at their servers.
    versions: Callable[[Board], dict[str, str]] | None = None
    past: dict[int, Doc] = msgspec.field(default_factory=dict)  # documents by version, the newest last
    # What leads to the document in force, by the version that a reader has (0: none that is kept): readers
    # who come back together share the work of packing it.
    packed: dict[int, Message] = msgspec.field(default_factory=dict)
    packed_version: int = 0

    def join(self, reader: Reader, now: float) -> None:
        """A reader has connected; it is told the whole if there is one."""
        self.readers.append(reader)
        if self.orders.index:
            self.tell_whole(reader, now)

    def leave(self, reader: Reader) -> None:
        """A reader has gone."""
        if reader in self.readers:
            self.readers.remove(reader)

    def tell_whole(self, reader: Reader, now: float) -> None:
        """Tell one reader all: orders, document and servers."""
        reader.whole = True
        orders = self.orders
        whole: Message = {
            "k": "whole",
            "n": self.number,
            "index": orders.index,
            "version": orders.version,
            "evac": sorted(orders.evacuated),
        }
        whole |= pack_entries(self.registry.whole(now), reader.packs)
        reader.send(whole | self.changed(reader.version) | self.pools())

    def changed(self, version: int) -> Message:
        """The document for who has that version of it: nothing, a change, or all of it."""
        orders = self.orders
        if orders.doc is None:
            return {"doc": None}
        if version == orders.version:
            return {}
        if orders.version != self.packed_version:
            self.packed, self.packed_version = {}, orders.version
        known = version if version in self.past else 0
        if known not in self.packed:
            self.packed[known] = self.pack_change(known, orders.doc)
        return self.packed[known]

    def pack_change(self, version: int, doc: Doc) -> Message:
        """The change from a document that is kept, or the whole where that is shorter or there is none."""
        old = self.past.get(version)
        if old is not None and self.difference is not None:
            patch = self.difference(old, doc)
            if patch is not None:
                return pack("patch", patch) | {"from": version}
        return pack("doc", doc)

    def pools(self) -> dict[str, dict[str, str]]:
        """The field that tells the versions of sets of servers, if routes need them."""
        found = self.versions(self) if self.versions is not None else None
        return {"pools": found} if found else {}

    def tell(self, message: Message, packed: Message | None = None) -> None:
        """A change, numbered, to all that have the whole; ``packed``: for those who inflate servers."""
        self.number += 1
        number = {"n": self.number}
        plain, packed = message | number, (message if packed is None else packed) | number
        for reader in list(self.readers):
            if reader.whole:
                reader.send(packed if reader.packs else plain)

    def servers(self, entries: Iterable[Entry], now: float) -> None:
        """These are news."""
        news = list(entries)
        if news and not self.readers:
            self.number += 1  # nobody follows here, as at most gateways
        elif news:
            told = [entry.wire(now) for entry in news]
            rest = {"k": "servers"} | self.pools()
            self.tell(rest | {"e": told}, rest | pack_entries(told, True))

    def order(self, new: Orders, now: float) -> bool:
        """The operator's word has changed; whether this is newer than what was known."""
        old = self.orders
        if new.index <= old.index:
            return False
        self.orders = new
        change: Message = {
            "k": "orders",
            "index": new.index,
            "version": new.version,
            "evac": sorted(new.evacuated),
        }
        if new.doc is not None:
            self.past.pop(new.version, None)
            self.past[new.version] = new.doc
            if len(self.past) > PAST:
                del self.past[next(iter(self.past))]
        if self.readers and (new.version != old.version or old.doc is None):
            change |= self.changed(old.version if old.doc is not None else 0)
        self.tell(change)
        for reader in self.readers:
            if not reader.whole:
                self.tell_whole(reader, now)
        return True

    def acknowledged(self, reader: Reader, number: int, index: int) -> None:
        """A reader has taken the change of this number, and has orders up to this index."""
        reader.acknowledged = max(reader.acknowledged, number)
        reader.index = max(reader.index, index)

    def behind(self, index: int) -> int:
        """How many of those who follow have not acknowledged the orders of this place."""
        return sum(reader.index < index for reader in self.readers)


class GapError(Exception):
    """A change was missed, or doesn't fit what is here: the whole is to be asked for."""


class Follower(msgspec.Struct):
    """The side that is told. It never goes back: older orders are passed over."""

    board: Board
    patched: Callable[[Doc, Doc], Doc]
    number: int = -1
    stale_since: dict[str, float] = msgspec.field(default_factory=dict)  # servers that the whole did not name
    differing: frozenset[str] = frozenset()  # services whose set here is another than the one told of

    def begin(self) -> None:
        """A new connection: its numbers are others."""
        self.number = -1

    def take(self, message: Message, now: float) -> tuple[bool, list[Entry]]:
        """Whether there are new orders, and the servers that are news. Raises GapError, BeatError."""
        kind, number = message["k"], int(message["n"])
        if kind != "whole" and (self.number < 0 or number != self.number + 1):
            raise GapError(f"change {number} after {self.number}")
        self.number = number
        ordered = False
        if kind in ("whole", "orders") and int(message["index"]) > self.board.orders.index:
            ordered = self.board.order(self.read(message), now)
        told = unpack_entries(message)
        entries = self.board.registry.merge(told, now)
        if kind == "whole":
            named = {str(each["i"]) for each in told}
            self.stale_since = {i: now for i in self.board.registry.entries if i not in named}
        else:
            # Also who is no news here: a control machine that has started again hears of them one by one.
            for each in told:
                self.stale_since.pop(str(each["i"]), None)
        self.board.servers(entries, now)
        if "pools" in message or self.differing:
            mine, theirs = self.board.pools().get("pools", {}), message.get("pools", {})
            self.differing = frozenset(name for name in theirs if theirs[name] != mine.get(name))
        return ordered, entries

    def overheard(self, entries: Iterable[Doc], now: float) -> list[Entry]:
        """News that came beside the connection, of servers that are known here. Raises BeatError."""
        known = [each for each in entries if str(each["i"]) in self.board.registry.entries]
        found = self.board.registry.merge(known, now)
        self.board.servers(found, now)
        return found

    def read(self, message: Message) -> Orders:
        """The orders in a message. Raises GapError where they build on what is not here."""
        old = self.board.orders
        index, version = int(message["index"]), int(message["version"])
        given, patch = unpack("doc", message), unpack("patch", message)
        doc: Doc | None
        if given is not None:
            doc = given
        elif patch is not None:
            if old.doc is None or old.version != message["from"]:
                raise GapError(f"a change of version {message['from']}, and here is {old.version}")
            doc = self.patched(old.doc, patch)
        else:
            if version != old.version:
                raise GapError(f"version {version} is told of without its document")
            doc = old.doc
        return Orders(index, version, doc, frozenset(message["evac"]))

    def forget(self, now: float, after: float) -> list[Entry]:
        """Servers that the one who tells does not know, for so long (s): they have ended."""
        gone = [i for i, since in self.stale_since.items() if now - since > after]
        found: list[Entry] = []
        for ident in gone:
            del self.stale_since[ident]
            entry, news = self.board.registry.leave(ident, now, lost=True)
            if news:
                found.append(entry)
        self.board.servers(found, now)
        return found


class Lease(msgspec.Struct):
    """The right to act under the operator's word as known here, by this machine's own clock.

    Proven at a moment: then no later order had been acknowledged. It holds for ``lasts`` s from there, less
    than the time after which a key that was taken away must be of no more use (``revokeS``).
    """

    lasts: float
    proven_at: float = -math.inf

    @property
    def until(self) -> float:
        """When the right ends (s, monotonic)."""
        return self.proven_at + self.lasts

    def proven(self, at: float) -> None:
        """``at``: before the question for the proof was sent, less the age of the answer."""
        self.proven_at = max(self.proven_at, at)
