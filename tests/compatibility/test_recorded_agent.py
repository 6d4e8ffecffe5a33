"""Files and frames of agents, and what a gateway leaves for its successor, against bytes of an earlier build.

``recorded`` tells which build. Each section imports from few packages: the store and raft_store of
``latchspoke.agent``, the commands of ``latchspoke.duties`` and ``latchspoke.revisions``, ``latchspoke.net``.
"""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import immutables
import msgspec
import pytest

from barleyhub.state import GatewayState, Health, Server, ServerGroup
from latchspoke.agent import peer_transport
from latchspoke.agent.raft_store import RaftStore
from latchspoke.agent.store import Step, Store
from latchspoke.consensus.log import members_entry
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Entry, HardState, Kind, Members, Snapshot
from latchspoke.consensus.state_machines import CommandResult, StateMachines
from latchspoke.duties import findings, member_service
from latchspoke.duties import records as duties
from latchspoke.duties.machine import DutiesMachine
from latchspoke.fleet.claims import Claim
from latchspoke.fleet.lifecycle import ExitReason, Goal, Instance, Phase
from latchspoke.fleet.wire import Event, OperationPlan, OperationStatus, StepInfo
from latchspoke.net.process_group import ProcessGroup
from latchspoke.revisions import records as revisions
from latchspoke.revisions.machine import RulesMachine
from tests.compatibility.recorded import copy_of, json_text, recorded_bytes, recorded_texts, table_rows

HOLDER, OTHER = "agent-a#0a0a", "agent-b#0b0b"
MEMBERS = Members((HOLDER, OTHER), ("agent-c#0c0c",), ("agent-d",), ())
TERM = 3

# Commands of duties, findings and revisions: machine, command, command ID.

FOUND = {"gone:g1": "g1 is gone", "old:g2": "g2 is old"}
COMMANDS: list[tuple[str, msgspec.Struct, str]] = [
    ("duties", duties.Define("census", duties.Rule(8.0, ("agent-*",), ("zone-a",), ("v7",))), "id-1"),
    ("duties", duties.Grant("census", HOLDER, 0, False), ""),
    ("findings", findings.Report("census", 1, 1000.5, FOUND), "id-2"),
    (
        "rules",
        revisions.PutRules(
            "plans", 0, {"gold.rate": 50.0, "gold.burst": 100}, (), "ann", "first", 1001.0,
            revisions.Terms(6.0, "strict", {"gold.rate": 5.0}),
        ),
        "id-3",
    ),
    ("rules", revisions.Activate("plans", 1, 6.0), ""),
    ("duties", duties.Release("census", 1, duties.TenureEnd.RELEASED), ""),
    ("duties", duties.Grant("census", OTHER, 1, True), "id-4"),
    # The recorded snapshot holds those above; its log goes on with those below.
    ("duties", duties.Move("census", HOLDER), ""),
    ("duties", duties.Define("sweep", duties.Rule()), ""),
    ("duties", duties.Remove("sweep"), ""),
    ("findings", findings.Report("census", 2, 1010.0, {}, ("gone:g1",)), ""),
    (
        "rules",
        revisions.PutRules("plans", 1, {"gold.rate": 60.0}, ("gold.burst",), "bob", "second", 1011.0),
        "id-5",
    ),
    ("rules", revisions.PutRules("blocked", 0, {"tenant-x": "unpaid"}, (), "ann", "bill", 1012.0), ""),
    ("rules", revisions.PutRules("plans", 1, {"gold.rate": 1.0}, (), "eve", "too late", 1013.0), "id-6"),
    ("duties", duties.Grant("census", OTHER, 1, False), ""),
]  # fmt: skip
SNAPSHOT_INDEX = 8
COMMAND_TYPES: dict[str, Any] = {
    "duties": duties.Command,
    "findings": findings.Report,
    "rules": revisions.RulesCommand,
}


def make_machines() -> StateMachines:
    duties_machine = DutiesMachine()
    return StateMachines(
        {
            "duties": duties_machine,
            "findings": findings.FindingsMachine(duties_machine),
            "rules": RulesMachine(),
        }
    )


