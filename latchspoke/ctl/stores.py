"""The store of a control machine: looked at without changing it, copied, and begun anew from a copy."""

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
from latchspoke.configstore.orders import Orders
from latchspoke.configstore.replica import FILE
from latchspoke.consensus.records import Entry, Kind, Snapshot, Stored

SQLITE = b"SQLite format 3\0"
LOCKED = 0x40000002, 510  # the bytes on which SQLite holds its locks: start, length


class StoreError(Exception):
    """The file can't be used; one line says why."""


def is_store(path: Path) -> bool:
    """Whether it is a member's own file, not a copy. Raises StoreError."""
    try:
        with path.open("rb") as file:
            return file.read(len(SQLITE)) == SQLITE
    except OSError as e:
        raise StoreError(f"{path}: {e.strerror or e}") from None


@contextlib.contextmanager
def apart(path: Path) -> Iterator[Path]:
    """The file and its log in a folder of their own, where opening them changes nothing. StoreError.

    A process that runs holds the file for itself, and writes to it: what was read then could be torn.
    """
    with contextlib.ExitStack() as stack:
        try:
            file = stack.enter_context(path.open("rb"))
            fcntl.lockf(file, fcntl.LOCK_SH | fcntl.LOCK_NB, LOCKED[1], LOCKED[0])
        except BlockingIOError:
            raise StoreError(
                f"{path} is in use: a control machine runs on it; copy by `store copy HOST:PORT FILE`"
            ) from None
        except OSError as e:
            raise StoreError(f"{path}: {e.strerror or e}") from None
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        for each in (path, path.with_name(path.name + "-wal"), path.with_suffix(".start")):
            if each.exists():
                shutil.copyfile(each, folder / each.name)
        yield folder / path.name


def load(path: Path) -> Stored:
    """All that a member's file holds, after a check of all of it. Raises StoreError."""
    with apart(path) as copied:
        if not (copied.stat().st_size and copied.read_bytes()[: len(SQLITE)] == SQLITE):
            raise StoreError(f"{path} is no register: not a SQLite file")
        try:
            db = sqlite3.connect(copied, isolation_level=None)
            with contextlib.closing(db):
                (layout,) = db.execute("PRAGMA user_version").fetchone()
                if layout != LAYOUT:
                    raise StoreError(f"{path}: its layout is {layout}, this program knows {LAYOUT}")
                faults = [row[0] for row in db.execute("PRAGMA integrity_check(5)")]
                if faults != ["ok"]:
                    raise StoreError(f"{path} is damaged: {'; '.join(faults)}")
                names = {row[0] for row in db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
                if not {"facts", "entries"} <= names:
                    raise StoreError(f"{path} is no register: its tables are {', '.join(sorted(names))}")
            ledger = RaftStore(copied)
        except (sqlite3.Error, RaftStoreError) as e:
            raise StoreError(f"{path} can't be used: {str(e).replace(str(copied), path.name)}") from None
        with contextlib.closing(ledger):
            try:
                # A start on the copy reads all, and compares with the note beside it.
                return ledger.start("nobody", "nothing", False)
            except RaftStoreError as e:
                raise StoreError(f"{path} can't be used: {str(e).replace(str(copied), path.name)}") from None


def orders_in(stored: Stored, upto: int | None = None) -> tuple[Orders, int]:
    """What the entries make of the snapshot, up to a place (all, if None), and the place."""
    from latchspoke.configuration import apply_patch

    orders = Orders(apply_patch)  # type: ignore[arg-type]
    applied = stored.snapshot.index
    if stored.snapshot.body:
        orders.load(stored.snapshot.body)
    for entry in stored.entries:
        if upto is not None and entry.index > upto:
            break
        carry_out(orders, entry)
        applied = entry.index
    return orders, applied


def carry_out(orders: Orders, entry: Entry) -> None:
    if entry.kind is Kind.DATA:
        orders.apply(entry.index, msgspec.json.decode(entry.body))


def look(path: Path) -> dict[str, Any]:
    """What a store or a copy holds, in figures; no key and no configuration. Raises StoreError."""
    if not is_store(path):
        copy = read_copy(path)
        return {
            "file": str(path), "kind": "copy", "layout": copy.layout, "taken_by": copy.taken_by,
            "applied": copy.applied, "version": f"{copy.orders.version:08x}", "index": copy.orders.index,
            "history": len(copy.orders.history),
            "evacuated": sorted(zone for zone, (_, out) in copy.orders.zones.items() if out),
        }  # fmt: skip
    stored = load(path)
    orders, applied = orders_in(stored)
    members = stored.snapshot.members
    return {
        "file": str(path), "kind": "store", "layout": LAYOUT, "bytes": size(path),
        "identity": stored.identity, "starts": stored.boot - 1, "term": stored.hard_state.term,
        "snapshot": stored.snapshot.index, "entries": len(stored.entries), "last": applied,
        "voters": list(members.voters), "learners": list(members.learners), "guests": list(members.guests),
        "version": f"{orders.version:08x}", "index": orders.index, "history": len(orders.history),
        "evacuated": sorted(orders.evacuated),
    }  # fmt: skip


def size(path: Path) -> int:
    wal = path.with_name(path.name + "-wal")
    return path.stat().st_size + (wal.stat().st_size if wal.exists() else 0)


def read_copy(path: Path) -> copies.Copy:
    """Raises StoreError."""
    try:
        return copies.read(path.read_bytes(), str(path))
    except OSError as e:
        raise StoreError(f"{path}: {e.strerror or e}") from None
    except copies.CopyError as e:
        raise StoreError(str(e)) from None


def copy_of(path: Path) -> bytes:
    """A copy of a stopped member's store. Raises StoreError.

    Its last entries may never have been committed; with the majority lost, nobody can tell any more, and an
    acknowledged one must not be left out, so all of them are in it.
    """
    if not is_store(path):
        return copies.write(read_copy(path))
    stored = load(path)
    orders, applied = orders_in(stored)
    if not applied:
        raise StoreError(f"{path} holds no operator's word")
    return copies.write(copies.take(orders, applied, stored.identity))


def keep(path: Path, data: bytes) -> None:
    """Write a copy that only its owner may read, whole or not at all. Raises StoreError."""
    new = path.with_name(f".{path.name}.new")
    try:
        descriptor = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with open(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, path)
    except OSError as e:
        raise StoreError(f"{path}: {e.strerror or e}") from None


def restore(path: Path, home: Path, me: str, founders: Collection[str]) -> Snapshot:
    """Make the disk of one founder of a system that begins anew from a copy. Raises StoreError."""
    if me not in founders:
        raise StoreError(f"{me} is not among the founders")
    if is_store(path):
        raise StoreError(f"{path} is a member's own store, not a copy: take one by `store copy`")
    beginning = copies.begin_anew(read_copy(path), founders)
    there = sorted(found.name for found in home.glob("register.*")) if home.is_dir() else []
    if there:
        raise StoreError(f"{home} holds {', '.join(there)}: move it away first")
    try:
        home.mkdir(parents=True, exist_ok=True)
        ledger = RaftStore(home / FILE)
        with contextlib.closing(ledger):
            ledger.start(me, beginning.draw, True, beginning.snapshot)
    except (OSError, RaftStoreError) as e:
        raise StoreError(str(e)) from None
    return beginning.snapshot
