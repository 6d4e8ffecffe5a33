"""Servers as one gateway sees them, and the choice of one for an attempt."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from barleyhub.line.budget import Sent, dealt
from barleyhub.line.headway import Headway
from barleyhub.state import Health

GAIN = 0.2  # weight of a new answer in a server's pace
USUAL_GAIN = 0.05  # weight of a new answer in a route's usual time
ERROR_GAIN = 0.25  # weight of an outcome in a share of errors
ERROR_COST = 4.0  # a server failing always counts as this many times slower, and one
TOLD_COST = 8.0  # the same for what enough gateways have seen together
FORGET = 8.0  # s; faults fade over this time
REST = (0.4, 6.0)  # s that a server is left alone after it could not be reached: first, at most
ZONE_COST = 0.25  # times the usual time: how much slower another zone of the region counts
REGION_COST = 1.2  # and another region, for its bytes; its way comes on top
QUEUE_COST = 4.0  # how much slower a full server counts, for each time its slots are taken
LOAD_COST = 1.5  # and one that is partly taken: of its own requests a gateway sees only a part
COLD_COST = 2.5  # times slower a cold server counts
TIE = 0.15  # spread of the random factor that keeps gateways from choosing alike
HEARD = 2.0  # s; who has answered here within this time is not silent, whatever became of its beats
DOUBT = 4.0  # beats; who could not be reached counts as cold for so long
LATE = 3.0  # times the expected time without an answer: this attempt says that the server is slow


class State(IntEnum):
    """As its beats say; it only ever goes up."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True)
class Wagon:
    """One life of a server."""

    ident: str
    service: str
    host: str
    port: int
    zone: str
    region: str
    slots: int
    state: State
    cold_until: float = -math.inf
    silent: bool = False  # the control plane misses its beats
    own: Health = field(default_factory=lambda: Health(0.0))
    out: int = 0
    since: list[float] = field(default_factory=list)  # when each attempt that is out went out
    rest_until: float = -math.inf
    rests: int = 0
    doubt_until: float = -math.inf  # could not be reached: till then it is cold, as far as is known
    answered_at: float = -math.inf
    sent: Sent = field(default_factory=Sent)
    full_until: float = -math.inf


@dataclass(slots=True)
class Cold:
    """What a service's servers bear while cold; 0: they are not limited."""

    lasts: float = 0.0
    per_s: float = 0.0


