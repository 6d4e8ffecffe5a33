"""Admission by quotas over 11 gateways, each with its real counts and reports, in virtual time."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from contextvars import ContextVar
from functools import partial
from random import Random
from typing import Any, cast

import pytest

from barleyhub import interface as api
from barleyhub.line.dispatch import Call, Dispatcher, Told
from barleyhub.line.quota import Account, Host
from barleyhub.line.stock import State, Stock, Upstream
from latchspoke.configuration.routes import NO_HOMES, Route, Tenant
from latchspoke.dataplane.node import DEFAULT_QUOTA_WINDOW_S, NEW_OWNER_CAUTION_S, cannot_own_quotas
from latchspoke.dataplane.usage_reports import REPORT_INTERVAL_S, UsageReports
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import EPOCH, VirtualClock
from latchspoke.transport.connection import MessageConnection

RATE, BURST, WINDOW = 70.0, 70.0, 5.0
BOUND = (RATE * WINDOW + BURST) * 1.1 + 20
SEEN = 2.5  # s until the others know that a gateway is gone
LEASE = 4.5  # s after a cut from the core, at most, in which a gateway may still act
ROUTE = Route("read", "h", "/", True, 0.4, 2.0, 2, 0, False, NO_HOMES, (("pool", 1.0),))
Story = Mapping[float, Callable[[], None]]
HERE: ContextVar[str] = ContextVar("here")


class Loop(VirtualLoop):
    """Dials from the gateway whose step it is, so that ways between gateways can be cut."""

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        kwargs["local_addr"] = HERE.get(), 0
        return await super().create_connection(*args, **kwargs)


class Gateway:
    def __init__(self, world: World, name: str, life: int) -> None:
        self.world, self.name, self.acts = world, name, True
        self.tenant = Tenant("t", RATE, BURST, None, NO_HOMES)
        stock = Stock(name, "a", "r", world.draw, 1.5)
        stock.put(Upstream("s", "pool", "h", 1, "a", "r", 9, State.READY), 0.0)
        self.dispatcher = Dispatcher(stock, world.draw, 0.2, 62.0)
        if life > len(world.names):
            self.dispatcher.young_until = world.clock.now() + DEFAULT_QUOTA_WINDOW_S
        self.counts = UsageReports(name, f"{life}", world.clock, self.dispatcher, self.handle)

    def see(self, names: list[str]) -> None:
        HERE.set(self.name)
        late, now = self.world.late, self.world.clock.now()
        self.dispatcher.live(dict.fromkeys(names, "a"), now)
        cautious = late.get(self.name, -math.inf) + NEW_OWNER_CAUTION_S > now
        those = {n for n in names if late.get(n, -math.inf) > now}
        self.counts.update_gateways({n: (n, 1) for n in names}, cautious, those)

    def ask(self) -> None:
        self.world.number += 1
        name = f"{self.world.number}"
        if self.acts:
            self.handle(Call(name, "t", "pool", "read", 1.0, 2.0, 1, route=ROUTE, tenant=self.tenant))

    def handle(self, event: api.Event | Told) -> None:
        now = self.world.clock.now()
        for action in self.dispatcher.handle(cast(api.Event, event), now):
            match action:
                case api.Send(request):
                    self.world.sent.append(now - EPOCH)
                    done = api.Outcome(request, 0, "s", api.Code.OK, 0.0, True)
                    self.world.loop.call_soon(self.handle, done)
                case api.SetTimer(after, mark):
                    self.world.loop.call_later(after, self.handle, api.TimerFired(mark))


class World:
    """A tenant of eight times its rate comes through all gateways alike."""

    def __init__(self, seed: int, count: int = 11) -> None:
        print(f"seed {seed}")
        self.draw, self.number = Random(seed), 0
        self.loop = Loop(Network(seed, 0.035, 0.4))
        self.clock = VirtualClock(self.loop)
        self.names = [f"g{i}" for i in range(count)]
        self.gateways: dict[str, Gateway] = {}
        self.wires: dict[str, list[MessageConnection]] = {}
        self.sent: list[float] = []
        self.life = 0
        self.late: dict[str, float] = {}  # who came back beside others, and until when it hosts nothing
        for name in self.names:
            self.begin(name)

    def begin(self, name: str) -> None:
        self.life += 1
        gateway = self.gateways[name] = Gateway(self, name, self.life)
        self.wires[name] = []

        def made(wire: MessageConnection) -> None:
            self.wires[name].append(wire)

        server = self.loop.create_server(
            lambda: MessageConnection(gateway.counts.handle_message, lambda wire, why: None, made), name, 1
        )
        self.loop.run_until_complete(server) if not self.loop.is_running() else self.loop.create_task(server)
        gateway.see(self.names)

    def back(self, name: str) -> None:
        """It has been killed, and begins beside others: all see at their own moments that it grows old."""
        if name in self.gateways:
            self.kill(name, seen=False)
        self.late[name] = self.clock.now() + DEFAULT_QUOTA_WINDOW_S
        self.begin(name)
        for after in (0.0, DEFAULT_QUOTA_WINDOW_S, DEFAULT_QUOTA_WINDOW_S + NEW_OWNER_CAUTION_S):
            for other in self.gateways:
                self.loop.call_later(after + self.draw.uniform(0.0, 0.6), self.look, other)

    def leave(self, name: str) -> None:
        """In order: it tells, hands on what it hosts, serves on for 3 s, and is back 1 s after that."""
        self.late[name] = math.inf
        self.look(name)
        for other in self.gateways:
            self.loop.call_later(self.draw.uniform(0.0, 0.6), self.look, other)

        def end() -> None:
            self.kill(name, seen=False)
            self.see()

        self.loop.call_later(3.0, end)
        self.loop.call_later(4.0, self.back, name)

    def look(self, name: str) -> None:
        if name in self.gateways:
            self.gateways[name].see(sorted(self.gateways))

    def kill(self, name: str, seen: bool = True) -> None:
        gateway = self.gateways.pop(name)
        self.loop.network.listeners.pop((name, 1))
        for wire in [*self.wires[name], *gateway.counts.connections.values()]:
            wire.end("killed")
        if seen:
            self.loop.call_later(SEEN, self.see)

    def see(self) -> None:
        for gateway in self.gateways.values():
            gateway.see(sorted(self.gateways))

    def cut(self, *sides: list[str]) -> None:
        """Gateways hear only their own side from now on; only the first side still reaches the core."""
        for side in sides:
            for one in side:
                for other in set(self.names) - set(side):
                    self.loop.network.cut(one, other)

                def lapse(one: str = one, first: bool = side is sides[0]) -> None:
                    self.gateways[one].acts = first

                self.loop.call_later(SEEN, self.gateways[one].see, side)
                self.loop.call_later(LEASE, lapse)

    def run(self, seconds: float, story: Story, load: float = 8 * RATE) -> None:
        for when, act in story.items():
            self.loop.call_at(when, act)
        self.loop.run_until_complete(self.play(seconds, load))
        self.loop.run_until_complete(asyncio.sleep(0.5))
        self.loop.close()

    async def play(self, seconds: float, load: float) -> None:
        step = REPORT_INTERVAL_S / 5
        for tick in range(int(seconds / step)):
            await asyncio.sleep(step)
            now = self.clock.now()
            for _ in range(sum(self.draw.random() < load * step / 20 for _ in range(20))):
                self.gateways[self.draw.choice(sorted(self.gateways))].ask()
            if tick % 5 == 0:
                for name, gateway in self.gateways.items():
                    HERE.set(name)
                    gateway.dispatcher.forget(now)
                    gateway.counts.send_due_reports(now)

    def most(self, window: float = WINDOW, after: float = 0.0) -> int:
        """In any window of that length."""
        sent = [at for at in self.sent if at >= after]
        first = best = 0
        for last, at in enumerate(sent):
            while sent[first] < at - window:
                first += 1
            best = max(best, last - first + 1)
        return best


def none(world: World) -> Story:
    return {}


def hosts_killed(world: World) -> Story:
    def kill() -> None:
        some = next(iter(world.gateways.values()))
        world.kill(some.counts.owner("t"))

    return {5.0: kill, 8.0: kill, 11.3: kill}


def restarts(world: World) -> Story:
    """Every gateway is killed and begins again at once, knowing nothing, one after the other."""

    def again(name: str) -> None:
        world.kill(name, seen=False)
        world.begin(name)

    return {5.0 + 0.4 * i: partial(again, name) for i, name in enumerate(world.names)}


def come_back(world: World) -> Story:
    """The same beside others, who know that: those that have just begun host nothing."""
    return {5.0 + 0.9 * i: partial(world.back, name) for i, name in enumerate(world.names)}


def leave_in_turn(world: World) -> Story:
    """Each told to end in order, whoever hosts the totals among them, and the next host a little later."""
    story = {3.0 + 1.3 * i: partial(world.leave, name) for i, name in enumerate(world.names[:-1])}

    def host() -> None:
        owner = next(iter(world.gateways.values())).counts.owner("t")
        if world.late.get(owner, -math.inf) < world.clock.now():
            world.leave(owner)

    return story | {3.6: host, 6.1: host}


def half_come_back(world: World) -> Story:
    """Six of eleven at one moment, which also grow old at one."""

    def again() -> None:
        for name in world.names[:6]:
            world.back(name)

    return {5.0: again}


def all_restart(world: World) -> Story:
    """All at one moment, as none remembers anything of its former life."""

    def again() -> None:
        for name in world.names:
            world.kill(name, seen=False)
        for name in world.names:
            world.begin(name)

    return {6.0: again}


def one_cut(world: World) -> Story:
    return {6.0: lambda: world.cut(world.names[1:], world.names[:1])}


def cut_in_three(world: World) -> Story:
    names = world.names
    return {6.0: lambda: world.cut(names[:4], names[4:8], names[8:])}


@pytest.mark.parametrize(
    ("story", "most"),
    [
        (none, BOUND),
        (hosts_killed, BOUND),
        (restarts, BOUND),
        (come_back, BOUND),
        (half_come_back, BOUND),
        (leave_in_turn, BOUND),
        (all_restart, BOUND),
        (one_cut, BOUND),
        # Until the cut is seen, those who still hear the host take what the others take their parts of.
        (cut_in_three, BOUND * 1.1),
    ],
)
def test_a_hot_tenant_stays_within_its_quota(story: Callable[[World], Any], most: float) -> None:
    world = World(11)
    world.run(15.0, story(world))
    assert world.most() <= most
    assert len(world.sent) > 0.75 * RATE * 15, "what is within the quota is let through"
    refused = sum((gateway.dispatcher.counts for gateway in world.gateways.values()), Counter())
    assert refused["refused.gate"] > refused["refused.total"], "the gate shares the room, the total guards it"


def test_what_is_within_the_quota_passes_also_while_the_totals_host_is_dead() -> None:
    """Little is refused, though nobody knows the total for a while."""
    world = World(3)
    world.run(10.0, {5.0: hosts_killed(world)[5.0]}, load=0.7 * RATE)
    assert len(world.sent) > 0.97 * world.number


@pytest.mark.parametrize("handed_on", [True, False])
def test_hosts_that_leave_in_order_hand_on_what_they_know(
    handed_on: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Near its quota, a tenant is refused nothing for that; were nothing handed on, it would be."""
    if not handed_on:
        monkeypatch.setattr(Host, "inherit", lambda *args: None)
    refused = Counter[str]()
    for seed in (0, 2, 5):
        world = World(seed)
        world.run(18.0, leave_in_turn(world), load=0.85 * RATE)
        refused += sum((gateway.dispatcher.counts for gateway in world.gateways.values()), Counter())
    assert (refused["refused.total"] + refused["refused.gate"] == 0) is handed_on


