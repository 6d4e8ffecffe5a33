"""A gateway's own view over a Unix socket, for the agent on its machine and for operators. It only tells.

Off unless ``serve --admin PATH`` asks for it. It speaks HTTP/1.1 with JSON: ``GET /v1/view``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import httptools

from latchspoke.net.http import FramingError, ParserError, response

log = logging.getLogger(__name__)

CONNECTIONS = 8  # at once; the gateway's sockets are for requests
MOST_ASKED = 4096  # bytes of one connection that are not answered yet
IDLE = 30.0  # s; a connection that asks nothing is given up
KIND = b"Content-Type: application/json\r\n"


class AdminConnection(asyncio.Protocol):
    """Answers each question whole, in their order; what it does not understand ends it."""

    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.url, self.unanswered = b"", 0
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.admin.connections) >= CONNECTIONS:
            self.transport.abort()
            return
        self.admin.connections.add(self)
        self.rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self.admin.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def rest(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.admin.loop.call_later(IDLE, self.close)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.unanswered += len(data)
        try:
            if self.unanswered > MOST_ASKED:
                raise FramingError(431, "oversize")
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade):
            self.answer(400, {"error": "not a request that is understood here"}, close=True)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_begin(self) -> None:
        self.url = b""

    def on_message_complete(self) -> None:
        self.unanswered = 0
        if self.parser.get_method() != b"GET":
            self.answer(405, {"error": "the view is only read; signals change things"})
        elif self.url != b"/v1/view":
            self.answer(404, {"error": "there is /v1/view and nothing else"})
        else:
            self.answer(200, self.admin.view())
        self.rest()

    def answer(self, status: int, value: Any, close: bool = False) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        body = json.dumps(value, separators=(",", ":")).encode()
        self.transport.write(response(status, body, KIND, close))
        if close:
            self.transport.close()


class Admin:
    """The socket and the connections on it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, path: str, view: Callable[[], Any]) -> None:
        self.loop, self.path, self.view = loop, path, view
        self.connections: set[AdminConnection] = set()
        self.server: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        """Raises OSError where the path can't be taken, as by a gateway that lives."""
        self.server = await self.loop.create_unix_server(lambda: AdminConnection(self), sock=bind(self.path))

    def stop(self) -> None:
        """The file goes first, so that nobody finds a socket that no longer answers."""
        with contextlib.suppress(OSError):
            os.unlink(self.path)
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.close()


def bind(path: str, backlog: int = CONNECTIONS) -> socket.socket:
    """A listening Unix socket that its owner alone may use; one left by a dead process is replaced."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    try:
        if Path(path).exists():
            clear(path)
        # The mode is set before anyone can connect: nobody is listened to until listen().
        sock.bind(path)
        os.chmod(path, 0o600)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def clear(path: str) -> None:
    """Take away the socket of a dead process, and nothing else."""
    if not stat.S_ISSOCK(os.stat(path).st_mode):
        raise OSError(f"{path} is there and is no socket")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            Path(path).unlink(missing_ok=True)
            return
    raise OSError(f"another process listens at {path}")
