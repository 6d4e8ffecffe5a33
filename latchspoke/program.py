"""Runs one of the system's programs as a process; its last line says how it ended."""

from __future__ import annotations

import faulthandler
import importlib
import sys
import traceback
from typing import NoReturn

from latchspoke.transport.log import flush_log, log
from latchspoke.transport.output import background_output, open_missing_descriptors

EXIT_STOPPED = 0  # in order
EXIT_FAILED = 1  # a fault of the program
STANDARD_ERROR = 2
MAX_LOGGED_FRAMES = 6  # of the stack of an exception, innermost first


def run_program(name: str) -> NoReturn:
    """Run ``dataplane`` or ``controlplane`` until it ends, and exit with its code."""
    open_missing_descriptors()
    faulthandler.enable(STANDARD_ERROR, all_threads=False)  # for libraries that abort the process
    with background_output():
        exit_code = run_to_end(name)
    sys.exit(exit_code)


def run_to_end(name: str, settings_path: str | None = None) -> int:
    """Run a program until it ends, and log how it ended; returns the exit code."""
    try:
        importlib.import_module(f"latchspoke.{name}.node").main(settings_path)
    except BaseException as error:
        exit_code = exit_code_of(error)
        if exit_code == EXIT_FAILED:
            log("failed", program=name, why=describe(error), at=innermost_frames(error))
        else:
            log("failed", program=name, why=describe(error))
    else:
        exit_code = EXIT_STOPPED
        log("ended", program=name)
    flush_log()
    return exit_code


def exit_code_of(error: BaseException) -> int:
    """The exit code for what has ended a program."""
    return int(getattr(error, "exit_code", EXIT_FAILED))


def describe(error: BaseException) -> str:
    """What has ended a program, in one line."""
    text = " ".join(str(error).split())
    if hasattr(error, "exit_code"):
        return text
    if isinstance(error, ImportError):
        return f"{text}: run the build line of deploy/system.toml with this Python"
    return f"{type(error).__name__}: {text}"


def innermost_frames(error: BaseException) -> str:
    """Where an exception was raised: file and line of the innermost calls."""
    frames = traceback.extract_tb(error.__traceback__)[::-1][:MAX_LOGGED_FRAMES]
    return ",".join(f"{frame.filename.rpartition('/')[2]}:{frame.lineno}" for frame in frames)
