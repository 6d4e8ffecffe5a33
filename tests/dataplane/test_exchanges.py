"""Every recorded exchange is played against the data plane; each says what it guards against."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.dataplane.player import FOLDER, Player, play


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda path: path.stem)
def test_exchange(path: Path) -> None:
    assert path.read_text().startswith("# "), "it says what it guards against"
    play(path)


def test_times_follow_the_bounds_of_the_deployment() -> None:
    """Parts are held as long as a lease is, proofs come often enough, a quota's window is waited out."""
    usual, other = Player().node, Player("revokeS=2", "quotaWindowS=9", "revocationEnforced=true").node
    assert (
        usual.dispatcher.holds,
        usual.subscription.proof_interval,
        usual.established_at - usual.started_at,
    ) == (4.0, 0.8, 5.0)
    assert other.dispatcher.holds == pytest.approx(1.3)
    assert other.subscription.proof_interval <= other.lease.lasts / 5
    assert other.established_at - other.started_at == 9.0
    unclosed = Player("revocationEnforced=false").node
    assert unclosed.dispatcher.holds == 4.0 and unclosed.subscription.proof_interval == 0.8
