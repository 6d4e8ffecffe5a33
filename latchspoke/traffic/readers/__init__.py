"""One module a format; each gives ``Seen`` entries and ``Skipped`` ones in the file's order."""

from __future__ import annotations

import gzip
import io
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, cast

import zstandard

from latchspoke.traffic.seen import Seen, Skipped

Entries = Iterator[Seen | Skipped]
LINE_MOST = 256 * 1024  # bytes; a longer line is skipped, and never held whole


def open_file(path: str | Path) -> BinaryIO:
    """Plain, gzip or zstandard, told apart by the first bytes; ``-`` is not read."""
    file = open(path, "rb")  # noqa: SIM115  (the caller closes it)
    magic = file.peek(4)[:4]
    if magic.startswith(b"\x1f\x8b"):
        return cast(BinaryIO, gzip.GzipFile(fileobj=file))
    if magic == b"\x28\xb5\x2f\xfd":
        return cast(BinaryIO, io.BufferedReader(zstandard.ZstdDecompressor().stream_reader(file)))
    return file


def lines(path: str | Path) -> Iterator[tuple[int, bytes | None]]:
    """Numbered lines without their ends; None for one that is longer than any log's.

    The last line comes too if nothing ends it; whether it is whole, its reader must judge.
    """
    with open_file(path) as file:
        number, whole = 0, True
        while data := file.readline(LINE_MOST):
            ended = data.endswith(b"\n")
            if whole:
                number += 1
                if len(data) < LINE_MOST or ended:
                    yield number, data.rstrip(b"\r\n")
                else:
                    yield number, None
            whole = ended or len(data) < LINE_MOST
