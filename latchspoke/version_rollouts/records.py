"""The replicated record of a version rollout and its transitions. Pure and deterministic.

A rollout starts with a small share of the service's requests (the trial). It ends in one of two ways: its
share is raised to all requests and it is completed, or it is reverted. A record that has ended stays, as it
tells gateways which version serves.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import Any

import msgspec

FULL_SHARE = 1.0
MAX_DURATION_S = 7 * 86_400.0
MAX_VERSION_LENGTH = 200  # characters


class RolloutState(StrEnum):
    """The state of a rollout, in the names of the API."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


class RolloutOrder(msgspec.Struct, frozen=True):
    """What the operator asks for."""

    service: str
    target_version: str
    duration_s: float


class RolloutRecord(msgspec.Struct, frozen=True):
    """The newest rollout of a service."""

    rollout_id: int  # log index of its order; later commands about the rollout must name it
    target_version: str
    duration_s: float
    state: RolloutState
    share: float  # of the service's requests, for the target version
    changed_index: int  # log index of the last change
    reason: str = ""  # why it ended

    @property
    def in_progress(self) -> bool:
        """Whether the rollout has not ended."""
        return self.state is RolloutState.IN_PROGRESS

    @property
    def shifted(self) -> bool:
        """Whether all requests are to go to the target version."""
        return self.share >= FULL_SHARE

    def matches(self, order: RolloutOrder) -> bool:
        """Whether the order asks for this very rollout."""
        return (self.target_version, self.duration_s) == (order.target_version, order.duration_s)


class TransitionError(Exception):
    """The command does not apply to the current record; the message is one line."""


def parse_order(fields: object) -> RolloutOrder:
    """The order in the body of a call. Raises ValueError with one line."""
    if not isinstance(fields, dict):
        raise ValueError("an order of a rollout is an object")
    service, version, duration_s = (
        fields.get("service"),
        fields.get("targetVersion"),
        fields.get("durationS"),
    )
    if not isinstance(service, str) or not service:
        raise ValueError("service: must be the name of a service")
    if not isinstance(version, str) or not 0 < len(version) <= MAX_VERSION_LENGTH:
        raise ValueError(f"targetVersion: must be a text of 1 to {MAX_VERSION_LENGTH} characters")
    if isinstance(duration_s, bool) or not isinstance(duration_s, int | float):
        raise ValueError("durationS: must be a number of seconds")
    if not math.isfinite(duration_s) or not 0 < duration_s <= MAX_DURATION_S:
        raise ValueError(f"durationS: must be above 0 and at most {MAX_DURATION_S:g}")
    return RolloutOrder(service, version, float(duration_s))


def begin_command(order: RolloutOrder, previous_id: int, share: float) -> dict[str, Any]:
    """The command that begins a rollout. ``previous_id``: of the service's ended one, 0 if there is none."""
    return {
        "do": "rollout-begin",
        "service": order.service,
        "target": order.target_version,
        "duration": order.duration_s,
        "previous": previous_id,
        "share": share,
    }


def advance_command(service: str, rollout_id: int, share: float) -> dict[str, Any]:
    """The command that raises the share of a rollout."""
    return {"do": "rollout-advance", "service": service, "rollout": rollout_id, "share": share}


def end_command(service: str, rollout_id: int, state: RolloutState, reason: str) -> dict[str, Any]:
    """The command that ends a rollout."""
    return {
        "do": "rollout-end",
        "service": service,
        "rollout": rollout_id,
        "state": str(state),
        "reason": reason,
    }


def begin(current: RolloutRecord | None, index: int, command: dict[str, Any]) -> RolloutRecord | None:
    """The record after a begin; None if this very rollout was begun before. Raises TransitionError."""
    order = parse_order(
        {
            "service": command["service"],
            "targetVersion": command["target"],
            "durationS": command["duration"],
        }
    )
    share = float(command["share"])
    if not 0 < share <= FULL_SHARE:
        raise ValueError("share: must be above 0 and at most 1")
    if current is not None and (current.in_progress or current.rollout_id != command["previous"]):
        if current.matches(order):
            return None
        raise TransitionError(f"a rollout to {current.target_version!r:.60} is {current.state}")
    return RolloutRecord(
        index, order.target_version, order.duration_s, RolloutState.IN_PROGRESS, share, index
    )


def advance(current: RolloutRecord | None, index: int, command: dict[str, Any]) -> RolloutRecord | None:
    """The record with a raised share; None if it has that share or more. Raises TransitionError."""
    record = require_rollout(current, command)
    share = float(command["share"])
    if not record.in_progress:
        raise TransitionError(f"the rollout is {record.state}")
    if share <= record.share:
        return None
    return msgspec.structs.replace(record, share=min(share, FULL_SHARE), changed_index=index)


def end(current: RolloutRecord | None, index: int, command: dict[str, Any]) -> RolloutRecord | None:
    """The record of an ended rollout; None if it has ended so before. Raises TransitionError."""
    record = require_rollout(current, command)
    state = RolloutState(command["state"])
    if state is RolloutState.IN_PROGRESS:
        raise ValueError("a rollout ends completed or reverted")
    if record.state is state:
        return None
    if not record.in_progress:
        raise TransitionError(f"the rollout is {record.state}")
    if state is RolloutState.COMPLETED and not record.shifted:
        raise TransitionError("other versions still serve requests")
    share = FULL_SHARE if state is RolloutState.COMPLETED else 0.0
    return msgspec.structs.replace(
        record, state=state, share=share, changed_index=index, reason=str(command.get("reason", ""))
    )


def require_rollout(current: RolloutRecord | None, command: dict[str, Any]) -> RolloutRecord:
    """The current record if the command names it. Raises TransitionError."""
    if current is None or current.rollout_id != command["rollout"]:
        raise TransitionError(f"rollout {command['rollout']} is not the newest of its service")
    return current


TRANSITIONS = {"rollout-begin": begin, "rollout-advance": advance, "rollout-end": end}


def encode_records(records: dict[str, RolloutRecord]) -> dict[str, Any]:
    """The message form of all records, by service."""
    return {service: msgspec.to_builtins(record) for service, record in records.items()}


def decode_records(message: object) -> dict[str, RolloutRecord]:
    """The records of ``encode_records``. Raises msgspec.ValidationError, a ValueError."""
    return msgspec.convert(message, dict[str, RolloutRecord])
