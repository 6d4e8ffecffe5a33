"""Which operations have lost their tool, and may be gone on with. Pure.

A tool holds claims while it lives. Its death shows in their lapse and in nothing else: an agent that is not
heard may hold a live one, so that nothing is concluded while one of an operation's agents is silent.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from latchspoke.fleet import wire

MIN_RETRY_S, MAX_RETRY_S = 10.0, 300.0  # s between two tries at one operation that can't go on


@dataclass(slots=True)
class FailedResume:
    """One that was gone on with from here, in vain."""

    attempts: int
    not_before: float


@dataclass(slots=True)
class OrphanTracker:
    """Operations without a live claim, since when. Times are monotonic seconds of the watcher's clock."""

    grace_s: float  # s without any claim: a tool that has just put its plan has none yet
    orphaned_since: dict[str, float] = field(default_factory=dict)
    failures: dict[str, FailedResume] = field(default_factory=dict)

    def due_operations(
        self,
        operations: Mapping[str, wire.Operations | Exception],
        listings: Mapping[str, wire.Listing | Exception],
        now: float,
    ) -> list[str]:
        """The oldest first. ``told`` and ``listings`` by agent, as they answered or did not."""
        claimed = {
            status.claim.operation
            for listing in listings.values() if isinstance(listing, wire.Listing)
            for status in listing.instances if status.claim is not None
        }  # fmt: skip
        records_by_operation: dict[str, list[wire.OperationStatus]] = {}
        for response in operations.values():
            for record in response.operations if isinstance(response, wire.Operations) else ():
                records_by_operation.setdefault(record.plan.id, []).append(record)
        orphans = {
            operation_id: records for operation_id, records in records_by_operation.items()
            if operation_id not in claimed and self.is_orphaned(records, operations, listings)
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
        operations: Mapping[str, wire.Operations | Exception],
        listings: Mapping[str, wire.Listing | Exception],
    ) -> bool:
        """By all that have it; and every agent that it touches is heard."""
        if any(record.state != "open" for record in records):
            return False
        agents = {instance_id.partition("/")[0] for wave in records[0].plan.waves for instance_id in wave}
        return all(
            isinstance(operations.get(agent), wire.Operations)
            and isinstance(listings.get(agent), wire.Listing)
            for agent in agents
        )

    def is_due(self, operation_id: str, now: float) -> bool:
        failure = self.failures.get(operation_id)
        return now - self.orphaned_since[operation_id] >= self.grace_s and (
            failure is None or now >= failure.not_before
        )

    def record_failure(self, operation_id: str, now: float) -> None:
        """It could not go on; it is tried again, later each time."""
        attempts = self.failures[operation_id].attempts + 1 if operation_id in self.failures else 1
        delay = min(MIN_RETRY_S * 2 ** (attempts - 1), MAX_RETRY_S)
        self.failures[operation_id] = FailedResume(attempts, now + delay)
