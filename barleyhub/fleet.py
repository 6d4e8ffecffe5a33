"""Which server an attempt goes to, how many may be out, and what their outcomes teach."""

from __future__ import annotations

import math
from collections import defaultdict
from hashlib import blake2b

from barleyhub import interface as api
from barleyhub.interface import Code, Group, ListForm, Repeat, ServerState
from barleyhub.state import GatewayState, Health, Job, Pool, Server

PACE_DEPTH = 8.0  # s; what a warm server answers, and so what a cold one is given, is averaged over this
GAIN = 0.15  # weight of a new answer in averages of answer times and of slow answers
SLOW_GAIN = 0.015  # weight of a new answer in the classes' usual times
ERROR_COST = 4.0  # a server failing always counts as this many times slower, and one
SPENT = 0.75  # of fall_multiple; what all gateways send a cold server on average at the very most
SUPPOSED = 0.1  # units; weight of what holds before any answer: one unit a warm server and mean aim
FEW, MORE_GAP = 16.0, 0.3  # units in a window that are left to chance; s, the longest gap of a quick one
FAR_COST = 10.0  # times the price of crossing zones: how much slower another zone counts
TIE = 0.1  # spread of the random factor that keeps gateways from choosing alike
SAMPLE = 12  # servers that a gateway sends to, at least, and that it looks at for an attempt
HOLDERS = 8.0  # gateways that send to one server, at least
TARGET = 0.6  # an answer that takes more than this share of its aim is slow ...
SLOW_SHARE = 0.2  # ... and when more than this share are, the limit on attempts out falls
LIMIT_START, LIMIT_LEAST = 6.0, 2.0  # attempts out a warm server by all gateways: at first, and always
LIMIT_GROWTH = 0.25  # attempts a server; what a quick answer adds at most when the limit is used
LIMIT_CUT = 0.85  # what a slow round leaves of the limit on attempts out
LEAST_WORTH = 0.75  # share of the limit open to the class of least worth for its work
EXTRA_SHARE = 0.4  # share of the limit open to what goes on beyond a quota
FAULTS = (Code.ERROR, Code.FULL, Code.UNREACHABLE, Code.RESET)


def digest(name: str) -> bytes:
    """A place among all servers that tells nothing of them, and is the same at all gateways."""
    return blake2b(name.encode(), digest_size=8).digest()


def stride(gateways: int) -> int:
    """Steps that lead once round all gateways, two neighbours never close: by the golden section."""
    step = max(round(gateways * 0.618), 1)
    while math.gcd(step, gateways) > 1:
        step += 1
    return step


