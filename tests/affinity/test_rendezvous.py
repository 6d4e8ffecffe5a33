"""Rendezvous hashing, cached rankings and explanations: stable results, and no more moves than needed."""

from dataclasses import replace

import pytest

from barleyhub.affinity.plan import explain_caller, least_movement, plan_change
from barleyhub.affinity.pool import Pool, warm_up_share
from barleyhub.affinity.rendezvous import (
    NO_ORIGIN,
    Member,
    Origin,
    caller_key,
    choose_service,
    pool_version,
    rank_members,
)

POOL = [Member(f"10.0.0.{n}:80", (2, 6, 4)[n % 3], f"z{n % 4}", f"r{n % 4 // 2}") for n in range(10)]
CALLERS = [f"member-{n}" for n in range(4000)]


def first_choices(members: list[Member], origin: Origin = NO_ORIGIN) -> dict[str, str]:
    return {caller: rank_members(caller_key(caller.encode()), members, origin)[0][2] for caller in CALLERS}


def test_results_do_not_change_between_releases() -> None:
    """A change of results would move the callers of every deployment, so the old ones must stay available."""
    assert caller_key(b"member-1").hex() == "183af53933a6929f"
    for caller, addresses in EXPECTED_RANKINGS.items():
        assert [rank[2][7:-3] for rank in rank_members(caller_key(caller), POOL)] == addresses.split()
    assert pool_version(POOL) == pool_version(reversed(POOL)) == EXPECTED_VERSION
    split = (("a", 0.5), ("b", 0.8), ("c", 1.0))
    assert (
        "".join(choose_service(caller_key(b"%d" % number), split) for number in range(12))
        == EXPECTED_SERVICES
    )


@pytest.mark.parametrize(
    "after",
    [
        pytest.param(POOL[:4] + POOL[5:], id="removed"),
        pytest.param([*POOL, Member("10.0.1.1:80", 4, "z1", "r0")], id="added"),
        pytest.param([replace(POOL[0], capacity=9), *POOL[1:]], id="stronger"),
        pytest.param([replace(POOL[0], share=0.25), *POOL[1:]], id="weaker"),
    ],
)
def test_a_change_moves_callers_to_or_from_the_changed_member_only(after: list[Member]) -> None:
    before = first_choices(POOL)
    changed = {member.address for member in set(POOL) ^ set(after)}
    moved = [(old, new) for caller, new in first_choices(after).items() if (old := before[caller]) != new]
    assert moved and all(changed & set(pair) for pair in moved)
    plan = plan_change(POOL, after, CALLERS)
    assert plan["moved"] == len(moved)
    assert plan["share_moved"] == pytest.approx(plan["least_possible"], abs=0.02)


def test_callers_are_distributed_by_capacity() -> None:
    choices = list(first_choices(POOL).values())
    for member in POOL:
        assert choices.count(member.address) == pytest.approx(len(CALLERS) * member.capacity / 38, rel=0.25)


def test_near_members_rank_first_and_changes_elsewhere_move_no_caller() -> None:
    here = Origin("zone", "z0", "r0")
    before = first_choices(POOL, here)
    by_address = {member.address: member for member in POOL}
    assert {by_address[address].zone for address in before.values()} == {"z0"}
    assert first_choices([member for member in POOL if member.zone != "z1"], here) == before
    others = [member for member in POOL if member.zone != "z0"]
    assert {by_address[address].zone for address in first_choices(others, here).values()} == {"z1"}


def test_cached_rankings_equal_recomputed_ones() -> None:
    pool, keys = Pool(), [caller_key(caller.encode()) for caller in CALLERS[:100]]
    members = [Member(f"p{number}", 1 + number % 5, "z", f"r{number % 2}") for number in range(40)]
    for step in range(60):
        position = step * 7 % 40
        if step % 3 == 0 and len(members) > 20:
            members = members[:position] + members[position + 1 :]
        elif step % 3 == 1:
            members = [*members, Member(f"n{step}", 3, "z", "r0")]
        else:
            changed = members[position % len(members)]
            members = [
                replace(member, share=step % 4 / 3) if member == changed else member for member in members
            ]
        pool.set_members(members)
        for homes in (None, frozenset(["r0"])):
            for key in keys[step % 2 :: 2]:
                ranking = pool.view(homes, NO_ORIGIN).ranking(key)
                assert list(ranking) == rank_members(key, members, homes=homes)[: len(ranking)]
                assert len(ranking) >= 2


def test_warm_up_share_grows_in_steps() -> None:
    assert warm_up_share(10.0, 16.0, 9.0) == (0.0, 10.0)
    assert warm_up_share(10.0, 16.0, 10.0) == (1 / 16, 11.0)
    assert warm_up_share(10.0, 16.0, 25.5)[0] == warm_up_share(10.0, 16.0, 99.0)[0] == 1.0


def test_callers_and_changes_are_explained() -> None:
    unavailable = {rank_members(caller_key(b"x"), POOL)[0][2]: "can't be reached"}
    result = explain_caller("x", POOL, homes={"r0"}, unavailable=unavailable)
    assert result["goes_to"] == next(line["place"] for line in result["order"] if not line["passed_over"])
    assert all(why == "outside the homes" for why in result["not_in_order"].values())
    assert sum(line["part"] for line in result["order"]) == pytest.approx(1.0, abs=1e-4)
    assert explain_caller("x", [])["goes_to"] is None
    result = plan_change(POOL, POOL[1:])
    assert set(result["why"]) == {"its place is gone"} and result["places"][POOL[0].address]["come"] == 0
    assert least_movement({"a": 1, "b": 1}, {"a": 1, "b": 1, "c": 2}) == 0.5


EXPECTED_RANKINGS = {
    b"": "4 7 8 1 2 3 0 5 6 9",
    b"member-1": "6 2 7 5 9 0 8 1 4 3",
    b"\xff\x00": "5 2 9 1 8 6 4 7 0 3",
}
EXPECTED_VERSION = "a378d864d14e4b65"
EXPECTED_SERVICES = "acbbbbaabcac"
