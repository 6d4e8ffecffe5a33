"""All checks of a machine, with or without a settings file."""

from __future__ import annotations

from pathlib import Path

from latchspoke.doctor.findings import Finding, failure, good
from latchspoke.doctor.installation import check_installation
from latchspoke.doctor.machine import check_machine
from latchspoke.doctor.place import check_place

ROOT = Path(__file__).resolve().parents[2]


def examine(settings_path: str | None, root: Path = ROOT) -> list[Finding]:
    """The findings on this machine; with a settings file, also on what it names."""
    found = check_installation(root)
    if settings_path is None:
        return found + check_machine(None, None)
    try:
        from latchspoke.settings import SettingsError, load_settings
    except ImportError as error:
        return [*found, *check_machine(None, None), failure("settings", f"can't be read: {error}")]
    try:
        settings = load_settings(settings_path)
    except SettingsError as error:
        return [*found, *check_machine(None, None), failure("settings", str(error))]
    found += check_machine(settings.memory_mb, settings.file_descriptors)
    found.append(good("settings", f"{settings_path}: {settings.name}"))
    return found + check_place(settings)
