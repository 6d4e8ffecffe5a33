"""Faults of links and of the clock, inside one process of a soak run.

The event loop holds what a process sends to another machine of the system, or gets from it, while the link
to it is cut, delays it, and loses datagrams; the time of day is moved. What holds is read from a file that
the run writes. A connection is known by the address that this process has dialled; the other end leaves it
to this one.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from latchspoke.net import event_loop

FAULTS_FILE_VARIABLE = "LATCHSPOKE_SOAK_FAULTS"
REREAD_INTERVAL_S = 0.02
HELD_CHECK_INTERVAL_S = 0.02  # of what is held by a cut
MAX_HELD_INPUT_BYTES = 64 * 1024  # of a connection; the rest waits in the kernel, as behind a real cut


class Faults:
    """The faults in force: by peer's address whether the link is cut, and for all links delay and loss."""

    def __init__(self, path: str) -> None:
        self.path, self.checked_at, self.modified_at = path, -1.0, -1.0
        self.cut: frozenset[str] = frozenset()
        self.delay_s = self.loss = self.clock_offset_s = 0.0
        self.rng = random.Random()

    def refresh(self) -> Faults:
        """Read the file again if it has changed; a file that is being replaced counts as unchanged."""
        now = time.monotonic()
        if now - self.checked_at < REREAD_INTERVAL_S:
            return self
        self.checked_at = now
        try:
            modified_at = os.stat(self.path).st_mtime
            if modified_at != self.modified_at:
                with open(self.path) as file:
                    fields = json.load(file)
                self.modified_at = modified_at
                self.cut = frozenset(fields["cut"])
                self.delay_s, self.loss = fields["delay_s"], fields["loss"]
                self.clock_offset_s = fields["clock_offset_s"]
        except (OSError, ValueError):
            pass
        return self

    def loses(self, peer: str) -> bool:
        """Whether a datagram to or from this address is lost."""
        self.refresh()
        return peer in self.cut or (self.loss > 0 and self.rng.random() < self.loss)


class Passage:
    """One direction of a link: calls are made in order, after the delay, and not while the link is cut."""

    def __init__(self, loop: asyncio.AbstractEventLoop, faults: Faults, peer: str) -> None:
        self.loop, self.faults, self.peer = loop, faults, peer
        self.held: deque[tuple[float, Callable[[], None]]] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def put(self, call: Callable[[], None]) -> None:
        """Make a call once the link lets it through."""
        faults = self.faults.refresh()
        if not self.held and not faults.delay_s and self.peer not in faults.cut:
            call()
            return
        self.held.append((self.loop.time() + faults.delay_s, call))
        self.schedule()

    def schedule(self) -> None:
        """Look again when the first call is due."""
        if self.timer is None and self.held:
            wait = max(self.held[0][0] - self.loop.time(), 0.0)
            if self.peer in self.faults.refresh().cut:
                wait = max(wait, HELD_CHECK_INTERVAL_S)
            self.timer = self.loop.call_later(wait, self.release)

    def release(self) -> None:
        """Make the calls that are due."""
        self.timer = None
        while self.held and self.held[0][0] <= self.loop.time():
            if self.peer in self.faults.refresh().cut:
                break
            self.held.popleft()[1]()
        self.schedule()


