"""UDP transport of the membership protocol: each datagram holds one JSON message framed as a netstring."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from latchspoke.membership.compression import compress_updates, decompress_updates
from latchspoke.membership.messages import Address
from latchspoke.membership.protocol import Membership, MembershipEvent
from latchspoke.transport.netstring import FrameDecoder, FrameError, encode_frame

MAX_DATAGRAM_BYTES = 4096  # larger datagrams are dropped
MULTICAST_KIND = "cast"  # application messages that are not part of the membership protocol
COMPRESSION_META_KEY = "packs"  # set in the metadata of members that accept compressed updates


class MembershipTransport(asyncio.DatagramProtocol):
    """Connects a ``Membership`` to a UDP socket and a timer.

    ``on_event`` is called on the event loop, after the datagrams of the same step were sent.
    """

    def __init__(
        self,
        membership: Membership,
        on_event: Callable[[MembershipEvent], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.membership = membership
        self.on_event = on_event
        self.clock = clock
        self.on_multicast: Callable[[dict[str, Any]], None] | None = None  # receives multicast messages
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_at = -1.0
        self.compression_peers: set[Address] = set()  # members that accept compressed updates
        self.sent = self.sent_bytes = self.received = self.dropped = self.failed = 0

    async def start(self, host: str, port: int) -> None:
        """Binds the socket and starts the protocol. Raises OSError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.membership.tick(self.clock())
        self.flush()

    def stop(self) -> None:
        """Closes the socket and the timer at once; call ``leave`` first to leave in order."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.transport:
            self.transport.close()
            self.transport = None

    def update_meta(self, meta: dict[str, Any]) -> None:
        """Replaces the local member's metadata. Raises ValueError if it does not fit into a datagram."""
        self.membership.update_meta(meta, self.clock())
        self.flush()

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seed addresses."""
        self.membership.set_seeds(seeds)

    def leave(self) -> None:
        """Announces to other members that this process leaves."""
        self.membership.leave(self.clock())
        self.flush()

    def multicast(self, message: dict[str, Any], addresses: Iterable[Address]) -> None:
        """Sends an application message once to each address, without acknowledgement or retry."""
        data = encode_frame(message | {"k": MULTICAST_KIND})
        for address in addresses:
            self.sent += 1
            self.sent_bytes += len(data)
            if self.transport:
                self.transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handles a datagram; invalid ones are counted and dropped."""
        self.received += 1
        frames = FrameDecoder(MAX_DATAGRAM_BYTES)
        try:
            decoded = frames.feed(data)
        except FrameError:
            decoded = []
        if len(decoded) != 1 or frames.buffer or not isinstance(decoded[0], dict):
            self.dropped += 1
            return
        if decoded[0].get("k") == MULTICAST_KIND:
            if self.on_multicast is not None:
                self.on_multicast(decoded[0])
            return
        try:
            message = decompress_updates(decoded[0])
        except ValueError:
            self.dropped += 1
            return
        self.membership.receive(message, (addr[0], addr[1]), self.clock())
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Counts a datagram that could not be delivered."""
        self.failed += 1

    def flush(self) -> None:
        """Sends pending messages, schedules the timer, then reports events."""
        output = self.membership.take_output()
        for event in output.events:
            self.note_compression_support(event)
        for address, message in output.messages:
            data = encode_frame(compress_updates(message) if address in self.compression_peers else message)
            self.sent += 1
            self.sent_bytes += len(data)
            if self.transport:
                self.transport.sendto(data, address)
        self._schedule_timer()
        for event in output.events:
            self.on_event(event)

    def note_compression_support(self, event: MembershipEvent) -> None:
        """Records whether a member accepts compressed updates; the release at an address may change."""
        address = event.member.address
        if event.kind != "gone" and event.member.meta.get(COMPRESSION_META_KEY):
            self.compression_peers.add(address)
        elif event.kind in ("gone", "joined"):
            self.compression_peers.discard(address)

    def _schedule_timer(self) -> None:
        due_at = self.membership.next_tick_at()
        if self.timer and self.timer_due_at == due_at:
            return
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.transport and due_at != float("inf"):
            self.timer_due_at = due_at
            delay_s = max(0.0, due_at - self.clock())
            self.timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.membership.tick(self.clock())
        self.flush()
