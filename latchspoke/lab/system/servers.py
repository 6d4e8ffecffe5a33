"""Simulated servers: slots, queue, restarts, cold start, draining and faulty behaviour."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from latchspoke.lab.system.callers import EXCHANGE_STATE_PATH
from latchspoke.lab.system.day_record import Arrival, DayRecord, ServerDrain
from latchspoke.lab.system.http_endpoints import ServerConnection, call
from latchspoke.lab.system.network import Network, new_process_loop
from latchspoke.lab.system.scenario import Deployment, RequestKind, Service
from latchspoke.lab.virtual import Address

SERVER_PORT = 8080
FIRST_VERSION = "v1"
OVERLOAD_FACTOR = 1.35  # multiple of the cold-start bound at which a server crashes
OVERLOAD_RESTART_S = 1.5
HEARTBEAT_PROPAGATION_S = 0.3  # allowance after an acknowledged heartbeat


@dataclass(slots=True, eq=False)
class Job:
    """A queued or running request."""

    connection: ServerConnection
    arrival: Arrival
    deadline: float
    timer: Any = None
    abandoned: bool = False
    fault: str = ""  # ``how`` of a grey or lying server


@dataclass(slots=True)
class ServerFault:
    """Faulty behaviour of the servers of a service for some time."""

    kind: str
    how: str
    share: float
    until: float
    service: str
    instances: frozenset[str] | None = None  # instance IDs; None: all of the service


@dataclass(slots=True, frozen=True)
class BadVersion:
    """How a bad version of a service behaves."""

    how: str
    share: float  # of its requests
    since: float


BAD_LOAD_FRACTION = 0.3  # of the slots in use, from which a version that is bad under load fails

# Longest delays of a duplicate response.
DUPLICATE_DELAYS_S = (0.004, 0.02, 0.3, 2.0)
SLOW_FACTOR = 8.0  # for "slow", and for "sick", which then fails


@dataclass
class ServerFleet:
    """All server instances, including stopped ones."""

    deployment: Deployment
    network: Network
    record: DayRecord
    seed: int
    control: Callable[[], list[Address]]  # control-plane addresses, possibly outdated
    instances: dict[str, ServerInstance] = field(default_factory=dict)
    faults: list[ServerFault] = field(default_factory=list)
    # By service and version.
    bad_versions: dict[tuple[str, str], BadVersion] = field(default_factory=dict)
    serial: int = 0
    hosts: int = 0
    # (since, IP, zone, service).
    free_addresses: list[tuple[float, str, str, str]] = field(default_factory=list)
    kinds: dict[str, RequestKind] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"servers:{self.seed}")

    def start_all(self) -> None:
        for service in self.deployment.services:
            for zone, count in service.servers.items():
                for _ in range(count):
                    self.start(service, zone, warm=True)

    def start(
        self, service: Service, zone: str, warm: bool = False, ip: str = "", version: str = ""
    ) -> ServerInstance:
        """Start an instance, without ``ip`` perhaps at an address that another service has released.

        ``version``: of its software; that of most servers of the service if it is not given.
        """
        scheduler = self.network.scheduler
        if not ip:
            delay = self.deployment.bound("reuseDelayS")
            for index, (released_at, free_ip, free_zone, service_before) in enumerate(self.free_addresses):
                if (
                    free_zone == zone
                    and service_before != service.name
                    and scheduler.now - released_at > delay + 0.1
                ):
                    ip = free_ip
                    del self.free_addresses[index]
                    break
        if not ip:
            self.hosts += 1
            ip = f"10.200.{self.hosts // 200}.{self.hosts % 200 + 1}"
            self.network.host(ip, zone, self.deployment.zones[zone])
        self.serial += 1
        speed = self.rng.choice(service.speeds) if service.speeds else 1.0
        instance = ServerInstance(
            self, service, f"i-{self.serial:04d}{self.rng.getrandbits(16):04x}", ip, zone, speed,
            version or self.usual_version(service.name),
        )  # fmt: skip
        if not warm:
            instance.cold_until = scheduler.now + service.cold_s
        self.instances[instance.ident] = instance
        instance.start()
        return instance

    def usual_version(self, service: str) -> str:
        """The version that most of the service's servers run."""
        counts = Counter(instance.version for instance in self.serving(service))
        return max(sorted(counts), key=lambda version: counts[version], default=FIRST_VERSION)

    def serving(self, service: str, zone: str = "") -> list[ServerInstance]:
        """Instances that are available."""
        return [
            instance
            for instance in self.instances.values()
            if instance.state == "available"
            and (not service or instance.service.name == service)
            and (not zone or instance.zone == zone)
        ]

    def fault_for(self, instance: ServerInstance, kinds: tuple[str, ...]) -> ServerFault | None:
        """Draws the fault of these kinds for one request, if any."""
        now = self.network.scheduler.now
        for fault in self.faults:
            matches = fault.service in ("", instance.service.name)
            if fault.instances is not None:
                matches = instance.ident in fault.instances
            if now < fault.until and matches and fault.kind in kinds:
                return fault if self.rng.random() < fault.share else None
        return None

    def idle_limit(self, instance: ServerInstance) -> float:
        """Seconds after which it silently drops an idle connection."""
        now = self.network.scheduler.now
        return min(
            (m.share for m in self.faults
             if m.kind == "idle_race" and now < m.until and m.service == instance.service.name),
            default=math.inf,
        )  # fmt: skip


