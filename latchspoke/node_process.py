"""What both programs have alike: their settings, clock, membership, inner port, signals, start and end.

Only what a process needs to serve is loaded here: a process that starts again is an outage.
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
from latchspoke.distribution.board import Board
from latchspoke.distribution.teller import Teller
from latchspoke.membership.post import Post
from latchspoke.membership.timing import Timing
from latchspoke.membership.watch import Membership, News
from latchspoke.membership.words import Member
from latchspoke.net.clock import Clock
from latchspoke.net.signals import ENDING, ignore_from_now_on
from latchspoke.pool.versions import Versions
from latchspoke.registry.registry import BeatError, Registry
from latchspoke.settings import VARIABLE, Settings, SettingsError, load
from latchspoke.settings.watch import Stamp, Watch, stamp_of
from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.log import log, open_log

GATEWAY_PORT_OFFSET, CONTROL_PORT_OFFSET = (
    0,
    1,
)  # of the inner ports: places for the data plane and for the control plane
LOG_OPEN_DELAY_S = 1.0  # s after the start
FLUSH_DELAY_S = 0.02  # s for what was written last


class NodeProcess:
    """One process: what it is told by its settings and by the membership, and those who follow its board."""

    PORT_OFFSET: int  # its place among the inner ports
    membership_transport: Post  # ``fit`` makes it, with the program's own meta

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        path: str,
        clock: Clock | None = None,
        draw: random.Random | None = None,
    ) -> None:
        """``clock`` and ``draw`` are given where time is virtual."""
        s = self.settings = settings
        self.loop, self.settings_watch = loop, Watch(path, self.apply_settings)
        self.clock, self.rng = clock or Clock(loop), draw or random.Random()
        self.instance_id = f"{self.rng.getrandbits(32):08x}"
        self.internal_address = s.ip, s.ports[0] + self.PORT_OFFSET
        self.internal_endpoint = f"{s.ip}:{s.ports[0] + self.PORT_OFFSET}"
        self.registry = Registry(s.beat)
        self.published_state = Board(self.registry, difference=diff, versions=Versions())  # type: ignore[arg-type]
        self.publisher = Teller(self.published_state, self.clock, self.handle_proof_request)
        self.listeners: list[asyncio.Server] = []
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.build()

    # What the programs say for themselves.

    def build(self) -> None:
        """Puts the program's own parts together."""
        raise NotImplementedError

    def handle_proof_request(self, wire: MessageConnection, tag: int) -> None:
        """Who follows asks whether what it knows is the newest."""
        raise NotImplementedError

    def membership_changed(self, news: News) -> None:
        """Of the membership."""
        raise NotImplementedError

    def handle_message(self, wire: MessageConnection, message: Message) -> None:
        """A message on a connection that another process has opened."""
        raise NotImplementedError

    def stop(self) -> None:
        """SIGTERM: ``done`` is set once all is in order."""
        raise NotImplementedError

    async def start(self) -> None:
        """Listen, and begin the periodic work. Raises OSError."""
        raise NotImplementedError

    # What they share.

    def create_membership_transport(self, meta: dict[str, Any]) -> Post:
        """The membership, with this process as its member."""
        s = self.settings
        me = Member(s.name, *self.internal_address, meta, 0, self.instance_id)
        return Post(
            Membership(me, self.seed_addresses(), Timing(), self.rng, self.clock.now()),
            self.membership_changed,
            self.clock.now,
        )

    def seed_addresses(self) -> list[tuple[str, int]]:
        """Where the control machines of the settings file take the membership's messages."""
        return [(host, self.settings.ports[0] + CONTROL_PORT_OFFSET) for host, _ in self.settings.seeds]

    async def listen_internal(self, post: Post) -> None:
        """The inner port, both for the membership and for connections. Raises OSError."""
        await post.start(*self.internal_address)
        create = self.loop.create_server
        self.listeners.append(
            await create(
                lambda: MessageConnection(self.inbound_message, self.inbound_closed),
                *self.internal_address,
                backlog=256,
            )
        )

    def serving_started(self, **fields: Any) -> None:
        """All is open: the log may be loaded when it disturbs nobody."""
        s = self.settings
        self.clock.schedule(self.clock.now() + LOG_OPEN_DELAY_S, lambda now: open_log(node=s.name))
        log("serves", **fields, zone=s.zone)

    def inbound_message(self, wire: MessageConnection, message: Message) -> None:
        """A message on a connection that another process has opened; a wrong one ends the connection."""
        try:
            self.handle_message(wire, message)
        except (BeatError, KeyError, TypeError, ValueError) as e:
            wire.end(f"a message that can't be read: {e!r}")

    def inbound_closed(self, wire: MessageConnection, reason: str) -> None:
        """A connection that another process had opened has ended."""
        self.publisher.ended(wire)

    def spawn(self, work: Any) -> None:
        """Run a coroutine as a task that is kept until it ends."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reload(self) -> None:
        """SIGHUP. A file that can't be used changes nothing."""
        self.settings_watch.read()

    def apply_settings(self, settings: Settings) -> None:
        """The settings file has changed: other seeds, perhaps."""
        self.settings = settings
        self.membership_transport.reseed(self.seed_addresses())


async def run(kind: type[NodeProcess], settings: Settings, path: str, seen: Stamp | None) -> None:
    """From start to SIGTERM; ``seen``: the settings file as it was before it was read."""
    loop = asyncio.get_running_loop()
    node = kind(settings, loop, path)
    node.settings_watch.seen = seen
    asked_to_stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    for number in ENDING:
        loop.add_signal_handler(number, asked_to_stop.set)
    await node.start()
    for number in ENDING:
        loop.add_signal_handler(number, node.stop)
    if asked_to_stop.is_set():
        node.stop()  # in order: clients may have come meanwhile
    gc.collect()
    gc.freeze()
    await node.stopped.wait()
    await asyncio.sleep(FLUSH_DELAY_S)
    ignore_from_now_on(loop)


def main(name: str, kind: type[NodeProcess], path: str | None = None, *unusable: type[Exception]) -> int:
    """Exit codes: 0 ended in order, 1 for what is ``unusable``, 2 settings that can't be used."""
    import uvloop

    path = path or os.environ.get(VARIABLE, "/etc/latchspoke/local.yaml")
    seen = stamp_of(path)
    try:
        settings = load(path)
    except SettingsError as e:
        print(f"{name}: {e}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(kind, settings, path, seen))
    except unusable as e:
        print(f"{name}: {e}", file=sys.stderr)
        return 1
    return 0
