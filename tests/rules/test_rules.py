"""Steps of the feature files in this folder, which describe the rules of the service for operators."""

from __future__ import annotations

import json
from typing import Any, cast

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from latchspoke.transport.netstring import FrameDecoder
from tests.dataplane.player import CONFIGURATION, Player
from tests.player import FakeTransport

scenarios(".")


class GatewaySetup:
    """A gateway, and a new client for each request."""

    def __init__(self) -> None:
        self.player, self.number = Player(), 0

    def play(self, *lines: str) -> None:
        for line in lines:
            self.player.step(line)

    def send_request(self, route: str, key: str = "k1") -> None:
        """Let a new client send a request."""
        self.number += 1
        head = rf"{'POST' if route == 'book' else 'GET'} /{route}/x HTTP/1.1\r\nHost: shop\r\n"
        head += rf"X-Attempt-Id: r{self.number}\r\nAuthorization: Token {key}\r\nContent-Length: 0\r\n\r\n"
        self.play(f"open c{self.number}", f"c{self.number} > {head}")

    def connect(self, suffix: str = "") -> None:
        if self.player.dialled:
            host, port = self.player.dialled[0][1]
            self.play(f"dial t{self.number} {host}:{port}{suffix}")

    def servers_in_use(self) -> list[str]:
        """Return the servers with an unanswered request."""
        transports = [
            transport
            for name, transport in self.player.transports.items()
            if name[0] == "t" and transport.written
        ]
        return [cast(Any, transport.connection).pool.upstream.ident for transport in transports]

    def assert_answered(self, status: int) -> None:
        transport = self.player.transports[f"c{self.number}"]
        assert transport.written.startswith(b"HTTP/1.1 %d " % status), transport.written
        assert not self.player.dialled, "unexpected dial"


@pytest.fixture
def gateway() -> GatewaySetup:
    return GatewaySetup()


@given(parsers.parse("a gateway that knows server {name}"))
@given(parsers.parse("it knows server {name} as well"))
def add_server(gateway: GatewaySetup, name: str) -> None:
    gateway.play(f"server {name}")


@given("it has just confirmed that its configuration is the latest")
def confirm_configuration(gateway: GatewaySetup) -> None:
    gateway.play("proof 0")


@when(parsers.parse("the operator revokes key {key}"))
def revoke(gateway: GatewaySetup, key: str) -> None:
    tenants = json.loads(json.dumps(CONFIGURATION["tenants"]))
    tenants[0]["apiKeys"].remove(key)
    gateway.play("orders " + json.dumps({"tenants": tenants}), "proof 0")


@when(parsers.parse("{seconds:g} seconds pass without any message"))
def advance(gateway: GatewaySetup, seconds: float) -> None:
    gateway.play(f"time {seconds}")


@when(parsers.parse("a request with key {key} waits for a connection for {seconds:g} seconds"))
def send_over_slow_connection(gateway: GatewaySetup, key: str, seconds: float) -> None:
    gateway.send_request("read", key)
    gateway.connect(" held")
    gateway.play(f"time {seconds}", f"up t{gateway.number}")


@when(parsers.parse("another gateway relays a proof that is {age:g} seconds old"))
def relay_proof(gateway: GatewaySetup, age: float) -> None:
    gateway.play("time 1")
    node = gateway.player.node
    node.subscription.pending_proofs[7] = node.clock.now()
    node.subscription.handle_message(
        gateway.player.connection, {"k": "proven", "t": 7, "index": gateway.player.index, "age": age}
    )


@when(
    parsers.parse(
        "a repeatable request with key {key} is sent, and its server resets it {seconds:g} seconds later"
    )
)
def reset_attempt(gateway: GatewaySetup, key: str, seconds: float) -> None:
    gateway.send_request("read", key)
    gateway.connect()
    assert gateway.servers_in_use()
    gateway.player.transports[f"t{gateway.number}"].written = b""
    gateway.play(f"time {seconds}", f"t{gateway.number} reset")


@when(parsers.parse("a transfer is sent to {name}"))
def send_transfer(gateway: GatewaySetup, name: str) -> None:
    gateway.send_request("book")
    gateway.connect()
    assert gateway.servers_in_use() == [name]


@when(parsers.parse("server {name} is reported as draining"))
def report_draining(gateway: GatewaySetup, name: str) -> None:
    gateway.play(f"server {name} state=draining")


@when("the gateway gets SIGTERM")
def send_sigterm(gateway: GatewaySetup) -> None:
    gateway.play("term")


@when("a control-plane node that is behind sends the previous configuration")
def send_previous_configuration(gateway: GatewaySetup) -> None:
    player = gateway.player
    previous = {"version": f"{player.index - 1:08x}", **CONFIGURATION}
    message = {
        "k": "whole",
        "index": player.index - 1,
        "version": player.index - 1,
        "doc": previous,
        "evac": [],
        "e": [],
    }
    player.send_change(message)


@when("a change arrives out of sequence")
def send_out_of_sequence(gateway: GatewaySetup) -> None:
    gateway.player.number += 1
    cast(Any, gateway.player.connection.transport).written = b""
    gateway.play("orders {}")


@then(parsers.parse("a request with key {key} is answered {status:d}"))
def request_answered(gateway: GatewaySetup, key: str, status: int) -> None:
    gateway.send_request("read", key)
    gateway.assert_answered(status)


@then(parsers.parse("a request with key {key} is sent to {name}"))
def request_sent(gateway: GatewaySetup, key: str, name: str) -> None:
    gateway.send_request("read", key)
    gateway.connect()
    assert gateway.servers_in_use() == [name]


@then(parsers.parse("that request is answered {status:d} and {whoever} sees it"))
def last_request_answered(gateway: GatewaySetup, status: int) -> None:
    gateway.assert_answered(status)
    assert not gateway.servers_in_use()


@then("a transfer is answered 503")
def transfer_refused(gateway: GatewaySetup) -> None:
    gateway.send_request("book")
    gateway.assert_answered(503)


@then("the complete response of s1 reaches the client")
def complete_response(gateway: GatewaySetup) -> None:
    answer = rf"HTTP/1.1 200 OK\r\nX-Attempt-Id: r{gateway.number}\r\nX-Server-Seal: s\r\n"
    answer += r"Content-Length: 4\r\n\r\ndone"
    gateway.player.transports[f"t{gateway.number}"].written = b""
    gateway.play(f"t{gateway.number} > {answer}", rf"c{gateway.number} < HTTP/1.1 200 OK\r\n*\r\n\r\ndone")


@then("the gateway is not ready")
def not_ready(gateway: GatewaySetup) -> None:
    gateway.play("ready no")


@then(parsers.parse("the gateway terminates within its grace period of {seconds:g} seconds"))
def terminates_in_time(gateway: GatewaySetup, seconds: float) -> None:
    drain = gateway.player.node.drain
    assert drain is not None
    gateway.play(f"time {drain.schedule.begun_at + seconds - 0.1 - gateway.player.clock.now()}", "done")


@then("the gateway requests a full snapshot")
def requests_snapshot(gateway: GatewaySetup) -> None:
    messages = FrameDecoder().feed(cast(FakeTransport, gateway.player.connection.transport).written)
    assert {"k": "again", "version": gateway.player.node.published_state.committed.version} in messages


@then("a proof for an index that it has not received does not extend its lease")
def lease_not_extended(gateway: GatewaySetup) -> None:
    before = gateway.player.node.lease.expires_at
    gateway.play("time 1", "proof 0")
    assert gateway.player.node.lease.expires_at == before
