"""Evidence under leases on control machines: lost, doubled, late and moved words."""

from __future__ import annotations

from random import Random

import pytest

from barleyhub.line.examiner import together
from latchspoke.outliers.evidence import LEASE, RENEW, EvidenceError, Ledger, read


def test_words_told_twice_late_or_by_two_ways_count_once() -> None:
    one, two = Ledger(), Ledger()
    for _ in range(3):
        one.heard("g1", "a", [["s1", 2, 5]], 0.0)
    two.heard("g2", "b", [["s1", 1, 5]], 0.0)
    for _ in range(2):
        one.merge("two", two.to_peers(0.0) or [], 0.0)
    found = one.evidence("s1", 0.0)
    assert (found["a"].bad, found["b"].bad) == (2, 1)
    assert together(found.values()).witnesses == {"g1", "g2"} and together(found.values()).zones == 2
    assert [read(e)[0] for e in one.to_gateways(0.0, ["a"])["a"]] == ["s1"]


def test_what_one_gateway_saw_stays_with_control_machines() -> None:
    ledger = Ledger()
    ledger.heard("g1", "a", [["s1", 5, 5]], 0.0)
    assert not ledger.to_gateways(0.0, ["a"]) and len(ledger.to_peers(0.0)) == 1
    assert not ledger.whole(0.0, "a")


def test_a_gateway_that_follows_another_machine_now_is_no_second_witness() -> None:
    one, two = Ledger(), Ledger()
    one.heard("g1", "a", [["s1", 5, 5]], 0.0)
    two.merge("one", one.to_peers(0.0), 0.0)
    two.heard("g1", "a", [["s1", 5, 5]], 0.1)
    assert not two.to_gateways(0.1, ["a"])
    one.left("g1")
    two.merge("one", one.to_peers(RENEW), RENEW)
    assert two.evidence("s1", RENEW)["a"].all < 5.1


def test_leases_end() -> None:
    ledger = Ledger()
    ledger.heard("g1", "a", [["s1", 50, 50]], 0.0)
    ledger.merge("two", [["s1", [["b", 50, 50, ["g2"], 1]]]], 0.0)
    ledger.sweep(LEASE)
    assert ledger.first and ledger.second
    ledger.sweep(LEASE + 0.1)
    assert not ledger.first and not ledger.second and not ledger.told


@pytest.mark.parametrize("seed", range(5))
def test_machines_come_to_the_same_sums_whatever_is_lost_on_the_way(seed: int) -> None:
    """Words are lost and come in any order; the last ones get through, and then all know the same."""
    print(f"seed {seed}")
    draw = Random(seed)
    ledgers = {name: Ledger() for name in "xyz"}
    for tick in range(40):
        now = tick * 0.3
        for number in range(9):
            if draw.random() < 0.5 or tick > 35:
                tries = draw.randint(1, 9)
                name = "xyz"[number % 3]
                ledgers[name].heard(
                    f"g{number}", f"zone{number % 2}", [["s1", draw.randint(0, tries), tries]], now
                )
        for name, ledger in ledgers.items():
            told = ledger.to_peers(now + (RENEW if tick == 39 else 0.0))
            for other in "xyz".replace(name, ""):
                if tick == 39 or draw.random() < 0.5:
                    ledgers[other].merge(name, told, now)
    sums: list[dict[str, float]] = []
    for ledger in ledgers.values():
        ledger.sweep(now)
        sums.append({z: round(s.all, 1) for z, s in ledger.evidence("s1", now).items()})
    first = sums[0]
    assert all(each.keys() == first.keys() for each in sums)
    for each in sums:
        assert each == pytest.approx(first, rel=0.25)


@pytest.mark.parametrize("entry", [None, ["s1"], ["s1", 5, 4], ["s1", "x", 1], ["s1", -1, 1]])
def test_what_can_t_be_read_is_refused(entry: object) -> None:
    with pytest.raises(EvidenceError):
        Ledger().heard("g1", "a", [entry], 0.0)  # type: ignore[list-item]
    with pytest.raises(EvidenceError):
        read(["s1", [["a", 2, 1, [], 0]]] if entry is None else entry)
