"""Starting a process, and telling it from one that has ended at once."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from latchspoke.agent import process
from latchspoke.agent.process import Launcher, Process

EXIT_TIMEOUT_S = 20.0


def start(home: Path, *command: str) -> Process | str:
    async def scenario() -> Process | str:
        launcher = Launcher(home)
        started = await launcher.start("g1", 1, list(command), {})
        if isinstance(started, Process):
            started.signal(signal.SIGKILL)
            started.stop_watching()
        for wrapper in launcher.wrappers:
            await wrapper.wait()
        return started

    return asyncio.run(scenario())


@pytest.mark.parametrize("empty_reads", [0, 1, 2, 7])
def test_a_process_whose_environment_is_still_empty_is_not_taken_for_ended(
    empty_reads: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a gateway that runs unknown to its agent, which starts others at the same port."""
    reads = 0

    def read_environment(pid: int) -> bytes:
        nonlocal reads
        reads += 1
        return b"" if reads <= empty_reads else original(pid)

    original = process.read_environment
    monkeypatch.setattr(process, "read_environment", read_environment)
    assert isinstance(start(tmp_path, "sleep", "30"), Process)


def test_a_process_that_ends_at_once_is_told_with_its_status(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The launcher learns the PID only after the end: on a busy machine it may otherwise look before."""

    async def wait_number_after_end(path: Path, limit: float) -> int | None:
        assert await original(path.parent / "exit", EXIT_TIMEOUT_S) == 3
        return await original(path, limit)

    original = process.wait_number
    monkeypatch.setattr(process, "wait_number", wait_number_after_end)
    assert start(tmp_path, "sh", "-c", "exit 3") == "it ended at once with code 3"
