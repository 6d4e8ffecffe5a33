"""Clients and peers that nobody controls, by kind: what they send to which port, and how they read."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from latchspoke.lab.soak.fleet import CONTROL_PORT, FRONT_PORT, READINESS_PORT, Fleet, Machine
from latchspoke.lab.soak.hostile_connections import HostileTraffic, keep_sending
from latchspoke.lab.soak.parties import CHUNKED_PATH, KEYS, LONG_PATH

INTERNAL_PORTS = {"dataplane": 7600, "controlplane": 7601}
HEAD_BYTES = 15_000  # of a head, within the usual limit of 16 KiB
BODY_BYTES = 16_000  # of a body that gateways don't count
CALL_HEAD_BYTES = 60_000
PIECE_BYTES = 65_536
SLOW_BYTES_PER_S = 3_000
STATUS_CALL = b"GET /status HTTP/1.1\r\nHost: status\r\n"
CONTROL_CALL = b"POST /rpc?call=%b HTTP/1.1\r\nHost: control\r\n"
JSON_BOMB_BYTES = 8_000_000
SMALL_JSON_BOMB_BYTES = 500_000
COMES_AGAIN_S = 0.02


def repeat(line: bytes, size: int) -> bytes:
    """``line`` as often as it fits into ``size`` bytes."""
    return line * (size // len(line))


def request(path: str = "/levels/now", method: str = "GET", headers: bytes = b"") -> bytes:
    """The head of a request of a legal key and route, without its last empty line."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: river.example\r\nX-Attempt-Id: {secrets.token_hex(8)}\r\n"
        f"X-Deadline-Remaining: 60000\r\nAuthorization: Token {KEYS['ferry']}\r\n".encode()
        + headers
    )


def chunked(head: bytes) -> bytes:
    """A head, and the start of its chunked body."""
    return head + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"


def with_length(head: bytes, body: bytes) -> bytes:
    """A head, and its body."""
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def numbered_headers(form: bytes, count: int) -> bytes:
    """Header lines, each with a number."""
    return b"".join(form % number for number in range(count))


def json_bomb(size: int, **fields: str) -> bytes:
    """A JSON object that takes many times its size once it is decoded."""
    start = json.dumps(fields)[:-1] + ("," if fields else "")
    return start.encode() + b'"x":[' + repeat(b"{},", size) + b"0]}"


def post() -> bytes:
    """The head of a request with a body."""
    return request("/tickets/new", "POST")


def netstring(data: bytes) -> bytes:
    """Data as a message of the internal port."""
    return b"%d:%b," % (len(data), data)


SHORT_HEADERS = repeat(b"a:\r\n", HEAD_BYTES)
CONNECTION_HEADERS = numbered_headers(b"Connection: h%d\r\n", 700)
TINY_CHUNK = b"2\r\nab\r\n"
EXTENDED_CHUNK = b"1;e=0000\r\na\r\n"

# What clients send to the clients' port of gateways.
FRONT_TRAFFIC: dict[str, Callable[[], HostileTraffic]] = {
    "endless_trailers": lambda: HostileTraffic(
        chunked(post()) + b"0\r\n", repeat(b"t17: v\r\n", PIECE_BYTES)
    ),
    "held_trailers": lambda: HostileTraffic(chunked(post()) + b"0\r\n" + repeat(b"t:\r\n", HEAD_BYTES)),
    "held_tiny_chunks": lambda: HostileTraffic(chunked(post()) + repeat(TINY_CHUNK, BODY_BYTES * 3)),
    "endless_tiny_chunks": lambda: HostileTraffic(chunked(post()), repeat(EXTENDED_CHUNK, PIECE_BYTES)),
    "held_short_headers": lambda: HostileTraffic(request(headers=SHORT_HEADERS)),
    "short_headers": lambda: HostileTraffic(request(headers=SHORT_HEADERS) + b"\r\n", b"", SLOW_BYTES_PER_S),
    "connection_headers": lambda: HostileTraffic(
        request(headers=CONNECTION_HEADERS) + b"\r\n", b"", SLOW_BYTES_PER_S
    ),
    "endless_requests": lambda: HostileTraffic(b"", (request(headers=SHORT_HEADERS) + b"\r\n") * 4),
    "slow_readers": lambda: HostileTraffic(request(LONG_PATH) + b"\r\n", b"", SLOW_BYTES_PER_S),
    "slow_readers_of_chunks": lambda: HostileTraffic(request(CHUNKED_PATH) + b"\r\n", b"", SLOW_BYTES_PER_S),
    "no_readers": lambda: HostileTraffic((request(LONG_PATH) + b"\r\n") * 4),
    "held_bodies": lambda: HostileTraffic(post() + b"Content-Length: 1000000\r\n\r\n"),
    "small_pipelined_requests": lambda: HostileTraffic((request() + b"\r\n") * 50, b"", 1_500),
    "junk_after_requests": lambda: HostileTraffic(
        request() + b"\r\n" + b"\0junk" * 20, closes_after_s=COMES_AGAIN_S
    ),
    "idle": lambda: HostileTraffic(),
}  # fmt: skip

