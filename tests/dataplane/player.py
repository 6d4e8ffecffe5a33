"""Plays a recorded exchange of bytes against a whole data plane: no sockets, and a clock set by hand.

The steps are those of ``tests.player``, and these. The gateway stands in zone ``waw-a``, next to ``waw-b``
of the same region and ``krk-a`` of another one. At the beginning it knows configuration 1 below, has just
proven that it is the newest, and knows of no server.

    orders {FIELDS}            the next configuration, with these fields of the document replaced
    evacuate ZONE,ZONE         the operator's word on zones; ``evacuate none`` takes it back
    proof AGE                  a proof comes that its word is the newest, asked for AGE seconds ago
    server sN KEY=VALUE ...    news of a server (state, zone, service, cold), at 10.1.0.9:N or its address
    gateways N                 so many gateways are alive, this one included
    ready yes | ready no       what the gateway says of itself
    unproven                   as a process that has just begun: nothing of what it was told has been proven
    alone | met                it knows of no other process; a control machine has answered it
    running                    the program has not ended
    unsent NAME                what was written to this connection has not left the machine yet

Ordinary requests have steps of their own; those that are not ordinary stand as bytes:

    ask NAME ROUTE ID          a client's request on route read, book (runs once at most) or open (no key)
    sent NAME ROUTE ID         that request has been written to a server, as it must be
    answer NAME ID             the server's whole answer comes in
    got NAME ID                that answer, and nothing else, has been written to the client
"""

from __future__ import annotations

import json
import math
from collections import Counter
from pathlib import Path
from typing import Any, cast
from unittest.mock import patch

from latchspoke.dataplane import node
from latchspoke.dataplane.downstream import ClientConnection
from latchspoke.membership.protocol import Member, MembershipEvent
from latchspoke.net import http
from latchspoke.settings import parse_settings
from latchspoke.transport.netstring import frame
from latchspoke.transport.wire import Message, Wire
from tests.player import FakeTransport, Stage, play_steps, steps

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


def rule(name: str, kind: str, service: str = "pool", **more: Any) -> dict[str, Any]:
    action = {"service": service, "timeoutS": 2, "maxAttempts": 3, "homeRegions": more.pop("homes", [])}
    match = {"pathPrefix": f"/{name}/"}
    return {"name": name, "routeKind": kind, "targetLatencyS": 0.4, "matchCriteria": match,
            "actionSpec": action, **more}  # fmt: skip


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


