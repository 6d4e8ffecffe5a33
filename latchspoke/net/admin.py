"""Read-only HTTP/1.1 interface on a Unix socket, for the agent on the machine and for operators.

Enabled by ``serve --admin PATH``. ``GET /v1/view`` returns the state of the gateway as JSON.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any

from latchspoke.net.management import ManagementConnection, ManagementServer, Reply

JSON_CONTENT_TYPE = b"Content-Type: application/json\r\n"


def json_reply(status: int, value: Any) -> Reply:
    """Return a reply with a JSON body."""
    return status, json.dumps(value, separators=(",", ":")).encode(), JSON_CONTENT_TYPE


class AdminServer(ManagementServer):
    """HTTP server of the view."""

    bad_request_reply = json_reply(400, {"error": "not a request that is understood here"})

    def __init__(self, loop: asyncio.AbstractEventLoop, path: str, view: Callable[[], Any]) -> None:
        super().__init__(loop)
        self.path, self.view = path, view

    def reply(self, method: bytes, url: bytes) -> Reply:
        """Answer ``GET /v1/view``; anything else is an error."""
        if method != b"GET":
            return json_reply(405, {"error": "the view is only read; signals change things"})
        if url != b"/v1/view":
            return json_reply(404, {"error": "there is /v1/view and nothing else"})
        return json_reply(200, self.view())

    async def start(self) -> None:
        """Listen. Raises OSError if the path can't be used, as when another process listens there."""
        self.server = await self.loop.create_unix_server(
            lambda: ManagementConnection(self), sock=bind_unix_socket(self.path)
        )

    def stop(self) -> None:
        """Remove the socket file, so that no client finds a dead socket, and close all connections."""
        with contextlib.suppress(OSError):
            os.unlink(self.path)
        super().stop()


def bind_unix_socket(path: str, backlog: int = ManagementServer.max_connections) -> socket.socket:
    """Listen on a Unix socket that only its owner may use, replacing one left by a dead process.

    Raises OSError if the path is not a socket, or another process listens there.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    try:
        if Path(path).exists():
            remove_stale_socket(path)
        # Clients can't connect before listen(), so the mode applies to all of them.
        sock.bind(path)
        os.chmod(path, 0o600)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def remove_stale_socket(path: str) -> None:
    """Remove a socket file that no process listens on. Raises OSError for anything else."""
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
