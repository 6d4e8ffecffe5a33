"""A bound on what all connections of a process have written and their peers have not read."""

from __future__ import annotations

from typing import Protocol

UNCHECKED_BYTES = 16 * 1024  # that a connection may hold without a look at the others


class OutputConnection(Protocol):
    """A connection whose unread output counts."""

    @property
    def unread_bytes(self) -> int:
        """Written, and not yet taken by the peer."""
        ...

    def end(self, reason: str) -> None:
        """Close the connection at once."""
        ...


class OutputBudget:
    """Closes the connections with the most unread output when all together would have too much.

    What a closed connection holds is released only once it is lost.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.connections: set[OutputConnection] = set()
        self.closing: dict[OutputConnection, int] = {}  # what closed connections still hold
        self.closed = 0  # connections closed for want of room, since the start

    def add(self, connection: OutputConnection) -> None:
        """A connection has opened."""
        self.connections.add(connection)

    def remove(self, connection: OutputConnection) -> None:
        """A connection is lost."""
        self.connections.discard(connection)
        self.closing.pop(connection, None)

    def has_room(self, connection: OutputConnection, size: int) -> bool:
        """Whether a connection may write ``size`` more bytes; the slowest peers are closed for it."""
        if connection.unread_bytes + size <= UNCHECKED_BYTES:
            return True
        unread = {each: each.unread_bytes for each in self.connections}
        open_bytes = sum(unread.values())
        while unread and open_bytes + size > self.limit_bytes:
            slowest = max(unread, key=lambda each: unread[each])
            if not unread[slowest]:
                break
            open_bytes -= unread[slowest]
            self.close(slowest, unread.pop(slowest))
        if connection in self.closing:
            return False
        fits = open_bytes + sum(self.closing.values()) + size <= self.limit_bytes
        return fits or not (open_bytes or self.closing)  # a single message is always written

    def close(self, connection: OutputConnection, held_bytes: int) -> None:
        """Close a connection for want of room."""
        self.connections.discard(connection)
        self.closing[connection] = held_bytes
        self.closed += 1
        connection.end("peers do not read")
