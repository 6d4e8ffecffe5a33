"""Admission by tenant quotas: accounts, and when the shared counter is called for their totals."""

from __future__ import annotations

import math
from dataclasses import replace

from barleyhub import interface as api
from barleyhub.state import DRAIN_RATIO, AccountState, GatewayState, Job, SharedCounter, decay

CAPACITY_BURSTS, CAPACITY_REQUESTS = 1.1, 0.5  # an account's capacity, as multiples of each
MAX_PERIOD_S = 48.0  # the counter service forgets a name 60 s after its first call at the latest
MAX_PERIOD_DECAY_TIMES = 20.0  # weights grow by a factor of e per decay time
MAX_COUNTER_AMOUNT = 1e9  # the counter service rejects larger amounts
NO_RATE_DECAY = 0.2  # decay time of plans without a rate, as a share of the mean target latency
CONCURRENCY_MARGIN = 0.7  # attempts below a concurrency limit at which it counts as reached
UNSEEN_RATE_MULTIPLE = 3.0  # multiple of the rate that other gateways may have admitted since the last total
MAX_SAMPLED_GATEWAYS = 8  # gateways whose refusals are estimated from local ones, at most
SAMPLING_GROWTH, SAMPLING_CUT, MIN_SAMPLING_RATE = 1.05, 0.85, 0.15
SAMPLED_REQUESTS = 1.0  # of the largest size; the sampling rate is at least their share of the capacity
IDLE_ACCOUNT_TTL_S = 60.0


class Account(AccountState):
    """One customer's quota: offered and admitted units against the capacity."""

    __slots__ = ()

    def admission_probability(self, units: float) -> float:
        """The capacity over the units offered within one decay time, at most 1."""
        # Local refusals are taken as a sample of those at the customer's other gateways.
        unseen = self.refused.unreported * (min(self.spread, MAX_SAMPLED_GATEWAYS) - 1)
        offered = self.expected_usage(self.admitted) + self.expected_usage(self.refused) + unseen + units
        return min(self.capacity / max(offered, units), 1.0)

    def fits(self, job: Job, latency: float) -> bool:
        """Whether the expected usage stays within the capacity and the concurrency limit."""
        load = self.expected_usage(self.admitted) - job.counted_units + job.request.units
        # Little's law: requests in flight are the recent admission rate times the latency.
        in_flight = max((load - 1) * latency / self.decay_time, self.in_flight)
        limit = self.plan.concurrency - CONCURRENCY_MARGIN if self.plan.concurrency else math.inf
        return load <= self.capacity and in_flight <= limit

    def surely_fits(self, units: float, now: float) -> bool:
        """Whether the capacity also covers all that others may have admitted since the last total."""
        if not self.plan.rate or self.plan.ceiling_rate or self.admitted.read_at == -math.inf:
            return False
        unseen = UNSEEN_RATE_MULTIPLE * self.plan.rate * (now - self.admitted.read_at) * (1 - 1 / self.spread)
        return self.expected_usage(self.admitted) + units + unseen <= self.capacity


class Quotas(GatewayState):
    """The accounts of all customers, and the calls of the shared counter."""

    accounts: dict[str, Account]
    counter_calls: dict[int, tuple[Account, SharedCounter]]

    def sampling_rate_of(self, account: Account) -> float:
        """The probability of a counter call; 1 for plans with a ceiling, which need exact totals."""
        rate = max(self.sampling_rate, min(SAMPLED_REQUESTS * self.settings.largest / account.capacity, 1.0))
        rate = 1.0 if account.plan.ceiling_rate else rate
        return (MIN_SAMPLING_RATE if self.counter_down else rate) * self.settings.counter

    def call_counter(self, account: Account, counter: SharedCounter, now: float, reason: str) -> None:
        """Report unreported units and ask for the total; one call at a time for each counter."""
        if counter.in_flight is not None:
            return
        self.stats[f"counter.for_{reason}"] += 1
        counter.period, counter.requested_at = int(now // account.period_length), now
        amount = account.begin_report(counter, now, MAX_COUNTER_AMOUNT)
        name = account.counter_name(counter)
        self.counter_calls[name] = (account, counter)
        self.actions.append(api.AddCount(name, amount, account.period_length + 10))

    def apply_late_total(self, event: api.CountAnswer, now: float) -> None:
        """Use the total of a timed-out call, if its counter still goes by that name."""
        account, counter = self.late_calls.pop(event.name, (None, None))
        if account is not None and counter is not None and account.counter_name(counter) == event.name:
            account.advance(now)
            account.apply_total(counter, event.total, now)

    def open_account(self, request: api.Request, plan: api.PlanSettings, now: float) -> Account:
        """Create the account of a customer under a plan."""
        largest, spread = self.settings.largest, max(request.spread, 1)
        capacity = CAPACITY_BURSTS * plan.burst + CAPACITY_REQUESTS * largest if plan.rate else math.inf
        decay_time = (
            capacity / (DRAIN_RATIO * plan.rate) if plan.rate else NO_RATE_DECAY * self.target_latency
        )
        period_length = min(MAX_PERIOD_S, MAX_PERIOD_DECAY_TIMES * decay_time)
        account = Account(request.customer, plan, spread, now, decay_time, capacity, period_length)
        account.initialize_allowances(largest)
        account.name_suffix = f"\n{decay_time:.9g}"
        if plan.ceiling_rate and plan.name in self.plan_changed_at:
            # All of the capacity may have been used under the previous limits, and the ceiling must hold.
            account.assume_usage(
                account.admitted, capacity * decay(now - self.plan_changed_at[plan.name], decay_time), now
            )
        self.accounts[request.customer] = account
        return account

    def account_for(self, request: api.Request, plan: api.PlanSettings, now: float) -> Account:
        """The customer's account, moved to the end; drops the least recently used one if it has been idle."""
        known = self.accounts.get(request.customer)
        if known is not None and known.plan.name != plan.name:
            # A request under another plan must not change the account that goes by this name.
            request = replace(request, customer=f"{request.customer}\n{plan.name}")
        account = self.accounts.pop(request.customer, None) or self.open_account(request, plan, now)
        if account.plan != plan:
            old, account = account, self.open_account(request, plan, now)
            old.advance(now)
            account.inherit_usage(old)
        self.accounts[request.customer] = account
        first = next(iter(self.accounts))
        if not self.accounts[first].active and now - self.accounts[first].updated_at > IDLE_ACCOUNT_TTL_S:
            del self.accounts[first]
        return account
