"""The agent's database: instances, claims, operations, steps, fencing tokens and events, in SQLite.

Each write is one synced transaction, committed before its effects are carried out. Values are stored as JSON
under a key. If the file can't be read or written, ``StoreError`` gives the reason and nothing has changed.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import immutables
import msgspec

from latchspoke.fleet.claims import Claim, Claims
from latchspoke.fleet.lifecycle import Instance
from latchspoke.fleet.wire import Event, OperationStatus, StepInfo

LAYOUT_VERSION = 1  # of the tables; any other is refused
LOCK_TIMEOUT_S = 0.25  # short, as waiting blocks the whole agent
EVENTS_MAX = 20_000
TABLES = """
CREATE TABLE IF NOT EXISTS instances (name TEXT PRIMARY KEY, body BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS claims (instance TEXT PRIMARY KEY, body BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS operations (
    id TEXT PRIMARY KEY, created REAL NOT NULL, body BLOB NOT NULL
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS steps (
    operation TEXT NOT NULL, instance TEXT NOT NULL, open INTEGER NOT NULL, body BLOB NOT NULL,
    base BLOB NOT NULL, PRIMARY KEY (operation, instance)
) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS open_steps ON steps (open) WHERE open;
CREATE TABLE IF NOT EXISTS fences (duty TEXT PRIMARY KEY, token INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS events (revision INTEGER PRIMARY KEY AUTOINCREMENT, body BLOB NOT NULL);
"""


class StoreError(Exception):
    """The store can't be used; the message is one line."""


@contextlib.contextmanager
def translate_errors() -> Iterator[None]:
    """Turn errors of SQLite and the decoder into StoreError."""
    try:
        yield
    except sqlite3.Error as e:
        raise StoreError(f"the store can't be used: {e}") from e
    except msgspec.MsgspecError as e:
        raise StoreError(f"the store holds what can't be read: {e}") from e


class Step(msgspec.Struct, frozen=True):
    """A step, and the state of its instance before the step."""

    info: StepInfo
    base: Instance


class Store:
    """One open database; not thread-safe."""

    def __init__(self, path: Path) -> None:
        with translate_errors():
            self.db = sqlite3.connect(path, timeout=LOCK_TIMEOUT_S, isolation_level=None)
            try:
                self.open_database()
            except sqlite3.Error:
                self.db.close()
                raise

    def open_database(self) -> None:
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")
        (layout,) = self.db.execute("PRAGMA user_version").fetchone()
        if layout not in (0, LAYOUT_VERSION):
            raise sqlite3.DatabaseError(f"its layout is {layout}, this program knows {LAYOUT_VERSION}")
        (sound,) = self.db.execute("PRAGMA quick_check(1)").fetchone()
        if sound != "ok":
            raise sqlite3.DatabaseError(sound)
        self.db.executescript(TABLES)
        self.db.execute(f"PRAGMA user_version = {LAYOUT_VERSION}")

    def close(self) -> None:
        self.db.close()

    @contextlib.contextmanager
    def transaction(self) -> Iterator[Writer]:
        """A synced transaction; rolled back if the block raises."""
        with translate_errors():
            self.db.execute("BEGIN IMMEDIATE")
            try:
                yield Writer(self.db)
                self.db.execute("COMMIT")
            except BaseException:
                with contextlib.suppress(sqlite3.Error):
                    self.db.execute("ROLLBACK")
                raise

    def rows(self, query: str, *values: Any) -> list[tuple[Any, ...]]:
        with translate_errors():
            return self.db.execute(query, values).fetchall()

    def instances(self) -> dict[str, Instance]:
        rows = self.rows("SELECT name, body FROM instances")
        with translate_errors():
            return {name: msgspec.json.decode(body, type=Instance) for name, body in rows}

    def claims(self) -> Claims:
        rows = self.rows("SELECT instance, body FROM claims")
        with translate_errors():
            return immutables.Map({name: msgspec.json.decode(body, type=Claim) for name, body in rows})

    def fences(self) -> dict[str, int]:
        """The newest fencing token seen, by duty."""
        return dict(self.rows("SELECT duty, token FROM fences"))

    def operation(self, ident: str) -> OperationStatus | None:
        rows = self.rows("SELECT body FROM operations WHERE id = ?", ident)
        with translate_errors():
            return msgspec.json.decode(rows[0][0], type=OperationStatus) if rows else None

    def operations(self, limit: int = 100) -> list[OperationStatus]:
        """The newest operations, newest first."""
        rows = self.rows("SELECT body FROM operations ORDER BY created DESC LIMIT ?", limit)
        with translate_errors():
            return [msgspec.json.decode(body, type=OperationStatus) for (body,) in rows]

    def steps(self, operation: str) -> list[Step]:
        return self.select_steps("operation = ?", operation)

    def step(self, operation: str, instance: str) -> Step | None:
        matching = self.select_steps("operation = ? AND instance = ?", operation, instance)
        return matching[0] if matching else None

    def open_steps(self) -> list[Step]:
        return self.select_steps("open")

    def select_steps(self, where: str, *values: Any) -> list[Step]:
        rows = self.rows(f"SELECT body, base FROM steps WHERE {where}", *values)
        with translate_errors():
            return [
                Step(msgspec.json.decode(body, type=StepInfo), msgspec.json.decode(base, type=Instance))
                for body, base in rows
            ]

    def events(self, after: int, limit: int) -> list[Event]:
        rows = self.rows(
            "SELECT revision, body FROM events WHERE revision > ? ORDER BY revision LIMIT ?", after, limit
        )
        with translate_errors():
            return [
                msgspec.structs.replace(msgspec.json.decode(body, type=Event), revision=revision)
                for revision, body in rows
            ]

    def revision(self) -> int:
        return int(self.rows("SELECT coalesce(max(revision), 0) FROM events")[0][0])


class Writer:
    """Writes within a transaction."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self.db = db

    def instance(self, instance: Instance) -> None:
        self.db.execute(
            "INSERT OR REPLACE INTO instances VALUES (?, ?)", (instance.name, msgspec.json.encode(instance))
        )

    def claims(self, old: Claims, new: Claims) -> None:
        """Write the claims that differ between the two."""
        for name, claim in new.items():
            if old.get(name) is not claim:
                self.db.execute(
                    "INSERT OR REPLACE INTO claims VALUES (?, ?)", (name, msgspec.json.encode(claim))
                )

    def fence(self, duty: str, token: int) -> None:
        self.db.execute("INSERT OR REPLACE INTO fences VALUES (?, ?)", (duty, token))

    def operation(self, operation: OperationStatus) -> None:
        plan = operation.plan
        self.db.execute(
            "INSERT OR REPLACE INTO operations VALUES (?, ?, ?)",
            (plan.id, plan.created, msgspec.json.encode(operation)),
        )

    def step(self, step: Step) -> None:
        info = step.info
        self.db.execute(
            "INSERT OR REPLACE INTO steps VALUES (?, ?, ?, ?, ?)",
            (
                info.operation, info.instance, info.state == "doing",
                msgspec.json.encode(info), msgspec.json.encode(step.base),
            ),
        )  # fmt: skip

    def event(self, event: Event) -> int:
        """Append an event and return its revision; from time to time delete events beyond ``EVENTS_MAX``."""
        cursor = self.db.execute("INSERT INTO events (body) VALUES (?)", (msgspec.json.encode(event),))
        revision = cursor.lastrowid or 0
        if revision % 1000 == 0:
            self.db.execute("DELETE FROM events WHERE revision <= ?", (revision - EVENTS_MAX,))
        return revision
