"""The durable state of a member of the replicated log: an SQLite file, synced before any message is sent.

A start file beside the database records the number of the last start and is written after the database. A
database that records fewer starts is an older copy that was restored, and is refused, as is a damaged one.
A start that is cut short between the two writes leaves the database ahead, by one more start each time; the
next complete start brings the file up to date.
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
LOCK_TIMEOUT_S = 5.0  # that an open waits for another process
DAMAGE_CODES = frozenset((sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB))
TABLES = """
CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, body BLOB NOT NULL, crc INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS entries (place INTEGER PRIMARY KEY, body BLOB NOT NULL, crc INTEGER NOT NULL);
"""


class RaftStoreError(Exception):
    """The store can't be used, or a write failed; the message is one line."""


class DamagedStoreError(RaftStoreError):
    """The store is damaged, incomplete or an older copy, so that its member may have forgotten votes."""


class StartRecord(msgspec.Struct, frozen=True):
    """The member that this store belongs to, and the number of its starts."""

    identity: str
    boot: int


@contextlib.contextmanager
def translate_errors(path: Path) -> Iterator[None]:
    try:
        yield
    except sqlite3.Error as e:
        # The lower byte is the primary result code; the others tell details.
        if getattr(e, "sqlite_errorcode", 0) & 0xFF in DAMAGE_CODES:
            raise DamagedStoreError(f"{path} is damaged: {e}") from None
        raise RaftStoreError(f"{path} can't be used: {e}") from None
    except OSError as e:
        raise RaftStoreError(f"{path} can't be used: {e}") from None
    except msgspec.MsgspecError as e:
        raise DamagedStoreError(f"{path} holds what can't be read: {e}") from None