class LinkTransport:
    """A transport whose writes go through a passage; all else is the transport's own."""

    def __init__(self, transport: Any, passage: Passage) -> None:
        self.transport, self.passage, self.held_bytes = transport, passage, 0
        self.closing = False
        self.held_input_bytes, self.reading_paused = 0, False

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)

    def write(self, data: Any) -> None:
        """Write once the link lets it through."""
        kept = bytes(data)
        self.held_bytes += len(kept)
        self.passage.put(lambda: self.write_now(kept))

    def writelines(self, parts: Any) -> None:
        """As ``write``, for several parts."""
        self.write(b"".join(bytes(part) for part in parts))

    def write_now(self, data: bytes) -> None:
        """The link lets it through."""
        self.held_bytes -= len(data)
        if not self.transport.is_closing():
            self.transport.write(data)

    def pause_reading(self) -> None:
        """The protocol wants no more input."""
        self.reading_paused = True
        self.update_reading(0)

    def resume_reading(self) -> None:
        """The protocol wants input again."""
        self.reading_paused = False
        self.update_reading(0)

    def update_reading(self, held_change: int) -> None:
        """Read no more while the protocol wants nothing, or while much input is held."""
        self.held_input_bytes += held_change
        if self.transport.is_closing():
            return
        if self.reading_paused or self.held_input_bytes > MAX_HELD_INPUT_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def get_write_buffer_size(self) -> int:
        """What is held counts as unsent."""
        return int(self.transport.get_write_buffer_size()) + self.held_bytes

    def is_closing(self) -> bool:
        """Whether it is closed, or closes once what is held was written."""
        return self.closing or bool(self.transport.is_closing())

    def close(self) -> None:
        """Close once what is held was written."""
        self.closing = True
        self.passage.put(self.transport.close)

    def write_eof(self) -> None:
        """End the output once what is held was written."""
        self.passage.put(self.transport.write_eof)


class LinkProtocol(asyncio.Protocol):
    """Stands between a connection and its protocol."""

    def __init__(self, loop: asyncio.AbstractEventLoop, faults: Faults, peer: str, inner: Any) -> None:
        self.inner = inner
        self.inbound, self.outbound = Passage(loop, faults, peer), Passage(loop, faults, peer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on the transport in another one."""
        self.transport = LinkTransport(transport, self.outbound)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        """Pass on input once the link lets it through."""
        self.transport.update_reading(len(data))
        self.inbound.put(lambda: self.pass_on(data))

    def pass_on(self, data: bytes) -> None:
        """The link lets input through."""
        self.transport.update_reading(-len(data))
        self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass on the end of the input at once; the connection closes."""
        return self.inner.eof_received()  # type: ignore[no-any-return]

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end; what is held is lost."""
        self.inbound.held.clear()
        self.outbound.held.clear()
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass it on."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass it on."""
        self.inner.resume_writing()


class LinkDatagramTransport:
    """Loses datagrams that are sent."""

    def __init__(self, transport: Any, faults: Faults) -> None:
        self.transport, self.faults = transport, faults

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, unless it is lost."""
        if not self.faults.loses(address[0]):
            self.transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class LinkDatagramProtocol(asyncio.DatagramProtocol):
    """Loses datagrams that are received."""

    def __init__(self, faults: Faults, inner: Any) -> None:
        self.faults, self.inner = faults, inner

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on a datagram, unless it is lost."""
        if not self.faults.loses(addr[0]):
            self.inner.datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Pass it on."""
        self.inner.error_received(exc)


class FaultyEventLoop(event_loop.EventLoop):
    """The programs' event loop, with the faults of links."""

    faults: Faults

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **options: Any
    ) -> tuple[Any, Any]:
        """Connect once the link isn't cut, as the opening packet is sent again."""
        while host in self.faults.refresh().cut:
            await asyncio.sleep(HELD_CHECK_INTERVAL_S)
        protocol = protocol_factory()
        link = LinkProtocol(self, self.faults, host, protocol)
        transport, _ = await super().create_connection(lambda: link, host, port, **options)
        return transport, protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], local_addr: Any = None, **options: Any
    ) -> Any:
        """As the event loop's, but datagrams may be lost."""
        protocol = LinkDatagramProtocol(self.faults, protocol_factory())
        transport, _ = await super().create_datagram_endpoint(lambda: protocol, local_addr, **options)
        return LinkDatagramTransport(transport, self.faults), protocol.inner


def install(path: str) -> None:
    """Let the programs of this process meet the faults that the file names."""
    faults = FaultyEventLoop.faults = Faults(path)
    event_loop.EventLoop = FaultyEventLoop  # type: ignore[misc]
    true_time = time.time
    time.time = lambda: true_time() + faults.refresh().clock_offset_s
