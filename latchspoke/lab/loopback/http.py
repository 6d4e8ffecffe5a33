"""A minimal HTTP/1.1 server protocol for simulated servers, with pipelined responses in order."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import cast

import httptools

REASONS = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}


def response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


class PendingResponse:
    """A response not sent yet; it is sent after all earlier ones of its connection."""

    __slots__ = ("connection", "data")

    def __init__(self, connection: HttpServerConnection) -> None:
        self.connection, self.data = connection, b""

    def answer(self, data: bytes) -> None:
        self.data = data
        self.connection.flush()


class HttpServerConnection(asyncio.Protocol):
    """Server side of one connection; subclasses implement ``handle_request``."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[PendingResponse] = deque()
        self.url, self.headers, self.body = b"", dict[bytes, bytes](), b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        with contextlib.suppress(httptools.HttpParserUpgrade):
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError:
                self.abort()

    def on_message_begin(self) -> None:
        self.url, self.headers, self.body = b"", {}, b""

    def on_url(self, part: bytes) -> None:
        self.url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        pending_response = PendingResponse(self)
        self.pending.append(pending_response)
        self.handle_request(pending_response)

    def handle_request(self, pending_response: PendingResponse) -> None:
        raise NotImplementedError

    def flush(self) -> None:
        while self.pending and self.pending[0].data:
            data = self.pending.popleft().data
            if self.transport is not None and not self.transport.is_closing():
                self.transport.write(data)

    def abort(self) -> None:
        """Reset the connection, so that the peer notices at once."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()
