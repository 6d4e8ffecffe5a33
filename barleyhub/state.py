"""State of barleyhub.choice: records of accounts, servers and requests, and how they decay; no decisions."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Container, Iterator, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import TypedDict, get_args

from barleyhub import interface as api

# Multiple of a plan's rate at which a full account drains. An exponential average admits less than a token
# bucket of the same rate.
DRAIN_RATIO = 1.2
ERROR_SMOOTHING = 0.3  # smoothing factor of a server's error rate; a tenth of it for its group
# Connections break on the way from any server, so a reset says little about the server that it hit, and
# avoiding it would load the others unevenly. A dead server refuses connections, which counts in full.
RESET_SMOOTHING = 0.03
MIN_ERROR_RATE = 0.002  # lower error rates count as 0
ERROR_RATE_CACHE_S = 0.2
ERROR_DECAY_S = 20.0  # time constant of error rates: a server that failed is tried again after a while
LOAD_REPORT_DECAY_S = 0.5
MAX_LATE_CALLS = 64  # timed-out counter calls whose late answers are still accepted
MEAN_IN_FLIGHT_DECAY_S = 0.7
MEAN_USAGE_DECAY_TIMES = 2.0  # time constant of an account's mean usage, as a multiple of its decay time
INITIAL_CEILING_SHARE = 1 / 3  # of a gateway's share of a ceiling at first; the rest is the most it holds


class LearnedState(TypedDict):
    """Estimates that one process of a gateway hands to the process that replaces it."""

    limit: float
    latency: float
    slow: float
    busy: float
    ratios: dict[str, float]
    servers: dict[str, list[float]]  # start (Unix s), latency ratio, error rate
    # Zone and kind; latency ratio, error rate, answered units, size-weighted units, server time (s).
    pools: list[tuple[str, list[float]]]


# Names of the handler methods by event class.
HANDLERS = {kind.__name__: f"on_{kind.__name__.lower()}" for kind in get_args(api.Event)}


def decay(elapsed: float, decay_time: float) -> float:
    """The weight left after this time (s) in an exponential average with this time constant (s)."""
    return math.exp(-max(elapsed, 0.0) / decay_time)


@dataclass(slots=True, eq=False)
class SharedCounter:
    """One counter that all gateways of a customer share; its units decay with the account's decay time."""

    kind: str
    usage: float = 0.0  # units by the last total, as of read_at
    mean_usage: float = 0.0
    unreported: float = 0.0  # units counted here and not yet sent to the counter service
    in_flight: float | None = None  # units in the call that is under way
    period: int = -1
    read_at: float = -math.inf
    requested_at: float = -math.inf
    carried_usage: float = 0.0  # used before this period or plan, and so not part of its totals
    carried_at: float = -math.inf


