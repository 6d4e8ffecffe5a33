"""What barleyhub.choice remembers: plain records and how they fade, with no decision in them."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Container, Iterator, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import TypedDict, get_args

from barleyhub import interface as api

DRAIN = 1.2  # times the rate at which a full room drains; the average is stricter than a store
ERROR_GAIN = 0.3  # weight of an outcome in a share of errors, a tenth of it for a group
# Connections break, and answers come spoilt, on the way from any server alike: to shun the one that was
# hit loads the others unevenly. One that has died can't be connected to, which counts in full.
RESET_GAIN = 0.03  # weight of a reset
ERROR_LEAST = 0.002  # a share of errors below this is none
SHARE_STEP = 0.2  # s; a faded share of errors holds for so long
FORGET = 20.0  # s; faults fade over this time, so that who failed is tried again
REPORT_DEPTH = 0.5  # s; what a load report says fades over this time
OVERDUE_MOST = 64  # calls timed out of which a total is still hoped for
# s; depth of the mean of attempts out: some usual answers. In a surge a longer one lets in the more.
BUSY_DEPTH = 0.7
FRESH = 2.0  # depths; totals are averaged over this to know a customer's habit
CAP_START = 1 / 3  # of a gateway's part of a ceiling at first; the rest is the most it holds


class Learnt(TypedDict):
    """What one process of a gateway tells the one that takes over."""

    limit: float
    latency: float
    slow: float
    busy: float
    ratios: dict[str, float]
    servers: dict[str, list[float]]  # start (Unix s), pace, share of errors
    pools: list[tuple[str, list[float]]]  # zone and kind; pace, share of errors, units, sizes, time


# The method that takes each kind of event.
HANDLERS = {kind.__name__: f"on_{kind.__name__.lower()}" for kind in get_args(api.Event)}


def kept(gap: float, depth: float) -> float:
    """The weight left of what was known a gap ago, in an average over depth."""
    return math.exp(-max(gap, 0.0) / depth)


@dataclass(slots=True, eq=False)
class Tally:
    """One shared count of a customer; amounts fade with the customer's depth."""

    kind: str
    level: float = 0.0
    mean: float = 0.0
    pending: float = 0.0
    flying: float | None = None
    period: int = -1
    read_at: float = -math.inf
    asked_at: float = -math.inf
    base: float = 0.0  # used before the period or the figures of now, whose totals don't hold it
    base_at: float = -math.inf


