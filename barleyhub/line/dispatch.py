"""Per-request decisions of a gateway: admission control, choice of upstream, retries and hedged requests.

Events of ``barleyhub.interface`` go in, with ``RoutedRequest`` in place of ``Request``, and actions come out.
A request without further attempts is answered at once: refused with a retry-after time if it was certainly
not executed, failed otherwise. Does no I/O.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.balancer import Balancer, Upstream, allowed_regions
from barleyhub.line.budget import RetryBudget
from barleyhub.line.outliers import FailureReporter
from barleyhub.line.quota import IDLE_EXPIRY_S, Account
from barleyhub.line.rollout_samples import InFlightAttempt, RolloutSampler

if TYPE_CHECKING:  # imported at run time only if a route uses affinity
    from barleyhub.affinity.rendezvous import Caller
    from barleyhub.affinity.selection import AffinitySelector

DEADLINE_MARGIN_S = 0.03  # no attempt starts within this time before the deadline
INITIAL_LATENCY_FACTOR = 0.5  # latency assumed before any answer, as a share of the target latency
HEDGE_DELAY_FACTOR = 0.55  # delay of the hedged request, as a share of the target latency
HEDGE_MIN_LATENCIES = 2.5  # least delay of the hedged request, in route latencies
MAX_SENDS = 4  # attempts per request, including those that did not reach an upstream
TOTALS_WAIT_S = 0.15  # longest time that a request waits for its tenant's totals
DEPARTED_HOLD_S = 4.0  # a departed gateway may still use its part of the shared limits for so long
NOT_EXECUTED = (Code.FULL, Code.UNREACHABLE, Code.MOOT)
RETRY_AFTER_BOUNDS_S = (0.1, 1.0)  # for requests refused for lack of capacity


class Route(Protocol):
    """The attributes of a route that decisions use."""

    @property
    def name(self) -> str:
        """Key of the route's statistics."""
        ...

    @property
    def repeatable(self) -> bool:
        """Whether requests are idempotent."""
        ...

    @property
    def aim(self) -> float:
        """Target latency in s."""
        ...

    @property
    def timeout(self) -> float:
        """Time in s after which a request ends."""
        ...

    @property
    def attempts(self) -> int:
        """Most attempts that may reach an upstream."""
        ...

    @property
    def priority(self) -> int:
        """Priority class; 0 is the highest."""
        ...

    @property
    def homes(self) -> frozenset[str]:
        """Allowed regions; empty for all."""
        ...


class Tenant(Protocol):
    """The attributes of a tenant that decisions use."""

    @property
    def name(self) -> str:
        """Key of the tenant's quota account."""
        ...

    @property
    def rate(self) -> float:
        """Quota in units a second; 0 for none."""
        ...

    @property
    def burst(self) -> float:
        """Capacity of the quota's token bucket in units."""
        ...

    @property
    def homes(self) -> frozenset[str]:
        """Allowed regions; empty for all."""
        ...


@dataclass(slots=True, frozen=True)
class RoutedRequest(api.Request):
    """A request matched to a route; ``service`` is the one chosen for it."""

    route: Route | None = None
    tenant: Tenant | None = None
    caller: Caller | None = None  # set if the route uses affinity


@dataclass(slots=True, frozen=True)
class NoCapacity(api.Refuse):
    """A refusal because no upstream has capacity or can be reached, rather than for a quota."""


