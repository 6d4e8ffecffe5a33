"""What goes wrong, and when: a schedule that every model asks. Pure; times in seconds of the run."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Fault(Enum):
    """Kinds of trouble. The first group is of nodes, then the counter's, then discovery's."""

    FAIL_FAST = "fail-fast"  # answers 500 at once, with this chance
    SLOW = "slow"  # works at this part of its pace
    HANG = "hang"  # takes requests in and never answers
    UNRESPONSIVE = "vanish"  # says nothing more to anybody, open connections stay open
    RESET = "reset"  # breaks all its connections off, again and again
    RESTART = "restart"  # dies at the start and is back, cold, at the end
    CORRUPT = "spoil"  # its answers are cut off or no HTTP, with this chance
    COUNTER_SLOW = "counter-slow"  # so many times slower
    COUNTER_DOWN = "counter-gone"
    COUNTER_RESET = "counter-reset"  # forgets all at the start, as one that is new
    DISCOVERY_SILENT = "discovery-silent"
    DISCOVERY_DELAYED = "discovery-late"  # tells so many seconds late


NODE_FAULTS = frozenset(
    (Fault.FAIL_FAST, Fault.SLOW, Fault.HANG, Fault.UNRESPONSIVE, Fault.RESET, Fault.RESTART, Fault.CORRUPT)
)


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One fault from ``at`` for ``lasts`` seconds, on these nodes; ``amount`` as its kind means it."""

    kind: Fault
    at: float
    lasts: float
    nodes: frozenset[str] = frozenset()
    amount: float = 1.0

    @property
    def ends(self) -> float:
        return self.at + self.lasts

    def is_active(self, now: float) -> bool:
        return self.at <= now < self.ends

    def words(self) -> str:
        where = f" on {', '.join(sorted(self.nodes))}" if self.nodes else ""
        return f"{self.kind.value}{where}"


class FaultSchedule:
    """All troubles of a run."""

    def __init__(self, troubles: Iterable[FaultEvent] = ()) -> None:
        self.troubles = sorted(troubles, key=lambda event: (event.at, event.kind.value))

    def amount(self, kind: Fault, now: float, node: str = "") -> float | None:
        """How strong this kind is now; None where it is not on. The last one begun counts."""
        amount = None
        for event in self.troubles:
            if event.kind is kind and event.is_active(now) and (not node or node in event.nodes):
                amount = event.amount
        return amount

    def transitions(self) -> list[tuple[float, FaultEvent, bool]]:
        """Beginnings (True) and ends (False), in order; an end comes before a beginning at one time."""
        transitions = [(event.at, event, True) for event in self.troubles] + [
            (event.ends, event, False) for event in self.troubles
        ]
        return sorted(transitions, key=lambda transition: (transition[0], transition[2]))
