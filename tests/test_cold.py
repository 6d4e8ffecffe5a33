"""Many gateways beside a few cold servers: what all send together, in windows of the fall time."""

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

WARM, COLD = 20, 3
UNITS = 240.0  # asked a second, of all gateways together: 12 a warm server
ABLE = UNITS / WARM / 0.75  # units a second that a warm server can do, busy to three quarters
SINCE, END = 8.0, 18.0  # the cold ones start; the end
KEEP = 4  # of the warm ones stay, where others are taken away


def warmth(now: float) -> float:
    return BASE.start_capacity + (1 - BASE.start_capacity) * min(max(now - SINCE, 0.0) / BASE.cold_time, 1.0)


class Fleet:
    """Gateways that share nothing, given requests and the answers to what they sent."""

    def __init__(
        self, gateways: int, uneven: bool = False, counter: bool = False, seed: int = 1, window: float = 1.0
    ) -> None:
        self.random, self.window = random.Random(seed), window
        base = replace(BASE, gateways=gateways, counter=counter, fall_time=window)
        self.settings = [replace(base, index=i) for i in range(gateways)]
        self.gateways = [Gateway(seed * 1000 + s.index, s) for s in self.settings]
        self.weights = [0.7**i if uneven else 1.0 for i in range(gateways)]
        self.now, self.count, self.took, self.silent_until = 0.0, 0, 0.3, 0.0
        self.paces: dict[str, float] = {}
        self.queue: list[tuple[float, int, int, api.Event]] = []
        self.out: dict[str, tuple[int, api.Send]] = {}
        self.free: dict[str, float] = {}
        self.sent: dict[str, list[float]] = {}
        for i in range(gateways):
            self.give(i, api.ServerList(api.ListForm.WHOLE, tuple(entry(f"s{k}") for k in range(WARM))))

    def give(self, index: int, event: api.Event) -> None:
        for action in self.gateways[index].handle(event, self.now):
            if isinstance(action, api.Send):
                self.out[action.request] = (index, action)
                self.sent.setdefault(action.server, []).append(self.now)
                took = self.serve(action.server)
                self.later(took, index, api.Outcome(action.request, 0, action.server, Code.OK, took, True))
            elif isinstance(action, api.AddCount):
                wait = max(0.003, self.silent_until - self.now)
                self.later(wait, index, api.CountAnswer(action.name, Code.OK, wait, action.amount))

    def serve(self, server: str) -> float:
        """How long the answer takes: no server works off more than it is able to."""
        able = ABLE * (warmth(self.now) if server.startswith("cold") else 1.0)
        self.free[server] = max(self.free.get(server, 0.0), self.now) + 1 / able
        return max(self.took * self.paces.get(server[:4], 1.0), self.free[server] - self.now)

    def later(self, wait: float, index: int, event: api.Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, index, event))

    def ask(self, index: int) -> None:
        self.count += 1
        service = self.random.choice(["read", "put", "add"])
        name = f"{self.count}"
        self.give(index, api.Request(name, name, service, "wide", 1.0, 3.0, len(self.gateways)))

    def play(self, end: float, rate: float = UNITS) -> None:
        """Requests at random times until the end, at gateways drawn by their weights."""
        times = [
            self.now + self.random.random() * (end - self.now) for _ in range(int(rate * (end - self.now)))
        ]
        places = self.random.choices(range(len(self.gateways)), self.weights, k=len(times))
        asks = sorted(zip(times, places, strict=True), reverse=True)
        while asks or (self.queue and self.queue[0][0] <= end):
            if asks and (not self.queue or asks[-1][0] <= self.queue[0][0]):
                self.now, index = asks.pop()
                self.ask(index)
            else:
                self.now, _, index, event = heapq.heappop(self.queue)
                if isinstance(event, api.Outcome) and self.out.pop(event.request, None) is None:
                    continue
                self.give(index, event)
        self.now = end

    def replace_servers(self, kept: int) -> None:
        """Cold ones are listed, all but a few warm ones gone; what was out there is reset and sent again."""
        names = [f"s{k}" for k in range(kept)]
        cold = [entry(f"cold{k}", launched=SINCE) for k in range(COLD)]
        for i in range(len(self.gateways)):
            self.give(i, api.ServerList(api.ListForm.WHOLE, (*(entry(n) for n in names), *cold)))
        for name, (index, send) in list(self.out.items()):
            if send.server not in names:
                del self.out[name]
                self.give(index, api.Outcome(name, 0, send.server, Code.RESET, 0.1))

    def restart(self, index: int) -> None:
        kept = self.gateways[index].servers
        self.gateways[index] = Gateway(9000 + index, self.settings[index])
        self.out = {name: at for name, at in self.out.items() if at[0] != index}
        self.give(index, api.ServerList(api.ListForm.SAVED, tuple(s.entry for s in kept.values())))

    def worst(self) -> float:
        """The most that a cold server was sent in a window, as a part of what the rule allows."""
        most = 0.0
        for k in range(COLD):
            times = self.sent.get(f"cold{k}", [])
            for i, first in enumerate(times):
                within = sum(first <= t < first + self.window for t in times[i:])
                most = max(most, within / (BASE.fall_multiple * warmth(first) * ABLE * self.window))
        return most

    def used(self) -> float:
        """What the cold ones were sent, as a part of their warmth of what a warm one could do."""
        cold = sum(len(self.sent.get(f"cold{k}", [])) for k in range(COLD))
        return cold / (COLD * ABLE * (END - SINCE) * (warmth(SINCE) + warmth(END)) / 2)


