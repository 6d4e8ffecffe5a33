"""``ctl pool``: who would move with a planned change of a service's servers. Asks nobody."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

from cyclopts import App, Parameter

if TYPE_CHECKING:
    from barleyhub.affinity.order import Member

pool_app = App(name="pool", help="Callers that are kept at their servers: who is where, who would move.")
USAGE = 2


class PoolError(ValueError):
    """What was asked can't be read, or names a place that isn't there; one line."""


@dataclass(slots=True, frozen=True)
class Plan:
    """A change of a set: places by address, ``added`` as ADDRESS=SLOTS@ZONE, ``slots`` as ADDRESS=SLOTS."""

    removed: tuple[str, ...] = ()
    added: tuple[str, ...] = ()
    slots: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()

    def apply(self, members: list[Member]) -> list[Member]:
        """Raises PoolError."""
        from barleyhub.affinity.order import Member

        known = {m.place: m for m in members}
        regions = {m.zone: m.region for m in members}
        for place in self.removed:
            if known.pop(place, None) is None:
                raise PoolError(f"no place {place}")
        for text in self.slots:
            place, number = split(text, "=")
            if place not in known:
                raise PoolError(f"no place {place}")
            known[place] = replace(known[place], strength=amount(number, text))
        for text in self.added:
            place, rest = split(text, "=")
            number, zone = split(rest, "@")
            if place in known:
                raise PoolError(f"{place} is there already")
            known[place] = Member(place, amount(number, text), zone, regions.get(zone, zone))
        for zone in self.evacuated:
            if zone not in {m.zone for m in known.values()}:
                raise PoolError(f"no place in zone {zone!r}")
        left = [m for m in known.values() if m.zone not in self.evacuated]
        if not left:
            raise PoolError("the change leaves no place")
        return left


def split(text: str, sign: str) -> tuple[str, str]:
    """Both sides of a sign. Raises PoolError where one is missing."""
    first, found, rest = text.partition(sign)
    if not found or not first or not rest:
        raise PoolError(f"{text!r} is not of the form ADDRESS=SLOTS or ADDRESS=SLOTS@ZONE")
    return first, rest


def amount(number: str, text: str) -> float:
    """A whole number above 0. Raises PoolError where it is none."""
    if not number.isdigit() or not int(number):
        raise PoolError(f"{text!r}: slots are a whole number above 0")
    return float(number)


def members_of(data: bytes, service: str) -> list[Member]:
    """The set of a service from a gateway's view, as `status --gateway ... --json` told. Raises PoolError."""
    from barleyhub.affinity.order import Member

    try:
        view: dict[str, Any] = json.loads(data)
        view = view.get("gateway", view)
        away = set(view.get("evacuated", ()))
        found = [
            Member(str(s["address"]), float(s["slots"]), str(s["zone"]), str(s["region"]))
            for s in view["servers"]
            if s["service"] == service and s["state"] == "ready" and s["zone"] not in away
        ]
    except (AttributeError, KeyError, TypeError, ValueError) as e:
        raise PoolError(f"no view of a gateway's: {e!r}") from None
    if not found:
        raise PoolError(f"no server of {service!r} is ready there")
    return found


def homes_of(names: list[str], members: list[Member]) -> frozenset[str] | None:
    """Raises PoolError."""
    for name in names:
        if name not in {m.region for m in members}:
            raise PoolError(f"no place in region {name!r}")
    return frozenset(names) or None


Json = Annotated[bool, Parameter(negative="", help="One JSON object instead of text.")]
State = Annotated[Path, Parameter(help="Servers as `status --gateway ... --json` told.")]
Service = Annotated[str, Parameter(help="The service.")]


@pool_app.command
def plan(
    *,
    state: State,
    service: Service,
    remove: Annotated[list[str], Parameter(negative="", help="ADDRESS that goes.")] = [],  # noqa: B006
    add: Annotated[list[str], Parameter(negative="", help="ADDRESS=SLOTS@ZONE that comes.")] = [],  # noqa: B006
    slots: Annotated[list[str], Parameter(negative="", help="ADDRESS=SLOTS that changes.")] = [],  # noqa: B006
    evacuate: Annotated[list[str], Parameter(negative="", help="ZONE that is emptied.")] = [],  # noqa: B006
    callers: Annotated[Path | None, Parameter(help="Callers, one a line; else drawn ones.")] = None,
    home: Annotated[list[str], Parameter(negative="", help="REGION that may serve; else any.")] = [],  # noqa: B006
    json: Json = False,
) -> int:
    """Who would move, from where to where, against the least that any placement moves."""
    from barleyhub.affinity.plan import plan_change

    try:
        before = members_of(state.read_bytes(), service)
        after = Plan(tuple(remove), tuple(add), tuple(slots), tuple(evacuate)).apply(before)
        names = None if callers is None else callers.read_text().split()
        homes = homes_of(home, before)
    except (OSError, UnicodeDecodeError, PoolError) as e:
        return refused(e, json)
    return shown(plan_change(before, after, names, homes=homes), planned, json)


@pool_app.command
def explain(
    caller: str,
    *,
    state: State,
    service: Service,
    home: Annotated[list[str], Parameter(negative="", help="REGION that may serve; else any.")] = [],  # noqa: B006
    json: Json = False,
) -> int:
    """A caller's order among all ready servers, as every gateway has it once all are warm."""
    from barleyhub.affinity.plan import explain_caller

    try:
        members = members_of(state.read_bytes(), service)
        homes = homes_of(home, members)
    except (OSError, PoolError) as e:
        return refused(e, json)
    return shown(explain_caller(caller, members, homes=homes), explained, json)


def planned(told: dict[str, Any]) -> str:
    """A plan as text for people."""
    lines = [
        f"{told['moved']} of {told['callers']} callers move: {told['share_moved']:.2%}, at least"
        f" {told['least_possible']:.2%} must (set {told['from_version']} to {told['to_version']})"
    ]
    lines += [f"{count} as {why}" for why, count in sorted(told["why"].items())]
    lines += [f"{p}: {n['leave']} leave, {n['come']} come" for p, n in told["places"].items()]
    lines += [f"{m['caller']}: {m['from']} to {m['to']}, {m['why']}" for m in told["moves"]]
    return "\n".join(lines)


def explained(told: dict[str, Any]) -> str:
    """An explanation as text for people."""
    lines = [f"{told['caller']!r} goes to {told['goes_to']}: {told['why']} (set {told['version']})"]
    lines += [
        f"{n}. {line['place']} in {line['zone']}, {line['strength']:g} slots, {line['part']:.2%} of callers"
        for n, line in enumerate(told["order"], 1)
    ]
    return "\n".join(lines + [f"{place}: {why}" for place, why in told["not_in_order"].items()])


def refused(e: Exception, as_json: bool) -> int:
    """One line that says what is wrong."""
    if as_json:
        print(json.dumps({"ok": False, "exit": USAGE, "error": str(e)}, indent=2))
    else:
        print(f"pool: {e}", file=sys.stderr)
    return USAGE


def shown(told: dict[str, Any], page: Callable[[dict[str, Any]], str], as_json: bool) -> int:
    """Print an answer as a page or as JSON; the exit code."""
    print(json.dumps({"ok": True, "exit": 0} | told, indent=2) if as_json else page(told))
    return 0
