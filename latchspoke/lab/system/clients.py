"""The clients: look-ups and how long they are held, pools, fresh connections, further tries, impatience."""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

from latchspoke.lab.system.calls import Reply, ask
from latchspoke.lab.system.network import Dial, End, Network, ProcessLoop, loop_of
from latchspoke.lab.system.record import Record, Try, Wish
from latchspoke.lab.system.records import Deployment, Kind
from latchspoke.lab.virtual import Address

HELD = 8.0  # s that a connection is kept idle
UP = 1.0  # s for a new connection to come up
FINAL = frozenset((400, 401, 404, 413, 431))
PROMISED = frozenset((429, 503, 408, 421))


class Line(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, client: Client, gateway: Address) -> None:
        self.client, self.gateway = client, gateway
        self.end: End | None = None
        self.at_work: Errand | None = None
        self.keep, self.idle_at = True, 0.0
        self.reset()

    def reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []
        self.whole = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, End)
        self.end = transport

    def data_received(self, data: bytes) -> None:
        if self.at_work is None:
            if data and not self.whole:
                self.client.crowd.record.odd.append((self.client.now, self.gateway[0], repr(data[:60])))
            self.drop()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.client.crowd.record.odd.append((self.client.now, self.gateway[0], repr(data[:60])))
            self.finish(-1)
            return
        if self.whole:
            self.finish(self.parser.get_status_code())

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        if self.whole:
            self.client.crowd.record.odd.append((self.client.now, self.gateway[0], "a second answer"))
        self.whole = self.parser.get_status_code() >= 200

    def finish(self, status: int) -> None:
        errand, self.at_work = self.at_work, None
        if errand is None:
            return
        keep = self.whole and self.headers.get(b"connection", b"").lower() != b"close"
        if not keep:
            self.drop()
        errand.answered(status, self.headers, b"".join(self.parts), self if keep else None)

    def drop(self) -> None:
        self.client.idle = [line for line in self.client.idle if line is not self]
        if self.end is not None:
            self.end.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.client.idle = [line for line in self.client.idle if line is not self]
        self.finish(-1)


@dataclass(eq=False)
class Client:
    """Somebody with one locator answer and some connections."""

    crowd: Crowd
    zone: str
    host: str
    loop: ProcessLoop
    hold: float  # times the locator's time that an answer is held
    impatient: bool
    addresses: list[Address] = field(default_factory=list)
    until: float = -math.inf
    asking: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)
    idle: list[Line] = field(default_factory=list)
    failed: dict[Address, float] = field(default_factory=dict)

    @property
    def now(self) -> float:
        return self.loop.world.now

    def located(self, then: Callable[[], None]) -> None:
        """Call once there is an answer of the locator's, an old one if there is no new one."""
        if self.now < self.until:
            then()
            return
        self.waiting.append(then)
        if not self.asking:
            self.asking = True
            self.look(self.crowd.locators(self.zone)[:3])

    def look(self, left: list[Address]) -> None:
        if not left:
            self.found(None, 0.5)
            return
        host, region = self.crowd.names[0], self.crowd.deployment.zones[self.zone]
        target = f"/resolution?name={host}&region={region}&zone={self.zone}"

        def done(reply: Reply) -> None:
            status, _, body = reply
            if status == 200:
                told = json.loads(body)
                addresses = [
                    (a.rpartition(":")[0], int(a.rpartition(":")[2])) for a in told.get("addresses", ())
                ]
                if addresses:
                    ttl = min(float(told.get("ttlS", 1.0)), self.crowd.deployment.bound("ttl_max_s"))
                    self.found(addresses, ttl * self.hold)
                    return
            self.look(left[1:])

        ask(self.loop.network, self.loop, left[0], "GET", target, None, 1.0, done)

    def found(self, addresses: list[Address] | None, held: float) -> None:
        self.asking = False
        self.until = self.now + held
        if addresses is not None:
            self.addresses = addresses
            for line in [line for line in self.idle if line.gateway not in addresses]:
                line.drop()
        waiting, self.waiting = self.waiting, []
        for then in waiting:
            then()

    def pick(self) -> Address | None:
        """By chance, past those that have failed lately."""
        draw, now = self.crowd.draw, self.now
        good = [a for a in self.addresses if now - self.failed.get(a, -math.inf) > 3.0]
        return draw.choice(good or self.addresses) if self.addresses else None


