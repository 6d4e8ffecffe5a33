"""Outlier detection across gateways: which upstreams fail more often than they should.

With many gateways, each one sees few requests to an upstream. So gateways report their counts for suspect
upstreams, and all avoid an upstream once ``MIN_WITNESSES`` of them have seen failures. Evidence from the own
zone takes precedence, as an upstream may fail for clients of one zone only; that of other zones counts as a
prior of ``PRIOR_ATTEMPTS`` attempts. Outliers only get a worse score, so that no pool is ever emptied.
Does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

FADE_S = 4.0  # time constant over which counts fade
MIN_WITNESSES = 2  # gateways that must have seen a failure
OTHER_ZONES = "*"  # stands for all zones but the own
MIN_ZONES = 2  # zones that must have seen a failure if the own zone has not
PRIOR_ATTEMPTS = 4.0  # weight of the other zones' evidence, and of the assumption that an upstream is good
MIN_FAILURE_SHARE = 0.1  # some requests fail on any upstream
CHANCE_DEVIATIONS = 0.4  # standard deviations of a failure count that are attributed to chance
MAX_OUTLIER_SHARE = 1 / 3  # of a service's upstreams; if more fail, the cause lies elsewhere
MIN_ATTEMPTS = 0.2  # faded counts below this are dropped


def decay(elapsed_s: float) -> float:
    """Factor by which counts fade within ``elapsed_s``."""
    return math.exp(-max(elapsed_s, 0.0) / FADE_S)


class FailureEvidence(msgspec.Struct):
    """Faded counts of attempts, the gateways that saw a failure, and the number of their zones."""

    failed: float = 0.0
    attempts: float = 0.0
    witnesses: frozenset[str] = frozenset()
    zone_count: int = 0

    def combined(self, other: FailureEvidence) -> FailureEvidence:
        """The sum with evidence from other zones."""
        return FailureEvidence(
            self.failed + other.failed, self.attempts + other.attempts, self.witnesses | other.witnesses,
            self.zone_count + other.zone_count,
        )  # fmt: skip

    def decayed(self, elapsed_s: float) -> FailureEvidence:
        """The same evidence ``elapsed_s`` later."""
        remaining = decay(elapsed_s)
        return FailureEvidence(
            self.failed * remaining, self.attempts * remaining, self.witnesses, self.zone_count
        )


def combine(evidence: Iterable[FailureEvidence]) -> FailureEvidence:
    """Sum of the evidence of different zones."""
    total = FailureEvidence()
    for item in evidence:
        total = total.combined(item)
    return total


def significant(failed: float) -> float:
    """Number of failures beyond what is attributed to chance."""
    return max(failed - CHANCE_DEVIATIONS * math.sqrt(failed), 0.0)


def summarize(evidence: Mapping[str, FailureEvidence], zone: str) -> dict[str, FailureEvidence]:
    """Evidence as a gateway in ``zone`` needs it: that of its own zone, and the sum of all others."""
    others = combine(item for other, item in evidence.items() if other != zone)
    return {zone: evidence.get(zone, FailureEvidence()), OTHER_ZONES: others}


def failure_share(evidence: Mapping[str, FailureEvidence], zone: str) -> float:
    """Share of failures that a gateway in ``zone`` has to expect, from the evidence by zone.

    0.0 if too few gateways have seen a failure, or if the share is not significant.
    """
    if len(combine(evidence.values()).witnesses) < MIN_WITNESSES:
        return 0.0
    own = evidence.get(zone, FailureEvidence())
    others = combine(item for other, item in evidence.items() if other != zone)
    others_share, others_significant = (
        others.failed / (others.attempts + PRIOR_ATTEMPTS),
        significant(others.failed) / (others.attempts + PRIOR_ATTEMPTS),
    )
    if not own.witnesses and others.zone_count < MIN_ZONES:
        others_share = others_significant = 0.0
    if (significant(own.failed) + PRIOR_ATTEMPTS * others_significant) / (
        own.attempts + PRIOR_ATTEMPTS
    ) < MIN_FAILURE_SHARE:
        return 0.0
    return (own.failed + PRIOR_ATTEMPTS * others_share) / (own.attempts + PRIOR_ATTEMPTS)


class FailureCounts(msgspec.Struct):
    """One gateway's faded counts of attempts at one upstream."""

    failed: float = 0.0
    attempts: float = 0.0
    updated_at: float = -math.inf

    def record(self, failed: bool, now: float) -> None:
        """Count one attempt."""
        remaining = decay(now - self.updated_at)
        self.failed, self.attempts, self.updated_at = (
            self.failed * remaining + failed,
            self.attempts * remaining + 1.0,
            now,
        )


