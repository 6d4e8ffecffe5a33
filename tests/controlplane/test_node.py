"""A control-plane node with a fake replicated store: API calls, replication and proofs."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

import msgspec
import pytest

from latchspoke.configstore.config_state import (
    CONFLICT,
    INVALID,
    REPEATED,
    TAKEN,
    UNCHECKED,
    UNKNOWN,
    ConfigState,
    Verdict,
)
from latchspoke.configstore.entry_ages import AgeBounds
from latchspoke.controlplane import configuration_orders, node
from latchspoke.controlplane.calls import parse_call, select_gateways
from latchspoke.controlplane.store_access import DEFAULT_ACK_TIMEOUT_S
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.membership.messages import Member
from latchspoke.transport.connection import MessageConnection
from latchspoke.transport.http_server import LOCAL_CALLER
from latchspoke.version_rollouts.records import RolloutRecord
from tests.configuration.documents import sample_document
from tests.settings.test_node import make_settings

FINISH_TARGET = "/rpc?call=evacuation.finish&of=waw-a"


class FakeReplica:
    """A fake replicated store."""

    def __init__(self, *args: Any, catch_up: float) -> None:
        self.on_applied: Callable[[Any], object] = args[6]
        self.clock: Callable[[], float] = args[7]
        self.orders = ConfigState(lambda document, patch: document)  # the evacuations
        self.committed_at: dict[int, float] = {}  # by index
        self.started_at: float | None = None  # of all members, if later than the commits
        self.rollouts: dict[str, RolloutRecord] = {}
        self.is_leader, self.leader_name = False, ""
        self.state = self.build_state(0, 0, None)
        self.read_confirmed, self.verdict = True, Verdict(TAKEN)
        self.commands: list[dict[str, Any]] = []
        self.confirm_count = 0
        self.has_quorum: bool = True
        self.during_confirm: Callable[[], object] = lambda: None
        self.on_submit: Callable[[dict[str, Any]], object] = lambda command: None
        self.voters = {f"10.{n}.0.11:7601" for n in range(1, 6)}
        self.start_order: list[str] = []
        self.raises_error = False

    def commit(self, version: int, doc: dict[str, Any] | None) -> None:
        self.state = self.build_state(self.state.index + 1, version, doc)

    def build_state(self, index: int, version: int, doc: dict[str, Any] | None) -> Any:
        return SimpleNamespace(
            index=index, version=version, document=doc, evacuated=self.orders.evacuated,
            zones=self.orders.zones, zone_index=self.orders.zone_index, rollouts=self.rollouts,
            evacuation_count=self.orders.evacuation_count, last_call_index=self.orders.last_call_index,
            version_forgotten=lambda version: False,
            has_taken=lambda digest: digest in [command.get("digest") for command in self.commands],
        )  # fmt: skip

    def start(self) -> None:
        self.start_order.append("register")

    async def confirm_read(self, limit: float, **more: Any) -> int | None:
        self.confirm_count += 1
        if self.raises_error:
            raise RuntimeError("injected fault")
        index = cast(int, self.state.index)
        await asyncio.sleep(0.01)
        self.during_confirm()
        return index if self.has_quorum else None

    async def submit(self, command: dict[str, Any], limit: float) -> Verdict:
        self.commands.append(command)
        self.on_submit(command)
        if command["do"] in ("evacuate", "restore") and self.verdict.kind == TAKEN:
            await asyncio.sleep(0.01)
            return self.commit_zone(command)
        return self.verdict

    def commit_zone(self, command: dict[str, Any]) -> Verdict:
        """Apply a command that changes a zone, and show it to the node."""
        verdict = self.orders.apply(max(self.orders.index, self.state.index) + 1, command)
        self.state = self.build_state(verdict.index, self.state.version, self.state.document)
        self.committed_at[verdict.index] = self.clock()
        self.on_applied(self.state)
        return verdict

    async def entry_age(self, index: int, limit: float) -> AgeBounds:
        await asyncio.sleep(0.01)
        age_s = self.clock() - self.committed_at[index]
        if self.started_at is None or self.started_at < self.committed_at[index]:
            return AgeBounds(age_s, age_s)
        return AgeBounds(self.clock() - self.started_at, math.inf)


class NodeHarness:
    """A control-plane node on a virtual loop, with fake connections and peers."""

    def __init__(self, home: Path, monkeypatch: pytest.MonkeyPatch, seed: int = 1) -> None:
        monkeypatch.setattr(node, "Replica", FakeReplica)
        self.loop = VirtualLoop(Network(1))
        node_settings = make_settings(dataDirectory=str(home), seedNodes=["10.1.0.11:8200"])
        self.node = node.Node(node_settings, self.loop, "", VirtualClock(self.loop), Random(seed))
        self.replica = cast(FakeReplica, self.node.replica)
        self.tick()
        self.broadcast_messages: list[dict[str, Any]] = []
        monkeypatch.setattr(self.node.peers, "broadcast", self.record_broadcast)
        self.peers_reachable = True
        self.answered_number: int | None = None  # in place of the number in the message
        self.confirming_peers = [f"10.{n}.0.11:7601" for n in (2, 3, 4)]

    def tick(self) -> None:
        """The process runs."""
        self.node.pauses.tick(self.node.clock.now())
        self.timer = self.loop.call_later(node.SWEEP_INTERVAL_S, self.tick)

    def stand_still(self, duration_s: float) -> None:
        """The process is stopped for a while."""
        self.timer.cancel()
        self.run(asyncio.sleep(duration_s))
        self.timer = self.loop.call_later(0.0, self.tick)

    def record_broadcast(self, message: dict[str, Any]) -> list[str]:
        self.broadcast_messages.append(message)
        reached = self.confirming_peers if self.peers_reachable else []
        for name in reached if "n" in message else ():
            connection = SimpleNamespace(tag=name)
            number = message["n"] if self.answered_number is None else self.answered_number
            self.loop.call_later(
                0.02, self.node.handle_peer_reply, cast(Any, connection), {"k": "got", "n": number}
            )
        return reached

    def connection(self) -> Any:
        sent: list[dict[str, Any]] = []
        return SimpleNamespace(tag=None, sent=sent, send=sent.append, end=sent.append)

    def call(
        self, name: str, body: object = None, subject: str = "", caller: Any = LOCAL_CALLER
    ) -> tuple[int, Any]:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        response = self.node.handle_request("POST", f"/rpc?call={name}&of={subject}", data, caller)
        if isinstance(response, tuple):
            return response

        async def wait_for(response: Awaitable[Any]) -> Any:
            return await response

        return cast(tuple[int, Any], self.run(wait_for(response)))

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(coroutine)


@pytest.fixture
def harness(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Any:
    node_harness = NodeHarness(tmp_path, monkeypatch)
    yield node_harness
    node_harness.loop.close()


@pytest.mark.parametrize(
    ("kind", "status"), [(TAKEN, 200), (REPEATED, 200), (CONFLICT, 412), (INVALID, 400), (UNKNOWN, 503)]
)
def test_only_committed_commands_are_acknowledged(harness: NodeHarness, kind: str, status: int) -> None:
    harness.replica.verdict = Verdict(kind, version=7)
    assert harness.call("configuration.replace", sample_document())[0] == status
    assert harness.call("evacuation.begin", subject="waw-a")[0] == status
    assert harness.replica.commands[-1].items() >= {"do": "evacuate", "zone": "waw-a"}.items()


def send_evacuation_call(
    harness: NodeHarness, name: str, after: float, active_count: int
) -> tuple[int, dict[str, Any]]:
    """Send a call after a delay; its status and the last command. Then this many evacuations are active."""
    harness.run(asyncio.sleep(after))
    status = harness.call(f"evacuation.{name}", subject="waw-a")[0]
    assert harness.replica.orders.evacuation_count("waw-a") == active_count
    command = harness.replica.commands[-1]
    return status, {key: value for key, value in command.items() if key not in ("zone", "after", "call")}


def test_second_operators_evacuation_is_distinguished_from_a_repeat(harness: NodeHarness) -> None:
    """EVAC: a second operator's evacuation ended together with the first one's."""

    answers: list[int] = []

    def send_call(name: str, after: float, active_count: int) -> dict[str, Any]:
        status, command = send_evacuation_call(harness, name, after, active_count)
        answers.append(status)
        return command

    assert send_call("begin", 0.0, 1) == {"do": "evacuate"}
    assert send_call("begin", 1.0, 1) == {"do": "evacuate"}, "a repeat"
    assert send_call("begin", 6.0, 2) == {"do": "evacuate", "stand": 1}, "another evacuation"
    assert send_call("begin", 1.0, 2) == {"do": "evacuate"}
    assert send_call("finish", 1.0, 1) == {"do": "restore", "stand": 2}
    assert send_call("finish", 1.0, 1) == {"do": "restore", "stand": 2}
    assert answers[-2:] == [200, 503], "a repeat or the second operator's: rejected"
    assert send_call("finish", 6.0, 0) == {"do": "restore", "stand": 1}


def test_begin_within_the_repeat_window_is_a_repeat(harness: NodeHarness) -> None:
    """A repeat after a lost response, counted as another evacuation, would outlive the first one."""
    assert send_evacuation_call(harness, "begin", 0.0, 1) == (200, {"do": "evacuate"})
    for pause in (0.2, 0.4, 1.0, 2.0):
        assert send_evacuation_call(harness, "begin", pause, 1) == (200, {"do": "evacuate"})
    assert send_evacuation_call(harness, "begin", 4.6, 2) == (200, {"do": "evacuate", "stand": 1}), (
        "a second operator's evacuation"
    )
    assert send_evacuation_call(harness, "finish", 1.0, 1) == (200, {"do": "restore", "stand": 2})
    assert send_evacuation_call(harness, "finish", 0.5, 1)[0] == 503
    assert send_evacuation_call(harness, "finish", 6.1, 0) == (200, {"do": "restore", "stand": 1})


def test_begin_that_may_be_a_late_retry_is_rejected(harness: NodeHarness) -> None:
    """EVAC: a begin was taken for a repeat of one 5.5 s before, whose caller had got its answer meanwhile."""
    send_evacuation_call(harness, "begin", 0.0, 1)
    send_evacuation_call(harness, "begin", 2.0, 1)
    assert send_evacuation_call(harness, "begin", 3.5, 1)[0] == 503
    assert send_evacuation_call(harness, "begin", 0.6, 2) == (200, {"do": "evacuate", "stand": 1})


@pytest.mark.parametrize("another_begin", [False, True])
@pytest.mark.parametrize("repeated_after_s", [0.3, 1.1, 4.4, 4.6, 5.3, 5.8, 5.95])
def test_retried_finish_does_not_end_another_evacuation(
    harness: NodeHarness, another_begin: bool, repeated_after_s: float
) -> None:
    """EVAC (review/4): a finish that was sent again after a lost answer ended a second operator's evacuation.

    With ``another_begin`` the second operator's evacuation begins after the first one's end.
    """
    send_evacuation_call(harness, "begin", 0.0, 1)
    if not another_begin:
        send_evacuation_call(harness, "begin", 6.0, 2)
    assert send_evacuation_call(harness, "finish", 6.5, int(not another_begin))[0] == 200
    if another_begin:
        send_evacuation_call(harness, "begin", 0.2, 1)
        repeated_after_s -= 0.2
    assert send_evacuation_call(harness, "finish", repeated_after_s, 1)[0] == 503
    assert send_evacuation_call(harness, "finish", 6.0, 0)[0] == 200, "the second operator's"


def test_racing_finishes_end_one_evacuation_each(harness: NodeHarness) -> None:
    """A zone stayed evacuated: of two finishes at one moment both were acknowledged, and one was applied."""
    send_evacuation_call(harness, "begin", 0.0, 1)
    send_evacuation_call(harness, "begin", 6.0, 2)
    harness.run(asyncio.sleep(6.0))

    async def race() -> list[Any]:
        calls = [
            cast(Awaitable[Any], harness.node.handle_request("POST", FINISH_TARGET, b"")) for _ in range(2)
        ]
        return list(await asyncio.gather(*calls))

    assert sorted(status for status, _ in harness.run(race())) == [200, 503]
    assert send_evacuation_call(harness, "finish", 6.0, 0)[0] == 200


def test_finish_is_acknowledged_as_soon_as_it_can_be_no_retry(harness: NodeHarness) -> None:
    """An operator sent away just before that came back after a longer pause, and later than ``ackS``.

    A call that was sent before that may be a retry, however long it is held: it is rejected at once.
    """
    ack_s = harness.node.settings.bound("ackS", DEFAULT_ACK_TIMEOUT_S)
    send_evacuation_call(harness, "begin", 0.0, 1)
    send_evacuation_call(harness, "begin", ack_s, 2)
    assert send_evacuation_call(harness, "finish", ack_s, 1)[0] == 200
    finished_at = harness.loop.time()
    assert send_evacuation_call(harness, "finish", ack_s - 0.4, 1)[0] == 503
    assert harness.loop.time() - finished_at < ack_s - 0.3
    remaining_s = finished_at + ack_s - harness.loop.time()
    assert send_evacuation_call(harness, "finish", remaining_s + 0.01, 0) == (
        200,
        {"do": "restore", "stand": 1},
    )


def test_after_a_restart_of_all_members_a_call_waits_until_it_is_clear(harness: NodeHarness) -> None:
    """EVAC: after a restart, a second operator's evacuation was taken for a repeat of the first."""
    send_evacuation_call(harness, "begin", 0.0, 1)
    harness.run(asyncio.sleep(30.0))
    harness.replica.started_at = harness.node.clock.now()
    for pause in (0.5, 2.5, 1.2):
        assert send_evacuation_call(harness, "begin", pause, 1)[0] == 503
    assert send_evacuation_call(harness, "begin", 0.9, 2) == (200, {"do": "evacuate", "stand": 1})
    harness.replica.started_at = harness.node.clock.now()
    assert send_evacuation_call(harness, "finish", 0.5, 1)[0] == 200, "none was finished before"
    harness.replica.started_at = harness.node.clock.now()
    assert send_evacuation_call(harness, "finish", 0.5, 1)[0] == 503
    assert send_evacuation_call(harness, "finish", 6.0, 0)[0] == 200


