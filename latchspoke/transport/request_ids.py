"""Ids of requests between processes, by which their answers are matched."""

from __future__ import annotations

from zlib import crc32

REQUEST_ID_BITS = 16  # ids of one process instance before those of another could begin


def first_request_id(instance_id: str) -> int:
    """The id before the first request of a process instance; ``instance_id`` is random for each start.

    An answer may arrive late, through another process or on a new connection, at a process that has meanwhile
    been restarted at the same address. If each instance started at the same id, it would match an unrelated
    request.
    """
    return crc32(instance_id.encode()) << REQUEST_ID_BITS
