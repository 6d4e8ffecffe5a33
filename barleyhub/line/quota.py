"""Rate-limit quotas that all gateways enforce together: probabilistic admission and batched usage reports.

After Wu and Wong's closed-form local rule: a request is admitted with the probability of remaining units over
units offered at all gateways, clamped to 0..1. ``Account`` is a gateway's side of one tenant's quota,
``QuotaOwner`` the side that holds the totals. Times are monotonic seconds.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

GATE_PERIOD_S = 0.5  # the remaining units are spread over this time
RATE_WINDOW_S = 1.0  # time constant of the averages of offered and admitted units a second
TOTALS_MAX_AGE_S = 2.5  # with older totals, a gateway falls back to its own part of the quota
# Intervals between usage reports.
REPORT_URGENT_S = 0.04  # a request waits for totals
REPORT_IDLE_S = 2.0  # far from the quota; must be less than TOTALS_MAX_AGE_S
REPORT_NEAR_QUOTA_S = 0.5
REPORT_BUSY_S = 0.1  # much has been offered or admitted since the last report
NEAR_QUOTA_SHARE = 0.8  # of the rate; a tenant that offers more may soon exceed its quota
UNREPORTED_SHARE = 0.5  # share of a gateway's part of the remaining units that may stay unreported
GROWTH_SMOOTHING_PER_S = 4.0  # units a second; keeps small local rates from implying large growth
# Initial level of a bucket without known history, as shares of the burst, which may just have been used, and
# of what may be granted beyond the quota in that case; the rest of that is for inexact totals.
INITIAL_BURST_SHARE, INITIAL_EXCESS_SHARE = 0.5, 0.5
IDLE_EXPIRY_S = 60.0  # idle tenants are dropped after this time
GRANTED_SHARE = 1.0  # share of the quota that is granted
# A bucket on hand-over: rate, burst, remaining, offered, admitted, and the reported counts by gateway.
BucketImage = list[Any]


class TenantTotals(msgspec.Struct):
    """Totals of one tenant over all gateways at one time."""

    remaining: float
    offered: float  # units a second
    admitted: float  # units a second
    as_of: float
    offered_here: float = 0.0  # units a second offered at this gateway at the same time

    def estimate_offered(self, offered_here: float) -> float:
        """Units a second now offered at all gateways, if they have grown in proportion to those here."""
        return max(
            self.offered
            * max(
                (offered_here + GROWTH_SMOOTHING_PER_S) / (self.offered_here + GROWTH_SMOOTHING_PER_S), 1.0
            ),
            offered_here,
        )


class Account(msgspec.Struct):
    """One gateway's counts for a tenant, and its estimate of the tenant's remaining units."""

    tenant: str
    rate: float  # units a second
    burst: float  # units
    gateway_count: int  # gateways that share the quota
    refilled_at: float
    totals: TenantTotals | None = None
    own_remaining: float = 0.0  # this gateway's part of the quota, used without fresh totals
    offered: float = 0.0  # cumulative since the account was created
    admitted: float = 0.0
    reported_offered: float = 0.0  # of these, what the newest totals include
    reported_admitted: float = 0.0
    offered_per_s: float = 0.0  # at this gateway, as of rates_updated_at
    admitted_per_s: float = 0.0
    rates_updated_at: float = 0.0
    offered_by_priority: dict[int, float] = msgspec.field(default_factory=dict)  # units a second
    reported_at: float = -math.inf
    last_used_at: float = 0.0
    urgent: bool = False  # a request waits for totals

    def __post_init__(self) -> None:
        # The burst of a new tenant is split evenly among the gateways.
        self.own_remaining = self.burst / max(self.gateway_count, 1)
        self.rates_updated_at = self.last_used_at = self.refilled_at

    def reconfigure(self, rate: float, burst: float, gateway_count: int, now: float) -> None:
        """Change the quota or the number of gateways, without granting used units again."""
        self.refill(now)
        self.rate, self.burst, self.gateway_count = rate, burst, max(gateway_count, 1)
        self.own_remaining = min(self.own_remaining, burst / self.gateway_count)
        if self.totals is not None:
            self.totals.remaining = min(self.totals.remaining, burst)

    def refill(self, now: float) -> None:
        """Refill this gateway's own part of the quota up to now."""
        elapsed_s, self.refilled_at = max(now - self.refilled_at, 0.0), now
        own_share = GRANTED_SHARE / max(self.gateway_count, 1)
        self.own_remaining = min(
            self.own_remaining + self.rate * own_share * elapsed_s, self.burst * own_share
        )

    def totals_fresh(self, now: float) -> bool:
        """Whether the totals are recent enough to be used."""
        return self.totals is not None and now - self.totals.as_of < TOTALS_MAX_AGE_S

    def remaining(self, now: float) -> float:
        """Estimated remaining units: of the tenant with fresh totals, else of this gateway's own part."""
        totals = self.totals
        if totals is None or now - totals.as_of >= TOTALS_MAX_AGE_S:
            return self.own_remaining
        elapsed_s, offered_here = now - totals.as_of, self.offered_here(now)
        unreported = self.admitted - self.reported_admitted
        others_steady = min(max(totals.admitted - self.admitted_per_s, 0.0), self.rate) * elapsed_s
        others_estimated = 0.0
        offered = totals.estimate_offered(offered_here)
        if 0.0 < offered_here < offered:
            # Other gateways admit the same share of their requests, as they use the same totals.
            others_estimated = min(
                unreported * (offered / offered_here - 1), (offered - offered_here) * elapsed_s
            )
        refilled = min(totals.remaining + self.rate * GRANTED_SHARE * elapsed_s - others_steady, self.burst)
        return refilled - unreported - max(others_estimated - others_steady, 0.0)

    def admission_probability(self, now: float, priority: int | None = None) -> float:
        """Remaining units over the units offered at all gateways in ``GATE_PERIOD_S``, clamped to 0..1.

        With a priority, higher priorities are served first: their units are subtracted from the remaining
        ones. The mix of priorities is taken to be the same at all gateways.
        """
        offered_here = self.offered_here(now)
        if self.totals_fresh(now):
            assert self.totals is not None
            offered, rate = self.totals.estimate_offered(offered_here), self.rate * GRANTED_SHARE
        else:
            offered, rate = offered_here, self.rate * GRANTED_SHARE / max(self.gateway_count, 1)
        remaining = max(self.remaining(now), 0.0) + rate * GATE_PERIOD_S
        probability = min(remaining / max(offered * GATE_PERIOD_S, 1.0), 1.0)
        if probability == 1.0 or priority is None or not self.offered_by_priority.get(priority):
            return probability
        own_offered = self.offered_by_priority[priority]
        higher_offered = sum(units for other, units in self.offered_by_priority.items() if other < priority)
        return min(
            max((probability * sum(self.offered_by_priority.values()) - higher_offered) / own_offered, 0.0),
            1.0,
        )

    def offered_here(self, now: float) -> float:
        """Units a second offered at this gateway."""
        return self.offered_per_s * math.exp(-max(now - self.rates_updated_at, 0.0) / RATE_WINDOW_S)

    def record_offer(self, units: float, now: float, priority: int = 0) -> None:
        """Count a request as offered, before it is decided."""
        self.refill(now)
        decay = math.exp(-max(now - self.rates_updated_at, 0.0) / RATE_WINDOW_S)
        self.offered_per_s = self.offered_per_s * decay + units / RATE_WINDOW_S
        self.offered_by_priority = {other: rate * decay for other, rate in self.offered_by_priority.items()}
        self.offered_by_priority[priority] = (
            self.offered_by_priority.get(priority, 0.0) + units / RATE_WINDOW_S
        )
        self.admitted_per_s *= decay
        self.rates_updated_at = self.last_used_at = now
        self.offered += units

    def fits(self, units: float, now: float) -> bool:
        """Whether the remaining units suffice."""
        return self.remaining(now) >= units

    def admit(self, units: float) -> None:
        """Count a request as admitted."""
        self.admitted += units
        self.own_remaining = max(self.own_remaining - units, -1.0)
        self.admitted_per_s += units / RATE_WINDOW_S

    def hold(self, units: float) -> None:
        """Reserve units for a request that waits for totals, so that the totals include them."""
        self.admitted += units

    def release(self, units: float) -> None:
        """Return the units reserved by ``hold`` before the request is decided."""
        self.admitted -= units

    def retry_after(self, units: float, now: float) -> float:
        """Time in s after which the units are expected to fit, within 0.05 to 5."""
        rate = self.rate if self.totals_fresh(now) else self.rate / max(self.gateway_count, 1)
        return min(max((units - self.remaining(now)) / rate if rate else 1.0, 0.05), 5.0)

    def can_decide(self, units: float, now: float) -> bool:
        """Whether the request can be decided now: with fresh totals, or from the own part of the quota."""
        return self.own_remaining >= units or self.totals_fresh(now)

    def report_due(self, now: float) -> bool:
        """Whether a usage report is due."""
        if self.urgent:
            return now - self.reported_at >= REPORT_URGENT_S
        unreported = abs(self.admitted - self.reported_admitted) + (self.offered - self.reported_offered) / 4
        # The unreported units of all gateways together stay below the remaining ones.
        many_unreported = unreported > max(
            UNREPORTED_SHARE * self.remaining(now) / max(self.gateway_count, 1), 1.0
        )
        totals = self.totals
        near_quota = totals is not None and (
            totals.remaining < self.burst / 2 or totals.offered > NEAR_QUOTA_SHARE * self.rate
        )
        interval_s = (
            REPORT_BUSY_S if many_unreported else REPORT_NEAR_QUOTA_S if near_quota else REPORT_IDLE_S
        )
        worth_reporting = unreported > 0 or (
            near_quota and self.totals_fresh(now) and now - self.last_used_at < 2 * TOTALS_MAX_AGE_S
        )
        return worth_reporting and now - self.reported_at >= interval_s

    def report(self, now: float) -> dict[str, float]:
        """A usage report. Its counts are cumulative, so that a repeated report is harmless."""
        self.reported_at = now
        counts = {"o": self.offered, "a": self.admitted, "r": self.rate, "b": self.burst}
        if self.totals is not None and now - self.totals.as_of < IDLE_EXPIRY_S:
            # Initial values for an owner that has no bucket of this tenant yet.
            counts |= {"k": round(self.remaining(now), 2), "ko": round(self.totals.offered, 2)}
        return counts

    def known_totals(self, now: float) -> dict[str, float]:
        """What a new owner begins with, as far as this gateway knows: for gateways that know nothing yet."""
        if self.totals is None or not self.totals_fresh(now):
            return {}
        offered = self.totals.estimate_offered(self.offered_here(now))
        return {"k": self.remaining(now), "ko": max(offered, self.totals.offered)}

    def update_totals(
        self,
        remaining: float,
        offered: float,
        admitted: float,
        included: tuple[float, float],
        asked_at: float,
    ) -> None:
        """Take new totals, which include this account's counts up to ``included`` as of ``asked_at``."""
        if self.totals is not None and asked_at < self.totals.as_of:
            return  # out of order: newer totals have been received
        self.totals, self.urgent = (
            TenantTotals(remaining, offered, admitted, asked_at, self.offered_here(asked_at)),
            False,
        )
        self.reported_offered, self.reported_admitted = included
        # Without further totals, this gateway falls back to an equal part of the remaining units.
        self.own_remaining = min(self.own_remaining, max(remaining, 0.0) / max(self.gateway_count, 1) + 1.0)


