"""Rate-limit quotas over 11 gateways, which exchange real usage reports in virtual time."""

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
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState
from barleyhub.line.dispatch import Dispatcher, RoutedRequest, TotalsReceived
from barleyhub.line.quota import Account, QuotaOwner, QuotaTolerance
from latchspoke.configuration.routes import NO_HOMES, Route, Tenant
from latchspoke.dataplane.node import DEFAULT_QUOTA_WINDOW_S, NEW_OWNER_CAUTION_S, cannot_own_quotas
from latchspoke.dataplane.usage_reports import REPORT_INTERVAL_S, UsageReports
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import EPOCH, VirtualClock
from latchspoke.transport.connection import MessageConnection

RATE, BURST, WINDOW_S = 70.0, 70.0, 5.0
MAX_ADMITTED = (RATE * WINDOW_S + BURST) * 1.1 + 20
DETECTION_S = 2.5  # until the other gateways know that one is gone
LEASE_S = 4.5  # longest time for which a gateway may act without the control plane
ROUTE = Route("read", "h", "/", True, 0.4, 2.0, 2, 0, False, NO_HOMES, (("pool", 1.0),))
Schedule = Mapping[float, Callable[[], None]]
CURRENT_GATEWAY: ContextVar[str] = ContextVar("here")


class GatewayLoop(VirtualLoop):
    """Connects from the address of the current gateway, so that links between gateways can be cut."""

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        kwargs["local_addr"] = CURRENT_GATEWAY.get(), 0
        return await super().create_connection(*args, **kwargs)


class Gateway:
    def __init__(self, cluster: Cluster, name: str, starts: int) -> None:
        self.cluster, self.name, self.may_act = cluster, name, True
        self.tenant = Tenant("t", RATE, BURST, None, NO_HOMES)
        balancer = Balancer(name, "a", "r", cluster.rng, 1.5)
        balancer.put(Upstream("s", "pool", "h", 1, "a", "r", 9, UpstreamState.READY), 0.0)
        self.dispatcher = Dispatcher(balancer, cluster.rng, 0.2, 62.0)
        if starts > len(cluster.names):
            self.dispatcher.burst_unknown_until = cluster.clock.now() + DEFAULT_QUOTA_WINDOW_S
        self.counts = UsageReports(name, f"{starts}", cluster.clock, self.dispatcher, self.handle)

    def set_view(self, names: list[str]) -> None:
        CURRENT_GATEWAY.set(self.name)
        not_owning_until, now = self.cluster.not_owning_until, self.cluster.clock.now()
        self.dispatcher.set_gateways(dict.fromkeys(names, "a"), now)
        just_started = not_owning_until.get(self.name, -math.inf) + NEW_OWNER_CAUTION_S > now
        not_owning = {other for other in names if not_owning_until.get(other, -math.inf) > now}
        self.counts.update_gateways({other: (other, 1) for other in names}, just_started, not_owning)

    def send_request(self) -> None:
        self.cluster.request_count += 1
        request = f"{self.cluster.request_count}"
        if self.may_act:
            self.handle(
                RoutedRequest(request, "t", "pool", "read", 1.0, 2.0, 1, route=ROUTE, tenant=self.tenant)
            )

    def handle(self, event: api.Event | TotalsReceived) -> None:
        now = self.cluster.clock.now()
        for action in self.dispatcher.handle(cast(api.Event, event), now):
            match action:
                case api.Send(request):
                    self.cluster.admitted_at.append(now - EPOCH)
                    done = api.Outcome(request, 0, "s", api.Code.OK, 0.0, True)
                    self.cluster.loop.call_soon(self.handle, done)
                case api.SetTimer(after, mark):
                    self.cluster.loop.call_later(after, self.handle, api.TimerFired(mark))


