"""HAR 1.2 captures: the entries that a browser or proxy recorded, aborted ones with them.

Only the fields that count are decoded; the rest of the file is passed over. A capture is one JSON object,
so it is read whole, and is bounded for that reason.
"""

from __future__ import annotations

from datetime import datetime
from pathlib import Path

import msgspec

from latchspoke.traffic.readers import Entries
from latchspoke.traffic.seen import Seen, Skipped, skipped

FILE_MOST = 1024 * 1024 * 1024  # bytes
SKIPPED_SCHEMES = ("data:", "blob:", "chrome", "ws:", "wss:", "about:")


class Pair(msgspec.Struct):
    name: str = ""
    value: str = ""


class HarRequest(msgspec.Struct, rename={"body_size": "bodySize"}):
    method: str
    url: str
    headers: list[Pair] = []
    body_size: float = 0


class HarResponse(msgspec.Struct):
    status: int = 0


class Timings(msgspec.Struct):
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
    timings: Timings | None = None
    server: str = ""
    connection: str = ""


class Log(msgspec.Struct):
    entries: list[msgspec.Raw]
    version: str = ""


class Har(msgspec.Struct):
    log: Log


def read_har(path: str | Path) -> Entries:
    """Entries by number; their order in the file need not be that of their times."""
    size = Path(path).stat().st_size
    if size > FILE_MOST:
        yield skipped(0, "capture too large", f"{size} bytes")
        return
    try:
        raw: list[msgspec.Raw] = msgspec.json.decode(Path(path).read_bytes(), type=Har).log.entries
    except msgspec.MsgspecError as e:
        yield skipped(0, "no HAR capture", e)
        return
    for number, entry in enumerate(raw, 1):
        yield read_entry(number, entry)


def read_entry(number: int, raw: msgspec.Raw) -> Seen | Skipped:
    try:
        entry: HarEntry = msgspec.json.decode(raw, type=HarEntry)
    except msgspec.MsgspecError as e:
        return skipped(number, "entry can't be read", e)
    request = entry.request
    if request.url.startswith(SKIPPED_SCHEMES):
        return skipped(number, "no HTTP request", request.url)
    headers = {pair.name.lower(): pair.value for pair in request.headers}
    status = entry.response.status if entry.response is not None else 0
    # An aborted entry has status 0 or less, or no response; how long it lasted may still be known.
    return Seen(
        number, read_time(entry.started), request.method.upper(), request.url, max(status, 0),
        duration(entry), False, headers,
        {"server": entry.server, "connection": entry.connection}, max(int(request.body_size), 0),
    )  # fmt: skip


def read_time(text: str) -> float | None:
    """ISO 8601 with its zone; without one it can't be told, and is no time."""
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return None
    return moment.timestamp() if moment.tzinfo is not None else None


def duration(entry: HarEntry) -> float | None:
    """Seconds, from ``time`` or else from the phases."""
    if entry.time is not None and entry.time >= 0:
        return entry.time / 1000
    timings = entry.timings
    if timings is None:
        return None
    known = [phase for phase in msgspec.structs.astuple(timings) if phase is not None and phase >= 0]
    return sum(known) / 1000 if known else None