@dataclass(slots=True, frozen=True)
class TotalsReceived:
    """A tenant's totals over all gateways, as reported by its quota owner.

    ``included`` are this gateway's offered and admitted counts that the totals contain, ``asked_at`` is the
    time of the report that they answer.
    """

    tenant: str
    remaining: float
    offered: float
    admitted: float
    included: tuple[float, float]
    asked_at: float


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request that has been admitted and not answered yet."""

    request: RoutedRequest
    arrived_at: float
    deadline: float
    homes: frozenset[str] | None
    in_flight: dict[int, tuple[Upstream, float]] = field(
        default_factory=dict
    )  # upstream and send time by attempt
    sends: int = 0
    delivered: int = 0  # attempts that reached an upstream, or may have
    executed: bool = False  # or may have been
    done: bool = False
    tried: list[str] = field(default_factory=list)
    hedge_timer: int = 0


class Dispatcher:
    """Decides on the requests of one gateway.

    ``retry_ratio`` is the number of retries allowed per request and ``retry_slack`` the number allowed on top
    of that, both over all gateways.
    """

    def __init__(
        self, balancer: Balancer, rng: random.Random, retry_ratio: float, retry_slack: float,
        counters: Counter[str] | None = None,
    ) -> None:  # fmt: skip
        self.balancer, self.rng, self.retry_ratio, self.retry_slack = balancer, rng, retry_ratio, retry_slack
        self.counters: Counter[str] = Counter() if counters is None else counters
        self.active_requests: dict[str, ActiveRequest] = {}
        self.hedge_timers: dict[int, ActiveRequest] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.accounts: dict[str, Account] = {}
        self.last_timer = 0
        self.actions: list[api.Action] = []
        self.gateway_count = 1
        self.gateways: dict[str, str] = {}
        self.hold_s = DEPARTED_HOLD_S
        self.departed: dict[str, float] = {}  # gateways, and until when they may act
        self.waiting: dict[str, list[RoutedRequest]] = {}  # by tenant, for its totals
        self.waiting_timers: dict[int, str] = {}  # tenant by timer
        self.burst_unknown_until = -math.inf  # until then, other gateways may be using up the bursts
        self.affinity: AffinitySelector | None = None
        self.failure_reporter = FailureReporter()
        self.rollout_samplers: dict[str, RolloutSampler] = {}  # by service, of unfinished rollouts
        # Recent refusals and failures for the status view: time, reason code, route, tenant.
        self.refusals: deque[tuple[float, str, str, str]] = deque(maxlen=100)

    def start(self, now: float) -> list[api.Action]:
        """Actions to take before the first event: none."""
        return []

    def set_gateways(self, gateways: Mapping[str, str], now: float) -> None:
        """Set the live gateways, including this one, with their zones, and adapt the shared limits."""
        self.departed |= dict.fromkeys(
            [name for name in self.gateways if name not in gateways], now + self.hold_s
        )
        self.gateways = dict(gateways)
        self.redistribute(now)

    def redistribute(self, now: float) -> None:
        """Recompute this gateway's part of the shared limits."""
        self.departed = {
            name: until for name, until in self.departed.items() if until > now and name not in self.gateways
        }
        self.balancer.set_gateways(self.gateways, self.departed)
        self.gateway_count = max(len(self.gateways) + len(self.departed), 1)
        for budget in self.retry_budgets.values():
            budget.resize(self.retry_slack, self.gateway_count)
        for account in self.accounts.values():
            account.reconfigure(account.rate, account.burst, self.gateway_count, now)

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Process one event and return the resulting actions; events of other kinds are ignored."""
        self.actions = []
        match event:
            case RoutedRequest():
                self.on_request(event, now)
            case api.Outcome():
                self.on_outcome(event, now)
            case api.Withdrawn():
                self.on_withdrawn(event)
            case api.TimerFired(timer):
                if timer in self.waiting_timers:
                    self.decide_waiting(self.waiting_timers.pop(timer), now)
                else:
                    self.on_hedge_timer(timer, now)
            case TotalsReceived():
                self.on_totals(event, now)
            case _:
                pass
        return self.actions

    # Admission.

    def get_account(self, tenant: Tenant, now: float) -> Account:
        """The tenant's quota account, created if missing and adapted to a changed quota."""
        account = self.accounts.get(tenant.name)
        if account is None:
            account = Account(tenant.name, tenant.rate, tenant.burst, self.gateway_count, now)
            if now < self.burst_unknown_until:
                # Other gateways, or the previous instance of this one, may have used the burst.
                account.own_remaining = 0.0
            self.accounts[tenant.name] = account
        elif (account.rate, account.burst) != (tenant.rate, tenant.burst):
            account.reconfigure(tenant.rate, tenant.burst, self.gateway_count, now)
        return account

    def expire(self, now: float) -> None:
        """Drop state that is out of date. Called periodically."""
        self.balancer.queue_delays.expire(now)
        if any(until <= now for until in self.departed.values()):
            self.redistribute(now)
        for tenant in [
            tenant for tenant, account in self.accounts.items() if now - account.last_used_at > IDLE_EXPIRY_S
        ]:
            del self.accounts[tenant]

    def on_request(self, request: RoutedRequest, now: float) -> None:
        """Count the request as offered, then decide on it, or let it wait for its tenant's totals."""
        assert request.route is not None
        tenant = request.tenant
        if tenant is not None and tenant.rate > 0:
            account = self.get_account(tenant, now)
            account.record_offer(request.units, now, request.route.priority)
            if not account.can_decide(request.units, now) and request.left > 2 * TOTALS_WAIT_S:
                self.wait_for_totals(request, account)
                return
            self.decide_quota(request, account, now)
        else:
            self.admit(request, now)

    def wait_for_totals(self, request: RoutedRequest, account: Account) -> None:
        """Request the totals at once; when the timer fires, the request is decided without them."""
        account.urgent = True
        account.hold(request.units)
        self.last_timer += 1
        self.waiting_timers[self.last_timer] = account.tenant
        self.waiting.setdefault(account.tenant, []).append(request)
        self.actions += [
            api.SetTimer(TOTALS_WAIT_S, self.last_timer),
            api.AddCount(self.last_timer, request.units, 0.0),
        ]

    def on_totals(self, event: TotalsReceived, now: float) -> None:
        """Update the tenant's account and decide on requests that waited for its totals."""
        account = self.accounts.get(event.tenant)
        if account is not None:
            account.update_totals(
                event.remaining, event.offered, event.admitted, event.included, event.asked_at
            )
            self.decide_waiting(event.tenant, now)

    def decide_waiting(self, tenant: str, now: float) -> None:
        """Decide on the requests that wait for this tenant's totals."""
        account = self.accounts.get(tenant)
        for request in self.waiting.pop(tenant, ()):
            if account is not None:
                account.release(request.units)
                if request.left:
                    self.decide_quota(request, account, now)

    def decide_quota(self, request: RoutedRequest, account: Account, now: float) -> None:
        """Admit with the account's admission probability, and only within the remaining quota."""
        assert request.route is not None
        passed = self.rng.random() < account.admission_probability(now, request.route.priority)
        if not passed or not account.fits(request.units, now):
            reason = "gate" if not passed else "total" if account.totals_fresh(now) else "untold"
            self.counters[f"refused.{reason}"] += 1
            self.refusals.append((now, reason, request.route.name, account.tenant))
            self.actions.append(api.Refuse(request.request, account.retry_after(request.units, now)))
            return
        account.admit(request.units)
        self.admit(request, now)

    def admit(self, request: RoutedRequest, now: float) -> None:
        """Start an admitted request with its first attempt."""
        assert request.route is not None
        tenant = request.tenant
        homes = allowed_regions(request.route.homes, tenant.homes if tenant is not None else frozenset())
        active = ActiveRequest(request, now, now + request.left, homes)
        self.active_requests[request.request] = active
        self.retry_budget(request.service).deposit()
        self.send_attempt(active, now)

    def retry_budget(self, service: str) -> RetryBudget:
        """The service's retry budget, created if missing."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self.retry_budgets[service] = RetryBudget(
                self.retry_ratio, self.retry_slack, self.gateway_count
            )
        return budget

    # Attempts.

    def send_attempt(self, active: ActiveRequest, now: float) -> bool:
        """Send an attempt if one is allowed, or finish the request if none is in flight.

        Returns whether an attempt was sent.
        """
        request, route = active.request, active.request.route
        assert route is not None
        upstream = None
        if (
            now < active.deadline - DEADLINE_MARGIN_S
            and active.sends < MAX_SENDS
            and active.delivered < max(route.attempts, 1)
        ):
            initial_latency = INITIAL_LATENCY_FACTOR * route.aim
            if request.caller is not None and self.affinity is not None:
                upstream = self.affinity.pick(
                    request.caller, request.service, active.homes, active.tried, now
                )
                if upstream is not None and not self.balancer.versions.accepts_callers(upstream, now):
                    upstream = None
            if upstream is None:
                upstream = self.balancer.pick(
                    request.service, route.name, active.homes, active.tried, now, initial_latency
                )
            if upstream is not None and not active.sends and self.is_shed(active, upstream, now):
                self.counters["refused.goes_last"] += 1
                upstream = None
            if (
                upstream is not None
                and active.delivered
                and not self.retry_budget(request.service).withdraw()
            ):
                self.counters["tries.no_budget"] += 1
                upstream = None
        if upstream is None:
            if not active.in_flight:
                self.finish(active, now)
            return False
        attempt = active.sends
        active.sends += 1
        active.delivered += 1  # corrected if it turns out not to have reached the upstream
        active.in_flight[attempt] = (upstream, now)
        active.tried.append(upstream.ident)
        self.balancer.attempt_sent(upstream, now)
        self.actions.append(api.Send(request.request, upstream.ident))
        if attempt == 0 and route.repeatable and route.attempts > 1:
            delay = max(
                HEDGE_DELAY_FACTOR * route.aim,
                HEDGE_MIN_LATENCIES * self.balancer.route_latency.get(route.name, 0.0),
            )
            if delay < request.left - DEADLINE_MARGIN_S:
                self.last_timer += 1
                active.hedge_timer = self.last_timer
                self.hedge_timers[self.last_timer] = active
                self.actions.append(api.SetTimer(delay, self.last_timer))
        return True

    def is_shed(self, active: ActiveRequest, upstream: Upstream, now: float) -> bool:
        """Whether the request is shed because of the queueing delay at the chosen upstream's region."""
        request, queue_delays = active.request, self.balancer.queue_delays
        assert request.route is not None
        queue_delays.record_request(
            request.service, request.route.name, request.route.priority, request.route.aim, now
        )
        share = queue_delays.shed_share(request.service, request.route.name, upstream.region, now)
        return share > 0.0 and self.rng.random() < share

    def on_hedge_timer(self, timer: int, now: float) -> None:
        """Send a hedged request if the first attempt is still in flight."""
        active = self.hedge_timers.pop(timer, None)
        if (
            active is None
            or active.done
            or len(active.in_flight) != 1
            or active.request.request not in self.active_requests
        ):
            return
        ((upstream, _),) = active.in_flight.values()
        if self.send_attempt(active, now):
            self.counters["tries.second"] += 1
            upstream.health.record_outcome(True, 0.1, 8.0, now)

    def on_outcome(self, event: api.Outcome, now: float) -> None:
        """Record how an attempt ended, then retry or finish the request."""
        active = self.active_requests.get(event.request)
        if active is None or event.attempt not in active.in_flight:
            return
        upstream, sent_at = active.in_flight.pop(event.attempt)
        self.balancer.attempt_ended(upstream, sent_at)
        route, code = active.request.route, event.code
        assert route is not None
        self.record_outcome(upstream, route, event, now)
        if upstream.service in self.rollout_samplers:
            self.rollout_samplers[upstream.service].record(
                InFlightAttempt((event.request, event.attempt), upstream, route.name, sent_at),
                code, event.took, INITIAL_LATENCY_FACTOR * route.aim, "forgot" in event.report,
            )  # fmt: skip
        if code in (Code.UNREACHABLE, Code.MOOT):
            active.delivered -= 1
        active.executed = active.executed or code not in NOT_EXECUTED
        if event.closed or active.done:
            active.done = True
            if not active.in_flight:
                self.remove(active)
            return
        if active.in_flight:
            return  # another attempt is in flight
        if active.executed and not route.repeatable:
            self.finish(active, now)
        else:
            self.send_attempt(active, now)

    def record_outcome(self, upstream: Upstream, route: Route, event: api.Outcome, now: float) -> None:
        """Update the upstream's statistics."""
        code = event.code
        if code is Code.OK:
            self.balancer.record_answer(
                upstream, route.name, event.took, now, INITIAL_LATENCY_FACTOR * route.aim
            )
        elif code is Code.FULL:
            if "misrouted" in event.report:
                self.balancer.remove(upstream.ident)
            else:
                self.balancer.record_rejection(upstream, now)
        elif code is Code.UNREACHABLE:
            self.balancer.record_failure(upstream, now, True)
        elif code is Code.ERROR:
            self.balancer.record_failure(upstream, now, False, 0.4)
        else:
            slow = code is Code.TIMEOUT and event.took > 2 * self.balancer.route_latency.get(
                route.name, math.inf
            )
            if not slow and code is not Code.RESET:
                return
            self.balancer.record_failure(upstream, now, False)
        if code is not Code.FULL and upstream.region == self.balancer.region and "forgot" not in event.report:
            # A failed link between regions, or a connection given up here, is not the upstream's fault.
            self.failure_reporter.record(upstream.ident, code is not Code.OK, now)

    def attempts_in_flight(self, service: str) -> list[tuple[Route, InFlightAttempt]]:
        """All attempts at a service that have not ended, with their routes."""
        return [
            (
                active.request.route,
                InFlightAttempt((request, attempt), upstream, active.request.route.name, sent_at),
            )
            for request, active in self.active_requests.items()
            if active.request.route is not None
            for attempt, (upstream, sent_at) in active.in_flight.items()
            if upstream.service == service
        ]

    def finish(self, active: ActiveRequest, now: float) -> None:
        """Give the final answer to a request that has no attempt in flight."""
        self.remove(active)
        route = active.request.route
        assert route is not None
        self.refusals.append(
            (now, "failed" if active.executed else "no_server", route.name, active.request.customer)
        )
        if active.executed:
            self.actions.append(api.Fail(active.request.request))
        else:
            self.counters["refused.no_server"] += 1
            retry_after = min(
                max(0.3 * self.balancer.route_latency.get(route.name, route.aim), RETRY_AFTER_BOUNDS_S[0]),
                RETRY_AFTER_BOUNDS_S[1],
            )
            self.actions.append(
                NoCapacity(active.request.request, retry_after * (0.7 + 0.6 * self.rng.random()))
            )

    def remove(self, active: ActiveRequest) -> None:
        """Drop the request's state."""
        self.active_requests.pop(active.request.request, None)
        self.hedge_timers.pop(active.hedge_timer, None)

    def on_withdrawn(self, event: api.Withdrawn) -> None:
        """Stop retrying a request whose client is gone, and cancel its attempts if it is idempotent.

        Other attempts run to their end: cancelled halfway, their outcome would be in doubt.
        """
        active = self.active_requests.get(event.request)
        if active is not None:
            active.done = True
            if active.request.route is not None and active.request.route.repeatable:
                self.actions.extend(api.Cancel(event.request, attempt) for attempt in active.in_flight)
            if not active.in_flight:
                self.remove(active)
        for requests in self.waiting.values():
            # A waiting request stays held until the totals arrive; without time left, it is then dropped.
            requests[:] = [
                replace(request, left=0.0) if request.request == event.request else request
                for request in requests
            ]
