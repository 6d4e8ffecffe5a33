"""Cold servers get no more from all gateways together than their limit per window allows."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import replace

import pytest

from barleyhub import interface as api
from barleyhub.choice import Gateway
from barleyhub.interface import Code
from tests.conftest import BASE, Bench, entry

WARM, COLD = 20, 3  # servers
UNIT_RATE = 240.0  # units per second that all gateways together receive
CAPACITY = UNIT_RATE / WARM / 0.75  # units per second of a warm server
COLD_START_S, END_S = 8.0, 18.0
KEPT = 4  # warm servers that stay where the others are removed


def warmup_capacity(now: float) -> float:
    return BASE.start_capacity + (1 - BASE.start_capacity) * min(
        max(now - COLD_START_S, 0.0) / BASE.cold_time, 1.0
    )


class GatewaySimulation:
    """Independent gateways in front of simulated servers."""

    def __init__(
        self, gateways: int, uneven: bool = False, counter: bool = False, seed: int = 1, window: float = 1.0
    ) -> None:
        self.random, self.window = random.Random(seed), window
        base = replace(BASE, gateways=gateways, counter=counter, fall_time=window)
        self.settings = [replace(base, index=i) for i in range(gateways)]
        self.gateways = [Gateway(seed * 1000 + s.index, s) for s in self.settings]
        self.weights = [0.7**i if uneven else 1.0 for i in range(gateways)]
        self.now, self.sequence, self.latency, self.counter_down_until = 0.0, 0, 0.3, 0.0
        self.slowdowns: dict[str, float] = {}
        self.events: list[tuple[float, int, int, api.Event]] = []
        self.in_flight: dict[str, tuple[int, api.Send]] = {}
        self.free_at: dict[str, float] = {}
        self.sent_at: dict[str, list[float]] = {}
        for i in range(gateways):
            self.handle(i, api.ServerList(api.ListForm.WHOLE, tuple(entry(f"s{k}") for k in range(WARM))))

    def handle(self, index: int, event: api.Event) -> None:
        for action in self.gateways[index].handle(event, self.now):
            if isinstance(action, api.Send):
                self.in_flight[action.request] = (index, action)
                self.sent_at.setdefault(action.server, []).append(self.now)
                took = self.answer_time(action.server)
                self.schedule(took, index, api.Outcome(action.request, 0, action.server, Code.OK, took, True))
            elif isinstance(action, api.AddCount):
                wait = max(0.003, self.counter_down_until - self.now)
                self.schedule(wait, index, api.CountAnswer(action.name, Code.OK, wait, action.amount))

    def answer_time(self, server: str) -> float:
        """The time until the answer (s), as a server does no more than its capacity."""
        capacity = CAPACITY * (warmup_capacity(self.now) if server.startswith("cold") else 1.0)
        self.free_at[server] = max(self.free_at.get(server, 0.0), self.now) + 1 / capacity
        return max(self.latency * self.slowdowns.get(server[:4], 1.0), self.free_at[server] - self.now)

    def schedule(self, wait: float, index: int, event: api.Event) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + wait, self.sequence, index, event))

    def request(self, index: int) -> None:
        self.sequence += 1
        service = self.random.choice(["read", "put", "add"])
        name = f"{self.sequence}"
        self.handle(index, api.Request(name, name, service, "wide", 1.0, 3.0, len(self.gateways)))

    def run(self, end: float, rate: float = UNIT_RATE) -> None:
        """Run until ``end`` (s), with requests at random times to gateways drawn by weight."""
        times = [
            self.now + self.random.random() * (end - self.now) for _ in range(int(rate * (end - self.now)))
        ]
        indexes = self.random.choices(range(len(self.gateways)), self.weights, k=len(times))
        requests = sorted(zip(times, indexes, strict=True), reverse=True)
        while requests or (self.events and self.events[0][0] <= end):
            if requests and (not self.events or requests[-1][0] <= self.events[0][0]):
                self.now, index = requests.pop()
                self.request(index)
            else:
                self.now, _, index, event = heapq.heappop(self.events)
                if isinstance(event, api.Outcome) and self.in_flight.pop(event.request, None) is None:
                    continue
                self.handle(index, event)
        self.now = end

    def replace_servers(self, kept: int) -> None:
        """List cold servers and remove all but some warm ones, which resets the attempts in flight there."""
        names = [f"s{k}" for k in range(kept)]
        cold = [entry(f"cold{k}", launched=COLD_START_S) for k in range(COLD)]
        for i in range(len(self.gateways)):
            self.handle(i, api.ServerList(api.ListForm.WHOLE, (*(entry(n) for n in names), *cold)))
        for name, (index, send) in list(self.in_flight.items()):
            if send.server not in names:
                del self.in_flight[name]
                self.handle(index, api.Outcome(name, 0, send.server, Code.RESET, 0.1))

    def restart_gateway(self, index: int) -> None:
        kept = self.gateways[index].servers
        self.gateways[index] = Gateway(9000 + index, self.settings[index])
        self.in_flight = {name: at for name, at in self.in_flight.items() if at[0] != index}
        self.handle(index, api.ServerList(api.ListForm.SAVED, tuple(s.entry for s in kept.values())))

    def highest_limit_use(self) -> float:
        """The most units that a cold server got in a window, as a share of its limit."""
        most = 0.0
        for k in range(COLD):
            times = self.sent_at.get(f"cold{k}", [])
            for i, first in enumerate(times):
                within = sum(first <= t < first + self.window for t in times[i:])
                most = max(
                    most, within / (BASE.fall_multiple * warmup_capacity(first) * CAPACITY * self.window)
                )
        return most

    def capacity_use(self) -> float:
        """The units that the cold servers got, as a share of their capacity."""
        cold = sum(len(self.sent_at.get(f"cold{k}", [])) for k in range(COLD))
        return cold / (
            COLD
            * CAPACITY
            * (END_S - COLD_START_S)
            * (warmup_capacity(COLD_START_S) + warmup_capacity(END_S))
            / 2
        )


@pytest.mark.parametrize("gateways", [2, 80, 400])
@pytest.mark.parametrize("uneven", [False, True])
def test_idle_cold_servers_beside_slow_warm_ones_stay_within_the_limit(gateways: int, uneven: bool) -> None:
    """Idle cold servers look fastest to every gateway at once."""
    simulation = GatewaySimulation(gateways, uneven)
    simulation.run(COLD_START_S)
    simulation.latency = 0.55
    simulation.replace_servers(kept=WARM)
    simulation.run(END_S)
    assert simulation.highest_limit_use() <= 1.0
    assert simulation.capacity_use() > 0.05


@pytest.mark.parametrize(("gateways", "seed"), [(2, 1), (4, 2), (4, 3)])
def test_fast_cold_servers_get_more_within_the_limit(gateways: int, seed: int) -> None:
    """Otherwise restarted servers stay idle during a rollout while the others are overloaded."""
    used = []
    for slowdown in (3.0, 0.3):
        simulation = GatewaySimulation(gateways, seed=seed, window=3.0)
        simulation.run(COLD_START_S)
        simulation.replace_servers(kept=WARM // 2)
        simulation.slowdowns = {"cold": slowdown}
        simulation.latency = 0.5
        simulation.run(END_S)
        assert simulation.highest_limit_use() <= 1.0
        used.append(simulation.capacity_use())
    assert used[1] > 1.1 * used[0]


@pytest.mark.parametrize("gateways", [2, 80, 400])
@pytest.mark.parametrize("kept", [0, KEPT])
def test_a_burst_of_retries_after_a_loss_of_warm_servers_stays_within_the_limit(
    gateways: int, kept: int
) -> None:
    simulation = GatewaySimulation(gateways)
    simulation.run(COLD_START_S)
    simulation.replace_servers(kept)
    simulation.run(END_S)
    assert simulation.highest_limit_use() <= 1.0
    assert simulation.capacity_use() > 0.05


@pytest.mark.parametrize("gateways", [2, 80])
@pytest.mark.parametrize("kept", [0, KEPT])
@pytest.mark.parametrize("part", [0.5, 1.0])
def test_restarted_gateways_stay_within_the_limit(gateways: int, kept: int, part: float) -> None:
    """A gateway without estimates assumes one unit per warm server and mean target latency."""
    simulation = GatewaySimulation(gateways)
    simulation.run(COLD_START_S)
    simulation.replace_servers(kept)
    for index in range(int(gateways * part)):
        simulation.restart_gateway(index)
    simulation.run(END_S)
    assert 0.0 < simulation.highest_limit_use() <= 1.0


@pytest.mark.parametrize("gateways", [80, 400])
def test_simultaneous_requests_after_an_idle_time_stay_within_the_limit(gateways: int) -> None:
    """The credit that a gateway gains while idle is bounded."""
    simulation = GatewaySimulation(gateways)
    simulation.run(COLD_START_S - 1.0)
    simulation.replace_servers(kept=0)
    simulation.run(COLD_START_S + 7.0, rate=0.0)
    for index in range(gateways):
        simulation.request(index)
    assert simulation.highest_limit_use() <= 1.0


@pytest.mark.parametrize("gateways", [2, 10])
def test_a_burst_of_retries_after_an_idle_time_stays_within_the_limit(gateways: int) -> None:
    """The first attempt uses up the credit of the idle time, so that the others of the burst get none."""
    simulation = GatewaySimulation(gateways)
    simulation.run(COLD_START_S - 2.0)
    simulation.latency = 4.0
    simulation.run(COLD_START_S - 1.0)
    simulation.run(COLD_START_S, rate=0.0)
    assert len(simulation.in_flight) > 80
    simulation.replace_servers(kept=0)
    assert simulation.highest_limit_use() <= 1.0


@pytest.mark.parametrize("gateways", [2, 80, 400])
def test_a_burst_of_requests_that_awaited_totals_stays_within_the_limit(gateways: int) -> None:
    simulation = GatewaySimulation(gateways, counter=True)
    simulation.run(COLD_START_S - 1.0)
    simulation.counter_down_until = COLD_START_S + 0.01
    simulation.run(COLD_START_S)
    assert sum(len(a.awaiting_total) for g in simulation.gateways for a in g.accounts.values()) > 100
    simulation.replace_servers(kept=KEPT)
    simulation.run(END_S)
    assert simulation.highest_limit_use() <= 1.0
    assert simulation.capacity_use() > 0.05


def test_a_zone_that_returns_cold_is_limited_by_the_rate_of_other_zones() -> None:
    """Its own measured rate is near 0, as it was listed while it was down."""
    bench = Bench(servers=0, counter=False)
    warm = [replace(entry(f"{zone}{k}"), zone=zone) for zone in "ab" for k in range(2)]
    bench.update_servers(*warm)
    for _ in range(200):
        (send,) = bench.ask()
        assert isinstance(send, api.Send)
        bench.end(send, Code.OK if send.server.startswith("a") else Code.UNREACHABLE)
    back = [replace(e, launched=bench.now) if e.zone == "b" else e for e in warm]
    bench.update_servers(*back, form=api.ListForm.CHANGES)
    lost, other = (bench.gateway.groups[zone, ""].unit_rate(1.0) for zone in "ba")
    assert lost < 0.1 * other
    assert bench.gateway.unit_rate(back[-1]) >= 0.4 * other


def test_each_of_many_cold_servers_gets_its_share() -> None:
    """What exceeds one attempt stays due; otherwise the last servers of the list starve."""
    bench = Bench(counter=False, servers=2, gateways=1)
    for _ in range(400):
        (send,) = bench.ask()
        assert isinstance(send, api.Send)
        bench.end(send, Code.OK)
    warm = [entry(f"s{k}", launched=0.0) for k in range(2)]
    bench.update_servers(*warm, *(entry(f"cold{k}", launched=bench.now) for k in range(10)))
    rate, sent, started_at = bench.gateway.unit_rate(entry("cold0")), Counter[str](), bench.now
    for _ in range(120):
        (send,) = bench.ask()
        assert isinstance(send, api.Send)
        sent[send.server] += 1
        bench.end(send, Code.OK)
    due = 1.125 * rate * BASE.start_capacity * (bench.now - started_at)
    assert all(due / 3 < sent[f"cold{k}"] for k in range(10)), (due, sent)
    assert sum(sent.values()) == 120


def test_the_rate_of_warm_servers_follows_an_overload_within_seconds() -> None:
    """With a slower average, cold servers get too little while the warm ones are overloaded."""
    simulation = GatewaySimulation(gateways=1)
    simulation.run(40.0, rate=WARM * 2.0)
    calm = simulation.gateways[0].unit_rate(entry("s0"))
    simulation.run(56.0, rate=WARM * 10.0)
    assert calm == pytest.approx(2.0, rel=0.3)
    assert simulation.gateways[0].unit_rate(entry("s0")) > 8.0
