"""The five points of docs/control-plane.md, each brought about on real members in virtual time."""

from __future__ import annotations

from itertools import pairwise

import pytest

from latchspoke.configstore import config_state as state
from latchspoke.configstore.config_state import CONFLICT, REPEATED, TAKEN, UNKNOWN, ConfigState
from latchspoke.configstore.simulation import Cluster, merge_patch, modify_command, replace_command
from latchspoke.consensus import transfer
from latchspoke.consensus.records import name_of

CATCH_UP = 4.0  # s; the deployments' ``catchUpS``


def cut(cluster: Cluster, side: list[str], ways: int = 2) -> None:
    """No message passes between ``side`` and the others; with one way, none reaches ``side``."""
    rest = [name for name in cluster.names if name not in side]
    cluster.blocked_links |= {(b, a) for a in side for b in rest}
    if ways == 2:
        cluster.blocked_links |= {(a, b) for a in side for b in rest}


def settle(cluster: Cluster, limit: float = 10.0) -> float:
    """Run until a leader has all members up to date; how long that took (s)."""
    begun = cluster.now
    while not cluster.is_converged() and cluster.now < begun + limit:
        cluster.run(0.1)
    assert cluster.is_converged()
    return cluster.now - begun


def votes(cluster: Cluster, identity: str) -> bool:
    """Whether a settled leader counts it among the voters."""
    leaders = [node for node in cluster.running.values() if node.is_leader and node.member.committed_in_term]
    return any(identity in node.member.members.voters for node in leaders)


def started(seed: int = 1, count: int = 5) -> Cluster:
    """A core with one configuration and all founders voting."""
    cluster = Cluster(seed, count)
    cluster.run(3.0)
    assert cluster.submit_and_wait(cluster.names[0], replace_command(1, 0)).kind == TAKEN
    settle(cluster)
    assert len(cluster.voters()) == count
    return cluster


# 1. A machine that is cut off.


@pytest.mark.parametrize("ways", [1, 2])
@pytest.mark.parametrize("who", ["leader", "follower", "two with the leader"])
def test_a_member_cut_off_for_twenty_seconds_neither_proves_nor_confirms_nor_refuses(
    who: str, ways: int
) -> None:
    cluster = started()
    leader = cluster.leader().name
    others = [name for name in cluster.names if name != leader]
    side = {"leader": [leader], "follower": others[:1], "two with the leader": [leader, others[0]]}[who]
    whole = next(name for name in cluster.names if name not in side)
    cut(cluster, side, ways)
    cluster.run(0.7)
    version = 1
    while cluster.now < 24.0:
        for name in side:
            # What a majority would take is unknown here: its sender goes elsewhere.
            assert (
                cluster.submit_and_wait(name, replace_command(version + 1, version, "here")).kind == UNKNOWN
            )
            assert cluster.submit_and_wait(name, replace_command(version + 2, version - 1)).kind == UNKNOWN
            assert cluster.read_and_wait(name) is None, "nothing is read here"
        verdict = cluster.submit_and_wait(whole, replace_command(version + 1, version))
        # Where the cut is one-way, what was sent here may have been taken unheard.
        assert verdict.kind == TAKEN or (ways == 1 and verdict.kind == CONFLICT)
        version += 1
        assert cluster.read_and_wait(whole) is not None and cluster.running[whole].state.version == version
    assert version >= 5, "the majority has gone on"
    cluster.blocked_links.clear()
    assert settle(cluster) <= CATCH_UP
    assert all(node.state.version == version for node in cluster.running.values())
    assert cluster.submit_and_wait(side[0], replace_command(version + 1, version)).kind == TAKEN, (
        "it is of use again"
    )


# 2. One number, two operators; orders sent again.


@pytest.mark.parametrize("seed", range(6))
def test_of_two_orders_under_one_number_one_is_confirmed_however_often_both_are_sent(seed: int) -> None:
    cluster = started(seed)
    for version in range(2, 12):
        cluster.loss_rate = 0.15
        texts = {"one": set[str](), "other": set[str]()}
        for _ in range(4):
            for text, found in texts.items():
                name = cluster.rng.choice(cluster.names)
                cluster.submit(
                    name,
                    replace_command(version, version - 1, text),
                    lambda a, f=found: f.add(a.kind),  # type: ignore
                )
            if cluster.rng.random() < 0.3 and len(cluster.running) == 5:
                leaders = [node.name for node in cluster.running.values() if node.is_leader]
                cluster.kill(name := (leaders or cluster.names)[0], cluster.rng.random() < 0.5)
                cluster.run(cluster.rng.choice([0.1, 0.8]))
                cluster.start(name)
            cluster.run(0.4)
        cluster.loss_rate = 0.0
        cluster.run(3.0)
        settle(cluster)
        verdicts = {
            text: cluster.submit_and_wait(cluster.names[0], replace_command(version, version - 1, text)).kind
            for text in texts
        }
        assert sorted(verdicts.values()) == [CONFLICT, REPEATED], "one, and that one again and again"
        for text, found in texts.items():
            wrong = {CONFLICT} if verdicts[text] == REPEATED else {TAKEN, REPEATED}
            assert not found & wrong, f"{text}: {found}, at the end {verdicts[text]}"


