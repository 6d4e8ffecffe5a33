"""Session records in the simulation: hard cases, random schedules, and mutations that must be detected."""

from __future__ import annotations

from functools import partial

import pytest
from msgspec.structs import replace

from latchspoke.session_records.coordinator import MIN_TTL_CONVERGENCE_PERIODS
from latchspoke.session_records.record import ExchangeOutcome, MembershipView, Peer, SessionRecord, record_key
from latchspoke.session_records.simulation import CONVERGENCE_S, ClientRequest, Simulation, run_schedule


def caller_key(caller: str) -> str:
    return record_key("route", "", caller.encode())


def converged(seed: int = 1, **settings: object) -> Simulation:
    """A simulation that has run long enough for owners to know that a record does not exist."""
    simulation = Simulation(seed, **settings)  # type: ignore[arg-type]
    simulation.run(CONVERGENCE_S + 1.0)
    return simulation


def send_and_wait(
    simulation: Simulation, exchange_id: str, gateway_name: str, timeout_s: float = 2.0
) -> ClientRequest:
    request = simulation.request(exchange_id.partition(".")[0], exchange_id, gateway_name)
    until = simulation.now + timeout_s
    while not request.answer and simulation.now < until:
        simulation.run(simulation.now + 0.005)
    return request


def retry_until_answered(
    simulation: Simulation, exchange_id: str, gateway_names: list[str], timeout_s: float = 30.0
) -> str:
    """Send a request to the gateways in turn until it is neither refused nor unanswered."""
    until, answer, attempts = simulation.now + timeout_s, "", 0
    while simulation.now < until:
        answer = send_and_wait(simulation, exchange_id, gateway_names[attempts % len(gateway_names)]).answer
        if answer not in ("503", "closed", ""):
            return answer
        attempts += 1
        simulation.run(simulation.now + 0.3)
    return answer


def placement(simulation: Simulation, caller: str) -> tuple[str, str]:
    gateway = next(
        candidate for candidate in simulation.gateways.values() if candidate.up and not candidate.frozen
    )
    return gateway.store.views[-1].placement(caller_key(caller), ())


def others(simulation: Simulation, *names: str) -> list[str]:
    return [name for name in simulation.gateways if name not in names]


def test_caller_keeps_its_server_across_gateways_and_learns_what_ran() -> None:
    simulation = converged()
    assert send_and_wait(simulation, "c.1", "g0").answer == "200"
    assert send_and_wait(simulation, "c.2", "g4").answer == "200"
    assert simulation.runs["c.1"] == simulation.runs["c.2"]
    assert send_and_wait(simulation, "c.2", "g7").answer == "409 run c.2"
    assert not simulation.check()


def test_move_with_a_request_in_flight_runs_the_exchange_once() -> None:
    simulation = converged()
    first = simulation.request("c", "c.1", "g0")
    while "c.1" not in simulation.runs:
        simulation.run(simulation.now + 0.001)
    assert send_and_wait(simulation, "c.1", "g4").answer == "503"  # the request is still in flight
    assert retry_until_answered(simulation, "c.1", ["g4"]) == "409 run c.1"
    assert first.answer == "200" and len(simulation.runs["c.1"]) == 1


def test_concurrent_moves_run_the_exchange_once() -> None:
    simulation = converged()
    assert send_and_wait(simulation, "c.1", "g0").answer == "200"
    requests = [simulation.request("c", "c.2", name) for name in ("g4", "g0", "g8", "g4", "g0")]
    simulation.run(simulation.now + 3.0)
    assert sum(request.answer == "200" for request in requests) <= 1
    retry_until_answered(simulation, "c.2", ["g4"])
    assert len(simulation.runs["c.2"]) == 1 and not simulation.check()


