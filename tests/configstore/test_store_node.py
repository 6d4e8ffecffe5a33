"""Config store nodes in virtual time: single cases, random fault schedules, and mutations."""

from __future__ import annotations

import msgspec
import pytest

from latchspoke.configstore import simulation
from latchspoke.configstore.config_state import CONFLICT, REPEATED, TAKEN, UNKNOWN
from latchspoke.configstore.fault_schedules import Schedule
from latchspoke.configstore.messages import CommandRequest, Message
from latchspoke.configstore.mutations import MUTATIONS, first_detecting_seed
from latchspoke.configstore.scenarios import SCENARIOS
from latchspoke.configstore.simulation import Cluster, modify_command, replace_command
from latchspoke.configstore.voters import DEFAULT_CATCH_UP_S


@pytest.fixture
def cluster() -> Cluster:
    cluster = Cluster(1)
    cluster.run(3.0)
    return cluster


def names(identities: set[str]) -> set[str]:
    return {identity.partition("#")[0] for identity in identities}


def follower(cluster: Cluster) -> str:
    return next(name for name in cluster.names if name != cluster.leader().name)


def test_all_founders_vote_and_every_node_accepts_commands(cluster: Cluster) -> None:
    assert names(cluster.voters()) == set(cluster.names)
    for n, name in enumerate(cluster.names):
        assert cluster.submit_and_wait(name, replace_command(n + 1, n)).kind == TAKEN
        index = cluster.read_and_wait(name)
        assert index is not None and cluster.running[name].state.version == n + 1
    assert cluster.submit_and_wait(cluster.names[0], replace_command(1, 0)).kind == REPEATED


def test_minority_soon_reports_an_unknown_outcome(cluster: Cluster) -> None:
    minority, majority = cluster.names[:2], cluster.names[2:]
    cluster.blocked_links = {(a, b) for a in minority for b in majority} | {
        (b, a) for a in minority for b in majority
    }
    cluster.run(3.0)
    before = cluster.now
    assert cluster.submit_and_wait(minority[0], replace_command(1, 0)).kind == UNKNOWN
    assert cluster.read_and_wait(minority[1]) is None
    assert cluster.now - before < 0.6
    assert cluster.submit_and_wait(majority[0], replace_command(2, 0)).kind == TAKEN
    cluster.blocked_links.clear()
    cluster.run(3.0)
    assert (
        cluster.is_converged()
        and cluster.submit_and_wait(minority[0], replace_command(1, 0)).kind == CONFLICT
    )


def test_commands_are_accepted_after_a_crash_and_a_transfer_of_the_leader(cluster: Cluster) -> None:
    leader = cluster.leader().name
    other = follower(cluster)
    cluster.kill(leader)
    assert cluster.submit_and_wait(other, replace_command(1, 0), limit=2.5).kind == TAKEN
    assert cluster.leader().leave(cluster.now)
    assert cluster.submit_and_wait(other, modify_command(2, 1, a=1)).kind == TAKEN


def test_large_command_is_not_sent_again_while_it_may_be_under_way(cluster: Cluster) -> None:
    """A configuration of the planned size was sent to the leader three times, and decoded each time."""
    name, leader = follower(cluster), cluster.leader().name
    sent: list[float] = []
    send = cluster.send

    def record(source: str, target: str, message: Message) -> None:
        if isinstance(message, CommandRequest):
            sent.append(cluster.now)
        else:
            send(source, target, message)

    cluster.send = record  # type: ignore[method-assign]
    small, large = (
        replace_command(1, 0) | {"doc": msgspec.Raw(b" " * size + b"{}")} for size in (0, 4 << 20)
    )
    for command, copies in ((small, 3), (large, 1)):
        sent.clear()
        assert cluster.submit_and_wait(name, command, limit=0.9).kind == UNKNOWN
        assert len(sent) == copies and cluster.leader().name == leader


