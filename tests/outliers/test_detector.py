"""When gateways turn from a server on each other's word, and when not."""

from __future__ import annotations

from random import Random

import pytest

from barleyhub.line.balancer import Balancer, Upstream, UpstreamState
from barleyhub.line.outliers import (
    FailureEvidence,
    FailureReporter,
    OutlierDetector,
    failure_share,
    summarize,
)


def seen(bad: float, tries: float, *who: str) -> FailureEvidence:
    return FailureEvidence(bad, tries, frozenset(who), int(bool(who)))


def test_one_gateway_s_word_turns_nobody() -> None:
    """Its way may be the fault; it turns away by its own count."""
    assert failure_share({"a": seen(9, 9, "g1")}, "a") == 0.0
    assert failure_share({"a": seen(9, 18, "g1", "g2")}, "a") > 0.4


def test_the_own_zone_goes_first() -> None:
    """A server may fail for callers of one zone only: those of the others are not turned from it."""
    one_zone = {"a": seen(9, 20, "g1", "g2"), "b": seen(0, 20), "c": seen(0, 0)}
    assert failure_share(one_zone, "a") > 0.3
    assert failure_share(one_zone, "b") == failure_share(one_zone, "c") == 0.0
    both = one_zone | {"b": seen(4, 9, "g3")}
    # Two zones have seen it: one that hardly sends there is warned, too.
    assert failure_share(both, "c") > 0.3
    for zone in "abc":
        assert failure_share(summarize(both, zone), zone) == pytest.approx(failure_share(both, zone))


def test_failures_that_happen_anyway_turn_nobody() -> None:
    assert failure_share({"a": seen(2, 40, "g1", "g2"), "b": seen(1, 40, "g3")}, "a") == 0.0


def test_no_more_than_a_third_of_a_service_is_turned_from_and_none_is_barred() -> None:
    examiner = OutlierDetector("a")
    stock = Balancer("g0", "a", "a", Random(1), 1.5)
    idents = [f"s{i}" for i in range(9)]
    for i, ident in enumerate(idents):
        stock.put(Upstream(ident, "pool", "h", 1, "a", "a", 6, UpstreamState.READY), 0.0)
        examiner.learn(ident, {"a": seen(5 + i, 20, "g1", "g2")}, 0.0)
    stock.outlier_shares = examiner.failure_shares({"pool": idents}, 0.0)
    assert sorted(stock.outlier_shares) == ["s6", "s7", "s8"]
    first = {stock.pick("pool", "r", None, (), 0.0, 0.3).ident for _ in range(50)}  # type: ignore[union-attr]
    assert not first & stock.outlier_shares.keys()
    # With nothing else left, they serve.
    left = stock.pick("pool", "r", None, idents[:6], 0.0, 0.3)
    assert left is not None and left.ident in stock.outlier_shares


def test_evidence_fades_and_is_forgotten() -> None:
    examiner = OutlierDetector("a")
    examiner.learn("s1", {"a": seen(4, 8, "g1", "g2")}, 0.0)
    assert examiner.failure_shares({"pool": ["s1", "s2", "s3"]}, 0.0)
    assert not examiner.failure_shares({"pool": ["s1", "s2", "s3"]}, 9.0)
    assert examiner.expire(5.0) == [] and examiner.expire(15.0) == ["s1"]


def test_a_witness_tells_of_servers_in_question_only_and_how_often_they_served() -> None:
    witness = FailureReporter()
    for _ in range(3):
        witness.record("s1", False, 0.0)
        witness.record("s2", False, 0.0)
    assert not witness.take_report(0.0)
    witness.record("s1", True, 0.0)
    assert witness.urgent and witness.take_report(0.0) == [("s1", 1.0, 4.0)] and not witness.urgent
    assert not witness.take_report(0.0)
    # Others saw s2 fail: what is known of it here is told, though it is good.
    witness.suspect(["s2", "s3"])
    assert witness.take_report(0.0) == [("s2", 0.0, 3.0)]
    witness.expire(1.0, ["s2"])
    witness.record("s2", False, 1.0)
    assert not witness.take_report(1.0)
    witness.expire(60.0)
    assert not witness.counts
