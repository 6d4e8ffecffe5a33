"""Sends SIGKILL to a process that starts, when it has begun to write register.new.

A process of its own, so that nothing keeps it from looking. It looks at the file and changes nothing. Exit
code 1 if it missed that. Argument: path of the file. It says "ready", and then reads the process id from
standard input.
"""

import os
import signal
import sys
import time


def stamp(path):
    """Time and number of the file; None if it is missing."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_ino


def main():
    """Look until the file changes, then kill."""
    path = sys.argv[1]
    before = stamp(path)
    print("ready", flush=True)
    pid, end = int(sys.stdin.readline()), time.monotonic() + 2.0
    while stamp(path) == before:
        if time.monotonic() > end:
            return 1
    os.kill(pid, signal.SIGKILL)
    return 0


if __name__ == "__main__":
    sys.exit(main())
