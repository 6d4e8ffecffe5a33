"""Failure detection, dissemination and joining in a simulated network."""

from __future__ import annotations

from functools import partial

import pytest

from latchspoke.membership import protocol
from latchspoke.membership.protocol import ProtocolParameters
from tests.membership.network import SimulatedNetwork

PARAMETERS = ProtocolParameters()


def joined_network(count: int, seed: int) -> SimulatedNetwork:
    network = SimulatedNetwork(count, seed)
    print("joined after", network.run_until(network.views_agree, 5 if count < 20 else 15))
    network.run(10)
    network.events.clear()
    return network


@pytest.mark.parametrize("seed", range(3))
def test_only_a_crashed_member_is_removed(seed: int) -> None:
    network = joined_network(16, seed)
    network.kill("m7")
    print("removed after", network.run_until(network.views_agree, PARAMETERS.removal_bound(16)))
    network.run(10)
    assert network.names_with_event("gone") == {"m7"} and network.names_with_event("joined") == set()
    assert len([event for _, _, event in network.events if event.kind == "gone"]) == 15
    assert "m7" in network.members["m1"].removed
    network.run(PARAMETERS.removed_retention_s)
    assert not network.members["m1"].removed


@pytest.mark.parametrize("seed", range(2))
def test_a_partition_removes_the_other_side_and_heals(seed: int) -> None:
    network = joined_network(16, seed)
    remote_side = {f"m{index}" for index in range(11, 16)}  # without any seed
    network.delivers = lambda sender, receiver: (sender in remote_side) == (receiver in remote_side)
    network.run(2 * PARAMETERS.removal_bound(16))
    for name, membership in network.members.items():
        assert set(membership.alive) == {
            other_name
            for other_name in network.members
            if (other_name in remote_side) == (name in remote_side)
        }
    network.events.clear()
    network.delivers = lambda sender, receiver: True
    print("healed after", network.run_until(network.views_agree, 8))
    network.run(10)
    assert network.names_with_event("gone") == set()
    assert all(not membership.suspects and not membership.removed for membership in network.members.values())


def test_a_partition_longer_than_the_retention_heals_through_seeds() -> None:
    network = joined_network(9, 4)
    remote_side = {"m2", "m3", "m4"}  # includes a seed
    network.delivers = lambda sender, receiver: (sender in remote_side) == (receiver in remote_side)
    network.run(2 * PARAMETERS.removed_retention_s)
    assert not network.members["m0"].removed and not network.members["m2"].removed
    network.delivers = lambda sender, receiver: True
    print("healed after", network.run_until(network.views_agree, 2 * PARAMETERS.missing_seed_interval_s))


def test_loss_in_one_direction_between_two_members_causes_no_suspicion() -> None:
    network = joined_network(16, 5)
    network.delivers = lambda sender, receiver: (sender, receiver) != ("m3", "m9")
    network.run(60)
    assert network.names_with_event("suspected") == set()


@pytest.mark.parametrize("pause", [0.1, 20.0])
def test_a_restarted_member_replaces_its_former_instance(pause: float) -> None:
    network = joined_network(16, 6)
    network.members["m7"].update_meta({"ready": False}, network.now)  # incarnation 1
    network.flush("m7")
    network.run(3)
    network.kill("m7")
    network.run(pause)
    network.start(7, "two")
    print("rejoined after", network.run_until(network.views_agree, 3))
    network.run(5)
    assert all(membership.alive["m7"].meta["ready"] for membership in network.members.values())
    assert network.members["m7"].local_member.incarnation > 1 and network.names_with_event("gone") == {"m7"}


def test_ten_minutes_of_message_loss_remove_no_member() -> None:
    network = joined_network(16, 7)
    network.loss = 0.05
    network.run(600)
    print("suspected", len([event for _, _, event in network.events if event.kind == "suspected"]))
    assert network.names_with_event("gone") == set() and network.views_agree()


@pytest.mark.parametrize("seed", range(3))
def test_a_paused_member_removes_no_other_and_rejoins(seed: int) -> None:
    network = joined_network(16, seed)
    network.freeze("m5", 3)
    network.run(3)
    network.run_until(
        lambda: network.views_agree()
        and not any(membership.suspects for membership in network.members.values()),
        5,
    )
    network.run(10)
    assert network.names_with_event("gone") <= {"m5"} and network.views_agree()
    assert not [event for _, name, event in network.events if name == "m5" and event.kind == "gone"]


def test_a_metadata_change_and_a_leave_reach_all_members() -> None:
    network = joined_network(16, 8)
    network.members["m3"].update_meta({"ready": False}, network.now)
    network.flush("m3")
    spread_time = network.run_until(
        lambda: all(not membership.alive["m3"].meta["ready"] for membership in network.members.values()), 2
    )
    print("metadata disseminated after", spread_time)
    network.members["m3"].leave(network.now)
    network.flush("m3")
    network.kill("m3")
    print("leave disseminated after", network.run_until(network.views_agree, 2))
    network.run(5)
    assert network.names_with_event("suspected") == set()


def test_traffic_per_member_is_independent_of_cluster_size() -> None:
    traffic_rates = []
    for count in (16, 100):
        network = joined_network(count, 9)
        network.run(10)  # until the updates of the joins are disseminated
        network.sent_count.clear()
        network.sent_bytes.clear()
        network.run(20)
        traffic_rates.append(
            (sum(network.sent_count.values()) / count / 20, sum(network.sent_bytes.values()) / count / 20)
        )
        assert (
            max(network.sent_count.values()) < 20 * 7
            and network.largest_message < 1200
            and not network.events
        )
    print("messages and bytes per second and member", traffic_rates)
    assert traffic_rates[1][0] == pytest.approx(traffic_rates[0][0], rel=0.1)
    assert traffic_rates[1][1] == pytest.approx(traffic_rates[0][1], rel=0.1)


def test_members_started_before_their_seeds_join_soon_after_them() -> None:
    """Otherwise a gateway would use a whole budget alone until it learns of the others."""
    for seed in range(5):
        network = SimulatedNetwork(0, seed)
        for index in range(5, 16):
            network.start(index)
        network.run(0.13)
        for index in range(5):
            network.start(index)
        network.run(0.3)
        assert all(len(membership.alive) >= 12 for membership in network.members.values())


def test_simultaneous_changes_are_forwarded_in_batches(monkeypatch: pytest.MonkeyPatch) -> None:
    """Forwarding each change separately would multiply the number of datagrams."""
    default_window_s, sent = protocol.CHANGE_BATCH_WINDOW_S, {}
    for window_s in (0.0, default_window_s):
        monkeypatch.setattr(protocol, "CHANGE_BATCH_WINDOW_S", window_s)
        network = joined_network(70, 3)
        sent_before = sum(network.sent_count.values())
        for name in network.members:
            network.schedule(network.now + network.rng.random() * 0.3, partial(mark_unready, network, name))
        network.run(4.0)
        distinct_views = {
            tuple(sorted((name, member.incarnation) for name, member in membership.alive.items()))
            for membership in network.members.values()
        }
        assert len(distinct_views) == 1
        sent[window_s] = sum(network.sent_count.values()) - sent_before
    assert sent[default_window_s] < 0.7 * sent[0.0], sent


def mark_unready(network: SimulatedNetwork, name: str) -> None:
    """Changes the member's metadata to not ready."""
    member = network.members[name]
    member.update_meta({**member.local_member.meta, "ready": False}, network.now)
    network.flush(name)
