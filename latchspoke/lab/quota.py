"""Audit of forwarded requests against quotas; each request ID counts once, when a node first receives it."""

from __future__ import annotations

from dataclasses import dataclass, field

SEEN_RETENTION_S = 30.0  # longer than the attempts of one request are apart


@dataclass(frozen=True, slots=True)
class PlanQuota:
    """Quota of a plan: rates in units a second, bursts in units; a ceiling rate of 0 means no ceiling.

    ``slack`` is the tolerated fraction above the ceiling.
    """

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    slack: float = 0.1
    pays: float = 1.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket; ``updated_at`` is the time of its level."""

    level: float
    updated_at: float

    def take(self, units: float, rate: float, capacity: float, now: float) -> bool:
        """Take units if the bucket holds enough, and return whether it did."""
        self.level = min(capacity, self.level + rate * (now - self.updated_at))
        self.updated_at = now
        if self.level < units - 1e-9:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class QuotaUsage:
    """Units of one plan forwarded to nodes."""

    inside: float = 0.0
    beyond: float = 0.0
    over_ceiling: float = 0.0


@dataclass(slots=True)
class QuotaAuditor:
    """Compares the requests that nodes receive with the quotas of all customers."""

    plans: dict[str, PlanQuota]
    largest_request: float = 1.0
    buckets: dict[tuple[str, int], tuple[TokenBucket, TokenBucket]] = field(default_factory=dict)
    seen: dict[str, float] = field(default_factory=dict)
    use: dict[str, QuotaUsage] = field(default_factory=dict)
    attempts: int = 0

    def record_attempt(self, request_id: str, plan: str, customer: int, units: float, now: float) -> None:
        """Record an attempt that a node has received completely."""
        self.attempts += 1
        plan_quota = self.plans.get(plan)
        if plan_quota is None or request_id in self.seen:
            return
        self.seen[request_id] = now
        if len(self.seen) > 50_000:
            self.seen = {
                name: seen_at for name, seen_at in self.seen.items() if now - seen_at < SEEN_RETENTION_S
            }
        quota_bucket, ceiling_bucket = self.buckets.setdefault(
            (plan, customer),
            (TokenBucket(plan_quota.burst, now), TokenBucket(self.ceiling_capacity(plan_quota), now)),
        )
        use = self.use.setdefault(plan, QuotaUsage())
        if quota_bucket.take(units, plan_quota.rate, plan_quota.burst, now):
            use.inside += units
        else:
            use.beyond += units
        if plan_quota.ceiling_rate:
            rate = plan_quota.ceiling_rate * (1 + plan_quota.slack)
            if not ceiling_bucket.take(units, rate, self.ceiling_capacity(plan_quota), now):
                use.over_ceiling += units

    def ceiling_capacity(self, plan_quota: PlanQuota) -> float:
        """Burst of the ceiling plus slack: a fraction of it, but at least one request of the largest size."""
        return plan_quota.ceiling_burst + max(
            plan_quota.slack * plan_quota.ceiling_burst, self.largest_request
        )
