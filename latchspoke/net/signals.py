"""Signals at the end of a process: what comes once all is done must not change how it ends."""

from __future__ import annotations

import asyncio
import signal

ENDING = (signal.SIGTERM, signal.SIGINT)
HANDLED = (*ENDING, signal.SIGHUP)


def ignore_from_now_on(loop: asyncio.AbstractEventLoop) -> None:
    """Closing the loop would give its signals back to the system, which ends a process by any of them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)  # while none of the two applies
    for number in HANDLED:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
