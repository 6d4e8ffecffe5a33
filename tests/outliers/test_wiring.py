"""The way of a gateway's word through both programs, without sockets, to what people are shown."""

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


class Line(MessageConnection):
    """One end; what it sends is kept."""

    def __init__(self, tag: Any = None) -> None:
        super().__init__(lambda wire, message: None, lambda wire, reason: None)
        self.tag, self.sent = tag, list[dict[str, Any]]()

    def send(self, message: object) -> bool:
        self.sent.append(json.loads(json.dumps(message)))
        return True


def fail(node: Node, code: Code, report: dict[str, float], server: str = "b1", times: int = 3) -> None:
    """Requests to the one server that end so."""
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


def test_what_two_gateways_see_reaches_a_third_and_the_pages(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(dataplane, "EVIDENCE_MIN_GATEWAYS", 1)
    loop = asyncio.new_event_loop()
    core, edges = control_node(loop, tmp_path), [gateway_node(loop) for _ in range(3)]
    lines = [Line() for _ in edges]
    for number, (edge, line) in enumerate(zip(edges, lines, strict=True)):
        core.inbound_message(line, {"k": "hello", "name": f"edge-{number}", "zone": "a"})
        edge.subscription.connection, edge.subscription.source = (
            Line(),
            Source("core-a", ("127.0.0.2", 7601), "a", "north"),
        )
    for number in (0, 1):
        fail(edges[number], Code.ERROR, {})
        edges[number].send_evidence(edges[number].clock.now())
        (word,) = edges[number].subscription.connection.sent  # type: ignore[union-attr]
        assert word == {"k": "hot", "w": [["b1", 3.0, 3.0]]}
        core.inbound_message(lines[number], word)
        core.telling = False
        core.tell_evidence(core.clock.now())
    (told,) = [m for m in lines[2].sent if m["k"] == "hot"]
    edges[2].subscription.handle_message(Line(), told)
    assert edges[2].balancer.outlier_shares == {} or set(edges[2].balancer.outlier_shares) == {"b1"}
    seen = edges[2].handle_query("GET", "/status", b"")[1]
    assert seen["evidence"]["b1"]["witnesses"] == ["edge-0", "edge-1"]
    assert seen["evidence"]["b1"]["failed"] > 5
    ask = json.dumps({"host": "a.example", "path": "/read/1", "tenant": "mill"}).encode()
    page = formatting.format_explanation(edges[2].handle_query("POST", "/explain", ask)[1])
    assert "by edge-0, edge-1" in page
    fleet: Any = core.control("GET", "/status", b"")
    assert fleet[1]["evidence"]["b1"]["witnesses"] == ["edge-0", "edge-1"]
    # One that comes later is told at once.
    late = Line()
    core.inbound_message(late, {"k": "hello", "name": "edge-9", "zone": "b"})
    assert [m["k"] for m in late.sent if m["k"] == "hot"] == ["hot"]
    core.replica.ledger.close()
    loop.close()


def test_few_gateways_tell_each_other_nothing() -> None:
    loop = asyncio.new_event_loop()
    node = gateway_node(loop)
    node.subscription.connection, node.subscription.source = (
        Line(),
        Source("core-a", ("127.0.0.2", 7601), "a", "north"),
    )
    fail(node, Code.ERROR, {})
    node.send_evidence(node.clock.now())
    assert not node.subscription.connection.sent
    loop.close()


def test_a_connection_let_go_and_a_far_server_are_no_evidence() -> None:
    """``idle_race``: half of all servers reset a request on an idle connection, and none of them is sick."""
    loop = asyncio.new_event_loop()
    node = gateway_node(loop)
    fail(node, Code.RESET, {"forgot": 1.0})
    fail(node, Code.UNREACHABLE, {}, "b2")
    fail(node, Code.FULL, {})
    assert not node.dispatcher.failure_reporter.take_report(node.clock.now())
    loop.close()
