"""Holds duties for a process: sends heartbeats, and gives out fencing tokens for what it currently holds."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

from latchspoke.agent.client import AgentClient, AgentEntry, RefusedError, UnreachableError
from latchspoke.agent.members import clock
from latchspoke.duties.holder import DutyHolder
from latchspoke.duties.records import Candidate, Heartbeat, HeartbeatReply

HEARTBEAT_TIMEOUT_S = 1.5  # for one member; the next heartbeat goes to another one

# Called with the heartbeat and the index of the member to ask.
SendHeartbeat = Callable[[Heartbeat, int], Awaitable[HeartbeatReply | None]]


class HolderDriver:
    """A holder of duties; use ``async with``. A task of its own sends the heartbeats."""

    def __init__(self, candidate: Candidate, ask: SendHeartbeat, stop: float = 0.0) -> None:
        self.holder, self.ask = DutyHolder(candidate, stop), ask
        self.task: asyncio.Task[None] | None = None
        self.answered_at = 0.0

    async def __aenter__(self) -> HolderDriver:
        self.task = asyncio.get_running_loop().create_task(self.run())
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    def token(self, duty: str) -> int | None:
        """The fencing token for an action that begins now, or None if the duty is not held."""
        return self.holder.token(duty, clock())

    async def run(self) -> None:
        while True:
            began = clock()
            await self.send_heartbeat()
            await asyncio.sleep(max(self.holder.heartbeat_interval_s - (clock() - began), 0.02))

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; returns whether it was answered."""
        heartbeat: Heartbeat = self.holder.heartbeat(clock())
        answer = await self.ask(heartbeat, self.holder.member_index)
        if answer is None:
            return False
        self.answered_at = clock()
        self.holder.handle_reply(answer, self.answered_at)
        return True

    async def report_stopped(self, attempts: int = 10) -> None:
        """Send heartbeats until the members know which duties have stopped, at most ``attempts`` times."""
        for _ in range(attempts):
            if not self.holder.unacknowledged:
                return
            await self.send_heartbeat()
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def holder_over_sockets(
    candidate: Candidate, sockets: Iterable[str], stop: float = 0.0
) -> AsyncIterator[HolderDriver]:
    """A holder that sends its heartbeats to whichever of these agents answers."""
    clients = [AgentClient(path, AgentEntry(path), HEARTBEAT_TIMEOUT_S, None) for path in sockets]

    async def ask(heartbeat: Heartbeat, index: int) -> HeartbeatReply | None:
        try:
            return await clients[index % len(clients)].call(
                HeartbeatReply, "POST", "/v1/duties/beat", heartbeat
            )
        except (UnreachableError, RefusedError):
            return None

    try:
        async with HolderDriver(candidate, ask, stop) as driver:
            yield driver
    finally:
        await asyncio.gather(*(client.close() for client in clients))
