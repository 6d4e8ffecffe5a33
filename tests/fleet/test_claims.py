"""Claims: one holder at a time, increasing fencing tokens, and expiry."""

from __future__ import annotations

import random

import pytest

from latchspoke.fleet.claims import NO_CLAIMS, ClaimRefusedError, acquire, check_token, release, renew


def test_refusal_names_holder_operation_and_start() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    with pytest.raises(ClaimRefusedError) as refused:
        acquire(claims, ["g1"], "second", "op-2", 30.0, 110.0)
    assert refused.value.claim is not None
    held = refused.value.claim
    assert (held.holder, held.operation, held.since) == ("first", "op-1", 100.0)


def test_acquire_claims_all_instances_or_none() -> None:
    claims = acquire(NO_CLAIMS, ["g2"], "first", "op-1", 30.0, 100.0)
    with pytest.raises(ClaimRefusedError):
        acquire(claims, ["g1", "g2", "g3"], "second", "op-2", 30.0, 101.0)
    assert set(claims) == {"g2"}


def test_stale_token_is_refused_after_takeover() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    claims = acquire(claims, ["g1"], "second", "op-2", 30.0, 130.0)
    with pytest.raises(ClaimRefusedError, match="not the newest"):
        check_token(claims, "g1", 1, 131.0)
    assert check_token(claims, "g1", 2, 131.0).holder == "second"


def test_expired_claim_is_neither_used_nor_renewed() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    for attempt in (
        lambda: check_token(claims, "g1", 1, 130.0),
        lambda: renew(claims, {"g1": 1}, 30.0, 130.0),
    ):
        with pytest.raises(ClaimRefusedError, match="expired"):
            attempt()
    assert check_token(renew(claims, {"g1": 1}, 30.0, 129.0), "g1", 1, 158.0).token == 1


def test_resumed_operation_fences_off_its_earlier_tool() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    claims = acquire(claims, ["g1"], "first", "op-1", 30.0, 101.0)
    with pytest.raises(ClaimRefusedError, match="not the newest"):
        check_token(claims, "g1", 1, 102.0)


def test_other_holder_cannot_take_over_a_live_operation() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    with pytest.raises(ClaimRefusedError):
        acquire(claims, ["g1"], "second", "op-1", 30.0, 101.0)


def test_token_is_not_reused_after_release() -> None:
    claims = acquire(NO_CLAIMS, ["g1"], "first", "op-1", 30.0, 100.0)
    claims = release(claims, {"g1": 1})
    with pytest.raises(ClaimRefusedError, match="released"):
        check_token(claims, "g1", 1, 101.0)
    claims = acquire(claims, ["g1"], "first", "op-1", 30.0, 102.0)
    assert claims["g1"].token == 2
    assert not release(claims, {"g1": 1})["g1"].released  # a stale token releases nothing


def test_ttl_is_bounded() -> None:
    for ttl in (0.0, -1.0, 121.0):
        with pytest.raises(ValueError, match="claim lasts"):
            acquire(NO_CLAIMS, ["g1"], "first", "op", ttl, 0.0)


def test_steps_only_pass_under_the_newest_token() -> None:
    for seed in range(200):
        random_source, claims, now, tokens = (
            random.Random(seed),
            NO_CLAIMS,
            0.0,
            dict[str, tuple[int, float]](),
        )
        for _ in range(60):
            now += random_source.choice((0.0, 1.0, 7.0))
            holder = random_source.choice("abc")
            try:
                match random_source.choice(("acquire", "renew", "release", "step")):
                    case "acquire":
                        claims = acquire(claims, ["g"], holder, f"op-{holder}", 10.0, now)
                        tokens[holder] = (claims["g"].token, now)
                    case "renew":
                        claims = renew(claims, {"g": tokens.get(holder, (0, 0.0))[0]}, 10.0, now)
                    case "release":
                        claims = release(claims, {"g": tokens.get(holder, (0, 0.0))[0]})
                    case "step":
                        check_token(claims, "g", tokens.get(holder, (0, 0.0))[0], now)
                        newest = max(tokens.values())[0]
                        assert tokens[holder][0] == newest, f"seed {seed}: a step under a stale token"
            except ClaimRefusedError:
                pass
