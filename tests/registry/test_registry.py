"""The server registry: convergence of replicas, states, missed heartbeats and cold times."""

from __future__ import annotations

import copy
import math
from random import Random
from typing import Any

import pytest

from latchspoke.registry.registry import (
    GONE_AFTER_HEARTBEATS,
    INSTANCE_BYTES,
    MAX_TEXT_LENGTH,
    SILENT_AFTER_HEARTBEATS,
    TOMBSTONE_RETENTION_S,
    Entry,
    HeartbeatError,
    Registry,
    State,
    parse_heartbeat,
)

HEARTBEAT_INTERVAL_S = 1.5
NOW = 1000.0


def heartbeat(sequence: int, now: float, instance_id: str = "s1", **more: Any) -> Entry:
    body = {
        "service": "pool",
        "address": "10.1.0.9:80",
        "zone": "a",
        "capacitySlots": 6,
        "state": "available",
    }
    return parse_heartbeat(instance_id, {**body, "callSequence": sequence, **more}, now)


def visible_state(registry: Registry) -> dict[str, Any]:
    """What gateways use of each entry; for a gone instance only its state."""
    return {
        e.instance_id: (e.state, e.sequence, e.address, e.slots, e.silent, round(e.cold_until - NOW))
        if e.state is not State.GONE
        else e.state
        for e in registry.entries.values()
    }


@pytest.mark.parametrize("seed", range(20))
def test_replicas_converge_in_any_order_of_updates(seed: int) -> None:
    print(f"seed {seed}")
    rng = Random(seed)
    updates: list[Entry] = []
    for instance_id in "abcdef":
        drain_sequence, ending = rng.randrange(3, 9), rng.choice(["", "ended", "lost"])
        for sequence in range(1, 8):
            state = "draining" if sequence >= drain_sequence else "available"
            slots = 6 + sequence // 4
            updates.append(
                heartbeat(
                    sequence, NOW, instance_id, state=state, capacitySlots=slots, coldRemainingS=9 - sequence
                )
            )
        if ending == "ended":
            updates.append(Entry(instance_id, "", "", "", 1, State.GONE, 0))
        elif ending == "lost":
            updates.append(Entry(instance_id, "", "", "", 1, State.GONE, rng.randrange(1, 8), expired=True))
    replicas = []
    for _ in range(6):
        registry = Registry(HEARTBEAT_INTERVAL_S)
        messages = [entry.to_message(NOW) for entry in updates]
        for message in rng.sample(messages, len(messages)):
            registry.merge([message], NOW)
        registry.merge([message for message in messages if rng.random() < 0.5], NOW)
        replicas.append(visible_state(registry))
    assert all(copy == replicas[0] for copy in replicas)


def test_late_or_duplicate_heartbeat_does_not_revive_an_instance() -> None:
    registry = Registry(HEARTBEAT_INTERVAL_S)
    registry.update(heartbeat(3, NOW, state="draining"), NOW)
    assert not registry.update(heartbeat(2, NOW), NOW)[1]
    draining = registry.entries["s1"].state is State.DRAINING
    assert draining
    registry.mark_gone("s1", NOW)
    for sequence in (2, 3, 9):
        assert not registry.update(heartbeat(sequence, NOW + 1), NOW + 1)[1]
    assert registry.entries["s1"].state is State.GONE
    assert not registry.mark_gone("s1", NOW + 1)[1], "changed only once"


def test_missed_heartbeats_mark_silent_then_gone_unless_isolated() -> None:
    registry = Registry(HEARTBEAT_INTERVAL_S)
    registry.update(heartbeat(1, NOW), NOW)
    assert not registry.sweep(NOW + SILENT_AFTER_HEARTBEATS * HEARTBEAT_INTERVAL_S - 0.1)
    assert not registry.sweep(NOW + 99, detect_silence=False)
    (entry,) = registry.sweep(NOW + SILENT_AFTER_HEARTBEATS * HEARTBEAT_INTERVAL_S + 0.1)
    assert entry.silent and entry.state is State.READY
    assert registry.update(heartbeat(2, NOW + 4), NOW + 4)[1] and not entry.silent
    (entry,) = registry.sweep(NOW + 4 + GONE_AFTER_HEARTBEATS * HEARTBEAT_INTERVAL_S + 0.1)
    assert entry.state is State.GONE


