"""Health checks of gateways: ``/-/ready`` on their listen address, and their view on the admin socket."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp

from latchspoke.agent.supervisor import Runtime, Supervisor
from latchspoke.fleet.lifecycle import Phase

VIEW_INTERVAL_S = 5.0  # between requests for the view of a ready gateway
VIEW_MAX_BYTES = 64 * 1024 * 1024
REQUEST_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError)


class HealthChecks:
    """Checks each instance in a task of its own, so that a slow one does not delay the others."""

    def __init__(self, supervisor: Supervisor) -> None:
        self.supervisor, self.checks = supervisor, supervisor.config.checks
        self.timeout = aiohttp.ClientTimeout(total=self.checks.limit)
        # A new connection for each check: an idle one would occupy a connection slot of the gateway.
        self.web = aiohttp.ClientSession(
            timeout=self.timeout, connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        self.tasks = [
            asyncio.get_running_loop().create_task(self.watch(runtime, index))
            for index, runtime in enumerate(supervisor.runtimes.values())
        ]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.web.close()

    async def watch(self, runtime: Runtime, index: int) -> None:
        # Spread the checks of a host's instances over the interval.
        await asyncio.sleep(self.checks.interval * index / max(len(self.supervisor.runtimes), 1))
        viewed_at, launch, phase = 0.0, 0, Phase.STOPPED
        while True:
            state = runtime.state
            if runtime.process is not None:
                now = self.supervisor.clock()
                fresh = (launch, phase) == (state.launch, state.phase) and now - viewed_at < VIEW_INTERVAL_S
                has_view = await self.check(runtime, fresh)
                if has_view and not fresh:
                    viewed_at, launch, phase = now, state.launch, runtime.state.phase
            await asyncio.sleep(self.checks.interval)

    async def check(self, runtime: Runtime, fresh: bool) -> bool:
        """Check an instance once; returns whether its view was read. ``fresh``: the view need not be read."""
        process, name = runtime.process, runtime.state.name
        draining = runtime.state.phase in (Phase.DRAINING, Phase.KILLING)
        # A draining gateway has closed its listener but still answers on its admin socket.
        ready = False if draining else await self.probe_ready(runtime)
        view = None if fresh and not draining else await self.view(name)
        if runtime.process is process and (ready is not None) and not (draining and view is None):
            self.supervisor.answered(runtime, bool(ready), view)
        return view is not None

    async def probe_ready(self, runtime: Runtime) -> bool | None:
        """Whether the gateway says that it is ready; None if it gives no answer."""
        try:
            async with self.web.get(f"http://{runtime.record.listen}/-/ready") as answer:
                return answer.status == 200
        except REQUEST_ERRORS:
            return None

    async def view(self, name: str) -> dict[str, Any] | None:
        view = await fetch_view(str(self.supervisor.config.admin_path(name)), self.timeout)
        return None if isinstance(view, str) else view


async def fetch_view(path: str, timeout: aiohttp.ClientTimeout) -> dict[str, Any] | str:
    """A gateway's view, or one line with the reason why it can't be read."""
    try:
        async with (
            aiohttp.ClientSession(connector=aiohttp.UnixConnector(path), timeout=timeout) as session,
            session.get("http://gateway/v1/view") as answer,
        ):
            if answer.status != 200:
                return f"its admin socket answers {answer.status}"
            view = json.loads(await answer.content.read(VIEW_MAX_BYTES))
            return view if isinstance(view, dict) else "its admin socket answers no view"
    except TimeoutError:
        return "its admin socket is silent"
    except REQUEST_ERRORS as e:
        return f"its admin socket can't be asked: {type(e).__name__}"