def test_simultaneous_start_over_slow_links_does_not_split_the_vote(monkeypatch: pytest.MonkeyPatch) -> None:
    """Candidates that start within one network delay of each other would split the vote."""
    monkeypatch.setattr(simulation, "LINK_DELAY_S", 0.014)  # minimum; the maximum is twice that
    for seed in range(20):
        cluster = Cluster(seed)
        cluster.run(3.0)
        for name in cluster.names:
            cluster.kill(name)
        for name in cluster.names:
            cluster.start(name)
        cluster.run(0.4)
        assert any(node.is_leader for node in cluster.running.values()), f"nobody leads with seed {seed}"


def test_wiped_node_joins_anew_and_votes_only_once_caught_up(cluster: Cluster) -> None:
    name = follower(cluster)
    cluster.submit_and_wait(name, replace_command(1, 0))
    old = next(identity for identity in cluster.voters() if identity.startswith(name))
    cluster.kill(name)
    cluster.create_disk(name)
    cluster.start(name)
    assert not cluster.running[name].is_member
    cluster.run(2.0)
    assert old not in cluster.voters() and cluster.disks[name].identity in cluster.voters()
    assert cluster.running[name].state.version == 1


def test_non_voter_replaces_a_lost_voter(cluster: Cluster) -> None:
    spare, lost = "10.9.0.1:7600", follower(cluster)
    cluster.create_disk(spare)
    cluster.start(spare)
    cluster.run(2.0)
    assert spare not in names(cluster.voters())
    assert (
        cluster.submit_and_wait(spare, replace_command(1, 0)).kind == TAKEN
        and cluster.read_and_wait(spare) is not None
    )
    cluster.kill(lost)
    cluster.announce_running()
    cluster.run(DEFAULT_CATCH_UP_S)
    assert names(cluster.voters()) == {*cluster.names, spare} - {lost}
    cluster.start(lost)
    cluster.run(2.0)
    assert lost not in names(cluster.voters()) and cluster.read_and_wait(lost) is not None


def test_log_is_compacted_and_a_lagging_node_gets_a_snapshot(cluster: Cluster) -> None:
    name = follower(cluster)
    cluster.kill(name)
    other = next(n for n in cluster.running if n != name)
    for n in range(120):
        assert cluster.submit_and_wait(other, replace_command(n + 1, n)).ok
    assert all(len(disk.entries) <= 60 for disk in cluster.disks.values())
    cluster.start(name)
    cluster.run(2.0)
    assert cluster.running[name].state.version == 120


def test_long_delayed_command_does_not_override_a_later_one(cluster: Cluster) -> None:
    leader, name = cluster.leader().name, follower(cluster)
    zone = {"zone": "z"}
    cluster.submit(name, {"do": "evacuate", **zone}, lambda answer: None, limit=0.1)
    held, cluster.events = cluster.events, []
    cluster.run(0.3)
    assert (
        cluster.submit_and_wait(leader, {"do": "evacuate", **zone}).ok
        and cluster.submit_and_wait(leader, {"do": "restore", **zone}).ok
    )
    for _, _, call in held:
        cluster.schedule(cluster.now, call)
    cluster.run(1.0)
    assert not cluster.running[name].state.evacuated


@pytest.mark.parametrize("seed", range(9))
def test_random_fault_schedules_violate_no_invariant(seed: int) -> None:
    print(f"seed {seed}: python -m latchspoke.configstore.fault_schedules {seed} {seed + 1}")
    schedule = Schedule(seed)
    schedule.run()
    assert schedule.definite_answers > 3, "calls had definite answers"


@pytest.mark.parametrize("name", [name for name, mutation in MUTATIONS.items() if not mutation.covered_by])
def test_fault_schedules_detect_each_mutation(name: str) -> None:
    assert first_detecting_seed(MUTATIONS[name], range(20))


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario_violates_no_invariant(scenario: str) -> None:
    Schedule(1, scenario=scenario).run()