def test_servers_known_on_one_side_of_a_partition_survive_it() -> None:
    """The other side expired them; their later heartbeats override that on all nodes."""
    here, there, gateway = (
        Registry(HEARTBEAT_INTERVAL_S),
        Registry(HEARTBEAT_INTERVAL_S),
        Registry(HEARTBEAT_INTERVAL_S),
    )
    for registry in (here, there, gateway):
        registry.update(heartbeat(1, NOW), NOW)
    for sequence in range(2, 20):
        here.update(
            heartbeat(sequence, NOW + sequence * HEARTBEAT_INTERVAL_S), NOW + sequence * HEARTBEAT_INTERVAL_S
        )
    later = NOW + 20 * HEARTBEAT_INTERVAL_S
    assert there.sweep(later)[0].state is State.GONE
    gateway.merge(there.snapshot(later), later)
    there_snapshot = there.snapshot(later)
    there.merge(here.snapshot(later), later)
    here.merge(there_snapshot, later)
    assert [e.state for e in gateway.merge(here.snapshot(later), later)] == [State.READY], (
        "a change for gateways"
    )
    for registry in (here, there, gateway):
        assert registry.entries["s1"].state is State.READY and registry.entries["s1"].address == "10.1.0.9:80"


@pytest.mark.parametrize(
    "more", [{"address": "10.1.0.9"}, {"address": ":0"}, {"state": "?"}, {"capacitySlots": "x"}]
)
def test_invalid_heartbeat_is_rejected(more: dict[str, Any]) -> None:
    with pytest.raises(HeartbeatError):
        heartbeat(1, NOW, **more)


def test_small_increase_of_the_cold_time_is_a_change() -> None:
    """FAILBACK: an unreported increase of 0.36 s let gateways use the warm rate too early."""
    registry = Registry(HEARTBEAT_INTERVAL_S)
    registry.update(heartbeat(1, NOW, coldRemainingS=3.0), NOW)
    assert not registry.update(heartbeat(2, NOW + 1, coldRemainingS=2.05), NOW + 1)[1]
    entry, changed = registry.update(heartbeat(3, NOW + 1.5, coldRemainingS=1.86), NOW + 1.5)
    assert changed and entry.cold_until == pytest.approx(NOW + 3.36)
    assert not registry.update(heartbeat(4, NOW + 2, coldRemainingS=1.2), NOW + 2)[1]


def test_resent_heartbeat_keeps_the_longer_cold_time_in_either_order() -> None:
    """FAILBACK: gateways kept the shorter cold time, as the node with the longer one saw no change."""
    first, resent = heartbeat(3, NOW, coldRemainingS=2.75), heartbeat(3, NOW + 0.9, coldRemainingS=2.75)
    for heartbeats in ((first, resent), (resent, first)):
        registry = Registry(HEARTBEAT_INTERVAL_S)
        changed = [registry.update(copy.copy(entry), NOW + 0.9)[1] for entry in heartbeats]
        assert changed == [True, heartbeats[0] is first] and registry.entries["s1"].cold_until == NOW + 3.65
    assert not registry.update(heartbeat(3, NOW + 1.0, coldRemainingS=2.75), NOW + 1.0)[1], "a late copy"


def test_refresh_is_equivalent_to_update() -> None:
    print("seed 5")
    rng = Random(5)
    for _ in range(300):
        registries = [Registry(1.5), Registry(1.5)]
        state, silent = rng.choice(list(State)), rng.random() < 0.3
        cold_until, sequence = rng.choice([-math.inf, 4.0, 9.0]), rng.randint(1, 4)
        for registry in registries:
            registry.entries["s"] = Entry("s", "p", "h:1", "a", 2, state, 2, cold_until, 4.5, silent)
        refreshed, updated = registries
        old = updated.entries["s"]
        new = Entry("s", "p", "h:1", "a", 2, old.state, sequence, old.cold_until, 4.9)
        if refreshed.refresh("s", sequence, 4.9):
            assert not updated.update(new, 5.0)[1], "no change"
            assert refreshed.entries == updated.entries
        else:
            assert silent or state is State.GONE or sequence <= 2
    assert not Registry(1.5).refresh("nobody", 1, 0.0)


def test_new_names_of_servers_do_not_use_up_the_memory_of_all_processes() -> None:
    """Callers that registered ever new names took gateways over their memory."""
    registry = Registry(HEARTBEAT_INTERVAL_S, memory_bytes=3 * INSTANCE_BYTES)
    for number in range(3):
        assert registry.accepts(f"i{number}")
        registry.update(heartbeat(1, NOW, f"i{number}"), NOW)
    assert not registry.accepts("i3") and registry.accepts("i1")
    registry.mark_gone("i1", NOW)
    registry.sweep(NOW + TOMBSTONE_RETENTION_S + 1.0, detect_silence=False)
    assert registry.accepts("i3")


@pytest.mark.parametrize("field", ["service", "zone", "version"])
def test_texts_of_a_heartbeat_are_bounded(field: str) -> None:
    """Each was kept in all processes, whatever its length."""
    with pytest.raises(HeartbeatError, match=str(MAX_TEXT_LENGTH)):
        heartbeat(1, NOW, **{field: "x" * (MAX_TEXT_LENGTH + 1)})
    with pytest.raises(HeartbeatError, match=str(MAX_TEXT_LENGTH)):
        heartbeat(1, NOW, "i" * (MAX_TEXT_LENGTH + 1))
