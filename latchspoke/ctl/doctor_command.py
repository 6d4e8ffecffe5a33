"""``doctor``: what a start of a program on this machine would meet."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from latchspoke.ctl.common import DEFAULT_OUTPUT, DONE, FINDINGS, INVALID, OutputOptions, print_result
from latchspoke.doctor.examine import examine
from latchspoke.doctor.findings import Level, worst

EXIT_CODES = {Level.GOOD: DONE, Level.WARNING: FINDINGS, Level.FAILURE: INVALID}


def doctor(
    *,
    settings: Annotated[Path | None, Parameter(help="The settings file of the process.")] = None,
    said: OutputOptions = DEFAULT_OUTPUT,
) -> int:
    """Check what a start on this machine needs: libraries, threads, processor, memory, addresses, disk."""
    found = examine(str(settings) if settings else None)
    checks = [
        {"check": finding.check, "level": finding.level.name.lower(), "text": finding.text}
        for finding in found
    ]
    return print_result(said, "\n".join(map(str, found)), {"checks": checks}, EXIT_CODES[worst(found)])
