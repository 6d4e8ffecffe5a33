"""Operator API: HTTP over TCP at an address of its own, one request per connection.

``GET /status`` returns whether this process is ready to serve, ``GET /status/metrics`` its metrics, and
``PUT /maintenance/enter/ID`` and ``/exit/ID`` put a server into maintenance and back into service.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from urllib.parse import unquote

from latchspoke.net.management import TEXT_CONTENT_TYPE, ManagementConnection, ManagementServer, Reply
from latchspoke.net.metrics import format_metrics
from latchspoke.net.process_group import bind_shared_socket

if TYPE_CHECKING:
    from latchspoke.config import Address
    from latchspoke.net.serve import Node


def text_reply(status: int, text: str) -> Reply:
    """Return a reply with a line of text as its body."""
    return status, f"{text}\n".encode(), TEXT_CONTENT_TYPE


class OperatorApi(ManagementServer):
    """HTTP server of the operator API."""

    single_request = True
    max_connections = 16
    idle_timeout_s = 10.0

    def __init__(self, loop: asyncio.AbstractEventLoop, node: Node) -> None:
        super().__init__(loop)
        self.node = node

    async def start(self, address: Address) -> None:
        """Listen at this address, which other processes of the gateway may share. Raises OSError."""
        sock = bind_shared_socket(address)
        self.server = await self.loop.create_server(
            lambda: ManagementConnection(self), sock=sock, backlog=128
        )

    def reply(self, method: bytes, url: bytes) -> Reply:
        """Dispatch a request by method and path."""
        path = url.partition(b"?")[0].decode("latin-1")
        handler = {"/status": self.status, "/status/metrics": self.metrics}.get(path)
        if handler is not None:
            return handler() if method == b"GET" else text_reply(405, "GET is wanted")
        for action in ("enter", "exit"):
            prefix = f"/maintenance/{action}/"
            if path.startswith(prefix):
                if method != b"PUT":
                    return text_reply(405, "PUT is wanted")
                return self.maintenance(action, unquote(path.removeprefix(prefix)))
        return text_reply(404, "there is no such call")

    def status(self) -> Reply:
        """Answer 200 while this process accepts clients, otherwise 503."""
        return text_reply(200, "ready") if self.node.serving else text_reply(503, "not ready")

    def metrics(self) -> Reply:
        """Return the metrics in the statsd format."""
        return 200, format_metrics(self.node).encode(), TEXT_CONTENT_TYPE

    def maintenance(self, action: str, name: str) -> Reply:
        """Put a server into maintenance ("enter") or back into service ("exit"); 404 if it is unknown."""
        try:
            known = self.node.set_maintenance(action, name)
        except OSError as e:
            return text_reply(500, f"not done, as it can't be kept: {e.strerror}")
        return text_reply(200, f"{name}: {action}") if known else text_reply(404, f"{name} was never listed")
