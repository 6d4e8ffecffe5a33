"""A tenant turns to overload, and most gateways, among them its quota owner, lose power."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from latchspoke.dataplane.usage_reports import REPORT_FIELDS, REPORT_INTERVAL_S
from latchspoke.lab.virtual_run import EPOCH
from tests.line.test_quota import (
    BURST,
    CURRENT_GATEWAY,
    MAX_ADMITTED,
    RATE,
    WINDOW_S,
    Cluster,
    Gateway,
    Schedule,
)

OVERLOAD_START_S = 2.0  # before, 0.62 times the rate is offered


class PowerLossCluster(Cluster):
    """Six of eleven gateways lose power and restart; both are detected with a delay."""

    lost: dict[str, Gateway]

    async def generate_load(self, seconds: float, load: float) -> None:
        step = REPORT_INTERVAL_S / 5
        for tick in range(int(seconds / step)):
            await asyncio.sleep(step)
            now = self.clock.now()
            offered = load if now - EPOCH >= OVERLOAD_START_S else 0.62 * RATE
            for _ in range(sum(self.rng.random() < offered * step / 20 for _ in range(20))):
                self.gateways[self.rng.choice(sorted(self.gateways))].send_request()
            if tick % 5 == 0:
                for name, gateway in self.gateways.items():
                    CURRENT_GATEWAY.set(name)
                    gateway.counts.send_due_reports(now)

    def lose_power(self) -> None:
        owner = next(iter(self.gateways.values())).counts.owner("t")
        names = [owner, *(name for name in self.names if name != owner)][:6]
        self.lost = {name: self.gateways.pop(name) for name in names}
        for name in names:
            for other in set(self.names) - set(names):
                self.loop.network.cut(name, other)
        self.loop.call_later(2.0, self.update_views)

    def restore_power(self) -> None:
        for name, former in self.lost.items():
            for other in self.names:
                self.loop.network.mend(name, other)
            self.loop.network.listeners.pop((name, 1), None)
            for wire in [*self.wires[name], *former.counts.connections.values()]:
                wire.end("reset")
            self.start(name)
        self.loop.call_later(0.3, self.update_views)
        self.mark_just_started()

    def update_views(self) -> None:
        super().update_views()
        self.mark_just_started()

    def mark_just_started(self) -> None:
        """Tell restarted gateways that others have been running."""
        for name in self.lost:
            if name in self.gateways:
                counts = self.gateways[name].counts
                counts.update_gateways(counts.gateways, True)


@pytest.mark.parametrize("seed", [3, 12, 15])
def test_quota_holds_while_the_owner_of_an_overloaded_tenant_loses_power_with_others(seed: int) -> None:
    cluster = PowerLossCluster(seed)
    schedule: Schedule = {3.6: cluster.lose_power, 5.2: cluster.restore_power}
    cluster.run(11.0, schedule, 5 * RATE)
    assert cluster.max_admitted() <= MAX_ADMITTED
    served = sum(OVERLOAD_START_S <= at < 11.0 for at in cluster.admitted_at)
    assert served > 0.75 * 9 * RATE, "most of the quota is granted"


class IneligibleCluster(PowerLossCluster):
    """Restarted gateways own no quotas while others are established, so that a survivor takes over."""

    def mark_just_started(self) -> None:
        started = {name for name in self.lost if name in self.gateways}
        for name, gateway in self.gateways.items():
            gateway.counts.update_gateways(gateway.counts.gateways, name in started, started)


@pytest.mark.parametrize("seed", [7, 16, 32])
def test_new_owner_learns_the_load_from_survivors_not_from_restarted_gateways(seed: int) -> None:
    """QUOTA: it took the first report's load, none, so that all gates opened at once: 469 in 5 s."""
    cluster = IneligibleCluster(seed)
    schedule: Schedule = {3.6: cluster.lose_power, 5.2: cluster.restore_power}
    cluster.run(11.0, schedule, 5 * RATE)
    assert cluster.max_admitted() <= RATE * WINDOW_S + BURST
    served = sum(OVERLOAD_START_S <= at < 11.0 for at in cluster.admitted_at)
    assert served > 0.75 * 9 * RATE, "most of the quota is granted"


def test_new_owner_tells_a_restarted_gateway_of_the_load_that_it_knows_itself() -> None:
    """QUOTA: to the first gateway that came back, it told of no load."""
    cluster = Cluster(1)
    owner = cluster.gateways[cluster.gateways["g0"].counts.owner("t")]
    now, replies = cluster.clock.now(), list[dict[str, Any]]()
    account = owner.dispatcher.get_account(owner.tenant, now)
    account.update_totals(3.0, 4 * RATE, RATE, (0.0, 0.0), now)
    wire: Any = SimpleNamespace(tag=("g9", "12"), send=replies.append)
    report = {"o": 1.0, "a": 0.0, "r": RATE, "b": BURST}
    values = [report.get(field) for field in REPORT_FIELDS]
    owner.counts.handle_message(wire, {"k": "c", "q": 1, "t": {"t": values}})
    remaining, offered, _ = replies[0]["t"]["t"]
    assert remaining <= 3.0 and offered >= 4 * RATE
