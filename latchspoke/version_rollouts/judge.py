"""Decides on a rollout from the pooled samples: the next share, completed, or reverted. No I/O, no clock.

The judge runs at the leader of the replicated log. It keeps no state that a new leader needs: the record is
replicated, and the samples are sent again to whoever leads.

A version is worse if its failure or lateness rate exceeds that of the other versions by more than a margin
with high probability, on one route or on all routes together, over the whole rollout or in its last seconds
(it may turn bad late). The comparison is the Bayesian one of ``rollouts.comparison``, which needs no sample
size fixed in advance.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection

import msgspec

from latchspoke.rollouts.comparison import SCEPTICAL_PRIOR_REQUESTS, RequestCounts, probability_above
from latchspoke.version_rollouts.records import FULL_SHARE, RolloutRecord, RolloutState
from latchspoke.version_rollouts.samples import (
    OTHER_VERSIONS,
    SamplePool,
    Totals,
    VersionSamples,
    samples_of_others,
    samples_of_target,
    subtract,
)

CONFIDENCE = 0.99  # that the target version is worse, before it is reverted
MAX_FAILURE_INCREASE = 0.03  # tolerated, as a share of the attempts
MAX_LATE_INCREASE = 0.06
MIN_BAD_ATTEMPTS = 3  # fewer prove nothing
MAX_DOUBT = 0.5  # probability that it is worse, from its own samples alone, with which the share is raised
WINDOW_S = 2.5  # over which the latest samples are judged by themselves
MIN_WINDOW_BASELINE = 50  # attempts at other versions; with fewer, those of the whole rollout are used
MIN_TRIAL_REQUESTS = 50  # at the target version, before its share is raised
SHIFT_LEAD_S = 2.7  # before the end of the duration, for all requests to move and the operator to learn of it
SHIFT_LEAD_FRACTION = 0.1  # of a long duration
MIN_TRIAL_FRACTION = 0.4  # of a short duration
TRIAL_FRACTION = 0.8  # of the exposure bound: the rest is for chance, and for the time until a revert
MAX_TRIAL_SHARE = 0.3
MIN_TRIAL_INCREASE = 1.25  # a smaller one is not worth a step
MIN_HEARD_FRACTION = 0.9  # of the live gateways, for the traffic to be told
TRAFFIC_KNOWN_S = 2.0  # after the order, until the traffic can be told
RAMP_SHARE = 0.4  # for a moment between the trial and the full share, so that connections are opened
RAMP_S = 0.5
FULL_SHARE_S = 0.7  # at full load, before the rollout is completed
REPORT_TTL_S = 1.5  # an older report says nothing about what is in flight
COMPLETION_MARGIN_S = 1.35  # before the end of the duration, repeatable attempts are waited for no longer
OVERTIME_FRACTION = 0.5  # of the duration; without enough samples by then, the rollout is reverted
FINAL_WAIT_S = 3.0  # after the duration, until attempts that can't be repeated are waited for no longer


class ExposureBound(msgspec.Struct, frozen=True):
    """How many requests may reach a bad version: a share of all, and a number on top."""

    share: float
    slack: float

    def trial_share(self, expected_requests: float = math.inf) -> float:
        """The share for the trial, if so many requests are expected; larger where there are few."""
        return min(TRIAL_FRACTION * (self.share + self.slack / expected_requests), MAX_TRIAL_SHARE)


class Advance(msgspec.Struct, frozen=True):
    """Raise the share of the target version."""

    share: float
    reason: str


class End(msgspec.Struct, frozen=True):
    """End the rollout."""

    state: RolloutState
    reason: str


Decision = Advance | End


class Verdict(msgspec.Struct, frozen=True):
    """Why the target version is worse."""

    what: str  # "failed" or "late"
    scope: str  # a route, or "all routes"
    target: RequestCounts
    others: RequestCounts

    def __str__(self) -> str:
        bad, other_bad = (
            (self.target.failed, self.others.failed)
            if self.what == "failed"
            else (self.target.late, self.others.late)
        )
        return (
            f"{bad:.0f} of {self.target.requests:.0f} {self.what} on {self.scope}, "
            f"{other_bad:.0f} of {self.others.requests:.0f} at other versions"
        )


def trial_end(duration_s: float) -> float:
    """When (s after the order) the trial may end.

    As late as the requests can still move within the duration, since a version may turn bad late, and what it
    has received by then counts against the exposure bound.
    """
    lead_s = max(SHIFT_LEAD_S, SHIFT_LEAD_FRACTION * duration_s)
    return max(duration_s - lead_s, MIN_TRIAL_FRACTION * duration_s)


class RolloutJudge:
    """The judge of one rollout."""

    def __init__(self, record: RolloutRecord, exposure: ExposureBound) -> None:
        self.rollout_id, self.exposure = record.rollout_id, exposure
        self.history: deque[tuple[float, Totals]] = deque()  # the last WINDOW_S, oldest first
        self.shift_known_at: float | None = None  # when the full share was first seen

    def decide(
        self, record: RolloutRecord, pool: SamplePool, gateways: Collection[str], elapsed_s: float, now: float
    ) -> Decision | None:
        """The next step; None to wait. ``gateways``: the live ones; ``elapsed_s``: since the order."""
        totals = pool.totals()
        recent = self.recent_totals(totals, now)
        verdict = find_fault(totals, recent)
        if verdict is not None:
            return End(RolloutState.REVERTED, str(verdict))
        if record.shifted:
            return self.decide_completion(record, pool, gateways, elapsed_s, now)
        return self.decide_share(record, totals, elapsed_s) or self.widen_trial(
            record, pool, gateways, elapsed_s, now
        )

    def recent_totals(self, totals: Totals, now: float) -> Totals:
        """What was counted in the last ``WINDOW_S``."""
        self.history.append((now, totals))
        while len(self.history) > 1 and self.history[1][0] <= now - WINDOW_S:
            self.history.popleft()
        return subtract(totals, self.history[0][1])

    def decide_share(self, record: RolloutRecord, totals: Totals, elapsed_s: float) -> Decision | None:
        """Whether the trial is over."""
        shift_at = trial_end(record.duration_s)
        tried = sum(counts[0] for (server, _), counts in totals.items() if server != OTHER_VERSIONS)
        if tried < MIN_TRIAL_REQUESTS:
            if elapsed_s >= (1 + OVERTIME_FRACTION) * record.duration_s:
                return End(RolloutState.REVERTED, f"only {tried} requests reached it in time")
            return None
        share = FULL_SHARE if elapsed_s >= shift_at else RAMP_SHARE
        if elapsed_s < shift_at - RAMP_S or share <= record.share:
            return None
        if doubt := find_doubt(totals):
            overdue = elapsed_s >= (1 + OVERTIME_FRACTION) * record.duration_s
            return End(RolloutState.REVERTED, f"too few requests to tell: {doubt}") if overdue else None
        return Advance(share, f"no fault in {tried} requests")

    def widen_trial(
        self, record: RolloutRecord, pool: SamplePool, gateways: Collection[str], elapsed_s: float, now: float
    ) -> Decision | None:
        """Whether there is so little traffic that more of it may go to the target version.

        Done once, and only while nearly all gateways report: the traffic of a silent one is not known.
        """
        heard = len(pool.fresh_reports(now - REPORT_TTL_S).keys() & set(gateways))
        if elapsed_s < TRAFFIC_KNOWN_S or heard < MIN_HEARD_FRACTION * len(gateways):
            return None
        seen = sum(counts[0] for counts in pool.totals().values())
        usual_share = self.exposure.trial_share()
        if not seen or record.share > usual_share:
            return None
        share = self.exposure.trial_share(seen / elapsed_s * record.duration_s)
        if share < MIN_TRIAL_INCREASE * usual_share:
            return None
        return Advance(share, f"{seen / elapsed_s:.0f} requests a second")

    def decide_completion(
        self,
        record: RolloutRecord,
        pool: SamplePool,
        gateways: Collection[str],
        elapsed_s: float,
        now: float,
    ) -> Decision | None:
        """Whether the servers of other versions may stop without an end to what they work on."""
        if self.shift_known_at is None:
            self.shift_known_at = now
        reports = pool.fresh_reports(max(now - REPORT_TTL_S, self.shift_known_at))
        moved = {name: report for name, report in reports.items() if report.index >= record.changed_index}
        unsafe = sum(report.unsafe_in_flight for report in moved.values())
        safe = sum(report.safe_in_flight for report in moved.values())
        missing = sum(name not in moved for name in gateways)
        overdue = elapsed_s >= record.duration_s - COMPLETION_MARGIN_S
        settled = not safe and not missing and now - self.shift_known_at >= FULL_SHARE_S
        if not unsafe and (settled or (overdue and moved)):
            return End(RolloutState.COMPLETED, f"{safe} repeatable requests at other versions")
        if elapsed_s >= record.duration_s + FINAL_WAIT_S and moved:
            return End(RolloutState.COMPLETED, f"{unsafe} requests at other versions do not end")
        return None


def find_fault(totals: Totals, recent: Totals) -> Verdict | None:
    """Why the target version is worse than the others; None if it can't be said to be."""
    routes = sorted({route for server, route in totals if server != OTHER_VERSIONS})
    scopes = [(route, [route]) for route in routes]
    if len(routes) > 1:
        scopes.append(("all routes", routes))
    for scope, scope_routes in scopes:
        overall = samples_of_others(totals, scope_routes)
        for window in (recent, totals):
            target = samples_of_target(window, scope_routes)
            others = samples_of_others(window, scope_routes)
            verdict = compare(scope, target, baseline(others, overall))
            if verdict is not None:
                return verdict
    return None


