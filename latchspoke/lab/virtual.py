"""An event loop whose time is virtual and whose network is in memory.

Asyncio code runs on it unchanged: the simulated servers, the players, and the gateway's real ``Node``. Time
stands still while code runs and jumps to the next timer when nothing is left to do, so an hour of traffic
takes as long as its code does. Bytes arrive after a delay, in order on each connection. Hosts can be
partitioned: open connections then stay open and silent, and new ones are not established. Runs are
deterministic for a seed.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any

Address = tuple[str, int]
FIRST_PORT = 20_000
MIN_DELAY_S = 0.00002


class SimulationStalled(Exception):  # noqa: N818  (a finding about a run, not a fault of the loop)
    """No callback is ready and no timer is set, but the run has not finished."""


class TimeJumpSelector:
    """Replaces the selector: there are no file descriptors, so waiting advances the virtual time."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise SimulationStalled("no callback is ready and no timer is set, but the run has not finished")
        self.loop.now += max(timeout, 0.0)
        return []

    def close(self) -> None:
        pass


class Network:
    """Listeners, delays and partitions of the network in memory."""

    def __init__(self, seed: int, delay: float = 0.0005, jitter: float = 0.3) -> None:
        self.random_source, self.mean_delay, self.jitter = random.Random(f"network:{seed}"), delay, jitter
        self.listeners: dict[Address, VirtualServer] = {}
        self.cuts: set[tuple[str, str]] = set()  # partitioned pairs of hosts, in both directions
        self.port = FIRST_PORT

    def delay(self) -> float:
        return max(self.mean_delay * (1 + self.jitter * self.random_source.uniform(-1, 1)), MIN_DELAY_S)

    def cut(self, host_a: str, other: str) -> None:
        """Partition two hosts: data between them is lost silently."""
        self.cuts |= {(host_a, other), (other, host_a)}

    def mend(self, host_a: str, other: str) -> None:
        self.cuts -= {(host_a, other), (other, host_a)}

    def passes(self, host_a: str, other: str) -> bool:
        return (host_a, other) not in self.cuts


class SocketStub:
    """Stands in for a socket; it has no file descriptor, as data is delivered directly."""

    def fileno(self) -> int:
        return -1


class VirtualServer(SocketStub):
    """The server object that ``create_server`` returns."""

    def __init__(self, network: Network, address: Address, factory: Callable[[], Any]) -> None:
        self.network, self.address, self.factory = network, address, factory
        self.sockets = [self]

    def getsockname(self) -> Address:
        return self.address

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]


class InMemoryTransport(asyncio.Transport):
    """Receiving side of a connection in memory; ``take`` handles each item unless reading is paused."""

    def __init__(self, here: Address, there: Address) -> None:
        super().__init__({"peername": there, "sockname": here})
        self.here, self.there = here, there
        self.closing = self.gone = self.paused = False
        self.unread: deque[tuple[Any, ...]] = deque()  # received while reading was paused
        self.arrives_at = 0.0  # arrival time (s) of the last item sent, to keep the order

    def take(self, *piece: Any) -> None:
        raise NotImplementedError

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        while self.unread and not self.paused:
            self.take(*self.unread.popleft())

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass


class VirtualTransport(InMemoryTransport):
    """One end of a connection in memory."""

    def __init__(self, loop: VirtualLoop, here: Address, there: Address, protocol: Any) -> None:
        super().__init__(here, there)
        self.loop, self.protocol = loop, protocol
        self.other: VirtualTransport | None = None

    # Sending, in order and after a delay

    def send(self, callback: Callable[[VirtualTransport], None]) -> None:
        other, network = self.other, self.loop.network
        if other is None or not network.passes(self.here[0], self.there[0]):
            return
        self.arrives_at = max(self.loop.now + network.delay(), self.arrives_at + 1e-9)
        self.loop.call_at(self.arrives_at, other.receive, callback)

    def receive(self, callback: Callable[[VirtualTransport], None]) -> None:
        if self.paused:
            self.unread.append((callback,))
        elif not self.gone:
            callback(self)

    def take(self, *piece: Any) -> None:
        piece[0](self)

    def write(self, data: Any) -> None:
        if not self.closing:
            payload = bytes(data)
            self.send(lambda end: end.deliver(payload))

    def deliver(self, data: bytes) -> None:
        if not self.closing:
            self.protocol.data_received(data)

    def write_eof(self) -> None:
        self.send(lambda end: end.feed_eof())

    def feed_eof(self) -> None:
        if not self.closing and not self.protocol.eof_received():
            self.close()

    # Closing

    def close(self) -> None:
        if not self.closing:
            self.send(lambda end: end.feed_eof())
            self.end(None)

    def abort(self) -> None:
        if not self.closing:
            self.send(lambda end: end.end(ConnectionResetError("reset")))
            self.end(None)

    def end(self, error: Exception | None) -> None:
        if self.closing:
            return
        self.closing = True
        self.loop.call_soon(self.notify_connection_lost, error)

    def notify_connection_lost(self, error: Exception | None) -> None:
        if not self.gone:
            self.gone = True
            self.protocol.connection_lost(error)


class VirtualLoop(asyncio.BaseEventLoop):
    """The event loop in virtual time; ``now`` is in seconds since its start."""

    def __init__(self, network: Network) -> None:
        super().__init__()
        self.network, self.now = network, 0.0
        self._selector = TimeJumpSelector(self)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self.now

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **kwargs: Any
    ) -> VirtualServer:
        if not port:
            self.network.port += 1
            port = self.network.port
        if (host, port) in self.network.listeners:
            raise OSError(f"address in use: {host}:{port}")
        server = VirtualServer(self.network, (host, port), protocol_factory)
        self.network.listeners[host, port] = server
        return server

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str,
        port: int,
        local_addr: Address | None = None,
        **kwargs: Any,
    ) -> tuple[VirtualTransport, Any]:
        """Connect after one round trip; between partitioned hosts this waits until the partition heals."""
        network = self.network
        self.network.port += 1
        here = (local_addr[0] if local_addr else "client", network.port)
        await asyncio.sleep(2 * network.delay())
        while not network.passes(here[0], host):
            await asyncio.sleep(1.0)  # as SYN retransmissions do; the timeout of the caller ends it
        server = network.listeners.get((host, port))
        if server is None:
            raise ConnectionRefusedError(f"connection refused: no listener at {host}:{port}")
        client_protocol, server_protocol = protocol_factory(), server.factory()
        client_end = VirtualTransport(self, here, (host, port), client_protocol)
        server_end = VirtualTransport(self, (host, port), here, server_protocol)
        client_end.other, server_end.other = server_end, client_end
        server_protocol.connection_made(server_end)
        client_protocol.connection_made(client_end)
        return client_end, client_protocol


def run(coroutine: Any, network: Network) -> Any:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop(network)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.close()
