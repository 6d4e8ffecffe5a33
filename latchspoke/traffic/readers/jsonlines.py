"""Reader of logs with one JSON object per line, under the field names in common use."""

from __future__ import annotations

from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from latchspoke.traffic.readers import Entries, numbered_lines
from latchspoke.traffic.recorded import RecordedExchange, SkippedEntry, skip_entry

# Accepted field names; the first one present is used. Durations map a name to its unit in seconds.
TIME_NAMES = ("time", "timestamp", "ts", "@timestamp", "at", "time_iso8601", "msec")
METHOD_NAMES = ("method", "request_method", "verb")
URL_NAMES = ("url", "uri", "request_uri", "path", "target")
STATUS_NAMES = ("status", "status_code", "code")
DURATION_UNITS_S = {
    "duration": 1.0, "took": 1.0, "request_time": 1.0, "duration_s": 1.0, "duration_ms": 1e-3,
    "latency_ms": 1e-3, "duration_us": 1e-6,
}  # fmt: skip
HEADER_NAMES = ("headers", "request_headers")


def read_json_lines(path: str | Path) -> Entries:
    for number, data in numbered_lines(path):
        if data is None:
            yield skip_entry(number, "line too long")
        elif not data.strip():
            yield skip_entry(number, "empty line")
        else:
            yield read_object(number, data)


def read_object(number: int, data: bytes) -> RecordedExchange | SkippedEntry:
    try:
        record: dict[str, Any] = msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.MsgspecError as e:
        return skip_entry(number, "line is no JSON object", e)
    url = first_present(record, URL_NAMES)
    if not isinstance(url, str) or not url:
        return skip_entry(number, "no request", data[:100].decode(errors="replace"))
    status = first_present(record, STATUS_NAMES)
    try:
        status_code = int(status) if status not in (None, "") else 0
        duration_s = duration(record)
    except (TypeError, ValueError):
        return skip_entry(number, "value out of range", data[:100].decode(errors="replace"))
    headers = first_present(record, HEADER_NAMES)
    pairs = headers.items() if isinstance(headers, dict) else ()
    return RecordedExchange(
        number, parse_time(first_present(record, TIME_NAMES)),
        str(first_present(record, METHOD_NAMES) or "GET").upper(), url, max(status_code, 0), duration_s,
        bool(record.get("ends")), {str(k).lower(): str(v) for k, v in pairs}, record,
    )  # fmt: skip


def first_present(record: dict[str, Any], names: tuple[str, ...]) -> Any:
    return next((record[name] for name in names if name in record), None)


def duration(record: dict[str, Any]) -> float | None:
    for name, unit in DURATION_UNITS_S.items():
        if record.get(name) is not None:
            return float(record[name]) * unit
    return None


def parse_time(value: Any) -> float | None:
    """Parse a Unix time in s, ms, µs or ns (chosen by magnitude) or an ISO 8601 time with a time zone."""
    if isinstance(value, bool) or value is None:
        return None
    if isinstance(value, str):
        try:
            moment = datetime.fromisoformat(value)
        except ValueError:
            try:
                return parse_time(float(value))
            except ValueError:
                return None
        return moment.timestamp() if moment.tzinfo is not None else None
    number = float(value)
    for unit, threshold in ((1e-9, 1e17), (1e-6, 1e14), (1e-3, 1e11)):
        if number > threshold:
            return number * unit
    return number if number > 0 else None
