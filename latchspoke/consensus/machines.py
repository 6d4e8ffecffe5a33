"""Several state machines on one log: who a command is for, and all of them as one snapshot.

A command may carry an *ident* that whoever asks has drawn: asked again under it, as an answer can be lost, it
is not carried out again, and what became of it the first time is told.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from latchspoke.consensus.records import Entry, Kind, RecordsError

DONE_KEPT = 1000  # idents with what became of them; older ones are forgotten
DONE = ""  # their place in a snapshot; no machine has this name

Result = tuple[int, str]  # where a command stands in the log, and why it changed nothing, or ''


class Machine(Protocol):
    """Deterministic: the same commands in the same order make the same state, on every member."""

    def apply(self, index: int, body: bytes) -> str:
        """'' where it was done, else why not. Never raises on a known command."""

    def look(self, question: bytes) -> bytes:
        """What somebody wants to see of it."""

    def dump(self) -> bytes: ...

    def load(self, body: bytes) -> None: ...


class Command(msgspec.Struct, frozen=True, array_like=True):
    machine: str
    body: bytes
    ident: str = ""


class Machines:
    """By name. A command for a machine that this member doesn't have is kept in the log and passed over.

    It must then not make a snapshot: the state that it lacks would be lost for all that follow.
    """

    def __init__(self, machines: dict[str, Machine]) -> None:
        self.machines = machines
        self.done: dict[str, Result] = {}  # by ident, the oldest first
        self.applied = 0
        self.lacking = False

    @staticmethod
    def command(machine: str, body: bytes, ident: str = "") -> bytes:
        return msgspec.msgpack.encode(Command(machine, body, ident))

    def apply(self, entry: Entry) -> Result | None:
        """None where the entry is no command."""
        assert entry.index == self.applied + 1, "entries are applied in order, each once"
        self.applied = entry.index
        if entry.kind is not Kind.DATA:
            return None
        command: Command = msgspec.msgpack.decode(entry.body, type=Command)
        machine = self.machines.get(command.machine)
        if machine is None:
            self.lacking = True
            return entry.index, f"this member knows nothing of {command.machine}"
        if command.ident in self.done:
            return self.done[command.ident]
        result = entry.index, machine.apply(entry.index, command.body)
        if command.ident:
            self.remember(command.ident, result)
        return result

    def remember(self, ident: str, result: Result) -> None:
        self.done[ident] = result
        if len(self.done) > DONE_KEPT:
            del self.done[next(iter(self.done))]

    def dump(self) -> bytes:
        states = {name: machine.dump() for name, machine in self.machines.items()}
        return msgspec.msgpack.encode({DONE: msgspec.msgpack.encode(self.done), **states})

    def load(self, index: int, body: bytes) -> None:
        """Raises RecordsError."""
        try:
            states: dict[str, bytes] = msgspec.msgpack.decode(body, type=dict[str, bytes]) if body else {}
        except msgspec.MsgspecError as e:
            raise RecordsError(f"the snapshot up to {index} can't be read: {e}") from None
        done = states.pop(DONE, b"")
        self.done = msgspec.msgpack.decode(done, type=dict[str, Result]) if done else {}
        for name, machine in self.machines.items():
            machine.load(states.get(name, b""))
        self.lacking = not states.keys() <= self.machines.keys()
        self.applied = index
