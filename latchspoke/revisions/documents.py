"""Immutable rule documents: entries by path, digests by part, differences and contradictions.

Gateways import this module, so it uses the standard library only. Changing a document returns a new one that
shares the parts without changes.
"""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

Scalar = str | float
Entries = Mapping[str, Scalar]

PART_COUNT = 256
PLAN_LIMITS = "plans"  # PLAN.FIELD: number, which overrides the gateway's own file
BLOCKED = "blocked"  # customer key: reason
SET_ASIDE = "aside"  # server name: reason
KINDS = (PLAN_LIMITS, BLOCKED, SET_ASIDE)
PLAN_FIELDS = ("rate", "burst", "concurrency", "ceiling_rate", "ceiling_burst", "ceiling_slack")
MAX_TEXT_LENGTH = 200  # of a path or a reason, in characters


class DocumentError(ValueError):
    """A document or an entry is invalid; the message is one line."""


def part_index(path: str) -> int:
    """The part that holds a path; must be the same on gateways and members."""
    return zlib.crc32(path.encode()) % PART_COUNT


def digest_entries(entries: Entries) -> bytes:
    """Digest of one part, independent of the order of its entries."""
    text = json.dumps(sorted(entries.items()), separators=(",", ":"))
    return blake2b(text.encode(), digest_size=16).digest()


EMPTY_DIGEST = digest_entries({})


@dataclass(frozen=True, slots=True)
class Document:
    """Entries by path, hashed into parts. Create it with ``build_document`` or ``with_changes``."""

    parts: tuple[Entries, ...] = field(default_factory=lambda: ({},) * PART_COUNT)
    digests: tuple[bytes, ...] = (EMPTY_DIGEST,) * PART_COUNT

    @property
    def digest(self) -> str:
        """Digest of all entries in 32 hex digits; equal for equal documents."""
        return blake2b(b"".join(self.digests), digest_size=16).hexdigest()

    def __contains__(self, path: object) -> bool:
        return isinstance(path, str) and path in self.parts[part_index(path)]

    def __len__(self) -> int:
        return sum(map(len, self.parts))

    def get(self, path: str) -> Scalar | None:
        """Returns the entry at a path, or None."""
        return self.parts[part_index(path)].get(path)

    def items(self) -> Iterator[tuple[str, Scalar]]:
        """Yields all entries, ordered by part."""
        for part in self.parts:
            yield from part.items()

    def with_changes(self, put: Entries, removed: Iterable[str] = ()) -> Document:
        """Returns a new document; a path in both ``put`` and ``removed`` is put."""
        touched: dict[int, dict[str, Scalar]] = {}
        for path in removed:
            index = part_index(path)
            touched.setdefault(index, dict(self.parts[index])).pop(path, None)
        for path, value in put.items():
            index = part_index(path)
            touched.setdefault(index, dict(self.parts[index]))[path] = value
        return self.with_parts(touched)

    def with_parts(self, parts: Mapping[int, Entries]) -> Document:
        """Returns a new document with these parts replaced."""
        new_parts, digests = list(self.parts), list(self.digests)
        for index, entries in parts.items():
            new_parts[index], digests[index] = entries, digest_entries(entries)
        return Document(tuple(new_parts), tuple(digests))


def build_document(entries: Entries) -> Document:
    """Returns a document with these entries."""
    return Document().with_changes(entries)


