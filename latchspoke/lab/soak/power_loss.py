"""What a loss of power does to the disk of a control machine: what was not synced is lost or torn.

SQLite syncs its write-ahead log as a transaction commits. What stands behind the last commit in the log was
written but not synced (https://www.sqlite.org/fileformat.html, "The Write-Ahead Log").
"""

from __future__ import annotations

import random
import struct
from pathlib import Path

LOG_FILE = "register.db-wal"
UNSYNCED_FILE = "register.new"  # of a start that was cut short
LOG_HEADER = struct.Struct(">8I")  # magic, format, page size, checkpoint, two salts, two checksums
FRAME_HEADER = struct.Struct(">6I")  # page, pages after a commit or 0, two salts, two checksums
MAX_TORN_BYTES = 3 * 4096


def committed_bytes(log: bytes) -> int:
    """The length of the write-ahead log up to its last commit."""
    if len(log) < LOG_HEADER.size:
        return 0
    _, _, page_bytes, _, *salts_and_sums = LOG_HEADER.unpack_from(log)
    salts, committed, at = salts_and_sums[:2], LOG_HEADER.size, LOG_HEADER.size
    while at + FRAME_HEADER.size + page_bytes <= len(log):
        _, pages_after_commit, *frame = FRAME_HEADER.unpack_from(log, at)
        if frame[:2] != salts:
            break  # left over from before the last checkpoint
        at += FRAME_HEADER.size + page_bytes
        if pages_after_commit:
            committed = at
    return committed


def lose_power(disk: Path, rng: random.Random) -> None:
    """Cut off, tear or leave what was not synced."""
    log = disk / LOG_FILE
    if log.exists():
        data = log.read_bytes()
        kept = committed_bytes(data)
        torn = rng.choice((b"", data[kept:], rng.randbytes(rng.randrange(MAX_TORN_BYTES))))
        log.write_bytes(data[:kept] + torn[: rng.randrange(len(torn) + 1)])
    unsynced = disk / UNSYNCED_FILE
    if unsynced.exists():
        data = unsynced.read_bytes()
        unsynced.write_bytes(data[: rng.randrange(len(data) + 1)])
