"""Carries a membership's messages: one netstring of JSON in each datagram, one timer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from latchspoke.membership.packing import pack, unpack
from latchspoke.membership.watch import Membership, News
from latchspoke.membership.words import Address
from latchspoke.transport.netstring import FrameDecoder, FrameError, encode_frame

MOST = 4096  # bytes of a datagram that is read at all
CAST = "cast"  # the kind of what travels beside the membership's own messages
PACKS = "packs"  # the field of a member's meta that says that it reads deflated updates


class Post(asyncio.DatagramProtocol):
    """``news`` is called on the loop, after the datagrams that go with it were sent."""

    def __init__(
        self,
        membership: Membership,
        news: Callable[[News], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.membership = membership
        self.news = news
        self.clock = clock
        self.overheard: Callable[[dict[str, Any]], None] | None = None  # gets what others cast
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.at = -1.0  # when the timer fires, by the clock
        self.packs: set[Address] = set()  # those who read deflated updates
        self.sent = self.sent_bytes = self.received = self.dropped = self.failed = 0

    async def start(self, host: str, port: int) -> None:
        """Raises OSError if the address can't be had."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.membership.tick(self.clock())
        self.flush()

    def stop(self) -> None:
        """At once; ``leave`` first for an orderly end."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.transport:
            self.transport.close()
            self.transport = None

    def tell(self, meta: dict[str, Any]) -> None:
        """The own meta changed. Raises ValueError if it doesn't fit on a datagram."""
        self.membership.tell(meta, self.clock())
        self.flush()

    def reseed(self, seeds: Sequence[Address]) -> None:
        """Other seeds are to be asked from now on."""
        self.membership.reseed(seeds)

    def leave(self) -> None:
        """Tell others that this process leaves."""
        self.membership.leave(self.clock())
        self.flush()

    def cast(self, message: dict[str, Any], addresses: Iterable[Address]) -> None:
        """Beside the membership's own messages: once to each, and it may be lost."""
        data = encode_frame(message | {"k": CAST})
        for address in addresses:
            self.sent += 1
            self.sent_bytes += len(data)
            if self.transport:
                self.transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """A datagram has come; what is not ours is counted and dropped."""
        self.received += 1
        frames = FrameDecoder(MOST)
        try:
            found = frames.feed(data)
        except FrameError:
            found = []
        if len(found) != 1 or frames.buffer or not isinstance(found[0], dict):
            self.dropped += 1
            return
        if found[0].get("k") == CAST:
            if self.overheard is not None:
                self.overheard(found[0])
            return
        try:
            message = unpack(found[0])
        except ValueError:
            self.dropped += 1
            return
        self.membership.heard(message, (addr[0], addr[1]), self.clock())
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """A datagram could not be delivered."""
        self.failed += 1

    def flush(self) -> None:
        """Sends what the membership has to send, sets the timer, then tells what is new."""
        output = self.membership.take()
        for news in output.news:
            self.note(news)
        for address, message in output.messages:
            data = encode_frame(pack(message) if address in self.packs else message)
            self.sent += 1
            self.sent_bytes += len(data)
            if self.transport:
                self.transport.sendto(data, address)
        self._arm()
        for news in output.news:
            self.news(news)

    def note(self, news: News) -> None:
        """Whether a process reads deflated updates: another release may follow at the same address."""
        address = news.member.address
        if news.kind != "gone" and news.member.meta.get(PACKS):
            self.packs.add(address)
        elif news.kind in ("gone", "joined"):
            self.packs.discard(address)

    def _arm(self) -> None:
        due = self.membership.due()
        if self.timer and self.at == due:
            return
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.transport and due != float("inf"):
            self.at = due
            wait = max(0.0, due - self.clock())
            self.timer = asyncio.get_running_loop().call_later(wait, self._fire)

    def _fire(self) -> None:
        self.timer = None
        self.membership.tick(self.clock())
        self.flush()
