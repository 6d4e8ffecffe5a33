"""The replicated record of a rollout: every order of commands up to a depth, retries included."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from latchspoke.configstore.config_state import CONFLICT, INVALID, REPEATED, TAKEN, ConfigState
from latchspoke.configstore.copies import make_copy, restore_from_copy
from latchspoke.configstore.simulation import merge_patch
from latchspoke.version_rollouts.records import (
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    advance_command,
    begin_command,
    end_command,
    parse_order,
)

ORDER_V2, ORDER_V3 = RolloutOrder("saldo", "v2", 14.0), RolloutOrder("saldo", "v3", 14.0)
TRIAL_SHARE = 0.08
DEPTH = 6


def apply(state: ConfigState, command: dict[str, Any]) -> str:
    return state.apply(state.index + 1, command).kind


def commands(known: RolloutRecord | None) -> Iterator[dict[str, Any]]:
    """What operators and leaders may send while they know this record, which may be out of date."""
    rollout_id = known.rollout_id if known is not None else 0
    yield begin_command(ORDER_V2, rollout_id, TRIAL_SHARE)
    yield begin_command(ORDER_V3, rollout_id, TRIAL_SHARE)
    if known is not None:
        yield advance_command("saldo", rollout_id, 1.0)
        yield end_command("saldo", rollout_id, RolloutState.COMPLETED, "no fault")
        yield end_command("saldo", rollout_id, RolloutState.REVERTED, "fails")


def check_step(before: RolloutRecord | None, after: RolloutRecord | None, kind: str) -> None:
    if kind != TAKEN:
        assert after == before  # a refused or repeated command changes nothing
        return
    assert after is not None
    if before is None or after.rollout_id != before.rollout_id:
        assert before is None or not before.in_progress  # one rollout of a service at a time
        assert after.in_progress and after.share == TRIAL_SHARE
        return
    assert before.in_progress  # what has ended stays as it is
    assert after.target_version == before.target_version
    if after.state is RolloutState.COMPLETED:
        assert before.shifted  # else the old servers would stop while requests go to them
    assert after.share >= before.share or after.state is RolloutState.REVERTED


def test_every_sequence_of_commands_with_old_and_new_knowledge() -> None:
    visited = 0

    def visit(data: bytes, known: tuple[RolloutRecord | None, ...], depth: int) -> None:
        nonlocal visited
        for view in set(known):
            for command in commands(view):
                state = ConfigState(merge_patch)
                state.load(data)
                before = state.rollouts.get("saldo")
                kind = apply(state, command)
                after = state.rollouts.get("saldo")
                check_step(before, after, kind)
                assert apply(state, command) in (REPEATED, CONFLICT)  # a retry is never taken twice
                assert state.rollouts.get("saldo") == after
                visited += 1
                if kind == TAKEN and depth > 1:
                    visit(state.dump(), (*known[-1:], after), depth - 1)

    visit(ConfigState(merge_patch).dump(), (None,), DEPTH)
    assert visited > 300


def test_repeated_order_is_acknowledged_and_another_version_meanwhile_is_refused() -> None:
    state = ConfigState(merge_patch)
    assert apply(state, begin_command(ORDER_V2, 0, TRIAL_SHARE)) == TAKEN
    assert apply(state, begin_command(ORDER_V2, 0, TRIAL_SHARE)) == REPEATED
    verdict = state.apply(9, begin_command(ORDER_V3, 0, TRIAL_SHARE))
    assert (verdict.kind, verdict.reason) == (CONFLICT, "a rollout to 'v2' is in_progress")


def test_step_of_a_deposed_leader_does_not_touch_the_next_rollout() -> None:
    state = ConfigState(merge_patch)
    apply(state, begin_command(ORDER_V2, 0, TRIAL_SHARE))
    first = state.rollouts["saldo"].rollout_id
    apply(state, end_command("saldo", first, RolloutState.REVERTED, "fails"))
    apply(state, begin_command(ORDER_V2, first, TRIAL_SHARE))
    for command in (
        advance_command("saldo", first, 1.0),
        end_command("saldo", first, RolloutState.COMPLETED, "no fault"),
    ):
        assert apply(state, command) == CONFLICT
    assert state.rollouts["saldo"].in_progress and not state.rollouts["saldo"].shifted


def test_rollouts_survive_a_snapshot_and_a_restored_copy() -> None:
    state = ConfigState(merge_patch)
    apply(state, begin_command(ORDER_V2, 0, TRIAL_SHARE))
    restarted = ConfigState(merge_patch)
    restarted.load(state.dump())
    assert restarted.rollouts == state.rollouts
    copy = make_copy(state, state.index, "core-a-1")
    rebuilt = ConfigState(merge_patch)
    rebuilt.load(restore_from_copy(copy, ["10.0.0.1:7600"]).snapshot.body)
    record = rebuilt.rollouts["saldo"]
    assert record.target_version == "v2" and record.in_progress
    assert record.rollout_id == record.changed_index == rebuilt.index > state.index


@pytest.mark.parametrize(
    "command",
    [
        begin_command(ORDER_V2, 0, 0.0),
        {**begin_command(ORDER_V2, 0, TRIAL_SHARE), "target": ""},
        {"do": "rollout-begin"},
        {**end_command("saldo", 1, RolloutState.REVERTED, ""), "state": "in_progress"},
    ],
)
def test_malformed_command_changes_nothing(command: dict[str, Any]) -> None:
    state = ConfigState(merge_patch)
    apply(state, begin_command(ORDER_V2, 0, TRIAL_SHARE)) if command["do"] == "rollout-end" else None
    before = state.dump()
    assert apply(state, command) == INVALID and state.dump() == before


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ([], "an order of a rollout is an object"),
        ({"targetVersion": "v2", "durationS": 3}, "service: must be the name of a service"),
        ({"service": "s", "durationS": 3}, "targetVersion: must be a text of 1 to 200 characters"),
        ({"service": "s", "targetVersion": "v2"}, "durationS: must be a number of seconds"),
        ({"service": "s", "targetVersion": "v2", "durationS": True}, "durationS: must be a number"),
        ({"service": "s", "targetVersion": "v2", "durationS": 0}, "durationS: must be above 0"),
    ],
)
def test_invalid_order_is_told_in_one_line(fields: object, reason: str) -> None:
    with pytest.raises(ValueError, match=reason):
        parse_order(fields)
