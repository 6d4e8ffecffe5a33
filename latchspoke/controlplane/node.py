"""The control-plane process: connects its parts and runs them from start to SIGTERM."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from latchspoke import process_run
from latchspoke.agent.raft_store import RaftStoreError
from latchspoke.configstore.config_state import ConfigState as StoredState
from latchspoke.configstore.config_state import Verdict
from latchspoke.configstore.replica import Replica
from latchspoke.configstore.voters import DEFAULT_CATCH_UP_S, Location
from latchspoke.configuration.patch import apply_patch
from latchspoke.consensus.records import name_of
from latchspoke.controlplane.calls import (
    ApiCall,
    heartbeat_target,
    parse_call,
    select_gateways,
)
from latchspoke.controlplane.configuration_orders import ConfigurationController
from latchspoke.controlplane.evacuation_orders import EvacuationController
from latchspoke.controlplane.fanout import (
    FORWARD_FIELD,
    MAX_REQUESTED_SERVERS,
    RegionTopology,
    servers_message,
)
from latchspoke.controlplane.pauses import PauseDetector
from latchspoke.controlplane.peers import Peers
from latchspoke.controlplane.relays import GatewayRelays
from latchspoke.controlplane.rollouts import RolloutController
from latchspoke.controlplane.store_access import NO_QUORUM, STORE_TIMEOUT_S
from latchspoke.controlplane.update_batcher import ServerUpdateBatcher
from latchspoke.distribution.published_state import CommittedState, Subscriber, decode_entries
from latchspoke.membership.protocol import MembershipEvent
from latchspoke.membership.transport import COMPRESSION_META_KEY
from latchspoke.node_process import CONTROL_PORT_OFFSET, NodeProcess, NotStartableError
from latchspoke.outliers.evidence import EvidenceStore
from latchspoke.registry.registry import Entry, HeartbeatError, State, parse_heartbeat
from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.connection_limit import ConnectionLimit
from latchspoke.transport.http_server import LOCAL_CALLER, Caller, HttpServerConnection, Response
from latchspoke.transport.log import log
from latchspoke.transport.request_ids import first_request_id

SWEEP_INTERVAL_S = 0.25
HEARTBEAT_REPORT_INTERVAL_S = 1.0  # between reports of received heartbeats to the other control-plane nodes
PROOF_INTERVAL_S = 0.4  # minimum between proof rounds; requests that arrive meanwhile share the next one
REPLICATION_TIMEOUT_S = 0.8  # for a majority of the control-plane nodes to confirm a server's state
SUBSCRIBER_ACK_TIMEOUT_S = 0.35  # a committed command waits this long for the gateways subscribed here
ISOLATION_GRACE_S = 3.5  # after reconnecting to a peer, before missing heartbeats count against servers
EVIDENCE_DELAY_S = 0.1  # collects the gateways' evidence on servers before it is sent on
EVIDENCE_RETRY_DELAY_S = 0.3  # until evidence that changed too little to be sent is checked again
RESOLUTION_TTL_S = 1.0  # how long clients cache a gateway look-up
CALLER_DESCRIPTOR_FRACTION = 0.5  # for connections of servers, operators and clients; links need the rest
MIN_CALLER_CONNECTIONS = 16
MIN_SHUTDOWN_DELAY_S = 0.1  # for what has been written
MAX_ANSWER_DELAY_S = 0.6  # at the end, for calls that are being answered
RECEIPT: Message = {"k": "heard"}  # answers a message without a reply, to show that the path works
STATUS_BY_VERDICT = {"taken": 200, "repeated": 200, "conflict": 412, "invalid": 400}


@dataclass(slots=True)
class PendingReplication:
    """The voters that a server's state was sent to, and how many more must confirm it."""

    awaited: set[str]
    remaining: int
    completed: asyncio.Future[None]

    def record_confirmation(self, name: str) -> None:
        """A control-plane node has confirmed the state."""
        if name in self.awaited:
            self.awaited.discard(name)
            self.remaining -= 1
            if not self.remaining and not self.completed.done():
                self.completed.set_result(None)


