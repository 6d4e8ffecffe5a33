"""Assembles a gateway and runs it until SIGTERM."""

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

from barleyhub import interface as api
from barleyhub.choice import Gateway
from latchspoke.config import Address, Config, ConfigError, RulesConfig, TargetList
from latchspoke.core import Attempt, Core
from latchspoke.net import event_loop
from latchspoke.net.clock import Clock, Timer
from latchspoke.net.counter import Counter
from latchspoke.net.discovery import Watch
from latchspoke.net.http import CONNECT_GRACE_S, ConnectionContext, Dialer, Sockets, has_pending_connections
from latchspoke.net.listener import ClientConnection, Listener
from latchspoke.net.process_group import ProcessGroup, bind_shared_socket, route_new_connections
from latchspoke.net.signals import TERMINATION_SIGNALS, ignore_signals, set_signal_handler
from latchspoke.net.stats import Stats
from latchspoke.net.target import TargetGroup

if TYPE_CHECKING:
    from latchspoke.net.admin import AdminServer
    from latchspoke.net.operator_api import OperatorApi
    from latchspoke.net.rules import RulesClient

log = logging.getLogger(__name__)

STATS_INTERVAL_S = 5.0  # counters are also printed while running, as a killed process prints none at its end
SWEEP_INTERVAL_S = 0.5  # between checks for expired timeouts
READY_DELAY_S = 0.2  # without an answer from discovery, before the configured list is used
LISTEN_BACKLOG = 1024
MAX_RESTORE_ATTEMPTS = 8  # to read the learned state of an older process
PROCESS_SYNC_INTERVAL_S = 0.1
DRAIN_DELAY_S = 0.5  # after SIGTERM, while new connections are still accepted


class Ports:
    """Implements the core's ports with sockets."""

    def __init__(self, target_group: TargetGroup, counter: Counter, clock: Clock) -> None:
        self.target_group, self.counter, self.clock = target_group, counter, clock

    def forward(self, attempt: Attempt) -> None:
        self.target_group.forward(attempt)

    def drop(self, attempt: Attempt) -> None:
        self.target_group.drop(attempt)

    def add_count(self, name: int, amount: float, forget_after: float) -> None:
        self.counter.add(name, amount, forget_after)

    def schedule(self, when: float, call: Callable[[float], None]) -> Timer:
        return self.clock.schedule(when, call)