class Fleet(GatewayState):
    """The servers that this gateway sends to, and the limit on what is out there."""

    def on_serverlist(self, event: api.ServerList, now: float) -> None:
        if event.form is ListForm.LOST:
            self.actions.append(api.Follow())
        elif event.form is not ListForm.CHANGES:
            listed = {entry.server for entry in event.entries}
            self.servers = {name: known for name, known in self.servers.items() if name in listed}
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is not ServerState.ACTIVE:
                self.servers.pop(entry.server, None)
            elif known is None or known.entry.launched != entry.launched:
                pool = Pool.supposed(SUPPOSED, self.aim * self.holders, now)
                pool = self.groups.setdefault((entry.zone, entry.kind), pool)
                self.servers[entry.server] = Server(entry, Health(now), pool, now)
            else:
                known.entry = entry
        self.share_out(now)

    def on_maintenance(self, event: api.Maintenance, now: float) -> None:
        """Nothing new goes to who is out by hand; who was put back is cold, though no list may tell yet."""
        self.banned, self.returned = event.out, event.back
        self.share_out(now)

    def share_out(self, now: float) -> None:
        """Choose this gateway's servers: its arc of a ring on which all gateways see all servers alike.

        Arcs are of one length and begin at even distances, gateways of neighbouring numbers far apart, as
        they share customers. A server that comes or goes moves the ends of an arc by one place.
        """
        zones = defaultdict(list)
        names = [name for name in self.servers if name not in self.aside and name not in self.banned]
        for name in sorted(names, key=digest):
            zones[self.servers[name].entry.zone].append(self.servers[name])
        # Each zone's servers lie at even distances, so that every arc holds its part of each zone.
        ring = [((j + 0.5) / len(z), n, s) for n, z in sorted(zones.items()) for j, s in enumerate(z)]
        ring.sort(key=lambda place: place[:2])
        total, gateways = len(ring), max(self.settings.gateways, 1)
        size = min(total, max(SAMPLE, math.ceil(HOLDERS * total / gateways)))
        first = total * (self.settings.index * stride(gateways) % gateways) // gateways
        self.mine = [ring[(first + n) % total][2] for n in range(size)]
        self.holders = gateways * size / total if total else gateways
        self.sort(now)

    def sort(self, now: float) -> None:
        """Part the warm servers from the cold ones."""
        for pool in self.groups.values():
            pool.recount(PACE_DEPTH, now)
        self.fleet = [s for s in self.mine if self.warmth(s, now) >= 1.0]
        self.cold = [s for s in self.mine if self.warmth(s, now) < 1.0]
        for server in self.fleet:
            server.group.warm += 1

    def warmth(self, server: Server, now: float) -> float:
        """The part of a warm server's work that a cold one can surely do."""
        s, (since, back) = self.settings, self.returned.get(server.entry.server, (0.0, 0.0))
        launched = server.entry.launched if server.entry.launched >= since else back
        if not s.cold_time or not launched or now >= launched + s.cold_time:
            return 1.0
        return s.start_capacity + (1 - s.start_capacity) * max(now - launched, 0.0) / s.cold_time

    def rate(self, entry: api.ServerEntry) -> float:
        """Units a second that a warm server like it answered here in any zone (its own may be lost)."""
        pools = [pool for (_, kind), pool in self.groups.items() if kind == entry.kind]
        units, sizes = sum(pool.units for pool in pools), sum(pool.sizes for pool in pools)
        return min(entry.size * units / sizes, 1.0) * units / sum(pool.time for pool in pools)

    def due(self, job: Job, now: float) -> list[Server]:
        """The cold server that this attempt is due to, if any; nothing else goes to a cold one.

        By a chance that gives it SPENT of the rule's figure at most from all gateways: docs/design.md.
        """
        spent, window = SPENT * self.settings.fall_multiple, self.settings.fall_time
        steady = max(1.0, spent / 2)
        parts = [self.warmth(server, now) * self.rate(server.entry) for server in self.cold]
        saved = min(now - self.drawn_at, window * (spent / steady - 1))
        gap = min(saved, job.request.units / max(steady * sum(parts), 1e-9))
        self.drawn_at = now - saved + gap  # what makes more than one attempt stays due
        draw = self.random.random() * job.request.units
        for part, server in zip(parts, self.cold, strict=True):
            draw -= steady * part * gap
            if more := draw >= 0:
                most = spent * (1 - 1 / math.sqrt(max(part * self.holders * window - FEW, 1.0)))
                draw -= max(most - steady, 0.0) * part * min(gap, MORE_GAP)
            if draw < 0:
                return [] if server.entry.server in job.tried else [server, *(self.fleet if more else ())]
        return []

    def allowed(self, job: Job, servers: list[Server]) -> list[Server]:
        """Those to which the class's rule lets a repeat go, and that were not set aside when it came."""
        if job.aside:
            servers = [s for s in servers if s.entry.server not in job.aside]
        field = {Group.ZONE: "zone", Group.CELL: "cell"}.get(job.kind.group)
        if job.ran and job.kind.repeat is Repeat.KEYED and field:
            return [s for s in servers if getattr(s.entry, field) == getattr(job.first, field)]
        return servers

    def pick(self, job: Job, now: float) -> Server | None:
        """A cold server that is due, else of a few warm ones drawn the least expected time."""
        if any(self.warmth(server, now) >= 1.0 for server in self.cold):
            self.sort(now)
        servers = self.allowed(job, self.due(job, now)) or self.allowed(job, self.fleet)
        servers = [s for s in servers if s.entry.server not in job.tried] or servers
        if len(servers) > SAMPLE:
            servers = self.random.sample(servers, SAMPLE)
        return min(servers, key=lambda server: self.score(server, job, now), default=None)

    def score(self, server: Server, job: Job, now: float) -> float:
        """Time expected; attempts out without any news make a server slow meanwhile."""
        pace = self.latency * server.group.pace * server.own.pace
        late = max(pace, now - server.heard_at if server.out else 0.0)
        far = FAR_COST * self.settings.cross_zone_price * (server.entry.zone != self.settings.zone)
        chance = 1 + far + TIE * self.random.random()
        errors = server.errors((job.kind.name, job.account.plan.name), now)
        return late * (1 + server.out + server.backlog(now)) * (1 + ERROR_COST * errors) * chance

    def full(self, kind: api.ClassSettings, extra: bool, now: float) -> bool:
        """Whether to refuse early: a chance, since a gateway's part may be under one attempt."""
        most = max(c.worth / self.ratios[c.name] for c in self.settings.classes)
        worth = kind.worth / self.ratios[kind.name] / most
        part = EXTRA_SHARE if extra else LEAST_WORTH + (1 - LEAST_WORTH) * worth
        bound = self.bounds(now) * part
        bound += 0.0 if extra else min(bound, 1 / (1 + bound))
        for each in self.settings.classes:
            # Without an answer for so long it is slow already; each attempt counts once.
            for job in self.unanswered(each.name, now - TARGET * each.aim):
                job.slow = True
                self.adapt(1.0, now)
        crowd = min(self.out, max(self.busy, self.out / 4))
        # Cold ones alone get what is due to them and no more: two chances would leave them nearly nothing.
        return bool(self.fleet) and self.random.random() >= bound - crowd

    def bounds(self, now: float) -> float:
        """This gateway's part of the limit on attempts out, cold servers by their warmth."""
        # By what the servers can do: when most are drained or cold at once, what all could bear jams them.
        strength = len(self.fleet) + sum(self.warmth(server, now) for server in self.cold)
        return self.limit * strength / self.holders

    def adapt(self, slow: float, now: float) -> None:
        """Bound the work out by slow answers, of overload or a slow fleet; a few heavy ones do little."""
        self.slow += (slow - self.slow) * GAIN
        rounds, self.heard_at = (now - self.heard_at) / self.latency, now
        bound = self.bounds(now)
        if self.slow > SLOW_SHARE:
            self.limit = max(self.limit * max(LIMIT_CUT**rounds, 0.5), LIMIT_LEAST)
        elif self.out >= bound * LEAST_WORTH and bound:
            gain = min(1 / bound, LIMIT_GROWTH * len(self.mine) / self.holders)
            self.limit *= 1 + gain / bound

    def judge(self, server: Server, event: api.Outcome, job: Job, now: float) -> None:
        """Learn from an outcome; a fast failure never makes a server look fast."""
        server.heard_at = now
        server.told(event.report, now)
        name = job.kind.name
        took = event.took / self.ratios[name]
        if event.code in (Code.OK, Code.TIMEOUT):
            # An attempt without any answer may be the server's fault: half a sign of overload.
            late = event.took > TARGET * job.kind.aim
            if not job.slow:
                self.adapt(late if event.code is Code.OK else 0.5, now)
            if event.code is Code.OK:
                self.latency += (took - self.latency) * SLOW_GAIN
                self.ratios[name] += (event.took / self.latency - self.ratios[name]) * SLOW_GAIN
                if self.warmth(server, now) >= 1.0:
                    server.group.answered(job.request.units, server.entry.size, PACE_DEPTH, now)
            pace = took / self.latency
            if event.code is Code.OK or pace > server.group.pace * server.own.pace:
                server.own.pace += (pace / server.group.pace - server.own.pace) * GAIN
                server.group.pace += (pace - server.group.pace) * SLOW_GAIN
        fault = event.code in FAULTS
        # Silence counts against the class on this server alone, and in overload against nobody.
        silent = event.code is Code.TIMEOUT and self.slow <= SLOW_SHARE
        named = ((name, fault or silent), (job.account.plan.name, fault))
        server.note(fault, named, now, event.code is Code.RESET)
