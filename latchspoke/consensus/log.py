"""The in-memory log: the entries after the latest snapshot, and the cluster membership they define."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from latchspoke.consensus.records import Entry, Kind, Members, Snapshot


class Log:
    """Log entries by index, starting at 1; entries covered by the snapshot have been discarded."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.snapshot, self.entries = snapshot, list(entries)
        self.members = self.latest_members()

    @property
    def first_index(self) -> int:
        """Index of the first entry after the snapshot, whether or not it exists yet."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if the log is empty."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at ``last_index``."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Term of the entry at ``index``; None if it has been compacted away or does not exist yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def entries_between(self, first_index: int, last_index: int, limit: int = 1_000_000) -> tuple[Entry, ...]:
        """Entries from ``first_index`` to ``last_index`` inclusive, at most ``limit`` of them."""
        start = first_index - self.first_index
        return tuple(self.entries[start : min(last_index - self.first_index + 1, start + limit)])

    def truncate_from(self, first_index: int) -> bool:
        """Discards the entries from ``first_index`` on; returns whether there were any."""
        if first_index > self.last_index:
            return False
        del self.entries[first_index - self.first_index :]
        self.members = self.latest_members()
        return True

    def append(self, entry: Entry) -> None:
        """Adds the next entry. A membership entry takes effect at once, before it is committed."""
        assert entry.index == self.last_index + 1
        self.entries.append(entry)
        if entry.kind is Kind.MEMBERS:
            self.members = decode_members(entry)

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the entries covered by ``snapshot``; keeps later ones only if the log matches it."""
        if self.term_at(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries.clear()
        self.snapshot = snapshot
        self.members = self.latest_members()

    def latest_members(self) -> Members:
        """The membership of the last membership entry, committed or not, or else of the snapshot."""
        for entry in reversed(self.entries):
            if entry.kind is Kind.MEMBERS:
                return decode_members(entry)
        return self.snapshot.members

    def members_at(self, index: int) -> Members:
        """The membership defined by the entries up to ``index``."""
        for entry in reversed(self.entries[: max(index - self.snapshot.index, 0)]):
            if entry.kind is Kind.MEMBERS:
                return decode_members(entry)
        return self.snapshot.members

    def members_index(self) -> int:
        """Index of the last membership entry, or of the snapshot if there is none after it."""
        for entry in reversed(self.entries):
            if entry.kind is Kind.MEMBERS:
                return entry.index
        return self.snapshot.index


def decode_members(entry: Entry) -> Members:
    """The membership in the body of a membership entry."""
    return msgspec.msgpack.decode(entry.body, type=Members)


def members_entry(index: int, term: int, members: Members) -> Entry:
    """A log entry that puts ``members`` into force."""
    return Entry(index, term, Kind.MEMBERS, msgspec.msgpack.encode(members))
