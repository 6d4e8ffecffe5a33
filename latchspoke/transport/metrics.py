"""The Prometheus text exposition format (version 0.0.4)."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal

Labels = Mapping[str, str]
LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


@dataclass(slots=True)
class MetricFamily:
    """One metric with its samples; ``kind`` is its type in the format."""

    name: str
    help_text: str
    kind: Literal["gauge", "counter"] = "gauge"
    samples: list[tuple[Labels, float]] = field(default_factory=list)

    def add(self, value: float, **labels: str) -> MetricFamily:
        """Add a sample with these labels."""
        self.samples.append((labels, float(value)))
        return self


def render(families: Iterable[MetricFamily]) -> str:
    """The metrics page; families without samples are left out."""
    lines: list[str] = []
    for family in families:
        if family.samples:
            lines += [f"# HELP {family.name} {family.help_text}", f"# TYPE {family.name} {family.kind}"]
            lines += [
                f"{family.name}{format_labels(labels)} {format_value(value)}"
                for labels, value in family.samples
            ]
    return "\n".join(lines) + "\n"


def format_labels(labels: Labels) -> str:
    """Labels as written after a metric name."""
    if not labels:
        return ""
    return (
        "{" + ",".join(f'{name}="{value.translate(LABEL_ESCAPES)}"' for name, value in labels.items()) + "}"
    )


def format_value(value: float) -> str:
    """A sample value as text."""
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    return str(int(value)) if value.is_integer() else repr(value)
