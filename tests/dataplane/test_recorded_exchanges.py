"""Plays every recorded exchange against a gateway; each file states which failure it guards against."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.dataplane.player import FOLDER, Player, play


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda path: path.stem)
def test_exchange(path: Path) -> None:
    assert path.read_text().startswith("# "), "the first line states the failure it guards against"
    play(path)


def test_lease_proof_and_quota_times_follow_the_deployment_bounds() -> None:
    """Shares are held as long as a lease, proofs are frequent enough, and a quota window is waited out."""
    default, other = Player().node, Player("revokeS=2", "quotaWindowS=9", "revocationEnforced=true").node
    assert (
        default.dispatcher.hold_s,
        default.subscription.proof_interval,
        default.established_at - default.started_at,
    ) == (4.0, 0.8, 5.0)
    assert other.dispatcher.hold_s == pytest.approx(1.3)
    assert other.subscription.proof_interval <= other.lease.duration_s / 5
    assert other.established_at - other.started_at == 9.0
    without_leases = Player("revocationEnforced=false").node
    assert without_leases.dispatcher.hold_s == 4.0 and without_leases.subscription.proof_interval == 0.8
