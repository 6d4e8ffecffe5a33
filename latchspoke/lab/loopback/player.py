"""Open-loop load generator: sends arrivals to gateways at their due times, regardless of responses.

Connections are protocols that carry one request at a time; each attempt has at most one timer. Several
processes may share a run: each plays the arrivals whose number modulo the process count is its index, and
all start at the same wall-clock time.
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import signal
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, cast

import httptools
import uvloop

from latchspoke.lab.clients import ClientModel, ClientSettings
from latchspoke.lab.load import Arrival
from latchspoke.lab.outcome import Outcomes, classify_outcome

TIMER_RESOLUTION_S = 0.0005  # arrivals due within this time are sent at once
SETTLE_S = 1.0
MAX_CONNECTIONS_PER_GATEWAY = 400  # of one process
CONNECT_TIMEOUT_S = 2.0
START_DELAY_S = 0.25  # so that all processes receive the start time before it


def format_request_id(number: int, process: int, attempt: int, plan: str, units: float) -> str:
    """Build a request ID that contains plan and units, by which nodes audit quotas."""
    return f"{number:x}.{attempt}.{process}~{plan}~{units:g}"


def parse_request_id(request_id: str) -> tuple[str, float] | None:
    """Plan and units of a request ID, or None if it has another format."""
    parts = request_id.split("~")
    if len(parts) != 3:
        return None
    try:
        return parts[1], float(parts[2])
    except ValueError:
        return None


class GatewayConnection(asyncio.Protocol):
    """A connection to a gateway."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.retry_after: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send_attempt(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, self.retry_after = attempt, None
        attempt.connection = self
        self.transport.write(attempt.request())

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self.retry_after = float(value)
            except ValueError:
                self.retry_after = None

    def on_message_complete(self) -> None:
        attempt, self.attempt = self.attempt, None
        keep = self.parser.should_keep_alive()
        status = self.parser.get_status_code()
        self.parser = httptools.HttpResponseParser(self)
        if keep:
            self.pool.idle.append(self)
        elif self.transport is not None:
            self.transport.close()
        if attempt is not None:
            attempt.connection = None
            attempt.on_response(status, self.retry_after)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connection_closed(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.connection = None
            attempt.fail("broken")

    def abort(self) -> None:
        """Abort the connection, as a client does that stops waiting."""
        if self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """Connections to one gateway."""

    def __init__(self, player: Player, number: int, address: tuple[str, int]) -> None:
        self.player, self.number, self.address = player, number, address
        self.idle: list[GatewayConnection] = []
        self.connection_count = 0
        self.opening_tasks: set[asyncio.Task[None]] = set()

    def send(self, attempt: Attempt) -> None:
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.send_attempt(attempt)
                return
        if self.connection_count >= MAX_CONNECTIONS_PER_GATEWAY:
            attempt.fail("not connected")
            return
        self.connection_count += 1
        task = asyncio.get_running_loop().create_task(self.open(attempt))
        self.opening_tasks.add(task)
        task.add_done_callback(self.opening_tasks.discard)

    async def open(self, attempt: Attempt) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(lambda: GatewayConnection(self), *self.address), CONNECT_TIMEOUT_S
            )
        except OSError:
            self.connection_count -= 1
            if not attempt.finished:
                attempt.fail("not connected")
            return
        if attempt.finished:
            self.idle.append(connection)
        else:
            connection.send_attempt(attempt)

    def connection_closed(self, connection: GatewayConnection) -> None:
        self.connection_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        for task in self.opening_tasks:
            task.cancel()
        for connection in self.idle:
            if connection.transport is not None:
                connection.transport.abort()


