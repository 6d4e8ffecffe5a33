"""The operators' door: calls over TCP at an address of its own, one to a connection.

``GET /status`` tells whether this process is ready to serve, ``GET /status/metrics`` its figures, and
``PUT /maintenance/enter/ID`` and ``/exit/ID`` take a server out by hand and put it back.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from urllib.parse import unquote

from latchspoke.net.calls import TEXT, CallConnection, Desk, Reply
from latchspoke.net.figures import figures
from latchspoke.net.kin import shared_socket

if TYPE_CHECKING:
    from latchspoke.config import Address
    from latchspoke.net.serve import Node


def said(status: int, text: str) -> Reply:
    return status, f"{text}\n".encode(), TEXT


class Door(Desk):
    """What operators call."""

    once = True
    most = 16
    idle = 10.0

    def __init__(self, loop: asyncio.AbstractEventLoop, node: Node) -> None:
        super().__init__(loop)
        self.node = node

    async def start(self, address: Address) -> None:
        sock = shared_socket(address)
        self.server = await self.loop.create_server(lambda: CallConnection(self), sock=sock, backlog=128)

    def reply(self, method: bytes, url: bytes) -> Reply:
        path = url.partition(b"?")[0].decode("latin-1")
        known = {"/status": self.status, "/status/metrics": self.metrics}.get(path)
        if known is not None:
            return known() if method == b"GET" else said(405, "GET is wanted")
        for word in ("enter", "exit"):
            prefix = f"/maintenance/{word}/"
            if path.startswith(prefix):
                if method != b"PUT":
                    return said(405, "PUT is wanted")
                return self.maintenance(word, unquote(path.removeprefix(prefix)))
        return said(404, "there is no such call")

    def status(self) -> Reply:
        return said(200, "ready") if self.node.serving else said(503, "not ready")

    def metrics(self) -> Reply:
        return 200, figures(self.node).encode(), TEXT

    def maintenance(self, word: str, name: str) -> Reply:
        try:
            known = self.node.maintain(word, name)
        except OSError as e:
            return said(500, f"not done, as it can't be kept: {e.strerror}")
        return said(200, f"{name}: {word}") if known else said(404, f"{name} was never listed")
