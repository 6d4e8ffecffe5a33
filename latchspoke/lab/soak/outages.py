"""Troubles of many machines at once in a soak run, and whether the system is back in time.

Machines are killed, lose power, are cut off, get another time of day, join or go for good; the seeds change,
the configuration grows, callers leave as much as they can with a process.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING

from latchspoke.lab.soak.fleet import READINESS_PORT, SEEDS, LinkFaults, Machine
from latchspoke.lab.soak.hostile_callers import HostileCallers
from latchspoke.lab.soak.parties import call
from latchspoke.lab.soak.power_loss import lose_power
from latchspoke.lab.soak.probe import is_served

if TYPE_CHECKING:
    from latchspoke.lab.soak.run import Run

HERD_SHARE = 0.55
MAX_DOWN_S = 2.0
CUT_S = (0.5, 5.5)
CLOCK_STEP_S = 2400.0
CLOCK_STEP_LASTS_S = (1.0, 6.0)
LINK_DELAY_S = (0.0, 0.02)
DATAGRAM_LOSS = (0.0, 0.02)
JOIN_TIMEOUT_S = 15.0
MIN_GATEWAYS = 2
CATCH_UP_S = 4.0  # of a control machine that is new
ATTACK_S = (0.5, 3.0)
PROBE_INTERVAL_S = 0.1
MAX_ADDED_ROUTES, MAX_ADDED_TENANTS = 350, 1000


class Outages:
    """Operations of a run that take down, cut off or change many machines at once."""

    def __init__(self, run: Run) -> None:
        self.run, self.rng = run, run.rng
        self.ongoing = 0  # losses at present
        self.back_at = time.monotonic()  # when the last loss was over

    @property
    def operations(self) -> list[Callable[[], Awaitable[None]]]:
        """All of them, to be drawn from."""
        return [
            self.herd_kill, self.power_loss, self.cut_off, self.step_clocks, self.join_and_leave,
            self.replace_control, self.turn_over_seeds, self.grow_configuration, self.attack,
        ]  # fmt: skip

    def disturb_links(self) -> None:
        """Give all links a delay, and datagrams a loss, for the whole run; before the start."""
        for machine in self.machines():
            machine.faults = self.link_faults()

    def link_faults(self) -> LinkFaults:
        """The faults of a machine's links without a cut."""
        return LinkFaults(set(), self.rng.uniform(*LINK_DELAY_S), self.rng.uniform(*DATAGRAM_LOSS))

    def machines(self) -> list[Machine]:
        """All machines of the system."""
        return [*self.run.fleet.core, *self.run.fleet.edges]

    # Losses.

    async def herd_kill(self) -> None:
        """Many processes are killed at the same moment."""
        await self.take_down(lambda disk: None)

    async def power_loss(self) -> None:
        """Many machines lose power at the same moment."""
        await self.take_down(lambda disk: lose_power(disk, self.rng))

    async def take_down(self, tear: Callable[[Path], None]) -> None:
        """Kill many machines at once, and wait until the system is back; no other disk is lost meanwhile."""
        fleet, everything = self.run.fleet, self.machines()
        some = self.rng.sample(everything, math.ceil(len(everything) * HERD_SHARE))
        victims = self.rng.choice([everything, list(fleet.core), list(fleet.edges), some])
        async with self.run.killing_control:
            self.loss_begins()
            kills = [fleet.kill(machine, self.rng.uniform(0.0, MAX_DOWN_S), tear) for machine in victims]
            try:
                await asyncio.gather(*kills)
            finally:
                self.loss_ends()
            await self.wait_until_back()

    async def cut_off(self) -> None:
        """Links between some machines and all others are cut, and come back."""
        fleet, everything = self.run.fleet, self.machines()
        core_part = self.rng.sample(fleet.core, self.rng.randint(1, len(fleet.core)))
        edge_part = self.rng.sample(fleet.edges, self.rng.randint(1, max(1, len(fleet.edges) // 4)))
        inside = set(self.rng.choice([core_part[:1], core_part, edge_part, [*core_part, *edge_part]]))
        async with self.run.killing_control:
            self.loss_begins()
            try:
                self.cut_between(inside, set(everything) - inside)
                await asyncio.sleep(self.rng.uniform(*CUT_S))
            finally:
                self.heal()
                self.loss_ends()
            await self.wait_until_back()

    def cut_between(self, inside: set[Machine], outside: set[Machine]) -> None:
        """Cut all links between two sets of machines."""
        now = time.monotonic()
        for these, those in ((inside, outside), (outside, inside)):
            for machine in these:
                machine.faults.cut = {other.ip for other in those}
                self.run.fleet.write_faults(machine)
                self.run.record.troubles[machine.ip].append((now, math.inf))

    def heal(self) -> None:
        """End all cuts."""
        now = time.monotonic()
        for machine in self.machines():
            if machine.faults.cut:
                machine.faults.cut = set()
                self.run.fleet.write_faults(machine)
                troubles = self.run.record.troubles[machine.ip]
                troubles[:] = [(begun, min(ended, now)) for begun, ended in troubles]

    def loss_begins(self) -> None:
        """The system may rest from now on."""
        self.ongoing += 1
        if self.ongoing == 1:
            self.run.record.outages.append((time.monotonic(), math.inf))

    def loss_ends(self) -> None:
        """All machines of a loss run and reach each other again."""
        self.ongoing -= 1
        self.back_at = time.monotonic()

    async def wait_until_back(self) -> None:
        """Wait until gateways serve again; it is a broken rule if that takes longer than it may."""
        limit = self.run.plan.deployment.recovery_s
        waiting = set(self.run.fleet.edges)
        while waiting:
            waiting = await self.not_served(waiting)
            if not self.ongoing and time.monotonic() > self.back_at + limit:
                names = ", ".join(sorted(machine.name for machine in waiting))
                self.run.record.broken.append(
                    ("RECOVER", time.monotonic(), f"{names}: not served {limit:g} s after a loss")
                )
                break
            await asyncio.sleep(PROBE_INTERVAL_S)
        if not self.ongoing:
            begun, _ = self.run.record.outages[-1]
            self.run.record.outages[-1] = begun, time.monotonic()

    async def not_served(self, waiting: set[Machine]) -> set[Machine]:
        """Those gateways that don't serve a request and are not being stopped."""
        running = [machine for machine in waiting if not machine.stops]
        served = await asyncio.gather(*(is_served(machine.ip, self.run.record) for machine in running))
        return {machine for machine, good in zip(running, served, strict=True) if not good}

    # Changes.

    async def step_clocks(self) -> None:
        """The time of day jumps on some machines, and back."""
        victims = self.rng.sample(self.machines(), self.rng.randint(1, len(self.machines())))
        for offset in (self.rng.choice((-1, 1)) * CLOCK_STEP_S, 0.0):
            for machine in victims:
                machine.faults.clock_offset_s = offset
                self.run.fleet.write_faults(machine)
            if offset:
                await asyncio.sleep(self.rng.uniform(*CLOCK_STEP_LASTS_S))

    async def join_and_leave(self) -> None:
        """A gateway joins; later one goes for good."""
        fleet = self.run.fleet
        machine = fleet.machine("dataplane")
        machine.faults = self.link_faults()
        fleet.edges.append(machine)
        await fleet.start(machine)
        if not await self.becomes_ready(machine):
            self.run.record.broken.append(
                (
                    "READY",
                    time.monotonic(),
                    f"{machine.name} joined {JOIN_TIMEOUT_S:g} s ago, and isn't ready",
                )
            )
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        if len(fleet.edges) > MIN_GATEWAYS:
            await fleet.remove(self.rng.choice(fleet.edges))

    async def becomes_ready(self, machine: Machine) -> bool:
        """Whether a gateway is ready in time, not counting losses meanwhile."""
        until = time.monotonic() + JOIN_TIMEOUT_S
        while (await call((machine.ip, READINESS_PORT), "GET", "/readiness"))[0] != 200:
            if self.ongoing or machine.stops:
                until = time.monotonic() + JOIN_TIMEOUT_S
            if time.monotonic() > until:
                return False
            await asyncio.sleep(PROBE_INTERVAL_S)
        return True

    async def replace_control(self) -> None:
        """A control machine joins, and another one goes for good."""
        fleet = self.run.fleet
        async with self.run.killing_control:
            machine = fleet.machine("controlplane")
            machine.faults = self.link_faults()
            fleet.core.append(machine)
            self.run.record.control.add(machine.ip)
            await fleet.start(machine)
            await asyncio.sleep(CATCH_UP_S)
            gone = self.rng.choice([other for other in fleet.core if other is not machine])
            await fleet.remove(gone)
            fleet.seeds = [seed for seed in fleet.seeds if seed is not gone] or [machine]
            await asyncio.sleep(CATCH_UP_S)

    async def turn_over_seeds(self) -> None:
        """The seeds are exchanged for other control machines; settings files change, with SIGHUP."""
        fleet = self.run.fleet
        fleet.seeds = self.rng.sample(fleet.core, min(SEEDS, len(fleet.core)))
        await self.run.reload_all()

    async def grow_configuration(self) -> None:
        """The configuration gets many more routes and tenants, or loses them."""
        self.run.added_routes = self.rng.choice((0, 50, MAX_ADDED_ROUTES))
        self.run.added_tenants = self.rng.choice((0, MAX_ADDED_TENANTS))
        await self.run.change_configuration()

    async def attack(self) -> None:
        """Callers leave as much as they can with a process."""
        callers = HostileCallers(self.run.fleet, self.rng, self.run.services[0])
        attack = self.rng.choice(callers.attacks)
        self.run.record.done[attack.__name__] += 1
        await callers.run(attack, self.rng.uniform(*ATTACK_S))
