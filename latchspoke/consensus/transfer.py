"""Transfers a snapshot in chunks, each acknowledged before the next is sent.

A large snapshot in a single message would delay the heartbeats behind it, and would be sent again whenever
its acknowledgement took longer than the retry interval. After a lost chunk the transfer resumes where it
stopped. Sans-I/O.
"""

from __future__ import annotations

import msgspec

from latchspoke.consensus.records import InstallPart, Snapshot

PART_BYTES = 256 * 1024  # of a snapshot's body; smaller snapshots are sent in one message


class OutgoingSnapshot(msgspec.Struct):
    """The leader's side of a transfer; keeps its snapshot even if the log is compacted again meanwhile."""

    snapshot: Snapshot
    offset: int = 0  # bytes acknowledged by the follower

    @property
    def fits_one_message(self) -> bool:
        """Whether it fits into one message."""
        return len(self.snapshot.body) <= PART_BYTES

    def next_part(self) -> bytes:
        """The next chunk of the body."""
        return self.snapshot.body[self.offset : self.offset + PART_BYTES]

    def acknowledge(self, index: int, offset: int) -> bool:
        """Records that the follower needs the bytes from ``offset`` on; False for a duplicate."""
        if index != self.snapshot.index or offset == self.offset:
            return False
        self.offset = offset
        return True


class IncomingSnapshot(msgspec.Struct):
    """The follower's side of a transfer, from one leader in one term."""

    source: str
    term: int
    index: int
    body: bytearray = msgspec.field(default_factory=bytearray)

    def accepts(self, part: InstallPart) -> bool:
        """Whether this chunk belongs to the transfer."""
        return (self.source, self.term, self.index) == (part.source, part.term, part.index)

    def append_part(self, part: InstallPart) -> Snapshot | None:
        """Appends a chunk if it is the next one; returns the snapshot once it is complete."""
        if part.offset == len(self.body):
            self.body += part.body
        if len(self.body) < part.total:
            return None
        return Snapshot(part.index, part.snapshot_term, part.members, bytes(self.body))