class Errand:
    """One wish of a client's, over its tries."""

    def __init__(
        self, client: Client, kind: Kind, wish: Wish, host: str, path: str, key: str, body: bytes
    ) -> None:
        self.client, self.kind, self.wish = client, kind, wish
        self.host, self.path, self.key, self.body = host, path, key, body
        self.deadline = wish.at + kind.deadline_ms / 1000
        self.left = kind.retries + (3 if client.impatient else 0)
        self.line: Line | None = None
        self.dial: Dial | None = None
        self.now_on: Try | None = None
        self.over = False
        self.refused_at = -1.0
        self.more = ""  # headers

    def begin(self) -> None:
        self.client.loop.world.at(self.deadline, self.late)
        self.client.located(self.go)

    def go(self) -> None:
        client = self.client
        if self.over:
            return
        if not self.kind.fresh and not self.wish.tries:
            while client.idle:
                line = client.idle.pop()
                if client.now - line.idle_at < HELD and line.end is not None and not line.end.is_closing():
                    self.send(line)
                    return
                line.drop()
        address = client.pick()
        if address is None:
            client.until = -math.inf
            client.loop.world.after(0.3, client.located, self.go)
            return
        line = Line(client, address)
        dial = self.dial = client.loop.network.connect(
            client.loop, address, lambda: line, lambda end: self.up(line), lambda error: self.down(address)
        )
        client.loop.world.after(UP, self.overdue, dial, address)

    def up(self, line: Line) -> None:
        if self.over:
            line.drop()
        else:
            self.send(line)

    def overdue(self, dial: Dial, address: Address) -> None:
        if not dial.over:
            dial.stop()
            self.down(address)

    def down(self, address: Address) -> None:
        """No connection: nothing was read, so it may be tried again whatever it is."""
        self.client.failed[address] = self.client.now
        if not self.over:
            self.wish.tries += 1
            self.again(True, 0.02)

    def send(self, line: Line) -> None:
        client, now = self.client, self.client.now
        left = int((self.deadline - now) * 1000)
        if left <= 0 or line.end is None:
            self.finish()
            return
        crowd = client.crowd
        self.line, line.at_work = line, self
        line.reset()
        self.wish.tries += 1
        ident = crowd.ident()
        self.now_on = attempt = Try(
            ident, self.wish, self.host, self.path, self.kind.method, self.body, self.key, self.wish.tenant,
            self.kind.repeatable, now, self.deadline, client.host, line.gateway[0],
        )  # fmt: skip
        crowd.record.tries[ident] = attempt
        line.end.write(compose(attempt, left, self.more))
        if self.kind.repeatable:
            client.loop.world.after(min(1.0, (self.deadline - now) / 3), self.unread, attempt, line)

    def unread(self, attempt: Try, line: Line) -> None:
        """Held up on the way: a client gives such a try up."""
        if self.now_on is attempt and line.at_work is self and line.end is not None and line.end.held:
            line.at_work = None
            line.drop()
            self.again(True, 0.0)

    def answered(self, status: int, headers: dict[bytes, bytes], body: bytes, line: Line | None) -> None:
        attempt, client = self.now_on, self.client
        assert attempt is not None
        note(attempt, status, headers, body, client.now)
        if line is not None:
            line.idle_at = client.now
            client.idle.append(line)
        elif status < 0 and self.line is not None:
            client.failed[self.line.gateway] = client.now
        self.line = None
        if self.over:
            return
        self.wish.status = status
        if 200 <= status < 300:
            took = client.now - self.wish.at
            kind = self.kind
            self.wish.served = took
            early = self.refused_at >= 0 and self.refused_at <= kind.aim_ms / 4000
            worth = self.wish.worth
            self.wish.earned = worth if took <= kind.aim_ms / 1000 else worth * kind.late
            if early and took > kind.aim_ms / 1000:
                self.wish.earned = worth * (1 + kind.late) / 2
            self.finish()
            return
        if status in PROMISED and self.refused_at < 0:
            self.refused_at = client.now - self.wish.at
        pause = attempt.pause if attempt.pause is not None and not client.impatient else 0.02
        left = max(self.deadline - client.now, 0.0)
        may = status not in FINAL and (self.kind.repeatable or status in PROMISED)
        self.again(may, min(pause, left / 3))

    def again(self, may: bool, pause: float) -> None:
        client = self.client
        if not may or self.left <= 0 or client.now + pause >= self.deadline - 0.01:
            self.finish()
            return
        self.left -= 1
        client.loop.world.after(pause, client.located, self.go)

    def late(self) -> None:
        if self.over:
            return
        if self.dial is not None:
            self.dial.stop()
        if self.line is not None:
            self.line.at_work = None
            self.line.drop()
        self.finish()

    def finish(self) -> None:
        self.over = True
        self.wish.ended = self.client.now


