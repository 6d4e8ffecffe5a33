"""A body is freed when its request ends, however it ends; the connections may rest for long after that."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import cast

import pytest

from latchspoke.dataplane.messages import Request
from latchspoke.dataplane.upstream import ServerConnection
from tests.dataplane.player import Player
from tests.player import FakeTransport

BODY_BYTES = 1 << 20
PIECE_BYTES = 64 * 1024  # as read from a socket
REQUESTS = 6
MAX_HELD_BYTES = BODY_BYTES // 2  # after all requests, so less than a tenth of a body for each
LIMITS = '{"maxHeaderBytes": 2048, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 600}'
BODY = b"x" * BODY_BYTES


@contextmanager
def without_collector() -> Iterator[None]:
    """No cyclic collection: it may come late, as it counts objects and not bytes."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class Exchange:
    """One request on a client connection of its own, which stays open."""

    def __init__(self, player: Player, number: int) -> None:
        self.player, self.number = player, number
        self.name = f"client{number}"
        player.step(f"open {self.name}")
        self.client = player.transports[self.name]

    def receive(self, transport: FakeTransport, data: bytes) -> None:
        for start in range(0, len(data), PIECE_BYTES):
            transport.connection.data_received(data[start : start + PIECE_BYTES])
        self.player.report_closed()

    def send(self, route: str = "book", key: str = "k1", body: bytes = BODY, chunked: bool = False) -> None:
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {BODY_BYTES}"
        head = (
            f"POST /{route}/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: a{self.number}\r\n"
            f"X-Deadline-Remaining: 3000\r\nAuthorization: Token {key}\r\n{framing}\r\n\r\n"
        )
        if chunked:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        self.receive(self.client, head.encode() + body)

    def server(self) -> FakeTransport:
        """The connection to a server on which the request has been written; the copy written is dropped."""
        if self.player.dialled:
            connection, _ = self.player.dialled.pop(0)
            name = f"server{len(self.player.transports)}"
            self.player.transports[name] = FakeTransport(connection)
            self.player.up(name)
        return next(
            transport
            for transport in self.player.transports.values()
            if isinstance(transport.connection, ServerConnection) and self.is_sent_on(transport.connection)
        )

    def is_sent_on(self, connection: ServerConnection) -> bool:
        request = connection.forward.flow.message if connection.forward is not None else None
        return isinstance(request, Request) and request.attempt_id == b"a%d" % self.number

    def answer(self, status: int = 200, body: bytes = b"whole") -> None:
        server = self.server()
        server.written = b""
        head = (
            f"HTTP/1.1 {status} Status\r\nX-Attempt-Id: a{self.number}\r\nX-Server-Seal: s\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.receive(server, head.encode() + body)

    def got(self, status: int) -> None:
        written, self.client.written = self.client.written, b""
        assert written.startswith(b"HTTP/1.1 %d" % status), written[:80]


def answered(exchange: Exchange) -> None:
    exchange.send()
    exchange.answer()
    exchange.got(200)


def sent_in_chunks(exchange: Exchange) -> None:
    exchange.send(chunked=True)
    exchange.answer()
    exchange.got(200)


def answered_with_a_body(exchange: Exchange) -> None:
    exchange.send(body=BODY)
    exchange.answer(body=BODY)
    exchange.got(200)


def failed_at_the_server(exchange: Exchange) -> None:
    exchange.send()
    exchange.answer(500, BODY)
    exchange.got(500)


def turned_away_by_every_server(exchange: Exchange) -> None:
    exchange.send("read")
    while not exchange.client.written:
        exchange.answer(421)
    exchange.got(503)


def cut_by_the_server(exchange: Exchange) -> None:
    exchange.send()
    server = exchange.server()
    server.written = b""
    server.connection.connection_lost(ConnectionResetError())
    exchange.got(502)


def at_its_deadline(exchange: Exchange) -> None:
    exchange.send()
    exchange.server().written = b""
    exchange.player.clock.advance(3.0)
    exchange.player.report_closed()
    exchange.got(502)


def without_a_route(exchange: Exchange) -> None:
    exchange.send("nowhere")
    exchange.got(404)


def without_a_key(exchange: Exchange) -> None:
    exchange.send(key="unknown")
    exchange.got(401)


def left_by_the_client(exchange: Exchange) -> None:
    exchange.send()
    exchange.server().written = b""
    exchange.player.step(f"{exchange.name} reset")


def left_while_connecting(exchange: Exchange) -> None:
    """The connection to the server comes up later; nothing may be sent on it then."""
    exchange.send()
    connection, _ = exchange.player.dialled.pop(0)
    exchange.player.step(f"{exchange.name} reset")
    server = exchange.player.transports[f"server{exchange.number}"] = FakeTransport(connection)
    exchange.player.up(f"server{exchange.number}")
    assert not server.written
    server.connection.end("idle")
    exchange.player.report_closed()


def cut_by_the_client(exchange: Exchange) -> None:
    exchange.send(body=BODY[:-1])
    exchange.player.step(f"{exchange.name} eof")


ENDS: list[Callable[[Exchange], None]] = [
    answered, sent_in_chunks, answered_with_a_body, failed_at_the_server, turned_away_by_every_server,
    cut_by_the_server, at_its_deadline, without_a_route, without_a_key, left_by_the_client,
    left_while_connecting, cut_by_the_client,
]  # fmt: skip


@pytest.mark.parametrize("end", ENDS, ids=lambda end: cast(str, end.__name__))
def test_no_body_is_held_after_its_request(end: Callable[[Exchange], None]) -> None:
    """Guards against gateways over their memory limit for bodies of requests that are long answered."""
    player = Player()
    player.step(f'orders {{"limits": {LIMITS}}}')
    player.step("proof 0")
    for number in (1, 2, 3):
        player.step(f"server s{number}")
    end(Exchange(player, 0))  # what the first request loads or fills is no part of this
    with without_collector():
        player.step("proof 0")
        tracemalloc.start()
        try:
            for number in range(1, REQUESTS + 1):
                end(Exchange(player, number))
                player.clock.advance(0.1)
                player.step("proof 0")
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert held_bytes < MAX_HELD_BYTES
