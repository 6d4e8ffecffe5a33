"""Simulation of faulty servers and many gateways, with and without shared evidence."""

from __future__ import annotations

import pytest

from latchspoke.outliers.simulation import Fault, Simulation


@pytest.mark.parametrize("kind", ["errors", "one_zone"])
def test_shared_evidence_reduces_failures_of_faulty_servers(kind: str) -> None:
    seeds = (3,)
    print(f"seeds {seeds}")
    results = {}
    for sharing in (False, True):
        runs = [Simulation(84, 75, seed, Fault(kind=kind), sharing).run(16.0) for seed in seeds]
        results[sharing] = runs
    failed = {sharing: sum(run.failed_by_fault for run in runs) for sharing, runs in results.items()}
    assert failed[True] < 0.85 * failed[False], failed
    wrong_fraction = sum(run.wrongly_avoided_samples for run in results[True]) / sum(
        run.healthy_samples for run in results[True]
    )
    assert wrong_fraction < 0.01


def test_sharing_costs_little_without_faults() -> None:
    print("seed 5")
    results = Simulation(36, 36, 5, Fault(server_fraction=0.0)).run(13.0)
    assert (
        results.wrongly_avoided_samples < 0.005 * results.healthy_samples
        and results.cross_region_bytes / 13 < 3000
    )
