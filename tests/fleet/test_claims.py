"""Claims: one holder at a time, tokens that only grow, and an end by themselves."""

from __future__ import annotations

import random

import pytest

from latchspoke.fleet.claims import NO_CLAIMS, ClaimRefusedError, acquire, check_token, release, renew


def test_the_second_is_told_who_what_and_since_when() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    with pytest.raises(ClaimRefusedError) as refused:
        acquire(claims, ["g1"], "second", "op-2", 30.0, 110.0)
    assert refused.value.claim is not None
    held = refused.value.claim
    assert (held.holder, held.operation, held.since) == ("first", "op-1", 100.0)


def test_all_or_none() -> None:
    claims = acquire(NO_CLAIMS, ["g2"], "first", "op-1", 30.0, 100.0)
    with pytest.raises(ClaimRefusedError):
        acquire(claims, ["g1", "g2", "g3"], "second", "op-2", 30.0, 101.0)
    assert set(claims) == {"g2"}


def test_a_dead_holder_loses_it_and_its_late_step_is_refused() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    claims = acquire(claims, ["g1"], "second", "op-2", 30.0, 130.0)
    with pytest.raises(ClaimRefusedError, match="not the newest"):
        check_token(claims, "g1", 1, 131.0)
    assert check_token(claims, "g1", 2, 131.0).holder == "second"


def test_a_lapsed_claim_is_neither_used_nor_renewed() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    for late in (lambda: check_token(claims, "g1", 1, 130.0), lambda: renew(claims, {"g1": 1}, 30.0, 130.0)):
        with pytest.raises(ClaimRefusedError, match="expired"):
            late()
    assert check_token(renew(claims, {"g1": 1}, 30.0, 129.0), "g1", 1, 158.0).token == 1


def test_going_on_with_an_operation_shuts_out_the_tool_that_began_it() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    claims = acquire(claims, ["g1"], "first", "op-1", 30.0, 101.0)
    with pytest.raises(ClaimRefusedError, match="not the newest"):
        check_token(claims, "g1", 1, 102.0)


def test_another_operator_does_not_take_over_a_live_operation() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    with pytest.raises(ClaimRefusedError):
        acquire(claims, ["g1"], "second", "op-1", 30.0, 101.0)


def test_a_token_never_comes_again() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    claims = release(claims, {"g1": 1})
    with pytest.raises(ClaimRefusedError, match="released"):
        check_token(claims, "g1", 1, 101.0)
    claims = acquire(claims, ["g1"], "first", "op-1", 30.0, 102.0)
    assert claims["g1"].token == 2
    assert not release(claims, {"g1": 1})["g1"].released  # an old token gives nothing back


def test_a_lease_is_bounded() -> None:
    for ttl in (0.0, -1.0, 121.0):
        with pytest.raises(ValueError, match="claim lasts"):
            acquire(NO_CLAIMS, ["g1"], "first", "op", ttl, 0.0)


def test_at_most_one_holds_through_any_mix() -> None:
    for seed in range(200):
        draw, claims, now, held = random.Random(seed), NO_CLAIMS, 0.0, dict[str, tuple[int, float]]()
        for _ in range(60):
            now += draw.choice((0.0, 1.0, 7.0))
            who = draw.choice("abc")
            try:
                match draw.choice(("acquire", "renew", "release", "step")):
                    case "acquire":
                        claims = acquire(claims, ["g"], who, f"op-{who}", 10.0, now)
                        held[who] = (claims["g"].token, now)
                    case "renew":
                        claims = renew(claims, {"g": held.get(who, (0, 0.0))[0]}, 10.0, now)
                    case "release":
                        claims = release(claims, {"g": held.get(who, (0, 0.0))[0]})
                    case "step":
                        check_token(claims, "g", held.get(who, (0, 0.0))[0], now)
                        newest = max(held.values())[0]
                        assert held[who][0] == newest, f"seed {seed}: a step under an old token"
            except ClaimRefusedError:
                pass
