"""Deterministic simulation of the session record protocol with fault injection and invariant checks.

Gateways, servers and callers that move between gateways run in virtual time; a seed determines the schedule.
``guards`` names mutations of the protocol that the checks must detect (tests/session_records). The simulation
also yields the figures of benchmarks/travel.py.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from barleyhub.affinity.rendezvous import Member, rank_members
from barleyhub.affinity.rendezvous import caller_key as placed_key
from latchspoke.session_records.coordinator import (
    MIN_TTL_CONVERGENCE_PERIODS,
    AttemptPermit,
    Directive,
    Proceed,
    QueryServer,
    ReportState,
    RequestCoordinator,
    RequestPolicy,
    RetryLater,
)
from latchspoke.session_records.decision import ExchangeState
from latchspoke.session_records.record import ExchangeOutcome, Peer, SessionRecord, Version, record_key
from latchspoke.session_records.store import (
    Message,
    OutgoingMessage,
    RecordStore,
    StoredRecord,
    StoreOutput,
    decode_stored,
)
from latchspoke.transport.netstring import encode_frame

LEASE_S, LEASE_RENEWAL_S = 4.5, 0.8
CONVERGENCE_S = 6.0
FAILURE_DETECTION_S = (1.5, 3.0)  # range
RECOVERY_DETECTION_S = (0.05, 0.4)  # range
TICK_S = 0.25
SERVER_END_DELAY_S = 0.8  # until gateways learn that a server instance has ended
FAULT_SPACING_S = 5.0  # minimum time from one fault to the next
CLIENT_TIMEOUT_S = 2.5
LINK_DELAYS_S = (0.0014, 0.012)  # one way, between zones and between regions
SAME_ZONE_DELAY_S = 0.0002


@dataclass(slots=True)
class Server:
    """A server process. The sets hold the IDs of attempts; sealed ones will never run."""

    name: str
    zone: str
    region: str
    instance_id: str = ""
    up: bool = True
    running: set[str] = field(default_factory=set)
    completed: set[str] = field(default_factory=set)
    sealed: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ClientRequest:
    """A caller's request to one gateway."""

    request_id: str
    caller: str
    exchange_id: str
    gateway_name: str
    started_at: float
    answer: str = ""
    tried_instances: list[str] = field(default_factory=list)
    target: str = ""
    permitted_until: float = 0.0
    abandoned: bool = False  # the caller no longer waits for the answer
    disconnected: bool = False  # the gateway has noticed that the caller is gone
    done: bool = False  # the gateway has ended the request
    ran: bool = False
    lookup_s: float = -1.0


class Gateway:
    """A gateway with its own membership view and its own knowledge of servers."""

    def __init__(self, simulation: Simulation, name: str, zone: str, region: str, instance_id: int) -> None:
        self.simulation, self.name, self.zone, self.region, self.instance_id = (
            simulation,
            name,
            zone,
            region,
            f"{instance_id}",
        )
        self.up, self.frozen, self.isolated = True, False, False
        self.backlog: list[Callable[[], None]] = []
        self.view: dict[str, Peer] = {name: Peer(zone, region, self.instance_id)}
        self.lease_renewed_at = simulation.now
        self.stats: Counter[str] = Counter()
        self.store = simulation.create_store(self)
        self.coordinator = RequestCoordinator(self.store, self.is_known_instance)
        self.pins: dict[str, str] = {}  # instance by caller, without session records
        self.requests: dict[str, ClientRequest] = {}

    def is_known_instance(self, instance_id: str) -> bool:
        ended_at = self.simulation.ended_at.get(instance_id)
        return instance_id in self.simulation.instances and (
            ended_at is None or self.simulation.now < ended_at + SERVER_END_DELAY_S
        )

    def lease_until(self) -> float:
        return self.lease_renewed_at + LEASE_S

    def apply_view(self) -> None:
        self.simulation.carry_out(
            self, self.process_outputs(self.store.update_membership(dict(self.view), self.simulation.now))
        )

    def process_outputs(self, outputs: list[StoreOutput]) -> list[Directive]:
        self.coordinator.process_outputs(outputs, self.simulation.now)
        return self.coordinator.take_directives()


