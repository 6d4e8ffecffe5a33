"""Decisions of a gateway as pure logic: ``handle`` takes an event and the time in s, and returns actions."""

from __future__ import annotations

import math
import random
from collections import Counter

from barleyhub import interface as api
from barleyhub.fleet import INITIAL_LIMIT, MAX_SLOW_SHARE, Fleet
from barleyhub.interface import Code, Group, Repeat
from barleyhub.quotas import SAMPLING_CUT, SAMPLING_GROWTH, Account, Quotas
from barleyhub.state import HANDLERS, Job, SharedCounter

MAX_MARGIN_S = 0.1  # time kept before a client's deadline, and before the end of a window for retries
FIT_SMOOTHING, FIT_SLOPE = 0.05, 3.0  # of the rate of fitting requests; of admission without a total by it
MAX_CAPACITY_SHARE = 0.1  # of an account's capacity that one sampled request stands for, at most
MAX_COUNTER_FAILURES = 3  # failed calls in a row after which the counter counts as unavailable
MARGIN_SHARE = 1 / 12  # of the mean target latency; the margin is no longer than that
INITIAL_LATENCY_S = 0.2  # before any response; only its ratio to later latencies matters
NOT_RUN_CODES = (Code.FULL, Code.UNREACHABLE, Code.MOOT)