@pytest.mark.parametrize("fault", ["killed", "cut off", "stopped"])
def test_loss_of_the_previous_gateway_after_a_move(fault: str) -> None:
    simulation = converged(3)
    previous = others(simulation, *placement(simulation, "c"))[0]
    simulation.request("c", "c.1", previous)
    while "c.1" not in simulation.runs:
        simulation.run(simulation.now + 0.001)
    {"killed": lambda: simulation.kill(previous), "cut off": lambda: simulation.partition([previous])}.get(
        fault, lambda: simulation.freeze(previous)
    )()
    assert retry_until_answered(simulation, "c.1", others(simulation, previous)[:2]) == "409 run c.1"
    assert retry_until_answered(simulation, "c.2", others(simulation, previous)[:2]) == "200"
    {"killed": lambda: simulation.start(previous), "cut off": simulation.heal}.get(
        fault, lambda: simulation.thaw(previous)
    )()
    simulation.run(simulation.now + 3.0)
    assert retry_until_answered(simulation, "c.3", [previous]) == "200"
    assert {len(instances) for instances in simulation.runs.values()} == {1} and not simulation.check()


@pytest.mark.parametrize("can_query", [True, False])
def test_gateway_stalled_before_the_first_byte_sends_nothing_later(can_query: bool) -> None:
    simulation = converged(4, can_query=can_query)
    previous = others(simulation, *placement(simulation, "c"))[0]
    simulation.stall_before_send.add(previous)
    simulation.request("c", "c.1", previous)
    simulation.run(simulation.now + 0.5)
    assert simulation.gateways[previous].frozen and "c.1" not in simulation.runs
    if not can_query:
        assert retry_until_answered(simulation, "c.1", others(simulation, previous)[:1]) == "409 unknown c.1"
    assert retry_until_answered(simulation, "c.1", others(simulation, previous)[:1]) == "200"
    simulation.thaw(previous)
    simulation.run(simulation.now + 3.0)
    assert len(simulation.runs["c.1"]) == 1 and not simulation.check()


@pytest.mark.parametrize("index", [0, 1])
def test_loss_of_owner_or_replica_between_exchanges(index: int) -> None:
    simulation = converged(5)
    lost = placement(simulation, "c")[index]
    gateways = others(simulation, *placement(simulation, "c"))
    assert send_and_wait(simulation, "c.1", gateways[0]).answer == "200"
    simulation.kill(lost)
    started_at = simulation.now
    assert retry_until_answered(simulation, "c.1", [gateways[1]]) == "409 run c.1"
    # The replica confirms a takeover at once; without it, the lease of the previous owner must end first.
    assert simulation.now - started_at < (4.0 if index == 0 else 4.0 + CONVERGENCE_S)
    assert retry_until_answered(simulation, "c.2", [gateways[1]]) == "200" and not simulation.check()


@pytest.mark.parametrize("index", [0, 1])
def test_loss_of_owner_or_replica_while_a_move_waits_for_it(index: int) -> None:
    simulation = converged(16)
    lost, (previous, new) = (
        placement(simulation, "c")[index],
        others(simulation, *placement(simulation, "c"))[:2],
    )
    simulation.request("c", "c.1", previous)
    while "c.1" not in simulation.runs:
        simulation.run(simulation.now + 0.001)
    messages_before = sum(simulation.messages_by_kind.values())
    move = simulation.request("c", "c.1", new)
    simulation.run(simulation.now + 0.004)
    # The write is on its way to the owner or the replica.
    assert not move.answer and sum(simulation.messages_by_kind.values()) > messages_before
    simulation.kill(lost)
    assert retry_until_answered(simulation, "c.1", [new]) == "409 run c.1"
    assert retry_until_answered(simulation, "c.2", [new]) == "200"
    assert simulation.runs["c.2"] == simulation.runs["c.1"] and not simulation.check()


@pytest.mark.parametrize("guard", ["", "unproven"])
def test_isolated_replica_does_not_take_over(guard: str) -> None:
    """It holds a valid lease and could confirm the takeover itself, but nobody would learn of its writes."""
    answered = 0
    for seed in range(30, 42):
        simulation = converged(seed, guards=frozenset({guard}))
        _, replica = placement(simulation, "c")
        gateway = others(simulation, *placement(simulation, "c"))[0]
        assert send_and_wait(simulation, "c.1", gateway).answer == "200"
        simulation.partition([replica])
        simulation.run(simulation.now + 3.1)
        assert (
            set(simulation.gateways[replica].view) == {replica}
            and simulation.gateways[replica].lease_until() > simulation.now
        )
        answered += send_and_wait(simulation, "c.2", replica).answer == "200"
        assert retry_until_answered(simulation, "c.2", [gateway]) == "200"
        simulation.heal()
        simulation.run(simulation.now + 3.0)
        assert guard or (
            retry_until_answered(simulation, "c.2", [replica]) == "409 run c.2" and not simulation.check()
        )
    assert (answered > 0) is bool(guard)


