"""What a check has found."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass


class Level(enum.IntEnum):
    """How much a finding matters to a start."""

    GOOD = 0
    WARNING = 1  # a start is slow, or may fail later
    FAILURE = 2  # no process starts, or none serves


@dataclass(frozen=True, slots=True)
class Finding:
    """The result of one check, in one line."""

    check: str
    level: Level
    text: str

    def __str__(self) -> str:
        return f"{self.level.name.lower():8} {self.check:12} {self.text}"


def good(check: str, text: str) -> Finding:
    """Nothing is wrong."""
    return Finding(check, Level.GOOD, text)


def warning(check: str, text: str) -> Finding:
    """A start is slow, or may fail later."""
    return Finding(check, Level.WARNING, text)


def failure(check: str, text: str) -> Finding:
    """No process starts, or none serves."""
    return Finding(check, Level.FAILURE, text)


def worst(findings: Iterable[Finding]) -> Level:
    """The highest level of all findings."""
    return max((finding.level for finding in findings), default=Level.GOOD)