def test_a_tally_that_is_handed_on_counts_each_report_once() -> None:
    """Two gateways told the host before; one tells the next one, too, before the tally has come."""
    told = {"r": 10.0, "b": 100.0}
    before, after = Host(), Host()
    before.report("g1", "one", "t", told | {"o": 5.0, "a": 5.0, "k": 60.0}, 0.0)
    before.report("g2", "one", "t", told | {"o": 4.0, "a": 4.0, "k": 60.0}, 0.0)
    image = before.hand_on("t", 0.5)
    assert image is not None and image[2] == 65.0 and before.hand_on("t", 0.5) is None
    after.inherit("t", image, 0.5)
    # 3 more by the one, 2 more by the other, 10 a second between.
    assert after.report("g1", "one", "t", told | {"o": 8.0, "a": 8.0, "k": 0.0}, 0.6)[0] == 63.0
    assert after.report("g2", "one", "t", told | {"o": 6.0, "a": 6.0, "k": 0.0}, 0.6)[0] == 61.0
    late = Host()
    late.report("g1", "one", "t", told | {"o": 8.0, "a": 8.0, "k": 50.0}, 0.5)
    late.inherit("t", image, 0.6)
    assert late.report("g2", "one", "t", told | {"o": 6.0, "a": 6.0, "k": 0.0}, 0.6)[0] == 49.0
    late.hand_on("t", 0.7)
    late.inherit("t", image, 1.0)
    late.forget(9.0)
    assert not late.heirs, "what nobody asked for is old"


