"""Hard cases of callers that travel, each caused; drawn schedules; guards taken out. In virtual time."""

from __future__ import annotations

from functools import partial

import pytest
from msgspec.structs import replace

from latchspoke.session_records.coordinator import MIN_TTL_CONVERGENCE_PERIODS
from latchspoke.session_records.record import ExchangeOutcome, MembershipView, Peer, SessionRecord, record_key
from latchspoke.session_records.simulation import CONVERGENCE_S, ClientRequest, Simulation, run_schedule


def key(caller: str) -> str:
    return record_key("route", "", caller.encode())


def settled(seed: int = 1, **settings: object) -> Simulation:
    """A world old enough that owners may say none."""
    world = Simulation(seed, **settings)  # type: ignore[arg-type]
    world.run(CONVERGENCE_S + 1.0)
    return world


def ask(world: Simulation, exchange: str, site: str, wait: float = 2.0) -> ClientRequest:
    one = world.request(exchange.partition(".")[0], exchange, site)
    until = world.now + wait
    while not one.answer and world.now < until:
        world.run(world.now + 0.005)
    return one


def again(world: Simulation, exchange: str, sites: list[str], lasts: float = 30.0) -> str:
    """Asked until there is an answer other than to come back."""
    until, answer, turn = world.now + lasts, "", 0
    while world.now < until:
        answer = ask(world, exchange, sites[turn % len(sites)]).answer
        if answer not in ("503", "closed", ""):
            return answer
        turn += 1
        world.run(world.now + 0.3)
    return answer


def pair(world: Simulation, caller: str) -> tuple[str, str]:
    site = next(s for s in world.gateways.values() if s.up and not s.frozen)
    return site.store.views[-1].placement(key(caller), ())


def others(world: Simulation, *names: str) -> list[str]:
    return [n for n in world.gateways if n not in names]


def test_a_traveller_keeps_its_server_and_is_told_what_ran() -> None:
    world = settled()
    assert ask(world, "c.1", "g0").answer == "200"
    assert ask(world, "c.2", "g4").answer == "200"
    assert world.runs["c.1"] == world.runs["c.2"]
    assert ask(world, "c.2", "g7").answer == "409 run c.2"
    assert not world.check()


def test_a_move_with_a_request_in_flight() -> None:
    world = settled()
    first = world.request("c", "c.1", "g0")
    while "c.1" not in world.runs:
        world.run(world.now + 0.001)
    assert ask(world, "c.1", "g4").answer == "503"  # its server is at work on it
    assert again(world, "c.1", ["g4"]) == "409 run c.1"
    assert first.answer == "200" and len(world.runs["c.1"]) == 1


def test_two_moves_at_once_back_and_forth() -> None:
    world = settled()
    assert ask(world, "c.1", "g0").answer == "200"
    tries = [world.request("c", "c.2", name) for name in ("g4", "g0", "g8", "g4", "g0")]
    world.run(world.now + 3.0)
    assert sum(one.answer == "200" for one in tries) <= 1
    again(world, "c.2", ["g4"])
    assert len(world.runs["c.2"]) == 1 and not world.check()


@pytest.mark.parametrize("what", ["killed", "cut off", "stopped"])
def test_the_old_site_is_lost_after_the_move(what: str) -> None:
    world = settled(3)
    old = others(world, *pair(world, "c"))[0]
    world.request("c", "c.1", old)
    while "c.1" not in world.runs:
        world.run(world.now + 0.001)
    {"killed": lambda: world.kill(old), "cut off": lambda: world.partition([old])}.get(
        what, lambda: world.freeze(old)
    )()
    assert again(world, "c.1", others(world, old)[:2]) == "409 run c.1"
    assert again(world, "c.2", others(world, old)[:2]) == "200"
    {"killed": lambda: world.start(old), "cut off": world.heal}.get(what, lambda: world.thaw(old))()
    world.run(world.now + 3.0)
    assert again(world, "c.3", [old]) == "200"
    assert {len(lives) for lives in world.runs.values()} == {1} and not world.check()


@pytest.mark.parametrize("able", [True, False])
def test_a_site_stopped_right_before_the_first_byte_sends_nothing_later(able: bool) -> None:
    world = settled(4, can_query=able)
    old = others(world, *pair(world, "c"))[0]
    world.stall_before_send.add(old)
    world.request("c", "c.1", old)
    world.run(world.now + 0.5)
    assert world.gateways[old].frozen and "c.1" not in world.runs
    if not able:
        assert again(world, "c.1", others(world, old)[:1]) == "409 unknown c.1"
    assert again(world, "c.1", others(world, old)[:1]) == "200"
    world.thaw(old)
    world.run(world.now + 3.0)
    assert len(world.runs["c.1"]) == 1 and not world.check()


