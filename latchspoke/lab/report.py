"""Reports of runs: a self-contained HTML page, and the same figures as JSON."""

from __future__ import annotations

import io
import json
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import jinja2
import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as plt

from latchspoke.lab.faults import FaultSchedule
from latchspoke.lab.outcome import SLOT_S, Outcomes

COLOURS = {
    "served": "#2e7d32", "late": "#9ccc65", "refused": "#fbc02d", "failed": "#c62828", "given up": "#6a1b9a",
    "broken": "#ef6c00", "not connected": "#546e7a",
}  # fmt: skip
LINE_COLOURS = ("#1565c0", "#c62828", "#2e7d32", "#6a1b9a", "#ef6c00", "#00838f")
PERCENTILES = [0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 99, 99.5, 99.9, 99.95, 99.99]
TEMPLATE = Path(__file__).with_name("report.html.j2")


@dataclass
class ReportedRun:
    """One run with the data that a report shows."""

    variant: str
    seed: int
    outcomes: Outcomes
    pays: dict[str, float] = field(default_factory=dict)
    use: dict[str, dict[str, float]] = field(default_factory=dict)
    gateways: list[dict[str, Any]] = field(default_factory=list)
    interrupted: bool = False
    schedule: FaultSchedule = field(default_factory=FaultSchedule)
    more: dict[str, Any] = field(default_factory=dict)

    def figures(self) -> dict[str, float]:
        """Figures by which variants are compared."""
        outcomes = self.outcomes
        totals: dict[str, int] = {}
        for counts in outcomes.first_tries.values():
            for outcome, count in counts.items():
                totals[outcome] = totals.get(outcome, 0) + count
        total = sum(totals.values()) or 1
        values = {"served worth": outcomes.served_worth(self.pays)}
        values |= {
            f"{outcome}, share of first tries": totals.get(outcome, 0) / total
            for outcome in COLOURS
            if totals.get(outcome)
        }
        if outcomes.latency.get_total_count():
            for name, p in (("p50", 50), ("p99", 99), ("p99.9", 99.9)):
                values[f"latency {name}, ms"] = outcomes.latency.get_value_at_percentile(p) / 1000
        for plan, use in sorted(self.use.items()):
            all_sent = use["inside"] + use["beyond"]
            values[f"{plan}: sent beyond quota, share"] = use["beyond"] / all_sent if all_sent else 0.0
        served = sum(gateway.get("served", 0) + gateway.get("refused", 0) for gateway in self.gateways)
        cpu = sum(gateway.get("cpu", 0.0) for gateway in self.gateways)
        if served and cpu:
            values["gateway CPU a request, ms"] = cpu / served * 1000
        return values

    def as_dict(self) -> dict[str, Any]:
        """The run under the keys of ``report.json``."""
        return {
            "variant": self.variant, "seed": self.seed, "interrupted": self.interrupted,
            "figures": self.figures(), "use": self.use, "processes": self.gateways,
            "troubles": [
                {"at": event.at, "lasts": event.lasts, "what": event.words()}
                for event in self.schedule.troubles
            ],
            **self.outcomes.summary(), **self.more,
        }  # fmt: skip


@dataclass(frozen=True)
class ComparisonRow:
    """One figure across variants: mean and range over the repeats, and the verdict."""

    name: str
    values: tuple[tuple[float, float, float], ...]  # mean, minimum and maximum of each variant
    verdict: str


def compare_variants(runs: Sequence[ReportedRun]) -> list[ComparisonRow]:
    """Compare every figure across variants.

    A difference is reported only if the ranges of the first and the last variant do not overlap.
    """
    names = list(dict.fromkeys(run.variant for run in runs))
    figures = {name: [run.figures() for run in runs if run.variant == name] for name in names}
    keys = dict.fromkeys(key for run in runs for key in run.figures())
    rows = []
    for key in keys:
        values = []
        for name in names:
            samples = [run_figures.get(key, 0.0) for run_figures in figures[name]]
            values.append((statistics.fmean(samples), min(samples), max(samples)))
        rows.append(
            ComparisonRow(
                key, tuple(values), verdict(values, min(len(run_figures) for run_figures in figures.values()))
            )
        )
    return rows


def verdict(values: Sequence[tuple[float, float, float]], repeats: int) -> str:
    """Compare the first variant with the last, by the ranges over their repeats."""
    if len(values) < 2:
        return ""
    first, last = values[0], values[-1]
    if repeats < 2:
        return "one run each: says nothing of noise"
    if first[2] < last[1] or last[2] < first[1]:
        return "higher" if last[0] > first[0] else "lower"
    return "within the runs' spread"


# Plots


def render_svg(figure: Any) -> str:
    """Render a figure as an SVG element for embedding in HTML, and close it."""
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def shade_faults(axes: Any, schedule: FaultSchedule) -> None:
    """Shade each fault on the time axis, labelled at its start."""
    for number, event in enumerate(schedule.troubles):
        axes.axvspan(event.at, event.ends, color="#b71c1c", alpha=0.08, lw=0)
        axes.annotate(
            event.words(), (event.at, 1), xycoords=("data", "axes fraction"), fontsize=7,
            xytext=(2, -9 - 9 * (number % 3)), textcoords="offset points", color="#b71c1c",
        )  # fmt: skip