def test_an_order_that_is_repeated_after_its_number_was_forgotten_is_not_refused() -> None:
    store = ConfigState(merge_patch)
    last = state.HISTORY_LIMIT + 10
    for version in range(1, last + 1):
        assert store.apply(version, replace_command(version, version - 1)).kind == TAKEN
    forgotten, remembered = last - state.HISTORY_LIMIT, last - state.HISTORY_LIMIT + 1
    assert store.apply(last + 1, replace_command(remembered, remembered - 1)).kind == REPEATED
    assert store.apply(last + 2, replace_command(remembered, remembered - 1, "other")).kind == CONFLICT
    assert store.apply(last + 3, replace_command(forgotten, forgotten - 1)).kind == UNKNOWN
    again = ConfigState(merge_patch)
    again.load(store.dump())
    assert again.apply(last + 4, replace_command(forgotten, forgotten - 1)).kind == UNKNOWN, (
        "after a restart, too"
    )


# 3. A second loss right after a repair.


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("leaves", [False, True])
def test_replacements_one_after_the_other_never_lose_an_order_nor_the_majority(
    seed: int, leaves: bool
) -> None:
    """Each founder's disk is lost in turn, as soon as the one before counts again."""
    cluster = started(seed)
    version, repairs = 1, []
    for name in list(cluster.names):
        if leaves:
            cluster.running[name].leave(cluster.now)
            cluster.process(name)
        verdict = cluster.submit_and_wait(
            cluster.rng.choice(cluster.names), replace_command(version + 1, version)
        )
        assert verdict.kind in (TAKEN, UNKNOWN)
        version = max(node.state.version for node in cluster.running.values())
        cluster.kill(name, cluster.rng.random() < 0.5)
        cluster.create_disk(name)
        cluster.run(cluster.rng.choice([0.2, 1.0]))
        cluster.start(name)
        begun, identity = cluster.now, cluster.disks[name].identity
        while not votes(cluster, identity) and cluster.now < begun + 2 * CATCH_UP:
            cluster.run(0.05)
        repairs.append(cluster.now - begun)
    assert max(repairs) <= CATCH_UP, f"redundancy was back after {repairs}"
    settle(cluster)
    assert not any(voter.endswith("#first") for voter in cluster.voters()), "no founder's disk is left"
    assert {name_of(voter) for voter in cluster.voters()} == set(cluster.names)
    assert cluster.leader().state.version == version


@pytest.mark.parametrize("seed", range(4))
def test_an_acknowledged_order_outlives_a_lost_disk_and_the_loss_of_power_of_all_others(seed: int) -> None:
    cluster = started(seed)
    verdict = cluster.submit_and_wait(cluster.rng.choice(cluster.names), replace_command(2, 1))
    assert verdict.kind == TAKEN
    wiped = cluster.rng.choice([cluster.leader().name, *cluster.names])
    for name in list(cluster.running):
        cluster.kill(name)
    cluster.create_disk(wiped)
    for name in cluster.rng.sample(cluster.names, len(cluster.names)):
        cluster.start(name)
        cluster.run(cluster.rng.choice([0.0, 0.3]))
    settle(cluster, 15.0)
    assert all(node.state.version == 2 for node in cluster.running.values())
    assert cluster.read_and_wait(wiped) is not None


def test_a_learner_counts_for_nothing_until_it_holds_all_that_is_committed() -> None:
    cluster = started()
    leader = cluster.leader().name
    lost = next(name for name in cluster.names if name != leader)
    cluster.kill(lost)
    cluster.create_disk(lost)
    cut(cluster, [lost])
    cluster.start(lost)
    cluster.run(5.0)
    assert cluster.submit_and_wait(leader, replace_command(2, 1)).kind == TAKEN
    assert len(cluster.voters()) == 5 and cluster.disks[lost].identity not in cluster.voters()
    up = [name for name in cluster.names if name not in (lost, leader)]
    cut(cluster, up[:2])
    assert cluster.submit_and_wait(leader, replace_command(3, 2)).kind == UNKNOWN, (
        "two of five, and a learner, are no majority"
    )


