"""Plays recorded byte exchanges against a complete gateway, without sockets and with a simulated clock.

The steps are those of ``tests.player`` and the ones below. The gateway is in zone ``waw-a``; ``waw-b`` is in
the same region, ``krk-a`` in another. At the start it has configuration 1 (see below), a fresh proof that it
is current, and no servers.

    orders {FIELDS}            the next configuration, with these fields of the document replaced
    evacuate ZONE,ZONE         the evacuated zones; ``evacuate none`` ends evacuations
    proof AGE                  a proof that the configuration is current arrives, requested AGE seconds ago
    server sN KEY=VALUE ...    an update on a server (state, zone, service, cold, address)
    gateways N                 the number of live gateways, including this one
    ready yes | ready no       expected readiness
    unproven                   as in a process that has just started: the configuration was never proven
    alone | met                no other process is known; a control-plane node is known
    running                    the process has not ended
    unsent NAME                data written to this connection is still in the send buffer

Ordinary requests have their own steps; all others are written as bytes:

    ask NAME ROUTE ID          a client request on route read, book (must not be repeated) or open (no key)
    sent NAME ROUTE ID         that request has been written to a server, as expected
    answer NAME ID             the complete response of the server arrives
    got NAME ID                that response, and nothing else, has been written to the client
"""

from __future__ import annotations

import json
import math
from collections import Counter
from pathlib import Path
from typing import Any, cast
from unittest.mock import patch

from latchspoke.dataplane import node
from latchspoke.dataplane.client_connection import ClientConnection
from latchspoke.membership.protocol import Member, MembershipEvent
from latchspoke.net import http
from latchspoke.settings import parse_settings
from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.netstring import encode_frame
from tests.player import BasePlayer, FakeTransport, play_steps, steps

FOLDER = Path(__file__).parent / "exchanges"
ZONES = {"waw-a": "mazowsze", "waw-b": "mazowsze", "krk-a": "malopolska"}
SETTINGS: dict[str, Any] = {
    "nodeName": "edge-1", "role": "dataplane", "servedRoles": ["edge"], "ipAddress": "10.1.0.1",
    "zone": "waw-a", "region": "mazowsze", "zones": ZONES, "internalPortRange": [7600, 7615],
    "listenAddresses": {"frontPlain": "10.1.0.1:8206", "readiness": "10.1.0.1:8207"}, "heartbeatS": 1.5,
    "limits": {"cpuFraction": 1, "coreCount": 1, "memoryMb": 300, "fileDescriptors": 4096, "diskMb": 1},
    "bounds": ["revocationEnforced=true", "revokeS=5", "graceS=6", "retryRatio=0.2", "retrySlack=62",
               "coldExcess=1.5", "coldSlack=5"],
}  # fmt: skip


def rule(name: str, route_kind: str, service: str = "pool", **fields: Any) -> dict[str, Any]:
    action = {"service": service, "timeoutS": 2, "maxAttempts": 3, "homeRegions": fields.pop("homes", [])}
    match = {"pathPrefix": f"/{name}/"}
    return {"name": name, "routeKind": route_kind, "targetLatencyS": 0.4, "matchCriteria": match,
            "actionSpec": action, **fields}  # fmt: skip


RULES = [rule("read", "idempotent"), rule("book", "non_idempotent"), rule("open", "idempotent", keyless=True)]
CONFIGURATION: dict[str, Any] = {
    "listenerList": [{"host": "shop", "ruleSet": RULES}],
    "clusterList": [{"name": "pool", "connectionLimit": 100, "coldStartS": 3, "coldPerS": 5},
                    {"name": "other", "connectionLimit": 100}],
    "tenants": [{"name": "acme", "apiKeys": ["k1", "k2"], "ratePerS": 0, "burstSize": 0},
                {"name": "tiny", "apiKeys": ["t1"], "ratePerS": 2, "burstSize": 3}],
    "limits": {"maxHeaderBytes": 2048, "maxBodyBytes": 1000, "headerTimeoutS": 3, "idleTimeoutS": 15},
}  # fmt: skip


CORE = Member("core-waw-a-1", "10.1.0.11", 7600, {"role": "core"}, 0, "one")


