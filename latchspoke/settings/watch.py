"""Follows a process's settings file: at SIGHUP, and also where it changes without any signal."""

from __future__ import annotations

import os
from collections.abc import Callable

from latchspoke.settings.node import Settings, SettingsError, load
from latchspoke.transport.log import log

Stamp = tuple[int, int]
LOOK = 2.0  # s between looks at the file


class Watch:
    """``taken`` gets each new reading. A file that can't be used changes nothing, and is read again."""

    def __init__(self, path: str, taken: Callable[[Settings], None]) -> None:
        self.path, self.taken = path, taken
        self.seen = stamp_of(path)
        self.looked_at = 0.0

    def read(self) -> bool:
        """At once; whether it could be used."""
        stamp = stamp_of(self.path)
        try:
            settings = load(self.path)
        except SettingsError as e:
            log("settings-refused", why=str(e))
            return False
        self.seen = stamp
        self.taken(settings)
        log("settings-read", seeds=",".join(f"{host}:{port}" for host, port in settings.seeds))
        return True

    def look(self, now: float) -> None:
        """If it is time (s), and the file is another than the last one that was read."""
        if now - self.looked_at >= LOOK:
            self.looked_at = now
            if stamp_of(self.path) != self.seen:
                self.read()


def stamp_of(path: str) -> Stamp | None:
    """A file's time of change (ns) and size (bytes); None where it can't be read."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
