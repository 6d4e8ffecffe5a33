"""What ``make run`` and ``make run-gateway`` start comes up, serves, and is drained."""

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


def test_a_system_of_two_zones_comes_up_is_steered_and_ends() -> None:
    told = subprocess.run(
        [sys.executable, "examples/system/two_zones.py", "--once"],
        capture_output=True, text=True, timeout=120, check=False,
    )  # fmt: skip
    assert told.returncode == 0, told.stdout + told.stderr
    assert "version 00000002 is in force" in told.stdout and "(exit 1)" not in told.stdout
    assert "right-bank gets nothing more" in told.stdout and "evacuated: right-bank" in told.stdout
    assert "clients saw: {'200':" in told.stdout and "example-key" not in told.stdout
