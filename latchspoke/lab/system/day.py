"""Simulation of one day: assembles the deployment, injects the troubles and records what happens."""

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

from latchspoke.lab.system import version_rollouts
from latchspoke.lab.system.callers import CallerPopulation
from latchspoke.lab.system.clients import ClientPopulation
from latchspoke.lab.system.day_record import Command, DayRecord, Doc, Reachability
from latchspoke.lab.system.machines import FRONT_PORT, START_DELAY_S, Fleet, Machine, patched_programs
from latchspoke.lab.system.network import Network, VirtualScheduler
from latchspoke.lab.system.operators import ConfigurationPlan, Operator
from latchspoke.lab.system.scenario import FINAL_FAULTS, Day, Deployment, Trouble
from latchspoke.lab.system.servers import ServerFault, ServerFleet, ServerInstance
from latchspoke.rollouts import plan as rollouts

SETTLE_S = 9.0  # after the end of traffic, for slow responses and the read-back


@dataclass
class DayResult:
    """The result of a simulated day."""

    deployment: Deployment
    day: Day
    record: DayRecord
    reachability: Reachability
    seconds: float  # of CPU time
    events: int
    uncaught_errors: list[tuple[float, str, str]] = field(default_factory=list)
    stats: dict[str, int] = field(default_factory=dict)
    traffic_end: float = 0.0
    keys: dict[str, str] = field(default_factory=dict)  # key -> tenant
    edges: dict[str, str] = field(default_factory=dict)  # IP -> name
    # Instance ID -> (service, zone, slots, most in-flight requests).
    instances: dict[str, tuple[str, str, int, int]] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)  # ip -> region


Progress = Callable[[float], None]


def run_day(deployment: Deployment, day: Day, progress: Progress | None = None) -> DayResult:
    """Simulate a day; the result depends on the seed alone."""
    with tempfile.TemporaryDirectory(prefix="latchspoke-day-") as home:
        return DaySimulation(deployment, day, Path(home)).run(progress)


