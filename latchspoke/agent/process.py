"""Starts gateway processes, finds them after a restart of the agent, signals them and reads exit statuses.

A gateway runs under a wrapper shell that waits for it and writes its PID and its exit status to files in the
folder of the launch, so the status is known even if the agent was not running when the gateway exited. A
process is recognized by the kernel's start time and a mark in its environment. Signals go through a pidfd,
so a reused PID never receives one.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable, Mapping
from pathlib import Path

MARK = "LATCHSPOKE_LAUNCH"
WRAPPER_SCRIPT = """
d=$1; log=$2; shift 2
"$@" </dev/null >>"$log" 2>&1 &
p=$!
echo $p >"$d/pid.new" && mv "$d/pid.new" "$d/pid"
wait $p
s=$?
echo $s >"$d/exit.new" && mv "$d/exit.new" "$d/exit"
"""
PID_TIMEOUT_S = 5.0  # for the wrapper to start the gateway
STATUS_TIMEOUT_S = 2.0  # for the wrapper to write the exit status
POLL_INTERVAL_S = 0.01


def start_ticks(pid: int) -> int | None:
    """The start time of a process in clock ticks since boot; None if it does not exist or is a zombie."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()  # the name before it may contain spaces and parentheses
    return None if fields[0] in ("Z", "X") else int(fields[19])


def read_environment(pid: int) -> bytes:
    """The environment of a process, empty while it executes a new program. Raises OSError."""
    return Path(f"/proc/{pid}/environ").read_bytes()


def has_mark(pid: int, mark: str) -> bool:
    """Whether the process has this mark in its environment."""
    try:
        return f"{MARK}={mark}".encode() in read_environment(pid).split(b"\0")
    except OSError:
        return False


def is_executing(pid: int) -> bool:
    """Whether the process is about to run a new program, so that its environment can't be read yet."""
    try:
        return start_ticks(pid) is not None and not read_environment(pid)
    except OSError:
        return False


def read_number(path: Path) -> int | None:
    try:
        return int(path.read_text())
    except (OSError, ValueError):
        return None


async def wait_number(path: Path, timeout_s: float) -> int | None:
    """Wait for a file that another process creates atomically, and return the number in it."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while (number := read_number(path)) is None and loop.time() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)
    return number


class Process:
    """A gateway's process, identified by a pidfd."""

    def __init__(self, pid: int, started: int, fd: int) -> None:
        self.pid, self.started, self.fd = pid, started, fd

    @classmethod
    def find(cls, pid: int, mark: str, started: int | None = None) -> Process | None:
        """The process of this launch if it still runs; opens the pidfd first, against reuse of the PID."""
        try:
            fd = os.pidfd_open(pid)
        except OSError:
            return None
        ticks = start_ticks(pid)
        if ticks is None or started not in (None, ticks) or not has_mark(pid, mark):
            os.close(fd)
            return None
        return cls(pid, ticks, fd)

    @classmethod
    async def find_started(cls, pid: int, mark: str) -> Process | None:
        """As ``find``, for a process that may just have been forked."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PID_TIMEOUT_S
        while (process := cls.find(pid, mark)) is None and is_executing(pid) and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        # Its environment may have become readable between the two looks.
        return process or cls.find(pid, mark)

    def signal(self, number: int) -> None:
        """Send a signal; does nothing if the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.fd, number)

    def on_end(self, callback: Callable[[], object]) -> None:
        asyncio.get_running_loop().add_reader(self.fd, self.handle_end, callback)

    def handle_end(self, callback: Callable[[], object]) -> None:
        self.stop_watching()
        callback()

    def stop_watching(self) -> None:
        """Close the pidfd; the process keeps running."""
        if self.fd >= 0:
            asyncio.get_running_loop().remove_reader(self.fd)
            os.close(self.fd)
            self.fd = -1


class Launcher:
    """Starts the processes of one agent's instances and manages their folders."""

    def __init__(self, home: Path) -> None:
        self.home = home
        self.wrappers: set[asyncio.subprocess.Process] = set()

    def folder(self, name: str, launch: int) -> Path:
        return self.home / "run" / name / str(launch)

    def log(self, name: str) -> Path:
        return self.home / "log" / f"{name}.log"

    def mark(self, name: str, launch: int) -> str:
        return f"{self.home}:{name}:{launch}"

    async def start(
        self, name: str, launch: int, command: list[str], environment: Mapping[str, str]
    ) -> Process | str:
        """Start a process; returns it, or one line with the reason for the failure."""
        folder = self.folder(name, launch)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.log(name).parent.mkdir(exist_ok=True)
            wrapper = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", WRAPPER_SCRIPT, "keeper", str(folder), str(self.log(name)), *command,
                env={**os.environ, **environment, MARK: self.mark(name, launch)},
                start_new_session=True,  # a signal to the agent's group must not reach gateways
                stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
        except OSError as e:
            return f"can't start it: {e}"
        self.wrappers.add(wrapper)
        pid = await wait_number(folder / "pid", PID_TIMEOUT_S)
        if pid is None:
            return "its keeper told no pid"
        process = await Process.find_started(pid, self.mark(name, launch))
        return process or await self.already_ended(name, launch)

    async def already_ended(self, name: str, launch: int) -> str:
        status = await self.status(name, launch)
        return "it ended at once" + (f" with code {status}" if status is not None else "")

    async def find(self, name: str, launch: int, pid: int, started: int) -> Process | None:
        """Find a process after a restart of the agent; waits for the wrapper's file if no PID is recorded."""
        if not pid:
            found_pid = await wait_number(self.folder(name, launch) / "pid", PID_TIMEOUT_S)
            if found_pid is None:
                return None
            return await Process.find_started(found_pid, self.mark(name, launch))
        return Process.find(pid, self.mark(name, launch), started)

    async def status(self, name: str, launch: int) -> int | None:
        """The exit status in a shell's convention; None if the wrapper has not written it."""
        return await wait_number(self.folder(name, launch) / "exit", STATUS_TIMEOUT_S)

    def newest_launch(self, name: str) -> int:
        """The number of the last launch that has a folder, or 0."""
        try:
            launches = [int(p.name) for p in (self.home / "run" / name).iterdir() if p.name.isdecimal()]
        except OSError:
            return 0
        return max(launches, default=0)

    def remove_old_folders(self, name: str, launch: int) -> None:
        """Remove the folders of old launches; the previous launch's folder is kept for inspection."""
        for number in range(max(launch - 3, 1), launch - 1):
            folder = self.folder(name, number)
            for file in ("pid", "exit"):
                (folder / file).unlink(missing_ok=True)
            with contextlib.suppress(OSError):
                folder.rmdir()
