"""New versions of a service on the real programs in a simulated day, good and bad, among other faults."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from latchspoke.lab.system import scenario
from latchspoke.lab.system.day import DayResult, run_day
from latchspoke.lab.system.day_record import VersionRollout
from latchspoke.lab.system.rules import judge
from latchspoke.lab.system.scenario import Day, Deployment, Trouble
from latchspoke.lab.system.version_rollouts import BAD_KINDS, draw_versions

RIVERS = Path(__file__).parents[2] / "examples" / "system" / "two-rivers.toml"
DURATION_S = 13.0
LENGTH_S = 20.0


def rivers(length: float = LENGTH_S) -> Deployment:
    return msgspec.structs.replace(scenario.read_deployment(RIVERS), length=length)


def new_version(how: str = "", share: float = 0.5, service: str = "sailings") -> Trouble:
    return Trouble(1.0, "new_version", DURATION_S, x=share, how=how, where=service)


def play(*troubles: Trouble, seed: int = 3) -> tuple[DayResult, VersionRollout]:
    played = run_day(rivers(), Day(seed, troubles))
    [rollout] = played.record.version_rollouts
    assert not judge(played)
    assert rollout.acked_at < rollout.ordered_at + played.deployment.bound("ackS")
    return played, rollout


def unserved(played: DayResult) -> int:
    """Requests for the service that is rolled out which got no good answer."""
    [kind] = [kind.name for kind in played.deployment.kinds if kind.service == "sailings"]
    return sum(
        request.served < 0
        for request in played.record.requests
        if request.kind == kind and request.status not in (401, 404)
    )


def test_good_version_serves_everything_before_its_term() -> None:
    played, rollout = play(new_version())
    assert rollout.ended_state == "completed"
    assert rollout.ended_at <= rollout.ordered_at + DURATION_S
    later = [
        a
        for a in played.record.arrivals
        if a.service == "sailings" and a.at > rollout.ended_at + 0.1 and a.ran
    ]
    assert {arrival.version for arrival in later} == {"v2"}
    assert not unserved(played)  # the old servers stopped at once, with nothing in hand


@pytest.mark.parametrize("how", BAD_KINDS)
def test_bad_version_is_reverted(how: str) -> None:
    played, rollout = play(new_version(how))
    assert rollout.ended_state == "reverted"
    assert rollout.ended_at <= rollout.ordered_at + DURATION_S
    assert unserved(played) < 10


@pytest.mark.parametrize(
    ("how", "fault"),
    [
        ("", Trouble(4.0, "kill", 2.0, how="leader")),
        ("", Trouble(9.0, "freeze", 2.0, count=2, how="edge")),
        ("errors", Trouble(1.2, "power", 2.0, how="leader")),
        ("errors", Trouble(1.5, "freeze", 4.0, count=2, how="edge")),
        ("late", Trouble(5.0, "core_cut", 4.0, how="leader")),
    ],
)
def test_version_is_judged_while_machines_fail(how: str, fault: Trouble) -> None:
    _, rollout = play(new_version(how), fault)
    assert rollout.ended_state == ("reverted" if how else "completed")


@pytest.mark.parametrize("seed", [1, 2])
def test_rollout_survives_a_final_fault(seed: int) -> None:
    kind = ("end_power", "end_wipe")[seed - 1]
    played = run_day(rivers(16.0), Day(seed, (new_version("errors"), Trouble(5.0, kind, 1.0))))
    [rollout] = played.record.version_rollouts
    assert not judge(played) and rollout.ended_state == "reverted"


def test_drawn_days_of_new_versions_break_no_rule() -> None:
    for seed in (1, 2):
        assert judge(run_day(rivers(), draw_versions(rivers(), seed))) == []


def test_fault_in_the_first_second_at_full_share_prevents_completion() -> None:
    """EXPOSURE: with little traffic, nine failures of 92 were too few to revert, and it was completed."""
    deployment = scenario.read_deployment(RIVERS)
    assert judge(run_day(deployment, draw_versions(deployment, 1014))) == []
