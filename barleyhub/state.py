"""What barleyhub.choice remembers: plain records, with no decision in them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import get_args

from barleyhub import interface as api

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

    @property
    def busy(self) -> bool:
        """Whether anything of this customer is out or held here."""
        return bool(self.out or self.waiting)

    def weight(self, tally: Tally, now: float) -> float:
        """What a unit adds now: later ones weigh more, so that a total is an average that fades."""
        return math.exp((now - tally.period * self.period) / self.depth)

    def tell(self, tally: Tally, now: float, most: float) -> float:
        """Put what is pending in flight and give its amount; what passes the most is told with the next."""
        weight = self.weight(tally, now)
        tally.flying = min(max(tally.pending, -most / weight), most / weight)
        tally.pending -= tally.flying
        return tally.flying * weight

    def name(self, tally: Tally) -> int:
        """The count's name in its period: a stable digest, the same at all gateways."""
        text = f"{self.customer}\n{tally.kind}\n{self.plan.name}\n{tally.period}"
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


@dataclass(slots=True, eq=False)
class Health:
    """Faults and times of servers taken together, or of one; 1.0 is the usual time."""

    at: float
    errors: float = 0.0
    pace: float = 1.0

    def note(self, bad: bool, gain: float, depth: float, now: float) -> None:
        """Take one outcome into the share of errors, which fades over depth."""
        self.errors = self.errors * kept(now - self.at, depth) * (1 - gain) + gain * bad
        self.at = now


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

    def errors(self, names: tuple[str, ...], depth: float, now: float) -> float:
        """The shares of errors of this server, those it stands with, and these names on it, faded."""
        named = [self.faults[name] for name in names if name in self.faults]
        # Most have none, and this is asked of every server for every attempt.
        known = [health for health in (self.own, self.group, *named) if health.errors]
        return sum(health.errors * kept(now - health.at, depth) for health in known)


@dataclass(slots=True, eq=False)
class Job:
    """A request in hand."""

    request: api.Request
    kind: api.ClassSettings
    account: AccountState
    arrived: float
    deadline: float
    counted: float
    attempts: int = 0
    done: bool = False
    ran: bool = False
    out: Server | None = None
    sent_at: float = -math.inf
    slow: bool = False
    first: api.ServerEntry | None = None
    first_at: float = math.inf
    tried: list[str] = field(default_factory=list)

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

    servers: dict[str, Server] = field(default_factory=dict)
    fleet: list[Server] = field(default_factory=list)
    cold: list[Server] = field(default_factory=list)
    drawn_at: float = -math.inf
    groups: dict[tuple[str, str], Pool] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    actions: list[api.Action] = field(default_factory=list)
    most_accounts: int = 16
    asking: float = 1.0
    fails: int = 0
    out: int = 0
    busy: float = 0.0
    busy_at: float = 0.0
    limit: float = 0.0
    slow: float = 0.0
    heard_at: float = 0.0
