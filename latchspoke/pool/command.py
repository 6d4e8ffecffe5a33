"""``ctl pool``: explains placements and plans changes offline, from a saved status."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

from cyclopts import App, Parameter

if TYPE_CHECKING:
    from barleyhub.affinity.rendezvous import Member

pool_app = App(name="pool", help="Callers with affinity: where one goes, and which ones a change would move.")
EXIT_USAGE = 2


class PoolError(ValueError):
    """Invalid input: unreadable, or naming an unknown address, zone or region. One line."""


@dataclass(slots=True, frozen=True)
class PoolChange:
    """A change of a pool: ``added`` as ADDRESS=SLOTS@ZONE, ``slots`` as ADDRESS=SLOTS."""

    removed: tuple[str, ...] = ()
    added: tuple[str, ...] = ()
    slots: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()

    def apply(self, members: list[Member]) -> list[Member]:
        """The members after the change. Raises PoolError."""
        from barleyhub.affinity.rendezvous import Member

        by_address = {member.address: member for member in members}
        regions = {member.zone: member.region for member in members}
        for address in self.removed:
            if by_address.pop(address, None) is None:
                raise PoolError(f"no server {address}")
        for text in self.slots:
            address, slots = split_pair(text, "=")
            if address not in by_address:
                raise PoolError(f"no server {address}")
            by_address[address] = replace(by_address[address], capacity=parse_slots(slots, text))
        for text in self.added:
            address, rest = split_pair(text, "=")
            slots, zone = split_pair(rest, "@")
            if address in by_address:
                raise PoolError(f"server {address} already exists")
            by_address[address] = Member(address, parse_slots(slots, text), zone, regions.get(zone, zone))
        for zone in self.evacuated:
            if zone not in {member.zone for member in by_address.values()}:
                raise PoolError(f"no server in zone {zone!r}")
        remaining = [member for member in by_address.values() if member.zone not in self.evacuated]
        if not remaining:
            raise PoolError("the change leaves no server")
        return remaining


def split_pair(text: str, separator: str) -> tuple[str, str]:
    """Split at the separator. Raises PoolError if a side is empty."""
    left, sign, right = text.partition(separator)
    if not sign or not left or not right:
        raise PoolError(f"{text!r} is not of the form ADDRESS=SLOTS or ADDRESS=SLOTS@ZONE")
    return left, right


def parse_slots(slots: str, text: str) -> float:
    """Parse a number of slots that was given in ``text``. Raises PoolError."""
    if not slots.isdigit() or not int(slots):
        raise PoolError(f"{text!r}: slots must be a whole number above 0")
    return float(slots)


def read_members(data: bytes, service: str) -> list[Member]:
    """Ready servers of a service, from the output of `status --gateway ... --json`. Raises PoolError."""
    from barleyhub.affinity.rendezvous import Member

    try:
        view: dict[str, Any] = json.loads(data)
        view = view.get("gateway", view)
        evacuated = set(view.get("evacuated", ()))
        members = [
            Member(str(server["address"]), float(server["slots"]), str(server["zone"]), str(server["region"]))
            for server in view["servers"]
            if server["service"] == service and server["state"] == "ready" and server["zone"] not in evacuated
        ]
    except (AttributeError, KeyError, TypeError, ValueError) as e:
        raise PoolError(f"not the status of a gateway: {e!r}") from None
    if not members:
        raise PoolError(f"no ready server of service {service!r}")
    return members


def parse_homes(names: list[str], members: list[Member]) -> frozenset[str] | None:
    """Allowed regions; None for all. Raises PoolError."""
    for name in names:
        if name not in {member.region for member in members}:
            raise PoolError(f"no server in region {name!r}")
    return frozenset(names) or None


JsonOption = Annotated[bool, Parameter(negative="", help="Print a JSON object instead of text.")]
StateOption = Annotated[Path, Parameter(help="Output of `status --gateway ... --json`.")]
ServiceOption = Annotated[str, Parameter(help="Name of the service.")]


@pool_app.command
def plan(
    *,
    state: StateOption,
    service: ServiceOption,
    remove: Annotated[list[str], Parameter(negative="", help="ADDRESS to remove.")] = [],  # noqa: B006
    add: Annotated[list[str], Parameter(negative="", help="ADDRESS=SLOTS@ZONE to add.")] = [],  # noqa: B006
    slots: Annotated[list[str], Parameter(negative="", help="ADDRESS=SLOTS to change.")] = [],  # noqa: B006
    evacuate: Annotated[list[str], Parameter(negative="", help="ZONE to evacuate.")] = [],  # noqa: B006
    callers: Annotated[
        Path | None, Parameter(help="File of callers, one per line; default: a sample.")
    ] = None,
    home: Annotated[list[str], Parameter(negative="", help="Allowed REGION; default: all.")] = [],  # noqa: B006
    json: JsonOption = False,
) -> int:
    """Show which callers a change would move, and the least number that any placement would move."""
    from barleyhub.affinity.plan import plan_change

    try:
        before = read_members(state.read_bytes(), service)
        after = PoolChange(tuple(remove), tuple(add), tuple(slots), tuple(evacuate)).apply(before)
        names = None if callers is None else callers.read_text().split()
        homes = parse_homes(home, before)
    except (OSError, UnicodeDecodeError, PoolError) as e:
        return print_error(e, json)
    return print_result(plan_change(before, after, names, homes=homes), plan_text, json)


@pool_app.command
def explain(
    caller: str,
    *,
    state: StateOption,
    service: ServiceOption,
    home: Annotated[list[str], Parameter(negative="", help="Allowed REGION; default: all.")] = [],  # noqa: B006
    json: JsonOption = False,
) -> int:
    """Show a caller's ranking of all ready servers, as it is once all are warm."""
    from barleyhub.affinity.plan import explain_caller

    try:
        members = read_members(state.read_bytes(), service)
        homes = parse_homes(home, members)
    except (OSError, PoolError) as e:
        return print_error(e, json)
    return print_result(explain_caller(caller, members, homes=homes), explanation_text, json)


