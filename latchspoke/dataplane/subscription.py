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
from latchspoke.membership.words import Member
from latchspoke.net.clock import Clock
from latchspoke.registry.registry import BeatError, Entry
from latchspoke.transport.connection import Message, MessageConnection, dial
from latchspoke.transport.log import log

MAX_PROOF_INTERVAL_S = 0.8  # s between questions for a proof, at most
PROOFS_PER_LEASE = 5.0  # of them at least while one lasts
MAX_SILENT_INTERVALS = 2.0  # of these pauses without an answer, and another source is tried
FIRST_PROOF_DIVISOR = (
    4  # a first proof must come within this part of ``contactS``: two sources in a row may be cut off
)
FAILURE_MEMORY_S = 5.0  # s that a source which has failed comes after all others
TRANSFER_PROGRESS_BYTES = 4096  # bytes between two questions: the source is sending something long
MAX_TRANSFER_S = 6.0  # s for what is long at the beginning of a connection
DIAL_TIMEOUT_S = 0.5  # s
RECONNECT_DELAY_S = (0.1, 0.6)  # s between tries
MIN_CHECK_INTERVAL_S = 0.05  # s between two looks at a source
CONTROL_PLANE_RETRY_S = 2.0  # s between looks for a control machine while a gateway tells
NEAR_SOURCE_WAIT_S = (
    0.1  # s from the first word on other processes until a far source is taken for want of a near one
)
DISCOVERY_WAIT_S = 0.5  # s from the start until a far source is taken though no other process is known
NEARER_SOURCE_DELAY_S = (4.0, 10.0)  # s on a far source until a near one that is alive takes its place
UNKNOWN_SERVER_TTL_S = 8.0  # s that a server may be unknown to the source before it has ended here too

Address = tuple[str, int]


class Source(msgspec.Struct):
    """Somebody who can tell. The region of a seed of whom nothing else is known is ''."""

    name: str
    address: Address
    zone: str
    region: str
    gateway: bool = False


