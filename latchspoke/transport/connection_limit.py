"""A bound on the connections of callers, so that descriptors are left for the process's own connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class LimitedConnection(Protocol):
    """A connection of a caller."""

    @property
    def busy(self) -> bool:
        """Whether a call on it is being received or handled."""
        ...

    def abort(self) -> None:
        """Close it at once."""
        ...


class ConnectionLimit:
    """The open connections, by last use; above the limit, the one that has been idle longest is closed."""

    def __init__(self, most: int, count: Callable[[int], None] = lambda change: None) -> None:
        """``count`` gets each change of the number of connections."""
        self.most, self.count = most, count
        self.connections: dict[LimitedConnection, None] = {}

    def add(self, connection: LimitedConnection) -> None:
        """A connection was opened; close another one, or this one if all others are busy."""
        if len(self.connections) >= self.most:
            idle = next((other for other in self.connections if not other.busy), connection)
            self.remove(idle)
            idle.abort()
            if idle is connection:
                return
        self.connections[connection] = None
        self.count(1)

    def used(self, connection: LimitedConnection) -> None:
        """A call has arrived on a connection."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def remove(self, connection: LimitedConnection) -> None:
        """A connection has closed."""
        if connection in self.connections:
            del self.connections[connection]
            self.count(-1)
