"""Runs one of the system's programs as a process, whatever its standard streams lead to."""

from __future__ import annotations

import importlib
import sys
from typing import NoReturn

from latchspoke.transport.output import background_output


def run_program(name: str) -> NoReturn:
    """Run ``dataplane`` or ``controlplane`` until it ends, and exit with its code."""
    with background_output():
        exit_code = importlib.import_module(f"latchspoke.{name}.node").main()
    sys.exit(exit_code)
