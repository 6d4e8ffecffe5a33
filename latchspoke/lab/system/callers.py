"""Callers with a name of their own, who do one exchange at a time, and of whom some travel between zones.

Off unless a deployment's record has ``callers``. A travelling one comes in at another zone's gateways from
one request to the next, and in the middle of one too: it breaks the connection off and asks there again, as a
phone does that changes its net. Every try of an exchange bears the same ``X-Exchange``. What they are told is
compared with what the servers have run (``strayed``).
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from latchspoke.lab.system.clients import Client, Crowd, Errand, Line
from latchspoke.lab.system.record import Doc, Exchange, Record, Try, Wish
from latchspoke.lab.system.records import Callers, Deployment, Kind
from latchspoke.lab.virtual import Address

ASK = "/exchange/"  # where servers say what became of a try
TRIES = 12  # of one exchange at most
MOVES, LEAVES = 0.5, 0.2  # chance that a traveller goes elsewhere, between requests and in the midst of one
PATIENCE = (0.01, 0.4)  # s until it leaves in the midst
DONE, UNKNOWN = "done", "unknown"  # how an exchange ended for its caller


def affinity_of(callers: Callers) -> Doc | None:
    """What the routes ask for."""
    if callers.way == "today":
        return None
    kept: Doc = {"callerFrom": ["path:2"], "exchangeS": 0 if callers.way == "kept" else callers.exchange_s}
    if callers.way in ("travels", "strict"):
        kept["travels"] = {"lookUpS": callers.look_s, "exchangeFrom": "header:X-Exchange"}
        if callers.way == "strict":
            kept["travels"] |= {"whenLost": "refuse"} | ({"askPath": ASK} if callers.ask else {})
    return kept


@dataclass(eq=False)
class Phone(Client):
    """One caller in one zone; it stays with a gateway while that is told of and answers."""

    guide: Client | None = None  # who looks gateways up for it
    at: Address | None = None

    def located(self, then: Callable[[], None]) -> None:
        assert self.guide is not None
        guide = self.guide

        def told() -> None:
            self.addresses = guide.addresses
            then()

        guide.located(told)

    def pick(self) -> Address | None:
        now = self.now
        good = [a for a in self.addresses if now - self.failed.get(a, -1e9) > 3.0] or self.addresses
        if self.at not in good:
            self.at = self.crowd.draw.choice(good) if good else None
        return self.at


@dataclass(eq=False)
class Member:
    """A caller of one kind of request."""

    number: int
    kind: Kind
    tenant: str
    zone: str
    travels: bool
    phones: dict[str, Phone] = field(default_factory=dict)
    busy: bool = False
    serial: int = 0


class Journey(Errand):
    """One exchange of a caller's, over its tries, wherever they are made."""

    def __init__(self, crowd: Travellers, member: Member, wish: Wish, host: str, path: str, key: str) -> None:
        body = crowd.draw.randbytes(member.kind.body) if member.kind.body else b""
        super().__init__(crowd.phone(member), member.kind, wish, host, path, key, body)
        self.travellers, self.member = crowd, member
        member.serial += 1
        member.busy = True
        # Only where gateways hold the record is it safe to ask again for what may not be repeated.
        self.guarded = crowd.callers.way == "strict" and not member.kind.repeatable
        self.left = TRIES
        self.exchange = Exchange(f"{path[1:].replace('/', '-')}-{member.serial}", member.kind.repeatable)
        crowd.record.exchanges[self.exchange.ident] = self.exchange
        self.more = f"X-Exchange: {self.exchange.ident}\r\n"

    def send(self, line: Line) -> None:
        super().send(line)
        attempt, draw = self.now_on, self.travellers.draw
        if attempt is None or line.at_work is not self:
            return
        attempt.exchange = self.exchange.ident
        self.exchange.tries.append(attempt.ident)
        if self.member.travels and draw.random() < LEAVES:
            self.client.loop.world.after(draw.uniform(*PATIENCE), self.leave, attempt, line)

    def leave(self, attempt: Try, line: Line) -> None:
        """It is on the move, and its connection with it."""
        if self.now_on is attempt and line.at_work is self and not self.over:
            line.at_work = None
            line.drop()
            self.again(self.guarded or self.kind.repeatable, 0.02)

    def again(self, may: bool, pause: float) -> None:
        attempt = self.now_on
        status = attempt.status if attempt is not None else 0
        if self.guarded and status in (-1, 502, 504):
            may, pause = True, max(pause, 0.1)
        if self.member.travels and self.travellers.draw.random() < MOVES:
            self.travellers.move(self.member)
            self.client = self.travellers.phone(self.member)
        super().again(may, pause)

    def answered(self, status: int, headers: dict[bytes, bytes], body: bytes, line: Line | None) -> None:
        if status == 409:
            state = headers.get(b"x-exchange-state", b"").decode()
            name = headers.get(b"x-exchange", b"").decode()
            if state == UNKNOWN and name in self.travellers.record.exchanges:
                self.travellers.record.exchanges[name].unknown += 1
            if name == self.exchange.ident:
                self.exchange.ended = DONE if state == "run" else UNKNOWN
                status = 200 if state == "run" else 400  # the end of it, either way
                super().answered(status, headers, body, line)
                if self.now_on is not None:
                    self.now_on.status = 409
                return
        if 200 <= status < 300:
            self.exchange.ended = DONE
        super().answered(status, headers, body, line)

    def finish(self) -> None:
        self.member.busy = False
        super().finish()


