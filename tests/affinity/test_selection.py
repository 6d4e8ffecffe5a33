"""Which callers move when servers come, go, restart, flap, fill up or are evacuated."""

import random
from collections.abc import Iterable
from itertools import pairwise
from typing import Any

from barleyhub.affinity.rendezvous import Caller, caller_key
from barleyhub.affinity.selection import AffinitySelector
from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState
from latchspoke.distribution.published_state import CommittedState, Follower, PublishedState, Subscriber
from latchspoke.pool.versions import PoolVersions
from latchspoke.registry.registry import Entry, Registry, parse_heartbeat

KEYS = [caller_key(b"%d" % n) for n in range(300)]
COLD_S = 12.0  # also the time over which a warm-up share grows
Placement = dict[bytes, str]


def server(
    number: int, instance: int = 0, state: UpstreamState = UpstreamState.READY, **options: Any
) -> Upstream:
    zone = options.pop("zone", f"z{number % 2}")
    slots, cold_until = options.pop("slots", 4), options.pop("cold_until", -1e9)
    return Upstream(
        f"i{number}-{instance}", "s", f"10.0.0.{number}", 80, zone, "r", slots, state, cold_until, **options
    )


class Gateway:
    def __init__(self, servers: Iterable[Upstream] = (), name: str = "g", zone: str = "z0") -> None:
        self.balancer = Balancer(name, zone, "r", random.Random(1), 0.5)
        self.balancer.cold_limits["s"] = ColdLimit(COLD_S, 5.0)
        self.selector, self.now = AffinitySelector(self.balancer), 100.0
        self.update(*servers)

    def update(self, *servers: Upstream) -> None:
        for server in servers:
            self.balancer.put(server, self.now)

    def pick(self, key: bytes, exchange: float = 0.0) -> Upstream | None:
        return self.selector.pick(Caller(key, "", exchange), "s", None, (), self.now)

    def place_all(self) -> Placement:
        picked = {key: self.pick(key) for key in KEYS}
        return {key: upstream.host for key, upstream in picked.items() if upstream is not None}


def moved(before: Placement, after: Placement) -> set[tuple[str, str]]:
    return {(before[key], after[key]) for key in KEYS if before[key] != after[key]}


def share_moved(before: Placement, after: Placement) -> float:
    return sum(before[key] != after[key] for key in KEYS) / len(KEYS)


NUMBERS = range(10)


def ten_servers() -> list[Upstream]:
    return [server(n) for n in NUMBERS]


def test_removing_a_server_moves_only_its_callers() -> None:
    gateway = Gateway(ten_servers())
    before = gateway.place_all()
    gateway.update(server(4, state=UpstreamState.DRAINING))
    after = gateway.place_all()
    assert {old for old, _ in moved(before, after)} == {"10.0.0.4"}
    assert len({new for _, new in moved(before, after)}) > 5  # spread over the others
    # The same placement as on a gateway that never knew the server.
    assert Gateway([server(number) for number in reversed(NUMBERS) if number != 4]).place_all() == after


def test_a_new_server_gets_its_share_gradually_and_keeps_its_callers() -> None:
    gateway = Gateway(ten_servers())
    before = previous = gateway.place_all()
    gateway.update(server(10, cold_until=gateway.now + 3))
    shares = []
    for _ in range(40):
        current = gateway.place_all()
        # No caller leaves the new server or moves between the others.
        assert {new for _, new in moved(previous, current)} <= {"10.0.0.10"}
        shares.append(share_moved(before, current))
        assert share_moved(previous, current) < 0.04
        previous, gateway.now = current, gateway.now + 0.5
    assert shares[5] == 0.0 and 0.05 < shares[-1] < 0.14