class Attempt:
    """One attempt of a client at one gateway; ``due`` is the due time of the first attempt."""

    __slots__ = (
        "arrival",
        "connection",
        "deadline",
        "due",
        "finished",
        "number",
        "player",
        "sent_at",
        "timer",
    )

    def __init__(self, player: Player, arrival: Arrival, number: int, due: float) -> None:
        self.player, self.arrival, self.number, self.due = player, arrival, number, due
        self.sent_at = 0.0
        self.finished = False
        self.connection: GatewayConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.deadline = arrival.deadline or player.clients.draw_timeout()

    def request(self) -> bytes:
        arrival = self.arrival
        remaining = max(self.deadline - (self.player.clock() - self.sent_at), 0.001)
        request_id = format_request_id(
            arrival.number, self.player.process, self.number, arrival.plan, arrival.units
        )
        retry = "Req-Retry: 1\r\n" if self.number else ""
        return (
            f"{arrival.method} {arrival.path}?key={arrival.customer:016x} HTTP/1.1\r\n"
            f"Host: gateway\r\nReq-Id: {request_id}\r\n"
            f"Req-Kind: {arrival.kind}\r\nX-Tier: {arrival.plan}\r\nReq-Deadline: {remaining:.3f}\r\n"
            f"X-Call-Terms: units={arrival.units:g},spread={arrival.spread},"
            f"first={arrival.first_gateway}\r\n{retry}\r\n"
        ).encode()

    def start(self, gateway: int) -> None:
        player = self.player
        self.sent_at = player.clock()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.deadline, self.on_timeout)
        player.in_flight += 1
        player.pools[gateway].send(self)

    def on_timeout(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            connection.abort()
        self.finish("given up", 0, None)

    def fail(self, outcome: str) -> None:
        if not self.finished:
            self.finish(outcome, 0, None)

    def on_response(self, status: int, retry_after: float | None) -> None:
        if not self.finished:
            outcome = classify_outcome(
                status, self.player.clock() - self.due, self.player.outcomes.target_latency
            )
            self.finish(outcome, status, retry_after)

    def finish(self, outcome: str, status: int, retry_after: float | None) -> None:
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()
        self.player.attempt_finished(self, outcome, status, retry_after)


@dataclass
class PlayerSettings:
    """Configuration of one player process."""

    addresses: list[tuple[str, int]]
    clients: ClientSettings
    seed: int
    verbatim: bool = False
    process: int = 0
    processes: int = 1
    started_at: float = 0.0  # Unix time of the start of the run; set once all processes are ready


class Player:
    """Plays the arrivals of one process."""

    def __init__(self, settings: PlayerSettings, arrivals: Iterator[Arrival]) -> None:
        self.settings, self.process = settings, settings.process
        self.arrivals = (
            arrival for arrival in arrivals if arrival.number % settings.processes == settings.process
        )
        self.clients = ClientModel(settings.clients, settings.seed * 64 + settings.process)
        self.outcomes = Outcomes(settings.clients.target_latency)
        self.pools = [ConnectionPool(self, n, address) for n, address in enumerate(settings.addresses)]
        self.in_flight = 0
        self.pending_retries = 0
        self.origin = 0.0
        self.stopped = False
        self.next: Arrival | None = None
        self.done = asyncio.Event()

    def clock(self) -> float:
        return asyncio.get_running_loop().time() - self.origin

    async def run(self) -> Outcomes:
        loop = asyncio.get_running_loop()
        self.origin = loop.time() + (
            self.settings.started_at - time.time() if self.settings.started_at else 0.0
        )
        with contextlib.suppress(NotImplementedError):  # the loop in virtual time has no signal handlers
            loop.add_signal_handler(signal.SIGINT, self.stop)
            loop.add_signal_handler(signal.SIGTERM, self.stop)
        self.next = next(self.arrivals, None)
        self.send_due_arrivals()
        await self.done.wait()
        for pool in self.pools:
            pool.close()
        return self.outcomes

    def stop(self) -> None:
        """Stop sending arrivals; attempts in flight still complete and are counted."""
        self.stopped = True
        self.check_done()

    def send_due_arrivals(self) -> None:
        """Send all due arrivals and schedule the next call for the following one."""
        now = self.clock()
        while self.next is not None and self.next.at <= now + TIMER_RESOLUTION_S and not self.stopped:
            self.send(self.next)
            self.next = next(self.arrivals, None)
            now = self.clock()
        if self.next is None or self.stopped:
            self.check_done()
            return
        asyncio.get_running_loop().call_at(self.origin + self.next.at, self.send_due_arrivals)

    def send(self, arrival: Arrival) -> None:
        outcomes = self.outcomes
        outcomes.record_arrival(arrival.at, arrival.gateway, arrival.customer)
        outcomes.record_sent(arrival.at, self.clock(), arrival.gateway, arrival.customer)
        Attempt(self, arrival, arrival.attempt if self.settings.verbatim else 0, arrival.at).start(
            arrival.gateway
        )

    def attempt_finished(
        self, attempt: Attempt, outcome: str, status: int, retry_after: float | None
    ) -> None:
        now, arrival = self.clock(), attempt.arrival
        self.in_flight -= 1
        self.outcomes.record_attempt(arrival.plan, arrival.gateway, outcome, now - attempt.sent_at)
        retry = None
        if not self.settings.verbatim and not self.stopped:
            retry = self.clients.next_retry(status, retry_after, attempt.number, now)
        if retry is None:
            if not (self.settings.verbatim and arrival.attempt):
                self.outcomes.record_first_try(
                    arrival.plan, outcome, attempt.due, now - attempt.due, arrival.inside_quota
                )
            self.check_done()
            return
        self.pending_retries += 1
        self.outcomes.retries += 1
        asyncio.get_running_loop().call_later(max(retry.at - now, 0.0), self.retry, attempt)

    def retry(self, failed_attempt: Attempt) -> None:
        self.pending_retries -= 1
        arrival = failed_attempt.arrival
        attempt = Attempt(self, arrival, failed_attempt.number + 1, failed_attempt.due)
        # The front load balancer picks any gateway of the customer's set for a retry.
        step = int(self.clients.retry_draws.integers(0, arrival.spread))
        attempt.start((arrival.first_gateway + step) % len(self.pools))

    def check_done(self) -> None:
        if (self.next is None or self.stopped) and not self.in_flight and not self.pending_retries:
            self.done.set()


def play(settings: PlayerSettings, arrivals: Iterator[Arrival]) -> dict[str, Any]:
    """Play the arrivals of one process to the end and return the counters as a dictionary."""
    outcomes = uvloop.run(Player(settings, arrivals).run())
    return outcomes.as_dict()


@dataclass
class PlayerJob:
    """Input of a child process: its settings, and how to generate the arrivals."""

    settings: PlayerSettings
    make_arrivals: Callable[..., Iterator[Arrival]]
    arguments: tuple[Any, ...] = field(default_factory=tuple)


def run_child(job: PlayerJob, pipe: Any) -> None:
    try:
        # Until the run starts, Ctrl-C ends this process by default.
        pipe.send("ready")
        job.settings.started_at = pipe.recv()
        pipe.send(play(job.settings, job.make_arrivals(*job.arguments)))
    except BaseException as error:
        pipe.send(f"{type(error).__name__}: {error}")
        raise
    finally:
        pipe.close()


class PlayerError(Exception):
    """A player process ended without returning its counters."""


def receive(process: Any, pipe: Any) -> Any:
    """Next message of a player process. Raises PlayerError if it failed or ended."""
    try:
        received = pipe.recv()
    except EOFError:
        process.join()
        received = f"it exited with code {process.exitcode}"
    if isinstance(received, str) and received != "ready":
        raise PlayerError(f"a player process failed: {received}")
    return received


def play_all(
    jobs: list[PlayerJob], outcomes: Outcomes, on_begin: Callable[[float], object] = lambda started_at: None
) -> None:
    """Run each job in its own process and merge their counters into ``outcomes``.

    All start at the same time once every process is ready; ``on_begin`` receives that Unix time. Ctrl-C
    reaches the child processes, which stop and return their counters; the caller must install its own
    handler so that this process waits for them. Raises PlayerError if a process fails.
    """
    context = multiprocessing.get_context("spawn")
    children = []
    for job in jobs:
        parent_pipe, child_pipe = context.Pipe()
        process = context.Process(target=run_child, args=(job, child_pipe))
        process.start()
        child_pipe.close()
        children.append((process, parent_pipe))
    try:
        for process, pipe in children:
            receive(process, pipe)
        started_at = time.time() + START_DELAY_S
        for _, pipe in children:
            pipe.send(started_at)
        on_begin(started_at)
        for process, pipe in children:
            outcomes.merge(receive(process, pipe))
            process.join()
    finally:
        for process, _ in children:
            if process.is_alive():
                process.terminate()
                process.join()
