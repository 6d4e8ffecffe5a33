"""``python3 -m latchspoke.doctor [SETTINGS FILE]``: says what a start on this machine would meet.

It needs no libraries, as they may be what is missing. Exit codes: 0 nothing in the way, 1 a start would fail
or wait, 2 wrong usage.
"""

from __future__ import annotations

import os
import sys

from latchspoke.doctor.examine import ROOT, examine
from latchspoke.doctor.findings import Level, worst
from latchspoke.doctor.installation import LIBRARIES

SETTINGS_FILE_VARIABLE = "LATCHSPOKE_NODE_FILE"


def main(arguments: list[str]) -> int:
    """Print one line for each check; returns the exit code."""
    if len(arguments) > 1 or arguments[:1] in (["-h"], ["--help"]):
        print("usage: python3 -m latchspoke.doctor [SETTINGS FILE]", file=sys.stderr)
        return 0 if len(arguments) == 1 else 2
    sys.path.append(str(ROOT / LIBRARIES))
    found = examine(arguments[0] if arguments else os.environ.get(SETTINGS_FILE_VARIABLE))
    for finding in found:
        print(finding)
    return int(worst(found) is Level.FAILURE)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
