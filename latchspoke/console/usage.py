"""Reading a command's words, the same for all commands."""

from __future__ import annotations

import sys
from typing import Any

from docopt import DocoptExit, docopt

from latchspoke.records import seconds


class UsageError(Exception):
    """The words make no sense together; one line."""


def read_usage(text: str, command: str, argv: list[str]) -> dict[str, Any] | None:
    """What ``docopt`` makes of the words; None, and a line that says so, where they fit no usage."""
    try:
        return dict(docopt(text, argv=[command, *argv]))
    except DocoptExit as e:
        print(str(e), file=sys.stderr)
        return None


def read_duration(args: dict[str, Any], name: str, usual: float = 0.0) -> float:
    """An option's duration in seconds; the usual one where it is not given."""
    if args[name] is None:
        return usual
    try:
        return seconds(args[name])
    except ValueError as e:
        raise UsageError(f"{name}: {e}") from None


def read_whole(args: dict[str, Any], name: str, least: int = 0) -> int:
    """An option's whole number."""
    text = str(args[name])
    if not text.isdecimal() or int(text) < least:
        raise UsageError(f"{name} takes a whole number of at least {least}, not {text}")
    return int(text)
