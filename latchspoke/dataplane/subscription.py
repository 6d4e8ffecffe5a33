"""The subscription of a gateway to the control plane, and the proofs that keep its lease valid.

A gateway holds one connection to a control-plane node, preferably the nearest that can prove that its state
is current. If none is reachable, another gateway serves as the source; the age of its proof is taken into
account.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from latchspoke.distribution.published_state import Follower, GapError, Lease, PublishedState
from latchspoke.membership.messages import Member
from latchspoke.net.clock import Clock
from latchspoke.registry.registry import Entry, HeartbeatError
from latchspoke.transport.connection import Message, MessageConnection, dial
from latchspoke.transport.log import log

MAX_PROOF_INTERVAL_S = 0.8
PROOFS_PER_LEASE = 5.0  # at least, while a lease lasts
MAX_SILENT_INTERVALS = 2.0  # proof intervals without an answer before another source is tried
# The first proof must arrive within this part of ``contactS``, so that two sources in a row may be cut off.
FIRST_PROOF_DIVISOR = 4
FAILURE_MEMORY_S = 5.0  # a source that failed this recently is tried after all others
TRANSFER_PROGRESS_BYTES = 4096  # received between two proof requests: a long message is in transfer
MAX_TRANSFER_S = 6.0  # for the long messages at the start of a connection
DIAL_TIMEOUT_S = 0.5
RECONNECT_DELAY_S = (0.1, 0.6)  # minimum, maximum
MIN_CHECK_INTERVAL_S = 0.05
CONTROL_PLANE_RETRY_S = 2.0  # between attempts to reach a control-plane node while a gateway is the source
NEAR_SOURCE_WAIT_S = 0.1  # after the first other process is known, before a distant source is chosen
DISCOVERY_WAIT_S = 0.5  # after the start, before a distant source is chosen though no other process is known
NEARER_SOURCE_DELAY_S = (4.0, 10.0)  # on a distant source, before switching to a near one (minimum, maximum)
UNKNOWN_SERVER_TTL_S = 8.0  # a server that the source does not know is removed after this time

Address = tuple[str, int]


class Source(msgspec.Struct):
    """A process that can be subscribed to. ``region`` is '' for a seed of which nothing else is known."""

    name: str
    address: Address
    zone: str
    region: str
    gateway: bool = False


class Subscription(msgspec.Struct):
    """The connection to the current source.

    ``on_change`` receives whether the configuration has changed, and the server entries that have changed.
    """

    name: str
    zone: str
    region: str
    clock: Clock
    rng: random.Random
    follower: Follower
    lease: Lease
    sources: Callable[[], list[Source]]
    on_change: Callable[[bool, list[Entry]], None]
    # Receives other gateways' evidence on servers.
    on_evidence: Callable[[list[Any]], None] = lambda entries: None
    first_proof_timeout: float = 1.0  # s
    # Receives messages to relay between control-plane nodes.
    on_relay: Callable[[MessageConnection, Message], None] = lambda connection, message: None
    connection: MessageConnection | None = None
    source: Source | None = None
    pending_proofs: dict[int, float] = msgspec.field(default_factory=dict)
    last_progress_at: float = 0.0
    # By address, as one process may be known under two names (a seed and a member).
    failed_at: dict[Address, float] = msgspec.field(default_factory=dict)
    proof_id: int = 0
    stopped: bool = False
    synchronized: bool = False  # this connection has delivered a full snapshot
    awaiting_first_proof: bool = True  # no proof has arrived on this connection yet
    started_at: float = 0.0
    peers_known_at: float | None = None  # when a process other than a seed was first known

    @property
    def published_state(self) -> PublishedState:
        """The configuration and servers as known here."""
        return self.follower.published_state

    @property
    def proof_interval(self) -> float:
        """Seconds between requests for a proof."""
        return min(MAX_PROOF_INTERVAL_S, self.lease.duration_s / PROOFS_PER_LEASE)

    async def run(self) -> None:
        """Keep a subscription until ``stop``."""
        self.started_at = self.clock.now()
        while not self.stopped:
            source = self.choose_source(self.clock.now())
            if source is None:
                await asyncio.sleep(RECONNECT_DELAY_S[0])
                continue
            if self.should_wait_for_near_source(source, self.clock.now()):
                await asyncio.sleep(MIN_CHECK_INTERVAL_S / 2)
                continue
            connection = MessageConnection(self.handle_message, self.connection_closed)
            if await dial(connection, *source.address, DIAL_TIMEOUT_S):
                try:
                    await self.follow(connection, source)
                finally:
                    self.connection = None
                    connection.end("not followed any more")
            self.failed_at[source.address] = self.clock.now()
            await asyncio.sleep(
                self.rng.uniform(*RECONNECT_DELAY_S) if len(self.failed_at) > 2 else RECONNECT_DELAY_S[0]
            )

    def choose_source(self, now: float) -> Source | None:
        """The preferred source: not failed recently, control plane before gateways, near before distant.

        Sources in the same region as one that failed recently may be cut off with it and come after the
        others. If all have failed, the one whose failure is longest ago is taken.
        """
        sources = self.sources()
        recently_failed = {
            address for address, when in self.failed_at.items() if now - when < FAILURE_MEMORY_S
        }
        suspect_regions = {s.region for s in sources if s.address in recently_failed and not s.gateway}

        def rank(source: Source) -> tuple[float, bool, bool, int, float]:
            distance = 0 if source.zone == self.zone else 1 if source.region == self.region else 2
            failed = self.failed_at[source.address] if source.address in recently_failed else -1e9
            return failed, source.gateway, source.region in suspect_regions, distance, self.rng.random()

        return min(sources, key=rank, default=None)

    def should_wait_for_near_source(self, source: Source, now: float) -> bool:
        """Whether to delay connecting to a distant source because a near one may become known shortly.

        A starting process knows only the seeds. State crosses regions once for each gateway with a distant
        source.
        """
        if source.region == self.region or source.address in self.failed_at:
            return False
        if self.peers_known_at is None and any(known.region for known in self.sources()):
            self.peers_known_at = now
        if self.peers_known_at is None:
            return now - self.started_at < DISCOVERY_WAIT_S
        return now - self.peers_known_at < NEAR_SOURCE_WAIT_S

    def nearer_source_available(self, source: Source, now: float) -> bool:
        """Whether another control-plane node, in this region and without recent failure, can be used."""
        if source.gateway or source.region == self.region:
            return False
        candidate = self.choose_source(now)
        return candidate is not None and not candidate.gateway and candidate.region == self.region

    async def follow(self, connection: MessageConnection, source: Source) -> None:
        """Follow a source until the connection breaks, goes silent or a better source is available."""
        self.connection, self.source, self.synchronized = connection, source, False
        self.follower.reset_sequence()
        self.pending_proofs.clear()
        connected_at = self.last_progress_at = self.clock.now()
        self.awaiting_first_proof = True
        configuration = self.published_state.committed
        hello = {"k": "hello", "name": self.name, "zone": self.zone, "packs": True}
        connection.send(hello | {"index": configuration.index, "version": configuration.version})
        received = 0
        move_at = connected_at + self.rng.uniform(*NEARER_SOURCE_DELAY_S)
        while not connection.closed and not self.stopped:
            now = self.clock.now()
            if (
                connection.received_bytes - received > TRANSFER_PROGRESS_BYTES
                and now - connected_at < MAX_TRANSFER_S
            ):
                # A long message is in transfer; the proof follows it.
                self.last_progress_at, received = now, connection.received_bytes
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
                connection.end("no proof received in time")
                break
            if source.gateway and now - connected_at > CONTROL_PLANE_RETRY_S:
                self.failed_at = {a: t for a, t in self.failed_at.items() if a == source.address}
                connection.end("looking for a control-plane node")
                break
            if now >= move_at and self.nearer_source_available(source, now):
                connection.end("switching to a nearer source")
                break
            self.proof_id += 1
            self.pending_proofs[self.proof_id] = now
            connection.send({"k": "prove", "t": self.proof_id})
            entries = self.follower.expire_missing(now, UNKNOWN_SERVER_TTL_S)
            if entries:
                self.on_change(False, entries)
            await asyncio.sleep(min(self.proof_interval, max(left, MIN_CHECK_INTERVAL_S)))

    def handle_message(self, connection: MessageConnection, message: Message) -> None:
        """A message from the source."""
        now = self.clock.now()
        try:
            match message.get("k"):
                case "proven":
                    self.handle_proof(message, now)
                case "relay":
                    self.on_relay(connection, message)
                case "hot":
                    self.on_evidence(message["e"])
                case "whole" | "orders" | "servers":
                    configuration_changed, entries = self.follower.apply(message, now)
                    self.synchronized = True
                    configuration = self.published_state.committed
                    connection.send(
                        {
                            "k": "ack",
                            "n": message["n"],
                            "index": configuration.index,
                            "version": configuration.version,
                        }
                    )
                    if configuration_changed or entries:
                        self.on_change(configuration_changed, entries)
        except GapError as error:
            log("feed-gap", source=connection.peer, why=str(error))
            self.follower.reset_sequence()
            connection.send({"k": "again", "version": self.published_state.committed.version})
        except (HeartbeatError, KeyError, TypeError, ValueError) as error:
            connection.end(f"malformed message: {error!r}")

    def handle_proof(self, message: Message, now: float) -> None:
        """The answer to a proof request; without an index the source cannot prove anything at present."""
        requested_at = self.pending_proofs.pop(int(message["t"]), None)
        if requested_at is None:
            return
        for proof_id in [
            proof_id for proof_id, sent_at in self.pending_proofs.items() if sent_at < requested_at
        ]:
            del self.pending_proofs[proof_id]
        age = float(message.get("age", 0.0))
        if "index" not in message:
            return
        self.last_progress_at, self.awaiting_first_proof = now, False
        if self.source is not None:
            self.failed_at.pop(self.source.address, None)
        if (
            int(message["index"]) <= self.published_state.committed.index
            and self.published_state.committed.index
        ):
            self.lease.renew(requested_at - age)
            self.on_change(False, [])

    def connection_closed(self, connection: MessageConnection, reason: str) -> None:
        """Log the end of the current connection."""
        if connection is self.connection:
            log("feed-ended", source=connection.peer, why=reason)

    def stop(self) -> None:
        """End ``run`` and close the connection."""
        self.stopped = True
        if self.connection is not None:
            self.connection.end("shutting down")


def member_sources(members: list[Member], are_gateways: bool) -> list[Source]:
    """The members that accept subscriptions, as sources."""
    sources = []
    for member in members:
        host, _, port = str(member.meta.get("link", "")).rpartition(":")
        if host and port.isdigit():
            sources.append(
                Source(
                    member.name,
                    (host, int(port)),
                    str(member.meta.get("zone")),
                    str(member.meta.get("region")),
                    are_gateways,
                )
            )
    return sources
