"""Evidence on servers, for people."""

from __future__ import annotations

from typing import Any

from barleyhub.line.outliers import FailureEvidence, combine


def evidence(seen: dict[str, FailureEvidence]) -> dict[str, Any]:
    """What gateways saw of one server of late, faded, by their zone (``*``: all others), and witnesses."""
    whole = combine(seen.values())
    return {
        "failed": round(whole.failed, 2),
        "attempts": round(whole.attempts, 2),
        "witnesses": sorted(whole.witnesses),
        "zones": {
            zone: {"failed": round(each.failed, 2), "attempts": round(each.attempts, 2)}
            for zone, each in sorted(seen.items())
        },
    }


def line(told: dict[str, Any] | None) -> str:
    """In a table: failed of all attempts, and who saw it."""
    if told is None:
        return "-"
    return f"{told['failed']:g} of {told['attempts']:g}, by {', '.join(told['witnesses']) or 'nobody'}"
