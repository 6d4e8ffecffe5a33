"""One day of a deployment: everything is put together, troubles come, and what was seen is recorded."""

from __future__ import annotations

import gc
import random
import tempfile
import time
import warnings
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from latchspoke.lab.system.callers import Travellers
from latchspoke.lab.system.clients import Crowd
from latchspoke.lab.system.machines import FRONT, START, Fleet, Machine, programs
from latchspoke.lab.system.network import Network, World
from latchspoke.lab.system.operators import Operator, Plan
from latchspoke.lab.system.record import Doc, Order, Record, Touch
from latchspoke.lab.system.records import ENDS, Day, Deployment, Trouble
from latchspoke.lab.system.servers import Life, Mischief, ServerFleet
from latchspoke.rollouts import plan as rollouts

AFTER = 9.0  # s after the end of traffic: slow answers, and the read-back


@dataclass
class Played:
    """A day that has been played."""

    deployment: Deployment
    day: Day
    record: Record
    touch: Touch
    seconds: float  # of processor time
    events: int
    faults: list[tuple[float, str, str]] = field(default_factory=list)
    stats: dict[str, int] = field(default_factory=dict)
    end: float = 0.0  # of traffic
    keys: dict[str, str] = field(default_factory=dict)  # key -> tenant
    edges: dict[str, str] = field(default_factory=dict)  # ip -> name
    lives: dict[str, tuple[str, str, int, int]] = field(
        default_factory=dict
    )  # service, zone, slots, most at once
    regions: dict[str, str] = field(default_factory=dict)  # ip -> region


Progress = Callable[[float], None]


def play(deployment: Deployment, day: Day, progress: Progress | None = None) -> Played:
    """One seed gives one result."""
    with tempfile.TemporaryDirectory(prefix="latchspoke-day-") as home:
        return Play(deployment, day, Path(home)).run(progress)


