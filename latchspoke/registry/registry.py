"""Servers by the id of their life. Copies on many machines grow together, in whatever order news comes.

A life only goes one way: ready, draining, gone; only one that is gone for its silence alone, as where
machines were cut off from each other, comes back by a later beat. Of what may go back and forth (cold or not,
silent or not), the word of the beat with the higher number holds. Times are this machine's own monotonic
seconds; between machines only ages and remainders travel.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import IntEnum
from typing import Any, TypedDict

import msgspec

SILENT_BEATS = 2.2  # beats that may go by before a server counts as silent
GONE_BEATS = 8.0  # and as gone
COLD_LONGER = 0.15  # s; so much longer cold than was told is news: it may be pushed over meanwhile
COLD_SHORTER = 0.4  # s; and so much shorter
WARMED = 180.0  # s; so long it is told when a life turned warm, as its share grows from there
BURIED = 60.0  # s; ids of lives that have ended are kept for so long, so that a late beat changes nothing


class State(IntEnum):
    """Where a server stands; it only goes up, but for one that was lost."""

    READY = 0
    DRAINING = 1
    GONE = 2


STATES = {"available": State.READY, "draining": State.DRAINING}


class Beat(TypedDict, total=False):
    """The body of a server's call, by the protocol's names."""

    service: str
    address: str
    zone: str
    version: str
    capacitySlots: int
    state: str
    coldRemainingS: float
    callSequence: int


class BeatError(ValueError):
    """A call that can't be taken; one line says which field and why."""


class Entry(msgspec.Struct):
    """One life of a server."""

    ident: str
    service: str
    address: str
    zone: str
    slots: int
    state: State
    sequence: int
    cold_until: float = -math.inf
    heard_at: float = -math.inf
    silent: bool = False
    gone_at: float = math.inf
    version: str = ""
    lost: bool = False  # gone for its silence alone: a later beat brings it back

    def wire(self, now: float) -> dict[str, Any]:
        """For another machine; short names, as it travels often."""
        told: dict[str, Any] = {"i": self.ident, "t": int(self.state), "q": self.sequence}
        if self.lost:
            told["l"] = 1
        if self.state is not State.GONE:
            told |= {"s": self.service, "a": self.address, "z": self.zone, "n": self.slots}
            told["g"] = round(max(now - self.heard_at, 0.0), 3)
            if self.cold_until > now - WARMED:
                told["c"] = round(self.cold_until - now, 3)
            if self.silent:
                told["x"] = 1
        return told


def read_beat(ident: str, body: object, now: float) -> Entry:
    """Raises BeatError."""
    if not isinstance(body, dict) or not ident:
        raise BeatError("a beat is an object, and its id stands in the path")
    try:
        state = STATES.get(body.get("state", "available"))
        if state is None:
            raise BeatError(f"state: {body.get('state')!r} is not known")
        address = str(body["address"])
        host, _, port = address.rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise BeatError(f"address: {address!r} is no host:port")
        cold = float(body.get("coldRemainingS") or 0.0)
        slots = max(int(body.get("capacitySlots") or 1), 1)
        until = now + cold if cold > 0 else -math.inf
        service, zone, version = str(body["service"]), str(body["zone"]), str(body.get("version", ""))
        sequence = int(body.get("callSequence") or 0)
        return Entry(ident, service, address, zone, slots, state, sequence, until, now, version=version)
    except (KeyError, TypeError, ValueError) as e:
        raise BeatError(f"a beat of {ident[:40]}: {e!r}") from None


