"""Identified callers that run one exchange at a time, some of which move between zones.

Used only if the deployment has ``callers``. A moving caller may reach the gateways of another zone from one
request to the next, or in the middle of one: it closes its connection and retries there, like a phone that
changes networks. All attempts of an exchange carry the same ``X-Exchange``. ``find_exchange_errors`` compares
the answers with what the servers ran.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from latchspoke.lab.system.clients import Client, ClientConnection, ClientPopulation, PendingRequest
from latchspoke.lab.system.day_record import Attempt, ClientRequest, DayRecord, Doc, Exchange
from latchspoke.lab.system.scenario import CallerSettings, Deployment, RequestKind
from latchspoke.lab.virtual import Address

EXCHANGE_STATE_PATH = "/exchange/"  # where servers report the state of an attempt
MAX_ATTEMPTS = 12  # per exchange
# Probability of changing zones between requests, and during a request.
MOVE_CHANCE, ABANDON_CHANCE = 0.5, 0.2
ABANDON_DELAY_S = (0.01, 0.4)  # after the request was sent
DONE, UNKNOWN = "done", "unknown"  # outcomes of an exchange for its caller


def affinity_settings(callers: CallerSettings) -> Doc | None:
    """Affinity settings of each route, or None without affinity."""
    if callers.way == "today":
        return None
    settings: Doc = {
        "callerFrom": ["path:2"],
        "exchangeS": 0 if callers.way == "kept" else callers.exchange_s,
    }
    if callers.way in ("travels", "strict"):
        settings["travels"] = {"lookUpS": callers.look_s, "exchangeFrom": "header:X-Exchange"}
        if callers.way == "strict":
            settings["travels"] |= {"whenLost": "refuse"} | (
                {"askPath": EXCHANGE_STATE_PATH} if callers.ask else {}
            )
    return settings


@dataclass(eq=False)
class CallerClient(Client):
    """A caller's client in one zone; it keeps its gateway while the locator lists it and it answers."""

    resolver: Client | None = None  # resolves gateway addresses for it
    gateway: Address | None = None

    def with_addresses(self, callback: Callable[[], None]) -> None:
        assert self.resolver is not None
        resolver = self.resolver

        def resolved() -> None:
            self.addresses = resolver.addresses
            callback()

        resolver.with_addresses(resolved)

    def choose_gateway(self) -> Address | None:
        now = self.now
        healthy = [a for a in self.addresses if now - self.failed_at.get(a, -1e9) > 3.0] or self.addresses
        if self.gateway not in healthy:
            self.gateway = self.population.rng.choice(healthy) if healthy else None
        return self.gateway


@dataclass(eq=False)
class Caller:
    """A caller that sends one kind of request."""

    number: int
    kind: RequestKind
    tenant: str
    zone: str
    travels: bool
    clients: dict[str, CallerClient] = field(default_factory=dict)
    busy: bool = False
    exchange_count: int = 0


class PendingExchange(PendingRequest):
    """One exchange over all its attempts, in whatever zone they are made."""

    def __init__(
        self,
        population: CallerPopulation,
        caller: Caller,
        request: ClientRequest,
        host: str,
        path: str,
        key: str,
    ) -> None:
        body = population.rng.randbytes(caller.kind.body) if caller.kind.body else b""
        super().__init__(population.client_of(caller), caller.kind, request, host, path, key, body)
        self.population, self.caller = population, caller
        caller.exchange_count += 1
        caller.busy = True
        # A non-repeatable request may be retried only if gateways record the state of exchanges.
        self.recorded = population.settings.way == "strict" and not caller.kind.repeatable
        self.retries_left = MAX_ATTEMPTS
        self.exchange = Exchange(
            f"{path[1:].replace('/', '-')}-{caller.exchange_count}", caller.kind.repeatable
        )
        population.record.exchanges[self.exchange.ident] = self.exchange
        self.extra_headers = f"X-Exchange: {self.exchange.ident}\r\n"

    def send(self, connection: ClientConnection) -> None:
        super().send(connection)
        attempt, rng = self.current_attempt, self.population.rng
        if attempt is None or connection.current_request is not self:
            return
        attempt.exchange = self.exchange.ident
        self.exchange.attempts.append(attempt.ident)
        if self.caller.travels and rng.random() < ABANDON_CHANCE:
            self.client.loop.scheduler.after(rng.uniform(*ABANDON_DELAY_S), self.abandon, attempt, connection)

    def abandon(self, attempt: Attempt, connection: ClientConnection) -> None:
        """The caller moves: close the connection and retry."""
        if self.current_attempt is attempt and connection.current_request is self and not self.finished:
            connection.current_request = None
            connection.close()
            self.retry(self.recorded or self.kind.repeatable, 0.02)

    def retry(self, allowed: bool, pause: float) -> None:
        attempt = self.current_attempt
        status = attempt.status if attempt is not None else 0
        if self.recorded and status in (-1, 502, 504):
            allowed, pause = True, max(pause, 0.1)
        if self.caller.travels and self.population.rng.random() < MOVE_CHANCE:
            self.population.move(self.caller)
            self.client = self.population.client_of(self.caller)
        super().retry(allowed, pause)

    def response_received(
        self, status: int, headers: dict[bytes, bytes], body: bytes, connection: ClientConnection | None
    ) -> None:
        if status == 409:
            state = headers.get(b"x-exchange-state", b"").decode()
            name = headers.get(b"x-exchange", b"").decode()
            if state == UNKNOWN and name in self.population.record.exchanges:
                self.population.record.exchanges[name].unknown_answers += 1
            if name == self.exchange.ident:
                self.exchange.outcome = DONE if state == "run" else UNKNOWN
                status = 200 if state == "run" else 400  # no further attempt in either case
                super().response_received(status, headers, body, connection)
                if self.current_attempt is not None:
                    self.current_attempt.status = 409
                return
        if 200 <= status < 300:
            self.exchange.outcome = DONE
        super().response_received(status, headers, body, connection)

    def finish(self) -> None:
        self.caller.busy = False
        super().finish()


