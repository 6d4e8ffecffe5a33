"""Distinguishes repeated evacuation calls from those of a second operator. No I/O.

``evacuation.begin`` and ``evacuation.finish`` carry only the zone, so a retry after a lost response looks the
same as another operator's call. A caller retries at short intervals, and no later than ``ackS`` after its
first attempt. A begin shortly after the last one is therefore taken for a retry, and a later one for another
evacuation, which has a finish of its own. A finish shortly after another, while one more evacuation is
active, is ambiguous and is rejected.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from latchspoke.configstore.config_state import ConfigState

REPEAT_WINDOW_FRACTION = 0.75  # of ``ackS``; covers a retry interval with one or two unresponsive nodes


class CallKind(Enum):
    """The classification of a call."""

    FIRST = "first"  # no evacuation of the zone is active
    REPEAT = "repeat"
    ANOTHER = "another"
    UNCLEAR = "unclear"


class EvacuationChange(msgspec.Struct, frozen=True):
    """The last change of a zone's number of active evacuations."""

    log_index: int
    is_begin: bool  # the number increased
    changed_at: float  # s, by the clock of this process
    observed: bool  # at the time of its commit; otherwise its age is unknown


class EvacuationCallTracker:
    """The changes and answered calls known to a control-plane node, by zone; peers exchange them."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.active_counts: dict[str, int] = {}  # as last applied
        self.changes: dict[str, EvacuationChange] = {}
        self.begin_acknowledged_at: dict[str, float] = {}

    def record_applied(self, orders: ConfigState, now: float, observed: bool) -> None:
        """The store has applied commands. ``observed``: at about the time of their commit."""
        for zone in orders.zones:
            active = orders.evacuation_count(zone)
            previous = self.active_counts.get(zone, 0)
            if active == previous:
                continue
            known, log_index = self.changes.get(zone), orders.zones[zone][0]
            if known is None or known.log_index < log_index:
                self.changes[zone] = EvacuationChange(log_index, active > previous, now, observed)
            self.active_counts[zone] = active

    def record_acknowledged_begin(self, zone: str, now: float) -> None:
        """A begin was acknowledged at ``now``."""
        self.begin_acknowledged_at[zone] = max(self.begin_acknowledged_at.get(zone, -math.inf), now)

    def classify(self, zone: str, is_begin: bool, orders: ConfigState, ack_s: float, now: float) -> CallKind:
        """Classify a call that arrives now. ``ack_s``: the longest time over which a call is repeated."""
        if not orders.evacuation_count(zone):
            return CallKind.FIRST
        log_index = orders.zones[zone][0]
        change = self.changes.get(zone)
        if change is None or change.log_index != log_index or not change.observed:
            # The change precedes this process; it may be recent.
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
        """The message for a peer that may have restarted; None if there is nothing to send."""
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
        """Merge a message of ``to_message``. Raises KeyError, TypeError, ValueError."""
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
