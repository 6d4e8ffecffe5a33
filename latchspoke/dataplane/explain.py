"""Explains where a request would go and why: route, key, quota, service, home regions, candidate servers.

Works on the state of a running gateway or, without one, on a configuration alone. Nothing is sent or counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

from barleyhub.line.balancer import Balancer, Upstream, allowed_regions
from barleyhub.line.dispatch import INITIAL_LATENCY_FACTOR, Dispatcher
from latchspoke.configuration.routes import Route, Table, Tenant, normalize_host
from latchspoke.dataplane.view import avoidance_reasons, server_view


class ExplainRequestError(ValueError):
    """An explain request that is malformed; one line."""


@dataclass(slots=True, frozen=True)
class ExplainRequest:
    """A hypothetical request. It has either a tenant name or an API key; no answer repeats the key."""

    host: str
    path: str
    tenant: str = ""
    key: str = ""
    caller: str = ""  # as a header or cookie would name it, on a route with affinity


def read_explain_request(body: object) -> ExplainRequest:
    """Parse an explain request. Raises ExplainRequestError."""
    if not isinstance(body, dict):
        raise ExplainRequestError("an object with host and path is asked for")
    fields = {name: body.get(name) or "" for name in ("host", "path", "tenant", "key", "caller")}
    for name, value in fields.items():
        if not isinstance(value, str):
            raise ExplainRequestError(f"{name} must be a text")
    if not fields["host"] or not fields["path"]:
        raise ExplainRequestError("host and path are asked for")
    return ExplainRequest(**fields)


class MidpointRandom(Random):
    """Always draws 0.5, so that scores have no random part."""

    def random(self) -> float:
        """Always 0.5."""
        return 0.5


@contextmanager
def without_randomness(balancer: Balancer) -> Iterator[None]:
    """Let scores be computed without their random part inside the context."""
    rng, balancer.rng = balancer.rng, MidpointRandom()
    try:
        yield
    finally:
        balancer.rng = rng


def explain(
    table: Table,
    request: ExplainRequest,
    now: float,
    balancer: Balancer | None = None,
    dispatcher: Dispatcher | None = None,
) -> dict[str, Any]:
    """Explain a request: ``outcome`` is the result, ``because`` a one-line reason, the rest the evidence."""
    result: dict[str, Any] = {"version": f"{table.version:08x}", "host": request.host, "path": request.path}
    route = table.find(request.host, request.path)
    if route is None:
        return result | explain_no_route(table, request)
    result["route"] = explain_route(route, table, request)
    tenant: Tenant | None = None
    if not route.keyless and (table.keyed or request.key):
        tenant = table.tenant(request.key) if request.key else tenant_by_name(table, request.tenant)
        if tenant is None:
            what = (
                "the key"
                if request.key
                else f"tenant {request.tenant!r}"
                if request.tenant
                else "no key, and the route"
            )
            why = f"{what} {'needs one' if not (request.key or request.tenant) else 'is not in this version'}"
            return result | {"outcome": "401", "because": why}
        result["tenant"] = {
            "name": tenant.name, "rate_per_s": tenant.rate, "burst": tenant.burst,
            "priority": tenant.priority, "homes": sorted(tenant.homes),
        }  # fmt: skip
    if tenant is not None and dispatcher is not None and tenant.rate > 0:
        result["quota"] = explain_quota(dispatcher, tenant, now)
    regions = allowed_regions(route.homes, tenant.homes if tenant is not None else frozenset())
    result["homes"] = None if regions is None else sorted(regions)
    if balancer is None:
        return result | {
            "outcome": "forwarded",
            "because": "by the configuration alone; no servers are known",
        }
    with without_randomness(balancer):
        result["servers"] = {
            service: candidates(balancer, service, route, regions, now) for service, _ in route.split
        }
    if route.affinity is not None:
        caller = request.caller or caller_without_headers(route, request.path, tenant)
        if caller:
            result["caller"] = explain_affinity(caller, route, balancer, dispatcher, regions, now)
    return result | outcome_of(result)


def caller_without_headers(route: Route, path: str, tenant: Tenant | None) -> str:
    """The caller, if the path or the tenant alone identifies it."""
    assert route.affinity is not None
    caller = route.affinity.caller({}, path.encode(), tenant.name if tenant else "")
    return (caller or b"").decode(errors="replace")


def explain_affinity(
    caller: str, route: Route, balancer: Balancer, dispatcher: Dispatcher | None,
    regions: frozenset[str] | None, now: float,
) -> dict[str, Any]:  # fmt: skip
    """The server a caller is bound to and why; ``id``: its instance, if it is the caller's own server."""
    from barleyhub.affinity.rendezvous import caller_key, choose_service
    from barleyhub.affinity.selection import AffinitySelector

    assert route.affinity is not None
    berths = (
        dispatcher.affinity
        if dispatcher is not None and dispatcher.affinity is not None
        else AffinitySelector(balancer)
    )
    service = choose_service(caller_key(caller.encode()), route.split)
    result = berths.explain(caller, route.affinity.near, service, regions, now)
    upstream = berths.services[service].upstreams.get(result["goes_to"] or "")
    instance_id = result.get("exchange", {}).get("id") or (upstream.ident if upstream is not None else None)
    return {"service": service, "id": instance_id} | result


