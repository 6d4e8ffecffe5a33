"""Asks gateways how they are: ``/-/ready`` on their own address, and their view on the admin socket."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp

from latchspoke.agent.supervisor import Runtime, Supervisor
from latchspoke.fleet.lifecycle import Phase

VIEW_EVERY = 5.0  # s between looks at the whole view of one that serves
VIEW_MOST = 64 * 1024 * 1024  # bytes; a view of thousands of targets is far smaller
ANSWERS = (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError)


class HealthChecks:
    """One loop for each instance, so that a silent one holds up no other."""

    def __init__(self, supervisor: Supervisor) -> None:
        self.supervisor, self.checks = supervisor, supervisor.config.checks
        self.timeout = aiohttp.ClientTimeout(total=self.checks.limit)
        # A connection of its own each time: a kept one would hold a place at the gateway for nothing.
        self.web = aiohttp.ClientSession(
            timeout=self.timeout, connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        self.tasks = [
            asyncio.get_running_loop().create_task(self.watch(runtime, place))
            for place, runtime in enumerate(supervisor.runtimes.values())
        ]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.web.close()

    async def watch(self, runtime: Runtime, place: int) -> None:
        # Spread, so that a host with many instances does not ask all of them at one moment.
        await asyncio.sleep(self.checks.interval * place / max(len(self.supervisor.runtimes), 1))
        viewed, launch, phase = 0.0, 0, Phase.STOPPED
        while True:
            state = runtime.state
            if runtime.process is not None:
                now = self.supervisor.clock()
                fresh = (launch, phase) == (state.launch, state.phase) and now - viewed < VIEW_EVERY
                asked = await self.look(runtime, fresh)
                if asked and not fresh:
                    viewed, launch, phase = now, state.launch, runtime.state.phase
            await asyncio.sleep(self.checks.interval)

    async def look(self, runtime: Runtime, fresh: bool) -> bool:
        """One check; whether the view was had."""
        process, name = runtime.process, runtime.state.name
        draining = runtime.state.phase in (Phase.DRAINING, Phase.KILLING)
        # One that drains has closed its listener; it still answers on its admin socket.
        ready = False if draining else await self.ready(runtime)
        view = None if fresh and not draining else await self.view(name)
        if runtime.process is process and (ready is not None) and not (draining and view is None):
            self.supervisor.answered(runtime, bool(ready), view)
        return view is not None

    async def ready(self, runtime: Runtime) -> bool | None:
        """True or False as it says; None where it says nothing."""
        try:
            async with self.web.get(f"http://{runtime.record.listen}/-/ready") as answer:
                return answer.status == 200
        except ANSWERS:
            return None

    async def view(self, name: str) -> dict[str, Any] | None:
        told = await fetch_view(str(self.supervisor.config.admin_path(name)), self.timeout)
        return None if isinstance(told, str) else told


async def fetch_view(path: str, timeout: aiohttp.ClientTimeout) -> dict[str, Any] | str:
    """A gateway's own view; one line where there is none."""
    try:
        async with (
            aiohttp.ClientSession(connector=aiohttp.UnixConnector(path), timeout=timeout) as session,
            session.get("http://gateway/v1/view") as answer,
        ):
            if answer.status != 200:
                return f"its admin socket answers {answer.status}"
            view = json.loads(await answer.content.read(VIEW_MOST))
            return view if isinstance(view, dict) else "its admin socket answers no view"
    except TimeoutError:
        return "its admin socket is silent"
    except ANSWERS as e:
        return f"its admin socket can't be asked: {type(e).__name__}"
