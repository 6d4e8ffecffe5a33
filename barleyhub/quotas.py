"""What a customer's account lets in, and when the counter is asked for its totals."""

from __future__ import annotations

import math
from dataclasses import replace

from barleyhub import interface as api
from barleyhub.state import DRAIN, AccountState, GatewayState, Job, Tally, kept

ROOM, ROOM_UNITS = 1.1, 0.5  # the room: so many bursts and so many of the largest requests more
PERIOD_MAX = 48.0  # s; names are forgotten 60 s after their first call at the latest
PERIOD_DEPTHS = 20.0  # a period lasts at most this many depths: amounts grow by e for each
AMOUNT_MOST = 1e9  # the counter turns away any larger amount: two units at the end of a period
OPEN_DEPTH = 0.2  # share of the mean aim; depth for plans that limit only what is out at once
OPEN_ROOM = 0.7  # attempts under a concurrency limit at which what is likely out is too much
SURGE = 3.0  # times the rate: what the others may have sent unseen since the last total
OTHERS = 8  # gateways of a set, at most, for which one's own refusals speak
ASK_GAIN, ASK_CUT, ASK_LEAST = 1.05, 0.85, 0.15  # chance of asking the counter: up, down, at least
ASK_UNITS = 1.0  # of the largest requests in a room; the chance of asking is their share at least
MEMORY = 60.0  # s; a customer idle for this long is forgotten


class Account(AccountState):
    """The paper's rule for one customer: units offered and admitted, room, gate."""

    __slots__ = ()

    def gate(self, units: float) -> float:
        """Appendix B: room over the units offered over one depth, clamped to 0..1."""
        # What was refused here and is not told yet is taken for a sample of what the set refused.
        unseen = self.turned.pending * (min(self.spread, OTHERS) - 1)
        offered = self.expected(self.admitted) + self.expected(self.turned) + unseen + units
        return min(self.room / max(offered, units), 1.0)

    def fits(self, job: Job, stay: float) -> bool:
        """Whether the admitted total and this gateway's own since then have not passed the room."""
        load = self.expected(self.admitted) - job.counted + job.request.units
        # Little's law: what is out is what was admitted lately times its usual stay.
        out = max((load - 1) * stay / self.depth, self.out)
        most = self.plan.concurrency - OPEN_ROOM if self.plan.concurrency else math.inf
        return load <= self.room and out <= most

    def sure(self, units: float, now: float) -> bool:
        """Whether all that may have come in unseen since the last total would fit the room too."""
        if not self.plan.rate or self.plan.ceiling_rate or self.admitted.read_at == -math.inf:
            return False
        unseen = SURGE * self.plan.rate * (now - self.admitted.read_at) * (1 - 1 / self.spread)
        return self.expected(self.admitted) + units + unseen <= self.room


class Quotas(GatewayState):
    """Customers' accounts, and when the counter is asked for their totals."""

    accounts: dict[str, Account]
    calls: dict[int, tuple[Account, Tally]]

    def chance(self, account: Account) -> float:
        """How likely the counter is asked; plans that may not go without a total come first."""
        chance = max(self.asking, min(ASK_UNITS * self.settings.largest / account.room, 1.0))
        chance = 1.0 if account.plan.ceiling_rate else chance
        return (ASK_LEAST if self.silent else chance) * self.settings.counter

    def ask(self, account: Account, tally: Tally, now: float, why: str) -> None:
        """Tell what is pending and ask for the total, one call at a time."""
        if tally.flying is not None:
            return
        self.counts[f"counter.for_{why}"] += 1
        tally.period, tally.asked_at = int(now // account.period), now
        amount = account.tell(tally, now, AMOUNT_MOST)
        name = account.name(tally)
        self.calls[name] = (account, tally)
        self.actions.append(api.AddCount(name, amount, account.period + 10))

    def on_late(self, event: api.CountAnswer, now: float) -> None:
        """A total after its time is as true as any, though nobody waits for it any more."""
        account, tally = self.overdue.pop(event.name, (None, None))
        if account is not None and tally is not None and account.name(tally) == event.name:
            account.advance(now)
            account.learn(tally, event.total, now)

    def open(self, request: api.Request, plan: api.PlanSettings, now: float) -> Account:
        """A customer not seen lately."""
        largest, spread = self.settings.largest, max(request.spread, 1)
        room = ROOM * plan.burst + ROOM_UNITS * largest if plan.rate else math.inf
        depth = room / (DRAIN * plan.rate) if plan.rate else OPEN_DEPTH * self.aim
        period = min(PERIOD_MAX, PERIOD_DEPTHS * depth)
        account = Account(request.customer, plan, spread, now, depth, room, period)
        account.fill(largest)
        account.mark = f"\n{depth:.9g}"
        if plan.ceiling_rate and plan.name in self.switched:
            # What was used under the figures before may be all of the room, and the ceiling must hold.
            account.suppose(account.admitted, room * kept(now - self.switched[plan.name], depth), now)
        self.accounts[request.customer] = account
        return account

    def account(self, request: api.Request, plan: api.PlanSettings, now: float) -> Account:
        """The customer's account, from now on the last of all; the first is forgotten when long idle."""
        known = self.accounts.get(request.customer)
        if known is not None and known.plan.name != plan.name:
            # Who uses another's name under a plan of his own has his own account.
            request = replace(request, customer=f"{request.customer}\n{plan.name}")
        account = self.accounts.pop(request.customer, None) or self.open(request, plan, now)
        if account.plan != plan:
            old, account = account, self.open(request, plan, now)
            old.advance(now)
            account.carry(old)
        self.accounts[request.customer] = account
        first = next(iter(self.accounts))
        if not self.accounts[first].busy and now - self.accounts[first].at > MEMORY:
            del self.accounts[first]
        return account
