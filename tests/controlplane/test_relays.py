"""Relaying of messages between control-plane nodes through gateways."""

from __future__ import annotations

import json
from random import Random
from typing import Any, cast

import pytest

from latchspoke.controlplane import relays
from latchspoke.controlplane.fanout import RegionTopology
from latchspoke.controlplane.peers import UNANSWERED_TIMEOUT_S, PeerLink, Peers
from latchspoke.controlplane.relays import GatewayRelays

PEER = "10.2.0.11:7601"


class FakeConnection:
    """Records the messages sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.closed = False

    def write(self, data: Any) -> bool:
        self.sent.append(data)
        return True

    send = write


@pytest.fixture
def relay_setup(monkeypatch: pytest.MonkeyPatch) -> tuple[Peers, list[float], list[Any], list[Any]]:
    """Peers with one open link, a clock, the messages sent directly, and three gateways."""
    monkeypatch.setattr(relays, "RELAYS_PER_MESSAGE", 2)
    clock, gateways = [0.0], [FakeConnection() for _ in range(3)]
    gateway_relays = GatewayRelays("10.1.0.11:7601", Random(1))
    for connection in gateways:
        gateway_relays.add_gateway(cast(Any, connection))
    topology = RegionTopology("10.1.0.11:7601", "", Random(1))
    peers = Peers(
        "10.1.0.11:7601",
        lambda connection: None,
        lambda connection, message: None,
        gateway_relays,
        topology,
        lambda: clock[0],
    )
    link = object.__new__(PeerLink)
    link.peers, link.name, link.unanswered_since, link.last_received_at = peers, PEER, None, 0.0
    link.connection = cast(Any, FakeConnection())
    peers.links, peers.alive = {PEER: link}, {PEER}
    return peers, clock, cast(Any, link.connection).sent, gateways


def relayed_counts(gateways: list[Any]) -> list[int]:
    return [len(connection.sent) for connection in gateways]


def test_answered_messages_are_not_relayed(relay_setup: Any) -> None:
    peers, clock, direct, gateways = relay_setup
    for _ in range(5):
        peers.send(PEER, {"k": "reg"})
        clock[0] += 0.15
        peers.record_received(PEER)
    assert len(direct) == 5 and not any(relayed_counts(gateways))


def test_unanswered_messages_use_two_relays_then_the_return_path(
    relay_setup: Any,
) -> None:
    peers, clock, direct, gateways = relay_setup
    peers.send(PEER, {"k": "reg", "m": 1})
    clock[0] = UNANSWERED_TIMEOUT_S + 0.01
    peers.send(PEER, {"k": "reg", "m": 2})
    assert sorted(relayed_counts(gateways)) == [0, 1, 1] and len(direct) == 2
    (frame, *_) = [connection.sent[0] for connection in gateways if connection.sent]
    message = json.loads(frame[frame.index(b":") + 1 : -1])
    assert message == {"k": "relay", "to": PEER, "from": peers.own_name, "m": {"k": "reg", "m": 2}}
    peers.relays.record_received(PEER, gateways[0], clock[0])
    before = relayed_counts(gateways)
    peers.send(PEER, {"k": "reg", "m": 3})
    assert relayed_counts(gateways) == [before[0] + 1, *before[1:]]
    peers.relays.remove_connection(gateways[0])
    peers.send(PEER, {"k": "reg", "m": 4})
    assert sum(relayed_counts(gateways[1:])) == sum(before[1:]) + 2
    peers.record_received(PEER)
    peers.send(PEER, {"k": "reg", "m": 5})
    assert sum(relayed_counts(gateways[1:])) == sum(before[1:]) + 2, "the direct path works again"


def test_answer_uses_the_return_path_of_the_request(relay_setup: Any) -> None:
    """Only the peer has noticed that the direct path fails; messages to it were answered until now."""
    peers, clock, _, gateways = relay_setup
    clock[0] = 0.1
    peers.record_received(PEER)
    clock[0] = 0.3
    peers.relays.record_received(PEER, gateways[2], clock[0])
    peers.send(PEER, {"k": "reg"})
    assert relayed_counts(gateways) == [0, 0, 1]


def test_messages_to_gone_nodes_or_above_the_size_limit_are_not_relayed(relay_setup: Any) -> None:
    peers, clock, _, gateways = relay_setup
    peers.send(PEER, {"k": "reg"})
    clock[0] = 1.0
    peers.send(PEER, {"k": "reg", "m": "x" * relays.MAX_MESSAGE_BYTES})
    assert not any(relayed_counts(gateways))
    peers.alive = set()
    peers.send(PEER, {"k": "reg"})
    assert not any(relayed_counts(gateways))
