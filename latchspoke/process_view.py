"""What a process shows of itself: its age, its limits, and what has failed in it without ending it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from latchspoke.transport.metrics import MetricFamily
from latchspoke.transport.output import lost_lines

if TYPE_CHECKING:
    from latchspoke.node_process import NodeProcess


def process_view(node: NodeProcess) -> dict[str, Any]:
    """The part of a status view that all programs share."""
    return {
        "age_s": round(node.clock.now() - node.created_at, 3),
        "descriptors": node.settings.file_descriptors,
        "memory_mb": node.settings.memory_mb,
        "failures": node.failures,
        "log_lines_lost": lost_lines(),
    }


def process_families(view: dict[str, Any]) -> list[MetricFamily]:
    """The metrics of ``process_view``."""
    return [
        MetricFamily("latchspoke_process_age_seconds", "Time since the process started.").add(view["age_s"]),
        MetricFamily("latchspoke_descriptors_limit", "Descriptors that the process may open.").add(
            view["descriptors"]
        ),
        MetricFamily(
            "latchspoke_failures_total", "Tasks and callbacks that ended with an exception.", "counter"
        ).add(view["failures"]),
        MetricFamily(
            "latchspoke_log_lines_lost_total", "Lines of the log that could not be written.", "counter"
        ).add(view["log_lines_lost"]),
    ]
