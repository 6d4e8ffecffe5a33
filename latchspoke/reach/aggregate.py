"""The train graphs of all gateways as one: which servers clients really reached, and why not others. Pure.

A gateway that does not answer is named, and what the others tell stands for itself: nothing is guessed for
it. Times of changes are ages at each gateway's answer; the tool asks all at once, so they differ by the time
that the answers took.
"""

from __future__ import annotations

from array import array
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from latchspoke.reach.recorder import BUCKETS, COLD, ENDS, ERRING, quantile

View = Mapping[str, Any]
TRIED = tuple(end for end in ENDS[:COLD] if end != "unreachable")  # these reached the server
FAILED = ("error", "lost")
ENOUGH = 20  # requests of a service for each of its servers, from which on its shares are judged
UNEVEN = 2.5  # times a server's part by its slots
TOGETHER = 1.5  # s; the same change at several gateways within this time is told as one


@dataclass(slots=True)
class Reached:
    """One server, as all gateways that answered tell."""

    ident: str
    service: str = ""
    zone: str = ""
    region: str = ""
    address: str = ""
    state: str = ""  # as the control machine knows it; empty: it doesn't
    slots: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    times: array[int] = field(default_factory=lambda: array("I", bytes(4 * BUCKETS)))
    routes: Counter[str] = field(default_factory=Counter)  # requests
    zones: Counter[str] = field(default_factory=Counter)  # requests by the gateways' zone
    gateways: int = 0  # that reached it
    avoided: dict[str, list[float]] = field(default_factory=dict)  # code -> since when (s), by gateway
    share: float | None = None  # of its service's requests
    part: float | None = None  # of its service's slots, among those that may be sent to

    @property
    def requests(self) -> int:
        """How many requests reached it."""
        return sum(self.ends[end] for end in TRIED)

    @property
    def failed(self) -> float:
        """Share of failures among those whose end says something of the server."""
        judged = self.ends["ok"] + sum(self.ends[end] for end in FAILED)
        return sum(self.ends[end] for end in FAILED) / judged if judged else 0.0

    def told(self) -> dict[str, Any]:
        """For ``--json``."""
        return {
            "id": self.ident, "service": self.service, "zone": self.zone, "region": self.region,
            "address": self.address, "state": self.state, "slots": self.slots, "requests": self.requests,
            "ends": dict(sorted(self.ends.items())), "failed": round(self.failed, 4),
            "p50_s": quantile(self.times, 0.5), "p95_s": quantile(self.times, 0.95),
            "routes": dict(self.routes.most_common()), "by_zone": dict(self.zones.most_common()),
            "gateways": self.gateways, "share": self.share, "part": self.part,
            "avoided": {
                code: {"gateways": len(ages), "since_s": max(ages)} for code, ages in self.avoided.items()
            },
        }  # fmt: skip


def gather(control: View, views: Mapping[str, View | None], service: str = "") -> list[Reached]:
    """All servers that a control machine or a gateway knows of, by service, the most reached first."""
    found: dict[str, Reached] = {}
    for each in control["servers"]:
        if each["state"] != "gone":
            found[each["id"]] = Reached(
                each["id"], each["service"], each["zone"], "", each["address"], each["state"], each["slots"]
            )
    for view in views.values():
        for row in () if view is None else view["servers"]:
            add(found.setdefault(row["id"], Reached(row["id"])), row, view["zone"] if view else "")
    those = [each for each in found.values() if not service or each.service == service]
    parts(those, frozenset(control["evacuated"]))
    return sorted(those, key=lambda each: (each.service, -each.requests, each.zone, each.ident))


