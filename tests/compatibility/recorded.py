"""Bytes that the build of commit b0f48b8 wrote, before the names in the code were changed.

They were recorded once, with scripts that imported that build and took all times, addresses and random seeds
as fixed values. ``*.jsonl`` holds one message a line, as text or in hexadecimal; the folders hold files as
the program left them. They must not be recorded anew from a later build: they stand for disks and neighbours
that have not been upgraded.
"""

from __future__ import annotations

import json
import shutil
import sqlite3
from pathlib import Path
from typing import Any

import msgspec

FOLDER = Path(__file__).parent / "recorded"


def recorded_texts(name: str) -> list[tuple[str, str]]:
    """Labels and JSON texts, in the order in which they were written."""
    rows = [json.loads(line) for line in (FOLDER / f"{name}.jsonl").read_text().splitlines()]
    return [(row["name"], row["text"]) for row in rows]


def recorded_bytes(name: str) -> list[tuple[str, bytes]]:
    rows = [json.loads(line) for line in (FOLDER / f"{name}.jsonl").read_text().splitlines()]
    return [(row["name"], bytes.fromhex(row["hex"])) for row in rows]


def copy_of(name: str, target: Path) -> Path:
    """A copy of a recorded folder that the program may write to."""
    return Path(shutil.copytree(FOLDER / name, target / f"recorded-{name}"))


def json_text(message: object) -> str:
    return msgspec.json.encode(message).decode()


def table_rows(database: Path, table: str) -> list[tuple[Any, ...]]:
    connection = sqlite3.connect(database)
    try:
        return connection.execute(f"SELECT * FROM {table} ORDER BY 1").fetchall()
    finally:
        connection.close()
