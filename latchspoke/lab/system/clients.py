"""Simulated clients: cached gateway look-ups, connection pools, retries and impatient clients."""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

from latchspoke.lab.system.day_record import Attempt, ClientRequest, DayRecord
from latchspoke.lab.system.http_endpoints import Reply, start_call
from latchspoke.lab.system.network import (
    Network,
    PendingConnection,
    ProcessLoop,
    StreamTransport,
    new_process_loop,
)
from latchspoke.lab.system.scenario import Deployment, RequestKind
from latchspoke.lab.virtual import Address

IDLE_CONNECTION_S = 8.0
CONNECT_TIMEOUT_S = 1.0
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
NOT_EXECUTED_STATUSES = frozenset((429, 503, 408, 421))


class ClientConnection(asyncio.Protocol):
    """A client's connection to a gateway."""

    def __init__(self, client: Client, gateway: Address) -> None:
        self.client, self.gateway = client, gateway
        self.transport: StreamTransport | None = None
        self.current_request: PendingRequest | None = None
        self.keep, self.idle_at = True, 0.0
        self.reset()

    def reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body_parts: list[bytes] = []
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, StreamTransport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.current_request is None:
            if data and not self.complete:
                self.client.population.record.unexpected_data.append(
                    (self.client.now, self.gateway[0], repr(data[:60]))
                )
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.client.population.record.unexpected_data.append(
                (self.client.now, self.gateway[0], repr(data[:60]))
            )
            self.finish(-1)
            return
        if self.complete:
            self.finish(self.parser.get_status_code())

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        if self.complete:
            self.client.population.record.unexpected_data.append(
                (self.client.now, self.gateway[0], "a second answer")
            )
        self.complete = self.parser.get_status_code() >= 200

    def finish(self, status: int) -> None:
        request, self.current_request = self.current_request, None
        if request is None:
            return
        keep = self.complete and self.headers.get(b"connection", b"").lower() != b"close"
        if not keep:
            self.close()
        request.response_received(status, self.headers, b"".join(self.body_parts), self if keep else None)

    def close(self) -> None:
        self.client.idle_connections = [
            connection for connection in self.client.idle_connections if connection is not self
        ]
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.client.idle_connections = [
            connection for connection in self.client.idle_connections if connection is not self
        ]
        self.finish(-1)


@dataclass(eq=False)
class Client:
    """A client with one cached locator answer and a pool of connections."""

    population: ClientPopulation
    zone: str
    host: str
    loop: ProcessLoop
    ttl_factor: float  # multiple of the TTL for which an answer is used
    impatient: bool
    addresses: list[Address] = field(default_factory=list)
    addresses_until: float = -math.inf
    resolving: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)
    idle_connections: list[ClientConnection] = field(default_factory=list)
    failed_at: dict[Address, float] = field(default_factory=dict)

    @property
    def now(self) -> float:
        return self.loop.scheduler.now

    def with_addresses(self, callback: Callable[[], None]) -> None:
        """Call back once gateways are known, with expired addresses if the locator does not answer."""
        if self.now < self.addresses_until:
            callback()
            return
        self.waiting.append(callback)
        if not self.resolving:
            self.resolving = True
            self.resolve(self.population.locators(self.zone)[:3])

    def resolve(self, locators_left: list[Address]) -> None:
        if not locators_left:
            self.resolved(None, 0.5)
            return
        host, region = self.population.hosts[0], self.population.deployment.zones[self.zone]
        target = f"/resolution?name={host}&region={region}&zone={self.zone}"

        def done(reply: Reply) -> None:
            status, _, body = reply
            if status == 200:
                answer = json.loads(body)
                addresses = [
                    (a.rpartition(":")[0], int(a.rpartition(":")[2])) for a in answer.get("addresses", ())
                ]
                if addresses:
                    ttl_s = min(float(answer.get("ttlS", 1.0)), self.population.deployment.bound("ttl_max_s"))
                    self.resolved(addresses, ttl_s * self.ttl_factor)
                    return
            self.resolve(locators_left[1:])

        start_call(self.loop.network, self.loop, locators_left[0], "GET", target, None, 1.0, done)

    def resolved(self, addresses: list[Address] | None, ttl_s: float) -> None:
        self.resolving = False
        self.addresses_until = self.now + ttl_s
        if addresses is not None:
            self.addresses = addresses
            for connection in [
                connection for connection in self.idle_connections if connection.gateway not in addresses
            ]:
                connection.close()
        waiting, self.waiting = self.waiting, []
        for callback in waiting:
            callback()

    def choose_gateway(self) -> Address | None:
        """Random choice among the gateways that have not failed recently."""
        rng, now = self.population.rng, self.now
        healthy = [a for a in self.addresses if now - self.failed_at.get(a, -math.inf) > 3.0]
        return rng.choice(healthy or self.addresses) if self.addresses else None


