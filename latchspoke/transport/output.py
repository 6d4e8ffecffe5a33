"""Standard streams that neither block nor fail, whatever becomes of what a process writes.

A write to a pipe that nobody reads blocks, and one to a closed pipe or a full disk raises an exception, in
the middle of whatever logs at that moment. Here a thread writes, and lines that can't be written are dropped
and counted. Where the machine grants no thread, the program itself writes what doesn't block.
"""

from __future__ import annotations

import contextlib
import io
import os
import queue
import select
import sys
import threading
import time
from collections import deque
from collections.abc import Iterator

MAX_PENDING_BYTES = 256 * 1024  # written by the program, but not yet by the thread; more is dropped
MAX_ATOMIC_BYTES = 4096  # that a pipe takes without blocking, once it is ready to be written to
CLOSE_TIMEOUT_S = 0.5  # that the end of a process waits for its last lines
STANDARD_DESCRIPTORS = (0, 1, 2)


class BackgroundOutput(io.TextIOBase):
    """A text stream whose data a thread writes to a descriptor; the thread starts with the first write."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.chunks: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self.thread: threading.Thread | None = None
        self.unwritten: deque[bytes] = deque()  # without a thread
        self.queued_bytes = 0  # changed by the program only, and ``written_bytes`` by the thread only
        self.written_bytes = 0
        self.dropped_lines = 0  # for which there was no room
        self.failed_lines = 0  # whose write failed
        self.reported_lines = 0  # dropped lines that the output tells of

    @property
    def lost_lines(self) -> int:
        """Lines that were not written, since the start."""
        return self.dropped_lines + self.failed_lines

    def writable(self) -> bool:
        """Whether the stream takes data: always."""
        return True

    def write(self, text: str) -> int:
        """Queue a text for the thread, or drop it if too much is queued."""
        data = text.encode("utf-8", "backslashreplace")
        if not data:
            return 0
        if self.queued_bytes - self.written_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped_lines += text.count("\n")
            return len(text)
        self.queued_bytes += len(data)
        if self.start_thread():
            self.chunks.put(data)
        else:
            self.unwritten.append(data)
            self.write_ready()
        return len(text)

    def start_thread(self) -> bool:
        """Start the thread unless it runs; False if the machine allows no more threads."""
        if self.thread is None:
            thread = threading.Thread(target=self.run, name=f"output-{self.descriptor}", daemon=True)
            try:
                thread.start()
            except RuntimeError:
                return False
            self.thread = thread
        return True

    def run(self) -> None:
        """Write what is queued, until ``finish``."""
        while (data := self.chunks.get()) is not None:
            try:
                self.write_all(self.loss_report() + data)
            except OSError:
                self.failed_lines += data.count(b"\n")
            self.written_bytes += len(data)

    def write_ready(self) -> None:
        """Write what is queued, as far as the descriptor takes it without blocking."""
        while self.unwritten:
            data = self.unwritten[0]
            try:
                if not select.select([], [self.descriptor], [], 0)[1]:
                    return
                written = os.write(self.descriptor, data[:MAX_ATOMIC_BYTES])
            except BlockingIOError:
                return
            except OSError:
                self.failed_lines += data.count(b"\n")
                written = len(data)
            self.written_bytes += written
            if written < len(data):
                self.unwritten[0] = data[written:]
            else:
                self.unwritten.popleft()

    def loss_report(self) -> bytes:
        """A line that tells of lost lines, or nothing if none were lost since the last one."""
        lost = self.lost_lines - self.reported_lines
        if not lost:
            return b""
        self.reported_lines += lost
        return b"level=warning event=log-lines-lost lines=%d\n" % lost

    def write_all(self, data: bytes) -> None:
        """Write to the descriptor, which may be set not to block. Raises OSError."""
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                select.select([], [self.descriptor], [])

    def finish(self) -> None:
        """Write what is queued, as far as that is possible in a short time, and end the thread."""
        if self.thread is not None:
            self.chunks.put(None)
            self.thread.join(CLOSE_TIMEOUT_S)
            return
        until = time.monotonic() + CLOSE_TIMEOUT_S
        self.write_ready()
        while self.unwritten and (left := until - time.monotonic()) > 0:
            select.select([], [self.descriptor], [], left)
            self.write_ready()


def lost_lines() -> int:
    """Lines of this process's standard streams that were not written, since the start."""
    return sum(s.lost_lines for s in (sys.stdout, sys.stderr) if isinstance(s, BackgroundOutput))


def open_missing_descriptors() -> None:
    """Open the null device for standard streams that are closed.

    Otherwise a socket or a file of the program would get such a number, and messages of libraries would be
    written into it.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # gets the lowest free number


@contextlib.contextmanager
def background_output() -> Iterator[None]:
    """Replace the standard streams until the process ends."""
    output, error = BackgroundOutput(1), BackgroundOutput(2)
    sys.stdout, sys.stderr = output, error
    try:
        yield
    finally:
        output.finish()
        error.finish()