class Node:
    """A gateway with its sockets."""

    def __init__(self, config: Config, clock: Clock, dialer: Dialer) -> None:
        self.config, self.clock, self.stats = config, clock, Stats()
        self.context = ConnectionContext(clock, self.stats, Sockets(config.max_sockets), dialer)
        self.target_group = TargetGroup(self.context, config.settings)
        self.counter = Counter(self.context, config.counter, config.settings)
        ports = Ports(self.target_group, self.counter, clock)
        self.core = Core(Gateway(config.seed, config.settings, self.stats), ports, self.stats)
        self.target_group.core = self.core
        self.counter.attach(self.core)
        self.listener = Listener(self.context, self.core, self.target_group.close_longest_idle)
        self.target_group.close_waiting_client = self.listener.close_waiting_client
        self.watch = Watch(
            self.context,
            config.discovery,
            config.known_targets.generation,
            self.server_list_received,
            self.update_readiness,
            config.settings.gateways,
            config.seed,
        )
        self.rules: RulesClient | None = None
        self.process_group: ProcessGroup | None = None
        self.server: asyncio.Server | None = None
        self.on_ready: Callable[[], object] = lambda: None
        self.on_done: Callable[[], object] = lambda: None
        self.load_config: Callable[[], Config] = lambda: config
        self.started_at = clock.now()
        self.stopped_at: float | None = None

    def start(self) -> None:
        """Start everything except the listening socket."""
        now = self.clock.now()
        self.core.start(now)
        self.target_group.update_targets(self.config.known_targets)
        self.record_known_servers([entry.server for entry in self.config.known_targets.entries])
        if self.process_group is not None:
            self.process_group.reload_if_changed()
            self.apply_maintenance()
        self.core.update_servers(api.ServerList(api.ListForm.SAVED, self.config.known_targets.entries), now)
        self.watch.start()
        self.clock.schedule(now + READY_DELAY_S, lambda late: self.update_readiness())
        self.clock.schedule(now + SWEEP_INTERVAL_S, self.sweep)
        self.clock.schedule(now + STATS_INTERVAL_S, self.print_stats)
        if self.process_group is not None:
            self.sync_processes(now)

    def print_stats(self, now: float) -> None:
        self.clock.schedule(now + STATS_INTERVAL_S, self.print_stats)
        self.stats.show()

    def server_list_received(self, server_list: TargetList) -> None:
        self.target_group.update_targets(server_list)
        form = api.ListForm.WHOLE if server_list.complete else api.ListForm.CHANGES
        self.core.update_servers(api.ServerList(form, server_list.entries), self.clock.now())
        self.record_known_servers([entry.server for entry in server_list.entries])
        self.update_readiness()

    def use_rules(self, rules: RulesClient) -> None:
        """Decide by replicated rules; the gateway is not ready before it holds a lease on them."""
        self.rules = rules
        self.core.rules = rules

    def update_readiness(self) -> None:
        self.listener.ready = not self.listener.stopping and (self.rules is None or self.rules.ready)
        if self.listener.ready:
            self.on_ready()

    @property
    def serving(self) -> bool:
        """Whether this process accepts clients, as reported by /status."""
        return self.listener.ready and self.server is not None

    def record_known_servers(self, names: list[str]) -> None:
        """Remember listed servers: operators may put any server into maintenance that was ever listed."""
        if self.process_group is None or all(
            name in self.process_group.maintenance.known_servers for name in names
        ):
            return
        try:
            with self.process_group.update() as maintenance:
                maintenance.known_servers |= dict.fromkeys(names)
        except OSError as e:
            log.error("maintenance record can't be written: %s", e)

    def set_maintenance(self, action: str, name: str) -> bool:
        """Put a server into maintenance ("enter") or back into service ("exit"); False if it is unknown.

        Raises OSError if the maintenance record can't be written.
        """
        if self.process_group is None:
            return False
        with self.process_group.update() as maintenance:
            change = maintenance.enter if action == "enter" else maintenance.exit
            known = change(name, self.clock.now())
        log.info("maintenance: %s %s%s", action, name, "" if known else ": unknown server")
        self.apply_maintenance()
        return known

    def apply_maintenance(self) -> None:
        assert self.process_group is not None
        self.target_group.excluded = self.process_group.maintenance.in_maintenance
        self.core.submit(
            api.Maintenance(
                self.process_group.maintenance.in_maintenance, self.process_group.maintenance.returned
            ),
            self.clock.now(),
        )

    def sync_processes(self, now: float) -> None:
        """Apply maintenance requests that other processes received, and divide the sockets with them."""
        assert self.process_group is not None
        self.clock.schedule(now + PROCESS_SYNC_INTERVAL_S, self.sync_processes)
        if self.process_group.reload_if_changed():
            self.apply_maintenance()
        others = self.process_group.count_others()
        self.context.sockets.set_process_count(1 + others)
        self.process_group.is_successor = self.process_group.is_successor and others > 0
        if others and self.serving and not self.process_group.is_successor:
            self.process_group.publish_learned(self.core.gateway.export_learned(now))

    def sweep(self, now: float) -> None:
        self.clock.schedule(now + SWEEP_INTERVAL_S, self.sweep)
        for part in (self.target_group, self.counter, self.watch, self.listener):
            part.sweep(now)

    def reload(self) -> None:
        """Reload the configuration file on SIGHUP; an invalid one changes nothing."""
        if self.listener.stopping:
            return
        try:
            config = self.load_config()
            if missing := sorted(self.config.field_names - config.field_names):
                raise ConfigError(f"missing fields: {', '.join(missing)}")
        except ConfigError as e:
            self.stats["conf.invalid"] += 1
            log.error("%s: invalid configuration, keeping the current one: %s", self.config.name, e)
            return
        self.watch.set_address(config.discovery)
        self.counter.set_address(config.counter)
        if config.settings != self.config.settings:
            self.apply_settings(config.settings)
        self.stats["conf.loaded"] += 1
        log.info(
            "%s reloaded: discovery %s:%d, counter %s", self.config.name, *config.discovery, config.counter
        )
        if (config.listen, config.operator_address) != (self.config.listen, self.config.operator_address):
            log.warning("%s: changed listening addresses require a restart", self.config.name)

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply changed settings, all of them between two events of the core."""
        log.info(
            "%s applies new settings: classes %s, attempts %d",
            self.config.name, ", ".join(kind.name for kind in settings.classes), settings.try_limit,
        )  # fmt: skip
        self.config = replace(self.config, settings=settings)
        self.target_group.take_settings(settings)
        self.counter.timeout_s = settings.counter_limit
        if self.rules is not None:
            # Replicated rules take precedence over the plans of the file.
            settings = replace(settings, plans=tuple(self.core.gateway.plans.values()))
        self.core.submit(settings, self.clock.now())

    def stop(self) -> None:
        """Start to drain; for a while new connections are still accepted, for one request each."""
        if self.listener.stopping:
            return
        log.info("%s stops", self.config.name)
        self.stopped_at = self.clock.now()
        self.listener.stopping, self.listener.ready = True, False
        self.on_ready()
        if self.process_group is None or not self.process_group.count_others():
            self.listener.close_idle()  # otherwise later, as clients may be about to use them
        self.clock.schedule(self.stopped_at + DRAIN_DELAY_S, self.continue_drain)

    def continue_drain(self, now: float) -> None:
        if self.server is not None:
            late = now - (self.stopped_at or now) > DRAIN_DELAY_S + CONNECT_GRACE_S
            if not late and has_pending_connections(self.server):
                self.clock.schedule(now + 0.02, self.continue_drain)
                return
            self.server.close()
            self.server = None
        self.listener.close_idle()
        if self.listener.clients:
            self.clock.schedule(now + 0.02, self.continue_drain)
            return
        for part in (self.watch, self.target_group, self.counter):
            part.stop()
        self.on_done()


async def run(config: Config, load_config: Callable[[], Config], admin_path: str | None) -> None:
    loop = asyncio.get_running_loop()
    node = Node(config, Clock(loop), Dialer(loop))
    host, port = config.listen
    operator_api = None
    if config.operator_address is not None:
        operator_api = await open_operator_api(node, loop, config.operator_address)
    older_processes = node.process_group.count_others() if node.process_group is not None else 0
    if node.process_group is not None:
        node.process_group.is_successor = older_processes > 0
    done = asyncio.Event()
    node.on_done = done.set
    node.load_config = load_config
    for number in TERMINATION_SIGNALS:
        set_signal_handler(loop, number, node.stop)
    set_signal_handler(loop, signal.SIGHUP, node.reload)
    if not older_processes:
        await listen(node, loop, older_processes)
    if config.rules is not None:
        node.use_rules(open_rules(node, loop, config.rules))
    admin = await open_admin(node, loop, admin_path) if admin_path else None
    set_signal_handler(loop, signal.SIGUSR1, node.stats.show)
    ready = asyncio.Event()
    node.on_ready = ready.set
    if node.listener.stopping:
        ready.set()
    node.start()
    if older_processes:
        # Another process serves at this address until this one is ready.
        await ready.wait()
        await restore_learned(node)
        await listen(node, loop, older_processes)
    gc.collect()
    gc.freeze()  # keeps permanent objects out of later collections
    log.info("%s serves on %s:%d", config.name, host, port)
    await done.wait()
    if admin is not None:
        admin.stop()
    if operator_api is not None:
        operator_api.stop()
    if node.rules is not None:
        node.rules.stop()
    await asyncio.sleep(0)  # transports report closed connections in the next iteration of the loop
    node.stats.show()
    ignore_signals()


async def listen(node: Node, loop: asyncio.AbstractEventLoop, older_processes: int) -> None:
    """Accept clients; if older processes share the address, all new connections are routed to this one."""
    if node.listener.stopping:
        return

    def client() -> ClientConnection:
        return ClientConnection(node.listener)

    if node.process_group is None:
        node.server = await loop.create_server(client, *node.config.listen, backlog=LISTEN_BACKLOG)
        return
    sock = bind_shared_socket(node.config.listen)
    node.server = await loop.create_server(client, sock=sock, backlog=LISTEN_BACKLOG)
    if older_processes:
        route_new_connections(sock, older_processes)


async def restore_learned(node: Node) -> None:
    """Restore the state that the older process has learned, which it writes once it notices this one."""
    for _ in range(MAX_RESTORE_ATTEMPTS):
        if node.process_group is None or node.listener.stopping:
            return
        if learned := node.process_group.load_learned():
            node.core.gateway.restore_learned(learned, node.clock.now())
            log.info(
                "%s restored the learned state of the older process: limit %.3g, latency %.3g s, %d servers",
                node.config.name, learned["limit"], learned["latency"], len(learned["servers"]),
            )  # fmt: skip
            return
        await asyncio.sleep(PROCESS_SYNC_INTERVAL_S / 2)


async def open_operator_api(node: Node, loop: asyncio.AbstractEventLoop, address: Address) -> OperatorApi:
    """Start the operator API, whose modules are imported only if it is configured."""
    from latchspoke.net.operator_api import OperatorApi

    node.process_group = ProcessGroup(Path(tempfile.gettempdir()), node.config.name, node.config.listen)
    operator_api = OperatorApi(loop, node)
    await operator_api.start(address)
    return operator_api


def open_rules(node: Node, loop: asyncio.AbstractEventLoop, rules_config: RulesConfig) -> RulesClient:
    """Start the rules client, whose modules are imported only if agents are configured."""
    from latchspoke.net.rules import RulesClient

    config = node.config

    def apply_rules(rules: api.Rules) -> None:
        node.core.submit(rules, node.clock.now())

    rules_client = RulesClient(
        loop, node.clock, config.name, config.settings, rules_config, apply_rules, node.update_readiness
    )
    rules_client.start()
    return rules_client


async def open_admin(node: Node, loop: asyncio.AbstractEventLoop, path: str) -> AdminServer:
    """Start the admin socket, whose modules are imported only if it is enabled."""
    from latchspoke.net.admin import AdminServer
    from latchspoke.net.view import gateway_view

    admin = AdminServer(loop, path, lambda: gateway_view(node, node.load_config))
    await admin.start()
    return admin


def serve(config: Config, load_config: Callable[[], Config], admin: str | None = None) -> None:
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s.%(msecs)03d %(name)s %(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )  # fmt: skip
    event_loop.run(run(config, load_config, admin))