@dataclass(slots=True, eq=False)
class AccountState:
    """One customer: its counts, its ceiling, what is out here, who waits for a total."""

    customer: str
    plan: api.PlanSettings
    spread: int
    at: float
    depth: float
    room: float
    period: float
    alone: float = 0.0
    alone_most: float = 0.0
    ceiling: float = 0.0
    admitted: Tally = field(default_factory=lambda: Tally("admitted"))
    turned: Tally = field(default_factory=lambda: Tally("turned"))
    out: int = 0
    waiting: list[Job] = field(default_factory=list)
    mark: str = ""  # of the counts' names, under figures that came later than the settings

    @property
    def busy(self) -> bool:
        """Whether anything of this customer is out or held here."""
        return bool(self.out or self.waiting)

    def fill(self, largest: float) -> None:
        """This gateway's own parts at the start."""
        # A part is at least one request, or a calm customer of a wide set would be refused.
        self.alone = self.alone_most = max(self.plan.burst / self.spread, largest)
        self.ceiling = max(self.plan.ceiling_burst - self.room, 0.0) / self.spread * CAP_START

    def advance(self, now: float) -> None:
        """Fade what is not told yet to now, and let this gateway's own parts refill."""
        gap, self.at, plan = max(now - self.at, 0.0), now, self.plan
        left = kept(gap, self.depth)
        self.admitted.pending, self.turned.pending = self.admitted.pending * left, self.turned.pending * left
        self.alone = min(self.alone + plan.rate / self.spread * gap, self.alone_most)
        # The quota's own units may be spent elsewhere on a total: only what is over them is split.
        rate = max(plan.ceiling_rate - DRAIN * plan.rate, 0.0) / self.spread
        most = max(plan.ceiling_burst - self.room, 0.0) / self.spread
        self.ceiling = min(self.ceiling + rate * gap, most * (1 - CAP_START))

    def carry(self, old: AccountState) -> None:
        """Take over from the account under other figures: what was used counts on, nothing is given anew."""
        for tally, before in ((self.admitted, old.admitted), (self.turned, old.turned)):
            # A longer depth remembers more of the same use than the old level could.
            used = old.expected(before) - before.pending
            used *= max(self.depth / old.depth, 1.0)
            tally.pending = before.pending + (before.flying or 0.0)
            self.suppose(tally, max(used, tally.base), old.at)
        self.alone = min(old.alone, self.alone_most)
        self.ceiling = min(old.ceiling, max(self.plan.ceiling_burst - self.room, 0.0) / self.spread)

    @staticmethod
    def suppose(tally: Tally, used: float, now: float) -> None:
        """So much was used that no total will tell of; it fades like any."""
        tally.level = tally.mean = tally.base = used
        tally.read_at = tally.base_at = now

    def expected(self, tally: Tally) -> float:
        """The total now: the last one fades, while the others are taken to go on as usual."""
        fresh = kept(self.at - tally.read_at, self.depth)
        return tally.mean + (tally.level - tally.mean) * fresh + tally.pending

    def weight(self, tally: Tally, now: float) -> float:
        """What a unit adds now: later ones weigh more, so that a total is an average that fades."""
        return math.exp((now - tally.period * self.period) / self.depth)

    def tell(self, tally: Tally, now: float, most: float) -> float:
        """Put what is pending in flight and give its amount; what passes the most is told with the next."""
        weight = self.weight(tally, now)
        tally.flying = min(max(tally.pending, -most / weight), most / weight)
        tally.pending -= tally.flying
        return tally.flying * weight

    def learn(self, tally: Tally, total: float, now: float) -> None:
        """Take in a total; a name's first one in a period adds to what is left of the last."""
        gap, fresh = now - tally.read_at, tally.read_at < tally.period * self.period
        if fresh:
            # Also later totals of this period hold nothing of what was used before it.
            tally.base, tally.base_at = tally.level * kept(gap, self.depth), now
        elif tally is self.turned:
            # Refusals only narrow the gate: those of long ago, counted on, would shut out what fits.
            tally.base = 0.0
        before = tally.base * kept(now - tally.base_at, self.depth) if tally.base else 0.0
        level = before + total / self.weight(tally, now)
        tally.mean += (level - tally.mean) * (1 - kept(gap, FRESH * self.depth))
        tally.level, tally.read_at = level, now

    def name(self, tally: Tally) -> int:
        """The count's name in its period: a stable digest, the same at all gateways."""
        text = f"{self.customer}\n{tally.kind}\n{self.plan.name}\n{tally.period}{self.mark}"
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


@dataclass(slots=True, eq=False)
class Health:
    """Faults and times of servers taken together, or of one; 1.0 is the usual time."""

    at: float
    errors: float = 0.0
    pace: float = 1.0
    faded: float = 0.0
    faded_at: float = -math.inf

    def share(self, now: float) -> float:
        """The share of errors, faded; worked out anew only now and then, as it fades over seconds."""
        if not self.errors:
            return 0.0
        if now - self.faded_at > SHARE_STEP:
            self.faded, self.faded_at = self.errors * kept(now - self.at, FORGET), now
        return self.faded

    def settle(self, pace: float, errors: float, now: float) -> None:
        """Begin with what somebody else has learnt."""
        self.pace, self.errors, self.at, self.faded_at = pace, errors, now, -math.inf

    def note(self, bad: bool, gain: float, depth: float, now: float) -> None:
        """Take one outcome into the share of errors, which fades over depth."""
        self.errors = self.errors * kept(now - self.at, depth) * (1 - gain) + gain * bad
        self.errors = self.errors if self.errors > ERROR_LEAST else 0.0
        self.at, self.faded_at = now, -math.inf


