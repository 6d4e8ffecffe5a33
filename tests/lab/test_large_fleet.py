"""Forty real gateways and sixty simulated nodes in virtual time: limits hold summed over the fleet."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from latchspoke.lab.experiment import read_experiment
from latchspoke.lab.loopback.run import RunResult
from latchspoke.lab.node import NodeModel, NodeSettings
from latchspoke.lab.virtual_run import play

SEED = 5
SHORT_DURATION_S = 14.0


def run(name: str) -> tuple[RunResult, Counter[str]]:
    experiment = msgspec.structs.replace(read_experiment(f"examples/{name}.cue"), duration=SHORT_DURATION_S)
    result, total = play(experiment, name, SEED), Counter[str]()
    for stats in result.stats:
        total.update(stats)
    print(name, "seed", SEED, total)
    return result, total


@pytest.mark.parametrize("name", ["zone-back-cold", "servers-replaced"])
def test_limits_hold_when_much_of_a_large_fleet_restarts_at_once(name: str) -> None:
    result, total = run(name)
    ended = sum(total[f"flows.{outcome}"] for outcome in ("served", "refused", "failed", "withdrawn"))
    assert total["flows.taken"] == ended > 5000  # every request has exactly one final response
    assert result.overloaded_nodes == []
    assert result.use["duza"].over_ceiling == 0
    # Without subsetting, every gateway connects to every node and opens far more connections.
    assert total["targets.opened"] < 0.33 * total["forwards.sent"]
    assert result.peak_connections <= 48  # limit of a node: 64
    assert total["counter.calls"] < 1.5 * total["flows.taken"]


def test_a_node_overloaded_during_warm_up_rejects_requests_until_it_restarts() -> None:
    node = NodeModel(
        NodeSettings(cores=2.0, cold_speed=0.2, warm_up_time=15.0, queue_limit=1000), started=0.0
    )
    # 0.2 of two cores for 3 s is 1.2 s of work; the overload threshold is 2.5 times that, 3 s.
    assert all(node.arrive(k, 0.1, 0.0) for k in range(29))
    assert not all(node.arrive(100 + k, 0.1, 0.1) for k in range(5))
    assert node.overloaded
    node.restart(20.0)
    assert node.arrive("again", 0.1, 20.0)
