"""Every command's output and exit codes, with stand-ins for the machines: no sockets, no sleeps."""

from __future__ import annotations

import asyncio
import copy
import json
import random
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from barleyhub.interface import Code
from latchspoke.configstore import copies
from latchspoke.configstore.copies import BLOCK
from latchspoke.configstore.orders import Orders
from latchspoke.configstore.register import Register, founding
from latchspoke.configuration import apply_patch
from latchspoke.consensus.records import Stored
from latchspoke.ctl import app, callers
from latchspoke.ctl.callers import Reply
from tests.ctl.world import CONFIGURATION, KEY, SETTINGS, gateway

Answer = tuple[int, Any] | str
CONTROL: dict[str, Any] = {
    "name": "core-a", "version": "00000007", "index": 12, "told_index": 12, "evacuated": [],
    "register": {"leader": "127.0.0.2:7601#first", "term": 3, "disk": "", "failed": False, "proven": True,
                 "voters": ["127.0.0.2:7601#first", "127.0.0.3:7601#first"]},
    "members": [
        {"name": "core-a", "role": "core", "zone": "a", "region": "north", "address": "127.0.0.2:7601",
         "ready": True, "suspected": False, "front": None, "status": None},
        {"name": "edge-a-1", "role": "edge", "zone": "a", "region": "north", "address": "127.0.0.1:7600",
         "ready": True, "suspected": False, "front": "127.0.0.1:8206", "status": "127.0.0.1:8201",
         "follows_here": True, "index": 11, "behind": True},
    ],
    "servers": [{"id": "b1", "service": "books", "zone": "a", "state": "ready", "silent": True,
                 "address": "127.0.0.9:1", "slots": 2, "avoided": ["silent"], "beat_s_ago": 4.0}],
    "history": [],
}  # fmt: skip


class Machines:
    """Answers by target; a list is used up one by one. What was sent is kept."""

    def __init__(self) -> None:
        self.answers: dict[str, list[Answer]] = {}
        self.sent: list[tuple[str, bytes]] = []

    def tell(self, target: str, *answers: Answer) -> None:
        self.answers[target] = list(answers)

    def ask(self, address: callers.Address, method: str, target: str, body: bytes) -> Result[Reply, str]:
        self.sent.append((target, body))
        those = self.answers.get(target, ["no such stand-in"])
        answer = those.pop(0) if len(those) > 1 else those[0]
        if isinstance(answer, str):
            return Failure(answer)
        raw = answer[1] if isinstance(answer[1], bytes) else json.dumps(answer[1]).encode()
        return Success(Reply(answer[0], callers.parse_body(raw), raw, f"{address[0]}:{address[1]}"))


Run = Callable[..., tuple[int, str]]


@pytest.fixture
def machines(monkeypatch: pytest.MonkeyPatch) -> Machines:
    found = Machines()
    monkeypatch.setattr(app, "REQUEST_SENDER", [found.ask])
    monkeypatch.setenv("LATCHSPOKE_CONTROL", "127.0.0.2:8200")
    monkeypatch.setattr("time.sleep", lambda s: None)
    return found


@pytest.fixture
def run(capsys: pytest.CaptureFixture[str]) -> Run:
    def call(*words: object) -> tuple[int, str]:
        code = app.main([str(word) for word in words])
        told = capsys.readouterr()
        assert KEY not in told.out + told.err
        return code, told.out or told.err

    return call


@pytest.fixture
def view() -> Iterator[dict[str, Any]]:
    loop = asyncio.new_event_loop()
    yield gateway(loop).handle_query("GET", "/status", b"")[1]
    loop.close()


def written(path: Path, doc: object) -> Path:
    path.write_text(json.dumps(doc))
    return path


def test_a_configuration_is_told_every_fault(run: Run, tmp_path: Path) -> None:
    bad = copy.deepcopy(CONFIGURATION)
    bad["version"] = "7"
    bad["tenants"][1]["apiKeys"].append(KEY)
    rules = bad["listenerList"][0]["ruleSet"]
    rules[0]["matchCriteria"]["pathPrefix"] = "read/"
    rules[0]["actionSpec"] |= {"maxAttempts": 0, "timeoutS": 601}
    rules[1]["actionSpec"]["weightedSplit"][0] = {"service": "nobody", "weight": -1}
    file = written(tmp_path / "c.json", bad)
    code, text = run("check", "configuration", file, "--json")
    told = json.loads(text)
    assert (code, told["ok"], told["exit"]) == (3, False, 3)
    assert [fault["path"] for fault in told["faults"]] == [
        "version", "tenants[1].apiKeys", "listenerList[0].ruleSet[0].matchCriteria.pathPrefix",
        "listenerList[0].ruleSet[0].actionSpec.timeoutS", "listenerList[0].ruleSet[0].actionSpec.maxAttempts",
        "listenerList[0].ruleSet[1].actionSpec.weightedSplit[0].service",
        "listenerList[0].ruleSet[1].actionSpec.weightedSplit[0].weight",
    ]  # fmt: skip
    assert len(run("check", "configuration", file)[1].splitlines()) == 7
    good = run("check", "configuration", written(tmp_path / "g.json", CONFIGURATION))
    assert good[0] == 0 and good[1].endswith("version 00000007, 2 routes, 2 services, 2 tenants\n")
    assert run("check", "configuration", tmp_path / "none")[0] == 2