@pytest.mark.parametrize(("paused_s", "status"), [(0.2, 200), (0.8, 200), (1.2, 503), (3.5, 503)])
def test_call_that_waited_through_a_long_pause_is_rejected(
    harness: NodeHarness, paused_s: float, status: int
) -> None:
    """Its caller has given up and sent it elsewhere, though the connection may not show it."""
    harness.run(asyncio.sleep(1.0))
    harness.stand_still(paused_s)
    assert harness.call("evacuation.begin", subject="waw-a")[0] == status
    harness.run(asyncio.sleep(0.1))
    assert harness.call("evacuation.begin", subject="waw-a")[0] == status, "read a little later"
    harness.run(asyncio.sleep(0.5))
    assert harness.call("evacuation.begin", subject="waw-a")[0] == 200


def test_pause_counts_as_time_in_which_a_call_may_have_come(harness: NodeHarness) -> None:
    """A repeat that came before the process stood still was taken for another operator's finish."""
    send_evacuation_call(harness, "begin", 0.0, 1)
    send_evacuation_call(harness, "begin", 6.0, 2)
    assert send_evacuation_call(harness, "finish", 6.0, 1)[0] == 200
    harness.run(asyncio.sleep(5.4))
    harness.stand_still(0.8)
    assert send_evacuation_call(harness, "finish", 0.0, 1)[0] == 503
    assert send_evacuation_call(harness, "finish", 0.6, 0)[0] == 200


