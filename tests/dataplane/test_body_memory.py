"""A body is freed when its request ends, however it ends; the connections may rest for long after that."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import cast

import pytest

from latchspoke.dataplane.client_connection import HEADER_BYTES, ClientConnection
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
    for memory in (player.node.downstream.body_memory, player.node.upstream_pools.body_memory):
        assert (memory.held_bytes, memory.waiting) == (0, {})


# Bodies that wait for memory.


@pytest.fixture
def player() -> Player:
    """A gateway with memory for one body of the tests, and half of another, in each direction."""
    player = Player()
    player.step(f'orders {{"limits": {LIMITS}}}')
    player.step("proof 0")
    player.step("server s1")
    for memory in (player.node.downstream.body_memory, player.node.upstream_pools.body_memory):
        memory.limit_bytes = BODY_BYTES * 3 // 2
    return player


def send_head(exchange: Exchange, framing: str = f"Content-Length: {BODY_BYTES}", more: str = "") -> None:
    head = (
        f"POST /book/1 HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: a{exchange.number}\r\n"
        f"X-Deadline-Remaining: 3000\r\nAuthorization: Token k1\r\n{more}{framing}\r\n\r\n"
    )
    exchange.receive(exchange.client, head.encode())


def test_large_bodies_wait_for_memory_in_order_of_arrival(player: Player) -> None:
    """Guards against many large bodies at once that take a gateway over its memory limit."""
    first, second, third = (Exchange(player, number) for number in (1, 2, 3))
    first.send()
    for exchange in (second, third):
        send_head(exchange)
        assert exchange.client.paused and not exchange.client.written
    first.answer()
    first.got(200)
    player.clock.advance(0.01)
    assert not second.client.paused and third.client.paused
    second.receive(second.client, BODY)
    second.answer()
    second.got(200)
    player.clock.advance(0.01)
    assert not third.client.paused
    third.receive(third.client, BODY)
    third.answer()
    third.got(200)
    assert player.node.stats["bodies.waited"] == 2


def test_a_body_that_waits_too_long_is_refused_and_never_sent(player: Player) -> None:
    first, second = (Exchange(player, number) for number in (1, 2))
    send_head(first)
    send_head(second)
    second.receive(second.client, BODY[:1000])  # read together with the head
    player.clock.advance(0.6)
    assert not second.client.paused
    assert second.client.written == (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\nConnection: close\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    second.receive(second.client, BODY[1000:])
    player.clock.advance(1.0)
    player.report_closed()
    assert second.client.ended and not player.dialled
    assert [refusal[1] for refusal in player.node.dispatcher.refusals] == ["no_memory"]


def test_a_body_that_is_complete_before_there_is_memory_is_refused(player: Player) -> None:
    first, second = (Exchange(player, number) for number in (1, 2))
    send_head(first)
    send_head(second)
    second.client.connection.data_received(BODY)  # a last read that was under way
    assert second.client.written.startswith(b"HTTP/1.1 503 ") and not player.dialled
    assert not second.client.paused and not second.client.ended
    second.client.written = b""
    first.receive(first.client, BODY)
    first.answer()
    second.send()
    second.answer()
    second.got(200)


def test_a_single_body_over_the_limit_is_served(player: Player) -> None:
    player.node.downstream.body_memory.limit_bytes = player.node.upstream_pools.body_memory.limit_bytes = 1
    exchange = Exchange(player, 1)
    exchange.send()
    exchange.answer(body=BODY)
    exchange.got(200)


def test_a_chunked_body_without_room_is_refused(player: Player) -> None:
    first, second = (Exchange(player, number) for number in (1, 2))
    send_head(first)
    second.send(chunked=True)
    second.got(503)
    assert not player.dialled
    first.receive(first.client, BODY)
    first.answer()
    first.got(200)


def test_a_client_that_leaves_while_it_waits_is_forgotten(player: Player) -> None:
    first, second = (Exchange(player, number) for number in (1, 2))
    send_head(first)
    send_head(second)
    player.step(f"{second.name} eof")
    assert not player.node.downstream.body_memory.waiting
    player.clock.advance(1.0)
    assert not second.client.written


def test_a_client_is_asked_for_its_body_once_there_is_memory(player: Player) -> None:
    first, second = (Exchange(player, number) for number in (1, 2))
    send_head(first)
    send_head(second, more="Expect: 100-continue\r\n")
    assert second.client.paused and not second.client.written
    player.step(f"{first.name} reset")
    player.clock.advance(0.01)
    player.step(rf"{second.name} < HTTP/1.1 100 Continue\r\n\r\n")


def test_large_responses_wait_for_memory(player: Player) -> None:
    exchanges = [Exchange(player, number) for number in (1, 2)]
    servers = []
    for exchange in exchanges:
        exchange.send("book", body=BODY)
        server = exchange.server()
        server.written = b""
        servers.append(server)
        player.node.downstream.body_memory.limit_bytes = 3 * BODY_BYTES
    for exchange, server in zip(exchanges, servers, strict=True):
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: a{exchange.number}\r\nX-Server-Seal: s\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n"
        )
        exchange.receive(server, head.encode())
    assert [server.paused for server in servers] == [False, True]
    exchanges[0].receive(servers[0], BODY)
    exchanges[0].got(200)
    player.clock.advance(0.01)
    assert not servers[1].paused
    exchanges[1].receive(servers[1], BODY)
    assert exchanges[1].client.written.endswith(BODY)
    exchanges[1].got(200)


def test_responses_of_unknown_size_wait_for_memory_while_they_grow(player: Player) -> None:
    """60 slow clients with answers in chunks took a gateway to 159 MB, of which 96 were allowed."""
    player.node.downstream.body_memory.limit_bytes = 8 * BODY_BYTES
    memory = player.node.upstream_pools.body_memory
    exchanges = [Exchange(player, number) for number in (1, 2)]
    servers = []
    for exchange in exchanges:
        exchange.send("book", body=BODY)
        server = exchange.server()
        server.written = b""
        servers.append(server)
    half = b"%x\r\n%b\r\n" % (BODY_BYTES // 2, BODY[: BODY_BYTES // 2])
    for exchange, server in zip(exchanges, servers, strict=True):
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: a{exchange.number}\r\nX-Server-Seal: s\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n"
        )
        exchange.receive(server, head.encode() + half)
    assert not any(server.paused for server in servers)
    for start in range(0, len(half), PIECE_BYTES):
        for exchange, server in zip(exchanges, servers, strict=True):
            if not server.paused:
                exchange.receive(server, half[start : start + PIECE_BYTES])
    assert any(server.paused for server in servers)
    assert memory.held_bytes <= memory.limit_bytes + 2 * PIECE_BYTES
    for transport in [*servers, *(exchange.client for exchange in exchanges)]:
        transport.connection.connection_lost(None)
    player.clock.advance(0.01)
    assert (memory.held_bytes, memory.waiting) == (0, {})


def test_response_that_has_waited_to_grow_is_whole(player: Player) -> None:
    memory = player.node.upstream_pools.body_memory
    exchange = Exchange(player, 1)
    exchange.send()
    server = exchange.server()
    server.written = b""
    others = memory.count(memory.limit_bytes)
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    exchange.receive(server, head + b"%x\r\n" % BODY_BYTES + BODY[:PIECE_BYTES])
    assert server.paused
    del others
    player.clock.advance(0.01)
    assert not server.paused
    exchange.receive(server, BODY[PIECE_BYTES:] + b"\r\n0\r\n\r\n")
    assert exchange.client.written.endswith(BODY)
    exchange.got(200)
    assert (memory.held_bytes, memory.waiting) == (0, {})


@pytest.mark.parametrize("reads", [False, True])
def test_a_client_that_does_not_read_its_response_is_dropped(reads: bool, player: Player) -> None:
    """Guards against memory that clients hold for ever which stop reading a large response."""
    player.step(f'orders {{"limits": {LIMITS.replace("600", "15")}}}')
    exchange = Exchange(player, 1)
    exchange.send()
    exchange.client.unsent = BODY_BYTES
    exchange.answer(body=BODY)
    exchange.got(200)
    for _ in range(40):
        exchange.client.unsent -= reads * 1000
        player.step("proof 0")
        player.clock.advance(1.0)
        player.report_closed()
    connection = cast(ClientConnection, exchange.client.connection)
    assert connection.close_code == ("idle" if reads else "stuck")


# Heads.

MANY_HEADERS = 150  # within ``maxHeaderBytes`` of the tests
COUNTED_BYTES = MANY_HEADERS * HEADER_BYTES


def send_unfinished_head(exchange: Exchange, headers: int) -> None:
    exchange.receive(exchange.client, b"GET /open/1 HTTP/1.1\r\nHost: shop\r\n" + b"X-1: 2\r\n" * headers)


def test_heads_of_many_fields_that_do_not_end_are_bounded(player: Player) -> None:
    """3,000 clients that sent 900 headers and stopped took a gateway to 637 MB, of which 300 were allowed."""
    memory = player.node.downstream.body_memory
    memory.limit_bytes = COUNTED_BYTES * 2
    exchanges = [Exchange(player, number) for number in range(5)]
    for exchange in exchanges:
        send_unfinished_head(exchange, MANY_HEADERS)
    assert COUNTED_BYTES < memory.held_bytes <= memory.limit_bytes
    refused = [exchange for exchange in exchanges if exchange.client.written]
    assert len(refused) == 3
    assert all(exchange.client.written.startswith(b"HTTP/1.1 503 ") for exchange in refused)
    for exchange in exchanges:
        exchange.client.written = b""
        player.step(f"{exchange.name} eof")
    assert memory.held_bytes == 0


def test_a_head_of_many_fields_is_counted_while_its_request_lasts(player: Player) -> None:
    memory = player.node.downstream.body_memory
    exchange = Exchange(player, 1)
    send_head(exchange, "Content-Length: 0", "X-1: 2\r\n" * MANY_HEADERS)
    assert memory.held_bytes >= COUNTED_BYTES
    exchange.answer()
    exchange.got(200)
    assert memory.held_bytes == 0


def test_a_head_of_ordinary_size_is_not_counted(player: Player) -> None:
    send_unfinished_head(Exchange(player, 1), 15)
    assert player.node.downstream.body_memory.held_bytes == 0


def test_a_trailer_that_does_not_end_is_refused(player: Player) -> None:
    """All of it was kept."""
    exchange = Exchange(player, 1)
    send_head(exchange, "Transfer-Encoding: chunked")
    exchange.receive(exchange.client, b"0\r\nX-Trailer: ")
    for _ in range(10):
        exchange.receive(exchange.client, b"a" * 1000)
    exchange.got(431)
    assert not player.dialled


def test_a_client_that_does_not_read_is_not_read_from(player: Player) -> None:
    """Its requests were answered into a buffer that grew as long as it sent."""
    exchange = Exchange(player, 1)
    exchange.client.unsent = 70_000
    exchange.client.connection.pause_writing()
    assert exchange.client.paused
    exchange.client.connection.resume_writing()
    assert not exchange.client.paused
    exchange.client.connection.pause_writing()
    player.clock.advance(605.0)
    player.report_closed()
    assert exchange.client.ended


# Pieces that take more than their bytes.

SHORT_CHUNKS = 7_000
SHORT_TRAILERS = 1_500
CONNECTIONS = 20
MAX_BYTES_FOR_EACH = 50_000  # of a connection that has sent 14 KB


@pytest.mark.parametrize(
    "rest",
    [b"2\r\nab\r\n" * SHORT_CHUNKS, b"1\r\na\r\n0\r\n" + b"t:\r\n" * SHORT_TRAILERS],
    ids=["chunks", "trailers"],
)
def test_short_pieces_take_little_more_than_their_bytes(rest: bytes) -> None:
    """Chunks of two bytes took 24 times their size, and each trailer was kept: up to 360 KB a connection."""
    player = Player()
    player.step(f'orders {{"limits": {LIMITS.replace("2048", "16384")}}}')
    exchanges = [Exchange(player, number) for number in range(CONNECTIONS + 1)]
    for exchange in exchanges:
        send_head(exchange, "Transfer-Encoding: chunked")
    exchanges[0].receive(exchanges[0].client, rest)
    with without_collector():
        tracemalloc.start()
        try:
            for exchange in exchanges[1:]:
                exchange.receive(exchange.client, rest)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert held_bytes < CONNECTIONS * MAX_BYTES_FOR_EACH
    assert not any(exchange.client.written for exchange in exchanges)


def test_trailers_are_not_passed_on(player: Player) -> None:
    """They went to the server among the headers."""
    exchange = Exchange(player, 1)
    send_head(exchange, "Transfer-Encoding: chunked")
    exchange.receive(exchange.client, b"2\r\nab\r\n0\r\nX-Trailer: 1\r\n\r\n")
    server = exchange.server()
    assert server.written.endswith(b"\r\n\r\nab") and b"X-Trailer" not in server.written
    exchange.answer()
    exchange.got(200)


@pytest.mark.parametrize(("fields", "status"), [(4_000, 200), (6_000, 502)])
def test_answer_of_very_many_fields_fails(fields: int, status: int, player: Player) -> None:
    """64 KB of header lines took some 3 MB for each answer under way."""
    exchange = Exchange(player, 1)
    exchange.send()
    server = exchange.server()
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n"
    exchange.receive(server, head + b"a: 1\r\n" * fields + b"\r\nab")
    exchange.got(status)
