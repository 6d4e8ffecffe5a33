"""Rollouts as shown to operators: at a control-plane node, and on the command line. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from latchspoke.version_rollouts.records import RolloutRecord
from latchspoke.version_rollouts.samples import OTHER_VERSIONS, SamplePool

SAMPLE_FIELDS = ("ended", "failed", "timed", "late")


def rollout_view(record: RolloutRecord, pool: SamplePool | None, now: float) -> dict[str, Any]:
    """One rollout, and the samples of it that this node has; the leader has those of all gateways."""
    view: dict[str, Any] = msgspec.to_builtins(record) | {"samples": None}
    if pool is None:
        return view
    routes: dict[str, dict[str, dict[str, int]]] = {}
    servers = set()
    for (server, route), counts in pool.totals().items():
        version = "others" if server == OTHER_VERSIONS else "target"
        sums = routes.setdefault(route, {}).setdefault(version, dict.fromkeys(SAMPLE_FIELDS, 0))
        for field, count in zip(SAMPLE_FIELDS, counts, strict=True):
            sums[field] += count
        servers.add(server)
    gateways = {name for name, _ in pool.reports}
    samples = {
        "gateways": len(gateways),
        "servers": len(servers - {OTHER_VERSIONS}),
        "elapsed_s": round(pool.age(now), 2),
        "routes": routes,
    }
    view["samples"] = samples
    return view


def format_rollout(service: str, view: dict[str, Any]) -> str:
    """The view of one rollout as text."""
    share = f"{100 * view['share']:.0f}% of the requests"
    lines = [
        f"{service}: {view['target_version']} is {view['state']}, {share}"
        + (f": {view['reason']}" if view["reason"] else "")
    ]
    samples = view["samples"]
    if samples is not None:
        lines.append(
            f"  {samples['elapsed_s']:.1f} of {view['duration_s']:g} s, {samples['gateways']} gateways have"
            f" reported on {samples['servers']} servers"
        )
        for route, versions in sorted(samples["routes"].items()):
            for version, counts in sorted(versions.items(), reverse=True):
                lines.append(
                    f"  {route:20} {version:7} {counts['ended']:7} ended, {counts['failed']} failed,"
                    f" {counts['late']} of {counts['timed']} late"
                )
    return "\n".join(lines)
