"""Output and exit codes of all commands, against a fake control plane and fake gateways."""

from __future__ import annotations

import asyncio
import copy
import functools
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
from latchspoke.configstore.config_state import ConfigState
from latchspoke.configstore.copies import INDEX_BLOCK
from latchspoke.configstore.store_node import StoreNode, founding_snapshot
from latchspoke.configuration import apply_patch
from latchspoke.consensus.records import Stored
from latchspoke.ctl import app, client, common
from latchspoke.ctl.client import Reply
from latchspoke.version_rollouts.formatting import rollout_view
from latchspoke.version_rollouts.records import RolloutRecord, RolloutState
from latchspoke.version_rollouts.samples import GatewayReport, SamplePool, SampleRow
from tests.ctl.nodes import CONFIGURATION, KEY, SETTINGS, gateway_node

FakeAnswer = tuple[int, Any] | str
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


class FakeSystem:
    """Canned responses by request target, the last one repeated; records the requests sent."""

    def __init__(self) -> None:
        self.answers: dict[str, list[FakeAnswer]] = {}
        self.sent: list[tuple[str, bytes]] = []

    def respond(self, target: str, *answers: FakeAnswer) -> None:
        self.answers[target] = list(answers)

    def ask(self, address: client.Address, method: str, target: str, body: bytes) -> Result[Reply, str]:
        self.sent.append((target, body))
        answers = self.answers.get(target, ["no response prepared"])
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(answer, str):
            return Failure(answer)
        raw = answer[1] if isinstance(answer[1], bytes) else json.dumps(answer[1]).encode()
        return Success(Reply(answer[0], client.parse_body(raw), raw, f"{address[0]}:{address[1]}"))


Run = Callable[..., tuple[int, str]]


@pytest.fixture
def system(monkeypatch: pytest.MonkeyPatch) -> FakeSystem:
    found = FakeSystem()
    monkeypatch.setattr(common, "request_sender", found.ask)
    monkeypatch.setenv("LATCHSPOKE_CONTROL", "127.0.0.2:8200")
    monkeypatch.setattr("time.sleep", lambda s: None)
    return found


@pytest.fixture
def run(capsys: pytest.CaptureFixture[str]) -> Run:
    def call(*arguments: object) -> tuple[int, str]:
        code = app.main([str(argument) for argument in arguments])
        output = capsys.readouterr()
        assert KEY not in output.out + output.err
        return code, output.out or output.err

    return call


@pytest.fixture
def gateway_view() -> Iterator[dict[str, Any]]:
    loop = asyncio.new_event_loop()
    yield gateway_node(loop).handle_query("GET", "/status", b"")[1]
    loop.close()


def write_json(path: Path, doc: object) -> Path:
    path.write_text(json.dumps(doc))
    return path


def test_doctor_tells_a_machine_whose_descriptors_are_too_few_by_its_exit_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "local.yaml"
    path.write_text(json.dumps(SETTINGS | {"limits": SETTINGS["limits"] | {"fileDescriptors": 1 << 40}}))
    code = app.app(["doctor", "--settings", str(path), "--json"], result_action="return_value")
    result = json.loads(capsys.readouterr().out)
    levels = {check["check"]: check["level"] for check in result["checks"]}
    assert levels["descriptors"] == "warning" and levels["settings"] == "good"
    assert code == result["exit"] and code in (3, 6)  # 3: without the libraries of the build


