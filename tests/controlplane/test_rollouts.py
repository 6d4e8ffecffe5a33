"""Version rollouts at a control-plane node: the operator's calls, and who judges."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest

from latchspoke.configstore.config_state import ConfigState, Verdict
from latchspoke.configstore.simulation import merge_patch
from latchspoke.controlplane.rollouts import RolloutController
from latchspoke.transport.http_server import LOCAL_CALLER
from latchspoke.version_rollouts.records import RolloutRecord, RolloutState
from latchspoke.version_rollouts.samples import GatewayReport, SampleRow
from tests.settings.test_node import make_settings

ORDER = {"service": "saldo", "targetVersion": "v2", "durationS": 14}
DOCUMENT = {"clusterList": [{"name": "saldo"}]}
CONFIGURATION = {"do": "replace", "version": 1, "base": 0, "digest": "d", "doc": DOCUMENT}
ACK_S = 4.0
STATUS_BY_KIND = {"taken": 200, "repeated": 200, "conflict": 412, "invalid": 400}


class FakeStore:
    """A store that commits at once."""

    def __init__(self) -> None:
        self.state = ConfigState(merge_patch)
        self.state.apply(1, CONFIGURATION)
        self.has_quorum, self.is_leader, self.leader_name = True, True, "10.0.0.1:7601"

    async def confirm_read(self, limit: float) -> int | None:
        return self.state.index if self.has_quorum else None

    async def submit(self, command: dict[str, Any], limit: float) -> Verdict:
        return self.state.apply(self.state.index + 1, command)


class Harness:
    """A controller with a store, a clock and peers set by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        self.store = FakeStore()
        self.sent: list[tuple[str, dict[str, Any]]] = []
        self.spawned: list[Coroutine[Any, Any, None]] = []
        settings = make_settings(bounds=[f"ackS={ACK_S:g}", "exposureShare=0.1"])
        self.controller = RolloutController(
            self.store, settings, lambda: self.now, lambda name, message: self.sent.append((name, message)),
            lambda: ["g1"], self.spawned.append, self.respond,
        )  # fmt: skip

    async def respond(self, command: dict[str, Any], verdict: Verdict) -> tuple[int, Any]:
        return STATUS_BY_KIND[verdict.kind], {"errorText": verdict.reason}

    def begin(self, order: object = ORDER, caller: Any = LOCAL_CALLER) -> tuple[int, Any]:
        status, body = asyncio.run(self.controller.handle_begin(json.dumps(order).encode(), caller))
        self.controller.record_applied(self.store.state)
        return status, body

    def read(self) -> tuple[int, Any]:
        return asyncio.run(self.controller.handle_read("saldo"))

    @property
    def record(self) -> RolloutRecord:
        return self.store.state.rollouts["saldo"]

    def end(self, state: RolloutState) -> None:
        self.store.state.rollouts["saldo"] = msgspec.structs.replace(self.record, state=state)
        self.controller.record_applied(self.store.state)

    def tick(self) -> None:
        self.now += 0.25
        self.controller.tick(self.now)
        while self.spawned:
            asyncio.run(self.spawned.pop())
        self.controller.record_applied(self.store.state)


def failing_report(rollout_id: int) -> dict[str, Any]:
    rows = [SampleRow("", "r", 500, 1, 500, 5), *(SampleRow(f"n{n}", "r", 10, 5, 5, 0) for n in range(4))]
    report = GatewayReport("saldo", rollout_id, "g1", "life", 1.0, 5, 0, 0, rows)
    return {"k": "rollout", "r": msgspec.to_builtins(report)}


def test_order_is_acknowledged_and_its_state_can_be_read() -> None:
    """SHORT: the order was answered 404, and nothing was rolled out."""
    harness = Harness()
    assert harness.read()[0] == 404
    assert harness.begin()[0] == 200
    assert harness.read() == (200, {"state": "in_progress", "targetVersion": "v2"})
    assert harness.record.share == pytest.approx(0.08)  # below the exposure bound


def test_same_order_again_is_no_second_one() -> None:
    harness = Harness()
    harness.begin()
    first = harness.record
    assert harness.begin()[0] == 200 and harness.record == first
    assert harness.begin({**ORDER, "targetVersion": "v3"})[0] == 412 and harness.record == first
    harness.end(RolloutState.REVERTED)
    harness.now += ACK_S - 0.1
    assert harness.begin()[0] == 200 and not harness.record.in_progress  # a late retry
    harness.now += 0.2
    assert harness.begin()[0] == 200 and harness.record.in_progress  # ordered once more
    assert harness.record.rollout_id > first.rollout_id


def test_order_for_the_version_that_serves_already_changes_nothing() -> None:
    harness = Harness()
    harness.begin()
    harness.end(RolloutState.COMPLETED)
    harness.now += 100.0
    assert harness.begin({**ORDER, "durationS": 30})[0] == 200
    assert harness.read()[1]["state"] == "completed"


def test_order_needs_a_quorum_a_waiting_caller_and_a_known_service() -> None:
    harness = Harness()
    caller = type("Left", (), {"gone": True})()
    assert harness.begin(caller=caller)[0] == 503
    assert harness.begin({**ORDER, "service": "other"})[0] == 400
    assert harness.begin({**ORDER, "durationS": "long"})[0] == 400
    harness.store.has_quorum = False
    assert harness.begin()[0] == 503 and harness.read()[0] == 503
    assert not harness.store.state.rollouts


def test_only_the_leader_judges_and_others_pass_the_reports_on() -> None:
    harness = Harness()
    harness.begin()
    harness.store.is_leader = False
    harness.controller.handle_report(failing_report(harness.record.rollout_id))
    harness.tick()
    harness.tick()
    assert harness.record.in_progress
    [(leader, message)] = harness.sent
    assert leader == "10.0.0.1:7601"
    other = Harness()
    other.begin()
    other.controller.handle_reports(message)
    other.tick()
    assert other.record.state is RolloutState.REVERTED
    assert "failed on r" in other.record.reason


def test_new_leader_is_sent_all_reports() -> None:
    harness = Harness()
    harness.begin()
    harness.store.is_leader = False
    harness.controller.handle_report(failing_report(harness.record.rollout_id))
    harness.tick()
    harness.store.leader_name = "10.0.0.2:7601"
    harness.tick()
    assert [name for name, _ in harness.sent] == ["10.0.0.1:7601", "10.0.0.2:7601"]


def test_operator_reverts_an_unfinished_rollout() -> None:
    harness = Harness()
    harness.begin()
    assert asyncio.run(harness.controller.handle_revert("saldo"))[0] == 200
    assert harness.read()[1]["state"] == "reverted"
    assert asyncio.run(harness.controller.handle_revert("other"))[0] == 404
