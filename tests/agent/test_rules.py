"""Versioned rules with real processes: members and gateways, with interrupted connections and suspensions.

What the gateways did is taken from their clients: which requests were served or refused, and when.
"""

from __future__ import annotations

import asyncio
import http.client
import itertools
import json
import os
import re
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from latchspoke.lab.relay import Mode, Relay
from latchspoke.lab.schedules.faults import Fault
from latchspoke.lab.schedules.real_rules import trial
from tests.agent.harness import ROOT, FleetHarness, Host, free_port, wait_until
from tests.agent.test_duty_runner import configure_members

GRANT_S = 1.5  # validity of a gateway's right to act by its rules
RIGHT_MAX_S = GRANT_S / (1 - 0.02)
CLOCK_TOLERANCE_S = 0.3  # for the client's own measurement and machine load
REQUEST_NUMBERS = itertools.count()
BLOCKED = "00000000000000aa"


def request(port: int, key: str = BLOCKED, plan: str = "large") -> int:
    """Send a request; returns the HTTP status, or 0 without an answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=4)
    headers = {
        "Req-Id": f"r-{os.getpid()}-{next(REQUEST_NUMBERS)}", "Req-Kind": "balance-read", "X-Tier": plan,
        "Req-Deadline": "3", "X-Call-Terms": "units=1,spread=3,first=0",
    }  # fmt: skip
    try:
        connection.request("GET", f"/balance-read?key={key}", headers=headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


class Caller(threading.Thread):
    """Repeats requests of the blocked customer at one gateway; records time and status of each answer."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port, self.seen, self.stopped = port, list[tuple[float, int]](), threading.Event()

    def run(self) -> None:
        while not self.stopped.wait(0.02):
            status = request(self.port)
            self.seen.append((time.monotonic(), status))

    def last(self, status: int) -> float:
        return max((at for at, seen in self.seen if seen == status), default=0.0)

    def first_refused(self) -> float:
        """The time of the first refusal after the last served request."""
        return min((at for at, seen in self.seen if seen == 429 and at > self.last(200)), default=0.0)


