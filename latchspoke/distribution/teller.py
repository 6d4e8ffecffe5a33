"""What those who follow a board say on their connections: hello, how far they are, and asks for proofs."""

from __future__ import annotations

from collections.abc import Callable

from latchspoke.distribution.board import Board, Reader
from latchspoke.net.clock import Clock
from latchspoke.transport.connection import Message, MessageConnection


class Teller:
    """Hears those who follow. Proofs come from ``prove``."""

    def __init__(self, board: Board, clock: Clock, prove: Callable[[MessageConnection, int], None]) -> None:
        self.board, self.clock, self.prove = board, clock, prove

    def heard(self, wire: MessageConnection, message: Message) -> bool:
        """Whether it was for this."""
        reader = wire.tag if isinstance(wire.tag, Reader) else None
        match message.get("k"):
            case "hello":
                name, version = str(message.get("name", "?")), int(message.get("version", 0))
                wire.tag = Reader(
                    name,
                    wire.send,
                    version=version,
                    zone=str(message.get("zone", "")),
                    packs=bool(message.get("packs", False)),
                )
                self.board.join(wire.tag, self.clock.now())
            case "ack" if reader is not None:
                reader.version = int(message.get("version", reader.version))
                self.board.acknowledged(reader, int(message["n"]), int(message["index"]))
            case "again" if reader is not None:
                reader.version = int(message.get("version", 0))
                self.board.tell_whole(reader, self.clock.now())
            case "prove":
                self.prove(wire, int(message["t"]))
            case _:
                return False
        return True

    def ended(self, wire: MessageConnection) -> None:
        """A connection is over."""
        if isinstance(wire.tag, Reader):
            self.board.leave(wire.tag)
