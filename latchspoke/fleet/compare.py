"""Compares the views of several instances and reports where they differ.

Views are JSON-like objects. Each is flattened to dotted paths, and a path whose value is not the same on
all reachable instances is a difference. Paths that may differ between instances are excluded by pattern.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

MISSING = "(missing)"
# Paths of a gateway's view that must be the same across a fleet.
SHARED_PATHS = ("version", "settings.*", "discovery.address", "counter.address")
INSTANCE_PATHS = ("settings.index",)


@dataclass(frozen=True, slots=True)
class Difference:
    """One path with more than one value; ``majority`` is None where no value has more than half."""

    path: str
    holders: tuple[tuple[Any, tuple[str, ...]], ...]  # value and instance names, the largest group first
    majority: Any

    def deviating(self) -> tuple[str, ...]:
        """Instances without the majority's value; all of them if there is no majority."""
        majority_names = self.holders[0][1] if self.majority is not None else ()
        return tuple(name for _, names in self.holders for name in names if name not in majority_names)


@dataclass(frozen=True, slots=True)
class Comparison:
    """``compared`` names the instances with a view.

    ``unreachable`` and ``stale`` pair an instance with the reason why it has no view, or has not applied its
    settings file.
    """

    compared: tuple[str, ...]
    unreachable: tuple[tuple[str, str], ...]
    differences: tuple[Difference, ...]
    stale: tuple[tuple[str, str], ...]

    @property
    def agree(self) -> bool:
        """Whether all instances were reachable and nothing differs."""
        return not (self.unreachable or self.differences or self.stale)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yields dotted paths with their values; an empty object or list is a value."""
    if isinstance(value, Mapping) and value:
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list | tuple) and value:
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}[{index}]")
    else:
        yield path, value


def is_compared(path: str, shared: Iterable[str], excluded: Iterable[str]) -> bool:
    """Whether the path matches a shared pattern and no excluded one."""
    return any(fnmatchcase(path, pattern) for pattern in shared) and not any(
        fnmatchcase(path, pattern) for pattern in excluded
    )


def compare(
    views: Mapping[str, Mapping[str, Any] | str],
    shared: Iterable[str] = SHARED_PATHS,
    excluded: Iterable[str] = INSTANCE_PATHS,
) -> Comparison:
    """Compares ``views`` by instance; a string in place of a view says why there is none."""
    reachable = {name: view for name, view in views.items() if not isinstance(view, str)}
    unreachable = tuple((name, view) for name, view in sorted(views.items()) if isinstance(view, str))
    shared, excluded = tuple(shared), tuple(excluded)
    # For each path, the value by instance.
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
    # A digest differs whenever any covered value does, so it is reported only on its own.
    if any(not d.path.endswith("digest") for d in found):
        found = [d for d in found if not d.path.endswith("digest")]
    return Comparison(tuple(sorted(reachable)), unreachable, tuple(found), tuple(find_stale(reachable)))


def find_difference(path: str, column: Mapping[str, Any], names: Iterable[str]) -> Difference | None:
    """Groups the instances by their value of one path; None if all values are equal."""
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
    """Yields the instances that have not applied their settings file, with the reason."""
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
