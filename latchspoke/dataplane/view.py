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
from latchspoke.outliers.show import evidence
from latchspoke.reach.graph import standing
from latchspoke.transport.metrics import MetricFamily, render

if TYPE_CHECKING:
    from latchspoke.dataplane.node import Node
    from latchspoke.dataplane.session_affinity import SessionAffinity

STATES = ("ready", "draining", "gone")
MAX_REFUSALS = 30  # of the last ones are shown


def remaining(until: float, now: float) -> float:
    """Seconds until then; 0 where it is past or never was."""
    return round(max(until - now, 0.0), 3) if math.isfinite(until) else 0.0


def age(at: float, now: float) -> float | None:
    return round(now - at, 3) if math.isfinite(at) else None


def avoidance_reasons(stock: Stock, upstream: Upstream, now: float) -> list[str]:
    """Why it gets nothing, or less than its part: reason codes, the hardest first."""
    return list(standing(stock, upstream, now))


def server_view(stock: Stock, upstream: Upstream, now: float) -> dict[str, Any]:
    """One life of a server, with the evidence that this gateway has."""
    return {
        "id": upstream.ident,
        "service": upstream.service,
        "address": f"{upstream.host}:{upstream.port}",
        "zone": upstream.zone,
        "region": upstream.region,
        "slots": upstream.slots,
        "state": STATES[int(upstream.state)],
        "avoided": avoidance_reasons(stock, upstream, now),
        "silent": upstream.silent,
        "cold_s": remaining(upstream.cold_until, now),
        "resting_s": remaining(upstream.rest_until, now),
        "out": upstream.out,
        "errors": round(upstream.own.share(now), 3),
        "pace": round(upstream.own.pace, 3),
        "answered_s_ago": age(upstream.answered_at, now),
    }


def evidence_view(node: Node, now: float) -> dict[str, dict[str, Any]]:
    """By server: the evidence of others, and the share of failures that it makes here (0: none)."""
    return {
        ident: evidence(node.examiner.seen(ident, now))
        | {"share": round(node.balancer.told.get(ident, 0.0), 3)}
        for ident in sorted(node.examiner.told)
    }


def quota_views(dispatcher: Dispatcher, now: float) -> dict[str, dict[str, Any]]:
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


def budget_views(dispatcher: Dispatcher) -> dict[str, dict[str, float]]:
    """Further tries that this gateway may still pay for, by service."""
    return {
        service: {"level": round(tries.level, 3), "most": round(tries.most, 3)}
        for service, tries in sorted(dispatcher.tries.items())
    }


def refusal_views(dispatcher: Dispatcher, now: float) -> list[dict[str, Any]]:
    """The last ones, the newest first."""
    return [
        {"s_ago": round(now - at, 3), "reason": reason, "route": route, "tenant": tenant}
        for at, reason, route, tenant in list(dispatcher.refusals)[: -MAX_REFUSALS - 1 : -1]
    ]


def status(node: Node) -> dict[str, Any]:
    """The whole view."""
    now, settings, orders, lease = node.clock.now(), node.settings, node.published_state.orders, node.lease
    source = node.subscription.source if node.subscription.connection is not None else None
    table = node.downstream.table
    return {
        "name": settings.name,
        "role": "edge",
        "zone": settings.zone,
        "region": settings.region,
        "life": node.instance_id,
        "ready": node.ready,
        "stopping": node.downstream.stopping,
        "version": f"{orders.version:08x}",
        "acts_by": f"{table.version:08x}" if table is not None else None,
        "index": orders.index,
        "evacuated": sorted(orders.evacuated),
        "lease": {
            "held": now < lease.until,
            "left_s": remaining(lease.until, now),
            "proven_s_ago": age(lease.proven_at, now),
        },
        "source": None
        if source is None
        else {
            "name": source.name,
            "address": f"{source.address[0]}:{source.address[1]}",
            "gateway": source.gateway,
        },
        "gateways": list(node.balancer.gateways),
        "clients": len(node.downstream.clients),
        "in_hand": node.downstream.in_flight,
        "servers": [server_view(node.balancer, w, now) for w in node.balancer.upstreams.values()],
        "evidence": evidence_view(node, now),
        "usual_s": {route: round(s, 4) for route, s in sorted(node.balancer.usual.items())},
        "quotas": quota_views(node.dispatcher, now),
        "budgets": budget_views(node.dispatcher),
        "refusals": refusal_views(node.dispatcher, now),
        "counters": dict(sorted(node.stats.items())),
    } | ({} if node.session_affinity is None else {"travel": node.session_affinity.sizes()})


