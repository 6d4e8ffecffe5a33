"""Puts the parts together, and runs them from start to SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from barleyhub import interface as api
from barleyhub.choice import Gateway
from latchspoke.config import Address, Config, ConfigError, RulesConfig, TargetList
from latchspoke.core import Attempt, Core
from latchspoke.net.clock import Clock, Timer
from latchspoke.net.counter import Counter
from latchspoke.net.discovery import Watch
from latchspoke.net.http import GRACE, Dialer, Shared, Sockets, pending
from latchspoke.net.kin import Kin, lead_here, shared_socket
from latchspoke.net.listener import ClientConnection, Listener
from latchspoke.net.signals import ENDING, ignore_from_now_on
from latchspoke.net.stats import Stats
from latchspoke.net.target import TargetGroup

if TYPE_CHECKING:
    from latchspoke.net.admin import Admin
    from latchspoke.net.door import Door
    from latchspoke.net.rules import Follower

log = logging.getLogger(__name__)

STATS = 5.0  # s between lines with the counters: a gateway that is killed prints none at its end
SWEEP = 0.5  # s between looks at what is idle, silent or unfinished
READY_AFTER = 0.2  # s; if discovery says nothing, the list known at the start must do
BACKLOG = 1024  # connections that the kernel holds for the listener
RECALL_TRIES = 8  # looks at what an older process has learnt, half of HEED apart
HEED = 0.1  # s between looks at what other processes of this gateway have noted
DRAIN_TIME = 0.5  # s after SIGTERM in which new connections still come


class Ports:
    """The core's ports on sockets."""

    def __init__(self, group: TargetGroup, counter: Counter, clock: Clock) -> None:
        self.group, self.counter, self.clock = group, counter, clock

    def forward(self, forward: Attempt) -> None:
        self.group.forward(forward)

    def drop(self, forward: Attempt) -> None:
        self.group.drop(forward)

    def add_count(self, name: int, amount: float, life: float) -> None:
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
        self.kin: Kin | None = None
        self.server: asyncio.Server | None = None
        self.on_ready: Callable[[], object] = lambda: None
        self.on_done: Callable[[], object] = lambda: None
        self.reread: Callable[[], Config] = lambda: config
        self.started_at = clock.now()
        self.stopped_at: float | None = None

    def start(self) -> None:
        """Everything but the listening socket."""
        now = self.clock.now()
        self.core.start(now)
        self.group.listed(self.config.known)
        self.remember([entry.server for entry in self.config.known.entries])
        if self.kin is not None:
            self.kin.changed()
            self.heed_notes()
        self.core.update_servers(api.ServerList(api.ListForm.SAVED, self.config.known.entries), now)
        self.watch.start()
        self.clock.schedule(now + READY_AFTER, lambda late: self.ready())
        self.clock.schedule(now + SWEEP, self.sweep)
        self.clock.schedule(now + STATS, self.tell)
        if self.kin is not None:
            self.heed(now)

    def tell(self, now: float) -> None:
        self.clock.schedule(now + STATS, self.tell)
        self.stats.show()

    def listed(self, told: TargetList) -> None:
        self.group.listed(told)
        form = api.ListForm.WHOLE if told.whole else api.ListForm.CHANGES
        self.core.update_servers(api.ServerList(form, told.entries), self.clock.now())
        self.remember([entry.server for entry in told.entries])
        self.ready()

    def follow(self, rules: Follower) -> None:
        """Rules with versions decide from now on; without a right to act this gateway is not ready."""
        self.rules = rules
        self.core.rules = rules

    def ready(self) -> None:
        self.listener.ready = not self.listener.stopping and (self.rules is None or self.rules.ready)
        if self.listener.ready:
            self.on_ready()

    @property
    def serving(self) -> bool:
        """Whether clients are taken in here: what /status tells."""
        return self.listener.ready and self.server is not None

    def remember(self, names: list[str]) -> None:
        """Calls about servers are heard for each that was ever listed."""
        if self.kin is None or all(name in self.kin.notes.seen for name in names):
            return
        try:
            with self.kin.changing() as notes:
                notes.seen |= dict.fromkeys(names)
        except OSError as e:
            log.error("the notes can't be kept: %s", e)

    def maintain(self, word: str, name: str) -> bool:
        """A server taken out by hand, or put back; false where none of that name was ever listed."""
        if self.kin is None:
            return False
        with self.kin.changing() as notes:
            change = notes.enter if word == "enter" else notes.exit
            known = change(name, self.clock.now())
        log.info("by hand: %s %s%s", word, name, "" if known else ", which was never listed")
        self.heed_notes()
        return known

    def heed_notes(self) -> None:
        assert self.kin is not None
        self.group.barred = self.kin.notes.out
        self.core.submit(api.Maintenance(self.kin.notes.out, self.kin.notes.back), self.clock.now())

    def heed(self, now: float) -> None:
        """See what operators have said at another process of this gateway, and share its sockets with it."""
        assert self.kin is not None
        self.clock.schedule(now + HEED, self.heed)
        if self.kin.changed():
            self.heed_notes()
        others = self.kin.others()
        self.shared.sockets.share(1 + others)
        self.kin.junior = self.kin.junior and others > 0
        if others and self.serving and not self.kin.junior:
            self.kin.leave_learnt(self.core.gateway.export_learned(now))

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
            if lacking := sorted(self.config.fields - config.fields):
                raise ConfigError(f"it lacks {', '.join(lacking)}")
        except ConfigError as e:
            self.stats["conf.invalid"] += 1
            log.error("%s goes on as before, as the new configuration can't be used: %s", self.config.name, e)
            return
        self.watch.move(config.discovery)
        self.counter.move(config.counter)
        if config.settings != self.config.settings:
            self.retune(config.settings)
        self.stats["conf.loaded"] += 1
        log.info(
            "%s reloaded: discovery %s:%d, counter %s", self.config.name, *config.discovery, config.counter
        )
        if (config.listen, config.control) != (self.config.listen, self.config.control):
            log.warning("%s: new addresses of its own take a restart", self.config.name)

    def retune(self, settings: api.Settings) -> None:
        """Go by other settings, all of them between two events."""
        log.info(
            "%s goes by other settings: classes %s, attempts %d",
            self.config.name, ", ".join(kind.name for kind in settings.classes), settings.try_limit,
        )  # fmt: skip
        self.config = replace(self.config, settings=settings)
        self.group.take(settings)
        self.counter.limit = settings.counter_limit
        if self.rules is not None:
            # Rules with versions tell the plans' figures, and stand above the file.
            settings = replace(settings, plans=tuple(self.core.gateway.plans.values()))
        self.core.submit(settings, self.clock.now())

    def stop(self) -> None:
        """New connections still come for a while: they are taken, and answered with a close."""
        if self.listener.stopping:
            return
        log.info("%s stops", self.config.name)
        self.stopped_at = self.clock.now()
        self.listener.stopping, self.listener.ready = True, False
        self.on_ready()
        if self.kin is None or not self.kin.others():
            self.listener.close_idle()  # else they stay a little: clients may be about to ask on them
        self.clock.schedule(self.stopped_at + DRAIN_TIME, self.drained)

    def drained(self, now: float) -> None:
        if self.server is not None:
            late = now - (self.stopped_at or now) > DRAIN_TIME + GRACE
            if not late and pending(self.server):
                self.clock.schedule(now + 0.02, self.drained)
                return
            self.server.close()
            self.server = None
        self.listener.close_idle()
        if self.listener.clients:
            self.clock.schedule(now + 0.02, self.drained)
            return
        for part in (self.watch, self.group, self.counter):
            part.stop()
        self.on_done()


