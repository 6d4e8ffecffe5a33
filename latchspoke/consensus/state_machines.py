"""Several state machines on one log: routes commands to them and snapshots them together.

A command may carry an ID chosen by the client. If the client retries under the same ID because a reply was
lost, the command is not applied again; the client gets the first result.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from latchspoke.consensus.records import Entry, Kind, RecordsError

COMPLETED_COMMANDS_LIMIT = 1000  # results kept by command ID; the oldest are evicted
COMPLETED_KEY = ""  # key of these results in a snapshot; no state machine has this name

CommandResult = tuple[int, str]  # log index of the command, and why it was rejected ('' if applied)


class StateMachine(Protocol):
    """Deterministic: the same commands in the same order produce the same state on every member."""

    def apply(self, index: int, body: bytes) -> str:
        """Applies a command; returns '', or why it was rejected. Never raises on a known command."""

    def query(self, question: bytes) -> bytes:
        """Answers an encoded read-only query."""

    def dump(self) -> bytes:
        """The complete state, encoded for a snapshot."""
        ...

    def load(self, body: bytes) -> None:
        """Replaces the state by one from ``dump``; an empty body is the initial state."""
        ...


class Command(msgspec.Struct, frozen=True, array_like=True):
    """A log entry's command for one state machine; ``command_id`` '' means no deduplication."""

    machine: str
    body: bytes
    command_id: str = ""


class StateMachines:
    """The state machines of this member, by name.

    A command for an unknown state machine stays in the log and is skipped. The member must not take snapshots
    from then on, because they would lack the state of that machine.
    """

    def __init__(self, machines: dict[str, StateMachine]) -> None:
        self.machines = machines
        self.completed: dict[str, CommandResult] = {}  # by command ID, oldest first
        self.applied_index = 0
        self.has_unknown_machine = False

    @staticmethod
    def encode_command(machine: str, body: bytes, command_id: str = "") -> bytes:
        """The body of a log entry for this command."""
        return msgspec.msgpack.encode(Command(machine, body, command_id))

    def apply(self, entry: Entry) -> CommandResult | None:
        """Applies a committed entry; None if it is not a command."""
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
        """Remembers a result for retries; evicts the oldest one above the limit."""
        self.completed[command_id] = result
        if len(self.completed) > COMPLETED_COMMANDS_LIMIT:
            del self.completed[next(iter(self.completed))]

    def dump(self) -> bytes:
        """All state machines and the remembered results, encoded for a snapshot."""
        states = {name: machine.dump() for name, machine in self.machines.items()}
        return msgspec.msgpack.encode({COMPLETED_KEY: msgspec.msgpack.encode(self.completed), **states})

    def load(self, index: int, body: bytes) -> None:
        """Restores all state machines from a snapshot. Raises RecordsError."""
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
