"""Choice of the server for an attempt, the limit on attempts in flight, and what outcomes change in both."""

from __future__ import annotations

import math
from collections import defaultdict
from hashlib import blake2b

from barleyhub import interface as api
from barleyhub.interface import Code, Group, ListForm, Repeat, ServerState
from barleyhub.state import GatewayState, Health, Job, Server, ServerGroup

RATE_DECAY_S = 8.0  # time constant of the rate at which warm servers answer
SMOOTHING = 0.15  # smoothing factor of a server's latency and of the share of slow answers
SLOW_SMOOTHING = 0.015  # smoothing factor of the latency of classes and groups
ERROR_PENALTY = 4.0  # a server that always fails counts as slower by this factor plus one
COLD_LIMIT_SHARE = 0.75  # of fall_multiple; the most that a cold server gets from all gateways on average
PRIOR_UNITS = 0.1  # weight of the initial rate: one unit per warm server and mean target latency
CHANCE_UNITS, MAX_BONUS_GAP_S = 16.0, 0.3  # units per window without any bonus; longest gap with one
CROSS_ZONE_PENALTY = 10.0  # slowdown that a server in another zone counts with, per cross-zone price
TIE_BREAK_SPREAD = 0.1  # random factor that keeps gateways from choosing alike
SUBSET_SIZE = 12  # servers that a gateway sends to, at least, and candidates for an attempt, at most
MIN_GATEWAYS_PER_SERVER = 8.0
SLOW_ANSWER_SHARE = 0.6  # of the target latency; a longer answer is slow
MAX_SLOW_SHARE = 0.2  # share of slow answers above which the in-flight limit falls
INITIAL_LIMIT, MIN_LIMIT = 6.0, 2.0  # attempts in flight per warm server, from all gateways
MAX_LIMIT_INCREASE = 0.25  # attempts per server that one quick answer adds to a limit in use
LIMIT_CUT = 0.85  # factor on the limit per latency interval with too many slow answers
MIN_CLASS_SHARE = 0.75  # of the limit; for the class of the least value per unit of work
EXTRA_SHARE = 0.4  # of the limit; for requests admitted beyond a quota
FAILURE_CODES = (Code.ERROR, Code.FULL, Code.UNREACHABLE, Code.RESET)


def ring_position(name: str) -> bytes:
    """Sort key of a server, the same at all gateways."""
    return blake2b(name.encode(), digest_size=8).digest()


def ring_stride(gateways: int) -> int:
    """A step, coprime to the number of gateways, that puts gateways of neighbouring indexes far apart."""
    step = max(round(gateways * 0.618), 1)
    while math.gcd(step, gateways) > 1:
        step += 1
    return step