class Subscription(msgspec.Struct):
    """The link, and what came of it. ``changed`` gets new orders and servers that are news."""

    name: str
    zone: str
    region: str
    clock: Clock
    rng: random.Random
    follower: Follower
    lease: Lease
    sources: Callable[[], list[Source]]
    on_change: Callable[[bool, list[Entry]], None]
    on_evidence: Callable[[list[Any]], None] = lambda entries: None  # gets what others saw of servers
    first_proof_timeout: float = 1.0  # s for the first proof of a connection
    on_relay: Callable[[MessageConnection, Message], None] = (
        lambda wire, message: None
    )  # gets what is to be forwarded
    connection: MessageConnection | None = None
    source: Source | None = None
    pending_proofs: dict[int, float] = msgspec.field(default_factory=dict)
    last_progress_at: float = 0.0
    failed_at: dict[Address, float] = msgspec.field(
        default_factory=dict
    )  # a seed may be known by a name, too
    proof_id: int = 0
    stopped: bool = False
    synchronized: bool = False  # this connection has brought the whole
    awaiting_first_proof: bool = True  # no proof has come on it yet
    started_at: float = 0.0
    peers_known_at: float | None = None  # when another process than the seeds was first known

    @property
    def published_state(self) -> Board:
        return self.follower.board

    @property
    def proof_interval(self) -> float:
        """s between questions for a proof."""
        return min(MAX_PROOF_INTERVAL_S, self.lease.lasts / PROOFS_PER_LEASE)

    async def run(self) -> None:
        """For the life of the process."""
        self.started_at = self.clock.now()
        while not self.stopped:
            source = self.choose_source(self.clock.now())
            if source is None:
                await asyncio.sleep(RECONNECT_DELAY_S[0])
                continue
            if self.should_wait_for_near_source(source, self.clock.now()):
                await asyncio.sleep(MIN_CHECK_INTERVAL_S / 2)
                continue
            wire = MessageConnection(self.handle_message, self.connection_closed)
            if await dial(wire, *source.address, DIAL_TIMEOUT_S):
                await self.follow(wire, source)
            self.failed_at[source.address] = self.clock.now()
            await asyncio.sleep(
                self.rng.uniform(*RECONNECT_DELAY_S) if len(self.failed_at) > 2 else RECONNECT_DELAY_S[0]
            )

    def choose_source(self, now: float) -> Source | None:
        """One that didn't fail lately, control before gateways, near before far; else who failed first.

        Who lies in one region with one that failed lately may be cut off with it, and comes after the others.
        """
        sources = self.sources()
        late = {address for address, at in self.failed_at.items() if now - at < FAILURE_MEMORY_S}
        doubted = {s.region for s in sources if s.address in late and not s.gateway}

        def order(source: Source) -> tuple[float, bool, bool, int, float]:
            member_sources = 0 if source.zone == self.zone else 1 if source.region == self.region else 2
            failed = self.failed_at[source.address] if source.address in late else -1e9
            return failed, source.gateway, source.region in doubted, member_sources, self.rng.random()

        return min(sources, key=order, default=None)

    def should_wait_for_near_source(self, source: Source, now: float) -> bool:
        """Whether a near source may be known in a moment: a process that begins knows only the seeds.

        What a source tells crosses regions as often as there are gateways beyond its own.
        """
        if source.region == self.region or source.address in self.failed_at:
            return False
        if self.peers_known_at is None and any(known.region for known in self.sources()):
            self.peers_known_at = now
        if self.peers_known_at is None:
            return now - self.started_at < DISCOVERY_WAIT_S
        return now - self.peers_known_at < NEAR_SOURCE_WAIT_S

    def nearer_source_available(self, source: Source, now: float) -> bool:
        """Whether a control machine of this region is alive and didn't fail lately, other than ``source``."""
        if source.gateway or source.region == self.region:
            return False
        best = self.choose_source(now)
        return best is not None and not best.gateway and best.region == self.region

    async def follow(self, wire: MessageConnection, source: Source) -> None:
        """Until it breaks, says nothing, or something better may be had."""
        self.connection, self.source, self.synchronized = wire, source, False
        self.follower.begin()
        self.pending_proofs.clear()
        begun = self.last_progress_at = self.clock.now()
        self.awaiting_first_proof = True
        orders = self.published_state.orders
        hello = {"k": "hello", "name": self.name, "zone": self.zone, "packs": True}
        wire.send(hello | {"index": orders.index, "version": orders.version})
        received = 0
        move_at = begun + self.rng.uniform(*NEARER_SOURCE_DELAY_S)
        while not wire.closed and not self.stopped:
            now = self.clock.now()
            if wire.received_bytes - received > TRANSFER_PROGRESS_BYTES and now - begun < MAX_TRANSFER_S:
                # A long message is on its way: the proof comes behind it.
                self.last_progress_at, received = now, wire.received_bytes
            left = (
                self.last_progress_at
                + (
                    self.first_proof_timeout
                    if self.awaiting_first_proof
                    else MAX_SILENT_INTERVALS * self.proof_interval
                )
                - now
            )
            if left <= 0:
                wire.end("proves nothing")
                break
            if source.gateway and now - begun > CONTROL_PLANE_RETRY_S:
                self.failed_at = {a: t for a, t in self.failed_at.items() if a == source.address}
                wire.end("looks for a control machine")
                break
            if now >= move_at and self.nearer_source_available(source, now):
                wire.end("goes on at a nearer source")
                break
            self.proof_id += 1
            self.pending_proofs[self.proof_id] = now
            wire.send({"k": "prove", "t": self.proof_id})
            entries = self.follower.forget(now, UNKNOWN_SERVER_TTL_S)
            if entries:
                self.on_change(False, entries)
            await asyncio.sleep(min(self.proof_interval, max(left, MIN_CHECK_INTERVAL_S)))
        self.connection = None

    def handle_message(self, wire: MessageConnection, message: Message) -> None:
        now = self.clock.now()
        try:
            match message.get("k"):
                case "proven":
                    self.handle_proof(message, now)
                case "relay":
                    self.on_relay(wire, message)
                case "hot":
                    self.on_evidence(message["e"])
                case "whole" | "orders" | "servers":
                    ordered, entries = self.follower.take(message, now)
                    self.synchronized = True
                    orders = self.published_state.orders
                    wire.send(
                        {"k": "ack", "n": message["n"], "index": orders.index, "version": orders.version}
                    )
                    if ordered or entries:
                        self.on_change(ordered, entries)
        except GapError as e:
            log("feed-gap", source=wire.peer, why=str(e))
            self.follower.begin()
            wire.send({"k": "again", "version": self.published_state.orders.version})
        except (BeatError, KeyError, TypeError, ValueError) as e:
            wire.end(f"a message that can't be read: {e!r}")

    def handle_proof(self, message: Message, now: float) -> None:
        at = self.pending_proofs.pop(int(message["t"]), None)
        if at is None:
            return
        for tag in [tag for tag, when in self.pending_proofs.items() if when < at]:
            del self.pending_proofs[tag]
        age = float(message.get("age", 0.0))
        if "index" not in message:
            return  # it can't prove anything now
        self.last_progress_at, self.awaiting_first_proof = now, False
        if self.source is not None:
            self.failed_at.pop(self.source.address, None)
        if int(message["index"]) <= self.published_state.orders.index and self.published_state.orders.index:
            self.lease.proven(at - age)
            self.on_change(False, [])

    def connection_closed(self, wire: MessageConnection, reason: str) -> None:
        if wire is self.connection:
            log("feed-ended", source=wire.peer, why=reason)

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.end("stops")


def member_sources(members: list[Member], gateways: bool) -> list[Source]:
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
