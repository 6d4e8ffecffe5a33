"""Admission by quotas that all gateways hold together: gate formula, chance draw, batched totals.

After Wu and Wong's closed-form local rule: the gate is the room over the units offered by all gateways,
clamped to 0..1. ``Account`` is a gateway's side of one tenant, ``Tally`` the side that hosts its totals.
Times are monotonic seconds.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

PERIOD = 0.5  # s; the gate's period: what it lets pass is spread over this
DEPTH = 1.0  # s; offered and admitted units a second are averaged over this
FRESH = 2.5  # s; a total older than this says nothing any more, and a gateway keeps to its own part
HURRY = 0.04  # s between reports while a request waits for a total
REPORT_CALM = 2.0  # s between reports where all is far from the quota; less than FRESH
REPORT_TIGHT = 0.5  # s between reports near the quota
REPORT_BUSY = 0.1  # s between reports where much was admitted or refused since
NEAR = 0.8  # of the rate: who offers more may soon be over it
REPORT_PART = 0.5  # of a gateway's part of the room: so much untold is much
FEW = 4.0  # units a second
START = 0.5  # of the burst is a host's first room where no gateway knows one: it may just have been used
KEPT = 60.0  # s; who was idle for longer is forgotten
SAFE = 1.0  # of the quota is given out
# Of a tally that is handed on: rate, burst, room, offered, admitted, and by gateway what it told.
Image = list[Any]


class Totals(msgspec.Struct):
    """What is known of one tenant over all gateways, as of one moment."""

    room: float
    offered: float  # units a second
    admitted: float  # units a second
    at: float
    here: float = 0.0  # units a second offered at this gateway then

    def offered_now(self, here: float) -> float:
        """What all are offered, if it has grown everywhere as it has here; few units here prove little."""
        return max(self.offered * max((here + FEW) / (self.here + FEW), 1.0), here)


class Account(msgspec.Struct):
    """A gateway's side: its own counts, and its estimate of the tenant's remaining room."""

    tenant: str
    rate: float  # units a second
    burst: float  # units
    spread: int  # gateways that the tenant can come through
    at: float
    totals: Totals | None = None
    own: float = 0.0  # this gateway's own part of the room, while no total is at hand
    offered: float = 0.0  # cumulative, over this account's life
    admitted: float = 0.0
    told_offered: float = 0.0  # of these: what the newest total holds
    told_admitted: float = 0.0
    rate_offered: float = 0.0  # units a second, here
    rate_admitted: float = 0.0  # units a second, here
    rate_at: float = 0.0
    ranks: dict[int, float] = msgspec.field(
        default_factory=dict
    )  # units a second, here, by rank; 0 goes first
    asked_at: float = -math.inf
    used_at: float = 0.0
    hurry: bool = False  # somebody waits for a total

    def __post_init__(self) -> None:
        # A new tenant starts with its burst split over the gateways that it can come through.
        self.own = self.burst / max(self.spread, 1)
        self.rate_at = self.used_at = self.at

    def change(self, rate: float, burst: float, spread: int, now: float) -> None:
        """Other figures from now on; nothing is given anew."""
        self.advance(now)
        self.rate, self.burst, self.spread = rate, burst, max(spread, 1)
        self.own = min(self.own, burst / self.spread)
        if self.totals is not None:
            self.totals.room = min(self.totals.room, burst)

    def advance(self, now: float) -> None:
        """Let this gateway's own part refill to now."""
        gap, self.at = max(now - self.at, 0.0), now
        part = SAFE / max(self.spread, 1)
        self.own = min(self.own + self.rate * part * gap, self.burst * part)

    def fresh(self, now: float) -> bool:
        """Whether a total is at hand that still says something."""
        return self.totals is not None and now - self.totals.at < FRESH

    def room(self, now: float) -> float:
        """What is left, by the newest total less what was admitted here since; else of the own part."""
        totals = self.totals
        if totals is None or now - totals.at >= FRESH:
            return self.own
        gap, here = now - totals.at, self.here(now)
        untold = self.admitted - self.told_admitted
        steady = min(max(totals.admitted - self.rate_admitted, 0.0), self.rate) * gap
        alike = 0.0
        offered = totals.offered_now(here)
        if 0.0 < here < offered:
            # Of what is offered to the others as much passes as here: they go by the same total.
            alike = min(untold * (offered / here - 1), (offered - here) * gap)
        gained = min(totals.room + self.rate * SAFE * gap - steady, self.burst)
        return gained - untold - max(alike - steady, 0.0)

    def gate(self, now: float, rank: int | None = None) -> float:
        """Room over the units offered by all gateways in a period, clamped to 0..1.

        Of a rank: the room less what those before it are offered, over its own, as offers are mixed here.
        """
        here = self.here(now)
        if self.fresh(now):
            assert self.totals is not None
            offered, rate = self.totals.offered_now(here), self.rate * SAFE
        else:
            offered, rate = here, self.rate * SAFE / max(self.spread, 1)
        room = max(self.room(now), 0.0) + rate * PERIOD
        gate = min(room / max(offered * PERIOD, 1.0), 1.0)
        if gate == 1.0 or rank is None or not self.ranks.get(rank):
            return gate
        own = self.ranks[rank]
        before = sum(units for other, units in self.ranks.items() if other < rank)
        return min(max((gate * sum(self.ranks.values()) - before) / own, 0.0), 1.0)

    def here(self, now: float) -> float:
        """Units a second offered here lately."""
        return self.rate_offered * math.exp(-max(now - self.rate_at, 0.0) / DEPTH)

    def offer(self, units: float, now: float, rank: int = 0) -> None:
        """A request has come: it counts as offered whatever becomes of it."""
        self.advance(now)
        faded = math.exp(-max(now - self.rate_at, 0.0) / DEPTH)
        self.rate_offered = self.rate_offered * faded + units / DEPTH
        self.ranks = {other: rate * faded for other, rate in self.ranks.items()}
        self.ranks[rank] = self.ranks.get(rank, 0.0) + units / DEPTH
        self.rate_admitted *= faded
        self.rate_at = self.used_at = now
        self.offered += units

    def fits(self, units: float, now: float) -> bool:
        """Whether the admitted total and the own count since do not pass the room."""
        return self.room(now) >= units

    def admit(self, units: float) -> None:
        """It goes on."""
        self.admitted += units
        self.own = max(self.own - units, -1.0)
        self.rate_admitted += units / DEPTH

    def hold(self, units: float) -> None:
        """It waits for a total: it is told as admitted, so that the total tells whether it fits."""
        self.admitted += units

    def release(self, units: float) -> None:
        """It waits no more, and counts for nothing before it is decided; a refusal is told as taken back."""
        self.admitted -= units

    def pause(self, units: float, now: float) -> float:
        """When a refused one should fit, in s."""
        rate = self.rate if self.fresh(now) else self.rate / max(self.spread, 1)
        return min(max((units - self.room(now)) / rate if rate else 1.0, 0.05), 5.0)

    def known(self, units: float, now: float) -> bool:
        """Whether what is at hand is enough to decide on so many units: a total, or the own part."""
        return self.own >= units or self.fresh(now)

    def due(self, now: float) -> bool:
        """Whether a report should go out now."""
        if self.hurry:
            return now - self.asked_at >= HURRY
        untold = abs(self.admitted - self.told_admitted) + (self.offered - self.told_offered) / 4
        # Even if all gateways keep so much back at once, it is less than the room.
        much = untold > max(REPORT_PART * self.room(now) / max(self.spread, 1), 1.0)
        totals = self.totals
        tight = totals is not None and (totals.room < self.burst / 2 or totals.offered > NEAR * self.rate)
        pause = REPORT_BUSY if much else REPORT_TIGHT if tight else REPORT_CALM
        news = untold > 0 or (tight and self.fresh(now) and now - self.used_at < 2 * FRESH)
        return news and now - self.asked_at >= pause

    def report(self, now: float) -> dict[str, float]:
        """Cumulative counts, so that one told twice counts once; and what is known here of the room."""
        self.asked_at = now
        known = {"o": self.offered, "a": self.admitted, "r": self.rate, "b": self.burst}
        if self.totals is not None and now - self.totals.at < KEPT:
            # A host that is new to the tenant goes on from here.
            known |= {"k": round(self.room(now), 2), "ko": round(self.totals.offered, 2)}
        return known

    def learn(
        self, room: float, offered: float, admitted: float, counts: tuple[float, float], now: float
    ) -> None:
        """A total that holds this account's counts up to ``counts``; ``now``: when it was asked for."""
        if self.totals is not None and now < self.totals.at:
            return  # an answer overtaken by a later one
        self.totals, self.hurry = Totals(room, offered, admitted, now, self.here(now)), False
        self.told_offered, self.told_admitted = counts
        # If the totals stop, the own part goes on from a fair share of what was left.
        self.own = min(self.own, max(room, 0.0) / max(self.spread, 1) + 1.0)