@dataclass(frozen=True, slots=True)
class Change:
    """The difference between two documents."""

    put: dict[str, Scalar]
    removed: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Number of entries put or removed."""
        return len(self.put) + len(self.removed)


def diff(old: Document, new: Document) -> Change:
    """Computes the change from ``old`` to ``new``; parts with equal digests are skipped."""
    put: dict[str, Scalar] = {}
    removed: list[str] = []
    for index in range(PART_COUNT):
        if old.digests[index] == new.digests[index]:
            continue
        old_part, new_part = old.parts[index], new.parts[index]
        put |= {path: value for path, value in new_part.items() if old_part.get(path) != value}
        removed += [path for path in old_part if path not in new_part]
    return Change(put, tuple(sorted(removed)))


# Contradictions.


def permissiveness(path: str, value: Scalar | None) -> float:
    """How much a limit admits; 0 means no limit, except for ``ceiling_slack``. NaN without a value."""
    if value is None:
        return math.nan
    number = float(value)
    return math.inf if number == 0 and not path.endswith(".ceiling_slack") else number


def limit_contradiction(path: str, old: Scalar | None, new: Scalar | None) -> str:
    """Returns '' if a gateway with the old limit admits nothing that the new limit forbids."""
    if old is None or new is None:
        return f"{path}: {'from' if old is None else 'back to'} each gateway's own file, which may be looser"
    if permissiveness(path, new) < permissiveness(path, old):
        return f"{path}: {old:g} lowered to {new:g}"
    return ""


def contradictions(kind: str, old: Document, new: Document) -> list[str]:
    """Describes the contradicting entries; none if both versions may be applied at the same time.

    Loosening a rule contradicts nothing, as late gateways are only stricter. Tightening one does, as late
    gateways admit what others already refuse.
    """
    change = diff(old, new)
    if kind == PLAN_LIMITS:
        paths = sorted({*change.put, *change.removed})
        found = (limit_contradiction(path, old.get(path), new.get(path)) for path in paths)
        return [line for line in found if line]
    description = "blocked" if kind == BLOCKED else "set aside"
    return [f"{path}: {description}" for path in sorted(change.put) if path not in old]


def describe_change(kind: str, old: Document, new: Document, max_lines: int = 20) -> list[str]:
    """Lists the changed entries for operators, at most ``max_lines`` of them."""
    change = diff(old, new)
    lines = [f"{path}: {format_value(old.get(path))} -> {format_value(value)}"
             for path, value in sorted(change.put.items())]  # fmt: skip
    lines += [f"{path}: {format_value(old.get(path))} -> gone" for path in change.removed]
    omitted = len(lines) - max_lines
    return lines[:max_lines] + ([f"and {omitted} more"] if omitted > 0 else [])


def format_value(value: Scalar | None) -> str:
    """Text of an entry for operators."""
    return "none" if value is None else value or "there" if isinstance(value, str) else f"{value:g}"


def strictest(documents: Iterable[Document], least: Entries) -> dict[str, Scalar]:
    """Returns the least permissive limit for each path of the documents and ``least``."""
    found: dict[str, Scalar] = dict(least)
    for document in documents:
        for path, value in document.items():
            if path not in found or permissiveness(path, value) < permissiveness(path, found[path]):
                found[path] = value
    return found


# Validation.


def validate_entries(kind: str, entries: Entries) -> None:
    """Checks entries of a document; raises DocumentError."""
    if kind not in KINDS:
        raise DocumentError(f"there is no document {kind!r}; there are {', '.join(KINDS)}")
    for path, value in entries.items():
        if not path or len(path) > MAX_TEXT_LENGTH:
            raise DocumentError(f"{kind}: a path of {len(path)} characters; 1 to {MAX_TEXT_LENGTH} are taken")
        if kind == PLAN_LIMITS:
            validate_plan_limit(path, value)
        elif not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
            raise DocumentError(f"{kind}.{path}: {value!r}, where a reason in words is wanted")


def validate_plan_limit(path: str, value: Scalar) -> None:
    """Checks one entry of ``plans``; raises DocumentError."""
    plan, _, field_name = path.rpartition(".")
    if not plan or field_name not in PLAN_FIELDS:
        raise DocumentError(
            f"{PLAN_LIMITS}.{path}: no figure of a plan; they are PLAN.{', PLAN.'.join(PLAN_FIELDS)}"
        )
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise DocumentError(f"{PLAN_LIMITS}.{path}: {value!r}, where a number of at least 0 is wanted")
