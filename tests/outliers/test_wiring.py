"""The path of evidence through gateways and control-plane node, without sockets, to what operators see."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.dispatch import RoutedRequest
from latchspoke.ctl import formatting
from latchspoke.dataplane import node as dataplane
from latchspoke.dataplane.node import Node
from latchspoke.dataplane.subscription import Source
from latchspoke.transport.connection import MessageConnection
from tests.ctl.nodes import control_node, gateway_node


class RecordingWire(MessageConnection):
    """A connection that keeps what is sent on it."""

    def __init__(self, tag: Any = None) -> None:
        super().__init__(lambda wire, message: None, lambda wire, reason: None)
        self.tag, self.sent = tag, list[dict[str, Any]]()

    def send(self, message: object) -> bool:
        self.sent.append(json.loads(json.dumps(message)))
        return True


def record_failures(
    node: Node, code: Code, report: dict[str, float], server: str = "b1", times: int = 3
) -> None:
    """Let requests to the server end with this code."""
    assert node.downstream.table is not None
    route, upstream = node.downstream.table.routes["r-all"], node.balancer.upstreams[server]
    now = node.clock.now()
    for number in range(times):
        ident = f"q{number}"
        call = RoutedRequest(ident, "", "books", "r-all", 1.0, 2.0, 1, route=route)
        node.dispatcher.handle(call, now)
        (attempt, (_, sent_at)) = next(iter(node.dispatcher.active_requests[ident].in_flight.items()))
        node.dispatcher.active_requests[ident].in_flight[attempt] = upstream, sent_at
        node.dispatcher.handle(api.Outcome(ident, attempt, server, code, 0.1, report=report), now)


def test_evidence_of_two_gateways_reaches_a_third_and_the_pages(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(dataplane, "EVIDENCE_MIN_GATEWAYS", 1)
    loop = asyncio.new_event_loop()
    control, gateways = control_node(loop, tmp_path), [gateway_node(loop) for _ in range(3)]
    wires = [RecordingWire() for _ in gateways]
    for number, (node, wire) in enumerate(zip(gateways, wires, strict=True)):
        control.inbound_message(wire, {"k": "hello", "name": f"edge-{number}", "zone": "a"})
        node.subscription.connection, node.subscription.source = (
            RecordingWire(),
            Source("core-a", ("127.0.0.2", 7601), "a", "north"),
        )
    for number in (0, 1):
        record_failures(gateways[number], Code.ERROR, {})
        gateways[number].send_evidence(gateways[number].clock.now())
        (report,) = gateways[number].subscription.connection.sent  # type: ignore[union-attr]
        assert report == {"k": "hot", "w": [["b1", 3.0, 3.0]]}
        control.inbound_message(wires[number], report)
        control.evidence_scheduled = False
        control.send_evidence(control.clock.now())
    (update,) = [message for message in wires[2].sent if message["k"] == "hot"]
    gateways[2].subscription.handle_message(RecordingWire(), update)
    assert gateways[2].balancer.outlier_shares == {} or set(gateways[2].balancer.outlier_shares) == {"b1"}
    status = gateways[2].handle_query("GET", "/status", b"")[1]
    assert status["evidence"]["b1"]["witnesses"] == ["edge-0", "edge-1"]
    assert status["evidence"]["b1"]["failed"] > 5
    query = json.dumps({"host": "a.example", "path": "/read/1", "tenant": "mill"}).encode()
    page = formatting.format_explanation(gateways[2].handle_query("POST", "/explain", query)[1])
    assert "by edge-0, edge-1" in page
    control_status: Any = control.handle_request("GET", "/status", b"")
    assert control_status[1]["evidence"]["b1"]["witnesses"] == ["edge-0", "edge-1"]
    # A gateway that connects later is sent the evidence at once.
    late_wire = RecordingWire()
    control.inbound_message(late_wire, {"k": "hello", "name": "edge-9", "zone": "b"})
    assert [message["k"] for message in late_wire.sent if message["k"] == "hot"] == ["hot"]
    control.replica.ledger.close()
    loop.close()


def test_few_gateways_share_no_evidence() -> None:
    loop = asyncio.new_event_loop()
    node = gateway_node(loop)
    node.subscription.connection, node.subscription.source = (
        RecordingWire(),
        Source("core-a", ("127.0.0.2", 7601), "a", "north"),
    )
    record_failures(node, Code.ERROR, {})
    node.send_evidence(node.clock.now())
    assert not node.subscription.connection.sent
    loop.close()


def test_idle_connection_resets_and_unreachable_servers_are_no_evidence() -> None:
    """A server that resets an idle connection as a request is sent on it is not failing."""
    loop = asyncio.new_event_loop()
    node = gateway_node(loop)
    record_failures(node, Code.RESET, {"forgot": 1.0})
    record_failures(node, Code.UNREACHABLE, {}, "b2")
    record_failures(node, Code.FULL, {})
    assert not node.dispatcher.failure_reporter.take_report(node.clock.now())
    loop.close()
