"""Logs of one JSON object a line. Which names stand for what is told by a typed record, or by custom."""

from __future__ import annotations

from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from latchspoke.traffic.readers import Entries, lines
from latchspoke.traffic.seen import Seen, Skipped, skipped

# Names in use, the first that is there counts; units of durations by their names.
TIMES = ("time", "timestamp", "ts", "@timestamp", "at", "time_iso8601", "msec")
METHODS = ("method", "request_method", "verb")
URLS = ("url", "uri", "request_uri", "path", "target")
STATUSES = ("status", "status_code", "code")
DURATIONS = {
    "duration": 1.0, "took": 1.0, "request_time": 1.0, "duration_s": 1.0, "duration_ms": 1e-3,
    "latency_ms": 1e-3, "duration_us": 1e-6,
}  # fmt: skip
HEADERS = ("headers", "request_headers")


def read_json_lines(path: str | Path) -> Entries:
    for number, data in lines(path):
        if data is None:
            yield skipped(number, "line too long")
        elif not data.strip():
            yield skipped(number, "empty line")
        else:
            yield read_object(number, data)


def read_object(number: int, data: bytes) -> Seen | Skipped:
    try:
        told: dict[str, Any] = msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.MsgspecError as e:
        return skipped(number, "line is no JSON object", e)
    url = first(told, URLS)
    if not isinstance(url, str) or not url:
        return skipped(number, "no request", data[:100].decode(errors="replace"))
    status = first(told, STATUSES)
    try:
        code = int(status) if status not in (None, "") else 0
        took = duration(told)
    except (TypeError, ValueError):
        return skipped(number, "value out of range", data[:100].decode(errors="replace"))
    headers = first(told, HEADERS)
    pairs = headers.items() if isinstance(headers, dict) else ()
    return Seen(
        number, read_moment(first(told, TIMES)), str(first(told, METHODS) or "GET").upper(), url,
        max(code, 0), took, bool(told.get("ends")), {str(k).lower(): str(v) for k, v in pairs}, told,
    )  # fmt: skip


def first(told: dict[str, Any], names: tuple[str, ...]) -> Any:
    return next((told[name] for name in names if name in told), None)


def duration(told: dict[str, Any]) -> float | None:
    for name, unit in DURATIONS.items():
        if told.get(name) is not None:
            return float(told[name]) * unit
    return None


def read_moment(value: Any) -> float | None:
    """Unix time in s, ms, µs or ns, told apart by size, or ISO 8601 with its zone."""
    if isinstance(value, bool) or value is None:
        return None
    if isinstance(value, str):
        try:
            moment = datetime.fromisoformat(value)
        except ValueError:
            try:
                return read_moment(float(value))
            except ValueError:
                return None
        return moment.timestamp() if moment.tzinfo is not None else None
    number = float(value)
    for unit, above in ((1e-9, 1e17), (1e-6, 1e14), (1e-3, 1e11)):
        if number > above:
            return number * unit
    return number if number > 0 else None
