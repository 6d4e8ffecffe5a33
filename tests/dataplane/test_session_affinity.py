"""Session affinity across three complete gateways without sockets; messages are delivered by hand."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import patch

import msgspec
import pytest

from latchspoke.dataplane.session_affinity import SessionAffinity
from latchspoke.membership.messages import Member
from tests.dataplane import player
from tests.dataplane.player import Player

GATEWAY_LOCATIONS = {
    "edge-1": ("waw-a", "mazowsze"),
    "edge-2": ("waw-b", "mazowsze"),
    "edge-3": ("krk-a", "malopolska"),
}
TRAVEL_SETTINGS = {"whenLost": "refuse", "lookUpS": 0.1}
AFFINITY_SETTINGS = {"callerFrom": ["tenant"], "exchangeS": 30}


def rules(**travels: Any) -> str:
    affinity = {**AFFINITY_SETTINGS, "travels": {**TRAVEL_SETTINGS, **travels}}
    routes = [player.rule("read", "idempotent"), player.rule("book", "non_idempotent")]
    for route in routes:
        route["actionSpec"]["affinity"] = affinity
    return msgspec.json.encode({"listenerList": [{"host": "shop", "ruleSet": routes}]}).decode()


class GatewayCluster:
    """Three gateways; each step advances their clocks together."""

    def __init__(self, **travels: Any) -> None:
        self.gateways: dict[str, Player] = {}
        self.cut_off: set[str] = set()
        self.messages: list[tuple[str, str, bytes]] = []
        for name, (zone, region) in GATEWAY_LOCATIONS.items():
            settings = {"nodeName": name, "zone": zone, "region": region}
            with patch.dict(player.SETTINGS, settings):
                gateway = self.gateways[name] = Player()
            for server in ("s1", "s2", "s3"):
                gateway.step(f"server {server}")
            gateway.step(f"orders {rules(**travels)}")
            assert gateway.node.session_affinity is not None
            with patch.object(SessionAffinity, "send"):
                gateway.node.session_affinity.update_gateways(self.members(), gateway.clock.now())
            gateway.node.session_affinity.send = self.message_sender(name)  # type: ignore[method-assign]
            gateway.node.update_gateways = lambda: None  # type: ignore[method-assign]
        for _ in range(8):
            self.advance(1.0)

    def members(self) -> dict[str, Member]:
        return {
            name: Member(name, "10.1.0.1", 7600, {"zone": zone, "region": region, "role": "edge"}, 0, "1")
            for name, (zone, region) in GATEWAY_LOCATIONS.items()
            if name not in self.cut_off
        }

    def message_sender(self, name: str) -> Any:
        def send(target: str, message: dict[str, Any]) -> None:
            if name not in self.cut_off and target not in self.cut_off:
                self.messages.append((name, target, msgspec.json.encode(message)))

        return send

    def deliver_messages(self) -> None:
        while self.messages:
            sender, target, data = self.messages.pop(0)
            affinity = self.gateways[target].node.session_affinity
            assert affinity is not None
            affinity.handle_message({"k": "w", "f": sender, "m": msgspec.json.decode(data)})

    def advance(self, seconds: float) -> None:
        for gateway in self.gateways.values():
            gateway.step(f"time {seconds}")
            gateway.step("proof 0")
        self.deliver_messages()

    def run_steps(self, name: str, *lines: str) -> None:
        for line in lines:
            self.gateways[name].step(line)
        self.deliver_messages()

    def accept_dial(self, name: str, link: str) -> str:
        """The connection that is being dialed opens; returns its address."""
        gateway = self.gateways[name]
        (host, port) = gateway.dialled[0][1]
        self.run_steps(name, f"dial {link} {host}:{port}")
        return f"{host}:{port}"

    def take_written(self, name: str, link: str) -> str:
        """Data written to a connection since the last call."""
        transport = self.gateways[name].transports[link]
        data, transport.written = transport.written.decode(), b""
        return data

    def serve(self, name: str, request_id: str, route: str = "book") -> str:
        """Run a request from its first byte to its response; returns the address of its server."""
        self.run_steps(name, f"open c-{request_id}", f"ask c-{request_id} {route} {request_id}")
        address = self.accept_dial(name, f"t-{request_id}")
        self.run_steps(
            name,
            f"sent t-{request_id} {route} {request_id}",
            f"answer t-{request_id} {request_id}",
            f"got c-{request_id} {request_id}",
        )
        return address

    def reject(self, name: str, request_id: str, route: str = "book") -> str:
        """Run a request that is not forwarded; returns its response."""
        self.run_steps(name, f"open c-{name}-{request_id}", f"ask c-{name}-{request_id} {route} {request_id}")
        assert not self.gateways[name].dialled
        return self.take_written(name, f"c-{name}-{request_id}")


@pytest.fixture
def cluster() -> GatewayCluster:
    return GatewayCluster()


def record_view(cluster: GatewayCluster, name: str) -> dict[str, Any]:
    affinity = cluster.gateways[name].node.session_affinity
    assert affinity is not None
    return affinity.record_view("book", "acme", "acme")


def uninvolved_gateway(cluster: GatewayCluster) -> str:
    view = record_view(cluster, "edge-1")
    return next(name for name in GATEWAY_LOCATIONS if name not in (view["owner"], view["copy"]))


def test_nothing_is_sent_before_owner_and_replica_have_recorded_the_attempt(cluster: GatewayCluster) -> None:
    origin, view = uninvolved_gateway(cluster), record_view(cluster, "edge-1")
    cluster.gateways[origin].step("open c1")
    cluster.gateways[origin].step("ask c1 book b001")
    assert not cluster.gateways[origin].dialled
    cluster.deliver_messages()
    assert len(cluster.gateways[origin].dialled) == 1
    for name in (view["owner"], view["copy"]):
        assert record_view(cluster, name)["record"]["fate"] == "open"


def test_a_caller_keeps_its_server_across_gateways_when_the_pool_changes(cluster: GatewayCluster) -> None:
    address = cluster.serve("edge-1", "b001")
    for gateway in cluster.gateways.values():
        for number in range(4, 60):
            gateway.step(f"server s{number}")
    for _ in range(6):  # the shares of the new servers grow
        cluster.advance(1.0)
    assert {cluster.serve(name, f"b00{suffix}") for suffix, name in enumerate(GATEWAY_LOCATIONS, 2)} == {
        address
    }
    assert {
        cluster.serve(name, f"r00{suffix}", "read") for suffix, name in enumerate(GATEWAY_LOCATIONS, 2)
    } != set()


def test_an_executed_exchange_is_reported_and_not_run_again(cluster: GatewayCluster) -> None:
    cluster.serve("edge-1", "b001")
    answer = cluster.reject("edge-3", "b001")
    assert answer.startswith("HTTP/1.1 409") and "X-Exchange-State: run" in answer


def test_a_request_in_flight_at_the_previous_gateway(cluster: GatewayCluster) -> None:
    cluster.run_steps("edge-1", "open c1", "ask c1 book b001")
    cluster.accept_dial("edge-1", "t1")
    cluster.run_steps("edge-1", "sent t1 book b001")
    answer = cluster.reject("edge-2", "b002")
    assert answer.startswith("HTTP/1.1 503") and "Retry-After" in answer
    cluster.run_steps("edge-1", "c1 eof")  # its client is gone; the outcome is recorded
    cluster.run_steps("edge-1", "answer t1 b001")
    assert "X-Exchange-State: run" in cluster.reject("edge-3", "b001")
    cluster.serve("edge-3", "b003")


def test_a_server_that_is_gone_leaves_an_unknown_fate_that_is_reported_once(cluster: GatewayCluster) -> None:
    cluster.run_steps("edge-1", "open c1", "ask c1 book b001")
    address = cluster.accept_dial("edge-1", "t1")
    cluster.run_steps("edge-1", "sent t1 book b001", "t1 reset")
    assert cluster.take_written("edge-1", "c1").startswith("HTTP/1.1 502")
    for gateway in cluster.gateways.values():
        gateway.step(f"server s{address[-1]} state=gone")
    cluster.advance(1.1)
    answer = cluster.reject("edge-3", "b002")
    assert answer.startswith("HTTP/1.1 409") and "X-Exchange-State: unknown\r\nX-Exchange: b001" in answer
    assert cluster.serve("edge-3", "b003") != address


def test_a_restarted_server_is_not_asked_about_the_previous_instance() -> None:
    cluster = GatewayCluster(askPath="/fate/")
    cluster.run_steps("edge-1", "open c1", "ask c1 book b001")
    address = cluster.accept_dial("edge-1", "t1")
    cluster.run_steps("edge-1", "sent t1 book b001", "t1 reset")
    for gateway in cluster.gateways.values():
        gateway.step(f"server s{address[-1]} state=gone")
        gateway.step(f"server s9 address={address}")
    cluster.advance(1.1)
    answer = cluster.reject("edge-3", "b001")  # no connection is opened
    assert answer.startswith("HTTP/1.1 409") and "X-Exchange-State: unknown" in answer
    cluster.serve("edge-3", "b002")


def test_a_server_is_asked_by_instance_id_before_anything_is_sent_again() -> None:
    cluster = GatewayCluster(askPath="/fate/")
    cluster.run_steps("edge-1", "open c1", "ask c1 book b001")
    address = cluster.accept_dial("edge-1", "t1")
    cluster.run_steps("edge-1", "sent t1 book b001", "t1 reset")
    cluster.take_written("edge-1", "c1")
    cluster.run_steps("edge-3", "open c2", "ask c2 book b002")
    assert cluster.accept_dial("edge-3", "t2") == address
    query = cluster.take_written("edge-3", "t2")
    assert query.startswith("GET /fate/b001 HTTP/1.1") and f"X-Expected-Instance: s{address[-1]}" in query
    assert "X-Tenant-Name: acme" in query and "Authorization" not in query
    ident = next(line for line in query.split("\r\n") if line.startswith("X-Attempt-Id")).partition(": ")[2]
    head = f"HTTP/1.1 200 OK\\r\\nX-Attempt-Id: {ident}\\r\\nX-Server-Seal: s\\r\\nX-Exchange-State: not-run"
    cluster.run_steps("edge-3", f"t2 > {head}\\r\\nContent-Length: 0\\r\\n\\r\\n", "time 0.1")
    cluster.accept_dial("edge-3", "t3") if cluster.gateways["edge-3"].dialled else None
    link = next(
        name
        for name in ("t2", "t3")
        if name in cluster.gateways["edge-3"].transports
        and cluster.gateways["edge-3"].transports[name].written
    )
    cluster.run_steps("edge-3", f"sent {link} book b002", f"answer {link} b002", "got c2 b002")


def test_a_request_whose_record_is_unavailable_is_refused_or_placed_anew(cluster: GatewayCluster) -> None:
    owner = record_view(cluster, "edge-1")["owner"]
    origin = next(name for name in GATEWAY_LOCATIONS if name != owner)
    cluster.cut_off.add(owner)  # not yet noticed by the other gateways
    cluster.run_steps(origin, "open c1", "ask c1 book b001", "open c2", "ask c2 read r001", "time 0.15")
    assert cluster.take_written(origin, "c1").startswith("HTTP/1.1 503")
    cluster.accept_dial(origin, "t2")
    cluster.run_steps(origin, "sent t2 read r001", "answer t2 r001", "got c2 r001")


def test_a_gateway_that_was_suspended_before_the_first_byte_sends_nothing(cluster: GatewayCluster) -> None:
    cluster.run_steps("edge-1", "open c1", "ask c1 book b001")
    gateway = cluster.gateways["edge-1"]
    gateway.clock.loop.now += 3.0  # no timer has been called
    (host, port) = gateway.dialled[0][1]
    cluster.run_steps("edge-1", f"dial t1 {host}:{port}")
    assert not cluster.take_written("edge-1", "t1")


def test_an_operator_sees_and_moves_a_caller(cluster: GatewayCluster) -> None:
    address = cluster.serve("edge-1", "b001")
    other = next(server for server in ("s1", "s2", "s3") if server[-1] != address[-1])
    affinity = cluster.gateways["edge-2"].node.session_affinity
    assert affinity is not None

    async def move(target: str) -> tuple[int, dict[str, Any]]:
        assert affinity is not None
        task = asyncio.ensure_future(affinity.move_caller("book", "acme", "acme", target))
        for _ in range(10):
            await asyncio.sleep(0)
            cluster.deliver_messages()
        return await task

    cluster.run_steps("edge-2", "server s8", "server s8 state=draining")
    status, result = asyncio.run(move("s8"))
    assert status == 400 and result["errorText"].endswith("gets no requests now: draining")
    status, result = asyncio.run(move(other))
    assert status == 200 and result["moved"]["life"] == other
    assert cluster.serve("edge-3", "b002")[-1] == other[-1]
    assert record_view(cluster, record_view(cluster, "edge-1")["owner"])["record"]["life"] == other


def test_without_a_route_that_needs_it_nothing_is_loaded() -> None:
    gateway = Player()
    assert gateway.node.session_affinity is None
    assert (
        not isinstance(gateway.node.core.gateway, SessionAffinity)
        and gateway.node.core.ports is gateway.node.ports
    )