def tenant_by_name(table: Table, name: str) -> Tenant | None:
    """The tenant of this name, or None."""
    return next((tenant for tenant in table.tenants.values() if tenant.name == name), None)


def explain_no_route(table: Table, request: ExplainRequest) -> dict[str, Any]:
    """The outcome for a request that no route matches: unknown host, or no matching prefix."""
    prefixes = [
        route.prefix
        for route in table.routes.values()
        if normalize_host(route.host) == normalize_host(request.host)
    ]
    if not prefixes:
        return {"outcome": "404", "because": "no route has this host"}
    return {
        "outcome": "404", "because": "no prefix of this host begins the path", "prefixes": sorted(prefixes),
    }  # fmt: skip


def explain_route(route: Route, table: Table, request: ExplainRequest) -> dict[str, Any]:
    """The matched route; ``shorter_prefixes``: routes of the host that match as well, less specifically."""
    start, shares = 0.0, []
    for service, end in route.split:
        shares.append({"service": service, "share": round(end - start, 4)})
        start = end
    path = request.path.partition("?")[0]
    shorter = [
        other.name
        for other in table.routes.values()
        if other.name != route.name
        and normalize_host(other.host) == normalize_host(route.host)
        and path.startswith(other.prefix)
    ]
    return {
        "name": route.name, "prefix": route.prefix, "shorter_prefixes": shorter, "services": shares,
        "repeatable": route.repeatable, "aim_s": route.aim, "timeout_s": route.timeout,
        "attempts": route.attempts, "priority": route.priority, "keyless": route.keyless,
        "keeps_callers": route.affinity is not None, "homes": sorted(route.homes),
    }  # fmt: skip


def explain_quota(dispatcher: Dispatcher, tenant: Tenant, now: float) -> dict[str, Any]:
    """The tenant's quota as known here; a tenant without recent requests has no account yet."""
    account = dispatcher.accounts.get(tenant.name)
    if account is None:
        return {"known": False, "gate": 1.0, "fits": True}
    return {
        "known": True, "gate": round(account.admission_probability(now), 3),
        "room": round(account.remaining(now), 3),
        "total_fresh": account.totals_fresh(now), "fits": account.fits(1.0, now),
    }  # fmt: skip


def candidates(
    balancer: Balancer, service: str, route: Route, regions: frozenset[str] | None, now: float
) -> list[dict[str, Any]]:
    """All servers of a service: the preferred one first, those that may not be taken last."""
    usual_s = balancer.route_latency.get(route.name, INITIAL_LATENCY_FACTOR * route.aim)
    servers = []
    for upstream in balancer.services.get(service, {}).values():
        reasons = exclusion_reasons(balancer, upstream, regions, now)
        entry = server_view(balancer, upstream, now) | {"barred": reasons}
        wait = balancer.queue_delays.delay(service, upstream.region, now)
        entry["expected_s"] = None if reasons else round(balancer.score(upstream, usual_s, now, wait), 4)
        servers.append(entry)
    return sorted(servers, key=lambda item: (bool(item["barred"]), item["expected_s"] or 0.0, item["id"]))


def exclusion_reasons(
    balancer: Balancer, upstream: Upstream, regions: frozenset[str] | None, now: float
) -> list[str]:
    """Reason codes for which a server may not be taken at all."""
    reasons = [
        code
        for code in avoidance_reasons(balancer, upstream, now)
        if code in ("gone", "draining", "evacuated")
    ]
    if regions is not None and upstream.region not in regions:
        reasons.append("outside_homes")
    if balancer.is_cold(upstream, now):
        allowance = balancer.cold_allowance(upstream)
        if not allowance:
            reasons.append("cold_dealt_to_others")
        elif not upstream.send_window.has_room(allowance, now):
            reasons.append("cold_used_up")
    return reasons


def outcome_of(result: dict[str, Any]) -> dict[str, Any]:
    """Derive outcome and reason from the collected evidence."""
    quota = result.get("quota")
    if quota is not None and not quota["fits"]:
        return {"outcome": "429", "because": "the tenant's room is used up"}
    if (caller := result.get("caller")) and caller["id"]:
        because = (
            f"{caller['service']}: caller {caller['caller']!r} is kept at {caller['id']}: {caller['why']}"
        )
        return {"outcome": "forwarded", "because": because}
    available = {
        name: [server for server in servers if not server["barred"]]
        for name, servers in result["servers"].items()
    }
    unavailable = [name for name, servers in available.items() if not servers]
    if len(unavailable) == len(available):
        return {"outcome": "503", "because": f"no server of {', '.join(unavailable)} may be taken"}
    preferred = {name: servers[0]["id"] for name, servers in available.items() if servers}
    because = "; ".join(
        f"{name}: {instance_id} has the least expected time" for name, instance_id in preferred.items()
    )
    if unavailable:
        because += f"; no server of {', '.join(unavailable)} may be taken"
    if quota is not None and quota["gate"] < 1:
        because += f"; the gate lets {quota['gate']:.0%} pass"
    return {"outcome": "forwarded", "because": because}