def test_a_tally_for_somebody_out_of_reach_is_let_go() -> None:
    """Sent later it would pass for what is known now."""
    world = World(1)
    counts = world.gateways["g1"].counts
    counts.owned_quotas.report("g2", "1", "t", {"r": RATE, "b": BURST, "o": 1.0, "a": 1.0}, world.clock.now())
    those = {name: (name, 1) for name in world.names}
    others = [name for name in world.names if name != "g1"]
    world.cut(["g1"], others)

    async def story() -> None:
        HERE.set("g1")
        counts.update_gateways(those, ineligible={"g1"})
        assert counts.handoffs
        await asyncio.sleep(1.0)
        assert not counts.handoffs

    world.loop.run_until_complete(story())
    world.loop.close()


def test_a_lower_limit_holds_one_window_after_all_have_heard_of_it() -> None:
    world = World(5)

    def lower(gateway: Gateway) -> None:
        gateway.tenant = Tenant("t", RATE / 2, BURST / 2, None, NO_HOMES)

    heard = {4.0 + 0.27 * i: partial(lower, gateway) for i, gateway in enumerate(world.gateways.values())}
    world.run(15.0, heard)
    assert world.most(after=7.0) <= (RATE / 2 * WINDOW + BURST / 2) * 1.1 + 20