class Cluster:
    """Gateways through which one tenant sends requests, evenly distributed, above its rate by default."""

    def __init__(self, seed: int, count: int = 11) -> None:
        print(f"seed {seed}")
        self.rng, self.request_count = Random(seed), 0
        self.loop = GatewayLoop(Network(seed, 0.035, 0.4))
        self.clock = VirtualClock(self.loop)
        self.names = [f"g{i}" for i in range(count)]
        self.gateways: dict[str, Gateway] = {}
        self.wires: dict[str, list[MessageConnection]] = {}
        self.admitted_at: list[float] = []
        self.starts = 0
        self.not_owning_until: dict[str, float] = {}  # restarted or draining gateways own no totals
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.starts += 1
        gateway = self.gateways[name] = Gateway(self, name, self.starts)
        self.wires[name] = []

        def on_connect(wire: MessageConnection) -> None:
            self.wires[name].append(wire)

        server = self.loop.create_server(
            lambda: MessageConnection(gateway.counts.handle_message, lambda wire, why: None, on_connect),
            name,
            1,
        )
        self.loop.run_until_complete(server) if not self.loop.is_running() else self.loop.create_task(server)
        gateway.set_view(self.names)

    def restart_beside_others(self, name: str) -> None:
        """Kill and start a gateway; it owns totals again after a grace period."""
        if name in self.gateways:
            self.kill(name, detected=False)
        self.not_owning_until[name] = self.clock.now() + DEFAULT_QUOTA_WINDOW_S
        self.start(name)
        for delay in (0.0, DEFAULT_QUOTA_WINDOW_S, DEFAULT_QUOTA_WINDOW_S + NEW_OWNER_CAUTION_S):
            for other in self.gateways:
                self.loop.call_later(delay + self.rng.uniform(0.0, 0.6), self.update_view, other)

    def drain(self, name: str) -> None:
        """Hand over the owned totals, serve for 3 s, and start again 1 s after that."""
        self.not_owning_until[name] = math.inf
        self.update_view(name)
        for other in self.gateways:
            self.loop.call_later(self.rng.uniform(0.0, 0.6), self.update_view, other)

        def stop() -> None:
            self.kill(name, detected=False)
            self.update_views()

        self.loop.call_later(3.0, stop)
        self.loop.call_later(4.0, self.restart_beside_others, name)

    def update_view(self, name: str) -> None:
        if name in self.gateways:
            self.gateways[name].set_view(sorted(self.gateways))

    def kill(self, name: str, detected: bool = True) -> None:
        gateway = self.gateways.pop(name)
        self.loop.network.listeners.pop((name, 1))
        for wire in [*self.wires[name], *gateway.counts.connections.values()]:
            wire.end("killed")
        if detected:
            self.loop.call_later(DETECTION_S, self.update_views)

    def update_views(self) -> None:
        for gateway in self.gateways.values():
            gateway.set_view(sorted(self.gateways))

    def partition(self, *sides: list[str]) -> None:
        """Cut the links between the sides; only the first side still reaches the control plane."""
        for side in sides:
            for name in side:
                for other in set(self.names) - set(side):
                    self.loop.network.cut(name, other)

                def end_lease(name: str = name, has_control_plane: bool = side is sides[0]) -> None:
                    self.gateways[name].may_act = has_control_plane

                self.loop.call_later(DETECTION_S, self.gateways[name].set_view, side)
                self.loop.call_later(LEASE_S, end_lease)

    def run(self, seconds: float, schedule: Schedule, load: float = 8 * RATE) -> None:
        for when, action in schedule.items():
            self.loop.call_at(when, action)
        self.loop.run_until_complete(self.generate_load(seconds, load))
        self.loop.run_until_complete(asyncio.sleep(0.5))
        self.loop.close()

    async def generate_load(self, seconds: float, load: float) -> None:
        step = REPORT_INTERVAL_S / 5
        for tick in range(int(seconds / step)):
            await asyncio.sleep(step)
            now = self.clock.now()
            for _ in range(sum(self.rng.random() < load * step / 20 for _ in range(20))):
                self.gateways[self.rng.choice(sorted(self.gateways))].send_request()
            if tick % 5 == 0:
                for name, gateway in self.gateways.items():
                    CURRENT_GATEWAY.set(name)
                    gateway.dispatcher.expire(now)
                    gateway.counts.send_due_reports(now)

    def max_admitted(self, window: float = WINDOW_S, since: float = 0.0) -> int:
        """Most requests admitted within any window of that length."""
        times = [time for time in self.admitted_at if time >= since]
        first = highest = 0
        for last, time in enumerate(times):
            while times[first] < time - window:
                first += 1
            highest = max(highest, last - first + 1)
        return highest


