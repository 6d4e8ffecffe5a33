"""How processes end, and what their agent calls it."""

from __future__ import annotations

import os
import signal

from tests.agent.world import QUICK, World, details, outcomes, until


def test_five_ends_have_five_words(fleet: World) -> None:
    host = fleet.host("h1")
    host.puppet("calm")
    host.puppet("deaf", "deaf")
    host.puppet("broken", "exit:3", QUICK.replace("pause", "crashes: 2, pause"))
    host.puppet("shaky", "die:0.3", QUICK.replace("pause", "crashes: 2, pause"))
    host.puppet("shot", "slow:5")
    fleet.start().ready("h1/calm", "h1/deaf", "h1/shot")
    host.wait("broken", "crash-looping")
    host.wait("shaky", "crash-looping")
    told = {s.name: s for s in host.listing().instances}
    assert (told["broken"].end, told["broken"].end_detail) == ("failed-start", "code 3")
    assert (told["shaky"].end, told["shaky"].end_detail) == ("crashed", "code 7")

    tool = fleet.tool_process("stop", "calm", "deaf", "shot")
    host.wait("shot", "draining")
    os.kill(host.pid("shot"), signal.SIGKILL)
    code = tool.wait(20)
    assert code == 3
    states = {name: host.state(name) for name in ("calm", "deaf", "shot")}
    assert states == {"calm": "stopped", "deaf": "forced", "shot": "lost-in-drain"}


def test_a_drain_gives_the_deaf_their_whole_time(fleet: World) -> None:
    host = fleet.host("h1")
    host.puppet("deaf", "deaf")
    fleet.start().ready("h1/deaf")
    code, report = fleet.tool("stop", "deaf")
    assert (code, outcomes(report)) == (3, {"h1/deaf": "failed"})
    assert details(report)["h1/deaf"] == "forced: signal 9"
    events = {e.kind: e for e in fleet.events("h1")}
    # 3 s at least, whatever the deadline, and 0.7 s: what was taken may be answered until then.
    assert 3.7 <= events["killing"].at - events["draining"].at < 5.0


def test_a_crash_is_restarted_and_a_foreign_kill_has_its_own_word(fleet: World) -> None:
    host = fleet.host("h1")
    host.puppet("g1")
    fleet.start().ready("h1/g1")
    first = host.pid("g1")
    os.kill(first, signal.SIGKILL)
    until(lambda: host.pid("g1") not in (0, first), "it has a new process")
    host.wait("g1", "ready")
    told = host.listing().instances[0]
    assert (told.end, told.end_detail, told.launch) == ("killed", "signal 9", 2)


def test_one_that_falls_silent_in_its_drain_is_never_called_done(fleet: World) -> None:
    host = fleet.host("h1")
    host.puppet("g1", "mute:30", QUICK.replace('drain: "1s"', 'drain: "30s"'))
    fleet.start().ready("h1/g1")
    code, report = fleet.tool("drain", "g1", "--limit", "2s")
    assert code == 3
    assert outcomes(report) == {"h1/g1": "failed"}
    detail = details(report)["h1/g1"]
    assert detail.startswith("still draining+silent when its time was over, last answered ")
    assert host.state("g1") == "draining+silent"
    code, told = fleet.tool("list")
    (item,) = told["instances"]
    assert item["state"] == "draining+silent" and item["status"]["answered_at"] > 0


def test_a_reload_reaches_the_process_and_start_brings_back_what_was_stopped(fleet: World) -> None:
    host = fleet.host("h1")
    host.puppet("g1")
    fleet.start().ready("h1/g1")
    assert fleet.tool("reload", "g1")[0] == 0
    log = host.folder / "log" / "g1.log"
    until(lambda: "hup" in log.read_text(), "it has had its SIGHUP")
    assert fleet.tool("stop", "g1")[0] == 0
    code, report = fleet.tool("reload", "g1")
    assert code == 3 and "only a running one can reload" in details(report)["h1/g1"]
    code, report = fleet.tool("start", "g1")
    assert (code, details(report)) == (0, {"h1/g1": "ready"})