def metrics(seen: dict[str, Any]) -> str:
    """The text format of a view."""
    servers = MetricFamily("latchspoke_servers", "Servers that this gateway knows, by service and state.")
    shunned = MetricFamily("latchspoke_servers_avoided", "Servers that get less or nothing, by reason code.")
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
    room = MetricFamily("latchspoke_quota_room", "Units left to a tenant, as this gateway knows.")
    gate = MetricFamily("latchspoke_quota_gate", "Share of a tenant's requests that the gate lets pass.")
    for tenant, quota in seen["quotas"].items():
        room.add(quota["room"], tenant=tenant)
        gate.add(quota["gate"], tenant=tenant)
    tries = MetricFamily("latchspoke_tries_left", "Further tries to a service that this gateway may pay for.")
    for service, budget in seen["budgets"].items():
        tries.add(budget["level"], service=service)
    events = MetricFamily("latchspoke_events_total", "Counted events; the README names them.", "counter")
    for event, count in seen["counters"].items():
        events.add(count, event=event)
    plain = [
        MetricFamily("latchspoke_ready", "1 while this gateway is ready.").add(seen["ready"]),
        MetricFamily("latchspoke_config_version", "The configuration in force.").add(
            int(seen["version"], 16)
        ),
        MetricFamily("latchspoke_config_index", "Place of the operator's last word.").add(seen["index"]),
        MetricFamily("latchspoke_lease_left_seconds", "How long it may act with keys.").add(
            seen["lease"]["left_s"]
        ),
        MetricFamily("latchspoke_gateways", "Live gateways that this one knows.").add(len(seen["gateways"])),
        MetricFamily("latchspoke_clients", "Open connections of clients.").add(seen["clients"]),
        MetricFamily("latchspoke_requests_in_hand", "Requests not yet answered.").add(seen["in_hand"]),
    ]
    return render([*plain, servers, shunned, room, gate, tries, events])


def handle_caller_request(
    travel: SessionAffinity, body: bytes
) -> tuple[int, Any] | Awaitable[tuple[int, Any]]:
    """A caller's record, or another server for it: ``route``, ``tenant``, ``caller`` and perhaps ``to``."""
    try:
        asked: dict[str, str] = msgspec.json.decode(body, type=dict[str, str])
        route, tenant, who = asked["route"], asked.get("tenant", ""), asked["caller"]
    except (KeyError, msgspec.DecodeError) as e:
        return 400, {"errorText": f"route and caller are asked for, as texts: {e}"}
    if asked.get("to"):
        return travel.move_caller(route, tenant, who, asked["to"])
    return 200, travel.record_view(route, tenant, who)


def handle_request(node: Node, path: str, body: bytes) -> tuple[int, Any]:
    """What is asked on the readiness address beside readiness."""
    if path == "/status":
        return 200, status(node)
    if path == "/metrics":
        return 200, metrics(status(node))
    from latchspoke.dataplane.explain import ExplainRequestError, explain, read_explain_request

    try:
        ask = read_explain_request(msgspec.json.decode(body))
    except (ExplainRequestError, msgspec.DecodeError) as e:
        return 400, {"errorText": str(e)}
    if node.downstream.table is None:
        return 503, {"errorText": "there is no configuration yet"}
    now = node.clock.now()
    found = explain(node.downstream.table, ask, now, node.balancer, node.dispatcher)
    others = evidence_view(node, now)
    for each in (server_view for those in found.get("servers", {}).values() for server_view in those):
        if each["id"] in others:
            each["evidence"] = others[each["id"]]
    if not node.ready:
        found["not_ready"] = True
    return 200, found
