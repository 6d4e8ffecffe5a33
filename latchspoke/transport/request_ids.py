"""Numbers of questions between processes, by which their answers are known."""

from __future__ import annotations

from zlib import crc32

REQUEST_ID_BITS = 16  # bits: so many questions of one life before those of another could begin


def first_request_id(life: str) -> int:
    """The number before a life's first question; ``life`` is random for each start of a process.

    An answer may come late, by another process or by a connection that was opened anew, to a process that
    has begun anew at the same address meanwhile. Numbers that began alike in each life would make it the
    answer to one of the new life's own questions.
    """
    return crc32(life.encode()) << REQUEST_ID_BITS
