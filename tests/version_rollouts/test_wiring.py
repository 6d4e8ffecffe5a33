"""The path of a rollout through control-plane node and gateways, without sockets, to what operators see."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from latchspoke.dataplane.subscription import Source
from latchspoke.version_rollouts.records import RolloutOrder, begin_command
from tests.ctl.nodes import control_node, gateway_node
from tests.outliers.test_wiring import RecordingWire

ORDER = RolloutOrder("books", "v2", 60.0)


def test_order_reaches_gateways_and_their_samples_the_pages(tmp_path: Path) -> None:
    loop = asyncio.new_event_loop()
    control, near, far = control_node(loop, tmp_path), gateway_node(loop), gateway_node(loop)
    wire = RecordingWire()
    control.inbound_message(wire, {"k": "hello", "name": "edge-a-1", "zone": "a"})
    control.replica.state.apply(14, begin_command(ORDER, 0, 0.08))
    control.store_applied(control.replica.state)
    control.publish_committed()
    snapshot = wire.sent[-1]
    assert snapshot["rollouts"]["books"]["target_version"] == "v2"
    for node in (near, far):
        node.subscription.connection = RecordingWire()
        node.subscription.handle_message(RecordingWire(), snapshot)
        assert node.balancer.versions.rules["books"].target_version == "v2"
        assert node.balancer.versions.trusted_until > node.clock.now()
    # The second gateway reaches no control-plane node and follows the first.
    near.subscription.source = Source("core-a", ("127.0.0.2", 7601), "a", "north")
    far.subscription.source = Source("edge-a-1", ("127.0.0.1", 7600), "a", "north", gateway=True)
    for node in (near, far):
        node.send_rollout_reports(node.clock.now() + 1.0)
    far_wire: Any = far.subscription.connection
    near.inbound_message(RecordingWire(), far_wire.sent[-1])
    near_wire: Any = near.subscription.connection
    reports = [message for message in near_wire.sent if message["k"] == "rollout"]
    assert len(reports) == 2
    for report in reports:
        control.inbound_message(wire, report)
    assert len(control.rollouts.pools["books"].reports) == 2
    status: Any = control.handle_request("GET", "/status", b"")
    assert status[1]["rollouts"]["books"]["state"] == "in_progress"
    assert status[1]["rollouts"]["books"]["samples"]["gateways"] == 1  # two processes of one name here
    metrics: Any = control.handle_request("GET", "/metrics", b"")
    assert 'latchspoke_rollout_share{service="books",target="v2"} 0.08' in metrics[1]
    own_view = near.handle_query("GET", "/status", b"")[1]
    assert own_view["rollouts"] == {"books": {"target": "v2", "phase": "trial", "share": 0.08}}
    control.replica.ledger.close()
    loop.close()
