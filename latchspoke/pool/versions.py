"""Versions of affinity pools, which are sent with changes so that gateways can detect a difference."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from latchspoke.registry.registry import Entry, State

if TYPE_CHECKING:
    from latchspoke.distribution.published_state import PublishedState


def affinity_services(doc: dict[str, Any] | None) -> frozenset[str]:
    """The services of routes with affinity."""
    services: set[str] = set()
    for listener in (doc or {}).get("listenerList", ()):
        for rule in listener["ruleSet"]:
            action = rule["actionSpec"]
            if action.get("affinity"):
                services.update(share["service"] for share in action.get("weightedSplit") or ())
                if action.get("service"):
                    services.add(action["service"])
    return frozenset(services)


@dataclass(slots=True)
class PoolVersions:
    """Computes the pool versions of services with affinity; without any, the hash module is not imported."""

    index: int = -1
    services: frozenset[str] = field(default_factory=frozenset)

    def __call__(self, published_state: PublishedState) -> dict[str, str]:
        """Pool version by service."""
        if published_state.committed.index != self.index:
            self.index, self.services = (
                published_state.committed.index,
                affinity_services(published_state.committed.document),
            )
        if not self.services:
            return {}
        from barleyhub.affinity.rendezvous import Member, pool_version

        by_address: dict[str, dict[str, Entry]] = {name: {} for name in self.services}
        for entry in published_state.registry.entries.values():
            ready = entry.state is State.READY and entry.zone not in published_state.committed.evacuated
            if ready and entry.service in by_address:
                other = by_address[entry.service].get(entry.address)
                if other is None or other.silent or not entry.silent:
                    by_address[entry.service][entry.address] = entry
        return {
            name: pool_version(Member(entry.address, entry.slots, entry.zone) for entry in entries.values())
            for name, entries in by_address.items()
        }
