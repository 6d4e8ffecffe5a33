"""Plays every recorded exchange against a gateway; each file states which failure it guards against."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from pathlib import Path

from tests.player import FOLDER, play


class Exchanges(unittest.TestCase):
    """One test per exchange, added below."""

    def test_each_exchange_states_its_purpose(self) -> None:
        self.assertGreater(len(list(FOLDER.glob("*.txt"))), 10)
        for path in FOLDER.glob("*.txt"):
            self.assertTrue(path.read_text().startswith("# "), path.name)


def played(path: Path) -> Callable[[Exchanges], None]:
    return lambda _: play(path)


for exchange in sorted(FOLDER.glob("*.txt")):
    setattr(Exchanges, f"test_{exchange.stem}", played(exchange))
