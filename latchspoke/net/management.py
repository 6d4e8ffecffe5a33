"""Calls over HTTP/1.1 that are answered from what is at hand: the view's socket, and the operators' door.

The event loop answers each between two requests of the gateway's, and no call waits for anything.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

import httptools

from latchspoke.net.http import FramingError, ParserError, format_response

log = logging.getLogger(__name__)

MAX_UNANSWERED_BYTES = 4096  # bytes of one connection that are not answered yet
TEXT_CONTENT_TYPE = b"Content-Type: text/plain\r\n"

Reply = tuple[int, bytes, bytes]  # status, body, further headers


class ManagementConnection(asyncio.Protocol):
    """Answers each call whole, in their order; what it does not understand ends it."""

    def __init__(self, management_server: ManagementServer) -> None:
        self.management_server = management_server
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.url, self.unanswered_bytes = b"", 0
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.management_server.add_connection(self)
        self.restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self.management_server.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def restart_idle_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.management_server.loop.call_later(self.management_server.idle_timeout_s, self.close)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.unanswered_bytes += len(data)
        try:
            if self.unanswered_bytes > MAX_UNANSWERED_BYTES:
                raise FramingError(431, "oversize")
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade):
            self.send_reply(self.management_server.bad_request_reply, close=True)

    def on_message_begin(self) -> None:
        self.url = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        self.unanswered_bytes = 0
        try:
            reply = self.management_server.reply(self.parser.get_method(), self.url)
        except Exception:
            log.exception("a call failed")
            reply = (500, b"the call failed, see the log\n", TEXT_CONTENT_TYPE)
        self.send_reply(reply, close=self.management_server.single_request)
        self.restart_idle_timer()

    def send_reply(self, reply: Reply, close: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        status, body, headers = reply
        self.transport.write(format_response(status, body, headers, close))
        if close:
            self.transport.close()


class ManagementServer:
    """Where calls come in; ``reply`` is the answer to each."""

    single_request = False  # whether a connection carries one call only
    max_connections = 8  # connections at once; the gateway's sockets are for requests
    idle_timeout_s = 30.0  # s; a connection that asks nothing is given up
    bad_request_reply: Reply = (400, b"not a call\n", TEXT_CONTENT_TYPE)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connections: dict[ManagementConnection, None] = {}  # the one that has been there longest first
        self.server: asyncio.AbstractServer | None = None

    def reply(self, method: bytes, url: bytes) -> Reply:
        raise NotImplementedError

    def add_connection(self, connection: ManagementConnection) -> None:
        """Callers that say nothing must not keep the others out: the oldest makes room."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.close()
