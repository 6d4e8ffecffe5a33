"""Choice of an upstream for callers with affinity.

A caller goes to the first usable member of its ranking. Rankings depend only on what all gateways are told:
state, zone, slots and warm-up. What one gateway observes itself, as an unreachable or full upstream, only
makes it skip members.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from barleyhub.affinity.diversion import Diversion
from barleyhub.affinity.plan import explain_caller
from barleyhub.affinity.pool import Pool, View, warm_up_share
from barleyhub.affinity.rendezvous import (
    NO_ORIGIN,
    Caller,
    Member,
    Origin,
    Rank,
    caller_key,
    diversion_position,
    member_seed,
)
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState

WARM_UP_BOUNDS = (4.0, 1.0)  # least time in s, and in multiples of coldStartS, in which a share grows
MAX_ERROR_SHARE = 0.5  # members with a higher error share are skipped
FULL_LOAD = 1.5  # a member counts as full at so many attempts in flight from this gateway, per slot
MAX_PINS = 20_000  # the oldest are dropped


@dataclass(slots=True)
class ServiceState:
    """The pool of one service, and the instance at each of its addresses."""

    pool: Pool = field(default_factory=Pool)
    views: dict[tuple[frozenset[str] | None, str], View] = field(default_factory=dict)  # by homes and near
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    diversions: dict[str, Diversion] = field(default_factory=dict)
    balancer_revision: int = -1  # as of the last refresh
    valid_until: float = -math.inf  # next change of a warm-up share


class AffinitySelector:
    """Chooses upstreams for callers with affinity.

    ``pins`` maps service and caller to the instance of an open exchange and the time when the pin ends.
    """

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.services: dict[str, ServiceState] = {}
        self.pins: dict[tuple[str, bytes], tuple[str, float]] = {}

    def service_state(self, service: str, now: float) -> ServiceState:
        """The up-to-date state of a service."""
        state = self.services.get(service)
        if state is None:
            state = self.services[service] = ServiceState()
        if state.balancer_revision != self.balancer.revision or now >= state.valid_until:
            self.refresh(state, service, now)
        return state

    def refresh(self, state: ServiceState, service: str, now: float) -> None:
        """Rebuild the pool from the balancer's upstreams."""
        balancer, limit = self.balancer, self.balancer.cold_limits.get(service)
        duration_s = (
            max(WARM_UP_BOUNDS[0], WARM_UP_BOUNDS[1] * limit.duration_s)
            if limit is not None
            else WARM_UP_BOUNDS[0]
        )
        state.balancer_revision, state.valid_until = balancer.revision, math.inf
        upstreams: dict[str, Upstream] = {}
        for upstream in balancer.services.get(service, {}).values():
            if upstream.state is UpstreamState.READY and upstream.zone not in balancer.evacuated:
                address = f"{upstream.host}:{upstream.port}"
                other = upstreams.get(address)
                # Of several instances at one address, prefer the latest that has not missed heartbeats.
                if other is None or other.silent or not upstream.silent:
                    upstreams[address] = upstream
        members = []
        for address, upstream in upstreams.items():
            warm_share, until = warm_up_share(upstream.cold_until, duration_s, now)
            state.valid_until = min(state.valid_until, until)
            members.append(Member(address, upstream.slots, upstream.zone, upstream.region, warm_share))
        state.upstreams = upstreams
        state.pool.set_members(members)
        for address in [
            address
            for address, diversion in state.diversions.items()
            if address not in upstreams and not diversion.current_share(now)
        ]:
            del state.diversions[address]

    def is_usable(self, upstream: Upstream, homes: frozenset[str] | None, now: float) -> bool:
        """Whether this gateway may send requests to the upstream now."""
        return (
            upstream.state is UpstreamState.READY
            and upstream.zone not in self.balancer.evacuated
            and (homes is None or upstream.region in homes)
            and now >= upstream.backoff_until
            and not self.balancer.is_cold(upstream, now)
            and upstream.health.current_error_rate(now) < MAX_ERROR_SHARE
        )

    def pick(
        self, caller: Caller, service: str, homes: frozenset[str] | None, tried: Collection[str], now: float
    ) -> Upstream | None:
        """The first usable member of the caller's ranking, or the pinned one; None if there is none."""
        state = self.service_state(service, now)
        pin = self.pins.get((service, caller.key)) if caller.exchange_s else None
        if pin is not None:
            pinned = self.balancer.upstreams.get(pin[0])
            if now >= pin[1] or pinned is None or not self.is_usable(pinned, homes, now):
                pin = None
            elif pinned.ident not in tried:
                return pinned
        view = state.views.get((homes, caller.near))
        if view is None:
            origin = (
                Origin(caller.near, self.balancer.zone, self.balancer.region) if caller.near else NO_ORIGIN
            )
            view = state.views[homes, caller.near] = state.pool.view(homes, origin)
        upstream = self.first_usable(state, caller.key, view.ranking(caller.key), tried, now)
        if upstream is not None and caller.exchange_s and pin is None:
            self.pins.pop((service, caller.key), None)
            self.pins[service, caller.key] = upstream.ident, now + caller.exchange_s
            if len(self.pins) > MAX_PINS:
                del self.pins[next(iter(self.pins))]
        return upstream

    def unusable_reason(self, upstream: Upstream, homes: frozenset[str] | None, now: float) -> str:
        """Why the upstream is skipped for all callers, as a text for people; empty if it is usable."""
        if self.is_usable(upstream, homes, now):
            return ""
        reasons = {
            "draining": upstream.state is not UpstreamState.READY,
            "evacuated": upstream.zone in self.balancer.evacuated,
            "outside the homes": homes is not None and upstream.region not in homes,
            "can't be reached": now < upstream.backoff_until or now < upstream.assumed_cold_until,
            "cold, or its beats are missed": self.balancer.is_cold(upstream, now),
        }
        return next((reason for reason, holds in reasons.items() if holds), "answers with errors")

    def explain(
        self, text: str, near: str, service: str, homes: frozenset[str] | None, now: float
    ) -> dict[str, Any]:
        """As ``explain_caller``, with this gateway's own observations. Changes no state."""
        state, key = self.service_state(service, now), caller_key(text.encode())
        unavailable = {}
        for address, upstream in state.upstreams.items():
            diversion = state.diversions.get(address)
            reason = self.unusable_reason(upstream, homes, now)
            if (
                not reason
                and diversion is not None
                and diversion_position(key, member_seed(address)) < diversion.current_share(now)
            ):
                reason = "was full or away; this caller comes back later"
            if reason:
                unavailable[address] = reason
        origin = Origin(near, self.balancer.zone, self.balancer.region) if near else NO_ORIGIN
        explanation = explain_caller(text, state.pool.members.values(), origin, homes, unavailable)
        pin = self.pins.get((service, key))
        if pin is not None and now < pin[1]:
            explanation["exchange"] = {"id": pin[0], "left_s": round(pin[1] - now, 3)}
            explanation["why"] = f"an exchange is open at {pin[0]}"
        return explanation

    def first_usable(
        self, state: ServiceState, key: bytes, ranks: tuple[Rank, ...], tried: Collection[str], now: float
    ) -> Upstream | None:
        """The first usable member that the caller is not diverted from; updates the diversions."""
        for _, _, address in ranks:
            upstream = state.upstreams[address]
            if upstream.ident in tried:
                continue
            diversion = state.diversions.get(address)
            usable = self.is_usable(upstream, None, now)
            full = now < upstream.full_until or upstream.in_flight >= FULL_LOAD * max(upstream.slots, 1)
            if not usable or full:
                if diversion is None:
                    diversion = state.diversions[address] = Diversion(updated_at=now)
                if not usable:
                    diversion.divert_all(now)
                    continue
                diversion.divert_more(now)
            if diversion is not None:
                diverted = diversion.current_share(now)
                if diverted > 0.0 and diversion_position(key, member_seed(address)) < diverted:
                    continue
            return upstream
        return None
