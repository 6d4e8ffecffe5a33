"""The servers: slots, a queue, lives, a cold start, an orderly end, and what a server in trouble does."""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from latchspoke.lab.system.callers import ASK
from latchspoke.lab.system.calls import Taker, call
from latchspoke.lab.system.network import Network, loop_of
from latchspoke.lab.system.record import Arrival, Leaving, Record
from latchspoke.lab.system.records import Deployment, Kind, Service
from latchspoke.lab.virtual import Address

PORT = 8080
FALL = 1.35  # of the bound on a cold server, at which it falls over
FALLEN = 1.5  # s until it is back
KNOWN = 0.3  # s from a beat that was taken until the news is counted on


@dataclass(slots=True, eq=False)
class Job:
    """A request that waits or is in work."""

    taker: Taker
    arrival: Arrival
    until: float
    timer: Any = None
    left: bool = False
    ill: str = ""  # what a grey or lying server does with it


@dataclass(slots=True)
class Mischief:
    """What servers of a service do for some time."""

    kind: str
    how: str
    share: float
    until: float
    service: str
    among: frozenset[str] | None = None  # ids of lives; None: all of the service


STUTTERED = (0.004, 0.02, 0.3, 2.0)  # s at most until a second answer: at once, or behind other requests
SLOW = 8.0  # times as slow as usual: a grey server; a sick one fails after that time


@dataclass
class ServerFleet:
    """All servers, over all their lives."""

    deployment: Deployment
    network: Network
    record: Record
    seed: int
    control: Callable[[], list[Address]]  # as the seeds' list says, which lags
    lives: dict[str, Life] = field(default_factory=dict)
    mischiefs: list[Mischief] = field(default_factory=list)
    serial: int = 0
    hosts: int = 0
    free: list[tuple[float, str, str, str]] = field(default_factory=list)  # since, ip, zone, service
    kinds: dict[str, Kind] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.draw = random.Random(f"servers:{self.seed}")

    def start_all(self) -> None:
        for service in self.deployment.services:
            for zone, count in service.servers.items():
                for _ in range(count):
                    self.start(service, zone, warm=True)

    def start(self, service: Service, zone: str, warm: bool = False, ip: str = "") -> Life:
        """A new life; where ``ip`` is not given, an address that a server of another service has left."""
        world = self.network.world
        if not ip:
            delay = self.deployment.bound("reuseDelayS")
            for place, (since, old, there, was) in enumerate(self.free):
                if there == zone and was != service.name and world.now - since > delay + 0.1:
                    ip = old
                    del self.free[place]
                    break
        if not ip:
            self.hosts += 1
            ip = f"10.200.{self.hosts // 200}.{self.hosts % 200 + 1}"
            self.network.host(ip, zone, self.deployment.zones[zone])
        self.serial += 1
        speed = self.draw.choice(service.speeds) if service.speeds else 1.0
        life = Life(self, service, f"i-{self.serial:04d}{self.draw.getrandbits(16):04x}", ip, zone, speed)
        if not warm:
            life.cold_until = world.now + service.cold_s
        self.lives[life.ident] = life
        life.begin()
        return life

    def of(self, service: str, zone: str = "") -> list[Life]:
        """Those that serve now."""
        return [
            life
            for life in self.lives.values()
            if life.state == "available"
            and (not service or life.service.name == service)
            and (not zone or life.zone == zone)
        ]

    def mischief(self, life: Life, kinds: tuple[str, ...]) -> Mischief | None:
        """What befalls this request, of these kinds."""
        now = self.network.world.now
        for item in self.mischiefs:
            here = item.service in ("", life.service.name)
            if item.among is not None:
                here = life.ident in item.among
            if now < item.until and here and item.kind in kinds:
                return item if self.draw.random() < item.share else None
        return None

    def forgets(self, life: Life) -> float:
        """Seconds after which it has forgotten a connection that rested."""
        now = self.network.world.now
        return min(
            (m.share for m in self.mischiefs
             if m.kind == "idle_race" and now < m.until and m.service == life.service.name),
            default=math.inf,
        )  # fmt: skip


def named_target(answer: bytes) -> Address | None:
    """The address that the answer to a heartbeat names for later ones."""
    named = str(msgspec.json.decode(answer or b"{}").get("heartbeatTarget", ""))
    host, _, port = named.rpartition(":")
    return (host, int(port)) if host else None


