"""Plays gateways that share what they see of sick servers, in virtual time, and measures what that brings.

The real decisions, witnesses, examiners and ledgers; servers, ways and clients are models. One seed gives
one result. ``python -m latchspoke.outliers.simulation --gateways 84 --how one_zone`` prints the figures with
and without.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.dispatch import Call, Dispatcher
from barleyhub.line.examiner import Examiner
from barleyhub.line.stock import State, Stock, Upstream
from latchspoke.configuration.routes import NO_HOMES, Route
from latchspoke.outliers.evidence import Ledger, read

SOON, CALM, GATHER, AGAIN = 0.2, 0.8, 0.1, 0.3  # s, as the programs have them
LINK = 0.002  # s one way between machines of one region
FAR = 0.02
AVOIDED = 0.25  # of its usual requests: a server that gets less counts as avoided
BIN = 0.5  # s


@dataclass(slots=True)
class Trouble:
    """What ails servers: ``share`` of them fail ``x`` of their requests from ``at`` for ``lasts`` s."""

    share: float = 0.14
    x: float = 0.45
    at: float = 6.0
    lasts: float = 6.5
    how: str = "errors"  # or one_zone: only for callers of the server's zone; flap: dead and alive by turns
    gap: float = 1.4  # s a turn of a flap
    own: float = 0.002  # of all requests fail at every server, always


@dataclass(slots=True)
class Sums:
    """Figures of one play."""

    requests: int = 0
    failed: int = 0
    failed_by_trouble: int = 0
    tries: int = 0
    turned: float = 0.0  # pairs of gateway and good server times s
    pairs: float = 0.0  # all such pairs times s
    words: int = 0
    bytes: int = 0
    far_bytes: int = 0  # between regions
    slow: list[float] = field(default_factory=list)  # s until each sick server was avoided

    def told(self) -> dict[str, Any]:
        times = sorted(self.slow)
        return {
            "requests": self.requests,
            "failed_by_trouble": self.failed_by_trouble,
            "failed": self.failed,
            "tries": self.tries,
            "avoided_after_s": [round(times[len(times) // 2], 2), round(times[-1], 2)] if times else None,
            "wrongly_turned": round(self.turned / max(self.pairs, 1e-9), 5),
            "words": self.words,
            "bytes": self.bytes,
            "far_bytes": self.far_bytes,
        }


class Server:
    def __init__(self, upstream: Upstream, sick: bool) -> None:
        self.upstream, self.sick, self.free = upstream, sick, [0.0] * upstream.slots
        self.came: dict[int, int] = {}

    def serve(self, now: float, work: float) -> float:
        """When the answer to a request of this work is ready."""
        begun = max(heapq.heappop(self.free), now)
        heapq.heappush(self.free, begun + work)
        return begun + work


class Drill:
    """One play."""

    def __init__(
        self, gateways: int, servers: int, seed: int, trouble: Trouble, sharing: bool = True,
        zones: int = 9, regions: int = 3, per_s: float = 0.0, repeatable: bool = False, load: float = 0.4,
    ) -> None:  # fmt: skip
        """``per_s``: requests of all; 0: as many as take ``load`` of the servers' slots."""
        self.draw, self.trouble, self.sharing = Random(seed), trouble, sharing
        self.work, self.now, self.sums = 0.31, 0.0, Sums()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.zones = [f"z{i}" for i in range(zones)]
        self.region = {zone: f"r{i % regions}" for i, zone in enumerate(self.zones)}
        self.route = Route("r", "h", "/", repeatable, 1.5, 6.0, 2, 0, False, NO_HOMES, (("pool", 1.0),))
        self.servers = {}
        for i in range(servers):
            zone = self.zones[i % zones]
            upstream = Upstream(f"s{i:03d}", "pool", "h", 1, zone, self.region[zone], 6, State.READY)
            self.servers[upstream.ident] = Server(upstream, False)
        for name in self.draw.sample(sorted(self.servers), round(servers * trouble.share)):
            self.servers[name].sick = True
        names = {f"g{i:03d}": self.zones[i % zones] for i in range(gateways)}
        self.gateways = {}
        for name, zone in names.items():
            stock = Stock(name, zone, self.region[zone], self.draw, 1.5)
            for server in self.servers.values():
                w = server.upstream
                stock.put(Upstream(w.ident, "pool", "h", 1, w.zone, w.region, 6, State.READY), 0.0)
            dispatcher = Dispatcher(stock, self.draw, 0.2, 208.0)
            dispatcher.live(names, 0.0)
            self.gateways[name] = dispatcher, Examiner(zone)
        self.ledgers = {zone: Ledger() for zone in self.zones}  # a control machine in each zone
        self.telling: set[str] = set()
        self.told_at = dict.fromkeys(names, 0.0)
        self.rate = (per_s or load * servers * 6 / self.work) / gateways
        self.numbers = itertools.count()

    def after(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), call))

    def play(self, until: float) -> Sums:
        for name in self.gateways:
            self.after(self.draw.expovariate(self.rate), partial(self.ask, name))
            if self.sharing:
                self.after(self.draw.random() * SOON, partial(self.step, name))
        while self.queue and self.queue[0][0] < until:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.measure(until)
        return self.sums

    # Requests.

    def ask(self, name: str) -> None:
        self.after(self.draw.expovariate(self.rate), partial(self.ask, name))
        self.sums.requests += 1
        ident = f"{name}.{next(self.numbers)}"
        call = Call(ident, "", "pool", "r", 1.0, 6.0, 1, route=self.route)
        self.act(name, self.gateways[name][0].handle(call, self.now))

    def act(self, name: str, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.send(name, action)
            elif isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.mark)
                self.after(action.after, partial(self.give, name, fired))
            elif isinstance(action, api.Fail | api.Refuse):
                self.sums.failed += 1

    def give(self, name: str, event: api.Event) -> None:
        self.act(name, self.gateways[name][0].handle(event, self.now))

    def ails(self, server: Server, zone: str) -> str:
        """How a request of a caller in this zone ends now, if it is ill for it."""
        trouble, since = self.trouble, self.now - self.trouble.at
        if self.draw.random() < trouble.own:
            return "error"
        if not server.sick or not 0 <= since < trouble.lasts:
            return ""
        if trouble.how == "flap":
            return "dead" if int(since / trouble.gap) % 2 == 0 else ""
        if trouble.how == "one_zone" and zone != server.upstream.zone:
            return ""
        return "error" if self.draw.random() < trouble.x else ""

    def send(self, name: str, action: api.Send) -> None:
        dispatcher = self.gateways[name][0]
        server = self.servers[action.server]
        zone = dispatcher.stock.zone
        way = LINK if dispatcher.stock.region == server.upstream.region else FAR
        number = dispatcher.jobs[action.request].sends - 1
        tick = int(self.now / BIN)
        server.came[tick] = server.came.get(tick, 0) + 1
        ill = self.ails(server, zone)
        self.sums.tries += number > 0
        if ill == "dead":
            code, took = Code.UNREACHABLE, 2 * way
        else:
            work = self.work * math.exp(self.draw.gauss(0, 0.3))
            took = server.serve(self.now, work if not ill else 0.2 * work) - self.now + 2 * way
            code = Code.ERROR if ill else Code.OK
            self.sums.failed_by_trouble += bool(ill)
        done = code is Code.OK
        outcome = api.Outcome(action.request, number, action.server, code, took, closed=done)
        self.after(took, partial(self.give, name, outcome))

    # Evidence.

    def step(self, name: str) -> None:
        """A gateway's own beat."""
        self.after(SOON, partial(self.step, name))
        dispatcher, examiner = self.gateways[name]
        witness = dispatcher.witness
        if int(self.now / SOON) % 3 == 0:
            witness.forget(self.now, examiner.forget(self.now))
            self.examine(name)
        due = SOON if witness.urgent else CALM
        if witness.fresh and self.now - self.told_at[name] >= due:
            self.told_at[name] = self.now
            told, zone = witness.due(self.now), dispatcher.stock.zone
            self.count(told, 1)
            self.after(LINK, partial(self.heard, zone, name, told))

    def count(self, told: Any, copies: int, far: bool = False) -> None:
        size = copies * (len(str(told).replace(" ", "")) + 24)
        self.sums.words += copies
        self.sums.bytes += size
        self.sums.far_bytes += size * far

    def heard(self, zone: str, name: str, told: Any) -> None:
        self.ledgers[zone].heard(name, zone, told, self.now)
        self.gather(zone)

    def gather(self, zone: str, delay: float = GATHER) -> None:
        if zone not in self.telling:
            self.telling.add(zone)
            self.after(delay, partial(self.tell, zone))

    def tell(self, zone: str) -> None:
        self.telling.discard(zone)
        ledger = self.ledgers[zone]
        ledger.sweep(self.now)
        if words := ledger.to_peers(self.now):
            for other in self.zones:
                if other != zone:
                    near = self.region[other] == self.region[zone]
                    self.count(words, 1, not near)
                    self.after(LINK if near else FAR, partial(self.merge, other, zone, words))
        if told := ledger.to_gateways(self.now, [zone]):
            for name, (dispatcher, _) in self.gateways.items():
                if dispatcher.stock.zone == zone:
                    self.count(told[zone], 1)
                    self.after(LINK, partial(self.learn, name, told[zone]))
        if ledger.waiting():
            self.gather(zone, AGAIN)

    def merge(self, zone: str, source: str, entries: Any) -> None:
        self.ledgers[zone].merge(source, entries, self.now)
        self.gather(zone)

    def learn(self, name: str, entries: Any) -> None:
        dispatcher, examiner = self.gateways[name]
        for entry in entries:
            examiner.learn(*read(entry), self.now)
        dispatcher.witness.question(examiner.told)
        self.examine(name)

    def examine(self, name: str) -> None:
        dispatcher, examiner = self.gateways[name]
        dispatcher.stock.told = examiner.shares({"pool": self.servers}, self.now)
        good = [s for s in self.servers.values() if not self.bad_for(s, dispatcher.stock.zone)]
        self.sums.pairs += len(good)
        self.sums.turned += sum(s.upstream.ident in dispatcher.stock.told for s in good)

    def bad_for(self, server: Server, zone: str) -> bool:
        since = self.now - self.trouble.at
        ill = server.sick and 0 <= since < self.trouble.lasts + 2.0
        return ill and (self.trouble.how != "one_zone" or server.upstream.zone == zone)

    def measure(self, until: float) -> None:
        """Until when a sick server got a quarter of its usual requests or more."""
        begin = int(self.trouble.at / BIN)
        end = int(min(self.trouble.at + self.trouble.lasts, until) / BIN)
        for server in self.servers.values():
            if server.sick:
                usual = sum(server.came.get(t, 0) for t in range(2, begin)) / (begin - 2)
                calm = [t for t in range(begin, end) if server.came.get(t, 0) < AVOIDED * usual]
                self.sums.slow.append((calm[0] - begin + 1) * BIN if calm else self.trouble.lasts)


def main() -> None:
    import argparse

    parser = argparse.ArgumentParser(prog="latchspoke.outliers.simulation", description=__doc__)
    parser.add_argument("--gateways", type=int, default=84)
    parser.add_argument("--servers", type=int, default=75)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--how", default="errors", choices=("errors", "one_zone", "flap", "none"))
    parser.add_argument("--load", type=float, default=0.4)
    parser.add_argument("--zones", type=int, default=9)
    args = parser.parse_args()
    for sharing in (False, True):
        trouble = Trouble(how=args.how, share=0.0 if args.how == "none" else 0.14)
        drill = Drill(
            args.gateways, args.servers, args.seed, trouble, sharing, zones=args.zones, load=args.load
        )
        print("shared" if sharing else "alone ", drill.play(16.0).told())


if __name__ == "__main__":
    main()