# What callers send to the ports for calls: readiness, control and directory.
CALL_TRAFFIC: dict[str, Callable[[], HostileTraffic]] = {
    "call_endless_tiny_chunks": lambda: HostileTraffic(
        chunked(CONTROL_CALL % b"configuration.replace"), repeat(EXTENDED_CHUNK, PIECE_BYTES)
    ),
    "call_endless_chunks_of_two": lambda: HostileTraffic(
        chunked(CONTROL_CALL % b"configuration.replace"), repeat(TINY_CHUNK, PIECE_BYTES)
    ),
    "call_endless_trailers": lambda: HostileTraffic(
        chunked(STATUS_CALL) + b"0\r\n", repeat(b"t:\r\n", PIECE_BYTES)
    ),
    "call_held_heads": lambda: HostileTraffic(STATUS_CALL + b"X: " + b"a" * CALL_HEAD_BYTES),
    "call_held_targets": lambda: HostileTraffic(b"GET /" + b"a" * (CALL_HEAD_BYTES // 2)),
    "call_pipelined": lambda: HostileTraffic(b"", (STATUS_CALL + b"\r\n") * 400),
    "call_idle": lambda: HostileTraffic(),
}  # fmt: skip

CONTROL_TRAFFIC: dict[str, Callable[[], HostileTraffic]] = {
    "json_bombs_as_orders": lambda: HostileTraffic(
        with_length(
            CONTROL_CALL % b"configuration.replace",
            json_bomb(JSON_BOMB_BYTES, version="0000ffff", baseVersion="0"),
        )
    ),
    "json_bombs_as_heartbeats": lambda: HostileTraffic(
        with_length(CONTROL_CALL % b"instances.heartbeat&of=i-bomb", json_bomb(JSON_BOMB_BYTES))
    ),
    "json_bombs_as_rollouts": lambda: HostileTraffic(
        with_length(CONTROL_CALL % b"rollouts.begin", json_bomb(JSON_BOMB_BYTES))
    ),
}  # fmt: skip

SUBSCRIPTION = netstring(b'{"k":"hello","name":"nobody"}')
SNAPSHOT_REQUEST = netstring(b'{"k":"again","version":0}')

# What peers, or whoever reaches their port, send to the internal port.
PEER_TRAFFIC: dict[str, Callable[[], HostileTraffic]] = {
    "peer_idle": lambda: HostileTraffic(),
    "peer_held_lengths": lambda: HostileTraffic(b"4000000:" + b'{"a":"' + b"x" * 7_000),
    "peer_json_bombs": lambda: HostileTraffic(netstring(json_bomb(JSON_BOMB_BYTES))),
    "peer_small_json_bombs": lambda: HostileTraffic(b"", netstring(json_bomb(SMALL_JSON_BOMB_BYTES, t="x"))),
    "peer_no_readers": lambda: HostileTraffic(b"", (SUBSCRIPTION + SNAPSHOT_REQUEST * 5) * 10),
    "peer_junk": lambda: HostileTraffic(b"\0" * 100, closes_after_s=COMES_AGAIN_S),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class HostileKind:
    """One kind of client at one port of one program."""

    name: str
    program: str
    port: int
    traffic: Callable[[], HostileTraffic]

    def __str__(self) -> str:
        return f"{self.name}:{self.program}:{self.port}"


KINDS = [
    *(HostileKind(name, "dataplane", FRONT_PORT, make) for name, make in FRONT_TRAFFIC.items()),
    *(HostileKind(name, "dataplane", READINESS_PORT, make) for name, make in CALL_TRAFFIC.items()),
    *(HostileKind(name, "controlplane", CONTROL_PORT, make) for name, make in CALL_TRAFFIC.items()),
    *(HostileKind(name, "controlplane", CONTROL_PORT, make) for name, make in CONTROL_TRAFFIC.items()),
    *(
        HostileKind(name, program, port, make)
        for program, port in INTERNAL_PORTS.items()
        for name, make in PEER_TRAFFIC.items()
    ),
]


class HostileClients:
    """Crowds of such clients before the processes of a fleet."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet, self.rng = fleet, rng

    def target(self, kind: HostileKind) -> Machine:
        """A machine that this kind of client connects to."""
        machines = self.fleet.core if kind.program == "controlplane" else self.fleet.edges
        return self.rng.choice(machines)

    async def run(self, kind: HostileKind, connections: int, lasts_s: float) -> Machine:
        """Let a crowd do its worst for a time, then close its connections; returns the machine it met."""
        machine = self.target(kind)
        crowd = [
            asyncio.create_task(self.play((machine.ip, kind.port), kind.traffic()))
            for _ in range(connections)
        ]
        await asyncio.sleep(lasts_s)
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        return machine

    async def play(self, address: tuple[str, int], traffic: HostileTraffic) -> None:
        """Let one client do its worst; its requests aren't those of the run's clients."""
        for data in (traffic.first, traffic.repeated):
            self.fleet.record.probes.update(attempt_ids(data))
        await keep_sending(address, traffic)


def attempt_ids(data: bytes) -> set[str]:
    """The ids of the requests in what a client sends."""
    marker = b"X-Attempt-Id: "
    return {part.partition(b"\r\n")[0].decode() for part in data.split(marker)[1:]}
