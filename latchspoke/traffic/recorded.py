"""Output of the readers: an exchange as recorded, before attributes and arrival time are determined."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class RecordedExchange:
    """One recorded request with its response.

    ``at`` is Unix time in seconds, None if not recorded; with ``at_is_end`` it is the time of the response
    instead of the request. ``duration_s`` is None if unknown; ``status`` is 0 without a response. Header
    names are in lower case; ``fields`` holds all other fields of the source.
    """

    line: int
    at: float | None
    method: str
    url: str
    status: int = 0
    duration_s: float | None = None
    at_is_end: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    fields: dict[str, Any] = field(default_factory=dict)
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class SkippedEntry:
    """An entry that is not imported. ``reason`` is one of a fixed set; ``detail`` shows the input."""

    line: int
    reason: str
    detail: str = ""


MAX_DETAIL_CHARS = 120


def skip_entry(line: int, reason: str, detail: object = "") -> SkippedEntry:
    text = str(detail)
    return SkippedEntry(
        line, reason, text if len(text) <= MAX_DETAIL_CHARS else f"{text[:MAX_DETAIL_CHARS]}..."
    )
