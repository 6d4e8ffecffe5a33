"""The compiled routing table of the data plane: routes by host and path prefix, tenants by API key.

A table is immutable; a new configuration version is compiled into a new table that replaces it.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from latchspoke.configuration.check import MAX_TIMEOUT_S, parse_version
from latchspoke.configuration.shape import Action, Document, Rule

IDEMPOTENT = "idempotent"
HEALTH_PATH = "/health"
DEFAULT_LOOKUP_TIMEOUT_S = 0.05
NO_HOMES: frozenset[str] = frozenset()


class SharedRecordSettings(msgspec.Struct, frozen=True):
    """How session records of a route's callers are shared between gateways."""

    lookup_timeout_s: float
    refuse_when_lost: bool  # refuse requests without an available record, else use placement by hash
    exchange_header: bytes  # header that identifies an exchange; empty: each attempt is an exchange
    outcome_path: str  # path prefix at which servers report the outcome of an attempt; empty: none


class Affinity(msgspec.Struct, frozen=True):
    """How a route identifies its callers, and where their servers should be.

    ``sources`` are tried in order; each is a kind (header, cookie, path, tenant) with a name or a number.
    """

    sources: tuple[tuple[str, bytes], ...]
    near: str
    exchange_s: float
    shared_records: SharedRecordSettings | None = None

    def caller(self, headers: Mapping[bytes, bytes], path: bytes, tenant: str) -> bytes | None:
        """Identity of the request's caller from the first source that is present; None without one."""
        for kind, name in self.sources:
            identity = b""
            if kind == "header":
                identity = headers.get(name, b"")
            elif kind == "cookie":
                for pair in headers.get(b"cookie", b"").split(b";"):
                    key, _, value = pair.strip().partition(b"=")
                    if key == name:
                        identity = value
            elif kind == "path":
                parts = path.partition(b"?")[0].split(b"/")
                identity = parts[int(name)] if int(name) < len(parts) else b""
            else:
                identity = tenant.encode()
            if identity:
                return identity
        return None


class Route(msgspec.Struct, frozen=True):
    """One route. Times are in seconds.

    ``keyless`` routes need no API key; empty ``homes`` allow all regions. ``aim`` is the target latency.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    aim: float
    timeout: float
    attempts: int
    priority: int
    keyless: bool
    homes: frozenset[str]
    split: tuple[tuple[str, float], ...]  # services with the upper ends of their shares of 0..1
    affinity: Affinity | None = None

    def service(self, draw: float) -> str:
        """Weighted random choice of a service by a random number ``draw`` in [0, 1)."""
        for name, end in self.split:
            if draw < end:
                return name
        return self.split[-1][0]


class Tenant(msgspec.Struct, frozen=True):
    """One tenant. ``rate`` is in requests per second, 0 for no limit; ``burst`` is in requests.

    ``priority`` is None if the priority of the route applies.
    """

    name: str
    rate: float
    burst: float
    priority: int | None
    homes: frozenset[str]


class Service(msgspec.Struct, frozen=True):
    """One service. ``cold_s`` is the warm-up time of its servers in seconds.

    ``connection_limit`` and ``cold_per_s``, the rate limit during warm-up, are 0 if there is no limit.
    """

    name: str
    health: str
    connection_limit: int
    cold_s: float
    cold_per_s: float


class Limits(msgspec.Struct, frozen=True):
    """Limits for client connections, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class _HostRoutes:
    """The routes of one host by path prefix."""

    __slots__ = ("max_prefix_bytes", "partial_prefixes", "prefixes")

    def __init__(self) -> None:
        self.prefixes: dict[bytes, Route] = {}
        self.max_prefix_bytes = 0
        self.partial_prefixes: list[bytes] = []  # prefixes without a final slash, longest first

    def find(self, path: bytes) -> Route | None:
        """The route with the longest prefix of the path."""
        get, end = self.prefixes.get, path.rfind(b"/", 0, self.max_prefix_bytes) + 1
        route = None
        while end > 0:
            route = get(path[:end])
            if route is not None:
                break
            end = path.rfind(b"/", 0, end - 1) + 1
        for prefix in self.partial_prefixes:
            if len(prefix) <= end:
                break
            if path.startswith(prefix):
                return self.prefixes[prefix]
        return route


class Table(msgspec.Struct, frozen=True):
    """One compiled configuration version. If ``keyed``, requests need a key unless the route is keyless.

    A configuration with ``tenants`` is keyed even if the list is empty, as after the removal of the last one.
    """

    version: int
    hosts: dict[bytes, _HostRoutes]
    routes: dict[str, Route]
    services: dict[str, Service]
    tenants: dict[str, Tenant]  # by key
    limits: Limits
    keyed: bool

    def find(self, host: bytes | str, path: bytes | str) -> Route | None:
        """The route of the host with the longest prefix of the path, which may include a query."""
        raw_host = _bytes(host)
        host_routes = self.hosts.get(raw_host) or self.hosts.get(normalize_host(raw_host))
        if host_routes is None:
            return None
        path = _bytes(path)
        query = path.find(b"?")
        return host_routes.find(path if query < 0 else path[:query])

    def tenant(self, key: str) -> Tenant | None:
        """The tenant with the API key."""
        return self.tenants.get(key)


