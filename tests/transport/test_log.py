"""The log: what opening it imports, and what it keeps until then."""

from __future__ import annotations

import subprocess
import sys
from collections import deque
from typing import Any

import pytest

from latchspoke.transport import log

SCRIPT = """
import sys
from latchspoke.transport import log
log.log("serves", zone="a")
log.open_log(node="n")
assert not {name.partition(".")[0] for name in sys.modules} & {"rich", "pygments", "colorama"}
import rich.console  # the command line may still have it
"""


def test_opening_the_log_imports_no_terminal_packages() -> None:
    """It must not import packages that only serve to print in colours."""
    run = subprocess.run([sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True)
    assert "event=serves" in run.stderr and "node=n" in run.stderr


def test_long_texts_are_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """Up to 200 events wait until the log is opened, whatever callers have sent that they name."""
    monkeypatch.setattr(log, "LOGGER", [])
    events: deque[Any] = deque()
    monkeypatch.setattr(log, "BUFFERED_EVENTS", events)
    log.log("configuration-refused", why="x" * 1_000_000, faults=3)
    ((_, event, fields),) = events
    assert (event, len(fields["why"]), fields["faults"]) == ("configuration-refused", log.MAX_FIELD_CHARS, 3)
