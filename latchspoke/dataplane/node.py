"""Builds a gateway from the parts of the data plane, and runs it from start to SIGTERM."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any

from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState
from barleyhub.line.dispatch import Dispatcher
from barleyhub.line.outliers import OutlierDetector
from barleyhub.line.quota import QuotaTolerance
from latchspoke import process_run
from latchspoke.configuration.patch import apply_patch
from latchspoke.configuration.routes import Table, compile_table
from latchspoke.core import Attempt, DecisionLease
from latchspoke.dataplane.body_memory import MEMORY_FRACTION, BodyMemory
from latchspoke.dataplane.client_connection import ClientConnection
from latchspoke.dataplane.core import DataPlaneCore
from latchspoke.dataplane.downstream import Downstream
from latchspoke.dataplane.drain import Drain
from latchspoke.dataplane.relay import Relay
from latchspoke.dataplane.rollout_reports import RolloutReports
from latchspoke.dataplane.subscription import FIRST_PROOF_DIVISOR, Source, Subscription, member_sources
from latchspoke.dataplane.upstream import UpstreamPools
from latchspoke.dataplane.usage_reports import REPORT_INTERVAL_S, UsageReports
from latchspoke.distribution.published_state import Follower, Lease
from latchspoke.membership.protocol import MembershipEvent
from latchspoke.membership.transport import COMPRESSION_META_KEY
from latchspoke.net.clock import Clock, Timer
from latchspoke.net.http import ConnectionContext, Dialer, Sockets
from latchspoke.net.stats import Stats
from latchspoke.node_process import GATEWAY_PORT_OFFSET, NodeProcess
from latchspoke.outliers.evidence import decode_entry as read_evidence
from latchspoke.reach.recorder import AttemptRecorder
from latchspoke.registry.registry import Entry, HeartbeatError
from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.connection_limit import ConnectionLimit
from latchspoke.transport.http_server import LOCAL_CALLER, Caller, HttpServerConnection, Response
from latchspoke.transport.log import log

if TYPE_CHECKING:  # loaded only where a route asks for it
    from latchspoke.dataplane.session_affinity import SessionAffinity

SWEEP_INTERVAL_S = 0.5
READINESS_BACKLOG = 64  # connections that wait to be accepted
MAX_READINESS_CONNECTIONS = 100  # within the descriptors that are not counted
LEASE_FRACTION = 0.9  # of ``revokeS``: validity of a proof
MIN_FAILURE_DETECTION_S = 0.5  # shortest time from the last contact with a process to its detection as gone
# After a start, quotas may already be used up by the previous instance of this process for this long.
DEFAULT_QUOTA_WINDOW_S = 5.0
# After this window, a new quota owner still grants no more than the reporting gateways may use anyway.
NEW_OWNER_CAUTION_S = 2.0
DEFAULT_GRACE_S = 6.0  # from SIGTERM to SIGKILL
GATEWAYS_UPDATE_INTERVAL_S = 0.1
BUSY_PERIOD_S = 0.25  # after a request, reports are sent every ``REPORT_INTERVAL_S``
IDLE_REPORT_INTERVAL_S = 0.25  # otherwise
REGISTRY_SWEEP_INTERVAL_S = 5.0
COUNTER_LOG_INTERVAL_S = 5.0
EVIDENCE_MIN_GATEWAYS = 24  # with fewer gateways, each sees enough of the servers by itself
EVIDENCE_INTERVAL_S = 0.2
CALM_EVIDENCE_INTERVAL_S = 0.8  # when there are only successes to report
UNBOUNDED_LEASE_S = 1e9  # when keys may be used without a lease


class Ports:
    """The ports of the core, on sockets."""

    usage_reports: UsageReports  # set after construction

    def __init__(self, upstream_pools: UpstreamPools, clock: Clock) -> None:
        self.upstream_pools, self.clock = upstream_pools, clock

    def forward(self, forward: Attempt) -> None:
        """Send a forward to its server."""
        self.upstream_pools.forward(forward)

    def drop(self, forward: Attempt) -> None:
        """Cancel a forward."""
        self.upstream_pools.drop(forward)

    def add_count(self, name: int, amount: float, life: float) -> None:
        """A request waits for a quota total: send due reports now."""
        self.usage_reports.send_due_reports(self.clock.now())

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        """Call ``call`` at a time (s, by the clock of the process)."""
        return self.clock.schedule(when, call)


def cannot_own_quotas(meta: Mapping[str, Any], established_exist: bool) -> bool:
    """Whether a gateway may not own quotas: it is leaving, or it restarted beside established gateways.

    ``established_exist``: whether there are established gateways.
    """
    if meta.get("old") or meta.get("leaves"):
        return bool(meta.get("leaves"))
    joined_late = meta.get("late")
    return established_exist if joined_late is None else bool(joined_late)


class Node(NodeProcess):
    """One gateway process."""

    PORT_OFFSET = GATEWAY_PORT_OFFSET

    def build(self) -> None:
        """Create the parts of the gateway and connect them."""
        settings, self.stats = self.settings, Stats()
        self.context = ConnectionContext(
            self.clock, self.stats, Sockets(settings.file_descriptors - 200), Dialer(self.loop)
        )
        self.peer_connections = ConnectionLimit(self.peer_connections.most, self.count_sockets)
        bound = settings.bound
        self.balancer = Balancer(
            settings.name,
            settings.zone,
            settings.region,
            self.rng,
            settings.heartbeat_interval_s,
            bound("coldExcess", 1.0),
            bound("coldSlack", 0.0),
        )
        self.dispatcher = Dispatcher(
            self.balancer, self.rng, bound("retryRatio", 0.1), bound("retrySlack", 10.0), self.stats
        )
        body_limit_bytes = int(settings.memory_mb * 1024 * 1024 * MEMORY_FRACTION)
        self.upstream_pools = UpstreamPools(
            self.context,
            self.balancer,
            64 * 1024 * 1024,
            BodyMemory(body_limit_bytes, self.clock, self.memory_pool),
        )
        self.ports = Ports(self.upstream_pools, self.clock)
        self.core = DataPlaneCore(self.dispatcher, self.ports, self.stats)
        self.upstream_pools.core = self.core
        self.reach_graph = self.core.reach_graph = AttemptRecorder(self.clock.now())
        self.core.epoch_provider = self
        self.downstream = Downstream(
            self.context,
            self.core,
            self.rng,
            self.current_epoch,
            BodyMemory(body_limit_bytes, self.clock, self.memory_pool),
            self.input_turns,
        )
        self.downstream.memory_is_short = self.memory_is_short
        self.downstream.configuration_confirmed = (
            lambda: self.lease.proven_at > -math.inf and self.has_peers()
        )
        denial_limit = bound("configApplyS", 3.0) * LEASE_FRACTION
        self.downstream.confirmation_recent = lambda: self.clock.now() - self.lease.proven_at < denial_limit
        lease_required = bool(bound("revocationEnforced", 1.0))
        self.lease = Lease(bound("revokeS", 5.0) * LEASE_FRACTION if lease_required else UNBOUNDED_LEASE_S)
        self.active_epoch: DecisionLease | None = None
        self.subscription = Subscription(
            settings.name, settings.zone, settings.region, self.clock, self.rng,
            Follower(self.published_state, apply_patch),  # type: ignore[arg-type]
            self.lease, self.sources, self.state_changed, self.receive_evidence,
            bound("contactS", 4.0) / FIRST_PROOF_DIVISOR,
        )  # fmt: skip
        self.relay = Relay(self.clock, self.is_control)
        self.subscription.on_relay = self.relay.handle_message
        self.examiner = OutlierDetector(settings.zone)
        self.rollout_reports = RolloutReports(settings.name, self.instance_id, self.dispatcher)
        self.evidence_sent_at = -math.inf
        self.usage_reports = UsageReports(
            settings.name,
            self.instance_id,
            self.clock,
            self.dispatcher,
            lambda totals: self.core.submit(totals, self.clock.now()),  # type: ignore[arg-type]
        )
        self.usage_reports.owned_quotas.tolerance = QuotaTolerance(
            bound("quotaWindowS", DEFAULT_QUOTA_WINDOW_S),
            bound("quotaExcess", 0.1),
            bound("quotaSlack", 20.0),
        )
        self.ports.usage_reports = self.usage_reports
        self.session_affinity: SessionAffinity | None = None
        if lease_required:  # shares of a gateway that is cut off stay reserved until its lease ends
            self.dispatcher.hold_s = max(self.lease.duration_s - MIN_FAILURE_DETECTION_S, 0.0)
        self.started_at, self.established = self.clock.now(), settings.initial_start
        # Whether it joined established gateways; decided when it first becomes ready.
        self.joined_late: bool | None = False if settings.initial_start else None
        self.established_at = self.started_at + bound("quotaWindowS", DEFAULT_QUOTA_WINDOW_S)
        if not settings.initial_start:
            self.dispatcher.burst_unknown_until = self.established_at
        self.membership_transport = self.create_membership_transport(self.meta(False))
        self.membership_transport.on_multicast = self.handle_broadcast
        self.ready = False
        self.counters_logged_at, self.logged_counters = self.clock.now(), dict[str, int]()
        self.drain: Drain | None = None  # after SIGTERM
        self.gateways_updated_at, self.gateways_update_scheduled = -math.inf, False
        self.requests_seen, self.busy_until = 0, -math.inf
        self.registry_swept_at = self.started_at

    def meta(self, ready: bool) -> dict[str, Any]:
        """What other members learn about this gateway."""
        settings = self.settings
        front = settings.listen_addresses.get("frontPlain", ("", 0))
        return {
            "role": "edge", "zone": settings.zone, "region": settings.region,
            "front": f"{front[0]}:{front[1]}",
            "link": self.internal_endpoint, "ready": ready, COMPRESSION_META_KEY: True,
            "door": settings.listen_addresses.get("readiness", ("", 0))[1], "old": self.established,
        } | ({"leaves": True} if self.downstream.stopping else {}) | (
            {} if self.established or self.joined_late is None else {"late": self.joined_late}
        )  # fmt: skip

    def is_control(self, endpoint: str) -> bool:
        """Whether a live control-plane node has this internal address."""
        alive = self.membership_transport.membership.alive.values()
        return any(
            member.meta.get("role") == "core" and member.meta.get("link") == endpoint for member in alive
        )

    # Authorization.

    def now(self) -> float:
        """Current time in seconds."""
        return self.clock.now()

    def current_epoch(self) -> DecisionLease | None:
        """The epoch under which tenant keys may be used now, or None without a valid lease."""
        if self.active_epoch is None or self.clock.now() >= self.lease.expires_at:
            return None
        self.active_epoch.expires_at = self.lease.expires_at
        return self.active_epoch

    def has_peers(self) -> bool:
        """Whether another process is known; alone, this gateway would take shared budgets for its own.

        An established gateway counts as having peers: it is the only one, or cut off from all others.
        """
        return self.established or len(self.membership_transport.membership.alive) > 1

    # Configuration and servers.

    def sources(self) -> list[Source]:
        """Possible sources: control-plane nodes, including seeds not yet known as members, then gateways."""
        alive = [
            member
            for member in self.membership_transport.membership.alive.values()
            if member.name != self.settings.name
        ]
        control_sources = member_sources(
            [member for member in alive if member.meta.get("role") == "core"], False
        )
        known_addresses = {source.address for source in control_sources}
        for address in self.seed_addresses():
            if address not in known_addresses:
                control_sources.append(Source(f"seed {address[0]}", address, "", ""))
        gateway_sources = member_sources(
            [member for member in alive if member.meta.get("role") == "edge" and member.meta.get("ready")],
            True,
        )
        return control_sources + gateway_sources

    def state_changed(self, configuration_changed: bool, entries: list[Entry]) -> None:
        """Apply a changed configuration and changed servers from the subscription."""
        now = self.clock.now()
        if configuration_changed:
            self.apply_configuration(now)
        for entry in entries:
            self.apply_server(entry, now)
        self.rollout_reports.proven(self.lease.proven_at)
        if self.subscription.follower.differing_pools:
            self.stats["pools.differ"] += 1
        self.update_readiness()

    def handle_broadcast(self, message: Message) -> None:
        """A control-plane node announces to all gateways that a server is draining or has become cold."""
        try:
            entries = self.subscription.follower.apply_broadcast(message["e"], self.clock.now())
        except (HeartbeatError, KeyError, TypeError, ValueError):
            return
        if entries:
            self.state_changed(False, entries)

    def apply_configuration(self, now: float) -> None:
        """Apply a new version of the configuration and the evacuated zones."""
        configuration = self.published_state.committed
        assert configuration.document is not None or not configuration.version
        if configuration.document is not None and (
            self.downstream.table is None or self.downstream.table.version != configuration.version
        ):
            table: Table = compile_table(configuration.document)  # type: ignore[arg-type]
            self.balancer.cold_limits = {
                name: ColdLimit(service.cold_s, service.cold_per_s)
                for name, service in table.services.items()
            }
            self.balancer.revision += 1
            if self.dispatcher.affinity is None and any(route.affinity for route in table.routes.values()):
                from barleyhub.affinity.selection import AffinitySelector

                self.dispatcher.affinity = AffinitySelector(self.balancer)
            if self.session_affinity is None and any(
                route.affinity and route.affinity.shared_records for route in table.routes.values()
            ):
                from latchspoke.dataplane.session_affinity import SessionAffinity

                self.session_affinity = SessionAffinity(self)
                self.update_gateways()
            self.upstream_pools.connection_caps = {
                name: service.connection_limit for name, service in table.services.items()
            }
            self.upstream_pools.max_body_bytes = max(table.limits.body_bytes, 1 << 20)
            # Switched between two events; flows in progress continue under their own epoch.
            self.downstream.table, self.downstream.limits = table, table.limits
            self.usage_reports.connect_owners(
                {tenant.name for tenant in table.tenants.values() if tenant.rate}
            )
            self.active_epoch = DecisionLease(f"{configuration.version:08x}", self.lease.expires_at)
            log("orders", version=f"{configuration.version:08x}", index=configuration.index)
        if configuration.evacuated != self.balancer.evacuated:
            self.balancer.set_evacuated_zones(configuration.evacuated, now)
            log("evacuated", zones=",".join(sorted(configuration.evacuated)))
        for service in self.rollout_reports.apply(configuration.rollouts, now):
            record = configuration.rollouts[service]
            log(
                "rollout", service=service, target=record.target_version, state=record.state,
                share=record.share, rollout=record.rollout_id, index=record.changed_index,
            )  # fmt: skip

    def apply_server(self, entry: Entry, now: float) -> None:
        """Pass an update on a server to the balancer."""
        host, _, port = entry.address.rpartition(":")
        region = self.settings.regions_by_zone.get(entry.zone, entry.zone)
        self.balancer.put(
            Upstream(
                entry.instance_id, entry.service, host, int(port or 0), entry.zone, region, entry.slots,
                UpstreamState(int(entry.state)), entry.cold_until, entry.silent, version=entry.version,
            ),
            now,
        )  # fmt: skip

    # Evidence on servers.

    def receive_evidence(self, entries: list[Any]) -> None:
        """Other gateways have seen failures of servers. Raises EvidenceError."""
        now = self.clock.now()
        for entry in entries:
            self.examiner.learn(*read_evidence(entry), now)
        self.stats["evidence.heard"] += len(entries)
        self.dispatcher.failure_reporter.suspect(self.examiner.received)
        self.evaluate_evidence(now)

    def evaluate_evidence(self, now: float) -> None:
        """Determine the servers that this gateway avoids on other gateways' evidence."""
        balancer, evidence = self.balancer, self.examiner.received
        if not evidence and not balancer.outlier_shares:
            return
        services = dict.fromkeys(
            balancer.upstreams[instance_id].service
            for instance_id in evidence
            if instance_id in balancer.upstreams
        )
        ready_servers = {
            service: [
                upstream.ident
                for upstream in balancer.services[service].values()
                if upstream.state is UpstreamState.READY
            ]
            for service in services
        }
        previous, balancer.outlier_shares = (
            balancer.outlier_shares,
            self.examiner.failure_shares(ready_servers, now),
        )
        for instance_id in sorted(previous.keys() ^ balancer.outlier_shares.keys()):
            log("evidence", server=instance_id, turned_from=instance_id in balancer.outlier_shares)

    def send_evidence(self, now: float) -> None:
        """Send due evidence: failures soon, successes at longer intervals."""
        if len(self.dispatcher.gateways) < EVIDENCE_MIN_GATEWAYS:
            return
        witness, connection, source = (
            self.dispatcher.failure_reporter,
            self.subscription.connection,
            self.subscription.source,
        )
        due = witness.unreported and now - self.evidence_sent_at >= (
            EVIDENCE_INTERVAL_S if witness.urgent else CALM_EVIDENCE_INTERVAL_S
        )
        if due and connection is not None and source is not None and not source.gateway:
            self.evidence_sent_at = now
            evidence = witness.take_report(now)
            self.stats["evidence.told"] += len(evidence)
            connection.send({"k": "hot", "w": evidence})

    def send_rollout_reports(self, now: float) -> None:
        """Send due samples of rollouts to the source, which passes them on if it is a gateway."""
        connection = self.subscription.connection
        if connection is None:
            return
        for message in self.rollout_reports.due_messages(self.published_state.committed.index, now):
            connection.send(message)

    def memory_is_short(self, now: float) -> bool:
        """Whether requests or responses wait for memory, or did a moment ago."""
        memories = self.downstream.body_memory, self.upstream_pools.body_memory
        return any(memory.is_short(now) for memory in memories)

    def count_sockets(self, change: int) -> None:
        """Connections of peers have opened or closed; they take sockets from clients and servers."""
        self.context.sockets.used += change

    def handle_proof_request(self, connection: MessageConnection, proof_id: int) -> None:
        """Another gateway without a control-plane node asks for a proof; ours is passed on with its age."""
        age = self.clock.now() - self.lease.proven_at
        if age < self.lease.duration_s and self.published_state.committed.index:
            connection.send(
                {
                    "k": "proven",
                    "t": proof_id,
                    "index": self.published_state.committed.index,
                    "age": round(age + 0.001, 4),
                }
            )
        else:
            connection.send({"k": "proven", "t": proof_id})

    def membership_changed(self, change: MembershipEvent) -> None:
        """React to changes of the membership; only joins and departures are logged."""
        if change.kind in ("joined", "gone", "changed"):
            self.schedule_gateways_update()
            self.update_readiness()
        if change.kind != "changed":
            log("membership", what=change.kind, who=change.member.name)

    def schedule_gateways_update(self) -> None:
        """Update the live gateways now, or later if the last update was too recent."""
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
        """Distribute the set of live gateways, on which quota owners and shares of budgets depend."""
        gateways = {
            name: member
            for name, member in self.membership_transport.membership.alive.items()
            if member.meta.get("role") == "edge"
        }
        now = self.gateways_updated_at = self.clock.now()
        self.gateways_update_scheduled = False
        self.dispatcher.set_gateways(
            {name: str(member.meta.get("zone")) for name, member in gateways.items()}, now
        )
        established_exist = self.has_established_peers()
        new_owner = not self.established or (
            self.joined_late and now < self.established_at + NEW_OWNER_CAUTION_S
        )
        ineligible = {
            name
            for name, member in gateways.items()
            if cannot_own_quotas(member.meta, established_exist or self.established)
        }
        self.usage_reports.update_gateways(
            {name: member.address for name, member in gateways.items()},
            bool(new_owner and established_exist),
            ineligible,
        )
        if self.session_affinity is not None:
            self.session_affinity.update_gateways(gateways, now)

    def has_established_peers(self) -> bool:
        """Whether other gateways are known that are established."""
        members = self.membership_transport.membership.alive.values()
        return any(member.meta.get("old") for member in members if member.name != self.settings.name)

    def update_readiness(self) -> None:
        """Ready: configured, holding a lease, knowing servers and peers, and not stopping."""
        operational = (
            self.downstream.table is not None
            and self.clock.now() < self.lease.expires_at
            and bool(self.balancer.upstreams)
        ) and self.has_peers()
        ready = operational and not self.downstream.stopping
        if ready != self.ready:
            self.ready = ready
            if self.joined_late is None:
                self.joined_late = self.has_established_peers()
                self.update_gateways()
            self.membership_transport.update_meta(self.meta(ready))
            log("ready" if ready else "not-ready", version=self.published_state.committed.version)
        if operational and self.downstream.held_requests:
            self.downstream.resume()

    # Messages and calls.

    def handle_message(self, connection: MessageConnection, message: Message) -> None:
        """A message of another gateway: usage reports, samples, subscriptions or session records."""
        if message.get("k") in ("c", "counts", "heir"):
            self.usage_reports.handle_message(connection, message)
        elif message.get("k") == "rollout":
            if self.subscription.connection is not None:
                self.subscription.connection.send(message)
        elif (
            not self.publisher.handle_message(connection, message)
            and self.session_affinity is not None
            and message.get("k") == "w"
        ):
            self.session_affinity.handle_message(message)

    def handle_request(
        self, method: str, target: str, body: bytes, caller: Caller = LOCAL_CALLER
    ) -> Response | Awaitable[Response]:
        """Handle an HTTP call on the readiness address."""
        if target == "/caller":
            if self.session_affinity is None:
                return 404, {"errorText": "no route's affinity travels"}
            from latchspoke.dataplane import view

            return view.handle_caller_request(self.session_affinity, body)
        return self.handle_query(method, target, body)

    def handle_query(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Readiness, the status views and the reachability view."""
        path, _, query = target.partition("?")
        if path == "/reach":
            from latchspoke.reach import endpoint

            return endpoint.answer(self, query)
        if path in ("/status", "/metrics", "/explain"):
            from latchspoke.dataplane import view  # loaded on demand

            return view.handle_request(self, path, body)
        return (200 if self.ready else 503), {"ready": self.ready}

    # Lifecycle.

    async def start(self) -> None:
        """Open the listeners and start the periodic work."""
        settings = self.settings
        front_address, readiness_address = (
            settings.listen_addresses["frontPlain"],
            settings.listen_addresses.get("readiness"),
        )
        await self.listen_internal(self.membership_transport)
        if readiness_address is not None:
            limit = ConnectionLimit(MAX_READINESS_CONNECTIONS)
            await self.listen(
                lambda: HttpServerConnection(
                    self.handle_request, self.call_budget, limit, self.input_turns, lambda target: False
                ),
                readiness_address,
                READINESS_BACKLOG,
            )
        self.front_listener = await self.bind(
            front_address,
            lambda: self.loop.create_server(
                lambda: ClientConnection(self.downstream), *front_address, backlog=1024
            ),
        )
        self.update_gateways()
        self.spawn(self.run_until_done(self.subscription.run))
        self.clock.schedule(self.clock.now() + SWEEP_INTERVAL_S, self.sweep)
        self.clock.schedule(self.clock.now() + REPORT_INTERVAL_S, self.send_reports)
        self.serving_started(front=f"{front_address[0]}:{front_address[1]}")

    def sweep(self, now: float) -> None:
        """Periodic work: expire connections and state, re-read settings, log counters."""
        self.clock.schedule(now + SWEEP_INTERVAL_S, self.sweep)
        self.upstream_pools.sweep(now)
        self.relay.sweep(now)
        self.downstream.sweep(now)
        if now - self.registry_swept_at >= REGISTRY_SWEEP_INTERVAL_S:
            self.registry_swept_at = now
            self.registry.sweep(now, detect_silence=False)
        self.dispatcher.expire(now)
        self.usage_reports.owned_quotas.expire(now)
        self.dispatcher.failure_reporter.expire(now, self.examiner.expire(now))
        self.evaluate_evidence(now)
        self.reach_graph.check_statuses(self.balancer, now)
        self.settings_watch.poll(now)
        self.update_readiness()
        if not self.established and now >= self.established_at:
            self.established = True
            self.membership_transport.update_meta(self.meta(self.ready))
            self.update_gateways()
        elif (
            self.joined_late
            and self.usage_reports.owned_quotas.just_started
            and now >= self.established_at + NEW_OWNER_CAUTION_S
        ):
            self.update_gateways()
        if now - self.counters_logged_at >= COUNTER_LOG_INTERVAL_S:
            self.log_counters(now)

    def log_counters(self, now: float) -> None:
        """Log the counters that have changed since the last such line."""
        self.counters_logged_at = now
        names = [
            name
            for name in self.stats
            if name.startswith(("flows.", "refused.", "answers.", "tries.", "travel."))
        ]
        changes = {
            name.replace(".", "_"): self.stats[name] - self.logged_counters.get(name, 0) for name in names
        }
        changes = {name: count for name, count in changes.items() if count}
        if changes:
            log("counts", **dict(sorted(changes.items())))
        self.logged_counters = {name: self.stats[name] for name in names}

    def send_reports(self, now: float) -> None:
        """Send due usage reports and evidence; less often when idle, as each call is a wake-up."""
        requests = self.stats["flows.taken"]
        if requests != self.requests_seen:
            self.requests_seen, self.busy_until = requests, now + BUSY_PERIOD_S
        self.clock.schedule(
            now + (REPORT_INTERVAL_S if now < self.busy_until else IDLE_REPORT_INTERVAL_S), self.send_reports
        )
        self.usage_reports.send_due_reports(now)
        self.send_evidence(now)
        self.send_rollout_reports(now)

    def stop(self) -> None:
        """Stop being ready, so that clients go elsewhere; requests that still arrive are served."""
        if self.downstream.stopping:
            return
        self.downstream.stopping = True
        self.update_readiness()
        self.membership_transport.update_meta(self.meta(False))
        self.update_gateways()  # hands over the quotas owned here
        log("stops")
        self.drain = Drain(self, self.settings.bound("graceS", DEFAULT_GRACE_S))

    def shut_down(self) -> None:
        """Leave the membership and close everything."""
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


def main(path: str | None = None) -> None:
    """Run this program until it has stopped in order. Raises SettingsError, NotStartableError."""
    process_run.main(Node, path)
