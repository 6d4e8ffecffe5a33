"""Handles the messages of subscribers: hello, acknowledgements, snapshot and proof requests."""

from __future__ import annotations

from collections.abc import Callable

from latchspoke.distribution.published_state import PublishedState, Subscriber
from latchspoke.net.clock import Clock
from latchspoke.transport.connection import Message, MessageConnection


class Publisher:
    """Registers subscribers of a published state; ``on_proof_request`` answers proof requests."""

    def __init__(
        self,
        published_state: PublishedState,
        clock: Clock,
        on_proof_request: Callable[[MessageConnection, int], None],
    ) -> None:
        self.published_state, self.clock, self.on_proof_request = published_state, clock, on_proof_request

    def handle_message(self, connection: MessageConnection, message: Message) -> bool:
        """Handle a message of a subscriber; False if it is of another kind."""
        subscriber = connection.tag if isinstance(connection.tag, Subscriber) else None
        match message.get("k"):
            case "hello":
                name, version = str(message.get("name", "?")), int(message.get("version", 0))
                self.connection_closed(connection)  # of the subscriber before, if there is one
                connection.tag = Subscriber(
                    name,
                    connection.send,
                    version=version,
                    zone=str(message.get("zone", "")),
                    supports_compression=bool(message.get("packs", False)),
                )
                self.published_state.add_subscriber(connection.tag, self.clock.now())
            case "ack" if subscriber is not None:
                subscriber.version = int(message.get("version", subscriber.version))
                self.published_state.record_acknowledgement(
                    subscriber, int(message["n"]), int(message["index"])
                )
            case "again" if subscriber is not None:
                subscriber.version = int(message.get("version", 0))
                self.published_state.resend_snapshot(subscriber, self.clock.now())
            case "prove":
                self.on_proof_request(connection, int(message["t"]))
            case _:
                return False
        return True

    def connection_closed(self, connection: MessageConnection) -> None:
        """Remove the subscriber of a closed connection, if there is one."""
        if isinstance(connection.tag, Subscriber):
            self.published_state.remove_subscriber(connection.tag)
