"""Signals of a process that come in series."""

from __future__ import annotations

import asyncio
import signal

from latchspoke.net.signals import set_signal_handler


def test_series_of_signals_does_not_starve_the_loop() -> None:
    """Each of many SIGHUPs read the settings file; a process told to stop meanwhile did not end."""
    calls: list[int] = []

    async def deliver() -> None:
        previous = signal.getsignal(signal.SIGUSR2)
        set_signal_handler(asyncio.get_running_loop(), signal.SIGUSR2, lambda: calls.append(len(calls)))
        for _ in range(2):
            for _ in range(50):
                signal.raise_signal(signal.SIGUSR2)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        signal.signal(signal.SIGUSR2, previous)

    asyncio.run(deliver())
    assert calls == [0, 1]  # one for each series: the last signal is never lost
