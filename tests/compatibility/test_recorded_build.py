"""The config store and its messages, against bytes of an earlier build; ``recorded`` tells which one."""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest

from latchspoke.agent.raft_store import RaftStore
from latchspoke.configstore import messages
from latchspoke.configstore.config_state import Command, ConfigState, Verdict
from latchspoke.configstore.entry_ages import EntryAge
from latchspoke.configstore.store_node import StoreNode, founding_snapshot
from latchspoke.configuration.patch import apply_patch, diff
from latchspoke.consensus import records
from latchspoke.consensus.member import Role
from latchspoke.consensus.records import Entry, HardState, Kind, Members, Snapshot
from tests.compatibility.documents import document
from tests.compatibility.recorded import copy_of, json_text, recorded_bytes, recorded_texts, table_rows

NODE, NEWCOMER = "10.0.0.1:7600", "10.0.0.2:7600"
NODE_ID, NEWCOMER_ID = f"{NODE}#first", f"{NEWCOMER}#g-0a1b2c3d"
JOIN_BEFORE_COMMAND = 53
MEMBERS = Members((NODE_ID,), (), (), (NEWCOMER_ID,))
LAST_INDEX = 62


def replace_command(version: int, base: int) -> Command:
    return {
        "do": "replace",
        "version": version,
        "base": base,
        "digest": f"d{version}",
        "doc": document(version),
    }


def evacuate(zone: str, count: int) -> Command:
    return {"do": "evacuate", "zone": zone, "stand": count}


def restore(zone: str, count: int) -> Command:
    return {"do": "restore", "zone": zone, "stand": count}


def store_commands() -> Iterator[Command]:
    """The commands of the recorded store. The first 49 are in its snapshot, the others in its log."""
    yield replace_command(1, 0)
    for number in range(24):
        yield evacuate(f"zone-{number % 3}", 0)
        yield restore(f"zone-{number % 3}", 1)
    yield replace_command(2, 1)
    yield evacuate("zone-c", 0)
    yield evacuate("zone-c", 1)
    yield replace_command(3, 2)
    patch = diff(cast(Any, document(3)), cast(Any, document(5)))
    yield {"do": "modify", "version": 5, "base": 3, "digest": "d5", "patch": patch}
    yield replace_command(9, 8)  # rejected: its base is not there
    yield evacuate("zone-a", 0)
    yield evacuate("zone-b", 0)
    yield restore("zone-b", 1)
    yield restore("zone-c", 2)


class Node:
    """A config store node on a folder, driven as its replica does, with a given time."""

    def __init__(self, folder: Path) -> None:
        self.raft_store = RaftStore(folder / "register.db", exclusive=True)
        founding = founding_snapshot((NODE,), ConfigState(cast(Any, apply_patch)))
        self.stored = self.raft_store.start(NODE, "first", True, founding)
        self.now = 100.0
        self.node = StoreNode(self.stored, (NODE,), cast(Any, apply_patch), random.Random(7), self.now)

    def process_outputs(self) -> None:
        while (output := self.node.take_output()) is not None:
            if output.must_store:
                self.raft_store.save(output)
            self.node.on_stored(output, self.now)
            snapshot = self.node.compact_if_due()
            if snapshot is not None:
                self.raft_store.compact(snapshot)

    def elect(self) -> None:
        for _ in range(40):
            self.now += 0.05
            self.node.tick(self.now)
            self.process_outputs()
        assert self.node.is_leader

    def submit(self, command: Command) -> Verdict:
        request_id = self.node.submit(command, 0.9, self.now)
        self.process_outputs()
        answers, self.node.answers = self.node.answers, []
        self.now += 0.01
        [verdict] = [answer for number, answer in answers if number == request_id]
        assert isinstance(verdict, Verdict)
        return verdict

    def run_recorded_commands(self) -> list[Verdict]:
        verdicts = []
        for number, command in enumerate(store_commands()):
            if number == JOIN_BEFORE_COMMAND:
                self.node.receive(NEWCOMER, {"k": "knock", "who": NEWCOMER_ID}, self.now)
                self.process_outputs()
            verdicts.append(self.submit(command))
        return verdicts


