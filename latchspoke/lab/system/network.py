"""Virtual time, an in-memory network of machines, and an event loop for each process on them.

Unlike ``latchspoke.lab.virtual``, which has one process and one loop, each process here has its own loop and
address, so that it can be killed or lose power and links can be cut. A process spends time on each event and
may be blocked. A cut holds bytes back until it heals, unless their sender resets the connection or loses
power. Virtual time does not advance while code runs. The result depends on the seed alone.
"""

from __future__ import annotations

import asyncio
import heapq
import random
import socket
import zlib
from asyncio import events
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from latchspoke.lab.virtual import Address, InMemoryTransport, SocketStub

FIRST_PORT = 30_000
RETRANSMIT_DELAY_S = (0.2, 0.5)  # after a cut has healed
SYN_RETRY_DELAYS_S = (1.0, 2.0, 4.0, 8.0)  # between unanswered connection attempts
HEADER_BYTES = 40  # IP and TCP headers of each segment
MAX_LINK_BACKLOG_S = 0.5  # datagrams that would wait longer are dropped
SEND_BUFFER_BYTES = 64 * 1024  # taken by the kernel before a writer sees them buffered


class Runnable(Protocol):
    """What the scheduler runs: asyncio handles and ``ScheduledCall``."""

    _cancelled: bool

    def _run(self) -> Any: ...


class ScheduledCall:
    """A scheduled callback that belongs to no process."""

    __slots__ = ("_cancelled", "_loop", "args", "callback")

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.callback, self.args, self._cancelled, self._loop = callback, args, False, None

    def cancel(self) -> None:
        self._cancelled = True

    def _run(self) -> None:
        self.callback(*self.args)


class VirtualScheduler:
    """Virtual clock and event queue."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Any]] = []
        self.ready: deque[Any] = deque()
        self.event_count = 0
        self.uncaught_errors: list[tuple[float, str, str]] = []  # at, process, error

    def schedule(self, when: float, runnable: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.heap, (when, self.event_count, runnable))

    def at(self, when: float, callback: Callable[..., Any], *args: Any) -> ScheduledCall:
        runnable = ScheduledCall(callback, args)
        self.schedule(max(when, self.now), runnable)
        return runnable

    def after(self, delay: float, callback: Callable[..., Any], *args: Any) -> ScheduledCall:
        return self.at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Run all events up to that time."""
        heap, ready, enter = self.heap, self.ready, events._set_running_loop
        try:
            while True:
                own_call = bool(ready)
                if ready:
                    runnable = ready.popleft()
                elif heap and heap[0][0] <= until:
                    when, _, runnable = heapq.heappop(heap)
                    if when > self.now:
                        self.now = when
                else:
                    break
                if runnable._cancelled:
                    continue
                loop = runnable._loop
                if loop is not None:
                    if loop.dead:
                        continue
                    if loop.busy_until > self.now:
                        loop.defer(runnable, own_call)
                        continue
                enter(loop)
                runnable._run()
        finally:
            enter(None)
        self.now = max(self.now, until)


class Link:
    """One direction of a machine's link: a queue with a limited rate."""

    __slots__ = ("idle_at", "rate")

    def __init__(self) -> None:
        self.rate, self.idle_at = 0.0, 0.0  # bytes/s, 0: unlimited; when the queue is empty (s)

    def transmit_end(self, size: int, now: float) -> float:
        """Time at which bytes that are queued now have been transmitted."""
        if not self.rate:
            return now
        self.idle_at = max(self.idle_at, now) + (size + HEADER_BYTES) / self.rate
        return self.idle_at

    def backlog_s(self, now: float) -> float:
        """Seconds that new bytes wait in the queue."""
        return max(self.idle_at - now, 0.0)


class Host:
    """A machine on the network."""

    __slots__ = ("egress", "ingress", "ip", "powered", "region", "zone")

    def __init__(self, ip: str, zone: str, region: str) -> None:
        self.ip, self.zone, self.region, self.powered = ip, zone, region, True
        self.egress, self.ingress = Link(), Link()

    def limit_rate(self, mbps: float) -> None:
        """Limit its link to this rate in each direction."""
        self.egress.rate = self.ingress.rate = mbps * 125_000


