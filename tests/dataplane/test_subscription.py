"""Whom a gateway asks for news and proofs when control machines are cut off: virtual time."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Any

import pytest

from latchspoke.dataplane.subscription import FIRST_PROOF_DIVISOR, Source, Subscription
from latchspoke.distribution.board import Board, Follower, Lease
from latchspoke.lab.virtual import Network, VirtualLoop
from latchspoke.lab.virtual_run import VirtualClock
from latchspoke.registry.registry import Registry
from latchspoke.transport.connection import MessageConnection

CONTACT = 4.0  # s; the bound by which a gateway in touch is to know what was acknowledged
NEAR = Source("core-gdn", ("10.3.0.1", 1), "gdn-a", "gdn")
BESIDE = Source("core-gdn-b", ("10.3.0.2", 1), "gdn-b", "gdn")
FAR = Source("core-waw", ("10.1.0.1", 1), "waw-a", "waw")
CUT_OFF = {NEAR.address, BESIDE.address}  # from the rest of the core
SILENT = NEAR.address  # says nothing then, where the other says that it can prove nothing


class Gateway:
    """Its feed, and the control machines that it may ask."""

    def __init__(self, seed: int, sources: list[Source]) -> None:
        self.loop = VirtualLoop(Network(seed, delay=0.02))
        self.sources, self.cut_at = sources, math.inf
        self.proven: list[tuple[float, str]] = []
        self.feed = Subscription(
            "edge", "gdn-a", "gdn", VirtualClock(self.loop), random.Random(seed),
            Follower(Board(Registry(1.5)), lambda old, new: new), Lease(4.5), lambda: self.sources,
            lambda ordered, entries: None, first_proof_timeout=CONTACT / FIRST_PROOF_DIVISOR,
        )  # fmt: skip

    async def listen(self, source: Source) -> None:
        def heard(wire: MessageConnection, message: dict[str, Any]) -> None:
            if message["k"] != "prove":
                return
            apart = self.loop.time() >= self.cut_at and source.address in CUT_OFF
            if not apart:
                self.proven.append((self.loop.time(), source.name))
            if source.address != SILENT or not apart:
                wire.send({"k": "proven", "t": message["t"]} | ({} if apart else {"index": 0}))

        await self.loop.create_server(
            lambda: MessageConnection(heard, lambda wire, why: None), *source.address
        )

    async def day(self, before: float, after: float) -> None:
        for source in {source.address: source for source in (*self.sources, NEAR, BESIDE, FAR)}.values():
            await self.listen(source)
        task = asyncio.ensure_future(self.feed.run())
        await asyncio.sleep(before)
        self.cut_at = self.loop.time()
        await asyncio.sleep(after)
        self.feed.stop()
        await task


@pytest.mark.parametrize("seed", range(12))
def test_a_gateway_beside_a_cut_off_region_hears_the_core_within_contact(seed: int) -> None:
    """Its control machine was cut off and is a seed, too: asked again under that name, it cost 2.4 s more."""
    again = Source("seed 10.3.0.1", NEAR.address, "", "")
    gateway = Gateway(seed, [NEAR, again, BESIDE, FAR])
    gateway.loop.run_until_complete(gateway.day(3.0 + 0.07 * seed, CONTACT))
    later = [at - gateway.cut_at for at, name in gateway.proven if at > gateway.cut_at]
    assert later and later[0] < CONTACT * 0.75, (seed, later[:1])


def test_the_near_one_is_asked_as_long_as_it_proves() -> None:
    gateway = Gateway(1, [FAR, BESIDE, NEAR])
    gateway.loop.run_until_complete(gateway.day(3.0, 0.0))
    assert {name for _, name in gateway.proven} == {NEAR.name}


def test_a_source_that_failed_comes_last_under_any_name_and_its_region_next_to_last() -> None:
    again, gate = (
        Source("seed", NEAR.address, "", ""),
        Source("edge-gdn", ("10.3.0.9", 1), "gdn-a", "gdn", True),
    )
    gateway = Gateway(1, [NEAR, again, BESIDE, FAR, gate])
    now = gateway.feed.clock.now()
    gateway.feed.failed_at[NEAR.address] = now - 1
    left, order = list(gateway.sources), []
    while left:
        gateway.sources = left
        chosen = gateway.feed.choose_source(now)
        assert chosen is not None
        order.append(chosen.name)
        left = [source for source in left if source is not chosen]
        gateway.feed.failed_at.setdefault(NEAR.address, now - 1)
    assert order[0] == FAR.name and set(order[-2:]) == {NEAR.name, "seed"}


SEED = Source("seed 10.1.0.1", FAR.address, "", "")


def followed(gateway: Gateway) -> list[str]:
    """Whose proofs came, each source once, in order."""
    return list(dict.fromkeys(name for _, name in gateway.proven))


def test_a_gateway_that_begins_waits_for_a_near_source_but_not_for_long() -> None:
    """All that a process knows at first is the seeds: most gateways of a start would follow these few."""
    gateway = Gateway(1, [SEED])
    gateway.loop.call_later(0.3, gateway.sources.extend, [FAR, NEAR])
    gateway.loop.run_until_complete(gateway.day(2.0, 0.0))
    assert followed(gateway) == [NEAR.name]
    alone = Gateway(1, [SEED])
    alone.loop.run_until_complete(alone.day(1.0, 0.0))
    assert followed(alone) == [FAR.name] and alone.proven[0][0] < 0.6


def test_a_gateway_goes_on_at_a_near_source_that_is_known_later() -> None:
    gateway = Gateway(1, [FAR])
    gateway.loop.call_later(1.0, gateway.sources.append, NEAR)
    gateway.loop.run_until_complete(gateway.day(12.0, 0.0))
    assert followed(gateway) == [FAR.name, NEAR.name]
    changed = min(at for at, name in gateway.proven if name == NEAR.name)
    last = max(at for at, name in gateway.proven if name == FAR.name)
    assert changed - last < 1.2, "its right to act goes on meanwhile"


def test_a_gateway_stays_at_a_far_source_while_the_near_one_has_failed_lately() -> None:
    gateway = Gateway(1, [FAR, NEAR])
    gateway.feed.failed_at[NEAR.address] = math.inf
    gateway.loop.run_until_complete(gateway.day(12.0, 0.0))
    assert followed(gateway) == [FAR.name]
