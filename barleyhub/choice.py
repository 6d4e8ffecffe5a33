"""All decisions of a gateway, as pure logic: events and the time in s go in, actions come out.

Types: interface.py; records: state.py; reasons: docs/design.md.
"""

from __future__ import annotations

import math
import random
from collections import Counter, defaultdict
from collections.abc import Container
from dataclasses import replace
from hashlib import blake2b

from barleyhub import interface as api
from barleyhub.interface import Code, Group, ListForm, Repeat, ServerState
from barleyhub.state import (
    DRAIN,
    HANDLERS,
    AccountState,
    GatewayState,
    Health,
    Job,
    Pool,
    Server,
    Tally,
    kept,
)

MARGIN = 0.1  # s; a client is answered, a keyed window closed this early at most
ROOM, ROOM_UNITS = 1.1, 0.5  # the room: so many bursts and so many of the largest requests more
PERIOD_MAX = 48.0  # s; names are forgotten 60 s after their first call at the latest
PERIOD_DEPTHS = 20.0  # a period lasts at most this many depths: amounts grow by e for each
AMOUNT_MOST = 1e9  # the counter turns away any larger amount: two units at the end of a period
OPEN_DEPTH = 0.2  # share of the mean aim; depth for plans that limit only what is out at once
OPEN_ROOM = 0.7  # attempts under a concurrency limit at which what is likely out is too much
FIT_GAIN, FIT_SLOPE = 0.05, 3.0  # how requests of a plan fare that got a total; chance of the others
SURGE = 3.0  # times the rate: what the others may have sent unseen since the last total
OTHERS = 8  # gateways of a set, at most, for which one's own refusals speak
ASK_GAIN, ASK_CUT, ASK_LEAST = 1.05, 0.85, 0.15  # chance of asking the counter: up, down, at least
ASK_UNITS = 1.0  # of the largest requests in a room; the chance of asking is their share at least
SHARE = 0.1  # of the room that one request may stand for at most
SILENT_AFTER = 3  # failed calls in a row are a silent counter
MEMORY = 60.0  # s; a customer idle for this long is forgotten
PACE_DEPTH = 8.0  # s; what a warm server answers, and so what a cold one is given, is averaged over this
MARGIN_PART = 1 / 12  # of the mean aim is the margin at most
GAIN = 0.15  # weight of a new answer in averages of answer times and of slow answers
SLOW_GAIN = 0.015  # weight of a new answer in the classes' usual times
START_LATENCY = 0.2  # s; before any answer; only its ratio to later ones matters
ERROR_COST = 4.0  # a server failing always counts as this many times slower, and one
SPENT = 0.75  # of fall_multiple; what all gateways send a cold server on average at the very most
SUPPOSED = 0.1  # units; weight of what holds before any answer: one unit a warm server and mean aim
FAR_COST = 10.0  # times the price of crossing zones: how much slower another zone counts
TIE = 0.1  # spread of the random factor that keeps gateways from choosing alike
SAMPLE = 12  # servers that a gateway sends to, at least, and that it looks at for an attempt
HOLDERS = 8.0  # gateways that send to one server, at least
TARGET = 0.6  # an answer that takes more than this share of its aim is slow ...
SLOW_SHARE = 0.2  # ... and when more than this share are, the limit on attempts out falls
LIMIT_START, LIMIT_LEAST = 6.0, 2.0  # attempts out a warm server by all gateways: at first, and always
LIMIT_GROWTH = 0.25  # attempts a server; what a quick answer adds at most when the limit is used
LIMIT_CUT = 0.85  # what a slow round leaves of the limit on attempts out
LEAST_WORTH = 0.75  # share of the limit open to the class of least worth for its work
EXTRA_SHARE = 0.4  # share of the limit open to what goes on beyond a quota
NEVER_RAN = (Code.FULL, Code.UNREACHABLE, Code.MOOT)
FAULTS = (Code.ERROR, Code.FULL, Code.UNREACHABLE, Code.RESET)


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


def digest(name: str) -> bytes:
    """A place among all servers that tells nothing of them, and is the same at all gateways."""
    return blake2b(name.encode(), digest_size=8).digest()


def stride(gateways: int) -> int:
    """Steps that lead once round all gateways, two neighbours never close: by the golden section."""
    step = max(round(gateways * 0.618), 1)
    while math.gcd(step, gateways) > 1:
        step += 1
    return step