class GatewayCounts(msgspec.Struct):
    """Cumulative counts that one gateway instance has reported."""

    instance_id: str
    offered: float
    admitted: float
    updated_at: float


class TenantBucket(msgspec.Struct):
    """Token bucket of one tenant over the units admitted at all gateways."""

    rate: float
    burst: float
    refilled_at: float
    remaining: float
    offered_per_s: float = 0.0
    admitted_per_s: float = 0.0
    reports: dict[str, GatewayCounts] = msgspec.field(default_factory=dict)
    created_at: float = 0.0
    inherited: bool = False  # taken over from the previous owner, which no longer grants units

    def refill(self, now: float, reachable_share: float) -> None:
        """Refill the bucket for the share of all gateways that can reach this owner."""
        elapsed_s, self.refilled_at = max(now - self.refilled_at, 0.0), max(now, self.refilled_at)
        decay = math.exp(-elapsed_s / RATE_WINDOW_S)
        self.offered_per_s *= decay
        self.admitted_per_s *= decay
        self.remaining = min(
            self.remaining + self.rate * GRANTED_SHARE * reachable_share * elapsed_s, self.burst
        )


class QuotaTolerance(msgspec.Struct, frozen=True):
    """How far a tenant may exceed its quota within any ``window_s``: by a share of it, and some units."""

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def units(self, rate: float, burst: float) -> float:
        """The units that may be granted beyond the quota."""
        return (rate * self.window_s + burst) * self.excess + self.slack


