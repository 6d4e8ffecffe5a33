"""The failure cases of docs/control-plane.md, on a simulated cluster in virtual time."""

from __future__ import annotations

from itertools import pairwise

import pytest

from latchspoke.configstore import config_state as state
from latchspoke.configstore.config_state import CONFLICT, REPEATED, TAKEN, UNKNOWN, ConfigState
from latchspoke.configstore.simulation import Cluster, merge_patch, modify_command, replace_command
from latchspoke.consensus import transfer
from latchspoke.consensus.records import name_of

CATCH_UP_S = 4.0  # as ``catchUpS`` in the deployments


def block_links(cluster: Cluster, minority: list[str], ways: int = 2) -> None:
    """Blocks all links between ``minority`` and the other nodes; with ``ways`` 1 only those towards it."""
    rest = [name for name in cluster.names if name not in minority]
    cluster.blocked_links |= {(b, a) for a in minority for b in rest}
    if ways == 2:
        cluster.blocked_links |= {(a, b) for a in minority for b in rest}


def run_until_converged(cluster: Cluster, limit: float = 10.0) -> float:
    """Runs until all running members are up to date; returns how long that took (s)."""
    begun = cluster.now
    while not cluster.is_converged() and cluster.now < begun + limit:
        cluster.run(0.1)
    assert cluster.is_converged()
    return cluster.now - begun


def is_voter(cluster: Cluster, identity: str) -> bool:
    """Whether a settled leader has this member among its voters."""
    leaders = [node for node in cluster.running.values() if node.is_leader and node.member.committed_in_term]
    return any(identity in node.member.members.voters for node in leaders)


def start_cluster(seed: int = 1, count: int = 5) -> Cluster:
    """A cluster with one configuration in which all founders vote."""
    cluster = Cluster(seed, count)
    cluster.run(3.0)
    assert cluster.submit_and_wait(cluster.names[0], replace_command(1, 0)).kind == TAKEN
    run_until_converged(cluster)
    assert len(cluster.voters()) == count
    return cluster


# 1. Partitioned members.


@pytest.mark.parametrize("ways", [1, 2])
@pytest.mark.parametrize("who", ["leader", "follower", "two with the leader"])
def test_partitioned_member_neither_reads_nor_accepts_nor_rejects(who: str, ways: int) -> None:
    cluster = start_cluster()
    leader = cluster.leader().name
    others = [name for name in cluster.names if name != leader]
    minority = {"leader": [leader], "follower": others[:1], "two with the leader": [leader, others[0]]}[who]
    reachable = next(name for name in cluster.names if name not in minority)
    block_links(cluster, minority, ways)
    cluster.run(0.7)
    version = 1
    while cluster.now < 24.0:
        for name in minority:
            # The outcome is unknown here, so the sender retries elsewhere.
            assert (
                cluster.submit_and_wait(name, replace_command(version + 1, version, "here")).kind == UNKNOWN
            )
            assert cluster.submit_and_wait(name, replace_command(version + 2, version - 1)).kind == UNKNOWN
            assert cluster.read_and_wait(name) is None, "no linearizable read without a quorum"
        verdict = cluster.submit_and_wait(reachable, replace_command(version + 1, version))
        # With a one-way partition, a command sent there may be accepted although its reply is lost.
        assert verdict.kind == TAKEN or (ways == 1 and verdict.kind == CONFLICT)
        version += 1
        assert (
            cluster.read_and_wait(reachable) is not None
            and cluster.running[reachable].state.version == version
        )
    assert version >= 5, "the majority made progress"
    cluster.blocked_links.clear()
    assert run_until_converged(cluster) <= CATCH_UP_S
    assert all(node.state.version == version for node in cluster.running.values())
    assert cluster.submit_and_wait(minority[0], replace_command(version + 1, version)).kind == TAKEN, (
        "it accepts commands again"
    )


# 2. Two operators under one version; retries.


@pytest.mark.parametrize("seed", range(6))
def test_of_two_changes_under_one_version_exactly_one_is_accepted_despite_retries(seed: int) -> None:
    cluster = start_cluster(seed)
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
        run_until_converged(cluster)
        verdicts = {
            text: cluster.submit_and_wait(cluster.names[0], replace_command(version, version - 1, text)).kind
            for text in texts
        }
        assert sorted(verdicts.values()) == [CONFLICT, REPEATED], (
            "one was accepted, and its retries are recognized"
        )
        for text, found in texts.items():
            wrong = {CONFLICT} if verdicts[text] == REPEATED else {TAKEN, REPEATED}
            assert not found & wrong, f"{text}: {found}, at the end {verdicts[text]}"


def test_retry_of_a_change_older_than_the_history_is_not_rejected() -> None:
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
        "also after a restart"
    )


# 3. A second loss right after a repair.


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("leaves", [False, True])
def test_successive_replacements_lose_neither_a_change_nor_the_majority(seed: int, leaves: bool) -> None:
    """Each founder's disk is lost in turn, as soon as the previous replacement votes."""
    cluster = start_cluster(seed)
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
        while not is_voter(cluster, identity) and cluster.now < begun + 2 * CATCH_UP_S:
            cluster.run(0.05)
        repairs.append(cluster.now - begun)
    assert max(repairs) <= CATCH_UP_S, f"repairs took {repairs} s"
    run_until_converged(cluster)
    assert not any(voter.endswith("#first") for voter in cluster.voters()), "no founder's disk is left"
    assert {name_of(voter) for voter in cluster.voters()} == set(cluster.names)
    assert cluster.leader().state.version == version