@pytest.fixture
def written(tmp_path: Path) -> Iterator[tuple[Path, Node, list[Verdict]]]:
    """A store that the present code has written with the commands of the recorded one."""
    folder = tmp_path / "written"
    folder.mkdir()
    node = Node(folder)
    node.elect()
    verdicts = node.run_recorded_commands()
    node.raft_store.close()
    yield folder, node, verdicts


def without_reason(verdict: Verdict) -> tuple[str, int, int]:
    return verdict.kind, verdict.version, verdict.index


def check_state(state: ConfigState) -> None:
    assert state.version == 5 and state.document == document(5)
    assert state.evacuated == {"zone-a", "zone-c"}
    assert state.history == {1: "d1", 2: "d2", 3: "d3", 5: "d5"} and list(state.refused) == ["d9"]


# The store folder.


def test_recorded_store_is_read(tmp_path: Path) -> None:
    node = Node(copy_of("register", tmp_path))
    stored = node.stored
    node.raft_store.close()
    assert (stored.identity, stored.boot, stored.hard_state) == (NODE_ID, 2, HardState(1, NODE_ID))
    assert (stored.snapshot.index, stored.snapshot.term) == (51, 1)
    assert stored.snapshot.members == Members((NODE_ID,))
    assert [entry.index for entry in stored.entries] == list(range(52, LAST_INDEX + 1))
    kinds = [entry.kind for entry in stored.entries]
    assert kinds.count(Kind.MEMBERS) == 1 and kinds.count(Kind.DATA) == len(kinds) - 1
    commands = [msgspec.json.decode(entry.body) for entry in stored.entries if entry.kind is Kind.DATA]
    assert {command["do"] for command in commands} == {"replace", "modify", "evacuate", "restore"}


def test_recorded_store_is_applied_and_goes_on(tmp_path: Path) -> None:
    folder = copy_of("register", tmp_path)
    node = Node(folder)
    node.elect()
    check_state(node.node.state)
    assert node.node.member.members == MEMBERS
    assert (node.node.member.role, node.node.member.term) == (Role.LEADER, 2)
    verdict = node.submit(replace_command(6, 5))
    assert (verdict.kind, verdict.version, verdict.index) == ("taken", 6, LAST_INDEX + 2)
    node.raft_store.close()
    again = Node(folder)
    again.elect()
    assert again.node.state.document == document(6) and again.node.state.version == 6
    assert again.stored.boot == 3
    again.raft_store.close()


def test_same_commands_write_the_same_store(tmp_path: Path, written: Any) -> None:
    recorded, (folder, node, _) = copy_of("register", tmp_path), written
    check_state(node.node.state)
    assert node.node.member.log.last_index == LAST_INDEX
    for table in ("facts", "entries"):
        assert table_rows(folder / "register.db", table) == table_rows(recorded / "register.db", table)
    assert (folder / "register.start").read_bytes() == (recorded / "register.start").read_bytes()


def test_same_commands_send_the_same_messages(written: Any) -> None:
    _, node, _ = written
    sent = [(name, json_text(message)) for name, message in node.node.outbox]
    assert sent == recorded_texts("register_outbox")


def test_same_commands_get_the_same_verdicts(written: Any) -> None:
    """The reason is left out here: it is a text for people."""
    _, _, verdicts = written
    recorded: list[Verdict] = [
        msgspec.json.decode(text, type=Verdict) for _, text in recorded_texts("register_verdicts")
    ]
    assert [without_reason(verdict) for verdict in verdicts] == [without_reason(each) for each in recorded]
    assert [json_text(v) for v in recorded] == [text for _, text in recorded_texts("register_verdicts")]


def recorded_rejections() -> list[tuple[str, Command, str]]:
    """Name, command and verdict of commands that one state was given, most of which it rejected."""
    rows = recorded_texts("rejected_commands")
    pairs = zip(rows[::2], rows[1::2], strict=True)
    return [(name, msgspec.json.decode(command), verdict) for (name, command), (_, verdict) in pairs]


def test_rejected_commands_get_the_same_verdicts() -> None:
    """The reason is left out here: it is a text for people."""
    state = ConfigState(cast(Any, apply_patch))
    for index, (name, command, text) in enumerate(recorded_rejections(), 11):
        recorded: Verdict = msgspec.json.decode(text, type=Verdict)
        assert without_reason(state.apply(index, command)) == without_reason(recorded), name
    assert state.version == 2 and state.evacuated == {"zone-a"} and list(state.refused) == ["d4"]


