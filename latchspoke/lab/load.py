"""Load for a run: from a trace, or drawn. One kind of arrival, whatever it came from. Pure and seeded."""

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
    """A try to be sent at ``at`` seconds of the run, through this gateway (a number).

    ``first`` is the number of the first try that it belongs to; ``deadline`` 0 lets the client draw it.
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
    inside_quota: bool = True  # whether its customer's quota held it, had all been let through


def mark_inside_quota(arrivals: Iterable[Arrival], plans: dict[str, PlanQuota]) -> Iterator[Arrival]:
    """Mark each first try as inside or beyond its customer's quota, by what is asked, whatever is let in."""
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
    """A trace as arrivals: from a part of it, at a speed, with more customers or louder ones.

    ``scale`` above 1 adds customers of the same habits: copies of each request, whole copies first and the
    rest by a draw that holds for a customer, each copy shifted by its own few moments so that copies do
    not march in step. With ``louder`` the same customers ask that much more. Below 1, that part of the
    customers stays. ``verbatim`` plays retries as they were recorded; otherwise only first tries are
    played, and clients retry by what they get.
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

    def hash_fraction(self, *of: int) -> float:
        """A number in 0..1 that is always the same for the same words."""
        text = ":".join(map(str, (self.seed, *of)))
        return xxhash.xxh3_64_intdigest(text.encode()) / 2.0**64

    def copies(self, customer: int, number: int) -> int:
        whole = int(self.scale)
        who = (customer, number) if self.louder else (customer,)
        return whole + (self.hash_fraction(*who) < self.scale - whole)

    def arrivals(self, requests: Iterable[Request]) -> Iterator[Arrival]:
        """In order of their times; memory holds what lies within the jitter."""
        heap: list[tuple[float, int, Arrival]] = []
        made, start = 0, None
        for request in requests:
            if request.attempt and not self.verbatim:
                continue
            start = request.at if start is None else start
            at = (request.at - start) / 1e6 / self.speed
            for copy in range(self.copies(request.customer, request.first)):
                made += 1
                later = self.jitter * self.hash_fraction(copy, request.first) / self.speed if copy else 0.0
                arrival = self.arrival(request, at + later, made, copy)
                heapq.heappush(heap, (arrival.at, made, arrival))
            while heap and heap[0][0] <= at:
                yield heapq.heappop(heap)[2]
        while heap:
            yield heapq.heappop(heap)[2]

    def arrival(self, request: Request, at: float, number: int, copy: int) -> Arrival:
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
    """Customers of one plan: how many, and the rate at which each asks, in requests a second."""

    plan: str
    customers: int
    rate: float


def poisson_arrivals(
    plans: Iterable[PlanLoad], kind: str, duration: float, gateways: int, spread: int, seed: int
) -> Iterator[Arrival]:
    """Poisson arrivals of every plan, merged; a customer's requests come in through its own set, unevenly."""
    plans = list(plans)
    seeds = np.random.SeedSequence([seed, 7]).spawn(len(plans))
    streams = [
        plan_arrivals(
            plan, kind, duration, gateways, min(spread, gateways), np.random.Generator(np.random.PCG64(s))
        )
        for plan, s in zip(plans, seeds, strict=True)
    ]
    merged = heapq.merge(*streams, key=lambda arrival: arrival.at)
    for number, arrival in enumerate(merged, 1):
        yield replace(arrival, number=number, first=number)


def plan_arrivals(
    plan: PlanLoad, kind: str, duration: float, gateways: int, spread: int, draw: np.random.Generator
) -> Iterator[Arrival]:
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
        who = int(draw.integers(0, plan.customers))
        step = int(draw.choice(spread, p=weights[who]))
        first = int(first_gateways[who])
        yield Arrival(
            at, 0, int(keys[who]), plan.plan, kind, "GET", f"/{kind}", (first + step) % gateways, 1.0, 0.0,
            0, 0, spread, first,
        )  # fmt: skip
