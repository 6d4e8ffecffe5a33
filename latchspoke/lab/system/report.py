"""HTML report of a day with plots and findings, and the events of one request, server or machine."""

from __future__ import annotations

import base64
import html
import io
import math
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

from latchspoke.lab.system.day import DayResult
from latchspoke.lab.system.rules import Finding

if TYPE_CHECKING:
    from latchspoke.lab.system.hunt import Outcome


def story_lines(result: DayResult, who: str, at: float, window: float) -> list[str]:
    """Events of ``who``, or of all machines, within ``window`` seconds of ``at``, in order of time."""
    record = result.record
    lines: list[tuple[float, str]] = [
        (when, f"trouble: {what.strip()}") for when, what in record.injected_troubles
    ]
    attempt = record.attempts.get(who)
    machines: set[str] = set()
    if attempt is not None:
        lines.append(
            (attempt.sent, f"sent to {attempt.gateway}: {attempt.method} {attempt.host}{attempt.path}")
        )
        lines.append((attempt.ended, f"answered {attempt.status}"))
        machines.add(result.edges.get(attempt.gateway, ""))
    for arrival in record.arrivals:
        if who and who in (arrival.ident, arrival.server):
            ran = "runs" if arrival.ran else f"turned away with {arrival.status}"
            lines.append((arrival.at, f"{arrival.server} ({arrival.service}): {arrival.ident} {ran}"))
            machines.add(result.edges.get(arrival.source, ""))
    for command in record.commands:
        name = f"{command.what} {command.version:08x} on {command.base:08x} {command.zone}"
        lines.append((command.sent, f"operator sends {name}"))
        if not math.isinf(command.acked_at):
            lines.append((command.acked_at, f"acknowledged by {command.answered_by}: {name}"))
        if not math.isinf(command.refused_at):
            lines.append(
                (command.refused_at, f"refused with {command.status} by {command.answered_by}: {name}")
            )
    for when, machine, event, fields in record.log_events:
        if not machines or machine in machines or machine == who or machine.startswith("core"):
            field_text = " ".join(f"{k}={v}" for k, v in fields.items())
            lines.append((when, f"{machine}: {event} {field_text}"))
    in_window = sorted((when, line) for when, line in lines if abs(when - at) <= window)
    return [f"{when:8.3f} {line}" for when, line in in_window]


def write(folder: Path, result: DayResult, findings: list[Finding], outcome: Outcome) -> None:
    """Write ``report.html`` to the folder, which is created if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = "".join(f"<li><code>{html.escape(str(f))}</code></li>" for f in findings)
    troubles = "".join(f"<li><code>{html.escape(str(t))}</code></li>" for t in result.day.troubles)
    pictures = "".join(
        f"<h2>{title}</h2><img src='data:image/png;base64,{plot}'>" for title, plot in plots(result)
    )
    page = (
        f"<!doctype html><meta charset='utf-8'><title>{html.escape(outcome.deployment)}</title>"
        f"<h1>{html.escape(outcome.deployment)}, seed {result.day.seed}</h1>"
        f"<p>Worth {outcome.worth:.3f}, served {outcome.served:.3f} of {outcome.requests}.</p>"
        f"<h2>Rules broken</h2><ul>{rows or '<li>none</li>'}</ul>"
        f"<h2>Troubles</h2><ul>{troubles}</ul>{pictures}"
    )
    (folder / "report.html").write_text(page)


def plots(result: DayResult) -> list[tuple[str, str]]:
    """Titles and base64-encoded PNG images of all plots."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    images = []
    for title, plot in (
        ("Worth over time", worth), ("Configuration version by process", versions), ("Server load", load),
        ("Refusals by reason", refusals),
    ):  # fmt: skip
        figure, axes = pyplot.subplots(figsize=(10, 3.2))
        plot(result, axes)
        axes.set_xlabel("s")
        for at, _ in result.record.injected_troubles:
            axes.axvline(at, color="0.8", linewidth=0.8, zorder=0)
        image = io.BytesIO()
        figure.savefig(image, format="png", bbox_inches="tight", dpi=90)
        pyplot.close(figure)
        images.append((title, base64.b64encode(image.getvalue()).decode()))
    return images


def by_second(items: Any) -> tuple[list[int], list[float]]:
    """Sum (time, value) pairs by whole seconds."""
    sums: dict[int, float] = defaultdict(float)
    for at, value in items:
        sums[int(at)] += value
    seconds = list(range(min(sums, default=0), max(sums, default=0) + 1))
    return seconds, [sums[s] for s in seconds]


def worth(result: DayResult, axes: Any) -> None:
    """Plot the worth of requests and what was earned."""
    requests = result.record.requests
    axes.step(*by_second((r.at, r.worth) for r in requests), label="owed")
    axes.step(*by_second((r.at, r.earned) for r in requests), label="earned")
    axes.set_ylabel("worth/s")
    if axes.lines:
        axes.legend()


def versions(result: DayResult, axes: Any) -> None:
    """Plot the configuration version of each process, and acknowledged changes."""
    known: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for at, machine, event, fields in result.record.log_events:
        if event == "orders":
            known[machine].append((at, int(fields["version"], 16)))
    for machine, steps in sorted(known.items()):
        axes.step(*zip(*steps, strict=True), where="post", label=machine, linewidth=1)
    for command in result.record.commands:
        if command.version and not math.isinf(command.acked_at):
            axes.plot([command.acked_at], [command.version], "k.", markersize=5)
    axes.set_ylabel("version (dots: acknowledged)")
    if axes.lines:
        axes.legend(fontsize=5, ncol=2, loc="lower right")


def load(result: DayResult, axes: Any) -> None:
    """Plot the share of busy slots by service."""
    busy: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    slots: dict[str, int] = defaultdict(int)
    for service, _, count, _ in result.instances.values():
        slots[service] += count
    for arrival in result.record.arrivals:
        if arrival.ran and not math.isinf(arrival.ended):
            busy[arrival.service][int(arrival.at)] += arrival.ended - arrival.at
    for service, seconds in sorted(busy.items()):
        axes.step(list(seconds), [v / slots[service] for v in seconds.values()], label=service)
    axes.set_ylabel("share of all slots, including queues")
    if axes.lines:
        axes.legend()


def refusals(result: DayResult, axes: Any) -> None:
    """Plot the rate of unsuccessful responses by status."""
    reasons: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for attempt in result.record.attempts.values():
        if attempt.status not in (0, 200):
            reasons[attempt.status].append((attempt.ended, 1.0))
    for status, times in sorted(reasons.items()):
        axes.step(*by_second(times), label=str(status) if status > 0 else "cut off")
    axes.set_ylabel("requests/s")
    if axes.lines:
        axes.legend()