class FailureReporter(msgspec.Struct):
    """This gateway's own counts, and which of them are to be reported.

    Reports hold current counts rather than changes, so that a lost report is made up for by the next.
    """

    counts: dict[str, FailureCounts] = msgspec.field(default_factory=dict)
    # Upstreams with failures seen here or elsewhere; their successes are reported as well.
    suspects: set[str] = msgspec.field(default_factory=set)
    unreported: set[str] = msgspec.field(default_factory=set)  # changed since the last report
    urgent: bool = False  # the unreported attempts include a failure

    def record(self, ident: str, failed: bool, now: float) -> None:
        """Count one attempt at an upstream."""
        counts = self.counts.get(ident)
        if counts is None:
            counts = self.counts[ident] = FailureCounts()
        counts.record(failed, now)
        if failed:
            self.suspects.add(ident)
            self.urgent = True
        if ident in self.suspects:
            self.unreported.add(ident)

    def suspect(self, idents: Iterable[str]) -> None:
        """Mark upstreams for which other gateways have seen failures."""
        for ident in idents:
            if ident not in self.suspects:
                self.suspects.add(ident)
                if ident in self.counts:
                    self.unreported.add(ident)

    def take_report(self, now: float) -> list[tuple[str, float, float]]:
        """Instance, failures and attempts of each upstream that changed since the last report."""
        report = []
        for ident in sorted(self.unreported):
            counts = self.counts[ident]
            remaining = decay(now - counts.updated_at)
            report.append((ident, round(counts.failed * remaining, 2), round(counts.attempts * remaining, 2)))
        self.unreported.clear()
        self.urgent = False
        return report

    def expire(self, now: float, cleared: Iterable[str] = ()) -> None:
        """Drop faded counts. ``cleared`` are no longer suspect unless they have failed here."""
        for ident in [
            ident
            for ident, counts in self.counts.items()
            if counts.attempts * decay(now - counts.updated_at) < MIN_ATTEMPTS
        ]:
            del self.counts[ident]
            self.unreported.discard(ident)
            self.suspects.discard(ident)
        for ident in cleared:
            counts = self.counts.get(ident)
            if counts is None or counts.failed * decay(now - counts.updated_at) < MIN_ATTEMPTS:
                self.suspects.discard(ident)


class OutlierDetector(msgspec.Struct):
    """Evidence received from all gateways, and the failure shares that follow from it."""

    zone: str
    received: dict[str, tuple[dict[str, FailureEvidence], float]] = msgspec.field(
        default_factory=dict
    )  # evidence by zone and time of receipt, by instance

    def learn(self, ident: str, evidence: dict[str, FailureEvidence], now: float) -> None:
        """Replace the evidence about an upstream."""
        self.received[ident] = evidence, now

    def evidence(self, ident: str, now: float) -> dict[str, FailureEvidence]:
        """Current evidence about an upstream by zone."""
        evidence, received_at = self.received.get(ident, ({}, now))
        return {zone: item.decayed(now - received_at) for zone, item in evidence.items()}

    def expire(self, now: float) -> list[str]:
        """Drop faded evidence and return the instances it was about."""
        expired = [
            ident
            for ident, (evidence, received_at) in self.received.items()
            if combine(evidence.values()).failed * decay(now - received_at) < MIN_ATTEMPTS
        ]
        for ident in expired:
            del self.received[ident]
        return expired

    def failure_shares(self, services: Mapping[str, Iterable[str]], now: float) -> dict[str, float]:
        """Outliers with the share of failures to expect, given the ready instances of each service.

        Limited to the worst ``MAX_OUTLIER_SHARE`` of a service.
        """
        outliers: dict[str, float] = {}
        for idents in services.values():
            idents = list(idents)
            worst = []
            for ident in idents:
                if ident in self.received:
                    share = failure_share(self.evidence(ident, now), self.zone)
                    if share:
                        worst.append((share, ident))
            worst.sort(reverse=True)
            outliers |= {
                ident: share for share, ident in worst[: math.floor(len(idents) * MAX_OUTLIER_SHARE)]
            }
        return outliers
