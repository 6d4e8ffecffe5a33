"""All decisions of a gateway, as pure logic: events and the time in s go in, actions come out.

The ordinary path is here, accounts in quotas.py, servers in fleet.py. Types: interface.py; records: state.py;
reasons: docs/design.md.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from barleyhub import interface as api
from barleyhub.fleet import LIMIT_START, SLOW_SHARE, Fleet
from barleyhub.interface import Code, Group, Repeat
from barleyhub.quotas import ASK_CUT, ASK_GAIN, Account, Quotas
from barleyhub.state import HANDLERS, Job, Tally

MARGIN = 0.1  # s; a client is answered, a keyed window closed this early at most
FIT_GAIN, FIT_SLOPE = 0.05, 3.0  # how requests of a plan fare that got a total; chance of the others
SHARE = 0.1  # of the room that one request may stand for at most
SILENT_AFTER = 3  # failed calls in a row are a silent counter
MARGIN_PART = 1 / 12  # of the mean aim is the margin at most
START_LATENCY = 0.2  # s; before any answer; only its ratio to later ones matters
NEVER_RAN = (Code.FULL, Code.UNREACHABLE, Code.MOOT)


class Gateway(Quotas, Fleet):
    """The decisions of one gateway: the ordinary path, and what becomes of a request."""

    def __init__(self, seed: int, settings: api.Settings, counts: Counter[str] | None = None) -> None:
        super().__init__()
        self.counts = Counter() if counts is None else counts
        self.random = random.Random(seed)
        self.accounts: dict[str, Account] = {}
        self.calls: dict[int, tuple[Account, Tally]] = {}
        self.latency = START_LATENCY
        self.silent = not settings.counter
        self.limit = LIMIT_START
        self.on_settings(settings, 0.0)

    def start(self, now: float) -> list[api.Action]:
        """The first actions of a gateway's life."""
        return [api.Follow()] if self.settings.ask_discovery else []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.actions = []
        handler = getattr(self, HANDLERS.get(type(event).__name__, ""), None)
        if handler is not None:
            handler(event, now)
        return self.actions

    def on_countanswer(self, event: api.CountAnswer, now: float) -> None:
        if event.late:
            self.on_late(event, now)
            return
        account, tally = self.calls.pop(event.name, (None, None))
        if account is None or tally is None:
            return
        was, told = self.silent, event.code is Code.OK
        self.fails = 0 if told else self.fails + 1
        self.silent = self.fails >= SILENT_AFTER
        self.asking = self.asking if self.silent else min(self.asking * (ASK_GAIN if told else ASK_CUT), 1.0)
        if self.silent != was:
            self.actions.append(api.Log("counter back" if was else "counter silent"))
        account.advance(now)
        flying, tally.flying = tally.flying or 0.0, None
        if told:
            account.learn(tally, event.total, now)
        elif event.code is not Code.TIMEOUT:
            tally.pending += flying
        else:
            # A call timed out may have been added: it is never added again. Its total may still come.
            self.hope(event.name, account, tally)
        if tally is account.admitted:
            waiting, account.waiting = account.waiting, []
            for job in waiting:
                if not job.done:
                    self.decide(job, told, now)
            if tally.pending < 0 and self.random.random() < self.chance(account):
                self.ask(account, tally, now, "taking_back")

    def on_settings(self, event: api.Settings, now: float) -> None:
        """Later requests come under these; those in hand keep their class."""
        self.settings, self.classes = event, {c.name: c for c in event.classes}
        self.aim = sum(c.aim for c in event.classes) / len(event.classes)
        self.margin = min(MARGIN, MARGIN_PART * self.aim)
        self.ratios = dict.fromkeys(self.classes, 1.0) | self.ratios
        self.on_rules(api.Rules(event.plans, self.blocked, self.aside), now)

    def on_rules(self, event: api.Rules, now: float) -> None:
        """Later requests come under these; accounts move over one by one, at their next request."""
        old, self.plans = self.plans, {p.name: p for p in event.plans}
        self.switched |= {name: now for name, plan in self.plans.items() if old.get(name, plan) != plan}
        self.blocked, self.aside = event.blocked, event.aside
        self.share_out(now)

    def on_request(self, event: api.Request, now: float) -> None:
        """The ordinary path: offered, gate, chance draw, then the guards."""
        kind = self.classes.get(event.service)
        if kind is None or event.plan not in self.plans:
            raise ValueError(f"unknown class {event.service!r} or plan {event.plan!r}")
        if event.customer in self.blocked:
            self.counts["refused.blocked"] += 1
            self.actions.append(api.Refuse(event.request))
            return
        account = self.account(event, self.plans[event.plan], now)
        account.advance(now)
        job = Job(event, kind, account, now, now + event.left, event.units, self.settings.try_limit)
        job.aside = self.aside
        self.jobs[event.request] = job
        sure, chance = account.sure(event.units, now), self.chance(account)
        drawn = self.random.random() < account.gate(event.units)
        if drawn and self.full(kind, False, now):
            # A total would change nothing, and to tell the counter and take it back is two calls.
            self.counts["refused.no_room"] += 1
            self.end(job)
            return
        wait = event.left > self.settings.counter_limit + self.margin
        # Where one that asks would stand for too much of the room, each counts for itself, and the
        # more is untold here, the sooner it is told.
        single = event.units > SHARE * account.room * chance
        untold = max(account.admitted.pending / event.units, 0.0) + 1 if single else 1.0
        asked = wait and not sure and self.random.random() < chance * untold
        # Else those who go without a total are counted by those like them who ask for one.
        job.counted = event.units if sure or single else event.units / chance if asked else 0.0
        account.admitted.pending += job.counted
        if asked and drawn:
            self.ask(account, account.admitted, now, "request")
            account.waiting.append(job)
        else:
            self.decide(job, sure or not drawn, now, drawn)

    def decide(self, job: Job, told: bool, now: float, drawn: bool = True) -> None:
        """Admit or refuse; told is whether that rests on a total, else on how such requests fare."""
        account, units = job.account, job.request.units
        assert isinstance(account, Account)
        plan, like = account.plan, (account.plan.name, account.alone >= units)
        fits = drawn and account.fits(job, self.latency)
        usual = self.fitting.get(like, 1.0)
        if told and now > job.arrived:
            self.fitting[like] = usual + (fits - usual) * FIT_GAIN
        # Without a total it goes on if such requests fit often enough to earn what the others cost.
        least = plan.over_cost / (1 + plan.over_cost)
        admitted = fits and (told or self.random.random() < (usual - least) / (1 - least) * FIT_SLOPE)
        extra = not admitted and plan.extra_worth > plan.over_cost
        # A part under one request is a chance: it keeps the sum over the set.
        split = plan.ceiling_rate > 0 and not (told and admitted)
        capped = split and self.random.random() * units >= account.ceiling
        refused = capped or not (admitted or extra) or (extra and self.full(job.kind, extra, now))
        account.admitted.pending -= job.counted if refused or extra else 0.0
        if refused:
            # What only the servers had no room for is not the quota's: its repeats would close the gate.
            account.turned.pending += 0.0 if admitted else units
            ripe = account.turned.pending > min(account.room, account.spread)
            if ripe and self.random.random() < self.chance(account):
                self.ask(account, account.turned, now, "refusals")
            # A shut gate asks no more by itself: the totals that shut it must not be older than a depth.
            for tally in () if self.silent else (account.admitted, account.turned):
                if account.depth < now - max(tally.read_at, tally.asked_at) < math.inf:
                    self.ask(account, tally, now, "old_total")
            why = "ceiling" if capped else "gate" if not drawn else "total" if told else "untold"
            self.counts[f"refused.{why}"] += 1
            self.end(job)
            return
        self.counts["admitted.extra" if extra else "admitted.told" if told else "admitted.untold"] += 1
        account.alone = max(account.alone - units, 0.0)
        account.ceiling -= units if split else 0.0
        self.dispatch(job, now)

    def dispatch(self, job: Job, now: float) -> None:
        """Send a job's next attempt, or end it."""
        over = now >= job.deadline - self.margin or job.attempts >= min(job.tries, self.settings.try_limit)
        server = None if over else self.pick(job, now)
        if server is None:
            self.end(job)
        else:
            job.send(server, now)
            self.sent[job.kind.name].append((job, now))
            self.occupy(1, now)
            self.actions.append(api.Send(job.request.request, server.entry.server, self.timeout(job, now)))

    def timeout(self, job: Job, now: float) -> float | None:
        """Where an answer after the aim is worth nothing, stop before. Else it runs on: servers may go on
        unseen with what was given up, and what is out here would not tell any more how much they hold.
        """
        left = job.arrived + job.kind.aim - self.margin - now
        return left if job.kind.late_worth == 0 and left > self.margin else None

    def end(self, job: Job) -> None:
        """The final answer of a job none of whose attempts is out."""
        self.jobs.pop(job.request.request, None)
        dropped = job.kind.repeat is Repeat.KEYED and job.kind.group is Group.ALL
        if not job.ran or job.kind.repeat is Repeat.SAFE or dropped:
            # The advice is when a unit should fit the room again.
            rate = job.account.plan.rate
            wait = min(job.request.units / rate if rate else self.latency, self.settings.max_retry_after)
            self.actions.append(api.Refuse(job.request.request, wait if self.settings.retry_after else None))
        else:
            self.actions.append(api.Fail(job.request.request))

    def on_outcome(self, event: api.Outcome, now: float) -> None:
        job = self.jobs.get(event.request)
        if job is None or job.out is None:
            return
        server = job.back(job.out)
        self.occupy(-1, now)
        self.judge(server, event, job, now)
        if event.cost and self.settings.cost_after:
            job.account.admitted.pending += event.cost - job.request.units
        job.ran = job.ran or event.code not in NEVER_RAN
        # Only the class's own rule allows another attempt after one that may have run.
        within = job.kind.repeat is Repeat.KEYED and now < job.first_at + job.kind.repeat_window - self.margin
        # The work timed out may go on unseen: in overload another attempt would only add to it.
        jammed = event.code is Code.TIMEOUT and self.slow > SLOW_SHARE
        if event.closed or job.done:
            self.jobs.pop(event.request, None)
        elif (job.ran and not (job.kind.repeat is Repeat.SAFE or within)) or jammed:
            self.end(job)
        else:
            self.dispatch(job, now)

    def on_withdrawn(self, event: api.Withdrawn, now: float) -> None:
        job = self.jobs.get(event.request)
        if job is not None:
            job.done = True
            if job.out is None:
                del self.jobs[event.request]
            elif self.settings.cancelling:
                self.actions.append(api.Cancel(event.request, job.attempts - 1))
