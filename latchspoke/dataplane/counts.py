"""Batched totals of quotas between gateways: each tenant's are hosted by one of the live gateways, by key."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Container, Iterable
from typing import Any

from barleyhub.line.budget import rendezvous_score
from barleyhub.line.dispatch import Dispatcher, TotalsReceived
from barleyhub.line.quota import BucketImage, QuotaOwner
from latchspoke.net.clock import Clock
from latchspoke.transport.wire import Message, Wire, dial

DIAL = 0.4  # s
AGAIN = 0.5  # s until a host that couldn't be reached is tried again
FIELDS = ("o", "a", "r", "b", "k", "ko")  # of a report, in the order in which they travel
STEP = 0.05  # s between looks at what is to be told


class Counts:
    """Reports this gateway's counts to their hosts, and hosts others'."""

    def __init__(
        self,
        name: str,
        life: str,
        clock: Clock,
        dispatcher: Dispatcher,
        told: Callable[[TotalsReceived], None],
    ) -> None:
        """``told`` gets the totals that come back."""
        self.name, self.life, self.clock, self.dispatcher, self.told = name, life, clock, dispatcher, told
        self.host = QuotaOwner()
        self.gateways: dict[str, tuple[str, int]] = {}  # live ones, with where they are reached; this one too
        self.hosts = dict[str, tuple[str, int]]()  # of them, those that host totals
        self.heirs = dict[str, dict[str, BucketImage]]()  # tallies on their way to their next hosts, by these
        self.owners: dict[str, str] = {}
        self.wires: dict[str, Wire] = {}
        self.dialling: set[str] = set()
        self.failed: dict[str, float] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.asked: dict[int, tuple[float, dict[str, dict[str, float]]]] = {}
        self.number = 0
        self.opened: Callable[[str], None] = lambda name: None  # who else uses these connections

    def live(
        self,
        gateways: dict[str, tuple[str, int]],
        cautious: bool = False,
        late: Container[str] = (),
    ) -> None:
        """The live gateways have changed, and with them who hosts what.

        ``cautious``: this process has just begun to host, and others among them have not. ``late``: those
        that leave, or have come back beside others and know nothing yet: none is a host while others can be.
        """
        self.gateways = gateways
        self.hosts = {name: at for name, at in gateways.items() if name not in late} or gateways
        self.host.just_started, self.host.gateway_count = cautious, max(len(gateways), 1)
        self.owners.clear()
        now = self.clock.now()
        for tenant in list(self.host.buckets):
            if (owner := self.owner(tenant)) != self.name and (image := self.host.hand_over(tenant, now)):
                self.heirs.setdefault(owner, {})[tenant] = image
        self.bequeath(now)
        for name in [n for n in self.wires if n not in gateways]:
            self.wires.pop(name).end("gone")

    def bequeath(self, now: float) -> None:
        """What is handed on goes to the next hosts; it is of no use to them a little later."""
        for owner, images in list(self.heirs.items()):
            wire = self.wires.get(owner)
            if wire is not None:
                wire.send({"k": "heir", "t": images})
                del self.heirs[owner]
            elif owner in self.gateways and now - self.failed.get(owner, -math.inf) >= AGAIN:
                self.open(owner, now)
            else:
                del self.heirs[owner]

    def prepare(self, tenants: Iterable[str]) -> None:
        """Connections to those who host these: the first request of one shouldn't wait for that."""
        now = self.clock.now()
        for owner in sorted({self.owner(tenant) for tenant in tenants} - {self.name, *self.wires}):
            self.open(owner, now)

    def owner(self, tenant: str) -> str:
        owner = self.owners.get(tenant)
        if owner is None:
            owner = max(self.hosts, key=lambda name: rendezvous_score(tenant, name), default=self.name)
            self.owners[tenant] = owner
        return owner

    def step(self, now: float) -> None:
        """Tell what is due, one message a host."""
        self.host.reachable_share = max(len(self.gateways), 1) / max(self.dispatcher.gateway_count, 1)
        due: dict[str, dict[str, Any]] = {}
        for name, account in self.dispatcher.accounts.items():
            if account.report_due(now):
                owner = self.owner(name)
                if owner == self.name or owner in self.wires:
                    due.setdefault(owner, {})[name] = account.report(now)
                else:
                    self.open(owner, now)
        for owner, reports in due.items():
            if owner == self.name:
                for tenant, counts in reports.items():
                    total = self.host.apply_report(self.name, self.life, tenant, counts, now)
                    self.learn(tenant, total, counts, now)
                continue
            wire = self.wires.get(owner)
            if wire is None:
                continue  # it has ended meanwhile
            self.number += 1
            self.asked[self.number] = now, reports
            if len(self.asked) > 500:
                self.asked.pop(next(iter(self.asked)))
            short = {tenant: [counts.get(f) for f in FIELDS] for tenant, counts in reports.items()}
            wire.send({"k": "c", "q": self.number, "t": short})

    def learn(
        self, tenant: str, total: tuple[float, float, float], counts: dict[str, float], asked: float
    ) -> None:
        self.told(TotalsReceived(tenant, *total, (counts["o"], counts["a"]), asked))

    def open(self, owner: str, now: float) -> None:
        if owner in self.dialling or now - self.failed.get(owner, -1e9) < AGAIN or owner not in self.gateways:
            return
        self.dialling.add(owner)
        task = asyncio.get_running_loop().create_task(self.dial(owner, *self.gateways[owner]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def dial(self, owner: str, host: str, port: int) -> None:
        def ended(wire: Wire, reason: str) -> None:
            if self.wires.get(owner) is wire:
                del self.wires[owner]
            self.failed[owner] = self.clock.now()

        wire = Wire(self.heard, ended)
        if await dial(wire, host, port, DIAL) and not wire.over:
            wire.send({"k": "counts", "name": self.name, "life": self.life})
            self.wires[owner] = wire
            self.opened(owner)
            self.bequeath(self.clock.now())
            self.step(self.clock.now())
        self.heirs.pop(owner, None)  # who can't be reached now can't go on from them later
        self.dialling.discard(owner)

    def heard(self, wire: Wire, message: Message) -> None:
        """Totals that come back."""
        asked = self.asked.pop(int(message.get("q", 0)), None)
        if asked is not None:
            at, reports = asked
            for tenant, total in message["t"].items():
                room, offered, admitted = total
                self.learn(tenant, (room, offered, admitted), reports[tenant], at)

    def count(self, wire: Wire, message: Message) -> None:
        """Another gateway's counts, for what is hosted here. What isn't, gets no total."""
        if message["k"] == "counts":
            wire.tag = str(message["name"]), str(message["life"])
            return
        if message["k"] == "heir":
            for tenant, image in message["t"].items():
                self.host.take_over(tenant, image, self.clock.now())
            return
        now, totals = self.clock.now(), {}
        name, life = wire.tag
        for tenant, told in message["t"].items():
            if self.owner(tenant) == self.name:
                counts = {f: float(value) for f, value in zip(FIELDS, told, strict=True) if value is not None}
                account = self.dispatcher.accounts.get(tenant)
                if "k" not in counts and account is not None and account.totals_fresh(now):
                    counts["k"] = account.remaining(now)
                totals[tenant] = self.host.apply_report(name, life, tenant, counts, now)
        wire.send({"q": message["q"], "t": totals})

    def stop(self) -> None:
        for wire in list(self.wires.values()):
            wire.end("stops")
