"""Which calls about evacuations repeat an earlier call, and which are a second operator's. Pure.

``evacuation.begin`` and ``evacuation.finish`` carry nothing but the zone: a call that is sent again after a
lost answer, and the call of another operator, are the same bytes. No rule can tell them apart in every case.
What is known: a caller sends again at short pauses, and never later than ``ackS`` after its first sending. A
begin that comes soon after the last one, whether or not that one's caller has its answer, is therefore taken
for a repeat; one that comes later is another evacuation, which its own operator takes back. A finish that
comes soon after another, while one more evacuation stands, may be either: nothing is done, nothing promised.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from latchspoke.configstore.config_state import ConfigState

REPEAT_PART = 0.75  # of ``ackS``; callers' pauses, with one or two machines that say nothing, take no longer


class Kind(Enum):
    """What a call is taken for."""

    FIRST = "first"  # nothing stands
    REPEAT = "repeat"
    ANOTHER = "another"
    UNCLEAR = "unclear"


class Change(msgspec.Struct, frozen=True):
    """The last change of a zone's evacuations."""

    place: int  # in the log
    begun: bool  # one more stands since; else one less
    at: float  # s, on this machine's clock
    seen: bool  # as it came; what stood at the start of a process may be of any age


class EvacuationCalls:
    """What one control machine knows of changes and calls, by zone; others tell theirs."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.standing: dict[str, int] = {}  # as last applied here
        self.changes: dict[str, Change] = {}
        self.begins: dict[str, float] = {}  # when a begin was last acknowledged

    def applied(self, orders: ConfigState, now: float, seen: bool) -> None:
        """The store has applied orders. ``seen``: at about the time at which they were committed."""
        for zone in orders.zones:
            standing = orders.evacuation_count(zone)
            before = self.standing.get(zone, 0)
            if standing == before:
                continue
            known, place = self.changes.get(zone), orders.zones[zone][0]
            if known is None or known.place < place:
                self.changes[zone] = Change(place, standing > before, now, seen)
            self.standing[zone] = standing

    def acknowledged(self, zone: str, now: float) -> None:
        """A begin was answered with success at ``now``."""
        self.begins[zone] = max(self.begins.get(zone, -math.inf), now)

    def judge(self, zone: str, begins: bool, orders: ConfigState, ack_s: float, now: float) -> Kind:
        """What a call that comes now is taken for. ``ack_s``: the longest time over which one is repeated."""
        if not orders.evacuation_count(zone):
            return Kind.FIRST
        place = orders.zones[zone][0]
        change = self.changes.get(zone)
        if change is None or change.place != place or not change.seen:
            # What stood already when this process began may have been ordered a moment before.
            change = Change(place, begins, self.started_at, False)
        if change.begun != begins:
            return Kind.ANOTHER
        last = max(change.at, self.begins.get(zone, -math.inf)) if begins else change.at
        if now - last >= REPEAT_PART * ack_s or now - change.at >= ack_s:
            return Kind.ANOTHER
        return Kind.REPEAT if begins else Kind.UNCLEAR

    def wire(self, now: float) -> dict[str, Any] | None:
        """For another control machine, which may have begun anew; None if there is nothing to tell."""
        seen = {z: [c.place, c.begun, round(now - c.at, 3)] for z, c in self.changes.items() if c.seen}
        if not seen and not self.begins:
            return None
        ages = {zone: round(now - at, 3) for zone, at in self.begins.items()}
        return {"k": "moved", "z": seen, "a": {}, "c": ages}

    def learn(self, message: Mapping[str, Any], now: float) -> None:
        """What ``wire`` wrote elsewhere. Raises KeyError, TypeError, ValueError."""
        for zone, (place, begun, age) in message["z"].items():
            known = self.changes.get(zone)
            if known is None or known.place < place or (known.place == place and not known.seen):
                self.changes[zone] = Change(place, begun, now - age, True)
        for zone, age in message.get("c", {}).items():
            self.acknowledged(zone, now - float(age))
