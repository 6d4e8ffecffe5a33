"""Signal handling at the end of a process, so that a late signal does not change the exit status."""

from __future__ import annotations

import asyncio
import signal

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*TERMINATION_SIGNALS, signal.SIGHUP)


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore all handled signals; closing the event loop would restore their default action, termination."""
    signal.pthread_sigmask(
        signal.SIG_BLOCK, HANDLED_SIGNALS
    )  # between removing a handler and ignoring the signal
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
