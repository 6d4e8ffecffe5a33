"""Batched totals of quotas between gateways: each tenant's are hosted by one of the live gateways, by key."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Container, Iterable
from typing import Any

from barleyhub.line.budget import rank
from barleyhub.line.dispatch import Dispatcher, Told
from barleyhub.line.quota import Host, Image
from latchspoke.net.clock import Clock
from latchspoke.transport.connection import Message, MessageConnection, dial

DIAL_TIMEOUT_S = 0.4  # s
REDIAL_DELAY_S = 0.5  # s until a host that couldn't be reached is tried again
REPORT_FIELDS = ("o", "a", "r", "b", "k", "ko")  # of a report, in the order in which they travel
REPORT_INTERVAL_S = 0.05  # s between looks at what is to be told


class UsageReports:
    """Reports this gateway's counts to their hosts, and hosts others'."""

    def __init__(
        self, name: str, life: str, clock: Clock, dispatcher: Dispatcher, told: Callable[[Told], None]
    ) -> None:
        """``told`` gets the totals that come back."""
        self.name, self.instance_id, self.clock, self.dispatcher, self.on_totals = (
            name,
            life,
            clock,
            dispatcher,
            told,
        )
        self.owned_quotas = Host()
        self.gateways: dict[str, tuple[str, int]] = {}  # live ones, with where they are reached; this one too
        self.eligible_owners = dict[str, tuple[str, int]]()  # of them, those that host totals
        self.handoffs = dict[str, dict[str, Image]]()  # tallies on their way to their next hosts, by these
        self.owners: dict[str, str] = {}
        self.connections: dict[str, MessageConnection] = {}
        self.dialing: set[str] = set()
        self.failed_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.pending_reports: dict[int, tuple[float, dict[str, dict[str, float]]]] = {}
        self.report_id = 0
        self.on_connected: Callable[[str], None] = lambda name: None  # who else uses these connections

    def update_gateways(
        self,
        gateways: dict[str, tuple[str, int]],
        cautious: bool = False,
        ineligible: Container[str] = (),
    ) -> None:
        """The live gateways have changed, and with them who hosts what.

        ``cautious``: this process has just begun to host, and others among them have not. ``late``: those
        that leave, or have come back beside others and know nothing yet: none is a host while others can be.
        """
        self.gateways = gateways
        self.eligible_owners = {
            name: at for name, at in gateways.items() if name not in ineligible
        } or gateways
        self.owned_quotas.cautious, self.owned_quotas.gateways = cautious, max(len(gateways), 1)
        self.owners.clear()
        now = self.clock.now()
        for tenant in list(self.owned_quotas.tallies):
            if (owner := self.owner(tenant)) != self.name and (
                image := self.owned_quotas.hand_on(tenant, now)
            ):
                self.handoffs.setdefault(owner, {})[tenant] = image
        self.send_handoffs(now)
        for name in [n for n in self.connections if n not in gateways]:
            self.connections.pop(name).end("gone")

    def send_handoffs(self, now: float) -> None:
        """What is handed on goes to the next hosts; it is of no use to them a little later."""
        for owner, images in list(self.handoffs.items()):
            wire = self.connections.get(owner)
            if wire is not None:
                wire.send({"k": "heir", "t": images})
                del self.handoffs[owner]
            elif owner in self.gateways and now - self.failed_at.get(owner, -math.inf) >= REDIAL_DELAY_S:
                self.connect(owner, now)
            else:
                del self.handoffs[owner]

    def connect_owners(self, tenants: Iterable[str]) -> None:
        """Connections to those who host these: the first request of one shouldn't wait for that."""
        now = self.clock.now()
        for owner in sorted({self.owner(tenant) for tenant in tenants} - {self.name, *self.connections}):
            self.connect(owner, now)

    def owner(self, tenant: str) -> str:
        owner = self.owners.get(tenant)
        if owner is None:
            owner = max(self.eligible_owners, key=lambda name: rank(tenant, name), default=self.name)
            self.owners[tenant] = owner
        return owner

    def send_due_reports(self, now: float) -> None:
        """Tell what is due, one message a host."""
        self.owned_quotas.part = max(len(self.gateways), 1) / max(self.dispatcher.spread, 1)
        due: dict[str, dict[str, Any]] = {}
        for name, account in self.dispatcher.accounts.items():
            if account.due(now):
                owner = self.owner(name)
                if owner == self.name or owner in self.connections:
                    due.setdefault(owner, {})[name] = account.report(now)
                else:
                    self.connect(owner, now)
        for owner, reports in due.items():
            if owner == self.name:
                for tenant, counts in reports.items():
                    total = self.owned_quotas.report(self.name, self.instance_id, tenant, counts, now)
                    self.apply_total(tenant, total, counts, now)
                continue
            wire = self.connections.get(owner)
            if wire is None:
                continue  # it has ended meanwhile
            self.report_id += 1
            self.pending_reports[self.report_id] = now, reports
            if len(self.pending_reports) > 500:
                self.pending_reports.pop(next(iter(self.pending_reports)))
            short = {tenant: [counts.get(f) for f in REPORT_FIELDS] for tenant, counts in reports.items()}
            wire.send({"k": "c", "q": self.report_id, "t": short})

    def apply_total(
        self, tenant: str, total: tuple[float, float, float], counts: dict[str, float], asked: float
    ) -> None:
        self.on_totals(Told(tenant, *total, (counts["o"], counts["a"]), asked))

    def connect(self, owner: str, now: float) -> None:
        if (
            owner in self.dialing
            or now - self.failed_at.get(owner, -1e9) < REDIAL_DELAY_S
            or owner not in self.gateways
        ):
            return
        self.dialing.add(owner)
        task = asyncio.get_running_loop().create_task(self.open_connection(owner, *self.gateways[owner]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open_connection(self, owner: str, host: str, port: int) -> None:
        def ended(wire: MessageConnection, reason: str) -> None:
            if self.connections.get(owner) is wire:
                del self.connections[owner]
            self.failed_at[owner] = self.clock.now()

        wire = MessageConnection(self.handle_totals, ended)
        if await dial(wire, host, port, DIAL_TIMEOUT_S) and not wire.closed:
            wire.send({"k": "counts", "name": self.name, "life": self.instance_id})
            self.connections[owner] = wire
            self.on_connected(owner)
            self.send_handoffs(self.clock.now())
            self.send_due_reports(self.clock.now())
        self.handoffs.pop(owner, None)  # who can't be reached now can't go on from them later
        self.dialing.discard(owner)

    def handle_totals(self, wire: MessageConnection, message: Message) -> None:
        """Totals that come back."""
        asked = self.pending_reports.pop(int(message.get("q", 0)), None)
        if asked is not None:
            at, reports = asked
            for tenant, total in message["t"].items():
                room, offered, admitted = total
                self.apply_total(tenant, (room, offered, admitted), reports[tenant], at)

    def handle_message(self, wire: MessageConnection, message: Message) -> None:
        """Another gateway's counts, for what is hosted here. What isn't, gets no total."""
        if message["k"] == "counts":
            wire.tag = str(message["name"]), str(message["life"])
            return
        if message["k"] == "heir":
            for tenant, image in message["t"].items():
                self.owned_quotas.inherit(tenant, image, self.clock.now())
            return
        now, totals = self.clock.now(), {}
        name, life = wire.tag
        for tenant, told in message["t"].items():
            if self.owner(tenant) == self.name:
                counts = {
                    f: float(value) for f, value in zip(REPORT_FIELDS, told, strict=True) if value is not None
                }
                account = self.dispatcher.accounts.get(tenant)
                if "k" not in counts and account is not None and account.fresh(now):
                    counts["k"] = account.room(now)
                totals[tenant] = self.owned_quotas.report(name, life, tenant, counts, now)
        wire.send({"q": message["q"], "t": totals})

    def stop(self) -> None:
        for wire in list(self.connections.values()):
            wire.end("stops")
