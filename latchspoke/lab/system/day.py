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

from latchspoke.lab.system.callers import CallerPopulation
from latchspoke.lab.system.clients import ClientPopulation
from latchspoke.lab.system.day_record import Command, DayRecord, Doc, Reachability
from latchspoke.lab.system.machines import FRONT_PORT, START_DELAY_S, Fleet, Machine, patched_programs
from latchspoke.lab.system.network import Network, VirtualScheduler
from latchspoke.lab.system.operators import ConfigurationPlan, Operator
from latchspoke.lab.system.scenario import FINAL_FAULTS, Day, Deployment, Trouble
from latchspoke.lab.system.servers import ServerFault, ServerFleet, ServerInstance
from latchspoke.rollouts import plan as rollouts

SETTLE_S = 9.0  # s after the end of traffic: slow answers, and the read-back


@dataclass
class DayResult:
    """A day that has been played."""

    deployment: Deployment
    day: Day
    record: DayRecord
    reachability: Reachability
    seconds: float  # of processor time
    events: int
    uncaught_errors: list[tuple[float, str, str]] = field(default_factory=list)
    stats: dict[str, int] = field(default_factory=dict)
    traffic_end: float = 0.0  # of traffic
    keys: dict[str, str] = field(default_factory=dict)  # key -> tenant
    edges: dict[str, str] = field(default_factory=dict)  # ip -> name
    instances: dict[str, tuple[str, str, int, int]] = field(
        default_factory=dict
    )  # service, zone, slots, most at once
    regions: dict[str, str] = field(default_factory=dict)  # ip -> region


Progress = Callable[[float], None]


def run_day(deployment: Deployment, day: Day, progress: Progress | None = None) -> DayResult:
    """One seed gives one result."""
    with tempfile.TemporaryDirectory(prefix="latchspoke-day-") as home:
        return DaySimulation(deployment, day, Path(home)).run(progress)


