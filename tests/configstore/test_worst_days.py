"""The five points of docs/control-plane.md, each brought about on real members in virtual time."""

from __future__ import annotations

from itertools import pairwise

import pytest

from latchspoke.configstore import orders as state
from latchspoke.configstore.orders import CONFLICT, REPEATED, TAKEN, UNKNOWN, Orders
from latchspoke.configstore.simulation import World, modify, patch, replace
from latchspoke.consensus import transfer
from latchspoke.consensus.records import name_of

CATCH_UP = 4.0  # s; the deployments' ``catchUpS``


def cut(world: World, side: list[str], ways: int = 2) -> None:
    """No message passes between ``side`` and the others; with one way, none reaches ``side``."""
    rest = [name for name in world.names if name not in side]
    world.cuts |= {(b, a) for a in side for b in rest}
    if ways == 2:
        world.cuts |= {(a, b) for a in side for b in rest}


def settle(world: World, limit: float = 10.0) -> float:
    """Run until a leader has all members up to date; how long that took (s)."""
    begun = world.now
    while not world.settled() and world.now < begun + limit:
        world.run(0.1)
    assert world.settled()
    return world.now - begun


def votes(world: World, identity: str) -> bool:
    """Whether a settled leader counts it among the voters."""
    leaders = [
        register for register in world.up.values() if register.leads and register.member.committed_in_term
    ]
    return any(identity in register.member.members.voters for register in leaders)


def started(seed: int = 1, count: int = 5) -> World:
    """A core with one configuration and all founders voting."""
    world = World(seed, count)
    world.run(3.0)
    assert world.order(world.names[0], replace(1, 0)).kind == TAKEN
    settle(world)
    assert len(world.voters()) == count
    return world


# 1. A machine that is cut off.


@pytest.mark.parametrize("ways", [1, 2])
@pytest.mark.parametrize("who", ["leader", "follower", "two with the leader"])
def test_a_member_cut_off_for_twenty_seconds_neither_proves_nor_confirms_nor_refuses(
    who: str, ways: int
) -> None:
    world = started()
    leader = world.leader().me
    others = [name for name in world.names if name != leader]
    side = {"leader": [leader], "follower": others[:1], "two with the leader": [leader, others[0]]}[who]
    whole = next(name for name in world.names if name not in side)
    cut(world, side, ways)
    world.run(0.7)
    version = 1
    while world.now < 24.0:
        for name in side:
            # What a majority would take is unknown here: its sender goes elsewhere.
            assert world.order(name, replace(version + 1, version, "here")).kind == UNKNOWN
            assert world.order(name, replace(version + 2, version - 1)).kind == UNKNOWN
            assert world.proof(name) is None, "nothing is read here"
        verdict = world.order(whole, replace(version + 1, version))
        # Where the cut is one-way, what was sent here may have been taken unheard.
        assert verdict.kind == TAKEN or (ways == 1 and verdict.kind == CONFLICT)
        version += 1
        assert world.proof(whole) is not None and world.up[whole].orders.version == version
    assert version >= 5, "the majority has gone on"
    world.cuts.clear()
    assert settle(world) <= CATCH_UP
    assert all(register.orders.version == version for register in world.up.values())
    assert world.order(side[0], replace(version + 1, version)).kind == TAKEN, "it is of use again"


# 2. One number, two operators; orders sent again.