def heartbeat_target(answer: bytes) -> Address | None:
    """Address for later heartbeats that the answer to one names."""
    named = str(msgspec.json.decode(answer or b"{}").get("heartbeatTarget", ""))
    host, _, port = named.rpartition(":")
    return (host, int(port)) if host else None


class ServerInstance:
    """One run of a server process."""

    def __init__(
        self, server_fleet: ServerFleet, service: Service, ident: str, ip: str, zone: str, speed: float,
        version: str,
    ) -> None:  # fmt: skip
        self.server_fleet, self.service, self.ident, self.ip, self.zone = (
            server_fleet,
            service,
            ident,
            ip,
            zone,
        )
        self.speed, self.cold_until, self.state = speed, -math.inf, "available"
        self.version = version
        self.region = server_fleet.deployment.zones[zone]
        self.loop = new_process_loop(server_fleet.network, server_fleet.network.hosts[ip], ident)
        self.scheduler = server_fleet.network.scheduler
        self.in_flight: list[Job] = []
        self.queue: deque[Job] = deque()
        self.connections: dict[ServerConnection, None] = {}
        self.recent_arrivals: deque[float] = deque()
        self.sequence = 0
        self.served = 0
        self.target: Address | None = None
        self.reported_cold_until = -math.inf  # as of the last acknowledged change
        self.reported_at = math.inf
        self.silent = False
        self.server_drain: ServerDrain | None = None
        self.max_in_flight = 0
        self.restart_after_s = -1.0  # after draining; negative: no restart
        self.attempts: dict[str, Arrival] = {}  # started, for queries of their state
        self.refused_attempts: set[str] = set()  # reported as not run, so never run later

    @property
    def address(self) -> Address:
        return self.ip, SERVER_PORT

    @property
    def cold(self) -> bool:
        return self.scheduler.now < self.cold_until

    # Lifecycle.

    def start(self) -> None:
        self.loop.create_task(self.loop.create_server(lambda: ServerConnection(self), *self.address))
        self.loop.create_task(self.heartbeat_loop())

    async def heartbeat_loop(self) -> None:
        rng, interval_s = self.server_fleet.rng, self.server_fleet.deployment.beat
        if self.scheduler.now < 1.0:
            await asyncio.sleep(rng.uniform(0.5, interval_s + 1.5))
        while self.state != "ended":
            if not self.silent:
                await self.send_heartbeat()
            await asyncio.sleep(interval_s * rng.uniform(0.9, 1.1))

    async def send_heartbeat(self) -> str:
        """Send a heartbeat; returns the IP of the node that accepted it, or ''."""
        self.sequence += 1
        heartbeat = {
            "service": self.service.name,
            "address": f"{self.ip}:{SERVER_PORT}",
            "zone": self.zone,
            "version": self.version,
            "capacitySlots": self.service.slots,
            "state": self.state,
            "callSequence": self.sequence,
            "coldRemainingS": round(max(self.cold_until - self.scheduler.now, 0.0), 3),
        }
        cold_until = self.cold_until
        accepted_by = await self.call_control("instances.heartbeat", msgspec.json.encode(heartbeat))
        if accepted_by and cold_until != self.reported_cold_until:
            self.reported_cold_until, self.reported_at = cold_until, self.scheduler.now
        return accepted_by

    @property
    def known_cold(self) -> bool:
        """Whether it is cold and gateways have had time to learn it."""
        return (
            self.cold
            and self.reported_cold_until >= self.cold_until
            and self.scheduler.now > self.reported_at + HEARTBEAT_PROPAGATION_S
        )

    async def call_control(self, method: str, body: bytes | None) -> str:
        addresses = self.server_fleet.control()
        self.server_fleet.rng.shuffle(addresses)
        if self.target in addresses:
            addresses.remove(self.target)
            addresses.insert(0, self.target)
        for address in addresses[:4]:
            status, _, answer = await call(
                self.loop, address, "POST", f"/rpc?call={method}&of={self.ident}", body, 1.0
            )
            if 200 <= status < 300:
                self.target = heartbeat_target(answer) or address
                return address[0]
        self.target = None
        return ""

    def begin_drain(self) -> None:
        """Begin an orderly shutdown."""
        if self.state == "available":
            self.state = "draining"
            self.loop.create_task(self.drain())

    async def drain(self) -> None:
        bound = self.server_fleet.deployment.bound
        self.server_drain = server_drain = ServerDrain(self.ident, self.scheduler.now)
        self.server_fleet.record.drains.append(server_drain)
        until = self.scheduler.now + bound("ackS")
        while self.scheduler.now < until:
            server_drain.answered_by = await self.send_heartbeat()
            if server_drain.answered_by:
                server_drain.acked_at = self.scheduler.now
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(bound("drainS") + 0.5)
        if server_drain.answered_by and await self.call_control("instances.deregister", None):
            server_drain.deregistered_at = self.scheduler.now
        for _ in range(40):
            if not self.in_flight and not self.queue:
                break
            await asyncio.sleep(0.1)
        if self.restart_after_s >= 0:
            self.restart(self.restart_after_s)
        else:
            self.stop()

    def stop(self, power: bool = False) -> None:
        """Stop at once, as in a crash."""
        if self.state == "ended":
            return
        self.state = "ended"
        for job in [*self.in_flight, *self.queue]:
            job.abandoned = True
            job.arrival.aborted = True
        self.loop.kill(power, self.server_fleet.rng)
        self.server_fleet.free_addresses.append((self.scheduler.now, self.ip, self.zone, self.service.name))

    def restart(self, delay: float) -> None:
        """Stop, and start a new instance at the same address after ``delay``."""
        self.stop()
        if self.server_fleet.free_addresses and self.server_fleet.free_addresses[-1][1] == self.ip:
            self.server_fleet.free_addresses.pop()
        self.scheduler.after(
            delay, self.server_fleet.start, self.service, self.zone, False, self.ip, self.version
        )

    # Requests.

    def connection_opened(self, connection: ServerConnection) -> None:
        self.connections[connection] = None
        if len(self.connections) > self.service.connections:
            assert connection.transport is not None
            connection.transport.abort()

    def connection_closed(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)
        job = connection.job
        if job is not None:
            job.abandoned = True
            if job in self.queue:
                self.queue.remove(job)
            elif job in self.in_flight:
                if job.timer is not None:
                    job.timer.cancel()
                self.in_flight.remove(job)
                job.arrival.ended = self.scheduler.now
                self.start_queued()

    def request_received(self, connection: ServerConnection, method: str, url: str, body: bytes) -> None:
        headers, now = connection.headers, self.scheduler.now
        if url == "/health" or url.startswith(EXCHANGE_STATE_PATH):
            self.answer_query(connection, url)
            return
        assert connection.transport is not None
        if now - connection.idle_since > self.server_fleet.idle_limit(self):
            connection.transport.abort()  # the connection was dropped already
            return
        source = connection.transport.there[0]
        ident = headers.get(b"x-attempt-id", b"").decode("latin-1")
        hosts = self.server_fleet.network.hosts
        latency_s = self.server_fleet.network.latency(hosts[source], hosts[self.ip])
        arrival = Arrival(
            ident,
            self.ident,
            self.service.name,
            self.zone,
            self.region,
            now,
            source,
            now - latency_s,
            method,
            url,
            body,
            headers.get(b"x-tenant-name", b"").decode("latin-1"),
            headers.get(b"authorization", b"").decode("latin-1"),
            cold=self.known_cold,
            version=self.version,
        )
        self.server_fleet.record.arrivals.append(arrival)
        expected = headers.get(b"x-expected-instance")
        not_run = b"X-Not-Executed: 1\r\n"
        if not ident:
            self.reply(connection, 400, not_run)
            return
        if expected is not None and expected.decode("latin-1") != self.ident:
            arrival.misrouted = True
            self.reply(connection, 421, not_run, arrival)
            return
        if self.cold and self.overloaded(now):
            self.restart(OVERLOAD_RESTART_S)
            return
        fault = self.server_fleet.fault_for(self, ("grey", "lying"))
        refused = ident in self.refused_attempts
        if refused or (fault is not None and fault.how in ("shed", "reset")):
            if refused or (fault is not None and fault.how == "shed"):
                self.reply(connection, 503, not_run, arrival)
            else:
                connection.transport.abort()
            return
        try:
            remaining_s = int(headers.get(b"x-deadline-remaining", b"60000")) / 1000
        except ValueError:
            remaining_s = 60.0
        how = fault.how if fault is not None else self.version_fault(url)
        arrival.bad = fault is None and bool(how)
        job = connection.job = Job(connection, arrival, now + remaining_s, fault=how)
        if len(self.in_flight) < self.service.slots:
            self.start_work(job)
        elif len(self.queue) < self.service.queue:
            self.queue.append(job)
        else:
            connection.job = None
            self.reply(connection, 503, not_run, arrival)

    def version_fault(self, url: str) -> str:
        """What a bad version does to this request: errors, slow or nothing."""
        fleet = self.server_fleet
        bad = fleet.bad_versions.get((self.service.name, self.version))
        if bad is None or self.scheduler.now < bad.since or fleet.rng.random() >= bad.share:
            return ""
        if bad.how == "load" and len(self.in_flight) < BAD_LOAD_FRACTION * self.service.slots:
            return ""
        kinds = [kind.name for kind in fleet.kinds.values() if self.service.name in (kind.service, kind.also)]
        if bad.how == "one_kind" and not url.startswith(f"/{kinds[0]}/"):
            return ""
        return "slow" if bad.how == "slow" else "errors"

    def answer_query(self, connection: ServerConnection, url: str) -> None:
        """Answer a health check or a query of an attempt; an unknown attempt is refused from then on."""
        own = self.ident.encode()
        if url == "/health":
            self.reply(connection, 200 if self.state == "available" else 503, b"X-Instance-Id: %b\r\n" % own)
            return
        if connection.headers.get(b"x-expected-instance", own) != own:
            self.reply(connection, 421, b"X-Not-Executed: 1\r\n")
            return
        ident = url.removeprefix(EXCHANGE_STATE_PATH)
        known = self.attempts.get(ident)
        if known is not None:
            state = "run" if known.ended < math.inf else "open"
        elif any(job.arrival.ident == ident for job in self.queue):
            state = "open"
        else:
            self.refused_attempts.add(ident)
            state = "not-run"
        asker = connection.headers.get(b"x-attempt-id", b"")
        self.reply(
            connection, 200, b"X-Attempt-Id: %b\r\nX-Server-Seal: s\r\nX-Exchange-State: %b\r\n"
            % (asker, state.encode()),
        )  # fmt: skip

    def overloaded(self, now: float) -> bool:
        """Whether this request overloads a cold server."""
        recent_arrivals, bound = self.recent_arrivals, self.server_fleet.deployment.bound
        recent_arrivals.append(now)
        while recent_arrivals[0] < now - 1.0:
            recent_arrivals.popleft()
        return (
            len(recent_arrivals)
            > (self.service.cold_per_s * bound("coldExcess") + bound("coldSlack")) * OVERLOAD_FACTOR
        )

    def start_work(self, job: Job) -> None:
        server_fleet, now = self.server_fleet, self.scheduler.now
        kind = (
            server_fleet.kinds.get(job.arrival.path.split("/")[1])
            if job.arrival.path.count("/") > 1
            else None
        )
        mean = (kind.work_ms if kind else 50.0) / 1000
        spread = kind.spread if kind else 0.3
        duration_s = mean * math.exp(server_fleet.rng.gauss(-spread * spread / 2, spread)) * self.speed
        if self.cold:
            duration_s *= self.service.cold_slow
        if job.fault:
            duration_s *= {"slow": SLOW_FACTOR, "sick": SLOW_FACTOR, "hang": 1000.0}.get(job.fault, 1.0)
        job.arrival.ran = True
        if server_fleet.deployment.callers is not None:
            self.attempts[job.arrival.ident] = job.arrival
        self.in_flight.append(job)
        self.max_in_flight = max(self.max_in_flight, len(self.in_flight))
        job.timer = self.scheduler.at(
            min(now + duration_s, max(job.deadline, now)),
            self.work_finished,
            job,
            now + duration_s > job.deadline,
        )

    def work_finished(self, job: Job, late: bool) -> None:
        if job.abandoned or self.loop.dead:
            return
        self.in_flight.remove(job)
        job.connection.job = None
        arrival, server_fleet = job.arrival, self.server_fleet
        arrival.ended = self.scheduler.now
        self.served += 1
        if late and job.fault == "hang":
            arrival.aborted = True  # never answered; the slot is freed at the deadline
            self.start_queued()
            return
        arrival.seal = f"{self.ident}.{self.served:x}.{server_fleet.rng.getrandbits(24):06x}"
        if late:
            self.reply(job.connection, 504, b"", arrival)
        elif job.fault in ("errors", "sick"):
            self.reply(job.connection, 500, b"", arrival)
        else:
            kind = server_fleet.kinds.get(arrival.path.split("/")[1])
            size = kind.answer if kind else 100
            arrival.answer = (arrival.seal + ";").encode() * (size // 24 + 1)
            fault = server_fleet.fault_for(self, ("lost_answers", "garbage"))
            if fault is not None:
                self.send_faulty_response(job.connection, arrival, fault)
            else:
                self.reply(job.connection, 200, b"", arrival)
        self.maybe_send_duplicate(job.connection, arrival)
        self.start_queued()

    def start_queued(self) -> None:
        while self.queue and len(self.in_flight) < self.service.slots:
            job = self.queue.popleft()
            if self.scheduler.now >= job.deadline:
                job.connection.job = None
                self.reply(job.connection, 503, b"X-Not-Executed: 1\r\n", job.arrival)
            else:
                self.start_work(job)

    def reply(
        self, connection: ServerConnection, status: int, more: bytes, arrival: Arrival | None = None
    ) -> None:
        if connection.transport is None or connection.transport.is_closing():
            return
        if arrival is not None:
            arrival.status = status
        connection.idle_since = self.scheduler.now
        connection.transport.write(self.answer(status, more, arrival))
        if self.state == "draining" or self.server_fleet.rng.random() < 0.004:
            connection.transport.close()

    def answer(self, status: int, more: bytes, arrival: Arrival | None) -> bytes:
        body = arrival.answer if arrival is not None and status == 200 else b""
        head = [b"HTTP/1.1 %d X\r\n" % status, more]
        if arrival is not None:
            head.append(b"X-Attempt-Id: %b\r\n" % arrival.ident.encode("latin-1"))
            if arrival.seal:
                head.append(b"X-Server-Seal: %b\r\n" % arrival.seal.encode())
        if self.state == "draining":
            head.append(b"Connection: close\r\n")
        else:
            head.append(b"Keep-Alive: timeout=10\r\n")
        return b"".join(head) + b"Content-Length: %d\r\n\r\n" % len(body) + body

    def send_faulty_response(
        self, connection: ServerConnection, arrival: Arrival, fault: ServerFault
    ) -> None:
        transport, scheduler = connection.transport, self.scheduler
        if transport is None or transport.is_closing():
            return
        response = self.answer(200, b"", arrival)
        arrival.status = 200
        match fault.kind, fault.how:
            case "lost_answers", how:
                arrival.aborted = True
                (transport.abort if how == "reset" else transport.close)()
            case "garbage", "cut":
                arrival.aborted = True
                transport.write(response[: len(response) * 2 // 3])
                transport.close()
            case "garbage", "extra":
                transport.write(response + self.duplicate_response(arrival))
            case "garbage", "late":
                transport.write(response)
                scheduler.after(
                    self.server_fleet.rng.uniform(0.001, 0.3),
                    transport.write,
                    self.duplicate_response(arrival),
                )
            case "garbage", "status":
                arrival.status = 500
                transport.write(self.answer(500, b"", arrival))
            case _:
                arrival.aborted = True
                transport.write(b"\x00\x01 no answer \xff\r\n\r\n")

    def maybe_send_duplicate(self, connection: ServerConnection, arrival: Arrival) -> None:
        """Perhaps send a late duplicate response, whatever is in flight on the connection by then."""
        if connection.transport is None or self.server_fleet.fault_for(self, ("stutter",)) is None:
            return
        rng = self.server_fleet.rng
        status = rng.choice((arrival.status or 200, 200, 500, 504))
        pause = rng.choice(DUPLICATE_DELAYS_S)
        self.scheduler.after(
            rng.uniform(0.0, pause), connection.transport.write, self.duplicate_response(arrival, status)
        )

    def duplicate_response(self, arrival: Arrival, status: int = 200) -> bytes:
        """An extra response to a request that has been answered."""
        body = b"stray;" * 20
        head = b"HTTP/1.1 %d X\r\nX-Attempt-Id: %b\r\nX-Server-Seal: %b\r\nContent-Length: %d\r\n\r\n"
        seal = b"stray." + arrival.seal.encode()
        return head % (status, arrival.ident.encode(), seal, len(body)) + body
