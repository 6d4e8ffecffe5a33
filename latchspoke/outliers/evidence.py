"""Evidence on failing servers at a control-plane node: counts of gateways and of other nodes. No I/O.

Soft state under leases: counts decay over time and are dropped unless reported again within ``LEASE_S``. Each
report carries the current sums of its source rather than increments, so that lost, duplicate or late messages
do no harm and need no acknowledgement.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import msgspec

from barleyhub.line.outliers import (
    MIN_ATTEMPTS,
    MIN_FAILURE_SHARE,
    MIN_WITNESSES,
    FailureEvidence,
    combine,
    summarize,
)

LEASE_S = 8.0
MAX_NAMED_WITNESSES = 2  # names of witnesses sent for each zone
REFRESH_INTERVAL_S = 1.0  # after which a server is sent again though little has changed
URGENT_CHANGE_FRACTION = 0.25  # relative change of the failures that is sent at once
MAX_SERVERS_PER_MESSAGE = 400  # the rest follows with the next message
Entries = list[list[Any]]


class EvidenceError(ValueError):
    """A malformed message; the text is one line."""


class Report(msgspec.Struct):
    """What one source reported on one server: counts by zone of the gateways that saw them."""

    by_zone: dict[str, FailureEvidence]
    received_at: float

    def decayed(self, now: float) -> dict[str, FailureEvidence]:
        """The counts as they have decayed since they were received."""
        return {zone: counts.decayed(now - self.received_at) for zone, counts in self.by_zone.items()}


def encode_entry(server_id: str, by_zone: dict[str, FailureEvidence]) -> list[Any]:
    """Wire format: server, then for each zone its name, failures, attempts, some witnesses, zone count."""
    zones = [
        [
            zone,
            round(counts.failed, 2),
            round(counts.attempts, 2),
            sorted(counts.witnesses)[:MAX_NAMED_WITNESSES],
            counts.zone_count,
        ]
        for zone, counts in sorted(by_zone.items())
    ]
    return [server_id, zones]


def decode_entry(entry: Any) -> tuple[str, dict[str, FailureEvidence]]:
    """Inverse of ``encode_entry``. Raises EvidenceError if the entry is malformed."""
    try:
        server_id, zones = entry
        by_zone = {}
        for zone, failed, attempts, witnesses, zone_count in zones:
            witness_names = frozenset(str(name) for name in witnesses)
            by_zone[str(zone)] = FailureEvidence(
                float(failed), float(attempts), witness_names, int(zone_count)
            )
            if not 0 <= by_zone[str(zone)].failed <= by_zone[str(zone)].attempts:
                raise EvidenceError(f"counts of {server_id}: {failed} of {attempts}")
        return str(server_id), by_zone
    except (TypeError, ValueError) as e:
        raise EvidenceError(f"malformed evidence: {e!r}") from None


class EvidenceStore(msgspec.Struct):
    """Reports by server and source: gateways that subscribe to this node, and other control-plane nodes."""

    direct: dict[str, dict[str, Report]] = msgspec.field(default_factory=dict)  # by server and gateway
    # By server and control-plane node.
    relayed: dict[str, dict[str, Report]] = msgspec.field(default_factory=dict)
    pending_for_peers: set[str] = msgspec.field(default_factory=set)  # servers with unsent changes
    pending_for_gateways: set[str] = msgspec.field(default_factory=set)
    # By whether it was sent to peers, and server.
    last_sent: dict[tuple[bool, str], tuple[float, FailureEvidence]] = msgspec.field(default_factory=dict)

    def add_reports(self, gateway: str, zone: str, entries: Iterable[Iterable[Any]], now: float) -> None:
        """Counts of a gateway that subscribes to this node. Raises EvidenceError if they are malformed."""
        for entry in entries:
            try:
                server_id, failed, attempts = entry
                failed, attempts = float(failed), float(attempts)
            except (TypeError, ValueError) as e:
                raise EvidenceError(f"malformed counts: {e!r}") from None
            if not 0 <= failed <= attempts:
                raise EvidenceError(f"counts of {server_id}: {failed} of {attempts}")
            has_failures = failed >= MIN_ATTEMPTS
            by_zone = {
                zone: FailureEvidence(
                    failed,
                    attempts,
                    frozenset((gateway,)) if has_failures else frozenset(),
                    int(has_failures),
                )
            }
            self.direct.setdefault(str(server_id), {})[gateway] = Report(by_zone, now)
            self.pending_for_peers.add(str(server_id))
            self.pending_for_gateways.add(str(server_id))

    def remove_gateway(self, gateway: str) -> None:
        """The gateway no longer subscribes to this node, and reports to another from now on."""
        for server_id, reports in self.direct.items():
            if reports.pop(gateway, None) is not None:
                self.pending_for_peers.add(server_id)

    def merge(self, source: str, entries: Iterable[object], now: float) -> None:
        """Sums of the gateways of another control-plane node. Raises EvidenceError if they are malformed."""
        for entry in entries:
            server_id, by_zone = decode_entry(entry)
            self.relayed.setdefault(server_id, {})[source] = Report(by_zone, now)
            self.pending_for_gateways.add(server_id)

    @staticmethod
    def sum_reports(reports: Iterable[Report], now: float) -> dict[str, FailureEvidence]:
        """Sums by zone; each zone counts once, however many reports include it."""
        totals: dict[str, FailureEvidence] = {}
        for report in reports:
            for zone, counts in report.decayed(now).items():
                totals[zone] = totals[zone].combined(counts) if zone in totals else counts
                totals[zone].zone_count = min(totals[zone].zone_count, 1)
        return totals

    def evidence(self, server_id: str, now: float) -> dict[str, FailureEvidence]:
        """All evidence on one server, by zone of the gateways that saw it."""
        reports = [*self.direct.get(server_id, {}).values(), *self.relayed.get(server_id, {}).values()]
        return self.sum_reports(reports, now)

    def updates_for_peers(self, now: float) -> Entries:
        """Entries for other control-plane nodes: changed sums of the gateways that subscribe to this node."""
        candidates = [
            (server_id, self.sum_reports(self.direct.get(server_id, {}).values(), now))
            for server_id in sorted(self.pending_for_peers)
        ]
        return [
            encode_entry(server_id, by_zone)
            for server_id, by_zone in self.select_updates(True, self.pending_for_peers, candidates, now)
        ]

    def updates_for_gateways(self, now: float, zones: Iterable[str]) -> dict[str, Entries]:
        """Entries for the gateways of each zone: changes of servers that enough gateways have seen fail."""
        candidates = [
            (server_id, self.evidence(server_id, now)) for server_id in sorted(self.pending_for_gateways)
        ]
        # Gateways also learn that a server they were sent is no longer suspected.
        suspected = [
            (server_id, by_zone)
            for server_id, by_zone in candidates
            if self.is_suspected(by_zone) or (False, server_id) in self.last_sent
        ]
        self.pending_for_gateways.intersection_update(server_id for server_id, _ in suspected)
        updates = self.select_updates(False, self.pending_for_gateways, suspected, now)
        for server_id, by_zone in updates:
            if not self.is_suspected(by_zone):
                del self.last_sent[False, server_id]
        return {
            zone: [encode_entry(server_id, summarize(by_zone, zone)) for server_id, by_zone in updates]
            for zone in zones
            if updates
        }

    def select_updates(
        self,
        to_peers: bool,
        pending: set[str],
        candidates: list[tuple[str, dict[str, FailureEvidence]]],
        now: float,
    ) -> list[tuple[str, dict[str, FailureEvidence]]]:
        """What to send now; the rest stays pending until it has changed more or its refresh is due."""
        updates = []
        for server_id, by_zone in candidates[:MAX_SERVERS_PER_MESSAGE]:
            current = combine(by_zone.values())
            sent_at, previous = self.last_sent.get((to_peers, server_id), (-math.inf, FailureEvidence()))
            previous = previous.decayed(now - sent_at)
            changed = abs(current.failed - previous.failed) > URGENT_CHANGE_FRACTION * max(
                previous.failed, 1.0
            ) or len(current.witnesses) > len(previous.witnesses)
            if changed or now - sent_at >= REFRESH_INTERVAL_S:
                self.last_sent[to_peers, server_id] = now, current
                pending.discard(server_id)
                updates.append((server_id, by_zone))
        return updates

    def has_pending(self) -> bool:
        """Whether updates are pending."""
        return bool(self.pending_for_peers or self.pending_for_gateways)

    @staticmethod
    def is_suspected(by_zone: dict[str, FailureEvidence]) -> bool:
        """Whether enough gateways have seen enough failures of a server for it to be sent to gateways."""
        total = combine(by_zone.values())
        return (
            len(total.witnesses) >= MIN_WITNESSES and total.failed >= MIN_FAILURE_SHARE / 2 * total.attempts
        )

    def snapshot(self, now: float, zone: str) -> Entries:
        """Full snapshot for a new subscriber in this zone."""
        candidates = [
            (server_id, self.evidence(server_id, now)) for server_id in sorted({*self.direct, *self.relayed})
        ]
        return [
            encode_entry(server_id, summarize(by_zone, zone))
            for server_id, by_zone in candidates
            if self.is_suspected(by_zone)
        ][:MAX_SERVERS_PER_MESSAGE]

    def sweep(self, now: float) -> None:
        """Drop reports whose lease has ended or whose counts have decayed."""
        for table in (self.direct, self.relayed):
            for server_id, reports in list(table.items()):
                for source in [name for name, report in reports.items() if self.has_expired(report, now)]:
                    del reports[source]
                if not reports:
                    del table[server_id]
        self.last_sent = {key: report for key, report in self.last_sent.items() if now - report[0] <= LEASE_S}

    @staticmethod
    def has_expired(report: Report, now: float) -> bool:
        """Whether the lease of a report has ended, or next to nothing is left of its counts."""
        return (
            now - report.received_at > LEASE_S
            or combine(report.decayed(now).values()).attempts < MIN_ATTEMPTS
        )
