"""Connections between control-plane nodes, for Raft messages and the replication of the server registry."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping

from latchspoke.configstore.voters import Location
from latchspoke.controlplane.fanout import FORWARD_FIELD, RegionTopology
from latchspoke.controlplane.relays import GatewayRelays
from latchspoke.transport.connection import Message, MessageConnection, dial
from latchspoke.transport.frame_queue import FrameQueue
from latchspoke.transport.log import log
from latchspoke.transport.output_budget import OutputBudget

DIAL_TIMEOUT_S = 0.4
RECONNECT_DELAY_S = (0.05, 0.5)  # initial and maximum
MAX_PENDING_MESSAGES = 20  # while a peer is not connected
MAX_PENDING_BYTES = 2 * 1024 * 1024
UNANSWERED_TIMEOUT_S = 0.35  # without a message of the peer; two Raft heartbeats


class PeerLink:
    """The outbound connection to one peer, kept open. Any message may be lost."""

    def __init__(self, peers: Peers, name: str) -> None:
        self.peers, self.name = peers, name
        host, _, port = name.rpartition(":")
        self.address = host, int(port)
        self.connection: MessageConnection | None = None
        self.pending = FrameQueue(MAX_PENDING_MESSAGES, MAX_PENDING_BYTES)
        self.unanswered_since: float | None = None  # when the first unanswered message was sent
        self.last_received_at = -math.inf  # directly, on any connection of the peer
        self.running = True
        self.task = asyncio.get_running_loop().create_task(self.run())

    def is_unresponsive(self, now: float) -> bool:
        """Whether messages sent directly may not arrive."""
        if self.connection is None or self.connection.closed:
            return True
        return self.unanswered_since is not None and now - self.unanswered_since > UNANSWERED_TIMEOUT_S

    def record_received(self, now: float) -> None:
        """A direct message of the peer has arrived."""
        self.unanswered_since, self.last_received_at = None, now

    def send(self, message: Message, now: float) -> bool:
        """Send a message, or queue it for the connection; whether it was sent now."""
        if self.unanswered_since is None:
            self.unanswered_since = now
        if self.connection is not None and not self.connection.closed:
            return self.connection.send(message)
        self.pending.append(message)
        return False

    async def run(self) -> None:
        """Keep the connection open until ``stop``."""
        delay = RECONNECT_DELAY_S[0]
        while self.running:
            try:
                if await self.connect_once():
                    delay = RECONNECT_DELAY_S[0]
            except Exception as error:  # the link must last as long as the peer
                log("link-failed", peer=self.name, why=repr(error))
            await asyncio.sleep(delay)
            delay = min(delay * 2, RECONNECT_DELAY_S[1])

    async def connect_once(self) -> bool:
        """Connect and wait until the connection has closed; returns whether it was open."""
        closed = asyncio.Event()
        connection = MessageConnection(
            self.peers.on_message, lambda connection, reason: closed.set(), output=self.peers.output_budget
        )
        if not await dial(connection, *self.address, DIAL_TIMEOUT_S):
            return False
        try:
            connection.tag = self.name
            connection.send({"k": "peer", "name": self.peers.own_name, "fans": 1})
            self.peers.on_connected(connection)
            while self.pending:
                connection.write(self.pending.pop())
            self.connection = connection
            await closed.wait()
        finally:
            self.connection = None
            connection.end("the link has failed")
        return True

    def stop(self) -> None:
        """Close the connection for good."""
        self.running = False
        self.task.cancel()
        if self.connection is not None:
            self.connection.end("shutting down")


class Peers:
    """The links to all peers, by internal address.

    ``on_connected`` receives each new connection, ``on_message`` the peers' messages on it.
    """

    def __init__(
        self,
        own_name: str,
        on_connected: Callable[[MessageConnection], None],
        on_message: Callable[[MessageConnection, Message], None],
        relays: GatewayRelays,
        topology: RegionTopology,
        clock: Callable[[], float],
        output_budget: OutputBudget | None = None,
    ) -> None:
        self.output_budget = output_budget
        self.own_name, self.on_connected, self.on_message = own_name, on_connected, on_message
        self.relays, self.topology, self.clock = relays, topology, clock
        self.links: dict[str, PeerLink] = {}
        self.alive: set[str] = set()

    def update_nodes(self, places: Mapping[str, Location], keep_names: set[str]) -> None:
        """Update the live nodes. ``keep_names``: members of the replicated store, whose links are kept."""
        names = self.alive = set(places)
        self.topology.region_by_node.update((name, place.region) for name, place in places.items())
        for name in sorted((names | keep_names) - {self.own_name}):
            if name not in self.links:
                self.links[name] = PeerLink(self, name)
        for name in [name for name in self.links if name not in names | keep_names]:
            self.links.pop(name).stop()

    def send(self, name: str, message: Message) -> None:
        """Send a message to one node, which need not be known yet."""
        link = self.links.get(name)
        if link is None and name != self.own_name:
            link = self.links[name] = PeerLink(self, name)
        if link is not None:
            self.deliver(link, message)

    def broadcast(self, message: Message) -> list[str]:
        """Send a message to all peers; returns the names of those it was sent to, directly or by relay."""
        return [name for name, link in self.links.items() if self.deliver(link, message, False)]

    def fan_out(self, message: Message) -> None:
        """Send a message to all peers, once per remote region."""
        now = self.clock()
        reached = [
            name for name, link in self.links.items() if link.connection is not None or name in self.alive
        ]
        targets = self.topology.targets(reached, lambda name: not self.links[name].is_unresponsive(now))
        for name, should_forward in targets.items():
            self.deliver(self.links[name], message | {FORWARD_FIELD: 1} if should_forward else message, False)

    def forward_in_region(self, message: Message) -> None:
        """Forward a message from another region to the nodes of this region."""
        stripped = {field: value for field, value in message.items() if field != FORWARD_FIELD}
        for name in self.topology.in_own_region(self.links):
            self.deliver(self.links[name], stripped, False)

    def deliver(self, link: PeerLink, message: Message, queue: bool = True) -> bool:
        """Send a message by each path that may work; whether one accepted it.

        ``queue``: keep it for the connection if there is none.
        """
        now = self.clock()
        sent = link.send(message, now) if queue or link.connection is not None else False
        name = link.name
        use_relays = link.is_unresponsive(now) or self.relays.has_return_path(
            name, link.last_received_at, now
        )
        if use_relays and name in self.alive:
            sent |= self.relays.send(name, message, now)
        return sent

    def record_received(self, name: str) -> None:
        """A direct message of this peer has arrived."""
        if (link := self.links.get(name)) is not None:
            link.record_received(self.clock())

    def all_support_compression(self) -> bool:
        """Whether all live peers can decompress servers."""
        return self.alive - {self.own_name} <= self.topology.forwarding_nodes

    @property
    def connected_count(self) -> int:
        """The number of peers with an open connection."""
        return sum(link.connection is not None and not link.connection.closed for link in self.links.values())

    def stop(self) -> None:
        """Close all connections for good."""
        for link in self.links.values():
            link.stop()
