"""Records exchanged between agents and the command-line tool, interface version 1.

A field may be added with a default; removing a field or changing its meaning needs a new version. Both
sides send their version in the header ``Latchspoke-Interface``. Times are Unix seconds; durations are
seconds.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

INTERFACE_VERSION = 1
T = TypeVar("T")
INTERFACE_HEADER = "Latchspoke-Interface"
ACTIONS = ("start", "drain", "restart", "reload")


class Record(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=False):
    """Base of all records: immutable, and decoding ignores unknown fields."""


class ClaimInfo(Record, frozen=True, omit_defaults=True):
    """The current claim on an instance."""

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
    """One agent; ``store`` says why it accepts no operations, if its store is unusable."""

    name: str
    host: str
    version: str
    at: float
    interface: int = INTERFACE_VERSION
    revision: int = 0
    store: str = ""
    certificate_until: float = 0.0


class Listing(Record, frozen=True, omit_defaults=True):
    """An agent and all of its instances."""

    agent: AgentStatus
    instances: list[InstanceStatus] = []


class ViewAnswer(Record, frozen=True, omit_defaults=True):
    """Gateways' own views by instance; ``missing`` gives the reason for those without one."""

    views: dict[str, dict[str, Any]] = {}
    missing: dict[str, str] = {}


class OperationPlan(Record, frozen=True, omit_defaults=True):
    """The plan of an operation, stored by each agent involved before the first step."""

    id: str
    action: str
    operator: str
    created: float
    waves: list[list[str]]  # of IDs, agent/instance
    least_available: int = 0
    pause: float = 0.0
    step_limit: float = 60.0
    failures: int = 0
    reason: str = ""
    members: list[str] = []  # IDs of the instances that count towards ``least_available``


class OperationStatus(Record, frozen=True, omit_defaults=True):
    """An operation as recorded by one agent, with the steps on its instances."""

    plan: OperationPlan
    state: str = "open"  # open, interrupted (by an operator), done, stopped, abandoned
    detail: str = ""
    steps: list[StepInfo] = []


class Operations(Record, frozen=True, omit_defaults=True):
    """All operations that an agent has recorded."""

    operations: list[OperationStatus] = []


class CloseOperation(Record, frozen=True, omit_defaults=True):
    """The final state of an operation, sent by the tool."""

    state: str
    detail: str = ""


class ClaimRequest(Record, frozen=True, omit_defaults=True):
    """Claims instances; ``fence`` maps the duty under which this is requested, if any, to its token."""

    instances: list[str]
    operation: str
    ttl: float = 30.0
    fence: dict[str, int] = {}


class TokenRequest(Record, frozen=True, omit_defaults=True):
    """Renews or releases claims."""

    tokens: dict[str, int]
    ttl: float = 30.0


class Claimed(Record, frozen=True, omit_defaults=True):
    """The claims granted or renewed by a request."""

    claims: list[ClaimInfo]


class StepRequest(Record, frozen=True, omit_defaults=True):
    """Starts ``action`` on an instance under a claim; ``limit`` is the time limit in seconds."""

    operation: str
    instance: str
    action: str
    token: int
    limit: float = 60.0
    fence: dict[str, int] = {}


class Event(Record, frozen=True, omit_defaults=True):
    """One event in an agent's store."""

    revision: int
    at: float
    kind: str
    instance: str = ""
    operation: str = ""
    operator: str = ""
    detail: str = ""


class Events(Record, frozen=True, omit_defaults=True):
    """Events after a requested revision; ``revision`` is the one to continue from."""

    events: list[Event]
    revision: int


class Problem(Record, frozen=True, omit_defaults=True):
    """The body of every error response; ``code`` is stable, ``error`` is one line for operators."""

    code: str
    error: str
    claim: ClaimInfo | None = None


def decode(kind: type[T], data: bytes) -> T:
    """Decodes a JSON record; raises ``msgspec.DecodeError``, whose message names the invalid field."""
    return msgspec.json.decode(data, type=kind)


encode = msgspec.json.encode
