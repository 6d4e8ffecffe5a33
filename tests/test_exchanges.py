"""Every recorded exchange is played against the program; each says what it guards against."""

from __future__ import annotations

import unittest

from tests.player import FOLDER, play


class Exchanges(unittest.TestCase):
    def test_all(self) -> None:
        paths = sorted(FOLDER.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem):
                self.assertTrue(path.read_text().startswith("# "), "says what it guards against")
                play(path)
