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

MAX_MESSAGE_BYTES = 256 * 1024  # of a message; larger ones would fill a gateway's link
RETURN_PATH_LIFETIME_S = 1.0  # s for which the way by which a message came is taken for the answer
RELAYS_PER_MESSAGE = 2  # gateways by which a message goes while none is known to reach the other side


class ReturnPath(msgspec.Struct):
    """The connection by which something from another control machine came last."""

    connection: MessageConnection
    received_at: float


class GatewayRelays:
    """The gateways that are connected to this control machine."""

    def __init__(self, own_name: str, rng: random.Random) -> None:
        self.own_name, self.rng = own_name, rng
        self.connections: list[MessageConnection] = []
        self.return_paths: dict[str, ReturnPath] = {}  # by the name of the other control machine

    def add_gateway(self, connection: MessageConnection) -> None:
        """A gateway has connected."""
        if connection not in self.connections:
            self.connections.append(connection)

    def remove_connection(self, connection: MessageConnection) -> None:
        """A connection has ended."""
        if connection in self.connections:
            self.connections.remove(connection)
        self.return_paths = {
            name: path for name, path in self.return_paths.items() if path.connection is not connection
        }

    def record_received(self, name: str, connection: MessageConnection, now: float) -> None:
        """A relayed message from ``name`` has come on this connection."""
        self.add_gateway(connection)
        self.return_paths[name] = ReturnPath(connection, now)

    def has_return_path(self, name: str, since: float, now: float) -> bool:
        """Whether something from ``name`` came by a gateway lately, and after ``since``."""
        path = self.return_paths.get(name)
        return (
            path is not None and path.received_at > since and now - path.received_at < RETURN_PATH_LIFETIME_S
        )

    def send(self, name: str, message: Message, now: float) -> bool:
        """Whether some gateway was given it."""
        body = msgspec.json.encode(message)
        if len(body) > MAX_MESSAGE_BYTES:
            return False
        connections = self.choose_connections(name, now)
        data = encode_frame({"k": "relay", "to": name, "from": self.own_name, "m": msgspec.Raw(body)})
        sent = [connection.write(data) for connection in connections]
        return any(sent)

    def choose_connections(self, name: str, now: float) -> list[MessageConnection]:
        """The gateways by which a message for this control machine goes."""
        path = self.return_paths.get(name)
        if (
            path is not None
            and now - path.received_at < RETURN_PATH_LIFETIME_S
            and not path.connection.closed
        ):
            return [path.connection]
        open_connections = [connection for connection in self.connections if not connection.closed]
        return self.rng.sample(open_connections, min(RELAYS_PER_MESSAGE, len(open_connections)))