def compile_table(doc: Document) -> Table:
    """Compile a valid configuration; of two rules with the same prefix the later one applies."""
    hosts: dict[bytes, _HostRoutes] = {}
    routes: dict[str, Route] = {}
    for listener in doc["listenerList"]:
        host = listener["host"]
        host_routes = hosts.setdefault(normalize_host(host), _HostRoutes())
        for rule in listener["ruleSet"]:
            route = _route(host, rule)
            routes[route.name] = route
            prefix = _bytes(route.prefix)
            host_routes.prefixes[prefix] = route
            host_routes.max_prefix_bytes = max(host_routes.max_prefix_bytes, len(prefix))
    for host_routes in hosts.values():
        host_routes.partial_prefixes = sorted(
            (prefix for prefix in host_routes.prefixes if not prefix.endswith(b"/")), key=len, reverse=True
        )
    tenant_documents = doc.get("tenants")
    tenants: dict[str, Tenant] = {}
    for tenant_document in tenant_documents or ():
        priority = tenant_document.get("priority")
        tenant = Tenant(
            tenant_document["name"],
            float(tenant_document.get("ratePerS") or 0),
            float(tenant_document.get("burstSize") or 0),
            None if priority is None else int(priority),
            _home_regions(tenant_document.get("homeRegions")),
        )
        for key in tenant_document.get("apiKeys") or ():
            tenants[key] = tenant
    return Table(
        version=parse_version(doc["version"]),
        hosts=hosts,
        routes=routes,
        services=_services(doc),
        tenants=tenants,
        limits=_limits(doc),
        keyed=tenant_documents is not None,
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
    limits, defaults = doc.get("limits") or {}, Limits()
    return Limits(
        int(limits.get("maxHeaderBytes") or defaults.header_bytes),
        int(limits.get("maxBodyBytes") or defaults.body_bytes),
        float(limits.get("headerTimeoutS") or defaults.header_s),
        float(limits.get("idleTimeoutS") or defaults.idle_s),
    )


def _route(host: str, rule: Rule) -> Route:
    action = rule["actionSpec"]
    timeout_s = float(action.get("timeoutS") or MAX_TIMEOUT_S)
    return Route(
        name=rule["name"],
        host=host,
        prefix=rule["matchCriteria"]["pathPrefix"],
        # Routes of an unknown or missing kind are not retried, which is always safe.
        repeatable=rule.get("routeKind") == IDEMPOTENT,
        aim=float(rule.get("targetLatencyS") or timeout_s),
        timeout=timeout_s,
        attempts=int(action.get("maxAttempts") or 1),
        priority=int(rule.get("priority") or 0),
        keyless=bool(rule.get("keyless")),
        homes=_home_regions(action.get("homeRegions")),
        split=_split(action),
        affinity=_affinity(action),
    )


def _affinity(action: Action) -> Affinity | None:
    affinity = action.get("affinity")
    if not affinity:
        return None
    sources = []
    for source in affinity["callerFrom"]:
        kind, _, name = source.partition(":")
        sources.append((kind, (name.lower() if kind == "header" else name).encode()))
    settings, shared_records = affinity.get("travels"), None
    if settings is not None:
        exchange_header = (settings.get("exchangeFrom") or "").partition(":")[2].lower().encode()
        lookup_timeout_s = settings.get("lookUpS")
        shared_records = SharedRecordSettings(
            DEFAULT_LOOKUP_TIMEOUT_S if lookup_timeout_s is None else float(lookup_timeout_s),
            settings.get("whenLost") == "refuse",
            exchange_header,
            settings.get("askPath") or "",
        )
    return Affinity(
        tuple(sources), affinity.get("near") or "", float(affinity.get("exchangeS") or 0), shared_records
    )


def _split(action: Action) -> tuple[tuple[str, float], ...]:
    shares = action.get("weightedSplit")
    if not shares:
        return ((action["service"] or "", 1.0),)
    total = float(sum(share["weight"] for share in shares))
    if total <= 0:
        return ((shares[0]["service"], 1.0),)
    upper_ends, cumulative = [], 0.0
    for share in shares:
        if share["weight"] > 0:
            cumulative += share["weight"]
            upper_ends.append((share["service"], cumulative / total))
    upper_ends[-1] = (upper_ends[-1][0], 1.0)
    return tuple(upper_ends)


def _home_regions(regions: list[str] | None) -> frozenset[str]:
    return frozenset(regions) if regions else NO_HOMES


def _bytes(text: bytes | str) -> bytes:
    return text.encode("utf-8", "surrogatepass") if isinstance(text, str) else text


def normalize_host(host: bytes | str) -> bytes:
    """The host in lower case, without the port."""
    host = _bytes(host)
    name, colon, port = host.rpartition(b":")
    if colon and (port.isdigit() or not port) and (b":" not in name or name.endswith(b"]")):
        host = name
    return host.strip().lower()
