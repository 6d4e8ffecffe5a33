"""What goes wrong in a run, drawn from a seed: a list that can be shortened and played again."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from latchspoke.consensus.member import ChangeError, NotLeaderError, Role
from latchspoke.consensus.records import Members
from latchspoke.duties.member_service import MemberService
from latchspoke.duties.records import Define, Move, Remove, Rule
from latchspoke.lab.schedules.world import Host, Setup, World

SPAN = 40.0  # s in which faults come; afterwards all is mended
STALL_MOST = 15.0  # s
OUT_MOST = 12.0  # s
CLOSE = 2.5  # s


@dataclass(frozen=True, slots=True)
class Fault:
    """At this time, for so long where it has a length."""

    at: float
    kind: str
    names: tuple[str, ...] = ()
    lasts: float = 0.0

    def __str__(self) -> str:
        return f"{self.at:6.2f} s  {self.kind} {' '.join(self.names)}" + (
            f" for {self.lasts:.2f} s" if self.lasts else ""
        )


def draw(setup: Setup, seed: int) -> tuple[Fault, ...]:
    """Between 4 and 16 of them; members are hit as often as all holders together."""
    chance = random.Random(f"faults:{seed}")
    members = [f"m{n}" for n in range(setup.members)]
    holders = [f"h{n}" for n in range(setup.holders)] + [f"g{n}" for n in range(setup.gates)]
    everybody = members + holders
    duties = [f"duty{n}" for n in range(setup.duties)]

    def one() -> str:
        return chance.choice(members if chance.random() < 0.5 else holders)

    # Every other schedule has its faults close together: many a failure takes two within a second.
    close = [chance.uniform(3.0, SPAN - CLOSE) for _ in range(3)] if seed % 2 else []
    made: list[Fault] = []
    for _ in range(chance.randint(4, 16)):
        at = chance.choice(close) + chance.uniform(0.0, CLOSE) if close else chance.uniform(3.0, SPAN)
        lasts = chance.uniform(0.1, 1.0) ** 2 * OUT_MOST
        kind = chance.choice(sorted(KINDS))
        if kind == "new-disk" and (len(members) < 3 or any(fault.kind == kind for fault in made)):
            kind = "kill"  # more disks lost than a majority can do without is outside the model
        names: tuple[str, ...] = ()
        if kind in ("kill", "stall", "cut-off"):
            names = (one(),)
        elif kind in ("cut", "one-way"):
            names = tuple(
                chance.sample(members if chance.random() < 0.5 and len(members) > 1 else everybody, 2)
            )
        elif kind == "split":
            names = tuple(chance.sample(members, len(members) // 2))
        elif kind in ("disk-full", "new-disk"):
            names = (chance.choice(members),)
        elif kind == "move":
            names = (chance.choice(duties), chance.choice([*holders[: setup.holders], ""]))
        elif kind in ("shorten", "remove"):
            names = (chance.choice(duties),)
        made.append(Fault(at, kind, names, 0.0 if kind in LASTING_NONE else lasts))
    return tuple(sorted(made, key=lambda fault: fault.at))


def play(world: World, fault: Fault) -> None:
    KINDS[fault.kind](world, fault)


def kill(world: World, fault: Fault) -> None:
    process = world.process(fault.names[0])
    process.kill()
    world.at(fault.lasts, process.start)


def kill_all(world: World, fault: Fault) -> None:
    for host in world.hosts.values():
        host.kill()
        world.at(fault.lasts * world.draw.random(), host.start)


def stall(world: World, fault: Fault) -> None:
    process = world.process(fault.names[0])
    if process.alive:
        process.stop()
        world.at(min(fault.lasts, STALL_MOST), process.cont)


def links(world: World, pairs: set[tuple[str, str]], lasts: float) -> None:
    world.cuts |= pairs

    def mend() -> None:
        world.cuts -= pairs

    world.at(lasts, mend)


def cut(world: World, fault: Fault) -> None:
    one, other = fault.names
    links(world, {(one, other), (other, one)}, fault.lasts)


def one_way(world: World, fault: Fault) -> None:
    one, other = fault.names
    links(world, {(one, other)}, fault.lasts)


def cut_off(world: World, fault: Fault) -> None:
    """From all others but not from what it acts on."""
    one = fault.names[0]
    links(world, {(one, n) for n in world.names} | {(n, one) for n in world.names}, fault.lasts)


def split(world: World, fault: Fault) -> None:
    """Some members, with half of the holders, and the others apart."""
    one = set(fault.names) | set([*world.actors, *world.gates][::2])
    pairs = {(a, b) for a in world.names for b in world.names if (a in one) != (b in one)}
    links(world, pairs, fault.lasts)


def lossy(world: World, fault: Fault) -> None:
    world.loss = 0.3
    world.at(fault.lasts, lambda: setattr(world, "loss", 0.0))


def slow(world: World, fault: Fault) -> None:
    """Replies slower than an election's time, and at times than a grant."""
    world.slow = world.draw.choice([10.0, 100.0, 400.0])
    world.at(fault.lasts, lambda: setattr(world, "slow", 1.0))


