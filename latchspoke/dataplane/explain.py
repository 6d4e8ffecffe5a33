"""Why a request would go where it goes: route, key, quota, service, homes, servers with their evidence.

Works on a running gateway's state and, without one, on a configuration alone. Nothing is sent or counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

from barleyhub.line.balancer import Balancer, Upstream, allowed_regions
from barleyhub.line.dispatch import INITIAL_LATENCY_FACTOR, Dispatcher
from latchspoke.configuration.routes import Route, Table, Tenant, plain_host
from latchspoke.dataplane.view import avoided, server


class AskError(ValueError):
    """A question that can't be read; one line."""


@dataclass(slots=True, frozen=True)
class Ask:
    """A request that might come. Either the tenant's name is told, or a key, which no answer repeats."""

    host: str
    path: str
    tenant: str = ""
    key: str = ""
    caller: str = ""  # what a header or cookie would tell, where the route keeps callers


def read_ask(body: object) -> Ask:
    """Raises AskError."""
    if not isinstance(body, dict):
        raise AskError("an object with host and path is asked for")
    fields = {name: body.get(name) or "" for name in ("host", "path", "tenant", "key", "caller")}
    for name, value in fields.items():
        if not isinstance(value, str):
            raise AskError(f"{name} must be a text")
    if not fields["host"] or not fields["path"]:
        raise AskError("host and path are asked for")
    return Ask(**fields)


class Middle(Random):
    """Draws the middle: scores without their random part."""

    def random(self) -> float:
        return 0.5


@contextmanager
def undrawn(stock: Balancer) -> Iterator[None]:
    draw, stock.rng = stock.rng, Middle()
    try:
        yield
    finally:
        stock.rng = draw


def explain(
    table: Table, ask: Ask, now: float, stock: Balancer | None = None, dispatcher: Dispatcher | None = None
) -> dict[str, Any]:
    """``outcome`` says what would happen in a word, ``because`` in a line; the rest is what it rests on."""
    told: dict[str, Any] = {"version": f"{table.version:08x}", "host": ask.host, "path": ask.path}
    route = table.find(ask.host, ask.path)
    if route is None:
        return told | no_route(table, ask)
    told["route"] = route_told(route, table, ask)
    tenant: Tenant | None = None
    if table.keyed and not route.open:
        tenant = table.tenant(ask.key) if ask.key else named(table, ask.tenant)
        if tenant is None:
            what = (
                "the key" if ask.key else f"tenant {ask.tenant!r}" if ask.tenant else "no key, and the route"
            )
            because = f"{what} {'needs one' if not (ask.key or ask.tenant) else 'is not in this version'}"
            return told | {"outcome": "401", "because": because}
        told["tenant"] = {
            "name": tenant.name, "rate_per_s": tenant.rate, "burst": tenant.burst,
            "priority": tenant.priority, "homes": sorted(tenant.homes),
        }  # fmt: skip
    if tenant is not None and dispatcher is not None and tenant.rate > 0:
        told["quota"] = quota(dispatcher, tenant, now)
    homes = allowed_regions(route.homes, tenant.homes if tenant is not None else frozenset())
    told["homes"] = None if homes is None else sorted(homes)
    if stock is None:
        return told | {"outcome": "forwarded", "because": "by the configuration alone; no servers are known"}
    with undrawn(stock):
        told["servers"] = {
            service: candidates(stock, service, route, homes, now) for service, _ in route.split
        }
    if route.affinity is not None:
        text = ask.caller or kept(route, ask.path, tenant)
        if text:
            told["caller"] = whereabouts(text, route, stock, dispatcher, homes, now)
    return told | verdict(told)


def kept(route: Route, path: str, tenant: Tenant | None) -> str:
    """The caller, if the path or the tenant tells."""
    assert route.affinity is not None
    found = route.affinity.caller({}, path.encode(), tenant.name if tenant else "")
    return (found or b"").decode(errors="replace")


def whereabouts(
    text: str, route: Route, stock: Balancer, dispatcher: Dispatcher | None, homes: frozenset[str] | None,
    now: float,
) -> dict[str, Any]:  # fmt: skip
    """Where a caller goes and why; the server's id, if it is the caller's own."""
    from barleyhub.affinity.rendezvous import caller_key, choose_service
    from barleyhub.affinity.selection import AffinitySelector

    assert route.affinity is not None
    berths = (
        dispatcher.affinity
        if dispatcher is not None and dispatcher.affinity is not None
        else AffinitySelector(stock)
    )
    service = choose_service(caller_key(text.encode()), route.split)
    told = berths.explain(text, route.affinity.near, service, homes, now)
    upstream = berths.services[service].upstreams.get(told["goes_to"] or "")
    ident = told.get("exchange", {}).get("id") or (upstream.ident if upstream is not None else None)
    return {"service": service, "id": ident} | told


