"""What data-plane and control-plane processes share: settings, clock, membership, signals, lifecycle.

Imports only what a process needs to start serving, as a restart is an outage.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
from typing import Any

from latchspoke.configuration.patch import diff
from latchspoke.distribution.published_state import PublishedState
from latchspoke.distribution.publisher import Publisher
from latchspoke.membership.messages import Member
from latchspoke.membership.parameters import ProtocolParameters
from latchspoke.membership.protocol import Membership, MembershipEvent
from latchspoke.membership.transport import MembershipTransport
from latchspoke.net.clock import Clock
from latchspoke.net.signals import TERMINATION_SIGNALS, ignore_signals, set_signal_handler
from latchspoke.pool.versions import PoolVersions
from latchspoke.registry.registry import HeartbeatError, Registry
from latchspoke.settings import SETTINGS_FILE_VARIABLE, Settings, SettingsError, load_settings
from latchspoke.settings.watcher import FileStamp, SettingsWatcher, file_stamp
from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.log import log, open_log

# Within the internal port range.
GATEWAY_PORT_OFFSET, CONTROL_PORT_OFFSET = 0, 1
LOG_OPEN_DELAY_S = 1.0  # after the start
FLUSH_DELAY_S = 0.02  # before exit, for the last bytes written


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
        self.registry = Registry(s.heartbeat_interval_s)
        self.published_state = PublishedState(
            self.registry,
            diff_documents=diff,  # type: ignore[arg-type]
            pool_versions=PoolVersions(),
        )
        self.publisher = Publisher(self.published_state, self.clock, self.handle_proof_request)
        self.listeners: list[asyncio.Server] = []
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.build()

    # Implemented by each kind of process.

    def build(self) -> None:
        """Create the parts of this kind of process."""
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
        """Listen and start the periodic work. Raises OSError."""
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
        """Listen on the internal port, for the membership and for connections. Raises OSError."""
        await transport.start(*self.internal_address)
        create_server = self.loop.create_server
        self.listeners.append(
            await create_server(
                lambda: MessageConnection(self.inbound_message, self.inbound_closed),
                *self.internal_address,
                backlog=256,
            )
        )

    def serving_started(self, **fields: Any) -> None:
        """The process serves; open the log a little later, when it delays nobody."""
        settings = self.settings
        self.clock.schedule(self.clock.now() + LOG_OPEN_DELAY_S, lambda now: open_log(node=settings.name))
        log("serves", **fields, zone=settings.zone)

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
        """Run a coroutine as a task, and keep a reference until it ends."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reload(self) -> None:
        """Re-read the settings file (SIGHUP); an invalid file is ignored."""
        self.settings_watch.reload()

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings, such as new seeds."""
        self.settings = settings
        self.membership_transport.set_seeds(self.seed_addresses())


async def run(
    node_class: type[NodeProcess], settings: Settings, path: str, initial_stamp: FileStamp | None
) -> None:
    """Run a process from start to SIGTERM. ``initial_stamp``: of the settings file before it was read."""
    loop = asyncio.get_running_loop()
    node = node_class(settings, loop, path)
    node.settings_watch.loaded_stamp = initial_stamp
    asked_to_stop = asyncio.Event()
    set_signal_handler(loop, signal.SIGHUP, node.reload)
    for signal_number in TERMINATION_SIGNALS:
        set_signal_handler(loop, signal_number, asked_to_stop.set)
    await node.start()
    for signal_number in TERMINATION_SIGNALS:
        set_signal_handler(loop, signal_number, node.stop)
    if asked_to_stop.is_set():
        node.stop()  # an orderly shutdown, as clients may have connected meanwhile
    gc.collect()
    gc.freeze()
    await node.stopped.wait()
    await asyncio.sleep(FLUSH_DELAY_S)
    ignore_signals()


def main(
    name: str, node_class: type[NodeProcess], path: str | None = None, *startup_errors: type[Exception]
) -> int:
    """Run a process. Exit codes: 0 orderly shutdown, 1 one of ``startup_errors``, 2 invalid settings."""
    import uvloop

    path = path or os.environ.get(SETTINGS_FILE_VARIABLE, "/etc/latchspoke/local.yaml")
    initial_stamp = file_stamp(path)
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(node_class, settings, path, initial_stamp))
    except startup_errors as error:
        print(f"{name}: {error}", file=sys.stderr)
        return 1
    return 0
