"""Limits of the operating system on this process."""

from __future__ import annotations

import contextlib
import resource


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the limit on open descriptors to ``wanted`` as far as it goes; returns the limit in force.

    The soft limit is often 1,024, however many descriptors the machine's settings allow. Without it, the
    event loop closes new connections before their requests are read.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
        soft = allowed
    return soft
