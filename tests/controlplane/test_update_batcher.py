"""Server updates are batched when they arrive fast, with a bounded delay."""

from __future__ import annotations

import asyncio
from typing import Any

from latchspoke.controlplane.update_batcher import BATCH_WINDOW_S, ServerUpdateBatcher
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.registry.registry import Entry, State


def entry(instance_id: str, sequence: int = 1) -> Entry:
    return Entry(instance_id, "s", "h:1", "a", 1, State.READY, sequence)


def test_first_update_is_sent_at_once_and_later_ones_in_one_batch() -> None:
    loop = VirtualLoop(Network(1))
    clock: Any = VirtualClock(loop)
    sent: list[tuple[float, list[str]]] = []
    started_at = clock.now()
    batcher = ServerUpdateBatcher(
        clock, lambda entries, now: sent.append((now - started_at, [e.instance_id for e in entries]))
    )
    batcher.add([entry("a")], started_at)
    assert sent == [(0.0, ["a"])]
    for number in range(40):
        when = started_at + 0.001 * (number + 1)
        clock.schedule(when, lambda now, n=number: batcher.add([entry(f"b{n % 30}")], now))
    loop.run_until_complete(asyncio.sleep(1.0))
    (_, (batch_sent_at, instance_ids)) = sent
    assert 0.99 * BATCH_WINDOW_S <= batch_sent_at < 2 * BATCH_WINDOW_S and sorted(instance_ids) == sorted(
        f"b{n}" for n in range(30)
    )
    batcher.add([], clock.now())
    batcher.add([entry("c")], clock.now())
    assert sent[-1][1] == ["c"]
    loop.close()
