"""The state machine of the config store."""

from __future__ import annotations

import pytest

from latchspoke.configstore import config_state
from latchspoke.configstore.config_state import (
    CONFLICT,
    INVALID,
    REPEATED,
    STALE,
    TAKEN,
    Command,
    ConfigState,
)
from latchspoke.configstore.simulation import merge_patch, modify_command, replace_command


def kinds(machine: ConfigState, *commands: Command) -> list[str]:
    return [machine.apply(index, command).kind for index, command in enumerate(commands, machine.index + 1)]


def test_one_of_two_changes_on_a_base_is_accepted_and_its_retry_recognized() -> None:
    machine = ConfigState(merge_patch)
    assert kinds(
        machine, replace_command(3, 0, "a"), replace_command(5, 0, "b"), replace_command(3, 0, "a")
    ) == [
        TAKEN,
        CONFLICT,
        REPEATED,
    ]
    assert kinds(
        machine, modify_command(5, 3, x=1), modify_command(4, 5, x=2), replace_command(3, 0, "a")
    ) == [
        TAKEN,
        CONFLICT,
        REPEATED,
    ]
    assert machine.document == {"v": 3, "t": "a", "x": 1} and machine.version == 5


def test_change_rejected_before_its_base_stays_rejected() -> None:
    machine = ConfigState(merge_patch)
    assert kinds(machine, replace_command(7, 5), replace_command(5, 0), replace_command(7, 5)) == [
        CONFLICT,
        TAKEN,
        CONFLICT,
    ]
    assert kinds(machine, replace_command(7, 5, "another")) == [TAKEN]


@pytest.mark.parametrize(
    "command", [{}, {"do": "x"}, {"do": "replace"}, {**replace_command(1, 0), "doc": []},
                modify_command(1, 0, bad=1), 5, {**replace_command(1, 0), "version": "1"},
                {"do": "evacuate", "zone": 1}],
)  # fmt: skip
def test_malformed_command_changes_nothing(command: Command) -> None:
    machine = ConfigState(merge_patch)
    before = machine.dump()
    assert machine.apply(1, command).kind == INVALID
    assert machine.dump() == before


def test_delayed_command_does_not_override_a_later_one_for_the_zone() -> None:
    machine = ConfigState(merge_patch)
    zone = {"zone": "z", "after": 0}
    assert kinds(machine, {"do": "evacuate", **zone}, {"do": "evacuate", **zone}) == [TAKEN, REPEATED]
    assert machine.apply(5, {"do": "restore", "zone": "z", "after": 4}).kind == TAKEN
    assert machine.apply(6, {"do": "evacuate", **zone}).kind == STALE
    assert machine.evacuated == frozenset() and machine.index == 5


def test_two_evacuations_of_a_zone_end_independently() -> None:
    machine, other = ConfigState(merge_patch), ConfigState(merge_patch)
    begin, end = {"do": "evacuate", "zone": "z"}, {"do": "restore", "zone": "z"}
    beside = {**begin, "stand": 1}
    assert kinds(machine, begin, begin, beside, beside) == [TAKEN, REPEATED, TAKEN, REPEATED]
    other.load(machine.dump())
    assert other == machine and machine.evacuation_count("z") == 2
    last = {**end, "stand": 2}
    assert kinds(machine, last, last) == [TAKEN, REPEATED]
    assert machine.evacuated == {"z"}, "the other evacuation is still active"
    assert kinds(machine, {**end, "stand": 1}, end, beside) == [TAKEN, REPEATED, TAKEN]
    assert ConfigState(merge_patch, zones={"z": (5, True)}).evacuation_count("z") == 1, (
        "as older releases wrote it"
    )


def test_command_of_a_call_is_applied_once_and_only_to_the_state_it_was_decided_on() -> None:
    """A second finish decided on the same state was acknowledged and had no effect."""
    machine = ConfigState(merge_patch)
    begin, end = ({"do": what, "zone": "a", "after": 0} for what in ("evacuate", "restore"))
    assert kinds(machine, {**begin, "call": "c1"}, {**begin, "call": "c1"}) == [TAKEN, REPEATED]
    after = machine.zone_index("a")
    another = {**begin, "after": after, "stand": 1}
    assert kinds(machine, {**another, "call": "c2"}, {**another, "call": "c3"}) == [TAKEN, STALE]
    end |= {"after": machine.zone_index("a"), "stand": 2}
    assert kinds(machine, {**end, "call": "c4"}, {**end, "call": "c4"}) == [TAKEN, REPEATED]
    assert kinds(machine, {**end, "call": "c5"}) == [STALE] and machine.evacuation_count("a") == 1
    begun, finished = (machine.last_call_index("a", is_begin) for is_begin in (True, False))
    assert begun == after + 1 < finished == machine.zone_index("a")
    again = ConfigState(merge_patch)
    again.load(machine.dump())
    assert again == machine
    assert kinds(machine, {"do": "restore", "zone": "a"}) == [TAKEN], "by an older release"
    assert {machine.last_call_index("a", is_begin) for is_begin in (True, False)} == {machine.zone_index("a")}


def test_snapshot_holds_the_complete_state_within_the_history_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(config_state, "HISTORY_LIMIT", 10)
    machine, other = ConfigState(merge_patch), ConfigState(merge_patch)
    for n in range(30):
        machine.apply(2 * n + 1, replace_command(n + 1, n))
        machine.apply(2 * n + 2, replace_command(99, 50, str(n)))
    machine.apply(99, {"do": "evacuate", "zone": "z"})
    other.load(machine.dump())
    assert other == machine and len(machine.history) == len(machine.refused) == 10