class Told(msgspec.Struct):
    """What one gateway has told of a tenant."""

    life: str
    offered: float
    admitted: float
    at: float


class Tally(msgspec.Struct):
    """The hosted totals of one tenant: a bucket over the admitted units of all gateways."""

    rate: float
    burst: float
    at: float
    room: float
    offered: float = 0.0
    admitted: float = 0.0
    told: dict[str, Told] = msgspec.field(default_factory=dict)
    since: float = 0.0
    inherited: bool = False  # goes on from what the host before it knew, who gives nothing any more

    def advance(self, now: float, part: float) -> None:
        """``part``: of all gateways, what those are that may be told by this host."""
        gap, self.at = max(now - self.at, 0.0), max(now, self.at)
        faded = math.exp(-gap / DEPTH)
        self.offered *= faded
        self.admitted *= faded
        self.room = min(self.room + self.rate * SAFE * part * gap, self.burst)


class Host:
    """All tenants whose totals are hosted here. Which ones these are is the caller's to decide."""

    def __init__(self) -> None:
        self.tallies: dict[str, Tally] = {}
        self.heirs: dict[str, Tally] = {}  # handed on to here, and not asked for yet
        self.part = 1.0  # the rest may be cut off, and have a host of their own
        # This process has just begun, and others have not: until they tell, what they use is not known here.
        self.cautious = False
        self.gateways = 1

    def report(
        self, gateway: str, life: str, tenant: str, counts: dict[str, float], now: float
    ) -> tuple[float, float, float]:
        """Take one gateway's cumulative counts in; room, offered and admitted a second come back."""
        rate, burst = counts["r"], counts["b"]
        tally, known = self.tallies.get(tenant), counts.get("k", 0.0 if self.cautious else burst * START)
        if tally is None and (heir := self.heirs.pop(tenant, None)) is not None and now - heir.at < FRESH:
            tally = self.tallies[tenant] = heir
        if known > 0:
            known *= self.part
        if tally is None:
            tally = self.tallies[tenant] = Tally(rate, burst, now, min(known, burst), since=now)
            tally.offered = counts.get("ko", 0.0)
        # The others may still go by another host, which gives the rate too.
        careful = self.cautious and not tally.inherited
        heard = min(len(tally.told) / self.gateways, 1.0) if careful else 1.0
        tally.advance(now, min(self.part, heard))
        if (tally.rate, tally.burst) != (rate, burst):
            # Gateways learn of other figures one by one: meanwhile the lower ones hold.
            tally.rate, tally.burst = rate, burst
            tally.room = min(tally.room, burst)
        told = tally.told.get(gateway)
        if told is None or told.life != life:
            # What it counted before it told us here was counted by another host, or is in what it knows.
            if told is None and "k" in counts and now - tally.since < FRESH:
                tally.room = min(tally.room, known)
            elif "k" not in counts:
                tally.room -= counts["a"]
                tally.offered += counts["o"] / DEPTH
            tally.told[gateway] = Told(life, counts["o"], counts["a"], now)
        else:
            # Less than before is admitted where a request that waited was refused.
            admitted, offered = counts["a"] - told.admitted, max(counts["o"] - told.offered, 0.0)
            tally.room -= admitted
            tally.admitted = max(tally.admitted + admitted / DEPTH, 0.0)
            tally.offered += offered / DEPTH
            told.admitted, told.offered, told.at = (
                counts["a"],
                max(counts["o"], told.offered),
                now,
            )
        return round(tally.room, 2), round(tally.offered, 2), round(tally.admitted, 2)

    def forget(self, now: float) -> None:
        """Drop what nobody has told of for long, and what isn't hosted here any more."""
        for tenant in [t for t, tally in self.tallies.items() if now - tally.at > KEPT]:
            del self.tallies[tenant]
        self.heirs = {tenant: heir for tenant, heir in self.heirs.items() if now - heir.at < FRESH}

    def hand_on(self, tenant: str, now: float) -> Image | None:
        """Another gateway hosts it now, and gets this; what is known here must not be gone on with later."""
        tally = self.tallies.pop(tenant, None)
        if tally is None or all(now - told.at > FRESH for told in tally.told.values()):
            return None
        tally.advance(now, self.part)
        told = {name: [each.life, each.offered, each.admitted] for name, each in tally.told.items()}
        figures = [round(x, 2) for x in (tally.room, tally.offered, tally.admitted)]
        return [tally.rate, tally.burst, *figures, told]

    def inherit(self, tenant: str, image: Image, now: float) -> None:
        """What the host before knew. One that has begun here meanwhile keeps its own room, which is less."""
        rate, burst, room, offered, admitted, told = image
        counted = {name: Told(life, o, a, now) for name, (life, o, a) in told.items()}
        begun = self.tallies.get(tenant)
        if begun is None:
            self.heirs[tenant] = Tally(rate, burst, now, room, offered, admitted, counted, now, True)
        elif now - begun.since < FRESH:
            begun.told = counted | begun.told
