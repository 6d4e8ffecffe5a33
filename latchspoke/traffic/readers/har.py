"""Reader of HAR 1.2 captures, including aborted requests.

Only the fields in use are decoded. A capture is a single JSON object and is read into memory, so its size
is limited.
"""

from __future__ import annotations

from datetime import datetime
from pathlib import Path

import msgspec

from latchspoke.traffic.readers import Entries
from latchspoke.traffic.recorded import RecordedExchange, SkippedEntry, skip_entry

MAX_CAPTURE_BYTES = 1024 * 1024 * 1024
SKIPPED_SCHEMES = ("data:", "blob:", "chrome", "ws:", "wss:", "about:")


class HarHeader(msgspec.Struct):
    name: str = ""
    value: str = ""


class HarRequest(msgspec.Struct, rename={"body_size": "bodySize"}):
    method: str
    url: str
    headers: list[HarHeader] = []
    body_size: float = 0


class HarResponse(msgspec.Struct):
    status: int = 0


class HarTimings(msgspec.Struct):
    """Milliseconds; -1 where a phase does not apply."""

    blocked: float | None = -1
    dns: float | None = -1
    connect: float | None = -1
    send: float | None = -1
    wait: float | None = -1
    receive: float | None = -1


class HarEntry(msgspec.Struct, rename={"started": "startedDateTime", "server": "serverIPAddress"}):
    request: HarRequest
    started: str = ""
    time: float | None = -1
    response: HarResponse | None = None
    timings: HarTimings | None = None
    server: str = ""
    connection: str = ""


class HarLog(msgspec.Struct):
    entries: list[msgspec.Raw]
    version: str = ""


class Har(msgspec.Struct):
    log: HarLog


def read_har(path: str | Path) -> Entries:
    """Read the entries in file order, which need not be that of their times."""
    size = Path(path).stat().st_size
    if size > MAX_CAPTURE_BYTES:
        yield skip_entry(0, "capture too large", f"{size} bytes")
        return
    try:
        raw: list[msgspec.Raw] = msgspec.json.decode(Path(path).read_bytes(), type=Har).log.entries
    except msgspec.MsgspecError as e:
        yield skip_entry(0, "no HAR capture", e)
        return
    for number, entry in enumerate(raw, 1):
        yield read_entry(number, entry)


def read_entry(number: int, raw: msgspec.Raw) -> RecordedExchange | SkippedEntry:
    try:
        entry: HarEntry = msgspec.json.decode(raw, type=HarEntry)
    except msgspec.MsgspecError as e:
        return skip_entry(number, "entry can't be read", e)
    request = entry.request
    if request.url.startswith(SKIPPED_SCHEMES):
        return skip_entry(number, "no HTTP request", request.url)
    headers = {header.name.lower(): header.value for header in request.headers}
    status = entry.response.status if entry.response is not None else 0
    # An aborted request has a status of 0 or less, or no response; its duration may be recorded.
    return RecordedExchange(
        number, parse_time(entry.started), request.method.upper(), request.url, max(status, 0),
        duration(entry), False, headers,
        {"server": entry.server, "connection": entry.connection}, max(int(request.body_size), 0),
    )  # fmt: skip


def parse_time(text: str) -> float | None:
    """Parse an ISO 8601 time; None without a time zone."""
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return None
    return moment.timestamp() if moment.tzinfo is not None else None


def duration(entry: HarEntry) -> float | None:
    """Return the duration in seconds, from ``time`` or else the sum of the phases."""
    if entry.time is not None and entry.time >= 0:
        return entry.time / 1000
    timings = entry.timings
    if timings is None:
        return None
    phases = [phase for phase in msgspec.structs.astuple(timings) if phase is not None and phase >= 0]
    return sum(phases) / 1000 if phases else None
