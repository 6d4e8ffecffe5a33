"""Arrivals for a run, replayed from a trace or generated as a Poisson process. Deterministic for a seed."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

import numpy as np
import xxhash

from latchspoke.lab.quota import PlanQuota, TokenBucket
from latchspoke.traffic.trace import Request

CUSTOMER_KEY_SPACE = 1 << 33


@dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt to send at ``at`` seconds of the run through the gateway with this index.

    ``first`` is the number of the first attempt of the same request. With ``deadline`` 0 the client model
    draws the timeout.
    """

    at: float
    number: int
    customer: int
    plan: str
    kind: str
    method: str
    path: str
    gateway: int
    units: float = 1.0
    deadline: float = 0.0
    first: int = 0
    attempt: int = 0
    spread: int = 1
    first_gateway: int = 0
    inside_quota: bool = True  # within the quota of its customer if every request were admitted


def mark_inside_quota(arrivals: Iterable[Arrival], plans: dict[str, PlanQuota]) -> Iterator[Arrival]:
    """Mark each first attempt as within or beyond its customer's quota, counting all requests as admitted."""
    buckets: dict[tuple[str, int], TokenBucket] = {}
    for arrival in arrivals:
        quota = plans.get(arrival.plan)
        if quota is None or arrival.attempt:
            yield arrival
            continue
        bucket = buckets.setdefault((arrival.plan, arrival.customer), TokenBucket(quota.burst, arrival.at))
        within_quota = bucket.take(arrival.units, quota.rate, quota.burst, arrival.at)
        yield arrival if within_quota else replace(arrival, inside_quota=False)


class TraceReplay:
    """Converts a recorded trace to arrivals, with its speed and load scaled.

    ``scale`` above 1 adds customers that copy the recorded ones; a fractional part copies a fixed random
    share of the customers. Copies are shifted by a random jitter so that they are not synchronized. With
    ``louder`` the recorded customers send more requests instead. Below 1, that share of the customers is
    kept. With ``verbatim`` recorded retries are played as they are; otherwise only first attempts are
    played and the client model decides on retries.
    """

    def __init__(
        self,
        gateways: dict[str, int],
        speed: float = 1.0,
        scale: float = 1.0,
        louder: bool = False,
        verbatim: bool = False,
        jitter: float = 0.25,
        seed: int = 0,
        spread: int = 0,
    ) -> None:
        if speed <= 0 or scale <= 0:
            raise ValueError(f"speed and scale must be above 0, not {speed:g} and {scale:g}")
        self.gateways, self.speed, self.scale, self.louder = gateways, speed, scale, louder
        self.verbatim, self.jitter, self.seed, self.spread = verbatim, jitter, seed, spread

    def hash_fraction(self, *values: int) -> float:
        """A number in [0, 1) that depends only on the seed and the values."""
        text = ":".join(map(str, (self.seed, *values)))
        return xxhash.xxh3_64_intdigest(text.encode()) / 2.0**64

    def copies(self, customer: int, number: int) -> int:
        """Number of times to play a request of this customer; ``number`` is that of its first attempt."""
        whole_copies = int(self.scale)
        hash_key = (customer, number) if self.louder else (customer,)
        return whole_copies + (self.hash_fraction(*hash_key) < self.scale - whole_copies)

    def arrivals(self, requests: Iterable[Request]) -> Iterator[Arrival]:
        """Yield arrivals in time order; only those within the jitter are held in memory."""
        heap: list[tuple[float, int, Arrival]] = []
        arrival_count, start = 0, None
        for request in requests:
            if request.attempt and not self.verbatim:
                continue
            start = request.at if start is None else start
            at = (request.at - start) / 1e6 / self.speed
            for copy in range(self.copies(request.customer, request.first)):
                arrival_count += 1
                offset = self.jitter * self.hash_fraction(copy, request.first) / self.speed if copy else 0.0
                arrival = self.arrival(request, at + offset, arrival_count, copy)
                heapq.heappush(heap, (arrival.at, arrival_count, arrival))
            while heap and heap[0][0] <= at:
                yield heapq.heappop(heap)[2]
        while heap:
            yield heapq.heappop(heap)[2]

    def arrival(self, request: Request, at: float, number: int, copy: int) -> Arrival:
        """Convert a recorded request to an arrival; ``copy`` above 0 belongs to an added customer."""
        customer = request.customer
        if copy and not self.louder:
            customer = int(self.hash_fraction(customer, copy) * CUSTOMER_KEY_SPACE)
        gateway = self.gateways[request.gateway]
        first = request.first * (int(self.scale) + 1) + copy
        path = request.url.partition("?")[0]
        return Arrival(
            at, number, customer, request.plan, request.kind, request.method, path, gateway, request.units,
            request.deadline / self.speed if self.speed != 1 else request.deadline, first, request.attempt,
            self.spread or len(self.gateways), 0,
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class PlanLoad:
    """Customers of one plan; ``rate`` is in requests a second for each customer."""

    plan: str
    customers: int
    rate: float


def poisson_arrivals(
    plans: Iterable[PlanLoad], kind: str, duration: float, gateways: int, spread: int, seed: int
) -> Iterator[Arrival]:
    """Merge Poisson arrivals of all plans; each customer uses its own set of gateways, unevenly."""
    plans = list(plans)
    seeds = np.random.SeedSequence([seed, 7]).spawn(len(plans))
    streams = [
        plan_arrivals(
            plan,
            kind,
            duration,
            gateways,
            min(spread, gateways),
            np.random.Generator(np.random.PCG64(plan_seed)),
        )
        for plan, plan_seed in zip(plans, seeds, strict=True)
    ]
    merged = heapq.merge(*streams, key=lambda arrival: arrival.at)
    for number, arrival in enumerate(merged, 1):
        yield replace(arrival, number=number, first=number)


def plan_arrivals(
    plan: PlanLoad, kind: str, duration: float, gateways: int, spread: int, draw: np.random.Generator
) -> Iterator[Arrival]:
    """Poisson arrivals of one plan, not numbered yet."""
    rate = plan.customers * plan.rate
    if rate <= 0:
        return
    keys = draw.integers(1, CUSTOMER_KEY_SPACE, plan.customers)
    first_gateways = draw.integers(0, gateways, plan.customers)
    weights = draw.dirichlet(np.ones(spread), plan.customers)
    at = 0.0
    while True:
        at += float(draw.exponential(1 / rate))
        if at >= duration:
            return
        customer_index = int(draw.integers(0, plan.customers))
        step = int(draw.choice(spread, p=weights[customer_index]))
        first = int(first_gateways[customer_index])
        yield Arrival(
            at, 0, int(keys[customer_index]), plan.plan, kind, "GET", f"/{kind}",
            (first + step) % gateways, 1.0, 0.0, 0, 0, spread, first,
        )  # fmt: skip
