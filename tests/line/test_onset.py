"""A calm tenant turns hot, and more than half of the gateways, its totals' host among them, lose power."""

from __future__ import annotations

import asyncio

import pytest

from latchspoke.dataplane.usage_reports import REPORT_INTERVAL_S
from latchspoke.lab.virtual_run import EPOCH
from tests.line.test_quota import BOUND, HERE, RATE, Gateway, Story, World

HOT = 2.0  # s; from then on five times the rate, before it 0.62 of it


class Dark(World):
    """Six of eleven fall silent at 3.6 s, and begin anew at 5.2 s; who is gone is seen 2 s after."""

    dead: dict[str, Gateway]

    async def play(self, seconds: float, load: float) -> None:
        step = REPORT_INTERVAL_S / 5
        for tick in range(int(seconds / step)):
            await asyncio.sleep(step)
            now = self.clock.now()
            offered = load if now - EPOCH >= HOT else 0.62 * RATE
            for _ in range(sum(self.draw.random() < offered * step / 20 for _ in range(20))):
                self.gateways[self.draw.choice(sorted(self.gateways))].ask()
            if tick % 5 == 0:
                for name, gateway in self.gateways.items():
                    HERE.set(name)
                    gateway.counts.send_due_reports(now)

    def fall(self) -> None:
        owner = next(iter(self.gateways.values())).counts.owner("t")
        names = [owner, *(name for name in self.names if name != owner)][:6]
        self.dead = {name: self.gateways.pop(name) for name in names}
        for name in names:
            for other in set(self.names) - set(names):
                self.loop.network.cut(name, other)
        self.loop.call_later(2.0, self.see)

    def rise(self) -> None:
        for name, former in self.dead.items():
            for other in self.names:
                self.loop.network.mend(name, other)
            self.loop.network.listeners.pop((name, 1), None)
            for wire in [*self.wires[name], *former.counts.connections.values()]:
                wire.end("reset")
            self.begin(name)
        self.loop.call_later(0.3, self.see)
        self.warn()

    def see(self) -> None:
        super().see()
        self.warn()

    def warn(self) -> None:
        """Those that have just begun know that others have not."""
        for name in self.dead:
            if name in self.gateways:
                counts = self.gateways[name].counts
                counts.update_gateways(counts.gateways, True)


@pytest.mark.parametrize("seed", [3, 12, 15])
def test_quota_holds_while_the_host_of_a_hot_tenant_loses_power_with_others(seed: int) -> None:
    world = Dark(seed)
    story: Story = {3.6: world.fall, 5.2: world.rise}
    world.run(11.0, story, 5 * RATE)
    assert world.most() <= BOUND
    served = sum(HOT <= at < 11.0 for at in world.sent)
    assert served > 0.75 * 9 * RATE, "nor is much less given than there is"
