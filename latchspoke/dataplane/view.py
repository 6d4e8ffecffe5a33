"""What a gateway shows of itself: ``GET /status`` and ``GET /metrics``. Reads, and changes nothing.

Keys of tenants are no part of it: tenants go by their names.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable
from typing import TYPE_CHECKING, Any

import msgspec

from barleyhub.line.dispatch import Dispatcher
from barleyhub.line.stock import Stock, Upstream
from latchspoke.outliers.formatting import evidence_view
from latchspoke.reach.recorder import reason_codes
from latchspoke.transport.metrics import Family, page

if TYPE_CHECKING:
    from latchspoke.dataplane.node import Node
    from latchspoke.dataplane.travel import Travel

STATES = ("ready", "draining", "gone")
REFUSALS = 30  # of the last ones are shown


def left(until: float, now: float) -> float:
    """Seconds until then; 0 where it is past or never was."""
    return round(max(until - now, 0.0), 3) if math.isfinite(until) else 0.0


def age(at: float, now: float) -> float | None:
    return round(now - at, 3) if math.isfinite(at) else None


def avoided(stock: Stock, upstream: Upstream, now: float) -> list[str]:
    """Why it gets nothing, or less than its part: reason codes, the hardest first."""
    return list(reason_codes(stock, upstream, now))


def server(stock: Stock, upstream: Upstream, now: float) -> dict[str, Any]:
    """One life of a server, with the evidence that this gateway has."""
    return {
        "id": upstream.ident,
        "service": upstream.service,
        "address": f"{upstream.host}:{upstream.port}",
        "zone": upstream.zone,
        "region": upstream.region,
        "slots": upstream.slots,
        "state": STATES[int(upstream.state)],
        "avoided": avoided(stock, upstream, now),
        "silent": upstream.silent,
        "cold_s": left(upstream.cold_until, now),
        "resting_s": left(upstream.rest_until, now),
        "out": upstream.out,
        "errors": round(upstream.own.share(now), 3),
        "pace": round(upstream.own.pace, 3),
        "answered_s_ago": age(upstream.answered_at, now),
    }


def told(node: Node, now: float) -> dict[str, dict[str, Any]]:
    """By server: the evidence of others, and the share of failures that it makes here (0: none)."""
    return {
        ident: evidence_view(node.examiner.seen(ident, now))
        | {"share": round(node.stock.told.get(ident, 0.0), 3)}
        for ident in sorted(node.examiner.told)
    }


def quotas(dispatcher: Dispatcher, now: float) -> dict[str, dict[str, Any]]:
    """Tenants with a limit that came through here lately."""
    return {
        name: {
            "rate_per_s": account.rate,
            "burst": account.burst,
            "room": round(account.room(now), 3),
            "gate": round(account.gate(now), 3),
            "total_fresh": account.fresh(now),
            "offered_per_s": round(account.here(now), 3),
            "offered": account.offered,
            "admitted": account.admitted,
        }
        for name, account in sorted(dispatcher.accounts.items())
    }


def budgets(dispatcher: Dispatcher) -> dict[str, dict[str, float]]:
    """Further tries that this gateway may still pay for, by service."""
    return {
        service: {"level": round(tries.level, 3), "most": round(tries.most, 3)}
        for service, tries in sorted(dispatcher.tries.items())
    }


def refusals(dispatcher: Dispatcher, now: float) -> list[dict[str, Any]]:
    """The last ones, the newest first."""
    return [
        {"s_ago": round(now - at, 3), "reason": reason, "route": route, "tenant": tenant}
        for at, reason, route, tenant in list(dispatcher.refusals)[: -REFUSALS - 1 : -1]
    ]


def status(node: Node) -> dict[str, Any]:
    """The whole view."""
    now, settings, orders, lease = node.clock.now(), node.settings, node.board.orders, node.lease
    source = node.feed.source if node.feed.wire is not None else None
    table = node.downstream.table
    return {
        "name": settings.name,
        "role": "edge",
        "zone": settings.zone,
        "region": settings.region,
        "life": node.life,
        "ready": node.ready,
        "stopping": node.downstream.stopping,
        "version": f"{orders.version:08x}",
        "acts_by": f"{table.version:08x}" if table is not None else None,
        "index": orders.index,
        "evacuated": sorted(orders.evacuated),
        "lease": {
            "held": now < lease.until,
            "left_s": left(lease.until, now),
            "proven_s_ago": age(lease.proven_at, now),
        },
        "source": None
        if source is None
        else {
            "name": source.name,
            "address": f"{source.address[0]}:{source.address[1]}",
            "gateway": source.gateway,
        },
        "gateways": list(node.stock.gateways),
        "clients": len(node.downstream.clients),
        "in_hand": node.downstream.busy,
        "servers": [server(node.stock, w, now) for w in node.stock.upstreams.values()],
        "evidence": told(node, now),
        "usual_s": {route: round(s, 4) for route, s in sorted(node.stock.usual.items())},
        "quotas": quotas(node.dispatcher, now),
        "budgets": budgets(node.dispatcher),
        "refusals": refusals(node.dispatcher, now),
        "counters": dict(sorted(node.stats.items())),
    } | ({} if node.travel is None else {"travel": node.travel.sizes()})


def metrics(seen: dict[str, Any]) -> str:
    """The text format of a view."""
    servers = Family("latchspoke_servers", "Servers that this gateway knows, by service and state.")
    shunned = Family("latchspoke_servers_avoided", "Servers that get less or nothing, by reason code.")
    states: dict[tuple[str, str], int] = {}
    reasons: dict[str, int] = {}
    for each in seen["servers"]:
        key = each["service"], each["state"]
        states[key] = states.get(key, 0) + 1
        for reason in each["avoided"]:
            reasons[reason] = reasons.get(reason, 0) + 1
    for (service, state), count in sorted(states.items()):
        servers.add(count, service=service, state=state)
    for reason, count in sorted(reasons.items()):
        shunned.add(count, reason=reason)
    room = Family("latchspoke_quota_room", "Units left to a tenant, as this gateway knows.")
    gate = Family("latchspoke_quota_gate", "Share of a tenant's requests that the gate lets pass.")
    for tenant, quota in seen["quotas"].items():
        room.add(quota["room"], tenant=tenant)
        gate.add(quota["gate"], tenant=tenant)
    tries = Family("latchspoke_tries_left", "Further tries to a service that this gateway may pay for.")
    for service, budget in seen["budgets"].items():
        tries.add(budget["level"], service=service)
    events = Family("latchspoke_events_total", "Counted events; the README names them.", "counter")
    for event, count in seen["counters"].items():
        events.add(count, event=event)
    plain = [
        Family("latchspoke_ready", "1 while this gateway is ready.").add(seen["ready"]),
        Family("latchspoke_config_version", "The configuration in force.").add(int(seen["version"], 16)),
        Family("latchspoke_config_index", "Place of the operator's last word.").add(seen["index"]),
        Family("latchspoke_lease_left_seconds", "How long it may act with keys.").add(
            seen["lease"]["left_s"]
        ),
        Family("latchspoke_gateways", "Live gateways that this one knows.").add(len(seen["gateways"])),
        Family("latchspoke_clients", "Open connections of clients.").add(seen["clients"]),
        Family("latchspoke_requests_in_hand", "Requests not yet answered.").add(seen["in_hand"]),
    ]
    return page([*plain, servers, shunned, room, gate, tries, events])


def caller(travel: Travel, body: bytes) -> tuple[int, Any] | Awaitable[tuple[int, Any]]:
    """A caller's record, or another server for it: ``route``, ``tenant``, ``caller`` and perhaps ``to``."""
    try:
        asked: dict[str, str] = msgspec.json.decode(body, type=dict[str, str])
        route, tenant, who = asked["route"], asked.get("tenant", ""), asked["caller"]
    except (KeyError, msgspec.DecodeError) as e:
        return 400, {"errorText": f"route and caller are asked for, as texts: {e}"}
    if asked.get("to"):
        return travel.move(route, tenant, who, asked["to"])
    return 200, travel.whereabouts(route, tenant, who)


def answer(node: Node, path: str, body: bytes) -> tuple[int, Any]:
    """What is asked on the readiness address beside readiness."""
    if path == "/status":
        return 200, status(node)
    if path == "/metrics":
        return 200, metrics(status(node))
    from latchspoke.dataplane.explain import AskError, explain, read_ask

    try:
        ask = read_ask(msgspec.json.decode(body))
    except (AskError, msgspec.DecodeError) as e:
        return 400, {"errorText": str(e)}
    if node.downstream.table is None:
        return 503, {"errorText": "there is no configuration yet"}
    now = node.clock.now()
    found = explain(node.downstream.table, ask, now, node.stock, node.dispatcher)
    others = told(node, now)
    for each in (server for those in found.get("servers", {}).values() for server in those):
        if each["id"] in others:
            each["evidence"] = others[each["id"]]
    if not node.ready:
        found["not_ready"] = True
    return 200, found