@pytest.mark.parametrize("guard", ["", "hasty"])
def test_returning_owner_takes_over_while_callers_move(guard: str) -> None:
    """Some gateways see the returning owner, others still the interim one; both have the same replica."""
    run_counts = []
    for seed in range(20, 24):
        simulation = converged(seed, guards=frozenset({guard}))
        owner, replica = placement(simulation, "c")
        gateways = others(simulation, owner, replica)
        simulation.kill(owner)
        simulation.run(simulation.now + CONVERGENCE_S + 4.0)
        assert retry_until_answered(simulation, "c.0", gateways) == "200"
        simulation.start(owner)
        for number in range(40):
            simulation.schedule(
                0.02 * number, partial(simulation.request, "c", "c.1", gateways[number % len(gateways)])
            )
        simulation.run(simulation.now + 4.0)
        retry_until_answered(simulation, "c.1", gateways[:1])
        run_counts.append(len(simulation.runs["c.1"]))
        assert guard or not simulation.check()
    assert max(run_counts) == (2 if guard else 1)


def test_restarted_server_is_not_taken_for_its_previous_instance() -> None:
    simulation = converged(6)
    simulation.request("c", "c.1", "g0")
    while "c.1" not in simulation.runs:
        simulation.run(simulation.now + 0.001)
    (instance_id,) = simulation.runs["c.1"]
    simulation.restart_server(instance_id.partition("-")[0], 0.1)
    # Reported once; the caller may then send it again.
    assert retry_until_answered(simulation, "c.1", ["g4"]) == "409 unknown c.1"
    assert retry_until_answered(simulation, "c.2", ["g4"]) == "200"
    assert instance_id not in simulation.runs["c.2"] and not simulation.check()


def test_pool_change_during_a_move_keeps_the_server() -> None:
    simulation = converged(7, servers=6)
    assert send_and_wait(simulation, "c.1", "g0").answer == "200"
    for number in range(20):  # new servers that most callers would be placed on
        simulation.add_server(f"n{number}", 0)
    assert send_and_wait(simulation, "c.2", "g4").answer == "200"
    assert simulation.runs["c.2"] == simulation.runs["c.1"]


def test_record_expires_everywhere_after_its_ttl() -> None:
    simulation = converged(8, ttl_s=5.0)
    assert send_and_wait(simulation, "c.1", "g0").answer == "200"
    owner = simulation.gateways[placement(simulation, "c")[0]].store
    owner.now = owner.records[caller_key("c")].expires_at
    assert owner.get(caller_key("c")) is None  # even before the next sweep
    simulation.run(simulation.now + MIN_TTL_CONVERGENCE_PERIODS * CONVERGENCE_S + 4.0)
    assert not any(
        gateway.store.records or gateway.store.local_records for gateway in simulation.gateways.values()
    )
    assert send_and_wait(simulation, "c.2", "g4").answer == "200"
    moves = [
        stored.record.move
        for gateway in simulation.gateways.values()
        for stored in gateway.store.records.values()
    ]
    assert min(moves) > 1  # moves continue above those of the dropped records


def test_open_exchange_is_not_forgotten_before_its_outcome_is_known() -> None:
    simulation = converged(8, ttl_s=1.0)
    first = simulation.request("c", "c.1", "g0")
    while "c.1" not in simulation.runs:
        simulation.run(simulation.now + 0.001)
    first.abandoned = first.disconnected = True  # its caller is moving
    simulation.run(simulation.now + 2.5 * CONVERGENCE_S)
    assert retry_until_answered(simulation, "c.1", ["g4"]) == "409 run c.1"


