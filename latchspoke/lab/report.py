"""Reports: one HTML file that explains itself, and the same figures as JSON."""

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
    """One run as a report shows it."""

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
        """What variants are compared by."""
        outcomes = self.outcomes
        totals: dict[str, int] = {}
        for counts in outcomes.first_tries.values():
            for word, count in counts.items():
                totals[word] = totals.get(word, 0) + count
        total = sum(totals.values()) or 1
        told = {"served worth": outcomes.served_worth(self.pays)}
        told |= {f"{w}, share of first tries": totals.get(w, 0) / total for w in COLOURS if totals.get(w)}
        if outcomes.latency.get_total_count():
            for name, p in (("p50", 50), ("p99", 99), ("p99.9", 99.9)):
                told[f"latency {name}, ms"] = outcomes.latency.get_value_at_percentile(p) / 1000
        for plan, use in sorted(self.use.items()):
            all_sent = use["inside"] + use["beyond"]
            told[f"{plan}: sent beyond quota, share"] = use["beyond"] / all_sent if all_sent else 0.0
        served = sum(g.get("served", 0) + g.get("refused", 0) for g in self.gateways)
        cpu = sum(g.get("cpu", 0.0) for g in self.gateways)
        if served and cpu:
            told["gateway CPU a request, ms"] = cpu / served * 1000
        return told

    def as_dict(self) -> dict[str, Any]:
        return {
            "variant": self.variant, "seed": self.seed, "interrupted": self.interrupted,
            "figures": self.figures(), "use": self.use, "processes": self.gateways,
            "troubles": [{"at": t.at, "lasts": t.lasts, "what": t.words()} for t in self.schedule.troubles],
            **self.outcomes.summary(), **self.more,
        }  # fmt: skip


@dataclass(frozen=True)
class ComparisonRow:
    """A figure of two variants: each with its mean and range over the repeats, and what can be said."""

    name: str
    values: tuple[tuple[float, float, float], ...]  # mean, least, most of each variant
    verdict: str


def compare_variants(runs: Sequence[ReportedRun]) -> list[ComparisonRow]:
    """Each figure by variant. Only where the ranges over the repeats lie apart is there a difference."""
    names = list(dict.fromkeys(run.variant for run in runs))
    figures = {name: [run.figures() for run in runs if run.variant == name] for name in names}
    keys = dict.fromkeys(key for run in runs for key in run.figures())
    rows = []
    for key in keys:
        values = []
        for name in names:
            told = [f.get(key, 0.0) for f in figures[name]]
            values.append((statistics.fmean(told), min(told), max(told)))
        rows.append(ComparisonRow(key, tuple(values), verdict(values, min(len(f) for f in figures.values()))))
    return rows


def verdict(values: Sequence[tuple[float, float, float]], repeats: int) -> str:
    if len(values) < 2:
        return ""
    first, last = values[0], values[-1]
    if repeats < 2:
        return "one run each: says nothing of noise"
    if first[2] < last[1] or last[2] < first[1]:
        return "higher" if last[0] > first[0] else "lower"
    return "within the runs' spread"


# Plots.


def svg(figure: Any) -> str:
    """A figure as SVG to stand in a page."""
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def shade_faults(axes: Any, schedule: FaultSchedule) -> None:
    """Troubles on the time axis, each named where it begins."""
    for number, event in enumerate(schedule.troubles):
        axes.axvspan(event.at, event.ends, color="#b71c1c", alpha=0.08, lw=0)
        axes.annotate(
            event.words(), (event.at, 1), xycoords=("data", "axes fraction"), fontsize=7,
            xytext=(2, -9 - 9 * (number % 3)), textcoords="offset points", color="#b71c1c",
        )  # fmt: skip


def arrivals_plot(outcomes: Outcomes, schedule: FaultSchedule) -> str:
    figure, axes = plt.subplots(figsize=(9, 2.4))
    last = max((*outcomes.planned, *outcomes.played), default=0) + 1
    step = max(last // 300, 1)
    for counts, name, style in ((outcomes.planned, "due", "-"), (outcomes.played, "played", "--")):
        bins = [sum(counts[s] for s in range(b, min(b + step, last))) for b in range(0, last, step)]
        times = [b * SLOT_S for b in range(0, last, step)]
        axes.plot(times, [n / (step * SLOT_S) for n in bins], style, lw=1, label=name)
    axes.set(xlabel="s", ylabel="requests a second", ylim=(0, None))
    axes.legend(frameon=False, fontsize=8, loc="lower right")
    shade_faults(axes, schedule)
    return svg(figure)


def outcomes_plot(outcomes: Outcomes, schedule: FaultSchedule) -> str:
    figure, axes = plt.subplots(figsize=(9, 2.8))
    last = max((s for counts in outcomes.by_second.values() for s in counts), default=0) + 1
    names = [w for w in COLOURS if w in outcomes.by_second]
    rows = [[outcomes.by_second[w][s] for s in range(last)] for w in names]
    if rows:
        axes.stackplot(range(last), rows, labels=names, colors=[COLOURS[w] for w in names], step="post")
        axes.legend(
            frameon=False, fontsize=8, ncol=len(names), loc="upper center", bbox_to_anchor=(0.5, -0.2)
        )
    axes.set(xlabel="s", ylabel="first tries a second", xlim=(0, last))
    shade_faults(axes, schedule)
    return svg(figure)


def latency_plot(runs: Iterable[ReportedRun]) -> str:
    """Percentiles on a scale that gives each further nine the same room; one line a run."""
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
    return svg(figure)


def use_plot(run: ReportedRun) -> str:
    figure, axes = plt.subplots(figsize=(9, 0.6 + 0.4 * max(len(run.use), 1)))
    plans = sorted(run.use)
    inside = [run.use[p]["inside"] for p in plans]
    axes.barh(plans, inside, color="#1565c0", label="inside quotas")
    axes.barh(plans, [run.use[p]["beyond"] for p in plans], left=inside, color="#ef6c00", label="beyond")
    axes.set(xlabel="units sent on to nodes")
    axes.legend(frameon=False, fontsize=8)
    return svg(figure)


# The page.


def write(folder: Path, title: str, runs: Sequence[ReportedRun], notes: Sequence[str] = ()) -> None:
    """``report.html`` and ``report.json`` in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = compare_variants(runs)
    names = list(dict.fromkeys(run.variant for run in runs))
    told = {
        "title": title,
        "runs": [run.as_dict() for run in runs],
        "compared": [
            {"figure": r.name, "variants": dict(zip(names, r.values, strict=True)), "verdict": r.verdict}
            for r in rows
        ],
        "notes": list(notes),
    }  # fmt: skip
    (folder / "report.json").write_text(json.dumps(told, indent=1))
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
