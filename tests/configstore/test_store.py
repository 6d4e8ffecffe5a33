"""The store on disk: years of changes in bounded room, and a file that is not its own is never guessed at."""

from __future__ import annotations

import random
import shutil
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from latchspoke.agent.ledger import LAYOUT, Ledger, LedgerError
from latchspoke.configstore.config_state import ConfigState, Verdict
from latchspoke.configstore.simulation import merge_patch, modify_command, replace_command
from latchspoke.configstore.store_node import StoreNode, founding_snapshot
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Entry, HardState, Kind, Stored

ME = "10.0.0.1:7600"
CHANGES = 6000
MOST = 256 * 1024 * 1024  # bytes, of the disk


def opened(folder: Path) -> tuple[Ledger, Stored]:
    made = Ledger(folder / "register.db", alone=True)
    try:
        return made, made.start(ME, "first", True, founding_snapshot([ME], ConfigState(merge_patch)))
    except LedgerError:
        made.close()
        raise


def size(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def test_many_thousands_of_changes_stay_in_bounded_room(tmp_path: Path) -> None:
    """Documents of 20 kB, evacuations between them, starts again: 100 MB of orders in all."""
    kept, stored = opened(tmp_path)
    kept.db.execute("PRAGMA synchronous = OFF")  # room is looked at here, not power
    draw, now, most, version = random.Random(1), 0.0, 0, 0
    node = StoreNode(stored, [ME], merge_patch, draw, now)
    for number in range(CHANGES):
        if number % 1500 == 1499:
            kept.close()
            kept, stored = opened(tmp_path)
            kept.db.execute("PRAGMA synchronous = OFF")
            node = StoreNode(stored, [ME], merge_patch, draw, now)
        command: dict[str, Any] = {"do": ("evacuate", "restore")[number // 5 % 2], "zone": "a"}
        if number % 5:
            make = replace_command if number % 3 else modify_command
            command = make(version + 1, version)
            command["doc" if "doc" in command else "patch"]["text"] = f"{draw.getrandbits(80000):020000x}"
        asked = 0
        for _ in range(400):
            now += 0.05
            node.tick(now)
            if node.is_leader and node.member.committed_in_term and not asked:
                asked = node.submit(command, 2.0, now)
            while (output := node.take_output()) is not None:
                if output.must_store:
                    kept.save(output)
                node.on_stored(output, now)
                if (snapshot := node.compact_if_due()) is not None:
                    kept.compact(snapshot)
            node.outbox.clear()
            answers = [answer for ident, answer in node.answers if ident == asked]
            node.answers.clear()
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
    "foreign": (foreign, "is no ledger: its tables are trains"),
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
    made.save(Output(hard_state=HardState(1, ME), first_index=2, entries=entries))
    made.close()
    shutil.copyfile(path, path.with_suffix(".older"))
    for _ in range(2):
        begun(folder)
    HARMS[harm][0](path)


@pytest.mark.parametrize("harm", HARMS)
def test_a_harmed_or_foreign_file_is_refused_in_one_line(harm: str, tmp_path: Path) -> None:
    harmed(tmp_path, harm)
    for _ in range(2):
        with pytest.raises(LedgerError, match=HARMS[harm][1]) as caught:
            begun(tmp_path)
        assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("harm", "guard", "without"),
    [
        ("a bit", "sound", lambda self, body, crc, what: body),
        ("older", "compare", lambda self, old, noted: None),
    ],
)
def test_without_its_guard_a_harmed_file_is_taken(
    harm: str, guard: str, without: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What the tests above find is what these guards keep out."""
    monkeypatch.setattr(Ledger, guard, without)
    harmed(tmp_path, harm)
    assert begun(tmp_path).entries
