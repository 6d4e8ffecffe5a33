"""The states that an agent reports for the ways in which a process can end."""

from __future__ import annotations

import os
import signal

from tests.agent.harness import SHORT_LIMITS, FleetHarness, details, outcomes, wait_until


def test_each_kind_of_process_end_has_its_own_state(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("calm")
    host.fake_gateway("deaf", "ignore-sigterm")
    host.fake_gateway("broken", "exit:3", SHORT_LIMITS.replace("pause", "crashes: 2, pause"))
    host.fake_gateway("shaky", "crash:0.3", SHORT_LIMITS.replace("pause", "crashes: 2, pause"))
    host.fake_gateway("shot", "slow:5")
    fleet.start().ready("h1/calm", "h1/deaf", "h1/shot")
    host.wait("broken", "crash-looping")
    host.wait("shaky", "crash-looping")
    instances = {s.name: s for s in host.listing().instances}
    assert instances["broken"].end == "failed-start"
    # A process that ends before the agent has looked at it once is told of in other words.
    assert instances["broken"].end_detail in ("code 3", "it ended at once with code 3")
    assert (instances["shaky"].end, instances["shaky"].end_detail) == ("crashed", "code 7")

    tool = fleet.tool_process("stop", "calm", "deaf", "shot")
    host.wait("shot", "draining")
    os.kill(host.pid("shot"), signal.SIGKILL)
    code = tool.wait(20)
    assert code == 3
    states = {name: host.state(name) for name in ("calm", "deaf", "shot")}
    assert states == {"calm": "stopped", "deaf": "forced", "shot": "lost-in-drain"}


def test_drain_waits_the_full_limit_before_killing(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("deaf", "ignore-sigterm")
    fleet.start().ready("h1/deaf")
    code, report = fleet.tool("stop", "deaf")
    assert (code, outcomes(report)) == (3, {"h1/deaf": "failed"})
    assert details(report)["h1/deaf"] == "forced: signal 9"
    events = {e.kind: e for e in fleet.events("h1")}
    # At least 3 s whatever the drain limit, and 0.7 s of margin, to answer accepted requests.
    assert 3.7 <= events["killing"].at - events["draining"].at < 5.0


def test_killed_process_is_restarted_and_reported_as_killed(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    first = host.pid("g1")
    os.kill(first, signal.SIGKILL)
    wait_until(lambda: host.pid("g1") not in (0, first), "the instance has a new process")
    host.wait("g1", "ready")
    instance = host.listing().instances[0]
    assert (instance.end, instance.end_detail, instance.launch) == ("killed", "signal 9", 2)


def test_instance_silent_while_draining_is_not_reported_done(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1", "unresponsive:30", SHORT_LIMITS.replace('drain: "1s"', 'drain: "30s"'))
    fleet.start().ready("h1/g1")
    code, report = fleet.tool("drain", "g1", "--limit", "2s")
    assert code == 3
    assert outcomes(report) == {"h1/g1": "failed"}
    detail = details(report)["h1/g1"]
    assert detail.startswith("still draining+silent when its time was over, last answered ")
    assert host.state("g1") == "draining+silent"
    code, output = fleet.tool("list")
    (item,) = output["instances"]
    assert item["state"] == "draining+silent" and item["status"]["answered_at"] > 0


def test_reload_signals_the_process_and_start_restarts_a_stopped_one(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    assert fleet.tool("reload", "g1")[0] == 0
    log = host.folder / "log" / "g1.log"
    wait_until(lambda: "hup" in log.read_text(), "the process has received SIGHUP")
    assert fleet.tool("stop", "g1")[0] == 0
    code, report = fleet.tool("reload", "g1")
    assert code == 3 and "only a running one can reload" in details(report)["h1/g1"]
    code, report = fleet.tool("start", "g1")
    assert (code, details(report)) == (0, {"h1/g1": "ready"})
