"""Logs of both programs: one line of key=value pairs an event, on standard error, by ``structlog``.

Its import takes longer than all else that a process needs to serve, and a process that starts again is an
outage: events wait in memory until ``open_log``, which is called once the process serves.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from types import ModuleType
from typing import Any

# Levels of events; all others are told as "info".
EVENT_LEVELS = {
    "proof-failed": "error", "register-failed": "error", "disk-refuses": "error",
    "settings-refused": "warning", "configuration-refused": "warning", "feed-gap": "warning",
    "feed-ended": "warning", "not-ready": "warning", "lost-majority": "warning", "old-disk": "warning",
}  # fmt: skip
BUFFERED_EVENTS: deque[tuple[float, str, dict[str, Any]]] = deque(maxlen=200)
LOGGER: list[Any] = []


def log(event: str, **fields: Any) -> None:
    """One event. Keys of tenants must never be among the fields."""
    fields["level"] = EVENT_LEVELS.get(event, "info")
    if LOGGER:
        LOGGER[0].info(event, **fields)
    else:
        BUFFERED_EVENTS.append((time.time(), event, fields))


def import_structlog() -> ModuleType:
    """``structlog`` without what it prints tracebacks in colours with, which the command line has brought.

    ``rich`` takes 40 ms of a processor to load and 4 MB, at a moment when the process serves already; a line
    of key=value pairs has no use for it.
    """
    absent = {name: None for name in ("rich", "colorama") if name not in sys.modules}
    sys.modules.update(absent)  # type: ignore[arg-type]
    try:
        import structlog
    finally:
        for name in absent:
            del sys.modules[name]
    return structlog


def open_log(**always: Any) -> None:
    """From now on lines go out at once; those that waited go first, with the time (s) they waited."""
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
    LOGGER.append(structlog.get_logger().bind(**always))
    now = time.time()
    while BUFFERED_EVENTS:
        at, event, fields = BUFFERED_EVENTS.popleft()
        LOGGER[0].info(event, waited=round(now - at, 3), **fields)
