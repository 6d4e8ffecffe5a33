"""What data-plane and control-plane processes share: settings, clock, membership, listeners, tasks.

Imports only what a process needs to start serving, as a restart is an outage.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from latchspoke.configuration.patch import diff
from latchspoke.distribution.document_updates import DocumentUpdates
from latchspoke.distribution.published_state import PublishedState
from latchspoke.distribution.publisher import Publisher
from latchspoke.membership.messages import Member
from latchspoke.membership.parameters import ProtocolParameters
from latchspoke.membership.protocol import Membership, MembershipEvent
from latchspoke.membership.transport import MembershipTransport
from latchspoke.net.clock import Clock
from latchspoke.pool.versions import PoolVersions
from latchspoke.registry.registry import HeartbeatError, Registry
from latchspoke.settings import Settings
from latchspoke.settings.watcher import SettingsWatcher
from latchspoke.transport.body_budget import BodyBudget, MemoryPool
from latchspoke.transport.connection import InboundLimits, Message, MessageConnection
from latchspoke.transport.connection_limit import ConnectionLimit
from latchspoke.transport.input_turns import InputTurns
from latchspoke.transport.log import log, log_now, open_log
from latchspoke.transport.output_budget import OutputBudget

# Within the internal port range.
GATEWAY_PORT_OFFSET, CONTROL_PORT_OFFSET = 0, 1
LOG_OPEN_DELAY_S = 1.0  # after the start
START_RETRY_S = 0.1
TASK_RETRY_S = 0.5  # until a task that has failed is started again
RETRY_LOG_INTERVAL_S = 5.0
INTERNAL_BACKLOG = 256  # connections that wait to be accepted
POOL_MEMORY_FRACTION = 0.45  # of the memory limit, for all that callers and servers leave with a process
MESSAGE_MEMORY_FRACTION = 0.1  # of the memory limit, for messages of other processes being received
REGISTRY_MEMORY_FRACTION = 0.1  # for server instances
DECODED_MEMORY_FRACTION = 0.3  # for one configuration or message once it is decoded
PEER_DESCRIPTOR_FRACTION = 0.25  # of the descriptors, for connections to the internal port
MIN_PEER_CONNECTIONS = 32
DOCUMENTS_MEMORY_FRACTION = 0.08  # for earlier versions of the configuration, and as much for updates
OUTPUT_MEMORY_FRACTION = 0.2  # for messages that other processes have not read
CALL_MEMORY_FRACTION = 0.15  # for the bodies of calls, and for their answers


class NotStartableError(Exception):
    """A process can't start at present; the message is one line."""