@pytest.mark.parametrize("which", [0, 1])
def test_the_owner_or_the_copy_is_handed_on_during_the_move(which: int) -> None:
    world = settled(5)
    lost = pair(world, "c")[which]
    sites = others(world, *pair(world, "c"))
    assert ask(world, "c.1", sites[0]).answer == "200"
    world.kill(lost)
    begun = world.now
    assert again(world, "c.1", [sites[1]]) == "409 run c.1"
    # The copy's word ends the owner's duty at once; without it the old pair must have lost its right.
    assert world.now - begun < (4.0 if which == 0 else 4.0 + CONVERGENCE_S)
    assert again(world, "c.2", [sites[1]]) == "200" and not world.check()


@pytest.mark.parametrize("which", [0, 1])
def test_the_owner_or_the_copy_dies_while_a_move_waits_for_it(which: int) -> None:
    world = settled(16)
    lost, (old, new) = pair(world, "c")[which], others(world, *pair(world, "c"))[:2]
    world.request("c", "c.1", old)
    while "c.1" not in world.runs:
        world.run(world.now + 0.001)
    asked = sum(world.messages_by_kind.values())
    move = world.request("c", "c.1", new)
    world.run(world.now + 0.004)
    assert (
        not move.answer and sum(world.messages_by_kind.values()) > asked
    )  # on its way to the owner, or the copy
    world.kill(lost)
    assert again(world, "c.1", [new]) == "409 run c.1"
    assert again(world, "c.2", [new]) == "200"
    assert world.runs["c.2"] == world.runs["c.1"] and not world.check()


@pytest.mark.parametrize("guard", ["", "unproven"])
def test_a_copy_that_is_cut_off_alone_acts_for_nobody(guard: str) -> None:
    """Its word ends the owner's duty, and its right is not over yet; but who would hear of what it does?"""
    acted = 0
    for seed in range(30, 42):
        world = settled(seed, guards=frozenset({guard}))
        _, copy = pair(world, "c")
        site = others(world, *pair(world, "c"))[0]
        assert ask(world, "c.1", site).answer == "200"
        world.partition([copy])
        world.run(world.now + 3.1)
        assert set(world.gateways[copy].view) == {copy} and world.gateways[copy].lease_until() > world.now
        acted += ask(world, "c.2", copy).answer == "200"
        assert again(world, "c.2", [site]) == "200"
        world.heal()
        world.run(world.now + 3.0)
        assert guard or (again(world, "c.2", [copy]) == "409 run c.2" and not world.check())
    assert (acted > 0) is bool(guard)


@pytest.mark.parametrize("guard", ["", "hasty"])
def test_a_gateway_that_comes_back_takes_a_duty_over_while_its_callers_move(guard: str) -> None:
    """Some take it for the owner already, others the one of before still; both have one copy."""
    ran = []
    for seed in range(20, 24):
        world = settled(seed, guards=frozenset({guard}))
        owner, copy = pair(world, "c")
        sites = others(world, owner, copy)
        world.kill(owner)
        world.run(world.now + CONVERGENCE_S + 4.0)
        assert again(world, "c.0", sites) == "200"
        world.start(owner)
        for number in range(40):
            world.schedule(0.02 * number, partial(world.request, "c", "c.1", sites[number % len(sites)]))
        world.run(world.now + 4.0)
        again(world, "c.1", sites[:1])
        ran.append(len(world.runs["c.1"]))
        assert guard or not world.check()
    assert max(ran) == (2 if guard else 1)


def test_a_server_restarted_at_the_same_address_is_not_taken_for_the_one_before() -> None:
    world = settled(6)
    world.request("c", "c.1", "g0")
    while "c.1" not in world.runs:
        world.run(world.now + 0.001)
    (life,) = world.runs["c.1"]
    world.restart_server(life.partition("-")[0], 0.1)
    assert again(world, "c.1", ["g4"]) == "409 unknown c.1"  # told once, and then it is for the caller
    assert again(world, "c.2", ["g4"]) == "200"
    assert life not in world.runs["c.2"] and not world.check()


def test_a_pool_change_during_the_move_moves_nobody() -> None:
    world = settled(7, servers=6)
    assert ask(world, "c.1", "g0").answer == "200"
    for number in range(20):  # newcomers that the placement would give most callers to
        world.add_server(f"n{number}", 0)
    assert ask(world, "c.2", "g4").answer == "200"
    assert world.runs["c.2"] == world.runs["c.1"]


