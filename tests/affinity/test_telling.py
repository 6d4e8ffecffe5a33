"""What people are told: by a gateway, and from its saved view."""

import json
import random
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import pytest

from barleyhub.affinity.keeper import Berths
from barleyhub.affinity.order import key_of
from barleyhub.line.dispatch import Dispatcher
from barleyhub.line.stock import State, Stock, Upstream
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


def test_a_gateway_tells_where_a_caller_goes_and_why() -> None:
    stock = Stock("g", "z", "r", random.Random(1), 0.5)
    for n in range(4):
        stock.put(Upstream(f"i{n}", "s", "h", n + 1, "z", "r", 4, State.READY), 0.0)
    gate = Dispatcher(stock, random.Random(1), 0.2, 9.0)
    gate.berths = Berths(stock)
    table = compile_table(cast(Any, DOC))

    def told(**ask: str) -> dict[str, Any]:
        return explain(table, ExplainRequest("h", "/a/bob", **ask), 1.0, stock, gate)

    first = told()
    assert first["caller"]["caller"] == "bob" and first["caller"]["id"] in first["because"]
    assert told(caller="eve")["caller"]["caller"] == "eve"
    upstream = stock.upstreams[first["caller"]["id"]]
    upstream.rest_until = 5.0
    assert told()["caller"]["id"] != upstream.ident
    assert "can't be reached" in [line["passed_over"] for line in told()["caller"]["order"]]
    upstream.rest_until = 0.0
    gate.berths.pins["s", key_of(b"bob")] = "i3", 4.0
    assert told()["caller"]["id"] == "i3" and "exchange is open" in told()["because"]
    assert "caller" not in explain(table, ExplainRequest("h", "/a/"), 1.0, stock, gate)


SERVERS = [
    {"service": "s", "state": "ready", "address": f"h:{n}", "slots": 4, "zone": f"z{n % 2}", "region": "r"}
    for n in range(4)
]


def run(capsys: pytest.CaptureFixture[str], *words: str) -> dict[str, Any]:
    code = pool_app([*words, "--json"], result_action="return_value")
    told: dict[str, Any] = json.loads(capsys.readouterr().out)
    assert told["exit"] == code
    return told


def test_a_change_is_planned_from_a_saved_view(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    view, names = tmp_path / "view", tmp_path / "names"
    view.write_text(json.dumps({"gateway": {"servers": SERVERS, "evacuated": []}}))
    names.write_text("\n".join(f"c{n}" for n in range(500)))
    where = ("--state", str(view), "--service", "s")
    told = run(capsys, "plan", *where, "--remove", "h:0", "--add", "h:9=4@z0", "--callers", str(names))
    assert told["callers"] == 500 and 0.2 < told["share_moved"] < 0.5
    assert told["least_possible"] == 0.25 and not told["places"]["h:9"]["leave"]
    assert run(capsys, "plan", *where, "--evacuate", "z1")["least_possible"] == 0.5
    assert run(capsys, "explain", "bob", *where)["goes_to"].startswith("h:")
    for wrong in (
        ["--remove", "x"], ["--add", "h:9"], ["--slots", "h:0=none"], ["--add", "h:0=4@z"], ["--home", "x"],
        ["--evacuate", "z7"], ["--evacuate", "z0", "--evacuate", "z1"], ["--callers", str(tmp_path)],
    ):  # fmt: skip
        assert run(capsys, "plan", *where, *wrong)["exit"] == 2
        assert pool_app(["plan", *where, *wrong], result_action="return_value") == 2
        out, error = capsys.readouterr()
        assert not out and error.startswith("pool: ") and error.count("\n") == 1
    assert pool_app(["plan", *where, "--evacuate", "z1"], result_action="return_value") == 0
    assert "at least 50.00% must" in capsys.readouterr().out
    assert pool_app(["explain", "bob", *where], result_action="return_value") == 0
    assert "first in its order" in capsys.readouterr().out
    assert run(capsys, "explain", "bob", "--state", str(names), "--service", "s")["exit"] == 2


def test_nothing_is_loaded_unless_a_route_asks() -> None:
    loaded = (
        "import sys, latchspoke.dataplane.node, latchspoke.controlplane.node; print('xxhash' in sys.modules)"
    )
    found = subprocess.run([sys.executable, "-c", loaded], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "False"
