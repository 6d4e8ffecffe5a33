"""Combines the reach statistics of all gateways: which servers requests reached, and why not others. No I/O.

Gateways that do not answer are listed, and their requests are missing from the figures. Times of changes are
ages at the time of each gateway's answer; as all are queried at once, they differ by the answering times.
"""

from __future__ import annotations

from array import array
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from latchspoke.reach.recorder import COLD_INDEX, ERROR_RATE_THRESHOLD, LATENCY_BUCKETS, OUTCOMES, quantile

View = Mapping[str, Any]
REACHED_OUTCOMES = tuple(outcome for outcome in OUTCOMES[:COLD_INDEX] if outcome != "unreachable")
FAILED_OUTCOMES = ("error", "lost")
MIN_REQUESTS_PER_SERVER = 20  # of a service, on average, for its request shares to be judged
UNEVEN_FACTOR = 2.5  # request share relative to slot share above which a server is reported
MERGE_WINDOW_S = 1.5  # within which the same change at several gateways counts as one


@dataclass(slots=True)
class ServerSummary:
    """Statistics of one server, over all gateways that answered."""

    server_id: str
    service: str = ""
    zone: str = ""
    region: str = ""
    address: str = ""
    state: str = ""  # at the control-plane node; empty: unknown there
    slots: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latency_counts: array[int] = field(default_factory=lambda: array("I", bytes(4 * LATENCY_BUCKETS)))
    requests_by_route: Counter[str] = field(default_factory=Counter)
    requests_by_zone: Counter[str] = field(default_factory=Counter)  # by the gateways' zone
    gateway_count: int = 0  # gateways whose requests reached it
    avoided: dict[str, list[float]] = field(
        default_factory=dict
    )  # by reason code: for how long (s), at each gateway
    request_share: float | None = None  # of its service's requests
    slot_share: float | None = None  # of its service's slots, among eligible servers

    @property
    def requests(self) -> int:
        """Number of requests that reached the server."""
        return sum(self.outcomes[outcome] for outcome in REACHED_OUTCOMES)

    @property
    def failure_rate(self) -> float:
        """Fraction of failures among outcomes that the server is responsible for."""
        judged = self.outcomes["ok"] + sum(self.outcomes[outcome] for outcome in FAILED_OUTCOMES)
        return sum(self.outcomes[outcome] for outcome in FAILED_OUTCOMES) / judged if judged else 0.0

    def as_json(self) -> dict[str, Any]:
        """The server as an object for ``--json``."""
        return {
            "id": self.server_id, "service": self.service, "zone": self.zone, "region": self.region,
            "address": self.address, "state": self.state, "slots": self.slots, "requests": self.requests,
            "ends": dict(sorted(self.outcomes.items())), "failed": round(self.failure_rate, 4),
            "p50_s": quantile(self.latency_counts, 0.5), "p95_s": quantile(self.latency_counts, 0.95),
            "routes": dict(self.requests_by_route.most_common()),
            "by_zone": dict(self.requests_by_zone.most_common()),
            "gateways": self.gateway_count, "share": self.request_share, "part": self.slot_share,
            "avoided": {
                code: {"gateways": len(ages), "since_s": max(ages)} for code, ages in self.avoided.items()
            },
        }  # fmt: skip


def summarize(control: View, views: Mapping[str, View | None], service: str = "") -> list[ServerSummary]:
    """All servers known to the control-plane node or a gateway, by service, most requests first."""
    summaries: dict[str, ServerSummary] = {}
    for server in control["servers"]:
        if server["state"] != "gone":
            summaries[server["id"]] = ServerSummary(
                server["id"],
                server["service"],
                server["zone"],
                "",
                server["address"],
                server["state"],
                server["slots"],
            )
    for view in views.values():
        for row in () if view is None else view["servers"]:
            add_gateway_row(
                summaries.setdefault(row["id"], ServerSummary(row["id"])), row, view["zone"] if view else ""
            )
    selected = [server for server in summaries.values() if not service or server.service == service]
    compute_shares(selected, frozenset(control["evacuated"]))
    return sorted(
        selected, key=lambda server: (server.service, -server.requests, server.zone, server.server_id)
    )


