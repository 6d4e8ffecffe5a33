"""Gateways, servers and travelling callers in virtual time, under drawn troubles, and a checker of all of it.

Nothing waits and no clock is read: a seed decides everything. Guards can be taken out by ``guards``; the
checker must then find fault (tests/session_records). The same world measures (benchmarks/travel.py).
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from barleyhub.affinity.order import Member, order
from barleyhub.affinity.order import key_of as placed_key
from latchspoke.session_records.coordinator import LEAST, Ask, Desk, Go, Later, Pass, Step, Tell, Terms
from latchspoke.session_records.decision import State
from latchspoke.session_records.record import Bill, Fate, Number, Peer, key_of
from latchspoke.session_records.store import Held, Letter, Message, Office, Out, read
from latchspoke.transport.netstring import frame

LEASE, PROOF = 4.5, 0.8  # s; of the right to act, and between its proofs
SETTLE = 6.0
SEEN = (1.5, 3.0)  # s until a gateway that is lost is seen to be
BACK = (0.05, 0.4)  # and one that is back
TICK = 0.25
TOLD = 0.8  # s until a site hears that a server has ended
APART = 5.0  # s between two losses
CLIENT = 2.5  # s that a caller waits for an answer
WAYS = (0.0014, 0.012)  # s one way, between zones and between regions
NEAR = 0.0002


@dataclass(slots=True)
class Server:
    """A place; each start is a new life. The sets are of tries."""

    place: str
    zone: str
    region: str
    life: str = ""
    up: bool = True
    running: set[str] = field(default_factory=set)
    ran: set[str] = field(default_factory=set)
    sealed: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Try:
    """One request of a caller's, at one site."""

    ref: str
    caller: str
    exchange: str
    site: str
    begun: float
    answer: str = ""
    tried: list[str] = field(default_factory=list)
    target: str = ""
    passed_until: float = 0.0
    left: bool = False  # its caller waits no longer
    gone: bool = False  # and its site has seen that: a phone that loses its net says nothing
    done: bool = False  # the site has ended it
    ran: bool = False
    looked: float = -1.0


class Site:
    """One gateway with its own view of the others and of the servers."""

    def __init__(self, world: World, name: str, zone: str, region: str, life: int) -> None:
        self.world, self.name, self.zone, self.region, self.life = world, name, zone, region, f"{life}"
        self.up, self.frozen, self.cut = True, False, False
        self.backlog: list[Callable[[], None]] = []
        self.view: dict[str, Peer] = {name: Peer(zone, region, self.life)}
        self.proven = world.now
        self.stats: Counter[str] = Counter()
        self.office = world.office(self)
        self.desk = Desk(self.office, self.known)
        self.pins: dict[str, str] = {}  # where there are no records
        self.tries: dict[str, Try] = {}

    def known(self, life: str) -> bool:
        ended = self.world.ended.get(life)
        return life in self.world.lives and (ended is None or self.world.now < ended + TOLD)

    def right(self) -> float:
        return self.proven + LEASE

    def see(self) -> None:
        self.world.sent(self, self.desk_outs(self.office.live(dict(self.view), self.world.now)))

    def desk_outs(self, outs: list[Out]) -> list[Step]:
        self.desk.carry(outs, self.world.now)
        return self.desk.given()


