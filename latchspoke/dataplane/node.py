"""Puts the data plane's parts together, and runs them from start to SIGTERM."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any

from barleyhub.line.dispatch import Dispatcher
from barleyhub.line.examiner import Examiner
from barleyhub.line.stock import Cold, State, Stock, Upstream
from latchspoke import node_process
from latchspoke.configuration.patch import apply_patch
from latchspoke.configuration.routes import Table, compile_table
from latchspoke.core import Epoch, Forward
from latchspoke.dataplane.core import DataPlaneCore
from latchspoke.dataplane.downstream import ClientConnection, Downstream
from latchspoke.dataplane.relay import Relay
from latchspoke.dataplane.subscription import FIRST_PROOF_DIVISOR, Source, Subscription, member_sources
from latchspoke.dataplane.upstream import UpstreamPools
from latchspoke.dataplane.usage_reports import REPORT_INTERVAL_S, UsageReports
from latchspoke.distribution.board import Follower, Lease
from latchspoke.membership.post import PACKS
from latchspoke.membership.watch import News
from latchspoke.net.clock import Clock, Timer
from latchspoke.net.http import GRACE, Dialer, Shared, Sockets, pending
from latchspoke.net.stats import Stats
from latchspoke.node_process import GATEWAY_PORT_OFFSET, NodeProcess
from latchspoke.outliers.ledger import read as read_evidence
from latchspoke.reach.graph import Graph
from latchspoke.registry.registry import BeatError, Entry
from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.http_server import LOCAL_CALLER, Caller, HttpServerConnection, Response
from latchspoke.transport.log import log

if TYPE_CHECKING:  # loaded only where a route asks for it
    from latchspoke.dataplane.session_affinity import SessionAffinity

SWEEP_INTERVAL_S = 0.5  # s
LEASE_FRACTION = 0.9  # of revokeS: how long a proof lasts
MIN_FAILURE_DETECTION_S = 0.5  # s at least from when somebody was last heard to when it is taken for gone
DEFAULT_QUOTA_WINDOW_S = (
    5.0  # s after a start in which a quota may be used up by this process' former life, if no bound tells
)
# s after it is old in which a latecomer, as a host, gives no more than those who tell it may use
NEW_OWNER_CAUTION_S = 2.0
LISTEN_FRACTION = 0.5  # of graceS: so long after SIGTERM new connections still come
SHUTDOWN_MARGIN_S = 0.35  # s before graceS is over
GATEWAYS_UPDATE_INTERVAL_S = 0.1  # s
BUSY_PERIOD_S = 0.25  # s after a request in which ``STEP`` passes between two steps
IDLE_REPORT_INTERVAL_S = 0.25  # s between two steps else
REGISTRY_SWEEP_INTERVAL_S = 5.0  # s between looks for lives that ended long ago
COUNTER_LOG_INTERVAL_S = 5.0  # s between lines that tell counts
EVIDENCE_MIN_GATEWAYS = (
    24  # live gateways; where there are fewer, each sees servers often enough, and tells nothing
)
EVIDENCE_INTERVAL_S = 0.2  # s between words on servers' failures, at least
CALM_EVIDENCE_INTERVAL_S = 0.8  # and where there are successes only
UNBOUNDED_LEASE_S = 1e9  # s; where keys need not be closed


class Ports:
    """The core's ports on sockets."""

    usage_reports: UsageReports  # comes once it is made

    def __init__(self, upstream_pools: UpstreamPools, clock: Clock) -> None:
        self.upstream_pools, self.clock = upstream_pools, clock

    def forward(self, forward: Forward) -> None:
        self.upstream_pools.forward(forward)

    def drop(self, forward: Forward) -> None:
        self.upstream_pools.drop(forward)

    def count(self, name: int, amount: float, life: float) -> None:
        """A request waits for a total: what is due goes out now."""
        self.usage_reports.send_due_reports(self.clock.now())

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        return self.clock.schedule(when, call)


