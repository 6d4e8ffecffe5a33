"""What a gateway reports at the operators' door, in the form of statsd; made only when it is asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from latchspoke.net.serve import Node

ENDS = ("answered", "deferred", "errored")
SHUNNED = 0.5  # a server with such a share of errors is as good as avoided


def figures(node: Node) -> str:
    """A line each; the counters begin with the process."""
    stats, gateway, now = node.stats, node.core.gateway, node.clock.now()
    classes = dict.fromkeys(gateway.classes) | dict.fromkeys(
        name.partition(".")[2] for name in stats if name.partition(".")[0] in ENDS
    )
    lines = [f"app.{end}.{name}:{stats[f'{end}.{name}']}|c" for name in classes for end in ENDS]
    lines += [
        f"app.sends:{stats['forwards.whole']}|c",
        f"app.current:{node.listener.current}|g",
        f"app.cluster_size:{len(node.group.targets)}|g",
        f"app.cluster_unhealthy:{len(avoided(node, now))}|g",
        f"app.conf_loaded:{stats['conf.loaded']}|c",
        f"app.conf_invalid:{stats['conf.invalid']}|c",
    ]
    return "".join(f"{line}\n" for line in lines)


def avoided(node: Node, now: float) -> list[str]:
    """Listed servers that leave, were taken out by hand or by rules, or fail more often than not."""
    gateway = node.core.gateway
    names = []
    for name, target in node.group.targets.items():
        server = gateway.servers.get(name)
        barred = name in gateway.in_maintenance or name in gateway.excluded_servers
        if server is None or not target.active or barred or server.health.current_error_rate(now) >= SHUNNED:
            names.append(name)
    return names
