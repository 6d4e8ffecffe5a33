"""Puts the data plane's parts together, and runs them from start to SIGTERM."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any

from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState
from barleyhub.line.dispatch import Dispatcher
from barleyhub.line.outliers import OutlierDetector
from latchspoke import node_process
from latchspoke.configuration.patch import apply_patch
from latchspoke.configuration.routes import Table, compile_table
from latchspoke.core import Epoch, Forward
from latchspoke.dataplane.core import LineCore
from latchspoke.dataplane.counts import STEP, Counts
from latchspoke.dataplane.downstream import ClientConnection, Downstream
from latchspoke.dataplane.feed import FIRST, Feed, Source, near
from latchspoke.dataplane.relay import Relay
from latchspoke.dataplane.upstream import UpstreamPools
from latchspoke.distribution.board import Follower, Lease
from latchspoke.membership.protocol import MembershipEvent
from latchspoke.membership.transport import COMPRESSION_META_KEY
from latchspoke.net.clock import Clock, Timer
from latchspoke.net.http import GRACE, Dialer, Shared, Sockets, pending
from latchspoke.net.stats import Stats
from latchspoke.node_process import EDGE_PORT, NodeProcess
from latchspoke.outliers.ledger import read as read_evidence
from latchspoke.reach.graph import Graph
from latchspoke.registry.registry import BeatError, Entry
from latchspoke.transport.door import PRESENT, Answer, Caller, Door
from latchspoke.transport.log import log
from latchspoke.transport.wire import Message, Wire

if TYPE_CHECKING:  # loaded only where a route asks for it
    from latchspoke.dataplane.travel import Travel

SWEEP = 0.5  # s
LEASE_PART = 0.9  # of revokeS: how long a proof lasts
GONE_AFTER = 0.5  # s at least from when somebody was last heard to when it is taken for gone
YOUNG = 5.0  # s after a start in which a quota may be used up by this process' former life, if no bound tells
# s after it is old in which a latecomer, as a host, gives no more than those who tell it may use
HOSTS_ANEW = 2.0
LISTEN_ON = 0.5  # of graceS: so long after SIGTERM new connections still come
END_BEFORE = 0.35  # s before graceS is over
LIVE_EVERY = 0.1  # s
BUSY = 0.25  # s after a request in which ``STEP`` passes between two steps
STEP_IDLE = 0.25  # s between two steps else
BURY_EVERY = 5.0  # s between looks for lives that ended long ago
TELL = 5.0  # s between lines that tell counts
MANY = 24  # live gateways; where there are fewer, each sees servers often enough, and tells nothing
TESTIFY = 0.2  # s between words on servers' failures, at least
TESTIFY_CALM = 0.8  # and where there are successes only
LEASE_OPEN = 1e9  # s; where keys need not be closed


class Ports:
    """The core's ports on sockets."""

    counts: Counts  # comes once it is made

    def __init__(self, upstream_pools: UpstreamPools, clock: Clock) -> None:
        self.upstream_pools, self.clock = upstream_pools, clock

    def forward(self, forward: Forward) -> None:
        self.upstream_pools.forward(forward)

    def drop(self, forward: Forward) -> None:
        self.upstream_pools.drop(forward)

    def count(self, name: int, amount: float, life: float) -> None:
        """A request waits for a total: what is due goes out now."""
        self.counts.step(self.clock.now())

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        return self.clock.schedule(when, call)


def hosts_nothing(meta: Mapping[str, Any], elders: bool) -> bool:
    """Whether a gateway leaves, or has come back beside others (``elders``: some are there) and isn't old."""
    if meta.get("old") or meta.get("leaves"):
        return bool(meta.get("leaves"))
    told = meta.get("late")
    return elders if told is None else bool(told)


