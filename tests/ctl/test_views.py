"""Status, metrics and explanations of the programs; none of them contains a tenant's key."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from barleyhub import interface as api
from barleyhub.line.dispatch import RoutedRequest
from latchspoke.configuration import compile_table
from latchspoke.ctl import formatting
from latchspoke.dataplane import view
from latchspoke.dataplane.explain import ExplainRequest, explain
from latchspoke.dataplane.node import Node
from tests.ctl.nodes import CONFIGURATION, KEY, control_node, gateway_node


@pytest.fixture
def node() -> Iterator[Node]:
    loop = asyncio.new_event_loop()
    yield gateway_node(loop)
    loop.close()


def ask(node: Node, **fields: str) -> dict[str, Any]:
    status, result = node.handle_query("POST", "/explain", json.dumps(fields).encode())
    assert status == 200, result
    assert KEY not in json.dumps(result)
    return dict(result)


def test_gateway_status_has_versions_servers_and_avoidance_reasons(node: Node) -> None:
    status, view_data = node.handle_query("GET", "/status?x=1", b"")
    assert status == 200 and KEY not in json.dumps(view_data)
    assert msgspec.json.decode(msgspec.json.encode(view_data)) == view_data
    assert (view_data["version"], view_data["acts_by"], view_data["index"]) == ("00000007", "00000007", 12)
    assert view_data["ready"] and view_data["lease"]["held"] and 4 < view_data["lease"]["left_s"] <= 4.5
    assert (
        view_data["source"] is None
        and view_data["evacuated"] == ["c"]
        and view_data["gateways"] == ["edge-a-1"]
    )
    reasons = {each["id"]: each["avoided"] for each in view_data["servers"]}
    assert reasons == {"b1": [], "b2": [], "b3": ["cold"], "t1": ["evacuated"]}


def test_gateway_status_has_refusals_quotas_and_retry_budgets(node: Node) -> None:
    table = node.downstream.table
    assert table is not None
    tenant, route = table.tenant(KEY), table.routes["r-read"]
    node.rng.seed(1)
    assert tenant is not None
    account = node.dispatcher.get_account(tenant, node.clock.now())
    account.update_totals(20.0, 0.0, 0.0, (0.0, 0.0), node.clock.now())
    sent = []
    for number in range(60):
        call = RoutedRequest(f"{number}", "mill", "books", "r-read", 1.0, 2.0, 1, route=route, tenant=tenant)
        sent += node.dispatcher.handle(call, node.clock.now())
    assert any(isinstance(action, api.Refuse) for action in sent)
    view_data = view.status(node)
    assert view_data["quotas"]["mill"]["offered"] == 60 and view_data["quotas"]["mill"]["room"] < 10
    assert view_data["budgets"]["books"]["most"] > 0
    last = view_data["refusals"][0]
    assert last["reason"] in ("gate", "total") and (last["route"], last["tenant"]) == ("r-read", "mill")
    page = view.metrics(view_data)
    assert '\nlatchspoke_servers_avoided{reason="cold"} 1\n' in page
    assert "\nlatchspoke_config_version 7\n" in page and KEY not in page
    assert all(line[0] == "#" or line.count(" ") == 1 for line in page.splitlines())


def test_a_request_is_explained_by_a_running_gateway(node: Node) -> None:
    result = ask(node, host="A.example:80", path="/read/1?x=2", key=KEY)
    assert result["route"]["name"] == "r-read" and result["route"]["shorter_prefixes"] == ["r-all"]
    assert (result["tenant"]["name"], result["homes"], result["outcome"]) == ("mill", None, "forwarded")
    assert result["servers"]["books"][0]["id"] == "b1"
    far = ask(node, host="a.example", path="/read/1", tenant="quay")
    barred = {s["id"]: s["barred"] for s in far["servers"]["books"]}
    assert far["homes"] == ["south"] and barred == {
        "b1": ["outside_homes"],
        "b2": [],
        "b3": ["outside_homes"],
    }
    split = ask(node, host="a.example", path="/else/")
    assert [s["share"] for s in split["route"]["services"]] == [0.75, 0.25]
    assert "no server of till may be taken" in split["because"]
    assert ask(node, host="a.example", path="/read/", key="nobody's")["outcome"] == "401"
    assert ask(node, host="b.example", path="/read/")["because"] == "no route has this host"
    status, fault = node.handle_query("POST", "/explain", b'{"host":"a.example"}')
    assert (status, fault["errorText"]) == (400, "host and path are asked for")


def test_a_request_is_explained_by_a_configuration_alone() -> None:
    table = compile_table(CONFIGURATION)  # type: ignore[arg-type]
    result = explain(table, ExplainRequest("a.example", "/read/1", "mill"), 0.0)
    assert result["outcome"] == "forwarded" and "servers" not in result
    assert (
        explain(table, ExplainRequest("a.example", "/read/1"), 0.0)["because"]
        == "no key, and the route needs one"
    )


def test_a_key_is_refused_without_any_tenant() -> None:
    """Guards against an explanation that lets in a key that the gateway refuses."""
    for tenants, outcome in (([], "401"), (None, "forwarded")):
        table = compile_table(CONFIGURATION | {"tenants": tenants})  # type: ignore[arg-type]
        assert explain(table, ExplainRequest("a.example", "/read/1"), 0.0)["outcome"] == outcome
        result = explain(table, ExplainRequest("a.example", "/read/1", key="unknown"), 0.0)
        assert result["outcome"] == "401", result


def test_control_plane_status_metrics_and_history(tmp_path: Path) -> None:
    loop = asyncio.new_event_loop()
    node = control_node(loop, tmp_path)
    answers = {path: node.handle_request("GET", path, b"") for path in ("/status", "/metrics", "/history")}
    node.replica.ledger.close()
    loop.close()
    view_data, page, history = (answer[1] for answer in answers.values())  # type: ignore[index]
    assert KEY not in json.dumps([view_data, page, history])
    assert (view_data["version"], view_data["index"], view_data["evacuated"]) == ("00000007", 13, ["b"])
    assert history == {"versions": [{"version": "00000007", "digest": "d1", "current": True}]}
    assert [(s["id"], s["region"], s["avoided"]) for s in view_data["servers"]] == [("b1", "north", [])]
    edge = next(m for m in view_data["members"] if m["name"] == "edge-a-1")
    assert (edge["status"], edge["ready"], edge["index"]) == ("127.0.0.1:8201", True, 0)
    assert "latchspoke_gateways_following 1\n" in page and "latchspoke_config_version 7\n" in page
    assert 'latchspoke_members{role="edge",state="ready"} 1\n' in page
    codes = {each["code"] for each in formatting.findings(view_data, {"edge-a-1": None})}
    assert codes == {"no_leader", "not_proven", "evacuated", "no_answer"}


def test_every_code_is_documented() -> None:
    page = Path("docs/operating-system.md").read_text()
    sources = {
        "latchspoke/ctl/formatting.py": r'finding\(\s*"(\w+)"',
        "latchspoke/dataplane/downstream.py": r'reject_request\([^)]*?\d, "(\w+)"',
        "latchspoke/reach/recorder.py": r'found.append\("(\w+)"\)',
        "latchspoke/reach/aggregate.py": r'found.append\(\s*\(\s*"(\w+)"',
        "latchspoke/dataplane/explain.py": r'append\("(\w+)"\)',
        "latchspoke/transport/log.py": r'"([a-z-]+)": "(?:error|warning)"',
        "latchspoke/controlplane/view.py": r'Family\("(latchspoke\w+)"',
    }
    for path, pattern in sources.items():
        codes = re.findall(pattern, Path(path).read_text(), re.M)
        assert len(codes) > 2, path
        assert not [code for code in codes if f"`{code}" not in page], path
