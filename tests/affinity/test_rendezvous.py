"""The placement itself: the same in every release, and no caller moved but those of the changed share."""

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


def firsts(members: list[Member], origin: Origin = NO_ORIGIN) -> dict[str, str]:
    return {c: rank_members(caller_key(c.encode()), members, origin)[0][2] for c in CALLERS}


def test_results_are_those_of_every_release() -> None:
    """A change here moves callers of every deployment at once: the old results are to be kept beside."""
    assert caller_key(b"member-1").hex() == "183af53933a6929f"
    for caller, places in VECTOR.items():
        assert [rank[2][7:-3] for rank in rank_members(caller_key(caller), POOL)] == places.split()
    assert pool_version(POOL) == pool_version(reversed(POOL)) == VERSION
    split = (("a", 0.5), ("b", 0.8), ("c", 1.0))
    assert "".join(choose_service(caller_key(b"%d" % n), split) for n in range(12)) == SERVICES


@pytest.mark.parametrize(
    "after",
    [
        pytest.param(POOL[:4] + POOL[5:], id="removed"),
        pytest.param([*POOL, Member("10.0.1.1:80", 4, "z1", "r0")], id="added"),
        pytest.param([replace(POOL[0], capacity=9), *POOL[1:]], id="stronger"),
        pytest.param([replace(POOL[0], share=0.25), *POOL[1:]], id="weaker"),
    ],
)
def test_one_change_moves_callers_to_it_or_from_it_and_no_others(after: list[Member]) -> None:
    before = firsts(POOL)
    changed = {m.address for m in set(POOL) ^ set(after)}
    moved = [(old, new) for c, new in firsts(after).items() if (old := before[c]) != new]
    assert moved and all(changed & set(pair) for pair in moved)
    told = plan_change(POOL, after, CALLERS)
    assert told["moved"] == len(moved)
    assert told["share_moved"] == pytest.approx(told["least_possible"], abs=0.02)


def test_each_place_gets_its_part_of_the_callers() -> None:
    found = list(firsts(POOL).values())
    for m in POOL:
        assert found.count(m.address) == pytest.approx(len(CALLERS) * m.capacity / 38, rel=0.25)


def test_near_places_go_first_and_a_change_elsewhere_moves_nobody() -> None:
    here = Origin("zone", "z0", "r0")
    before = firsts(POOL, here)
    by_place = {m.address: m for m in POOL}
    assert {by_place[p].zone for p in before.values()} == {"z0"}
    assert firsts([m for m in POOL if m.zone != "z1"], here) == before
    left = [m for m in POOL if m.zone != "z0"]
    assert {by_place[p].zone for p in firsts(left, here).values()} == {"z1"}


def test_kept_orders_are_what_working_out_anew_gives() -> None:
    pool, keys = Pool(), [caller_key(c.encode()) for c in CALLERS[:100]]
    members = [Member(f"p{n}", 1 + n % 5, "z", f"r{n % 2}") for n in range(40)]
    for step in range(60):
        at = step * 7 % 40
        if step % 3 == 0 and len(members) > 20:
            members = members[:at] + members[at + 1 :]
        elif step % 3 == 1:
            members = [*members, Member(f"n{step}", 3, "z", "r0")]
        else:
            first = members[at % len(members)]
            members = [replace(m, share=step % 4 / 3) if m == first else m for m in members]
        pool.set_members(members)
        for homes in (None, frozenset(["r0"])):
            for key in keys[step % 2 :: 2]:
                kept = pool.view(homes, NO_ORIGIN).ranking(key)
                assert list(kept) == rank_members(key, members, homes=homes)[: len(kept)]
                assert len(kept) >= 2


def test_a_share_grows_in_steps_from_when_it_is_warm() -> None:
    assert warm_up_share(10.0, 16.0, 9.0) == (0.0, 10.0)
    assert warm_up_share(10.0, 16.0, 10.0) == (1 / 16, 11.0)
    assert warm_up_share(10.0, 16.0, 25.5)[0] == warm_up_share(10.0, 16.0, 99.0)[0] == 1.0


def test_a_caller_and_a_change_are_explained() -> None:
    out = {rank_members(caller_key(b"x"), POOL)[0][2]: "can't be reached"}
    told = explain_caller("x", POOL, homes={"r0"}, unavailable=out)
    assert told["goes_to"] == next(line["place"] for line in told["order"] if not line["passed_over"])
    assert all(why == "outside the homes" for why in told["not_in_order"].values())
    assert sum(line["part"] for line in told["order"]) == pytest.approx(1.0, abs=1e-4)
    assert explain_caller("x", [])["goes_to"] is None
    told = plan_change(POOL, POOL[1:])
    assert set(told["why"]) == {"its place is gone"} and told["places"][POOL[0].address]["come"] == 0
    assert least_movement({"a": 1, "b": 1}, {"a": 1, "b": 1, "c": 2}) == 0.5


VECTOR = {
    b"": "4 7 8 1 2 3 0 5 6 9",
    b"member-1": "6 2 7 5 9 0 8 1 4 3",
    b"\xff\x00": "5 2 9 1 8 6 4 7 0 3",
}
VERSION = "a378d864d14e4b65"
SERVICES = "acbbbbaabcac"
