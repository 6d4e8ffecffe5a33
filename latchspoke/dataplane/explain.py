"""Why a request would go where it goes: route, key, quota, service, homes, servers with their evidence.

Works on a running gateway's state and, without one, on a configuration alone. Nothing is sent or counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

from barleyhub.line.dispatch import GUESS, Dispatcher
from barleyhub.line.stock import Stock, Upstream, homes_of
from latchspoke.configuration.routes import Route, Table, Tenant, plain_host
from latchspoke.dataplane.view import avoidance_reasons, server_view


class ExplainRequestError(ValueError):
    """A question that can't be read; one line."""


@dataclass(slots=True, frozen=True)
class ExplainRequest:
    """A request that might come. Either the tenant's name is told, or a key, which no answer repeats."""

    host: str
    path: str
    tenant: str = ""
    key: str = ""
    caller: str = ""  # what a header or cookie would tell, where the route keeps callers


def read_explain_request(body: object) -> ExplainRequest:
    """Raises AskError."""
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
    """Draws the middle: scores without their random part."""

    def random(self) -> float:
        return 0.5


@contextmanager
def without_randomness(stock: Stock) -> Iterator[None]:
    draw, stock.draw = stock.draw, MidpointRandom()
    try:
        yield
    finally:
        stock.draw = draw


def explain(
    table: Table,
    ask: ExplainRequest,
    now: float,
    stock: Stock | None = None,
    dispatcher: Dispatcher | None = None,
) -> dict[str, Any]:
    """``outcome`` says what would happen in a word, ``because`` in a line; the rest is what it rests on."""
    told: dict[str, Any] = {"version": f"{table.version:08x}", "host": ask.host, "path": ask.path}
    route = table.find(ask.host, ask.path)
    if route is None:
        return told | explain_no_route(table, ask)
    told["route"] = explain_route(route, table, ask)
    tenant: Tenant | None = None
    if table.keyed and not route.open:
        tenant = table.tenant(ask.key) if ask.key else tenant_by_name(table, ask.tenant)
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
        told["quota"] = explain_quota(dispatcher, tenant, now)
    homes = homes_of(route.homes, tenant.homes if tenant is not None else frozenset())
    told["homes"] = None if homes is None else sorted(homes)
    if stock is None:
        return told | {"outcome": "forwarded", "because": "by the configuration alone; no servers are known"}
    with without_randomness(stock):
        told["servers"] = {
            service: candidates(stock, service, route, homes, now) for service, _ in route.split
        }
    if route.affinity is not None:
        text = ask.caller or caller_without_headers(route, ask.path, tenant)
        if text:
            told["caller"] = explain_affinity(text, route, stock, dispatcher, homes, now)
    return told | outcome_of(told)


def caller_without_headers(route: Route, path: str, tenant: Tenant | None) -> str:
    """The caller, if the path or the tenant tells."""
    assert route.affinity is not None
    found = route.affinity.caller({}, path.encode(), tenant.name if tenant else "")
    return (found or b"").decode(errors="replace")


def explain_affinity(
    text: str, route: Route, stock: Stock, dispatcher: Dispatcher | None, homes: frozenset[str] | None,
    now: float,
) -> dict[str, Any]:  # fmt: skip
    """Where a caller goes and why; the server's id, if it is the caller's own."""
    from barleyhub.affinity.keeper import Berths
    from barleyhub.affinity.order import key_of, service_of

    assert route.affinity is not None
    berths = dispatcher.berths if dispatcher is not None and dispatcher.berths is not None else Berths(stock)
    service = service_of(key_of(text.encode()), route.split)
    told = berths.explain(text, route.affinity.near, service, homes, now)
    upstream = berths.sheds[service].upstreams.get(told["goes_to"] or "")
    ident = told.get("exchange", {}).get("id") or (upstream.ident if upstream is not None else None)
    return {"service": service, "id": ident} | told


def tenant_by_name(table: Table, name: str) -> Tenant | None:
    return next((tenant for tenant in table.tenants.values() if tenant.name == name), None)


def explain_no_route(table: Table, ask: ExplainRequest) -> dict[str, Any]:
    here = [r.prefix for r in table.routes.values() if plain_host(r.host) == plain_host(ask.host)]
    if not here:
        return {"outcome": "404", "because": "no route has this host"}
    return {
        "outcome": "404", "because": "no prefix of this host begins the path", "prefixes": sorted(here),
    }  # fmt: skip


def explain_route(route: Route, table: Table, ask: ExplainRequest) -> dict[str, Any]:
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


def explain_quota(dispatcher: Dispatcher, tenant: Tenant, now: float) -> dict[str, Any]:
    account = dispatcher.accounts.get(tenant.name)
    if account is None:
        return {"known": False, "gate": 1.0, "fits": True}
    return {
        "known": True, "gate": round(account.gate(now), 3), "room": round(account.room(now), 3),
        "total_fresh": account.fresh(now), "fits": account.fits(1.0, now),
    }  # fmt: skip


def candidates(
    stock: Stock, service: str, route: Route, homes: frozenset[str] | None, now: float
) -> list[dict[str, Any]]:
    """Every server of the service, the one that would be taken first; then those that may not be taken."""
    usual = stock.usual.get(route.name, GUESS * route.aim)
    found = []
    for upstream in stock.services.get(service, {}).values():
        barred = exclusion_reasons(stock, upstream, homes, now)
        told = server_view(stock, upstream, now) | {"barred": barred}
        wait = stock.headway.wait(service, upstream.region, now)
        told["expected_s"] = None if barred else round(stock.score(upstream, usual, now, wait), 4)
        found.append(told)
    return sorted(found, key=lambda each: (bool(each["barred"]), each["expected_s"] or 0.0, each["id"]))


def exclusion_reasons(
    stock: Stock, upstream: Upstream, homes: frozenset[str] | None, now: float
) -> list[str]:
    """Why it can't be taken at all."""
    hard = [
        code for code in avoidance_reasons(stock, upstream, now) if code in ("gone", "draining", "evacuated")
    ]
    if homes is not None and upstream.region not in homes:
        hard.append("outside_homes")
    if stock.cold(upstream, now):
        most = stock.allowance(upstream)
        if not most:
            hard.append("cold_dealt_to_others")
        elif not upstream.sent.free(most, now):
            hard.append("cold_used_up")
    return hard


def outcome_of(told: dict[str, Any]) -> dict[str, Any]:
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
