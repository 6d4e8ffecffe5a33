"""The life of a process of the system, from its settings file to SIGTERM.

What a start needs and may have a moment later is waited for: a settings file that is being written, the disk,
addresses that the process before still has.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from typing import Any

import msgspec

from latchspoke.net.signals import TERMINATION_SIGNALS, ignore_signals, set_signal_handler
from latchspoke.node_process import (
    RETRY_LOG_INTERVAL_S,
    START_RETRY_S,
    NodeProcess,
    NotStartableError,
)
from latchspoke.process_limits import raise_descriptor_limit
from latchspoke.settings import SETTINGS_FILE_VARIABLE, Settings, SettingsError, load_settings
from latchspoke.settings.watcher import FileStamp, file_stamp
from latchspoke.transport.log import log_now

FLUSH_DELAY_S = 0.02  # before exit, for the last bytes written
SETTINGS_TIMEOUT_S = 2.0  # that a start waits for a settings file that is being written


class ProcessRun:
    """One process from start to SIGTERM."""

    def __init__(self, node_class: type[NodeProcess], path: str) -> None:
        self.node_class, self.path = node_class, path
        self.stop_requested = asyncio.Event()
        self.node: NodeProcess | None = None

    async def run(self, settings: Settings, initial_stamp: FileStamp | None) -> None:
        """``initial_stamp``: of the settings file before it was read."""
        loop = asyncio.get_running_loop()
        set_signal_handler(loop, signal.SIGHUP, self.reload)
        for signal_number in TERMINATION_SIGNALS:
            set_signal_handler(loop, signal_number, self.stop_requested.set)
        try:
            node = self.node = await self.until_stop_requested(self.build(settings, initial_stamp))
            loop.set_exception_handler(node.callback_failed)
            await self.until_stop_requested(node.start())
        except StoppedWhileStartingError:
            ignore_signals()
            return
        for signal_number in TERMINATION_SIGNALS:
            set_signal_handler(loop, signal_number, node.stop)
        if self.stop_requested.is_set():
            node.stop()  # an orderly shutdown, as clients may have connected meanwhile
        gc.collect()
        gc.freeze()
        await node.stopped.wait()
        await asyncio.sleep(FLUSH_DELAY_S)
        ignore_signals()

    def reload(self) -> None:
        """SIGHUP: the settings file has changed. While the process is being built, it is read anyway."""
        if self.node is not None:
            self.node.reload()

    async def build(self, settings: Settings, stamp: FileStamp | None) -> NodeProcess:
        """The node, once it can be built; until then, changed settings are taken over."""
        logged_at = -RETRY_LOG_INTERVAL_S
        while True:
            try:
                node = self.node_class(limit_descriptors(settings), asyncio.get_running_loop(), self.path)
            except NotStartableError as error:
                if time.monotonic() - logged_at >= RETRY_LOG_INTERVAL_S:
                    logged_at = time.monotonic()
                    log_now("waits-to-start", why=str(error))
            else:
                node.settings_watch.loaded_stamp = stamp
                return node
            await asyncio.sleep(START_RETRY_S)
            settings, stamp = reread_settings(self.path, settings, stamp)

    async def until_stop_requested(self, step: Any) -> Any:
        """The result of a step of the start. Raises StoppedWhileStartingError if asked to stop meanwhile."""
        stopping = asyncio.ensure_future(self.stop_requested.wait())
        task = asyncio.ensure_future(step)
        try:
            await asyncio.wait((task, stopping), return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                task.cancel()
                raise StoppedWhileStartingError
            return task.result()
        finally:
            stopping.cancel()


class StoppedWhileStartingError(Exception):
    """The process was asked to stop before it had started."""


def limit_descriptors(settings: Settings) -> Settings:
    """The settings with the descriptors that the operating system allows, after raising its limit."""
    allowed = raise_descriptor_limit(settings.file_descriptors)
    return msgspec.structs.replace(settings, file_descriptors=allowed)


def reread_settings(
    path: str, settings: Settings, stamp: FileStamp | None
) -> tuple[Settings, FileStamp | None]:
    """The settings, read again if the file has changed and is valid, and the stamp of the file."""
    new_stamp = file_stamp(path)
    if new_stamp == stamp:
        return settings, stamp
    try:
        return load_settings(path), new_stamp
    except SettingsError:
        return settings, stamp


def load_initial_settings(path: str) -> tuple[Settings, FileStamp | None]:
    """The settings, and the stamp of the file before it was read; waits for a file that is being written.

    Raises SettingsError.
    """
    started_at = time.monotonic()
    while True:
        stamp = file_stamp(path)
        try:
            return load_settings(path), stamp
        except SettingsError:
            if time.monotonic() - started_at >= SETTINGS_TIMEOUT_S:
                raise
        time.sleep(START_RETRY_S)


def main(node_class: type[NodeProcess], path: str | None = None) -> None:
    """Run a process until it has stopped in order. Raises SettingsError, NotStartableError."""
    from latchspoke.net import event_loop

    path = path or os.environ.get(SETTINGS_FILE_VARIABLE, "/etc/latchspoke/local.yaml")
    settings, initial_stamp = load_initial_settings(path)

    async def run() -> None:
        await ProcessRun(node_class, path).run(settings, initial_stamp)

    event_loop.run(run())