def test_verdicts_give_the_same_reasons(written: Any) -> None:
    """A verdict travels between processes whole, so that its reason is on the wire too."""
    _, _, verdicts = written
    state = ConfigState(cast(Any, apply_patch))
    rejections = [
        json_text(state.apply(index, command))
        for index, (_, command, _) in enumerate(recorded_rejections(), 11)
    ]
    assert rejections == [text for _, _, text in recorded_rejections()]
    assert [json_text(verdict) for verdict in verdicts] == [
        text for _, text in recorded_texts("register_verdicts")
    ]


# Messages.

TERMS: dict[str, Any] = {"source": "a#1", "target": "b#2", "boot": 3, "term": 4}
SENT_MEMBERS = Members(("a#1", "b#2"), ("c#3",), ("d",), ("e#5",))
SENT_SNAPSHOT = Snapshot(7, 2, SENT_MEMBERS, b"state")
SENT_ENTRIES = (
    Entry(8, 4, Kind.NOTHING, b""),
    Entry(9, 4, Kind.DATA, b"{}"),
    Entry(10, 4, Kind.MEMBERS, b"\x80"),
)
APPEND = records.Append(
    **TERMS, before_index=7, before_term=2, entries=SENT_ENTRIES, commit=6, round_number=11
)
CONSENSUS_MESSAGES: dict[str, records.AnyMessage] = {
    "ask-vote": records.VoteRequest(**TERMS, last_index=5, last_term=2, pre_vote=True),
    "give-vote": records.VoteReply(**TERMS, granted=True, pre_vote=True),
    "append": APPEND,
    "install": records.Install(**TERMS, snapshot=SENT_SNAPSHOT, round_number=12),
    "install-part": records.InstallPart(
        **TERMS, index=7, snapshot_term=2, members=SENT_MEMBERS, offset=2, total=5, body=b"ate",
        round_number=13,
    ),
    "install-progress": records.InstallProgress(**TERMS, index=7, offset=2, round_number=13),
    "appended": records.AppendReply(**TERMS, ok=True, index=10, round_number=11),
    "hello": records.BootQuery(**TERMS),
    "known": records.BootReply(**TERMS, latest=6),
    "yield": records.TimeoutNow(**TERMS),
}  # fmt: skip
STORE_MESSAGES: dict[str, messages.Message] = {
    "raft": messages.RaftMessage(APPEND),
    "ask": messages.CommandRequest(21, {"do": "evacuate", "zone": "zone-a", "stand": 0, "after": 4}),
    "told": messages.CommandReply(21, Verdict("conflict", "refused", 5, 17)),
    "no": messages.NotLeaderReply(21),
    "prove": messages.ReadIndexRequest(22, True),
    "proof": messages.ReadIndexReply(22, 17),
    "age": messages.EntryAgeRequest(23, 17),
    "aged": messages.EntryAgeReply(23, EntryAge(2.5, True)),
    "knock": messages.JoinRequest(NEWCOMER_ID),
    "leads": messages.LeaderHint(NODE_ID),
    "leaves": messages.LeaveNotice(NODE_ID, 3),
}


def test_every_kind_of_message_is_recorded() -> None:
    assert [name for name, _ in recorded_bytes("consensus_messages")] == list(CONSENSUS_MESSAGES)
    assert [name for name, _ in recorded_texts("store_messages")] == list(STORE_MESSAGES)
    for union, examples in (
        (records.AnyMessage, CONSENSUS_MESSAGES.values()),
        (messages.Message, STORE_MESSAGES.values()),
    ):
        assert set(union.__args__) == {type(example) for example in examples}


def test_kinds_of_entries() -> None:
    assert json_text([kind.value for kind in Kind]) == dict(recorded_texts("enumerations"))["entry kind"]


@pytest.mark.parametrize("name", CONSENSUS_MESSAGES)
def test_consensus_message(name: str) -> None:
    data, message = dict(recorded_bytes("consensus_messages"))[name], CONSENSUS_MESSAGES[name]
    assert records.decode(data) == message
    assert records.encode(message) == data


@pytest.mark.parametrize("name", STORE_MESSAGES)
def test_store_message(name: str) -> None:
    text, message = dict(recorded_texts("store_messages"))[name], STORE_MESSAGES[name]
    assert messages.decode_message(msgspec.json.decode(text)) == message
    assert json_text(message) == text