class CallerPopulation(ClientPopulation):
    """All clients, where each request comes from an identified caller."""

    def __init__(self, deployment: Deployment, *others: Any) -> None:
        super().__init__(deployment, *others)
        assert deployment.callers is not None
        self.settings = deployment.callers
        zones, tenants = list(deployment.zones), self.plan.shares
        self.callers_by_zone: dict[tuple[str, str], list[Caller]] = defaultdict(list)
        rng = random.Random(f"callers:{deployment.name}")
        for kind in deployment.kinds:
            for number in range(self.settings.count):
                (tenant,) = rng.choices(list(tenants), list(tenants.values()))
                # The moving callers are spread evenly over the zones.
                travels = number // len(zones) * len(zones) < round(
                    self.settings.count * self.settings.travelling
                )
                caller = Caller(number, kind, tenant, zones[number % len(zones)], travels)
                self.callers_by_zone[caller.zone, kind.name].append(caller)

    def client_of(self, caller: Caller) -> CallerClient:
        """The client of this caller in its present zone."""
        client = caller.clients.get(caller.zone)
        if client is None:
            zone_clients = self.clients[caller.zone]
            resolver = zone_clients[caller.number % len(zone_clients)]
            client = caller.clients[caller.zone] = CallerClient(
                self, caller.zone, resolver.host, resolver.loop, 1.0, False, resolver=resolver
            )
        return client

    def move(self, caller: Caller) -> None:
        caller.zone = self.rng.choice([z for z in self.deployment.zones if z != caller.zone])

    def start_request(self, zone: str, kind: RequestKind) -> None:
        rng = self.rng
        idle_callers = [caller for caller in self.callers_by_zone[zone, kind.name] if not caller.busy]
        if not idle_callers:
            return
        caller = rng.choice(idle_callers)
        if caller.travels and rng.random() < MOVE_CHANCE:
            self.move(caller)
        request = ClientRequest(kind.name, caller.zone, caller.tenant, self.network.scheduler.now, kind.worth)
        self.record.requests.append(request)
        host, _, key = self.plan.address(rng, kind, caller.tenant)
        PendingExchange(self, caller, request, host, f"/{kind.name}/{caller.number:x}", key).start()


def find_exchange_errors(record: DayRecord) -> tuple[list[str], list[str]]:
    """Returns repeated and lost exchanges.

    Repeated: a non-repeatable exchange ran more than once beyond the times that its outcome was reported as
    unknown. Lost: an exchange was reported as done and never ran.
    """
    run_counts: dict[str, int] = defaultdict(int)
    for arrival in record.arrivals:
        attempt = record.attempts.get(arrival.ident)
        if arrival.ran and attempt is not None and attempt.exchange:
            run_counts[attempt.exchange] += 1
    non_repeatable = [e for e in record.exchanges.values() if not e.repeatable]
    repeated = [
        f"{e.ident} ran {run_counts[e.ident]} times"
        for e in non_repeatable
        if run_counts[e.ident] > 1 + e.unknown_answers
    ]
    never_run = [
        f"{e.ident} never ran"
        for e in record.exchanges.values()
        if e.outcome == DONE and not run_counts[e.ident]
    ]
    return repeated, never_run
