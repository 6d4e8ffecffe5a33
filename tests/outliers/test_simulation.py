"""Sick servers among many gateways, in virtual time: with and without each other's word."""

from __future__ import annotations

import pytest

from latchspoke.outliers.simulation import Drill, Trouble


@pytest.mark.parametrize("how", ["errors", "one_zone"])
def test_many_gateways_find_a_sick_server_sooner_together(how: str) -> None:
    seeds = (3,)
    print(f"seeds {seeds}")
    sums = {}
    for sharing in (False, True):
        plays = [Drill(84, 75, seed, Trouble(how=how), sharing).play(16.0) for seed in seeds]
        sums[sharing] = plays
    failed = {sharing: sum(s.failed_by_trouble for s in plays) for sharing, plays in sums.items()}
    assert failed[True] < 0.85 * failed[False], failed
    wrong = sum(s.turned for s in sums[True]) / sum(s.pairs for s in sums[True])
    assert wrong < 0.01


def test_calm_days_cost_little_and_turn_hardly_anybody() -> None:
    print("seed 5")
    sums = Drill(36, 36, 5, Trouble(share=0.0)).play(13.0)
    assert sums.turned < 0.005 * sums.pairs and sums.far_bytes / 13 < 3000