class Fleet(GatewayState):
    """The servers that this gateway sends to, and the limit on attempts in flight."""

    def on_serverlist(self, event: api.ServerList, now: float) -> None:
        """Apply a full server list or changes to the one known."""
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
                group = ServerGroup.with_prior(PRIOR_UNITS, self.target_latency * self.shared_by, now)
                group = self.groups.setdefault((entry.zone, entry.kind), group)
                self.servers[entry.server] = Server(entry, Health(now), group, now)
            else:
                known.entry = entry
        self.assign_servers(now)

    def on_maintenance(self, event: api.Maintenance, now: float) -> None:
        """Send nothing new to servers in maintenance; those put back are cold until discovery lists them."""
        self.in_maintenance, self.returned_servers = event.out, event.back
        self.assign_servers(now)

    def assign_servers(self, now: float) -> None:
        """Choose this gateway's subset: an arc of a ring of servers that is the same at all gateways."""
        zones = defaultdict(list)
        names = [n for n in self.servers if n not in self.excluded_servers and n not in self.in_maintenance]
        for name in sorted(names, key=ring_position):
            zones[self.servers[name].entry.zone].append(self.servers[name])
        # Each zone's servers are spread evenly, so that every arc holds its share of each zone.
        ring = [((j + 0.5) / len(z), n, s) for n, z in sorted(zones.items()) for j, s in enumerate(z)]
        ring.sort(key=lambda place: place[:2])
        total, gateways = len(ring), max(self.settings.gateways, 1)
        size = min(total, max(SUBSET_SIZE, math.ceil(MIN_GATEWAYS_PER_SERVER * total / gateways)))
        first = total * (self.settings.index * ring_stride(gateways) % gateways) // gateways
        self.subset = [ring[(first + n) % total][2] for n in range(size)]
        self.shared_by = gateways * size / total if total else gateways
        self.split_by_warmup(now)

    def split_by_warmup(self, now: float) -> None:
        """Separate the warm servers from the cold ones."""
        for group in self.groups.values():
            group.reset_warm_count(RATE_DECAY_S, now)
        self.warm = [s for s in self.subset if self.warmup_capacity(s, now) >= 1.0]
        self.cold = [s for s in self.subset if self.warmup_capacity(s, now) < 1.0]
        for server in self.warm:
            server.group.warm_count += 1

    def warmup_capacity(self, server: Server, now: float) -> float:
        """The share of a warm server's capacity that a server has after its start."""
        s, (out, back) = self.settings, self.returned_servers.get(server.entry.server, (0.0, 0.0))
        launched = server.entry.launched if server.entry.launched >= out else back
        if not s.cold_time or not launched or now >= launched + s.cold_time:
            return 1.0
        return s.start_capacity + (1 - s.start_capacity) * max(now - launched, 0.0) / s.cold_time

    def unit_rate(self, entry: api.ServerEntry) -> float:
        """Units per second that a warm server of this kind answered, in any zone, as its own may be down."""
        groups = [group for (_, kind), group in self.groups.items() if kind == entry.kind]
        units, sizes = sum(g.answered_units for g in groups), sum(g.size_weighted_units for g in groups)
        return min(entry.size * units / sizes, 1.0) * units / sum(group.server_time for group in groups)

    def due_cold_server(self, job: Job, now: float) -> list[Server]:
        """The cold server that this attempt is due to, if any, and the warm ones if it is for a bonus."""
        limit, window = COLD_LIMIT_SHARE * self.settings.fall_multiple, self.settings.fall_time
        steady = max(1.0, limit / 2)
        rates = [self.warmup_capacity(s, now) * self.unit_rate(s.entry) for s in self.cold]
        credit = min(now - self.cold_credit_since, window * (limit / steady - 1))
        gap = min(credit, job.request.units / max(steady * sum(rates), 1e-9))
        self.cold_credit_since = now - credit + gap  # what exceeds this attempt remains due
        draw = self.random.random() * job.request.units
        for rate, server in zip(rates, self.cold, strict=True):
            draw -= steady * rate * gap
            if bonus := draw >= 0:
                most = limit * (1 - 1 / math.sqrt(max(rate * self.shared_by * window - CHANCE_UNITS, 1.0)))
                draw -= max(most - steady, 0.0) * rate * min(gap, MAX_BONUS_GAP_S)
            if draw < 0:
                return [] if server.entry.server in job.tried else [server, *(self.warm if bonus else ())]
        return []

    def allowed(self, job: Job, servers: list[Server]) -> list[Server]:
        """Those that were not excluded when the job arrived and that its class allows for a retry."""
        if job.excluded_servers:
            servers = [s for s in servers if s.entry.server not in job.excluded_servers]
        field = {Group.ZONE: "zone", Group.CELL: "cell"}.get(job.service.group)
        if job.may_have_run and job.service.repeat is Repeat.KEYED and field:
            return [s for s in servers if getattr(s.entry, field) == getattr(job.first_server, field)]
        return servers

    def pick_server(self, job: Job, now: float) -> Server | None:
        """A cold server that is due, else the one of a few random warm ones with the least expected time."""
        if any(self.warmup_capacity(server, now) >= 1.0 for server in self.cold):
            self.split_by_warmup(now)
        servers = self.allowed(job, self.due_cold_server(job, now)) or self.allowed(job, self.warm)
        servers = [s for s in servers if s.entry.server not in job.tried] or servers
        if len(servers) > SUBSET_SIZE:
            servers = self.random.sample(servers, SUBSET_SIZE)
        return min(servers, key=lambda server: self.score(server, job, now), default=None)

    def score(self, server: Server, job: Job, now: float) -> float:
        """The expected time; a server that owes answers counts as slow for as long as none comes."""
        usual = self.latency * server.group.slowdown * server.health.slowdown
        late = max(usual, now - server.unanswered_since if server.in_flight else 0.0)
        far = CROSS_ZONE_PENALTY * self.settings.cross_zone_price * (server.entry.zone != self.settings.zone)
        factor = 1 + far + TIE_BREAK_SPREAD * self.random.random()
        errors = server.error_rate((job.service.name, job.account.plan.name), now)
        return late * (1 + server.in_flight + server.backlog(now)) * (1 + ERROR_PENALTY * errors) * factor

    def sheds(self, service: api.ClassSettings, extra: bool, now: float) -> bool:
        """Whether to shed a request, at random, as the bound of one gateway may be below one attempt."""
        most = max(c.worth / self.slowdowns[c.name] for c in self.settings.classes)
        worth = service.worth / self.slowdowns[service.name] / most
        share = EXTRA_SHARE if extra else MIN_CLASS_SHARE + (1 - MIN_CLASS_SHARE) * worth
        bound = self.in_flight_bound(now) * share
        bound += 0.0 if extra else min(bound, 1 / (1 + bound))
        for c in self.settings.classes:
            for job in self.pop_unanswered(c.name, now - SLOW_ANSWER_SHARE * c.aim):
                job.counted_slow = True
                self.adapt_limit(1.0, now)
        load = min(self.in_flight, max(self.mean_in_flight, self.in_flight / 4))
        # Where all servers are cold, what is due to them is limited already.
        return bool(self.warm) and self.random.random() >= bound - load

    def in_flight_bound(self, now: float) -> float:
        """This gateway's share of the limit on attempts in flight; cold servers count by their capacity."""
        capacity = len(self.warm) + sum(self.warmup_capacity(s, now) for s in self.cold)
        return self.in_flight_limit * capacity / self.shared_by  # by all servers: too much when most drain

    def adapt_limit(self, slow: float, now: float) -> None:
        """Raise or cut the in-flight limit by the share of slow answers; ``slow`` is 1 for a slow answer."""
        self.slow_share += (slow - self.slow_share) * SMOOTHING
        intervals, self.limit_adapted_at = (now - self.limit_adapted_at) / self.latency, now
        bound = self.in_flight_bound(now)
        if self.slow_share > MAX_SLOW_SHARE:
            self.in_flight_limit = max(self.in_flight_limit * max(LIMIT_CUT**intervals, 0.5), MIN_LIMIT)
        elif self.in_flight >= bound * MIN_CLASS_SHARE and bound:
            increase = min(1 / bound, MAX_LIMIT_INCREASE * len(self.subset) / self.shared_by)
            self.in_flight_limit *= 1 + increase / bound

    def update_estimates(self, server: Server, event: api.Outcome, job: Job, now: float) -> None:
        """Update the estimates from an outcome; a fast failure never makes a server look fast."""
        server.unanswered_since = now
        server.update_load_report(event.report, now)
        name = job.service.name
        took = event.took / self.slowdowns[name]
        if event.code in (Code.OK, Code.TIMEOUT):
            # A timeout may be the server's own fault, so it counts as half a slow answer.
            slow = event.took > SLOW_ANSWER_SHARE * job.service.aim
            if not job.counted_slow:
                self.adapt_limit(slow if event.code is Code.OK else 0.5, now)
            if event.code is Code.OK:
                self.latency += (took - self.latency) * SLOW_SMOOTHING
                self.slowdowns[name] += (event.took / self.latency - self.slowdowns[name]) * SLOW_SMOOTHING
                if self.warmup_capacity(server, now) >= 1.0:
                    server.group.record_answer(job.request.units, server.entry.size, RATE_DECAY_S, now)
            ratio = took / self.latency
            if event.code is Code.OK or ratio > server.group.slowdown * server.health.slowdown:
                server.health.slowdown += (ratio / server.group.slowdown - server.health.slowdown) * SMOOTHING
                server.group.slowdown += (ratio - server.group.slowdown) * SLOW_SMOOTHING
        failed = event.code in FAILURE_CODES
        # A timeout counts only against the class on this server, and in overload against nothing.
        timed_out = event.code is Code.TIMEOUT and self.slow_share <= MAX_SLOW_SHARE
        by_label = ((name, failed or timed_out), (job.account.plan.name, failed))
        server.record_outcome(failed, by_label, now, event.code is Code.RESET)
