"""Rules with versions on real processes: members, gateways that go by rules, links and stops between.

What the gateways did is read from their clients: who was served, who refused, and when.
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
from tests.agent.test_own import members
from tests.agent.world import ROOT, Host, World, free_port, until

LENGTH = 1.5  # s of a right
T = LENGTH / (1 - 0.02)
OWED = 0.3  # s; what a client's own clock and the machine's load may add to a gateway's act
NUMBERS = itertools.count()
BLOCKED = "00000000000000aa"


def request(port: int, key: str = BLOCKED, plan: str = "large") -> int:
    """The status; 0 where there is no answer."""
    link = http.client.HTTPConnection("127.0.0.1", port, timeout=4)
    headers = {
        "Req-Id": f"r-{os.getpid()}-{next(NUMBERS)}", "Req-Kind": "balance-read", "X-Tier": plan,
        "Req-Deadline": "3", "X-Call-Terms": "units=1,spread=3,first=0",
    }  # fmt: skip
    try:
        link.request("GET", f"/balance-read?key={key}", headers=headers)
        answer = link.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        link.close()


class Caller(threading.Thread):
    """The blocked customer, again and again at one gateway: when each answer came, and which."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port, self.seen, self.ended = port, list[tuple[float, int]](), threading.Event()

    def run(self) -> None:
        while not self.ended.wait(0.02):
            status = request(self.port)
            self.seen.append((time.monotonic(), status))

    def last(self, status: int) -> float:
        return max((at for at, seen in self.seen if seen == status), default=0.0)

    def first_refused(self) -> float:
        """Of those in a row up to now: the moment from which on nothing was served."""
        return min((at for at, seen in self.seen if seen == 429 and at > self.last(200)), default=0.0)


