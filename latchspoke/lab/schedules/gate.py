"""A gateway's decisions without its sockets for requests, for trials: the real follower, core and module.

    python -m latchspoke.lab.schedules.gate NAME SOCKETS RECORD [unchecked]

Some customers ask again and again; what was decided, by which versions, is written to RECORD, a line each:
the time (by a clock that all processes of a machine share), the customer, what became of it, the versions.
With `unchecked` a guard is taken out that a trial is to find missing: no right is compared with the time.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import sys
from collections import Counter
from collections.abc import Callable
from typing import TextIO

from barleyhub import interface as api
from barleyhub.choice import Gateway
from latchspoke.config import RulesConfig
from latchspoke.core import Attempt, Core, Flow
from latchspoke.net.clock import Clock, Timer
from latchspoke.net.rules import RulesClient, boottime

CUSTOMERS = ("c0", "c1", "c2")
EVERY = 0.02  # s
KIND = api.ClassSettings("read", aim=1.0, give_up=3.0, repeat=api.Repeat.SAFE)
PLAN = api.PlanSettings("wide", rate=0.0, burst=0.0)
SETTINGS = api.Settings(index=0, gateways=1, zone="a", classes=(KIND,), plans=(PLAN,), counter=False)


class Caller:
    """A request's client: it writes down what it hears, and when what it asked for was sent on."""

    def __init__(self, customer: str, record: TextIO) -> None:
        self.customer, self.record = customer, record
        self.flow: Flow | None = None

    def note(self, word: str) -> None:
        label = self.flow.lease.label if self.flow is not None and self.flow.lease is not None else "none"
        self.record.write(f"{boottime():.6f} {self.customer} {word} {label}\n")

    def served(self, answer: object) -> None:
        pass  # what counts is the moment at which it was sent on

    def refused(self, retry_after: float | None) -> None:
        self.note("refused")

    def failed(self, failure: object | None) -> None:
        self.note("failed")


class Ports:
    """Whatever is sent on is answered at once."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.core: Core

    def forward(self, forward: Attempt) -> None:
        client = forward.flow.client
        assert isinstance(client, Caller)
        client.note("sent")
        self.core.attempt_ended(forward, api.Code.OK, self.clock.now())

    def drop(self, forward: Attempt) -> None:
        pass

    def add_count(self, name: int, amount: float, life: float) -> None:
        pass

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        return self.clock.schedule(when, call)


class Unchecked(RulesClient):
    """Goes on under whatever it was last granted."""

    @property
    def lease_expires_at(self) -> float:
        return math.inf


async def run(name: str, sockets: str, path: str, change: str = "") -> None:
    loop = asyncio.get_running_loop()
    clock = Clock(loop)
    ports = Ports(clock)
    core = ports.core = Core(Gateway(1, SETTINGS), ports, Counter())
    servers = (api.ServerEntry("s1", api.ServerState.ACTIVE),)
    core.update_servers(api.ServerList(api.ListForm.WHOLE, servers), clock.now())
    with open(path, "a", buffering=1) as record:
        told = RulesConfig(tuple(sockets.split(",")))
        follower = (Unchecked if change else RulesClient)(
            loop, clock, name, SETTINGS, told, lambda rules: core.submit(rules, clock.now()), lambda: None
        )
        core.rules = follower
        follower.start()
        if change:
            core.lease_expired = lambda flow: False  # type: ignore[method-assign]
        for number in itertools.count():
            for customer in CUSTOMERS:
                client = Caller(customer, record)
                request = api.Request(f"{number}-{customer}", customer, "read", "wide", 1.0, 3.0, 1)
                client.flow = core.accept(request, None, client, clock.now())
                core.begin(client.flow, clock.now())
            await asyncio.sleep(EVERY)


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:5]))
