"""Rollouts on the real data plane and control plane in a simulated day, with concurrent operator changes."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import msgspec
import pytest

from latchspoke.lab.system import scenario
from latchspoke.lab.system.day import DayResult, run_day
from latchspoke.lab.system.rules import judge
from latchspoke.lab.system.scenario import Day, Deployment, Service, Trouble

SHORES = Path(__file__).parents[2] / "examples" / "system" / "two-shores.toml"
ROLLOUT = Trouble(1.0, "rollout", x=12.0, lasts=60.0, where="reading")


def shores(length: float, *speeds: float) -> Deployment:
    """The example deployment, with a second service for one kind of request."""
    deployment = scenario.read_deployment(SHORES)
    (first, *others) = deployment.kinds
    services = [*deployment.services, Service("meters-2", {"quay": 3, "hill": 3}, speeds=speeds or (1.0,))]
    kinds = [msgspec.structs.replace(first, also="meters-2"), *others]
    return msgspec.structs.replace(deployment, length=length, services=services, kinds=kinds)


def operator_events(played: DayResult, code: str) -> list[dict[str, object]]:
    return [
        fields for _, who, event, fields in played.record.log_events if (who, event) == ("operator", code)
    ]


def share_of_new_service(played: DayResult, since: float, until: float) -> float:
    """Share of the requests of this kind that ran on the new service."""
    path = [
        a for a in played.record.arrivals if since <= a.at < until and a.service in ("meters", "meters-2")
    ]
    return Counter(a.service for a in path)["meters-2"] / max(len(path), 1)


def test_a_healthy_rollout_completes_during_unrelated_operator_changes() -> None:
    changes = tuple(Trouble(9.0 + 4.1 * n, "change", how="idle") for n in range(10))
    played = run_day(
        shores(84.0), Day(4, (ROLLOUT, *changes, Trouble(20.0, "kill", lasts=2.0, how="leader")))
    )
    assert [t["share"] for t in operator_events(played, "rollout-stands")] == [10.0, 50.0, 100.0]
    assert [t["outcome"] for t in operator_events(played, "rollout-ends")] == ["done"]
    assert (
        not judge(played) and share_of_new_service(played, played.traffic_end - 5, played.traffic_end) == 1.0
    )


@pytest.mark.parametrize("how", ["fails", "is late"])
def test_a_rollout_to_faulty_servers_is_rolled_back(how: str) -> None:
    """The new servers report healthy and all are equally faulty, so outlier detection cannot avoid them."""
    sick = Trouble(0.5, "grey", how="errors", x=0.6, count=6, lasts=60.0, where="meters-2")
    if how == "fails":
        played = run_day(shores(60.0), Day(4, (ROLLOUT, sick)))
    else:
        played = run_day(shores(40.0, 7.0), Day(4, (ROLLOUT,)))
    (end,) = operator_events(played, "rollout-ends")
    assert end["outcome"] == "turned-back" and how in str(end["why"])
    assert (
        not judge(played) and share_of_new_service(played, played.traffic_end - 5, played.traffic_end) == 0.0
    )
    owed = [w for w in played.record.requests if w.status not in (401, 404)]
    assert sum(w.earned for w in owed) / sum(w.worth for w in owed) > 0.93
