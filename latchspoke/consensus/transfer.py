"""A snapshot in parts, each acknowledged before the next is sent.

A snapshot of many megabytes in one message would hold up heartbeats behind it, and would be sent anew each
time that its acknowledgement takes longer than a retry. Parts are bounded by ``PART_BYTES``, and a transfer
goes on from where it was after a lost part. Pure: no I/O, no clock.
"""

from __future__ import annotations

import msgspec

from latchspoke.consensus.records import InstallPart, Snapshot

PART_BYTES = 256 * 1024  # of a snapshot's body; smaller snapshots go whole


class OutgoingSnapshot(msgspec.Struct):
    """The leader's side of one transfer. The snapshot stays the same, even if the log gets a newer one."""

    snapshot: Snapshot
    offset: int = 0  # bytes that the other side has acknowledged

    @property
    def fits_one_message(self) -> bool:
        """Whether it fits into one message."""
        return len(self.snapshot.body) <= PART_BYTES

    def next_part(self) -> bytes:
        """The bytes to be sent next."""
        return self.snapshot.body[self.offset : self.offset + PART_BYTES]

    def acknowledge(self, index: int, offset: int) -> bool:
        """The other side wants the bytes from ``offset`` on; False for a repeated word on what is known."""
        if index != self.snapshot.index or offset == self.offset:
            return False
        self.offset = offset
        return True


class IncomingSnapshot(msgspec.Struct):
    """The follower's side of one transfer, from one leader in one term."""

    source: str
    term: int
    index: int
    body: bytearray = msgspec.field(default_factory=bytearray)

    def accepts(self, part: InstallPart) -> bool:
        """Whether this part belongs to the transfer."""
        return (self.source, self.term, self.index) == (part.source, part.term, part.index)

    def append_part(self, part: InstallPart) -> Snapshot | None:
        """Append a part that follows; the snapshot once all of it is here."""
        if part.offset == len(self.body):
            self.body += part.body
        if len(self.body) < part.total:
            return None
        return Snapshot(part.index, part.snapshot_term, part.members, bytes(self.body))
