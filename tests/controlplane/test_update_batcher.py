"""News of servers are gathered while they come fast, and none is kept back for long."""

from __future__ import annotations

import asyncio
from typing import Any

from latchspoke.controlplane.update_batcher import BATCH_WINDOW_S, ServerUpdateBatcher
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.registry.registry import Entry, State


def entry(ident: str, sequence: int = 1) -> Entry:
    return Entry(ident, "s", "h:1", "a", 1, State.READY, sequence)


def test_the_first_goes_at_once_and_what_follows_together() -> None:
    loop = VirtualLoop(Network(1))
    clock: Any = VirtualClock(loop)
    sent: list[tuple[float, list[str]]] = []
    begun = clock.now()
    news = ServerUpdateBatcher(
        clock, lambda entries, now: sent.append((now - begun, [e.instance_id for e in entries]))
    )
    news.add([entry("a")], begun)
    assert sent == [(0.0, ["a"])]
    for number in range(40):
        when = begun + 0.001 * (number + 1)
        clock.schedule(when, lambda now, n=number: news.add([entry(f"b{n % 30}")], now))
    loop.run_until_complete(asyncio.sleep(1.0))
    (_, (later, idents)) = sent
    assert 0.99 * BATCH_WINDOW_S <= later < 2 * BATCH_WINDOW_S and sorted(idents) == sorted(
        f"b{n}" for n in range(30)
    )
    news.add([], clock.now())
    news.add([entry("c")], clock.now())
    assert sent[-1][1] == ["c"]
    loop.close()