def test_new_record_has_a_higher_version_than_a_late_copy() -> None:
    simulation = converged(9, ttl_s=20.0)
    owner, _ = placement(simulation, "c")
    gateway = others(simulation, *placement(simulation, "c"))[0]
    assert send_and_wait(simulation, "c.0", gateway).answer == "200"
    simulation.kill(owner)
    for number in range(1, 6):  # until the epoch promise of the takeover ends before the record
        assert retry_until_answered(simulation, f"c.{number}", [gateway]) == "200"
        simulation.run(simulation.now + 10.0)
    store = simulation.gateways[placement(simulation, "c")[0]].store
    stale = store.records[caller_key("c")].record
    simulation.run(simulation.now + 14.0)
    assert stale.epoch and caller_key("c") not in store.records
    assert retry_until_answered(simulation, "c.9", [gateway]) == "200"
    # An update of a gateway that was stalled.
    store.receive(gateway, {"w": "tell", "b": [[stale, 9.0, 20.0]]}, simulation.now)
    assert send_and_wait(simulation, "c.9", others(simulation, gateway)[-1]).answer == "409 run c.9"


def test_loss_of_the_region_of_the_owner() -> None:
    simulation = converged(9)
    owner, _ = placement(simulation, "c")
    inside = [
        name
        for name, gateway in simulation.gateways.items()
        if gateway.region == simulation.gateways[owner].region
    ]
    outside = others(simulation, *inside)
    assert send_and_wait(simulation, "c.1", outside[0]).answer == "200"
    for name in inside:
        simulation.kill(name)
    assert retry_until_answered(simulation, "c.1", [outside[1]]) == "409 run c.1"
    assert retry_until_answered(simulation, "c.2", [outside[1]]) == "200" and not simulation.check()


@pytest.mark.parametrize("max_records", [20_000, 1500])
def test_ten_thousand_callers_move_within_a_second(max_records: int) -> None:
    simulation = converged(10, max_records=max_records)
    if max_records < 10_000:  # starts a new epoch for the records it owned
        simulation.kill("g2")
        simulation.run(simulation.now + 4.0)
    previous, callers = simulation.gateways["g0"], [f"c{number}" for number in range(10_000)]
    for caller in callers:
        simulation.carry_out(
            previous,
            previous.process_outputs(
                previous.store.acquire("", caller_key(caller), (), 30.0, simulation.now)
            ),
        )
    simulation.run(simulation.now + 0.5)
    for caller in callers:
        simulation.schedule(simulation.rng.random(), partial(simulation.request, caller, f"{caller}.1", "g4"))
    simulation.run(simulation.now + 3.0)
    assert (
        not simulation.check() and max(simulation.lookup_times_s) < 0.1
    )  # three one-way delays between regions
    stores = [gateway.store for gateway in simulation.gateways.values()]
    assert all(
        max(len(store.records), len(store.promised_epochs)) <= min(max_records, 6_000) for store in stores
    )
    assert not any(store.pending_requests or store.pending_writes or store.recoveries for store in stores)
    if max_records < 10_000:  # requests of evicted records are refused without waiting
        assert {request.answer for request in simulation.requests} == {"200", "502", "503"}
        return
    # All are served except where a server loses the answer.
    assert {request.answer for request in simulation.requests} == {"200", "502"} and len(
        simulation.runs
    ) == 10_000
    assert sum(store.stats["travel.moves"] for store in stores) == 10_000
    assert sum(simulation.messages_by_kind.values()) < 13 * 20_000


def test_full_store_does_not_deny_evicted_records() -> None:
    simulation = converged(11, max_records=2)
    callers = "abcdefghijkl"
    assert [send_and_wait(simulation, f"{caller}.1", "g0").answer for caller in callers].count("200") > 6
    assert all(
        retry_until_answered(simulation, f"{caller}.1", ["g4"], 1.0) != "200"
        for caller in callers
        if f"{caller}.1" in simulation.runs
    )
    assert not simulation.check()


def test_new_owner_after_a_full_store_does_not_deny_evicted_records() -> None:
    simulation = converged(11, max_records=2)
    callers = [f"c{number}" for number in range(12)]
    for caller in callers:
        send_and_wait(simulation, f"{caller}.1", "g0")
    lost = {
        caller
        for caller in callers
        if not any(caller_key(caller) in gateway.store.records for gateway in simulation.gateways.values())
    }
    assert lost
    killed = placement(simulation, min(lost))
    for name in killed:
        simulation.kill(name)
    simulation.run(simulation.now + CONVERGENCE_S + 4.0)
    simulation.start(killed[0])  # a replacement that has never had the records
    simulation.run(simulation.now + CONVERGENCE_S + 2.0)
    assert all(retry_until_answered(simulation, f"{caller}.1", ["g4", "g7"], 0.5) != "200" for caller in lost)


