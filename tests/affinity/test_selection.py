"""The issue's hard cases, each caused on gateways' own stocks."""

import random
from collections.abc import Iterable
from itertools import pairwise
from typing import Any

from barleyhub.affinity.rendezvous import Caller, caller_key
from barleyhub.affinity.selection import AffinitySelector
from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState
from latchspoke.distribution.board import Board, Follower, Orders, Reader
from latchspoke.pool.versions import PoolVersions
from latchspoke.registry.registry import Entry, Registry, read_beat

KEYS = [caller_key(b"%d" % n) for n in range(300)]
COLD = 12.0  # s; a share grows over as much
Places = dict[bytes, str]


def server(n: int, life: int = 0, state: UpstreamState = UpstreamState.READY, **more: Any) -> Upstream:
    zone = more.pop("zone", f"z{n % 2}")
    slots, cold = more.pop("slots", 4), more.pop("cold_until", -1e9)
    return Upstream(f"i{n}-{life}", "s", f"10.0.0.{n}", 80, zone, "r", slots, state, cold, **more)


class Gateway:
    def __init__(self, servers: Iterable[Upstream] = (), name: str = "g", zone: str = "z0") -> None:
        self.stock = Balancer(name, zone, "r", random.Random(1), 0.5)
        self.stock.cold_limits["s"] = ColdLimit(COLD, 5.0)
        self.berths, self.now = AffinitySelector(self.stock), 100.0
        self.tell(*servers)

    def tell(self, *servers: Upstream) -> None:
        for one in servers:
            self.stock.put(one, self.now)

    def goes(self, key: bytes, exchange: float = 0.0) -> Upstream | None:
        return self.berths.pick(Caller(key, "", exchange), "s", None, (), self.now)

    def all(self) -> Places:
        found = {key: self.goes(key) for key in KEYS}
        return {key: upstream.host for key, upstream in found.items() if upstream is not None}


def moved(before: Places, after: Places) -> set[tuple[str, str]]:
    return {(before[key], after[key]) for key in KEYS if before[key] != after[key]}


def share_moved(before: Places, after: Places) -> float:
    return sum(before[key] != after[key] for key in KEYS) / len(KEYS)


TEN = range(10)


def ten() -> list[Upstream]:
    return [server(n) for n in TEN]


def test_one_removed_of_ten_moves_its_callers_alone() -> None:
    gate = Gateway(ten())
    before = gate.all()
    gate.tell(server(4, state=UpstreamState.DRAINING))
    after = gate.all()
    assert {old for old, _ in moved(before, after)} == {"10.0.0.4"}
    assert len({new for _, new in moved(before, after)}) > 5  # spread over the others
    assert Gateway([server(n) for n in reversed(TEN) if n != 4]).all() == after  # that never knew of it


def test_a_newcomer_takes_its_share_over_time_and_keeps_who_comes() -> None:
    gate = Gateway(ten())
    before = last = gate.all()
    gate.tell(server(10, cold_until=gate.now + 3))
    shares = []
    for _ in range(40):
        now = gate.all()
        assert {new for _, new in moved(last, now)} <= {"10.0.0.10"}  # nobody leaves it, nobody else moves
        shares.append(share_moved(before, now))
        assert share_moved(last, now) < 0.04
        last, gate.now = now, gate.now + 0.5
    assert shares[5] == 0.0 and 0.05 < shares[-1] < 0.14


def test_a_release_that_replaces_half_moves_only_callers_of_the_replaced() -> None:
    gate = Gateway(ten())
    before = gate.all()
    for n in range(5):
        gate.tell(server(20 + n, cold_until=gate.now + 3), server(n, state=UpstreamState.DRAINING))
        held = gate.all()
        gate.now += 30
        done = gate.all()
        assert {new for _, new in moved(held, done)} <= {f"10.0.0.{20 + n}"}
    kept = {key for key in KEYS if before[key] >= "10.0.0.5"}
    assert all(done[key] in (before[key], *(f"10.0.0.{20 + n}" for n in range(5))) for key in kept)
    assert share_moved(before, done) < 0.85  # half must, and of the others what the new ones are owed


def test_all_restarted_in_turn_are_as_before() -> None:
    gate = Gateway(ten())
    before = gate.all()
    for n in TEN:
        gate.tell(server(n, state=UpstreamState.GONE))
        assert {old for old, _ in moved(before, gate.all())} == {f"10.0.0.{n}"}
        gate.now += 2
        gate.tell(server(n, 1, cold_until=gate.now + 3))
        gate.now += 20
        assert gate.all() == before


def test_one_that_flaps_gets_its_callers_back_later_each_time() -> None:
    gate = Gateway(ten())
    before, waits = gate.all(), []
    for _ in range(4):
        gate.stock.record_failure(gate.stock.upstreams["i3-0"], gate.now, True)
        gone = gate.all()
        assert {old for old, _ in moved(before, gone)} == {"10.0.0.3"}
        up = gate.now = gate.stock.upstreams["i3-0"].assumed_cold_until
        gate.stock.upstreams["i3-0"].backoff_until = up
        while gate.all() != before:
            assert {old for old, _ in moved(before, gate.all())} == {"10.0.0.3"}
            gate.now += 0.5
        waits.append(gate.now - up)
    assert waits == sorted(waits) and waits[0] < 12 and waits[-1] > 30


