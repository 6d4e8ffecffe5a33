"""Soft state for all other control machines that crosses each border between regions once.

Whoever has news sends it to the control machines of its own region, and to one of each other region, which
passes it on to those beside it. What is lost on the way, as with a machine that fails between, is asked for:
the word on heartbeats names each server once a second, and one that is not known is wanted from its sender.

What must be known to a majority before it is acknowledged goes to each machine directly, and not by this.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from zlib import crc32

from latchspoke.distribution.published_state import encode_entries
from latchspoke.transport.connection import Message

FORWARD_FIELD = "fan"  # the field that asks the receiver to pass a message on within its region
MAX_REQUESTED_SERVERS = 200  # servers asked for at once


class RegionTopology:
    """Where the other control machines stand, and which of them pass news on."""

    def __init__(self, own_name: str, region: str, rng: random.Random) -> None:
        self.own_name, self.region, self.rng = own_name, region, rng
        self.region_by_node: dict[str, str] = {}  # region by name
        self.forwarding_nodes: set[str] = set()  # names of those that have said that they pass news on

    def in_own_region(self, names: Iterable[str]) -> list[str]:
        """Those of this region, and those of whom no region is known."""
        return [name for name in names if self.region_by_node.get(name, self.region) in (self.region, "")]

    def targets(self, names: Collection[str], is_reachable: Callable[[str], bool]) -> dict[str, bool]:
        """To whom news for all of these goes, and whether it is to be passed on there.

        ``sound``: whether what is sent there surely arrives. A region without such a machine is told whole.
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
        """Whether this machine tells one that has just connected all it knows.

        All of the newcomer's region do, and of each other region one, by the newcomer's name.
        """
        if newcomer in self.in_own_region([newcomer]):
            return True
        candidates = sorted({*self.in_own_region(alive), self.own_name} - {newcomer})
        return candidates[crc32(newcomer.encode()) % len(candidates)] == self.own_name


def servers_message(entries: list[Message], compress: bool) -> Message:
    """Servers for other control machines; ``packs``: all that get it can inflate them."""
    return {"k": "roster"} | encode_entries(entries, compress)