def add(reached: Reached, row: View, zone: str) -> None:
    """What one gateway tells of it."""
    reached.service = reached.service or row.get("service", "")
    reached.zone = reached.zone or row.get("zone", "")
    reached.region = reached.region or row.get("region", "")
    reached.address = reached.address or row.get("address", "")
    reached.slots = reached.slots or row.get("slots", 0)
    before = reached.requests
    for route, ends in row["routes"].items():
        for place, count in ends["times"].items():
            reached.times[int(place)] += count
        reached.ends.update({end: ends[end] for end in ENDS if end in ends})
        reached.routes[route] += sum(ends.get(end, 0) for end in TRIED)
    if reached.requests > before:
        reached.gateways += 1
        reached.zones[zone] += reached.requests - before
    for code in row.get("avoided", ()):
        reached.avoided.setdefault(code, []).append(row["since_s"])


def parts(those: Iterable[Reached], evacuated: frozenset[str]) -> None:
    """Each one's share of its service's requests, and its part of the slots that may be sent to."""
    by_service: dict[str, list[Reached]] = {}
    for each in those:
        by_service.setdefault(each.service, []).append(each)
    for group in by_service.values():
        requests = sum(each.requests for each in group)
        able = [each for each in group if each.state == "ready" and each.zone not in evacuated]
        slots = sum(each.slots for each in able)
        for each in group:
            each.share = round(each.requests / requests, 4) if requests else None
        for each in able:
            each.part = round(each.slots / slots, 4) if slots else None


def findings(those: Iterable[Reached], answered: int) -> list[tuple[str, str, str]]:
    """What wants a look: code, server, in words. Servers of a service with few requests are passed over."""
    those, found = list(those), []
    requests, able = Counter[str](), Counter[str]()
    for each in those:
        requests[each.service] += each.requests
        able[each.service] += each.part is not None
    for each in those:
        judged = requests[each.service] >= ENOUGH * max(able[each.service], 1)
        why = ", ".join(
            f"{code} at {len(ages)} of {answered} for up to {max(ages):.0f} s"
            for code, ages in sorted(each.avoided.items(), key=lambda item: -len(item[1]))
        )
        if each.failed > ERRING and each.ends["ok"] + each.ends["error"] + each.ends["lost"] >= 5:
            text = f"{each.failed:.0%} of {each.requests} requests from {each.gateways} gateways failed"
            found.append(("failing", each.ident, f"{text}; {why or 'avoided by nobody'}"))
        if each.part is not None and judged and not each.requests:
            found.append(
                ("unreached", each.ident, f"ready, and no request came to it; {why or 'no reason told'}")
            )
        if each.part and each.share and judged and each.share > UNEVEN * each.part:
            found.append(
                ("uneven", each.ident, f"{each.share:.0%} of the requests with {each.part:.0%} of the slots")
            )
        if each.ends["while_cold"]:
            found.append(
                ("while_cold", each.ident, f"{each.ends['while_cold']} requests came to it while cold")
            )
        if each.requests and each.state in ("", "draining"):
            known = "draining" if each.state else "not known to the control machine any more"
            found.append(
                ("leaving", each.ident, f"{each.requests} requests came to it lately; it is {known}")
            )
    return found


def timeline(views: Mapping[str, View | None]) -> list[dict[str, Any]]:
    """Changes of servers' standings at all gateways, the oldest first; alike ones close together are one."""
    every = [
        (change["s_ago"], name, change)
        for name, view in views.items()
        if view is not None
        for change in view["changes"]
    ]
    every.sort(key=lambda item: (-item[0], item[1]))
    found: list[dict[str, Any]] = []
    latest: dict[tuple[str, tuple[str, ...]], dict[str, Any]] = {}
    for ago, name, change in every:
        key = change["id"], tuple(change["codes"])
        known = latest.get(key)
        if known is not None and known["s_ago"] - ago <= TOGETHER and name not in known["gateways"]:
            known["gateways"].append(name)
            known["errors"] = max(known["errors"], change["errors"])
            known["told"] = max(known["told"], change["told"])
            continue
        latest[key] = {**change, "gateways": [name]}
        found.append(latest[key])
    return found