class Simulation:
    """A simulated deployment. Without ``records``, each gateway only pins callers to servers by itself."""

    def __init__(
        self, seed: int, gateways: int = 9, servers: int = 9, callers: int = 12, strict: bool = True,
        can_query: bool = True, records: bool = True, move_probability: float = 0.4,
        guards: frozenset[str] = frozenset(),
        home_regions: tuple[str, ...] = (), pause_s: float = 0.4, max_records: int = 100_000,
        ttl_s: float = 30.0,
    ) -> None:  # fmt: skip
        self.seed, self.rng, self.now = seed, random.Random(seed), 0.0
        self.guards, self.records, self.move_probability, self.pause_s, self.max_records = (
            guards,
            records,
            move_probability,
            pause_s,
            max_records,
        )
        self.policy = RequestPolicy(home_regions, ttl_s, 0.25 if strict else 0.05, strict, can_query)
        self.sequence, self.events = itertools.count(1), list[tuple[float, int, Callable[[], object]]]()
        self.violations: list[str] = []
        self.bytes_by_kind: Counter[str] = Counter()
        self.messages_by_kind: Counter[str] = Counter()
        self.lookup_times_s: list[float] = []
        # First requests after a move while the caller's server is up: sent to that server, sent elsewhere.
        self.affinity_results = [0, 0]
        self.committed: dict[str, tuple[Version, SessionRecord, float]] = {}  # with its expiry time
        self.last_delivery: dict[tuple[str, str], float] = {}
        self.runs: dict[str, list[str]] = {}
        self.last_run_at: dict[str, float] = {}  # by exchange
        self.remembered_s = max(ttl_s, MIN_TTL_CONVERGENCE_PERIODS * CONVERGENCE_S)  # since the last run
        self.reported_unknown: Counter[str] = Counter()
        self.requests: list[ClientRequest] = []
        self.finished: Counter[str] = Counter()
        self.cuts: set[frozenset[str]] = set()
        self.stall_before_send: set[str] = set()  # gateways to freeze right before they send
        self.servers: dict[str, Server] = {}
        for number in range(servers):
            region = number % 3
            server_name = f"s{number}"
            self.servers[server_name] = Server(
                server_name, f"r{region}z{number % 2}", f"r{region}", f"{server_name}-1"
            )
        self.instances = {server.instance_id for server in self.servers.values()}
        self.ended_at: dict[str, float] = {}
        self.gateways: dict[str, Gateway] = {}
        for number in range(gateways):
            region = number % 3
            name = f"g{number}"
            self.gateways[name] = Gateway(self, name, f"r{region}z{(number // 3) % 2}", f"r{region}", 1)
        peers = {
            peer_name: Peer(peer.zone, peer.region, peer.instance_id)
            for peer_name, peer in self.gateways.items()
        }
        for gateway in self.gateways.values():
            gateway.view = dict(peers)
            gateway.apply_view()
            self.schedule(self.rng.uniform(0, LEASE_RENEWAL_S), partial(self.renew_lease, gateway))
            self.schedule(self.rng.uniform(0, TICK_S), partial(self.tick, gateway))
        self.callers = [f"c{number}" for number in range(callers)]
        self.stop_at = 1e9
        self.last_served: dict[str, tuple[str, str]] = {}  # by caller: instance and gateway

    # Time.

    def schedule(self, delay_s: float, action: Callable[[], object]) -> None:
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), action))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def run_at(self, gateway: Gateway, action: Callable[[], None]) -> None:
        """Run an action at a gateway: deferred while it is frozen, dropped if it is down or was restarted."""
        if not gateway.up or self.gateways.get(gateway.name) is not gateway:
            return
        if gateway.frozen:
            gateway.backlog.append(action)
        else:
            action()

    # Gateways and servers.

    def create_store(self, gateway: Gateway) -> RecordStore:
        store_class = GUARD_MUTATIONS.get(next(iter(self.guards & GUARD_MUTATIONS.keys()), ""), RecordStore)
        return store_class(
            gateway.name,
            gateway.instance_id,
            CONVERGENCE_S,
            self.now,
            gateway.lease_until,
            gateway.stats,
            self.max_records,
            LEASE_S,
        )

    def renew_lease(self, gateway: Gateway) -> None:
        if gateway.up and self.gateways[gateway.name] is gateway:
            if not gateway.frozen and not gateway.isolated:
                gateway.lease_renewed_at = self.now
            self.schedule(LEASE_RENEWAL_S, lambda: self.renew_lease(gateway))

    def tick(self, gateway: Gateway) -> None:
        def run_tick() -> None:
            self.carry_out(gateway, gateway.coordinator.tick(self.now))

        if gateway.up and self.gateways[gateway.name] is gateway:
            self.run_at(gateway, run_tick)
            self.schedule(TICK_S, lambda: self.tick(gateway))

    def is_reachable(self, a: str, b: str) -> bool:
        first, second = self.gateways[a], self.gateways[b]
        running = first.up and second.up and not first.frozen and not second.frozen
        return running and frozenset((a, b)) not in self.cuts

    def update_views(self) -> None:
        """Adapt membership views to what is reachable, directly or by a third gateway, with random delays."""
        names = list(self.gateways)
        for a in names:
            for b in names:
                if a != b and self.gateways[a].up:
                    known = (
                        b in self.gateways[a].view
                        and self.gateways[a].view[b].instance_id == self.gateways[b].instance_id
                    )
                    if self.is_known_alive(a, b) != known:
                        self.schedule(
                            self.rng.uniform(*(RECOVERY_DETECTION_S if not known else FAILURE_DETECTION_S)),
                            partial(self.update, a, b),
                        )

    def is_known_alive(self, a: str, b: str) -> bool:
        return self.is_reachable(a, b) or any(
            self.is_reachable(a, c) and self.is_reachable(c, b) for c in self.gateways
        )

    def update(self, a: str, b: str) -> None:
        gateway, other = self.gateways[a], self.gateways[b]

        def apply() -> None:
            view = dict(gateway.view)
            if self.is_known_alive(a, b):
                view[b] = Peer(other.zone, other.region, other.instance_id)
            else:
                view.pop(b, None)
            if view != gateway.view:
                gateway.view = view
                gateway.apply_view()

        if not gateway.frozen:
            self.run_at(gateway, apply)

    def kill(self, name: str) -> None:
        self.gateways[name].up = False
        self.update_views()

    def start(self, name: str) -> None:
        previous = self.gateways[name]
        if previous.up:
            return
        gateway = self.gateways[name] = Gateway(
            self, name, previous.zone, previous.region, int(previous.instance_id) + 1
        )
        gateway.isolated = previous.isolated
        self.schedule(0.0, lambda: self.renew_lease(gateway))
        self.schedule(0.1, lambda: self.tick(gateway))
        gateway.apply_view()
        self.update_views()

    def freeze(self, name: str) -> None:
        self.gateways[name].frozen = True
        self.update_views()

    def thaw(self, name: str) -> None:
        self.stall_before_send.discard(name)
        gateway = self.gateways[name]
        gateway.frozen = False
        backlog, gateway.backlog = gateway.backlog, []
        for action in backlog:
            action()
        self.update_views()

    def partition(self, names: list[str], from_control_plane: bool = True) -> None:
        """Cut these gateways off from all others and, optionally, from lease renewal by the control plane."""
        inside = set(names)
        self.cuts |= {frozenset((a, b)) for a in inside for b in self.gateways if b not in inside}
        for name in names:
            self.gateways[name].isolated = from_control_plane
        self.update_views()

    def heal(self) -> None:
        self.cuts.clear()
        for gateway in self.gateways.values():
            gateway.isolated = False
        self.update_views()

    def add_server(self, name: str, region: int) -> None:
        """Add a server to the pool."""
        self.servers[name] = Server(name, f"r{region}z0", f"r{region}", f"{name}-1")
        self.instances.add(f"{name}-1")

    def restart_server(self, name: str, down_s: float = 0.5) -> None:
        """Restart a server at the same address as a new instance; the state of its attempts is lost."""
        server = self.servers[name]
        server.up = False
        self.ended_at.setdefault(server.instance_id, self.now)

        def begin() -> None:
            instance_id = f"{name}-{next(self.sequence)}"
            self.instances.add(instance_id)
            self.servers[name] = Server(name, server.zone, server.region, instance_id)

        self.schedule(down_s, begin)

    # Messages.

    def link_delay(self, zone: str, region: str, to_zone: str, to_region: str) -> float:
        base = (
            LINK_DELAYS_S[1]
            if region != to_region
            else LINK_DELAYS_S[0]
            if zone != to_zone
            else SAME_ZONE_DELAY_S
        )
        return base * self.rng.uniform(1.0, 1.2)

    def carry_out(self, gateway: Gateway, directives: list[Directive]) -> None:
        for directive in directives:
            match directive:
                case OutgoingMessage(to, message):
                    self.send_message(gateway, to, message)
                case Proceed(request_id, record):
                    self.choose_server(gateway, gateway.requests[request_id], record)
                case ReportState(request_id, state, exchange_id):
                    self.report_state(gateway, request_id, state, exchange_id)
                case RetryLater(request_id):
                    self.end_request(gateway, gateway.requests[request_id], "503")
                case QueryServer(request_id, instance_id, attempt_id):
                    self.query_server(gateway, request_id, instance_id, attempt_id)
                case AttemptPermit(request_id, granted, valid_until):
                    self.on_permit(gateway, gateway.requests.get(request_id), granted, valid_until)

    def send_message(self, gateway: Gateway, to: str, message: Message) -> None:
        self.observe(gateway, message)
        target = self.gateways.get(to)
        if target is None:
            return
        size = len(encode_frame(message))
        self.bytes_by_kind[str(message["w"])] += size
        self.messages_by_kind[str(message["w"])] += 1
        if frozenset((gateway.name, to)) in self.cuts:
            return
        delivered_at = self.now + self.link_delay(gateway.zone, gateway.region, target.zone, target.region)
        delivered_at = self.last_delivery[gateway.name, to] = max(
            delivered_at, self.last_delivery.get((gateway.name, to), 0.0) + 1e-6
        )

        def deliver() -> None:
            if frozenset((gateway.name, to)) not in self.cuts:
                self.carry_out(target, target.coordinator.receive(gateway.name, message, self.now))

        self.schedule(delivered_at - self.now, lambda: self.run_at(target, deliver))

    def observe(self, gateway: Gateway, message: Message) -> None:
        """Check the versions that owners acknowledge."""
        if message["w"] == "done" and message["word"] in ("given", "kept"):
            self.check_version(message["b"])

    def check_version(self, record: SessionRecord) -> None:
        """Invariant: versions of a record only increase, and no version stands for two contents."""
        last = self.committed.get(record.key)
        if last is not None and self.now > last[2]:
            last = None
        if last is not None and record.version <= last[0] and record != last[1]:
            self.violations.append(
                f"{self.now:.2f} version {record.version} of {record.gateway_instance}"
                f" after {last[0]} of {last[1].gateway_instance}"
            )
        if last is None or record.version > last[0]:
            self.committed[record.key] = record.version, record, self.now + record.ttl_s

    # Requests.

    def request(self, caller: str, exchange_id: str, gateway_name: str) -> ClientRequest:
        request_id = f"t{next(self.sequence)}"
        request = ClientRequest(request_id, caller, exchange_id, gateway_name, self.now)
        self.requests.append(request)
        gateway = self.gateways[gateway_name]
        if not gateway.up:
            request.answer = "closed"
        elif gateway.frozen:
            # It waits in the socket until the process continues.
            gateway.backlog.append(partial(self.accept, gateway, request))
        else:
            self.accept(gateway, request)
        return request

    def accept(self, gateway: Gateway, request: ClientRequest) -> None:
        caller, exchange_id, request_id = request.caller, request.exchange_id, request.request_id
        gateway.requests[request_id] = request
        if not self.records:
            instance_id = gateway.pins.get(caller, "")
            self.choose_server(
                gateway,
                request,
                SessionRecord(key="", instance_id=instance_id)
                if gateway.is_known_instance(instance_id)
                else None,
            )
            return
        key = record_key("route", "", caller.encode())
        directives = gateway.coordinator.start_request(request_id, key, exchange_id, self.policy, self.now)
        if gateway.coordinator.requests[request_id].awaiting_record:
            self.schedule(
                self.policy.lookup_timeout_s,
                lambda: self.run_at(
                    gateway,
                    lambda: self.carry_out(gateway, gateway.coordinator.lookup_expired(request_id, self.now)),
                ),
            )
        self.carry_out(gateway, directives)

    def choose_server(self, gateway: Gateway, request: ClientRequest, record: SessionRecord | None) -> None:
        if request.lookup_s < 0:
            request.lookup_s = self.now - request.started_at
            self.lookup_times_s.append(request.lookup_s)
        ready = {
            candidate.instance_id: candidate
            for candidate in self.servers.values()
            if gateway.is_known_instance(candidate.instance_id)
            and candidate.instance_id not in request.tried_instances
        }
        server = ready.get(record.instance_id) if record is not None and not request.tried_instances else None
        if server is None:
            members = [
                Member(candidate.name, 4.0, candidate.zone, candidate.region) for candidate in ready.values()
            ]
            ranks = rank_members(placed_key(request.caller.encode()), members)
            server = self.servers[ranks[0][2]] if ranks else None
        if server is None or len(request.tried_instances) >= 3:
            self.end_request(gateway, request, "503")
            return
        request.tried_instances.append(server.instance_id)
        request.target = server.name
        last, last_gateway = self.last_served.get(request.caller, ("", ""))
        serving = any(candidate.instance_id == last and candidate.up for candidate in self.servers.values())
        if serving and last_gateway != gateway.name and len(request.tried_instances) == 1:
            self.affinity_results[last != server.instance_id] += 1
        if not self.records:
            self.send_attempt(gateway, request, server.instance_id, server.name)
            return
        directives = gateway.coordinator.begin_attempt(
            request.request_id, "service", server.instance_id, server.name, self.now
        )
        if "unopened" in self.guards:
            directives = [
                directive
                if not isinstance(directive, AttemptPermit)
                else AttemptPermit(directive.request_id, True, 1e9)
                for directive in directives
            ]
            if not any(isinstance(directive, AttemptPermit) for directive in directives):
                directives.append(AttemptPermit(request.request_id, True, 1e9))
        self.carry_out(gateway, directives)

    def on_permit(
        self, gateway: Gateway, request: ClientRequest | None, granted: bool, valid_until: float
    ) -> None:
        if request is None or request.disconnected or request.done:
            return
        if not granted:
            self.end_attempt(gateway, request, ExchangeOutcome.NOT_RUN, None)
            return
        if gateway.name in self.stall_before_send:
            # The process is stalled right before the first byte.
            self.stall_before_send.discard(gateway.name)
            self.freeze(gateway.name)
        instance_id, server_name = request.tried_instances[-1], request.target
        if "no_pass" in self.guards:
            valid_until = 1e9
        # The connection is established first; the gateway may be stalled meanwhile.
        connect_s = self.rng.uniform(0.0005, 0.03)

        def write() -> None:
            if self.now >= valid_until:
                self.end_attempt(gateway, request, ExchangeOutcome.NOT_RUN, None)
            else:
                self.send_attempt(gateway, request, instance_id, server_name)

        self.schedule(connect_s, lambda: self.run_at(gateway, write))

    def send_attempt(
        self, gateway: Gateway, request: ClientRequest, instance_id: str, server_name: str
    ) -> None:
        server = self.servers[server_name]
        delay_s = self.link_delay(gateway.zone, gateway.region, server.zone, server.region)
        self.schedule(delay_s, lambda: self.receive_attempt(gateway, request, instance_id, server_name))

    def receive_attempt(
        self, gateway: Gateway, request: ClientRequest, instance_id: str, server_name: str
    ) -> None:
        server = self.servers[server_name]
        if not server.up or server.instance_id != instance_id or request.request_id in server.sealed:
            self.schedule(
                0.002,
                lambda: self.run_at(
                    gateway, lambda: self.end_attempt(gateway, request, ExchangeOutcome.NOT_RUN, instance_id)
                ),
            )
            return
        request.ran = True
        if self.now - self.last_run_at.get(request.exchange_id, -1e9) > self.remembered_s:
            self.runs.pop(request.exchange_id, None)  # its record may have expired
        self.last_run_at[request.exchange_id] = self.now
        self.runs.setdefault(request.exchange_id, []).append(instance_id)
        server.running.add(request.request_id)

        def finish() -> None:
            if self.servers[server_name] is not server or not server.up:
                self.run_at(
                    gateway, lambda: self.end_attempt(gateway, request, ExchangeOutcome.MAY_RUN, instance_id)
                )
                return
            server.running.discard(request.request_id)
            server.completed.add(request.request_id)
            lost = self.policy.strict and self.rng.random() < 0.03
            outcome = ExchangeOutcome.MAY_RUN if lost else ExchangeOutcome.ANSWERED
            self.schedule(
                1.0 if lost else 0.002,
                lambda: self.run_at(
                    gateway, lambda: self.end_attempt(gateway, request, outcome, instance_id)
                ),
            )

        self.schedule(self.rng.uniform(0.01, 0.4), finish)

    def end_attempt(
        self, gateway: Gateway, request: ClientRequest, outcome: ExchangeOutcome, instance_id: str | None
    ) -> None:
        if self.records:
            self.carry_out(gateway, gateway.coordinator.end_attempt(request.request_id, outcome, self.now))
        elif outcome is ExchangeOutcome.ANSWERED and instance_id is not None:
            gateway.pins[request.caller] = instance_id
        if outcome is ExchangeOutcome.ANSWERED:
            if instance_id is not None:
                self.last_served[request.caller] = instance_id, gateway.name
            self.end_request(gateway, request, "200")
        elif outcome is ExchangeOutcome.MAY_RUN:
            self.end_request(gateway, request, "502")
        elif not request.disconnected:
            self.choose_server(gateway, request, None)
        else:
            self.end_request(gateway, request, "closed")

    def report_state(self, gateway: Gateway, request_id: str, state: ExchangeState, exchange_id: str) -> None:
        request = gateway.requests[request_id]
        if state is ExchangeState.UNKNOWN:
            self.reported_unknown[exchange_id] += 1
        elif exchange_id not in self.runs:
            self.violations.append(f"{self.now:.2f} {exchange_id} reported as run, but it never ran")
        self.end_request(gateway, request, f"409 {state.value} {exchange_id}")

    def query_server(self, gateway: Gateway, request_id: str, instance_id: str, attempt_id: str) -> None:
        server = next(
            (
                candidate
                for candidate in self.servers.values()
                if candidate.instance_id == instance_id and candidate.up
            ),
            None,
        )
        state = ExchangeState.UNKNOWN
        if server is not None:
            state = ExchangeState.RUN if attempt_id in server.completed else ExchangeState.NOT_RUN
            if attempt_id in server.running:
                state = ExchangeState.OPEN
            if state is ExchangeState.NOT_RUN and "unsealed" not in self.guards:
                server.sealed.add(attempt_id)
        elif "silence" in self.guards:
            state = ExchangeState.NOT_RUN
        self.schedule(
            0.01,
            lambda: self.run_at(
                gateway,
                lambda: self.carry_out(
                    gateway, gateway.coordinator.on_server_state(request_id, state, self.now)
                ),
            ),
        )

    def end_request(self, gateway: Gateway, request: ClientRequest, answer: str) -> None:
        request.done = True
        if not request.answer:
            request.answer = answer
            if answer == "503" and request.ran:
                self.violations.append(f"{self.now:.2f} {request.request_id} ran and was answered 503")
        gateway.requests.pop(request.request_id, None)
        gateway.coordinator.end_request(request.request_id)

    # Callers.

    def start_callers(self) -> None:
        for caller in self.callers:
            first_gateway = self.rng.choice(list(self.gateways))
            self.schedule(self.rng.uniform(0, 1), partial(self.start_exchange, caller, first_gateway, 1))

    def start_exchange(self, caller: str, gateway_name: str, number: int) -> None:
        if self.now < self.stop_at:
            self.send_request(caller, f"{caller}.{number}", gateway_name, number, 1)

    def next_gateway(self, gateway_name: str) -> str:
        if self.rng.random() >= self.move_probability:
            return gateway_name
        return self.rng.choice([other for other in self.gateways if other != gateway_name])

    def send_request(
        self, caller: str, exchange_id: str, gateway_name: str, number: int, attempts: int
    ) -> None:
        request = self.request(caller, exchange_id, gateway_name)
        abandons = self.rng.random() < self.move_probability / 2
        wait_s = self.rng.uniform(0.005, 0.4) if abandons else CLIENT_TIMEOUT_S
        self.await_answer(request, self.now + wait_s, lambda: self.on_answer(request, number, attempts))

    def await_answer(self, request: ClientRequest, until: float, continuation: Callable[[], None]) -> None:
        if request.answer or self.now >= until:
            if not request.answer:
                request.abandoned, request.answer, request.disconnected = (
                    True,
                    "left",
                    self.rng.random() < 0.5,
                )
            continuation()
        else:
            self.schedule(0.005, lambda: self.await_answer(request, until, continuation))

    def on_answer(self, request: ClientRequest, number: int, attempts: int) -> None:
        gateway_name, exchange_id = request.gateway_name, request.exchange_id
        answer = request.answer.split()
        if answer[0] == "200" or (answer[0] == "409" and answer[1] == "run" and answer[2] == exchange_id):
            self.finished[exchange_id] += 1
            if exchange_id not in self.runs:
                self.violations.append(
                    f"{self.now:.2f} {exchange_id} was answered {request.answer}, but it never ran"
                )
            self.schedule(
                self.rng.uniform(0.1, 2 * self.pause_s),
                lambda: self.start_exchange(request.caller, self.next_gateway(gateway_name), number + 1),
            )
            return
        # Unanswered, refused or in doubt: the caller sends it again, possibly to another gateway.
        if attempts > 400:
            self.violations.append(
                f"{self.now:.2f} {exchange_id} is still unanswered after {attempts} attempts"
            )
            return
        next_gateway_name = (
            self.next_gateway(gateway_name) if answer[0] != "closed" else self.rng.choice(list(self.gateways))
        )
        pause_s = 0.3 if answer[0] == "503" else 0.02
        self.schedule(
            pause_s,
            lambda: self.send_request(request.caller, exchange_id, next_gateway_name, number, attempts + 1),
        )

    # Results.

    def check(self) -> list[str]:
        """Violations, among them exchanges that ran too often.

        On strict routes an exchange may run once, and once more for each time it was reported as unknown.
        """
        violations = list(self.violations)
        for exchange_id, instance_ids in self.runs.items():
            if self.policy.strict and len(instance_ids) > 1 + self.reported_unknown[exchange_id]:
                violations.append(f"{exchange_id} ran {len(instance_ids)} times: {instance_ids}")
        return violations


