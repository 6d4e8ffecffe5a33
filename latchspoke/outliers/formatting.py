"""Evidence on servers, as shown to operators."""

from __future__ import annotations

from typing import Any

from barleyhub.line.outliers import FailureEvidence, combine


def evidence_view(by_zone: dict[str, FailureEvidence]) -> dict[str, Any]:
    """Decayed counts of one server by the gateways' zone (``*``: all others), and who saw failures."""
    total = combine(by_zone.values())
    return {
        "failed": round(total.failed, 2),
        "attempts": round(total.attempts, 2),
        "witnesses": sorted(total.witnesses),
        "zones": {
            zone: {"failed": round(counts.failed, 2), "attempts": round(counts.attempts, 2)}
            for zone, counts in sorted(by_zone.items())
        },
    }


def format_evidence(view: dict[str, Any] | None) -> str:
    """Table cell: failed attempts of all, and who saw them."""
    if view is None:
        return "-"
    return f"{view['failed']:g} of {view['attempts']:g}, by {', '.join(view['witnesses']) or 'nobody'}"
