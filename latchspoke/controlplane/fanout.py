"""Fan-out of soft state to the other control-plane nodes, with one message per remote region.

A node sends an update to the nodes of its own region and to one node of each other region, which forwards it
within that region. A lost update is recovered by the periodic heartbeat reports: a server that is unknown to
the receiver is requested from the sender.

State that a majority must have before it is acknowledged is sent to each node directly.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from zlib import crc32

from latchspoke.distribution.published_state import encode_entries
from latchspoke.transport.connection import Message

FORWARD_FIELD = "fan"  # present if the receiver is to forward the message within its region
MAX_REQUESTED_SERVERS = 200  # per message


class RegionTopology:
    """The regions of the other control-plane nodes, and which of them forward messages."""

    def __init__(self, own_name: str, region: str, rng: random.Random) -> None:
        self.own_name, self.region, self.rng = own_name, region, rng
        self.region_by_node: dict[str, str] = {}
        self.forwarding_nodes: set[str] = set()  # have announced that they forward and decompress

    def in_own_region(self, names: Iterable[str]) -> list[str]:
        """The nodes of this region, and those whose region is unknown."""
        return [name for name in names if self.region_by_node.get(name, self.region) in (self.region, "")]

    def targets(self, names: Collection[str], is_reachable: Callable[[str], bool]) -> dict[str, bool]:
        """The nodes to send an update for all of ``names`` to, and whether each is to forward it.

        ``is_reachable``: whether a node can be relied on to receive it. Without such a forwarding node, all
        nodes of the region are targets.
        """
        forward_by_target = dict.fromkeys(self.in_own_region(names), False)
        distant: defaultdict[str, list[str]] = defaultdict(list)
        for name in names:
            if name not in forward_by_target:
                distant[self.region_by_node[name]].append(name)
        for region_nodes in distant.values():
            forwarders = [
                name for name in region_nodes if name in self.forwarding_nodes and is_reachable(name)
            ]
            if len(region_nodes) > 1 and forwarders:
                forward_by_target[self.rng.choice(sorted(forwarders))] = True
            else:
                forward_by_target |= dict.fromkeys(region_nodes, False)
        return forward_by_target

    def sends_snapshot(self, newcomer: str, alive: Iterable[str]) -> bool:
        """Whether this node sends a snapshot to a peer that has just connected.

        All nodes of the newcomer's region do, and one of each other region, chosen by the newcomer's name.
        """
        if newcomer in self.in_own_region([newcomer]):
            return True
        candidates = sorted({*self.in_own_region(alive), self.own_name} - {newcomer})
        return candidates[crc32(newcomer.encode()) % len(candidates)] == self.own_name


def servers_message(entries: list[Message], compress: bool) -> Message:
    """The message with servers for peers. ``compress``: all receivers can decompress it."""
    return {"k": "roster"} | encode_entries(entries, compress)