class UnfencedStore(RecordStore):
    """Mutation: the replica accepts writes of any gateway and version."""

    def on_replicate(self, owner: str, message: Message) -> None:
        stored = decode_stored(message, self.now)
        assert stored is not None
        self.store(stored)
        self.send(owner, {"w": "kept", "q": message["q"], "ok": True})


class LeaselessStore(RecordStore):
    """Mutation: the owner acts without a lease."""

    def execute(self, sender: str, message: Message, retried: bool = False) -> None:
        self.lease_until = lambda: 1e18
        super().execute(sender, message, retried)


class UnconfirmedTakeoverStore(RecordStore):
    """Mutation: a new owner acts without recovery."""

    def required_confirmations(self, key: str, home_regions: tuple[str, ...]) -> list[str] | None:
        return []


class UnrenewedLeaseStore(RecordStore):
    """Mutation: a new owner acts before its lease is renewed, though it may be partitioned off."""

    def required_confirmations(self, key: str, home_regions: tuple[str, ...]) -> list[str] | None:
        self.lease_s = -1e18
        return super().required_confirmations(key, home_regions)


class EpochAdoptingStore(RecordStore):
    """Mutation: an owner continues in a later epoch of another owner without recovery."""

    def merge(self, stored: StoredRecord) -> bool:
        superseded, recovered = set(self.superseded), dict(self.recovered_in_view)
        merged = super().merge(stored)
        self.superseded, self.recovered_in_view = superseded, recovered
        return merged


