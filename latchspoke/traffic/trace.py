"""The trace format, version 1: what arrived when, of whom, at which gateway, and how it ended.

A file is a line that names the format, then blocks: four bytes of length (big endian) and that many bytes
of zstandard over msgpack. The first block is the ``Header``, the last one the ``Footer``; between them each
holds a list of records in order of their times. A file without its footer was cut off, and is told so.
It is read and written as a stream: memory holds one block.
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
BLOCK = 4096  # records
BLOCK_MOST = 64 * 1024 * 1024  # bytes of one block, packed or not
LEVEL = 6

# Flags of a record.
ESTIMATED = 1  # its time was not recorded; it stands between its neighbours
SPREAD = 2  # its time was recorded too coarsely, and was drawn within what was recorded
STEPPED = 4  # the clock had stepped back before it; its time is what the clock would have shown
MARKED = 8  # the client itself marked it as a retry


class TraceError(Exception):
    """A trace can't be read or written; one line says where and why."""


class Request(msgspec.Struct, array_like=True, frozen=True):
    """One request as it arrived. Numbers count from 1 in a trace's own order.

    ``at`` and ``took`` are whole microseconds, ``at`` from the trace's start; ``took`` is -1 and ``status``
    is 0 where nothing was recorded (a break, an abort). ``first`` is the number of the try that this one
    repeats, or its own; ``attempt`` counts from 0.
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
    def is_first(self) -> bool:
        return self.attempt == 0


class Header(msgspec.Struct, frozen=True):
    """What a trace says of itself before its first record. ``began`` is Unix time in seconds."""

    began: float
    sources: list[str]
    resolution: float = 0.0  # s; the coarsest of its sources' clocks
    seed: int = 0
    note: str = ""


class Footer(msgspec.Struct, frozen=True):
    """What was counted while it was written; readers check it."""

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
    """Writes a trace; the file has its name only once it is whole."""

    def __init__(self, path: str | Path, header: Header) -> None:
        self.path = Path(path)
        self.part = self.path.with_name(f".{self.path.name}.part")
        try:
            self.file: BinaryIO = open(self.part, "wb")  # noqa: SIM115  (closed in close)
        except OSError as e:
            raise TraceError(f"can't write {self.path}: {e.strerror}") from None
        self.packer = zstandard.ZstdCompressor(level=LEVEL)
        self.encoder = msgspec.msgpack.Encoder()
        self.batch: list[Request] = []
        self.requests = self.first_tries = self.last_at = 0
        self.file.write(MAGIC)
        self.block(header)

    def block(self, value: Any) -> None:
        data = self.packer.compress(self.encoder.encode(value))
        try:
            self.file.write(struct.pack(">I", len(data)) + data)
        except OSError as e:
            raise TraceError(f"can't write {self.path}: {e.strerror}") from None

    def add(self, request: Request) -> None:
        if request.at < self.last_at:
            raise TraceError(f"{self.path}: request {request.number} comes before the one that it follows")
        self.requests, self.last_at = self.requests + 1, request.at
        self.first_tries += request.is_first
        self.batch.append(request)
        if len(self.batch) >= BLOCK:
            self.flush()

    def flush(self) -> None:
        if self.batch:
            self.block(self.batch)
            self.batch = []

    def close(self, **counts: Any) -> Footer:
        """The footer, and the file gets its name."""
        self.flush()
        footer = Footer(self.requests, self.first_tries, self.last_at, **counts)
        self.block(footer)
        self.file.flush()
        os.fsync(self.file.fileno())
        self.file.close()
        self.part.rename(self.path)
        return footer

    def abandon(self) -> None:
        self.file.close()
        with contextlib.suppress(OSError):
            self.part.unlink()


class Reader:
    """Reads a trace as a stream; several readers may stand in one file at different places."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self.footer: Footer | None = None
        self.decoder: msgspec.msgpack.Decoder[list[Request]] = msgspec.msgpack.Decoder(list[Request])
        try:
            with open(self.path, "rb") as file:
                if file.read(len(MAGIC)) != MAGIC:
                    raise TraceError(f"{self.path} is no trace, or of another version")
                data = self.block(file)
        except OSError as e:
            raise TraceError(f"can't read {self.path}: {e.strerror}") from None
        if data is None:
            raise TraceError(f"{self.path} is cut off before its header")
        self.header = self.decode(data, Header)

    def block(self, file: BinaryIO) -> bytes | None:
        """The next block unpacked; None at the file's end."""
        head = file.read(4)
        if not head:
            return None
        at = file.tell()
        size = struct.unpack(">I", head)[0] if len(head) == 4 else BLOCK_MOST + 1
        data = file.read(size) if size <= BLOCK_MOST else b""
        if len(data) != size:
            raise TraceError(f"{self.path} is cut off or spoilt at byte {at}")
        try:
            return zstandard.ZstdDecompressor().decompress(data, max_output_size=BLOCK_MOST)
        except zstandard.ZstdError:
            raise TraceError(f"{self.path} is spoilt at byte {at}") from None

    def decode(self, data: bytes, kind: Any) -> Any:
        try:
            return msgspec.msgpack.decode(data, type=kind)
        except msgspec.MsgspecError as e:
            raise TraceError(f"{self.path} holds what can't be read: {e}") from None

    def __iter__(self) -> Iterator[Request]:
        """All requests in order. At the end ``footer`` is set, or TraceError says that it is cut off."""
        with open(self.path, "rb") as file:
            file.seek(len(MAGIC))
            self.block(file)
            seen = 0
            while (data := self.block(file)) is not None:
                # A footer is a map, a batch a list: the first byte tells them apart.
                if data[0] & 0xF0 == 0x80 or data[0] in (0xDE, 0xDF):
                    self.footer = self.decode(data, Footer)
                    if self.footer.requests != seen:
                        raise TraceError(f"{self.path}: {seen} requests, its end says {self.footer.requests}")
                    return
                try:
                    batch = self.decoder.decode(data)
                except msgspec.MsgspecError as e:
                    raise TraceError(f"{self.path} holds what can't be read: {e}") from None
                seen += len(batch)
                yield from batch
        raise TraceError(f"{self.path} is cut off after {seen} requests")


def between(requests: Iterable[Request], start: float, end: float) -> Iterator[Request]:
    """Those with ``start <= at < end``, in seconds of the trace."""
    for request in requests:
        if request.at >= end * 1e6:
            return
        if request.at >= start * 1e6:
            yield request
