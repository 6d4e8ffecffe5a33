"""The placement before a gateway's stock: what it knows of its servers, put into pools, and the choice.

A caller goes to the first of its order that may be sent to. What all gateways are told (state, zone, slots,
until when it is cold) makes the order; what one gateway finds (out of reach, full) only passes places over.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from barleyhub.affinity.order import NOWHERE, Caller, Member, Origin, Rank, draw, key_of, seed_of
from barleyhub.affinity.plan import explain_caller
from barleyhub.affinity.pool import Pool, View, share
from barleyhub.affinity.valve import Valve
from barleyhub.line.stock import State, Stock, Upstream

GROWS = (4.0, 1.0)  # s, and times coldStartS: a newcomer's share grows for the longer
FAILING = 0.5  # of its answers are errors: it is passed over
FULL_OUT = 1.5  # times its slots are out from here alone: it is full
PINS = 20_000  # exchanges that are remembered, the oldest forgotten first


@dataclass(slots=True)
class Shed:
    """One service's pool, and whose life is at each place."""

    pool: Pool = field(default_factory=Pool)
    views: dict[tuple[frozenset[str] | None, str], View] = field(default_factory=dict)  # homes, near
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    valves: dict[str, Valve] = field(default_factory=dict)
    seen: int = -1  # of the stock's changes
    until: float = -math.inf  # when a share changes


class Berths:
    """The choice for callers that are to be kept where they are."""

    def __init__(self, stock: Stock) -> None:
        self.stock = stock
        self.sheds: dict[str, Shed] = {}
        self.pins: dict[tuple[str, bytes], tuple[str, float]] = {}

    def shed(self, service: str, now: float) -> Shed:
        """As the stock is now."""
        shed = self.sheds.get(service)
        if shed is None:
            shed = self.sheds[service] = Shed()
        if shed.seen != self.stock.changes or now >= shed.until:
            self.bring_up(shed, service, now)
        return shed

    def bring_up(self, shed: Shed, service: str, now: float) -> None:
        stock, cold = self.stock, self.stock.colds.get(service)
        lasts = max(GROWS[0], GROWS[1] * cold.lasts) if cold is not None else GROWS[0]
        shed.seen, shed.until = stock.changes, math.inf
        upstreams: dict[str, Upstream] = {}
        for upstream in stock.services.get(service, {}).values():
            if upstream.state is State.READY and upstream.zone not in stock.evacuated:
                place = f"{upstream.host}:{upstream.port}"
                other = upstreams.get(place)
                # Of two lives at one place, the one told of last, unless its beats are missed.
                if other is None or other.silent or not upstream.silent:
                    upstreams[place] = upstream
        members = []
        for place, upstream in upstreams.items():
            part, until = share(upstream.cold_until, lasts, now)
            shed.until = min(shed.until, until)
            members.append(Member(place, upstream.slots, upstream.zone, upstream.region, part))
        shed.upstreams = upstreams
        shed.pool.put(members)
        for place in [p for p, valve in shed.valves.items() if p not in upstreams and not valve.shut(now)]:
            del shed.valves[place]

    def may(self, upstream: Upstream, homes: frozenset[str] | None, now: float) -> bool:
        """Whether anything at all may be sent to it now, from here."""
        return (
            upstream.state is State.READY
            and upstream.zone not in self.stock.evacuated
            and (homes is None or upstream.region in homes)
            and now >= upstream.rest_until
            and not self.stock.cold(upstream, now)
            and upstream.own.current_error_rate(now) < FAILING
        )

    def pick(
        self, caller: Caller, service: str, homes: frozenset[str] | None, tried: Collection[str], now: float
    ) -> Upstream | None:
        """The first of the caller's order that may be sent to; None: as if there were no order."""
        shed = self.shed(service, now)
        pin = self.pins.get((service, caller.key)) if caller.exchange else None
        if pin is not None:
            held = self.stock.upstreams.get(pin[0])
            if now >= pin[1] or held is None or not self.may(held, homes, now):
                pin = None
            elif held.ident not in tried:
                return held
        view = shed.views.get((homes, caller.near))
        if view is None:
            origin = Origin(caller.near, self.stock.zone, self.stock.region) if caller.near else NOWHERE
            view = shed.views[homes, caller.near] = shed.pool.view(homes, origin)
        upstream = self.first(shed, caller.key, view.order(caller.key), tried, now)
        if upstream is not None and caller.exchange and pin is None:
            self.pins.pop((service, caller.key), None)
            self.pins[service, caller.key] = upstream.ident, now + caller.exchange
            if len(self.pins) > PINS:
                del self.pins[next(iter(self.pins))]
        return upstream

    def barred(self, upstream: Upstream, homes: frozenset[str] | None, now: float) -> str:
        """Why it is passed over for everybody, in words; empty if it isn't."""
        if self.may(upstream, homes, now):
            return ""
        reasons = {
            "draining": upstream.state is not State.READY,
            "evacuated": upstream.zone in self.stock.evacuated,
            "outside the homes": homes is not None and upstream.region not in homes,
            "can't be reached": now < upstream.rest_until or now < upstream.doubt_until,
            "cold, or its beats are missed": self.stock.cold(upstream, now),
        }
        return next((why for why, holds in reasons.items() if holds), "answers with errors")

    def explain(
        self, text: str, near: str, service: str, homes: frozenset[str] | None, now: float
    ) -> dict[str, Any]:
        """As ``explain_caller``, with what this gateway finds; nothing is changed by it."""
        shed, key = self.shed(service, now), key_of(text.encode())
        out = {}
        for place, upstream in shed.upstreams.items():
            valve = shed.valves.get(place)
            why = self.barred(upstream, homes, now)
            if not why and valve is not None and draw(key, seed_of(place)) < valve.shut(now):
                why = "was full or away; this caller comes back later"
            if why:
                out[place] = why
        origin = Origin(near, self.stock.zone, self.stock.region) if near else NOWHERE
        told = explain_caller(text, shed.pool.members.values(), origin, homes, out)
        pin = self.pins.get((service, key))
        if pin is not None and now < pin[1]:
            told["exchange"] = {"id": pin[0], "left_s": round(pin[1] - now, 3)}
            told["why"] = f"an exchange is open at {pin[0]}"
        return told

    def first(
        self, shed: Shed, key: bytes, ranks: tuple[Rank, ...], tried: Collection[str], now: float
    ) -> Upstream | None:
        for _, _, place in ranks:
            upstream = shed.upstreams[place]
            if upstream.ident in tried:
                continue
            valve = shed.valves.get(place)
            usable = self.may(upstream, None, now)
            full = now < upstream.full_until or upstream.out >= FULL_OUT * max(upstream.slots, 1)
            if not usable or full:
                if valve is None:
                    valve = shed.valves[place] = Valve(at=now)
                if not usable:
                    valve.close(now)
                    continue
                valve.press(now)
            if valve is not None:
                level = valve.shut(now)
                if level > 0.0 and draw(key, seed_of(place)) < level:
                    continue
            return upstream
        return None
