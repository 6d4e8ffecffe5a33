"""The table that the data plane asks for each request: route by host and path, tenant by key.

A table never changes: a new version is a new table, swapped in by one assignment.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from latchspoke.configuration.check import TIMEOUT_MOST, number
from latchspoke.configuration.shape import Action, Document, Rule

REPEATABLE = "idempotent"
HEALTH_PATH = "/health"
LOOK = 0.05  # s that a request waits for its caller's record, where the route says nothing
NO_HOMES: frozenset[str] = frozenset()


class Travels(msgspec.Struct, frozen=True):
    """How a caller's record goes along to other gateways; ``look`` in s."""

    look: float
    refuse: bool  # rather than go by placement, where the record can't be had
    exchange: bytes  # the header that names an exchange; empty: each try is one
    ask: str  # the path at which its servers say what became of a try; empty: nowhere


class Affinity(msgspec.Struct, frozen=True):
    """What a route's callers are told by, in order: what it is, and its name or number."""

    sources: tuple[tuple[str, bytes], ...]
    near: str
    exchange: float  # s
    travels: Travels | None = None

    def caller(self, headers: Mapping[bytes, bytes], path: bytes, tenant: str) -> bytes | None:
        """What tells the caller of a request, by the first source that it has."""
        for kind, name in self.sources:
            found = b""
            if kind == "header":
                found = headers.get(name, b"")
            elif kind == "cookie":
                for pair in headers.get(b"cookie", b"").split(b";"):
                    key, _, value = pair.strip().partition(b"=")
                    if key == name:
                        found = value
            elif kind == "path":
                parts = path.partition(b"?")[0].split(b"/")
                found = parts[int(name)] if int(name) < len(parts) else b""
            else:
                found = tenant.encode()
            if found:
                return found
        return None


class Route(msgspec.Struct, frozen=True):
    """Times in seconds. ``open`` needs no key; no ``homes`` means that every region may serve it."""

    name: str
    host: str
    prefix: str
    repeatable: bool
    aim: float
    timeout: float
    attempts: int
    priority: int
    open: bool
    homes: frozenset[str]
    split: tuple[tuple[str, float], ...]  # service and the upper end of its part of 0..1; the last ends at 1
    affinity: Affinity | None = None

    def service(self, draw: float) -> str:
        """The service for a draw from 0 up to, not including, 1."""
        for name, end in self.split:
            if draw < end:
                return name
        return self.split[-1][0]


class Tenant(msgspec.Struct, frozen=True):
    """``rate`` in requests a second, 0 for no limit; ``burst`` in requests on top of it.

    ``priority`` is None where the tenant has none, so that the route's holds.
    """

    name: str
    rate: float
    burst: float
    priority: int | None
    homes: frozenset[str]


class Service(msgspec.Struct, frozen=True):
    """``conn_limit`` 0: none told. ``cold_per_s`` 0: no bound while cold. ``cold_s`` in seconds."""

    name: str
    health: str
    conn_limit: int
    cold_s: float
    cold_per_s: float


class Limits(msgspec.Struct, frozen=True):
    """Bytes and seconds that a client is given."""

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class _Host:
    """The prefixes of one host."""

    __slots__ = ("longest", "odd", "prefixes")

    def __init__(self) -> None:
        self.prefixes: dict[bytes, Route] = {}
        self.longest = 0  # bytes
        self.odd: list[bytes] = []  # those that end without a slash, longest first

    def find(self, path: bytes) -> Route | None:
        get, end = self.prefixes.get, path.rfind(b"/", 0, self.longest) + 1
        found = None
        while end > 0:
            found = get(path[:end])
            if found is not None:
                break
            end = path.rfind(b"/", 0, end - 1) + 1
        for prefix in self.odd:
            if len(prefix) <= end:
                break
            if path.startswith(prefix):
                return self.prefixes[prefix]
        return found


class Table(msgspec.Struct, frozen=True):
    """One version, compiled. ``keyed``: requests need a key, save on open routes."""

    version: int
    hosts: dict[bytes, _Host]
    routes: dict[str, Route]
    services: dict[str, Service]
    tenants: dict[str, Tenant]  # by key
    limits: Limits
    keyed: bool

    def find(self, host: bytes | str, path: bytes | str) -> Route | None:
        """The route of that host whose prefix begins the path and is longest; ``path`` may have a query."""
        raw = _bytes(host)
        entry = self.hosts.get(raw) or self.hosts.get(plain_host(raw))
        if entry is None:
            return None
        path = _bytes(path)
        query = path.find(b"?")
        return entry.find(path if query < 0 else path[:query])

    def tenant(self, key: str) -> Tenant | None:
        """Who holds the key."""
        return self.tenants.get(key)


