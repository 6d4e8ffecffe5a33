"""Evidence on servers, for people."""

from __future__ import annotations

from typing import Any

from barleyhub.line.examiner import Seen, together


def evidence(seen: dict[str, Seen]) -> dict[str, Any]:
    """What gateways saw of one server of late, faded, by their zone (``*``: all others), and witnesses."""
    whole = together(seen.values())
    return {
        "failed": round(whole.bad, 2),
        "attempts": round(whole.all, 2),
        "witnesses": sorted(whole.witnesses),
        "zones": {
            zone: {"failed": round(each.bad, 2), "attempts": round(each.all, 2)}
            for zone, each in sorted(seen.items())
        },
    }


def line(told: dict[str, Any] | None) -> str:
    """In a table: failed of all attempts, and who saw it."""
    if told is None:
        return "-"
    return f"{told['failed']:g} of {told['attempts']:g}, by {', '.join(told['witnesses']) or 'nobody'}"