def test_check_configuration_reports_every_fault(run: Run, tmp_path: Path) -> None:
    bad = copy.deepcopy(CONFIGURATION)
    bad["version"] = "7"
    bad["tenants"][1]["apiKeys"].append(KEY)
    rules = bad["listenerList"][0]["ruleSet"]
    rules[0]["matchCriteria"]["pathPrefix"] = "read/"
    rules[0]["actionSpec"] |= {"maxAttempts": 0, "timeoutS": 601}
    rules[1]["actionSpec"]["weightedSplit"][0] = {"service": "nobody", "weight": -1}
    file = write_json(tmp_path / "c.json", bad)
    code, text = run("check", "configuration", file, "--json")
    result = json.loads(text)
    assert (code, result["ok"], result["exit"]) == (3, False, 3)
    assert [fault["path"] for fault in result["faults"]] == [
        "version", "tenants[1].apiKeys", "listenerList[0].ruleSet[0].matchCriteria.pathPrefix",
        "listenerList[0].ruleSet[0].actionSpec.timeoutS", "listenerList[0].ruleSet[0].actionSpec.maxAttempts",
        "listenerList[0].ruleSet[1].actionSpec.weightedSplit[0].service",
        "listenerList[0].ruleSet[1].actionSpec.weightedSplit[0].weight",
    ]  # fmt: skip
    assert len(run("check", "configuration", file)[1].splitlines()) == 7
    good = run("check", "configuration", write_json(tmp_path / "g.json", CONFIGURATION))
    assert good[0] == 0 and good[1].endswith("version 00000007, 2 routes, 2 services, 2 tenants\n")
    assert run("check", "configuration", tmp_path / "none")[0] == 2


def test_check_settings_and_deploy_report_every_fault(run: Run, tmp_path: Path) -> None:
    assert run("check", "settings", write_json(tmp_path / "ok.yaml", SETTINGS))[0] == 0
    bad = SETTINGS | {
        "servedRoles": ["control"], "zone": "q", "seedNodes": ["x"], "limits": {"memoryMb": -1},
        "internalPortRange": [7600, 7600], "bounds": ["ackS=6", "graceS=soon", "revokeS"],
    }  # fmt: skip
    code, text = run("check", "settings", write_json(tmp_path / "bad.yaml", bad), "--json")
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


def test_status_shows_the_members_and_findings(
    run: Run, system: FakeSystem, gateway_view: dict[str, Any]
) -> None:
    system.respond("/status", (200, CONTROL), (200, gateway_view | {"index": 11}))
    code, text = run("status", "--all", "--strict", "--json")
    result = json.loads(text)
    assert code == 6 and set(result) == {"ok", "exit", "control", "gateways", "findings"}
    assert [f["code"] for f in result["findings"]] == [
        "voter_missing", "behind", "silent", "no_server", "no_source", "old_version"
    ]  # fmt: skip
    system.respond("/status", (200, CONTROL))
    code, text = run("status")
    assert code == 0 and "127.0.0.3:7601  is a voter of the store, but not a live member" in text
    system.respond("/status", (200, gateway_view))
    assert "uses version 00000007, lease" in run("status", "--gateway", "127.0.0.1:8201")[1]
    system.respond("/status", "refused", (503, {"errorText": "stops"}))
    assert run("status", "--within", "0") == (1, "ctl: no control-plane node answers: refused\n")


def test_explain_works_online_and_offline(
    run: Run, system: FakeSystem, gateway_view: dict[str, Any], tmp_path: Path
) -> None:
    key, config = tmp_path / "key", write_json(tmp_path / "c.json", CONFIGURATION)
    key.write_text(KEY)
    system.respond("/status", (200, CONTROL))
    system.respond("/resolution?zone=a&region=north", (200, {"addresses": ["127.0.0.1:8206"]}))
    system.respond("/explain", (200, {"outcome": "404", "because": "no route", "version": "00000007"}))
    code, text = run("explain", "a.example", "/x", "--key-file", key, "--zone", "a")
    assert code == 0 and "resolves: 127.0.0.1:8206" in text
    assert json.loads(system.sent[-1][1])["key"] == KEY
    arguments = ("explain", "a.example", "/read/1", "--config", config, "--key-file", key, "--json")
    assert json.loads(run(*arguments)[1])["tenant"]["name"] == "mill"
    state = write_json(tmp_path / "state.json", {"gateway": gateway_view})
    result = json.loads(run(*arguments, "--state", state)[1])
    assert [s["id"] for s in result["servers"]["books"]] == ["b1", "b2", "b3"] and result["exit"] == 0
    assert run(*arguments, "--state", config)[0] == 2 and run(*arguments, "--tenant", "mill")[0] == 2