def test_evacuation_of_a_disconnected_caller_is_not_applied(harness: NodeHarness) -> None:
    """A paused node applied an evacuation after its operator had reversed it through another node."""
    caller = SimpleNamespace(gone=False)
    harness.replica.during_confirm = lambda: setattr(
        caller, "gone", True
    )  # disconnects during the quorum read
    status, _ = harness.call("evacuation.begin", subject="waw-a", caller=caller)
    assert (status, harness.replica.commands) == (503, [])
    harness.replica.during_confirm, harness.replica.has_quorum = lambda: None, False
    assert harness.call("evacuation.begin", subject="waw-a")[0] == 503, (
        "the active evacuations cannot be confirmed"
    )
    assert not harness.replica.commands


def test_patch_is_checked_against_the_version_it_is_applied_to(harness: NodeHarness) -> None:
    """CONFIG: the base was committed after the check, so that the result was never checked."""
    shared = sample_document()["tenants"][1] | {"apiKeys": sample_document()["tenants"][0]["apiKeys"]}
    change = {"version": "00000009", "baseVersion": "00000007", "upsert": {"tenants": [shared]}}
    harness.replica.commit(5, sample_document() | {"version": "00000005"})
    harness.replica.verdict = Verdict(UNCHECKED)

    def commit_base(command: dict[str, Any]) -> None:
        assert command["unchecked"], "the base is not known here"
        harness.replica.commit(7, sample_document())

    harness.replica.on_submit = commit_base
    assert harness.call("configuration.modify", change)[0] == 400
    assert len(harness.replica.commands) == 1


