"""Reading a command's words, the same for all commands."""

from __future__ import annotations

import sys
from typing import Any

from docopt import DocoptExit, docopt


def read_usage(text: str, command: str, argv: list[str]) -> dict[str, Any] | None:
    """What ``docopt`` makes of the words; None, and a line that says so, where they fit no usage."""
    try:
        return dict(docopt(text, argv=[command, *argv]))
    except DocoptExit as e:
        print(str(e), file=sys.stderr)
        return None
