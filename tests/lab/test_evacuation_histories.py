"""Histories of two operators, lost answers, frozen, killed and cut-off nodes, and leader changes.

All of them are played by hand (``python -m latchspoke.lab.system.evacuation_histories all``); here a sample.
"""

from __future__ import annotations

from typing import Any

import pytest

from latchspoke.configstore.config_state import ConfigState
from latchspoke.configstore.entry_ages import AgeBounds, EntryAge
from latchspoke.configstore.replica import Replica
from latchspoke.controlplane import evacuation_orders
from latchspoke.controlplane.evacuations import CallKind, classify_call
from latchspoke.lab.system.evacuation_histories import History, Loss, NodeTrouble, draw, play

SAMPLES, HISTORIES_IN_SAMPLE = 4, 16
RETRIED_FINISH = History("nested", (0, 1, 2, 0), Loss(2, 1, True), None)
PAUSED_NODE = History("nested", (0, 1, 2, 0), None, NodeTrouble("freeze", 1, 0, -0.4, 3.5))
ALL_KILLED = History("soon", (0, 1, 2, 0), None, NodeTrouble("kill all", 0, 1, -2.0, 0.3))
LATE_RETRY = History("alone", (0, 1, 2, 0), Loss(0, 3, True), None)


@pytest.mark.parametrize("sample", range(SAMPLES))
def test_no_evacuation_is_lost_or_left_behind(sample: int) -> None:
    """EVAC (review/4, review/5): a retry ended another evacuation, and one was taken for a retry."""
    for history in draw(HISTORIES_IN_SAMPLE, 100 + sample):
        assert play(history) == [], str(history)


@pytest.mark.parametrize("history", [RETRIED_FINISH, PAUSED_NODE, ALL_KILLED, LATE_RETRY], ids=str)
def test_histories_of_the_faults_found(history: History) -> None:
    assert play(history) == []


def test_histories_find_a_finish_window_that_is_too_short(monkeypatch: pytest.MonkeyPatch) -> None:
    def classify(
        is_begin: bool, count: int, age: AgeBounds | None, waited_s: float, ack_s: float
    ) -> CallKind:
        return classify_call(is_begin, count, age, waited_s, 0.75 * ack_s if not is_begin else ack_s)

    monkeypatch.setattr(evacuation_orders, "classify_call", classify)
    assert any("lost" in error for error in play(RETRIED_FINISH))


def test_histories_find_nodes_that_trust_their_own_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    async def own_age(self: Replica, index: int, limit: float) -> AgeBounds:
        age: EntryAge = self.node.receipt_times.age(index, self.clock())
        return AgeBounds(age.known_for_s, age.known_for_s)

    monkeypatch.setattr(Replica, "entry_age", own_age)
    for history in (PAUSED_NODE, ALL_KILLED):
        assert any("lost" in error for error in play(history))


def test_histories_find_a_retry_that_counts_as_another_call(monkeypatch: pytest.MonkeyPatch) -> None:
    def classify(is_begin: bool, count: int, *more: Any) -> CallKind:
        return CallKind.ANOTHER if count else CallKind.FIRST

    monkeypatch.setattr(evacuation_orders, "classify_call", classify)
    assert any("are left" in error for error in play(LATE_RETRY))


def test_histories_find_a_finish_that_is_acknowledged_and_not_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both finishes are decided on the same state, and the second one changes nothing."""
    set_zone_evacuated = ConfigState.set_zone_evacuated

    def without_call(self: ConfigState, index: int, command: Any, evacuate: bool) -> str:
        fields = {name: value for name, value in command.items() if name != "call"}
        return set_zone_evacuated(self, index, fields, evacuate)

    monkeypatch.setattr(ConfigState, "set_zone_evacuated", without_call)
    history = History("same finishes", (0, 1, 1, 2), None, None)
    assert any("are left" in error for error in play(history))
    monkeypatch.undo()
    assert play(history) == []