class Play:
    """The parts of a day, and its troubles by name: ``do_*``."""

    def __init__(self, deployment: Deployment, day: Day, home: Path) -> None:
        self.deployment, self.day = deployment, day
        ways = deployment.ways
        self.world = World()
        self.network = Network(
            self.world, day.seed, ways.zone_ms, ways.cross_ms, ways.region_ms, ways.client_ms
        )
        self.record, self.touch = Record(), Touch(deployment.bound("contactS"))
        self.fleet = Fleet(deployment, self.network, self.record, self.touch, day.seed, home)
        self.touch.cores = tuple(machine.ip for machine in self.fleet.cores)
        self.plan = Plan(deployment, day.seed)
        self.server_fleet = ServerFleet(deployment, self.network, self.record, day.seed, self.fleet.control)
        self.server_fleet.kinds = {kind.name: kind for kind in deployment.kinds}
        draw = random.Random(f"locators:{day.seed}")
        crowd = Crowd if deployment.callers is None else Travellers
        self.crowd = crowd(
            deployment, self.network, self.record, day.seed, lambda zone: self.fleet.locators(zone, draw),
            self.plan,
        )  # fmt: skip
        self.crowd.load = day.load
        self.operator = Operator(
            deployment, self.network, self.record, self.plan, day.seed, self.fleet.control
        )
        self.draw = random.Random(f"troubles:{day.seed}")
        self.after_ack: list[Callable[[Order], None]] = []
        self.replacing_until = 0.0  # s; a control machine that was replaced counts as lost till then
        self.operator.on_ack.append(self.acked)
        self.stats: dict[str, int] = {}
        self.end = deployment.lead + deployment.length
        for trouble in day.troubles:
            if trouble.kind in ENDS:  # long enough to see whether it recovers
                back = deployment.lead + trouble.at + 1.1 * trouble.lasts + 1.0
                self.end = max(self.end, back + deployment.bound("recoveryS") + 4.0)

    def run(self, progress: Progress | None) -> Played:
        d, world = self.deployment, self.world
        world.at(0.0, self.fleet.start_all)
        world.at(0.0, self.server_fleet.start_all)
        world.at(0.0, self.fleet.watch)
        world.at(0.5, self.operator.spawn, self.operator.begin())
        world.at(d.lead, self.crowd.begin, self.end)
        for trouble in self.day.troubles:
            world.at(d.lead + trouble.at, self.do, trouble)
        world.at(self.end, self.finish)
        began = time.process_time()
        gc.collect()
        gc.freeze()
        with programs(self.fleet), warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # of what a killed process had not begun
            while world.now < self.end + AFTER:
                world.run(min(world.now + 1.0, self.end + AFTER))
                if progress is not None:
                    progress(world.now / (self.end + AFTER))
            for machine in self.fleet.edges:
                self.keep_stats(machine)
        gc.unfreeze()
        return Played(
            d, self.day, self.record, self.touch, time.process_time() - began, world.serial, world.faults,
            dict(sorted(self.stats.items())), self.end, self.plan.held,
            {m.ip: m.name for m in self.fleet.edges},
            {
                i: (s.service.name, s.zone, s.service.slots, s.most)
                for i, s in self.server_fleet.lives.items()
            },
            {ip: host.region for ip, host in self.network.hosts.items()},
        )  # fmt: skip

    def finish(self) -> None:
        if self.world.now < self.end - 0.001:  # a closing fault has put it off
            self.world.at(self.end, self.finish)
            return
        self.operator.until = self.end
        for machine in self.fleet.machines:
            machine.refuses = machine.full = False
        self.operator.spawn(self.operator.read_back())

    def keep_stats(self, machine: Machine) -> None:
        if machine.running:
            for name, value in machine.node.stats.items():
                self.stats[name] = self.stats.get(name, 0) + value

    def acked(self, order: Order) -> None:
        waiting, self.after_ack = self.after_ack, []
        for call in waiting:
            call(order)
        if order.what in ("replace", "modify") and order.doc is not None and self.world.now > 3.0:
            self.probe_soon(order.doc)

    def probe_soon(self, doc: Doc) -> None:
        """Ask each gateway on the newest route, on one that is gone, and on one that never was."""
        names = {r["name"]: item["host"] for item in doc["listenerList"] for r in item["ruleSet"]}
        extra = [n for n in names if n.startswith("extra")][-1:]
        paths = [(names[n], f"/{n}/probe") for n in extra] + [(self.plan.hosts[0], "/never/probe")]
        if self.plan.extra and f"extra{self.plan.extra}" not in names:
            paths.append((self.plan.hosts[0], f"/extra{self.plan.extra}/probe"))
        tenant = self.draw.choice(doc["tenants"][: max(len(doc["tenants"]) // 2, 1)])  # the large ones
        for delay in (0.6, 2.0, 3.4):
            for machine in self.fleet.edges:
                if machine.running and machine.node.ready:
                    for host, path in paths:
                        at = self.world.now + delay + self.draw.uniform(0, 0.3)
                        self.world.at(
                            at, self.crowd.probe, (machine.ip, FRONT), host, path, tenant["apiKeys"][0],
                            tenant["name"],
                        )  # fmt: skip

        kind = self.deployment.kinds[0]
        for name, key in self.plan.old.items():
            for delay in (1.0, self.deployment.bound("revokeS") + 0.3, 7.0):
                for machine in self.fleet.edges:
                    if machine.running:
                        self.world.after(
                            delay, self.crowd.probe, (machine.ip, FRONT), self.plan.host_of[kind.name],
                            f"/{kind.name}/probe", key, name,
                        )  # fmt: skip

    # Troubles.

    def do(self, trouble: Trouble) -> None:
        self.record.acted.append((self.world.now, str(trouble)))
        getattr(self, f"do_{trouble.kind}")(trouble)

    def every(self, count: int, gap: float, call: Callable[[], Any]) -> None:
        for number in range(count):
            self.world.after(number * gap, call)

    def change(self, make: Callable[[Doc], Doc], valid: bool = True) -> None:
        self.operator.spawn(self.operator.change(make, valid))

    def do_change(self, t: Trouble) -> None:
        self.change(lambda doc: self.plan.changed(doc, t.how))

    def do_rollout(self, t: Trouble) -> None:
        """A roll-out of the kind ``where`` to the other service that may do it; ``x``: s a step at least."""
        kind = next(k for k in self.deployment.kinds if k.name == t.where)
        plan = rollouts.Plan(kind.name, kind.service, kind.also, (10.0, 50.0, 100.0), t.x, t.lasts)
        self.operator.spawn(self.operator.rollout(plan, self.fleet.doors))

    def do_race(self, t: Trouble) -> None:
        self.every(t.count, 1.2, lambda: self.operator.spawn(self.operator.race()))

    def do_storm(self, t: Trouble) -> None:
        self.every(max(int(t.lasts / t.x), 1), t.x, lambda: self.do_change(t))

    def do_many_routes(self, t: Trouble) -> None:
        def make(doc: Doc) -> Doc:
            new = self.plan.on(doc)
            self.plan.add(new, t.count)
            return new

        self.change(make)

    def do_revoke(self, t: Trouble) -> None:
        self.every(t.count, t.x, lambda: self.change(self.plan.rekeyed))

    def do_invalid(self, t: Trouble) -> None:
        self.every(t.count, 0.5, lambda: self.change(self.plan.spoilt, False))

    def do_lost_acks(self, t: Trouble) -> None:
        """The operator doesn't get a share ``x`` of the answers to orders, and sends these again."""
        self.operator.lose_answers(t.x, self.world.now + t.lasts)

    def do_evacuate(self, t: Trouble) -> None:
        self.operator.spawn(self.operator.evacuate(t.where, t.lasts))
        if t.how == "cold":
            self.world.after(max(t.lasts - 0.5, 0.0), self.do_cold, t)

    def some(self, trouble: Trouble) -> list[Life]:
        lives = self.server_fleet.of(trouble.where)
        most = max(len(lives) // 3, 1) if lives else 0
        return self.draw.sample(lives, min(trouble.count, most))

    def do_crash(self, t: Trouble) -> None:
        for life in self.some(t):
            if t.how == "gone":
                life.stop()
            elif t.how == "silent":
                life.stop(power=True)
                self.world.after(t.lasts, self.server_fleet.start, life.service, life.zone)
            else:
                life.restart(t.lasts)

    def do_release(self, t: Trouble) -> None:
        for number, life in enumerate(self.some(t)):
            self.world.after(number * t.x, self.replace, life)

    def replace(self, life: Life) -> None:
        """The new one first, then the old one leaves."""
        if life.state == "available":
            self.server_fleet.start(life.service, life.zone)
            self.world.after(1.0, life.leave)

    def do_rolling(self, t: Trouble) -> None:
        """All servers in turn, each ``x`` s after the one before: in order, same address, new life."""
        for number, life in enumerate(self.server_fleet.of(t.where)):
            self.world.after(number * t.x, self.roll, life, t.lasts)

    def roll(self, life: Life, lasts: float) -> None:
        life.again = lasts
        life.leave()

    def do_shrink(self, t: Trouble) -> None:
        for life in self.some(t):
            life.leave()

    def do_cold(self, t: Trouble) -> None:
        for life in self.server_fleet.of("", t.where):
            life.cold_until = self.world.now + life.service.cold_s

    def do_lost_answers(self, t: Trouble) -> None:
        self.server_fleet.mischiefs.append(Mischief(t.kind, t.how, t.x, self.world.now + t.lasts, t.where))

    do_garbage = do_lost_answers
    do_idle_race = do_lost_answers
    do_stutter = do_lost_answers

    def do_grey(self, t: Trouble) -> None:
        """Some servers fail many requests, or all, and say that they are well."""
        among = frozenset(life.ident for life in self.some(t))
        self.server_fleet.mischiefs.append(
            Mischief(t.kind, t.how, t.x, self.world.now + t.lasts, t.where, among)
        )

    do_lying = do_grey

    def do_flap(self, t: Trouble) -> None:
        for life in self.some(t):
            self.flap(life.ip, t.x, self.world.now + t.lasts)

    def flap(self, ip: str, gap: float, until: float) -> None:
        """Whoever serves at this address goes down for half of the gap, again and again."""
        if self.world.now < until:
            for life in [life for life in self.server_fleet.of("") if life.ip == ip]:
                life.restart(gap / 2)
            self.world.after(gap, self.flap, ip, gap, until)

    def do_scale_out(self, t: Trouble) -> None:
        service = next(s for s in self.deployment.services if s.name == t.where)
        zones = sorted(service.servers)
        for number in range(t.count):
            self.world.after(number * t.x, self.server_fleet.start, service, self.draw.choice(zones))

    def do_rush(self, t: Trouble) -> None:
        name = self.draw.choice(list(self.plan.shares))
        self.crowd.rush[name] = t.x
        self.world.after(t.lasts, self.crowd.rush.pop, name, None)

    def pick(self, trouble: Trouble) -> list[Machine]:
        """The machines that it befalls; of the core never more than are to be borne."""
        fleet = self.fleet
        if trouble.where and (named := [m for m in fleet.machines if m.name == trouble.where]):
            return named
        if trouble.how == "leader":
            return [m for m in fleet.cores if m.leads][:1] or fleet.cores[:1]
        kind = trouble.how if trouble.how in ("edge", "core") else self.draw.choice(("edge", "core"))
        pool = [m for m in fleet.machines if m.kind == kind and m.running]
        most = (
            max(len(pool) // 3, 1)
            if kind == "edge"
            else min(self.deployment.tolerate_machines, len(pool) // 2)
        )
        return self.draw.sample(pool, min(trouble.count, most, len(pool)))

    def do_kill(self, t: Trouble) -> None:
        for machine in self.pick(t):
            self.fleet.kill(machine, t.lasts)

    def do_herd(self, t: Trouble) -> None:
        machines = [m for m in self.fleet.machines if t.how in ("all", m.kind)]
        for machine in self.draw.sample(machines, max(int(len(machines) * t.x), 1)):
            self.fleet.kill(machine, t.lasts * self.draw.uniform(0.8, 1.2))

    def power(self, machines: list[Machine], lasts: float, wipe: bool = False) -> None:
        for machine in machines:
            self.fleet.power_off(machine)
            if wipe:
                self.fleet.wipe(machine)
            self.world.after(lasts * self.draw.uniform(0.9, 1.1), self.fleet.power_on, machine)

    def do_power(self, t: Trouble) -> None:
        self.power(self.pick(t), t.lasts)

    def do_zone_power(self, t: Trouble) -> None:
        self.power([m for m in self.fleet.machines if m.host.zone == t.where], t.lasts)
        for life in self.server_fleet.of("", t.where):
            life.stop(power=True)
            self.world.after(t.lasts + 0.5, self.server_fleet.start, life.service, life.zone)

    def do_after_ack(self, t: Trouble) -> None:
        """Who acknowledges the next order is hit right after it."""

        def hit(order: Order) -> None:
            machine = self.fleet.of(order.by)
            if machine is None:
                return
            if t.how == "kill":
                self.fleet.kill(machine, t.lasts)
            else:
                self.power([machine], t.lasts, t.how == "wipe" and bool(self.may_lose([machine])))

        self.after_ack.append(hit)
        self.change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_replace(self, t: Trouble) -> None:
        """``count`` control machines in turn, each as soon as the loss before it counts no more."""
        self.replace_next(t, t.count)

    def replace_next(self, t: Trouble, left: int) -> None:
        if not left:
            return
        old = self.pick_replaced(t)
        if t.how == "planned":
            self.fleet.successor(old)
            self.world.after(t.x, self.end_for_good, old)
        else:
            self.fleet.note(old, t.x)
            self.fleet.retire(old)
            self.world.after(t.x, self.fleet.successor, old)
        # A machine that comes counts for nothing until it has started and had ``catchUpS``.
        again = t.x + START["core"] * 1.3 + self.deployment.bound("catchUpS")
        self.replacing_until = self.world.now + again
        self.world.after(again, self.replace_next, t, left - 1)

    def end_for_good(self, machine: Machine) -> None:
        """SIGTERM; what has ended isn't started again, and the machine goes with the end of its grace."""
        machine.kept_down += 1
        self.fleet.terminate(machine)
        self.world.after(self.deployment.bound("graceS"), self.fleet.retire, machine)

    def pick_replaced(self, t: Trouble) -> Machine:
        cores = [m for m in self.fleet.cores if m.running] or self.fleet.cores
        if t.how == "leader":
            return next((m for m in cores if m.leads), cores[0])
        return cores[0] if t.how == "oldest" else self.draw.choice(cores)

    def do_at_save(self, t: Trouble) -> None:
        """The leader loses power right before, or right after, its next sync."""
        for machine in [m for m in self.fleet.cores if m.leads][:1]:
            machine.armed, machine.down = t.how, t.lasts
        self.change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_disk_refuses(self, t: Trouble) -> None:
        for machine in self.pick(t):
            machine.refuses = True
            self.fleet.note(machine, t.lasts)
            self.world.after(t.lasts, setattr, machine, "refuses", False)

    def do_disk_full(self, t: Trouble) -> None:
        for machine in self.pick(t):
            machine.full = True
            self.fleet.note(machine, t.lasts)
            self.world.after(t.lasts, setattr, machine, "full", False)

    def do_disk_hangs(self, t: Trouble) -> None:
        for machine in self.pick(t):
            machine.hangs_until = self.world.now + t.lasts
            self.fleet.note(machine, t.lasts)

    def do_roll_term(self, t: Trouble) -> None:
        """A share of them, ``count`` at a time; of the core one after the other."""
        pool = [m for m in self.fleet.machines if m.kind == t.how and m.running]
        at_once = t.count if t.how == "edge" else 1
        gap = t.lasts + (0.5 if t.how == "edge" else 3.0)
        most = min(max(int(len(pool) * t.x), 1), len(pool))
        for number, machine in enumerate(self.draw.sample(pool, most)):
            self.world.after(number // at_once * gap, self.fleet.terminate, machine)

    def do_term(self, t: Trouble) -> None:
        pool = [m for m in self.fleet.machines if m.kind == t.how and m.running]
        for number, machine in enumerate(self.draw.sample(pool, min(t.count, len(pool)))):
            self.world.after(number * (t.x + 3.0), self.fleet.terminate, machine)

    def do_freeze(self, t: Trouble) -> None:
        for machine in self.pick(t):
            if machine.loop is not None:
                self.fleet.note(machine, t.lasts)
                machine.loop.busy = max(machine.loop.busy, self.world.now) + t.lasts

    def do_slow(self, t: Trouble) -> None:
        for machine in self.pick(t):
            self.fleet.note(machine, t.lasts)
            self.pace(machine, t.x)
            self.world.after(t.lasts, self.pace, machine, 1.0)

    def pace(self, machine: Machine, slowed: float) -> None:
        machine.slowed = slowed
        if machine.loop is not None:
            machine.loop.cost = self.deployment.cost_ms / 1000 * slowed

    def do_clock(self, t: Trouble) -> None:
        for machine in self.draw.sample(self.fleet.machines, min(t.count, len(self.fleet.machines))):
            self.fleet.note(machine, t.lasts)
            machine.skew += t.x
            self.world.after(t.lasts, self.step_back, machine, t.x)

    def step_back(self, machine: Machine, step: float) -> None:
        machine.skew -= step

    def do_seeds(self, t: Trouble) -> None:
        cores = [m.ip for m in self.fleet.cores]
        self.fleet.seeds = self.draw.sample(cores, min(3, len(cores)))
        for machine in self.fleet.machines:
            self.world.after(self.draw.uniform(0, 0.5), self.fleet.reload, machine)

    def cut(self, pairs: list[tuple[str, str]], lasts: float) -> None:
        self.network.cut(pairs)
        self.touch.cuts.append((self.world.now, self.world.now + lasts + 1.0))
        self.world.after(lasts, self.network.mend, pairs)

    def outside(self, inner: set[str], one_way: bool = False) -> list[tuple[str, str]]:
        """From these machines to all other machines, and back. Clients and servers still reach them."""
        others = [m.ip for m in self.fleet.machines if m.ip not in inner]
        pairs = [(a, b) for a in sorted(inner) for b in others]
        return pairs if one_way else pairs + [(b, a) for a, b in pairs]

    def do_cut(self, t: Trouble) -> None:
        place = ""
        if t.how in ("zone", "region"):
            able = self.deployment.tolerate_zones if t.how == "zone" else self.deployment.tolerate_regions
            if not able:
                return
            hosts = self.fleet.machines
            place = self.draw.choice(
                sorted({m.host.zone if t.how == "zone" else m.host.region for m in hosts})
            )
            inner = {m.ip for m in hosts if place in (m.host.zone, m.host.region)}
        else:
            inner = {m.ip for m in self.pick(t)}
        self.begin_cut(inner, t, False)

    def begin_cut(self, inner: set[str], t: Trouble, one_way: bool) -> None:
        if self.draw.random() < 0.5 and not one_way and t.how not in ("zone", "region"):
            # Each of them alone.
            for ip in sorted(inner):
                self.cut(self.outside({ip}), t.lasts)
        else:
            self.cut(self.outside(inner, one_way), t.lasts)
        now = self.world.now
        if any(m.ip in inner for m in self.fleet.cores):
            self.touch.core += [now, now + t.lasts]
        for ip in inner:
            self.touch.trouble(ip, now, now + t.lasts + 0.5)

    def do_core_cut(self, t: Trouble) -> None:
        """Among control machines only: gateways and servers reach all of them, and are in no trouble."""
        cores = self.fleet.cores
        most = (len(cores) - 1) // 2
        named = [m for m in cores if m.name == t.where]
        if t.how == "link" and len(cores) > 1:
            one, other = named + self.draw.sample([m for m in cores if m not in named], 2 - len(named))
            self.cut([(one.ip, other.ip), (other.ip, one.ip)], t.lasts)
        elif t.how == "split":
            # No side has a majority.
            self.cut(self.among_cores(self.draw.sample(cores, len(cores) // 2)), t.lasts)
        elif t.how == "halves":
            self.cut(self.among_cores(named or self.draw.sample(cores, most)), t.lasts)
        else:
            off = [m for m in cores if m.leads][:1] if t.how == "leader" else []
            for machine in named or off or self.draw.sample(cores, min(t.count, most)):
                pairs = self.among_cores([machine])
                half = len(pairs) // 2
                self.cut({"mute": pairs[:half], "deaf": pairs[half:]}.get(t.how, pairs), t.lasts)
        now = self.world.now
        self.touch.core += [now, now + t.lasts]

    def among_cores(self, inner: list[Machine]) -> list[tuple[str, str]]:
        """From these to the other control machines; then all of these pairs the other way."""
        pairs = [(m.ip, other.ip) for m in inner for other in self.fleet.cores if other not in inner]
        return pairs + [(b, a) for a, b in pairs]

    def do_one_way(self, t: Trouble) -> None:
        self.begin_cut({m.ip for m in self.pick(t)}, t, True)

    def do_loss(self, t: Trouble) -> None:
        self.network.loss += t.x
        self.touch.cuts.append((self.world.now, self.world.now + t.lasts))
        self.world.after(t.lasts, self.less_loss, t.x)
        for machine in self.fleet.machines:
            self.touch.trouble(machine.ip, self.world.now, self.world.now + t.lasts)

    def less_loss(self, x: float) -> None:
        self.network.loss -= x

    def may_lose(self, machines: list[Machine]) -> list[Machine]:
        """Of these as many as may lose their disks now: who was hit lately counts as lost already."""
        now, least = self.world.now, self.deployment.bound("catchUpS")
        gone = [m for m in self.fleet.cores if not self.touch.calm(m.ip, now - least, now)]
        missing = now < self.replacing_until  # one that is no machine of the fleet any more
        able = self.deployment.tolerate_machines - missing - len([m for m in gone if m not in machines])
        return [m for m in machines if m in gone or len(gone) < self.deployment.tolerate_machines][
            : max(able, 0)
        ]

    # The end of a day.

    def close_with(self, t: Trouble, hit: Callable[[], None]) -> None:
        """Right after a configuration was acknowledged."""

        def now_hit(order: Order) -> None:
            hit()
            back = self.world.now + t.lasts * 1.1 + 1.0
            self.record.closing = (self.world.now, back)
            self.end = self.crowd.until = max(self.end, back + self.deployment.bound("recoveryS") + 4.0)

        self.after_ack.append(now_hit)
        self.change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_end_power(self, t: Trouble) -> None:
        self.close_with(t, lambda: self.power(self.fleet.machines, t.lasts))

    def do_end_kill(self, t: Trouble) -> None:
        def hit() -> None:
            for machine in self.fleet.machines:
                self.fleet.kill(machine, t.lasts * self.draw.uniform(0.8, 1.2))

        self.close_with(t, hit)

    def do_end_wipe(self, t: Trouble) -> None:
        def hit() -> None:
            cores = self.fleet.cores
            lost = self.may_lose(self.draw.sample(cores, len(cores) - 1))
            self.power(lost, t.lasts, wipe=True)
            if t.how == "others":
                self.power([m for m in cores if m not in lost], t.lasts)

        self.close_with(t, hit)
