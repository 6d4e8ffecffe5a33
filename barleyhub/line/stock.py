"""Servers as one gateway sees them, and the choice of one for an attempt."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable
from enum import IntEnum

import msgspec

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


class Upstream(msgspec.Struct):
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
    own: Health = msgspec.field(default_factory=lambda: Health(0.0))
    out: int = 0
    since: list[float] = msgspec.field(default_factory=list)  # when each attempt that is out went out
    rest_until: float = -math.inf
    rests: int = 0
    doubt_until: float = -math.inf  # could not be reached: till then it is cold, as far as is known
    answered_at: float = -math.inf
    sent: Sent = msgspec.field(default_factory=Sent)
    full_until: float = -math.inf


class Cold(msgspec.Struct):
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
        self.upstreams: dict[str, Upstream] = {}
        self.services: dict[str, dict[str, Upstream]] = {}
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

    def put(self, upstream: Upstream, now: float) -> None:
        """A server as the control plane tells of it."""
        self.changes += 1
        known = self.upstreams.get(upstream.ident)
        if known is None:
            if upstream.state is State.GONE:
                return
            upstream.own = Health(now)
            self.upstreams[upstream.ident] = upstream
            self.services.setdefault(upstream.service, {})[upstream.ident] = upstream
            return
        known.state = max(known.state, upstream.state)
        known.slots = upstream.slots
        known.cold_until = upstream.cold_until
        if known.silent and not upstream.silent:
            # It speaks again: what it says of being cold holds.
            known.doubt_until = known.rest_until = -math.inf
            known.rests = 0
        known.silent = upstream.silent
        if known.state is State.GONE:
            self.drop(known.ident)

    def drop(self, ident: str) -> None:
        upstream = self.upstreams.pop(ident, None)
        if upstream is not None:
            self.changes += 1
            upstream.state = State.GONE
            self.services[upstream.service].pop(ident, None)

    def evacuate(self, zones: Iterable[str], now: float) -> None:
        """The zones that get nothing from now on; one that is taken back may just have turned cold."""
        zones = frozenset(zones)
        self.changes += 1
        for upstream in self.upstreams.values():
            if upstream.zone in self.evacuated - zones:
                cold = self.colds.get(upstream.service, Cold())
                upstream.cold_until = max(
                    upstream.cold_until, now + cold.lasts + self.beat if cold.per_s else 0.0
                )
        self.evacuated = zones

    def live(self, gateways: dict[str, str], held: Iterable[str] = ()) -> None:
        """The live gateways, each with its zone, and those gone that may still send to cold servers."""
        self.gateways = sorted({*gateways, *held})
        self.dealt.clear()
        self.zone_gateways = {}
        for zone in gateways.values():
            self.zone_gateways[zone] = self.zone_gateways.get(zone, 0) + 1

    # The choice.

    def cold(self, upstream: Upstream, now: float) -> bool:
        silent = upstream.silent and now - upstream.answered_at > HEARD
        return now < upstream.cold_until or now < upstream.doubt_until or silent

    def allowance(self, upstream: Upstream) -> int:
        """Requests within a second that this gateway may send to it while it is cold."""
        cold = self.colds.get(upstream.service)
        if cold is None or not cold.per_s:
            return 1_000_000
        key = upstream.ident, cold.per_s * self.cold_excess + self.cold_slack
        if key not in self.dealt:
            self.dealt[key] = dealt(key[0], self.me, self.gateways, key[1])
        return self.dealt[key]

    def pick(
        self, service: str, route: str, homes: frozenset[str] | None, tried: Collection[str], now: float,
        guess: float,
    ) -> Upstream | None:  # fmt: skip
        """The server with the least expected time that may be sent to; ``homes`` None: anywhere."""
        usual = self.usual.get(route, guess)
        best, least = None, math.inf
        waits: dict[str, float] = {}  # by region: as all servers of it are looked at
        for upstream in self.services.get(service, {}).values():
            if upstream.state is not State.READY or upstream.zone in self.evacuated:
                continue
            if homes is not None and upstream.region not in homes:
                continue
            if upstream.ident in tried:
                continue
            wait = waits.get(upstream.region)
            if wait is None:
                wait = waits[upstream.region] = self.headway.wait(service, upstream.region, now)
            score = self.score(upstream, usual, now, wait)
            if score < least:
                if self.cold(upstream, now) and not upstream.sent.free(self.allowance(upstream), now):
                    continue
                best, least = upstream, score
        return best

    def score(self, upstream: Upstream, usual: float, now: float, wait: float) -> float:
        """Expected time, in s, with what the way there costs; ``wait``: at the servers of its region."""
        sharing = self.zone_gateways.get(upstream.zone, 0) if upstream.zone == self.zone else 1.5
        load = upstream.out * max(sharing, 1) / max(upstream.slots, 1)
        pace = usual * upstream.own.slowdown
        if upstream.since and now - upstream.since[0] > LATE * pace:
            pace = max(pace, (now - upstream.since[0]) / 2)
        time = pace * (1 + LOAD_COST * load + QUEUE_COST * max(load - 1.0, 0.0))
        if upstream.zone != self.zone:
            time += ZONE_COST * usual if upstream.region == self.region else REGION_COST * usual + self.far
        time += wait
        cost = ERROR_COST * upstream.own.current_error_rate(now)
        if self.told and upstream.ident in self.told:
            cost = max(cost, TOLD_COST * self.told[upstream.ident])
        time *= 1 + cost
        if now < upstream.rest_until:
            time += 50.0
        if now < upstream.full_until:
            time += 20.0 * usual
        if self.cold(upstream, now):
            time *= COLD_COST
            if upstream.silent:
                time += 10.0
        return time * (1 + TIE * self.draw.random())

    def expected(self, service: str, route: str, now: float, guess: float) -> float:
        """The usual time of a route, in s."""
        return self.usual.get(route, guess)

    # What is learnt.

    def went(self, upstream: Upstream, now: float) -> None:
        upstream.out += 1
        upstream.since.append(now)
        upstream.sent.note(now)

    def back(self, upstream: Upstream, sent_at: float) -> None:
        upstream.out -= 1
        if sent_at in upstream.since:
            upstream.since.remove(sent_at)

    def answered(self, upstream: Upstream, route: str, took: float, now: float, guess: float) -> None:
        usual = self.usual.get(route, guess)
        self.usual[route] = usual + (took - usual) * USUAL_GAIN
        far = self.far if upstream.region != self.region else 0.0
        self.headway.answered(upstream.service, upstream.region, route, took - far, self.usual[route], now)
        upstream.own.slowdown += (min(took / max(usual, 0.001), 5.0) - upstream.own.slowdown) * GAIN
        upstream.own.record_outcome(False, ERROR_GAIN, FORGET, now)
        upstream.rests, upstream.rest_until, upstream.answered_at = 0, -math.inf, now

    def failed(self, upstream: Upstream, now: float, unreachable: bool, weight: float = 1.0) -> None:
        """It gave no answer, or a wrong one."""
        upstream.own.record_outcome(True, ERROR_GAIN * weight, FORGET, now)
        if unreachable:
            upstream.rest_until = now + min(REST[0] * 2**upstream.rests, REST[1]) * (
                0.8 + 0.4 * self.draw.random()
            )
            upstream.rests += 1
            upstream.doubt_until = now + DOUBT * self.beat

    def full(self, upstream: Upstream, now: float) -> None:
        """It turned a request away."""
        upstream.full_until = now + 0.3
        upstream.own.slowdown = min(upstream.own.slowdown * 1.3, 5.0)


def homes_of(route: frozenset[str], tenant: frozenset[str]) -> frozenset[str] | None:
    """Where a request may go: both bind, and none binds where it names no region."""
    if route and tenant:
        return route & tenant
    return route or tenant or None