class Player(BasePlayer):
    def __init__(self, *bounds: str) -> None:
        super().__init__()
        settings = parse_settings(
            json.dumps({**SETTINGS, "bounds": [*SETTINGS["bounds"], *bounds]}), "local.yaml"
        )
        with patch.object(node, "Dialer", lambda loop: self):
            self.node = node.Node(settings, self.clock.loop, "local.yaml", cast(Any, self.clock))
        self.node.rng.seed(7)
        self.node.front_listener = cast(Any, self)
        self.sockets = ()  # of the listener: no pending connections
        self.node.sweep(self.clock.now())
        self.node.send_reports(self.clock.now())
        self.connection = MessageConnection(
            self.node.subscription.handle_message, lambda connection, reason: None
        )
        self.connection.connection_made(cast(Any, FakeTransport(cast(Any, self.connection))))
        self.index = self.number = self.sequence = 0
        self.document = {"version": "00000000", **CONFIGURATION}
        self.evacuated: list[str] = []
        self.step("met")
        self.send_change({"k": "whole", "index": 0, "version": 0, "doc": None, "evac": [], "e": []})
        self.step("orders {}")
        self.step("proof 0")

    # Interface of the sockets.

    def is_serving(self) -> bool:
        return True

    def close(self) -> None:
        pass

    def client(self) -> http.Connection:
        return ClientConnection(self.node.downstream)

    def stats(self) -> Counter[str]:
        return self.node.stats

    def ended(self) -> bool:
        return self.node.stopped.is_set()

    # Steps.

    def send_change(self, message: Message) -> None:
        """A numbered change from the control plane."""
        self.number += 1
        self.connection.data_received(encode_frame(message | {"n": self.number}))
        assert not self.connection.closed, self.connection.reason

    def send_configuration(self) -> None:
        self.index += 1
        version = int(self.document["version"], 16)
        change = {"k": "orders", "index": self.index, "version": version, "evac": self.evacuated}
        self.send_change(change | {"doc": self.document})

    def program_step(self, head: str, rest: str) -> bool:
        match head:
            case "orders":
                version = f"{int(self.document['version'], 16) + 1:08x}"
                self.document = {**self.document, **json.loads(rest), "version": version}
                self.send_configuration()
            case "evacuate":
                self.evacuated = [] if rest == "none" else rest.split(",")
                self.send_configuration()
            case "proof":
                self.node.subscription.pending_proofs[999] = self.clock.now() - float(rest)
                self.node.subscription.handle_message(
                    self.connection, {"k": "proven", "t": 999, "index": self.index}
                )
                self.node.update_readiness()
            case "server":
                self.send_server(*rest.split())
            case "gateways":
                self.node.dispatcher.set_gateways(
                    {f"edge-{n + 1}": "waw-a" for n in range(int(rest))}, self.clock.now()
                )
            case "ready":
                assert self.node.ready == (rest == "yes")
            case "unsent":
                self.transports[rest].unsent = 1
            case "term":
                self.node.stop()
            case "unproven":
                self.node.lease.proven_at = -math.inf
                self.node.update_readiness()
            case "alone" | "met":
                self.set_peer_known(head == "met")
            case "running":
                assert not self.ended(), "the program has ended"
            case _:
                return self.request_step(head, rest)
        return True

    def set_peer_known(self, known: bool) -> None:
        alive = self.node.membership_transport.membership.alive
        if known:
            alive[CORE.name] = CORE
        else:
            del alive[CORE.name]
        self.node.membership_changed(MembershipEvent("joined" if known else "gone", CORE))

    def send_server(self, name: str, *fields: str) -> None:
        values = dict(field.split("=") for field in fields)
        state = ("available", "draining", "gone").index(values.get("state", "available"))
        self.sequence += 1
        entry: dict[str, Any] = {
            "i": name,
            "t": state,
            "q": self.sequence,
            "n": 6,
            "a": values.get("address", f"10.1.0.9:{name[1:]}"),
        }
        entry |= {"s": values.get("service", "pool"), "z": values.get("zone", "waw-a")}
        entry |= {"c": float(values.get("cold", 0))}
        self.send_change({"k": "servers", "e": [entry]})

    def request_step(self, head: str, rest: str) -> bool:
        name, *more = rest.split()
        match head, *more:
            case "ask", route, ident:
                key = "" if route == "open" else r"Authorization: Token k1\r\n"
                self.bytes(name, ">", request(route, ident, r"X-Deadline-Remaining: 3000\r\n" + key))
            case "sent", route, ident:
                instance_id = cast(Any, self.transports[name].connection).pool.upstream.ident
                tenant_header = "" if route == "open" else r"X-Tenant-Name: acme\r\n"
                added = rf"X-Deadline-Remaining: *\r\nX-Expected-Instance: {instance_id}\r\n{tenant_header}"
                self.bytes(name, "<", request(route, ident, added))
            case "answer", ident:
                self.bytes(
                    name,
                    ">",
                    rf"HTTP/1.1 200 OK\r\n{HEADERS.format(ident)}{BODY.format(ident)}",
                )
            case "got", ident:
                self.bytes(
                    name,
                    "<",
                    rf"HTTP/1.1 200 OK\r\n{HEADERS.format(ident).lower()}{BODY.format(ident)}",
                )
            case _:
                return False
        return True


HEADERS = r"X-Attempt-Id: {0}\r\nX-Server-Seal: seal-{0}\r\n"
BODY = r"Content-Length: 10\r\n\r\nwhole {0:>4}"


def request(route: str, ident: str, headers: str) -> str:
    """A request as written in exchanges; all bodies have the same length."""
    method, rest = (
        ("POST", rf"Content-Length: 4\r\n\r\nx{ident[-3:]:>3}") if route == "book" else ("GET", r"\r\n")
    )
    return (
        rf"{method} /{route}/{ident}?q=1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: {ident}\r\n{headers}{rest}"
    )


def play(path: Path) -> None:
    play_steps(Player(), path.name, steps(path))
