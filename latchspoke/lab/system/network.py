"""Virtual time, machines on a network in memory, and an event loop for each process on them.

Differs from ``latchspoke.lab.virtual``, which is one process with one loop: here each process has its own
loop and address, so that one can be killed or lose power, and the network can tell who speaks to whom.
A process takes time for what comes to it, and may stand still. Bytes are held up by a cut and come when it is
over, unless their sender resets or loses power; a machine without power says nothing. Time stands still while
code runs. One seed gives one result.
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
AGAIN = (0.2, 0.5)  # s until bytes that a cut held up are sent again after it
SYN = (1.0, 2.0, 4.0, 8.0)  # s between tries to open a connection that nobody answers
HEAD = 40  # bytes of headers with each piece
FULL = 0.5  # s of waiting at a link; a datagram that would wait longer is dropped
LISTEN_MOST = 64 * 1024  # bytes that the kernel takes before a writer notices


class Due(Protocol):
    """What the world calls: asyncio's handles, and ``Call``."""

    _cancelled: bool

    def _run(self) -> Any: ...


class Call:
    """Something due that belongs to no process."""

    __slots__ = ("_cancelled", "_loop", "args", "call")

    def __init__(self, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.call, self.args, self._cancelled, self._loop = call, args, False, None

    def cancel(self) -> None:
        self._cancelled = True

    def _run(self) -> None:
        self.call(*self.args)


class World:
    """The time, and what is due."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Any]] = []
        self.soon: deque[Any] = deque()
        self.serial = 0
        self.faults: list[tuple[float, str, str]] = []  # at, who, what a process raised

    def push(self, when: float, due: Any) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, due))

    def at(self, when: float, call: Callable[..., Any], *args: Any) -> Call:
        due = Call(call, args)
        self.push(max(when, self.now), due)
        return due

    def after(self, delay: float, call: Callable[..., Any], *args: Any) -> Call:
        return self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Play up to that time."""
        heap, soon, enter = self.heap, self.soon, events._set_running_loop
        try:
            while True:
                called = bool(soon)
                if soon:
                    due = soon.popleft()
                elif heap and heap[0][0] <= until:
                    when, _, due = heapq.heappop(heap)
                    if when > self.now:
                        self.now = when
                else:
                    break
                if due._cancelled:
                    continue
                loop = due._loop
                if loop is not None:
                    if loop.dead:
                        continue
                    if loop.busy > self.now:
                        loop.wait(due, called)
                        continue
                enter(loop)
                due._run()
        finally:
            enter(None)
        self.now = max(self.now, until)


class Link:
    """One way of a machine's link: bytes wait for those before them."""

    __slots__ = ("free_at", "rate")

    def __init__(self) -> None:
        self.rate, self.free_at = 0.0, 0.0  # bytes a second, 0: not bounded; when all is through (s)

    def through(self, size: int, now: float) -> float:
        """When so many bytes that come now are through."""
        if not self.rate:
            return now
        self.free_at = max(self.free_at, now) + (size + HEAD) / self.rate
        return self.free_at

    def waits(self, now: float) -> float:
        """Seconds that what comes now waits for what came before."""
        return max(self.free_at - now, 0.0)


class Host:
    """A machine on the network."""

    __slots__ = ("into", "ip", "on", "out", "region", "zone")

    def __init__(self, ip: str, zone: str, region: str) -> None:
        self.ip, self.zone, self.region, self.on = ip, zone, region, True
        self.out, self.into = Link(), Link()

    def bound(self, mbps: float) -> None:
        """Its link takes so many Mbit/s, each way."""
        self.out.rate = self.into.rate = mbps * 125_000


class Network:
    """Delays, cuts and who listens where."""

    def __init__(
        self, world: World, seed: int, zone_ms: float, cross_ms: float, region_ms: float, client_ms: float
    ) -> None:
        self.world, self.seed, self.draw = world, seed, random.Random(f"network:{seed}")
        self.ways = {"in": zone_ms / 1000, "zone": cross_ms / 1000, "region": region_ms / 1000}
        self.client = client_ms / 1000
        self.hosts: dict[str, Host] = {}
        self.listeners: dict[Address, Listener] = {}
        self.posts: dict[Address, Mail] = {}
        self.cuts: dict[tuple[str, str], int] = {}  # from, to: how many cuts
        self.stalled: dict[End, None] = {}
        self.loss = 0.001
        self.port = FIRST_PORT
        self.known: dict[tuple[str, str], float] = {}
        self.sent = 0
        self.dropped = 0  # datagrams at full links
        self.meter: Callable[[str, Address, Address, bytes], None] | None = None

    def host(self, ip: str, zone: str, region: str) -> Host:
        host = self.hosts[ip] = Host(ip, zone, region)
        return host

    def way(self, one: Host, other: Host) -> float:
        """Seconds one way, without what chance adds."""
        key = one.ip, other.ip
        found = self.known.get(key)
        if found is None:
            kind = "in" if one.zone == other.zone else "zone" if one.region == other.region else "region"
            found = self.ways[kind] + (self.client if "client" in (one.ip[:6], other.ip[:6]) else 0.0)
            self.known[key] = found
        return found

    def delay(self, one: Host, other: Host) -> float:
        return self.way(one, other) * (1 + 0.1 * self.draw.random()) + 0.00002

    def blocked(self, one: Host, other: Host) -> bool:
        return bool(self.cuts) and (one.ip, other.ip) in self.cuts

    def cut(self, pairs: list[tuple[str, str]]) -> None:
        """From now on nothing passes that way; nobody is told."""
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1

    def mend(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.cuts[pair] -= 1
            if not self.cuts[pair]:
                del self.cuts[pair]
        for end in list(self.stalled):
            self.world.after(self.draw.uniform(*AGAIN), end.again)

    def connect(
        self, loop: ProcessLoop, address: Address, factory: Callable[[], Any],
        done: Callable[[End], None], failed: Callable[[OSError], None],
    ) -> Dial:  # fmt: skip
        return Dial(self, loop, address, factory, done, failed)


class Listener(SocketStub):
    """What ``create_server`` gives."""

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


class Dial:
    """A connection that is being opened."""

    def __init__(
        self, network: Network, loop: ProcessLoop, address: Address, factory: Callable[[], Any],
        done: Callable[[End], None], failed: Callable[[OSError], None],
    ) -> None:  # fmt: skip
        self.network, self.loop, self.address, self.factory = network, loop, address, factory
        self.done, self.failed, self.tries, self.over = done, failed, 0, False
        network.port += 1
        self.here = loop.host.ip, network.port
        self.try_now()

    def stop(self) -> None:
        self.over = True

    def try_now(self) -> None:
        network, world = self.network, self.network.world
        if self.over or self.loop.dead:
            return
        host = network.hosts.get(self.address[0])
        here = self.loop.host
        if host is None or not host.on or network.blocked(here, host) or network.blocked(host, here):
            if self.tries < len(SYN):
                world.after(SYN[self.tries], self.try_now)
                self.tries += 1
            return
        delay = network.delay(here, host)
        world.after(delay, self.arrive, host, delay)

    def arrive(self, host: Host, delay: float) -> None:
        network = self.network
        if self.over or self.loop.dead or not host.on:
            return
        listener = network.listeners.get(self.address)
        back = network.world.after
        if listener is None or listener.loop.dead:
            back(delay, self.refuse)
            return
        far = End(network, listener.loop, self.address, self.here)
        near = End(network, self.loop, self.here, self.address)
        near.other, far.other = far, near
        if listener.loop.busy > network.world.now:
            listener.loop.wait(Call(far.accept, (listener.factory,)))
        else:
            far.accept(listener.factory)
        back(delay, self.up, near)

    def refuse(self) -> None:
        if not self.over and not self.loop.dead:
            self.over = True
            events._set_running_loop(self.loop)
            self.failed(ConnectionRefusedError(f"nobody listens at {self.address}"))

    def up(self, near: End) -> None:
        if self.loop.dead:
            near.vanish()
        elif self.loop.busy > self.network.world.now:
            self.loop.wait(Call(self.up, (near,)))
        elif self.over:
            near.gone = near.closing = True
            near.send("eof", b"")
        else:
            self.over = True
            events._set_running_loop(self.loop)
            near.begin(self.factory)
            self.done(near)


class Knobs(SocketStub):
    """The one option of a socket that matters here."""

    def __init__(self, end: End) -> None:
        self.end = end

    def setsockopt(self, level: int, option: int, value: int) -> None:
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.end.patience = value / 1000


class End(InMemoryTransport):
    """One end of a connection."""

    def __init__(self, network: Network, loop: ProcessLoop, here: Address, there: Address) -> None:
        super().__init__(here, there)
        self._extra["socket"] = Knobs(self)  # type: ignore[attr-defined]
        self.network, self.loop = network, loop
        self.protocol: Any = None
        self.other: End | None = None
        self.silent = False
        self.held: deque[tuple[str, bytes]] = deque()  # on the way, and stopped there
        self.patience = 0.0
        self.stuck_at = -1.0
        self.burst, self.leaves_at = 0, 0.0  # bytes that wait for the own link, and until when (s)
        # Each end has its own luck: in which order a set of connections is closed must not matter.
        self.luck = zlib.crc32(f"{here} {there} {network.seed}".encode())
        loop.ends[self] = None

    def delay(self, other: Host) -> float:
        self.luck = (self.luck * 1103515245 + 12345) & 0x7FFFFFFF
        return self.network.way(self.loop.host, other) * (1 + self.luck / 0x7FFFFFFF / 10) + 0.00002

    def accept(self, factory: Callable[[], Any]) -> None:
        if self.gone or self.loop.dead:
            return
        events._set_running_loop(self.loop)
        self.begin(factory)

    def begin(self, factory: Callable[[], Any]) -> None:
        self.protocol = factory()
        self.protocol.connection_made(self)
        while self.unread and not self.paused:
            self.take(*self.unread.popleft())

    # The way there.

    def send(self, kind: str, data: bytes) -> None:
        other, network = self.other, self.network
        if other is None or self.silent:
            return
        world = network.world
        network.sent += 1
        if network.meter is not None and data:
            network.meter("stream", self.here, self.there, data)
        link = self.loop.host.out
        leaves = link.through(len(data), world.now)
        if link.rate:
            if self.leaves_at <= world.now:
                self.burst = 0
            self.burst, self.leaves_at = self.burst + len(data), leaves
        at = max(leaves + self.delay(other.loop.host), self.arrives_at)
        self.arrives_at = at
        world.at(at, self.reach if other.loop.host.into.rate else self.arrive, kind, data)

    def reach(self, kind: str, data: bytes) -> None:
        """At the other machine's link."""
        other = self.other
        if other is not None:
            world = self.network.world
            world.at(other.loop.host.into.through(len(data), world.now), self.arrive, kind, data)

    def arrive(self, kind: str, data: bytes) -> None:
        other = self.other
        if self.silent or other is None:
            return
        network, here, there = self.network, self.loop.host, other.loop.host
        if self.held or not there.on or (network.cuts and network.blocked(here, there)):
            if self.gone and kind == "reset":
                self.held.clear()  # what was held up is lost with the one who sent it
            self.held.append((kind, data))
            self.stuck(there.on)
        elif other.silent or (other.gone and kind == "data"):
            network.world.after(other.delay(here), self.come, "reset", b"")
        else:
            if network.cuts and network.blocked(there, here):
                self.stuck(True)  # it comes, and its acknowledgement does not
            other.come(kind, data)

    def stuck(self, on: bool) -> None:
        network = self.network
        network.stalled[self] = None
        if self.stuck_at < 0:
            self.stuck_at = network.world.now
            if self.patience:
                network.world.after(self.patience, self.lose_patience, self.stuck_at)
        if not on:
            network.world.after(0.5, self.again)

    def lose_patience(self, since: float) -> None:
        if self.stuck_at == since and not self.gone and not self.loop.dead:
            events._set_running_loop(self.loop)
            self.held.clear()
            self.network.stalled.pop(self, None)
            self.end(TimeoutError("no acknowledgement"))

    def again(self) -> None:
        """Send once more what was held up."""
        other, network = self.other, self.network
        if self.silent or other is None or self not in network.stalled:
            network.stalled.pop(self, None)
            return
        if not other.loop.host.on:
            network.world.after(0.5, self.again)
            return
        if network.blocked(self.loop.host, other.loop.host):
            return
        if not network.blocked(other.loop.host, self.loop.host):
            network.stalled.pop(self, None)
            self.stuck_at = -1.0
        held, self.held = self.held, deque()
        for kind, data in held:
            self.arrive(kind, data)

    # What comes.

    def come(self, kind: str, data: bytes) -> None:
        if self.gone or self.loop.dead or self.silent:
            return
        if self.paused or self.protocol is None:
            self.unread.append((kind, data))
            return
        loop, world = self.loop, self.network.world
        if loop.busy > world.now:
            loop.wait(Call(self.come, (kind, data)))
            return
        loop.busy = world.now + loop.cost
        events._set_running_loop(loop)
        self.take(kind, data)

    def take(self, *piece: Any) -> None:
        kind, data = piece
        if kind == "reset":
            self.end(ConnectionResetError("reset"))
        elif self.closing:
            return
        else:
            try:
                if kind == "data":
                    self.protocol.data_received(data)
                elif not self.protocol.eof_received():
                    self.close()
            except Exception as e:
                # As asyncio does: a protocol that raises loses its connection.
                self.loop.call_exception_handler({"message": "a protocol raised", "exception": e})
                self.abort()

    def write(self, data: Any) -> None:
        if not self.closing and not self.loop.dead:
            self.send("data", bytes(data))

    def write_eof(self) -> None:
        if not self.closing:
            self.send("eof", b"")

    # Ends.

    def close(self) -> None:
        if not self.closing:
            self.send("reset" if self.unread else "eof", b"")
            self.end(None)

    def abort(self) -> None:
        if not self.closing:
            self.send("reset", b"")
            self.end(None)

    def end(self, error: Exception | None) -> None:
        if not self.gone:
            first, self.closing, self.gone = not self.closing, True, True
            self.loop.ends.pop(self, None)
            if first and self.protocol is not None:
                self.loop.call_soon(self.protocol.connection_lost, error)

    def vanish(self, reset: bool = False) -> None:
        """Its process has ended: the machine closes the connection."""
        if not self.gone:
            self.closing = self.gone = True
            self.send("reset" if reset else "eof", b"")

    def hush(self) -> None:
        """Its machine has lost power: nobody is told."""
        self.closing = self.gone = self.silent = True

    def get_write_buffer_size(self) -> int:
        waits = sum(len(data) for _, data in self.held) if self.held else 0
        late = self.leaves_at - self.network.world.now
        if late > 0:
            waits += min(int(late * self.loop.host.out.rate), self.burst)
        return max(waits - LISTEN_MOST, 0)

    __hash__ = object.__hash__


class Mail(asyncio.DatagramTransport):
    """A datagram socket."""

    def __init__(self, network: Network, loop: ProcessLoop, here: Address, protocol: Any) -> None:
        super().__init__({"sockname": here})
        self.network, self.loop, self.here, self.protocol = network, loop, here, protocol
        network.posts[here] = self

    def sendto(self, data: Any, addr: Any = None) -> None:
        network = self.network
        host = network.hosts.get(addr[0])
        if self.loop.dead or host is None or network.draw.random() < network.loss:
            return
        if network.meter is not None:
            network.meter("datagram", self.here, addr, bytes(data))
        if host.on and not network.blocked(self.loop.host, host):
            network.sent += 1
            now, own = network.world.now, self.loop.host
            if own.out.waits(now) > FULL:
                network.dropped += 1
                return
            late = own.out.through(len(data), now) - now
            network.world.after(late + network.delay(own, host), self.reach, host, addr, bytes(data))

    def reach(self, host: Host, address: Address, data: bytes) -> None:
        """At the other machine's link."""
        network, now = self.network, self.network.world.now
        if host.into.waits(now) > FULL:
            network.dropped += 1
        elif host.into.rate:
            network.world.at(host.into.through(len(data), now), self.arrive, host, address, data)
        else:
            self.arrive(host, address, data)

    def arrive(self, host: Host, address: Address, data: bytes) -> None:
        post = self.network.posts.get(address)
        if post is not None and host.on and not post.loop.dead:
            if post.loop.busy > self.network.world.now:
                post.loop.wait(Call(self.arrive, (host, address, data)))
                return
            post.loop.busy = self.network.world.now + post.loop.cost
            events._set_running_loop(post.loop)
            post.protocol.datagram_received(data, self.here)

    def close(self) -> None:
        if self.network.posts.get(self.here) is self:
            del self.network.posts[self.here]


def loop_of(network: Network, host: Host, name: str) -> ProcessLoop:
    return ProcessLoop(network, host, name)  # type: ignore[abstract]  # of files and threads there are none


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one process on one machine."""

    def __init__(self, network: Network, host: Host, name: str) -> None:
        self.network, self.world, self.host, self.name = network, network.world, host, name
        self.dead = False
        self.busy = 0.0  # till then it does nothing else
        self.cost = 0.0  # s that each piece of what comes takes it
        self.ends: dict[End, None] = {}
        self.waiting: deque[Due] = deque()  # what came while it was busy, in that order
        self.called: deque[Due] = deque()  # what it has called for soon itself, which goes first
        self.wakes = False

    def wait(self, due: Due, called: bool = False) -> None:
        """Once this process is free; one look at the queue, however much waits."""
        (self.called if called else self.waiting).append(due)
        if not self.wakes:
            self.wakes = True
            self.world.at(self.busy, self.wake)

    def wake(self) -> None:
        world, called, waiting = self.world, self.called, self.waiting
        while (called or waiting) and self.busy <= world.now and not world.soon:
            due = called.popleft() if called else waiting.popleft()
            if due._cancelled or (self.dead and not isinstance(due, Call)):
                continue  # a call of the network's own looks itself whether the process lives
            events._set_running_loop(self)
            due._run()
        self.wakes = bool(called or waiting)
        if self.wakes:
            world.at(self.busy, self.wake)

    def die(self, power: bool, draw: random.Random | None = None) -> None:
        """At once, as by SIGKILL; ``power``: the machine goes with it, and says nothing."""
        if self.dead:
            return
        self.dead = True
        for end in list(self.ends):
            if power:
                end.hush()
            else:
                end.vanish(draw is not None and draw.random() < 0.3)
        self.ends.clear()
        network = self.network
        for address in [a for a, item in network.listeners.items() if item.loop is self]:
            del network.listeners[address]
        for address in [a for a, post in network.posts.items() if post.loop is self]:
            del network.posts[address]

    # What asyncio needs.

    def time(self) -> float:
        return self.world.now

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:  # type: ignore[override]
        handle = asyncio.Handle(callback, args, self, context)
        self.world.soon.append(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:  # type: ignore[override]
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.world.push(max(when, self.world.now), handle)
        return handle

    def call_later(self, delay: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:  # type: ignore[override]
        return self.call_at(self.world.now + delay, callback, *args, context=context)

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
            self.world.faults.append((self.world.now, self.name, f"{context.get('message')}: {error!r}"))

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **kwargs: Any
    ) -> Listener:
        if (host, port) in self.network.listeners:
            raise OSError(f"address in use: {host}:{port}")
        listener = self.network.listeners[host, port] = Listener(self, (host, port), protocol_factory)
        return listener

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **kwargs: Any
    ) -> tuple[End, Any]:
        future: asyncio.Future[End] = self.create_future()

        def done(end: End) -> None:
            if future.done():
                end.abort()
            else:
                future.set_result(end)

        def failed(error: OSError) -> None:
            if not future.done():
                future.set_exception(error)

        dial = self.network.connect(self, (host, port), protocol_factory, done, failed)
        try:
            end = await future
        except BaseException:
            dial.stop()
            raise
        return end, end.protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], local_addr: Address, **kwargs: Any
    ) -> tuple[Mail, Any]:
        if local_addr in self.network.posts:
            raise OSError(f"address in use: {local_addr}")
        protocol = protocol_factory()
        mail = Mail(self.network, self, local_addr, protocol)
        protocol.connection_made(mail)
        return mail, protocol