@pytest.mark.parametrize("gateways", [2, 80, 400])
@pytest.mark.parametrize("uneven", [False, True])
def test_cold_servers_beside_slow_warm_ones(gateways: int, uneven: bool) -> None:
    """Found day h032462: new and idle, they looked fastest to every gateway at once."""
    fleet = Fleet(gateways, uneven)
    fleet.play(SINCE)
    fleet.took = 0.55
    fleet.replace_servers(kept=WARM)
    fleet.play(END)
    assert fleet.worst() <= 1.0
    assert fleet.used() > 0.05


@pytest.mark.parametrize(("gateways", "seed"), [(2, 1), (4, 2), (4, 3)])
def test_cold_servers_quicker_than_warm_ones_get_more_within_the_rule(gateways: int, seed: int) -> None:
    """Operators take out two of ten servers in a release: those back were idle while the rest were full."""
    used = []
    for pace in (3.0, 0.3):
        fleet = Fleet(gateways, seed=seed, window=3.0)
        fleet.play(SINCE)
        fleet.replace_servers(kept=WARM // 2)
        fleet.paces = {"cold": pace}
        fleet.took = 0.5
        fleet.play(END)
        assert fleet.worst() <= 1.0
        used.append(fleet.used())
    assert used[1] > 1.1 * used[0]


@pytest.mark.parametrize("gateways", [2, 80, 400])
@pytest.mark.parametrize("kept", [0, KEEP])
def test_cold_servers_when_the_others_die_and_all_is_sent_again_at_once(gateways: int, kept: int) -> None:
    fleet = Fleet(gateways)
    fleet.play(SINCE)
    fleet.replace_servers(kept)
    fleet.play(END)
    assert fleet.worst() <= 1.0
    assert fleet.used() > 0.05


@pytest.mark.parametrize("gateways", [2, 80])
@pytest.mark.parametrize("kept", [0, KEEP])
@pytest.mark.parametrize("part", [0.5, 1.0])
def test_cold_servers_when_gateways_start_again(gateways: int, kept: int, part: float) -> None:
    """Without memory a warm server is supposed to answer one unit a mean aim, of all gateways together."""
    fleet = Fleet(gateways)
    fleet.play(SINCE)
    fleet.replace_servers(kept)
    for index in range(int(gateways * part)):
        fleet.restart(index)
    fleet.play(END)
    assert 0.0 < fleet.worst() <= 1.0


@pytest.mark.parametrize("gateways", [80, 400])
def test_cold_servers_when_a_quiet_spell_ends_at_all_gateways_at_once(gateways: int) -> None:
    """What gaps have saved is bounded: one attempt of each gateway may not spend it all."""
    fleet = Fleet(gateways)
    fleet.play(SINCE - 1.0)
    fleet.replace_servers(kept=0)
    fleet.play(SINCE + 7.0, rate=0.0)
    for index in range(gateways):
        fleet.ask(index)
    assert fleet.worst() <= 1.0


@pytest.mark.parametrize("gateways", [2, 10])
def test_cold_servers_when_a_quiet_second_ends_in_a_storm_of_further_attempts(gateways: int) -> None:
    """Each attempt draws on the gap: the first one takes it, not every one that is sent again with it."""
    fleet = Fleet(gateways)
    fleet.play(SINCE - 2.0)
    fleet.took = 4.0
    fleet.play(SINCE - 1.0)
    fleet.play(SINCE, rate=0.0)
    assert len(fleet.out) > 80
    fleet.replace_servers(kept=0)
    assert fleet.worst() <= 1.0


@pytest.mark.parametrize("gateways", [2, 80, 400])
def test_cold_servers_when_held_requests_are_let_go_at_once(gateways: int) -> None:
    fleet = Fleet(gateways, counter=True)
    fleet.play(SINCE - 1.0)
    fleet.silent_until = SINCE + 0.01
    fleet.play(SINCE)
    assert sum(len(a.awaiting_total) for g in fleet.gateways for a in g.accounts.values()) > 100
    fleet.replace_servers(kept=KEEP)
    fleet.play(END)
    assert fleet.worst() <= 1.0
    assert fleet.used() > 0.05


def test_a_lost_zone_back_cold_is_due_what_the_other_zones_answered() -> None:
    """While the list still named it, it answered nothing: by that alone it would get next to nothing."""
    bench = Bench(servers=0, counter=False)
    warm = [replace(entry(f"{zone}{k}"), zone=zone) for zone in "ab" for k in range(2)]
    bench.listed(*warm)
    for _ in range(200):
        (send,) = bench.ask()
        assert isinstance(send, api.Send)
        bench.end(send, Code.OK if send.server.startswith("a") else Code.UNREACHABLE)
    back = [replace(e, launched=bench.now) if e.zone == "b" else e for e in warm]
    bench.listed(*back, form=api.ListForm.CHANGES)
    lost, other = (bench.gateway.groups[zone, ""].unit_rate(1.0) for zone in "ba")
    assert lost < 0.1 * other
    assert bench.gateway.unit_rate(back[-1]) >= 0.4 * other


def test_many_cold_servers_beside_few_warm_ones_all_get_theirs() -> None:
    """More is due to them at once than one attempt: what was over was lost, and the last ones starved."""
    bench = Bench(counter=False, servers=2, gateways=1)
    for _ in range(400):
        (send,) = bench.ask()
        assert isinstance(send, api.Send)
        bench.end(send, Code.OK)
    warm = [entry(f"s{k}", launched=0.0) for k in range(2)]
    bench.listed(*warm, *(entry(f"cold{k}", launched=bench.now) for k in range(10)))
    rate, sent, begun = bench.gateway.unit_rate(entry("cold0")), Counter[str](), bench.now
    for _ in range(120):
        (send,) = bench.ask()
        assert isinstance(send, api.Send)
        sent[send.server] += 1
        bench.end(send, Code.OK)
    due = 1.125 * rate * BASE.start_capacity * (bench.now - begun)
    assert all(due / 3 < sent[f"cold{k}"] for k in range(10)), (due, sent)
    assert sum(sent.values()) == 120


def test_what_cold_servers_are_due_follows_an_overload_within_seconds() -> None:
    """Averaged over a minute, they got half of what they could do while the warm ones were full."""
    fleet = Fleet(gateways=1)
    fleet.play(40.0, rate=WARM * 2.0)
    calm = fleet.gateways[0].unit_rate(entry("s0"))
    fleet.play(56.0, rate=WARM * 10.0)
    assert calm == pytest.approx(2.0, rel=0.3)
    assert fleet.gateways[0].unit_rate(entry("s0")) > 8.0
