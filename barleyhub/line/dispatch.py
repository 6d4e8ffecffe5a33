"""The decisions on each request: admitted or refused, which server, whether again, what is answered.

Events of ``barleyhub.interface`` and a ``Call`` go in, actions come out. A request that the system has given
up on gets its final answer at once: a refusal with when to come back if it has not run, else a failure.
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
from barleyhub.line.budget import Tries
from barleyhub.line.examiner import Witness
from barleyhub.line.quota import KEPT, Account
from barleyhub.line.stock import Stock, Upstream, homes_of

if TYPE_CHECKING:  # loaded only where a route asks for it
    from barleyhub.affinity.keeper import Berths
    from barleyhub.affinity.order import Caller

MARGIN = 0.03  # s before a request's end in which no further attempt begins
GUESS = 0.5  # of a route's aim: its usual time before any answer
SECOND = 0.55  # of the aim after which a repeatable request is sent to a second server as well
SECOND_LEAST = 2.5  # usual times that must have gone by before that
TRIES_MOST = 4  # servers that one request is offered to at most, reached or not
WAIT = 0.15  # s that a request waits for its tenant's total, where neither one nor an own part is at hand
HELD = 4.0  # s that a gateway that is gone keeps its parts, where no lease ends what one does that is cut off
NEVER_RAN = (Code.FULL, Code.UNREACHABLE, Code.MOOT)
PAUSE = (0.1, 1.0)  # s; when to come back if servers have no room


class Route(Protocol):
    """What the decisions need of a route (s, shares)."""

    @property
    def name(self) -> str: ...
    @property
    def repeatable(self) -> bool: ...
    @property
    def aim(self) -> float: ...
    @property
    def timeout(self) -> float: ...
    @property
    def attempts(self) -> int: ...
    @property
    def priority(self) -> int: ...
    @property
    def homes(self) -> frozenset[str]: ...


class Tenant(Protocol):
    """What the decisions need of a tenant (units a second, units)."""

    @property
    def name(self) -> str: ...
    @property
    def rate(self) -> float: ...
    @property
    def burst(self) -> float: ...
    @property
    def homes(self) -> frozenset[str]: ...


@dataclass(slots=True, frozen=True)
class Call(api.Request):
    """A client's try that a configuration allows; ``service`` is the one drawn for it."""

    route: Route | None = None
    tenant: Tenant | None = None
    caller: Caller | None = None  # who is to be kept at one server


@dataclass(slots=True, frozen=True)
class Full(api.Refuse):
    """Refused since no server has room, or can be reached; not for a quota."""


@dataclass(slots=True, frozen=True)
class Told:
    """A tenant's totals over all gateways, which hold this gateway's counts up to ``counts``."""

    tenant: str
    room: float
    offered: float
    admitted: float
    counts: tuple[float, float]
    asked: float


@dataclass(slots=True, eq=False)
class Job:
    """A request in hand."""

    call: Call
    arrived: float
    until: float
    homes: frozenset[str] | None
    out: dict[int, tuple[Upstream, float]] = field(default_factory=dict)  # attempts by number
    sends: int = 0
    arrivals: int = 0  # attempts that reached a server, or may have
    ran: bool = False
    done: bool = False
    tried: list[str] = field(default_factory=list)
    mark: int = 0