@pytest.mark.parametrize("seed", range(6))
def test_of_two_orders_under_one_number_one_is_confirmed_however_often_both_are_sent(seed: int) -> None:
    world = started(seed)
    for version in range(2, 12):
        world.loss = 0.15
        texts = {"one": set[str](), "other": set[str]()}
        for _ in range(4):
            for text, found in texts.items():
                name = world.draw.choice(world.names)
                world.submit(
                    name,
                    replace(version, version - 1, text),
                    lambda a, f=found: f.add(a.kind),  # type: ignore
                )
            if world.draw.random() < 0.3 and len(world.up) == 5:
                leaders = [register.me for register in world.up.values() if register.leads]
                world.kill(name := (leaders or world.names)[0], world.draw.random() < 0.5)
                world.run(world.draw.choice([0.1, 0.8]))
                world.start(name)
            world.run(0.4)
        world.loss = 0.0
        world.run(3.0)
        settle(world)
        verdicts = {
            text: world.order(world.names[0], replace(version, version - 1, text)).kind for text in texts
        }
        assert sorted(verdicts.values()) == [CONFLICT, REPEATED], "one, and that one again and again"
        for text, found in texts.items():
            wrong = {CONFLICT} if verdicts[text] == REPEATED else {TAKEN, REPEATED}
            assert not found & wrong, f"{text}: {found}, at the end {verdicts[text]}"


def test_an_order_that_is_repeated_after_its_number_was_forgotten_is_not_refused() -> None:
    store = Orders(patch)
    last = state.KEPT + 10
    for version in range(1, last + 1):
        assert store.apply(version, replace(version, version - 1)).kind == TAKEN
    forgotten, remembered = last - state.KEPT, last - state.KEPT + 1
    assert store.apply(last + 1, replace(remembered, remembered - 1)).kind == REPEATED
    assert store.apply(last + 2, replace(remembered, remembered - 1, "other")).kind == CONFLICT
    assert store.apply(last + 3, replace(forgotten, forgotten - 1)).kind == UNKNOWN
    again = Orders(patch)
    again.load(store.dump())
    assert again.apply(last + 4, replace(forgotten, forgotten - 1)).kind == UNKNOWN, "after a restart, too"


# 3. A second loss right after a repair.


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("leaves", [False, True])
def test_replacements_one_after_the_other_never_lose_an_order_nor_the_majority(
    seed: int, leaves: bool
) -> None:
    """Each founder's disk is lost in turn, as soon as the one before counts again."""
    world = started(seed)
    version, repairs = 1, []
    for name in list(world.names):
        if leaves:
            world.up[name].leave(world.now)
            world.turn(name)
        verdict = world.order(world.draw.choice(world.names), replace(version + 1, version))
        assert verdict.kind in (TAKEN, UNKNOWN)
        version = max(register.orders.version for register in world.up.values())
        world.kill(name, world.draw.random() < 0.5)
        world.empty(name)
        world.run(world.draw.choice([0.2, 1.0]))
        world.start(name)
        begun, identity = world.now, world.disks[name].identity
        while not votes(world, identity) and world.now < begun + 2 * CATCH_UP:
            world.run(0.05)
        repairs.append(world.now - begun)
    assert max(repairs) <= CATCH_UP, f"redundancy was back after {repairs}"
    settle(world)
    assert not any(voter.endswith("#first") for voter in world.voters()), "no founder's disk is left"
    assert {name_of(voter) for voter in world.voters()} == set(world.names)
    assert world.leader().orders.version == version


@pytest.mark.parametrize("seed", range(4))
def test_an_acknowledged_order_outlives_a_lost_disk_and_the_loss_of_power_of_all_others(seed: int) -> None:
    world = started(seed)
    verdict = world.order(world.draw.choice(world.names), replace(2, 1))
    assert verdict.kind == TAKEN
    wiped = world.draw.choice([world.leader().me, *world.names])
    for name in list(world.up):
        world.kill(name)
    world.empty(wiped)
    for name in world.draw.sample(world.names, len(world.names)):
        world.start(name)
        world.run(world.draw.choice([0.0, 0.3]))
    settle(world, 15.0)
    assert all(register.orders.version == 2 for register in world.up.values())
    assert world.proof(wiped) is not None


def test_a_learner_counts_for_nothing_until_it_holds_all_that_is_committed() -> None:
    world = started()
    leader = world.leader().me
    lost = next(name for name in world.names if name != leader)
    world.kill(lost)
    world.empty(lost)
    cut(world, [lost])
    world.start(lost)
    world.run(5.0)
    assert world.order(leader, replace(2, 1)).kind == TAKEN
    assert len(world.voters()) == 5 and world.disks[lost].identity not in world.voters()
    up = [name for name in world.names if name not in (lost, leader)]
    cut(world, up[:2])
    assert world.order(leader, replace(3, 2)).kind == UNKNOWN, "two of five, and a learner, are no majority"


