"""Copies of the registry grow together, in whatever order news comes, and lives go one way only."""

from __future__ import annotations

import copy
import math
from random import Random
from typing import Any

import pytest

from latchspoke.registry.registry import (
    GONE_AFTER_HEARTBEATS,
    SILENT_AFTER_HEARTBEATS,
    Entry,
    HeartbeatError,
    Registry,
    State,
    parse_heartbeat,
)

BEAT = 1.5
NOW = 1000.0


def beat(sequence: int, now: float, ident: str = "s1", **more: Any) -> Entry:
    body = {
        "service": "pool",
        "address": "10.1.0.9:80",
        "zone": "a",
        "capacitySlots": 6,
        "state": "available",
    }
    return parse_heartbeat(ident, {**body, "callSequence": sequence, **more}, now)


def told(registry: Registry) -> dict[str, Any]:
    """What gateways act by; of who is gone only that."""
    return {
        e.instance_id: (e.state, e.sequence, e.address, e.slots, e.silent, round(e.cold_until - NOW))
        if e.state is not State.GONE
        else e.state
        for e in registry.entries.values()
    }


@pytest.mark.parametrize("seed", range(20))
def test_copies_that_hear_all_in_any_order_are_the_same(seed: int) -> None:
    print(f"seed {seed}")
    draw = Random(seed)
    news: list[Entry] = []
    for ident in "abcdef":
        turn, end = draw.randrange(3, 9), draw.choice(["", "ended", "lost"])
        for sequence in range(1, 8):
            state = "draining" if sequence >= turn else "available"
            slots = 6 + sequence // 4
            news.append(
                beat(sequence, NOW, ident, state=state, capacitySlots=slots, coldRemainingS=9 - sequence)
            )
        if end == "ended":
            news.append(Entry(ident, "", "", "", 1, State.GONE, 0))
        elif end == "lost":
            news.append(Entry(ident, "", "", "", 1, State.GONE, draw.randrange(1, 8), expired=True))
    copies = []
    for _ in range(6):
        registry = Registry(BEAT)
        messages = [each.to_message(NOW) for each in news]
        for message in draw.sample(messages, len(messages)):
            registry.merge([message], NOW)
        registry.merge([message for message in messages if draw.random() < 0.5], NOW)
        copies.append(told(registry))
    assert all(copy == copies[0] for copy in copies)


def test_a_late_or_doubled_beat_brings_nothing_back() -> None:
    registry = Registry(BEAT)
    registry.update(beat(3, NOW, state="draining"), NOW)
    assert not registry.update(beat(2, NOW), NOW)[1]
    draining = registry.entries["s1"].state is State.DRAINING
    assert draining
    registry.mark_gone("s1", NOW)
    for sequence in (2, 3, 9):
        assert not registry.update(beat(sequence, NOW + 1), NOW + 1)[1]
    assert registry.entries["s1"].state is State.GONE
    assert not registry.mark_gone("s1", NOW + 1)[1], "told once"


def test_silence_first_casts_doubt_then_ends_and_says_nothing_to_who_may_be_cut_off() -> None:
    registry = Registry(BEAT)
    registry.update(beat(1, NOW), NOW)
    assert not registry.sweep(NOW + SILENT_AFTER_HEARTBEATS * BEAT - 0.1)
    assert not registry.sweep(NOW + 99, detect_silence=False)
    (entry,) = registry.sweep(NOW + SILENT_AFTER_HEARTBEATS * BEAT + 0.1)
    assert entry.silent and entry.state is State.READY
    assert registry.update(beat(2, NOW + 4), NOW + 4)[1] and not entry.silent
    (entry,) = registry.sweep(NOW + 4 + GONE_AFTER_HEARTBEATS * BEAT + 0.1)
    assert entry.state is State.GONE


def test_servers_heard_on_one_side_of_a_cut_only_are_there_after_it() -> None:
    """The other side took them for gone, and tells so; their later beats outdo that, on all machines."""
    here, there, gateway = Registry(BEAT), Registry(BEAT), Registry(BEAT)
    for registry in (here, there, gateway):
        registry.update(beat(1, NOW), NOW)
    for i in range(2, 20):
        here.update(beat(i, NOW + i * BEAT), NOW + i * BEAT)
    later = NOW + 20 * BEAT
    assert there.sweep(later)[0].state is State.GONE
    gateway.merge(there.snapshot(later), later)
    whole = there.snapshot(later)
    there.merge(here.snapshot(later), later)
    here.merge(whole, later)
    assert [e.state for e in gateway.merge(here.snapshot(later), later)] == [State.READY], "it is news"
    for registry in (here, there, gateway):
        assert registry.entries["s1"].state is State.READY and registry.entries["s1"].address == "10.1.0.9:80"


@pytest.mark.parametrize(
    "more", [{"address": "10.1.0.9"}, {"address": ":0"}, {"state": "?"}, {"capacitySlots": "x"}]
)
def test_a_beat_that_cannot_be_read_is_refused(more: dict[str, Any]) -> None:
    with pytest.raises(HeartbeatError):
        beat(1, NOW, **more)


def test_a_cold_server_that_turns_cold_anew_is_news_also_where_that_is_little_longer() -> None:
    """FAILBACK: told as cold for 0.36 s more, and gateways went at the warm rate before it was warm."""
    registry = Registry(BEAT)
    registry.update(beat(1, NOW, coldRemainingS=3.0), NOW)
    assert not registry.update(beat(2, NOW + 1, coldRemainingS=2.05), NOW + 1)[1]
    entry, news = registry.update(beat(3, NOW + 1.5, coldRemainingS=1.86), NOW + 1.5)
    assert news and entry.cold_until == pytest.approx(NOW + 3.36)
    assert not registry.update(beat(4, NOW + 2, coldRemainingS=1.2), NOW + 2)[1]


def test_a_beat_sent_again_elsewhere_counts_with_the_longer_cold_in_either_order() -> None:
    """FAILBACK: gateways kept the shorter one; who had taken the other found no news in the next."""
    first, again = beat(3, NOW, coldRemainingS=2.75), beat(3, NOW + 0.9, coldRemainingS=2.75)
    for beats in ((first, again), (again, first)):
        registry = Registry(BEAT)
        news = [registry.update(copy.copy(b), NOW + 0.9)[1] for b in beats]
        assert news == [True, beats[0] is first] and registry.entries["s1"].cold_until == NOW + 3.65
    assert not registry.update(beat(3, NOW + 1.0, coldRemainingS=2.75), NOW + 1.0)[1], "by the way it took"


def test_a_beat_heard_again_is_the_short_form_of_the_same_entry_heard() -> None:
    print("seed 5")
    draw = Random(5)
    for _ in range(300):
        made = [Registry(1.5), Registry(1.5)]
        state, silent = draw.choice(list(State)), draw.random() < 0.3
        cold, number = draw.choice([-math.inf, 4.0, 9.0]), draw.randint(1, 4)
        for registry in made:
            registry.entries["s"] = Entry("s", "p", "h:1", "a", 2, state, 2, cold, 4.5, silent)
        short, whole = made
        old = whole.entries["s"]
        new = Entry("s", "p", "h:1", "a", 2, old.state, number, old.cold_until, 4.9)
        if short.refresh("s", number, 4.9):
            assert not whole.update(new, 5.0)[1], "no news"
            assert short.entries == whole.entries
        else:
            assert silent or state is State.GONE or number <= 2
    assert not Registry(1.5).refresh("nobody", 1, 0.0)