class QuotaOwner:
    """Token buckets of the tenants owned by this gateway. The caller decides which ones these are."""

    def __init__(self, tolerance: QuotaTolerance = QuotaTolerance()) -> None:  # noqa: B008 - immutable
        self.tolerance = tolerance
        self.buckets: dict[str, TenantBucket] = {}
        self.handed_over: dict[str, TenantBucket] = {}  # received, without a report yet
        self.reachable_share = 1.0  # of the gateways; the others may have an owner of their own
        # Other gateways were running before this one, and their usage is unknown until they report.
        self.just_started = False
        self.gateway_count = 1

    def apply_report(
        self, gateway: str, instance_id: str, tenant: str, counts: dict[str, float], now: float
    ) -> tuple[float, float, float]:
        """Apply a usage report; returns remaining units, and offered and admitted units a second."""
        rate, burst = counts["r"], counts["b"]
        bucket, known_remaining = (
            self.buckets.get(tenant),
            counts.get("k", 0.0 if self.just_started else self.initial_level(rate, burst)),
        )
        if (
            bucket is None
            and (handed := self.handed_over.pop(tenant, None)) is not None
            and now - handed.refilled_at < TOTALS_MAX_AGE_S
        ):
            bucket = self.buckets[tenant] = handed
        if known_remaining > 0:
            known_remaining *= self.reachable_share
        if bucket is None:
            bucket = self.buckets[tenant] = TenantBucket(
                rate, burst, now, min(known_remaining, burst), created_at=now
            )
            bucket.offered_per_s = counts.get("ko", 0.0)
        # Gateways that have not reported yet may still use another owner, which grants units as well.
        uncertain = self.just_started and not bucket.inherited
        reported_share = min(len(bucket.reports) / self.gateway_count, 1.0) if uncertain else 1.0
        bucket.refill(now, min(self.reachable_share, reported_share))
        if (bucket.rate, bucket.burst) != (rate, burst):
            # Gateways learn of a new quota at different times; remaining units follow the lower burst.
            bucket.rate, bucket.burst = rate, burst
            bucket.remaining = min(bucket.remaining, burst)
        report = bucket.reports.get(gateway)
        if report is None or report.instance_id != instance_id:
            # Earlier counts were reported to the previous owner, or are included in "k".
            if report is None and "k" in counts and now - bucket.created_at < TOTALS_MAX_AGE_S:
                bucket.remaining = min(bucket.remaining, known_remaining)
                # The first report may be that of a gateway that has just restarted and knows of no load.
                bucket.offered_per_s = max(bucket.offered_per_s, counts.get("ko", 0.0))
            elif "k" not in counts:
                bucket.remaining -= counts["a"]
                bucket.offered_per_s += counts["o"] / RATE_WINDOW_S
            bucket.reports[gateway] = GatewayCounts(instance_id, counts["o"], counts["a"], now)
        else:
            # The admitted count decreases when a request that waited for totals is refused.
            admitted, offered = counts["a"] - report.admitted, max(counts["o"] - report.offered, 0.0)
            bucket.remaining -= admitted
            bucket.admitted_per_s = max(bucket.admitted_per_s + admitted / RATE_WINDOW_S, 0.0)
            bucket.offered_per_s += offered / RATE_WINDOW_S
            report.admitted, report.offered, report.updated_at = (
                counts["a"],
                max(counts["o"], report.offered),
                now,
            )
        return round(bucket.remaining, 2), round(bucket.offered_per_s, 2), round(bucket.admitted_per_s, 2)

    def initial_level(self, rate: float, burst: float) -> float:
        """The level of a bucket of which nobody knows how much of the burst has been used."""
        return min(INITIAL_BURST_SHARE * burst, INITIAL_EXCESS_SHARE * self.tolerance.units(rate, burst))

    def expire(self, now: float) -> None:
        """Drop idle buckets, and handed-over ones that no gateway has reported for."""
        for tenant in [
            tenant for tenant, bucket in self.buckets.items() if now - bucket.refilled_at > IDLE_EXPIRY_S
        ]:
            del self.buckets[tenant]
        self.handed_over = {
            tenant: bucket
            for tenant, bucket in self.handed_over.items()
            if now - bucket.refilled_at < TOTALS_MAX_AGE_S
        }

    def hand_over(self, tenant: str, now: float) -> BucketImage | None:
        """Remove the bucket and return its image for the new owner; None if it is unknown or out of date."""
        bucket = self.buckets.pop(tenant, None)
        if bucket is None or all(
            now - report.updated_at > TOTALS_MAX_AGE_S for report in bucket.reports.values()
        ):
            return None
        bucket.refill(now, self.reachable_share)
        reports = {
            name: [report.instance_id, report.offered, report.admitted]
            for name, report in bucket.reports.items()
        }
        figures = [round(x, 2) for x in (bucket.remaining, bucket.offered_per_s, bucket.admitted_per_s)]
        return [bucket.rate, bucket.burst, *figures, reports]

    def take_over(self, tenant: str, image: BucketImage, now: float) -> None:
        """Accept the previous owner's bucket. A bucket created here meanwhile keeps its lower level."""
        rate, burst, remaining, offered, admitted, reports = image
        taken = {
            name: GatewayCounts(instance_id, reported_offered, reported_admitted, now)
            for name, (instance_id, reported_offered, reported_admitted) in reports.items()
        }
        existing = self.buckets.get(tenant)
        if existing is None:
            self.handed_over[tenant] = TenantBucket(
                rate, burst, now, remaining, offered, admitted, taken, now, True
            )
        elif now - existing.created_at < TOTALS_MAX_AGE_S:
            existing.reports = taken | existing.reports
