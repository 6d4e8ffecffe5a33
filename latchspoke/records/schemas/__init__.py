"""Schemas shipped with the program, as files in this directory."""

from __future__ import annotations

from pathlib import Path

DEFINITIONS = {
    "agent": "#Agent",
    "fleet": "#Fleet",
    "lab": "#Experiment",
    "mapping": "#Mapping",
    "rules": "#Rules",
}  # schema name to the definition that a file must satisfy


def schema_path(name: str) -> Path:
    """Return the path of a schema by its short name."""
    return Path(__file__).with_name(f"{name}.cue")