def compile_table(doc: Document) -> Table:
    """The table of a configuration that ``check`` has passed; of two equal prefixes the later rule holds."""
    hosts: dict[bytes, _Host] = {}
    routes: dict[str, Route] = {}
    for listener in doc["listenerList"]:
        host = listener["host"]
        entry = hosts.setdefault(plain_host(host), _Host())
        for rule in listener["ruleSet"]:
            route = _route(host, rule)
            routes[route.name] = route
            prefix = _bytes(route.prefix)
            entry.prefixes[prefix] = route
            entry.longest = max(entry.longest, len(prefix))
    for entry in hosts.values():
        entry.odd = sorted((p for p in entry.prefixes if not p.endswith(b"/")), key=len, reverse=True)
    holders = doc.get("tenants") or []
    tenants: dict[str, Tenant] = {}
    for holder in holders:
        priority = holder.get("priority")
        tenant = Tenant(
            holder["name"],
            float(holder.get("ratePerS") or 0),
            float(holder.get("burstSize") or 0),
            None if priority is None else int(priority),
            _homes(holder.get("homeRegions")),
        )
        for key in holder.get("apiKeys") or ():
            tenants[key] = tenant
    return Table(
        version=number(doc["version"]),
        hosts=hosts,
        routes=routes,
        services=_services(doc),
        tenants=tenants,
        limits=_limits(doc),
        keyed=bool(holders),
    )


def _services(doc: Document) -> dict[str, Service]:
    return {
        cluster["name"]: Service(
            cluster["name"],
            cluster.get("healthPath") or HEALTH_PATH,
            int(cluster.get("connectionLimit") or 0),
            float(cluster.get("coldStartS") or 0),
            float(cluster.get("coldPerS") or 0),
        )
        for cluster in doc["clusterList"]
    }


def _limits(doc: Document) -> Limits:
    found, usual = doc.get("limits") or {}, Limits()
    return Limits(
        int(found.get("maxHeaderBytes") or usual.header_bytes),
        int(found.get("maxBodyBytes") or usual.body_bytes),
        float(found.get("headerTimeoutS") or usual.header_s),
        float(found.get("idleTimeoutS") or usual.idle_s),
    )


def _route(host: str, rule: Rule) -> Route:
    action = rule["actionSpec"]
    timeout = float(action.get("timeoutS") or TIMEOUT_MOST)
    return Route(
        name=rule["name"],
        host=host,
        prefix=rule["matchCriteria"]["pathPrefix"],
        # A kind that is not known, or not told, is run at most once: that breaks nothing.
        repeatable=rule.get("routeKind") == REPEATABLE,
        aim=float(rule.get("targetLatencyS") or timeout),
        timeout=timeout,
        attempts=int(action.get("maxAttempts") or 1),
        priority=int(rule.get("priority") or 0),
        open=bool(rule.get("keyless")),
        homes=_homes(action.get("homeRegions")),
        split=_split(action),
        affinity=_affinity(action),
    )


def _affinity(action: Action) -> Affinity | None:
    found = action.get("affinity")
    if not found:
        return None
    sources = []
    for source in found["callerFrom"]:
        kind, _, name = source.partition(":")
        sources.append((kind, (name.lower() if kind == "header" else name).encode()))
    travels, way = found.get("travels"), None
    if travels is not None:
        header = (travels.get("exchangeFrom") or "").partition(":")[2].lower().encode()
        look = travels.get("lookUpS")
        way = Travels(
            LOOK if look is None else float(look), travels.get("whenLost") == "refuse", header,
            travels.get("askPath") or "",
        )  # fmt: skip
    return Affinity(tuple(sources), found.get("near") or "", float(found.get("exchangeS") or 0), way)


def _split(action: Action) -> tuple[tuple[str, float], ...]:
    shares = action.get("weightedSplit")
    if not shares:
        return ((action["service"] or "", 1.0),)
    total = float(sum(share["weight"] for share in shares))
    if total <= 0:
        return ((shares[0]["service"], 1.0),)
    parts, sum_ = [], 0.0
    for share in shares:
        if share["weight"] > 0:
            sum_ += share["weight"]
            parts.append((share["service"], sum_ / total))
    parts[-1] = (parts[-1][0], 1.0)
    return tuple(parts)


def _homes(regions: list[str] | None) -> frozenset[str]:
    return frozenset(regions) if regions else NO_HOMES


def _bytes(text: bytes | str) -> bytes:
    return text.encode("utf-8", "surrogatepass") if isinstance(text, str) else text


def plain_host(host: bytes | str) -> bytes:
    """Lower case, without port."""
    host = _bytes(host)
    name, colon, port = host.rpartition(b":")
    if colon and (port.isdigit() or not port) and (b":" not in name or name.endswith(b"]")):
        host = name
    return host.strip().lower()