def arrivals_plot(outcomes: Outcomes, schedule: FaultSchedule) -> str:
    """Plot due and sent requests over time."""
    figure, axes = plt.subplots(figsize=(9, 2.4))
    last = max((*outcomes.planned, *outcomes.played), default=0) + 1
    step = max(last // 300, 1)
    for counts, name, style in ((outcomes.planned, "due", "-"), (outcomes.played, "played", "--")):
        bins = [
            sum(counts[second] for second in range(start, min(start + step, last)))
            for start in range(0, last, step)
        ]
        times = [start * SLOT_S for start in range(0, last, step)]
        axes.plot(times, [count / (step * SLOT_S) for count in bins], style, lw=1, label=name)
    axes.set(xlabel="s", ylabel="requests a second", ylim=(0, None))
    axes.legend(frameon=False, fontsize=8, loc="lower right")
    shade_faults(axes, schedule)
    return render_svg(figure)


def outcomes_plot(outcomes: Outcomes, schedule: FaultSchedule) -> str:
    """Plot outcomes of first attempts by their due time."""
    figure, axes = plt.subplots(figsize=(9, 2.8))
    last = max((second for counts in outcomes.by_second.values() for second in counts), default=0) + 1
    names = [outcome for outcome in COLOURS if outcome in outcomes.by_second]
    rows = [[outcomes.by_second[outcome][second] for second in range(last)] for outcome in names]
    if rows:
        axes.stackplot(
            range(last), rows, labels=names, colors=[COLOURS[outcome] for outcome in names], step="post"
        )
        axes.legend(
            frameon=False, fontsize=8, ncol=len(names), loc="upper center", bbox_to_anchor=(0.5, -0.2)
        )
    axes.set(xlabel="s", ylabel="first tries a second", xlim=(0, last))
    shade_faults(axes, schedule)
    return render_svg(figure)


def latency_plot(runs: Iterable[ReportedRun]) -> str:
    """Latency by percentile, one line per run; each additional nine takes the same width."""
    figure, axes = plt.subplots(figsize=(9, 3))
    names: dict[str, str] = {}
    for run in runs:
        if not run.outcomes.latency.get_total_count():
            continue
        colour = names.setdefault(run.variant, LINE_COLOURS[len(names) % len(LINE_COLOURS)])
        values = [run.outcomes.latency.get_value_at_percentile(p) / 1000 for p in PERCENTILES]
        label = run.variant if not any(line.get_label() == run.variant for line in axes.lines) else None
        axes.plot([100 / (100 - p) for p in PERCENTILES], values, color=colour, lw=1, label=label)
    axes.set(xscale="log", yscale="log", xlabel="percentile", ylabel="ms to the answer, from the due moment")
    ticks = [50, 90, 99, 99.9, 99.99]
    axes.set_xticks([100 / (100 - p) for p in ticks], [f"{p:g}" for p in ticks])
    if names:
        axes.legend(frameon=False, fontsize=8)
    axes.grid(alpha=0.3)
    return render_svg(figure)


def use_plot(run: ReportedRun) -> str:
    """Plot forwarded units within and beyond the quota of each plan."""
    figure, axes = plt.subplots(figsize=(9, 0.6 + 0.4 * max(len(run.use), 1)))
    plans = sorted(run.use)
    inside = [run.use[p]["inside"] for p in plans]
    axes.barh(plans, inside, color="#1565c0", label="inside quotas")
    axes.barh(plans, [run.use[p]["beyond"] for p in plans], left=inside, color="#ef6c00", label="beyond")
    axes.set(xlabel="units sent on to nodes")
    axes.legend(frameon=False, fontsize=8)
    return render_svg(figure)


# HTML page


def write_report(folder: Path, title: str, runs: Sequence[ReportedRun], notes: Sequence[str] = ()) -> None:
    """Write ``report.html`` and ``report.json`` into the folder, creating it if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = compare_variants(runs)
    names = list(dict.fromkeys(run.variant for run in runs))
    report = {
        "title": title,
        "runs": [run.as_dict() for run in runs],
        "compared": [
            {"figure": r.name, "variants": dict(zip(names, r.values, strict=True)), "verdict": r.verdict}
            for r in rows
        ],
        "notes": list(notes),
    }  # fmt: skip
    (folder / "report.json").write_text(json.dumps(report, indent=1))
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(TEMPLATE.parent), autoescape=True, undefined=jinja2.StrictUndefined
    )
    first = [next(run for run in runs if run.variant == name) for name in names]
    page = environment.get_template(TEMPLATE.name).render(
        title=title, names=names, rows=rows, notes=notes, repeats=len(runs) // max(len(names), 1),
        latency=latency_plot(runs),
        shown=[
            {
                "run": run,
                "summary": run.outcomes.summary(),
                "arrivals": arrivals_plot(run.outcomes, run.schedule),
                "outcomes": outcomes_plot(run.outcomes, run.schedule),
                "use": use_plot(run) if run.use else "",
            }
            for run in first
        ],
    )  # fmt: skip
    (folder / "report.html").write_text(page)