def test_a_record_older_than_its_lease_is_forgotten_everywhere() -> None:
    world = settled(8, ttl_s=5.0)
    assert ask(world, "c.1", "g0").answer == "200"
    owner = world.gateways[pair(world, "c")[0]].store
    owner.now = owner.records[key("c")].expires_at
    assert owner.get(key("c")) is None  # not even before it is swept
    world.run(world.now + MIN_TTL_CONVERGENCE_PERIODS * CONVERGENCE_S + 4.0)
    assert not any(s.store.records or s.store.local_records for s in world.gateways.values())
    assert ask(world, "c.2", "g4").answer == "200"
    numbers = [h.record.move for s in world.gateways.values() for h in s.store.records.values()]
    assert min(numbers) > 1  # and numbers don't begin anew


def test_what_is_open_is_not_forgotten_while_nobody_may_tell_of_it() -> None:
    world = settled(8, ttl_s=1.0)
    first = world.request("c", "c.1", "g0")
    while "c.1" not in world.runs:
        world.run(world.now + 0.001)
    first.abandoned = first.disconnected = True  # its caller is on the way, and nobody writes of it meanwhile
    world.run(world.now + 2.5 * CONVERGENCE_S)
    assert again(world, "c.1", ["g4"]) == "409 run c.1"


def test_a_record_begun_anew_stands_above_one_that_is_told_late() -> None:
    world = settled(9, ttl_s=20.0)
    owner, _ = pair(world, "c")
    site = others(world, *pair(world, "c"))[0]
    assert ask(world, "c.0", site).answer == "200"
    world.kill(owner)
    for number in range(1, 6):  # in use until the promise of the handing on ends before the record
        assert again(world, f"c.{number}", [site]) == "200"
        world.run(world.now + 10.0)
    office = world.gateways[pair(world, "c")[0]].store
    old = office.records[key("c")].record
    world.run(world.now + 14.0)
    assert old.epoch and key("c") not in office.records
    assert again(world, "c.9", [site]) == "200"
    office.receive(site, {"w": "tell", "b": [[old, 9.0, 20.0]]}, world.now)  # by one that stood still
    assert ask(world, "c.9", others(world, site)[-1]).answer == "409 run c.9"


def test_the_whole_region_of_the_owner_is_lost() -> None:
    world = settled(9)
    owner, _ = pair(world, "c")
    inside = [n for n, s in world.gateways.items() if s.region == world.gateways[owner].region]
    outside = others(world, *inside)
    assert ask(world, "c.1", outside[0]).answer == "200"
    for name in inside:
        world.kill(name)
    assert again(world, "c.1", [outside[1]]) == "409 run c.1"
    assert again(world, "c.2", [outside[1]]) == "200" and not world.check()


@pytest.mark.parametrize("most", [20_000, 1500])
def test_ten_thousand_callers_move_within_a_second(most: int) -> None:
    world = settled(10, max_records=most)
    if most < 10_000:  # another tenure for whatever the lost one owned
        world.kill("g2")
        world.run(world.now + 4.0)
    old, callers = world.gateways["g0"], [f"c{number}" for number in range(10_000)]
    for caller in callers:
        world.carry_out(old, old.process_outputs(old.store.acquire("", key(caller), (), 30.0, world.now)))
    world.run(world.now + 0.5)
    for caller in callers:
        world.schedule(world.rng.random(), partial(world.request, caller, f"{caller}.1", "g4"))
    world.run(world.now + 3.0)
    assert not world.check() and max(world.lookup_times_s) < 0.1  # s, three ways between regions
    offices = [s.store for s in world.gateways.values()]
    assert all(max(len(o.records), len(o.promised_epochs)) <= min(most, 6_000) for o in offices)
    assert not any(o.pending_requests or o.pending_writes or o.recoveries for o in offices)
    if most < 10_000:  # of some nobody can tell any more: they are refused, and nobody waits
        assert {one.answer for one in world.requests} == {"200", "502", "503"}
        return
    # All are served, but for the answers that servers lose.
    assert {one.answer for one in world.requests} == {"200", "502"} and len(world.runs) == 10_000
    assert sum(o.stats["travel.moves"] for o in offices) == 10_000
    assert sum(world.messages_by_kind.values()) < 13 * 20_000


def test_a_full_store_says_that_it_can_not_tell() -> None:
    world = settled(11, max_records=2)
    callers = "abcdefghijkl"
    assert [ask(world, f"{caller}.1", "g0").answer for caller in callers].count("200") > 6
    assert all(
        again(world, f"{caller}.1", ["g4"], 1.0) != "200" for caller in callers if f"{caller}.1" in world.runs
    )
    assert not world.check()