def log_entries() -> list[Entry]:
    entries = [Entry(1, TERM, Kind.NOTHING, b"")]
    for machine, command, command_id in COMMANDS:
        body = StateMachines.encode_command(machine, msgspec.msgpack.encode(command), command_id)
        entries.append(Entry(len(entries) + 1, TERM, Kind.DATA, body))
    return [*entries, members_entry(len(entries) + 1, TERM, MEMBERS)]


def recorded_results() -> list[CommandResult | None]:
    [(_, text)] = recorded_texts("agent_results")
    return msgspec.json.decode(text, type=list[CommandResult | None])


def test_commands() -> None:
    recorded = recorded_bytes("agent_commands")
    assert len(recorded) == len(COMMANDS)
    for (machine, command, _), (_, data) in zip(COMMANDS, recorded, strict=True):
        assert msgspec.msgpack.encode(command) == data
        assert msgspec.msgpack.decode(data, type=COMMAND_TYPES[machine]) == command


def test_snapshots_of_the_machines() -> None:
    machines = make_machines()
    assert [machines.apply(entry) for entry in log_entries()] == recorded_results()
    recorded = dict(recorded_bytes("agent_snapshots"))
    assert machines.dump() == recorded.pop("all")
    assert {name: machine.dump() for name, machine in machines.machines.items()} == recorded


def test_snapshots_are_read() -> None:
    recorded = dict(recorded_bytes("agent_snapshots"))
    loaded = make_machines()
    loaded.load(len(COMMANDS) + 2, recorded["all"])
    assert loaded.dump() == recorded["all"]
    duties_machine = cast(DutiesMachine, loaded.machines["duties"])
    census = duties_machine.duties["census"]
    assert (census.token, census.wanted, census.held) == (2, HOLDER, True)
    assert census.tenure == duties.Tenure(OTHER, 2, 8.0)
    rules = cast(RulesMachine, loaded.machines["rules"])
    plans = rules.states["plans"]
    assert (plans.active, plans.head) == (1, 2) and dict(plans.head_document.items()) == {"gold.rate": 60.0}


def test_content_of_revisions() -> None:
    rules = make_machines()
    rules.load(len(COMMANDS) + 2, dict(recorded_bytes("agent_snapshots"))["all"])
    answers = dict(recorded_bytes("agent_answers"))
    machine = rules.machines["rules"]
    assert machine.query(b"") == answers["summaries"]
    assert machine.query(answers["change question"]) == answers["change"]
    assert machine.query(answers["parts question"]) == answers["parts"]
    change: revisions.Content = msgspec.msgpack.decode(answers["change"], type=revisions.Content)
    assert change == revisions.Content("plans", 2, 1, {"gold.rate": 60.0}, ("gold.burst",))
    asked: revisions.FetchRules = msgspec.msgpack.decode(answers["parts question"], type=revisions.FetchRules)
    assert asked == revisions.FetchRules("plans", 2)


# The raft_store.


def test_recorded_ledger_is_read(tmp_path: Path) -> None:
    raft_store = RaftStore(copy_of("agent", tmp_path) / "ledger.db")
    stored = raft_store.start("agent-a", "another", True)
    raft_store.close()
    assert (stored.identity, stored.boot, stored.hard_state) == (HOLDER, 2, HardState(TERM, HOLDER))
    assert (stored.snapshot.index, stored.snapshot.term) == (SNAPSHOT_INDEX, TERM)
    assert stored.snapshot.members == Members((HOLDER,))
    assert list(stored.entries) == log_entries()[SNAPSHOT_INDEX:]
    machines = make_machines()
    machines.load(SNAPSHOT_INDEX, stored.snapshot.body)
    assert [machines.apply(entry) for entry in stored.entries] == recorded_results()[SNAPSHOT_INDEX:]
    assert machines.dump() == dict(recorded_bytes("agent_snapshots"))["all"]


def test_same_entries_write_the_same_ledger(tmp_path: Path) -> None:
    recorded, entries, machines = copy_of("agent", tmp_path), log_entries(), make_machines()
    raft_store = RaftStore(tmp_path / "ledger.db")
    raft_store.start("agent-a", "0a0a", True)
    raft_store.save(Output(hard_state=HardState(TERM, HOLDER)))
    raft_store.save(Output(first_index=1, entries=tuple(entries)))
    for entry in entries[:SNAPSHOT_INDEX]:
        machines.apply(entry)
    raft_store.compact(Snapshot(SNAPSHOT_INDEX, TERM, Members((HOLDER,)), machines.dump()))
    raft_store.close()
    for table in ("facts", "entries"):
        assert table_rows(tmp_path / "ledger.db", table) == table_rows(recorded / "ledger.db", table)
    assert (tmp_path / "ledger.start").read_bytes() == (recorded / "ledger.start").read_bytes()


