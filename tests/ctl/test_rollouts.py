"""``ctl rollout``: output, exit codes and requests, against a simulated system."""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from latchspoke.configuration import apply_patch
from latchspoke.ctl import app, client, common, rollouts
from latchspoke.ctl.client import Reply
from latchspoke.rollouts.drill import Service, SimulatedEnvironment
from tests.ctl.nodes import CONFIGURATION

PLAN = "route: r-read\nfrom: books\nto: till\nsteps: [10, 100]\n"


class FakeSystem(SimulatedEnvironment):
    """One control-plane node and two gateways, which can be silent; ``lost_answers`` answers get lost."""

    def __init__(self, failure_rate: float = 0.0) -> None:
        super().__init__(100, Service(0.0), Service(failure_rate), 1)
        self.services = {"books": self.services["old"], "till": self.services["new"], **self.services}
        self.doc = json.loads(json.dumps(CONFIGURATION))
        self.available, self.lost_answers, self.silent = ["books", "till"], 0, False
        self.patches: list[dict[str, Any]] = []

    def ask(self, address: client.Address, method: str, target: str, body: bytes) -> Result[Reply, str]:
        status: int | None = 200
        if target == "/status":
            ready = {"state": "ready", "silent": False, "zone": "a"}
            content: Any = {
                "servers": [{"service": service, **ready} for service in self.available],
                "evacuated": [], "members": [
                    {"name": f"g{n}", "role": "edge", "status": f"127.0.0.{n}:8201"} for n in (1, 2)
                ],
            }  # fmt: skip
        elif target.endswith("configuration.read"):
            content = self.doc
        elif target.endswith("configuration.modify"):
            status, content = self.modify(json.loads(body))
        elif target.startswith("/reach?since="):
            evidence = self.collect_evidence(float(target.partition("=")[2]))
            assert evidence is not None
            rows = []
            for name in ("books", "till"):
                counts = evidence.counts_for(name)
                outcomes = {"ok": counts.requests - counts.failed, "error": counts.failed, "times": {}}
                rows.append({"service": name, "routes": {"r-read": outcomes}})
            status, content = (
                None if self.silent else 200,
                {"servers": rows if address[0] == "127.0.0.1" else []},
            )
        else:
            raise AssertionError(target)
        if status is None:
            return Failure("no answer")
        raw = json.dumps(content).encode()
        return Success(Reply(status, content, raw, f"{address[0]}:{address[1]}"))

    def modify(self, patch: dict[str, Any]) -> tuple[int | None, Any]:
        self.patches.append(patch)
        if patch["version"] != self.doc["version"]:  # else it is a retry of the same patch
            if patch["baseVersion"] != self.doc["version"]:
                return 412, {"errorText": f"{self.doc['version']} is in place"}
            self.doc = apply_patch(self.doc, patch)
        self.lost_answers -= 1
        return (None if self.lost_answers >= 0 else 200), {}


@pytest.fixture
def system(monkeypatch: pytest.MonkeyPatch) -> FakeSystem:
    made = FakeSystem()
    monkeypatch.setattr(common, "request_sender", made.ask)
    monkeypatch.setenv("LATCHSPOKE_CONTROL", "127.0.0.2:8200")
    monkeypatch.setattr("time.sleep", lambda s: None)
    sleep = lambda s: made.wait(made.clock + s)  # noqa: E731
    monkeypatch.setattr(
        rollouts, "LiveEnvironment", partial(rollouts.LiveEnvironment, clock=made.now, sleep=sleep)
    )
    return made


def run(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], subcommand: str, *arguments: str, plan: str = PLAN
) -> tuple[int, str]:
    (tmp_path / "plan.yaml").write_text(plan)
    code = app.main(["rollout", subcommand, str(tmp_path / "plan.yaml"), *arguments])
    output = capsys.readouterr()
    return code, output.out + output.err


def test_a_plan_runs_to_completion_and_prints_each_step(
    system: FakeSystem, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    code, output = run(tmp_path, capsys, "check")
    assert (code, output) == (0, "r-read: till has 0%, books the rest; the plan's steps: 10%, 100%\n")
    assert not system.patches
    system.lost_answers = 1  # the first answer
    code, output = run(tmp_path, capsys, "run")
    assert code == 0 and [patch["version"] for patch in system.patches] == ["00000008"] * 2 + ["00000009"]
    assert "event=rollout-stands route=r-read share=10\n" in output
    assert output.splitlines()[-1] == 'event=rollout-ends route=r-read outcome=done why="till has 100%"'
    code, output = run(tmp_path, capsys, "run", "--json")
    assert code == 0 and json.loads(output.splitlines()[-1])["why"] == "till has 100% already"
    code, output = run(tmp_path, capsys, "back")
    assert code == 0 and "outcome=turned-back" in output
    rule = system.doc["listenerList"][0]["ruleSet"][0]
    assert rule == CONFIGURATION["listenerList"][0]["ruleSet"][0]  # with its time-out and all


def test_a_failing_service_is_rolled_back_with_exit_code_6(
    system: FakeSystem, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    system.services["till"].failure_rate = 0.3
    code, output = run(tmp_path, capsys, "run")
    assert code == 6 and "fails more often than books" in output and "share=0" in output
    assert system.doc["listenerList"][0]["ruleSet"][0]["actionSpec"]["service"] == "books"


def test_a_plan_that_cannot_start_is_refused_with_one_line(
    system: FakeSystem, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    system.available = ["books"]
    assert run(tmp_path, capsys, "run") == (3, "ctl: to: no server of 'till' is available\n")
    for plan, expected_code, expected in (
        (PLAN.replace("till", "mill"), 3, "there is no service 'mill'"),
        (
            PLAN.replace("r-read", "r-all").replace("books", "mill"),
            3,
            "goes to books, not to mill and till alone",
        ),
        (PLAN + "steps: [50, 10]\n", 3, "steps[1]: must be above the previous step"),
        ("route: [", 3, "not valid YAML"),
    ):
        code, output = run(tmp_path, capsys, "check", plan=plan)
        assert code == expected_code and expected in output and output.count("\n") == 1
    assert app.main(["rollout", "run", str(tmp_path / "none")]) == 2 and not system.patches


def test_silent_gateways_end_a_plan_as_configured(
    system: FakeSystem, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    system.silent = True
    code, output = run(tmp_path, capsys, "run", plan=PLAN + "longestS: 60\nunjudged: stay\n")
    assert code == 6 and "outcome=unjudged" in output and "10%" in output
