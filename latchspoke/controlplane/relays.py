"""Sends messages to control-plane nodes that are unreachable directly, through gateways that reach both.

Keeps a quorum available during a network partition among the control-plane nodes. Gateways forward a
``relay`` message as ``relayed``; the answer returns on the same path. Messages may be lost, duplicated or
delayed, which the protocols above tolerate.
"""

from __future__ import annotations

import random

import msgspec

from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.netstring import encode_frame

MAX_MESSAGE_BYTES = 256 * 1024  # larger messages would saturate a gateway's link
RETURN_PATH_LIFETIME_S = 1.0
RELAYS_PER_MESSAGE = 2  # gateways used while none is known to reach the target


class ReturnPath(msgspec.Struct):
    """The connection on which the last relayed message of a control-plane node arrived."""

    connection: MessageConnection
    received_at: float


class GatewayRelays:
    """The gateways connected to this control-plane node."""

    def __init__(self, own_name: str, rng: random.Random) -> None:
        self.own_name, self.rng = own_name, rng
        self.connections: list[MessageConnection] = []
        self.return_paths: dict[str, ReturnPath] = {}  # by the name of the control-plane node

    def add_gateway(self, connection: MessageConnection) -> None:
        """A gateway has connected; adding it again has no effect."""
        if connection not in self.connections:
            self.connections.append(connection)

    def remove_connection(self, connection: MessageConnection) -> None:
        """A connection has closed."""
        if connection in self.connections:
            self.connections.remove(connection)
        self.return_paths = {
            name: path for name, path in self.return_paths.items() if path.connection is not connection
        }

    def record_received(self, name: str, connection: MessageConnection, now: float) -> None:
        """A relayed message of ``name`` has arrived on this connection."""
        self.add_gateway(connection)
        self.return_paths[name] = ReturnPath(connection, now)

    def has_return_path(self, name: str, since: float, now: float) -> bool:
        """Whether a relayed message of ``name`` has arrived recently and after ``since``."""
        path = self.return_paths.get(name)
        return (
            path is not None and path.received_at > since and now - path.received_at < RETURN_PATH_LIFETIME_S
        )

    def send(self, name: str, message: Message, now: float) -> bool:
        """Send a message through gateways; whether at least one accepted it."""
        body = msgspec.json.encode(message)
        if len(body) > MAX_MESSAGE_BYTES:
            return False
        connections = self.choose_connections(name, now)
        data = encode_frame({"k": "relay", "to": name, "from": self.own_name, "m": msgspec.Raw(body)})
        sent = [connection.write(data) for connection in connections]
        return any(sent)

    def choose_connections(self, name: str, now: float) -> list[MessageConnection]:
        """The gateway connections to use for a message to this control-plane node."""
        path = self.return_paths.get(name)
        if (
            path is not None
            and now - path.received_at < RETURN_PATH_LIFETIME_S
            and not path.connection.closed
        ):
            return [path.connection]
        open_connections = [connection for connection in self.connections if not connection.closed]
        return self.rng.sample(open_connections, min(RELAYS_PER_MESSAGE, len(open_connections)))
