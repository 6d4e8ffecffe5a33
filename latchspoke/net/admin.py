"""A gateway's own view over a Unix socket, for the agent on its machine and for operators. It only tells.

Off unless ``serve --admin PATH`` asks for it. It speaks HTTP/1.1 with JSON: ``GET /v1/view``.
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
    return status, json.dumps(value, separators=(",", ":")).encode(), JSON_CONTENT_TYPE


class AdminServer(ManagementServer):
    """The socket and the connections on it."""

    bad_request_reply = json_reply(400, {"error": "not a request that is understood here"})

    def __init__(self, loop: asyncio.AbstractEventLoop, path: str, view: Callable[[], Any]) -> None:
        super().__init__(loop)
        self.path, self.view = path, view

    def reply(self, method: bytes, url: bytes) -> Reply:
        if method != b"GET":
            return json_reply(405, {"error": "the view is only read; signals change things"})
        if url != b"/v1/view":
            return json_reply(404, {"error": "there is /v1/view and nothing else"})
        return json_reply(200, self.view())

    async def start(self) -> None:
        """Raises OSError where the path can't be taken, as by a gateway that lives."""
        self.server = await self.loop.create_unix_server(
            lambda: ManagementConnection(self), sock=bind_unix_socket(self.path)
        )

    def stop(self) -> None:
        """The file goes first, so that nobody finds a socket that no longer answers."""
        with contextlib.suppress(OSError):
            os.unlink(self.path)
        super().stop()


def bind_unix_socket(path: str, backlog: int = ManagementServer.max_connections) -> socket.socket:
    """A listening Unix socket that its owner alone may use; one left by a dead process is replaced."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    try:
        if Path(path).exists():
            remove_stale_socket(path)
        # The mode is set before anyone can connect: nobody is listened to until listen().
        sock.bind(path)
        os.chmod(path, 0o600)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def remove_stale_socket(path: str) -> None:
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
