"""Results of a run: counters and latency histograms, which can be merged across processes.

Latency is measured from the time at which a request was due, not at which it was sent, so that a delayed
player does not hide latency from the results (coordinated omission). The lateness of the player is
recorded separately, with the time from which a run fell behind.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

SLOT_S = 0.1  # arrivals are compared in time slots of this length
MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3
BEHIND_THRESHOLD_S = 0.1  # a player that sends a request later than this has fallen behind
OUTCOMES = ("served", "late", "refused", "failed", "given up", "broken", "not connected")


def histogram() -> HdrHistogram:
    """Create a histogram of durations in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def classify_outcome(status: int, elapsed: float, target_latency: float) -> str:
    """Classify a response by status and latency."""
    if status == 200:
        return "served" if elapsed <= target_latency else "late"
    return "refused" if status in (429, 503) else "failed"


@dataclass(slots=True)
class Outcomes:
    """Counters and histograms of a run. Slots and seconds are relative to its start."""

    target_latency: float
    planned: Counter[int] = field(default_factory=Counter)
    played: Counter[int] = field(default_factory=Counter)
    by_gateway: dict[str, Counter[int]] = field(
        default_factory=lambda: {"planned": Counter(), "played": Counter()}
    )
    by_customer: dict[str, Counter[int]] = field(
        default_factory=lambda: {"planned": Counter(), "played": Counter()}
    )
    attempts: dict[str, Counter[str]] = field(default_factory=dict)  # by plan
    first_tries: dict[str, Counter[str]] = field(default_factory=dict)  # by plan
    inside_quota: dict[str, Counter[str]] = field(
        default_factory=dict
    )  # first attempts within quotas, by plan
    by_second: dict[str, Counter[int]] = field(default_factory=dict)  # outcomes of first attempts over time
    gateways: dict[int, Counter[str]] = field(default_factory=dict)
    latency: HdrHistogram = field(default_factory=histogram)  # served first attempts
    answer_latency: HdrHistogram = field(default_factory=histogram)  # responses of all attempts
    lateness: HdrHistogram = field(default_factory=histogram)
    behind: int = 0
    behind_from: float = -1.0
    unplayed: int = 0
    retries: int = 0

    def record_arrival(self, at: float, gateway: int, customer: int) -> None:
        """Record an arrival that was due, to compare with what was sent."""
        self.planned[int(at / SLOT_S)] += 1
        self.by_gateway["planned"][gateway] += 1
        self.by_customer["planned"][customer] += 1

    def record_sent(self, due: float, at: float, gateway: int, customer: int) -> None:
        """Record the sending of an arrival, ``at`` and ``due`` in seconds of the run."""
        self.played[int(at / SLOT_S)] += 1
        self.by_gateway["played"][gateway] += 1
        self.by_customer["played"][customer] += 1
        delay = max(at - due, 0.0)
        self.lateness.record_value(min(max(int(delay * 1e6), MIN_LATENCY_US), MAX_LATENCY_US))
        if delay > BEHIND_THRESHOLD_S:
            self.behind += 1
            if self.behind_from < 0:
                self.behind_from = due

    def record_attempt(self, plan: str, gateway: int, outcome: str, elapsed: float) -> None:
        """Record the outcome of one attempt, with its duration in seconds."""
        self.attempts.setdefault(plan, Counter())[outcome] += 1
        self.gateways.setdefault(gateway, Counter())[outcome] += 1
        if outcome in ("served", "late", "refused", "failed"):
            self.answer_latency.record_value(min(max(int(elapsed * 1e6), MIN_LATENCY_US), MAX_LATENCY_US))

    def record_first_try(
        self, plan: str, outcome: str, due: float, elapsed: float, inside_quota: bool = True
    ) -> None:
        """Record the final outcome of a request after all retries; ``elapsed`` counts from its due time."""
        self.first_tries.setdefault(plan, Counter())[outcome] += 1
        if inside_quota:
            self.inside_quota.setdefault(plan, Counter())[outcome] += 1
        self.by_second.setdefault(outcome, Counter())[int(due)] += 1
        if outcome in ("served", "late"):
            self.latency.record_value(min(max(int(elapsed * 1e6), MIN_LATENCY_US), MAX_LATENCY_US))

    # Merging and reporting

    def as_dict(self) -> dict[str, Any]:
        """Counters in a form that can be sent to another process; see ``merge``."""
        return {
            "aim": self.target_latency, "planned": dict(self.planned), "played": dict(self.played),
            "by_gateway": {k: dict(v) for k, v in self.by_gateway.items()},
            "by_customer": {k: dict(v) for k, v in self.by_customer.items()},
            "attempts": {k: dict(v) for k, v in self.attempts.items()},
            "tries": {k: dict(v) for k, v in self.first_tries.items()},
            "inside": {k: dict(v) for k, v in self.inside_quota.items()},
            "seconds": {k: dict(v) for k, v in self.by_second.items()},
            "gateways": {k: dict(v) for k, v in self.gateways.items()},
            "latency": self.latency.encode(), "answers": self.answer_latency.encode(),
            "lateness": self.lateness.encode(), "behind": self.behind, "behind_from": self.behind_from,
            "unplayed": self.unplayed, "retries": self.retries,
        }  # fmt: skip

    def merge(self, counted: dict[str, Any]) -> None:
        """Add the counters of another process, as ``as_dict`` returns them."""
        self.planned.update(counted["planned"])
        self.played.update(counted["played"])
        for mine, theirs in (
            (self.by_gateway, counted["by_gateway"]),
            (self.by_customer, counted["by_customer"]),
        ):
            for name, counts in theirs.items():
                mine[name].update(counts)
        groups: tuple[tuple[dict[Any, Counter[Any]], str], ...] = (
            (self.attempts, "attempts"), (self.first_tries, "tries"), (self.inside_quota, "inside"),
            (self.by_second, "seconds"),
            (self.gateways, "gateways"),
        )  # fmt: skip
        for group, name in groups:
            for key, counts in counted[name].items():
                group.setdefault(key, Counter()).update(counts)
        self.latency.decode_and_add(counted["latency"])
        self.answer_latency.decode_and_add(counted["answers"])
        self.lateness.decode_and_add(counted["lateness"])
        self.behind += counted["behind"]
        starts = [s for s in (self.behind_from, counted["behind_from"]) if s >= 0]
        self.behind_from = min(starts, default=-1.0)
        self.unplayed += counted["unplayed"]
        self.retries += counted["retries"]

    def served_worth(self, pays: dict[str, float], late_worth: float = 0.2) -> float:
        """Share of the worth requested within quotas that was served, weighted by plan."""
        requested_worth = served_worth = 0.0
        for plan, counts in self.inside_quota.items():
            weight = pays.get(plan, 1.0)
            requested_worth += weight * sum(counts.values())
            served_worth += weight * (counts["served"] + late_worth * counts["late"])
        return served_worth / requested_worth if requested_worth else 0.0

    def arrival_deviation(self, kind: str) -> dict[str, float]:
        """Compare sent with due arrivals: the share that fell into another slot, gateway or customer."""
        counts = {
            "slots": (self.planned, self.played),
            "gateways": (self.by_gateway["planned"], self.by_gateway["played"]),
            "customers": (self.by_customer["planned"], self.by_customer["played"]),
        }[kind]
        planned, played = counts
        total = sum(planned.values())
        moved = sum(abs(planned[key] - played[key]) for key in {*planned, *played}) / 2
        return {
            "planned": total,
            "played": sum(played.values()),
            "elsewhere": moved / total if total else 0.0,
        }

    def summary(self) -> dict[str, Any]:
        """Summarize the results under the keys of ``report.json``."""
        return {
            "arrivals": {kind: self.arrival_deviation(kind) for kind in ("slots", "gateways", "customers")},
            "lateness_ms": quantiles(self.lateness),
            "fell_behind": {"requests": self.behind, "from": self.behind_from if self.behind else None},
            "not_played": self.unplayed,
            "retries": self.retries,
            "first_tries": {plan: dict(counts) for plan, counts in sorted(self.first_tries.items())},
            "inside_quotas": {plan: dict(counts) for plan, counts in sorted(self.inside_quota.items())},
            "attempts": {plan: dict(counts) for plan, counts in sorted(self.attempts.items())},
            "gateways": {str(g): dict(counts) for g, counts in sorted(self.gateways.items())},
            "latency_ms": quantiles(self.latency),
            "answers_ms": quantiles(self.answer_latency),
        }  # fmt: skip


def quantiles(latencies: HdrHistogram) -> dict[str, float]:
    """Percentiles in milliseconds; empty if nothing was recorded."""
    if not latencies.get_total_count():
        return {}
    points = {"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100}
    return {name: latencies.get_value_at_percentile(p) / 1000 for name, p in points.items()}
