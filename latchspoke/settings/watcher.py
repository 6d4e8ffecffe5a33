"""Reloads the settings file of a process on SIGHUP and, by polling, when it changes without a signal."""

from __future__ import annotations

import os
from collections.abc import Callable

from latchspoke.settings.node import Settings, SettingsError, load_settings
from latchspoke.transport.log import log

FileStamp = tuple[int, int]
POLL_INTERVAL_S = 2.0


class SettingsWatcher:
    """Passes new settings to ``on_change``. An invalid file changes nothing and is read again when polled."""

    def __init__(self, path: str, on_change: Callable[[Settings], None]) -> None:
        self.path, self.on_change = path, on_change
        self.loaded_stamp = file_stamp(path)
        self.last_polled_at = 0.0

    def reload(self) -> bool:
        """Reads the file at once; returns whether it was valid."""
        stamp = file_stamp(self.path)
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            log("settings-refused", why=str(error))
            return False
        self.loaded_stamp = stamp
        self.on_change(settings)
        log("settings-read", seeds=",".join(f"{host}:{port}" for host, port in settings.seeds))
        return True

    def poll(self, now: float) -> None:
        """Reloads the file if the poll interval has passed and the file differs from the last one loaded."""
        if now - self.last_polled_at >= POLL_INTERVAL_S:
            self.last_polled_at = now
            if file_stamp(self.path) != self.loaded_stamp:
                self.reload()


def file_stamp(path: str) -> FileStamp | None:
    """Modification time (ns) and size (bytes) of a file; None if it can't be read."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
