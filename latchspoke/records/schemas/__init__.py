"""The program's own schemas, as files beside this one."""

from __future__ import annotations

from pathlib import Path

DEFINITIONS = {
    "agent": "#Agent",
    "fleet": "#Fleet",
    "lab": "#Experiment",
    "mapping": "#Mapping",
    "rules": "#Rules",
}  # a schema and what a whole file must fit


def schema_path(name: str) -> Path:
    """The file of a schema by its short name."""
    return Path(__file__).with_name(f"{name}.cue")
