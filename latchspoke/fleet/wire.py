"""The schema of what agents and the tool tell each other: msgspec records, interface version 1.

A field may be added with a default; a field that goes or changes its meaning needs a new version. Both
sides say theirs in the header ``Latchspoke-Interface``, and the agent names the versions it speaks.
Times are Unix seconds; ages and durations are seconds.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

INTERFACE_VERSION = 1
T = TypeVar("T")
INTERFACE_HEADER = "Latchspoke-Interface"
ACTIONS = ("start", "drain", "restart", "reload")


class Record(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=False):
    """What all of them share: values that are not changed, and unknown fields passed over."""


class ClaimInfo(Record, frozen=True, omit_defaults=True):
    """Who holds an instance."""

    instance: str
    token: int
    holder: str
    operation: str
    since: float
    expires: float


class StepInfo(Record, frozen=True, omit_defaults=True):
    """One step of an operation on one instance: ``doing``, ``done`` or ``failed``."""

    operation: str
    instance: str
    action: str
    state: str
    token: int = 0
    since: float = 0.0
    until: float = 0.0
    ended_at: float = 0.0
    base_launch: int = 0
    detail: str = ""


class InstanceStatus(Record, frozen=True, omit_defaults=True):
    """One instance as its agent knows it."""

    name: str
    zone: str
    state: str
    phase: str
    goal: str
    since: float
    listen: str = ""
    pid: int = 0
    launch: int = 0
    end: str = "none"
    end_detail: str = ""
    ended_at: float = 0.0
    crashes: int = 0
    retry_at: float = 0.0
    kill_at: float = 0.0
    answered_at: float = 0.0
    version: str = ""
    settings: str = ""
    taken_up: bool | None = None
    claim: ClaimInfo | None = None
    step: StepInfo | None = None


class AgentStatus(Record, frozen=True, omit_defaults=True):
    """One agent; ``store`` says why it takes no operations, if it takes none."""

    name: str
    host: str
    version: str
    at: float
    interface: int = INTERFACE_VERSION
    revision: int = 0
    store: str = ""
    certificate_until: float = 0.0


class Listing(Record, frozen=True, omit_defaults=True):
    """All that an agent has, in one answer."""

    agent: AgentStatus
    instances: list[InstanceStatus] = []


class ViewAnswer(Record, frozen=True, omit_defaults=True):
    """Gateways' own views by instance; ``missing`` says why there is none."""

    views: dict[str, dict[str, Any]] = {}
    missing: dict[str, str] = {}


class OperationPlan(Record, frozen=True, omit_defaults=True):
    """What one operation is to do, kept by each agent that it touches, before its first step."""

    id: str
    action: str
    operator: str
    created: float
    waves: list[list[str]]  # of ids, agent/instance
    least_available: int = 0
    pause: float = 0.0
    step_limit: float = 60.0
    failures: int = 0
    reason: str = ""
    members: list[str] = []  # ids that count towards what must be left available


class OperationStatus(Record, frozen=True, omit_defaults=True):
    """An operation as one agent recorded it: the plan, how it stands, and the steps on its instances."""

    plan: OperationPlan
    state: str = "open"  # open, interrupted (by a person), done, stopped, abandoned
    detail: str = ""
    steps: list[StepInfo] = []


class Operations(Record, frozen=True, omit_defaults=True):
    operations: list[OperationStatus] = []


class CloseOperation(Record, frozen=True, omit_defaults=True):
    """The tool's last word on an operation."""

    state: str
    detail: str = ""


class ClaimRequest(Record, frozen=True, omit_defaults=True):
    """``fence``: the token of the duty under which this is asked, by its name, if it is under one."""

    instances: list[str]
    operation: str
    ttl: float = 30.0
    fence: dict[str, int] = {}


class TokenRequest(Record, frozen=True, omit_defaults=True):
    """To renew or to give back."""

    tokens: dict[str, int]
    ttl: float = 30.0


class Claimed(Record, frozen=True, omit_defaults=True):
    claims: list[ClaimInfo]


class StepRequest(Record, frozen=True, omit_defaults=True):
    operation: str
    instance: str
    action: str
    token: int
    limit: float = 60.0
    fence: dict[str, int] = {}


class Event(Record, frozen=True, omit_defaults=True):
    """A line of an agent's record."""

    revision: int
    at: float
    kind: str
    instance: str = ""
    operation: str = ""
    operator: str = ""
    detail: str = ""


class Events(Record, frozen=True, omit_defaults=True):
    events: list[Event]
    revision: int


class Problem(Record, frozen=True, omit_defaults=True):
    """Every answer that is no success. ``code`` is for programs, ``error`` is one line for people."""

    code: str
    error: str
    claim: ClaimInfo | None = None


def decode(kind: type[T], data: bytes) -> T:
    """Raises ``msgspec.DecodeError``, whose text names the field and what stood there."""
    return msgspec.json.decode(data, type=kind)


encode = msgspec.json.encode