@dataclass(slots=True, eq=False)
class Pool(Health):
    """Servers of one zone and kind: also the units answered by warm ones, and their time."""

    warm: int = 0
    counted_at: float = 0.0
    units: float = 1.0
    sizes: float = 1.0
    time: float = 1.0

    @classmethod
    def supposed(cls, units: float, time: float, now: float) -> Pool:
        """So many units in place of experience, where one is supposed to take a warm server this time."""
        return cls(now, units=units, sizes=units, time=units * time)

    def recount(self, depth: float, now: float) -> None:
        """Bring the time up to now; the warm ones are to be counted anew."""
        self.answered(0.0, 0.0, depth, now)
        self.warm = 0

    def answered(self, units: float, size: float, depth: float, now: float) -> None:
        """Add units answered by a warm server of this size; without warm ones all stands still."""
        if self.warm:
            left = kept(now - self.counted_at, depth)
            self.units = self.units * left + units
            self.sizes = self.sizes * left + units * size
            self.time = self.time * left + self.warm * depth * (1 - left)
        self.counted_at = now

    def rate(self, size: float) -> float:
        """Units a second that a warm server answered: one of this size, if it is smaller than they."""
        return min(size * self.units / self.sizes, 1.0) * self.units / self.time


@dataclass(slots=True, eq=False)
class Server:
    """One server, judged from this gateway's own traffic and from those it stands with."""

    entry: api.ServerEntry
    own: Health
    group: Pool
    heard_at: float
    out: int = 0
    faults: dict[str, Health] = field(default_factory=dict)
    report: dict[str, float] = field(default_factory=dict)
    reported_at: float = -math.inf

    def told(self, report: dict[str, float], now: float) -> None:
        """Take a load report. Servers repeat one until the next is due: its age counts from the first."""
        if report and report != self.report:
            self.report, self.reported_at = report, now

    def backlog(self, now: float) -> float:
        """Requests that wait there, of all gateways, as far as the last report still says."""
        waiting = self.report.get("backlog", 0.0)
        return waiting * kept(now - self.reported_at, REPORT_DEPTH) if waiting else 0.0

    def note(self, fault: bool, named: tuple[tuple[str, bool], ...], now: float, reset: bool = False) -> None:
        """Take an outcome into the shares of errors; a name counts once it has been at fault here."""
        gain = RESET_GAIN if reset else ERROR_GAIN
        self.own.note(fault, gain, FORGET, now)
        self.group.note(fault, gain / 10, FORGET, now)
        for name, bad in named:
            if bad or name in self.faults:
                self.faults.setdefault(name, Health(now)).note(bad, gain, FORGET, now)

    def errors(self, names: tuple[str, ...], now: float) -> float:
        """The shares of errors of this server, those it stands with, and these names on it, faded."""
        # Asked of every server for every attempt, and most have none by name.
        total = self.own.share(now) + self.group.share(now)
        for name in names if self.faults else ():
            if name in self.faults:
                total += self.faults[name].share(now)
        return total


@dataclass(slots=True, eq=False)
class Job:
    """A request in hand."""

    request: api.Request
    kind: api.ClassSettings
    account: AccountState
    arrived: float
    deadline: float
    counted: float
    tries: int  # attempts allowed when it came
    attempts: int = 0
    done: bool = False
    ran: bool = False
    out: Server | None = None
    sent_at: float = -math.inf
    slow: bool = False
    first: api.ServerEntry | None = None
    first_at: float = math.inf
    tried: list[str] = field(default_factory=list)
    aside: Container[str] = ()  # servers that it may not go to

    def send(self, server: Server, now: float) -> None:
        """An attempt goes out."""
        if not self.ran:
            self.first, self.first_at = server.entry, now
        self.attempts += 1
        self.out, self.sent_at, self.slow = server, now, False
        self.tried.append(server.entry.server)
        self.account.out += 1
        server.heard_at = server.heard_at if server.out else now
        server.out += 1

    def back(self, server: Server) -> Server:
        """The attempt out at this server is over."""
        self.out = None
        server.out -= 1
        self.account.out = max(self.account.out - 1, 0)
        return server