class RaftStore:
    """One open database. Calls may come from any thread, one at a time."""

    def __init__(self, path: Path, exclusive: bool = False, lock_timeout_s: float = LOCK_TIMEOUT_S) -> None:
        """``exclusive``: no other process opens the file, so SQLite needs no shared memory."""
        self.path, self.start_file, self.exclusive = path, path.with_suffix(".start"), exclusive
        with translate_errors(path):
            self.db = sqlite3.connect(
                path, timeout=lock_timeout_s, isolation_level=None, check_same_thread=False
            )
            try:
                self.open_database()
            except BaseException:
                self.db.close()
                raise

    def open_database(self) -> None:
        if self.exclusive:
            for pragma in ("locking_mode = EXCLUSIVE", "mmap_size = 0", "temp_store = MEMORY"):
                self.db.execute(f"PRAGMA {pragma}")
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")
        (layout,) = self.db.execute("PRAGMA user_version").fetchone()
        if layout not in (0, LAYOUT):
            raise RaftStoreError(f"{self.path}: its layout is {layout}, this program knows {LAYOUT}")
        (result,) = self.db.execute("PRAGMA quick_check(1)").fetchone()
        if result != "ok":
            raise DamagedStoreError(f"{self.path} is damaged: {result}")
        names = {row[0] for row in self.db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
        if names - {"facts", "entries"}:
            raise RaftStoreError(
                f"{self.path} is not a Raft store: its tables are {', '.join(sorted(names))}"
            )
        self.db.executescript(TABLES)
        self.db.execute(f"PRAGMA user_version = {LAYOUT}")

    def close(self) -> None:
        self.db.close()

    def start(self, name: str, suffix: str, founder: bool, first: Snapshot | None = None) -> Stored:
        """Count a start and return the stored state.

        A new store gets the identity ``name#suffix``. If it is a founder's, it begins with the snapshot
        ``first``, or with itself as the only voter. Raises RaftStoreError.
        """
        with translate_errors(self.path):
            body = self.read_fact("start")
            stored = (
                msgspec.msgpack.decode(body, type=StartRecord) if body else StartRecord(f"{name}#{suffix}", 0)
            )
            recorded = (
                msgspec.json.decode(self.start_file.read_bytes(), type=StartRecord)
                if self.start_file.exists()
                else None
            )
            if recorded is not None:
                self.check_start(stored, recorded)
            started = StartRecord(stored.identity, stored.boot + 1)
            with self.transaction():
                self.write_fact("start", started)
                if not stored.boot and founder:
                    self.write_fact("snapshot", first or Snapshot(members=Members((started.identity,))))
            self.write_start_file(started)
            return self.read_state(started)

    def check_start(self, stored: StartRecord, recorded: StartRecord) -> None:
        """Raise DamagedStoreError for an older copy: the start file is never ahead of its database."""
        if stored.identity != recorded.identity or stored.boot < recorded.boot:
            raise DamagedStoreError(
                f"{self.path} is of start {stored.boot} of {stored.identity}, but {self.start_file.name}"
                f" records start {recorded.boot} of {recorded.identity}: an older copy; remove this member"
                " and add it again as a new one"
            )

    def write_start_file(self, start: StartRecord) -> None:
        temporary = self.start_file.with_suffix(".new")
        with open(temporary, "wb") as file:
            file.write(msgspec.json.encode(start))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.start_file)
        folder = os.open(self.start_file.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def read_state(self, start: StartRecord) -> Stored:
        hard_state, snapshot = self.read_fact("vow"), self.read_fact("snapshot")
        entries: list[Entry] = []
        for place, body, crc in self.db.execute("SELECT place, body, crc FROM entries ORDER BY place"):
            entry: Entry = msgspec.msgpack.decode(self.check_crc(body, crc, f"entry {place}"), type=Entry)
            if entries and entry.index != entries[-1].index + 1:
                raise DamagedStoreError(f"{self.path}: entry {entries[-1].index + 1} is missing")
            entries.append(entry)
        loaded_snapshot = msgspec.msgpack.decode(snapshot, type=Snapshot) if snapshot else Snapshot()
        if entries and entries[0].index != loaded_snapshot.index + 1:
            raise DamagedStoreError(f"{self.path}: entry {loaded_snapshot.index + 1} is missing")
        loaded_hard_state = msgspec.msgpack.decode(hard_state, type=HardState) if hard_state else HardState()
        return Stored(start.identity, start.boot, loaded_hard_state, loaded_snapshot, tuple(entries))

    def save(self, output: Output) -> None:
        """Write and sync the output in one transaction. Raises RaftStoreError."""
        with translate_errors(self.path), self.transaction():
            if output.hard_state is not None:
                self.write_fact("vow", output.hard_state)
            if output.snapshot is not None:
                self.store_snapshot(output.snapshot)
            if output.first_index:
                self.db.execute("DELETE FROM entries WHERE place >= ?", (output.first_index,))
                rows = ((e.index, b := msgspec.msgpack.encode(e), zlib.crc32(b)) for e in output.entries)
                self.db.executemany("INSERT INTO entries VALUES (?, ?, ?)", rows)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries that the snapshot covers. Raises RaftStoreError."""
        with translate_errors(self.path), self.transaction():
            self.store_snapshot(snapshot)

    # Transactions and single records.

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

    def store_snapshot(self, snapshot: Snapshot) -> None:
        self.write_fact("snapshot", snapshot)
        self.db.execute("DELETE FROM entries WHERE place <= ?", (snapshot.index,))

    def write_fact(self, name: str, value: StartRecord | HardState | Snapshot) -> None:
        body = msgspec.msgpack.encode(value)
        self.db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?, ?)", (name, body, zlib.crc32(body)))

    def read_fact(self, name: str) -> bytes:
        row = self.db.execute("SELECT body, crc FROM facts WHERE name = ?", (name,)).fetchone()
        return self.check_crc(row[0], row[1], name) if row else b""

    def check_crc(self, body: bytes, crc: int, what: str) -> bytes:
        if zlib.crc32(body) != crc:
            raise DamagedStoreError(f"{self.path}: {what} is damaged")
        return body