# 4. Hundreds of changes.


def grown(world: World, size: int) -> int:
    """One large document, and changes until no log holds it any more; the version then."""
    assert world.order(world.names[0], replace(2, 1, "x" * size), 30.0).kind == TAKEN
    for version in range(3, 70):
        assert world.order(world.names[0], modify(version, version - 1, n=version), 30.0).kind == TAKEN
    return 69


def come_back(world: World, name: str, version: int, seconds: float) -> bool:
    """A member starts while changes go on; whether it has caught up within so long (s)."""
    world.start(name)
    until = world.now + seconds
    asked = next(other for other in world.names if other != name)
    while world.now < until:
        version += 1
        assert world.order(asked, modify(version, version - 1, n=version), 30.0).kind == TAKEN
        world.run(0.05)
        if world.up[name].orders.version >= version - 1 and world.up[name].admitted:
            return True
    return False


@pytest.mark.parametrize(("part", "caught_up"), [(transfer.PART_BYTES, True), (1 << 30, False)])
@pytest.mark.parametrize("wiped", [False, True])
def test_a_member_gets_a_large_snapshot_over_a_narrow_link(
    monkeypatch: pytest.MonkeyPatch, part: int, caught_up: bool, wiped: bool
) -> None:
    """Whole, it is sent anew before it can be acknowledged, holds up all else, and never comes to an end."""
    monkeypatch.setattr(transfer, "PART_BYTES", part)
    world = started()
    away = next(name for name in world.names if name != world.leader().me)
    world.kill(away)
    version = grown(world, 2_000_000)
    if wiped:
        world.empty(away)
    world.rate = 1_000_000
    assert come_back(world, away, version, 12.0) is caught_up


def test_parts_that_are_lost_or_come_in_another_order_are_sent_again() -> None:
    world = started()
    away = next(name for name in world.names if name != world.leader().me)
    world.kill(away)
    version = grown(world, 3_000_000)
    world.loss = 0.05
    world.start(away)
    world.run(12.0)
    world.loss = 0.0
    settle(world)
    assert world.up[away].orders.version == version


def test_a_member_that_missed_hundreds_of_changes_catches_up_and_leads_with_the_newest() -> None:
    world = started()
    leader = world.leader().me
    away, *rest = [name for name in world.names if name != leader]
    world.kill(away)
    asked, version = rest[0], 1
    for _ in range(400):
        version += 1
        assert (
            world.order(asked, modify(version, version - 1, **{f"r{version % 40}": "y" * 200})).kind == TAKEN
        )
    world.start(away)
    begun = world.now
    while world.up[away].orders.version < version and world.now < begun + 10.0:
        world.run(0.05)
    assert world.now - begun <= CATCH_UP
    for name in [leader, rest[0]]:
        world.kill(name)
    world.run(4.0)
    assert world.proof(away) is not None and world.up[away].orders.version == version


def test_a_member_that_is_behind_is_not_elected_before_it_holds_all() -> None:
    world = started()
    leader = world.leader().me
    away, *rest = [name for name in world.names if name != leader]
    world.kill(away)
    version = 1
    for _ in range(120):
        version += 1
        assert world.order(rest[0], modify(version, version - 1, n=version)).kind == TAKEN
    for name in list(world.up):
        world.kill(name)
    for name in (away, rest[1], rest[2]):
        world.start(name)
    seen = [world.up[away].orders.version]
    for _ in range(60):
        world.run(0.1)
        if world.up[away].leads:
            assert world.up[away].member.log.last_index >= version, "elected with an old log"
        seen.append(world.up[away].orders.version)
    assert all(one <= other for one, other in pairwise(seen))
    assert world.proof(away) is not None and world.up[away].orders.version == version