class Dispatcher:
    """The decisions of one gateway."""

    def __init__(
        self, stock: Stock, draw: random.Random, ratio: float, slack: float,
        counts: Counter[str] | None = None,
    ) -> None:  # fmt: skip
        self.stock, self.draw, self.ratio, self.slack = stock, draw, ratio, slack
        self.counts: Counter[str] = Counter() if counts is None else counts
        self.jobs: dict[str, Job] = {}
        self.marks: dict[int, Job] = {}
        self.tries: dict[str, Tries] = {}
        self.accounts: dict[str, Account] = {}
        self.mark = 0
        self.actions: list[api.Action] = []
        self.spread = 1
        self.gateways: dict[str, str] = {}
        self.holds = HELD
        self.held: dict[str, float] = {}  # those gone lately, and until when they keep their parts
        self.waiting: dict[str, list[Call]] = {}  # for their tenant's total
        self.waits: dict[int, str] = {}  # until when at most, by mark
        self.young_until = -math.inf  # a tenant's burst may be in use through the others until then
        self.berths: Berths | None = None
        self.witness = Witness()  # of servers' failures, for the other gateways
        # The last refusals and failures, for people: when, reason code, route, tenant.
        self.refusals: deque[tuple[float, str, str, str]] = deque(maxlen=100)

    def start(self, now: float) -> list[api.Action]:
        return []

    def live(self, gateways: Mapping[str, str], now: float) -> None:
        """The live gateways, this one among them, each with its zone: duties and budgets are cut by them."""
        self.held |= dict.fromkeys([n for n in self.gateways if n not in gateways], now + self.holds)
        self.gateways = dict(gateways)
        self.share(now)

    def share(self, now: float) -> None:
        """What all gateways have together is cut anew."""
        self.held = {n: until for n, until in self.held.items() if until > now and n not in self.gateways}
        self.stock.live(self.gateways, self.held)
        self.spread = max(len(self.gateways) + len(self.held), 1)
        for tries in self.tries.values():
            tries.share(self.slack, self.spread)
        for account in self.accounts.values():
            account.change(account.rate, account.burst, self.spread, now)

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.actions = []
        match event:
            case Call():
                self.on_call(event, now)
            case api.Outcome():
                self.on_outcome(event, now)
            case api.Withdrawn():
                self.on_withdrawn(event)
            case api.TimerFired(mark):
                if mark in self.waits:
                    self.settle(self.waits.pop(mark), now)
                else:
                    self.on_timer(mark, now)
            case Told():
                self.on_told(event, now)
            case _:
                pass
        return self.actions

    # Admission.

    def account(self, tenant: Tenant, now: float) -> Account:
        account = self.accounts.get(tenant.name)
        if account is None:
            account = Account(tenant.name, tenant.rate, tenant.burst, self.spread, now)
            if now < self.young_until:
                # The others may be using the whole of it, and this process' former life its part.
                account.own = 0.0
            self.accounts[tenant.name] = account
        elif (account.rate, account.burst) != (tenant.rate, tenant.burst):
            account.change(tenant.rate, tenant.burst, self.spread, now)
        return account

    def forget(self, now: float) -> None:
        self.stock.headway.forget(now)
        if any(until <= now for until in self.held.values()):
            self.share(now)
        for name in [n for n, a in self.accounts.items() if now - a.used_at > KEPT]:
            del self.accounts[name]

    def on_call(self, call: Call, now: float) -> None:
        """The ordinary path: offered, gate, chance draw, the guard of the total, then a server."""
        assert call.route is not None
        tenant = call.tenant
        if tenant is not None and tenant.rate > 0:
            account = self.account(tenant, now)
            account.offer(call.units, now, call.route.priority)
            if not account.known(call.units, now) and call.left > 2 * WAIT:
                self.wait(call, account)
                return
            self.decide(call, account, now)
        else:
            self.admit(call, now)

    def wait(self, call: Call, account: Account) -> None:
        """A total is asked for at once; without one by the time that this mark fires, it is decided so."""
        account.hurry = True
        account.hold(call.units)
        self.mark += 1
        self.waits[self.mark] = account.tenant
        self.waiting.setdefault(account.tenant, []).append(call)
        self.actions += [api.SetTimer(WAIT, self.mark), api.AddCount(self.mark, call.units, 0.0)]

    def on_told(self, event: Told, now: float) -> None:
        account = self.accounts.get(event.tenant)
        if account is not None:
            account.learn(event.room, event.offered, event.admitted, event.counts, event.asked)
            self.settle(event.tenant, now)

    def settle(self, tenant: str, now: float) -> None:
        """Decide on those that have waited for this tenant's total."""
        account = self.accounts.get(tenant)
        for call in self.waiting.pop(tenant, ()):
            if account is not None:
                account.release(call.units)
                if call.left:
                    self.decide(call, account, now)

    def decide(self, call: Call, account: Account, now: float) -> None:
        """The gate's chance draw, then the guard of the total."""
        assert call.route is not None
        passed = self.draw.random() < account.gate(now, call.route.priority)
        if not passed or not account.fits(call.units, now):
            why = "gate" if not passed else "total" if account.fresh(now) else "untold"
            self.counts[f"refused.{why}"] += 1
            self.refusals.append((now, why, call.route.name, account.tenant))
            self.actions.append(api.Refuse(call.request, account.pause(call.units, now)))
            return
        account.admit(call.units)
        self.admit(call, now)

    def admit(self, call: Call, now: float) -> None:
        assert call.route is not None
        tenant = call.tenant
        homes = homes_of(call.route.homes, tenant.homes if tenant is not None else frozenset())
        job = Job(call, now, now + call.left, homes)
        self.jobs[call.request] = job
        self.budget(call.service).request()
        self.send(job, now)

    def budget(self, service: str) -> Tries:
        tries = self.tries.get(service)
        if tries is None:
            tries = self.tries[service] = Tries(self.ratio, self.slack, self.spread)
        return tries

    # Attempts.

    def send(self, job: Job, now: float) -> bool:
        """Send a further attempt, or end the request if nothing of it is out; whether one went out."""
        call, route = job.call, job.call.route
        assert route is not None
        upstream = None
        if now < job.until - MARGIN and job.sends < TRIES_MOST and job.arrivals < max(route.attempts, 1):
            guess = GUESS * route.aim
            if call.caller is not None and self.berths is not None:
                upstream = self.berths.pick(call.caller, call.service, job.homes, job.tried, now)
            if upstream is None:
                upstream = self.stock.pick(call.service, route.name, job.homes, job.tried, now, guess)
            if upstream is not None and not job.sends and self.goes_last(job, upstream, now):
                self.counts["refused.goes_last"] += 1
                upstream = None
            if upstream is not None and job.arrivals and not self.budget(call.service).take():
                self.counts["tries.no_budget"] += 1
                upstream = None
        if upstream is None:
            if not job.out:
                self.end(job, now)
            return False
        number = job.sends
        job.sends += 1
        job.arrivals += 1  # until it is known that it never got there
        job.out[number] = (upstream, now)
        job.tried.append(upstream.ident)
        self.stock.went(upstream, now)
        self.actions.append(api.Send(call.request, upstream.ident))
        if number == 0 and route.repeatable and route.attempts > 1:
            wait = max(SECOND * route.aim, SECOND_LEAST * self.stock.usual.get(route.name, 0.0))
            if wait < call.left - MARGIN:
                self.mark += 1
                job.mark = self.mark
                self.marks[self.mark] = job
                self.actions.append(api.SetTimer(wait, self.mark))
        return True

    def goes_last(self, job: Job, upstream: Upstream, now: float) -> bool:
        """Whether it is sent away at once, as its wait would be too long for it or for higher ranks."""
        call, headway = job.call, self.stock.headway
        assert call.route is not None
        headway.asked(call.service, call.route.name, call.route.priority, call.route.aim, now)
        share = headway.sent_away(call.service, call.route.name, upstream.region, now)
        return share > 0.0 and self.draw.random() < share

    def on_timer(self, mark: int, now: float) -> None:
        """A repeatable request has had no answer for long: a second server is asked as well."""
        job = self.marks.pop(mark, None)
        if job is None or job.done or len(job.out) != 1 or job.call.request not in self.jobs:
            return
        ((upstream, _),) = job.out.values()
        if self.send(job, now):
            self.counts["tries.second"] += 1
            upstream.own.record_outcome(True, 0.1, 8.0, now)

    def on_outcome(self, event: api.Outcome, now: float) -> None:
        job = self.jobs.get(event.request)
        if job is None or event.attempt not in job.out:
            return
        upstream, sent_at = job.out.pop(event.attempt)
        self.stock.back(upstream, sent_at)
        route, code = job.call.route, event.code
        assert route is not None
        self.judge(upstream, route, event, now)
        if code in (Code.UNREACHABLE, Code.MOOT):
            job.arrivals -= 1
        job.ran = job.ran or code not in NEVER_RAN
        if event.closed or job.done:
            job.done = True
            if not job.out:
                self.close(job)
            return
        if job.out:
            return  # another attempt is still out
        if job.ran and not route.repeatable:
            self.end(job, now)
        else:
            self.send(job, now)

    def judge(self, upstream: Upstream, route: Route, event: api.Outcome, now: float) -> None:
        """What an outcome says of the server."""
        code = event.code
        if code is Code.OK:
            self.stock.answered(upstream, route.name, event.took, now, GUESS * route.aim)
        elif code is Code.FULL:
            if "misrouted" in event.report:
                self.stock.drop(upstream.ident)
            else:
                self.stock.full(upstream, now)
        elif code is Code.UNREACHABLE:
            self.stock.failed(upstream, now, True)
        elif code is Code.ERROR:
            self.stock.failed(upstream, now, False, 0.4)
        else:
            slow = code is Code.TIMEOUT and event.took > 2 * self.stock.usual.get(route.name, math.inf)
            if not slow and code is not Code.RESET:
                return
            self.stock.failed(upstream, now, False)
        if code is not Code.FULL and upstream.region == self.stock.region and "forgot" not in event.report:
            # A way between regions that is cut, or a connection let go, says nothing of the server.
            self.witness.note(upstream.ident, code is not Code.OK, now)

    def end(self, job: Job, now: float) -> None:
        """The final answer of a request none of whose attempts is out."""
        self.close(job)
        route = job.call.route
        assert route is not None
        self.refusals.append((now, "failed" if job.ran else "no_server", route.name, job.call.customer))
        if job.ran:
            self.actions.append(api.Fail(job.call.request))
        else:
            self.counts["refused.no_server"] += 1
            pause = min(max(0.3 * self.stock.usual.get(route.name, route.aim), PAUSE[0]), PAUSE[1])
            self.actions.append(Full(job.call.request, pause * (0.7 + 0.6 * self.draw.random())))

    def close(self, job: Job) -> None:
        self.jobs.pop(job.call.request, None)
        self.marks.pop(job.mark, None)

    def on_withdrawn(self, event: api.Withdrawn) -> None:
        """The client has left: nothing more goes out, and work on what may be repeated is called off.

        What may not be repeated has run, or runs to its end: nobody could tell whether a half of it counts.
        """
        job = self.jobs.get(event.request)
        if job is not None:
            job.done = True
            if job.call.route is not None and job.call.route.repeatable:
                self.actions.extend(api.Cancel(event.request, attempt) for attempt in job.out)
            if not job.out:
                self.close(job)
        for calls in self.waiting.values():
            # One that waits stays held until its total has come, and then goes nowhere.
            calls[:] = [replace(c, left=0.0) if c.request == event.request else c for c in calls]
