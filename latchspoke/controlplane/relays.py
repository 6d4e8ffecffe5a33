"""Messages between two control machines that can't reach each other, by way of gateways that reach both.

A cut among the control machines alone would leave no majority, or one of them without any, while every
gateway still reaches them all. Gateways that are connected here forward what is sent as ``relay``; the other
control machine gets it as ``relayed``, and answers by the same way. Whatever is sent so may be lost, come
twice or come late, as on any connection, and the protocols above bear that.
"""

from __future__ import annotations

import random

import msgspec

from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.netstring import encode_frame

MOST_BYTES = 256 * 1024  # of a message; larger ones would fill a gateway's link
FRESH = 1.0  # s for which the way by which a message came is taken for the answer
TRIED = 2  # gateways by which a message goes while none is known to reach the other side


class Way(msgspec.Struct):
    """The connection by which something from another control machine came last."""

    wire: MessageConnection
    at: float


class Relays:
    """The gateways that are connected to this control machine."""

    def __init__(self, me: str, draw: random.Random) -> None:
        self.me, self.draw = me, draw
        self.wires: list[MessageConnection] = []
        self.ways: dict[str, Way] = {}  # by the name of the other control machine

    def joined(self, wire: MessageConnection) -> None:
        """A gateway has connected."""
        if wire not in self.wires:
            self.wires.append(wire)

    def left(self, wire: MessageConnection) -> None:
        """A connection has ended."""
        if wire in self.wires:
            self.wires.remove(wire)
        self.ways = {name: way for name, way in self.ways.items() if way.wire is not wire}

    def heard(self, name: str, wire: MessageConnection, now: float) -> None:
        """A relayed message from ``name`` has come on this connection."""
        self.joined(wire)
        self.ways[name] = Way(wire, now)

    def answers(self, name: str, since: float, now: float) -> bool:
        """Whether something from ``name`` came by a gateway lately, and after ``since``."""
        way = self.ways.get(name)
        return way is not None and way.at > since and now - way.at < FRESH

    def send(self, name: str, message: Message, now: float) -> bool:
        """Whether some gateway was given it."""
        body = msgspec.json.encode(message)
        if len(body) > MOST_BYTES:
            return False
        wires = self.choose(name, now)
        data = encode_frame({"k": "relay", "to": name, "from": self.me, "m": msgspec.Raw(body)})
        sent = [wire.write(data) for wire in wires]
        return any(sent)

    def choose(self, name: str, now: float) -> list[MessageConnection]:
        """The gateways by which a message for this control machine goes."""
        way = self.ways.get(name)
        if way is not None and now - way.at < FRESH and not way.wire.closed:
            return [way.wire]
        live = [wire for wire in self.wires if not wire.closed]
        return self.draw.sample(live, min(TRIED, len(live)))