def test_keys_are_hidden_and_a_masked_configuration_is_refused(
    run: Run, system: FakeSystem, tmp_path: Path
) -> None:
    system.respond("/rpc?call=configuration.read", (200, CONFIGURATION))
    shown, whole = tmp_path / "shown.json", tmp_path / "whole.json"
    assert "(hidden key)" in run("config", "read")[1] and run("config", "read", "--keys")[0] == 2
    assert run("config", "read", "--out", shown)[0] == run("config", "read", "--keys", "--out", whole)[0] == 0
    assert json.loads(whole.read_text()) == CONFIGURATION and whole.stat().st_mode & 0o077 == 0
    assert run("check", "configuration", shown)[0] == run("config", "replace", shown)[0] == 3
    new = copy.deepcopy(CONFIGURATION) | {"version": "00000009"}
    new["tenants"][0]["apiKeys"] = ["another"]
    new["listenerList"][0]["ruleSet"][0]["actionSpec"]["timeoutS"] = 3
    code, text = run("config", "diff", write_json(tmp_path / "new.json", new))
    assert (code, text.splitlines()) == (0, [
        "~ version version '00000007' -> '00000009'", "~ route r-read timeoutS 2 -> 3",
        "~ tenant mill apiKeys: 1 added, 1 removed",
    ])  # fmt: skip


def test_exit_codes_of_accepted_refused_and_unanswered_commands(
    run: Run, system: FakeSystem, tmp_path: Path
) -> None:
    file = write_json(tmp_path / "c.json", CONFIGURATION)
    system.respond("/rpc?call=configuration.replace", "silent", (503, {}), (200, {}))
    assert run("config", "replace", file)[0] == 0
    assert [body for _, body in system.sent] == [file.read_bytes()] * 3
    system.respond("/rpc?call=configuration.replace", (412, {"errorText": "current is 9"}))
    assert run("config", "replace", file) == (4, "ctl: conflict: current is 9\n")
    system.respond("/rpc?call=configuration.replace", (400, {"errorText": "x", "faults": ["a: b", "c: d"]}))
    assert run("config", "replace", file) == (3, "ctl: a: b\nctl: c: d\n")
    system.respond("/rpc?call=evacuation.begin&of=a", "silent")
    code, text = run("evacuate", "begin", "a", "--within", "0", "--json")
    assert code == 5 and json.loads(text)["exit"] == 5
    system.respond("/rpc?call=evacuation.finish&of=a", (200, {}))
    assert run("evacuate", "finish", "a") == (0, "a is taken back\n")
    system.respond("/history", (200, {"versions": [{"version": "00000007", "digest": "d", "current": True}]}))
    assert "00000007  d" in run("config", "history")[1]


def test_new_version_is_ordered_shown_and_reverted(run: Run, system: FakeSystem) -> None:
    system.respond("/rpc?call=rollouts.begin", "silent", (200, {}))
    code, text = run("version", "begin", "books", "v2", "--duration-s", "60")
    assert (code, text) == (0, "v2 of books is being rolled out\n")
    order = {"service": "books", "targetVersion": "v2", "durationS": 60.0}
    assert [json.loads(body) for _, body in system.sent] == [order] * 2
    system.respond("/rpc?call=rollouts.begin", (412, {"errorText": "a rollout to 'v3' is in_progress"}))
    assert run("version", "begin", "books", "v2")[0] == 4
    record = RolloutRecord(7, "v2", 60.0, RolloutState.IN_PROGRESS, 0.08, 7)
    pool = SamplePool(7)
    rows = [SampleRow("", "r-all", 900, 1, 890, 9), SampleRow("b7", "r-all", 80, 2, 70, 1)]
    pool.merge(GatewayReport("books", 7, "edge-a-1", "l1", 12.0, 7, 0, 0, rows), 100.0)
    system.respond("/status", (200, {"rollouts": {"books": rollout_view(record, pool, 100.5)}}))
    assert run("version", "show")[1].splitlines() == [
        "books: v2 is in_progress, 8% of the requests",
        "  12.5 of 60 s, 1 gateways have reported on 1 servers",
        "  r-all                target       80 ended, 2 failed, 1 of 70 late",
        "  r-all                others      900 ended, 1 failed, 9 of 890 late",
    ]
    assert run("version", "show", "till")[0] == 3
    system.respond("/rpc?call=rollouts.revert&of=books", (200, {}))
    assert run("version", "revert", "books") == (0, "books is back at its old version\n")


