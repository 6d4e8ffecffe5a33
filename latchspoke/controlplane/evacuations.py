"""Distinguishes repeated evacuation calls from those of a second operator. No I/O.

``evacuation.begin`` and ``evacuation.finish`` carry only the zone, so a retry after a lost response looks the
same as another operator's call. A caller sends no attempt later than ``ackS`` after its first one, which is
not later than the change that its call has made. So a begin or finish that arrives at least ``ackS`` after
the last change of its kind is a new call.

A finish that arrives earlier, while an evacuation is active, may be a retry and is rejected: its caller sends
it again, or has given up. A begin that arrives soon after the last one is taken for a retry.
"""

from __future__ import annotations

from enum import Enum

from latchspoke.configstore.entry_ages import AgeBounds

REPEAT_WINDOW_FRACTION = 0.75  # of ``ackS``; covers a retry interval with one or two unresponsive nodes


class CallKind(Enum):
    """The classification of a call."""

    FIRST = "first"  # no evacuation of the zone is active
    REPEAT = "repeat"  # of a begin that has been applied
    ANOTHER = "another"  # begins one more evacuation, or ends one of those that are active
    UNCLEAR = "unclear"


def classify_call(
    is_begin: bool, active_count: int, age: AgeBounds | None, waited_s: float, ack_s: float
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
