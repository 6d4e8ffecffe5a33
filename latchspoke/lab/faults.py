"""Fault injection: the schedule of faults of a run. Times in seconds of the run."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Fault(Enum):
    """Kinds of faults: of nodes, of the counter and of discovery, in this order."""

    FAIL_FAST = "fail-fast"  # responds 500 at once, with this probability
    SLOW = "slow"  # works at this fraction of its speed
    HANG = "hang"  # accepts requests and never responds
    UNRESPONSIVE = "vanish"  # sends nothing; open connections stay open
    RESET = "reset"  # resets all connections when it starts
    RESTART = "restart"  # stops at the start and comes back cold at the end
    CORRUPT = "spoil"  # responses are truncated or not HTTP, with this probability
    COUNTER_SLOW = "counter-slow"  # slower by this factor
    COUNTER_DOWN = "counter-gone"
    COUNTER_RESET = "counter-reset"  # loses all totals at the start
    DISCOVERY_SILENT = "discovery-silent"
    DISCOVERY_DELAYED = "discovery-late"  # publishes changes with this delay (s)


NODE_FAULTS = frozenset(
    (Fault.FAIL_FAST, Fault.SLOW, Fault.HANG, Fault.UNRESPONSIVE, Fault.RESET, Fault.RESTART, Fault.CORRUPT)
)


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One fault from ``at`` for ``lasts`` seconds on these nodes; ``amount`` depends on the kind."""

    kind: Fault
    at: float
    lasts: float
    nodes: frozenset[str] = frozenset()
    amount: float = 1.0

    @property
    def ends(self) -> float:
        """End of the fault (s)."""
        return self.at + self.lasts

    def is_active(self, now: float) -> bool:
        """Whether the fault is active at this time."""
        return self.at <= now < self.ends

    def words(self) -> str:
        """Describe the fault and its nodes for reports."""
        where = f" on {', '.join(sorted(self.nodes))}" if self.nodes else ""
        return f"{self.kind.value}{where}"


class FaultSchedule:
    """All faults of a run, in order of their start."""

    def __init__(self, troubles: Iterable[FaultEvent] = ()) -> None:
        self.troubles = sorted(troubles, key=lambda event: (event.at, event.kind.value))

    def amount(self, kind: Fault, now: float, node: str = "") -> float | None:
        """Amount of this kind of fault now, or None if it is inactive; the one that started last applies."""
        amount = None
        for event in self.troubles:
            if event.kind is kind and event.is_active(now) and (not node or node in event.nodes):
                amount = event.amount
        return amount

    def transitions(self) -> list[tuple[float, FaultEvent, bool]]:
        """Starts (True) and ends (False) in time order; at the same time, ends come first."""
        transitions = [(event.at, event, True) for event in self.troubles] + [
            (event.ends, event, False) for event in self.troubles
        ]
        return sorted(transitions, key=lambda transition: (transition[0], transition[2]))