class Node(NodeProcess):
    """One control-plane process."""

    PORT_OFFSET = CONTROL_PORT_OFFSET

    def build(self) -> None:
        """Create the parts of the control-plane node and connect them. Raises NotStartableError."""
        s = self.settings
        self.own_name = self.internal_endpoint
        founders = tuple(f"{host}:{port}" for host, port in self.seed_addresses())
        self.ledger, self.evidence_scheduled = EvidenceStore(), False
        self.relays = GatewayRelays(self.own_name, self.rng)
        topology = RegionTopology(self.own_name, s.region, self.rng)
        self.peers = Peers(
            self.own_name, self.peer_connected, self.handle_peer_reply, self.relays, topology, self.clock.now,
            self.output_budget,
        )  # fmt: skip
        if s.data_directory is None:
            raise NotStartableError("dataDirectory is missing: a control machine needs a disk")
        try:
            self.replica = self.open_replica(founders, s.data_directory)
        except RaftStoreError as error:
            raise NotStartableError(str(error)) from None
        meta = {
            "role": "core",
            "zone": s.zone,
            "region": s.region,
            "link": self.internal_endpoint,
            "ready": True,
            COMPRESSION_META_KEY: True,
        }
        self.membership_transport = self.create_membership_transport(meta)
        self.gateway_updates = ServerUpdateBatcher(self.clock, self.published_state.publish_entries)
        self.peer_updates = ServerUpdateBatcher(self.clock, self.send_servers_to_peers)
        self.unreported_heartbeats: dict[str, Entry] = {}  # since the last report
        self.pending_replications: dict[int, PendingReplication] = {}
        self.replication_number = first_request_id(self.instance_id)
        # Connection, proof ID and time of each request that waits for a proof.
        self.proof_requests: list[tuple[MessageConnection, int, float]] = []
        self.proof_running = False
        self.connected_since = self.started_at = self.clock.now()
        self.pauses = PauseDetector(SWEEP_INTERVAL_S, self.started_at)
        evacuations = self.evacuations = EvacuationController(
            self.replica, s, self.clock.now, self.pauses, self.rng, self.respond
        )
        configurations = self.configurations = ConfigurationController(
            self.replica, self.max_decoded_bytes, self.respond
        )
        self.rollouts = RolloutController(
            self.replica, s, self.clock.now, self.peers.send, self.live_gateways, self.spawn, self.respond
        )
        self.handlers: dict[str, Callable[[ApiCall, bytes, Caller], Response | Awaitable[Response]]] = {
            "instances.heartbeat": lambda call, body, caller: self.handle_heartbeat(call.subject, body),
            "instances.deregister": lambda call, body, caller: self.handle_deregistration(call.subject),
            "configuration.replace": lambda call, body, caller: configurations.handle_change(body, caller),
            "configuration.modify": lambda call, body, caller: configurations.handle_change(body, caller),
            "configuration.read": lambda call, body, caller: configurations.handle_read(),
            "evacuation.begin": lambda call, body, caller: evacuations.handle_call(
                call.subject, True, caller
            ),
            "evacuation.finish": lambda call, body, caller: evacuations.handle_call(
                call.subject, False, caller
            ),
            "rollouts.begin": lambda call, body, caller: self.rollouts.handle_begin(body, caller),
            "rollouts.read": lambda call, body, caller: self.rollouts.handle_read(call.subject),
            "rollouts.revert": lambda call, body, caller: self.rollouts.handle_revert(call.subject),
            "GET /resolution": lambda call, body, caller: self.resolve_gateways(call),
            "GET /status": lambda call, body, caller: self.show_view("status"),
            "GET /metrics": lambda call, body, caller: self.show_view("metrics"),
            "GET /history": lambda call, body, caller: self.show_view("history"),
            "GET /register/copy": lambda call, body, caller: self.export_state(),
        }
        self.connection_limit = ConnectionLimit(
            max(int(s.file_descriptors * CALLER_DESCRIPTOR_FRACTION), MIN_CALLER_CONNECTIONS)
        )
        self.stopping = False
        self.unknown_calls = 0  # calls that no handler answers, since the start

    # The replicated store.

    def open_replica(self, founders: tuple[str, ...], home: Path) -> Replica:
        """The replica on this machine's disk. Raises RaftStoreError."""
        return Replica(
            self.own_name, founders, self.settings.initial_start, home,
            self.send_store_message,  # type: ignore[arg-type]
            apply_patch,  # type: ignore[arg-type]
            self.store_applied, self.clock.now, lambda event, fields: log(event, **fields),
            catch_up=self.settings.bound("catchUpS", DEFAULT_CATCH_UP_S),
        )  # fmt: skip

    def send_store_message(self, name: str, message: Message) -> None:
        """Send a message of the replicated store to another control-plane node."""
        self.peers.send(name, {"k": "reg", "m": message})

    def store_applied(self, stored: StoredState) -> None:
        """The replicated store has applied committed commands; only committed state is published."""
        self.rollouts.record_applied(stored)
        if self.replica.read_confirmed:
            self.publish_committed()

    def publish_committed(self) -> None:
        """Publish the newest committed state to gateways, unless they have it."""
        stored = self.replica.state
        committed = CommittedState(
            stored.index, stored.version, stored.document, stored.evacuated, dict(stored.rollouts)
        )
        if self.published_state.update_committed(committed, self.clock.now()):
            log(
                "orders",
                version=f"{committed.version:08x}",
                index=committed.index,
                evacuated=",".join(sorted(committed.evacuated)),
                rollouts=",".join(f"{name}:{record.state}" for name, record in committed.rollouts.items()),
            )

    def handle_proof_request(self, connection: MessageConnection, proof_id: int) -> None:
        """A gateway asks for a proof that its state is current; concurrent requests share a round."""
        self.proof_requests.append((connection, proof_id, self.clock.now()))
        if not self.proof_running:
            self.proof_running = True
            self.spawn(self.run_proof_rounds())

    async def run_proof_rounds(self) -> None:
        """Run quorum rounds while proof requests are waiting.

        A proof holds as of the start of its round. Requests that arrived later are answered with its age.
        """
        try:
            while self.proof_requests:
                round_started_at = self.clock.now()
                await self.run_proof_round(round_started_at)
                if self.proof_requests:
                    await asyncio.sleep(max(round_started_at + PROOF_INTERVAL_S - self.clock.now(), 0.01))
        finally:  # the next request starts them again, however they have ended
            self.proof_running = False

    async def run_proof_round(self, round_started_at: float) -> None:
        """Answer the requests that wait: all with a quorum, those from before the round without one."""
        request_count = len(self.proof_requests)
        index = await self.confirm_index()
        requests, self.proof_requests = self.proof_requests, []
        if index is None:
            requests, self.proof_requests = requests[:request_count], requests[request_count:]
            for connection, proof_id, _ in requests:
                connection.send({"k": "proven", "t": proof_id})
            return
        self.publish_committed()
        # The index applied here: a gateway that has applied it too is current.
        applied_index = self.published_state.committed.index
        for connection, proof_id, requested_at in requests:
            age = max(requested_at - round_started_at, 0.0)
            proof = {"k": "proven", "t": proof_id, "index": applied_index}
            connection.send(proof | {"age": round(age + 0.001, 4)} if age else proof)

    async def confirm_index(self) -> int | None:
        """The index up to which this node is confirmed to be current; None without a quorum."""
        try:
            return await self.replica.confirm_read(
                STORE_TIMEOUT_S, deferrable=self.published_state.committed.index > 0
            )
        except Exception as error:  # a failed round must not end the proof rounds
            log("proof-failed", why=repr(error))
            return None

    # Other control-plane nodes.

    def peer_connected(self, connection: MessageConnection) -> None:
        """A connection to a peer has opened: send it the known servers."""
        now = self.clock.now()
        if self.peers.topology.sends_snapshot(str(connection.tag), self.peers.alive):
            supports_compression = str(connection.tag) in self.peers.topology.forwarding_nodes
            connection.send(servers_message(self.registry.snapshot(now), supports_compression))

    def handle_peer_reply(self, connection: MessageConnection, message: Message) -> None:
        """A message of a peer on a connection opened by this node."""
        self.peers.record_received(str(connection.tag))
        if message.get("k") == "got":
            self.handle_replication_confirmation(str(connection.tag), message)

    def handle_replication_confirmation(self, name: str, message: Message) -> None:
        """A peer confirms that it has the server state of a message."""
        pending = self.pending_replications.get(int(message["n"]))
        if pending is not None:
            pending.record_confirmation(name)

    def handle_relayed_message(self, connection: MessageConnection, message: Message, now: float) -> None:
        """A message of a peer that a gateway has relayed."""
        name, relayed_message = str(message["from"]), message["m"]
        self.relays.record_received(name, connection, now)
        if relayed_message["k"] == "got":
            self.handle_replication_confirmation(name, relayed_message)
        else:
            self.handle_peer_message(
                name, relayed_message, now, lambda reply: self.relays.send(name, reply, now)
            )

    def handle_peer_message(
        self, name: str, message: Message, now: float, reply: Callable[[Message], object]
    ) -> bool:
        """Handle a message of a peer, direct or relayed; False if it is of another kind."""
        match message.get("k"):
            case "reg":
                self.replica.receive(name, message["m"])
            case "roster":
                reply({"k": "got", "n": message["n"]} if "n" in message else RECEIPT)
                self.merge_servers(message, now)
            case "beats":
                reply(RECEIPT)
                self.refresh_heartbeats(name, message, now)
            case "want":
                self.send_requested_servers(name, message, now)
            case "moved":  # of an older release: when evacuations changed, as far as its sender knows
                pass
            case "rollouts":
                reply(RECEIPT)
                self.rollouts.handle_reports(message)
            case _:
                return False
        return True

    def handle_message(self, connection: MessageConnection, message: Message) -> None:
        """A message on an inbound connection, from a peer or a gateway."""
        now = self.clock.now()
        if isinstance(connection.tag, str):
            self.peers.record_received(connection.tag)
        match message.get("k"):
            case "relayed":
                self.handle_relayed_message(connection, message, now)
            case "peer":
                connection.tag = str(message["name"])
                if message.get("fans"):
                    self.peers.topology.forwarding_nodes.add(connection.tag)
            case "hot":
                self.handle_evidence(connection, message, now)
            case "rollout":
                self.rollouts.handle_report(message)
            case "hello":
                self.publisher.handle_message(connection, message)
                self.relays.add_gateway(connection)
                if evidence := self.ledger.snapshot(now, connection.tag.zone):
                    connection.send({"k": "hot", "e": evidence})
            case _:
                if not self.handle_peer_message(str(connection.tag), message, now, connection.send):
                    self.publisher.handle_message(connection, message)

    def inbound_closed(self, connection: MessageConnection, reason: str) -> None:
        """An inbound connection has closed."""
        super().inbound_closed(connection, reason)
        self.relays.remove_connection(connection)
        if isinstance(connection.tag, Subscriber):
            self.ledger.remove_gateway(connection.tag.name)

    def handle_evidence(self, connection: MessageConnection, message: Message, now: float) -> None:
        """Evidence on servers, from a subscribed gateway or from a peer."""
        if isinstance(connection.tag, Subscriber):
            self.ledger.add_reports(connection.tag.name, connection.tag.zone, message["w"], now)
        else:
            self.ledger.merge(str(connection.tag), message["e"], now)
        self.schedule_evidence(now + EVIDENCE_DELAY_S)

    def schedule_evidence(self, at: float) -> None:
        """Schedule ``send_evidence``, unless it is scheduled already."""
        if not self.evidence_scheduled:
            self.evidence_scheduled = True
            self.clock.schedule(at, self.send_evidence)

    def send_evidence(self, now: float) -> None:
        """Send new evidence on servers to the peers and the subscribed gateways."""
        self.evidence_scheduled = False
        if entries := self.ledger.updates_for_peers(now):
            self.peers.broadcast({"k": "hot", "e": entries})
        evidence_by_zone = self.ledger.updates_for_gateways(
            now, {subscriber.zone for subscriber in self.published_state.subscribers}
        )
        for subscriber in list(self.published_state.subscribers):
            if evidence := evidence_by_zone.get(subscriber.zone):
                subscriber.send({"k": "hot", "e": evidence})
        if self.ledger.has_pending():
            self.schedule_evidence(now + EVIDENCE_RETRY_DELAY_S)

    def merge_servers(self, message: Message, now: float) -> None:
        """Merge a peer's servers, and forward the message within the region if it asks for that."""
        self.gateway_updates.add(self.registry.merge(decode_entries(message), now), now)
        if FORWARD_FIELD in message:
            self.peers.forward_in_region(message)

    def refresh_heartbeats(self, sender: str, message: Message, now: float) -> None:
        """Refresh the servers of a peer's heartbeat report; request those that are unknown here."""
        changed_entries, unknown = [], []
        for instance_id, sequence, age in message["b"]:
            if self.registry.refresh(instance_id, sequence, now - age):
                continue
            old = self.registry.entries.get(instance_id)
            if old is None:
                unknown.append(instance_id)
            elif old.state is not State.GONE:
                new = Entry(
                    instance_id, old.service, old.address, old.zone, old.slots, old.state, sequence,
                    old.cold_until, now - age,
                )  # fmt: skip
                entry, changed = self.registry.update(new, now)
                if changed:
                    changed_entries.append(entry)
        self.gateway_updates.add(changed_entries, now)
        if FORWARD_FIELD in message:
            self.peers.forward_in_region(message)
        if unknown:
            self.peers.send(sender, {"k": "want", "i": unknown[:MAX_REQUESTED_SERVERS]})

    def send_requested_servers(self, requester: str, message: Message, now: float) -> None:
        """A peer requests servers that it knows only by their instance IDs."""
        entries = self.registry.entries
        known = [
            entries[instance_id].to_message(now) for instance_id in message["i"] if instance_id in entries
        ]
        if known:
            self.peers.send(
                requester, servers_message(known, requester in self.peers.topology.forwarding_nodes)
            )

    def report_heartbeats(self, now: float) -> None:
        """Report the heartbeats received here to the other control-plane nodes."""
        heartbeats, self.unreported_heartbeats = self.unreported_heartbeats, {}
        if heartbeats:
            summaries = [
                [entry.instance_id, entry.sequence, round(now - entry.last_heartbeat_at, 2)]
                for entry in heartbeats.values()
            ]
            self.peers.fan_out({"k": "beats", "b": summaries})

    def send_servers_to_peers(self, entries: list[Entry], now: float) -> None:
        """Send changed servers to the other control-plane nodes."""
        self.peers.fan_out(
            servers_message(
                [entry.to_message(now) for entry in entries], self.peers.all_support_compression()
            )
        )

    async def replicate(self, entry: Entry) -> bool:
        """Whether a majority of the control-plane nodes, including this one, has the server's state.

        A single copy is not enough: its node may be partitioned off together with this one.
        """
        self.replication_number += 1
        replication_number, voters = self.replication_number, self.replica.voters
        now = self.clock.now()
        reached = self.peers.broadcast({"k": "roster", "e": [entry.to_message(now)], "n": replication_number})
        remaining = len(voters) // 2 + 1 - (self.own_name in voters)
        pending = self.pending_replications[replication_number] = PendingReplication(
            voters.intersection(reached), remaining, self.loop.create_future()
        )
        try:
            if len(pending.awaited) < remaining:
                return False
            if remaining > 0:
                await asyncio.wait_for(pending.completed, REPLICATION_TIMEOUT_S)
        except TimeoutError:
            return False
        finally:
            self.pending_replications.pop(replication_number, None)
        return True

    # API calls.

    def handle_request(
        self, method: str, target: str, body: bytes, caller: Caller = LOCAL_CALLER
    ) -> Response | Awaitable[Response]:
        """Answer an API call of an operator, a server or a client."""
        call = parse_call(method, target)
        handler = self.handlers.get(call.name)
        if handler is None:
            self.unknown_calls += 1
            log("unknown-call", method=method, target=target[:100])
            return 404, {"errorText": f"no such call: {method} {target[:100]}"}
        return handler(call, body, caller)

    def resolve_gateways(self, call: ApiCall) -> Response:
        """Answer a client's look-up with the addresses of gateways."""
        membership, query = self.membership_transport.membership, call.query
        members = list(membership.alive.values())
        addresses = select_gateways(
            members, membership.suspects, query.get("zone", ""), query.get("region", ""), self.rng
        )
        if not addresses:
            return 503, {"errorText": "no gateway is ready"}
        ttl = min(RESOLUTION_TTL_S, self.settings.bound("ttl_max_s", RESOLUTION_TTL_S))
        return 200, {"addresses": addresses, "ttlS": ttl}

    def handle_heartbeat(self, instance_id: str, body: bytes) -> Response | Awaitable[Response]:
        """Handle a server's heartbeat."""
        import msgspec

        now = self.clock.now()
        try:
            new = parse_heartbeat(instance_id, msgspec.json.decode(body), now)
        except (HeartbeatError, msgspec.DecodeError) as error:
            return 400, {"errorText": str(error)}
        if not self.registry.accepts(instance_id):
            return 503, {"errorText": f"{self.registry.max_instances} servers are known: no room for more"}
        previous = self.registry.entries.get(instance_id)
        cold_until = previous.cold_until if previous is not None else math.inf
        entry, changed = self.registry.update(new, now)
        if changed and (
            entry.cold_until > max(cold_until, now) or (previous and entry.state is not State.READY)
        ):
            self.broadcast_to_gateways(entry, now)
        if changed:
            self.gateway_updates.add([entry], now)
            # A report with this sequence number would hide the change from the peers.
            self.unreported_heartbeats.pop(instance_id, None)
        else:
            self.unreported_heartbeats[instance_id] = entry
        if entry.state is not State.READY or (changed and entry.cold_until > now):
            # Replicated also when cold, as this node may be partitioned off.
            return self.respond_when_replicated(entry)
        if changed:
            self.peer_updates.add([entry], now)
        return 200, self.heartbeat_target_field(entry)

    def heartbeat_target_field(self, entry: Entry) -> dict[str, str]:
        """The response field that redirects a server's later heartbeats, or no field."""
        membership, settings = self.membership_transport.membership, self.settings
        region = settings.regions_by_zone.get(entry.zone, "")
        members = list(membership.alive.values())
        host = heartbeat_target(members, membership.suspects, region, settings.region, self.rng)
        if not host:
            return {}
        port = settings.listen_addresses["controlPlane"][1]  # the same on all nodes
        return {"heartbeatTarget": f"{host}:{port}"}

    def broadcast_to_gateways(self, entry: Entry, now: float) -> None:
        """Send a server to all gateways by datagram; some may be subscribed to an unreachable node."""
        gateways = [
            m for m in self.membership_transport.membership.alive.values() if m.meta.get("role") == "edge"
        ]
        self.membership_transport.multicast({"e": [entry.to_message(now)]}, [m.address for m in gateways])

    async def respond_when_replicated(self, entry: Entry) -> Response:
        """Acknowledge a server's change once a majority of the control-plane nodes has it."""
        if await self.replicate(entry):
            return 200, {}
        return 503, {"errorText": "no majority of the control machines knows of it yet"}

    def handle_deregistration(self, instance_id: str) -> Awaitable[Response]:
        """Handle a server's deregistration."""
        now = self.clock.now()
        entry, changed = self.registry.mark_gone(instance_id, now)
        if changed:
            self.gateway_updates.add([entry], now)
            self.broadcast_to_gateways(entry, now)
        return self.respond_when_replicated(entry)

    async def respond(self, command: dict[str, Any], verdict: Verdict) -> Response:
        """The response to a command; after a commit, waits briefly for the gateways subscribed here."""
        log("order", what=command["do"], verdict=verdict.kind, why=verdict.reason, index=verdict.index)
        if not verdict.ok:
            return STATUS_BY_VERDICT.get(verdict.kind, 503), {
                "errorText": verdict.reason,
                "version": f"{verdict.version:08x}",
            }
        deadline = self.clock.now() + SUBSCRIBER_ACK_TIMEOUT_S
        index = min(verdict.index, self.published_state.committed.index)
        while self.published_state.count_behind(index) and self.clock.now() < deadline:
            await asyncio.sleep(0.01)
        return 200, {"version": f"{verdict.version:08x}"}

    async def export_state(self) -> Response:
        """An export of the committed state, with every acknowledged command; 503 without a quorum."""
        if await self.replica.confirm_read(STORE_TIMEOUT_S) is None:
            return NO_QUORUM
        return self.show_view("copy")

    def show_view(self, what: str) -> Response:
        """One of the views for operators."""
        from latchspoke.controlplane import view  # imported only when needed

        return 200, view.render_view(self, what)

    # Membership.

    def membership_changed(self, change: MembershipEvent) -> None:
        """A member has joined, changed or gone."""
        if change.kind != "changed":
            log("membership", what=change.kind, who=change.member.name)
        if change.member.meta.get("role") == "core" and change.kind in ("joined", "gone"):
            self.control_nodes_changed()

    def live_gateways(self) -> list[str]:
        """The names of the live gateways."""
        members = self.membership_transport.membership.alive.values()
        return [member.name for member in members if member.meta.get("role") == "edge"]

    def control_nodes_changed(self) -> None:
        """Pass the live control-plane nodes to the peer links and the replicated store."""
        alive = {
            f"{m.host}:{m.port}": Location(str(m.meta.get("zone", "")), str(m.meta.get("region", "")))
            for m in self.membership_transport.membership.alive.values()
            if m.meta.get("role") == "core"
        }
        configured = {name_of(identity) for identity in self.replica.node.member.members.all}
        self.peers.update_nodes(alive, configured)
        self.replica.update_peers(alive)

    # Lifecycle.

    async def start(self) -> None:
        """Listen and start the periodic work."""
        s = self.settings
        self.replica.start()  # before a request can arrive
        await self.listen_internal(self.membership_transport)
        for name in ("controlPlane", "directoryService"):
            if name in s.listen_addresses:
                await self.listen(
                    lambda: HttpServerConnection(
                        self.handle_request,
                        self.call_budget,
                        self.connection_limit,
                        self.input_turns,
                        takes_large_body,
                    ),
                    s.listen_addresses[name],
                    512,
                )
        self.control_nodes_changed()
        now = self.clock.now()
        self.pauses.start(now)
        self.clock.schedule(now + SWEEP_INTERVAL_S, self.sweep)
        self.clock.schedule(now + HEARTBEAT_REPORT_INTERVAL_S, self.report_heartbeats_periodically)
        self.serving_started(control=str(s.listen_addresses.get("controlPlane")))

    def sweep(self, now: float) -> None:
        """Periodic work: missed heartbeats, expired evidence, unpublished state, changed settings."""
        self.clock.schedule(now + SWEEP_INTERVAL_S, self.sweep)
        self.pauses.tick(now)
        if not self.peers.connected_count and len(self.peers.links):
            self.connected_since = now
        changed = self.registry.sweep(now, detect_silence=now - self.connected_since > ISOLATION_GRACE_S)
        self.gateway_updates.add(changed, now)
        self.ledger.sweep(now)
        self.rollouts.tick(now)
        if self.replica.read_confirmed and self.published_state.committed.index < self.replica.state.index:
            self.publish_committed()
        self.control_nodes_changed()
        self.settings_watch.poll(now)

    def report_heartbeats_periodically(self, now: float) -> None:
        """Periodic: ``report_heartbeats``."""
        self.clock.schedule(now + HEARTBEAT_REPORT_INTERVAL_S, self.report_heartbeats_periodically)
        self.report_heartbeats(now)

    def stop(self) -> None:
        """Shut down in order (SIGTERM)."""
        if not self.stopping:
            self.stopping = self.configurations.stopping = True
            log("stops")
            self.spawn(self.shut_down())

    async def shut_down(self) -> None:
        """Stop the replicated store, leave the membership and close the connections."""
        await self.replica.stop()  # calls that wait for it are answered now
        until = self.clock.now() + MAX_ANSWER_DELAY_S
        await asyncio.sleep(MIN_SHUTDOWN_DELAY_S)
        while self.clock.now() < until and any(caller.busy for caller in self.connection_limit.connections):
            await asyncio.sleep(MIN_SHUTDOWN_DELAY_S / 2)
        self.membership_transport.leave()
        for server in self.listeners:
            server.close()
        self.peers.stop()
        self.membership_transport.stop()
        self.stopped.set()


def takes_large_body(target: bytes) -> bool:
    """Whether calls of this target may have a large body: those that carry a configuration."""
    return b"call=configuration." in target


def main(path: str | None = None) -> None:
    """Run this program until it has stopped in order. Raises SettingsError, NotStartableError."""
    process_run.main(Node, path)