@dataclass(slots=True, eq=False)
class AccountState:
    """One customer: its counters, local allowances, attempts in flight and requests awaiting a total."""

    customer: str
    plan: api.PlanSettings
    spread: int  # gateways that serve this customer
    updated_at: float
    decay_time: float  # s
    capacity: float  # units
    period_length: float  # s
    local_allowance: float = 0.0
    max_local_allowance: float = 0.0
    ceiling_allowance: float = 0.0
    admitted: SharedCounter = field(default_factory=lambda: SharedCounter("admitted"))
    refused: SharedCounter = field(default_factory=lambda: SharedCounter("turned"))
    in_flight: int = 0
    awaiting_total: list[Job] = field(default_factory=list)
    name_suffix: str = ""  # tells counters under changed limits from those under the initial settings

    @property
    def active(self) -> bool:
        """Whether any request of this customer is in flight or waits here."""
        return bool(self.in_flight or self.awaiting_total)

    def initialize_allowances(self, largest: float) -> None:
        """Set this gateway's share of the plan, in units; ``largest`` is the largest request."""
        # At least one request, or the first one of a customer with a large spread would be refused.
        self.local_allowance = self.max_local_allowance = max(self.plan.burst / self.spread, largest)
        self.ceiling_allowance = (
            max(self.plan.ceiling_burst - self.capacity, 0.0) / self.spread * INITIAL_CEILING_SHARE
        )

    def advance(self, now: float) -> None:
        """Decay unreported units and refill the local allowances up to ``now``."""
        elapsed, self.updated_at, plan = max(now - self.updated_at, 0.0), now, self.plan
        remaining = decay(elapsed, self.decay_time)
        self.admitted.unreported, self.refused.unreported = (
            self.admitted.unreported * remaining,
            self.refused.unreported * remaining,
        )
        self.local_allowance = min(
            self.local_allowance + plan.rate / self.spread * elapsed, self.max_local_allowance
        )
        # Other gateways may admit the quota's own units on a total, so only the rest of the ceiling is split.
        rate = max(plan.ceiling_rate - DRAIN_RATIO * plan.rate, 0.0) / self.spread
        most = max(plan.ceiling_burst - self.capacity, 0.0) / self.spread
        self.ceiling_allowance = min(
            self.ceiling_allowance + rate * elapsed, most * (1 - INITIAL_CEILING_SHARE)
        )

    def inherit_usage(self, old: AccountState) -> None:
        """Take over the usage of the account under the previous limits, so that no burst is granted twice."""
        for counter, previous in ((self.admitted, old.admitted), (self.refused, old.refused)):
            # With a longer decay time, more of the same usage still counts.
            used = old.expected_usage(previous) - previous.unreported
            used *= max(self.decay_time / old.decay_time, 1.0)
            counter.unreported = previous.unreported + (previous.in_flight or 0.0)
            self.assume_usage(counter, max(used, counter.carried_usage), old.updated_at)
        self.local_allowance = min(old.local_allowance, self.max_local_allowance)
        self.ceiling_allowance = min(
            old.ceiling_allowance, max(self.plan.ceiling_burst - self.capacity, 0.0) / self.spread
        )

    @staticmethod
    def assume_usage(counter: SharedCounter, used: float, now: float) -> None:
        """Set usage that the counter's totals do not include; it decays like any other."""
        counter.usage = counter.mean_usage = counter.carried_usage = used
        counter.read_at = counter.carried_at = now

    def expected_usage(self, counter: SharedCounter) -> float:
        """The estimated total now: the last one decays towards the mean; unreported units come on top."""
        fresh = decay(self.updated_at - counter.read_at, self.decay_time)
        return counter.mean_usage + (counter.usage - counter.mean_usage) * fresh + counter.unreported

    def weight(self, counter: SharedCounter, now: float) -> float:
        """What one unit adds now: weights grow over a period, so that a total is a decaying average."""
        return math.exp((now - counter.period * self.period_length) / self.decay_time)

    def begin_report(self, counter: SharedCounter, now: float, max_amount: float) -> float:
        """Move unreported units into flight and return their weighted amount, limited to ``max_amount``."""
        weight = self.weight(counter, now)
        counter.in_flight = min(max(counter.unreported, -max_amount / weight), max_amount / weight)
        counter.unreported -= counter.in_flight
        return counter.in_flight * weight

    def apply_total(self, counter: SharedCounter, total: float, now: float) -> None:
        """Update the usage from a total; the first one of a period adds to the decayed usage before it."""
        elapsed, new_period = now - counter.read_at, counter.read_at < counter.period * self.period_length
        if new_period:
            # No total of this period includes what was used before it.
            counter.carried_usage, counter.carried_at = counter.usage * decay(elapsed, self.decay_time), now
        elif counter is self.refused:
            # Old refusals must not keep refusing requests that would fit by now.
            counter.carried_usage = 0.0
        carried = (
            counter.carried_usage * decay(now - counter.carried_at, self.decay_time)
            if counter.carried_usage
            else 0.0
        )
        usage = carried + total / self.weight(counter, now)
        counter.mean_usage += (usage - counter.mean_usage) * (
            1 - decay(elapsed, MEAN_USAGE_DECAY_TIMES * self.decay_time)
        )
        counter.usage, counter.read_at = usage, now

    def counter_name(self, counter: SharedCounter) -> int:
        """The counter's name in its period: a digest that is the same at all gateways."""
        text = f"{self.customer}\n{counter.kind}\n{self.plan.name}\n{counter.period}{self.name_suffix}"
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