class UncheckedWriteStore(RecordStore):
    """Mutation: the owner accepts writes of gateways that no longer serve the caller."""

    def execute(self, sender: str, message: Message, retried: bool = False) -> None:
        stored = self.get(message["b"].key) if message["w"] == "write" else None
        if stored is not None:
            position = stored.record.gateway_instance, stored.record.move, stored.record.write_number + 1
            message = message | {"b": with_position(message["b"], *position)}
        super().execute(sender, message, retried)


class SilentStore(RecordStore):
    """Mutation: records are not sent to their new owners and replicas."""

    def send_updates(self) -> None:
        pass


class UndeclaredEvictionStore(RecordStore):
    """Mutation: the loss of evicted records is ignored."""

    def required_confirmations(self, key: str, home_regions: tuple[str, ...]) -> list[str] | None:
        self.incomplete_until = 0.0
        return super().required_confirmations(key, home_regions)


def with_position(
    record: SessionRecord, gateway_instance: str, move: int, write_number: int
) -> SessionRecord:
    from msgspec.structs import replace

    return replace(record, gateway_instance=gateway_instance, move=move, write_number=write_number)


GUARD_MUTATIONS: dict[str, type[RecordStore]] = {
    "unfenced": UnfencedStore, "rightless": LeaselessStore, "hasty": UnconfirmedTakeoverStore,
    "careless": UncheckedWriteStore, "mute": SilentStore,
    "forgetful": UndeclaredEvictionStore, "unproven": UnrenewedLeaseStore, "adopting": EpochAdoptingStore,
}  # fmt: skip