class DaySimulation:
    """The parts of a day, and its troubles by name: ``do_*``."""

    def __init__(self, deployment: Deployment, day: Day, home: Path) -> None:
        self.deployment, self.day = deployment, day
        ways = deployment.ways
        self.scheduler = VirtualScheduler()
        self.network = Network(
            self.scheduler, day.seed, ways.zone_ms, ways.cross_ms, ways.region_ms, ways.client_ms
        )
        self.record, self.reachability = DayRecord(), Reachability(deployment.bound("contactS"))
        self.fleet = Fleet(deployment, self.network, self.record, self.reachability, day.seed, home)
        self.reachability.core_ips = tuple(machine.ip for machine in self.fleet.cores)
        self.plan = ConfigurationPlan(deployment, day.seed)
        self.server_fleet = ServerFleet(deployment, self.network, self.record, day.seed, self.fleet.control)
        self.server_fleet.kinds = {kind.name: kind for kind in deployment.kinds}
        rng = random.Random(f"locators:{day.seed}")
        population = ClientPopulation if deployment.callers is None else CallerPopulation
        self.population = population(
            deployment, self.network, self.record, day.seed, lambda zone: self.fleet.locators(zone, rng),
            self.plan,
        )  # fmt: skip
        self.population.load = day.load
        self.operator = Operator(
            deployment, self.network, self.record, self.plan, day.seed, self.fleet.control
        )
        self.rng = random.Random(f"troubles:{day.seed}")
        self.after_next_ack: list[Callable[[Command], None]] = []
        self.replacement_until = 0.0  # s; a control machine that was replaced counts as lost till then
        self.operator.on_ack.append(self.command_acked)
        self.stats: dict[str, int] = {}
        self.traffic_end = deployment.lead + deployment.length
        for trouble in day.troubles:
            if trouble.kind in FINAL_FAULTS:  # long enough to see whether it recovers
                back = deployment.lead + trouble.at + 1.1 * trouble.lasts + 1.0
                self.traffic_end = max(self.traffic_end, back + deployment.bound("recoveryS") + 4.0)

    def run(self, progress: Progress | None) -> DayResult:
        d, scheduler = self.deployment, self.scheduler
        scheduler.at(0.0, self.fleet.start_all)
        scheduler.at(0.0, self.server_fleet.start_all)
        scheduler.at(0.0, self.fleet.watch_reachability)
        scheduler.at(0.5, self.operator.spawn, self.operator.submit_initial())
        scheduler.at(d.lead, self.population.start, self.traffic_end)
        for trouble in self.day.troubles:
            scheduler.at(d.lead + trouble.at, self.inject, trouble)
        scheduler.at(self.traffic_end, self.finish)
        began = time.process_time()
        gc.collect()
        gc.freeze()
        with patched_programs(self.fleet), warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # of what a killed process had not begun
            while scheduler.now < self.traffic_end + SETTLE_S:
                scheduler.run(min(scheduler.now + 1.0, self.traffic_end + SETTLE_S))
                if progress is not None:
                    progress(scheduler.now / (self.traffic_end + SETTLE_S))
            for machine in self.fleet.edges:
                self.add_stats(machine)
        gc.unfreeze()
        return DayResult(
            d,
            self.day,
            self.record,
            self.reachability,
            time.process_time() - began,
            scheduler.event_count,
            scheduler.uncaught_errors,
            dict(sorted(self.stats.items())),
            self.traffic_end,
            self.plan.key_owners,
            {m.ip: m.name for m in self.fleet.edges},
            {
                i: (s.service.name, s.zone, s.service.slots, s.max_in_flight)
                for i, s in self.server_fleet.instances.items()
            },
            {ip: host.region for ip, host in self.network.hosts.items()},
        )

    def finish(self) -> None:
        if self.scheduler.now < self.traffic_end - 0.001:  # a closing fault has put it off
            self.scheduler.at(self.traffic_end, self.finish)
            return
        self.operator.until = self.traffic_end
        for machine in self.fleet.machines:
            machine.disk_refuses = machine.disk_full = False
        self.operator.spawn(self.operator.read_back())

    def add_stats(self, machine: Machine) -> None:
        if machine.running:
            for name, value in machine.node.stats.items():
                self.stats[name] = self.stats.get(name, 0) + value

    def command_acked(self, command: Command) -> None:
        waiting, self.after_next_ack = self.after_next_ack, []
        for call in waiting:
            call(command)
        if command.what in ("replace", "modify") and command.doc is not None and self.scheduler.now > 3.0:
            self.schedule_probes(command.doc)

    def schedule_probes(self, doc: Doc) -> None:
        """Ask each gateway on the newest route, on one that is gone, and on one that never was."""
        names = {r["name"]: item["host"] for item in doc["listenerList"] for r in item["ruleSet"]}
        extra = [n for n in names if n.startswith("extra")][-1:]
        paths = [(names[n], f"/{n}/probe") for n in extra] + [(self.plan.hosts[0], "/never/probe")]
        if self.plan.extra and f"extra{self.plan.extra}" not in names:
            paths.append((self.plan.hosts[0], f"/extra{self.plan.extra}/probe"))
        tenant = self.rng.choice(doc["tenants"][: max(len(doc["tenants"]) // 2, 1)])  # the large ones
        for delay in (0.6, 2.0, 3.4):
            for machine in self.fleet.edges:
                if machine.running and machine.node.ready:
                    for host, path in paths:
                        at = self.scheduler.now + delay + self.rng.uniform(0, 0.3)
                        self.scheduler.at(
                            at,
                            self.population.probe,
                            (machine.ip, FRONT_PORT),
                            host,
                            path,
                            tenant["apiKeys"][0],
                            tenant["name"],
                        )

        kind = self.deployment.kinds[0]
        for name, key in self.plan.revoked_keys.items():
            for delay in (1.0, self.deployment.bound("revokeS") + 0.3, 7.0):
                for machine in self.fleet.edges:
                    if machine.running:
                        self.scheduler.after(
                            delay,
                            self.population.probe,
                            (machine.ip, FRONT_PORT),
                            self.plan.host_of[kind.name],
                            f"/{kind.name}/probe",
                            key,
                            name,
                        )

    # Troubles.

    def inject(self, trouble: Trouble) -> None:
        self.record.injected_troubles.append((self.scheduler.now, str(trouble)))
        getattr(self, f"do_{trouble.kind}")(trouble)

    def repeat(self, count: int, gap: float, call: Callable[[], Any]) -> None:
        for number in range(count):
            self.scheduler.after(number * gap, call)

    def submit_change(self, make: Callable[[Doc], Doc], valid: bool = True) -> None:
        self.operator.spawn(self.operator.change(make, valid))

    def do_change(self, t: Trouble) -> None:
        self.submit_change(lambda doc: self.plan.changed(doc, t.how))

    def do_rollout(self, t: Trouble) -> None:
        """A roll-out of the kind ``where`` to the other service that may do it; ``x``: s a step at least."""
        kind = next(k for k in self.deployment.kinds if k.name == t.where)
        plan = rollouts.Plan(kind.name, kind.service, kind.also, (10.0, 50.0, 100.0), t.x, t.lasts)
        self.operator.spawn(self.operator.rollout(plan, self.fleet.readiness_addresses))

    def do_race(self, t: Trouble) -> None:
        self.repeat(t.count, 1.2, lambda: self.operator.spawn(self.operator.race()))

    def do_storm(self, t: Trouble) -> None:
        self.repeat(max(int(t.lasts / t.x), 1), t.x, lambda: self.do_change(t))

    def do_many_routes(self, t: Trouble) -> None:
        def make(doc: Doc) -> Doc:
            new = self.plan.successor_of(doc)
            self.plan.add(new, t.count)
            return new

        self.submit_change(make)

    def do_revoke(self, t: Trouble) -> None:
        self.repeat(t.count, t.x, lambda: self.submit_change(self.plan.with_new_key))

    def do_invalid(self, t: Trouble) -> None:
        self.repeat(t.count, 0.5, lambda: self.submit_change(self.plan.invalid_version, False))

    def do_lost_acks(self, t: Trouble) -> None:
        """The operator doesn't get a share ``x`` of the answers to orders, and sends these again."""
        self.operator.lose_answers(t.x, self.scheduler.now + t.lasts)

    def do_evacuate(self, t: Trouble) -> None:
        self.operator.spawn(self.operator.evacuate(t.where, t.lasts))
        if t.how == "cold":
            self.scheduler.after(max(t.lasts - 0.5, 0.0), self.do_cold, t)

    def choose_instances(self, trouble: Trouble) -> list[ServerInstance]:
        instances = self.server_fleet.serving(trouble.where)
        most = max(len(instances) // 3, 1) if instances else 0
        return self.rng.sample(instances, min(trouble.count, most))

    def do_crash(self, t: Trouble) -> None:
        for instance in self.choose_instances(t):
            if t.how == "gone":
                instance.stop()
            elif t.how == "silent":
                instance.stop(power=True)
                self.scheduler.after(t.lasts, self.server_fleet.start, instance.service, instance.zone)
            else:
                instance.restart(t.lasts)

    def do_release(self, t: Trouble) -> None:
        for number, instance in enumerate(self.choose_instances(t)):
            self.scheduler.after(number * t.x, self.replace_instance, instance)

    def replace_instance(self, instance: ServerInstance) -> None:
        """The new one first, then the old one leaves."""
        if instance.state == "available":
            self.server_fleet.start(instance.service, instance.zone)
            self.scheduler.after(1.0, instance.begin_drain)

    def do_rolling(self, t: Trouble) -> None:
        """All servers in turn, each ``x`` s after the one before: in order, same address, new life."""
        for number, instance in enumerate(self.server_fleet.serving(t.where)):
            self.scheduler.after(number * t.x, self.restart_in_place, instance, t.lasts)

    def restart_in_place(self, instance: ServerInstance, lasts: float) -> None:
        instance.restart_after_s = lasts
        instance.begin_drain()

    def do_shrink(self, t: Trouble) -> None:
        for instance in self.choose_instances(t):
            instance.begin_drain()

    def do_cold(self, t: Trouble) -> None:
        for instance in self.server_fleet.serving("", t.where):
            instance.cold_until = self.scheduler.now + instance.service.cold_s

    def do_lost_answers(self, t: Trouble) -> None:
        self.server_fleet.faults.append(
            ServerFault(t.kind, t.how, t.x, self.scheduler.now + t.lasts, t.where)
        )

    do_garbage = do_lost_answers
    do_idle_race = do_lost_answers
    do_stutter = do_lost_answers

    def do_grey(self, t: Trouble) -> None:
        """Some servers fail many requests, or all, and say that they are well."""
        among = frozenset(instance.ident for instance in self.choose_instances(t))
        self.server_fleet.faults.append(
            ServerFault(t.kind, t.how, t.x, self.scheduler.now + t.lasts, t.where, among)
        )

    do_lying = do_grey

    def do_flap(self, t: Trouble) -> None:
        for instance in self.choose_instances(t):
            self.flap(instance.ip, t.x, self.scheduler.now + t.lasts)

    def flap(self, ip: str, gap: float, until: float) -> None:
        """Whoever serves at this address goes down for half of the gap, again and again."""
        if self.scheduler.now < until:
            for instance in [instance for instance in self.server_fleet.serving("") if instance.ip == ip]:
                instance.restart(gap / 2)
            self.scheduler.after(gap, self.flap, ip, gap, until)

    def do_scale_out(self, t: Trouble) -> None:
        service = next(s for s in self.deployment.services if s.name == t.where)
        zones = sorted(service.servers)
        for number in range(t.count):
            self.scheduler.after(number * t.x, self.server_fleet.start, service, self.rng.choice(zones))

    def do_rush(self, t: Trouble) -> None:
        name = self.rng.choice(list(self.plan.shares))
        self.population.load_factors[name] = t.x
        self.scheduler.after(t.lasts, self.population.load_factors.pop, name, None)

    def choose_machines(self, trouble: Trouble) -> list[Machine]:
        """The machines that it befalls; of the core never more than are to be borne."""
        fleet = self.fleet
        if trouble.where and (named := [m for m in fleet.machines if m.name == trouble.where]):
            return named
        if trouble.how == "leader":
            return [m for m in fleet.cores if m.is_leader][:1] or fleet.cores[:1]
        kind = trouble.how if trouble.how in ("edge", "core") else self.rng.choice(("edge", "core"))
        pool = [m for m in fleet.machines if m.kind == kind and m.running]
        most = (
            max(len(pool) // 3, 1)
            if kind == "edge"
            else min(self.deployment.tolerate_machines, len(pool) // 2)
        )
        return self.rng.sample(pool, min(trouble.count, most, len(pool)))

    def do_kill(self, t: Trouble) -> None:
        for machine in self.choose_machines(t):
            self.fleet.kill(machine, t.lasts)

    def do_herd(self, t: Trouble) -> None:
        machines = [m for m in self.fleet.machines if t.how in ("all", m.kind)]
        for machine in self.rng.sample(machines, max(int(len(machines) * t.x), 1)):
            self.fleet.kill(machine, t.lasts * self.rng.uniform(0.8, 1.2))

    def power_cycle(self, machines: list[Machine], lasts: float, wipe: bool = False) -> None:
        for machine in machines:
            self.fleet.power_off(machine)
            if wipe:
                self.fleet.wipe(machine)
            self.scheduler.after(lasts * self.rng.uniform(0.9, 1.1), self.fleet.power_on, machine)

    def do_power(self, t: Trouble) -> None:
        self.power_cycle(self.choose_machines(t), t.lasts)

    def do_zone_power(self, t: Trouble) -> None:
        self.power_cycle([m for m in self.fleet.machines if m.host.zone == t.where], t.lasts)
        for instance in self.server_fleet.serving("", t.where):
            instance.stop(power=True)
            self.scheduler.after(t.lasts + 0.5, self.server_fleet.start, instance.service, instance.zone)

    def do_after_ack(self, t: Trouble) -> None:
        """Who acknowledges the next order is hit right after it."""

        def hit(command: Command) -> None:
            machine = self.fleet.by_ip(command.answered_by)
            if machine is None:
                return
            if t.how == "kill":
                self.fleet.kill(machine, t.lasts)
            else:
                self.power_cycle([machine], t.lasts, t.how == "wipe" and bool(self.may_lose_disks([machine])))

        self.after_next_ack.append(hit)
        self.submit_change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_replace(self, t: Trouble) -> None:
        """``count`` control machines in turn, each as soon as the loss before it counts no more."""
        self.replace_next(t, t.count)

    def replace_next(self, t: Trouble, left: int) -> None:
        if not left:
            return
        old = self.pick_replaced(t)
        if t.how == "planned":
            self.fleet.successor(old)
            self.scheduler.after(t.x, self.terminate_for_good, old)
        else:
            self.fleet.record_disruption(old, t.x)
            self.fleet.retire(old)
            self.scheduler.after(t.x, self.fleet.successor, old)
        # A machine that comes counts for nothing until it has started and had ``catchUpS``.
        again = t.x + START_DELAY_S["core"] * 1.3 + self.deployment.bound("catchUpS")
        self.replacement_until = self.scheduler.now + again
        self.scheduler.after(again, self.replace_next, t, left - 1)

    def terminate_for_good(self, machine: Machine) -> None:
        """SIGTERM; what has ended isn't started again, and the machine goes with the end of its grace."""
        machine.kept_down += 1
        self.fleet.terminate(machine)
        self.scheduler.after(self.deployment.bound("graceS"), self.fleet.retire, machine)

    def pick_replaced(self, t: Trouble) -> Machine:
        cores = [m for m in self.fleet.cores if m.running] or self.fleet.cores
        if t.how == "leader":
            return next((m for m in cores if m.is_leader), cores[0])
        return cores[0] if t.how == "oldest" else self.rng.choice(cores)

    def do_at_save(self, t: Trouble) -> None:
        """The leader loses power right before, or right after, its next sync."""
        for machine in [m for m in self.fleet.cores if m.is_leader][:1]:
            machine.power_loss_at_save, machine.power_off_s = t.how, t.lasts
        self.submit_change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_disk_refuses(self, t: Trouble) -> None:
        for machine in self.choose_machines(t):
            machine.disk_refuses = True
            self.fleet.record_disruption(machine, t.lasts)
            self.scheduler.after(t.lasts, setattr, machine, "disk_refuses", False)

    def do_disk_full(self, t: Trouble) -> None:
        for machine in self.choose_machines(t):
            machine.disk_full = True
            self.fleet.record_disruption(machine, t.lasts)
            self.scheduler.after(t.lasts, setattr, machine, "disk_full", False)

    def do_disk_hangs(self, t: Trouble) -> None:
        for machine in self.choose_machines(t):
            machine.disk_hangs_until = self.scheduler.now + t.lasts
            self.fleet.record_disruption(machine, t.lasts)

    def do_roll_term(self, t: Trouble) -> None:
        """A share of them, ``count`` at a time; of the core one after the other."""
        pool = [m for m in self.fleet.machines if m.kind == t.how and m.running]
        at_once = t.count if t.how == "edge" else 1
        gap = t.lasts + (0.5 if t.how == "edge" else 3.0)
        most = min(max(int(len(pool) * t.x), 1), len(pool))
        for number, machine in enumerate(self.rng.sample(pool, most)):
            self.scheduler.after(number // at_once * gap, self.fleet.terminate, machine)

    def do_term(self, t: Trouble) -> None:
        pool = [m for m in self.fleet.machines if m.kind == t.how and m.running]
        for number, machine in enumerate(self.rng.sample(pool, min(t.count, len(pool)))):
            self.scheduler.after(number * (t.x + 3.0), self.fleet.terminate, machine)

    def do_freeze(self, t: Trouble) -> None:
        for machine in self.choose_machines(t):
            if machine.loop is not None:
                self.fleet.record_disruption(machine, t.lasts)
                machine.loop.busy_until = max(machine.loop.busy_until, self.scheduler.now) + t.lasts

    def do_slow(self, t: Trouble) -> None:
        for machine in self.choose_machines(t):
            self.fleet.record_disruption(machine, t.lasts)
            self.set_slowdown(machine, t.x)
            self.scheduler.after(t.lasts, self.set_slowdown, machine, 1.0)

    def set_slowdown(self, machine: Machine, slowdown: float) -> None:
        machine.slowdown = slowdown
        if machine.loop is not None:
            machine.loop.cost_per_event_s = self.deployment.cost_ms / 1000 * slowdown

    def do_clock(self, t: Trouble) -> None:
        for machine in self.rng.sample(self.fleet.machines, min(t.count, len(self.fleet.machines))):
            self.fleet.record_disruption(machine, t.lasts)
            machine.clock_skew_s += t.x
            self.scheduler.after(t.lasts, self.reset_clock, machine, t.x)

    def reset_clock(self, machine: Machine, step: float) -> None:
        machine.clock_skew_s -= step

    def do_seeds(self, t: Trouble) -> None:
        cores = [m.ip for m in self.fleet.cores]
        self.fleet.seeds = self.rng.sample(cores, min(3, len(cores)))
        for machine in self.fleet.machines:
            self.scheduler.after(self.rng.uniform(0, 0.5), self.fleet.reload, machine)

    def cut_links(self, pairs: list[tuple[str, str]], lasts: float) -> None:
        self.network.cut(pairs)
        self.reachability.link_cuts.append((self.scheduler.now, self.scheduler.now + lasts + 1.0))
        self.scheduler.after(lasts, self.network.heal, pairs)

    def pairs_to_others(self, inner: set[str], one_way: bool = False) -> list[tuple[str, str]]:
        """From these machines to all other machines, and back. Clients and servers still reach them."""
        others = [m.ip for m in self.fleet.machines if m.ip not in inner]
        pairs = [(a, b) for a in sorted(inner) for b in others]
        return pairs if one_way else pairs + [(b, a) for a, b in pairs]

    def do_cut(self, t: Trouble) -> None:
        chosen = ""
        if t.how in ("zone", "region"):
            tolerated = (
                self.deployment.tolerate_zones if t.how == "zone" else self.deployment.tolerate_regions
            )
            if not tolerated:
                return
            hosts = self.fleet.machines
            chosen = self.rng.choice(
                sorted({m.host.zone if t.how == "zone" else m.host.region for m in hosts})
            )
            inner = {m.ip for m in hosts if chosen in (m.host.zone, m.host.region)}
        else:
            inner = {m.ip for m in self.choose_machines(t)}
        self.cut_off(inner, t, False)

    def cut_off(self, inner: set[str], t: Trouble, one_way: bool) -> None:
        if self.rng.random() < 0.5 and not one_way and t.how not in ("zone", "region"):
            # Each of them alone.
            for ip in sorted(inner):
                self.cut_links(self.pairs_to_others({ip}), t.lasts)
        else:
            self.cut_links(self.pairs_to_others(inner, one_way), t.lasts)
        now = self.scheduler.now
        if any(m.ip in inner for m in self.fleet.cores):
            self.reachability.core_disruptions += [now, now + t.lasts]
        for ip in inner:
            self.reachability.add_disruption(ip, now, now + t.lasts + 0.5)

    def do_core_cut(self, t: Trouble) -> None:
        """Among control machines only: gateways and servers reach all of them, and are in no trouble."""
        cores = self.fleet.cores
        most = (len(cores) - 1) // 2
        named = [m for m in cores if m.name == t.where]
        if t.how == "link" and len(cores) > 1:
            one, other = named + self.rng.sample([m for m in cores if m not in named], 2 - len(named))
            self.cut_links([(one.ip, other.ip), (other.ip, one.ip)], t.lasts)
        elif t.how == "split":
            # No side has a majority.
            self.cut_links(self.among_cores(self.rng.sample(cores, len(cores) // 2)), t.lasts)
        elif t.how == "halves":
            self.cut_links(self.among_cores(named or self.rng.sample(cores, most)), t.lasts)
        else:
            off = [m for m in cores if m.is_leader][:1] if t.how == "leader" else []
            for machine in named or off or self.rng.sample(cores, min(t.count, most)):
                pairs = self.among_cores([machine])
                half = len(pairs) // 2
                self.cut_links({"mute": pairs[:half], "deaf": pairs[half:]}.get(t.how, pairs), t.lasts)
        now = self.scheduler.now
        self.reachability.core_disruptions += [now, now + t.lasts]

    def among_cores(self, inner: list[Machine]) -> list[tuple[str, str]]:
        """From these to the other control machines; then all of these pairs the other way."""
        pairs = [(m.ip, other.ip) for m in inner for other in self.fleet.cores if other not in inner]
        return pairs + [(b, a) for a, b in pairs]

    def do_one_way(self, t: Trouble) -> None:
        self.cut_off({m.ip for m in self.choose_machines(t)}, t, True)

    def do_loss(self, t: Trouble) -> None:
        self.network.loss += t.x
        self.reachability.link_cuts.append((self.scheduler.now, self.scheduler.now + t.lasts))
        self.scheduler.after(t.lasts, self.reduce_loss, t.x)
        for machine in self.fleet.machines:
            self.reachability.add_disruption(machine.ip, self.scheduler.now, self.scheduler.now + t.lasts)

    def reduce_loss(self, x: float) -> None:
        self.network.loss -= x

    def may_lose_disks(self, machines: list[Machine]) -> list[Machine]:
        """Of these as many as may lose their disks now: who was hit lately counts as lost already."""
        now, least = self.scheduler.now, self.deployment.bound("catchUpS")
        lost = [m for m in self.fleet.cores if not self.reachability.undisturbed(m.ip, now - least, now)]
        replacing = now < self.replacement_until  # one that is no machine of the fleet any more
        tolerated = (
            self.deployment.tolerate_machines - replacing - len([m for m in lost if m not in machines])
        )
        return [m for m in machines if m in lost or len(lost) < self.deployment.tolerate_machines][
            : max(tolerated, 0)
        ]

    # The end of a day.

    def inject_final_fault(self, t: Trouble, hit: Callable[[], None]) -> None:
        """Right after a configuration was acknowledged."""

        def hit_after_ack(command: Command) -> None:
            hit()
            back = self.scheduler.now + t.lasts * 1.1 + 1.0
            self.record.final_fault = (self.scheduler.now, back)
            self.traffic_end = self.population.until = max(
                self.traffic_end, back + self.deployment.bound("recoveryS") + 4.0
            )

        self.after_next_ack.append(hit_after_ack)
        self.submit_change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_end_power(self, t: Trouble) -> None:
        self.inject_final_fault(t, lambda: self.power_cycle(self.fleet.machines, t.lasts))

    def do_end_kill(self, t: Trouble) -> None:
        def hit() -> None:
            for machine in self.fleet.machines:
                self.fleet.kill(machine, t.lasts * self.rng.uniform(0.8, 1.2))

        self.inject_final_fault(t, hit)

    def do_end_wipe(self, t: Trouble) -> None:
        def hit() -> None:
            cores = self.fleet.cores
            lost = self.may_lose_disks(self.rng.sample(cores, len(cores) - 1))
            self.power_cycle(lost, t.lasts, wipe=True)
            if t.how == "others":
                self.power_cycle([m for m in cores if m not in lost], t.lasts)

        self.inject_final_fault(t, hit)
