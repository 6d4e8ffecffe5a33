"""Client of the discovery agent: a watch on the server list, which reconnects after failures and silence."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

import httptools

from latchspoke.config import Address, ConfigError, TargetList, parse_target_list
from latchspoke.net.http import MAX_BODY_BYTES, Connection, ConnectionContext, ParserError, parse_error

log = logging.getLogger(__name__)

SILENCE_TIMEOUT_S = 2.5  # the agent sends a heartbeat, an empty line, every 2 s
CONNECT_TIMEOUT_S = 2.0
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0  # from the start of an attempt to the next
RECONNECT_SLOT_S = 0.05  # after a rejection, the shortest backoff is this long for each gateway of the fleet
MAX_BACKOFF_MULTIPLE = 8  # longest backoff after rejections, as a multiple of the shortest
MAX_LINE_BYTES = 64 * MAX_BODY_BYTES


class WatchConnection(Connection):
    side = "discovery"

    def __init__(self, watch: Watch) -> None:
        super().__init__(watch.context)
        self.watch = watch
        self.last_received_at = self.opened_at
        self.rejected = False  # discovery answered with an error status, as it does when overloaded
        self.partial_line = b""
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.dial_called_off:
            self.end("cancelled")
            return
        line = f"GET /api/targets?stream=1&index={self.watch.generation} HTTP/1.1\r\nHost: discovery\r\n\r\n"
        assert self.transport is not None
        self.transport.write(line.encode())

    def on_dial_failed(self) -> None:
        self.watch.connection_ended(self)

    def data_received(self, data: bytes) -> None:
        self.last_received_at = self.context.clock.now()
        try:
            self.parser.feed_data(data)
        except (*ParserError, httptools.HttpParserUpgrade) as e:
            self.end(parse_error(e).reason)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.parser.get_status_code() != 200:
            self.rejected = True
            self.end("bad_status")

    def on_body(self, part: bytes) -> None:
        """Handle complete lines, and keep an incomplete one for the next part."""
        *lines, self.partial_line = (self.partial_line + part).split(b"\n")
        for line in lines:
            self.handle_line(line)
        if len(self.partial_line) > MAX_LINE_BYTES:
            self.end("oversize")

    def handle_line(self, line: bytes) -> None:
        self.message_count += 1
        if not line.strip():
            self.watch.heartbeat_received()
            return
        try:
            server_list = parse_target_list(json.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError, ConfigError) as e:
            log.warning("invalid line from discovery: %r", e)
            self.end("bad_line")
            return
        self.watch.list_received(server_list)

    def on_message_complete(self) -> None:
        self.end("watch_ended")

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.watch.connection_ended(self)


class Watch:
    """Keeps a watch open, from the last received generation on."""

    def __init__(
        self,
        context: ConnectionContext,
        address: Address,
        generation: int,
        on_list: Callable[[TargetList], None],
        on_heartbeat: Callable[[], None],
        gateways: int = 1,
        seed: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.min_rejected_backoff = max(MIN_BACKOFF_S, RECONNECT_SLOT_S * gateways)
        self.max_rejected_backoff = max(MAX_BACKOFF_S, MAX_BACKOFF_MULTIPLE * self.min_rejected_backoff)
        self.context, self.address, self.generation = context, address, generation
        self.on_list, self.on_heartbeat = on_list, on_heartbeat
        self.connection: WatchConnection | None = None
        self.updated_at: float | None = None  # when the last list or change arrived
        self.backoff, self.rejected_backoff = MIN_BACKOFF_S, self.min_rejected_backoff
        self.stopped = False

    def start(self) -> None:
        if self.connection is not None or self.stopped:
            return  # a reload has connected before this attempt was due
        self.connection = WatchConnection(self)
        self.connection.dial(self.address, CONNECT_TIMEOUT_S)

    def reset_backoff(self) -> None:
        self.backoff, self.rejected_backoff = MIN_BACKOFF_S, self.min_rejected_backoff

    def heartbeat_received(self) -> None:
        self.reset_backoff()
        self.on_heartbeat()

    def list_received(self, server_list: TargetList) -> None:
        self.reset_backoff()
        self.generation, self.updated_at = server_list.generation, self.context.clock.now()
        self.on_list(server_list)

    def set_address(self, address: Address) -> None:
        """Reconnect to this address at once, from the last received generation on."""
        if address == self.address:
            return
        self.address = address
        self.reset_backoff()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.end("reloaded")
        self.start()

    def connection_ended(self, connection: WatchConnection) -> None:
        if connection is not self.connection:
            return
        self.connection = None
        if self.stopped:
            return
        now = self.context.clock.now()
        if connection.rejected:
            # All gateways of a fleet lose their watches at the same time, so their attempts are spread.
            delay, self.rejected_backoff = (
                self.rejected_backoff,
                min(self.rejected_backoff * 2, self.max_rejected_backoff),
            )
        else:
            # The backoff counts from the start of the attempt: what discovery sends to an open watch counts
            # as announced, so a silent discovery is waited for with a watch open.
            delay = max(MIN_BACKOFF_S, self.backoff - (now - connection.opened_at))
            self.backoff = min(self.backoff * 2, MAX_BACKOFF_S)
        self.context.clock.schedule(now + delay * (0.5 + self.random.random()), lambda now: self.start())

    def sweep(self, now: float) -> None:
        """Close the watch if no heartbeat arrives, as when the agent's machine has failed."""
        connection = self.connection
        if connection is None or connection.transport is None:
            return
        if now - connection.last_received_at > SILENCE_TIMEOUT_S:
            connection.end("silent")

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.end("drained")
