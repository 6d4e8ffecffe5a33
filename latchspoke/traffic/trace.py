"""The trace format, version 1: recorded requests with arrival time, customer, gateway and outcome.

A file starts with a line that names the format. Blocks follow, each with a four-byte big-endian length and
msgpack data compressed with zstandard. The first block is the ``Header``, the last one the ``Footer``; the
others hold lists of requests in order of time. A file without a footer is truncated, which is an error.
Files are streamed: memory holds one block.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec
import zstandard

MAGIC = b"latchspoke-trace 1\n"
RECORDS_PER_BLOCK = 4096
MAX_BLOCK_BYTES = 64 * 1024 * 1024  # of one block, compressed or not
COMPRESSION_LEVEL = 6

# Flags of a request.
ESTIMATED = 1  # time not recorded, interpolated between the neighbours
SPREAD = 2  # time recorded too coarsely, chosen at random within the clock's resolution
STEPPED = 4  # the clock stepped back before it; time corrected by the step
MARKED = 8  # marked as a retry by the client


class TraceError(Exception):
    """A trace can't be read or written; the message is one line with the place and the reason."""


class Request(msgspec.Struct, array_like=True, frozen=True):
    """A recorded request. Numbers count from 1 in the order of the trace.

    ``at`` and ``took`` are in whole microseconds, ``at`` from the start of the trace; ``took`` is -1 and
    ``status`` 0 where nothing was recorded (aborted requests). ``first`` is the number of the first attempt
    that this request retries, or its own; ``attempt`` counts from 0.
    """

    number: int
    at: int
    customer: int
    plan: str
    kind: str
    method: str
    url: str
    gateway: str
    status: int = 0
    took: int = -1
    first: int = 0
    attempt: int = 0
    flags: int = 0
    units: float = 1.0
    deadline: float = 0.0
    body: int = 0

    @property
    def is_first_attempt(self) -> bool:
        return self.attempt == 0


class Header(msgspec.Struct, frozen=True):
    """Metadata of a trace. ``began`` is Unix time in seconds."""

    began: float
    sources: list[str]
    resolution: float = 0.0  # seconds; that of the coarsest source clock
    seed: int = 0
    note: str = ""


class Footer(msgspec.Struct, frozen=True):
    """Totals of a trace; readers compare ``requests`` with what they read."""

    requests: int
    first_tries: int
    last_at: int = 0
    skipped: dict[str, int] = {}
    estimated: int = 0
    spread: int = 0
    steps: int = 0
    customers: int = 0
    collisions: int = 0


class Writer:
    """Writes a trace to a temporary file that is renamed when complete."""

    def __init__(self, path: str | Path, header: Header) -> None:
        self.path = Path(path)
        self.temporary_path = self.path.with_name(f".{self.path.name}.part")
        try:
            self.file: BinaryIO = open(self.temporary_path, "wb")  # noqa: SIM115  (closed in close)
        except OSError as e:
            raise TraceError(f"can't write {self.path}: {e.strerror}") from None
        self.compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
        self.encoder = msgspec.msgpack.Encoder()
        self.batch: list[Request] = []
        self.request_count = self.first_try_count = self.last_at = 0
        self.file.write(MAGIC)
        self.write_block(header)

    def write_block(self, value: Any) -> None:
        data = self.compressor.compress(self.encoder.encode(value))
        try:
            self.file.write(struct.pack(">I", len(data)) + data)
        except OSError as e:
            raise TraceError(f"can't write {self.path}: {e.strerror}") from None

    def add(self, request: Request) -> None:
        if request.at < self.last_at:
            raise TraceError(f"{self.path}: request {request.number} is earlier than the previous one")
        self.request_count, self.last_at = self.request_count + 1, request.at
        self.first_try_count += request.is_first_attempt
        self.batch.append(request)
        if len(self.batch) >= RECORDS_PER_BLOCK:
            self.flush()

    def flush(self) -> None:
        if self.batch:
            self.write_block(self.batch)
            self.batch = []

    def close(self, **counts: Any) -> Footer:
        """Write the footer, sync the file and move it to its final path."""
        self.flush()
        footer = Footer(self.request_count, self.first_try_count, self.last_at, **counts)
        self.write_block(footer)
        self.file.flush()
        os.fsync(self.file.fileno())
        self.file.close()
        self.temporary_path.rename(self.path)
        return footer

    def discard(self) -> None:
        self.file.close()
        with contextlib.suppress(OSError):
            self.temporary_path.unlink()


class Reader:
    """Reads a trace as a stream. Each iteration opens the file and starts at the first request."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self.footer: Footer | None = None
        self.decoder: msgspec.msgpack.Decoder[list[Request]] = msgspec.msgpack.Decoder(list[Request])
        try:
            with open(self.path, "rb") as file:
                if file.read(len(MAGIC)) != MAGIC:
                    raise TraceError(f"{self.path} is not a trace of a supported version")
                data = self.read_block(file)
        except OSError as e:
            raise TraceError(f"can't read {self.path}: {e.strerror}") from None
        if data is None:
            raise TraceError(f"{self.path} is cut off before its header")
        self.header = self.decode(data, Header)

    def read_block(self, file: BinaryIO) -> bytes | None:
        """Return the next block decompressed; None at the end of the file."""
        head = file.read(4)
        if not head:
            return None
        offset = file.tell()
        size = struct.unpack(">I", head)[0] if len(head) == 4 else MAX_BLOCK_BYTES + 1
        data = file.read(size) if size <= MAX_BLOCK_BYTES else b""
        if len(data) != size:
            raise TraceError(f"{self.path} is cut off or corrupt at byte {offset}")
        try:
            return zstandard.ZstdDecompressor().decompress(data, max_output_size=MAX_BLOCK_BYTES)
        except zstandard.ZstdError:
            raise TraceError(f"{self.path} is corrupt at byte {offset}") from None

    def decode(self, data: bytes, record_type: Any) -> Any:
        try:
            return msgspec.msgpack.decode(data, type=record_type)
        except msgspec.MsgspecError as e:
            raise TraceError(f"{self.path} contains invalid data: {e}") from None

    def __iter__(self) -> Iterator[Request]:
        """Yield all requests in order, then set ``footer``. Raises TraceError for a truncated trace."""
        with open(self.path, "rb") as file:
            file.seek(len(MAGIC))
            self.read_block(file)
            request_count = 0
            while (data := self.read_block(file)) is not None:
                # In msgpack the footer is a map and a batch an array; the first byte identifies the type.
                if data[0] & 0xF0 == 0x80 or data[0] in (0xDE, 0xDF):
                    self.footer = self.decode(data, Footer)
                    if self.footer.requests != request_count:
                        raise TraceError(
                            f"{self.path}: {request_count} requests, footer says {self.footer.requests}"
                        )
                    return
                try:
                    batch = self.decoder.decode(data)
                except msgspec.MsgspecError as e:
                    raise TraceError(f"{self.path} contains invalid data: {e}") from None
                request_count += len(batch)
                yield from batch
        raise TraceError(f"{self.path} is cut off after {request_count} requests")


def requests_between(requests: Iterable[Request], start: float, end: float) -> Iterator[Request]:
    """Yield the requests with ``start <= at < end``, in seconds from the start of the trace."""
    for request in requests:
        if request.at >= end * 1e6:
            return
        if request.at >= start * 1e6:
            yield request
