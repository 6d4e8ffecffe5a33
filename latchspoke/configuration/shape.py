"""Types of the configuration documents. Times are in seconds; null is the same as a missing field.

Only the fields that ``check`` requires are required here. Unknown fields are allowed and kept.
"""

from __future__ import annotations

from typing import NotRequired, TypedDict


class MatchCriteria(TypedDict):
    """The paths that a rule matches."""

    pathPrefix: str


class WeightedService(TypedDict):
    """A service of a weighted split."""

    service: str
    weight: float


class SharedRecordDocument(TypedDict, total=False):
    """How session records are shared between gateways (docs/travel.md)."""

    lookUpS: float | None  # longest time that a request waits for the record
    whenLost: str | None  # placement | refuse
    exchangeFrom: str | None  # header:NAME that is the same in all attempts of an exchange
    askPath: str | None  # path at which a server reports the outcome of an attempt


class Affinity(TypedDict):
    """Session affinity of callers to servers (docs/affinity.md)."""

    callerFrom: list[str]  # header:NAME | cookie:NAME | path:NUMBER | tenant; the first one present
    near: NotRequired[str | None]  # zone | region; empty: no preference
    exchangeS: NotRequired[float | None]
    travels: NotRequired[SharedRecordDocument | None]


class Action(TypedDict):
    """Where the requests of a rule are sent, with their limits."""

    service: NotRequired[str | None]
    weightedSplit: NotRequired[list[WeightedService] | None]
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
    matchCriteria: MatchCriteria
    actionSpec: Action


class Listener(TypedDict):
    """A host and its routes."""

    host: str
    ruleSet: list[Rule]


class ServiceDocument(TypedDict):
    """A service."""

    name: str
    healthPath: NotRequired[str | None]
    connectionLimit: NotRequired[int | None]
    coldStartS: NotRequired[float | None]
    coldPerS: NotRequired[float | None]


class TenantDocument(TypedDict):
    """A tenant."""

    name: str
    apiKeys: NotRequired[list[str] | None]
    priority: NotRequired[int | None]
    ratePerS: NotRequired[float | None]
    burstSize: NotRequired[float | None]
    homeRegions: NotRequired[list[str] | None]


class LimitsDocument(TypedDict, total=False):
    """Limits for client connections."""

    maxHeaderBytes: int | None
    maxBodyBytes: int | None
    headerTimeoutS: float | None
    idleTimeoutS: float | None


class Document(TypedDict):
    """A complete configuration."""

    version: str  # eight hexadecimal digits
    baseVersion: NotRequired[str | int | None]
    listenerList: list[Listener]
    clusterList: list[ServiceDocument]
    tenants: NotRequired[list[TenantDocument] | None]
    limits: NotRequired[LimitsDocument | None]


class Upsert(TypedDict, total=False):
    """Items that a patch adds or replaces, by name."""

    listenerList: list[Listener]
    clusterList: list[ServiceDocument]
    tenants: list[TenantDocument]
    limits: LimitsDocument


class Remove(TypedDict, total=False):
    """Names of the items that a patch removes."""

    routes: list[str]
    services: list[str]
    tenants: list[str]


class Patch(TypedDict):
    """The body of ``configuration.modify``."""

    version: str
    baseVersion: NotRequired[str | int | None]
    upsert: NotRequired[Upsert | None]
    remove: NotRequired[Remove | None]
