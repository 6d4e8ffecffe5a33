"""A fixture with agents that are stopped after each test."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.agent.harness import FleetHarness, fleet_harness


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[FleetHarness]:
    with fleet_harness(tmp_path) as harness:
        yield harness
