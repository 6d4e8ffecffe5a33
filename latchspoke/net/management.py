"""Minimal HTTP/1.1 server for the admin socket and the operator API.

Replies are computed synchronously on the event loop of the gateway, so they must be fast and never block.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

import httptools

from latchspoke.net.http import FramingError, ParserError, format_response

log = logging.getLogger(__name__)

MAX_UNANSWERED_BYTES = 4096  # of incomplete requests on one connection
TEXT_CONTENT_TYPE = b"Content-Type: text/plain\r\n"

Reply = tuple[int, bytes, bytes]  # status, body, further headers


class ManagementConnection(asyncio.Protocol):
    """Answers requests in order; closes after an invalid one."""

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
            log.exception("management request failed")
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
    """Base class of the management servers, which implement ``reply``."""

    single_request = False  # whether connections are closed after the first reply
    max_connections = 8
    idle_timeout_s = 30.0
    bad_request_reply: Reply = (400, b"not a call\n", TEXT_CONTENT_TYPE)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connections: dict[ManagementConnection, None] = {}  # the oldest first
        self.server: asyncio.AbstractServer | None = None

    def reply(self, method: bytes, url: bytes) -> Reply:
        raise NotImplementedError

    def add_connection(self, connection: ManagementConnection) -> None:
        """Register a connection; above the limit the oldest is aborted, so that idle clients block nobody."""
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