class World:
    """See the module. ``records`` off: by placement and each site's own pins, as without ``travels``."""

    def __init__(
        self, seed: int, gateways: int = 9, servers: int = 9, callers: int = 12, strict: bool = True,
        able: bool = True, records: bool = True, travel: float = 0.4, guards: frozenset[str] = frozenset(),
        homes: tuple[str, ...] = (), pause: float = 0.4, most: int = 100_000, lasts: float = 30.0,
    ) -> None:  # fmt: skip
        self.seed, self.draw, self.now = seed, random.Random(seed), 0.0
        self.guards, self.records, self.travel, self.pause, self.most = guards, records, travel, pause, most
        self.terms = Terms(homes, lasts, 0.25 if strict else 0.05, strict, able)
        self.numbers, self.heap = itertools.count(1), list[tuple[float, int, Callable[[], object]]]()
        self.faults: list[str] = []
        self.bytes: Counter[str] = Counter()
        self.letters: Counter[str] = Counter()
        self.looks: list[float] = []
        self.kept = [0, 0]  # first requests at another site, while the last server serves: at it, elsewhere
        self.committed: dict[str, tuple[Number, Bill, float]] = {}  # and until when it lives
        self.fifo: dict[tuple[str, str], float] = {}
        self.runs: dict[str, list[str]] = {}
        self.ran_at: dict[str, float] = {}  # the last run of an exchange
        self.known_for = max(lasts, LEAST * SETTLE)  # s after its last write
        self.unknown: Counter[str] = Counter()
        self.tries: list[Try] = []
        self.finished: Counter[str] = Counter()
        self.cuts: set[frozenset[str]] = set()
        self.stalls: set[str] = set()  # sites that are to stand still once they are to send
        self.servers: dict[str, Server] = {}
        for number in range(servers):
            region = number % 3
            place = f"s{number}"
            self.servers[place] = Server(place, f"r{region}z{number % 2}", f"r{region}", f"{place}-1")
        self.lives = {server.life for server in self.servers.values()}
        self.ended: dict[str, float] = {}
        self.sites: dict[str, Site] = {}
        for number in range(gateways):
            region = number % 3
            name = f"g{number}"
            self.sites[name] = Site(self, name, f"r{region}z{(number // 3) % 2}", f"r{region}", 1)
        peers = {n: Peer(s.zone, s.region, s.life) for n, s in self.sites.items()}
        for site in self.sites.values():
            site.view = dict(peers)
            site.see()
            self.at(self.draw.uniform(0, PROOF), partial(self.prove, site))
            self.at(self.draw.uniform(0, TICK), partial(self.tick, site))
        self.callers = [f"c{number}" for number in range(callers)]
        self.stop_at = 1e9
        self.last: dict[str, tuple[str, str]] = {}  # the life that served a caller last, and the site

    # Time.

    def at(self, after: float, act: Callable[[], object]) -> None:
        heapq.heappush(self.heap, (self.now + after, next(self.numbers), act))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self.heap)
            act()
        self.now = until

    def on(self, site: Site, act: Callable[[], None]) -> None:
        """At a site: not while it stands still, and not once it has died."""
        if not site.up or self.sites.get(site.name) is not site:
            return
        if site.frozen:
            site.backlog.append(act)
        else:
            act()

    # Machines.

    def office(self, site: Site) -> Office:
        cls = GUARDED.get(next(iter(self.guards & GUARDED.keys()), ""), Office)
        return cls(site.name, site.life, SETTLE, self.now, site.right, site.stats, self.most, LEASE)

    def prove(self, site: Site) -> None:
        if site.up and self.sites[site.name] is site:
            if not site.frozen and not site.cut:
                site.proven = self.now
            self.at(PROOF, lambda: self.prove(site))

    def tick(self, site: Site) -> None:
        def act() -> None:
            self.sent(site, site.desk.tick(self.now))

        if site.up and self.sites[site.name] is site:
            self.on(site, act)
            self.at(TICK, lambda: self.tick(site))

    def reach(self, a: str, b: str) -> bool:
        one, two = self.sites[a], self.sites[b]
        runs = one.up and two.up and not one.frozen and not two.frozen
        return runs and frozenset((a, b)) not in self.cuts

    def look_around(self) -> None:
        """Views follow what can be reached, each after a time of its own; a third party's word counts."""
        names = list(self.sites)
        for a in names:
            for b in names:
                if a != b and self.sites[a].up:
                    seen = b in self.sites[a].view and self.sites[a].view[b].life == self.sites[b].life
                    if self.heard_of(a, b) != seen:
                        self.at(
                            self.draw.uniform(*(BACK if not seen else SEEN)),
                            partial(self.update, a, b),
                        )

    def heard_of(self, a: str, b: str) -> bool:
        return self.reach(a, b) or any(self.reach(a, c) and self.reach(c, b) for c in self.sites)

    def update(self, a: str, b: str) -> None:
        site, other = self.sites[a], self.sites[b]

        def act() -> None:
            new = dict(site.view)
            if self.heard_of(a, b):
                new[b] = Peer(other.zone, other.region, other.life)
            else:
                new.pop(b, None)
            if new != site.view:
                site.view = new
                site.see()

        if not site.frozen:
            self.on(site, act)

    def kill(self, name: str) -> None:
        self.sites[name].up = False
        self.look_around()

    def start(self, name: str) -> None:
        old = self.sites[name]
        if old.up:
            return
        site = self.sites[name] = Site(self, name, old.zone, old.region, int(old.life) + 1)
        site.cut = old.cut
        self.at(0.0, lambda: self.prove(site))
        self.at(0.1, lambda: self.tick(site))
        site.see()
        self.look_around()

    def freeze(self, name: str) -> None:
        self.sites[name].frozen = True
        self.look_around()

    def thaw(self, name: str) -> None:
        self.stalls.discard(name)
        site = self.sites[name]
        site.frozen = False
        backlog, site.backlog = site.backlog, []
        for act in backlog:
            act()
        self.look_around()

    def cut_off(self, names: list[str], core: bool = True) -> None:
        """These from all others; ``core``: from the core as well, so that their right ends."""
        inside = set(names)
        self.cuts |= {frozenset((a, b)) for a in inside for b in self.sites if b not in inside}
        for name in names:
            self.sites[name].cut = core
        self.look_around()

    def join(self) -> None:
        self.cuts.clear()
        for site in self.sites.values():
            site.cut = False
        self.look_around()

    def add(self, place: str, region: int) -> None:
        """A server that was not there before."""
        self.servers[place] = Server(place, f"r{region}z0", f"r{region}", f"{place}-1")
        self.lives.add(f"{place}-1")

    def restart(self, place: str, takes: float = 0.5) -> None:
        """The same address, a new life; what the old one knew and was at is lost with it."""
        server = self.servers[place]
        server.up = False
        self.ended.setdefault(server.life, self.now)

        def begin() -> None:
            life = f"{place}-{next(self.numbers)}"
            self.lives.add(life)
            self.servers[place] = Server(place, server.zone, server.region, life)

        self.at(takes, begin)

    # Messages.

    def way(self, zone: str, region: str, to_zone: str, to_region: str) -> float:
        base = WAYS[1] if region != to_region else WAYS[0] if zone != to_zone else NEAR
        return base * self.draw.uniform(1.0, 1.2)

    def sent(self, site: Site, steps: list[Step]) -> None:
        for step in steps:
            match step:
                case Letter(to, message):
                    self.letter(site, to, message)
                case Go(ref, bill):
                    self.go(site, site.tries[ref], bill)
                case Tell(ref, state, exchange):
                    self.tell(site, ref, state, exchange)
                case Later(ref):
                    self.end(site, site.tries[ref], "503")
                case Ask(ref, life, attempt):
                    self.ask(site, ref, life, attempt)
                case Pass(ref, ok, until):
                    self.passed(site, site.tries.get(ref), ok, until)

    def letter(self, site: Site, to: str, message: Message) -> None:
        self.watch(site, message)
        other = self.sites.get(to)
        if other is None:
            return
        size = len(frame(message))
        self.bytes[str(message["w"])] += size
        self.letters[str(message["w"])] += 1
        if frozenset((site.name, to)) in self.cuts:
            return
        due = self.now + self.way(site.zone, site.region, other.zone, other.region)
        due = self.fifo[site.name, to] = max(due, self.fifo.get((site.name, to), 0.0) + 1e-6)

        def heard() -> None:
            if frozenset((site.name, to)) not in self.cuts:
                self.sent(other, other.desk.heard(site.name, message, self.now))

        self.at(due - self.now, lambda: self.on(other, heard))

    def watch(self, site: Site, message: Message) -> None:
        """What an owner has agreed to: numbers only go up, and none means two things."""
        if message["w"] == "done" and message["word"] in ("given", "kept"):
            self.agreed(message["b"])

    def agreed(self, bill: Bill) -> None:
        last = self.committed.get(bill.key)
        if last is not None and self.now > last[2]:
            last = None
        if last is not None and bill.number <= last[0] and bill != last[1]:
            self.faults.append(
                f"{self.now:.2f} number {bill.number} of {bill.site} after {last[0]} of {last[1].site}"
            )
        if last is None or bill.number > last[0]:
            self.committed[bill.key] = bill.number, bill, self.now + bill.lasts

    # Requests.

    def request(self, caller: str, exchange: str, name: str) -> Try:
        ref = f"t{next(self.numbers)}"
        one = Try(ref, caller, exchange, name, self.now)
        self.tries.append(one)
        site = self.sites[name]
        if not site.up:
            one.answer = "closed"
        elif site.frozen:
            # It waits in the socket, and is read once the process goes on.
            site.backlog.append(partial(self.taken, site, one))
        else:
            self.taken(site, one)
        return one

    def taken(self, site: Site, one: Try) -> None:
        caller, exchange, ref = one.caller, one.exchange, one.ref
        site.tries[ref] = one
        if not self.records:
            life = site.pins.get(caller, "")
            self.go(site, one, Bill(key="", life=life) if site.known(life) else None)
            return
        key = key_of("route", "", caller.encode())
        steps = site.desk.arrive(ref, key, exchange, self.terms, self.now)
        if site.desk.trips[ref].looking:
            self.at(
                self.terms.look, lambda: self.on(site, lambda: self.sent(site, site.desk.late(ref, self.now)))
            )
        self.sent(site, steps)

    def go(self, site: Site, one: Try, bill: Bill | None) -> None:
        if one.looked < 0:
            one.looked = self.now - one.begun
            self.looks.append(one.looked)
        ready = {s.life: s for s in self.servers.values() if site.known(s.life) and s.life not in one.tried}
        server = ready.get(bill.life) if bill is not None and not one.tried else None
        if server is None:
            members = [Member(s.place, 4.0, s.zone, s.region) for s in ready.values()]
            ranks = order(placed_key(one.caller.encode()), members)
            server = self.servers[ranks[0][2]] if ranks else None
        if server is None or len(one.tried) >= 3:
            self.end(site, one, "503")
            return
        one.tried.append(server.life)
        one.target = server.place
        last, where = self.last.get(one.caller, ("", ""))
        lives = any(s.life == last and s.up for s in self.servers.values())
        if lives and where != site.name and len(one.tried) == 1:
            self.kept[last != server.life] += 1
        if not self.records:
            self.send(site, one, server.life, server.place)
            return
        steps = site.desk.attempt(one.ref, "service", server.life, server.place, self.now)
        if "unopened" in self.guards:
            steps = [s if not isinstance(s, Pass) else Pass(s.ref, True, 1e9) for s in steps]
            if not any(isinstance(s, Pass) for s in steps):
                steps.append(Pass(one.ref, True, 1e9))
        self.sent(site, steps)

    def passed(self, site: Site, one: Try | None, ok: bool, until: float) -> None:
        if one is None or one.gone or one.done:
            return
        if not ok:
            self.outcome(site, one, Fate.NOT_RUN, None)
            return
        if site.name in self.stalls:
            # It stands still right before the first byte.
            self.stalls.discard(site.name)
            self.freeze(site.name)
        life, place = one.tried[-1], one.target
        if "no_pass" in self.guards:
            until = 1e9
        # A connection comes up first; the site may stand still meanwhile.
        connect = self.draw.uniform(0.0005, 0.03)

        def write() -> None:
            if self.now >= until:
                self.outcome(site, one, Fate.NOT_RUN, None)
            else:
                self.send(site, one, life, place)

        self.at(connect, lambda: self.on(site, write))

    def send(self, site: Site, one: Try, life: str, place: str) -> None:
        server = self.servers[place]
        way = self.way(site.zone, site.region, server.zone, server.region)
        self.at(way, lambda: self.arrive(site, one, life, place))

    def arrive(self, site: Site, one: Try, life: str, place: str) -> None:
        server = self.servers[place]
        if not server.up or server.life != life or one.ref in server.sealed:
            self.at(0.002, lambda: self.on(site, lambda: self.outcome(site, one, Fate.NOT_RUN, life)))
            return
        one.ran = True
        if self.now - self.ran_at.get(one.exchange, -1e9) > self.known_for:
            self.runs.pop(one.exchange, None)  # nobody promises to know of it for so long
        self.ran_at[one.exchange] = self.now
        self.runs.setdefault(one.exchange, []).append(life)
        server.running.add(one.ref)

        def finish() -> None:
            if self.servers[place] is not server or not server.up:
                self.on(site, lambda: self.outcome(site, one, Fate.MAY_RUN, life))
                return
            server.running.discard(one.ref)
            server.ran.add(one.ref)
            lost = self.terms.strict and self.draw.random() < 0.03
            fate = Fate.MAY_RUN if lost else Fate.ANSWERED
            self.at(
                1.0 if lost else 0.002, lambda: self.on(site, lambda: self.outcome(site, one, fate, life))
            )

        self.at(self.draw.uniform(0.01, 0.4), finish)

    def outcome(self, site: Site, one: Try, fate: Fate, life: str | None) -> None:
        if self.records:
            self.sent(site, site.desk.outcome(one.ref, fate, self.now))
        elif fate is Fate.ANSWERED and life is not None:
            site.pins[one.caller] = life
        if fate is Fate.ANSWERED:
            if life is not None:
                self.last[one.caller] = life, site.name
            self.end(site, one, "200")
        elif fate is Fate.MAY_RUN:
            self.end(site, one, "502")
        elif not one.gone:
            self.go(site, one, None)
        else:
            self.end(site, one, "closed")

    def tell(self, site: Site, ref: str, state: State, exchange: str) -> None:
        one = site.tries[ref]
        if state is State.UNKNOWN:
            self.unknown[exchange] += 1
        elif exchange not in self.runs:
            self.faults.append(f"{self.now:.2f} {exchange} told to have run, and never has")
        self.end(site, one, f"409 {state.value} {exchange}")

    def ask(self, site: Site, ref: str, life: str, attempt: str) -> None:
        server = next((s for s in self.servers.values() if s.life == life and s.up), None)
        state = State.UNKNOWN
        if server is not None:
            state = State.RUN if attempt in server.ran else State.NOT_RUN
            if attempt in server.running:
                state = State.OPEN
            if state is State.NOT_RUN and "unsealed" not in self.guards:
                server.sealed.add(attempt)
        elif "silence" in self.guards:
            state = State.NOT_RUN
        self.at(0.01, lambda: self.on(site, lambda: self.sent(site, site.desk.asked(ref, state, self.now))))

    def end(self, site: Site, one: Try, answer: str) -> None:
        one.done = True
        if not one.answer:
            one.answer = answer
            if answer == "503" and one.ran:
                self.faults.append(f"{self.now:.2f} {one.ref} ran and was answered 503")
        site.tries.pop(one.ref, None)
        site.desk.end(one.ref)

    # Callers.

    def live_callers(self) -> None:
        for caller in self.callers:
            home = self.draw.choice(list(self.sites))
            self.at(self.draw.uniform(0, 1), partial(self.exchange, caller, home, 1))

    def exchange(self, caller: str, name: str, number: int) -> None:
        if self.now < self.stop_at:
            self.attempt(caller, f"{caller}.{number}", name, number, 1)

    def elsewhere(self, name: str) -> str:
        if self.draw.random() >= self.travel:
            return name
        return self.draw.choice([n for n in self.sites if n != name])

    def attempt(self, caller: str, exchange: str, name: str, number: int, tries: int) -> None:
        one = self.request(caller, exchange, name)
        leaves = self.draw.random() < self.travel / 2
        patience = self.draw.uniform(0.005, 0.4) if leaves else CLIENT
        self.wait(one, self.now + patience, lambda: self.answered(one, number, tries))

    def wait(self, one: Try, until: float, then: Callable[[], None]) -> None:
        if one.answer or self.now >= until:
            if not one.answer:
                one.left, one.answer, one.gone = True, "left", self.draw.random() < 0.5
            then()
        else:
            self.at(0.005, lambda: self.wait(one, until, then))

    def answered(self, one: Try, number: int, tries: int) -> None:
        name, again = one.site, one.exchange
        told = one.answer.split()
        if told[0] == "200" or (told[0] == "409" and told[1] == "run" and told[2] == again):
            self.finished[again] += 1
            if again not in self.runs:
                self.faults.append(f"{self.now:.2f} {again} is lost: {one.answer}")
            self.at(
                self.draw.uniform(0.1, 2 * self.pause),
                lambda: self.exchange(one.caller, self.elsewhere(name), number + 1),
            )
            return
        # Not answered, or told to come back, or told that nobody knows: sent again, perhaps elsewhere.
        if tries > 400:
            self.faults.append(f"{self.now:.2f} {again} comes to no end")
            return
        where = self.elsewhere(name) if told[0] != "closed" else self.draw.choice(list(self.sites))
        pause = 0.3 if told[0] == "503" else 0.02
        self.at(pause, lambda: self.attempt(one.caller, again, where, number, tries + 1))

    # What came of it.

    def check(self) -> list[str]:
        """Faults; among them what ran more often than once, and once for each time it was told as unknown."""
        found = list(self.faults)
        for exchange, lives in self.runs.items():
            if self.terms.strict and len(lives) > 1 + self.unknown[exchange]:
                found.append(f"{exchange} ran {len(lives)} times: {lives}")
        return found


