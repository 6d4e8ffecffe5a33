"""Documents as values: entries by path, a digest for each part, changes, and what contradicts what.

A gateway loads this, so it needs nothing beyond the standard library. A document is never changed: a change
makes another one, which shares all parts that the change does not touch.
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

PARTS = 256
FIGURES = "plans"  # PLAN.FIGURE: number, over what a gateway's own file says
BLOCKED = "blocked"  # customers' keys, each with why
ASIDE = "aside"  # servers' names, each with why
KINDS = (FIGURES, BLOCKED, ASIDE)
FIELDS = ("rate", "burst", "concurrency", "ceiling_rate", "ceiling_burst", "ceiling_slack")
TEXT_MOST = 200  # characters of a path or a reason


class DocumentError(ValueError):
    """No such document can be; one line says what and where."""


def part_of(path: str) -> int:
    return zlib.crc32(path.encode()) % PARTS


def digest_of(entries: Entries) -> bytes:
    text = json.dumps(sorted(entries.items()), separators=(",", ":"))
    return blake2b(text.encode(), digest_size=16).digest()


EMPTY = digest_of({})


@dataclass(frozen=True, slots=True)
class Document:
    """Use ``changed`` and ``made_of``; parts and their digests go together."""

    parts: tuple[Entries, ...] = field(default_factory=lambda: ({},) * PARTS)
    digests: tuple[bytes, ...] = (EMPTY,) * PARTS

    @property
    def digest(self) -> str:
        """Of the whole, 32 hex digits: the same for equal documents, however they came to be."""
        return blake2b(b"".join(self.digests), digest_size=16).hexdigest()

    def __contains__(self, path: object) -> bool:
        return isinstance(path, str) and path in self.parts[part_of(path)]

    def __len__(self) -> int:
        return sum(map(len, self.parts))

    def get(self, path: str) -> Scalar | None:
        return self.parts[part_of(path)].get(path)

    def items(self) -> Iterator[tuple[str, Scalar]]:
        for part in self.parts:
            yield from part.items()

    def changed(self, put: Entries, gone: Iterable[str] = ()) -> Document:
        """Another document; entries in both are put."""
        touched: dict[int, dict[str, Scalar]] = {}
        for path in gone:
            number = part_of(path)
            touched.setdefault(number, dict(self.parts[number])).pop(path, None)
        for path, value in put.items():
            number = part_of(path)
            touched.setdefault(number, dict(self.parts[number]))[path] = value
        return self.with_parts(touched)

    def with_parts(self, parts: Mapping[int, Entries]) -> Document:
        """With whole parts in the place of others."""
        new, digests = list(self.parts), list(self.digests)
        for number, entries in parts.items():
            new[number], digests[number] = entries, digest_of(entries)
        return Document(tuple(new), tuple(digests))


def made_of(entries: Entries) -> Document:
    return Document().changed(entries)


@dataclass(frozen=True, slots=True)
class Change:
    """What leads from one document to another."""

    put: dict[str, Scalar]
    gone: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        return len(self.put) + len(self.gone)


def between(old: Document, new: Document) -> Change:
    """Only parts whose digests differ are looked at."""
    put: dict[str, Scalar] = {}
    gone: list[str] = []
    for number in range(PARTS):
        if old.digests[number] == new.digests[number]:
            continue
        before, after = old.parts[number], new.parts[number]
        put |= {path: value for path, value in after.items() if before.get(path) != value}
        gone += [path for path in before if path not in after]
    return Change(put, tuple(sorted(gone)))


# What contradicts what.


def loose(path: str, value: Scalar | None) -> float:
    """How much a figure lets through; 0 stands for no quota at all."""
    if value is None:
        return math.nan
    number = float(value)
    return math.inf if number == 0 and not path.endswith(".ceiling_slack") else number


def figure_contradicts(path: str, old: Scalar | None, new: Scalar | None) -> str:
    """'' where who acts under the old figure lets nothing through that the new one forbids."""
    if old is None or new is None:
        return f"{path}: {'from' if old is None else 'back to'} each gateway's own file, which may be looser"
    if loose(path, new) < loose(path, old):
        return f"{path}: {old:g} lowered to {new:g}"
    return ""


def contradictions(kind: str, old: Document, new: Document) -> list[str]:
    """In words, a line a path; none where old and new may be acted on side by side for any time.

    Loosening contradicts nothing: who is late with it is merely strict. Tightening does: who is late lets
    through what others already refuse.
    """
    change = between(old, new)
    if kind == FIGURES:
        paths = sorted({*change.put, *change.gone})
        found = (figure_contradicts(path, old.get(path), new.get(path)) for path in paths)
        return [line for line in found if line]
    word = "blocked" if kind == BLOCKED else "set aside"
    return [f"{path}: {word}" for path in sorted(change.put) if path not in old]


def words(kind: str, old: Document, new: Document, most: int = 20) -> list[str]:
    """What a change comes to, for people."""
    change = between(old, new)
    lines = [f"{path}: {value_in_words(old.get(path))} -> {value_in_words(value)}"
             for path, value in sorted(change.put.items())]  # fmt: skip
    lines += [f"{path}: {value_in_words(old.get(path))} -> gone" for path in change.gone]
    more = len(lines) - most
    return lines[:most] + ([f"and {more} more"] if more > 0 else [])


def value_in_words(value: Scalar | None) -> str:
    return "none" if value is None else value or "there" if isinstance(value, str) else f"{value:g}"


def strictest(documents: Iterable[Document], least: Entries) -> dict[str, Scalar]:
    """Of figures: by path the one that lets the least through, ``least`` counted in."""
    found: dict[str, Scalar] = dict(least)
    for document in documents:
        for path, value in document.items():
            if path not in found or loose(path, value) < loose(path, found[path]):
                found[path] = value
    return found


# What can stand in one.


def check(kind: str, entries: Entries) -> None:
    """Raises DocumentError."""
    if kind not in KINDS:
        raise DocumentError(f"there is no document {kind!r}; there are {', '.join(KINDS)}")
    for path, value in entries.items():
        if not path or len(path) > TEXT_MOST:
            raise DocumentError(f"{kind}: a path of {len(path)} characters; 1 to {TEXT_MOST} are taken")
        if kind == FIGURES:
            check_figure(path, value)
        elif not isinstance(value, str) or len(value) > TEXT_MOST:
            raise DocumentError(f"{kind}.{path}: {value!r}, where a reason in words is wanted")


def check_figure(path: str, value: Scalar) -> None:
    plan, _, name = path.rpartition(".")
    if not plan or name not in FIELDS:
        raise DocumentError(f"{FIGURES}.{path}: no figure of a plan; they are PLAN.{', PLAN.'.join(FIELDS)}")
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise DocumentError(f"{FIGURES}.{path}: {value!r}, where a number of at least 0 is wanted")