def find_doubt(totals: Totals) -> Verdict | None:
    """What may be a fault, but has too few samples to tell; None if the target version looks good."""
    routes = sorted({route for server, route in totals if server != OTHER_VERSIONS})
    target, others = samples_of_target(totals, routes), samples_of_others(totals, routes)
    new, old = target.failures, others.failures
    if (
        probability_above(new.requests, new.failed, old.requests, old.failed, MAX_FAILURE_INCREASE)
        > MAX_DOUBT
    ):
        return Verdict("failed", "all routes", new, old)
    new, old = target.lateness, others.lateness
    if probability_above(new.requests, new.late, old.requests, old.late, MAX_LATE_INCREASE) > MAX_DOUBT:
        return Verdict("late", "all routes", new, old)
    return None


def baseline(window: VersionSamples, overall: VersionSamples) -> VersionSamples:
    """The other versions' counts to compare with: those of the window where they suffice."""
    enough = window.failures.requests >= MIN_WINDOW_BASELINE
    enough_timed = window.lateness.requests >= MIN_WINDOW_BASELINE
    return VersionSamples(
        window.failures if enough else overall.failures,
        window.lateness if enough_timed else overall.lateness,
    )


def compare(scope: str, target: VersionSamples, others: VersionSamples) -> Verdict | None:
    """Whether failures or lateness of the target version are beyond what is tolerated."""
    new, old = target.failures, others.failures
    if is_worse(new.requests, new.failed, old.requests, old.failed, MAX_FAILURE_INCREASE):
        return Verdict("failed", scope, new, old)
    new, old = target.lateness, others.lateness
    if is_worse(new.requests, new.late, old.requests, old.late, MAX_LATE_INCREASE):
        return Verdict("late", scope, new, old)
    return None


def is_worse(requests: float, bad: float, other_requests: float, other_bad: float, margin: float) -> bool:
    """Whether the first rate is above the second by more than the margin, with ``CONFIDENCE``."""
    if bad < MIN_BAD_ATTEMPTS or bad / requests <= other_bad / max(other_requests, 1.0) + margin:
        return False  # cheaper than the comparison, which would not be confident either
    probability = probability_above(
        requests, bad, other_requests, other_bad, margin, SCEPTICAL_PRIOR_REQUESTS
    )
    return probability >= CONFIDENCE