def test_who_comes_after_a_full_store_can_not_tell_either() -> None:
    world = settled(11, max_records=2)
    callers = [f"c{number}" for number in range(12)]
    for caller in callers:
        ask(world, f"{caller}.1", "g0")
    lost = {
        caller
        for caller in callers
        if not any(key(caller) in s.store.records for s in world.gateways.values())
    }
    assert lost
    gone = pair(world, min(lost))
    for name in gone:
        world.kill(name)
    world.run(world.now + CONVERGENCE_S + 4.0)
    world.start(gone[0])  # and one that never knew of it
    world.run(world.now + CONVERGENCE_S + 2.0)
    assert all(again(world, f"{caller}.1", ["g4", "g7"], 0.5) != "200" for caller in lost)


def test_records_rest_in_their_homes_only() -> None:
    world = settled(12, home_regions=("r1",))
    assert ask(world, "c.1", "g0").answer == "200"  # a site of another region
    assert ask(world, "c.1", "g2").answer == "409 run c.1"
    resting = {s.region for s in world.gateways.values() if s.store.records or s.store.local_records}
    assert resting == {"r1"}


def test_the_copy_lies_in_another_region_and_else_in_another_zone() -> None:
    peers = {f"g{n}": Peer(f"r{n % 3}z{n // 3}", f"r{n % 3}") for n in range(6)}
    era = MembershipView(0.0, peers)
    for number in range(50):
        owner, copy = era.placement(key(f"c{number}"), ())
        assert peers[owner].region != peers[copy].region
        owner, copy = era.placement(key(f"c{number}"), ("r2",))
        assert {owner, copy} == {"g2", "g5"}


def test_a_write_over_an_open_exchange_is_not_taken() -> None:
    world = settled(13)
    world.request("c", "c.1", "g0")
    while "c.1" not in world.runs:
        world.run(world.now + 0.001)
    owner = world.gateways[pair(world, "c")[0]].store
    held = owner.records[key("c")].record
    new = replace(held, write_number=held.write_number + 1, exchange_id="c.2", opening_id="new")
    owner.receive("g0", {"w": "write", "q": 1, "b": new, "l": 30.0}, world.now)
    assert owner.records[key("c")].record == held


def test_a_late_write_of_the_same_site_is_not_taken() -> None:
    world = settled(13)
    ask(world, "c.1", "g0")
    world.run(world.now + 0.2)
    owner = world.gateways[pair(world, "c")[0]].store
    held = owner.records[key("c")].record
    stale = replace(
        held,
        write_number=held.write_number,
        exchange_id="c.0",
        outcome=ExchangeOutcome.OPEN,
        opening_id="old",
    )
    owner.receive("g0", {"w": "write", "q": 1, "b": stale, "l": 30.0}, world.now)
    assert owner.records[key("c")].record == held and isinstance(held, SessionRecord)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("able", [True, False])
def test_drawn_schedules_keep_all_rules(seed: int, able: bool) -> None:
    world = run_schedule(seed, 24.0, can_query=able)
    assert not world.check(), f"seed {seed} able {able}"
    assert sum(world.finished.values()) > 100


@pytest.mark.parametrize(
    ("guard", "seeds", "settings"),
    [
        ("unfenced", range(22, 28), {}),
        ("rightless", range(17, 20), {"kinds": ("cut",)}),
        ("hasty", range(3), {}),
        ("mute", range(1, 4), {"kinds": ("kill", "region")}),
        ("unproven", range(6072, 6073), {}),
        ("adopting", range(6053, 6054), {}),
        ("unopened", range(2), {}),
        ("unsealed", range(2), {}),
        ("silence", range(3), {}),
        ("forgetful", range(2), {"max_records": 3}),
    ],
)
def test_a_guard_taken_out_is_found(guard: str, seeds: range, settings: dict[str, object]) -> None:
    assert any(run_schedule(seed, guards=frozenset([guard]), **settings).check() for seed in seeds)  # type: ignore[arg-type]


def test_what_an_office_keeps_beside_records_ends_as_well() -> None:
    world = settled(14, ttl_s=5.0)
    for number in range(20):
        ask(world, f"c{number}.1", "g0")
    world.kill(pair(world, "c1")[0])
    for number in range(20):
        again(world, f"c{number}.2", ["g4"], 1.0)
    assert any(s.store.promised_epochs for s in world.gateways.values())
    world.run(world.now + 100.0)
    for site in [s for s in world.gateways.values() if s.up]:
        office = site.store
        kept = (
            office.records,
            office.local_records,
            office.promised_epochs,
            office.recovered_in_view,
            office.superseded,
            office.unconfirmed_outcomes,
        )
        assert not any(kept) and not site.coordinator.requests and not site.coordinator.pending_openings
