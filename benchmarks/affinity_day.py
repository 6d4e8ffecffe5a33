"""A rolling restart under load, in virtual time, with gateways' own dispatchers: two ways to choose.

    .venv/bin/python -m benchmarks.affinity_day [SEED]

Servers keep a caller's state for a while; a request without it is a cold lookup and takes longer.
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from rich.console import Console
from rich.table import Table

from barleyhub import interface as api
from barleyhub.affinity import selection
from barleyhub.affinity.rendezvous import Caller, caller_key
from barleyhub.affinity.selection import AffinitySelector
from barleyhub.interface import Code
from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState
from barleyhub.line.dispatch import Dispatcher, NoCapacity, RoutedRequest
from latchspoke.configuration.routes import Route

SERVERS, SLOTS, GATEWAYS, CALLERS = 12, 6, 9, 4000
RATE, WORK, EXTRA = 300.0, 0.09, 0.12  # requests a second; s with state, and more without
STATE = 120.0  # s that a server keeps the state of a caller it doesn't hear of
QUEUE, COLD, SLOW = 4, 3.0, 2.0  # requests; s; times slower while cold
WAY, NEWS = 0.001, (0.01, 0.08)  # s
WARM, EACH, DRAIN, DOWN, AFTER = 120.0, 15.0, 3.0, 2.0, 60.0  # s
ROUTES = {
    name: Route(name, "h", "/", name == "lookup", 0.8, 3.0, 2, 0, True, frozenset(), (("s", 1.0),))
    for name in ("lookup", "transfer", "alert", "charge")
}
SHARES = (0.6, 0.2, 0.1, 0.1)


@dataclass(eq=False)
class Server:
    """One life."""

    number: int
    life: int
    cold_until: float = -1.0
    ended: bool = False
    busy: int = 0
    queue: list[tuple[str, bytes, Callable[[Code], None]]] = field(default_factory=list)
    states: dict[bytes, float] = field(default_factory=dict)

    def upstream(self, state: UpstreamState) -> Upstream:
        zone = f"z{self.number % 3}"
        ident, host = f"i{self.number}-{self.life}", f"10.0.0.{self.number}"
        return Upstream(ident, "s", host, 80, zone, "r", SLOTS, state, self.cold_until)


class Day:
    def __init__(self, seed: int, way: str) -> None:
        self.way, self.draw = way, random.Random(seed)
        self.now, self.events, self.order = (
            0.0,
            list[tuple[float, int, Callable[[], None]]](),
            itertools.count(),
        )
        self.gates = [Dispatcher(self.stock(n), random.Random(n), 0.2, 60.0) for n in range(GATEWAYS)]
        self.servers = {f"i{n}-0": Server(n, 0) for n in range(SERVERS)}
        self.calls: dict[tuple[int, str], tuple[RoutedRequest, bytes, float]] = {}
        self.cold: Counter[int] = Counter()
        self.ran: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()
        self.times: list[tuple[float, float]] = []
        self.last: dict[bytes, str] = {}
        self.moves: Counter[int] = Counter()
        for gate in self.gates:
            gate.set_gateways({f"g{n}": f"z{n % 3}" for n in range(GATEWAYS)}, 0.0)
            for server in self.servers.values():
                gate.balancer.put(server.upstream(UpstreamState.READY), 0.0)
            if way != "today":
                gate.affinity = AffinitySelector(gate.balancer)

    def stock(self, number: int) -> Balancer:
        stock = Balancer(f"g{number}", f"z{number % 3}", "r", random.Random(number), 0.5, 1.5, 5.0)
        stock.cold_limits["s"] = ColdLimit(COLD, 5.0)
        return stock

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), call))

    def run(self) -> None:
        for n in range(SERVERS):
            self.at(WARM + n * EACH, lambda n=n: self.restart(n))  # type: ignore[misc]
        self.arrive(itertools.count())
        until = WARM + SERVERS * EACH + AFTER
        while self.events and self.events[0][0] < until:
            self.now, _, call = heapq.heappop(self.events)
            call()

    def tell(self, server: Server, state: UpstreamState) -> None:
        for gate in self.gates:
            when = self.now + self.draw.uniform(*NEWS)
            self.at(when, lambda g=gate: g.balancer.put(server.upstream(state), self.now))  # type: ignore[misc]

    def restart(self, number: int) -> None:
        (server,) = [s for s in self.servers.values() if s.number == number and not s.ended]
        self.tell(server, UpstreamState.DRAINING)

        def end() -> None:
            server.ended = True
            self.tell(server, UpstreamState.GONE)
            for _, _, done in server.queue:
                done(Code.RESET)

        def begin() -> None:
            new = Server(number, server.life + 1, self.now + COLD)
            self.servers[f"i{number}-{new.life}"] = new
            self.tell(new, UpstreamState.READY)

        self.at(self.now + DRAIN, end)
        self.at(self.now + DRAIN + DOWN, begin)

    def arrive(self, numbers: itertools.count[int]) -> None:
        self.at(self.now + self.draw.expovariate(RATE), lambda: self.arrive(numbers))
        number, gate = next(numbers), self.draw.randrange(GATEWAYS)
        # Callers differ in how often they ask.
        key = caller_key(b"%d" % int(CALLERS * self.draw.random() ** 1.5))
        (name,) = self.draw.choices(list(ROUTES), SHARES)
        caller = Caller(key) if self.way != "today" else None
        call = RoutedRequest(str(number), "", "s", name, 1.0, 3.0, 1, route=ROUTES[name], caller=caller)
        self.calls[gate, call.request] = call, key, self.now
        self.act(gate, self.gates[gate].handle(call, self.now))

    def act(self, gate: int, actions: list[api.Action]) -> None:
        for action in list(actions):
            if isinstance(action, api.Send):
                self.send(gate, action)
            elif isinstance(action, api.SetTimer):
                mark = action.mark
                self.at(self.now + action.after, lambda m=mark: self.fire(gate, m))  # type: ignore[misc]
            elif isinstance(action, NoCapacity | api.Refuse | api.Fail):
                call, _, _ = self.calls.pop((gate, action.request))
                self.ends[f"{call.plan} {'refused' if not isinstance(action, api.Fail) else 'lost'}"] += 1

    def fire(self, gate: int, mark: int) -> None:
        self.act(gate, self.gates[gate].handle(api.TimerFired(mark), self.now))

    def send(self, gate: int, action: api.Send) -> None:
        job = self.gates[gate].active_requests[action.request]
        attempt, sent = job.sends - 1, self.now
        call, key, _ = self.calls[gate, action.request]

        def done(code: Code) -> None:
            first = (gate, action.request) in self.calls
            closed = code is Code.OK and first
            if closed:
                _, _, since = self.calls.pop((gate, action.request))
                self.times.append((since, self.now - since))
                self.ends[f"{call.plan} served"] += 1
            took = self.now - sent
            outcome = api.Outcome(action.request, attempt, action.server, code, took, closed)
            self.act(gate, self.gates[gate].handle(outcome, self.now))

        self.at(self.now + WAY, lambda: self.reach(action.server, call, key, done))

    def reach(self, ident: str, call: RoutedRequest, key: bytes, done: Callable[[Code], None]) -> None:
        server = self.servers[ident]
        if server.ended:
            done(Code.UNREACHABLE)
        elif server.busy < SLOTS:
            self.work(server, call.plan + call.request, key, done)
        elif len(server.queue) < QUEUE:
            server.queue.append((call.plan + call.request, key, done))
        else:
            done(Code.FULL)

    def work(self, server: Server, name: str, key: bytes, done: Callable[[Code], None]) -> None:
        server.busy += 1
        self.ran[name] += 1
        known = self.now - server.states.get(key, -1e9) < STATE
        server.states[key] = self.now
        place = f"{server.number}"
        self.moves[int(self.now)] += self.last.get(key, place) != place
        self.last[key] = place
        if not known:
            self.cold[int(self.now)] += 1
        took = (WORK + (0.0 if known else EXTRA)) * self.draw.uniform(0.6, 1.4)
        took *= SLOW if self.now < server.cold_until else 1.0

        def finish() -> None:
            server.busy -= 1
            done(Code.OK)
            if server.queue and server.busy < SLOTS and not server.ended:
                self.work(server, *server.queue.pop(0))

        self.at(self.now + took, finish)


def main() -> None:
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    table = Table(
        "choice", "cold a s, before", "in the restart", "worst 5 s", "moves a s, before", "in the restart",
        "mean ms", "99th ms", "refused", "lost", "run twice", box=None,
    )  # fmt: skip
    saved = selection.WARM_UP_BOUNDS
    for way, grows in (
        ("today", saved),
        ("berths", saved),
        ("no growth", (0.0, 0.0)),
        ("12 s growth", (12.0, 0.0)),
    ):
        selection.WARM_UP_BOUNDS = grows
        day = Day(seed, way)
        day.run()
        before, during = range(int(WARM) - 40, int(WARM)), range(int(WARM), int(WARM + SERVERS * EACH))
        worst = max(sum(day.cold[s + i] for i in range(5)) / 5 for s in during)
        rates = [
            sum(c[s] for s in part) / len(part) for c in (day.cold, day.moves) for part in (before, during)
        ]
        times = sorted(took for since, took in day.times if since > WARM)
        twice = sum(n > 1 for name, n in day.ran.items() if not name.startswith("lookup"))
        ended = {
            what: sum(n for k, n in day.ends.items() if k.endswith(what)) for what in ("refused", "lost")
        }
        table.add_row(
            way, f"{rates[0]:.1f}", f"{rates[1]:.1f}", f"{worst:.1f}", f"{rates[2]:.1f}", f"{rates[3]:.1f}",
            f"{1000 * sum(times) / len(times):.0f}", f"{1000 * times[int(len(times) * 0.99)]:.0f}",
            str(ended["refused"]), str(ended["lost"]), str(twice),
        )  # fmt: skip
    Console(width=200).print(table)


if __name__ == "__main__":
    main()