def test_two_changes_in_opposite_orders_disagree_on_their_callers_alone() -> None:
    one, two = Gateway(ten(), "one"), Gateway(reversed(ten()), "two", "z1")
    before = one.all()
    assert two.all() == before
    first, second = server(1, state=UpstreamState.GONE), server(11)
    one.tell(first)
    two.tell(second)
    differ = moved(one.all(), two.all())
    assert differ and all("10.0.0.1" in pair or "10.0.0.11" in pair for pair in differ)
    one.tell(second)
    two.tell(first)
    assert one.all() == two.all()
    assert one.berths.services["s"].pool.version == two.berths.services["s"].pool.version


def beat(n: int, cold: float, sequence: int, now: float) -> Entry:
    body = {"service": "s", "address": f"10.0.0.{n}:80", "zone": "z0", "capacitySlots": 4}
    return read_beat(f"i{n}-0", {**body, "coldRemainingS": cold, "callSequence": sequence}, now)


def test_a_gateway_that_starts_in_the_middle_agrees_at_once() -> None:
    """A newcomer's share is half grown; the control plane has had beats without a word of cold since."""
    told = Board(Registry(0.5), versions=PoolVersions())
    doc = {
        "listenerList": [
            {"ruleSet": [{"actionSpec": {"service": "s", "affinity": {"callerFrom": ["tenant"]}}}]}
        ]
    }
    told.order(Orders(1, 1, doc), 90.0)
    told.registry.merge([beat(n, 0.0, 1, 90.0).wire(90.0) for n in TEN], 90.0)
    for sequence in range(1, 20):
        at = 100.0 + sequence * 0.5
        told.registry.heard(beat(10, max(103.0 - at, 0.0), sequence, at), at)
    messages: list[dict[str, Any]] = []
    early, late = Gateway(ten()), Gateway(name="late")
    early.tell(server(10, cold_until=103.0, zone="z0"))
    for one in TEN:
        early.stock.upstreams[f"i{one}-0"].zone = "z0"
    told.join(Reader("late", messages.append), 109.5)
    follower = Follower(Board(Registry(0.5), versions=PoolVersions()), lambda old, patch: old)
    _, entries = follower.take(messages[0], 400.0)  # its clock is another
    assert not follower.differing
    for entry in entries:
        number = int(entry.address.split(":")[0].rpartition(".")[2])
        late.tell(server(number, zone="z0", cold_until=entry.cold_until))
    early.now, late.now = 109.5, 400.0
    assert early.all() == late.all()
    member = late.berths.services["s"].pool.members["10.0.0.10:80"]
    assert member.share == 9 / 16
    assert messages[0]["pools"]["s"] == late.berths.services["s"].pool.version


def test_one_that_is_full_keeps_an_open_exchange_and_spills_the_rest() -> None:
    gate = Gateway(ten())
    before = gate.all()
    mine = [key for key in KEYS if before[key] == "10.0.0.2"]
    held = mine[0]
    assert gate.goes(held, exchange=60.0) is gate.stock.upstreams["i2-0"]
    for _ in range(20):
        gate.stock.record_rejection(gate.stock.upstreams["i2-0"], gate.now)
        away = gate.all()
        assert {old for old, _ in moved(before, away)} <= {"10.0.0.2"}
        gate.now += 0.1
    assert sum(away[key] != before[key] for key in mine) > len(mine) / 2
    found = gate.goes(held, exchange=60.0)
    assert found is gate.stock.upstreams["i2-0"]
    counts = []
    for _ in range(14):
        gate.now += 1.0
        counts.append(sum(gate.all()[key] != before[key] for key in mine))
    assert counts == sorted(counts, reverse=True) and counts[-1] == 0
    assert max(a - b for a, b in pairwise(counts)) < len(mine) / 4  # no wave
    gate.now += 60
    gate.tell(server(2, state=UpstreamState.DRAINING))
    assert gate.goes(held, exchange=60.0) is not found  # it may not be sent to at all


def test_strengths_changed_move_what_the_stronger_are_owed() -> None:
    gate = Gateway(ten())
    before = gate.all()
    gate.tell(server(6, slots=8))
    assert {new for _, new in moved(before, gate.all())} == {"10.0.0.6"}
    assert 0.05 < share_moved(before, gate.all()) < 0.12  # of 1/11


def test_an_evacuation_moves_the_zone_and_its_end_brings_it_back_in_steps() -> None:
    gate = Gateway(ten())
    last = before = gate.all()
    gate.stock.set_evacuated_zones(["z1"], gate.now)
    away = gate.all()
    assert {int(old[-1]) % 2 for old, _ in moved(before, away)} == {1}
    gate.now += 10
    gate.stock.set_evacuated_zones([], gate.now)
    last, steps = gate.all(), []
    assert last == away  # they may be cold
    for _ in range(60):
        gate.now += 0.5
        now = gate.all()
        steps.append(share_moved(last, now))
        assert all(new == before[key] for key, new in now.items() if new != last[key])
        last = now
    assert last == before and max(steps) < 0.12
