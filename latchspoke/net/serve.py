"""Puts the parts together, and runs them from start to SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

import uvloop

from barleyhub import interface as api
from barleyhub.choice import Gateway
from latchspoke.config import Config, ConfigError, RulesConfig, TargetList
from latchspoke.core import Core, Forward
from latchspoke.net.clock import Clock, Timer
from latchspoke.net.counter import Counter
from latchspoke.net.discovery import Watch
from latchspoke.net.http import Dialer, Shared, Sockets
from latchspoke.net.listener import ClientConnection, Listener
from latchspoke.net.stats import Stats
from latchspoke.net.target import TargetGroup

if TYPE_CHECKING:
    from latchspoke.net.admin import Admin
    from latchspoke.net.rules import Follower

log = logging.getLogger(__name__)

STATS = 5.0  # s between lines with the counters: a gateway that is killed prints none at its end
SWEEP = 0.5  # s between looks at what is idle, silent or unfinished
READY_AFTER = 0.2  # s; if discovery says nothing, the list known at the start must do
BACKLOG = 1024  # connections that the kernel holds for the listener
DRAIN_TIME = 0.5  # s after SIGTERM in which new connections still come


class Ports:
    """The core's ports on sockets."""

    def __init__(self, group: TargetGroup, counter: Counter, clock: Clock) -> None:
        self.group, self.counter, self.clock = group, counter, clock

    def forward(self, forward: Forward) -> None:
        self.group.forward(forward)

    def drop(self, forward: Forward) -> None:
        self.group.drop(forward)

    def count(self, name: int, amount: float, life: float) -> None:
        self.counter.count(name, amount, life)

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        return self.clock.schedule(when, call)


class Node:
    """One gateway on its sockets."""

    def __init__(self, config: Config, clock: Clock, dialer: Dialer) -> None:
        self.config, self.clock, self.stats = config, clock, Stats()
        self.shared = Shared(clock, self.stats, Sockets(config.sockets), dialer)
        self.group = TargetGroup(self.shared, config.settings)
        self.counter = Counter(self.shared, config.counter, config.settings)
        ports = Ports(self.group, self.counter, clock)
        self.core = Core(Gateway(config.seed, config.settings, self.stats), ports, self.stats)
        self.group.core = self.core
        self.counter.bind(self.core)
        self.listener = Listener(self.shared, self.core, self.group.free_one)
        self.group.free_client = self.listener.free_client
        self.watch = Watch(
            self.shared,
            config.discovery,
            config.known.generation,
            self.listed,
            self.ready,
            config.settings.gateways,
            config.seed,
        )
        self.rules: Follower | None = None
        self.server: asyncio.Server | None = None
        self.on_done: Callable[[], object] = lambda: None
        self.reread: Callable[[], Config] = lambda: config
        self.started_at = clock.now()
        self.stopped_at: float | None = None

    def start(self) -> None:
        """Everything but the listening socket."""
        now = self.clock.now()
        self.core.start(now)
        self.group.listed(self.config.known)
        self.core.listed(api.ServerList(api.ListForm.SAVED, self.config.known.entries), now)
        self.watch.start()
        self.clock.schedule(now + READY_AFTER, lambda late: self.ready())
        self.clock.schedule(now + SWEEP, self.sweep)
        self.clock.schedule(now + STATS, self.tell)

    def tell(self, now: float) -> None:
        self.clock.schedule(now + STATS, self.tell)
        self.stats.show()

    def listed(self, told: TargetList) -> None:
        self.group.listed(told)
        form = api.ListForm.WHOLE if told.whole else api.ListForm.CHANGES
        self.core.listed(api.ServerList(form, told.entries), self.clock.now())
        self.ready()

    def follow(self, rules: Follower) -> None:
        """Rules with versions decide from now on; without a right to act this gateway is not ready."""
        self.rules = rules
        self.core.rules = rules

    def ready(self) -> None:
        self.listener.ready = not self.listener.stopping and (self.rules is None or self.rules.ready)

    def sweep(self, now: float) -> None:
        self.clock.schedule(now + SWEEP, self.sweep)
        for part in (self.group, self.counter, self.watch, self.listener):
            part.sweep(now)

    def reload(self) -> None:
        """SIGHUP: what the file names now wins; one that can't be used leaves all as it was."""
        if self.listener.stopping:
            return
        try:
            config = self.reread()
        except ConfigError as e:
            log.error("%s goes on as before, as the new configuration can't be used: %s", self.config.name, e)
            return
        self.watch.move(config.discovery)
        self.counter.move(config.counter)
        log.info(
            "%s reloaded: discovery %s:%d, counter %s", self.config.name, *config.discovery, config.counter
        )
        if (config.listen, config.settings) != (self.config.listen, self.config.settings):
            log.warning("%s: a new listen address or new settings take a restart", self.config.name)

    def stop(self) -> None:
        """New connections still come for a while: they are taken, and answered with a close."""
        if self.listener.stopping:
            return
        log.info("%s stops", self.config.name)
        self.stopped_at = self.clock.now()
        self.listener.stopping, self.listener.ready = True, False
        self.listener.close_idle()
        self.clock.schedule(self.stopped_at + DRAIN_TIME, self.drained)

    def drained(self, now: float) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        self.listener.close_idle()
        if self.listener.busy:
            self.clock.schedule(now + 0.02, self.drained)
            return
        for part in (self.watch, self.group, self.counter):
            part.stop()
        self.on_done()


async def run(config: Config, reread: Callable[[], Config], admin_path: str | None) -> None:
    loop = asyncio.get_running_loop()
    node = Node(config, Clock(loop), Dialer(loop))
    host, port = config.listen
    node.server = await loop.create_server(
        lambda: ClientConnection(node.listener), host, port, backlog=BACKLOG
    )
    done = asyncio.Event()
    node.on_done = done.set
    node.reread = reread
    if config.rules is not None:
        node.follow(open_rules(node, loop, config.rules))
    admin = await open_admin(node, loop, admin_path) if admin_path else None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    loop.add_signal_handler(signal.SIGUSR1, node.stats.show)
    node.start()
    gc.collect()
    gc.freeze()  # what lives from start to end need not be walked again and again
    log.info("%s serves on %s:%d", config.name, host, port)
    await done.wait()
    if admin is not None:
        admin.stop()
    if node.rules is not None:
        node.rules.stop()
    await asyncio.sleep(0)  # connections tell of their end on the loop's next round
    node.stats.show()


def open_rules(node: Node, loop: asyncio.AbstractEventLoop, told: RulesConfig) -> Follower:
    """Its modules are loaded only where members are named."""
    from latchspoke.net.rules import Follower

    config = node.config

    def give(rules: api.Rules) -> None:
        node.core.give(rules, node.clock.now())

    follower = Follower(loop, node.clock, config.name, config.settings, told, give, node.ready)
    follower.start()
    return follower


async def open_admin(node: Node, loop: asyncio.AbstractEventLoop, path: str) -> Admin:
    """Its modules are loaded only where it is asked for."""
    from latchspoke.net.admin import Admin
    from latchspoke.net.view import gateway_view

    admin = Admin(loop, path, lambda: gateway_view(node, node.reread))
    await admin.start()
    return admin


def serve(config: Config, reread: Callable[[], Config], admin: str | None = None) -> None:
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s.%(msecs)03d %(name)s %(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )  # fmt: skip
    uvloop.run(run(config, reread, admin))
