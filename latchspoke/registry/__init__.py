"""The server registry: soft state that expires without heartbeats and is never on disk. No I/O."""

from latchspoke.registry.registry import Entry, Registry, State

__all__ = ["Entry", "Registry", "State"]
