"""The event loop of the programs: uvloop, except that it binds the sockets of listeners without a thread.

Given a host, uvloop resolves it in a pool of threads, even if it is an address already. Where the operating
system grants no further thread, the pool aborts the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

DEFAULT_BACKLOG = 100  # connections that wait to be accepted


def address_family(host: str | None) -> socket.AddressFamily | None:
    """The family of a numeric address; None for a name, or for no host."""
    for family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError):
            socket.inet_pton(family, host or "")
            return family
    return None


def bound_socket(kind: socket.SocketKind, host: str | None, port: int | None) -> socket.socket | None:
    """A non-blocking socket at a numeric local address; None if it is a name. Raises OSError."""
    family = address_family(host)
    if family is None:
        return None
    sock = socket.socket(family, kind)
    try:
        if kind is socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port or 0))
    except BaseException:
        sock.close()
        raise
    return sock


class EventLoop(uvloop.Loop):
    """uvloop, with listeners that need no thread."""

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: socket.socket | None = None,
        backlog: int = DEFAULT_BACKLOG,
        **options: Any,
    ) -> Any:
        """As ``asyncio``'s, for one host or a bound socket. Raises OSError."""
        if sock is None:
            sock = bound_socket(socket.SOCK_STREAM, host, port)
        place: dict[str, Any] = {"host": host, "port": port} if sock is None else {"sock": sock}
        return await super().create_server(protocol_factory, backlog=backlog, **place, **options)

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        local_addr: tuple[str, int] | None = None,
        remote_addr: tuple[str, int] | None = None,
        *,
        sock: socket.socket | None = None,
        **options: Any,
    ) -> Any:
        """As ``asyncio``'s. Raises OSError."""
        if sock is None and local_addr is not None and remote_addr is None:
            sock = bound_socket(socket.SOCK_DGRAM, *local_addr)
        addresses: dict[str, Any] = (
            {"local_addr": local_addr, "remote_addr": remote_addr} if sock is None else {"sock": sock}
        )
        return await super().create_datagram_endpoint(protocol_factory, **addresses, **options)


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a program's main coroutine in a new event loop."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(main)
