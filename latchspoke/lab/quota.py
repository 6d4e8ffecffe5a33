"""What was sent on against the quotas: each try once, when a node first takes it whole. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

SEEN_FOR = 30.0  # s; attempts of one try lie closer together than this


@dataclass(frozen=True, slots=True)
class PlanFigures:
    """Units a second and units at once; a ceiling of 0 is none. ``slack`` is a part of the ceiling."""

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    slack: float = 0.1
    pays: float = 1.0


@dataclass(slots=True)
class Store:
    """A store of units that fills at a rate: a token bucket."""

    level: float
    at: float

    def take(self, units: float, rate: float, most: float, now: float) -> bool:
        """Whether it holds them; it is left as it is where it does not."""
        self.level = min(most, self.level + rate * (now - self.at))
        self.at = now
        if self.level < units - 1e-9:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class Use:
    """What of one plan was sent on."""

    inside: float = 0.0
    beyond: float = 0.0
    over_ceiling: float = 0.0


@dataclass(slots=True)
class QuotaJudge:
    """Watches what nodes take in, for all customers."""

    plans: dict[str, PlanFigures]
    largest: float = 1.0
    stores: dict[tuple[str, int], tuple[Store, Store]] = field(default_factory=dict)
    seen: dict[str, float] = field(default_factory=dict)
    use: dict[str, Use] = field(default_factory=dict)
    attempts: int = 0

    def sent(self, ident: str, plan: str, customer: int, units: float, now: float) -> None:
        """An attempt has come whole to a node."""
        self.attempts += 1
        figures = self.plans.get(plan)
        if figures is None or ident in self.seen:
            return
        self.seen[ident] = now
        if len(self.seen) > 50_000:
            self.seen = {name: at for name, at in self.seen.items() if now - at < SEEN_FOR}
        quota, ceiling = self.stores.setdefault(
            (plan, customer), (Store(figures.burst, now), Store(self.ceiling_most(figures), now))
        )
        use = self.use.setdefault(plan, Use())
        if quota.take(units, figures.rate, figures.burst, now):
            use.inside += units
        else:
            use.beyond += units
        if figures.ceiling_rate:
            rate = figures.ceiling_rate * (1 + figures.slack)
            if not ceiling.take(units, rate, self.ceiling_most(figures), now):
                use.over_ceiling += units

    def ceiling_most(self, figures: PlanFigures) -> float:
        """The ceiling at once, with a slack of its part or one of the largest requests."""
        return figures.ceiling_burst + max(figures.slack * figures.ceiling_burst, self.largest)