class Network:
    """Latencies, cuts, listeners and datagram sockets."""

    def __init__(
        self,
        scheduler: VirtualScheduler,
        seed: int,
        zone_ms: float,
        cross_ms: float,
        region_ms: float,
        client_ms: float,
    ) -> None:
        self.scheduler, self.seed, self.rng = scheduler, seed, random.Random(f"network:{seed}")
        self.latencies_s = {"in": zone_ms / 1000, "zone": cross_ms / 1000, "region": region_ms / 1000}
        self.client_latency_s = client_ms / 1000
        self.hosts: dict[str, Host] = {}
        self.listeners: dict[Address, Listener] = {}
        self.datagram_sockets: dict[Address, DatagramSocket] = {}
        self.cuts: dict[tuple[str, str], int] = {}  # (from, to) -> number of cuts
        self.stalled: dict[StreamTransport, None] = {}
        self.loss = 0.001
        self.next_port = FIRST_PORT
        self.latency_cache: dict[tuple[str, str], float] = {}
        self.messages_sent = 0
        self.datagrams_dropped = 0  # at congested links
        self.traffic_meter: Callable[[str, Address, Address, bytes], None] | None = None

    def host(self, ip: str, zone: str, region: str) -> Host:
        host = self.hosts[ip] = Host(ip, zone, region)
        return host

    def latency(self, source: Host, target: Host) -> float:
        """One-way latency in seconds, without jitter."""
        key = source.ip, target.ip
        found = self.latency_cache.get(key)
        if found is None:
            kind = (
                "in" if source.zone == target.zone else "zone" if source.region == target.region else "region"
            )
            found = self.latencies_s[kind] + (
                self.client_latency_s if "client" in (source.ip[:6], target.ip[:6]) else 0.0
            )
            self.latency_cache[key] = found
        return found

    def delay(self, source: Host, target: Host) -> float:
        return self.latency(source, target) * (1 + 0.1 * self.rng.random()) + 0.00002

    def blocked(self, source: Host, target: Host) -> bool:
        return bool(self.cuts) and (source.ip, target.ip) in self.cuts

    def cut(self, pairs: list[tuple[str, str]]) -> None:
        """Block these directions silently."""
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1

    def heal(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.cuts[pair] -= 1
            if not self.cuts[pair]:
                del self.cuts[pair]
        for end in list(self.stalled):
            self.scheduler.after(self.rng.uniform(*RETRANSMIT_DELAY_S), end.retransmit)

    def connect(
        self, loop: ProcessLoop, address: Address, factory: Callable[[], Any],
        done: Callable[[StreamTransport], None], failed: Callable[[OSError], None],
    ) -> PendingConnection:  # fmt: skip
        return PendingConnection(self, loop, address, factory, done, failed)


class Listener(SocketStub):
    """A listening socket, as returned by ``create_server``."""

    def __init__(self, loop: ProcessLoop, address: Address, factory: Callable[[], Any]) -> None:
        self.loop, self.address, self.factory = loop, address, factory
        self.sockets = [self]

    def getsockname(self) -> Address:
        return self.address

    def is_serving(self) -> bool:
        return self.loop.network.listeners.get(self.address) is self

    def close(self) -> None:
        if self.is_serving():
            del self.loop.network.listeners[self.address]


class PendingConnection:
    """A connection that is being established."""

    def __init__(
        self, network: Network, loop: ProcessLoop, address: Address, factory: Callable[[], Any],
        done: Callable[[StreamTransport], None], failed: Callable[[OSError], None],
    ) -> None:  # fmt: skip
        self.network, self.loop, self.address, self.factory = network, loop, address, factory
        self.done, self.failed, self.unanswered_syns, self.finished = done, failed, 0, False
        network.next_port += 1
        self.here = loop.host.ip, network.next_port
        self.send_syn()

    def cancel(self) -> None:
        self.finished = True

    def send_syn(self) -> None:
        network, scheduler = self.network, self.network.scheduler
        if self.finished or self.loop.dead:
            return
        host = network.hosts.get(self.address[0])
        here = self.loop.host
        if host is None or not host.powered or network.blocked(here, host) or network.blocked(host, here):
            if self.unanswered_syns < len(SYN_RETRY_DELAYS_S):
                scheduler.after(SYN_RETRY_DELAYS_S[self.unanswered_syns], self.send_syn)
                self.unanswered_syns += 1
            return
        delay = network.delay(here, host)
        scheduler.after(delay, self.reach_listener, host, delay)

    def reach_listener(self, host: Host, delay: float) -> None:
        network = self.network
        if self.finished or self.loop.dead or not host.powered:
            return
        listener = network.listeners.get(self.address)
        after = network.scheduler.after
        if listener is None or listener.loop.dead:
            after(delay, self.refused)
            return
        far = StreamTransport(network, listener.loop, self.address, self.here)
        near = StreamTransport(network, self.loop, self.here, self.address)
        near.other, far.other = far, near
        if listener.loop.busy_until > network.scheduler.now:
            listener.loop.defer(ScheduledCall(far.accept, (listener.factory,)))
        else:
            far.accept(listener.factory)
        after(delay, self.opened, near)

    def refused(self) -> None:
        if not self.finished and not self.loop.dead:
            self.finished = True
            events._set_running_loop(self.loop)
            self.failed(ConnectionRefusedError(f"connection refused: {self.address}"))

    def opened(self, near: StreamTransport) -> None:
        if self.loop.dead:
            near.process_exited()
        elif self.loop.busy_until > self.network.scheduler.now:
            self.loop.defer(ScheduledCall(self.opened, (near,)))
        elif self.finished:
            near.gone = near.closing = True
            near.send("eof", b"")
        else:
            self.finished = True
            events._set_running_loop(self.loop)
            near.start_protocol(self.factory)
            self.done(near)


class SocketOptions(SocketStub):
    """Stands in for the socket; supports TCP_USER_TIMEOUT only."""

    def __init__(self, transport: StreamTransport) -> None:
        self.transport = transport

    def setsockopt(self, level: int, option: int, value: int) -> None:
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.transport.user_timeout_s = value / 1000


class StreamTransport(InMemoryTransport):
    """Transport at one end of a simulated TCP connection."""

    def __init__(self, network: Network, loop: ProcessLoop, here: Address, there: Address) -> None:
        super().__init__(here, there)
        self._extra["socket"] = SocketOptions(self)  # type: ignore[attr-defined]
        self.network, self.loop = network, loop
        self.protocol: Any = None
        self.other: StreamTransport | None = None
        self.silent = False
        self.held_back: deque[tuple[str, bytes]] = deque()  # in flight, held back by a cut
        self.user_timeout_s = 0.0
        self.stalled_since = -1.0
        self.queued_bytes, self.burst_sent_at = 0, 0.0  # bytes in the own link's queue, and until when (s)
        # Each transport has its own jitter, so that the order in which connections are closed has no effect.
        self.jitter_state = zlib.crc32(f"{here} {there} {network.seed}".encode())
        loop.transports[self] = None

    def delay(self, other: Host) -> float:
        self.jitter_state = (self.jitter_state * 1103515245 + 12345) & 0x7FFFFFFF
        return (
            self.network.latency(self.loop.host, other) * (1 + self.jitter_state / 0x7FFFFFFF / 10) + 0.00002
        )

    def accept(self, factory: Callable[[], Any]) -> None:
        if self.gone or self.loop.dead:
            return
        events._set_running_loop(self.loop)
        self.start_protocol(factory)

    def start_protocol(self, factory: Callable[[], Any]) -> None:
        self.protocol = factory()
        self.protocol.connection_made(self)
        while self.unread and not self.paused:
            self.take(*self.unread.popleft())

    # Sending.

    def send(self, kind: str, data: bytes) -> None:
        other, network = self.other, self.network
        if other is None or self.silent:
            return
        scheduler = network.scheduler
        network.messages_sent += 1
        if network.traffic_meter is not None and data:
            network.traffic_meter("stream", self.here, self.there, data)
        link = self.loop.host.egress
        leaves_at = link.transmit_end(len(data), scheduler.now)
        if link.rate:
            if self.burst_sent_at <= scheduler.now:
                self.queued_bytes = 0
            self.queued_bytes, self.burst_sent_at = self.queued_bytes + len(data), leaves_at
        at = max(leaves_at + self.delay(other.loop.host), self.arrives_at)
        self.arrives_at = at
        scheduler.at(at, self.reach_ingress if other.loop.host.ingress.rate else self.arrive, kind, data)

    def reach_ingress(self, kind: str, data: bytes) -> None:
        """Pass the receiving machine's link."""
        other = self.other
        if other is not None:
            scheduler = self.network.scheduler
            scheduler.at(
                other.loop.host.ingress.transmit_end(len(data), scheduler.now), self.arrive, kind, data
            )

    def arrive(self, kind: str, data: bytes) -> None:
        other = self.other
        if self.silent or other is None:
            return
        network, here, there = self.network, self.loop.host, other.loop.host
        if self.held_back or not there.powered or (network.cuts and network.blocked(here, there)):
            if self.gone and kind == "reset":
                self.held_back.clear()  # a reset discards the bytes held back
            self.held_back.append((kind, data))
            self.mark_stalled(there.powered)
        elif other.silent or (other.gone and kind == "data"):
            network.scheduler.after(other.delay(here), self.deliver, "reset", b"")
        else:
            if network.cuts and network.blocked(there, here):
                self.mark_stalled(True)  # delivered, but the acknowledgement is blocked
            other.deliver(kind, data)

    def mark_stalled(self, powered: bool) -> None:
        network = self.network
        network.stalled[self] = None
        if self.stalled_since < 0:
            self.stalled_since = network.scheduler.now
            if self.user_timeout_s:
                network.scheduler.after(self.user_timeout_s, self.user_timeout_expired, self.stalled_since)
        if not powered:
            network.scheduler.after(0.5, self.retransmit)

    def user_timeout_expired(self, since: float) -> None:
        if self.stalled_since == since and not self.gone and not self.loop.dead:
            events._set_running_loop(self.loop)
            self.held_back.clear()
            self.network.stalled.pop(self, None)
            self.close_with(TimeoutError("no acknowledgement"))

    def retransmit(self) -> None:
        """Retransmit the bytes held back."""
        other, network = self.other, self.network
        if self.silent or other is None or self not in network.stalled:
            network.stalled.pop(self, None)
            return
        if not other.loop.host.powered:
            network.scheduler.after(0.5, self.retransmit)
            return
        if network.blocked(self.loop.host, other.loop.host):
            return
        if not network.blocked(other.loop.host, self.loop.host):
            network.stalled.pop(self, None)
            self.stalled_since = -1.0
        held_back, self.held_back = self.held_back, deque()
        for kind, data in held_back:
            self.arrive(kind, data)

    # Receiving.

    def deliver(self, kind: str, data: bytes) -> None:
        if self.gone or self.loop.dead or self.silent:
            return
        if self.paused or self.protocol is None:
            self.unread.append((kind, data))
            return
        loop, scheduler = self.loop, self.network.scheduler
        if loop.busy_until > scheduler.now:
            loop.defer(ScheduledCall(self.deliver, (kind, data)))
            return
        loop.busy_until = scheduler.now + loop.cost_per_event_s
        events._set_running_loop(loop)
        self.take(kind, data)

    def take(self, *piece: Any) -> None:
        kind, data = piece
        if kind == "reset":
            self.close_with(ConnectionResetError("reset"))
        elif self.closing:
            return
        else:
            try:
                if kind == "data":
                    self.protocol.data_received(data)
                elif not self.protocol.eof_received():
                    self.close()
            except Exception as e:
                # Like asyncio, abort the connection of a protocol that raises.
                self.loop.call_exception_handler({"message": "a protocol raised", "exception": e})
                self.abort()

    def write(self, data: Any) -> None:
        if not self.closing and not self.loop.dead:
            self.send("data", bytes(data))

    def write_eof(self) -> None:
        if not self.closing:
            self.send("eof", b"")

    # Closing.

    def close(self) -> None:
        if not self.closing:
            self.send("reset" if self.unread else "eof", b"")
            self.close_with(None)

    def abort(self) -> None:
        if not self.closing:
            self.send("reset", b"")
            self.close_with(None)

    def close_with(self, error: Exception | None) -> None:
        if not self.gone:
            newly_closing, self.closing, self.gone = not self.closing, True, True
            self.loop.transports.pop(self, None)
            if newly_closing and self.protocol is not None:
                self.loop.call_soon(self.protocol.connection_lost, error)

    def process_exited(self, reset: bool = False) -> None:
        """The process has exited: the kernel closes or resets the connection."""
        if not self.gone:
            self.closing = self.gone = True
            self.send("reset" if reset else "eof", b"")

    def lose_power(self) -> None:
        """The machine has lost power: the peer is not notified."""
        self.closing = self.gone = self.silent = True

    def get_write_buffer_size(self) -> int:
        unsent_bytes = sum(len(data) for _, data in self.held_back) if self.held_back else 0
        egress_delay_s = self.burst_sent_at - self.network.scheduler.now
        if egress_delay_s > 0:
            unsent_bytes += min(int(egress_delay_s * self.loop.host.egress.rate), self.queued_bytes)
        return max(unsent_bytes - SEND_BUFFER_BYTES, 0)

    __hash__ = object.__hash__


class DatagramSocket(asyncio.DatagramTransport):
    """A datagram socket."""

    def __init__(self, network: Network, loop: ProcessLoop, here: Address, protocol: Any) -> None:
        super().__init__({"sockname": here})
        self.network, self.loop, self.here, self.protocol = network, loop, here, protocol
        network.datagram_sockets[here] = self

    def sendto(self, data: Any, addr: Any = None) -> None:
        network = self.network
        host = network.hosts.get(addr[0])
        if self.loop.dead or host is None or network.rng.random() < network.loss:
            return
        if network.traffic_meter is not None:
            network.traffic_meter("datagram", self.here, addr, bytes(data))
        if host.powered and not network.blocked(self.loop.host, host):
            network.messages_sent += 1
            now, own = network.scheduler.now, self.loop.host
            if own.egress.backlog_s(now) > MAX_LINK_BACKLOG_S:
                network.datagrams_dropped += 1
                return
            egress_delay_s = own.egress.transmit_end(len(data), now) - now
            network.scheduler.after(
                egress_delay_s + network.delay(own, host), self.reach_ingress, host, addr, bytes(data)
            )

    def reach_ingress(self, host: Host, address: Address, data: bytes) -> None:
        """Pass the receiving machine's link."""
        network, now = self.network, self.network.scheduler.now
        if host.ingress.backlog_s(now) > MAX_LINK_BACKLOG_S:
            network.datagrams_dropped += 1
        elif host.ingress.rate:
            network.scheduler.at(host.ingress.transmit_end(len(data), now), self.arrive, host, address, data)
        else:
            self.arrive(host, address, data)

    def arrive(self, host: Host, address: Address, data: bytes) -> None:
        receiver = self.network.datagram_sockets.get(address)
        if receiver is not None and host.powered and not receiver.loop.dead:
            if receiver.loop.busy_until > self.network.scheduler.now:
                receiver.loop.defer(ScheduledCall(self.arrive, (host, address, data)))
                return
            receiver.loop.busy_until = self.network.scheduler.now + receiver.loop.cost_per_event_s
            events._set_running_loop(receiver.loop)
            receiver.protocol.datagram_received(data, self.here)

    def close(self) -> None:
        if self.network.datagram_sockets.get(self.here) is self:
            del self.network.datagram_sockets[self.here]


def new_process_loop(network: Network, host: Host, name: str) -> ProcessLoop:
    return ProcessLoop(network, host, name)  # type: ignore[abstract]  # no files, threads or signals


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one process on one machine."""

    def __init__(self, network: Network, host: Host, name: str) -> None:
        self.network, self.scheduler, self.host, self.name = network, network.scheduler, host, name
        self.dead = False
        self.busy_until = 0.0  # no events are handled before then
        self.cost_per_event_s = 0.0  # for each received message
        self.transports: dict[StreamTransport, None] = {}
        self.deferred: deque[Runnable] = deque()  # events received while busy
        self.deferred_own_calls: deque[Runnable] = deque()  # its own ``call_soon`` handles, which run first
        self.wake_scheduled = False

    def defer(self, runnable: Runnable, own_call: bool = False) -> None:
        """Run it once the process is idle, with one wake-up for the whole queue."""
        (self.deferred_own_calls if own_call else self.deferred).append(runnable)
        if not self.wake_scheduled:
            self.wake_scheduled = True
            self.scheduler.at(self.busy_until, self.wake)

    def wake(self) -> None:
        scheduler, deferred_own_calls, deferred = self.scheduler, self.deferred_own_calls, self.deferred
        while (deferred_own_calls or deferred) and self.busy_until <= scheduler.now and not scheduler.ready:
            runnable = deferred_own_calls.popleft() if deferred_own_calls else deferred.popleft()
            if runnable._cancelled or (self.dead and not isinstance(runnable, ScheduledCall)):
                continue  # calls of the network check themselves whether the process is alive
            events._set_running_loop(self)
            runnable._run()
        self.wake_scheduled = bool(deferred_own_calls or deferred)
        if self.wake_scheduled:
            scheduler.at(self.busy_until, self.wake)

    def kill(self, power: bool, rng: random.Random | None = None) -> None:
        """End the process as by SIGKILL; with ``power`` the machine loses power and no peer is notified."""
        if self.dead:
            return
        self.dead = True
        for transport in list(self.transports):
            if power:
                transport.lose_power()
            else:
                transport.process_exited(rng is not None and rng.random() < 0.3)
        self.transports.clear()
        network = self.network
        for address in [a for a, item in network.listeners.items() if item.loop is self]:
            del network.listeners[address]
        for address in [a for a, receiver in network.datagram_sockets.items() if receiver.loop is self]:
            del network.datagram_sockets[address]

    # asyncio.AbstractEventLoop.

    def time(self) -> float:
        return self.scheduler.now

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:  # type: ignore[override]
        handle = asyncio.Handle(callback, args, self, context)
        self.scheduler.ready.append(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:  # type: ignore[override]
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.scheduler.schedule(max(when, self.scheduler.now), handle)
        return handle

    def call_later(self, delay: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:  # type: ignore[override]
        return self.call_at(self.scheduler.now + delay, callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Any = None) -> asyncio.Task[Any]:
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return not self.dead

    def is_closed(self) -> bool:
        return self.dead

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if not self.dead and error is not None:
            self.scheduler.uncaught_errors.append(
                (self.scheduler.now, self.name, f"{context.get('message')}: {error!r}")
            )

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **kwargs: Any
    ) -> Listener:
        if (host, port) in self.network.listeners:
            raise OSError(f"address in use: {host}:{port}")
        listener = self.network.listeners[host, port] = Listener(self, (host, port), protocol_factory)
        return listener

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **kwargs: Any
    ) -> tuple[StreamTransport, Any]:
        future: asyncio.Future[StreamTransport] = self.create_future()

        def done(transport: StreamTransport) -> None:
            if future.done():
                transport.abort()
            else:
                future.set_result(transport)

        def failed(error: OSError) -> None:
            if not future.done():
                future.set_exception(error)

        pending = self.network.connect(self, (host, port), protocol_factory, done, failed)
        try:
            transport = await future
        except BaseException:
            pending.cancel()
            raise
        return transport, transport.protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], local_addr: Address, **kwargs: Any
    ) -> tuple[DatagramSocket, Any]:
        if local_addr in self.network.datagram_sockets:
            raise OSError(f"address in use: {local_addr}")
        protocol = protocol_factory()
        datagram_socket = DatagramSocket(self.network, self, local_addr, protocol)
        protocol.connection_made(datagram_socket)
        return datagram_socket, protocol
