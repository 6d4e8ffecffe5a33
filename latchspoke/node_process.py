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
from latchspoke.membership.messages import Member
from latchspoke.membership.parameters import ProtocolParameters
from latchspoke.membership.protocol import Membership, MembershipEvent
from latchspoke.membership.transport import MembershipTransport
from latchspoke.net.clock import Clock
from latchspoke.net.signals import ENDING, ignore_from_now_on
from latchspoke.pool.versions import PoolVersions
from latchspoke.registry.registry import BeatError, Registry
from latchspoke.settings import SETTINGS_FILE_VARIABLE, Settings, SettingsError, load_settings
from latchspoke.settings.watcher import FileStamp, SettingsWatcher, file_stamp
from latchspoke.transport.log import log, open_log
from latchspoke.transport.wire import Message, Wire

EDGE_PORT, CORE_PORT = 0, 1  # of the inner ports: places for the data plane and for the control plane
LOG_AFTER = 1.0  # s after the start
LAST_BYTES = 0.02  # s for what was written last


class NodeProcess:
    """One process: what it is told by its settings and by the membership, and those who follow its board."""

    PORT: int  # its place among the inner ports
    post: MembershipTransport  # ``fit`` makes it, with the program's own meta

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
        self.loop, self.watch = loop, SettingsWatcher(path, self.taken)
        self.clock, self.draw = clock or Clock(loop), draw or random.Random()
        self.life = f"{self.draw.getrandbits(32):08x}"
        self.inner = s.ip_address, s.port_range[0] + self.PORT
        self.link = f"{s.ip_address}:{s.port_range[0] + self.PORT}"
        self.registry = Registry(s.heartbeat_interval_s)
        self.board = Board(self.registry, difference=diff, versions=PoolVersions())  # type: ignore[arg-type]
        self.teller = Teller(self.board, self.clock, self.prove)
        self.servers: list[asyncio.Server] = []
        self.done = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.fit()

    # What the programs say for themselves.

    def fit(self) -> None:
        """Puts the program's own parts together."""
        raise NotImplementedError

    def prove(self, wire: Wire, tag: int) -> None:
        """Who follows asks whether what it knows is the newest."""
        raise NotImplementedError

    def news(self, news: MembershipEvent) -> None:
        """Of the membership."""
        raise NotImplementedError

    def heard(self, wire: Wire, message: Message) -> None:
        """A message on a connection that another process has opened."""
        raise NotImplementedError

    def stop(self) -> None:
        """SIGTERM: ``done`` is set once all is in order."""
        raise NotImplementedError

    async def start(self) -> None:
        """Listen, and begin the periodic work. Raises OSError."""
        raise NotImplementedError

    # What they share.

    def member(self, meta: dict[str, Any]) -> MembershipTransport:
        """The membership, with this process as its member."""
        s = self.settings
        me = Member(s.name, *self.inner, meta, 0, self.life)
        return MembershipTransport(
            Membership(me, self.seeds(), ProtocolParameters(), self.draw, self.clock.now()),
            self.news,
            self.clock.now,
        )

    def seeds(self) -> list[tuple[str, int]]:
        """Where the control machines of the settings file take the membership's messages."""
        return [(host, self.settings.port_range[0] + CORE_PORT) for host, _ in self.settings.seeds]

    async def listen(self, post: MembershipTransport) -> None:
        """The inner port, both for the membership and for connections. Raises OSError."""
        await post.start(*self.inner)
        create = self.loop.create_server
        self.servers.append(await create(lambda: Wire(self.accepted, self.left), *self.inner, backlog=256))

    def serves(self, **fields: Any) -> None:
        """All is open: the log may be loaded when it disturbs nobody."""
        s = self.settings
        self.clock.schedule(self.clock.now() + LOG_AFTER, lambda now: open_log(node=s.name))
        log("serves", **fields, zone=s.zone)

    def accepted(self, wire: Wire, message: Message) -> None:
        """A message on a connection that another process has opened; a wrong one ends the connection."""
        try:
            self.heard(wire, message)
        except (BeatError, KeyError, TypeError, ValueError) as e:
            wire.end(f"a message that can't be read: {e!r}")

    def left(self, wire: Wire, reason: str) -> None:
        """A connection that another process had opened has ended."""
        self.teller.ended(wire)

    def spawn(self, work: Any) -> None:
        """Run a coroutine as a task that is kept until it ends."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reload(self) -> None:
        """SIGHUP. A file that can't be used changes nothing."""
        self.watch.reload()

    def taken(self, settings: Settings) -> None:
        """The settings file has changed: other seeds, perhaps."""
        self.settings = settings
        self.post.set_seeds(self.seeds())


async def run(kind: type[NodeProcess], settings: Settings, path: str, seen: FileStamp | None) -> None:
    """From start to SIGTERM; ``seen``: the settings file as it was before it was read."""
    loop = asyncio.get_running_loop()
    node = kind(settings, loop, path)
    node.watch.loaded_stamp = seen
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
    await node.done.wait()
    await asyncio.sleep(LAST_BYTES)
    ignore_from_now_on(loop)


def main(name: str, kind: type[NodeProcess], path: str | None = None, *unusable: type[Exception]) -> int:
    """Exit codes: 0 ended in order, 1 for what is ``unusable``, 2 settings that can't be used."""
    import uvloop

    path = path or os.environ.get(SETTINGS_FILE_VARIABLE, "/etc/latchspoke/local.yaml")
    seen = file_stamp(path)
    try:
        settings = load_settings(path)
    except SettingsError as e:
        print(f"{name}: {e}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(kind, settings, path, seen))
    except unusable as e:
        print(f"{name}: {e}", file=sys.stderr)
        return 1
    return 0
