"""The read-only views of a gateway: ``GET /status`` and ``GET /metrics``.

Tenants appear under their names; their API keys are never shown.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable
from typing import TYPE_CHECKING, Any

import msgspec

from barleyhub.line.balancer import Balancer, Upstream
from barleyhub.line.dispatch import Dispatcher
from latchspoke.outliers.formatting import evidence_view
from latchspoke.process_view import process_families, process_view
from latchspoke.reach.recorder import reason_codes
from latchspoke.transport.metrics import MetricFamily, render

if TYPE_CHECKING:
    from latchspoke.dataplane.node import Node
    from latchspoke.dataplane.session_affinity import SessionAffinity

STATES = ("ready", "draining", "gone")
MAX_REFUSALS = 30  # most recent refusals shown


def remaining(until: float, now: float) -> float:
    """Seconds until a time; 0 if it has passed or was never set."""
    return round(max(until - now, 0.0), 3) if math.isfinite(until) else 0.0


def age(at: float, now: float) -> float | None:
    """Seconds since a time, or None if it was never set."""
    return round(now - at, 3) if math.isfinite(at) else None


def avoidance_reasons(balancer: Balancer, upstream: Upstream, now: float) -> list[str]:
    """Reason codes for which a server gets no requests or fewer, most severe first."""
    return list(reason_codes(balancer, upstream, now))


def server_view(balancer: Balancer, upstream: Upstream, now: float) -> dict[str, Any]:
    """One server instance, with the evidence that this gateway has on it."""
    return {
        "id": upstream.ident,
        "service": upstream.service,
        "address": f"{upstream.host}:{upstream.port}",
        "zone": upstream.zone,
        "region": upstream.region,
        "slots": upstream.slots,
        "state": STATES[int(upstream.state)],
        "avoided": avoidance_reasons(balancer, upstream, now),
        "silent": upstream.silent,
        "cold_s": remaining(upstream.cold_until, now),
        "resting_s": remaining(upstream.backoff_until, now),
        "out": upstream.in_flight,
        "errors": round(upstream.health.current_error_rate(now), 3),
        "pace": round(upstream.health.slowdown, 3),
        "answered_s_ago": age(upstream.answered_at, now),
    }


def evidence_by_server(node: Node, now: float) -> dict[str, dict[str, Any]]:
    """By server: evidence from other gateways, and the failure share that it leads to here (0: none)."""
    return {
        instance_id: evidence_view(node.examiner.evidence(instance_id, now))
        | {"share": round(node.balancer.outlier_shares.get(instance_id, 0.0), 3)}
        for instance_id in sorted(node.examiner.received)
    }


def quota_views(dispatcher: Dispatcher, now: float) -> dict[str, dict[str, Any]]:
    """Tenants with a rate limit that recently sent requests here."""
    return {
        name: {
            "rate_per_s": account.rate,
            "burst": account.burst,
            "room": round(account.remaining(now), 3),
            "gate": round(account.admission_probability(now), 3),
            "total_fresh": account.totals_fresh(now),
            "offered_per_s": round(account.offered_here(now), 3),
            "offered": account.offered,
            "admitted": account.admitted,
        }
        for name, account in sorted(dispatcher.accounts.items())
    }


def budget_views(dispatcher: Dispatcher) -> dict[str, dict[str, float]]:
    """Retry budgets by service: attempts this gateway may still spend."""
    return {
        service: {"level": round(budget.tokens, 3), "most": round(budget.capacity, 3)}
        for service, budget in sorted(dispatcher.retry_budgets.items())
    }


def refusal_views(dispatcher: Dispatcher, now: float) -> list[dict[str, Any]]:
    """The most recent refusals, newest first."""
    return [
        {"s_ago": round(now - when, 3), "reason": reason, "route": route, "tenant": tenant}
        for when, reason, route, tenant in list(dispatcher.refusals)[: -MAX_REFUSALS - 1 : -1]
    ]


def status(node: Node) -> dict[str, Any]:
    """The complete status view."""
    now, settings, configuration, lease = (
        node.clock.now(),
        node.settings,
        node.published_state.committed,
        node.lease,
    )
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
        "version": f"{configuration.version:08x}",
        "acts_by": f"{table.version:08x}" if table is not None else None,
        "index": configuration.index,
        "evacuated": sorted(configuration.evacuated),
        "rollouts": {
            service: {"target": rule.target_version, "phase": rule.phase.value, "share": rule.share}
            for service, rule in node.balancer.versions.rules.items()
        },
        "rollouts_trusted_s": remaining(node.balancer.versions.trusted_until, now),
        "lease": {
            "held": now < lease.expires_at,
            "left_s": remaining(lease.expires_at, now),
            "proven_s_ago": age(lease.proven_at, now),
        },
        "source": None
        if source is None
        else {
            "name": source.name,
            "address": f"{source.address[0]}:{source.address[1]}",
            "gateway": source.gateway,
        },
        "process": process_view(node),
        "gateways": list(node.balancer.gateways),
        "clients": len(node.downstream.clients),
        "in_hand": node.downstream.in_flight,
        "body_memory": {
            "requests": node.downstream.body_memory.view(),
            "responses": node.upstream_pools.body_memory.view(),
        },
        "servers": [
            server_view(node.balancer, upstream, now) for upstream in node.balancer.upstreams.values()
        ],
        "evidence": evidence_by_server(node, now),
        "usual_s": {
            route: round(seconds, 4) for route, seconds in sorted(node.balancer.route_latency.items())
        },
        "quotas": quota_views(node.dispatcher, now),
        "budgets": budget_views(node.dispatcher),
        "refusals": refusal_views(node.dispatcher, now),
        "counters": dict(sorted(node.stats.items())),
    } | ({} if node.session_affinity is None else {"travel": node.session_affinity.sizes()})


def metrics(view: dict[str, Any]) -> str:
    """The metrics page of a status view."""
    servers = MetricFamily("latchspoke_servers", "Servers that this gateway knows, by service and state.")
    avoided = MetricFamily("latchspoke_servers_avoided", "Servers that get less or nothing, by reason code.")
    states: dict[tuple[str, str], int] = {}
    reasons: dict[str, int] = {}
    for server in view["servers"]:
        key = server["service"], server["state"]
        states[key] = states.get(key, 0) + 1
        for reason in server["avoided"]:
            reasons[reason] = reasons.get(reason, 0) + 1
    for (service, state), count in sorted(states.items()):
        servers.add(count, service=service, state=state)
    for reason, count in sorted(reasons.items()):
        avoided.add(count, reason=reason)
    quota_room = MetricFamily("latchspoke_quota_room", "Units left to a tenant, as this gateway knows.")
    quota_gate = MetricFamily(
        "latchspoke_quota_gate", "Share of a tenant's requests that the gate lets pass."
    )
    for tenant, quota in view["quotas"].items():
        quota_room.add(quota["room"], tenant=tenant)
        quota_gate.add(quota["gate"], tenant=tenant)
    retries_left = MetricFamily(
        "latchspoke_tries_left", "Further tries to a service that this gateway may pay for."
    )
    for service, budget in view["budgets"].items():
        retries_left.add(budget["level"], service=service)
    body_bytes = MetricFamily("latchspoke_body_bytes_held", "Bytes of large bodies in memory.")
    body_limits = MetricFamily("latchspoke_body_bytes_limit", "Above this, large bodies wait.")
    bodies_waiting = MetricFamily("latchspoke_bodies_waiting", "Large bodies that wait for memory.")
    for kind, memory in view["body_memory"].items():
        body_bytes.add(memory["held"], kind=kind)
        body_limits.add(memory["limit"], kind=kind)
        bodies_waiting.add(memory["waiting"], kind=kind)
    bodies = [body_bytes, body_limits, bodies_waiting]
    events = MetricFamily("latchspoke_events_total", "Counted events; the README names them.", "counter")
    for event, count in view["counters"].items():
        events.add(count, event=event)
    gauges = [
        MetricFamily("latchspoke_ready", "1 while this gateway is ready.").add(view["ready"]),
        MetricFamily("latchspoke_config_version", "The configuration in force.").add(
            int(view["version"], 16)
        ),
        MetricFamily("latchspoke_config_index", "Place of the operator's last word.").add(view["index"]),
        MetricFamily("latchspoke_lease_left_seconds", "How long it may act with keys.").add(
            view["lease"]["left_s"]
        ),
        MetricFamily("latchspoke_gateways", "Live gateways that this one knows.").add(len(view["gateways"])),
        MetricFamily("latchspoke_clients", "Open connections of clients.").add(view["clients"]),
        MetricFamily("latchspoke_requests_in_hand", "Requests not yet answered.").add(view["in_hand"]),
    ]
    process = process_families(view["process"])
    return render(
        [*gauges, *process, *bodies, servers, avoided, quota_room, quota_gate, retries_left, events]
    )


def handle_caller_request(
    affinity: SessionAffinity, body: bytes
) -> tuple[int, Any] | Awaitable[tuple[int, Any]]:
    """A caller's session record, or binding the caller to another server.

    The body has ``route``, ``caller``, optionally ``tenant`` and ``to`` (the instance to move to).
    """
    try:
        fields: dict[str, str] = msgspec.json.decode(body, type=dict[str, str])
        route, tenant, caller = fields["route"], fields.get("tenant", ""), fields["caller"]
    except (KeyError, msgspec.DecodeError) as error:
        return 400, {"errorText": f"route and caller are asked for, as texts: {error}"}
    if fields.get("to"):
        return affinity.move_caller(route, tenant, caller, fields["to"])
    return 200, affinity.record_view(route, tenant, caller)


def handle_request(node: Node, path: str, body: bytes) -> tuple[int, Any]:
    """Answer a view request other than readiness."""
    if path == "/status":
        return 200, status(node)
    if path == "/metrics":
        return 200, metrics(status(node))
    from latchspoke.dataplane.explain import ExplainRequestError, explain, read_explain_request

    try:
        request = read_explain_request(msgspec.json.decode(body))
    except (ExplainRequestError, msgspec.DecodeError) as error:
        return 400, {"errorText": str(error)}
    if node.downstream.table is None:
        return 503, {"errorText": "there is no configuration yet"}
    now = node.clock.now()
    result = explain(node.downstream.table, request, now, node.balancer, node.dispatcher)
    evidence = evidence_by_server(node, now)
    for entry in (item for servers in result.get("servers", {}).values() for item in servers):
        if entry["id"] in evidence:
            entry["evidence"] = evidence[entry["id"]]
    if not node.ready:
        result["not_ready"] = True
    return 200, result