def test_settings_and_deploy_files_are_told_every_fault(run: Run, tmp_path: Path) -> None:
    assert run("check", "settings", written(tmp_path / "ok.yaml", SETTINGS))[0] == 0
    bad = SETTINGS | {
        "servedRoles": ["control"], "zone": "q", "seedNodes": ["x"], "limits": {"memoryMb": -1},
        "internalPortRange": [7600, 7600], "bounds": ["ackS=6", "graceS=soon", "revokeS"],
    }  # fmt: skip
    code, text = run("check", "settings", written(tmp_path / "bad.yaml", bad), "--json")
    assert code == 3 and [fault["path"] for fault in json.loads(text)["faults"]] == [
        "seedNodes", "limits.memoryMb", "limits.fileDescriptors", "bounds", "bounds",
        "listenAddresses.controlPlane", "dataDirectory", "zone", "internalPortRange",
    ]  # fmt: skip
    assert run("check", "deploy", "deploy/system.toml")[0] == 0
    deploy = tmp_path / "d.toml"
    deploy.write_text(
        'build = "true"\n[roles.a]\nrun = "env x"\non = "edge"\nshare = 2\nserves = ["edge", "tea"]\n'
        '[roles.b]\nrun = "python3 -m latchspoke.nix"\non = "edge"\nserves = ["edge"]\n'
    )
    code, text = run("check", "deploy", deploy, "--json")
    assert code == 3 and [fault["path"] for fault in json.loads(text)["faults"]] == [
        "roles.a.run", "roles.a.share", "roles.a.serves[1]", "roles.b.run", "roles.b", "roles", "roles",
    ]  # fmt: skip


def test_status_tells_the_fleet_and_what_wants_a_look(
    run: Run, machines: Machines, view: dict[str, Any]
) -> None:
    machines.tell("/status", (200, CONTROL), (200, view | {"index": 11}))
    code, text = run("status", "--all", "--strict", "--json")
    told = json.loads(text)
    assert code == 6 and set(told) == {"ok", "exit", "control", "gateways", "findings"}
    assert [f["code"] for f in told["findings"]] == [
        "voter_missing", "behind", "silent", "no_server", "no_source", "old_version"
    ]  # fmt: skip
    machines.tell("/status", (200, CONTROL))
    code, text = run("status")
    assert code == 0 and "127.0.0.3:7601  is a voter of the store, but not a live member" in text
    machines.tell("/status", (200, view))
    assert "uses version 00000007, lease" in run("status", "--gateway", "127.0.0.1:8201")[1]
    machines.tell("/status", "refused", (503, {"errorText": "stops"}))
    assert run("status", "--within", "0") == (1, "ctl: no control-plane node answers: refused\n")


def test_requests_are_explained_online_and_offline(
    run: Run, machines: Machines, view: dict[str, Any], tmp_path: Path
) -> None:
    key, config = tmp_path / "key", written(tmp_path / "c.json", CONFIGURATION)
    key.write_text(KEY)
    machines.tell("/status", (200, CONTROL))
    machines.tell("/resolution?zone=a&region=north", (200, {"addresses": ["127.0.0.1:8206"]}))
    machines.tell("/explain", (200, {"outcome": "404", "because": "no route", "version": "00000007"}))
    code, text = run("explain", "a.example", "/x", "--key-file", key, "--zone", "a")
    assert code == 0 and "resolves: 127.0.0.1:8206" in text
    assert json.loads(machines.sent[-1][1])["key"] == KEY
    words = ("explain", "a.example", "/read/1", "--config", config, "--key-file", key, "--json")
    assert json.loads(run(*words)[1])["tenant"]["name"] == "mill"
    state = written(tmp_path / "state.json", {"gateway": view})
    told = json.loads(run(*words, "--state", state)[1])
    assert [s["id"] for s in told["servers"]["books"]] == ["b1", "b2", "b3"] and told["exit"] == 0
    assert run(*words, "--state", config)[0] == 2 and run(*words, "--tenant", "mill")[0] == 2


