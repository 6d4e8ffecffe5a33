"""The store on disk: years of changes in bounded room, and a file that is not its own is never guessed at."""

from __future__ import annotations

import random
import shutil
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from latchspoke.agent.raft_store import LAYOUT, RaftStore, RaftStoreError
from latchspoke.configstore.orders import Orders, Verdict
from latchspoke.configstore.register import Register, founding
from latchspoke.configstore.simulation import modify, patch, replace
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Entry, HardState, Kind, Stored

ME = "10.0.0.1:7600"
CHANGES = 6000
MOST = 256 * 1024 * 1024  # bytes, of the disk


def opened(folder: Path) -> tuple[RaftStore, Stored]:
    made = RaftStore(folder / "register.db", exclusive=True)
    try:
        return made, made.start(ME, "first", True, founding([ME], Orders(patch)))
    except RaftStoreError:
        made.close()
        raise


def size(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def test_many_thousands_of_changes_stay_in_bounded_room(tmp_path: Path) -> None:
    """Documents of 20 kB, evacuations between them, starts again: 100 MB of orders in all."""
    kept, stored = opened(tmp_path)
    kept.db.execute("PRAGMA synchronous = OFF")  # room is looked at here, not power
    draw, now, most, version = random.Random(1), 0.0, 0, 0
    register = Register(stored, [ME], patch, draw, now)
    for number in range(CHANGES):
        if number % 1500 == 1499:
            kept.close()
            kept, stored = opened(tmp_path)
            kept.db.execute("PRAGMA synchronous = OFF")
            register = Register(stored, [ME], patch, draw, now)
        command: dict[str, Any] = {"do": ("evacuate", "restore")[number // 5 % 2], "zone": "a"}
        if number % 5:
            make = replace if number % 3 else modify
            command = make(version + 1, version)
            command["doc" if "doc" in command else "patch"]["text"] = f"{draw.getrandbits(80000):020000x}"
        asked = 0
        for _ in range(400):
            now += 0.05
            register.tick(now)
            if register.leads and register.member.settled and not asked:
                asked = register.submit(command, 2.0, now)
            while (output := register.take()) is not None:
                if output.to_store:
                    kept.save(output)
                register.stored(output, now)
                if (snapshot := register.compacted()) is not None:
                    kept.compact(snapshot)
            register.outbox.clear()
            answers = [answer for ident, answer in register.answers if ident == asked]
            register.answers.clear()
            if answers:
                break
        (verdict,) = answers
        assert isinstance(verdict, Verdict) and verdict.ok, verdict
        version = verdict.version
        most = max(most, size(tmp_path)) if number % 50 == 0 else most
    assert version == CHANGES - CHANGES // 5
    print(f"most {most / 1e6:.1f} MB")
    assert most < MOST / 16
    kept.close()


def layout(path: Path, number: int) -> None:
    db = sqlite3.connect(path)
    db.execute(f"PRAGMA user_version = {number}")
    db.close()


def foreign(path: Path) -> None:
    path.unlink()
    db = sqlite3.connect(path)
    db.execute("CREATE TABLE trains (name TEXT)")
    db.commit()
    db.close()


def spoilt(path: Path) -> None:
    """One bit of a value: SQLite's own check can't see it."""
    data = bytearray(path.read_bytes())
    data[data.index(b"precious")] ^= 1
    path.write_bytes(data)


def cut_short(path: Path) -> None:
    path.write_bytes(path.read_bytes()[:-4096])


def one_missing(path: Path) -> None:
    db = sqlite3.connect(path)
    db.execute("DELETE FROM entries WHERE place = 2")
    db.commit()
    db.close()


def older(path: Path) -> None:
    shutil.copyfile(path.with_suffix(".older"), path)


HARMS: dict[str, tuple[Callable[[Path], object], str]] = {
    "foreign": (foreign, "is not a Raft store: its tables are trains"),
    "newer layout": (lambda path: layout(path, LAYOUT + 1), f"its layout is {LAYOUT + 1}"),
    "a bit": (spoilt, "is damaged"),
    "cut short": (cut_short, "damaged|malformed"),
    "no database": (lambda path: path.write_bytes(b"x" * 9000), "not a database"),
    "an entry gone": (one_missing, "entry 2 is missing"),
    "older": (older, "an older copy"),
}


def begun(folder: Path) -> Stored:
    made, stored = opened(folder)
    made.close()
    return stored


def harmed(folder: Path, harm: str) -> None:
    """A store with three entries, two starts, then the harm."""
    path = folder / "register.db"
    made, _ = opened(folder)
    entries = tuple(Entry(n, 1, Kind.DATA, b"precious" * 200) for n in (2, 3, 4))
    made.save(Output(hard_state=HardState(1, ME), first=2, entries=entries))
    made.close()
    shutil.copyfile(path, path.with_suffix(".older"))
    for _ in range(2):
        begun(folder)
    HARMS[harm][0](path)


@pytest.mark.parametrize("harm", HARMS)
def test_a_harmed_or_foreign_file_is_refused_in_one_line(harm: str, tmp_path: Path) -> None:
    harmed(tmp_path, harm)
    for _ in range(2):
        with pytest.raises(RaftStoreError, match=HARMS[harm][1]) as caught:
            begun(tmp_path)
        assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("harm", "guard", "without"),
    [
        ("a bit", "check_crc", lambda self, body, crc, what: body),
        ("older", "check_start", lambda self, old, noted: None),
    ],
)
def test_without_its_guard_a_harmed_file_is_taken(
    harm: str, guard: str, without: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What the tests above find is what these guards keep out."""
    monkeypatch.setattr(RaftStore, guard, without)
    harmed(tmp_path, harm)
    assert begun(tmp_path).entries
