"""The built-in duties with real processes: operations of a dead tool are resumed by one holder only."""

from __future__ import annotations

import json
import resource
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from latchspoke.agent.client import RefusedError
from latchspoke.fleet import wire
from tests.agent.harness import ROOT, FleetHarness, ask, free_port, wait_until
from tests.agent.test_tls import Keys

# The operator's tool with claims that expire soon after its death.
SHORT_CLAIMS_TOOL = "import sys; from latchspoke.agent import operations as o; o.CLAIM_TTL_S = 1.5; "
SHORT_CLAIMS_TOOL += "from latchspoke.cli import main; sys.exit(main(sys.argv[1:]))"


def configure_members(fleet: FleetHarness, more: str = "", tls: bool = False) -> None:
    """Configure all hosts as members, with the built-in duties."""
    ports = {name: free_port() for name in fleet.hosts}
    peers = ", ".join(f'{name}: "127.0.0.1:{port}"' for name, port in ports.items())
    duties = f'{{fleet: "fleet.cue", length: "2s", every: "300ms", quiet: "600ms", {more}}}'
    fleet.write()
    for n, host in enumerate(fleet.hosts.values()):
        first = "true" if n == 0 else "false"
        settings = f'peers: {{{peers}}}, first: {first}, election: "400ms", duties: {duties}'
        host.members = f"members: {{{settings}, tls: {'true' if tls else 'false'}}}"


def add_agents(fleet: FleetHarness, count: int, mode: str = "normal") -> None:
    for n in range(1, count + 1):
        fleet.host(f"h{n}").fake_gateway(f"g{n}", mode)


def events(fleet: FleetHarness, kind: str) -> list[tuple[str, wire.Event]]:
    """Events of a kind from all running agents."""
    running = [h for h in fleet.hosts.values() if h.process is not None and h.process.poll() is None]
    return [(h.name, e) for h in running for e in fleet.events(h.name) if e.kind == kind]


def query_members(fleet: FleetHarness, *arguments: str) -> Any:
    """The output of a command at the first member that answers."""
    for host in fleet.hosts.values():
        output = subprocess.run(
            [sys.executable, "-m", "latchspoke", *arguments, "--json", "--socket", str(host.socket)],
            cwd=ROOT, capture_output=True, text=True, timeout=20, check=False,
        )  # fmt: skip
        if output.stdout:
            return json.loads(output.stdout)
    return {}


def holder(fleet: FleetHarness, duty: str) -> str:
    state = query_members(fleet, "duty", "list").get("duties", {}).get(duty, {})
    tenure = state.get("tenure") or {"why": "nobody"}
    return "" if tenure["why"] else str(tenure["holder"]).partition("#")[0]


def voters(fleet: FleetHarness) -> int:
    """How many members vote, as the first one that answers knows."""
    output = query_members(fleet, "members", "list").get("members", [{}])
    return len(output[0].get("voters", ()))


