"""Views converge by exchanging only the buckets that differ, in a simulated network of 94 members."""

from __future__ import annotations

import pytest

from latchspoke.membership import messages
from latchspoke.membership.protocol import ProtocolParameters
from tests.membership.network import SimulatedNetwork

MEMBER_COUNT = 94
PARAMETERS = ProtocolParameters()


def started_network(seed: int, loss: float = 0.0, count: int = MEMBER_COUNT) -> SimulatedNetwork:
    """Starts all members at once; each becomes ready 1 to 1.4 s later."""
    network = SimulatedNetwork(count, seed)
    network.loss = loss
    for index in range(count):
        network.schedule(
            network.now + 1 + 0.4 * index / count,
            lambda index=index: mark_ready(network, f"m{index}"),  # type: ignore[misc]
        )
    return network


def mark_ready(network: SimulatedNetwork, name: str) -> None:
    membership = network.members[name]
    membership.update_meta(membership.local_member.meta | {"now": True}, network.now)
    network.flush(name)


def all_views_ready(network: SimulatedNetwork) -> bool:
    return network.views_agree() and all(
        member.meta.get("now")
        for membership in network.members.values()
        for member in membership.alive.values()
    )


@pytest.mark.parametrize(("seed", "loss"), [(0, 0.0), (1, 0.02), (2, 0.05)])
def test_views_converge_after_a_simultaneous_start(seed: int, loss: float) -> None:
    network = started_network(seed, loss)
    print("views converged after", network.run_until(lambda: all_views_ready(network), 6.0))
    network.run(5)
    network.sent_bytes.clear()
    network.run(5)
    bytes_per_second = sum(network.sent_bytes.values()) / MEMBER_COUNT / 5
    print("bytes per second and member", bytes_per_second)
    if not loss:  # message loss may cause suspicions
        assert bytes_per_second < 4 * 70 and not network.names_with_event("suspected")
    assert not network.names_with_event("gone")


def test_a_late_join_and_a_crash_are_disseminated_in_time() -> None:
    network = started_network(3)
    network.run(15)
    network.sent_bytes.clear()
    network.start(MEMBER_COUNT)
    print("known after", network.run_until(network.views_agree, 3.0))
    assert sum(network.sent_bytes.values()) < 400_000
    network.run(5)
    network.kill("m50")
    print("removed after", network.run_until(network.views_agree, PARAMETERS.removal_bound(MEMBER_COUNT)))
    assert network.names_with_event("gone") == {"m50"}


def test_a_partition_heals_and_a_refutation_is_accepted() -> None:
    network = started_network(4, count=40)
    network.run(10)
    remote_side = {f"m{index}" for index in range(25, 40)}
    network.delivers = lambda sender, receiver: (sender in remote_side) == (receiver in remote_side)
    network.run(2 * PARAMETERS.removal_bound(40))
    assert {len(membership.alive) for name, membership in network.members.items()} == {25, 15}
    network.delivers = lambda sender, receiver: True
    print("healed after", network.run_until(network.views_agree, 6.0))
    network.events.clear()
    network.run(3)
    network.freeze("m30", 2.5)
    network.run(2.5)
    network.run_until(
        lambda: network.views_agree()
        and not any(membership.suspects for membership in network.members.values()),
        4.0,
    )
    assert not network.names_with_event("gone")


def test_a_missed_update_arrives_with_a_later_exchange() -> None:
    network = started_network(5, count=40)
    network.run(10)
    network.delivers = lambda sender, receiver: "m20" not in (sender, receiver)
    updated_member = network.members["m3"]
    updated_member.update_meta(updated_member.local_member.meta | {"late": True}, network.now)
    network.flush("m3")
    network.run(0.3)
    network.delivers = lambda sender, receiver: True
    print(
        "update arrived after",
        network.run_until(lambda: "late" in network.members["m20"].alive["m3"].meta, 1.5),
    )


def test_bucket_digests_locate_differences_and_malformed_ones_do_not() -> None:
    members = [messages.Member(f"m{index}", "10.0.0.1", 1, {}, 0, "a") for index in range(100)]
    changed_members = [*members[:50], messages.Member("m50", "10.0.0.1", 1, {}, 1, "a"), *members[51:99]]
    digests = messages.bucket_digests(members)
    assert messages.differing_buckets(digests, messages.bucket_digests(reversed(members))) == set()
    assert messages.differing_buckets(digests, messages.bucket_digests(changed_members)) == {
        messages.bucket_of("m50"),
        messages.bucket_of("m99"),
    }
    incremented_members = [
        messages.Member(member.name, member.host, member.port, {}, 1, "a") for member in members
    ]
    assert len(messages.differing_buckets(digests, messages.bucket_digests(incremented_members))) == len(
        {messages.bucket_of(member.name) for member in members}
    )
    assert (
        messages.differing_buckets("", digests) == messages.differing_buckets(digests + "A", digests) == set()
    )