# Frames between agents.

CANDIDATE = duties.Candidate("gate-1", "77", "zone-a", "v7", ("census", "sweep"))
BEAT = duties.Heartbeat(CANDIDATE, 5, {"census": 2})
QUESTION = revisions.RulesQuestion("gate-1", "77", 6, {"plans": revisions.DocumentReport(1, (1, 2))})
ANSWER = duties.HeartbeatReply("gate-1#77", 5, (duties.HeldDuty("census", 2, 7.5, True),), 8.0)
GRANTED = revisions.DocumentGrant(1, 5.5, 1, "strict", {"gold.rate": 5.0}, {1: "ab", 2: "cd"})
HOLDERS = revisions.GatewayLeases(
    {"gate-1": {"plans": revisions.LeaseStatus(1, 4.5, (2,))}},
    (revisions.ActivationStatus("plans", 1, 3.5, 0.5),),
)
FRAMES: dict[str, peer_transport.Frame] = {
    "greet": peer_transport.Hello("agent-a", HOLDER),
    "said": peer_transport.ConsensusMessage(b"\x81"),
    "ask beat": peer_transport.AskFrame(1, beat=BEAT),
    "ask put": peer_transport.AskFrame(2, put=member_service.CommandRequest("duties", b"\x80", "id-9")),
    "ask look": peer_transport.AskFrame(3, look=member_service.Query("rules", b"\x80")),
    "ask question": peer_transport.AskFrame(4, question=QUESTION),
    "reply answer": peer_transport.ReplyFrame(1, answer=ANSWER),
    "reply done": peer_transport.ReplyFrame(2, done=member_service.Committed(9, "it is held")),
    "reply shown": peer_transport.ReplyFrame(
        3, shown=member_service.QueryResult(9, msgspec.msgpack.encode(HOLDERS))
    ),
    "reply refused": peer_transport.ReplyFrame(4, refused=member_service.Rejected(OTHER, True)),
    "reply rules": peer_transport.ReplyFrame(5, rules=revisions.RulesAnswer("77", 6, {"plans": GRANTED})),
}


def test_every_frame_is_recorded() -> None:
    assert [name for name, _ in recorded_bytes("agent_frames")] == list(FRAMES)


@pytest.mark.parametrize("name", FRAMES)
def test_frame(name: str) -> None:
    data = dict(recorded_bytes("agent_frames"))[name]
    assert peer_transport.ENCODER.encode(FRAMES[name]) == data
    assert peer_transport.DECODER.decode(data) == FRAMES[name]


# The store.


def test_values_in_files_and_frames() -> None:
    recorded = dict(recorded_texts("enumerations"))
    for name, values in (
        ("tenure end", [why.value for why in duties.TenureEnd]),
        ("instance goal", [goal.value for goal in Goal]),
        ("instance phase", [phase.value for phase in Phase]),
        ("process end", [end.value for end in ExitReason]),
    ):
        assert json_text(values) == recorded[name]


INSTANCES = {
    "g1": Instance(
        "g1", Goal.UP, Phase.READY, 1000.0, 3, 4711, 998, 999.0, True, 1003.5, 0.0, 0.0, 0.0, 1, False,
        ExitReason.CLEAN, "", 990.0,
    ),
    "g2": Instance(
        "g2", Goal.DOWN, Phase.DRAINING, 1001.0, 2, 4712, 997, 995.0, True, 1003.0, 1001.0, 1006.0, 1020.0,
        2, True, ExitReason.CRASHED, "signal 11", 980.0,
    ),
}  # fmt: skip
CLAIM = Claim("g2", 8, "ann", "op-1", 1000.0, 1030.0, False)
PLAN = OperationPlan(
    "op-1", "drain", "ann", 1000.0, [["a/g2"], ["b/g3"]], 1, 0.5, 45.0, 1, "new kernel", ["a/g1", "a/g2"]
)
STEP = StepInfo("op-1", "g2", "drain", "doing", 8, 1001.0, 1046.0, 0.0, 2, "SIGTERM")
OPERATION = OperationStatus(PLAN, "open", "", [STEP])
EVENTS = [
    Event(0, 1000.0, "claimed", "g2", "op-1", "ann", "token 8"),
    Event(0, 1001.0, "draining", "g2", "op-1"),
]
STORE_TABLES = ("instances", "claims", "operations", "steps", "fences", "events")