class Registry:
    """All lives known here."""

    def __init__(self, beat: float) -> None:
        self.beat = beat
        self.entries: dict[str, Entry] = {}

    def heard(self, new: Entry, now: float) -> tuple[Entry, bool]:
        """Take a beat, or what another machine tells; the entry now, and whether it is news for gateways."""
        old = self.entries.get(new.ident)
        if old is None:
            self.entries[new.ident] = new
            if new.state is State.GONE:
                new.gone_at = now
            return new, True
        if old.lost and new.state is not State.GONE and new.sequence > old.sequence:
            self.entries[new.ident] = new
            return new, True
        news = False
        if new.lost and new.sequence < old.sequence:
            return old, False
        if new.state > old.state:
            old.state, news = new.state, True
            if new.state is State.GONE:
                old.gone_at, old.lost = now, new.lost
                old.sequence = max(old.sequence, new.sequence)
        elif new.state is State.GONE:
            old.lost = old.lost and new.lost
            old.sequence = max(old.sequence, new.sequence)
        if old.state is State.GONE:
            return old, news
        later = new.sequence > old.sequence
        if (
            new.sequence == old.sequence
            and new.silent
            and not old.silent
            and new.heard_at <= old.heard_at + 0.5
        ):
            old.silent = news = True
        if new.sequence == old.sequence and new.cold_until > max(old.cold_until, now) + COLD_LONGER:
            # The same beat, sent again elsewhere: who took it there goes by this, and tells what differs.
            old.cold_until, news = new.cold_until, True
        if later or (new.sequence == old.sequence and new.heard_at > old.heard_at):
            old.heard_at = max(old.heard_at, new.heard_at)
        if later:
            old.sequence = new.sequence
            longer = max(new.cold_until, now) - max(old.cold_until, now)
            cold = longer > COLD_LONGER or -longer > COLD_SHORTER
            # A beat that says nothing of cold leaves the moment at which it turned warm.
            ended = max(min(old.cold_until, now), new.cold_until)
            old.cold_until = new.cold_until if new.cold_until > now else ended
            news |= cold or (old.slots, old.address) != (new.slots, new.address) or old.silent != new.silent
            old.slots, old.address, old.silent = new.slots, new.address, new.silent
        return old, news

    def heard_again(self, ident: str, sequence: int, heard_at: float) -> bool:
        """A later beat that tells nothing new of a life in good standing; whether that is all it was.

        The same as ``heard`` with a copy of the entry under that number, at less than half of the cost.
        """
        old = self.entries.get(ident)
        if old is None or old.state is State.GONE or old.silent or sequence <= old.sequence:
            return False
        old.sequence, old.heard_at = sequence, max(old.heard_at, heard_at)
        return True

    def leave(self, ident: str, now: float, lost: bool = False) -> tuple[Entry, bool]:
        """It has ended in order; or nobody hears of it any more."""
        known = self.entries.get(ident)
        sequence = known.sequence if lost and known is not None else 0
        return self.heard(Entry(ident, "", "", "", 1, State.GONE, sequence, heard_at=now, lost=lost), now)

    def read(self, told: dict[str, Any], now: float) -> Entry:
        """What ``wire`` wrote. Raises BeatError."""
        try:
            state = State(int(told["t"]))
            cold = float(told.get("c", -math.inf))
            return Entry(
                str(told["i"]), str(told.get("s", "")), str(told.get("a", "")), str(told.get("z", "")),
                int(told.get("n", 1)), state, int(told["q"]), now + cold,
                now - float(told.get("g", 0.0)), bool(told.get("x", 0)), lost=bool(told.get("l", 0)),
            )  # fmt: skip
        except (KeyError, TypeError, ValueError) as e:
            raise BeatError(f"a server as another machine tells it: {e!r}") from None

    def merge(self, told: Iterable[dict[str, Any]], now: float) -> list[Entry]:
        """What another machine knows; the entries that are news here. Raises BeatError."""
        found = [self.heard(self.read(each, now), now) for each in told]
        return [entry for entry, news in found if news]

    def sweep(self, now: float, judge: bool = True) -> list[Entry]:
        """Those that have fallen silent or are gone by now.

        ``judge`` False: this machine itself may be the one that is cut off, so silence says nothing.
        """
        news: list[Entry] = []
        for entry in list(self.entries.values()):
            if entry.state is State.GONE:
                if now - entry.gone_at > BURIED:
                    del self.entries[entry.ident]
                continue
            if not judge:
                continue
            quiet = (now - entry.heard_at) / self.beat
            if quiet > GONE_BEATS:
                entry.state, entry.gone_at, entry.lost = State.GONE, now, True
                news.append(entry)
            elif (quiet > SILENT_BEATS) != entry.silent:
                entry.silent = not entry.silent
                news.append(entry)
        return news

    def whole(self, now: float) -> list[dict[str, Any]]:
        """All lives, as another machine is told them."""
        return [entry.wire(now) for entry in self.entries.values()]