def test_records_are_stored_only_in_their_home_regions() -> None:
    simulation = converged(12, home_regions=("r1",))
    assert send_and_wait(simulation, "c.1", "g0").answer == "200"  # a gateway in another region
    assert send_and_wait(simulation, "c.1", "g2").answer == "409 run c.1"
    regions = {
        gateway.region
        for gateway in simulation.gateways.values()
        if gateway.store.records or gateway.store.local_records
    }
    assert regions == {"r1"}


def test_replica_is_in_another_region_or_else_in_another_zone() -> None:
    peers = {f"g{number}": Peer(f"r{number % 3}z{number // 3}", f"r{number % 3}") for number in range(6)}
    view = MembershipView(0.0, peers)
    for number in range(50):
        owner, replica = view.placement(caller_key(f"c{number}"), ())
        assert peers[owner].region != peers[replica].region
        owner, replica = view.placement(caller_key(f"c{number}"), ("r2",))
        assert {owner, replica} == {"g2", "g5"}


def test_write_over_an_open_exchange_is_rejected() -> None:
    simulation = converged(13)
    simulation.request("c", "c.1", "g0")
    while "c.1" not in simulation.runs:
        simulation.run(simulation.now + 0.001)
    owner = simulation.gateways[placement(simulation, "c")[0]].store
    record = owner.records[caller_key("c")].record
    requested = replace(record, write_number=record.write_number + 1, exchange_id="c.2", opening_id="new")
    owner.receive("g0", {"w": "write", "q": 1, "b": requested, "l": 30.0}, simulation.now)
    assert owner.records[caller_key("c")].record == record


def test_late_write_of_the_same_gateway_is_rejected() -> None:
    simulation = converged(13)
    send_and_wait(simulation, "c.1", "g0")
    simulation.run(simulation.now + 0.2)
    owner = simulation.gateways[placement(simulation, "c")[0]].store
    record = owner.records[caller_key("c")].record
    stale = replace(
        record,
        write_number=record.write_number,
        exchange_id="c.0",
        outcome=ExchangeOutcome.OPEN,
        opening_id="old",
    )
    owner.receive("g0", {"w": "write", "q": 1, "b": stale, "l": 30.0}, simulation.now)
    assert owner.records[caller_key("c")].record == record and isinstance(record, SessionRecord)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("can_query", [True, False])
def test_random_schedules_violate_no_invariant(seed: int, can_query: bool) -> None:
    simulation = run_schedule(seed, 24.0, can_query=can_query)
    assert not simulation.check(), f"seed {seed} can_query {can_query}"
    assert sum(simulation.finished.values()) > 100


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
def test_removed_guard_is_detected(guard: str, seeds: range, settings: dict[str, object]) -> None:
    assert any(run_schedule(seed, guards=frozenset([guard]), **settings).check() for seed in seeds)  # type: ignore[arg-type]


def test_auxiliary_state_of_a_store_is_dropped() -> None:
    simulation = converged(14, ttl_s=5.0)
    for number in range(20):
        send_and_wait(simulation, f"c{number}.1", "g0")
    simulation.kill(placement(simulation, "c1")[0])
    for number in range(20):
        retry_until_answered(simulation, f"c{number}.2", ["g4"], 1.0)
    assert any(candidate.store.promised_epochs for candidate in simulation.gateways.values())
    simulation.run(simulation.now + 100.0)
    for gateway in [candidate for candidate in simulation.gateways.values() if candidate.up]:
        store = gateway.store
        tables = (
            store.records,
            store.local_records,
            store.promised_epochs,
            store.recovered_in_view,
            store.superseded,
            store.unconfirmed_outcomes,
        )
        assert (
            not any(tables) and not gateway.coordinator.requests and not gateway.coordinator.pending_openings
        )
