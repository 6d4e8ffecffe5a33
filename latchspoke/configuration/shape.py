"""The operator's messages as they are written. Times are in seconds; null stands for a field left out.

Only what ``check`` demands is required; every field may be joined by others, which are kept.
"""

from __future__ import annotations

from typing import NotRequired, TypedDict


class Match(TypedDict):
    """Which paths a rule is for."""

    pathPrefix: str


class Share(TypedDict):
    """One service of a split."""

    service: str
    weight: float


class Travels(TypedDict, total=False):
    """The caller's record goes along to other gateways (docs/travel.md)."""

    lookUpS: float | None  # the longest that a request waits for it
    whenLost: str | None  # placement | refuse
    exchangeFrom: str | None  # header:NAME that a further try of the same exchange repeats
    askPath: str | None  # where a server of the route says what became of a try


class Affinity(TypedDict):
    """Keeps a caller at its server (docs/affinity.md); not of the operator's page."""

    callerFrom: list[str]  # header:NAME | cookie:NAME | path:NUMBER | tenant; the first that a request has
    near: NotRequired[str | None]  # zone | region; empty: the same on every gateway
    exchangeS: NotRequired[float | None]
    travels: NotRequired[Travels | None]


class Action(TypedDict):
    """Where the requests of a rule go, and within which limits."""

    service: NotRequired[str | None]
    weightedSplit: NotRequired[list[Share] | None]
    timeoutS: NotRequired[float | None]
    maxAttempts: NotRequired[int | None]
    homeRegions: NotRequired[list[str] | None]
    affinity: NotRequired[Affinity | None]


class Rule(TypedDict):
    """One route."""

    name: str
    routeKind: NotRequired[str | None]  # idempotent | non_idempotent
    targetLatencyS: NotRequired[float | None]
    priority: NotRequired[int | None]  # 0 is highest
    keyless: NotRequired[bool | None]
    matchCriteria: Match
    actionSpec: Action


class Listener(TypedDict):
    """A host and its routes."""

    host: str
    ruleSet: list[Rule]


class Cluster(TypedDict):
    """A service."""

    name: str
    healthPath: NotRequired[str | None]
    connectionLimit: NotRequired[int | None]
    coldStartS: NotRequired[float | None]
    coldPerS: NotRequired[float | None]


class Holder(TypedDict):
    """One of ``tenants``."""

    name: str
    apiKeys: NotRequired[list[str] | None]
    priority: NotRequired[int | None]
    ratePerS: NotRequired[float | None]
    burstSize: NotRequired[float | None]
    homeRegions: NotRequired[list[str] | None]


class Bounds(TypedDict, total=False):
    """``limits``."""

    maxHeaderBytes: int | None
    maxBodyBytes: int | None
    headerTimeoutS: float | None
    idleTimeoutS: float | None


class Document(TypedDict):
    """A whole configuration."""

    version: str  # eight hexadecimal digits
    baseVersion: NotRequired[str | int | None]
    listenerList: list[Listener]
    clusterList: list[Cluster]
    tenants: NotRequired[list[Holder] | None]
    limits: NotRequired[Bounds | None]


class Upsert(TypedDict, total=False):
    """Items that a change adds or replaces, by name."""

    listenerList: list[Listener]
    clusterList: list[Cluster]
    tenants: list[Holder]
    limits: Bounds


class Remove(TypedDict, total=False):
    """Names that a change removes."""

    routes: list[str]
    services: list[str]
    tenants: list[str]


class Patch(TypedDict):
    """The body of ``configuration.modify``."""

    version: str
    baseVersion: NotRequired[str | int | None]
    upsert: NotRequired[Upsert | None]
    remove: NotRequired[Remove | None]