def start_roll(fleet: FleetHarness) -> subprocess.Popen[str]:
    arguments = ["fleet", "roll", "--all", "--fleet", str(fleet.file), "--json"]
    return subprocess.Popen(
        [sys.executable, "-c", SHORT_CLAIMS_TOOL, *arguments], cwd=ROOT, text=True,
        stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip


def launches(fleet: FleetHarness) -> Counter[str]:
    return Counter(e.instance for _, e in events(fleet, "spawned"))


def test_roll_is_finished_after_its_tool_and_then_the_duty_holder_die(fleet: FleetHarness) -> None:
    """Each step is begun once, and an operation interrupted by a person is not resumed."""
    add_agents(fleet, 4, "slow:0.8")
    configure_members(fleet, "census: false")
    fleet.start().ready(*(f"h{n}/g{n}" for n in range(1, 5)))
    wait_until(lambda: holder(fleet, "resume"), "the resume duty has a holder")
    tool = start_roll(fleet)
    wait_until(lambda: launches(fleet)["g1"] == 2, "the first instance is restarted")
    tool.send_signal(signal.SIGINT)
    assert json.loads(tool.communicate(timeout=20)[0])["state"] == "interrupted"
    tool = start_roll(fleet)
    wait_until(lambda: launches(fleet)["g1"] == 3, "the first instance is restarted again")
    tool.kill()
    tool.communicate()
    wait_until(lambda: events(fleet, "resumes"), "the operation is resumed")
    (first, begun), *_ = events(fleet, "resumes")
    # The gateway of a killed agent keeps running until the agent is back.
    fleet.hosts[first].kill()
    wait_until(lambda: holder(fleet, "resume") not in ("", first), "another agent holds the duty")
    fleet.hosts[first].start()
    wait_until(
        lambda: events(fleet, "operation-done"),
        "the operation is done",
        lambda: events(fleet, "resume-refused"),
    )
    assert {e.operation for _, e in events(fleet, "resumes")} == {begun.operation}
    output = fleet.tool("operations")[1]["operations"]
    states = {item["plan"]["id"]: set(item["agents"].values()) for item in output}
    assert states.pop(begun.operation) == {"done"} and list(states.values()) == [{"interrupted"}]
    count = launches(fleet)
    assert count["g1"] == 3 and all(2 <= count[f"g{n}"] <= 3 for n in (2, 3, 4)), count
    begun_steps = Counter((e.operation, e.instance) for _, e in events(fleet, "step-begun"))
    assert set(begun_steps.values()) == {1}


def test_claims_and_steps_under_an_older_duty_token_are_refused(fleet: FleetHarness) -> None:
    host = fleet.host("h1")
    host.fake_gateway("g1")
    fleet.start().ready("h1/g1")
    new, old = {"resume": 7}, {"resume": 6}
    token = ask(host, lambda f: f.clients["h1"].claim(["g1"], "op-1", 30.0, new))["g1"]
    host.kill()
    host.start()
    with pytest.raises(RefusedError, match="token 6 of resume is not the newest, 7 is"):
        ask(host, lambda f: f.clients["h1"].claim(["g1"], "op-1", 30.0, old))
    late = wire.StepRequest("op-1", "g1", "restart", token, fence=old)
    with pytest.raises(RefusedError, match="not the newest"):
        ask(host, lambda f: f.clients["h1"].step(late))
    assert [e.detail for e in fleet.events("h1") if e.kind == "fenced"] == ["resume: token 6 after 7"] * 2


def test_census_reports_a_difference_once_across_holders(fleet: FleetHarness) -> None:
    for n in (1, 2, 3):
        fleet.host(f"h{n}").fake_gateway(f"g{n}", "plan:5" if n == 2 else "plan:4")
    configure_members(fleet, "resume: false")
    fleet.start().ready("h1/g1", "h2/g2", "h3/g3")
    key = "differs settings.plans.duza.rate"

    def found() -> dict[str, Any]:
        output: dict[str, Any] = query_members(fleet, "duty", "findings").get("open", {})
        return output

    wait_until(lambda: key in found(), "the difference is reported", found)
    # An instance that has not answered the first round is not named yet.
    assert found()[key]["text"] in (
        '"4": h1/g1, h3/g3; "5": h2/g2',
        '"4": h1/g1; "5": h2/g2',
        '"4": h3/g3; "5": h2/g2',
    )
    first = holder(fleet, "census")
    fleet.hosts[first].kill()
    wait_until(lambda: holder(fleet, "census") not in ("", first), "another agent holds the duty")
    wait_until(lambda: f"unheard agent {first}" in found(), "the killed agent is reported", found)
    assert key in found() or first in ("h2",)
    fleet.hosts[first].start()
    wait_until(
        lambda: f"unheard agent {first}" not in found(), "the killed agent is no longer reported", found
    )
    raised = [e.detail for _, e in events(fleet, "census-found") if e.detail.startswith(key)]
    assert len(raised) == (2 if first == "h2" else 1), raised
    fleet.hosts["h2"].fake_gateway("g2", "plan:4")
    fleet.hosts["h2"].kill()
    fleet.hosts["h2"].start()
    assert fleet.tool("restart", "g2")[0] == 0
    wait_until(lambda: not found(), "no findings are left", found)


def test_members_accept_only_peers_with_a_matching_certificate(fleet: FleetHarness) -> None:
    add_agents(fleet, 3)
    configure_members(fleet, tls=True)
    keys = Keys(fleet.base)
    for name, host in fleet.hosts.items():
        keys.folder.write(name, keys.issue("agent", "h9" if name == "h3" else name, ["127.0.0.1"]))
        host.tls = f'tls: {{listen: "127.0.0.1:{free_port()}", {keys.files(name)}}}'
    fleet.start()

    wait_until(lambda: voters(fleet) == 2, "two members vote", lambda: voters(fleet))
    log = fleet.base / "h1.log"
    wait_until(
        lambda: "certificate is another" in log.read_text(),
        "the third member's certificate is refused",
        log.read_text,
    )
    keys.folder.write("h3", keys.issue("agent", "h3", ["127.0.0.1"]))
    wait_until(
        lambda: voters(fleet) == 3, "the third votes with its renewed certificate", lambda: voters(fleet)
    )


def test_full_disk_stops_a_member_but_not_its_agent(fleet: FleetHarness, tmp_path: Path) -> None:
    add_agents(fleet, 3)
    configure_members(fleet)
    fleet.start()
    wait_until(lambda: holder(fleet, "census"), "the duty has a holder")
    # With two voters, both are needed for every command.
    wait_until(lambda: voters(fleet) == 3, "three members vote", lambda: voters(fleet))
    host = fleet.hosts["h2"]
    assert host.process is not None
    resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))

    def disks() -> list[str]:
        return [m["disk"] for m in query_statuses(fleet) if m["identity"].startswith("h2")]

    def write() -> bool:
        arguments = ["duty", "define", "trial", "--socket", str(fleet.hosts["h1"].socket)]
        done = subprocess.run([sys.executable, "-m", "latchspoke", *arguments], cwd=ROOT, capture_output=True,
                              timeout=30, check=False)  # fmt: skip
        return done.returncode == 0

    wait_until(write, "the other members accept a command")
    wait_until(lambda: "can't be used" in "".join(disks()), "the member reports its disk error", disks)
    resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY,) * 2)
    wait_until(lambda: disks() == [""], "the disk error is cleared", disks)
    assert host.process.poll() is None


def query_statuses(fleet: FleetHarness) -> list[dict[str, Any]]:
    sockets = ",".join(str(host.socket) for host in fleet.hosts.values())
    output = subprocess.run(
        [sys.executable, "-m", "latchspoke", "members", "status", "--json", "--socket", sockets],
        cwd=ROOT, capture_output=True, text=True, timeout=20, check=False,
    )  # fmt: skip
    found: list[dict[str, Any]] = json.loads(output.stdout)["members"] if output.stdout else []
    return found