def test_replacing_half_of_the_servers_moves_only_callers_of_replaced_ones() -> None:
    gateway = Gateway(ten_servers())
    before = gateway.place_all()
    for number in range(5):
        gateway.update(
            server(20 + number, cold_until=gateway.now + 3), server(number, state=UpstreamState.DRAINING)
        )
        without_share = gateway.place_all()
        gateway.now += 30
        after = gateway.place_all()
        assert {new for _, new in moved(without_share, after)} <= {f"10.0.0.{20 + number}"}
    staying = {key for key in KEYS if before[key] >= "10.0.0.5"}
    assert all(
        after[key] in (before[key], *(f"10.0.0.{20 + number}" for number in range(5))) for key in staying
    )
    assert share_moved(before, after) < 0.85  # half must move, and of the others the new servers' share


def test_a_rolling_restart_restores_the_placement() -> None:
    gateway = Gateway(ten_servers())
    before = gateway.place_all()
    for number in NUMBERS:
        gateway.update(server(number, state=UpstreamState.GONE))
        assert {old for old, _ in moved(before, gateway.place_all())} == {f"10.0.0.{number}"}
        gateway.now += 2
        gateway.update(server(number, 1, cold_until=gateway.now + 3))
        gateway.now += 20
        assert gateway.place_all() == before


def test_callers_return_more_slowly_to_a_flapping_server() -> None:
    gateway = Gateway(ten_servers())
    before, return_times = gateway.place_all(), []
    for _ in range(4):
        gateway.balancer.record_failure(gateway.balancer.upstreams["i3-0"], gateway.now, True)
        diverted = gateway.place_all()
        assert {old for old, _ in moved(before, diverted)} == {"10.0.0.3"}
        reachable_at = gateway.now = gateway.balancer.upstreams["i3-0"].assumed_cold_until
        gateway.balancer.upstreams["i3-0"].backoff_until = reachable_at
        while gateway.place_all() != before:
            assert {old for old, _ in moved(before, gateway.place_all())} == {"10.0.0.3"}
            gateway.now += 0.5
        return_times.append(gateway.now - reachable_at)
    assert return_times == sorted(return_times) and return_times[0] < 12 and return_times[-1] > 30


def test_gateways_that_see_changes_in_different_order_converge() -> None:
    first_gateway, second_gateway = (
        Gateway(ten_servers(), "one"),
        Gateway(reversed(ten_servers()), "two", "z1"),
    )
    before = first_gateway.place_all()
    assert second_gateway.place_all() == before
    removal, addition = server(1, state=UpstreamState.GONE), server(11)
    first_gateway.update(removal)
    second_gateway.update(addition)
    differ = moved(first_gateway.place_all(), second_gateway.place_all())
    assert differ and all("10.0.0.1" in pair or "10.0.0.11" in pair for pair in differ)
    first_gateway.update(addition)
    second_gateway.update(removal)
    assert first_gateway.place_all() == second_gateway.place_all()
    assert (
        first_gateway.selector.services["s"].pool.version
        == second_gateway.selector.services["s"].pool.version
    )


def heartbeat(number: int, cold_remaining_s: float, sequence: int, now: float) -> Entry:
    body = {"service": "s", "address": f"10.0.0.{number}:80", "zone": "z0", "capacitySlots": 4}
    return parse_heartbeat(
        f"i{number}-0", {**body, "coldRemainingS": cold_remaining_s, "callSequence": sequence}, now
    )