class Gateway(Quotas, Fleet):
    """The decisions of one gateway."""

    def __init__(self, seed: int, settings: api.Settings, stats: Counter[str] | None = None) -> None:
        super().__init__()
        self.stats = Counter() if stats is None else stats
        self.random = random.Random(seed)
        self.accounts: dict[str, Account] = {}
        self.counter_calls: dict[int, tuple[Account, SharedCounter]] = {}
        self.latency = INITIAL_LATENCY_S
        self.counter_down = not settings.counter
        self.in_flight_limit = INITIAL_LIMIT
        self.on_settings(settings, 0.0)

    def start(self, now: float) -> list[api.Action]:
        """The first actions after the start of a gateway."""
        return [api.Follow()] if self.settings.ask_discovery else []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Process one event and return the actions that it causes."""
        self.actions = []
        handler = getattr(self, HANDLERS.get(type(event).__name__, ""), None)
        if handler is not None:
            handler(event, now)
        return self.actions

    def on_countanswer(self, event: api.CountAnswer, now: float) -> None:
        """Take in a counter call's total and decide the requests that await it."""
        if event.late:
            self.apply_late_total(event, now)
            return
        account, counter = self.counter_calls.pop(event.name, (None, None))
        if account is None or counter is None:
            return
        was_down, answered = self.counter_down, event.code is Code.OK
        self.counter_failures = 0 if answered else self.counter_failures + 1
        self.counter_down = self.counter_failures >= MAX_COUNTER_FAILURES
        self.sampling_rate = (
            self.sampling_rate
            if self.counter_down
            else min(self.sampling_rate * (SAMPLING_GROWTH if answered else SAMPLING_CUT), 1.0)
        )
        if self.counter_down != was_down:
            self.actions.append(api.Log("counter back" if was_down else "counter silent"))
        account.advance(now)
        units, counter.in_flight = counter.in_flight or 0.0, None
        if answered:
            account.apply_total(counter, event.total, now)
        elif event.code is not Code.TIMEOUT:
            counter.unreported += units
        else:
            # The counter may have added the units of a timed-out call, so they are not reported again.
            self.expect_late_total(event.name, account, counter)
        if counter is account.admitted:
            awaiting, account.awaiting_total = account.awaiting_total, []
            for job in awaiting:
                if not job.withdrawn:
                    self.decide(job, answered, now)
            if counter.unreported < 0 and self.random.random() < self.sampling_rate_of(account):
                self.call_counter(account, counter, now, "taking_back")

    def on_settings(self, event: api.Settings, now: float) -> None:
        """Apply settings to later requests; those in progress keep their class."""
        self.settings, self.classes = event, {c.name: c for c in event.classes}
        self.target_latency = sum(c.aim for c in event.classes) / len(event.classes)
        self.margin = min(MAX_MARGIN_S, MARGIN_SHARE * self.target_latency)
        self.slowdowns = dict.fromkeys(self.classes, 1.0) | self.slowdowns
        self.on_rules(api.Rules(event.plans, self.blocked_customers, self.excluded_servers), now)

    def on_rules(self, event: api.Rules, now: float) -> None:
        """Apply rules to later requests; each account changes over at its next request."""
        old, self.plans = self.plans, {p.name: p for p in event.plans}
        self.plan_changed_at |= {n: now for n, p in self.plans.items() if old.get(n, p) != p}
        self.blocked_customers, self.excluded_servers = event.blocked, event.aside
        self.assign_servers(now)

    def on_request(self, event: api.Request, now: float) -> None:
        """Admit, refuse or hold a request; the admission probability is drawn before any counter call."""
        service = self.classes.get(event.service)
        if service is None or event.plan not in self.plans:
            raise ValueError(f"unknown class {event.service!r} or plan {event.plan!r}")
        if event.customer in self.blocked_customers:
            self.stats["refused.blocked"] += 1
            self.actions.append(api.Refuse(event.request))
            return
        account = self.account_for(event, self.plans[event.plan], now)
        account.advance(now)
        job = Job(event, service, account, now, now + event.left, event.units, self.settings.try_limit)
        job.excluded_servers = self.excluded_servers
        self.jobs[event.request] = job
        sure, probability = account.surely_fits(event.units, now), self.sampling_rate_of(account)
        drawn = self.random.random() < account.admission_probability(event.units)
        if drawn and self.sheds(service, False, now):
            self.stats["refused.no_room"] += 1
            self.finish(job)
            return
        can_wait = event.left > self.settings.counter_limit + self.margin
        # If a sampled request would stand for too much of the capacity, each request counts for itself.
        single = event.units > MAX_CAPACITY_SHARE * account.capacity * probability
        factor = max(account.admitted.unreported / event.units, 0.0) + 1 if single else 1.0
        calls = can_wait and not sure and self.random.random() < probability * factor
        # Otherwise a request with a call also counts for similar ones without.
        job.counted_units = event.units if sure or single else event.units / probability if calls else 0.0
        account.admitted.unreported += job.counted_units
        if calls and drawn:
            self.call_counter(account, account.admitted, now, "request")
            account.awaiting_total.append(job)
        else:
            self.decide(job, sure or not drawn, now, drawn)

    def decide(self, job: Job, by_total: bool, now: float, drawn: bool = True) -> None:
        """Admit or refuse, by a total or else by how often similar requests fit."""
        account, units = job.account, job.request.units
        assert isinstance(account, Account)
        plan, similar = account.plan, (account.plan.name, account.local_allowance >= units)
        fits = drawn and account.fits(job, self.latency)
        fit_rate = self.fit_rates.get(similar, 1.0)
        if by_total and now > job.arrived_at:
            self.fit_rates[similar] = fit_rate + (fits - fit_rate) * FIT_SMOOTHING
        # Without a total, admit if fitting requests earn more than the others cost.
        least = plan.over_cost / (1 + plan.over_cost)
        admitted = fits and (by_total or self.random.random() < (fit_rate - least) / (1 - least) * FIT_SLOPE)
        extra = not admitted and plan.extra_worth > plan.over_cost
        # An allowance below one request is a probability, which keeps the sum over all gateways.
        split = plan.ceiling_rate > 0 and not (by_total and admitted)
        capped = split and self.random.random() * units >= account.ceiling_allowance
        refused = capped or not (admitted or extra) or (extra and self.sheds(job.service, extra, now))
        account.admitted.unreported -= job.counted_units if refused or extra else 0.0
        if refused:
            # A request shed for lack of servers is not over the quota and must not count against it.
            account.refused.unreported += 0.0 if admitted else units
            due = account.refused.unreported > min(account.capacity, account.spread)
            if due and self.random.random() < self.sampling_rate_of(account):
                self.call_counter(account, account.refused, now, "refusals")
            # Refused requests make no calls, so totals older than the decay time are renewed here.
            for counter in () if self.counter_down else (account.admitted, account.refused):
                if account.decay_time < now - max(counter.read_at, counter.requested_at) < math.inf:
                    self.call_counter(account, counter, now, "old_total")
            reason = "ceiling" if capped else "gate" if not drawn else "total" if by_total else "untold"
            self.stats[f"refused.{reason}"] += 1
            self.finish(job)
            return
        self.stats["admitted.extra" if extra else "admitted.told" if by_total else "admitted.untold"] += 1
        account.local_allowance = max(account.local_allowance - units, 0.0)
        account.ceiling_allowance -= units if split else 0.0
        self.dispatch(job, now)

    def dispatch(self, job: Job, now: float) -> None:
        """Send a job's next attempt, or finish it if none is left or no server may be tried."""
        end = now >= job.deadline - self.margin or job.attempts >= min(job.try_limit, self.settings.try_limit)
        server = None if end else self.pick_server(job, now)
        if server is None:
            self.finish(job)
        else:
            job.start_attempt(server, now)
            self.sent_attempts[job.service.name].append((job, now))
            self.change_in_flight(1, now)
            self.actions.append(api.Send(job.request.request, server.entry.server, self.timeout(job, now)))

    def timeout(self, job: Job, now: float) -> float | None:
        """The time to the target latency if a later answer has no value, else None, to keep load known."""
        left = job.arrived_at + job.service.aim - self.margin - now
        return left if job.service.late_worth == 0 and left > self.margin else None

    def finish(self, job: Job) -> None:
        """Give the final answer to a job without an attempt in flight."""
        self.jobs.pop(job.request.request, None)
        deduplicated = job.service.repeat is Repeat.KEYED and job.service.group is Group.ALL
        if not job.may_have_run or job.service.repeat is Repeat.SAFE or deduplicated:
            rate = job.account.plan.rate  # at which units fit the capacity again
            wait = min(job.request.units / rate if rate else self.latency, self.settings.max_retry_after)
            self.actions.append(api.Refuse(job.request.request, wait if self.settings.retry_after else None))
        else:
            self.actions.append(api.Fail(job.request.request))

    def on_outcome(self, event: api.Outcome, now: float) -> None:
        """Record an attempt's outcome, then retry or finish the job."""
        job = self.jobs.get(event.request)
        if job is None or job.current_server is None:
            return
        server = job.end_attempt(job.current_server)
        self.change_in_flight(-1, now)
        self.update_estimates(server, event, job, now)
        if event.cost and self.settings.cost_after:
            job.account.admitted.unreported += event.cost - job.request.units
        job.may_have_run = job.may_have_run or event.code not in NOT_RUN_CODES
        retryable = (  # only by the class's own rule, after an attempt that may have run
            job.service.repeat is Repeat.KEYED
            and now < job.first_sent_at + job.service.repeat_window - self.margin
        )
        # The server may still work on an attempt that timed out; in overload a retry would only add to it.
        overloaded = event.code is Code.TIMEOUT and self.slow_share > MAX_SLOW_SHARE
        if event.closed or job.withdrawn:
            self.jobs.pop(event.request, None)
        elif (job.may_have_run and not (job.service.repeat is Repeat.SAFE or retryable)) or overloaded:
            self.finish(job)
        else:
            self.dispatch(job, now)

    def on_withdrawn(self, event: api.Withdrawn, now: float) -> None:
        """Drop a request whose client has left, and cancel its attempt where that is supported."""
        job = self.jobs.get(event.request)
        if job is not None:
            job.withdrawn = True
            if job.current_server is None:
                del self.jobs[event.request]
            elif self.settings.cancelling:
                self.actions.append(api.Cancel(event.request, job.attempts - 1))
