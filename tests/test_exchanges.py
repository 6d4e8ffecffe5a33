"""Plays every recorded exchange against a gateway; each file states which failure it guards against."""

from __future__ import annotations

import gc
import tracemalloc
import unittest
from collections.abc import Callable
from pathlib import Path

from tests.player import FOLDER, Player, play

BODY_BYTES = 60_000
REQUESTS = 20


class Exchanges(unittest.TestCase):
    """One test per exchange, added below."""

    def test_each_exchange_states_its_purpose(self) -> None:
        self.assertGreater(len(list(FOLDER.glob("*.txt"))), 10)
        for path in FOLDER.glob("*.txt"):
            self.assertTrue(path.read_text().startswith("# "), path.name)


class Bodies(unittest.TestCase):
    def test_no_body_is_held_after_its_request(self) -> None:
        """Guards against resting connections that keep the last body, and cycles that keep a request's."""
        player = Player({})
        head = r"POST /read?key=00000000b4d65521 HTTP/1.1\r\nReq-Id: x\r\nReq-Kind: read\r\n"
        terms = r"X-Tier: basic\r\nReq-Deadline: 3.000\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"
        body, length = "b" * BODY_BYTES, rf"Content-Length: {BODY_BYTES}\r\n\r\n"

        def ask(number: int) -> None:
            player.step(f"open c{number}")
            player.step(f"c{number} > {head}{terms}{length}{body}")
            if not number:
                player.dialled = [dialled for dialled in player.dialled if dialled[1][0] == "127.0.0.9"]
                player.step("dial server 127.0.0.9:1")
            assert player.transports["server"].written.endswith(body.encode())
            player.transports["server"].written = b""
            player.step(rf"server > HTTP/1.1 200 OK\r\n{length}{body}")
            assert player.transports[f"c{number}"].written.endswith(body.encode())
            player.transports[f"c{number}"].written = b""
            player.clock.advance(0.05)

        ask(0)
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            for number in range(1, REQUESTS + 1):
                ask(number)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
        self.assertLess(held_bytes, REQUESTS * BODY_BYTES / 2)


def played(path: Path) -> Callable[[Exchanges], None]:
    return lambda _: play(path)


for exchange in sorted(FOLDER.glob("*.txt")):
    setattr(Exchanges, f"test_{exchange.stem}", played(exchange))
