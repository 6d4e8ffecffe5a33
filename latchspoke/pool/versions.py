"""The versions of sets of servers, as they travel with the numbered changes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from latchspoke.registry.registry import Entry, State

if TYPE_CHECKING:
    from latchspoke.distribution.board import Board


def asking(doc: dict[str, Any] | None) -> frozenset[str]:
    """The services of routes that keep callers at their servers."""
    found: set[str] = set()
    for listener in (doc or {}).get("listenerList", ()):
        for rule in listener["ruleSet"]:
            action = rule["actionSpec"]
            if action.get("affinity"):
                found.update(share["service"] for share in action.get("weightedSplit") or ())
                if action.get("service"):
                    found.add(action["service"])
    return frozenset(found)


@dataclass(slots=True)
class Versions:
    """Of the services for which it matters; for all others nothing is worked out, and nothing loaded."""

    index: int = -1
    services: frozenset[str] = field(default_factory=frozenset)

    def __call__(self, board: Board) -> dict[str, str]:
        """The version of the set of servers of each service that needs one."""
        if board.orders.index != self.index:
            self.index, self.services = board.orders.index, asking(board.orders.doc)
        if not self.services:
            return {}
        from barleyhub.affinity.order import Member, version

        sets: dict[str, dict[str, Entry]] = {name: {} for name in self.services}
        for entry in board.registry.entries.values():
            ready = entry.state is State.READY and entry.zone not in board.orders.evacuated
            if ready and entry.service in sets:
                known = sets[entry.service].get(entry.address)
                if known is None or known.silent or not entry.silent:
                    sets[entry.service][entry.address] = entry
        return {
            name: version(Member(e.address, e.slots, e.zone) for e in entries.values())
            for name, entries in sets.items()
        }
