"""What a process shows of itself: its age, its limits, and what has failed in it without ending it."""

from __future__ import annotations

import os
import resource
from typing import TYPE_CHECKING, Any

from latchspoke.transport.metrics import MetricFamily
from latchspoke.transport.output import lost_lines

if TYPE_CHECKING:
    from latchspoke.node_process import NodeProcess

KIB_PER_MIB = 1024


def process_view(node: NodeProcess) -> dict[str, Any]:
    """The part of a status view that all programs share."""
    return {
        "age_s": round(node.clock.now() - node.created_at, 3),
        "descriptors": node.settings.file_descriptors,
        "memory_mb": node.settings.memory_mb,
        "peak_memory_mb": peak_memory_mb(),
        "threads": thread_count(),
        "messages_refused": node.message_budget.refused,
        "servers_refused": node.registry.refused,
        "failures": node.failures,
        "log_lines_lost": lost_lines(),
    }


def peak_memory_mb() -> int:
    """The highest resident memory of this process so far (MB)."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIB_PER_MIB


def thread_count() -> int:
    """The threads of this process; 0 if they can't be counted."""
    try:
        return len(os.listdir("/proc/self/task"))
    except OSError:
        return 0


def process_families(view: dict[str, Any]) -> list[MetricFamily]:
    """The metrics of ``process_view``."""
    return [
        MetricFamily("latchspoke_process_age_seconds", "Time since the process started.").add(view["age_s"]),
        MetricFamily("latchspoke_descriptors_limit", "Descriptors that the process may open.").add(
            view["descriptors"]
        ),
        MetricFamily("latchspoke_peak_memory_mb", "Highest resident memory so far.").add(
            view["peak_memory_mb"]
        ),
        MetricFamily("latchspoke_threads", "Threads of the process.").add(view["threads"]),
        MetricFamily(
            "latchspoke_messages_refused_total", "Messages of other processes without room.", "counter"
        ).add(view["messages_refused"]),
        MetricFamily("latchspoke_servers_refused_total", "New servers without room.", "counter").add(
            view["servers_refused"]
        ),
        MetricFamily(
            "latchspoke_failures_total", "Tasks and callbacks that ended with an exception.", "counter"
        ).add(view["failures"]),
        MetricFamily(
            "latchspoke_log_lines_lost_total", "Lines of the log that could not be written.", "counter"
        ).add(view["log_lines_lost"]),
    ]
