"""Quota usage reports between gateways.

The totals of each tenant are kept by one live gateway, the quota owner, chosen by rendezvous hashing.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Container, Iterable
from typing import Any

from barleyhub.line.budget import rendezvous_score
from barleyhub.line.dispatch import Dispatcher, TotalsReceived
from barleyhub.line.quota import BucketImage, QuotaOwner
from latchspoke.net.clock import Clock
from latchspoke.transport.connection import Message, MessageConnection, dial

DIAL_TIMEOUT_S = 0.4
REDIAL_DELAY_S = 0.5  # after a failed connection attempt
REPORT_FIELDS = ("o", "a", "r", "b", "k", "ko")  # fields of a report, in wire order
REPORT_INTERVAL_S = 0.05


class UsageReports:
    """Reports this gateway's usage to the quota owners, and keeps the totals of the tenants it owns."""

    def __init__(
        self,
        name: str,
        instance_id: str,
        clock: Clock,
        dispatcher: Dispatcher,
        on_totals: Callable[[TotalsReceived], None],
    ) -> None:
        """``on_totals`` receives the totals that quota owners return."""
        self.name, self.instance_id, self.clock, self.dispatcher, self.on_totals = (
            name,
            instance_id,
            clock,
            dispatcher,
            on_totals,
        )
        self.owned_quotas = QuotaOwner()
        self.gateways: dict[str, tuple[str, int]] = {}  # addresses of all live gateways
        self.eligible_owners = dict[str, tuple[str, int]]()  # those that may own quotas
        self.handoffs = dict[str, dict[str, BucketImage]]()  # by new owner, then tenant
        self.owners: dict[str, str] = {}
        self.connections: dict[str, MessageConnection] = {}
        self.dialing: set[str] = set()
        self.failed_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.pending_reports: dict[int, tuple[float, dict[str, dict[str, float]]]] = {}
        self.report_id = 0
        self.on_connected: Callable[[str], None] = lambda name: None  # called once a connection is up

    def update_gateways(
        self,
        gateways: dict[str, tuple[str, int]],
        cautious: bool = False,
        ineligible: Container[str] = (),
    ) -> None:
        """The set of live gateways has changed, and with it the quota owners.

        ``cautious``: this process has only just become an owner while other gateways have been running.
        ``ineligible``: gateways that are leaving, or have restarted beside others and have no totals yet;
        they own no quotas unless no other gateway remains.
        """
        self.gateways = gateways
        self.eligible_owners = {
            name: address for name, address in gateways.items() if name not in ineligible
        } or gateways
        self.owned_quotas.just_started, self.owned_quotas.gateway_count = cautious, max(len(gateways), 1)
        self.owners.clear()
        now = self.clock.now()
        for tenant in list(self.owned_quotas.buckets):
            if (owner := self.owner(tenant)) != self.name and (
                image := self.owned_quotas.hand_over(tenant, now)
            ):
                self.handoffs.setdefault(owner, {})[tenant] = image
        self.send_handoffs(now)
        for name in [gateway for gateway in self.connections if gateway not in gateways]:
            self.connections.pop(name).end("gateway is gone")

    def send_handoffs(self, now: float) -> None:
        """Send totals to their new owners; images that cannot be delivered soon are dropped as stale."""
        for owner, images in list(self.handoffs.items()):
            connection = self.connections.get(owner)
            if connection is not None:
                connection.send({"k": "heir", "t": images})
                del self.handoffs[owner]
            elif owner in self.gateways and now - self.failed_at.get(owner, -math.inf) >= REDIAL_DELAY_S:
                self.connect(owner, now)
            else:
                del self.handoffs[owner]

    def connect_owners(self, tenants: Iterable[str]) -> None:
        """Connect to the owners of these tenants in advance, so that first requests need not wait."""
        now = self.clock.now()
        for owner in sorted({self.owner(tenant) for tenant in tenants} - {self.name, *self.connections}):
            self.connect(owner, now)

    def owner(self, tenant: str) -> str:
        """The gateway that owns the quota of a tenant."""
        owner = self.owners.get(tenant)
        if owner is None:
            owner = max(
                self.eligible_owners, key=lambda name: rendezvous_score(tenant, name), default=self.name
            )
            self.owners[tenant] = owner
        return owner

    def send_due_reports(self, now: float) -> None:
        """Send the usage reports that are due, one message per owner."""
        self.owned_quotas.reachable_share = max(len(self.gateways), 1) / max(self.dispatcher.gateway_count, 1)
        due_reports: dict[str, dict[str, Any]] = {}
        for name, account in self.dispatcher.accounts.items():
            if account.report_due(now):
                owner = self.owner(name)
                if owner == self.name or owner in self.connections:
                    due_reports.setdefault(owner, {})[name] = account.report(now)
                else:
                    self.connect(owner, now)
        for owner, reports in due_reports.items():
            if owner == self.name:
                for tenant, counts in reports.items():
                    total = self.owned_quotas.apply_report(self.name, self.instance_id, tenant, counts, now)
                    self.apply_total(tenant, total, counts, now)
                continue
            connection = self.connections.get(owner)
            if connection is None:
                continue  # closed in the meantime
            self.report_id += 1
            self.pending_reports[self.report_id] = now, reports
            if len(self.pending_reports) > 500:
                self.pending_reports.pop(next(iter(self.pending_reports)))
            wire_reports = {
                tenant: [counts.get(field) for field in REPORT_FIELDS] for tenant, counts in reports.items()
            }
            connection.send({"k": "c", "q": self.report_id, "t": wire_reports})

    def apply_total(
        self, tenant: str, total: tuple[float, float, float], counts: dict[str, float], reported_at: float
    ) -> None:
        """Pass on the totals for a tenant that answer a report sent at ``reported_at``."""
        self.on_totals(TotalsReceived(tenant, *total, (counts["o"], counts["a"]), reported_at))

    def connect(self, owner: str, now: float) -> None:
        """Open a connection to an owner, unless an attempt is under way or failed recently."""
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
        """Connect to an owner, then send it pending hand-offs and reports."""

        def on_closed(connection: MessageConnection, reason: str) -> None:
            if self.connections.get(owner) is connection:
                del self.connections[owner]
            self.failed_at[owner] = self.clock.now()

        connection = MessageConnection(self.handle_totals, on_closed)
        if await dial(connection, host, port, DIAL_TIMEOUT_S) and not connection.closed:
            connection.send({"k": "counts", "name": self.name, "life": self.instance_id})
            self.connections[owner] = connection
            self.on_connected(owner)
            self.send_handoffs(self.clock.now())
            self.send_due_reports(self.clock.now())
        self.handoffs.pop(owner, None)  # too old by the time the owner is reachable
        self.dialing.discard(owner)

    def handle_totals(self, connection: MessageConnection, message: Message) -> None:
        """Totals returned by a quota owner."""
        pending = self.pending_reports.pop(int(message.get("q", 0)), None)
        if pending is not None:
            reported_at, reports = pending
            for tenant, total in message["t"].items():
                room, offered, admitted = total
                self.apply_total(tenant, (room, offered, admitted), reports[tenant], reported_at)

    def handle_message(self, connection: MessageConnection, message: Message) -> None:
        """A message from another gateway; tenants not owned here get no total in the reply."""
        if message["k"] == "counts":
            connection.tag = str(message["name"]), str(message["life"])
            return
        if message["k"] == "heir":
            for tenant, image in message["t"].items():
                self.owned_quotas.take_over(tenant, image, self.clock.now())
            return
        now, totals = self.clock.now(), {}
        name, instance_id = connection.tag
        for tenant, values in message["t"].items():
            if self.owner(tenant) == self.name:
                counts = {
                    field: float(value)
                    for field, value in zip(REPORT_FIELDS, values, strict=True)
                    if value is not None
                }
                account = self.dispatcher.accounts.get(tenant)
                if "k" not in counts and account is not None:
                    counts |= account.known_totals(now)
                totals[tenant] = self.owned_quotas.apply_report(name, instance_id, tenant, counts, now)
        connection.send({"q": message["q"], "t": totals})

    def stop(self) -> None:
        """Close all connections."""
        for connection in list(self.connections.values()):
            connection.end("shutting down")
