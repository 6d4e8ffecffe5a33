"""Distinguishes repeated evacuation calls from those of a second operator. No I/O.

``evacuation.begin`` and ``evacuation.finish`` carry only the zone, so a retry after a lost response looks the
same as another operator's call. A caller sends no attempt later than ``ackS`` after its first one, which is
not later than the change that its call has made. So a begin or finish that arrives at least ``ackS`` after
the last change of its kind is a new call.

A finish that arrives earlier, while an evacuation is active, may be a retry and is rejected: its caller sends
it again, or has given up. A begin that arrives soon after the last one is taken for a retry.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from latchspoke.configstore.config_state import ConfigState

REPEAT_WINDOW_FRACTION = 0.75  # of ``ackS``; covers a retry interval with one or two unresponsive nodes


class CallKind(Enum):
    """The classification of a call."""

    FIRST = "first"  # no evacuation of the zone is active
    REPEAT = "repeat"  # of a begin that has been applied
    ANOTHER = "another"  # begins one more evacuation, or ends one of those that are active
    UNCLEAR = "unclear"


class ChangeAge(msgspec.Struct, frozen=True):
    """Bounds of the time since a change, in seconds."""

    lower_s: float
    upper_s: float


def classify_call(
    is_begin: bool, active_count: int, age: ChangeAge | None, waited_s: float, ack_s: float
) -> CallKind:
    """Classify a call.

    ``age``: of the last change of the same kind, None if there was none. ``waited_s``: since the call
    arrived. ``ack_s``: the longest time over which a call is repeated.
    """
    if not active_count:
        return CallKind.FIRST
    if age is None or age.lower_s - waited_s >= ack_s:
        return CallKind.ANOTHER
    if is_begin and age.upper_s < REPEAT_WINDOW_FRACTION * ack_s:
        return CallKind.REPEAT
    return CallKind.UNCLEAR


class EvacuationChange(msgspec.Struct, frozen=True):
    """The last begin or finish that changed a zone's number of active evacuations."""

    log_index: int
    changed_at: float  # s, by the clock of this process
    observed: bool  # at the time of its commit; otherwise its age is unknown


class EvacuationChangeTracker:
    """When evacuations changed, as far as a control-plane node knows; peers exchange it."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.changes: dict[tuple[str, bool], EvacuationChange] = {}  # by zone, and whether it was a begin

    def record_applied(self, orders: ConfigState, now: float, observed: bool) -> None:
        """The store has applied commands. ``observed``: at about the time of their commit."""
        for zone in orders.zones:
            for is_begin in (True, False):
                log_index = orders.last_call_index(zone, is_begin)
                known = self.changes.get((zone, is_begin))
                if log_index and (known is None or known.log_index < log_index):
                    self.changes[zone, is_begin] = EvacuationChange(log_index, now, observed)

    def age(self, zone: str, is_begin: bool, orders: ConfigState, now: float) -> ChangeAge | None:
        """The age of the last change of a kind; None if there was none."""
        log_index = orders.last_call_index(zone, is_begin)
        if not log_index:
            return None
        change = self.changes.get((zone, is_begin))
        if change is None or change.log_index != log_index or not change.observed:
            # The change precedes this process; it may be recent.
            return ChangeAge(now - self.started_at, now - self.started_at)
        return ChangeAge(now - change.changed_at, now - change.changed_at)

    def to_message(self, now: float) -> dict[str, Any] | None:
        """The message for a peer that may have restarted; None if there is nothing to send."""
        newest: dict[str, list[Any]] = {}
        for (zone, is_begin), change in sorted(self.changes.items(), key=lambda item: item[1].log_index):
            if change.observed:
                newest[zone] = [change.log_index, is_begin, round(now - change.changed_at, 3)]
        return {"k": "moved", "z": newest, "a": {}} if newest else None

    def merge(self, message: Mapping[str, Any], now: float) -> None:
        """Merge a message of ``to_message``. Raises KeyError, TypeError, ValueError."""
        for zone, (log_index, is_begin, age) in message["z"].items():
            known = self.changes.get((zone, bool(is_begin)))
            if (
                known is None
                or known.log_index < log_index
                or (known.log_index == log_index and not known.observed)
            ):
                self.changes[zone, bool(is_begin)] = EvacuationChange(log_index, now - age, True)