@dataclass(slots=True, eq=False)
class Health:
    """Error rate and latency of a server or of a group of servers."""

    updated_at: float
    error_rate: float = 0.0  # as of updated_at
    slowdown: float = 1.0  # latency relative to the usual one
    cached_error_rate: float = 0.0
    cached_at: float = -math.inf

    def current_error_rate(self, now: float) -> float:
        """The decayed error rate, cached for a moment, since every choice of a server reads it."""
        if not self.error_rate:
            return 0.0
        if now - self.cached_at > ERROR_RATE_CACHE_S:
            self.cached_error_rate, self.cached_at = (
                self.error_rate * decay(now - self.updated_at, ERROR_DECAY_S),
                now,
            )
        return self.cached_error_rate

    def restore(self, slowdown: float, error_rate: float, now: float) -> None:
        """Start from another process's estimates."""
        self.slowdown, self.error_rate, self.updated_at, self.cached_at = (
            slowdown,
            error_rate,
            now,
            -math.inf,
        )

    def record_outcome(self, failed: bool, smoothing: float, decay_time: float, now: float) -> None:
        """Add one outcome to the error rate, which decays over ``decay_time`` (s)."""
        self.error_rate = (
            self.error_rate * decay(now - self.updated_at, decay_time) * (1 - smoothing) + smoothing * failed
        )
        self.error_rate = self.error_rate if self.error_rate > MIN_ERROR_RATE else 0.0
        self.updated_at, self.cached_at = now, -math.inf


@dataclass(slots=True, eq=False)
class ServerGroup(Health):
    """Servers of one zone and kind; also the units that warm ones answered, and the time they took."""

    warm_count: int = 0
    accounted_at: float = 0.0
    answered_units: float = 1.0
    size_weighted_units: float = 1.0
    server_time: float = 1.0  # s, summed over the warm servers

    @classmethod
    def with_prior(cls, units: float, time: float, now: float) -> ServerGroup:
        """A group that starts with so many answered units, each of which took a warm server this time (s)."""
        return cls(now, answered_units=units, size_weighted_units=units, server_time=units * time)

    def reset_warm_count(self, decay_time: float, now: float) -> None:
        """Account for the time up to ``now`` before the warm servers are counted anew."""
        self.record_answer(0.0, 0.0, decay_time, now)
        self.warm_count = 0

    def record_answer(self, units: float, size: float, decay_time: float, now: float) -> None:
        """Add units answered by a warm server of this size; without warm servers nothing changes."""
        if self.warm_count:
            remaining = decay(now - self.accounted_at, decay_time)
            self.answered_units = self.answered_units * remaining + units
            self.size_weighted_units = self.size_weighted_units * remaining + units * size
            self.server_time = self.server_time * remaining + self.warm_count * decay_time * (1 - remaining)
        self.accounted_at = now

    def unit_rate(self, size: float) -> float:
        """Units per second of a warm server; fewer for one of smaller size than those that answered."""
        return (
            min(size * self.answered_units / self.size_weighted_units, 1.0)
            * self.answered_units
            / self.server_time
        )