class Unfenced(Office):
    """The copy writes for whoever asks."""

    def on_copy(self, owner: str, m: Message) -> None:
        held = read(m, self.now)
        assert held is not None
        self.store(held)
        self.post(owner, {"w": "kept", "q": m["q"], "ok": True})


class Rightless(Office):
    """The owner acts without a right."""

    def act(self, sender: str, m: Message, again: bool = False) -> None:
        self.right = lambda: 1e18
        super().act(sender, m, again)


class Hasty(Office):
    """A new owner asks nobody."""

    def needs(self, key: str, homes: tuple[str, ...]) -> list[str] | None:
        return []


class Unproven(Office):
    """A new owner acts though nothing says that it is not cut off."""

    def needs(self, key: str, homes: tuple[str, ...]) -> list[str] | None:
        self.lease = -1e18
        return super().needs(key, homes)


class Adopting(Office):
    """An owner counts on from whatever tenure it is told of."""

    def mend(self, held: Held) -> bool:
        deposed, sure = set(self.deposed), dict(self.sure)
        found = super().mend(held)
        self.deposed, self.sure = deposed, sure
        return found


class Careless(Office):
    """The owner takes a write from whichever site."""

    def act(self, sender: str, m: Message, again: bool = False) -> None:
        held = self.get(m["b"].key) if m["w"] == "write" else None
        if held is not None:
            new = held.bill.site, held.bill.move, held.bill.turn + 1
            m = m | {"b": changed(m["b"], *new)}
        super().act(sender, m, again)