def test_keys_are_hidden_and_hidden_ones_are_never_taken(
    run: Run, machines: Machines, tmp_path: Path
) -> None:
    machines.tell("/rpc?call=configuration.read", (200, CONFIGURATION))
    shown, whole = tmp_path / "shown.json", tmp_path / "whole.json"
    assert "(hidden key)" in run("config", "read")[1] and run("config", "read", "--keys")[0] == 2
    assert run("config", "read", "--out", shown)[0] == run("config", "read", "--keys", "--out", whole)[0] == 0
    assert json.loads(whole.read_text()) == CONFIGURATION and whole.stat().st_mode & 0o077 == 0
    assert run("check", "configuration", shown)[0] == run("config", "replace", shown)[0] == 3
    new = copy.deepcopy(CONFIGURATION) | {"version": "00000009"}
    new["tenants"][0]["apiKeys"] = ["another"]
    new["listenerList"][0]["ruleSet"][0]["actionSpec"]["timeoutS"] = 3
    code, text = run("config", "diff", written(tmp_path / "new.json", new))
    assert (code, text.splitlines()) == (0, [
        "~ version version '00000007' -> '00000009'", "~ route r-read timeoutS 2 -> 3",
        "~ tenant mill apiKeys: 1 added, 1 removed",
    ])  # fmt: skip


def test_orders_end_clear_or_unclear(run: Run, machines: Machines, tmp_path: Path) -> None:
    file = written(tmp_path / "c.json", CONFIGURATION)
    machines.tell("/rpc?call=configuration.replace", "silent", (503, {}), (200, {}))
    assert run("config", "replace", file)[0] == 0
    assert [body for _, body in machines.sent] == [file.read_bytes()] * 3
    machines.tell("/rpc?call=configuration.replace", (412, {"errorText": "current is 9"}))
    assert run("config", "replace", file) == (4, "ctl: conflict: current is 9\n")
    machines.tell("/rpc?call=configuration.replace", (400, {"errorText": "x", "faults": ["a: b", "c: d"]}))
    assert run("config", "replace", file) == (3, "ctl: a: b\nctl: c: d\n")
    machines.tell("/rpc?call=evacuation.begin&of=a", "silent")
    code, text = run("evacuate", "begin", "a", "--within", "0", "--json")
    assert code == 5 and json.loads(text)["exit"] == 5
    machines.tell("/rpc?call=evacuation.finish&of=a", (200, {}))
    assert run("evacuate", "finish", "a") == (0, "the evacuation of a is finished\n")
    machines.tell("/history", (200, {"versions": [{"version": "00000007", "digest": "d", "current": True}]}))
    assert "00000007  d" in run("config", "history")[1]


def test_a_change_is_numbered_and_checked_on_what_is_in_force(
    run: Run, machines: Machines, tmp_path: Path
) -> None:
    machines.tell("/rpc?call=configuration.read", (200, CONFIGURATION))
    machines.tell("/rpc?call=configuration.modify", (200, {}))
    change = written(tmp_path / "p.json", {"version": "00000001", "remove": {"routes": ["r-all"]}})
    assert run("config", "modify", change, "--on-current") == (0, "version 00000008 is current\n")
    sent = json.loads(machines.sent[-1][1])
    assert (sent["version"], sent["baseVersion"]) == ("00000008", "00000007")
    change = written(tmp_path / "p.json", {"remove": {"services": ["till"]}})
    code, text = run("config", "modify", change, "--on-current")
    assert code == 3 and "'till' is not a known service" in text


def test_wrong_usage_is_one_line(run: Run, machines: Machines, monkeypatch: pytest.MonkeyPatch) -> None:
    for words in (["nix"], ["check", "settings"], ["status", "--within", "soon"], ["evacuate", "begin"]):
        code, text = run(*words)
        assert code == 2 and len(text.splitlines()) == 1, text
    monkeypatch.delenv("LATCHSPOKE_CONTROL")
    assert run("status")[0] == 2 and run("status", "--control", "nowhere")[0] == 2


