"""By which gateways a control machine sends what its own connections may not bring."""

from __future__ import annotations

import json
from random import Random
from typing import Any, cast

import pytest

from latchspoke.controlplane import relays
from latchspoke.controlplane.fanout import RegionTopology
from latchspoke.controlplane.peers import UNANSWERED_TIMEOUT_S, PeerLink, Peers
from latchspoke.controlplane.relays import GatewayRelays

OTHER = "10.2.0.11:7601"


class Wire:
    """A connection that keeps what is sent on it."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.closed = False

    def write(self, data: Any) -> bool:
        self.sent.append(data)
        return True

    send = write


@pytest.fixture
def made(monkeypatch: pytest.MonkeyPatch) -> tuple[Peers, list[float], list[Any], list[Any]]:
    """Peers with one link that is up, a clock, what went directly, and three gateways."""
    monkeypatch.setattr(relays, "RELAYS_PER_MESSAGE", 2)
    clock, gateways = [0.0], [Wire() for _ in range(3)]
    known = GatewayRelays("10.1.0.11:7601", Random(1))
    for wire in gateways:
        known.add_gateway(cast(Any, wire))
    regions = RegionTopology("10.1.0.11:7601", "", Random(1))
    peers = Peers(
        "10.1.0.11:7601", lambda wire: None, lambda wire, message: None, known, regions, lambda: clock[0]
    )
    link = object.__new__(PeerLink)
    link.peers, link.name, link.unanswered_since, link.last_received_at = peers, OTHER, None, 0.0
    link.connection = cast(Any, Wire())
    peers.links, peers.alive = {OTHER: link}, {OTHER}
    return peers, clock, cast(Any, link.connection).sent, gateways


def relayed(gateways: list[Any]) -> list[int]:
    return [len(wire.sent) for wire in gateways]


def test_what_is_answered_goes_directly_alone(made: Any) -> None:
    peers, clock, direct, gateways = made
    for _ in range(5):
        peers.send(OTHER, {"k": "reg"})
        clock[0] += 0.15
        peers.record_received(OTHER)
    assert len(direct) == 5 and not any(relayed(gateways))


def test_what_stays_unanswered_goes_by_two_gateways_too_then_by_the_one_that_brought_an_answer(
    made: Any,
) -> None:
    peers, clock, direct, gateways = made
    peers.send(OTHER, {"k": "reg", "m": 1})
    clock[0] = UNANSWERED_TIMEOUT_S + 0.01
    peers.send(OTHER, {"k": "reg", "m": 2})
    assert sorted(relayed(gateways)) == [0, 1, 1] and len(direct) == 2
    (told, *_) = [wire.sent[0] for wire in gateways if wire.sent]
    said = json.loads(told[told.index(b":") + 1 : -1])
    assert said == {"k": "relay", "to": OTHER, "from": peers.own_name, "m": {"k": "reg", "m": 2}}
    peers.relays.record_received(OTHER, gateways[0], clock[0])
    before = relayed(gateways)
    peers.send(OTHER, {"k": "reg", "m": 3})
    assert relayed(gateways) == [before[0] + 1, *before[1:]]
    peers.relays.remove_connection(gateways[0])
    peers.send(OTHER, {"k": "reg", "m": 4})
    assert sum(relayed(gateways[1:])) == sum(before[1:]) + 2
    peers.record_received(OTHER)
    peers.send(OTHER, {"k": "reg", "m": 5})
    assert sum(relayed(gateways[1:])) == sum(before[1:]) + 2, "it is heard again"


def test_an_answer_goes_back_by_the_way_on_which_the_question_came(made: Any) -> None:
    """Its own messages have had answers until now: only the other side knows that the direct way is cut."""
    peers, clock, _, gateways = made
    clock[0] = 0.1
    peers.record_received(OTHER)
    clock[0] = 0.3
    peers.relays.record_received(OTHER, gateways[2], clock[0])
    peers.send(OTHER, {"k": "reg"})
    assert relayed(gateways) == [0, 0, 1]


def test_nothing_is_relayed_to_one_that_is_gone_nor_what_is_too_large(made: Any) -> None:
    peers, clock, _, gateways = made
    peers.send(OTHER, {"k": "reg"})
    clock[0] = 1.0
    peers.send(OTHER, {"k": "reg", "m": "x" * relays.MAX_MESSAGE_BYTES})
    assert not any(relayed(gateways))
    peers.alive = set()
    peers.send(OTHER, {"k": "reg"})
    assert not any(relayed(gateways))