class Field:
    """Three agents as members, and a gateway beside each that asks its agent through a relay."""

    def __init__(self, fleet: World, start: str = "wait") -> None:
        self.fleet, self.base = fleet, fleet.base
        self.ports = [free_port() for _ in range(4)]
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.toy = subprocess.Popen(
            [sys.executable, "examples/toy_server.py", *map(str, self.ports)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        assert self.toy.stdout is not None and self.toy.stdout.readline()
        self.relays: dict[str, Relay] = {}
        self.gates: dict[str, int] = {}
        self.callers: list[Caller] = []
        for n in (1, 2, 3):
            self.gateway(fleet.host(f"h{n}"), f"g{n}", n - 1, start)
        members(fleet, "resume: false, census: false")
        fleet.start()
        until(lambda: self.tool("list")[0] == 0, "the members know")

    def gateway(self, host: Host, name: str, index: int, start: str) -> None:
        base = json.loads((ROOT / "examples" / "config.json").read_text())
        settings = base["settings"] | {"Index": index, "NInstances": 3}
        address = f"127.0.0.1:{self.ports[0]}"
        # Callers ask far more often than the example's plan lets them: a refusal is to mean the rules alone.
        settings["Tariffs"] = [plan | {"Refill": 1e4, "MostAtOnce": 2e4} for plan in settings["Tariffs"]]
        told = base | {"name": name, "discovery": address, "settings": settings}
        told |= {"counter": f"127.0.0.1:{self.ports[1]}"}
        (host.folder / f"{name}.json").write_text(json.dumps(told))
        port = self.gates[name] = free_port()
        relay = self.relays[name] = Relay(str(host.socket))
        path = host.folder / "relay.sock"
        self.call(lambda: relay.start_unix(str(path)))
        rules = f'rules: {{members: ["{host.name}/relay.sock"], start: "{start}"}}'
        listen = f'listen: "127.0.0.1:{port}"'
        host.instances[name] = f'{name}: {{config: "{host.name}/{name}.json", {listen}, {rules}}}'

    def call(self, work: Callable[[], Awaitable[Any]]) -> Any:
        async def within() -> Any:
            return await work()

        return asyncio.run_coroutine_threadsafe(within(), self.loop).result(10)

    def cut(self, gate: str, mode: Mode) -> None:
        self.loop.call_soon_threadsafe(self.relays[gate].set_mode, mode)

    def tool(self, *words: str) -> tuple[int, Any]:
        alive = [h for h in self.fleet.hosts.values() if h.process is not None and h.process.poll() is None]
        sockets = ",".join(str(h.socket) for h in alive) or "none"
        done = subprocess.run(
            [sys.executable, "-m", "latchspoke", "rules", *words, "--json", "--socket", sockets],
            cwd=ROOT, capture_output=True, text=True, timeout=60, check=False,
        )  # fmt: skip
        return done.returncode, json.loads(done.stdout) if done.stdout.strip() else done.stderr

    def put(self, name: str, lapse: str = "refuse", **entries: str) -> tuple[int, Any]:
        """The whole document, from a file."""
        inner = ", ".join(f'"{path}": {value}' for path, value in entries.items())
        file = self.base / f"{name}.cue"
        told = f'name: "{name}"\nlength: "{LENGTH}s"\nlapse: "{lapse}"\nentries: {{{inner}}}\n'
        file.write_text(told)
        return self.tool("put", str(file), "--reason", "a test")

    def call_all(self) -> dict[str, Caller]:
        made = {name: Caller(port) for name, port in self.gates.items()}
        for caller in made.values():
            caller.start()
        self.callers += made.values()
        return made

    def served(self, *gates: str, key: str = BLOCKED) -> bool:
        return all(request(self.gates[gate], key) == 200 for gate in gates or self.gates)

    def log(self, gate: str) -> str:
        """The gateway's own, of all its launches."""
        return (self.base / f"h{gate[1]}" / "log" / f"{gate}.log").read_text()

    def lapsed(self, gate: str, port: int, label: str) -> bool:
        """Whether it acts without a right; that shows in its log with the next request."""
        return request(port, "cc") > 0 and label in self.log(gate)

    def end(self) -> None:
        for caller in self.callers:
            caller.ended.set()
        for caller in self.callers:
            caller.join(10)
        for relay in self.relays.values():
            self.call(relay.stop)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.toy.terminate()
        self.toy.communicate(timeout=10)


def holds(path: Path, text: str) -> bool:
    return path.exists() and text in path.read_text()


@pytest.fixture
def field(fleet: World) -> Iterator[Field]:
    made = Field(fleet)
    try:
        until(lambda: made.served(), "all serve by right")
        yield made
    finally:
        made.end()


def test_a_block_holds_everywhere_and_is_taken_back(field: Field) -> None:
    field.put("blocked", **{"bb": '"before"'})
    field.tool("wait", "blocked", "1")
    began = time.monotonic()
    code, told = field.put("blocked", aa='"by order"', bb='"before"')
    assert (code, told["version"]) == (0, 2), told
    code, told = field.tool("wait", "blocked", "2")
    print(f"active everywhere {time.monotonic() - began:.2f} s after the put was begun")
    assert code == 0, told
    assert [request(port) for port in field.gates.values()] == [429] * 3
    assert field.served(key="cc")
    # The other way: nobody has to wait for anybody, and the former version is never acted on again.
    assert field.tool("put", "blocked", "--drop", "AA", "--reason", "lifted")[0] == 0
    assert field.tool("wait", "blocked", "3")[0] == 0
    assert field.served()
    _, shown = field.tool("show", "blocked")
    assert shown == {"name": "blocked", "version": 3, "entries": {"00000000000000bb": "before"}}
    _, past = field.tool("history", "blocked")
    assert [(r["version"], r["parent"], r["barrier"]) for r in past] == [
        (1, 0, True),
        (2, 1, True),
        (3, 2, False),
    ]
    # The log line of each ended connection has the versions by which its last request was decided.
    pattern = re.compile(r"side=client .* rules=aside:0,blocked:3,plans:0")
    until(
        lambda: pattern.search(field.log("g1")), "the versions are in the log", lambda: field.log("g1")[-500:]
    )


def test_a_gateway_cut_off_lets_nobody_through_for_longer_than_t(field: Field) -> None:
    field.put("blocked", bb='"before"')
    field.tool("wait", "blocked", "1")
    callers = field.call_all()
    until(lambda: all(c.last(200) for c in callers.values()), "all serve it")
    field.cut("g1", Mode.HOLD)
    field.put("blocked", aa='"by order"')
    until(lambda: callers["g2"].first_refused() and callers["g3"].first_refused(), "the others refuse it")
    until(lambda: "blocked:1-refuse" in field.log("g1"), "the right of the one cut off has ended")
    until(lambda: callers["g1"].first_refused(), "it refuses as well")
    first = min(callers[name].first_refused() for name in ("g2", "g3"))
    lasted = callers["g1"].last(200) - first
    print(f"contradicted the others for {max(lasted, 0.0):.2f} s of T = {T:.2f} s")
    assert lasted <= T + OWED
    assert request(field.gates["g1"], "cc") == 429, "it can't know who else is blocked"
    assert field.served("g2", "g3", key="cc")
    field.cut("g1", Mode.PASS)
    until(lambda: field.served("g1", key="cc"), "it acts by right again")
    assert request(field.gates["g1"]) == 429


def test_a_gateway_stopped_beyond_its_right_decides_nothing_by_it(field: Field) -> None:
    field.put("blocked", bb='"before"')
    field.tool("wait", "blocked", "1")
    host = field.fleet.hosts["h1"]
    pid = host.pid("g1")
    # It neither hears nor asks any more once it goes on, so that only its own clock can tell it.
    os.kill(pid, signal.SIGSTOP)
    field.cut("g1", Mode.HOLD)
    statuses: list[int] = []
    waiting = [
        threading.Thread(target=lambda: statuses.append(request(field.gates["g1"], "cc"))) for _ in range(8)
    ]
    for thread in waiting:
        thread.start()
    field.put("blocked", aa='"by order"')
    until(lambda: field.tool("wait", "blocked", "2", "--limit", "1s")[0] == 0, "the others have gone on")
    os.kill(pid, signal.SIGCONT)
    for thread in waiting:
        thread.join(10)
    assert statuses and set(statuses) <= {0, 429}, statuses
    field.cut("g1", Mode.PASS)
    until(lambda: field.served("g1", key="cc"), "it acts by right again")


def test_of_two_operators_one_is_told_and_ten_versions_in_a_second_end_with_the_last(field: Field) -> None:
    words = ["put", "plans", "--parent", "0", "--reason", "two at once", "--set"]
    results: list[tuple[int, Any]] = []
    tools = [
        threading.Thread(target=lambda n=n: results.append(field.tool(*words, f"large.rate={n}")))
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
        from latchspoke.duties.office import Done
        from latchspoke.revisions.records import PutRules

        client = AgentClient("h1", AgentEntry(str(field.fleet.hosts["h1"].socket)), 5.0, None)
        try:
            return [
                await client.call(Done, "POST", f"/v1/rules/commands?ident={n}",
                                  PutRules("plans", n, {"large.rate": 10.0 + n}))
                for n in range(1, 11)
            ]  # fmt: skip
        finally:
            await client.close()

    began = time.monotonic()
    done = asyncio.run(burst())
    assert [item.why for item in done] == [""] * 10 and time.monotonic() - began < 5.0
    assert field.tool("wait", "plans", "11")[0] == 0
    _, told = field.tool("list")
    assert (told["plans"]["head"], told["plans"]["active"]) == (11, 11)


def test_with_all_members_gone_each_document_holds_as_it_says(field: Field) -> None:
    """Lists are kept, by their choice, also what is blocked; members come back as they were."""
    field.put("blocked", lapse="keep", aa='"by order"')
    assert field.tool("wait", "blocked", "1")[0] == 0
    for host in field.fleet.hosts.values():
        host.kill()
    for name, port in field.gates.items():
        until(partial(field.lapsed, name, port, "blocked:1-keep"), "its right has ended")
    assert [request(port) for port in field.gates.values()] == [429] * 3
    assert field.served(key="cc")
    for host in field.fleet.hosts.values():
        host.start()
    until(lambda: field.tool("list")[0] == 0, "the members know")
    assert field.put("blocked", lapse="keep")[0] == 0
    until(lambda: field.served(), "the block is lifted everywhere")


def test_a_start_without_members_waits_or_begins_on_what_was_known(fleet: World) -> None:
    field = Field(fleet, start="known")
    try:
        until(lambda: field.served(), "all serve by right")
        field.put("blocked", lapse="keep", aa='"by order"')
        assert field.tool("wait", "blocked", "1")[0] == 0
        for name in ("g1", "g2"):
            kept = fleet.base / f"h{name[1]}" / f"{name}.rules.json"
            until(partial(holds, kept, "by order"), "it is kept")
        field.cut("g1", Mode.REFUSE)
        field.cut("g2", Mode.REFUSE)
        (fleet.base / "h2" / "g2.rules.json").unlink()
        for name in ("g1", "g2"):
            os.kill(fleet.hosts[f"h{name[1]}"].pid(name), signal.SIGKILL)
        until(lambda: field.served("g1", key="cc"), "it begins on what it knew")
        assert request(field.gates["g1"]) == 429
        assert request(field.gates["g2"], "cc") in (0, 429), "it knows of nothing, and waits"
        field.cut("g2", Mode.PASS)
        until(lambda: field.served("g2", key="cc"), "it begins by right")
        assert request(field.gates["g2"]) == 429
    finally:
        field.end()


def test_a_rolling_restart_of_gateways_and_members_while_rules_change(tmp_path: Path) -> None:
    """One after the other, with operators at work; the decisions' own record is read."""
    rolling = [Fault(0.5 + 1.6 * n, "kill-gate", (str(n),), 0.3) for n in range(4)]
    rolling += [Fault(1.0 + 2.4 * n, "kill-agent", (str(n),), 0.5) for n in range(3)]
    verdict = asyncio.run(trial(tmp_path, 1, schedule=tuple(rolling)))
    assert not verdict.wrong, verdict
    assert verdict.decided > 2000 and verdict.contradicted <= 1.05


def test_a_drawn_schedule_of_gateways_with_real_processes_and_that_it_can_fail(tmp_path: Path) -> None:
    """`latchspoke lab schedules --real --gates 4` plays as many as are wanted."""
    cut = (Fault(1.0, "cut-gate", ("0",), 6.0), Fault(1.0, "kill-agent", ("1",), 1.0))
    wrong = {}
    for change in ("", "unchecked"):
        (folder := tmp_path / (change or "as-it-is")).mkdir()
        wrong[change] = asyncio.run(trial(folder, 2, schedule=cut, change=change)).wrong
    assert not wrong[""], wrong
    assert any("contradicted for" in line for line in wrong["unchecked"]), wrong


@pytest.mark.parametrize(
    ("words", "why"),
    [
        (["put", "blocked", "--set", "xyz=no"], "a customer's key is wanted"),
        (["put", "plans", "--set", "large.rate=much"], "is no number"),
        (["put", "plans", "--set", "large.colour=3"], "no figure of a plan"),
        (["check", "nowhere.cue"], "no file to read"),
    ],
)
def test_bad_words_are_told(
    words: list[str], why: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    from latchspoke.console import rules

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(rules.Session, "summaries", summaries)
        patch.setattr(rules.Session, "document", document)
        code = rules.main([*words, *([] if words[0] == "check" else ["--socket", str(tmp_path / "none")])])
    assert code == 2 and why in capsys.readouterr().err


async def summaries(session: object) -> dict[str, Any]:
    from latchspoke.revisions.machine import RulesMachine

    return {name: RulesMachine.summary(state) for name, state in RulesMachine().states.items()}


async def document(session: object, name: str, version: int) -> Any:
    from latchspoke.revisions.documents import Document

    return Document()
