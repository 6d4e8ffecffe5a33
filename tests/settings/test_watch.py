"""The settings file changes, with a signal and without one."""

from __future__ import annotations

import json
from pathlib import Path

from latchspoke.settings import Settings
from latchspoke.settings.watch import LOOK, Watch
from tests.settings.test_node import NODE


def test_a_file_that_changes_without_a_signal_is_taken_and_a_spoilt_one_is_not(tmp_path: Path) -> None:
    path, taken = tmp_path / "local.yaml", list[Settings]()
    path.write_text(json.dumps(NODE))
    watch = Watch(str(path), taken.append)
    watch.look(10.0)
    assert not taken
    path.write_text(json.dumps({**NODE, "seedNodes": ["10.9.0.28:8200"]}))
    watch.look(10.0 + LOOK / 2)
    assert not taken, "it is looked at only now and then"
    watch.look(10.0 + LOOK)
    assert [settings.seeds[-1][0] for settings in taken] == ["10.9.0.28"]
    path.write_text("nodeName: [")
    watch.look(10.0 + 2 * LOOK)
    assert not watch.read() and len(taken) == 1
    path.write_text(json.dumps(NODE))
    watch.look(10.0 + 3 * LOOK)
    assert [settings.seeds[-1][0] for settings in taken] == ["10.9.0.28", "10.2.0.5"]