class RulesFleet:
    """Three agents as members, each with a gateway that reaches it through a relay."""

    def __init__(self, fleet: FleetHarness, start: str = "wait") -> None:
        self.fleet, self.base = fleet, fleet.base
        self.ports = [free_port() for _ in range(4)]
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.toy_server = subprocess.Popen(
            [sys.executable, "examples/toy_server.py", *map(str, self.ports)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        assert self.toy_server.stdout is not None and self.toy_server.stdout.readline()
        self.relays: dict[str, Relay] = {}
        self.gateway_ports: dict[str, int] = {}
        self.callers: list[Caller] = []
        for n in (1, 2, 3):
            self.gateway(fleet.host(f"h{n}"), f"g{n}", n - 1, start)
        configure_members(fleet, "resume: false, census: false")
        fleet.start()
        wait_until(lambda: self.tool("list")[0] == 0, "the members answer")

    def gateway(self, host: Host, name: str, index: int, start: str) -> None:
        base = json.loads((ROOT / "examples" / "config.json").read_text())
        settings = base["settings"] | {"Index": index, "NInstances": 3}
        address = f"127.0.0.1:{self.ports[0]}"
        # High rate limits, so that only the rules cause refusals.
        settings["Tariffs"] = [plan | {"Refill": 1e4, "MostAtOnce": 2e4} for plan in settings["Tariffs"]]
        config = base | {"name": name, "discovery": address, "settings": settings}
        config |= {"counter": f"127.0.0.1:{self.ports[1]}"}
        (host.folder / f"{name}.json").write_text(json.dumps(config))
        port = self.gateway_ports[name] = free_port()
        relay = self.relays[name] = Relay(str(host.socket))
        path = host.folder / "relay.sock"
        self.run_in_loop(lambda: relay.start_unix(str(path)))
        rules = f'rules: {{members: ["{host.name}/relay.sock"], start: "{start}"}}'
        listen = f'listen: "127.0.0.1:{port}"'
        host.instances[name] = f'{name}: {{config: "{host.name}/{name}.json", {listen}, {rules}}}'

    def run_in_loop(self, work: Callable[[], Awaitable[Any]]) -> Any:
        async def within() -> Any:
            return await work()

        return asyncio.run_coroutine_threadsafe(within(), self.loop).result(10)

    def set_link_mode(self, gateway: str, mode: Mode) -> None:
        self.loop.call_soon_threadsafe(self.relays[gateway].set_mode, mode)

    def tool(self, *arguments: str) -> tuple[int, Any]:
        alive = [h for h in self.fleet.hosts.values() if h.process is not None and h.process.poll() is None]
        sockets = ",".join(str(h.socket) for h in alive) or "none"
        done = subprocess.run(
            [sys.executable, "-m", "latchspoke", "rules", *arguments, "--json", "--socket", sockets],
            cwd=ROOT, capture_output=True, text=True, timeout=60, check=False,
        )  # fmt: skip
        return done.returncode, json.loads(done.stdout) if done.stdout.strip() else done.stderr

    def put(self, name: str, lapse: str = "refuse", **entries: str) -> tuple[int, Any]:
        """Store a document from a file."""
        inner = ", ".join(f'"{path}": {value}' for path, value in entries.items())
        file = self.base / f"{name}.cue"
        document = f'name: "{name}"\nlength: "{GRANT_S}s"\nlapse: "{lapse}"\nentries: {{{inner}}}\n'
        file.write_text(document)
        return self.tool("put", str(file), "--reason", "a test")

    def start_callers(self) -> dict[str, Caller]:
        callers = {name: Caller(port) for name, port in self.gateway_ports.items()}
        for caller in callers.values():
            caller.start()
        self.callers += callers.values()
        return callers

    def served(self, *gates: str, key: str = BLOCKED) -> bool:
        return all(
            request(self.gateway_ports[gateway_name], key) == 200
            for gateway_name in gates or self.gateway_ports
        )

    def log(self, gateway: str) -> str:
        """The gateway's log, across restarts."""
        return (self.base / f"h{gateway[1]}" / "log" / f"{gateway}.log").read_text()

    def acts_without_right(self, gateway: str, port: int, label: str) -> bool:
        """Whether the gateway acts without a valid right, as its log shows with the next request."""
        return request(port, "cc") > 0 and label in self.log(gateway)

    def stop(self) -> None:
        for caller in self.callers:
            caller.stopped.set()
        for caller in self.callers:
            caller.join(10)
        for relay in self.relays.values():
            self.run_in_loop(relay.stop)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.toy_server.terminate()
        self.toy_server.communicate(timeout=10)


def holds(path: Path, text: str) -> bool:
    return path.exists() and text in path.read_text()


@pytest.fixture
def rules_fleet(fleet: FleetHarness) -> Iterator[RulesFleet]:
    rules_fleet = RulesFleet(fleet)
    try:
        wait_until(lambda: rules_fleet.served(), "all gateways serve with valid rights")
        yield rules_fleet
    finally:
        rules_fleet.stop()


def test_block_applies_on_all_gateways_and_can_be_lifted(rules_fleet: RulesFleet) -> None:
    rules_fleet.put("blocked", **{"bb": '"before"'})
    rules_fleet.tool("wait", "blocked", "1")
    began = time.monotonic()
    code, result = rules_fleet.put("blocked", aa='"by order"', bb='"before"')
    assert (code, result["version"]) == (0, 2), result
    code, result = rules_fleet.tool("wait", "blocked", "2")
    print(f"active everywhere {time.monotonic() - began:.2f} s after the put was begun")
    assert code == 0, result
    assert [request(port) for port in rules_fleet.gateway_ports.values()] == [429] * 3
    assert rules_fleet.served(key="cc")
    # Lifting a block needs no barrier, and the former version is not used again.
    assert rules_fleet.tool("put", "blocked", "--drop", "AA", "--reason", "lifted")[0] == 0
    assert rules_fleet.tool("wait", "blocked", "3")[0] == 0
    assert rules_fleet.served()
    _, shown = rules_fleet.tool("show", "blocked")
    assert shown == {"name": "blocked", "version": 3, "entries": {"00000000000000bb": "before"}}
    _, history = rules_fleet.tool("history", "blocked")
    assert [(r["version"], r["parent"], r["barrier"]) for r in history] == [
        (1, 0, True),
        (2, 1, True),
        (3, 2, False),
    ]
    # The log line of a closed connection has the rules versions of its last request.
    pattern = re.compile(r"side=client .* rules=aside:0,blocked:3,plans:0")
    wait_until(
        lambda: pattern.search(rules_fleet.log("g1")),
        "the log has the versions",
        lambda: rules_fleet.log("g1")[-500:],
    )


def test_isolated_gateway_stops_serving_when_its_right_ends(rules_fleet: RulesFleet) -> None:
    rules_fleet.put("blocked", bb='"before"')
    rules_fleet.tool("wait", "blocked", "1")
    callers = rules_fleet.start_callers()
    wait_until(lambda: all(c.last(200) for c in callers.values()), "all gateways serve the customer")
    rules_fleet.set_link_mode("g1", Mode.HOLD)
    rules_fleet.put("blocked", aa='"by order"')
    wait_until(
        lambda: callers["g2"].first_refused() and callers["g3"].first_refused(),
        "the other gateways refuse the customer",
    )
    wait_until(
        lambda: "blocked:1-refuse" in rules_fleet.log("g1"), "the right of the isolated gateway has ended"
    )
    wait_until(lambda: callers["g1"].first_refused(), "the isolated gateway refuses as well")
    first = min(callers[name].first_refused() for name in ("g2", "g3"))
    contradicted_s = callers["g1"].last(200) - first
    print(f"contradicted the others for {max(contradicted_s, 0.0):.2f} s of T = {RIGHT_MAX_S:.2f} s")
    assert contradicted_s <= RIGHT_MAX_S + CLOCK_TOLERANCE_S
    assert request(rules_fleet.gateway_ports["g1"], "cc") == 429, (
        "without a valid right it must refuse everybody"
    )
    assert rules_fleet.served("g2", "g3", key="cc")
    rules_fleet.set_link_mode("g1", Mode.PASS)
    wait_until(lambda: rules_fleet.served("g1", key="cc"), "the gateway has a valid right again")
    assert request(rules_fleet.gateway_ports["g1"]) == 429


def test_suspended_gateway_makes_no_decision_by_an_expired_right(rules_fleet: RulesFleet) -> None:
    rules_fleet.put("blocked", bb='"before"')
    rules_fleet.tool("wait", "blocked", "1")
    host = rules_fleet.fleet.hosts["h1"]
    pid = host.pid("g1")
    # Cut off as well, so that after its resumption only its own clock shows that the right has ended.
    os.kill(pid, signal.SIGSTOP)
    rules_fleet.set_link_mode("g1", Mode.HOLD)
    statuses: list[int] = []
    waiting = [
        threading.Thread(target=lambda: statuses.append(request(rules_fleet.gateway_ports["g1"], "cc")))
        for _ in range(8)
    ]
    for thread in waiting:
        thread.start()
    rules_fleet.put("blocked", aa='"by order"')
    wait_until(
        lambda: rules_fleet.tool("wait", "blocked", "2", "--limit", "1s")[0] == 0,
        "the version is active at the others",
    )
    os.kill(pid, signal.SIGCONT)
    for thread in waiting:
        thread.join(10)
    assert statuses and set(statuses) <= {0, 429}, statuses
    rules_fleet.set_link_mode("g1", Mode.PASS)
    wait_until(lambda: rules_fleet.served("g1", key="cc"), "the gateway has a valid right again")


def test_conflicting_put_is_refused_and_the_last_of_many_versions_wins(rules_fleet: RulesFleet) -> None:
    arguments = ["put", "plans", "--parent", "0", "--reason", "two at once", "--set"]
    results: list[tuple[int, Any]] = []
    tools = [
        threading.Thread(target=lambda n=n: results.append(rules_fleet.tool(*arguments, f"large.rate={n}")))
        for n in (8, 9)
    ]
    for tool in tools:
        tool.start()
    for tool in tools:
        tool.join(30)
    assert sorted(code for code, _ in results) == [0, 1], results
    assert "version 0 of plans is not the newest, 1 is" in str(results)

    async def burst() -> list[Any]:
        from latchspoke.agent.client import AgentClient, AgentEntry
        from latchspoke.duties.member_service import Committed
        from latchspoke.revisions.records import PutRules

        client = AgentClient("h1", AgentEntry(str(rules_fleet.fleet.hosts["h1"].socket)), 5.0, None)
        try:
            return [
                await client.call(Committed, "POST", f"/v1/rules/commands?ident={n}",
                                  PutRules("plans", n, {"large.rate": 10.0 + n}))
                for n in range(1, 11)
            ]  # fmt: skip
        finally:
            await client.close()

    began = time.monotonic()
    done = asyncio.run(burst())
    assert [item.why for item in done] == [""] * 10 and time.monotonic() - began < 5.0
    assert rules_fleet.tool("wait", "plans", "11")[0] == 0
    _, result = rules_fleet.tool("list")
    assert (result["plans"]["head"], result["plans"]["active"]) == (11, 11)


def test_rules_lapse_as_configured_when_all_members_are_gone(rules_fleet: RulesFleet) -> None:
    """With ``lapse: keep`` a block stays in force, and can be lifted after the members are back."""
    rules_fleet.put("blocked", lapse="keep", aa='"by order"')
    assert rules_fleet.tool("wait", "blocked", "1")[0] == 0
    for host in rules_fleet.fleet.hosts.values():
        host.kill()
    for name, port in rules_fleet.gateway_ports.items():
        wait_until(
            partial(rules_fleet.acts_without_right, name, port, "blocked:1-keep"),
            "the gateway's right has ended",
        )
    assert [request(port) for port in rules_fleet.gateway_ports.values()] == [429] * 3
    assert rules_fleet.served(key="cc")
    for host in rules_fleet.fleet.hosts.values():
        host.start()
    wait_until(lambda: rules_fleet.tool("list")[0] == 0, "the members answer")
    code, result = rules_fleet.put("blocked", lapse="keep")
    assert code == 0, result
    wait_until(lambda: rules_fleet.served(), "the block is lifted everywhere")


def test_gateway_start_without_members_waits_or_uses_stored_rules(fleet: FleetHarness) -> None:
    rules_fleet = RulesFleet(fleet, start="known")
    try:
        wait_until(lambda: rules_fleet.served(), "all gateways serve with valid rights")
        rules_fleet.put("blocked", lapse="keep", aa='"by order"')
        assert rules_fleet.tool("wait", "blocked", "1")[0] == 0
        for name in ("g1", "g2"):
            kept = fleet.base / f"h{name[1]}" / f"{name}.rules.json"
            wait_until(partial(holds, kept, "by order"), "the rules are stored")
        rules_fleet.set_link_mode("g1", Mode.REFUSE)
        rules_fleet.set_link_mode("g2", Mode.REFUSE)
        (fleet.base / "h2" / "g2.rules.json").unlink()
        for name in ("g1", "g2"):
            os.kill(fleet.hosts[f"h{name[1]}"].pid(name), signal.SIGKILL)
        wait_until(lambda: rules_fleet.served("g1", key="cc"), "the gateway starts with its stored rules")
        assert request(rules_fleet.gateway_ports["g1"]) == 429
        assert request(rules_fleet.gateway_ports["g2"], "cc") in (0, 429), "without stored rules it waits"
        rules_fleet.set_link_mode("g2", Mode.PASS)
        wait_until(lambda: rules_fleet.served("g2", key="cc"), "the gateway starts with a valid right")
        assert request(rules_fleet.gateway_ports["g2"]) == 429
    finally:
        rules_fleet.stop()


def test_rolling_restart_of_gateways_and_members_while_rules_change(tmp_path: Path) -> None:
    """Gateways and members restart one after the other; checked by the record of decisions."""
    rolling = [Fault(0.5 + 1.6 * n, "kill-gate", (str(n),), 0.3) for n in range(4)]
    rolling += [Fault(1.0 + 2.4 * n, "kill-agent", (str(n),), 0.5) for n in range(3)]
    verdict = asyncio.run(trial(tmp_path, 1, schedule=tuple(rolling)))
    assert not verdict.wrong, verdict
    assert verdict.decided > 2000 and verdict.contradicted <= 1.05


def test_fault_schedule_of_gateways_passes_and_detects_a_removed_check(tmp_path: Path) -> None:
    """One schedule; `latchspoke lab schedules --real --gates 4` runs more."""
    faults = (Fault(1.0, "cut-gate", ("0",), 10.0), Fault(1.0, "kill-agent", ("1",), 1.0))
    wrong = {}
    for change in ("", "unchecked"):
        (folder := tmp_path / (change or "as-it-is")).mkdir()
        # Something must change while the gateway is cut off, however busy the machine is.
        verdict = asyncio.run(trial(folder, 2, schedule=faults, change=change, block_all_at=1.5))
        wrong[change] = verdict.wrong
    assert not wrong[""], wrong
    assert any("contradicted for" in line for line in wrong["unchecked"]), wrong


@pytest.mark.parametrize(
    ("arguments", "error"),
    [
        (["put", "blocked", "--set", "xyz=no"], "a customer's key is wanted"),
        (["put", "plans", "--set", "large.rate=much"], "is no number"),
        (["put", "plans", "--set", "large.colour=3"], "no figure of a plan"),
        (["check", "nowhere.cue"], "no file to read"),
    ],
)
def test_invalid_arguments_are_refused(
    arguments: list[str], error: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    from latchspoke.console import rules

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(rules.Session, "summaries", summaries)
        patch.setattr(rules.Session, "document", document)
        code = rules.main(
            [*arguments, *([] if arguments[0] == "check" else ["--socket", str(tmp_path / "none")])]
        )
    assert code == 2 and error in capsys.readouterr().err


async def summaries(session: object) -> dict[str, Any]:
    from latchspoke.revisions.machine import RulesMachine

    return {name: RulesMachine.summary(state) for name, state in RulesMachine().states.items()}


async def document(session: object, name: str, version: int) -> Any:
    from latchspoke.revisions.documents import Document

    return Document()
