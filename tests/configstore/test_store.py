"""The store on disk: bounded space over many changes, and detection of damaged or foreign files."""

from __future__ import annotations

import errno
import random
import shutil
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from latchspoke.agent.raft_store import LAYOUT, RaftStore, RaftStoreError
from latchspoke.configstore.config_state import ConfigState, Verdict
from latchspoke.configstore.simulation import merge_patch, modify_command, replace_command
from latchspoke.configstore.store_node import StoreNode, founding_snapshot
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import Entry, HardState, Kind, Stored

ME = "10.0.0.1:7600"
CHANGES = 6000
DISK_BYTES = 256 * 1024 * 1024  # size of the disk


def open_ledger(folder: Path) -> tuple[RaftStore, Stored]:
    ledger = RaftStore(folder / "register.db", exclusive=True)
    try:
        return ledger, ledger.start(ME, "first", True, founding_snapshot([ME], ConfigState(merge_patch)))
    except BaseException:
        ledger.close()
        raise


def disk_usage(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def test_thousands_of_changes_need_bounded_disk_space(tmp_path: Path) -> None:
    """Documents of 20 kB, evacuations and restarts: 100 MB of commands in total."""
    ledger, stored = open_ledger(tmp_path)
    ledger.db.execute("PRAGMA synchronous = OFF")  # this test measures space, not durability
    draw, now, peak, version = random.Random(1), 0.0, 0, 0
    node = StoreNode(stored, [ME], merge_patch, draw, now)
    for number in range(CHANGES):
        if number % 1500 == 1499:
            ledger.close()
            ledger, stored = open_ledger(tmp_path)
            ledger.db.execute("PRAGMA synchronous = OFF")
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
                    ledger.save(output)
                node.on_stored(output, now)
                if (snapshot := node.compact_if_due()) is not None:
                    ledger.compact(snapshot)
            node.outbox.clear()
            answers = [answer for ident, answer in node.answers if ident == asked]
            node.answers.clear()
            if answers:
                break
        (verdict,) = answers
        assert isinstance(verdict, Verdict) and verdict.ok, verdict
        version = verdict.version
        peak = max(peak, disk_usage(tmp_path)) if number % 50 == 0 else peak
    assert version == CHANGES - CHANGES // 5
    print(f"peak {peak / 1e6:.1f} MB")
    assert peak < DISK_BYTES / 16
    ledger.close()


def set_layout(path: Path, number: int) -> None:
    db = sqlite3.connect(path)
    db.execute(f"PRAGMA user_version = {number}")
    db.close()


def make_foreign(path: Path) -> None:
    path.unlink()
    db = sqlite3.connect(path)
    db.execute("CREATE TABLE trains (name TEXT)")
    db.commit()
    db.close()


def flip_bit(path: Path) -> None:
    """Flips a bit of a value, which SQLite's own check does not detect."""
    data = bytearray(path.read_bytes())
    data[data.index(b"precious")] ^= 1
    path.write_bytes(data)


def truncate(path: Path) -> None:
    path.write_bytes(path.read_bytes()[:-4096])


def delete_entry(path: Path) -> None:
    db = sqlite3.connect(path)
    db.execute("DELETE FROM entries WHERE place = 2")
    db.commit()
    db.close()


def restore_older(path: Path) -> None:
    shutil.copyfile(path.with_suffix(".older"), path)


DAMAGES: dict[str, tuple[Callable[[Path], object], str]] = {
    "foreign": (make_foreign, "is not a Raft store: its tables are trains"),
    "newer layout": (lambda path: set_layout(path, LAYOUT + 1), f"its layout is {LAYOUT + 1}"),
    "a bit": (flip_bit, "is damaged"),
    "cut short": (truncate, "damaged|malformed"),
    "no database": (lambda path: path.write_bytes(b"x" * 9000), "not a database"),
    "an entry gone": (delete_entry, "entry 2 is missing"),
    "older": (restore_older, "an older copy"),
}


def start_ledger(folder: Path) -> Stored:
    ledger, stored = open_ledger(folder)
    ledger.close()
    return stored


def create_store(folder: Path) -> None:
    """Creates a store with three entries and two restarts, and a copy of it from before the restarts."""
    path = folder / "register.db"
    ledger, _ = open_ledger(folder)
    entries = tuple(Entry(n, 1, Kind.DATA, b"precious" * 200) for n in (2, 3, 4))
    ledger.save(Output(hard_state=HardState(1, ME), first_index=2, entries=entries))
    ledger.close()
    shutil.copyfile(path, path.with_suffix(".older"))
    for _ in range(2):
        start_ledger(folder)


def create_damaged(folder: Path, damage: str) -> None:
    create_store(folder)
    DAMAGES[damage][0](folder / "register.db")


@pytest.mark.parametrize("damage", DAMAGES)
def test_damaged_or_foreign_file_is_rejected_with_a_one_line_error(damage: str, tmp_path: Path) -> None:
    create_damaged(tmp_path, damage)
    for _ in range(2):
        with pytest.raises(RaftStoreError, match=DAMAGES[damage][1]) as caught:
            start_ledger(tmp_path)
        assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("damage", "check", "without"),
    [
        ("a bit", "check_crc", lambda self, body, crc, what: body),
        ("older", "check_start", lambda self, old, noted: None),
    ],
)
def test_without_the_check_a_damaged_file_is_accepted(
    damage: str, check: str, without: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that the test above exercises these checks."""
    monkeypatch.setattr(RaftStore, check, without)
    create_damaged(tmp_path, damage)
    assert start_ledger(tmp_path).entries


class KilledError(BaseException):
    """Stands for a SIGKILL: nothing after it runs, and no handler of errors catches it."""


def start_cut_short(folder: Path, monkeypatch: pytest.MonkeyPatch, error: BaseException, step: str) -> None:
    """A start that raises ``error`` at ``step``, a function of ``os`` that writes the start file."""

    def fail(*arguments: Any) -> None:
        raise error

    with monkeypatch.context() as patch, pytest.raises((KilledError, RaftStoreError)):
        patch.setattr(f"latchspoke.agent.raft_store.os.{step}", fail)
        start_ledger(folder)


@pytest.mark.parametrize("step", ["fsync", "replace"])
@pytest.mark.parametrize("error", [KilledError(), OSError(errno.ENOSPC, "No space left on device")])
@pytest.mark.parametrize("times", [1, 2, 3, 7])
def test_starts_cut_short_before_the_start_file_do_not_make_a_store_unusable(
    times: int, error: BaseException, step: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that refuses its own disk for good after two kills during a start."""
    create_store(tmp_path)
    for _ in range(times):
        start_cut_short(tmp_path, monkeypatch, error, step)
    stored = start_ledger(tmp_path)
    assert stored.boot == 3 + times + 1 and [entry.index for entry in stored.entries] == [2, 3, 4]
    restore_older(tmp_path / "register.db")
    with pytest.raises(RaftStoreError, match="older copy"):
        start_ledger(tmp_path)


@pytest.mark.parametrize("times", [1, 2, 3])
def test_first_starts_cut_short_before_the_start_file_keep_the_identity(
    times: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As above, on an empty disk, where there is no start file yet."""
    for _ in range(times):
        start_cut_short(tmp_path, monkeypatch, KilledError(), "replace")
    stored = start_ledger(tmp_path)
    assert (stored.identity, stored.boot) == (f"{ME}#first", times + 1) and stored.snapshot.members.voters


def test_an_older_copy_is_refused_however_many_starts_were_cut_short(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A start of an older copy must not count, or enough of them would pass for the newest."""
    create_damaged(tmp_path, "older")
    for _ in range(5):
        start_cut_short(tmp_path, monkeypatch, KilledError(), "replace")
    with pytest.raises(RaftStoreError, match="older copy"):
        start_ledger(tmp_path)
