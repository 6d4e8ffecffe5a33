"""Choice of voters: schedules of tolerated losses in virtual time, and single decisions of the leader."""

from __future__ import annotations

from collections import Counter

import pytest

from latchspoke.configstore import voters
from latchspoke.configstore.messages import Message
from latchspoke.configstore.replacements import LOSSES, LossSchedule, schedule_for_seed, spread_over_regions
from latchspoke.configstore.simulation import Cluster, replace_command
from latchspoke.configstore.voters import (
    MAX_VOTERS,
    UNKNOWN_LOCATION,
    JoinCandidate,
    Location,
    MemberLiveness,
    MembershipView,
    next_members,
)
from latchspoke.consensus.records import Members, name_of

CATCH_UP_S = 4.0  # s


@pytest.mark.parametrize("seed", range(24))
def test_tolerated_losses_keep_the_majority_and_every_acknowledged_command(seed: int) -> None:
    print(f"seed {seed}: python -m latchspoke.configstore.replacements {seed} {seed + 1}")
    schedule_for_seed(seed).run()


@pytest.mark.parametrize("size", [3, 4, 5, 6, 7])
@pytest.mark.parametrize("kind", LOSSES)
def test_repeated_losses_of_one_kind_keep_the_majority(kind: str, size: int) -> None:
    LossSchedule(1, size, losses=size + 2, loss_kinds=(kind,)).run()


def test_replacing_a_lost_voter_too_late_loses_the_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    """With 15 s until a voter counts as lost, too many voters are gone at once."""
    monkeypatch.setattr(voters, "MIN_LOST_AFTER_S", 15.0)
    with pytest.raises(AssertionError, match="unknown"):
        LossSchedule(1, 5, loss_kinds=("replaced",)).run()