FAULT_KINDS = ("kill", "cut", "freeze", "stall", "stall", "region", "server", "server", "pool")


def schedule_faults(simulation: Simulation, until: float, kinds: tuple[str, ...] = FAULT_KINDS) -> None:
    """Schedule random faults: gateways killed, partitioned off or frozen, regions lost, servers restarted.

    One fault at a time, each spaced from the previous one so that records have been replicated anew: the
    protocol tolerates the loss of a machine, a zone or a region, but not of owner, replica and serving
    gateway by two faults in quick succession.
    """
    rng, fault_at = simulation.rng, 1.0
    while fault_at < until:
        kind = rng.choice(kinds)
        name, duration_s = rng.choice(list(simulation.gateways)), rng.uniform(0.3, 9.0)
        begin, end = fault_actions(simulation, kind, name, rng)
        simulation.schedule(fault_at, begin)
        simulation.schedule(fault_at + duration_s, end)
        fault_at += max(duration_s, FAULT_SPACING_S) + rng.uniform(0.0, 3.0)


def fault_actions(
    simulation: Simulation, kind: str, name: str, rng: random.Random
) -> tuple[Callable[[], None], Callable[[], None]]:
    """Begin and end of a fault."""
    region = simulation.gateways[name].region
    region_gateways = [
        gateway_name for gateway_name, gateway in simulation.gateways.items() if gateway.region == region
    ]
    server_name = rng.choice(list(simulation.servers))
    actions: dict[str, tuple[Callable[[], None], Callable[[], None]]] = {
        "kill": (lambda: simulation.kill(name), lambda: simulation.start(name)),
        "cut": (lambda: simulation.partition([name]), simulation.heal),
        "freeze": (lambda: simulation.freeze(name), lambda: simulation.thaw(name)),
        "stall": (partial(simulation.stall_before_send.add, name), lambda: simulation.thaw(name)),
        "region": (
            partial(for_each, simulation.kill, region_gateways),
            partial(for_each, simulation.start, region_gateways),
        ),
        "server": (lambda: simulation.restart_server(server_name), lambda: None),
        "pool": (lambda: simulation.restart_server(server_name, 8.0), lambda: None),
    }
    return actions[kind]


def for_each(action: Callable[[str], None], names: list[str]) -> None:
    for name in names:
        action(name)


def run_schedule(
    seed: int, duration_s: float = 40.0, kinds: tuple[str, ...] = FAULT_KINDS, **settings: object
) -> Simulation:
    """Run one random schedule; faults end before the callers do, so that all exchanges can finish."""
    simulation = Simulation(seed, **settings)  # type: ignore[arg-type]
    simulation.start_callers()
    schedule_faults(simulation, duration_s - 12.0, kinds)
    simulation.stop_at = duration_s
    simulation.run(duration_s + 40.0)
    return simulation
