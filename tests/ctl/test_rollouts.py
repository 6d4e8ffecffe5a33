"""``ctl rollout``: its output, exit codes and calls, against a stand-in of a whole system."""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from latchspoke.configuration import apply_patch
from latchspoke.ctl import app, callers, rollouts
from latchspoke.ctl.callers import Reply
from latchspoke.rollouts.drill import Service, SimulatedEnvironment
from tests.ctl.world import CONFIGURATION

PLAN = "route: r-read\nfrom: books\nto: till\nsteps: [10, 100]\n"


class System(SimulatedEnvironment):
    """One control machine and two gateways, which may be silent; ``lost`` answers to orders get lost."""

    def __init__(self, sick: float = 0.0) -> None:
        super().__init__(100, Service(0.0), Service(sick), 1)
        self.services = {"books": self.services["old"], "till": self.services["new"], **self.services}
        self.doc = json.loads(json.dumps(CONFIGURATION))
        self.able, self.lost, self.silent = ["books", "till"], 0, False
        self.orders: list[dict[str, Any]] = []

    def ask(self, address: callers.Address, method: str, target: str, body: bytes) -> Result[Reply, str]:
        code: int | None = 200
        if target == "/status":
            ready = {"state": "ready", "silent": False, "zone": "a"}
            told: Any = {
                "servers": [{"service": service, **ready} for service in self.able],
                "evacuated": [], "members": [
                    {"name": f"g{n}", "role": "edge", "status": f"127.0.0.{n}:8201"} for n in (1, 2)
                ],
            }  # fmt: skip
        elif target.endswith("configuration.read"):
            told = self.doc
        elif target.endswith("configuration.modify"):
            code, told = self.modify(json.loads(body))
        elif target.startswith("/reach?since="):
            found = self.collect_evidence(float(target.partition("=")[2]))
            assert found is not None
            rows = []
            for name in ("books", "till"):
                ran = found.counts_for(name)
                ends = {"ok": ran.requests - ran.failed, "error": ran.failed, "times": {}}
                rows.append({"service": name, "routes": {"r-read": ends}})
            code, told = None if self.silent else 200, {"servers": rows if address[0] == "127.0.0.1" else []}
        else:
            raise AssertionError(target)
        if code is None:
            return Failure("no answer")
        raw = json.dumps(told).encode()
        return Success(Reply(code, told, raw, f"{address[0]}:{address[1]}"))

    def modify(self, patch: dict[str, Any]) -> tuple[int | None, Any]:
        self.orders.append(patch)
        if patch["version"] != self.doc["version"]:  # else the very same, sent again
            if patch["baseVersion"] != self.doc["version"]:
                return 412, {"errorText": f"{self.doc['version']} is in place"}
            self.doc = apply_patch(self.doc, patch)
        self.lost -= 1
        return (None if self.lost >= 0 else 200), {}


@pytest.fixture
def system(monkeypatch: pytest.MonkeyPatch) -> System:
    made = System()
    monkeypatch.setattr(app, "REQUEST_SENDER", [made.ask])
    monkeypatch.setenv("LATCHSPOKE_CONTROL", "127.0.0.2:8200")
    monkeypatch.setattr("time.sleep", lambda s: None)
    sleep = lambda s: made.wait(made.clock + s)  # noqa: E731
    monkeypatch.setattr(
        rollouts, "LiveEnvironment", partial(rollouts.LiveEnvironment, clock=made.now, sleep=sleep)
    )
    return made


def run(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], word: str, *more: str, plan: str = PLAN
) -> tuple[int, str]:
    (tmp_path / "plan.yaml").write_text(plan)
    code = app.main(["rollout", word, str(tmp_path / "plan.yaml"), *more])
    told = capsys.readouterr()
    return code, told.out + told.err


def test_a_plan_is_followed_and_each_step_told(
    system: System, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    code, told = run(tmp_path, capsys, "check")
    assert (code, told) == (0, "r-read: till has 0%, books the rest; the plan's steps: 10%, 100%\n")
    assert not system.orders
    system.lost = 1  # the first answer
    code, told = run(tmp_path, capsys, "run")
    assert code == 0 and [order["version"] for order in system.orders] == ["00000008"] * 2 + ["00000009"]
    assert "event=rollout-stands route=r-read share=10\n" in told
    assert told.splitlines()[-1] == 'event=rollout-ends route=r-read outcome=done why="till has 100%"'
    code, told = run(tmp_path, capsys, "run", "--json")
    assert code == 0 and json.loads(told.splitlines()[-1])["why"] == "till has 100% already"
    code, told = run(tmp_path, capsys, "back")
    assert code == 0 and "outcome=turned-back" in told
    rule = system.doc["listenerList"][0]["ruleSet"][0]
    assert rule == CONFIGURATION["listenerList"][0]["ruleSet"][0]  # with its time-out and all


def test_a_sick_service_is_turned_back_and_the_exit_code_says_so(
    system: System, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    system.services["till"].failure_rate = 0.3
    code, told = run(tmp_path, capsys, "run")
    assert code == 6 and "fails more often than books" in told and "share=0" in told
    assert system.doc["listenerList"][0]["ruleSet"][0]["actionSpec"]["service"] == "books"


def test_what_cant_be_begun_is_told_in_one_line(
    system: System, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    system.able = ["books"]
    assert run(tmp_path, capsys, "run") == (3, "ctl: to: no server of 'till' is available\n")
    for plan, code, said in (
        (PLAN.replace("till", "mill"), 3, "there is no service 'mill'"),
        (
            PLAN.replace("r-read", "r-all").replace("books", "mill"),
            3,
            "goes to books, not to mill and till alone",
        ),
        (PLAN + "steps: [50, 10]\n", 3, "steps[1]: must be above the previous step"),
        ("route: [", 3, "not valid YAML"),
    ):
        found, told = run(tmp_path, capsys, "check", plan=plan)
        assert found == code and said in told and told.count("\n") == 1
    assert app.main(["rollout", "run", str(tmp_path / "none")]) == 2 and not system.orders


def test_gateways_that_say_nothing_end_a_plan_as_it_says(
    system: System, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    system.silent = True
    code, told = run(tmp_path, capsys, "run", plan=PLAN + "longestS: 60\nunjudged: stay\n")
    assert code == 6 and "outcome=unjudged" in told and "10%" in told