def named(table: Table, name: str) -> Tenant | None:
    return next((tenant for tenant in table.tenants.values() if tenant.name == name), None)


def no_route(table: Table, ask: Ask) -> dict[str, Any]:
    here = [r.prefix for r in table.routes.values() if plain_host(r.host) == plain_host(ask.host)]
    if not here:
        return {"outcome": "404", "because": "no route has this host"}
    return {
        "outcome": "404", "because": "no prefix of this host begins the path", "prefixes": sorted(here),
    }  # fmt: skip


def route_told(route: Route, table: Table, ask: Ask) -> dict[str, Any]:
    before, shares = 0.0, []
    for service, end in route.split:
        shares.append({"service": service, "share": round(end - before, 4)})
        before = end
    path = ask.path.partition("?")[0]
    shorter = [
        r.name
        for r in table.routes.values()
        if r.name != route.name and plain_host(r.host) == plain_host(route.host) and path.startswith(r.prefix)
    ]
    return {
        "name": route.name, "prefix": route.prefix, "shorter_prefixes": shorter, "services": shares,
        "repeatable": route.repeatable, "aim_s": route.aim, "timeout_s": route.timeout,
        "attempts": route.attempts, "priority": route.priority, "keyless": route.open,
        "keeps_callers": route.affinity is not None, "homes": sorted(route.homes),
    }  # fmt: skip


def quota(dispatcher: Dispatcher, tenant: Tenant, now: float) -> dict[str, Any]:
    account = dispatcher.accounts.get(tenant.name)
    if account is None:
        return {"known": False, "gate": 1.0, "fits": True}
    return {
        "known": True, "gate": round(account.admission_probability(now), 3),
        "room": round(account.remaining(now), 3),
        "total_fresh": account.totals_fresh(now), "fits": account.fits(1.0, now),
    }  # fmt: skip


def candidates(
    stock: Balancer, service: str, route: Route, homes: frozenset[str] | None, now: float
) -> list[dict[str, Any]]:
    """Every server of the service, the one that would be taken first; then those that may not be taken."""
    usual = stock.route_latency.get(route.name, INITIAL_LATENCY_FACTOR * route.aim)
    found = []
    for upstream in stock.services.get(service, {}).values():
        barred = bars(stock, upstream, homes, now)
        told = server(stock, upstream, now) | {"barred": barred}
        wait = stock.queue_delays.delay(service, upstream.region, now)
        told["expected_s"] = None if barred else round(stock.score(upstream, usual, now, wait), 4)
        found.append(told)
    return sorted(found, key=lambda each: (bool(each["barred"]), each["expected_s"] or 0.0, each["id"]))


def bars(stock: Balancer, upstream: Upstream, homes: frozenset[str] | None, now: float) -> list[str]:
    """Why it can't be taken at all."""
    hard = [code for code in avoided(stock, upstream, now) if code in ("gone", "draining", "evacuated")]
    if homes is not None and upstream.region not in homes:
        hard.append("outside_homes")
    if stock.is_cold(upstream, now):
        most = stock.cold_allowance(upstream)
        if not most:
            hard.append("cold_dealt_to_others")
        elif not upstream.send_window.has_room(most, now):
            hard.append("cold_used_up")
    return hard


def verdict(told: dict[str, Any]) -> dict[str, Any]:
    asked = told.get("quota")
    if asked is not None and not asked["fits"]:
        return {"outcome": "429", "because": "the tenant's room is used up"}
    if (caller := told.get("caller")) and caller["id"]:
        because = (
            f"{caller['service']}: caller {caller['caller']!r} is kept at {caller['id']}: {caller['why']}"
        )
        return {"outcome": "forwarded", "because": because}
    able = {name: [s for s in those if not s["barred"]] for name, those in told["servers"].items()}
    without = [name for name, those in able.items() if not those]
    if len(without) == len(able):
        return {"outcome": "503", "because": f"no server of {', '.join(without)} may be taken"}
    first = {name: those[0]["id"] for name, those in able.items() if those}
    because = "; ".join(f"{name}: {ident} has the least expected time" for name, ident in first.items())
    if without:
        because += f"; no server of {', '.join(without)} may be taken"
    if asked is not None and asked["gate"] < 1:
        because += f"; the gate lets {asked['gate']:.0%} pass"
    return {"outcome": "forwarded", "because": because}
