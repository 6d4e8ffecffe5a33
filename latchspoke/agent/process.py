"""Processes of gateways: made, found again after the agent's own death, signalled, and their ends read.

A gateway is started under a *keeper*, a shell that waits for it and writes its pid and its exit status to
files in the launch's folder. So the status is known even if the agent was away when the gateway ended.
A process is the one that was started only if the kernel's start time and the mark in its environment are
the same; signals go through a pidfd, so that a pid that is used again is never hit.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable, Mapping
from pathlib import Path

MARK = "LATCHSPOKE_LAUNCH"
KEEPER = """
d=$1; log=$2; shift 2
"$@" </dev/null >>"$log" 2>&1 &
p=$!
echo $p >"$d/pid.new" && mv "$d/pid.new" "$d/pid"
wait $p
s=$?
echo $s >"$d/exit.new" && mv "$d/exit.new" "$d/exit"
"""
PID_WITHIN = 5.0  # s; for the keeper to have started it
STATUS_WITHIN = 2.0  # s after the end; for the keeper to have written the status
LOOK = 0.01  # s between looks at a file that is about to come


def started_ticks(pid: int) -> int | None:
    """When a process started, in ticks since boot; None where there is none, or only its zombie."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()  # the name before it may hold anything
    return None if fields[0] in ("Z", "X") else int(fields[19])


def marked(pid: int, mark: str) -> bool:
    """Whether the process was started with this mark."""
    try:
        return f"{MARK}={mark}".encode() in Path(f"/proc/{pid}/environ").read_bytes().split(b"\0")
    except OSError:
        return False


def read_number(path: Path) -> int | None:
    try:
        return int(path.read_text())
    except (OSError, ValueError):
        return None


async def wait_number(path: Path, within: float) -> int | None:
    """A number that another process is about to write whole."""
    loop = asyncio.get_running_loop()
    end = loop.time() + within
    while (number := read_number(path)) is None and loop.time() < end:
        await asyncio.sleep(LOOK)
    return number


class Process:
    """A gateway's process that is surely the one, until it ends."""

    def __init__(self, pid: int, started: int, fd: int) -> None:
        self.pid, self.started, self.fd = pid, started, fd

    @classmethod
    def find(cls, pid: int, mark: str, started: int | None = None) -> Process | None:
        """The process of this launch if it still runs. The pidfd is opened first, so it can't change."""
        try:
            fd = os.pidfd_open(pid)
        except OSError:
            return None
        ticks = started_ticks(pid)
        if ticks is None or started not in (None, ticks) or not marked(pid, mark):
            os.close(fd)
            return None
        return cls(pid, ticks, fd)

    def signal(self, number: int) -> None:
        """One that has ended takes no signal, and that is no error."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.fd, number)

    def on_end(self, call: Callable[[], object]) -> None:
        asyncio.get_running_loop().add_reader(self.fd, self.ended, call)

    def ended(self, call: Callable[[], object]) -> None:
        self.forget()
        call()

    def forget(self) -> None:
        """Look no more; the process goes on if it still runs."""
        if self.fd >= 0:
            asyncio.get_running_loop().remove_reader(self.fd)
            os.close(self.fd)
            self.fd = -1


class Launcher:
    """Makes the processes of one agent's instances, and knows their folders."""

    def __init__(self, home: Path) -> None:
        self.home = home
        self.keepers: set[asyncio.subprocess.Process] = set()

    def folder(self, name: str, launch: int) -> Path:
        return self.home / "run" / name / str(launch)

    def log(self, name: str) -> Path:
        return self.home / "log" / f"{name}.log"

    def mark(self, name: str, launch: int) -> str:
        return f"{self.home}:{name}:{launch}"

    async def start(
        self, name: str, launch: int, command: list[str], environment: Mapping[str, str]
    ) -> Process | str:
        """The process, or one line that says why there is none."""
        folder = self.folder(name, launch)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.log(name).parent.mkdir(exist_ok=True)
            keeper = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", KEEPER, "keeper", str(folder), str(self.log(name)), *command,
                env={**os.environ, **environment, MARK: self.mark(name, launch)},
                start_new_session=True,  # what ends the agent must not end its gateways
                stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
        except OSError as e:
            return f"can't start it: {e}"
        self.keepers.add(keeper)
        pid = await wait_number(folder / "pid", PID_WITHIN)
        if pid is None:
            return "its keeper told no pid"
        return Process.find(pid, self.mark(name, launch)) or await self.already_ended(name, launch)

    async def already_ended(self, name: str, launch: int) -> str:
        status = await self.status(name, launch)
        return "it ended at once" + (f" with code {status}" if status is not None else "")

    async def find(self, name: str, launch: int, pid: int, started: int) -> Process | None:
        """After a restart of the agent. Without a known pid its keeper may just be starting it."""
        if not pid:
            told = await wait_number(self.folder(name, launch) / "pid", PID_WITHIN)
            return Process.find(told, self.mark(name, launch)) if told is not None else None
        return Process.find(pid, self.mark(name, launch), started)

    async def status(self, name: str, launch: int) -> int | None:
        """The exit status as a shell has it; None where the keeper could not tell."""
        return await wait_number(self.folder(name, launch) / "exit", STATUS_WITHIN)

    def newest(self, name: str) -> int:
        """The last launch that left a folder; 0 where none has."""
        try:
            launches = [int(p.name) for p in (self.home / "run" / name).iterdir() if p.name.isdecimal()]
        except OSError:
            return 0
        return max(launches, default=0)

    def tidy(self, name: str, launch: int) -> None:
        """Folders of launches long over; the last one's stays for whoever looks."""
        for number in range(max(launch - 3, 1), launch - 1):
            folder = self.folder(name, number)
            for file in ("pid", "exit"):
                (folder / file).unlink(missing_ok=True)
            with contextlib.suppress(OSError):
                folder.rmdir()