class Travellers(Crowd):
    """All clients, where each request is a caller's."""

    def __init__(self, deployment: Deployment, *others: Any) -> None:
        super().__init__(deployment, *others)
        assert deployment.callers is not None
        self.callers = deployment.callers
        zones, tenants = list(deployment.zones), self.plan.shares
        self.members: dict[tuple[str, str], list[Member]] = defaultdict(list)
        draw = random.Random(f"callers:{deployment.name}")
        for kind in deployment.kinds:
            for number in range(self.callers.count):
                (tenant,) = draw.choices(list(tenants), list(tenants.values()))
                # Each zone has its part of them.
                travels = number // len(zones) * len(zones) < round(
                    self.callers.count * self.callers.travelling
                )
                member = Member(number, kind, tenant, zones[number % len(zones)], travels)
                self.members[member.zone, kind.name].append(member)

    def phone(self, member: Member) -> Phone:
        """The caller where it is now."""
        found = member.phones.get(member.zone)
        if found is None:
            those = self.clients[member.zone]
            guide = those[member.number % len(those)]
            found = member.phones[member.zone] = Phone(
                self, member.zone, guide.host, guide.loop, 1.0, False, guide=guide
            )
        return found

    def move(self, member: Member) -> None:
        member.zone = self.draw.choice([z for z in self.deployment.zones if z != member.zone])

    def wishes(self, zone: str, kind: Kind) -> None:
        draw = self.draw
        free = [member for member in self.members[zone, kind.name] if not member.busy]
        if not free:
            return
        member = draw.choice(free)
        if member.travels and draw.random() < MOVES:
            self.move(member)
        wish = Wish(kind.name, member.zone, member.tenant, self.network.world.now, kind.worth)
        self.record.wishes.append(wish)
        host, _, key = self.plan.address(draw, kind, member.tenant)
        Journey(self, member, wish, host, f"/{kind.name}/{member.number:x}", key).begin()


def strayed(record: Record) -> tuple[list[str], list[str]]:
    """Exchanges that may not be repeated: those run more often than once for each time that their caller was
    told that nobody knows, and those told as done that never ran."""
    ran: dict[str, int] = defaultdict(int)
    for arrival in record.arrivals:
        attempt = record.tries.get(arrival.ident)
        if arrival.ran and attempt is not None and attempt.exchange:
            ran[attempt.exchange] += 1
    once = [e for e in record.exchanges.values() if not e.repeatable]
    doubled = [f"{e.ident} ran {ran[e.ident]} times" for e in once if ran[e.ident] > 1 + e.unknown]
    lost = [f"{e.ident} never ran" for e in record.exchanges.values() if e.ended == DONE and not ran[e.ident]]
    return doubled, lost
