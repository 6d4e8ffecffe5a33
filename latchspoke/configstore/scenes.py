"""What a schedule by chance brings about too seldom: troubles and orders timed against each other.

Each scene plays on one ``Play`` and leaves the machines to the schedule; what must hold is checked there. For
drills and tests; no process of the system loads it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING
from unittest import mock

from latchspoke.configstore.simulation import replace
from latchspoke.consensus import member

if TYPE_CHECKING:
    from latchspoke.configstore.drills import Play

SCENES: dict[str, Callable[[Play], None]] = {}


def scene(call: Callable[[Play], None]) -> Callable[[Play], None]:
    """Register a scene under the name of its function."""
    SCENES[call.__name__] = call
    return call


def leading(play: Play) -> str:
    """The leader's name, or ''."""
    leaders = [r for r in play.world.up.values() if r.leads and r.member.committed_in_term]
    return max(leaders, key=lambda r: r.member.term).me if leaders else ""


def others(play: Play, *names: str) -> list[str]:
    """Processes that run, in an order by chance."""
    return play.draw.sample(found := [n for n in play.world.up if n not in names], len(found))


@contextmanager
def cut(play: Play, sources: list[str], targets: list[str], keeps: float = 1.0) -> Iterator[None]:
    """Meanwhile nothing passes that way; it is held up (``keeps`` 1), or lost (0)."""
    world = play.world
    pairs = {(a, b) for a in sources for b in targets} - world.cuts
    usual, world.keeps = world.keeps, keeps
    world.cuts |= pairs
    try:
        yield
    finally:
        world.cuts -= pairs
        world.keeps = usual


def rested(play: Play) -> str:
    """All cuts are over; the leader once there is one, or ''."""
    play.world.cuts.clear()
    play.world.loss = 0.0
    play.back()
    play.world.run(1.0)
    return leading(play)


@scene
def ahead(play: Play) -> None:
    """An order comes before the one that it builds on, is refused, and comes again by way of another."""
    first = play.change(play.newest)
    second = play.change(first["version"])
    for command in (second, first, second):
        if play.world.up:
            play.send(play.draw.choice(list(play.world.up)), command)
            play.world.run(play.draw.choice([0.05, 0.15, 0.3]))


@scene
def low(play: Play) -> None:
    """A version that is not above the one that it builds on."""
    if play.newest and play.world.up:
        play.serial += 1
        version = max(play.newest - play.draw.randint(0, 2), 1)
        command = replace(version, play.newest, f"-{play.serial}")
        play.send(play.draw.choice(list(play.world.up)), command)


@scene
def held_up(play: Play) -> None:
    """An evacuation is on its way until it was given again elsewhere, and taken back."""
    leader, world = rested(play), play.world
    zone = play.draw.choice(play.zones)
    if not leader or world.now < zone.until:
        return
    name = others(play, leader)[0]
    with cut(play, [name], [leader]):
        play.evacuate(name, zone)
        world.run(1.3)
        for _ in range(2):
            play.evacuate(leader, zone)
            world.run(0.4)
    world.run(0.5)
    play.confirm(leader)


@scene
def behind(play: Play) -> None:
    """An order about a zone by way of one that has not heard of the last one about it."""
    leader, world = rested(play), play.world
    zone = play.draw.choice(play.zones)
    if not leader or world.now < zone.until:
        return
    name = others(play, leader)[0]
    with cut(play, [leader], [name]):
        play.evacuate(leader, zone)
        world.run(0.25)
        play.evacuate(name, zone)
        world.run(0.1)
    world.run(0.5)


@scene
def asked_again(play: Play) -> None:
    """The answer to a question is late, and a later caller asks meanwhile."""
    leader, world = rested(play), play.world
    if not leader:
        return
    name, soon = others(play, leader)[0], play.draw.random() < 0.5
    play.confirm(name)
    with cut(play, [leader], [name]):
        world.run(0.04)
        play.send(leader, play.change(play.newest))
        world.run(0.13 if soon else 0.2)  # soon: before it asks anew by itself
        play.confirm(name)
        world.run(0.0 if soon else play.draw.uniform(0.07, 0.2))
    world.run(0.3)