class PendingRequest:
    """One request of a client over all its attempts."""

    def __init__(
        self,
        client: Client,
        kind: RequestKind,
        request: ClientRequest,
        host: str,
        path: str,
        key: str,
        body: bytes,
    ) -> None:
        self.client, self.kind, self.request = client, kind, request
        self.host, self.path, self.key, self.body = host, path, key, body
        self.deadline = request.at + kind.deadline_ms / 1000
        self.retries_left = kind.retries + (3 if client.impatient else 0)
        self.connection: ClientConnection | None = None
        self.pending_connection: PendingConnection | None = None
        self.current_attempt: Attempt | None = None
        self.finished = False
        self.refused_at = -1.0
        self.extra_headers = ""

    def start(self) -> None:
        self.client.loop.scheduler.at(self.deadline, self.deadline_expired)
        self.client.with_addresses(self.start_attempt)

    def start_attempt(self) -> None:
        client = self.client
        if self.finished:
            return
        if not self.kind.fresh and not self.request.attempts:
            while client.idle_connections:
                connection = client.idle_connections.pop()
                if (
                    client.now - connection.idle_at < IDLE_CONNECTION_S
                    and connection.transport is not None
                    and not connection.transport.is_closing()
                ):
                    self.send(connection)
                    return
                connection.close()
        address = client.choose_gateway()
        if address is None:
            client.addresses_until = -math.inf
            client.loop.scheduler.after(0.3, client.with_addresses, self.start_attempt)
            return
        connection = ClientConnection(client, address)
        pending = self.pending_connection = client.loop.network.connect(
            client.loop,
            address,
            lambda: connection,
            lambda transport: self.connected(connection),
            lambda error: self.connect_failed(address),
        )
        client.loop.scheduler.after(CONNECT_TIMEOUT_S, self.connect_timed_out, pending, address)

    def connected(self, connection: ClientConnection) -> None:
        if self.finished:
            connection.close()
        else:
            self.send(connection)

    def connect_timed_out(self, pending: PendingConnection, address: Address) -> None:
        if not pending.finished:
            pending.cancel()
            self.connect_failed(address)

    def connect_failed(self, address: Address) -> None:
        """Nothing was sent, so even a non-repeatable request may be retried."""
        self.client.failed_at[address] = self.client.now
        if not self.finished:
            self.request.attempts += 1
            self.retry(True, 0.02)

    def send(self, connection: ClientConnection) -> None:
        client, now = self.client, self.client.now
        remaining_ms = int((self.deadline - now) * 1000)
        if remaining_ms <= 0 or connection.transport is None:
            self.finish()
            return
        population = client.population
        self.connection, connection.current_request = connection, self
        connection.reset()
        self.request.attempts += 1
        ident = population.new_ident()
        self.current_attempt = attempt = Attempt(
            ident,
            self.request,
            self.host,
            self.path,
            self.kind.method,
            self.body,
            self.key,
            self.request.tenant,
            self.kind.repeatable,
            now,
            self.deadline,
            client.host,
            connection.gateway[0],
        )
        population.record.attempts[ident] = attempt
        connection.transport.write(encode_request(attempt, remaining_ms, self.extra_headers))
        if self.kind.repeatable:
            client.loop.scheduler.after(
                min(1.0, (self.deadline - now) / 3), self.retry_if_held_back, attempt, connection
            )

    def retry_if_held_back(self, attempt: Attempt, connection: ClientConnection) -> None:
        """Give up an attempt whose bytes are held back by a network cut."""
        if (
            self.current_attempt is attempt
            and connection.current_request is self
            and connection.transport is not None
            and connection.transport.held_back
        ):
            connection.current_request = None
            connection.close()
            self.retry(True, 0.0)

    def response_received(
        self, status: int, headers: dict[bytes, bytes], body: bytes, connection: ClientConnection | None
    ) -> None:
        attempt, client = self.current_attempt, self.client
        assert attempt is not None
        record_response(attempt, status, headers, body, client.now)
        if connection is not None:
            connection.idle_at = client.now
            client.idle_connections.append(connection)
        elif status < 0 and self.connection is not None:
            client.failed_at[self.connection.gateway] = client.now
        self.connection = None
        if self.finished:
            return
        self.request.status = status
        if 200 <= status < 300:
            latency_s = client.now - self.request.at
            kind = self.kind
            self.request.served = latency_s
            refused_early = self.refused_at >= 0 and self.refused_at <= kind.aim_ms / 4000
            worth = self.request.worth
            self.request.earned = worth if latency_s <= kind.aim_ms / 1000 else worth * kind.late
            if refused_early and latency_s > kind.aim_ms / 1000:
                self.request.earned = worth * (1 + kind.late) / 2
            self.finish()
            return
        if status in NOT_EXECUTED_STATUSES and self.refused_at < 0:
            self.refused_at = client.now - self.request.at
        pause = attempt.retry_after_s if attempt.retry_after_s is not None and not client.impatient else 0.02
        remaining_s = max(self.deadline - client.now, 0.0)
        allowed = status not in FINAL_STATUSES and (self.kind.repeatable or status in NOT_EXECUTED_STATUSES)
        self.retry(allowed, min(pause, remaining_s / 3))

    def retry(self, allowed: bool, pause: float) -> None:
        client = self.client
        if not allowed or self.retries_left <= 0 or client.now + pause >= self.deadline - 0.01:
            self.finish()
            return
        self.retries_left -= 1
        client.loop.scheduler.after(pause, client.with_addresses, self.start_attempt)

    def deadline_expired(self) -> None:
        if self.finished:
            return
        if self.pending_connection is not None:
            self.pending_connection.cancel()
        if self.connection is not None:
            self.connection.current_request = None
            self.connection.close()
        self.finish()

    def finish(self) -> None:
        self.finished = True
        self.request.ended = self.client.now


