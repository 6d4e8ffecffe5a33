"""Discovery's side: a watch that is renewed whenever it breaks or falls silent."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

import httptools

from latchspoke.config import Address, ConfigError, TargetList, read_list
from latchspoke.net.http import MOST_BODY, Connection, ParserError, Shared, parse_error

log = logging.getLogger(__name__)

SILENT_MOST = 2.5  # s; a watch brings an empty line each 2 s; asking anew costs the agent nothing
OPEN_MOST = 2.0  # s; to connect
BACKOFF_LEAST, BACKOFF_MOST = 0.1, 2.0  # s from the start of a try to the next; while few pauses are needed
SLOT = 0.05  # s; where a fleet is turned away, each gateway has this time of its own
MOST_SLOTS = 8  # times that spread are the longest pauses
MOST_LINE = 64 * MOST_BODY


class WatchConnection(Connection):
    side = "discovery"

    def __init__(self, watch: Watch) -> None:
        super().__init__(watch.shared)
        self.watch = watch
        self.heard_at = self.opened_at
        self.turned_away = False  # discovery has answered, and not with a watch: it has too much to do
        self.rest = b""
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        line = f"GET /api/targets?stream=1&index={self.watch.generation} HTTP/1.1\r\nHost: discovery\r\n\r\n"
        assert self.transport is not None
        self.transport.write(line.encode())

    def on_unopened(self) -> None:
        self.watch.lost(self)

    def data_received(self, data: bytes) -> None:
        self.heard_at = self.shared.clock.now()
        try:
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade) as e:
            self.end(parse_error(e).reason)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.parser.get_status_code() != 200:
            self.turned_away = True
            self.end("bad_status")

    def on_body(self, part: bytes) -> None:
        """A line may come in pieces; only whole ones are read."""
        *lines, self.rest = (self.rest + part).split(b"\n")
        for line in lines:
            self.take(line)
        if len(self.rest) > MOST_LINE:
            self.end("oversize")

    def take(self, line: bytes) -> None:
        self.messages += 1
        if not line.strip():
            self.watch.alive()
            return
        try:
            told = read_list(json.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError, ConfigError) as e:
            log.warning("discovery's line can't be read: %r", e)
            self.end("bad_line")
            return
        self.watch.told(told)

    def on_message_complete(self) -> None:
        self.end("watch_ended")

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.watch.lost(self)


class Watch:
    """Keeps one watch going, from the last version heard of."""

    def __init__(
        self,
        shared: Shared,
        address: Address,
        generation: int,
        on_list: Callable[[TargetList], None],
        on_alive: Callable[[], None],
        gateways: int = 1,
        seed: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.crowd_least = max(BACKOFF_LEAST, SLOT * gateways)
        self.crowd_most = max(BACKOFF_MOST, MOST_SLOTS * self.crowd_least)
        self.shared, self.address, self.generation = shared, address, generation
        self.on_list, self.on_alive = on_list, on_alive
        self.connection: WatchConnection | None = None
        self.told_at: float | None = None  # when discovery last had something to tell
        self.wait, self.crowd_wait = BACKOFF_LEAST, self.crowd_least
        self.stopped = False

    def start(self) -> None:
        if self.connection is not None or self.stopped:
            return  # a reload came before this try
        self.connection = WatchConnection(self)
        self.connection.dial(self.address, OPEN_MOST)

    def heard(self) -> None:
        self.wait, self.crowd_wait = BACKOFF_LEAST, self.crowd_least

    def alive(self) -> None:
        self.heard()
        self.on_alive()

    def told(self, told: TargetList) -> None:
        self.heard()
        self.generation, self.told_at = told.generation, self.shared.clock.now()
        self.on_list(told)

    def move(self, address: Address) -> None:
        """Go on at this address at once, from the last version heard of: a reload has named it."""
        if address == self.address:
            return
        self.address = address
        self.heard()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.end("reloaded")
        self.start()

    def lost(self, connection: WatchConnection) -> None:
        if connection is not self.connection:
            return
        self.connection = None
        if self.stopped:
            return
        now = self.shared.clock.now()
        if connection.turned_away:
            # Watches of a whole fleet break in one moment: each gateway comes back at a time of its own.
            pause, self.crowd_wait = self.crowd_wait, min(self.crowd_wait * 2, self.crowd_most)
        else:
            # Whoever is silent is waited for with a watch open: what is told meanwhile counts as told.
            # So a try that lasted needs no pause beyond the least.
            pause = max(BACKOFF_LEAST, self.wait - (now - connection.opened_at))
            self.wait = min(self.wait * 2, BACKOFF_MOST)
        self.shared.clock.schedule(now + pause * (0.5 + self.random.random()), lambda now: self.start())

    def sweep(self, now: float) -> None:
        """A machine that vanished says nothing: silence is all there is to see."""
        connection = self.connection
        if connection is None or connection.transport is None:
            return
        if now - connection.heard_at > SILENT_MOST:
            connection.end("silent")

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.end("drained")