def test_a_host_without_memory_begins_with_half_a_burst() -> None:
    """The other half may just have been used, as told to a host that is dead now."""
    told = {"o": 1.0, "a": 0.0, "r": 10.0, "b": 10.0}
    assert Host().report("g1", "one", "t", told, 0.0)[0] == 5.0
    assert Host().report("g1", "one", "t", told | {"k": 7.0, "ko": 1.0}, 0.0)[0] == 7.0


def test_the_guard_of_the_total_holds_whatever_the_draw_says() -> None:
    """A gate that lets one in ten pass may be lucky: the room is the end."""
    account = Account("t", 10.0, 10.0, 2, 0.0)
    account.learn(3.0, 100.0, 0.0, (0.0, 0.0), 0.0)
    passed = 0
    for _ in range(50):
        account.offer(1.0, 0.0)
        if account.fits(1.0, 0.0):
            account.admit(1.0)
            passed += 1
    assert passed <= 3


def test_within_a_tenant_the_higher_ranks_pass_first() -> None:
    """The room goes by rank, and all ranks together get no more of it than without ranks."""
    account = Account("t", 10.0, 10.0, 1, 0.0)
    for rank, units in ((2, 60.0), (0, 5.0), (1, 15.0)):
        account.offer(units, 0.0, rank)
    account.learn(0.0, 80.0, 0.0, (80.0, 0.0), 0.0)
    gates = [account.gate(0.0, rank) for rank in range(3)]
    assert gates == pytest.approx([1.0, 5 / 15, 0.0])
    assert 5 * gates[0] + 15 * gates[1] + 60 * gates[2] == pytest.approx(80 * account.gate(0.0))
    assert account.gate(0.0, 3) == account.gate(0.0), "a rank that nothing is known of"
    account.learn(9.0, 80.0, 0.0, (80.0, 0.0), 0.0)
    assert account.gate(0.0, 1) == 1.0 and account.gate(0.0, 2) < 0.2, "a burst reaches further down"


def test_who_comes_back_beside_others_hosts_nothing_until_it_is_old() -> None:
    world = World(1)
    counts = world.gateways["g1"].counts
    those = {name: (name, 1) for name in world.names}
    owner = counts.owner("t")
    counts.update_gateways(those, ineligible={owner})
    assert counts.owner("t") != owner
    counts.update_gateways(those, ineligible=set(those))  # all have come back: somebody has to
    assert counts.owner("t") == owner
    world.loop.close()


@pytest.mark.parametrize(
    ("meta", "elders", "late"),
    [
        ({"old": True}, True, False),
        ({"old": False}, True, True),  # it hasn't told yet, and others were there before it
        ({"old": False}, False, False),
        ({"old": False, "late": True}, False, True),
        ({"old": False, "late": False}, True, False),  # all had begun anew with it, and some are old by now
    ],
)
def test_after_a_total_loss_nobody_hosts_nothing(meta: dict[str, bool], elders: bool, late: bool) -> None:
    assert cannot_own_quotas(meta, elders) is late
