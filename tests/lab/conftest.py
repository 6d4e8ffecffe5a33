"""Fixtures of the laboratory's tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from latchspoke.lab.soak.fleet import claim_net


@pytest.fixture
def net() -> Iterator[int]:
    """The second part of loopback addresses that no other run has."""
    number, claim = claim_net()
    with claim:
        yield number
