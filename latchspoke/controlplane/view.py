"""What a control machine shows of itself and of the fleet: ``GET /status``, ``/metrics``, ``/history``.

Keys of tenants are no part of it, nor is the configuration.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from latchspoke.outliers.show import evidence
from latchspoke.registry.registry import Entry, State
from latchspoke.transport.metrics import Family, page

if TYPE_CHECKING:
    from latchspoke.controlplane.node import Node

STATES = {State.READY: "ready", State.DRAINING: "draining", State.GONE: "gone"}


def server(entry: Entry, zones: dict[str, str], now: float) -> dict[str, Any]:
    """One life, as its beats tell."""
    avoided = {
        "gone": entry.state is State.GONE,
        "draining": entry.state is State.DRAINING,
        "silent": entry.silent,
        "cold": entry.cold_until > now,
    }
    return {
        "id": entry.ident,
        "service": entry.service,
        "address": entry.address,
        "zone": entry.zone,
        "region": zones.get(entry.zone, entry.zone),
        "slots": entry.slots,
        "state": STATES[entry.state],
        "avoided": [code for code, holds in avoided.items() if holds],
        "silent": entry.silent,
        "cold_s": round(max(entry.cold_until - now, 0.0), 3),
        "beat_s_ago": round(max(now - entry.heard_at, 0.0), 3),
        "version": entry.version,
    }


def history(node: Node) -> list[dict[str, Any]]:
    """The versions that the register remembers, the newest first; a digest names what the operator sent."""
    kept = node.replica.state
    return [
        {"version": f"{version:08x}", "digest": digest, "current": version == kept.version}
        for version, digest in reversed(kept.history.items())
    ]


def members(node: Node) -> list[dict[str, Any]]:
    """Gateways and control machines that the membership knows to live, with what each has acknowledged."""
    membership, index = node.post.membership, node.board.orders.index
    read = {reader.name: reader.index for reader in node.board.readers}
    found = []
    for name, member in sorted(membership.alive.items()):
        meta = member.meta
        door = meta.get("door")
        seen = {
            "name": name,
            "role": meta.get("role"),
            "zone": meta.get("zone"),
            "region": meta.get("region"),
            "address": f"{member.host}:{member.port}",
            "ready": bool(meta.get("ready")),
            "suspected": name in membership.suspects,
            "front": meta.get("front"),
            "status": f"{member.host}:{door}" if door else None,
        }
        if name in read:
            # Only those that follow this machine have told it what they know.
            seen |= {"follows_here": True, "index": read[name], "behind": read[name] < index}
        found.append(seen)
    return found


def status(node: Node) -> dict[str, Any]:
    """The whole view."""
    now, settings, kept = node.clock.now(), node.settings, node.replica.state
    return {
        "name": settings.name,
        "role": "core",
        "zone": settings.zone,
        "region": settings.region,
        "life": node.life,
        "stopping": node.stopping,
        "version": f"{kept.version:08x}",
        "index": kept.index,
        "told_index": node.board.orders.index,
        "evacuated": sorted(kept.evacuated),
        "register": node.replica.status(),
        "peers_connected": node.peers.connected,
        "members": members(node),
        "gone": sorted(node.post.membership.gone),
        "servers": [server(e, settings.zones, now) for e in node.registry.entries.values()],
        "evidence": {
            ident: evidence(node.ledger.evidence(ident, now))
            for ident in sorted({*node.ledger.first, *node.ledger.second})
        },
        "history": history(node)[:5],
    }


def metrics(seen: dict[str, Any]) -> str:
    """The text format of a view."""
    register = seen["register"]
    people = Family("latchspoke_members", "Live machines that the membership knows, by role and state.")
    counts: dict[tuple[str, str], int] = {}
    for member in seen["members"]:
        state = "suspected" if member["suspected"] else "ready" if member["ready"] else "not_ready"
        key = str(member["role"]), state
        counts[key] = counts.get(key, 0) + 1
    for (role, state), count in sorted(counts.items()):
        people.add(count, role=role, state=state)
    servers = Family("latchspoke_servers", "Servers by service and state, as their beats tell.")
    states: dict[tuple[str, str], int] = {}
    for each in seen["servers"]:
        key = each["service"], "silent" if each["silent"] else each["state"]
        states[key] = states.get(key, 0) + 1
    for (service, state), count in sorted(states.items()):
        servers.add(count, service=service, state=state)
    following = [member for member in seen["members"] if member.get("follows_here")]
    return page(
        [
            Family("latchspoke_config_version", "The configuration in force.").add(int(seen["version"], 16)),
            Family("latchspoke_config_index", "Place of the operator's last word.").add(seen["index"]),
            Family("latchspoke_register_leads", "1 on the machine that leads the register.").add(
                register["role"] == "leader"
            ),
            Family("latchspoke_register_leader_known", "1 while a leader is known here.").add(
                bool(register["leader"])
            ),
            Family("latchspoke_register_term", "The register's term.").add(register["term"]),
            Family("latchspoke_register_voters", "Machines that vote.").add(len(register["voters"])),
            Family("latchspoke_register_commit", "Committed place of the log.").add(register["commit"]),
            Family("latchspoke_register_applied", "Applied place of the log.").add(register["applied"]),
            Family("latchspoke_register_disk_refuses", "1 while the disk takes nothing.").add(
                bool(register["disk"])
            ),
            Family("latchspoke_gateways_following", "Gateways told from here.").add(len(following)),
            Family("latchspoke_gateways_behind", "Of these, those that don't know the newest.").add(
                sum(bool(member["behind"]) for member in following)
            ),
            Family("latchspoke_members_gone", "Machines that the membership holds to be gone.").add(
                len(seen["gone"])
            ),
            people,
            servers,
        ]
    )


def copy(node: Node) -> bytes:
    """The operator's word, as ``store restore`` reads it. It has the tenants' keys in it."""
    from latchspoke.configstore import copies

    register = node.replica.node
    return copies.write(copies.make_copy(register.state, register.applied_index, node.settings.name))


def answer(node: Node, what: str) -> Any:
    """What is asked on the control address beside the protocol's calls."""
    match what:
        case "status":
            return status(node)
        case "metrics":
            return metrics(status(node))
        case "history":
            return {"versions": history(node)}
        case "copy":
            return copy(node)
    raise ValueError(what)