def disk_full(world: World, fault: Fault) -> None:
    disk = world.hosts[fault.names[0]].disk
    disk.full = True
    world.at(fault.lasts, lambda: setattr(disk, "full", False))


def step(world: World, fault: Fault) -> None:
    """The time of day moves by an hour, everywhere."""
    by = world.draw.choice([-3600.0, 3600.0])
    for name in world.names:
        world.process(name).stepped += by


def move(world: World, fault: Fault) -> None:
    duty, to = fault.names
    world.operate(Move(duty, to))


def shorten(world: World, fault: Fault) -> None:
    """A rule with a shorter grant than its holder has been told, and the old one again later."""
    world.operate(Define(fault.names[0], Rule(world.setup.length / 4)))
    world.at(6.0, lambda: world.operate(Define(fault.names[0], Rule(world.setup.length))))


def remove(world: World, fault: Fault) -> None:
    world.operate(Remove(fault.names[0]))
    world.at(0.5, lambda: world.operate(Define(fault.names[0], Rule(world.setup.length))))


def leave(world: World, fault: Fault) -> None:
    """The leader hands over."""
    for host in world.hosts.values():
        if host.alive and host.office.member.role is Role.LEADER:
            host.give(hand_over)


def hand_over(office: MemberService, now: float) -> None:
    try:
        office.member.transfer_leadership(now)
    except NotLeaderError:
        return


def new_disk(world: World, fault: Fault) -> None:
    """A member loses its disk; an operator takes the old one out and the new one in, as soon as that goes."""
    host = world.hosts[fault.names[0]]
    old = host.disk.identity
    host.kill()
    host.wipe()
    host.start()
    replace(world, host, old, tries=80)


def replace(world: World, host: Host, old: str, tries: int) -> None:
    identity = host.disk.identity
    for other in world.hosts.values():
        if other.alive and other.office.member.committed_in_term and not other.paused:
            members = other.office.member.members
            if old in members.voters:
                wanted = Members(tuple(n for n in members.voters if n != old), members.learners)
            elif identity not in members.all:
                wanted = Members(members.voters, (*members.learners, identity))
            else:
                return
            other.give(partial(alter, wanted))
    if tries:
        world.at(0.5, lambda: replace(world, host, old, tries - 1))


def alter(members: Members, office: MemberService, now: float) -> None:
    try:
        office.member.change_members(members, now)
    except (NotLeaderError, ChangeError):
        return


KINDS: dict[str, Callable[[World, Fault], None]] = {
    "kill": kill,
    "kill-all": kill_all,
    "stall": stall,
    "cut": cut,
    "one-way": one_way,
    "cut-off": cut_off,
    "split": split,
    "lossy": lossy,
    "slow": slow,
    "disk-full": disk_full,
    "step": step,
    "move": move,
    "shorten": shorten,
    "remove": remove,
    "leave": leave,
    "new-disk": new_disk,
}
LASTING_NONE = ("step", "move", "shorten", "remove", "leave", "new-disk")