class Gateway(GatewayState):
    """The decisions of one gateway."""

    def __init__(self, seed: int, settings: api.Settings, counts: Counter[str] | None = None) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter() if counts is None else counts
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.blocked: Container[str] = ()
        self.aside: Container[str] = ()
        self.switched: dict[str, float] = {}  # when a plan's figures changed last
        self.accounts: dict[str, Account] = {}
        self.calls: dict[int, tuple[Account, Tally]] = {}
        self.latency = START_LATENCY
        self.aim = sum(c.aim for c in settings.classes) / len(settings.classes)
        self.margin = min(MARGIN, MARGIN_PART * self.aim)
        self.ratios = {c.name: 1.0 for c in settings.classes}
        self.fitting: dict[tuple[str, bool], float] = {}
        self.silent = not settings.counter
        self.mine: list[Server] = []
        self.limit = LIMIT_START
        self.holders = float(max(settings.gateways, 1))

    def start(self, now: float) -> list[api.Action]:
        """The first actions of a gateway's life."""
        return [api.Follow()] if self.settings.ask_discovery else []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.actions = []
        handler = getattr(self, HANDLERS.get(type(event).__name__, ""), None)
        if handler is not None:
            handler(event, now)
        return self.actions

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

    def on_late(self, event: api.CountAnswer, now: float) -> None:
        """A total after its time is as true as any, though nobody waits for it any more."""
        account, tally = self.overdue.pop(event.name, (None, None))
        if account is not None and tally is not None and account.name(tally) == event.name:
            account.advance(now)
            account.learn(tally, event.total, now)

    def on_rules(self, event: api.Rules, now: float) -> None:
        """Later requests come under these; accounts move over one by one, at their next request."""
        old, self.plans = self.plans, {p.name: p for p in event.plans}
        self.switched |= {name: now for name, plan in self.plans.items() if old.get(name) != plan}
        self.blocked, self.aside = event.blocked, event.aside
        self.share_out()
        self.sort(now)

    def open(self, request: api.Request, plan: api.PlanSettings, now: float) -> Account:
        """A customer not seen lately."""
        largest, spread = self.settings.largest, max(request.spread, 1)
        room = ROOM * plan.burst + ROOM_UNITS * largest if plan.rate else math.inf
        depth = room / (DRAIN * plan.rate) if plan.rate else OPEN_DEPTH * self.aim
        period = min(PERIOD_MAX, PERIOD_DEPTHS * depth)
        account = Account(request.customer, plan, spread, now, depth, room, period)
        account.fill(largest)
        if plan not in self.settings.plans:
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
        if account.plan is not plan:
            old, account = account, self.open(request, plan, now)
            old.advance(now)
            account.carry(old)
        self.accounts[request.customer] = account
        first = next(iter(self.accounts))
        if not self.accounts[first].busy and now - self.accounts[first].at > MEMORY:
            del self.accounts[first]
        return account

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
        job = Job(event, kind, account, now, now + event.left, event.units, aside=self.aside)
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
        over = now >= job.deadline - self.margin or job.attempts >= self.settings.try_limit
        server = None if over else self.pick(job, now)
        if server is None:
            self.end(job)
        else:
            job.send(server, now)
            self.sent[job.kind.name].append((job, now))
            self.occupy(1, now)
            self.actions.append(api.Send(job.request.request, server.entry.server, self.timeout(job, now)))

    def timeout(self, job: Job, now: float) -> float | None:
        """After the aim an answer is worth little and its work is missing elsewhere: stop before."""
        left = job.arrived + job.kind.aim - self.margin - now
        pressed = job.kind.late_worth == 0 or self.out >= self.bounds(now) * EXTRA_SHARE
        return left if pressed and left > self.margin else None

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

    def on_serverlist(self, event: api.ServerList, now: float) -> None:
        if event.form is ListForm.LOST:
            self.actions.append(api.Follow())
        elif event.form is not ListForm.CHANGES:
            listed = {entry.server for entry in event.entries}
            self.servers = {name: known for name, known in self.servers.items() if name in listed}
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is not ServerState.ACTIVE:
                self.servers.pop(entry.server, None)
            elif known is None or known.entry.launched != entry.launched:
                pool = Pool.supposed(SUPPOSED, self.aim * self.holders, now)
                pool = self.groups.setdefault((entry.zone, entry.kind), pool)
                self.servers[entry.server] = Server(entry, Health(now), pool, now)
            else:
                known.entry = entry
        self.share_out()
        self.sort(now)

    def share_out(self) -> None:
        """Choose this gateway's servers: its arc of a ring on which all gateways see all servers alike.

        Traffic spread over all of a large fleet finds no connection open, and servers full of idle ones.
        Arcs are of one length and begin at even distances, gateways of neighbouring numbers far apart, as
        they share customers. A server that comes or goes moves the ends of an arc by one place.
        """
        zones = defaultdict(list)
        for name in sorted((name for name in self.servers if name not in self.aside), key=digest):
            zones[self.servers[name].entry.zone].append(self.servers[name])
        # Each zone's servers lie at even distances, so that every arc holds its part of each zone.
        ring = [((j + 0.5) / len(z), n, s) for n, z in sorted(zones.items()) for j, s in enumerate(z)]
        ring.sort(key=lambda place: place[:2])
        total, gateways = len(ring), max(self.settings.gateways, 1)
        size = min(total, max(SAMPLE, math.ceil(HOLDERS * total / gateways)))
        first = total * (self.settings.index * stride(gateways) % gateways) // gateways
        self.mine = [ring[(first + n) % total][2] for n in range(size)]
        self.holders = gateways * size / total if total else gateways

    def sort(self, now: float) -> None:
        """Part the warm servers from the cold ones."""
        for pool in self.groups.values():
            pool.recount(PACE_DEPTH, now)
        self.fleet = [s for s in self.mine if self.warmth(s, now) >= 1.0]
        self.cold = [s for s in self.mine if self.warmth(s, now) < 1.0]
        for server in self.fleet:
            server.group.warm += 1

    def warmth(self, server: Server, now: float) -> float:
        """The part of a warm server's work that a cold one can surely do."""
        s, launched = self.settings, server.entry.launched
        if not s.cold_time or not launched or now >= launched + s.cold_time:
            return 1.0
        return s.start_capacity + (1 - s.start_capacity) * max(now - launched, 0.0) / s.cold_time

    def rate(self, entry: api.ServerEntry) -> float:
        """Units a second that a warm server like it answered here, whatever its zone.

        A zone that was lost has answered nothing for as long as the list named it, and comes back cold
        just when the others are full: its servers can do what the others do.
        """
        pools = [pool for (_, kind), pool in self.groups.items() if kind == entry.kind]
        units, sizes = sum(pool.units for pool in pools), sum(pool.sizes for pool in pools)
        return min(entry.size * units / sizes, 1.0) * units / sum(pool.time for pool in pools)

    def due(self, job: Job, now: float) -> list[Server]:
        """The cold server that this attempt is due to, if any; nothing else goes to a cold one.

        A warm server like it answers U units a second, u of them through this gateway; w is its warmth. The
        chance is steady w u gap / units, for the gap since the last attempt here, saved at most. All u add up
        to U, however uneven the traffic, and a warm server can do U. So a window gets steady w U fall_time on
        average; when all gateways were silent and let go at once, steady w U (fall_time + saved), which is
        SPENT of the rule's figure: 1.5 of 2, 2.25 of 3, 3 of 4. The rest, and what U lies under a warm
        server's most, is for chance and errors of u: at 3 and n = w U fall_time, 1.8 sqrt(n) deviations.
        """
        steady = max(1.0, SPENT * self.settings.fall_multiple / 2)
        saved = self.settings.fall_time * (SPENT * self.settings.fall_multiple / steady - 1)
        gap, self.drawn_at = min(now - self.drawn_at, saved), now
        draw = self.random.random() * job.request.units
        for server in self.cold:
            draw -= steady * self.warmth(server, now) * self.rate(server.entry) * gap
            if draw < 0:
                return [] if server.entry.server in job.tried else [server]
        return []

    def allowed(self, job: Job, servers: list[Server]) -> list[Server]:
        """Those to which the class's rule lets a repeat go, and that were not set aside when it came."""
        if job.aside:
            servers = [s for s in servers if s.entry.server not in job.aside]
        field = {Group.ZONE: "zone", Group.CELL: "cell"}.get(job.kind.group)
        if job.ran and job.kind.repeat is Repeat.KEYED and field:
            return [s for s in servers if getattr(s.entry, field) == getattr(job.first, field)]
        return servers

    def pick(self, job: Job, now: float) -> Server | None:
        """A cold server that is due, else of a few warm ones drawn the least expected time."""
        if any(self.warmth(server, now) >= 1.0 for server in self.cold):
            self.sort(now)
        servers = self.allowed(job, self.due(job, now)) or self.allowed(job, self.fleet)
        servers = [s for s in servers if s.entry.server not in job.tried] or servers
        if len(servers) > SAMPLE:
            servers = self.random.sample(servers, SAMPLE)
        return min(servers, key=lambda server: self.score(server, job, now), default=None)

    def score(self, server: Server, job: Job, now: float) -> float:
        """Time expected; attempts out without any news make a server slow meanwhile."""
        pace = self.latency * server.group.pace * server.own.pace
        late = max(pace, now - server.heard_at if server.out else 0.0)
        far = FAR_COST * self.settings.cross_zone_price * (server.entry.zone != self.settings.zone)
        chance = 1 + far + TIE * self.random.random()
        errors = server.errors((job.kind.name, job.account.plan.name), now)
        return late * (1 + server.out + server.backlog(now)) * (1 + ERROR_COST * errors) * chance

    def full(self, kind: api.ClassSettings, extra: bool, now: float) -> bool:
        """Whether to refuse early: a chance, since a gateway's part may be under one attempt."""
        most = max(c.worth / self.ratios[c.name] for c in self.settings.classes)
        worth = kind.worth / self.ratios[kind.name] / most
        part = EXTRA_SHARE if extra else LEAST_WORTH + (1 - LEAST_WORTH) * worth
        bound = self.bounds(now) * part
        bound += 0.0 if extra else min(bound, 1 / (1 + bound))
        for each in self.settings.classes:
            # Without an answer for so long it is slow already; each attempt counts once.
            for job in self.unanswered(each.name, now - TARGET * each.aim):
                job.slow = True
                self.adapt(1.0, now)
        crowd = min(self.out, max(self.busy, self.out / 4))
        # Cold ones alone get what is due to them and no more: two chances would leave them nearly nothing.
        return bool(self.fleet) and self.random.random() >= bound - crowd

    def bounds(self, now: float) -> float:
        """This gateway's part of the limit on attempts out, cold servers by their warmth."""
        # By what the servers can do: when most are drained or cold at once, what all could bear jams them.
        strength = len(self.fleet) + sum(self.warmth(server, now) for server in self.cold)
        return self.limit * strength / self.holders

    def adapt(self, slow: float, now: float) -> None:
        """Bound the work out by slow answers, of overload or a slow fleet; a few heavy ones do little."""
        self.slow += (slow - self.slow) * GAIN
        rounds, self.heard_at = (now - self.heard_at) / self.latency, now
        bound = self.bounds(now)
        if self.slow > SLOW_SHARE:
            self.limit = max(self.limit * max(LIMIT_CUT**rounds, 0.5), LIMIT_LEAST)
        elif self.out >= bound * LEAST_WORTH and bound:
            gain = min(1 / bound, LIMIT_GROWTH * len(self.mine) / self.holders)
            self.limit *= 1 + gain / bound

    def judge(self, server: Server, event: api.Outcome, job: Job, now: float) -> None:
        """Learn from an outcome; a fast failure never makes a server look fast."""
        server.heard_at = now
        server.told(event.report, now)
        name = job.kind.name
        took = event.took / self.ratios[name]
        if event.code in (Code.OK, Code.TIMEOUT):
            # An attempt without any answer may be the server's fault: half a sign of overload.
            late = event.took > TARGET * job.kind.aim
            if not job.slow:
                self.adapt(late if event.code is Code.OK else 0.5, now)
            if event.code is Code.OK:
                self.latency += (took - self.latency) * SLOW_GAIN
                self.ratios[name] += (event.took / self.latency - self.ratios[name]) * SLOW_GAIN
                if self.warmth(server, now) >= 1.0:
                    server.group.answered(job.request.units, server.entry.size, PACE_DEPTH, now)
            pace = took / self.latency
            if event.code is Code.OK or pace > server.group.pace * server.own.pace:
                server.own.pace += (pace / server.group.pace - server.own.pace) * GAIN
                server.group.pace += (pace - server.group.pace) * SLOW_GAIN
        fault = event.code in FAULTS
        # Silence counts against the class on this server alone, and in overload against nobody.
        silent = event.code is Code.TIMEOUT and self.slow <= SLOW_SHARE
        named = ((name, fault or silent), (job.account.plan.name, fault))
        server.note(fault, named, now, event.code is Code.RESET)
