"""The store of a control-plane node: inspected without changing it, copied, and restored from a copy."""

from __future__ import annotations

import contextlib
import fcntl
import os
import shutil
import sqlite3
import tempfile
from collections.abc import Collection, Iterator
from pathlib import Path
from typing import Any

import msgspec

from latchspoke.agent.raft_store import LAYOUT, RaftStore, RaftStoreError
from latchspoke.configstore import copies
from latchspoke.configstore.config_state import ConfigState
from latchspoke.configstore.replica import DATABASE_FILE
from latchspoke.consensus.records import Entry, Kind, Snapshot, Stored

SQLITE_HEADER = b"SQLite format 3\0"
SQLITE_LOCK_RANGE = 0x40000002, 510  # byte range of SQLite's locks: start, length


class StoreError(Exception):
    """A store or copy can't be used; the message is one line."""


def is_store(path: Path) -> bool:
    """Whether the file is a node's store and not a copy. Raises StoreError."""
    try:
        with path.open("rb") as file:
            return file.read(len(SQLITE_HEADER)) == SQLITE_HEADER
    except OSError as e:
        raise StoreError(f"{path}: {e.strerror or e}") from None


@contextlib.contextmanager
def private_copy(path: Path) -> Iterator[Path]:
    """Copy the file and its write-ahead log to a temporary directory, so that opening them changes nothing.

    Raises StoreError if a running process holds the file: the copy could be inconsistent.
    """
    with contextlib.ExitStack() as stack:
        try:
            file = stack.enter_context(path.open("rb"))
            fcntl.lockf(file, fcntl.LOCK_SH | fcntl.LOCK_NB, SQLITE_LOCK_RANGE[1], SQLITE_LOCK_RANGE[0])
        except BlockingIOError:
            raise StoreError(
                f"{path} is in use by a running control-plane node; use `store copy HOST:PORT FILE`"
            ) from None
        except OSError as e:
            raise StoreError(f"{path}: {e.strerror or e}") from None
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        for source in (path, path.with_name(path.name + "-wal"), path.with_suffix(".start")):
            if source.exists():
                shutil.copyfile(source, directory / source.name)
        yield directory / path.name


def load_store(path: Path) -> Stored:
    """Load and verify the whole store of a node. Raises StoreError."""
    with private_copy(path) as copied:
        if not (copied.stat().st_size and copied.read_bytes()[: len(SQLITE_HEADER)] == SQLITE_HEADER):
            raise StoreError(f"{path} is not a store: not a SQLite file")
        try:
            database = sqlite3.connect(copied, isolation_level=None)
            with contextlib.closing(database):
                (layout,) = database.execute("PRAGMA user_version").fetchone()
                if layout != LAYOUT:
                    raise StoreError(f"{path}: its layout is {layout}, this program supports {LAYOUT}")
                problems = [row[0] for row in database.execute("PRAGMA integrity_check(5)")]
                if problems != ["ok"]:
                    raise StoreError(f"{path} is damaged: {'; '.join(problems)}")
                names = {
                    row[0] for row in database.execute("SELECT name FROM sqlite_master WHERE type = 'table'")
                }
                if not {"facts", "entries"} <= names:
                    raise StoreError(f"{path} is not a store: its tables are {', '.join(sorted(names))}")
            ledger = RaftStore(copied)
        except (sqlite3.Error, RaftStoreError) as e:
            raise StoreError(f"{path} can't be used: {str(e).replace(str(copied), path.name)}") from None
        with contextlib.closing(ledger):
            try:
                # Starting on the copy reads all records and compares them with the start file.
                return ledger.start("nobody", "nothing", False)
            except RaftStoreError as e:
                raise StoreError(f"{path} can't be used: {str(e).replace(str(copied), path.name)}") from None


