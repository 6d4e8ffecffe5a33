"""Concurrent operators, and crashes of tools and agents: claims hold, and no step is carried out twice."""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import subprocess
import sys
from collections import Counter

import pytest

from latchspoke.agent.client import RefusedError
from latchspoke.fleet import wire
from tests.agent.harness import SHORT_LIMITS, FleetHarness, ask, details, gather_all, outcomes, wait_until

SLOW = SHORT_LIMITS.replace('drain: "1s"', 'drain: "10s"')


def launches(fleet: FleetHarness, host: str) -> Counter[str]:
    return Counter(e.instance for e in fleet.events(host) if e.kind == "spawned")


def test_only_one_of_two_concurrent_operators_may_act(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1", "slow:1")
    fleet.start().ready("h1/g1")
    tools = [fleet.tool_process("restart", "g1", "--reason", text) for text in ("one", "two")]
    outputs = [tool.communicate(timeout=30)[0] for tool in tools]
    reports = sorted((json.loads(text) for text in outputs), key=lambda r: r["state"])
    assert [r["state"] for r in reports] == ["done", "refused"]
    winner, loser = reports
    assert outcomes(loser) == {"h1/g1": "not begun"}
    # The refusal names the holder, its operation and the time of the claim.
    assert winner["operation"] in loser["detail"] and " holds it for " in loser["detail"]
    assert " since 1" in loser["detail"]
    assert launches(fleet, "h1")["g1"] == 2  # the first start and one restart
    assert {e.operation for e in fleet.events("h1") if e.kind == "step-begun"} == {winner["operation"]}


def test_late_step_under_an_expired_claim_is_refused(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    first = ask(host, lambda f: f.clients["h1"].claim(["g1"], "op-1", 0.3))

    def try_claim() -> bool:
        try:
            tokens.append(ask(host, lambda f: f.clients["h1"].claim(["g1"], "op-2", 30.0)))
        except RefusedError as e:
            assert e.problem.claim is not None and e.problem.claim.operation == "op-1"
            return False
        return True

    tokens: list[dict[str, int]] = []
    wait_until(try_claim, "the claim has expired")
    assert tokens[0]["g1"] > first["g1"]
    late = wire.StepRequest("op-1", "g1", "drain", first["g1"])
    with pytest.raises(RefusedError, match="not the newest"):
        ask(host, lambda f: f.clients["h1"].step(late))
    assert host.state("g1") == "ready"
    assert "step-refused" in {e.kind for e in fleet.events("h1")}


def test_repeated_step_request_is_carried_out_once(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    token = ask(host, lambda f: f.clients["h1"].claim(["g1"], "op-1", 30.0))["g1"]
    request = wire.StepRequest("op-1", "g1", "restart", token)
    step_infos = ask(host, lambda f: gather_all(*(f.clients["h1"].step(request) for _ in range(10))))
    assert {info.since for info in step_infos} == {step_infos[0].since}
    wait_until(lambda: launches(fleet, "h1")["g1"] == 2, "the instance is restarted")
    host.wait("g1", "ready")
    again = ask(host, lambda f: f.clients["h1"].step(request))
    assert again.state == "done" and launches(fleet, "h1")["g1"] == 2


def test_resumed_roll_repeats_no_step(fleet: FleetHarness) -> None:
    names = [f"g{i}" for i in range(4)]
    for host in ("h1", "h2"):
        agent_host = fleet.host(host)
        for name in names[:2] if host == "h1" else names[2:]:
            agent_host.fake_gateway(name, "slow:0.6")
    fleet.start().ready("h1/g0", "h1/g1", "h2/g2", "h2/g3")
    tool = fleet.tool_process("roll", "--all", "--reason", "new binary")
    wait_until(lambda: launches(fleet, "h1")["g0"] == 2, "the first instance is restarted")
    fleet.hosts["h1"].wait("g1", "draining")
    tool.send_signal(signal.SIGKILL)
    tool.wait()
    _, output = fleet.tool("operations")
    (operation,) = output["operations"]
    ident = operation["plan"]["id"]
    assert operation["agents"] == {"h1": "open", "h2": "open"}

    code, report = fleet.tool("resume", ident)
    assert (code, report["state"]) == (0, "done")
    assert set(outcomes(report).values()) == {"done"} and len(report["instances"]) == 4
    assert launches(fleet, "h1") + launches(fleet, "h2") == Counter(dict.fromkeys(names, 2))
    code, text = fleet.tool("resume", ident)
    assert code == 1 and "is done already" in text


def test_interrupted_roll_reports_all_instances_and_stays_open(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1", "slow:2")
    host.fake_gateway("g2", "slow:2")
    fleet.start().ready("h1/g1", "h1/g2")
    tool = fleet.tool_process("roll", "--all")
    host.wait("g1", "draining")
    tool.send_signal(signal.SIGINT)
    output, _ = tool.communicate(timeout=10)
    report = json.loads(output)
    assert report["state"] == "interrupted" and tool.returncode == 4
    assert outcomes(report) == {"h1/g1": "unknown", "h1/g2": "not begun"}
    assert "still under way: draining" in details(report)["h1/g1"]
    assert f"resume {report['operation']}" in report["detail"]


def test_restarted_agent_finds_its_gateways_and_keeps_the_kill_deadline(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    # Long enough for the agent to restart before the deadline, also on a busy machine.
    host.fake_gateway("g1", "ignore-sigterm", SHORT_LIMITS.replace('drain: "1s"', 'drain: "10s"'))
    host.fake_gateway("g2")
    fleet.start().ready("h1/g1", "h1/g2")
    pids = {name: host.pid(name) for name in ("g1", "g2")}
    tool = fleet.tool_process("drain", "--all")
    host.wait("g1", "draining")
    kill_at = next(s.kill_at for s in host.listing().instances if s.name == "g1")
    host.kill()
    host.start()
    instances = {s.name: s for s in host.listing().instances}
    # The same processes and the same kill deadline.
    assert (instances["g1"].pid, instances["g2"].pid) == (pids["g1"], pids["g2"])
    assert instances["g1"].kill_at == kill_at
    report = json.loads(tool.communicate(timeout=30)[0])
    assert outcomes(report) == {"h1/g1": "failed", "h1/g2": "done"}
    assert details(report)["h1/g1"].startswith("forced")
    killing = next(e for e in fleet.events("h1") if e.kind == "killing")
    assert killing.at >= kill_at and killing.at - kill_at < 3.0
    assert launches(fleet, "h1") == {"g1": 1, "g2": 1}


def test_exits_during_an_agent_outage_are_known_afterwards(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("clean", "slow:0.3", SLOW)
    host.fake_gateway("shot")
    fleet.start().ready("h1/clean", "h1/shot")
    tool = fleet.tool_process("stop", "clean")
    host.wait("clean", "draining")
    pid = host.pid("shot")
    host.kill()
    tool.kill()
    tool.communicate()
    os.kill(pid, signal.SIGKILL)
    exits = [host.folder / "run" / name / "1" / "exit" for name in ("clean", "shot")]
    wait_until(lambda: all(path.exists() for path in exits), "both processes have ended")
    host.start()
    instances = {s.name: (s.state, s.end) for s in host.listing().instances}
    assert instances["clean"] == ("stopped", "clean")
    assert instances["shot"][1] == "killed"
    host.wait("shot", "ready")


def test_reused_pid_is_not_taken_for_a_gateway(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    pid = host.pid("g1")
    host.kill()
    os.kill(pid, signal.SIGKILL)
    wait_until(lambda: (host.folder / "run/g1/1/exit").exists(), "the process has ended")
    # Simulates reuse of the PID by another process: the test itself.
    db = sqlite3.connect(host.folder / "agent.db")
    (body,) = db.execute("SELECT body FROM instances WHERE name = 'g1'").fetchone()
    changed = json.loads(body) | {"pid": os.getpid()}
    db.execute("UPDATE instances SET body = ?", (json.dumps(changed),))
    db.commit()
    db.close()
    host.start()
    host.wait("g1", "ready")
    instance = host.listing().instances[0]
    assert instance.launch == 2 and instance.pid not in (os.getpid(), pid)


def test_second_agent_on_the_same_folder_is_refused(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    result = subprocess.run(
        [sys.executable, "-m", "latchspoke", "agent", "--config", str(host.file)],
        capture_output=True, text=True, timeout=20, check=False,
    )  # fmt: skip
    assert result.returncode == 1 and "another agent holds" in result.stderr
    assert host.state("g1") == "ready"
