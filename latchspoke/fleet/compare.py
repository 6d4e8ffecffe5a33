"""Which instances disagree, on what, and which side is the larger.

Views are plain objects (what JSON can hold). They are flattened to paths, each path's values are grouped,
and a path where not all that were heard hold one value is a difference. What an instance may rightfully
have for itself is left out by pattern.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

MISSING = "(missing)"
# Paths of a gateway's view that should be the same all over a fleet.
SHARED_PATHS = ("version", "settings.*", "discovery.address", "counter.address")
INSTANCE_PATHS = ("settings.index",)


@dataclass(frozen=True, slots=True)
class Difference:
    """One path with more than one value; ``majority`` is None where no value has more than half."""

    path: str
    holders: tuple[tuple[Any, tuple[str, ...]], ...]  # value and names, the most first
    majority: Any

    def deviating(self) -> tuple[str, ...]:
        """Who does not hold the majority's value; all, where there is none."""
        majority_names = self.holders[0][1] if self.majority is not None else ()
        return tuple(name for _, names in self.holders for name in names if name not in majority_names)


@dataclass(frozen=True, slots=True)
class Comparison:
    """``compared`` gave a view; ``unheard`` did not, with why; ``stale`` have not taken their file up."""

    compared: tuple[str, ...]
    unreachable: tuple[tuple[str, str], ...]
    differences: tuple[Difference, ...]
    stale: tuple[tuple[str, str], ...]

    @property
    def agree(self) -> bool:
        """Only where all were heard and nothing differs: silence is no agreement."""
        return not (self.unreachable or self.differences or self.stale)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Dotted paths with their values; an empty object or list stands for itself."""
    if isinstance(value, Mapping) and value:
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list | tuple) and value:
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}[{index}]")
    else:
        yield path, value


def is_compared(path: str, shared: Iterable[str], excluded: Iterable[str]) -> bool:
    return any(fnmatchcase(path, pattern) for pattern in shared) and not any(
        fnmatchcase(path, pattern) for pattern in excluded
    )


def compare(
    views: Mapping[str, Mapping[str, Any] | str],
    shared: Iterable[str] = SHARED_PATHS,
    excluded: Iterable[str] = INSTANCE_PATHS,
) -> Comparison:
    """``views`` by instance; a text in a view's place says why there is none."""
    reachable = {name: view for name, view in views.items() if not isinstance(view, str)}
    unreachable = tuple((name, view) for name, view in sorted(views.items()) if isinstance(view, str))
    shared, excluded = tuple(shared), tuple(excluded)
    # One dictionary a path, value by name; a thousand equal views cost their reading and nothing else.
    columns: dict[str, dict[str, Any]] = {}
    for name, view in reachable.items():
        for path, value in flatten(view):
            columns.setdefault(path, {})[name] = value
    found = []
    for path in sorted(columns):
        if is_compared(path, shared, excluded) and (
            difference := find_difference(path, columns[path], reachable)
        ):
            found.append(difference)
    # Digests differ wherever a figure does: they speak only where no figure tells what it is.
    if any(not d.path.endswith("digest") for d in found):
        found = [d for d in found if not d.path.endswith("digest")]
    return Comparison(tuple(sorted(reachable)), unreachable, tuple(found), tuple(find_stale(reachable)))


def find_difference(path: str, column: Mapping[str, Any], names: Iterable[str]) -> Difference | None:
    groups: dict[str, tuple[Any, list[str]]] = {}
    total = 0
    for name in names:
        value = column.get(name, MISSING)
        groups.setdefault(json.dumps(value, sort_keys=True), (value, []))[1].append(name)
        total += 1
    if len(groups) < 2:
        return None
    ranked = sorted(groups.values(), key=lambda group: (-len(group[1]), group[1][0]))
    holders = tuple((value, tuple(sorted(members))) for value, members in ranked)
    majority = holders[0][0] if 2 * len(holders[0][1]) > total else None
    return Difference(path, holders, majority)


def find_stale(views: Mapping[str, Mapping[str, Any]]) -> Iterator[tuple[str, str]]:
    """Who holds a file that it does not go by, and how that came."""
    for name in sorted(views):
        file = views[name].get("file")
        if not isinstance(file, Mapping) or file.get("taken_up", True):
            continue
        if file.get("error"):
            yield name, f"its file can't be used: {file['error']}"
            continue
        active_digest = views[name].get("settings", {}).get("digest")
        changed = "settings" if active_digest != file.get("digest") else "addresses"
        yield name, f"its file has other {changed}, not taken up"
