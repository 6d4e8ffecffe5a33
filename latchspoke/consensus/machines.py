"""Several state machines on one log: who a command is for, and all of them as one snapshot."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from latchspoke.consensus.records import Entry, Kind, RecordsError


class Machine(Protocol):
    """Deterministic: the same commands in the same order make the same state, on every member."""

    def apply(self, index: int, body: bytes) -> Any:
        """What became of the command, for whoever proposed it here. Never raises on a known command."""

    def dump(self) -> bytes: ...

    def load(self, body: bytes) -> None: ...


class Command(msgspec.Struct, frozen=True, array_like=True):
    machine: str
    body: bytes


class Machines:
    """By name. A command for a machine that this member doesn't have is kept in the log and passed over.

    It must then not make a snapshot: the state that it lacks would be lost for all that follow.
    """

    def __init__(self, machines: dict[str, Machine]) -> None:
        self.machines = machines
        self.applied = 0
        self.lacking = False

    @staticmethod
    def command(machine: str, body: bytes) -> bytes:
        return msgspec.msgpack.encode(Command(machine, body))

    def apply(self, entry: Entry) -> Any:
        assert entry.index == self.applied + 1, "entries are applied in order, each once"
        self.applied = entry.index
        if entry.kind is not Kind.DATA:
            return None
        command: Command = msgspec.msgpack.decode(entry.body, type=Command)
        machine = self.machines.get(command.machine)
        if machine is None:
            self.lacking = True
            return None
        return machine.apply(entry.index, command.body)

    def dump(self) -> bytes:
        return msgspec.msgpack.encode({name: machine.dump() for name, machine in self.machines.items()})

    def load(self, index: int, body: bytes) -> None:
        """Raises RecordsError."""
        try:
            states: dict[str, bytes] = msgspec.msgpack.decode(body, type=dict[str, bytes]) if body else {}
        except msgspec.MsgspecError as e:
            raise RecordsError(f"the snapshot up to {index} can't be read: {e}") from None
        for name, machine in self.machines.items():
            machine.load(states.get(name, b""))
        self.lacking = not states.keys() <= self.machines.keys()
        self.applied = index