@scene
def reborn(play: Play) -> None:
    """A process starts anew while the answer to its former life is on its way."""
    world = play.world
    if not rested(play):
        return
    name = play.draw.choice(play.world.names)
    for lasts in (0.25, play.draw.uniform(0.0, 0.05)):
        world.kill(name)
        world.start(name)
        world.run(lasts)
        play.send(name, play.change(play.newest))
        world.run(play.draw.uniform(0.0, 0.05))
    world.run(0.4)


@scene
def handed_over(play: Play) -> None:
    """A leader has orders that nobody else has, and another leads before it knows."""
    leader, world = rested(play), play.world
    if not leader:
        return
    heir, *rest = others(play, leader)
    with cut(play, [leader], [heir, *rest], 0.0):
        for _ in range(2):
            play.send(leader, play.change(play.newest), tries=4)
        world.run(0.045)
    with cut(play, [heir], [leader], 0.0):
        world.up[heir].member.start_election(world.now)
        world.turn(heir)
        world.run(0.15)
        play.send(rest[0], play.change(play.newest))
        world.run(play.draw.uniform(0.05, 0.2))
    world.run(0.5)


@scene
def old_entries(play: Play) -> None:
    """Entries of a former leader at a majority, which another may still replace (Raft, figure 8)."""
    leader, world = rested(play), play.world
    if not leader or len(world.up) < 5:
        return
    friend, *rest = others(play, leader)
    with mock.patch.object(member, "BATCH_MAX_ENTRIES", 1):
        with cut(play, [leader, friend], rest, 0.0), cut(play, rest, [leader, friend], 0.0):
            play.send(leader, play.change(play.newest), tries=4)
            world.run(0.12)
            world.kill(leader)
            rival = until(play, rest)
            if rival:
                killed_unheard(play, rival)
        world.start(leader)
        second = until(play, [leader, friend])
        if second:
            entry = world.up[second].member.term_start_index
            for _ in range(60):
                world.run(0.004)
                if not world.up[second].leads or world.up[second].member.commit_index >= entry - 1:
                    break
            killed_unheard(play, second)
        if rival:
            world.start(rival)
            until(play, [rival])
    play.back()


def killed_unheard(play: Play, name: str) -> None:
    """What it has said last comes to nobody."""
    play.world.kill(name)
    with cut(play, [name], play.world.names, 0.0):
        play.world.run(0.05)


def until(play: Play, names: list[str], most: float = 3.0) -> str:
    """The first of these to lead, at once when it does; '' if none does so in time (s)."""
    world, end = play.world, play.world.now + most
    while world.now < end:
        world.run(0.004)
        for name in names:
            if name in world.up and world.up[name].leads:
                return name
    return ""


@scene
def old_copy(play: Play) -> None:
    """A disk comes back as it was two starts ago, while those who know of an order are out of reach."""
    leader, world = rested(play), play.world
    if not leader or not play.whole() or len(world.up) < 5:
        return
    name, friend, *rest = others(play, leader)
    kept = copy.deepcopy(world.disks[name])
    for _ in range(2):
        world.kill(name)
        world.start(name)
        world.run(0.8)
    leader = leading(play)
    if not leader or leader == name:
        return
    rest = [n for n in world.names if n not in (name, leader, friend)]
    if leader == friend:
        rest = rest[:2]
    knowing = [n for n in world.names if n not in (*rest, name)]
    with cut(play, [*knowing, name], rest, 0.0), cut(play, rest, [*knowing, name], 0.0):
        play.send(leader, play.change(play.newest))
        world.run(0.3)
    world.kill(name)
    world.disks[name] = kept
    with cut(play, knowing, [*rest, name], 0.0), cut(play, [*rest, name], knowing, 0.0):
        world.start(name)
        world.run(2.5)
        play.send(rest[0], play.change(play.newest))
        world.run(0.5)
    play.wipe(name)
