"""The clients' side: takes requests in, finds route and tenant, and carries final answers back."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from barleyhub.line.dispatch import Call
from latchspoke.configuration.routes import Limits, Route, Table
from latchspoke.core import DecisionLease
from latchspoke.dataplane.core import LineCore
from latchspoke.dataplane.exchange import ClientExchange, status_line
from latchspoke.dataplane.upstream import HOP, Request
from latchspoke.net.http import (
    GRACE,
    Connection,
    FramingError,
    ParserError,
    Shared,
    parse_error,
    read_decimal,
)

if TYPE_CHECKING:
    from barleyhub.affinity.order import Caller

LINGER = 0.5  # s; after a refusal of bad input the rest is read and dropped, so that it arrives
HOLD = 0.25  # s that a request waits at most for a gateway that has just begun to know the operator's word
HELD_MOST = 500  # requests
NOT_READY = 0.2  # s; when to come back to one that doesn't by then
NO_RIGHT = 0.4  # s; and to one that may not act by it any more
DEADLINE_MOST = 86_400.0  # s
# What is replaced, or never shown to a server.
REPLACED = HOP | {
    b"x-deadline-remaining",
    b"x-expected-instance",
    b"x-tenant-name",
    b"authorization",
    b"expect",
}
SINGLE = frozenset((b"host", b"x-attempt-id", b"x-deadline-remaining", b"authorization", b"content-length"))
SCHEME = b"token "


class ClientConnection(Connection):
    """One client's connection: one request at a time."""

    side = "client"

    def __init__(self, downstream: Downstream) -> None:
        super().__init__(downstream.shared)
        self.downstream = downstream
        self.exchange: ClientExchange | None = None  # the request that is whole and not yet answered
        self.fault: FramingError | None = None
        self.ending = False
        self.keep = True
        self.since = self.opened_at  # when it began to wait for what it waits for
        self.url = b""
        self.pairs: list[tuple[bytes, bytes]] = []
        self.parser = httptools.HttpRequestParser(self)

    @property
    def busy(self) -> bool:
        """Whether a request is whole and not yet answered."""
        return self.exchange is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It has come up."""
        super().connection_made(transport)
        self.downstream.joined(self)

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if self.ending or self.fault is not None:
            return
        try:
            self.parser.feed_data(data)
            if self.started and not self.headed:
                self.size += len(data)
                if self.size > self.downstream.limits.header_bytes + 4096:
                    raise FramingError(431, "oversize")
        except httptools.HttpParserUpgrade:
            # It may have come whole and be under way: then its answer is the last one here.
            self.refuse(FramingError(0 if self.busy else 400, "upgrade"))
        except ParserError as e:
            self.refuse(parse_error(e))

    def refuse(self, fault: FramingError) -> None:
        """Bad input gets its answer and a close, but never before the request that is under way."""
        self.fault = fault
        if not self.busy:
            self.answer_fault()

    def answer_fault(self) -> None:
        """Say what is wrong with what came, and read on a little, so that it arrives."""
        if self.fault is None or self.transport is None or self.lost:
            return
        fault, self.ending = self.fault, True
        self.code = self.code or "bad_request"
        self.shared.stats[f"clients.{fault.status}"] += 1
        if fault.status:
            self.transport.write(
                status_line(fault.status) + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            )
        self.transport.write_eof()
        clock = self.shared.clock
        clock.schedule(clock.now() + LINGER, lambda now: self.end("linger", flush=True))

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """A message begins."""
        if self.busy:
            # It is left unread: who sent it may send it again on another connection.
            raise FramingError(0, "pipelined")
        super().on_message_begin()
        self.url = b""
        self.pairs = []
        self.since = self.shared.clock.now()

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        lower = name.lower()
        known = self.headers.get(lower)
        if known is not None and lower in SINGLE:
            raise FramingError(400, "repeated header")
        # What any of several Connection headers names is of this connection only.
        self.headers[lower] = value if known is None or lower != b"connection" else known + b"," + value
        self.pairs.append((name, value))

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self.url += url

    def on_headers_complete(self) -> None:
        """The head is whole."""
        super().on_headers_complete()
        self.since = self.shared.clock.now()
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.downstream.limits.body_bytes:
            raise FramingError(413, "oversize")
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self.size += len(part)
        if self.size > self.downstream.limits.body_bytes:
            raise FramingError(413, "oversize")
        self.since = self.shared.clock.now()
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """A message is whole."""
        self.started = False
        self.messages += 1
        self.keep = self.parser.should_keep_alive()
        exchange = self.exchange = ClientExchange(
            self, self.shared.stats, self.parser.get_method(), self.url, self.headers, self.pairs, self.body,
            self.shared.clock.now(),
        )  # fmt: skip
        self.downstream.request(exchange)

    # The answer.

    @property
    def closing(self) -> bool:
        """Whether it ends with the answer that is under way."""
        return not self.keep or self.downstream.stopping or self.fault is not None

    def answer(self, exchange: ClientExchange, data: bytes) -> bool:
        """Write the answer to the request that is under way, and to no other one."""
        if exchange is not self.exchange:
            return False
        self.exchange = None
        self.since = self.shared.clock.now()
        if self.transport is not None and not self.lost and not self.transport.is_closing():
            self.transport.write(data)
            self.go_on()
        return True

    def go_on(self) -> None:
        """After an answer: wait for the next request, or end."""
        if self.fault is not None:
            if self.fault.status:
                self.answer_fault()
            else:
                self.ending = True
                self.end(self.fault.reason, flush=True)
        elif self.closing:
            self.ending = True
            self.end("drained" if self.downstream.stopping else "asked_close", flush=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        super().connection_lost(exc)
        self.downstream.clients.pop(self, None)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.downstream.withdrawn(exchange)


class Downstream:
    """All clients' connections."""

    def __init__(
        self, shared: Shared, core: LineCore, draw: random.Random, gate: Callable[[], DecisionLease | None]
    ) -> None:
        """``gate``: the right to act with keys now, or None."""
        self.shared, self.core, self.draw, self.gate = shared, core, draw, gate
        self.clients: dict[ClientConnection, None] = {}  # in the order in which they came
        self.table: Table | None = None
        self.limits = Limits()
        self.proven: Callable[[], bool] = lambda: True  # the operator's word as known here, in this life
        self.recent: Callable[[], bool] = lambda: True  # whether it was proven so lately that it may deny
        self.held: dict[ClientExchange, None] = {}  # requests that wait for the operator's word
        self.stopping = False
        self.number = itertools.count(1)
        self.most = int(shared.sockets.most * 0.6)

    def joined(self, client: ClientConnection) -> None:
        """A client has connected; where there are too many, one that rests makes room."""
        self.clients[client] = None
        self.shared.stats["clients.accepted"] += 1
        if len(self.clients) > self.most:
            for idle in sorted(self.idle(), key=lambda c: c.since):
                if idle.end_idle("sockets"):
                    return
            client.end("sockets")

    def request(self, exchange: ClientExchange) -> None:
        """A request has come whole."""
        table, headers = self.table, exchange.headers
        if table is None or not self.proven():
            # What came first may be old: nothing is done by it before it has been proven once.
            self.hold(exchange)
            return
        ident, host = headers.get(b"x-attempt-id"), headers.get(b"host")
        if not ident or host is None:
            self.turn_away(exchange, 400, "no_ident_or_host")
            return
        route = table.find(host.decode("latin-1"), exchange.url.partition(b"?")[0].decode("latin-1"))
        if route is None:
            self.deny(exchange, 404, "no_route")
            return
        tenant, epoch = None, None
        if table.keyed and not route.open:
            epoch = self.gate()
            if epoch is None:
                # Keys may have been taken away meanwhile: nothing is done with one until that is known.
                self.shared.stats["refused.no_right"] += 1
                self.turn_away(exchange, 503, "no_right", route.name, NO_RIGHT)
                return
            key = headers.get(b"authorization", b"")
            if key[: len(SCHEME)].lower() == SCHEME:
                tenant = table.tenant(key[len(SCHEME) :].strip().decode("latin-1"))
            if tenant is None:
                self.deny(exchange, 401, "no_key", route.name)
                return
        caller, service = None, ""
        if route.affinity is not None:
            caller, service = self.caller(exchange, route, tenant.name if tenant else "")
        left = read_decimal(headers.get(b"x-deadline-remaining", b""))
        now = self.shared.clock.now()
        left = min(left / 1000 if left is not None else DEADLINE_MOST, route.timeout) - (
            now - exchange.whole_at
        )
        if left <= 0:
            self.turn_away(exchange, 503, "too_late", route.name)
            return
        call = Call(
            f"{next(self.number)}", tenant.name if tenant else "",
            service or route.service(self.draw.random()), route.name, 1.0, left, 1,
            route=route, tenant=tenant, caller=caller,
        )  # fmt: skip
        message = self.message(exchange, ident, tenant.name.encode() if tenant else b"")
        exchange.flow = self.core.accept(call, message, exchange, now)
        exchange.flow.lease = epoch
        self.core.begin(exchange.flow, now)

    def deny(self, exchange: ClientExchange, status: int, why: str, route: str = "") -> None:
        """What the operator's word lacks is denied only while that word is surely not out of date here."""
        if self.recent():
            self.turn_away(exchange, status, why, route)
            return
        self.shared.stats["refused.no_right"] += 1
        self.turn_away(exchange, 503, "no_right", route, NO_RIGHT)

    def hold(self, exchange: ClientExchange) -> None:
        """A process that has begun a moment ago will know soon; who is sent away comes back after that."""
        clock = self.shared.clock
        if len(self.held) >= HELD_MOST:
            self.turn_away(exchange, 503, "no_configuration", pause=NOT_READY)
            return
        self.held[exchange] = None

        def give_up(now: float) -> None:
            if exchange in self.held:
                del self.held[exchange]
                self.turn_away(exchange, 503, "no_configuration", pause=NOT_READY)

        clock.schedule(clock.now() + HOLD, give_up)

    def resume(self) -> None:
        """The operator's word is known, and proven: those who wait for it go on."""
        held, self.held = self.held, {}
        for exchange in held:
            self.request(exchange)

    def withdrawn(self, exchange: ClientExchange) -> None:
        """Its client has left."""
        self.held.pop(exchange, None)
        flow, exchange.flow = exchange.flow, None
        if flow is not None:
            self.core.withdraw(flow, self.shared.clock.now())

    def turn_away(
        self, exchange: ClientExchange, status: int, reason: str, route: str = "", pause: float | None = None
    ) -> None:
        """Before any decision; ``reason`` is for people."""
        self.core.dispatcher.refusals.append((self.shared.clock.now(), reason, route, ""))
        exchange.plain(status, pause)

    def caller(self, exchange: ClientExchange, route: Route, tenant: str) -> tuple[Caller | None, str]:
        """Whose request it is, where its route keeps callers, and the service that it goes to then."""
        from barleyhub.affinity.order import Caller, key_of, service_of

        affinity = route.affinity
        assert affinity is not None
        text = affinity.caller(exchange.headers, exchange.url, tenant)
        if text is None:
            return None, ""
        key = key_of(text)
        return Caller(key, affinity.near, affinity.exchange), service_of(key, route.split)

    def message(self, exchange: ClientExchange, ident: bytes, tenant: bytes) -> Request:
        """Method, path, body and headers are as they came, but for what concerns one connection."""
        named = exchange.headers.get(b"connection", b"").lower()
        dropped = REPLACED | {token.strip() for token in named.split(b",")} if named else REPLACED
        head = [b"%b %b HTTP/1.1\r\n" % (exchange.method, exchange.url)]
        head += [b"%b: %b\r\n" % pair for pair in exchange.pairs if pair[0].lower() not in dropped]
        return Request(exchange.method, ident, b"".join(head), tenant, exchange.body)

    def sweep(self, now: float) -> None:
        """A client that asks nothing, or never all of it, must not hold its connection for good."""
        limits = self.limits
        for client in list(self.clients):
            if client.busy or client.ending:
                continue
            if client.started:
                limit = limits.header_s if not client.headed else limits.idle_s
                if now - client.since > limit + 0.5:
                    client.refuse(FramingError(408, "read_timeout"))
            elif now - client.since > limits.idle_s:
                client.end_idle("idle", flush=True)

    def close_idle(self) -> None:
        """Those with nothing under way; who has connected a moment ago is about to ask, and may."""
        now = self.shared.clock.now()
        for client in self.idle():
            if client.messages or now - client.since >= GRACE:
                client.end_idle("drained", flush=True)

    def idle(self) -> list[ClientConnection]:
        """Connections on which nothing is under way."""
        return [c for c in self.clients if not c.busy and not c.started and not c.ending]

    @property
    def busy(self) -> int:
        """How many requests are under way."""
        return sum(client.busy for client in self.clients)
