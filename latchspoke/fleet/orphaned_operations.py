"""Finds operations whose tool has died, so that they can be resumed. No I/O.

A tool holds claims while it runs, and its death shows only in their expiry. An unreachable agent may still
hold a live claim, so an operation counts as orphaned only while all of its agents are reachable.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from latchspoke.fleet import wire

MIN_RETRY_S, MAX_RETRY_S = 10.0, 300.0  # backoff between attempts to resume one operation


@dataclass(slots=True)
class FailedResume:
    """An operation that could not be resumed; ``attempts`` counts the failures."""

    attempts: int
    not_before: float


@dataclass(slots=True)
class OrphanTracker:
    """Tracks since when operations have had no live claim. Times are monotonic seconds."""

    grace_s: float  # a tool that has just published its plan has no claims yet
    orphaned_since: dict[str, float] = field(default_factory=dict)
    failures: dict[str, FailedResume] = field(default_factory=dict)

    def due_operations(
        self,
        operations_by_agent: Mapping[str, wire.Operations | Exception],
        listings: Mapping[str, wire.Listing | Exception],
        now: float,
    ) -> list[str]:
        """Returns the IDs of operations to resume, the oldest first; both arguments are answers by agent."""
        claimed = {
            status.claim.operation
            for listing in listings.values() if isinstance(listing, wire.Listing)
            for status in listing.instances if status.claim is not None
        }  # fmt: skip
        records_by_operation: dict[str, list[wire.OperationStatus]] = {}
        for answer in operations_by_agent.values():
            for record in answer.operations if isinstance(answer, wire.Operations) else ():
                records_by_operation.setdefault(record.plan.id, []).append(record)
        orphans = {
            operation_id: records for operation_id, records in records_by_operation.items()
            if operation_id not in claimed and self.is_orphaned(records, operations_by_agent, listings)
        }  # fmt: skip
        self.orphaned_since = {
            operation_id: self.orphaned_since.get(operation_id, now) for operation_id in orphans
        }
        self.failures = {
            operation_id: failure
            for operation_id, failure in self.failures.items()
            if operation_id in records_by_operation
        }
        due = [operation_id for operation_id in orphans if self.is_due(operation_id, now)]
        return sorted(due, key=lambda operation_id: (orphans[operation_id][0].plan.created, operation_id))

    @staticmethod
    def is_orphaned(
        records: list[wire.OperationStatus],
        operations_by_agent: Mapping[str, wire.Operations | Exception],
        listings: Mapping[str, wire.Listing | Exception],
    ) -> bool:
        """Whether it is open on every agent that has it, and all agents of its plan are reachable."""
        if any(record.state != "open" for record in records):
            return False
        agents = {instance_id.partition("/")[0] for wave in records[0].plan.waves for instance_id in wave}
        return all(
            isinstance(operations_by_agent.get(agent), wire.Operations)
            and isinstance(listings.get(agent), wire.Listing)
            for agent in agents
        )

    def is_due(self, operation_id: str, now: float) -> bool:
        """Whether the grace period and the backoff of failed attempts have passed."""
        failure = self.failures.get(operation_id)
        return now - self.orphaned_since[operation_id] >= self.grace_s and (
            failure is None or now >= failure.not_before
        )

    def record_failure(self, operation_id: str, now: float) -> None:
        """Schedules the next attempt with exponential backoff."""
        attempts = self.failures[operation_id].attempts + 1 if operation_id in self.failures else 1
        delay = min(MIN_RETRY_S * 2 ** (attempts - 1), MAX_RETRY_S)
        self.failures[operation_id] = FailedResume(attempts, now + delay)
