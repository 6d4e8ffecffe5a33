"""The types that barleyhub.choice takes and gives: settings, events, actions.

All times are seconds, as floats; clock times share one arbitrary origin. An
event goes into ``Gateway.handle(event, now)``; a list of actions comes out.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """What may be done with a request that may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop repeats of one keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Code(Enum):
    """How an attempt, a probe or a counter call ended."""

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
    """A class of requests."""

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
        """Times are above 0, and a keyed class needs a window in which its repeats are dropped."""
        if not (0 < self.aim < math.inf and 0 < self.give_up < math.inf):
            raise ValueError(f"class {self.name!r}: its times must be above 0")
        if self.repeat is Repeat.KEYED and self.repeat_window <= 0:
            raise ValueError(f"class {self.name!r}: repeat_window must be above 0")


@dataclass(slots=True, frozen=True)
class PlanSettings:
    """A plan and its quotas; a figure of 0 means no such quota."""

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
        """A figure below 0 cannot hold."""
        for name in ("rate", "burst", "concurrency", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
            if getattr(self, name) < 0:
                raise ValueError(f"plan {self.name!r}: {name} is negative")


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start."""

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
        """A class or plan may stand only once, and without a class or an attempt nothing can be served."""
        if not self.classes or self.try_limit < 1:
            raise ValueError("no class, or no attempt is allowed")
        for what, items in (("classes", self.classes), ("plans", self.plans)):
            names = [item.name for item in items]
            if len(names) != len(set(names)):
                raise ValueError(f"{what}: a name stands twice")


class ServerState(Enum):
    """What discovery says of a server."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of a server list; ``launched`` is 0 for the distant past."""

    server: str
    state: ServerState
    zone: str = ""
    kind: str = ""
    cell: int = 0
    size: float = 1.0
    launched: float = 0.0


class ListForm(Enum):
    """How a list relates to the one held."""

    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class ServerList:
    """Discovery told of servers, or (LOST) that an ask failed."""

    form: ListForm
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client's try has come in; ``left`` is how long its client waits."""

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
    """An attempt is over; ``closed`` says the request has its answer."""

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
    """A stream flows; the request is bound to this attempt."""

    request: str
    attempt: int
    server: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer asked for by ``SetTimer``."""

    mark: int


@dataclass(slots=True, frozen=True)
class ProbeAnswer:
    """The answer to one ``Probe``."""

    server: str
    code: Code
    took: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class CountAnswer:
    """The answer to one ``AddCount``; ``total`` only with ``Code.OK``.

    ``late``: the call was told as timed out before, and its total has come after all.
    """

    name: int
    code: Code
    took: float
    total: float = 0.0
    late: bool = False


@dataclass(slots=True, frozen=True)
class Rules:
    """Other rules from now on: all plans, the customers that are blocked, the servers set aside.

    Requests in hand go on under those that they came under.
    """

    plans: tuple[PlanSettings, ...]
    blocked: Container[str] = ()
    aside: Container[str] = ()


@dataclass(slots=True, frozen=True)
class Maintenance:
    """Servers taken out by hand, and those that were put back: when they were taken out, and put back."""

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
    """Send an attempt; ``timeout`` None lasts until the client gives up."""

    request: str
    server: str
    timeout: float | None = None


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not served, and repeating is harmless."""

    request: str
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Call off an attempt that is out."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a ``TimerFired``."""

    after: float
    mark: int


@dataclass(slots=True, frozen=True)
class AddCount:
    """Add to a shared count and read its total."""

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
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | AddCount | Probe | Follow | Log
