"""What a census of the fleet comes to, and what of it is news. Pure."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from latchspoke.fleet.compare import Comparison, Difference

CALM = 2  # censuses in a row without a finding, before it counts as over: what flaps is raised once
NAMES_MOST = 5  # that a text names


def names_in_words(names: tuple[str, ...]) -> str:
    more = len(names) - NAMES_MOST
    return ", ".join(names[:NAMES_MOST]) + (f" and {more} more" if more > 0 else "")


def in_words(difference: Difference) -> str:
    """The sides, the largest first."""
    sides = (f"{json.dumps(value)}: {names_in_words(names)}" for value, names in difference.holders)
    return "; ".join(sides)


def findings(compared: Comparison, silent: Mapping[str, str]) -> dict[str, str]:
    """By key, in words: who differs on what, who has not taken up its file, what can't be known."""
    found = {f"differs {d.path}": in_words(d) for d in compared.differences}
    found |= {f"out of date {name}": why for name, why in compared.stale}
    found |= {f"unheard {name}": why for name, why in compared.unheard}
    return found | {f"unheard agent {name}": why for name, why in silent.items()}


@dataclass(slots=True)
class News:
    """What a holder of the census remembers between two of them."""

    calm: dict[str, int] = field(default_factory=dict)

    def of(
        self, found: Mapping[str, str], known: Mapping[str, str]
    ) -> tuple[dict[str, str], tuple[str, ...]]:
        """What is to be reported beside what is on record: new or other findings, and those over.

        A text that alone has changed is reported too, as who disagrees matters as much as on what.
        """
        for key in known:
            self.calm[key] = 0 if key in found else self.calm.get(key, 0) + 1
        for key in [key for key in self.calm if key not in known]:
            del self.calm[key]
        new = {key: text for key, text in found.items() if known.get(key) != text}
        return new, tuple(sorted(key for key, times in self.calm.items() if times >= CALM))
