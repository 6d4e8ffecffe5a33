"""Outlier detection from the failure evidence of several gateways."""

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


def evidence(failed: float, attempts: float, *witnesses: str) -> FailureEvidence:
    return FailureEvidence(failed, attempts, frozenset(witnesses), int(bool(witnesses)))


def test_one_witness_is_not_enough() -> None:
    """The cause may be the gateway's own link."""
    assert failure_share({"a": evidence(9, 9, "g1")}, "a") == 0.0
    assert failure_share({"a": evidence(9, 18, "g1", "g2")}, "a") > 0.4


def test_evidence_from_the_own_zone_takes_precedence() -> None:
    """A server may fail for clients of one zone only; those of other zones keep using it."""
    one_zone = {"a": evidence(9, 20, "g1", "g2"), "b": evidence(0, 20), "c": evidence(0, 0)}
    assert failure_share(one_zone, "a") > 0.3
    assert failure_share(one_zone, "b") == failure_share(one_zone, "c") == 0.0
    both_zones = one_zone | {"b": evidence(4, 9, "g3")}
    # Evidence from two zones also counts in a third one.
    assert failure_share(both_zones, "c") > 0.3
    for zone in "abc":
        assert failure_share(summarize(both_zones, zone), zone) == pytest.approx(
            failure_share(both_zones, zone)
        )


def test_insignificant_failures_are_ignored() -> None:
    assert failure_share({"a": evidence(2, 40, "g1", "g2"), "b": evidence(1, 40, "g3")}, "a") == 0.0


def test_at_most_a_third_of_a_service_are_outliers_and_all_stay_eligible() -> None:
    detector = OutlierDetector("a")
    balancer = Balancer("g0", "a", "a", Random(1), 1.5)
    idents = [f"s{number}" for number in range(9)]
    for number, ident in enumerate(idents):
        balancer.put(Upstream(ident, "pool", "h", 1, "a", "a", 6, UpstreamState.READY), 0.0)
        detector.learn(ident, {"a": evidence(5 + number, 20, "g1", "g2")}, 0.0)
    balancer.outlier_shares = detector.failure_shares({"pool": idents}, 0.0)
    assert sorted(balancer.outlier_shares) == ["s6", "s7", "s8"]
    picked = {balancer.pick("pool", "r", None, (), 0.0, 0.3).ident for _ in range(50)}  # type: ignore[union-attr]
    assert not picked & balancer.outlier_shares.keys()
    # Outliers are picked if nothing else is left.
    fallback = balancer.pick("pool", "r", None, idents[:6], 0.0, 0.3)
    assert fallback is not None and fallback.ident in balancer.outlier_shares


def test_evidence_fades_and_expires() -> None:
    detector = OutlierDetector("a")
    detector.learn("s1", {"a": evidence(4, 8, "g1", "g2")}, 0.0)
    assert detector.failure_shares({"pool": ["s1", "s2", "s3"]}, 0.0)
    assert not detector.failure_shares({"pool": ["s1", "s2", "s3"]}, 9.0)
    assert detector.expire(5.0) == [] and detector.expire(15.0) == ["s1"]


def test_only_suspects_are_reported_with_their_successes() -> None:
    reporter = FailureReporter()
    for _ in range(3):
        reporter.record("s1", False, 0.0)
        reporter.record("s2", False, 0.0)
    assert not reporter.take_report(0.0)
    reporter.record("s1", True, 0.0)
    assert reporter.urgent and reporter.take_report(0.0) == [("s1", 1.0, 4.0)] and not reporter.urgent
    assert not reporter.take_report(0.0)
    # Other gateways saw s2 fail, so its successes are reported.
    reporter.suspect(["s2", "s3"])
    assert reporter.take_report(0.0) == [("s2", 0.0, 3.0)]
    reporter.expire(1.0, ["s2"])
    reporter.record("s2", False, 1.0)
    assert not reporter.take_report(1.0)
    reporter.expire(60.0)
    assert not reporter.counts