def no_faults(cluster: Cluster) -> Schedule:
    return {}


def owners_killed(cluster: Cluster) -> Schedule:
    def kill() -> None:
        gateway = next(iter(cluster.gateways.values()))
        cluster.kill(gateway.counts.owner("t"))

    return {5.0: kill, 8.0: kill, 11.3: kill}


def rolling_restarts(cluster: Cluster) -> Schedule:
    """Kill and start every gateway in turn, without the others noticing."""

    def restart(name: str) -> None:
        cluster.kill(name, detected=False)
        cluster.start(name)

    return {5.0 + 0.4 * number: partial(restart, name) for number, name in enumerate(cluster.names)}


def rolling_restarts_beside_others(cluster: Cluster) -> Schedule:
    """Kill and start every gateway in turn; restarted ones own no totals at first."""
    return {
        5.0 + 0.9 * number: partial(cluster.restart_beside_others, name)
        for number, name in enumerate(cluster.names)
    }


def rolling_drains(cluster: Cluster) -> Schedule:
    """Drain every gateway but the last in turn, and the current quota owner twice in between."""
    schedule = {
        3.0 + 1.3 * number: partial(cluster.drain, name) for number, name in enumerate(cluster.names[:-1])
    }

    def drain_owner() -> None:
        owner = next(iter(cluster.gateways.values())).counts.owner("t")
        if cluster.not_owning_until.get(owner, -math.inf) < cluster.clock.now():
            cluster.drain(owner)

    return schedule | {3.6: drain_owner, 6.1: drain_owner}


def half_restart(cluster: Cluster) -> Schedule:
    """Restart six of eleven gateways at once."""

    def restart() -> None:
        for name in cluster.names[:6]:
            cluster.restart_beside_others(name)

    return {5.0: restart}


def all_restart(cluster: Cluster) -> Schedule:
    """Restart all gateways at once, so that no gateway knows any totals."""

    def restart() -> None:
        for name in cluster.names:
            cluster.kill(name, detected=False)
        for name in cluster.names:
            cluster.start(name)

    return {6.0: restart}


def one_partitioned(cluster: Cluster) -> Schedule:
    return {6.0: lambda: cluster.partition(cluster.names[1:], cluster.names[:1])}


def three_way_partition(cluster: Cluster) -> Schedule:
    names = cluster.names
    return {6.0: lambda: cluster.partition(names[:4], names[4:8], names[8:])}


@pytest.mark.parametrize(
    ("faults", "limit"),
    [
        (no_faults, MAX_ADMITTED),
        (owners_killed, MAX_ADMITTED),
        (rolling_restarts, MAX_ADMITTED),
        (rolling_restarts_beside_others, MAX_ADMITTED),
        (half_restart, MAX_ADMITTED),
        (rolling_drains, MAX_ADMITTED),
        (all_restart, MAX_ADMITTED),
        (one_partitioned, MAX_ADMITTED),
        # Until the partition is detected, the owner's side uses the full quota and the others their parts.
        (three_way_partition, MAX_ADMITTED * 1.1),
    ],
)
def test_a_hot_tenant_stays_within_its_quota(faults: Callable[[Cluster], Any], limit: float) -> None:
    cluster = Cluster(11)
    cluster.run(15.0, faults(cluster))
    assert cluster.max_admitted() <= limit
    assert len(cluster.admitted_at) > 0.75 * RATE * 15, "requests within the quota are admitted"
    refused = sum((gateway.dispatcher.counters for gateway in cluster.gateways.values()), Counter())
    assert refused["refused.gate"] > refused["refused.total"], (
        "most refusals are by probability, not by the total"
    )


def test_requests_within_the_quota_pass_while_its_owner_is_down() -> None:
    """Few requests are refused, though the totals are unknown for a while."""
    cluster = Cluster(3)
    cluster.run(10.0, {5.0: owners_killed(cluster)[5.0]}, load=0.7 * RATE)
    assert len(cluster.admitted_at) > 0.97 * cluster.request_count


