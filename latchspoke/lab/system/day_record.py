"""What clients, servers and the operator observed during a day: the input of all rules."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

Doc = dict[str, Any]


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request over all its attempts."""

    kind: str
    zone: str
    tenant: str
    at: float
    worth: float  # if it is served within its target latency
    owed: bool = True
    earned: float = 0.0
    attempts: int = 0
    status: int = 0  # of the last response, 0: none
    ended: float = 0.0
    served: float = -1.0  # latency (s), -1: not served


@dataclass(slots=True, eq=False)
class Attempt:
    """One HTTP request on the wire."""

    ident: str
    request: ClientRequest | None  # None: a probe of the configuration at a gateway
    host: str
    path: str
    method: str
    body: bytes
    key: str
    tenant: str
    repeatable: bool
    sent: float
    deadline: float  # absolute (s)
    client: str  # the client's host
    gateway: str = ""  # ip
    status: int = 0  # 0: no response; -1: connection closed without one
    seal: str = ""
    echoed_ident: str = ""  # X-Attempt-Id of the response
    answer: bytes = b""
    ended: float = -1.0
    read: bool = False  # whether the gateway has received all of it
    retry_after_s: float | None = None
    exchange: str = ""  # ID of its exchange, if callers are identified


@dataclass(slots=True, eq=False)
class Exchange:
    """An operation that a caller wants done once, over all its attempts."""

    ident: str
    repeatable: bool
    attempts: list[str] = field(default_factory=list)
    unknown_answers: int = 0  # responses that reported its state as unknown
    outcome: str = ""  # for its caller; empty: no conclusive response


@dataclass(slots=True, eq=False)
class Arrival:
    """A request at a server."""

    ident: str
    server: str
    service: str
    zone: str
    region: str
    at: float
    source: str  # ip
    sent: float  # when the gateway wrote it: arrival minus latency
    method: str
    path: str
    body: bytes
    tenant: str
    key: str  # API key, which gateways must remove
    ran: bool = False
    status: int = 0
    seal: str = ""
    answer: bytes = b""
    cold: bool = False
    misrouted: bool = False
    ended: float = math.inf
    aborted: bool = False  # the server itself aborted the response
    version: str = ""  # of the server
    bad: bool = False  # its version made the answer fail or slow


@dataclass(slots=True, eq=False)
class Command:
    """A command of the operator."""

    what: str  # replace, modify, begin, finish, rollout
    version: int
    base: int
    doc: Doc | None  # the complete configuration after it
    zone: str
    sent: float
    valid: bool = True
    acked_at: float = math.inf
    refused_at: float = math.inf
    answered_by: str = ""
    status: int = 0
    abandoned_at: float = math.inf
    lost_ack_at: float = math.inf  # when a successful answer was lost


@dataclass(slots=True, eq=False)
class ServerDrain:
    """An orderly shutdown of a server."""

    server: str
    started_at: float
    acked_at: float = math.inf
    deregistered_at: float = math.inf
    answered_by: str = ""


@dataclass(slots=True, eq=False)
class VersionRollout:
    """The operator's order of a new version, and the states that it was told."""

    service: str
    target_version: str
    duration_s: float
    is_bad: bool
    ordered_at: float
    acked_at: float = math.inf
    started_at: float = math.inf  # of the new servers
    ended_state: str = ""
    ended_at: float = math.inf  # when the operator learned of it
    states: list[tuple[float, str]] = field(default_factory=list)  # at, state; "lost" if it is unknown


@dataclass(slots=True)
class DayRecord:
    """All observations of a day."""

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    exchanges: dict[str, Exchange] = field(default_factory=dict)
    commands: list[Command] = field(default_factory=list)
    drains: list[ServerDrain] = field(default_factory=list)
    version_rollouts: list[VersionRollout] = field(default_factory=list)
    unexpected_data: list[tuple[float, str, str]] = field(default_factory=list)  # at, gateway, bytes
    # (at, process, event, fields).
    log_events: list[tuple[float, str, str, dict[str, Any]]] = field(default_factory=list)
    process_exits: list[tuple[float, str, str]] = field(default_factory=list)  # unrequested: at, process, how
    # SIGTERM: at, ip, end of the grace period.
    terminations: list[tuple[float, str, float]] = field(default_factory=list)
    reloads: list[tuple[float, str]] = field(default_factory=list)
    starts: list[tuple[float, str]] = field(default_factory=list)  # of processes: at, ip
    read_back: Doc | None = None
    read_back_started_at: float = 0.0
    final_fault: tuple[float, float] | None = None  # at, when all machines were back
    injected_troubles: list[tuple[float, str]] = field(default_factory=list)  # at, text


@dataclass(slots=True)
class Reachability:
    """Which machines were in contact with a majority, derived from the injected faults."""

    contact_s: float
    disruptions: dict[str, list[list[float]]] = field(default_factory=dict)  # ip -> [from, to]
    # IP -> [from, to]: SIGTERM, grace period, no process.
    planned_downtime: dict[str, list[list[float]]] = field(default_factory=dict)
    link_cuts: list[tuple[float, float]] = field(default_factory=list)  # [from, to], including packet loss
    core_disruptions: list[float] = field(default_factory=list)  # times that may cause an election
    # [from, to] without a connected majority.
    without_majority: list[list[float]] = field(default_factory=list)
    core_ips: tuple[str, ...] = ()  # of control-plane nodes

    def add_disruption(self, ip: str, start: float, end: float) -> None:
        """Record that a fault hits the machine in this interval."""
        self.disruptions.setdefault(ip, []).append([start, end])

    def core_stable(self, start: float, end: float) -> bool:
        """Whether the control plane had a stable majority throughout."""
        return not any(start - self.contact_s < at <= end for at in self.core_disruptions) and not any(
            a <= end and b >= start for a, b in self.without_majority
        )

    def link_cut_within(self, start: float, end: float) -> bool:
        """Whether any link was cut or lossy in this interval."""
        return any(a <= end and b >= start for a, b in self.link_cuts)

    def undisturbed(self, ip: str, start: float, end: float) -> bool:
        """Whether no fault hit the machine in this interval."""
        return not any(a <= end and b >= start for a, b in self.disruptions.get(ip, ()))

    def only_core_disrupted(self, ip: str, since: float, when: float) -> bool:
        """Whether only an unstable control plane can have delayed it.

        Most control-plane nodes must have been undisturbed since ``since``.

        The bounds on configuration and evacuation are then extended by at most ``stretchMaxS``.
        """
        start = when - self.contact_s
        undisturbed_cores = sum(self.undisturbed(core, since, when) for core in self.core_ips)
        return (
            self.undisturbed(ip, start, when)
            and not any(a <= when and b >= start for a, b in self.planned_downtime.get(ip, ()))
            and not any(a <= when and b >= since for a, b in self.without_majority)
            and 2 * undisturbed_cores > len(self.core_ips)
        )

    def in_contact(self, ip: str, when: float) -> bool:
        """Whether the machine was in contact at this time."""
        start = when - self.contact_s
        return (
            self.undisturbed(ip, start, when)
            and not any(a <= when and b >= start for a, b in self.planned_downtime.get(ip, ()))
            and not any(start < at <= when for at in self.core_disruptions)
            and not any(a <= when and b >= start for a, b in self.without_majority)
        )
