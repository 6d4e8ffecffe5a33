"""Calls over HTTP/1.1 that are answered from what is at hand: the view's socket, and the operators' door.

The event loop answers each between two requests of the gateway's, and no call waits for anything.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

import httptools

from latchspoke.net.http import FramingError, ParserError, response

log = logging.getLogger(__name__)

MOST_ASKED = 4096  # bytes of one connection that are not answered yet
TEXT = b"Content-Type: text/plain\r\n"

Reply = tuple[int, bytes, bytes]  # status, body, further headers


class CallConnection(asyncio.Protocol):
    """Answers each call whole, in their order; what it does not understand ends it."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.url, self.unanswered = b"", 0
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.desk.joined(self)
        self.rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self.desk.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def rest(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.desk.loop.call_later(self.desk.idle, self.close)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.unanswered += len(data)
        try:
            if self.unanswered > MOST_ASKED:
                raise FramingError(431, "oversize")
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade):
            self.answer(self.desk.unknown, close=True)

    def on_message_begin(self) -> None:
        self.url = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        self.unanswered = 0
        try:
            reply = self.desk.reply(self.parser.get_method(), self.url)
        except Exception:
            log.exception("a call failed")
            reply = (500, b"the call failed, see the log\n", TEXT)
        self.answer(reply, close=self.desk.once)
        self.rest()

    def answer(self, reply: Reply, close: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        status, body, headers = reply
        self.transport.write(response(status, body, headers, close))
        if close:
            self.transport.close()


class Desk:
    """Where calls come in; ``reply`` is the answer to each."""

    once = False  # whether a connection carries one call only
    most = 8  # connections at once; the gateway's sockets are for requests
    idle = 30.0  # s; a connection that asks nothing is given up
    unknown: Reply = (400, b"not a call\n", TEXT)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connections: dict[CallConnection, None] = {}  # the one that has been there longest first
        self.server: asyncio.AbstractServer | None = None

    def reply(self, method: bytes, url: bytes) -> Reply:
        raise NotImplementedError

    def joined(self, connection: CallConnection) -> None:
        """Callers that say nothing must not keep the others out: the oldest makes room."""
        self.connections[connection] = None
        if len(self.connections) > self.most:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.close()
