"""Turns a comparison of the fleet's gateways into findings and tracks which of them to report. No I/O."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from latchspoke.fleet.compare import Comparison, Difference

# Consecutive censuses without a finding before it is cleared, so that a flapping one is raised only once.
CLEAR_AFTER = 2
MAX_NAMES = 5  # listed in one finding


def format_names(names: tuple[str, ...]) -> str:
    """Joins the names, abbreviated after ``MAX_NAMES``."""
    omitted = len(names) - MAX_NAMES
    return ", ".join(names[:MAX_NAMES]) + (f" and {omitted} more" if omitted > 0 else "")


def describe_difference(difference: Difference) -> str:
    """Lists each value with the instances that hold it, the largest group first."""
    sides = (f"{json.dumps(value)}: {format_names(names)}" for value, names in difference.holders)
    return "; ".join(sides)


def collect_findings(comparison: Comparison, unreachable_agents: Mapping[str, str]) -> dict[str, str]:
    """Finding texts by key: differing values, settings not applied, unreachable instances and agents."""
    found = {
        f"differs {difference.path}": describe_difference(difference) for difference in comparison.differences
    }
    found |= {f"out of date {name}": reason for name, reason in comparison.stale}
    found |= {f"unheard {name}": reason for name, reason in comparison.unreachable}
    return found | {f"unheard agent {name}": reason for name, reason in unreachable_agents.items()}


@dataclass(slots=True)
class FindingTracker:
    """Compares successive censuses with the findings on record."""

    clear_counts: dict[str, int] = field(default_factory=dict)

    def update(
        self, findings: Mapping[str, str], open_findings: Mapping[str, str]
    ) -> tuple[dict[str, str], tuple[str, ...]]:
        """Returns the findings to report (new or with a changed text) and the keys of those that ended."""
        for key in open_findings:
            self.clear_counts[key] = 0 if key in findings else self.clear_counts.get(key, 0) + 1
        for key in [key for key in self.clear_counts if key not in open_findings]:
            del self.clear_counts[key]
        reported = {key: text for key, text in findings.items() if open_findings.get(key) != text}
        return reported, tuple(
            sorted(key for key, count in self.clear_counts.items() if count >= CLEAR_AFTER)
        )
