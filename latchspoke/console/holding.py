"""A holder of duties over the agents' sockets: it beats; its caller asks for the token before each act."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable

from latchspoke.agent.members import clock
from latchspoke.console.client import AgentClient, AgentEntry, RefusedError, UnheardError
from latchspoke.duties.holder import Holder
from latchspoke.duties.records import Answer, Beat, Candidate

LIMIT = 1.5  # s for one beat; the next member is asked after it


class Holding:
    """Use ``async with``. Beats go on from a task of their own; nobody waits for them."""

    def __init__(self, who: Candidate, sockets: Iterable[str], stop: float = 0.0) -> None:
        self.holder = Holder(who, stop)
        self.clients = [AgentClient(path, AgentEntry(path), LIMIT, None) for path in sockets]
        self.task: asyncio.Task[None] | None = None
        self.heard_at = 0.0

    async def __aenter__(self) -> Holding:
        self.task = asyncio.get_running_loop().create_task(self.work())
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        await asyncio.gather(*(client.close() for client in self.clients))

    def token(self, duty: str) -> int | None:
        """For an act that begins now."""
        return self.holder.token(duty, clock())

    async def work(self) -> None:
        while True:
            began = clock()
            await self.beat()
            await asyncio.sleep(max(self.holder.beat_every - (clock() - began), 0.02))

    async def beat(self) -> bool:
        """Whether it was answered."""
        beat: Beat = self.holder.beat(clock())
        client = self.clients[self.holder.place % len(self.clients)]
        try:
            answer = await client.call(Answer, "POST", "/v1/duties/beat", beat)
        except (UnheardError, RefusedError):
            return False
        self.heard_at = clock()
        self.holder.answered(answer, self.heard_at)
        return True

    async def tell(self, tries: int = 10) -> None:
        """What was stopped is told until the members know it, or so often."""
        for _ in range(tries):
            if not self.holder.untold:
                return
            await self.beat()
            await asyncio.sleep(0.05)