def test_modify_on_current_sets_the_version_and_checks_the_result(
    run: Run, system: FakeSystem, tmp_path: Path
) -> None:
    system.respond("/rpc?call=configuration.read", (200, CONFIGURATION))
    system.respond("/rpc?call=configuration.modify", (200, {}))
    change = write_json(tmp_path / "p.json", {"version": "00000001", "remove": {"routes": ["r-all"]}})
    assert run("config", "modify", change, "--on-current") == (0, "version 00000008 is in force\n")
    sent = json.loads(system.sent[-1][1])
    assert (sent["version"], sent["baseVersion"]) == ("00000008", "00000007")
    change = write_json(tmp_path / "p.json", {"remove": {"services": ["till"]}})
    code, text = run("config", "modify", change, "--on-current")
    assert code == 3 and "'till' is not a known service" in text


def test_wrong_usage_prints_one_line(run: Run, system: FakeSystem, monkeypatch: pytest.MonkeyPatch) -> None:
    for arguments in (["nix"], ["check", "settings"], ["status", "--within", "soon"], ["evacuate", "begin"]):
        code, text = run(*arguments)
        assert code == 2 and len(text.splitlines()) == 1, text
    monkeypatch.delenv("LATCHSPOKE_CONTROL")
    assert run("status")[0] == 2 and run("status", "--control", "nowhere")[0] == 2


def test_a_store_copy_is_verified_and_restores_a_node(run: Run, system: FakeSystem, tmp_path: Path) -> None:
    orders = ConfigState(apply_patch)  # type: ignore[arg-type]
    orders.apply(12, {"do": "replace", "version": 7, "base": 0, "digest": "d", "doc": CONFIGURATION})
    orders.apply(13, {"do": "evacuate", "zone": "b"})
    system.respond("/register/copy", (200, copies.write(copies.make_copy(orders, 13, "core-a"))))
    kept, names = tmp_path / "register.copy", "127.0.0.2:7601,127.0.0.3:7601"
    assert run("store", "copy", "127.0.0.2:8200", kept)[0] == 0 and kept.stat().st_mode & 0o077 == 0
    assert json.loads(run("store", "check", kept, "--json")[1])["evacuated"] == ["b"]
    home = tmp_path / "disk"
    arguments = ("store", "restore", kept, home, "--founders", names, "--me")
    assert run(*arguments, "127.0.0.9:7601")[0] == 3
    assert run(*arguments, "127.0.0.2:7601")[0] == 0
    assert run(*arguments, "127.0.0.2:7601")[0] == 3  # the directory is not empty any more
    found = json.loads(run("store", "check", home / "register.db", "--json")[1])
    assert (found["kind"], found["version"], found["index"]) == ("store", "00000007", INDEX_BLOCK)
    assert run("store", "copy", home / "register.db", tmp_path / "again")[0] == 0
    again = json.loads(run("store", "check", tmp_path / "again", "--json")[1])
    assert (again["applied"], again["evacuated"]) == (INDEX_BLOCK, ["b"])
    kept.write_bytes(kept.read_bytes().replace(b"a.example", b"b.example"))
    assert "damaged" in run("store", "check", kept)[1]
    data = bytearray((home / "register.db").read_bytes())
    place = data.index(b"a.example")
    data[place] ^= 1
    (home / "register.db").write_bytes(data)
    assert run("store", "check", home / "register.db")[0] == 3
    assert run("store", "check", write_json(tmp_path / "x", {}))[0] == 3


