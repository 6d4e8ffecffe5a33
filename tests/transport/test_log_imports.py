"""Opening the log must not import packages that only serve to print in colours."""

from __future__ import annotations

import subprocess
import sys

SCRIPT = """
import sys
from latchspoke.transport import log
log.log("serves", zone="a")
log.open_log(node="n")
assert not {name.partition(".")[0] for name in sys.modules} & {"rich", "pygments", "colorama"}
import rich.console  # the command line may still have it
"""


def test_opening_the_log_imports_no_terminal_packages() -> None:
    run = subprocess.run([sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True)
    assert "event=serves" in run.stderr and "node=n" in run.stderr
