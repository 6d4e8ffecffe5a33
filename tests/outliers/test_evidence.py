"""Evidence at control-plane nodes: lost, duplicate and late reports, and gateways that change nodes."""

from __future__ import annotations

from random import Random

import pytest

from barleyhub.line.outliers import combine
from latchspoke.outliers.evidence import (
    LEASE_S,
    REFRESH_INTERVAL_S,
    EvidenceError,
    EvidenceStore,
    decode_entry,
)


def test_duplicate_and_relayed_reports_count_once() -> None:
    first, second = EvidenceStore(), EvidenceStore()
    for _ in range(3):
        first.add_reports("g1", "a", [["s1", 2, 5]], 0.0)
    second.add_reports("g2", "b", [["s1", 1, 5]], 0.0)
    for _ in range(2):
        first.merge("two", second.updates_for_peers(0.0) or [], 0.0)
    by_zone = first.evidence("s1", 0.0)
    assert (by_zone["a"].failed, by_zone["b"].failed) == (2, 1)
    assert combine(by_zone.values()).witnesses == {"g1", "g2"} and combine(by_zone.values()).zone_count == 2
    assert [decode_entry(entry)[0] for entry in first.updates_for_gateways(0.0, ["a"])["a"]] == ["s1"]


def test_failures_seen_by_one_gateway_are_not_sent_to_gateways() -> None:
    store = EvidenceStore()
    store.add_reports("g1", "a", [["s1", 5, 5]], 0.0)
    assert not store.updates_for_gateways(0.0, ["a"]) and len(store.updates_for_peers(0.0)) == 1
    assert not store.snapshot(0.0, "a")


def test_gateway_that_changes_its_node_is_not_counted_as_two_witnesses() -> None:
    first, second = EvidenceStore(), EvidenceStore()
    first.add_reports("g1", "a", [["s1", 5, 5]], 0.0)
    second.merge("one", first.updates_for_peers(0.0), 0.0)
    second.add_reports("g1", "a", [["s1", 5, 5]], 0.1)
    assert not second.updates_for_gateways(0.1, ["a"])
    first.remove_gateway("g1")
    second.merge("one", first.updates_for_peers(REFRESH_INTERVAL_S), REFRESH_INTERVAL_S)
    assert second.evidence("s1", REFRESH_INTERVAL_S)["a"].attempts < 5.1


def test_evidence_expires_after_its_lease() -> None:
    store = EvidenceStore()
    store.add_reports("g1", "a", [["s1", 50, 50]], 0.0)
    store.merge("two", [["s1", [["b", 50, 50, ["g2"], 1]]]], 0.0)
    store.sweep(LEASE_S)
    assert store.direct and store.relayed
    store.sweep(LEASE_S + 0.1)
    assert not store.direct and not store.relayed and not store.last_sent


@pytest.mark.parametrize("seed", range(5))
def test_nodes_converge_to_the_same_sums_despite_lost_messages(seed: int) -> None:
    """Messages are lost or reordered; only the last ones all arrive, after which the sums must agree."""
    print(f"seed {seed}")
    rng = Random(seed)
    stores = {name: EvidenceStore() for name in "xyz"}
    for tick in range(40):
        now = tick * 0.3
        for number in range(9):
            if rng.random() < 0.5 or tick > 35:
                attempts = rng.randint(1, 9)
                name = "xyz"[number % 3]
                stores[name].add_reports(
                    f"g{number}", f"zone{number % 2}", [["s1", rng.randint(0, attempts), attempts]], now
                )
        for name, store in stores.items():
            entries = store.updates_for_peers(now + (REFRESH_INTERVAL_S if tick == 39 else 0.0))
            for other in "xyz".replace(name, ""):
                if tick == 39 or rng.random() < 0.5:
                    stores[other].merge(name, entries, now)
    sums: list[dict[str, float]] = []
    for store in stores.values():
        store.sweep(now)
        sums.append({zone: round(counts.attempts, 1) for zone, counts in store.evidence("s1", now).items()})
    first = sums[0]
    assert all(other_sums.keys() == first.keys() for other_sums in sums)
    for other_sums in sums:
        assert other_sums == pytest.approx(first, rel=0.25)


@pytest.mark.parametrize("entry", [None, ["s1"], ["s1", 5, 4], ["s1", "x", 1], ["s1", -1, 1]])
def test_malformed_evidence_is_rejected(entry: object) -> None:
    with pytest.raises(EvidenceError):
        EvidenceStore().add_reports("g1", "a", [entry], 0.0)  # type: ignore[list-item]
    with pytest.raises(EvidenceError):
        decode_entry(["s1", [["a", 2, 1, [], 0]]] if entry is None else entry)