class DaySimulation:
    """The parts of a simulated day; a handler ``do_<kind>`` injects each kind of trouble."""

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
        self.replacement_until = 0.0  # until then a replaced control-plane node counts as lost
        self.operator.on_ack.append(self.command_acked)
        self.stats: dict[str, int] = {}
        self.traffic_end = deployment.lead + deployment.length
        for trouble in day.troubles:
            if trouble.kind in FINAL_FAULTS:  # long enough to check the recovery
                recovered_at = deployment.lead + trouble.at + 1.1 * trouble.lasts + 1.0
                self.traffic_end = max(self.traffic_end, recovered_at + deployment.bound("recoveryS") + 4.0)

    def run(self, progress: Progress | None) -> DayResult:
        deployment, scheduler = self.deployment, self.scheduler
        scheduler.at(0.0, self.fleet.start_all)
        scheduler.at(0.0, self.server_fleet.start_all)
        scheduler.at(0.0, self.fleet.watch_reachability)
        scheduler.at(0.5, self.operator.spawn, self.operator.submit_initial())
        scheduler.at(deployment.lead, self.population.start, self.traffic_end)
        for trouble in self.day.troubles:
            scheduler.at(deployment.lead + trouble.at, self.inject, trouble)
        scheduler.at(self.traffic_end, self.finish)
        began = time.process_time()
        gc.collect()
        gc.freeze()
        with patched_programs(self.fleet), warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # coroutines that a killed process never awaited
            while scheduler.now < self.traffic_end + SETTLE_S:
                scheduler.run(min(scheduler.now + 1.0, self.traffic_end + SETTLE_S))
                if progress is not None:
                    progress(scheduler.now / (self.traffic_end + SETTLE_S))
            for machine in self.fleet.edges:
                self.add_stats(machine)
        gc.unfreeze()
        return DayResult(
            deployment,
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
        if self.scheduler.now < self.traffic_end - 0.001:  # postponed by a final fault
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
        """Probe each gateway with the newest route, a removed one and one that never existed."""
        names = {r["name"]: item["host"] for item in doc["listenerList"] for r in item["ruleSet"]}
        extra = [n for n in names if n.startswith("extra")][-1:]
        paths = [(names[n], f"/{n}/probe") for n in extra] + [(self.plan.hosts[0], "/never/probe")]
        if self.plan.extra and f"extra{self.plan.extra}" not in names:
            paths.append((self.plan.hosts[0], f"/extra{self.plan.extra}/probe"))
        tenant = self.rng.choice(doc["tenants"][: max(len(doc["tenants"]) // 2, 1)])  # the busiest
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

    def do_change(self, trouble: Trouble) -> None:
        self.submit_change(lambda doc: self.plan.changed(doc, trouble.how))

    def do_rollout(self, trouble: Trouble) -> None:
        """Roll the kind ``where`` out to its alternative service; a step takes at least ``x`` s."""
        kind = next(k for k in self.deployment.kinds if k.name == trouble.where)
        plan = rollouts.Plan(
            kind.name, kind.service, kind.also, (10.0, 50.0, 100.0), trouble.x, trouble.lasts
        )
        self.operator.spawn(self.operator.rollout(plan, self.fleet.readiness_addresses))

    def do_new_version(self, trouble: Trouble) -> None:
        """A new version of the service ``where``, good or bad: see ``version_rollouts``."""
        version_rollouts.inject(self, trouble)

    def do_race(self, trouble: Trouble) -> None:
        self.repeat(trouble.count, 1.2, lambda: self.operator.spawn(self.operator.race()))

    def do_storm(self, trouble: Trouble) -> None:
        self.repeat(max(int(trouble.lasts / trouble.x), 1), trouble.x, lambda: self.do_change(trouble))

    def do_many_routes(self, trouble: Trouble) -> None:
        def make(doc: Doc) -> Doc:
            new = self.plan.successor_of(doc)
            self.plan.add(new, trouble.count)
            return new

        self.submit_change(make)

    def do_revoke(self, trouble: Trouble) -> None:
        self.repeat(trouble.count, trouble.x, lambda: self.submit_change(self.plan.with_new_key))

    def do_invalid(self, trouble: Trouble) -> None:
        self.repeat(trouble.count, 0.5, lambda: self.submit_change(self.plan.invalid_version, False))

    def do_lost_acks(self, trouble: Trouble) -> None:
        """A share ``x`` of the answers to the operator's commands is lost, and these are sent again."""
        self.operator.lose_answers(trouble.x, self.scheduler.now + trouble.lasts)

    def do_evacuate(self, trouble: Trouble) -> None:
        self.operator.spawn(self.operator.evacuate(trouble.where, trouble.lasts))
        if trouble.how == "cold":
            self.scheduler.after(max(trouble.lasts - 0.5, 0.0), self.do_cold, trouble)

    def choose_instances(self, trouble: Trouble) -> list[ServerInstance]:
        instances = self.server_fleet.serving(trouble.where)
        limit = max(len(instances) // 3, 1) if instances else 0
        return self.rng.sample(instances, min(trouble.count, limit))

    def do_crash(self, trouble: Trouble) -> None:
        for instance in self.choose_instances(trouble):
            if trouble.how == "gone":
                instance.stop()
            elif trouble.how == "silent":
                instance.stop(power=True)
                self.scheduler.after(trouble.lasts, self.server_fleet.start, instance.service, instance.zone)
            else:
                instance.restart(trouble.lasts)

    def do_release(self, trouble: Trouble) -> None:
        for number, instance in enumerate(self.choose_instances(trouble)):
            self.scheduler.after(number * trouble.x, self.replace_instance, instance)

    def replace_instance(self, instance: ServerInstance) -> None:
        """Start the new instance, then drain the old one."""
        if instance.state == "available":
            self.server_fleet.start(instance.service, instance.zone)
            self.scheduler.after(1.0, instance.begin_drain)

    def do_rolling(self, trouble: Trouble) -> None:
        """Rolling restart of all servers, ``x`` s apart, each drained and restarted at its address."""
        for number, instance in enumerate(self.server_fleet.serving(trouble.where)):
            self.scheduler.after(number * trouble.x, self.restart_in_place, instance, trouble.lasts)

    def restart_in_place(self, instance: ServerInstance, lasts: float) -> None:
        instance.restart_after_s = lasts
        instance.begin_drain()

    def do_shrink(self, trouble: Trouble) -> None:
        for instance in self.choose_instances(trouble):
            instance.begin_drain()

    def do_cold(self, trouble: Trouble) -> None:
        for instance in self.server_fleet.serving("", trouble.where):
            instance.cold_until = self.scheduler.now + instance.service.cold_s

    def do_lost_answers(self, trouble: Trouble) -> None:
        self.server_fleet.faults.append(
            ServerFault(
                trouble.kind, trouble.how, trouble.x, self.scheduler.now + trouble.lasts, trouble.where
            )
        )

    do_garbage = do_lost_answers
    do_idle_race = do_lost_answers
    do_stutter = do_lost_answers

    def do_grey(self, trouble: Trouble) -> None:
        """Some servers fail many requests or all of them, and pass health checks."""
        instances = frozenset(instance.ident for instance in self.choose_instances(trouble))
        self.server_fleet.faults.append(
            ServerFault(
                trouble.kind,
                trouble.how,
                trouble.x,
                self.scheduler.now + trouble.lasts,
                trouble.where,
                instances,
            )
        )

    do_lying = do_grey

    def do_flap(self, trouble: Trouble) -> None:
        for instance in self.choose_instances(trouble):
            self.flap(instance.ip, trouble.x, self.scheduler.now + trouble.lasts)

    def flap(self, ip: str, gap: float, until: float) -> None:
        """Restart the server at this address again and again, down for half of each gap."""
        if self.scheduler.now < until:
            for instance in [instance for instance in self.server_fleet.serving("") if instance.ip == ip]:
                instance.restart(gap / 2)
            self.scheduler.after(gap, self.flap, ip, gap, until)

    def do_scale_out(self, trouble: Trouble) -> None:
        service = next(s for s in self.deployment.services if s.name == trouble.where)
        zones = sorted(service.servers)
        for number in range(trouble.count):
            self.scheduler.after(number * trouble.x, self.server_fleet.start, service, self.rng.choice(zones))

    def do_rush(self, trouble: Trouble) -> None:
        name = self.rng.choice(list(self.plan.shares))
        self.population.load_factors[name] = trouble.x
        self.scheduler.after(trouble.lasts, self.population.load_factors.pop, name, None)

    def choose_machines(self, trouble: Trouble) -> list[Machine]:
        """The machines hit by a trouble; of the control plane no more than it must tolerate."""
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

    def do_kill(self, trouble: Trouble) -> None:
        for machine in self.choose_machines(trouble):
            self.fleet.kill(machine, trouble.lasts)

    def do_herd(self, trouble: Trouble) -> None:
        machines = [m for m in self.fleet.machines if trouble.how in ("all", m.kind)]
        for machine in self.rng.sample(machines, max(int(len(machines) * trouble.x), 1)):
            self.fleet.kill(machine, trouble.lasts * self.rng.uniform(0.8, 1.2))

    def power_cycle(self, machines: list[Machine], lasts: float, wipe: bool = False) -> None:
        for machine in machines:
            self.fleet.power_off(machine)
            if wipe:
                self.fleet.wipe(machine)
            self.scheduler.after(lasts * self.rng.uniform(0.9, 1.1), self.fleet.power_on, machine)

    def do_power(self, trouble: Trouble) -> None:
        self.power_cycle(self.choose_machines(trouble), trouble.lasts)

    def do_zone_power(self, trouble: Trouble) -> None:
        self.power_cycle([m for m in self.fleet.machines if m.host.zone == trouble.where], trouble.lasts)
        for instance in self.server_fleet.serving("", trouble.where):
            instance.stop(power=True)
            self.scheduler.after(
                trouble.lasts + 0.5, self.server_fleet.start, instance.service, instance.zone
            )

    def do_after_ack(self, trouble: Trouble) -> None:
        """Hit the node that acknowledges the next command right after it."""

        def hit(command: Command) -> None:
            machine = self.fleet.by_ip(command.answered_by)
            if machine is None:
                return
            if trouble.how == "kill":
                self.fleet.kill(machine, trouble.lasts)
            else:
                self.power_cycle(
                    [machine], trouble.lasts, trouble.how == "wipe" and bool(self.may_lose_disks([machine]))
                )

        self.after_next_ack.append(hit)
        self.submit_change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_replace(self, trouble: Trouble) -> None:
        """Replace ``count`` control-plane nodes, each once the previous loss no longer counts."""
        self.replace_next(trouble, trouble.count)

    def replace_next(self, trouble: Trouble, remaining: int) -> None:
        if not remaining:
            return
        old = self.choose_replaced(trouble)
        if trouble.how == "planned":
            self.fleet.successor(old)
            self.scheduler.after(trouble.x, self.terminate_for_good, old)
        else:
            self.fleet.record_disruption(old, trouble.x)
            self.fleet.retire(old)
            self.scheduler.after(trouble.x, self.fleet.successor, old)
        # A new machine counts only once it has started and had ``catchUpS`` to catch up.
        delay_s = trouble.x + START_DELAY_S["core"] * 1.3 + self.deployment.bound("catchUpS")
        self.replacement_until = self.scheduler.now + delay_s
        self.scheduler.after(delay_s, self.replace_next, trouble, remaining - 1)

    def terminate_for_good(self, machine: Machine) -> None:
        """SIGTERM without a restart; the machine is retired at the end of the grace period."""
        machine.kept_down += 1
        self.fleet.terminate(machine)
        self.scheduler.after(self.deployment.bound("graceS"), self.fleet.retire, machine)

    def choose_replaced(self, trouble: Trouble) -> Machine:
        cores = [m for m in self.fleet.cores if m.running] or self.fleet.cores
        if trouble.how == "leader":
            return next((m for m in cores if m.is_leader), cores[0])
        return cores[0] if trouble.how == "oldest" else self.rng.choice(cores)

    def do_at_save(self, trouble: Trouble) -> None:
        """The leader loses power right before or after its next sync."""
        for machine in [m for m in self.fleet.cores if m.is_leader][:1]:
            machine.power_loss_at_save, machine.power_off_s = trouble.how, trouble.lasts
        self.submit_change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_disk_refuses(self, trouble: Trouble) -> None:
        for machine in self.choose_machines(trouble):
            machine.disk_refuses = True
            self.fleet.record_disruption(machine, trouble.lasts)
            self.scheduler.after(trouble.lasts, setattr, machine, "disk_refuses", False)

    def do_disk_full(self, trouble: Trouble) -> None:
        for machine in self.choose_machines(trouble):
            machine.disk_full = True
            self.fleet.record_disruption(machine, trouble.lasts)
            self.scheduler.after(trouble.lasts, setattr, machine, "disk_full", False)

    def do_disk_hangs(self, trouble: Trouble) -> None:
        for machine in self.choose_machines(trouble):
            machine.disk_hangs_until = self.scheduler.now + trouble.lasts
            self.fleet.record_disruption(machine, trouble.lasts)

    def do_roll_term(self, trouble: Trouble) -> None:
        """Terminate a share ``x``, ``count`` gateways at a time, or control-plane nodes one by one."""
        pool = [m for m in self.fleet.machines if m.kind == trouble.how and m.running]
        batch_size = trouble.count if trouble.how == "edge" else 1
        gap = trouble.lasts + (0.5 if trouble.how == "edge" else 3.0)
        most = min(max(int(len(pool) * trouble.x), 1), len(pool))
        for number, machine in enumerate(self.rng.sample(pool, most)):
            self.scheduler.after(number // batch_size * gap, self.fleet.terminate, machine)

    def do_term(self, trouble: Trouble) -> None:
        pool = [m for m in self.fleet.machines if m.kind == trouble.how and m.running]
        for number, machine in enumerate(self.rng.sample(pool, min(trouble.count, len(pool)))):
            self.scheduler.after(number * (trouble.x + 3.0), self.fleet.terminate, machine)

    def do_freeze(self, trouble: Trouble) -> None:
        for machine in self.choose_machines(trouble):
            if machine.loop is not None:
                self.fleet.record_disruption(machine, trouble.lasts)
                machine.loop.busy_until = max(machine.loop.busy_until, self.scheduler.now) + trouble.lasts

    def do_slow(self, trouble: Trouble) -> None:
        for machine in self.choose_machines(trouble):
            self.fleet.record_disruption(machine, trouble.lasts)
            self.set_slowdown(machine, trouble.x)
            self.scheduler.after(trouble.lasts, self.set_slowdown, machine, 1.0)

    def set_slowdown(self, machine: Machine, slowdown: float) -> None:
        machine.slowdown = slowdown
        if machine.loop is not None:
            machine.loop.cost_per_event_s = self.deployment.cost_ms / 1000 * slowdown

    def do_clock(self, trouble: Trouble) -> None:
        for machine in self.rng.sample(self.fleet.machines, min(trouble.count, len(self.fleet.machines))):
            self.fleet.record_disruption(machine, trouble.lasts)
            machine.clock_skew_s += trouble.x
            self.scheduler.after(trouble.lasts, self.reset_clock, machine, trouble.x)

    def reset_clock(self, machine: Machine, step: float) -> None:
        machine.clock_skew_s -= step

    def do_seeds(self, trouble: Trouble) -> None:
        cores = [m.ip for m in self.fleet.cores]
        self.fleet.seeds = self.rng.sample(cores, min(3, len(cores)))
        for machine in self.fleet.machines:
            self.scheduler.after(self.rng.uniform(0, 0.5), self.fleet.reload, machine)

    def cut_links(self, pairs: list[tuple[str, str]], lasts: float) -> None:
        self.network.cut(pairs)
        self.reachability.link_cuts.append((self.scheduler.now, self.scheduler.now + lasts + 1.0))
        self.scheduler.after(lasts, self.network.heal, pairs)

    def pairs_to_others(self, isolated: set[str], one_way: bool = False) -> list[tuple[str, str]]:
        """Pairs from these machines to all others, and back. Clients and servers still reach them."""
        others = [m.ip for m in self.fleet.machines if m.ip not in isolated]
        pairs = [(a, b) for a in sorted(isolated) for b in others]
        return pairs if one_way else pairs + [(b, a) for a, b in pairs]

    def do_cut(self, trouble: Trouble) -> None:
        chosen = ""
        if trouble.how in ("zone", "region"):
            tolerated = (
                self.deployment.tolerate_zones if trouble.how == "zone" else self.deployment.tolerate_regions
            )
            if not tolerated:
                return
            hosts = self.fleet.machines
            chosen = self.rng.choice(
                sorted({m.host.zone if trouble.how == "zone" else m.host.region for m in hosts})
            )
            isolated = {m.ip for m in hosts if chosen in (m.host.zone, m.host.region)}
        else:
            isolated = {m.ip for m in self.choose_machines(trouble)}
        self.cut_off(isolated, trouble, False)

    def cut_off(self, isolated: set[str], trouble: Trouble, one_way: bool) -> None:
        if self.rng.random() < 0.5 and not one_way and trouble.how not in ("zone", "region"):
            for ip in sorted(isolated):
                self.cut_links(self.pairs_to_others({ip}), trouble.lasts)
        else:
            self.cut_links(self.pairs_to_others(isolated, one_way), trouble.lasts)
        now = self.scheduler.now
        if any(m.ip in isolated for m in self.fleet.cores):
            self.reachability.core_disruptions += [now, now + trouble.lasts]
        for ip in isolated:
            self.reachability.add_disruption(ip, now, now + trouble.lasts + 0.5)

    def do_core_cut(self, trouble: Trouble) -> None:
        """Cut links among control-plane nodes only; gateways and servers still reach all of them."""
        cores = self.fleet.cores
        most = (len(cores) - 1) // 2
        named = [m for m in cores if m.name == trouble.where]
        if trouble.how == "link" and len(cores) > 1:
            one, other = named + self.rng.sample([m for m in cores if m not in named], 2 - len(named))
            self.cut_links([(one.ip, other.ip), (other.ip, one.ip)], trouble.lasts)
        elif trouble.how == "split":
            # Neither side has a majority.
            self.cut_links(self.pairs_to_other_cores(self.rng.sample(cores, len(cores) // 2)), trouble.lasts)
        elif trouble.how == "halves":
            self.cut_links(self.pairs_to_other_cores(named or self.rng.sample(cores, most)), trouble.lasts)
        else:
            off = [m for m in cores if m.is_leader][:1] if trouble.how == "leader" else []
            for machine in named or off or self.rng.sample(cores, min(trouble.count, most)):
                pairs = self.pairs_to_other_cores([machine])
                half = len(pairs) // 2
                self.cut_links(
                    {"mute": pairs[:half], "deaf": pairs[half:]}.get(trouble.how, pairs), trouble.lasts
                )
        now = self.scheduler.now
        self.reachability.core_disruptions += [now, now + trouble.lasts]

    def pairs_to_other_cores(self, isolated: list[Machine]) -> list[tuple[str, str]]:
        """Pairs from these to the other control-plane nodes, then the same pairs reversed."""
        pairs = [(m.ip, other.ip) for m in isolated for other in self.fleet.cores if other not in isolated]
        return pairs + [(b, a) for a, b in pairs]

    def do_one_way(self, trouble: Trouble) -> None:
        self.cut_off({m.ip for m in self.choose_machines(trouble)}, trouble, True)

    def do_loss(self, trouble: Trouble) -> None:
        self.network.loss += trouble.x
        self.reachability.link_cuts.append((self.scheduler.now, self.scheduler.now + trouble.lasts))
        self.scheduler.after(trouble.lasts, self.reduce_loss, trouble.x)
        for machine in self.fleet.machines:
            self.reachability.add_disruption(
                machine.ip, self.scheduler.now, self.scheduler.now + trouble.lasts
            )

    def reduce_loss(self, x: float) -> None:
        self.network.loss -= x

    def may_lose_disks(self, machines: list[Machine]) -> list[Machine]:
        """As many of these as may lose their disks; a recently hit node already counts as lost."""
        now, least = self.scheduler.now, self.deployment.bound("catchUpS")
        lost = [m for m in self.fleet.cores if not self.reachability.undisturbed(m.ip, now - least, now)]
        replacing = now < self.replacement_until  # a node that has left the fleet
        tolerated = (
            self.deployment.tolerate_machines - replacing - len([m for m in lost if m not in machines])
        )
        return [m for m in machines if m in lost or len(lost) < self.deployment.tolerate_machines][
            : max(tolerated, 0)
        ]

    # The end of a day.

    def inject_final_fault(self, trouble: Trouble, hit: Callable[[], None]) -> None:
        """Inject the final fault right after a configuration was acknowledged."""

        def hit_after_ack(command: Command) -> None:
            hit()
            recovered_at = self.scheduler.now + trouble.lasts * 1.1 + 1.0
            self.record.final_fault = (self.scheduler.now, recovered_at)
            self.traffic_end = self.population.until = max(
                self.traffic_end, recovered_at + self.deployment.bound("recoveryS") + 4.0
            )

        self.after_next_ack.append(hit_after_ack)
        self.submit_change(lambda doc: self.plan.changed(doc, "timeout"))

    def do_end_power(self, trouble: Trouble) -> None:
        self.inject_final_fault(trouble, lambda: self.power_cycle(self.fleet.machines, trouble.lasts))

    def do_end_kill(self, trouble: Trouble) -> None:
        def hit() -> None:
            for machine in self.fleet.machines:
                self.fleet.kill(machine, trouble.lasts * self.rng.uniform(0.8, 1.2))

        self.inject_final_fault(trouble, hit)

    def do_end_wipe(self, trouble: Trouble) -> None:
        def hit() -> None:
            cores = self.fleet.cores
            lost = self.may_lose_disks(self.rng.sample(cores, len(cores) - 1))
            self.power_cycle(lost, trouble.lasts, wipe=True)
            if trouble.how == "others":
                self.power_cycle([m for m in cores if m not in lost], trouble.lasts)

        self.inject_final_fault(trouble, hit)
