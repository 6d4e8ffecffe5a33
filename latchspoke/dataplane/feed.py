"""A gateway's held connection to who tells it the news, and the proof by which it may act.

It holds one to a control machine, the nearest that can prove what it tells. If none can be reached, another
gateway tells instead, and the age of its proof is counted in.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from latchspoke.distribution.board import Board, Follower, GapError, Lease
from latchspoke.membership.messages import Member
from latchspoke.net.clock import Clock
from latchspoke.registry.registry import BeatError, Entry
from latchspoke.transport.log import log
from latchspoke.transport.wire import Message, Wire, dial

PROVE = 0.8  # s between questions for a proof, at most
PROOFS = 5.0  # of them at least while one lasts
SILENT = 2.0  # of these pauses without an answer, and another source is tried
FIRST = 4  # a first proof must come within this part of ``contactS``: two sources in a row may be cut off
LATELY = 5.0  # s that a source which has failed comes after all others
MOVING = 4096  # bytes between two questions: the source is sending something long
LONGEST = 6.0  # s for what is long at the beginning of a connection
DIAL = 0.5  # s
PAUSE = (0.1, 0.6)  # s between tries
LEAST = 0.05  # s between two looks at a source
BACK = 2.0  # s between looks for a control machine while a gateway tells
ACQUAINTED = (
    0.1  # s from the first word on other processes until a far source is taken for want of a near one
)
UNACQUAINTED = 0.5  # s from the start until a far source is taken though no other process is known
MOVE = (4.0, 10.0)  # s on a far source until a near one that is alive takes its place
FORGOTTEN = 8.0  # s that a server may be unknown to the source before it has ended here too

Address = tuple[str, int]


class Source(msgspec.Struct):
    """Somebody who can tell. The region of a seed of whom nothing else is known is ''."""

    name: str
    address: Address
    zone: str
    region: str
    gateway: bool = False


class Feed(msgspec.Struct):
    """The link, and what came of it. ``changed`` gets new orders and servers that are news."""

    name: str
    zone: str
    region: str
    clock: Clock
    draw: random.Random
    follower: Follower
    lease: Lease
    sources: Callable[[], list[Source]]
    changed: Callable[[bool, list[Entry]], None]
    evidence: Callable[[list[Any]], None] = lambda entries: None  # gets what others saw of servers
    patience: float = 1.0  # s for the first proof of a connection
    relay: Callable[[Wire, Message], None] = lambda wire, message: None  # gets what is to be forwarded
    wire: Wire | None = None
    source: Source | None = None
    asked: dict[int, float] = msgspec.field(default_factory=dict)
    heard_at: float = 0.0
    failed: dict[Address, float] = msgspec.field(default_factory=dict)  # a seed may be known by a name, too
    tag: int = 0
    stopped: bool = False
    served: bool = False  # this connection has brought the whole
    first: bool = True  # no proof has come on it yet
    begun_at: float = 0.0
    acquainted_at: float | None = None  # when another process than the seeds was first known

    @property
    def board(self) -> Board:
        return self.follower.board

    @property
    def pause(self) -> float:
        """s between questions for a proof."""
        return min(PROVE, self.lease.lasts / PROOFS)

    async def run(self) -> None:
        """For the life of the process."""
        self.begun_at = self.clock.now()
        while not self.stopped:
            source = self.choose(self.clock.now())
            if source is None:
                await asyncio.sleep(PAUSE[0])
                continue
            if self.waits(source, self.clock.now()):
                await asyncio.sleep(LEAST / 2)
                continue
            wire = Wire(self.heard, self.ended)
            if await dial(wire, *source.address, DIAL):
                await self.follow(wire, source)
            self.failed[source.address] = self.clock.now()
            await asyncio.sleep(self.draw.uniform(*PAUSE) if len(self.failed) > 2 else PAUSE[0])

    def choose(self, now: float) -> Source | None:
        """One that didn't fail lately, control before gateways, near before far; else who failed first.

        Who lies in one region with one that failed lately may be cut off with it, and comes after the others.
        """
        sources = self.sources()
        late = {address for address, at in self.failed.items() if now - at < LATELY}
        doubted = {s.region for s in sources if s.address in late and not s.gateway}

        def order(source: Source) -> tuple[float, bool, bool, int, float]:
            near = 0 if source.zone == self.zone else 1 if source.region == self.region else 2
            failed = self.failed[source.address] if source.address in late else -1e9
            return failed, source.gateway, source.region in doubted, near, self.draw.random()

        return min(sources, key=order, default=None)

    def waits(self, source: Source, now: float) -> bool:
        """Whether a near source may be known in a moment: a process that begins knows only the seeds.

        What a source tells crosses regions as often as there are gateways beyond its own.
        """
        if source.region == self.region or source.address in self.failed:
            return False
        if self.acquainted_at is None and any(known.region for known in self.sources()):
            self.acquainted_at = now
        if self.acquainted_at is None:
            return now - self.begun_at < UNACQUAINTED
        return now - self.acquainted_at < ACQUAINTED

    def nearer(self, source: Source, now: float) -> bool:
        """Whether a control machine of this region is alive and didn't fail lately, other than ``source``."""
        if source.gateway or source.region == self.region:
            return False
        best = self.choose(now)
        return best is not None and not best.gateway and best.region == self.region

    async def follow(self, wire: Wire, source: Source) -> None:
        """Until it breaks, says nothing, or something better may be had."""
        self.wire, self.source, self.served = wire, source, False
        self.follower.begin()
        self.asked.clear()
        begun = self.heard_at = self.clock.now()
        self.first = True
        orders = self.board.orders
        hello = {"k": "hello", "name": self.name, "zone": self.zone, "packs": True}
        wire.send(hello | {"index": orders.index, "version": orders.version})
        received = 0
        move_at = begun + self.draw.uniform(*MOVE)
        while not wire.over and not self.stopped:
            now = self.clock.now()
            if wire.received - received > MOVING and now - begun < LONGEST:
                # A long message is on its way: the proof comes behind it.
                self.heard_at, received = now, wire.received
            left = self.heard_at + (self.patience if self.first else SILENT * self.pause) - now
            if left <= 0:
                wire.end("proves nothing")
                break
            if source.gateway and now - begun > BACK:
                self.failed = {a: t for a, t in self.failed.items() if a == source.address}
                wire.end("looks for a control machine")
                break
            if now >= move_at and self.nearer(source, now):
                wire.end("goes on at a nearer source")
                break
            self.tag += 1
            self.asked[self.tag] = now
            wire.send({"k": "prove", "t": self.tag})
            entries = self.follower.forget(now, FORGOTTEN)
            if entries:
                self.changed(False, entries)
            await asyncio.sleep(min(self.pause, max(left, LEAST)))
        self.wire = None

    def heard(self, wire: Wire, message: Message) -> None:
        now = self.clock.now()
        try:
            match message.get("k"):
                case "proven":
                    self.proven(message, now)
                case "relay":
                    self.relay(wire, message)
                case "hot":
                    self.evidence(message["e"])
                case "whole" | "orders" | "servers":
                    ordered, entries = self.follower.take(message, now)
                    self.served = True
                    orders = self.board.orders
                    wire.send(
                        {"k": "ack", "n": message["n"], "index": orders.index, "version": orders.version}
                    )
                    if ordered or entries:
                        self.changed(ordered, entries)
        except GapError as e:
            log("feed-gap", source=wire.peer, why=str(e))
            self.follower.begin()
            wire.send({"k": "again", "version": self.board.orders.version})
        except (BeatError, KeyError, TypeError, ValueError) as e:
            wire.end(f"a message that can't be read: {e!r}")

    def proven(self, message: Message, now: float) -> None:
        at = self.asked.pop(int(message["t"]), None)
        if at is None:
            return
        for tag in [tag for tag, when in self.asked.items() if when < at]:
            del self.asked[tag]
        age = float(message.get("age", 0.0))
        if "index" not in message:
            return  # it can't prove anything now
        self.heard_at, self.first = now, False
        if self.source is not None:
            self.failed.pop(self.source.address, None)
        if int(message["index"]) <= self.board.orders.index and self.board.orders.index:
            self.lease.proven(at - age)
            self.changed(False, [])

    def ended(self, wire: Wire, reason: str) -> None:
        if wire is self.wire:
            log("feed-ended", source=wire.peer, why=reason)

    def stop(self) -> None:
        self.stopped = True
        if self.wire is not None:
            self.wire.end("stops")


def near(members: list[Member], gateways: bool) -> list[Source]:
    """Members of the membership as sources."""
    found = []
    for member in members:
        host, _, port = str(member.meta.get("link", "")).rpartition(":")
        if host and port.isdigit():
            found.append(
                Source(
                    member.name,
                    (host, int(port)),
                    str(member.meta.get("zone")),
                    str(member.meta.get("region")),
                    gateways,
                )
            )
    return found
