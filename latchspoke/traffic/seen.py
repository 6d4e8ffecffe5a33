"""What every reader gives: one exchange as it was recorded, before it is known whose it is or when."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Seen:
    """One recorded exchange.

    ``at`` is Unix time in seconds, None where none was recorded; ``ends`` says that it is the time of the
    answer and not of the request. ``took`` is in seconds, None where unknown; ``status`` is 0 where no
    answer came. Header names are in lower case; ``fields`` are whatever else the source names.
    """

    line: int
    at: float | None
    method: str
    url: str
    status: int = 0
    took: float | None = None
    ends: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    fields: dict[str, Any] = field(default_factory=dict)
    body: int = 0


@dataclass(frozen=True, slots=True)
class Skipped:
    """Something that can't be read; ``reason`` is one of few words, ``detail`` shows what stood there."""

    line: int
    reason: str
    detail: str = ""


DETAIL_MOST = 120


def skipped(line: int, reason: str, detail: object = "") -> Skipped:
    text = str(detail)
    return Skipped(line, reason, text if len(text) <= DETAIL_MOST else f"{text[:DETAIL_MOST]}...")