def compose(attempt: Try, left: int, more: str = "") -> bytes:
    key = f"Authorization: Token {attempt.key}\r\n" if attempt.key else ""
    size = f"Content-Length: {len(attempt.body)}\r\n" if attempt.body else ""
    head = (
        f"{attempt.method} {attempt.path} HTTP/1.1\r\nHost: {attempt.host}\r\n"
        f"X-Attempt-Id: {attempt.ident}\r\nX-Deadline-Remaining: {left}\r\n{key}{size}{more}\r\n"
    )
    return head.encode() + attempt.body


def note(attempt: Try, status: int, headers: dict[bytes, bytes], body: bytes, now: float) -> None:
    attempt.status, attempt.ended, attempt.answer = status, now, body
    attempt.seal = headers.get(b"x-server-seal", b"").decode("latin-1")
    attempt.told = headers.get(b"x-attempt-id", b"").decode("latin-1")
    pause = headers.get(b"retry-after")
    if pause is not None:
        attempt.pause = float(pause)


class Crowd:
    """All clients, and the traffic that they make."""

    def __init__(
        self, deployment: Deployment, network: Network, record: Record, seed: int,
        locators: Callable[[str], list[Address]], plan: Any,
    ) -> None:  # fmt: skip
        self.deployment, self.network, self.record = deployment, network, record
        self.draw = random.Random(f"clients:{seed}")
        self.locators, self.plan = locators, plan
        self.names: list[str] = plan.hosts
        self.rush: dict[str, float] = {}
        self.clients: dict[str, list[Client]] = {}
        self.serial = 0
        self.until = 0.0
        self.load = 1.0
        for zone, region in deployment.zones.items():
            host = f"client:{zone}"
            network.host(host, zone, region)
            loop = loop_of(network, network.hosts[host], host)
            self.clients[zone] = [
                Client(self, zone, host, loop, 3.0 if self.draw.random() < 0.2 else 1.0,
                       self.draw.random() < deployment.impatient)
                for _ in range(deployment.clients)
            ]  # fmt: skip

    def ident(self) -> str:
        self.serial += 1
        return f"{self.draw.getrandbits(40):010x}{self.serial:06x}"

    def begin(self, until: float) -> None:
        self.until = until
        zones = list(self.deployment.zones)
        for number, zone in enumerate(zones):
            for kind in self.deployment.kinds:
                phase = number / len(zones)
                self.network.world.after(0.01 * number, self.next, zone, kind, phase)

    def next(self, zone: str, kind: Kind, phase: float) -> None:
        world, draw = self.network.world, self.draw
        if world.now >= self.until:
            return
        wave = 1 + 0.2 * math.sin(2 * math.pi * (world.now / 11.0 + phase))
        extra = sum((x - 1) * self.plan.share(name) for name, x in self.rush.items())
        rate = kind.per_s / len(self.deployment.zones) * wave * self.load * (1 + extra)
        world.after(draw.expovariate(rate), self.next, zone, kind, phase)
        self.wishes(zone, kind)

    def wishes(self, zone: str, kind: Kind) -> None:
        """Somebody there wants something."""
        world, draw = self.network.world, self.draw
        client = draw.choice(self.clients[zone])
        tenant = self.plan.tenant(draw, self.rush, kind)
        wish = Wish(kind.name, zone, tenant, world.now, kind.worth)
        self.record.wishes.append(wish)
        host, path, key = self.plan.address(draw, kind, tenant)
        body = draw.randbytes(kind.body) if kind.body else b""
        Errand(client, kind, wish, host, path, key, body).begin()

    def probe(self, gateway: Address, host: str, path: str, key: str, tenant: str) -> None:
        """A question straight to a gateway, which shows what configuration is in force there."""
        client = self.clients[next(iter(self.deployment.zones))][0]
        world = self.network.world
        ident = self.ident()
        attempt = Try(
            ident, None, host, path, "GET", b"", key, tenant, True, world.now, world.now + 2.0, client.host,
            gateway[0],
        )  # fmt: skip

        def done(reply: Reply) -> None:
            status, headers, body = reply
            if status:
                note(attempt, status, headers, body, world.now)
            elif attempt.ended < 0:
                attempt.status = -1

        from latchspoke.lab.system.calls import Exchange

        def up(end: End) -> None:
            attempt.sent = world.now
            self.record.tries[ident] = attempt

        exchange = Exchange(compose(attempt, 2000), done)
        dial = self.network.connect(client.loop, gateway, lambda: exchange, up, lambda error: None)
        world.after(2.0, dial.stop)