class NodeProcess:
    """One process: its settings, its membership, and the subscribers to its published state."""

    PORT_OFFSET: int  # within the internal port range
    membership_transport: MembershipTransport  # created by ``build``

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        path: str,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """``clock`` and ``rng`` are given in simulations."""
        s = self.settings = settings
        self.loop, self.settings_watch = loop, SettingsWatcher(path, self.apply_settings)
        self.clock, self.rng = clock or Clock(loop), rng or random.Random()
        self.instance_id = f"{self.rng.getrandbits(32):08x}"
        self.internal_address = s.ip_address, s.port_range[0] + self.PORT_OFFSET
        self.internal_endpoint = f"{s.ip_address}:{s.port_range[0] + self.PORT_OFFSET}"
        memory_bytes = s.memory_mb * 1024 * 1024
        self.memory_pool = MemoryPool(int(memory_bytes * POOL_MEMORY_FRACTION))
        self.message_budget = BodyBudget(int(memory_bytes * MESSAGE_MEMORY_FRACTION), self.memory_pool)
        self.output_budget = OutputBudget(int(memory_bytes * OUTPUT_MEMORY_FRACTION))
        self.call_budget = BodyBudget(int(memory_bytes * CALL_MEMORY_FRACTION), self.memory_pool)
        self.input_turns = InputTurns(loop)
        self.max_decoded_bytes = int(memory_bytes * DECODED_MEMORY_FRACTION)
        self.peer_connections = ConnectionLimit(
            max(int(s.file_descriptors * PEER_DESCRIPTOR_FRACTION), MIN_PEER_CONNECTIONS)
        )
        self.registry = Registry(s.heartbeat_interval_s, int(memory_bytes * REGISTRY_MEMORY_FRACTION))
        self.published_state = PublishedState(
            self.registry,
            DocumentUpdates(
                diff,  # type: ignore[arg-type]
                int(memory_bytes * DOCUMENTS_MEMORY_FRACTION),
            ),
            PoolVersions(),
        )
        self.publisher = Publisher(self.published_state, self.clock, self.handle_proof_request)
        self.listeners: list[asyncio.Server] = []
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.created_at = self.clock.now()
        self.failures = 0  # tasks and callbacks that ended with an exception
        self.build()

    # Implemented by each kind of process.

    def build(self) -> None:
        """Create the parts of this kind of process. Raises NotStartableError."""
        raise NotImplementedError

    def handle_proof_request(self, connection: MessageConnection, proof_id: int) -> None:
        """A subscriber asks for a proof that its state is current."""
        raise NotImplementedError

    def membership_changed(self, change: MembershipEvent) -> None:
        """A member has joined, changed or gone."""
        raise NotImplementedError

    def handle_message(self, connection: MessageConnection, message: Message) -> None:
        """A message on a connection that another process has opened."""
        raise NotImplementedError

    def stop(self) -> None:
        """Shut down in order (SIGTERM); sets ``stopped`` at the end."""
        raise NotImplementedError

    async def start(self) -> None:
        """Listen and start the periodic work."""
        raise NotImplementedError

    # Common to all processes.

    def create_membership_transport(self, meta: dict[str, Any]) -> MembershipTransport:
        """The membership, with this process as a member."""
        settings = self.settings
        member = Member(settings.name, *self.internal_address, meta, 0, self.instance_id)
        return MembershipTransport(
            Membership(member, self.seed_addresses(), ProtocolParameters(), self.rng, self.clock.now()),
            self.membership_changed,
            self.clock.now,
        )

    def seed_addresses(self) -> list[tuple[str, int]]:
        """The membership addresses of the control-plane nodes named in the settings file."""
        return [(host, self.settings.port_range[0] + CONTROL_PORT_OFFSET) for host, _ in self.settings.seeds]

    async def listen_internal(self, transport: MembershipTransport) -> None:
        """Listen on the internal port, for the membership and for connections."""
        limits = InboundLimits(self.peer_connections, self.input_turns, self.max_decoded_bytes)
        await self.bind(self.internal_address, lambda: transport.start(*self.internal_address))
        await self.listen(
            lambda: MessageConnection(
                self.inbound_message,
                self.inbound_closed,
                budget=self.message_budget,
                limits=limits,
                output=self.output_budget,
            ),
            self.internal_address,
            INTERNAL_BACKLOG,
        )

    async def listen(
        self, protocol: Callable[[], asyncio.BaseProtocol], address: tuple[str, int], backlog: int
    ) -> asyncio.Server:
        """Listen on an address until the end of the process."""
        server: asyncio.Server = await self.bind(
            address, lambda: self.loop.create_server(protocol, *address, backlog=backlog)
        )
        self.listeners.append(server)
        return server

    async def bind(self, address: tuple[str, int], bind: Callable[[], Awaitable[Any]]) -> Any:
        """Call ``bind`` until the address is free, such as that of a process that still drains."""
        logged_at = -RETRY_LOG_INTERVAL_S
        while True:
            try:
                return await bind()
            except OSError as error:
                now = time.monotonic()
                if now - logged_at >= RETRY_LOG_INTERVAL_S:
                    log_now("waits-for-address", why=f"{address[0]}:{address[1]}: {error}")
                    logged_at = now
            await asyncio.sleep(START_RETRY_S)

    def serving_started(self, **fields: Any) -> None:
        """The process serves; open the log a little later, when it delays nobody."""
        settings = self.settings
        self.clock.schedule(self.clock.now() + LOG_OPEN_DELAY_S, lambda now: open_log(node=settings.name))
        log(
            "serves", **fields, zone=settings.zone, descriptors=settings.file_descriptors,
            memory_mb=settings.memory_mb, python=sys.version.split()[0],
        )  # fmt: skip

    def inbound_message(self, connection: MessageConnection, message: Message) -> None:
        """A message on an inbound connection; a malformed one ends the connection."""
        try:
            self.handle_message(connection, message)
        except (HeartbeatError, KeyError, TypeError, ValueError) as error:
            connection.end(f"malformed message: {error!r}")

    def inbound_closed(self, connection: MessageConnection, reason: str) -> None:
        """An inbound connection has closed."""
        self.publisher.connection_closed(connection)

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine as a task, and keep a reference until it ends; a failure is logged."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)

    def task_ended(self, task: asyncio.Task[Any]) -> None:
        """Log the exception that a task has ended with, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.record_failure(error)

    def record_failure(self, error: BaseException) -> None:
        """A task has ended with an exception."""
        self.failures += 1
        log("task-failed", why=repr(error))

    def callback_failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A callback of the event loop has ended with an exception, or has been left unfinished."""
        self.failures += 1
        loop.default_exception_handler(context)

    async def run_until_done(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task that lasts as long as the process; if it fails, it is run again."""
        while True:
            try:
                return await task()
            except Exception as error:
                self.record_failure(error)
            await asyncio.sleep(TASK_RETRY_S)

    def reload(self) -> None:
        """Re-read the settings file (SIGHUP); an invalid file is ignored."""
        self.settings_watch.reload()

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings, such as new seeds."""
        self.settings = settings
        self.membership_transport.set_seeds(self.seed_addresses())