@pytest.mark.parametrize("handed_over", [True, False])
def test_draining_owners_hand_over_their_buckets(handed_over: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Near its quota, a tenant is refused nothing while owners drain; without hand-over, it would be."""
    if not handed_over:
        monkeypatch.setattr(QuotaOwner, "take_over", lambda *args: None)
    refused = Counter[str]()
    for seed in (0, 2, 5):
        cluster = Cluster(seed)
        cluster.run(18.0, rolling_drains(cluster), load=0.85 * RATE)
        refused += sum((gateway.dispatcher.counters for gateway in cluster.gateways.values()), Counter())
    assert (refused["refused.total"] + refused["refused.gate"] == 0) is handed_over


def test_a_handed_over_bucket_counts_each_report_once() -> None:
    """Both gateways have reported to the old owner; one also reports to the new one before the hand-over."""
    counts = {"r": 10.0, "b": 100.0}
    before, after = QuotaOwner(), QuotaOwner()
    before.apply_report("g1", "one", "t", counts | {"o": 5.0, "a": 5.0, "k": 60.0}, 0.0)
    before.apply_report("g2", "one", "t", counts | {"o": 4.0, "a": 4.0, "k": 60.0}, 0.0)
    image = before.hand_over("t", 0.5)
    assert image is not None and image[2] == 65.0 and before.hand_over("t", 0.5) is None
    after.take_over("t", image, 0.5)
    # 3 more units by g1, 2 more by g2, refilled at 10 a second.
    assert after.apply_report("g1", "one", "t", counts | {"o": 8.0, "a": 8.0, "k": 0.0}, 0.6)[0] == 63.0
    assert after.apply_report("g2", "one", "t", counts | {"o": 6.0, "a": 6.0, "k": 0.0}, 0.6)[0] == 61.0
    existing = QuotaOwner()
    existing.apply_report("g1", "one", "t", counts | {"o": 8.0, "a": 8.0, "k": 50.0}, 0.5)
    existing.take_over("t", image, 0.6)
    assert existing.apply_report("g2", "one", "t", counts | {"o": 6.0, "a": 6.0, "k": 0.0}, 0.6)[0] == 49.0
    existing.hand_over("t", 0.7)
    existing.take_over("t", image, 1.0)
    existing.expire(9.0)
    assert not existing.handed_over, "a hand-over without a report expires"


def test_a_hand_over_to_an_unreachable_owner_is_dropped() -> None:
    """Delivered later, it would be taken for the current state."""
    cluster = Cluster(1)
    counts = cluster.gateways["g1"].counts
    counts.owned_quotas.apply_report(
        "g2", "1", "t", {"r": RATE, "b": BURST, "o": 1.0, "a": 1.0}, cluster.clock.now()
    )
    addresses = {name: (name, 1) for name in cluster.names}
    others = [name for name in cluster.names if name != "g1"]
    cluster.partition(["g1"], others)

    async def play() -> None:
        CURRENT_GATEWAY.set("g1")
        counts.update_gateways(addresses, ineligible={"g1"})
        assert counts.handoffs
        await asyncio.sleep(1.0)
        assert not counts.handoffs

    cluster.loop.run_until_complete(play())
    cluster.loop.close()


def test_a_lowered_quota_holds_one_window_after_all_gateways_know_it() -> None:
    cluster = Cluster(5)

    def lower(gateway: Gateway) -> None:
        gateway.tenant = Tenant("t", RATE / 2, BURST / 2, None, NO_HOMES)

    schedule = {
        4.0 + 0.27 * number: partial(lower, gateway)
        for number, gateway in enumerate(cluster.gateways.values())
    }
    cluster.run(15.0, schedule)
    assert cluster.max_admitted(since=7.0) <= (RATE / 2 * WINDOW_S + BURST / 2) * 1.1 + 20


def test_a_new_owner_without_history_starts_with_half_a_burst() -> None:
    """The other half may have been used shortly before, and reported to a dead owner."""
    counts = {"o": 1.0, "a": 0.0, "r": 10.0, "b": 10.0}
    assert QuotaOwner().apply_report("g1", "one", "t", counts, 0.0)[0] == 5.0
    assert QuotaOwner().apply_report("g1", "one", "t", counts | {"k": 7.0, "ko": 1.0}, 0.0)[0] == 7.0


def test_admissions_never_exceed_the_remaining_units() -> None:
    """The admission probability alone may let more requests pass."""
    account = Account("t", 10.0, 10.0, 2, 0.0)
    account.update_totals(3.0, 100.0, 0.0, (0.0, 0.0), 0.0)
    passed = 0
    for _ in range(50):
        account.record_offer(1.0, 0.0)
        if account.fits(1.0, 0.0):
            account.admit(1.0)
            passed += 1
    assert passed <= 3


def test_higher_priorities_of_a_tenant_pass_first() -> None:
    """All priorities together get no more than without priorities."""
    account = Account("t", 10.0, 10.0, 1, 0.0)
    for priority, units in ((2, 60.0), (0, 5.0), (1, 15.0)):
        account.record_offer(units, 0.0, priority)
    account.update_totals(0.0, 80.0, 0.0, (80.0, 0.0), 0.0)
    probabilities = [account.admission_probability(0.0, priority) for priority in range(3)]
    assert probabilities == pytest.approx([1.0, 5 / 15, 0.0])
    assert 5 * probabilities[0] + 15 * probabilities[1] + 60 * probabilities[2] == pytest.approx(
        80 * account.admission_probability(0.0)
    )
    assert account.admission_probability(0.0, 3) == account.admission_probability(0.0), (
        "a priority without known offers"
    )
    account.update_totals(9.0, 80.0, 0.0, (80.0, 0.0), 0.0)
    assert account.admission_probability(0.0, 1) == 1.0 and account.admission_probability(0.0, 2) < 0.2, (
        "a burst reaches lower priorities"
    )


def test_a_gateway_restarted_beside_others_owns_nothing_at_first() -> None:
    cluster = Cluster(1)
    counts = cluster.gateways["g1"].counts
    addresses = {name: (name, 1) for name in cluster.names}
    owner = counts.owner("t")
    counts.update_gateways(addresses, ineligible={owner})
    assert counts.owner("t") != owner
    counts.update_gateways(
        addresses, ineligible=set(addresses)
    )  # all have been restarted, so one must own the totals
    assert counts.owner("t") == owner
    cluster.loop.close()


@pytest.mark.parametrize(
    ("meta", "others_running", "owns_nothing"),
    [
        ({"old": True}, True, False),
        ({"old": False}, True, True),  # not announced yet, while others were running
        ({"old": False}, False, False),
        ({"old": False, "late": True}, False, True),
        (
            {"old": False, "late": False},
            True,
            False,
        ),  # all were restarted, and some are past the grace period
    ],
)
def test_totals_have_an_owner_after_all_gateways_restart(
    meta: dict[str, bool], others_running: bool, owns_nothing: bool
) -> None:
    assert cannot_own_quotas(meta, others_running) is owns_nothing


@pytest.mark.parametrize(("rate", "burst"), [(20.0, 400.0), (70.0, 70.0), (3.0, 5.0), (1.0, 5000.0)])
def test_owner_that_knows_nothing_grants_no_more_than_may_be_granted_twice(rate: float, burst: float) -> None:
    """QUOTA (review/8): after a kill of all processes, half of a large burst was granted again."""
    counts = {"o": 0.0, "a": 0.0, "r": rate, "b": burst}
    tolerance = QuotaTolerance(5.0, 0.1, 20.0)
    level = QuotaOwner(tolerance).apply_report("g1", "one", "t", counts, 0.0)[0]
    allowed = (rate * 5.0 + burst) * 1.1 + 20.0
    assert 0.0 < level <= burst / 2
    # The whole burst just before, the rate all the time, and the level again; half of the excess is left.
    assert burst + rate * 5.0 + level <= allowed - tolerance.units(rate, burst) / 2 + 0.01