def replay_entries(stored: Stored, last_index: int | None = None) -> tuple[ConfigState, int]:
    """The state after the log entries up to ``last_index`` (None: all), and the index reached."""
    from latchspoke.configuration import apply_patch

    state = ConfigState(apply_patch)  # type: ignore[arg-type]
    applied = stored.snapshot.index
    if stored.snapshot.body:
        state.load(stored.snapshot.body)
    for entry in stored.entries:
        if last_index is not None and entry.index > last_index:
            break
        apply_entry(state, entry)
        applied = entry.index
    return state, applied


def apply_entry(state: ConfigState, entry: Entry) -> None:
    """Apply a log entry to the state machine; only data entries change it."""
    if entry.kind is Kind.DATA:
        state.apply(entry.index, msgspec.json.decode(entry.body))


def describe(path: Path) -> dict[str, Any]:
    """A summary of a store or a copy, without keys or configuration. Raises StoreError."""
    if not is_store(path):
        copy = read_copy(path)
        return {
            "file": str(path), "kind": "copy", "layout": copy.layout, "taken_by": copy.taken_by,
            "applied": copy.applied, "version": f"{copy.orders.version:08x}", "index": copy.orders.index,
            "history": len(copy.orders.history),
            "evacuated": sorted(zone for zone, (_, out) in copy.orders.zones.items() if out),
        }  # fmt: skip
    stored = load_store(path)
    state, applied = replay_entries(stored)
    members = stored.snapshot.members
    return {
        "file": str(path), "kind": "store", "layout": LAYOUT, "bytes": total_bytes(path),
        "identity": stored.identity, "starts": stored.boot - 1, "term": stored.hard_state.term,
        "snapshot": stored.snapshot.index, "entries": len(stored.entries), "last": applied,
        "voters": list(members.voters), "learners": list(members.learners),
        "guests": list(members.non_voters),
        "version": f"{state.version:08x}", "index": state.index, "history": len(state.history),
        "evacuated": sorted(state.evacuated),
    }  # fmt: skip


def total_bytes(path: Path) -> int:
    """Size of the store with its write-ahead log."""
    wal = path.with_name(path.name + "-wal")
    return path.stat().st_size + (wal.stat().st_size if wal.exists() else 0)


def read_copy(path: Path) -> copies.Copy:
    """Read a copy. Raises StoreError."""
    try:
        return copies.read(path.read_bytes(), str(path))
    except OSError as e:
        raise StoreError(f"{path}: {e.strerror or e}") from None
    except copies.CopyError as e:
        raise StoreError(str(e)) from None


def export_copy(path: Path) -> bytes:
    """A copy of a stopped node's store. Raises StoreError.

    The copy includes entries that may not be committed: with the quorum lost that can't be determined, and an
    acknowledged entry must not be left out.
    """
    if not is_store(path):
        return copies.write(read_copy(path))
    stored = load_store(path)
    state, applied = replay_entries(stored)
    if not applied:
        raise StoreError(f"{path} has no applied entries")
    return copies.write(copies.make_copy(state, applied, stored.identity))


def write_private(path: Path, data: bytes) -> None:
    """Write a file atomically, readable by its owner only. Raises StoreError."""
    temporary = path.with_name(f".{path.name}.new")
    try:
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with open(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError as e:
        raise StoreError(f"{path}: {e.strerror or e}") from None


def restore(path: Path, home: Path, me: str, founders: Collection[str]) -> Snapshot:
    """Create the store of one founding node from a copy. Raises StoreError."""
    if me not in founders:
        raise StoreError(f"{me} is not among the founders")
    if is_store(path):
        raise StoreError(f"{path} is a node's store, not a copy: create a copy with `store copy`")
    beginning = copies.restore_from_copy(read_copy(path), founders)
    existing = sorted(entry.name for entry in home.glob("register.*")) if home.is_dir() else []
    if existing:
        raise StoreError(f"{home} contains {', '.join(existing)}: move it away first")
    try:
        home.mkdir(parents=True, exist_ok=True)
        ledger = RaftStore(home / DATABASE_FILE)
        with contextlib.closing(ledger):
            ledger.start(me, beginning.identity_suffix, True, beginning.snapshot)
    except (OSError, RaftStoreError) as e:
        raise StoreError(str(e)) from None
    return beginning.snapshot