def test_a_copy_is_checked_kept_and_begins_a_system_anew(
    run: Run, machines: Machines, tmp_path: Path
) -> None:
    orders = Orders(apply_patch)  # type: ignore[arg-type]
    orders.apply(12, {"do": "replace", "version": 7, "base": 0, "digest": "d", "doc": CONFIGURATION})
    orders.apply(13, {"do": "evacuate", "zone": "b"})
    machines.tell("/register/copy", (200, copies.write(copies.take(orders, 13, "core-a"))))
    kept, names = tmp_path / "register.copy", "127.0.0.2:7601,127.0.0.3:7601"
    assert run("store", "copy", "127.0.0.2:8200", kept)[0] == 0 and kept.stat().st_mode & 0o077 == 0
    assert json.loads(run("store", "check", kept, "--json")[1])["evacuated"] == ["b"]
    home = tmp_path / "disk"
    words = ("store", "restore", kept, home, "--founders", names, "--me")
    assert run(*words, "127.0.0.9:7601")[0] == 3
    assert run(*words, "127.0.0.2:7601")[0] == 0
    assert run(*words, "127.0.0.2:7601")[0] == 3  # there is something now
    found = json.loads(run("store", "check", home / "register.db", "--json")[1])
    assert (found["kind"], found["version"], found["index"]) == ("store", "00000007", BLOCK)
    assert run("store", "copy", home / "register.db", tmp_path / "again")[0] == 0
    again = json.loads(run("store", "check", tmp_path / "again", "--json")[1])
    assert (again["applied"], again["evacuated"]) == (BLOCK, ["b"])
    kept.write_bytes(kept.read_bytes().replace(b"a.example", b"b.example"))
    assert "damaged" in run("store", "check", kept)[1]
    data = bytearray((home / "register.db").read_bytes())
    place = data.index(b"a.example")
    data[place] ^= 1
    (home / "register.db").write_bytes(data)
    assert run("store", "check", home / "register.db")[0] == 3
    assert run("store", "check", written(tmp_path / "x", {}))[0] == 3


def test_a_restored_register_goes_on_above_all_that_was_told(tmp_path: Path) -> None:
    orders = Orders(apply_patch)  # type: ignore[arg-type]
    orders.apply(12, {"do": "replace", "version": 7, "base": 0, "digest": "d", "doc": CONFIGURATION})
    me = "127.0.0.2:7601"
    copied = copies.take(orders, 12, "core-a")
    beginning = copies.begin_anew(copied, [me])
    assert beginning.snapshot != founding([me], orders)
    stored = Stored(f"{me}#{beginning.draw}", 2, snapshot=beginning.snapshot)
    register = Register(stored, [me], apply_patch, random.Random(1), 0.0)  # type: ignore[arg-type]
    now, number = 0.0, 0
    while now < 5 and not register.answers:
        now += 0.05
        if register.leads and not number:
            number = register.submit({"do": "evacuate", "zone": "a"}, 1.0, now)
        register.tick(now)
        while (output := register.take()) is not None:
            register.stored(output, now)
    assert register.answers and register.answers[0][0] == number
    assert register.orders.index > BLOCK and register.orders.version == 7
    assert register.orders.evacuated == {"a"}


