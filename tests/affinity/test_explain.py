"""Explanations of a gateway, and of the pool command from a saved status."""

import json
import random
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import pytest

from barleyhub.affinity.rendezvous import caller_key
from barleyhub.affinity.selection import AffinitySelector
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState
from barleyhub.line.dispatch import Dispatcher
from latchspoke.configuration import compile_table
from latchspoke.dataplane.explain import ExplainRequest, explain
from latchspoke.pool.command import pool_app

ACTION = {"service": "s", "affinity": {"callerFrom": ["header:X-Member", "path:2"], "exchangeS": 9}}
RULE = {"name": "r", "matchCriteria": {"pathPrefix": "/a/"}, "actionSpec": ACTION}
DOC = {
    "version": "00000001",
    "listenerList": [{"host": "h", "ruleSet": [RULE]}],
    "clusterList": [{"name": "s"}],
}


def test_a_gateway_explains_where_a_caller_goes() -> None:
    balancer = Balancer("g", "z", "r", random.Random(1), 0.5)
    for number in range(4):
        balancer.put(Upstream(f"i{number}", "s", "h", number + 1, "z", "r", 4, UpstreamState.READY), 0.0)
    dispatcher = Dispatcher(balancer, random.Random(1), 0.2, 9.0)
    dispatcher.affinity = AffinitySelector(balancer)
    table = compile_table(cast(Any, DOC))

    def explained(**ask: str) -> dict[str, Any]:
        return explain(table, ExplainRequest("h", "/a/bob", **ask), 1.0, balancer, dispatcher)

    first = explained()
    assert first["caller"]["caller"] == "bob" and first["caller"]["id"] in first["because"]
    assert explained(caller="eve")["caller"]["caller"] == "eve"
    upstream = balancer.upstreams[first["caller"]["id"]]
    upstream.backoff_until = 5.0
    assert explained()["caller"]["id"] != upstream.ident
    assert "can't be reached" in [line["passed_over"] for line in explained()["caller"]["order"]]
    upstream.backoff_until = 0.0
    dispatcher.affinity.pins["s", caller_key(b"bob")] = "i3", 4.0
    assert explained()["caller"]["id"] == "i3" and "exchange is open" in explained()["because"]
    assert "caller" not in explain(table, ExplainRequest("h", "/a/"), 1.0, balancer, dispatcher)


SERVERS = [
    {"service": "s", "state": "ready", "address": f"h:{n}", "slots": 4, "zone": f"z{n % 2}", "region": "r"}
    for n in range(4)
]


def run_command(capsys: pytest.CaptureFixture[str], *arguments: str) -> dict[str, Any]:
    code = pool_app([*arguments, "--json"], result_action="return_value")
    result: dict[str, Any] = json.loads(capsys.readouterr().out)
    assert result["exit"] == code
    return result


def test_a_change_is_planned_from_a_saved_status(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    status, names = tmp_path / "view", tmp_path / "names"
    status.write_text(json.dumps({"gateway": {"servers": SERVERS, "evacuated": []}}))
    names.write_text("\n".join(f"c{number}" for number in range(500)))
    options = ("--state", str(status), "--service", "s")
    result = run_command(
        capsys, "plan", *options, "--remove", "h:0", "--add", "h:9=4@z0", "--callers", str(names)
    )
    assert result["callers"] == 500 and 0.2 < result["share_moved"] < 0.5
    assert result["least_possible"] == 0.25 and not result["places"]["h:9"]["leave"]
    assert run_command(capsys, "plan", *options, "--evacuate", "z1")["least_possible"] == 0.5
    assert run_command(capsys, "explain", "bob", *options)["goes_to"].startswith("h:")
    for invalid in (
        ["--remove", "x"], ["--add", "h:9"], ["--slots", "h:0=none"], ["--add", "h:0=4@z"], ["--home", "x"],
        ["--evacuate", "z7"], ["--evacuate", "z0", "--evacuate", "z1"], ["--callers", str(tmp_path)],
    ):  # fmt: skip
        assert run_command(capsys, "plan", *options, *invalid)["exit"] == 2
        assert pool_app(["plan", *options, *invalid], result_action="return_value") == 2
        out, error = capsys.readouterr()
        assert not out and error.startswith("pool: ") and error.count("\n") == 1
    assert pool_app(["plan", *options, "--evacuate", "z1"], result_action="return_value") == 0
    assert "at least 50.00% must" in capsys.readouterr().out
    assert pool_app(["explain", "bob", *options], result_action="return_value") == 0
    assert "first in its order" in capsys.readouterr().out
    assert run_command(capsys, "explain", "bob", "--state", str(names), "--service", "s")["exit"] == 2


def test_the_hash_module_is_not_imported_without_affinity() -> None:
    script = (
        "import sys, latchspoke.dataplane.node, latchspoke.controlplane.node; print('xxhash' in sys.modules)"
    )
    completed = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "False"