# 4. Hundreds of changes.


def grown(cluster: Cluster, size: int) -> int:
    """One large document, and changes until no log holds it any more; the version then."""
    assert cluster.submit_and_wait(cluster.names[0], replace_command(2, 1, "x" * size), 30.0).kind == TAKEN
    for version in range(3, 70):
        assert (
            cluster.submit_and_wait(
                cluster.names[0], modify_command(version, version - 1, n=version), 30.0
            ).kind
            == TAKEN
        )
    return 69


def come_back(cluster: Cluster, name: str, version: int, seconds: float) -> bool:
    """A member starts while changes go on; whether it has caught up within so long (s)."""
    cluster.start(name)
    until = cluster.now + seconds
    asked = next(other for other in cluster.names if other != name)
    while cluster.now < until:
        version += 1
        assert (
            cluster.submit_and_wait(asked, modify_command(version, version - 1, n=version), 30.0).kind
            == TAKEN
        )
        cluster.run(0.05)
        if cluster.running[name].state.version >= version - 1 and cluster.running[name].is_member:
            return True
    return False


@pytest.mark.parametrize(("part", "caught_up"), [(transfer.PART_BYTES, True), (1 << 30, False)])
@pytest.mark.parametrize("wiped", [False, True])
def test_a_member_gets_a_large_snapshot_over_a_narrow_link(
    monkeypatch: pytest.MonkeyPatch, part: int, caught_up: bool, wiped: bool
) -> None:
    """Whole, it is sent anew before it can be acknowledged, holds up all else, and never comes to an end."""
    monkeypatch.setattr(transfer, "PART_BYTES", part)
    cluster = started()
    away = next(name for name in cluster.names if name != cluster.leader().name)
    cluster.kill(away)
    version = grown(cluster, 2_000_000)
    if wiped:
        cluster.create_disk(away)
    cluster.link_bytes_per_s = 1_000_000
    assert come_back(cluster, away, version, 12.0) is caught_up


def test_parts_that_are_lost_or_come_in_another_order_are_sent_again() -> None:
    cluster = started()
    away = next(name for name in cluster.names if name != cluster.leader().name)
    cluster.kill(away)
    version = grown(cluster, 3_000_000)
    cluster.loss_rate = 0.05
    cluster.start(away)
    cluster.run(12.0)
    cluster.loss_rate = 0.0
    settle(cluster)
    assert cluster.running[away].state.version == version


def test_a_member_that_missed_hundreds_of_changes_catches_up_and_leads_with_the_newest() -> None:
    cluster = started()
    leader = cluster.leader().name
    away, *rest = [name for name in cluster.names if name != leader]
    cluster.kill(away)
    asked, version = rest[0], 1
    for _ in range(400):
        version += 1
        assert (
            cluster.submit_and_wait(
                asked, modify_command(version, version - 1, **{f"r{version % 40}": "y" * 200})
            ).kind
            == TAKEN
        )
    cluster.start(away)
    begun = cluster.now
    while cluster.running[away].state.version < version and cluster.now < begun + 10.0:
        cluster.run(0.05)
    assert cluster.now - begun <= CATCH_UP
    for name in [leader, rest[0]]:
        cluster.kill(name)
    cluster.run(4.0)
    assert cluster.read_and_wait(away) is not None and cluster.running[away].state.version == version


def test_a_member_that_is_behind_is_not_elected_before_it_holds_all() -> None:
    cluster = started()
    leader = cluster.leader().name
    away, *rest = [name for name in cluster.names if name != leader]
    cluster.kill(away)
    version = 1
    for _ in range(120):
        version += 1
        assert cluster.submit_and_wait(rest[0], modify_command(version, version - 1, n=version)).kind == TAKEN
    for name in list(cluster.running):
        cluster.kill(name)
    for name in (away, rest[1], rest[2]):
        cluster.start(name)
    seen = [cluster.running[away].state.version]
    for _ in range(60):
        cluster.run(0.1)
        if cluster.running[away].is_leader:
            assert cluster.running[away].member.log.last_index >= version, "elected with an old log"
        seen.append(cluster.running[away].state.version)
    assert all(one <= other for one, other in pairwise(seen))
    assert cluster.read_and_wait(away) is not None and cluster.running[away].state.version == version