def test_the_programs_load_none_of_it() -> None:
    code = (
        "import sys, latchspoke.dataplane.__main__, latchspoke.controlplane.__main__\n"
        "assert not {'cyclopts', 'returns', 'structlog', 'latchspoke.ctl'} & set(sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_a_travelling_caller_is_shown_and_moved(run: Run, machines: Machines) -> None:
    bill = {
        "number": [1, 2, 3], "site": "edge-a-1/l1", "service": "till", "life": "t1", "left_s": 9.5,
        "address": "127.0.0.9:1", "exchange": "e1", "fate": "open",
    }  # fmt: skip
    asked: list[dict[str, str]] = []

    def ask(address: Any, method: str, target: str, body: bytes) -> Any:
        asked.append(json.loads(body))
        told: dict[str, Any]
        if asked[-1].get("to") == "t9":
            told, status = {"errorText": "an exchange is open, or its fate is unknown"}, 409
        elif asked[-1].get("to"):
            told, status = {"moved": bill}, 200
        else:
            told, status = (
                {"key": "k", "travels": True, "owner": "edge-b", "copy": "", "homes": [], "hand": bill},
                200,
            )
        return Success(Reply(status, told, b"", "127.0.0.1:8201"))

    app.REQUEST_SENDER[0] = ask
    at = ("--gateway", "127.0.0.1:8201", "--route", "pay", "--tenant", "acme")
    code, text = run("caller", "show", "m-7", *at)
    assert code == 0 and "site: t1 at 127.0.0.9:1, exchange e1 open" in text and "number 1/2/3" in text
    assert run("caller", "move", "m-7", *at, "--to", "t2")[0] == 0
    assert asked[-1] == {"route": "pay", "tenant": "acme", "caller": "m-7", "to": "t2"}
    code, text = run("caller", "move", "m-7", *at, "--to", "t9")
    assert code == 4 and "its fate is unknown" in text


def test_a_caller_is_shown_though_its_owner_is_lost_and_refused_in_one_line(run: Run) -> None:
    doors = {"127.0.0.1:8201": "edge-a", "127.0.0.1:8202": "edge-b"}
    members = [{"name": n, "role": "edge", "ready": True, "status": a} for a, n in doors.items()]
    bill = {"number": [1, 2, 3], "site": "edge-a/l1", "life": "t1", "left_s": 9.5, "address": "x:1",
            "exchange": "e1", "fate": "open"}  # fmt: skip
    told: dict[str, Any] = {"key": "k", "travels": True, "owner": "edge-b", "copy": "edge-a", "homes": []}

    def ask(address: Any, method: str, target: str, body: bytes) -> Any:
        if target == "/status":
            return Success(Reply(200, {"members": members}, b"", "core"))
        if address[1] == 8202:
            return Failure("127.0.0.1:8202: refused")
        return Success(Reply(200, dict(told), b"", "127.0.0.1:8201"))

    app.REQUEST_SENDER[0] = ask
    at = ("--control", "127.0.0.2:8200", "--route", "pay")
    told["record"] = bill
    code, text = run("caller", "show", "m-7", *at)
    assert code == 0 and "copy: t1 at x:1, exchange e1 open" in text and "owner: no answer" in text
    del told["record"]
    told["travels"] = False
    assert run("caller", "show", "m-7", *at)[0] == 3
    told.clear()  # a gateway of another release
    code, text = run("caller", "show", "m-7", *at, "--json")
    assert code == 1 and json.loads(text)["error"].endswith("it does not support callers")


def test_a_zone_that_another_has_emptied_too_stays_empty_and_says_so(run: Run, machines: Machines) -> None:
    target = "/rpc?call=evacuation.finish&of=a"
    machines.tell(target, (503, {"errorText": "send it again"}), (200, {"standing": 1}))
    code, text = run("evacuate", "finish", "a")
    assert code == 0 and "1 more, by others, remains" in text and len(machines.sent) == 2
    machines.tell(target, (200, {"standing": 0}))
    assert run("evacuate", "finish", "a") == (0, "the evacuation of a is finished\n")


def test_reach_tells_who_was_reached_by_whom_and_what_changed(run: Run, machines: Machines) -> None:
    machines.tell("/status", (200, CONTROL))
    code, text = run("reach", "--since", "500")
    assert code == app.USAGE and "--since" in text
    machines.tell("/reach?since=60", "refused")
    code, text = run("reach")
    assert (code, "none of 1 gateways answered" in text) == (app.NO_ANSWER, True)

    loop = asyncio.new_event_loop()
    node = gateway(loop)
    node.sweep(node.clock.now())
    for number in range(6):
        node.reach_graph.note("b1", "r-read", Code.ERROR if number else Code.OK, 0.2, False, node.clock.now())
    assert node.handle_query("GET", "/reach?since=0", b"")[0] == 400
    assert node.handle_query("GET", "/reach?sinse=1", b"")[1] == {
        "errorText": "'sinse' is none of since, service, server"
    }
    machines.tell("/reach?since=60", node.handle_query("GET", "/reach?since=60", b""))
    machines.tell("/reach?since=60&server=b1", node.handle_query("GET", "/reach?since=60&server=b1", b""))
    machines.tell("/reach?since=60&server=x", node.handle_query("GET", "/reach?since=60&server=x", b""))
    loop.close()
    code, text = run("reach", "--changes", "--strict")
    assert code == app.FINDINGS and "1 gateways report the last" in text
    assert "failing" in text and "83% of 6 requests from 1 gateways failed" in text
    assert any(line.split()[:3] == ["books", "b1", "a"] and "1/1" in line for line in text.splitlines())
    assert any("b3" in line and "new" in line and "cold" in line for line in text.splitlines())
    code, text = run("reach", "--server", "b1", "--zone", "a", "--json")
    told = json.loads(text)
    assert code == 0 and [s["id"] for s in told["servers"]] == ["b1"]
    assert told["servers"][0]["ends"] == {"error": 5, "ok": 1} and told["silent"] == []
    code, text = run("reach", "--server", "x")
    assert code == app.USAGE and "knows a server 'x'" in text
