"""Views of a control-plane node and the fleet: ``GET /status``, ``/metrics``, ``/history``.

They contain neither the configuration nor API keys; only the export does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from latchspoke.outliers.formatting import evidence_view
from latchspoke.process_view import process_families, process_view
from latchspoke.registry.registry import Entry, State
from latchspoke.transport.metrics import MetricFamily, render

if TYPE_CHECKING:
    from latchspoke.controlplane.node import Node

STATES = {State.READY: "ready", State.DRAINING: "draining", State.GONE: "gone"}


def server_view(entry: Entry, zones: dict[str, str], now: float) -> dict[str, Any]:
    """One server instance, as its heartbeats report it."""
    avoided = {
        "gone": entry.state is State.GONE,
        "draining": entry.state is State.DRAINING,
        "silent": entry.silent,
        "cold": entry.cold_until > now,
    }
    return {
        "id": entry.instance_id,
        "service": entry.service,
        "address": entry.address,
        "zone": entry.zone,
        "region": zones.get(entry.zone, entry.zone),
        "slots": entry.slots,
        "state": STATES[entry.state],
        "avoided": [code for code, holds in avoided.items() if holds],
        "silent": entry.silent,
        "cold_s": round(max(entry.cold_until - now, 0.0), 3),
        "beat_s_ago": round(max(now - entry.last_heartbeat_at, 0.0), 3),
        "version": entry.version,
    }


def history_view(node: Node) -> list[dict[str, Any]]:
    """The configuration versions in the replicated store, newest first, with the digests of the requests."""
    stored = node.replica.state
    return [
        {"version": f"{version:08x}", "digest": digest, "current": version == stored.version}
        for version, digest in reversed(stored.history.items())
    ]


def members_view(node: Node) -> list[dict[str, Any]]:
    """The live gateways and control-plane nodes, with the index that each subscriber has acknowledged."""
    membership, current_index = node.membership_transport.membership, node.published_state.committed.index
    acknowledged_index = {
        subscriber.name: subscriber.acknowledged_index for subscriber in node.published_state.subscribers
    }
    views = []
    for name, member in sorted(membership.alive.items()):
        meta = member.meta
        status_port = meta.get("door")
        view = {
            "name": name,
            "role": meta.get("role"),
            "zone": meta.get("zone"),
            "region": meta.get("region"),
            "address": f"{member.host}:{member.port}",
            "ready": bool(meta.get("ready")),
            "suspected": name in membership.suspects,
            "front": meta.get("front"),
            "status": f"{member.host}:{status_port}" if status_port else None,
        }
        if name in acknowledged_index:
            # Known only for the gateways subscribed to this node.
            view |= {
                "follows_here": True,
                "index": acknowledged_index[name],
                "behind": acknowledged_index[name] < current_index,
            }
        views.append(view)
    return views


def status_view(node: Node) -> dict[str, Any]:
    """The status of the node and the fleet."""
    now, settings, stored = node.clock.now(), node.settings, node.replica.state
    return {
        "name": settings.name,
        "role": "core",
        "zone": settings.zone,
        "region": settings.region,
        "life": node.instance_id,
        "stopping": node.stopping,
        "unknown_calls": node.unknown_calls,
        "version": f"{stored.version:08x}",
        "index": stored.index,
        "told_index": node.published_state.committed.index,
        "evacuated": sorted(stored.evacuated),
        "evacuations": {zone: stored.evacuation_count(zone) for zone in sorted(stored.evacuated)},
        "ack_s": node.evacuations.ack_s,
        "process": process_view(node),
        "callers": len(node.connection_limit.connections),
        "bodies_refused": node.call_budget.refused,
        "rollouts": node.rollouts.view(),
        "register": node.replica.status(),
        "peers_connected": node.peers.connected_count,
        "members": members_view(node),
        "gone": sorted(node.membership_transport.membership.removed),
        "servers": [
            server_view(entry, settings.regions_by_zone, now) for entry in node.registry.entries.values()
        ],
        "evidence": {
            instance_id: evidence_view(node.ledger.evidence(instance_id, now))
            for instance_id in sorted({*node.ledger.direct, *node.ledger.relayed})
        },
        "history": history_view(node)[:5],
    }


def render_metrics(view: dict[str, Any]) -> str:
    """A status view in the text format of metrics."""
    register = view["register"]
    member_family = MetricFamily(
        "latchspoke_members", "Live machines that the membership knows, by role and state."
    )
    counts: dict[tuple[str, str], int] = {}
    for member in view["members"]:
        state = "suspected" if member["suspected"] else "ready" if member["ready"] else "not_ready"
        key = str(member["role"]), state
        counts[key] = counts.get(key, 0) + 1
    for (role, state), count in sorted(counts.items()):
        member_family.add(count, role=role, state=state)
    server_family = MetricFamily("latchspoke_servers", "Servers by service and state, as their beats tell.")
    states: dict[tuple[str, str], int] = {}
    for server in view["servers"]:
        key = server["service"], "silent" if server["silent"] else server["state"]
        states[key] = states.get(key, 0) + 1
    for (service, state), count in sorted(states.items()):
        server_family.add(count, service=service, state=state)
    rollout_family = MetricFamily("latchspoke_rollout", "1 for each rollout, by its state.")
    share_family = MetricFamily("latchspoke_rollout_share", "Share of the requests for the target version.")
    for service, rollout in sorted(view["rollouts"].items()):
        labels = {"service": service, "target": rollout["target_version"]}
        rollout_family.add(1, **labels, state=rollout["state"])
        share_family.add(rollout["share"], **labels)
    following = [member for member in view["members"] if member.get("follows_here")]
    return render(
        [
            MetricFamily("latchspoke_config_version", "The configuration in force.").add(
                int(view["version"], 16)
            ),
            MetricFamily("latchspoke_config_index", "Place of the operator's last word.").add(view["index"]),
            MetricFamily("latchspoke_unknown_calls_total", "Calls that this release doesn't answer.").add(
                view["unknown_calls"]
            ),
            MetricFamily("latchspoke_register_leads", "1 on the machine that leads the register.").add(
                register["role"] == "leader"
            ),
            MetricFamily("latchspoke_register_leader_known", "1 while a leader is known here.").add(
                bool(register["leader"])
            ),
            MetricFamily("latchspoke_register_term", "The register's term.").add(register["term"]),
            MetricFamily("latchspoke_register_voters", "Machines that vote.").add(len(register["voters"])),
            MetricFamily("latchspoke_register_commit", "Committed place of the log.").add(register["commit"]),
            MetricFamily("latchspoke_register_applied", "Applied place of the log.").add(register["applied"]),
            MetricFamily("latchspoke_register_disk_refuses", "1 while the disk takes nothing.").add(
                bool(register["disk"])
            ),
            MetricFamily("latchspoke_gateways_following", "Gateways told from here.").add(len(following)),
            MetricFamily("latchspoke_gateways_behind", "Of these, those that don't know the newest.").add(
                sum(bool(member["behind"]) for member in following)
            ),
            MetricFamily("latchspoke_members_gone", "Machines that the membership holds to be gone.").add(
                len(view["gone"])
            ),
            MetricFamily("latchspoke_caller_connections", "Open connections of callers.").add(
                view["callers"]
            ),
            MetricFamily("latchspoke_bodies_refused_total", "Calls without room for their body.").add(
                view["bodies_refused"]
            ),
            *process_families(view["process"]),
            member_family,
            server_family,
            rollout_family,
            share_family,
        ]
    )


def export_state(node: Node) -> bytes:
    """The committed state for ``store restore``. Contains the tenants' API keys."""
    from latchspoke.configstore import copies

    register = node.replica.node
    return copies.write(copies.make_copy(register.state, register.applied_index, node.settings.name))


def render_view(node: Node, what: str) -> Any:
    """The view with this name. Raises ValueError."""
    match what:
        case "status":
            return status_view(node)
        case "metrics":
            return render_metrics(status_view(node))
        case "history":
            return {"versions": history_view(node)}
        case "copy":
            return export_state(node)
    raise ValueError(what)