def test_a_restored_store_continues_above_all_previous_indexes(tmp_path: Path) -> None:
    orders = ConfigState(apply_patch)  # type: ignore[arg-type]
    orders.apply(12, {"do": "replace", "version": 7, "base": 0, "digest": "d", "doc": CONFIGURATION})
    me = "127.0.0.2:7601"
    copied = copies.make_copy(orders, 12, "core-a")
    beginning = copies.restore_from_copy(copied, [me])
    assert beginning.snapshot != founding_snapshot([me], orders)
    stored = Stored(f"{me}#{beginning.identity_suffix}", 2, snapshot=beginning.snapshot)
    register = StoreNode(stored, [me], apply_patch, random.Random(1), 0.0)  # type: ignore[arg-type]
    now, number = 0.0, 0
    while now < 5 and not register.answers:
        now += 0.05
        if register.is_leader and not number:
            number = register.submit({"do": "evacuate", "zone": "a"}, 1.0, now)
        register.tick(now)
        while (output := register.take_output()) is not None:
            register.on_stored(output, now)
    assert register.answers and register.answers[0][0] == number
    assert register.state.index > INDEX_BLOCK and register.state.version == 7
    assert register.state.evacuated == {"a"}


def test_the_programs_do_not_import_the_command_line() -> None:
    code = (
        "import sys, latchspoke.dataplane.__main__, latchspoke.controlplane.__main__\n"
        "assert not {'cyclopts', 'returns', 'structlog', 'latchspoke.ctl'} & set(sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_a_shared_session_record_is_shown_and_moved(run: Run, system: FakeSystem) -> None:
    record = {
        "number": [1, 2, 3], "site": "edge-a-1/l1", "service": "till", "life": "t1", "left_s": 9.5,
        "address": "127.0.0.9:1", "exchange": "e1", "fate": "open",
    }  # fmt: skip
    requests: list[dict[str, str]] = []

    def ask(address: Any, method: str, target: str, body: bytes) -> Any:
        requests.append(json.loads(body))
        result: dict[str, Any]
        if requests[-1].get("to") == "t9":
            result, status = {"errorText": "an exchange is open, or its fate is unknown"}, 409
        elif requests[-1].get("to"):
            result, status = {"moved": record}, 200
        else:
            result, status = (
                {"key": "k", "travels": True, "owner": "edge-b", "copy": "", "homes": [], "hand": record},
                200,
            )
        return Success(Reply(status, result, b"", "127.0.0.1:8201"))

    common.request_sender = ask
    at = ("--gateway", "127.0.0.1:8201", "--route", "pay", "--tenant", "acme")
    code, text = run("caller", "show", "m-7", *at)
    assert code == 0 and "site: t1 at 127.0.0.9:1, exchange e1 open" in text and "number 1/2/3" in text
    assert run("caller", "move", "m-7", *at, "--to", "t2")[0] == 0
    assert requests[-1] == {"route": "pay", "tenant": "acme", "caller": "m-7", "to": "t2"}
    code, text = run("caller", "move", "m-7", *at, "--to", "t9")
    assert code == 4 and "its fate is unknown" in text


def test_a_session_record_is_shown_while_its_owner_is_unreachable(run: Run) -> None:
    gateways = {"127.0.0.1:8201": "edge-a", "127.0.0.1:8202": "edge-b"}
    members = [{"name": n, "role": "edge", "ready": True, "status": a} for a, n in gateways.items()]
    record = {"number": [1, 2, 3], "site": "edge-a/l1", "life": "t1", "left_s": 9.5, "address": "x:1",
            "exchange": "e1", "fate": "open"}  # fmt: skip
    result: dict[str, Any] = {"key": "k", "travels": True, "owner": "edge-b", "copy": "edge-a", "homes": []}

    def ask(address: Any, method: str, target: str, body: bytes) -> Any:
        if target == "/status":
            return Success(Reply(200, {"members": members}, b"", "core"))
        if address[1] == 8202:
            return Failure("127.0.0.1:8202: refused")
        return Success(Reply(200, dict(result), b"", "127.0.0.1:8201"))

    common.request_sender = ask
    at = ("--control", "127.0.0.2:8200", "--route", "pay")
    result["record"] = record
    code, text = run("caller", "show", "m-7", *at)
    assert code == 0 and "copy: t1 at x:1, exchange e1 open" in text and "owner: no answer" in text
    del result["record"]
    result["travels"] = False
    assert run("caller", "show", "m-7", *at)[0] == 3
    result.clear()  # a gateway of another release
    code, text = run("caller", "show", "m-7", *at, "--json")
    assert code == 1 and json.loads(text)["error"].endswith("it does not support callers")


def test_finishing_one_of_two_evacuations_reports_the_other(run: Run, system: FakeSystem) -> None:
    target = "/rpc?call=evacuation.finish&of=a"
    system.respond(target, (503, {"errorText": "send it again"}), (200, {"standing": 1}))
    code, text = run("evacuate", "finish", "a")
    assert code == 0 and "1 more, by others, stands" in text
    assert [sent_target for sent_target, _ in system.sent].count(target) == 2
    system.respond(target, (200, {"standing": 0}))
    assert run("evacuate", "finish", "a") == (0, "a is taken back\n")


@pytest.mark.parametrize(("status", "repeats_for_s"), [("silent", 3.0), ((200, {"ack_s": 10.0}), 9.0)])
def test_evacuation_is_not_repeated_for_longer_than_ack_s(
    run: Run, system: FakeSystem, monkeypatch: pytest.MonkeyPatch, status: Any, repeats_for_s: float
) -> None:
    """A begin that was repeated later, each round trying all nodes first, counted as another operator's."""
    now, sent_at = [0.0], []

    def ask(address: client.Address, method: str, target: str, body: bytes) -> Result[Reply, str]:
        if target.startswith("/rpc"):
            sent_at.append(now[0])
            now[0] += 1.0  # a node that doesn't answer
        return system.ask(address, method, target, body)

    monkeypatch.setattr(common, "request_sender", ask)
    timed = functools.partial(
        client.ControlPlaneClient, clock=lambda: now[0], sleep=lambda s: now.append(now.pop() + s)
    )
    monkeypatch.setattr(common, "ControlPlaneClient", timed)
    system.respond("/status", status)
    system.respond("/rpc?call=evacuation.begin&of=a", "silent")
    code, text = run("evacuate", "begin", "a", "--within", "60", "--control", "h:1,h:2,h:3,h:4,h:5")
    assert code == common.OUTCOME_UNKNOWN and "look at `status`" in text
    assert repeats_for_s - 2.5 < sent_at[-1] - sent_at[0] <= repeats_for_s


def test_reach_shows_reached_servers_and_changes(run: Run, system: FakeSystem) -> None:
    system.respond("/status", (200, CONTROL))
    code, text = run("reach", "--since", "500")
    assert code == common.USAGE and "--since" in text
    system.respond("/reach?since=60", "refused")
    code, text = run("reach")
    assert (code, "none of 1 gateways answered" in text) == (common.NO_ANSWER, True)

    loop = asyncio.new_event_loop()
    node = gateway_node(loop)
    node.sweep(node.clock.now())
    for number in range(6):
        node.reach_graph.record(
            "b1", "r-read", Code.ERROR if number else Code.OK, 0.2, False, node.clock.now()
        )
    assert node.handle_query("GET", "/reach?since=0", b"")[0] == 400
    assert node.handle_query("GET", "/reach?sinse=1", b"")[1] == {
        "errorText": "'sinse' is none of since, service, server"
    }
    system.respond("/reach?since=60", node.handle_query("GET", "/reach?since=60", b""))
    system.respond("/reach?since=60&server=b1", node.handle_query("GET", "/reach?since=60&server=b1", b""))
    system.respond("/reach?since=60&server=x", node.handle_query("GET", "/reach?since=60&server=x", b""))
    loop.close()
    code, text = run("reach", "--changes", "--strict")
    assert code == common.FINDINGS and "1 gateways report the last" in text
    assert "failing" in text and "83% of 6 requests from 1 gateways failed" in text
    assert any(line.split()[:3] == ["books", "b1", "a"] and "1/1" in line for line in text.splitlines())
    assert any("b3" in line and "new" in line and "cold" in line for line in text.splitlines())
    code, text = run("reach", "--server", "b1", "--zone", "a", "--json")
    result = json.loads(text)
    assert code == 0 and [s["id"] for s in result["servers"]] == ["b1"]
    assert result["servers"][0]["ends"] == {"error": 5, "ok": 1} and result["silent"] == []
    code, text = run("reach", "--server", "x")
    assert code == common.USAGE and "knows a server 'x'" in text
