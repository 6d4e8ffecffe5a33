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

PASS_ON = "fan"  # the field that asks the receiver to pass a message on within its region
WANTED_MOST = 200  # servers asked for at once


class Regions:
    """Where the other control machines stand, and which of them pass news on."""

    def __init__(self, me: str, region: str, draw: random.Random) -> None:
        self.me, self.region, self.draw = me, region, draw
        self.of: dict[str, str] = {}  # region by name
        self.capable: set[str] = set()  # names of those that have said that they pass news on

    def near(self, names: Iterable[str]) -> list[str]:
        """Those of this region, and those of whom no region is known."""
        return [name for name in names if self.of.get(name, self.region) in (self.region, "")]

    def targets(self, names: Collection[str], sound: Callable[[str], bool]) -> dict[str, bool]:
        """To whom news for all of these goes, and whether it is to be passed on there.

        ``sound``: whether what is sent there surely arrives. A region without such a machine is told whole.
        """
        found = dict.fromkeys(self.near(names), False)
        far: defaultdict[str, list[str]] = defaultdict(list)
        for name in names:
            if name not in found:
                far[self.of[name]].append(name)
        for members in far.values():
            relays = [name for name in members if name in self.capable and sound(name)]
            if len(members) > 1 and relays:
                found[self.draw.choice(sorted(relays))] = True
            else:
                found |= dict.fromkeys(members, False)
        return found

    def tells_whole(self, newcomer: str, alive: Iterable[str]) -> bool:
        """Whether this machine tells one that has just connected all it knows.

        All of the newcomer's region do, and of each other region one, by the newcomer's name.
        """
        if newcomer in self.near([newcomer]):
            return True
        beside = sorted({*self.near(alive), self.me} - {newcomer})
        return beside[crc32(newcomer.encode()) % len(beside)] == self.me


def roster(entries: list[Message], packs: bool) -> Message:
    """Servers for other control machines; ``packs``: all that get it can inflate them."""
    return {"k": "roster"} | encode_entries(entries, packs)
