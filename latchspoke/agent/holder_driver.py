"""A holder of duties as part of a process: it beats; its caller asks for the token before each act."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

from latchspoke.agent.client import AgentClient, AgentEntry, RefusedError, UnreachableError
from latchspoke.agent.members import clock
from latchspoke.duties.holder import Holder
from latchspoke.duties.records import Answer, Beat, Candidate

LIMIT = 1.5  # s for one beat; the next member is asked after it

Ask = Callable[[Beat, int], Awaitable[Answer | None]]  # the beat, and the place of whom to ask


class HolderDriver:
    """Use ``async with``. Beats go on from a task of their own; nobody waits for them."""

    def __init__(self, who: Candidate, ask: Ask, stop: float = 0.0) -> None:
        self.holder, self.ask = Holder(who, stop), ask
        self.task: asyncio.Task[None] | None = None
        self.heard_at = 0.0

    async def __aenter__(self) -> HolderDriver:
        self.task = asyncio.get_running_loop().create_task(self.work())
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

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
        answer = await self.ask(beat, self.holder.place)
        if answer is None:
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


@contextlib.asynccontextmanager
async def holder_over_sockets(
    who: Candidate, sockets: Iterable[str], stop: float = 0.0
) -> AsyncIterator[HolderDriver]:
    """A holder that asks whichever of these agents answers."""
    clients = [AgentClient(path, AgentEntry(path), LIMIT, None) for path in sockets]

    async def ask(beat: Beat, place: int) -> Answer | None:
        try:
            return await clients[place % len(clients)].call(Answer, "POST", "/v1/duties/beat", beat)
        except (UnreachableError, RefusedError):
            return None

    try:
        async with HolderDriver(who, ask, stop) as holding:
            yield holding
    finally:
        await asyncio.gather(*(client.close() for client in clients))