class Stock:
    """All servers by service."""

    def __init__(
        self, me: str, zone: str, region: str, draw: random.Random, beat: float,
        cold_excess: float = 1.0, cold_slack: float = 0.0, far: float = 0.04,
    ) -> None:  # fmt: skip
        self.me, self.zone, self.region, self.draw, self.beat = me, zone, region, draw, beat
        self.cold_excess, self.cold_slack, self.far = cold_excess, cold_slack, far
        self.wagons: dict[str, Wagon] = {}
        self.services: dict[str, dict[str, Wagon]] = {}
        self.colds: dict[str, Cold] = {}
        self.usual: dict[str, float] = {}  # s; by route
        self.gateways: list[str] = [me]
        self.dealt: dict[
            tuple[str, float], int
        ] = {}  # by server and bound: this gateway's part of a cold one
        self.zone_gateways: dict[str, int] = {zone: 1}
        self.evacuated: frozenset[str] = frozenset()
        self.changes = 0  # of what the control plane tells
        self.headway = Headway()
        self.told: dict[str, float] = {}  # shares of failures by server, as enough gateways have seen

    # What is known.

    def put(self, wagon: Wagon, now: float) -> None:
        """A server as the control plane tells of it."""
        self.changes += 1
        known = self.wagons.get(wagon.ident)
        if known is None:
            if wagon.state is State.GONE:
                return
            wagon.own = Health(now)
            self.wagons[wagon.ident] = wagon
            self.services.setdefault(wagon.service, {})[wagon.ident] = wagon
            return
        known.state = max(known.state, wagon.state)
        known.slots = wagon.slots
        known.cold_until = wagon.cold_until
        if known.silent and not wagon.silent:
            # It speaks again: what it says of being cold holds.
            known.doubt_until = known.rest_until = -math.inf
            known.rests = 0
        known.silent = wagon.silent
        if known.state is State.GONE:
            self.drop(known.ident)

    def drop(self, ident: str) -> None:
        wagon = self.wagons.pop(ident, None)
        if wagon is not None:
            self.changes += 1
            wagon.state = State.GONE
            self.services[wagon.service].pop(ident, None)

    def evacuate(self, zones: Iterable[str], now: float) -> None:
        """The zones that get nothing from now on; one that is taken back may just have turned cold."""
        zones = frozenset(zones)
        self.changes += 1
        for wagon in self.wagons.values():
            if wagon.zone in self.evacuated - zones:
                cold = self.colds.get(wagon.service, Cold())
                wagon.cold_until = max(wagon.cold_until, now + cold.lasts + self.beat if cold.per_s else 0.0)
        self.evacuated = zones

    def live(self, gateways: dict[str, str], held: Iterable[str] = ()) -> None:
        """The live gateways, each with its zone, and those gone that may still send to cold servers."""
        self.gateways = sorted({*gateways, *held})
        self.dealt.clear()
        self.zone_gateways = {}
        for zone in gateways.values():
            self.zone_gateways[zone] = self.zone_gateways.get(zone, 0) + 1

    # The choice.

    def cold(self, wagon: Wagon, now: float) -> bool:
        silent = wagon.silent and now - wagon.answered_at > HEARD
        return now < wagon.cold_until or now < wagon.doubt_until or silent

    def allowance(self, wagon: Wagon) -> int:
        """Requests within a second that this gateway may send to it while it is cold."""
        cold = self.colds.get(wagon.service)
        if cold is None or not cold.per_s:
            return 1_000_000
        key = wagon.ident, cold.per_s * self.cold_excess + self.cold_slack
        if key not in self.dealt:
            self.dealt[key] = dealt(key[0], self.me, self.gateways, key[1])
        return self.dealt[key]

    def pick(
        self, service: str, route: str, homes: frozenset[str] | None, tried: Collection[str], now: float,
        guess: float,
    ) -> Wagon | None:  # fmt: skip
        """The server with the least expected time that may be sent to; ``homes`` None: anywhere."""
        usual = self.usual.get(route, guess)
        best, least = None, math.inf
        waits: dict[str, float] = {}  # by region: as all servers of it are looked at
        for wagon in self.services.get(service, {}).values():
            if wagon.state is not State.READY or wagon.zone in self.evacuated:
                continue
            if homes is not None and wagon.region not in homes:
                continue
            if wagon.ident in tried:
                continue
            wait = waits.get(wagon.region)
            if wait is None:
                wait = waits[wagon.region] = self.headway.wait(service, wagon.region, now)
            score = self.score(wagon, usual, now, wait)
            if score < least:
                if self.cold(wagon, now) and not wagon.sent.free(self.allowance(wagon), now):
                    continue
                best, least = wagon, score
        return best

    def score(self, wagon: Wagon, usual: float, now: float, wait: float) -> float:
        """Expected time, in s, with what the way there costs; ``wait``: at the servers of its region."""
        sharing = self.zone_gateways.get(wagon.zone, 0) if wagon.zone == self.zone else 1.5
        load = wagon.out * max(sharing, 1) / max(wagon.slots, 1)
        pace = usual * wagon.own.pace
        if wagon.since and now - wagon.since[0] > LATE * pace:
            pace = max(pace, (now - wagon.since[0]) / 2)
        time = pace * (1 + LOAD_COST * load + QUEUE_COST * max(load - 1.0, 0.0))
        if wagon.zone != self.zone:
            time += ZONE_COST * usual if wagon.region == self.region else REGION_COST * usual + self.far
        time += wait
        cost = ERROR_COST * wagon.own.share(now)
        if self.told and wagon.ident in self.told:
            cost = max(cost, TOLD_COST * self.told[wagon.ident])
        time *= 1 + cost
        if now < wagon.rest_until:
            time += 50.0
        if now < wagon.full_until:
            time += 20.0 * usual
        if self.cold(wagon, now):
            time *= COLD_COST
            if wagon.silent:
                time += 10.0
        return time * (1 + TIE * self.draw.random())

    def expected(self, service: str, route: str, now: float, guess: float) -> float:
        """The usual time of a route, in s."""
        return self.usual.get(route, guess)

    # What is learnt.

    def went(self, wagon: Wagon, now: float) -> None:
        wagon.out += 1
        wagon.since.append(now)
        wagon.sent.note(now)

    def back(self, wagon: Wagon, sent_at: float) -> None:
        wagon.out -= 1
        if sent_at in wagon.since:
            wagon.since.remove(sent_at)

    def answered(self, wagon: Wagon, route: str, took: float, now: float, guess: float) -> None:
        usual = self.usual.get(route, guess)
        self.usual[route] = usual + (took - usual) * USUAL_GAIN
        far = self.far if wagon.region != self.region else 0.0
        self.headway.answered(wagon.service, wagon.region, route, took - far, self.usual[route], now)
        wagon.own.pace += (min(took / max(usual, 0.001), 5.0) - wagon.own.pace) * GAIN
        wagon.own.note(False, ERROR_GAIN, FORGET, now)
        wagon.rests, wagon.rest_until, wagon.answered_at = 0, -math.inf, now

    def failed(self, wagon: Wagon, now: float, unreachable: bool, weight: float = 1.0) -> None:
        """It gave no answer, or a wrong one."""
        wagon.own.note(True, ERROR_GAIN * weight, FORGET, now)
        if unreachable:
            wagon.rest_until = now + min(REST[0] * 2**wagon.rests, REST[1]) * (0.8 + 0.4 * self.draw.random())
            wagon.rests += 1
            wagon.doubt_until = now + DOUBT * self.beat

    def full(self, wagon: Wagon, now: float) -> None:
        """It turned a request away."""
        wagon.full_until = now + 0.3
        wagon.own.pace = min(wagon.own.pace * 1.3, 5.0)


def homes_of(route: frozenset[str], tenant: frozenset[str]) -> frozenset[str] | None:
    """Where a request may go: both bind, and none binds where it names no region."""
    if route and tenant:
        return route & tenant
    return route or tenant or None