class Mute(Office):
    """Nobody tells a new pair what it has."""

    def tell_on(self) -> None:
        pass


class Forgetful(Office):
    """A full store says none of what it has forgotten."""

    def needs(self, key: str, homes: tuple[str, ...]) -> list[str] | None:
        self.blind_until = 0.0
        return super().needs(key, homes)


def changed(bill: Bill, site: str, move: int, turn: int) -> Bill:
    from msgspec.structs import replace

    return replace(bill, site=site, move=move, turn=turn)


GUARDED: dict[str, type[Office]] = {
    "unfenced": Unfenced, "rightless": Rightless, "hasty": Hasty, "careless": Careless, "mute": Mute,
    "forgetful": Forgetful, "unproven": Unproven, "adopting": Adopting,
}  # fmt: skip


KINDS = ("kill", "cut", "freeze", "stall", "stall", "region", "server", "server", "pool")


def troubles(world: World, until: float, kinds: tuple[str, ...] = KINDS) -> None:
    """Drawn: gateways killed, cut off, stopped and continued, regions lost, servers restarted and away.

    One at a time, and the next not before the last one's records have found their new places: a deployment is
    to bear the loss of a machine, a zone or a region, and the three who have a record may be lost by two.
    """
    draw, at = world.draw, 1.0
    while at < until:
        kind = draw.choice(kinds)
        name, lasts = draw.choice(list(world.sites)), draw.uniform(0.3, 9.0)
        begin, end = trouble(world, kind, name, draw)
        world.at(at, begin)
        world.at(at + lasts, end)
        at += max(lasts, APART) + draw.uniform(0.0, 3.0)