class Life:
    """One life of one server."""

    def __init__(
        self, server_fleet: ServerFleet, service: Service, ident: str, ip: str, zone: str, speed: float
    ) -> None:
        self.server_fleet, self.service, self.ident, self.ip, self.zone = (
            server_fleet,
            service,
            ident,
            ip,
            zone,
        )
        self.speed, self.cold_until, self.state = speed, -math.inf, "available"
        self.region = server_fleet.deployment.zones[zone]
        self.loop = loop_of(server_fleet.network, server_fleet.network.hosts[ip], ident)
        self.world = server_fleet.network.world
        self.working: list[Job] = []
        self.queue: deque[Job] = deque()
        self.takers: dict[Taker, None] = {}
        self.came: deque[float] = deque()
        self.sequence = 0
        self.served = 0
        self.target: Address | None = None
        self.told_until = -math.inf  # till when it is cold, as a beat that was taken has told
        self.told_at = math.inf
        self.silent = False
        self.leaving: Leaving | None = None
        self.most = 0
        self.again = -1.0  # s after which a new life begins here once this one has left
        self.tries: dict[str, Arrival] = {}  # what it has begun, where it may be asked
        self.sealed: set[str] = set()  # tries that it has said it won't run

    @property
    def address(self) -> Address:
        return self.ip, PORT

    @property
    def cold(self) -> bool:
        return self.world.now < self.cold_until

    # Life.

    def begin(self) -> None:
        self.loop.create_task(self.loop.create_server(lambda: Taker(self), *self.address))
        self.loop.create_task(self.beats())

    async def beats(self) -> None:
        draw, beat = self.server_fleet.draw, self.server_fleet.deployment.beat
        if self.world.now < 1.0:
            await asyncio.sleep(draw.uniform(0.5, beat + 1.5))
        while self.state != "ended":
            if not self.silent:
                await self.beat()
            await asyncio.sleep(beat * draw.uniform(0.9, 1.1))

    async def beat(self) -> str:
        """Tell until somebody takes it; who did, by ip, or ''."""
        self.sequence += 1
        told = {
            "service": self.service.name, "address": f"{self.ip}:{PORT}", "zone": self.zone, "version": "v1",
            "capacitySlots": self.service.slots, "state": self.state, "callSequence": self.sequence,
            "coldRemainingS": round(max(self.cold_until - self.world.now, 0.0), 3),
        }  # fmt: skip
        until = self.cold_until
        taker = await self.tell("instances.heartbeat", msgspec.json.encode(told))
        if taker and until != self.told_until:
            self.told_until, self.told_at = until, self.world.now
        return taker

    @property
    def known_cold(self) -> bool:
        """Cold, and the system has been told for a moment: before that it can't know."""
        return self.cold and self.told_until >= self.cold_until and self.world.now > self.told_at + KNOWN

    async def tell(self, name: str, body: bytes | None) -> str:
        addresses = self.server_fleet.control()
        self.server_fleet.draw.shuffle(addresses)
        if self.target in addresses:
            addresses.remove(self.target)
            addresses.insert(0, self.target)
        for address in addresses[:4]:
            status, _, answer = await call(
                self.loop, address, "POST", f"/rpc?call={name}&of={self.ident}", body, 1.0
            )
            if 200 <= status < 300:
                self.target = named_target(answer) or address
                return address[0]
        self.target = None
        return ""

    def leave(self) -> None:
        """In order."""
        if self.state == "available":
            self.state = "draining"
            self.loop.create_task(self.leaves())

    async def leaves(self) -> None:
        bounds = self.server_fleet.deployment.bound
        self.leaving = leaving = Leaving(self.ident, self.world.now)
        self.server_fleet.record.leavings.append(leaving)
        until = self.world.now + bounds("ackS")
        while self.world.now < until:
            leaving.by = await self.beat()
            if leaving.by:
                leaving.acked = self.world.now
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(bounds("drainS") + 0.5)
        if leaving.by and await self.tell("instances.deregister", None):
            leaving.gone = self.world.now
        for _ in range(40):
            if not self.working and not self.queue:
                break
            await asyncio.sleep(0.1)
        if self.again >= 0:
            self.restart(self.again)
        else:
            self.stop()

    def stop(self, power: bool = False) -> None:
        """At once, as by a crash."""
        if self.state == "ended":
            return
        self.state = "ended"
        for job in [*self.working, *self.queue]:
            job.left = True
            job.arrival.broke = True
        self.loop.die(power, self.server_fleet.draw)
        self.server_fleet.free.append((self.world.now, self.ip, self.zone, self.service.name))

    def restart(self, delay: float) -> None:
        """A new life at the same address."""
        self.stop()
        if self.server_fleet.free and self.server_fleet.free[-1][1] == self.ip:
            self.server_fleet.free.pop()
        self.world.after(delay, lambda: self.server_fleet.start(self.service, self.zone, ip=self.ip))

    # Requests.

    def connected(self, taker: Taker) -> None:
        self.takers[taker] = None
        if len(self.takers) > self.service.connections:
            assert taker.end is not None
            taker.end.abort()

    def left(self, taker: Taker) -> None:
        self.takers.pop(taker, None)
        job = taker.job
        if job is not None:
            job.left = True
            if job in self.queue:
                self.queue.remove(job)
            elif job in self.working:
                if job.timer is not None:
                    job.timer.cancel()
                self.working.remove(job)
                job.arrival.ended = self.world.now
                self.next()

    def taken(self, taker: Taker, method: str, url: str, body: bytes) -> None:
        headers, now = taker.headers, self.world.now
        if url == "/health" or url.startswith(ASK):
            self.told_of(taker, url)
            return
        assert taker.end is not None
        if now - taker.rested_at > self.server_fleet.forgets(self):
            taker.end.abort()  # what comes on a connection that it has forgotten never runs
            return
        source = taker.end.there[0]
        ident = headers.get(b"x-attempt-id", b"").decode("latin-1")
        hosts = self.server_fleet.network.hosts
        way = self.server_fleet.network.way(hosts[source], hosts[self.ip])
        arrival = Arrival(
            ident, self.ident, self.service.name, self.zone, self.region, now, source, now - way, method, url,
            body, headers.get(b"x-tenant-name", b"").decode("latin-1"),
            headers.get(b"authorization", b"").decode("latin-1"), cold=self.known_cold,
        )  # fmt: skip
        self.server_fleet.record.arrivals.append(arrival)
        expected = headers.get(b"x-expected-instance")
        not_run = b"X-Not-Executed: 1\r\n"
        if not ident:
            self.reply(taker, 400, not_run)
            return
        if expected is not None and expected.decode("latin-1") != self.ident:
            arrival.misrouted = True
            self.reply(taker, 421, not_run, arrival)
            return
        if self.cold and self.pushed(now):
            self.restart(FALLEN)
            return
        ill = self.server_fleet.mischief(self, ("grey", "lying"))
        sealed = ident in self.sealed
        if sealed or (ill is not None and ill.how in ("shed", "reset")):
            if sealed or (ill is not None and ill.how == "shed"):
                self.reply(taker, 503, not_run, arrival)
            else:
                taker.end.abort()
            return
        try:
            left = int(headers.get(b"x-deadline-remaining", b"60000")) / 1000
        except ValueError:
            left = 60.0
        job = taker.job = Job(taker, arrival, now + left, ill=ill.how if ill is not None else "")
        if len(self.working) < self.service.slots:
            self.work(job)
        elif len(self.queue) < self.service.queue:
            self.queue.append(job)
        else:
            taker.job = None
            self.reply(taker, 503, not_run, arrival)

    def told_of(self, taker: Taker, url: str) -> None:
        """Whether it is well, or what became of a try here; one that hasn't come won't be run after."""
        own = self.ident.encode()
        if url == "/health":
            self.reply(taker, 200 if self.state == "available" else 503, b"X-Instance-Id: %b\r\n" % own)
            return
        if taker.headers.get(b"x-expected-instance", own) != own:
            self.reply(taker, 421, b"X-Not-Executed: 1\r\n")
            return
        ident = url.removeprefix(ASK)
        known = self.tries.get(ident)
        if known is not None:
            state = "run" if known.ended < math.inf else "open"
        elif any(job.arrival.ident == ident for job in self.queue):
            state = "open"
        else:
            self.sealed.add(ident)
            state = "not-run"
        asker = taker.headers.get(b"x-attempt-id", b"")
        self.reply(
            taker, 200, b"X-Attempt-Id: %b\r\nX-Server-Seal: s\r\nX-Exchange-State: %b\r\n"
            % (asker, state.encode()),
        )  # fmt: skip

    def pushed(self, now: float) -> bool:
        """Whether a cold server falls over with this."""
        came, bound = self.came, self.server_fleet.deployment.bound
        came.append(now)
        while came[0] < now - 1.0:
            came.popleft()
        return len(came) > (self.service.cold_per_s * bound("coldExcess") + bound("coldSlack")) * FALL

    def work(self, job: Job) -> None:
        server_fleet, now = self.server_fleet, self.world.now
        kind = (
            server_fleet.kinds.get(job.arrival.path.split("/")[1])
            if job.arrival.path.count("/") > 1
            else None
        )
        mean = (kind.work_ms if kind else 50.0) / 1000
        spread = kind.spread if kind else 0.3
        took = mean * math.exp(server_fleet.draw.gauss(-spread * spread / 2, spread)) * self.speed
        if self.cold:
            took *= self.service.cold_slow
        if job.ill:
            took *= {"slow": SLOW, "sick": SLOW, "hang": 1000.0}.get(job.ill, 1.0)
        job.arrival.ran = True
        if server_fleet.deployment.callers is not None:
            self.tries[job.arrival.ident] = job.arrival
        self.working.append(job)
        self.most = max(self.most, len(self.working))
        job.timer = self.world.at(
            min(now + took, max(job.until, now)), self.done, job, now + took > job.until
        )

    def done(self, job: Job, late: bool) -> None:
        if job.left or self.loop.dead:
            return
        self.working.remove(job)
        job.taker.job = None
        arrival, server_fleet = job.arrival, self.server_fleet
        arrival.ended = self.world.now
        self.served += 1
        if late and job.ill == "hang":
            arrival.broke = True  # it never says a word, and its slot is free once the deadline is over
            self.next()
            return
        arrival.seal = f"{self.ident}.{self.served:x}.{server_fleet.draw.getrandbits(24):06x}"
        if late:
            self.reply(job.taker, 504, b"", arrival)
        elif job.ill in ("errors", "sick"):
            self.reply(job.taker, 500, b"", arrival)
        else:
            kind = server_fleet.kinds.get(arrival.path.split("/")[1])
            size = kind.answer if kind else 100
            arrival.answer = (arrival.seal + ";").encode() * (size // 24 + 1)
            mischief = server_fleet.mischief(self, ("lost_answers", "garbage"))
            if mischief is not None:
                self.spoil(job.taker, arrival, mischief)
            else:
                self.reply(job.taker, 200, b"", arrival)
        self.stutter(job.taker, arrival)
        self.next()

    def next(self) -> None:
        while self.queue and len(self.working) < self.service.slots:
            job = self.queue.popleft()
            if self.world.now >= job.until:
                job.taker.job = None
                self.reply(job.taker, 503, b"X-Not-Executed: 1\r\n", job.arrival)
            else:
                self.work(job)

    def reply(self, taker: Taker, status: int, more: bytes, arrival: Arrival | None = None) -> None:
        if taker.end is None or taker.end.is_closing():
            return
        if arrival is not None:
            arrival.status = status
        taker.rested_at = self.world.now
        taker.end.write(self.answer(status, more, arrival))
        if self.state == "draining" or self.server_fleet.draw.random() < 0.004:
            taker.end.close()

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

    def spoil(self, taker: Taker, arrival: Arrival, mischief: Mischief) -> None:
        end, world = taker.end, self.world
        if end is None or end.is_closing():
            return
        whole = self.answer(200, b"", arrival)
        arrival.status = 200
        match mischief.kind, mischief.how:
            case "lost_answers", how:
                arrival.broke = True
                (end.abort if how == "reset" else end.close)()
            case "garbage", "cut":
                arrival.broke = True
                end.write(whole[: len(whole) * 2 // 3])
                end.close()
            case "garbage", "extra":
                end.write(whole + self.stray(arrival))
            case "garbage", "late":
                end.write(whole)
                world.after(self.server_fleet.draw.uniform(0.001, 0.3), end.write, self.stray(arrival))
            case "garbage", "status":
                arrival.status = 500
                end.write(self.answer(500, b"", arrival))
            case _:
                arrival.broke = True
                end.write(b"\x00\x01 no answer \xff\r\n\r\n")

    def stutter(self, taker: Taker, arrival: Arrival) -> None:
        """Perhaps answer a second time, late, whatever is under way on the connection by then."""
        if taker.end is None or self.server_fleet.mischief(self, ("stutter",)) is None:
            return
        draw = self.server_fleet.draw
        status = draw.choice((arrival.status or 200, 200, 500, 504))
        pause = draw.choice(STUTTERED)
        self.world.after(draw.uniform(0.0, pause), taker.end.write, self.stray(arrival, status))

    def stray(self, arrival: Arrival, status: int = 200) -> bytes:
        """An extra answer to a request that has been answered."""
        body = b"stray;" * 20
        head = b"HTTP/1.1 %d X\r\nX-Attempt-Id: %b\r\nX-Server-Seal: %b\r\nContent-Length: %d\r\n\r\n"
        seal = b"stray." + arrival.seal.encode()
        return head % (status, arrival.ident.encode(), seal, len(body)) + body
