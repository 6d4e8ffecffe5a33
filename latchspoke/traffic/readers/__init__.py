"""Readers of recorded traffic, one module for each format.

Each yields ``RecordedExchange`` and ``SkippedEntry`` objects in file order.
"""

from __future__ import annotations

import gzip
import io
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, cast

import zstandard

from latchspoke.traffic.recorded import RecordedExchange, SkippedEntry

Entries = Iterator[RecordedExchange | SkippedEntry]
MAX_LINE_BYTES = 256 * 1024  # longer lines are skipped without buffering them


def open_decompressed(path: str | Path) -> BinaryIO:
    """Open a plain, gzip or zstandard file, detected by its first bytes."""
    file = open(path, "rb")  # noqa: SIM115  (the caller closes it)
    magic = file.peek(4)[:4]
    if magic.startswith(b"\x1f\x8b"):
        return cast(BinaryIO, gzip.GzipFile(fileobj=file))
    if magic == b"\x28\xb5\x2f\xfd":
        return cast(BinaryIO, io.BufferedReader(zstandard.ZstdDecompressor().stream_reader(file)))
    return file


def numbered_lines(path: str | Path) -> Iterator[tuple[int, bytes | None]]:
    """Yield numbered lines without line ends; None for a line above ``MAX_LINE_BYTES``.

    A last line without a line end is yielded too; the caller decides whether it is complete.
    """
    with open_decompressed(path) as file:
        number, at_line_start = 0, True
        while data := file.readline(MAX_LINE_BYTES):
            ended = data.endswith(b"\n")
            if at_line_start:
                number += 1
                if len(data) < MAX_LINE_BYTES or ended:
                    yield number, data.rstrip(b"\r\n")
                else:
                    yield number, None
            at_line_start = ended or len(data) < MAX_LINE_BYTES
