"""A world that is ended after each test, whatever happened in it."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.agent.world import World, world


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[World]:
    with world(tmp_path) as made:
        yield made
