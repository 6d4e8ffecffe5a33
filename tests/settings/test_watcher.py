"""Reloading of the settings file, by signal and by polling."""

from __future__ import annotations

import json
from pathlib import Path

from latchspoke.settings import Settings
from latchspoke.settings.watcher import POLL_INTERVAL_S, SettingsWatcher
from tests.settings.test_node import NODE_SETTINGS


def test_a_changed_file_is_loaded_without_a_signal_and_an_invalid_one_is_ignored(tmp_path: Path) -> None:
    path, changes = tmp_path / "local.yaml", list[Settings]()
    path.write_text(json.dumps(NODE_SETTINGS))
    watcher = SettingsWatcher(str(path), changes.append)
    watcher.poll(10.0)
    assert not changes
    path.write_text(json.dumps({**NODE_SETTINGS, "seedNodes": ["10.9.0.28:8200"]}))
    watcher.poll(10.0 + POLL_INTERVAL_S / 2)
    assert not changes, "the file was polled before the interval had passed"
    watcher.poll(10.0 + POLL_INTERVAL_S)
    assert [settings.seeds[-1][0] for settings in changes] == ["10.9.0.28"]
    path.write_text("nodeName: [")
    watcher.poll(10.0 + 2 * POLL_INTERVAL_S)
    assert not watcher.reload() and len(changes) == 1
    path.write_text(json.dumps(NODE_SETTINGS))
    watcher.poll(10.0 + 3 * POLL_INTERVAL_S)
    assert [settings.seeds[-1][0] for settings in changes] == ["10.9.0.28", "10.2.0.5"]
