"""Structured logging: one line of key=value pairs per event on standard error, by ``structlog``.

Importing ``structlog`` takes longer than everything else a process needs to start serving, and a restart is
an outage. Events are therefore buffered until ``open_log`` is called, after the process serves.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from types import ModuleType
from typing import Any

# Events that are not listed have the level "info".
EVENT_LEVELS = {
    "proof-failed": "error", "register-failed": "error", "disk-refuses": "error",
    "settings-refused": "warning", "configuration-refused": "warning", "feed-gap": "warning",
    "feed-ended": "warning", "not-ready": "warning", "lost-majority": "warning", "old-disk": "warning",
    "unknown-call": "warning", "waits-for-address": "warning", "task-failed": "error",
    "link-failed": "error", "store-set-aside": "error", "waits-to-start": "warning", "failed": "error",
}  # fmt: skip
MAX_BUFFERED_EVENTS = 200
MAX_FIELD_CHARS = 1000  # of a text; the rest is cut off
BUFFERED_EVENTS: deque[tuple[float, str, dict[str, Any]]] = deque(maxlen=MAX_BUFFERED_EVENTS)
LOGGER: list[Any] = []


def log(event: str, **fields: Any) -> None:
    """Log one event. The fields must never contain API keys of tenants."""
    for name, value in fields.items():
        if isinstance(value, str) and len(value) > MAX_FIELD_CHARS:
            fields[name] = value[:MAX_FIELD_CHARS]
    fields["level"] = EVENT_LEVELS.get(event, "info")
    if LOGGER:
        LOGGER[0].info(event, **fields)
    else:
        BUFFERED_EVENTS.append((time.time(), event, fields))


def log_now(event: str, **fields: Any) -> None:
    """As ``log``, but written at once, as by a process that may wait for long before it serves."""
    log(event, **fields)
    flush_log()


def import_structlog() -> ModuleType:
    """Import ``structlog`` without the packages with which it colours tracebacks.

    They may be installed for the command line; loading ``rich`` would cost time and memory in a process that
    already serves, and key=value lines do not need it.
    """
    hidden = {name: None for name in ("rich", "colorama") if name not in sys.modules}
    sys.modules.update(hidden)  # type: ignore[arg-type]
    try:
        import structlog
    finally:
        for name in hidden:
            del sys.modules[name]
    return structlog


def open_log(**bound_fields: Any) -> None:
    """Write events immediately from now on, after those buffered so far.

    Buffered events get ``waited``, the time in seconds they were buffered. ``bound_fields`` are added to each
    event.
    """
    structlog = import_structlog()
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="%Y-%m-%dT%H:%M:%S.%f", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    LOGGER.append(structlog.get_logger().bind(**bound_fields))
    now = time.time()
    while BUFFERED_EVENTS:
        logged_at, event, fields = BUFFERED_EVENTS.popleft()
        LOGGER[0].info(event, waited=round(now - logged_at, 3), **fields)


def flush_log() -> None:
    """Write the events buffered so far, as a process ends before its log was opened.

    Importing ``structlog`` may be what fails there, so that the lines are formatted here.
    """
    while BUFFERED_EVENTS:
        logged_at, event, fields = BUFFERED_EVENTS.popleft()
        sys.stderr.write(format_event(logged_at, event, fields) + "\n")


def format_event(logged_at: float, event: str, fields: dict[str, Any]) -> str:
    """One event as ``open_log`` writes it."""
    whole, fraction = divmod(logged_at, 1)
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole)) + f"{fraction:.6f}"[1:]
    rest = {name: value for name, value in sorted(fields.items()) if name != "level"}
    pairs = {"timestamp": timestamp, "level": fields.get("level", "info"), "event": event} | rest
    return " ".join(f"{name}={quote(value)}" for name, value in pairs.items())


def quote(value: Any) -> str:
    """A value in logfmt: quoted if it holds a space or an equals sign."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    text = str(value).replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{text}"' if " " in text or "=" in text else text