def test_recorded_store_is_read(tmp_path: Path) -> None:
    store = Store(copy_of("agent", tmp_path) / "store.db")
    assert store.instances() == INSTANCES
    assert dict(store.claims()) == {"g2": CLAIM}
    assert store.fences() == {"census": 2}
    assert store.operation("op-1") == OPERATION and store.operations() == [OPERATION]
    assert store.steps("op-1") == store.open_steps() == [Step(STEP, INSTANCES["g2"])]
    numbered = [msgspec.structs.replace(event, revision=n) for n, event in enumerate(EVENTS, 1)]
    assert store.events(0, 10) == numbered and store.revision() == 2
    store.close()


def test_same_values_write_the_same_store(tmp_path: Path) -> None:
    recorded = copy_of("agent", tmp_path)
    store = Store(tmp_path / "store.db")
    with store.transaction() as writer:
        for instance in INSTANCES.values():
            writer.instance(instance)
        writer.claims(immutables.Map(), immutables.Map({"g2": CLAIM}))
        writer.fence("census", 2)
        writer.operation(OPERATION)
        writer.step(Step(STEP, INSTANCES["g2"]))
        for event in EVENTS:
            writer.event(event)
    store.close()
    for table in STORE_TABLES:
        assert table_rows(tmp_path / "store.db", table) == table_rows(recorded / "store.db", table)


# What a gateway process leaves for its successor.

NOTES_FILE, LEARNED_FILE = "latchspoke-g1-127.0.0.1-8080.json", "latchspoke-g1-127.0.0.1-8080.learnt"


def gateway_state(group: ServerGroup, health: Health) -> GatewayState:
    state = GatewayState()
    state.groups = {("zone-a", "large"): group}
    state.servers = {"s1": Server(cast(Any, SimpleNamespace(launched=1000.0)), health, group, 20.0)}
    return state


def learned_state() -> GatewayState:
    group = ServerGroup(20.0, 0.1, 1.25, answered_units=40.0, size_weighted_units=60.0, server_time=5.5)
    state = gateway_state(group, Health(20.0, 0.2, 1.1))
    state.in_flight_limit, state.latency, state.slow_share, state.mean_in_flight = 6.5, 0.125, 0.25, 3.5
    state.slowdowns = {"gold": 1.5, "basic": 0.75}
    return state


def test_recorded_notes_and_learned_state_are_read(tmp_path: Path) -> None:
    process_group = ProcessGroup(copy_of("gateway", tmp_path), "g1", ("127.0.0.1", 8080))
    process_group.path.with_suffix(".learnt").touch()  # older files are ignored
    assert process_group.reload_if_changed()
    assert process_group.maintenance.in_maintenance == {
        "s1": 1000.5
    } and process_group.maintenance.returned == {"s2": (1001.5, 1004.0)}
    assert list(process_group.maintenance.known_servers) == ["s1", "s2", "s3"]
    learned = process_group.load_learned()
    process_group.close()
    assert learned is not None
    fresh = gateway_state(ServerGroup(20.0), Health(20.0))
    fresh.restore_learned(learned, 20.0)
    assert fresh.export_learned(20.0) == learned_state().export_learned(20.0)


def test_same_notes_and_learned_state_are_written(tmp_path: Path) -> None:
    recorded = copy_of("gateway", tmp_path)
    process_group = ProcessGroup(tmp_path, "g1", ("127.0.0.1", 8080))
    with process_group.update() as notes:
        notes.known_servers.update(dict.fromkeys(("s1", "s2", "s3")))
        assert notes.enter("s1", 1000.5) and notes.enter("s2", 1001.5) and notes.exit("s2", 1004.0)
    process_group.publish_learned(learned_state().export_learned(20.0))
    process_group.close()
    for name in (NOTES_FILE, LEARNED_FILE):
        assert (tmp_path / name).read_bytes() == (recorded / name).read_bytes()
