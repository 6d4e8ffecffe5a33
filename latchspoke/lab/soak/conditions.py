"""Conditions of machines that nobody prepared: output that nobody reads, low limits, missing folders."""

from __future__ import annotations

import contextlib
import enum
import fcntl
import os
import random
import resource
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from latchspoke.lab.soak.deployments import Role
from latchspoke.lab.soak.thread_filter import refuse_new_threads

MIB = 1024 * 1024
SMALL_PIPE_BYTES = 4096
DEFAULT_SOFT_DESCRIPTORS = 1024  # of most systems
# Compiled files are looked for where none can be, and none are written.
WITHOUT_COMPILED_FILES = {"PYTHONPYCACHEPREFIX": "/dev/null/none", "PYTHONDONTWRITEBYTECODE": "1"}


class LogSink(enum.Enum):
    """Where the standard streams of a process lead to."""

    FILE = "file"
    UNREAD_PIPE = "unread pipe"
    CLOSED_PIPE = "closed pipe"  # its reader has ended
    FULL_DEVICE = "full device"
    CLOSED = "closed"  # no standard streams


@dataclass(frozen=True, slots=True)
class Conditions:
    """The conditions under which a process is started."""

    sink: LogSink = LogSink.FILE
    soft_descriptors: int | None = None
    hard_descriptors: int | None = None
    address_space_mb: int | None = None
    folder_exists: bool = True  # the data directory, before a start
    threads_granted: bool = True  # whether the process may make threads
    compiled_files: bool = True  # whether the compiled files count; otherwise each start compiles all

    def apply_limits(self) -> None:
        """Set the limits of the calling process; called in a new one before it runs its program."""
        if self.soft_descriptors is not None:
            hard = self.hard_descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.soft_descriptors, hard))
        if self.address_space_mb is not None:
            limit = self.address_space_mb * MIB
            resource.setrlimit(resource.RLIMIT_AS, (limit, limit))
        if not self.threads_granted:
            refuse_new_threads()
        if self.sink is LogSink.CLOSED:
            for descriptor in range(3):
                with contextlib.suppress(OSError):
                    os.close(descriptor)

    @property
    def environment(self) -> dict[str, str]:
        """Variables of the process."""
        return {} if self.compiled_files else WITHOUT_COMPILED_FILES


KIND = Conditions()


def draw_conditions(rng: random.Random, role: Role) -> Conditions:
    """Conditions of one machine; ``role``: what its settings allow."""
    return Conditions(
        sink=rng.choice(list(LogSink)),
        soft_descriptors=rng.choice((None, min(role.descriptors, DEFAULT_SOFT_DESCRIPTORS))),
        hard_descriptors=role.descriptors,
        address_space_mb=rng.choice((None, role.memory_mb)),
        folder_exists=rng.random() < 0.5,
        threads_granted=rng.random() < 0.5,
        compiled_files=rng.random() < 0.75,
    )


class OutputEnd:
    """The descriptor that a process writes to, and what keeps it in its state."""

    def __init__(self, sink: LogSink, log: Path) -> None:
        self.reader: int | None = None
        self.writer = self.open(sink, log)

    def open(self, sink: LogSink, log: Path) -> int:
        """Open the descriptor to write to."""
        match sink:
            case LogSink.FILE | LogSink.CLOSED:
                return os.open(log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
            case LogSink.FULL_DEVICE:
                return os.open("/dev/full", os.O_WRONLY)
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, SMALL_PIPE_BYTES)
        if sink is LogSink.CLOSED_PIPE:
            os.close(reader)
        else:
            self.reader = reader
        return writer

    def started(self) -> Callable[[], None]:
        """The process has the descriptor: close it here; returns what closes the reader at its end."""
        os.close(self.writer)
        reader = self.reader
        return (lambda: os.close(reader)) if reader is not None else (lambda: None)


def peak_memory_mb(pid: int) -> int:
    """The highest resident memory of a process so far (MB); 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    peak = next((line for line in status.splitlines() if line.startswith("VmHWM:")), "VmHWM: 0")
    return int(peak.split()[1]) // 1024
