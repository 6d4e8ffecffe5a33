"""Metrics of a gateway in the statsd format, computed on request for the operator API."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from latchspoke.net.serve import Node

OUTCOMES = ("answered", "deferred", "errored")
UNHEALTHY_ERROR_RATE = 0.5


def format_metrics(node: Node) -> str:
    """Return one line per metric; counters start at zero with the process."""
    stats, gateway, now = node.stats, node.core.gateway, node.clock.now()
    services = dict.fromkeys(gateway.classes) | dict.fromkeys(
        name.partition(".")[2] for name in stats if name.partition(".")[0] in OUTCOMES
    )
    lines = [
        f"app.{outcome}.{name}:{stats[f'{outcome}.{name}']}|c" for name in services for outcome in OUTCOMES
    ]
    lines += [
        f"app.sends:{stats['forwards.whole']}|c",
        f"app.current:{node.listener.requests_in_flight}|g",
        f"app.cluster_size:{len(node.target_group.targets)}|g",
        f"app.cluster_unhealthy:{len(unhealthy_servers(node, now))}|g",
        f"app.conf_loaded:{stats['conf.loaded']}|c",
        f"app.conf_invalid:{stats['conf.invalid']}|c",
    ]
    return "".join(f"{line}\n" for line in lines)


def unhealthy_servers(node: Node, now: float) -> list[str]:
    """Return listed servers that are draining, in maintenance, excluded by rules, or failing."""
    gateway = node.core.gateway
    names = []
    for name, target in node.target_group.targets.items():
        server = gateway.servers.get(name)
        excluded = name in gateway.in_maintenance or name in gateway.excluded_servers
        if (
            server is None
            or not target.active
            or excluded
            or server.health.current_error_rate(now) >= UNHEALTHY_ERROR_RATE
        ):
            names.append(name)
    return names
