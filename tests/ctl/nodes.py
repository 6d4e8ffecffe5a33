"""A configuration, settings, and nodes without sockets for the tests of commands and views."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from latchspoke.controlplane import node as controlplane
from latchspoke.dataplane.node import Node
from latchspoke.distribution.published_state import CommittedState, Subscriber
from latchspoke.membership.messages import Member
from latchspoke.registry.registry import parse_heartbeat
from latchspoke.settings import Settings, parse_settings

KEY = "k9secretk9"
CONFIGURATION: dict[str, Any] = {
    "version": "00000007", "baseVersion": "00000005",
    "tenants": [
        {"name": "mill", "apiKeys": [KEY], "ratePerS": 10, "burstSize": 20, "homeRegions": []},
        {"name": "quay", "apiKeys": ["k2secretk2", "k3secretk3"], "homeRegions": ["south"]},
    ],
    "listenerList": [{"host": "a.example", "ruleSet": [
        {"name": "r-read", "routeKind": "idempotent", "targetLatencyS": 0.5,
         "matchCriteria": {"pathPrefix": "/read/"},
         "actionSpec": {"service": "books", "timeoutS": 2, "maxAttempts": 2}},
        {"name": "r-all", "routeKind": "non_idempotent", "keyless": True,
         "matchCriteria": {"pathPrefix": "/"},
         "actionSpec": {"weightedSplit": [
             {"service": "books", "weight": 3}, {"service": "till", "weight": 1}],
                        "maxAttempts": 1}},
    ]}],
    "clusterList": [{"name": "books", "coldStartS": 3, "coldPerS": 1}, {"name": "till"}],
}  # fmt: skip
SETTINGS: dict[str, Any] = {
    "nodeName": "edge-a-1", "role": "dataplane", "machineClass": "edge", "servedRoles": ["edge"],
    "ipAddress": "127.0.0.1", "zone": "a", "region": "north", "zones": {"a": "north", "b": "south"},
    "listenAddresses": {"frontPlain": "127.0.0.1:8206", "readiness": "127.0.0.1:8201"},
    "internalPortRange": [7600, 7615], "seedNodes": ["127.0.0.2:8200"], "initialStart": True,
    "limits": {"memoryMb": 300, "fileDescriptors": 4100}, "heartbeatS": 1.0, "bounds": ["revokeS=5"],
}  # fmt: skip


def settings(**fields: object) -> Settings:
    return parse_settings(json.dumps(SETTINGS | fields), "local.yaml")


def heartbeat(service: str, port: int, zone: str = "a", **fields: Any) -> dict[str, Any]:
    body = {"service": service, "address": f"127.0.0.9:{port}", "zone": zone, "capacitySlots": 2}
    return body | {"state": "available", "callSequence": 1} | fields


def gateway_node(loop: asyncio.AbstractEventLoop) -> Node:
    """A gateway with a configuration, a lease and four servers."""
    node = Node(settings(), loop, "local.yaml")
    now = node.clock.now()
    node.published_state.update_committed(CommittedState(12, 7, CONFIGURATION, frozenset("c")), now)
    node.lease.renew(now)
    heartbeats = {
        "b1": heartbeat("books", 1), "b2": heartbeat("books", 2, "b"),
        "b3": heartbeat("books", 3, coldRemainingS=9),
        "t1": heartbeat("till", 4, "c"),
    }  # fmt: skip
    node.state_changed(
        True,
        [
            node.registry.update(parse_heartbeat(instance, body, now), now)[0]
            for instance, body in heartbeats.items()
        ],
    )
    node.update_gateways()
    return node


def control_node(loop: asyncio.AbstractEventLoop, home: Path) -> controlplane.Node:
    """A control-plane node with a configuration, an evacuation, one server and one subscribed gateway."""
    node = controlplane.Node(
        settings(
            nodeName="core-a", servedRoles=["control"], dataDirectory=str(home), ipAddress="127.0.0.2",
            listenAddresses={"controlPlane": "127.0.0.2:8200"}, seedNodes=["127.0.0.2:8200"],
        ),
        loop, "local.yaml",
    )  # fmt: skip
    orders = {"version": 7, "base": 0, "digest": "d1", "doc": CONFIGURATION}
    node.replica.state.apply(12, {"do": "replace", **orders})
    node.replica.state.apply(13, {"do": "evacuate", "zone": "b"})
    node.handle_request(
        "POST", "/rpc?call=instances.heartbeat&of=b1", json.dumps(heartbeat("books", 1)).encode()
    )
    node.published_state.add_subscriber(Subscriber("edge-a-1", lambda message: None), node.clock.now())
    edge = Member("edge-a-1", "127.0.0.1", 7600, {"role": "edge", "ready": True, "door": 8201}, 0, "l1")
    node.membership_transport.membership.alive["edge-a-1"] = edge
    return node
