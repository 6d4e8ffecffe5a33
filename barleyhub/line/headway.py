"""How long requests wait at the servers of a region, and who goes last where that is too long. Pure.

No server tells its queue, but its answers do: what one takes beyond the time of a calm day, on the mean, is
the wait. Answers of short requests tell it best. Where a request would wait so long that those of a higher
rank who come after it would miss their aim, or that it would miss its own, it is sent away at once: else it
would hold a slot for an answer that is worth little. The share grows with the wait, so that gateways, each of
which knows only its own answers, don't swing together.
"""

from __future__ import annotations

import math

import msgspec

FADE = 0.8  # s; what an answer tells of the wait fades over this: a few answers of a short kind
DOUBT = 3.0  # answers of the shortest kind that tell of no wait, in place of experience
LEAST = 1.5  # answers, faded: a single one may have been slow by itself
LATELY = 2.0  # s; higher ranks that came within this time may come again
RISE = 0.003  # by which a route's time on a calm day may grow with each answer, as its work may change
OTHERS = (0.25, 0.75)  # of a higher rank's time to spare: so long a wait sends none away, and all
OWN = (1.0, 1.5)  # and of the own: it would come too late for the full worth


class Wait(msgspec.Struct):
    """The mean of what answers took beyond a calm day, weighed by how short they are, squared."""

    told: float = 0.0  # s, weighed
    weight: float = 0.0
    count: float = 0.0  # answers, faded
    at: float = -math.inf

    def note(self, beyond: float, calm: float, now: float) -> None:
        left, weight = math.exp(-max(now - self.at, 0.0) / FADE), calm**-2
        self.told, self.weight = self.told * left + beyond * weight, self.weight * left + weight
        self.count, self.at = self.count * left + 1.0, now

    def level(self, calm: float, now: float) -> float:
        """s; ``calm``: the shortest kind's time."""
        left = math.exp(-max(now - self.at, 0.0) / FADE)
        if self.count * left < LEAST:
            return 0.0
        return max(self.told * left / (self.weight * left + DOUBT * calm**-2), 0.0)


class Kind(msgspec.Struct):
    """A route as it is asked for here: rank (0 goes first), aim (s), when last."""

    rank: int
    aim: float
    at: float


class Headway(msgspec.Struct):
    """What this gateway's own answers tell of each service's servers in each region."""

    waits: dict[tuple[str, str], Wait] = msgspec.field(default_factory=dict)
    calm: dict[str, float] = msgspec.field(default_factory=dict)  # s by route
    kinds: dict[str, dict[str, Kind]] = msgspec.field(default_factory=dict)  # by service, route

    def asked(self, service: str, route: str, rank: int, aim: float, now: float) -> None:
        self.kinds.setdefault(service, {})[route] = Kind(rank, aim, now)

    def answered(self, service: str, region: str, route: str, took: float, usual: float, now: float) -> None:
        """``took``, less its way; ``usual``: the route's mean of late. All in s."""
        calm = max(min(self.calm.get(route, usual) * (1 + RISE), usual), 0.001)
        self.calm[route] = calm
        self.waits.setdefault((service, region), Wait()).note(took - calm, calm, now)

    def wait(self, service: str, region: str, now: float) -> float:
        """How long one has to expect to wait there, in s."""
        wait = self.waits.get((service, region))
        if wait is None:
            return 0.0
        known = [self.calm[route] for route in self.kinds.get(service, ()) if route in self.calm]
        return wait.level(min(known), now) if known else 0.0

    def spare(self, route: str, aim: float) -> float:
        """What a route's requests may wait within their aim, in s."""
        return max(aim - self.calm.get(route, aim / 2), 0.01)

    def sent_away(self, service: str, route: str, region: str, now: float) -> float:
        """The share of a route's requests that would go to this region and are sent away at once."""
        wait = self.wait(service, region, now)
        if not wait:
            return 0.0
        kinds = self.kinds[service]
        own = kinds[route]
        share = beyond(wait, self.spare(route, own.aim), OWN)
        for name, kind in kinds.items():
            if kind.rank < own.rank and now - kind.at < LATELY:
                share = max(share, beyond(wait, self.spare(name, kind.aim), OTHERS))
        return share

    def forget(self, now: float) -> None:
        """Routes that nobody asks for any more."""
        for service, kinds in list(self.kinds.items()):
            self.kinds[service] = {n: k for n, k in kinds.items() if now - k.at < 60.0}


def beyond(wait: float, spare: float, bounds: tuple[float, float]) -> float:
    """How far a wait lies between two parts of the time to spare, 0 to 1."""
    first, last = bounds[0] * spare, bounds[1] * spare
    return min(max((wait - first) / (last - first), 0.0), 1.0)