def add_gateway_row(summary: ServerSummary, row: View, zone: str) -> None:
    """Add the statistics of one gateway to a server's."""
    summary.service = summary.service or row.get("service", "")
    summary.zone = summary.zone or row.get("zone", "")
    summary.region = summary.region or row.get("region", "")
    summary.address = summary.address or row.get("address", "")
    summary.slots = summary.slots or row.get("slots", 0)
    before = summary.requests
    for route, counts in row["routes"].items():
        for index, count in counts["times"].items():
            summary.latency_counts[int(index)] += count
        summary.outcomes.update({outcome: counts[outcome] for outcome in OUTCOMES if outcome in counts})
        summary.requests_by_route[route] += sum(counts.get(outcome, 0) for outcome in REACHED_OUTCOMES)
    if summary.requests > before:
        summary.gateway_count += 1
        summary.requests_by_zone[zone] += summary.requests - before
    for code in row.get("avoided", ()):
        summary.avoided.setdefault(code, []).append(row["since_s"])


def compute_shares(summaries: Iterable[ServerSummary], evacuated: frozenset[str]) -> None:
    """Set each server's share of its service's requests, and of the slots of eligible servers."""
    by_service: dict[str, list[ServerSummary]] = {}
    for server in summaries:
        by_service.setdefault(server.service, []).append(server)
    for servers in by_service.values():
        requests = sum(server.requests for server in servers)
        eligible = [server for server in servers if server.state == "ready" and server.zone not in evacuated]
        slots = sum(server.slots for server in eligible)
        for server in servers:
            server.request_share = round(server.requests / requests, 4) if requests else None
        for server in eligible:
            server.slot_share = round(server.slots / slots, 4) if slots else None


def findings(summaries: Iterable[ServerSummary], answered: int) -> list[tuple[str, str, str]]:
    """Anomalies as code, server and text. Shares are not judged for services with few requests."""
    summaries, found = list(summaries), []
    requests, eligible = Counter[str](), Counter[str]()
    for server in summaries:
        requests[server.service] += server.requests
        eligible[server.service] += server.slot_share is not None
    for server in summaries:
        judged = requests[server.service] >= MIN_REQUESTS_PER_SERVER * max(eligible[server.service], 1)
        reasons = ", ".join(
            f"{code} at {len(ages)} of {answered} for up to {max(ages):.0f} s"
            for code, ages in sorted(server.avoided.items(), key=lambda item: -len(item[1]))
        )
        if (
            server.failure_rate > ERROR_RATE_THRESHOLD
            and server.outcomes["ok"] + server.outcomes["error"] + server.outcomes["lost"] >= 5
        ):
            text = (
                f"{server.failure_rate:.0%} of {server.requests} requests"
                f" from {server.gateway_count} gateways failed"
            )
            found.append(("failing", server.server_id, f"{text}; {reasons or 'avoided by no gateway'}"))
        if server.slot_share is not None and judged and not server.requests:
            found.append(
                (
                    "unreached",
                    server.server_id,
                    f"ready, but no requests reached it; {reasons or 'no reason reported'}",
                )
            )
        if (
            server.slot_share
            and server.request_share
            and judged
            and server.request_share > UNEVEN_FACTOR * server.slot_share
        ):
            found.append(
                (
                    "uneven",
                    server.server_id,
                    f"{server.request_share:.0%} of the requests with {server.slot_share:.0%} of the slots",
                )
            )
        if server.outcomes["while_cold"]:
            found.append(
                (
                    "while_cold",
                    server.server_id,
                    f"{server.outcomes['while_cold']} requests reached it while cold",
                )
            )
        if server.requests and server.state in ("", "draining"):
            state_text = "draining" if server.state else "no longer known to the control-plane node"
            found.append(
                (
                    "leaving",
                    server.server_id,
                    f"{server.requests} requests reached it recently; it is {state_text}",
                )
            )
    return found


def timeline(views: Mapping[str, View | None]) -> list[dict[str, Any]]:
    """Status changes of servers at all gateways, oldest first; the same change at several is merged."""
    observed = [
        (change["s_ago"], name, change)
        for name, view in views.items()
        if view is not None
        for change in view["changes"]
    ]
    observed.sort(key=lambda item: (-item[0], item[1]))
    merged: list[dict[str, Any]] = []
    latest: dict[tuple[str, tuple[str, ...]], dict[str, Any]] = {}
    for age_s, name, change in observed:
        key = change["id"], tuple(change["codes"])
        earlier = latest.get(key)
        if (
            earlier is not None
            and earlier["s_ago"] - age_s <= MERGE_WINDOW_S
            and name not in earlier["gateways"]
        ):
            earlier["gateways"].append(name)
            earlier["errors"] = max(earlier["errors"], change["errors"])
            earlier["told"] = max(earlier["told"], change["told"])
            continue
        latest[key] = {**change, "gateways": [name]}
        merged.append(latest[key])
    return merged
