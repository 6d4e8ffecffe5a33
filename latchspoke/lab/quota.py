"""What was sent on against the quotas: each try once, when a node first takes it whole. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

SEEN_RETENTION_S = 30.0  # s; attempts of one try lie closer together than this


@dataclass(frozen=True, slots=True)
class PlanQuota:
    """Units a second and units at once; a ceiling of 0 is none. ``slack`` is a part of the ceiling."""

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    slack: float = 0.1
    pays: float = 1.0


@dataclass(slots=True)
class TokenBucket:
    """A store of units that fills at a rate: a token bucket."""

    level: float
    updated_at: float

    def take(self, units: float, rate: float, capacity: float, now: float) -> bool:
        """Whether it holds them; it is left as it is where it does not."""
        self.level = min(capacity, self.level + rate * (now - self.updated_at))
        self.updated_at = now
        if self.level < units - 1e-9:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class QuotaUsage:
    """What of one plan was sent on."""

    inside: float = 0.0
    beyond: float = 0.0
    over_ceiling: float = 0.0


@dataclass(slots=True)
class QuotaAuditor:
    """Watches what nodes take in, for all customers."""

    plans: dict[str, PlanQuota]
    largest_request: float = 1.0
    buckets: dict[tuple[str, int], tuple[TokenBucket, TokenBucket]] = field(default_factory=dict)
    seen: dict[str, float] = field(default_factory=dict)
    use: dict[str, QuotaUsage] = field(default_factory=dict)
    attempts: int = 0

    def record_attempt(self, request_id: str, plan: str, customer: int, units: float, now: float) -> None:
        """An attempt has come whole to a node."""
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
        """The ceiling at once, with a slack of its part or one of the largest requests."""
        return plan_quota.ceiling_burst + max(
            plan_quota.slack * plan_quota.ceiling_burst, self.largest_request
        )
