"""Settings, events and actions of barleyhub.choice.

``Gateway.handle(event, now)`` takes an event and returns a list of actions. Times are seconds; clock times
share an arbitrary origin.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """Whether a request that may have run can be retried.

    SAFE: always. KEYED: for a while, as servers deduplicate by key. UNSAFE: never.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers among which retries of one keyed request are deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Code(Enum):
    """How an attempt, a probe or a counter call ended; MOOT: the attempt was not sent."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """A class of requests.

    ``aim`` is the target latency (s), ``give_up`` the time (s) that a client waits at most, ``worth`` and
    ``late_worth`` the value of an answer within and after the target latency.
    """

    name: str
    aim: float
    give_up: float
    repeat: Repeat
    group: Group = Group.ALL
    repeat_window: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        """Raises ValueError if a time is not above 0 or a keyed class has no window for retries."""
        if not (0 < self.aim < math.inf and 0 < self.give_up < math.inf):
            raise ValueError(f"class {self.name!r}: its times must be above 0")
        if self.repeat is Repeat.KEYED and self.repeat_window <= 0:
            raise ValueError(f"class {self.name!r}: repeat_window must be above 0")


@dataclass(slots=True, frozen=True)
class PlanSettings:
    """A plan and its quotas; a limit of 0 means that there is none.

    ``rate`` is in units per second and ``burst`` in units. ``over_cost`` and ``extra_worth`` are the cost and
    the value of a request admitted beyond the quota; no request is admitted beyond the ceiling.
    """

    name: str
    rate: float
    burst: float
    concurrency: int = 0
    pays: float = 1.0
    over_cost: float = 0.0
    extra_worth: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        """Raises ValueError if a limit is negative."""
        for name in ("rate", "burst", "concurrency", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
            if getattr(self, name) < 0:
                raise ValueError(f"plan {self.name!r}: {name} is negative")


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a gateway.

    A server started less than ``cold_time`` (s) ago is cold: it starts at ``start_capacity`` of a warm
    server's capacity and may get ``fall_multiple`` times what it can do within ``fall_time`` (s).
    """

    index: int
    gateways: int
    zone: str
    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    counter: bool = True
    counter_limit: float = 0.05
    counter_price: float = 0.0
    cost_after: bool = False
    meter_period: float = 0.0
    largest: float = 1.0
    try_limit: int = 1
    retry_after: bool = False
    max_retry_after: float = 0.0
    cancelling: bool = False
    probes: bool = False
    probe_price: float = 0.0
    cross_zone_price: float = 0.0
    second_copies: bool = False
    ask_discovery: bool = False
    ask_within: float = 10.0
    drain_grace: float = 0.0
    start_capacity: float = 1.0
    cold_time: float = 0.0
    fall_multiple: float = 1.0
    fall_time: float = 1.0
    reports: tuple[str, ...] = ()
    reports_in_answers: bool = False
    connect_limit: float = 0.25
    conn_idle: float = 15.0

    def __post_init__(self) -> None:
        """Raises ValueError on duplicate names, if there is no class, or if no attempt is allowed."""
        if not self.classes or self.try_limit < 1:
            raise ValueError("no class, or no attempt is allowed")
        for what, items in (("classes", self.classes), ("plans", self.plans)):
            names = [item.name for item in items]
            if len(names) != len(set(names)):
                raise ValueError(f"{what}: a name stands twice")


class ServerState(Enum):
    """State of a server in a server list."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of a server list; ``launched`` is its start time (s), or 0 if it is long past."""

    server: str
    state: ServerState
    zone: str = ""
    kind: str = ""
    cell: int = 0
    size: float = 1.0
    launched: float = 0.0


class ListForm(Enum):
    """What a server list contains.

    CHANGES: only changed servers. WHOLE: all servers. SAVED: all servers, from a saved copy. LOST: nothing,
    as discovery failed.
    """

    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class ServerList:
    """A server list from discovery, or (LOST) its failure."""

    form: ListForm
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request.

    ``left`` is how long its client waits (s), ``spread`` the number of gateways that serve the customer.
    """

    request: str
    customer: str
    service: str
    plan: str
    units: float
    left: float
    spread: int
    set_from: int = 0


@dataclass(slots=True, frozen=True)
class Outcome:
    """An attempt is over; ``closed`` if the request has its final answer."""

    request: str
    attempt: int
    server: str
    code: Code
    took: float
    closed: bool = False
    meter: float | None = None
    cost: float = 0.0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """The client has left."""

    request: str


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A stream has started; the request can't be retried any more."""

    request: str
    attempt: int
    server: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by ``SetTimer`` has fired."""

    mark: int


@dataclass(slots=True, frozen=True)
class ProbeAnswer:
    """The outcome of a ``Probe``."""

    server: str
    code: Code
    took: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class CountAnswer:
    """The outcome of an ``AddCount``; ``total`` is valid only with ``Code.OK``.

    ``late``: the call has been reported as timed out, and its total has arrived since.
    """

    name: int
    code: Code
    took: float
    total: float = 0.0
    late: bool = False


@dataclass(slots=True, frozen=True)
class Rules:
    """New rules: all plans, blocked customers, and servers that get no requests (``aside``).

    Requests in progress continue under the rules that they arrived under.
    """

    plans: tuple[PlanSettings, ...]
    blocked: Container[str] = ()
    aside: Container[str] = ()


@dataclass(slots=True, frozen=True)
class Maintenance:
    """Servers that an operator took out, and the times (taken out, put back) of those put back."""

    out: Container[str] = ()
    back: Mapping[str, tuple[float, float]] = field(default_factory=dict)


Event = (
    ServerList
    | Rules
    | Maintenance
    | Settings
    | Request
    | Outcome
    | Withdrawn
    | StreamStarted
    | TimerFired
    | ProbeAnswer
    | CountAnswer
)


@dataclass(slots=True, frozen=True)
class Send:
    """Send an attempt; without a ``timeout`` (s) it lasts until the client gives up."""

    request: str
    server: str
    timeout: float | None = None


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not served, and safe to retry, after ``retry_after`` (s) if it is given."""

    request: str
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a ``TimerFired`` after this time (s)."""

    after: float
    mark: int


@dataclass(slots=True, frozen=True)
class AddCount:
    """Add to a shared counter and read its total; the counter may be dropped after ``forget_after`` (s)."""

    name: int
    amount: float
    forget_after: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe a server."""

    server: str


@dataclass(slots=True, frozen=True)
class Follow:
    """Subscribe to changes of the server list."""


@dataclass(slots=True, frozen=True)
class Log:
    """A log line for operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | AddCount | Probe | Follow | Log
