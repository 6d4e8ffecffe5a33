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


class Scene:
    """A gateway, and a new client for each request."""

    def __init__(self) -> None:
        self.player, self.number = Player(), 0

    def play(self, *lines: str) -> None:
        for line in lines:
            self.player.step(line)

    def ask(self, route: str, key: str = "k1") -> None:
        """Let a new client send a request."""
        self.number += 1
        head = rf"{'POST' if route == 'book' else 'GET'} /{route}/x HTTP/1.1\r\nHost: shop\r\n"
        head += rf"X-Attempt-Id: r{self.number}\r\nAuthorization: Token {key}\r\nContent-Length: 0\r\n\r\n"
        self.play(f"open c{self.number}", f"c{self.number} > {head}")

    def connect(self, held: str = "") -> None:
        if self.player.dialled:
            host, port = self.player.dialled[0][1]
            self.play(f"dial t{self.number} {host}:{port}{held}")

    def reached(self) -> list[str]:
        """Return the servers with an unanswered request."""
        transports = [
            transport
            for name, transport in self.player.transports.items()
            if name[0] == "t" and transport.written
        ]
        return [cast(Any, transport.connection).pool.upstream.ident for transport in transports]

    def answered(self, status: int) -> None:
        transport = self.player.transports[f"c{self.number}"]
        assert transport.written.startswith(b"HTTP/1.1 %d " % status), transport.written
        assert not self.player.dialled, "nothing more goes out"


@pytest.fixture
def scene() -> Scene:
    return Scene()


@given(parsers.parse("a gateway that knows server {name}"))
@given(parsers.parse("it knows server {name} as well"))
def knows(scene: Scene, name: str) -> None:
    scene.play(f"server {name}")


@given("it has just confirmed that its configuration is the latest")
def proven(scene: Scene) -> None:
    scene.play("proof 0")


@when(parsers.parse("the operator revokes key {key}"))
def revoke(scene: Scene, key: str) -> None:
    tenants = json.loads(json.dumps(CONFIGURATION["tenants"]))
    tenants[0]["apiKeys"].remove(key)
    scene.play("orders " + json.dumps({"tenants": tenants}), "proof 0")


@when(parsers.parse("{seconds:g} seconds pass without any message"))
def pass_by(scene: Scene, seconds: float) -> None:
    scene.play(f"time {seconds}")


@when(parsers.parse("a request with key {key} waits for a connection for {seconds:g} seconds"))
def waits(scene: Scene, key: str, seconds: float) -> None:
    scene.ask("read", key)
    scene.connect(" held")
    scene.play(f"time {seconds}", f"up t{scene.number}")


@when(parsers.parse("another gateway relays a proof that is {age:g} seconds old"))
def passed_on(scene: Scene, age: float) -> None:
    scene.play("time 1")
    node = scene.player.node
    node.subscription.pending_proofs[7] = node.clock.now()
    node.subscription.handle_message(
        scene.player.connection, {"k": "proven", "t": 7, "index": scene.player.index, "age": age}
    )


@when(
    parsers.parse(
        "a repeatable request with key {key} is sent, and its server resets it {seconds:g} seconds later"
    )
)
def breaks_later(scene: Scene, key: str, seconds: float) -> None:
    scene.ask("read", key)
    scene.connect()
    assert scene.reached()
    scene.player.transports[f"t{scene.number}"].written = b""
    scene.play(f"time {seconds}", f"t{scene.number} reset")


@when(parsers.parse("a transfer is sent to {name}"))
def transfer(scene: Scene, name: str) -> None:
    scene.ask("book")
    scene.connect()
    assert scene.reached() == [name]


@when(parsers.parse("server {name} is reported as draining"))
def drains(scene: Scene, name: str) -> None:
    scene.play(f"server {name} state=draining")


@when("the gateway gets SIGTERM")
def term(scene: Scene) -> None:
    scene.play("term")


@when("a control-plane node that is behind sends the previous configuration")
def behind(scene: Scene) -> None:
    player = scene.player
    old = {"version": f"{player.index - 1:08x}", **CONFIGURATION}
    told = {
        "k": "whole",
        "index": player.index - 1,
        "version": player.index - 1,
        "doc": old,
        "evac": [],
        "e": [],
    }
    player.send_change(told)


@when("a change arrives out of sequence")
def gap(scene: Scene) -> None:
    scene.player.number += 1
    cast(Any, scene.player.connection.transport).written = b""
    scene.play("orders {}")


@then(parsers.parse("a request with key {key} is answered {status:d}"))
def request_answered(scene: Scene, key: str, status: int) -> None:
    scene.ask("read", key)
    scene.answered(status)


@then(parsers.parse("a request with key {key} is sent to {name}"))
def request_sent(scene: Scene, key: str, name: str) -> None:
    scene.ask("read", key)
    scene.connect()
    assert scene.reached() == [name]


@then(parsers.parse("that request is answered {status:d} and {whoever} sees it"))
def that_answered(scene: Scene, status: int) -> None:
    scene.answered(status)
    assert not scene.reached()


@then("a transfer is answered 503")
def transfer_refused(scene: Scene) -> None:
    scene.ask("book")
    scene.answered(503)


@then("the complete response of s1 reaches the client")
def whole(scene: Scene) -> None:
    answer = rf"HTTP/1.1 200 OK\r\nX-Attempt-Id: r{scene.number}\r\nX-Server-Seal: s\r\n"
    answer += r"Content-Length: 4\r\n\r\ndone"
    scene.player.transports[f"t{scene.number}"].written = b""
    scene.play(f"t{scene.number} > {answer}", rf"c{scene.number} < HTTP/1.1 200 OK\r\n*\r\n\r\ndone")


@then("the gateway is not ready")
def not_ready(scene: Scene) -> None:
    scene.play("ready no")


@then(parsers.parse("the gateway terminates within its grace period of {seconds:g} seconds"))
def ends(scene: Scene, seconds: float) -> None:
    scene.play(f"time {scene.player.node.stopping_at + seconds - 0.1 - scene.player.clock.now()}", "done")


@then("the gateway requests a full snapshot")
def asks(scene: Scene) -> None:
    said = FrameDecoder().feed(cast(FakeTransport, scene.player.connection.transport).written)
    assert {"k": "again", "version": scene.player.node.published_state.orders.version} in said


@then("a proof for an index that it has not received does not extend its lease")
def unproven(scene: Scene) -> None:
    before = scene.player.node.lease.until
    scene.play("time 1", "proof 0")
    assert scene.player.node.lease.until == before