def test_a_gateway_that_starts_during_a_warm_up_agrees_at_once() -> None:
    """One server is in the middle of its warm-up, and its later heartbeats no longer report it as cold."""
    published_state = PublishedState(Registry(0.5), pool_versions=PoolVersions())
    doc = {
        "listenerList": [
            {"ruleSet": [{"actionSpec": {"service": "s", "affinity": {"callerFrom": ["tenant"]}}}]}
        ]
    }
    published_state.update_committed(CommittedState(1, 1, doc), 90.0)
    published_state.registry.merge(
        [heartbeat(server_number, 0.0, 1, 90.0).to_message(90.0) for server_number in NUMBERS], 90.0
    )
    for sequence in range(1, 20):
        time = 100.0 + sequence * 0.5
        published_state.registry.update(heartbeat(10, max(103.0 - time, 0.0), sequence, time), time)
    messages: list[dict[str, Any]] = []
    early, late = Gateway(ten_servers()), Gateway(name="late")
    early.update(server(10, cold_until=103.0, zone="z0"))
    for server_number in NUMBERS:
        early.balancer.upstreams[f"i{server_number}-0"].zone = "z0"
    published_state.add_subscriber(Subscriber("late", messages.append), 109.5)
    follower = Follower(PublishedState(Registry(0.5), pool_versions=PoolVersions()), lambda old, patch: old)
    _, entries = follower.apply(messages[0], 400.0)  # its clock differs
    assert not follower.differing_pools
    for entry in entries:
        number = int(entry.address.split(":")[0].rpartition(".")[2])
        late.update(server(number, zone="z0", cold_until=entry.cold_until))
    early.now, late.now = 109.5, 400.0
    assert early.place_all() == late.place_all()
    member = late.selector.services["s"].pool.members["10.0.0.10:80"]
    assert member.share == 9 / 16
    assert messages[0]["pools"]["s"] == late.selector.services["s"].pool.version


def test_a_full_server_keeps_open_exchanges_and_diverts_other_callers() -> None:
    gateway = Gateway(ten_servers())
    before = gateway.place_all()
    own_callers = [key for key in KEYS if before[key] == "10.0.0.2"]
    caller = own_callers[0]
    assert gateway.pick(caller, exchange=60.0) is gateway.balancer.upstreams["i2-0"]
    for _ in range(20):
        gateway.balancer.record_rejection(gateway.balancer.upstreams["i2-0"], gateway.now)
        diverted = gateway.place_all()
        assert {old for old, _ in moved(before, diverted)} <= {"10.0.0.2"}
        gateway.now += 0.1
    assert sum(diverted[key] != before[key] for key in own_callers) > len(own_callers) / 2
    pinned = gateway.pick(caller, exchange=60.0)
    assert pinned is gateway.balancer.upstreams["i2-0"]
    counts = []
    for _ in range(14):
        gateway.now += 1.0
        counts.append(sum(gateway.place_all()[key] != before[key] for key in own_callers))
    assert counts == sorted(counts, reverse=True) and counts[-1] == 0
    assert max(earlier - later for earlier, later in pairwise(counts)) < len(own_callers) / 4  # no jump
    gateway.now += 60
    gateway.update(server(2, state=UpstreamState.DRAINING))
    assert gateway.pick(caller, exchange=60.0) is not pinned  # a draining server gets no requests


def test_a_larger_capacity_moves_only_callers_to_that_server() -> None:
    gateway = Gateway(ten_servers())
    before = gateway.place_all()
    gateway.update(server(6, slots=8))
    assert {new for _, new in moved(before, gateway.place_all())} == {"10.0.0.6"}
    assert 0.05 < share_moved(before, gateway.place_all()) < 0.12  # the fair share is 1/11


def test_evacuated_callers_return_in_steps() -> None:
    gateway = Gateway(ten_servers())
    previous = before = gateway.place_all()
    gateway.balancer.set_evacuated_zones(["z1"], gateway.now)
    evacuated = gateway.place_all()
    assert {int(old[-1]) % 2 for old, _ in moved(before, evacuated)} == {1}
    gateway.now += 10
    gateway.balancer.set_evacuated_zones([], gateway.now)
    previous, moved_shares = gateway.place_all(), []
    assert previous == evacuated  # the servers may be cold
    for _ in range(60):
        gateway.now += 0.5
        current = gateway.place_all()
        moved_shares.append(share_moved(previous, current))
        assert all(new == before[key] for key, new in current.items() if new != previous[key])
        previous = current
    assert previous == before and max(moved_shares) < 0.12
