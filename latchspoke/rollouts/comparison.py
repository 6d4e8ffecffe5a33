"""Bayesian comparison of the failure and lateness rates of a new service with those of the old one. No I/O.

With f failures in n requests the failure rate has the posterior Beta(a + f, b + n - f). The probability that
one rate exceeds the other by more than a margin is summed over a grid. No sample size has to be fixed in
advance: with few requests the probability is neither high nor low.

Two priors are used. The test for a rollback uses a sceptical prior, equal to the old service's rate, so that
the first failure among ten requests is not enough. The test for an advance uses an uninformed prior, so that
no step advances on too few requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, lgamma, log, sqrt

GRID_POINTS = 160
GRID_HALF_WIDTH_SD = 9.0
PRIOR_COUNT = 0.5  # of failures, and of successes, in the uninformed (Jeffreys) prior
SCEPTICAL_PRIOR_REQUESTS = 40.0  # weight of the sceptical prior


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Finished requests of one service and route, and how many of them failed or were late."""

    requests: float = 0.0
    failed: float = 0.0
    late: float = 0.0  # answered after the route's target latency

    def __add__(self, other: RequestCounts) -> RequestCounts:
        return RequestCounts(
            self.requests + other.requests, self.failed + other.failed, self.late + other.late
        )


@dataclass(frozen=True, slots=True)
class Comparison:
    """Probabilities that the new service fails, or is late, more often than is tolerated."""

    failure_probability: float  # with the sceptical prior, as is the next one
    late_probability: float
    uninformed_failure_probability: float
    uninformed_late_probability: float

    def is_worse(self, confidence: float) -> bool:
        """Whether the new service is worse with at least this probability."""
        return max(self.failure_probability, self.late_probability) >= confidence

    def is_acceptable(self, confidence: float) -> bool:
        """Whether the new service is not worse with at least this probability."""
        return max(self.uninformed_failure_probability, self.uninformed_late_probability) <= 1 - confidence


def compare_services(
    new: RequestCounts,
    old: RequestCounts,
    max_failure_increase: float,
    max_late_increase: float,
    fraction: float = 1.0,
) -> Comparison:
    """Compare two services; the two increases are the tolerated ones, as shares of the route's requests.

    The test for a rollback compares the rates themselves. The test for an advance allows for the ``fraction``
    of the route's requests that the new service would get.
    """
    failure_counts = new.requests, new.failed, old.requests, old.failed
    late_counts = new.requests, new.late, old.requests, old.late
    return Comparison(
        probability_above(*failure_counts, max_failure_increase, SCEPTICAL_PRIOR_REQUESTS),
        probability_above(*late_counts, max_late_increase, SCEPTICAL_PRIOR_REQUESTS),
        probability_above(*failure_counts, max_failure_increase / fraction),
        probability_above(*late_counts, max_late_increase / fraction),
    )


def probability_above(
    requests: float,
    failed: float,
    other_requests: float,
    other_failed: float,
    margin: float,
    prior_requests: float = 0.0,
) -> float:
    """Probability that the first failure rate is above the second by more than ``margin``.

    The first one's prior is ``prior_requests`` requests at the second one's rate; 0 is the uninformed prior.
    """
    share = (other_failed + PRIOR_COUNT) / (other_requests + 2 * PRIOR_COUNT)
    first = beta_grid(
        failed + prior_requests * share + PRIOR_COUNT * (prior_requests == 0),
        requests - failed + prior_requests * (1 - share) + PRIOR_COUNT,
    )
    second = beta_grid(other_failed + PRIOR_COUNT, other_requests - other_failed + PRIOR_COUNT)
    tails, total = [], 0.0
    for value, weight in reversed(first):
        total += weight
        tails.append((value, total))
    tails.reverse()  # each value with the total weight at or above it
    probability, index = 0.0, 0
    for value, weight in second:
        while index < len(tails) and tails[index][0] <= value + margin:
            index += 1
        if index == len(tails):
            break
        probability += weight * tails[index][1]
    return min(probability, 1.0)


def beta_grid(a: float, b: float) -> list[tuple[float, float]]:
    """Values on a grid over Beta(a, b), each with its weight; the weights add up to 1."""
    b = max(b, PRIOR_COUNT)
    mean = a / (a + b)
    deviation = sqrt(mean * (1 - mean) / (a + b + 1))
    low, high = (
        max(mean - GRID_HALF_WIDTH_SD * deviation, 0.0),
        min(mean + GRID_HALF_WIDTH_SD * deviation, 1.0),
    )
    step = (high - low) / GRID_POINTS
    norm = lgamma(a + b) - lgamma(a) - lgamma(b)
    values = [low + (n + 0.5) * step for n in range(GRID_POINTS)]
    weights = [exp(norm + (a - 1) * log(x) + (b - 1) * log(1 - x)) for x in values]
    total = sum(weights)
    return [(x, weight / total) for x, weight in zip(values, weights, strict=True)]