def plan_text(result: dict[str, Any]) -> str:
    """Format the result of ``plan``."""
    lines = [
        f"{result['moved']} of {result['callers']} callers move: {result['share_moved']:.2%}, at least"
        f" {result['least_possible']:.2%} must (set {result['from_version']} to {result['to_version']})"
    ]
    lines += [f"{count} as {why}" for why, count in sorted(result["why"].items())]
    lines += [
        f"{address}: {counts['leave']} leave, {counts['come']} come"
        for address, counts in result["places"].items()
    ]
    lines += [f"{move['caller']}: {move['from']} to {move['to']}, {move['why']}" for move in result["moves"]]
    return "\n".join(lines)


def explanation_text(result: dict[str, Any]) -> str:
    """Format the result of ``explain``."""
    lines = [f"{result['caller']!r} goes to {result['goes_to']}: {result['why']} (set {result['version']})"]
    lines += [
        f"{number}. {line['place']} in {line['zone']}, {line['strength']:g} slots, "
        f"{line['part']:.2%} of callers"
        for number, line in enumerate(result["order"], 1)
    ]
    return "\n".join(lines + [f"{address}: {why}" for address, why in result["not_in_order"].items()])


def print_error(error: Exception, as_json: bool) -> int:
    """Print an error in one line, or as JSON; returns the exit code."""
    if as_json:
        print(json.dumps({"ok": False, "exit": EXIT_USAGE, "error": str(error)}, indent=2))
    else:
        print(f"pool: {error}", file=sys.stderr)
    return EXIT_USAGE


def print_result(result: dict[str, Any], render: Callable[[dict[str, Any]], str], as_json: bool) -> int:
    """Print a result as text or JSON; returns the exit code."""
    print(json.dumps({"ok": True, "exit": 0} | result, indent=2) if as_json else render(result))
    return 0
