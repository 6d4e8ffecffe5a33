"""The roster: which servers there are, as their beats say. Soft state under leases, never on disk. Pure."""

from latchspoke.roster.roster import Entry, Roster, State

__all__ = ["Entry", "Roster", "State"]