def test_voter_that_announces_its_stop_is_replaced_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the announcement, the next loss leaves one of three voters."""
    monkeypatch.setattr(MemberLiveness, "mark_leaving", lambda liveness, identity, boot: None)
    monkeypatch.setattr(voters, "MIN_LOST_AFTER_S", 15.0)
    with pytest.raises(AssertionError, match="unknown"):
        LossSchedule(1, 3, loss_kinds=("planned",)).run()


def start_cluster(size: int, seed: int = 1) -> Cluster:
    names = [f"10.{number}.0.1:7600" for number in range(size)]
    cluster = Cluster(seed, size, spread_over_regions(names), CATCH_UP_S)
    cluster.run(3.0)
    return cluster


def regions(cluster: Cluster) -> Counter[str]:
    return Counter(cluster.locations[name_of(voter)].region for voter in cluster.voters())


@pytest.mark.parametrize("size", [9, 12, 36])
def test_large_cluster_has_seven_voters_that_survive_the_loss_of_a_region(size: int) -> None:
    cluster = start_cluster(size)
    assert len(cluster.voters()) == MAX_VOTERS and max(regions(cluster).values()) <= 3
    entries = cluster.leader().member.log.last_index
    assert entries <= 16, f"candidates come in together: {entries} entries"


@pytest.mark.parametrize("seed", range(3))
def test_regions_may_fail_one_after_the_other(seed: int) -> None:
    """Each region is back for ``catchUpS`` before the next fails, and has voters again by then."""
    cluster = start_cluster(12, seed)
    for version, region in enumerate(("r0", "r1", "r2", "r0")):
        lost = [name for name in cluster.running if cluster.locations[name].region == region]
        for name in lost:
            cluster.kill(name)
        cluster.announce_running()
        cluster.run(8.0)
        for name in lost:
            cluster.start(name)
        cluster.run(CATCH_UP_S)
        assert max(regions(cluster).values()) <= 3, f"{regions(cluster)} after {region} came back"
        assert cluster.submit_and_wait(
            next(iter(cluster.running)), replace_command(version + 1, version), 2.0
        ).ok


def view(votes: str, non_voters: str = "", lost: str = "", **more: frozenset[str]) -> MembershipView:
    """Members like "a1 a2 b1", where the letter is the region."""
    known = frozenset(non_voters.split())
    locations = {name: Location(name, name[0]) for name in (votes + " " + non_voters).split()}
    return MembershipView(
        leader=votes.split()[0],
        members=Members(tuple(votes.split()), (), (), tuple(non_voters.split())),
        caught_up=more.get("ready", known),
        lost=frozenset(lost.split()),
        expired=more.get("forgotten", frozenset()),
        locations=locations,
    )


def step(membership: MembershipView, *candidates: str) -> tuple[str, str] | None:
    wanted = next_members(membership, [JoinCandidate(identity) for identity in candidates])
    return (" ".join(wanted.voters), " ".join(wanted.non_voters)) if wanted else None


@pytest.mark.parametrize(
    ("membership", "wanted"),
    [
        (view("a1 b1 c1"), None),
        (view("a1 b1 c1", "a2"), None),  # four voters tolerate no more losses than three
        (view("a1 b1 c1", "a2 b2"), ("a1 b1 c1 a2", "b2")),
        (view("a1 b1 c1 a2", "b2"), ("a1 b1 c1 a2 b2", "")),
        (view("a1 b1 c1", lost="c1"), None),  # there is no replacement
        (view("a1 b1 c1", "c2", lost="c1"), ("a1 b1", "c2")),
        (view("a1 b1", "c2"), ("a1 b1 c2", "")),
        (view("a1 b1 c1", "c2", lost="c1", ready=frozenset()), None),  # the replacement has not caught up
        (view("a1 b1 c1", "c2", lost="c1 c2"), None),
        (view("a1 b1 c1", "c2", lost="a1"), None),  # the leader does not replace itself
        (view("a1 b1 c1", "c2", forgotten=frozenset({"c2"})), ("a1 b1 c1", "")),
        (
            view("a1 b1 c1", forgotten=frozenset({"b1"})),
            None,
        ),  # a voter is never removed without a replacement
        (view("a1 a2 a3 b1 b2 b3 b4", "c1 c2"), ("a1 a2 a3 b1 b2 b3 b4 c1", "c2")),
        (view("a1 a2 a3 b1 b2 b3 b4 c1", "c2"), ("a1 a2 a3 b1 b2 b3 c1", "c2 b4")),
        (view("a1 a2 a3 b1 b2 c1 c2", "a4 b3"), None),
        (
            view("a1 a2 b1 c1"),
            ("a1 b1 c1", "a2"),
        ),  # three spread voters survive more than four with two in one region
        (view("a1 a2 b1 b2 c1 c2"), None),
    ],
)
def test_next_configuration_change(membership: MembershipView, wanted: tuple[str, str] | None) -> None:
    assert step(membership) == wanted


def test_candidates_join_together_but_replace_at_most_one_voter() -> None:
    assert step(view("a1 b1 c1"), "d1", "e1", "f1") == ("a1 b1 c1", "d1 e1 f1")
    after_change = step(view("a1#x b1#x c1#x"), "b1#new", "c1#new", "d1#new")
    assert after_change == ("a1#x c1#x", "b1#new d1#new"), "c1 joins with the next change"
    assert step(view("a1#x b1#x c1#x"), "b1#x") is None


def test_voter_swaps_terminate() -> None:
    """Seven voters become evenly spread over three regions within a few changes."""
    for spread in ("aaaaaaa", "aaaaabb", "aaaabbb", "aabbbcc"):
        members = Members(tuple(f"{region}{n}" for n, region in enumerate(spread)))
        non_voters = tuple(f"{region}{n}" for region in "abc" for n in (7, 8, 9))
        members = Members(members.voters, non_voters=non_voters)
        locations = {name: Location(name, name[0]) for name in members.all}
        for _ in range(12):
            caught_up = frozenset(members.non_voters)
            wanted = next_members(
                MembershipView("a0", members, caught_up, frozenset(), frozenset(), locations), []
            )
            if wanted is None:
                break
            members = wanted
        counts = Counter(voter[0] for voter in members.voters)
        assert sorted(counts.values()) == [2, 2, 3], f"{spread} ends as {members.voters}"


def test_silence_counts_only_while_the_leader_runs_and_has_a_quorum() -> None:
    liveness = MemberLiveness(CATCH_UP_S)
    assert liveness.lost_after == pytest.approx(1.0)
    liveness.start_term(0.0)
    now = 0.0
    for _ in range(8):
        now += 0.15
        liveness.observe(now, has_majority=True)
    assert liveness.is_lost("b", now), "silent for 1.2 s"
    liveness.observe(now + 5.0, has_majority=True)
    assert not liveness.is_lost("b", now + 5.0), "the leader itself was paused"
    now += 5.0
    for _ in range(10):
        now += 0.15
        liveness.observe(now, has_majority=False)
    assert not liveness.is_lost("b", now), "the leader itself may be partitioned"


def test_member_that_announced_its_stop_is_lost_until_it_restarts() -> None:
    liveness = MemberLiveness(CATCH_UP_S)
    liveness.start_term(0.0)
    liveness.mark_leaving("b", boot=3)
    liveness.mark_started("b", boot=3)
    assert liveness.is_lost("b", 0.0), "a late message of the same boot changes nothing"
    liveness.mark_started("b", boot=4)
    assert not liveness.is_lost("b", 0.0)


def test_unknown_location_causes_no_change() -> None:
    membership = view("a1 a2 a3 b1 b2 b3 b4", "c1 c2")
    locations = dict(membership.locations) | {"b4": UNKNOWN_LOCATION}
    unknown = MembershipView(
        membership.leader,
        membership.members,
        membership.caught_up,
        membership.lost,
        membership.expired,
        locations,
    )
    assert step(unknown) is None


def test_non_voter_gets_fewer_heartbeats_but_commands_as_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = start_cluster(12)
    leader = cluster.leader()
    votes = {name_of(voter) for voter in cluster.voters()} - {leader.name}
    non_voter = next(name for name in cluster.names if name not in votes | {leader.name})
    sent: Counter[str] = Counter()
    send = cluster.send

    def count_messages(source: str, target: str, message: Message) -> None:
        sent[target] += source == leader.name
        send(source, target, message)

    monkeypatch.setattr(cluster, "send", count_messages)
    cluster.run(6.0)
    assert sent[non_voter] < 0.6 * sent[min(votes)] and cluster.running[non_voter].leader, (
        "and it knows the leader"
    )
    assert cluster.submit_and_wait(min(votes), replace_command(1, 0)).ok
    cluster.run(0.1)
    assert cluster.running[non_voter].state.version == 1