async def run(config: Config, reread: Callable[[], Config], admin_path: str | None) -> None:
    loop = asyncio.get_running_loop()
    node = Node(config, Clock(loop), Dialer(loop))
    host, port = config.listen
    door = None
    if config.control is not None:
        door = await open_door(node, loop, config.control)
    older = node.kin.others() if node.kin is not None else 0
    if node.kin is not None:
        node.kin.junior = older > 0
    done = asyncio.Event()
    node.on_done = done.set
    node.reread = reread
    for number in ENDING:
        loop.add_signal_handler(number, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    if not older:
        await listen(node, loop, older)
    if config.rules is not None:
        node.follow(open_rules(node, loop, config.rules))
    admin = await open_admin(node, loop, admin_path) if admin_path else None
    loop.add_signal_handler(signal.SIGUSR1, node.stats.show)
    heard = asyncio.Event()
    node.on_ready = heard.set
    if node.listener.stopping:
        heard.set()
    node.start()
    if older:
        # Another process of this gateway serves here until this one can.
        await heard.wait()
        await recall(node)
        await listen(node, loop, older)
    gc.collect()
    gc.freeze()  # what lives from start to end need not be walked again and again
    log.info("%s serves on %s:%d", config.name, host, port)
    await done.wait()
    if admin is not None:
        admin.stop()
    if door is not None:
        door.stop()
    if node.rules is not None:
        node.rules.stop()
    await asyncio.sleep(0)  # connections tell of their end on the loop's next round
    node.stats.show()
    ignore_from_now_on(loop)


async def listen(node: Node, loop: asyncio.AbstractEventLoop, older: int) -> None:
    """Take clients in; where older processes of this gateway do, all new ones come here from now on."""
    if node.listener.stopping:
        return

    def client() -> ClientConnection:
        return ClientConnection(node.listener)

    if node.kin is None:
        node.server = await loop.create_server(client, *node.config.listen, backlog=BACKLOG)
        return
    sock = shared_socket(node.config.listen)
    node.server = await loop.create_server(client, sock=sock, backlog=BACKLOG)
    if older:
        lead_here(sock, older)


async def recall(node: Node) -> None:
    """Go on from what the older process has learnt, which it tells as soon as it sees this one."""
    for _ in range(RECALL_TRIES):
        if node.kin is None or node.listener.stopping:
            return
        if learnt := node.kin.learnt():
            node.core.gateway.restore_learned(learnt, node.clock.now())
            log.info(
                "%s goes on from what the other process has learnt: limit %.3g, answers %.3g s, %d servers",
                node.config.name, learnt["limit"], learnt["latency"], len(learnt["servers"]),
            )  # fmt: skip
            return
        await asyncio.sleep(HEED / 2)


async def open_door(node: Node, loop: asyncio.AbstractEventLoop, address: Address) -> Door:
    """Its modules are loaded only where it is asked for."""
    from latchspoke.net.door import Door

    node.kin = Kin(Path(tempfile.gettempdir()), node.config.name, node.config.listen)
    door = Door(loop, node)
    await door.start(address)
    return door


def open_rules(node: Node, loop: asyncio.AbstractEventLoop, told: RulesConfig) -> Follower:
    """Its modules are loaded only where members are named."""
    from latchspoke.net.rules import Follower

    config = node.config

    def give(rules: api.Rules) -> None:
        node.core.submit(rules, node.clock.now())

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