@dataclass(slots=True, eq=False)
class Server:
    """One server, judged by this gateway's own traffic to it and to its group."""

    entry: api.ServerEntry
    health: Health
    group: ServerGroup
    unanswered_since: float  # last outcome, or the first attempt after an idle time
    in_flight: int = 0
    health_by_label: dict[str, Health] = field(default_factory=dict)  # by class or plan name
    load_report: dict[str, float] = field(default_factory=dict)
    load_report_at: float = -math.inf

    def update_load_report(self, report: dict[str, float], now: float) -> None:
        """Store a load report. A server repeats one until the next, so its age counts from the first."""
        if report and report != self.load_report:
            self.load_report, self.load_report_at = report, now

    def backlog(self, now: float) -> float:
        """Requests of all gateways that wait there, by the last load report, decayed with its age."""
        waiting = self.load_report.get("backlog", 0.0)
        return waiting * decay(now - self.load_report_at, LOAD_REPORT_DECAY_S) if waiting else 0.0

    def record_outcome(
        self, failed: bool, failed_by_label: tuple[tuple[str, bool], ...], now: float, reset: bool = False
    ) -> None:
        """Add an outcome to the error rates; a label has its own rate from its first failure on."""
        smoothing = RESET_SMOOTHING if reset else ERROR_SMOOTHING
        self.health.record_outcome(failed, smoothing, ERROR_DECAY_S, now)
        self.group.record_outcome(failed, smoothing / 10, ERROR_DECAY_S, now)
        for label, label_failed in failed_by_label:
            if label_failed or label in self.health_by_label:
                self.health_by_label.setdefault(label, Health(now)).record_outcome(
                    label_failed, smoothing, ERROR_DECAY_S, now
                )

    def error_rate(self, labels: tuple[str, ...], now: float) -> float:
        """The sum of the decayed error rates of this server, its group and these labels."""
        # Read for every candidate of every attempt, and most servers have no rates by label.
        total = self.health.current_error_rate(now) + self.group.current_error_rate(now)
        for label in labels if self.health_by_label else ():
            if label in self.health_by_label:
                total += self.health_by_label[label].current_error_rate(now)
        return total


@dataclass(slots=True, eq=False)
class Job:
    """A request without a final answer yet, or with an attempt in flight."""

    request: api.Request
    service: api.ClassSettings
    account: AccountState
    arrived_at: float
    deadline: float
    counted_units: float  # units added to the admitted counter for it
    try_limit: int  # by the settings when it arrived
    attempts: int = 0
    withdrawn: bool = False
    may_have_run: bool = False
    current_server: Server | None = None  # of the attempt in flight
    sent_at: float = -math.inf
    counted_slow: bool = False  # whether the attempt in flight has counted as a slow answer
    first_server: api.ServerEntry | None = None
    first_sent_at: float = math.inf
    tried: list[str] = field(default_factory=list)
    excluded_servers: Container[str] = ()

    def start_attempt(self, server: Server, now: float) -> None:
        """Record an attempt that is sent."""
        if not self.may_have_run:
            self.first_server, self.first_sent_at = server.entry, now
        self.attempts += 1
        self.current_server, self.sent_at, self.counted_slow = server, now, False
        self.tried.append(server.entry.server)
        self.account.in_flight += 1
        server.unanswered_since = server.unanswered_since if server.in_flight else now
        server.in_flight += 1

    def end_attempt(self, server: Server) -> Server:
        """Record that the attempt in flight at this server is over."""
        self.current_server = None
        server.in_flight -= 1
        self.account.in_flight = max(self.account.in_flight - 1, 0)
        return server