@pytest.mark.parametrize("seed", range(4))
def test_acknowledged_change_survives_a_lost_disk_and_a_power_failure(seed: int) -> None:
    cluster = start_cluster(seed)
    verdict = cluster.submit_and_wait(cluster.rng.choice(cluster.names), replace_command(2, 1))
    assert verdict.kind == TAKEN
    wiped = cluster.rng.choice([cluster.leader().name, *cluster.names])
    for name in list(cluster.running):
        cluster.kill(name)
    cluster.create_disk(wiped)
    for name in cluster.rng.sample(cluster.names, len(cluster.names)):
        cluster.start(name)
        cluster.run(cluster.rng.choice([0.0, 0.3]))
    run_until_converged(cluster, 15.0)
    assert all(node.state.version == 2 for node in cluster.running.values())
    assert cluster.read_and_wait(wiped) is not None


def test_new_member_does_not_count_towards_the_quorum_before_it_has_caught_up() -> None:
    cluster = start_cluster()
    leader = cluster.leader().name
    lost = next(name for name in cluster.names if name != leader)
    cluster.kill(lost)
    cluster.create_disk(lost)
    block_links(cluster, [lost])
    cluster.start(lost)
    cluster.run(5.0)
    assert cluster.submit_and_wait(leader, replace_command(2, 1)).kind == TAKEN
    assert len(cluster.voters()) == 5 and cluster.disks[lost].identity not in cluster.voters()
    up = [name for name in cluster.names if name not in (lost, leader)]
    block_links(cluster, up[:2])
    assert cluster.submit_and_wait(leader, replace_command(3, 2)).kind == UNKNOWN, (
        "two of five and a non-voter are no majority"
    )


# 4. Hundreds of changes.


def outgrow_log(cluster: Cluster, size: int) -> int:
    """Stores a large document, then changes until no log holds it any more; returns the version."""
    assert cluster.submit_and_wait(cluster.names[0], replace_command(2, 1, "x" * size), 30.0).kind == TAKEN
    for version in range(3, 70):
        assert (
            cluster.submit_and_wait(
                cluster.names[0], modify_command(version, version - 1, n=version), 30.0
            ).kind
            == TAKEN
        )
    return 69


def catches_up_under_load(cluster: Cluster, name: str, version: int, seconds: float) -> bool:
    """Starts a member while changes continue; returns whether it catches up within ``seconds``."""
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
def test_member_receives_a_large_snapshot_over_a_slow_link(
    monkeypatch: pytest.MonkeyPatch, part: int, caught_up: bool, wiped: bool
) -> None:
    """In one message it would be sent again before it is acknowledged, and block all other messages."""
    monkeypatch.setattr(transfer, "PART_BYTES", part)
    cluster = start_cluster()
    lagging = next(name for name in cluster.names if name != cluster.leader().name)
    cluster.kill(lagging)
    version = outgrow_log(cluster, 2_000_000)
    if wiped:
        cluster.create_disk(lagging)
    cluster.link_bytes_per_s = 1_000_000
    assert catches_up_under_load(cluster, lagging, version, 12.0) is caught_up


def test_lost_or_reordered_snapshot_chunks_are_sent_again() -> None:
    cluster = start_cluster()
    lagging = next(name for name in cluster.names if name != cluster.leader().name)
    cluster.kill(lagging)
    version = outgrow_log(cluster, 3_000_000)
    cluster.loss_rate = 0.05
    cluster.start(lagging)
    cluster.run(12.0)
    cluster.loss_rate = 0.0
    run_until_converged(cluster)
    assert cluster.running[lagging].state.version == version


def test_member_that_missed_hundreds_of_changes_catches_up_and_leads() -> None:
    cluster = start_cluster()
    leader = cluster.leader().name
    lagging, *rest = [name for name in cluster.names if name != leader]
    cluster.kill(lagging)
    asked, version = rest[0], 1
    for _ in range(400):
        version += 1
        assert (
            cluster.submit_and_wait(
                asked, modify_command(version, version - 1, **{f"r{version % 40}": "y" * 200})
            ).kind
            == TAKEN
        )
    cluster.start(lagging)
    begun = cluster.now
    while cluster.running[lagging].state.version < version and cluster.now < begun + 10.0:
        cluster.run(0.05)
    assert cluster.now - begun <= CATCH_UP_S
    for name in [leader, rest[0]]:
        cluster.kill(name)
    cluster.run(4.0)
    assert cluster.read_and_wait(lagging) is not None and cluster.running[lagging].state.version == version


def test_lagging_member_is_not_elected() -> None:
    cluster = start_cluster()
    leader = cluster.leader().name
    lagging, *rest = [name for name in cluster.names if name != leader]
    cluster.kill(lagging)
    version = 1
    for _ in range(120):
        version += 1
        assert cluster.submit_and_wait(rest[0], modify_command(version, version - 1, n=version)).kind == TAKEN
    for name in list(cluster.running):
        cluster.kill(name)
    for name in (lagging, rest[1], rest[2]):
        cluster.start(name)
    seen = [cluster.running[lagging].state.version]
    for _ in range(60):
        cluster.run(0.1)
        if cluster.running[lagging].is_leader:
            assert cluster.running[lagging].member.log.last_index >= version, "elected with an incomplete log"
        seen.append(cluster.running[lagging].state.version)
    assert all(one <= other for one, other in pairwise(seen))
    assert cluster.read_and_wait(lagging) is not None and cluster.running[lagging].state.version == version