@dataclass(slots=True, eq=False)
class GatewayState:
    """What a gateway remembers beside its customers."""

    settings: api.Settings = field(init=False)
    classes: dict[str, api.ClassSettings] = field(init=False)
    aim: float = 0.0  # s; the mean of the classes
    plans: dict[str, api.PlanSettings] = field(default_factory=dict)
    switched: dict[str, float] = field(default_factory=dict)  # when a plan's figures changed last
    blocked: Container[str] = ()  # customers, by rules with versions
    aside: Container[str] = ()  # servers, by rules with versions
    banned: Container[str] = ()  # servers, by hand
    returned: Mapping[str, tuple[float, float]] = field(default_factory=dict)  # servers, by hand: out, back
    random: Random = field(init=False)
    counts: Counter[str] = field(init=False)
    fitting: dict[tuple[str, bool], float] = field(default_factory=dict)
    silent: bool = False  # the counter
    mine: list[Server] = field(default_factory=list)  # this gateway's arc
    holders: float = 1.0  # gateways that send to one server
    servers: dict[str, Server] = field(default_factory=dict)
    fleet: list[Server] = field(default_factory=list)
    cold: list[Server] = field(default_factory=list)
    drawn_at: float = -math.inf
    groups: dict[tuple[str, str], Pool] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    actions: list[api.Action] = field(default_factory=list)
    asking: float = 1.0
    fails: int = 0
    out: int = 0
    busy: float = 0.0
    busy_at: float = 0.0
    limit: float = 0.0  # attempts out a warm server, by all gateways
    latency: float = 0.0  # the usual time of an answer, and the classes' parts of it
    ratios: dict[str, float] = field(default_factory=dict)
    slow: float = 0.0
    heard_at: float = 0.0
    sent: defaultdict[str, deque[tuple[Job, float]]] = field(default_factory=lambda: defaultdict(deque))
    overdue: dict[int, tuple[AccountState, Tally]] = field(default_factory=dict)

    def learnt(self, now: float) -> Learnt:
        """What another process of this gateway would else have to learn by itself."""
        return {
            "limit": self.limit,
            "latency": self.latency,
            "slow": self.slow,
            "busy": self.busy,
            "ratios": dict(self.ratios),
            "servers": {
                name: [server.entry.launched, server.own.pace, server.own.share(now)]
                for name, server in self.servers.items()
            },
            "pools": [
                ("\n".join(stand), [pool.pace, pool.share(now), pool.units, pool.sizes, pool.time])
                for stand, pool in self.groups.items()
            ],
        }

    def recall(self, learnt: Learnt, now: float) -> None:
        """Go on from what the other process has learnt, as far as the servers are the same."""
        self.limit, self.latency, self.slow = learnt["limit"], learnt["latency"], learnt["slow"]
        # What is out at the other one does not count here, but neither is the gateway idle.
        self.busy, self.busy_at = learnt["busy"], now
        self.ratios |= learnt["ratios"]
        for name, (launched, pace, errors) in learnt["servers"].items():
            server = self.servers.get(name)
            if server is not None and server.entry.launched == launched:
                server.own.settle(pace, errors, now)
        for stand, (pace, errors, units, sizes, time) in learnt["pools"]:
            zone, _, kind = stand.partition("\n")
            if pool := self.groups.get((zone, kind)):
                pool.settle(pace, errors, now)
                pool.units, pool.sizes, pool.time, pool.counted_at = units, sizes, time, now

    def hope(self, name: int, account: AccountState, tally: Tally) -> None:
        """A call timed out whose total may still come."""
        self.overdue[name] = (account, tally)
        if len(self.overdue) > OVERDUE_MOST:
            del self.overdue[next(iter(self.overdue))]

    def occupy(self, change: int, now: float) -> None:
        """Count the attempts out, and their mean lately: at full size one is out or none."""
        fade = kept(now - self.busy_at, BUSY_DEPTH)
        self.busy, self.busy_at = self.busy * fade + self.out * (1 - fade), now
        self.out += change

    def unanswered(self, kind: str, since: float) -> Iterator[Job]:
        """The jobs whose attempt went out before then and is still out; each attempt is looked at once."""
        sent = self.sent[kind]
        while sent and sent[0][1] < since:
            job, at = sent.popleft()
            if job.out is not None and job.sent_at == at:
                yield job
