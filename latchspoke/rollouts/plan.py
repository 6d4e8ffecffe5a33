"""The plan of a roll-out: its file format and validation. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any, NotRequired, TypedDict, cast

from latchspoke.configuration.check import Fault

DEFAULT_STEPS = (1.0, 5.0, 25.0, 50.0, 100.0)  # percent
STAY, ROLL_BACK = "stay", "back"
MIN_CONFIDENCE = 0.5


class PlanDocument(TypedDict):
    """The file. Times in seconds, shares from 0 to 1, steps in percent of the route's requests."""

    route: str
    # There is also "from", which is a Python keyword.
    to: str
    steps: NotRequired[list[float]]
    holdS: NotRequired[float]
    longestS: NotRequired[float]
    requests: NotRequired[int]
    failedMore: NotRequired[float]
    lateMore: NotRequired[float]
    sure: NotRequired[float]
    heard: NotRequired[float]
    unjudged: NotRequired[str]


@dataclass(frozen=True, slots=True)
class Plan:
    """Which requests move to which service, in which steps, and which increase in failures is tolerated."""

    route: str
    old_service: str
    new_service: str
    steps: tuple[float, ...] = DEFAULT_STEPS
    min_step_s: float = 20.0  # time at each step
    max_step_s: float = 600.0  # without a decision after this time, ``on_inconclusive`` applies
    min_requests: int = 20  # of the new service, before a step can succeed
    max_failure_increase: float = 0.01  # tolerated, as a share of the route's requests
    max_late_increase: float = 0.05  # tolerated, of requests over the route's target latency
    confidence: float = 0.95  # probability at which a step is decided
    min_reporting_share: float = 0.6  # of the gateways
    on_inconclusive: str = ROLL_BACK


# Field of the file, attribute of Plan, minimum and maximum (both inclusive).
NUMBER_FIELDS = (
    ("holdS", "min_step_s", 1.0, 86_400.0),
    ("longestS", "max_step_s", 1.0, 604_800.0),
    ("requests", "min_requests", 1, 1_000_000),
    ("failedMore", "max_failure_increase", 0.0001, 1.0),
    ("lateMore", "max_late_increase", 0.0001, 1.0),
    ("sure", "confidence", MIN_CONFIDENCE, 0.9999),
    ("heard", "min_reporting_share", 0.0, 1.0),
)
TEXT_FIELDS = ("route", "from", "to")
KNOWN_FIELDS = {*TEXT_FIELDS, "steps", "unjudged", *(field for field, *_ in NUMBER_FIELDS)}


def read_plan(document: object) -> tuple[Plan | None, list[Fault]]:
    """The plan in a parsed file, or all its faults."""
    if not isinstance(document, dict):
        return None, [Fault("", "a plan is an object")]
    faults = [Fault(str(field), "is an unknown field") for field in document if field not in KNOWN_FIELDS]
    values: dict[str, Any] = {}
    for field in TEXT_FIELDS:
        value = document.get(field)
        if not isinstance(value, str) or not value:
            faults.append(Fault(field, "must be a name"))
        values[field] = value
    if not faults and values["from"] == values["to"]:
        faults.append(Fault("to", "must differ from the old service"))
    faults += read_numbers(document, values)
    faults += read_steps(document.get("steps"), values)
    unjudged = document.get("unjudged")
    if unjudged is not None:
        if unjudged in (STAY, ROLL_BACK):
            values["on_inconclusive"] = unjudged
        else:
            faults.append(Fault("unjudged", f"{STAY} or {ROLL_BACK}"))
    if faults:
        return None, faults
    old, new = values.pop("from"), values.pop("to")
    plan = Plan(old_service=old, new_service=new, **values)
    if plan.max_step_s < plan.min_step_s:
        return None, [Fault("longestS", "must not be below holdS")]
    return plan, []


def read_numbers(document: dict[str, Any], values: dict[str, Any]) -> list[Fault]:
    """Copy the numeric fields into ``values`` under their attribute names; the faults found."""
    faults = []
    for field, attribute, minimum, maximum in NUMBER_FIELDS:
        value = document.get(field)
        if value is None:
            continue
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer and not (
            isinstance(value, float) and isfinite(value) and not isinstance(minimum, int)
        ):
            faults.append(Fault(field, f"must be {'an integer' if isinstance(minimum, int) else 'a number'}"))
        elif not minimum <= value <= maximum:
            faults.append(Fault(field, f"must be from {minimum:g} to {maximum:g}"))
        else:
            values[attribute] = value
    return faults


def read_steps(steps: object, values: dict[str, Any]) -> list[Fault]:
    """Copy the steps into ``values``; the first fault found, if any."""
    if steps is None:
        return []
    if not isinstance(steps, list) or not steps:
        return [Fault("steps", "must be a list of percentages")]
    previous = 0.0
    for index, step in enumerate(steps):
        if isinstance(step, bool) or not isinstance(step, int | float) or not 0 < step <= 100:
            return [Fault(f"steps[{index}]", "must be over 0 and up to 100")]
        if step <= previous:
            return [Fault(f"steps[{index}]", "must be above the previous step")]
        previous = float(step)
    values["steps"] = tuple(float(cast(float, step)) for step in steps)
    return []
