"""Several state machines on one log: who a command is for, and all of them as one snapshot.

A command may carry an *ident* that whoever asks has drawn: asked again under it, as an answer can be lost, it
is not carried out again, and what became of it the first time is told.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from latchspoke.consensus.records import Entry, Kind, RecordsError

COMPLETED_COMMANDS_LIMIT = 1000  # idents with what became of them; older ones are forgotten
COMPLETED_KEY = ""  # their place in a snapshot; no machine has this name

CommandResult = tuple[int, str]  # where a command stands in the log, and why it changed nothing, or ''


class StateMachine(Protocol):
    """Deterministic: the same commands in the same order make the same state, on every member."""

    def apply(self, index: int, body: bytes) -> str:
        """'' where it was done, else why not. Never raises on a known command."""

    def query(self, question: bytes) -> bytes:
        """What somebody wants to see of it."""

    def dump(self) -> bytes: ...

    def load(self, body: bytes) -> None: ...


class Command(msgspec.Struct, frozen=True, array_like=True):
    machine: str
    body: bytes
    command_id: str = ""


class StateMachines:
    """By name. A command for a machine that this member doesn't have is kept in the log and passed over.

    It must then not make a snapshot: the state that it lacks would be lost for all that follow.
    """

    def __init__(self, machines: dict[str, StateMachine]) -> None:
        self.machines = machines
        self.completed: dict[str, CommandResult] = {}  # by ident, the oldest first
        self.applied_index = 0
        self.has_unknown_machine = False

    @staticmethod
    def encode_command(machine: str, body: bytes, command_id: str = "") -> bytes:
        return msgspec.msgpack.encode(Command(machine, body, command_id))

    def apply(self, entry: Entry) -> CommandResult | None:
        """None where the entry is no command."""
        assert entry.index == self.applied_index + 1, "entries are applied in order, each once"
        self.applied_index = entry.index
        if entry.kind is not Kind.DATA:
            return None
        command: Command = msgspec.msgpack.decode(entry.body, type=Command)
        machine = self.machines.get(command.machine)
        if machine is None:
            self.has_unknown_machine = True
            return entry.index, f"this member knows nothing of {command.machine}"
        if command.command_id in self.completed:
            return self.completed[command.command_id]
        result = entry.index, machine.apply(entry.index, command.body)
        if command.command_id:
            self.record_result(command.command_id, result)
        return result

    def record_result(self, command_id: str, result: CommandResult) -> None:
        self.completed[command_id] = result
        if len(self.completed) > COMPLETED_COMMANDS_LIMIT:
            del self.completed[next(iter(self.completed))]

    def dump(self) -> bytes:
        states = {name: machine.dump() for name, machine in self.machines.items()}
        return msgspec.msgpack.encode({COMPLETED_KEY: msgspec.msgpack.encode(self.completed), **states})

    def load(self, index: int, body: bytes) -> None:
        """Raises RecordsError."""
        try:
            states: dict[str, bytes] = msgspec.msgpack.decode(body, type=dict[str, bytes]) if body else {}
        except msgspec.MsgspecError as e:
            raise RecordsError(f"the snapshot up to {index} can't be read: {e}") from None
        completed = states.pop(COMPLETED_KEY, b"")
        self.completed = msgspec.msgpack.decode(completed, type=dict[str, CommandResult]) if completed else {}
        for name, machine in self.machines.items():
            machine.load(states.get(name, b""))
        self.has_unknown_machine = not states.keys() <= self.machines.keys()
        self.applied_index = index
