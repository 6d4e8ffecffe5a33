"""The log in memory: entries after a snapshot, and who the members are by it."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from latchspoke.consensus.records import Entry, Kind, Members, Snapshot


class Log:
    """Indices begin at 1; those up to the snapshot's are no longer here."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.snapshot, self.entries = snapshot, list(entries)
        self.members = self.latest_members()

    @property
    def first_index(self) -> int:
        """The index of the first entry that is still here, or would be."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """The term of the entry there; None where that can't be told any more, or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def entries_between(self, first_index: int, last_index: int, limit: int = 1_000_000) -> tuple[Entry, ...]:
        """Entries from ``first`` to ``last``, both counted, and at most so many."""
        start = first_index - self.first_index
        return tuple(self.entries[start : min(last_index - self.first_index + 1, start + limit)])

    def truncate_from(self, first_index: int) -> bool:
        """Forget the entries from ``first`` on; whether there were any."""
        if first_index > self.last_index:
            return False
        del self.entries[first_index - self.first_index :]
        self.members = self.latest_members()
        return True

    def append(self, entry: Entry) -> None:
        assert entry.index == self.last_index + 1
        self.entries.append(entry)
        if entry.kind is Kind.MEMBERS:
            self.members = decode_members(entry)

    def compact(self, snapshot: Snapshot) -> None:
        """Entries up to the snapshot's go; those after it stay if they follow from it, else all go."""
        if self.term_at(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries.clear()
        self.snapshot = snapshot
        self.members = self.latest_members()

    def latest_members(self) -> Members:
        for entry in reversed(self.entries):
            if entry.kind is Kind.MEMBERS:
                return decode_members(entry)
        return self.snapshot.members

    def members_at(self, index: int) -> Members:
        """Who the members were by the entries up to ``index``."""
        for entry in reversed(self.entries[: max(index - self.snapshot.index, 0)]):
            if entry.kind is Kind.MEMBERS:
                return decode_members(entry)
        return self.snapshot.members

    def members_index(self) -> int:
        """Where the members in force stand, or the snapshot's index."""
        for entry in reversed(self.entries):
            if entry.kind is Kind.MEMBERS:
                return entry.index
        return self.snapshot.index


def decode_members(entry: Entry) -> Members:
    return msgspec.msgpack.decode(entry.body, type=Members)


def members_entry(index: int, term: int, members: Members) -> Entry:
    return Entry(index, term, Kind.MEMBERS, msgspec.msgpack.encode(members))
