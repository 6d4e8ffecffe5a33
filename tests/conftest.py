"""A test bench for the decision module, and common settings."""

from __future__ import annotations

import signal
from dataclasses import replace
from typing import Any

import pytest

from barleyhub import interface as api
from barleyhub.choice import Gateway
from barleyhub.interface import Code

if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    # A run in the background of a shell ignores SIGINT, and processes started by tests would inherit that.
    signal.signal(signal.SIGINT, signal.default_int_handler)

SAFE = api.ClassSettings("read", aim=1.0, give_up=3.0, repeat=api.Repeat.SAFE)
KEYED = api.ClassSettings(
    "put", aim=1.0, give_up=6.0, repeat=api.Repeat.KEYED, group=api.Group.CELL, repeat_window=2.0
)
UNSAFE = api.ClassSettings("add", aim=1.0, give_up=3.0, repeat=api.Repeat.UNSAFE)
PLAN = api.PlanSettings("plan", rate=2.0, burst=6.0)
WIDE = api.PlanSettings("wide", rate=500.0, burst=1000.0)
OPEN = api.PlanSettings("open", rate=0.0, burst=0.0, concurrency=2)
CAPPED = api.PlanSettings(
    "capped", rate=2.0, burst=6.0, ceiling_rate=4.0, ceiling_burst=12.0, ceiling_slack=1.2
)
BASE = api.Settings(
    index=0,
    gateways=3,
    zone="a",
    classes=(SAFE, KEYED, UNSAFE),
    plans=(PLAN, WIDE, OPEN, CAPPED),
    counter_limit=0.05,
    try_limit=4,
    retry_after=True,
    max_retry_after=2.0,
    start_capacity=0.2,
    cold_time=10.0,
    fall_multiple=3.0,
)


class Bench:
    """Sends events to a gateway's decision module and records its actions."""

    def __init__(self, seed: int = 1, servers: int = 3, **changes: Any) -> None:
        self.now = 1000.0
        self.gateway = Gateway(seed, replace(BASE, **changes))
        self.log: list[api.Action] = list(self.gateway.start(self.now))
        self.request_count = 0
        if servers:
            self.update_servers(*(entry(f"s{i}", cell=i // 2) for i in range(servers)))

    def send_event(self, event: api.Event) -> list[api.Action]:
        actions = self.gateway.handle(event, self.now)
        self.log += actions
        return actions

    def update_servers(
        self, *entries: api.ServerEntry, form: api.ListForm = api.ListForm.WHOLE
    ) -> list[api.Action]:
        return self.send_event(api.ServerList(form, entries))

    def ask(
        self,
        service: str = "read",
        plan: str = "wide",
        customer: str = "c",
        left: float = 3.0,
        spread: int = 3,
    ) -> list[api.Action]:
        self.request_count += 1
        return self.send_event(
            api.Request(f"r{self.request_count}", customer, service, plan, 1.0, left, spread)
        )

    def ask_with_total(self, total: float, plan: str = "plan", **more: Any) -> list[api.Action]:
        """Send a request, and answer each counter call that it waits for with this decayed total."""
        actions = self.ask(plan=plan, **more)
        while self.gateway.counter_calls:
            account, tally = next(iter(self.gateway.counter_calls.values()))
            actions = actions + self.answer(Code.OK, total * account.weight(tally, self.now), took=0.0)
        return actions

    def end(
        self, send: api.Send, code: api.Code, took: float = 0.1, closed: bool = False
    ) -> list[api.Action]:
        self.now += took
        attempt = sum(isinstance(a, api.Send) and a.request == send.request for a in self.log) - 1
        done = closed or code is api.Code.OK
        return self.send_event(api.Outcome(send.request, attempt, send.server, code, took, done))

    def answer(self, code: api.Code, total: float = 0.0, took: float = 0.003) -> list[api.Action]:
        """Answer the oldest outstanding counter call."""
        self.now += took
        name = next(iter(self.gateway.counter_calls))
        return self.send_event(api.CountAnswer(name, code, took, total))


def entry(server: str, **more: Any) -> api.ServerEntry:
    return api.ServerEntry(server, more.pop("state", api.ServerState.ACTIVE), zone="a", **more)


def only(actions: list[api.Action], kind: type) -> list[Any]:
    return [a for a in actions if isinstance(a, kind)]


@pytest.fixture
def bench() -> Bench:
    """A bench without a counter, so that requests are sent at once."""
    return Bench(counter=False)
