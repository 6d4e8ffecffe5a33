"""What ``make run`` starts comes up, serves, and is drained; a second time too."""

from __future__ import annotations

import subprocess
import sys


def test_the_example_comes_up_twice() -> None:
    # Twice, as the agent keeps on record that the first run has stopped its gateways.
    for _ in range(2):
        told = subprocess.run(
            [sys.executable, "examples/run.py", "--once"],
            capture_output=True, text=True, timeout=120, check=False,
        )  # fmt: skip
        assert told.returncode == 0, told.stderr
        for name in ("n0", "n1", "n2"):
            assert f"{name} 200 x" in told.stdout
            assert any(f"here/{name}" in line and "drained" in line for line in told.stdout.splitlines())
