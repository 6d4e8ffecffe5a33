"""What servers, gateways and the operator get from one control machine; its register is a puppet."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from latchspoke.configstore.orders import CONFLICT, INVALID, REPEATED, TAKEN, UNCHECKED, UNKNOWN, Verdict
from latchspoke.controlplane import node
from latchspoke.controlplane.calls import locate, read_call
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.membership.words import Member
from latchspoke.transport.http_server import LOCAL_CALLER
from tests.configuration.documents import sample_document
from tests.settings.test_node import settings


class Replica:
    """The register as it answers a control machine."""

    def __init__(self, *args: Any, catch_up: float) -> None:
        self.stand: dict[str, int] = {}
        self.changed: dict[str, int] = {}
        self.orders = self.made(0, 0, None)
        self.proven, self.verdict = True, Verdict(TAKEN)
        self.commands: list[dict[str, Any]] = []
        self.confirms = 0
        self.reached: bool = True
        self.meanwhile: Callable[[], object] = lambda: None
        self.submitted: Callable[[dict[str, Any]], object] = lambda command: None
        self.voters = {f"10.{n}.0.11:7601" for n in range(1, 6)}
        self.begun: list[str] = []
        self.fails = False

    def commit(self, version: int, doc: dict[str, Any] | None) -> None:
        self.orders = self.made(self.orders.index + 1, version, doc)

    def made(self, index: int, version: int, doc: dict[str, Any] | None) -> Any:
        return SimpleNamespace(
            index=index, version=version, document=doc, evacuated=frozenset(self.stand),
            zones={zone: (self.changed.get(zone, 0), stand) for zone, stand in self.stand.items()},
            standing=lambda zone: self.stand.get(zone, 0),
        )  # fmt: skip

    def start(self) -> None:
        self.begun.append("register")

    async def confirm(self, limit: float, **more: Any) -> int | None:
        self.confirms += 1
        if self.fails:
            raise RuntimeError("a fault put in")
        index = cast(int, self.orders.index)
        await asyncio.sleep(0.01)
        self.meanwhile()
        return index if self.reached else None

    async def submit(self, command: dict[str, Any], limit: float) -> Verdict:
        self.commands.append(command)
        self.submitted(command)
        return self.verdict


class Box:
    """A control machine, and gateways and others on wires that are only lists."""

    def __init__(self, home: Path, monkeypatch: pytest.MonkeyPatch, seed: int = 1) -> None:
        monkeypatch.setattr(node, "Replica", Replica)
        self.loop = VirtualLoop(Network(1))
        made = settings(dataDirectory=str(home), seedNodes=["10.1.0.11:8200"])
        self.node = node.Node(made, self.loop, "", VirtualClock(self.loop), Random(seed))
        self.replica = cast(Replica, self.node.replica)
        self.peers: list[dict[str, Any]] = []
        monkeypatch.setattr(self.node.peers, "all", self.tell_peers)
        self.second = True
        self.answers_to: int | None = None  # another number than the one asked for
        self.hear = [f"10.{n}.0.11:7601" for n in (2, 3, 4)]  # who answers of the others

    def tell_peers(self, message: dict[str, Any]) -> list[str]:
        self.peers.append(message)
        hear = self.hear if self.second else []
        for name in hear if "n" in message else ():
            wire = SimpleNamespace(tag=name)
            number = message["n"] if self.answers_to is None else self.answers_to
            self.loop.call_later(0.02, self.node.peer_answers, cast(Any, wire), {"k": "got", "n": number})
        return hear

    def wire(self) -> Any:
        sent: list[dict[str, Any]] = []
        return SimpleNamespace(tag=None, sent=sent, send=sent.append, end=sent.append)

    def call(
        self, name: str, body: object = None, of: str = "", caller: Any = LOCAL_CALLER
    ) -> tuple[int, Any]:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        given = self.node.control("POST", f"/rpc?call={name}&of={of}", data, caller)
        if isinstance(given, tuple):
            return given

        async def later(given: Awaitable[Any]) -> Any:
            return await given

        return cast(tuple[int, Any], self.run(later(given)))

    def run(self, story: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(story)


@pytest.fixture
def box(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Any:
    made = Box(tmp_path, monkeypatch)
    yield made
    made.loop.close()


@pytest.mark.parametrize(
    ("kind", "status"), [(TAKEN, 200), (REPEATED, 200), (CONFLICT, 412), (INVALID, 400), (UNKNOWN, 503)]
)
def test_only_what_the_register_took_is_acknowledged(box: Box, kind: str, status: int) -> None:
    box.replica.verdict = Verdict(kind, version=7)
    assert box.call("configuration.replace", sample_document())[0] == status
    assert box.call("evacuation.begin", of="waw-a")[0] == status
    assert box.replica.commands[-1] == {"do": "evacuate", "zone": "waw-a"}


def evacuation(box: Box, name: str, after: float, stand: int) -> tuple[int, dict[str, Any]]:
    """Answer and command; so many stand when it has been applied, which is after the answer here."""
    replica = box.replica
    box.run(asyncio.sleep(after))
    status = box.call(f"evacuation.{name}", of="waw-a")[0]
    if replica.stand.get("waw-a", 0) != stand:
        replica.changed["waw-a"] = replica.changed.get("waw-a", 0) + 1
    replica.stand["waw-a"] = stand
    replica.orders = replica.made(replica.orders.index, 0, None)
    box.node.applied(cast(Any, replica.orders))
    return status, {key: value for key, value in replica.commands[-1].items() if key != "zone"}


def test_an_evacuation_beside_another_is_told_from_one_that_is_sent_again(box: Box) -> None:
    """EVAC: a second operator's evacuation ended with the first one's; no call comes again after ``ackS``."""

    answers: list[int] = []

    def order(name: str, after: float, stand: int) -> dict[str, Any]:
        status, command = evacuation(box, name, after, stand)
        answers.append(status)
        return command

    assert order("begin", 0.0, 1) == {"do": "evacuate"}
    assert order("begin", 1.0, 1) == {"do": "evacuate"}, "sent again"
    assert order("begin", 6.0, 2) == {"do": "evacuate", "stand": 1}, "another one"
    assert order("begin", 1.0, 2) == {"do": "evacuate"}
    assert order("finish", 1.0, 1) == {"do": "restore", "stand": 2}
    assert order("finish", 1.0, 1) == {"do": "restore", "stand": 2}
    assert answers[-2:] == [200, 503], (
        "either sent again, or the other's: nothing is done, and nothing promised"
    )
    assert order("finish", 6.0, 0) == {"do": "restore", "stand": 1}


def test_a_begin_soon_after_the_last_one_is_a_repeat_however_fast_that_was_answered(box: Box) -> None:
    """An answer may be lost on its way: a repeat counted as another evacuation stays when the first ends."""
    assert evacuation(box, "begin", 0.0, 1) == (200, {"do": "evacuate"})
    for pause in (0.2, 0.4, 1.0, 2.0):
        assert evacuation(box, "begin", pause, 1) == (200, {"do": "evacuate"})
    assert {"k": "moved", "z": {}, "a": {}, "c": {"waw-a": 0.0}} in box.peers, "the others know of it, too"
    assert evacuation(box, "begin", 4.6, 2) == (200, {"do": "evacuate", "stand": 1}), "a second operator's"
    assert evacuation(box, "finish", 1.0, 1) == (200, {"do": "restore", "stand": 2})
    assert evacuation(box, "finish", 0.5, 1)[0] == 503
    assert evacuation(box, "finish", 4.6, 0) == (200, {"do": "restore", "stand": 1})


@pytest.mark.parametrize(
    ("told", "stands"),
    [
        ({"z": {"waw-a": [7, True, 9.0]}, "a": {}}, True),
        ({"z": {}, "a": {}, "c": {"waw-a": 1.0}}, False),
        (None, False),
    ],
)
def test_one_that_has_begun_anew_hears_of_evacuations_from_the_others(
    box: Box, told: Any, stands: bool
) -> None:
    """EVAC: a second operator's, 7 s later, was taken for the first one's by a machine killed meanwhile."""
    box.replica.proven = False  # so it finds them on its disk, whatever their age
    box.replica.stand["waw-a"], box.replica.changed["waw-a"] = 1, 7
    box.replica.orders = box.replica.made(9, 0, None)
    box.node.applied(cast(Any, box.replica.orders))
    box.replica.proven = True
    wire = box.wire()
    box.node.peer_joined(wire)
    assert [message["k"] for message in wire.sent] == ["roster"], "it has seen nothing that it could tell"
    if told is not None:
        box.node.handle_message(box.wire(), {"k": "moved", **told})
    command = evacuation(box, "begin", 0.5, 2 if stands else 1)[1]
    assert command == {"do": "evacuate"} | ({"stand": 1} if stands else {})
    if stands:
        box.node.peer_joined(wire)
        (moved,) = [message for message in wire.sent if message["k"] == "moved"]
        place, begun, age = moved["z"]["waw-a"]
        assert (place, begun) == (8, True) and age < 0.6 and moved["c"]["waw-a"] < 0.6


def test_an_evacuation_whose_caller_has_left_is_not_carried_out(box: Box) -> None:
    """A machine that was frozen emptied a zone long after its operator had taken that back elsewhere."""
    gone = SimpleNamespace(gone=False)
    box.replica.meanwhile = lambda: setattr(gone, "gone", True)  # the end arrives while a majority confirms
    status, _ = box.call("evacuation.begin", of="waw-a", caller=gone)
    assert (status, box.replica.commands) == (503, [])
    box.replica.meanwhile, box.replica.reached = lambda: None, False
    assert box.call("evacuation.begin", of="waw-a")[0] == 503, "what stands can't be told here"
    assert not box.replica.commands


def test_a_change_is_checked_against_the_version_that_it_is_applied_to(box: Box) -> None:
    """CONFIG: its base was committed after this machine had looked, so that nobody had checked the whole."""
    shared = sample_document()["tenants"][1] | {"apiKeys": sample_document()["tenants"][0]["apiKeys"]}
    change = {"version": "00000009", "baseVersion": "00000007", "upsert": {"tenants": [shared]}}
    box.replica.commit(5, sample_document() | {"version": "00000005"})
    box.replica.verdict = Verdict(UNCHECKED)

    def comes_late(command: dict[str, Any]) -> None:
        assert command["unchecked"], "its base is not known here"
        box.replica.commit(7, sample_document())

    box.replica.submitted = comes_late
    assert box.call("configuration.modify", change)[0] == 400
    assert len(box.replica.commands) == 1


def test_what_is_invalid_never_reaches_the_register(box: Box) -> None:
    """CONFIG: no acknowledgement for an invalid configuration, whatever is in force."""
    shared = sample_document()
    shared["tenants"][1]["apiKeys"] = ["9anu"]
    for body in (b"{", [1], {"version": "x"}, shared, sample_document() | {"listenerList": 3}):
        assert box.call("configuration.replace", body)[0] == 400
    # A change is tried on what it builds on, also where that has not come here yet.
    box.replica.commit(7, sample_document())
    change = {"version": "00000009", "baseVersion": "00000007", "upsert": {"tenants": shared["tenants"][1:]}}
    assert box.call("configuration.modify", change)[0] == 400
    box.replica.commit(5, sample_document() | {"version": "00000005"})
    box.replica.meanwhile = lambda: box.replica.commit(7, sample_document())
    assert box.call("configuration.modify", change)[0] == 400
    box.replica.reached = False
    box.replica.commit(5, sample_document() | {"version": "00000005"})
    box.replica.meanwhile = lambda: None
    assert box.call("configuration.modify", change)[0] == 503
    assert box.call("evacuation.begin", of="nowhere")[0] == 400
    assert not box.replica.commands


def test_all_gateways_hear_at_once_that_a_warm_server_has_turned_cold_or_leaves(
    box: Box, monkeypatch: pytest.MonkeyPatch
) -> None:
    """FAILBACK, DRAIN: one may follow a control machine that was cut off or lost power a moment ago."""
    told: list[Any] = []
    monkeypatch.setattr(
        box.node.membership_transport, "cast", lambda message, to: told.append((message["e"], list(to)))
    )
    meta = {"role": "edge", "zone": "waw-a", "link": "10.1.0.21:7600", "ready": True}
    alive = box.node.membership_transport.membership.alive
    alive["g"] = Member("g", "10.1.0.21", 7600, meta, 0, "life")
    body = {"service": "p", "address": "10.9.0.1:80", "zone": "waw-a", "capacitySlots": 2}
    for number, cold in enumerate((3.0, 0.0, 0.0, 2.5, 1.0), 1):
        box.call("instances.heartbeat", body | {"callSequence": number, "coldRemainingS": cold}, "s1")
        box.run(asyncio.sleep(1.5))
    ((entries, to),) = told
    assert (entries[0]["i"], entries[0]["q"], to) == ("s1", 4, [("10.1.0.21", 7600)])
    for number in (6, 7):
        box.call("instances.heartbeat", body | {"callSequence": number, "state": "draining"}, "s1")
    box.call("instances.deregister", of="s1")
    assert [entries[0]["t"] for entries, _ in told[1:]] == [1, 2]


def test_an_acknowledgement_waits_for_gateways_for_a_while(box: Box) -> None:
    box.replica.commit(7, sample_document())
    box.node.tell_orders()
    wire = box.wire()
    box.node.inbound_message(wire, {"k": "hello", "name": "g"})
    box.replica.verdict = Verdict(TAKEN, index=1)
    begun = box.loop.now
    box.call("configuration.replace", sample_document())
    assert box.loop.now - begun == pytest.approx(node.TOLD, abs=0.02)
    box.node.inbound_message(wire, {"k": "ack", "n": 1, "index": 1})
    begun = box.loop.now
    box.call("configuration.replace", sample_document())
    assert box.loop.now - begun < 0.01


def test_a_configuration_is_read_back_only_with_a_majority(box: Box) -> None:
    assert box.call("configuration.read")[0] == 503, "there is none yet"
    box.replica.commit(7, sample_document())
    assert box.call("configuration.read") == (200, sample_document())
    box.replica.reached = False
    assert box.call("configuration.read")[0] == 503


def test_a_server_that_leaves_is_acknowledged_once_a_majority_knows(box: Box) -> None:
    """DRAIN: two machines that are cut off together would acknowledge what the others never hear."""
    beat = {"service": "p", "address": "h:1", "zone": "waw-a", "state": "available", "callSequence": 1}
    box.second = False
    assert box.call("instances.heartbeat", beat, "s1") == (200, {})
    assert box.call("instances.heartbeat", {**beat, "address": "?"}, "s1")[0] == 400
    leaves = {**beat, "state": "draining", "callSequence": 2}
    assert box.call("instances.heartbeat", leaves, "s1")[0] == 503
    assert box.call("instances.deregister", of="s1")[0] == 503
    box.second, hear = True, box.hear
    for few in ([hear[0]], [hear[0], hear[0], "10.9.0.11:7601"]):
        box.hear = few
        assert box.call("instances.heartbeat", leaves, "s1")[0] == 503
    box.hear = hear[:2]
    assert box.call("instances.heartbeat", leaves, "s1")[0] == 200
    box.hear = hear
    assert box.call("instances.deregister", of="s1")[0] == 200
    assert [entry["t"] for message in box.peers for entry in message["e"]][-1] == 2


def test_that_a_server_is_cold_is_acknowledged_once_a_majority_knows(box: Box) -> None:
    """FAILBACK: found by the emulator, as a control machine that was cut off was the only one told."""
    beat = {"service": "p", "address": "h:1", "zone": "waw-a", "state": "available", "callSequence": 1}
    assert box.call("instances.heartbeat", beat, "s1") == (200, {})
    assert box.call("instances.heartbeat", beat | {"callSequence": 2}, "s1") == (200, {})
    box.second = False
    cold = beat | {"callSequence": 3, "coldRemainingS": 2.5}
    assert box.call("instances.heartbeat", cold, "s1")[0] == 503
    box.node.gossip(box.loop.now)
    assert "b" not in box.peers[-1], "a word on an earlier beat must not go out with this one's number"
    box.second = True
    assert box.call("instances.heartbeat", cold | {"callSequence": 4, "coldRemainingS": 1.6}, "s1")[0] == 200
    assert box.peers[-1]["e"][0]["c"] == 1.6


def test_a_proof_is_never_older_than_its_question(box: Box) -> None:
    """CONFIG: who asks while a proof is under way gets it with its age, as it holds as of its beginning."""
    wire = box.wire()
    box.replica.commit(7, sample_document())
    begun = box.node.clock.now()

    def commit() -> None:
        box.replica.meanwhile = lambda: None
        box.node.inbound_message(wire, {"k": "prove", "t": 2})

    def asks() -> None:
        asked.append(box.node.clock.now())
        commit()

    asked: list[float] = []
    box.replica.meanwhile = asks
    box.node.inbound_message(wire, {"k": "prove", "t": 1})
    box.run(asyncio.sleep(2.0))
    first, second = wire.sent
    assert first == {"k": "proven", "t": 1, "index": 1}
    assert second.items() >= {"k": "proven", "t": 2, "index": 1}.items()
    assert asked[0] - second["age"] <= begun, "not from after the round began"
    assert box.replica.confirms == 1, "one round serves both"
    box.replica.reached = False
    box.node.inbound_message(wire, {"k": "prove", "t": 3})
    box.run(asyncio.sleep(2.0))
    assert wire.sent[-1] == {"k": "proven", "t": 3}, "nothing is proven without a majority"


def test_clients_are_told_of_near_gateways_that_are_ready() -> None:
    def gateway(name: str, zone: str, region: str, ready: bool = True) -> Member:
        meta = {"role": "edge", "zone": zone, "region": region, "ready": ready, "front": name}
        return Member(name, "h", 1, meta, 0, "one")

    some = [
        gateway("a1", "a", "r"),
        gateway("a2", "a", "r", False),
        gateway("b1", "b", "r"),
        gateway("c1", "c", "q"),
    ]
    assert locate(some, (), "a", "r", Random(1)) == ["a1", "b1"]
    assert locate(some, ("a1",), "a", "r", Random(1)) == ["b1"]
    assert locate(some, ("a1", "b1", "c1"), "c", "q", Random(1)) == ["c1"], "better one suspected than none"
    assert set(locate(some, (), "d", "p", Random(1))) == {"a1", "b1", "c1"}
    many = [gateway(f"g{i}", "a", "r") for i in range(84)]
    assert len(set(locate(many, (), "a", "r", Random(1)))) == 64
    assert read_call("POST", "/rpc?call=evacuation.begin&of=a%2Db").of == "a-b"
    assert read_call("GET", "/rpc?call=evacuation.begin").name == "GET /rpc"


def test_a_word_to_the_former_life_of_a_control_machine_counts_for_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """DRAIN: it may come late, by way of a gateway, to a life whose own word no majority has heard."""
    statuses = []
    late = None
    for life in (1, 2):
        home = tmp_path / str(life)
        home.mkdir()
        box = Box(home, monkeypatch, life)
        box.answers_to = late
        beat = {"service": "a", "address": "10.9.0.1:80", "zone": "waw-a", "capacitySlots": 4}
        box.call("instances.heartbeat", beat | {"state": "available", "callSequence": 1}, "s1")
        leaves = beat | {"state": "draining", "callSequence": 2}
        statuses.append(box.call("instances.heartbeat", leaves, "s1")[0])
        late = next(told["n"] for told in reversed(box.peers) if "n" in told)
        box.loop.close()
    assert statuses == [200, 503]


def test_the_register_is_begun_before_anybody_can_ask(box: Box, monkeypatch: pytest.MonkeyPatch) -> None:
    """A gateway that asked for a proof in between ended the proofs of that machine for good."""

    async def listen(post: object) -> None:
        box.replica.begun.append("port")
        raise OSError("far enough")

    monkeypatch.setattr(box.node, "listen_internal", listen)
    with pytest.raises(OSError, match="far enough"):
        box.run(box.node.start())
    assert box.replica.begun == ["register", "port"]


def test_proofs_go_on_after_one_that_failed(box: Box) -> None:
    box.loop.set_exception_handler(lambda loop, context: None)
    box.replica.fails = True
    first = box.wire()
    box.node.handle_proof_request(first, 1)
    box.run(asyncio.sleep(1.0))
    assert first.sent == [{"k": "proven", "t": 1}]
    box.replica.fails = False
    second = box.wire()
    box.node.handle_proof_request(second, 2)
    box.run(asyncio.sleep(1.0))
    assert [told.get("index") for told in second.sent] == [0]
