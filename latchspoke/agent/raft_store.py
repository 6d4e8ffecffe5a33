"""What a member of the replicated log may never forget: its own SQLite file, synced before anything is said.

Beside the file stands a short note of the last start, written after it. A file that knows of fewer starts
than the note is an older copy put back, and is refused; so is one with damage. Nothing is guessed.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import zlib
from collections.abc import Iterator
from pathlib import Path

import msgspec

from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Entry, HardState, Members, Snapshot, Stored

LAYOUT = 1
TABLES = """
CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, body BLOB NOT NULL, crc INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS entries (place INTEGER PRIMARY KEY, body BLOB NOT NULL, crc INTEGER NOT NULL);
"""


class RaftStoreError(Exception):
    """The ledger can't be used, or not now; one line says why."""


class StartRecord(msgspec.Struct, frozen=True):
    """Who this store belongs to, and how often it was started."""

    identity: str
    boot: int


@contextlib.contextmanager
def told(path: Path) -> Iterator[None]:
    try:
        yield
    except (sqlite3.Error, OSError) as e:
        raise RaftStoreError(f"{path} can't be used: {e}") from None
    except msgspec.MsgspecError as e:
        raise RaftStoreError(f"{path} holds what can't be read: {e}") from None


class RaftStore:
    """One open file. Its calls may come from any thread, one at a time."""

    def __init__(self, path: Path, exclusive: bool = False) -> None:
        """``alone``: no other process opens the file, so no memory is shared by way of a mapped one."""
        self.path, self.note, self.exclusive = path, path.with_suffix(".start"), exclusive
        with told(path):
            self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
            try:
                self.prepare()
            except BaseException:
                self.db.close()
                raise

    def prepare(self) -> None:
        if self.exclusive:
            for pragma in ("locking_mode = EXCLUSIVE", "mmap_size = 0", "temp_store = MEMORY"):
                self.db.execute(f"PRAGMA {pragma}")
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")
        (layout,) = self.db.execute("PRAGMA user_version").fetchone()
        if layout not in (0, LAYOUT):
            raise RaftStoreError(f"{self.path}: its layout is {layout}, this program knows {LAYOUT}")
        (sound,) = self.db.execute("PRAGMA quick_check(1)").fetchone()
        if sound != "ok":
            raise RaftStoreError(f"{self.path} is damaged: {sound}")
        names = {row[0] for row in self.db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
        if names - {"facts", "entries"}:
            raise RaftStoreError(f"{self.path} is no ledger: its tables are {', '.join(sorted(names))}")
        self.db.executescript(TABLES)
        self.db.execute(f"PRAGMA user_version = {LAYOUT}")

    def close(self) -> None:
        self.db.close()

    def start(self, name: str, draw: str, founder: bool, first: Snapshot | None = None) -> Stored:
        """Count a start and give all there is; a new store gets its identity, and a founder's ``first``.

        Without ``first`` a founder votes alone. Raises RaftStoreError.
        """
        with told(self.path):
            body = self.fact("start")
            old = msgspec.msgpack.decode(body, type=StartRecord) if body else StartRecord(f"{name}#{draw}", 0)
            noted = (
                msgspec.json.decode(self.note.read_bytes(), type=StartRecord) if self.note.exists() else None
            )
            if noted is not None:
                self.compare(old, noted)
            new = StartRecord(old.identity, old.boot + 1)
            with self.transaction():
                self.put("start", new)
                if not old.boot and founder:
                    self.put("snapshot", first or Snapshot(members=Members((new.identity,))))
            self.write_note(new)
            return self.read(new)

    def compare(self, old: StartRecord, noted: StartRecord) -> None:
        """The note is written after the file: behind by a start that was cut short, and never ahead."""
        if old.identity != noted.identity or old.boot not in (noted.boot, noted.boot + 1):
            raise RaftStoreError(
                f"{self.path} is of start {old.boot} of {old.identity}, but {self.note.name} tells of start"
                f" {noted.boot} of {noted.identity}: an older copy; take this member out and in as a new one"
            )

    def write_note(self, start: StartRecord) -> None:
        new = self.note.with_suffix(".new")
        with open(new, "wb") as file:
            file.write(msgspec.json.encode(start))
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, self.note)
        folder = os.open(self.note.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def read(self, start: StartRecord) -> Stored:
        hard_state, snapshot = self.fact("vow"), self.fact("snapshot")
        entries: list[Entry] = []
        for place, body, crc in self.db.execute("SELECT place, body, crc FROM entries ORDER BY place"):
            entry: Entry = msgspec.msgpack.decode(self.sound(body, crc, f"entry {place}"), type=Entry)
            if entries and entry.index != entries[-1].index + 1:
                raise RaftStoreError(f"{self.path}: entry {entries[-1].index + 1} is missing")
            entries.append(entry)
        found = msgspec.msgpack.decode(snapshot, type=Snapshot) if snapshot else Snapshot()
        if entries and entries[0].index != found.index + 1:
            raise RaftStoreError(f"{self.path}: entry {found.index + 1} is missing")
        kept = msgspec.msgpack.decode(hard_state, type=HardState) if hard_state else HardState()
        return Stored(start.identity, start.boot, kept, found, tuple(entries))

    def save(self, output: Output) -> None:
        """All of it is on the disk when this ends well, and none of it otherwise. Raises RaftStoreError."""
        with told(self.path), self.transaction():
            if output.hard_state is not None:
                self.put("vow", output.hard_state)
            if output.snapshot is not None:
                self.replace(output.snapshot)
            if output.first:
                self.db.execute("DELETE FROM entries WHERE place >= ?", (output.first,))
                rows = ((e.index, b := msgspec.msgpack.encode(e), zlib.crc32(b)) for e in output.entries)
                self.db.executemany("INSERT INTO entries VALUES (?, ?, ?)", rows)

    def compact(self, snapshot: Snapshot) -> None:
        """Raises RaftStoreError."""
        with told(self.path), self.transaction():
            self.replace(snapshot)

    # Parts.

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        self.db.execute("BEGIN IMMEDIATE")
        try:
            yield
            self.db.execute("COMMIT")
        except BaseException:
            with contextlib.suppress(sqlite3.Error):
                self.db.execute("ROLLBACK")
            raise

    def replace(self, snapshot: Snapshot) -> None:
        self.put("snapshot", snapshot)
        self.db.execute("DELETE FROM entries WHERE place <= ?", (snapshot.index,))

    def put(self, name: str, value: StartRecord | HardState | Snapshot) -> None:
        body = msgspec.msgpack.encode(value)
        self.db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?, ?)", (name, body, zlib.crc32(body)))

    def fact(self, name: str) -> bytes:
        row = self.db.execute("SELECT body, crc FROM facts WHERE name = ?", (name,)).fetchone()
        return self.sound(row[0], row[1], name) if row else b""

    def sound(self, body: bytes, crc: int, what: str) -> bytes:
        if zlib.crc32(body) != crc:
            raise RaftStoreError(f"{self.path}: {what} is damaged")
        return body