@dataclass(slots=True, eq=False)
class GatewayState:
    """State of a gateway apart from its accounts."""

    settings: api.Settings = field(init=False)
    classes: dict[str, api.ClassSettings] = field(init=False)
    target_latency: float = 0.0  # s; mean of all classes
    plans: dict[str, api.PlanSettings] = field(default_factory=dict)
    plan_changed_at: dict[str, float] = field(default_factory=dict)
    blocked_customers: Container[str] = ()  # by versioned rules
    excluded_servers: Container[str] = ()  # by versioned rules
    in_maintenance: Container[str] = ()  # taken out by an operator
    returned_servers: Mapping[str, tuple[float, float]] = field(
        default_factory=dict
    )  # taken out, put back at
    random: Random = field(init=False)
    stats: Counter[str] = field(init=False)
    fit_rates: dict[tuple[str, bool], float] = field(default_factory=dict)
    counter_down: bool = False
    subset: list[Server] = field(default_factory=list)  # this gateway's subset
    shared_by: float = 1.0
    servers: dict[str, Server] = field(default_factory=dict)
    warm: list[Server] = field(default_factory=list)
    cold: list[Server] = field(default_factory=list)
    cold_credit_since: float = -math.inf  # cold servers have not been given their share since then
    groups: dict[tuple[str, str], ServerGroup] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    actions: list[api.Action] = field(default_factory=list)
    sampling_rate: float = 1.0  # of a counter call
    counter_failures: int = 0  # in a row
    in_flight: int = 0  # attempts
    mean_in_flight: float = 0.0
    mean_in_flight_at: float = 0.0
    in_flight_limit: float = 0.0  # attempts per warm server, by all gateways together
    latency: float = 0.0  # s; estimate over all classes
    slowdowns: dict[str, float] = field(default_factory=dict)  # class's latency over that estimate
    slow_share: float = 0.0  # of answers
    limit_adapted_at: float = 0.0
    sent_attempts: defaultdict[str, deque[tuple[Job, float]]] = field(
        default_factory=lambda: defaultdict(deque)
    )
    late_calls: dict[int, tuple[AccountState, SharedCounter]] = field(default_factory=dict)

    def export_learned(self, now: float) -> LearnedState:
        """The estimates that the process replacing this one starts from."""
        return {
            "limit": self.in_flight_limit,
            "latency": self.latency,
            "slow": self.slow_share,
            "busy": self.mean_in_flight,
            "ratios": dict(self.slowdowns),
            "servers": {
                name: [
                    server.entry.launched,
                    server.health.slowdown,
                    server.health.current_error_rate(now),
                ]
                for name, server in self.servers.items()
            },
            "pools": [
                (
                    "\n".join(zone_and_kind),
                    [
                        group.slowdown,
                        group.current_error_rate(now),
                        group.answered_units,
                        group.size_weighted_units,
                        group.server_time,
                    ],
                )
                for zone_and_kind, group in self.groups.items()
            ],
        }

    def restore_learned(self, learned: LearnedState, now: float) -> None:
        """Start from another process's estimates, for servers that have not restarted since."""
        self.in_flight_limit, self.latency, self.slow_share = (
            learned["limit"],
            learned["latency"],
            learned["slow"],
        )
        # The other process's attempts do not count here, but the gateway as a whole is not idle.
        self.mean_in_flight, self.mean_in_flight_at = learned["busy"], now
        self.slowdowns |= learned["ratios"]
        for name, (launched, slowdown, error_rate) in learned["servers"].items():
            server = self.servers.get(name)
            if server is not None and server.entry.launched == launched:
                server.health.restore(slowdown, error_rate, now)
        for zone_and_kind, (slowdown, error_rate, units, sizes, time) in learned["pools"]:
            zone, _, kind = zone_and_kind.partition("\n")
            if group := self.groups.get((zone, kind)):
                group.restore(slowdown, error_rate, now)
                group.answered_units, group.size_weighted_units, group.server_time, group.accounted_at = (
                    units,
                    sizes,
                    time,
                    now,
                )

    def expect_late_total(self, name: int, account: AccountState, counter: SharedCounter) -> None:
        """Keep a timed-out call, whose total may still come."""
        self.late_calls[name] = (account, counter)
        if len(self.late_calls) > MAX_LATE_CALLS:
            del self.late_calls[next(iter(self.late_calls))]

    def change_in_flight(self, change: int, now: float) -> None:
        """Update the number of attempts in flight and its recent mean."""
        remaining = decay(now - self.mean_in_flight_at, MEAN_IN_FLIGHT_DECAY_S)
        self.mean_in_flight, self.mean_in_flight_at = (
            self.mean_in_flight * remaining + self.in_flight * (1 - remaining),
            now,
        )
        self.in_flight += change

    def pop_unanswered(self, class_name: str, sent_before: float) -> Iterator[Job]:
        """The jobs whose attempt was sent before then (s) and is in flight; yields each attempt once."""
        sent = self.sent_attempts[class_name]
        while sent and sent[0][1] < sent_before:
            job, sent_at = sent.popleft()
            if job.current_server is not None and job.sent_at == sent_at:
                yield job