class Player(Stage):
    def __init__(self, *bounds: str) -> None:
        super().__init__()
        settings = parse_settings(
            json.dumps({**SETTINGS, "bounds": [*SETTINGS["bounds"], *bounds]}), "local.yaml"
        )
        with patch.object(node, "Dialer", lambda loop: self):
            self.node = node.Node(settings, self.clock.loop, "local.yaml", cast(Any, self.clock))
        self.node.draw.seed(7)
        self.node.entrance = cast(Any, self)
        self.sockets = ()  # of the entrance: nobody has come up there unseen
        self.node.sweep(self.clock.now())
        self.node.step(self.clock.now())
        self.wire = Wire(self.node.feed.heard, lambda wire, reason: None)
        self.wire.connection_made(cast(Any, FakeTransport(cast(Any, self.wire))))
        self.index = self.number = self.sequence = 0
        self.document = {"version": "00000000", **CONFIGURATION}
        self.evacuated: list[str] = []
        self.step("met")
        self.tell({"k": "whole", "index": 0, "version": 0, "doc": None, "evac": [], "e": []})
        self.step("orders {}")
        self.step("proof 0")

    # What the gateway asks of sockets.

    def is_serving(self) -> bool:
        return True

    def close(self) -> None:
        pass

    def client(self) -> http.Connection:
        return ClientConnection(self.node.downstream)

    def stats(self) -> Counter[str]:
        return self.node.stats

    def ended(self) -> bool:
        return self.node.done.is_set()

    # Steps.

    def tell(self, message: Message) -> None:
        """A numbered change from the control plane."""
        self.number += 1
        self.wire.data_received(frame(message | {"n": self.number}))
        assert not self.wire.over, self.wire.reason

    def order(self) -> None:
        self.index += 1
        version = int(self.document["version"], 16)
        change = {"k": "orders", "index": self.index, "version": version, "evac": self.evacuated}
        self.tell(change | {"doc": self.document})

    def own_step(self, head: str, rest: str) -> bool:
        match head:
            case "orders":
                version = f"{int(self.document['version'], 16) + 1:08x}"
                self.document = {**self.document, **json.loads(rest), "version": version}
                self.order()
            case "evacuate":
                self.evacuated = [] if rest == "none" else rest.split(",")
                self.order()
            case "proof":
                self.node.feed.asked[999] = self.clock.now() - float(rest)
                self.node.feed.heard(self.wire, {"k": "proven", "t": 999, "index": self.index})
                self.node.settle()
            case "server":
                self.server(*rest.split())
            case "gateways":
                self.node.dispatcher.set_gateways(
                    {f"edge-{n + 1}": "waw-a" for n in range(int(rest))}, self.clock.now()
                )
            case "ready":
                assert self.node.ready == (rest == "yes")
            case "unsent":
                self.links[rest].unsent = 1
            case "term":
                self.node.stop()
            case "unproven":
                self.node.lease.proven_at = -math.inf
                self.node.settle()
            case "alone" | "met":
                self.met(head == "met")
            case "running":
                assert not self.ended(), "the program has ended"
            case _:
                return self.ordinary(head, rest)
        return True

    def met(self, met: bool) -> None:
        alive = self.node.post.membership.alive
        if met:
            alive[CORE.name] = CORE
        else:
            del alive[CORE.name]
        self.node.news(MembershipEvent("joined" if met else "gone", CORE))

    def server(self, name: str, *fields: str) -> None:
        told = dict(field.split("=") for field in fields)
        state = ("available", "draining", "gone").index(told.get("state", "available"))
        self.sequence += 1
        entry: dict[str, Any] = {
            "i": name,
            "t": state,
            "q": self.sequence,
            "n": 6,
            "a": told.get("address", f"10.1.0.9:{name[1:]}"),
        }
        entry |= {"s": told.get("service", "pool"), "z": told.get("zone", "waw-a")}
        entry |= {"c": float(told.get("cold", 0))}
        self.tell({"k": "servers", "e": [entry]})

    def ordinary(self, head: str, rest: str) -> bool:
        name, *more = rest.split()
        match head, *more:
            case "ask", route, ident:
                key = "" if route == "open" else r"Authorization: Token k1\r\n"
                self.bytes(name, ">", request(route, ident, r"X-Deadline-Remaining: 3000\r\n" + key))
            case "sent", route, ident:
                server = cast(Any, self.links[name].connection).upstream_pool.upstream.ident
                held = "" if route == "open" else r"X-Tenant-Name: acme\r\n"
                added = rf"X-Deadline-Remaining: *\r\nX-Expected-Instance: {server}\r\n{held}"
                self.bytes(name, "<", request(route, ident, added))
            case "answer", ident:
                self.bytes(name, ">", rf"HTTP/1.1 200 OK\r\n{BEGIN.format(ident)}{END.format(ident)}")
            case "got", ident:
                self.bytes(name, "<", rf"HTTP/1.1 200 OK\r\n{BEGIN.format(ident).lower()}{END.format(ident)}")
            case _:
                return False
        return True


BEGIN = r"X-Attempt-Id: {0}\r\nX-Server-Seal: seal-{0}\r\n"
END = r"Content-Length: 10\r\n\r\nwhole {0:>4}"


def request(route: str, ident: str, added: str) -> str:
    """As bytes are written in exchanges. Bodies are as long in each."""
    method, end = (
        ("POST", rf"Content-Length: 4\r\n\r\nx{ident[-3:]:>3}") if route == "book" else ("GET", r"\r\n")
    )
    return rf"{method} /{route}/{ident}?q=1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: {ident}\r\n{added}{end}"


def play(path: Path) -> None:
    play_steps(Player(), path.name, steps(path))