def trouble(
    world: World, kind: str, name: str, draw: random.Random
) -> tuple[Callable[[], None], Callable[[], None]]:
    region = world.sites[name].region
    inside = [n for n, s in world.sites.items() if s.region == region]
    place = draw.choice(list(world.servers))
    ways: dict[str, tuple[Callable[[], None], Callable[[], None]]] = {
        "kill": (lambda: world.kill(name), lambda: world.start(name)),
        "cut": (lambda: world.cut_off([name]), world.join),
        "freeze": (lambda: world.freeze(name), lambda: world.thaw(name)),
        "stall": (partial(world.stalls.add, name), lambda: world.thaw(name)),
        "region": (partial(each, world.kill, inside), partial(each, world.start, inside)),
        "server": (lambda: world.restart(place), lambda: None),
        "pool": (lambda: world.restart(place, 8.0), lambda: None),
    }
    return ways[kind]


def each(act: Callable[[str], None], names: list[str]) -> None:
    for name in names:
        act(name)


def play(seed: int, lasts: float = 40.0, kinds: tuple[str, ...] = KINDS, **settings: object) -> World:
    """One drawn schedule to its end; the troubles end before the callers do, so that all may finish."""
    world = World(seed, **settings)  # type: ignore[arg-type]
    world.live_callers()
    troubles(world, lasts - 12.0, kinds)
    world.stop_at = lasts
    world.run(lasts + 40.0)
    return world
