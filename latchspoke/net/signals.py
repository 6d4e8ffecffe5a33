"""Signal handling of the programs from their first signal handler to the end of the process.

``loop.add_signal_handler`` is not used: closing the loop, or removing such a handler, restores the default
action for a moment, which ends the process. Blocking the signals meanwhile does not help, as the event loop's
other threads receive them too.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*TERMINATION_SIGNALS, signal.SIGHUP)


def set_signal_handler(
    loop: asyncio.AbstractEventLoop, number: signal.Signals, callback: Callable[[], object]
) -> None:
    """Call ``callback`` in the loop on such a signal; replaces an earlier handler.

    Signals that arrive before the callback has run share one call, so that a series of them can't starve the
    loop.
    """
    pending = False

    def run_callback() -> None:
        nonlocal pending
        pending = False
        callback()

    def on_signal(*_: object) -> None:
        nonlocal pending
        if not pending:
            pending = True
            loop.call_soon_threadsafe(run_callback)

    signal.signal(number, on_signal)
    signal.siginterrupt(number, False)


def ignore_signals() -> None:
    """Ignore all handled signals for the rest of the process, so that a late one can't change how it ends."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
