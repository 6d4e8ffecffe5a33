"""Held connections between control machines: the register's messages, and what each has heard of servers."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable, Mapping

from latchspoke.configstore.voters import Location
from latchspoke.controlplane.fanout import PASS_ON, Regions
from latchspoke.controlplane.relays import Relays
from latchspoke.transport.wire import Message, Wire, dial

DIAL = 0.4  # s
PAUSE = (0.05, 0.5)  # s between tries
WAITING_MOST = 500  # messages for one that can't be reached; older ones go first
RAFT_WAITS = 20
DOUBTFUL = 0.35  # s that something sent may go without a word from the other side: two heartbeats


class Link:
    """What goes to one other control machine. Any message may be lost."""

    def __init__(self, peers: Peers, name: str) -> None:
        self.peers, self.name = peers, name
        host, _, port = name.rpartition(":")
        self.address = host, int(port)
        self.wire: Wire | None = None
        self.waiting: deque[Message] = deque(maxlen=RAFT_WAITS)
        self.unanswered: float | None = None  # when the first was sent after which nothing came from there
        self.heard_at = -math.inf  # directly, on any connection
        self.wanted = True
        self.task = asyncio.get_running_loop().create_task(self.work())

    def doubtful(self, now: float) -> bool:
        """Whether what is sent directly may not arrive."""
        if self.wire is None or self.wire.over:
            return True
        return self.unanswered is not None and now - self.unanswered > DOUBTFUL

    def heard(self, now: float) -> None:
        """The other side has said something, directly."""
        self.unanswered, self.heard_at = None, now

    def send(self, message: Message, now: float) -> bool:
        """Directly; whether it went out now. Else it waits for the connection."""
        if self.unanswered is None:
            self.unanswered = now
        if self.wire is not None and not self.wire.over:
            return self.wire.send(message)
        self.waiting.append(message)
        return False

    async def work(self) -> None:
        """Keep the connection open, until ``stop``."""
        pause = PAUSE[0]
        while self.wanted:
            over = asyncio.Event()

            def ended(wire: Wire, reason: str, over: asyncio.Event = over) -> None:
                over.set()

            wire = Wire(self.peers.heard_back, ended)
            if await dial(wire, *self.address, DIAL):
                pause = PAUSE[0]
                wire.tag = self.name
                wire.send({"k": "peer", "name": self.peers.me, "fans": 1})
                self.peers.joined(wire)
                while self.waiting:
                    wire.send(self.waiting.popleft())
                self.wire = wire
                await over.wait()
                self.wire = None
            await asyncio.sleep(pause)
            pause = min(pause * 2, PAUSE[1])

    def stop(self) -> None:
        """Close it for good."""
        self.wanted = False
        self.task.cancel()
        if self.wire is not None:
            self.wire.end("stops")


class Peers:
    """All, by inner address. ``joined`` gets a new connection, to be told all; ``heard_back`` answers."""

    def __init__(
        self,
        me: str,
        joined: Callable[[Wire], None],
        heard_back: Callable[[Wire, Message], None],
        relays: Relays,
        regions: Regions,
        clock: Callable[[], float],
    ) -> None:
        self.me, self.joined, self.heard_back = me, joined, heard_back
        self.relays, self.regions, self.clock = relays, regions, clock
        self.links: dict[str, Link] = {}
        self.alive: set[str] = set()

    def known(self, places: Mapping[str, Location], keep: set[str]) -> None:
        """Those that are alive; ``keep``: also those that may come back, as the register counts on them."""
        names = self.alive = set(places)
        self.regions.of.update((name, place.region) for name, place in places.items())
        for name in sorted((names | keep) - {self.me}):
            if name not in self.links:
                self.links[name] = Link(self, name)
        for name in [n for n in self.links if n not in names | keep]:
            self.links.pop(name).stop()

    def send(self, name: str, message: Message) -> None:
        """To one control machine, known or not."""
        link = self.links.get(name)
        if link is None and name != self.me:
            link = self.links[name] = Link(self, name)
        if link is not None:
            self.give(link, message)

    def all(self, message: Message) -> list[str]:
        """To every one that is connected, or reached by way of a gateway; who that is."""
        return [name for name, link in self.links.items() if self.give(link, message, False)]

    def fan_out(self, message: Message) -> None:
        """To all that are connected; it crosses each border between regions once."""
        now = self.clock()
        reached = [name for name, link in self.links.items() if link.wire is not None or name in self.alive]
        targets = self.regions.targets(reached, lambda name: not self.links[name].doubtful(now))
        for name, pass_on in targets.items():
            self.give(self.links[name], message | {PASS_ON: 1} if pass_on else message, False)

    def pass_on(self, message: Message) -> None:
        """What came from another region, to those beside this machine."""
        plain = {field: value for field, value in message.items() if field != PASS_ON}
        for name in self.regions.near(self.links):
            self.give(self.links[name], plain, False)

    def give(self, link: Link, message: Message, keep: bool = True) -> bool:
        """To one, by each way that may be of use; whether it was on its way. ``keep``: until connected."""
        now = self.clock()
        sent = link.send(message, now) if keep or link.wire is not None else False
        name = link.name
        astray = link.doubtful(now) or self.relays.answers(name, link.heard_at, now)
        if astray and name in self.alive:
            sent |= self.relays.send(name, message, now)
        return sent

    def heard(self, name: str) -> None:
        """A message from it has come directly."""
        if (link := self.links.get(name)) is not None:
            link.heard(self.clock())

    def inflates(self) -> bool:
        """Whether all that are alive can read servers that are deflated."""
        return self.alive - {self.me} <= self.regions.capable

    @property
    def connected(self) -> int:
        """To how many there is a connection."""
        return sum(link.wire is not None and not link.wire.over for link in self.links.values())

    def stop(self) -> None:
        """Close all connections for good."""
        for link in self.links.values():
            link.stop()