def encode_request(attempt: Attempt, remaining_ms: int, extra_headers: str = "") -> bytes:
    key = f"Authorization: Token {attempt.key}\r\n" if attempt.key else ""
    size = f"Content-Length: {len(attempt.body)}\r\n" if attempt.body else ""
    head = (
        f"{attempt.method} {attempt.path} HTTP/1.1\r\nHost: {attempt.host}\r\n"
        f"X-Attempt-Id: {attempt.ident}\r\nX-Deadline-Remaining: {remaining_ms}\r\n"
        f"{key}{size}{extra_headers}\r\n"
    )
    return head.encode() + attempt.body


def record_response(
    attempt: Attempt, status: int, headers: dict[bytes, bytes], body: bytes, now: float
) -> None:
    attempt.status, attempt.ended, attempt.answer = status, now, body
    attempt.seal = headers.get(b"x-server-seal", b"").decode("latin-1")
    attempt.echoed_ident = headers.get(b"x-attempt-id", b"").decode("latin-1")
    pause = headers.get(b"retry-after")
    if pause is not None:
        attempt.retry_after_s = float(pause)


class ClientPopulation:
    """All clients, and the traffic that they generate."""

    def __init__(
        self,
        deployment: Deployment,
        network: Network,
        record: DayRecord,
        seed: int,
        locators: Callable[[str], list[Address]],
        plan: Any,
    ) -> None:
        self.deployment, self.network, self.record = deployment, network, record
        self.rng = random.Random(f"clients:{seed}")
        self.locators, self.plan = locators, plan
        self.hosts: list[str] = plan.hosts
        self.load_factors: dict[str, float] = {}
        self.clients: dict[str, list[Client]] = {}
        self.attempt_count = 0
        self.until = 0.0
        self.load = 1.0
        for zone, region in deployment.zones.items():
            host = f"client:{zone}"
            network.host(host, zone, region)
            loop = new_process_loop(network, network.hosts[host], host)
            self.clients[zone] = [
                Client(self, zone, host, loop, 3.0 if self.rng.random() < 0.2 else 1.0,
                       self.rng.random() < deployment.impatient)
                for _ in range(deployment.clients)
            ]  # fmt: skip

    def new_ident(self) -> str:
        self.attempt_count += 1
        return f"{self.rng.getrandbits(40):010x}{self.attempt_count:06x}"

    def start(self, until: float) -> None:
        self.until = until
        zones = list(self.deployment.zones)
        for number, zone in enumerate(zones):
            for kind in self.deployment.kinds:
                phase = number / len(zones)
                self.network.scheduler.after(0.01 * number, self.schedule_next, zone, kind, phase)

    def schedule_next(self, zone: str, kind: RequestKind, phase: float) -> None:
        scheduler, rng = self.network.scheduler, self.rng
        if scheduler.now >= self.until:
            return
        load_wave = 1 + 0.2 * math.sin(2 * math.pi * (scheduler.now / 11.0 + phase))
        extra_load = sum((x - 1) * self.plan.share(name) for name, x in self.load_factors.items())
        rate = kind.per_s / len(self.deployment.zones) * load_wave * self.load * (1 + extra_load)
        scheduler.after(rng.expovariate(rate), self.schedule_next, zone, kind, phase)
        self.start_request(zone, kind)

    def start_request(self, zone: str, kind: RequestKind) -> None:
        """Start one request of a random client of the zone."""
        scheduler, rng = self.network.scheduler, self.rng
        client = rng.choice(self.clients[zone])
        tenant = self.plan.tenant(rng, self.load_factors, kind)
        request = ClientRequest(kind.name, zone, tenant, scheduler.now, kind.worth)
        self.record.requests.append(request)
        host, path, key = self.plan.address(rng, kind, tenant)
        body = rng.randbytes(kind.body) if kind.body else b""
        PendingRequest(client, kind, request, host, path, key, body).start()

    def probe(self, gateway: Address, host: str, path: str, key: str, tenant: str) -> None:
        """Send a request to a given gateway, whose answer shows the configuration in force there."""
        client = self.clients[next(iter(self.deployment.zones))][0]
        scheduler = self.network.scheduler
        ident = self.new_ident()
        attempt = Attempt(
            ident,
            None,
            host,
            path,
            "GET",
            b"",
            key,
            tenant,
            True,
            scheduler.now,
            scheduler.now + 2.0,
            client.host,
            gateway[0],
        )

        def done(reply: Reply) -> None:
            status, headers, body = reply
            if status:
                record_response(attempt, status, headers, body, scheduler.now)
            elif attempt.ended < 0:
                attempt.status = -1

        from latchspoke.lab.system.http_endpoints import HttpCall

        def connected(transport: StreamTransport) -> None:
            attempt.sent = scheduler.now
            self.record.attempts[ident] = attempt

        http_call = HttpCall(encode_request(attempt, 2000), done)
        pending = self.network.connect(client.loop, gateway, lambda: http_call, connected, lambda error: None)
        scheduler.after(2.0, pending.cancel)
