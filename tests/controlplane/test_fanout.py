"""Fan-out of server updates among control-plane nodes, and heartbeat redirection."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from latchspoke.controlplane.calls import heartbeat_target
from latchspoke.controlplane.fanout import FORWARD_FIELD, RegionTopology, servers_message
from latchspoke.controlplane.peers import PeerLink, Peers
from latchspoke.controlplane.relays import GatewayRelays
from latchspoke.distribution.published_state import decode_entries
from latchspoke.membership.messages import Member
from tests.controlplane.test_node import NodeHarness, harness  # noqa: F401

NAMES = [f"{region}{number}" for region in "abc" for number in range(4)]


def make_topology(own_name: str = "a0", forwarding_nodes: list[str] = NAMES) -> RegionTopology:
    topology = RegionTopology(own_name, own_name[0], Random(1))
    topology.region_by_node = {name: name[0] for name in NAMES}
    topology.forwarding_nodes = set(forwarding_nodes)
    return topology


def other_nodes(own_name: str = "a0") -> list[str]:
    return [name for name in NAMES if name != own_name]


def test_update_goes_to_own_region_and_one_forwarder_of_each_other_region() -> None:
    targets = make_topology().targets(other_nodes(), lambda name: True)
    assert {name for name, should_forward in targets.items() if not should_forward} == {"a1", "a2", "a3"}
    assert sorted(name[0] for name, should_forward in targets.items() if should_forward) == ["b", "c"]


def test_update_reaches_every_node_with_any_set_of_forwarders() -> None:
    """Including nodes that do not forward, are unreachable, or whose region is unknown."""
    for forwarding_nodes, unreachable in (([], ""), (["b1"], ""), (NAMES, "b1"), (["b1"], "b1")):
        topology = make_topology(forwarding_nodes=forwarding_nodes)
        topology.region_by_node["c2"] = ""
        targets = topology.targets(other_nodes(), lambda name, excluded=unreachable: name != excluded)  # type: ignore[misc]
        reached = set(targets)
        for name, should_forward in targets.items():
            reached |= set(make_topology(name).in_own_region(other_nodes(name))) if should_forward else set()
        assert reached >= set(other_nodes())
        assert unreachable not in [name for name, should_forward in targets.items() if should_forward]


def test_forwarders_are_chosen_at_random() -> None:
    topology = make_topology()
    drawn = {
        name
        for _ in range(60)
        for name, should_forward in topology.targets(other_nodes(), lambda name: True).items()
        if should_forward
    }
    assert drawn == {name for name in NAMES if name[0] != "a"}


@pytest.mark.parametrize("newcomer", ["a1", "b0", "c3"])
def test_new_peer_gets_snapshots_from_its_region_and_one_node_of_each_other(newcomer: str) -> None:
    senders = [
        name
        for name in other_nodes(newcomer)
        if make_topology(name).sends_snapshot(newcomer, other_nodes(name))
    ]
    assert sorted(name[0] for name in senders) == sorted("abc" + newcomer[0] * 2)


class FakeConnection:
    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.closed = False

    def send(self, message: Any) -> bool:
        self.sent.append(message)
        return True


def test_forwarded_update_stays_within_the_region() -> None:
    clock = [0.0]
    peers = Peers(
        "a0", lambda connection: None, lambda connection, message: None,
        GatewayRelays("a0", Random(1)), make_topology(), lambda: clock[0],
    )  # fmt: skip
    for name in other_nodes():
        link = object.__new__(PeerLink)
        link.peers, link.name, link.unanswered_since, link.last_received_at = peers, name, None, 0.0
        link.connection = cast(Any, FakeConnection())
        peers.links[name] = link
    peers.alive = set(other_nodes())
    peers.fan_out({"k": "beats", "b": []})
    sent = {name: cast(Any, link.connection).sent for name, link in peers.links.items()}
    assert sorted(FORWARD_FIELD in message for messages in sent.values() for message in messages) == [
        False, False, False, True, True,
    ]  # fmt: skip
    for messages in sent.values():
        messages.clear()
    peers.forward_in_region({"k": "beats", "b": [], FORWARD_FIELD: 1})
    assert {name for name, messages in sent.items() if messages} == {"a1", "a2", "a3"}
    assert not any(FORWARD_FIELD in message for messages in sent.values() for message in messages)


def test_unknown_server_in_a_heartbeat_report_is_requested(harness: NodeHarness) -> None:  # noqa: F811
    """The update was lost with its forwarder; the next heartbeat report names the server."""
    sent: list[Any] = []
    harness.node.peers.send = lambda name, message: sent.append((name, message))  # type: ignore[method-assign]
    connection = SimpleNamespace(tag="10.2.0.11:7601", send=lambda message: True)
    harness.node.handle_message(cast(Any, connection), {"k": "beats", "b": [["s-1", 4, 0.2]]})
    assert sent == [("10.2.0.11:7601", {"k": "want", "i": ["s-1"]})]
    entry = {"i": "s-1", "t": 0, "q": 4, "s": "svc", "a": "10.9.0.1:8080", "z": "waw-a", "n": 2, "g": 0.1}
    harness.node.handle_message(cast(Any, connection), servers_message([entry], compress=True))
    assert harness.node.registry.entries["s-1"].address == "10.9.0.1:8080"
    sent.clear()
    harness.node.handle_message(cast(Any, connection), {"k": "want", "i": ["s-1", "s-2"]})
    name, answer = sent[0]
    assert name == "10.2.0.11:7601" and [item["i"] for item in decode_entries(answer)] == ["s-1"]


def test_many_servers_are_compressed_if_all_receivers_support_it() -> None:
    entries = [{"i": f"s-{n}", "t": 0, "q": 1, "s": "svc", "a": f"10.0.0.{n}:8080"} for n in range(60)]
    assert decode_entries(servers_message(entries, compress=True)) == entries
    assert "ez" in servers_message(entries, compress=True) and "ez" not in servers_message(
        entries, compress=False
    )


def control_node(number: int, region: str) -> Member:
    return Member(f"core-{number}", f"10.{number}.0.1", 7601, {"role": "core", "region": region}, 0, "x")


def test_heartbeats_are_redirected_to_the_servers_region() -> None:
    members = [
        control_node(1, "a"),
        control_node(2, "a"),
        control_node(3, "a"),
        control_node(4, "b"),
        control_node(5, "b"),
    ]
    rng = Random(1)
    hosts = {heartbeat_target(members, (), "a", "b", rng) for _ in range(40)}
    assert hosts == {"10.1.0.1", "10.2.0.1", "10.3.0.1"}
    assert heartbeat_target(members, (), "a", "a", rng) == "", (
        "a heartbeat in its own region stays where it is"
    )
    assert heartbeat_target(members, (), "b", "a", rng) == "", "too few nodes in the region"
    assert heartbeat_target(members, {"core-1"}, "a", "b", rng) == ""