class Node(NodeProcess):
    """One gateway on its sockets."""

    PORT = EDGE_PORT

    def fit(self) -> None:
        s, self.stats = self.settings, Stats()
        self.shared = Shared(self.clock, self.stats, Sockets(s.file_descriptors - 200), Dialer(self.loop))
        bound = s.bound
        self.stock = Balancer(
            s.name,
            s.zone,
            s.region,
            self.draw,
            s.heartbeat_interval_s,
            bound("coldExcess", 1.0),
            bound("coldSlack", 0.0),
        )
        self.dispatcher = Dispatcher(
            self.stock, self.draw, bound("retryRatio", 0.1), bound("retrySlack", 10.0), self.stats
        )
        self.upstream_pools = UpstreamPools(self.shared, self.stock, 64 * 1024 * 1024)
        self.ports = Ports(self.upstream_pools, self.clock)
        self.core = LineCore(self.dispatcher, self.ports, self.stats)
        self.upstream_pools.core = self.core
        self.graph = self.core.graph = Graph(self.clock.now())
        self.core.right = self
        self.downstream = Downstream(self.shared, self.core, self.draw, self.epoch)
        self.downstream.proven = lambda: self.lease.proven_at > -math.inf and self.met()
        deny = bound("configApplyS", 3.0) * LEASE_PART
        self.downstream.recent = lambda: self.clock.now() - self.lease.proven_at < deny
        closed = bool(bound("revocationEnforced", 1.0))
        self.lease = Lease(bound("revokeS", 5.0) * LEASE_PART if closed else LEASE_OPEN)
        self.right: Epoch | None = None
        self.feed = Feed(
            s.name, s.zone, s.region, self.clock, self.draw, Follower(self.board, apply_patch),  # type: ignore[arg-type]
            self.lease, self.sources, self.changed, self.evidence, bound("contactS", 4.0) / FIRST,
        )  # fmt: skip
        self.relay = Relay(self.clock, self.is_control)
        self.feed.relay = self.relay.heard
        self.examiner = OutlierDetector(s.zone)
        self.witnessed_at = -math.inf
        self.counts = Counts(
            s.name,
            self.life,
            self.clock,
            self.dispatcher,
            lambda told: self.core.give(told, self.clock.now()),  # type: ignore[arg-type]
        )
        self.ports.counts = self.counts
        self.travel: Travel | None = None
        if closed:  # what was dealt to one that is cut off is its own until its lease ends
            self.dispatcher.hold_s = max(self.lease.lasts - GONE_AFTER, 0.0)
        self.begun_at, self.old = self.clock.now(), s.initial_start
        # Whether it came beside others that had begun long before; told once it is ready for the first time.
        self.late: bool | None = False if s.initial_start else None
        self.old_at = self.begun_at + bound("quotaWindowS", YOUNG)
        if not s.initial_start:
            self.dispatcher.burst_unknown_until = self.old_at
        self.post = self.member(self.meta(False))
        self.post.on_multicast = self.overheard
        self.ready = False
        self.told_at, self.told = self.clock.now(), dict[str, int]()
        self.stopping_at = 0.0
        self.live_at, self.live_due = -math.inf, False
        self.flows_seen, self.busy_until = 0, -math.inf
        self.buried_at = self.begun_at

    def meta(self, ready: bool) -> dict[str, Any]:
        s = self.settings
        front = s.listen_addresses.get("frontPlain", ("", 0))
        return {
            "role": "edge", "zone": s.zone, "region": s.region, "front": f"{front[0]}:{front[1]}",
            "link": self.link, "ready": ready, COMPRESSION_META_KEY: True,
            "door": s.listen_addresses.get("readiness", ("", 0))[1], "old": self.old,
        } | ({"leaves": True} if self.downstream.stopping else {}) | (
            {} if self.old or self.late is None else {"late": self.late}
        )  # fmt: skip

    def is_control(self, link: str) -> bool:
        """Whether a live control machine has this inner address."""
        alive = self.post.membership.alive.values()
        return any(m.meta.get("role") == "core" and m.meta.get("link") == link for m in alive)

    # The right to act.

    def now(self) -> float:
        return self.clock.now()

    def epoch(self) -> Epoch | None:
        """The right to act with keys under the version in force, or None."""
        if self.right is None or self.clock.now() >= self.lease.until:
            return None
        self.right.until = self.lease.until
        return self.right

    def met(self) -> bool:
        """Whether another process is known: alone, this gateway would take all that is shared for its own.

        After a while it is the only one, or cut off from all others.
        """
        return self.old or len(self.post.membership.alive) > 1

    # What is told.

    def sources(self) -> list[Source]:
        """Control machines, those of the seeds also before anybody has told of them, then gateways."""
        alive = [m for m in self.post.membership.alive.values() if m.name != self.settings.name]
        control = near([m for m in alive if m.meta.get("role") == "core"], False)
        known = {source.address for source in control}
        for address in self.seeds():
            if address not in known:
                control.append(Source(f"seed {address[0]}", address, "", ""))
        others = near([m for m in alive if m.meta.get("role") == "edge" and m.meta.get("ready")], True)
        return control + others

    def changed(self, ordered: bool, entries: list[Entry]) -> None:
        now = self.clock.now()
        if ordered:
            self.take_orders(now)
        for entry in entries:
            self.take_server(entry, now)
        if self.feed.follower.differing:
            self.stats["pools.differ"] += 1
        self.settle()

    def overheard(self, message: Message) -> None:
        """A control machine tells all gateways that a server has turned cold, or leaves."""
        try:
            entries = self.feed.follower.overheard(message["e"], self.clock.now())
        except (BeatError, KeyError, TypeError, ValueError):
            return
        if entries:
            self.changed(False, entries)

    def take_orders(self, now: float) -> None:
        orders = self.board.orders
        assert orders.doc is not None or not orders.version
        if orders.doc is not None and (
            self.downstream.table is None or self.downstream.table.version != orders.version
        ):
            table: Table = compile_table(orders.doc)  # type: ignore[arg-type]
            self.stock.cold_limits = {n: ColdLimit(s.cold_s, s.cold_per_s) for n, s in table.services.items()}
            self.stock.revision += 1
            if self.dispatcher.affinity is None and any(r.affinity for r in table.routes.values()):
                from barleyhub.affinity.selection import AffinitySelector

                self.dispatcher.affinity = AffinitySelector(self.stock)
            if self.travel is None and any(r.affinity and r.affinity.travels for r in table.routes.values()):
                from latchspoke.dataplane.travel import Travel

                self.travel = Travel(self)
                self.live()
            self.upstream_pools.caps = {n: s.conn_limit for n, s in table.services.items()}
            self.upstream_pools.most_body = max(table.limits.body_bytes, 1 << 20)
            # One step between two events: what came before goes on under its own epoch's end.
            self.downstream.table, self.downstream.limits = table, table.limits
            self.counts.prepare({tenant.name for tenant in table.tenants.values() if tenant.rate})
            self.right = Epoch(f"{orders.version:08x}", self.lease.until)
            log("orders", version=f"{orders.version:08x}", index=orders.index)
        if orders.evacuated != self.stock.evacuated:
            self.stock.set_evacuated_zones(orders.evacuated, now)
            log("evacuated", zones=",".join(sorted(orders.evacuated)))

    def take_server(self, entry: Entry, now: float) -> None:
        host, _, port = entry.address.rpartition(":")
        region = self.settings.regions_by_zone.get(entry.zone, entry.zone)
        self.stock.put(
            Upstream(
                entry.ident, entry.service, host, int(port or 0), entry.zone, region, entry.slots,
                UpstreamState(int(entry.state)), entry.cold_until, entry.silent,
            ),
            now,
        )  # fmt: skip

    # What gateways see of servers.

    def evidence(self, entries: list[Any]) -> None:
        """Others have seen these fail. Raises EvidenceError."""
        now = self.clock.now()
        for entry in entries:
            self.examiner.learn(*read_evidence(entry), now)
        self.stats["evidence.heard"] += len(entries)
        self.dispatcher.failure_reporter.suspect(self.examiner.received)
        self.examine(now)

    def examine(self, now: float) -> None:
        """Which servers this gateway turns from on the word of others."""
        stock, told = self.stock, self.examiner.received
        if not told and not stock.outlier_shares:
            return
        services = dict.fromkeys(stock.upstreams[ident].service for ident in told if ident in stock.upstreams)
        ready = {
            service: [w.ident for w in stock.services[service].values() if w.state is UpstreamState.READY]
            for service in services
        }
        before, stock.outlier_shares = stock.outlier_shares, self.examiner.failure_shares(ready, now)
        for ident in sorted(before.keys() ^ stock.outlier_shares.keys()):
            log("evidence", server=ident, turned_from=ident in stock.outlier_shares)

    def testify(self, now: float) -> None:
        """Tell what is due: failures soon, the rest now and then."""
        if len(self.dispatcher.gateways) < MANY:
            return
        witness, wire, source = self.dispatcher.failure_reporter, self.feed.wire, self.feed.source
        due = witness.unreported and now - self.witnessed_at >= (TESTIFY if witness.urgent else TESTIFY_CALM)
        if due and wire is not None and source is not None and not source.gateway:
            self.witnessed_at = now
            told = witness.take_report(now)
            self.stats["evidence.told"] += len(told)
            wire.send({"k": "hot", "w": told})

    def prove(self, wire: Wire, tag: int) -> None:
        """Another gateway asks what is proven here, as it reaches no control machine."""
        age = self.clock.now() - self.lease.proven_at
        if age < self.lease.lasts and self.board.orders.index:
            wire.send(
                {"k": "proven", "t": tag, "index": self.board.orders.index, "age": round(age + 0.001, 4)}
            )
        else:
            wire.send({"k": "proven", "t": tag})

    def news(self, news: MembershipEvent) -> None:
        if news.kind in ("joined", "gone", "changed"):
            self.live_soon()
            self.settle()
        if news.kind != "changed":
            log("membership", what=news.kind, who=news.member.name)

    def live_soon(self) -> None:
        """``live``, at once after a pause; at most once in ``LIVE_EVERY`` s where members change often."""
        if self.live_due:
            return
        now = self.clock.now()
        if now - self.live_at >= LIVE_EVERY:
            self.live()
        else:
            self.live_due = True
            self.clock.schedule(self.live_at + LIVE_EVERY, lambda now: self.live())

    def live(self) -> None:
        """Who the live gateways are: duties and budgets are cut by them."""
        edges = {n: m for n, m in self.post.membership.alive.items() if m.meta.get("role") == "edge"}
        now = self.live_at = self.clock.now()
        self.live_due = False
        self.dispatcher.set_gateways({n: str(m.meta.get("zone")) for n, m in edges.items()}, now)
        elders = self.elders()
        hosts_anew = not self.old or (self.late and now < self.old_at + HOSTS_ANEW)
        late = {n for n, m in edges.items() if hosts_nothing(m.meta, elders or self.old)}
        self.counts.live({n: m.address for n, m in edges.items()}, bool(hosts_anew and elders), late)
        if self.travel is not None:
            self.travel.live(edges, now)

    def elders(self) -> bool:
        """Whether other gateways are known that have not just begun."""
        members = self.post.membership.alive.values()
        return any(m.meta.get("old") for m in members if m.name != self.settings.name)

    def settle(self) -> None:
        """Ready is who knows the operator's word, may act by it, and knows of servers."""
        able = (
            self.downstream.table is not None
            and self.clock.now() < self.lease.until
            and bool(self.stock.upstreams)
        ) and self.met()
        ready = able and not self.downstream.stopping
        if ready != self.ready:
            self.ready = ready
            if self.late is None:
                self.late = self.elders()
                self.live()
            self.post.update_meta(self.meta(ready))
            log("ready" if ready else "not-ready", version=self.board.orders.version)
        if able and self.downstream.held:
            self.downstream.resume()

    # Messages of other gateways.

    def heard(self, wire: Wire, message: Message) -> None:
        if message.get("k") in ("c", "counts", "heir"):
            self.counts.count(wire, message)
        elif not self.teller.heard(wire, message) and self.travel is not None and message.get("k") == "w":
            self.travel.heard(message)

    def door(
        self, method: str, target: str, body: bytes, caller: Caller = PRESENT
    ) -> Answer | Awaitable[Answer]:
        if target == "/caller":
            if self.travel is None:
                return 404, {"errorText": "no route's affinity travels"}
            from latchspoke.dataplane import view

            return view.caller(self.travel, body)
        return self.readiness(method, target, body)

    def readiness(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        if path == "/reach":
            from latchspoke.reach import show

            return show.answer(self, query)
        if path in ("/status", "/metrics", "/explain"):
            from latchspoke.dataplane import view  # loaded only when people ask

            return view.answer(self, path, body)
        return (200 if self.ready else 503), {"ready": self.ready}

    # Life.

    async def start(self) -> None:
        s = self.settings
        front, ready = s.listen_addresses["frontPlain"], s.listen_addresses.get("readiness")
        create = self.loop.create_server
        await self.listen(self.post)
        if ready is not None:
            self.servers.append(await create(lambda: Door(self.door), *ready, backlog=64))
        self.entrance = await create(lambda: ClientConnection(self.downstream), *front, backlog=1024)
        self.live()
        self.spawn(self.feed.run())
        self.clock.schedule(self.clock.now() + SWEEP, self.sweep)
        self.clock.schedule(self.clock.now() + STEP, self.step)
        self.serves(front=f"{front[0]}:{front[1]}")

    def sweep(self, now: float) -> None:
        self.clock.schedule(now + SWEEP, self.sweep)
        self.upstream_pools.sweep(now)
        self.relay.sweep(now)
        self.downstream.sweep(now)
        if now - self.buried_at >= BURY_EVERY:
            self.buried_at = now
            self.registry.sweep(now, judge=False)
        self.dispatcher.expire(now)
        self.counts.host.expire(now)
        self.dispatcher.failure_reporter.expire(now, self.examiner.expire(now))
        self.examine(now)
        self.graph.look(self.stock, now)
        self.watch.poll(now)
        self.settle()
        if not self.old and now >= self.old_at:
            self.old = True
            self.post.update_meta(self.meta(self.ready))
            self.live()
        elif self.late and self.counts.host.just_started and now >= self.old_at + HOSTS_ANEW:
            self.live()
        if now - self.told_at >= TELL:
            self.tell(now)

    def tell(self, now: float) -> None:
        """What became of requests since the last line, by reason."""
        self.told_at = now
        names = [
            n for n in self.stats if n.startswith(("flows.", "refused.", "answers.", "tries.", "travel."))
        ]
        news = {n.replace(".", "_"): self.stats[n] - self.told.get(n, 0) for n in names}
        news = {n: count for n, count in news.items() if count}
        if news:
            log("counts", **dict(sorted(news.items())))
        self.told = {n: self.stats[n] for n in names}

    def step(self, now: float) -> None:
        """Tell counts and evidence that are due; seldom while no request comes: each look is a wake-up."""
        taken = self.stats["flows.taken"]
        if taken != self.flows_seen:
            self.flows_seen, self.busy_until = taken, now + BUSY
        self.clock.schedule(now + (STEP if now < self.busy_until else STEP_IDLE), self.step)
        self.counts.step(now)
        self.testify(now)

    def stop(self) -> None:
        """Not ready from now on, so that clients go elsewhere; what comes meanwhile is still served."""
        if self.downstream.stopping:
            return
        self.stopping_at = self.clock.now()
        self.downstream.stopping = True
        self.settle()
        self.post.update_meta(self.meta(False))
        self.live()  # what is hosted here is handed on while there is time
        log("stops")
        self.downstream.close_idle()
        self.clock.schedule(self.stopping_at + 0.05, self.drain)

    def drain(self, now: float) -> None:
        grace = self.settings.bound("graceS", 6.0)
        since = now - self.stopping_at
        late = since > grace * LISTEN_ON + GRACE
        if since > grace * LISTEN_ON and self.entrance.is_serving() and (late or not pending(self.entrance)):
            self.entrance.close()
        if since > grace * LISTEN_ON:
            self.downstream.close_idle()
        over = since > grace * LISTEN_ON and not self.downstream.busy and not self.downstream.clients
        if over or since > grace - END_BEFORE:
            self.end()
        else:
            self.clock.schedule(now + 0.05, self.drain)

    def end(self) -> None:
        if self.travel is not None:
            self.travel.leave(self.clock.now())
        self.post.leave()
        self.feed.stop()
        self.relay.stop()
        self.counts.stop()
        self.post.stop()
        for server in self.servers:
            server.close()
        self.stats.show()
        self.done.set()


def main(path: str | None = None) -> int:
    """Exit codes: 0 ended in order, 2 settings that can't be used."""
    return node_process.main("dataplane", Node, path)