def test_invalid_configuration_is_never_submitted(harness: NodeHarness) -> None:
    """CONFIG: an invalid configuration must not be acknowledged, whatever the current version."""
    shared = sample_document()
    shared["tenants"][1]["apiKeys"] = ["9anu"]
    for body in (b"{", [1], {"version": "x"}, shared, sample_document() | {"listenerList": 3}):
        assert harness.call("configuration.replace", body)[0] == 400
    # A patch is checked on its base, also if that is applied here only during the call.
    harness.replica.commit(7, sample_document())
    change = {"version": "00000009", "baseVersion": "00000007", "upsert": {"tenants": shared["tenants"][1:]}}
    assert harness.call("configuration.modify", change)[0] == 400
    harness.replica.commit(5, sample_document() | {"version": "00000005"})
    harness.replica.during_confirm = lambda: harness.replica.commit(7, sample_document())
    assert harness.call("configuration.modify", change)[0] == 400
    harness.replica.has_quorum = False
    harness.replica.commit(5, sample_document() | {"version": "00000005"})
    harness.replica.during_confirm = lambda: None
    assert harness.call("configuration.modify", change)[0] == 503
    assert harness.call("evacuation.begin", subject="nowhere")[0] == 400
    assert not harness.replica.commands


def test_draining_or_newly_cold_server_is_broadcast_to_all_gateways(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """FAILBACK, DRAIN: a gateway may be subscribed to an unreachable control-plane node."""
    broadcasts: list[Any] = []
    monkeypatch.setattr(
        harness.node.membership_transport,
        "multicast",
        lambda message, to: broadcasts.append((message["e"], list(to))),
    )
    meta = {"role": "edge", "zone": "waw-a", "link": "10.1.0.21:7600", "ready": True}
    alive = harness.node.membership_transport.membership.alive
    alive["g"] = Member("g", "10.1.0.21", 7600, meta, 0, "life")
    body = {"service": "p", "address": "10.9.0.1:80", "zone": "waw-a", "capacitySlots": 2}
    for number, cold in enumerate((3.0, 0.0, 0.0, 2.5, 1.0), 1):
        harness.call("instances.heartbeat", body | {"callSequence": number, "coldRemainingS": cold}, "s1")
        harness.run(asyncio.sleep(1.5))
    ((entries, to),) = broadcasts
    assert (entries[0]["i"], entries[0]["q"], to) == ("s1", 4, [("10.1.0.21", 7600)])
    for number in (6, 7):
        harness.call("instances.heartbeat", body | {"callSequence": number, "state": "draining"}, "s1")
    harness.call("instances.deregister", subject="s1")
    assert [entries[0]["t"] for entries, _ in broadcasts[1:]] == [1, 2]


def test_acknowledgement_waits_for_subscribers_up_to_a_timeout(harness: NodeHarness) -> None:
    harness.replica.commit(7, sample_document())
    harness.node.publish_committed()
    connection = harness.connection()
    harness.node.inbound_message(connection, {"k": "hello", "name": "g"})
    harness.replica.verdict = Verdict(TAKEN, index=1)
    started_at = harness.loop.now
    harness.call("configuration.replace", sample_document())
    assert harness.loop.now - started_at == pytest.approx(node.SUBSCRIBER_ACK_TIMEOUT_S, abs=0.02)
    harness.node.inbound_message(connection, {"k": "ack", "n": 1, "index": 1})
    started_at = harness.loop.now
    harness.call("configuration.replace", sample_document())
    assert harness.loop.now - started_at < 0.01


def test_configuration_read_requires_a_quorum(harness: NodeHarness) -> None:
    assert harness.call("configuration.read")[0] == 503, "no configuration yet"
    harness.replica.commit(7, sample_document())
    assert harness.call("configuration.read") == (200, sample_document())
    harness.replica.has_quorum = False
    assert harness.call("configuration.read")[0] == 503


def test_leaving_server_is_acknowledged_once_a_majority_has_it(harness: NodeHarness) -> None:
    """DRAIN: two nodes partitioned off together acknowledged a state that no other node had."""
    beat = {"service": "p", "address": "h:1", "zone": "waw-a", "state": "available", "callSequence": 1}
    harness.peers_reachable = False
    assert harness.call("instances.heartbeat", beat, "s1") == (200, {})
    assert harness.call("instances.heartbeat", {**beat, "address": "?"}, "s1")[0] == 400
    draining = {**beat, "state": "draining", "callSequence": 2}
    assert harness.call("instances.heartbeat", draining, "s1")[0] == 503
    assert harness.call("instances.deregister", subject="s1")[0] == 503
    harness.peers_reachable, confirming_peers = True, harness.confirming_peers
    for too_few in ([confirming_peers[0]], [confirming_peers[0], confirming_peers[0], "10.9.0.11:7601"]):
        harness.confirming_peers = too_few
        assert harness.call("instances.heartbeat", draining, "s1")[0] == 503
    harness.confirming_peers = confirming_peers[:2]
    assert harness.call("instances.heartbeat", draining, "s1")[0] == 200
    harness.confirming_peers = confirming_peers
    assert harness.call("instances.deregister", subject="s1")[0] == 200
    assert [entry["t"] for message in harness.broadcast_messages for entry in message["e"]][-1] == 2


def test_cold_server_is_acknowledged_once_a_majority_has_it(harness: NodeHarness) -> None:
    """FAILBACK: only a node that was partitioned off knew that a server was cold."""
    beat = {"service": "p", "address": "h:1", "zone": "waw-a", "state": "available", "callSequence": 1}
    assert harness.call("instances.heartbeat", beat, "s1") == (200, {})
    assert harness.call("instances.heartbeat", beat | {"callSequence": 2}, "s1") == (200, {})
    harness.peers_reachable = False
    cold = beat | {"callSequence": 3, "coldRemainingS": 2.5}
    assert harness.call("instances.heartbeat", cold, "s1")[0] == 503
    harness.node.report_heartbeats(harness.loop.now)
    assert "b" not in harness.broadcast_messages[-1], (
        "a report with this sequence number would hide the change"
    )
    harness.peers_reachable = True
    assert (
        harness.call("instances.heartbeat", cold | {"callSequence": 4, "coldRemainingS": 1.6}, "s1")[0] == 200
    )
    assert harness.broadcast_messages[-1]["e"][0]["c"] == 1.6


def test_proof_for_a_request_during_a_round_carries_its_age(harness: NodeHarness) -> None:
    """CONFIG: a proof holds as of the start of its round, not of a later request."""
    connection = harness.connection()
    harness.replica.commit(7, sample_document())
    started_at = harness.node.clock.now()

    def commit() -> None:
        harness.replica.during_confirm = lambda: None
        harness.node.inbound_message(connection, {"k": "prove", "t": 2})

    def request_during_round() -> None:
        requested_at.append(harness.node.clock.now())
        commit()

    requested_at: list[float] = []
    harness.replica.during_confirm = request_during_round
    harness.node.inbound_message(connection, {"k": "prove", "t": 1})
    harness.run(asyncio.sleep(2.0))
    first, second = connection.sent
    assert first == {"k": "proven", "t": 1, "index": 1}
    assert second.items() >= {"k": "proven", "t": 2, "index": 1}.items()
    assert requested_at[0] - second["age"] <= started_at, "not newer than the start of the round"
    assert harness.replica.confirm_count == 1, "the requests share a round"
    harness.replica.has_quorum = False
    harness.node.inbound_message(connection, {"k": "prove", "t": 3})
    harness.run(asyncio.sleep(2.0))
    assert connection.sent[-1] == {"k": "proven", "t": 3}, "no proof without a quorum"


def test_resolution_prefers_near_gateways_that_are_ready() -> None:
    def gateway(name: str, zone: str, region: str, ready: bool = True) -> Member:
        meta = {"role": "edge", "zone": zone, "region": region, "ready": ready, "front": name}
        return Member(name, "h", 1, meta, 0, "one")

    members = [
        gateway("a1", "a", "r"),
        gateway("a2", "a", "r", False),
        gateway("b1", "b", "r"),
        gateway("c1", "c", "q"),
    ]
    assert select_gateways(members, (), "a", "r", Random(1)) == ["a1", "b1"]
    assert select_gateways(members, ("a1",), "a", "r", Random(1)) == ["b1"]
    assert select_gateways(members, ("a1", "b1", "c1"), "c", "q", Random(1)) == ["c1"], (
        "a suspected gateway is better than none"
    )
    assert set(select_gateways(members, (), "d", "p", Random(1))) == {"a1", "b1", "c1"}
    many_members = [gateway(f"g{i}", "a", "r") for i in range(84)]
    assert len(set(select_gateways(many_members, (), "a", "r", Random(1)))) == 64
    assert parse_call("POST", "/rpc?call=evacuation.begin&of=a%2Db").subject == "a-b"
    assert parse_call("GET", "/rpc?call=evacuation.begin").name == "GET /rpc"


def test_confirmation_for_a_previous_instance_is_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """DRAIN: a late relayed confirmation was counted for a message of the restarted process."""
    statuses = []
    previous_number = None
    for instance in (1, 2):
        home = tmp_path / str(instance)
        home.mkdir()
        harness = NodeHarness(home, monkeypatch, instance)
        harness.answered_number = previous_number
        beat = {"service": "a", "address": "10.9.0.1:80", "zone": "waw-a", "capacitySlots": 4}
        harness.call("instances.heartbeat", beat | {"state": "available", "callSequence": 1}, "s1")
        draining = beat | {"state": "draining", "callSequence": 2}
        statuses.append(harness.call("instances.heartbeat", draining, "s1")[0])
        previous_number = next(
            message["n"] for message in reversed(harness.broadcast_messages) if "n" in message
        )
        harness.loop.close()
    assert statuses == [200, 503]


def test_store_starts_before_the_ports_open(harness: NodeHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    """A proof request before the start of the store stopped the proof rounds for good."""

    async def fail_to_listen(transport: object) -> None:
        harness.replica.start_order.append("port")
        raise OSError("far enough")

    monkeypatch.setattr(harness.node, "listen_internal", fail_to_listen)
    with pytest.raises(OSError, match="far enough"):
        harness.run(harness.node.start())
    assert harness.replica.start_order == ["register", "port"]


def test_proof_rounds_continue_after_a_failure(harness: NodeHarness) -> None:
    harness.loop.set_exception_handler(lambda loop, context: None)
    harness.replica.raises_error = True
    first = harness.connection()
    harness.node.handle_proof_request(first, 1)
    harness.run(asyncio.sleep(1.0))
    assert first.sent == [{"k": "proven", "t": 1}]
    harness.replica.raises_error = False
    second = harness.connection()
    harness.node.handle_proof_request(second, 2)
    harness.run(asyncio.sleep(1.0))
    assert [message.get("index") for message in second.sent] == [0]


# Every call of servers, operators and clients in the protocol.
PROTOCOL_CALLS = (
    ("POST", "/rpc?call=instances.heartbeat&of=i-1"),
    ("POST", "/rpc?call=instances.deregister&of=i-1"),
    ("POST", "/rpc?call=configuration.replace"),
    ("POST", "/rpc?call=configuration.modify"),
    ("POST", "/rpc?call=configuration.read"),
    ("POST", "/rpc?call=evacuation.begin&of=waw-a"),
    ("POST", "/rpc?call=evacuation.finish&of=waw-a"),
    ("POST", "/rpc?call=rollouts.begin"),
    ("POST", "/rpc?call=rollouts.read&of=saldo"),
    ("GET", "/resolution?name=a.example&region=mazowsze&zone=waw-a"),
)


@pytest.mark.parametrize(("method", "target"), PROTOCOL_CALLS)
def test_no_call_of_the_protocol_is_unknown(harness: NodeHarness, method: str, target: str) -> None:
    """SHORT: orders of rollouts were answered 404, as no program knew the call."""
    response = harness.node.handle_request(method, target, b"{}")
    if not isinstance(response, tuple):
        cast(Coroutine[Any, Any, Any], response).close()
    assert harness.node.unknown_calls == 0


def test_proof_round_that_fails_while_it_answers_is_followed_by_others(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The rounds counted as running for good: no gateway got a proof any more, and all refused requests."""
    failing, later = harness.connection(), harness.connection()

    def fail(message: object) -> None:
        raise OSError("no room")

    failing.send = fail
    harness.replica.commit(1, sample_document())
    harness.node.handle_proof_request(failing, 1)
    harness.run(asyncio.sleep(0.1))
    harness.node.handle_proof_request(later, 2)
    harness.run(asyncio.sleep(1.0))
    assert [message["t"] for message in later.sent] == [2]


def test_link_to_a_peer_outlasts_a_failure_as_it_connects(harness: NodeHarness) -> None:
    """The task of the link ended, and nothing was sent to that peer until the process was started again."""
    attempts = []

    def on_connected(connection: object) -> None:
        attempts.append(harness.loop.time())
        if len(attempts) == 1:
            raise ValueError("no room")

    async def scenario() -> None:
        await harness.loop.create_server(
            lambda: MessageConnection(lambda *_: None, lambda *_: None), "10.2.0.11", 7601
        )
        harness.node.peers.on_connected = on_connected
        harness.node.peers.send("10.2.0.11:7601", {"k": "beats"})
        await asyncio.sleep(3.0)
        assert harness.node.peers.connected_count == 1
        harness.node.peers.stop()

    harness.run(scenario())
    assert len(attempts) == 2


def test_large_order_that_was_taken_is_acknowledged_again_without_decoding_it(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each copy was decoded and checked, for longer than its caller waited: no clear answer for 25 s."""
    monkeypatch.setattr(configuration_orders, "LARGE_ORDER_BYTES", 10)
    body = json.dumps(sample_document()).encode()
    caller = cast(Any, SimpleNamespace(gone=False))
    status, first = harness.run(harness.node.configurations.handle_change(body, caller))
    assert status == 200
    monkeypatch.setattr(
        harness.node.configurations, "parse_command", lambda body: pytest.fail("decoded again")
    )
    assert harness.run(harness.node.configurations.handle_change(body, caller)) == (200, first)


def test_large_order_whose_caller_has_left_is_not_decoded(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Callers send a large configuration again after a while; each copy was decoded, one beside the other."""
    monkeypatch.setattr(configuration_orders, "LARGE_ORDER_BYTES", 10)
    callers = [SimpleNamespace(gone=False), SimpleNamespace(gone=True), SimpleNamespace(gone=False)]
    body = json.dumps(sample_document()).encode()
    running: list[int] = []

    async def submit(command: dict[str, Any], limit: float) -> Verdict:
        running.append(1)
        assert len(running) == 1
        await asyncio.sleep(0.1)
        running.pop()
        return Verdict(TAKEN)

    monkeypatch.setattr(harness.replica, "submit", submit)

    async def send_all() -> list[int]:
        calls = [harness.node.configurations.handle_change(body, cast(Any, caller)) for caller in callers]
        return [status for status, _ in await asyncio.gather(*calls)]

    assert harness.run(send_all()) == [200, 503, 200]


def test_large_order_on_an_older_base_is_refused_without_being_decoded(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of several operators' orders of the planned size, each was decoded and replicated, and one taken."""
    monkeypatch.setattr(configuration_orders, "LARGE_ORDER_BYTES", 10)
    harness.replica.commit(7, sample_document())
    decoded: list[bytes] = []
    parse_command = harness.node.configurations.parse_command

    def record(body: bytes) -> Any:
        decoded.append(body)
        return parse_command(body)

    monkeypatch.setattr(harness.node.configurations, "parse_command", record)
    order = sample_document() | {"version": "00000009", "baseVersion": "00000005"}
    assert harness.call("configuration.replace", order)[0] == 412
    assert (decoded, harness.replica.commands) == ([], [])
    harness.replica.has_quorum = False
    harness.call("configuration.replace", order)
    assert len(harness.replica.commands) == 1, "not refused from memory alone"
    harness.replica.has_quorum = True
    for base in ("00000007", "00000008"):
        assert harness.call("configuration.replace", order | {"baseVersion": base})[0] == 200
    assert len(harness.replica.commands) == 3, "the replicated log decides on the others"


def test_submitted_configuration_is_not_held_decoded(harness: NodeHarness) -> None:
    """While it waited for a majority, a configuration took four times its size, beside the one in force."""
    order = sample_document()
    assert harness.call("configuration.replace", order)[0] == 200
    body = harness.replica.commands[-1]["doc"]
    assert isinstance(body, msgspec.Raw) and msgspec.json.decode(body) == order


def test_second_subscription_on_a_connection_replaces_the_first(harness: NodeHarness) -> None:
    """Subscribers of a connection that sent several were kept for ever, all but the last."""
    connection = harness.connection()
    for name in ("g", "g", "h"):
        harness.node.inbound_message(connection, {"k": "hello", "name": name})
        assert [subscriber.name for subscriber in harness.node.published_state.subscribers] == [name]
    harness.node.inbound_closed(connection, "closed")
    assert not harness.node.published_state.subscribers


@pytest.mark.parametrize(("answered_after_s", "ends_after_s"), [(0.0, 0.1), (0.3, 0.3), (9.0, 0.6)])
def test_calls_are_answered_before_the_process_ends(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch, answered_after_s: float, ends_after_s: float
) -> None:
    """An order that was applied got no answer, as its gateways' acknowledgements were still awaited."""

    async def stop_replica() -> None:
        pass

    monkeypatch.setattr(harness.replica, "stop", stop_replica, raising=False)
    monkeypatch.setattr(harness.node.membership_transport, "leave", lambda: None)
    monkeypatch.setattr(harness.node.membership_transport, "stop", lambda: None)
    caller = Mock(busy=True)
    harness.node.connection_limit.add(caller)
    harness.loop.call_later(answered_after_s, setattr, caller, "busy", False)
    began = harness.loop.time()
    harness.run(harness.node.shut_down())
    assert harness.node.stopped.is_set() and ends_after_s <= harness.loop.time() - began < ends_after_s + 0.06