def cannot_own_quotas(meta: Mapping[str, Any], elders: bool) -> bool:
    """Whether a gateway leaves, or has come back beside others (``elders``: some are there) and isn't old."""
    if meta.get("old") or meta.get("leaves"):
        return bool(meta.get("leaves"))
    told = meta.get("late")
    return elders if told is None else bool(told)


class Node(NodeProcess):
    """One gateway on its sockets."""

    PORT_OFFSET = GATEWAY_PORT_OFFSET

    def build(self) -> None:
        s, self.stats = self.settings, Stats()
        self.shared = Shared(self.clock, self.stats, Sockets(s.descriptors - 200), Dialer(self.loop))
        bound = s.bound
        self.balancer = Stock(
            s.name, s.zone, s.region, self.rng, s.beat, bound("coldExcess", 1.0), bound("coldSlack", 0.0)
        )
        self.dispatcher = Dispatcher(
            self.balancer, self.rng, bound("retryRatio", 0.1), bound("retrySlack", 10.0), self.stats
        )
        self.upstream_pools = UpstreamPools(self.shared, self.balancer, 64 * 1024 * 1024)
        self.ports = Ports(self.upstream_pools, self.clock)
        self.core = DataPlaneCore(self.dispatcher, self.ports, self.stats)
        self.upstream_pools.core = self.core
        self.reach_graph = self.core.reach_graph = Graph(self.clock.now())
        self.core.epoch_provider = self
        self.downstream = Downstream(self.shared, self.core, self.rng, self.current_epoch)
        self.downstream.configuration_confirmed = (
            lambda: self.lease.proven_at > -math.inf and self.has_peers()
        )
        deny = bound("configApplyS", 3.0) * LEASE_FRACTION
        self.downstream.confirmation_recent = lambda: self.clock.now() - self.lease.proven_at < deny
        closed = bool(bound("revocationEnforced", 1.0))
        self.lease = Lease(bound("revokeS", 5.0) * LEASE_FRACTION if closed else UNBOUNDED_LEASE_S)
        self.active_epoch: Epoch | None = None
        self.subscription = Subscription(
            s.name, s.zone, s.region, self.clock, self.rng, Follower(self.published_state, apply_patch),  # type: ignore[arg-type]
            self.lease, self.sources, self.state_changed, self.receive_evidence,
            bound("contactS", 4.0) / FIRST_PROOF_DIVISOR,
        )  # fmt: skip
        self.relay = Relay(self.clock, self.is_control)
        self.subscription.on_relay = self.relay.handle_message
        self.examiner = Examiner(s.zone)
        self.evidence_sent_at = -math.inf
        self.usage_reports = UsageReports(
            s.name,
            self.instance_id,
            self.clock,
            self.dispatcher,
            lambda told: self.core.give(told, self.clock.now()),  # type: ignore[arg-type]
        )
        self.ports.usage_reports = self.usage_reports
        self.session_affinity: SessionAffinity | None = None
        if closed:  # what was dealt to one that is cut off is its own until its lease ends
            self.dispatcher.holds = max(self.lease.lasts - MIN_FAILURE_DETECTION_S, 0.0)
        self.started_at, self.established = self.clock.now(), s.first
        # Whether it came beside others that had begun long before; told once it is ready for the first time.
        self.joined_late: bool | None = False if s.first else None
        self.established_at = self.started_at + bound("quotaWindowS", DEFAULT_QUOTA_WINDOW_S)
        if not s.first:
            self.dispatcher.young_until = self.established_at
        self.membership_transport = self.create_membership_transport(self.meta(False))
        self.membership_transport.overheard = self.handle_broadcast
        self.ready = False
        self.counters_logged_at, self.logged_counters = self.clock.now(), dict[str, int]()
        self.stopping_at = 0.0
        self.gateways_updated_at, self.gateways_update_scheduled = -math.inf, False
        self.requests_seen, self.busy_until = 0, -math.inf
        self.registry_swept_at = self.started_at

    def meta(self, ready: bool) -> dict[str, Any]:
        s = self.settings
        front = s.listen.get("frontPlain", ("", 0))
        return {
            "role": "edge", "zone": s.zone, "region": s.region, "front": f"{front[0]}:{front[1]}",
            "link": self.internal_endpoint, "ready": ready, PACKS: True,
            "door": s.listen.get("readiness", ("", 0))[1], "old": self.established,
        } | ({"leaves": True} if self.downstream.stopping else {}) | (
            {} if self.established or self.joined_late is None else {"late": self.joined_late}
        )  # fmt: skip

    def is_control(self, link: str) -> bool:
        """Whether a live control machine has this inner address."""
        alive = self.membership_transport.membership.alive.values()
        return any(m.meta.get("role") == "core" and m.meta.get("link") == link for m in alive)

    # The right to act.

    def now(self) -> float:
        return self.clock.now()

    def current_epoch(self) -> Epoch | None:
        """The right to act with keys under the version in force, or None."""
        if self.active_epoch is None or self.clock.now() >= self.lease.until:
            return None
        self.active_epoch.until = self.lease.until
        return self.active_epoch

    def has_peers(self) -> bool:
        """Whether another process is known: alone, this gateway would take all that is shared for its own.

        After a while it is the only one, or cut off from all others.
        """
        return self.established or len(self.membership_transport.membership.alive) > 1

    # What is told.

    def sources(self) -> list[Source]:
        """Control machines, those of the seeds also before anybody has told of them, then gateways."""
        alive = [
            m for m in self.membership_transport.membership.alive.values() if m.name != self.settings.name
        ]
        control = member_sources([m for m in alive if m.meta.get("role") == "core"], False)
        known = {source.address for source in control}
        for address in self.seed_addresses():
            if address not in known:
                control.append(Source(f"seed {address[0]}", address, "", ""))
        others = member_sources(
            [m for m in alive if m.meta.get("role") == "edge" and m.meta.get("ready")], True
        )
        return control + others

    def state_changed(self, ordered: bool, entries: list[Entry]) -> None:
        now = self.clock.now()
        if ordered:
            self.apply_orders(now)
        for entry in entries:
            self.apply_server(entry, now)
        if self.subscription.follower.differing:
            self.stats["pools.differ"] += 1
        self.update_readiness()

    def handle_broadcast(self, message: Message) -> None:
        """A control machine tells all gateways that a server has turned cold, or leaves."""
        try:
            entries = self.subscription.follower.overheard(message["e"], self.clock.now())
        except (BeatError, KeyError, TypeError, ValueError):
            return
        if entries:
            self.state_changed(False, entries)

    def apply_orders(self, now: float) -> None:
        orders = self.published_state.orders
        assert orders.doc is not None or not orders.version
        if orders.doc is not None and (
            self.downstream.table is None or self.downstream.table.version != orders.version
        ):
            table: Table = compile_table(orders.doc)  # type: ignore[arg-type]
            self.balancer.colds = {n: Cold(s.cold_s, s.cold_per_s) for n, s in table.services.items()}
            self.balancer.changes += 1
            if self.dispatcher.berths is None and any(r.affinity for r in table.routes.values()):
                from barleyhub.affinity.keeper import Berths

                self.dispatcher.berths = Berths(self.balancer)
            if self.session_affinity is None and any(
                r.affinity and r.affinity.travels for r in table.routes.values()
            ):
                from latchspoke.dataplane.session_affinity import SessionAffinity

                self.session_affinity = SessionAffinity(self)
                self.update_gateways()
            self.upstream_pools.connection_caps = {n: s.conn_limit for n, s in table.services.items()}
            self.upstream_pools.max_body_bytes = max(table.limits.body_bytes, 1 << 20)
            # One step between two events: what came before goes on under its own epoch's end.
            self.downstream.table, self.downstream.limits = table, table.limits
            self.usage_reports.connect_owners(
                {tenant.name for tenant in table.tenants.values() if tenant.rate}
            )
            self.active_epoch = Epoch(f"{orders.version:08x}", self.lease.until)
            log("orders", version=f"{orders.version:08x}", index=orders.index)
        if orders.evacuated != self.balancer.evacuated:
            self.balancer.evacuate(orders.evacuated, now)
            log("evacuated", zones=",".join(sorted(orders.evacuated)))

    def apply_server(self, entry: Entry, now: float) -> None:
        host, _, port = entry.address.rpartition(":")
        region = self.settings.zones.get(entry.zone, entry.zone)
        self.balancer.put(
            Upstream(
                entry.ident, entry.service, host, int(port or 0), entry.zone, region, entry.slots,
                State(int(entry.state)), entry.cold_until, entry.silent,
            ),
            now,
        )  # fmt: skip

    # What gateways see of servers.

    def receive_evidence(self, entries: list[Any]) -> None:
        """Others have seen these fail. Raises EvidenceError."""
        now = self.clock.now()
        for entry in entries:
            self.examiner.learn(*read_evidence(entry), now)
        self.stats["evidence.heard"] += len(entries)
        self.dispatcher.witness.question(self.examiner.told)
        self.evaluate_evidence(now)

    def evaluate_evidence(self, now: float) -> None:
        """Which servers this gateway turns from on the word of others."""
        stock, told = self.balancer, self.examiner.told
        if not told and not stock.told:
            return
        services = dict.fromkeys(stock.upstreams[ident].service for ident in told if ident in stock.upstreams)
        ready = {
            service: [w.ident for w in stock.services[service].values() if w.state is State.READY]
            for service in services
        }
        before, stock.told = stock.told, self.examiner.shares(ready, now)
        for ident in sorted(before.keys() ^ stock.told.keys()):
            log("evidence", server=ident, turned_from=ident in stock.told)

    def send_evidence(self, now: float) -> None:
        """Tell what is due: failures soon, the rest now and then."""
        if len(self.dispatcher.gateways) < EVIDENCE_MIN_GATEWAYS:
            return
        witness, wire, source = (
            self.dispatcher.witness,
            self.subscription.connection,
            self.subscription.source,
        )
        due = witness.fresh and now - self.evidence_sent_at >= (
            EVIDENCE_INTERVAL_S if witness.urgent else CALM_EVIDENCE_INTERVAL_S
        )
        if due and wire is not None and source is not None and not source.gateway:
            self.evidence_sent_at = now
            told = witness.due(now)
            self.stats["evidence.told"] += len(told)
            wire.send({"k": "hot", "w": told})

    def handle_proof_request(self, wire: MessageConnection, tag: int) -> None:
        """Another gateway asks what is proven here, as it reaches no control machine."""
        age = self.clock.now() - self.lease.proven_at
        if age < self.lease.lasts and self.published_state.orders.index:
            wire.send(
                {
                    "k": "proven",
                    "t": tag,
                    "index": self.published_state.orders.index,
                    "age": round(age + 0.001, 4),
                }
            )
        else:
            wire.send({"k": "proven", "t": tag})

    def membership_changed(self, news: News) -> None:
        if news.kind in ("joined", "gone", "changed"):
            self.schedule_gateways_update()
            self.update_readiness()
        if news.kind != "changed":
            log("membership", what=news.kind, who=news.member.name)

    def schedule_gateways_update(self) -> None:
        """``live``, at once after a pause; at most once in ``LIVE_EVERY`` s where members change often."""
        if self.gateways_update_scheduled:
            return
        now = self.clock.now()
        if now - self.gateways_updated_at >= GATEWAYS_UPDATE_INTERVAL_S:
            self.update_gateways()
        else:
            self.gateways_update_scheduled = True
            self.clock.schedule(
                self.gateways_updated_at + GATEWAYS_UPDATE_INTERVAL_S, lambda now: self.update_gateways()
            )

    def update_gateways(self) -> None:
        """Who the live gateways are: duties and budgets are cut by them."""
        edges = {
            n: m
            for n, m in self.membership_transport.membership.alive.items()
            if m.meta.get("role") == "edge"
        }
        now = self.gateways_updated_at = self.clock.now()
        self.gateways_update_scheduled = False
        self.dispatcher.live({n: str(m.meta.get("zone")) for n, m in edges.items()}, now)
        elders = self.has_established_peers()
        hosts_anew = not self.established or (
            self.joined_late and now < self.established_at + NEW_OWNER_CAUTION_S
        )
        late = {n for n, m in edges.items() if cannot_own_quotas(m.meta, elders or self.established)}
        self.usage_reports.update_gateways(
            {n: m.address for n, m in edges.items()}, bool(hosts_anew and elders), late
        )
        if self.session_affinity is not None:
            self.session_affinity.update_gateways(edges, now)

    def has_established_peers(self) -> bool:
        """Whether other gateways are known that have not just begun."""
        members = self.membership_transport.membership.alive.values()
        return any(m.meta.get("old") for m in members if m.name != self.settings.name)

    def update_readiness(self) -> None:
        """Ready is who knows the operator's word, may act by it, and knows of servers."""
        able = (
            self.downstream.table is not None
            and self.clock.now() < self.lease.until
            and bool(self.balancer.upstreams)
        ) and self.has_peers()
        ready = able and not self.downstream.stopping
        if ready != self.ready:
            self.ready = ready
            if self.joined_late is None:
                self.joined_late = self.has_established_peers()
                self.update_gateways()
            self.membership_transport.tell(self.meta(ready))
            log("ready" if ready else "not-ready", version=self.published_state.orders.version)
        if able and self.downstream.held_requests:
            self.downstream.resume()

    # Messages of other gateways.

    def handle_message(self, wire: MessageConnection, message: Message) -> None:
        if message.get("k") in ("c", "counts", "heir"):
            self.usage_reports.handle_message(wire, message)
        elif (
            not self.publisher.heard(wire, message)
            and self.session_affinity is not None
            and message.get("k") == "w"
        ):
            self.session_affinity.handle_message(message)

    def handle_request(
        self, method: str, target: str, body: bytes, caller: Caller = LOCAL_CALLER
    ) -> Response | Awaitable[Response]:
        if target == "/caller":
            if self.session_affinity is None:
                return 404, {"errorText": "no route's affinity travels"}
            from latchspoke.dataplane import view

            return view.handle_caller_request(self.session_affinity, body)
        return self.handle_query(method, target, body)

    def handle_query(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        if path == "/reach":
            from latchspoke.reach import show

            return show.answer(self, query)
        if path in ("/status", "/metrics", "/explain"):
            from latchspoke.dataplane import view  # loaded only when people ask

            return view.handle_request(self, path, body)
        return (200 if self.ready else 503), {"ready": self.ready}

    # Life.

    async def start(self) -> None:
        s = self.settings
        front, ready = s.listen["frontPlain"], s.listen.get("readiness")
        create = self.loop.create_server
        await self.listen_internal(self.membership_transport)
        if ready is not None:
            self.listeners.append(
                await create(lambda: HttpServerConnection(self.handle_request), *ready, backlog=64)
            )
        self.front_listener = await create(lambda: ClientConnection(self.downstream), *front, backlog=1024)
        self.update_gateways()
        self.spawn(self.subscription.run())
        self.clock.schedule(self.clock.now() + SWEEP_INTERVAL_S, self.sweep)
        self.clock.schedule(self.clock.now() + REPORT_INTERVAL_S, self.send_reports)
        self.serving_started(front=f"{front[0]}:{front[1]}")

    def sweep(self, now: float) -> None:
        self.clock.schedule(now + SWEEP_INTERVAL_S, self.sweep)
        self.upstream_pools.sweep(now)
        self.relay.sweep(now)
        self.downstream.sweep(now)
        if now - self.registry_swept_at >= REGISTRY_SWEEP_INTERVAL_S:
            self.registry_swept_at = now
            self.registry.sweep(now, judge=False)
        self.dispatcher.forget(now)
        self.usage_reports.owned_quotas.forget(now)
        self.dispatcher.witness.forget(now, self.examiner.forget(now))
        self.evaluate_evidence(now)
        self.reach_graph.look(self.balancer, now)
        self.settings_watch.look(now)
        self.update_readiness()
        if not self.established and now >= self.established_at:
            self.established = True
            self.membership_transport.tell(self.meta(self.ready))
            self.update_gateways()
        elif (
            self.joined_late
            and self.usage_reports.owned_quotas.cautious
            and now >= self.established_at + NEW_OWNER_CAUTION_S
        ):
            self.update_gateways()
        if now - self.counters_logged_at >= COUNTER_LOG_INTERVAL_S:
            self.log_counters(now)

    def log_counters(self, now: float) -> None:
        """What became of requests since the last line, by reason."""
        self.counters_logged_at = now
        names = [
            n for n in self.stats if n.startswith(("flows.", "refused.", "answers.", "tries.", "travel."))
        ]
        news = {n.replace(".", "_"): self.stats[n] - self.logged_counters.get(n, 0) for n in names}
        news = {n: count for n, count in news.items() if count}
        if news:
            log("counts", **dict(sorted(news.items())))
        self.logged_counters = {n: self.stats[n] for n in names}

    def send_reports(self, now: float) -> None:
        """Tell counts and evidence that are due; seldom while no request comes: each look is a wake-up."""
        taken = self.stats["flows.taken"]
        if taken != self.requests_seen:
            self.requests_seen, self.busy_until = taken, now + BUSY_PERIOD_S
        self.clock.schedule(
            now + (REPORT_INTERVAL_S if now < self.busy_until else IDLE_REPORT_INTERVAL_S), self.send_reports
        )
        self.usage_reports.send_due_reports(now)
        self.send_evidence(now)

    def stop(self) -> None:
        """Not ready from now on, so that clients go elsewhere; what comes meanwhile is still served."""
        if self.downstream.stopping:
            return
        self.stopping_at = self.clock.now()
        self.downstream.stopping = True
        self.update_readiness()
        self.membership_transport.tell(self.meta(False))
        self.update_gateways()  # what is hosted here is handed on while there is time
        log("stops")
        self.downstream.close_idle()
        self.clock.schedule(self.stopping_at + 0.05, self.drain)

    def drain(self, now: float) -> None:
        grace = self.settings.bound("graceS", 6.0)
        since = now - self.stopping_at
        late = since > grace * LISTEN_FRACTION + GRACE
        if (
            since > grace * LISTEN_FRACTION
            and self.front_listener.is_serving()
            and (late or not pending(self.front_listener))
        ):
            self.front_listener.close()
        if since > grace * LISTEN_FRACTION:
            self.downstream.close_idle()
        over = (
            since > grace * LISTEN_FRACTION and not self.downstream.in_flight and not self.downstream.clients
        )
        if over or since > grace - SHUTDOWN_MARGIN_S:
            self.shut_down()
        else:
            self.clock.schedule(now + 0.05, self.drain)

    def shut_down(self) -> None:
        if self.session_affinity is not None:
            self.session_affinity.hand_off(self.clock.now())
        self.membership_transport.leave()
        self.subscription.stop()
        self.relay.stop()
        self.usage_reports.stop()
        self.membership_transport.stop()
        for server in self.listeners:
            server.close()
        self.stats.show()
        self.stopped.set()


def main(path: str | None = None) -> int:
    """Exit codes: 0 ended in order, 2 settings that can't be used."""
    return node_process.main("dataplane", Node, path)
