"""What a census of the fleet comes to, and what of it is news. Pure."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from latchspoke.fleet.compare import Comparison, Difference

CLEAR_AFTER = 2  # censuses in a row without a finding, before it counts as over: what flaps is raised once
MAX_NAMES = 5  # that a text names


def format_names(names: tuple[str, ...]) -> str:
    omitted = len(names) - MAX_NAMES
    return ", ".join(names[:MAX_NAMES]) + (f" and {omitted} more" if omitted > 0 else "")


def describe_difference(difference: Difference) -> str:
    """The sides, the largest first."""
    sides = (f"{json.dumps(value)}: {format_names(names)}" for value, names in difference.holders)
    return "; ".join(sides)


def collect_findings(comparison: Comparison, unreachable_agents: Mapping[str, str]) -> dict[str, str]:
    """By key, in words: who differs on what, who has not taken up its file, what can't be known."""
    found = {f"differs {d.path}": describe_difference(d) for d in comparison.differences}
    found |= {f"out of date {name}": why for name, why in comparison.stale}
    found |= {f"unheard {name}": why for name, why in comparison.unreachable}
    return found | {f"unheard agent {name}": why for name, why in unreachable_agents.items()}


@dataclass(slots=True)
class FindingTracker:
    """What a holder of the census remembers between two of them."""

    clear_counts: dict[str, int] = field(default_factory=dict)

    def update(
        self, found: Mapping[str, str], known: Mapping[str, str]
    ) -> tuple[dict[str, str], tuple[str, ...]]:
        """What is to be reported beside what is on record: new or other findings, and those over.

        A text that alone has changed is reported too, as who disagrees matters as much as on what.
        """
        for key in known:
            self.clear_counts[key] = 0 if key in found else self.clear_counts.get(key, 0) + 1
        for key in [key for key in self.clear_counts if key not in known]:
            del self.clear_counts[key]
        new = {key: text for key, text in found.items() if known.get(key) != text}
        return new, tuple(sorted(key for key, count in self.clear_counts.items() if count >= CLEAR_AFTER))
