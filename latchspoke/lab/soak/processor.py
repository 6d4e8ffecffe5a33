"""Processor shares as quotas: a process runs until its share of a period is spent, then waits for the next.

Done by SIGSTOP and SIGCONT, which need no privileges; a process is stopped some milliseconds late.
"""

from __future__ import annotations

import contextlib
import os
import signal
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path

PERIOD_S = 0.1
POLL_INTERVAL_S = 0.003
NS_PER_S = 1e9


def processor_time_s(pid: int) -> float | None:
    """The processor time that all threads of a process have had (s); None once it has ended."""
    try:
        threads = os.listdir(f"/proc/{pid}/task")
        return sum(thread_time_s(pid, thread) for thread in threads)
    except OSError:
        return None


def thread_time_s(pid: int, thread: str) -> float:
    """The processor time of one thread (s). Raises OSError if it has ended."""
    return int(Path(f"/proc/{pid}/task/{thread}/schedstat").read_text().split()[0]) / NS_PER_S


class ProcessorQuota(threading.Thread):
    """Holds processes to their shares of a core until ``finish``.

    ``shares`` gives the share of each process that runs at present, by its number; a process that is missing
    there is left alone, as one that the run itself has stopped.
    """

    def __init__(self, shares: Callable[[], Mapping[int, float]]) -> None:
        super().__init__(name="processor-quota", daemon=True)
        self.shares = shares
        self.finishing = threading.Event()
        self.stops = 0  # periods in which a process had spent its share

    def run(self) -> None:
        """Enforce one period after the other."""
        while not self.finishing.is_set():
            self.enforce_period(time.monotonic() + PERIOD_S)

    def enforce_period(self, end: float) -> None:
        """Stop each process once it has spent its share, and let all run again at the end (monotonic s)."""
        budgets = {
            pid: used + share * PERIOD_S
            for pid, share in self.shares().items()
            if (used := processor_time_s(pid)) is not None
        }
        stopped: set[int] = set()
        while time.monotonic() < end:
            for pid in budgets.keys() - stopped:
                used = processor_time_s(pid)
                if used is not None and used >= budgets[pid]:
                    send(pid, signal.SIGSTOP)
                    stopped.add(pid)
            time.sleep(POLL_INTERVAL_S)
        for pid in stopped:
            send(pid, signal.SIGCONT)
        self.stops += len(stopped)

    def finish(self) -> None:
        """Stop enforcing; all processes run."""
        self.finishing.set()
        self.join()


def send(pid: int, number: signal.Signals) -> None:
    """Send a signal to a process that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)
