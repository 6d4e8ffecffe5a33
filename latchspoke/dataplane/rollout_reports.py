"""A gateway's side of version rollouts: routing rules for the balancer, and reports of samples."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from barleyhub.line.dispatch import INITIAL_LATENCY_FACTOR, Dispatcher
from barleyhub.line.rollout_samples import RolloutSampler
from barleyhub.line.versions import RolloutPhase, VersionRule
from latchspoke.transport.connection import Message
from latchspoke.version_rollouts.records import RolloutRecord, RolloutState
from latchspoke.version_rollouts.samples import GatewayReport, SampleRow

REPORT_INTERVAL_S = 0.4
# After the last proof; a gateway that is out of touch then sends nothing to an unproven version.
TRUST_S = 2.0
PHASE_BY_STATE = {
    RolloutState.COMPLETED: RolloutPhase.COMPLETED,
    RolloutState.REVERTED: RolloutPhase.REVERTED,
}


def version_rule(record: RolloutRecord) -> VersionRule:
    """The balancer's rule for a rollout."""
    unfinished = RolloutPhase.SHIFT if record.shifted else RolloutPhase.TRIAL
    phase = PHASE_BY_STATE.get(record.state, unfinished)
    return VersionRule(record.rollout_id, record.target_version, phase, record.share)


class RolloutReports:
    """The rollouts known to a gateway, and what it reports about the unfinished ones."""

    def __init__(self, name: str, life: str, dispatcher: Dispatcher) -> None:
        self.name, self.life, self.dispatcher = name, life, dispatcher
        self.records: Mapping[str, RolloutRecord] = {}
        self.sent_at = -math.inf

    def apply(self, records: Mapping[str, RolloutRecord], now: float) -> list[str]:
        """Act on the committed rollouts; the services whose rollout has changed."""
        changed = [service for service, record in records.items() if self.records.get(service) != record]
        if not changed:
            return []
        self.records = records
        balancer, samplers = self.dispatcher.balancer, self.dispatcher.rollout_samplers
        balancer.set_version_rules({service: version_rule(record) for service, record in records.items()})
        for service in changed:
            record, sampler = records[service], samplers.get(service)
            if not record.in_progress:
                samplers.pop(service, None)
            elif sampler is None or sampler.rollout_id != record.rollout_id:
                samplers[service] = RolloutSampler(
                    record.rollout_id, record.target_version, balancer.route_latency, now
                )
        return changed

    def proven(self, proven_at: float) -> None:
        """The committed state known here was the newest at this time (s)."""
        self.dispatcher.balancer.versions.trusted_until = proven_at + TRUST_S

    def due_messages(self, index: int, now: float) -> list[Message]:
        """The reports to send now. ``index``: of the committed state that this gateway acts on."""
        if not self.dispatcher.rollout_samplers or now - self.sent_at < REPORT_INTERVAL_S:
            return []
        self.sent_at = now
        return [
            {"k": "rollout", "r": msgspec.to_builtins(self.report(service, sampler, index, now))}
            for service, sampler in self.dispatcher.rollout_samplers.items()
        ]

    def report(self, service: str, sampler: RolloutSampler, index: int, now: float) -> GatewayReport:
        """This gateway's report about one rollout."""
        in_flight = self.dispatcher.attempts_in_flight(service)
        sampler.count_late(
            [attempt for _, attempt in in_flight],
            {route.name: INITIAL_LATENCY_FACTOR * route.aim for route, _ in in_flight},
            now,
        )
        elsewhere = [
            route.repeatable
            for route, attempt in in_flight
            if attempt.upstream.version != sampler.target_version
        ]
        rows = [
            SampleRow(server, route, counts.ended, counts.failed, counts.timed, counts.late)
            for (server, route), counts in sampler.counts.items()
        ]
        return GatewayReport(
            service, sampler.rollout_id, self.name, self.life, round(now - sampler.began_at, 3), index,
            elsewhere.count(False), elsewhere.count(True), rows,
        )  # fmt: skip
