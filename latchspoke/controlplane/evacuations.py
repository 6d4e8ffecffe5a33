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

from latchspoke.configstore.orders import Orders

REPEAT_WINDOW_FRACTION = (
    0.75  # of ``ackS``; callers' pauses, with one or two machines that say nothing, take no longer
)


class CallKind(Enum):
    """What a call is taken for."""

    FIRST = "first"  # nothing stands
    REPEAT = "repeat"
    ANOTHER = "another"
    UNCLEAR = "unclear"


class EvacuationChange(msgspec.Struct, frozen=True):
    """The last change of a zone's evacuations."""

    log_index: int  # in the log
    is_begin: bool  # one more stands since; else one less
    changed_at: float  # s, on this machine's clock
    observed: bool  # as it came; what stood at the start of a process may be of any age


class EvacuationCallTracker:
    """What one control machine knows of changes and calls, by zone; others tell theirs."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.active_counts: dict[str, int] = {}  # as last applied here
        self.changes: dict[str, EvacuationChange] = {}
        self.begin_acknowledged_at: dict[str, float] = {}  # when a begin was last acknowledged

    def record_applied(self, orders: Orders, now: float, observed: bool) -> None:
        """The store has applied orders. ``seen``: at about the time at which they were committed."""
        for zone in orders.zones:
            active = orders.standing(zone)
            previous = self.active_counts.get(zone, 0)
            if active == previous:
                continue
            known, log_index = self.changes.get(zone), orders.zones[zone][0]
            if known is None or known.log_index < log_index:
                self.changes[zone] = EvacuationChange(log_index, active > previous, now, observed)
            self.active_counts[zone] = active

    def record_acknowledged_begin(self, zone: str, now: float) -> None:
        """A begin was answered with success at ``now``."""
        self.begin_acknowledged_at[zone] = max(self.begin_acknowledged_at.get(zone, -math.inf), now)

    def classify(self, zone: str, is_begin: bool, orders: Orders, ack_s: float, now: float) -> CallKind:
        """What a call that comes now is taken for. ``ack_s``: the longest time over which one is repeated."""
        if not orders.standing(zone):
            return CallKind.FIRST
        log_index = orders.zones[zone][0]
        change = self.changes.get(zone)
        if change is None or change.log_index != log_index or not change.observed:
            # What stood already when this process began may have been ordered a moment before.
            change = EvacuationChange(log_index, is_begin, self.started_at, False)
        if change.is_begin != is_begin:
            return CallKind.ANOTHER
        last_activity_at = (
            max(change.changed_at, self.begin_acknowledged_at.get(zone, -math.inf))
            if is_begin
            else change.changed_at
        )
        if now - last_activity_at >= REPEAT_WINDOW_FRACTION * ack_s or now - change.changed_at >= ack_s:
            return CallKind.ANOTHER
        return CallKind.REPEAT if is_begin else CallKind.UNCLEAR

    def to_message(self, now: float) -> dict[str, Any] | None:
        """For another control machine, which may have begun anew; None if there is nothing to tell."""
        observed = {
            zone: [change.log_index, change.is_begin, round(now - change.changed_at, 3)]
            for zone, change in self.changes.items()
            if change.observed
        }
        if not observed and not self.begin_acknowledged_at:
            return None
        ages = {zone: round(now - at, 3) for zone, at in self.begin_acknowledged_at.items()}
        return {"k": "moved", "z": observed, "a": {}, "c": ages}

    def merge(self, message: Mapping[str, Any], now: float) -> None:
        """What ``wire`` wrote elsewhere. Raises KeyError, TypeError, ValueError."""
        for zone, (log_index, is_begin, age) in message["z"].items():
            known = self.changes.get(zone)
            if (
                known is None
                or known.log_index < log_index
                or (known.log_index == log_index and not known.observed)
            ):
                self.changes[zone] = EvacuationChange(log_index, is_begin, now - age, True)
        for zone, age in message.get("c", {}).items():
            self.record_acknowledged_begin(zone, now - float(age))
